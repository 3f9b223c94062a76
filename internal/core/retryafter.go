package core

import (
	"slices"

	"troutusher/policy"
)

// hasIndependentRoutes reports whether each endpoint of a flavor is a route of its own:
// a Retry-After of one does not bind the others of its destination.
func (c *Core) hasIndependentRoutes(flavor string) bool {
	i := indexOf(c.settings.Kinds, flavor)
	kinds := c.settings.Policy.DestinationKinds
	return i >= 0 && i < len(kinds) && kinds[i].IndependentRoutes
}

// recordRetryAfter lets nothing be sent to the endpoint of a call before a time, nor to
// the others of its destination, unless their routes are independent. That also holds
// if the endpoint has moved since, or leaves and comes back, and it is never shortened.
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

// retryAfterOf is the time before which nothing is sent to an endpoint.
func (c *Core) retryAfterOf(endpoint *endpointState) policy.Time {
	if c.hasIndependentRoutes(endpoint.flavor) {
		return endpoint.retryAfter
	}
	return c.retryAfter[endpoint.dest]
}

// applyRetryAfter applies a Retry-After that binds an endpoint now.
func (c *Core) applyRetryAfter(endpoint *endpointState) {
	if until := c.retryAfterOf(endpoint); until > c.now {
		c.emit(ApplyRetryAfter{Endpoint: endpoint.number, Until: until})
	}
}

// handoverRetryAfters are the Retry-Afters of destinations that still bind.
func (c *Core) handoverRetryAfters() (all []HandoverRetryAfter) {
	for dest, until := range c.retryAfter {
		if until > c.now {
			all = append(all, HandoverRetryAfter{Dest: dest, Until: until})
		}
	}
	slices.SortFunc(all, func(a, b HandoverRetryAfter) int { return a.Dest - b.Dest })
	return all
}
