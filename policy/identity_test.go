package policy

import "testing"

// TestIdentityRejected: where an endpoint's identity is not proved nothing goes, others serve, and what cannot wait is
// refused at once with the time to come back.
func TestIdentityRejected(t *testing.T) {
	s := singleClassSettings()
	s.MaxRetryAfter = 100 * second
	r := newHarness(t, s, readyEndpoint(1, 100), readyEndpoint(2, 100))
	r.step(Event{Kind: EvIdentityRejected, Endpoint: 1, RetryAfter: 60 * second})
	for range 8 {
		r.step(r.message(0, 0))
		for _, a := range r.sends {
			if a.Endpoint != 2 {
				t.Fatalf("sent to an endpoint that is barred")
			}
			r.step(endOf(a, Delivered))
		}
	}
	if !r.engine.Avoids(1, r.now) || r.engine.Avoids(2, r.now) {
		t.Error("figures: it is not avoided, or the other one is")
	}
	// Both are out now: one for longer than a message may take, one for less.
	r.step(Event{Kind: EvIdentityRejected, Endpoint: 2, RetryAfter: 5 * second})
	if r.step(r.message(0, 0)); len(r.sends) != 0 || count(r.actions, ActReject) != 0 {
		t.Fatalf("one comes back within 5 s: %v", r.actions)
	}
	r.step(Event{Kind: EvIdentityRejected, Endpoint: 2, RetryAfter: 70 * second})
	if count(r.actions, ActReject) != 1 {
		t.Fatalf("what was held is not refused: %v", r.actions)
	}
	r.step(r.message(0, 0))
	if len(r.actions) == 0 || r.actions[0].Kind != ActReject || r.actions[0].After < 60*second || r.actions[0].After > 61*second {
		t.Fatalf("want a refusal with the 60 s until the first is asked again: %v", r.actions)
	}
	if r.step(Event{Kind: EvIdentityRejected, Endpoint: 1}, r.message(0, 0)); len(r.sends) != 1 || r.sends[0].Endpoint != 1 {
		t.Fatalf("proved again, and nothing goes there: %v", r.actions)
	}
	// Time alone lifts it too.
	r = newHarness(t, singleClassSettings(), readyEndpoint(1, 100))
	r.step(Event{Kind: EvIdentityRejected, Endpoint: 1, RetryAfter: second}, r.message(0, 0))
	r.now += second + 5000
	if r.step(Event{Kind: EvTimer}); len(r.sends) != 1 {
		t.Fatalf("its bar is over, and nothing goes there: %v", r.actions)
	}
}

// TestConnectCostIsPaid: a connection that must be opened is paid for like calls, at the pace of a sound endpoint
// and out of the budget of a cold one; one that is there costs nothing more.
func TestConnectCostIsPaid(t *testing.T) {
	x := readyEndpoint(1, 100)
	x.ConnectCost = 5
	r := newHarness(t, singleClassSettings(), x)
	p := r.engine
	ep := p.endpoints[1]
	level := func() float64 {
		return ep.limiter.tokens.level(r.now, p.rateLimit(ep.limiter), p.bucketDepth(ep.limiter))
	}
	before := level()
	r.step(r.message(0, 0))
	if len(r.sends) != 1 || before-level() != 6 {
		t.Fatalf("a call and its connection took %v of the pace, want 6", before-level())
	}
	r.step(endOf(r.sends[0], Delivered))
	before = level()
	if r.step(r.message(0, 0)); len(r.sends) != 1 || before-level() != 1 {
		t.Fatalf("a call on a connection that is there took %v, want 1", before-level())
	}
	r.step(endOf(r.sends[0], TimedOut)) // and its connection went with it
	if p.nextConnectCost(ep) != 5 {
		t.Error("after a call without an answer its connection is still counted on")
	}
	ep.unhealthy, ep.recoveredAt, ep.requiredTokens = true, r.now, 1
	full := func(tokens float64) { ep.recoveryBudget = tokenBucket{r.now, tokens, true} }
	if full(5.9); p.mayCall(ep) {
		t.Error("cold: a connection is opened though the budget does not hold it")
	}
	full(6)
	if !p.mayCall(ep) {
		t.Error("cold: not opened though the budget holds it")
	}
	if p.spendRecoveryBudget(ep); ep.recoveryBudget.tokens != 0 {
		t.Errorf("cold: %v of 6 left", ep.recoveryBudget.tokens)
	}
	ep.connections, ep.requiredTokens = ep.callsInFlight+1, 1
	if full(1); !p.mayCall(ep) {
		t.Error("cold: a connection that is there costs as much as a new one")
	}
	// One more than the budget ever saves up is waited for, not given up.
	ep.connections, ep.connectCost = 0, 1000
	if full(0); p.nextSendTime(ep.limiter.destination) <= r.now {
		t.Error("cold: a dear connection is told to be possible now")
	}
}

// TestConnectCostIsSettled: a connection that was opened and not thought of is paid for after, and one that was
// paid for and not opened is given back.
func TestConnectCostIsSettled(t *testing.T) {
	x := readyEndpoint(1, 100)
	x.ConnectCost = 5
	r := newHarness(t, singleClassSettings(), x)
	ep := r.engine.endpoints[1]
	level := func() float64 { return ep.limiter.tokens.level(r.now, r.engine.rateLimit(ep.limiter), 1000) }
	r.step(r.message(0, 0))
	before := level()
	if !r.sends[0].OpensConnection {
		t.Fatal("the first call is not told to open a connection")
	}
	if r.step(endOf(r.sends[0], Delivered)); level()-before != 5 {
		t.Errorf("none was opened, and %v of 5 came back", level()-before)
	}
	r.step(r.message(0, 0))
	if r.sends[0].OpensConnection {
		t.Fatal("the second call is told to open one")
	}
	before = level()
	e := endOf(r.sends[0], Delivered)
	e.ConnectionsOpened = 2
	if r.step(e); before-level() != 10 {
		t.Errorf("two were opened for it, and %v of 10 was paid", before-level())
	}
	r.now += 10 * second
	r.step(r.message(0, 0))
	if r.step(endOf(r.sends[0], NotSent)); r.engine.nextConnectCost(ep) != 5 && len(r.sends) == 0 {
		t.Error("after a call that found none, one is counted on")
	}
}

// TestRecoveryBudgetWithConnections: with connections that weigh as much as four calls, this relay's part of a
// cold destination's budget holds in any window of the fall time, whatever became of the connections before.
func TestRecoveryBudgetWithConnections(t *testing.T) {
	const weight = 4.0
	s := singleClassSettings()
	s.RampDuration = 1000 * second // so that it can do the same in every window
	for seed := uint64(1); seed <= 40; seed++ {
		x := readyEndpoint(1, 15)
		x.ConnectCost = weight
		p, err := New(s, seed)
		if err != nil {
			t.Fatal(err)
		}
		r := &harness{t: t, engine: p, now: 1000 * second, nextMessage: 1}
		r.step(Event{Kind: EvListUpdated, ListUpdate: ListCached, Updates: []EndpointUpdate{x}})
		start := r.now
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
		for r.now < back+20*second {
			var events, still = []Event(nil), flights[:0]
			for _, f := range flights {
				if f.due > r.now {
					still = append(still, f)
					continue
				}
				if events = append(events, f.e); f.e.Outcome == Delivered {
					idle++
				}
			}
			flights = still
			if (r.now-start)%(second/20) == 0 {
				events = append(events, r.message(0, 0))
			}
			if (r.now-start)%second == 0 {
				idle = 0 // the partner closes what is idle, and says nothing
			}
			r.step(events...)
			for _, a := range r.sends {
				e := endOf(a, Delivered)
				e.Attempt = tries[a.Message]
				tries[a.Message]++
				due := r.now + second/10
				switch {
				case r.now > start+2*second && r.now < back:
					e.Outcome, due = ConnectFailed, r.now+5000
					idle = 0
				case idle > 0:
					idle--
					all = append(all, spent{r.now, 1})
				case a.Recovering && !a.OpensConnection:
					e.Outcome, due = NotSent, r.now+5000
				default:
					e.ConnectionsOpened = 1
					all = append(all, spent{r.now, 1 + weight})
				}
				flights = append(flights, out{e, due})
			}
			r.now += 5000
		}
		for from := back; from < back+17*second; from += second / 4 {
			work := 0.0
			for _, x := range all {
				if x.at >= from && x.at < from+s.OverloadDuration {
					work += x.work
				}
			}
			share := s.InitialCapacity + (1-s.InitialCapacity)*float64(from+s.OverloadDuration-back)/float64(s.RampDuration)
			if most := s.OverloadFactor*share*15*3/float64(s.Relays) + 1; work > most {
				t.Fatalf("seed %d: work of %.0f calls in the 3 s from %d ms after the return, want %.1f at most", seed, work, (from-back)/1000, most)
			}
		}
	}
}

// TestSendTellsOfRecovery: the driver is told where one connection is opened at a time.
func TestSendTellsOfRecovery(t *testing.T) {
	r := newHarness(t, singleClassSettings(), readyEndpoint(1, 1000))
	if r.step(r.message(0, 0)); len(r.sends) != 1 || r.sends[0].Recovering {
		t.Fatalf("a sound endpoint: %v", r.actions)
	}
	r.step(endOf(r.sends[0], Delivered))
	ep := r.engine.endpoints[1]
	ep.unhealthy, ep.recoveredAt, ep.requiredTokens, ep.recoveryBudget = true, r.now, 1, tokenBucket{r.now, 1, true}
	if r.step(r.message(0, 0)); len(r.sends) != 1 || !r.sends[0].Recovering {
		t.Fatalf("a cold one: %v", r.actions)
	}
}

// TestRetryAfterOfUnsentCall: where the relay itself could open nothing, the destination rests, and is not blamed.
func TestRetryAfterOfUnsentCall(t *testing.T) {
	r := newHarness(t, singleClassSettings(), readyEndpoint(1, 1000))
	r.step(r.message(0, 0))
	e := endOf(r.sends[0], NotSent)
	e.RetryAfter = second
	if r.step(e); len(r.sends) != 0 || r.engine.endpoints[1].failureScore != 0 {
		t.Fatalf("sent again at once, or blamed: %v", r.actions)
	}
	r.now += second + 5000
	if r.step(Event{Kind: EvTimer}); len(r.sends) != 1 {
		t.Fatalf("not sent after the wait: %v", r.actions)
	}
}
