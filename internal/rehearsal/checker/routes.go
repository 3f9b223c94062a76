package checker

import "troutusher/internal/event"

// routeKey identifies a route, which is a group of endpoints to which Retry-After times and outages
// apply together: a single endpoint with an independent route, or all other endpoints of a destination.
type routeKey struct {
	destination int
	endpoint    int // none for the endpoints that share their destination's route
}

// route is the state of a route.
type route struct {
	destination int
	endpoints   int            // number of endpoints
	retryAfters [][]retryAfter // by relay
	failing     map[int]bool   // endpoints with a current outage
	// untracedOutages counts the outages in which an endpoint is unreachable, so that calls to it leave
	// no trace in the record. The count starts anew when an outage begins while all endpoints are up.
	untracedOutages int
	// failureSeen says for each relay whether it saw a failure in the current or the latest outage.
	failureSeen []bool
}

// retryAfter is a period in which a relay was asked to send nothing.
type retryAfter struct{ from, until Time }

// route returns the route of an endpoint, which it creates if needed.
func (c *Checker) route(number int) *route {
	endpoint := c.endpoint(number)
	key := routeKey{endpoint.Destination, none}
	if endpoint.IndependentRoute {
		key.endpoint = number
	}
	found := c.routes[key]
	if found == nil {
		found = c.newRoute(endpoint)
		c.routes[key] = found
	}
	return found
}

func (c *Checker) newRoute(member *Endpoint) *route {
	created := &route{
		destination: member.Destination,
		retryAfters: make([][]retryAfter, c.config.Relays),
		failing:     map[int]bool{},
		failureSeen: make([]bool, c.config.Relays),
	}
	if member.IndependentRoute {
		created.endpoints = 1
		return created
	}
	for _, endpoint := range c.config.Endpoints {
		if endpoint.Destination == member.Destination && !endpoint.IndependentRoute {
			created.endpoints++
		}
	}
	return created
}

// checkRetryAfter checks a call or a health check against the Retry-After times that its relay was
// given, and drops those that have passed. request names the kind of request in the evidence.
func (c *Checker) checkRetryAfter(s *submission, relay, endpoint int, request string) {
	route := c.route(endpoint)
	remaining := route.retryAfters[relay][:0]
	violated := false
	for _, wait := range route.retryAfters[relay] {
		if c.now >= wait.until {
			continue
		}
		remaining = append(remaining, wait)
		if violated || c.now <= wait.from+c.config.RetryAfterGrace+c.config.Slack {
			continue
		}
		violated = true
		c.addViolation(
			RuleRetryAfter, s, relay, endpoint, "relay %d sent %s to %s %.3f s into a wait of %.3f s", relay, request,
			c.endpointName(endpoint), seconds(c.now-wait.from), seconds(wait.until-wait.from),
		)
	}
	route.retryAfters[relay] = remaining
}

// handleOutage records that an outage of an endpoint begins.
func (c *Checker) handleOutage(e *event.Event) {
	route := c.route(e.Endpoint)
	if len(route.failing) == 0 {
		clear(route.failureSeen)
		route.untracedOutages = 0
	}
	route.failing[e.Endpoint] = true
	route.untracedOutages += e.Status
}

// observeFailure records that a relay has seen a call or a health check fail during an outage.
func (c *Checker) observeFailure(relay, endpoint int) {
	if route := c.route(endpoint); len(route.failing) > 0 && c.hasRelay(relay) {
		route.failureSeen[relay] = true
	}
}

// assumeFailureObserved is called when a client submits a message for a destination to a relay. It
// assumes that the relay sees a route of the destination fail if all endpoints of the route fail and
// calls to some of them leave no trace in the record.
func (c *Checker) assumeFailureObserved(relay, destination int) {
	for _, route := range c.routes {
		if route.destination == destination && route.untracedOutages > 0 && len(route.failing) == route.endpoints {
			route.failureSeen[relay] = true
		}
	}
}

// handleOverload handles the collapse of a recovering endpoint under overload. The collapse is a violation
// if relays that had seen the endpoint fail sent at least the share InformedShareLimit of the calls.
func (c *Checker) handleOverload(e *event.Event) {
	route := c.route(e.Endpoint)
	calls, informed := 0, 0
	for relay, n := range e.Calls {
		calls += n
		if c.hasRelay(relay) && route.failureSeen[relay] {
			informed += n
		}
	}
	if calls > 0 && float64(informed) >= c.config.InformedShareLimit*float64(calls) {
		c.addViolation(
			RuleRecovery, nil, none, e.Endpoint,
			"%s came back cold and was pushed over (%s): %d of the %d calls came from relays that had seen it fail "+
				"(calls by relay %v)", c.endpointName(e.Endpoint), e.Text, informed, calls, e.Calls,
		)
	}
}
