package policy

import "slices"

// What a restart, or a long idle time, makes of what was learned: caution where an outage may have ended, the
// default where a figure is merely old. A Retry-After never gets shorter.

const (
	unheardRamps   = 4  // unheard for so many ramps: an outage may have ended unseen
	activationRate = 10 // a second may become active by chance; where more do, so do they at other relays
)

// RestoreAfterRestart takes over what an earlier process of this relay stored. Its moments lie shift later on
// this engine's clock. What was spent since is not known: so no budget has grown since then either.
func (e *Engine) RestoreAfterRestart(now Time, stored *Snapshot, shift Time) {
	now = max(now, e.now)
	old := now-shiftTime(stored.Now, shift) > historyWindow
	restored := stored.clone()
	for i := range restored.TenantQuotas {
		restored.TenantQuotas[i].At = now - shift
	}
	for i := range restored.Limiters {
		ageLimiter(&restored.Limiters[i], now-shift, old)
	}
	e.LoadSnapshot(now, restored, shift)
}

// ageLimiter ages a limiter at a moment of the clock that it was stored with.
func ageLimiter(limiter *LimiterSnapshot, now Time, old bool) {
	// Nothing saved up, as when a limiter of a large fleet begins: many relays may start in the same second.
	limiter.Tokens = TokenBucketSnapshot{now, min(limiter.Tokens.Tokens, 1), true}
	limiter.RateBound = false
	shut := limiter.RejectionRun >= unhealthyRejectionRun
	if old { // counts and rates of another time of day; the history ages by itself
		limiter.Window, limiter.RateMultiplier, limiter.RejectionRun = 1, 1, 0
	}
	for i := range limiter.Endpoints {
		endpoint := &limiter.Endpoints[i]
		if endpoint.Unhealthy && endpoint.RecoveredAt == 0 && shut && !endpoint.LastFailureSilent {
			// Rejections alone: it answers, and is over its limit or shut. By now it may be neither, so it is
			// taken to be on its ramp, as after a first answer: it gets the first of it, and is ejected at
			// the next rejections.
			endpoint.RecoveredAt = endpoint.LastFailureAt + (now-endpoint.LastFailureAt)/2
			endpoint.RecoverySentAt = endpoint.RecoveredAt
			endpoint.FailureScore *= failureScoreDecay
		}
		endpoint.RecoveryBudget.At = now // a second start has no second budget
		if !endpoint.Unhealthy && old {
			endpoint.FailureScore = 0
		}
	}
}

// CanPassivate reports whether a destination may be put away: nothing waits or is in flight, no Retry-After
// is in force, no identity is waited for, and what was counted has aged out. An outage is no obstacle.
func (e *Engine) CanPassivate(now Time, id int) bool {
	destination := e.findDestination(id)
	if destination == nil || len(destination.queue) > 0 || destination.callsInFlight > 0 {
		return destination == nil
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

// Passivate forgets a destination, and returns what should be known of it as it comes back with an
// EvListUpdated: aged by a gap as long as the history, and without limiters where nothing was learned.
func (e *Engine) Passivate(now Time, id int) *Snapshot {
	e.now = max(now, e.now)
	kept := &Snapshot{Now: e.now}
	destination := e.findDestination(id)
	if destination == nil {
		return kept
	}
	for _, limiter := range destination.limiters {
		stored := limiter.snapshot(e.now)
		stored.Bins, stored.RateBound, stored.HistoryStart = nil, false, 0
		stored.Window, stored.RateMultiplier, stored.RejectionRun = 1, 1, 0
		stored.FirstRejectionAt, stored.BackoffUntil, stored.RetryAfterUntil = 0, 0, 0
		if e.settings.ListHasRates {
			stored.NominalRate = 0 // the list has it
		}
		for i := range stored.Endpoints {
			endpoint := &stored.Endpoints[i]
			if !endpoint.Unhealthy {
				endpoint.FailureScore, endpoint.BackoffUntil = 0, 0
				endpoint.RecoveryBudget, endpoint.RequiredTokens = TokenBucketSnapshot{}, 0
			}
		}
		if stored.learned() {
			kept.Limiters = append(kept.Limiters, stored)
		}
	}
	e.dropDestination(destination)
	return kept
}

// activate takes back what Passivate gave of destinations whose endpoints have just joined. What they get in
// their first moment goes one by one. One of which nobody heard for long may have been down and come back:
// it is on a ramp from now. The first call there goes at once, unless many are activated together: then as
// many relays may have one as messages come, and each waits for a random amount of budget.
func (e *Engine) activate(event *Event) {
	e.loadLimiters(event.Snapshot, 0)
	alone := e.activations.take(e.now, 1, activationRate, activationRate)
	for i := range event.Updates {
		endpoint := e.endpoints[event.Updates[i].Endpoint]
		if endpoint == nil || endpoint.state == Gone {
			continue
		}
		if limiter := endpoint.limiter; limiter.nominalRate+limiter.reportedRate > 0 {
			limiter.tokens = tokenBucket{e.now, 1, true}
		}
		lastSuccess, ramp := endpoint.lastSuccessAt, e.settings.RampDuration
		unheard := lastSuccess == 0 || e.now-lastSuccess > unheardRamps*ramp
		if endpoint.unhealthy || ramp == 0 || !unheard {
			continue
		}
		endpoint.unhealthy, endpoint.lastFailureSilent = true, false
		endpoint.recoveredAt, endpoint.recoverySentAt = e.now, e.now
		endpoint.firstFailureAt, endpoint.lastFailureAt = e.now, e.now
		endpoint.recoveryBudget, endpoint.requiredTokens = tokenBucket{}, 1
		if _, _, fractional := e.recoveryBudgetRate(endpoint); fractional && !alone {
			endpoint.recoveryBudget, endpoint.requiredTokens = tokenBucket{e.now, 0, true}, e.rng.ExpFloat64()
		}
	}
}
