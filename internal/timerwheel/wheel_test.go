package timerwheel

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// modelTimers is a simple model of the wheel: a map from timer to time.
type modelTimers map[uint32]int64

// due returns the timers whose time is not after now, in ascending order of their numbers.
func (m modelTimers) due(now int64) (ids []uint32) {
	for id, at := range m {
		if at <= now {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// modelRun makes random calls to a wheel and compares it with the model.
type modelRun struct {
	t     *testing.T
	seed  uint64
	rng   *rand.Rand
	wheel *Wheel
	model modelTimers
	tick  int64
	now   int64
}

// TestMatchesModel sets, moves and cancels timers at random, with a random limit on the work of each
// call to Advance. Every timer must fire once, never before its time, and be reported by the first
// call to Advance that is at least one tick after its time, or by the calls that continue it.
func TestMatchesModel(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		tick := int64(1 + rng.IntN(10))
		now := rng.Int64N(1 << 40)
		run := &modelRun{
			t: t, seed: seed, rng: rng, wheel: New(tick, now), model: modelTimers{}, tick: tick, now: now,
		}
		for range 400 {
			switch id := uint32(rng.IntN(50)); rng.IntN(6) {
			case 0:
				run.cancel(id)
			case 1, 2, 3:
				run.set(id)
			default:
				run.advance()
			}
			if run.wheel.Len() != len(run.model) {
				t.Fatalf("seed %d: Len() = %d, want %d", seed, run.wheel.Len(), len(run.model))
			}
		}
	}
}

func (r *modelRun) cancel(id uint32) {
	r.wheel.Cancel(id)
	delete(r.model, id)
}

func (r *modelRun) set(id uint32) {
	distance := int64(1) << r.rng.IntN(36)
	at := r.now + r.rng.Int64N(distance) - 3
	r.wheel.Set(id, at)
	r.model[id] = max(at, r.now) // a timer that is already due fires with the next tick
}

// advance moves the time on and checks that the right timers fire.
func (r *modelRun) advance() {
	r.t.Helper()
	if next, ok := r.wheel.Next(); ok && r.rng.IntN(2) == 0 {
		r.now = max(r.now, next) // exactly when Advance has a timer to process
	} else {
		r.now += r.rng.Int64N(int64(1) << r.rng.IntN(34))
	}
	if next, ok := r.wheel.Next(); ok && next > r.now {
		if due := r.model.due(r.now - r.tick); len(due) > 0 {
			r.t.Fatalf("seed %d: Next() = %d at time %d, want no later than %d, when timer %d is due",
				r.seed, next, r.now, r.model[due[0]], due[0])
		}
	}
	due := r.fire()
	slices.Sort(due)
	for i, id := range due {
		if at, set := r.model[id]; !set || at > r.now || i > 0 && due[i-1] == id {
			r.t.Fatalf("seed %d: timer %d fired at %d, early, twice or when not set (set: %v, time %d)",
				r.seed, id, r.now, set, at)
		}
		delete(r.model, id)
	}
	if late := r.model.due(r.now - r.tick); len(late) > 0 {
		r.t.Fatalf("seed %d: timer %d, set for %d, has not fired at %d, more than a tick of %d later",
			r.seed, late[0], r.model[late[0]], r.now, r.tick)
	}
}

// fire advances the wheel to r.now in calls with a small limit, and cancels some timers between them.
// It returns the timers that fired.
func (r *modelRun) fire() (due []uint32) {
	for more := true; more; {
		var fired []uint32
		fired, more = r.wheel.Advance(r.now, 1+r.rng.IntN(8), nil)
		due = append(due, fired...)
		if more && r.rng.IntN(3) == 0 {
			if id := uint32(r.rng.IntN(50)); !slices.Contains(due, id) {
				r.cancel(id)
			}
		}
	}
	return due
}

// TestWorkIsBounded sets all timers to the same time, so that they share a slot and have to be moved
// down a level before they fire. No call to Advance may process more timers than the caller allows:
// a longer call would block the caller.
func TestWorkIsBounded(t *testing.T) {
	const n, maxTimers = 100_000, 512
	w := New(10, 0)
	for id := range uint32(n) {
		w.Set(id, 1_000_000)
	}
	var due []uint32
	calls := 0
	for more := true; more; calls++ {
		before := len(due)
		due, more = w.Advance(1_000_000, maxTimers, due)
		if len(due)-before > maxTimers {
			t.Fatalf("Advance(maxTimers %d) fired %d timers", maxTimers, len(due)-before)
		}
	}
	if len(due) != n || w.Len() != 0 {
		t.Fatalf("%d timers fired, %d are left, want %d and 0", len(due), w.Len(), n)
	}
	if calls < n/maxTimers {
		t.Errorf("%d calls to Advance, want at least %d", calls, n/maxTimers)
	}
	if !slices.IsSorted(due) {
		t.Error("timers of equal time did not fire in the order in which they were set")
	}
}

// BenchmarkSimultaneousTimers lets a hundred thousand timers fire at the same time. It measures the
// longest call to Advance and, for comparison, the time in which timers of the Go runtime fire.
func BenchmarkSimultaneousTimers(b *testing.B) {
	const n = 100_000
	b.Run("wheel", func(b *testing.B) {
		longest, due := time.Duration(0), make([]uint32, 0, 512)
		for b.Loop() {
			w := New(10_000, 0)
			for id := range uint32(n) {
				w.Set(id, 4_000_000)
			}
			for more := true; more; {
				at := time.Now()
				due, more = w.Advance(4_000_000, 512, due[:0])
				longest = max(longest, time.Since(at))
			}
		}
		b.ReportMetric(float64(longest.Microseconds())/1000, "worst-turn-ms")
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/n, "ns/timer")
	})
	b.Run("runtime", func(b *testing.B) {
		for b.Loop() {
			fired := make(chan struct{}, n)
			at := time.Now().Add(200 * time.Millisecond)
			for range n {
				time.AfterFunc(time.Until(at), func() { fired <- struct{}{} })
			}
			time.Sleep(time.Until(at))
			startedAt := time.Now()
			for range n {
				<-fired
			}
			b.ReportMetric(float64(time.Since(startedAt).Microseconds())/1000, "in-one-piece-ms")
		}
	})
}

// BenchmarkReset moves timers that are already set, as a connection does with its timer for each
// command.
func BenchmarkReset(b *testing.B) {
	const n = 100_000
	b.Run("wheel", func(b *testing.B) {
		w := New(10_000, 0)
		for i := int64(0); b.Loop(); i++ {
			w.Set(uint32(i%n), 4_000_000+i)
		}
	})
	b.Run("runtime", func(b *testing.B) {
		timers := make([]*time.Timer, n)
		for i := range timers {
			timers[i] = time.AfterFunc(time.Hour, func() {})
		}
		for i := 0; b.Loop(); i++ {
			timers[i%len(timers)].Reset(time.Hour)
		}
		for _, timer := range timers {
			timer.Stop()
		}
	})
}
