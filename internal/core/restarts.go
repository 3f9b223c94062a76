package core

import (
	"troutusher/decide"
	"troutusher/internal/tally"
)

// What a restart finds taken on and untried was taken on in order to be
// delivered. The invariant: a message that is found so, still has time and has an
// endpoint in the list is not ended in the step that takes it up; it waits for
// its turn like any other, and ends without a call only where the time, the room
// or the proof that it needs is not there. How each start's ended is counted here,
// in the tally, by what it was found with: sums over all relays add up.

// foundAs is how a message came into this process.
type foundAs uint8

const (
	fresh   foundAs = iota // handed in here
	resumed                // taken up, with attempts behind it
	untried                // taken up, and no attempt of it was ever logged
	spoken                 // untried, and a call of it has gone out since
)

// found books what a start has taken up.
func (r *Core) found(m *message) {
	if m.found = resumed; m.rec.Tries > 0 {
		return
	}
	m.found = untried
	r.tally.Add(m.rec.Dest, tally.Untried, 1)
	switch {
	case r.fromWall(m.rec.Deadline) <= r.now:
		r.tally.Add(m.rec.Dest, tally.UntriedOver, 1)
	case !r.listed(m.rec.Dest):
		r.tally.Add(m.rec.Dest, tally.UntriedNowhere, 1)
	}
}

// listed reports whether the list holds an endpoint of a destination to which
// something new may go.
func (r *Core) listed(dest int) bool {
	for _, ep := range r.endpoints {
		if ep.cell == dest && ep.listed && !ep.gone {
			return true
		}
	}
	return false
}

// called books that an attempt has ended. One that never left is none.
func (r *Core) called(m *message, o decide.Outcome) {
	if m.found == untried && o != decide.NotSent {
		m.found = spoken
		r.tally.Add(m.rec.Dest, tally.UntriedTried, 1)
	}
	if m.found == spoken && o == decide.Delivered {
		r.tally.Add(m.rec.Dest, tally.UntriedDelivered, 1)
	}
}

// uncalled books an end with no call. One whose call is out, and is being called
// off, had one.
func (r *Core) uncalled(m *message, word, why string) {
	if m.found != untried || m.call != nil {
		return
	}
	what := tally.UntriedBack
	if word == GivenUp {
		what = tally.UntriedGivenUp
	}
	r.tally.Add(m.rec.Dest, what+why, 1)
}
