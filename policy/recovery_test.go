package policy

import (
	"math"
	"testing"
)

// TestRecoveryBudget: after an outage seen, this relay's part of the budget holds in any window of the overload
// duration, from the return on, with the capacity at its slowest ramp.
func TestRecoveryBudget(t *testing.T) {
	for _, outcome := range []Outcome{Failed, TimedOut, ConnectFailed, ConnectionReset, Rejected} {
		settings := singleClassSettings()
		h := runOutage(t, settings, 20, outcome)
		start, back := 1000*second, 1012*second
		early, late := 0, 0
		for _, at := range h.sentAt {
			if at > start+6*second && at < back {
				early++
			}
			if at > back+15*second {
				late++
			}
		}
		for from := back; from < back+settings.RampDuration; from += second / 4 {
			n := 0
			for _, at := range h.sentAt {
				if at >= from && at < from+settings.OverloadDuration {
					n++
				}
			}
			share := rampShare(&settings, from-back)
			most := settings.OverloadFactor * share * 20 * 3 / float64(settings.Relays)
			if float64(n) > most+2 { // a trial at each endpoint is the allowance for chance
				t.Errorf("outcome %d: %d calls in the 3 s from %d ms after the return, want at most %.1f", outcome, n,
					(from-back)/1000, most)
			}
		}
		if early == 0 || early > 60 || late < 50 {
			t.Errorf(
				"outcome %d: %d calls in the outage and %d after it: trials or the return are missing",
				outcome,
				early,
				late,
			)
		}
	}
}

// TestPartialSuccessKeepsRecoveryBudget: a success amid failures starts no ramp that survives the next failure.
func TestPartialSuccessKeepsRecoveryBudget(t *testing.T) {
	h := newHarness(t, singleClassSettings(), readyEndpoint(1, 10))
	endpoint := h.engine.endpoints[1]
	h.engine.recordFailure(endpoint, h.now, false)
	h.engine.recordFailure(endpoint, h.now, false)
	if endpoint.unhealthy {
		t.Fatal("two failures in a row are an outage")
	}
	h.engine.recordFailure(endpoint, h.now, false)
	if !endpoint.unhealthy {
		t.Fatal("three failures in a row are no outage")
	}
	h.now += second
	h.engine.now = h.now
	h.engine.recordSuccess(endpoint, h.now)
	h.engine.now += 5 * second
	if h.engine.rampedCapacity(endpoint) < 0.5 {
		t.Fatalf("half a ramp gives %v", h.engine.rampedCapacity(endpoint))
	}
	h.engine.recordFailure(endpoint, h.engine.now, false)
	h.engine.recordFailure(endpoint, h.engine.now, false)
	if got := h.engine.rampedCapacity(endpoint); got != 0.2 || !endpoint.unhealthy {
		t.Fatalf("after a failure in the ramp: share %v, out %v", got, endpoint.unhealthy)
	}
}

// TestCallsBeforeRecoveryAreIgnored: what left before the outage was over does not restart it.
func TestCallsBeforeRecoveryAreIgnored(t *testing.T) {
	h := newHarness(t, singleClassSettings(), readyEndpoint(1, 10))
	endpoint := h.engine.endpoints[1]
	early := h.now
	for range 3 {
		h.engine.recordFailure(endpoint, h.now, true)
	}
	h.engine.now += 3 * second
	h.engine.recordSuccess(endpoint, h.engine.now-second/10)
	good := endpoint.recoveredAt
	h.engine.recordFailure(endpoint, early, true)
	if good == 0 || endpoint.recoveredAt != good {
		t.Fatalf("ramp began at %d and now says %d", good, endpoint.recoveredAt)
	}
}

// TestTrialCallsUsePendingMessages: a trial call is a message that waits; a non-idempotent one only once it is late.
func TestTrialCallsUsePendingMessages(t *testing.T) {
	for _, nonIdempotent := range []bool{false, true} {
		settings := singleClassSettings()
		if nonIdempotent {
			settings.Classes[0].Idempotency = NonIdempotent
		}
		h := newHarness(t, settings, readyEndpoint(1, 10))
		for range 3 {
			h.engine.recordFailure(h.engine.endpoints[1], h.now, true)
		}
		start := h.now
		h.step(h.message(0, 0))
		for len(h.sends) == 0 && h.now < start+19*second {
			h.now += second / 20
			h.step()
		}
		if len(h.sends) != 1 || nonIdempotent && h.now <= start+settings.Classes[0].LatencyObjective {
			t.Errorf("non-idempotent %v: %d sends after %d ms", nonIdempotent, len(h.sends), (h.now-start)/1000)
		}
	}
}

// TestMinorityOfFailures: where most calls pass, failures neither make an outage nor undo a ramp.
func TestMinorityOfFailures(t *testing.T) {
	h := newHarness(t, singleClassSettings(), readyEndpoint(1, 10))
	endpoint := h.engine.endpoints[1]
	for i := range 300 { // two of five fail
		h.engine.now += second / 10
		if i%5 == 1 || i%5 == 3 {
			h.engine.recordFailure(endpoint, h.engine.now, false)
		} else {
			h.engine.recordSuccess(endpoint, h.engine.now)
		}
		if endpoint.unhealthy {
			t.Fatalf("out after %d calls of which two in five failed", i)
		}
	}
	for range 3 {
		h.engine.recordFailure(endpoint, h.engine.now, false)
	}
	for range 6 {
		h.engine.recordSuccess(endpoint, h.engine.now)
	}
	good := endpoint.recoveredAt
	h.engine.recordFailure(endpoint, h.engine.now, false)
	if good == 0 || endpoint.recoveredAt != good {
		t.Fatal("one failure among passes undid the ramp")
	}
}

// TestRecoveryBudgetOfFleet: after an outage that every relay has seen, all relays together stay inside the budget of
// a recovering destination, for two relays and for hundreds.
func TestRecoveryBudgetOfFleet(t *testing.T) {
	for _, n := range []int{2, 50, 400} {
		settings := singleClassSettings()
		settings.Relays, settings.MaxPending = n, 1000
		const rate = 20.0
		back := 1012 * second
		calls := make([]float64, 40) // by half seconds from the return on
		for k := range n {
			engine, err := New(settings, uint64(k))
			if err != nil {
				t.Fatal(err)
			}
			now := 1000*second + Time(k)*1000
			events := []Event{listUpdate(ListCached, readyEndpoint(1, rate))}
			for i := range max(1, 240/n) { // twelve seconds of traffic, spread over the relays
				events = append(events, Event{Kind: EvMessageSubmitted, Message: uint32(i + 1), TimeLeft: 30 * second})
			}
			tries := map[uint32]int{}
			for now < back+10*second {
				actions := engine.Step(now, events, nil)
				events = nil
				for _, action := range actions {
					if action.Kind == ActSend {
						if at := (now - back) * 2 / second; now >= back {
							calls[at]++
						}
						event := endOf(action, ConnectFailed)
						event.Attempt = tries[action.Message]
						tries[action.Message]++
						events = append(events, event)
					}
				}
				now += second / 20
			}
		}
		for from := 0; from+6 <= 20; from++ {
			sum := 0.0
			for _, c := range calls[from : from+6] {
				sum += c
			}
			if most := settings.OverloadFactor * settings.InitialCapacity * rate * 3; sum > most*1.25 {
				t.Errorf("%d relays: %v calls in 3 s from %d ms after the return, budget %v", n, sum, from*500, most)
			}
		}
	}
}

// TestBackoffOfFailingEndpoint: with many relays for the messages an endpoint that fails twice rests, and the longer
// the longer it has failed; where few relays send there much each, it hardly does.
func TestBackoffOfFailingEndpoint(t *testing.T) {
	for _, n := range []int{2, 400} {
		settings := singleClassSettings()
		settings.Relays = n
		h := newHarness(t, settings, readyEndpoint(1, 10))
		endpoint := h.engine.endpoints[1]
		h.engine.recordFailure(endpoint, h.now, false)
		if endpoint.backoffUntil > h.now {
			t.Fatalf("%d relays: a backoff after the first failure", n)
		}
		h.engine.now += second / 2
		h.engine.recordFailure(endpoint, h.engine.now, false)
		if backoff := endpoint.backoffUntil - h.engine.now; n == 400 && backoff < second ||
			n == 2 && backoff > second/4 {
			t.Errorf("%d relays: a backoff of %d ms half a second after the first failure", n, backoff/1000)
		}
	}
}

// TestRampStart: a relay that calls seldom hears of a return long after it. The ramp is taken to have begun in the
// middle between its last failure and the call that was answered, and for all endpoints that went with it.
func TestRampStart(t *testing.T) {
	h := newHarness(t, singleClassSettings(), readyEndpoint(1, 100), readyEndpoint(2, 100))
	failAllEndpoints(h)
	a, b := h.engine.endpoints[1], h.engine.endpoints[2]
	down := h.now
	h.now += 4 * second
	h.engine.now = h.now
	h.engine.recordSuccess(a, h.now-second) // sent 3 s after the last failure
	if want := down + 3*second/2; a.recoveredAt != want || b.recoveredAt != want {
		t.Errorf(
			"the ramps begin %d and %d after the last failure, want %d",
			a.recoveredAt-down,
			b.recoveredAt-down,
			want-down,
		)
	}
	if got, want := h.engine.rampedCapacity(b), 0.2+0.8*0.25; math.Abs(got-want) > 0.001 {
		t.Errorf("taken to have %.3f of its capacity, want %.3f", got, want)
	}
	h.engine.recordFailure(b, h.now-second/2, false) // it has not returned after all
	if b.recoveredAt != 0 || a.recoveredAt == 0 {
		t.Error("a failure there does not undo its own ramp, and its alone")
	}
	h = newHarness(t, singleClassSettings(), readyEndpoint(1, 100), readyEndpoint(2, 100))
	failAllEndpoints(h)
	h.now += second
	h.engine.now = h.now
	h.engine.recordFailure(h.engine.endpoints[2], h.now, false)
	h.engine.recordSuccess(h.engine.endpoints[1], h.now-second/2)
	if h.engine.endpoints[2].recoveredAt != 0 {
		t.Error("one that failed after the call was sent is taken to be back")
	}
}

// TestRecoveryBudgetWithConnections: with connections that weigh as much as four calls, this relay's part of a
// destination's budget holds in any window of the overload duration, whatever became of the connections before.
func TestRecoveryBudgetWithConnections(t *testing.T) {
	const weight = 4.0
	settings := singleClassSettings()
	settings.RampDuration = 1000 * second // so that it can do the same in every window
	for seed := uint64(1); seed <= 40; seed++ {
		entry := readyEndpoint(1, 15)
		entry.ConnectCost = weight
		engine, err := New(settings, seed)
		if err != nil {
			t.Fatal(err)
		}
		h := &harness{t: t, engine: engine, now: 1000 * second, nextMessage: 1}
		h.step(listUpdate(ListCached, entry))
		start := h.now
		back := start + 8*second
		type spent struct {
			at   Time
			work float64
		}
		var all []spent
		type out struct {
			e   Event
			due Time
		}
		var flights []out
		tries := map[uint32]int{}
		idle := 0
		for h.now < back+20*second {
			events, still := []Event(nil), flights[:0]
			for _, f := range flights {
				if f.due > h.now {
					still = append(still, f)
					continue
				}
				if events = append(events, f.e); f.e.Outcome == Delivered {
					idle++
				}
			}
			flights = still
			if (h.now-start)%(second/20) == 0 {
				events = append(events, h.message(0, 0))
			}
			if (h.now-start)%second == 0 {
				idle = 0 // the partner closes what is idle, and says nothing
			}
			h.step(events...)
			for _, action := range h.sends {
				event := endOf(action, Delivered)
				event.Attempt = tries[action.Message]
				tries[action.Message]++
				due := h.now + second/10
				switch {
				case h.now > start+2*second && h.now < back:
					event.Outcome, due = ConnectFailed, h.now+5000
					idle = 0
				case idle > 0:
					idle--
					all = append(all, spent{h.now, 1})
				case action.Recovering && !action.OpensConnection:
					event.Outcome, due = NotSent, h.now+5000
				default:
					event.ConnectionsOpened = 1
					all = append(all, spent{h.now, 1 + weight})
				}
				flights = append(flights, out{event, due})
			}
			h.now += 5000
		}
		for from := back; from < back+17*second; from += second / 4 {
			work := 0.0
			for _, x := range all {
				if x.at >= from && x.at < from+settings.OverloadDuration {
					work += x.work
				}
			}
			share := rampShare(&settings, from+settings.OverloadDuration-back)
			if most := settings.OverloadFactor*share*15*3/float64(settings.Relays) + 1; work > most {
				t.Fatalf(
					"seed %d: work of %.0f calls in the 3 s from %d ms after the return, want %.1f at most",
					seed,
					work,
					(from-back)/1000,
					most,
				)
			}
		}
	}
}

// TestSendTellsOfRecovery: the driver is told where one connection is opened at a time.
func TestSendTellsOfRecovery(t *testing.T) {
	h := newHarness(t, singleClassSettings(), readyEndpoint(1, 1000))
	if h.step(h.message(0, 0)); len(h.sends) != 1 || h.sends[0].Recovering {
		t.Fatalf("a healthy endpoint: %v", h.actions)
	}
	h.step(endOf(h.sends[0], Delivered))
	endpoint := h.engine.endpoints[1]
	endpoint.unhealthy, endpoint.recoveredAt, endpoint.requiredTokens = true, h.now, 1
	endpoint.recoveryBudget = tokenBucket{h.now, 1, true}
	if h.step(h.message(0, 0)); len(h.sends) != 1 || !h.sends[0].Recovering {
		t.Fatalf("a recovering one: %v", h.actions)
	}
}
