package policy

import (
	"cmp"
	"math"
	"slices"
)

// The order of what waits: what a message is worth by when, and when a destination can be sent to.

const (
	minDrainRate    = 0.1 // calls a second that a destination is taken to accept at least
	maxDrainSeconds = 60
	weightTieBreak  = 1000 // among those that lose nothing by waiting, a part of the weight decides
)

// valueAt is the weight that a message has if it is delivered then.
func (e *Engine) valueAt(message *message, then Time) float64 {
	class := message.class
	late := float64(then - message.objectiveAt)
	switch {
	case then <= message.objectiveAt:
		return message.weight
	case then > message.deadline:
		return 0
	case e.settings.ExponentialDecay:
		half := math.Exp2(-late / float64(max(class.LatencyObjective, 1)))
		return message.weight * max(class.LateWeight, half)
	}
	gone := late / float64(max(message.deadline-message.objectiveAt, 1))
	return message.weight * (1 - (1-class.LateWeight)*gone)
}

// drainTime is how long the destination takes for what waits there, as far as this relay can tell.
func (e *Engine) drainTime(destination *destination) Time {
	rate := 0.0
	for _, limiter := range destination.limiters {
		rate += e.rateLimit(limiter)
	}
	wait := float64(len(destination.queue)) / max(rate*float64(destination.kind.BatchSize), minDrainRate)
	return Time(min(wait, maxDrainSeconds)*1e6) + e.usualLatency(destination)
}

// usualLatency is the mean of a destination's answers, else of all, else a part of an objective.
func (e *Engine) usualLatency(destination *destination) Time {
	if limiters := destination.limiters; len(limiters) > 0 && limiters[0].latency.count > 0 {
		return Time(limiters[0].latency.mean)
	}
	if e.latency.count > 0 {
		return Time(e.latency.mean)
	}
	return e.settings.Classes[0].LatencyObjective / 4
}

// orderQueue puts first what loses most if it waits as long as the queue takes.
func (e *Engine) orderQueue(destination *destination) {
	soon := e.now + e.usualLatency(destination)
	then := soon + e.drainTime(destination)
	for _, message := range destination.queue {
		message.waitingLoss = e.valueAt(message, soon) - e.valueAt(message, then)
		if message.recoveredUntried && message.deadline > soon { // above all others
			message.waitingLoss += recoveredUntriedLoss / float64(message.deadline-e.now)
		}
	}
	slices.SortStableFunc(destination.queue, func(a, b *message) int {
		return cmp.Or(cmp.Compare(b.waitingLoss, a.waitingLoss), cmp.Compare(a.objectiveAt, b.objectiveAt))
	})
}

// acceptsCall: some limiter of a destination lets a call go, whatever its endpoints say.
func (e *Engine) acceptsCall(destination *destination) bool {
	accepts := false
	for _, limiter := range destination.limiters { // each notes if its rate makes something wait
		if e.hasConcurrency(limiter) && e.hasToken(limiter) {
			accepts = true
		}
	}
	return accepts
}

// chooseNext finds the message of a destination that loses most if it waits as long as the queue takes, and
// its endpoint. Where none may go, it looks again as soon as time allows one.
func (e *Engine) chooseNext(destination *destination) {
	destination.nextMessage = nil
	if len(destination.queue) == 0 {
		return
	}
	if e.acceptsCall(destination) {
		e.orderQueue(destination)
		for _, message := range destination.queue {
			if endpoint := e.chooseEndpoint(message); endpoint != nil {
				destination.nextMessage, destination.nextEndpoint = message, endpoint
				loss := message.waitingLoss + message.weight/weightTieBreak
				destination.nextPriority = loss / float64(e.usualLatency(destination)+1)
				return
			}
		}
	}
	next := e.nextSendTime(destination)
	if next < math.MaxInt64 && (destination.wakeAt <= e.now || next < destination.wakeAt) {
		destination.wakeAt = max(next, e.now+e.settings.TickInterval)
		e.timers.add(destination.wakeAt, func() { e.markDirty(destination) })
	}
}

// nextSendTime is the next moment at which time alone may let something go to a destination.
func (e *Engine) nextSendTime(destination *destination) Time {
	e.nextSendTimeCalls++
	next := Time(math.MaxInt64)
	for _, limiter := range destination.limiters {
		token := limiter.tokens.when(e.now, 1, e.rateLimit(limiter), e.bucketDepth(limiter))
		limited := max(limiter.backoffUntil, limiter.retryAfterUntil, token)
		for _, endpoint := range limiter.endpoints {
			at := max(limited, endpoint.backoffUntil, endpoint.identityRejectedUntil)
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
		if queue != nil && message.class.Ordered && queue.backoffUntil > e.now {
			next = min(next, queue.backoffUntil)
		}
		if message.class.Idempotency == NonIdempotent && message.objectiveAt >= e.now {
			next = min(next, message.objectiveAt+1)
		}
	}
	return next
}
