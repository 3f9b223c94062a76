package core

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"troutusher/policy"
)

// TestDeferSendsHoldsOnlyCalls guards against a start that blocks too much or too little. While the
// core waits for the endpoint list, it must accept and end messages but start no call and no health
// check. When the wait is over, it must send the deferred calls, and none to an endpoint that has
// been drained or removed meanwhile.
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
				sim.failf("seed %d: the trace contains %q while the core waits for the list, want none", seed, unwanted)
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
		sim.runFrom(120, 200) // the simulation checks the order of effects
	}
	if accepted < 1000 || sent < 40 || ended < 100 {
		t.Errorf("the test is too weak: %d messages accepted and %d ended during the wait, %d sent at its end; "+
			"want at least 1000, 100, 40", accepted, ended, sent)
	}
}

// memberInPhase returns an endpoint of destination 1.
func memberInPhase(id, phase string) Member {
	return Member{
		ID: id, HostPort: "10.0.0.1:" + id[1:], Locality: "a", Flavor: "k", Dest: 1, Phase: phase, Rate: 1000,
	}
}

// TestDeferSendsRepliesAtOnce guards against clients that wait for the endpoint list: a message that
// is submitted before the list arrives must be acknowledged in the same step. Afterwards all deferred
// messages must be sent, none of them to an endpoint that has started to drain.
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
		t.Fatalf("the step acknowledged %d messages, want 3", len(replied))
	}
	for _, e := range c.Step(now+1000, replied, nil) {
		if is[AppendThenSend](e) || is[CheckHealth](e) {
			t.Errorf("effect before the endpoint list: %+v, want no call and no health check", e)
		}
	}
	var got []string
	events = []Event{listEvent(policy.ListDelta, memberInPhase("s1", Draining)), Started{}}
	// The policy chooses another endpoint for the messages that it had assigned to s1, after a while.
	for at := now + 100e3; at < now+2100e3 && len(got) < 3; at += 20e3 {
		effects := c.Step(at, events, nil)
		events = nil
		for _, e := range effects {
			if e, ok := e.(AppendThenSend); ok {
				got = append(got, e.Call.Record.ID)
				if c.endpoints.byNumber[e.Call.Endpoint].id == "s1" {
					t.Errorf("message %s was sent to s1, which is draining", e.Call.Record.ID)
				}
				events = append(events, AttemptFinished{Call: e.Call, Result: delivered(0)})
			}
		}
	}
	if slices.Sort(got); !slices.Equal(got, []string{"a", "b", "c"}) {
		t.Errorf("sent messages = %v, want [a b c]", got)
	}
}

// TestDeferSendsDelaysHealthChecks guards against health checks during the wait for the endpoint list
// and against checks that are lost. A check that the policy requests meanwhile must be made once after
// the wait, if its endpoint is then still listed as up.
func TestDeferSendsDelaysHealthChecks(t *testing.T) {
	c := testCore(t)
	now := policy.Time(3600e6)
	c.Observe(now, []Event{listEvent(policy.ListCached, memberInPhase("s1", Up), memberInPhase("s2", Up))}, nil)
	c.DeferSends()
	for _, number := range []policy.EndpointID{1, 2} {
		c.executeAction(&policy.Action{Kind: policy.ActHealthCheck, Endpoint: number})
	}
	if effects := c.takeEffects(); len(effects) > 0 {
		t.Errorf("effects during the wait for the list = %+v, want none", effects)
	}
	var checked []policy.EndpointID
	for range 2 { // the second Started must not repeat the check
		events := []Event{listEvent(policy.ListDelta, memberInPhase("s1", Draining)), Started{}}
		for _, e := range c.Observe(now, events, nil) {
			if e, ok := e.(CheckHealth); ok {
				checked = append(checked, e.Endpoint)
			}
		}
	}
	if !slices.Equal(checked, []policy.EndpointID{2}) {
		t.Errorf("checked endpoints = %v, want [2]", checked)
	}
}
