package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// fleet simulates many relays that share no state, and one destination. Rejected calls use up the destination's limit
// too: its token bucket may fall below 0.
type fleet struct {
	engines     []*Engine
	rate        float64 // calls per second that the healthy destination accepts
	tokens      float64
	tokensAt    Time
	sent        []int // by relay
	accepted    []int // by relay
	rejected    int
	rng         *rand.Rand
	timers      schedule[int]
	answers     schedule[func()]
	nextMessage uint32
	attempts    map[uint32]int
	submitted   []int       // by relay
	incarnation []int       // restarts by relay: a restarted relay gets no answers to earlier calls; may be nil
	passivated  []*Snapshot // by relay, of relays that have passivated the destination; may be nil

	listed       []EndpointID        // of the destination's endpoints, those in the list
	removed      map[EndpointID]bool // machines that were replaced: calls to them fail after the outage too; may be nil
	downAt, upAt Time                // the destination refuses connections between the two; 0 for no outage
	received     []Time              // when calls reached the destination after the outage
}

// capacityAt returns the calls per second that the destination can process.
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
		listed:    []EndpointID{1, 2},
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
	fleet.tokensAt = 1000 * second
	return fleet
}

func (f *fleet) accept(now Time) bool {
	f.tokens = min(f.tokens+f.capacityAt(now)*float64(now-f.tokensAt)/1e6, f.capacityAt(now)/3)
	f.tokensAt = now
	f.tokens--
	if f.tokens >= 0 {
		return true
	}
	f.tokens = max(f.tokens, -f.rate)
	return false
}

// endpoints returns the list entries of the destination's endpoints, two unless a test changes them.
func (f *fleet) endpoints() (entries []EndpointUpdate) {
	for _, id := range f.listed {
		entries = append(entries, readyEndpoint(id, f.rate))
	}
	return entries
}

// changeList passes a list in which the destination has other endpoints to all relays: a whole one, or the changes, in
// which the endpoints that leave come before those that are added.
func (f *fleet) changeList(now Time, kind ListUpdateKind, ids ...EndpointID) {
	var changes []EndpointUpdate
	for _, id := range f.listed {
		if !slices.Contains(ids, id) {
			changes = append(changes, EndpointUpdate{Endpoint: id, State: Gone})
		}
	}
	f.listed = ids
	if kind == ListFull {
		changes = nil
	}
	changes = append(changes, f.endpoints()...)
	for i := range f.engines {
		f.step(now, i, listUpdate(kind, changes...))
	}
}

// step passes events to a relay. If the first is a message for the passivated destination, it activates that first.
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

// send makes a call reach the destination after 40 ms, and its answer reach the relay after another 40 ms.
func (f *fleet) send(now Time, relay int, action Action) {
	const oneWay = Time(40e3)
	f.sent[relay]++
	action.Attempt = f.attempts[action.Message]
	f.attempts[action.Message]++
	sentBy := f.incarnationOf(relay)
	f.answers.add(now+oneWay, func() {
		outcome := f.receive(now+oneWay, relay, action.Endpoint)
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

// receive returns the outcome of a call that reaches the destination now.
func (f *fleet) receive(now Time, relay int, endpoint EndpointID) Outcome {
	if f.removed[endpoint] && now >= f.downAt {
		return ConnectFailed
	}
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

// overloads counts the calls at which the destination had got more in the last overload duration than it bears.
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

// run submits messages at random times, load per second on average. Relays get different shares of the traffic.
func (f *fleet) run(from, length Time, load float64) {
	var arrivals []Time
	for t := from; t < from+length; t += Time(f.rng.ExpFloat64() / load * 1e6) {
		arrivals = append(arrivals, t)
	}
	for now := from; now < from+length; now += 5000 {
		for len(arrivals) > 0 && arrivals[0] <= now {
			arrivals = arrivals[1:]
			relay := min(f.rng.IntN(len(f.engines)), f.rng.IntN(len(f.engines)))
			f.nextMessage++
			f.submitted[relay]++
			f.step(now, relay, Event{Kind: EvMessageSubmitted, Message: f.nextMessage, TimeLeft: 20 * second})
		}
		runDue(&f.answers, now)
		for relay, ok := f.timers.popDue(now); ok; relay, ok = f.timers.popDue(now) {
			f.step(now, relay, Event{Kind: EvTimer})
		}
	}
}

// runDue calls the functions that are due, including those that they add.
func runDue(s *schedule[func()], now Time) {
	for call, ok := s.popDue(now); ok; call, ok = s.popDue(now) {
		call()
	}
}

// TestFleetStaysNearLimit checks that relays without shared state, each of which sees little of the traffic, together
// send about as many calls as the limit allows, although rejected calls use up the limit too. This must hold for few
// and for many relays, and hardly any relay may starve.
func TestFleetStaysNearLimit(t *testing.T) {
	for n, minUsed := range map[int]float64{3: 0.7, 20: 0.8, 300: 0.65} {
		t.Run(fmt.Sprint(n, " relays"), func(t *testing.T) {
			const rate, length = 90.0, 30 * second
			fleet := newFleet(t, n, rate, 1)
			fleet.run(1000*second, length, 1.3*rate)
			sent, accepted, starved := 0, 0, 0
			for i := range fleet.engines {
				sent += fleet.sent[i]
				accepted += fleet.accepted[i]
				if fleet.submitted[i] >= 5 && fleet.accepted[i] == 0 {
					starved++
				}
			}
			limit := rate * float64(length) / 1e6
			if ratio := float64(sent) / limit; ratio > 1.05 {
				t.Errorf("sent = %.2f times the limit, want at most 1.05; %d calls rejected", ratio, fleet.rejected)
			}
			if used := float64(accepted) / limit; used < minUsed {
				t.Errorf("accepted = %.2f of the limit, want at least %.2f", used, minUsed)
			}
			if starved > n/25 {
				t.Errorf("%d of %d relays had messages and none accepted, want at most %d", starved, n, n/25)
			}
			t.Logf(
				"sent %.3f, accepted %.3f of the limit; %d rejected; %d relays starved",
				float64(sent)/limit,
				float64(accepted)/limit,
				fleet.rejected,
				starved,
			)
		})
	}
}

// TestFleetRecoveryRamp checks that a destination that recovers while all relays have full queues gets no more than it
// bears in any overload duration, and still a large part of that. Relays that start the ramp at their own first
// success would leave it idle.
func TestFleetRecoveryRamp(t *testing.T) {
	for n, minUsed := range map[int]float64{80: 0.93, 300: 0.77} {
		meanUsed := 0.0
		for seed := range uint64(3) {
			const rate, start = 90.0, 1000 * second
			fleet := newFleet(t, n, rate, seed)
			fleet.downAt, fleet.upAt = start+10*second, start+15*second
			fleet.run(start, 30*second, 0.85*rate)
			settings := &fleet.engines[0].settings
			worst, used, capacity, first := 0.0, 0.0, 0.0, len(fleet.received)
			for i, at := range fleet.received {
				if at < fleet.upAt+settings.RampDuration {
					used++
				}
				bearable := 0.0
				for t := at - settings.OverloadDuration; t < at; t += second / 10 {
					bearable += settings.OverloadFactor * fleet.capacityAt(max(t, fleet.upAt)) / 10
				}
				first = min(first, i)
				for fleet.received[first] < at-settings.OverloadDuration {
					first++
				}
				worst = max(worst, float64(i-first+1)/bearable)
			}
			for at := fleet.upAt; at < fleet.upAt+settings.RampDuration; at += second / 10 {
				capacity += fleet.capacityAt(at) / 10
			}
			meanUsed += used / capacity / 3
			if worst > 1 {
				t.Errorf("%d relays, seed %d: calls in an overload duration = %.2f times what it bears, want at most 1",
					n, seed, worst)
			}
		}
		if meanUsed < minUsed {
			t.Errorf("%d relays: calls on the ramp = %.2f of the capacity, want at least %.2f", n, meanUsed, minUsed)
		}
	}
}

// TestRateReductionAfterRejection checks that a rejection limits a relay to less than it has sent itself, but at least
// to half of an even share, with no tokens saved up, and that the rate rises again with time.
func TestRateReductionAfterRejection(t *testing.T) {
	settings := singleClassSettings()
	settings.Relays = 100
	h := newHarness(t, settings, readyEndpoint(1, 200)) // an even share is 2 calls per second
	limiter := h.engine.destinationFor(0).limiters[0]
	before := h.engine.rateLimit(limiter)
	for range 20 { // 2 messages per second
		h.step(h.message(0, 0))
		if len(h.sends) != 1 {
			t.Fatalf("step with one message: %d sends, want 1", len(h.sends))
		}
		h.now += second / 2
		h.step(endOf(h.sends[0], Delivered))
	}
	h.step(h.message(0, 0))
	h.step(endOf(h.sends[0], Rejected))
	if limiter.reducedRate < 0.9 || limiter.reducedRate > 1.1 || before < 5 {
		t.Errorf("rate = %.2f per second before, %.2f after a rejection at 2 calls per second, want at least 5, then 1",
			before, limiter.reducedRate)
	}
	h.now += 10 * second
	h.step(h.message(0, 0), h.message(0, 0), h.message(0, 0))
	got, want := h.engine.rateLimit(limiter), limiter.reducedRate+10*reducedRateRecovery*2
	if got < want-0.01 || got > want+0.01 {
		t.Errorf("rateLimit = %.2f per second 10 s after the rejection, want %.2f", got, want)
	}
	if len(h.sends) != 1 {
		t.Fatalf("step with three messages after a rejection: %d sends, want 1", len(h.sends))
	}
	again := h.sends[0]
	if again.Message == 21 { // the rejected message is sent first
		again.Attempt = 1
	}
	h.now += 11 * second
	h.step(endOf(again, Rejected)) // nothing was sent recently, so the least rate applies
	if least := minReducedShare * 2.0; limiter.reducedRate != least {
		t.Errorf("rate after another rejection = %.2f per second, want %.2f", limiter.reducedRate, least)
	}
}

// TestFleetStart guards against a burst at the start of a large fleet: if every relay started with the full token
// bucket that is right for a few relays, all would send the messages that they get first at once.
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
			t.Errorf("%d relays: first step sends %d of 8 messages, want at most %d, and at least 5 with 2 relays",
				n, len(h.sends), most)
		}
	}
}

// TestLoweredLimit checks that relays adapt to a limit that falls to a fifth for 9 s while the list still has the old
// one, although each relay is rejected only once in several seconds; and that they soon use the restored limit again.
func TestLoweredLimit(t *testing.T) {
	for n, most := range map[int]float64{80: 2, 300: 3} {
		const rate, start = 90.0, 1000 * second
		fleet := newFleet(t, n, rate, 2)
		total := func() (sent, accepted float64) {
			for i := range fleet.sent {
				sent += float64(fleet.sent[i])
				accepted += float64(fleet.accepted[i])
			}
			return sent, accepted
		}
		fleet.run(start, 10*second, 0.8*rate)
		fleet.rate = rate / 5
		fleet.run(start+10*second, 5*second, 0.8*rate)
		sentBefore, _ := total()
		fleet.run(start+15*second, 4*second, 0.8*rate)
		sentAfter, _ := total()
		fleet.rate = rate
		fleet.run(start+19*second, 6*second, 0.8*rate)
		_, acceptedBefore := total()
		fleet.run(start+25*second, 5*second, 0.8*rate)
		_, acceptedAfter := total()
		overLimit := (sentAfter - sentBefore) / (4 * rate / 5)
		used := (acceptedAfter - acceptedBefore) / (5 * rate)
		t.Logf("%d relays: sent %.2f times the lowered limit after 5 s, accepted %.2f of the restored one after 6 s",
			n, overLimit, used)
		if overLimit > most || used < 0.6 {
			t.Errorf("%d relays: sent %.2f times the lowered limit, accepted %.2f of the restored one, "+
				"want at most %.2f and at least 0.60", n, overLimit, used, most)
		}
	}
}
