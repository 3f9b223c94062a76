package core

import (
	"errors"
	"slices"

	"troutusher/internal/metrics"
	"troutusher/policy"
)

const microsPerMilli = 1000

// errNotLogged is the error of an attempt that has no record in the write-ahead log and was
// therefore not sent: either the record could not be written, or the attempt was given up before
// that (see reportNotSent).
var errNotLogged = errors.New("attempt not logged")

// Call is one attempt to deliver a message. The driver makes the call after the attempt's record
// has been written to the write-ahead log.
type Call struct {
	Record    *Record // of the message
	Endpoint  policy.EndpointID
	Timeout   policy.Time // maximum duration
	SendBy    policy.Time // deadline for sending the last byte; 0 for none
	WarmingUp bool        // the endpoint recovers from an outage: connections to it are opened one at a time
	// MayConnect is set if the policy, when it admitted this call, also counted the load that a
	// new connection puts on the destination (see Settings.ConnectionCost). While the
	// endpoint is warming up and connections to it cost something, only such a call may open
	// one, and still only one at a time.
	MayConnect bool
	Handle     any // for use by the driver

	message          *message
	endpoint         *endpointState // nil if the endpoint has been forgotten
	independentRoute bool           // a Retry-After of the endpoint applies to no other endpoint
	attempt          int            // number of the attempt, from 0
	sentAt           policy.Time    // see SentAt
}

// SentAt returns the time at which the attempt was started. The attempt is written to the
// write-ahead log and then sent, both after that time.
func (c *Call) SentAt() policy.Time { return c.sentAt }

// sendOrDefer starts the attempt that an action of the policy asks for. In two cases it stores the
// action in the message instead, and replyDelivered or sendDeferred starts the attempt later:
//   - The client has not received the reply OK to the message yet. If it disconnects before, the
//     message is withdrawn and need not be delivered.
//   - Sends are deferred (see mustDeferSend).
func (c *Core) sendOrDefer(action *policy.Action) {
	m := c.messages.byNumber[action.Message]
	if m == nil {
		return
	}
	m.attempts++
	send := *action // a copy, because the memory of actions is reused
	if m.acknowledged && !c.mustDeferSend(m) {
		c.startAttempt(m, &send)
	} else {
		m.pendingSend = &send
	}
}

// startAttempt emits the effect that writes an attempt to the write-ahead log and then makes its
// call. If the attempt's time is up, if its endpoint can no longer be used, or if its message has
// ended, startAttempt reports the attempt as not sent.
func (c *Core) startAttempt(m *message, send *policy.Action) {
	endpoint := c.endpoints.byNumber[send.Endpoint]
	timeout := send.TimeoutAt - c.now
	expired := timeout <= 0 || send.LastByteBy > 0 && c.now > send.LastByteBy
	if endpoint == nil || endpoint.retired || endpoint.dest != m.record.Dest || expired || m.finished {
		c.reportNotSent(m, send.Endpoint)
		return
	}
	call := &Call{
		Timeout: timeout, SendBy: send.LastByteBy, WarmingUp: send.WarmingUp, MayConnect: send.OpensConnection,
	}
	c.openCall(call, m, endpoint, c.now)
	c.countAttempt(m, endpoint)
	record := &Record{Kind: RecordAttempt, ID: m.record.ID, At: c.wallTime(c.now), Zone: endpoint.zone}
	c.emit(AppendThenSend{Record: record, Call: call})
}

// openCall fills in a call, and registers it with its endpoint and as the open call of its message.
func (c *Core) openCall(call *Call, m *message, endpoint *endpointState, sentAt policy.Time) {
	call.Record, call.Endpoint = m.record, endpoint.number
	call.message, call.endpoint = m, endpoint
	call.independentRoute = c.hasIndependentRoutes(endpoint.flavor) // flavor names the destination's kind
	call.attempt, call.sentAt = m.attempts-1, sentAt
	m.call = call
	endpoint.calls = append(endpoint.calls, call)
	c.openCalls++
}

// closeCall reverts openCall.
func (c *Core) closeCall(call *Call) {
	if endpoint := call.endpoint; endpoint != nil {
		endpoint.calls = slices.DeleteFunc(endpoint.calls, func(other *Call) bool { return other == call })
	}
	if call.message.call == call {
		call.message.call = nil
		c.openCalls--
	}
}

func (c *Core) countAttempt(m *message, endpoint *endpointState) {
	dest := m.record.Dest
	c.metrics.Add(dest, metrics.Attempts, 1)
	if endpoint.zone != c.settings.Policy.Zone {
		c.metrics.Add(dest, metrics.CrossZoneAttempts, 1)
	}
	if m.attempts == 1 {
		c.metrics.Add(dest, metrics.FirstAttempts, 1)
		c.metrics.Add(dest, metrics.FirstAttemptDelayMS, (c.now-m.receivedAt)/microsPerMilli)
	}
}

// cancelAttempt cancels an attempt, whether its call is open or its send is still pending. It does
// nothing if the message has started another attempt since or is no longer known.
func (c *Core) cancelAttempt(action *policy.Action) {
	m := c.messages.byNumber[action.Message]
	if m == nil || action.Attempt != m.attempts-1 {
		return
	}
	switch {
	case m.call != nil:
		c.emit(CancelCall{Call: m.call})
	case m.pendingSend != nil:
		number := m.pendingSend.Endpoint
		m.pendingSend = nil
		c.reportNotSent(m, number)
	}
}

// reportNotSent reports to the policy, in the next step, that an attempt was never sent. It uses
// the event AttemptNotLogged, because the attempt has no record in the write-ahead log and so
// needs no record of its outcome.
func (c *Core) reportNotSent(m *message, number policy.EndpointID) {
	call := &Call{Record: m.record, message: m, endpoint: c.endpoints.byNumber[number], attempt: m.attempts - 1}
	c.deferredEvents = append(c.deferredEvents, AttemptNotLogged{Call: call})
	c.emit(StepAgain{})
}
