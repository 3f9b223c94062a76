package endpoint

import (
	"container/heap"
	"fmt"

	"troutusher/internal/event"
)

// Begin has a fault hold at an endpoint. The same value ends it.
func (w *World) Begin(now Time, ep int, f *Fault) {
	w.Advance(now)
	e := w.ends[ep]
	e.advance(w.now)
	e.faults = append(e.faults, f)
	if f.outage() {
		e.outages++
		e.cold = false
		hidden := 0
		if f.Kind == Crash || f.Kind == Vanish {
			hidden = 1
		}
		w.say(event.Event{Kind: event.Outage, Endpoint: ep, Status: hidden, Text: string(f.Kind)})
	}
	switch f.Kind {
	case Crash, Gone:
		w.die(e, true)
	case Vanish:
		w.die(e, false)
	}
	w.changed(e)
}

// End ends a fault.
func (w *World) End(now Time, ep int, f *Fault) {
	w.Advance(now)
	e := w.ends[ep]
	e.advance(w.now)
	for i, x := range e.faults {
		if x == f {
			e.faults = append(e.faults[:i:i], e.faults[i+1:]...)
			break
		}
	}
	if f.Kind == Vanish && e.has(Vanish) == nil {
		w.die(e, true) // the machine is back and knows none of its connections
	}
	if f.Kind == Hang && e.has(Hang) == nil {
		for len(e.queue) > e.part.Queue { // it kept more than it ever takes on
			x := e.queue[len(e.queue)-1]
			e.queue = e.queue[:len(e.queue)-1]
			w.answer(x, event.StatusFull, 0)
		}
	}
	if f.outage() {
		e.outages--
	}
	if (f.outage() || f.Kind == Gone) && e.outages == 0 && !e.fell && e.has(Gone) == nil {
		if f.outage() {
			w.say(event.Event{Kind: event.Back, Endpoint: ep})
		}
		e.backAt, e.yard.backAt, e.yard.recent = w.now, w.now, nil
		if e.part.ColdShare < 1 {
			e.cold = true
			w.warm(e)
		}
	}
	w.changed(e)
}

// Drain has an endpoint take nothing new.
func (w *World) Drain(now Time, ep int, on bool) {
	w.Advance(now)
	w.ends[ep].draining = on
}

// die ends what an endpoint had begun: none of it takes effect any more.
func (w *World) die(e *endpoint, reset bool) {
	calls := append([]*call(nil), e.queue...)
	e.queue = nil
	for len(e.serving) > 0 {
		calls = append(calls, heap.Pop(&e.serving).(*call))
	}
	for _, x := range calls {
		w.over(x)
	}
	if !reset {
		return
	}
	for _, id := range e.order {
		c := e.conns[id]
		if c == nil {
			continue
		}
		if c.call != nil {
			w.over(c.call)
		}
		w.drop(c)
		w.effects = append(w.effects, Effect{Kind: DoReset, Conn: id})
	}
	e.order = nil
}

// changed brings speed and listener in line with the faults.
func (w *World) changed(e *endpoint) {
	e.advance(w.now)
	e.speed = e.pacing(w.now)
	to := Accepting
	switch {
	case e.has(Vanish) != nil:
		to = Silent
	case e.has(Crash) != nil || e.has(Gone) != nil || e.fell:
		to = Refusing
	}
	if to != e.listen {
		e.listen = to
		w.effects = append(w.effects, Effect{Kind: DoListen, Endpoint: e.num, Listen: to})
	}
	w.pull(e)
	w.plan(e)
}

// warmStep is how finely a cold endpoint gets faster.
const warmStep Time = 50_000

func (w *World) warm(e *endpoint) {
	if !e.cold || w.now-e.backAt >= e.part.ColdRamp+e.part.FallTime {
		e.cold = false
		return
	}
	w.changed(e)
	w.after(warmStep, func() { w.warm(e) })
}

// crowd books an arrival at a destination that came back cold and pushes it
// over where there were too many: all of it, since its endpoints are one place
// unless they are routes apart. It reports whether it fell.
func (w *World) crowd(e *endpoint, relay int) bool {
	p, y := e.part, e.yard
	if p.FallTime <= 0 || !y.cold() {
		return false
	}
	y.recent = append(y.recent, arrival{w.now, relay})
	for len(y.recent) > 0 && y.recent[0].at <= w.now-p.FallTime {
		y.recent = y.recent[1:]
	}
	if w.now-y.backAt < p.FallTime {
		return false
	}
	could := 0.0 // calls that it could do in that span
	for _, x := range y.ends {
		could += p.Capacity * x.warmed(w.now-p.FallTime, w.now) / 1e6
	}
	if float64(len(y.recent)) <= p.FallMultiple*could {
		return false
	}
	by := make([]int, w.rules.Relays)
	for _, a := range y.recent {
		by[a.relay]++
	}
	w.say(event.Event{
		Kind: event.Fell, Endpoint: e.num, Calls: by,
		Text: fmt.Sprintf("%d calls in %.1f s, when it could do %.1f", len(y.recent), float64(p.FallTime)/1e6, could),
	})
	for _, x := range y.ends {
		x.fell, x.cold = true, false
		w.die(x, true)
		w.changed(x)
	}
	return true
}

func (e *endpoint) has(k FaultKind) *Fault {
	for _, f := range e.faults {
		if f.Kind == k {
			return f
		}
	}
	return nil
}

// dead reports whether there is nobody to read a call.
func (e *endpoint) dead() bool {
	return e.fell || e.has(Vanish) != nil || e.has(Crash) != nil || e.has(Gone) != nil
}

// worst is the fault that decides on calls as a whole.
func (e *endpoint) worst() *Fault {
	for _, k := range [...]FaultKind{Vanish, Crash, Gone, Hang, Full, FullWait} {
		if f := e.has(k); f != nil {
			return f
		}
	}
	return nil
}

func (e *endpoint) shut() bool {
	f := e.worst()
	return e.draining || f != nil && (f.Kind == Full || f.Kind == FullWait)
}

// errorShare is the share of calls that fail at once.
func (e *endpoint) errorShare() float64 {
	pass := 1 - e.part.Errors
	for _, f := range e.faults {
		if f.Kind == Errors {
			pass *= 1 - f.Share
		}
	}
	return 1 - pass
}

// remove takes a call out of service or queue.
func (e *endpoint) remove(w *World, x *call) {
	for i, q := range e.queue {
		if q == x {
			e.queue = append(e.queue[:i:i], e.queue[i+1:]...)
			return
		}
	}
	if x.place >= 0 {
		e.advance(w.now)
		heap.Remove(&e.serving, x.place)
		w.pull(e)
		w.plan(e)
	}
}
