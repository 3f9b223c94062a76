package policy

import (
	"maps"
	"math"
	"slices"
)

// Updates of the endpoint list, and endpoints that have not proved their identity.

// updateEndpoints applies a list update. Endpoints that are draining or gone get no new calls from now on.
func (e *Engine) updateEndpoints(event *Event) {
	if event.ListUpdate == ListFailed {
		return // the current list stays in force until the next poll
	}
	listed := map[EndpointID]bool{}
	for i := range event.Updates {
		listed[event.Updates[i].Endpoint] = true
		e.updateEndpoint(&event.Updates[i])
	}
	// A snapshot is what Passivate returned for the destinations in the update; activate loads it.
	if event.Snapshot != nil {
		e.activate(event)
	}
	if event.ListUpdate == ListFull || event.ListUpdate == ListCached {
		for _, id := range slices.Sorted(maps.Keys(e.endpoints)) {
			if !listed[id] {
				e.removeEndpoint(e.endpoints[id])
			}
		}
	}
}

// updateEndpoint applies one entry of a list update: it adds, changes, moves or removes the endpoint.
func (e *Engine) updateEndpoint(update *EndpointUpdate) {
	endpoint := e.endpoints[update.Endpoint]
	if endpoint != nil {
		moved := endpoint.limiter.destination.id != update.Destination
		if moved || update.State == Gone { // its old destination must not use it any more
			e.removeEndpoint(endpoint)
			endpoint = nil
		}
	}
	if update.State == Gone {
		return
	}
	added := endpoint == nil || endpoint.state == Gone
	if added { // one that is gone is kept only for its Retry-After
		kept := e.endpoints[update.Endpoint]
		endpoint = e.addEndpoint(update)
		if kept != nil && endpoint.limiter.destination.kind.IndependentRoutes {
			endpoint.limiter.retryAfterUntil = kept.limiter.retryAfterUntil
		}
	}
	limiter := endpoint.limiter
	endpoint.state = update.State
	endpoint.zone = update.Zone
	endpoint.connectCost = update.ConnectCost
	if e.settings.ListHasRates && update.Rate > 0 {
		limiter.nominalRate = update.Rate
	}
	if !limiter.tokens.used && e.exceedsEvenShare(limiter) {
		limiter.tokens = tokenBucket{e.now, 1, true} // full buckets would make a starting fleet send a burst
	}
	if added {
		e.takeOverHealth(endpoint)
	}
	e.markDirty(limiter.destination)
}

// removeEndpoint removes an endpoint; its calls in flight still count. If the endpoint is an independent
// route with a Retry-After in force, its entry in Engine.endpoints stays until the Retry-After is over, so
// that the Retry-After still holds if the endpoint returns to the list.
func (e *Engine) removeEndpoint(removed *endpoint) {
	if removed.state != Gone {
		e.rememberHealth(removed)
	}
	removed.state = Gone
	limiter := removed.limiter
	mustWait := limiter.destination.kind.IndependentRoutes && limiter.retryAfterUntil > e.now
	known := e.endpoints[removed.id] == removed
	if known && mustWait {
		e.callAt(limiter.retryAfterUntil, func() {
			if e.endpoints[removed.id] == removed && removed.state == Gone {
				e.removeEndpoint(removed)
			}
		})
	} else if known {
		delete(e.endpoints, removed.id)
	}
	removed.detach()
}

// rejectIdentity records until when an endpoint's identity counts as rejected: for event.RetryAfter after
// a failed proof, and no longer once the endpoint has proved it again. Messages that cannot wait for the
// next proof are rejected now, with a Retry-After. No message is sent merely to test the proof.
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

// rejectIfUnprovable rejects a waiting message if no endpoint can prove its identity before the deadline.
func (e *Engine) rejectIfUnprovable(message *message) {
	if message.call == nil && e.identityRetryAt(message.destination) >= message.deadline-e.deadlineMargin() {
		e.endUndelivered(message, IdentityUnproven)
	}
}

// identityRetryAt returns the earliest time at which an endpoint of a destination may prove its
// identity; 0 if some endpoint need not wait for that now, or if there is no endpoint.
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
