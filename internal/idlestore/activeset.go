package idlestore

import (
	"container/list"

	"troutusher/policy"
)

// Limits are the conditions for passivating a destination.
type Limits struct {
	// MaxActive is the number of destinations that stay active however long they are
	// idle; 0 for all.
	MaxActive int
	// IdleTimeout is the time after which an idle destination beyond MaxActive is
	// passivated, in µs.
	IdleTimeout policy.Time
}

// ActiveSet is the set of active destinations, ordered by their last use.
type ActiveSet struct {
	limits  Limits
	entries *list.List // of *activeEntry, the least recently used first
	byDest  map[int]*list.Element
}

type activeEntry struct {
	dest     int
	lastUsed policy.Time
}

// NewActiveSet returns an empty set.
func NewActiveSet(l Limits) *ActiveSet {
	return &ActiveSet{limits: l, entries: list.New(), byDest: map[int]*list.Element{}}
}

// Len returns the number of active destinations.
func (s *ActiveSet) Len() int { return s.entries.Len() }

// Contains reports whether a destination is active.
func (s *ActiveSet) Contains(dest int) bool { return s.byDest[dest] != nil }

// OverLimit reports whether more than MaxActive destinations are active.
func (s *ActiveSet) OverLimit() bool { return s.excess() > 0 }

// Full reports whether at least MaxActive destinations are active. A destination that
// the list names for the first time is then passive from the start.
func (s *ActiveSet) Full() bool { return s.limits.MaxActive > 0 && s.Len() >= s.limits.MaxActive }

// excess returns the number of active destinations beyond the limit; it may be
// negative.
func (s *ActiveSet) excess() int {
	if s.limits.MaxActive <= 0 {
		return 0
	}
	return s.Len() - s.limits.MaxActive
}

// Touch records a use of a destination, and adds it if it is not active.
func (s *ActiveSet) Touch(dest int, now policy.Time) {
	if e := s.byDest[dest]; e != nil {
		e.Value.(*activeEntry).lastUsed = now
		s.entries.MoveToBack(e)
		return
	}
	s.byDest[dest] = s.entries.PushBack(&activeEntry{dest, now})
}

// Remove removes a destination, if it is active.
func (s *ActiveSet) Remove(dest int) {
	if e := s.byDest[dest]; e != nil {
		s.entries.Remove(e)
		delete(s.byDest, dest)
	}
}

// Idle appends the destinations to passivate now to a slice until that has limit
// elements, the least recently used first. It returns when to call it again, or 0 if
// no destination is beyond the limits.
func (s *ActiveSet) Idle(now policy.Time, limit int, to []int) (idle []int, again policy.Time) {
	excess := s.excess()
	for e := s.entries.Front(); e != nil && excess > 0; e = e.Next() {
		entry := e.Value.(*activeEntry)
		if at := entry.lastUsed + s.limits.IdleTimeout; at > now {
			return to, at
		}
		if len(to) == limit {
			return to, now
		}
		to = append(to, entry.dest)
		excess--
	}
	return to, 0
}
