package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// fleet is many policies that share nothing, before one destination whose limit rejected calls use up as well: a
// bucket that may fall into debt.
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

	downAt, upAt Time   // in between it takes no connection, and then it returns, recovering; 0 for never
	received     []Time // what was sent to it since then
}

// capacityAt is the calls a second that it can do.
func (f *fleet) capacityAt(now Time) float64 {
	if f.upAt == 0 || now < f.upAt {
		return f.rate
	}
	settings := &f.engines[0].settings
	return f.rate * min(1, rampShare(settings, now-f.upAt))
}

func newFleet(t *testing.T, n int, rate float64, seed uint64) *fleet {
	fleet := &fleet{
		rate:      rate,
		rng:       rand.New(rand.NewPCG(seed, 5)),
		sent:      make([]int, n),
		accepted:  make([]int, n),
		submitted: make([]int, n),
		attempts:  map[uint32]int{},
	}
	for i := range n {
		settings := singleClassSettings()
		settings.Relays, settings.MaxConcurrentCalls = n, 24
		engine, err := New(settings, seed*1000+uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		fleet.engines = append(fleet.engines, engine)
		fleet.step(1000*second, i, listUpdate(ListFull, fleet.endpoints()...))
	}
	fleet.at = 1000 * second
	return fleet
}

func (f *fleet) accept(now Time) bool {
	f.tokens = min(f.tokens+f.capacityAt(now)*float64(now-f.at)/1e6, f.capacityAt(now)/3)
	f.at = now
	f.tokens--
	if f.tokens >= 0 {
		return true
	}
	f.tokens = max(f.tokens, -f.rate)
	return false
}

// endpoints are the two endpoints of the destination, as the list has them.
func (f *fleet) endpoints() []EndpointUpdate {
	return []EndpointUpdate{readyEndpoint(1, f.rate), readyEndpoint(2, f.rate)}
}

// step gives events to a relay; a message activates the destination that the relay has passivated.
func (f *fleet) step(now Time, relay int, events ...Event) {
	submitted := len(events) > 0 && events[0].Kind == EvMessageSubmitted
	if submitted && f.passivated != nil && f.passivated[relay] != nil {
		events = append([]Event{{
			Kind: EvListUpdated, ListUpdate: ListDelta, Updates: f.endpoints(), Snapshot: f.passivated[relay],
		}}, events...)
		f.passivated[relay] = nil
	}
	for _, action := range f.engines[relay].Step(now, events, nil) {
		switch action.Kind {
		case ActTimer:
			f.timers.add(now+action.After, relay)
		case ActSend:
			f.send(now, relay, action)
		}
	}
}

// send has a call reach the destination after 40 ms, and its answer come back after as long.
func (f *fleet) send(now Time, relay int, action Action) {
	const oneWay = Time(40e3)
	f.sent[relay]++
	action.Attempt = f.attempts[action.Message]
	f.attempts[action.Message]++
	sentBy := f.incarnationOf(relay)
	f.answers.add(now+oneWay, func() {
		outcome := f.receive(now+oneWay, relay)
		if f.incarnationOf(relay) == sentBy {
			f.step(now+2*oneWay, relay, endOf(action, outcome))
		}
	})
}

func (f *fleet) incarnationOf(relay int) int {
	if f.incarnation == nil {
		return 0
	}
	return f.incarnation[relay]
}

// receive is what becomes of a call as it reaches the destination.
func (f *fleet) receive(now Time, relay int) Outcome {
	if f.downAt > 0 && now >= f.upAt {
		f.received = append(f.received, now)
	}
	switch {
	case f.downAt > 0 && now >= f.downAt && now < f.upAt:
		return ConnectFailed
	case f.accept(now):
		f.accepted[relay]++
		return Delivered
	default:
		f.rejected++
		return Rejected
	}
}

// overloads counts the windows of an overload duration in which more came than the destination bears.
func (f *fleet) overloads() (count int) {
	settings := &f.engines[0].settings
	span := float64(settings.OverloadDuration) / 1e6
	for last, at := range f.received {
		received := 0
		for i := last; i >= 0 && f.received[i] > at-settings.OverloadDuration; i-- {
			received++
		}
		if float64(received) > settings.OverloadFactor*f.capacityAt(at)*span+3 {
			count++
		}
	}
	return count
}

// play has messages come at so many a second to relays of unlike traffic.
func (f *fleet) play(from, length Time, load float64) {
	var at []Time
	for t := from; t < from+length; t += Time(f.rng.ExpFloat64() / load * 1e6) {
		at = append(at, t)
	}
	for now := from; now < from+length; now += 5000 {
		for len(at) > 0 && at[0] <= now {
			at = at[1:]
			relay := min(f.rng.IntN(len(f.engines)), f.rng.IntN(len(f.engines)))
			f.next++
			f.submitted[relay]++
			f.step(now, relay, Event{Kind: EvMessageSubmitted, Message: f.next, TimeLeft: 20 * second})
		}
		runDue(&f.answers, now)
		for relay, ok := f.timers.popDue(now); ok; relay, ok = f.timers.popDue(now) {
			f.step(now, relay, Event{Kind: EvTimer})
		}
	}
}

// TestFleetStaysNearLimit: relays that share nothing, each of which sees little, together keep near a limit that
// rejections use up, whatever their number; and nobody is shut out.
func TestFleetStaysNearLimit(t *testing.T) {
	for n, used := range map[int]float64{3: 0.7, 20: 0.8, 300: 0.65} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			const rate, length = 90.0, 30 * second
			fleet := newFleet(t, n, rate, 1)
			fleet.play(1000*second, length, 1.3*rate)
			sent, taken, none := 0, 0, 0
			for i := range fleet.engines {
				sent += fleet.sent[i]
				taken += fleet.accepted[i]
				if fleet.submitted[i] >= 5 && fleet.accepted[i] == 0 {
					none++
				}
			}
			room := rate * float64(length) / 1e6
			if over := float64(sent) / room; over > 1.05 {
				t.Errorf("sent %.2f times the limit, %d rejected", over, fleet.rejected)
			}
			if part := float64(taken) / room; part < used {
				t.Errorf("only %.2f of the limit is used", part)
			}
			if none > n/25 {
				t.Errorf("%d of %d relays had something to send and nothing taken", none, n)
			}
			t.Logf(
				"sent %.3f, taken %.3f of the limit; rejected %d; %d relays with nothing",
				float64(sent)/room,
				float64(taken)/room,
				fleet.rejected,
				none,
			)
		})
	}
}

// TestFleetRecoveryRamp: a destination that returns to a fleet with full queues is sent no more than it bears in any
// overload duration, and gets a good part of it: relays that count the ramp from their own first success leave it
// idle.
func TestFleetRecoveryRamp(t *testing.T) {
	for n, least := range map[int]float64{80: 0.93, 300: 0.77} {
		mean := 0.0
		for seed := range uint64(3) {
			const rate, start = 90.0, 1000 * second
			fleet := newFleet(t, n, rate, seed)
			fleet.downAt, fleet.upAt = start+10*second, start+15*second
			fleet.play(start, 30*second, 0.85*rate)
			set := &fleet.engines[0].settings
			worst, used, able, first := 0.0, 0.0, 0.0, len(fleet.received)
			for i, at := range fleet.received {
				if at < fleet.upAt+set.RampDuration {
					used++
				}
				room := 0.0
				for t := at - set.OverloadDuration; t < at; t += second / 10 {
					room += set.OverloadFactor * fleet.capacityAt(max(t, fleet.upAt)) / 10
				}
				first = min(first, i)
				for fleet.received[first] < at-set.OverloadDuration {
					first++
				}
				worst = max(worst, float64(i-first+1)/room)
			}
			for at := fleet.upAt; at < fleet.upAt+set.RampDuration; at += second / 10 {
				able += fleet.capacityAt(at) / 10
			}
			mean += used / able / 3
			if worst > 1 {
				t.Errorf("%d relays, seed %d: %.2f times what it bears in an overload duration", n, seed, worst)
			}
		}
		if mean < least {
			t.Errorf("%d relays: sent %.2f of what it can do", n, mean)
		}
	}
}

// TestRateReductionAfterRejection: a rejection holds a relay to less than it has sent itself, at least to half of an
// even share, with nothing saved up; and time gives it back.
func TestRateReductionAfterRejection(t *testing.T) {
	settings := singleClassSettings()
	settings.Relays = 100
	h := newHarness(t, settings, readyEndpoint(1, 200)) // an even share is 2 a second
	limiter := h.engine.destinationFor(0).limiters[0]
	before := h.engine.rateLimit(limiter)
	for range 20 { // two a second
		h.step(h.message(0, 0))
		if len(h.sends) != 1 {
			t.Fatalf("%d sends", len(h.sends))
		}
		h.now += second / 2
		h.step(endOf(h.sends[0], Delivered))
	}
	h.step(h.message(0, 0))
	h.step(endOf(h.sends[0], Rejected))
	if limiter.reducedRate < 0.9 || limiter.reducedRate > 1.1 || before < 5 {
		t.Errorf("%.2f a second after a rejection at 2 a second, %.2f before", limiter.reducedRate, before)
	}
	h.now += 10 * second
	h.step(h.message(0, 0), h.message(0, 0), h.message(0, 0))
	got, want := h.engine.rateLimit(limiter), limiter.reducedRate+10*reducedRateRecovery*2
	if got < want-0.01 || got > want+0.01 {
		t.Errorf("%.2f a second after 10 s, want %.2f", got, want)
	}
	if len(h.sends) != 1 {
		t.Fatalf("%d go at once after a rejection", len(h.sends))
	}
	again := h.sends[0]
	if again.Message == 21 { // what was rejected goes first
		again.Attempt = 1
	}
	h.now += 11 * second
	h.step(endOf(again, Rejected)) // nothing sent of late: the share's part is left
	if least := minReducedShare * 2.0; limiter.reducedRate != least {
		t.Errorf("%.2f a second, want %.2f", limiter.reducedRate, least)
	}
}

// TestFleetStart: what comes to most relays of a large fleet as they start again must not go out in one burst, as a
// limiter's bucket allows to each of a few.
func TestFleetStart(t *testing.T) {
	for n, most := range map[int]int{2: 8, 80: 1, 300: 1} {
		settings := singleClassSettings()
		settings.Relays = n
		h := newHarness(t, settings, readyEndpoint(1, 100))
		h.engine.destinationFor(0).limiters[0].window = 8
		var all []Event
		for range 8 {
			all = append(all, h.message(0, 0))
		}
		if h.step(all...); len(h.sends) > most || n == 2 && len(h.sends) < 5 {
			t.Errorf("%d relays: each sends %d at once, want %d at most", n, len(h.sends), most)
		}
	}
}

// TestLoweredLimit: a limit that falls to a fifth for 9 s, with the list still telling the old one, is found by
// relays that are rejected once in seconds; what is over it falls, and the limit is used again soon after.
func TestLoweredLimit(t *testing.T) {
	for n, most := range map[int]float64{80: 2, 300: 3} {
		const rate, start = 90.0, 1000 * second
		fleet := newFleet(t, n, rate, 2)
		total := func() (sent, taken float64) {
			for i := range fleet.sent {
				sent, taken = sent+float64(fleet.sent[i]), taken+float64(fleet.accepted[i])
			}
			return sent, taken
		}
		fleet.play(start, 10*second, 0.8*rate)
		fleet.rate = rate / 5
		fleet.play(start+10*second, 5*second, 0.8*rate)
		before, _ := total()
		fleet.play(start+15*second, 4*second, 0.8*rate)
		after, _ := total()
		fleet.rate = rate
		fleet.play(start+19*second, 6*second, 0.8*rate)
		_, was := total()
		fleet.play(start+25*second, 5*second, 0.8*rate)
		_, taken := total()
		over, used := (after-before)/(4*rate/5), (taken-was)/(5*rate)
		t.Logf("%d relays: %.2f times the lowered limit after 5 s, %.2f of the restored one after 6 s", n, over, used)
		if over > most || used < 0.6 {
			t.Errorf("%d relays: %.2f times the lowered limit, %.2f of the restored one", n, over, used)
		}
	}
}
