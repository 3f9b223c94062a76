// Package timerwheel is a hierarchical timing wheel (Varghese and Lauck, 1987,
// scheme 7): one timer for each small number, set, moved and cancelled in
// constant time with no memory beyond its 24 bytes.
//
// It owns which timers are due, in the order of their ticks. It must never look
// at a clock: time is what Advance is told. A timer never fires early; it fires
// late by a tick at most, and by the time that the caller leaves between two
// calls, since the caller bounds the work done in one call.
package timerwheel

const (
	slotBits      = 6
	slotsPerLevel = 1 << slotBits
	levelCount    = 5 // 64^5 ticks: with a tick of 10 ms, 124 days
)

// Wheel holds the timers. Its methods are not safe for concurrent use.
type Wheel struct {
	tickLength  int64
	currentTick int64 // the last tick that was processed, or is while workList is not empty
	nodes       []node
	lists       [listCount]list
	occupied    [levelCount]uint64 // a bit for each slot that may hold a timer
	count       int
}

// New makes a wheel whose ticks are so long, in the unit of all times here.
func New(tickLength, now int64) *Wheel {
	if tickLength <= 0 {
		panic("timerwheel: the length of a tick must be positive")
	}
	w := &Wheel{tickLength: tickLength, currentTick: now / tickLength}
	for i := range w.lists {
		w.lists[i] = list{first: noTimer, last: noTimer}
	}
	return w
}

// Len returns how many timers are set.
func (w *Wheel) Len() int { return w.count }

// Set sets the timer of a number to a time, in place of any that it had.
func (w *Wheel) Set(id uint32, at int64) {
	for int(id) >= len(w.nodes) {
		w.nodes = append(w.nodes, node{})
	}
	w.Cancel(id)
	w.count++
	// Up to the next whole tick: never early. What is due already fires with the
	// next tick, so that the due tick is always ahead.
	w.nodes[id].dueTick = max((at+w.tickLength-1)/w.tickLength, w.currentTick+1)
	w.insert(int32(id))
}

// Cancel removes a number's timer, if there is one.
func (w *Wheel) Cancel(id uint32) {
	if int(id) < len(w.nodes) && w.nodes[id].dueTick != notSet {
		w.unlink(int32(id))
		w.clear(int32(id))
	}
}

// clear marks a timer as not set.
func (w *Wheel) clear(id int32) {
	w.nodes[id].dueTick = notSet
	w.count--
}

// insert puts a timer into the slot in which it is looked at next.
func (w *Wheel) insert(id int32) {
	due := w.nodes[id].dueTick
	if due <= w.currentTick { // in a work list that was left half done
		w.link(id, workList)
		return
	}
	level := 0
	for level < levelCount-1 && due>>(slotBits*(level+1)) != w.currentTick>>(slotBits*(level+1)) {
		level++
	}
	// A timer beyond the last level's span is looked at once a turn of that.
	farthest := w.currentTick>>(slotBits*level) + slotsPerLevel - 1
	slot := min(due>>(slotBits*level), farthest) & (slotsPerLevel - 1)
	w.occupied[level] |= 1 << slot
	w.link(id, slotList(level, slot))
}

// Advance moves the time to now and appends to due the numbers whose timers have
// fired, which are then not set any more. It looks at maxTimers timers in all;
// more tells that it stopped there and has to be called again.
func (w *Wheel) Advance(now int64, maxTimers int, due []uint32) (_ []uint32, more bool) {
	targetTick := now / w.tickLength
	for {
		for w.lists[workList].first != noTimer {
			if maxTimers == 0 {
				return due, true
			}
			maxTimers--
			id := w.lists[workList].first
			w.unlink(id)
			if w.nodes[id].dueTick > w.currentTick {
				w.insert(id)
				continue
			}
			w.clear(id)
			due = append(due, uint32(id))
		}
		next, ok := w.nextTick()
		if !ok || next > targetTick {
			w.currentTick = max(w.currentTick, targetTick)
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
		w.splice(slotList(level, slot))
	}
}

// nextTick returns the next tick that opens a slot which may hold a timer.
func (w *Wheel) nextTick() (earliest int64, ok bool) {
	for level := range levelCount {
		occupied := w.occupied[level]
		if occupied == 0 {
			continue
		}
		current := w.currentTick >> (slotBits * level)
		for distance := int64(1); distance <= slotsPerLevel; distance++ {
			if occupied&(1<<((current+distance)&(slotsPerLevel-1))) == 0 {
				continue
			}
			if tick := (current + distance) << (slotBits * level); !ok || tick < earliest {
				earliest, ok = tick, true
			}
			break
		}
	}
	return earliest, ok
}

// Next returns the time at which Advance has something to look at; false if no
// timer is set. Nothing is due before it.
func (w *Wheel) Next() (at int64, ok bool) {
	if w.lists[workList].first != noTimer {
		return w.currentTick * w.tickLength, true
	}
	if w.count == 0 {
		return 0, false
	}
	tick, ok := w.nextTick()
	return tick * w.tickLength, ok
}
