// Package decide makes every decision of a relay; its interface (settings, events, actions) is api.go.
// The ordinary path is adaptive throttling for each destination (requests against accepts, a capped drop
// chance) with a window on calls in flight; what departs from it names its condition at its place. What is
// remembered is in state.go.
package decide

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	second      = Time(1e6)
	historySpan = 10 * second // requests and accepts are counted over this
	historyBins = 20
	accepts     = 2.0 // K of the formula
	prior       = 2.0 // accepts that a destination has to its credit: a few calls tell nothing
	dropCap     = 0.9 // P1: some attempts always pass
	slotShare   = 0.75
	failShare   = 0.5  // the same while the destination fails
	boostFall   = 0.75 // pace after a refusal
	boostRise   = 1.08 // pace after a success that the pace had kept waiting
	boostLeast  = 0.5
	cutFall     = 0.5  // rate after a refusal, to what this relay has sent there of late
	cutLeast    = 0.5  // and at least this part of an even share of the limit
	cutRise     = 0.1  // even shares that come back each second
	shareRoot   = 0.75 // a share is the rate over relays to this power: small streams need room
	scoreKeep   = 0.7  // weight of the past in an endpoint's failure score
	scoreSick   = 0.6  // most calls fail: three in a row from a clean start pass it
	restGrowth  = 3.0  // a rest after a failure, to the time since the first of the run, with many relays
	fullRunSick = 2    // refusals in a row, half a fall time apart, with no success between: shut, not busy
	budgetPart  = 1.0  // part of the fail-back budget that is used
	sharerPart  = 2.0  // relays thought to want a trial, to the messages that an outage has kept waiting
	unsafeWait  = 4    // times as long a call of unsafe messages is waited for under slot pressure
	owedLoss    = 1e12 // over the time that is left, in µs: more than any message is worth
	heldReserve = 16   // one part in so many of the room is kept free
	noConnTight = 0.05 // share of calls without a connection above which connections are taken to run out
	tightSpan   = 20   // calls over which that share is told
)

// New makes a policy from its settings; the seed feeds all its draws.
func New(s Settings, seed uint64) (*Policy, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	p := &Policy{set: s, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), eps: map[Endpoint]*endpoint{},
		msgs: map[uint32]*message{}, lines: map[uint64]*line{}, tenants: make([]bucket, len(s.Tenants))}
	p.tight = make([]float64, max(len(s.Kinds), 1))
	p.set.Classes = slices.Clone(s.Classes)
	p.set.Streams = max(s.Streams, 1)
	p.set.Tick = max(s.Tick, second/1000)
	p.share = math.Pow(float64(s.Relays), shareRoot)
	return p, nil
}

// Step takes what has happened by now and appends what to do about it.
func (p *Policy) Step(now Time, events []Event, actions []Action) []Action {
	p.now, p.out = max(now, p.now), actions
	if p.set.AskForList && (p.asked == 0 || p.now-p.asked >= p.set.AskEvery/2) {
		p.asked = p.now
		p.act(Action{Kind: ActWatch})
	}
	for i := range events {
		e := &events[i]
		switch e.Kind {
		case EvList:
			p.members(e)
		case EvMessage:
			p.admit(e)
		case EvOutcome:
			p.outcome(e)
		case EvBarred:
			p.bar(e)
		case EvBegun, EvWithdraw:
			m := p.msgs[e.Message]
			if m != nil && (e.Kind == EvWithdraw || m.call != nil && e.Attempt == m.tries-1) {
				p.finish(m)
			}
		}
	}
	p.expire()
	p.shed()
	p.dispatch()
	p.arm()
	out := p.out
	p.out = nil
	return out
}

// ---- membership

// members takes news of the list. What is draining or gone gets nothing new from this moment on.
func (p *Policy) members(e *Event) {
	if e.List == ListFailed {
		return // asked again by the clock
	}
	seen := map[Endpoint]bool{}
	for i := range e.Entries {
		x := &e.Entries[i]
		seen[x.Endpoint] = true
		ep := p.eps[x.Endpoint]
		if ep != nil && ep.lane.dest.id != x.Dest { // it moved: nothing of the old place may be sent to
			p.leave(ep)
			ep = nil
		}
		switch {
		case x.State == Gone:
			if ep != nil {
				p.leave(ep)
			}
			continue
		case ep == nil || ep.state == Gone: // the second is kept for its wait
			ep = p.join(x)
		}
		ep.state, ep.zone, ep.opening = x.State, x.Zone, x.Opening
		if p.set.RatesListed && x.Rate > 0 {
			ep.lane.nominal = x.Rate
		}
		if l := ep.lane; !l.tokens.used && p.wide(l) {
			l.tokens = bucket{p.now, 1, true} // what a whole fleet gets as it starts would go in one burst
		}
		p.touch(ep.lane.dest)
	}
	if e.Memory != nil {
		p.wake(e)
	}
	if e.List == ListFull || e.List == ListCached {
		for id, ep := range p.eps { // each leaves by itself: the order does not matter
			if !seen[id] {
				p.leave(ep)
			}
		}
	}
}

// leave lets go of an endpoint, sick or not; calls still out there keep their place in the books. A route
// with a wait in force stays, so that the wait binds it if it comes back.
func (p *Policy) leave(ep *endpoint) {
	ep.state = Gone
	l := ep.lane
	if p.eps[ep.id] == ep && (!l.dest.kind.Apart || l.waitUntil <= p.now) {
		delete(p.eps, ep.id)
	} else if p.eps[ep.id] == ep {
		p.later.add(l.waitUntil, func() {
			if p.eps[ep.id] == ep && ep.state == Gone {
				p.leave(ep)
			}
		})
	}
	l.eps = slices.DeleteFunc(l.eps, func(x *endpoint) bool { return x == ep })
	if l.dest.kind.Apart {
		l.dest.lanes = slices.DeleteFunc(l.dest.lanes, func(x *lane) bool { return x == l })
	}
}

func (p *Policy) join(x *Entry) *endpoint {
	d := p.dest(x.Dest)
	if x.Kind >= 0 && x.Kind < len(p.set.Kinds) {
		d.kind, d.kindAt = p.set.Kinds[x.Kind], x.Kind
	}
	d.kind.Batch = max(d.kind.Batch, 1)
	if len(d.lanes) == 0 || d.kind.Apart {
		d.lanes = append(d.lanes, &lane{dest: d, window: 1, boost: 1,
			hist: newCounter(historySpan, historyBins)})
	}
	l := d.lanes[len(d.lanes)-1]
	if old := p.eps[x.Endpoint]; old != nil && d.kind.Apart {
		l.waitUntil = old.lane.waitUntil
	}
	ep := &endpoint{id: x.Endpoint, lane: l}
	l.eps = append(l.eps, ep)
	p.eps[x.Endpoint] = ep
	return ep
}

// bar takes word that an endpoint's identity is not proved, or is again. The next message cannot mend it, so
// none is spent on asking: what cannot wait for the next proof is ended now, with the time to come back.
func (p *Policy) bar(e *Event) {
	ep := p.eps[e.Endpoint]
	if ep == nil {
		return
	}
	ep.barred = p.now + max(e.Wait, 0)
	p.touch(ep.lane.dest)
	for _, m := range slices.Clone(ep.lane.dest.queue) {
		p.barredOut(m)
	}
}

// barredOut ends a message whose destination proves itself again after its deadline at the soonest.
func (p *Policy) barredOut(m *message) {
	if m.call == nil && p.proved(m.dest) >= m.deadline-p.margin() {
		p.end(m, NoProof)
	}
}

// proved is when some endpoint of a destination may be asked again: at once where one is not barred or none
// is known.
func (p *Policy) proved(d *dest) Time {
	at := Time(math.MaxInt64)
	for _, l := range d.lanes {
		for _, ep := range l.eps {
			at = min(at, ep.barred)
		}
	}
	if at <= p.now || at == math.MaxInt64 {
		return 0
	}
	return at
}

// ---- admit and hold

// admit takes a message into the queue of its destination.
func (p *Policy) admit(e *Event) {
	if p.msgs[e.Message] != nil {
		return
	}
	if e.Class < 0 || e.Class >= len(p.set.Classes) {
		p.act(Action{Kind: ActRefuse, Message: e.Message, Why: Unknown}) // and nothing has run
		return
	}
	c := &p.set.Classes[e.Class]
	m := &message{id: e.Message, key: e.Key, class: c, dest: p.dest(e.Dest), worth: c.Worth}
	m.deadline, m.owed = p.now+max(e.Left, 0), e.Resumed && e.Tries == 0
	m.aimAt = m.deadline - c.Deadline + c.Aim
	if p.set.WorthByWork && e.Work > 0 {
		m.worth *= float64(e.Work)
	}
	if e.Tenant >= 0 && e.Tenant < len(p.tenants) && p.set.Tenants[e.Tenant].Quota > 0 {
		// Tenants over their share come last. The share is judged by this relay's part alone.
		part := p.set.Tenants[e.Tenant].Quota / float64(p.set.Relays)
		b := &p.tenants[e.Tenant]
		if !b.take(p.now, 1, part, max(part, 1)) {
			m.worth *= p.set.OverShareWorth
		}
	}
	m.worth = cmp.Or(e.Worth, m.worth)
	p.msgs[m.id] = m
	m.place = len(p.live)
	p.live = append(p.live, m)
	p.later.add(m.deadline-p.margin(), func() { p.look(m) })
	for _, l := range m.dest.lanes {
		if e.Resumed && l.cutAt == 0 && p.wide(l) {
			// It waited, perhaps since it was refused. After a release whole fleets have such, and what each
			// holds would go in the same second.
			l.cut, l.cutAt = p.capacity(l)/float64(p.set.Relays), p.now
		}
	}
	p.resume(m, e)
	m.dest.queue = append(m.dest.queue, m)
	p.touch(m.dest)
	if ep := p.eps[e.SentTo]; ep != nil && e.SentAt > 0 {
		p.aloftAt(m, ep, e.SentAt)
	}
	if c.InOrder && m.key != 0 {
		l := p.lines[m.key]
		if l == nil {
			l = &line{}
			p.lines[m.key] = l
		}
		l.turns = append(l.turns, m)
	}
	p.barredOut(m)
}

// value is what a message is worth if it is delivered then.
func (p *Policy) value(m *message, then Time) float64 {
	switch {
	case then <= m.aimAt:
		return m.worth
	case then > m.deadline:
		return 0
	case p.set.Halving:
		half := math.Exp2(-float64(then-m.aimAt) / float64(max(m.class.Aim, 1)))
		return m.worth * max(m.class.LateWorth, half)
	}
	gone := float64(then-m.aimAt) / float64(max(m.deadline-m.aimAt, 1))
	return m.worth * (1 - (1-m.class.LateWorth)*gone)
}

// drain is how long the destination takes for what waits there, as far as this relay can tell.
func (p *Policy) drain(d *dest) Time {
	rate := 0.0
	for _, l := range d.lanes {
		rate += p.pace(l)
	}
	wait := float64(len(d.queue)) / max(rate*float64(d.kind.Batch), 0.1)
	return Time(min(wait, 60)*1e6) + p.usual(d)
}

func (p *Policy) usual(d *dest) Time {
	if len(d.lanes) > 0 && d.lanes[0].lat.n > 0 {
		return Time(d.lanes[0].lat.mean)
	}
	if p.lat.n > 0 {
		return Time(p.lat.mean)
	}
	return p.set.Classes[0].Aim / 4
}

// shed keeps a little room: a message turned away unseen may be worth more than the least one held, and those
// whose destination is out or resting for long must not take the room of the others.
func (p *Policy) shed() {
	for p.set.MaxHeld > 0 && len(p.live) > p.set.MaxHeld-max(1, p.set.MaxHeld/heldReserve) {
		var least *message
		low := math.Inf(1)
		p.passes++
		for _, m := range p.live {
			if p.refusable(m) && !m.owed {
				d := m.dest
				if d.pass != p.passes { // the same for all that wait there
					at := p.opens(d)
					if at == math.MaxInt64 { // an answer, not the time, lets it go
						at = p.now
					}
					d.pass, d.doneAt = p.passes, at+p.drain(d)
				}
				if v := p.value(m, min(d.doneAt, m.deadline)); v < low {
					least, low = m, v
				}
			}
		}
		if least == nil {
			return
		}
		p.end(least, NoRoom)
	}
}

// ---- settle

// refusable: only what cannot have run, or may run again, may be handed back.
func (p *Policy) refusable(m *message) bool {
	if m.call != nil || m.doubtAt == 0 || m.class.Repeat == Safe {
		return m.call == nil
	}
	return m.class.Repeat == Keyed && !m.class.ZoneOnly && p.now-m.doubtAt < m.class.DedupWindow
}

// end gives the one final answer of a message that was not delivered. Nothing else does.
func (p *Policy) end(m *message, why Reason) {
	if m.over {
		return
	}
	if p.refusable(m) {
		a := Action{Kind: ActRefuse, Message: m.id, Why: why}
		if p.set.RetryAfter {
			a.After = min(max(p.drain(m.dest), p.proved(m.dest)-p.now), p.set.MaxRetryAfter)
		}
		p.act(a)
	} else {
		p.act(Action{Kind: ActFail, Message: m.id, Why: why})
	}
	p.finish(m)
}

// finish forgets a message that is owed nothing more; an attempt still out keeps its place in the books.
func (p *Policy) finish(m *message) {
	if m.over {
		return
	}
	m.over = true
	if m.call != nil {
		p.aloft--
	}
	last := p.live[len(p.live)-1]
	p.live[m.place], last.place = last, m.place
	p.live = p.live[:len(p.live)-1]
	m.dest.queue = slices.DeleteFunc(m.dest.queue, func(x *message) bool { return x == m })
	if m.call == nil {
		p.forget(m)
	}
}

// forget drops the last trace of an ended message and gives its turn away.
func (p *Policy) forget(m *message) {
	delete(p.msgs, m.id)
	if l := p.lines[m.key]; l != nil && m.class.InOrder {
		l.turns = slices.DeleteFunc(l.turns, func(x *message) bool { return x == m })
		for _, x := range l.turns[:min(1, len(l.turns))] {
			p.touch(x.dest)
		}
		if len(l.turns) == 0 {
			p.later.add(l.rest, func() {
				if len(l.turns) == 0 && l.rest <= p.now {
					delete(p.lines, m.key)
				}
			})
		}
	}
}

// expire does what was put off to this moment.
func (p *Policy) expire() {
	for f, ok := p.later.due(p.now); ok; f, ok = p.later.due(p.now) {
		f()
	}
}

// look ends a message that would run out of time before the next look, or that can never be sent again.
func (p *Policy) look(m *message) {
	if m.over || p.now < m.deadline-p.margin() && (m.call != nil || !p.spent(m)) {
		return
	}
	if m.call != nil && p.set.Cancels {
		p.act(Action{Kind: ActCancel, Message: m.id, Attempt: m.tries - 1})
	}
	if p.now < m.deadline-p.margin() {
		p.end(m, NoAttempts)
	} else {
		p.end(m, OutOfTime)
	}
}

// giveBack closes the idle connections of an endpoint that has not been used since.
func (p *Policy) giveBack(ep *endpoint) {
	left := ep.idleAt + p.keep(ep) - p.now
	if ep.watched = ep.flying == 0 && left > 0; ep.watched {
		p.later.add(p.now+min(left, p.set.KeepAlive/8+1), func() { p.giveBack(ep) }) // keep may have changed
	} else if ep.flying == 0 {
		ep.conns = 0
		p.act(Action{Kind: ActClose, Endpoint: ep.id})
	}
}

func (p *Policy) margin() Time { return 3 * p.set.Tick }

// spent: no further attempt of this message is allowed, ever.
func (p *Policy) spent(m *message) bool {
	if m.tries >= 255 || p.set.MaxAttempts > 0 && m.tries-m.void >= p.set.MaxAttempts {
		return true
	}
	if m.doubtAt == 0 || m.class.Repeat == Safe {
		return false
	}
	return m.class.Repeat == Unsafe || p.now >= p.lastByte(m)
}

const keyedWay = Time(200e3) // from a repeat's last byte to its endpoint at most, or 1/20 of the window

// lastByte is the moment from which a message is not remembered for certain where a repeat of it arrives; 0
// where that does not matter. A connection that comes up late makes a repeat late that was in time.
func (p *Policy) lastByte(m *message) Time {
	if m.doubtAt == 0 || m.class.Repeat != Keyed {
		return 0
	}
	return m.doubtAt + m.class.DedupWindow - max(2*p.set.Tick, min(keyedWay, m.class.DedupWindow/20))
}

// outcome books the end of an attempt, for the message, its call, its endpoint and its lane.
func (p *Policy) outcome(e *Event) {
	m := p.msgs[e.Message]
	if m == nil || m.call == nil || e.Attempt != m.tries-1 || e.Outcome >= numOutcome {
		return
	}
	c := m.call
	m.call = nil
	if !m.over {
		p.aloft--
	}
	c.left--
	if c.left == 0 {
		p.calls--
		c.ep.flying--
		c.ep.lane.flying--
		c.ep.lane.dest.flying--
		if c.ep.idleAt = p.now; c.ep.flying == 0 && p.set.KeepAlive > 0 && !c.ep.watched {
			p.giveBack(c.ep)
		}
	}
	p.touch(c.ep.lane.dest)
	if !c.noted { // the messages of a call share one fate, and count once
		c.noted = true
		p.observe(c, e)
	}
	if e.Wait > 0 && (e.Outcome == Full || e.Outcome == Errored) { // the second: its answer was spoilt later
		l := c.ep.lane
		if ep := p.eps[c.ep.id]; ep == nil { // it has left since, and may come back before the wait is over
			p.eps[c.ep.id] = c.ep
			defer p.leave(c.ep)
		} else if ep.lane.dest == l.dest {
			l = ep.lane // it is back already
		}
		l.waitUntil = max(l.waitUntil, p.now+e.Wait)
		for _, x := range l.eps { // what is saved up while it is closed would go at once
			x.budget.tokens, x.budget.at = 0, l.waitUntil
		}
	}
	doubtful := e.Outcome == TimedOut || e.Outcome == Reset || e.Outcome == Cancelled
	if l := p.lines[m.key]; l != nil && m.class.InOrder && doubtful {
		l.rest = max(l.rest, p.now+p.set.KeyRest)
	}
	if !e.Outcome.NeverRan() && e.Outcome != Delivered && m.doubtAt == 0 {
		p.doubt(m, c.sent, c.ep.zone)
	}
	if e.Void && m.void < p.set.MaxAttempts { // bounded: what keeps it from leaving may last
		m.void++
	} else {
		m.failedAt = c.ep
	}
	m.owed = m.owed && e.Void
	switch {
	case m.over:
		p.forget(m)
	case e.Outcome == Delivered || e.Settled:
		p.finish(m)
	default:
		m.dest.queue = append(m.dest.queue, m)
		p.later.add(p.now, func() { p.look(m) })
	}
}

// settle pays for the connections that were opened for a call and not thought of, and gives back what was
// paid for none.
func (p *Policy) settle(c *call, e *Event) {
	ep := c.ep
	if ep.opening == 0 {
		return
	}
	owed := float64(e.Opened) * ep.opening
	if answered := e.Outcome == Delivered || e.Outcome == Full; c.opens && (e.Opened > 0 || answered) {
		owed -= ep.opening // else it may have been tried in vain, which is work too
	}
	ep.lane.tokens.tokens -= owed
	if ep.sick {
		ep.budget.tokens -= owed
	}
	switch e.Outcome { // its connection went with it, idle ones may have, or there was none
	case TimedOut, Reset, Cancelled, NotSent:
		ep.conns = ep.flying
	}
}

// scarce books whether connections run out. A call that found none tells of it only where another one that
// was out in that moment was answered: what is down takes none either, and to close those kept to its
// siblings has a whole fleet open them all again.
func (p *Policy) scarce(c *call, o Outcome) {
	ep, t := c.ep, &p.tight[c.ep.lane.dest.kindAt]
	answered := o == Delivered || o == Full || o == Errored
	switch {
	case o == NoConnect && ep.okAt < c.sent:
		ep.missedAt = p.now // an answer may show it yet
	case o == NoConnect || answered && ep.missedAt > c.sent:
		*t += (1 - *t) / tightSpan
		ep.missedAt = 0
	case answered:
		*t -= *t / tightSpan
	}
}

// observe learns from how a call went.
func (p *Policy) observe(c *call, e *Event) {
	ep, l := c.ep, c.ep.lane
	if e.Load.Limit > 0 {
		l.limit = e.Load.Limit
	}
	p.scarce(c, e.Outcome)
	p.settle(c, e)
	switch e.Outcome {
	case Delivered:
		l.hist.accept(p.now)
		l.window = min(l.window+1, float64(p.set.Slots))
		l.fullRun = 0
		l.lat.add(float64(e.Took))
		ep.lat.add(float64(e.Took))
		p.lat.add(float64(e.Took))
		if l.bound && e.Opened == 0 { // a connection that was waited for says nothing of the rate
			l.boost = min(l.boost*boostRise, float64(p.set.Relays))
		}
		p.healthy(ep, c.sent)
	case Full:
		l.window = max(l.window/2, 1)
		p.cut(l)
		l.boost = max(l.boost*boostFall, boostLeast)
		if l.fullRun++; l.fullRun == 1 {
			l.fullAt = p.now
		}
		if l.limit == 0 && l.nominal == 0 {
			l.nominal = max(l.hist.acceptRate(p.now), 1) * float64(p.set.Relays)
		}
		rate, _, _ := p.budgetRate(ep)
		age := float64(p.now-l.fullAt) / float64(second)
		turn := min(float64(p.set.Relays)/p.capacity(l), float64(c.msgs[0].class.Aim)/float64(second))
		gap := float64(second) * max(turn, 1/p.depth(l), min(1/rate, p.growth(l)*age))
		l.pauseUntil = p.now + Time(gap*(0.5+p.rng.Float64()))
		if e.Wait > 0 { // all who were told wake together: each comes at a moment of its own
			l.pauseUntil = max(l.pauseUntil, p.now+e.Wait+Time(turn*float64(second)*p.rng.Float64()))
		}
		if e.Wait >= p.set.FallTime || l.fullRun >= fullRunSick && p.now-l.fullAt >= p.set.FallTime/2 {
			ep.score = 1 // shut, however seldom it was asked
			p.failed(ep, c.sent, false)
		}
	case Cancelled: // it tells something only where nothing sent since has come back
		if ep.okAt <= c.sent {
			p.failed(ep, c.sent, true)
		}
	case TimedOut:
		l.window = max(l.window/2, 1)
		p.failed(ep, c.sent, true)
	case NoConnect:
		ep.conns = ep.flying
		p.failed(ep, c.sent, true)
	case NotSent:
		if e.Wait > 0 { // no connection could be opened by then, for reasons of our own
			l.pauseUntil = max(l.pauseUntil, p.now+e.Wait)
		}
	case Errored, Reset:
		p.failed(ep, c.sent, false)
	}
}

// ---- recovery

// healthy books a success. In an outage it starts the ramp, if the call left after the last failure.
func (p *Policy) healthy(ep *endpoint, sent Time) {
	ep.score *= scoreKeep
	ep.okAt = p.now
	if ep.sick && ep.goodAt == 0 && sent >= ep.badAt {
		ep.goodAt, ep.goodSent = sent-(sent-ep.badAt)/2, sent
		for _, x := range ep.lane.eps {
			if x.sick && x.goodAt == 0 && x.firstBad == ep.firstBad && x.badAt <= sent {
				x.goodAt, x.goodSent = ep.goodAt, sent
			}
		}
		p.logf("dest %d: answers again, ramp", ep.lane.dest.id)
	}
}

// failed books a failure. Two close together are an outage, for siblings too that have shown nothing since.
func (p *Policy) failed(ep *endpoint, sent Time, mute bool) {
	if ep.goodAt > 0 && sent < ep.goodSent {
		return // a call from before the return tells nothing of it
	}
	if ep.badAt <= ep.okAt {
		ep.firstBad = p.now
	}
	ep.score = ep.score*scoreKeep + 1 - scoreKeep
	if ep.goodAt == 0 || ep.score >= scoreSick { // where most calls pass, a failure does not undo the ramp
		ep.badAt, ep.goodAt, ep.mute = p.now, 0, mute
	}
	if ep.sick || ep.score < scoreSick {
		ep.restUntil = p.now + Time(p.growth(ep.lane)*float64(p.now-ep.firstBad)) // until the verdict is in
		return
	}
	for _, x := range ep.lane.eps {
		if x == ep || !x.sick && x.okAt < ep.firstBad {
			x.sick, x.mute, x.goodAt, x.badAt = true, mute, 0, p.now
			x.budget, x.firstBad = bucket{}, ep.firstBad
			x.budget.at, x.need = p.now, p.rng.ExpFloat64()
		}
	}
	p.logf("dest %d: seen failing, trial calls", ep.lane.dest.id)
}

// ramped is the share of its capacity that an endpoint is held to have.
func (p *Policy) ramped(ep *endpoint) float64 {
	s := p.set.StartCapacity
	if ep.goodAt > 0 {
		s += (1 - s) * float64(p.now-ep.goodAt) / float64(max(p.set.RampTime, 1))
	}
	if s >= 1 && ep.goodAt > 0 {
		if ep.sick && ep.opening > 0 { // what the budget has held back would go at once, each on its own
			ep.lane.tokens = bucket{p.now, 0, true}
		}
		ep.sick, ep.score = false, 0
	}
	return s
}

// budgetRate is this relay's part of what the endpoint may be sent while cold: calls a second, and how many
// may come at once. A burst and the refill of one fall time together stay inside the budget. It is shared by
// the relays that may have something for the destination since the outage began: all of them where they are
// few, else about as many as messages have come since. rare: it is less than one call.
func (p *Policy) budgetRate(ep *endpoint) (rate, depth float64, rare bool) {
	n := 0
	for _, x := range ep.lane.eps {
		if x.state != Gone {
			n++
		}
	}
	fall := float64(max(p.set.FallTime, second)) / float64(second)
	whole := p.capacity(ep.lane)
	age := float64(p.now-ep.firstBad)/float64(second) + fall
	sharers := min(float64(p.set.Relays), max(1, sharerPart*whole*age))
	part := budgetPart * p.set.OverloadFactor * whole / float64(max(n, 1)) * fall / sharers
	b := part * p.ramped(ep)
	if depth = b / 4; ep.opening > 0 { // a connection and its call come at once
		depth = max(depth, 1+ep.opening)
	}
	if depth >= 1 && depth <= b {
		rate = (b - depth) / fall
		if ep.goodAt > 0 {
			// On a ramp it bears what a fall time allows on average, not what it can do by its end: so
			// less may be saved up, by a relay that was restarted or had nothing to send.
			rise := (1 - p.set.StartCapacity) * fall * 1e6 / float64(max(p.set.RampTime, 1))
			depth = max(depth-part*rise/2, 1+ep.opening)
		}
		return rate, depth, false
	}
	return b / fall, depth, true
}

// price is what the next call to a cold endpoint takes out of its budget.
func (p *Policy) price(ep *endpoint) float64 { return ep.need * (1 + p.opening(ep)) }

// rests: it failed, and the verdict is not in.
func (p *Policy) rests(ep *endpoint) bool { return !ep.sick && ep.restUntil > p.now }

// mayCall: every guard on an endpoint, whoever asks.
func (p *Policy) mayCall(ep *endpoint) bool {
	if ep.state != Ready || ep.barred > p.now || ep.lane.waitUntil > p.now || p.rests(ep) {
		return false
	}
	rate, depth, _ := p.budgetRate(ep)
	if !ep.sick || ep.goodAt == 0 && ep.mute && ep.flying > 0 {
		return !ep.sick // what does not answer would pin a slot for each trial
	}
	need := p.price(ep)
	return ep.budget.level(p.now, rate, max(depth, need)) >= need
}

// patience is how long a call usually takes there at most.
func (p *Policy) patience(ep *endpoint) Time {
	if ep.lat.n == 0 {
		return 4 * p.usual(ep.lane.dest)
	}
	return Time(4*ep.lat.mean + 4*ep.lat.dev)
}

// review calls off a call that has been out for its patience while every slot was taken and messages waited
// for as long: a time-out at the aim is right for a slot that nobody wants, not for the last one. It guards
// against calls that hang here and there where others are answered, and against many slow ones at once. Harm:
// work nearly done is done again. An unsafe message, which has no second try, is given longer.
func (p *Policy) review(c *call) {
	worn := p.patience(c.ep) + 1
	if c.msgs[0].class.Repeat == Unsafe {
		worn *= unsafeWait
	}
	if at := max(c.sent, cmp.Or(p.pressed, p.now)) + worn; c.left > 0 && at > p.now {
		p.later.add(at, func() { p.review(c) })
		return
	}
	for _, m := range c.msgs {
		if m.call == c {
			p.act(Action{Kind: ActCancel, Message: m.id, Attempt: m.tries - 1})
		}
	}
}

// spend takes a call out of the budget. Where a part is less than one call relays must not act in step: each
// then needs a random amount with the same mean.
func (p *Policy) spend(ep *endpoint) {
	rate, depth, rare := p.budgetRate(ep)
	need := p.price(ep)
	ep.budget.take(p.now, need, rate, max(depth, need))
	if ep.need = 1; rare {
		ep.need = p.rng.ExpFloat64()
	}
}

// opening is what the next call there costs beside itself, in calls: a connection that must be opened first
// is work at the destination, and is paid for like work, out of the same budget and at the same pace.
func (p *Policy) opening(ep *endpoint) float64 {
	if ep.flying < ep.conns*p.set.Streams {
		return 0
	}
	return ep.opening
}

// ---- throttle, window and pace

// capacity is the calls a second that the lane takes from all relays, by report, list or observation.
func (p *Policy) capacity(l *lane) float64 {
	return cmp.Or(l.limit, l.nominal, max(l.hist.acceptRate(p.now)*float64(p.set.Relays), 1))
}

// growth is a rest to the age of a run of failures: less where few relays send there much each.
func (p *Policy) growth(l *lane) float64 {
	whole := sharerPart * p.capacity(l) * float64(p.set.FallTime) / float64(second)
	return restGrowth * min(1, float64(p.set.Relays)/max(whole, 1))
}

// pace is the calls a second that this relay sends there at most.
func (p *Policy) pace(l *lane) float64 {
	if l.limit == 0 && l.nominal == 0 {
		return float64(p.set.Slots) * 2
	}
	whole := p.capacity(l)
	top := p.usualPace(whole) * l.boost
	if l.cutAt > 0 {
		top = min(top, l.cut+cutRise*whole/float64(p.set.Relays)*float64(p.now-l.cutAt)/float64(second))
	}
	return top
}

// usualPace is a relay's part of a destination's rate while nothing is refused there.
func (p *Policy) usualPace(whole float64) float64 { return max(whole/p.share, math.Sqrt(whole)/2) }

// wide: even at its least the boost leaves the pace above an even share. Where it does not, that is enough.
func (p *Policy) wide(l *lane) bool {
	whole := p.capacity(l)
	return l.limit+l.nominal > 0 && boostLeast*p.usualPace(whole) > whole/float64(p.set.Relays)
}

// cut holds a lane's pace to less than what this relay itself has sent there of late. The pace of a small
// stream is set by chance and lies far above its share: with many relays the limit is passed by all of them
// together long before any of them comes near it, and only what they send in truth can be made less.
func (p *Policy) cut(l *lane) {
	if !p.wide(l) {
		return
	}
	sent, _ := l.hist.totals(p.now)
	own := sent * float64(second) / float64(max(min(p.now-l.hist.started, historySpan), second))
	least := cutLeast * p.capacity(l) / float64(p.set.Relays)
	l.cut, l.cutAt = max(least, cutFall*min(own, p.pace(l))), p.now
}

// depth is how many calls a lane may save up: as much as chance alone moves a second of what all relays
// send there together, which the destination must stand anyway. Once it has refused, it stands no more: what
// waits goes one by one.
func (p *Policy) depth(l *lane) float64 {
	if l.cutAt > 0 {
		return 1
	}
	return max(1, math.Sqrt(p.capacity(l)))
}

// dropped draws by the formula. A drop is counted and spends the lane's token; the message stays held for a
// later draw.
func (p *Policy) dropped(l *lane) bool {
	req, acc := l.hist.totals(p.now)
	l.hist.request(p.now)
	// Calls still out speak neither for nor against: counted at once they would drop the next arrivals of a
	// destination that has been quiet for longer than the history.
	return p.rng.Float64() < dropChance(max(0, req-float64(l.flying)), acc)
}

// dropChance is the formula, with the cap that always lets some attempts pass.
func dropChance(requests, accepted float64) float64 {
	return min(max(0, (requests-accepts*(accepted+prior))/(requests+1)), dropCap)
}

// room: the window and the destination's part of the slots.
func (p *Policy) room(l *lane) bool {
	part := slotShare
	if p.failing(l) {
		part = failShare
	}
	most := max(1, int(part*float64(p.set.Slots)))
	return l.dest.flying < most && l.flying < max(1, int(l.window))
}

func (p *Policy) failing(l *lane) bool {
	return slices.ContainsFunc(l.eps, func(ep *endpoint) bool { return ep.sick || ep.score >= 1-scoreKeep })
}

// paced: the lane has a token, and no refusal or drop keeps it resting.
func (p *Policy) paced(l *lane) bool {
	if l.pauseUntil > p.now {
		return false
	}
	rate := p.pace(l)
	if l.tokens.level(p.now, rate, p.depth(l)) < 1 {
		l.bound = true
		return false
	}
	return true
}

// ---- choose

// choose picks the endpoint for a message: sound before cold before out, then the soonest answer.
func (p *Policy) choose(m *message) *endpoint {
	var best *endpoint
	low := math.Inf(1)
	for _, l := range m.dest.lanes {
		if !p.room(l) || !p.paced(l) {
			continue
		}
		for _, ep := range l.eps {
			if !p.maySend(m, ep) {
				continue
			}
			lat := ep.lat.mean
			if ep.lat.n == 0 {
				lat = float64(p.usual(m.dest))
			}
			cost := lat * float64(1+ep.flying)
			if ep.flying >= ep.conns*p.set.Streams { // a connection must be opened
				cost += lat
			}
			if ep.zone != p.set.Zone {
				cost *= 3.0
			}
			if m.failedAt == ep { // another may do better, whatever the cause
				cost += float64(m.class.Aim)
			}
			if ep.sick {
				cost += float64(m.class.Deadline)
				if ep.goodAt == 0 {
					cost *= 2
				}
			}
			if cost < low {
				best, low = ep, cost
			}
		}
	}
	return best
}

// keep is how long an idle connection is kept. Where connections are seen to run out, what all relays keep
// idle at an endpoint together is to be no more than two would keep. Harm: more connections opened.
func (p *Policy) keep(ep *endpoint) Time {
	if p.tight[ep.lane.dest.kindAt] > noConnTight {
		return p.set.KeepAlive * 2 / Time(max(p.set.Relays, 2))
	}
	return p.set.KeepAlive
}

// maySend: every guard on a message and an endpoint together.
func (p *Policy) maySend(m *message, ep *endpoint) bool {
	if m.over || m.call != nil || p.spent(m) || p.now >= m.deadline-2*p.margin() || !p.mayCall(ep) {
		return false
	}
	l := p.lines[m.key]
	if m.class.InOrder && m.key != 0 && (l == nil || l.turns[0] != m || m.tries == 0 && l.rest > p.now) {
		return false
	}
	if m.doubtAt > 0 && m.class.Repeat == Keyed && m.class.ZoneOnly && ep.zone != m.doubtIn {
		return false
	}
	// An unsafe message has one try that may run: not where calls fail, but for one that is late already.
	return m.class.Repeat != Unsafe || !ep.sick || ep.goodAt > 0 || p.now > m.aimAt
}

// dispatch sends what loses most by waiting, over the destinations that an event or the time has touched and
// those that wait for nothing but a slot.
func (p *Policy) dispatch() {
	if p.calls < p.set.Slots { // what waited for a slot is chosen anew
		for _, d := range p.ready {
			p.touch(d)
		}
		p.ready = p.ready[:0]
	}
	for _, d := range p.touched {
		d.touched = false
		p.best(d)
		if d.pick != nil && !slices.Contains(p.ready, d) {
			p.ready = append(p.ready, d)
		}
	}
	p.touched = p.touched[:0]
	for p.calls < p.set.Slots && len(p.ready) > 0 {
		at := 0
		for i, d := range p.ready {
			if d.pickVal > p.ready[at].pickVal {
				at = i
			}
		}
		d := p.ready[at]
		p.call(d)
		if p.best(d); d.pick == nil {
			p.ready = slices.Delete(p.ready, at, at+1)
		}
	}
	if p.calls < p.set.Slots || len(p.live) <= p.aloft {
		p.pressed = 0
	} else if p.pressed == 0 {
		p.pressed = p.now
	}
}

// order puts first what loses most if it waits as long as the queue takes.
func (p *Policy) order(d *dest) {
	soon := p.now + p.usual(d)
	then := soon + p.drain(d)
	for _, m := range d.queue {
		m.loss = p.value(m, soon) - p.value(m, then)
		if m.owed && m.deadline > soon { // taken on to be tried: above all losses, the nearest end first
			m.loss += owedLoss / float64(m.deadline-p.now)
		}
	}
	slices.SortStableFunc(d.queue, func(a, b *message) int {
		return cmp.Or(cmp.Compare(b.loss, a.loss), cmp.Compare(a.aimAt, b.aimAt))
	})
}

// open: some lane of a destination lets a call go, whatever its endpoints say. Where none does, the order of
// what waits is of no use yet.
func (p *Policy) open(d *dest) bool {
	open := false
	for _, l := range d.lanes { // each is asked: a lane notes that its pace kept something waiting
		if p.room(l) && p.paced(l) {
			open = true
		}
	}
	return open
}

// touch has a destination looked at in this turn.
func (p *Policy) touch(d *dest) {
	if !d.touched {
		d.touched = true
		p.touched = append(p.touched, d)
	}
}

// best finds the message of a destination that loses most if it waits as long as the queue takes; among
// those that lose nothing, the one nearest to its aim.
func (p *Policy) best(d *dest) {
	d.pick = nil
	if len(d.queue) == 0 {
		return
	}
	if p.open(d) {
		p.order(d)
		for _, m := range d.queue {
			if ep := p.choose(m); ep != nil {
				d.pick, d.pickAt = m, ep
				d.pickVal = (m.loss + m.worth/1000) / float64(p.usual(d)+1)
				return
			}
		}
	}
	if at := p.opens(d); at < math.MaxInt64 && (d.wakeAt <= p.now || at < d.wakeAt) {
		d.wakeAt = max(at, p.now+p.set.Tick)
		p.later.add(d.wakeAt, func() { p.touch(d) })
	}
}

// opens is the next moment at which time alone may let something go to a destination.
func (p *Policy) opens(d *dest) Time {
	p.looks++
	next := Time(math.MaxInt64)
	for _, l := range d.lanes {
		t := max(l.pauseUntil, l.waitUntil, l.tokens.when(p.now, 1, p.pace(l), p.depth(l)))
		for _, ep := range l.eps {
			at := max(t, ep.restUntil, ep.barred)
			if ep.sick {
				r, depth, _ := p.budgetRate(ep)
				need := p.price(ep)
				at = max(at, ep.budget.when(p.now, need, r, max(depth, need)))
			}
			if at > p.now {
				next = min(next, at)
			}
		}
	}
	for _, m := range d.queue {
		if l := p.lines[m.key]; l != nil && m.class.InOrder && l.rest > p.now {
			next = min(next, l.rest)
		}
		if m.class.Repeat == Unsafe && m.aimAt >= p.now { // may then try what is out
			next = min(next, m.aimAt+1)
		}
	}
	return next
}

// call makes one call with the picked message and what may share it.
func (p *Policy) call(d *dest) {
	ep, l := d.pickAt, d.pickAt.lane
	rate := p.pace(l)
	l.tokens.take(p.now, 1, rate, p.depth(l))
	trial := ep.sick && ep.goodAt == 0
	if trial {
		l.hist.request(p.now) // recovery bounds trial calls harder than the formula would
	} else if p.dropped(l) {
		l.pauseUntil = max(l.pauseUntil, p.now+p.usual(d))
		return
	}
	c := &call{ep: ep, sent: p.now, opens: p.opening(ep) > 0}
	for _, m := range slices.Clone(d.queue) {
		if c.left >= d.kind.Batch {
			break
		}
		if m == d.pick || c.left > 0 && !trial {
			p.send(m, c)
		}
	}
	if c.left == 0 {
		return
	}
	l.tokens.tokens -= p.opening(ep) // paid back before the next
	p.spend(ep)
	if p.set.Cancels {
		p.review(c)
	}
	l.bound = false
	p.calls++
	d.flying++
	l.flying++
	ep.flying++
	ep.conns = max(ep.conns, (ep.flying+p.set.Streams-1)/p.set.Streams)
}

// send is the one place that sends.
func (p *Policy) send(m *message, c *call) {
	if !p.maySend(m, c.ep) {
		return
	}
	m.dest.queue = slices.DeleteFunc(m.dest.queue, func(x *message) bool { return x == m })
	m.call = c
	p.aloft++
	m.tries++
	c.left++
	c.msgs = append(c.msgs, m)
	p.act(Action{Kind: ActSend, Message: m.id, Endpoint: c.ep.id, At: p.cutAt(m, c.ep), By: p.lastByte(m),
		Cold: c.ep.sick, Opens: c.opens})
}

// cutAt is when an attempt times out.
func (p *Policy) cutAt(m *message, ep *endpoint) Time {
	last := m.deadline - 2*p.margin()
	if m.class.Repeat == Unsafe {
		return last // it cannot be tried again
	}
	span := float64(m.class.Aim)
	if l := &ep.lane.lat; l.n > 0 {
		span = max(4*l.mean+4*l.dev, span)
	}
	return min(last, p.now+Time(span))
}

// ---- timers

// arm asks for one timer at the next moment at which something may change by itself.
func (p *Policy) arm() {
	next := p.later.next()
	if p.set.AskForList {
		next = min(next, p.asked+max(p.set.AskEvery/2, second))
	}
	if next == math.MaxInt64 || p.armed > p.now && p.armed <= next {
		return
	}
	p.armed = max(next, p.now+p.set.Tick)
	p.act(Action{Kind: ActTimer, After: p.armed - p.now})
}
