package connlimit

// Snapshot returns the state that the Limiter of another process needs to continue with a connection.
func (l *Limiter) Snapshot(id SlotID, now Time) Snapshot {
	s := &l.slots[id]
	timeout := l.limits.IdleTimeout
	switch {
	case s.state == StateReadingCommand && s.sentCommand:
		timeout = l.limits.CommandTimeout
	case !s.sentCommand:
		timeout = l.limits.FirstCommandTimeout
	}
	return Snapshot{
		Validated:   s.validated,
		SentCommand: s.sentCommand,
		Requests:    s.requests,
		TimeLeft:    max(timeout-(now-s.stateSince), l.limits.TimerTick),
	}
}

// Restore adds a connection from the Snapshot of another process's Limiter. The connection counts toward
// the limits like any other. The rest of its timeout continues to run.
func (l *Limiter) Restore(snapshot Snapshot, now Time) SlotID {
	id := l.Add(now)
	s := &l.slots[id]
	s.validated, s.sentCommand, s.requests = snapshot.Validated, snapshot.SentCommand, snapshot.Requests
	if s.validated {
		l.unvalidated--
		l.setState(id, idleState(s.requests), now)
	}
	if s.requests > 0 {
		l.withRequests++
	}
	longest := max(l.limits.FirstCommandTimeout, l.limits.IdleTimeout)
	l.timers.Set(uint32(id), now+max(min(snapshot.TimeLeft, longest), l.limits.TimerTick))
	return id
}
