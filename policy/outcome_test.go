package policy

import "testing"

// TestBackoffAfterRejection: the first rest after an untold refusal is this relay's turn at the limit, but no longer
// than a message has to its aim.
func TestBackoffAfterRejection(t *testing.T) {
	for _, n := range []int{2, 7, 400} {
		settings := singleClassSettings()
		settings.Relays = n
		h := newHarness(t, settings, readyEndpoint(1, 4))
		limiter := h.engine.endpoints[1].limiter
		h.engine.observeCall(
			&call{
				endpoint: h.engine.endpoints[1],
				sentAt:   h.now,
				messages: []*message{{class: &h.engine.settings.Classes[0]}},
			},
			&Event{Kind: EvAttemptEnded, Outcome: Rejected},
		)
		turn := min(Time(n)*second/4, 2*second)
		if rest := limiter.backoffUntil - h.now; rest < turn/2 || rest > turn*3/2 {
			t.Errorf("%d relays: a rest of %d ms at 4 calls a second", n, rest/1000)
		}
	}
}

// TestRetryAfterOfRemovedRoute: a wait that is told after its route has left the list binds it when it comes back,
// whichever is first.
func TestRetryAfterOfRemovedRoute(t *testing.T) {
	for _, order := range []string{"told, back", "back, told"} {
		settings := singleClassSettings()
		settings.DestinationKinds[0].IndependentRoutes = true
		h := newHarness(t, settings, readyEndpoint(1, 100))
		h.step(h.message(0, 0))
		action := h.sends[0]
		told := endOf(action, Rejected)
		told.RetryAfter = 2 * second
		gone, back := readyEndpoint(1, 100), readyEndpoint(1, 100)
		gone.State = Gone
		h.step(Event{Kind: EvListUpdated, ListUpdate: ListDelta, Updates: []EndpointUpdate{gone}})
		end := h.now + told.RetryAfter
		if order == "told, back" {
			h.step(told)
			h.now += second / 2
			h.step(Event{Kind: EvListUpdated, ListUpdate: ListDelta, Updates: []EndpointUpdate{back}})
		} else {
			h.step(Event{Kind: EvListUpdated, ListUpdate: ListDelta, Updates: []EndpointUpdate{back}})
			h.step(told)
		}
		for h.now < end-second/10 {
			if len(h.sends) > 0 {
				t.Fatalf("%s: sent %d before the end of the wait", order, end-h.now)
			}
			h.now += second / 10
			h.step(h.message(0, 0))
		}
		for range 40 {
			h.now += second / 10
			if h.step(Event{Kind: EvTimer}); len(h.sends) > 0 {
				break
			}
		}
		if len(h.sends) == 0 {
			t.Errorf("%s: nothing is sent after the wait", order)
		}
	}
}

// TestRemovedRouteIsForgotten: one that was told a wait after it left, and does not come back, is kept for that wait
// and no longer.
func TestRemovedRouteIsForgotten(t *testing.T) {
	settings := singleClassSettings()
	settings.DestinationKinds[0].IndependentRoutes = true
	h := newHarness(t, settings, readyEndpoint(1, 100))
	h.step(h.message(0, 0))
	told := endOf(h.sends[0], Rejected)
	told.RetryAfter = 2 * second
	gone := readyEndpoint(1, 100)
	gone.State = Gone
	h.step(Event{Kind: EvListUpdated, ListUpdate: ListDelta, Updates: []EndpointUpdate{gone}})
	if h.step(told); len(h.engine.endpoints) != 1 {
		t.Error("forgotten within its wait")
	}
	h.now += 3 * second
	if h.step(Event{Kind: EvTimer}); len(h.engine.endpoints) != 0 {
		t.Error("kept after its wait")
	}
}

// TestRetryAfterOfUnsentCall: where the relay itself could open nothing, the destination rests, and is not blamed.
func TestRetryAfterOfUnsentCall(t *testing.T) {
	h := newHarness(t, singleClassSettings(), readyEndpoint(1, 1000))
	h.step(h.message(0, 0))
	event := endOf(h.sends[0], NotSent)
	event.RetryAfter = second
	if h.step(event); len(h.sends) != 0 || h.engine.endpoints[1].failureScore != 0 {
		t.Fatalf("sent again at once, or blamed: %v", h.actions)
	}
	h.now += second + 5000
	if h.step(Event{Kind: EvTimer}); len(h.sends) != 1 {
		t.Fatalf("not sent after the wait: %v", h.actions)
	}
}
