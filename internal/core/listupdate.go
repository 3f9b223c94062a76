package core

import (
	"maps"
	"slices"

	"troutusher/policy"
)

// defaultListBatchSize is the maximum number of list members that are applied in one step, in
// addition to those of active destinations. Applying a list of a million members in one step
// would keep clients waiting.
const defaultListBatchSize = 4096

// listUpdate is an endpoint list that is being applied. Members of active destinations are
// applied at once, because a drain must take effect immediately. The others follow in batches.
// A destination is active if its endpoints are in Core.endpoints and known to the policy. The
// endpoints of a passive destination, which is idle, are only in the store of package idlestore.
type listUpdate struct {
	list     *EndpointList
	complete bool   // the list contains every existing endpoint
	applied  []bool // by index of the member; set for members that the batches need not apply
	next     int    // index of the first member of the next batch
	// unnamed holds the ids of endpoints that a complete list has not named so far and whose
	// destination was activated during the update. activate adds the ids, and applyMember
	// deletes those that the list names. The endpoints that remain at the end are removed.
	unnamed map[string]bool
}

func newListUpdate(list *EndpointList, kind policy.ListUpdateKind) *listUpdate {
	return &listUpdate{
		list: list, complete: kind != policy.ListDelta,
		applied: make([]bool, len(list.Members)), unnamed: map[string]bool{},
	}
}

// applyList begins to apply an endpoint list. It first finishes a list that is still being
// applied, so that the newer list takes precedence. It then applies the members of active
// destinations, retires those endpoints of active destinations that a complete list does not name,
// and applies the first batch of the other members.
func (c *Core) applyList(list *EndpointList, kind policy.ListUpdateKind) {
	c.finishListUpdate()
	c.listRevision = list.Revision
	c.stateVersion++
	update := newListUpdate(list, kind)
	c.listUpdate = update
	if store := c.passivation.store; store != nil && update.complete {
		store.BeginList()
	}
	named, updates := c.applyActiveMembers(update)
	if update.complete {
		for _, endpoint := range c.endpoints.all {
			if !named[endpoint.id] {
				endpoint.listed = false
				c.retireEndpoint(endpoint)
			}
		}
	}
	c.policyEvents = append(c.policyEvents, policy.Event{
		Kind: policy.EvListUpdated, ListUpdate: kind, Updates: updates,
	})
	c.forgetRetired(named)
	c.applyListBatch(c.listBatchSize)
}

// applyActiveMembers applies the members that concern active destinations. It returns the ids
// of the endpoints that they name, and the updates for the policy. A member whose endpoint is
// already in Core.endpoints counts as concerning an active destination, even if the list moves the
// endpoint to a passive one or removes it. This is determined before the first member is applied,
// so that endpoints added by this step do not count.
func (c *Core) applyActiveMembers(update *listUpdate) (named map[string]bool, updates []policy.EndpointUpdate) {
	members := update.list.Members
	for i := range members {
		update.applied[i] = c.endpoints.byID[members[i].ID] != nil
	}
	named = map[string]bool{}
	for i := range members {
		member := &members[i]
		if !update.applied[i] && (member.Phase == Removed || !c.passivation.active.Contains(member.Dest)) {
			continue
		}
		update.applied[i] = true
		if member.Check() != nil {
			// Skip the invalid member. If the list is complete and the endpoint is in
			// Core.endpoints, it is retired like one that the list does not name. Only the configured
			// list can have invalid members: lists from discovery were checked before.
			continue
		}
		if policyUpdate, active := c.applyMember(member); active {
			named[member.ID] = true
			updates = append(updates, policyUpdate)
		}
	}
	return named, updates
}

// forgetRetired forgets endpoints that were retired long ago, because they would otherwise
// accumulate in memory. It keeps the endpoints that the current list names, and those whose number the
// policy will need if they return.
func (c *Core) forgetRetired(named map[string]bool) {
	c.endpoints.removeFunc(func(endpoint *endpointState) bool {
		if named[endpoint.id] || !endpoint.mayBeForgotten(c.now) || c.policy.RemembersRoute(c.now, endpoint.number) {
			return false
		}
		c.emit(ForgetEndpoint{Endpoint: endpoint.number})
		return true
	})
}

// applyListBatch applies the next members of the list, at most limit of them, and reports
// whether there are more.
func (c *Core) applyListBatch(limit int) (more bool) {
	update := c.listUpdate
	var updates []policy.EndpointUpdate
	for ; update.next < len(update.applied) && limit > 0; update.next++ {
		member := &update.list.Members[update.next]
		if update.applied[update.next] || member.Check() != nil {
			continue
		}
		limit--
		if policyUpdate, active := c.applyMember(member); active {
			updates = append(updates, policyUpdate)
		}
	}
	more = update.next < len(update.applied)
	if !more {
		updates = append(updates, c.removeUnnamed(update)...)
	}
	if len(updates) > 0 {
		c.policyEvents = append(c.policyEvents, policy.Event{
			Kind: policy.EvListUpdated, ListUpdate: policy.ListDelta, Updates: updates,
		})
	}
	if !more {
		c.endListUpdate(update)
	}
	return more
}

// removeUnnamed removes the endpoints that are still in update.unnamed after the whole list has been
// applied.
func (c *Core) removeUnnamed(update *listUpdate) (updates []policy.EndpointUpdate) {
	for _, id := range slices.Sorted(maps.Keys(update.unnamed)) {
		if endpoint := c.endpoints.byID[id]; endpoint != nil {
			updates = append(updates, c.updateEndpoint(&Member{ID: id, Dest: endpoint.dest, Phase: Removed}))
		}
	}
	return updates
}

// endListUpdate ends the update after all members of its list have been applied. After a
// complete list, the store removes the endpoints of passive destinations that the list did not
// name. noteDeparture records the destinations that lost endpoints in this way, because they may
// have none left. forgetDeparted forgets those that have had none for forgetDepartedAfter.
func (c *Core) endListUpdate(update *listUpdate) {
	if store := c.passivation.store; store != nil && update.complete {
		for _, dest := range store.EndList() {
			c.noteDeparture(dest)
		}
	}
	c.listUpdate = nil
	c.forgetDeparted()
}

// finishListUpdate applies the remaining members of a list that is being applied.
func (c *Core) finishListUpdate() {
	for more := c.listUpdate != nil; more; {
		more = c.applyListBatch(c.listBatchSize)
	}
}
