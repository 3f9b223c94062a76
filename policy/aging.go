package policy

import "slices"

const (
	staleSuccessRamps = 4  // ramp durations without a success after which an outage may have ended unnoticed
	activationRate    = 10 // isolated activations per second; more of them probably occur at other relays too
)

// RestoreAfterRestart loads what an earlier process of this relay stored; shift converts its times to this
// engine's clock. No budget is refilled for the time since, as its spending is unknown. Outages that may have
// ended are treated with caution, outdated figures return to their defaults, and no Retry-After gets shorter.
func (e *Engine) RestoreAfterRestart(now Time, stored *Snapshot, shift Time) {
	now = max(now, e.now)
	outdated := now-shiftTime(stored.Now, shift) > historyWindow
	restored := stored.clone()
	for i := range restored.TenantQuotas {
		restored.TenantQuotas[i].At = now - shift
	}
	for i := range restored.Limiters {
		ageLimiter(&restored.Limiters[i], now-shift, outdated)
	}
	e.LoadSnapshot(now, restored, shift)
}

// ageLimiter adapts a stored limiter to a restart at now, which is a time on the clock of the snapshot.
func ageLimiter(limiter *LimiterSnapshot, now Time, outdated bool) {
	// At most one token, as for a new limiter of a large fleet: many relays may start in the same second.
	limiter.Tokens = TokenBucketSnapshot{now, min(limiter.Tokens.Tokens, 1), true}
	limiter.RateBound = false
	rejecting := limiter.RejectionRun >= unhealthyRejectionRun
	if outdated { // from another traffic situation; the history ages by itself
		limiter.Window, limiter.RateMultiplier, limiter.RejectionRun = 1, 1, 0
	}
	for i := range limiter.Endpoints {
		endpoint := &limiter.Endpoints[i]
		ejected := endpoint.Unhealthy && endpoint.RecoveredAt == 0
		if ejected && rejecting && !endpoint.LastFailureSilent {
			// Ejected for rejections only: it answered, and was over its limit or closed. That may be over,
			// so it starts a ramp as after a first success, and is ejected again at the next rejections.
			endpoint.RecoveredAt = endpoint.LastFailureAt + (now-endpoint.LastFailureAt)/2
			endpoint.RecoverySentAt = endpoint.RecoveredAt
			endpoint.FailureScore *= failureScoreDecay
		}
		endpoint.RecoveryBudget.At = now // repeated restarts must not refill the budget
		if !endpoint.Unhealthy && outdated {
			endpoint.FailureScore = 0
		}
	}
}

// CanPassivate reports whether a destination may be passivated: it has no message and no call, no Retry-After
// is in force, no proof of identity is outstanding, and its history is empty. An outage does not prevent it.
func (e *Engine) CanPassivate(now Time, id int) bool {
	destination := e.findDestination(id)
	if destination == nil {
		return true
	}
	if len(destination.queue) > 0 || destination.callsInFlight > 0 {
		return false
	}
	for _, limiter := range destination.limiters {
		if limiter.retryAfterUntil > now || limiter.history.active(max(now, e.now)) {
			return false
		}
		rejected := func(endpoint *endpoint) bool { return endpoint.identityRejectedUntil > now }
		if slices.ContainsFunc(limiter.endpoints, rejected) {
			return false
		}
	}
	return true
}

// Passivate removes a destination and returns what was learned of it, for the EvListUpdated that activates it
// again. The result is aged by the length of the history window, without the limiters that learned nothing.
func (e *Engine) Passivate(now Time, id int) *Snapshot {
	e.now = max(now, e.now)
	passivated := &Snapshot{Now: e.now}
	destination := e.findDestination(id)
	if destination == nil {
		return passivated
	}
	for _, limiter := range destination.limiters {
		stored := limiter.snapshot(e.now)
		stored.Bins, stored.RateBound, stored.HistoryStart = nil, false, 0
		stored.Window, stored.RateMultiplier, stored.RejectionRun = 1, 1, 0
		stored.FirstRejectionAt, stored.BackoffUntil, stored.RetryAfterUntil = 0, 0, 0
		if e.settings.ListHasRates {
			stored.NominalRate = 0 // the list will set it
		}
		for i := range stored.Endpoints {
			endpoint := &stored.Endpoints[i]
			if !endpoint.Unhealthy {
				endpoint.FailureScore, endpoint.BackoffUntil = 0, 0
				endpoint.RecoveryBudget, endpoint.RequiredTokens = TokenBucketSnapshot{}, 0
			}
		}
		if stored.learned() {
			passivated.Limiters = append(passivated.Limiters, stored)
		}
	}
	e.dropDestination(destination)
	return passivated
}

// activate loads what Passivate returned for the destinations of endpoints that were just added. Their first
// calls go one by one. An endpoint without a recent success may have had an outage: it starts a ramp now. Its
// first call goes at once, unless many destinations are activated together: then as many relays may have a
// first call as there are messages, and each waits for a random amount of budget.
func (e *Engine) activate(event *Event) {
	e.loadLimiters(event.Snapshot, 0)
	isolated := e.activations.take(e.now, 1, activationRate, activationRate)
	for i := range event.Updates {
		endpoint := e.endpoints[event.Updates[i].Endpoint]
		if endpoint == nil || endpoint.state == Gone {
			continue
		}
		if limiter := endpoint.limiter; limiter.nominalRate+limiter.reportedRate > 0 {
			limiter.tokens = tokenBucket{e.now, 1, true}
		}
		ramp := e.settings.RampDuration
		stale := endpoint.lastSuccessAt == 0 || e.now-endpoint.lastSuccessAt > staleSuccessRamps*ramp
		if endpoint.unhealthy || ramp == 0 || !stale {
			continue
		}
		endpoint.unhealthy, endpoint.lastFailureSilent = true, false
		endpoint.recoveredAt, endpoint.recoverySentAt = e.now, e.now
		endpoint.firstFailureAt, endpoint.lastFailureAt = e.now, e.now
		endpoint.recoveryBudget, endpoint.requiredTokens = tokenBucket{}, 1
		if _, _, fractional := e.recoveryBudgetRate(endpoint); fractional && !isolated {
			endpoint.recoveryBudget = tokenBucket{e.now, 0, true}
			endpoint.requiredTokens = e.rng.ExpFloat64()
		}
	}
}
