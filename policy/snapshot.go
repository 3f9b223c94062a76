package policy

import (
	"cmp"
	"slices"
)

// What a policy has learned of its destinations, in a form that another policy
// takes over: plain values, no message among them. Times are moments of the
// exporting policy's clock.

// Snapshot is everything learned.
type Snapshot struct {
	Now                  Time                  `json:"now"`
	Limiters             []LimiterSnapshot     `json:"lanes"`
	TenantQuotas         []TokenBucketSnapshot `json:"tenants,omitempty"`
	ConnectFailureRatios []float64             `json:"tight,omitempty"`
	Latency              LatencySnapshot       `json:"lat"`
}

// LimiterSnapshot is what is known of one limit: of a destination, or of a route.
type LimiterSnapshot struct {
	Destination      int                 `json:"dest"`
	Endpoints        []EndpointSnapshot  `json:"endpoints"`
	Bins             [][2]float64        `json:"bins,omitempty"` // requests and accepts, the newest last
	HistoryStart     Time                `json:"started,omitempty"`
	Window           float64             `json:"window"`
	RetryAfterUntil  Time                `json:"wait_until,omitempty"`
	BackoffUntil     Time                `json:"pause_until,omitempty"`
	NominalRate      float64             `json:"nominal,omitempty"`
	ReportedRate     float64             `json:"limit,omitempty"`
	RateMultiplier   float64             `json:"boost"`
	ReducedRate      float64             `json:"cut,omitempty"`
	ReducedAt        Time                `json:"cut_at,omitempty"`
	Tokens           TokenBucketSnapshot `json:"tokens"`
	RateBound        bool                `json:"bound,omitempty"`
	RejectionRun     int                 `json:"full_run,omitempty"`
	FirstRejectionAt Time                `json:"full_at,omitempty"`
	Latency          LatencySnapshot     `json:"lat"`
}

// EndpointSnapshot is what is known of one endpoint's health.
type EndpointSnapshot struct {
	ID                EndpointID          `json:"id"`
	BackoffUntil      Time                `json:"rest_until,omitempty"`
	FailureScore      float64             `json:"score,omitempty"`
	Unhealthy         bool                `json:"sick,omitempty"`
	FirstFailureAt    Time                `json:"first_bad,omitempty"`
	LastFailureAt     Time                `json:"bad_at,omitempty"`
	RecoveredAt       Time                `json:"good_at,omitempty"`
	RecoverySentAt    Time                `json:"good_sent,omitempty"`
	LastSuccessAt     Time                `json:"ok_at,omitempty"`
	RecoveryBudget    TokenBucketSnapshot `json:"budget"`
	RequiredTokens    float64             `json:"need,omitempty"`
	LastFailureSilent bool                `json:"mute,omitempty"`
	Latency           LatencySnapshot     `json:"lat"`
}

// TokenBucketSnapshot is a token bucket.
type TokenBucketSnapshot struct {
	At     Time    `json:"at,omitempty"`
	Tokens float64 `json:"tokens,omitempty"`
	Used   bool    `json:"used,omitempty"`
}

// LatencySnapshot is a smoothed mean and deviation, in µs.
type LatencySnapshot struct {
	Mean      float64 `json:"mean,omitempty"`
	Deviation float64 `json:"dev,omitempty"`
	Count     int     `json:"n,omitempty"`
}

func (b tokenBucket) snapshot() TokenBucketSnapshot {
	return TokenBucketSnapshot{b.at, b.tokens, b.used}
}

func (m TokenBucketSnapshot) restore(shift Time) tokenBucket {
	return tokenBucket{shiftTime(m.At, shift), m.Tokens, m.Used}
}

func (l latencyEstimate) snapshot() LatencySnapshot {
	return LatencySnapshot{l.mean, l.deviation, l.count}
}
func (m LatencySnapshot) restore() latencyEstimate {
	return latencyEstimate{m.Mean, m.Deviation, m.Count}
}

// shiftTime takes a moment to another clock; none stays none.
func shiftTime(t, shift Time) Time {
	if t == 0 {
		return 0
	}
	return max(t+shift, 1)
}

// snapshot shows what is known of a lane by now.
func (l *limiter) snapshot(now Time) LimiterSnapshot {
	x := LimiterSnapshot{Destination: l.destination.id, Window: l.window, RetryAfterUntil: l.retryAfterUntil, BackoffUntil: l.backoffUntil, NominalRate: l.nominalRate,
		ReportedRate: l.reportedRate, RateMultiplier: l.rateMultiplier, ReducedRate: l.reducedRate, ReducedAt: l.reducedAt, Tokens: l.tokens.snapshot(), RateBound: l.rateBound, RejectionRun: l.rejectionRun, FirstRejectionAt: l.firstRejectionAt, Latency: l.latency.snapshot()}
	if l.history.hasStart {
		l.history.roll(now)
		n := Time(len(l.history.bins))
		for i := range n {
			x.Bins = append(x.Bins, l.history.bins[(l.history.at+1+i)%n])
		}
		x.HistoryStart = l.history.started
	}
	for _, ep := range l.endpoints {
		x.Endpoints = append(x.Endpoints, EndpointSnapshot{ID: ep.id, BackoffUntil: ep.backoffUntil, FailureScore: ep.failureScore, Unhealthy: ep.unhealthy,
			FirstFailureAt: ep.firstFailureAt, LastFailureAt: ep.lastFailureAt, RecoveredAt: ep.recoveredAt, RecoverySentAt: ep.recoverySentAt, LastSuccessAt: ep.lastSuccessAt,
			RecoveryBudget: ep.recoveryBudget.snapshot(), RequiredTokens: ep.requiredTokens, LastFailureSilent: ep.lastFailureSilent, Latency: ep.latency.snapshot()})
	}
	return x
}

// Snapshot shows what the policy has learned by now.
func (p *Engine) Snapshot(now Time) *Snapshot {
	m := &Snapshot{Now: now, ConnectFailureRatios: slices.Clone(p.connectFailureRatios), Latency: p.latency.snapshot()}
	for _, t := range p.tenantQuotas {
		m.TenantQuotas = append(m.TenantQuotas, t.snapshot())
	}
	for _, d := range p.destinations {
		for _, l := range d.limiters {
			m.Limiters = append(m.Limiters, l.snapshot(now))
		}
	}
	return m
}

// LoadSnapshot takes over what another policy learned, of the endpoints that the list
// has named to this one already. Its moments lie shift later on this policy's
// clock. Nothing of it may be known here yet: what is, is replaced.
func (p *Engine) LoadSnapshot(now Time, m *Snapshot, shift Time) {
	p.now = max(now, p.now)
	if p.latency = m.Latency.restore(); len(m.ConnectFailureRatios) == len(p.connectFailureRatios) {
		copy(p.connectFailureRatios, m.ConnectFailureRatios)
	}
	if len(m.TenantQuotas) == len(p.tenantQuotas) {
		for i, t := range m.TenantQuotas {
			p.tenantQuotas[i] = t.restore(shift)
		}
	}
	p.loadLimiters(m, shift)
}

// loadLimiters takes over what binds destinations.
func (p *Engine) loadLimiters(m *Snapshot, shift Time) {
	for i := range m.Limiters {
		x := &m.Limiters[i]
		var l *limiter
		for _, e := range x.Endpoints {
			if ep := p.endpoints[e.ID]; ep != nil && ep.limiter.destination.id == x.Destination {
				l = cmp.Or(l, ep.limiter)
				ep.backoffUntil, ep.failureScore, ep.unhealthy = shiftTime(e.BackoffUntil, shift), e.FailureScore, e.Unhealthy
				ep.firstFailureAt, ep.lastFailureAt, ep.lastSuccessAt = shiftTime(e.FirstFailureAt, shift), shiftTime(e.LastFailureAt, shift), shiftTime(e.LastSuccessAt, shift)
				ep.recoveredAt, ep.recoverySentAt = shiftTime(e.RecoveredAt, shift), shiftTime(e.RecoverySentAt, shift)
				ep.recoveryBudget, ep.requiredTokens, ep.lastFailureSilent, ep.latency = e.RecoveryBudget.restore(shift), e.RequiredTokens, e.LastFailureSilent, e.Latency.restore()
			}
		}
		if l == nil { // all its endpoints are new: what binds the destination as a whole binds them too
			at, ok := slices.BinarySearchFunc(p.destinations, x.Destination, func(d *destination, id int) int { return d.id - id })
			if !ok || p.destinations[at].kind.IndependentRoutes || len(p.destinations[at].limiters) == 0 {
				continue
			}
			l = p.destinations[at].limiters[0]
		}
		l.window, l.rateMultiplier, l.rateBound = max(x.Window, 1), x.RateMultiplier, x.RateBound
		l.retryAfterUntil, l.backoffUntil = shiftTime(x.RetryAfterUntil, shift), shiftTime(x.BackoffUntil, shift)
		l.reducedRate, l.reducedAt = x.ReducedRate, shiftTime(x.ReducedAt, shift)
		l.reportedRate, l.nominalRate = x.ReportedRate, cmp.Or(l.nominalRate, x.NominalRate)
		l.tokens, l.latency = x.Tokens.restore(shift), x.Latency.restore()
		l.rejectionRun, l.firstRejectionAt = x.RejectionRun, shiftTime(x.FirstRejectionAt, shift)
		if len(x.Bins) == len(l.history.bins) {
			l.history = newSlidingCounter(historyWindow, historyBins)
			l.history.roll(shiftTime(m.Now, shift))
			n := Time(len(x.Bins))
			for j, b := range x.Bins {
				l.history.bins[(l.history.at+1+Time(j))%n] = b
				l.history.sum[0] += b[0]
				l.history.sum[1] += b[1]
			}
			l.history.started = shiftTime(x.HistoryStart, shift)
		}
		p.markDirty(l.destination)
	}
}

// restoreAttempt books that an attempt of a message, made by the policy from which
// this one took over, is still out: it holds its slot, and its outcome comes as
// if it had been sent here.
func (p *Engine) restoreAttempt(m *message, ep *endpoint, sent Time) {
	m.destination.queue = slices.DeleteFunc(m.destination.queue, func(x *message) bool { return x == m })
	c := &call{endpoint: ep, sentAt: sent, openAttempts: 1, messages: []*message{m}}
	m.call = c
	p.messagesInFlight++
	p.callsInFlight++
	m.destination.callsInFlight++
	ep.limiter.callsInFlight++
	ep.callsInFlight++
	ep.connections = max(ep.connections, (ep.callsInFlight+p.settings.StreamsPerConnection-1)/p.settings.StreamsPerConnection)
	if p.settings.Cancellation {
		p.timers.add(p.now, func() { p.cancelOverdueCall(c) })
	}
}
