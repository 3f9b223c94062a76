// Package timerwheel is a hierarchical timing wheel (Varghese and Lauck, 1987,
// scheme 7): one timer for each small number, set, moved and cancelled in
// constant time with no memory beyond its 24 bytes.
//
// It owns which timers are due, in the order of their ticks. It must never
// look at a clock: time is what Advance is told. A timer never comes early; it
// comes late by a tick at most, and by the turns that the caller leaves
// between two calls, since the work done in one call is bounded by the caller.
package timerwheel

const (
	slotBits      = 6
	slotsPerLevel = 1 << slotBits
	levelCount    = 5 // 64^5 ticks: with a tick of 10 ms, 124 days
	noTimer       = -1
)

type node struct {
	next, prev int32 // numbers of timers, or -2-i for the head of list i
	dueTick    int64 // tick; 0 for not set
}

const (
	listCount = levelCount*slotsPerLevel + 1
	workList  = levelCount * slotsPerLevel // the list that is being gone through
)

// Wheel holds the timers. Its methods are not safe for several goroutines.
type Wheel struct {
	tickLength  int64 // length
	currentTick int64 // last tick that was gone through, or is while work is not empty
	nodes       []node
	lists       [listCount]struct{ first, last int32 }
	occupied    [levelCount]uint64 // slots that may hold something
	count       int
}

// New makes a wheel whose ticks are so long, in the unit of all times here.
func New(tick, now int64) *Wheel {
	if tick <= 0 {
		panic("wheel: a tick must be longer than nothing")
	}
	w := &Wheel{tickLength: tick, currentTick: now / tick}
	for i := range w.lists {
		w.lists[i].first, w.lists[i].last = noTimer, noTimer
	}
	return w
}

// Len is how many timers are set.
func (w *Wheel) Len() int { return w.count }

// Set sets the timer of a number to a moment, in place of any that it had.
func (w *Wheel) Set(id uint32, at int64) {
	for int(id) >= len(w.nodes) {
		w.nodes = append(w.nodes, node{})
	}
	w.Cancel(id)
	w.count++
	// Up to the next whole tick: never early. What is due already comes with
	// the next tick, so that a moment is always ahead.
	w.nodes[id].dueTick = max((at+w.tickLength-1)/w.tickLength, w.currentTick+1)
	w.insert(int32(id))
}

// Cancel takes back a number's timer, if there is one.
func (w *Wheel) Cancel(id uint32) {
	if int(id) < len(w.nodes) && w.nodes[id].dueTick != 0 {
		w.unlink(int32(id))
		w.nodes[id].dueTick = 0
		w.count--
	}
}

// insert puts a timer in the slot where it is looked at next.
func (w *Wheel) insert(id int32) {
	at := w.nodes[id].dueTick
	if at <= w.currentTick { // in a work list that was left half done
		w.link(id, workList)
		return
	}
	level := 0
	for level < levelCount-1 && at>>(slotBits*(level+1)) != w.currentTick>>(slotBits*(level+1)) {
		level++
	}
	// Beyond the last level's span: looked at once a turn of it.
	slot := at >> (slotBits * level)
	if farthest := w.currentTick>>(slotBits*level) + slotsPerLevel - 1; slot > farthest {
		slot = farthest
	}
	slot &= slotsPerLevel - 1
	w.occupied[level] |= 1 << slot
	w.link(id, int32(level*slotsPerLevel)+int32(slot))
}

func (w *Wheel) link(id, list int32) {
	h := &w.lists[list]
	n := &w.nodes[id]
	n.next, n.prev = -2-list, h.last
	if h.last == noTimer {
		n.prev = -2 - list
		h.first = id
	} else {
		w.nodes[h.last].next = id
	}
	h.last = id
}

func (w *Wheel) unlink(id int32) {
	n := &w.nodes[id]
	// The end of its list that a neighbour stands for tells which list it is.
	if n.prev >= 0 {
		w.nodes[n.prev].next = n.next
	} else if n.next >= 0 {
		w.lists[-2-n.prev].first = n.next
	} else {
		w.lists[-2-n.prev].first = noTimer
	}
	if n.next >= 0 {
		w.nodes[n.next].prev = n.prev
	} else if n.prev >= 0 {
		w.lists[-2-n.next].last = n.prev
	} else {
		w.lists[-2-n.next].last = noTimer
	}
}

// Advance goes on to now and appends to due the numbers whose timers have
// come, which are then not set any more. It looks at most timers in all; more
// tells that it stopped there and is to be called again.
func (w *Wheel) Advance(now int64, most int, due []uint32) (_ []uint32, more bool) {
	to := now / w.tickLength
	for {
		for w.lists[workList].first != noTimer {
			if most == 0 {
				return due, true
			}
			most--
			id := w.lists[workList].first
			w.unlink(id)
			if n := &w.nodes[id]; n.dueTick > w.currentTick {
				w.insert(id)
			} else {
				n.dueTick = 0
				w.count--
				due = append(due, uint32(id))
			}
		}
		next, ok := w.nextTick()
		if !ok || next > to {
			w.currentTick = max(w.currentTick, to)
			return due, false
		}
		w.currentTick = next
		w.openSlots(next)
	}
}

// openSlots moves what is in the slots that a tick begins to the work list.
func (w *Wheel) openSlots(tick int64) {
	for level := levelCount - 1; level >= 0; level-- {
		if tick&(1<<(slotBits*level)-1) != 0 {
			continue
		}
		slot := tick >> (slotBits * level) & (slotsPerLevel - 1)
		if w.occupied[level]&(1<<slot) == 0 {
			continue
		}
		w.occupied[level] &^= 1 << slot
		w.splice(int32(level*slotsPerLevel) + int32(slot))
	}
}

// splice moves a whole list behind the work list, in constant time.
func (w *Wheel) splice(list int32) {
	h, to := &w.lists[list], &w.lists[workList]
	if h.first == noTimer {
		return
	}
	if to.last == noTimer {
		to.first = h.first
		w.nodes[h.first].prev = -2 - workList
	} else {
		w.nodes[to.last].next = h.first
		w.nodes[h.first].prev = to.last
	}
	w.nodes[h.last].next = -2 - workList
	to.last = h.last
	h.first, h.last = noTimer, noTimer
}

// nextTick is the next tick that opens a slot which may hold something.
func (w *Wheel) nextTick() (int64, bool) {
	best, ok := int64(0), false
	for level := range levelCount {
		used := w.occupied[level]
		if used == 0 {
			continue
		}
		at := w.currentTick >> (slotBits * level)
		for d := int64(1); d <= slotsPerLevel; d++ {
			if used&(1<<((at+d)&(slotsPerLevel-1))) != 0 {
				if t := (at + d) << (slotBits * level); !ok || t < best {
					best, ok = t, true
				}
				break
			}
		}
	}
	return best, ok
}

// Next is the moment at which Advance has something to look at; false where no
// timer is set. Nothing is due before it.
func (w *Wheel) Next() (at int64, ok bool) {
	if w.lists[workList].first != noTimer {
		return w.currentTick * w.tickLength, true
	}
	if w.count == 0 {
		return 0, false
	}
	t, ok := w.nextTick()
	return t * w.tickLength, ok
}
