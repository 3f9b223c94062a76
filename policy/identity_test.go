package policy

import "testing"

// TestIdentityRejected checks that nothing is sent to an endpoint whose identity is rejected, that other endpoints
// are used instead, and that messages that cannot wait are rejected at once with a Retry-After.
func TestIdentityRejected(t *testing.T) {
	settings := singleClassSettings()
	settings.MaxRetryAfter = 100 * second
	h := newHarness(t, settings, readyEndpoint(1, 100), readyEndpoint(2, 100))
	h.step(Event{Kind: EvIdentityRejected, Endpoint: 1, RetryAfter: 60 * second})
	for range 8 {
		h.step(h.message(0, 0))
		for _, action := range h.sends {
			if action.Endpoint != 2 {
				t.Fatalf("message was sent to endpoint %d, whose identity is rejected, want 2", action.Endpoint)
			}
			h.step(endOf(action, Delivered))
		}
	}
	if !h.engine.Avoids(1, h.now) || h.engine.Avoids(2, h.now) {
		t.Errorf("Avoids(1), Avoids(2) = %v, %v, want true, false", h.engine.Avoids(1, h.now),
			h.engine.Avoids(2, h.now))
	}
	// Now both are rejected, endpoint 1 until after a new message's deadline, endpoint 2 until before it.
	h.step(Event{Kind: EvIdentityRejected, Endpoint: 2, RetryAfter: 5 * second})
	if h.step(h.message(0, 0)); len(h.sends) != 0 || count(h.actions, ActReject) != 0 {
		t.Fatalf("message while endpoint 2 is rejected for 5 s: actions %v, want no send and no rejection", h.actions)
	}
	h.step(Event{Kind: EvIdentityRejected, Endpoint: 2, RetryAfter: 70 * second})
	if count(h.actions, ActReject) != 1 {
		t.Fatalf("endpoint 2 rejected for 70 s: actions %v, want a rejection of the pending message", h.actions)
	}
	h.step(h.message(0, 0))
	if len(h.actions) == 0 || h.actions[0].Kind != ActReject || h.actions[0].After < 60*second ||
		h.actions[0].After > 61*second {
		t.Fatalf("message while both endpoints are rejected: actions %v, want a rejection first, with a wait of 60 s",
			h.actions)
	}
	h.step(Event{Kind: EvIdentityRejected, Endpoint: 1}, h.message(0, 0))
	if len(h.sends) != 1 || h.sends[0].Endpoint != 1 {
		t.Fatalf("endpoint 1 is accepted again: actions %v, want a send there", h.actions)
	}
	// The end of the wait lifts the rejection too.
	h = newHarness(t, singleClassSettings(), readyEndpoint(1, 100))
	h.step(Event{Kind: EvIdentityRejected, Endpoint: 1, RetryAfter: second}, h.message(0, 0))
	h.now += second + 5000
	if h.step(Event{Kind: EvTimer}); len(h.sends) != 1 {
		t.Fatalf("after the wait of 1 s: actions %v, want a send", h.actions)
	}
}
