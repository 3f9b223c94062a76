package tlspolicy

import (
	"math/rand/v2"
	"time"
)

// A destination whose proof failed is out, for a cause of its own. Messages do
// not bring it back: it is asked again on a schedule, one handshake at a time.

// Figures of the schedule.
const (
	initialBackoff      = time.Second     // after a first failure
	maxBackoff          = 2 * time.Minute // doubled each time up to this
	clockSuspicionCount = 3               // destinations out of time at once, and none sound: our own clock, rather
)

// trustState is what is known of one destination's proofs.
type trustState struct {
	failure    *IdentityError
	since      time.Time
	retryAt    time.Time
	backoff    time.Duration
	retrying   bool
	validUntil time.Time // of the last proof
}

// TrustTracker keeps the trust in all destinations. It is not safe for several
// goroutines; times must not go back.
type TrustTracker struct {
	rng             *rand.Rand
	states          map[int]*trustState
	rejected        int // destinations that are out
	outsideValidity int // of them, those out of time
	verified        int
	clockReported   bool // it was said that our own clock may be wrong
}

// NewTrustTracker makes a book that trusts nobody and distrusts nobody yet.
func NewTrustTracker(seed uint64) *TrustTracker {
	return &TrustTracker{rng: rand.New(rand.NewPCG(seed, 0x715)), states: map[int]*trustState{}}
}

func (b *TrustTracker) state(dest int) *trustState {
	t := b.states[dest]
	if t == nil {
		t = &trustState{}
		b.states[dest] = t
	}
	return t
}

// Rejection is why a destination gets nothing, and since when; nil where it is not out.
func (b *TrustTracker) Rejection(dest int) (*IdentityError, time.Time) {
	if t := b.states[dest]; t != nil {
		return t.failure, t.since
	}
	return nil, time.Time{}
}

// MayRetry reports whether a handshake may be begun, and else from when on. One
// that is out is asked by one handshake at a time.
func (b *TrustTracker) MayRetry(dest int, now time.Time) (bool, time.Time) {
	t := b.states[dest]
	if t == nil || t.failure == nil {
		return true, time.Time{}
	}
	if t.retrying {
		return false, now.Add(initialBackoff)
	}
	return !now.Before(t.retryAt), t.retryAt
}

// RetryStarted is told that a handshake began.
func (b *TrustTracker) RetryStarted(dest int) { b.state(dest).retrying = true }

// LogMessage is what a change of trust is worth telling; empty for nothing.
type LogMessage string

// RecordFailure is told of a proof that was not accepted.
func (b *TrustTracker) RecordFailure(dest int, f *IdentityError, now time.Time) LogMessage {
	t := b.state(dest)
	t.retrying = false
	said := LogMessage("")
	if t.failure == nil {
		b.rejected++
		if !t.validUntil.IsZero() {
			b.verified--
		}
		t.since, t.backoff = now, initialBackoff
		said = LogMessage("out: " + f.Error())
	} else {
		b.outsideValidity -= validityFailures(t.failure)
		t.backoff = min(2*t.backoff, maxBackoff)
		if t.failure.Cause != f.Cause {
			said = LogMessage("out for another cause: " + f.Error())
		}
	}
	t.failure, t.validUntil = f, time.Time{}
	b.outsideValidity += validityFailures(f)
	// Spread: relays that share nothing must not ask in step.
	t.retryAt = now.Add(t.backoff/2 + time.Duration(b.rng.Int64N(int64(t.backoff))))
	if !b.clockReported && b.outsideValidity >= clockSuspicionCount && b.verified == 0 {
		b.clockReported = true
		return "every partner's certificate is out of time: this machine's clock may be wrong"
	}
	if b.clockReported { // said once for all of them
		return ""
	}
	return said
}

func validityFailures(f *IdentityError) int {
	if f.Cause == Expired || f.Cause == NotYetValid {
		return 1
	}
	return 0
}

// RecordVerified is told of a proof that was accepted.
func (b *TrustTracker) RecordVerified(dest int, p *Verification) LogMessage {
	t := b.state(dest)
	t.retrying = false
	was := t.failure
	if was != nil {
		b.rejected--
		b.outsideValidity -= validityFailures(was)
	}
	if was != nil || t.validUntil.IsZero() {
		b.verified++
	}
	b.clockReported = false
	t.failure, t.validUntil, t.backoff = nil, p.ValidUntil, 0
	if was != nil {
		return LogMessage("back: proved again after " + was.Cause.String())
	}
	return ""
}

// RecordInconclusive is told that a handshake ended with no proof, good or bad: a reset, a
// time-out. Trust is as it was.
func (b *TrustTracker) RecordInconclusive(dest int) { b.state(dest).retrying = false }

// Remove drops a destination that has gone.
func (b *TrustTracker) Remove(dest int) {
	if t := b.states[dest]; t != nil {
		if t.failure != nil {
			b.rejected--
			b.outsideValidity -= validityFailures(t.failure)
		} else if !t.validUntil.IsZero() {
			b.verified--
		}
		delete(b.states, dest)
	}
}

// ValidUntil is when the proof of a destination's last handshake ends; false where
// there is none.
func (b *TrustTracker) ValidUntil(dest int) (time.Time, bool) {
	t := b.states[dest]
	if t == nil || t.validUntil.IsZero() {
		return time.Time{}, false
	}
	return t.validUntil, true
}

// Counts is how many destinations are out, and how many have proved themselves.
func (b *TrustTracker) Counts() (out, sound int) { return b.rejected, b.verified }
