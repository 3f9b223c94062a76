package policy

import "slices"

// Lookup, addition and removal of destinations, limiters and endpoints, and the count of calls in flight.

// findDestination returns a destination; nil if it is unknown.
func (e *Engine) findDestination(id int) *destination {
	if at, ok := e.searchDestination(id); ok {
		return e.destinations[at]
	}
	return nil
}

// destinationFor returns a destination and adds it first if it is unknown.
func (e *Engine) destinationFor(id int) *destination {
	at, ok := e.searchDestination(id)
	if !ok {
		added := &destination{id: id, kind: DestinationKind{BatchSize: 1}}
		e.destinations = slices.Insert(e.destinations, at, added)
	}
	return e.destinations[at]
}

// searchDestination returns the index of a destination, or the index at which to insert it, and whether it is known.
func (e *Engine) searchDestination(id int) (at int, ok bool) {
	return slices.BinarySearchFunc(e.destinations, id, func(d *destination, id int) int { return d.id - id })
}

// dropDestination removes a destination that has no messages. Its timers still fire, with no effect.
func (e *Engine) dropDestination(dropped *destination) {
	for _, limiter := range dropped.limiters {
		for _, endpoint := range limiter.endpoints {
			endpoint.state = Gone
			if e.endpoints[endpoint.id] == endpoint {
				delete(e.endpoints, endpoint.id)
			}
		}
	}
	e.destinations = without(e.destinations, dropped)
}

// markDirty makes the current step of the engine choose anew which message the destination sends next.
func (e *Engine) markDirty(destination *destination) {
	if !destination.dirty {
		destination.dirty = true
		e.dirty = append(e.dirty, destination)
	}
}

// newLimiter returns a limiter that has learned nothing, whose window allows one call in flight.
func newLimiter(destination *destination) *limiter {
	history := newSlidingCounter(historyWindow, historyBins)
	return &limiter{destination: destination, window: 1, rateMultiplier: 1, history: history}
}

// addEndpoint adds the endpoint of a list entry to the limiter of its destination. If the destination has
// independent routes (DestinationKind.IndependentRoutes), each endpoint is a route with its own limiter.
func (e *Engine) addEndpoint(update *EndpointUpdate) *endpoint {
	destination := e.destinationFor(update.Destination)
	if update.Kind >= 0 && update.Kind < len(e.settings.DestinationKinds) {
		destination.kind = e.settings.DestinationKinds[update.Kind]
		destination.kindIndex = update.Kind
	}
	destination.kind.BatchSize = max(destination.kind.BatchSize, 1)
	if len(destination.limiters) == 0 || destination.kind.IndependentRoutes {
		destination.limiters = append(destination.limiters, newLimiter(destination))
	}
	limiter := destination.limiters[len(destination.limiters)-1]
	added := &endpoint{id: update.Endpoint, limiter: limiter}
	limiter.endpoints = append(limiter.endpoints, added)
	e.endpoints[added.id] = added
	return added
}

// detach removes an endpoint from its limiter. The limiter of an independent route is removed with it.
func (ep *endpoint) detach() {
	limiter := ep.limiter
	limiter.endpoints = without(limiter.endpoints, ep)
	if limiter.destination.kind.IndependentRoutes {
		limiter.destination.limiters = without(limiter.destination.limiters, limiter)
	}
}

// countCall counts a new call in flight, and raises the assumed number of the endpoint's connections to
// the number that its calls need.
func (e *Engine) countCall(destination *destination, endpoint *endpoint) {
	e.callsInFlight++
	destination.callsInFlight++
	endpoint.limiter.callsInFlight++
	endpoint.callsInFlight++
	streams := e.settings.StreamsPerConnection
	endpoint.connections = max(endpoint.connections, (endpoint.callsInFlight+streams-1)/streams)
}

// uncountCall removes an ended call from the calls in flight.
func (e *Engine) uncountCall(endpoint *endpoint) {
	e.callsInFlight--
	endpoint.callsInFlight--
	endpoint.limiter.callsInFlight--
	endpoint.limiter.destination.callsInFlight--
}
