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
	v.take(t, s, whole(etcd, 7, many(8)...), Believed)
	other := up("other-name", 2)
	other.Size = 0
	v.take(t, s, whole(disc, 3, up("e00000", 0), up("e00001", 1), other, up("only-disc", 9)), Believed)
	v.take(t, 2*s, part(etcd, 8, in(Draining, up("e00001", 1)), in(Removed, up("e00002", 2))), Believed)
	w := part(etcd, 9)
	w.Spoilt, w.Drained = []string{"e00003", "e00004"}, []string{"e00004"}
	v.take(t, 2*s, w, Believed)
	v.take(t, 3*s, part(disc, 4, in(Removed, up("e00000", 0))), Believed)
	v.take(t, 3*s, whole(etcd, 12, up("e00000", 0), in(Draining, up("e00001", 1))), Held)
	return v
}

// The members file: its bytes from a view, and a view from its bytes.
func TestStateFixture(t *testing.T) {
	text, err := json.Marshal(fixtureView(t).Export(4 * s))
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
	v.Import(1000*s, st)
	if text, err = json.Marshal(v.Export(1000 * s)); err != nil {
		t.Fatal(err)
	}
	checkFixture(t, "members.json", text)
	for v.Next() <= 1000*s {
		v.Step(1000 * s)
	}
	checkFixture(t, "members-imported.jsonl", encodeLines(t, v.Members()))
}

// The lines of "troutusher members --json".
func TestExplainFixture(t *testing.T) {
	checkFixture(t, "explain.jsonl", encodeLines(t, fixtureView(t).Explain(4*s)))
}

// What a source says, between a relay and its helper.
func TestWordFixture(t *testing.T) {
	words := []Word{
		*whole(disc, 5, up("a", 1), in(Draining, up("b", 2))),
		*part(etcd, 6, in(Removed, Member{ID: "c"})),
		{Source: etcd, Epoch: "000000000000004d.1", Revision: 7, Whole: true, Anew: true, Spoilt: []string{"d", "e"}, Drained: []string{"e"}},
	}
	text := encodeLines(t, words)
	checkFixture(t, "words.jsonl", text)
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	for i := range words {
		var got Word
		if err := dec.Decode(&got); err != nil {
			t.Fatal(err)
		}
		got.Source = words[i].Source
		if again := encodeLines(t, []Word{got}); !bytes.Equal(again, encodeLines(t, words[i:i+1])) {
			t.Errorf("read back: %s", again)
		}
	}
}

// Verdicts by their names in logs.
func TestVerdictFixture(t *testing.T) {
	var text bytes.Buffer
	for _, verdict := range []Verdict{Believed, Old, Needed, Held} {
		text.WriteString(verdict.String() + "\n")
	}
	checkFixture(t, "verdicts.txt", text.Bytes())
}
