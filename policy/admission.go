package policy

import (
	"cmp"
	"math"
)

const (
	pendingReserveDivisor = 16   // MaxPending/pendingReserveDivisor places are kept free
	recoveredUntriedLoss  = 1e12 // divided by the time left in µs: larger than the weight of any message
)

func (e *Engine) admit(event *Event) {
	if e.messages[event.Message] != nil {
		return
	}
	if event.Class < 0 || event.Class >= len(e.settings.Classes) {
		e.emit(Action{Kind: ActReject, Message: event.Message, Reason: UnknownClass}) // it was never sent
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
	e.restoreAttemptHistory(message, event)
	message.destination.queue = append(message.destination.queue, message)
	e.markDirty(message.destination)
	if endpoint := e.endpoints[event.AttemptEndpoint]; endpoint != nil && event.AttemptSentAt > 0 {
		e.restoreAttemptInFlight(message, endpoint, event.AttemptSentAt)
	}
	e.joinOrderedQueue(message)
	e.rejectIfUnprovable(message)
}

// weightOf returns the weight of a new message, reduced if its tenant exceeds this relay's part of the quota.
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

// limitRecovered limits a destination to an even share of its rate when recovered messages are submitted:
// after a release all relays of a fleet have such messages, and would send them in the same second.
func (e *Engine) limitRecovered(destination *destination) {
	for _, limiter := range destination.limiters {
		if limiter.reducedAt == 0 && e.exceedsEvenShare(limiter) {
			limiter.reducedRate, limiter.reducedAt = e.capacity(limiter)/float64(e.settings.Relays), e.now
		}
	}
}

// shedLoad keeps part of MaxPending free. At MaxPending new messages are refused whatever their weight, which
// may exceed that of a pending one; messages for a destination that is down must not crowd out the others.
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

// leastValuable returns the message whose rejection loses the least weight; nil if none may be rejected.
func (e *Engine) leastValuable() *message {
	var least *message
	lowest := math.Inf(1)
	e.shedPasses++
	for _, message := range e.pending {
		if !e.rejectable(message) || message.recoveredUntried {
			continue
		}
		deliveredAt := min(e.queueEmptyAt(message.destination), message.deadline)
		if value := e.valueAt(message, deliveredAt); value < lowest {
			least, lowest = message, value
		}
	}
	return least
}

// queueEmptyAt returns when a destination's queue is expected to be empty. It is computed once per pass.
func (e *Engine) queueEmptyAt(destination *destination) Time {
	if destination.shedPass != e.shedPasses {
		next := e.nextSendTime(destination)
		if next == math.MaxInt64 { // the next send depends on the end of a call, not on the time
			next = e.now
		}
		destination.shedPass, destination.queueEmptyAt = e.shedPasses, next+e.queueDelay(destination)
	}
	return destination.queueEmptyAt
}

// rejectable reports whether a client may safely submit a message again: it has not run, or may run twice.
func (e *Engine) rejectable(message *message) bool {
	if message.call != nil {
		return false
	}
	class := message.class
	if message.firstUncertainAt == 0 || class.Idempotency == Idempotent {
		return true
	}
	inWindow := e.now-message.firstUncertainAt < class.DedupWindow
	return class.Idempotency == IdempotentByKey && !class.DedupPerZone && inWindow
}

// endUndelivered ends a message that was not delivered, with its only answer. No other code does so.
func (e *Engine) endUndelivered(message *message, reason Reason) {
	if message.finished {
		return
	}
	action := Action{Kind: ActFail, Message: message.id, Reason: reason}
	if e.rejectable(message) {
		action.Kind = ActReject
		if e.settings.SendRetryAfter {
			wait := max(e.queueDelay(message.destination), e.identityRetryAt(message.destination)-e.now)
			action.After = min(wait, e.settings.MaxRetryAfter)
		}
	}
	e.emit(action)
	e.finishMessage(message)
}

// reevaluate ends a message if its deadline is too near for another check, or if it may never be sent again.
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

// deadlineMargin is how long before its deadline an undelivered message is ended.
func (e *Engine) deadlineMargin() Time { return 3 * e.settings.TickInterval }
