package policy

import "testing"

// A message that an earlier process took on keeps its past: what may have run goes out again only as its class
// allows, and its attempts count on.
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
			{Name: "safe", LatencyObjective: 2 * second, Deadline: 20 * second, Weight: 1, Idempotency: Idempotent},
			{
				Name:             "keyed",
				LatencyObjective: 2 * second,
				Deadline:         20 * second,
				Weight:           1,
				Idempotency:      IdempotentByKey,
				DedupWindow:      5 * second,
			},
			{
				Name:             "unsafe",
				LatencyObjective: 2 * second,
				Deadline:         20 * second,
				Weight:           1,
				Idempotency:      NonIdempotent,
			},
		},
	}
	now := 100 * second
	for name, x := range map[string]struct {
		class, tries int
		doubt, left  Time
		want         ActionKind
	}{
		"new":                       {class: 2, left: 9 * second, want: ActSend},
		"unsafe, may have run":      {class: 2, tries: 1, doubt: now - second, left: 9 * second, want: ActFail},
		"unsafe, never ran":         {class: 2, tries: 2, left: 9 * second, want: ActSend},
		"unsafe, never ran, used":   {class: 2, tries: 3, left: 9 * second, want: ActReject},
		"keyed, in its window":      {class: 1, tries: 1, doubt: now - 2*second, left: 9 * second, want: ActSend},
		"keyed, window over":        {class: 1, tries: 1, doubt: now - 6*second, left: 9 * second, want: ActFail},
		"safe, may have run":        {class: 0, tries: 1, doubt: now - 6*second, left: 9 * second, want: ActSend},
		"overdue":                   {class: 0, tries: 1, left: -second, want: ActReject},
		"unsafe, overdue, in doubt": {class: 2, tries: 1, doubt: now - 6*second, left: -second, want: ActFail},
		"overdue, never tried":      {class: 2, left: 0, want: ActReject},
	} {
		t.Run(name, func(t *testing.T) {
			engine, err := New(settings, 42)
			if err != nil {
				t.Fatal(err)
			}
			actions := engine.Step(now, []Event{
				{
					Kind:       EvListUpdated,
					ListUpdate: ListFull,
					Updates:    []EndpointUpdate{{Endpoint: 7, Destination: 1, State: Ready, Rate: 20}},
				},
				{
					Kind:             EvMessageSubmitted,
					Message:          1,
					Class:            x.class,
					Destination:      1,
					TimeLeft:         x.left,
					Attempts:         x.tries,
					FirstUncertainAt: x.doubt,
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
				Kind: EvAttemptEnded, Message: 1, Attempt: x.tries, Endpoint: 7,
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

// An attempt that never left the relay uses up none, as often as a message has attempts; where what keeps it from
// leaving lasts, it does.
func TestUnsentAttemptsNotCounted(t *testing.T) {
	for _, x := range []struct{ void, want int }{{0, 3}, {1, 4}, {3, 6}, {100, 6}} {
		settings := singleClassSettings()
		settings.MaxAttempts = 3
		engine, err := New(settings, 5)
		if err != nil {
			t.Fatal(err)
		}
		now := 100 * second
		events := []Event{
			{
				Kind:       EvListUpdated,
				ListUpdate: ListFull,
				Updates:    []EndpointUpdate{{Endpoint: 7, Destination: 1, State: Ready, Rate: 1000}},
			},
			{Kind: EvMessageSubmitted, Message: 1, Destination: 1, TimeLeft: 20 * second},
		}
		sends, why := 0, Reason(0)
		for ; why == 0 && now < 130*second; now += 5e3 {
			actions := engine.Step(now, events, nil)
			events = nil
			for _, action := range actions {
				switch action.Kind {
				case ActSend:
					event := Event{Kind: EvAttemptEnded, Message: 1, Attempt: sends, Endpoint: 7, Outcome: Rejected}
					if sends++; sends <= x.void {
						event.Outcome, event.NotCounted = NotSent, true
					}
					events = append(events, event)
				case ActReject, ActFail:
					why = action.Reason
				}
			}
		}
		if sends != x.want || why != AttemptsExhausted {
			t.Errorf("%d never left: %d attempts, ended for %v", x.void, sends, why)
		}
	}
}

// What an earlier process took on and never tried goes before what is handed in now, whatever that is worth, the
// nearest end first, and makes no room for it; once tried it is like any other. Without that a relay under load gave
// more than half of it back with no call, since what is new always loses more by waiting.
func TestRecoveredUntriedGoFirst(t *testing.T) {
	settings := singleClassSettings()
	settings.MaxPending, settings.MaxConcurrentCalls, settings.MaxAttempts = 32, 2, 100
	settings.Classes = append(
		settings.Classes,
		Class{Name: "dear", LatencyObjective: 2 * second, Deadline: 20 * second, Weight: 50, LateWeight: 0.3},
	)
	engine, err := New(settings, 5)
	if err != nil {
		t.Fatal(err)
	}
	now := 100 * second
	events := []Event{
		{
			Kind:       EvListUpdated,
			ListUpdate: ListFull,
			Updates:    []EndpointUpdate{{Endpoint: 7, Destination: 1, State: Ready, Rate: 20}},
		},
	}
	const owed, tried = 24, 4
	for i := range uint32(owed) { // the last ones end first
		events = append(
			events,
			Event{
				Kind:        EvMessageSubmitted,
				Message:     1 + i,
				Destination: 1,
				TimeLeft:    8*second - Time(i)*50e3,
				Recovered:   true,
			},
		)
	}
	for i := range uint32(tried) {
		events = append(
			events,
			Event{
				Kind:        EvMessageSubmitted,
				Message:     50 + i,
				Destination: 1,
				TimeLeft:    9 * second,
				Recovered:   true,
				Attempts:    1,
			},
		)
	}
	first, again, order := map[uint32]bool{}, 0, []uint32{}
	attempts := map[uint32]int{50: 1, 51: 1, 52: 1, 53: 1}
	for next := uint32(100); now < 108*second; now += 5e3 {
		if now%100e3 == 0 { // more than goes out, and dearer
			events = append(
				events,
				Event{Kind: EvMessageSubmitted, Message: next, Class: 1, Destination: 1, TimeLeft: 20 * second},
			)
			next++
		}
		actions := engine.Step(now, events, nil)
		events = nil
		for _, action := range actions {
			switch action.Kind {
			case ActSend:
				if action.Message <= owed && !first[action.Message] {
					order = append(order, action.Message)
				} else if len(first) < owed && action.Message <= owed {
					again++ // before others had their first
				}
				first[action.Message] = true
				events = append(
					events,
					Event{
						Kind:     EvAttemptEnded,
						Message:  action.Message,
						Attempt:  attempts[action.Message],
						Endpoint: 7,
						Outcome:  Failed,
						Latency:  50e3,
					},
				)
				if action.Message > owed {
					events[len(events)-1] = Event{
						Kind:            EvAttemptEnded,
						Message:         action.Message,
						Attempt:         attempts[action.Message],
						Endpoint:        7,
						Outcome:         Delivered,
						MessageFinished: true,
						Latency:         50e3,
					}
				}
				attempts[action.Message]++
			case ActReject, ActFail:
				if action.Message <= owed && !first[action.Message] {
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
	if len(order) != owed || again > 2 {
		t.Errorf("%d of %d tried; %d second tries before others' first", len(order), owed, again)
	}
	for i := 1; i < len(order); i++ {
		if order[i] > order[i-1] {
			t.Errorf("%v: not the nearest end first", order)
			break
		}
	}
}
