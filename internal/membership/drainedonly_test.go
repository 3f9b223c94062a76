package membership

import (
	"encoding/json"
	"testing"
)

// drainOnly returns a change by which etcd drains ids that it does not list.
func drainOnly(revision int64, ids ...string) *Update {
	u := changeUpdate(etcdSource, revision)
	u.DrainedIDs = ids
	return u
}

// settle publishes the changes that are due by a time.
func (v *View) settle(until Time) {
	for range 100 { // more deadlines than there are changes
		v.Step(until)
	}
}

// Guards against a drain that has no effect because its source does not list the endpoint: it holds whatever the other
// source lists, before and after a restart, until the drain ends.
func TestDrainOfEndpointOfOtherSource(t *testing.T) {
	v := newView(t)
	v.mustApply(t, second, completeUpdate(registrySource, 5, upMembers(4)...), Accepted)
	v.mustApply(t, second, completeUpdate(etcdSource, 100), Accepted)
	got := v.mustApply(t, 2*second, drainOnly(101, "e00001", "later"), Accepted)
	if len(got) != 1 || got[0].ID != "e00001" || got[0].Phase != Draining || got[0].DecidedBy != etcdSource {
		t.Fatalf("changes after the drain: %+v, want e00001 draining by etcd", got)
	}
	text, err := json.Marshal(v.Export(2 * second))
	if err != nil {
		t.Fatal(err)
	}
	state := &State{}
	if err := json.Unmarshal(text, state); err != nil {
		t.Fatal(err)
	}
	restarted := newView(t)
	restarted.Import(1000*second, state)
	restarted.settle(1000 * second)
	if phase := restarted.publishedPhase("e00001"); phase != Draining {
		t.Errorf("after a restart the endpoint is %q, want %q", phase, Draining)
	}
	v.mustApply(t, 3*second, changeUpdate(registrySource, 6, upMember("later", 9)), Accepted)
	v.settle(60 * second)
	if phase := v.publishedPhase("later"); phase != Draining {
		t.Errorf("an endpoint that is listed after its drain is %q, want %q", phase, Draining)
	}
	listed := append(upMembers(4), upMember("later", 9))
	for _, c := range []struct {
		name   string
		update *Update
		want   string
	}{
		{"a change of another endpoint", changeUpdate(etcdSource, 102, upMember("other", 8)), Draining},
		{"the registry's list again", completeUpdate(registrySource, 7, listed...), Draining},
		{"etcd publishes it as draining", changeUpdate(etcdSource, 103, drainingMember("e00001", 1)), Draining},
		{"etcd publishes it as up", changeUpdate(etcdSource, 104, upMember("e00001", 1)), Up},
		{"a drain again", drainOnly(105, "e00001"), Draining},
		{"the end of the drain", changeUpdate(etcdSource, 106, upMember("e00001", 1)), Up},
	} {
		v.mustApply(t, 60*second, c.update, Accepted)
		v.settle(200 * second)
		if phase := v.publishedPhase("e00001"); phase != c.want {
			t.Errorf("after %s the endpoint is %q, want %q", c.name, phase, c.want)
		}
	}
	v.mustApply(t, 300*second, completeUpdate(etcdSource, 107, upMember("e00001", 1)), Accepted)
	v.settle(400 * second)
	if phase := v.publishedPhase("later"); phase != Up {
		t.Errorf("after a complete list without the drain the endpoint is %q, want %q", phase, Up)
	}
}
