package policy

import (
	"cmp"
	"math"
	"slices"
)

// Which message goes next, to which endpoint, and what guards a send.

const otherZoneFactor = 3.0 // a call to another zone counts as so many times as long

// dispatch sends what loses most by waiting, over the destinations that an event or the time has marked and
// those that wait for nothing but a slot.
func (e *Engine) dispatch() {
	if e.callsInFlight < e.settings.MaxConcurrentCalls { // what waited for a slot is chosen anew
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
		if e.chooseNext(first); first.nextMessage == nil {
			e.readyDestinations = without(e.readyDestinations, first)
		}
	}
	if e.callsInFlight < e.settings.MaxConcurrentCalls || len(e.pending) <= e.messagesInFlight {
		e.saturatedSince = 0
	} else if e.saturatedSince == 0 {
		e.saturatedSince = e.now
	}
}

// chooseEndpoint picks an endpoint: healthy before recovering before ejected, then the soonest answer.
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
				best, lowest = endpoint, cost
			}
		}
	}
	return best
}

// sendCost ranks an endpoint for a message; it is a time in µs.
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
		cost *= otherZoneFactor
	}
	if message.lastFailedEndpoint == endpoint { // another may do better, whatever the cause
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

// maySend: every guard on a message and an endpoint together.
func (e *Engine) maySend(message *message, endpoint *endpoint) bool {
	class := message.class
	if message.finished || message.call != nil || e.attemptsExhausted(message) ||
		e.now >= message.deadline-2*e.deadlineMargin() || !e.mayCall(endpoint) {
		return false
	}
	queue := e.orderedQueues[message.key]
	if class.Ordered && message.key != 0 &&
		(queue == nil || queue.first() != message || message.attempts == 0 && queue.backoffUntil > e.now) {
		return false
	}
	retryByKey := message.firstUncertainAt > 0 && class.Idempotency == IdempotentByKey
	if retryByKey && class.DedupPerZone && endpoint.zone != message.firstUncertainZone {
		return false
	}
	// A non-idempotent message has one attempt that may run: not where calls fail, unless it is late already.
	return class.Idempotency != NonIdempotent || !endpoint.ejected() || e.now > message.objectiveAt
}

// startCall makes one call with the next message of a destination and what may share the call.
func (e *Engine) startCall(destination *destination) {
	endpoint := destination.nextEndpoint
	limiter := endpoint.limiter
	limiter.tokens.take(e.now, 1, e.rateLimit(limiter), e.bucketDepth(limiter))
	trial := endpoint.ejected()
	if trial {
		limiter.history.request(e.now) // the recovery budget bounds trial calls harder than the formula would
	} else if e.drawDrop(limiter) {
		limiter.backoffUntil = max(limiter.backoffUntil, e.now+e.usualLatency(destination))
		return
	}
	call := &call{endpoint: endpoint, sentAt: e.now, opensConnection: e.nextConnectCost(endpoint) > 0}
	for _, message := range slices.Clone(destination.queue) {
		if call.openAttempts >= destination.kind.BatchSize {
			break
		}
		if message == destination.nextMessage || call.openAttempts > 0 && !trial {
			e.sendMessage(message, call)
		}
	}
	if call.openAttempts == 0 {
		return
	}
	limiter.tokens.tokens -= e.nextConnectCost(endpoint) // paid back before the next
	e.spendRecoveryBudget(endpoint)
	if e.settings.Cancellation {
		e.cancelOverdueCall(call)
	}
	limiter.rateBound = false
	e.countCall(destination, endpoint)
}

// sendMessage is the one place that sends.
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
		Recovering: call.endpoint.unhealthy, OpensConnection: call.opensConnection,
	})
}
