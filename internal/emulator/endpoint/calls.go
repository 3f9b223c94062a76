package endpoint

import (
	"troutusher/internal/event"
)

type call struct {
	no     uint64
	id     string
	key    string
	msg    Message
	relay  int
	ep     *endpoint
	conn   *conn // nil once it has ended
	try    int   // of its hand-in, from 0
	began  Time
	limit  Time // the caller's time limit; 0 for none
	vend   float64
	place  int // in the heap of those being served; -1 outside
	late   Time
	form   Form
	over   bool
	queued bool
}

type conn struct {
	id      Conn
	relay   int
	ep      *endpoint
	used    bool
	over    bool // beyond the number that the endpoint holds
	call    *call
	first   uint64 // number of the call whose first byte has come
	idleVer int
}

// Open books a new connection of a relay.
func (w *World) Open(now Time, ep, relay int) Conn {
	w.Advance(now)
	e := w.ends[ep]
	w.lastConn++
	c := &conn{id: w.lastConn, relay: relay, ep: e}
	c.over = e.part.Conns > 0 && len(e.conns) >= e.part.Conns
	e.conns[c.id], w.conns[c.id] = c, c
	e.order = append(e.order, c.id)
	w.idle(c)
	return c.id
}

// Handshake books a TLS handshake that was asked for: work, like calls, for an
// endpoint that is cold.
func (w *World) Handshake(now Time, id Conn, resumed bool) {
	w.Advance(now)
	c := w.conns[id]
	if c == nil {
		return
	}
	e := c.ep
	if e.shaken += e.part.Full; resumed {
		e.shaken += e.part.Resumed - e.part.Full
	}
	for ; e.shaken >= 1; e.shaken-- {
		if w.crowd(e, c.relay) {
			e.shaken = 0
			return
		}
	}
}

// Untrusted books a call that came over a connection whose proof must not have
// been accepted.
func (w *World) Untrusted(now Time, id Conn, msg string) {
	w.Advance(now)
	if c := w.conns[id]; c != nil {
		w.say(event.Event{Kind: event.Stray, Relay: c.relay, Endpoint: c.ep.num, ID: msg})
	}
}

// First books the first byte of a call and returns its number.
func (w *World) First(now Time, id Conn) {
	w.Advance(now)
	c := w.conns[id]
	if c == nil {
		return
	}
	c.idleVer++
	w.lastCall++
	c.first = w.lastCall
	w.say(event.Event{Kind: event.CallFirst, Call: c.first, Relay: c.relay, Endpoint: c.ep.num})
}

// Call books the last byte of a call.
func (w *World) Call(now Time, id Conn, msg, key string, limit Time) {
	w.Advance(now)
	c := w.conns[id]
	if c == nil {
		return
	}
	if c.call != nil { // a connection carries one call at a time
		w.drop(c)
		w.effects = append(w.effects, Effect{Kind: DoReset, Conn: id})
		return
	}
	x := &call{no: c.first, id: msg, key: key, relay: c.relay, ep: c.ep, conn: c, began: w.now, limit: limit, place: -1}
	c.call = x
	m, known := w.lookup(msg)
	x.msg = m
	if !known {
		w.say(event.Event{Kind: event.Stray, Call: x.no, Relay: x.relay, Endpoint: x.ep.num, ID: msg})
		w.answer(x, event.StatusUnknown, 0)
		return
	}
	w.say(event.Event{Kind: event.CallBegan, Call: x.no, ID: msg, Relay: x.relay, Endpoint: x.ep.num})
	w.out[x.relay]++
	switch {
	case m.Over:
		w.answer(x, event.StatusOver, 0)
		return
	case w.rules.MaxAttempts > 0 && w.tries[msg] >= w.rules.MaxAttempts:
		w.answer(x, event.StatusSpent, 0)
		return
	case w.rules.Slots > 0 && w.out[x.relay] > w.rules.Slots:
		w.answerSlots(x)
		return
	}
	x.try = w.tries[msg]
	w.tries[msg]++
	d := x.ep.part.OneWay
	if !c.used {
		d += x.ep.part.Handshake
		c.used = true
	}
	if d == 0 {
		w.arrive(x)
		return
	}
	w.after(d, func() { w.arrive(x) })
}

// Forget lets go of what is kept for a hand-in that is over.
func (w *World) Forget(id string) { delete(w.tries, id) }

// Probe books a probe.
func (w *World) Probe(now Time, id Conn) {
	w.Advance(now)
	c := w.conns[id]
	if c == nil {
		return
	}
	c.used = true
	e := c.ep
	w.say(event.Event{Kind: event.Probed, Relay: c.relay, Endpoint: e.num})
	if f := e.worst(); f != nil && (f.Kind == Vanish || f.Kind == Hang) {
		return
	}
	status := event.StatusDelivered
	if e.shut() || !e.limit.take(w.now, 1) || w.crowd(e, c.relay) {
		status = event.StatusFull
	}
	if w.conns[id] == nil {
		return
	}
	w.say(event.Event{Kind: event.ProbeDone, Relay: c.relay, Endpoint: e.num, Status: status})
	w.effects = append(w.effects, Effect{Kind: DoAnswer, Conn: id, Status: status})
	w.idle(c)
}

// Gone books that the peer ended a connection.
func (w *World) Gone(now Time, id Conn) {
	w.Advance(now)
	if c := w.conns[id]; c != nil {
		w.drop(c)
	}
}

// drop forgets a connection; its call has no answer.
func (w *World) drop(c *conn) {
	delete(w.conns, c.id)
	delete(c.ep.conns, c.id)
	if o := c.ep.order; len(o) > 32 && len(o) > 2*len(c.ep.conns) {
		kept := o[:0]
		for _, id := range o {
			if c.ep.conns[id] != nil {
				kept = append(kept, id)
			}
		}
		c.ep.order = kept
	}
	if x := c.call; x != nil {
		w.unanswered(x)
		switch cancel := x.ep.part.Cancel; {
		case x.over:
		case cancel == CancelAll, cancel == CancelQueued && x.queued:
			x.ep.remove(w, x)
			w.over(x)
		}
	}
}

// unanswered: the call's connection carries it no longer.
func (w *World) unanswered(x *call) {
	if x.conn == nil {
		return
	}
	x.conn.call, x.conn = nil, nil
	w.out[x.relay]--
	w.say(event.Event{Kind: event.CallEnded, Call: x.no, ID: x.id, Relay: x.relay, Endpoint: x.ep.num})
}

func (w *World) over(x *call) {
	if !x.over {
		x.over = true
		w.say(event.Event{Kind: event.CallOver, Call: x.no, ID: x.id, Relay: x.relay, Endpoint: x.ep.num})
	}
}

// answer has an answer written once it has travelled.
func (w *World) answer(x *call, status int, wait Time) {
	if event.NeverRan(status) {
		w.over(x)
	}
	if d := x.ep.part.OneWay; d > 0 && x.conn != nil && !x.ep.dead() {
		w.after(d, func() { w.write(x, Effect{Status: status, Wait: wait, Form: x.form}) })
		return
	}
	w.write(x, Effect{Status: status, Wait: wait, Form: x.form})
}

func (w *World) answerSlots(x *call) {
	w.over(x)
	w.write(x, Effect{Status: event.StatusFull, Slots: true})
}

func (w *World) write(x *call, e Effect) {
	c := x.conn
	if c == nil {
		return
	}
	if e.Form == Copy && e.Status == event.StatusDelivered {
		e.Status = event.StatusDelivered
	} else if e.Form != "" && e.Status == event.StatusDelivered {
		e.Status = event.StatusSpoilt
	}
	x.conn, c.call = nil, nil
	if e.Status != event.StatusUnknown {
		w.out[x.relay]--
		w.say(
			event.Event{
				Kind: event.CallEnded, Call: x.no, ID: x.id, Relay: x.relay, Endpoint: x.ep.num, Status: e.Status,
				Wait: e.Wait,
			},
		)
	}
	e.Kind, e.Conn, e.Close = DoAnswer, c.id, c.over
	w.effects = append(w.effects, e)
	w.idle(c)
}

// idle closes a connection that stays unused.
func (w *World) idle(c *conn) {
	c.idleVer++
	ver, d := c.idleVer, c.ep.part.Idle
	if d <= 0 {
		return
	}
	w.after(d, func() {
		if c.idleVer == ver && c.call == nil && w.conns[c.id] == c && !c.ep.dead() {
			w.drop(c)
			w.effects = append(w.effects, Effect{Kind: DoClose, Conn: c.id})
		}
	})
}
