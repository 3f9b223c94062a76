package policy

import "testing"

// singleClassSettings returns settings with one idempotent class and one kind of destination.
func singleClassSettings() Settings {
	return Settings{
		Relays:             2,
		MaxConcurrentCalls: 8,
		MaxPending:         100,
		MaxAttempts:        9,
		ExponentialDecay:   true,
		OverQuotaWeight:    0.1,
		ListHasRates:       true,
		HealthChecks:       true,
		Cancellation:       true,
		SendRetryAfter:     true,
		MaxRetryAfter:      2 * second,
		TickInterval:       5000,
		ReplyGrace:         20000,
		DrainGrace:         second,
		InitialCapacity:    0.2,
		RampDuration:       10 * second,
		OverloadFactor:     2,
		OverloadDuration:   3 * second,
		IdleTimeout:        10 * second,
		ConnectTimeout:     second,
		DestinationKinds:   []DestinationKind{{BatchSize: 1}},
		Classes: []Class{
			{Name: "m", LatencyObjective: 2 * second, Deadline: 20 * second, Weight: 1, LateWeight: 0.3},
		},
	}
}

// harness steps an engine through events that a test chooses, at times that it chooses.
type harness struct {
	t           *testing.T
	engine      *Engine
	now         Time
	actions     []Action // of the last step
	nextMessage uint32
	sends       []Action // the ActSend actions of the last step
	sentAt      []Time   // times of all sends so far
}

func newHarness(t *testing.T, settings Settings, entries ...EndpointUpdate) *harness {
	t.Helper()
	engine, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, engine: engine, now: 1000 * second, nextMessage: 1}
	h.step(listUpdate(ListCached, entries...))
	return h
}

func (h *harness) step(events ...Event) []Action {
	h.actions = h.engine.Step(h.now, events, nil)
	h.sends = nil
	for _, action := range h.actions {
		if action.Kind == ActSend {
			h.sends = append(h.sends, action)
			h.sentAt = append(h.sentAt, h.now)
		}
	}
	return h.actions
}

func (h *harness) message(class, dest int) Event {
	h.nextMessage++
	return Event{
		Kind:        EvMessageSubmitted,
		Message:     h.nextMessage - 1,
		Class:       class,
		Destination: dest,
		TimeLeft:    h.engine.settings.Classes[class].Deadline,
	}
}

func count(actions []Action, kind ActionKind) int {
	n := 0
	for _, action := range actions {
		if action.Kind == kind {
			n++
		}
	}
	return n
}

// listUpdate returns an update of the endpoint list.
func listUpdate(kind ListUpdateKind, updates ...EndpointUpdate) Event {
	return Event{Kind: EvListUpdated, ListUpdate: kind, Updates: updates}
}

func readyEndpoint(id EndpointID, rate float64) EndpointUpdate {
	return EndpointUpdate{Endpoint: id, State: Ready, Rate: rate}
}

func endOf(action Action, outcome Outcome) Event {
	return Event{
		Kind:            EvAttemptEnded,
		Message:         action.Message,
		Endpoint:        action.Endpoint,
		Attempt:         action.Attempt,
		Outcome:         outcome,
		Latency:         second / 10,
		MessageFinished: outcome == Delivered,
	}
}

// rampShare returns the share of its capacity that a destination has some time after the end of its outage.
func rampShare(settings *Settings, elapsed Time) float64 {
	initial := settings.InitialCapacity
	return initial + (1-initial)*float64(elapsed)/float64(settings.RampDuration)
}

// runOutage submits a message every 100 ms for 40 s. Calls sent in the outage, from 1 s to 12 s, have the given
// outcome; all others are delivered.
func runOutage(t *testing.T, settings Settings, rate float64, outcome Outcome) *harness {
	t.Helper()
	h := newHarness(t, settings, readyEndpoint(1, rate/2), readyEndpoint(2, rate/2))
	start := h.now
	type attempt struct {
		action  Action
		dueAt   Time
		outcome Outcome
	}
	var inFlight []attempt
	attempts := map[uint32]int{}
	for h.now < start+40*second {
		var events []Event
		var remaining []attempt
		for _, sent := range inFlight {
			if sent.dueAt > h.now {
				remaining = append(remaining, sent)
				continue
			}
			events = append(events, endOf(sent.action, sent.outcome))
		}
		inFlight = remaining
		if (h.now-start)%(second/10) == 0 {
			events = append(events, h.message(0, 0))
		}
		h.step(events...)
		for _, action := range h.sends {
			action.Attempt = attempts[action.Message]
			attempts[action.Message]++
			sent := attempt{action, h.now + second/5, Delivered}
			if at := h.now - start; at > second && at < 12*second {
				sent.outcome = outcome
				if outcome == TimedOut {
					sent.dueAt = action.TimeoutAt
				}
			}
			inFlight = append(inFlight, sent)
		}
		h.now += 5000
	}
	return h
}

// failAllEndpoints makes all endpoints of destination 0 unhealthy.
func failAllEndpoints(h *harness) {
	h.t.Helper()
	for _, endpoint := range h.engine.destinationFor(0).limiters[0].endpoints {
		for range 3 {
			h.engine.recordFailure(endpoint, h.now, false)
		}
		if !endpoint.unhealthy {
			h.t.Fatalf("endpoint %d after three failures: unhealthy = false, want true", endpoint.id)
		}
	}
}
