package core

import (
	"slices"

	"troutusher/policy"
)

// forgetRetiredAfter is the minimum time for which a retired endpoint is remembered.
const forgetRetiredAfter = policy.Time(10e6)

// endpointState is the state of one endpoint of an active destination. Idle destinations are
// passive: they and their endpoints are packed into a compact store (see passivation.go).
type endpointState struct {
	id          string
	number      policy.EndpointID
	dest        int
	zone        int
	hostPort    string
	flavor      string // the name of the destination's kind
	open        bool   // the effect OpenEndpoint was emitted for it
	member      Member // its last entry in the list
	listed      bool   // the list contains it, possibly as draining
	retired     bool   // drained, removed or moved: nothing new is sent there
	retiredAt   policy.Time
	retryAfter  policy.Time // end of a Retry-After that applies to no other endpoint; see hasIndependentRoutes
	lastReplyAt policy.Time // time of the last response of any kind
	calls       []*Call     // the open calls
}

// suspectsIdleConnections updates lastReplyAt with the result of a call, and reports whether the
// endpoint's idle connections must be closed. After a machine was unresponsive or crashed, a call on such
// a connection would hang or be reset, without certainty whether it has run.
func (e *endpointState) suspectsIdleConnections(result *Result, now policy.Time) bool {
	switch result.Outcome {
	case policy.ConnectionReset, policy.ConnectFailed:
		return true
	case policy.TimedOut, policy.Cancelled:
		// If a response has arrived since this call was sent, only this call was slow.
		return e.lastReplyAt < now-result.Elapsed
	}
	if result.Status != 0 || result.Malformed {
		e.lastReplyAt = now
	}
	return false
}

// mayBeForgotten reports whether the state of an endpoint is no longer needed.
func (e *endpointState) mayBeForgotten(now policy.Time) bool {
	return e.retired && len(e.calls) == 0 && now > max(e.retiredAt+forgetRetiredAfter, e.retryAfter)
}

// endpointTable holds the endpoints of active destinations.
type endpointTable struct {
	lastNumber policy.EndpointID
	all        []*endpointState // in the order in which they were added
	byID       map[string]*endpointState
	byNumber   map[policy.EndpointID]*endpointState
}

func newEndpointTable() endpointTable {
	return endpointTable{byID: map[string]*endpointState{}, byNumber: map[policy.EndpointID]*endpointState{}}
}

// getOrAdd returns the endpoint with an id, and adds it if it is new.
func (t *endpointTable) getOrAdd(id string) *endpointState {
	if endpoint := t.byID[id]; endpoint != nil {
		return endpoint
	}
	t.lastNumber++
	endpoint := &endpointState{id: id, number: t.lastNumber}
	t.byID[id], t.byNumber[endpoint.number] = endpoint, endpoint
	t.all = append(t.all, endpoint)
	return endpoint
}

// removeFunc removes the endpoints for which remove returns true. It calls remove in the order
// of the endpoints.
func (t *endpointTable) removeFunc(remove func(*endpointState) bool) {
	t.all = slices.DeleteFunc(t.all, func(endpoint *endpointState) bool {
		if !remove(endpoint) {
			return false
		}
		delete(t.byID, endpoint.id)
		delete(t.byNumber, endpoint.number)
		return true
	})
}

// EndpointCount returns the number of known endpoints.
func (c *Core) EndpointCount() int {
	if store := c.passivation.store; store != nil {
		return len(c.endpoints.all) + store.Endpoints()
	}
	return len(c.endpoints.all)
}

// ListedEndpoints returns the number of endpoints in the list, including draining ones, and
// how many of these receive no new calls at present.
func (c *Core) ListedEndpoints() (listed, avoided int) {
	for _, endpoint := range c.endpoints.all {
		if !endpoint.listed {
			continue
		}
		listed++
		if endpoint.retired || c.policy.Avoids(endpoint.number, c.now) {
			avoided++
		}
	}
	if store := c.passivation.store; store != nil {
		listed, avoided = listed+store.Endpoints(), avoided+store.Draining()
	}
	return listed, avoided
}

// updateEndpoint applies a member of the list to its endpoint, and returns the update for the
// policy.
func (c *Core) updateEndpoint(member *Member) policy.EndpointUpdate {
	endpoint := c.endpoints.getOrAdd(member.ID)
	removed := member.Phase == Removed
	if !removed {
		c.moveEndpoint(endpoint, member)
	}
	if member.Phase == Up && (!endpoint.open || endpoint.retired) {
		endpoint.open = true
		c.emit(OpenEndpoint{
			Endpoint: endpoint.number, Address: endpoint.hostPort, Dest: endpoint.dest, Flavor: member.Flavor,
			IndependentRoute: c.hasIndependentRoutes(member.Flavor),
		})
	}
	c.applyRetryAfter(endpoint) // its destination may already have a Retry-After
	if !removed {
		c.knownDestinations[member.Dest] = true
		endpoint.member = *member
	}
	endpoint.listed = !removed
	update := c.endpointUpdate(endpoint, member)
	endpoint.zone = update.Zone
	switch member.Phase {
	case Up:
		endpoint.retired = false
	case Draining, Removed:
		c.retireEndpoint(endpoint)
	}
	return update
}

// moveEndpoint handles an endpoint that has kept its id but has a new address or destination,
// or whose identity must now be verified in another way, because its flavor has changed.
// Identities are verified only if ConnectionCost is set. Nothing more is sent to the old address.
func (c *Core) moveEndpoint(endpoint *endpointState, member *Member) {
	identityChanged := endpoint.flavor != member.Flavor && c.settings.ConnectionCost != nil
	if endpoint.hostPort == member.HostPort && endpoint.dest == member.Dest && !identityChanged {
		return
	}
	c.retireEndpoint(endpoint)
	endpoint.hostPort, endpoint.dest, endpoint.flavor = member.HostPort, member.Dest, member.Flavor
}

// endpointUpdate returns a member of the list in the form that the policy takes.
func (c *Core) endpointUpdate(endpoint *endpointState, member *Member) policy.EndpointUpdate {
	update := policy.EndpointUpdate{
		Endpoint: endpoint.number, Zone: indexOf(c.settings.Zones, member.Locality),
		Kind: indexOf(c.settings.DestinationKinds, member.Flavor), Destination: member.Dest,
		State: policy.Ready, Rate: member.Rate,
	}
	if c.settings.ConnectionCost != nil {
		update.ConnectCost = c.settings.ConnectionCost(member.Dest, member.Flavor)
	}
	switch member.Phase {
	case Draining:
		update.State = policy.Draining
	case Removed:
		update.State, update.Destination = policy.Gone, endpoint.dest
	}
	return update
}

// retireEndpoint stops new sends to an endpoint. A call that still waits for a connection
// there is stopped as well, because its first byte would be sent after the endpoint was retired.
func (c *Core) retireEndpoint(endpoint *endpointState) {
	if !endpoint.retired {
		endpoint.retired, endpoint.retiredAt = true, c.now
	}
	if endpoint.open {
		c.emit(CloseEndpoint{Endpoint: endpoint.number})
	}
}

// hasUsableEndpoint reports whether the list contains an endpoint of a destination that may
// receive new calls.
func (c *Core) hasUsableEndpoint(dest int) bool {
	return slices.ContainsFunc(c.endpoints.all, func(endpoint *endpointState) bool {
		return endpoint.dest == dest && endpoint.listed && !endpoint.retired
	})
}

// handoverMembers returns the endpoints of active destinations that another core needs to know:
// those in the list, and those that have left it but still have a Retry-After in force or an open
// call. All except usable ones get the phase Draining.
func (c *Core) handoverMembers() (all []HandoverMember) {
	for _, endpoint := range c.endpoints.all {
		member := HandoverMember{Member: endpoint.member, Number: endpoint.number, RetryAfter: endpoint.retryAfter}
		switch {
		case endpoint.listed && !endpoint.retired:
		case endpoint.listed || endpoint.retryAfter > c.now || len(endpoint.calls) > 0:
			member.Phase = Draining
		default:
			continue
		}
		all = append(all, member)
	}
	return all
}
