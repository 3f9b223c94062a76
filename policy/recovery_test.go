package policy

import (
	"math"
	"testing"
)

// TestRecoveryBudget checks that after an outage this relay stays within its part of the recovery budget in any window
// of an overload duration, assuming that the capacity grows as slowly as the settings allow.
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
			if float64(n) > most+2 { // 2: allows one random trial call at each endpoint
				t.Errorf("outcome %d: %d calls in the 3 s from %d ms after the outage, want at most %.1f", outcome, n,
					(from-back)/1000, most+2)
			}
		}
		if early == 0 || early > 60 || late < 50 {
			t.Errorf("outcome %d: %d calls in the outage and %d after the ramp, want 1 to 60 and at least 50", outcome,
				early, late)
		}
	}
}

// TestPartialSuccessKeepsRecoveryBudget checks that a ramp that a single success has started ends with the next
// failures.
func TestPartialSuccessKeepsRecoveryBudget(t *testing.T) {
	h := newHarness(t, singleClassSettings(), readyEndpoint(1, 10))
	endpoint := h.engine.endpoints[1]
	h.engine.recordFailure(endpoint, h.now, false)
	h.engine.recordFailure(endpoint, h.now, false)
	if endpoint.unhealthy {
		t.Fatal("unhealthy = true after two failures in a row, want false")
	}
	h.engine.recordFailure(endpoint, h.now, false)
	if !endpoint.unhealthy {
		t.Fatal("unhealthy = false after three failures in a row, want true")
	}
	h.now += second
	h.engine.now = h.now
	h.engine.recordSuccess(endpoint, h.now)
	h.engine.now += 5 * second
	if h.engine.rampedCapacity(endpoint) < 0.5 {
		t.Fatalf("rampedCapacity = %v after half the ramp, want at least 0.5", h.engine.rampedCapacity(endpoint))
	}
	h.engine.recordFailure(endpoint, h.engine.now, false)
	h.engine.recordFailure(endpoint, h.engine.now, false)
	if got := h.engine.rampedCapacity(endpoint); got != 0.2 || !endpoint.unhealthy {
		t.Fatalf("rampedCapacity = %v, unhealthy = %v after failures during the ramp, want 0.2, true", got,
			endpoint.unhealthy)
	}
}

// TestCallsBeforeRecoveryAreIgnored checks that a call that was sent before the recovery and fails after it does not
// end the ramp.
func TestCallsBeforeRecoveryAreIgnored(t *testing.T) {
	h := newHarness(t, singleClassSettings(), readyEndpoint(1, 10))
	endpoint := h.engine.endpoints[1]
	sentBefore := h.now
	for range 3 {
		h.engine.recordFailure(endpoint, h.now, true)
	}
	h.engine.now += 3 * second
	h.engine.recordSuccess(endpoint, h.engine.now-second/10)
	rampStart := endpoint.recoveredAt
	h.engine.recordFailure(endpoint, sentBefore, true)
	if rampStart == 0 || endpoint.recoveredAt != rampStart {
		t.Fatalf("recoveredAt = %d before and %d after the failure of an earlier call, want the same above 0",
			rampStart, endpoint.recoveredAt)
	}
}

// TestTrialCallsUsePendingMessages checks that trial calls send pending messages, but a non-idempotent message only
// once it is late.
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
			t.Errorf("non-idempotent = %v: %d sends after %d ms, want 1, and after the objective if non-idempotent",
				nonIdempotent, len(h.sends), (h.now-start)/1000)
		}
	}
}

// TestMinorityOfFailures checks that failures neither make an endpoint unhealthy nor end its ramp while most calls
// succeed.
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
			t.Fatalf("unhealthy = true after call %d with two of five failing, want false", i)
		}
	}
	for range 3 {
		h.engine.recordFailure(endpoint, h.engine.now, false)
	}
	for range 6 {
		h.engine.recordSuccess(endpoint, h.engine.now)
	}
	rampStart := endpoint.recoveredAt
	h.engine.recordFailure(endpoint, h.engine.now, false)
	if rampStart == 0 || endpoint.recoveredAt != rampStart {
		t.Fatalf("recoveredAt = %d before and %d after one failure among successes, want the same above 0", rampStart,
			endpoint.recoveredAt)
	}
}

// TestRecoveryBudgetOfFleet checks that all relays together stay within the budget of a recovering destination, both
// for two relays and for hundreds, after an outage that every relay has seen.
func TestRecoveryBudgetOfFleet(t *testing.T) {
	for _, n := range []int{2, 50, 400} {
		settings := singleClassSettings()
		settings.Relays, settings.MaxPending = n, 1000
		const rate = 20.0
		back := 1012 * second
		calls := make([]float64, 40) // by half second since the end of the outage
		for k := range n {
			engine, err := New(settings, uint64(k))
			if err != nil {
				t.Fatal(err)
			}
			now := 1000*second + Time(k)*1000
			events := []Event{listUpdate(ListCached, readyEndpoint(1, rate))}
			for i := range max(1, 240/n) { // the traffic of 12 s, divided among the relays
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
				t.Errorf("%d relays: %v calls in the 3 s from %d ms after the outage, want at most %v", n, sum,
					from*500, most*1.25)
			}
		}
	}
}

// TestBackoffOfFailingEndpoint checks that an endpoint that fails twice gets a backoff in proportion to the time since
// its first failure if there are many relays, and hardly any if few relays send much each.
func TestBackoffOfFailingEndpoint(t *testing.T) {
	for _, n := range []int{2, 400} {
		settings := singleClassSettings()
		settings.Relays = n
		h := newHarness(t, settings, readyEndpoint(1, 10))
		endpoint := h.engine.endpoints[1]
		h.engine.recordFailure(endpoint, h.now, false)
		if endpoint.backoffUntil > h.now {
			t.Fatalf("%d relays: backoff of %d µs after the first failure, want none", n, endpoint.backoffUntil-h.now)
		}
		h.engine.now += second / 2
		h.engine.recordFailure(endpoint, h.engine.now, false)
		if backoff := endpoint.backoffUntil - h.engine.now; n == 400 && backoff < second ||
			n == 2 && backoff > second/4 {
			t.Errorf("%d relays: backoff = %d ms at a failure 500 ms after the first, want at least 1000 ms with 400 "+
				"relays, at most 250 ms with 2", n, backoff/1000)
		}
	}
}

// TestRampStart checks when a ramp starts. A relay that rarely calls learns of the end of an outage long after it, so
// the ramp is assumed to have started midway between the last failure and the send of the call that succeeded. The
// same holds for the endpoints that failed in the same outage.
func TestRampStart(t *testing.T) {
	h := newHarness(t, singleClassSettings(), readyEndpoint(1, 100), readyEndpoint(2, 100))
	failAllEndpoints(h)
	answered, sibling := h.engine.endpoints[1], h.engine.endpoints[2]
	failedAt := h.now
	h.now += 4 * second
	h.engine.now = h.now
	h.engine.recordSuccess(answered, h.now-second) // sent 3 s after the last failure
	if want := failedAt + 3*second/2; answered.recoveredAt != want || sibling.recoveredAt != want {
		t.Errorf("ramps start %d and %d µs after the last failure, want both at %d", answered.recoveredAt-failedAt,
			sibling.recoveredAt-failedAt, want-failedAt)
	}
	if got, want := h.engine.rampedCapacity(sibling), 0.2+0.8*0.25; math.Abs(got-want) > 0.001 {
		t.Errorf("rampedCapacity(sibling) = %.3f, want %.3f", got, want)
	}
	h.engine.recordFailure(sibling, h.now-second/2, false) // it has not recovered after all
	if sibling.recoveredAt != 0 || answered.recoveredAt == 0 {
		t.Errorf("after a failure of the sibling: recoveredAt = %d, of the other %d, want 0 and not 0",
			sibling.recoveredAt, answered.recoveredAt)
	}
	h = newHarness(t, singleClassSettings(), readyEndpoint(1, 100), readyEndpoint(2, 100))
	failAllEndpoints(h)
	h.now += second
	h.engine.now = h.now
	h.engine.recordFailure(h.engine.endpoints[2], h.now, false)
	h.engine.recordSuccess(h.engine.endpoints[1], h.now-second/2)
	if h.engine.endpoints[2].recoveredAt != 0 {
		t.Error("an endpoint that failed after the successful call was sent starts a ramp, want none")
	}
}

// TestRecoveryBudgetWithConnections checks that this relay stays within its part of a destination's budget in any
// window of an overload duration if opening a connection costs as much as four calls, whatever has happened to earlier
// connections.
func TestRecoveryBudgetWithConnections(t *testing.T) {
	const weight = 4.0
	settings := singleClassSettings()
	settings.RampDuration = 1000 * second // keeps the capacity nearly constant
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
		type expense struct {
			at   Time
			work float64 // in calls
		}
		var expenses []expense
		type attempt struct {
			end   Event
			dueAt Time
		}
		var inFlight []attempt
		attempts := map[uint32]int{}
		idle := 0
		for h.now < back+20*second {
			events, remaining := []Event(nil), inFlight[:0]
			for _, sent := range inFlight {
				if sent.dueAt > h.now {
					remaining = append(remaining, sent)
					continue
				}
				if events = append(events, sent.end); sent.end.Outcome == Delivered {
					idle++
				}
			}
			inFlight = remaining
			if (h.now-start)%(second/20) == 0 {
				events = append(events, h.message(0, 0))
			}
			if (h.now-start)%second == 0 {
				idle = 0 // the partner closes idle connections, and the relay does not notice
			}
			h.step(events...)
			for _, action := range h.sends {
				event := endOf(action, Delivered)
				event.Attempt = attempts[action.Message]
				attempts[action.Message]++
				dueAt := h.now + second/10
				switch {
				case h.now > start+2*second && h.now < back:
					event.Outcome, dueAt = ConnectFailed, h.now+5000
					idle = 0
				case idle > 0:
					idle--
					expenses = append(expenses, expense{h.now, 1})
				case action.WarmingUp && !action.OpensConnection:
					event.Outcome, dueAt = NotSent, h.now+5000
				default:
					event.ConnectionsOpened = 1
					expenses = append(expenses, expense{h.now, 1 + weight})
				}
				inFlight = append(inFlight, attempt{event, dueAt})
			}
			h.now += 5000
		}
		for from := back; from < back+17*second; from += second / 4 {
			work := 0.0
			for _, expense := range expenses {
				if expense.at >= from && expense.at < from+settings.OverloadDuration {
					work += expense.work
				}
			}
			share := rampShare(&settings, from+settings.OverloadDuration-back)
			if most := settings.OverloadFactor*share*15*3/float64(settings.Relays) + 1; work > most {
				t.Fatalf("seed %d: work of %.0f calls in the 3 s from %d ms after the outage, want at most %.1f", seed,
					work, (from-back)/1000, most)
			}
		}
	}
}

// TestSendReportsRecovery checks that ActSend marks recovering endpoints, where the relay must open one connection at
// a time.
func TestSendReportsRecovery(t *testing.T) {
	h := newHarness(t, singleClassSettings(), readyEndpoint(1, 1000))
	if h.step(h.message(0, 0)); len(h.sends) != 1 || h.sends[0].WarmingUp {
		t.Fatalf("step with a healthy endpoint: actions %+v, want one send without WarmingUp", h.actions)
	}
	h.step(endOf(h.sends[0], Delivered))
	endpoint := h.engine.endpoints[1]
	endpoint.unhealthy, endpoint.recoveredAt, endpoint.requiredTokens = true, h.now, 1
	endpoint.recoveryBudget = tokenBucket{h.now, 1, true}
	if h.step(h.message(0, 0)); len(h.sends) != 1 || !h.sends[0].WarmingUp {
		t.Fatalf("step with a recovering endpoint: actions %+v, want one send with WarmingUp", h.actions)
	}
}
