package connlimit

// maxDraining bounds how many connections may be draining before no other is
// evicted for an admission.
const maxDraining = 8

// never is later than any time that a clock reaches.
const never Time = 1 << 62

// AtLimit reports whether a new connection takes an eviction.
func (l *Limiter) AtLimit() bool { return l.allSlotsInUse() || l.tooManyUnvalidated() }

func (l *Limiter) allSlotsInUse() bool { return l.inUse >= l.limits.MaxConns }

func (l *Limiter) tooManyUnvalidated() bool { return l.unvalidated >= l.limits.MaxUnvalidated }

// Decide says what to do with the connection at the head of the listen queue;
// there must be one. With Wait comes the time at which to ask again at the
// latest.
func (l *Limiter) Decide(now Time) (Decision, Time) {
	if now < l.admitAfter {
		return Wait, l.admitAfter
	}
	if !l.AtLimit() {
		return Admit, 0
	}
	if l.byState[StateDraining].length >= maxDraining { // slots are about to be freed
		return l.waitOrReject(now, now+l.limits.EvictionWait)
	}
	if l.evictFor(now) {
		return Evict, 0
	}
	return l.waitOrReject(now, l.nextEvictable())
}

// evictFor evicts one connection for a new one, if there is one that may be.
func (l *Limiter) evictFor(now Time) bool {
	if id, ok := l.oldestIn(StateUnvalidated, now, l.limits.EvictionGrace); ok {
		l.closeSlot(id, CloseEvictUnvalidated, now)
		return true
	}
	if id, ok := l.oldestIn(StateReplyingInvalid, now, l.limits.EvictionGrace); ok {
		l.closeSlot(id, CloseEvictInvalid, now)
		return true
	}
	if l.tooManyUnvalidated() {
		return false // a validated one would not make room
	}
	// Clients open another connection when they need it.
	id, ok := l.longestIdle()
	if ok {
		l.closeSlot(id, CloseEvictIdle, now)
	}
	return ok
}

// nextEvictable is when the next unvalidated connection may be evicted.
func (l *Limiter) nextEvictable() Time {
	next := never
	for _, state := range []State{StateUnvalidated, StateReplyingInvalid} {
		if first := l.byState[state].first; first >= 0 {
			next = min(next, l.slots[first].stateSince+l.limits.EvictionGrace)
		}
	}
	return next
}

// waitOrReject leaves the head of the queue where it is if a connection can be
// evicted for it soon, or if the slots are taken by commands that will be
// answered; else it is rejected.
func (l *Limiter) waitOrReject(now, nextEvictable Time) (Decision, Time) {
	if nextEvictable <= now+l.limits.EvictionWait {
		return Wait, nextEvictable
	}
	busy := l.byState[StateAwaitingReply].length + l.byState[StateDraining].length
	if l.allSlotsInUse() && busy > 0 {
		if l.queueBlockedSince == 0 {
			l.queueBlockedSince = now
		}
		if until := l.queueBlockedSince + l.limits.MaxQueueWait; now < until {
			return Wait, min(nextEvictable, until)
		}
	}
	return Reject, 0
}

// QueueEmptied reports that the listen queue is empty.
func (l *Limiter) QueueEmptied() { l.queueBlockedSince = 0 }

// OutOfDescriptors reports that the process or the machine had no descriptor for
// the head of the queue. The connection that has been idle for longest is
// evicted, and none is admitted for a while: asking again at once would only
// spin.
func (l *Limiter) OutOfDescriptors(now Time) {
	l.admitAfter = now + l.limits.EvictionWait
	if id, ok := l.oldestIn(StateUnvalidated, now, l.limits.EvictionGrace); ok {
		l.closeSlot(id, CloseEvictUnvalidated, now)
	} else if id, ok := l.longestIdle(); ok {
		l.closeSlot(id, CloseEvictIdle, now)
	}
}
