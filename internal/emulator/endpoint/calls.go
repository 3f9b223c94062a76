package endpoint

import (
	"troutusher/internal/event"
)

// call is one attempt of a relay to deliver a message.
type call struct {
	number         uint64
	id             string // ID of the message
	idempotencyKey string
	message        Message
	relay          int
	endpoint       *endpoint
	conn           *connection // nil once the call has a response or has lost its connection
	attempt        int         // number of this attempt for the message, from 0
	receivedAt     Time
	timeout        Time           // the caller's timeout; 0 for none
	finishAt       float64        // value of the endpoint's workDone at which service is complete
	heapIndex      int            // index in the endpoint's inService; -1 while not in service
	respondAt      Time           // earliest time of the response; 0 for no delay
	defect         ResponseDefect // of the response
	final          bool           // it can no longer take effect
	queued         bool
}

// newEvent returns an event about the call.
func (c *call) newEvent(kind event.Kind) event.Event {
	return event.Event{Kind: kind, Call: c.number, ID: c.id, Relay: c.relay, Endpoint: c.endpoint.index}
}

// ReceiveUntrustedCall tells the model that a call has arrived on a connection on which the endpoint
// presented a TLS identity that the relay should have rejected.
func (m *Model) ReceiveUntrustedCall(now Time, id ConnID, message string) {
	m.Advance(now)
	if conn := m.conns[id]; conn != nil {
		m.record(event.Event{Kind: event.UnknownCall, Relay: conn.relay, Endpoint: conn.endpoint.index, ID: message})
	}
}

// ReceiveFirstByte tells the model that the first byte of a request has arrived.
func (m *Model) ReceiveFirstByte(now Time, id ConnID) {
	m.Advance(now)
	conn := m.conns[id]
	if conn == nil {
		return
	}
	conn.idleVersion++
	m.lastCall++
	conn.receiving = m.lastCall
	m.record(
		event.Event{Kind: event.CallFirstByte, Call: conn.receiving, Relay: conn.relay, Endpoint: conn.endpoint.index},
	)
}

// ReceiveCall tells the model that the last byte of a call has arrived. The model rejects the call if
// its message is unknown or the model's Rules do not allow it, and otherwise sends it to the endpoint.
func (m *Model) ReceiveCall(now Time, id ConnID, message, key string, timeout Time) {
	m.Advance(now)
	conn := m.conns[id]
	if conn == nil {
		return
	}
	if conn.current != nil { // a connection carries one call at a time
		m.dropConn(conn)
		m.addEffect(Effect{Kind: ResetConn, Conn: id})
		return
	}
	c := &call{
		number:         conn.receiving,
		id:             message,
		idempotencyKey: key,
		relay:          conn.relay,
		endpoint:       conn.endpoint,
		conn:           conn,
		receivedAt:     m.now,
		timeout:        timeout,
		heapIndex:      -1,
	}
	conn.current = c
	m.scheduleLateCopy(conn)
	known := false
	if c.message, known = m.lookupMessage(message); !known {
		m.record(c.newEvent(event.UnknownCall))
		m.respond(c, event.StatusUnknown, 0)
		return
	}
	m.record(c.newEvent(event.CallReceived))
	m.inFlight[c.relay]++
	if !m.rejectedByRules(c) {
		m.sendToEndpoint(c)
	}
}

// rejectedByRules rejects a call that the model's Rules do not allow, and reports whether it did.
func (m *Model) rejectedByRules(c *call) bool {
	switch {
	case c.message.Finished:
		m.respond(c, event.StatusFinished, 0)
	case m.rules.MaxAttempts > 0 && m.attempts[c.id] >= m.rules.MaxAttempts:
		m.respond(c, event.StatusAttemptsExhausted, 0)
	case m.rules.MaxInFlight > 0 && m.inFlight[c.relay] > m.rules.MaxInFlight:
		m.rejectSlotsTaken(c)
	default:
		return false
	}
	return true
}

// sendToEndpoint counts the attempt and makes the call arrive at its endpoint after the network delay.
func (m *Model) sendToEndpoint(c *call) {
	c.attempt = m.attempts[c.id]
	m.attempts[c.id]++
	delay := c.endpoint.destination.OneWayDelay
	if !c.conn.used {
		delay += c.endpoint.destination.HandshakeTime
		c.conn.used = true
	}
	if delay == 0 {
		m.arrive(c)
		return
	}
	m.schedule(delay, func() { m.arrive(c) })
}

// ForgetMessage drops the attempt count of a finished message.
func (m *Model) ForgetMessage(id string) { delete(m.attempts, id) }

// endWithoutResponse ends a call that has lost its connection.
func (m *Model) endWithoutResponse(c *call) {
	if c.conn == nil {
		return
	}
	c.conn.current, c.conn = nil, nil
	m.inFlight[c.relay]--
	m.record(c.newEvent(event.CallEnded))
}

// markFinal records that a call can no longer take effect.
func (m *Model) markFinal(c *call) {
	if !c.final {
		c.final = true
		m.record(c.newEvent(event.CallFinal))
	}
}

// respond writes the response of a call after the network delay.
func (m *Model) respond(c *call, status int, retryAfter Time) {
	if event.NeverRan(status) {
		m.markFinal(c)
	}
	write := func() { m.writeResponse(c, Effect{Status: status, RetryAfter: retryAfter, Defect: c.defect}) }
	delay := c.endpoint.destination.OneWayDelay
	if delay > 0 && c.conn != nil && !c.endpoint.isDown() {
		m.schedule(delay, write)
		return
	}
	write()
}

// reject responds that the call is rejected, and so has no effect.
func (m *Model) reject(c *call, retryAfter Time) {
	status := event.StatusRejected
	if retryAfter > 0 {
		status = event.StatusRetryLater
	}
	m.respond(c, status, retryAfter)
}

// rejectSlotsTaken rejects a call of a relay that has too many calls in flight.
func (m *Model) rejectSlotsTaken(c *call) {
	m.markFinal(c)
	m.writeResponse(c, Effect{Status: event.StatusRejected, SlotsTaken: true})
}

// writeResponse ends a call with a response, unless the call has lost its connection.
func (m *Model) writeResponse(c *call, response Effect) {
	conn := c.conn
	if conn == nil {
		return
	}
	unreadable := response.Defect != "" && response.Defect != DuplicateResponse
	if unreadable && response.Status == event.StatusDelivered {
		response.Status = event.StatusMalformed
	}
	c.conn, conn.current = nil, nil
	if response.Status != event.StatusUnknown {
		m.inFlight[c.relay]--
		ended := c.newEvent(event.CallEnded)
		ended.Status, ended.Wait = response.Status, response.RetryAfter
		m.record(ended)
	}
	response.Kind, response.Conn, response.Close = WriteResponse, conn.id, conn.overLimit
	m.addEffect(response)
	m.drawLateCopy(c, conn, &response)
	m.startIdleTimeout(conn)
}
