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

// plainSpec returns a destination without rate limit, network delay or warm-up.
func plainSpec() Spec {
	return Spec{
		Name: "p", Destination: 1, Endpoints: 1, Capacity: 10, QueueLimit: 5, ServiceTimes: []ServiceTime{
			{Mean: 200 * ms, Distribution: seededrand.Constant},
		},
		ClassMix: []float64{1}, RateLimit: RateLimit{Kind: NoLimit}, WarmUpShare: 1, Cancel: CancelNone,
	}
}

// warmUpSpec returns a destination that warms up for 10 s after an outage. It collapses if the calls
// that arrive within 2 s exceed 1.5 times what it can serve in that time.
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

// call sends a call for a new message to an endpoint, on a new connection. It returns the ID of the
// message and that of the connection.
func (h *harness) call(endpoint, relay int, key string) (string, ConnID) {
	h.lastID++
	id := fmt.Sprintf("m%d", h.lastID)
	h.messages[id] = Message{Number: h.lastID, Destination: h.model.Destination(endpoint)}
	return id, h.callAgain(id, endpoint, relay, key)
}

// callAgain sends another call for a message, on a new connection.
func (h *harness) callAgain(id string, endpoint, relay int, key string) ConnID {
	c := h.model.OpenConn(h.now, endpoint, relay)
	h.model.ReceiveFirstByte(h.now, c)
	h.model.ReceiveCall(h.now, c, id, key, sec)
	h.effects = h.model.TakeEffects(h.effects)
	return c
}

// count returns the number of events of a kind that accept returns true for; a nil accept counts all.
func (h *harness) count(kind event.Kind, accept func(event.Event) bool) (n int) {
	for _, e := range h.events {
		if e.Kind == kind && (accept == nil || accept(e)) {
			n++
		}
	}
	return n
}

// statusOn returns the status of the response on a connection, -1 if the connection was reset, or 0 if
// neither has happened.
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

func (h *harness) expect(quantity string, got, want int) {
	h.t.Helper()
	if got != want {
		h.t.Errorf("%s = %d, want %d", quantity, got, want)
	}
}

func withID(id string) func(event.Event) bool { return func(e event.Event) bool { return e.ID == id } }

// An endpoint that always has calls in its queue serves them at the rate of its capacity, whatever the
// distribution of service times, also if the capacity does not correspond to a whole number of calls in
// service.
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
		for h.now < span { // offer more calls than the endpoint can serve
			for len(h.model.endpoints[0].queue) < 4 {
				h.call(0, 0, "")
			}
			next, _ := h.model.NextTimer()
			h.advanceTo(next)
		}
		got := float64(h.count(event.TookEffect, nil)) / float64(span) * 1e6
		if math.Abs(got/c.capacity-1) > 0.03 {
			t.Errorf("rate served with capacity %v and %s service times = %.3f/s, want the capacity within 3%%",
				c.capacity, c.dist, got)
		}
	}
}

// Each kind of rate limit admits its configured rate, and rejects the other calls with or without a
// Retry-After as configured.
func TestRateLimits(t *testing.T) {
	for _, c := range []struct {
		name     string
		limit    RateLimit
		interval Time    // between calls
		served   float64 // calls per second
		status   int     // of rejected calls
	}{
		{"no limit", RateLimit{Kind: NoLimit}, 50 * ms, 20, 0},
		{"token bucket", RateLimit{Kind: TokenBucket, PerSecond: 7, Burst: 3}, 50 * ms, 7, event.StatusRejected},
		{
			"token bucket with Retry-After",
			RateLimit{Kind: TokenBucket, PerSecond: 7, Burst: 3, RetryAfter: 400 * ms},
			50 * ms, 7,
			event.StatusRetryLater,
		},
		{"window of 1 s", RateLimit{Kind: FixedWindow, PerSecond: 9, Window: sec}, 50 * ms, 9, event.StatusRejected},
		{
			"window of 0.5 s",
			RateLimit{Kind: FixedWindow, PerSecond: 9, Window: sec / 2},
			50 * ms, 8,
			event.StatusRejected,
		},
		{
			"rejected calls count against the limit",
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
			for ; h.now < span; h.advanceTo(h.now + c.interval) {
				_, conn := h.call(0, 0, "")
				if status := h.statusOn(conn); status != 0 && status != c.status {
					t.Fatalf("status of a rejected call = %d, want %d", status, c.status)
				}
			}
			h.advanceTo(span + sec)
			got := float64(h.count(event.TookEffect, nil)) / float64(span) * 1e6
			if math.Abs(got-c.served) > 0.03*c.served+0.05 {
				t.Errorf("rate served = %.3f/s, want %v/s", got, c.served)
			}
		})
	}
}

// The endpoints of a destination share one rate limit, unless its routes are independent: then each
// endpoint has a limit of its own.
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
		h.expect(fmt.Sprint("calls served, independent routes ", independent), h.count(event.TookEffect, nil), want)
	}
}

// After an outage an endpoint serves a share of its capacity that grows linearly to the whole.
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
		t.Errorf("Capacity(0) at the recovery = %.1f, want 52", got)
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
		served := h.count(event.TookEffect, nil)
		share := min(0.26+0.74*(float64(span)+0.5)/10, 1)
		// The four calls in service complete at the same time, so the count may be off by 4.
		if got := float64(served - last); math.Abs(got-200*share) > 0.03*200*share+4 {
			t.Errorf("calls served in second %d after the recovery = %v, want %.0f", span, got, 200*share)
		}
		last = served
	}
	if want := 200 * (0.63*10 + 2); math.Abs(float64(last)/want-1) > 0.01 {
		t.Errorf("calls served in total = %d, want %.0f", last, want)
	}
}

// An endpoint that warms up collapses, for the rest of the rehearsal, once it gets more calls than
// OverloadFactor allows. The event counts the calls of each relay, by which the checker decides which
// relays are at fault.
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
	// The capacity begins at 30% of 20 calls/s, which is 6 calls/s, and grows by 1.4 calls/s each
	// second. In the first 2 s the endpoint can serve 14.8 calls, and collapses above 1.5 times that,
	// which is 22.2 calls. So it survives 10 calls/s but not 12 calls/s.
	if _, at := overload(10); at >= 0 {
		t.Errorf("endpoint collapsed %d µs after its recovery under 10 calls/s, want no collapse", at)
	}
	h, at := overload(12)
	if at < 2*sec || at > 2*sec+200*ms {
		t.Errorf("endpoint collapsed %d µs after its recovery under 12 calls/s (-1: never), want 2 s to 2.2 s", at)
	}
	var collapse event.Event
	for _, e := range h.events {
		if e.Kind == event.Collapsed {
			collapse = e
		}
	}
	if len(collapse.Calls) != 2 || collapse.Calls[0] < collapse.Calls[1]*3/2 ||
		collapse.Calls[0]+collapse.Calls[1] < 23 {
		t.Errorf("calls by relay at the collapse = %v, want 23 in total or more, of relay 0 at least 1.5 times those "+
			"of relay 1", collapse.Calls)
	}
	h.expect("state of the listener after the collapse", int(h.model.endpoints[0].listener), int(Refusing))
	h.advanceTo(100 * sec)
	if h.model.Capacity(0, h.now) != 0 {
		t.Error("Capacity(0) is above 0 long after the collapse, want 0")
	}
}

// The endpoints of a destination share their load when a collapse is decided, and collapse together.
// With independent routes, each endpoint is considered alone.
func TestDestinationCollapsesAsAWholeAndIndependentRoutesSeparately(t *testing.T) {
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
		// One endpoint collapses at about 11 calls/s, so 16 calls/s to one endpoint are too much for it
		// but not for the two endpoints together.
		for h.now < 8*sec {
			h.call(0, 0, "")
			h.advanceTo(h.now + sec/16)
		}
		collapsed := [2]bool{h.model.endpoints[0].collapsed, h.model.endpoints[1].collapsed}
		if collapsed != [2]bool{independent, false} {
			t.Errorf("independent routes %v: endpoints collapsed under 16 calls/s = %v, want [%v false]",
				independent, collapsed, independent)
		}
		h.advanceTo(h.now + sec)
		for h.now < 20*sec && !h.model.endpoints[1].collapsed && !independent {
			h.call(1, 0, "")
			h.advanceTo(h.now + sec/200)
		}
		if !independent && (!h.model.endpoints[0].collapsed || !h.model.endpoints[1].collapsed) {
			t.Error("overload of the second endpoint did not make both endpoints of the destination collapse")
		}
	}
}

// Guards against a collapse by calls that another endpoint of the destination served before it crashed: its
// capacity until then counts as they do. If the load goes on at the other endpoint alone, that one collapses.
func TestCapacityBeforeCrashCounts(t *testing.T) {
	for _, overload := range []bool{false, true} {
		s := warmUpSpec()
		s.Endpoints = 2
		h := newHarness(t, Rules{}, s)
		f, crash := &Fault{Kind: RejectAll}, &Fault{Kind: Crash}
		for endpoint := range 2 {
			h.model.InjectFault(0, endpoint, f)
		}
		h.advanceTo(sec)
		for endpoint := range 2 {
			h.model.ClearFault(h.now, endpoint, f)
		}
		// After 5 s each endpoint can serve 13 calls/s, and bears 1.5 times that.
		callsUntil := func(end Time, rate, endpoints int) {
			for i := 0; h.now < end; i++ {
				h.call(i%endpoints, 0, "")
				h.advanceTo(h.now + sec/Time(rate))
			}
		}
		callsUntil(4*sec, 20, 2)
		callsUntil(6*sec, 32, 2)
		h.model.InjectFault(h.now, 0, crash)
		rate := 16
		if overload {
			rate = 32
		}
		for end := h.now + 3*sec; h.now < end; {
			h.call(1, 0, "")
			h.advanceTo(h.now + sec/Time(rate))
		}
		if got := h.model.endpoints[1].collapsed; got != overload {
			t.Errorf("%d calls/s at the endpoint that is left: collapsed = %v, want %v", rate, got, overload)
		}
	}
}

// Guards what each kind of fault does to a call: the status of its response, and whether it takes effect
// during the fault, only after it, or never. After the fault, calls are served as before.
func TestEachFault(t *testing.T) {
	for _, c := range []struct {
		fault         Fault
		status        int // of a call sent while the fault is active
		effectsDuring int // effects of that call by the end of the fault
		effectsAfter  int // effects of that call in total
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
			h.expect("status of a call during the fault", h.statusOn(conn), c.status)
			h.expect("effects by the end of the fault", h.count(event.TookEffect, withID(id)), c.effectsDuring)
			h.model.ClearFault(h.now, 0, &f)
			h.advanceTo(40 * sec)
			h.expect("effects after the fault", h.count(event.TookEffect, withID(id)), c.effectsAfter)
			id, conn = h.call(0, 0, "")
			h.advanceTo(80 * sec)
			h.expect("status of a call after the fault", h.statusOn(conn), event.StatusDelivered)
			h.expect("effects of a call after the fault", h.count(event.TookEffect, withID(id)), 1)
		})
	}
}

// An ErrorResponses fault fails its share of the calls, of which half take effect, so that a relay cannot
// conclude from the response whether a call has run. A share above one half counts as an outage.
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
	effects := h.count(event.TookEffect, nil)
	if failed < 2280 || failed > 2520 || math.Abs(float64(effects)-(4000-float64(failed)/2)) > 120 {
		t.Errorf("of 4000 calls %d failed and %d took effect, want about 2400 failed and half of these effective",
			failed, effects)
	}
	h.expect("outages", h.count(event.OutageBegan, nil), 1)
}

// A crash resets the connection of a call in service, and the call never takes effect.
func TestCrashLosesCallsInService(t *testing.T) {
	h := newHarness(t, Rules{}, plainSpec())
	id, conn := h.call(0, 0, "")
	h.advanceTo(100 * ms)
	f := &Fault{Kind: Crash}
	h.model.InjectFault(h.now, 0, f)
	h.advanceTo(sec)
	h.expect("status on the connection (-1 for a reset)", h.statusOn(conn), -1)
	h.expect("effects", h.count(event.TookEffect, withID(id)), 0)
	h.expect("CallFinal events", h.count(event.CallFinal, withID(id)), 1)
	h.expect("CallEnded events", h.count(event.CallEnded, withID(id)), 1)
}

// While a machine is unreachable, its connections stay open without a response. When it is back, they
// are reset, and the calls on them have had no effect.
func TestBlackholedMachineResetsItsConnectionsOnRecovery(t *testing.T) {
	h := newHarness(t, Rules{}, plainSpec())
	id, conn := h.call(0, 0, "")
	h.advanceTo(100 * ms)
	f := &Fault{Kind: Blackhole}
	h.model.InjectFault(h.now, 0, f)
	h.advanceTo(20 * sec)
	h.expect("status during the blackhole", h.statusOn(conn), 0)
	h.expect("state of the listener", int(h.model.endpoints[0].listener), int(Unresponsive))
	h.model.ClearFault(h.now, 0, f)
	h.advanceTo(21 * sec)
	h.expect("status after the recovery (-1 for a reset)", h.statusOn(conn), -1)
	h.expect("effects", h.count(event.TookEffect, withID(id)), 0)
}

// An outage ends with the last of its faults, in whatever order they end. Otherwise the endpoint would
// serve during a fault, or stay down after all of them.
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
			h.expect("outages ended while the second fault is active", h.count(event.OutageEnded, nil), 0)
			h.advanceTo(3 * sec)
			h.model.ClearFault(h.now, 0, second)
			h.advanceTo(4 * sec)
			h.expect(fmt.Sprint(kinds[a], " then ", kinds[b], ": outages ended"), h.count(event.OutageEnded, nil), 1)
			h.expect("state of the listener", int(h.model.endpoints[0].listener), int(Accepting))
			if got := h.model.Capacity(0, h.now); got >= 10 || got <= 3 {
				t.Errorf("Capacity(0) one second after the recovery = %v, want between 3 and 10", got)
			}
			_, conn := h.call(0, 0, "")
			h.advanceTo(10 * sec)
			h.expect("status of a call after the recovery", h.statusOn(conn), event.StatusDelivered)
		}
	}
}

// The overload of one destination that warms up does not make another one collapse that recovered at
// the same time.
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
	for h.now < 6*sec { // 20 calls/s to the first endpoint, 5 calls/s to the second
		h.call(0, 0, "")
		if h.now%(200*ms) == 0 {
			h.call(1, 0, "")
		}
		h.advanceTo(h.now + 50*ms)
	}
	if !h.model.endpoints[0].collapsed || h.model.endpoints[1].collapsed || h.count(event.Collapsed, nil) != 1 {
		t.Errorf("endpoints collapsed = %v and %v, want only the first",
			h.model.endpoints[0].collapsed, h.model.endpoints[1].collapsed)
	}
	if got, want := h.model.Capacity(1, h.now), 20*(0.3+0.7*0.5); math.Abs(got-want) > 1e-9 {
		t.Errorf("Capacity(1) = %v, want %v", got, want)
	}
}

// A planned stop refuses connections but emits no outage, since relays were told of it by the list. The
// endpoint warms up afterwards all the same.
func TestPlannedStopIsNoOutageButWarmsUp(t *testing.T) {
	s := plainSpec()
	s.WarmUpShare, s.WarmUpTime = 0.3, 5*sec
	h := newHarness(t, Rules{}, s)
	f := &Fault{Kind: PlannedStop}
	h.model.InjectFault(0, 0, f)
	h.expect("state of the listener", int(h.model.endpoints[0].listener), int(Refusing))
	h.advanceTo(sec)
	h.model.ClearFault(h.now, 0, f)
	h.expect("outages begun and ended", h.count(event.OutageBegan, nil)+h.count(event.OutageEnded, nil), 0)
	if got := h.model.Capacity(0, h.now); got >= 10 {
		t.Errorf("Capacity(0) at the recovery = %v, want below 10", got)
	}
}

// Two SlowService faults at once multiply the remaining service time of a call, and the end of one leaves
// the other active.
func TestSlowFaultsMultiply(t *testing.T) {
	h := newHarness(t, Rules{}, plainSpec())
	first, second := &Fault{Kind: SlowService, Magnitude: 2}, &Fault{Kind: SlowService, Magnitude: 5}
	id, _ := h.call(0, 0, "") // 200 ms of work
	h.advanceTo(100 * ms)
	h.model.InjectFault(h.now, 0, first)
	h.model.InjectFault(h.now, 0, second)
	h.advanceTo(600 * ms) // 50 ms of work left
	h.model.ClearFault(h.now, 0, first)
	h.advanceTo(849 * ms)
	h.expect("effects before the end of service", h.count(event.TookEffect, withID(id)), 0)
	h.advanceTo(851 * ms)
	h.expect("effects after the end of service", h.count(event.TookEffect, withID(id)), 1)
}

// What becomes of a call whose caller has closed the connection depends on the cancel policy and on
// whether the call is in service or queued. In any case the model reports when it is final.
func TestCancelledCalls(t *testing.T) {
	for _, c := range []struct {
		cancel            CancelPolicy
		inService, queued int // effects of a call in service and of a queued call
	}{{CancelNone, 1, 1}, {CancelQueued, 1, 0}, {CancelAll, 0, 0}} {
		s := plainSpec()
		s.Capacity, s.Cancel = 5, c.cancel // one call in service at a time
		h := newHarness(t, Rules{}, s)
		inService, firstConn := h.call(0, 0, "")
		queued, secondConn := h.call(0, 0, "")
		h.advanceTo(10 * ms)
		h.model.CloseConn(h.now, firstConn)
		h.model.CloseConn(h.now, secondConn)
		h.advanceTo(5 * sec)
		h.expect(string(c.cancel)+": in-service effects", h.count(event.TookEffect, withID(inService)), c.inService)
		h.expect(string(c.cancel)+": queued effects", h.count(event.TookEffect, withID(queued)), c.queued)
		h.expect(string(c.cancel)+": CallFinal events", h.count(event.CallFinal, nil), 2)
	}
}

// A call with a key that the destination has seen within the dedup window gets a response and takes no
// effect. After the window it takes effect again.
func TestIdempotencyKeysAreDeduplicated(t *testing.T) {
	s := plainSpec()
	s.DedupWindow = 10 * sec
	h := newHarness(t, Rules{}, s)
	a, _ := h.call(0, 0, "k")
	h.advanceTo(5 * sec)
	b, conn := h.call(0, 1, "k")
	h.advanceTo(6 * sec)
	h.expect("effects of the first call", h.count(event.TookEffect, withID(a)), 1)
	h.expect("effects of the repeat", h.count(event.TookEffect, withID(b)), 0)
	h.expect("status of the repeat", h.statusOn(conn), event.StatusDelivered)
	h.advanceTo(30 * sec)
	c, _ := h.call(0, 0, "k")
	h.advanceTo(31 * sec)
	h.expect("effects of a call after the dedup window", h.count(event.TookEffect, withID(c)), 1)
}

// Calls beyond the platform's limits are rejected: too many in flight from one relay, too many attempts
// for a message, and a message that has already ended or was never submitted.
func TestPlatformLimits(t *testing.T) {
	h := newHarness(t, Rules{MaxInFlight: 2, MaxAttempts: 2}, plainSpec())
	h.call(0, 0, "")
	h.call(0, 0, "")
	_, c := h.call(0, 0, "")
	h.expect("status of a call beyond the limit of calls in flight", h.statusOn(c), event.StatusRejected)
	if e := h.effects[len(h.effects)-1]; !e.SlotsTaken {
		t.Error("SlotsTaken of the response = false, want true")
	}
	_, c = h.call(0, 1, "")
	h.advanceTo(sec)
	h.expect("status of a call of another relay", h.statusOn(c), event.StatusDelivered)

	id, _ := h.call(0, 0, "")
	h.advanceTo(2 * sec)
	h.callAgain(id, 0, 0, "")
	h.advanceTo(3 * sec)
	h.expect("status of the third attempt", h.statusOn(h.callAgain(id, 0, 0, "")), event.StatusAttemptsExhausted)

	m := h.messages[id]
	m.Finished = true
	h.messages[id] = m
	h.model.ForgetMessage(id)
	h.expect("status of a call for a finished message", h.statusOn(h.callAgain(id, 0, 0, "")), event.StatusFinished)
	h.expect("status of a call for an unknown message", h.statusOn(h.callAgain("zz", 0, 0, "")), event.StatusUnknown)
	h.expect("UnknownCall events", h.count(event.UnknownCall, nil), 1)
}

// Guards the costs and limits of connections: the handshake delays only the first call, a connection
// beyond the limit gets its call rejected, and idle connections are closed.
func TestConnections(t *testing.T) {
	s := plainSpec()
	s.MaxConns, s.IdleTimeout, s.HandshakeTime, s.OneWayDelay = 2, 5*sec, 30*ms, 10*ms
	h := newHarness(t, Rules{}, s)
	id, a := h.call(0, 0, "")
	h.advanceTo(239 * ms) // 10 ms delay, 30 ms handshake, 200 ms service, then 10 ms delay of the response
	h.expect("effects before the end of service", h.count(event.TookEffect, withID(id)), 0)
	h.advanceTo(249 * ms)
	h.expect("effects after the end of service", h.count(event.TookEffect, withID(id)), 1)
	h.expect("status before the network delay of the response has passed", h.statusOn(a), 0)
	h.advanceTo(251 * ms)
	h.expect("status after the network delay of the response", h.statusOn(a), event.StatusDelivered)
	h.effects = nil
	h.messages["m2"] = Message{Number: 50}
	h.model.ReceiveFirstByte(h.now, a)
	h.model.ReceiveCall(h.now, a, "m2", "", sec)
	h.advanceTo(h.now + 221*ms)
	h.expect("status of a second call, without a handshake", h.statusOn(a), event.StatusDelivered)
	h.call(0, 0, "")
	_, beyond := h.call(0, 0, "")
	h.advanceTo(h.now + 100*ms)
	h.expect("status on a third connection", h.statusOn(beyond), event.StatusRejected)
	h.effects = nil
	h.advanceTo(h.now + 20*sec)
	closed := 0
	for _, e := range h.effects {
		if e.Kind == ShutConn {
			closed++
		}
	}
	h.expect("connections closed by the idle timeout", closed, 3)
}

// A health check is answered as a call would be: accepted, or rejected while all calls are rejected.
func TestHealthChecks(t *testing.T) {
	h := newHarness(t, Rules{}, plainSpec())
	c := h.model.OpenConn(0, 0, 1)
	h.model.ReceiveHealthCheck(0, c)
	h.advanceTo(0)
	h.expect("status of a health check", h.statusOn(c), event.StatusDelivered)
	h.effects = nil
	f := &Fault{Kind: RejectAll}
	h.model.InjectFault(0, 0, f)
	h.model.ReceiveHealthCheck(0, c)
	h.advanceTo(0)
	h.expect("status of a health check while all calls are rejected", h.statusOn(c), event.StatusRejected)
}

// New rejects a specification that the model could not emulate.
func TestInvalidSpecs(t *testing.T) {
	for name, invalidate := range map[string]func(*Spec){
		"endpoints":         func(s *Spec) { s.Endpoints = 0 },
		"capacity":          func(s *Spec) { s.Capacity = math.NaN() },
		"service time":      func(s *Spec) { s.ServiceTimes[0].Mean = 0 },
		"class mix":         func(s *Spec) { s.ClassMix = nil },
		"warm-up share":     func(s *Spec) { s.WarmUpShare = 0 },
		"rate limit":        func(s *Spec) { s.RateLimit = RateLimit{Kind: TokenBucket} },
		"rate limit window": func(s *Spec) { s.RateLimit = RateLimit{Kind: FixedWindow, PerSecond: 3} },
	} {
		s := plainSpec()
		invalidate(&s)
		if _, err := New([]Spec{s}, Rules{Relays: 1}, 1, nil, nil); err == nil {
			t.Errorf("New() with invalid %s returned no error", name)
		}
	}
}
