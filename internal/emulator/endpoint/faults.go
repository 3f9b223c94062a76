package endpoint

import (
	"container/heap"
	"fmt"

	"troutusher/internal/event"
)

// InjectFault has a fault hold at an endpoint. The same value ends it.
func (w *Model) InjectFault(now Time, ep int, f *Fault) {
	w.Advance(now)
	e := w.endpoints[ep]
	e.advanceWork(w.now)
	e.faults = append(e.faults, f)
	if f.causesOutage() {
		e.activeOutages++
		e.warmingUp = false
		hidden := 0
		if f.Kind == Crash || f.Kind == Blackhole {
			hidden = 1
		}
		w.record(event.Event{Kind: event.Outage, Endpoint: ep, Status: hidden, Text: string(f.Kind)})
	}
	switch f.Kind {
	case Crash, PlannedStop:
		w.stopEndpoint(e, true)
	case Blackhole:
		w.stopEndpoint(e, false)
	}
	w.applyFaults(e)
}

// ClearFault ends a fault.
func (w *Model) ClearFault(now Time, ep int, f *Fault) {
	w.Advance(now)
	e := w.endpoints[ep]
	e.advanceWork(w.now)
	for i, x := range e.faults {
		if x == f {
			e.faults = append(e.faults[:i:i], e.faults[i+1:]...)
			break
		}
	}
	if f.Kind == Blackhole && e.activeFault(Blackhole) == nil {
		w.stopEndpoint(e, true) // the machine is back and knows none of its connections
	}
	if f.Kind == Hang && e.activeFault(Hang) == nil {
		for len(e.queue) > e.destination.QueueLimit { // it kept more than it ever takes on
			x := e.queue[len(e.queue)-1]
			e.queue = e.queue[:len(e.queue)-1]
			w.respond(x, event.StatusFull, 0)
		}
	}
	if f.causesOutage() {
		e.activeOutages--
	}
	if (f.causesOutage() || f.Kind == PlannedStop) && e.activeOutages == 0 && !e.collapsed &&
		e.activeFault(PlannedStop) == nil {
		if f.causesOutage() {
			w.record(event.Event{Kind: event.Back, Endpoint: ep})
		}
		e.recoveredAt, e.group.recoveredAt, e.group.recentArrivals = w.now, w.now, nil
		if e.destination.WarmUpShare < 1 {
			e.warmingUp = true
			w.warmUp(e)
		}
	}
	w.applyFaults(e)
}

// SetDraining has an endpoint take nothing new.
func (w *Model) SetDraining(now Time, ep int, on bool) {
	w.Advance(now)
	w.endpoints[ep].draining = on
}

// stopEndpoint ends what an endpoint had begun: none of it takes effect any more.
func (w *Model) stopEndpoint(e *endpoint, reset bool) {
	calls := append([]*call(nil), e.queue...)
	e.queue = nil
	for len(e.inService) > 0 {
		calls = append(calls, heap.Pop(&e.inService).(*call))
	}
	for _, x := range calls {
		w.markFinal(x)
	}
	if !reset {
		return
	}
	for _, id := range e.connOrder {
		c := e.conns[id]
		if c == nil {
			continue
		}
		if c.current != nil {
			w.markFinal(c.current)
		}
		w.dropConn(c)
		w.effects = append(w.effects, Effect{Kind: ResetConn, Conn: id})
	}
	e.connOrder = nil
}

// applyFaults brings speed and listener in line with the faults.
func (w *Model) applyFaults(e *endpoint) {
	e.advanceWork(w.now)
	e.speed = e.serviceSpeed(w.now)
	to := Accepting
	switch {
	case e.activeFault(Blackhole) != nil:
		to = Unresponsive
	case e.activeFault(Crash) != nil || e.activeFault(PlannedStop) != nil || e.collapsed:
		to = Refusing
	}
	if to != e.listener {
		e.listener = to
		w.effects = append(w.effects, Effect{Kind: SetListener, Endpoint: e.index, Listener: to})
	}
	w.startQueued(e)
	w.scheduleCompletion(e)
}

// warmUpStep is how finely a cold endpoint gets faster.
const warmUpStep Time = 50_000

func (w *Model) warmUp(e *endpoint) {
	if !e.warmingUp || w.now-e.recoveredAt >= e.destination.WarmUpTime+e.destination.OverloadWindow {
		e.warmingUp = false
		return
	}
	w.applyFaults(e)
	w.schedule(warmUpStep, func() { w.warmUp(e) })
}

// recordArrival books an arrival at a destination that came back cold and pushes it
// over where there were too many: all of it, since its endpoints are one place
// unless they are routes apart. It reports whether it fell.
func (w *Model) recordArrival(e *endpoint, relay int) bool {
	p, y := e.destination, e.group
	if p.OverloadWindow <= 0 || !y.warmingUp() {
		return false
	}
	y.recentArrivals = append(y.recentArrivals, arrival{w.now, relay})
	for len(y.recentArrivals) > 0 && y.recentArrivals[0].at <= w.now-p.OverloadWindow {
		y.recentArrivals = y.recentArrivals[1:]
	}
	if w.now-y.recoveredAt < p.OverloadWindow {
		return false
	}
	could := 0.0 // calls that it could do in that span
	for _, x := range y.endpoints {
		could += p.Capacity * x.capacityShareIntegral(w.now-p.OverloadWindow, w.now) / 1e6
	}
	if float64(len(y.recentArrivals)) <= p.OverloadFactor*could {
		return false
	}
	by := make([]int, w.rules.Relays)
	for _, a := range y.recentArrivals {
		by[a.relay]++
	}
	w.record(event.Event{
		Kind:     event.Fell,
		Endpoint: e.index,
		Calls:    by,
		Text: fmt.Sprintf(
			"%d calls in %.1f s, when it could do %.1f",
			len(y.recentArrivals),
			float64(p.OverloadWindow)/1e6,
			could,
		),
	})
	for _, x := range y.endpoints {
		x.collapsed, x.warmingUp = true, false
		w.stopEndpoint(x, true)
		w.applyFaults(x)
	}
	return true
}

func (e *endpoint) activeFault(k FaultKind) *Fault {
	for _, f := range e.faults {
		if f.Kind == k {
			return f
		}
	}
	return nil
}

// isDown reports whether there is nobody to read a call.
func (e *endpoint) isDown() bool {
	return e.collapsed || e.activeFault(Blackhole) != nil || e.activeFault(Crash) != nil ||
		e.activeFault(PlannedStop) != nil
}

// dominantFault is the fault that decides on calls as a whole.
func (e *endpoint) dominantFault() *Fault {
	for _, k := range [...]FaultKind{Blackhole, Crash, PlannedStop, Hang, RejectAll, RejectWithRetryAfter} {
		if f := e.activeFault(k); f != nil {
			return f
		}
	}
	return nil
}

func (e *endpoint) rejectsCalls() bool {
	f := e.dominantFault()
	return e.draining || f != nil && (f.Kind == RejectAll || f.Kind == RejectWithRetryAfter)
}

// errorShare is the share of calls that fail at once.
func (e *endpoint) errorShare() float64 {
	pass := 1 - e.destination.ErrorShare
	for _, f := range e.faults {
		if f.Kind == ErrorResponses {
			pass *= 1 - f.Share
		}
	}
	return 1 - pass
}

// removeCall takes a call out of service or queue.
func (e *endpoint) removeCall(w *Model, x *call) {
	for i, q := range e.queue {
		if q == x {
			e.queue = append(e.queue[:i:i], e.queue[i+1:]...)
			return
		}
	}
	if x.heapIndex >= 0 {
		e.advanceWork(w.now)
		heap.Remove(&e.inService, x.heapIndex)
		w.startQueued(e)
		w.scheduleCompletion(e)
	}
}
