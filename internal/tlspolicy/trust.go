package tlspolicy

import (
	"math/rand/v2"
	"time"
)

// An endpoint whose identity was rejected gets no calls. Messages do not bring it back:
// it is tried again on a schedule, one handshake at a time.

const (
	initialBackoff = time.Second     // after a first rejection
	maxBackoff     = 2 * time.Minute // the backoff doubles up to it
	// clockSuspicionCount is how many endpoints have to be outside their certificates'
	// validity at once, with none verified, before the local clock is suspected.
	clockSuspicionCount = 3
	// randomStream separates this package's random numbers from those of other uses of
	// the same seed.
	randomStream = 0x715
)

// trustState is what is known about one endpoint's identity.
type trustState struct {
	failure    *IdentityError // nil unless rejected
	since      time.Time      // of the first rejection in a row
	retryAt    time.Time
	backoff    time.Duration
	retrying   bool      // a handshake of the schedule is in flight
	validUntil time.Time // of the last verification
}

// TrustTracker knows which endpoints are verified and which rejected, by a key of the
// caller's. It is not safe for concurrent use; times must not go back.
type TrustTracker struct {
	rng             *rand.Rand
	states          map[int]*trustState
	rejected        int // endpoints
	outsideValidity int // rejected endpoints whose certificates are outside their validity
	verified        int // endpoints
	clockReported   bool
}

// NewTrustTracker returns a tracker that knows no endpoint.
func NewTrustTracker(seed uint64) *TrustTracker {
	return &TrustTracker{rng: rand.New(rand.NewPCG(seed, randomStream)), states: map[int]*trustState{}}
}

func (t *TrustTracker) state(key int) *trustState {
	state := t.states[key]
	if state == nil {
		state = &trustState{}
		t.states[key] = state
	}
	return state
}

// Rejection returns why an endpoint is rejected, and since when; nil where it is not.
func (t *TrustTracker) Rejection(key int) (*IdentityError, time.Time) {
	if state := t.states[key]; state != nil {
		return state.failure, state.since
	}
	return nil, time.Time{}
}

// MayRetry reports whether a handshake may begin, and else when to ask again. A
// rejected endpoint has one handshake in flight at a time.
func (t *TrustTracker) MayRetry(key int, now time.Time) (bool, time.Time) {
	state := t.states[key]
	if state == nil || state.failure == nil {
		return true, time.Time{}
	}
	if state.retrying {
		return false, now.Add(initialBackoff)
	}
	return !now.Before(state.retryAt), state.retryAt
}

// RetryStarted records that a handshake with a rejected endpoint has begun.
func (t *TrustTracker) RetryStarted(key int) { t.state(key).retrying = true }

// LogMessage is a change of trust that is worth logging; empty for none.
type LogMessage string

// RecordFailure records that an identity was rejected, and schedules the next handshake.
func (t *TrustTracker) RecordFailure(key int, failure *IdentityError, now time.Time) LogMessage {
	state := t.state(key)
	state.retrying = false
	message := t.countFailure(state, failure, now)
	state.failure, state.validUntil = failure, time.Time{}
	// The jitter keeps relays that share nothing from retrying in step.
	state.retryAt = now.Add(state.backoff/2 + time.Duration(t.rng.Int64N(int64(state.backoff))))
	if t.clockReported { // the one message stands for all of them
		return ""
	}
	if t.outsideValidity >= clockSuspicionCount && t.verified == 0 {
		t.clockReported = true
		return "every partner's certificate is out of time: this machine's clock may be wrong"
	}
	return message
}

// countFailure updates counts and backoff for a failure that follows the state's.
func (t *TrustTracker) countFailure(state *trustState, failure *IdentityError, now time.Time) (message LogMessage) {
	if previous := state.failure; previous == nil {
		t.rejected++
		if !state.validUntil.IsZero() {
			t.verified--
		}
		state.since, state.backoff = now, initialBackoff
		message = LogMessage("out: " + failure.Error())
	} else {
		t.outsideValidity -= validityFailures(previous)
		state.backoff = min(2*state.backoff, maxBackoff)
		if previous.Cause != failure.Cause {
			message = LogMessage("out for another cause: " + failure.Error())
		}
	}
	t.outsideValidity += validityFailures(failure)
	return message
}

// validityFailures is 1 for a certificate outside its validity period, else 0.
func validityFailures(f *IdentityError) int {
	if f.Cause == Expired || f.Cause == NotYetValid {
		return 1
	}
	return 0
}

// RecordVerified records that an identity was verified.
func (t *TrustTracker) RecordVerified(key int, v *Verification) LogMessage {
	state := t.state(key)
	state.retrying = false
	previous := state.failure
	if previous != nil {
		t.rejected--
		t.outsideValidity -= validityFailures(previous)
	}
	if previous != nil || state.validUntil.IsZero() {
		t.verified++
	}
	t.clockReported = false
	state.failure, state.validUntil, state.backoff = nil, v.ValidUntil, 0
	if previous != nil {
		return LogMessage("back: proved again after " + previous.Cause.String())
	}
	return ""
}

// RecordInconclusive records that a handshake ended without a verdict: a reset, a
// timeout. Trust stays as it was.
func (t *TrustTracker) RecordInconclusive(key int) { t.state(key).retrying = false }

// Remove forgets an endpoint.
func (t *TrustTracker) Remove(key int) {
	state := t.states[key]
	if state == nil {
		return
	}
	if state.failure != nil {
		t.rejected--
		t.outsideValidity -= validityFailures(state.failure)
	} else if !state.validUntil.IsZero() {
		t.verified--
	}
	delete(t.states, key)
}

// ValidUntil is when an endpoint's last verification expires; false where there is none.
func (t *TrustTracker) ValidUntil(key int) (time.Time, bool) {
	state := t.states[key]
	if state == nil || state.validUntil.IsZero() {
		return time.Time{}, false
	}
	return state.validUntil, true
}

// Counts returns how many endpoints are rejected, and how many are verified.
func (t *TrustTracker) Counts() (rejected, verified int) { return t.rejected, t.verified }
