package core

import (
	"fmt"
	"testing"

	"troutusher/policy"
)

// TestNothingSentBeforeRetryAfter guards against requests that are sent before the end of a
// Retry-After, to a closed endpoint or to another destination. The order of sends, lists, hand-overs
// and responses is random; a response can be reported to the core late, be cut off or be lost.
func TestNothingSentBeforeRetryAfter(t *testing.T) {
	sent, blocked, shared, independent, resumed := 0, 0, 0, 0, 0
	for seed := range uint64(120) {
		sim := newSimulation(t, seed)
		sim.flavors = []string{"k", "r"}
		sim.driver = newCallDriver(sim)
		log := newLogModel()
		sim.logModel = log
		for turn := range 4 {
			sim.runFrom(turn*120, 120)
			resumed += sim.handOverWithDriver(log)
		}
		sent += sim.driver.callsSent
		blocked += sim.driver.callsBlocked
		for name := range sim.driver.retryAfterScopes {
			if name[0] == 'r' {
				independent++
			} else {
				shared++
			}
		}
	}
	if sent < 3000 || blocked < 300 || shared < 100 || independent < 100 || resumed < 30 {
		t.Errorf("the test is too weak: %d calls sent, %d calls blocked, Retry-Afters of %d destinations and "+
			"%d routes, %d calls open at a hand-over; want at least 3000, 300, 100, 100, 30",
			sent, blocked, shared, independent, resumed)
	}
}

// TestRecoveredSentOneByOne guards against a burst of recovered messages at a destination of which
// the new process knows nothing. The state that a hand-over transfers counts as knowledge.
func TestRecoveredSentOneByOne(t *testing.T) {
	for name, state := range map[string]*HandoverState{
		"after a crash": nil, "handed over": testCore(t).ExportHandover(3600e6),
	} {
		settings := testCore(t).settings
		settings.Policy.Relays = 300
		c, err := New(settings)
		if err != nil {
			t.Fatal(err)
		}
		member := Member{ID: "a", HostPort: "127.0.0.1:1", Dest: 1, Phase: Up, Flavor: "k", Rate: 100}
		var pending []*Record
		for i := range 20 {
			pending = append(pending, plainRecord(fmt.Sprint("m", i), 1, c.wallTime(3620e6)))
		}
		if state == nil {
			c.Observe(3600e6, []Event{listEvent(policy.ListFull, member)}, nil)
			c.RecoverMessages(3600e6, pending, nil, 0, nil)
		} else {
			state.Members = []HandoverMember{{Member: member, Number: 1}}
			c.RecoverMessages(3600e6, pending, state, 0, nil)
		}
		c.Step(3600e6, nil, nil)
		var open []*Call
		for _, m := range c.messages.byNumber {
			if m.call != nil {
				open = append(open, m.call)
			}
		}
		if len(open) != 1 {
			t.Fatalf("%s: the first step started %d calls, want 1", name, len(open))
		}
		sent := 0 // the window then permits two calls, and so does the usual rate after half a second
		result := &Result{Outcome: policy.Delivered, Final: true, Elapsed: 1000}
		for _, e := range c.Step(3600e6+500e3, []Event{AttemptFinished{Call: open[0], Result: result}}, nil) {
			if is[AppendThenSend](e) {
				sent++
			}
		}
		if want := map[bool]int{true: 0, false: 2}[state == nil]; sent != want {
			t.Errorf("%s: %d calls started half a second after the first, want %d", name, sent, want)
		}
	}
}

// TestLongestRetryAfterWins guards against a Retry-After that is shortened by a later, shorter one of
// the same endpoint or of another endpoint of its destination. After a hand-over the Retry-After must
// bind the same endpoints.
func TestLongestRetryAfterWins(t *testing.T) {
	c := testCore(t)
	c.Step(3600e6, []Event{listEvent(policy.ListFull,
		Member{ID: "a", HostPort: "127.0.0.1:1", Dest: 1, Phase: Up, Flavor: "k"},
		Member{ID: "b", HostPort: "127.0.0.1:2", Dest: 1, Phase: Up, Flavor: "k"},
		Member{ID: "c", HostPort: "127.0.0.1:3", Dest: 2, Phase: Up, Flavor: "r"},
		Member{ID: "d", HostPort: "127.0.0.1:4", Dest: 2, Phase: Up, Flavor: "r"},
	)}, nil)
	now := c.now
	for _, received := range []struct {
		id    string
		until policy.Time
	}{{"a", 5e6}, {"b", 1e6}, {"c", 4e6}, {"c", 2e6}} {
		endpoint := c.endpoints.byID[received.id]
		call := &Call{Record: &Record{Dest: endpoint.dest}, endpoint: endpoint}
		call.independentRoute = c.hasIndependentRoutes(endpoint.flavor)
		c.recordRetryAfter(call, now+received.until)
	}
	c.takeEffects()
	state := c.ExportHandover(now)
	for _, other := range []*Core{c, func() *Core {
		next := testCore(t)
		next.RecoverMessages(now, nil, state, 0, nil)
		return next
	}()} {
		for id, want := range map[string]policy.Time{"a": 5e6, "b": 5e6, "c": 4e6, "d": 0} {
			if got := max(other.retryAfterOf(other.endpoints.byID[id])-now, 0); got != want {
				t.Errorf("endpoint %s: Retry-After ends in %d ms, want %d ms", id, got/1000, want/1000)
			}
		}
		// The Retry-After of a destination also binds an endpoint that joins it, unless the routes of
		// the destination are independent.
		effects := other.Step(now, []Event{listEvent(policy.ListDelta,
			Member{ID: "e", HostPort: "127.0.0.1:5", Dest: 1, Phase: Up, Flavor: "k"},
			Member{ID: "f", HostPort: "127.0.0.1:6", Dest: 2, Phase: Up, Flavor: "r"},
		)}, nil)
		held := map[policy.EndpointID]policy.Time{}
		for i := range effects {
			if e, ok := effects[i].(ApplyRetryAfter); ok {
				held[e.Endpoint] = e.Until - now
			}
		}
		e, f := other.endpoints.byID["e"], other.endpoints.byID["f"]
		if held[e.number] != 5e6 || held[f.number] != 0 || other.retryAfterOf(f) != 0 {
			t.Errorf("ApplyRetryAfter durations of joining endpoints = %v, want %d only for endpoint %d (e); "+
				"retryAfterOf(f) = %d, want 0", held, policy.Time(5e6), e.number, other.retryAfterOf(f))
		}
	}
}
