package registry

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// registryModel simulates a registry that handles callsPerSecond calls per second. It rejects a
// call whose answer would take more than 2 s; a rejection costs it as much time as an answer.
type registryModel struct {
	callsPerSecond float64
	idleAt         time.Duration // when it will have handled all calls received so far
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

// simulateFleet breaks the watches of n relays at time 0 and simulates their calls until each
// relay has a watch again, or until the time limit. It returns the times at which the last relay
// and half of the relays had one. delayOf, if not nil, replaces the scheduler's delays.
func simulateFleet(
	n int, rate float64, seed uint64, limit time.Duration, delayOf func(*Scheduler) time.Duration,
) (last, half time.Duration, q *registryModel) {
	q = &registryModel{callsPerSecond: rate}
	schedulers, at, call := make([]*Scheduler, n), make([]time.Duration, n), make([]Call, n)
	var done []time.Duration
	for i := range schedulers {
		schedulers[i] = New(n, seed*1000+uint64(i))
		schedulers[i].SetRevision(4)
		c := schedulers[i].NextCall()
		schedulers[i].CheckRevision(4, false)
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
		if now > limit {
			break
		}
		outcome, took := q.call(now)
		if outcome == Served && took <= call[i].Timeout {
			done = append(done, now+took)
			at[i] = time.Hour
			continue
		}
		schedulers[i].CallEnded(call[i], outcome, took)
		call[i] = schedulers[i].NextCall()
		if at[i] = now + took + call[i].Delay; delayOf != nil {
			at[i] = now + took + delayOf(schedulers[i])
		}
	}
	if len(done) < n {
		return limit, limit, q
	}
	slices.Sort(done)
	return done[n-1], done[n/2], q
}

// Guards against a fleet that overloads its registry. After all watches break at the same time,
// each relay must have one again within a few times the time that the registry needs to serve
// all of them, and half of the relays much sooner. If all relays retried at once and in step,
// the registry would spend its time on rejections and serve none of them.
func TestFleetIsServedAgain(t *testing.T) {
	for _, n := range []int{3, 20, 80, 300} {
		for _, serveAll := range []float64{2, 5, 8} { // seconds that the registry needs for a call from each relay
			if float64(n)/serveAll < 4 && !(n == 3 && serveAll == 2) {
				continue // too slow: hardly any call would be answered in time
			}
			worst, worstHalf, calls := time.Duration(0), time.Duration(0), 0
			for seed := range uint64(10) {
				last, half, q := simulateFleet(n, float64(n)/serveAll, seed, time.Minute, nil)
				worst, worstHalf, calls = max(worst, last), max(worstHalf, half), max(calls, q.served+q.rejected)
			}
			if worst > 25*time.Second || worstHalf > 12*time.Second || calls > 2*n+20 {
				t.Errorf("%d relays, registry needs %g s for a call from each: last served after %v, half after %v, "+
					"%d calls; want at most 25s, 12s and %d calls", n, serveAll, worst, worstHalf, calls, 2*n+20)
			}
		}
	}
	inStep := func(*Scheduler) time.Duration { return 200 * time.Millisecond }
	_, half, q := simulateFleet(80, 80.0/8, 1, 30*time.Second, inStep)
	if half < 30*time.Second || q.rejected < 2000 {
		t.Errorf("all retry every 200ms: half served after %v, %d rejected; "+
			"want 30s and at least 2000, or the model does not show the overload", half, q.rejected)
	}
}

// After a watch has ended, the relays of a small fleet call again within 0.4 s, since they cannot
// overload the registry. The delay is limited for a fleet of any size.
func TestSmallFleetPollsSoon(t *testing.T) {
	for n, maxDelay := range map[int]time.Duration{
		0: 200 * time.Millisecond, 1: 200 * time.Millisecond, 3: 400 * time.Millisecond,
		1 << 40: maxBaseSpread + minDelay,
	} {
		s := New(n, 7)
		s.SetRevision(1)
		for range 200 {
			c := s.NextCall()
			if c.Delay > maxDelay {
				t.Fatalf("%d relays: delay %v, want at most %v", n, c.Delay, maxDelay)
			}
			s.CheckRevision(1, false)
			s.CallEnded(c, Served, time.Minute)
		}
	}
}

// The first call is made without delay. A relay that knows a list watches for changes after its
// revision; after a malformed response, an unknown revision or a change of address it fetches the
// complete list.
func TestNextCall(t *testing.T) {
	s := New(80, 1)
	if c := s.NextCall(); !c.Complete || c.Delay != 0 {
		t.Fatalf("first call is %+v, want a fetch of the complete list without delay", c)
	} else if s.CheckRevision(7, true) != Accept {
		t.Fatal("the first complete list is not accepted")
	} else {
		s.CallEnded(c, Served, 0)
	}
	c := s.NextCall()
	if c.Complete || c.FromRevision != 7 || c.Delay != 0 {
		t.Fatalf("after the complete list: %+v, want a watch from revision 7 without delay", c)
	}
	s.CallEnded(c, Rejected, 0)
	if c = s.NextCall(); c.Complete || c.FromRevision != 7 || c.Delay < minDelay || c.Timeout != longTimeout {
		t.Fatalf("after a rejected call: %+v, want a delayed watch from revision 7 with timeout %v", c, longTimeout)
	}
	s.CallEnded(c, Malformed, 0)
	if c = s.NextCall(); !c.Complete {
		t.Fatalf("after a malformed response: %+v, want a fetch of the complete list", c)
	}
	s.CheckRevision(8, true)
	s.CallEnded(c, Served, 0)
	s.ChangeAddress()
	if c = s.NextCall(); !c.Complete || c.Delay != 0 {
		t.Fatalf("after a change of address: %+v, want a fetch of the complete list without delay", c)
	}
	withList := New(80, 1)
	withList.SetRevision(41)
	if c = withList.NextCall(); c.Complete || c.FromRevision != 41 || c.Delay != 0 {
		t.Fatalf("started with a list: %+v, want a watch from revision 41 without delay", c)
	}
	withList.CallEnded(c, RevisionUnknown, 0)
	if c = withList.NextCall(); !c.Complete {
		t.Fatalf("after an unknown revision: %+v, want a fetch of the complete list", c)
	}
}

// For any order of lists: the accepted revision never decreases, unless the registry sends an
// older complete list maxOlderLists times in a row; a change to an unknown list is never accepted.
func TestCheckRevision(t *testing.T) {
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := New(80, seed)
		at, known, older := int64(-1), false, 0
		if rng.IntN(2) == 0 {
			s.SetRevision(5)
			known = true
		}
		for range 30 {
			rev, complete := rng.Int64N(10), rng.IntN(3) == 0
			v := s.CheckRevision(rev, complete)
			switch {
			case complete && rev < at:
				if older++; (v == Accept) != (older >= maxOlderLists) {
					t.Fatalf("seed %d: verdict %d on older list number %d in a row, accepted only from number %d",
						seed, v, older, maxOlderLists)
				}
			case complete:
				if v != Accept {
					t.Fatalf("seed %d: verdict %d on complete list %d after %d, want %d", seed, v, rev, at, Accept)
				}
			case v == Accept && (!known || rev < at):
				t.Fatalf("seed %d: change up to %d accepted after %d, list known: %v", seed, rev, at, known)
			case v == Resync:
				known = false
			}
			if v == Accept {
				at, known, older = rev, true, 0
			}
			if s.hasRevision != known {
				t.Fatalf("seed %d: hasRevision = %v, want %v", seed, s.hasRevision, known)
			}
		}
	}
}

// A watch that ends as soon as it is open counts as a failure, so calls back off.
func TestShortWatchesBackOff(t *testing.T) {
	s, now, calls := New(80, 3), time.Duration(0), 0
	s.SetRevision(1)
	for ; now < time.Minute; calls++ {
		c := s.NextCall()
		now += c.Delay + time.Millisecond
		s.CheckRevision(1, false)
		s.CallEnded(c, Served, time.Millisecond)
	}
	if calls > 14 {
		t.Errorf("%d calls in a minute, want at most 14", calls)
	}
}

// A watch that falls silent is replaced before the relay counts as notified of what it missed,
// in a fleet of any size and whatever calls came before. Unlike a watch that the registry closes
// early, a silent one is no sign of an overloaded registry: it doesn't make the spread grow.
func TestSilentWatchIsReplacedInTime(t *testing.T) {
	for _, n := range []int{1, 3, 60, 300, 1 << 20} {
		worst := time.Duration(0)
		for seed := range uint64(300) {
			s := New(n, seed)
			s.SetRevision(1)
			if seed%3 == 1 {
				s.CallEnded(s.NextCall(), Rejected, 0)
			}
			for range 1 + seed%5 { // several silent watches in a row, each shorter than the spread
				c := s.NextCall()
				s.CheckRevision(1, false)
				s.CallEnded(c, Silent, SilenceTimeout)
				next := s.NextCall()
				worst = max(worst, SilenceTimeout+next.Delay+next.Timeout)
				if next.Complete || next.FromRevision != 1 {
					t.Fatalf("%d relays, after a silent watch: %+v, want a watch from revision 1", n, next)
				}
			}
		}
		if worst >= NotifiedAfter {
			t.Errorf("%d relays: response may begin %v after the last byte, want under %v", n, worst, NotifiedAfter)
		}
	}
}

// Guards against calls to an endpoint that starts to drain while no watch is open: a watch that ended is
// opened again within the drain grace period, in a fleet of any size and also if it ended soon after
// it was opened, with time left for the answer.
func TestEndedWatchIsReopenedInTime(t *testing.T) {
	const drainGrace, answer = 2 * time.Second, 500 * time.Millisecond
	for _, n := range []int{1, 3, 30, 60, 300, 1 << 20} {
		worst := time.Duration(0)
		for seed := range uint64(100) {
			s := New(n, seed)
			s.SetRevision(1)
			if seed%3 == 1 {
				s.CallEnded(s.NextCall(), Rejected, 0)
			}
			for _, took := range []time.Duration{time.Hour, 2 * time.Second, 5 * time.Second} {
				c := s.NextCall()
				s.CheckRevision(1, false)
				s.CallEnded(c, Served, took)
				next := s.NextCall()
				worst = max(worst, next.Delay)
				if next.Complete || next.FromRevision != 1 {
					t.Fatalf("%d relays, after a watch that ended: %+v, want a watch from revision 1", n, next)
				}
			}
		}
		if worst+answer >= drainGrace {
			t.Errorf("%d relays: watch opened again up to %v after its end, want under %v", n, worst, drainGrace-answer)
		}
	}
}

// A registry that did not answer is called again within less than the drain grace period, since a
// drain that it reports once it answers again must be obeyed at once. After rejected calls the
// delay may grow longer.
func TestUnheardIsAskedAgainSoon(t *testing.T) {
	for _, n := range []int{3, 300} {
		s := New(n, 1)
		s.SetRevision(1)
		for range 20 {
			s.CallEnded(s.NextCall(), Unanswered, shortTimeout)
			if c := s.NextCall(); c.Delay > minDelay+maxUninformedSpread {
				t.Errorf("%d relays: delay %v after an unanswered call, want at most %v",
					n, c.Delay, minDelay+maxUninformedSpread)
			}
		}
	}
	s, longest := New(300, 1), time.Duration(0)
	s.SetRevision(1)
	for range 20 {
		s.CallEnded(s.NextCall(), Rejected, 0)
		longest = max(longest, s.NextCall().Delay)
	}
	if longest < 3*time.Second {
		t.Errorf("longest delay of 20 after rejected calls is %v, want at least 3s", longest)
	}
}
