package etcd

import (
	"reflect"
	"testing"

	"troutusher/internal/membership"
)

func TestSettings(t *testing.T) {
	for _, f := range []func(*Settings){
		func(s *Settings) { s.Prefix = "t" },
		func(s *Settings) { s.Prefix = "//" },
		func(s *Settings) { s.Members = 0 },
		func(s *Settings) { s.SilenceTimeout = 0 },
		func(s *Settings) { s.ReadTimeout = 0 },
		func(s *Settings) { s.MaxBackoff = 1 },
		func(s *Settings) { s.PageSize = -1 },
	} {
		s := DefaultSettings("/t", 1)
		if f(&s); s.Check() == nil {
			t.Errorf("%+v: no error", s)
		}
	}
	if _, err := New(Settings{Prefix: "/t", Members: 1}, 1); err == nil {
		t.Error("settings that were not made by Default")
	}
}

// scriptedMachine steps a machine by one event after another.
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

// step has something happen to the call that is out, or nothing where it is nil, and
// returns the actions that follow of the types of some samples.
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
		s.t.Fatalf("after %+v: %+v, want %T", e, found, samples)
	}
	return found
}

// stepToUpdate is step, and returns the update that follows.
func (s *scriptedMachine) stepToUpdate(e Event) *membership.Update {
	s.t.Helper()
	return s.step(e, &EmitUpdate{})[0].(*EmitUpdate).Update
}

// withCall is an event of a call.
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

// watchingMachine is a machine that watches cluster 7 from revision 11 on.
func watchingMachine(t *testing.T, members int) *scriptedMachine {
	s := newScriptedMachine(t, members)
	s.step(nil, &ReadPage{})
	page := &PageRead{Cluster: 7, Revision: 10, KVs: []KV{endpointKV("a", 1), endpointKV("b", 2)}}
	s.step(page, &EmitUpdate{}, &OpenWatch{})
	s.step(&WatchOpened{Cluster: 7, Revision: 10}, &EmitHeartbeat{})
	return s
}

// A watch that is of another cluster, or behind what is known, has all read once
// more; one that lags is let be after that, and one that was restored has a new
// epoch.
func TestReplacedCluster(t *testing.T) {
	s := watchingMachine(t, 1)
	kvs := []KV{endpointKV("c", 3)}
	s.step(&Changed{Cluster: 8, Revision: 11, LastRevision: 11, KVs: kvs}, &CancelCall{}, &ReadPage{})
	u := s.stepToUpdate(&PageRead{Cluster: 8, Revision: 40, KVs: kvs})
	if u.Epoch != "0000000000000008.0" || !u.Complete || u.Resync {
		t.Errorf("%+v", *u)
	}

	s = watchingMachine(t, 1)
	s.step(&CallFailed{Reason: ReasonUnavailable}, &OpenWatch{})
	s.step(&WatchOpened{Cluster: 7, Revision: 6}, &CancelCall{}, &ReadPage{})
	s.step(&PageRead{Cluster: 7, Revision: 10}, &EmitUpdate{}, &OpenWatch{}) // it lags
	s.step(&WatchOpened{Cluster: 7, Revision: 6}, &EmitHeartbeat{})

	s = watchingMachine(t, 1)
	s.step(&CallFailed{Reason: ReasonUnavailable}, &OpenWatch{})
	s.step(&WatchOpened{Cluster: 7, Revision: 6}, &CancelCall{}, &ReadPage{})
	if w := s.stepToUpdate(&PageRead{Cluster: 7, Revision: 6}); w.Epoch != "0000000000000007.1" || w.Revision != 6 {
		t.Errorf("%+v", *w)
	}
}

// A partner's rate is published for each of its endpoints that has none of its own; what
// comes of a call that is over counts for nothing; keys between two pages are read.
func TestRatesStaleEventsAndPages(t *testing.T) {
	s := watchingMachine(t, 1)
	partner := KV{Key: Key("/t", PartnersFolder, "1"), Value: `{"v":1,"rate":5}`}
	w := s.stepToUpdate(&Changed{Cluster: 7, Revision: 11, LastRevision: 11, KVs: []KV{partner}})
	if len(w.Members) != 1 || w.Members[0].ID != "a" || w.Members[0].Rate != 5 {
		t.Errorf("%+v", *w)
	}
	old := s.machine.call
	s.step(&CallFailed{Reason: ReasonUnavailable}, &OpenWatch{})
	s.step(&WatchOpened{Cluster: 7, Revision: 11}, &EmitHeartbeat{})
	late := &Changed{Call: old, Cluster: 7, Revision: 12, LastRevision: 12, KVs: []KV{endpointKV("x", 1)}}
	if got := s.machine.Step(s.now, []Event{late}); len(got) > 0 {
		t.Errorf("of a call that is over: %+v", got)
	}
	s = newScriptedMachine(t, 1)
	s.step(nil, &ReadPage{})
	page := &PageRead{Cluster: 7, Revision: 10, KVs: []KV{endpointKV("a", 1)}, More: true}
	next := s.step(page, &ReadPage{})[0].(*ReadPage)
	last := Key("/t", EndpointsFolder, "a")
	if next.Key <= last || next.Key > last+"!" || next.Revision != 10 {
		t.Errorf("the next page is %+v", next)
	}
}

// A watch that ends as it begins, again and again, is paused for, longer each time.
func TestShortWatchesBackOff(t *testing.T) {
	s := watchingMachine(t, 2)
	var pauses []Time
	for range 60 {
		s.step(&CallFailed{Reason: ReasonUnavailable})
		if s.machine.state == backingOff {
			pauses = append(pauses, s.machine.NextDeadline()-s.now)
			s.now = s.machine.NextDeadline()
			s.step(nil)
		}
		s.step(&WatchOpened{Cluster: 7, Revision: 10})
	}
	set := &s.machine.settings
	if len(pauses) < 20 || pauses[len(pauses)-1] < set.MaxBackoff/2-1000 || pauses[0] > 2*set.MinBackoff {
		t.Errorf("%d pauses: %v", len(pauses), pauses)
	}
}
