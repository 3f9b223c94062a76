package membership

import (
	"bytes"
	"encoding/json"
	"testing"

	"troutusher/internal/fixturetest"
)

// fixtureView returns a view with entries of every kind: up, draining, removed, held and unreadable,
// with and without rates, and under different ids in the two sources.
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
	u := changeUpdate(etcdSource, 9)
	u.UnreadableIDs, u.DrainedIDs = []string{"e00003", "e00004"}, []string{"e00004"}
	v.mustApply(t, 2*second, u, Accepted)
	v.mustApply(t, 3*second, changeUpdate(registrySource, 4, removedMember("e00000", 0)), Accepted)
	v.mustApply(t, 3*second, completeUpdate(etcdSource, 12,
		upMember("e00000", 0), drainingMember("e00001", 1)), RemovalsHeld)
	return v
}

// A view is exported to the recorded state, and importing that state gives the recorded view.
func TestStateFixture(t *testing.T) {
	text, err := json.Marshal(fixtureView(t).Export(4 * second))
	if err != nil {
		t.Fatal(err)
	}
	fixturetest.Check(t, "members.json", text)
	recorded := fixturetest.Read(t, "members.json")
	st := &State{}
	if err := json.Unmarshal(recorded, st); err != nil {
		t.Fatal(err)
	}
	v := newView(t)
	v.Import(1000*second, st)
	if text, err = json.Marshal(v.Export(1000 * second)); err != nil {
		t.Fatal(err)
	}
	fixturetest.Check(t, "members.json", text)
	for v.NextDeadline() <= 1000*second {
		v.Step(1000 * second)
	}
	fixturetest.Check(t, "members-imported.jsonl", fixturetest.EncodeLines(t, v.Members()))
}

// The lines that "troutusher members --json" prints stay as recorded.
func TestExplainFixture(t *testing.T) {
	fixturetest.Check(t, "explain.jsonl", fixturetest.EncodeLines(t, fixtureView(t).Explain(4*second)))
}

// The JSON format of updates from the helper process to a relay stays as recorded, and updates that
// are decoded and encoded again do not change.
func TestUpdateFixture(t *testing.T) {
	updates := []Update{
		*completeUpdate(registrySource, 5, upMember("a", 1), drainingMember("b", 2)),
		*changeUpdate(etcdSource, 6, withPhase(Removed, Member{ID: "c"})),
		{
			Source: etcdSource, Epoch: "000000000000004d.1", Revision: 7, Complete: true, Resync: true,
			UnreadableIDs: []string{"d", "e"}, DrainedIDs: []string{"e"},
		},
	}
	text := fixturetest.EncodeLines(t, updates)
	fixturetest.Check(t, "words.jsonl", text)
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	for i := range updates {
		var got Update
		if err := dec.Decode(&got); err != nil {
			t.Fatal(err)
		}
		got.Source = updates[i].Source
		want, again := fixturetest.EncodeLines(t, updates[i:i+1]), fixturetest.EncodeLines(t, []Update{got})
		if !bytes.Equal(again, want) {
			t.Errorf("update decoded and encoded again is %s, want %s", again, want)
		}
	}
}

// The names of verdicts in logs stay as recorded.
func TestVerdictFixture(t *testing.T) {
	var text bytes.Buffer
	for _, verdict := range []Verdict{Accepted, Outdated, ResyncRequired, RemovalsHeld} {
		text.WriteString(verdict.String() + "\n")
	}
	fixturetest.Check(t, "verdicts.txt", text.Bytes())
}
