package core

import (
	"errors"
	"slices"

	"troutusher/internal/metrics"
	"troutusher/policy"
)

const microsPerMilli = 1000

// errNotLogged is the error of an attempt that was not sent because it could not be logged.
var errNotLogged = errors.New("attempt not logged")

// Call is one attempt to deliver a message. The driver makes the call after the attempt is
// logged.
type Call struct {
	Record     *Record // of the message
	Endpoint   policy.EndpointID
	Timeout    policy.Time // maximum duration
	SendBy     policy.Time // deadline for sending the last byte; 0 for none
	WarmingUp  bool        // only one connection at a time is opened to the endpoint
	MayConnect bool        // may open a connection even if the endpoint is warming up
	Handle     any         // for use by the driver

	message          *message
	endpoint         *endpointState // nil if the endpoint has been forgotten
	independentRoute bool           // see Core.hasIndependentRoutes
	attempt          int
	sentAt           policy.Time
}

// SentAt returns the time at which the call was begun.
func (c *Call) SentAt() policy.Time { return c.sentAt }

// sendOrDefer starts the attempt that an action asks for, or stores the action until the
// attempt may be started.
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

// startAttempt logs an attempt and then makes its call. If the time is up, or if the
// endpoint can no longer be used, it reports the attempt as not sent.
func (c *Core) startAttempt(m *message, send *policy.Action) {
	endpoint := c.endpoints.byNumber[send.Endpoint]
	timeout := send.TimeoutAt - c.now
	expired := timeout <= 0 || send.LastByteBy > 0 && c.now > send.LastByteBy
	if endpoint == nil || endpoint.retired || endpoint.dest != m.record.Dest || expired || m.finished {
		c.reportNotSent(m, send.Endpoint)
		return
	}
	call := &Call{
		Timeout: timeout, SendBy: send.LastByteBy, WarmingUp: send.Recovering, MayConnect: send.OpensConnection,
	}
	c.openCall(call, m, endpoint, c.now)
	c.countAttempt(m, endpoint)
	record := &Record{Kind: RecordAttempt, ID: m.record.ID, At: c.wallTime(c.now), Zone: endpoint.zone}
	c.emit(AppendThenSend{Record: record, Call: call})
}

// openCall registers a call as the open call of a message, at an endpoint.
func (c *Core) openCall(call *Call, m *message, endpoint *endpointState, sentAt policy.Time) {
	call.Record, call.Endpoint = m.record, endpoint.number
	call.message, call.endpoint = m, endpoint
	call.independentRoute = c.hasIndependentRoutes(endpoint.flavor)
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

// cancelAttempt cancels an attempt if it is the last one of its message.
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

// reportNotSent reports to the policy, in the next step, that an attempt was never sent.
func (c *Core) reportNotSent(m *message, number policy.EndpointID) {
	call := &Call{Record: m.record, message: m, endpoint: c.endpoints.byNumber[number], attempt: m.attempts - 1}
	c.deferredEvents = append(c.deferredEvents, AttemptNotLogged{Call: call})
	c.emit(StepAgain{})
}
