package registry

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// registryModel is a registry that serves so many calls a second, turns a call away
// where its answer would come more than 2 s late, and works for that as well.
type registryModel struct {
	callsPerSecond float64
	idleAt         time.Duration // when it has done all that it has begun
	rejected       int
	served         int
}

func (q *registryModel) call(now time.Duration) (Outcome, time.Duration) {
	q.idleAt = max(q.idleAt, now) + time.Duration(float64(time.Second)/q.callsPerSecond)
	if q.idleAt-now > 2*time.Second {
		q.rejected++
		return Rejected, 0
	}
	q.served++
	return Served, q.idleAt - now
}

// playFleet lets the watches of n relays break at moment 0 and plays until each has
// one again, or the time is up. It returns when the last one had, and when half
// of them had.
func playFleet(
	n int, rate float64, seed uint64, most time.Duration, delayOf func(*Scheduler) time.Duration,
) (last, half time.Duration, q *registryModel) {
	q = &registryModel{callsPerSecond: rate}
	schedulers, at, call := make([]*Scheduler, n), make([]time.Duration, n), make([]Call, n)
	var done []time.Duration
	for i := range schedulers {
		schedulers[i] = New(n, seed*1000+uint64(i))
		schedulers[i].SetRevision(4)
		c := schedulers[i].NextCall()
		schedulers[i].Judge(4, false)
		schedulers[i].CallEnded(c, Served, time.Hour)
		call[i] = schedulers[i].NextCall()
		if at[i] = call[i].Delay; delayOf != nil {
			at[i] = delayOf(schedulers[i])
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
		if end == Served && took <= call[i].Timeout {
			done = append(done, now+took)
			at[i] = time.Hour
			continue
		}
		schedulers[i].CallEnded(call[i], end, took)
		call[i] = schedulers[i].NextCall()
		if at[i] = now + took + call[i].Delay; delayOf != nil {
			at[i] = now + took + delayOf(schedulers[i])
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
				last, half, q := playFleet(n, float64(n)/all, seed, time.Minute, nil)
				worst, worstHalf, calls = max(worst, last), max(worstHalf, half), max(calls, q.served+q.rejected)
			}
			if worst > 25*time.Second || worstHalf > 12*time.Second || calls > 2*n+20 {
				t.Errorf("%d relays, %g s: last %v, half %v, %d calls", n, all, worst, worstHalf, calls)
			}
		}
	}
	inStep := func(*Scheduler) time.Duration { return 200 * time.Millisecond }
	_, half, q := playFleet(80, 80.0/8, 1, 30*time.Second, inStep)
	if half < 30*time.Second || q.rejected < 2000 {
		t.Errorf("in step: half served after %v, %d rejected; the model can't tell", half, q.rejected)
	}
}

// Few relays call again nearly at once: nothing is gained by waiting.
func TestSmallFleetPollsSoon(t *testing.T) {
	for n, most := range map[int]time.Duration{
		0: 200 * time.Millisecond, 1: 200 * time.Millisecond, 3: 400 * time.Millisecond,
		1 << 40: maxBaseSpread + minDelay,
	} {
		s := New(n, 7)
		s.SetRevision(1)
		for range 200 {
			c := s.NextCall()
			if c.Delay > most {
				t.Fatalf("%d relays: %v", n, c.Delay)
			}
			s.Judge(1, false)
			s.CallEnded(c, Served, time.Minute)
		}
	}
}

// The first call is made at once. What is known is asked for by its revision;
// what cannot be read, or builds on nothing, makes the whole list be had.
func TestNextCall(t *testing.T) {
	s := New(80, 1)
	if c := s.NextCall(); !c.Complete || c.Delay != 0 {
		t.Fatalf("first %+v", c)
	} else if s.Judge(7, true) != Accept {
		t.Fatal("a first list is not believed")
	} else {
		s.CallEnded(c, Served, 0)
	}
	c := s.NextCall()
	if c.Complete || c.FromRevision != 7 || c.Delay != 0 {
		t.Fatalf("the watch does not follow its list at once: %+v", c)
	}
	s.CallEnded(c, Rejected, 0)
	if c = s.NextCall(); c.Complete || c.FromRevision != 7 || c.Delay < minDelay || c.Timeout != longTimeout {
		t.Fatalf("a refusal forgets the version, or its pause: %+v", c)
	}
	s.CallEnded(c, Malformed, 0)
	if c = s.NextCall(); !c.Complete {
		t.Fatalf("after what cannot be read: %+v", c)
	}
	s.Judge(8, true)
	s.CallEnded(c, Served, 0)
	s.ChangeAddress()
	if c = s.NextCall(); !c.Complete || c.Delay != 0 {
		t.Fatalf("at another address: %+v", c)
	}
	g := New(80, 1)
	g.SetRevision(41)
	if c = g.NextCall(); c.Complete || c.FromRevision != 41 || c.Delay != 0 {
		t.Fatalf("with a list from before: %+v", c)
	}
	g.CallEnded(c, RevisionUnknown, 0)
	if c = g.NextCall(); !c.Complete {
		t.Fatalf("its version is not known there: %+v", c)
	}
}

// Against any order of lists: what is believed never grows older, but for a
// registry that repeats the same list thrice; changes are never believed on nothing.
func TestJudgeRevisions(t *testing.T) {
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := New(80, seed)
		at, known, older := int64(-1), false, 0
		if rng.IntN(2) == 0 {
			s.SetRevision(5)
			known = true
		}
		for range 30 {
			rev, whole := rng.Int64N(10), rng.IntN(3) == 0
			v := s.Judge(rev, whole)
			switch {
			case whole && rev < at:
				if older++; (v == Accept) != (older >= maxOlderLists) {
					t.Fatalf("seed %d: older for the %d. time: %d", seed, older, v)
				}
			case whole:
				if v != Accept {
					t.Fatalf("seed %d: whole list %d after %d: %d", seed, rev, at, v)
				}
			case v == Accept && (!known || rev < at):
				t.Fatalf("seed %d: changes up to %d believed after %d, known %v", seed, rev, at, known)
			case v == Resync:
				known = false
			}
			if v == Accept {
				at, known, older = rev, true, 0
			}
			if s.hasRevision != known {
				t.Fatalf("seed %d: known %v, want %v", seed, s.hasRevision, known)
			}
		}
	}
}

// A watch that breaks as soon as it stands is as bad as none: calls back off.
func TestShortWatchesBackOff(t *testing.T) {
	s, now, calls := New(80, 3), time.Duration(0), 0
	s.SetRevision(1)
	for ; now < time.Minute; calls++ {
		c := s.NextCall()
		now += c.Delay + time.Millisecond
		s.Judge(1, false)
		s.CallEnded(c, Served, time.Millisecond)
	}
	if calls > 14 {
		t.Errorf("%d calls in a minute", calls)
	}
}

// A watch that falls silent is replaced before what it missed counts as notified, in a
// fleet of any size and whatever came before, and a silent watch is no busy
// registry: the span does not grow. A watch that its registry closes is.
func TestSilentWatchIsReplacedInTime(t *testing.T) {
	for _, n := range []int{1, 3, 60, 300, 1 << 20} {
		worst := time.Duration(0)
		for seed := range uint64(300) {
			s := New(n, seed)
			s.SetRevision(1)
			if seed%3 == 1 {
				s.CallEnded(s.NextCall(), Rejected, 0)
			}
			for range 1 + seed%5 { // again and again, each sooner than the span
				c := s.NextCall()
				s.Judge(1, false)
				s.CallEnded(c, Silent, SilenceTimeout)
				next := s.NextCall()
				worst = max(worst, SilenceTimeout+next.Delay+next.Timeout)
				if next.Complete || next.FromRevision != 1 {
					t.Fatalf("%d relays: %+v", n, next)
				}
			}
		}
		if worst >= NotifiedAfter {
			t.Errorf("%d relays: an answer may come %v after the last byte, want under %v", n, worst, NotifiedAfter)
		}
	}
}

// A registry that does not answer is called again in less than the grace of a drain,
// since what it reports at its return counts at once; one that rejects calls is not.
func TestUnheardIsAskedAgainSoon(t *testing.T) {
	for _, n := range []int{3, 300} {
		s := New(n, 1)
		s.SetRevision(1)
		for range 20 {
			s.CallEnded(s.NextCall(), Unanswered, shortTimeout)
			if c := s.NextCall(); c.Delay > minDelay+maxUnansweredSpread {
				t.Errorf("%d relays: %+v", n, c)
			}
		}
	}
	s, most := New(300, 1), time.Duration(0)
	s.SetRevision(1)
	for range 20 {
		s.CallEnded(s.NextCall(), Rejected, 0)
		most = max(most, s.NextCall().Delay)
	}
	if most < 3*time.Second {
		t.Errorf("rejected 20 times, and calls again within %v", most)
	}
}
