package core

import (
	"log/slog"
	"slices"

	"troutusher/internal/idlestore"
	"troutusher/policy"
)

// Idle destinations are passive: they are kept in a compact store, and neither the core nor
// the policy nor the driver holds any state of their endpoints. The first message for a
// destination activates it and restores its learned state.

const (
	// passivationBatchSize is the maximum number of destinations that are passivated, and of
	// those that are forgotten, in one step.
	passivationBatchSize = 64
	// forgetDepartedAfter is the time for which a passive destination without an endpoint
	// remains known. During this time, messages for it are held.
	forgetDepartedAfter = policy.Time(1800e6)
)

// passivationState holds the active and the passive destinations.
type passivationState struct {
	active      *idlestore.ActiveSet
	store       *idlestore.Store // the passive destinations; nil until there is one
	candidates  []int            // destinations to passivate; the memory is reused
	nextCheckAt policy.Time      // time of the next check for idle destinations
	unhealthy   map[int]bool     // passive destinations with an unhealthy endpoint
	departed    []departedDestination
}

// departedDestination is a passive destination whose last endpoint may have been removed.
type departedDestination struct {
	dest int
	at   policy.Time // time of the removal
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

// PassiveDestinations returns the number of passive destinations and the memory that they
// use, in bytes.
func (c *Core) PassiveDestinations() (count, bytes int) {
	if c.passivation.store == nil {
		return 0, 0
	}
	return c.passivation.store.Len(), c.passivation.store.Bytes()
}

// ensureActive makes a destination active if it is passive or new.
func (c *Core) ensureActive(dest int) {
	c.activate(dest)
	if !c.passivation.active.Contains(dest) {
		c.passivation.active.Touch(dest, c.now)
	}
}

// activate activates a passive destination. It adds the endpoints of the destination, and queues
// the policy event that reports them. Events that refer to the endpoints are queued after it.
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
		if c.listUpdate != nil && c.listUpdate.complete && stored.Unconfirmed { // not named by the list so far
			c.listUpdate.unnamed[stored.ID] = true
		}
		numbers[endpointHash(stored.ID, stored.HostPort)] = update.Endpoint
		event.Updates = append(event.Updates, update)
	}
	var err error
	event.Snapshot, err = unpack(packed, dest, func(hash uint32) policy.EndpointID { return numbers[hash] })
	if err != nil {
		c.log(slog.LevelError, "learned state of a passive destination cannot be decoded; activating it without",
			"dest", dest, "err", err)
	}
	c.policyEvents = append(c.policyEvents, event)
}

// activateAll activates the destinations of a snapshot, so that the snapshot can be loaded.
// Idle ones are passivated again later.
func (c *Core) activateAll(snapshot *policy.Snapshot) {
	for i := range snapshot.Limiters {
		c.activate(snapshot.Limiters[i].Destination)
	}
}

// passivateIdle passivates idle destinations if more are active than the limits allow and if the
// policy permits it. It does nothing while sends are deferred, a shutdown was requested or a list
// is being applied.
func (c *Core) passivateIdle() {
	state := &c.passivation
	busy := c.deferral.isActive() || c.shutdown.requested || c.listUpdate != nil
	if !state.active.OverLimit() || state.nextCheckAt > c.now || busy {
		return
	}
	state.candidates, state.nextCheckAt = state.active.Idle(c.now, passivationBatchSize, state.candidates[:0])
	if selected := c.selectPassive(state.candidates); len(selected) > 0 {
		c.passivate(selected)
	}
	if state.nextCheckAt > 0 {
		c.timers.add(max(state.nextCheckAt, c.now+1))
	}
	c.forgetDeparted()
}

// selectPassive returns the candidates that may be passivated as the keys of a map, to which
// the caller adds their endpoints. The other candidates count as used now.
func (c *Core) selectPassive(candidates []int) map[int][]idlestore.Endpoint {
	selected := make(map[int][]idlestore.Endpoint, len(candidates))
	for _, dest := range candidates {
		if c.policy.CanPassivate(c.now, dest) {
			selected[dest] = nil
		} else {
			c.passivation.active.Touch(dest, c.now)
		}
	}
	for _, endpoint := range c.endpoints.all {
		if _, ok := selected[endpoint.dest]; ok && c.retryAfterOf(endpoint) > c.now {
			delete(selected, endpoint.dest)
			c.passivation.active.Touch(endpoint.dest, c.now)
		}
	}
	return selected
}

// passivate moves the selected destinations into the store.
func (c *Core) passivate(selected map[int][]idlestore.Endpoint) {
	if c.passivation.store == nil {
		c.passivation.store = idlestore.New()
	}
	hashes := map[policy.EndpointID]uint32{}
	c.endpoints.removeFunc(func(endpoint *endpointState) bool {
		stored, ok := selected[endpoint.dest]
		if !ok || !endpoint.listed { // forgetRetired removes an endpoint that is not in the list
			return false
		}
		selected[endpoint.dest] = append(stored, storedEndpoint(&endpoint.member))
		hashes[endpoint.number] = endpointHash(endpoint.id, endpoint.hostPort)
		if endpoint.open {
			c.emit(CloseEndpoint{Endpoint: endpoint.number})
		}
		c.emit(ForgetEndpoint{Endpoint: endpoint.number})
		return true
	})
	for _, dest := range c.passivation.candidates {
		if endpoints, ok := selected[dest]; ok {
			c.storeDestination(dest, endpoints, hashes)
		}
	}
}

// storeDestination moves one destination into the store, with its learned state.
func (c *Core) storeDestination(dest int, endpoints []idlestore.Endpoint, hashes map[policy.EndpointID]uint32) {
	snapshot := c.policy.Passivate(c.now, dest)
	packed, err := pack(snapshot, func(number policy.EndpointID) (uint32, bool) {
		hash, ok := hashes[number]
		return hash, ok
	})
	if err != nil {
		c.log(slog.LevelError, "learned state of an idle destination cannot be encoded; passivating it without",
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

// hasUnhealthyEndpoint reports whether the snapshot of a destination contains an unhealthy
// endpoint. State snapshots include such a destination, so that the process that runs after a restart
// knows of the unhealthy endpoint.
func hasUnhealthyEndpoint(snapshot *policy.Snapshot) bool {
	for i := range snapshot.Limiters {
		if slices.ContainsFunc(snapshot.Limiters[i].Endpoints, isUnhealthy) {
			return true
		}
	}
	return false
}

func isUnhealthy(endpoint policy.EndpointSnapshot) bool { return endpoint.Unhealthy }

// noteDeparture records that a passive destination may have no endpoint left.
func (c *Core) noteDeparture(dest int) {
	c.passivation.departed = append(c.passivation.departed, departedDestination{dest: dest, at: c.now})
}

// departedDestinations returns the passive destinations without an endpoint, sorted.
func (c *Core) departedDestinations() (dests []int) {
	for _, departed := range c.passivation.departed {
		if _, endpoints, ok := c.passivation.store.Peek(departed.dest); ok && len(endpoints) == 0 {
			dests = append(dests, departed.dest)
		}
	}
	slices.Sort(dests)
	return slices.Compact(dests)
}

// forgetDeparted forgets destinations that have had no endpoint for forgetDepartedAfter. From
// then on, messages for such a destination are rejected, because no list names it.
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
