package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// randomSettings draws legal settings; every kind of class is among them.
func randomSettings(rng *rand.Rand) Settings {
	coin := func() bool { return rng.IntN(2) == 0 }
	return Settings{
		Relays:             1 + rng.IntN(4),
		MaxConcurrentCalls: 1 + rng.IntN(12),
		MaxPending:         rng.IntN(80),
		MaxAttempts:        rng.IntN(9),
		ExponentialDecay:   coin(),
		OverQuotaWeight:    0.2,
		ListHasRates:       coin(),
		HealthChecks:       coin(),
		Cancellation:       coin(),
		SendRetryAfter:     true,
		MaxRetryAfter:      2 * second,
		IdleTimeout:        5 * second,
		ConnectTimeout:     second,
		TickInterval:       5000,
		ReplyGrace:         20000,
		DrainGrace:         0,
		InitialCapacity:    0.2,
		RampDuration:       8 * second,
		OverloadFactor:     2,
		OverloadDuration:   3 * second,
		OrderedKeyBackoff:  second / 2,
		DestinationKinds:   []DestinationKind{{BatchSize: 1 + rng.IntN(4)}, {IndependentRoutes: true, BatchSize: 1}},
		Tenants:            []Tenant{{Name: "a", Quota: 3}, {Name: "b"}},
		Classes: []Class{
			{
				Name: "idempotent", Idempotency: Idempotent,
				LatencyObjective: second, Deadline: 6 * second, Weight: 1, LateWeight: 0.2,
			},
			{
				Name: "by key", Idempotency: IdempotentByKey, DedupWindow: 3 * second / 2,
				LatencyObjective: 2 * second, Deadline: 9 * second, Weight: 2, LateWeight: 0.3,
			},
			{
				Name: "by key in a zone", Idempotency: IdempotentByKey, DedupWindow: 3 * second, DedupPerZone: true,
				LatencyObjective: 2 * second, Deadline: 9 * second, Weight: 2, LateWeight: 0.3,
			},
			{
				Name: "non-idempotent", Idempotency: NonIdempotent,
				LatencyObjective: 2 * second, Deadline: 7 * second, Weight: 3, LateWeight: 0.3,
			},
			{
				Name: "ordered", Ordered: true,
				LatencyObjective: second, Deadline: 8 * second, Weight: 1, LateWeight: 0.3,
			},
		},
	}
}

// randomDay is a seeded day of legal events for an engine, whose actions are checked.
type randomDay struct {
	t         testing.TB
	rng       *rand.Rand
	seed      uint64
	settings  Settings
	engine    *Engine
	checker   *checker
	now       Time
	list      []EndpointUpdate
	failing   map[int]Outcome // of destinations in an outage
	next      uint32          // message
	submitted int
	events    []Event // of the next step
	trace     []string
}

func newRandomDay(t testing.TB, seed uint64) *randomDay {
	t.Helper()
	day := &randomDay{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 7)), failing: map[int]Outcome{}, next: 1}
	day.settings = randomSettings(day.rng)
	day.start(seed)
	day.checker = newChecker(day.settings)
	day.now = Time(day.rng.Int64N(int64(1000 * second)))
	for i := range 10 {
		destination := day.rng.IntN(4)
		day.list = append(day.list, EndpointUpdate{
			Endpoint:    EndpointID(100 + i),
			Zone:        day.rng.IntN(2),
			Kind:        destination % 2,
			Destination: destination,
			State:       Ready,
			Rate:        1 + 9*day.rng.Float64(),
		})
	}
	day.tellList(listUpdate(ListCached, day.list...))
	return day
}

// playRandomDay plays a day of so many steps and returns the checker and all actions.
func playRandomDay(t testing.TB, seed uint64, steps int) (*checker, []string) {
	t.Helper()
	day := newRandomDay(t, seed)
	for step := range steps {
		day.step(step)
	}
	return day.checker, day.trace
}

func (d *randomDay) oneIn(n int) bool { return d.rng.IntN(n) == 0 }

func (d *randomDay) start(seed uint64) {
	d.t.Helper()
	engine, err := New(d.settings, seed)
	if err != nil {
		d.t.Fatal(err)
	}
	d.engine = engine
}

// step gives the engine its events, and makes those of the next moment.
func (d *randomDay) step(step int) {
	d.t.Helper()
	for _, action := range d.engine.Step(d.now, d.events, nil) {
		d.trace = append(d.trace, fmt.Sprintf("%d %+v", d.now, action))
		d.checker.checkAction(d.now, action)
	}
	d.checker.checkDeadlines(d.now)
	d.events = nil
	d.now = d.checker.nextMoment(d.now, d.now+5000*(1+Time(d.rng.IntN(20))))
	if d.oneIn(100) { // a restart; its list may be old
		d.start(d.seed + uint64(step))
		d.checker = d.checker.restarted()
		d.tellList(listUpdate(ListCached, d.list...))
	}
	if d.oneIn(30) {
		d.changeList()
	}
	if d.oneIn(40) {
		destination := d.rng.IntN(4)
		d.failing[destination] = []Outcome{Failed, TimedOut, ConnectFailed, Rejected, Delivered}[d.rng.IntN(5)]
	}
	for range d.rng.IntN(4) {
		d.submit()
	}
	d.endAttempts()
	d.endHealthChecks()
	if d.oneIn(50) && d.next > 1 {
		d.withdraw(d.next - 1)
	}
	d.fireTimers()
}

func (d *randomDay) tellList(event Event) {
	d.checker.updateList(d.now, event)
	d.events = append(d.events, event)
}

// changeList changes the state of one endpoint; the engine hears of it by a delta or the whole list, or not at all.
func (d *randomDay) changeList() {
	i := d.rng.IntN(len(d.list))
	d.list = slices.Clone(d.list)
	d.list[i].State = Readiness(d.rng.IntN(3))
	event := listUpdate(ListDelta, d.list[i])
	switch d.rng.IntN(4) {
	case 0:
		event = listUpdate(ListFull)
		for _, entry := range d.list {
			if entry.State != Gone {
				event.Updates = append(event.Updates, entry)
			}
		}
	case 1:
		event = listUpdate(ListFailed)
		d.list[i].State = d.checker.stateOf(d.list[i].Endpoint)
	}
	d.tellList(event)
}

func (d *randomDay) submit() {
	event := Event{
		Kind:        EvMessageSubmitted,
		Message:     d.next,
		Class:       d.rng.IntN(len(d.settings.Classes)),
		Destination: d.rng.IntN(5),
		Tenant:      d.rng.IntN(3),
	}
	class := &d.settings.Classes[event.Class]
	if class.Ordered {
		event.Key = uint64(d.rng.IntN(3))
	}
	event.TimeLeft = Time(float64(class.Deadline) * (0.05 + 0.95*d.rng.Float64()))
	d.submitted++
	d.next++
	d.checker.submit(d.now, event, d.submitted)
	d.events = append(d.events, event)
}

// endAttempts ends what has timed out, and about a quarter of the others.
func (d *randomDay) endAttempts() {
	var remaining []attemptInFlight
	for _, attempt := range d.checker.inFlight {
		if !d.oneIn(4) && attempt.timeoutAt > d.now {
			remaining = append(remaining, attempt)
			continue
		}
		event := d.endOf(attempt)
		d.checker.endAttempt(d.now, event)
		d.events = append(d.events, event)
		if d.oneIn(20) { // repeated, and about what was never sent
			d.events = append(d.events, event, Event{Kind: EvAttemptEnded, Message: d.next + 9, Endpoint: 5})
		}
	}
	d.checker.inFlight = remaining
}

func (d *randomDay) endOf(attempt attemptInFlight) Event {
	message := d.checker.messages[attempt.message]
	event := Event{
		Kind:     EvAttemptEnded,
		Message:  attempt.message,
		Attempt:  attempt.attempt,
		Endpoint: attempt.endpoint,
		Latency:  second / 5,
	}
	switch {
	case attempt.timeoutAt <= d.now:
		event.Outcome = TimedOut
	case d.oneIn(5):
		event.Outcome = d.anyOutcome()
	default:
		event.Outcome = d.failing[message.destination]
	}
	if (event.Outcome == Rejected || event.Outcome == Failed) && d.oneIn(2) {
		event.RetryAfter = Time(d.rng.Int64N(int64(3 * second)))
	}
	event.MessageFinished = message.ended || event.Outcome == Delivered
	if d.oneIn(2) {
		event.Load = LoadReport{Remaining: d.rng.Float64(), Limit: 10 * d.rng.Float64()}
	}
	return event
}

func (d *randomDay) anyOutcome() Outcome { return Outcome(d.rng.IntN(int(outcomeCount))) }

func (d *randomDay) endHealthChecks() {
	for _, id := range d.checker.healthChecks {
		d.events = append(d.events, Event{Kind: EvHealthChecked, Endpoint: id, Outcome: d.anyOutcome()})
	}
	d.checker.healthChecks = nil
}

func (d *randomDay) withdraw(id uint32) {
	if message := d.checker.messages[id]; message != nil && !message.ended {
		message.ended = true
		d.events = append(d.events, Event{Kind: EvMessageWithdrawn, Message: id})
	}
}

func (d *randomDay) fireTimers() {
	var remaining []Time
	for _, dueAt := range d.checker.timers {
		if dueAt <= d.now {
			d.events = append(d.events, Event{Kind: EvTimer})
		} else {
			remaining = append(remaining, dueAt)
		}
	}
	d.checker.timers = remaining
}

// TestRules holds every rule as a property over seeded random legal days.
func TestRules(t *testing.T) {
	var sends, rejected, failed int
	for seed := range uint64(90) {
		checker, _ := playRandomDay(t, seed, 400)
		for i, e := range checker.violations {
			if i < 3 {
				t.Errorf("seed %d: %s", seed, e)
			}
		}
		sends, rejected, failed = sends+checker.sends, rejected+checker.rejected, failed+checker.failed
	}
	if sends < 5000 || rejected < 100 || failed < 100 {
		t.Fatalf("the days test nothing: %d sends, %d rejected, %d failed", sends, rejected, failed)
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
