package core

import "troutusher/policy"

// StateSnapshot is what a core knows of destinations that a later process of this relay
// should know as well; no message is in it. Times are those of the core's clock.
type StateSnapshot struct {
	Now      policy.Time      `json:"now"`
	Revision int64            `json:"revision"` // of its endpoint list
	Members  []HandoverMember `json:"members"`
	// Partial says that passive destinations are left out, but for those with an
	// unhealthy endpoint.
	Partial     bool                 `json:"partial,omitempty"`
	RetryAfters []HandoverRetryAfter `json:"waits,omitempty"`
	Policy      *policy.Snapshot     `json:"policy"`
}

// SnapshotState returns what is known by now. It shares nothing with the core.
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

// StateVersion counts the changes that a restart should not lose: calls that failed,
// endpoint lists, endpoints that were judged to be down or up. CompletedCalls counts
// all that is learned.
func (c *Core) StateVersion() uint64 { return c.stateVersion }

// CompletedCalls counts the calls that have ended.
func (c *Core) CompletedCalls() uint64 { return c.completedCalls }

// EndpointList is the list as the core had it; nothing that had drained is up in it.
func (s *StateSnapshot) EndpointList() *EndpointList {
	return &EndpointList{Revision: s.Revision, Complete: !s.Partial, Members: membersOf(s.Members)}
}

// DropRecentCounts leaves out what is longest and soonest old: the counts of the last
// seconds.
func (s *StateSnapshot) DropRecentCounts() {
	for i := range s.Policy.Limiters {
		s.Policy.Limiters[i].Bins = nil
	}
}

// RestoreState takes over what an earlier process had learned. The endpoint list must
// have been applied; an endpoint that is not where it was, or that has another's place
// under a new id, inherits nothing.
func (c *Core) RestoreState(now policy.Time, snapshot *StateSnapshot, shift policy.Time, effects []Effect) []Effect {
	c.beginStep(now, effects)
	c.finishListUpdate()
	if snapshot.Policy != nil {
		c.activateAll(snapshot.Policy)
	}
	c.runPolicy() // the policy knows the endpoints from here on
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

// translateSnapshot puts this core's endpoint numbers into another's policy snapshot,
// and takes over the Retry-Afters of independent routes. Endpoints that are not known
// here, or are elsewhere now, get 0, which is no endpoint's number.
func (c *Core) translateSnapshot(snapshot *policy.Snapshot, members []HandoverMember, shift policy.Time) {
	numbers := map[policy.EndpointID]policy.EndpointID{}
	for i := range members {
		member := &members[i]
		endpoint := c.endpoints.byID[member.ID]
		if endpoint == nil || endpoint.hostPort != member.HostPort || endpoint.dest != member.Dest {
			continue
		}
		numbers[member.Number] = endpoint.number
		if member.RetryAfter > 0 {
			endpoint.retryAfter = max(endpoint.retryAfter, member.RetryAfter+shift)
		}
	}
	for i := range snapshot.Limiters {
		endpoints := snapshot.Limiters[i].Endpoints
		for j := range endpoints {
			endpoints[j].ID = numbers[endpoints[j].ID]
		}
	}
}
