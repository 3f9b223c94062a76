package core

import "troutusher/policy"

// StateSnapshot is the state of destinations that a later process of this relay needs. It
// contains no messages: those are in the write-ahead log. Times are times of the core's clock.
type StateSnapshot struct {
	Now      policy.Time      `json:"now"`
	Revision int64            `json:"revision"` // of the endpoint list
	Members  []HandoverMember `json:"members"`  // in the same form as for a hand-over
	// Partial is set if the core has had passive destinations: idle ones whose state is packed
	// into a compact store. Of these, the snapshot contains only those with an unhealthy
	// endpoint, and at most maxSnapshotUnhealthy of them.
	Partial     bool                 `json:"partial,omitempty"`
	RetryAfters []HandoverRetryAfter `json:"waits,omitempty"`
	Policy      *policy.Snapshot     `json:"policy"`
}

// SnapshotState returns a snapshot of the current state. The snapshot shares no memory with the
// core.
func (c *Core) SnapshotState(now policy.Time) *StateSnapshot {
	c.now = max(now, c.now)
	snapshot := &StateSnapshot{
		Now: c.now, Revision: c.listRevision, Members: c.handoverMembers(), Partial: c.passivation.store != nil,
		RetryAfters: c.handoverRetryAfters(), Policy: c.policy.Snapshot(c.now),
	}
	members, limiters := c.unhealthyPassiveState()
	snapshot.Members = append(snapshot.Members, members...)
	snapshot.Policy.Limiters = append(snapshot.Policy.Limiters, limiters...)
	return snapshot
}

// StateVersion returns the number of state changes that should survive a restart: failed calls,
// endpoint lists, and endpoints that became unhealthy or healthy again. It does not count
// successful calls, from which the policy learns too; CompletedCalls counts all calls. From the
// two counts the caller decides when to write a snapshot: soon after a change of StateVersion,
// later after a change of only CompletedCalls.
func (c *Core) StateVersion() uint64 { return c.stateVersion }

// CompletedCalls returns the number of attempts that have ended, with any outcome. See
// StateVersion for its use.
func (c *Core) CompletedCalls() uint64 { return c.completedCalls }

// EndpointList returns the endpoint list that the core had when the snapshot was made. Endpoints
// that were draining at that time have the phase Draining in the returned list, and so have
// removed ones, which it contains only if they had a Retry-After in force or an open call.
func (s *StateSnapshot) EndpointList() *EndpointList {
	return &EndpointList{Revision: s.Revision, Complete: !s.Partial, Members: membersOf(s.Members)}
}

// DropRecentCounts removes, from each limiter, the counts of requests and of accepted requests in
// the last 10 seconds. They are the largest part of the snapshot and the first to become outdated.
// A limiter is the policy's rate control for a destination or, if the destination's endpoints are
// independent routes (see hasIndependentRoutes), for one endpoint.
func (s *StateSnapshot) DropRecentCounts() {
	for i := range s.Policy.Limiters {
		s.Policy.Limiters[i].Bins = nil
	}
}

// RestoreState takes over the learned state of an earlier process. The caller must have passed
// the endpoint list to the core before, but the core need not have applied all of it. State is
// restored only for endpoints with the same id, address and destination as in the snapshot.
// shift is added to the snapshot's times to convert them to this core's clock.
//
// A list is applied in batches, over several steps, and state can be restored only for endpoints
// of active destinations. RestoreState therefore first applies the rest of the list, activates the
// destinations of the snapshot, and makes their endpoints known to the policy. Then it restores the
// Retry-Afters and the state of the policy, and last it passes the Retry-Afters in force to the
// driver.
func (c *Core) RestoreState(now policy.Time, snapshot *StateSnapshot, shift policy.Time, effects []Effect) []Effect {
	c.beginStep(now, effects)
	c.finishListUpdate()
	if snapshot.Policy != nil {
		c.activateAll(snapshot.Policy)
	}
	c.runPolicy() // makes the endpoints known to the policy before their state is restored
	for _, retryAfter := range snapshot.RetryAfters {
		if c.knowsDestination(retryAfter.Dest) {
			c.extendRetryAfter(retryAfter.Dest, retryAfter.Until+shift)
		}
	}
	if snapshot.Policy != nil {
		c.translateSnapshot(snapshot.Policy, snapshot.Members, shift)
		c.policy.RestoreAfterRestart(c.now, snapshot.Policy, shift)
	}
	for _, endpoint := range c.endpoints.all {
		c.applyRetryAfter(endpoint)
	}
	return c.takeEffects()
}

// translateSnapshot replaces the endpoint numbers in another core's policy snapshot by those of
// this core. It also takes over the Retry-Afters that apply to a single endpoint (see
// hasIndependentRoutes). Endpoints that are unknown here, or have another address or destination
// now, get the number 0, which no endpoint has.
func (c *Core) translateSnapshot(snapshot *policy.Snapshot, members []HandoverMember, shift policy.Time) {
	// A member's ID is its name in the endpoint list. The policy's EndpointID is something else:
	// the number that a core has assigned to the endpoint.
	newNumbers := map[policy.EndpointID]policy.EndpointID{} // by number in the snapshot
	for i := range members {
		member := &members[i]
		endpoint := c.endpoints.byID[member.ID]
		if endpoint == nil || endpoint.hostPort != member.HostPort || endpoint.dest != member.Dest {
			continue
		}
		newNumbers[member.Number] = endpoint.number
		if member.RetryAfter > 0 {
			endpoint.retryAfter = max(endpoint.retryAfter, member.RetryAfter+shift)
		}
	}
	for i := range snapshot.Limiters {
		endpoints := snapshot.Limiters[i].Endpoints
		for j := range endpoints {
			endpoints[j].ID = newNumbers[endpoints[j].ID]
		}
	}
}
