package membership

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
)

// checkFixture compares bytes with a recorded file. UPDATE_FIXTURES=1 records it.
func checkFixture(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if os.Getenv("UPDATE_FIXTURES") != "" {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s:\ngot  %s\nwant %s", path, got, want)
	}
}

func encodeLines[T any](t *testing.T, values []T) []byte {
	t.Helper()
	var text bytes.Buffer
	enc := json.NewEncoder(&text)
	for i := range values {
		if err := enc.Encode(values[i]); err != nil {
			t.Fatal(err)
		}
	}
	return text.Bytes()
}

// fixtureView has entries of every kind: up, draining, removed, held and unreadable,
// with rates, under two names, and of two epochs.
func fixtureView(t *testing.T) *View {
	t.Helper()
	v := newView(t)
	v.mustApply(t, second, completeUpdate(etcdSource, 7, upMembers(8)...), Accepted)
	other := upMember("other-name", 2)
	other.Rate = 0
	v.mustApply(t, second, completeUpdate(registrySource, 3,
		upMember("e00000", 0), upMember("e00001", 1), other, upMember("only-disc", 9)), Accepted)
	v.mustApply(t, 2*second, changeUpdate(etcdSource, 8,
		drainingMember("e00001", 1), removedMember("e00002", 2)), Accepted)
	w := changeUpdate(etcdSource, 9)
	w.UnreadableIDs, w.DrainedIDs = []string{"e00003", "e00004"}, []string{"e00004"}
	v.mustApply(t, 2*second, w, Accepted)
	v.mustApply(t, 3*second, changeUpdate(registrySource, 4, removedMember("e00000", 0)), Accepted)
	v.mustApply(t, 3*second, completeUpdate(etcdSource, 12,
		upMember("e00000", 0), drainingMember("e00001", 1)), RemovalsHeld)
	return v
}

// The members file: its bytes from a view, and a view from its bytes.
func TestStateFixture(t *testing.T) {
	text, err := json.Marshal(fixtureView(t).Export(4 * second))
	if err != nil {
		t.Fatal(err)
	}
	checkFixture(t, "members.json", text)
	recorded, err := os.ReadFile(filepath.Join("testdata", "members.json"))
	if err != nil {
		t.Fatal(err)
	}
	st := &State{}
	if err := json.Unmarshal(recorded, st); err != nil {
		t.Fatal(err)
	}
	v := newView(t)
	v.Import(1000*second, st)
	if text, err = json.Marshal(v.Export(1000 * second)); err != nil {
		t.Fatal(err)
	}
	checkFixture(t, "members.json", text)
	for v.NextDeadline() <= 1000*second {
		v.Step(1000 * second)
	}
	checkFixture(t, "members-imported.jsonl", encodeLines(t, v.Members()))
}

// The lines of "troutusher members --json".
func TestExplainFixture(t *testing.T) {
	checkFixture(t, "explain.jsonl", encodeLines(t, fixtureView(t).Explain(4*second)))
}

// What a source says, between a relay and its helper.
func TestUpdateFixture(t *testing.T) {
	words := []Update{
		*completeUpdate(registrySource, 5, upMember("a", 1), drainingMember("b", 2)),
		*changeUpdate(etcdSource, 6, withPhase(Removed, Member{ID: "c"})),
		{
			Source: etcdSource, Epoch: "000000000000004d.1", Revision: 7, Complete: true, Resync: true,
			UnreadableIDs: []string{"d", "e"}, DrainedIDs: []string{"e"},
		},
	}
	text := encodeLines(t, words)
	checkFixture(t, "words.jsonl", text)
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	for i := range words {
		var got Update
		if err := dec.Decode(&got); err != nil {
			t.Fatal(err)
		}
		got.Source = words[i].Source
		if again := encodeLines(t, []Update{got}); !bytes.Equal(again, encodeLines(t, words[i:i+1])) {
			t.Errorf("read back: %s", again)
		}
	}
}

// Verdicts by their names in logs.
func TestVerdictFixture(t *testing.T) {
	var text bytes.Buffer
	for _, verdict := range []Verdict{Accepted, Outdated, ResyncRequired, RemovalsHeld} {
		text.WriteString(verdict.String() + "\n")
	}
	checkFixture(t, "verdicts.txt", text.Bytes())
}
