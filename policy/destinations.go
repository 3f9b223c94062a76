package policy

import "slices"

// The destinations with their limiters and endpoints: how they come and go, and what is in flight there.

// findDestination finds a destination; nil where there is none.
func (e *Engine) findDestination(id int) *destination {
	if at, ok := e.searchDestination(id); ok {
		return e.destinations[at]
	}
	return nil
}

// destinationFor finds a destination, or makes it.
func (e *Engine) destinationFor(id int) *destination {
	at, ok := e.searchDestination(id)
	if !ok {
		added := &destination{id: id, kind: DestinationKind{BatchSize: 1}}
		e.destinations = slices.Insert(e.destinations, at, added)
	}
	return e.destinations[at]
}

func (e *Engine) searchDestination(id int) (at int, ok bool) {
	return slices.BinarySearchFunc(e.destinations, id, func(d *destination, id int) int { return d.id - id })
}

// dropDestination forgets a destination for which nothing waits. Its timers find nothing to do.
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

// markDirty has a destination looked at in this step.
func (e *Engine) markDirty(destination *destination) {
	if !destination.dirty {
		destination.dirty = true
		e.dirty = append(e.dirty, destination)
	}
}

func newLimiter(destination *destination) *limiter {
	history := newSlidingCounter(historyWindow, historyBins)
	return &limiter{destination: destination, window: 1, rateMultiplier: 1, history: history}
}

// addEndpoint makes an endpoint of a list entry: in the limiter of its destination, or in one of its own.
func (e *Engine) addEndpoint(update *EndpointUpdate) *endpoint {
	destination := e.destinationFor(update.Destination)
	if update.Kind >= 0 && update.Kind < len(e.settings.DestinationKinds) {
		destination.kind, destination.kindIndex = e.settings.DestinationKinds[update.Kind], update.Kind
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

// detach takes an endpoint out of its limiter, and the limiter of an independent route out of its destination.
func (ep *endpoint) detach() {
	limiter := ep.limiter
	limiter.endpoints = without(limiter.endpoints, ep)
	if limiter.destination.kind.IndependentRoutes {
		limiter.destination.limiters = without(limiter.destination.limiters, limiter)
	}
}

// countCall counts a call in flight of a destination, and the connections that it and the others there need.
func (e *Engine) countCall(destination *destination, endpoint *endpoint) {
	e.callsInFlight++
	destination.callsInFlight++
	endpoint.limiter.callsInFlight++
	endpoint.callsInFlight++
	streams := e.settings.StreamsPerConnection
	endpoint.connections = max(endpoint.connections, (endpoint.callsInFlight+streams-1)/streams)
}

// uncountCall counts the end of a call.
func (e *Engine) uncountCall(endpoint *endpoint) {
	e.callsInFlight--
	endpoint.callsInFlight--
	endpoint.limiter.callsInFlight--
	endpoint.limiter.destination.callsInFlight--
}
