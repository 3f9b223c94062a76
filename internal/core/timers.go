package core

import (
	"slices"

	"troutusher/policy"
)

// timers are the moments at which the policy wants to be asked again, earliest
// first. Each is kept until it has come: the policy counts on every one that
// it asked for, and may have asked for a later one in a step that ran past an
// earlier one before the loop saw that come.
type timers []policy.Time

func (t *timers) add(at policy.Time) {
	if i, have := slices.BinarySearch(*t, at); !have {
		*t = slices.Insert(*t, i, at)
	}
}

// next is the earliest moment; 0 for none.
func (t timers) next() policy.Time {
	if len(t) == 0 {
		return 0
	}
	return t[0]
}

// due takes out what has come by now and reports whether anything had.
func (t *timers) due(now policy.Time) bool {
	n := 0
	for n < len(*t) && (*t)[n] <= now {
		n++
	}
	*t = slices.Delete(*t, 0, n)
	return n > 0
}
