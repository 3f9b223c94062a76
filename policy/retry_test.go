package policy

import "testing"

// TestTimeoutNotBelowLatencyObjective guards against a timeout that one quick answer makes so short that the next,
// slower answer counts as a failure.
func TestTimeoutNotBelowLatencyObjective(t *testing.T) {
	h := newHarness(t, singleClassSettings(), readyEndpoint(1, 1000))
	h.step(h.message(0, 0))
	event := endOf(h.sends[0], Delivered)
	event.Latency = 1000
	h.now += 1000
	h.step(event)
	h.step(h.message(0, 0))
	if len(h.sends) != 1 || h.sends[0].TimeoutAt-h.now < 2*second {
		t.Fatalf("sends at %d = %+v, want one with a timeout of at least %d µs", h.now, h.sends, 2*second)
	}
}

// TestOverdueCallsAreCancelled checks that calls that are never answered are cancelled if they hold the last slots
// while messages wait, and that a cancelled call is no failure of an endpoint that has answered since it was sent.
func TestOverdueCallsAreCancelled(t *testing.T) {
	settings := singleClassSettings()
	settings.MaxConcurrentCalls = 2
	h := newHarness(
		t,
		settings,
		EndpointUpdate{Endpoint: 1, State: Ready, Destination: 0, Rate: 1000},
		EndpointUpdate{Endpoint: 2, State: Ready, Destination: 1, Rate: 1000},
	)
	for dest := range 2 { // one answer from each, so that their usual latency is known
		h.step(h.message(0, dest))
		h.now += second / 10
		h.step(endOf(h.sends[0], Delivered))
	}
	h.now += second
	h.step(h.message(0, 0), h.message(0, 1), h.message(0, 1))
	if h.engine.callsInFlight != 2 {
		t.Fatalf("%d calls in flight, want 2, in both slots", h.engine.callsInFlight)
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
		t.Fatal("no overdue call was cancelled within 2 s, want at least one")
	}
	endpoint := h.engine.endpoints[1]
	endpoint.lastSuccessAt = h.now
	before := endpoint.failureScore
	h.engine.observeCall(
		&call{endpoint: endpoint, sentAt: h.now - second},
		&Event{Kind: EvAttemptEnded, Outcome: Cancelled},
	)
	if endpoint.failureScore != before {
		t.Errorf("failureScore after a cancelled call to an endpoint that has answered since = %v, want %v",
			endpoint.failureScore, before)
	}
}

// TestRetriesStayInDedupWindow guards against duplicates of messages that are idempotent by key. A message that may
// have run is retried only if the retry arrives while its endpoint certainly still knows the key. Each retry carries
// the latest time for its last byte; after that time the message is ended and not sent again.
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
							t.Errorf("window %d µs: LastByteBy of the first attempt is %d µs from now, want no limit",
								window, action.LastByteBy-now)
						}
					} else {
						latest := first + window - min(window/20, dedupTransitTime)
						if action.LastByteBy <= now || action.LastByteBy > latest {
							t.Errorf("window %d µs: LastByteBy of a retry %d µs after the first attempt is at %d µs, "+
								"want later than the retry and at most %d µs", window, now-first,
								action.LastByteBy-first, latest-first)
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
			t.Errorf("window %d µs: %d sends, ended = %v after %d µs, want at least 2, true, at most the window",
				window, sends, ended, now-first)
		}
	}
}
