package policy

import "testing"

// TestBackoffAfterRejection: the first backoff after a rejection without a Retry-After is this relay's turn at the
// limit, but no longer than a message has to its objective.
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
		if backoff := limiter.backoffUntil - h.now; backoff < turn/2 || backoff > turn*3/2 {
			t.Errorf("%d relays: a backoff of %d ms at 4 calls a second", n, backoff/1000)
		}
	}
}

// TestRetryAfterOfRemovedRoute: a Retry-After that comes after its route has left the list binds it when it comes
// back, whichever is first.
func TestRetryAfterOfRemovedRoute(t *testing.T) {
	for _, order := range []string{"Retry-After, return", "return, Retry-After"} {
		settings := singleClassSettings()
		settings.DestinationKinds[0].IndependentRoutes = true
		h := newHarness(t, settings, readyEndpoint(1, 100))
		h.step(h.message(0, 0))
		action := h.sends[0]
		rejection := endOf(action, Rejected)
		rejection.RetryAfter = 2 * second
		gone, back := readyEndpoint(1, 100), readyEndpoint(1, 100)
		gone.State = Gone
		h.step(listUpdate(ListDelta, gone))
		end := h.now + rejection.RetryAfter
		if order == "Retry-After, return" {
			h.step(rejection)
			h.now += second / 2
			h.step(listUpdate(ListDelta, back))
		} else {
			h.step(listUpdate(ListDelta, back))
			h.step(rejection)
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

// TestRemovedRouteIsForgotten: one with a Retry-After that came after it left, and that does not come back, is kept
// for that time and no longer.
func TestRemovedRouteIsForgotten(t *testing.T) {
	settings := singleClassSettings()
	settings.DestinationKinds[0].IndependentRoutes = true
	h := newHarness(t, settings, readyEndpoint(1, 100))
	h.step(h.message(0, 0))
	rejection := endOf(h.sends[0], Rejected)
	rejection.RetryAfter = 2 * second
	gone := readyEndpoint(1, 100)
	gone.State = Gone
	h.step(listUpdate(ListDelta, gone))
	if h.step(rejection); len(h.engine.endpoints) != 1 {
		t.Error("forgotten within its wait")
	}
	h.now += 3 * second
	if h.step(Event{Kind: EvTimer}); len(h.engine.endpoints) != 0 {
		t.Error("kept after its wait")
	}
}

// TestRetryAfterOfUnsentCall: where the relay itself could open nothing, it backs off, and does not blame the
// destination.
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
