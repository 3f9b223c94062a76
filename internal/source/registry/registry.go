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
	minDelay            = 100 * time.Millisecond  // between any two calls
	spreadPerRelay      = 100 * time.Millisecond  // of the span, for each relay that may call at the same moment
	maxBaseSpread       = 6 * time.Second         // a fleet of any size can be served in some seconds; what waits longer learns too late
	maxRejectedSpread   = 16 * time.Second        // what the span grows to, each time doubled, where calls are turned away ...
	maxUnansweredSpread = time.Second             // ... and where nothing is heard: with the patience that is under the grace of a drain
	shortTimeout        = time.Second             // an answer is waited for so long where few ask ...
	longTimeout         = 2500 * time.Millisecond // ... and where many do, since it may have its turn after 2 s
	maxOlderLists       = 3                       // whole lists in a row older than what is known: the registry has begun anew
)

// What a silent watch misses counts as told so long after it fell silent, and a
// drain in it is to be obeyed from then on. The worst case from its last byte until
// its successor's answer has begun lies under that for a fleet of any size:
// Silence + pause + silentSpan + soon, 5.6 s.
const (
	NotifiedAfter   = 6 * time.Second
	SilenceTimeout  = 3 * time.Second // a watch says something every 2 s
	maxSilentSpread = 1500 * time.Millisecond
)

// Call is one call to the registry.
type Call struct {
	Complete     bool          // the whole list; else a watch
	FromRevision int64         // of a watch: the version that is known
	Delay        time.Duration // not before
	Timeout      time.Duration // how long its answer may take to begin
}

// Outcome is how a call ended.
type Outcome uint8

// Ends of a call.
const (
	Served          Outcome = iota + 1 // a list was had whole; or a watch was, for as long as it lasted
	Rejected                           // turned away: the registry is there and has too much to do
	Unanswered                         // nothing came in time, or there was no connection
	Malformed                          // what came cannot be read: what is known is not certain any more
	RevisionUnknown                    // the version is not known there
	Silent                             // a watch said nothing for Silence: it is dead, and tells nothing of the registry's load
)

func (e Outcome) String() string {
	return [...]string{"none", "served", "refused", "unheard", "garbled", "foreign", "silent"}[min(e, Silent)]
}

// Scheduler is one relay's side of one registry.
type Scheduler struct {
	rng             *rand.Rand
	baseSpread      time.Duration
	failures        int
	rejections      int   // of them, turned away in a row
	revision        int64 // what is known
	hasRevision     bool
	heardHere       bool // from this address
	olderLists      int  // whole lists in a row that were older
	delayNext       bool
	watchFellSilent bool // the last call was a watch that fell silent
	registryLost    bool // the last call was not heard: the registry is gone, and tells at its return what counts at once
}

// New makes the follower of a relay among so many (fewer than 1 counts as 1),
// which draws from its own seed.
func New(relays int, seed uint64) *Scheduler {
	span := min(time.Duration(min(max(relays, 1), 1000))*spreadPerRelay, maxBaseSpread)
	return &Scheduler{rng: rand.New(rand.NewPCG(seed, 0xd15c07e12)), baseSpread: span}
}

// SetRevision tells which version the relay was given at its start.
func (f *Scheduler) SetRevision(rev int64) { f.revision, f.hasRevision = rev, true }

// ChangeAddress leaves for another address. Its versions may be its own.
func (f *Scheduler) ChangeAddress() {
	f.hasRevision, f.heardHere, f.olderLists, f.failures, f.rejections, f.delayNext = false, false, 0, 0, 0, false
	f.watchFellSilent, f.registryLost = false, false
}

// HasRevision reports whether the list is known up to a version.
func (f *Scheduler) HasRevision() bool { return f.hasRevision }

// NextCall is the next call.
func (f *Scheduler) NextCall() Call {
	c := Call{Complete: !f.hasRevision, FromRevision: f.revision, Timeout: shortTimeout}
	if !f.watchFellSilent && (f.baseSpread >= shortTimeout || f.failures >= 2) {
		c.Timeout = longTimeout
	}
	if f.delayNext {
		c.Delay = minDelay + time.Duration(f.rng.Float64()*float64(f.spread()))
	}
	f.delayNext = true
	return c
}

// spread is the span over which the next call is drawn.
func (f *Scheduler) spread() time.Duration {
	if f.watchFellSilent {
		return min(f.baseSpread, maxSilentSpread)
	}
	if f.registryLost && f.rejections == 0 {
		return min(f.baseSpread<<min(f.failures, 10), maxUnansweredSpread)
	}
	if f.rejections > 0 {
		return min(f.baseSpread<<min(f.rejections, 10), maxRejectedSpread)
	}
	return min(f.baseSpread<<min(f.failures, 10), max(f.baseSpread, maxUnansweredSpread)) // what it said was of no use
}

// CallEnded books the end of a call that took so long. A watch that broke sooner
// than this relay would call again by itself counts as one in vain.
func (f *Scheduler) CallEnded(c Call, e Outcome, took time.Duration) {
	switch {
	case e == Served && (c.Complete || took > f.spread()):
		f.failures, f.rejections = 0, 0
	case e == Silent: // it was let in, and its registry may serve the next one at once
		f.failures, f.rejections = 0, 0
	default:
		f.failures++
	}
	// What was spoilt once may have been word of a drain.
	f.watchFellSilent, f.registryLost = e == Silent, e == Unanswered || f.failures == 1 && (e == Malformed || e == RevisionUnknown)
	if e == Rejected || e == Served && f.failures > 0 { // or let in and dropped: no better
		f.rejections++
	}
	if e == Malformed || e == RevisionUnknown {
		f.hasRevision = false
	}
	if c.Complete && e == Served {
		f.delayNext = false // the watch follows at once: it is the same news
	}
}

// Verdict is what a list is worth.
type Verdict uint8

// Verdicts.
const (
	Accept Verdict = iota + 1
	Ignore         // older than what is known
	Resync         // it builds on nothing that is known: the whole list is needed
)

// Judge judges a list, or what changed in it. A version older than one heard
// from the same registry is not believed: an endpoint that drains would be sent
// to again. But one that shows an older whole list often enough has begun anew.
func (f *Scheduler) Judge(rev int64, whole bool) Verdict {
	older := rev < f.revision
	switch {
	case whole && older && f.heardHere && f.olderLists+1 < maxOlderLists:
		f.olderLists++
		return Ignore
	case !whole && (!f.hasRevision || older && !f.heardHere):
		f.hasRevision = false
		return Resync
	case !whole && older:
		return Ignore
	}
	f.revision, f.hasRevision, f.heardHere, f.olderLists = rev, true, true, 0
	return Accept
}
