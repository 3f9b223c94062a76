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

// A destination that is out is asked by its own schedule: one handshake at a
// time, never sooner than half a pause that doubles, and never given up.
func TestRetryScheduleOfRejectedDestination(t *testing.T) {
	for seed := range uint64(50) {
		b := NewTrustTracker(seed)
		now := noon
		if ok, _ := b.MayRetry(1, now); !ok {
			t.Fatal("a new destination may not be asked")
		}
		pause := initialBackoff
		for i := range 12 {
			b.RetryStarted(1)
			said := b.RecordFailure(1, newIdentityError(Expired), now)
			if (said != "") != (i == 0) {
				t.Fatalf("failure %d says %q", i, said)
			}
			ok, at := b.MayRetry(1, now)
			if wait := at.Sub(now); ok || wait < pause/2 || wait > pause*3/2 {
				t.Fatalf("failure %d: asked again after %v, the pause is %v", i, wait, pause)
			}
			if ok, _ := b.MayRetry(1, at.Add(-1)); ok {
				t.Fatal("asked too soon")
			}
			if ok, _ := b.MayRetry(1, at); !ok {
				t.Fatal("never asked again")
			}
			b.RetryStarted(1)
			if ok, _ := b.MayRetry(1, at); ok {
				t.Fatal("two at a time")
			}
			now, pause = at, min(2*pause, maxBackoff)
		}
		if f, since := b.Rejection(1); f == nil || !since.Equal(noon) {
			t.Fatalf("out: %v since %v", f, since)
		}
		if said := b.RecordVerified(1, &Verification{ValidUntil: now.Add(time.Hour)}); !strings.HasPrefix(string(said), "back") {
			t.Errorf("back: %q", said)
		}
		if f, _ := b.Rejection(1); f != nil {
			t.Error("still out")
		}
		if ok, _ := b.MayRetry(1, now); !ok {
			t.Error("may not be asked though it is back")
		}
	}
}

// A clock that is wrong by a year shows at every partner at once: it is said
// once, and not for each. One expired partner among sound ones is only that.
func TestWrongLocalClock(t *testing.T) {
	b := NewTrustTracker(1)
	said := []LogMessage{}
	for dest := range 20 {
		if s := b.RecordFailure(dest, newIdentityError(NotYetValid), noon); s != "" {
			said = append(said, s)
		}
	}
	if len(said) != clockSuspicionCount || !strings.Contains(string(said[clockSuspicionCount-1]), "clock") {
		t.Errorf("20 partners out of time say %q", said)
	}
	for dest := range 20 {
		b.RecordVerified(dest, &Verification{ValidUntil: noon.Add(time.Hour)})
	}
	for dest := range 19 {
		if s := b.RecordFailure(dest, newIdentityError(Expired), noon); strings.Contains(string(s), "clock") {
			t.Errorf("%d expired, and another is sound: %q", dest+1, s)
		}
	}
}

// Whatever comes, in whatever order: the counts are those of a plain recount.
func TestTrustTrackerCounts(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 2))
		b := NewTrustTracker(seed)
		out, sound := map[int]bool{}, map[int]bool{}
		now := noon
		for range 200 {
			dest := rng.IntN(6)
			now = now.Add(time.Duration(rng.IntN(5000)) * time.Millisecond)
			switch rng.IntN(5) {
			case 0, 1:
				b.RecordFailure(dest, newIdentityError(FailureCause(1+rng.IntN(int(causeCount)-1))), now)
				out[dest] = true
				delete(sound, dest)
			case 2:
				b.RecordVerified(dest, &Verification{ValidUntil: now.Add(time.Hour)})
				sound[dest] = true
				delete(out, dest)
			case 3:
				b.RetryStarted(dest)
				b.RecordInconclusive(dest)
			case 4:
				b.Remove(dest)
				delete(out, dest)
				delete(sound, dest)
			}
			if o, s := b.Counts(); o != len(out) || s != len(sound) {
				t.Fatalf("seed %d: %d out, %d sound; want %d, %d", seed, o, s, len(out), len(sound))
			}
			if _, ok := b.ValidUntil(dest); ok != sound[dest] {
				t.Fatalf("seed %d: an end: %v, sound %v", seed, ok, sound[dest])
			}
		}
	}
}
