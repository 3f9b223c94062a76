// Package timerwheel implements a hierarchical timing wheel (Varghese and Lauck, 1987, scheme 7).
// Timers are identified by small numbers. A timer is set, moved or cancelled in constant time and
// takes 16 bytes of memory.
//
// The package never reads a clock: the caller passes the time to Advance. Timers fire in the order
// of their ticks. A timer never fires early. It fires late by at most one tick plus the time that
// passes between calls to Advance; since the caller limits the work of one call, several calls may be
// needed to reach a timer.
package timerwheel

const (
	slotBits      = 6
	slotsPerLevel = 1 << slotBits
	levelCount    = 5 // 64^5 ticks: with a tick of 10 ms, 124 days
)

// Wheel holds the timers. Its methods are not safe for concurrent use.
type Wheel struct {
	tickLength  int64
	currentTick int64  // the last processed tick; while workList is not empty, the tick being processed
	nodes       []node // by timer number
	lists       [listCount]list
	occupied    [levelCount]uint64 // for each level, a bit for each slot; Cancel leaves the bit of an emptied slot set
	count       int                // number of timers that are set
}

// New returns a wheel without timers, at the time now. All times of the wheel have the same unit as
// tickLength, which the caller chooses.
func New(tickLength, now int64) *Wheel {
	if tickLength <= 0 {
		panic("timerwheel: New: the tick length must be positive")
	}
	w := &Wheel{tickLength: tickLength, currentTick: now / tickLength}
	for i := range w.lists {
		w.lists[i] = list{first: noTimer, last: noTimer}
	}
	return w
}

// Len returns the number of timers that are set.
func (w *Wheel) Len() int { return w.count }

// Set sets a timer to fire at a time. If the timer is already set, the new time replaces the old one.
func (w *Wheel) Set(id uint32, at int64) {
	for int(id) >= len(w.nodes) {
		w.nodes = append(w.nodes, node{})
	}
	w.Cancel(id)
	w.count++
	// Round up to a whole tick, so that the timer does not fire early. A timer that is already due
	// fires with the next tick, so that dueTick is always after currentTick.
	w.nodes[id].dueTick = max((at+w.tickLength-1)/w.tickLength, w.currentTick+1)
	w.insert(int32(id))
}

// Cancel cancels a timer. It does nothing if the timer is not set.
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

// insert puts a timer into the slot in which Advance processes it next.
func (w *Wheel) insert(id int32) {
	due := w.nodes[id].dueTick
	if due <= w.currentTick { // the tick is already being processed: fire with it
		w.link(id, workList)
		return
	}
	level := 0
	for level < levelCount-1 && due>>(slotBits*(level+1)) != w.currentTick>>(slotBits*(level+1)) {
		level++
	}
	// A timer beyond the span of the last level goes into that level's farthest slot. Each time that
	// slot is processed, the timer is inserted again, until its due tick is within the span.
	farthest := w.currentTick>>(slotBits*level) + slotsPerLevel - 1
	slot := min(due>>(slotBits*level), farthest) & (slotsPerLevel - 1)
	w.occupied[level] |= 1 << slot
	w.link(id, slotList(level, slot))
}

// Advance moves the wheel's time to now and appends the numbers of the timers that fire to due. A
// timer that has fired is no longer set. Advance processes at most maxTimers timers, including those
// that it only moves to a lower level. If more is true, it stopped at that limit and has to be called
// again.
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

// openSlots moves timers to the work list: those of all slots whose span begins at the given tick.
// On level n a slot spans slotsPerLevel^n ticks.
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

// nextTick returns the first tick after currentTick at which the span of a slot marked in w.occupied
// begins. ok is false if no slot is marked.
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

// Next returns the time at which Advance next has a timer to process. No timer fires before it. ok is
// false if no timer is set.
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
