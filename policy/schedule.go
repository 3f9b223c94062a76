package policy

import (
	"container/heap"
	"math"
	"slices"
)

// minUseDivisor determines the smallest used part of a schedule's memory, above which removeFunc keeps it.
const minUseDivisor = 4

// schedule is a priority queue of values by time. Values with the same time come out in the order of insertion.
type schedule[T any] struct {
	items scheduleHeap[T]
	count uint64 // insertions so far
}

type scheduledItem[T any] struct {
	at    Time
	seq   uint64 // number of the insertion
	value T
}

// scheduleHeap implements heap.Interface: the earliest item is the first.
type scheduleHeap[T any] []scheduledItem[T]

// Len returns the number of items.
func (h scheduleHeap[T]) Len() int { return len(h) }

// Swap exchanges two items.
func (h scheduleHeap[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Less orders items by time, and those of the same time by their insertion.
func (h scheduleHeap[T]) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

// Push appends an item; only package heap may call it.
func (h *scheduleHeap[T]) Push(item any) { *h = append(*h, item.(scheduledItem[T])) }

// Pop removes and returns the last item; only package heap may call it.
func (h *scheduleHeap[T]) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	(*h)[last] = scheduledItem[T]{}
	*h = (*h)[:last]
	return item
}

// add inserts a value that is due at the given time.
func (s *schedule[T]) add(at Time, value T) {
	s.count++
	heap.Push(&s.items, scheduledItem[T]{at, s.count, value})
}

// popDue removes and returns the earliest value, if its time has come.
func (s *schedule[T]) popDue(now Time) (value T, ok bool) {
	if len(s.items) == 0 || s.items[0].at > now {
		return value, false
	}
	return heap.Pop(&s.items).(scheduledItem[T]).value, true
}

// removeFunc removes the values for which remove returns true. The order of the others stays.
func (s *schedule[T]) removeFunc(remove func(T) bool) {
	s.items = slices.DeleteFunc(s.items, func(item scheduledItem[T]) bool { return remove(item.value) })
	if len(s.items) < cap(s.items)/minUseDivisor {
		s.items = slices.Clone(s.items)
	}
	heap.Init(&s.items)
}

// nextTime returns the time of the earliest value; math.MaxInt64 if the schedule is empty.
func (s *schedule[T]) nextTime() Time {
	if len(s.items) == 0 {
		return math.MaxInt64
	}
	return s.items[0].at
}
