package policy

import (
	"fmt"
	"testing"
)

// TestBatchSharesOneCall checks that messages to one endpoint share a call and a slot, and that the call counts once.
func TestBatchSharesOneCall(t *testing.T) {
	settings := singleClassSettings()
	settings.DestinationKinds[0].BatchSize = 3
	h := newHarness(t, settings, readyEndpoint(1, 10))
	h.step(h.message(0, 0), h.message(0, 0), h.message(0, 0))
	if len(h.sends) != 3 || h.engine.callsInFlight != 1 {
		t.Fatalf("%d sends in %d calls, want 3 in 1", len(h.sends), h.engine.callsInFlight)
	}
	h.now += second / 5
	h.step(endOf(h.sends[0], Delivered))
	if h.engine.callsInFlight != 1 {
		t.Fatalf("callsInFlight = %d before the last outcome of the call, want 1", h.engine.callsInFlight)
	}
}

// TestQueueOrderedByWeight checks that the message that loses most by waiting goes first, and that messages beyond
// their tenant's quota go last.
func TestQueueOrderedByWeight(t *testing.T) {
	settings := singleClassSettings()
	settings.Classes = append(
		settings.Classes,
		Class{Name: "heavy", LatencyObjective: 2 * second, Deadline: 20 * second, Weight: 3, LateWeight: 0.3},
	)
	settings.Tenants = []Tenant{{Name: "a", Quota: 2}, {Name: "b", Quota: 100}}
	h := newHarness(t, settings, readyEndpoint(1, 2))
	h.step(h.message(0, 0)) // uses up the window of one call
	var events []Event
	for i := range 6 {
		event := h.message(i%2, 0)
		event.Tenant = 1
		if i >= 4 {
			event.Tenant = 0
		}
		events = append(events, event)
	}
	h.step(events...)
	h.engine.orderQueue(h.engine.destinations[0])
	q := h.engine.destinations[0].queue
	if len(q) != 6 || q[0].class.Name != "heavy" || q[5].weight > 0.5 && q[4].weight > 0.5 {
		t.Fatalf("queue of %d, first of class %s, last weights %v, %v, want 6, heavy, one of them at most 0.5", len(q),
			q[0].class.Name, q[4].weight, q[5].weight)
	}
}

// TestMessageWithoutEndpoint checks that a message without a usable endpoint stays pending, and is rejected before its
// deadline.
func TestMessageWithoutEndpoint(t *testing.T) {
	h := newHarness(t, singleClassSettings())
	h.step(h.message(0, 7))
	if count(h.actions, ActTimer) != 1 || count(h.actions, ActReject) != 0 {
		t.Fatalf("Step(message without endpoint) = %+v, want a timer and no rejection", h.actions)
	}
	h.now += 20*second - 5000
	if h.step(); count(h.actions, ActReject) != 1 {
		t.Fatalf("Step shortly before the deadline = %+v, want a rejection", h.actions)
	}
}

// BenchmarkStep measures the cost of a message and its answer by the number of endpoints. It enforces no time limit.
func BenchmarkStep(b *testing.B) {
	for _, n := range []int{20, 700} {
		b.Run(fmt.Sprint(n, " endpoints"), func(b *testing.B) {
			engine, _ := New(singleClassSettings(), 1)
			var list []EndpointUpdate
			for i := range n {
				list = append(
					list,
					EndpointUpdate{Endpoint: EndpointID(i + 1), State: Ready, Destination: i, Rate: 1e6},
				)
			}
			now := second
			engine.Step(now, []Event{listUpdate(ListCached, list...)}, nil)
			var actions []Action
			for i := range b.N {
				now += 5000
				id := uint32(i + 1)
				actions = engine.Step(
					now,
					[]Event{{Kind: EvMessageSubmitted, Message: id, Destination: i % n, TimeLeft: 20 * second}},
					actions[:0],
				)
				actions = engine.Step(
					now,
					[]Event{{Kind: EvAttemptEnded, Message: id, MessageFinished: true, Latency: 1000}},
					actions[:0],
				)
			}
		})
	}
}
