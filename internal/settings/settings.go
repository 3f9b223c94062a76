// Package settings maps the settings text, as the simulator and a deployment
// both give it, to the words of package decide. It decides nothing.
package settings

import (
	"fmt"

	"troutusher/internal/wire"
	"troutusher/policy"
)

var idempotencyByName = map[string]policy.Idempotency{"retryable": policy.Idempotent, "dedup": policy.IdempotentByKey, "fragile": policy.NonIdempotent}

// ForPolicy maps the settings text to the interface's words.
func ForPolicy(s *wire.Settings) (policy.Settings, error) {
	l, f := &s.Limits, &s.Safety
	d := policy.Settings{Relays: s.Balancers, Zone: s.Zone, MaxConcurrentCalls: s.Specifics.CallsOut, MaxPending: l.MostHeld,
		MaxAttempts: l.MostTries, ExponentialDecay: s.Specifics.Late == "halving", OverQuotaWeight: s.OverShareWorth,
		WeightByCost: s.ValueBy == "work", ListHasRates: s.Weights != "" && s.Weights != "none",
		HealthChecks: l.Probing, Cancellation: l.MayCancel, SendRetryAfter: l.RetryAfter, MaxRetryAfter: l.MaxRetryAfter,
		PollList: s.Discovery == "on_request", PollInterval: f.AskEvery, ConnectTimeout: l.ConnectTimeout,
		IdleTimeout: l.KeepAlive, StreamsPerConnection: l.StreamsPerConn, TickInterval: s.Tick, ReplyGrace: f.AnswerSlack,
		DrainGrace: f.DrainGrace, InitialCapacity: f.StartCapacity, RampDuration: f.RampTime,
		OverloadFactor: f.OverloadFactor, OverloadDuration: f.FallTime, OrderedKeyBackoff: f.KeyRest}
	for i, c := range s.Classes {
		rep, ok := idempotencyByName[c.Repeat]
		if !ok {
			return d, fmt.Errorf("settings: classes[%d].repeat: unknown kind %q", i, c.Repeat)
		}
		d.Classes = append(d.Classes, policy.Class{Name: c.Name, LatencyObjective: c.Target, Deadline: c.Deadline,
			Weight: c.Worth, LateWeight: c.LateWorth, Idempotency: rep, DedupWindow: c.Window,
			DedupPerZone: c.Group != "all" && c.Group != "", Ordered: c.Sequential})
	}
	for _, a := range s.Accounts {
		d.Tenants = append(d.Tenants, policy.Tenant{Name: a.Name, Quota: a.Quota})
	}
	for i := range s.Kinds {
		k := policy.DestinationKind{BatchSize: 1}
		if i < len(s.Specifics.OwnLimits) {
			k.IndependentRoutes = s.Specifics.OwnLimits[i]
		}
		if i < len(s.Specifics.KindBatch) {
			k.BatchSize = s.Specifics.KindBatch[i]
		}
		d.DestinationKinds = append(d.DestinationKinds, k)
	}
	return d, nil
}
