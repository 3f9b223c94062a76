package endpoint

import "troutusher/internal/event"

// connection is an open connection of a relay to an endpoint.
type connection struct {
	id          ConnID
	relay       int
	endpoint    *endpoint
	used        bool // a request has arrived on it
	overLimit   bool // opened beyond the endpoint's limit of connections
	current     *call
	receiving   uint64 // number of the call whose first byte has arrived
	idleVersion int    // idle timers of an older version are ignored
	lateCopy    *lateCopy
}

// lateCopy is a second copy of a response, to be written during the next call on its connection.
type lateCopy struct {
	response Effect
	delay    Time // after the last byte of that call
}

// drawLateCopy draws whether a LateCopy fault makes the endpoint write a response a second time.
func (m *Model) drawLateCopy(c *call, conn *connection, response *Effect) {
	fault := c.endpoint.activeFault(LateCopy)
	if fault == nil || response.Defect != "" || response.Close || m.draw(c, drawCopy) >= fault.Share {
		return
	}
	conn.lateCopy = &lateCopy{response: *response, delay: Time(m.draw(c, drawCopyDelay) * fault.Magnitude * 1e6)}
}

// scheduleLateCopy writes the copy of the previous response of a connection on which a call has
// arrived, unless the connection is gone by then, or the endpoint is down or hangs.
func (m *Model) scheduleLateCopy(conn *connection) {
	pending := conn.lateCopy
	if pending == nil {
		return
	}
	conn.lateCopy = nil
	m.schedule(pending.delay, func() {
		e := conn.endpoint
		if m.conns[conn.id] == conn && !e.isDown() && e.activeFault(Hang) == nil {
			m.addEffect(pending.response)
		}
	})
}

// connOrderCompactLength is the length above which an endpoint's list of connections is compacted
// once most of them are closed.
const connOrderCompactLength = 32

// OpenConn tells the model that a relay has opened a connection to an endpoint, and returns the ID of
// the connection.
func (m *Model) OpenConn(now Time, endpoint, relay int) ConnID {
	m.Advance(now)
	e := m.endpoints[endpoint]
	m.lastConn++
	conn := &connection{id: m.lastConn, relay: relay, endpoint: e}
	conn.overLimit = e.destination.MaxConns > 0 && len(e.conns) >= e.destination.MaxConns
	e.conns[conn.id], m.conns[conn.id] = conn, conn
	e.connOrder = append(e.connOrder, conn.id)
	m.startIdleTimeout(conn)
	return conn.id
}

// CompleteHandshake tells the model that a TLS handshake has ended, successfully or not. The load of
// a handshake counts as a number of calls while the endpoint warms up.
func (m *Model) CompleteHandshake(now Time, id ConnID, resumed bool) {
	m.Advance(now)
	conn := m.conns[id]
	if conn == nil {
		return
	}
	e := conn.endpoint
	if e.handshakeCost += e.destination.FullHandshakeCost; resumed {
		e.handshakeCost += e.destination.ResumedHandshakeCost - e.destination.FullHandshakeCost
	}
	for ; e.handshakeCost >= 1; e.handshakeCost-- {
		if m.recordArrival(e, conn.relay) {
			e.handshakeCost = 0
			return
		}
	}
}

// CloseConn tells the model that the peer has closed a connection.
func (m *Model) CloseConn(now Time, id ConnID) {
	m.Advance(now)
	if conn := m.conns[id]; conn != nil {
		m.dropConn(conn)
	}
}

// dropConn removes a connection. The call on it ends without a response, and is cancelled if the
// destination's policy says so.
func (m *Model) dropConn(conn *connection) {
	delete(m.conns, conn.id)
	delete(conn.endpoint.conns, conn.id)
	conn.endpoint.compactConnOrder()
	c := conn.current
	if c == nil {
		return
	}
	m.endWithoutResponse(c)
	policy := c.endpoint.destination.Cancel
	cancelled := policy == CancelAll || policy == CancelQueued && c.queued
	if !c.final && cancelled {
		m.removeCall(c)
		m.markFinal(c)
	}
}

// compactConnOrder removes closed connections from connOrder once they are more than half of it.
func (e *endpoint) compactConnOrder() {
	if len(e.connOrder) <= connOrderCompactLength || len(e.connOrder) <= 2*len(e.conns) {
		return
	}
	open := e.connOrder[:0]
	for _, id := range e.connOrder {
		if e.conns[id] != nil {
			open = append(open, id)
		}
	}
	e.connOrder = open
}

// startIdleTimeout restarts the idle timer of a connection, which closes the connection if it stays
// unused.
func (m *Model) startIdleTimeout(conn *connection) {
	conn.idleVersion++
	version, timeout := conn.idleVersion, conn.endpoint.destination.IdleTimeout
	if timeout <= 0 {
		return
	}
	m.schedule(timeout, func() {
		idle := conn.idleVersion == version && conn.current == nil && m.conns[conn.id] == conn
		if idle && !conn.endpoint.isDown() {
			m.dropConn(conn)
			m.addEffect(Effect{Kind: ShutConn, Conn: conn.id})
		}
	})
}

// ReceiveHealthCheck tells the model that a health check has arrived on a connection.
func (m *Model) ReceiveHealthCheck(now Time, id ConnID) {
	m.Advance(now)
	conn := m.conns[id]
	if conn == nil {
		return
	}
	conn.used = true
	e := conn.endpoint
	m.record(event.Event{Kind: event.HealthCheckReceived, Relay: conn.relay, Endpoint: e.index})
	if fault := e.dominantFault(); fault != nil && (fault.Kind == Blackhole || fault.Kind == Hang) {
		return
	}
	status := event.StatusDelivered
	if e.rejectsCalls() || !e.limiter.allow(m.now) || m.recordArrival(e, conn.relay) {
		status = event.StatusRejected
	}
	if m.conns[id] == nil { // the endpoint collapsed
		return
	}
	m.record(event.Event{Kind: event.HealthCheckAnswered, Relay: conn.relay, Endpoint: e.index, Status: status})
	m.addEffect(Effect{Kind: WriteResponse, Conn: id, Status: status})
	m.startIdleTimeout(conn)
}
