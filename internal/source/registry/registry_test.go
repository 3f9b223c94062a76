package registry

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// queue is a registry that serves so many calls a second, turns a call away
// where its answer would come more than 2 s late, and works for that as well.
type queue struct {
	rate    float64
	free    time.Duration // when it has done all that it has begun
	refused int
	served  int
}

func (q *queue) call(now time.Duration) (End, time.Duration) {
	q.free = max(q.free, now) + time.Duration(float64(time.Second)/q.rate)
	if q.free-now > 2*time.Second {
		q.refused++
		return Refused, 0
	}
	q.served++
	return Served, q.free - now
}

// fleet lets the watches of n relays break at moment 0 and plays until each has
// one again, or the time is up. It returns when the last one had, and when half
// of them had.
func fleet(n int, rate float64, seed uint64, most time.Duration, reach func(f *Follower) time.Duration) (last, half time.Duration, q *queue) {
	q = &queue{rate: rate}
	fs, at, call := make([]*Follower, n), make([]time.Duration, n), make([]Call, n)
	var done []time.Duration
	for i := range fs {
		fs[i] = New(n, seed*1000+uint64(i))
		fs[i].Know(4)
		c := fs[i].Next()
		fs[i].Take(4, false)
		fs[i].Ended(c, Served, time.Hour)
		call[i] = fs[i].Next()
		if at[i] = call[i].After; reach != nil {
			at[i] = reach(fs[i])
		}
	}
	for len(done) < n {
		i := 0
		for j := range at {
			if at[j] < at[i] {
				i = j
			}
		}
		now := at[i]
		if now > most {
			break
		}
		end, took := q.call(now)
		if end == Served && took <= call[i].Patience {
			done = append(done, now+took)
			at[i] = time.Hour
			continue
		}
		fs[i].Ended(call[i], end, took)
		call[i] = fs[i].Next()
		if at[i] = now + took + call[i].After; reach != nil {
			at[i] = now + took + reach(fs[i])
		}
	}
	if len(done) < n {
		return most, most, q
	}
	slices.Sort(done)
	return done[n-1], done[n/2], q
}

// Guards against a fleet that uses its registry up: after all watches break at
// once each relay has one again within a few times of what the registry needs
// for all of them, and half of them much sooner. Asking again at once, in step,
// is what it guards against: then nobody is served.
func TestFleetIsServedAgain(t *testing.T) {
	for _, n := range []int{3, 20, 80, 300} {
		for _, all := range []float64{2, 5, 8} { // s for a call from each
			if float64(n)/all < 4 && !(n == 3 && all == 2) {
				continue // hardly a call would have its answer in time
			}
			worst, worstHalf, calls := time.Duration(0), time.Duration(0), 0
			for seed := range uint64(10) {
				last, half, q := fleet(n, float64(n)/all, seed, time.Minute, nil)
				worst, worstHalf, calls = max(worst, last), max(worstHalf, half), max(calls, q.served+q.refused)
			}
			if worst > 25*time.Second || worstHalf > 12*time.Second || calls > 2*n+20 {
				t.Errorf("%d relays, %g s: last %v, half %v, %d calls", n, all, worst, worstHalf, calls)
			}
		}
	}
	_, half, q := fleet(80, 80.0/8, 1, 30*time.Second, func(*Follower) time.Duration { return 200 * time.Millisecond })
	if half < 30*time.Second || q.refused < 2000 {
		t.Errorf("in step: half served after %v, %d refused; the model can't tell", half, q.refused)
	}
}

// Few relays ask again nearly at once: nothing is gained by waiting.
func TestFewAskSoon(t *testing.T) {
	for n, most := range map[int]time.Duration{0: 200 * time.Millisecond, 1: 200 * time.Millisecond, 3: 400 * time.Millisecond, 1 << 40: spanMost + pause} {
		f := New(n, 7)
		f.Know(1)
		for range 200 {
			c := f.Next()
			if c.After > most {
				t.Fatalf("%d relays: %v", n, c.After)
			}
			f.Take(1, false)
			f.Ended(c, Served, time.Minute)
		}
	}
}

// The first call is made at once. What is known is asked for by its version;
// what cannot be read, or builds on nothing, makes the whole list be had.
func TestWhatIsAsked(t *testing.T) {
	f := New(80, 1)
	if c := f.Next(); !c.Whole || c.After != 0 {
		t.Fatalf("first %+v", c)
	} else if f.Take(7, true) != Believe {
		t.Fatal("a first list is not believed")
	} else {
		f.Ended(c, Served, 0)
	}
	c := f.Next()
	if c.Whole || c.From != 7 || c.After != 0 {
		t.Fatalf("the watch does not follow its list at once: %+v", c)
	}
	f.Ended(c, Refused, 0)
	if c = f.Next(); c.Whole || c.From != 7 || c.After < pause || c.Patience != late {
		t.Fatalf("a refusal forgets the version, or its pause: %+v", c)
	}
	f.Ended(c, Garbled, 0)
	if c = f.Next(); !c.Whole {
		t.Fatalf("after what cannot be read: %+v", c)
	}
	f.Take(8, true)
	f.Ended(c, Served, 0)
	f.Move()
	if c = f.Next(); !c.Whole || c.After != 0 {
		t.Fatalf("at another address: %+v", c)
	}
	g := New(80, 1)
	g.Know(41)
	if c = g.Next(); c.Whole || c.From != 41 || c.After != 0 {
		t.Fatalf("with a list from before: %+v", c)
	}
	g.Ended(c, Foreign, 0)
	if c = g.Next(); !c.Whole {
		t.Fatalf("its version is not known there: %+v", c)
	}
}

// Against any order of lists: what is believed never grows older, but for a
// registry that says the same thrice; changes are never believed on nothing.
func TestVersions(t *testing.T) {
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		f := New(80, seed)
		at, known, older := int64(-1), false, 0
		if rng.IntN(2) == 0 {
			f.Know(5)
			known = true
		}
		for range 30 {
			rev, whole := rng.Int64N(10), rng.IntN(3) == 0
			v := f.Take(rev, whole)
			switch {
			case whole && rev < at:
				if older++; (v == Believe) != (older >= oldMost) {
					t.Fatalf("seed %d: older for the %d. time: %d", seed, older, v)
				}
			case whole:
				if v != Believe {
					t.Fatalf("seed %d: whole list %d after %d: %d", seed, rev, at, v)
				}
			case v == Believe && (!known || rev < at):
				t.Fatalf("seed %d: changes up to %d believed after %d, known %v", seed, rev, at, known)
			case v == Ask:
				known = false
			}
			if v == Believe {
				at, known, older = rev, true, 0
			}
			if f.Known() != known {
				t.Fatalf("seed %d: known %v, want %v", seed, f.Known(), known)
			}
		}
	}
}

// A watch that breaks as soon as it stands is as bad as none: calls back off.
func TestWatchThatBreaksAtOnce(t *testing.T) {
	f, now, calls := New(80, 3), time.Duration(0), 0
	f.Know(1)
	for ; now < time.Minute; calls++ {
		c := f.Next()
		now += c.After + time.Millisecond
		f.Take(1, false)
		f.Ended(c, Served, time.Millisecond)
	}
	if calls > 14 {
		t.Errorf("%d calls in a minute", calls)
	}
}

// A watch that falls silent is replaced before what it missed counts as told, in a
// fleet of any size and whatever came before, and a silent watch is no busy
// registry: the span does not grow. A watch that its registry closes is.
func TestSilentWatchIsReplacedInTime(t *testing.T) {
	for _, n := range []int{1, 3, 60, 300, 1 << 20} {
		worst := time.Duration(0)
		for seed := range uint64(300) {
			f := New(n, seed)
			f.Know(1)
			if seed%3 == 1 {
				f.Ended(f.Next(), Refused, 0)
			}
			for range 1 + seed%5 { // again and again, each sooner than the span
				c := f.Next()
				f.Take(1, false)
				f.Ended(c, Silent, Silence)
				next := f.Next()
				worst = max(worst, Silence+next.After+next.Patience)
				if next.Whole || next.From != 1 {
					t.Fatalf("%d relays: %+v", n, next)
				}
			}
		}
		if worst >= ToldAfter {
			t.Errorf("%d relays: a successor's answer may come %v after the last byte; %v counts as told", n, worst, ToldAfter)
		}
	}
}

// A registry that is not heard is asked again in less than the grace of a drain,
// since what it tells at its return counts at once; one that turns calls away is not.
func TestUnheardIsAskedAgainSoon(t *testing.T) {
	for _, n := range []int{3, 300} {
		f := New(n, 1)
		f.Know(1)
		for range 20 {
			f.Ended(f.Next(), Unheard, soon)
			if c := f.Next(); c.After > pause+unheardMost {
				t.Errorf("%d relays: %+v", n, c)
			}
		}
	}
	f, most := New(300, 1), time.Duration(0)
	f.Know(1)
	for range 20 {
		f.Ended(f.Next(), Refused, 0)
		most = max(most, f.Next().After)
	}
	if most < 3*time.Second {
		t.Errorf("turned away 20 times, and asks again within %v", most)
	}
}
