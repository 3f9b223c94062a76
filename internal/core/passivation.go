package core

import (
	"log/slog"
	"slices"

	"troutusher/internal/idlestore"
	"troutusher/policy"
)

// Destinations that nobody sends to are passive: they are kept in a compact store, and
// none of their endpoints has a place in the core, in the policy or at the driver. The
// first message activates a destination, with what was learned of it.

const (
	// passivationBatchSize is how many destinations are passivated in one step.
	passivationBatchSize = 64
	// forgetDepartedAfter is how long a passive destination without an endpoint is
	// known; messages for it are held meanwhile.
	forgetDepartedAfter = policy.Time(1800e6)
)

// passivationState is which destinations are active and which passive.
type passivationState struct {
	active      *idlestore.ActiveSet
	store       *idlestore.Store // the passive ones; nil until there is one
	candidates  []int            // the memory is reused
	nextCheckAt policy.Time      // when the active set is to be asked for idle ones again
	unhealthy   map[int]bool     // passive ones with an unhealthy endpoint
	departed    []departedDestination
}

// departedDestination is a passive destination that had no endpoint left at a time.
type departedDestination struct {
	dest int
	at   policy.Time
}

func newPassivationState(limits idlestore.Limits) passivationState {
	return passivationState{active: idlestore.NewActiveSet(limits), unhealthy: map[int]bool{}}
}

// isPassive reports whether a destination is passive.
func (c *Core) isPassive(dest int) bool {
	return c.passivation.store != nil && c.passivation.store.Has(dest)
}

// knowsDestination reports whether a list has named a destination.
func (c *Core) knowsDestination(dest int) bool { return c.knownDestinations[dest] || c.isPassive(dest) }

// PassiveDestinations is how many destinations are passive, and the bytes that they take.
func (c *Core) PassiveDestinations() (count, bytes int) {
	if c.passivation.store == nil {
		return 0, 0
	}
	return c.passivation.store.Len(), c.passivation.store.Bytes()
}

// ensureActive activates a destination that is not active.
func (c *Core) ensureActive(dest int) {
	c.activate(dest)
	if !c.passivation.active.Contains(dest) {
		c.passivation.active.Touch(dest, c.now)
	}
}

// activate activates a passive destination: its endpoints are known again, and the
// policy hears of them before all that is reported to it from here on.
func (c *Core) activate(dest int) {
	if !c.isPassive(dest) {
		return
	}
	packed, endpoints, _ := c.passivation.store.Activate(dest)
	c.passivation.active.Touch(dest, c.now)
	delete(c.passivation.unhealthy, dest)
	c.knownDestinations[dest] = true
	event := policy.Event{Kind: policy.EvListUpdated, ListUpdate: policy.ListDelta}
	numbers := map[uint32]policy.EndpointID{}
	for i := range endpoints {
		stored := &endpoints[i]
		member := memberFromStore(dest, stored)
		update := c.updateEndpoint(&member)
		if c.listUpdate != nil && c.listUpdate.complete && stored.Unconfirmed {
			c.listUpdate.unnamed[stored.ID] = true
		}
		numbers[endpointHash(stored.ID, stored.HostPort)] = update.Endpoint
		event.Updates = append(event.Updates, update)
	}
	var err error
	event.Snapshot, err = unpack(packed, dest, func(hash uint32) policy.EndpointID { return numbers[hash] })
	if err != nil { // the destination becomes active as one that nothing is known of
		c.log(slog.LevelError, "what was learned of a destination that rested cannot be read", "dest", dest, "err", err)
	}
	c.policyEvents = append(c.policyEvents, event)
}

// activateAll activates the destinations of a snapshot, so that it can be taken over.
// They become passive again in their time.
func (c *Core) activateAll(snapshot *policy.Snapshot) {
	for i := range snapshot.Limiters {
		c.activate(snapshot.Limiters[i].Destination)
	}
}

// passivateIdle passivates destinations that are idle and that the policy lets go.
func (c *Core) passivateIdle() {
	state := &c.passivation
	busy := c.deferral.active() || c.shutdown.requested || c.listUpdate != nil
	if !state.active.OverLimit() || state.nextCheckAt > c.now || busy {
		return
	}
	state.candidates, state.nextCheckAt = state.active.Idle(c.now, passivationBatchSize, state.candidates[:0])
	if leaving := c.selectPassive(state.candidates); len(leaving) > 0 {
		c.passivate(leaving)
	}
	if state.nextCheckAt > 0 {
		c.timers.add(max(state.nextCheckAt, c.now+1))
	}
	c.forgetDeparted()
}

// selectPassive selects the candidates that may be passivated, by destination; the
// endpoints of each are still to be added. The others count as active from now on.
func (c *Core) selectPassive(candidates []int) map[int][]idlestore.Endpoint {
	leaving := make(map[int][]idlestore.Endpoint, len(candidates))
	for _, dest := range candidates {
		if c.policy.CanPassivate(c.now, dest) {
			leaving[dest] = nil
		} else {
			c.passivation.active.Touch(dest, c.now)
		}
	}
	for _, endpoint := range c.endpoints.all {
		if _, ok := leaving[endpoint.dest]; ok && c.retryAfterOf(endpoint) > c.now {
			delete(leaving, endpoint.dest)
			c.passivation.active.Touch(endpoint.dest, c.now)
		}
	}
	return leaving
}

// passivate puts destinations into the store.
func (c *Core) passivate(leaving map[int][]idlestore.Endpoint) {
	if c.passivation.store == nil {
		c.passivation.store = idlestore.New()
	}
	hashes := map[policy.EndpointID]uint32{}
	c.endpoints.removeFunc(func(endpoint *endpointState) bool {
		stored, ok := leaving[endpoint.dest]
		if !ok || !endpoint.listed { // one that has left is kept for a while
			return false
		}
		leaving[endpoint.dest] = append(stored, storedEndpoint(&endpoint.member))
		hashes[endpoint.number] = endpointHash(endpoint.id, endpoint.hostPort)
		if endpoint.open {
			c.emit(CloseEndpoint{Endpoint: endpoint.number})
		}
		c.emit(ForgetEndpoint{Endpoint: endpoint.number})
		return true
	})
	for _, dest := range c.passivation.candidates {
		if endpoints, ok := leaving[dest]; ok {
			c.storeDestination(dest, endpoints, hashes)
		}
	}
}

// storeDestination puts one destination into the store, with what was learned of it.
func (c *Core) storeDestination(dest int, endpoints []idlestore.Endpoint, hashes map[policy.EndpointID]uint32) {
	snapshot := c.policy.Passivate(c.now, dest)
	packed, err := pack(snapshot, func(number policy.EndpointID) (uint32, bool) {
		hash, ok := hashes[number]
		return hash, ok
	})
	if err != nil {
		c.log(slog.LevelError, "what was learned of a destination cannot be kept while it rests",
			"dest", dest, "err", err)
	}
	c.passivation.store.Passivate(dest, packed, endpoints)
	c.passivation.active.Remove(dest)
	delete(c.knownDestinations, dest)
	delete(c.retryAfter, dest)
	if hasUnhealthyEndpoint(snapshot) {
		c.passivation.unhealthy[dest] = true
	}
	if len(endpoints) == 0 {
		c.noteDeparture(dest)
	}
	c.emit(PassivateDestination{Dest: dest})
}

// hasUnhealthyEndpoint reports whether a restart should know of a destination.
func hasUnhealthyEndpoint(snapshot *policy.Snapshot) bool {
	for i := range snapshot.Limiters {
		if slices.ContainsFunc(snapshot.Limiters[i].Endpoints, isUnhealthy) {
			return true
		}
	}
	return false
}

func isUnhealthy(endpoint policy.EndpointSnapshot) bool { return endpoint.Unhealthy }

// noteDeparture notes a passive destination that may have no endpoint left.
func (c *Core) noteDeparture(dest int) {
	c.passivation.departed = append(c.passivation.departed, departedDestination{dest: dest, at: c.now})
}

// departedDestinations are the passive destinations without an endpoint, in order.
func (c *Core) departedDestinations() (dests []int) {
	for _, departed := range c.passivation.departed {
		if _, endpoints, ok := c.passivation.store.Peek(departed.dest); ok && len(endpoints) == 0 {
			dests = append(dests, departed.dest)
		}
	}
	slices.Sort(dests)
	return slices.Compact(dests)
}

// forgetDeparted forgets destinations that have had no endpoint for long: a message for
// one is rejected from then on, since no list names it.
func (c *Core) forgetDeparted() {
	state := &c.passivation
	for range passivationBatchSize {
		if len(state.departed) == 0 || state.departed[0].at+forgetDepartedAfter > c.now {
			return
		}
		dest := state.departed[0].dest
		state.departed = state.departed[1:]
		if state.store.RemoveEmpty(dest) {
			delete(state.unhealthy, dest)
		}
	}
}
