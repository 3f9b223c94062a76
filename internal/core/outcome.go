package core

import (
	"log/slog"

	"troutusher/internal/metrics"
	"troutusher/internal/msgtrace"
	"troutusher/policy"
)

// Result is the result of a call or of a health check.
type Result struct {
	Outcome           policy.Outcome
	RetryAfter        policy.Time // that the endpoint asked for; 0 for none
	SlotsExhausted    bool        // the endpoint did not run the call because all its slots were taken
	Final             bool        // the message has ended: no further attempt follows
	ConnectionsOpened int         // for this call
	Elapsed           policy.Time
	Load              policy.LoadReport
	Status            int  // HTTP status of the response; 0 for none
	Malformed         bool // a response arrived that cannot be trusted
	Err               error
}

// neverLeft reports whether an attempt never left the relay, so that no endpoint has seen it.
func (r *Result) neverLeft() bool { return r.Outcome == policy.NotSent && r.Status == 0 }

// outcomeMetrics maps outcomes to the names of their metrics.
var outcomeMetrics = map[policy.Outcome]string{
	policy.Delivered:       metrics.Delivered,
	policy.Failed:          metrics.Failed,
	policy.Rejected:        metrics.Rejected,
	policy.TimedOut:        metrics.TimedOut,
	policy.ConnectFailed:   metrics.ConnectFailed,
	policy.ConnectionReset: metrics.ConnectionReset,
	policy.Cancelled:       metrics.Cancelled,
	policy.NotSent:         metrics.NotSent,
}

// finishAttempt handles the end of an attempt. It appends the last record of the message if
// the attempt ended it, otherwise the record of the outcome if the attempt was logged. Either
// record is appended before the policy decides what to do next.
func (c *Core) finishAttempt(call *Call, result *Result, logged bool) {
	m, endpoint := call.message, call.endpoint
	c.noteCompleted(result.Outcome)
	event := attemptEndedEvent(call, result)
	if endpoint != nil && result.RetryAfter > 0 && result.Outcome != policy.NotSent {
		// The Retry-After of a call that was not sent comes from the relay itself.
		c.recordRetryAfter(call, c.now+result.RetryAfter)
	}
	c.closeCall(call)
	c.metrics.Add(m.record.Dest, outcomeMetrics[result.Outcome], 1)
	c.countRecoveredAttempt(m, result.Outcome)
	c.metrics.Add(m.record.Dest, metrics.ConnectionsOpened, int64(result.ConnectionsOpened))
	c.policyEvents = append(c.policyEvents, event)
	if endpoint != nil && endpoint.open && endpoint.suspectsIdleConnections(result, c.now) {
		c.emit(CloseIdleConnections{Endpoint: endpoint.number})
	}
	// The log line comes before the record of the end. Otherwise a crash between the two could
	// leave a message with neither a log line nor a record.
	c.logAttempt(call, result, event.Endpoint)
	switch {
	case result.Final:
		c.appendRecord(&Record{Kind: RecordDone, ID: m.record.ID})
	case logged:
		c.appendRecord(&Record{
			Kind: RecordOutcome, ID: m.record.ID,
			MayHaveRun: !result.Outcome.NeverRan(), NotCounted: result.neverLeft(),
		})
	}
	c.finishWithAttempt(m, result)
}

// noteCompleted counts a completed attempt. A failed one also counts as a change of state, see
// StateVersion.
func (c *Core) noteCompleted(outcome policy.Outcome) {
	c.completedCalls++
	switch outcome {
	case policy.Delivered, policy.NotSent, policy.Cancelled:
	default:
		c.stateVersion++
	}
}

// attemptEndedEvent returns the event that reports the end of an attempt to the policy.
func attemptEndedEvent(call *Call, result *Result) policy.Event {
	event := policy.Event{
		Kind: policy.EvAttemptEnded, Message: call.message.number, Attempt: call.attempt, Outcome: result.Outcome,
		RetryAfter: result.RetryAfter, NoFreeSlot: result.SlotsExhausted, NotCounted: result.neverLeft(),
		ConnectionsOpened: result.ConnectionsOpened, MessageFinished: result.Final || call.message.finished,
		Latency: result.Elapsed, Load: result.Load,
	}
	if call.endpoint != nil {
		event.Endpoint = call.endpoint.number
	}
	return event
}

// logAttempt logs an attempt that did not deliver its message, and traces the end of a message
// that the attempt has ended.
func (c *Core) logAttempt(call *Call, result *Result, number policy.EndpointID) {
	m := call.message
	tookMS := result.Elapsed / microsPerMilli
	if result.Outcome != policy.Delivered {
		c.log(slog.LevelInfo, msgtrace.AttemptFailed, "message", m.record.ID, "dest", m.record.Dest,
			"class", m.record.Class, "endpoint", number, "attempt", call.attempt, "outcome", int(result.Outcome),
			"status", result.Status, "took_ms", tookMS, "err", result.Err)
	}
	if !result.Final || m.finished {
		return
	}
	text := msgtrace.EndpointFinished
	if result.Outcome == policy.Delivered {
		text = msgtrace.Delivered
	}
	c.trace(m, text, "endpoint", number, "took_ms", tookMS, "left_ms", c.remainingMS(m))
}

// finishWithAttempt ends a message if the attempt was its last one, and forgets a message that
// had already ended before the attempt did.
func (c *Core) finishWithAttempt(m *message, result *Result) {
	if m.finished {
		c.messages.forget(m)
		return
	}
	if !result.Final {
		return
	}
	if result.Outcome == policy.Delivered {
		c.countsOf(m.record.Class).Delivered++
		c.ended.add(EndedMessage{Message: m.record.ID, Delivered: true})
	}
	c.finish(m)
}
