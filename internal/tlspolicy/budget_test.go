package tlspolicy

import (
	"math/rand/v2"
	"testing"
	"time"
)

func newBudget(t *testing.T, l HandshakeLimits) *HandshakeBudget {
	t.Helper()
	b, err := NewHandshakeBudget(l, noon)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Over any window, the handshakes granted take the share of it and one burst at most;
// one destination never has more in flight than the limit, a cold one never more than
// one.
func TestHandshakeBudgetIsNeverExceeded(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 4))
		l := DefaultHandshakeLimits()
		l.Share = 0.05 + rng.Float64()*0.5
		b := newBudget(t, l)
		type grant struct {
			at   time.Time
			cost time.Duration
		}
		var grants []grant
		type open struct {
			s    Reservation
			cold bool
		}
		var inFlight []open
		now := noon
		granted, refused := 0, 0
		for range 600 {
			now = now.Add(time.Duration(rng.IntN(4000)) * time.Microsecond)
			if len(inFlight) > 0 && rng.IntN(3) == 0 {
				i := rng.IntN(len(inFlight))
				b.Complete(inFlight[i].s, inFlight[i].s.reserved, true, now) // it took what was expected
				inFlight = append(inFlight[:i], inFlight[i+1:]...)
			}
			dest, kind, cold := rng.IntN(5), HandshakeKind(rng.IntN(2)), rng.IntN(2) == 0
			s, ok, at := b.Reserve(dest, kind, cold, now)
			n := 0
			for _, f := range inFlight {
				if f.s.destination == dest {
					n++
				}
			}
			if !ok {
				refused++
				if !at.IsZero() && !at.After(now) {
					t.Fatalf("seed %d: retried at once", seed)
				}
				continue
			}
			granted++
			if n >= l.MaxParallel || cold && n > 0 {
				t.Fatalf("seed %d: granted with %d in flight, cold: %v", seed, n, cold)
			}
			inFlight = append(inFlight, open{s, cold})
			grants = append(grants, grant{now, s.reserved})
			if b.InFlight() != len(inFlight) {
				t.Fatalf("seed %d: %d in flight, want %d", seed, b.InFlight(), len(inFlight))
			}
		}
		for i := range grants {
			sum := time.Duration(0)
			for j := i; j < len(grants); j++ {
				sum += grants[j].cost
				window := grants[j].at.Sub(grants[i].at)
				if most := l.Burst + time.Duration(l.Share*float64(window)) + time.Duration(len(grants)); sum > most {
					t.Fatalf("seed %d: %v of handshakes in %v, %v allowed", seed, sum, window, most)
				}
			}
		}
		if granted < 20 || refused < 20 {
			t.Errorf("seed %d: %d granted, %d refused", seed, granted, refused)
		}
	}
}

// Asked again at the time that it returned, the budget grants a handshake.
func TestReserveRetryTime(t *testing.T) {
	b := newBudget(t, DefaultHandshakeLimits())
	now, n := noon, 0
	for range 1000 {
		s, ok, at := b.Reserve(1, FullHandshake, false, now)
		if ok {
			n++
			b.Complete(s, s.reserved, true, now)
			continue
		}
		if at.IsZero() {
			t.Fatal("nothing in flight, and no time to ask again")
		}
		if now = at; now.Sub(noon) > 10*time.Second {
			break
		}
	}
	// 50 ms of burst and a quarter of 10 s, at 2 ms each.
	if n < 1200/10*1 || n > 1276 {
		t.Errorf("%d handshakes in %v", n, now.Sub(noon))
	}
}

// The expected cost follows what handshakes take, and one that takes far more than
// expected is paid back before the next.
func TestHandshakeCostIsLearned(t *testing.T) {
	b := newBudget(t, DefaultHandshakeLimits())
	now := noon
	for range 100 {
		now = now.Add(time.Second)
		s, ok, _ := b.Reserve(1, FullHandshake, false, now)
		if !ok {
			t.Fatal("not granted though a second has passed")
		}
		b.Complete(s, 10*time.Millisecond, true, now)
	}
	if c := b.Cost(FullHandshake); c < 9*time.Millisecond || c > 11*time.Millisecond {
		t.Errorf("a full one is expected to take %v, it takes 10 ms", c)
	}
	s, _, _ := b.Reserve(1, FullHandshake, false, now)
	b.Complete(s, 400*time.Millisecond, false, now) // broken off, and expensive
	if c := b.Cost(FullHandshake); c > 11*time.Millisecond {
		t.Errorf("the cost after one that was broken off: %v", c)
	}
	_, ok, at := b.Reserve(2, FullHandshake, false, now)
	if wait := at.Sub(now); ok || wait < time.Second {
		t.Errorf("400 ms over the budget are paid back after %v", wait)
	}
}

func TestHandshakeLimitsValidate(t *testing.T) {
	for name, change := range map[string]func(*HandshakeLimits){
		"no share":             func(l *HandshakeLimits) { l.Share = 0 },
		"more than a core":     func(l *HandshakeLimits) { l.Share = 1.5 },
		"no burst":             func(l *HandshakeLimits) { l.Burst = 0 },
		"no parallel ones":     func(l *HandshakeLimits) { l.MaxParallel = 0 },
		"cost above the burst": func(l *HandshakeLimits) { l.Cost[FullHandshake] = time.Second },
	} {
		t.Run(name, func(t *testing.T) {
			limits := DefaultHandshakeLimits()
			if change(&limits); limits.Validate() == nil {
				t.Error("accepted")
			}
		})
	}
}
