package policy

import "slices"

// What remains of learned state after a restart or a long idle time. Where an outage may have
// ended unnoticed the engine is cautious, figures that are only outdated return to their
// defaults, and a Retry-After never gets shorter.

const (
	staleSuccessRamps = 4  // ramp durations without a success after which an outage may have ended unnoticed
	activationRate    = 10 // activations per second up to which each one counts as isolated; see activate
)

// RestoreAfterRestart loads what an earlier process of this relay stored; shift converts its times to this
// engine's clock. No budget is refilled for the time since then, because what was spent of it is unknown.
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
	if outdated { // learned at another time of day; the history ages by itself
		limiter.Window = 1
		limiter.RateMultiplier = 1
		limiter.RejectionRun = 0
	}
	for i := range limiter.Endpoints {
		endpoint := &limiter.Endpoints[i]
		ejected := endpoint.Unhealthy && endpoint.RecoveredAt == 0
		onlyRejections := rejecting && !endpoint.LastFailureSilent
		if ejected && onlyRejections {
			// Ejected only for rejections: the endpoint answered, and was over its limit or closed. That may
			// be over by now, so it starts a ramp as after a first success, and is ejected again at the next
			// rejections.
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

// CanPassivate reports whether a destination may be passivated: it has no message and no call,
// no Retry-After is in force, no proof of identity is outstanding, and its history is empty. An
// outage does not prevent it.
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

// Passivate removes a destination and returns what was learned of it, for the EvListUpdated
// that activates it again. The result is aged as if a history window had passed, and omits
// limiters that have learned nothing.
func (e *Engine) Passivate(now Time, id int) *Snapshot {
	e.now = max(now, e.now)
	passivated := &Snapshot{Now: e.now}
	destination := e.findDestination(id)
	if destination == nil {
		return passivated
	}
	for _, stored := range e.limiterSnapshots(destination, e.now) {
		stored.Bins = nil
		stored.HistoryStart = 0
		stored.Window = 1
		stored.RateMultiplier = 1
		stored.RateBound = false
		stored.RejectionRun = 0
		stored.FirstRejectionAt = 0
		stored.BackoffUntil = 0
		stored.RetryAfterUntil = 0
		if e.settings.ListHasRates {
			stored.NominalRate = 0 // the list will set it
		}
		for i := range stored.Endpoints {
			endpoint := &stored.Endpoints[i]
			if !endpoint.Unhealthy {
				endpoint.FailureScore = 0
				endpoint.BackoffUntil = 0
				endpoint.RecoveryBudget = TokenBucketSnapshot{}
				endpoint.RequiredTokens = 0
			}
		}
		if stored.learned() {
			passivated.Limiters = append(passivated.Limiters, stored)
		}
	}
	e.dropDestination(destination)
	return passivated
}

// activate loads what Passivate returned for the destinations of endpoints that were just added. Their
// first calls are sent one by one. An endpoint without a recent success may have had an outage
// meanwhile, so it starts a ramp now. Its first call is sent at once, unless many destinations are
// activated together. Then other relays may activate the same destinations for other messages, and
// each relay waits for a random amount of budget, so that they do not all call in the same moment.
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
		if endpoint.unhealthy || ramp == 0 {
			continue
		}
		stale := endpoint.lastSuccessAt == 0 || e.now-endpoint.lastSuccessAt > staleSuccessRamps*ramp
		if !stale {
			continue
		}
		endpoint.unhealthy = true
		endpoint.lastFailureSilent = false
		endpoint.firstFailureAt = e.now
		endpoint.lastFailureAt = e.now
		endpoint.recoveredAt = e.now
		endpoint.recoverySentAt = e.now
		endpoint.recoveryBudget = tokenBucket{}
		endpoint.requiredTokens = 1
		_, _, fractional := e.recoveryBudgetRate(endpoint)
		if fractional && !isolated {
			endpoint.recoveryBudget = tokenBucket{e.now, 0, true}
			endpoint.requiredTokens = e.rng.ExpFloat64()
		}
	}
}
