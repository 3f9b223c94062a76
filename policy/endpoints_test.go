package policy

import "testing"

// TestEndpointGoneAndMoved checks that an endpoint that is gone or has moved to another destination gets no messages of
// its old destination, and is removed from it.
func TestEndpointGoneAndMoved(t *testing.T) {
	h := newHarness(t, singleClassSettings(), readyEndpoint(1, 10), readyEndpoint(2, 10))
	h.engine.recordFailure(h.engine.endpoints[1], h.now, true)
	h.engine.endpoints[1].unhealthy = true
	h.step(
		listUpdate(
			ListDelta,
			EndpointUpdate{Endpoint: 1, State: Gone},
			EndpointUpdate{Endpoint: 2, State: Ready, Destination: 5},
		),
	)
	if len(h.engine.endpoints) != 1 || len(h.engine.destinationFor(0).limiters[0].endpoints) != 0 {
		t.Fatalf(
			"%d endpoints are known, %d at the old destination, want 1, 0",
			len(h.engine.endpoints),
			len(h.engine.destinationFor(0).limiters[0].endpoints),
		)
	}
	if h.step(h.message(0, 0)); len(h.sends) != 0 {
		t.Fatalf("message to the old destination: %d sends, want 0", len(h.sends))
	}
	if h.step(h.message(0, 5)); len(h.sends) != 1 {
		t.Fatalf("message to the new destination: %d sends, want 1", len(h.sends))
	}
}
