package policy

import (
	"cmp"
	"math"
	"slices"
)

// Adaptive throttling, the window of calls in flight, and the rate of a limiter.

const (
	historyWindow       = 10 * second // requests and accepts are counted over this
	historyBins         = 20
	acceptFactor        = 2.0 // K of the formula
	acceptPrior         = 2.0 // accepts that a destination has to its credit: a few calls tell nothing
	maxDropProbability  = 0.9 // some attempts always pass
	maxSlotShare        = 0.75
	maxSlotShareFailing = 0.5  // the same while the destination fails
	rateReduction       = 0.5  // rate after a rejection, to what this relay has sent there of late
	minReducedShare     = 0.5  // and at least this part of an even share of the limit
	reducedRateRecovery = 0.1  // even shares that come back each second
	shareExponent       = 0.75 // a share is the rate over relays to this power: small streams need room
	unlimitedCallsASlot = 2    // calls a second for each slot where nothing is known of a limit
)

// capacity is the calls a second that a limiter takes from all relays, by report, list or observation.
func (e *Engine) capacity(limiter *limiter) float64 {
	observed := max(limiter.history.acceptRate(e.now)*float64(e.settings.Relays), 1)
	return cmp.Or(limiter.reportedRate, limiter.nominalRate, observed)
}

// backoffGrowth is a backoff to the length of a run of failures: less where few relays send there much each.
func (e *Engine) backoffGrowth(limiter *limiter) float64 {
	trials := sharersPerMessage * e.capacity(limiter) * float64(e.settings.OverloadDuration) / float64(second)
	return maxBackoffGrowth * min(1, float64(e.settings.Relays)/max(trials, 1))
}

// rateLimit is the calls a second that this relay sends there at most.
func (e *Engine) rateLimit(limiter *limiter) float64 {
	if limiter.reportedRate == 0 && limiter.nominalRate == 0 {
		return float64(e.settings.MaxConcurrentCalls) * unlimitedCallsASlot
	}
	capacity := e.capacity(limiter)
	limit := e.usualRate(capacity) * limiter.rateMultiplier
	if limiter.reducedAt > 0 {
		increase := reducedRateRecovery * capacity / float64(e.settings.Relays)
		limit = min(limit, limiter.reducedRate+increase*float64(e.now-limiter.reducedAt)/float64(second))
	}
	return limit
}

// usualRate is a relay's part of a destination's rate while nothing is rejected there.
func (e *Engine) usualRate(capacity float64) float64 {
	return max(capacity/e.shareDivisor, math.Sqrt(capacity)/2)
}

// exceedsEvenShare: even at its least the multiplier leaves the rate above an even share; else it is enough.
func (e *Engine) exceedsEvenShare(limiter *limiter) bool {
	capacity := e.capacity(limiter)
	known := limiter.reportedRate+limiter.nominalRate > 0
	return known && minRateMultiplier*e.usualRate(capacity) > capacity/float64(e.settings.Relays)
}

// reduceRate holds a limiter's rate to less than what this relay itself has sent there of late. The rate of a
// small stream is set by chance and lies far above its share: with many relays the limit is passed by all of
// them together long before any of them comes near it, and only what they send in truth can be made less.
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

// bucketDepth is how many calls a limiter may save up: as many as chance alone moves a second of what all
// relays send there together. Once it has rejected some, what waits goes one by one.
func (e *Engine) bucketDepth(limiter *limiter) float64 {
	if limiter.reducedAt > 0 {
		return 1
	}
	return max(1, math.Sqrt(e.capacity(limiter)))
}

// drawDrop draws by the formula. A drop counts and spends a token; the message is pending for a later draw.
func (e *Engine) drawDrop(limiter *limiter) bool {
	requests, accepts := limiter.history.totals(e.now)
	limiter.history.request(e.now)
	// Calls in flight speak neither for nor against: counted at once they would drop the next arrivals of a
	// destination that has been quiet for longer than the history.
	return e.rng.Float64() < dropProbability(max(0, requests-float64(limiter.callsInFlight)), accepts)
}

// dropProbability is the formula, with the cap that always lets some attempts pass.
func dropProbability(requests, accepts float64) float64 {
	return min(max(0, (requests-acceptFactor*(accepts+acceptPrior))/(requests+1)), maxDropProbability)
}

// hasConcurrency: the window and the destination's part of the slots let one more call go.
func (e *Engine) hasConcurrency(limiter *limiter) bool {
	share := maxSlotShare
	if slices.ContainsFunc(limiter.endpoints, (*endpoint).failing) {
		share = maxSlotShareFailing
	}
	limit := max(1, int(share*float64(e.settings.MaxConcurrentCalls)))
	return limiter.destination.callsInFlight < limit && limiter.callsInFlight < max(1, int(limiter.window))
}

func (ep *endpoint) failing() bool { return ep.unhealthy || ep.failureScore >= 1-failureScoreDecay }

// hasToken: the limiter has a token, and no rejection or drop holds it back.
func (e *Engine) hasToken(limiter *limiter) bool {
	if limiter.backoffUntil > e.now {
		return false
	}
	hasToken := limiter.tokens.level(e.now, e.rateLimit(limiter), e.bucketDepth(limiter)) >= 1
	limiter.rateBound = limiter.rateBound || !hasToken
	return hasToken
}
