package connlimit

// maxDraining is how many draining connections stop further evictions: their slots will be free soon.
const maxDraining = 8

// maxCommandsCompared bounds the search for a connection in the middle of a command to evict. The search
// begins with the command that was begun first.
const maxCommandsCompared = 256

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
	if l.allSlotsInUse() && l.byState[StateDraining].length >= maxDraining {
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
	// Evicting an idle connection is harmless: its client opens another one when it needs it. But evicting
	// a validated one would not change the number of unvalidated ones.
	if id, ok := l.longestIdle(); ok && !l.tooManyUnvalidated() {
		l.closeSlot(id, CloseEvictIdle, now)
		return true
	}
	id, ok := l.commandToEvict(now)
	if ok {
		l.closeSlot(id, CloseEvictCommand, now)
	}
	return ok
}

// commandToEvict returns the connection in the middle of a command that is evicted first: of those whose
// command was begun CommandGrace ago, the one whose last input is oldest.
func (l *Limiter) commandToEvict(now Time) (best SlotID, found bool) {
	next := l.incompleteCommand(l.byState[StateReadingCommand].first)
	for n := 0; n < maxCommandsCompared && next >= 0; n++ {
		s := &l.slots[next]
		if now-s.stateSince < l.limits.CommandGrace {
			break
		}
		if !found || s.inputAt < l.slots[best].inputAt {
			best, found = SlotID(next), true
		}
		next = l.incompleteCommand(s.next)
	}
	return best, found
}

// incompleteCommand returns the first connection in the middle of a command, from the given one on in the
// order in which their commands were begun, whose eviction would make room for a new connection; noSlot
// if there is none.
func (l *Limiter) incompleteCommand(from int32) int32 {
	unvalidatedOnly := l.tooManyUnvalidated()
	for from >= 0 && unvalidatedOnly && l.slots[from].validated {
		from = l.slots[from].next
	}
	return from
}

// nextEvictable returns when the next connection that is not idle may be evicted, or never.
func (l *Limiter) nextEvictable() Time {
	next := never
	if first := l.incompleteCommand(l.byState[StateReadingCommand].first); first >= 0 {
		next = l.slots[first].stateSince + l.limits.CommandGrace
	}
	for _, state := range []State{StateUnvalidated, StateReplyingInvalid} {
		if first := l.byState[state].first; first >= 0 {
			next = min(next, l.slots[first].stateSince+l.limits.EvictionGrace)
		}
	}
	return next
}

// waitOrReject decides to wait if a connection can be evicted soon: within the longer one of EvictionWait
// and CommandGrace. It also waits, for MaxQueueWait at most, if all slots are in use and some of them will
// be free after a reply. Otherwise it rejects the connection.
func (l *Limiter) waitOrReject(now, nextEvictable Time) (Decision, Time) {
	if nextEvictable <= now+max(l.limits.EvictionWait, l.limits.CommandGrace) {
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
