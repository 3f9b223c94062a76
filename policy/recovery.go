package policy

// Outlier detection: when an endpoint is ejected, and the ramp and budget of its recovery. An unhealthy
// endpoint is ejected until a call is answered; from then on it is recovering, until its ramp is over.

const (
	failureScoreDecay   = 0.7 // weight of the past in an endpoint's failure score
	unhealthyScore      = 0.6 // most calls fail: three in a row from a clean start pass it
	maxBackoffGrowth    = 3.0 // backoff after a failure, to the length of the run, with many relays
	recoveryBudgetShare = 1.0 // part of the recovery budget that is used
	sharersPerMessage   = 2.0 // relays that want a trial, to the messages that an outage has kept waiting
)

// recordSuccess notes a success. In an outage it starts the ramp, if the call left after the last failure.
func (e *Engine) recordSuccess(answered *endpoint, sentAt Time) {
	answered.failureScore *= failureScoreDecay
	answered.lastSuccessAt = e.now
	if !answered.ejected() || sentAt < answered.lastFailureAt {
		return
	}
	outageStart := answered.firstFailureAt
	answered.recoveredAt, answered.recoverySentAt = sentAt-(sentAt-answered.lastFailureAt)/2, sentAt
	for _, sibling := range answered.limiter.endpoints {
		if sibling.ejected() && sibling.firstFailureAt == outageStart && sibling.lastFailureAt <= sentAt {
			sibling.recoveredAt, sibling.recoverySentAt = answered.recoveredAt, sentAt
		}
	}
	e.logf("dest %d: answers again, ramp", answered.limiter.destination.id)
}

// recordFailure notes a failure. A run of them is an outage, for siblings too that have shown nothing since.
func (e *Engine) recordFailure(failed *endpoint, sentAt Time, silent bool) {
	if failed.recoveredAt > 0 && sentAt < failed.recoverySentAt {
		return // a call from before the recovery tells nothing of it
	}
	if failed.lastFailureAt <= failed.lastSuccessAt {
		failed.firstFailureAt = e.now
	}
	failed.failureScore = failed.failureScore*failureScoreDecay + 1 - failureScoreDecay
	mostFail := failed.failureScore >= unhealthyScore
	if failed.recoveredAt == 0 || mostFail { // where most calls pass, a failure does not undo the ramp
		failed.lastFailureAt, failed.recoveredAt, failed.lastFailureSilent = e.now, 0, silent
	}
	if failed.unhealthy || !mostFail {
		outage := e.now - failed.firstFailureAt
		failed.backoffUntil = e.now + Time(e.backoffGrowth(failed.limiter)*float64(outage))
		return
	}
	for _, endpoint := range failed.limiter.endpoints {
		if endpoint == failed || !endpoint.unhealthy && endpoint.lastSuccessAt < failed.firstFailureAt {
			endpoint.unhealthy, endpoint.lastFailureSilent, endpoint.recoveredAt = true, silent, 0
			endpoint.firstFailureAt, endpoint.lastFailureAt = failed.firstFailureAt, e.now
			endpoint.recoveryBudget, endpoint.requiredTokens = tokenBucket{at: e.now}, e.rng.ExpFloat64()
		}
	}
	e.logf("dest %d: seen failing, trial calls", failed.limiter.destination.id)
}

// ejected: calls failed there, and none has been answered since.
func (ep *endpoint) ejected() bool { return ep.unhealthy && ep.recoveredAt == 0 }

// excluded: no call goes there, whatever the budget. Its backoff binds it until the verdict is in.
func (ep *endpoint) excluded(now Time) bool {
	return ep.state != Ready || ep.identityRejectedUntil > now || ep.limiter.retryAfterUntil > now ||
		!ep.unhealthy && ep.backoffUntil > now
}

// Avoids reports whether an endpoint gets no ordinary call now: it is excluded or ejected.
func (e *Engine) Avoids(id EndpointID, now Time) bool {
	endpoint := e.endpoints[id]
	return endpoint != nil && (endpoint.excluded(now) || endpoint.ejected())
}

// mayCall: every guard on an endpoint, whatever the message.
func (e *Engine) mayCall(endpoint *endpoint) bool {
	if endpoint.excluded(e.now) {
		return false
	}
	budget := e.nextCallBudget(endpoint) // and the end of its ramp makes it healthy
	if !endpoint.unhealthy || endpoint.ejected() && endpoint.lastFailureSilent && endpoint.callsInFlight > 0 {
		return !endpoint.unhealthy // what does not answer would pin a slot for each trial
	}
	return endpoint.recoveryBudget.level(e.now, budget.rate, budget.depth) >= budget.cost
}

// rampedCapacity is the share of its capacity that an endpoint has; the end of the ramp makes it healthy.
func (e *Engine) rampedCapacity(endpoint *endpoint) float64 {
	share := e.settings.InitialCapacity
	if endpoint.recoveredAt == 0 {
		return share
	}
	share += (1 - share) * float64(e.now-endpoint.recoveredAt) / float64(max(e.settings.RampDuration, 1))
	if share >= 1 {
		if endpoint.unhealthy && endpoint.connectCost > 0 { // what was held back would go at once
			endpoint.limiter.tokens = tokenBucket{e.now, 0, true}
		}
		endpoint.unhealthy, endpoint.failureScore = false, 0
	}
	return share
}

// recoveryBudgetRate is this relay's part of what an unhealthy endpoint may be sent: calls a second, and how
// many may come at once. A burst and the refill of one overload duration together stay inside the budget. It
// is shared by the relays that may have something for the destination since the outage began: all of them
// where they are few, else about as many as messages have come since. fractional: it is less than one call.
func (e *Engine) recoveryBudgetRate(endpoint *endpoint) (rate, depth float64, fractional bool) {
	span := seconds(max(e.settings.OverloadDuration, second))
	capacity := e.capacity(endpoint.limiter)
	outage := seconds(e.now-endpoint.firstFailureAt) + span
	sharers := min(float64(e.settings.Relays), max(1, sharersPerMessage*capacity*outage))
	siblings := max(len(endpoint.limiter.endpoints), 1)
	full := recoveryBudgetShare * e.settings.OverloadFactor * capacity / float64(siblings)
	full = full * span / sharers
	budget := full * e.rampedCapacity(endpoint)
	if depth = budget / 4; endpoint.connectCost > 0 { // a connection and its call come at once
		depth = max(depth, 1+endpoint.connectCost)
	}
	if depth < 1 || depth > budget {
		return budget / span, depth, true
	}
	rate = (budget - depth) / span
	if endpoint.recoveredAt > 0 {
		// On a ramp it bears what the span allows on average, not what it can do by its end: save less.
		rise := (1 - e.settings.InitialCapacity) * span * 1e6 / float64(max(e.settings.RampDuration, 1))
		depth = max(depth-full*rise/2, 1+endpoint.connectCost)
	}
	return rate, depth, false
}

// callBudget is what the next call to an unhealthy endpoint costs, and the token bucket that pays for it.
type callBudget struct {
	cost, rate, depth float64
	fractional        bool
}

func (e *Engine) nextCallBudget(endpoint *endpoint) callBudget {
	rate, depth, fractional := e.recoveryBudgetRate(endpoint)
	cost := endpoint.requiredTokens * (1 + e.nextConnectCost(endpoint))
	return callBudget{cost, rate, max(depth, cost), fractional}
}

// spendRecoveryBudget takes a call out of the budget. Where a part is less than one call relays must not act
// in step: each then needs a random amount with the same mean.
func (e *Engine) spendRecoveryBudget(endpoint *endpoint) {
	budget := e.nextCallBudget(endpoint)
	endpoint.recoveryBudget.take(e.now, budget.cost, budget.rate, budget.depth)
	endpoint.requiredTokens = 1
	if budget.fractional {
		endpoint.requiredTokens = e.rng.ExpFloat64()
	}
}
