package policy

import "testing"

// TestUnknownClass: nothing is known of such a message, and nothing has run.
func TestUnknownClass(t *testing.T) {
	h := newHarness(t, singleClassSettings(), readyEndpoint(1, 10))
	event := h.message(0, 0)
	event.Class = 9
	if h.step(event); count(h.actions, ActReject) != 1 || len(h.sends) != 0 {
		t.Fatalf("actions %+v", h.actions)
	}
}

// TestLoadSheddingOrder: with MaxPending near, the message that can be sent latest is rejected, not the next one.
func TestLoadSheddingOrder(t *testing.T) {
	settings := singleClassSettings()
	settings.MaxPending = 16
	h := newHarness(
		t,
		settings,
		EndpointUpdate{Endpoint: 1, State: Ready, Destination: 0, Rate: 4},
		EndpointUpdate{Endpoint: 2, State: Ready, Destination: 1, Rate: 4},
	)
	h.engine.endpoints[1].limiter.backoffUntil = h.now + 15*second
	h.engine.endpoints[2].limiter.backoffUntil = h.now + second
	var events []Event
	dest := map[uint32]int{}
	for i := range 16 {
		event := h.message(0, i%2)
		dest[event.Message] = i % 2
		events = append(events, event)
	}
	h.step(events...)
	rejected := 0
	for _, action := range h.actions {
		if action.Kind == ActReject {
			rejected++
			if dest[action.Message] != 0 {
				t.Errorf("message %d of the destination that opens soon was shed", action.Message)
			}
		}
	}
	if rejected != 1 {
		t.Fatalf("%d rejected, want 1", rejected)
	}
}

// TestManyPendingMessagesAreCheap guards against load shedding that looks up each pending message's destination: at
// four times the usual traffic that took a relay's whole share of a core, and notices came too late.
func TestManyPendingMessagesAreCheap(t *testing.T) {
	const dests = 5
	settings := singleClassSettings()
	settings.MaxPending = 400
	var list []EndpointUpdate
	for i := range dests {
		entry := readyEndpoint(EndpointID(i+1), 1)
		entry.Destination = i
		list = append(list, entry)
	}
	h := newHarness(t, settings, list...)
	for i := range 1000 {
		before := h.engine.nextSendTimeCalls
		h.step(h.message(0, i%dests))
		if n := h.engine.nextSendTimeCalls - before; n > 3*dests {
			t.Fatalf("message %d: %d destinations looked at, %d there are", i, n, dests)
		}
	}
	if len(h.engine.pending) < 300 {
		t.Fatalf("%d pending: too few", len(h.engine.pending))
	}
}
