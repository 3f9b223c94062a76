package timerwheel

const (
	// noTimer stands for no timer in a list.
	noTimer = -1
	// notSet is the due tick of a timer that is not set.
	notSet = 0

	listCount = levelCount*slotsPerLevel + 1
	workList  = levelCount * slotsPerLevel // the list that is being processed
)

// node is a timer, part of a doubly linked list.
type node struct {
	next, prev int32 // numbers of timers, or listEnd of the node's list
	dueTick    int64
}

// list is the head of a list of timers.
type list struct{ first, last int32 }

// slotList returns the number of a slot's list.
func slotList(level int, slot int64) int32 { return int32(level*slotsPerLevel) + int32(slot) }

// listEnd is what the links at both ends of a list hold: negative, and no timer.
// It is its own inverse.
func listEnd(list int32) int32 { return -2 - list }

// link puts a timer at the end of a list.
func (w *Wheel) link(id, list int32) {
	head := &w.lists[list]
	n := &w.nodes[id]
	n.next = listEnd(list)
	if head.last == noTimer {
		n.prev = listEnd(list)
		head.first = id
	} else {
		n.prev = head.last
		w.nodes[head.last].next = id
	}
	head.last = id
}

// unlink takes a timer out of its list, which only the links at the list's ends
// tell.
func (w *Wheel) unlink(id int32) {
	n := &w.nodes[id]
	switch {
	case n.prev >= 0:
		w.nodes[n.prev].next = n.next
	case n.next >= 0:
		w.lists[listEnd(n.prev)].first = n.next
	default:
		w.lists[listEnd(n.prev)].first = noTimer
	}
	switch {
	case n.next >= 0:
		w.nodes[n.next].prev = n.prev
	case n.prev >= 0:
		w.lists[listEnd(n.next)].last = n.prev
	default:
		w.lists[listEnd(n.next)].last = noTimer
	}
}

// splice moves a whole list to the end of the work list, in constant time.
func (w *Wheel) splice(from int32) {
	source, work := &w.lists[from], &w.lists[workList]
	if source.first == noTimer {
		return
	}
	if work.last == noTimer {
		work.first = source.first
		w.nodes[source.first].prev = listEnd(workList)
	} else {
		w.nodes[work.last].next = source.first
		w.nodes[source.first].prev = work.last
	}
	w.nodes[source.last].next = listEnd(workList)
	work.last = source.last
	source.first, source.last = noTimer, noTimer
}
