package dormant

import (
	"container/list"

	"troutusher/decide"
)

// Limits say when a destination that nobody sends to is put away.
type Limits struct {
	Awake int         // so many may be awake for any time; 0 for all
	After decide.Time // beyond them, one goes that has been quiet for so long
}

// Roster is the destinations that are awake, the longest quiet first.
type Roster struct {
	limits Limits
	order  *list.List // of *quiet
	byDest map[int]*list.Element
}

type quiet struct {
	dest  int
	since decide.Time
}

// NewRoster makes one on which nobody is.
func NewRoster(l Limits) *Roster {
	return &Roster{limits: l, order: list.New(), byDest: map[int]*list.Element{}}
}

// Len is how many are awake.
func (r *Roster) Len() int { return r.order.Len() }

// Awake reports whether a destination is on it.
func (r *Roster) Awake(dest int) bool { return r.byDest[dest] != nil }

// Over reports whether more are awake than may be for any time.
func (r *Roster) Over() bool { return r.limits.Awake > 0 && r.order.Len() > r.limits.Awake }

// Full reports whether one more would be too many: a destination that the list
// names for the first time then begins asleep.
func (r *Roster) Full() bool { return r.limits.Awake > 0 && r.order.Len() >= r.limits.Awake }

// Stir books that something has been done for a destination.
func (r *Roster) Stir(dest int, now decide.Time) {
	if e := r.byDest[dest]; e != nil {
		e.Value.(*quiet).since = now
		r.order.MoveToBack(e)
		return
	}
	r.byDest[dest] = r.order.PushBack(&quiet{dest, now})
}

// Leave takes a destination off.
func (r *Roster) Leave(dest int) {
	if e := r.byDest[dest]; e != nil {
		r.order.Remove(e)
		delete(r.byDest, dest)
	}
}

// Due appends up to most destinations that are to be put away, longest quiet
// first, and tells when to ask again; 0 where there is nothing to wait for.
func (r *Roster) Due(now decide.Time, most int, to []int) (due []int, again decide.Time) {
	over := 0
	if r.limits.Awake > 0 {
		over = r.order.Len() - r.limits.Awake
	}
	for e := r.order.Front(); e != nil && over > 0; e = e.Next() {
		q := e.Value.(*quiet)
		if at := q.since + r.limits.After; at > now {
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
