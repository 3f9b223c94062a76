package core

import (
	"slices"

	"troutusher/policy"
)

// timers are the times at which the policy wants to be asked again, earliest first.
// Each is kept until it has come: the policy counts on every one that it asked for, and
// may have asked for a later one in a step that ran past an earlier one before the
// event loop saw that come.
type timers []policy.Time

func (t *timers) add(at policy.Time) {
	if i, found := slices.BinarySearch(*t, at); !found {
		*t = slices.Insert(*t, i, at)
	}
}

// next is the earliest time; 0 for none.
func (t timers) next() policy.Time {
	if len(t) == 0 {
		return 0
	}
	return t[0]
}

// due removes the times that have come by now and reports whether there were any.
func (t *timers) due(now policy.Time) bool {
	n := 0
	for n < len(*t) && (*t)[n] <= now {
		n++
	}
	*t = slices.Delete(*t, 0, n)
	return n > 0
}
