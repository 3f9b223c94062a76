package core

import (
	"maps"
	"slices"

	"troutusher/internal/idlestore"
	"troutusher/policy"
)

// maxSnapshotUnhealthy is the maximum number of passive destinations with an unhealthy endpoint
// in a state snapshot.
const maxSnapshotUnhealthy = 1024

// applyMember applies a member of the current list update, either to the store or to the
// endpoints of active destinations. In the second case active is true, and update is the
// update for the policy.
func (c *Core) applyMember(member *Member) (update policy.EndpointUpdate, active bool) {
	delete(c.listUpdate.unnamed, member.ID)
	if c.passivation.store != nil && c.applyStoredMember(member) {
		return update, false
	}
	if member.Phase == Removed {
		if c.endpoints.byID[member.ID] == nil {
			return update, false // never added, or already forgotten
		}
		return c.updateEndpoint(member), true
	}
	if c.belongsInStore(member) {
		stored := storedEndpoint(member)
		c.openStore().PutEndpoint(member.Dest, &stored)
		return update, false
	}
	c.ensureActive(member.Dest)
	return c.updateEndpoint(member), true
}

// applyStoredMember applies a member to its endpoint in the store, if there is one. It returns
// whether the member is done; otherwise the caller has to apply it further.
func (c *Core) applyStoredMember(member *Member) (done bool) {
	store := c.passivation.store
	removed := member.Phase == Removed
	stored := storedEndpoint(member)
	if !removed && store.ConfirmUnchanged(member.Dest, &stored) {
		return true
	}
	dest, ok := store.DestinationOf(member.ID)
	if !ok || !removed && member.Dest == dest {
		return false
	}
	store.RemoveEndpoint(member.ID)
	c.noteDeparture(dest)
	return removed
}

// belongsInStore reports whether a member's destination is passive, or is new and is to be
// passive from the start.
func (c *Core) belongsInStore(member *Member) bool {
	if c.endpoints.byID[member.ID] != nil || c.passivation.active.Contains(member.Dest) {
		return false
	}
	if !c.isPassive(member.Dest) && !c.passivation.active.Full() {
		return false
	}
	return c.passivation.store == nil || c.passivation.store.HasRoom()
}

// openStore returns the store of passive destinations, and creates it if necessary.
func (c *Core) openStore() *idlestore.Store {
	if c.passivation.store == nil {
		c.passivation.store = idlestore.New()
		if c.listUpdate.complete {
			c.passivation.store.BeginList()
		}
	}
	return c.passivation.store
}

// passiveExport collects the members of passive destinations, numbered after all active
// endpoints, and the learned state of the destinations.
type passiveExport struct {
	lastNumber policy.EndpointID
	members    []HandoverMember
	limiters   []policy.LimiterSnapshot
}

func (e *passiveExport) add(dest int, packed []byte, endpoints []idlestore.Endpoint) {
	numbers := map[uint32]policy.EndpointID{}
	for i := range endpoints {
		stored := &endpoints[i]
		e.lastNumber++
		numbers[endpointHash(stored.ID, stored.HostPort)] = e.lastNumber
		e.members = append(e.members, HandoverMember{Member: memberFromStore(dest, stored), Number: e.lastNumber})
	}
	snapshot, err := unpack(packed, dest, func(hash uint32) policy.EndpointID { return numbers[hash] })
	if err != nil {
		return // the members are exported without learned state
	}
	e.limiters = append(e.limiters, snapshot.Limiters...)
}

// passiveState returns the state of all passive destinations.
func (c *Core) passiveState() ([]HandoverMember, []policy.LimiterSnapshot) {
	export := passiveExport{lastNumber: c.endpoints.lastNumber}
	if store := c.passivation.store; store != nil {
		store.ForEach(export.add)
	}
	return export.members, export.limiters
}

// unhealthyPassiveState returns the state of the passive destinations that a restart needs to
// know, namely those with an unhealthy endpoint.
func (c *Core) unhealthyPassiveState() ([]HandoverMember, []policy.LimiterSnapshot) {
	export := passiveExport{lastNumber: c.endpoints.lastNumber}
	dests := slices.Sorted(maps.Keys(c.passivation.unhealthy))
	for _, dest := range dests[:min(len(dests), maxSnapshotUnhealthy)] {
		if packed, endpoints, ok := c.passivation.store.Peek(dest); ok {
			export.add(dest, packed, endpoints)
		}
	}
	return export.members, export.limiters
}

// storedEndpoint converts a member of the list to an endpoint of the store.
func storedEndpoint(member *Member) idlestore.Endpoint {
	return idlestore.Endpoint{
		ID: member.ID, HostPort: member.HostPort, Locality: member.Locality, Flavor: member.Flavor,
		Draining: member.Phase == Draining, Rate: member.Rate,
	}
}

// memberFromStore converts an endpoint of the store to a member of the list.
func memberFromStore(dest int, stored *idlestore.Endpoint) Member {
	member := Member{
		ID: stored.ID, HostPort: stored.HostPort, Locality: stored.Locality, Flavor: stored.Flavor,
		Dest: dest, Phase: Up, Rate: stored.Rate,
	}
	if stored.Draining {
		member.Phase = Draining
	}
	return member
}
