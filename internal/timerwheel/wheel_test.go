package timerwheel

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The model: a plain list of moments.
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

// Every timer comes once, never before its moment, and with no more than a
// tick between the moment and a call that could tell of it; whatever is set,
// moved and cancelled in between, and however small the turns are.
func TestMatchesModel(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		tick := int64(1 + rng.IntN(10))
		now := rng.Int64N(1 << 40)
		w, m := New(tick, now), modelTimers{}
		for range 400 {
			switch id := uint32(rng.IntN(50)); rng.IntN(6) {
			case 0:
				w.Cancel(id)
				delete(m, id)
			case 1, 2, 3:
				far := int64(1) << rng.IntN(36)
				at := now + rng.Int64N(far) - 3
				w.Set(id, at)
				m[id] = max(at, now) // what is due already comes with the next tick
			default:
				if next, ok := w.Next(); ok && rng.IntN(2) == 0 {
					now = max(now, next) // exactly when something is to be looked at
				} else {
					now += rng.Int64N(int64(1) << rng.IntN(34))
				}
				if next, ok := w.Next(); ok && next > now {
					if due := m.due(now - tick); len(due) > 0 {
						t.Fatalf("seed %d: next at %d, and %d is due at %d", seed, next, due[0], m[due[0]])
					}
				}
				var due []uint32
				for more := true; more; {
					var got []uint32
					got, more = w.Advance(now, 1+rng.IntN(8), nil)
					due = append(due, got...)
					if more && rng.IntN(3) == 0 { // in the middle of a turn
						id := uint32(rng.IntN(50))
						if slices.Contains(due, id) {
							continue
						}
						w.Cancel(id)
						delete(m, id)
					}
				}
				slices.Sort(due)
				for i, id := range due {
					if at, set := m[id]; !set || at > now || i > 0 && due[i-1] == id {
						t.Fatalf("seed %d: %d came at %d, set %v for %d", seed, id, now, set, at)
					}
					delete(m, id)
				}
				if late := m.due(now - tick); len(late) > 0 {
					t.Fatalf("seed %d: %d is late: %d, now %d, tick %d", seed, late[0], m[late[0]], now, tick)
				}
			}
			if w.Len() != len(m) {
				t.Fatalf("seed %d: %d timers, want %d", seed, w.Len(), len(m))
			}
		}
	}
}

// The work of one call is what the caller allows, also when all timers are in
// one slot and that one has to be gone through again a level further down.
func TestWorkIsBounded(t *testing.T) {
	const n = 100_000
	w := New(10, 0)
	for id := range uint32(n) {
		w.Set(id, 1_000_000)
	}
	var due []uint32
	calls := 0
	for more := true; more; calls++ {
		before := len(due)
		due, more = w.Advance(1_000_000, 512, due)
		if len(due)-before > 512 {
			t.Fatalf("%d in one call", len(due)-before)
		}
	}
	if len(due) != n || w.Len() != 0 {
		t.Fatalf("%d came, %d are left", len(due), w.Len())
	}
	if calls < n/512 {
		t.Errorf("%d calls", calls)
	}
	if !slices.IsSorted(due) {
		t.Error("equal moments do not come in the order in which they were set")
	}
}

// A hundred thousand timers that end in the same instant: the longest turn,
// beside what the runtime's own timers need for the same.
func BenchmarkSimultaneousTimers(b *testing.B) {
	const n = 100_000
	b.Run("wheel", func(b *testing.B) {
		worst, due := time.Duration(0), make([]uint32, 0, 512)
		for b.Loop() {
			w := New(10_000, 0)
			for id := range uint32(n) {
				w.Set(id, 4_000_000)
			}
			for more := true; more; {
				at := time.Now()
				due, more = w.Advance(4_000_000, 512, due[:0])
				worst = max(worst, time.Since(at))
			}
		}
		b.ReportMetric(float64(worst.Microseconds())/1000, "worst-turn-ms")
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/n, "ns/timer")
	})
	b.Run("runtime", func(b *testing.B) {
		for b.Loop() {
			done := make(chan struct{}, n)
			at := time.Now().Add(200 * time.Millisecond)
			for range n {
				time.AfterFunc(time.Until(at), func() { done <- struct{}{} })
			}
			time.Sleep(time.Until(at))
			begun := time.Now()
			for range n {
				<-done
			}
			b.ReportMetric(float64(time.Since(begun).Microseconds())/1000, "in-one-piece-ms")
		}
	})
}

// What a connection does with its timer: move it for each command.
func BenchmarkReset(b *testing.B) {
	b.Run("wheel", func(b *testing.B) {
		w := New(10_000, 0)
		for i := int64(0); b.Loop(); i++ {
			w.Set(uint32(i%100_000), 4_000_000+i)
		}
	})
	b.Run("runtime", func(b *testing.B) {
		all := make([]*time.Timer, 100_000)
		for i := range all {
			all[i] = time.AfterFunc(time.Hour, func() {})
		}
		for i := 0; b.Loop(); i++ {
			all[i%len(all)].Reset(time.Hour)
		}
		for _, t := range all {
			t.Stop()
		}
	})
}
