package policy

import (
	"fmt"
	"math"
	"strings"
	"testing"
)

// singleClassSettings returns settings for a relay with one safe class and one kind of destination.
func singleClassSettings() Settings {
	return Settings{Relays: 2, MaxConcurrentCalls: 8, MaxPending: 100, MaxAttempts: 9, ExponentialDecay: true, OverQuotaWeight: 0.1,
		ListHasRates: true, HealthChecks: true, Cancellation: true, SendRetryAfter: true, MaxRetryAfter: 2 * second, TickInterval: 5000,
		ReplyGrace: 20000, DrainGrace: second, InitialCapacity: 0.2, RampDuration: 10 * second, OverloadFactor: 2,
		OverloadDuration: 3 * second, IdleTimeout: 10 * second, ConnectTimeout: second, DestinationKinds: []DestinationKind{{BatchSize: 1}},
		Classes: []Class{{Name: "m", LatencyObjective: 2 * second, Deadline: 20 * second, Weight: 1, LateWeight: 0.3}}}
}

// harness drives a policy by hand: a steady host that answers as told.
type harness struct {
	t           *testing.T
	engine      *Engine
	now         Time
	actions     []Action
	nextMessage uint32
	sends       []Action
	sentAt      []Time
	events      []Event
}

func newHarness(t *testing.T, s Settings, entries ...EndpointUpdate) *harness {
	t.Helper()
	p, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &harness{t: t, engine: p, now: 1000 * second, nextMessage: 1}
	r.step(Event{Kind: EvListUpdated, ListUpdate: ListCached, Updates: entries})
	return r
}

func (r *harness) step(events ...Event) []Action {
	r.actions = r.engine.Step(r.now, events, nil)
	r.sends = nil
	for _, a := range r.actions {
		if a.Kind == ActSend {
			r.sends = append(r.sends, a)
			r.sentAt = append(r.sentAt, r.now)
		}
	}
	return r.actions
}

func (r *harness) message(class, dest int) Event {
	r.nextMessage++
	return Event{Kind: EvMessageSubmitted, Message: r.nextMessage - 1, Class: class, Destination: dest, TimeLeft: r.engine.settings.Classes[class].Deadline}
}

func count(acts []Action, k ActionKind) int {
	n := 0
	for _, a := range acts {
		if a.Kind == k {
			n++
		}
	}
	return n
}

func readyEndpoint(id EndpointID, rate float64) EndpointUpdate {
	return EndpointUpdate{Endpoint: id, State: Ready, Rate: rate}
}

func endOf(a Action, o Outcome) Event {
	return Event{Kind: EvAttemptEnded, Message: a.Message, Endpoint: a.Endpoint, Attempt: a.Attempt, Outcome: o,
		Latency: second / 10, MessageFinished: o == Delivered}
}

func TestDropChance(t *testing.T) {
	for _, c := range []struct{ req, acc, want float64 }{
		{0, 0, 0},        // no history
		{10, 10, 0},      // all accepted
		{10, 5, 0},       // just K times the accepts
		{20, 5, 6. / 21}, // past it, two accepts to its credit
		{1000, 0, 0.9},   // dead: the cap
		{3, 0, 0},        // hardly asked: that tells nothing
	} {
		if got := dropProbability(c.req, c.acc); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("dropChance(%v, %v) = %v, want %v", c.req, c.acc, got, c.want)
		}
	}
}

func TestHistoryExpires(t *testing.T) {
	c := newSlidingCounter(10*second, 20)
	for i := range Time(10) {
		c.request(i * second)
		c.accept(i * second)
	}
	for _, x := range []struct {
		at   Time
		want float64
	}{{9 * second, 10}, {14 * second, 5}, {60 * second, 0}} {
		if req, acc := c.totals(x.at); math.Abs(req-x.want) > 1 || req != acc {
			t.Errorf("at %d: %v requests, %v accepts, want about %v", x.at, req, acc, x.want)
		}
	}
}

// TestLocalDropsCount: a draw is a request whether or not it passes.
func TestLocalDropsCount(t *testing.T) {
	r := newHarness(t, singleClassSettings(), readyEndpoint(1, 10))
	l := r.engine.endpoints[1].limiter
	drops := 0
	for range 200 {
		if r.engine.drawDrop(l) {
			drops++
		}
	}
	if req, _ := l.history.totals(r.now); req != 200 || drops < 140 || drops > 195 {
		t.Fatalf("%v requests counted, %d drops of 200", req, drops)
	}
}

// TestWindow: it starts at one, grows by one with each success, and halves on a refusal or a time-out.
func TestWindow(t *testing.T) {
	r := newHarness(t, singleClassSettings(), readyEndpoint(1, 1000))
	l := r.engine.endpoints[1].limiter
	var burst []Event
	for range 20 {
		burst = append(burst, r.message(0, 0))
	}
	r.step(burst...)
	if len(r.sends) != 1 {
		t.Fatalf("%d calls in the first turn, want 1", len(r.sends))
	}
	r.now += second / 10
	r.step(endOf(r.sends[0], Delivered))
	if len(r.sends) != 2 || l.window != 2 {
		t.Fatalf("%d calls after a success, window %v, want 2 and 2", len(r.sends), l.window)
	}
	for _, o := range []Outcome{Rejected, TimedOut} {
		l.window = 6
		r.now += second / 10
		r.engine.observeCall(&call{endpoint: r.engine.endpoints[1], sentAt: r.now, messages: []*message{{class: &r.engine.settings.Classes[0]}}}, &Event{Kind: EvAttemptEnded, Outcome: o})
		if l.window != 3 {
			t.Errorf("window after outcome %d: %v, want 3", o, l.window)
		}
	}
}

// TestSlotsAtOneDestination: three quarters of the slots at most, half while it fails.
func TestSlotsAtOneDestination(t *testing.T) {
	for _, failing := range []bool{false, true} {
		r := newHarness(t, singleClassSettings(), readyEndpoint(1, 1000))
		l := r.engine.endpoints[1].limiter
		l.window = 100
		want := 6
		if failing {
			r.engine.endpoints[1].failureScore, want = 0.35, 4
		}
		for range 10 {
			r.step(r.message(0, 0), r.message(0, 0))
		}
		if l.destination.callsInFlight != want {
			t.Errorf("failing %v: %d calls out of 8 slots, want %d", failing, l.destination.callsInFlight, want)
		}
	}
}

// runOutage sends a message each 100 ms; the destination answers with o from the first second to the twelfth.
func runOutage(t *testing.T, s Settings, rate float64, o Outcome) *harness {
	r := newHarness(t, s, readyEndpoint(1, rate/2), readyEndpoint(2, rate/2))
	start := r.now
	type out struct {
		a   Action
		due Time
		o   Outcome
	}
	var flights []out
	tries := map[uint32]int{}
	for r.now < start+40*second {
		var events []Event
		var still []out
		for _, f := range flights {
			if f.due > r.now {
				still = append(still, f)
				continue
			}
			events = append(events, endOf(f.a, f.o))
		}
		flights = still
		if (r.now-start)%(second/10) == 0 {
			events = append(events, r.message(0, 0))
		}
		r.step(events...)
		for _, a := range r.actions {
			switch a.Kind {
			case ActSend:
				a.Attempt = tries[a.Message]
				tries[a.Message]++
				f := out{a, r.now + second/5, Delivered}
				if at := r.now - start; at > second && at < 12*second {
					f.o = o
					if o == TimedOut {
						f.due = a.TimeoutAt
					}
				}
				flights = append(flights, f)
			}
		}
		r.now += 5000
	}
	return r
}

// TestRecoveryBudget: after an outage seen, this relay's part of the budget holds in any window of the fall
// time, from the return on, with the capacity at its slowest ramp.
func TestRecoveryBudget(t *testing.T) {
	for _, o := range []Outcome{Failed, TimedOut, ConnectFailed, ConnectionReset, Rejected} {
		s := singleClassSettings()
		r := runOutage(t, s, 20, o)
		start, back := 1000*second, 1012*second
		early, late := 0, 0
		for _, at := range r.sentAt {
			if at > start+6*second && at < back {
				early++
			}
			if at > back+15*second {
				late++
			}
		}
		for from := back; from < back+s.RampDuration; from += second / 4 {
			n := 0
			for _, at := range r.sentAt {
				if at >= from && at < from+s.OverloadDuration {
					n++
				}
			}
			share := s.InitialCapacity + (1-s.InitialCapacity)*float64(from-back)/float64(s.RampDuration)
			most := s.OverloadFactor * share * 20 * 3 / float64(s.Relays)
			if float64(n) > most+2 { // a trial at each endpoint is the allowance for chance
				t.Errorf("outcome %d: %d calls in the 3 s from %d ms after the return, want at most %.1f", o, n,
					(from-back)/1000, most)
			}
		}
		if early == 0 || early > 60 || late < 50 {
			t.Errorf("outcome %d: %d calls in the outage and %d after it: trials or the return are missing", o, early, late)
		}
	}
}

// TestPartialSuccessKeepsRecoveryBudget: a success amid failures starts no ramp that survives the next failure.
func TestPartialSuccessKeepsRecoveryBudget(t *testing.T) {
	r := newHarness(t, singleClassSettings(), readyEndpoint(1, 10))
	ep := r.engine.endpoints[1]
	r.engine.recordFailure(ep, r.now, false)
	r.engine.recordFailure(ep, r.now, false)
	if ep.unhealthy {
		t.Fatal("two failures in a row are an outage")
	}
	r.engine.recordFailure(ep, r.now, false)
	if !ep.unhealthy {
		t.Fatal("three failures in a row are no outage")
	}
	r.now += second
	r.engine.now = r.now
	r.engine.recordSuccess(ep, r.now)
	r.engine.now += 5 * second
	if r.engine.rampedCapacity(ep) < 0.5 {
		t.Fatalf("half a ramp gives %v", r.engine.rampedCapacity(ep))
	}
	r.engine.recordFailure(ep, r.engine.now, false)
	r.engine.recordFailure(ep, r.engine.now, false)
	if got := r.engine.rampedCapacity(ep); got != 0.2 || !ep.unhealthy {
		t.Fatalf("after a failure in the ramp: share %v, out %v", got, ep.unhealthy)
	}
}

// TestCallsBeforeRecoveryAreIgnored: what left before the outage was over does not restart it.
func TestCallsBeforeRecoveryAreIgnored(t *testing.T) {
	r := newHarness(t, singleClassSettings(), readyEndpoint(1, 10))
	ep := r.engine.endpoints[1]
	early := r.now
	for range 3 {
		r.engine.recordFailure(ep, r.now, true)
	}
	r.engine.now += 3 * second
	r.engine.recordSuccess(ep, r.engine.now-second/10)
	good := ep.recoveredAt
	r.engine.recordFailure(ep, early, true)
	if good == 0 || ep.recoveredAt != good {
		t.Fatalf("ramp began at %d and now says %d", good, ep.recoveredAt)
	}
}

// TestTimeoutNotBelowLatencyObjective: one quick answer must not make the next slow one look like an outage.
func TestTimeoutNotBelowLatencyObjective(t *testing.T) {
	r := newHarness(t, singleClassSettings(), readyEndpoint(1, 1000))
	r.step(r.message(0, 0))
	e := endOf(r.sends[0], Delivered)
	e.Latency = 1000
	r.now += 1000
	r.step(e)
	r.step(r.message(0, 0))
	if len(r.sends) != 1 || r.sends[0].TimeoutAt-r.now < 2*second {
		t.Fatalf("sends %+v at %d: time-out under the aim", r.sends, r.now)
	}
}

// TestSmallShareAllowsBurst: with many relays a lane still lets a few arrivals close together pass.
func TestSmallShareAllowsBurst(t *testing.T) {
	s := singleClassSettings()
	s.Relays = 12
	r := newHarness(t, s, readyEndpoint(1, 9))
	r.engine.endpoints[1].limiter.window = 5
	r.step(r.message(0, 0), r.message(0, 0), r.message(0, 0))
	if len(r.sends) != 3 {
		t.Fatalf("%d of 3 calls passed at once", len(r.sends))
	}
}

// TestTrialCallsUsePendingMessages: a trial call is a message that waits; an unsafe one only once it is late.
func TestTrialCallsUsePendingMessages(t *testing.T) {
	for _, unsafe := range []bool{false, true} {
		s := singleClassSettings()
		if unsafe {
			s.Classes[0].Idempotency = NonIdempotent
		}
		r := newHarness(t, s, readyEndpoint(1, 10))
		for range 3 {
			r.engine.recordFailure(r.engine.endpoints[1], r.now, true)
		}
		start := r.now
		r.step(r.message(0, 0))
		for len(r.sends) == 0 && r.now < start+19*second {
			r.now += second / 20
			r.step()
		}
		if len(r.sends) != 1 || unsafe && r.now <= start+s.Classes[0].LatencyObjective {
			t.Errorf("unsafe %v: %d sends after %d ms", unsafe, len(r.sends), (r.now-start)/1000)
		}
	}
}

// TestBatchSharesOneCall: what waits for one endpoint shares a call and a slot, and the call counts once.
func TestBatchSharesOneCall(t *testing.T) {
	s := singleClassSettings()
	s.DestinationKinds[0].BatchSize = 3
	r := newHarness(t, s, readyEndpoint(1, 10))
	r.step(r.message(0, 0), r.message(0, 0), r.message(0, 0))
	if len(r.sends) != 3 || r.engine.callsInFlight != 1 {
		t.Fatalf("%d sends in %d calls, want 3 in 1", len(r.sends), r.engine.callsInFlight)
	}
	r.now += second / 5
	r.step(endOf(r.sends[0], Delivered))
	if r.engine.callsInFlight != 1 {
		t.Fatal("the slot was freed before the call's last outcome")
	}
}

// TestQueueOrderedByWeight: what loses most by waiting goes first; what is over its tenant's share goes last.
func TestQueueOrderedByWeight(t *testing.T) {
	s := singleClassSettings()
	s.Classes = append(s.Classes, Class{Name: "dear", LatencyObjective: 2 * second, Deadline: 20 * second, Weight: 3, LateWeight: 0.3})
	s.Tenants = []Tenant{{Name: "a", Quota: 2}, {Name: "b", Quota: 100}}
	r := newHarness(t, s, readyEndpoint(1, 2))
	r.step(r.message(0, 0)) // takes the window of one
	var events []Event
	for i := range 6 {
		e := r.message(i%2, 0)
		e.Tenant = 1
		if i >= 4 {
			e.Tenant = 0
		}
		events = append(events, e)
	}
	r.step(events...)
	r.engine.orderQueue(r.engine.destinations[0])
	q := r.engine.destinations[0].queue
	if len(q) != 6 || q[0].class.Name != "dear" || q[5].weight > 0.5 && q[4].weight > 0.5 {
		t.Fatalf("queue of %d, first %s, last worth %v", len(q), q[0].class.Name, q[5].weight)
	}
}

// TestMessageWithoutEndpoint: a message without a usable endpoint is held, then answered in time by its class.
func TestMessageWithoutEndpoint(t *testing.T) {
	r := newHarness(t, singleClassSettings())
	r.step(r.message(0, 7))
	if count(r.actions, ActTimer) != 1 || count(r.actions, ActReject) != 0 {
		t.Fatalf("actions %+v", r.actions)
	}
	r.now += 20*second - 5000
	if r.step(); count(r.actions, ActReject) != 1 {
		t.Fatalf("no answer before the deadline: %+v", r.actions)
	}
}

// TestUnknownClass: nothing is known of such a message, and nothing has run.
func TestUnknownClass(t *testing.T) {
	r := newHarness(t, singleClassSettings(), readyEndpoint(1, 10))
	e := r.message(0, 0)
	e.Class = 9
	if r.step(e); count(r.actions, ActReject) != 1 || len(r.sends) != 0 {
		t.Fatalf("actions %+v", r.actions)
	}
}

func TestInvalidSettings(t *testing.T) {
	for _, c := range []struct {
		key    string
		change func(*Settings)
	}{
		{"Slots", func(s *Settings) { s.MaxConcurrentCalls = 0 }},
		{"Relays", func(s *Settings) { s.Relays = 0 }},
		{"FallTime", func(s *Settings) { s.OverloadDuration = -1 }},
		{"Classes[0].Repeat", func(s *Settings) { s.Classes[0].Idempotency = 9 }},
		{"Classes[0].Deadline", func(s *Settings) { s.Classes[0].Deadline = 0 }},
		{"Classes[0].DedupWindow", func(s *Settings) { s.Classes[0].DedupWindow = -5 }},
		{"Classes", func(s *Settings) { s.Classes = nil }},
		{"StartCapacity", func(s *Settings) { s.InitialCapacity = math.NaN() }},
		{"Kinds[0].Batch", func(s *Settings) { s.DestinationKinds[0].BatchSize = -1 }},
	} {
		s := singleClassSettings()
		c.change(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), c.key) {
			t.Errorf("%s: error %v", c.key, err)
		}
	}
	if _, err := New(singleClassSettings(), 1); err != nil {
		t.Errorf("good settings: %v", err)
	}
}

// TestOverdueCallsAreCancelled: calls that never come back do not hold the last slots while messages wait, and a call to an
// endpoint that has answered others since does not count against it.
func TestOverdueCallsAreCancelled(t *testing.T) {
	s := singleClassSettings()
	s.MaxConcurrentCalls = 2
	r := newHarness(t, s, EndpointUpdate{Endpoint: 1, State: Ready, Destination: 0, Rate: 1000}, EndpointUpdate{Endpoint: 2, State: Ready, Destination: 1, Rate: 1000})
	for dest := range 2 { // both have answered once, so what is usual is known
		r.step(r.message(0, dest))
		r.now += second / 10
		r.step(endOf(r.sends[0], Delivered))
	}
	r.now += second
	r.step(r.message(0, 0), r.message(0, 1), r.message(0, 1))
	if r.engine.callsInFlight != 2 {
		t.Fatalf("%d calls out, want both slots taken", r.engine.callsInFlight)
	}
	cancels := 0
	for range 400 {
		r.now += 5000
		r.step()
		cancels += count(r.actions, ActCancel)
		if cancels > 0 {
			break
		}
	}
	if cancels == 0 {
		t.Fatal("no overdue call was called off")
	}
	ep := r.engine.endpoints[1]
	ep.lastSuccessAt = r.now
	before := ep.failureScore
	r.engine.observeCall(&call{endpoint: ep, sentAt: r.now - second}, &Event{Kind: EvAttemptEnded, Outcome: Cancelled})
	if ep.failureScore != before {
		t.Error("a call called off counted against an endpoint that has answered since")
	}
}

// TestMinorityOfFailures: where most calls pass, failures neither make an outage nor undo a ramp.
func TestMinorityOfFailures(t *testing.T) {
	r := newHarness(t, singleClassSettings(), readyEndpoint(1, 10))
	ep := r.engine.endpoints[1]
	for i := range 300 { // two of five fail
		r.engine.now += second / 10
		if i%5 == 1 || i%5 == 3 {
			r.engine.recordFailure(ep, r.engine.now, false)
		} else {
			r.engine.recordSuccess(ep, r.engine.now)
		}
		if ep.unhealthy {
			t.Fatalf("out after %d calls of which two in five failed", i)
		}
	}
	for range 3 {
		r.engine.recordFailure(ep, r.engine.now, false)
	}
	for range 6 {
		r.engine.recordSuccess(ep, r.engine.now)
	}
	good := ep.recoveredAt
	r.engine.recordFailure(ep, r.engine.now, false)
	if good == 0 || ep.recoveredAt != good {
		t.Fatal("one failure among passes undid the ramp")
	}
}

// TestBackoffAfterRejection: the first rest after an untold refusal is this relay's turn at the limit, but no longer
// than a message has to its aim.
func TestBackoffAfterRejection(t *testing.T) {
	for _, n := range []int{2, 7, 400} {
		s := singleClassSettings()
		s.Relays = n
		r := newHarness(t, s, readyEndpoint(1, 4))
		l := r.engine.endpoints[1].limiter
		r.engine.observeCall(&call{endpoint: r.engine.endpoints[1], sentAt: r.now, messages: []*message{{class: &r.engine.settings.Classes[0]}}}, &Event{Kind: EvAttemptEnded, Outcome: Rejected})
		turn := min(Time(n)*second/4, 2*second)
		if rest := l.backoffUntil - r.now; rest < turn/2 || rest > turn*3/2 {
			t.Errorf("%d relays: a rest of %d ms at 4 calls a second", n, rest/1000)
		}
	}
}

// TestLoadSheddingOrder: with the room nearly full the message that opens latest is handed back, not the next arrival.
func TestLoadSheddingOrder(t *testing.T) {
	s := singleClassSettings()
	s.MaxPending = 16
	r := newHarness(t, s, EndpointUpdate{Endpoint: 1, State: Ready, Destination: 0, Rate: 4}, EndpointUpdate{Endpoint: 2, State: Ready, Destination: 1, Rate: 4})
	r.engine.endpoints[1].limiter.backoffUntil = r.now + 15*second
	r.engine.endpoints[2].limiter.backoffUntil = r.now + second
	var events []Event
	dest := map[uint32]int{}
	for i := range 16 {
		e := r.message(0, i%2)
		dest[e.Message] = i % 2
		events = append(events, e)
	}
	r.step(events...)
	refused := 0
	for _, a := range r.actions {
		if a.Kind == ActReject {
			refused++
			if dest[a.Message] != 0 {
				t.Errorf("message %d of the destination that opens soon was shed", a.Message)
			}
		}
	}
	if refused != 1 {
		t.Fatalf("%d refused, want 1", refused)
	}
}

// TestManyPendingMessagesAreCheap guards the core in a crowd: where all the room is taken, making some for the next message
// asked for each one held when its destination opens, which took a relay's whole share of a core at four times
// the usual traffic; notices then came too late.
func TestManyPendingMessagesAreCheap(t *testing.T) {
	const dests = 5
	s := singleClassSettings()
	s.MaxPending = 400
	var list []EndpointUpdate
	for i := range dests {
		x := readyEndpoint(EndpointID(i+1), 1)
		x.Destination = i
		list = append(list, x)
	}
	r := newHarness(t, s, list...)
	for i := range 1000 {
		before := r.engine.nextSendTimeCalls
		r.step(r.message(0, i%dests))
		if n := r.engine.nextSendTimeCalls - before; n > 3*dests {
			t.Fatalf("message %d: %d destinations looked at, %d there are", i, n, dests)
		}
	}
	if len(r.engine.pending) < 300 {
		t.Fatalf("%d held: no crowd", len(r.engine.pending))
	}
}

// TestRateMultiplierGrowth: ids, messages and waits of what has gone leave nothing behind.
func TestRateMultiplierGrowth(t *testing.T) {
	s := singleClassSettings()
	s.DestinationKinds = []DestinationKind{{IndependentRoutes: true, BatchSize: 1}}
	r := newHarness(t, s, readyEndpoint(1, 5))
	kept := func() int {
		return len(r.engine.endpoints) + len(r.engine.messages) + len(r.engine.pending) + len(r.engine.timers.items) + len(r.engine.destinations[0].limiters)
	}
	after := 0
	for i := range 3000 {
		acts := r.step(r.message(0, 0))
		for _, a := range acts {
			if a.Kind == ActSend {
				e := endOf(a, Rejected)
				e.RetryAfter = second
				r.step(e, Event{Kind: EvMessageWithdrawn, Message: a.Message})
			}
		}
		x := readyEndpoint(EndpointID(i+2), 5)
		r.step(Event{Kind: EvListUpdated, Updates: []EndpointUpdate{{Endpoint: EndpointID(i + 1), State: Gone}, x}})
		r.now += second
		r.step()
		if i == 300 {
			after = kept()
		}
	}
	if n := kept(); n > 2*after {
		t.Errorf("%d things kept after 3000 rounds, %d after 300", n, after)
	}
}

// TestRecoveryBudgetOfFleet: after an outage that every relay has seen, all relays together stay inside the budget of a
// cold destination, for two relays and for hundreds.
func TestRecoveryBudgetOfFleet(t *testing.T) {
	for _, n := range []int{2, 50, 400} {
		s := singleClassSettings()
		s.Relays, s.MaxPending = n, 1000
		const rate = 20.0
		back := 1012 * second
		calls := make([]float64, 40) // by half seconds from the return on
		for k := range n {
			p, err := New(s, uint64(k))
			if err != nil {
				t.Fatal(err)
			}
			now := 1000*second + Time(k)*1000
			events := []Event{{Kind: EvListUpdated, ListUpdate: ListCached, Updates: []EndpointUpdate{readyEndpoint(1, rate)}}}
			for i := range max(1, 240/n) { // twelve seconds of traffic, spread over the relays
				events = append(events, Event{Kind: EvMessageSubmitted, Message: uint32(i + 1), TimeLeft: 30 * second})
			}
			tries := map[uint32]int{}
			for now < back+10*second {
				acts := p.Step(now, events, nil)
				events = nil
				for _, a := range acts {
					if a.Kind == ActSend {
						if at := (now - back) * 2 / second; now >= back {
							calls[at]++
						}
						e := endOf(a, ConnectFailed)
						e.Attempt = tries[a.Message]
						tries[a.Message]++
						events = append(events, e)
					}
				}
				now += second / 20
			}
		}
		for from := 0; from+6 <= 20; from++ {
			sum := 0.0
			for _, c := range calls[from : from+6] {
				sum += c
			}
			if most := s.OverloadFactor * s.InitialCapacity * rate * 3; sum > most*1.25 {
				t.Errorf("%d relays: %v calls in 3 s from %d ms after the return, budget %v", n, sum, from*500, most)
			}
		}
	}
}

// TestIdleConnectionsClosed: where connections run out, idle ones are given back, the sooner the more relays there are.
func TestIdleConnectionsClosed(t *testing.T) {
	for _, tight := range []float64{0, 1} {
		s := singleClassSettings()
		s.Relays = 50
		r := newHarness(t, s, readyEndpoint(1, 1000))
		r.engine.connectFailureRatios[0] = tight
		r.step(r.message(0, 0))
		r.now += second / 10
		closes := 0
		r.step(endOf(r.sends[0], Delivered))
		for range 40 { // two seconds, of ten that connections live
			r.now += second / 20
			closes += count(r.step(), ActCloseIdle)
		}
		if closes != int(tight) {
			t.Errorf("share without connection %v: %d times given back", tight, closes)
		}
	}
}

// TestEndpointGoneAndMoved: what left or moved is not sent to, and is really let go.
func TestEndpointGoneAndMoved(t *testing.T) {
	r := newHarness(t, singleClassSettings(), readyEndpoint(1, 10), readyEndpoint(2, 10))
	r.engine.recordFailure(r.engine.endpoints[1], r.now, true)
	r.engine.endpoints[1].unhealthy = true
	r.step(Event{Kind: EvListUpdated, ListUpdate: ListDelta, Updates: []EndpointUpdate{{Endpoint: 1, State: Gone}, {Endpoint: 2, State: Ready, Destination: 5}}})
	if len(r.engine.endpoints) != 1 || len(r.engine.destinationFor(0).limiters[0].endpoints) != 0 {
		t.Fatalf("%d endpoints kept, %d at the old place", len(r.engine.endpoints), len(r.engine.destinationFor(0).limiters[0].endpoints))
	}
	if r.step(r.message(0, 0)); len(r.sends) != 0 {
		t.Fatal("sent to an endpoint of another destination")
	}
	if r.step(r.message(0, 5)); len(r.sends) != 1 {
		t.Fatal("not sent to the endpoint that moved here")
	}
}

// BenchmarkStep shows what a message and its answer cost by the size of the fleet; nothing asserts a time.
func BenchmarkStep(b *testing.B) {
	for _, n := range []int{20, 700} {
		b.Run(fmt.Sprint(n, " endpoints"), func(b *testing.B) {
			p, _ := New(singleClassSettings(), 1)
			var list []EndpointUpdate
			for i := range n {
				list = append(list, EndpointUpdate{Endpoint: EndpointID(i + 1), State: Ready, Destination: i, Rate: 1e6})
			}
			now := second
			p.Step(now, []Event{{Kind: EvListUpdated, ListUpdate: ListCached, Updates: list}}, nil)
			var acts []Action
			for i := range b.N {
				now += 5000
				id := uint32(i + 1)
				acts = p.Step(now, []Event{{Kind: EvMessageSubmitted, Message: id, Destination: i % n, TimeLeft: 20 * second}}, acts[:0])
				acts = p.Step(now, []Event{{Kind: EvAttemptEnded, Message: id, MessageFinished: true, Latency: 1000}}, acts[:0])
			}
		})
	}
}

// TestBackoffOfFailingEndpoint: with many relays for the messages an endpoint that fails twice rests, and the longer the
// longer it has failed; where few relays send there much each, it hardly does.
func TestBackoffOfFailingEndpoint(t *testing.T) {
	for _, n := range []int{2, 400} {
		s := singleClassSettings()
		s.Relays = n
		r := newHarness(t, s, readyEndpoint(1, 10))
		ep := r.engine.endpoints[1]
		r.engine.recordFailure(ep, r.now, false)
		if ep.backoffUntil > r.now {
			t.Fatalf("%d relays: a rest after the first failure", n)
		}
		r.engine.now += second / 2
		r.engine.recordFailure(ep, r.engine.now, false)
		if rest := ep.backoffUntil - r.engine.now; n == 400 && rest < second || n == 2 && rest > second/4 {
			t.Errorf("%d relays: a rest of %d ms half a second after the first failure", n, rest/1000)
		}
	}
}

// TestScarceConnections guards against idle connections that a whole fleet closes and opens again, since
// what is down takes no connection: only an endpoint that answers others meanwhile has none left.
func TestScarceConnections(t *testing.T) {
	for _, c := range []struct {
		name   string
		ends   []Outcome // of two calls that are out together, in this order
		scarce bool
	}{
		{"down", []Outcome{ConnectFailed, ConnectFailed}, false},
		{"down, then cut off", []Outcome{ConnectFailed, ConnectionReset}, false},
		{"another was answered", []Outcome{ConnectFailed, Delivered}, true},
		{"another had been answered", []Outcome{Delivered, ConnectFailed}, true},
		{"another was turned away", []Outcome{ConnectFailed, Rejected}, true},
		{"both were answered", []Outcome{Delivered, Delivered}, false},
	} {
		r := newHarness(t, singleClassSettings(), readyEndpoint(1, 100))
		r.engine.destinationFor(0).limiters[0].window = 4
		r.step(r.message(0, 0), r.message(0, 0))
		if len(r.sends) != 2 {
			t.Fatalf("%s: %d calls out", c.name, len(r.sends))
		}
		for i, a := range r.sends {
			r.now += second / 10
			r.step(endOf(a, c.ends[i]))
		}
		if got := r.engine.connectFailureRatios[0] > 0; got != c.scarce {
			t.Errorf("%s: held to run out: %v", c.name, got)
		}
	}
}

// failAllEndpoints has all endpoints of a rig's destination 0 held to be out since now.
func failAllEndpoints(r *harness) {
	for _, ep := range r.engine.destinationFor(0).limiters[0].endpoints {
		for range 3 {
			r.engine.recordFailure(ep, r.now, false)
		}
		if !ep.unhealthy {
			r.t.Fatalf("endpoint %d is not held to be out", ep.id)
		}
	}
}

// TestRampStart: a relay that asks seldom hears of a return long after it. The ramp is held to have begun in
// the middle between its last failure and the call that was answered, and for all endpoints that went with it.
func TestRampStart(t *testing.T) {
	r := newHarness(t, singleClassSettings(), readyEndpoint(1, 100), readyEndpoint(2, 100))
	failAllEndpoints(r)
	a, b := r.engine.endpoints[1], r.engine.endpoints[2]
	down := r.now
	r.now += 4 * second
	r.engine.now = r.now
	r.engine.recordSuccess(a, r.now-second) // sent 3 s after the last failure
	if want := down + 3*second/2; a.recoveredAt != want || b.recoveredAt != want {
		t.Errorf("the ramps begin %d and %d after the last failure, want %d", a.recoveredAt-down, b.recoveredAt-down, want-down)
	}
	if got, want := r.engine.rampedCapacity(b), 0.2+0.8*0.25; math.Abs(got-want) > 0.001 {
		t.Errorf("held to have %.3f of its capacity, want %.3f", got, want)
	}
	r.engine.recordFailure(b, r.now-second/2, false) // it has not returned after all
	if b.recoveredAt != 0 || a.recoveredAt == 0 {
		t.Error("a failure there does not undo its own ramp, and its alone")
	}
	r = newHarness(t, singleClassSettings(), readyEndpoint(1, 100), readyEndpoint(2, 100))
	failAllEndpoints(r)
	r.now += second
	r.engine.now = r.now
	r.engine.recordFailure(r.engine.endpoints[2], r.now, false)
	r.engine.recordSuccess(r.engine.endpoints[1], r.now-second/2)
	if r.engine.endpoints[2].recoveredAt != 0 {
		t.Error("one that failed after the call was sent is held to be back")
	}
}

// TestRetryAfterOfRemovedRoute: a wait that is told after its route has left the list binds it when it comes back,
// whichever is first.
func TestRetryAfterOfRemovedRoute(t *testing.T) {
	for _, order := range []string{"told, back", "back, told"} {
		s := singleClassSettings()
		s.DestinationKinds[0].IndependentRoutes = true
		r := newHarness(t, s, readyEndpoint(1, 100))
		r.step(r.message(0, 0))
		a := r.sends[0]
		told := endOf(a, Rejected)
		told.RetryAfter = 2 * second
		gone, back := readyEndpoint(1, 100), readyEndpoint(1, 100)
		gone.State = Gone
		r.step(Event{Kind: EvListUpdated, ListUpdate: ListDelta, Updates: []EndpointUpdate{gone}})
		end := r.now + told.RetryAfter
		if order == "told, back" {
			r.step(told)
			r.now += second / 2
			r.step(Event{Kind: EvListUpdated, ListUpdate: ListDelta, Updates: []EndpointUpdate{back}})
		} else {
			r.step(Event{Kind: EvListUpdated, ListUpdate: ListDelta, Updates: []EndpointUpdate{back}})
			r.step(told)
		}
		for r.now < end-second/10 {
			if len(r.sends) > 0 {
				t.Fatalf("%s: sent %d before the end of the wait", order, end-r.now)
			}
			r.now += second / 10
			r.step(r.message(0, 0))
		}
		for range 40 {
			r.now += second / 10
			if r.step(Event{Kind: EvTimer}); len(r.sends) > 0 {
				break
			}
		}
		if len(r.sends) == 0 {
			t.Errorf("%s: nothing is sent after the wait", order)
		}
	}
}

// TestRemovedRouteIsForgotten: one that was told a wait after it left, and does not come back, is kept for that wait
// and no longer.
func TestRemovedRouteIsForgotten(t *testing.T) {
	s := singleClassSettings()
	s.DestinationKinds[0].IndependentRoutes = true
	r := newHarness(t, s, readyEndpoint(1, 100))
	r.step(r.message(0, 0))
	told := endOf(r.sends[0], Rejected)
	told.RetryAfter = 2 * second
	gone := readyEndpoint(1, 100)
	gone.State = Gone
	r.step(Event{Kind: EvListUpdated, ListUpdate: ListDelta, Updates: []EndpointUpdate{gone}})
	if r.step(told); len(r.engine.endpoints) != 1 {
		t.Error("forgotten within its wait")
	}
	r.now += 3 * second
	if r.step(Event{Kind: EvTimer}); len(r.engine.endpoints) != 0 {
		t.Error("kept after its wait")
	}
}
