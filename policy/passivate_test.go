package policy

import (
	"fmt"
	"testing"
)

// overloads counts the windows of a fall time in which more came than the destination bears, cold as it is.
func (f *fleet) overloads() (n int) {
	settings := &f.engines[0].settings
	for k, x := range f.received {
		in := 0
		for j := k; j >= 0 && f.received[j] > x-settings.OverloadDuration; j-- {
			in++
		}
		if float64(in) > settings.OverloadFactor*f.capacityAt(x)*float64(settings.OverloadDuration)/1e6+3 {
			n++
		}
	}
	return n
}

// passivate has all relays put the destination away.
func (f *fleet) passivate(t *testing.T, now Time) {
	t.Helper()
	f.passivated = make([]*Snapshot, len(f.engines))
	for i, engine := range f.engines {
		if !engine.CanPassivate(now, 0) {
			t.Fatalf("relay %d: not quiet at %d s", i, now/second)
		}
		f.passivated[i] = engine.Passivate(now, 0)
		if len(engine.destinations) > 0 || len(engine.endpoints) > 0 {
			t.Fatalf(
				"relay %d keeps %d destinations and %d endpoints",
				i,
				len(engine.destinations),
				len(engine.endpoints),
			)
		}
	}
}

// A destination that nobody sent to for minutes was out meanwhile, unseen, and is cold as the burst comes: relays
// that put it away do not push it over; relays that held it for as sound as it was do, so that this can fail. Nobody
// starves.
func TestActivatedMayBeRecovering(t *testing.T) {
	const rate, begin = 90.0, 1000 * second
	for _, n := range []int{3, 80, 300} {
		over, overAwake := 0, 0
		for seed := range uint64(4) {
			for _, rest := range []bool{true, false} {
				fleet := newFleet(t, n, rate, seed)
				fleet.play(begin, 20*second, 0.5*rate)
				fleet.play(begin+20*second, 26*second, 0.001) // what is held ends
				fleet.downAt, fleet.upAt = begin+100*second, begin+300*second
				if rest {
					fleet.passivate(t, begin+60*second)
				}
				for at := begin + 300*second; at < begin+302*second; at += second / 10 { // everybody at once
					for i := range fleet.engines {
						for k := range 4 { // and others return with it
							id := 100 + int(at/1000) + k
							fleet.step(at, i, Event{
								Kind:       EvListUpdated,
								ListUpdate: ListDelta,
								Snapshot:   &Snapshot{},
								Updates: []EndpointUpdate{
									{Endpoint: EndpointID(id), Destination: id, State: Ready, Rate: 10},
								},
							})
						}
					}
					fleet.play(at, second/10, 3*rate)
				}
				fleet.play(begin+302*second, 18*second, 0.5*rate)
				if rest {
					over += fleet.overloads()
				} else {
					overAwake += fleet.overloads()
				}
				asked, taken := 0, 0
				for i := range fleet.engines {
					asked += fleet.submitted[i]
					taken += fleet.accepted[i]
				}
				if part := float64(taken) / float64(asked); rest && part < 0.5 {
					t.Errorf("%d relays, seed %d: %.2f of the messages are taken", n, seed, part)
				}
			}
		}
		t.Logf("%d relays: %d windows over the budget after a rest, %d without one", n, over, overAwake)
		if over > 0 || overAwake == 0 && n == 300 {
			t.Errorf("%d relays: %d windows over the budget after a rest, %d without one", n, over, overAwake)
		}
	}
}

// What was out as it was put away is out as it wakes: it is tried, and comes back over its ramp.
func TestOutageOutlastsPassivation(t *testing.T) {
	const rate, begin = 90.0, 1000 * second
	for _, n := range []int{3, 40} {
		over := 0
		for seed := range uint64(6) {
			fleet := newFleet(t, n, rate, seed)
			fleet.downAt, fleet.upAt = begin+6*second, begin+44*second
			fleet.play(begin, 9*second, 0.8*rate)
			fleet.play(begin+9*second, 26*second, 0.001) // what is held ends
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
			over += fleet.overloads()
		}
		if over > 0 {
			t.Errorf("%d relays: %d windows over the budget", n, over)
		}
	}
}

// What keeps a destination awake, one thing at a time.
func TestCanPassivate(t *testing.T) {
	for name, c := range map[string]struct {
		do   func(engine *Engine, now Time)
		want bool
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
	} {
		engine, err := New(singleClassSettings(), 1)
		if err != nil {
			t.Fatal(err)
		}
		now := 1000 * second
		engine.Step(
			now-100*second,
			[]Event{
				{
					Kind:       EvListUpdated,
					ListUpdate: ListFull,
					Updates:    []EndpointUpdate{readyEndpoint(1, 50), readyEndpoint(2, 50)},
				},
			},
			nil,
		)
		c.do(engine, now)
		if got := engine.CanPassivate(now, 0); got != c.want {
			t.Errorf("%s: quiet %v", name, got)
		}
	}
}

// What a woken destination is: as it was, where somebody has heard of it of late; on a ramp from now, where nobody
// has; with nothing saved up in any case.
func TestActivate(t *testing.T) {
	settings := singleClassSettings()
	long := unheardRamps*settings.RampDuration + second
	for name, c := range map[string]struct {
		heard, rest Time // the last answer before it was passivated, and for how long it was
		cold        bool
	}{
		"heard of late": {20 * second, 5 * second, false},
		"long ago":      {20 * second, long, true},
		"never":         {0, second, true},
	} {
		engine, err := New(settings, 1)
		if err != nil {
			t.Fatal(err)
		}
		now := 1000 * second
		entries := []EndpointUpdate{readyEndpoint(1, 50), readyEndpoint(2, 50)}
		engine.Step(now, []Event{{Kind: EvListUpdated, ListUpdate: ListFull, Updates: entries}}, nil)
		if c.heard > 0 {
			for _, endpoint := range engine.endpoints {
				endpoint.lastSuccessAt = now
				endpoint.latency.add(30e3)
			}
			engine.endpoints[1].limiter.latency.add(30e3)
		}
		now += c.heard
		m := engine.Passivate(now, 0)
		if (len(m.Limiters) > 0) != (c.heard > 0) {
			t.Errorf("%s: %d lanes kept", name, len(m.Limiters))
		}
		now += c.rest
		engine.Step(now, []Event{{Kind: EvListUpdated, ListUpdate: ListDelta, Updates: entries, Snapshot: m}}, nil)
		for _, id := range []EndpointID{1, 2} {
			endpoint := engine.endpoints[id]
			if endpoint.unhealthy != c.cold ||
				c.cold && (endpoint.recoveredAt != now || endpoint.firstFailureAt != now) {
				t.Errorf("%s: %d is held cold: %v, since %d", name, id, endpoint.unhealthy, now-endpoint.recoveredAt)
			}
			if c.heard > 0 && (endpoint.latency.mean != 30e3 || endpoint.limiter.latency.count != 1) {
				t.Errorf("%s: %d: its latency is forgotten", name, id)
			}
		}
		if got := engine.endpoints[1].limiter.tokens.level(now, 50, 100); got != 1 {
			t.Errorf("%s: %v saved up", name, got)
		}
	}
	// Two that rest: one of them wakes, and the other stays.
	p, _ := New(settings, 1)
	two := []EndpointUpdate{readyEndpoint(1, 50), {Endpoint: 7, Destination: 7, State: Ready, Rate: 50}}
	p.Step(1000*second, []Event{{Kind: EvListUpdated, ListUpdate: ListFull, Updates: two}}, nil)
	p.Passivate(1030*second, 0)
	if p.findDestination(7) == nil || p.findDestination(0) != nil || fmt.Sprint(len(p.endpoints)) != "1" {
		t.Error("the wrong one is put away")
	}
}

// What a cold endpoint may be sent in any fall time on its ramp, a burst of all that is saved up and the refill
// behind it, is what it could do in that time on average, and not what it can do by its end.
func TestRecoveryBudgetPerOverloadDuration(t *testing.T) {
	for _, ramp := range []Time{4 * second, 10 * second, 13 * second} {
		settings := singleClassSettings()
		settings.Relays, settings.RampDuration, settings.OverloadDuration = 1, ramp, 2*second
		h := newHarness(t, settings, readyEndpoint(1, 100), readyEndpoint(2, 100))
		failAllEndpoints(h)
		endpoint := h.engine.endpoints[1]
		h.engine.recordSuccess(endpoint, h.now+second)
		fall := float64(settings.OverloadDuration) / 1e6
		for at := endpoint.recoveredAt + settings.OverloadDuration; at < endpoint.recoveredAt+ramp; at += second / 10 {
			h.engine.now = at
			rate, depth, rare := h.engine.recoveryBudgetRate(endpoint)
			mean := rampShare(&settings, at-settings.OverloadDuration/2-endpoint.recoveredAt)
			room := settings.OverloadFactor * mean * 50 * fall
			if sum := depth + rate*fall; rare || sum > max(1.001*room, rate*fall+1) || sum < 0.99*room {
				t.Fatalf(
					"ramp of %d s, %.1f s on: %.1f in a fall time, it bears %.1f",
					ramp/second,
					float64(at-endpoint.recoveredAt)/1e6,
					sum,
					room,
				)
			}
		}
	}
}
