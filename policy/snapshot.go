package policy

import (
	"cmp"
	"slices"
)

// The learned state of an engine in a form that another engine can load. It contains no messages. Times are on the
// clock of the engine that took the snapshot. The JSON keys must not change: they occur in stored files and in
// hand-over packets of other versions.

// Snapshot is what an engine has learned.
type Snapshot struct {
	Now                  Time                  `json:"now"`
	Limiters             []LimiterSnapshot     `json:"lanes"`
	TenantQuotas         []TokenBucketSnapshot `json:"tenants,omitempty"`
	ConnectFailureRatios []float64             `json:"tight,omitempty"`
	Latency              LatencySnapshot       `json:"lat"`
}

// LimiterSnapshot is the learned state of one limiter, of a destination or of an independent route.
type LimiterSnapshot struct {
	Destination      int                 `json:"dest"`
	Endpoints        []EndpointSnapshot  `json:"endpoints"`
	Bins             [][2]float64        `json:"bins,omitempty"` // requests and accepts, the oldest bin first
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

// EndpointSnapshot is the learned health of one endpoint.
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

// TokenBucketSnapshot is the state of a token bucket.
type TokenBucketSnapshot struct {
	At     Time    `json:"at,omitempty"`
	Tokens float64 `json:"tokens,omitempty"`
	Used   bool    `json:"used,omitempty"`
}

// LatencySnapshot is an exponentially smoothed mean and mean deviation, in µs.
type LatencySnapshot struct {
	Mean      float64 `json:"mean,omitempty"`
	Deviation float64 `json:"dev,omitempty"`
	Count     int     `json:"n,omitempty"`
}

// clone copies everything that RestoreAfterRestart changes; the rest is shared.
func (s *Snapshot) clone() *Snapshot {
	cloned := *s
	cloned.TenantQuotas = slices.Clone(s.TenantQuotas)
	cloned.Limiters = slices.Clone(s.Limiters)
	for i := range cloned.Limiters {
		cloned.Limiters[i].Endpoints = slices.Clone(s.Limiters[i].Endpoints)
	}
	return &cloned
}

// learned reports whether the snapshot differs from that of a new limiter with new endpoints.
func (s *LimiterSnapshot) learned() bool {
	if s.NominalRate > 0 || s.ReportedRate > 0 || s.ReducedRate > 0 || s.Latency.Count > 0 {
		return true
	}
	return slices.ContainsFunc(s.Endpoints, func(endpoint EndpointSnapshot) bool {
		return endpoint.Unhealthy || endpoint.LastSuccessAt > 0 || endpoint.LastFailureAt > 0
	})
}

// snapshot returns the stored form of a token bucket.
func (b tokenBucket) snapshot() TokenBucketSnapshot {
	return TokenBucketSnapshot{b.at, b.tokens, b.used}
}

// restore returns the token bucket of a stored form; shift converts its time to this engine's clock.
func (s TokenBucketSnapshot) restore(shift Time) tokenBucket {
	return tokenBucket{shiftTime(s.At, shift), s.Tokens, s.Used}
}

// snapshot returns the stored form of a latency estimate.
func (l latencyEstimate) snapshot() LatencySnapshot {
	return LatencySnapshot{l.mean, l.deviation, l.count}
}

// restore returns the latency estimate of a stored form.
func (s LatencySnapshot) restore() latencyEstimate {
	return latencyEstimate{s.Mean, s.Deviation, s.Count}
}

// shiftTime converts a time to another clock. 0 means no time and stays 0.
func shiftTime(at, shift Time) Time {
	if at == 0 {
		return 0
	}
	return max(at+shift, 1)
}

// snapshot returns the learned state of a limiter and its endpoints.
func (l *limiter) snapshot(now Time) LimiterSnapshot {
	stored := LimiterSnapshot{
		Destination:      l.destination.id,
		Window:           l.window,
		RetryAfterUntil:  l.retryAfterUntil,
		BackoffUntil:     l.backoffUntil,
		NominalRate:      l.nominalRate,
		ReportedRate:     l.reportedRate,
		RateMultiplier:   l.rateMultiplier,
		ReducedRate:      l.reducedRate,
		ReducedAt:        l.reducedAt,
		Tokens:           l.tokens.snapshot(),
		RateBound:        l.rateBound,
		RejectionRun:     l.rejectionRun,
		FirstRejectionAt: l.firstRejectionAt,
		Latency:          l.latency.snapshot(),
	}
	if l.history.hasStart {
		stored.Bins = l.history.snapshot(now)
		stored.HistoryStart = l.history.started
	}
	for _, endpoint := range l.endpoints {
		stored.Endpoints = append(stored.Endpoints, endpoint.snapshot())
	}
	return stored
}

// restore loads the learned state of a limiter. storedAt is when the snapshot was taken, on this engine's clock; shift
// converts the snapshot's times to that clock.
func (l *limiter) restore(stored *LimiterSnapshot, storedAt, shift Time) {
	l.window = max(stored.Window, 1)
	l.rateMultiplier = stored.RateMultiplier
	l.rateBound = stored.RateBound
	l.retryAfterUntil = shiftTime(stored.RetryAfterUntil, shift)
	l.backoffUntil = shiftTime(stored.BackoffUntil, shift)
	l.reducedRate = stored.ReducedRate
	l.reducedAt = shiftTime(stored.ReducedAt, shift)
	l.reportedRate = stored.ReportedRate
	l.nominalRate = cmp.Or(l.nominalRate, stored.NominalRate)
	l.tokens = stored.Tokens.restore(shift)
	l.latency = stored.Latency.restore()
	l.rejectionRun = stored.RejectionRun
	l.firstRejectionAt = shiftTime(stored.FirstRejectionAt, shift)
	if len(stored.Bins) == len(l.history.bins) {
		l.history.restore(storedAt, stored.Bins, shiftTime(stored.HistoryStart, shift))
	}
}

// snapshot returns the learned health of an endpoint, and its latency.
func (ep *endpoint) snapshot() EndpointSnapshot {
	stored := ep.health.snapshot()
	stored.ID = ep.id
	stored.Latency = ep.latency.snapshot()
	return stored
}

// restore loads the learned health of an endpoint, and its latency; shift converts its times to this engine's clock.
func (ep *endpoint) restore(stored *EndpointSnapshot, shift Time) {
	ep.health = stored.restoreHealth(shift)
	ep.latency = stored.Latency.restore()
}

// snapshot returns the stored form of an endpoint's health. It has the ID 0, which no endpoint has.
func (h *health) snapshot() EndpointSnapshot {
	return EndpointSnapshot{
		BackoffUntil:      h.backoffUntil,
		FailureScore:      h.failureScore,
		Unhealthy:         h.unhealthy,
		FirstFailureAt:    h.firstFailureAt,
		LastFailureAt:     h.lastFailureAt,
		RecoveredAt:       h.recoveredAt,
		RecoverySentAt:    h.recoverySentAt,
		LastSuccessAt:     h.lastSuccessAt,
		RecoveryBudget:    h.recoveryBudget.snapshot(),
		RequiredTokens:    h.requiredTokens,
		LastFailureSilent: h.lastFailureSilent,
	}
}

// restoreHealth returns the health of a stored form; shift converts its times to this engine's clock.
func (s *EndpointSnapshot) restoreHealth(shift Time) health {
	return health{
		backoffUntil:      shiftTime(s.BackoffUntil, shift),
		failureScore:      s.FailureScore,
		unhealthy:         s.Unhealthy,
		firstFailureAt:    shiftTime(s.FirstFailureAt, shift),
		lastFailureAt:     shiftTime(s.LastFailureAt, shift),
		recoveredAt:       shiftTime(s.RecoveredAt, shift),
		recoverySentAt:    shiftTime(s.RecoverySentAt, shift),
		lastSuccessAt:     shiftTime(s.LastSuccessAt, shift),
		recoveryBudget:    s.RecoveryBudget.restore(shift),
		requiredTokens:    s.RequiredTokens,
		lastFailureSilent: s.LastFailureSilent,
	}
}

// Snapshot returns what the engine has learned.
func (e *Engine) Snapshot(now Time) *Snapshot {
	snapshot := &Snapshot{
		Now:                  now,
		ConnectFailureRatios: slices.Clone(e.connectFailureRatios),
		Latency:              e.latency.snapshot(),
	}
	for _, quota := range e.tenantQuotas {
		snapshot.TenantQuotas = append(snapshot.TenantQuotas, quota.snapshot())
	}
	for _, destination := range e.destinations {
		snapshot.Limiters = append(snapshot.Limiters, e.limiterSnapshots(destination, now)...)
	}
	return snapshot
}

// limiterSnapshots returns the learned state of a destination's limiters. The first one also has the health of the
// endpoints that have left the list, if it matters.
func (e *Engine) limiterSnapshots(destination *destination, now Time) []LimiterSnapshot {
	var stored []LimiterSnapshot
	for _, limiter := range destination.limiters {
		stored = append(stored, limiter.snapshot(now))
	}
	departed := e.departedSnapshot(destination)
	if departed == nil {
		return stored
	}
	if len(stored) == 0 {
		empty := newLimiter(destination)
		empty.tokens = tokenBucket{now, 1, true}
		stored = append(stored, empty.snapshot(now))
	}
	stored[0].Endpoints = append(stored[0].Endpoints, *departed)
	return stored
}

// LoadSnapshot loads what another engine has learned. Endpoints that this engine does not know from the list are
// skipped. shift converts the snapshot's times to this engine's clock. What this engine has learned itself of the
// endpoints in the snapshot is overwritten, so it is meant for a new engine.
func (e *Engine) LoadSnapshot(now Time, snapshot *Snapshot, shift Time) {
	e.now = max(now, e.now)
	e.latency = snapshot.Latency.restore()
	if len(snapshot.ConnectFailureRatios) == len(e.connectFailureRatios) {
		copy(e.connectFailureRatios, snapshot.ConnectFailureRatios)
	}
	if len(snapshot.TenantQuotas) == len(e.tenantQuotas) {
		for i, quota := range snapshot.TenantQuotas {
			e.tenantQuotas[i] = quota.restore(shift)
		}
	}
	e.loadLimiters(snapshot, shift)
}

// loadLimiters loads the learned state of limiters and their endpoints.
func (e *Engine) loadLimiters(snapshot *Snapshot, shift Time) {
	for i := range snapshot.Limiters {
		stored := &snapshot.Limiters[i]
		storedAt := shiftTime(snapshot.Now, shift)
		limiter, restored := e.loadEndpoints(stored, shift)
		if limiter != nil {
			limiter.restore(stored, storedAt, shift)
			e.markDirty(limiter.destination)
		}
		e.loadOutage(stored, storedAt, shift, restored)
	}
}

// loadEndpoints loads the endpoints of a limiter that this engine knows, and returns the limiter that they belong to
// now. If it knows none of them, it returns the limiter of the whole destination, whose limits hold for its new
// endpoints too; nil if the destination is unknown or has independent routes. restored holds the ids of the endpoints
// that it has loaded.
func (e *Engine) loadEndpoints(stored *LimiterSnapshot, shift Time) (found *limiter, restored map[EndpointID]bool) {
	restored = map[EndpointID]bool{}
	for i := range stored.Endpoints {
		endpoint := e.endpoints[stored.Endpoints[i].ID]
		if endpoint != nil && endpoint.limiter.destination.id == stored.Destination {
			found = cmp.Or(found, endpoint.limiter)
			endpoint.restore(&stored.Endpoints[i], shift)
			restored[endpoint.id] = true
		}
	}
	if found != nil {
		return found, restored
	}
	destination := e.findDestination(stored.Destination)
	if destination == nil || destination.kind.IndependentRoutes || len(destination.limiters) == 0 {
		return nil, restored
	}
	return destination.limiters[0], restored
}
