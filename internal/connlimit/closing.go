package connlimit

// closeSlot adds a close action for a connection, for the caller to carry out. From then on the
// connection is draining (see StateDraining) and counts only toward MaxConns. Its timeout is cancelled.
// If a command had arrived before the close, the caller still reads it and replies; CommandStarted then
// sets a timeout for reading that command.
func (l *Limiter) closeSlot(id SlotID, reason CloseReason, now Time) {
	s := &l.slots[id]
	if s.state != StateDraining {
		l.stopCounting(s)
		l.setState(id, StateDraining, now)
	}
	l.timers.Cancel(uint32(id))
	l.closeActions = append(l.closeActions, CloseAction{id, reason})
}

// Shutdown closes all connections that have no command in progress, and closes every other connection
// after its reply. It stays in effect until CancelShutdown is called.
func (l *Limiter) Shutdown(now Time) {
	l.shuttingDown = true
	// The states without a command in progress. StateIdleSingleUse means idle after exactly one request.
	for _, state := range []State{StateUnvalidated, StateIdleSingleUse, StateIdle} {
		for l.byState[state].first >= 0 {
			l.closeSlot(SlotID(l.byState[state].first), CloseShutdown, now)
		}
	}
}

// CancelShutdown ends the effect of Shutdown. Connections whose close was already requested are still
// closed.
func (l *Limiter) CancelShutdown() { l.shuttingDown = false }

// Advance moves the clock to now and closes the connections whose timeout has passed. It handles at
// most maxTimers timers and reports whether it has to be called again for more.
func (l *Limiter) Advance(now Time, maxTimers int) (more bool) {
	l.expired, more = l.timers.Advance(now, maxTimers, l.expired[:0])
	for _, timer := range l.expired {
		id := SlotID(timer)
		switch s := &l.slots[id]; s.state {
		case StateUnvalidated:
			if s.sentCommand { // an invalid one, so the connection is still unvalidated
				l.closeSlot(id, CloseIdleTimeout, now)
			} else {
				l.closeSlot(id, CloseFirstCommandTimeout, now)
			}
		case StateIdleSingleUse, StateIdle:
			l.closeSlot(id, CloseIdleTimeout, now)
		case StateReadingCommand, StateDraining:
			// A command was not read completely in time. While a connection is draining, a timeout runs only
			// for reading a command that arrived before the close. Unlike most close reasons,
			// CloseCommandTimeout makes the caller close the connection without waiting for a reply.
			l.closeSlot(id, CloseCommandTimeout, now)
		}
	}
	return more
}

// NextDeadline returns the time by which Advance has to be called, or false if no timeout is running.
func (l *Limiter) NextDeadline() (Time, bool) { return l.timers.Next() }
