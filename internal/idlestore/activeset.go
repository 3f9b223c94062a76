package idlestore

import (
	"container/list"

	"troutusher/policy"
)

// Limits say when a destination that nobody sends to is passivated.
type Limits struct {
	// MaxActive is how many destinations may be active for any time; 0 for all.
	MaxActive int
	// IdleTimeout is for how long one beyond MaxActive has been idle when it is
	// passivated.
	IdleTimeout policy.Time
}

// ActiveSet is the destinations that are active, the longest idle first.
type ActiveSet struct {
	limits  Limits
	entries *list.List // of *activeEntry
	byDest  map[int]*list.Element
}

type activeEntry struct {
	dest     int
	lastUsed policy.Time
}

// NewActiveSet makes an empty one.
func NewActiveSet(l Limits) *ActiveSet {
	return &ActiveSet{limits: l, entries: list.New(), byDest: map[int]*list.Element{}}
}

// Len is how many destinations are active.
func (s *ActiveSet) Len() int { return s.entries.Len() }

// Contains reports whether a destination is active.
func (s *ActiveSet) Contains(dest int) bool { return s.byDest[dest] != nil }

// OverLimit reports whether more are active than may be for any time.
func (s *ActiveSet) OverLimit() bool { return s.excess() > 0 }

// Full reports whether one more would be too many: a destination that the list
// names for the first time is then passive from the start.
func (s *ActiveSet) Full() bool { return s.limits.MaxActive > 0 && s.Len() >= s.limits.MaxActive }

// excess is how many are active beyond the limit; none where it is 0 or less.
func (s *ActiveSet) excess() int {
	if s.limits.MaxActive <= 0 {
		return 0
	}
	return s.Len() - s.limits.MaxActive
}

// Touch takes down that something was done for a destination, which is active from
// then on.
func (s *ActiveSet) Touch(dest int, now policy.Time) {
	if e := s.byDest[dest]; e != nil {
		e.Value.(*activeEntry).lastUsed = now
		s.entries.MoveToBack(e)
		return
	}
	s.byDest[dest] = s.entries.PushBack(&activeEntry{dest, now})
}

// Remove takes a destination out, if it is active.
func (s *ActiveSet) Remove(dest int) {
	if e := s.byDest[dest]; e != nil {
		s.entries.Remove(e)
		delete(s.byDest, dest)
	}
}

// Idle appends up to most destinations that are to be passivated, the longest idle
// first, and says when to ask again; 0 where there is nothing to wait for.
func (s *ActiveSet) Idle(now policy.Time, most int, to []int) (idle []int, again policy.Time) {
	excess := s.excess()
	for e := s.entries.Front(); e != nil && excess > 0; e = e.Next() {
		entry := e.Value.(*activeEntry)
		if at := entry.lastUsed + s.limits.IdleTimeout; at > now {
			return to, at
		}
		if len(to) == most {
			return to, now
		}
		to = append(to, entry.dest)
		excess--
	}
	return to, 0
}
