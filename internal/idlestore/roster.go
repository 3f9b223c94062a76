package idlestore

import (
	"container/list"

	"troutusher/policy"
)

// Limits say when a destination that nobody sends to is put away.
type Limits struct {
	MaxActive   int         // so many may be awake for any time; 0 for all
	IdleTimeout policy.Time // beyond them, one goes that has been quiet for so long
}

// ActiveSet is the destinations that are awake, the longest quiet first.
type ActiveSet struct {
	limits Limits
	order  *list.List // of *quiet
	byDest map[int]*list.Element
}

type activeEntry struct {
	dest     int
	lastUsed policy.Time
}

// NewActiveSet makes one on which nobody is.
func NewActiveSet(l Limits) *ActiveSet {
	return &ActiveSet{limits: l, order: list.New(), byDest: map[int]*list.Element{}}
}

// Len is how many are awake.
func (r *ActiveSet) Len() int { return r.order.Len() }

// Contains reports whether a destination is on it.
func (r *ActiveSet) Contains(dest int) bool { return r.byDest[dest] != nil }

// OverLimit reports whether more are awake than may be for any time.
func (r *ActiveSet) OverLimit() bool {
	return r.limits.MaxActive > 0 && r.order.Len() > r.limits.MaxActive
}

// Full reports whether one more would be too many: a destination that the list
// names for the first time then begins asleep.
func (r *ActiveSet) Full() bool { return r.limits.MaxActive > 0 && r.order.Len() >= r.limits.MaxActive }

// Touch books that something has been done for a destination.
func (r *ActiveSet) Touch(dest int, now policy.Time) {
	if e := r.byDest[dest]; e != nil {
		e.Value.(*activeEntry).lastUsed = now
		r.order.MoveToBack(e)
		return
	}
	r.byDest[dest] = r.order.PushBack(&activeEntry{dest, now})
}

// Remove takes a destination off.
func (r *ActiveSet) Remove(dest int) {
	if e := r.byDest[dest]; e != nil {
		r.order.Remove(e)
		delete(r.byDest, dest)
	}
}

// Idle appends up to most destinations that are to be put away, longest quiet
// first, and tells when to ask again; 0 where there is nothing to wait for.
func (r *ActiveSet) Idle(now policy.Time, most int, to []int) (due []int, again policy.Time) {
	over := 0
	if r.limits.MaxActive > 0 {
		over = r.order.Len() - r.limits.MaxActive
	}
	for e := r.order.Front(); e != nil && over > 0; e = e.Next() {
		q := e.Value.(*activeEntry)
		if at := q.lastUsed + r.limits.IdleTimeout; at > now {
			return to, at
		}
		if len(to) == most {
			return to, now
		}
		to = append(to, q.dest)
		over--
	}
	return to, 0
}
