package tlspolicy

import (
	"math/rand/v2"
	"time"
)

// An endpoint whose identity was rejected, or that rejected the relay's identity, gets no
// calls. Messages for it cause no handshakes: the relay makes handshakes with it on a
// schedule, one at a time, until one succeeds.

const (
	initialBackoff = time.Second     // after the first rejection
	maxBackoff     = 2 * time.Minute // upper bound of the doubling backoff
	// clockSuspicionCount is how many endpoints must have certificates outside their validity
	// period at once, while no endpoint is verified, for the relay to log that the local clock
	// may be wrong.
	clockSuspicionCount = 3
	// randomStream makes this package's random numbers independent of those of other
	// packages with the same seed.
	randomStream = 0x715
)

// trustState is the trust state of one endpoint.
type trustState struct {
	failure       *IdentityError // of the last rejection; nil unless the endpoint is rejected
	rejectedSince time.Time      // the time of the first rejection since the last verification
	retryAt       time.Time      // when the next scheduled handshake may begin
	backoff       time.Duration
	retrying      bool      // a scheduled handshake is in flight
	validUntil    time.Time // when the last verification expires; zero unless the endpoint is verified
}

// TrustTracker tracks which endpoints are verified and which are rejected. The caller
// chooses the keys that identify the endpoints. It is not safe for concurrent use. The times passed to it
// must not decrease.
type TrustTracker struct {
	rng             *rand.Rand
	states          map[int]*trustState
	rejected        int  // rejected endpoints
	outsideValidity int  // rejected endpoints whose certificates are outside their validity period
	verified        int  // verified endpoints
	clockReported   bool // the suspicion that the clock is wrong was logged
}

// NewTrustTracker returns a tracker without endpoints. The seed determines the jitter of
// retries.
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

// Rejection returns why an endpoint is rejected, and since when; nil if it is not rejected.
func (t *TrustTracker) Rejection(key int) (*IdentityError, time.Time) {
	if state := t.states[key]; state != nil {
		return state.failure, state.rejectedSince
	}
	return nil, time.Time{}
}

// MayRetry reports whether a handshake may begin, and if not, when to ask again. A
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

// RetryStarted records that a handshake with a rejected endpoint was begun.
func (t *TrustTracker) RetryStarted(key int) { t.state(key).retrying = true }

// LogMessage is the log text for a change of trust; empty if there is nothing to log.
type LogMessage string

// RecordFailure records that an identity was rejected, and schedules the next handshake
// with the endpoint. It returns the text to log.
func (t *TrustTracker) RecordFailure(key int, failure *IdentityError, now time.Time) LogMessage {
	state := t.state(key)
	state.retrying = false
	message := t.countFailure(state, failure, now)
	state.failure, state.validUntil = failure, time.Time{}
	// The jitter keeps independent relays from retrying at the same times.
	state.retryAt = now.Add(state.backoff/2 + time.Duration(t.rng.Int64N(int64(state.backoff))))
	if t.clockReported { // the message about the clock replaces those about single endpoints
		return ""
	}
	if t.outsideValidity >= clockSuspicionCount && t.verified == 0 {
		t.clockReported = true
		return "several certificates are expired or not yet valid, none is verified: this machine's clock may be wrong"
	}
	return message
}

// countFailure updates the counts and the endpoint's backoff for a new failure, and
// returns the text to log for it. state still holds the previous failure, if any.
func (t *TrustTracker) countFailure(state *trustState, failure *IdentityError, now time.Time) (message LogMessage) {
	if previous := state.failure; previous == nil {
		t.rejected++
		if !state.validUntil.IsZero() {
			t.verified--
		}
		state.rejectedSince, state.backoff = now, initialBackoff
		message = LogMessage("endpoint rejected, it gets no calls: " + failure.Error())
	} else {
		t.outsideValidity -= validityFailures(previous)
		state.backoff = min(2*state.backoff, maxBackoff)
		if previous.Cause != failure.Cause {
			message = LogMessage("endpoint is still rejected, now for another cause: " + failure.Error())
		}
	}
	t.outsideValidity += validityFailures(failure)
	return message
}

// validityFailures returns 1 if the identity was rejected because a certificate is outside its
// validity period, else 0.
func validityFailures(f *IdentityError) int {
	if f.Cause == Expired || f.Cause == NotYetValid {
		return 1
	}
	return 0
}

// RecordVerified records that an identity was verified. It returns the text to log.
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
		return LogMessage("endpoint verified again, it gets calls; the rejection was for: " + previous.Cause.String())
	}
	return ""
}

// RecordInconclusive records that a handshake ended without a verdict, as by a reset or a
// timeout. The endpoint stays rejected or verified, if it was.
func (t *TrustTracker) RecordInconclusive(key int) { t.state(key).retrying = false }

// Remove removes an endpoint.
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

// ValidUntil returns when an endpoint's last verification expires; false if the endpoint
// is not verified.
func (t *TrustTracker) ValidUntil(key int) (time.Time, bool) {
	state := t.states[key]
	if state == nil || state.validUntil.IsZero() {
		return time.Time{}, false
	}
	return state.validUntil, true
}

// Counts returns how many endpoints are rejected, and how many are verified.
func (t *TrustTracker) Counts() (rejected, verified int) { return t.rejected, t.verified }
