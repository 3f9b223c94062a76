package policy

import "slices"

// Outages across changes of the endpoint list. An outage belongs to a destination, not to its endpoints:
// machines that replace failed ones under new ids are as cold as those would be. An endpoint that joins a
// destination therefore starts with the health of the healthiest endpoint there, and the health of
// endpoints that have left is remembered until others can show it. An independent route has outages of
// its own, which are remembered by its id.

const (
	departedHealthTTL = 1800 * second // how long the health of endpoints that have left is remembered
	maxDepartedRoutes = 256           // independent routes that are remembered at a time
)

// departedHealth is the health that a destination had when an endpoint last left it.
type departedHealth struct {
	health
	at Time
}

// departedRoute is an independent route that was not working when it left the list.
type departedRoute struct {
	departedHealth
	id          EndpointID
	destination int
}

// condition summarizes the health of an endpoint; the lowest is the healthiest.
type condition uint8

const (
	conditionWorking    condition = iota
	conditionSuspected            // its last calls have failed, but too few to eject it
	conditionRecovering           // on the ramp after an outage
	conditionEjected
)

// expired reports whether the health is too old to say anything about new endpoints.
func (d *departedHealth) expired(now Time) bool { return now-d.at > departedHealthTTL }

// conditionOf returns the condition that a health means now.
func (e *Engine) conditionOf(known *health) condition {
	switch {
	case known.ejected():
		return conditionEjected
	case known.unhealthy && e.capacityShare(known) < 1:
		return conditionRecovering
	case !known.unhealthy && known.lastFailureAt > known.lastSuccessAt:
		return conditionSuspected
	default:
		return conditionWorking
	}
}

// sharedHealth returns the health of a destination whose endpoints are no independent routes: that of its
// healthiest endpoint, not counting those that were just added. Endpoints that have left count too, until
// one that is listed fails. The result is nil if there is no endpoint to judge by.
func (e *Engine) sharedHealth(destination *destination, added ...*endpoint) *health {
	departed := destination.departed
	if departed != nil && departed.expired(e.now) {
		departed = nil
	}
	var healthiest *health
	for _, limiter := range destination.limiters {
		for _, endpoint := range limiter.endpoints {
			if slices.Contains(added, endpoint) {
				continue
			}
			if departed != nil && endpoint.lastFailureAt > departed.at {
				departed = nil
			}
			healthiest = e.healthier(healthiest, &endpoint.health)
		}
	}
	if departed != nil {
		healthiest = e.healthier(healthiest, &departed.health)
	}
	return healthiest
}

// healthier returns the healthier of two; the first if they are equal, the second if the first is nil.
func (e *Engine) healthier(first, second *health) *health {
	if first == nil || e.conditionOf(second) < e.conditionOf(first) {
		return second
	}
	return first
}

// rememberHealth keeps what is known of an endpoint that is about to leave its destination, for those
// that take its place.
func (e *Engine) rememberHealth(removed *endpoint) {
	destination := removed.limiter.destination
	removed.removedAt = e.now
	removed.answeredSentAt = removed.limiter.answeredSentAt
	if destination.kind.IndependentRoutes {
		e.rememberRoute(removed)
		return
	}
	destination.departed = &departedHealth{*e.sharedHealth(destination), e.now}
}

// rememberRoute keeps the health of an independent route that has left the list and was not working. If
// there are too many, the oldest are forgotten.
func (e *Engine) rememberRoute(removed *endpoint) {
	e.takeDepartedRoute(removed.id)
	if e.conditionOf(&removed.health) == conditionWorking {
		return
	}
	route := departedRoute{departedHealth{removed.health, e.now}, removed.id, removed.limiter.destination.id}
	e.departedRoutes = append(e.departedRoutes, route)
	surplus := max(len(e.departedRoutes)-maxDepartedRoutes, 0)
	e.departedRoutes = slices.Delete(e.departedRoutes, 0, surplus)
}

// takeDepartedRoute returns an independent route that has left the list, and forgets it; nil if it is
// unknown.
func (e *Engine) takeDepartedRoute(id EndpointID) *departedRoute {
	at := slices.IndexFunc(e.departedRoutes, func(route departedRoute) bool { return route.id == id })
	if at < 0 {
		return nil
	}
	route := e.departedRoutes[at]
	e.departedRoutes = slices.Delete(e.departedRoutes, at, at+1)
	return &route
}

// RemembersRoute reports whether the engine keeps the health of an independent route that has left the
// list, so that the route must have the same id if it returns.
func (e *Engine) RemembersRoute(now Time, id EndpointID) bool {
	return slices.ContainsFunc(e.departedRoutes, func(route departedRoute) bool {
		return route.id == id && !route.expired(now)
	})
}

// takeOverHealth gives an endpoint that was just added the health that its destination has, or that it
// had itself when it left the list as an independent route. If all is well, it starts as a new endpoint.
func (e *Engine) takeOverHealth(added *endpoint) {
	destination := added.limiter.destination
	if !destination.kind.IndependentRoutes {
		if known := e.sharedHealth(destination, added); known != nil {
			e.startWith(added, *known)
		}
	} else if route := e.takeDepartedRoute(added.id); route != nil {
		if route.destination == destination.id && !route.expired(e.now) {
			e.startWith(added, route.health)
		}
	}
	if added.unhealthy {
		e.logf("dest %d: endpoint %d added in the outage", destination.id, added.id)
	}
}

// startWith gives an endpoint a health that was learned of others, unless that says that all is well. Its
// recovery budget starts empty. If it is ejected, its outage may have lasted until now: a ramp that
// starts later must not be dated back to a time before the endpoint was known.
func (e *Engine) startWith(endpoint *endpoint, known health) {
	condition := e.conditionOf(&known)
	if condition == conditionWorking {
		return
	}
	endpoint.health = known
	if condition == conditionSuspected {
		return
	}
	endpoint.recoveryBudget = tokenBucket{e.now, 0, true}
	endpoint.requiredTokens = 1
	if condition == conditionEjected {
		endpoint.lastFailureAt = e.now
	}
	if _, _, fractional := e.recoveryBudgetRate(endpoint); fractional || endpoint.ejected() {
		endpoint.requiredTokens = e.rng.ExpFloat64()
	}
}

// recordLateFailure records the failure of a call whose endpoint has left the list meanwhile. It shows an
// outage only if the call was overdue when the endpoint left, and no call that was sent later had been
// answered by then. Otherwise it may have failed because its endpoint was shut down after a replacement.
func (e *Engine) recordLateFailure(removed *endpoint, sentAt Time, silent bool) {
	overdue := removed.removedAt-sentAt >= e.overdueAfter(removed)
	if removed.unhealthy || !overdue || sentAt <= removed.answeredSentAt {
		return
	}
	if removed.lastFailureAt <= removed.lastSuccessAt {
		removed.firstFailureAt = removed.removedAt
	}
	removed.lastFailureAt = e.now
	removed.lastFailureSilent = silent
	removed.addFailure()
	if removed.failureScore < unhealthyScore {
		return
	}
	removed.unhealthy = true
	removed.recoveredAt = 0
	e.shareLateOutage(removed)
}

// shareLateOutage passes an outage that calls to a removed endpoint have shown to the endpoints that have
// taken its place. Those that have answered since are on the ramp of the recovery, which may have begun
// when the removed endpoint left.
func (e *Engine) shareLateOutage(removed *endpoint) {
	destination := removed.limiter.destination
	successors := removed.limiter.endpoints
	if !destination.kind.IndependentRoutes {
		destination.departed = &departedHealth{removed.health, e.now}
	} else if current := e.endpoints[removed.id]; current != nil && current.state != Gone {
		successors = []*endpoint{current}
	} else {
		e.rememberRoute(removed)
	}
	for _, successor := range successors {
		if successor.unhealthy || successor.limiter.destination != destination {
			continue
		}
		outage := removed.health
		if successor.lastSuccessAt > removed.removedAt {
			outage.failureScore = successor.failureScore
			outage.lastFailureAt = removed.removedAt
			outage.lastSuccessAt = successor.lastSuccessAt
			outage.recoveredAt = removed.removedAt
			outage.recoverySentAt = removed.removedAt
		}
		e.startWith(successor, outage)
	}
	e.logf("dest %d: seen failing before an endpoint left, trial calls", destination.id)
}

// departedSnapshot returns the stored form of the health of a destination's endpoints that have left,
// with the ID 0, which no endpoint has; nil if the endpoints that are listed say all that is known.
func (e *Engine) departedSnapshot(destination *destination) *EndpointSnapshot {
	if destination.departed == nil {
		return nil
	}
	departed := &destination.departed.health
	hasEndpoint := func(limiter *limiter) bool { return len(limiter.endpoints) > 0 }
	listed := slices.ContainsFunc(destination.limiters, hasEndpoint)
	needed := listed || e.conditionOf(departed) != conditionWorking
	if !needed || e.sharedHealth(destination) != departed {
		return nil
	}
	stored := departed.snapshot()
	return &stored
}

// loadOutage loads the health of stored endpoints that are no longer listed, and gives the endpoints of
// the destination that were not stored the health that they would have taken over. restored holds the ids
// of those that were stored.
func (e *Engine) loadOutage(stored *LimiterSnapshot, storedAt, shift Time, restored map[EndpointID]bool) {
	destination := e.findDestination(stored.Destination)
	if destination != nil && destination.kind.IndependentRoutes {
		return
	}
	if departed := e.departedEndpoints(stored, storedAt, shift, restored); departed != nil {
		if destination == nil {
			destination = e.destinationFor(stored.Destination)
		}
		destination.departed = departed
	}
	if destination == nil {
		return
	}
	var added []*endpoint
	for _, limiter := range destination.limiters {
		for _, endpoint := range limiter.endpoints {
			if !restored[endpoint.id] {
				added = append(added, endpoint)
			}
		}
	}
	known := e.sharedHealth(destination, added...)
	for _, endpoint := range added {
		if known != nil {
			e.startWith(endpoint, *known)
		}
	}
}

// departedEndpoints returns the health of the healthiest endpoint of a stored limiter that was not
// restored; nil if there is none, or if all was well.
func (e *Engine) departedEndpoints(
	stored *LimiterSnapshot, storedAt, shift Time, restored map[EndpointID]bool,
) *departedHealth {
	var healthiest *health
	for i := range stored.Endpoints {
		if restored[stored.Endpoints[i].ID] {
			continue
		}
		departed := stored.Endpoints[i].restoreHealth(shift)
		healthiest = e.healthier(healthiest, &departed)
	}
	if healthiest == nil {
		return nil
	}
	departed := &departedHealth{*healthiest, storedAt}
	onlyWorking := len(restored) == 0 && e.conditionOf(healthiest) == conditionWorking
	if onlyWorking || departed.expired(e.now) {
		return nil
	}
	return departed
}
