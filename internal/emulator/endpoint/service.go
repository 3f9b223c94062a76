package endpoint

import (
	"container/heap"
	"math"

	"troutusher/internal/event"
	"troutusher/internal/seededrand"
)

type endpoint struct {
	num      int
	part     *part
	slots    int
	pace     float64
	faults   []*Fault
	draining bool
	listen   Listen
	conns    map[Conn]*conn
	order    []Conn // of conns, by age
	serving  servingHeap
	queue    []*call
	v        float64 // work done by each call in service since the beginning, in µs of usual pace
	at       Time    // moment of v
	speed    float64
	ver      int // of the agenda's next completion
	outages  int
	cold     bool
	backAt   Time
	fell     bool
	yard     *yard
	limit    *bucket
	shaken   float64 // of handshakes, not yet a whole call
}

// yard is what falls over as a whole: a destination, or one route of it where
// they are apart.
type yard struct {
	ends   []*endpoint
	backAt Time // when one of them last came back
	recent []arrival
}

type arrival struct {
	at    Time
	relay int
}

type part struct {
	Spec
	limit *bucket
	keys  map[string]Time // until when a repeat is dropped
}

// arrive: the call has reached its endpoint.
func (w *World) arrive(x *call) {
	e, p := x.ep, x.ep.part
	switch {
	case x.over:
		return // its endpoint died while it was under way
	case e.dead(), x.conn == nil && p.Cancel != CancelNone:
		w.over(x)
		return
	}
	if w.crowd(e, x.relay) {
		w.over(x)
		return // it fell over, and this call with it
	}
	f := e.worst()
	if f != nil && f.Kind == Hang {
		w.begin(x)
		return
	}
	switch {
	case f != nil && f.Kind == Full, e.draining, x.conn != nil && x.conn.over:
		w.refuse(x, 0)
		return
	case f != nil && f.Kind == FullWait:
		w.refuse(x, Time(f.Size*1e6))
		return
	case !e.limit.take(w.now, 1):
		e.limit.refused(w.now)
		w.refuse(x, p.Limit.Wait)
		return
	case len(e.serving) >= e.slots && len(e.queue) >= p.Queue:
		e.limit.giveBack(w.now)
		w.refuse(x, 0)
		return
	}
	if share := e.errorShare(); w.unit(x, 1) < share {
		if w.unit(x, 2) < 0.5 {
			w.ran(x)
		}
		w.after(2000, func() { w.answer(x, event.StatusError, 0); w.over(x) })
		return
	}
	if f := e.has(Reset); f != nil && w.unit(x, 3) < f.Share && x.conn != nil {
		c := x.conn
		w.unanswered(x)
		delete(w.conns, c.id)
		delete(e.conns, c.id)
		w.effects = append(w.effects, Effect{Kind: DoReset, Conn: c.id})
	} else if f := e.has(Spoilt); f != nil && w.unit(x, 4) < f.Share {
		x.form = f.Form
	} else if f := e.has(Late); f != nil && w.unit(x, 5) < f.Share {
		x.late = x.began + x.limit + Time(f.Size*1e6)
	}
	w.begin(x)
}

// refuse turns a call away.
func (w *World) refuse(x *call, wait Time) {
	status := event.StatusFull
	if wait > 0 {
		status = event.StatusWait
	}
	w.answer(x, status, wait)
}

// unit is a figure in (0, 1) of a call, the same in each run of a plan.
func (w *World) unit(x *call, of uint64) float64 {
	return seededrand.Float64(w.seed, uint64(x.msg.Num), uint64(x.try), of)
}

// work is how long a call keeps a slot at usual pace.
func (w *World) work(x *call) float64 {
	s := x.ep.part.Service[x.msg.Class]
	d := float64(s.Mean) * s.Dist.ServiceTime(s.CV, w.unit(x, 10), w.unit(x, 11)) * x.ep.pace
	for _, f := range x.ep.faults {
		if f.Kind == Tail && f.Class == x.msg.Class && seededrand.Float64(w.seed, uint64(x.msg.Num), 20) < f.Share {
			d *= f.Size
		}
	}
	return max(d, 1)
}

// begin puts a call into service, or in the queue before it.
func (w *World) begin(x *call) {
	e := x.ep
	if len(e.serving) >= e.slots {
		x.queued = true
		e.queue = append(e.queue, x)
		return
	}
	x.queued = false
	e.advance(w.now)
	x.vend = e.v + w.work(x)
	heap.Push(&e.serving, x)
	w.plan(e)
}

// plan puts the next completion on the agenda.
func (w *World) plan(e *endpoint) {
	e.ver++
	if len(e.serving) == 0 || e.speed <= 0 {
		return
	}
	ver := e.ver
	w.after(Time(math.Ceil((e.serving[0].vend-e.v)/e.speed)), func() {
		if e.ver == ver {
			w.complete(e)
		}
	})
}

func (w *World) complete(e *endpoint) {
	e.advance(w.now)
	for len(e.serving) > 0 && e.serving[0].vend <= e.v+0.5 {
		x := heap.Pop(&e.serving).(*call)
		w.finish(x)
		w.pull(e)
	}
	w.plan(e)
}

// pull begins what waits in the queue.
func (w *World) pull(e *endpoint) {
	for len(e.queue) > 0 && len(e.serving) < e.slots {
		x := e.queue[0]
		e.queue = e.queue[1:]
		w.begin(x)
	}
}

// finish: the call has been worked on. It takes effect, unless its key did.
func (w *World) finish(x *call) {
	w.ran(x)
	w.over(x)
	if d := x.late - w.now; d > 0 {
		w.after(d, func() { w.answer(x, event.StatusDelivered, 0) })
		return
	}
	w.answer(x, event.StatusDelivered, 0)
}

func (w *World) ran(x *call) {
	p := x.ep.part
	if x.key != "" && p.KeyMemory > 0 {
		if until, ok := p.keys[x.key]; ok && w.now < until {
			return // a repeat, dropped
		}
		p.keys[x.key] = w.now + p.KeyMemory
		if w.now >= w.keySweep {
			w.keySweep = w.now + p.KeyMemory
			for _, p := range w.parts {
				for k, until := range p.keys {
					if until <= w.now {
						delete(p.keys, k)
					}
				}
			}
		}
	}
	w.say(event.Event{Kind: event.Ran, Call: x.no, ID: x.id, Relay: x.relay, Endpoint: x.ep.num})
}

func (y *yard) cold() bool {
	for _, e := range y.ends {
		if e.cold {
			return true
		}
	}
	y.recent = nil
	return false
}

// warmth is the share of its capacity that an endpoint has.
func (e *endpoint) warmth(now Time) float64 {
	if e.fell || e.dead() {
		return 0
	}
	t := now - e.backAt
	if !e.cold || t >= e.part.ColdRamp {
		return 1
	}
	return e.part.ColdShare + (1-e.part.ColdShare)*float64(t)/float64(e.part.ColdRamp)
}

// warmed is the integral of warmth over a span that ends now, in µs.
func (e *endpoint) warmed(from, to Time) float64 {
	switch {
	case e.fell || e.dead():
		return 0
	case !e.cold:
		return float64(to - from)
	}
	return e.sinceBack(to-e.backAt) - e.sinceBack(from-e.backAt)
}

// sinceBack is the integral from its return on.
func (e *endpoint) sinceBack(t Time) float64 {
	r, s, x := float64(e.part.ColdRamp), e.part.ColdShare, max(float64(t), 0)
	if x >= r {
		return s*r + (1-s)*r/2 + x - r
	}
	return s*x + (1-s)*x*x/(2*r)
}

// pacing is the speed of each call in service.
func (e *endpoint) pacing(now Time) float64 {
	if e.has(Hang) != nil || e.dead() {
		return 0
	}
	speed := 1.0
	if e.cold {
		speed = e.warmth(now + warmStep/2) // the middle of the step that begins
	}
	for _, f := range e.faults {
		if f.Kind == Slow {
			speed /= f.Size
		}
	}
	return speed
}

func (e *endpoint) advance(now Time) {
	if now > e.at {
		e.v += float64(now-e.at) * e.speed
		e.at = now
	}
}

type servingHeap []*call

func (h servingHeap) Len() int { return len(h) }

func (h servingHeap) Less(i, j int) bool {
	return h[i].vend < h[j].vend || h[i].vend == h[j].vend && h[i].no < h[j].no
}

func (h servingHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

// Push implements heap.Interface.
func (h *servingHeap) Push(x any) {
	c := x.(*call)
	c.place = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *servingHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	old[len(old)-1] = nil
	*h, c.place = old[:len(old)-1], -1
	return c
}
