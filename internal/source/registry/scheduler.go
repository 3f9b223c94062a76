// Package registry decides when a relay calls discovery's registry, for what, and what it
// believes of the answers: the complete list or the changes after a revision, how long an
// answer is waited for, and when to call again after one that was rejected, late, cut off
// or malformed.
//
// A registry that serves a fleet can be overloaded by the fleet itself: when every watch
// breaks in the same instant, or most relays start at once, each relay's next call is
// harmless and all of them together are rejected, at a cost to the registry that is as
// high as an answer's. So calls are spread over a span that grows with the fleet and, with
// each failure, doubles; each relay draws from its own seed. What is known is asked for
// again by its revision, never as a whole.
//
// It must never open a socket, read a clock, or merge what the registry says with anything
// else.
package registry

import (
	"math/rand/v2"
	"time"
)

const (
	minDelay       = 100 * time.Millisecond // between any two calls
	spreadPerRelay = 100 * time.Millisecond // for each relay that may call at the same moment
	maxRelays      = 1000                   // more than that spread no further
	maxBaseSpread  = 6 * time.Second        // a fleet of any size can be served within some seconds

	// What the spread grows to, doubled by each failure in a row.
	maxDoublings        = 10
	maxRejectedSpread   = 16 * time.Second // where calls are rejected
	maxUnansweredSpread = time.Second      // where nothing is heard: with the timeout under the drain grace period

	shortTimeout = time.Second             // of an answer's head, where few relays call
	longTimeout  = 2500 * time.Millisecond // where many do: an answer may wait for 2 s in the registry
)

// What a silent watch misses counts as notified NotifiedAfter its last byte, and a drain
// in it is to be obeyed from then on. The worst case from that byte until its successor's
// answer has begun lies under that for a fleet of any size:
// SilenceTimeout + minDelay + maxSilentSpread + shortTimeout, 5.6 s.
const (
	NotifiedAfter   = 6 * time.Second
	SilenceTimeout  = 3 * time.Second // a watch says something every 2 s
	maxSilentSpread = 1500 * time.Millisecond
)

// Call is one call to the registry.
type Call struct {
	Complete     bool          // fetches the complete list; else a watch
	FromRevision int64         // of a watch: the revision that is known
	Delay        time.Duration // until it is made
	Timeout      time.Duration // until the head of its answer
}

// Outcome is how a call ended.
type Outcome uint8

// Outcomes of a call.
const (
	Served          Outcome = iota + 1 // a complete list was had; or a watch was, for as long as it lasted
	Rejected                           // the registry is there and has too much to do
	Unanswered                         // nothing came in time, or there was no connection
	Malformed                          // what came cannot be decoded: what is known is not certain any more
	RevisionUnknown                    // the registry does not know the revision
	Silent                             // a watch was, for SilenceTimeout: that tells nothing of the load
)

// String is the outcome as it stands in logs.
func (o Outcome) String() string {
	return [...]string{"none", "served", "refused", "unheard", "garbled", "foreign", "silent"}[min(o, Silent)]
}

// Scheduler is one relay's side of one registry.
type Scheduler struct {
	rng        *rand.Rand
	baseSpread time.Duration

	// Calls.
	delayNext       bool // false for a call that is made at once
	failures        int  // in a row
	rejections      int  // of them, in a row
	watchFellSilent bool // the last call was a watch that did
	registryLost    bool // the last call was unanswered: what the registry says at its return counts at once

	// The list.
	revision    int64
	hasRevision bool
	heardHere   bool // the revision is from this address
	olderLists  int  // complete lists in a row that were older
}

// New makes the scheduler of one relay of a fleet (less than 1 counts as 1), which draws
// from its own seed.
func New(relays int, seed uint64) *Scheduler {
	spread := time.Duration(min(max(relays, 1), maxRelays)) * spreadPerRelay
	return &Scheduler{rng: rand.New(rand.NewPCG(seed, 0xd15c07e12)), baseSpread: min(spread, maxBaseSpread)}
}

// SetRevision sets the revision of the list that the relay was given at its start.
func (s *Scheduler) SetRevision(revision int64) { s.revision, s.hasRevision = revision, true }

// ChangeAddress begins at another address, whose revisions may be its own.
func (s *Scheduler) ChangeAddress() {
	s.delayNext, s.failures, s.rejections = false, 0, 0
	s.watchFellSilent, s.registryLost = false, false
	s.hasRevision, s.heardHere, s.olderLists = false, false, 0
}

// NextCall is the call to make next.
func (s *Scheduler) NextCall() Call {
	call := Call{Complete: !s.hasRevision, FromRevision: s.revision, Timeout: shortTimeout}
	if !s.watchFellSilent && (s.baseSpread >= shortTimeout || s.failures >= 2) {
		call.Timeout = longTimeout
	}
	if s.delayNext {
		call.Delay = minDelay + time.Duration(s.rng.Float64()*float64(s.spread()))
	}
	s.delayNext = true
	return call
}

// spread is the span from which the delay of the next call is drawn.
func (s *Scheduler) spread() time.Duration {
	switch {
	case s.watchFellSilent:
		return min(s.baseSpread, maxSilentSpread)
	case s.rejections > 0:
		return min(s.doubledSpread(s.rejections), maxRejectedSpread)
	case s.registryLost:
		return min(s.doubledSpread(s.failures), maxUnansweredSpread)
	}
	return min(s.doubledSpread(s.failures), max(s.baseSpread, maxUnansweredSpread)) // what it said was of no use
}

func (s *Scheduler) doubledSpread(failures int) time.Duration {
	return s.baseSpread << min(failures, maxDoublings)
}

// CallEnded books the end of a call that took so long. A watch that broke sooner than
// this relay would call again by itself counts as a failure.
func (s *Scheduler) CallEnded(call Call, outcome Outcome, took time.Duration) {
	useless := outcome == Malformed || outcome == RevisionUnknown
	switch {
	case outcome == Served && (call.Complete || took > s.spread()):
		s.failures, s.rejections = 0, 0
	case outcome == Silent: // it was accepted, and its registry may serve the next one at once
		s.failures, s.rejections = 0, 0
	default:
		s.failures++
	}
	s.watchFellSilent = outcome == Silent
	// What was malformed once may have been a drain.
	s.registryLost = outcome == Unanswered || useless && s.failures == 1
	if outcome == Rejected || outcome == Served && s.failures > 0 { // or accepted and dropped: no better
		s.rejections++
	}
	if useless {
		s.hasRevision = false
	}
	if call.Complete && outcome == Served {
		s.delayNext = false // the watch follows at once
	}
}
