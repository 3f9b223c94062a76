package core

import (
	"slices"

	"troutusher/policy"
)

// timers holds the times at which the policy wants to run again, earliest first. Each time is
// kept until it is reached, because the policy relies on every timer that it requested: a step
// may run after an earlier timer was due, but before the event loop noticed that, and request
// a later timer.
type timers []policy.Time

func (t *timers) add(at policy.Time) {
	if i, found := slices.BinarySearch(*t, at); !found {
		*t = slices.Insert(*t, i, at)
	}
}

// next returns the earliest time; 0 for none.
func (t timers) next() policy.Time {
	if len(t) == 0 {
		return 0
	}
	return t[0]
}

// due removes the times that have been reached, and reports whether there were any.
func (t *timers) due(now policy.Time) bool {
	n := 0
	for n < len(*t) && (*t)[n] <= now {
		n++
	}
	*t = slices.Delete(*t, 0, n)
	return n > 0
}
