package policy

import "testing"

// TestEndpointGoneAndMoved: what left or moved is not sent to, and is really let go.
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
			"%d endpoints kept, %d at the old place",
			len(h.engine.endpoints),
			len(h.engine.destinationFor(0).limiters[0].endpoints),
		)
	}
	if h.step(h.message(0, 0)); len(h.sends) != 0 {
		t.Fatal("sent to an endpoint of another destination")
	}
	if h.step(h.message(0, 5)); len(h.sends) != 1 {
		t.Fatal("not sent to the endpoint that moved here")
	}
}
