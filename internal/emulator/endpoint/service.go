package endpoint

import (
	"container/heap"
	"math"

	"troutusher/internal/event"
	"troutusher/internal/seededrand"
)

// Purposes of the random draws for a call or a message. The numbers must not change, because the
// replay of recorded rehearsals depends on them.
const (
	drawError             = 1
	drawErrorTakesEffect  = 2
	drawConnectionReset   = 3
	drawMalformed         = 4
	drawLate              = 5
	drawCopy              = 6
	drawCopyDelay         = 7
	drawServiceTime       = 10
	drawServiceTimeSecond = 11 // some distributions need a second draw
	drawTail              = 20
)

// errorDelay is the time after which a call that fails quickly gets its error response.
const errorDelay Time = 2000

// draw returns a random number in (0, 1) for a call, which is the same in each run of a plan.
func (m *Model) draw(c *call, purpose uint64) float64 {
	return seededrand.Float64(m.seed, uint64(c.message.Number), uint64(c.attempt), purpose)
}

// arrive handles a call that has reached its endpoint after the network delay. It drops the call if the
// endpoint is down or the caller has cancelled the call. Any other call counts towards an overload, and
// is dropped if it makes the endpoint collapse. Unless the call is then rejected or fails quickly, it is
// put into service.
func (m *Model) arrive(c *call) {
	e := c.endpoint
	if c.final {
		return // the endpoint stopped during the network delay
	}
	cancelled := c.conn == nil && e.destination.Cancel != CancelNone
	if e.isDown() || cancelled {
		m.markFinal(c)
		return
	}
	if m.recordArrival(e, c.relay) {
		m.markFinal(c)
		return // this call made the endpoint collapse
	}
	fault := e.dominantFault()
	if fault != nil && fault.Kind == Hang {
		m.startCall(c)
		return
	}
	if m.rejectedOnArrival(c, fault) || m.failedQuickly(c) {
		return
	}
	m.applyResponseFaults(c)
	m.startCall(c)
}

// rejectedOnArrival rejects a call that its endpoint does not accept, and reports whether it did.
func (m *Model) rejectedOnArrival(c *call, fault *Fault) bool {
	e := c.endpoint
	switch {
	case fault != nil && fault.Kind == RejectAll, e.draining, c.conn != nil && c.conn.overLimit:
		m.reject(c, 0)
	case fault != nil && fault.Kind == RejectWithRetryAfter:
		m.reject(c, Time(fault.Magnitude*1e6))
	case !e.limiter.allow(m.now):
		e.limiter.countRejected(m.now)
		m.reject(c, e.destination.RateLimit.RetryAfter)
	case len(e.inService) >= e.concurrency && len(e.queue) >= e.destination.QueueLimit:
		e.limiter.refund()
		m.reject(c, 0)
	default:
		return false
	}
	return true
}

// failedQuickly draws whether a call fails, with the probability errorShare, and reports whether it does.
// A call that fails gets an error response after errorDelay. Half of the failed calls take effect.
func (m *Model) failedQuickly(c *call) bool {
	if m.draw(c, drawError) >= c.endpoint.errorShare() {
		return false
	}
	if m.draw(c, drawErrorTakesEffect) < 0.5 {
		m.takeEffect(c)
	}
	m.schedule(errorDelay, func() {
		m.respond(c, event.StatusError, 0)
		m.markFinal(c)
	})
	return true
}

// applyResponseFaults applies at most one fault that affects only the response of a call, and not its
// service: a connection reset, a malformed response or a late one.
func (m *Model) applyResponseFaults(c *call) {
	e := c.endpoint
	hit := func(kind FaultKind, purpose uint64) *Fault {
		if fault := e.activeFault(kind); fault != nil && m.draw(c, purpose) < fault.Share {
			return fault
		}
		return nil
	}
	if hit(ConnectionReset, drawConnectionReset) != nil && c.conn != nil {
		conn := c.conn
		m.endWithoutResponse(c)
		delete(m.conns, conn.id)
		delete(e.conns, conn.id)
		m.addEffect(Effect{Kind: ResetConn, Conn: conn.id})
	} else if fault := hit(MalformedResponse, drawMalformed); fault != nil {
		c.defect = fault.Defect
	} else if fault := hit(LateResponse, drawLate); fault != nil {
		c.respondAt = c.receivedAt + c.timeout + Time(fault.Magnitude*1e6)
	}
}

// serviceTime returns how long a call is in service at full speed, in µs.
func (m *Model) serviceTime(c *call) float64 {
	e := c.endpoint
	class := e.destination.ServiceTimes[c.message.Class]
	factor := class.Distribution.ServiceTime(class.CV, m.draw(c, drawServiceTime), m.draw(c, drawServiceTimeSecond))
	duration := float64(class.Mean) * factor * e.serviceTimeScale
	for _, fault := range e.faults {
		if fault.Kind == TailLatency && fault.Class == c.message.Class &&
			seededrand.Float64(m.seed, uint64(c.message.Number), drawTail) < fault.Share {
			duration *= fault.Magnitude
		}
	}
	return max(duration, 1)
}

// startCall puts a call into service, or into the queue if the endpoint serves no more at once.
func (m *Model) startCall(c *call) {
	e := c.endpoint
	if len(e.inService) >= e.concurrency {
		c.queued = true
		e.queue = append(e.queue, c)
		return
	}
	c.queued = false
	e.advanceWork(m.now)
	c.finishAt = e.workDone + m.serviceTime(c)
	heap.Push(&e.inService, c)
	m.scheduleCompletion(e)
}

// startQueued moves calls from the queue into service while the concurrency limit allows it.
func (m *Model) startQueued(e *endpoint) {
	for len(e.queue) > 0 && len(e.inService) < e.concurrency {
		c := e.queue[0]
		e.queue = e.queue[1:]
		m.startCall(c)
	}
}

// scheduleCompletion sets the timer for the next completion at an endpoint. It replaces the previous
// timer.
func (m *Model) scheduleCompletion(e *endpoint) {
	e.completionVersion++
	if len(e.inService) == 0 || e.speed <= 0 {
		return
	}
	version := e.completionVersion
	remaining := (e.inService[0].finishAt - e.workDone) / e.speed
	m.schedule(Time(math.Ceil(remaining)), func() {
		if e.completionVersion == version {
			m.completeDue(e)
		}
	})
}

// completeDue completes the calls whose service has ended.
func (m *Model) completeDue(e *endpoint) {
	const roundingError = 0.5 // µs
	e.advanceWork(m.now)
	for len(e.inService) > 0 && e.inService[0].finishAt <= e.workDone+roundingError {
		m.completeCall(heap.Pop(&e.inService).(*call))
		m.startQueued(e)
	}
	m.scheduleCompletion(e)
}

// completeCall makes a call take effect and sends its response, which a LateResponse fault may delay.
func (m *Model) completeCall(c *call) {
	m.takeEffect(c)
	m.markFinal(c)
	if delay := c.respondAt - m.now; delay > 0 {
		m.schedule(delay, func() { m.respond(c, event.StatusDelivered, 0) })
		return
	}
	m.respond(c, event.StatusDelivered, 0)
}

// takeEffect records that a call takes effect, unless the destination has seen its idempotency key
// within the dedup window.
func (m *Model) takeEffect(c *call) {
	d := c.endpoint.destination
	if c.idempotencyKey != "" && d.DedupWindow > 0 {
		if until, known := d.dedupUntil[c.idempotencyKey]; known && m.now < until {
			return
		}
		d.dedupUntil[c.idempotencyKey] = m.now + d.DedupWindow
		if m.now >= m.nextKeySweep {
			m.nextKeySweep = m.now + d.DedupWindow
			m.sweepKeys()
		}
	}
	m.record(c.newEvent(event.TookEffect))
}

// sweepKeys deletes the idempotency keys whose dedup window has ended.
func (m *Model) sweepKeys() {
	for _, d := range m.destinations {
		for key, until := range d.dedupUntil {
			if until <= m.now {
				delete(d.dedupUntil, key)
			}
		}
	}
}

// removeCall removes a call from its endpoint's queue or from service.
func (m *Model) removeCall(c *call) {
	e := c.endpoint
	for i, queued := range e.queue {
		if queued == c {
			e.queue = append(e.queue[:i:i], e.queue[i+1:]...)
			return
		}
	}
	if c.heapIndex >= 0 {
		e.advanceWork(m.now)
		heap.Remove(&e.inService, c.heapIndex)
		m.startQueued(e)
		m.scheduleCompletion(e)
	}
}

// serviceSpeed returns the work that each call in service receives per µs.
func (e *endpoint) serviceSpeed(now Time) float64 {
	if e.activeFault(Hang) != nil || e.isDown() {
		return 0
	}
	speed := 1.0
	if e.warmingUp {
		speed = e.capacityShare(now + warmUpStep/2) // at the middle of the warm-up step that begins now
	}
	for _, fault := range e.faults {
		if fault.Kind == SlowService {
			speed /= fault.Magnitude
		}
	}
	return speed
}

// advanceWork adds the work done up to now to workDone.
func (e *endpoint) advanceWork(now Time) {
	if now > e.workDoneAt {
		e.workDone += float64(now-e.workDoneAt) * e.speed
		e.workDoneAt = now
	}
}

// completionHeap orders the calls in service by completion time.
type completionHeap []*call

// Len implements heap.Interface.
func (h completionHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h completionHeap) Less(i, j int) bool {
	return h[i].finishAt < h[j].finishAt || h[i].finishAt == h[j].finishAt && h[i].number < h[j].number
}

// Swap implements heap.Interface.
func (h completionHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *completionHeap) Push(element any) {
	c := element.(*call)
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
