package core

import (
	"log/slog"
	"maps"
	"slices"

	"troutusher/internal/idlestore"
	"troutusher/policy"
)

// Destinations that nobody sends to rest in a compact store: no endpoint of
// theirs has a place in the core, in the policy or at the driver. The first
// message wakes one, with what was learned of it.

const (
	passivationBatchSize = 64                  // so many are put away in one step
	maxSnapshotEjected   = 1024                // so many are written for a restart
	forgetDepartedAfter  = policy.Time(1800e6) // how long one that rests and has no endpoint is known: its messages are held meanwhile
)

// departedDestination is a destination that had no endpoint left at a moment, and rested.
type departedDestination struct {
	dest int
	at   policy.Time
}

// passivationState are the destinations that are not awake, and who is.
type passivationState struct {
	store               *idlestore.Store // nil until the first one rests
	roster              *idlestore.ActiveSet
	candidates          []int
	nextCheckAt         policy.Time  // when the roster wants to be asked
	ejectedWhilePassive map[int]bool // of those that rest, the ones that were out
	departed            []departedDestination
}

// isPassive reports whether a destination rests.
func (r *Core) isPassive(dest int) bool {
	return r.passivation.store != nil && r.passivation.store.Has(dest)
}

// knowsDestination reports whether a list has named a destination.
func (r *Core) knowsDestination(dest int) bool { return r.knownDestinations[dest] || r.isPassive(dest) }

// PassiveDestinations is how many destinations rest, and the bytes that these take.
func (r *Core) PassiveDestinations() (dests, bytes int) {
	if r.passivation.store == nil {
		return 0, 0
	}
	return r.passivation.store.Len(), r.passivation.store.Bytes()
}

// applyMember books a member of the list under way where it belongs: in the store, or among what is
// awake, and then its entry is for the policy.
func (r *Core) applyMember(x *Member) (entry policy.EndpointUpdate, awake bool) {
	s := r.passivation.store
	delete(r.listUpdate.unnamed, x.ID)
	if s != nil {
		e := idlestore.Endpoint{ID: x.ID, HostPort: x.HostPort, Locality: x.Locality, Flavor: x.Flavor, Draining: x.Phase == Draining, Size: x.Rate}
		if x.Phase != Removed && s.ConfirmUnchanged(x.Dest, &e) {
			return entry, false
		}
		if at, ok := s.DestinationOf(x.ID); ok && (x.Phase == Removed || x.Dest != at) {
			s.RemoveEndpoint(x.ID)
			r.noteDeparture(at)
			if x.Phase == Removed {
				return entry, false
			}
		}
	}
	if x.Phase == Removed {
		if r.endpointsByID[x.ID] == nil {
			return entry, false // it never came, or is forgotten
		}
		return r.updateEndpoint(x), true
	}
	if r.endpointsByID[x.ID] == nil && !r.passivation.roster.Contains(x.Dest) && (r.isPassive(x.Dest) || r.passivation.roster.Full()) && (s == nil || s.HasRoom()) {
		if s == nil {
			s = idlestore.New()
			r.passivation.store = s
			if r.listUpdate.complete {
				s.BeginList()
			}
		}
		s.PutEndpoint(x.Dest, &idlestore.Endpoint{ID: x.ID, HostPort: x.HostPort, Locality: x.Locality, Flavor: x.Flavor, Draining: x.Phase == Draining, Size: x.Rate})
		return entry, false
	}
	r.ensureActive(x.Dest)
	return r.updateEndpoint(x), true
}

// ensureActive has a destination be awake.
func (r *Core) ensureActive(dest int) {
	r.activate(dest)
	if !r.passivation.roster.Contains(dest) {
		r.passivation.roster.Touch(dest, r.now)
	}
}

// noteDeparture notes a destination that rests and may have no endpoint left.
func (r *Core) noteDeparture(dest int) {
	r.passivation.departed = append(r.passivation.departed, departedDestination{dest, r.now})
}

// departedDestinations are the destinations that rest and have no endpoint.
func (r *Core) departedDestinations() (dests []int) {
	for _, x := range r.passivation.departed {
		if _, endpoints, ok := r.passivation.store.Peek(x.dest); ok && len(endpoints) == 0 {
			dests = append(dests, x.dest)
		}
	}
	slices.Sort(dests)
	return slices.Compact(dests)
}

// activate wakes a destination, if it rests: its endpoints are known again, and the
// policy hears of them before anything else that is told it from here on.
func (r *Core) activate(dest int) {
	if !r.isPassive(dest) {
		return
	}
	learned, endpoints, _ := r.passivation.store.Activate(dest)
	r.passivation.roster.Touch(dest, r.now)
	delete(r.passivation.ejectedWhilePassive, dest)
	r.knownDestinations[dest] = true
	e := policy.Event{Kind: policy.EvListUpdated, ListUpdate: policy.ListDelta}
	number := map[uint32]policy.EndpointID{}
	for i := range endpoints {
		x := &endpoints[i]
		m := memberFromStore(dest, x)
		entry := r.updateEndpoint(&m)
		if r.listUpdate != nil && r.listUpdate.complete && x.Unconfirmed {
			r.listUpdate.unnamed[x.ID] = true
		}
		number[endpointHash(x.ID, x.HostPort)] = entry.Endpoint
		e.Updates = append(e.Updates, entry)
	}
	var err error
	if e.Snapshot, err = unpack(learned, dest, func(mark uint32) policy.EndpointID { return number[mark] }); err != nil {
		r.log(slog.LevelError, "what was learned of a destination that rested cannot be read", "dest", dest, "err", err) // it wakes as one that nobody knows
	}
	r.policyEvents = append(r.policyEvents, e)
}

// passivateIdle has destinations rest that the roster names and the policy lets go.
func (r *Core) passivateIdle() {
	s := &r.passivation
	if !s.roster.OverLimit() || s.nextCheckAt > r.now || r.handingOver || r.sendsDeferred || r.shuttingDown || r.listUpdate != nil {
		return
	}
	s.candidates, s.nextCheckAt = s.roster.Idle(r.now, passivationBatchSize, s.candidates[:0])
	going := make(map[int][]idlestore.Endpoint, len(s.candidates))
	for _, dest := range s.candidates {
		if r.policy.CanPassivate(r.now, dest) {
			going[dest] = nil
		} else {
			s.roster.Touch(dest, r.now)
		}
	}
	for _, ep := range r.endpoints {
		if _, ok := going[ep.dest]; ok && r.retryAfterOf(ep) > r.now {
			delete(going, ep.dest)
			s.roster.Touch(ep.dest, r.now)
		}
	}
	if len(going) > 0 {
		r.passivate(going)
	}
	if s.nextCheckAt > 0 {
		r.timers.add(max(s.nextCheckAt, r.now+1))
	}
	r.forgetDeparted()
}

// passivate puts destinations into the store.
func (r *Core) passivate(going map[int][]idlestore.Endpoint) {
	s := &r.passivation
	if s.store == nil {
		s.store = idlestore.New()
	}
	kept := r.endpoints[:0]
	marks := map[policy.EndpointID]uint32{}
	for _, ep := range r.endpoints {
		list, ok := going[ep.dest]
		if !ok || !ep.listed { // one that has left is kept for its wait, or a while
			kept = append(kept, ep)
			continue
		}
		m := &ep.member
		going[ep.dest] = append(list, idlestore.Endpoint{ID: ep.id, HostPort: m.HostPort, Locality: m.Locality, Flavor: m.Flavor, Draining: m.Phase == Draining, Size: m.Rate})
		marks[ep.number] = endpointHash(ep.id, ep.hostPort)
		if ep.open {
			r.emit(CloseEndpoint{Endpoint: ep.number})
		}
		r.emit(ForgetEndpoint{Endpoint: ep.number})
		delete(r.endpointsByID, ep.id)
		delete(r.endpointsByNumber, ep.number)
	}
	clear(r.endpoints[len(kept):])
	r.endpoints = kept
	for _, dest := range s.candidates {
		list, ok := going[dest]
		if !ok {
			continue
		}
		m := r.policy.Passivate(r.now, dest)
		b, err := pack(m, func(num policy.EndpointID) (uint32, bool) { x, ok := marks[num]; return x, ok })
		if err != nil {
			r.log(slog.LevelError, "what was learned of a destination cannot be kept while it rests", "dest", dest, "err", err)
		}
		s.store.Passivate(dest, b, list)
		s.roster.Remove(dest)
		delete(r.knownDestinations, dest)
		delete(r.retryAfter, dest)
		if hasEjectedEndpoint(m) {
			s.ejectedWhilePassive[dest] = true
		}
		if len(list) == 0 {
			r.noteDeparture(dest)
		}
		r.emit(PassivateDestination{Dest: dest})
	}
}

// hasEjectedEndpoint: a restart should know that it was out.
func hasEjectedEndpoint(m *policy.Snapshot) bool {
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
	s := &r.passivation
	for n := 0; n < passivationBatchSize && len(s.departed) > 0 && s.departed[0].at+forgetDepartedAfter <= r.now; n++ {
		dest := s.departed[0].dest
		s.departed = s.departed[1:]
		if s.store.RemoveEmpty(dest) {
			delete(s.ejectedWhilePassive, dest)
		}
	}
}

// activateAll wakes the destinations that a memory tells of, so that it can be taken
// over; they rest again in their time.
func (r *Core) activateAll(m *policy.Snapshot) {
	for i := range m.Limiters {
		r.activate(m.Limiters[i].Destination)
	}
}

// passiveState shows the members of destinations that rest, with numbers that no other
// endpoint has, and what was learned of them: of all, or of those alone that a
// restart should know.
func (r *Core) passiveState(all bool) (members []HandoverMember, lanes []policy.LimiterSnapshot) {
	s := &r.passivation
	if s.store == nil {
		return nil, nil
	}
	next := r.lastEndpointNumber
	show := func(dest int, learned []byte, endpoints []idlestore.Endpoint) {
		number := map[uint32]policy.EndpointID{}
		for i := range endpoints {
			x := &endpoints[i]
			next++
			number[endpointHash(x.ID, x.HostPort)] = next
			members = append(members, HandoverMember{Member: memberFromStore(dest, x), Number: next})
		}
		m, err := unpack(learned, dest, func(mark uint32) policy.EndpointID { return number[mark] })
		if err != nil {
			return // it is known by its members
		}
		lanes = append(lanes, m.Limiters...)
	}
	if all {
		s.store.ForEach(show)
		return members, lanes
	}
	dests := slices.Sorted(maps.Keys(s.ejectedWhilePassive))
	for _, dest := range dests[:min(len(dests), maxSnapshotEjected)] {
		if learned, endpoints, ok := s.store.Peek(dest); ok {
			show(dest, learned, endpoints)
		}
	}
	return members, lanes
}

// memberFromStore is an endpoint as the list has it.
func memberFromStore(dest int, x *idlestore.Endpoint) Member {
	m := Member{ID: x.ID, HostPort: x.HostPort, Locality: x.Locality, Flavor: x.Flavor, Dest: dest, Phase: Up, Rate: x.Size}
	if x.Draining {
		m.Phase = Draining
	}
	return m
}
