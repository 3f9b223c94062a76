package policy

import (
	"math"
	"testing"
)

func TestDropProbability(t *testing.T) {
	for _, c := range []struct{ req, acc, want float64 }{
		{0, 0, 0},        // no history
		{10, 10, 0},      // all accepted
		{10, 5, 0},       // exactly acceptFactor times the accepts
		{20, 5, 6. / 21}, // more than that, with acceptPrior added to the accepts
		{1000, 0, 0.9},   // all failed: the upper limit
		{3, 0, 0},        // too few requests for a drop
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
			t.Errorf("totals(%d) = %v requests, %v accepts, want both equal and within 1 of %v", x.at, req, acc, x.want)
		}
	}
}

// TestLocalDropsCount checks that each draw counts as a request, whether it drops the call or not.
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
		t.Fatalf("200 draws: %v requests counted, %d drops, want 200, 140 to 195", req, drops)
	}
}

// TestWindow checks that the window of calls in flight starts at 1, grows by 1 with each success, and is halved by a
// rejection or a timeout.
func TestWindow(t *testing.T) {
	h := newHarness(t, singleClassSettings(), readyEndpoint(1, 1000))
	limiter := h.engine.endpoints[1].limiter
	var burst []Event
	for range 20 {
		burst = append(burst, h.message(0, 0))
	}
	h.step(burst...)
	if len(h.sends) != 1 {
		t.Fatalf("first step with 20 messages: %d calls, want 1", len(h.sends))
	}
	h.now += second / 10
	h.step(endOf(h.sends[0], Delivered))
	if len(h.sends) != 2 || limiter.window != 2 {
		t.Fatalf("after a success: %d calls, window = %v, want 2, 2", len(h.sends), limiter.window)
	}
	for _, outcome := range []Outcome{Rejected, TimedOut} {
		limiter.window = 6
		h.now += second / 10
		h.engine.observeCall(
			&call{
				endpoint: h.engine.endpoints[1],
				sentAt:   h.engine.now - 10*second, // overdue: see TestShortTimeoutIsNoFailure
				messages: []*message{{class: &h.engine.settings.Classes[0]}},
			},
			&Event{Kind: EvAttemptEnded, Outcome: outcome},
		)
		if limiter.window != 3 {
			t.Errorf("window of 6 after outcome %d = %v, want 3", outcome, limiter.window)
		}
	}
}

// TestSlotsAtOneDestination checks that one destination uses at most three quarters of the slots, and at most half of
// them while it is failing.
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
			t.Errorf("failing = %v: calls use %d of 8 slots, want %d", failing, limiter.destination.callsInFlight, want)
		}
	}
}

// TestSmallShareAllowsBurst checks that a relay whose share of the limit is small can still send a few messages that
// arrive together.
func TestSmallShareAllowsBurst(t *testing.T) {
	settings := singleClassSettings()
	settings.Relays = 12
	h := newHarness(t, settings, readyEndpoint(1, 9))
	h.engine.endpoints[1].limiter.window = 5
	h.step(h.message(0, 0), h.message(0, 0), h.message(0, 0))
	if len(h.sends) != 3 {
		t.Fatalf("step with 3 messages: %d sends, want 3", len(h.sends))
	}
}

// TestStateDoesNotGrow guards against a leak: endpoints that are gone, messages that ended and timers that fired must
// leave nothing behind.
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
		t.Errorf("engine holds %d items after 3000 rounds and %d after 300, want at most twice as many", n, after)
	}
}

// TestFinishedMessagesDoNotAccumulate guards against memory that grows with the rate of rejected messages: the timers
// of messages that have finished must not keep them until their deadlines.
func TestFinishedMessagesDoNotAccumulate(t *testing.T) {
	settings := singleClassSettings()
	h := newHarness(t, settings, readyEndpoint(1, 5))
	most := 0
	for range 20_000 {
		event := h.message(0, 0)
		h.step(event, Event{Kind: EvMessageWithdrawn, Message: event.Message})
		most = max(most, len(h.engine.timers.items))
	}
	if limit := 3 * minTimersToRemove; most > limit {
		t.Errorf("timers of 20000 messages that finished at once: %d, want at most %d", most, limit)
	}
}

// TestRemovedTimersLeaveTheOthers guards the messages that still wait: removing the timers of finished ones must not
// change when theirs fire.
func TestRemovedTimersLeaveTheOthers(t *testing.T) {
	var timers schedule[int]
	for n := range 1000 {
		timers.add(Time(n*7919%1000), n)
	}
	timers.removeFunc(func(n int) bool { return n%10 != 0 })
	popped := 0
	for at := range Time(1000) {
		for n, ok := timers.popDue(at); ok; n, ok = timers.popDue(at) {
			popped++
			if n%10 != 0 || Time(n*7919%1000) != at {
				t.Errorf("timer %d fired at %d, want %d, and only multiples of 10", n, at, n*7919%1000)
			}
		}
	}
	if popped != 100 {
		t.Errorf("%d timers fired, want 100", popped)
	}
}
