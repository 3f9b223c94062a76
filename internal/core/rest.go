package core

import (
	"log/slog"
	"maps"
	"slices"

	"troutusher/decide"
	"troutusher/internal/dormant"
)

// Destinations that nobody sends to rest in a compact store: no endpoint of
// theirs has a place in the core, in the policy or at the driver. The first
// message wakes one, with what was learned of it.

const (
	restAtOnce  = 64                  // so many are put away in one step
	waryMost    = 1024                // so many are written for a restart
	forgetNamed = decide.Time(1800e6) // how long one that rests and has no endpoint is known: its messages are held meanwhile
)

// leaver is a destination that had no endpoint left at a moment, and rested.
type leaver struct {
	dest int
	at   decide.Time
}

// rests are the destinations that are not awake, and who is.
type rests struct {
	store    *dormant.Store // nil until the first one rests
	roster   *dormant.Roster
	due      []int
	again    decide.Time  // when the roster wants to be asked
	wary     map[int]bool // of those that rest, the ones that were out
	departed []leaver
}

// asleep reports whether a destination rests.
func (r *Core) asleep(dest int) bool { return r.rest.store != nil && r.rest.store.Has(dest) }

// knows reports whether a list has named a destination.
func (r *Core) knows(dest int) bool { return r.named[dest] || r.asleep(dest) }

// Resting is how many destinations rest, and the bytes that these take.
func (r *Core) Resting() (dests, bytes int) {
	if r.rest.store == nil {
		return 0, 0
	}
	return r.rest.store.Len(), r.rest.store.Bytes()
}

// news books a member of the list under way where it belongs: in the store, or among what is
// awake, and then its entry is for the policy.
func (r *Core) news(x *Member) (entry decide.EndpointUpdate, awake bool) {
	s := r.rest.store
	delete(r.booking.unnamed, x.ID)
	if s != nil {
		e := dormant.Endpoint{ID: x.ID, HostPort: x.HostPort, Locality: x.Locality, Flavor: x.Flavor, Draining: x.Phase == Draining, Size: x.Size}
		if x.Phase != Removed && s.Same(x.Cell, &e) {
			return entry, false
		}
		if at, ok := s.Find(x.ID); ok && (x.Phase == Removed || x.Cell != at) {
			s.Remove(x.ID)
			r.departs(at)
			if x.Phase == Removed {
				return entry, false
			}
		}
	}
	if x.Phase == Removed {
		if r.byID[x.ID] == nil {
			return entry, false // it never came, or is forgotten
		}
		return r.member(x), true
	}
	if r.byID[x.ID] == nil && !r.rest.roster.Awake(x.Cell) && (r.asleep(x.Cell) || r.rest.roster.Full()) && (s == nil || s.Room()) {
		if s == nil {
			s = dormant.New()
			r.rest.store = s
			if r.booking.whole {
				s.Begin()
			}
		}
		s.Put(x.Cell, &dormant.Endpoint{ID: x.ID, HostPort: x.HostPort, Locality: x.Locality, Flavor: x.Flavor, Draining: x.Phase == Draining, Size: x.Size})
		return entry, false
	}
	r.attend(x.Cell)
	return r.member(x), true
}

// attend has a destination be awake.
func (r *Core) attend(dest int) {
	r.rouse(dest)
	if !r.rest.roster.Awake(dest) {
		r.rest.roster.Stir(dest, r.now)
	}
}

// departs notes a destination that rests and may have no endpoint left.
func (r *Core) departs(dest int) {
	r.rest.departed = append(r.rest.departed, leaver{dest, r.now})
}

// departed are the destinations that rest and have no endpoint.
func (r *Core) departed() (dests []int) {
	for _, x := range r.rest.departed {
		if _, endpoints, ok := r.rest.store.Peek(x.dest); ok && len(endpoints) == 0 {
			dests = append(dests, x.dest)
		}
	}
	slices.Sort(dests)
	return slices.Compact(dests)
}

// rouse wakes a destination, if it rests: its endpoints are known again, and the
// policy hears of them before anything else that is told it from here on.
func (r *Core) rouse(dest int) {
	if !r.asleep(dest) {
		return
	}
	learned, endpoints, _ := r.rest.store.Wake(dest)
	r.rest.roster.Stir(dest, r.now)
	delete(r.rest.wary, dest)
	r.named[dest] = true
	e := decide.Event{Kind: decide.EvListUpdated, ListUpdate: decide.ListDelta}
	number := map[uint32]decide.EndpointID{}
	for i := range endpoints {
		x := &endpoints[i]
		m := listed(dest, x)
		entry := r.member(&m)
		if r.booking != nil && r.booking.whole && x.Unnamed {
			r.booking.unnamed[x.ID] = true
		}
		number[endpointMark(x.ID, x.HostPort)] = entry.Endpoint
		e.Updates = append(e.Updates, entry)
	}
	var err error
	if e.Snapshot, err = unpack(learned, dest, func(mark uint32) decide.EndpointID { return number[mark] }); err != nil {
		r.tell(slog.LevelError, "what was learned of a destination that rested cannot be read", "dest", dest, "err", err) // it wakes as one that nobody knows
	}
	r.events = append(r.events, e)
}

// putAway has destinations rest that the roster names and the policy lets go.
func (r *Core) putAway() {
	s := &r.rest
	if !s.roster.Over() || s.again > r.now || r.ceding || r.awaiting || r.stopping || r.booking != nil {
		return
	}
	s.due, s.again = s.roster.Due(r.now, restAtOnce, s.due[:0])
	going := make(map[int][]dormant.Endpoint, len(s.due))
	for _, dest := range s.due {
		if r.policy.CanPassivate(r.now, dest) {
			going[dest] = nil
		} else {
			s.roster.Stir(dest, r.now)
		}
	}
	for _, ep := range r.endpoints {
		if _, ok := going[ep.cell]; ok && r.heldUntil(ep) > r.now {
			delete(going, ep.cell)
			s.roster.Stir(ep.cell, r.now)
		}
	}
	if len(going) > 0 {
		r.lay(going)
	}
	if s.again > 0 {
		r.timers.add(max(s.again, r.now+1))
	}
	r.forgetDeparted()
}

// lay puts destinations into the store.
func (r *Core) lay(going map[int][]dormant.Endpoint) {
	s := &r.rest
	if s.store == nil {
		s.store = dormant.New()
	}
	kept := r.endpoints[:0]
	marks := map[decide.EndpointID]uint32{}
	for _, ep := range r.endpoints {
		list, ok := going[ep.cell]
		if !ok || !ep.listed { // one that has left is kept for its wait, or a while
			kept = append(kept, ep)
			continue
		}
		m := &ep.member
		going[ep.cell] = append(list, dormant.Endpoint{ID: ep.id, HostPort: m.HostPort, Locality: m.Locality, Flavor: m.Flavor, Draining: m.Phase == Draining, Size: m.Size})
		marks[ep.num] = endpointMark(ep.id, ep.hostPort)
		if ep.open {
			r.do(Effect{Kind: Shut, Endpoint: ep.num})
		}
		r.do(Effect{Kind: Forget, Endpoint: ep.num})
		delete(r.byID, ep.id)
		delete(r.byNum, ep.num)
	}
	clear(r.endpoints[len(kept):])
	r.endpoints = kept
	for _, dest := range s.due {
		list, ok := going[dest]
		if !ok {
			continue
		}
		m := r.policy.Passivate(r.now, dest)
		b, err := pack(m, func(num decide.EndpointID) (uint32, bool) { x, ok := marks[num]; return x, ok })
		if err != nil {
			r.tell(slog.LevelError, "what was learned of a destination cannot be kept while it rests", "dest", dest, "err", err)
		}
		s.store.Sleep(dest, b, list)
		s.roster.Leave(dest)
		delete(r.named, dest)
		delete(r.waits, dest)
		if wary(m) {
			s.wary[dest] = true
		}
		if len(list) == 0 {
			r.departs(dest)
		}
		r.do(Effect{Kind: Rest, Dest: dest})
	}
}

// wary: a restart should know that it was out.
func wary(m *decide.Snapshot) bool {
	for i := range m.Limiters {
		for j := range m.Limiters[i].Endpoints {
			if m.Limiters[i].Endpoints[j].Unhealthy {
				return true
			}
		}
	}
	return false
}

// forgetDeparted lets go of destinations that have had no endpoint for long: a
// message for one is told then that no list names it.
func (r *Core) forgetDeparted() {
	s := &r.rest
	for n := 0; n < restAtOnce && len(s.departed) > 0 && s.departed[0].at+forgetNamed <= r.now; n++ {
		dest := s.departed[0].dest
		s.departed = s.departed[1:]
		if s.store.Forget(dest) {
			delete(s.wary, dest)
		}
	}
}

// wakeAll wakes the destinations that a memory tells of, so that it can be taken
// over; they rest again in their time.
func (r *Core) wakeAll(m *decide.Snapshot) {
	for i := range m.Limiters {
		r.rouse(m.Limiters[i].Destination)
	}
}

// resting shows the members of destinations that rest, with numbers that no other
// endpoint has, and what was learned of them: of all, or of those alone that a
// restart should know.
func (r *Core) resting(all bool) (members []CarriedMember, lanes []decide.LimiterSnapshot) {
	s := &r.rest
	if s.store == nil {
		return nil, nil
	}
	next := r.lastEnd
	show := func(dest int, learned []byte, endpoints []dormant.Endpoint) {
		number := map[uint32]decide.EndpointID{}
		for i := range endpoints {
			x := &endpoints[i]
			next++
			number[endpointMark(x.ID, x.HostPort)] = next
			members = append(members, CarriedMember{Member: listed(dest, x), Number: next})
		}
		m, err := unpack(learned, dest, func(mark uint32) decide.EndpointID { return number[mark] })
		if err != nil {
			return // it is known by its members
		}
		lanes = append(lanes, m.Limiters...)
	}
	if all {
		s.store.All(show)
		return members, lanes
	}
	dests := slices.Sorted(maps.Keys(s.wary))
	for _, dest := range dests[:min(len(dests), waryMost)] {
		if learned, endpoints, ok := s.store.Peek(dest); ok {
			show(dest, learned, endpoints)
		}
	}
	return members, lanes
}

// listed is an endpoint as the list has it.
func listed(dest int, x *dormant.Endpoint) Member {
	m := Member{ID: x.ID, HostPort: x.HostPort, Locality: x.Locality, Flavor: x.Flavor, Cell: dest, Phase: Up, Size: x.Size}
	if x.Draining {
		m.Phase = Draining
	}
	return m
}
