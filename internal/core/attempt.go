package core

import (
	"errors"
	"slices"

	"troutusher/internal/metrics"
	"troutusher/policy"
)

const microsPerMilli = 1000

// errNotLogged is the error of an attempt that never left since it was not logged.
var errNotLogged = errors.New("attempt not logged")

// Call is one attempt of a message. The driver makes it once it is logged.
type Call struct {
	Record     *Record // of its message
	Endpoint   policy.EndpointID
	Timeout    policy.Time // how long it may take
	SendBy     policy.Time // its last byte is sent by then or never; 0 for any time
	WarmingUp  bool        // its endpoint has one connection opened at a time
	MayConnect bool        // it may open a connection, also where its endpoint warms up
	Handle     any         // of the driver

	message          *message
	endpoint         *endpointState // nil where it is not known any more
	independentRoute bool           // see Core.hasIndependentRoutes
	attempt          int
	sentAt           policy.Time
}

// SentAt is when the call was begun.
func (c *Call) SentAt() policy.Time { return c.sentAt }

// sendOrDefer begins the attempt that an action asks for, or keeps it for when it may
// be begun.
func (c *Core) sendOrDefer(action *policy.Action) {
	m := c.messages.byNumber[action.Message]
	if m == nil {
		return
	}
	m.attempts++
	send := *action // the memory of actions is reused
	if m.acknowledged && !c.mustDeferSend(m) {
		c.startAttempt(m, &send)
	} else {
		m.pendingSend = &send
	}
}

// startAttempt logs an attempt and makes its call after that, unless there is no time
// or no endpoint for it any more.
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

// openCall makes a call the open one of its message at an endpoint.
func (c *Core) openCall(call *Call, m *message, endpoint *endpointState, sentAt policy.Time) {
	call.Record, call.Endpoint = m.record, endpoint.number
	call.message, call.endpoint = m, endpoint
	call.independentRoute = c.hasIndependentRoutes(endpoint.flavor)
	call.attempt, call.sentAt = m.attempts-1, sentAt
	m.call = call
	endpoint.calls = append(endpoint.calls, call)
	c.openCalls++
}

// closeCall ends what openCall began.
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

// cancelAttempt cancels the last attempt of a message, if that is the one asked for.
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

// reportNotSent reports an attempt that was never sent to the policy, in the next step.
func (c *Core) reportNotSent(m *message, number policy.EndpointID) {
	call := &Call{Record: m.record, message: m, endpoint: c.endpoints.byNumber[number], attempt: m.attempts - 1}
	c.deferredEvents = append(c.deferredEvents, AttemptNotLogged{Call: call})
	c.emit(StepAgain{})
}
