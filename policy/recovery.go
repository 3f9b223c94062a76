package policy

// Ejection of unhealthy endpoints (outlier detection), and the ramp and budget of their recovery. An
// unhealthy endpoint is ejected until a call to it succeeds. From then on it is recovering, until its
// ramp is over and it is healthy.

const (
	failureScoreDecay   = 0.7 // weight of the past in an endpoint's failure score
	unhealthyScore      = 0.6 // most calls fail; three failures in a row after only successes reach it
	maxBackoffGrowth    = 3.0 // largest ratio of a backoff to the duration of the run of failures
	recoveryBudgetShare = 1.0 // part of the recovery budget that is used
	trialsPerMessage    = 2.0 // trial calls that all relays want, for each message submitted in the outage
)

// recordSuccess records a success. If the endpoint is ejected and the call was sent after its last
// failure, the outage is over, and the ramp starts for it and for all siblings that failed in the same
// outage. The relay may have called only long after the end of the outage, which is assumed midway
// between the last failure and the send of this call.
func (e *Engine) recordSuccess(answered *endpoint, sentAt Time) {
	answered.failureScore *= failureScoreDecay
	answered.lastSuccessAt = e.now
	answered.limiter.answeredSentAt = max(answered.limiter.answeredSentAt, sentAt)
	hasLeft := answered.state == Gone // then it says nothing about those that have taken its place
	if hasLeft || !answered.ejected() || sentAt < answered.lastFailureAt {
		return
	}
	outageStart := answered.firstFailureAt
	answered.recoveredAt = sentAt - (sentAt-answered.lastFailureAt)/2
	answered.recoverySentAt = sentAt
	for _, sibling := range answered.limiter.endpoints {
		sameOutage := sibling.firstFailureAt == outageStart && sibling.lastFailureAt <= sentAt
		if sibling.ejected() && sameOutage {
			sibling.recoveredAt = answered.recoveredAt
			sibling.recoverySentAt = sentAt
		}
	}
	e.logf("dest %d: answers again, ramp", answered.limiter.destination.id)
}

// recordFailure records a failure. Once most calls fail, the endpoint is unhealthy, and with it all
// siblings that have had no success since its first failure. Before that, and while it stays
// unhealthy, each failure starts a backoff in proportion to the time since the first one. silent
// means that the call got no answer.
func (e *Engine) recordFailure(failed *endpoint, sentAt Time, silent bool) {
	if failed.state == Gone {
		e.recordLateFailure(failed, sentAt, silent)
		return
	}
	if failed.recoveredAt > 0 && sentAt < failed.recoverySentAt {
		return // the call was sent before the recovery
	}
	if failed.lastFailureAt <= failed.lastSuccessAt {
		failed.firstFailureAt = e.now
	}
	failed.addFailure()
	mostFail := failed.failureScore >= unhealthyScore
	if failed.recoveredAt == 0 || mostFail { // while most calls succeed, a failure does not end the ramp
		failed.recoveredAt = 0
		failed.lastFailureAt = e.now
		failed.lastFailureSilent = silent
	}
	if failed.unhealthy || !mostFail {
		outage := e.now - failed.firstFailureAt
		failed.backoffUntil = e.now + Time(e.backoffGrowth(failed.limiter)*float64(outage))
		return
	}
	for _, endpoint := range failed.limiter.endpoints {
		joinsOutage := !endpoint.unhealthy && endpoint.lastSuccessAt < failed.firstFailureAt
		if endpoint == failed || joinsOutage {
			endpoint.unhealthy = true
			endpoint.recoveredAt = 0
			endpoint.firstFailureAt = failed.firstFailureAt
			endpoint.lastFailureAt = e.now
			endpoint.lastFailureSilent = silent
			endpoint.recoveryBudget = tokenBucket{at: e.now}
			endpoint.requiredTokens = e.rng.ExpFloat64()
		}
	}
	e.logf("dest %d: seen failing, trial calls", failed.limiter.destination.id)
}

// addFailure adds a failed call to the failure score.
func (h *health) addFailure() {
	h.failureScore = h.failureScore*failureScoreDecay + 1 - failureScoreDecay
}

// ejected reports whether an endpoint is unhealthy and has had no success since.
func (h *health) ejected() bool { return h.unhealthy && h.recoveredAt == 0 }

// excluded reports whether an endpoint may get no call at all, whatever its recovery budget. Its
// backoff applies only until it is unhealthy; from then on the recovery budget limits the calls.
func (ep *endpoint) excluded(now Time) bool {
	if ep.state != Ready || ep.identityRejectedUntil > now {
		return true
	}
	if ep.limiter.retryAfterUntil > now {
		return true
	}
	return !ep.unhealthy && ep.backoffUntil > now
}

// Avoids reports whether an endpoint gets no ordinary call now: none at all, or trial calls
// only because it is ejected.
func (e *Engine) Avoids(id EndpointID, now Time) bool {
	endpoint := e.endpoints[id]
	return endpoint != nil && (endpoint.excluded(now) || endpoint.ejected())
}

// mayCall reports whether an endpoint may get a call now. It applies every guard that does
// not depend on the message.
func (e *Engine) mayCall(endpoint *endpoint) bool {
	if endpoint.excluded(e.now) {
		return false
	}
	budget := e.nextCallBudget(endpoint) // marks the endpoint healthy if its ramp is over
	if !endpoint.unhealthy {
		return true
	}
	silent := endpoint.ejected() && endpoint.lastFailureSilent
	if silent && endpoint.callsInFlight > 0 {
		return false // without answers, each trial call would hold a slot until its timeout
	}
	return endpoint.recoveryBudget.level(e.now, budget.rate, budget.depth) >= budget.cost
}

// capacityShare returns the share of its full capacity that an unhealthy endpoint has now: 1 or more if its
// ramp is over.
func (e *Engine) capacityShare(known *health) float64 {
	share := e.settings.InitialCapacity
	if known.recoveredAt == 0 {
		return share
	}
	return share + (1-share)*float64(e.now-known.recoveredAt)/float64(max(e.settings.RampDuration, 1))
}

// rampedCapacity returns the share of its full capacity that an endpoint has now, and marks the
// endpoint healthy at the end of its ramp.
func (e *Engine) rampedCapacity(endpoint *endpoint) float64 {
	share := e.capacityShare(&endpoint.health)
	if share >= 1 && endpoint.recoveredAt > 0 {
		if endpoint.unhealthy && endpoint.connectCost > 0 { // messages held back would be sent in one burst
			endpoint.limiter.tokens = tokenBucket{e.now, 0, true}
		}
		endpoint.unhealthy = false
		endpoint.failureScore = 0
	}
	return share
}

// recoveryBudgetRate returns this relay's part of the calls that an unhealthy endpoint may get: the
// calls per second and the largest burst. A full burst and the refill over one overload duration
// together stay within the budget. The budget is shared by the relays that may have got a message for
// the destination since the outage began: all of them if they are few, else a number in proportion to
// the messages since then. fractional means that the part is less than one call.
func (e *Engine) recoveryBudgetRate(endpoint *endpoint) (rate, depth float64, fractional bool) {
	span := seconds(max(e.settings.OverloadDuration, second))
	capacity := e.capacity(endpoint.limiter)
	outage := seconds(e.now-endpoint.firstFailureAt) + span
	competing := min(float64(e.settings.Relays), max(1, trialsPerMessage*capacity*outage))
	endpoints := max(len(endpoint.limiter.endpoints), 1)
	fullBudget := recoveryBudgetShare * e.settings.OverloadFactor * capacity / float64(endpoints)
	fullBudget = fullBudget * span / competing
	budget := fullBudget * e.rampedCapacity(endpoint)
	depth = budget / 4
	if endpoint.connectCost > 0 { // a connection and its call come at once
		depth = max(depth, 1+endpoint.connectCost)
	}
	if depth < 1 || depth > budget {
		return budget / span, depth, true
	}
	rate = (budget - depth) / span
	if endpoint.recoveredAt > 0 {
		// Over the span the endpoint bears its average capacity on the ramp, not the capacity that it
		// has at the end. The burst is smaller by the difference.
		rise := (1 - e.settings.InitialCapacity) * span * 1e6 / float64(max(e.settings.RampDuration, 1))
		depth = max(depth-fullBudget*rise/2, 1+endpoint.connectCost)
	}
	return rate, depth, false
}

// callBudget is the cost of the next call to an unhealthy endpoint, and the token bucket that pays for it.
type callBudget struct {
	cost, rate, depth float64
	fractional        bool
}

// nextCallBudget returns the cost of the next call to an unhealthy endpoint and the bucket that pays
// for it. The bucket is at least as deep as the cost, so that a call that costs more than the usual
// burst can be saved up for.
func (e *Engine) nextCallBudget(endpoint *endpoint) callBudget {
	rate, depth, fractional := e.recoveryBudgetRate(endpoint)
	cost := endpoint.requiredTokens * (1 + e.nextConnectCost(endpoint))
	return callBudget{cost, rate, max(depth, cost), fractional}
}

// spendRecoveryBudget charges a call to the budget. If this relay's part is less than one call, the next
// call requires a random number of tokens with mean 1, so that the relays do not call at the same time.
func (e *Engine) spendRecoveryBudget(endpoint *endpoint) {
	budget := e.nextCallBudget(endpoint)
	endpoint.recoveryBudget.take(e.now, budget.cost, budget.rate, budget.depth)
	endpoint.requiredTokens = 1
	if budget.fractional {
		endpoint.requiredTokens = e.rng.ExpFloat64()
	}
}
