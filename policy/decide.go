// Package policy makes every decision of a relay; its interface (settings, events, actions) is api.go.
// The ordinary path is adaptive throttling for each destination (requests against accepts, a capped drop
// chance) with a window on calls in flight; what departs from it names its condition at its place. What is
// remembered is in state.go.
package policy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	second                    = Time(1e6)
	historyWindow             = 10 * second // requests and accepts are counted over this
	historyBins               = 20
	acceptFactor              = 2.0 // K of the formula
	acceptPrior               = 2.0 // accepts that a destination has to its credit: a few calls tell nothing
	maxDropProbability        = 0.9 // P1: some attempts always pass
	maxSlotShare              = 0.75
	maxSlotShareFailing       = 0.5  // the same while the destination fails
	multiplierDecrease        = 0.75 // pace after a refusal
	multiplierIncrease        = 1.08 // pace after a success that the pace had kept waiting
	minRateMultiplier         = 0.5
	rateReduction             = 0.5  // rate after a refusal, to what this relay has sent there of late
	minReducedShare           = 0.5  // and at least this part of an even share of the limit
	reducedRateRecovery       = 0.1  // even shares that come back each second
	shareExponent             = 0.75 // a share is the rate over relays to this power: small streams need room
	failureScoreDecay         = 0.7  // weight of the past in an endpoint's failure score
	unhealthyScore            = 0.6  // most calls fail: three in a row from a clean start pass it
	maxBackoffGrowth          = 3.0  // a rest after a failure, to the time since the first of the run, with many relays
	unhealthyRejectionRun     = 2    // refusals in a row, half a fall time apart, with no success between: shut, not busy
	recoveryBudgetShare       = 1.0  // part of the fail-back budget that is used
	sharersPerMessage         = 2.0  // relays thought to want a trial, to the messages that an outage has kept waiting
	nonIdempotentPatience     = 4    // times as long a call of unsafe messages is waited for under slot pressure
	recoveredUntriedLoss      = 1e12 // over the time that is left, in µs: more than any message is worth
	pendingReserveDivisor     = 16   // one part in so many of the room is kept free
	scarceConnectFailureRatio = 0.05 // share of calls without a connection above which connections are taken to run out
	connectFailureSpan        = 20   // calls over which that share is told
)

// New makes a policy from its settings; the seed feeds all its draws.
func New(s Settings, seed uint64) (*Engine, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	p := &Engine{settings: s, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), endpoints: map[EndpointID]*endpoint{},
		messages: map[uint32]*message{}, orderedQueues: map[uint64]*orderedQueue{}, tenantQuotas: make([]tokenBucket, len(s.Tenants))}
	p.connectFailureRatios = make([]float64, max(len(s.DestinationKinds), 1))
	p.settings.Classes = slices.Clone(s.Classes)
	p.settings.StreamsPerConnection = max(s.StreamsPerConnection, 1)
	p.settings.TickInterval = max(s.TickInterval, second/1000)
	p.shareDivisor = math.Pow(float64(s.Relays), shareExponent)
	return p, nil
}

// Step takes what has happened by now and appends what to do about it.
func (p *Engine) Step(now Time, events []Event, actions []Action) []Action {
	p.now, p.actions = max(now, p.now), actions
	if p.settings.PollList && (p.polledAt == 0 || p.now-p.polledAt >= p.settings.PollInterval/2) {
		p.polledAt = p.now
		p.emit(Action{Kind: ActWatch})
	}
	for i := range events {
		e := &events[i]
		switch e.Kind {
		case EvListUpdated:
			p.updateEndpoints(e)
		case EvMessageSubmitted:
			p.admit(e)
		case EvAttemptEnded:
			p.endAttempt(e)
		case EvIdentityRejected:
			p.rejectIdentity(e)
		case EvReplyStarted, EvMessageWithdrawn:
			m := p.messages[e.Message]
			if m != nil && (e.Kind == EvMessageWithdrawn || m.call != nil && e.Attempt == m.attempts-1) {
				p.finishMessage(m)
			}
		}
	}
	p.runTimers()
	p.shedLoad()
	p.dispatch()
	p.scheduleTimer()
	out := p.actions
	p.actions = nil
	return out
}

// ---- membership

// updateEndpoints takes news of the list. What is draining or gone gets nothing new from this moment on.
func (p *Engine) updateEndpoints(e *Event) {
	if e.ListUpdate == ListFailed {
		return // asked again by the clock
	}
	seen := map[EndpointID]bool{}
	for i := range e.Updates {
		x := &e.Updates[i]
		seen[x.Endpoint] = true
		ep := p.endpoints[x.Endpoint]
		if ep != nil && ep.limiter.destination.id != x.Destination { // it moved: nothing of the old place may be sent to
			p.removeEndpoint(ep)
			ep = nil
		}
		switch {
		case x.State == Gone:
			if ep != nil {
				p.removeEndpoint(ep)
			}
			continue
		case ep == nil || ep.state == Gone: // the second is kept for its wait
			ep = p.addEndpoint(x)
		}
		ep.state, ep.zone, ep.connectCost = x.State, x.Zone, x.ConnectCost
		if p.settings.ListHasRates && x.Rate > 0 {
			ep.limiter.nominalRate = x.Rate
		}
		if l := ep.limiter; !l.tokens.used && p.exceedsEvenShare(l) {
			l.tokens = tokenBucket{p.now, 1, true} // what a whole fleet gets as it starts would go in one burst
		}
		p.markDirty(ep.limiter.destination)
	}
	if e.Snapshot != nil {
		p.activate(e)
	}
	if e.ListUpdate == ListFull || e.ListUpdate == ListCached {
		for id, ep := range p.endpoints { // each leaves by itself: the order does not matter
			if !seen[id] {
				p.removeEndpoint(ep)
			}
		}
	}
}

// removeEndpoint lets go of an endpoint, sick or not; calls still out there keep their place in the books. A route
// with a wait in force stays, so that the wait binds it if it comes back.
func (p *Engine) removeEndpoint(ep *endpoint) {
	ep.state = Gone
	l := ep.limiter
	if p.endpoints[ep.id] == ep && (!l.destination.kind.IndependentRoutes || l.retryAfterUntil <= p.now) {
		delete(p.endpoints, ep.id)
	} else if p.endpoints[ep.id] == ep {
		p.timers.add(l.retryAfterUntil, func() {
			if p.endpoints[ep.id] == ep && ep.state == Gone {
				p.removeEndpoint(ep)
			}
		})
	}
	l.endpoints = slices.DeleteFunc(l.endpoints, func(x *endpoint) bool { return x == ep })
	if l.destination.kind.IndependentRoutes {
		l.destination.limiters = slices.DeleteFunc(l.destination.limiters, func(x *limiter) bool { return x == l })
	}
}

func (p *Engine) addEndpoint(x *EndpointUpdate) *endpoint {
	d := p.destinationFor(x.Destination)
	if x.Kind >= 0 && x.Kind < len(p.settings.DestinationKinds) {
		d.kind, d.kindIndex = p.settings.DestinationKinds[x.Kind], x.Kind
	}
	d.kind.BatchSize = max(d.kind.BatchSize, 1)
	if len(d.limiters) == 0 || d.kind.IndependentRoutes {
		d.limiters = append(d.limiters, &limiter{destination: d, window: 1, rateMultiplier: 1,
			history: newSlidingCounter(historyWindow, historyBins)})
	}
	l := d.limiters[len(d.limiters)-1]
	if old := p.endpoints[x.Endpoint]; old != nil && d.kind.IndependentRoutes {
		l.retryAfterUntil = old.limiter.retryAfterUntil
	}
	ep := &endpoint{id: x.Endpoint, limiter: l}
	l.endpoints = append(l.endpoints, ep)
	p.endpoints[x.Endpoint] = ep
	return ep
}

// rejectIdentity takes word that an endpoint's identity is not proved, or is again. The next message cannot mend it, so
// none is spent on asking: what cannot wait for the next proof is ended now, with the time to come back.
func (p *Engine) rejectIdentity(e *Event) {
	ep := p.endpoints[e.Endpoint]
	if ep == nil {
		return
	}
	ep.identityRejectedUntil = p.now + max(e.RetryAfter, 0)
	p.markDirty(ep.limiter.destination)
	for _, m := range slices.Clone(ep.limiter.destination.queue) {
		p.rejectIfUnprovable(m)
	}
}

// rejectIfUnprovable ends a message whose destination proves itself again after its deadline at the soonest.
func (p *Engine) rejectIfUnprovable(m *message) {
	if m.call == nil && p.identityRetryAt(m.destination) >= m.deadline-p.deadlineMargin() {
		p.endUndelivered(m, IdentityUnproven)
	}
}

// identityRetryAt is when some endpoint of a destination may be asked again: at once where one is not barred or none
// is known.
func (p *Engine) identityRetryAt(d *destination) Time {
	at := Time(math.MaxInt64)
	for _, l := range d.limiters {
		for _, ep := range l.endpoints {
			at = min(at, ep.identityRejectedUntil)
		}
	}
	if at <= p.now || at == math.MaxInt64 {
		return 0
	}
	return at
}

// ---- admit and hold

// admit takes a message into the queue of its destination.
func (p *Engine) admit(e *Event) {
	if p.messages[e.Message] != nil {
		return
	}
	if e.Class < 0 || e.Class >= len(p.settings.Classes) {
		p.emit(Action{Kind: ActReject, Message: e.Message, Reason: UnknownClass}) // and nothing has run
		return
	}
	c := &p.settings.Classes[e.Class]
	m := &message{id: e.Message, key: e.Key, class: c, destination: p.destinationFor(e.Destination), weight: c.Weight}
	m.deadline, m.recoveredUntried = p.now+max(e.TimeLeft, 0), e.Recovered && e.Attempts == 0
	m.objectiveAt = m.deadline - c.Deadline + c.LatencyObjective
	if p.settings.WeightByCost && e.EstimatedCost > 0 {
		m.weight *= float64(e.EstimatedCost)
	}
	if e.Tenant >= 0 && e.Tenant < len(p.tenantQuotas) && p.settings.Tenants[e.Tenant].Quota > 0 {
		// Tenants over their share come last. The share is judged by this relay's part alone.
		part := p.settings.Tenants[e.Tenant].Quota / float64(p.settings.Relays)
		b := &p.tenantQuotas[e.Tenant]
		if !b.take(p.now, 1, part, max(part, 1)) {
			m.weight *= p.settings.OverQuotaWeight
		}
	}
	m.weight = cmp.Or(e.Weight, m.weight)
	p.messages[m.id] = m
	m.pendingIndex = len(p.pending)
	p.pending = append(p.pending, m)
	p.timers.add(m.deadline-p.deadlineMargin(), func() { p.reevaluate(m) })
	for _, l := range m.destination.limiters {
		if e.Recovered && l.reducedAt == 0 && p.exceedsEvenShare(l) {
			// It waited, perhaps since it was refused. After a release whole fleets have such, and what each
			// holds would go in the same second.
			l.reducedRate, l.reducedAt = p.capacity(l)/float64(p.settings.Relays), p.now
		}
	}
	p.restoreAttempts(m, e)
	m.destination.queue = append(m.destination.queue, m)
	p.markDirty(m.destination)
	if ep := p.endpoints[e.AttemptEndpoint]; ep != nil && e.AttemptSentAt > 0 {
		p.restoreAttempt(m, ep, e.AttemptSentAt)
	}
	if c.Ordered && m.key != 0 {
		l := p.orderedQueues[m.key]
		if l == nil {
			l = &orderedQueue{}
			p.orderedQueues[m.key] = l
		}
		l.messages = append(l.messages, m)
	}
	p.rejectIfUnprovable(m)
}

// valueAt is what a message is worth if it is delivered then.
func (p *Engine) valueAt(m *message, then Time) float64 {
	switch {
	case then <= m.objectiveAt:
		return m.weight
	case then > m.deadline:
		return 0
	case p.settings.ExponentialDecay:
		half := math.Exp2(-float64(then-m.objectiveAt) / float64(max(m.class.LatencyObjective, 1)))
		return m.weight * max(m.class.LateWeight, half)
	}
	gone := float64(then-m.objectiveAt) / float64(max(m.deadline-m.objectiveAt, 1))
	return m.weight * (1 - (1-m.class.LateWeight)*gone)
}

// drainTime is how long the destination takes for what waits there, as far as this relay can tell.
func (p *Engine) drainTime(d *destination) Time {
	rate := 0.0
	for _, l := range d.limiters {
		rate += p.rateLimit(l)
	}
	wait := float64(len(d.queue)) / max(rate*float64(d.kind.BatchSize), 0.1)
	return Time(min(wait, 60)*1e6) + p.usualLatency(d)
}

func (p *Engine) usualLatency(d *destination) Time {
	if len(d.limiters) > 0 && d.limiters[0].latency.count > 0 {
		return Time(d.limiters[0].latency.mean)
	}
	if p.latency.count > 0 {
		return Time(p.latency.mean)
	}
	return p.settings.Classes[0].LatencyObjective / 4
}

// shedLoad keeps a little room: a message turned away unseen may be worth more than the least one held, and those
// whose destination is out or resting for long must not take the room of the others.
func (p *Engine) shedLoad() {
	for p.settings.MaxPending > 0 && len(p.pending) > p.settings.MaxPending-max(1, p.settings.MaxPending/pendingReserveDivisor) {
		var least *message
		low := math.Inf(1)
		p.shedPasses++
		for _, m := range p.pending {
			if p.rejectable(m) && !m.recoveredUntried {
				d := m.destination
				if d.shedPass != p.shedPasses { // the same for all that wait there
					at := p.nextSendTime(d)
					if at == math.MaxInt64 { // an answer, not the time, lets it go
						at = p.now
					}
					d.shedPass, d.drainedAt = p.shedPasses, at+p.drainTime(d)
				}
				if v := p.valueAt(m, min(d.drainedAt, m.deadline)); v < low {
					least, low = m, v
				}
			}
		}
		if least == nil {
			return
		}
		p.endUndelivered(least, LoadShed)
	}
}

// ---- settle

// rejectable: only what cannot have run, or may run again, may be handed back.
func (p *Engine) rejectable(m *message) bool {
	if m.call != nil || m.firstUncertainAt == 0 || m.class.Idempotency == Idempotent {
		return m.call == nil
	}
	return m.class.Idempotency == IdempotentByKey && !m.class.DedupPerZone && p.now-m.firstUncertainAt < m.class.DedupWindow
}

// endUndelivered gives the one final answer of a message that was not delivered. Nothing else does.
func (p *Engine) endUndelivered(m *message, why Reason) {
	if m.finished {
		return
	}
	if p.rejectable(m) {
		a := Action{Kind: ActReject, Message: m.id, Reason: why}
		if p.settings.SendRetryAfter {
			a.After = min(max(p.drainTime(m.destination), p.identityRetryAt(m.destination)-p.now), p.settings.MaxRetryAfter)
		}
		p.emit(a)
	} else {
		p.emit(Action{Kind: ActFail, Message: m.id, Reason: why})
	}
	p.finishMessage(m)
}

// finishMessage forgets a message that is owed nothing more; an attempt still out keeps its place in the books.
func (p *Engine) finishMessage(m *message) {
	if m.finished {
		return
	}
	m.finished = true
	if m.call != nil {
		p.messagesInFlight--
	}
	last := p.pending[len(p.pending)-1]
	p.pending[m.pendingIndex], last.pendingIndex = last, m.pendingIndex
	p.pending = p.pending[:len(p.pending)-1]
	m.destination.queue = slices.DeleteFunc(m.destination.queue, func(x *message) bool { return x == m })
	if m.call == nil {
		p.forgetMessage(m)
	}
}

// forgetMessage drops the last trace of an ended message and gives its turn away.
func (p *Engine) forgetMessage(m *message) {
	delete(p.messages, m.id)
	if l := p.orderedQueues[m.key]; l != nil && m.class.Ordered {
		l.messages = slices.DeleteFunc(l.messages, func(x *message) bool { return x == m })
		for _, x := range l.messages[:min(1, len(l.messages))] {
			p.markDirty(x.destination)
		}
		if len(l.messages) == 0 {
			p.timers.add(l.backoffUntil, func() {
				if len(l.messages) == 0 && l.backoffUntil <= p.now {
					delete(p.orderedQueues, m.key)
				}
			})
		}
	}
}

// runTimers does what was put off to this moment.
func (p *Engine) runTimers() {
	for f, ok := p.timers.popDue(p.now); ok; f, ok = p.timers.popDue(p.now) {
		f()
	}
}

// reevaluate ends a message that would run out of time before the next look, or that can never be sent again.
func (p *Engine) reevaluate(m *message) {
	if m.finished || p.now < m.deadline-p.deadlineMargin() && (m.call != nil || !p.attemptsExhausted(m)) {
		return
	}
	if m.call != nil && p.settings.Cancellation {
		p.emit(Action{Kind: ActCancel, Message: m.id, Attempt: m.attempts - 1})
	}
	if p.now < m.deadline-p.deadlineMargin() {
		p.endUndelivered(m, AttemptsExhausted)
	} else {
		p.endUndelivered(m, DeadlineExceeded)
	}
}

// closeIdleConnections closes the idle connections of an endpoint that has not been used since.
func (p *Engine) closeIdleConnections(ep *endpoint) {
	left := ep.idleSince + p.idleTimeout(ep) - p.now
	if ep.idleCheckScheduled = ep.callsInFlight == 0 && left > 0; ep.idleCheckScheduled {
		p.timers.add(p.now+min(left, p.settings.IdleTimeout/8+1), func() { p.closeIdleConnections(ep) }) // keep may have changed
	} else if ep.callsInFlight == 0 {
		ep.connections = 0
		p.emit(Action{Kind: ActCloseIdle, Endpoint: ep.id})
	}
}

func (p *Engine) deadlineMargin() Time { return 3 * p.settings.TickInterval }

// attemptsExhausted: no further attempt of this message is allowed, ever.
func (p *Engine) attemptsExhausted(m *message) bool {
	if m.attempts >= 255 || p.settings.MaxAttempts > 0 && m.attempts-m.uncountedAttempts >= p.settings.MaxAttempts {
		return true
	}
	if m.firstUncertainAt == 0 || m.class.Idempotency == Idempotent {
		return false
	}
	return m.class.Idempotency == NonIdempotent || p.now >= p.lastByteDeadline(m)
}

const dedupTransitTime = Time(200e3) // from a repeat's last byte to its endpoint at most, or 1/20 of the window

// lastByteDeadline is the moment from which a message is not remembered for certain where a repeat of it arrives; 0
// where that does not matter. A connection that comes up late makes a repeat late that was in time.
func (p *Engine) lastByteDeadline(m *message) Time {
	if m.firstUncertainAt == 0 || m.class.Idempotency != IdempotentByKey {
		return 0
	}
	return m.firstUncertainAt + m.class.DedupWindow - max(2*p.settings.TickInterval, min(dedupTransitTime, m.class.DedupWindow/20))
}

// endAttempt books the end of an attempt, for the message, its call, its endpoint and its lane.
func (p *Engine) endAttempt(e *Event) {
	m := p.messages[e.Message]
	if m == nil || m.call == nil || e.Attempt != m.attempts-1 || e.Outcome >= outcomeCount {
		return
	}
	c := m.call
	m.call = nil
	if !m.finished {
		p.messagesInFlight--
	}
	c.openAttempts--
	if c.openAttempts == 0 {
		p.callsInFlight--
		c.endpoint.callsInFlight--
		c.endpoint.limiter.callsInFlight--
		c.endpoint.limiter.destination.callsInFlight--
		if c.endpoint.idleSince = p.now; c.endpoint.callsInFlight == 0 && p.settings.IdleTimeout > 0 && !c.endpoint.idleCheckScheduled {
			p.closeIdleConnections(c.endpoint)
		}
	}
	p.markDirty(c.endpoint.limiter.destination)
	if !c.observed { // the messages of a call share one fate, and count once
		c.observed = true
		p.observeCall(c, e)
	}
	if e.RetryAfter > 0 && (e.Outcome == Rejected || e.Outcome == Failed) { // the second: its answer was spoilt later
		l := c.endpoint.limiter
		if ep := p.endpoints[c.endpoint.id]; ep == nil { // it has left since, and may come back before the wait is over
			p.endpoints[c.endpoint.id] = c.endpoint
			defer p.removeEndpoint(c.endpoint)
		} else if ep.limiter.destination == l.destination {
			l = ep.limiter // it is back already
		}
		l.retryAfterUntil = max(l.retryAfterUntil, p.now+e.RetryAfter)
		for _, x := range l.endpoints { // what is saved up while it is closed would go at once
			x.recoveryBudget.tokens, x.recoveryBudget.at = 0, l.retryAfterUntil
		}
	}
	doubtful := e.Outcome == TimedOut || e.Outcome == ConnectionReset || e.Outcome == Cancelled
	if l := p.orderedQueues[m.key]; l != nil && m.class.Ordered && doubtful {
		l.backoffUntil = max(l.backoffUntil, p.now+p.settings.OrderedKeyBackoff)
	}
	if !e.Outcome.NeverRan() && e.Outcome != Delivered && m.firstUncertainAt == 0 {
		p.recordUncertainAttempt(m, c.sentAt, c.endpoint.zone)
	}
	if e.NotCounted && m.uncountedAttempts < p.settings.MaxAttempts { // bounded: what keeps it from leaving may last
		m.uncountedAttempts++
	} else {
		m.lastFailedEndpoint = c.endpoint
	}
	m.recoveredUntried = m.recoveredUntried && e.NotCounted
	switch {
	case m.finished:
		p.forgetMessage(m)
	case e.Outcome == Delivered || e.MessageFinished:
		p.finishMessage(m)
	default:
		m.destination.queue = append(m.destination.queue, m)
		p.timers.add(p.now, func() { p.reevaluate(m) })
	}
}

// settleConnectCost pays for the connections that were opened for a call and not thought of, and gives back what was
// paid for none.
func (p *Engine) settleConnectCost(c *call, e *Event) {
	ep := c.endpoint
	if ep.connectCost == 0 {
		return
	}
	owed := float64(e.ConnectionsOpened) * ep.connectCost
	if answered := e.Outcome == Delivered || e.Outcome == Rejected; c.opensConnection && (e.ConnectionsOpened > 0 || answered) {
		owed -= ep.connectCost // else it may have been tried in vain, which is work too
	}
	ep.limiter.tokens.tokens -= owed
	if ep.unhealthy {
		ep.recoveryBudget.tokens -= owed
	}
	switch e.Outcome { // its connection went with it, idle ones may have, or there was none
	case TimedOut, ConnectionReset, Cancelled, NotSent:
		ep.connections = ep.callsInFlight
	}
}

// trackConnectFailures books whether connections run out. A call that found none tells of it only where another one that
// was out in that moment was answered: what is down takes none either, and to close those kept to its
// siblings has a whole fleet open them all again.
func (p *Engine) trackConnectFailures(c *call, o Outcome) {
	ep, t := c.endpoint, &p.connectFailureRatios[c.endpoint.limiter.destination.kindIndex]
	answered := o == Delivered || o == Rejected || o == Failed
	switch {
	case o == ConnectFailed && ep.lastSuccessAt < c.sentAt:
		ep.connectFailedAt = p.now // an answer may show it yet
	case o == ConnectFailed || answered && ep.connectFailedAt > c.sentAt:
		*t += (1 - *t) / connectFailureSpan
		ep.connectFailedAt = 0
	case answered:
		*t -= *t / connectFailureSpan
	}
}

// observeCall learns from how a call went.
func (p *Engine) observeCall(c *call, e *Event) {
	ep, l := c.endpoint, c.endpoint.limiter
	if e.Load.Limit > 0 {
		l.reportedRate = e.Load.Limit
	}
	p.trackConnectFailures(c, e.Outcome)
	p.settleConnectCost(c, e)
	switch e.Outcome {
	case Delivered:
		l.history.accept(p.now)
		l.window = min(l.window+1, float64(p.settings.MaxConcurrentCalls))
		l.rejectionRun = 0
		l.latency.add(float64(e.Latency))
		ep.latency.add(float64(e.Latency))
		p.latency.add(float64(e.Latency))
		if l.rateBound && e.ConnectionsOpened == 0 { // a connection that was waited for says nothing of the rate
			l.rateMultiplier = min(l.rateMultiplier*multiplierIncrease, float64(p.settings.Relays))
		}
		p.recordSuccess(ep, c.sentAt)
	case Rejected:
		l.window = max(l.window/2, 1)
		p.reduceRate(l)
		l.rateMultiplier = max(l.rateMultiplier*multiplierDecrease, minRateMultiplier)
		if l.rejectionRun++; l.rejectionRun == 1 {
			l.firstRejectionAt = p.now
		}
		if l.reportedRate == 0 && l.nominalRate == 0 {
			l.nominalRate = max(l.history.acceptRate(p.now), 1) * float64(p.settings.Relays)
		}
		rate, _, _ := p.recoveryBudgetRate(ep)
		age := float64(p.now-l.firstRejectionAt) / float64(second)
		turn := min(float64(p.settings.Relays)/p.capacity(l), float64(c.messages[0].class.LatencyObjective)/float64(second))
		gap := float64(second) * max(turn, 1/p.bucketDepth(l), min(1/rate, p.backoffGrowth(l)*age))
		l.backoffUntil = p.now + Time(gap*(0.5+p.rng.Float64()))
		if e.RetryAfter > 0 { // all who were told wake together: each comes at a moment of its own
			l.backoffUntil = max(l.backoffUntil, p.now+e.RetryAfter+Time(turn*float64(second)*p.rng.Float64()))
		}
		if e.RetryAfter >= p.settings.OverloadDuration || l.rejectionRun >= unhealthyRejectionRun && p.now-l.firstRejectionAt >= p.settings.OverloadDuration/2 {
			ep.failureScore = 1 // shut, however seldom it was asked
			p.recordFailure(ep, c.sentAt, false)
		}
	case Cancelled: // it tells something only where nothing sent since has come back
		if ep.lastSuccessAt <= c.sentAt {
			p.recordFailure(ep, c.sentAt, true)
		}
	case TimedOut:
		l.window = max(l.window/2, 1)
		p.recordFailure(ep, c.sentAt, true)
	case ConnectFailed:
		ep.connections = ep.callsInFlight
		p.recordFailure(ep, c.sentAt, true)
	case NotSent:
		if e.RetryAfter > 0 { // no connection could be opened by then, for reasons of our own
			l.backoffUntil = max(l.backoffUntil, p.now+e.RetryAfter)
		}
	case Failed, ConnectionReset:
		p.recordFailure(ep, c.sentAt, false)
	}
}

// ---- recovery

// recordSuccess books a success. In an outage it starts the ramp, if the call left after the last failure.
func (p *Engine) recordSuccess(ep *endpoint, sent Time) {
	ep.failureScore *= failureScoreDecay
	ep.lastSuccessAt = p.now
	if ep.unhealthy && ep.recoveredAt == 0 && sent >= ep.lastFailureAt {
		ep.recoveredAt, ep.recoverySentAt = sent-(sent-ep.lastFailureAt)/2, sent
		for _, x := range ep.limiter.endpoints {
			if x.unhealthy && x.recoveredAt == 0 && x.firstFailureAt == ep.firstFailureAt && x.lastFailureAt <= sent {
				x.recoveredAt, x.recoverySentAt = ep.recoveredAt, sent
			}
		}
		p.logf("dest %d: answers again, ramp", ep.limiter.destination.id)
	}
}

// recordFailure books a failure. Two close together are an outage, for siblings too that have shown nothing since.
func (p *Engine) recordFailure(ep *endpoint, sent Time, mute bool) {
	if ep.recoveredAt > 0 && sent < ep.recoverySentAt {
		return // a call from before the return tells nothing of it
	}
	if ep.lastFailureAt <= ep.lastSuccessAt {
		ep.firstFailureAt = p.now
	}
	ep.failureScore = ep.failureScore*failureScoreDecay + 1 - failureScoreDecay
	if ep.recoveredAt == 0 || ep.failureScore >= unhealthyScore { // where most calls pass, a failure does not undo the ramp
		ep.lastFailureAt, ep.recoveredAt, ep.lastFailureSilent = p.now, 0, mute
	}
	if ep.unhealthy || ep.failureScore < unhealthyScore {
		ep.backoffUntil = p.now + Time(p.backoffGrowth(ep.limiter)*float64(p.now-ep.firstFailureAt)) // until the verdict is in
		return
	}
	for _, x := range ep.limiter.endpoints {
		if x == ep || !x.unhealthy && x.lastSuccessAt < ep.firstFailureAt {
			x.unhealthy, x.lastFailureSilent, x.recoveredAt, x.lastFailureAt = true, mute, 0, p.now
			x.recoveryBudget, x.firstFailureAt = tokenBucket{}, ep.firstFailureAt
			x.recoveryBudget.at, x.requiredTokens = p.now, p.rng.ExpFloat64()
		}
	}
	p.logf("dest %d: seen failing, trial calls", ep.limiter.destination.id)
}

// rampedCapacity is the share of its capacity that an endpoint is held to have.
func (p *Engine) rampedCapacity(ep *endpoint) float64 {
	s := p.settings.InitialCapacity
	if ep.recoveredAt > 0 {
		s += (1 - s) * float64(p.now-ep.recoveredAt) / float64(max(p.settings.RampDuration, 1))
	}
	if s >= 1 && ep.recoveredAt > 0 {
		if ep.unhealthy && ep.connectCost > 0 { // what the budget has held back would go at once, each on its own
			ep.limiter.tokens = tokenBucket{p.now, 0, true}
		}
		ep.unhealthy, ep.failureScore = false, 0
	}
	return s
}

// recoveryBudgetRate is this relay's part of what the endpoint may be sent while cold: calls a second, and how many
// may come at once. A burst and the refill of one fall time together stay inside the budget. It is shared by
// the relays that may have something for the destination since the outage began: all of them where they are
// few, else about as many as messages have come since. rare: it is less than one call.
func (p *Engine) recoveryBudgetRate(ep *endpoint) (rate, depth float64, rare bool) {
	n := 0
	for _, x := range ep.limiter.endpoints {
		if x.state != Gone {
			n++
		}
	}
	fall := float64(max(p.settings.OverloadDuration, second)) / float64(second)
	whole := p.capacity(ep.limiter)
	age := float64(p.now-ep.firstFailureAt)/float64(second) + fall
	sharers := min(float64(p.settings.Relays), max(1, sharersPerMessage*whole*age))
	part := recoveryBudgetShare * p.settings.OverloadFactor * whole / float64(max(n, 1)) * fall / sharers
	b := part * p.rampedCapacity(ep)
	if depth = b / 4; ep.connectCost > 0 { // a connection and its call come at once
		depth = max(depth, 1+ep.connectCost)
	}
	if depth >= 1 && depth <= b {
		rate = (b - depth) / fall
		if ep.recoveredAt > 0 {
			// On a ramp it bears what a fall time allows on average, not what it can do by its end: so
			// less may be saved up, by a relay that was restarted or had nothing to send.
			rise := (1 - p.settings.InitialCapacity) * fall * 1e6 / float64(max(p.settings.RampDuration, 1))
			depth = max(depth-part*rise/2, 1+ep.connectCost)
		}
		return rate, depth, false
	}
	return b / fall, depth, true
}

// callCost is what the next call to a cold endpoint takes out of its budget.
func (p *Engine) callCost(ep *endpoint) float64 {
	return ep.requiredTokens * (1 + p.nextConnectCost(ep))
}

// backingOff: it failed, and the verdict is not in.
func (p *Engine) backingOff(ep *endpoint) bool { return !ep.unhealthy && ep.backoffUntil > p.now }

// mayCall: every guard on an endpoint, whoever asks.
func (p *Engine) mayCall(ep *endpoint) bool {
	if ep.state != Ready || ep.identityRejectedUntil > p.now || ep.limiter.retryAfterUntil > p.now || p.backingOff(ep) {
		return false
	}
	rate, depth, _ := p.recoveryBudgetRate(ep)
	if !ep.unhealthy || ep.recoveredAt == 0 && ep.lastFailureSilent && ep.callsInFlight > 0 {
		return !ep.unhealthy // what does not answer would pin a slot for each trial
	}
	need := p.callCost(ep)
	return ep.recoveryBudget.level(p.now, rate, max(depth, need)) >= need
}

// overdueAfter is how long a call usually takes there at most.
func (p *Engine) overdueAfter(ep *endpoint) Time {
	if ep.latency.count == 0 {
		return 4 * p.usualLatency(ep.limiter.destination)
	}
	return Time(4*ep.latency.mean + 4*ep.latency.deviation)
}

// cancelOverdueCall calls off a call that has been out for its patience while every slot was taken and messages waited
// for as long: a time-out at the aim is right for a slot that nobody wants, not for the last one. It guards
// against calls that hang here and there where others are answered, and against many slow ones at once. Harm:
// work nearly done is done again. An unsafe message, which has no second try, is given longer.
func (p *Engine) cancelOverdueCall(c *call) {
	worn := p.overdueAfter(c.endpoint) + 1
	if c.messages[0].class.Idempotency == NonIdempotent {
		worn *= nonIdempotentPatience
	}
	if at := max(c.sentAt, cmp.Or(p.saturatedSince, p.now)) + worn; c.openAttempts > 0 && at > p.now {
		p.timers.add(at, func() { p.cancelOverdueCall(c) })
		return
	}
	for _, m := range c.messages {
		if m.call == c {
			p.emit(Action{Kind: ActCancel, Message: m.id, Attempt: m.attempts - 1})
		}
	}
}

// spendRecoveryBudget takes a call out of the budget. Where a part is less than one call relays must not act in step: each
// then needs a random amount with the same mean.
func (p *Engine) spendRecoveryBudget(ep *endpoint) {
	rate, depth, rare := p.recoveryBudgetRate(ep)
	need := p.callCost(ep)
	ep.recoveryBudget.take(p.now, need, rate, max(depth, need))
	if ep.requiredTokens = 1; rare {
		ep.requiredTokens = p.rng.ExpFloat64()
	}
}

// nextConnectCost is what the next call there costs beside itself, in calls: a connection that must be opened first
// is work at the destination, and is paid for like work, out of the same budget and at the same pace.
func (p *Engine) nextConnectCost(ep *endpoint) float64 {
	if ep.callsInFlight < ep.connections*p.settings.StreamsPerConnection {
		return 0
	}
	return ep.connectCost
}

// ---- throttle, window and pace

// capacity is the calls a second that the lane takes from all relays, by report, list or observation.
func (p *Engine) capacity(l *limiter) float64 {
	return cmp.Or(l.reportedRate, l.nominalRate, max(l.history.acceptRate(p.now)*float64(p.settings.Relays), 1))
}

// backoffGrowth is a rest to the age of a run of failures: less where few relays send there much each.
func (p *Engine) backoffGrowth(l *limiter) float64 {
	whole := sharersPerMessage * p.capacity(l) * float64(p.settings.OverloadDuration) / float64(second)
	return maxBackoffGrowth * min(1, float64(p.settings.Relays)/max(whole, 1))
}

// rateLimit is the calls a second that this relay sends there at most.
func (p *Engine) rateLimit(l *limiter) float64 {
	if l.reportedRate == 0 && l.nominalRate == 0 {
		return float64(p.settings.MaxConcurrentCalls) * 2
	}
	whole := p.capacity(l)
	top := p.usualRate(whole) * l.rateMultiplier
	if l.reducedAt > 0 {
		top = min(top, l.reducedRate+reducedRateRecovery*whole/float64(p.settings.Relays)*float64(p.now-l.reducedAt)/float64(second))
	}
	return top
}

// usualRate is a relay's part of a destination's rate while nothing is refused there.
func (p *Engine) usualRate(whole float64) float64 {
	return max(whole/p.shareDivisor, math.Sqrt(whole)/2)
}

// exceedsEvenShare: even at its least the boost leaves the pace above an even share. Where it does not, that is enough.
func (p *Engine) exceedsEvenShare(l *limiter) bool {
	whole := p.capacity(l)
	return l.reportedRate+l.nominalRate > 0 && minRateMultiplier*p.usualRate(whole) > whole/float64(p.settings.Relays)
}

// reduceRate holds a lane's pace to less than what this relay itself has sent there of late. The pace of a small
// stream is set by chance and lies far above its share: with many relays the limit is passed by all of them
// together long before any of them comes near it, and only what they send in truth can be made less.
func (p *Engine) reduceRate(l *limiter) {
	if !p.exceedsEvenShare(l) {
		return
	}
	sent, _ := l.history.totals(p.now)
	own := sent * float64(second) / float64(max(min(p.now-l.history.started, historyWindow), second))
	least := minReducedShare * p.capacity(l) / float64(p.settings.Relays)
	l.reducedRate, l.reducedAt = max(least, rateReduction*min(own, p.rateLimit(l))), p.now
}

// bucketDepth is how many calls a lane may save up: as much as chance alone moves a second of what all relays
// send there together, which the destination must stand anyway. Once it has refused, it stands no more: what
// waits goes one by one.
func (p *Engine) bucketDepth(l *limiter) float64 {
	if l.reducedAt > 0 {
		return 1
	}
	return max(1, math.Sqrt(p.capacity(l)))
}

// drawDrop draws by the formula. A drop is counted and spends the lane's token; the message stays held for a
// later draw.
func (p *Engine) drawDrop(l *limiter) bool {
	req, acc := l.history.totals(p.now)
	l.history.request(p.now)
	// Calls still out speak neither for nor against: counted at once they would drop the next arrivals of a
	// destination that has been quiet for longer than the history.
	return p.rng.Float64() < dropProbability(max(0, req-float64(l.callsInFlight)), acc)
}

// dropProbability is the formula, with the cap that always lets some attempts pass.
func dropProbability(requests, accepted float64) float64 {
	return min(max(0, (requests-acceptFactor*(accepted+acceptPrior))/(requests+1)), maxDropProbability)
}

// hasConcurrency: the window and the destination's part of the slots.
func (p *Engine) hasConcurrency(l *limiter) bool {
	part := maxSlotShare
	if p.failing(l) {
		part = maxSlotShareFailing
	}
	most := max(1, int(part*float64(p.settings.MaxConcurrentCalls)))
	return l.destination.callsInFlight < most && l.callsInFlight < max(1, int(l.window))
}

func (p *Engine) failing(l *limiter) bool {
	return slices.ContainsFunc(l.endpoints, func(ep *endpoint) bool { return ep.unhealthy || ep.failureScore >= 1-failureScoreDecay })
}

// hasToken: the lane has a token, and no refusal or drop keeps it resting.
func (p *Engine) hasToken(l *limiter) bool {
	if l.backoffUntil > p.now {
		return false
	}
	rate := p.rateLimit(l)
	if l.tokens.level(p.now, rate, p.bucketDepth(l)) < 1 {
		l.rateBound = true
		return false
	}
	return true
}

// ---- choose

// chooseEndpoint picks the endpoint for a message: sound before cold before out, then the soonest answer.
func (p *Engine) chooseEndpoint(m *message) *endpoint {
	var best *endpoint
	low := math.Inf(1)
	for _, l := range m.destination.limiters {
		if !p.hasConcurrency(l) || !p.hasToken(l) {
			continue
		}
		for _, ep := range l.endpoints {
			if !p.maySend(m, ep) {
				continue
			}
			lat := ep.latency.mean
			if ep.latency.count == 0 {
				lat = float64(p.usualLatency(m.destination))
			}
			cost := lat * float64(1+ep.callsInFlight)
			if ep.callsInFlight >= ep.connections*p.settings.StreamsPerConnection { // a connection must be opened
				cost += lat
			}
			if ep.zone != p.settings.Zone {
				cost *= 3.0
			}
			if m.lastFailedEndpoint == ep { // another may do better, whatever the cause
				cost += float64(m.class.LatencyObjective)
			}
			if ep.unhealthy {
				cost += float64(m.class.Deadline)
				if ep.recoveredAt == 0 {
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

// idleTimeout is how long an idle connection is kept. Where connections are seen to run out, what all relays keep
// idle at an endpoint together is to be no more than two would keep. Harm: more connections opened.
func (p *Engine) idleTimeout(ep *endpoint) Time {
	if p.connectFailureRatios[ep.limiter.destination.kindIndex] > scarceConnectFailureRatio {
		return p.settings.IdleTimeout * 2 / Time(max(p.settings.Relays, 2))
	}
	return p.settings.IdleTimeout
}

// maySend: every guard on a message and an endpoint together.
func (p *Engine) maySend(m *message, ep *endpoint) bool {
	if m.finished || m.call != nil || p.attemptsExhausted(m) || p.now >= m.deadline-2*p.deadlineMargin() || !p.mayCall(ep) {
		return false
	}
	l := p.orderedQueues[m.key]
	if m.class.Ordered && m.key != 0 && (l == nil || l.messages[0] != m || m.attempts == 0 && l.backoffUntil > p.now) {
		return false
	}
	if m.firstUncertainAt > 0 && m.class.Idempotency == IdempotentByKey && m.class.DedupPerZone && ep.zone != m.firstUncertainZone {
		return false
	}
	// An unsafe message has one try that may run: not where calls fail, but for one that is late already.
	return m.class.Idempotency != NonIdempotent || !ep.unhealthy || ep.recoveredAt > 0 || p.now > m.objectiveAt
}

// dispatch sends what loses most by waiting, over the destinations that an event or the time has touched and
// those that wait for nothing but a slot.
func (p *Engine) dispatch() {
	if p.callsInFlight < p.settings.MaxConcurrentCalls { // what waited for a slot is chosen anew
		for _, d := range p.readyDestinations {
			p.markDirty(d)
		}
		p.readyDestinations = p.readyDestinations[:0]
	}
	for _, d := range p.dirty {
		d.dirty = false
		p.chooseNext(d)
		if d.nextMessage != nil && !slices.Contains(p.readyDestinations, d) {
			p.readyDestinations = append(p.readyDestinations, d)
		}
	}
	p.dirty = p.dirty[:0]
	for p.callsInFlight < p.settings.MaxConcurrentCalls && len(p.readyDestinations) > 0 {
		at := 0
		for i, d := range p.readyDestinations {
			if d.nextPriority > p.readyDestinations[at].nextPriority {
				at = i
			}
		}
		d := p.readyDestinations[at]
		p.startCall(d)
		if p.chooseNext(d); d.nextMessage == nil {
			p.readyDestinations = slices.Delete(p.readyDestinations, at, at+1)
		}
	}
	if p.callsInFlight < p.settings.MaxConcurrentCalls || len(p.pending) <= p.messagesInFlight {
		p.saturatedSince = 0
	} else if p.saturatedSince == 0 {
		p.saturatedSince = p.now
	}
}

// orderQueue puts first what loses most if it waits as long as the queue takes.
func (p *Engine) orderQueue(d *destination) {
	soon := p.now + p.usualLatency(d)
	then := soon + p.drainTime(d)
	for _, m := range d.queue {
		m.waitingLoss = p.valueAt(m, soon) - p.valueAt(m, then)
		if m.recoveredUntried && m.deadline > soon { // taken on to be tried: above all losses, the nearest end first
			m.waitingLoss += recoveredUntriedLoss / float64(m.deadline-p.now)
		}
	}
	slices.SortStableFunc(d.queue, func(a, b *message) int {
		return cmp.Or(cmp.Compare(b.waitingLoss, a.waitingLoss), cmp.Compare(a.objectiveAt, b.objectiveAt))
	})
}

// acceptsCall: some lane of a destination lets a call go, whatever its endpoints say. Where none does, the order of
// what waits is of no use yet.
func (p *Engine) acceptsCall(d *destination) bool {
	open := false
	for _, l := range d.limiters { // each is asked: a lane notes that its pace kept something waiting
		if p.hasConcurrency(l) && p.hasToken(l) {
			open = true
		}
	}
	return open
}

// markDirty has a destination looked at in this turn.
func (p *Engine) markDirty(d *destination) {
	if !d.dirty {
		d.dirty = true
		p.dirty = append(p.dirty, d)
	}
}

// chooseNext finds the message of a destination that loses most if it waits as long as the queue takes; among
// those that lose nothing, the one nearest to its aim.
func (p *Engine) chooseNext(d *destination) {
	d.nextMessage = nil
	if len(d.queue) == 0 {
		return
	}
	if p.acceptsCall(d) {
		p.orderQueue(d)
		for _, m := range d.queue {
			if ep := p.chooseEndpoint(m); ep != nil {
				d.nextMessage, d.nextEndpoint = m, ep
				d.nextPriority = (m.waitingLoss + m.weight/1000) / float64(p.usualLatency(d)+1)
				return
			}
		}
	}
	if at := p.nextSendTime(d); at < math.MaxInt64 && (d.wakeAt <= p.now || at < d.wakeAt) {
		d.wakeAt = max(at, p.now+p.settings.TickInterval)
		p.timers.add(d.wakeAt, func() { p.markDirty(d) })
	}
}

// nextSendTime is the next moment at which time alone may let something go to a destination.
func (p *Engine) nextSendTime(d *destination) Time {
	p.nextSendTimeCalls++
	next := Time(math.MaxInt64)
	for _, l := range d.limiters {
		t := max(l.backoffUntil, l.retryAfterUntil, l.tokens.when(p.now, 1, p.rateLimit(l), p.bucketDepth(l)))
		for _, ep := range l.endpoints {
			at := max(t, ep.backoffUntil, ep.identityRejectedUntil)
			if ep.unhealthy {
				r, depth, _ := p.recoveryBudgetRate(ep)
				need := p.callCost(ep)
				at = max(at, ep.recoveryBudget.when(p.now, need, r, max(depth, need)))
			}
			if at > p.now {
				next = min(next, at)
			}
		}
	}
	for _, m := range d.queue {
		if l := p.orderedQueues[m.key]; l != nil && m.class.Ordered && l.backoffUntil > p.now {
			next = min(next, l.backoffUntil)
		}
		if m.class.Idempotency == NonIdempotent && m.objectiveAt >= p.now { // may then try what is out
			next = min(next, m.objectiveAt+1)
		}
	}
	return next
}

// startCall makes one call with the picked message and what may share it.
func (p *Engine) startCall(d *destination) {
	ep, l := d.nextEndpoint, d.nextEndpoint.limiter
	rate := p.rateLimit(l)
	l.tokens.take(p.now, 1, rate, p.bucketDepth(l))
	trial := ep.unhealthy && ep.recoveredAt == 0
	if trial {
		l.history.request(p.now) // recovery bounds trial calls harder than the formula would
	} else if p.drawDrop(l) {
		l.backoffUntil = max(l.backoffUntil, p.now+p.usualLatency(d))
		return
	}
	c := &call{endpoint: ep, sentAt: p.now, opensConnection: p.nextConnectCost(ep) > 0}
	for _, m := range slices.Clone(d.queue) {
		if c.openAttempts >= d.kind.BatchSize {
			break
		}
		if m == d.nextMessage || c.openAttempts > 0 && !trial {
			p.sendMessage(m, c)
		}
	}
	if c.openAttempts == 0 {
		return
	}
	l.tokens.tokens -= p.nextConnectCost(ep) // paid back before the next
	p.spendRecoveryBudget(ep)
	if p.settings.Cancellation {
		p.cancelOverdueCall(c)
	}
	l.rateBound = false
	p.callsInFlight++
	d.callsInFlight++
	l.callsInFlight++
	ep.callsInFlight++
	ep.connections = max(ep.connections, (ep.callsInFlight+p.settings.StreamsPerConnection-1)/p.settings.StreamsPerConnection)
}

// sendMessage is the one place that sends.
func (p *Engine) sendMessage(m *message, c *call) {
	if !p.maySend(m, c.endpoint) {
		return
	}
	m.destination.queue = slices.DeleteFunc(m.destination.queue, func(x *message) bool { return x == m })
	m.call = c
	p.messagesInFlight++
	m.attempts++
	c.openAttempts++
	c.messages = append(c.messages, m)
	p.emit(Action{Kind: ActSend, Message: m.id, Endpoint: c.endpoint.id, TimeoutAt: p.attemptTimeout(m, c.endpoint), LastByteBy: p.lastByteDeadline(m),
		Recovering: c.endpoint.unhealthy, OpensConnection: c.opensConnection})
}

// attemptTimeout is when an attempt times out.
func (p *Engine) attemptTimeout(m *message, ep *endpoint) Time {
	last := m.deadline - 2*p.deadlineMargin()
	if m.class.Idempotency == NonIdempotent {
		return last // it cannot be tried again
	}
	span := float64(m.class.LatencyObjective)
	if l := &ep.limiter.latency; l.count > 0 {
		span = max(4*l.mean+4*l.deviation, span)
	}
	return min(last, p.now+Time(span))
}

// ---- timers

// scheduleTimer asks for one timer at the next moment at which something may change by itself.
func (p *Engine) scheduleTimer() {
	next := p.timers.nextTime()
	if p.settings.PollList {
		next = min(next, p.polledAt+max(p.settings.PollInterval/2, second))
	}
	if next == math.MaxInt64 || p.timerAt > p.now && p.timerAt <= next {
		return
	}
	p.timerAt = max(next, p.now+p.settings.TickInterval)
	p.emit(Action{Kind: ActTimer, After: p.timerAt - p.now})
}
