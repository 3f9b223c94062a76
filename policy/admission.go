package policy

import (
	"cmp"
	"math"
)

// Admission of messages, load shedding, and the end of messages that cannot be delivered.

const (
	pendingReserveDivisor = 16   // MaxPending/pendingReserveDivisor places are kept free
	recoveredUntriedLoss  = 1e12 // divided by the µs to the deadline: more than any message's weight
)

// admit adds a new message to the queue of its destination, with its earlier attempts if another process
// held it before. A message that is known already is ignored. One whose destination cannot prove its
// identity in time is rejected.
func (e *Engine) admit(event *Event) {
	if e.messages[event.Message] != nil {
		return
	}
	if event.Class < 0 || event.Class >= len(e.settings.Classes) {
		// It was never sent, so its client may submit it again: ActReject, not ActFail.
		e.emit(Action{Kind: ActReject, Message: event.Message, Reason: UnknownClass})
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
	e.reevaluateAt(message.deadline-e.deadlineMargin(), message)
	if event.Recovered {
		e.limitRecovered(message.destination)
	}
	e.restoreAttemptHistory(message, event)
	message.destination.queue = append(message.destination.queue, message)
	e.markDirty(message.destination)
	endpoint := e.endpoints[event.AttemptEndpoint]
	if endpoint != nil && event.AttemptSentAt > 0 {
		e.restoreAttemptInFlight(message, endpoint, event.AttemptSentAt)
	}
	e.joinOrderedQueue(message)
	e.rejectIfUnprovable(message)
}

// weightOf returns the weight of a new message, reduced if its tenant exceeds this relay's part of the
// quota. A message that another process hands over keeps the weight that it had there.
func (e *Engine) weightOf(event *Event, class *Class) float64 {
	weight := class.Weight
	if e.settings.WeightByCost && event.EstimatedCost > 0 {
		weight *= float64(event.EstimatedCost)
	}
	knownTenant := event.Tenant >= 0 && event.Tenant < len(e.tenantQuotas)
	if knownTenant && e.settings.Tenants[event.Tenant].Quota > 0 {
		share := e.settings.Tenants[event.Tenant].Quota / float64(e.settings.Relays)
		if !e.tenantQuotas[event.Tenant].take(e.now, 1, share, max(share, 1)) {
			weight *= e.settings.OverQuotaWeight
		}
	}
	return cmp.Or(event.Weight, weight)
}

// limitRecovered limits a destination to an even share of its rate when recovered messages are
// submitted. After a release all relays of a fleet have such messages, and would otherwise send
// them in the same second.
func (e *Engine) limitRecovered(destination *destination) {
	for _, limiter := range destination.limiters {
		if limiter.reducedAt == 0 && e.exceedsEvenShare(limiter) {
			limiter.reducedRate = e.capacity(limiter) / float64(e.settings.Relays)
			limiter.reducedAt = e.now
		}
	}
}

// shedLoad rejects the least valuable pending messages to keep part of MaxPending free. At MaxPending
// the relay refuses every new message, even one of more weight than a pending one; and the messages for a
// destination that is down must not crowd out the others.
func (e *Engine) shedLoad() {
	limit := e.settings.MaxPending - pendingReserve(e.settings.MaxPending)
	for e.settings.MaxPending > 0 && len(e.pending) > limit {
		least := e.leastValuable()
		if least == nil {
			return
		}
		e.endUndelivered(least, LoadShed)
	}
}

// pendingReserve returns how many of the places for pending messages are kept free: a part of them and at
// least one, but never more than half, so that a relay that may hold a single message holds it.
func pendingReserve(maxPending int) int {
	return min(max(1, maxPending/pendingReserveDivisor), maxPending/2)
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
			least = message
			lowest = value
		}
	}
	return least
}

// queueEmptyAt returns when a destination's queue is expected to be empty. It is computed once per
// load-shedding pass, since a pass looks at every pending message.
func (e *Engine) queueEmptyAt(destination *destination) Time {
	if destination.shedPass != e.shedPasses {
		next := e.nextSendTime(destination)
		if next == math.MaxInt64 { // the next send depends on the end of a call, not on the time
			next = e.now
		}
		destination.shedPass = e.shedPasses
		destination.queueEmptyAt = next + e.queueDelay(destination)
	}
	return destination.queueEmptyAt
}

// rejectable reports whether a client may safely submit a message again: the message has not run, or
// may run twice, or its destination still recognizes the duplicate.
func (e *Engine) rejectable(message *message) bool {
	if message.call != nil {
		return false
	}
	class := message.class
	if message.firstUncertainAt == 0 || class.Idempotency == Idempotent {
		return true
	}
	if class.Idempotency != IdempotentByKey || class.DedupPerZone {
		return false // with DedupPerZone, the new submission may go to a zone that does not know the key
	}
	return e.now-message.firstUncertainAt < class.DedupWindow
}

// endUndelivered ends a pending message that was not delivered, and is the only function that answers
// one. It rejects the message if the client may submit it again, and fails it otherwise.
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

// reevaluate ends a message if its deadline is too near for another check, or if it has no attempt in
// flight and may never be sent again. An attempt in flight is cancelled then.
func (e *Engine) reevaluate(message *message) {
	if message.finished {
		return
	}
	inTime := e.now < message.deadline-e.deadlineMargin()
	mayBeDelivered := message.call != nil || !e.attemptsExhausted(message)
	if inTime && mayBeDelivered {
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

// deadlineMargin returns how long before its deadline an undelivered message is ended: some ticks, so
// that a late step does not make the answer late.
func (e *Engine) deadlineMargin() Time { return 3 * e.settings.TickInterval }
