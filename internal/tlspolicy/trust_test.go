package tlspolicy

import (
	"errors"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

func newIdentityError(c FailureCause) *IdentityError {
	return &IdentityError{c, "pay", errors.New("test")}
}

// A rejected endpoint is retried by its own schedule: one handshake at a time, never
// sooner than half a backoff that doubles, and never given up.
func TestRetryScheduleOfRejectedDestination(t *testing.T) {
	for seed := range uint64(50) {
		tracker := NewTrustTracker(seed)
		now := noon
		if ok, _ := tracker.MayRetry(1, now); !ok {
			t.Fatal("a new endpoint may not be tried")
		}
		backoff := initialBackoff
		for i := range 12 {
			tracker.RetryStarted(1)
			message := tracker.RecordFailure(1, newIdentityError(Expired), now)
			if (message != "") != (i == 0) {
				t.Fatalf("failure %d logs %q", i, message)
			}
			ok, at := tracker.MayRetry(1, now)
			if wait := at.Sub(now); ok || wait < backoff/2 || wait > backoff*3/2 {
				t.Fatalf("failure %d: retried after %v, the backoff is %v", i, wait, backoff)
			}
			if ok, _ := tracker.MayRetry(1, at.Add(-1)); ok {
				t.Fatal("retried too soon")
			}
			if ok, _ := tracker.MayRetry(1, at); !ok {
				t.Fatal("never retried")
			}
			tracker.RetryStarted(1)
			if ok, _ := tracker.MayRetry(1, at); ok {
				t.Fatal("two handshakes in flight")
			}
			now, backoff = at, min(2*backoff, maxBackoff)
		}
		if f, since := tracker.Rejection(1); f == nil || !since.Equal(noon) {
			t.Fatalf("rejection: %v since %v", f, since)
		}
		message := tracker.RecordVerified(1, &Verification{ValidUntil: now.Add(time.Hour)})
		if !strings.HasPrefix(string(message), "back") {
			t.Errorf("verified again: %q", message)
		}
		if f, _ := tracker.Rejection(1); f != nil {
			t.Error("still rejected")
		}
		if ok, _ := tracker.MayRetry(1, now); !ok {
			t.Error("may not be tried though it is verified")
		}
	}
}

// A clock that is wrong by a year makes every endpoint fail: it is logged once, and not
// for each endpoint. One expired endpoint among valid ones is only that.
func TestWrongLocalClock(t *testing.T) {
	tracker := NewTrustTracker(1)
	messages := []LogMessage{}
	for dest := range 20 {
		if s := tracker.RecordFailure(dest, newIdentityError(NotYetValid), noon); s != "" {
			messages = append(messages, s)
		}
	}
	if len(messages) != clockSuspicionCount || !strings.Contains(string(messages[clockSuspicionCount-1]), "clock") {
		t.Errorf("20 endpoints outside their validity log %q", messages)
	}
	for dest := range 20 {
		tracker.RecordVerified(dest, &Verification{ValidUntil: noon.Add(time.Hour)})
	}
	for dest := range 19 {
		if s := tracker.RecordFailure(dest, newIdentityError(Expired), noon); strings.Contains(string(s), "clock") {
			t.Errorf("%d expired, and another is valid: %q", dest+1, s)
		}
	}
}

// Whatever comes, in whatever order: the counts are those of a plain recount.
func TestTrustTrackerCounts(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 2))
		tracker := NewTrustTracker(seed)
		rejected, verified := map[int]bool{}, map[int]bool{}
		now := noon
		for range 200 {
			dest := rng.IntN(6)
			now = now.Add(time.Duration(rng.IntN(5000)) * time.Millisecond)
			switch rng.IntN(5) {
			case 0, 1:
				tracker.RecordFailure(dest, newIdentityError(FailureCause(1+rng.IntN(int(causeCount)-1))), now)
				rejected[dest] = true
				delete(verified, dest)
			case 2:
				tracker.RecordVerified(dest, &Verification{ValidUntil: now.Add(time.Hour)})
				verified[dest] = true
				delete(rejected, dest)
			case 3:
				tracker.RetryStarted(dest)
				tracker.RecordInconclusive(dest)
			case 4:
				tracker.Remove(dest)
				delete(rejected, dest)
				delete(verified, dest)
			}
			if o, s := tracker.Counts(); o != len(rejected) || s != len(verified) {
				t.Fatalf("seed %d: %d rejected, %d verified; want %d, %d", seed, o, s, len(rejected), len(verified))
			}
			if _, ok := tracker.ValidUntil(dest); ok != verified[dest] {
				t.Fatalf("seed %d: an expiry: %v, verified %v", seed, ok, verified[dest])
			}
		}
	}
}
