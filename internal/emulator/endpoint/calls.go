package endpoint

import (
	"troutusher/internal/event"
)

type call struct {
	number         uint64
	id             string
	idempotencyKey string
	message        Message
	relay          int
	endpoint       *endpoint
	conn           *conn // nil once it has ended
	attempt        int   // of its hand-in, from 0
	receivedAt     Time
	timeout        Time // the caller's time limit; 0 for none
	finishAt       float64
	heapIndex      int // in the heap of those being served; -1 outside
	respondAt      Time
	defect         ResponseDefect
	final          bool
	queued         bool
}

type conn struct {
	id          Conn
	relay       int
	endpoint    *endpoint
	used        bool
	overLimit   bool // beyond the number that the endpoint holds
	current     *call
	receiving   uint64 // number of the call whose first byte has come
	idleVersion int
}

// OpenConn books a new connection of a relay.
func (w *Model) OpenConn(now Time, ep, relay int) Conn {
	w.Advance(now)
	e := w.endpoints[ep]
	w.lastConn++
	c := &conn{id: w.lastConn, relay: relay, endpoint: e}
	c.overLimit = e.destination.MaxConns > 0 && len(e.conns) >= e.destination.MaxConns
	e.conns[c.id], w.conns[c.id] = c, c
	e.connOrder = append(e.connOrder, c.id)
	w.startIdleTimeout(c)
	return c.id
}

// CompleteHandshake books a TLS handshake that was asked for: work, like calls, for an
// endpoint that is cold.
func (w *Model) CompleteHandshake(now Time, id Conn, resumed bool) {
	w.Advance(now)
	c := w.conns[id]
	if c == nil {
		return
	}
	e := c.endpoint
	if e.handshakeCost += e.destination.FullHandshakeCost; resumed {
		e.handshakeCost += e.destination.ResumedHandshakeCost - e.destination.FullHandshakeCost
	}
	for ; e.handshakeCost >= 1; e.handshakeCost-- {
		if w.recordArrival(e, c.relay) {
			e.handshakeCost = 0
			return
		}
	}
}

// ReceiveUntrustedCall books a call that came over a connection whose proof must not have
// been accepted.
func (w *Model) ReceiveUntrustedCall(now Time, id Conn, msg string) {
	w.Advance(now)
	if c := w.conns[id]; c != nil {
		w.record(event.Event{Kind: event.Stray, Relay: c.relay, Endpoint: c.endpoint.index, ID: msg})
	}
}

// ReceiveFirstByte books the first byte of a call and returns its number.
func (w *Model) ReceiveFirstByte(now Time, id Conn) {
	w.Advance(now)
	c := w.conns[id]
	if c == nil {
		return
	}
	c.idleVersion++
	w.lastCall++
	c.receiving = w.lastCall
	w.record(event.Event{Kind: event.CallFirst, Call: c.receiving, Relay: c.relay, Endpoint: c.endpoint.index})
}

// ReceiveCall books the last byte of a call.
func (w *Model) ReceiveCall(now Time, id Conn, msg, key string, limit Time) {
	w.Advance(now)
	c := w.conns[id]
	if c == nil {
		return
	}
	if c.current != nil { // a connection carries one call at a time
		w.dropConn(c)
		w.effects = append(w.effects, Effect{Kind: ResetConn, Conn: id})
		return
	}
	x := &call{
		number:         c.receiving,
		id:             msg,
		idempotencyKey: key,
		relay:          c.relay,
		endpoint:       c.endpoint,
		conn:           c,
		receivedAt:     w.now,
		timeout:        limit,
		heapIndex:      -1,
	}
	c.current = x
	m, known := w.lookupMessage(msg)
	x.message = m
	if !known {
		w.record(event.Event{Kind: event.Stray, Call: x.number, Relay: x.relay, Endpoint: x.endpoint.index, ID: msg})
		w.respond(x, event.StatusUnknown, 0)
		return
	}
	w.record(event.Event{Kind: event.CallBegan, Call: x.number, ID: msg, Relay: x.relay, Endpoint: x.endpoint.index})
	w.inFlight[x.relay]++
	switch {
	case m.Finished:
		w.respond(x, event.StatusOver, 0)
		return
	case w.rules.MaxAttempts > 0 && w.attempts[msg] >= w.rules.MaxAttempts:
		w.respond(x, event.StatusSpent, 0)
		return
	case w.rules.MaxInFlight > 0 && w.inFlight[x.relay] > w.rules.MaxInFlight:
		w.rejectSlotsTaken(x)
		return
	}
	x.attempt = w.attempts[msg]
	w.attempts[msg]++
	d := x.endpoint.destination.OneWayDelay
	if !c.used {
		d += x.endpoint.destination.HandshakeTime
		c.used = true
	}
	if d == 0 {
		w.arrive(x)
		return
	}
	w.schedule(d, func() { w.arrive(x) })
}

// ForgetMessage lets go of what is kept for a hand-in that is over.
func (w *Model) ForgetMessage(id string) { delete(w.attempts, id) }

// ReceiveHealthCheck books a probe.
func (w *Model) ReceiveHealthCheck(now Time, id Conn) {
	w.Advance(now)
	c := w.conns[id]
	if c == nil {
		return
	}
	c.used = true
	e := c.endpoint
	w.record(event.Event{Kind: event.Probed, Relay: c.relay, Endpoint: e.index})
	if f := e.dominantFault(); f != nil && (f.Kind == Blackhole || f.Kind == Hang) {
		return
	}
	status := event.StatusDelivered
	if e.rejectsCalls() || !e.limiter.allow(w.now, 1) || w.recordArrival(e, c.relay) {
		status = event.StatusFull
	}
	if w.conns[id] == nil {
		return
	}
	w.record(event.Event{Kind: event.ProbeDone, Relay: c.relay, Endpoint: e.index, Status: status})
	w.effects = append(w.effects, Effect{Kind: WriteResponse, Conn: id, Status: status})
	w.startIdleTimeout(c)
}

// CloseConn books that the peer ended a connection.
func (w *Model) CloseConn(now Time, id Conn) {
	w.Advance(now)
	if c := w.conns[id]; c != nil {
		w.dropConn(c)
	}
}

// dropConn forgets a connection; its call has no answer.
func (w *Model) dropConn(c *conn) {
	delete(w.conns, c.id)
	delete(c.endpoint.conns, c.id)
	if o := c.endpoint.connOrder; len(o) > 32 && len(o) > 2*len(c.endpoint.conns) {
		kept := o[:0]
		for _, id := range o {
			if c.endpoint.conns[id] != nil {
				kept = append(kept, id)
			}
		}
		c.endpoint.connOrder = kept
	}
	if x := c.current; x != nil {
		w.endWithoutResponse(x)
		switch cancel := x.endpoint.destination.Cancel; {
		case x.final:
		case cancel == CancelAll, cancel == CancelQueued && x.queued:
			x.endpoint.removeCall(w, x)
			w.markFinal(x)
		}
	}
}

// endWithoutResponse: the call's connection carries it no longer.
func (w *Model) endWithoutResponse(x *call) {
	if x.conn == nil {
		return
	}
	x.conn.current, x.conn = nil, nil
	w.inFlight[x.relay]--
	w.record(event.Event{Kind: event.CallEnded, Call: x.number, ID: x.id, Relay: x.relay, Endpoint: x.endpoint.index})
}

func (w *Model) markFinal(x *call) {
	if !x.final {
		x.final = true
		w.record(
			event.Event{Kind: event.CallOver, Call: x.number, ID: x.id, Relay: x.relay, Endpoint: x.endpoint.index},
		)
	}
}

// respond has an answer written once it has travelled.
func (w *Model) respond(x *call, status int, wait Time) {
	if event.NeverRan(status) {
		w.markFinal(x)
	}
	if d := x.endpoint.destination.OneWayDelay; d > 0 && x.conn != nil && !x.endpoint.isDown() {
		w.schedule(d, func() { w.writeResponse(x, Effect{Status: status, RetryAfter: wait, Defect: x.defect}) })
		return
	}
	w.writeResponse(x, Effect{Status: status, RetryAfter: wait, Defect: x.defect})
}

func (w *Model) rejectSlotsTaken(x *call) {
	w.markFinal(x)
	w.writeResponse(x, Effect{Status: event.StatusFull, SlotsTaken: true})
}

func (w *Model) writeResponse(x *call, e Effect) {
	c := x.conn
	if c == nil {
		return
	}
	if e.Defect == DuplicateResponse && e.Status == event.StatusDelivered {
		e.Status = event.StatusDelivered
	} else if e.Defect != "" && e.Status == event.StatusDelivered {
		e.Status = event.StatusSpoilt
	}
	x.conn, c.current = nil, nil
	if e.Status != event.StatusUnknown {
		w.inFlight[x.relay]--
		w.record(
			event.Event{
				Kind:     event.CallEnded,
				Call:     x.number,
				ID:       x.id,
				Relay:    x.relay,
				Endpoint: x.endpoint.index,
				Status:   e.Status,
				Wait:     e.RetryAfter,
			},
		)
	}
	e.Kind, e.Conn, e.Close = WriteResponse, c.id, c.overLimit
	w.effects = append(w.effects, e)
	w.startIdleTimeout(c)
}

// startIdleTimeout closes a connection that stays unused.
func (w *Model) startIdleTimeout(c *conn) {
	c.idleVersion++
	ver, d := c.idleVersion, c.endpoint.destination.IdleTimeout
	if d <= 0 {
		return
	}
	w.schedule(d, func() {
		if c.idleVersion == ver && c.current == nil && w.conns[c.id] == c && !c.endpoint.isDown() {
			w.dropConn(c)
			w.effects = append(w.effects, Effect{Kind: ShutConn, Conn: c.id})
		}
	})
}
