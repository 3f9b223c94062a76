package core

import (
	"slices"

	"troutusher/policy"
)

// forgetRetiredAfter is how long an endpoint that has left is remembered.
const forgetRetiredAfter = policy.Time(10e6)

// endpointState is one address of a destination.
type endpointState struct {
	id          string
	number      policy.EndpointID
	dest        int
	zone        int
	hostPort    string
	flavor      string
	open        bool   // the driver knows it
	member      Member // as the list last had it
	listed      bool   // the list holds it, maybe draining
	retired     bool   // drained, removed or moved: nothing new is sent there
	retiredAt   policy.Time
	retryAfter  policy.Time // where it is an independent route
	lastReplyAt policy.Time // when it last responded at all
	calls       []*Call     // the open ones
}

// suspectsIdleConnections notes how a call ended and reports whether the endpoint's
// idle connections are to be closed. After a machine was silent or died, each of them
// would hang or be reset under a call that may then have run.
func (e *endpointState) suspectsIdleConnections(result *Result, now policy.Time) bool {
	switch result.Outcome {
	case policy.ConnectionReset, policy.ConnectFailed:
		return true
	case policy.TimedOut, policy.Cancelled:
		// If a call that was sent later has had its response, this one alone was slow.
		return e.lastReplyAt < now-result.Elapsed
	}
	if result.Status != 0 || result.Malformed {
		e.lastReplyAt = now
	}
	return false
}

// mayBeForgotten reports whether nothing more is to be known of an endpoint.
func (e *endpointState) mayBeForgotten(now policy.Time) bool {
	return e.retired && len(e.calls) == 0 && now > max(e.retiredAt+forgetRetiredAfter, e.retryAfter)
}

// endpointTable holds the endpoints of active destinations.
type endpointTable struct {
	lastNumber policy.EndpointID
	all        []*endpointState // in the order in which they came
	byID       map[string]*endpointState
	byNumber   map[policy.EndpointID]*endpointState
}

func newEndpointTable() endpointTable {
	return endpointTable{byID: map[string]*endpointState{}, byNumber: map[policy.EndpointID]*endpointState{}}
}

// getOrAdd is the endpoint of an id, which is added if it is new.
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

// removeFunc removes the endpoints that remove reports true for, in their order.
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

// EndpointCount is how many endpoints are known.
func (c *Core) EndpointCount() int {
	if store := c.passivation.store; store != nil {
		return len(c.endpoints.all) + store.Endpoints()
	}
	return len(c.endpoints.all)
}

// ListedEndpoints is how many endpoints the list holds, draining ones among them, and
// how many of these get nothing new now.
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

// updateEndpoint applies a member of the list to its endpoint, and returns what the
// policy is to know of it.
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
	c.applyRetryAfter(endpoint) // it may have joined a destination that has one
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

// moveEndpoint applies that an endpoint has moved under its old id, or that its identity
// is to be proved in another way: nothing more is sent to the old place.
func (c *Core) moveEndpoint(endpoint *endpointState, member *Member) {
	otherIdentity := endpoint.flavor != member.Flavor && c.settings.ConnectionCost != nil
	if endpoint.hostPort == member.HostPort && endpoint.dest == member.Dest && !otherIdentity {
		return
	}
	c.retireEndpoint(endpoint)
	endpoint.hostPort, endpoint.dest, endpoint.flavor = member.HostPort, member.Dest, member.Flavor
}

// endpointUpdate is a member of the list as it is reported to the policy.
func (c *Core) endpointUpdate(endpoint *endpointState, member *Member) policy.EndpointUpdate {
	update := policy.EndpointUpdate{
		Endpoint: endpoint.number, Zone: indexOf(c.settings.Zones, member.Locality),
		Kind: indexOf(c.settings.Kinds, member.Flavor), Destination: member.Dest,
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

// retireEndpoint lets nothing new be sent to an endpoint; a call that still waits for a
// connection there would begin too late.
func (c *Core) retireEndpoint(endpoint *endpointState) {
	if !endpoint.retired {
		endpoint.retired, endpoint.retiredAt = true, c.now
	}
	if endpoint.open {
		c.emit(CloseEndpoint{Endpoint: endpoint.number})
	}
}

// hasUsableEndpoint reports whether the list holds an endpoint of a destination to
// which something new may be sent.
func (c *Core) hasUsableEndpoint(dest int) bool {
	return slices.ContainsFunc(c.endpoints.all, func(endpoint *endpointState) bool {
		return endpoint.dest == dest && endpoint.listed && !endpoint.retired
	})
}

// handoverMembers are the endpoints that another core should know.
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
