package policy

import (
	"cmp"
	"math"
	"slices"
)

// The choice of the next message and its endpoint, and the guards on each send.

const crossZoneFactor = 3.0 // the cost of a call to another zone, relative to one in this relay's zone

// dispatch fills the free slots. It chooses the next message of each destination that is dirty or waits
// for a slot, and then makes one call after another, each time for the message that loses most by waiting.
func (e *Engine) dispatch() {
	if e.callsInFlight < e.settings.MaxConcurrentCalls { // a slot is free: reconsider those that wait for one
		for _, destination := range e.readyDestinations {
			e.markDirty(destination)
		}
		e.readyDestinations = e.readyDestinations[:0]
	}
	for _, destination := range e.dirty {
		destination.dirty = false
		e.chooseNext(destination)
		if destination.nextMessage != nil && !slices.Contains(e.readyDestinations, destination) {
			e.readyDestinations = append(e.readyDestinations, destination)
		}
	}
	e.dirty = e.dirty[:0]
	for e.callsInFlight < e.settings.MaxConcurrentCalls && len(e.readyDestinations) > 0 {
		first := slices.MaxFunc(e.readyDestinations, func(a, b *destination) int {
			return cmp.Compare(a.nextPriority, b.nextPriority)
		})
		e.startCall(first)
		e.chooseNext(first)
		if first.nextMessage == nil {
			e.readyDestinations = without(e.readyDestinations, first)
		}
	}
	saturated := e.callsInFlight >= e.settings.MaxConcurrentCalls && len(e.pending) > e.messagesInFlight
	if !saturated {
		e.saturatedSince = 0
	} else if e.saturatedSince == 0 {
		e.saturatedSince = e.now
	}
}

// chooseEndpoint returns the endpoint to send a message to; nil if it may not be sent now. Healthy
// endpoints come before recovering ones, and those before ejected ones; among equals, the one that is
// expected to answer first is chosen.
func (e *Engine) chooseEndpoint(message *message) *endpoint {
	var best *endpoint
	lowest := math.Inf(1)
	for _, limiter := range message.destination.limiters {
		if !e.hasConcurrency(limiter) || !e.hasToken(limiter) {
			continue
		}
		for _, endpoint := range limiter.endpoints {
			if !e.maySend(message, endpoint) {
				continue
			}
			if cost := e.sendCost(message, endpoint); cost < lowest {
				best = endpoint
				lowest = cost
			}
		}
	}
	return best
}

// sendCost ranks an endpoint for a message; the lowest is best. The unit is µs.
func (e *Engine) sendCost(message *message, endpoint *endpoint) float64 {
	latency := endpoint.latency.mean
	if endpoint.latency.count == 0 {
		latency = float64(e.usualLatency(message.destination))
	}
	cost := latency * float64(1+endpoint.callsInFlight)
	if e.needsConnection(endpoint) {
		cost += latency
	}
	if endpoint.zone != e.settings.Zone {
		cost *= crossZoneFactor
	}
	if message.lastFailedEndpoint == endpoint { // whatever went wrong, another endpoint may do better
		cost += float64(message.class.LatencyObjective)
	}
	if endpoint.unhealthy {
		cost += float64(message.class.Deadline)
	}
	if endpoint.ejected() {
		cost *= 2
	}
	return cost
}

// maySend reports whether a message may be sent to an endpoint now. It applies every guard on the
// message, on the endpoint and on the two together.
func (e *Engine) maySend(message *message, endpoint *endpoint) bool {
	class := message.class
	waiting := !message.finished && message.call == nil
	inTime := e.now < message.deadline-2*e.deadlineMargin()
	if !waiting || !inTime {
		return false
	}
	if e.attemptsExhausted(message) || !e.mayCall(endpoint) {
		return false
	}
	if class.Ordered && message.key != 0 {
		queue := e.orderedQueues[message.key]
		if queue == nil || queue.first() != message {
			return false
		}
		if message.attempts == 0 && queue.backoffUntil > e.now {
			return false // an attempt of an earlier message may still be running
		}
	}
	retryByKey := message.firstUncertainAt > 0 && class.Idempotency == IdempotentByKey
	keyUnknown := class.DedupPerZone && endpoint.zone != message.firstUncertainZone
	if retryByKey && keyUnknown {
		return false
	}
	// Only one attempt of a non-idempotent message may run, so it avoids ejected endpoints until it is late.
	avoidEjected := class.Idempotency == NonIdempotent && e.now <= message.objectiveAt
	return !avoidEjected || !endpoint.ejected()
}

// startCall makes a call with a destination's next message and the other messages that may share
// it. A trial call, which is a call to an ejected endpoint, carries only one message. If adaptive
// throttling drops the call, nothing is sent and the limiter backs off.
func (e *Engine) startCall(destination *destination) {
	endpoint := destination.nextEndpoint
	limiter := endpoint.limiter
	limiter.tokens.take(e.now, 1, e.rateLimit(limiter), e.bucketDepth(limiter))
	trial := endpoint.ejected()
	if trial {
		limiter.history.request(e.now) // no draw: the recovery budget limits trial calls more strictly
	} else if e.drawDrop(limiter) {
		limiter.backoffUntil = max(limiter.backoffUntil, e.now+e.usualLatency(destination))
		return
	}
	call := &call{endpoint: endpoint, sentAt: e.now, opensConnection: e.nextConnectCost(endpoint) > 0}
	for _, message := range slices.Clone(destination.queue) {
		if call.openAttempts >= destination.kind.BatchSize {
			break
		}
		mayShare := call.openAttempts > 0 && !trial
		if message == destination.nextMessage || mayShare {
			e.sendMessage(message, call)
		}
	}
	if call.openAttempts == 0 {
		return
	}
	limiter.tokens.tokens -= e.nextConnectCost(endpoint) // may go below 0: then the next call waits longer
	e.spendRecoveryBudget(endpoint)
	if e.settings.Cancellation {
		e.cancelOverdueCall(call)
	}
	limiter.rateBound = false
	e.countCall(destination, endpoint)
}

// sendMessage adds a message to a call, if it may be sent. No other code emits ActSend.
func (e *Engine) sendMessage(message *message, call *call) {
	if !e.maySend(message, call.endpoint) {
		return
	}
	message.destination.queue = without(message.destination.queue, message)
	message.call = call
	e.messagesInFlight++
	message.attempts++
	call.openAttempts++
	call.messages = append(call.messages, message)
	e.emit(Action{
		Kind: ActSend, Message: message.id, Endpoint: call.endpoint.id,
		TimeoutAt: e.attemptTimeout(message, call.endpoint), LastByteBy: e.lastByteDeadline(message),
		WarmingUp: call.endpoint.unhealthy, OpensConnection: call.opensConnection,
	})
}
