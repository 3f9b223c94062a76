package policy

import (
	"math"
	"slices"
)

// The endpoint list, and the endpoints whose identity is not proved.

// updateEndpoints applies a list update. What drains or is gone gets nothing new from this moment on.
func (e *Engine) updateEndpoints(event *Event) {
	if event.ListUpdate == ListFailed {
		return // it is polled again
	}
	listed := map[EndpointID]bool{}
	for i := range event.Updates {
		listed[event.Updates[i].Endpoint] = true
		e.updateEndpoint(&event.Updates[i])
	}
	if event.Snapshot != nil {
		e.activate(event)
	}
	if event.ListUpdate == ListFull || event.ListUpdate == ListCached {
		for id, endpoint := range e.endpoints { // each goes by itself: the order does not matter
			if !listed[id] {
				e.removeEndpoint(endpoint)
			}
		}
	}
}

func (e *Engine) updateEndpoint(update *EndpointUpdate) {
	endpoint := e.endpoints[update.Endpoint]
	moved := endpoint != nil && endpoint.limiter.destination.id != update.Destination
	if endpoint != nil && (moved || update.State == Gone) { // what waits at the old place may not go there
		e.removeEndpoint(endpoint)
		endpoint = nil
	}
	if update.State == Gone {
		return
	}
	if endpoint == nil || endpoint.state == Gone { // the second is kept for its Retry-After
		kept := e.endpoints[update.Endpoint]
		endpoint = e.addEndpoint(update)
		if kept != nil && endpoint.limiter.destination.kind.IndependentRoutes {
			endpoint.limiter.retryAfterUntil = kept.limiter.retryAfterUntil
		}
	}
	limiter := endpoint.limiter
	endpoint.state, endpoint.zone, endpoint.connectCost = update.State, update.Zone, update.ConnectCost
	if e.settings.ListHasRates && update.Rate > 0 {
		limiter.nominalRate = update.Rate
	}
	if !limiter.tokens.used && e.exceedsEvenShare(limiter) {
		limiter.tokens = tokenBucket{e.now, 1, true} // else a whole fleet that starts sends one burst
	}
	e.markDirty(limiter.destination)
}

// removeEndpoint lets go of an endpoint; calls in flight there still count. A route with a Retry-After in
// force stays known until it is over, so that it binds the route if it comes back.
func (e *Engine) removeEndpoint(removed *endpoint) {
	removed.state = Gone
	limiter := removed.limiter
	bound := limiter.destination.kind.IndependentRoutes && limiter.retryAfterUntil > e.now
	if known := e.endpoints[removed.id] == removed; known && bound {
		e.timers.add(limiter.retryAfterUntil, func() {
			if e.endpoints[removed.id] == removed && removed.state == Gone {
				e.removeEndpoint(removed)
			}
		})
	} else if known {
		delete(e.endpoints, removed.id)
	}
	removed.detach()
}

// rejectIdentity notes that an endpoint's identity is not proved, or is again. No message is spent on asking:
// what cannot wait for the next proof is ended now, with the time to come back.
func (e *Engine) rejectIdentity(event *Event) {
	endpoint := e.endpoints[event.Endpoint]
	if endpoint == nil {
		return
	}
	endpoint.identityRejectedUntil = e.now + max(event.RetryAfter, 0)
	destination := endpoint.limiter.destination
	e.markDirty(destination)
	for _, message := range slices.Clone(destination.queue) {
		e.rejectIfUnprovable(message)
	}
}

// rejectIfUnprovable ends a message whose destination cannot prove its identity before the deadline.
func (e *Engine) rejectIfUnprovable(message *message) {
	if message.call == nil && e.identityRetryAt(message.destination) >= message.deadline-e.deadlineMargin() {
		e.endUndelivered(message, IdentityUnproven)
	}
}

// identityRetryAt is when some endpoint of a destination may prove its identity; 0 where none has to.
func (e *Engine) identityRetryAt(destination *destination) Time {
	at := Time(math.MaxInt64)
	for _, limiter := range destination.limiters {
		for _, endpoint := range limiter.endpoints {
			at = min(at, endpoint.identityRejectedUntil)
		}
	}
	if at <= e.now || at == math.MaxInt64 {
		return 0
	}
	return at
}
