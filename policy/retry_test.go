package policy

import "testing"

// TestTimeoutNotBelowLatencyObjective: one quick answer must not make the next slow one look like an outage.
func TestTimeoutNotBelowLatencyObjective(t *testing.T) {
	h := newHarness(t, singleClassSettings(), readyEndpoint(1, 1000))
	h.step(h.message(0, 0))
	event := endOf(h.sends[0], Delivered)
	event.Latency = 1000
	h.now += 1000
	h.step(event)
	h.step(h.message(0, 0))
	if len(h.sends) != 1 || h.sends[0].TimeoutAt-h.now < 2*second {
		t.Fatalf("sends %+v at %d: timeout under the objective", h.sends, h.now)
	}
}

// TestOverdueCallsAreCancelled: calls that never come back do not hold the last slots while messages wait, and a call
// to an endpoint that has answered others since does not count against it.
func TestOverdueCallsAreCancelled(t *testing.T) {
	settings := singleClassSettings()
	settings.MaxConcurrentCalls = 2
	h := newHarness(
		t,
		settings,
		EndpointUpdate{Endpoint: 1, State: Ready, Destination: 0, Rate: 1000},
		EndpointUpdate{Endpoint: 2, State: Ready, Destination: 1, Rate: 1000},
	)
	for dest := range 2 { // both have answered once, so what is usual is known
		h.step(h.message(0, dest))
		h.now += second / 10
		h.step(endOf(h.sends[0], Delivered))
	}
	h.now += second
	h.step(h.message(0, 0), h.message(0, 1), h.message(0, 1))
	if h.engine.callsInFlight != 2 {
		t.Fatalf("%d calls out, want both slots taken", h.engine.callsInFlight)
	}
	cancels := 0
	for range 400 {
		h.now += 5000
		h.step()
		cancels += count(h.actions, ActCancel)
		if cancels > 0 {
			break
		}
	}
	if cancels == 0 {
		t.Fatal("no overdue call was called off")
	}
	endpoint := h.engine.endpoints[1]
	endpoint.lastSuccessAt = h.now
	before := endpoint.failureScore
	h.engine.observeCall(
		&call{endpoint: endpoint, sentAt: h.now - second},
		&Event{Kind: EvAttemptEnded, Outcome: Cancelled},
	)
	if endpoint.failureScore != before {
		t.Error("a call called off counted against an endpoint that has answered since")
	}
}

// TestRetriesStayInDedupWindow: a message with an idempotency key that may have run is sent again only as long as its
// endpoint knows the key for certain as it arrives, and each retry says until when; one whose time for that is over
// is ended, and never sent.
func TestRetriesStayInDedupWindow(t *testing.T) {
	for _, window := range []Time{1 * second, 6 * second, 20 * second} {
		settings := singleClassSettings()
		settings.Classes = []Class{
			{
				Name:             "k",
				LatencyObjective: second / 2,
				Deadline:         30 * second,
				Weight:           1,
				LateWeight:       0.5,
				Idempotency:      IdempotentByKey,
				DedupWindow:      window,
			},
		}
		engine, err := New(settings, 7)
		if err != nil {
			t.Fatal(err)
		}
		now := Time(100 * second)
		list := listUpdate(
			ListFull,
			EndpointUpdate{Endpoint: 1, Destination: 1, State: Ready, Rate: 1000},
			EndpointUpdate{Endpoint: 2, Destination: 1, State: Ready, Rate: 1000},
		)
		events := []Event{list, {Kind: EvMessageSubmitted, Message: 1, Destination: 1, TimeLeft: 30 * second}}
		var first Time
		sends, ended := 0, false
		for range 20000 {
			actions := engine.Step(now, events, nil)
			events = nil
			for _, action := range actions {
				switch action.Kind {
				case ActSend:
					if sends++; sends == 1 {
						if first = now; action.LastByteBy != 0 {
							t.Errorf("window %d: a first attempt has until %d", window, action.LastByteBy-now)
						}
					} else {
						latest := first + window - min(window/20, dedupTransitTime)
						if action.LastByteBy <= now || action.LastByteBy > latest {
							t.Errorf("window %d: a retry %d after the first has until %d", window, now-first,
								action.LastByteBy-first)
						}
					}
					events = append(events, Event{
						Kind:     EvAttemptEnded,
						Message:  1,
						Attempt:  sends - 1,
						Endpoint: action.Endpoint,
						Outcome:  Failed,
						Latency:  1000,
					})
				case ActReject, ActFail:
					ended = true
				}
			}
			if ended {
				break
			}
			now += 5e3
		}
		if sends < 2 || !ended || now-first > window {
			t.Errorf("window %d: %d sends, ended %v after %d", window, sends, ended, now-first)
		}
	}
}
