package core

import (
	"testing"

	"troutusher/policy"
)

// learnedSnapshot returns the state of a core that has learned about two destinations: destination 1
// answers with a Retry-After of 8 s, destination 2 refuses connections. The state has been encoded as
// JSON and decoded, as in the state file.
func learnedSnapshot(t *testing.T, members []Member) *StateSnapshot {
	t.Helper()
	c := testCore(t)
	now := policy.Time(3600e6)
	list := listEvent(policy.ListFull, members...)
	list.List.Revision = 7
	c.Observe(now, []Event{list}, nil)
	var events []Event
	for i := range 40 {
		if i < 12 {
			id := "m" + string(rune('a'+i))
			events = append(events, submission(plainRecord(id, 1+i%2, c.wallTime(now+15e6))))
		}
		effects := c.Step(now, events, nil)
		events = nil
		for _, e := range effects {
			switch e := e.(type) {
			case AppendThenReply:
				events = append(events, ReplyDelivered{Request: e.Request, OK: true})
			case AppendThenSend:
				result := rejected(8e6)
				if e.Call.Record.Dest == 2 {
					result = &Result{Outcome: policy.ConnectFailed}
				}
				events = append(events, AttemptFinished{Call: e.Call, Result: result})
			}
		}
		now += 20e3
	}
	if c.StateVersion() == 0 || c.CompletedCalls() == 0 {
		t.Errorf("StateVersion() = %d, CompletedCalls() = %d, want both above 0", c.StateVersion(), c.CompletedCalls())
	}
	snapshot := &StateSnapshot{}
	roundTrip(t, c.SnapshotState(now), snapshot)
	return snapshot
}

// TestRestoreState guards against a restart that forgets Retry-Afters and unhealthy endpoints, or
// that applies them to the wrong endpoints. An endpoint with the same ID, address and destination
// must keep its state. One with a new address or a new ID must take over the outage of its destination
// and the Retry-After there, and one that is at another destination now must not. Without the state file
// nothing is known.
func TestRestoreState(t *testing.T) {
	member := func(id, addr string, dest int) Member {
		return Member{ID: id, HostPort: addr, Locality: "a", Flavor: "k", Dest: dest, Phase: Up, Rate: 40}
	}
	old := []Member{member("s1", "10.0.0.1:1", 1), member("s2", "10.0.0.2:1", 2)}
	const shift = policy.Time(-3000e6) // difference between the clocks of the two processes
	for name, test := range map[string]struct {
		list    []Member
		learned bool
		avoided int  // number of endpoints that the policy avoids
		held    bool // the Retry-After of destination 1 is in effect
	}{
		"same list":                        {old, true, 2, true},
		"no state file":                    {old, false, 0, false},
		"endpoint with a new address":      {[]Member{old[0], member("s2", "10.0.0.9:1", 2)}, true, 2, true},
		"new ID at a known address":        {[]Member{old[0], member("s3", "10.0.0.2:1", 2)}, true, 2, true},
		"new ID and address":               {[]Member{old[0], member("s3", "10.0.0.3:1", 2)}, true, 2, true},
		"address at a new destination":     {[]Member{old[0], member("s3", "10.0.0.2:1", 3)}, true, 1, true},
		"endpoint with a new destination":  {[]Member{old[0], member("s2", "10.0.0.2:1", 3)}, true, 1, true},
		"additional endpoint":              {[]Member{old[0], old[1], member("s4", "10.0.0.4:1", 1)}, true, 3, true},
		"destination 1 has a new endpoint": {[]Member{member("s5", "10.0.0.5:1", 1), old[1]}, true, 2, true},
	} {
		snapshot := learnedSnapshot(t, old)
		if snapshot.Revision != 7 || len(snapshot.EndpointList().Members) != 2 {
			t.Fatalf("snapshot = %+v, want revision 7 and 2 members", snapshot)
		}
		c := testCore(t)
		now := snapshot.Now + shift + 700e3
		c.Observe(now, []Event{listEvent(policy.ListCached, test.list...)}, nil)
		holds := 0
		if test.learned {
			for _, e := range c.RestoreState(now, snapshot, shift, nil) {
				e, ok := e.(ApplyRetryAfter)
				if ok && c.endpoints.byNumber[e.Endpoint].dest == 1 && e.Until > now+6e6 && e.Until <= now+8e6 {
					holds++
				}
			}
		}
		if _, got := c.ListedEndpoints(); got != test.avoided {
			t.Errorf("%s: ListedEndpoints() = _, %d avoided, want %d", name, got, test.avoided)
		}
		if (holds > 0) != test.held {
			t.Errorf("%s: the Retry-After is applied to %d endpoints of destination 1, want any: %v",
				name, holds, test.held)
		}
		// Nothing is sent to destination 1 before its Retry-After.
		first, _, _ := deliverOne(t, c, now, now+20e6, "m", 1, delivered(0))
		until := snapshot.RetryAfters[0].Until + shift
		if test.held && (first < until || first > until+1e6) || !test.held && first > now+1e6 {
			t.Errorf("%s: message sent after %d µs with a Retry-After of %d µs that is in effect: %v; "+
				"want it within 1 s after the Retry-After, or within 1 s if that is not in effect",
				name, first-now, until-now, test.held)
		}
	}
}
