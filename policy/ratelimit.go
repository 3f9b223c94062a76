package policy

import (
	"cmp"
	"math"
	"slices"
)

// Adaptive throttling, the window of calls in flight, and the rate of each limiter.

const (
	historyWindow         = 10 * second // requests and accepts are counted over this window
	historyBins           = 20
	acceptFactor          = 2.0  // K of adaptive throttling: requests per accept without any drop
	acceptPrior           = 2.0  // accepts that are added to those counted: a few calls prove nothing
	maxDropProbability    = 0.9  // some attempts always pass
	maxSlotShare          = 0.75 // share of the slots that one destination may use
	maxSlotShareFailing   = 0.5  // the same while one of its endpoints is failing
	rateReduction         = 0.5  // rate after a rejection, relative to what this relay recently sent
	minReducedShare       = 0.5  // least rate after a rejection, relative to an even share (limit/relays)
	reducedRateRecovery   = 0.1  // part of an even share that a reduced rate regains per second
	shareExponent         = 0.75 // a relay's rate is limit/relays^shareExponent: small streams have bursts
	unlimitedCallsPerSlot = 2    // calls per second for each slot if no limit is known
)

// capacity returns the calls per second that a limiter accepts from all relays: reported,
// listed or observed.
func (e *Engine) capacity(limiter *limiter) float64 {
	observed := max(limiter.history.acceptRate(e.now)*float64(e.settings.Relays), 1)
	return cmp.Or(limiter.reportedRate, limiter.nominalRate, observed)
}

// backoffGrowth returns the ratio of a backoff to the duration of the run of failures before it. It is
// smaller if few relays make many calls each.
func (e *Engine) backoffGrowth(limiter *limiter) float64 {
	trials := trialsPerMessage * e.capacity(limiter) * float64(e.settings.OverloadDuration) / float64(second)
	return maxBackoffGrowth * min(1, float64(e.settings.Relays)/max(trials, 1))
}

// rateLimit returns the calls per second that this relay may make under a limiter.
func (e *Engine) rateLimit(limiter *limiter) float64 {
	if limiter.reportedRate == 0 && limiter.nominalRate == 0 {
		return float64(e.settings.MaxConcurrentCalls) * unlimitedCallsPerSlot
	}
	capacity := e.capacity(limiter)
	limit := e.usualRate(capacity) * limiter.rateMultiplier
	if limiter.reducedAt > 0 {
		increase := reducedRateRecovery * capacity / float64(e.settings.Relays)
		limit = min(limit, limiter.reducedRate+increase*float64(e.now-limiter.reducedAt)/float64(second))
	}
	return limit
}

// usualRate returns this relay's rate at a given capacity while nothing is rejected.
func (e *Engine) usualRate(capacity float64) float64 {
	return max(capacity/e.shareDivisor, math.Sqrt(capacity)/2)
}

// exceedsEvenShare reports whether this relay's rate is above an even share of a known limit
// even with the least rate multiplier. If it is not, the multiplier is enough to keep all
// relays together within the limit.
func (e *Engine) exceedsEvenShare(limiter *limiter) bool {
	capacity := e.capacity(limiter)
	known := limiter.reportedRate+limiter.nominalRate > 0
	return known && minRateMultiplier*e.usualRate(capacity) > capacity/float64(e.settings.Relays)
}

// reduceRate limits the rate to less than this relay has recently sent, if the rate multiplier is
// not enough. The rate of a small stream allows for bursts and lies far above an even share: many
// relays together exceed the limit long before any of them reaches its own rate, so only what each
// actually sends can be reduced.
func (e *Engine) reduceRate(limiter *limiter) {
	if !e.exceedsEvenShare(limiter) {
		return
	}
	requests, _ := limiter.history.totals(e.now)
	counted := max(min(e.now-limiter.history.started, historyWindow), second)
	sent := requests * float64(second) / float64(counted)
	least := minReducedShare * e.capacity(limiter) / float64(e.settings.Relays)
	limiter.reducedRate = max(least, rateReduction*min(sent, e.rateLimit(limiter)))
	limiter.reducedAt = e.now
}

// bucketDepth returns how many calls a limiter may save up: the standard deviation of the number of calls
// that all relays together make in a second. After a rejection, waiting messages are sent one by one.
func (e *Engine) bucketDepth(limiter *limiter) float64 {
	if limiter.reducedAt > 0 {
		return 1
	}
	return max(1, math.Sqrt(e.capacity(limiter)))
}

// drawDrop draws whether to drop a call. A dropped call counts as a request and has used its token; its
// message stays pending for a later draw.
func (e *Engine) drawDrop(limiter *limiter) bool {
	requests, accepts := limiter.history.totals(e.now)
	limiter.history.request(e.now)
	// Calls in flight have no result yet. Counted as requests, they would make the next messages of a
	// destination that was idle for longer than the history window likely to be dropped.
	answered := max(0, requests-float64(limiter.callsInFlight))
	return e.rng.Float64() < dropProbability(answered, accepts)
}

// dropProbability is the formula of adaptive throttling, with an upper limit.
func dropProbability(requests, accepts float64) float64 {
	return min(max(0, (requests-acceptFactor*(accepts+acceptPrior))/(requests+1)), maxDropProbability)
}

// hasConcurrency reports whether the window and the destination's share of the slots allow another call.
func (e *Engine) hasConcurrency(limiter *limiter) bool {
	share := maxSlotShare
	if slices.ContainsFunc(limiter.endpoints, (*endpoint).failing) {
		share = maxSlotShareFailing
	}
	slots := max(1, int(share*float64(e.settings.MaxConcurrentCalls)))
	window := max(1, int(limiter.window))
	return limiter.destination.callsInFlight < slots && limiter.callsInFlight < window
}

// failing reports whether an endpoint is unhealthy, or has a failure score as high as after
// one recent failure.
func (ep *endpoint) failing() bool { return ep.unhealthy || ep.failureScore >= 1-failureScoreDecay }

// hasToken reports whether a limiter has a token for a call and is in no backoff. If a token is
// missing, it records in rateBound that the rate holds a call back.
func (e *Engine) hasToken(limiter *limiter) bool {
	if limiter.backoffUntil > e.now {
		return false
	}
	hasToken := limiter.tokens.level(e.now, e.rateLimit(limiter), e.bucketDepth(limiter)) >= 1
	limiter.rateBound = limiter.rateBound || !hasToken
	return hasToken
}
