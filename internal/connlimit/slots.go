package connlimit

// noSlot stands for no slot at either end of a slotList.
const noSlot = -1

// slot holds the state of one connection. It is linked into the list of that state.
type slot struct {
	next, prev  int32
	stateSince  Time
	inputAt     Time   // of the last input of the command in StateReadingCommand
	requests    uint32 // number of commands that submitted a message
	state       State
	validated   bool // has sent a valid command
	sentCommand bool // has sent a complete command, valid or not
}

// slotList is a linked list of the slots in one state, in the order in which they entered it.
type slotList struct {
	first, last int32
	length      int
}

// unlink removes a slot from the list of its state.
func (l *Limiter) unlink(id SlotID) {
	s := &l.slots[id]
	list := &l.byState[s.state]
	if s.prev >= 0 {
		l.slots[s.prev].next = s.next
	} else {
		list.first = s.next
	}
	if s.next >= 0 {
		l.slots[s.next].prev = s.prev
	} else {
		list.last = s.prev
	}
	list.length--
}

// setState puts a connection into a state, at the end of that state's list.
func (l *Limiter) setState(id SlotID, state State, now Time) {
	if l.slots[id].state != StateFree {
		l.unlink(id)
	}
	s := &l.slots[id]
	s.state, s.stateSince = state, now
	list := &l.byState[state]
	s.next, s.prev = noSlot, list.last
	if list.last >= 0 {
		l.slots[list.last].next = int32(id)
	} else {
		list.first = int32(id)
	}
	list.last = int32(id)
	list.length++
}

// oldestIn returns the connection that has been in a state longest, if it has been there for at least
// age.
func (l *Limiter) oldestIn(state State, now, age Time) (SlotID, bool) {
	first := l.byState[state].first
	if first < 0 || now-l.slots[first].stateSince < age {
		return 0, false
	}
	return SlotID(first), true
}

// longestIdle returns the validated connection that has been idle longest.
func (l *Limiter) longestIdle() (best SlotID, found bool) {
	for _, state := range []State{StateIdle, StateIdleSingleUse} {
		first := l.byState[state].first
		if first >= 0 && (!found || l.slots[first].stateSince < l.slots[best].stateSince) {
			best, found = SlotID(first), true
		}
	}
	return best, found
}
