package core

import (
	"encoding/json"
	"testing"

	"troutusher/policy"
)

// learnedSnapshot has a core learn of two destinations: 1 told a wait of 8 s, 2 refuses
// connections. Its state goes through JSON, as it lies in the file.
func learnedSnapshot(t *testing.T, members []Member) *StateSnapshot {
	t.Helper()
	r := testCore(t)
	now := policy.Time(3600e6)
	r.Observe(now, []Event{EndpointListUpdated{Kind: policy.ListFull, List: &EndpointList{Complete: true, Revision: 7, Members: members}}}, nil)
	var events []Event
	for i := range 40 {
		if i < 12 {
			id := "m" + string(rune('a'+i))
			events = append(events, Submitted{Request: &Request{Class: 0, Tenant: -1,
				Record: &Record{Kind: RecordAccepted, ID: id, Class: "plain", Dest: 1 + i%2, Deadline: r.wallTime(now + 15e6)}}})
		}
		fx := r.Step(now, events, nil)
		events = nil
		for _, e := range fx {
			switch e := e.(type) {
			case AppendThenReply:
				events = append(events, ReplyDelivered{Request: e.Request, OK: true})
			case AppendThenSend:
				o := &Result{Outcome: policy.Rejected, Status: 429, RetryAfter: 8e6}
				if e.Call.Record.Dest == 2 {
					o = &Result{Outcome: policy.ConnectFailed}
				}
				events = append(events, AttemptFinished{Call: e.Call, Result: o})
			}
		}
		now += 20e3
	}
	if r.StateVersion() == 0 || r.CompletedCalls() == 0 {
		t.Error("nothing is told to have been learned")
	}
	text, err := json.Marshal(r.SnapshotState(now))
	if err != nil {
		t.Fatal(err)
	}
	l := &StateSnapshot{}
	if err := json.Unmarshal(text, l); err != nil {
		t.Fatal(err)
	}
	return l
}

// A core that recalls holds what was told to wait and avoids what was out, as
// long as it is where it was; under another address, or another's address under
// a new id, nothing is inherited; and without the file nothing is known.
func TestRestoreState(t *testing.T) {
	member := func(id, addr string, dest int) Member {
		return Member{ID: id, HostPort: addr, Locality: "a", Flavor: "k", Dest: dest, Phase: Up, Rate: 40}
	}
	was := []Member{member("s1", "10.0.0.1:1", 1), member("s2", "10.0.0.2:1", 2)}
	const shift = policy.Time(-3000e6) // the new process's clock reads otherwise
	for name, c := range map[string]struct {
		list     []Member
		learned  bool
		avoided  int  // endpoints
		held     bool // destination 1 waits
		forgetsB bool
	}{
		"as it was":                     {was, true, 2, true, false},
		"nothing learned":               {was, false, 0, false, false},
		"one has moved":                 {[]Member{was[0], member("s2", "10.0.0.9:1", 2)}, true, 1, true, true},
		"another id at its address":     {[]Member{was[0], member("s3", "10.0.0.2:1", 2)}, true, 1, true, true},
		"its destination is another":    {[]Member{was[0], member("s2", "10.0.0.2:1", 3)}, true, 1, true, true},
		"a new one of the destination":  {[]Member{was[0], was[1], member("s4", "10.0.0.4:1", 1)}, true, 3, true, false},
		"all of one that waits are new": {[]Member{member("s5", "10.0.0.5:1", 1), was[1]}, true, 2, true, false},
	} {
		l := learnedSnapshot(t, was)
		if l.Revision != 7 || len(l.EndpointList().Members) != 2 {
			t.Fatalf("learned %+v", l)
		}
		r := testCore(t)
		now := l.Now + shift + 700e3
		r.Observe(now, []Event{EndpointListUpdated{Kind: policy.ListCached, List: &EndpointList{Complete: true, Members: c.list}}}, nil)
		holds := 0
		if c.learned {
			for _, e := range r.RestoreState(now, l, shift, nil) {
				if e, ok := e.(ApplyRetryAfter); ok && r.endpoints.byNumber[e.Endpoint].dest == 1 && e.Until > now+6e6 && e.Until <= now+8e6 {
					holds++
				}
			}
		}
		if _, got := r.ListedEndpoints(); got != c.avoided {
			t.Errorf("%s: %d avoided, want %d", name, got, c.avoided)
		}
		if (holds > 0) != c.held {
			t.Errorf("%s: the wait holds %d endpoints", name, holds)
		}
		// Nothing goes to destination 1 before its wait is over.
		rec := &Record{Kind: RecordAccepted, ID: "m", Class: "plain", Dest: 1, Deadline: r.wallTime(now + 20e6)}
		events, first := []Event{Submitted{Request: &Request{Class: 0, Tenant: -1, Record: rec}}}, policy.Time(0)
		for at := now; at < now+10e6 && first == 0; at += 20e3 {
			fx := r.Step(at, events, nil)
			events = nil
			for _, e := range fx {
				switch e := e.(type) {
				case AppendThenReply:
					events = append(events, ReplyDelivered{Request: e.Request, OK: true})
				case AppendThenSend:
					first = at
				}
			}
		}
		until := l.RetryAfters[0].Until + shift
		if c.held && (first < until || first > until+1e6) || !c.held && first > now+1e6 {
			t.Errorf("%s: sent at %d, the wait ends at %d", name, first-now, until-now)
		}
	}
}
