package policy

import "cmp"

const (
	maxAttemptNumber           = 255
	dedupTransitTime           = Time(200e3) // for a retry's last byte to arrive; at most 1/20 of the window
	nonIdempotentOverdueFactor = 4           // factor of the overdue time of non-idempotent messages
	overdueLatencyMultiple     = 4           // a call is overdue after this multiple of mean plus deviation
)

// attemptsExhausted reports whether a message may never be sent again.
func (e *Engine) attemptsExhausted(message *message) bool {
	counted := message.attempts - message.uncountedAttempts
	limit := e.settings.MaxAttempts
	if message.attempts >= maxAttemptNumber || limit > 0 && counted >= limit {
		return true
	}
	if message.firstUncertainAt == 0 || message.class.Idempotency == Idempotent {
		return false
	}
	return message.class.Idempotency == NonIdempotent || e.now >= e.lastByteDeadline(message)
}

// lastByteDeadline returns by when a retry's last byte must be sent to arrive while the destination remembers
// the message's key; 0 for no limit. A retry that starts in time may be late if its connection opens slowly.
func (e *Engine) lastByteDeadline(message *message) Time {
	if message.firstUncertainAt == 0 || message.class.Idempotency != IdempotentByKey {
		return 0
	}
	window := message.class.DedupWindow
	transit := max(2*e.settings.TickInterval, min(dedupTransitTime, window/20))
	return message.firstUncertainAt + window - transit
}

// recordUncertainAttempt notes the first attempt that may have run, and a check for the end of its window.
func (e *Engine) recordUncertainAttempt(message *message, sentAt Time, zone int) {
	message.firstUncertainAt, message.firstUncertainZone = sentAt, zone
	windowEnd := sentAt + message.class.DedupWindow - 2*e.settings.TickInterval + 1
	e.timers.add(max(windowEnd, e.now+1), func() { e.reevaluate(message) })
}

func (e *Engine) attemptTimeout(message *message, endpoint *endpoint) Time {
	last := message.deadline - 2*e.deadlineMargin()
	if message.class.Idempotency == NonIdempotent {
		return last // it cannot be retried, so it may use all the time that is left
	}
	usual := endpoint.limiter.latency.upperBound(overdueLatencyMultiple)
	return min(last, e.now+Time(max(usual, float64(message.class.LatencyObjective))))
}

func (e *Engine) overdueAfter(endpoint *endpoint) Time {
	if endpoint.latency.count == 0 {
		return overdueLatencyMultiple * e.usualLatency(endpoint.limiter.destination)
	}
	return Time(endpoint.latency.upperBound(overdueLatencyMultiple))
}

// cancelOverdueCall cancels a call that is overdue, if all slots were taken and messages waited for as long.
// Drawback: nearly finished work is repeated. Non-idempotent messages, which have no retry, get more time.
func (e *Engine) cancelOverdueCall(call *call) {
	maxDuration := e.overdueAfter(call.endpoint) + 1
	if call.messages[0].class.Idempotency == NonIdempotent {
		maxDuration *= nonIdempotentOverdueFactor
	}
	cancelAt := max(call.sentAt, cmp.Or(e.saturatedSince, e.now)) + maxDuration
	if call.openAttempts > 0 && cancelAt > e.now {
		e.timers.add(cancelAt, func() { e.cancelOverdueCall(call) })
		return
	}
	for _, message := range call.messages {
		if message.call == call {
			e.emit(Action{Kind: ActCancel, Message: message.id, Attempt: message.attempts - 1})
		}
	}
}
