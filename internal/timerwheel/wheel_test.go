package timerwheel

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// modelTimers is the model: the time of each timer, without any order.
type modelTimers map[uint32]int64

func (m modelTimers) due(now int64) (ids []uint32) {
	for id, at := range m {
		if at <= now {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// modelRun drives a wheel with random calls and checks it against the model.
type modelRun struct {
	t     *testing.T
	seed  uint64
	rng   *rand.Rand
	wheel *Wheel
	model modelTimers
	tick  int64
	now   int64
}

// Every timer fires once, never before its time, and with no more than a tick
// between its time and a call that could tell of it; whatever is set, moved and
// cancelled in between, and however little is done in one call.
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
				t.Fatalf("seed %d: %d timers, want %d", seed, run.wheel.Len(), len(run.model))
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
	r.model[id] = max(at, r.now) // what is due already fires with the next tick
}

func (r *modelRun) advance() {
	r.t.Helper()
	if next, ok := r.wheel.Next(); ok && r.rng.IntN(2) == 0 {
		r.now = max(r.now, next) // exactly when something is to be looked at
	} else {
		r.now += r.rng.Int64N(int64(1) << r.rng.IntN(34))
	}
	if next, ok := r.wheel.Next(); ok && next > r.now {
		if due := r.model.due(r.now - r.tick); len(due) > 0 {
			r.t.Fatalf("seed %d: next at %d, and %d is due at %d", r.seed, next, due[0], r.model[due[0]])
		}
	}
	due := r.fire()
	slices.Sort(due)
	for i, id := range due {
		if at, set := r.model[id]; !set || at > r.now || i > 0 && due[i-1] == id {
			r.t.Fatalf("seed %d: %d fired at %d, set %v for %d", r.seed, id, r.now, set, at)
		}
		delete(r.model, id)
	}
	if late := r.model.due(r.now - r.tick); len(late) > 0 {
		r.t.Fatalf("seed %d: %d is late: %d, now %d, tick %d", r.seed, late[0], r.model[late[0]], r.now, r.tick)
	}
}

// fire advances the wheel in small calls, and cancels other timers in between.
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

// The work of one call is what the caller allows, also when all timers are in
// one slot and that one has to be processed again a level further down.
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
			t.Fatalf("%d in one call", len(due)-before)
		}
	}
	if len(due) != n || w.Len() != 0 {
		t.Fatalf("%d fired, %d are left", len(due), w.Len())
	}
	if calls < n/maxTimers {
		t.Errorf("%d calls", calls)
	}
	if !slices.IsSorted(due) {
		t.Error("timers of equal time do not fire in the order in which they were set")
	}
}

// A hundred thousand timers that fire at the same time: the longest call, beside
// what the runtime's own timers need for the same.
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

// What a connection does with its timer: move it for each command.
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
