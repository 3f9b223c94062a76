package core

import (
	"log/slog"

	"troutusher/internal/metrics"
	"troutusher/internal/msgtrace"
	"troutusher/policy"
)

// Result is how a call or a health check ended.
type Result struct {
	Outcome           policy.Outcome
	RetryAfter        policy.Time // as its endpoint asked for; 0 for none
	SlotsExhausted    bool        // it was not sent, since all slots were taken
	Final             bool        // the message has ended
	ConnectionsOpened int         // for it
	Elapsed           policy.Time
	Load              policy.LoadReport
	Status            int  // of the response; 0 for none
	Malformed         bool // a response came that cannot be trusted
	Err               error
}

// neverLeft reports whether an attempt never left the relay: no endpoint saw it.
func (r *Result) neverLeft() bool { return r.Outcome == policy.NotSent && r.Status == 0 }

// outcomeMetrics are the names of outcomes in the metrics.
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

// finishAttempt applies the end of an attempt: its record, if the attempt was logged,
// or the last one of its message comes before whatever the policy does next.
func (c *Core) finishAttempt(call *Call, result *Result, logged bool) {
	m, endpoint := call.message, call.endpoint
	c.noteCompleted(result.Outcome)
	event := attemptEndedEvent(call, result)
	if endpoint != nil && result.RetryAfter > 0 && result.Outcome != policy.NotSent {
		// That of a call that was not sent is the relay's own.
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
	// The log lines come first: a crash in between must not leave a message with
	// neither a line nor a record.
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

// noteCompleted counts an attempt, and a failed one as a change of state.
func (c *Core) noteCompleted(outcome policy.Outcome) {
	c.completedCalls++
	switch outcome {
	case policy.Delivered, policy.NotSent, policy.Cancelled:
	default:
		c.stateVersion++
	}
}

// attemptEndedEvent is the end of an attempt as it is reported to the policy.
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

// logAttempt logs an attempt that was not delivered, and traces the end of a message.
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

// finishWithAttempt ends a message with its last attempt, or forgets one that had
// ended before.
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
	}
	c.finish(m)
}
