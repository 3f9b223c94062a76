package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// randomSettings draws valid settings, always with one class of every kind.
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

// randomScenario feeds an engine with random valid events, determined by a seed, and checks its actions.
type randomScenario struct {
	t           testing.TB
	rng         *rand.Rand
	seed        uint64
	settings    Settings
	engine      *Engine
	checker     *checker
	now         Time
	list        []EndpointUpdate
	outcomes    map[int]Outcome // usual outcome of calls by destination; Delivered if absent
	nextMessage uint32
	submitted   int
	events      []Event // of the next step
	trace       []string
}

func newRandomScenario(t testing.TB, seed uint64) *randomScenario {
	t.Helper()
	scenario := &randomScenario{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 7)), outcomes: map[int]Outcome{}, nextMessage: 1,
	}
	scenario.settings = randomSettings(scenario.rng)
	scenario.start(seed)
	scenario.checker = newChecker(scenario.settings)
	scenario.now = Time(scenario.rng.Int64N(int64(1000 * second)))
	for i := range 10 {
		destination := scenario.rng.IntN(4)
		scenario.list = append(scenario.list, EndpointUpdate{
			Endpoint:    EndpointID(100 + i),
			Zone:        scenario.rng.IntN(2),
			Kind:        destination % 2,
			Destination: destination,
			State:       Ready,
			Rate:        1 + 9*scenario.rng.Float64(),
		})
	}
	scenario.updateList(listUpdate(ListCached, scenario.list...))
	return scenario
}

// runRandomScenario runs a scenario for a number of steps, and returns its checker and a trace of all actions.
func runRandomScenario(t testing.TB, seed uint64, steps int) (*checker, []string) {
	t.Helper()
	scenario := newRandomScenario(t, seed)
	for step := range steps {
		scenario.step(step)
	}
	return scenario.checker, scenario.trace
}

func (s *randomScenario) oneIn(n int) bool { return s.rng.IntN(n) == 0 }

func (s *randomScenario) start(seed uint64) {
	s.t.Helper()
	engine, err := New(s.settings, seed)
	if err != nil {
		s.t.Fatal(err)
	}
	s.engine = engine
}

// step passes the collected events to the engine, advances the clock, and draws the events of the next step.
func (s *randomScenario) step(step int) {
	s.t.Helper()
	for _, action := range s.engine.Step(s.now, s.events, nil) {
		s.trace = append(s.trace, fmt.Sprintf("%d %+v", s.now, action))
		s.checker.checkAction(s.now, action)
	}
	s.checker.checkDeadlines(s.now)
	s.events = nil
	s.now = s.checker.nextStepTime(s.now, s.now+5000*(1+Time(s.rng.IntN(20))))
	if s.oneIn(100) { // a restart, with a cached list that may be outdated
		s.start(s.seed + uint64(step))
		s.checker = s.checker.afterRestart()
		s.updateList(listUpdate(ListCached, s.list...))
	}
	if s.oneIn(30) {
		s.changeList()
	}
	if s.oneIn(40) {
		destination := s.rng.IntN(4)
		s.outcomes[destination] = []Outcome{Failed, TimedOut, ConnectFailed, Rejected, Delivered}[s.rng.IntN(5)]
	}
	for range s.rng.IntN(4) {
		s.submit()
	}
	s.endAttempts()
	s.endHealthChecks()
	if s.oneIn(50) && s.nextMessage > 1 {
		s.withdraw(s.nextMessage - 1)
	}
	s.fireTimers()
}

func (s *randomScenario) updateList(event Event) {
	s.checker.updateList(s.now, event)
	s.events = append(s.events, event)
}

// changeList changes the state of one endpoint. The engine gets a delta or the whole list; or the request for the list
// fails and nothing changes.
func (s *randomScenario) changeList() {
	i := s.rng.IntN(len(s.list))
	s.list = slices.Clone(s.list)
	s.list[i].State = Readiness(s.rng.IntN(3))
	event := listUpdate(ListDelta, s.list[i])
	switch s.rng.IntN(4) {
	case 0:
		event = listUpdate(ListFull)
		for _, entry := range s.list {
			if entry.State != Gone {
				event.Updates = append(event.Updates, entry)
			}
		}
	case 1:
		event = listUpdate(ListFailed)
		s.list[i].State = s.checker.stateOf(s.list[i].Endpoint)
	}
	s.updateList(event)
}

func (s *randomScenario) submit() {
	event := Event{
		Kind:        EvMessageSubmitted,
		Message:     s.nextMessage,
		Class:       s.rng.IntN(len(s.settings.Classes)),
		Destination: s.rng.IntN(5),
		Tenant:      s.rng.IntN(3),
	}
	class := &s.settings.Classes[event.Class]
	if class.Ordered {
		event.Key = uint64(s.rng.IntN(3))
	}
	event.TimeLeft = Time(float64(class.Deadline) * (0.05 + 0.95*s.rng.Float64()))
	s.submitted++
	s.nextMessage++
	s.checker.submit(s.now, event, s.submitted)
	s.events = append(s.events, event)
}

// endAttempts ends the attempts that have timed out, and about a quarter of the others.
func (s *randomScenario) endAttempts() {
	var remaining []attemptInFlight
	for _, attempt := range s.checker.inFlight {
		if !s.oneIn(4) && attempt.timeoutAt > s.now {
			remaining = append(remaining, attempt)
			continue
		}
		event := s.endOf(attempt)
		s.checker.endAttempt(s.now, event)
		s.events = append(s.events, event)
		if s.oneIn(20) { // a repeated event, and one for a message that was never sent
			s.events = append(s.events, event, Event{Kind: EvAttemptEnded, Message: s.nextMessage + 9, Endpoint: 5})
		}
	}
	s.checker.inFlight = remaining
}

func (s *randomScenario) endOf(attempt attemptInFlight) Event {
	message := s.checker.messages[attempt.message]
	event := Event{
		Kind:     EvAttemptEnded,
		Message:  attempt.message,
		Attempt:  attempt.attempt,
		Endpoint: attempt.endpoint,
		Latency:  second / 5,
	}
	switch {
	case attempt.timeoutAt <= s.now:
		event.Outcome = TimedOut
	case s.oneIn(5):
		event.Outcome = s.anyOutcome()
	default:
		event.Outcome = s.outcomes[message.destination]
	}
	if (event.Outcome == Rejected || event.Outcome == Failed) && s.oneIn(2) {
		event.RetryAfter = Time(s.rng.Int64N(int64(3 * second)))
	}
	event.MessageFinished = message.ended || event.Outcome == Delivered
	if s.oneIn(2) {
		event.Load = LoadReport{Remaining: s.rng.Float64(), Limit: 10 * s.rng.Float64()}
	}
	return event
}

func (s *randomScenario) anyOutcome() Outcome { return Outcome(s.rng.IntN(int(outcomeCount))) }

func (s *randomScenario) endHealthChecks() {
	for _, id := range s.checker.healthChecks {
		s.events = append(s.events, Event{Kind: EvHealthChecked, Endpoint: id, Outcome: s.anyOutcome()})
	}
	s.checker.healthChecks = nil
}

func (s *randomScenario) withdraw(id uint32) {
	if message := s.checker.messages[id]; message != nil && !message.ended {
		message.ended = true
		s.events = append(s.events, Event{Kind: EvMessageWithdrawn, Message: id})
	}
}

func (s *randomScenario) fireTimers() {
	var remaining []Time
	for _, dueAt := range s.checker.timers {
		if dueAt <= s.now {
			s.events = append(s.events, Event{Kind: EvTimer})
		} else {
			remaining = append(remaining, dueAt)
		}
	}
	s.checker.timers = remaining
}

// TestRules checks that the engine breaks no delivery rule in random scenarios with valid events. It also checks that
// the scenarios contain enough sends, rejections and failures for the rules to be tested.
func TestRules(t *testing.T) {
	var sends, rejected, failed int
	for seed := range uint64(90) {
		checker, _ := runRandomScenario(t, seed, 400)
		for i, violation := range checker.violations {
			if i < 3 {
				t.Errorf("seed %d: %s", seed, violation)
			}
		}
		sends += checker.sends
		rejected += checker.rejected
		failed += checker.failed
	}
	if sends < 5000 || rejected < 100 || failed < 100 {
		t.Fatalf("all scenarios made %d sends, %d rejections and %d failures, want at least 5000, 100 and 100",
			sends, rejected, failed)
	}
}

// TestSameEventsSameActions checks that the engine is deterministic: the seed and the events determine every action.
func TestSameEventsSameActions(t *testing.T) {
	for seed := range uint64(5) {
		_, a := runRandomScenario(t, seed, 300)
		_, b := runRandomScenario(t, seed, 300)
		if len(a) == 0 || len(a) != len(b) {
			t.Fatalf("seed %d: two runs made %d and %d actions, want equal numbers above 0", seed, len(a), len(b))
		}
		for i := range a {
			if a[i] != b[i] {
				t.Fatalf("seed %d: action %d differs between two runs: %s and %s", seed, i, a[i], b[i])
			}
		}
	}
}
