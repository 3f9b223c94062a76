package timerwheel

const (
	// noTimer is the first and the last timer of an empty list.
	noTimer = -1
	// notSet is the dueTick of a timer that is not set.
	notSet = 0

	listCount = levelCount*slotsPerLevel + 1
	workList  = levelCount * slotsPerLevel // number of the list of the timers that Advance is processing
)

// node is a timer. A timer that is set is a node of a doubly linked list.
type node struct {
	next, prev int32 // numbers of the neighbouring timers, or listEnd of the node's list
	dueTick    int64
}

// list is the head of a list of timers.
type list struct{ first, last int32 }

// slotList returns the number of the list that holds a slot's timers.
func slotList(level int, slot int64) int32 { return int32(level*slotsPerLevel) + int32(slot) }

// listEnd encodes a list's number as the link that ends the list in both directions. The link is
// negative, so that it differs from every timer's number. The function is its own inverse: it also
// decodes the list's number from the link.
func listEnd(list int32) int32 { return -2 - list }

// link appends a timer to a list.
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

// unlink removes a timer from its list. A node does not store which list it is in; only the first
// and the last node of a list have links that encode the list's number. These are the only nodes
// whose removal changes the list's head.
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

// splice moves all timers of a list to the end of the work list, in constant time.
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
