package policy

import "cmp"

// How often and how long a message may be sent, and when an attempt is given up.

const (
	maxAttemptNumber       = 255
	dedupTransitTime       = Time(200e3) // from a retry's last byte to its endpoint, or 1/20 of the window
	nonIdempotentPatience  = 4           // times as long a call of non-idempotent messages may take
	overdueLatencyMultiple = 4           // a call is overdue after so many times mean and deviation
)

// attemptsExhausted: no further attempt of this message is allowed, ever.
func (e *Engine) attemptsExhausted(message *message) bool {
	counted, limit := message.attempts-message.uncountedAttempts, e.settings.MaxAttempts
	if message.attempts >= maxAttemptNumber || limit > 0 && counted >= limit {
		return true
	}
	if message.firstUncertainAt == 0 || message.class.Idempotency == Idempotent {
		return false
	}
	return message.class.Idempotency == NonIdempotent || e.now >= e.lastByteDeadline(message)
}

// lastByteDeadline is the moment from which the destination may have forgotten a message's key where a retry
// arrives; 0 where that does not matter. A connection that comes up late makes a retry late that was in time.
func (e *Engine) lastByteDeadline(message *message) Time {
	if message.firstUncertainAt == 0 || message.class.Idempotency != IdempotentByKey {
		return 0
	}
	window := message.class.DedupWindow
	transit := max(2*e.settings.TickInterval, min(dedupTransitTime, window/20))
	return message.firstUncertainAt + window - transit
}

// recordUncertainAttempt notes the first attempt of a message that may have run, and the end of its window.
func (e *Engine) recordUncertainAttempt(message *message, sentAt Time, zone int) {
	message.firstUncertainAt, message.firstUncertainZone = sentAt, zone
	windowEnd := sentAt + message.class.DedupWindow - 2*e.settings.TickInterval + 1
	e.timers.add(max(windowEnd, e.now+1), func() { e.reevaluate(message) })
}

// attemptTimeout is when an attempt times out.
func (e *Engine) attemptTimeout(message *message, endpoint *endpoint) Time {
	last := message.deadline - 2*e.deadlineMargin()
	if message.class.Idempotency == NonIdempotent {
		return last // it cannot be tried again
	}
	usual := endpoint.limiter.latency.upperBound(overdueLatencyMultiple)
	return min(last, e.now+Time(max(usual, float64(message.class.LatencyObjective))))
}

// overdueAfter is how long a call to an endpoint usually takes at most.
func (e *Engine) overdueAfter(endpoint *endpoint) Time {
	if endpoint.latency.count == 0 {
		return overdueLatencyMultiple * e.usualLatency(endpoint.limiter.destination)
	}
	return Time(endpoint.latency.upperBound(overdueLatencyMultiple))
}

// cancelOverdueCall cancels a call that has been out for long while every slot was taken and messages waited
// for as long. Harm: work nearly done is done again. A non-idempotent message, without a retry, has longer.
func (e *Engine) cancelOverdueCall(call *call) {
	patience := e.overdueAfter(call.endpoint) + 1
	if call.messages[0].class.Idempotency == NonIdempotent {
		patience *= nonIdempotentPatience
	}
	at := max(call.sentAt, cmp.Or(e.saturatedSince, e.now)) + patience
	if call.openAttempts > 0 && at > e.now {
		e.timers.add(at, func() { e.cancelOverdueCall(call) })
		return
	}
	for _, message := range call.messages {
		if message.call == call {
			e.emit(Action{Kind: ActCancel, Message: message.id, Attempt: message.attempts - 1})
		}
	}
}
