package core

import (
	"testing"

	"troutusher/policy"
)

// learnedSnapshot is the state of a core that learned of two destinations: 1 told a
// Retry-After of 8 s, 2 refuses connections. It went through JSON, as in the state file.
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
		t.Error("nothing was learned")
	}
	snapshot := &StateSnapshot{}
	roundTrip(t, c.SnapshotState(now), snapshot)
	return snapshot
}

// A core that restores a snapshot keeps to Retry-Afters and avoids unhealthy endpoints, as
// long as they are where they were; under another address, or another's address under a
// new id, nothing is inherited; and without the file nothing is known.
func TestRestoreState(t *testing.T) {
	member := func(id, addr string, dest int) Member {
		return Member{ID: id, HostPort: addr, Locality: "a", Flavor: "k", Dest: dest, Phase: Up, Rate: 40}
	}
	was := []Member{member("s1", "10.0.0.1:1", 1), member("s2", "10.0.0.2:1", 2)}
	const shift = policy.Time(-3000e6) // the new process's clock reads otherwise
	for name, test := range map[string]struct {
		list    []Member
		learned bool
		avoided int  // endpoints
		held    bool // destination 1 has its Retry-After
	}{
		"as it was":                    {was, true, 2, true},
		"nothing learned":              {was, false, 0, false},
		"one has moved":                {[]Member{was[0], member("s2", "10.0.0.9:1", 2)}, true, 1, true},
		"another id at its address":    {[]Member{was[0], member("s3", "10.0.0.2:1", 2)}, true, 1, true},
		"its destination is another":   {[]Member{was[0], member("s2", "10.0.0.2:1", 3)}, true, 1, true},
		"a new one of the destination": {[]Member{was[0], was[1], member("s4", "10.0.0.4:1", 1)}, true, 3, true},
		"all of destination 1 are new": {[]Member{member("s5", "10.0.0.5:1", 1), was[1]}, true, 2, true},
	} {
		snapshot := learnedSnapshot(t, was)
		if snapshot.Revision != 7 || len(snapshot.EndpointList().Members) != 2 {
			t.Fatalf("learned %+v", snapshot)
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
			t.Errorf("%s: %d avoided, want %d", name, got, test.avoided)
		}
		if (holds > 0) != test.held {
			t.Errorf("%s: the Retry-After binds %d endpoints", name, holds)
		}
		// Nothing is sent to destination 1 before its Retry-After.
		first, _, _ := deliverOne(t, c, now, now+20e6, "m", 1, delivered(0))
		until := snapshot.RetryAfters[0].Until + shift
		if test.held && (first < until || first > until+1e6) || !test.held && first > now+1e6 {
			t.Errorf("%s: sent at %d, Retry-After until %d", name, first-now, until-now)
		}
	}
}
