package etcd

import (
	"reflect"
	"testing"

	"troutusher/internal/membership"
)

// Check rejects each kind of invalid settings, and New rejects settings that were not made by
// DefaultSettings.
func TestSettings(t *testing.T) {
	for _, makeInvalid := range []func(*Settings){
		func(s *Settings) { s.Prefix = "t" },
		func(s *Settings) { s.Prefix = "//" },
		func(s *Settings) { s.Members = 0 },
		func(s *Settings) { s.SilenceTimeout = 0 },
		func(s *Settings) { s.ReadTimeout = 0 },
		func(s *Settings) { s.MaxBackoff = 1 },
		func(s *Settings) { s.PageSize = -1 },
	} {
		s := DefaultSettings("/t", 1)
		if makeInvalid(&s); s.Check() == nil {
			t.Errorf("Check() of %+v = nil, want an error", s)
		}
	}
	if _, err := New(Settings{Prefix: "/t", Members: 1}, 1); err == nil {
		t.Error("New() accepted settings that were not made by DefaultSettings")
	}
}

// scriptedMachine steps a machine with one event at a time.
type scriptedMachine struct {
	t       *testing.T
	machine *Machine
	now     Time
}

func newScriptedMachine(t *testing.T, members int) *scriptedMachine {
	m, err := New(DefaultSettings("/t", members), 1)
	if err != nil {
		t.Fatal(err)
	}
	return &scriptedMachine{t, m, 1000 * second}
}

// step passes an event of the open call to the machine, or no event if e is nil. It returns
// the resulting actions that have the type of one of the samples, and fails the test if there
// are fewer of them than samples.
func (s *scriptedMachine) step(e Event, samples ...Action) (found []Action) {
	s.t.Helper()
	var events []Event
	if e != nil {
		events = append(events, withCall(e, s.machine.call))
	}
	s.now += 1000
	for _, action := range s.machine.Step(s.now, events) {
		for _, sample := range samples {
			if reflect.TypeOf(action) == reflect.TypeOf(sample) {
				found = append(found, action)
			}
		}
	}
	if len(found) < len(samples) {
		s.t.Fatalf("Step(%+v) = %+v of the wanted actions, want one of each: %+v", e, found, samples)
	}
	return found
}

// stepToUpdate passes an event to the machine and returns the resulting update.
func (s *scriptedMachine) stepToUpdate(e Event) *membership.Update {
	s.t.Helper()
	return s.step(e, &EmitUpdate{})[0].(*EmitUpdate).Update
}

// withCall sets the call of an event and returns the event.
func withCall(event Event, call CallID) Event {
	switch e := event.(type) {
	case *Authenticated:
		e.Call = call
	case *PageRead:
		e.Call = call
	case *WatchOpened:
		e.Call = call
	case *Changed:
		e.Call = call
	case *Progress:
		e.Call = call
	case *CallFailed:
		e.Call = call
	}
	return event
}

func endpointKV(id string, k int) KV {
	return KV{Key: Key("/t", EndpointsFolder, id), Value: endpointValue(k, 0)}
}

// watchingMachine returns a machine with two endpoints and an open watch of cluster 7, from
// revision 11 on.
func watchingMachine(t *testing.T, members int) *scriptedMachine {
	s := newScriptedMachine(t, members)
	s.step(nil, &ReadPage{})
	page := &PageRead{Cluster: 7, Revision: 10, KVs: []KV{endpointKV("a", 1), endpointKV("b", 2)}}
	s.step(page, &EmitUpdate{}, &OpenWatch{})
	s.step(&WatchOpened{Cluster: 7, Revision: 10}, &EmitHeartbeat{})
	return s
}

// A watch of another cluster, or at a revision lower than the machine's, makes the machine
// read the complete list again. If the read finds the known revision, the member only lags
// and its watch is kept. If it finds a lower revision, the cluster was restored and the
// update has a new epoch. Without the read, the machine would miss changes after a restore.
func TestReplacedCluster(t *testing.T) {
	s := watchingMachine(t, 1)
	kvs := []KV{endpointKV("c", 3)}
	s.step(&Changed{Cluster: 8, Revision: 11, LastRevision: 11, KVs: kvs}, &CancelCall{}, &ReadPage{})
	u := s.stepToUpdate(&PageRead{Cluster: 8, Revision: 40, KVs: kvs})
	if u.Epoch != "0000000000000008.0" || !u.Complete || u.Resync {
		t.Errorf("update for another cluster = %+v, want a complete list of epoch 0000000000000008.0", *u)
	}

	s = watchingMachine(t, 1)
	s.step(&CallFailed{Reason: ReasonUnavailable}, &OpenWatch{})
	s.step(&WatchOpened{Cluster: 7, Revision: 6}, &CancelCall{}, &ReadPage{})
	s.step(&PageRead{Cluster: 7, Revision: 10}, &EmitUpdate{}, &OpenWatch{}) // the member only lags
	s.step(&WatchOpened{Cluster: 7, Revision: 6}, &EmitHeartbeat{})

	s = watchingMachine(t, 1)
	s.step(&CallFailed{Reason: ReasonUnavailable}, &OpenWatch{})
	s.step(&WatchOpened{Cluster: 7, Revision: 6}, &CancelCall{}, &ReadPage{})
	if u := s.stepToUpdate(&PageRead{Cluster: 7, Revision: 6}); u.Epoch != "0000000000000007.1" || u.Revision != 6 {
		t.Errorf("update after a restore = %+v, want revision 6 of epoch 0000000000000007.1", *u)
	}
}

// A partner's rate applies to each of its endpoints without a rate of its own. Events of a
// call that is no longer open are ignored. The second page begins right after the last key of
// the first one, so that no key between two pages is missed.
func TestRatesStaleEventsAndPages(t *testing.T) {
	s := watchingMachine(t, 1)
	partner := KV{Key: Key("/t", PartnersFolder, "1"), Value: `{"v":1,"rate":5}`}
	u := s.stepToUpdate(&Changed{Cluster: 7, Revision: 11, LastRevision: 11, KVs: []KV{partner}})
	if len(u.Members) != 1 || u.Members[0].ID != "a" || u.Members[0].Rate != 5 {
		t.Errorf("update for a partner's rate = %+v, want only member a, with rate 5", *u)
	}
	old := s.machine.call
	s.step(&CallFailed{Reason: ReasonUnavailable}, &OpenWatch{})
	s.step(&WatchOpened{Cluster: 7, Revision: 11}, &EmitHeartbeat{})
	late := &Changed{Call: old, Cluster: 7, Revision: 12, LastRevision: 12, KVs: []KV{endpointKV("x", 1)}}
	if got := s.machine.Step(s.now, []Event{late}); len(got) > 0 {
		t.Errorf("Step() with an event of a former call = %+v, want no actions", got)
	}
	s = newScriptedMachine(t, 1)
	s.step(nil, &ReadPage{})
	page := &PageRead{Cluster: 7, Revision: 10, KVs: []KV{endpointKV("a", 1)}, More: true}
	next := s.step(page, &ReadPage{})[0].(*ReadPage)
	last := Key("/t", EndpointsFolder, "a")
	if next.Key <= last || next.Key > last+"!" || next.Revision != 10 {
		t.Errorf("request for the second page = %+v, want one from right after key %q, at revision 10", next, last)
	}
}

// Watches that end right after they were opened, again and again, lead to longer and longer
// backoff. If a successful opening reset the count of failures, the machine would reconnect
// at full speed.
func TestShortWatchesBackOff(t *testing.T) {
	s := watchingMachine(t, 2)
	var backoffs []Time
	for range 60 {
		s.step(&CallFailed{Reason: ReasonUnavailable})
		if s.machine.state == backingOff {
			backoffs = append(backoffs, s.machine.NextDeadline()-s.now)
			s.now = s.machine.NextDeadline()
			s.step(nil)
		}
		s.step(&WatchOpened{Cluster: 7, Revision: 10})
	}
	settings := &s.machine.settings
	if len(backoffs) < 20 || backoffs[len(backoffs)-1] < settings.MaxBackoff/2-1000 ||
		backoffs[0] > 2*settings.MinBackoff {
		t.Errorf("got %d backoffs, in µs: %v; want at least 20, from about %d to about %d",
			len(backoffs), backoffs, settings.MinBackoff, settings.MaxBackoff)
	}
}
