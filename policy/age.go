package policy

import "slices"

const (
	unheardRamps   = 4  // unheard for so many ramps: an outage may have come and gone, and its end be on its ramp
	activationRate = 10 // destinations a second that may wake by chance; where more do, they do at other relays too
)

// What a restart, or a long rest, makes of what was learned. Every rule errs towards caution where an outage may have ended, and
// towards the default where a figure is merely old; a wait never shortens.

// RestoreAfterRestart takes over what an earlier process of this relay had written before it ended, maybe without a word. Its
// moments lie shift later on this policy's clock. What was spent since it was written is not known: so no budget
// has grown since then either.
func (p *Engine) RestoreAfterRestart(now Time, m *Snapshot, shift Time) {
	now = max(now, p.now)
	old := now-shiftTime(m.Now, shift) > historyWindow
	here := now - shift // this moment, as the memory has its moments
	c := *m
	c.TenantQuotas = slices.Clone(m.TenantQuotas)
	for i := range c.TenantQuotas {
		c.TenantQuotas[i].At = here
	}
	c.Limiters = slices.Clone(m.Limiters)
	for i := range c.Limiters {
		l := &c.Limiters[i]
		// Nothing saved up, as when a lane of a large fleet begins: many relays may start in the same second.
		l.Tokens, l.RateBound = TokenBucketSnapshot{here, min(l.Tokens.Tokens, 1), true}, false
		shut := l.RejectionRun >= unhealthyRejectionRun
		if old { // counts and paces of another time of day; the history ages by itself
			l.Window, l.RateMultiplier, l.RejectionRun = 1, 1, 0
		}
		l.Endpoints = slices.Clone(l.Endpoints)
		for j := range l.Endpoints {
			e := &l.Endpoints[j]
			if e.Unhealthy && e.RecoveredAt == 0 && shut && !e.LastFailureSilent {
				// Refusals alone: it answers, and is over its limit or shut. By now it may be neither, so it is held
				// to be on its ramp, as after a first answer: what it bears cold, and out again at the next refusals.
				e.RecoveredAt = e.LastFailureAt + (here-e.LastFailureAt)/2
				e.RecoverySentAt, e.FailureScore = e.RecoveredAt, e.FailureScore*failureScoreDecay
			}
			e.RecoveryBudget.At = here // a second start has no second budget, of what is out or on its ramp
			if !e.Unhealthy && old {
				e.FailureScore = 0
			}
		}
	}
	p.LoadSnapshot(now, &c, shift)
}

// CanPassivate reports whether a destination may be put away: nothing waits for it, nothing is out there, no wait is in
// force, no identity is waited for, and what was counted of it has aged out. An outage is no obstacle: it is kept.
func (p *Engine) CanPassivate(now Time, id int) bool {
	d := p.findDestination(id)
	if d == nil || len(d.queue) > 0 || d.callsInFlight > 0 {
		return d == nil
	}
	for _, l := range d.limiters {
		if l.retryAfterUntil > now {
			return false
		}
		if l.history.hasStart {
			if requests, accepts := l.history.totals(max(now, p.now)); requests > 0 || accepts > 0 {
				return false
			}
		}
		if slices.ContainsFunc(l.endpoints, func(ep *endpoint) bool { return ep.identityRejectedUntil > now }) {
			return false
		}
	}
	return true
}

// Passivate forgets a destination that is quiet, and returns what should be known of it as it comes back: an
// EvList brings it. There are no lanes in it where nothing was learned. What a gap as long as the history makes
// of a memory is made of it here.
func (p *Engine) Passivate(now Time, id int) *Snapshot {
	p.now = max(now, p.now)
	m := &Snapshot{Now: p.now}
	d := p.findDestination(id)
	if d == nil {
		return m
	}
	for _, l := range d.limiters {
		x := l.snapshot(p.now)
		x.Bins, x.RateBound, x.HistoryStart = nil, false, 0
		x.Window, x.RateMultiplier, x.RejectionRun, x.FirstRejectionAt, x.BackoffUntil, x.RetryAfterUntil = 1, 1, 0, 0, 0, 0
		if p.settings.ListHasRates {
			x.NominalRate = 0 // the list has it
		}
		learned := x.NominalRate > 0 || x.ReportedRate > 0 || x.ReducedRate > 0 || x.Latency.Count > 0
		for j := range x.Endpoints {
			e := &x.Endpoints[j]
			if !e.Unhealthy {
				e.FailureScore, e.BackoffUntil, e.RecoveryBudget, e.RequiredTokens = 0, 0, TokenBucketSnapshot{}, 0
			}
			learned = learned || e.Unhealthy || e.LastSuccessAt > 0 || e.LastFailureAt > 0
		}
		if learned {
			m.Limiters = append(m.Limiters, x)
		}
	}
	p.dropDestination(d)
	return m
}

// activate takes back what PutAway gave of destinations whose endpoints have just joined. Nothing is saved up for
// them: what they get in their first moment goes one by one. One of which nobody has heard for long, or ever,
// may have been out and come back: it is on a ramp from now, and gets what it bears cold, over all its routes.
// The first call there goes at once, unless many wake together: then as many relays may have one as messages
// come, and each waits for a random amount of budget.
func (p *Engine) activate(e *Event) {
	p.loadLimiters(e.Snapshot, 0)
	alone := p.activations.take(p.now, 1, activationRate, activationRate)
	for i := range e.Updates {
		ep := p.endpoints[e.Updates[i].Endpoint]
		if ep == nil || ep.state == Gone {
			continue
		}
		if l := ep.limiter; l.nominalRate+l.reportedRate > 0 {
			l.tokens = tokenBucket{p.now, 1, true}
		}
		if !ep.unhealthy && p.settings.RampDuration > 0 && (ep.lastSuccessAt == 0 || p.now-ep.lastSuccessAt > unheardRamps*p.settings.RampDuration) {
			ep.unhealthy, ep.lastFailureSilent, ep.recoveredAt, ep.recoverySentAt = true, false, p.now, p.now
			ep.firstFailureAt, ep.lastFailureAt, ep.recoveryBudget, ep.requiredTokens = p.now, p.now, tokenBucket{}, 1
			if _, _, rare := p.recoveryBudgetRate(ep); rare && !alone {
				ep.recoveryBudget, ep.requiredTokens = tokenBucket{p.now, 0, true}, p.rng.ExpFloat64()
			}
		}
	}
}
