package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// The checker below keeps books of its own, from the events it hands out and the actions it gets back.

type trackedMessage struct {
	class, dest, zone int
	key               uint64
	seq               int
	deadline          Time
	attempts          int
	inFlight          bool
	firstUncertainAt  Time
	uncertain, ended  bool
	at                EndpointID
}

type attemptInFlight struct {
	msg       uint32
	attempt   int
	at        EndpointID
	timeoutAt Time
	dueAt     Time
}

type checker struct {
	settings        Settings
	endpoints       map[EndpointID]EndpointUpdate
	notReadySince   map[EndpointID]Time // told draining or gone
	messages        map[uint32]*trackedMessage
	flights         []attemptInFlight
	timers          []attemptInFlight
	retryAfterUntil map[string]Time
	order           map[uint64][]uint32
	backoffUntil    map[uint64]Time
	healthChecks    []EndpointID
	violations      []string
	sends           int
	rejected        int
	failed          int
}

func newChecker(settings Settings) *checker {
	return &checker{
		settings:        settings,
		endpoints:       map[EndpointID]EndpointUpdate{},
		notReadySince:   map[EndpointID]Time{},
		messages:        map[uint32]*trackedMessage{},
		retryAfterUntil: map[string]Time{},
		order:           map[uint64][]uint32{},
		backoffUntil:    map[uint64]Time{},
	}
}

func (c *checker) violation(now Time, format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%d: ", now)+fmt.Sprintf(format, args...))
}

func (c *checker) route(e EndpointID) string {
	entry := c.endpoints[e]
	if c.settings.DestinationKinds[entry.Kind].IndependentRoutes {
		return fmt.Sprintf("e%d", e)
	}
	return fmt.Sprintf("d%d", entry.Destination)
}

func (c *checker) updateList(now Time, event Event) {
	if event.ListUpdate == ListFailed {
		return
	}
	seen := map[EndpointID]bool{}
	for _, entry := range event.Updates {
		seen[entry.Endpoint] = true
		if entry.State == Ready {
			delete(c.notReadySince, entry.Endpoint)
		} else if _, ok := c.notReadySince[entry.Endpoint]; !ok {
			c.notReadySince[entry.Endpoint] = now
		}
		c.endpoints[entry.Endpoint] = entry
	}
	if event.ListUpdate == ListFull || event.ListUpdate == ListCached {
		for id := range c.endpoints {
			if _, bad := c.notReadySince[id]; !seen[id] && !bad {
				c.notReadySince[id] = now
			}
		}
	}
}

func (c *checker) submit(now Time, event Event, seq int) {
	message := &trackedMessage{
		class:    event.Class,
		dest:     event.Destination,
		key:      event.Key,
		seq:      seq,
		deadline: now + event.TimeLeft,
	}
	c.messages[event.Message] = message
	if c.settings.Classes[event.Class].Ordered && event.Key != 0 {
		c.order[event.Key] = append(c.order[event.Key], event.Message)
	}
}

func (c *checker) endAttempt(now Time, event Event) {
	message := c.messages[event.Message]
	message.inFlight = false
	switch event.Outcome {
	case Delivered:
		message.ended = true
	case Failed, TimedOut, ConnectionReset, Cancelled:
		if !message.uncertain {
			message.uncertain = true
			message.zone = c.endpoints[event.Endpoint].Zone
		}
	}
	if !message.uncertain {
		message.firstUncertainAt = 0
	}
	if event.Outcome == TimedOut || event.Outcome == ConnectionReset || event.Outcome == Cancelled {
		c.backoffUntil[message.key] = max(c.backoffUntil[message.key], now+c.settings.OrderedKeyBackoff)
	}
	if event.RetryAfter > 0 { // also where the answer that told it was spoilt later
		r := c.route(event.Endpoint)
		c.retryAfterUntil[r] = max(c.retryAfterUntil[r], now+event.RetryAfter)
	}
}

func (c *checker) checkAction(now Time, action Action) {
	message := c.messages[action.Message]
	switch action.Kind {
	case ActSend:
		c.sends++
		entry, known := c.endpoints[action.Endpoint]
		switch {
		case message == nil:
			c.violation(now, "send of unknown %d", action.Message)
			return
		case message.ended:
			c.violation(now, "send of %d after its end", action.Message)
		case message.inFlight:
			c.violation(now, "two attempts of %d at once", action.Message)
		case !known || entry.Destination != message.dest:
			c.violation(now, "send of %d to an endpoint of another destination", action.Message)
		case action.TimeoutAt > message.deadline:
			c.violation(now, "attempt of %d outlives its deadline", action.Message)
		case c.settings.MaxAttempts > 0 && message.attempts >= c.settings.MaxAttempts:
			c.violation(now, "attempt %d of %d", message.attempts, action.Message)
		}
		if at, bad := c.notReadySince[action.Endpoint]; bad && now > at+c.settings.DrainGrace {
			c.violation(now, "drain: send of %d to %d", action.Message, action.Endpoint)
		}
		if now < c.retryAfterUntil[c.route(action.Endpoint)] {
			c.violation(now, "wait: send of %d to %d", action.Message, action.Endpoint)
		}
		cl := &c.settings.Classes[message.class]
		if message.uncertain && cl.Idempotency == NonIdempotent {
			c.violation(now, "unsafe %d sent again", action.Message)
		}
		if message.uncertain && cl.Idempotency == IdempotentByKey {
			if now > message.firstUncertainAt+cl.DedupWindow {
				c.violation(now, "keyed %d sent outside its window", action.Message)
			}
			if cl.DedupPerZone && entry.Zone != message.zone {
				c.violation(now, "keyed %d left its zone", action.Message)
			}
		}
		if cl.Ordered && message.key != 0 {
			for _, id := range c.order[message.key] {
				o := c.messages[id]
				if o.seq < message.seq && (!o.ended || o.inFlight) {
					c.violation(now, "order: %d before %d", action.Message, id)
				}
			}
			if message.attempts == 0 && now < c.backoffUntil[message.key] {
				c.violation(now, "order: %d inside the rest of its key", action.Message)
			}
		}
		if !message.uncertain {
			message.firstUncertainAt = now // it counts from this send if this attempt may have run
		}
		message.attempts++
		message.inFlight, message.at = true, action.Endpoint
		c.flights = append(
			c.flights,
			attemptInFlight{
				msg:       action.Message,
				attempt:   message.attempts - 1,
				at:        action.Endpoint,
				timeoutAt: action.TimeoutAt,
			},
		)
	case ActReject, ActFail:
		if message == nil || message.ended {
			c.violation(now, "second answer for %d", action.Message)
			return
		}
		message.ended = true
		if now > message.deadline+c.settings.ReplyGrace {
			c.violation(now, "late answer for %d", action.Message)
		}
		if action.Kind == ActFail {
			c.failed++
			return
		}
		c.rejected++
		cl := &c.settings.Classes[message.class]
		open := message.uncertain || message.inFlight
		if open && (cl.Idempotency == NonIdempotent || cl.Idempotency == IdempotentByKey && cl.DedupPerZone) {
			c.violation(now, "refused %d which may have run", action.Message)
		}
	case ActTimer:
		c.timers = append(c.timers, attemptInFlight{dueAt: now + action.After})
	case ActHealthCheck:
		if now < c.retryAfterUntil[c.route(action.Endpoint)] {
			c.violation(now, "wait: probe to %d", action.Endpoint)
		}
		if at, bad := c.notReadySince[action.Endpoint]; bad && now > at+c.settings.DrainGrace {
			c.violation(now, "drain: probe to %d", action.Endpoint)
		}
		c.healthChecks = append(c.healthChecks, action.Endpoint)
	}
}

func (c *checker) checkDeadlines(now Time) {
	for id, message := range c.messages {
		if !message.ended && now > message.deadline+c.settings.ReplyGrace {
			c.violation(now, "no answer for %d", id)
			message.ended = true
		}
	}
	n := len(c.flights)
	if most := c.settings.MaxConcurrentCalls; n > most*maxBatch(c.settings) {
		c.violation(now, "%d attempts out with %d slots", n, most)
	}
}

func maxBatch(settings Settings) int {
	b := 1
	for _, k := range settings.DestinationKinds {
		b = max(b, k.BatchSize)
	}
	return b
}

// testSettings draws legal settings; every kind of class is among them.
func testSettings(r *rand.Rand) Settings {
	settings := Settings{
		Relays:             1 + r.IntN(4),
		MaxConcurrentCalls: 1 + r.IntN(12),
		MaxPending:         r.IntN(80),
		MaxAttempts:        r.IntN(9),
		ExponentialDecay: r.IntN(
			2,
		) == 0,
		OverQuotaWeight:   0.2,
		ListHasRates:      r.IntN(2) == 0,
		HealthChecks:      r.IntN(2) == 0,
		Cancellation:      r.IntN(2) == 0,
		SendRetryAfter:    true,
		MaxRetryAfter:     2 * second,
		IdleTimeout:       5 * second,
		ConnectTimeout:    second,
		TickInterval:      5000,
		ReplyGrace:        20000,
		DrainGrace:        0,
		InitialCapacity:   0.2,
		RampDuration:      8 * second,
		OverloadFactor:    2,
		OverloadDuration:  3 * second,
		OrderedKeyBackoff: second / 2,
		DestinationKinds:  []DestinationKind{{BatchSize: 1 + r.IntN(4)}, {IndependentRoutes: true, BatchSize: 1}},
		Tenants:           []Tenant{{Name: "a", Quota: 3}, {Name: "b"}},
		Classes: []Class{
			{Name: "safe", LatencyObjective: second, Deadline: 6 * second, Weight: 1, LateWeight: 0.2},
			{
				Name:             "keyed",
				LatencyObjective: 2 * second,
				Deadline:         9 * second,
				Weight:           2,
				LateWeight:       0.3,
				Idempotency:      IdempotentByKey,
				DedupWindow:      3 * second / 2,
			},
			{
				Name:             "zoned",
				LatencyObjective: 2 * second,
				Deadline:         9 * second,
				Weight:           2,
				LateWeight:       0.3,
				Idempotency:      IdempotentByKey,
				DedupWindow:      3 * second,
				DedupPerZone:     true,
			},
			{
				Name:             "unsafe",
				LatencyObjective: 2 * second,
				Deadline:         7 * second,
				Weight:           3,
				LateWeight:       0.3,
				Idempotency:      NonIdempotent,
			},
			{
				Name:             "ordered",
				LatencyObjective: second,
				Deadline:         8 * second,
				Weight:           1,
				LateWeight:       0.3,
				Ordered:          true,
			},
		},
	}
	return settings
}

// playRandomDay runs a seeded random legal day against a policy and returns the checker and all that was asked.
func playRandomDay(t testing.TB, seed uint64, steps int) (*checker, []string) {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, 7))
	settings := testSettings(r)
	engine, err := New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	checker := newChecker(settings)
	now := Time(r.Int64N(int64(1000 * second)))
	var trace []string
	next, seq := uint32(1), 0
	entries := []EndpointUpdate{}
	for i := range 10 {
		d := r.IntN(4)
		entries = append(entries, EndpointUpdate{
			Endpoint: EndpointID(100 + i), Zone: r.IntN(2), Kind: d % 2, Destination: d, State: Ready,
			Rate: 1 + 9*r.Float64(),
		})
	}
	var events []Event
	first := Event{Kind: EvListUpdated, ListUpdate: ListCached, Updates: entries}
	checker.updateList(now, first)
	events = append(events, first)
	bad := map[int]Outcome{} // destinations out at present
	for step := range steps {
		for _, action := range engine.Step(now, events, nil) {
			trace = append(trace, fmt.Sprintf("%d %+v", now, action))
			checker.checkAction(now, action)
		}
		checker.checkDeadlines(now)
		events = nil
		now = checker.nextMoment(now, now+5000*(1+Time(r.IntN(20))))
		if r.IntN(100) == 0 { // a restart: the books of this life are closed, the list may be old
			if engine, err = New(settings, seed+uint64(step)); err != nil {
				t.Fatal(err)
			}
			errs, s, re, f := checker.violations, checker.sends, checker.rejected, checker.failed
			checker = newChecker(settings)
			checker.violations, checker.sends, checker.rejected, checker.failed = errs, s, re, f
			event := Event{Kind: EvListUpdated, ListUpdate: ListCached, Updates: entries}
			checker.updateList(now, event)
			events = append(events, event)
		}
		if r.IntN(30) == 0 {
			i := r.IntN(len(entries))
			entries = append([]EndpointUpdate(nil), entries...)
			entries[i].State = Readiness(r.IntN(3))
			event := Event{Kind: EvListUpdated, ListUpdate: ListDelta, Updates: entries[i : i+1]}
			switch r.IntN(4) {
			case 0:
				event = Event{Kind: EvListUpdated, ListUpdate: ListFull}
				for _, entry := range entries {
					if entry.State != Gone {
						event.Updates = append(event.Updates, entry)
					}
				}
			case 1:
				event = Event{Kind: EvListUpdated, ListUpdate: ListFailed}
			}
			if event.ListUpdate == ListFailed {
				entries[i].State = checker.stateOf(entries[i].Endpoint)
			}
			checker.updateList(now, event)
			events = append(events, event)
		}
		if r.IntN(40) == 0 {
			bad[r.IntN(4)] = []Outcome{Failed, TimedOut, ConnectFailed, Rejected, Delivered}[r.IntN(5)]
		}
		for range r.IntN(4) {
			event := Event{
				Kind:        EvMessageSubmitted,
				Message:     next,
				Class:       r.IntN(len(settings.Classes)),
				Destination: r.IntN(5),
				Tenant:      r.IntN(3),
			}
			if settings.Classes[event.Class].Ordered {
				event.Key = uint64(r.IntN(3))
			}
			event.TimeLeft = Time(float64(settings.Classes[event.Class].Deadline) * (0.05 + 0.95*r.Float64()))
			seq++
			next++
			checker.submit(now, event, seq)
			events = append(events, event)
		}
		var still []attemptInFlight
		for _, f := range checker.flights {
			if r.IntN(4) != 0 && f.timeoutAt > now {
				still = append(still, f)
				continue
			}
			event := Event{
				Kind:     EvAttemptEnded,
				Message:  f.msg,
				Attempt:  f.attempt,
				Endpoint: f.at,
				Latency:  second / 5,
			}
			switch {
			case f.timeoutAt <= now:
				event.Outcome = TimedOut
			case r.IntN(5) == 0:
				event.Outcome = Outcome(r.IntN(int(outcomeCount)))
			default:
				event.Outcome = bad[checker.messages[f.msg].dest]
			}
			if (event.Outcome == Rejected || event.Outcome == Failed) && r.IntN(2) == 0 {
				event.RetryAfter = Time(r.Int64N(int64(3 * second)))
			}
			event.MessageFinished = checker.messages[f.msg].ended || event.Outcome == Delivered
			if r.IntN(2) == 0 {
				event.Load = LoadReport{Remaining: r.Float64(), Limit: 10 * r.Float64()}
			}
			checker.endAttempt(now, event)
			events = append(events, event)
			if r.IntN(20) == 0 { // repeated, and about what was never sent
				events = append(events, event, Event{Kind: EvAttemptEnded, Message: next + 9, Endpoint: 5})
			}
		}
		checker.flights = still
		for _, ep := range checker.healthChecks {
			events = append(
				events,
				Event{Kind: EvHealthChecked, Endpoint: ep, Outcome: Outcome(r.IntN(int(outcomeCount)))},
			)
		}
		checker.healthChecks = nil
		if r.IntN(50) == 0 && next > 1 {
			id := next - 1
			if message := checker.messages[id]; message != nil && !message.ended {
				message.ended = true
				events = append(events, Event{Kind: EvMessageWithdrawn, Message: id})
			}
		}
		var later []attemptInFlight
		for _, tm := range checker.timers {
			if tm.dueAt <= now {
				events = append(events, Event{Kind: EvTimer})
			} else {
				later = append(later, tm)
			}
		}
		checker.timers = later
	}
	return checker, trace
}

// nextMoment is the next moment of the day: a timer or a time-out that comes due is not passed over.
func (c *checker) nextMoment(now, then Time) Time {
	for _, tm := range c.timers {
		then = min(then, max(tm.dueAt, now+1))
	}
	for _, f := range c.flights {
		then = min(then, max(f.timeoutAt, now+1))
	}
	return then
}

func (c *checker) stateOf(e EndpointID) Readiness {
	if _, bad := c.notReadySince[e]; bad {
		return Draining
	}
	return Ready
}

// TestRules holds every rule as a property over seeded random legal days.
func TestRules(t *testing.T) {
	var sends, refused, failed int
	for seed := range uint64(90) {
		checker, _ := playRandomDay(t, seed, 400)
		for i, e := range checker.violations {
			if i < 3 {
				t.Errorf("seed %d: %s", seed, e)
			}
		}
		sends, refused, failed = sends+checker.sends, refused+checker.rejected, failed+checker.failed
	}
	if sends < 5000 || refused < 100 || failed < 100 {
		t.Fatalf("the days test nothing: %d sends, %d refused, %d failed", sends, refused, failed)
	}
}

// TestSameEventsSameActions: the seed and the events settle every action.
func TestSameEventsSameActions(t *testing.T) {
	for seed := range uint64(5) {
		_, a := playRandomDay(t, seed, 300)
		_, b := playRandomDay(t, seed, 300)
		if len(a) == 0 || len(a) != len(b) {
			t.Fatalf("seed %d: %d and %d actions", seed, len(a), len(b))
		}
		for i := range a {
			if a[i] != b[i] {
				t.Fatalf("seed %d: %s against %s", seed, a[i], b[i])
			}
		}
	}
}
