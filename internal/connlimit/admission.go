package connlimit

// maxDraining is how many draining connections stop further evictions: their slots will be free soon.
const maxDraining = 8

// never is later than any time that callers pass.
const never Time = 1 << 62

// AtLimit reports whether a new connection can only be admitted after an eviction.
func (l *Limiter) AtLimit() bool { return l.allSlotsInUse() || l.tooManyUnvalidated() }

func (l *Limiter) allSlotsInUse() bool { return l.inUse >= l.limits.MaxConns }

func (l *Limiter) tooManyUnvalidated() bool { return l.unvalidated >= l.limits.MaxUnvalidated }

// Decide says what to do with the connection at the head of the listen queue, which must not be empty.
// Below the limits it admits the connection. At a limit it evicts another connection to make room, if
// one may be evicted. Otherwise the new connection waits or is rejected (see waitOrReject). With Wait
// it returns the time by which the caller has to call Decide again.
func (l *Limiter) Decide(now Time) (Decision, Time) {
	if now < l.admitAfter {
		return Wait, l.admitAfter
	}
	if !l.AtLimit() {
		return Admit, 0
	}
	if l.byState[StateDraining].length >= maxDraining {
		return l.waitOrReject(now, now+l.limits.EvictionWait)
	}
	if l.evictFor(now) {
		return Evict, 0
	}
	return l.waitOrReject(now, l.nextEvictable())
}

// evictFor evicts one connection to make room for a new one. It returns false if none may be evicted.
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
		return false // evicting a validated connection would not change the number of unvalidated ones
	}
	// Evicting an idle connection is harmless: its client opens another one when it needs it.
	id, ok := l.longestIdle()
	if ok {
		l.closeSlot(id, CloseEvictIdle, now)
	}
	return ok
}

// nextEvictable returns when the next unvalidated connection may be evicted, or never.
func (l *Limiter) nextEvictable() Time {
	next := never
	for _, state := range []State{StateUnvalidated, StateReplyingInvalid} {
		if first := l.byState[state].first; first >= 0 {
			next = min(next, l.slots[first].stateSince+l.limits.EvictionGrace)
		}
	}
	return next
}

// waitOrReject decides to wait if a connection can be evicted within EvictionWait. It also waits, for
// MaxQueueWait at most, if all slots are in use and some of them will be free after a reply.
// Otherwise it rejects the connection.
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

// QueueEmptied tells the limiter that the listen queue is empty.
func (l *Limiter) QueueEmptied() { l.queueBlockedSince = 0 }

// OutOfDescriptors tells the limiter that accept failed because the process or the machine had no free
// file descriptor. The limiter evicts the oldest unvalidated connection or, if there is none, the one
// that has been idle longest. It admits none for EvictionWait, since retrying at once would only use
// up the processor.
func (l *Limiter) OutOfDescriptors(now Time) {
	l.admitAfter = now + l.limits.EvictionWait
	if id, ok := l.oldestIn(StateUnvalidated, now, l.limits.EvictionGrace); ok {
		l.closeSlot(id, CloseEvictUnvalidated, now)
	} else if id, ok := l.longestIdle(); ok {
		l.closeSlot(id, CloseEvictIdle, now)
	}
}
