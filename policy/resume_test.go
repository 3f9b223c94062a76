package policy

import (
	"slices"
	"testing"
)

// TestRestoreMessage: a message that an earlier process took on keeps its past: what may have run goes out again only
// as its class allows, and its attempts count on.
func TestRestoreMessage(t *testing.T) {
	settings := Settings{
		Relays:             1,
		MaxConcurrentCalls: 8,
		MaxAttempts:        3,
		TickInterval:       5000,
		ListHasRates:       true,
		SendRetryAfter:     true,
		InitialCapacity:    0.2,
		RampDuration:       10 * second,
		OverloadFactor:     2,
		OverloadDuration:   3 * second,
		DestinationKinds:   []DestinationKind{{BatchSize: 1}},
		Classes: []Class{
			{
				Name:             "idempotent",
				LatencyObjective: 2 * second,
				Deadline:         20 * second,
				Weight:           1,
				Idempotency:      Idempotent,
			},
			{
				Name:             "by key",
				LatencyObjective: 2 * second,
				Deadline:         20 * second,
				Weight:           1,
				Idempotency:      IdempotentByKey,
				DedupWindow:      5 * second,
			},
			{
				Name:             "non-idempotent",
				LatencyObjective: 2 * second,
				Deadline:         20 * second,
				Weight:           1,
				Idempotency:      NonIdempotent,
			},
		},
	}
	now := 100 * second
	tests := []struct {
		name              string
		class, attempts   int
		uncertainAt, left Time
		want              ActionKind
	}{
		{
			name:  "new",
			class: 2, left: 9 * second, want: ActSend,
		},
		{
			name:  "non-idempotent, may have run",
			class: 2, attempts: 1, uncertainAt: now - second, left: 9 * second, want: ActFail,
		},
		{
			name:  "non-idempotent, never ran",
			class: 2, attempts: 2, left: 9 * second, want: ActSend,
		},
		{
			name:  "non-idempotent, never ran, used up",
			class: 2, attempts: 3, left: 9 * second, want: ActReject,
		},
		{
			name:  "by key, in its window",
			class: 1, attempts: 1, uncertainAt: now - 2*second, left: 9 * second, want: ActSend,
		},
		{
			name:  "by key, window over",
			class: 1, attempts: 1, uncertainAt: now - 6*second, left: 9 * second, want: ActFail,
		},
		{
			name:  "idempotent, may have run",
			class: 0, attempts: 1, uncertainAt: now - 6*second, left: 9 * second, want: ActSend,
		},
		{
			name:  "overdue",
			class: 0, attempts: 1, left: -second, want: ActReject,
		},
		{
			name:  "non-idempotent, overdue, may have run",
			class: 2, attempts: 1, uncertainAt: now - 6*second, left: -second, want: ActFail,
		},
		{
			name:  "overdue, never tried",
			class: 2, left: 0, want: ActReject,
		},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			engine, err := New(settings, 42)
			if err != nil {
				t.Fatal(err)
			}
			actions := engine.Step(now, []Event{
				listUpdate(ListFull, EndpointUpdate{Endpoint: 7, Destination: 1, State: Ready, Rate: 20}),
				{
					Kind:             EvMessageSubmitted,
					Message:          1,
					Class:            x.class,
					Destination:      1,
					TimeLeft:         x.left,
					Attempts:         x.attempts,
					FirstUncertainAt: x.uncertainAt,
				},
			}, nil)
			var got []ActionKind
			for _, action := range actions {
				if action.Kind != ActTimer && action.Kind != ActLog {
					got = append(got, action.Kind)
				}
			}
			if len(got) != 1 || got[0] != x.want {
				t.Fatalf("actions %v, want %v", got, x.want)
			}
			if x.want != ActSend {
				return
			}
			// The attempt counts on from those before: its outcome bears their number.
			after := engine.Step(now+second/10, []Event{{
				Kind: EvAttemptEnded, Message: 1, Attempt: x.attempts, Endpoint: 7,
				Outcome: Delivered, MessageFinished: true, Latency: second / 10,
			}}, nil)
			for _, action := range after {
				if action.Kind != ActTimer && action.Kind != ActLog {
					t.Errorf("still to do: %v", action.Kind)
				}
			}
		})
	}
}

// TestUnsentAttemptsNotCounted: an attempt that never left the relay uses up none, as often as a message has
// attempts; where what keeps it from leaving lasts, it does.
func TestUnsentAttemptsNotCounted(t *testing.T) {
	for _, x := range []struct{ unsent, want int }{{0, 3}, {1, 4}, {3, 6}, {100, 6}} {
		settings := singleClassSettings()
		settings.MaxAttempts = 3
		engine, err := New(settings, 5)
		if err != nil {
			t.Fatal(err)
		}
		now := 100 * second
		events := []Event{
			listUpdate(ListFull, EndpointUpdate{Endpoint: 7, Destination: 1, State: Ready, Rate: 1000}),
			{Kind: EvMessageSubmitted, Message: 1, Destination: 1, TimeLeft: 20 * second},
		}
		sends, reason := 0, Reason(0)
		for ; reason == 0 && now < 130*second; now += 5e3 {
			actions := engine.Step(now, events, nil)
			events = nil
			for _, action := range actions {
				switch action.Kind {
				case ActSend:
					event := Event{Kind: EvAttemptEnded, Message: 1, Attempt: sends, Endpoint: 7, Outcome: Rejected}
					if sends++; sends <= x.unsent {
						event.Outcome, event.NotCounted = NotSent, true
					}
					events = append(events, event)
				case ActReject, ActFail:
					reason = action.Reason
				}
			}
		}
		if sends != x.want || reason != AttemptsExhausted {
			t.Errorf("%d never left: %d attempts, ended for %v", x.unsent, sends, reason)
		}
	}
}

// TestRecoveredUntriedGoFirst: what an earlier process took on and never tried goes before what is submitted now,
// whatever its weight, the nearest deadline first, and is not shed for it; once tried it is like any other. Without
// that a relay under load gave more than half of it back with no call, since what is new always loses more by
// waiting.
func TestRecoveredUntriedGoFirst(t *testing.T) {
	const untried, tried = 24, 4
	settings := singleClassSettings()
	settings.MaxPending, settings.MaxConcurrentCalls, settings.MaxAttempts = 32, 2, 100
	settings.Classes = append(settings.Classes, Class{
		Name: "heavy", LatencyObjective: 2 * second, Deadline: 20 * second, Weight: 50, LateWeight: 0.3,
	})
	engine, err := New(settings, 5)
	if err != nil {
		t.Fatal(err)
	}
	now := 100 * second
	events := []Event{listUpdate(ListFull, EndpointUpdate{Endpoint: 7, Destination: 1, State: Ready, Rate: 20})}
	recovered := Event{Kind: EvMessageSubmitted, Destination: 1, Recovered: true}
	for i := range uint32(untried) { // the last ones end first
		event := recovered
		event.Message, event.TimeLeft = 1+i, 8*second-Time(i)*50e3
		events = append(events, event)
	}
	attempts := map[uint32]int{}
	for i := range uint32(tried) {
		event := recovered
		event.Message, event.TimeLeft, event.Attempts = 50+i, 9*second, 1
		attempts[event.Message] = 1
		events = append(events, event)
	}
	isUntried := func(id uint32) bool { return id <= untried }
	sent, again, order := map[uint32]bool{}, 0, []uint32{}
	for next := uint32(100); now < 108*second; now += 5e3 {
		if now%100e3 == 0 { // more than goes out, and of more weight
			events = append(events, Event{
				Kind: EvMessageSubmitted, Message: next, Class: 1, Destination: 1, TimeLeft: 20 * second,
			})
			next++
		}
		actions := engine.Step(now, events, nil)
		events = nil
		for _, action := range actions {
			switch action.Kind {
			case ActSend:
				if isUntried(action.Message) && !sent[action.Message] {
					order = append(order, action.Message)
				} else if len(sent) < untried && isUntried(action.Message) {
					again++ // before others had their first attempt
				}
				sent[action.Message] = true
				action.Attempt = attempts[action.Message]
				attempts[action.Message]++
				outcome := Delivered
				if isUntried(action.Message) {
					outcome = Failed
				}
				event := endOf(action, outcome)
				event.Latency = 50e3
				events = append(events, event)
			case ActReject, ActFail:
				if isUntried(action.Message) && !sent[action.Message] {
					t.Errorf(
						"%d is ended untried at %d ms, for %v",
						action.Message,
						(now-100*second)/1000,
						action.Reason,
					)
				}
			}
		}
	}
	if len(order) != untried || again > 2 {
		t.Errorf("%d of %d tried; %d second attempts before others' first", len(order), untried, again)
	}
	if !slices.IsSortedFunc(order, func(a, b uint32) int { return int(b) - int(a) }) {
		t.Errorf("%v: not the nearest deadline first", order)
	}
}
