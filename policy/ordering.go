package policy

import (
	"cmp"
	"math"
	"slices"
)

// The order of waiting messages by the weight that they lose, and the time of the next call.

const (
	minQueueRate         = 0.1 // calls per second that a destination is assumed to accept at least
	maxQueueDelaySeconds = 60
	weightTieBreak       = 1000 // messages that lose nothing by waiting are ranked by weight/weightTieBreak
)

// valueAt returns the weight with which a message counts if it is delivered at a given time.
func (e *Engine) valueAt(message *message, deliveredAt Time) float64 {
	class := message.class
	late := float64(deliveredAt - message.objectiveAt)
	switch {
	case deliveredAt <= message.objectiveAt:
		return message.weight
	case deliveredAt > message.deadline:
		return 0
	case e.settings.ExponentialDecay:
		decay := math.Exp2(-late / float64(max(class.LatencyObjective, 1)))
		return message.weight * max(class.LateWeight, decay)
	}
	lateShare := late / float64(max(message.deadline-message.objectiveAt, 1))
	return message.weight * (1 - (1-class.LateWeight)*lateShare)
}

// queueDelay estimates how long it takes, at this relay's own rate, until a destination's whole queue
// has been sent and the last message answered.
func (e *Engine) queueDelay(destination *destination) Time {
	rate := 0.0
	for _, limiter := range destination.limiters {
		rate += e.rateLimit(limiter)
	}
	wait := float64(len(destination.queue)) / max(rate*float64(destination.kind.BatchSize), minQueueRate)
	return Time(min(wait, maxQueueDelaySeconds)*1e6) + e.usualLatency(destination)
}

// usualLatency returns the mean latency of a destination, or of its first route if it has
// independent ones. Before its first answer that is the mean of all destinations, and before any
// answer a quarter of the first class's latency objective.
func (e *Engine) usualLatency(destination *destination) Time {
	limiters := destination.limiters
	if len(limiters) > 0 && limiters[0].latency.count > 0 {
		return Time(limiters[0].latency.mean)
	}
	if e.latency.count > 0 {
		return Time(e.latency.mean)
	}
	return e.settings.Classes[0].LatencyObjective / 4
}

// orderQueue sorts a queue by the weight that each message would lose if it were sent last instead of
// now, the largest loss first. Before all others come the recovered messages that were never sent, as far
// as all of them can be sent in time.
func (e *Engine) orderQueue(destination *destination) {
	soonest := e.now + e.usualLatency(destination)
	latest := soonest + e.queueDelay(destination)
	for _, message := range destination.queue {
		message.waitingLoss = e.valueAt(message, soonest) - e.valueAt(message, latest)
	}
	for _, message := range e.sendableUntried(destination, soonest) {
		// Nearest deadline first.
		message.waitingLoss += recoveredUntriedLoss / float64(message.deadline-e.now)
	}
	slices.SortStableFunc(destination.queue, func(a, b *message) int {
		return cmp.Or(cmp.Compare(b.waitingLoss, a.waitingLoss), cmp.Compare(a.objectiveAt, b.objectiveAt))
	})
}

// sendableUntried returns the largest set of recovered messages without an attempt that can all be sent and
// answered in time if they are sent nearest deadline first, at the rate that this relay has now. If there
// are too many, the ones with the nearest deadlines are left out: sent nearest deadline first, each would
// be sent when it is nearly over.
func (e *Engine) sendableUntried(destination *destination, soonest Time) []*message {
	var untried []*message
	for _, message := range destination.queue {
		if message.recoveredUntried && message.deadline > soonest {
			untried = append(untried, message)
		}
	}
	if len(untried) == 0 {
		return nil
	}
	slices.SortStableFunc(untried, func(a, b *message) int { return cmp.Compare(a.deadline, b.deadline) })
	interval := float64(second) / max(e.currentRate(destination), minQueueRate)
	first := 0
	for i, message := range untried {
		if answeredAt := soonest + Time(float64(i-first)*interval); answeredAt > message.deadline {
			first++
		}
	}
	return untried[first:]
}

// currentRate returns the messages per second that this relay may send to a destination now: at its own
// rate, or at that of the recovery budgets if all endpoints under a limiter are unhealthy.
func (e *Engine) currentRate(destination *destination) float64 {
	sum := 0.0
	for _, limiter := range destination.limiters {
		rate := e.rateLimit(limiter)
		healthy := func(endpoint *endpoint) bool { return !endpoint.unhealthy }
		if !slices.ContainsFunc(limiter.endpoints, healthy) {
			budgets := 0.0
			for _, endpoint := range limiter.endpoints {
				budgets += e.nextCallBudget(endpoint).rate
			}
			rate = min(rate, budgets)
		}
		sum += rate
	}
	return sum * float64(destination.kind.BatchSize)
}

// acceptsCall reports whether at least one limiter of a destination allows a call, whatever
// the state of its endpoints.
func (e *Engine) acceptsCall(destination *destination) bool {
	accepts := false
	for _, limiter := range destination.limiters { // no early exit: hasToken also updates rateBound
		if e.hasConcurrency(limiter) && e.hasToken(limiter) {
			accepts = true
		}
	}
	return accepts
}

// chooseNext chooses the first message of a destination's sorted queue that may be sent, and its
// endpoint. If none may be sent, a timer marks the destination dirty when that may have changed.
func (e *Engine) chooseNext(destination *destination) {
	destination.nextMessage = nil
	if len(destination.queue) == 0 {
		return
	}
	if e.acceptsCall(destination) {
		e.orderQueue(destination)
		for _, message := range destination.queue {
			if endpoint := e.chooseEndpoint(message); endpoint != nil {
				destination.nextMessage = message
				destination.nextEndpoint = endpoint
				loss := message.waitingLoss + message.weight/weightTieBreak
				destination.nextPriority = loss / float64(e.usualLatency(destination)+1)
				return
			}
		}
	}
	next := e.nextSendTime(destination)
	pendingTimerSuffices := destination.wakeAt > e.now && destination.wakeAt <= next
	if next < math.MaxInt64 && !pendingTimerSuffices {
		destination.wakeAt = max(next, e.now+e.settings.TickInterval)
		e.callAt(destination.wakeAt, func() { e.markDirty(destination) })
	}
}

// nextSendTime returns the next time at which a call to a destination may become possible without an event.
func (e *Engine) nextSendTime(destination *destination) Time {
	e.nextSendTimeCalls++
	next := Time(math.MaxInt64)
	for _, limiter := range destination.limiters {
		tokenAt := limiter.tokens.when(e.now, 1, e.rateLimit(limiter), e.bucketDepth(limiter))
		limitedUntil := max(limiter.backoffUntil, limiter.retryAfterUntil, tokenAt)
		for _, endpoint := range limiter.endpoints {
			at := max(limitedUntil, endpoint.backoffUntil, endpoint.identityRejectedUntil)
			if endpoint.unhealthy {
				budget := e.nextCallBudget(endpoint)
				at = max(at, endpoint.recoveryBudget.when(e.now, budget.cost, budget.rate, budget.depth))
			}
			if at > e.now {
				next = min(next, at)
			}
		}
	}
	for _, message := range destination.queue {
		queue := e.orderedQueues[message.key]
		inOrder := queue != nil && message.class.Ordered
		if inOrder && queue.backoffUntil > e.now {
			next = min(next, queue.backoffUntil)
		}
		if message.class.Idempotency == NonIdempotent && message.objectiveAt >= e.now {
			next = min(next, message.objectiveAt+1) // then it no longer avoids ejected endpoints
		}
	}
	return next
}
