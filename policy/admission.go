package policy

import (
	"cmp"
	"math"
)

// Which messages are taken in, and which are given up while others wait.

const (
	pendingReserveDivisor = 16   // one part in so many of MaxPending is kept free
	recoveredUntriedLoss  = 1e12 // over the time that is left, in µs: more than any message's weight
)

// admit takes a message into the queue of its destination.
func (e *Engine) admit(event *Event) {
	if e.messages[event.Message] != nil {
		return
	}
	if event.Class < 0 || event.Class >= len(e.settings.Classes) {
		e.emit(Action{Kind: ActReject, Message: event.Message, Reason: UnknownClass}) // nothing has run
		return
	}
	class := &e.settings.Classes[event.Class]
	message := &message{id: event.Message, key: event.Key, class: class, weight: e.weightOf(event, class)}
	message.destination = e.destinationFor(event.Destination)
	message.deadline = e.now + max(event.TimeLeft, 0)
	message.objectiveAt = message.deadline - class.Deadline + class.LatencyObjective
	message.recoveredUntried = event.Recovered && event.Attempts == 0
	e.messages[message.id] = message
	e.pending.add(message)
	e.timers.add(message.deadline-e.deadlineMargin(), func() { e.reevaluate(message) })
	if event.Recovered {
		e.limitRecovered(message.destination)
	}
	e.restoreAttempts(message, event)
	message.destination.queue = append(message.destination.queue, message)
	e.markDirty(message.destination)
	if endpoint := e.endpoints[event.AttemptEndpoint]; endpoint != nil && event.AttemptSentAt > 0 {
		e.restoreAttempt(message, endpoint, event.AttemptSentAt)
	}
	e.joinOrderedQueue(message)
	e.rejectIfUnprovable(message)
}

// weightOf is the weight of a new message: less beyond its tenant's quota, of which each relay has a part.
func (e *Engine) weightOf(event *Event, class *Class) float64 {
	weight := class.Weight
	if e.settings.WeightByCost && event.EstimatedCost > 0 {
		weight *= float64(event.EstimatedCost)
	}
	if event.Tenant >= 0 && event.Tenant < len(e.tenantQuotas) && e.settings.Tenants[event.Tenant].Quota > 0 {
		share := e.settings.Tenants[event.Tenant].Quota / float64(e.settings.Relays)
		if !e.tenantQuotas[event.Tenant].take(e.now, 1, share, max(share, 1)) {
			weight *= e.settings.OverQuotaWeight
		}
	}
	return cmp.Or(event.Weight, weight)
}

// limitRecovered holds a destination to an even share as messages come that waited in a process that ended:
// after a release whole fleets have such, and would send them in the same second.
func (e *Engine) limitRecovered(destination *destination) {
	for _, limiter := range destination.limiters {
		if limiter.reducedAt == 0 && e.exceedsEvenShare(limiter) {
			limiter.reducedRate, limiter.reducedAt = e.capacity(limiter)/float64(e.settings.Relays), e.now
		}
	}
}

// shedLoad keeps a part of MaxPending free: a message rejected unseen may have more weight than the least one
// pending, and what waits for a destination that is down must not crowd out the others.
func (e *Engine) shedLoad() {
	limit := e.settings.MaxPending - max(1, e.settings.MaxPending/pendingReserveDivisor)
	for e.settings.MaxPending > 0 && len(e.pending) > limit {
		least := e.leastValuable()
		if least == nil {
			return
		}
		e.endUndelivered(least, LoadShed)
	}
}

// leastValuable is the message that may be rejected with the least loss; nil where none may.
func (e *Engine) leastValuable() *message {
	var least *message
	lowest := math.Inf(1)
	e.shedPasses++
	for _, message := range e.pending {
		if !e.rejectable(message) || message.recoveredUntried {
			continue
		}
		delivered := min(e.drainedAt(message.destination), message.deadline)
		if value := e.valueAt(message, delivered); value < lowest {
			least, lowest = message, value
		}
	}
	return least
}

// drainedAt is when all that waits for a destination will have gone; it is found once a pass.
func (e *Engine) drainedAt(destination *destination) Time {
	if destination.shedPass != e.shedPasses {
		next := e.nextSendTime(destination)
		if next == math.MaxInt64 { // the end of a call, not the time, lets it go
			next = e.now
		}
		destination.shedPass, destination.drainedAt = e.shedPasses, next+e.drainTime(destination)
	}
	return destination.drainedAt
}

// rejectable: only what cannot have run, or may run again, is handed back to its client.
func (e *Engine) rejectable(message *message) bool {
	class := message.class
	if message.call != nil || message.firstUncertainAt == 0 || class.Idempotency == Idempotent {
		return message.call == nil
	}
	inWindow := e.now-message.firstUncertainAt < class.DedupWindow
	return class.Idempotency == IdempotentByKey && !class.DedupPerZone && inWindow
}

// endUndelivered gives the one final answer of a message that was not delivered. Nothing else does.
func (e *Engine) endUndelivered(message *message, reason Reason) {
	if message.finished {
		return
	}
	action := Action{Kind: ActFail, Message: message.id, Reason: reason}
	if e.rejectable(message) {
		action.Kind = ActReject
		if e.settings.SendRetryAfter {
			wait := max(e.drainTime(message.destination), e.identityRetryAt(message.destination)-e.now)
			action.After = min(wait, e.settings.MaxRetryAfter)
		}
	}
	e.emit(action)
	e.finishMessage(message)
}

// reevaluate ends a message that would run out of time before the next look, or that can never be sent again.
func (e *Engine) reevaluate(message *message) {
	inTime := e.now < message.deadline-e.deadlineMargin()
	if message.finished || inTime && (message.call != nil || !e.attemptsExhausted(message)) {
		return
	}
	if message.call != nil && e.settings.Cancellation {
		e.emit(Action{Kind: ActCancel, Message: message.id, Attempt: message.attempts - 1})
	}
	reason := DeadlineExceeded
	if inTime {
		reason = AttemptsExhausted
	}
	e.endUndelivered(message, reason)
}

// deadlineMargin is the time before a deadline in which a message is ended for certain.
func (e *Engine) deadlineMargin() Time { return 3 * e.settings.TickInterval }
