package policy

import (
	"container/heap"
	"math"
)

// schedule keeps values for later moments; those of one moment come in the order in which they were added.
type schedule[T any] struct {
	items scheduleHeap[T]
	count uint64
}

type scheduledItem[T any] struct {
	at    Time
	seq   uint64
	value T
}

// scheduleHeap implements heap.Interface: the earliest item is the first.
type scheduleHeap[T any] []scheduledItem[T]

func (h scheduleHeap[T]) Len() int      { return len(h) }
func (h scheduleHeap[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h scheduleHeap[T]) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}

// Push is for the package heap alone.
func (h *scheduleHeap[T]) Push(item any) { *h = append(*h, item.(scheduledItem[T])) }

// Pop is for the package heap alone.
func (h *scheduleHeap[T]) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	(*h)[last] = scheduledItem[T]{}
	*h = (*h)[:last]
	return item
}

func (s *schedule[T]) add(at Time, value T) {
	s.count++
	heap.Push(&s.items, scheduledItem[T]{at, s.count, value})
}

// popDue takes out the earliest value whose moment has come.
func (s *schedule[T]) popDue(now Time) (value T, ok bool) {
	if len(s.items) == 0 || s.items[0].at > now {
		return value, false
	}
	return heap.Pop(&s.items).(scheduledItem[T]).value, true
}

// nextTime is the earliest moment; the last one of all where nothing waits.
func (s *schedule[T]) nextTime() Time {
	if len(s.items) == 0 {
		return math.MaxInt64
	}
	return s.items[0].at
}

// runDue calls what is due, and what becomes due by that.
func runDue(s *schedule[func()], now Time) {
	for call, ok := s.popDue(now); ok; call, ok = s.popDue(now) {
		call()
	}
}
