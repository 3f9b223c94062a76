package endpoint

import (
	"fmt"
	"math"
	"testing"

	"troutusher/internal/event"
	"troutusher/internal/seededrand"
)

const ms, sec Time = 1000, 1_000_000

// harness steps a world in virtual time and keeps what it said.
type harness struct {
	t        *testing.T
	model    *Model
	now      Time
	messages map[string]Message
	events   []event.Event
	effects  []Effect
	lastID   int
}

func newHarness(t *testing.T, rules Rules, specs ...Spec) *harness {
	t.Helper()
	r := &harness{t: t, messages: map[string]Message{}}
	if rules.Relays == 0 {
		rules.Relays = 2
	}
	w, err := New(specs, rules, 11, func(id string) (Message, bool) { m, ok := r.messages[id]; return m, ok },
		func(e event.Event) { r.events = append(r.events, e) })
	if err != nil {
		t.Fatal(err)
	}
	r.model = w
	return r
}

func plainSpec() Spec {
	return Spec{
		Name: "p", Destination: 1, Endpoints: 1, Capacity: 10, QueueLimit: 5, ServiceTimes: []ServiceTime{
			{Mean: 200 * ms, Distribution: seededrand.Constant},
		},
		ClassMix: []float64{1}, RateLimit: RateLimit{Kind: NoLimit}, WarmUpShare: 1, Cancel: CancelNone,
	}
}

// warmUpSpec is a destination that warms up for 10 s after an outage and collapses
// when 1.5 times its capacity arrives within 2 s.
func warmUpSpec() Spec {
	s := plainSpec()
	s.Capacity, s.QueueLimit = 20, 50
	s.WarmUpShare, s.WarmUpTime = 0.3, 10*sec
	s.OverloadFactor, s.OverloadWindow = 1.5, 2*sec
	return s
}

// advanceTo steps the world up to a moment, in the order of its agenda.
func (r *harness) advanceTo(at Time) {
	for {
		next, ok := r.model.NextTimer()
		if !ok || next > at {
			break
		}
		r.model.Advance(next)
		r.effects = r.model.TakeEffects(r.effects)
	}
	r.now = at
	r.model.Advance(at)
	r.effects = r.model.TakeEffects(r.effects)
}

// call hands a message in on a new connection and returns both names.
func (r *harness) call(ep, relay int, key string) (string, Conn) {
	r.lastID++
	id := fmt.Sprintf("m%d", r.lastID)
	r.messages[id] = Message{Number: r.lastID, Destination: r.model.Destination(ep)}
	return id, r.callAgain(id, ep, relay, key)
}

func (r *harness) callAgain(id string, ep, relay int, key string) Conn {
	c := r.model.OpenConn(r.now, ep, relay)
	r.model.ReceiveFirstByte(r.now, c)
	r.model.ReceiveCall(r.now, c, id, key, sec)
	r.effects = r.model.TakeEffects(r.effects)
	return c
}

func (r *harness) count(k event.Kind, ok func(event.Event) bool) (n int) {
	for _, e := range r.events {
		if e.Kind == k && (ok == nil || ok(e)) {
			n++
		}
	}
	return n
}

func (r *harness) statusOn(c Conn) int {
	for _, e := range r.effects {
		if e.Conn == c {
			switch e.Kind {
			case WriteResponse:
				return e.Status
			case ResetConn:
				return -1
			}
		}
	}
	return 0
}

func (r *harness) expect(what string, got, want int) {
	r.t.Helper()
	if got != want {
		r.t.Errorf("%s: %d, want %d", what, got, want)
	}
}

func withID(id string) func(event.Event) bool { return func(e event.Event) bool { return e.ID == id } }

func TestServedRateMatchesCapacity(t *testing.T) {
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
		s := plainSpec()
		s.Capacity, s.ServiceTimes[0] = c.capacity, ServiceTime{c.mean, c.dist, c.cv}
		r := newHarness(t, Rules{}, s)
		span := Time(20_000 / c.capacity * 1e6)
		for r.now < span { // always more than it can do
			for len(r.model.endpoints[0].queue) < 4 {
				r.call(0, 0, "")
			}
			next, _ := r.model.NextTimer()
			r.advanceTo(next)
		}
		got := float64(r.count(event.Ran, nil)) / float64(span) * 1e6
		if math.Abs(got/c.capacity-1) > 0.03 {
			t.Errorf("capacity %v with %s: served %.3f/s", c.capacity, c.dist, got)
		}
	}
}

func TestRateLimits(t *testing.T) {
	for _, c := range []struct {
		name   string
		limit  RateLimit
		every  Time // a call comes
		served float64
		status int
	}{
		{"none", RateLimit{Kind: NoLimit}, 50 * ms, 20, 0},
		{"rate", RateLimit{Kind: TokenBucket, PerSecond: 7, Burst: 3}, 50 * ms, 7, event.StatusFull},
		{
			"rate that tells",
			RateLimit{Kind: TokenBucket, PerSecond: 7, Burst: 3, RetryAfter: 400 * ms},
			50 * ms, 7,
			event.StatusWait,
		},
		{"window", RateLimit{Kind: FixedWindow, PerSecond: 9, Window: sec}, 50 * ms, 9, event.StatusFull},
		{
			"window of half a second",
			RateLimit{Kind: FixedWindow, PerSecond: 9, Window: sec / 2},
			50 * ms, 8,
			event.StatusFull,
		},
		{
			"refusals spend it",
			RateLimit{Kind: TokenBucket, PerSecond: 7, Burst: 3, RejectedCount: true},
			50 * ms, 0,
			event.StatusFull,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := plainSpec()
			s.Capacity, s.QueueLimit, s.RateLimit = 1000, 1000, c.limit
			r := newHarness(t, Rules{}, s)
			const span = 200 * sec
			for ; r.now < span; r.advanceTo(r.now + c.every) {
				_, conn := r.call(0, 0, "")
				if st := r.statusOn(conn); st != 0 && st != c.status {
					t.Fatalf("refused with %d, want %d", st, c.status)
				}
			}
			r.advanceTo(span + sec)
			if got := float64(
				r.count(event.Ran, nil),
			) / float64(span) * 1e6; math.Abs(got-c.served) > 0.03*c.served+0.05 {
				t.Errorf("served %.3f/s, want %v", got, c.served)
			}
		})
	}
}

func TestRateLimitOfSharedAndIndependentRoutes(t *testing.T) {
	for _, apart := range []bool{false, true} {
		s := plainSpec()
		s.Endpoints, s.IndependentRoutes, s.Capacity = 2, apart, 100
		s.RateLimit = RateLimit{Kind: FixedWindow, PerSecond: 5, Window: sec}
		r := newHarness(t, Rules{}, s)
		for i := range 20 {
			r.call(i%2, 0, "")
		}
		r.advanceTo(sec - 1)
		want := 5
		if apart {
			want = 10
		}
		r.expect(fmt.Sprint("served, apart ", apart), r.count(event.Ran, nil), want)
	}
}

func TestCapacityGrowsDuringWarmUp(t *testing.T) {
	s := plainSpec()
	s.Capacity, s.QueueLimit, s.WarmUpShare, s.WarmUpTime = 200, 50, 0.26, 10*sec
	s.ServiceTimes[0].Mean = 20 * ms
	s.OverloadWindow, s.OverloadFactor = 2*sec, 1000
	r := newHarness(t, Rules{}, s)
	f := &Fault{Kind: Crash}
	r.model.InjectFault(0, 0, f)
	r.advanceTo(sec)
	r.model.ClearFault(r.now, 0, f)
	if got := r.model.Capacity(0, sec); math.Abs(got-52) > 1 {
		t.Errorf("capacity at the return %.1f, want 52", got)
	}
	last := 0
	for span := Time(0); span < 12; span++ {
		for end := sec + (span+1)*sec; r.now < end; {
			for len(r.model.endpoints[0].queue) < 40 {
				r.call(0, 0, "")
			}
			next, _ := r.model.NextTimer()
			r.advanceTo(min(next, end))
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

func TestCollapsesUnderOverloadDuringWarmUp(t *testing.T) {
	push := func(rate float64) (*harness, Time) {
		s := warmUpSpec()
		r := newHarness(t, Rules{Relays: 2}, s)
		f := &Fault{Kind: RejectAll}
		r.model.InjectFault(0, 0, f)
		r.advanceTo(sec)
		r.model.ClearFault(r.now, 0, f)
		for i := 0; r.now < 30*sec; i++ {
			r.call(0, i%3/2, "")
			r.advanceTo(r.now + Time(1e6/rate))
			if r.model.endpoints[0].collapsed {
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
	r.expect("listener", int(r.model.endpoints[0].listener), int(Refusing))
	r.advanceTo(100 * sec)
	if r.model.Capacity(0, r.now) != 0 {
		t.Error("it came back")
	}
}

func TestDestinationCollapsesAsAWholeAndAnIndependentRouteAlone(t *testing.T) {
	for _, apart := range []bool{false, true} {
		s := warmUpSpec()
		s.Endpoints, s.IndependentRoutes = 2, apart
		r := newHarness(t, Rules{}, s)
		f := &Fault{Kind: RejectAll}
		for ep := range 2 {
			r.model.InjectFault(0, ep, f)
		}
		r.advanceTo(sec)
		for ep := range 2 {
			r.model.ClearFault(r.now, ep, f)
		}
		// 16 a second at one of them: more than 11 or so, less than twice that.
		for r.now < 8*sec {
			r.call(0, 0, "")
			r.advanceTo(r.now + sec/16)
		}
		fell := [2]bool{r.model.endpoints[0].collapsed, r.model.endpoints[1].collapsed}
		if fell != [2]bool{apart, false} {
			t.Errorf("apart %v: at 16 a second %v fell", apart, fell)
		}
		r.advanceTo(r.now + sec)
		for r.now < 20*sec && !r.model.endpoints[1].collapsed && !apart {
			r.call(1, 0, "")
			r.advanceTo(r.now + sec/200)
		}
		if !apart && (!r.model.endpoints[0].collapsed || !r.model.endpoints[1].collapsed) {
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
		{Fault{Kind: RejectAll}, event.StatusFull, 0, 0},
		{Fault{Kind: RejectWithRetryAfter, Magnitude: 2}, event.StatusWait, 0, 0},
		{Fault{Kind: Blackhole}, 0, 0, 0},
		{Fault{Kind: Hang}, 0, 0, 1},
		{Fault{Kind: ConnectionReset, Share: 1}, -1, 1, 1},
		{Fault{Kind: MalformedResponse, Share: 1, Defect: GarbageBytes}, event.StatusSpoilt, 1, 1},
		{Fault{Kind: MalformedResponse, Share: 1, Defect: DuplicateResponse}, event.StatusDelivered, 1, 1},
		{Fault{Kind: LateResponse, Share: 1, Magnitude: 30}, 0, 1, 1},
		{Fault{Kind: SlowService, Magnitude: 100}, 0, 0, 1},
		{Fault{Kind: TailLatency, Share: 1, Magnitude: 100}, 0, 0, 1},
	} {
		t.Run(string(c.fault.Kind)+string(c.fault.Defect), func(t *testing.T) {
			r := newHarness(t, Rules{}, plainSpec())
			f := c.fault
			r.model.InjectFault(0, 0, &f)
			id, conn := r.call(0, 0, "")
			r.advanceTo(5 * sec)
			r.expect("status", r.statusOn(conn), c.status)
			r.expect("ran", r.count(event.Ran, withID(id)), c.ran)
			r.model.ClearFault(r.now, 0, &f)
			r.advanceTo(40 * sec)
			r.expect("ran later", r.count(event.Ran, withID(id)), c.later)
			id, conn = r.call(0, 0, "")
			r.advanceTo(80 * sec)
			r.expect("status of a call after it", r.statusOn(conn), event.StatusDelivered)
			r.expect("and it ran", r.count(event.Ran, withID(id)), 1)
		})
	}
}

func TestHalfOfTheErrorResponsesTakeEffect(t *testing.T) {
	s := plainSpec()
	s.Capacity, s.QueueLimit = 1e4, 1000
	r := newHarness(t, Rules{}, s)
	f := &Fault{Kind: ErrorResponses, Share: 0.6}
	r.model.InjectFault(0, 0, f)
	failed := 0
	for range 4000 {
		_, conn := r.call(0, 0, "")
		r.advanceTo(r.now + sec)
		if r.statusOn(conn) == event.StatusError {
			failed++
		}
		r.model.CloseConn(r.now, conn)
		r.effects = nil
	}
	ran := r.count(event.Ran, nil)
	if failed < 2280 || failed > 2520 || math.Abs(float64(ran)-(4000-float64(failed)/2)) > 120 {
		t.Errorf("%d failed of 4000, %d ran", failed, ran)
	}
	r.expect("outages", r.count(event.Outage, nil), 1)
}

func TestCrashLosesCallsInService(t *testing.T) {
	r := newHarness(t, Rules{}, plainSpec())
	id, conn := r.call(0, 0, "")
	r.advanceTo(100 * ms)
	f := &Fault{Kind: Crash}
	r.model.InjectFault(r.now, 0, f)
	r.advanceTo(sec)
	r.expect("its connection", r.statusOn(conn), -1)
	r.expect("ran", r.count(event.Ran, withID(id)), 0)
	r.expect("over", r.count(event.CallOver, withID(id)), 1)
	r.expect("ended with no answer", r.count(event.CallEnded, withID(id)), 1)
}

func TestBlackholedMachineResetsItsConnectionsOnRecovery(t *testing.T) {
	r := newHarness(t, Rules{}, plainSpec())
	id, conn := r.call(0, 0, "")
	r.advanceTo(100 * ms)
	f := &Fault{Kind: Blackhole}
	r.model.InjectFault(r.now, 0, f)
	r.advanceTo(20 * sec)
	r.expect("silent", r.statusOn(conn), 0)
	r.expect("listener", int(r.model.endpoints[0].listener), int(Unresponsive))
	r.model.ClearFault(r.now, 0, f)
	r.advanceTo(21 * sec)
	r.expect("reset", r.statusOn(conn), -1)
	r.expect("ran", r.count(event.Ran, withID(id)), 0)
}

func TestFaultsThatOverlapEndInAnyOrder(t *testing.T) {
	kinds := []FaultKind{RejectAll, Hang, Crash, Blackhole}
	for a := range kinds {
		for b := range kinds {
			if a == b {
				continue
			}
			s := plainSpec()
			s.WarmUpShare, s.WarmUpTime, s.OverloadWindow, s.OverloadFactor = 0.3, 5*sec, 2*sec, 1000
			r := newHarness(t, Rules{}, s)
			fa, fb := &Fault{Kind: kinds[a]}, &Fault{Kind: kinds[b]}
			r.model.InjectFault(0, 0, fa)
			r.advanceTo(sec)
			r.model.InjectFault(r.now, 0, fb)
			r.advanceTo(2 * sec)
			r.model.ClearFault(r.now, 0, fa)
			r.expect("back too early", r.count(event.Back, nil), 0)
			r.advanceTo(3 * sec)
			r.model.ClearFault(r.now, 0, fb)
			r.advanceTo(4 * sec)
			r.expect(fmt.Sprint(kinds[a], " then ", kinds[b], ": back"), r.count(event.Back, nil), 1)
			r.expect("listener", int(r.model.endpoints[0].listener), int(Accepting))
			if got := r.model.Capacity(0, r.now); got >= 10 || got <= 3 {
				t.Errorf("capacity %v one second after the return", got)
			}
			_, conn := r.call(0, 0, "")
			r.advanceTo(10 * sec)
			r.expect("serves", r.statusOn(conn), event.StatusDelivered)
		}
	}
}

func TestDestinationsThatRecoverAtOnceWarmUpSeparately(t *testing.T) {
	a, b := warmUpSpec(), warmUpSpec()
	b.Destination = 2
	r := newHarness(t, Rules{}, a, b)
	f := &Fault{Kind: Hang}
	for ep := range 2 {
		r.model.InjectFault(0, ep, f)
	}
	r.advanceTo(sec)
	for ep := range 2 {
		r.model.ClearFault(r.now, ep, f)
	}
	for r.now < 6*sec { // 20 a second to one of them, 5 to the other
		r.call(0, 0, "")
		if r.now%(200*ms) == 0 {
			r.call(1, 0, "")
		}
		r.advanceTo(r.now + 50*ms)
	}
	if !r.model.endpoints[0].collapsed || r.model.endpoints[1].collapsed || r.count(event.Fell, nil) != 1 {
		t.Errorf("fell: %v and %v", r.model.endpoints[0].collapsed, r.model.endpoints[1].collapsed)
	}
	if got, want := r.model.Capacity(1, r.now), 20*(0.3+0.7*0.5); math.Abs(got-want) > 1e-9 {
		t.Errorf("the other can do %v, want %v", got, want)
	}
}

func TestPlannedStopIsNoOutageButWarmsUp(t *testing.T) {
	s := plainSpec()
	s.WarmUpShare, s.WarmUpTime = 0.3, 5*sec
	r := newHarness(t, Rules{}, s)
	f := &Fault{Kind: PlannedStop}
	r.model.InjectFault(0, 0, f)
	r.expect("listener", int(r.model.endpoints[0].listener), int(Refusing))
	r.advanceTo(sec)
	r.model.ClearFault(r.now, 0, f)
	r.expect("outages", r.count(event.Outage, nil)+r.count(event.Back, nil), 0)
	if got := r.model.Capacity(0, r.now); got >= 10 {
		t.Errorf("capacity %v at its return", got)
	}
}

func TestSlowFaultsMultiply(t *testing.T) {
	r := newHarness(t, Rules{}, plainSpec())
	fa, fb := &Fault{Kind: SlowService, Magnitude: 2}, &Fault{Kind: SlowService, Magnitude: 5}
	id, _ := r.call(0, 0, "") // 200 ms of work
	r.advanceTo(100 * ms)
	r.model.InjectFault(r.now, 0, fa)
	r.model.InjectFault(r.now, 0, fb)
	r.advanceTo(600 * ms) // 50 of 100 ms left
	r.model.ClearFault(r.now, 0, fa)
	r.advanceTo(849 * ms)
	r.expect("ran early", r.count(event.Ran, withID(id)), 0)
	r.advanceTo(851 * ms)
	r.expect("ran", r.count(event.Ran, withID(id)), 1)
}

func TestCancelledCalls(t *testing.T) {
	for _, c := range []struct {
		cancel        CancelPolicy
		served, stood int // effects of one in service and of one in the queue
	}{{CancelNone, 1, 1}, {CancelQueued, 1, 0}, {CancelAll, 0, 0}} {
		s := plainSpec()
		s.Capacity, s.Cancel = 5, c.cancel // one at a time
		r := newHarness(t, Rules{}, s)
		a, ca := r.call(0, 0, "")
		b, cb := r.call(0, 0, "")
		r.advanceTo(10 * ms)
		r.model.CloseConn(r.now, ca)
		r.model.CloseConn(r.now, cb)
		r.advanceTo(5 * sec)
		r.expect(string(c.cancel)+": in service", r.count(event.Ran, withID(a)), c.served)
		r.expect(string(c.cancel)+": waiting", r.count(event.Ran, withID(b)), c.stood)
		r.expect("over", r.count(event.CallOver, nil), 2)
	}
}

func TestIdempotencyKeysAreDeduplicated(t *testing.T) {
	s := plainSpec()
	s.DedupWindow = 10 * sec
	r := newHarness(t, Rules{}, s)
	a, _ := r.call(0, 0, "k")
	r.advanceTo(5 * sec)
	b, conn := r.call(0, 1, "k")
	r.advanceTo(6 * sec)
	r.expect("first", r.count(event.Ran, withID(a)), 1)
	r.expect("repeat", r.count(event.Ran, withID(b)), 0)
	r.expect("repeat is answered", r.statusOn(conn), event.StatusDelivered)
	r.advanceTo(30 * sec)
	c, _ := r.call(0, 0, "k")
	r.advanceTo(31 * sec)
	r.expect("after the window", r.count(event.Ran, withID(c)), 1)
}

func TestPlatformLimits(t *testing.T) {
	r := newHarness(t, Rules{MaxInFlight: 2, MaxAttempts: 2}, plainSpec())
	r.call(0, 0, "")
	r.call(0, 0, "")
	_, c := r.call(0, 0, "")
	r.expect("beyond the slots", r.statusOn(c), event.StatusFull)
	if e := r.effects[len(r.effects)-1]; !e.SlotsTaken {
		t.Error("slots are not named")
	}
	_, c = r.call(0, 1, "")
	r.advanceTo(sec)
	r.expect("of another relay", r.statusOn(c), event.StatusDelivered)

	id, _ := r.call(0, 0, "")
	r.advanceTo(2 * sec)
	r.callAgain(id, 0, 0, "")
	r.advanceTo(3 * sec)
	r.expect("third attempt", r.statusOn(r.callAgain(id, 0, 0, "")), event.StatusSpent)

	m := r.messages[id]
	m.Finished = true
	r.messages[id] = m
	r.model.ForgetMessage(id)
	r.expect("of one that is over", r.statusOn(r.callAgain(id, 0, 0, "")), event.StatusOver)
	r.expect("of one that nobody knows", r.statusOn(r.callAgain("zz", 0, 0, "")), event.StatusUnknown)
	r.expect("stray", r.count(event.Stray, nil), 1)
}

func TestConnections(t *testing.T) {
	s := plainSpec()
	s.MaxConns, s.IdleTimeout, s.HandshakeTime, s.OneWayDelay = 2, 5*sec, 30*ms, 10*ms
	r := newHarness(t, Rules{}, s)
	id, a := r.call(0, 0, "")
	r.advanceTo(239 * ms) // 10 + 30 + 200, then 10 back
	r.expect("not yet", r.count(event.Ran, withID(id)), 0)
	r.advanceTo(249 * ms)
	r.expect("ran", r.count(event.Ran, withID(id)), 1)
	r.expect("under way", r.statusOn(a), 0)
	r.advanceTo(251 * ms)
	r.expect("answered", r.statusOn(a), event.StatusDelivered)
	r.effects = nil
	r.messages["m2"] = Message{Number: 50}
	r.model.ReceiveFirstByte(r.now, a)
	r.model.ReceiveCall(r.now, a, "m2", "", sec)
	r.advanceTo(r.now + 221*ms)
	r.expect("second request, no handshake", r.statusOn(a), event.StatusDelivered)
	r.call(0, 0, "")
	_, over := r.call(0, 0, "")
	r.advanceTo(r.now + 100*ms)
	r.expect("third connection", r.statusOn(over), event.StatusFull)
	r.effects = nil
	r.advanceTo(r.now + 20*sec)
	closed := 0
	for _, e := range r.effects {
		if e.Kind == ShutConn {
			closed++
		}
	}
	r.expect("closed when idle", closed, 3)
}

func TestHealthChecks(t *testing.T) {
	r := newHarness(t, Rules{}, plainSpec())
	c := r.model.OpenConn(0, 0, 1)
	r.model.ReceiveHealthCheck(0, c)
	r.advanceTo(0)
	r.expect("alive", r.statusOn(c), event.StatusDelivered)
	r.effects = nil
	f := &Fault{Kind: RejectAll}
	r.model.InjectFault(0, 0, f)
	r.model.ReceiveHealthCheck(0, c)
	r.advanceTo(0)
	r.expect("shut", r.statusOn(c), event.StatusFull)
}

func TestInvalidSpecs(t *testing.T) {
	for name, spoil := range map[string]func(*Spec){
		"endpoints":  func(s *Spec) { s.Endpoints = 0 },
		"capacity":   func(s *Spec) { s.Capacity = math.NaN() },
		"service":    func(s *Spec) { s.ServiceTimes[0].Mean = 0 },
		"mix":        func(s *Spec) { s.ClassMix = nil },
		"cold share": func(s *Spec) { s.WarmUpShare = 0 },
		"limit":      func(s *Spec) { s.RateLimit = RateLimit{Kind: TokenBucket} },
		"window":     func(s *Spec) { s.RateLimit = RateLimit{Kind: FixedWindow, PerSecond: 3} },
	} {
		s := plainSpec()
		spoil(&s)
		if _, err := New([]Spec{s}, Rules{Relays: 1}, 1, nil, nil); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
}
