package policy

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
)

// Times of the outage that replacedInOutage simulates. The machines that serve after it are in the list a little
// later.
const (
	outageBegin   = 1006 * second
	outageEnd     = 1018 * second
	outageListLag = 800 * second / 1000
)

// replacedInOutage simulates an outage of a destination whose machines do not come back: others replace them. change
// runs the fleet from 6 s before the end of the outage until outageListLag after it, and passes the list of the new
// machines, whose ids are from 11 on, to the relays. onRamp, unless it is nil, is called 2 s after the outage. It
// returns the largest load, as worstLoad does, and the calls accepted until the ramp is over.
func replacedInOutage(t *testing.T, n int, seed uint64, change, onRamp func(f *fleet)) (load float64, accepted int) {
	t.Helper()
	const rate, perSecond = 60.0, 0.8 * 60
	f := newFleet(t, n, rate, seed)
	for _, engine := range f.engines {
		engine.settings.InitialCapacity, engine.settings.RampDuration = 0.26, 13*second
		engine.settings.OverloadFactor, engine.settings.OverloadDuration = 1.5, 2*second
	}
	f.incarnation = make([]int, n)
	f.downAt, f.upAt = outageBegin, outageEnd
	f.removed = map[EndpointID]bool{1: true, 2: true}
	f.run(1000*second, outageEnd-6*second-1000*second, perSecond)
	change(f)
	f.runTo(outageListLag, 2*second)
	if onRamp != nil {
		onRamp(f)
	}
	f.runTo(2*second, 17*second)
	for _, n := range f.accepted {
		accepted += n
	}
	return f.worstLoad(), accepted
}

// worstLoad returns the largest number of calls in an overload duration on the ramp after the outage, relative to the
// number above which the destination falls over: n and some standard deviations of a random stream, where n are the
// calls that it bears at the end of that time.
func (f *fleet) worstLoad() (worst float64) {
	settings := &f.engines[0].settings
	for last, at := range f.received {
		if at > f.upAt+settings.RampDuration {
			break
		}
		count := 0
		for i := last; i >= 0 && f.received[i] > at-settings.OverloadDuration; i-- {
			count++
		}
		n := settings.OverloadFactor * f.capacityAt(at) * seconds(settings.OverloadDuration)
		limit := n + 2*math.Sqrt(n) + 2
		if n < 30 {
			limit = n + 3*math.Sqrt(n) + 3
		}
		worst = max(worst, float64(count)/limit)
	}
	return worst
}

// replaceAfter runs the fleet from a time to outageListLag, both after outageEnd, and then passes the list of the new
// machines to it.
func (f *fleet) replaceAfter(from Time, kind ListUpdateKind) {
	f.runTo(from, outageListLag)
	f.changeList(outageEnd+outageListLag, kind, 11, 12)
}

// runTo runs the fleet with messages until a time after outageEnd.
func (f *fleet) runTo(from, to Time) { f.run(outageEnd+from, to-from, 0.8*f.rate) }

// restartAll restarts all relays. Each continues with a snapshot that has been stored, or handed over.
func (f *fleet) restartAll(t *testing.T, now Time) {
	t.Helper()
	for i, engine := range f.engines {
		stored, err := json.Marshal(engine.Snapshot(now))
		if err != nil {
			t.Fatal(err)
		}
		f.restart(t, now, i, stored)
	}
}

// handOverAll replaces all engines by new ones that take over what the old ones have learned.
func (f *fleet) handOverAll(t *testing.T, now Time) {
	t.Helper()
	for i, old := range f.engines {
		engine, err := New(old.settings, uint64(now)+uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		f.engines[i] = engine
		f.incarnation[i]++
		f.step(now, i, listUpdate(ListCached, f.endpoints()...))
		engine.LoadSnapshot(now, old.Snapshot(now), 0)
	}
}

// TestOutageOutlastsEndpoints guards against a destination that is overloaded when it comes back on other machines,
// because the relays knew of the outage only by the endpoints that have left the list.
func TestOutageOutlastsEndpoints(t *testing.T) {
	const lag = outageListLag
	unchanged := func(_ *testing.T, f *fleet) {
		f.removed = nil
		f.runTo(-6*second, lag)
	}
	changes := map[string]func(t *testing.T, f *fleet){
		"list unchanged":       unchanged,
		"replaced on the ramp": unchanged,
		"added on the ramp":    unchanged,
		"replaced by changes": func(_ *testing.T, f *fleet) {
			f.replaceAfter(-6*second, ListDelta)
		},
		"replaced by a whole list": func(_ *testing.T, f *fleet) {
			f.replaceAfter(-6*second, ListFull)
		},
		"same endpoints leave and return": func(_ *testing.T, f *fleet) {
			f.removed = nil
			f.runTo(-6*second, lag-second/2)
			f.changeList(outageEnd+lag-second/2, ListDelta)
			f.runTo(lag-second/2, lag)
			f.changeList(outageEnd+lag, ListDelta, 1, 2)
		},
		"none listed for 0.5 s": func(_ *testing.T, f *fleet) {
			f.runTo(-6*second, lag-second/2)
			f.changeList(outageEnd+lag-second/2, ListFull)
			f.replaceAfter(lag-second/2, ListFull)
		},
		"none listed for 6 s": func(_ *testing.T, f *fleet) {
			f.changeList(outageEnd-6*second, ListDelta)
			f.replaceAfter(-6*second, ListDelta)
		},
		"replaced twice": func(_ *testing.T, f *fleet) {
			f.removed[13], f.removed[14] = true, true
			f.runTo(-6*second, -2*second)
			f.changeList(outageEnd-2*second, ListDelta, 13, 14)
			f.replaceAfter(-2*second, ListDelta)
		},
		"replaced twice at once": func(_ *testing.T, f *fleet) {
			f.runTo(-6*second, lag)
			f.changeList(outageEnd+lag, ListDelta, 13, 14)
			f.changeList(outageEnd+lag, ListDelta, 11, 12)
		},
		"restarted, then replaced": func(t *testing.T, f *fleet) {
			f.runTo(-6*second, -second)
			f.restartAll(t, outageEnd-second)
			f.replaceAfter(-second, ListDelta)
		},
		"replaced during the restart": func(t *testing.T, f *fleet) {
			f.runTo(-6*second, lag)
			f.listed = []EndpointID{11, 12}
			f.restartAll(t, outageEnd+lag)
		},
		"restarted while none is listed": func(t *testing.T, f *fleet) {
			f.runTo(-6*second, -second)
			f.changeList(outageEnd-second, ListDelta)
			f.restartAll(t, outageEnd-second/2)
			f.runTo(-second/2, lag/2)
			f.restartAll(t, outageEnd+lag/2)
			f.changeList(outageEnd+lag, ListDelta, 11, 12)
		},
		"upgraded, then replaced": func(t *testing.T, f *fleet) {
			f.runTo(-6*second, -second)
			f.handOverAll(t, outageEnd-second)
			f.replaceAfter(-second, ListDelta)
		},
		"upgraded while none is listed": func(t *testing.T, f *fleet) {
			f.runTo(-6*second, -second)
			f.changeList(outageEnd-second, ListDelta)
			f.handOverAll(t, outageEnd)
			f.changeList(outageEnd+lag, ListDelta, 11, 12)
		},
	}
	onRamp := map[string]func(f *fleet){
		"replaced on the ramp": func(f *fleet) { f.changeList(outageEnd+2*second, ListDelta, 11, 12) },
		"added on the ramp":    func(f *fleet) { f.changeList(outageEnd+2*second, ListDelta, 1, 2, 11, 12) },
	}
	for name, change := range changes {
		for _, n := range []int{3, 12, 80} {
			t.Run(fmt.Sprintf("%s, %d relays", name, n), func(t *testing.T) {
				worst, accepted := 0.0, 0
				for seed := range uint64(4) {
					load, served := replacedInOutage(t, n, seed, func(f *fleet) { change(t, f) }, onRamp[name])
					worst = max(worst, load)
					accepted += served
				}
				if worst > 1 {
					t.Errorf("load = %.2f times the number at which the destination falls over, want at most 1", worst)
				}
				t.Logf("%s, %d: load %.2f, %d calls accepted", name, n, worst, accepted)
			})
		}
	}
}

// restarted returns a harness whose engine has restored what another has learned, and whose list has the given entries.
// Without a restart the engine takes over what the other hands over.
func (h *harness) restarted(restart bool, entries ...EndpointUpdate) *harness {
	h.t.Helper()
	text, err := json.Marshal(h.engine.Snapshot(h.now))
	if err != nil {
		h.t.Fatal(err)
	}
	stored := &Snapshot{}
	if err := json.Unmarshal(text, stored); err != nil {
		h.t.Fatal(err)
	}
	next := newHarness(h.t, h.engine.settings)
	next.now = h.now
	next.step(listUpdate(ListCached, entries...))
	if restart {
		next.engine.RestoreAfterRestart(h.now, stored, 0)
	} else {
		next.engine.LoadSnapshot(h.now, stored, 0)
	}
	return next
}

// entriesOf returns list entries of destination 0, all in a given state.
func entriesOf(state Readiness, ids ...EndpointID) (entries []EndpointUpdate) {
	for _, id := range ids {
		entries = append(entries, EndpointUpdate{Endpoint: id, State: state, Rate: 20})
	}
	return entries
}

// replaceBy removes the endpoints 1 and 2 in the same update that adds others.
func (h *harness) replaceBy(ids ...EndpointID) {
	h.step(listUpdate(ListDelta, append(entriesOf(Gone, 1, 2), entriesOf(Ready, ids...)...)...))
}

// list passes a list of ready endpoints to the engine, or changes of it.
func (h *harness) list(kind ListUpdateKind, ids ...EndpointID) {
	h.step(listUpdate(kind, entriesOf(Ready, ids...)...))
}

// healthOf returns what the engine knows of an endpoint, in a word.
func (h *harness) healthOf(id EndpointID) string {
	endpoint := h.engine.endpoints[id]
	switch {
	case endpoint == nil || endpoint.state == Gone:
		return "unknown"
	case endpoint.ejected():
		return "ejected"
	case endpoint.unhealthy:
		return "recovering"
	case endpoint.lastFailureAt > endpoint.lastSuccessAt:
		return "suspected"
	default:
		return "working"
	}
}

// listChange is a change of the list of a destination, which begins with the endpoints 1 and 2 and ends with 11.
type listChange struct {
	change func(h *harness) *harness
	want   string // what is known of endpoint 11 then
}

func replaced(h *harness) *harness {
	h.replaceBy(11)
	return h
}

// TestOutageBelongsToDestination guards against a new endpoint that starts as a healthy one although its destination is
// in an outage. Before each change the endpoints 1 and 2 are ejected.
func TestOutageBelongsToDestination(t *testing.T) {
	tests := map[string]listChange{
		"replaced": {replaced, "ejected"},
		"replaced by a whole list": {func(h *harness) *harness {
			h.list(ListFull, 11)
			return h
		}, "ejected"},
		"added": {func(h *harness) *harness {
			h.list(ListDelta, 11)
			return h
		}, "ejected"},
		"replaced after a drain": {func(h *harness) *harness {
			h.step(listUpdate(ListDelta, entriesOf(Draining, 1, 2)...))
			h.replaceBy(11)
			return h
		}, "ejected"},
		"left and returned, then replaced": {func(h *harness) *harness {
			h.list(ListFull)
			h.now += 60 * second
			h.list(ListFull, 1, 2)
			h.replaceBy(11)
			return h
		}, "ejected"},
		"new list at a restart": {func(h *harness) *harness {
			return h.restarted(true, readyEndpoint(11, 20), readyEndpoint(12, 20))
		}, "ejected"},
		"new list at a hand-over": {func(h *harness) *harness {
			return h.restarted(false, readyEndpoint(11, 20), readyEndpoint(12, 20))
		}, "ejected"},
		"none listed during two restarts": {func(h *harness) *harness {
			h.list(ListFull)
			h = h.restarted(true).restarted(true)
			h.list(ListDelta, 11)
			return h
		}, "ejected"},
		"none listed during two hand-overs": {func(h *harness) *harness {
			h.list(ListFull)
			h = h.restarted(false).restarted(false)
			h.list(ListDelta, 11)
			return h
		}, "ejected"},
		"replaced while passive": {func(h *harness) *harness {
			h.now += 60 * second
			update := listUpdate(ListDelta, entriesOf(Ready, 11, 12)...)
			update.Snapshot = h.engine.Passivate(h.now, 0)
			h.step(update)
			return h
		}, "ejected"},
		"passive without an endpoint": {func(h *harness) *harness {
			h.list(ListFull)
			h.now += 60 * second
			update := listUpdate(ListDelta, entriesOf(Ready, 11)...)
			update.Snapshot = h.engine.Passivate(h.now, 0)
			h.step(update)
			return h
		}, "ejected"},
		"replaced on the ramp": {func(h *harness) *harness {
			h.engine.now = h.now
			h.engine.recordSuccess(h.engine.endpoints[1], h.now)
			return replaced(h)
		}, "recovering"},
		"replaced after the ramp": {func(h *harness) *harness {
			h.engine.now = h.now
			h.engine.recordSuccess(h.engine.endpoints[1], h.now)
			h.now += 20 * second
			return replaced(h)
		}, "working"},
		"none listed for an hour": {func(h *harness) *harness {
			h.list(ListFull)
			h.now += 3600 * second
			h.list(ListFull, 11)
			return h
		}, "working"},
		"another destination": {func(h *harness) *harness {
			update := EndpointUpdate{Endpoint: 11, State: Ready, Destination: 5, Rate: 20}
			h.step(listUpdate(ListDelta, append(entriesOf(Gone, 1, 2), update)...))
			return h
		}, "working"},
		"moved to another destination": {func(h *harness) *harness {
			h.list(ListDelta, 11)
			h.step(listUpdate(ListDelta, EndpointUpdate{Endpoint: 11, State: Ready, Destination: 5, Rate: 20}))
			return h
		}, "working"},
	}
	for name, test := range tests {
		h := newHarness(t, singleClassSettings(), entriesOf(Ready, 1, 2)...)
		failAllEndpoints(h)
		h.now += second
		h = test.change(h)
		if got := h.healthOf(11); got != test.want {
			t.Errorf("%s: the new endpoint is %s, want %s", name, got, test.want)
		}
	}
}

// TestWorkingDestinationStaysWorking guards against new endpoints that are slowed down by an outage that their
// destination does not have: its endpoints work, or one of them does.
func TestWorkingDestinationStaysWorking(t *testing.T) {
	eject := func(h *harness, id EndpointID) {
		for range 3 {
			h.engine.recordFailure(h.engine.endpoints[id], h.now, true)
		}
		h.now += second / 10
		h.engine.now = h.now
	}
	succeed := func(h *harness, id EndpointID) { h.engine.recordSuccess(h.engine.endpoints[id], h.now) }
	tests := map[string]listChange{
		"all replaced": {func(h *harness) *harness {
			succeed(h, 1)
			return replaced(h)
		}, "working"},
		"one failing, both replaced": {func(h *harness) *harness {
			h.engine.recordFailure(h.engine.endpoints[1], h.now, true)
			succeed(h, 2)
			eject(h, 1)
			return replaced(h)
		}, "working"},
		"one failing, the working one leaves first": {func(h *harness) *harness {
			h.engine.recordFailure(h.engine.endpoints[1], h.now, true)
			succeed(h, 2)
			eject(h, 1)
			h.step(listUpdate(ListDelta, entriesOf(Gone, 2)...))
			return replaced(h)
		}, "working"},
		"the last one fails after the working one has left": {func(h *harness) *harness {
			h.engine.recordFailure(h.engine.endpoints[1], h.now, true)
			succeed(h, 2)
			eject(h, 1)
			h.step(listUpdate(ListDelta, entriesOf(Gone, 2)...))
			h.now += second
			h.engine.now = h.now
			eject(h, 1)
			return replaced(h)
		}, "ejected"},
		"one failing, restarted with a new list": {func(h *harness) *harness {
			h.engine.recordFailure(h.engine.endpoints[1], h.now, true)
			succeed(h, 2)
			eject(h, 1)
			return h.restarted(true, readyEndpoint(11, 20))
		}, "working"},
		"two failures each": {func(h *harness) *harness {
			for range 2 {
				h.engine.recordFailure(h.engine.endpoints[1], h.now, true)
				h.engine.recordFailure(h.engine.endpoints[2], h.now, true)
			}
			return replaced(h)
		}, "suspected"},
		"one has failed last": {func(h *harness) *harness {
			succeed(h, 2)
			h.engine.recordFailure(h.engine.endpoints[1], h.now, true)
			return replaced(h)
		}, "working"},
	}
	for name, test := range tests {
		h := newHarness(t, singleClassSettings(), entriesOf(Ready, 1, 2)...)
		h.now += second
		h.engine.now = h.now
		h = test.change(h)
		if got := h.healthOf(11); got != test.want {
			t.Errorf("%s: the new endpoint is %s, want %s", name, got, test.want)
		}
		if sends := len(h.step(h.message(0, 0))); test.want == "working" && sends == 0 {
			t.Errorf("%s: no action for a message, want it sent at once", name)
		}
	}
}

// TestReplacedPartnerKeepsItsPace guards against a slow start of a healthy destination whose machines are all replaced,
// also if the calls that are out then fail because the old machines are shut down.
func TestReplacedPartnerKeepsItsPace(t *testing.T) {
	const rate, load, at = 60.0, 0.8 * 60, 1010 * second
	for _, n := range []int{3, 80} {
		accepted := map[bool]int{}
		for _, replace := range []bool{false, true} {
			for seed := range uint64(4) {
				f := newFleet(t, n, rate, seed)
				f.run(1000*second, at-1000*second, load)
				if replace {
					f.removed, f.downAt = map[EndpointID]bool{1: true, 2: true}, at // no outage: upAt is 0
					f.changeList(at, ListDelta, 11, 12)
				}
				f.run(at, 10*second, load)
				for _, count := range f.accepted {
					accepted[replace] += count
				}
			}
		}
		if ratio := float64(accepted[true]) / float64(accepted[false]); ratio < 0.97 {
			t.Errorf("%d relays: %.3f times the calls accepted if the machines are replaced, want at least 0.97",
				n, ratio)
		}
	}
}

// routeSettings returns settings with destinations whose endpoints are independent routes.
func routeSettings() Settings {
	settings := singleClassSettings()
	settings.DestinationKinds = []DestinationKind{{BatchSize: 1, IndependentRoutes: true}}
	return settings
}

// TestOutageOfRoute guards against an independent route that is forgotten to be down when it leaves the list for a
// while, and against one that inherits the outage of another. The number of routes that are remembered is limited.
func TestOutageOfRoute(t *testing.T) {
	h := newHarness(t, routeSettings(), entriesOf(Ready, 1, 2)...)
	for range 3 {
		h.engine.recordFailure(h.engine.endpoints[1], h.now, true)
	}
	h.now += second
	h.list(ListFull, 11)
	if got := h.healthOf(11); got != "working" {
		t.Errorf("a new route beside one that is down is %s, want working", got)
	}
	if !h.engine.RemembersRoute(h.now, 1) || h.engine.RemembersRoute(h.now, 2) {
		t.Errorf("RemembersRoute(1), (2) = %v, %v, want true, false", h.engine.RemembersRoute(h.now, 1),
			h.engine.RemembersRoute(h.now, 2))
	}
	h.now += second
	h.list(ListFull, 1, 2)
	if one, two := h.healthOf(1), h.healthOf(2); one != "ejected" || two != "working" {
		t.Errorf("routes that return are %s and %s, want ejected and working", one, two)
	}
	h.list(ListFull)
	h.now += 3600 * second
	h.list(ListFull, 1)
	if got := h.healthOf(1); got != "working" {
		t.Errorf("a route that returns after an hour is %s, want working", got)
	}
	for id := EndpointID(100); id < 5000; id++ {
		h.list(ListFull, id)
		h.engine.endpoints[id].unhealthy = true
	}
	if got := len(h.engine.departedRoutes); got != maxDepartedRoutes {
		t.Errorf("%d routes are remembered after 4900 have left, want %d", got, maxDepartedRoutes)
	}
}

// TestMemoryOfOutageIsBounded guards against memory and stored state that grow with each machine that is replaced.
func TestMemoryOfOutageIsBounded(t *testing.T) {
	h := newHarness(t, singleClassSettings(), entriesOf(Ready, 1)...)
	failAllEndpoints(h)
	for id := EndpointID(100); id < 5000; id++ {
		h.now += second
		h.list(ListFull, id)
	}
	h.list(ListFull)
	snapshot := h.engine.Snapshot(h.now)
	if len(snapshot.Limiters) != 1 || len(snapshot.Limiters[0].Endpoints) != 1 || len(h.engine.endpoints) != 0 {
		t.Errorf("after 4900 machines: snapshot %+v, %d endpoints, want one limiter with one endpoint, none", snapshot,
			len(h.engine.endpoints))
	}
	if got := snapshot.Limiters[0].Endpoints[0].ID; got != 0 {
		t.Errorf("ID of the health of endpoints that have left = %d, want 0, which no endpoint has", got)
	}
}

// TestLateFailures checks what failed calls to endpoints that have left the list mean for those that have taken their
// place: an outage if the calls were overdue when the endpoints left, nothing if they were cut off by the change.
func TestLateFailures(t *testing.T) {
	tests := map[string]struct {
		overdue bool // the calls have been out for long when the endpoint leaves
		answers bool // a call that was sent later was answered before
		succeed bool // the new endpoint answers before the calls fail
		want    string
	}{
		"cut off by the change":             {false, false, false, "working"},
		"cut off, the new endpoint answers": {false, false, true, "working"},
		"overdue":                           {true, false, false, "ejected"},
		"overdue, the new endpoint answers": {true, false, true, "recovering"},
		"overdue, but another one answers":  {true, true, false, "working"},
	}
	for name, test := range tests {
		for _, settings := range []Settings{singleClassSettings(), routeSettings()} {
			h := newHarness(t, settings, entriesOf(Ready, 1)...)
			old := h.engine.endpoints[1]
			h.engine.latency.add(100e3)
			old.limiter.latency.add(100e3)
			old.latency.add(100e3)
			sentAt := h.now
			if test.overdue {
				h.now += 2 * second
			}
			if test.answers {
				old.limiter.answeredSentAt = sentAt + second
			}
			successor := EndpointID(11)
			h.step(listUpdate(ListDelta, append(entriesOf(Gone, 1), entriesOf(Ready, successor)...)...))
			if settings.DestinationKinds[0].IndependentRoutes {
				successor = 1
				h.list(ListFull, successor)
			}
			h.now += second
			h.engine.now = h.now
			if test.succeed {
				h.engine.recordSuccess(h.engine.endpoints[successor], h.now-second/10)
			}
			for range 3 {
				h.engine.recordFailure(old, sentAt, true)
			}
			if got := h.healthOf(successor); got != test.want {
				t.Errorf("%s, independent routes %v: the endpoint that is listed is %s, want %s", name,
					settings.DestinationKinds[0].IndependentRoutes, got, test.want)
			}
		}
	}
}
