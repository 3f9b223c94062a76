package endpoint

import (
	"container/heap"
	"fmt"
	"math"

	"troutusher/internal/rehearsal/event"
	"troutusher/internal/seededrand"
)

// Message is what a stand-in knows of a message that calls may bring.
type Message struct {
	Num   int // in the plan; its service times are drawn for it
	Class int
	Dest  int
	Over  bool // nothing more is owed for the hand-in
}

// Rules are the figures that hold for every partner.
type Rules struct {
	Relays      int
	Slots       int // calls that a relay may have out at once; 0 for any number
	MaxAttempts int // calls for one hand-in; 0 for any number
}

// Conn names a connection. 0 is none.
type Conn uint64

// Listen says how an endpoint meets new connections.
type Listen uint8

// Ways to meet new connections.
const (
	Accepting Listen = iota
	Refusing         // no listener
	Silent           // they never come up
)

// EffectKind says what an Effect asks for.
type EffectKind uint8

// Kinds of effect.
const (
	DoAnswer EffectKind = iota // write an answer on Conn: Status, Wait, Form; then Close
	DoReset                    // reset Conn
	DoClose                    // close Conn
	DoListen                   // Endpoint meets new connections as Listen says
)

// Effect is something that the model asks of its driver.
type Effect struct {
	Kind     EffectKind
	Conn     Conn
	Endpoint int
	Status   int
	Wait     Time
	Slots    bool // the answer says that all slots of this relay were taken
	Form     Form
	Close    bool
	Listen   Listen
}

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

// World is all partners of a rehearsal.
type World struct {
	seed     uint64
	rules    Rules
	lookup   func(id string) (Message, bool)
	emit     func(event.Event)
	parts    []*part
	ends     []*endpoint
	conns    map[Conn]*conn
	lastConn Conn
	lastCall uint64
	tries    map[string]int
	out      []int // calls of each relay
	agenda   agenda
	seq      uint64
	now      Time
	effects  []Effect
	keySweep Time
}

// New makes the world. lookup tells of messages that were handed in; emit
// takes what happens, in order.
func New(
	specs []Spec, rules Rules, seed uint64, lookup func(id string) (Message, bool), emit func(event.Event),
) (*World, error) {
	w := &World{
		seed: seed, rules: rules, lookup: lookup, emit: emit, conns: map[Conn]*conn{}, tries: map[string]int{},
		out: make([]int, rules.Relays),
	}
	for _, s := range specs {
		if err := s.check(); err != nil {
			return nil, err
		}
		p := &part{Spec: s, limit: newBucket(s.Limit), keys: map[string]Time{}}
		slots, pace := s.slots()
		shared := &yard{}
		for range s.Endpoints {
			ep := &endpoint{
				num: len(w.ends), part: p, slots: slots, pace: pace, conns: map[Conn]*conn{}, speed: 1, limit: p.limit,
				yard: shared,
			}
			if s.Apart {
				ep.limit, ep.yard = newBucket(s.Limit), &yard{}
			}
			ep.yard.ends = append(ep.yard.ends, ep)
			w.ends = append(w.ends, ep)
		}
		w.parts = append(w.parts, p)
	}
	return w, nil
}

// Endpoints is the number of endpoints; they are numbered from 0 in the
// partners' order.
func (w *World) Endpoints() int { return len(w.ends) }

// Dest is the destination of an endpoint.
func (w *World) Dest(ep int) int { return w.ends[ep].part.Dest }

// Capacity is what an endpoint can do at a moment, in calls a second. Slow
// faults are not counted: the rule on returning destinations is about being cold.
func (w *World) Capacity(ep int, now Time) float64 {
	e := w.ends[ep]
	return e.part.Capacity * e.warmth(now)
}

// Next is the moment at which the model wants to be stepped; false for none.
func (w *World) Next() (Time, bool) {
	if len(w.agenda) == 0 {
		return 0, false
	}
	return w.agenda[0].at, true
}

// Advance carries out all that is due at now. Moments never go back.
func (w *World) Advance(now Time) {
	for len(w.agenda) > 0 && w.agenda[0].at <= now {
		it := heap.Pop(&w.agenda).(item)
		w.now = max(w.now, it.at)
		it.do()
	}
	w.now = max(w.now, now)
}

// Take hands over the effects so far.
func (w *World) Take(into []Effect) []Effect {
	into = append(into, w.effects...)
	clear(w.effects)
	w.effects = w.effects[:0]
	return into
}

func (w *World) after(d Time, do func()) {
	w.seq++
	heap.Push(&w.agenda, item{w.now + max(d, 0), w.seq, do})
}

func (w *World) say(e event.Event) {
	e.At = w.now
	w.emit(e)
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

// item is a moment on the agenda.
type item struct {
	at  Time
	seq uint64
	do  func()
}

type agenda []item

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *agenda) Push(x any) { *a = append(*a, x.(item)) }

// Pop implements heap.Interface.
func (a *agenda) Pop() any {
	old := *a
	x := old[len(old)-1]
	old[len(old)-1] = item{}
	*a = old[:len(old)-1]
	return x
}

// bucket counts what a partner takes.
type bucket struct {
	Limit
	level float64 // RateLimit: calls that may come now
	at    Time
	span  int64 // WindowLimit: number of the span
	used  float64
}

func newBucket(l Limit) *bucket { return &bucket{Limit: l, level: max(l.Depth, 1)} }

func (b *bucket) fill(now Time) {
	switch b.Kind {
	case RateLimit:
		b.level = min(b.level+float64(now-b.at)*b.PerSecond/1e6, max(b.Depth, 1))
		b.at = now
	case WindowLimit:
		if span := now / b.Window; span != b.span {
			b.span, b.used = span, 0
		}
	}
}

// most is the count that a span takes, a whole number.
func (b *bucket) most() float64 { return math.Floor(b.PerSecond*float64(b.Window)/1e6 + 1e-9) }

// take reports whether the limit has room, and uses it up.
func (b *bucket) take(now Time, n float64) bool {
	b.fill(now)
	switch b.Kind {
	case RateLimit:
		if b.level < n {
			return false
		}
		b.level -= n
	case WindowLimit:
		if b.used+n > b.most() {
			return false
		}
		b.used += n
	}
	return true
}

// refused: at some partners a refused call uses the limit up too.
func (b *bucket) refused(now Time) {
	if b.RefusedSpend {
		b.fill(now)
		b.level = max(b.level-1, 0)
		b.used++
	}
}

// giveBack: the call was turned away for another reason.
func (b *bucket) giveBack(now Time) {
	if b.RefusedSpend {
		return
	}
	b.level = min(b.level+1, max(b.Depth, 1))
	b.used = max(b.used-1, 0)
}
