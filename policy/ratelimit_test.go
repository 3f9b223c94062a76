package policy

import (
	"math"
	"testing"
)

func TestDropProbability(t *testing.T) {
	for _, c := range []struct{ req, acc, want float64 }{
		{0, 0, 0},        // no history
		{10, 10, 0},      // all accepted
		{10, 5, 0},       // just K times the accepts
		{20, 5, 6. / 21}, // past it, two accepts to its credit
		{1000, 0, 0.9},   // dead: the cap
		{3, 0, 0},        // hardly asked: that tells nothing
	} {
		if got := dropProbability(c.req, c.acc); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("dropProbability(%v, %v) = %v, want %v", c.req, c.acc, got, c.want)
		}
	}
}

func TestHistoryExpires(t *testing.T) {
	c := newSlidingCounter(10*second, 20)
	for i := range Time(10) {
		c.request(i * second)
		c.accept(i * second)
	}
	for _, x := range []struct {
		at   Time
		want float64
	}{{9 * second, 10}, {14 * second, 5}, {60 * second, 0}} {
		if req, acc := c.totals(x.at); math.Abs(req-x.want) > 1 || req != acc {
			t.Errorf("at %d: %v requests, %v accepts, want about %v", x.at, req, acc, x.want)
		}
	}
}

// TestLocalDropsCount: a draw is a request whether or not it passes.
func TestLocalDropsCount(t *testing.T) {
	h := newHarness(t, singleClassSettings(), readyEndpoint(1, 10))
	limiter := h.engine.endpoints[1].limiter
	drops := 0
	for range 200 {
		if h.engine.drawDrop(limiter) {
			drops++
		}
	}
	if req, _ := limiter.history.totals(h.now); req != 200 || drops < 140 || drops > 195 {
		t.Fatalf("%v requests counted, %d drops of 200", req, drops)
	}
}

// TestWindow: it starts at one, grows by one with each success, and halves on a rejection or a timeout.
func TestWindow(t *testing.T) {
	h := newHarness(t, singleClassSettings(), readyEndpoint(1, 1000))
	limiter := h.engine.endpoints[1].limiter
	var burst []Event
	for range 20 {
		burst = append(burst, h.message(0, 0))
	}
	h.step(burst...)
	if len(h.sends) != 1 {
		t.Fatalf("%d calls in the first turn, want 1", len(h.sends))
	}
	h.now += second / 10
	h.step(endOf(h.sends[0], Delivered))
	if len(h.sends) != 2 || limiter.window != 2 {
		t.Fatalf("%d calls after a success, window %v, want 2 and 2", len(h.sends), limiter.window)
	}
	for _, outcome := range []Outcome{Rejected, TimedOut} {
		limiter.window = 6
		h.now += second / 10
		h.engine.observeCall(
			&call{
				endpoint: h.engine.endpoints[1],
				sentAt:   h.now,
				messages: []*message{{class: &h.engine.settings.Classes[0]}},
			},
			&Event{Kind: EvAttemptEnded, Outcome: outcome},
		)
		if limiter.window != 3 {
			t.Errorf("window after outcome %d: %v, want 3", outcome, limiter.window)
		}
	}
}

// TestSlotsAtOneDestination: three quarters of the slots at most, half while it fails.
func TestSlotsAtOneDestination(t *testing.T) {
	for _, failing := range []bool{false, true} {
		h := newHarness(t, singleClassSettings(), readyEndpoint(1, 1000))
		limiter := h.engine.endpoints[1].limiter
		limiter.window = 100
		want := 6
		if failing {
			h.engine.endpoints[1].failureScore, want = 0.35, 4
		}
		for range 10 {
			h.step(h.message(0, 0), h.message(0, 0))
		}
		if limiter.destination.callsInFlight != want {
			t.Errorf("failing %v: %d calls out of 8 slots, want %d", failing, limiter.destination.callsInFlight, want)
		}
	}
}

// TestSmallShareAllowsBurst: with many relays a limiter still lets a few arrivals close together pass.
func TestSmallShareAllowsBurst(t *testing.T) {
	settings := singleClassSettings()
	settings.Relays = 12
	h := newHarness(t, settings, readyEndpoint(1, 9))
	h.engine.endpoints[1].limiter.window = 5
	h.step(h.message(0, 0), h.message(0, 0), h.message(0, 0))
	if len(h.sends) != 3 {
		t.Fatalf("%d of 3 calls passed at once", len(h.sends))
	}
}

// TestStateDoesNotGrow: ids, messages and waits of what has gone leave nothing behind.
func TestStateDoesNotGrow(t *testing.T) {
	settings := singleClassSettings()
	settings.DestinationKinds = []DestinationKind{{IndependentRoutes: true, BatchSize: 1}}
	h := newHarness(t, settings, readyEndpoint(1, 5))
	kept := func() int {
		e := h.engine
		return len(e.endpoints) + len(e.messages) + len(e.pending) + len(e.timers.items) +
			len(e.destinations[0].limiters)
	}
	after := 0
	for i := range 3000 {
		actions := h.step(h.message(0, 0))
		for _, action := range actions {
			if action.Kind == ActSend {
				event := endOf(action, Rejected)
				event.RetryAfter = second
				h.step(event, Event{Kind: EvMessageWithdrawn, Message: action.Message})
			}
		}
		entry := readyEndpoint(EndpointID(i+2), 5)
		h.step(listUpdate(ListDelta, EndpointUpdate{Endpoint: EndpointID(i + 1), State: Gone}, entry))
		h.now += second
		h.step()
		if i == 300 {
			after = kept()
		}
	}
	if n := kept(); n > 2*after {
		t.Errorf("%d things kept after 3000 rounds, %d after 300", n, after)
	}
}
