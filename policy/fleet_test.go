package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// fleet is many policies that share nothing, before one destination whose limit
// refused calls use up as well: a bucket that may fall into debt.
type fleet struct {
	engines     []*Engine
	rate        float64
	tokens      float64
	at          Time
	sent        []int // by relay
	accepted    []int
	rejected    int
	rng         *rand.Rand
	timers      schedule[int]
	answers     schedule[func()]
	next        uint32
	attempts    map[uint32]int
	submitted   []int
	incarnation []int       // of relays that were started again: answers to the one before are lost; may be nil
	passivated  []*Snapshot // of the destination, at relays that have put it away; may be nil

	downAt, upAt Time   // in between it takes no connection, and then it returns cold; 0 for never
	received     []Time // what was sent to it since then
}

// capacityAt is the calls a second that it can do.
func (c *fleet) capacityAt(now Time) float64 {
	if c.upAt == 0 || now < c.upAt {
		return c.rate
	}
	s := &c.engines[0].settings
	return c.rate * min(1, s.InitialCapacity+(1-s.InitialCapacity)*float64(now-c.upAt)/float64(s.RampDuration))
}

func newFleet(t *testing.T, n int, rate float64, seed uint64) *fleet {
	c := &fleet{rate: rate, rng: rand.New(rand.NewPCG(seed, 5)), sent: make([]int, n), accepted: make([]int, n), submitted: make([]int, n), attempts: map[uint32]int{}}
	for i := range n {
		s := singleClassSettings()
		s.Relays, s.MaxConcurrentCalls = n, 24
		p, err := New(s, seed*1000+uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		c.engines = append(c.engines, p)
		c.step(1000*second, i, Event{Kind: EvListUpdated, ListUpdate: ListFull, Updates: []EndpointUpdate{readyEndpoint(1, rate), readyEndpoint(2, rate)}})
	}
	c.at = 1000 * second
	return c
}

func (c *fleet) accept(now Time) bool {
	c.tokens = min(c.tokens+c.capacityAt(now)*float64(now-c.at)/1e6, c.capacityAt(now)/3)
	c.at = now
	c.tokens--
	if c.tokens >= 0 {
		return true
	}
	c.tokens = max(c.tokens, -c.rate)
	return false
}

func (c *fleet) step(now Time, i int, e ...Event) {
	if c.passivated != nil && c.passivated[i] != nil && len(e) > 0 && e[0].Kind == EvMessageSubmitted {
		e = append([]Event{{Kind: EvListUpdated, ListUpdate: ListDelta, Updates: []EndpointUpdate{readyEndpoint(1, c.rate), readyEndpoint(2, c.rate)}, Snapshot: c.passivated[i]}}, e...)
		c.passivated[i] = nil
	}
	for _, a := range c.engines[i].Step(now, e, nil) {
		switch a.Kind {
		case ActTimer:
			c.timers.add(now+a.After, i)
		case ActSend:
			c.sent[i]++
			a.Attempt = c.attempts[a.Message]
			c.attempts[a.Message]++
			gen := 0
			if c.incarnation != nil {
				gen = c.incarnation[i]
			}
			c.answers.add(now+40e3, func() {
				o := Rejected
				if c.downAt > 0 && now+40e3 >= c.upAt {
					c.received = append(c.received, now+40e3)
				}
				if c.downAt > 0 && now+40e3 >= c.downAt && now+40e3 < c.upAt {
					o = ConnectFailed
				} else if c.accept(now + 40e3) {
					o = Delivered
					c.accepted[i]++
				} else {
					c.rejected++
				}
				if c.incarnation == nil || c.incarnation[i] == gen {
					c.step(now+80e3, i, endOf(a, o))
				}
			})
		}
	}
}

// play has messages come at so many a second to relays of unlike traffic.
func (c *fleet) play(from, length Time, load float64) {
	var at []Time
	for t := from; t < from+length; t += Time(c.rng.ExpFloat64() / load * 1e6) {
		at = append(at, t)
	}
	for now := from; now < from+length; now += 5000 {
		for len(at) > 0 && at[0] <= now {
			at = at[1:]
			i := min(c.rng.IntN(len(c.engines)), c.rng.IntN(len(c.engines)))
			c.next++
			c.submitted[i]++
			c.step(now, i, Event{Kind: EvMessageSubmitted, Message: c.next, TimeLeft: 20 * second})
		}
		for f, ok := c.answers.popDue(now); ok; f, ok = c.answers.popDue(now) {
			f()
		}
		for i, ok := c.timers.popDue(now); ok; i, ok = c.timers.popDue(now) {
			c.step(now, i, Event{Kind: EvTimer})
		}
	}
}

// TestFleetStaysNearLimit: relays that share nothing, each of which sees little, together keep near a limit
// that refusals use up, whatever their number; and nobody is shut out.
func TestFleetStaysNearLimit(t *testing.T) {
	for n, used := range map[int]float64{3: 0.7, 20: 0.8, 300: 0.65} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			const rate, length = 90.0, 30 * second
			c := newFleet(t, n, rate, 1)
			c.play(1000*second, length, 1.3*rate)
			sent, taken, none := 0, 0, 0
			for i := range c.engines {
				sent += c.sent[i]
				taken += c.accepted[i]
				if c.submitted[i] >= 5 && c.accepted[i] == 0 {
					none++
				}
			}
			room := rate * float64(length) / 1e6
			if over := float64(sent) / room; over > 1.05 {
				t.Errorf("sent %.2f times the limit, %d refused", over, c.rejected)
			}
			if part := float64(taken) / room; part < used {
				t.Errorf("only %.2f of the limit is used", part)
			}
			if none > n/25 {
				t.Errorf("%d of %d relays had something to send and nothing taken", none, n)
			}
			t.Logf("sent %.3f, taken %.3f of the limit; refused %d; %d relays with nothing", float64(sent)/room, float64(taken)/room, c.rejected, none)
		})
	}
}

// TestFleetRecoveryRamp: a destination that returns cold to a fleet with full queues is sent no more than it bears in
// any fall time, and gets a good part of it: relays that count the ramp from their own first success leave it
// idle.
func TestFleetRecoveryRamp(t *testing.T) {
	for n, least := range map[int]float64{80: 0.93, 300: 0.77} {
		mean := 0.0
		for seed := range uint64(3) {
			const rate, start = 90.0, 1000 * second
			c := newFleet(t, n, rate, seed)
			c.downAt, c.upAt = start+10*second, start+15*second
			c.play(start, 30*second, 0.85*rate)
			set := &c.engines[0].settings
			worst, used, able, first := 0.0, 0.0, 0.0, len(c.received)
			for i, at := range c.received {
				if at < c.upAt+set.RampDuration {
					used++
				}
				room := 0.0
				for t := at - set.OverloadDuration; t < at; t += second / 10 {
					room += set.OverloadFactor * c.capacityAt(max(t, c.upAt)) / 10
				}
				for first = min(first, i); c.received[first] < at-set.OverloadDuration; first++ {
				}
				worst = max(worst, float64(i-first+1)/room)
			}
			for at := c.upAt; at < c.upAt+set.RampDuration; at += second / 10 {
				able += c.capacityAt(at) / 10
			}
			mean += used / able / 3
			if worst > 1 {
				t.Errorf("%d relays, seed %d: %.2f times what it bears in a fall time", n, seed, worst)
			}
		}
		if mean < least {
			t.Errorf("%d relays: sent %.2f of what it can do", n, mean)
		}
	}
}

// TestRateReductionAfterRejection: a refusal holds a relay to less than it has sent itself, at least to half of an even
// share, with nothing saved up; and time gives it back.
func TestRateReductionAfterRejection(t *testing.T) {
	s := singleClassSettings()
	s.Relays = 100
	r := newHarness(t, s, readyEndpoint(1, 200)) // an even share is 2 a second
	l := r.engine.destinationFor(0).limiters[0]
	before := r.engine.rateLimit(l)
	for range 20 { // two a second
		r.step(r.message(0, 0))
		if len(r.sends) != 1 {
			t.Fatalf("%d sends", len(r.sends))
		}
		r.now += second / 2
		r.step(endOf(r.sends[0], Delivered))
	}
	r.step(r.message(0, 0))
	r.step(endOf(r.sends[0], Rejected))
	if l.reducedRate < 0.9 || l.reducedRate > 1.1 || before < 5 {
		t.Errorf("%.2f a second after a refusal at 2 a second, %.2f before", l.reducedRate, before)
	}
	r.now += 10 * second
	r.step(r.message(0, 0), r.message(0, 0), r.message(0, 0))
	if got, want := r.engine.rateLimit(l), l.reducedRate+10*reducedRateRecovery*2; got < want-0.01 || got > want+0.01 {
		t.Errorf("%.2f a second after 10 s, want %.2f", got, want)
	}
	if len(r.sends) != 1 {
		t.Fatalf("%d go at once after a refusal", len(r.sends))
	}
	again := r.sends[0]
	if again.Message == 21 { // what was refused goes first
		again.Attempt = 1
	}
	r.now += 11 * second
	r.step(endOf(again, Rejected)) // nothing sent of late: the share's part is left
	if least := minReducedShare * 2.0; l.reducedRate != least {
		t.Errorf("%.2f a second, want %.2f", l.reducedRate, least)
	}
}

// TestFleetStart: what comes to most relays of a large fleet as they start again must not go out in one
// burst, as a lane's savings allow to each of a few.
func TestFleetStart(t *testing.T) {
	for n, most := range map[int]int{2: 8, 80: 1, 300: 1} {
		s := singleClassSettings()
		s.Relays = n
		r := newHarness(t, s, readyEndpoint(1, 100))
		r.engine.destinationFor(0).limiters[0].window = 8
		var all []Event
		for range 8 {
			all = append(all, r.message(0, 0))
		}
		if r.step(all...); len(r.sends) > most || n == 2 && len(r.sends) < 5 {
			t.Errorf("%d relays: each sends %d at once, want %d at most", n, len(r.sends), most)
		}
	}
}

// TestLoweredLimit: a limit that falls to a fifth for 9 s, with the list still telling the old one, is found by
// relays that are refused once in seconds; what is over it falls, and the limit is used again soon after.
func TestLoweredLimit(t *testing.T) {
	for n, most := range map[int]float64{80: 2, 300: 3} {
		const rate, start = 90.0, 1000 * second
		c := newFleet(t, n, rate, 2)
		total := func() (sent, taken float64) {
			for i := range c.sent {
				sent, taken = sent+float64(c.sent[i]), taken+float64(c.accepted[i])
			}
			return sent, taken
		}
		c.play(start, 10*second, 0.8*rate)
		c.rate = rate / 5
		c.play(start+10*second, 5*second, 0.8*rate)
		before, _ := total()
		c.play(start+15*second, 4*second, 0.8*rate)
		after, _ := total()
		c.rate = rate
		c.play(start+19*second, 6*second, 0.8*rate)
		_, was := total()
		c.play(start+25*second, 5*second, 0.8*rate)
		_, taken := total()
		over, used := (after-before)/(4*rate/5), (taken-was)/(5*rate)
		t.Logf("%d relays: %.2f times the lowered limit after 5 s, %.2f of the restored one after 6 s", n, over, used)
		if over > most || used < 0.6 {
			t.Errorf("%d relays: %.2f times the lowered limit, %.2f of the restored one", n, over, used)
		}
	}
}
