// Package registry decides when a relay asks discovery's registry, for what,
// and what it believes of the answers: the whole list or what followed a
// version, how long an answer is waited for, and when to come again after one
// that was refused, late, broken or unreadable.
//
// A registry that serves a fleet can be used up by the fleet itself: when every
// watch breaks in the same instant, or most relays start at once, each relay's
// next call is harmless and all of them together are turned away, at a cost to
// the registry that is as good as an answer's. So calls are spread over a span
// that grows with the fleet and, in vain, doubles; each relay draws from its own
// seed. What is known is asked for again by its version, never as a whole.
//
// It must never open a socket, read a clock, or merge what the registry says
// with anything else.
package registry

import (
	"math/rand/v2"
	"time"
)

const (
	pause       = 100 * time.Millisecond  // between any two calls
	perRelay    = 100 * time.Millisecond  // of the span, for each relay that may call at the same moment
	spanMost    = 6 * time.Second         // a fleet of any size can be served in some seconds; what waits longer learns too late
	turnedMost  = 16 * time.Second        // what the span grows to, each time doubled, where calls are turned away ...
	unheardMost = time.Second             // ... and where nothing is heard: with the patience that is under the grace of a drain
	soon        = time.Second             // an answer is waited for so long where few ask ...
	late        = 2500 * time.Millisecond // ... and where many do, since it may have its turn after 2 s
	oldMost     = 3                       // whole lists in a row older than what is known: the registry has begun anew
)

// What a silent watch misses counts as told so long after it fell silent, and a
// drain in it is to be obeyed from then on. The worst case from its last byte until
// its successor's answer has begun lies under that for a fleet of any size:
// Silence + pause + silentSpan + soon, 5.6 s.
const (
	ToldAfter  = 6 * time.Second
	Silence    = 3 * time.Second // a watch says something every 2 s
	silentSpan = 1500 * time.Millisecond
)

// Call is one call to the registry.
type Call struct {
	Whole    bool          // the whole list; else a watch
	From     int64         // of a watch: the version that is known
	After    time.Duration // not before
	Patience time.Duration // how long its answer may take to begin
}

// End is how a call ended.
type End uint8

// Ends of a call.
const (
	Served  End = iota + 1 // a list was had whole; or a watch was, for as long as it lasted
	Refused                // turned away: the registry is there and has too much to do
	Unheard                // nothing came in time, or there was no connection
	Garbled                // what came cannot be read: what is known is not certain any more
	Foreign                // the version is not known there
	Silent                 // a watch said nothing for Silence: it is dead, and tells nothing of the registry's load
)

func (e End) String() string {
	return [...]string{"none", "served", "refused", "unheard", "garbled", "foreign", "silent"}[min(e, Silent)]
}

// Follower is one relay's side of one registry.
type Follower struct {
	rng   *rand.Rand
	span  time.Duration
	fails int
	turns int   // of them, turned away in a row
	rev   int64 // what is known
	known bool
	heard bool // from this address
	old   int  // whole lists in a row that were older
	begun bool
	mute  bool // the last call was a watch that fell silent
	lost  bool // the last call was not heard: the registry is gone, and tells at its return what counts at once
}

// New makes the follower of a relay among so many (fewer than 1 counts as 1),
// which draws from its own seed.
func New(relays int, seed uint64) *Follower {
	span := min(time.Duration(min(max(relays, 1), 1000))*perRelay, spanMost)
	return &Follower{rng: rand.New(rand.NewPCG(seed, 0xd15c07e12)), span: span}
}

// Know tells which version the relay was given at its start.
func (f *Follower) Know(rev int64) { f.rev, f.known = rev, true }

// Move leaves for another address. Its versions may be its own.
func (f *Follower) Move() {
	f.known, f.heard, f.old, f.fails, f.turns, f.begun = false, false, 0, 0, 0, false
	f.mute, f.lost = false, false
}

// Known reports whether the list is known up to a version.
func (f *Follower) Known() bool { return f.known }

// Next is the next call.
func (f *Follower) Next() Call {
	c := Call{Whole: !f.known, From: f.rev, Patience: soon}
	if !f.mute && (f.span >= soon || f.fails >= 2) {
		c.Patience = late
	}
	if f.begun {
		c.After = pause + time.Duration(f.rng.Float64()*float64(f.reach()))
	}
	f.begun = true
	return c
}

// reach is the span over which the next call is drawn.
func (f *Follower) reach() time.Duration {
	if f.mute {
		return min(f.span, silentSpan)
	}
	if f.lost && f.turns == 0 {
		return min(f.span<<min(f.fails, 10), unheardMost)
	}
	if f.turns > 0 {
		return min(f.span<<min(f.turns, 10), turnedMost)
	}
	return min(f.span<<min(f.fails, 10), max(f.span, unheardMost)) // what it said was of no use
}

// Ended books the end of a call that took so long. A watch that broke sooner
// than this relay would call again by itself counts as one in vain.
func (f *Follower) Ended(c Call, e End, took time.Duration) {
	switch {
	case e == Served && (c.Whole || took > f.reach()):
		f.fails, f.turns = 0, 0
	case e == Silent: // it was let in, and its registry may serve the next one at once
		f.fails, f.turns = 0, 0
	default:
		f.fails++
	}
	// What was spoilt once may have been word of a drain.
	f.mute, f.lost = e == Silent, e == Unheard || f.fails == 1 && (e == Garbled || e == Foreign)
	if e == Refused || e == Served && f.fails > 0 { // or let in and dropped: no better
		f.turns++
	}
	if e == Garbled || e == Foreign {
		f.known = false
	}
	if c.Whole && e == Served {
		f.begun = false // the watch follows at once: it is the same news
	}
}

// Verdict is what a list is worth.
type Verdict uint8

// Verdicts.
const (
	Believe Verdict = iota + 1
	Ignore          // older than what is known
	Ask             // it builds on nothing that is known: the whole list is needed
)

// Take judges a list, or what changed in it. A version older than one heard
// from the same registry is not believed: an endpoint that drains would be sent
// to again. But one that shows an older whole list often enough has begun anew.
func (f *Follower) Take(rev int64, whole bool) Verdict {
	older := rev < f.rev
	switch {
	case whole && older && f.heard && f.old+1 < oldMost:
		f.old++
		return Ignore
	case !whole && (!f.known || older && !f.heard):
		f.known = false
		return Ask
	case !whole && older:
		return Ignore
	}
	f.rev, f.known, f.heard, f.old = rev, true, true, 0
	return Believe
}
