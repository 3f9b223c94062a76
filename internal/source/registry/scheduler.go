// Package registry schedules a relay's calls to the service registry and decides which of the
// received lists are accepted. A Scheduler chooses between fetching the complete list and
// watching for changes after a revision, sets the timeout of each call, and sets the delay
// before the next call after one that was rejected, late, cut off or malformed.
//
// A fleet of relays can overload its registry: when all watches break at the same instant, or
// most relays start at once, a single relay's next call is harmless, but the registry rejects
// most of them when they arrive together, and a rejection costs it as much as an answer. So
// each relay delays its call by a random time. The range of the delay grows with the size of
// the fleet and doubles with each failure; each relay draws from a random generator with a seed
// of its own. After a watch that ended the range is short for a fleet of any size, because the relay
// may miss a drain meanwhile; if the registry rejects that call, the relay backs off. A relay that
// knows a list asks only for the changes after its revision, not for the complete list.
//
// The package opens no sockets, reads no clock, and doesn't merge the registry's list with
// other sources.
package registry

import (
	"math/rand/v2"
	"time"
)

const (
	minDelay       = 100 * time.Millisecond // between any two calls
	spreadPerRelay = 100 * time.Millisecond // for each relay that may call at the same moment
	maxRelays      = 1000                   // the spread doesn't grow beyond that many relays
	maxBaseSpread  = 6 * time.Second        // long enough for the registry to serve a fleet of any size

	// Limits of the spread, which doubles with each consecutive failure.
	maxDoublings     = 10
	maxRejectedDelay = 16 * time.Second // after rejected calls
	// After unanswered calls and after a watch that ended. It is shorter than the drain grace period, within
	// which the relay must stop calls to an endpoint whose drain it may have missed.
	maxUninformedSpread = time.Second

	shortTimeout = time.Second             // for the response headers, in a small fleet
	longTimeout  = 2500 * time.Millisecond // in a large fleet: a call may be queued in the registry for 2 s
)

// Once NotifiedAfter has passed since the last byte of its watch, the relay counts as notified of a
// change, even if the watch fell silent and missed it: from then on it must obey a drain. The next
// call's response therefore has to begin before that. The worst case, for a fleet of any size,
// is SilenceTimeout + minDelay + maxSilentSpread + shortTimeout after the last byte, 5.6 s.
const (
	NotifiedAfter   = 6 * time.Second
	SilenceTimeout  = 3 * time.Second // a live watch sends something every 2 s
	maxSilentSpread = 1500 * time.Millisecond
)

// Call is one call to the registry.
type Call struct {
	Complete     bool          // fetch the complete list; if false, watch for changes
	FromRevision int64         // of a watch: the known revision, after which changes are wanted
	Delay        time.Duration // time to wait before the call
	Timeout      time.Duration // longest wait for the response headers
}

// Outcome is how a call ended.
type Outcome uint8

// Outcomes of a call.
const (
	Served          Outcome = iota + 1 // the complete list was received, or a watch was open until it ended
	Rejected                           // the registry answered that it is overloaded
	Unanswered                         // no response in time, or no connection
	Malformed                          // the response cannot be decoded: the known list may be out of date
	RevisionUnknown                    // the registry does not know the revision
	Silent                             // a watch sent nothing for SilenceTimeout: no sign of overload
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	return [...]string{"none", "served", "refused", "unheard", "garbled", "foreign", "silent"}[min(o, Silent)]
}

// Scheduler schedules the calls of one relay to one registry.
type Scheduler struct {
	rng        *rand.Rand
	baseSpread time.Duration // longest random delay without failures; grows with the fleet

	// Calls.
	delayNext       bool // the next call is delayed
	failures        int  // consecutive failed calls
	rejections      int  // number of rejections among these failures
	watchFellSilent bool // the last call was a watch that fell silent
	// The last call was a watch that ended, was unanswered, or was the first failure and its response was
	// unusable. The relay may have missed a drain, so the next call must not be delayed for long.
	retrySoon bool

	// The list.
	revision            int64
	hasRevision         bool
	revisionFromAddress bool // the revision was received from the current address
	olderLists          int  // consecutive complete lists that were older
}

// New returns the scheduler of one relay in a fleet of the given number of relays; less than 1
// counts as 1. The seed must differ between relays, so that their calls are spread.
func New(relays int, seed uint64) *Scheduler {
	spread := time.Duration(min(max(relays, 1), maxRelays)) * spreadPerRelay
	return &Scheduler{rng: rand.New(rand.NewPCG(seed, 0xd15c07e12)), baseSpread: min(spread, maxBaseSpread)}
}

// SetRevision sets the revision of the list that the relay starts with.
func (s *Scheduler) SetRevision(revision int64) { s.revision, s.hasRevision = revision, true }

// ChangeAddress resets the scheduler for a registry at another address, which may number its
// revisions differently.
func (s *Scheduler) ChangeAddress() {
	s.delayNext, s.failures, s.rejections = false, 0, 0
	s.watchFellSilent, s.retrySoon = false, false
	s.hasRevision, s.revisionFromAddress, s.olderLists = false, false, 0
}

// NextCall returns the call to make next.
func (s *Scheduler) NextCall() Call {
	call := Call{Complete: !s.hasRevision, FromRevision: s.revision, Timeout: shortTimeout}
	if !s.watchFellSilent && (s.baseSpread >= shortTimeout || s.failures >= 2) {
		call.Timeout = longTimeout
	}
	if s.delayNext {
		shortest, longest := s.delays()
		call.Delay = minDelay + shortest + time.Duration(s.rng.Float64()*float64(longest-shortest))
	}
	s.delayNext = true
	return call
}

// delays returns the shortest and the longest random delay of the next call, on top of minDelay. After a
// rejection the registry first gets the time to handle the calls that it has received already.
func (s *Scheduler) delays() (shortest, longest time.Duration) {
	switch {
	case s.watchFellSilent:
		return 0, min(s.baseSpread, maxSilentSpread)
	case s.rejections > 0:
		return s.baseSpread, min(s.baseSpread+s.doubledSpread(s.rejections), maxRejectedDelay)
	case s.retrySoon:
		return 0, min(s.doubledSpread(s.failures), maxUninformedSpread)
	}
	return 0, min(s.doubledSpread(s.failures), max(s.baseSpread, maxUninformedSpread)) // the response was unusable
}

func (s *Scheduler) doubledSpread(failures int) time.Duration {
	return s.baseSpread << min(failures, maxDoublings)
}

// CallEnded records the outcome and the duration of a call. A served watch counts as a failure if it
// lasted no longer than the longest random delay before the next call of a relay without failures.
func (s *Scheduler) CallEnded(call Call, outcome Outcome, took time.Duration) {
	unusable := outcome == Malformed || outcome == RevisionUnknown
	switch {
	case outcome == Served && (call.Complete || took > min(s.baseSpread, maxUninformedSpread)):
		s.failures, s.rejections = 0, 0
	case outcome == Silent: // the registry had accepted the watch, and may serve the next one at once
		s.failures, s.rejections = 0, 0
	default:
		s.failures++
	}
	s.watchFellSilent = outcome == Silent
	// The first unusable response may have contained a drain.
	s.retrySoon = outcome == Unanswered || unusable && s.failures == 1 || outcome == Served && s.failures == 0
	// A watch that was accepted and soon dropped counts as a rejection.
	if outcome == Rejected || outcome == Served && s.failures > 0 {
		s.rejections++
	}
	if unusable {
		s.hasRevision = false
	}
	if call.Complete && outcome == Served {
		s.delayNext = false // the watch begins without delay
	}
}
