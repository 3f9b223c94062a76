package policy

import "testing"

// passivate makes all relays passivate the destination.
func (f *fleet) passivate(t *testing.T, now Time) {
	t.Helper()
	f.passivated = make([]*Snapshot, len(f.engines))
	for i, engine := range f.engines {
		if !engine.CanPassivate(now, 0) {
			t.Fatalf("relay %d: CanPassivate(0) = false at %d s, want true", i, now/second)
		}
		f.passivated[i] = engine.Passivate(now, 0)
		if destinations, endpoints := len(engine.destinations), len(engine.endpoints); destinations+endpoints > 0 {
			t.Fatalf("relay %d after Passivate: %d destinations and %d endpoints are left, want none", i, destinations,
				endpoints)
		}
	}
}

// activateOthers makes each relay activate four other destinations.
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

// TestActivatedMayBeRecovering guards against an outage that nobody noticed: a destination without traffic for minutes
// was down in that time, and a burst of messages comes while it recovers. Relays that passivated it must not overload
// it, and most messages must still be accepted. Relays that did not passivate it assume that it is still healthy; 300
// of them do overload it, which shows that the simulation can detect an overload.
func TestActivatedMayBeRecovering(t *testing.T) {
	for _, n := range []int{3, 80, 300} {
		overloads, overloadsWithout := 0, 0 // with and without a passivation
		for seed := range uint64(4) {
			overloads += burstAfterIdleOutage(t, n, seed, true)
			overloadsWithout += burstAfterIdleOutage(t, n, seed, false)
		}
		t.Logf("%d relays: %d overloads after a passivation, %d without one", n, overloads, overloadsWithout)
		if overloads > 0 || overloadsWithout == 0 && n == 300 {
			t.Errorf("%d relays: %d overloads after a passivation, %d without one, want 0, and above 0 with 300 relays",
				n, overloads, overloadsWithout)
		}
	}
}

// burstAfterIdleOutage counts the overloads by a burst of messages that comes while the destination recovers.
func burstAfterIdleOutage(t *testing.T, n int, seed uint64, passivate bool) int {
	t.Helper()
	const rate, begin = 90.0, 1000 * second
	fleet := newFleet(t, n, rate, seed)
	fleet.run(begin, 20*second, 0.5*rate)
	fleet.run(begin+20*second, 26*second, 0.001) // almost no traffic: pending messages end
	fleet.downAt, fleet.upAt = begin+100*second, begin+300*second
	if passivate {
		fleet.passivate(t, begin+60*second)
	}
	for at := begin + 300*second; at < begin+302*second; at += second / 10 { // all relays at once
		fleet.activateOthers(at)
		fleet.run(at, second/10, 3*rate)
	}
	fleet.run(begin+302*second, 18*second, 0.5*rate)
	submitted, accepted := 0, 0
	for i := range fleet.engines {
		submitted += fleet.submitted[i]
		accepted += fleet.accepted[i]
	}
	if share := float64(accepted) / float64(submitted); passivate && share < 0.5 {
		t.Errorf("%d relays, seed %d: %.2f of the messages were accepted, want at least 0.50", n, seed, share)
	}
	return fleet.overloads()
}

// TestOutageOutlastsPassivation checks that an endpoint that is ejected when its destination is passivated is still
// ejected when it is activated: it gets trial calls only, and recovers over its ramp.
func TestOutageOutlastsPassivation(t *testing.T) {
	const rate, begin = 90.0, 1000 * second
	for _, n := range []int{3, 40} {
		overloads := 0
		for seed := range uint64(6) {
			fleet := newFleet(t, n, rate, seed)
			fleet.downAt, fleet.upAt = begin+6*second, begin+44*second
			fleet.run(begin, 9*second, 0.8*rate)
			fleet.run(begin+9*second, 26*second, 0.001) // almost no traffic: pending messages end
			aware := 0
			for i, engine := range fleet.engines {
				if engine.endpoints[1].unhealthy {
					aware++
				}
				if !engine.CanPassivate(begin+35*second, 0) { // its trial calls are still in the history
					fleet.step(begin+36*second, i, Event{Kind: EvTimer})
				}
			}
			if aware < n/2 {
				t.Fatalf("%d of %d relays noticed the outage, want at least %d", aware, n, n/2)
			}
			fleet.passivate(t, begin+44*second)
			fleet.run(begin+44*second, 25*second, 0.8*rate)
			overloads += fleet.overloads()
		}
		if overloads > 0 {
			t.Errorf("%d relays: %d overloads, want none", n, overloads)
		}
	}
}

// TestCanPassivate checks the conditions that keep a destination active, one at a time.
func TestCanPassivate(t *testing.T) {
	tests := map[string]struct {
		change func(engine *Engine, now Time)
		want   bool
	}{
		"idle destination":    {func(*Engine, Time) {}, true},
		"unknown destination": {func(engine *Engine, now Time) { engine.Passivate(now, 0) }, true},
		"message pending": {func(engine *Engine, now Time) {
			engine.Step(now, []Event{{Kind: EvMessageSubmitted, Message: 1, TimeLeft: 20 * second}}, nil)
		}, false},
		"Retry-After in force": {func(engine *Engine, now Time) {
			engine.endpoints[1].limiter.retryAfterUntil = now + 1
		}, false},
		"Retry-After over": {func(engine *Engine, now Time) {
			engine.endpoints[1].limiter.retryAfterUntil = now
		}, true},
		"request in the history": {func(engine *Engine, now Time) {
			engine.endpoints[1].limiter.history.request(now - historyWindow + 2*second)
		}, false},
		"request older than the history": {func(engine *Engine, now Time) {
			engine.endpoints[1].limiter.history.request(now - historyWindow - second)
		}, true},
		"identity rejected": {func(engine *Engine, now Time) {
			engine.Step(now, []Event{{Kind: EvIdentityRejected, Endpoint: 1, RetryAfter: second}}, nil)
		}, false},
		"outage": {func(engine *Engine, now Time) { engine.endpoints[1].unhealthy = true }, true},
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
			t.Errorf("%s: CanPassivate(0) = %v, want %v", name, got, tt.want)
		}
	}
}

// TestActivate checks the state of an activated destination: as before the passivation if it has answered recently,
// otherwise on a ramp that starts now; with at most one token in both cases.
func TestActivate(t *testing.T) {
	settings := singleClassSettings()
	long := staleSuccessRamps*settings.RampDuration + second
	for name, c := range map[string]struct {
		answered   Time // time from the last answer to the passivation; 0 for no answer
		passivated Time // how long it is passivated
		recovering bool
	}{
		"answered recently": {20 * second, 5 * second, false},
		"answered long ago": {20 * second, long, true},
		"never answered":    {0, second, true},
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
			t.Errorf("%s: Passivate returned %d limiters, want some only if there was an answer", name,
				len(snapshot.Limiters))
		}
		now += c.passivated
		update := listUpdate(ListDelta, entries...)
		update.Snapshot = snapshot
		engine.Step(now, []Event{update}, nil)
		for _, id := range []EndpointID{1, 2} {
			endpoint := engine.endpoints[id]
			if endpoint.unhealthy != c.recovering ||
				c.recovering && (endpoint.recoveredAt != now || endpoint.firstFailureAt != now) {
				t.Errorf("%s: endpoint %d: unhealthy = %v, ramp started %d µs ago, want %v, and 0 µs if so", name, id,
					endpoint.unhealthy, now-endpoint.recoveredAt, c.recovering)
			}
			if c.answered > 0 && (endpoint.latency.mean != 30e3 || endpoint.limiter.latency.count != 1) {
				t.Errorf("%s: endpoint %d: latency mean = %v, limiter's count = %d, want 30000, 1", name, id,
					endpoint.latency.mean, endpoint.limiter.latency.count)
			}
		}
		if got := engine.endpoints[1].limiter.tokens.level(now, 50, 100); got != 1 {
			t.Errorf("%s: tokens = %v, want 1", name, got)
		}
	}
}

// TestPassivateOneOfTwo checks that Passivate leaves other destinations as they are.
func TestPassivateOneOfTwo(t *testing.T) {
	engine, err := New(singleClassSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	other := EndpointUpdate{Endpoint: 7, Destination: 7, State: Ready, Rate: 50}
	engine.Step(1000*second, []Event{listUpdate(ListFull, readyEndpoint(1, 50), other)}, nil)
	engine.Passivate(1030*second, 0)
	if engine.findDestination(7) == nil || engine.findDestination(0) != nil || len(engine.endpoints) != 1 {
		t.Errorf("after Passivate(0): destinations %d, endpoints %d, want only destination 7 and its endpoint",
			len(engine.destinations), len(engine.endpoints))
	}
}

// TestRecoveryBudgetPerOverloadDuration checks the largest number of calls that a recovering endpoint may get in an
// overload duration on its ramp: a full burst and the refill. It must match the average capacity over that time, which
// is less than the capacity at its end.
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
			bearable := settings.OverloadFactor * mean * 50 * span
			if sum := depth + rate*span; fractional || sum > max(1.001*bearable, rate*span+1) || sum < 0.99*bearable {
				t.Fatalf("ramp of %d s, after %.1f s: %.1f calls in an overload duration, fractional = %v, want %.1f, "+
					"false", ramp/second, float64(at-endpoint.recoveredAt)/1e6, sum, fractional, bearable)
			}
		}
	}
}
