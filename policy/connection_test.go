package policy

import "testing"

// TestIdleConnectionsClosed: where connections run out, idle ones are closed, the sooner the more relays there are.
func TestIdleConnectionsClosed(t *testing.T) {
	for _, ratio := range []float64{0, 1} {
		settings := singleClassSettings()
		settings.Relays = 50
		h := newHarness(t, settings, readyEndpoint(1, 1000))
		h.engine.connectFailureRatios[0] = ratio
		h.step(h.message(0, 0))
		h.now += second / 10
		closes := 0
		h.step(endOf(h.sends[0], Delivered))
		for range 40 { // two seconds, of ten that connections live
			h.now += second / 20
			closes += count(h.step(), ActCloseIdle)
		}
		if closes != int(ratio) {
			t.Errorf("share without connection %v: %d times closed", ratio, closes)
		}
	}
}

// TestScarceConnections guards against idle connections that a whole fleet closes and opens again, since what is down
// takes no connection: only an endpoint that answers others meanwhile has none left.
func TestScarceConnections(t *testing.T) {
	for _, c := range []struct {
		name   string
		ends   []Outcome // of two calls that are in flight together, in this order
		scarce bool
	}{
		{"down", []Outcome{ConnectFailed, ConnectFailed}, false},
		{"down, then cut off", []Outcome{ConnectFailed, ConnectionReset}, false},
		{"another was answered", []Outcome{ConnectFailed, Delivered}, true},
		{"another had been answered", []Outcome{Delivered, ConnectFailed}, true},
		{"another was rejected", []Outcome{ConnectFailed, Rejected}, true},
		{"both were answered", []Outcome{Delivered, Delivered}, false},
	} {
		h := newHarness(t, singleClassSettings(), readyEndpoint(1, 100))
		h.engine.destinationFor(0).limiters[0].window = 4
		h.step(h.message(0, 0), h.message(0, 0))
		if len(h.sends) != 2 {
			t.Fatalf("%s: %d calls in flight", c.name, len(h.sends))
		}
		for i, action := range h.sends {
			h.now += second / 10
			h.step(endOf(action, c.ends[i]))
		}
		if got := h.engine.connectFailureRatios[0] > 0; got != c.scarce {
			t.Errorf("%s: taken to run out: %v", c.name, got)
		}
	}
}

// TestConnectCostIsPaid: a connection that must be opened is paid for like calls, at the rate of a healthy endpoint
// and out of the budget of a recovering one; one that is there costs nothing more.
func TestConnectCostIsPaid(t *testing.T) {
	entry := readyEndpoint(1, 100)
	entry.ConnectCost = 5
	h := newHarness(t, singleClassSettings(), entry)
	engine := h.engine
	endpoint := engine.endpoints[1]
	level := func() float64 {
		return endpoint.limiter.tokens.level(
			h.now,
			engine.rateLimit(endpoint.limiter),
			engine.bucketDepth(endpoint.limiter),
		)
	}
	before := level()
	h.step(h.message(0, 0))
	if len(h.sends) != 1 || before-level() != 6 {
		t.Fatalf("a call and its connection took %v of the rate, want 6", before-level())
	}
	h.step(endOf(h.sends[0], Delivered))
	before = level()
	if h.step(h.message(0, 0)); len(h.sends) != 1 || before-level() != 1 {
		t.Fatalf("a call on a connection that is there took %v, want 1", before-level())
	}
	h.step(endOf(h.sends[0], TimedOut)) // and its connection went with it
	if engine.nextConnectCost(endpoint) != 5 {
		t.Error("after a call without an answer its connection is still counted on")
	}
	endpoint.unhealthy, endpoint.recoveredAt, endpoint.requiredTokens = true, h.now, 1
	full := func(tokens float64) { endpoint.recoveryBudget = tokenBucket{h.now, tokens, true} }
	if full(5.9); engine.mayCall(endpoint) {
		t.Error("recovering: a connection is opened though the budget does not hold it")
	}
	full(6)
	if !engine.mayCall(endpoint) {
		t.Error("recovering: not opened though the budget holds it")
	}
	if engine.spendRecoveryBudget(endpoint); endpoint.recoveryBudget.tokens != 0 {
		t.Errorf("recovering: %v of 6 left", endpoint.recoveryBudget.tokens)
	}
	endpoint.connections, endpoint.requiredTokens = endpoint.callsInFlight+1, 1
	if full(1); !engine.mayCall(endpoint) {
		t.Error("recovering: a connection that is there costs as much as a new one")
	}
	// One more than the budget ever saves up is waited for, not given up.
	endpoint.connections, endpoint.connectCost = 0, 1000
	if full(0); engine.nextSendTime(endpoint.limiter.destination) <= h.now {
		t.Error("recovering: a costly connection is said to be possible now")
	}
}

// TestConnectCostIsSettled: a connection that was opened and not expected is paid for after, and one that was paid
// for and not opened is given back.
func TestConnectCostIsSettled(t *testing.T) {
	entry := readyEndpoint(1, 100)
	entry.ConnectCost = 5
	h := newHarness(t, singleClassSettings(), entry)
	endpoint := h.engine.endpoints[1]
	level := func() float64 {
		return endpoint.limiter.tokens.level(h.now, h.engine.rateLimit(endpoint.limiter), 1000)
	}
	h.step(h.message(0, 0))
	before := level()
	if !h.sends[0].OpensConnection {
		t.Fatal("the first call is not to open a connection")
	}
	if h.step(endOf(h.sends[0], Delivered)); level()-before != 5 {
		t.Errorf("none was opened, and %v of 5 came back", level()-before)
	}
	h.step(h.message(0, 0))
	if h.sends[0].OpensConnection {
		t.Fatal("the second call is to open one")
	}
	before = level()
	event := endOf(h.sends[0], Delivered)
	event.ConnectionsOpened = 2
	if h.step(event); before-level() != 10 {
		t.Errorf("two were opened for it, and %v of 10 was paid", before-level())
	}
	h.now += 10 * second
	h.step(h.message(0, 0))
	if h.step(endOf(h.sends[0], NotSent)); h.engine.nextConnectCost(endpoint) != 5 && len(h.sends) == 0 {
		t.Error("after a call that found none, one is counted on")
	}
}
