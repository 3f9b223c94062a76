package policy

import (
	"fmt"
	"testing"
)

// overloads counts the windows of a fall time in which more came than the
// destination bears, cold as it is.
func (c *fleet) overloads() (n int) {
	s := &c.engines[0].settings
	for k, x := range c.received {
		in := 0
		for j := k; j >= 0 && c.received[j] > x-s.OverloadDuration; j-- {
			in++
		}
		if float64(in) > s.OverloadFactor*c.capacityAt(x)*float64(s.OverloadDuration)/1e6+3 {
			n++
		}
	}
	return n
}

// passivate has all relays put the destination away.
func (c *fleet) passivate(t *testing.T, now Time) {
	t.Helper()
	c.passivated = make([]*Snapshot, len(c.engines))
	for i, p := range c.engines {
		if !p.CanPassivate(now, 0) {
			t.Fatalf("relay %d: not quiet at %d s", i, now/second)
		}
		c.passivated[i] = p.Passivate(now, 0)
		if len(p.destinations) > 0 || len(p.endpoints) > 0 {
			t.Fatalf("relay %d keeps %d destinations and %d endpoints", i, len(p.destinations), len(p.endpoints))
		}
	}
}

// A destination that nobody sent to for minutes was out meanwhile, unseen, and is
// cold as the burst comes: relays that put it away do not push it over; relays
// that held it for as sound as it was do, so that this can fail. Nobody starves.
func TestActivatedMayBeRecovering(t *testing.T) {
	const rate, begin = 90.0, 1000 * second
	for _, n := range []int{3, 80, 300} {
		over, overAwake := 0, 0
		for seed := range uint64(4) {
			for _, rest := range []bool{true, false} {
				c := newFleet(t, n, rate, seed)
				c.play(begin, 20*second, 0.5*rate)
				c.play(begin+20*second, 26*second, 0.001) // what is held ends
				c.downAt, c.upAt = begin+100*second, begin+300*second
				if rest {
					c.passivate(t, begin+60*second)
				}
				for at := begin + 300*second; at < begin+302*second; at += second / 10 { // everybody at once
					for i := range c.engines {
						for k := range 4 { // and others return with it
							id := 100 + int(at/1000) + k
							c.step(at, i, Event{Kind: EvListUpdated, ListUpdate: ListDelta, Snapshot: &Snapshot{},
								Updates: []EndpointUpdate{{Endpoint: EndpointID(id), Destination: id, State: Ready, Rate: 10}}})
						}
					}
					c.play(at, second/10, 3*rate)
				}
				c.play(begin+302*second, 18*second, 0.5*rate)
				if rest {
					over += c.overloads()
				} else {
					overAwake += c.overloads()
				}
				asked, taken := 0, 0
				for i := range c.engines {
					asked += c.submitted[i]
					taken += c.accepted[i]
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

// What was out as it was put away is out as it wakes: it is tried, and comes back
// over its ramp.
func TestOutageOutlastsPassivation(t *testing.T) {
	const rate, begin = 90.0, 1000 * second
	for _, n := range []int{3, 40} {
		over := 0
		for seed := range uint64(6) {
			c := newFleet(t, n, rate, seed)
			c.downAt, c.upAt = begin+6*second, begin+44*second
			c.play(begin, 9*second, 0.8*rate)
			c.play(begin+9*second, 26*second, 0.001) // what is held ends
			known := 0
			for i, p := range c.engines {
				if p.endpoints[1].unhealthy {
					known++
				}
				if !p.CanPassivate(begin+35*second, 0) { // its trials count for as long as others
					c.step(begin+36*second, i, Event{Kind: EvTimer})
				}
			}
			if known < n/2 {
				t.Fatalf("only %d of %d relays know of the outage", known, n)
			}
			c.passivate(t, begin+44*second)
			c.play(begin+44*second, 25*second, 0.8*rate)
			over += c.overloads()
		}
		if over > 0 {
			t.Errorf("%d relays: %d windows over the budget", n, over)
		}
	}
}

// What keeps a destination awake, one thing at a time.
func TestCanPassivate(t *testing.T) {
	for name, c := range map[string]struct {
		do   func(p *Engine, now Time)
		want bool
	}{
		"nothing": {func(*Engine, Time) {}, true},
		"unknown": {func(p *Engine, now Time) { p.Passivate(now, 0) }, true},
		"a message": {func(p *Engine, now Time) {
			p.Step(now, []Event{{Kind: EvMessageSubmitted, Message: 1, TimeLeft: 20 * second}}, nil)
		}, false},
		"a wait":              {func(p *Engine, now Time) { p.endpoints[1].limiter.retryAfterUntil = now + 1 }, false},
		"a wait that is over": {func(p *Engine, now Time) { p.endpoints[1].limiter.retryAfterUntil = now }, true},
		"a count":             {func(p *Engine, now Time) { p.endpoints[1].limiter.history.request(now - historyWindow + 2*second) }, false},
		"an old count":        {func(p *Engine, now Time) { p.endpoints[1].limiter.history.request(now - historyWindow - second) }, true},
		"no proof": {func(p *Engine, now Time) {
			p.Step(now, []Event{{Kind: EvIdentityRejected, Endpoint: 1, RetryAfter: second}}, nil)
		}, false},
		"an outage": {func(p *Engine, now Time) { p.endpoints[1].unhealthy = true }, true},
	} {
		p, err := New(singleClassSettings(), 1)
		if err != nil {
			t.Fatal(err)
		}
		now := 1000 * second
		p.Step(now-100*second, []Event{{Kind: EvListUpdated, ListUpdate: ListFull, Updates: []EndpointUpdate{readyEndpoint(1, 50), readyEndpoint(2, 50)}}}, nil)
		c.do(p, now)
		if got := p.CanPassivate(now, 0); got != c.want {
			t.Errorf("%s: quiet %v", name, got)
		}
	}
}

// What a woken destination is: as it was, where somebody has heard of it of late;
// on a ramp from now, where nobody has; with nothing saved up in any case.
func TestActivate(t *testing.T) {
	set := singleClassSettings()
	long := unheardRamps*set.RampDuration + second
	for name, c := range map[string]struct {
		heard, rest Time // the last answer before it was put away, and for how long it was
		cold        bool
	}{"heard of late": {20 * second, 5 * second, false}, "long ago": {20 * second, long, true}, "never": {0, second, true}} {
		p, err := New(set, 1)
		if err != nil {
			t.Fatal(err)
		}
		now := 1000 * second
		entries := []EndpointUpdate{readyEndpoint(1, 50), readyEndpoint(2, 50)}
		p.Step(now, []Event{{Kind: EvListUpdated, ListUpdate: ListFull, Updates: entries}}, nil)
		if c.heard > 0 {
			for _, ep := range p.endpoints {
				ep.lastSuccessAt = now
				ep.latency.add(30e3)
			}
			p.endpoints[1].limiter.latency.add(30e3)
		}
		now += c.heard
		m := p.Passivate(now, 0)
		if (len(m.Limiters) > 0) != (c.heard > 0) {
			t.Errorf("%s: %d lanes kept", name, len(m.Limiters))
		}
		now += c.rest
		p.Step(now, []Event{{Kind: EvListUpdated, ListUpdate: ListDelta, Updates: entries, Snapshot: m}}, nil)
		for _, id := range []EndpointID{1, 2} {
			ep := p.endpoints[id]
			if ep.unhealthy != c.cold || c.cold && (ep.recoveredAt != now || ep.firstFailureAt != now) {
				t.Errorf("%s: %d is held cold: %v, since %d", name, id, ep.unhealthy, now-ep.recoveredAt)
			}
			if c.heard > 0 && (ep.latency.mean != 30e3 || ep.limiter.latency.count != 1) {
				t.Errorf("%s: %d: its latency is forgotten", name, id)
			}
		}
		if got := p.endpoints[1].limiter.tokens.level(now, 50, 100); got != 1 {
			t.Errorf("%s: %v saved up", name, got)
		}
	}
	// Two that rest: one of them wakes, and the other stays.
	p, _ := New(set, 1)
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
		s := singleClassSettings()
		s.Relays, s.RampDuration, s.OverloadDuration = 1, ramp, 2*second
		r := newHarness(t, s, readyEndpoint(1, 100), readyEndpoint(2, 100))
		failAllEndpoints(r)
		ep := r.engine.endpoints[1]
		r.engine.recordSuccess(ep, r.now+second)
		fall := float64(s.OverloadDuration) / 1e6
		for at := ep.recoveredAt + s.OverloadDuration; at < ep.recoveredAt+ramp; at += second / 10 {
			r.engine.now = at
			rate, depth, rare := r.engine.recoveryBudgetRate(ep)
			mean := s.InitialCapacity + (1-s.InitialCapacity)*float64(at-s.OverloadDuration/2-ep.recoveredAt)/float64(ramp)
			room := s.OverloadFactor * mean * 50 * fall
			if sum := depth + rate*fall; rare || sum > max(1.001*room, rate*fall+1) || sum < 0.99*room {
				t.Fatalf("ramp of %d s, %.1f s on: %.1f in a fall time, it bears %.1f", ramp/second, float64(at-ep.recoveredAt)/1e6, sum, room)
			}
		}
	}
}
