package core

import (
	"slices"

	"troutusher/policy"
)

// hasIndependentRoutes reports whether the endpoints of a flavor are independent routes: a
// Retry-After of one of them does not apply to the other endpoints of its destination.
func (c *Core) hasIndependentRoutes(flavor string) bool {
	i := indexOf(c.settings.DestinationKinds, flavor)
	kinds := c.settings.Policy.DestinationKinds
	return i >= 0 && i < len(kinds) && kinds[i].IndependentRoutes
}

// recordRetryAfter forbids sends before a time to the endpoint of a call, and to the other
// endpoints of its destination unless their routes are independent. The Retry-After remains in
// force if the endpoint has moved since the call, or if it is removed and added again. It is
// never shortened.
func (c *Core) recordRetryAfter(call *Call, until policy.Time) {
	endpoint := call.endpoint
	if call.independentRoute {
		endpoint.retryAfter = max(endpoint.retryAfter, until)
	} else {
		c.extendRetryAfter(call.Record.Dest, until)
	}
	if endpoint.dest == call.Record.Dest && c.hasIndependentRoutes(endpoint.flavor) == call.independentRoute {
		c.emit(ApplyRetryAfter{Endpoint: endpoint.number, Until: until})
	}
}

func (c *Core) extendRetryAfter(dest int, until policy.Time) {
	c.retryAfter[dest] = max(c.retryAfter[dest], until)
}

// retryAfterOf returns the time before which nothing may be sent to an endpoint.
func (c *Core) retryAfterOf(endpoint *endpointState) policy.Time {
	if c.hasIndependentRoutes(endpoint.flavor) {
		return endpoint.retryAfter
	}
	return c.retryAfter[endpoint.dest]
}

// applyRetryAfter passes the Retry-After of an endpoint to the driver, if one is in force.
func (c *Core) applyRetryAfter(endpoint *endpointState) {
	if until := c.retryAfterOf(endpoint); until > c.now {
		c.emit(ApplyRetryAfter{Endpoint: endpoint.number, Until: until})
	}
}

// handoverRetryAfters returns the Retry-Afters of destinations that are still in force.
func (c *Core) handoverRetryAfters() (all []HandoverRetryAfter) {
	for dest, until := range c.retryAfter {
		if until > c.now {
			all = append(all, HandoverRetryAfter{Dest: dest, Until: until})
		}
	}
	slices.SortFunc(all, func(a, b HandoverRetryAfter) int { return a.Dest - b.Dest })
	return all
}
