package tlspolicy

import (
	"errors"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

func newIdentityError(cause FailureCause) *IdentityError {
	return &IdentityError{cause, "pay", errors.New("test")}
}

// Guards against a rejected endpoint that is retried too soon, with several handshakes at
// a time, or never again. Each wait is half to one and a half times a backoff that doubles
// up to maxBackoff.
func TestRetryScheduleOfRejectedEndpoint(t *testing.T) {
	for seed := range uint64(50) {
		tracker := NewTrustTracker(seed)
		now := noon
		if ok, _ := tracker.MayRetry(1, now); !ok {
			t.Fatal("MayRetry for a new endpoint = false, want true")
		}
		backoff := initialBackoff
		for i := range 12 {
			tracker.RetryStarted(1)
			message := tracker.RecordFailure(1, newIdentityError(Expired), now)
			if (message != "") != (i == 0) {
				t.Fatalf("RecordFailure %d = %q, want a message only for the first", i, message)
			}
			ok, retryAt := tracker.MayRetry(1, now)
			if wait := retryAt.Sub(now); ok || wait < backoff/2 || wait > backoff*3/2 {
				t.Fatalf("after failure %d: MayRetry = %v, wait %v; want false, %v to %v",
					i, ok, wait, backoff/2, backoff*3/2)
			}
			if ok, _ := tracker.MayRetry(1, retryAt.Add(-1)); ok {
				t.Fatal("MayRetry just before retryAt = true, want false")
			}
			if ok, _ := tracker.MayRetry(1, retryAt); !ok {
				t.Fatal("MayRetry at retryAt = false, want true")
			}
			tracker.RetryStarted(1)
			if ok, _ := tracker.MayRetry(1, retryAt); ok {
				t.Fatal("MayRetry with a handshake in flight = true, want false")
			}
			now, backoff = retryAt, min(2*backoff, maxBackoff)
		}
		if failure, since := tracker.Rejection(1); failure == nil || !since.Equal(noon) {
			t.Fatalf("Rejection(1) = %v since %v, want a failure since %v", failure, since, noon)
		}
		message := tracker.RecordVerified(1, &Verification{ValidUntil: now.Add(time.Hour)})
		if !strings.HasPrefix(string(message), "endpoint verified again") {
			t.Errorf("RecordVerified = %q, want a text that begins with \"endpoint verified again\"", message)
		}
		if failure, _ := tracker.Rejection(1); failure != nil {
			t.Errorf("Rejection(1) after a verification = %v, want nil", failure)
		}
		if ok, _ := tracker.MayRetry(1, now); !ok {
			t.Error("MayRetry for a verified endpoint = false, want true")
		}
	}
}

// Guards against one log line for each endpoint when the local clock is wrong and all
// verifications fail: after the first failures one line about the clock must follow, and
// no more. While an endpoint is verified, the clock must not be suspected.
func TestWrongLocalClock(t *testing.T) {
	tracker := NewTrustTracker(1)
	messages := []LogMessage{}
	for endpoint := range 20 {
		if message := tracker.RecordFailure(endpoint, newIdentityError(NotYetValid), noon); message != "" {
			messages = append(messages, message)
		}
	}
	if len(messages) != clockSuspicionCount || !strings.Contains(string(messages[clockSuspicionCount-1]), "clock") {
		t.Errorf("20 endpoints outside their validity period: messages %q, want %d, the last about the clock",
			messages, clockSuspicionCount)
	}
	for endpoint := range 20 {
		tracker.RecordVerified(endpoint, &Verification{ValidUntil: noon.Add(time.Hour)})
	}
	for endpoint := range 19 {
		if m := tracker.RecordFailure(endpoint, newIdentityError(Expired), noon); strings.Contains(string(m), "clock") {
			t.Errorf("RecordFailure with %d endpoints expired and one verified = %q, want no text about the clock",
				endpoint+1, m)
		}
	}
}

// Guards against counts that drift from the endpoints' states, in random sequences of
// events.
func TestTrustTrackerCounts(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 2))
		tracker := NewTrustTracker(seed)
		rejected, verified := map[int]bool{}, map[int]bool{}
		now := noon
		for range 200 {
			endpoint := rng.IntN(6)
			now = now.Add(time.Duration(rng.IntN(5000)) * time.Millisecond)
			switch rng.IntN(5) {
			case 0, 1:
				tracker.RecordFailure(endpoint, newIdentityError(FailureCause(1+rng.IntN(int(causeCount)-1))), now)
				rejected[endpoint] = true
				delete(verified, endpoint)
			case 2:
				tracker.RecordVerified(endpoint, &Verification{ValidUntil: now.Add(time.Hour)})
				verified[endpoint] = true
				delete(rejected, endpoint)
			case 3:
				tracker.RetryStarted(endpoint)
				tracker.RecordInconclusive(endpoint)
			case 4:
				tracker.Remove(endpoint)
				delete(rejected, endpoint)
				delete(verified, endpoint)
			}
			if r, v := tracker.Counts(); r != len(rejected) || v != len(verified) {
				t.Fatalf("seed %d: Counts() = %d, %d, want %d, %d", seed, r, v, len(rejected), len(verified))
			}
			if _, ok := tracker.ValidUntil(endpoint); ok != verified[endpoint] {
				t.Fatalf("seed %d: ValidUntil(%d) = %v, want %v", seed, endpoint, ok, verified[endpoint])
			}
		}
	}
}
