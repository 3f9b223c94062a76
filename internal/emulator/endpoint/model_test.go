package endpoint

import (
	"fmt"
	"math"
	"testing"

	"troutusher/internal/event"
	"troutusher/internal/seededrand"
)

const ms, sec Time = 1000, 1_000_000

// harness advances a model in virtual time and keeps its events and effects.
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
	h := &harness{t: t, messages: map[string]Message{}}
	if rules.Relays == 0 {
		rules.Relays = 2
	}
	lookup := func(id string) (Message, bool) { message, known := h.messages[id]; return message, known }
	emit := func(e event.Event) { h.events = append(h.events, e) }
	var err error
	if h.model, err = New(specs, rules, 11, lookup, emit); err != nil {
		t.Fatal(err)
	}
	return h
}

// plainSpec is a destination without limits, delays or warm-up.
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

// advanceTo advances the model to a time, from timer to timer.
func (h *harness) advanceTo(at Time) {
	for {
		next, ok := h.model.NextTimer()
		if !ok || next > at {
			break
		}
		h.model.Advance(next)
		h.effects = h.model.TakeEffects(h.effects)
	}
	h.now = at
	h.model.Advance(at)
	h.effects = h.model.TakeEffects(h.effects)
}

// call calls an endpoint for a new message, on a new connection.
func (h *harness) call(endpoint, relay int, key string) (string, ConnID) {
	h.lastID++
	id := fmt.Sprintf("m%d", h.lastID)
	h.messages[id] = Message{Number: h.lastID, Destination: h.model.Destination(endpoint)}
	return id, h.callAgain(id, endpoint, relay, key)
}

// callAgain is another call for a message, on a new connection.
func (h *harness) callAgain(id string, endpoint, relay int, key string) ConnID {
	c := h.model.OpenConn(h.now, endpoint, relay)
	h.model.ReceiveFirstByte(h.now, c)
	h.model.ReceiveCall(h.now, c, id, key, sec)
	h.effects = h.model.TakeEffects(h.effects)
	return c
}

// count counts the events of a kind that a filter accepts.
func (h *harness) count(kind event.Kind, accept func(event.Event) bool) (n int) {
	for _, e := range h.events {
		if e.Kind == kind && (accept == nil || accept(e)) {
			n++
		}
	}
	return n
}

// statusOn is the status of the response on a connection, -1 for a reset, 0 for neither.
func (h *harness) statusOn(c ConnID) int {
	for _, e := range h.effects {
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

func (h *harness) expect(what string, got, want int) {
	h.t.Helper()
	if got != want {
		h.t.Errorf("%s: %d, want %d", what, got, want)
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
		h := newHarness(t, Rules{}, s)
		span := Time(20_000 / c.capacity * 1e6)
		for h.now < span { // always more than it can do
			for len(h.model.endpoints[0].queue) < 4 {
				h.call(0, 0, "")
			}
			next, _ := h.model.NextTimer()
			h.advanceTo(next)
		}
		got := float64(h.count(event.TookEffect, nil)) / float64(span) * 1e6
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
		{"rate", RateLimit{Kind: TokenBucket, PerSecond: 7, Burst: 3}, 50 * ms, 7, event.StatusRejected},
		{
			"rate limit with Retry-After",
			RateLimit{Kind: TokenBucket, PerSecond: 7, Burst: 3, RetryAfter: 400 * ms},
			50 * ms, 7,
			event.StatusRetryLater,
		},
		{"window", RateLimit{Kind: FixedWindow, PerSecond: 9, Window: sec}, 50 * ms, 9, event.StatusRejected},
		{
			"window of half a second",
			RateLimit{Kind: FixedWindow, PerSecond: 9, Window: sec / 2},
			50 * ms, 8,
			event.StatusRejected,
		},
		{
			"rejected calls count",
			RateLimit{Kind: TokenBucket, PerSecond: 7, Burst: 3, CountsRejected: true},
			50 * ms, 0,
			event.StatusRejected,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := plainSpec()
			s.Capacity, s.QueueLimit, s.RateLimit = 1000, 1000, c.limit
			h := newHarness(t, Rules{}, s)
			const span = 200 * sec
			for ; h.now < span; h.advanceTo(h.now + c.every) {
				_, conn := h.call(0, 0, "")
				if st := h.statusOn(conn); st != 0 && st != c.status {
					t.Fatalf("rejected with %d, want %d", st, c.status)
				}
			}
			h.advanceTo(span + sec)
			got := float64(h.count(event.TookEffect, nil)) / float64(span) * 1e6
			if math.Abs(got-c.served) > 0.03*c.served+0.05 {
				t.Errorf("served %.3f/s, want %v", got, c.served)
			}
		})
	}
}

func TestRateLimitOfSharedAndIndependentRoutes(t *testing.T) {
	for _, independent := range []bool{false, true} {
		s := plainSpec()
		s.Endpoints, s.IndependentRoutes, s.Capacity = 2, independent, 100
		s.RateLimit = RateLimit{Kind: FixedWindow, PerSecond: 5, Window: sec}
		h := newHarness(t, Rules{}, s)
		for i := range 20 {
			h.call(i%2, 0, "")
		}
		h.advanceTo(sec - 1)
		want := 5
		if independent {
			want = 10
		}
		h.expect(fmt.Sprint("served, independent ", independent), h.count(event.TookEffect, nil), want)
	}
}

func TestCapacityGrowsDuringWarmUp(t *testing.T) {
	s := plainSpec()
	s.Capacity, s.QueueLimit, s.WarmUpShare, s.WarmUpTime = 200, 50, 0.26, 10*sec
	s.ServiceTimes[0].Mean = 20 * ms
	s.OverloadWindow, s.OverloadFactor = 2*sec, 1000
	h := newHarness(t, Rules{}, s)
	f := &Fault{Kind: Crash}
	h.model.InjectFault(0, 0, f)
	h.advanceTo(sec)
	h.model.ClearFault(h.now, 0, f)
	if got := h.model.Capacity(0, sec); math.Abs(got-52) > 1 {
		t.Errorf("capacity at the recovery %.1f, want 52", got)
	}
	last := 0
	for span := Time(0); span < 12; span++ {
		for end := sec + (span+1)*sec; h.now < end; {
			for len(h.model.endpoints[0].queue) < 40 {
				h.call(0, 0, "")
			}
			next, _ := h.model.NextTimer()
			h.advanceTo(min(next, end))
		}
		ran := h.count(event.TookEffect, nil)
		share := min(0.26+0.74*(float64(span)+0.5)/10, 1)
		// the four in service complete at once
		if got := float64(ran - last); math.Abs(got-200*share) > 0.03*200*share+4 {
			t.Errorf("second %d after the recovery: %v served, want %.0f", span, got, 200*share)
		}
		last = ran
	}
	if want := 200 * (0.63*10 + 2); math.Abs(float64(last)/want-1) > 0.01 {
		t.Errorf("%d served in all, want %.0f", last, want)
	}
}

func TestCollapsesUnderOverloadDuringWarmUp(t *testing.T) {
	overload := func(rate float64) (*harness, Time) {
		s := warmUpSpec()
		h := newHarness(t, Rules{Relays: 2}, s)
		f := &Fault{Kind: RejectAll}
		h.model.InjectFault(0, 0, f)
		h.advanceTo(sec)
		h.model.ClearFault(h.now, 0, f)
		for i := 0; h.now < 30*sec; i++ {
			h.call(0, i%3/2, "")
			h.advanceTo(h.now + Time(1e6/rate))
			if h.model.endpoints[0].collapsed {
				return h, h.now - sec
			}
		}
		return h, -1
	}
	// 30% of 20 is 6, warming by 1.4 a second: over the first 2 s 1.5 times the
	// capacity is 22.2 calls, so 10 a second pass and 12 do not.
	if _, at := overload(10); at >= 0 {
		t.Errorf("10 a second: collapsed after %d", at)
	}
	h, at := overload(12)
	if at < 2*sec || at > 2*sec+200*ms {
		t.Errorf("12 a second: collapsed after %d", at)
	}
	var collapse event.Event
	for _, e := range h.events {
		if e.Kind == event.Collapsed {
			collapse = e
		}
	}
	if len(collapse.Calls) != 2 || collapse.Calls[0] < collapse.Calls[1]*3/2 ||
		collapse.Calls[0]+collapse.Calls[1] < 23 {
		t.Errorf("collapsed under %v", collapse.Calls)
	}
	h.expect("listener", int(h.model.endpoints[0].listener), int(Refusing))
	h.advanceTo(100 * sec)
	if h.model.Capacity(0, h.now) != 0 {
		t.Error("it recovered")
	}
}

func TestDestinationCollapsesAsAWholeAndAnIndependentRouteAlone(t *testing.T) {
	for _, independent := range []bool{false, true} {
		s := warmUpSpec()
		s.Endpoints, s.IndependentRoutes = 2, independent
		h := newHarness(t, Rules{}, s)
		f := &Fault{Kind: RejectAll}
		for endpoint := range 2 {
			h.model.InjectFault(0, endpoint, f)
		}
		h.advanceTo(sec)
		for endpoint := range 2 {
			h.model.ClearFault(h.now, endpoint, f)
		}
		// 16 a second at one of them: more than 11 or so, less than twice that.
		for h.now < 8*sec {
			h.call(0, 0, "")
			h.advanceTo(h.now + sec/16)
		}
		collapsed := [2]bool{h.model.endpoints[0].collapsed, h.model.endpoints[1].collapsed}
		if collapsed != [2]bool{independent, false} {
			t.Errorf("independent %v: at 16 a second %v collapsed", independent, collapsed)
		}
		h.advanceTo(h.now + sec)
		for h.now < 20*sec && !h.model.endpoints[1].collapsed && !independent {
			h.call(1, 0, "")
			h.advanceTo(h.now + sec/200)
		}
		if !independent && (!h.model.endpoints[0].collapsed || !h.model.endpoints[1].collapsed) {
			t.Error("a destination collapsed in part, or not at all")
		}
	}
}

func TestEachFault(t *testing.T) {
	for _, c := range []struct {
		fault  Fault
		status int // of a call that comes while it is active
		ran    int // effects of that call by then
		later  int // and after the fault
	}{
		{Fault{Kind: RejectAll}, event.StatusRejected, 0, 0},
		{Fault{Kind: RejectWithRetryAfter, Magnitude: 2}, event.StatusRetryLater, 0, 0},
		{Fault{Kind: Blackhole}, 0, 0, 0},
		{Fault{Kind: Hang}, 0, 0, 1},
		{Fault{Kind: ConnectionReset, Share: 1}, -1, 1, 1},
		{Fault{Kind: MalformedResponse, Share: 1, Defect: GarbageBytes}, event.StatusMalformed, 1, 1},
		{Fault{Kind: MalformedResponse, Share: 1, Defect: DuplicateResponse}, event.StatusDelivered, 1, 1},
		{Fault{Kind: LateResponse, Share: 1, Magnitude: 30}, 0, 1, 1},
		{Fault{Kind: SlowService, Magnitude: 100}, 0, 0, 1},
		{Fault{Kind: TailLatency, Share: 1, Magnitude: 100}, 0, 0, 1},
	} {
		t.Run(string(c.fault.Kind)+string(c.fault.Defect), func(t *testing.T) {
			h := newHarness(t, Rules{}, plainSpec())
			f := c.fault
			h.model.InjectFault(0, 0, &f)
			id, conn := h.call(0, 0, "")
			h.advanceTo(5 * sec)
			h.expect("status", h.statusOn(conn), c.status)
			h.expect("ran", h.count(event.TookEffect, withID(id)), c.ran)
			h.model.ClearFault(h.now, 0, &f)
			h.advanceTo(40 * sec)
			h.expect("ran later", h.count(event.TookEffect, withID(id)), c.later)
			id, conn = h.call(0, 0, "")
			h.advanceTo(80 * sec)
			h.expect("status of a call after the fault", h.statusOn(conn), event.StatusDelivered)
			h.expect("its effects", h.count(event.TookEffect, withID(id)), 1)
		})
	}
}

func TestHalfOfTheErrorResponsesTakeEffect(t *testing.T) {
	s := plainSpec()
	s.Capacity, s.QueueLimit = 1e4, 1000
	h := newHarness(t, Rules{}, s)
	f := &Fault{Kind: ErrorResponses, Share: 0.6}
	h.model.InjectFault(0, 0, f)
	failed := 0
	for range 4000 {
		_, conn := h.call(0, 0, "")
		h.advanceTo(h.now + sec)
		if h.statusOn(conn) == event.StatusError {
			failed++
		}
		h.model.CloseConn(h.now, conn)
		h.effects = nil
	}
	ran := h.count(event.TookEffect, nil)
	if failed < 2280 || failed > 2520 || math.Abs(float64(ran)-(4000-float64(failed)/2)) > 120 {
		t.Errorf("%d failed of 4000, %d ran", failed, ran)
	}
	h.expect("outages", h.count(event.OutageBegan, nil), 1)
}

func TestCrashLosesCallsInService(t *testing.T) {
	h := newHarness(t, Rules{}, plainSpec())
	id, conn := h.call(0, 0, "")
	h.advanceTo(100 * ms)
	f := &Fault{Kind: Crash}
	h.model.InjectFault(h.now, 0, f)
	h.advanceTo(sec)
	h.expect("its connection", h.statusOn(conn), -1)
	h.expect("ran", h.count(event.TookEffect, withID(id)), 0)
	h.expect("final", h.count(event.CallFinal, withID(id)), 1)
	h.expect("ended without response", h.count(event.CallEnded, withID(id)), 1)
}

func TestBlackholedMachineResetsItsConnectionsOnRecovery(t *testing.T) {
	h := newHarness(t, Rules{}, plainSpec())
	id, conn := h.call(0, 0, "")
	h.advanceTo(100 * ms)
	f := &Fault{Kind: Blackhole}
	h.model.InjectFault(h.now, 0, f)
	h.advanceTo(20 * sec)
	h.expect("no response", h.statusOn(conn), 0)
	h.expect("listener", int(h.model.endpoints[0].listener), int(Unresponsive))
	h.model.ClearFault(h.now, 0, f)
	h.advanceTo(21 * sec)
	h.expect("reset", h.statusOn(conn), -1)
	h.expect("ran", h.count(event.TookEffect, withID(id)), 0)
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
			h := newHarness(t, Rules{}, s)
			first, second := &Fault{Kind: kinds[a]}, &Fault{Kind: kinds[b]}
			h.model.InjectFault(0, 0, first)
			h.advanceTo(sec)
			h.model.InjectFault(h.now, 0, second)
			h.advanceTo(2 * sec)
			h.model.ClearFault(h.now, 0, first)
			h.expect("recovered too early", h.count(event.OutageEnded, nil), 0)
			h.advanceTo(3 * sec)
			h.model.ClearFault(h.now, 0, second)
			h.advanceTo(4 * sec)
			h.expect(fmt.Sprint(kinds[a], " then ", kinds[b], ": recovered"), h.count(event.OutageEnded, nil), 1)
			h.expect("listener", int(h.model.endpoints[0].listener), int(Accepting))
			if got := h.model.Capacity(0, h.now); got >= 10 || got <= 3 {
				t.Errorf("capacity %v one second after the recovery", got)
			}
			_, conn := h.call(0, 0, "")
			h.advanceTo(10 * sec)
			h.expect("serves", h.statusOn(conn), event.StatusDelivered)
		}
	}
}

func TestDestinationsThatRecoverAtOnceWarmUpSeparately(t *testing.T) {
	a, b := warmUpSpec(), warmUpSpec()
	b.Destination = 2
	h := newHarness(t, Rules{}, a, b)
	f := &Fault{Kind: Hang}
	for endpoint := range 2 {
		h.model.InjectFault(0, endpoint, f)
	}
	h.advanceTo(sec)
	for endpoint := range 2 {
		h.model.ClearFault(h.now, endpoint, f)
	}
	for h.now < 6*sec { // 20 a second to one of them, 5 to the other
		h.call(0, 0, "")
		if h.now%(200*ms) == 0 {
			h.call(1, 0, "")
		}
		h.advanceTo(h.now + 50*ms)
	}
	if !h.model.endpoints[0].collapsed || h.model.endpoints[1].collapsed || h.count(event.Collapsed, nil) != 1 {
		t.Errorf("collapsed: %v and %v", h.model.endpoints[0].collapsed, h.model.endpoints[1].collapsed)
	}
	if got, want := h.model.Capacity(1, h.now), 20*(0.3+0.7*0.5); math.Abs(got-want) > 1e-9 {
		t.Errorf("the other has capacity %v, want %v", got, want)
	}
}

func TestPlannedStopIsNoOutageButWarmsUp(t *testing.T) {
	s := plainSpec()
	s.WarmUpShare, s.WarmUpTime = 0.3, 5*sec
	h := newHarness(t, Rules{}, s)
	f := &Fault{Kind: PlannedStop}
	h.model.InjectFault(0, 0, f)
	h.expect("listener", int(h.model.endpoints[0].listener), int(Refusing))
	h.advanceTo(sec)
	h.model.ClearFault(h.now, 0, f)
	h.expect("outages", h.count(event.OutageBegan, nil)+h.count(event.OutageEnded, nil), 0)
	if got := h.model.Capacity(0, h.now); got >= 10 {
		t.Errorf("capacity %v at its recovery", got)
	}
}

func TestSlowFaultsMultiply(t *testing.T) {
	h := newHarness(t, Rules{}, plainSpec())
	first, second := &Fault{Kind: SlowService, Magnitude: 2}, &Fault{Kind: SlowService, Magnitude: 5}
	id, _ := h.call(0, 0, "") // 200 ms of work
	h.advanceTo(100 * ms)
	h.model.InjectFault(h.now, 0, first)
	h.model.InjectFault(h.now, 0, second)
	h.advanceTo(600 * ms) // 50 of 100 ms left
	h.model.ClearFault(h.now, 0, first)
	h.advanceTo(849 * ms)
	h.expect("ran early", h.count(event.TookEffect, withID(id)), 0)
	h.advanceTo(851 * ms)
	h.expect("ran", h.count(event.TookEffect, withID(id)), 1)
}

func TestCancelledCalls(t *testing.T) {
	for _, c := range []struct {
		cancel            CancelPolicy
		inService, queued int // effects of one in service and of one in the queue
	}{{CancelNone, 1, 1}, {CancelQueued, 1, 0}, {CancelAll, 0, 0}} {
		s := plainSpec()
		s.Capacity, s.Cancel = 5, c.cancel // one at a time
		h := newHarness(t, Rules{}, s)
		inService, firstConn := h.call(0, 0, "")
		queued, secondConn := h.call(0, 0, "")
		h.advanceTo(10 * ms)
		h.model.CloseConn(h.now, firstConn)
		h.model.CloseConn(h.now, secondConn)
		h.advanceTo(5 * sec)
		h.expect(string(c.cancel)+": in service", h.count(event.TookEffect, withID(inService)), c.inService)
		h.expect(string(c.cancel)+": queued", h.count(event.TookEffect, withID(queued)), c.queued)
		h.expect("final", h.count(event.CallFinal, nil), 2)
	}
}

func TestIdempotencyKeysAreDeduplicated(t *testing.T) {
	s := plainSpec()
	s.DedupWindow = 10 * sec
	h := newHarness(t, Rules{}, s)
	a, _ := h.call(0, 0, "k")
	h.advanceTo(5 * sec)
	b, conn := h.call(0, 1, "k")
	h.advanceTo(6 * sec)
	h.expect("first", h.count(event.TookEffect, withID(a)), 1)
	h.expect("repeat", h.count(event.TookEffect, withID(b)), 0)
	h.expect("response to the repeat", h.statusOn(conn), event.StatusDelivered)
	h.advanceTo(30 * sec)
	c, _ := h.call(0, 0, "k")
	h.advanceTo(31 * sec)
	h.expect("after the window", h.count(event.TookEffect, withID(c)), 1)
}

func TestPlatformLimits(t *testing.T) {
	h := newHarness(t, Rules{MaxInFlight: 2, MaxAttempts: 2}, plainSpec())
	h.call(0, 0, "")
	h.call(0, 0, "")
	_, c := h.call(0, 0, "")
	h.expect("beyond the calls in flight", h.statusOn(c), event.StatusRejected)
	if e := h.effects[len(h.effects)-1]; !e.SlotsTaken {
		t.Error("the response does not name the reason")
	}
	_, c = h.call(0, 1, "")
	h.advanceTo(sec)
	h.expect("of another relay", h.statusOn(c), event.StatusDelivered)

	id, _ := h.call(0, 0, "")
	h.advanceTo(2 * sec)
	h.callAgain(id, 0, 0, "")
	h.advanceTo(3 * sec)
	h.expect("third attempt", h.statusOn(h.callAgain(id, 0, 0, "")), event.StatusAttemptsExhausted)

	m := h.messages[id]
	m.Finished = true
	h.messages[id] = m
	h.model.ForgetMessage(id)
	h.expect("of a finished message", h.statusOn(h.callAgain(id, 0, 0, "")), event.StatusFinished)
	h.expect("of an unknown message", h.statusOn(h.callAgain("zz", 0, 0, "")), event.StatusUnknown)
	h.expect("stray", h.count(event.UnknownCall, nil), 1)
}

func TestConnections(t *testing.T) {
	s := plainSpec()
	s.MaxConns, s.IdleTimeout, s.HandshakeTime, s.OneWayDelay = 2, 5*sec, 30*ms, 10*ms
	h := newHarness(t, Rules{}, s)
	id, a := h.call(0, 0, "")
	h.advanceTo(239 * ms) // 10 + 30 + 200, then 10 back
	h.expect("not yet", h.count(event.TookEffect, withID(id)), 0)
	h.advanceTo(249 * ms)
	h.expect("ran", h.count(event.TookEffect, withID(id)), 1)
	h.expect("response on its way", h.statusOn(a), 0)
	h.advanceTo(251 * ms)
	h.expect("response", h.statusOn(a), event.StatusDelivered)
	h.effects = nil
	h.messages["m2"] = Message{Number: 50}
	h.model.ReceiveFirstByte(h.now, a)
	h.model.ReceiveCall(h.now, a, "m2", "", sec)
	h.advanceTo(h.now + 221*ms)
	h.expect("second request, no handshake", h.statusOn(a), event.StatusDelivered)
	h.call(0, 0, "")
	_, beyond := h.call(0, 0, "")
	h.advanceTo(h.now + 100*ms)
	h.expect("third connection", h.statusOn(beyond), event.StatusRejected)
	h.effects = nil
	h.advanceTo(h.now + 20*sec)
	closed := 0
	for _, e := range h.effects {
		if e.Kind == ShutConn {
			closed++
		}
	}
	h.expect("closed when idle", closed, 3)
}

func TestHealthChecks(t *testing.T) {
	h := newHarness(t, Rules{}, plainSpec())
	c := h.model.OpenConn(0, 0, 1)
	h.model.ReceiveHealthCheck(0, c)
	h.advanceTo(0)
	h.expect("alive", h.statusOn(c), event.StatusDelivered)
	h.effects = nil
	f := &Fault{Kind: RejectAll}
	h.model.InjectFault(0, 0, f)
	h.model.ReceiveHealthCheck(0, c)
	h.advanceTo(0)
	h.expect("rejecting", h.statusOn(c), event.StatusRejected)
}

func TestInvalidSpecs(t *testing.T) {
	for name, invalidate := range map[string]func(*Spec){
		"endpoints":     func(s *Spec) { s.Endpoints = 0 },
		"capacity":      func(s *Spec) { s.Capacity = math.NaN() },
		"service":       func(s *Spec) { s.ServiceTimes[0].Mean = 0 },
		"mix":           func(s *Spec) { s.ClassMix = nil },
		"warm-up share": func(s *Spec) { s.WarmUpShare = 0 },
		"limit":         func(s *Spec) { s.RateLimit = RateLimit{Kind: TokenBucket} },
		"window":        func(s *Spec) { s.RateLimit = RateLimit{Kind: FixedWindow, PerSecond: 3} },
	} {
		s := plainSpec()
		invalidate(&s)
		if _, err := New([]Spec{s}, Rules{Relays: 1}, 1, nil, nil); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
}
