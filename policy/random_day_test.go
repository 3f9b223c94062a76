package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// The checker below keeps books of its own, from the events it hands out and the actions it gets back.

type trackedMessage struct {
	class, dest, zone             int
	key                           uint64
	seq                           int
	deadline                      Time
	attempts                      int
	inFlight                      bool
	firstUncertainAt              Time
	uncertain, ended, wasRejected bool
	at                            EndpointID
}

type attemptInFlight struct {
	msg       uint32
	attempt   int
	at        EndpointID
	timeoutAt Time
	dueAt     Time
	outcome   Outcome
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

func newChecker(s Settings) *checker {
	return &checker{settings: s, endpoints: map[EndpointID]EndpointUpdate{}, notReadySince: map[EndpointID]Time{}, messages: map[uint32]*trackedMessage{},
		retryAfterUntil: map[string]Time{}, order: map[uint64][]uint32{}, backoffUntil: map[uint64]Time{}}
}

func (c *checker) violation(now Time, format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%d: ", now)+fmt.Sprintf(format, args...))
}

func (c *checker) route(e EndpointID) string {
	x := c.endpoints[e]
	if c.settings.DestinationKinds[x.Kind].IndependentRoutes {
		return fmt.Sprintf("e%d", e)
	}
	return fmt.Sprintf("d%d", x.Destination)
}

func (c *checker) updateList(now Time, e Event) {
	if e.ListUpdate == ListFailed {
		return
	}
	seen := map[EndpointID]bool{}
	for _, x := range e.Updates {
		seen[x.Endpoint] = true
		if x.State == Ready {
			delete(c.notReadySince, x.Endpoint)
		} else if _, ok := c.notReadySince[x.Endpoint]; !ok {
			c.notReadySince[x.Endpoint] = now
		}
		c.endpoints[x.Endpoint] = x
	}
	if e.ListUpdate == ListFull || e.ListUpdate == ListCached {
		for id := range c.endpoints {
			if _, bad := c.notReadySince[id]; !seen[id] && !bad {
				c.notReadySince[id] = now
			}
		}
	}
}

func (c *checker) submit(now Time, e Event, seq int) {
	m := &trackedMessage{class: e.Class, dest: e.Destination, key: e.Key, seq: seq, deadline: now + e.TimeLeft}
	c.messages[e.Message] = m
	if c.settings.Classes[e.Class].Ordered && e.Key != 0 {
		c.order[e.Key] = append(c.order[e.Key], e.Message)
	}
}

func (c *checker) endAttempt(now Time, e Event) {
	m := c.messages[e.Message]
	m.inFlight = false
	switch e.Outcome {
	case Delivered:
		m.ended = true
	case Failed, TimedOut, ConnectionReset, Cancelled:
		if !m.uncertain {
			m.uncertain = true
			m.zone = c.endpoints[e.Endpoint].Zone
		}
	}
	if !m.uncertain {
		m.firstUncertainAt = 0
	}
	if e.Outcome == TimedOut || e.Outcome == ConnectionReset || e.Outcome == Cancelled {
		c.backoffUntil[m.key] = max(c.backoffUntil[m.key], now+c.settings.OrderedKeyBackoff)
	}
	if e.RetryAfter > 0 { // also where the answer that told it was spoilt later
		r := c.route(e.Endpoint)
		c.retryAfterUntil[r] = max(c.retryAfterUntil[r], now+e.RetryAfter)
	}
}

func (c *checker) checkAction(now Time, a Action) {
	m := c.messages[a.Message]
	switch a.Kind {
	case ActSend:
		c.sends++
		x, known := c.endpoints[a.Endpoint]
		switch {
		case m == nil:
			c.violation(now, "send of unknown %d", a.Message)
			return
		case m.ended:
			c.violation(now, "send of %d after its end", a.Message)
		case m.inFlight:
			c.violation(now, "two attempts of %d at once", a.Message)
		case !known || x.Destination != m.dest:
			c.violation(now, "send of %d to an endpoint of another destination", a.Message)
		case a.TimeoutAt > m.deadline:
			c.violation(now, "attempt of %d outlives its deadline", a.Message)
		case c.settings.MaxAttempts > 0 && m.attempts >= c.settings.MaxAttempts:
			c.violation(now, "attempt %d of %d", m.attempts, a.Message)
		}
		if at, bad := c.notReadySince[a.Endpoint]; bad && now > at+c.settings.DrainGrace {
			c.violation(now, "drain: send of %d to %d", a.Message, a.Endpoint)
		}
		if now < c.retryAfterUntil[c.route(a.Endpoint)] {
			c.violation(now, "wait: send of %d to %d", a.Message, a.Endpoint)
		}
		cl := &c.settings.Classes[m.class]
		if m.uncertain && cl.Idempotency == NonIdempotent {
			c.violation(now, "unsafe %d sent again", a.Message)
		}
		if m.uncertain && cl.Idempotency == IdempotentByKey {
			if now > m.firstUncertainAt+cl.DedupWindow {
				c.violation(now, "keyed %d sent outside its window", a.Message)
			}
			if cl.DedupPerZone && x.Zone != m.zone {
				c.violation(now, "keyed %d left its zone", a.Message)
			}
		}
		if cl.Ordered && m.key != 0 {
			for _, id := range c.order[m.key] {
				o := c.messages[id]
				if o.seq < m.seq && (!o.ended || o.inFlight) {
					c.violation(now, "order: %d before %d", a.Message, id)
				}
			}
			if m.attempts == 0 && now < c.backoffUntil[m.key] {
				c.violation(now, "order: %d inside the rest of its key", a.Message)
			}
		}
		if !m.uncertain {
			m.firstUncertainAt = now // it counts from this send if this attempt may have run
		}
		m.attempts++
		m.inFlight, m.at = true, a.Endpoint
		c.flights = append(c.flights, attemptInFlight{msg: a.Message, attempt: m.attempts - 1, at: a.Endpoint, timeoutAt: a.TimeoutAt})
	case ActReject, ActFail:
		if m == nil || m.ended {
			c.violation(now, "second answer for %d", a.Message)
			return
		}
		m.ended = true
		if now > m.deadline+c.settings.ReplyGrace {
			c.violation(now, "late answer for %d", a.Message)
		}
		if a.Kind == ActFail {
			c.failed++
			return
		}
		c.rejected++
		cl := &c.settings.Classes[m.class]
		open := m.uncertain || m.inFlight
		if open && (cl.Idempotency == NonIdempotent || cl.Idempotency == IdempotentByKey && cl.DedupPerZone) {
			c.violation(now, "refused %d which may have run", a.Message)
		}
	case ActTimer:
		c.timers = append(c.timers, attemptInFlight{dueAt: now + a.After})
	case ActHealthCheck:
		if now < c.retryAfterUntil[c.route(a.Endpoint)] {
			c.violation(now, "wait: probe to %d", a.Endpoint)
		}
		if at, bad := c.notReadySince[a.Endpoint]; bad && now > at+c.settings.DrainGrace {
			c.violation(now, "drain: probe to %d", a.Endpoint)
		}
		c.healthChecks = append(c.healthChecks, a.Endpoint)
	}
}

func (c *checker) checkDeadlines(now Time) {
	for id, m := range c.messages {
		if !m.ended && now > m.deadline+c.settings.ReplyGrace {
			c.violation(now, "no answer for %d", id)
			m.ended = true
		}
	}
	n := len(c.flights)
	if most := c.settings.MaxConcurrentCalls; n > most*maxBatch(c.settings) {
		c.violation(now, "%d attempts out with %d slots", n, most)
	}
}

func maxBatch(s Settings) int {
	b := 1
	for _, k := range s.DestinationKinds {
		b = max(b, k.BatchSize)
	}
	return b
}

// testSettings draws legal settings; every kind of class is among them.
func testSettings(r *rand.Rand) Settings {
	s := Settings{Relays: 1 + r.IntN(4), MaxConcurrentCalls: 1 + r.IntN(12), MaxPending: r.IntN(80), MaxAttempts: r.IntN(9),
		ExponentialDecay: r.IntN(2) == 0, OverQuotaWeight: 0.2, ListHasRates: r.IntN(2) == 0, HealthChecks: r.IntN(2) == 0,
		Cancellation: r.IntN(2) == 0, SendRetryAfter: true, MaxRetryAfter: 2 * second, IdleTimeout: 5 * second,
		ConnectTimeout: second, TickInterval: 5000, ReplyGrace: 20000, DrainGrace: 0, InitialCapacity: 0.2,
		RampDuration: 8 * second, OverloadFactor: 2, OverloadDuration: 3 * second, OrderedKeyBackoff: second / 2,
		DestinationKinds: []DestinationKind{{BatchSize: 1 + r.IntN(4)}, {IndependentRoutes: true, BatchSize: 1}},
		Tenants:          []Tenant{{Name: "a", Quota: 3}, {Name: "b"}},
		Classes: []Class{
			{Name: "safe", LatencyObjective: second, Deadline: 6 * second, Weight: 1, LateWeight: 0.2},
			{Name: "keyed", LatencyObjective: 2 * second, Deadline: 9 * second, Weight: 2, LateWeight: 0.3, Idempotency: IdempotentByKey,
				DedupWindow: 3 * second / 2},
			{Name: "zoned", LatencyObjective: 2 * second, Deadline: 9 * second, Weight: 2, LateWeight: 0.3, Idempotency: IdempotentByKey,
				DedupWindow: 3 * second, DedupPerZone: true},
			{Name: "unsafe", LatencyObjective: 2 * second, Deadline: 7 * second, Weight: 3, LateWeight: 0.3, Idempotency: NonIdempotent},
			{Name: "ordered", LatencyObjective: second, Deadline: 8 * second, Weight: 1, LateWeight: 0.3, Ordered: true},
		}}
	return s
}

// playRandomDay runs a seeded random legal day against a policy and returns the checker and all that was asked.
func playRandomDay(t testing.TB, seed uint64, steps int) (*checker, []string) {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, 7))
	set := testSettings(r)
	p, err := New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	c := newChecker(set)
	now := Time(r.Int64N(int64(1000 * second)))
	var trace []string
	next, seq := uint32(1), 0
	entries := []EndpointUpdate{}
	for i := range 10 {
		d := r.IntN(4)
		entries = append(entries, EndpointUpdate{Endpoint: EndpointID(100 + i), Zone: r.IntN(2), Kind: d % 2, Destination: d, State: Ready,
			Rate: 1 + 9*r.Float64()})
	}
	var events []Event
	first := Event{Kind: EvListUpdated, ListUpdate: ListCached, Updates: entries}
	c.updateList(now, first)
	events = append(events, first)
	bad := map[int]Outcome{} // destinations out at present
	for step := range steps {
		for _, a := range p.Step(now, events, nil) {
			trace = append(trace, fmt.Sprintf("%d %+v", now, a))
			c.checkAction(now, a)
		}
		c.checkDeadlines(now)
		events = nil
		now = c.nextMoment(now, now+5000*(1+Time(r.IntN(20))))
		if r.IntN(100) == 0 { // a restart: the books of this life are closed, the list may be old
			if p, err = New(set, seed+uint64(step)); err != nil {
				t.Fatal(err)
			}
			errs, s, re, f := c.violations, c.sends, c.rejected, c.failed
			c = newChecker(set)
			c.violations, c.sends, c.rejected, c.failed = errs, s, re, f
			e := Event{Kind: EvListUpdated, ListUpdate: ListCached, Updates: entries}
			c.updateList(now, e)
			events = append(events, e)
		}
		if r.IntN(30) == 0 {
			i := r.IntN(len(entries))
			entries = append([]EndpointUpdate(nil), entries...)
			entries[i].State = Readiness(r.IntN(3))
			e := Event{Kind: EvListUpdated, ListUpdate: ListDelta, Updates: entries[i : i+1]}
			switch r.IntN(4) {
			case 0:
				e = Event{Kind: EvListUpdated, ListUpdate: ListFull}
				for _, x := range entries {
					if x.State != Gone {
						e.Updates = append(e.Updates, x)
					}
				}
			case 1:
				e = Event{Kind: EvListUpdated, ListUpdate: ListFailed}
			}
			if e.ListUpdate == ListFailed {
				entries[i].State = c.stateOf(entries[i].Endpoint)
			}
			c.updateList(now, e)
			events = append(events, e)
		}
		if r.IntN(40) == 0 {
			bad[r.IntN(4)] = []Outcome{Failed, TimedOut, ConnectFailed, Rejected, Delivered}[r.IntN(5)]
		}
		for range r.IntN(4) {
			e := Event{Kind: EvMessageSubmitted, Message: next, Class: r.IntN(len(set.Classes)), Destination: r.IntN(5), Tenant: r.IntN(3)}
			if set.Classes[e.Class].Ordered {
				e.Key = uint64(r.IntN(3))
			}
			e.TimeLeft = Time(float64(set.Classes[e.Class].Deadline) * (0.05 + 0.95*r.Float64()))
			seq++
			next++
			c.submit(now, e, seq)
			events = append(events, e)
		}
		var still []attemptInFlight
		for _, f := range c.flights {
			if r.IntN(4) != 0 && f.timeoutAt > now {
				still = append(still, f)
				continue
			}
			e := Event{Kind: EvAttemptEnded, Message: f.msg, Attempt: f.attempt, Endpoint: f.at, Latency: second / 5}
			switch {
			case f.timeoutAt <= now:
				e.Outcome = TimedOut
			case r.IntN(5) == 0:
				e.Outcome = Outcome(r.IntN(int(outcomeCount)))
			default:
				e.Outcome = bad[c.messages[f.msg].dest]
			}
			if (e.Outcome == Rejected || e.Outcome == Failed) && r.IntN(2) == 0 {
				e.RetryAfter = Time(r.Int64N(int64(3 * second)))
			}
			e.MessageFinished = c.messages[f.msg].ended || e.Outcome == Delivered
			if r.IntN(2) == 0 {
				e.Load = LoadReport{Remaining: r.Float64(), Limit: 10 * r.Float64()}
			}
			c.endAttempt(now, e)
			events = append(events, e)
			if r.IntN(20) == 0 { // repeated, and about what was never sent
				events = append(events, e, Event{Kind: EvAttemptEnded, Message: next + 9, Endpoint: 5})
			}
		}
		c.flights = still
		for _, ep := range c.healthChecks {
			events = append(events, Event{Kind: EvHealthChecked, Endpoint: ep, Outcome: Outcome(r.IntN(int(outcomeCount)))})
		}
		c.healthChecks = nil
		if r.IntN(50) == 0 && next > 1 {
			id := next - 1
			if m := c.messages[id]; m != nil && !m.ended {
				m.ended = true
				events = append(events, Event{Kind: EvMessageWithdrawn, Message: id})
			}
		}
		var later []attemptInFlight
		for _, tm := range c.timers {
			if tm.dueAt <= now {
				events = append(events, Event{Kind: EvTimer})
			} else {
				later = append(later, tm)
			}
		}
		c.timers = later
	}
	return c, trace
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
		c, _ := playRandomDay(t, seed, 400)
		for i, e := range c.violations {
			if i < 3 {
				t.Errorf("seed %d: %s", seed, e)
			}
		}
		sends, refused, failed = sends+c.sends, refused+c.rejected, failed+c.failed
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
