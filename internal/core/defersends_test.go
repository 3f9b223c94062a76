package core

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"troutusher/policy"
)

// While a core waits for the list it accepts and ends messages as ever, and begins no call
// and no health check; then what was deferred is sent, oldest first, and nothing to an
// endpoint that has drained meanwhile.
func TestDeferSendsHoldsOnlyCalls(t *testing.T) {
	accepted, sent, ended := 0, 0, 0
	for seed := range uint64(60) {
		sim := newSimulation(t, seed)
		sim.core.DeferSends()
		text := sim.run(120)
		for _, unwanted := range []string{
			fmt.Sprintf(" %T m", AppendThenSend{}),
			fmt.Sprintf(" %T m", CancelCall{}),
			fmt.Sprintf(" %T\n", CheckHealth{}),
		} {
			if strings.Contains(text, unwanted) {
				sim.failf("seed %d: %q while the list is waited for", seed, unwanted)
			}
		}
		accepted += strings.Count(text, fmt.Sprintf(" %T m", AppendThenReply{}))
		ended += strings.Count(text, fmt.Sprintf(" %T {", AppendThenNotify{}))
		sim.trace.Reset()
		sim.execute(sim.core.Step(sim.now, []Event{Started{}}, nil))
		var order []int
		for line := range strings.SplitSeq(sim.trace.String(), "\n") {
			var at, number, to int
			var kind string
			n, _ := fmt.Sscanf(line, "%d %s m%d to %d", &at, &kind, &number, &to)
			if n == 4 && kind == fmt.Sprintf("%T", AppendThenSend{}) {
				order = append(order, number)
			}
		}
		sent += len(order)
		sim.runFrom(120, 200) // the simulation's own checks hold
	}
	if accepted < 1000 || sent < 40 || ended < 100 {
		t.Errorf("%d accepted, %d ended meanwhile, %d sent at once after it", accepted, ended, sent)
	}
}

// memberInPhase is an endpoint of destination 1.
func memberInPhase(id, phase string) Member {
	return Member{
		ID: id, HostPort: "10.0.0.1:" + id[1:], Locality: "a", Flavor: "k", Dest: 1, Phase: phase, Rate: 1000,
	}
}

// A message that comes while the list is waited for is replied to in that step, and what
// was deferred is sent in the order in which it came.
func TestDeferSendsRepliesAtOnce(t *testing.T) {
	c := testCore(t)
	now := policy.Time(3600e6)
	c.Observe(now, []Event{listEvent(policy.ListCached, memberInPhase("s1", Up), memberInPhase("s2", Up))}, nil)
	c.DeferSends()
	c.Step(now, nil, nil)
	var events []Event
	for _, id := range []string{"a", "b", "c"} {
		events = append(events, submission(plainRecord(id, 1, c.wallTime(now+5e6))))
	}
	var replied []Event
	for _, e := range c.Step(now, events, nil) {
		if e, ok := e.(AppendThenReply); ok {
			replied = append(replied, ReplyDelivered{Request: e.Request, OK: true})
		}
	}
	if len(replied) != 3 {
		t.Fatalf("%d of 3 replied to at once", len(replied))
	}
	for _, e := range c.Step(now+1000, replied, nil) {
		if is[AppendThenSend](e) || is[CheckHealth](e) {
			t.Errorf("%+v before the list", e)
		}
	}
	var got []string
	events = []Event{listEvent(policy.ListDelta, memberInPhase("s1", Draining)), Started{}}
	// Those that were meant for s1 have another endpoint chosen, after a while.
	for at := now + 100e3; at < now+2100e3 && len(got) < 3; at += 20e3 {
		effects := c.Step(at, events, nil)
		events = nil
		for _, e := range effects {
			if e, ok := e.(AppendThenSend); ok {
				got = append(got, e.Call.Record.ID)
				if c.endpoints.byNumber[e.Call.Endpoint].id == "s1" {
					t.Errorf("%s goes to an endpoint that has drained", e.Call.Record.ID)
				}
				events = append(events, AttemptFinished{Call: e.Call, Result: delivered(0)})
			}
		}
	}
	if slices.Sort(got); !slices.Equal(got, []string{"a", "b", "c"}) {
		t.Errorf("sent %v", got)
	}
}

// A health check that is asked for meanwhile is made after it, where its endpoint is still
// listed.
func TestDeferSendsDelaysHealthChecks(t *testing.T) {
	c := testCore(t)
	now := policy.Time(3600e6)
	c.Observe(now, []Event{listEvent(policy.ListCached, memberInPhase("s1", Up), memberInPhase("s2", Up))}, nil)
	c.DeferSends()
	for _, number := range []policy.EndpointID{1, 2} {
		c.executeAction(&policy.Action{Kind: policy.ActHealthCheck, Endpoint: number})
	}
	if effects := c.takeEffects(); len(effects) > 0 {
		t.Errorf("%+v while the list is waited for", effects)
	}
	var checked []policy.EndpointID
	for range 2 { // once
		events := []Event{listEvent(policy.ListDelta, memberInPhase("s1", Draining)), Started{}}
		for _, e := range c.Observe(now, events, nil) {
			if e, ok := e.(CheckHealth); ok {
				checked = append(checked, e.Endpoint)
			}
		}
	}
	if !slices.Equal(checked, []policy.EndpointID{2}) {
		t.Errorf("checked %v", checked)
	}
}
