package core

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"troutusher/policy"
)

// While a core waits for the list it takes messages on and ends them as ever,
// and begins no call and no probe; then what was put off goes out, oldest first,
// and nothing to who has drained meanwhile.
func TestDeferSendsHoldsOnlyCalls(t *testing.T) {
	taken, sent, ended := 0, 0, 0
	for seed := range uint64(60) {
		w := newSimulation(t, seed)
		w.core.DeferSends()
		text := w.play(120)
		for _, kind := range []Effect{AppendThenSend{}, CheckHealth{}, CancelCall{}} {
			if strings.Contains(text, fmt.Sprintf(" %T m", kind)) || strings.Contains("\n"+text, fmt.Sprintf(" %T\n", kind)) && is[CheckHealth](kind) {
				w.failf("seed %d: effect %T while the list is waited for", seed, kind)
			}
		}
		taken += strings.Count(text, fmt.Sprintf(" %T m", AppendThenReply{}))
		ended += strings.Count(text, fmt.Sprintf(" %T {", AppendThenNotify{}))
		w.trace.Reset()
		w.execute(w.core.Step(w.now, []Event{Started{}}, nil))
		var order []int
		for _, l := range strings.Split(w.trace.String(), "\n") {
			var at, n, to int
			var kind string
			if k, _ := fmt.Sscanf(l, "%d %s m%d to %d", &at, &kind, &n, &to); k == 4 && kind == fmt.Sprintf("%T", AppendThenSend{}) {
				order = append(order, n)
			}
		}
		sent += len(order)
		w.playFrom(120, 200) // the world's own checks hold on
	}
	if taken < 1000 || sent < 40 || ended < 100 {
		t.Errorf("%d taken, %d ended meanwhile, %d sent at once after it", taken, ended, sent)
	}
}

// A message that comes while the list is waited for is answered in that step, and
// what was put off goes out in the order in which it came.
func TestDeferSendsRepliesAtOnce(t *testing.T) {
	r := testCore(t)
	member := func(id, phase string) Member {
		return Member{ID: id, HostPort: "10.0.0.1:" + id[1:], Locality: "a", Flavor: "k", Dest: 1, Phase: phase, Rate: 1000}
	}
	now := policy.Time(3600e6)
	r.Observe(now, []Event{EndpointListUpdated{Kind: policy.ListCached, List: &EndpointList{Complete: true, Members: []Member{member("s1", Up), member("s2", Up)}}}}, nil)
	r.DeferSends()
	r.Step(now, nil, nil)
	var events []Event
	for _, id := range []string{"a", "b", "c"} {
		events = append(events, Submitted{Request: &Request{Class: 0, Tenant: -1,
			Record: &Record{Kind: RecordAccepted, ID: id, Class: "plain", Dest: 1, Deadline: r.wallTime(now + 5e6)}}})
	}
	var said []Event
	for _, e := range r.Step(now, events, nil) {
		if e, ok := e.(AppendThenReply); ok {
			said = append(said, ReplyDelivered{Request: e.Request, OK: true})
		}
	}
	if len(said) != 3 {
		t.Fatalf("%d of 3 answered at once", len(said))
	}
	for _, e := range r.Step(now+1000, said, nil) {
		if is[AppendThenSend](e) || is[CheckHealth](e) {
			t.Errorf("%+v before the list", e)
		}
	}
	var got []string
	drained := &EndpointList{Members: []Member{member("s1", Draining)}}
	events = []Event{EndpointListUpdated{Kind: policy.ListDelta, List: drained}, Started{}}
	for at, n := now+100e3, 0; n < 100 && len(got) < 3; at, n = at+20e3, n+1 { // those that were meant for s1 are chosen anew
		fx := r.Step(at, events, nil)
		events = nil
		for _, e := range fx {
			if e, ok := e.(AppendThenSend); ok {
				got = append(got, e.Call.Record.ID)
				if r.endpoints.byNumber[e.Call.Endpoint].id == "s1" {
					t.Errorf("%s goes to who has drained", e.Call.Record.ID)
				}
				events = append(events, AttemptFinished{Call: e.Call, Result: &Result{Outcome: policy.Delivered, Status: 200, Final: true}})
			}
		}
	}
	if slices.Sort(got); !slices.Equal(got, []string{"a", "b", "c"}) {
		t.Errorf("sent %v", got)
	}
}

// A probe that is asked for meanwhile is made after it, where its endpoint is
// still listed.
func TestDeferSendsDelaysHealthChecks(t *testing.T) {
	r := testCore(t)
	now := policy.Time(3600e6)
	member := func(id, phase string) Member {
		return Member{ID: id, HostPort: "10.0.0.1:" + id[1:], Locality: "a", Flavor: "k", Dest: 1, Phase: phase, Rate: 1000}
	}
	r.Observe(now, []Event{EndpointListUpdated{Kind: policy.ListCached, List: &EndpointList{Complete: true, Members: []Member{member("s1", Up), member("s2", Up)}}}}, nil)
	r.DeferSends()
	for _, ep := range []policy.EndpointID{1, 2} {
		r.executeAction(&policy.Action{Kind: policy.ActHealthCheck, Endpoint: ep})
	}
	if fx := r.takeEffects(); len(fx) > 0 {
		t.Errorf("%+v while the list is waited for", fx)
	}
	drained := &EndpointList{Members: []Member{member("s1", Draining)}}
	var probed []policy.EndpointID
	for range 2 { // once
		for _, e := range r.Observe(now, []Event{EndpointListUpdated{Kind: policy.ListDelta, List: drained}, Started{}}, nil) {
			if e, ok := e.(CheckHealth); ok {
				probed = append(probed, e.Endpoint)
			}
		}
	}
	if !slices.Equal(probed, []policy.EndpointID{2}) {
		t.Errorf("probed %v", probed)
	}
}
