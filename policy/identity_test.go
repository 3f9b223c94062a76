package policy

import "testing"

// TestIdentityRejected: where an endpoint's identity is not proved nothing goes, others serve, and what cannot wait
// is rejected at once with the time to come back.
func TestIdentityRejected(t *testing.T) {
	settings := singleClassSettings()
	settings.MaxRetryAfter = 100 * second
	h := newHarness(t, settings, readyEndpoint(1, 100), readyEndpoint(2, 100))
	h.step(Event{Kind: EvIdentityRejected, Endpoint: 1, RetryAfter: 60 * second})
	for range 8 {
		h.step(h.message(0, 0))
		for _, action := range h.sends {
			if action.Endpoint != 2 {
				t.Fatalf("sent to an endpoint whose identity is rejected")
			}
			h.step(endOf(action, Delivered))
		}
	}
	if !h.engine.Avoids(1, h.now) || h.engine.Avoids(2, h.now) {
		t.Error("it is not avoided, or the other one is")
	}
	// Neither may be called now: one for longer than a message may take, one for less.
	h.step(Event{Kind: EvIdentityRejected, Endpoint: 2, RetryAfter: 5 * second})
	if h.step(h.message(0, 0)); len(h.sends) != 0 || count(h.actions, ActReject) != 0 {
		t.Fatalf("one comes back within 5 s: %v", h.actions)
	}
	h.step(Event{Kind: EvIdentityRejected, Endpoint: 2, RetryAfter: 70 * second})
	if count(h.actions, ActReject) != 1 {
		t.Fatalf("what was pending is not rejected: %v", h.actions)
	}
	h.step(h.message(0, 0))
	if len(h.actions) == 0 || h.actions[0].Kind != ActReject || h.actions[0].After < 60*second ||
		h.actions[0].After > 61*second {
		t.Fatalf("want a rejection with the 60 s until the first may be called again: %v", h.actions)
	}
	h.step(Event{Kind: EvIdentityRejected, Endpoint: 1}, h.message(0, 0))
	if len(h.sends) != 1 || h.sends[0].Endpoint != 1 {
		t.Fatalf("proved again, and nothing goes there: %v", h.actions)
	}
	// Time alone lifts it too.
	h = newHarness(t, singleClassSettings(), readyEndpoint(1, 100))
	h.step(Event{Kind: EvIdentityRejected, Endpoint: 1, RetryAfter: second}, h.message(0, 0))
	h.now += second + 5000
	if h.step(Event{Kind: EvTimer}); len(h.sends) != 1 {
		t.Fatalf("the time is over, and nothing goes there: %v", h.actions)
	}
}
