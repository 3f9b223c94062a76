package endpoint

import (
	"fmt"
	"math"
	"testing"

	"troutusher/internal/event"
	"troutusher/internal/seededrand"
)

const ms, sec Time = 1000, 1_000_000

// rig steps a world in virtual time and keeps what it said.
type rig struct {
	t       *testing.T
	w       *World
	now     Time
	known   map[string]Message
	events  []event.Event
	effects []Effect
	lastID  int
}

func newRig(t *testing.T, rules Rules, specs ...Spec) *rig {
	t.Helper()
	r := &rig{t: t, known: map[string]Message{}}
	if rules.Relays == 0 {
		rules.Relays = 2
	}
	w, err := New(specs, rules, 11, func(id string) (Message, bool) { m, ok := r.known[id]; return m, ok },
		func(e event.Event) { r.events = append(r.events, e) })
	if err != nil {
		t.Fatal(err)
	}
	r.w = w
	return r
}

func plain() Spec {
	return Spec{
		Name: "p", Dest: 1, Endpoints: 1, Capacity: 10, Queue: 5, Service: []Service{
			{Mean: 200 * ms, Dist: seededrand.Constant},
		},
		Mix: []float64{1}, Limit: Limit{Kind: NoLimit}, ColdShare: 1, Cancel: CancelNone,
	}
}

// to steps the world up to a moment, in the order of its agenda.
func (r *rig) to(at Time) {
	for {
		next, ok := r.w.Next()
		if !ok || next > at {
			break
		}
		r.w.Advance(next)
		r.effects = r.w.Take(r.effects)
	}
	r.now = at
	r.w.Advance(at)
	r.effects = r.w.Take(r.effects)
}

// call hands a message in on a new connection and returns both names.
func (r *rig) call(ep, relay int, key string) (string, Conn) {
	r.lastID++
	id := fmt.Sprintf("m%d", r.lastID)
	r.known[id] = Message{Num: r.lastID, Dest: r.w.Dest(ep)}
	return id, r.again(id, ep, relay, key)
}

func (r *rig) again(id string, ep, relay int, key string) Conn {
	c := r.w.Open(r.now, ep, relay)
	r.w.First(r.now, c)
	r.w.Call(r.now, c, id, key, sec)
	r.effects = r.w.Take(r.effects)
	return c
}

func (r *rig) count(k event.Kind, ok func(event.Event) bool) (n int) {
	for _, e := range r.events {
		if e.Kind == k && (ok == nil || ok(e)) {
			n++
		}
	}
	return n
}

func (r *rig) status(c Conn) int {
	for _, e := range r.effects {
		if e.Conn == c {
			switch e.Kind {
			case DoAnswer:
				return e.Status
			case DoReset:
				return -1
			}
		}
	}
	return 0
}

func (r *rig) want(what string, got, want int) {
	r.t.Helper()
	if got != want {
		r.t.Errorf("%s: %d, want %d", what, got, want)
	}
}

func of(id string) func(event.Event) bool { return func(e event.Event) bool { return e.ID == id } }

func TestCapacityIsWhatItSays(t *testing.T) {
	for _, c := range []struct {
		capacity float64
		mean     Time
		dist     seededrand.Distribution
		cv       float64
	}{
		{10, 200 * ms, seededrand.Constant, 0},
		{3.3, 400 * ms, seededrand.Exponential, 1},
		{47, 130 * ms, seededrand.LogNormal, 0.8},
		{0.7, 300 * ms, seededrand.Constant, 0},
	} {
		s := plain()
		s.Capacity, s.Service[0] = c.capacity, Service{c.mean, c.dist, c.cv}
		r := newRig(t, Rules{}, s)
		span := Time(20_000 / c.capacity * 1e6)
		for r.now < span { // always more than it can do
			for len(r.w.ends[0].queue) < 4 {
				r.call(0, 0, "")
			}
			next, _ := r.w.Next()
			r.to(next)
		}
		got := float64(r.count(event.Ran, nil)) / float64(span) * 1e6
		if math.Abs(got/c.capacity-1) > 0.03 {
			t.Errorf("capacity %v with %s: served %.3f/s", c.capacity, c.dist, got)
		}
	}
}

func TestLimits(t *testing.T) {
	for _, c := range []struct {
		name   string
		limit  Limit
		every  Time // a call comes
		served float64
		status int
	}{
		{"none", Limit{Kind: NoLimit}, 50 * ms, 20, 0},
		{"rate", Limit{Kind: RateLimit, PerSecond: 7, Depth: 3}, 50 * ms, 7, event.StatusFull},
		{
			"rate that tells",
			Limit{Kind: RateLimit, PerSecond: 7, Depth: 3, Wait: 400 * ms},
			50 * ms, 7,
			event.StatusWait,
		},
		{"window", Limit{Kind: WindowLimit, PerSecond: 9, Window: sec}, 50 * ms, 9, event.StatusFull},
		{
			"window of half a second",
			Limit{Kind: WindowLimit, PerSecond: 9, Window: sec / 2},
			50 * ms, 8,
			event.StatusFull,
		},
		{
			"refusals spend it",
			Limit{Kind: RateLimit, PerSecond: 7, Depth: 3, RefusedSpend: true},
			50 * ms, 0,
			event.StatusFull,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := plain()
			s.Capacity, s.Queue, s.Limit = 1000, 1000, c.limit
			r := newRig(t, Rules{}, s)
			const span = 200 * sec
			for ; r.now < span; r.to(r.now + c.every) {
				_, conn := r.call(0, 0, "")
				if st := r.status(conn); st != 0 && st != c.status {
					t.Fatalf("refused with %d, want %d", st, c.status)
				}
			}
			r.to(span + sec)
			if got := float64(
				r.count(event.Ran, nil),
			) / float64(span) * 1e6; math.Abs(got-c.served) > 0.03*c.served+0.05 {
				t.Errorf("served %.3f/s, want %v", got, c.served)
			}
		})
	}
}

func TestLimitOfSharedAndApartRoutes(t *testing.T) {
	for _, apart := range []bool{false, true} {
		s := plain()
		s.Endpoints, s.Apart, s.Capacity = 2, apart, 100
		s.Limit = Limit{Kind: WindowLimit, PerSecond: 5, Window: sec}
		r := newRig(t, Rules{}, s)
		for i := range 20 {
			r.call(i%2, 0, "")
		}
		r.to(sec - 1)
		want := 5
		if apart {
			want = 10
		}
		r.want(fmt.Sprint("served, apart ", apart), r.count(event.Ran, nil), want)
	}
}

func TestColdStartRamps(t *testing.T) {
	s := plain()
	s.Capacity, s.Queue, s.ColdShare, s.ColdRamp = 200, 50, 0.26, 10*sec
	s.Service[0].Mean = 20 * ms
	s.FallTime, s.FallMultiple = 2*sec, 1000
	r := newRig(t, Rules{}, s)
	f := &Fault{Kind: Crash}
	r.w.Begin(0, 0, f)
	r.to(sec)
	r.w.End(r.now, 0, f)
	if got := r.w.Capacity(0, sec); math.Abs(got-52) > 1 {
		t.Errorf("capacity at the return %.1f, want 52", got)
	}
	last := 0
	for span := Time(0); span < 12; span++ {
		for end := sec + (span+1)*sec; r.now < end; {
			for len(r.w.ends[0].queue) < 40 {
				r.call(0, 0, "")
			}
			next, _ := r.w.Next()
			r.to(min(next, end))
		}
		ran := r.count(event.Ran, nil)
		share := min(0.26+0.74*(float64(span)+0.5)/10, 1)
		// the four in service come out at once
		if got := float64(ran - last); math.Abs(got-200*share) > 0.03*200*share+4 {
			t.Errorf("second %d after the return: %v served, want %.0f", span, got, 200*share)
		}
		last = ran
	}
	if want := 200 * (0.63*10 + 2); math.Abs(float64(last)/want-1) > 0.01 {
		t.Errorf("%d served in all, want %.0f", last, want)
	}
}

func TestFallsOverWhenPushed(t *testing.T) {
	push := func(rate float64) (*rig, Time) {
		s := plain()
		s.Capacity, s.Queue, s.ColdShare, s.ColdRamp, s.FallTime, s.FallMultiple = 20, 50, 0.3, 10*sec, 2*sec, 1.5
		r := newRig(t, Rules{Relays: 2}, s)
		f := &Fault{Kind: Full}
		r.w.Begin(0, 0, f)
		r.to(sec)
		r.w.End(r.now, 0, f)
		for i := 0; r.now < 30*sec; i++ {
			r.call(0, i%3/2, "")
			r.to(r.now + Time(1e6/rate))
			if r.w.ends[0].fell {
				return r, r.now - sec
			}
		}
		return r, -1
	}
	// 30% of 20 is 6, warming by 1.4 a second: over the first 2 s 1.5 times the
	// capacity is 22.2 calls, so 10 a second pass and 12 do not.
	if _, at := push(10); at >= 0 {
		t.Errorf("10 a second: fell after %d", at)
	}
	r, at := push(12)
	if at < 2*sec || at > 2*sec+200*ms {
		t.Errorf("12 a second: fell after %d", at)
	}
	var fell event.Event
	for _, e := range r.events {
		if e.Kind == event.Fell {
			fell = e
		}
	}
	if len(fell.Calls) != 2 || fell.Calls[0] < fell.Calls[1]*3/2 || fell.Calls[0]+fell.Calls[1] < 23 {
		t.Errorf("pushed over by %v", fell.Calls)
	}
	r.want("listener", int(r.w.ends[0].listen), int(Refusing))
	r.to(100 * sec)
	if r.w.Capacity(0, r.now) != 0 {
		t.Error("it came back")
	}
}

func TestADestinationFallsAsAWholeAndARouteAlone(t *testing.T) {
	for _, apart := range []bool{false, true} {
		s := plain()
		s.Endpoints, s.Apart = 2, apart
		s.Capacity, s.Queue, s.ColdShare, s.ColdRamp, s.FallTime, s.FallMultiple = 20, 50, 0.3, 10*sec, 2*sec, 1.5
		r := newRig(t, Rules{}, s)
		f := &Fault{Kind: Full}
		for ep := range 2 {
			r.w.Begin(0, ep, f)
		}
		r.to(sec)
		for ep := range 2 {
			r.w.End(r.now, ep, f)
		}
		// 16 a second at one of them: more than 11 or so, less than twice that.
		for r.now < 8*sec {
			r.call(0, 0, "")
			r.to(r.now + sec/16)
		}
		fell := [2]bool{r.w.ends[0].fell, r.w.ends[1].fell}
		if fell != [2]bool{apart, false} {
			t.Errorf("apart %v: at 16 a second %v fell", apart, fell)
		}
		r.to(r.now + sec)
		for r.now < 20*sec && !r.w.ends[1].fell && !apart {
			r.call(1, 0, "")
			r.to(r.now + sec/200)
		}
		if !apart && (!r.w.ends[0].fell || !r.w.ends[1].fell) {
			t.Error("a destination fell in part, or not at all")
		}
	}
}

func TestEachFault(t *testing.T) {
	for _, c := range []struct {
		fault  Fault
		status int // of a call that comes under it
		ran    int
		later  int // calls that ran once it is over, of the one that came under it
	}{
		{Fault{Kind: Full}, event.StatusFull, 0, 0},
		{Fault{Kind: FullWait, Size: 2}, event.StatusWait, 0, 0},
		{Fault{Kind: Vanish}, 0, 0, 0},
		{Fault{Kind: Hang}, 0, 0, 1},
		{Fault{Kind: Reset, Share: 1}, -1, 1, 1},
		{Fault{Kind: Spoilt, Share: 1, Form: Noise}, event.StatusSpoilt, 1, 1},
		{Fault{Kind: Spoilt, Share: 1, Form: Copy}, event.StatusDelivered, 1, 1},
		{Fault{Kind: Late, Share: 1, Size: 30}, 0, 1, 1},
		{Fault{Kind: Slow, Size: 100}, 0, 0, 1},
		{Fault{Kind: Tail, Share: 1, Size: 100}, 0, 0, 1},
	} {
		t.Run(string(c.fault.Kind)+string(c.fault.Form), func(t *testing.T) {
			r := newRig(t, Rules{}, plain())
			f := c.fault
			r.w.Begin(0, 0, &f)
			id, conn := r.call(0, 0, "")
			r.to(5 * sec)
			r.want("status", r.status(conn), c.status)
			r.want("ran", r.count(event.Ran, of(id)), c.ran)
			r.w.End(r.now, 0, &f)
			r.to(40 * sec)
			r.want("ran later", r.count(event.Ran, of(id)), c.later)
			id, conn = r.call(0, 0, "")
			r.to(80 * sec)
			r.want("status of a call after it", r.status(conn), event.StatusDelivered)
			r.want("and it ran", r.count(event.Ran, of(id)), 1)
		})
	}
}

func TestErrorsFailAndHalfHaveRun(t *testing.T) {
	s := plain()
	s.Capacity, s.Queue = 1e4, 1000
	r := newRig(t, Rules{}, s)
	f := &Fault{Kind: Errors, Share: 0.6}
	r.w.Begin(0, 0, f)
	failed := 0
	for range 4000 {
		_, conn := r.call(0, 0, "")
		r.to(r.now + sec)
		if r.status(conn) == event.StatusError {
			failed++
		}
		r.w.Gone(r.now, conn)
		r.effects = nil
	}
	ran := r.count(event.Ran, nil)
	if failed < 2280 || failed > 2520 || math.Abs(float64(ran)-(4000-float64(failed)/2)) > 120 {
		t.Errorf("%d failed of 4000, %d ran", failed, ran)
	}
	r.want("outages", r.count(event.Outage, nil), 1)
}

func TestCrashLosesWhatIsInService(t *testing.T) {
	r := newRig(t, Rules{}, plain())
	id, conn := r.call(0, 0, "")
	r.to(100 * ms)
	f := &Fault{Kind: Crash}
	r.w.Begin(r.now, 0, f)
	r.to(sec)
	r.want("its connection", r.status(conn), -1)
	r.want("ran", r.count(event.Ran, of(id)), 0)
	r.want("over", r.count(event.CallOver, of(id)), 1)
	r.want("ended with no answer", r.count(event.CallEnded, of(id)), 1)
}

func TestVanishedMachineResetsWhatItKnewOnceBack(t *testing.T) {
	r := newRig(t, Rules{}, plain())
	id, conn := r.call(0, 0, "")
	r.to(100 * ms)
	f := &Fault{Kind: Vanish}
	r.w.Begin(r.now, 0, f)
	r.to(20 * sec)
	r.want("silent", r.status(conn), 0)
	r.want("listener", int(r.w.ends[0].listen), int(Silent))
	r.w.End(r.now, 0, f)
	r.to(21 * sec)
	r.want("reset", r.status(conn), -1)
	r.want("ran", r.count(event.Ran, of(id)), 0)
}

func TestFaultsThatOverlapEndInAnyOrder(t *testing.T) {
	kinds := []FaultKind{Full, Hang, Crash, Vanish}
	for a := range kinds {
		for b := range kinds {
			if a == b {
				continue
			}
			s := plain()
			s.ColdShare, s.ColdRamp, s.FallTime, s.FallMultiple = 0.3, 5*sec, 2*sec, 1000
			r := newRig(t, Rules{}, s)
			fa, fb := &Fault{Kind: kinds[a]}, &Fault{Kind: kinds[b]}
			r.w.Begin(0, 0, fa)
			r.to(sec)
			r.w.Begin(r.now, 0, fb)
			r.to(2 * sec)
			r.w.End(r.now, 0, fa)
			r.want("back too early", r.count(event.Back, nil), 0)
			r.to(3 * sec)
			r.w.End(r.now, 0, fb)
			r.to(4 * sec)
			r.want(fmt.Sprint(kinds[a], " then ", kinds[b], ": back"), r.count(event.Back, nil), 1)
			r.want("listener", int(r.w.ends[0].listen), int(Accepting))
			if got := r.w.Capacity(0, r.now); got >= 10 || got <= 3 {
				t.Errorf("capacity %v one second after the return", got)
			}
			_, conn := r.call(0, 0, "")
			r.to(10 * sec)
			r.want("serves", r.status(conn), event.StatusDelivered)
		}
	}
}

func TestTwoPartnersBackInTheSameInstantAreTwo(t *testing.T) {
	a, b := plain(), plain()
	b.Dest = 2
	for _, s := range []*Spec{&a, &b} {
		s.Capacity, s.Queue, s.ColdShare, s.ColdRamp, s.FallTime, s.FallMultiple = 20, 50, 0.3, 10*sec, 2*sec, 1.5
	}
	r := newRig(t, Rules{}, a, b)
	f := &Fault{Kind: Hang}
	for ep := range 2 {
		r.w.Begin(0, ep, f)
	}
	r.to(sec)
	for ep := range 2 {
		r.w.End(r.now, ep, f)
	}
	for r.now < 6*sec { // 20 a second to one of them, 5 to the other
		r.call(0, 0, "")
		if r.now%(200*ms) == 0 {
			r.call(1, 0, "")
		}
		r.to(r.now + 50*ms)
	}
	if !r.w.ends[0].fell || r.w.ends[1].fell || r.count(event.Fell, nil) != 1 {
		t.Errorf("fell: %v and %v", r.w.ends[0].fell, r.w.ends[1].fell)
	}
	if got, want := r.w.Capacity(1, r.now), 20*(0.3+0.7*0.5); math.Abs(got-want) > 1e-9 {
		t.Errorf("the other can do %v, want %v", got, want)
	}
}

func TestPlannedStopIsNoOutageThoughItComesBackCold(t *testing.T) {
	s := plain()
	s.ColdShare, s.ColdRamp = 0.3, 5*sec
	r := newRig(t, Rules{}, s)
	f := &Fault{Kind: Gone}
	r.w.Begin(0, 0, f)
	r.want("listener", int(r.w.ends[0].listen), int(Refusing))
	r.to(sec)
	r.w.End(r.now, 0, f)
	r.want("outages", r.count(event.Outage, nil)+r.count(event.Back, nil), 0)
	if got := r.w.Capacity(0, r.now); got >= 10 {
		t.Errorf("capacity %v at its return", got)
	}
}

func TestSlowFaultsMultiply(t *testing.T) {
	r := newRig(t, Rules{}, plain())
	fa, fb := &Fault{Kind: Slow, Size: 2}, &Fault{Kind: Slow, Size: 5}
	id, _ := r.call(0, 0, "") // 200 ms of work
	r.to(100 * ms)
	r.w.Begin(r.now, 0, fa)
	r.w.Begin(r.now, 0, fb)
	r.to(600 * ms) // 50 of 100 ms left
	r.w.End(r.now, 0, fa)
	r.to(849 * ms)
	r.want("ran early", r.count(event.Ran, of(id)), 0)
	r.to(851 * ms)
	r.want("ran", r.count(event.Ran, of(id)), 1)
}

func TestCancelledCalls(t *testing.T) {
	for _, c := range []struct {
		cancel        Cancel
		served, stood int // effects of one in service and of one in the queue
	}{{CancelNone, 1, 1}, {CancelQueued, 1, 0}, {CancelAll, 0, 0}} {
		s := plain()
		s.Capacity, s.Cancel = 5, c.cancel // one at a time
		r := newRig(t, Rules{}, s)
		a, ca := r.call(0, 0, "")
		b, cb := r.call(0, 0, "")
		r.to(10 * ms)
		r.w.Gone(r.now, ca)
		r.w.Gone(r.now, cb)
		r.to(5 * sec)
		r.want(string(c.cancel)+": in service", r.count(event.Ran, of(a)), c.served)
		r.want(string(c.cancel)+": waiting", r.count(event.Ran, of(b)), c.stood)
		r.want("over", r.count(event.CallOver, nil), 2)
	}
}

func TestKeysAreRemembered(t *testing.T) {
	s := plain()
	s.KeyMemory = 10 * sec
	r := newRig(t, Rules{}, s)
	a, _ := r.call(0, 0, "k")
	r.to(5 * sec)
	b, conn := r.call(0, 1, "k")
	r.to(6 * sec)
	r.want("first", r.count(event.Ran, of(a)), 1)
	r.want("repeat", r.count(event.Ran, of(b)), 0)
	r.want("repeat is answered", r.status(conn), event.StatusDelivered)
	r.to(30 * sec)
	c, _ := r.call(0, 0, "k")
	r.to(31 * sec)
	r.want("after the window", r.count(event.Ran, of(c)), 1)
}

func TestPlatformGates(t *testing.T) {
	r := newRig(t, Rules{Slots: 2, MaxAttempts: 2}, plain())
	r.call(0, 0, "")
	r.call(0, 0, "")
	_, c := r.call(0, 0, "")
	r.want("beyond the slots", r.status(c), event.StatusFull)
	if e := r.effects[len(r.effects)-1]; !e.Slots {
		t.Error("slots are not named")
	}
	_, c = r.call(0, 1, "")
	r.to(sec)
	r.want("of another relay", r.status(c), event.StatusDelivered)

	id, _ := r.call(0, 0, "")
	r.to(2 * sec)
	r.again(id, 0, 0, "")
	r.to(3 * sec)
	r.want("third attempt", r.status(r.again(id, 0, 0, "")), event.StatusSpent)

	m := r.known[id]
	m.Over = true
	r.known[id] = m
	r.w.Forget(id)
	r.want("of one that is over", r.status(r.again(id, 0, 0, "")), event.StatusOver)
	r.want("of one that nobody knows", r.status(r.again("zz", 0, 0, "")), event.StatusUnknown)
	r.want("stray", r.count(event.Stray, nil), 1)
}

func TestConnections(t *testing.T) {
	s := plain()
	s.Conns, s.Idle, s.Handshake, s.OneWay = 2, 5*sec, 30*ms, 10*ms
	r := newRig(t, Rules{}, s)
	id, a := r.call(0, 0, "")
	r.to(239 * ms) // 10 + 30 + 200, then 10 back
	r.want("not yet", r.count(event.Ran, of(id)), 0)
	r.to(249 * ms)
	r.want("ran", r.count(event.Ran, of(id)), 1)
	r.want("under way", r.status(a), 0)
	r.to(251 * ms)
	r.want("answered", r.status(a), event.StatusDelivered)
	r.effects = nil
	r.known["m2"] = Message{Num: 50}
	r.w.First(r.now, a)
	r.w.Call(r.now, a, "m2", "", sec)
	r.to(r.now + 221*ms)
	r.want("second request, no handshake", r.status(a), event.StatusDelivered)
	r.call(0, 0, "")
	_, over := r.call(0, 0, "")
	r.to(r.now + 100*ms)
	r.want("third connection", r.status(over), event.StatusFull)
	r.effects = nil
	r.to(r.now + 20*sec)
	closed := 0
	for _, e := range r.effects {
		if e.Kind == DoClose {
			closed++
		}
	}
	r.want("closed when idle", closed, 3)
}

func TestProbes(t *testing.T) {
	r := newRig(t, Rules{}, plain())
	c := r.w.Open(0, 0, 1)
	r.w.Probe(0, c)
	r.to(0)
	r.want("alive", r.status(c), event.StatusDelivered)
	r.effects = nil
	f := &Fault{Kind: Full}
	r.w.Begin(0, 0, f)
	r.w.Probe(0, c)
	r.to(0)
	r.want("shut", r.status(c), event.StatusFull)
}

func TestSpecsThatCannotBe(t *testing.T) {
	for name, spoil := range map[string]func(*Spec){
		"endpoints":  func(s *Spec) { s.Endpoints = 0 },
		"capacity":   func(s *Spec) { s.Capacity = math.NaN() },
		"service":    func(s *Spec) { s.Service[0].Mean = 0 },
		"mix":        func(s *Spec) { s.Mix = nil },
		"cold share": func(s *Spec) { s.ColdShare = 0 },
		"limit":      func(s *Spec) { s.Limit = Limit{Kind: RateLimit} },
		"window":     func(s *Spec) { s.Limit = Limit{Kind: WindowLimit, PerSecond: 3} },
	} {
		s := plain()
		spoil(&s)
		if _, err := New([]Spec{s}, Rules{Relays: 1}, 1, nil, nil); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
}
