package endpoint

import (
	"container/heap"
	"math"

	"troutusher/internal/event"
	"troutusher/internal/seededrand"
)

type endpoint struct {
	index             int
	destination       *destination
	concurrency       int
	serviceTimeScale  float64
	faults            []*Fault
	draining          bool
	listener          ListenerState
	conns             map[Conn]*conn
	connOrder         []Conn // of conns, by age
	inService         completionHeap
	queue             []*call
	workDone          float64 // work done by each call in service since the beginning, in µs of usual pace
	workDoneAt        Time    // moment of v
	speed             float64
	completionVersion int // of the agenda's next completion
	activeOutages     int
	warmingUp         bool
	recoveredAt       Time
	collapsed         bool
	group             *warmUpGroup
	limiter           *rateLimiter
	handshakeCost     float64 // of handshakes, not yet a whole call
}

// warmUpGroup is what falls over as a whole: a destination, or one route of it where
// they are apart.
type warmUpGroup struct {
	endpoints      []*endpoint
	recoveredAt    Time // when one of them last came back
	recentArrivals []arrival
}

type arrival struct {
	at    Time
	relay int
}

type destination struct {
	Spec
	limiter    *rateLimiter
	dedupUntil map[string]Time // until when a repeat is dropped
}

// arrive: the call has reached its endpoint.
func (w *Model) arrive(x *call) {
	e, p := x.endpoint, x.endpoint.destination
	switch {
	case x.final:
		return // its endpoint died while it was under way
	case e.isDown(), x.conn == nil && p.Cancel != CancelNone:
		w.markFinal(x)
		return
	}
	if w.recordArrival(e, x.relay) {
		w.markFinal(x)
		return // it fell over, and this call with it
	}
	f := e.dominantFault()
	if f != nil && f.Kind == Hang {
		w.startCall(x)
		return
	}
	switch {
	case f != nil && f.Kind == RejectAll, e.draining, x.conn != nil && x.conn.overLimit:
		w.reject(x, 0)
		return
	case f != nil && f.Kind == RejectWithRetryAfter:
		w.reject(x, Time(f.Magnitude*1e6))
		return
	case !e.limiter.allow(w.now, 1):
		e.limiter.countRejected(w.now)
		w.reject(x, p.RateLimit.RetryAfter)
		return
	case len(e.inService) >= e.concurrency && len(e.queue) >= p.QueueLimit:
		e.limiter.refund(w.now)
		w.reject(x, 0)
		return
	}
	if share := e.errorShare(); w.drawUnit(x, 1) < share {
		if w.drawUnit(x, 2) < 0.5 {
			w.takeEffect(x)
		}
		w.schedule(2000, func() { w.respond(x, event.StatusError, 0); w.markFinal(x) })
		return
	}
	if f := e.activeFault(ConnectionReset); f != nil && w.drawUnit(x, 3) < f.Share && x.conn != nil {
		c := x.conn
		w.endWithoutResponse(x)
		delete(w.conns, c.id)
		delete(e.conns, c.id)
		w.effects = append(w.effects, Effect{Kind: ResetConn, Conn: c.id})
	} else if f := e.activeFault(MalformedResponse); f != nil && w.drawUnit(x, 4) < f.Share {
		x.defect = f.Defect
	} else if f := e.activeFault(LateResponse); f != nil && w.drawUnit(x, 5) < f.Share {
		x.respondAt = x.receivedAt + x.timeout + Time(f.Magnitude*1e6)
	}
	w.startCall(x)
}

// reject turns a call away.
func (w *Model) reject(x *call, wait Time) {
	status := event.StatusFull
	if wait > 0 {
		status = event.StatusWait
	}
	w.respond(x, status, wait)
}

// drawUnit is a figure in (0, 1) of a call, the same in each run of a plan.
func (w *Model) drawUnit(x *call, of uint64) float64 {
	return seededrand.Float64(w.seed, uint64(x.message.Number), uint64(x.attempt), of)
}

// drawWork is how long a call keeps a slot at usual pace.
func (w *Model) drawWork(x *call) float64 {
	s := x.endpoint.destination.ServiceTimes[x.message.Class]
	d := float64(
		s.Mean,
	) * s.Distribution.ServiceTime(
		s.CV,
		w.drawUnit(x, 10),
		w.drawUnit(x, 11),
	) * x.endpoint.serviceTimeScale
	for _, f := range x.endpoint.faults {
		if f.Kind == TailLatency && f.Class == x.message.Class &&
			seededrand.Float64(w.seed, uint64(x.message.Number), 20) < f.Share {
			d *= f.Magnitude
		}
	}
	return max(d, 1)
}

// startCall puts a call into service, or in the queue before it.
func (w *Model) startCall(x *call) {
	e := x.endpoint
	if len(e.inService) >= e.concurrency {
		x.queued = true
		e.queue = append(e.queue, x)
		return
	}
	x.queued = false
	e.advanceWork(w.now)
	x.finishAt = e.workDone + w.drawWork(x)
	heap.Push(&e.inService, x)
	w.scheduleCompletion(e)
}

// scheduleCompletion puts the next completion on the agenda.
func (w *Model) scheduleCompletion(e *endpoint) {
	e.completionVersion++
	if len(e.inService) == 0 || e.speed <= 0 {
		return
	}
	ver := e.completionVersion
	w.schedule(Time(math.Ceil((e.inService[0].finishAt-e.workDone)/e.speed)), func() {
		if e.completionVersion == ver {
			w.completeDue(e)
		}
	})
}

func (w *Model) completeDue(e *endpoint) {
	e.advanceWork(w.now)
	for len(e.inService) > 0 && e.inService[0].finishAt <= e.workDone+0.5 {
		x := heap.Pop(&e.inService).(*call)
		w.finishCall(x)
		w.startQueued(e)
	}
	w.scheduleCompletion(e)
}

// startQueued begins what waits in the queue.
func (w *Model) startQueued(e *endpoint) {
	for len(e.queue) > 0 && len(e.inService) < e.concurrency {
		x := e.queue[0]
		e.queue = e.queue[1:]
		w.startCall(x)
	}
}

// finishCall: the call has been worked on. It takes effect, unless its key did.
func (w *Model) finishCall(x *call) {
	w.takeEffect(x)
	w.markFinal(x)
	if d := x.respondAt - w.now; d > 0 {
		w.schedule(d, func() { w.respond(x, event.StatusDelivered, 0) })
		return
	}
	w.respond(x, event.StatusDelivered, 0)
}

func (w *Model) takeEffect(x *call) {
	p := x.endpoint.destination
	if x.idempotencyKey != "" && p.DedupWindow > 0 {
		if until, ok := p.dedupUntil[x.idempotencyKey]; ok && w.now < until {
			return // a repeat, dropped
		}
		p.dedupUntil[x.idempotencyKey] = w.now + p.DedupWindow
		if w.now >= w.nextKeySweep {
			w.nextKeySweep = w.now + p.DedupWindow
			for _, p := range w.destinations {
				for k, until := range p.dedupUntil {
					if until <= w.now {
						delete(p.dedupUntil, k)
					}
				}
			}
		}
	}
	w.record(event.Event{Kind: event.Ran, Call: x.number, ID: x.id, Relay: x.relay, Endpoint: x.endpoint.index})
}

func (y *warmUpGroup) warmingUp() bool {
	for _, e := range y.endpoints {
		if e.warmingUp {
			return true
		}
	}
	y.recentArrivals = nil
	return false
}

// capacityShare is the share of its capacity that an endpoint has.
func (e *endpoint) capacityShare(now Time) float64 {
	if e.collapsed || e.isDown() {
		return 0
	}
	t := now - e.recoveredAt
	if !e.warmingUp || t >= e.destination.WarmUpTime {
		return 1
	}
	return e.destination.WarmUpShare + (1-e.destination.WarmUpShare)*float64(t)/float64(e.destination.WarmUpTime)
}

// capacityShareIntegral is the integral of warmth over a span that ends now, in µs.
func (e *endpoint) capacityShareIntegral(from, to Time) float64 {
	switch {
	case e.collapsed || e.isDown():
		return 0
	case !e.warmingUp:
		return float64(to - from)
	}
	return e.integralSinceRecovery(to-e.recoveredAt) - e.integralSinceRecovery(from-e.recoveredAt)
}

// integralSinceRecovery is the integral from its return on.
func (e *endpoint) integralSinceRecovery(t Time) float64 {
	r, s, x := float64(e.destination.WarmUpTime), e.destination.WarmUpShare, max(float64(t), 0)
	if x >= r {
		return s*r + (1-s)*r/2 + x - r
	}
	return s*x + (1-s)*x*x/(2*r)
}

// serviceSpeed is the speed of each call in service.
func (e *endpoint) serviceSpeed(now Time) float64 {
	if e.activeFault(Hang) != nil || e.isDown() {
		return 0
	}
	speed := 1.0
	if e.warmingUp {
		speed = e.capacityShare(now + warmUpStep/2) // the middle of the step that begins
	}
	for _, f := range e.faults {
		if f.Kind == SlowService {
			speed /= f.Magnitude
		}
	}
	return speed
}

func (e *endpoint) advanceWork(now Time) {
	if now > e.workDoneAt {
		e.workDone += float64(now-e.workDoneAt) * e.speed
		e.workDoneAt = now
	}
}

type completionHeap []*call

func (h completionHeap) Len() int { return len(h) }

func (h completionHeap) Less(i, j int) bool {
	return h[i].finishAt < h[j].finishAt || h[i].finishAt == h[j].finishAt && h[i].number < h[j].number
}

func (h completionHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *completionHeap) Push(x any) {
	c := x.(*call)
	c.heapIndex = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *completionHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	old[len(old)-1] = nil
	*h, c.heapIndex = old[:len(old)-1], -1
	return c
}
