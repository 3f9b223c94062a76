package idlestore

import (
	"container/list"

	"troutusher/policy"
)

// Limits define when a destination is passivated.
type Limits struct {
	// MaxActive is the number of destinations that stay active no matter how long they
	// are idle. 0 means all.
	MaxActive int
	// IdleTimeout is the idle time, in µs, after which a destination is passivated if
	// more than MaxActive are active.
	IdleTimeout policy.Time
}

// ActiveSet is the set of active destinations, which are those that are not passivated, ordered by
// their last use.
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

// Full reports whether at least MaxActive destinations are active. If so, the caller stores a
// destination that is new in the endpoint list as passivated at once.
func (s *ActiveSet) Full() bool { return s.limits.MaxActive > 0 && s.Len() >= s.limits.MaxActive }

// excess returns the number of active destinations minus MaxActive, which may be negative.
// Without a limit it returns 0.
func (s *ActiveSet) excess() int {
	if s.limits.MaxActive <= 0 {
		return 0
	}
	return s.Len() - s.limits.MaxActive
}

// Touch records that a destination is used now, and adds it if it is not active.
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

// Idle appends the destinations to passivate now to a slice, the least recently used
// first, until the slice has limit elements. nextCheckAt is the time of the next call, or
// 0 if no more destinations are active than MaxActive allows.
func (s *ActiveSet) Idle(now policy.Time, limit int, to []int) (idle []int, nextCheckAt policy.Time) {
	excess := s.excess()
	for e := s.entries.Front(); e != nil && excess > 0; e = e.Next() {
		entry := e.Value.(*activeEntry)
		if expiresAt := entry.lastUsed + s.limits.IdleTimeout; expiresAt > now {
			return to, expiresAt
		}
		if len(to) == limit {
			return to, now
		}
		to = append(to, entry.dest)
		excess--
	}
	return to, 0
}
