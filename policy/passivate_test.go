package policy

import "testing"

// passivate has all relays passivate the destination.
func (f *fleet) passivate(t *testing.T, now Time) {
	t.Helper()
	f.passivated = make([]*Snapshot, len(f.engines))
	for i, engine := range f.engines {
		if !engine.CanPassivate(now, 0) {
			t.Fatalf("relay %d: not idle at %d s", i, now/second)
		}
		f.passivated[i] = engine.Passivate(now, 0)
		if destinations, endpoints := len(engine.destinations), len(engine.endpoints); destinations+endpoints > 0 {
			t.Fatalf("relay %d keeps %d destinations and %d endpoints", i, destinations, endpoints)
		}
	}
}

// activateOthers has each relay activate four other destinations.
func (f *fleet) activateOthers(now Time) {
	for i := range f.engines {
		for k := range 4 {
			id := 100 + int(now/1000) + k
			update := listUpdate(ListDelta, EndpointUpdate{
				Endpoint: EndpointID(id), Destination: id, State: Ready, Rate: 10,
			})
			update.Snapshot = &Snapshot{}
			f.step(now, i, update)
		}
	}
}

// TestActivatedMayBeRecovering: a destination that nobody sent to for minutes was down meanwhile, unseen, and
// recovers as the burst comes: relays that passivated it do not overload it; relays that held it for as healthy as it
// was do, so that this can fail. Nobody starves.
func TestActivatedMayBeRecovering(t *testing.T) {
	for _, n := range []int{3, 80, 300} {
		overloads, without := 0, 0 // after a passivation, and without one
		for seed := range uint64(4) {
			overloads += burstAfterIdleOutage(t, n, seed, true)
			without += burstAfterIdleOutage(t, n, seed, false)
		}
		t.Logf("%d relays: %d windows over the budget after a passivation, %d without one", n, overloads, without)
		if overloads > 0 || without == 0 && n == 300 {
			t.Errorf("%d relays: %d windows over the budget after a passivation, %d without one", n, overloads, without)
		}
	}
}

// burstAfterIdleOutage counts the overloads of a burst that comes as the destination returns.
func burstAfterIdleOutage(t *testing.T, n int, seed uint64, passivate bool) int {
	t.Helper()
	const rate, begin = 90.0, 1000 * second
	fleet := newFleet(t, n, rate, seed)
	fleet.play(begin, 20*second, 0.5*rate)
	fleet.play(begin+20*second, 26*second, 0.001) // what is pending ends
	fleet.downAt, fleet.upAt = begin+100*second, begin+300*second
	if passivate {
		fleet.passivate(t, begin+60*second)
	}
	for at := begin + 300*second; at < begin+302*second; at += second / 10 { // all relays at once
		fleet.activateOthers(at)
		fleet.play(at, second/10, 3*rate)
	}
	fleet.play(begin+302*second, 18*second, 0.5*rate)
	submitted, accepted := 0, 0
	for i := range fleet.engines {
		submitted += fleet.submitted[i]
		accepted += fleet.accepted[i]
	}
	if part := float64(accepted) / float64(submitted); passivate && part < 0.5 {
		t.Errorf("%d relays, seed %d: %.2f of the messages are accepted", n, seed, part)
	}
	return fleet.overloads()
}

// TestOutageOutlastsPassivation: what was ejected as it was passivated is so as it is activated: it gets trial calls,
// and comes back over its ramp.
func TestOutageOutlastsPassivation(t *testing.T) {
	const rate, begin = 90.0, 1000 * second
	for _, n := range []int{3, 40} {
		overloads := 0
		for seed := range uint64(6) {
			fleet := newFleet(t, n, rate, seed)
			fleet.downAt, fleet.upAt = begin+6*second, begin+44*second
			fleet.play(begin, 9*second, 0.8*rate)
			fleet.play(begin+9*second, 26*second, 0.001) // what is pending ends
			known := 0
			for i, engine := range fleet.engines {
				if engine.endpoints[1].unhealthy {
					known++
				}
				if !engine.CanPassivate(begin+35*second, 0) { // its trials count for as long as others
					fleet.step(begin+36*second, i, Event{Kind: EvTimer})
				}
			}
			if known < n/2 {
				t.Fatalf("only %d of %d relays know of the outage", known, n)
			}
			fleet.passivate(t, begin+44*second)
			fleet.play(begin+44*second, 25*second, 0.8*rate)
			overloads += fleet.overloads()
		}
		if overloads > 0 {
			t.Errorf("%d relays: %d windows over the budget", n, overloads)
		}
	}
}

// TestCanPassivate: what keeps a destination active, one thing at a time.
func TestCanPassivate(t *testing.T) {
	tests := map[string]struct {
		change func(engine *Engine, now Time)
		want   bool
	}{
		"nothing": {func(*Engine, Time) {}, true},
		"unknown": {func(engine *Engine, now Time) { engine.Passivate(now, 0) }, true},
		"a message": {func(engine *Engine, now Time) {
			engine.Step(now, []Event{{Kind: EvMessageSubmitted, Message: 1, TimeLeft: 20 * second}}, nil)
		}, false},
		"a Retry-After": {func(engine *Engine, now Time) {
			engine.endpoints[1].limiter.retryAfterUntil = now + 1
		}, false},
		"a Retry-After that is over": {func(engine *Engine, now Time) {
			engine.endpoints[1].limiter.retryAfterUntil = now
		}, true},
		"a count": {func(engine *Engine, now Time) {
			engine.endpoints[1].limiter.history.request(now - historyWindow + 2*second)
		}, false},
		"an old count": {func(engine *Engine, now Time) {
			engine.endpoints[1].limiter.history.request(now - historyWindow - second)
		}, true},
		"no proof": {func(engine *Engine, now Time) {
			engine.Step(now, []Event{{Kind: EvIdentityRejected, Endpoint: 1, RetryAfter: second}}, nil)
		}, false},
		"an outage": {func(engine *Engine, now Time) { engine.endpoints[1].unhealthy = true }, true},
	}
	for name, tt := range tests {
		engine, err := New(singleClassSettings(), 1)
		if err != nil {
			t.Fatal(err)
		}
		now := 1000 * second
		engine.Step(now-100*second, []Event{listUpdate(ListFull, readyEndpoint(1, 50), readyEndpoint(2, 50))}, nil)
		tt.change(engine, now)
		if got := engine.CanPassivate(now, 0); got != tt.want {
			t.Errorf("%s: can be passivated: %v", name, got)
		}
	}
}

// TestActivate: an activated destination is as it was, where it has answered of late; on a ramp from now, where it
// has not; with nothing saved up in any case.
func TestActivate(t *testing.T) {
	settings := singleClassSettings()
	long := staleSuccessRamps*settings.RampDuration + second
	for name, c := range map[string]struct {
		answered, passivated Time // the last answer before it was passivated, and for how long it was
		recovering           bool
	}{
		"answered of late": {20 * second, 5 * second, false},
		"long ago":         {20 * second, long, true},
		"never":            {0, second, true},
	} {
		engine, err := New(settings, 1)
		if err != nil {
			t.Fatal(err)
		}
		now := 1000 * second
		entries := []EndpointUpdate{readyEndpoint(1, 50), readyEndpoint(2, 50)}
		engine.Step(now, []Event{listUpdate(ListFull, entries...)}, nil)
		if c.answered > 0 {
			for _, endpoint := range engine.endpoints {
				endpoint.lastSuccessAt = now
				endpoint.latency.add(30e3)
			}
			engine.endpoints[1].limiter.latency.add(30e3)
		}
		now += c.answered
		snapshot := engine.Passivate(now, 0)
		if (len(snapshot.Limiters) > 0) != (c.answered > 0) {
			t.Errorf("%s: %d limiters kept", name, len(snapshot.Limiters))
		}
		now += c.passivated
		update := listUpdate(ListDelta, entries...)
		update.Snapshot = snapshot
		engine.Step(now, []Event{update}, nil)
		for _, id := range []EndpointID{1, 2} {
			endpoint := engine.endpoints[id]
			if endpoint.unhealthy != c.recovering ||
				c.recovering && (endpoint.recoveredAt != now || endpoint.firstFailureAt != now) {
				t.Errorf("%s: %d is recovering: %v, since %d", name, id, endpoint.unhealthy, now-endpoint.recoveredAt)
			}
			if c.answered > 0 && (endpoint.latency.mean != 30e3 || endpoint.limiter.latency.count != 1) {
				t.Errorf("%s: %d: its latency is forgotten", name, id)
			}
		}
		if got := engine.endpoints[1].limiter.tokens.level(now, 50, 100); got != 1 {
			t.Errorf("%s: %v saved up", name, got)
		}
	}
}

// TestPassivateOneOfTwo: the other destination stays.
func TestPassivateOneOfTwo(t *testing.T) {
	engine, err := New(singleClassSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	other := EndpointUpdate{Endpoint: 7, Destination: 7, State: Ready, Rate: 50}
	engine.Step(1000*second, []Event{listUpdate(ListFull, readyEndpoint(1, 50), other)}, nil)
	engine.Passivate(1030*second, 0)
	if engine.findDestination(7) == nil || engine.findDestination(0) != nil || len(engine.endpoints) != 1 {
		t.Error("the wrong one is passivated")
	}
}

// TestRecoveryBudgetPerOverloadDuration: what a recovering endpoint may be sent in any overload duration on its ramp,
// a burst of all that is saved up and the refill behind it, is what it could do in that time on average, and not what
// it can do by its end.
func TestRecoveryBudgetPerOverloadDuration(t *testing.T) {
	for _, ramp := range []Time{4 * second, 10 * second, 13 * second} {
		settings := singleClassSettings()
		settings.Relays, settings.RampDuration, settings.OverloadDuration = 1, ramp, 2*second
		h := newHarness(t, settings, readyEndpoint(1, 100), readyEndpoint(2, 100))
		failAllEndpoints(h)
		endpoint := h.engine.endpoints[1]
		h.engine.recordSuccess(endpoint, h.now+second)
		span := float64(settings.OverloadDuration) / 1e6
		for at := endpoint.recoveredAt + settings.OverloadDuration; at < endpoint.recoveredAt+ramp; at += second / 10 {
			h.engine.now = at
			rate, depth, fractional := h.engine.recoveryBudgetRate(endpoint)
			mean := rampShare(&settings, at-settings.OverloadDuration/2-endpoint.recoveredAt)
			room := settings.OverloadFactor * mean * 50 * span
			if sum := depth + rate*span; fractional || sum > max(1.001*room, rate*span+1) || sum < 0.99*room {
				t.Fatalf("ramp of %d s, %.1f s on: %.1f in an overload duration, it bears %.1f",
					ramp/second, float64(at-endpoint.recoveredAt)/1e6, sum, room)
			}
		}
	}
}
