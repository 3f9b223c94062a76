package endpoint

import (
	"container/heap"

	"troutusher/internal/event"
)

// InjectFault makes a fault active at an endpoint. It records an outage if the fault causes one, stops
// the endpoint if the fault is a Crash, a PlannedStop or a Blackhole, and updates the endpoint's speed and
// listeners. To end the fault, pass the same pointer to ClearFault.
func (m *Model) InjectFault(now Time, endpoint int, fault *Fault) {
	m.Advance(now)
	e := m.endpoints[endpoint]
	e.advanceWork(m.now)
	wasDown := e.isDown()
	e.faults = append(e.faults, fault)
	if e.isDown() && !wasDown {
		e.stoppedAt = m.now
	}
	if fault.causesOutage() {
		e.activeOutages++
		e.warmingUp = false
		unreachable := 0
		if fault.Kind == Crash || fault.Kind == Blackhole {
			unreachable = 1
		}
		m.record(
			event.Event{Kind: event.OutageBegan, Endpoint: endpoint, Status: unreachable, Text: string(fault.Kind)},
		)
	}
	switch fault.Kind {
	case Crash, PlannedStop:
		m.stopEndpoint(e, true)
	case Blackhole:
		m.stopEndpoint(e, false)
	}
	m.applyFaults(e)
}

// ClearFault ends a fault that InjectFault made active.
func (m *Model) ClearFault(now Time, endpoint int, fault *Fault) {
	m.Advance(now)
	e := m.endpoints[endpoint]
	e.advanceWork(m.now)
	for i, active := range e.faults {
		if active == fault {
			e.faults = append(e.faults[:i:i], e.faults[i+1:]...)
			break
		}
	}
	if fault.Kind == Blackhole && e.activeFault(Blackhole) == nil {
		m.stopEndpoint(e, true) // the machine has restarted and lost its connections
	}
	if fault.Kind == Hang && e.activeFault(Hang) == nil {
		m.rejectBeyondQueueLimit(e)
	}
	m.recoverFrom(e, fault)
	m.applyFaults(e)
}

// rejectBeyondQueueLimit rejects the newest queued calls until the queue is within its limit. The queue
// can be longer after a Hang fault, because an endpoint that hangs queues every call.
func (m *Model) rejectBeyondQueueLimit(e *endpoint) {
	for len(e.queue) > e.destination.QueueLimit {
		c := e.queue[len(e.queue)-1]
		e.queue = e.queue[:len(e.queue)-1]
		m.respond(c, event.StatusRejected, 0)
	}
}

// recoverFrom updates an endpoint after a fault has been cleared. If that was the last fault of an
// outage or of a planned stop, the endpoint begins to warm up.
func (m *Model) recoverFrom(e *endpoint, fault *Fault) {
	if fault.causesOutage() {
		e.activeOutages--
	}
	if !fault.causesOutage() && fault.Kind != PlannedStop {
		return
	}
	if e.activeOutages > 0 || e.collapsed || e.activeFault(PlannedStop) != nil {
		return
	}
	if fault.causesOutage() {
		m.record(event.Event{Kind: event.OutageEnded, Endpoint: e.index})
	}
	e.recoveredAt, e.group.recoveredAt, e.group.recentArrivals = m.now, m.now, nil
	if e.destination.WarmUpShare < 1 {
		e.warmingUp = true
		m.warmUp(e)
	}
}

// SetDraining makes an endpoint reject new calls, or accept them again.
func (m *Model) SetDraining(now Time, endpoint int, draining bool) {
	m.Advance(now)
	m.endpoints[endpoint].draining = draining
}

// stopEndpoint discards the queued calls of an endpoint and those in service, none of which takes
// effect any more. If reset is true, it also resets the endpoint's connections.
func (m *Model) stopEndpoint(e *endpoint, reset bool) {
	calls := append([]*call(nil), e.queue...)
	e.queue = nil
	for len(e.inService) > 0 {
		calls = append(calls, heap.Pop(&e.inService).(*call))
	}
	for _, c := range calls {
		m.markFinal(c)
	}
	if reset {
		m.resetConnections(e)
	}
}

// resetConnections resets the connections of an endpoint, the oldest first.
func (m *Model) resetConnections(e *endpoint) {
	for _, id := range e.connOrder {
		conn := e.conns[id]
		if conn == nil {
			continue
		}
		if conn.current != nil {
			m.markFinal(conn.current)
		}
		m.dropConn(conn)
		m.addEffect(Effect{Kind: ResetConn, Conn: id})
	}
	e.connOrder = nil
}

// applyFaults updates the service speed and the listener's state to match the active faults.
func (m *Model) applyFaults(e *endpoint) {
	e.advanceWork(m.now)
	e.speed = e.serviceSpeed(m.now)
	state := Accepting
	switch {
	case e.activeFault(Blackhole) != nil:
		state = Unresponsive
	case e.activeFault(Crash) != nil || e.activeFault(PlannedStop) != nil || e.collapsed:
		state = Refusing
	}
	if state != e.listener {
		e.listener = state
		m.addEffect(Effect{Kind: SetListener, Endpoint: e.index, Listener: state})
	}
	m.startQueued(e)
	m.scheduleCompletion(e)
}

// activeFault returns the first active fault of a kind, or nil.
func (e *endpoint) activeFault(kind FaultKind) *Fault {
	for _, fault := range e.faults {
		if fault.Kind == kind {
			return fault
		}
	}
	return nil
}

// isDown reports whether no process reads calls at the endpoint.
func (e *endpoint) isDown() bool {
	return e.collapsed || e.activeFault(Blackhole) != nil || e.activeFault(Crash) != nil ||
		e.activeFault(PlannedStop) != nil
}

// dominantFault returns the active fault that decides the outcome of all calls at the endpoint, or nil.
func (e *endpoint) dominantFault() *Fault {
	for _, kind := range [...]FaultKind{Blackhole, Crash, PlannedStop, Hang, RejectAll, RejectWithRetryAfter} {
		if fault := e.activeFault(kind); fault != nil {
			return fault
		}
	}
	return nil
}

// rejectsCalls reports whether every call is rejected.
func (e *endpoint) rejectsCalls() bool {
	fault := e.dominantFault()
	return e.draining || fault != nil && (fault.Kind == RejectAll || fault.Kind == RejectWithRetryAfter)
}

// errorShare returns the share of calls that fail quickly.
func (e *endpoint) errorShare() float64 {
	passing := 1 - e.destination.ErrorShare
	for _, fault := range e.faults {
		if fault.Kind == ErrorResponses {
			passing *= 1 - fault.Share
		}
	}
	return 1 - passing
}
