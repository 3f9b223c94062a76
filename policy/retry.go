package policy

import "cmp"

// Limits on the attempts of a message, and when an attempt is given up.

const (
	maxAttemptNumber           = 255         // an attempt's number is one byte on the wire
	dedupTransitTime           = Time(200e3) // for a retry's last byte to arrive; at most 1/20 of the window
	nonIdempotentOverdueFactor = 4           // factor of the time until a non-idempotent call is overdue
	overdueLatencyMultiple     = 4           // a call is overdue after this multiple of mean plus deviation
)

// attemptsExhausted reports whether a message may never be sent again.
func (e *Engine) attemptsExhausted(message *message) bool {
	counted := message.attempts - message.uncountedAttempts
	limit := e.settings.MaxAttempts
	limitReached := limit > 0 && counted >= limit
	if message.attempts >= maxAttemptNumber || limitReached {
		return true
	}
	if message.firstUncertainAt == 0 || message.class.Idempotency == Idempotent {
		return false
	}
	return message.class.Idempotency == NonIdempotent || e.now >= e.lastByteDeadline(message)
}

// maxUncountedAttempts returns how many attempts of a message may remain uncounted: as many as may be
// counted, or as many as can be numbered if there is no limit.
func (e *Engine) maxUncountedAttempts() int { return cmp.Or(e.settings.MaxAttempts, maxAttemptNumber) }

// lastByteDeadline returns the time by which a retry's last byte must be sent, so that it arrives while
// the destination still remembers the message's key; 0 for no limit. The start of a retry is not enough
// as a limit: if its connection opens slowly, a retry that starts in time arrives late.
func (e *Engine) lastByteDeadline(message *message) Time {
	if message.firstUncertainAt == 0 || message.class.Idempotency != IdempotentByKey {
		return 0
	}
	window := message.class.DedupWindow
	transit := max(2*e.settings.TickInterval, min(dedupTransitTime, window/20))
	return message.firstUncertainAt + window - transit
}

// recordUncertainAttempt records the first attempt of a message that may have run. It schedules a check
// of the message for the end of the dedup window, after which the message may not be sent again.
func (e *Engine) recordUncertainAttempt(message *message, sentAt Time, zone int) {
	message.firstUncertainAt = sentAt
	message.firstUncertainZone = zone
	windowEnd := sentAt + message.class.DedupWindow - 2*e.settings.TickInterval + 1
	e.reevaluateAt(max(windowEnd, e.now+1), message)
}

// attemptTimeout returns when an attempt that is sent now times out: after several times the usual
// latency, but not before the latency objective, because a quick first answer must not make the next
// slow one look like an outage; and in any case early enough to answer the message before its deadline.
func (e *Engine) attemptTimeout(message *message, endpoint *endpoint) Time {
	last := message.deadline - 2*e.deadlineMargin()
	if message.class.Idempotency == NonIdempotent {
		return last // it cannot be retried, so it may use all the time that is left
	}
	usual := endpoint.limiter.latency.upperBound(overdueLatencyMultiple)
	return min(last, e.now+Time(max(usual, float64(message.class.LatencyObjective))))
}

// overdueAfter returns how long a call to an endpoint may take before it is overdue, by the endpoint's
// own latency if it has answered, else by that of its destination.
func (e *Engine) overdueAfter(endpoint *endpoint) Time {
	if endpoint.latency.count == 0 {
		return overdueLatencyMultiple * e.usualLatency(endpoint.limiter.destination)
	}
	return Time(endpoint.latency.upperBound(overdueLatencyMultiple))
}

// cancelOverdueCall cancels a call after its maximum duration, to free its slot for waiting messages. The
// duration counts from the send of the call or from the time since when messages have waited with all
// slots taken, whichever is later. Until then it schedules the next check. The drawback is that nearly
// finished work is repeated. Non-idempotent messages, which cannot be retried, get more time.
func (e *Engine) cancelOverdueCall(call *call) {
	maxDuration := e.overdueAfter(call.endpoint) + 1
	if call.messages[0].class.Idempotency == NonIdempotent {
		maxDuration *= nonIdempotentOverdueFactor
	}
	cancelAt := max(call.sentAt, cmp.Or(e.saturatedSince, e.now)) + maxDuration
	if call.openAttempts > 0 && cancelAt > e.now {
		e.callAt(cancelAt, func() { e.cancelOverdueCall(call) })
		return
	}
	for _, message := range call.messages {
		if message.call == call {
			e.emit(Action{Kind: ActCancel, Message: message.id, Attempt: message.attempts - 1})
		}
	}
}
