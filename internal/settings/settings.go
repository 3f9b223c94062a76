// Package settings converts the settings in the platform's format, which the simulator and a deployment share, to
// policy.Settings.
package settings

import (
	"fmt"

	"troutusher/internal/wire"
	"troutusher/policy"
)

// Values of keys of the platform's format, each with a comment that names its key.
const (
	decayHalving  = "halving"    // specifics.late
	valueByWork   = "work"       // value_by
	weightsNone   = "none"       // weights
	listOnRequest = "on_request" // discovery
	groupAll      = "all"        // classes.group
)

var idempotencyByName = map[string]policy.Idempotency{
	"retryable": policy.Idempotent,
	"dedup":     policy.IdempotentByKey,
	"fragile":   policy.NonIdempotent,
}

// ForPolicy converts settings in the platform's format to the settings of package policy.
func ForPolicy(from *wire.Settings) (policy.Settings, error) {
	limits, safety := &from.Limits, &from.Safety
	converted := policy.Settings{
		Relays:               from.Balancers,
		Zone:                 from.Zone,
		Tenants:              tenants(from),
		DestinationKinds:     destinationKinds(from),
		MaxConcurrentCalls:   from.Specifics.CallsOut,
		MaxPending:           limits.MostHeld,
		MaxAttempts:          limits.MostTries,
		ExponentialDecay:     from.Specifics.Late == decayHalving,
		OverQuotaWeight:      from.OverShareWorth,
		WeightByCost:         from.ValueBy == valueByWork,
		ListHasRates:         from.Weights != "" && from.Weights != weightsNone,
		HealthChecks:         limits.Probing,
		Cancellation:         limits.MayCancel,
		SendRetryAfter:       limits.RetryAfter,
		MaxRetryAfter:        limits.MaxRetryAfter,
		PollList:             from.Discovery == listOnRequest,
		PollInterval:         safety.AskEvery,
		ConnectTimeout:       limits.ConnectTimeout,
		IdleTimeout:          limits.KeepAlive,
		StreamsPerConnection: limits.StreamsPerConn,
		TickInterval:         from.Tick,
		ReplyGrace:           safety.AnswerSlack,
		DrainGrace:           safety.DrainGrace,
		InitialCapacity:      safety.StartCapacity,
		RampDuration:         safety.RampTime,
		OverloadFactor:       safety.OverloadFactor,
		OverloadDuration:     safety.FallTime,
		OrderedKeyBackoff:    safety.KeyRest,
	}
	for i, class := range from.Classes {
		idempotency, ok := idempotencyByName[class.Repeat]
		if !ok {
			return converted, fmt.Errorf("settings: classes[%d].repeat: unknown kind %q", i, class.Repeat)
		}
		converted.Classes = append(converted.Classes, policy.Class{
			Name:             class.Name,
			LatencyObjective: class.Target,
			Deadline:         class.Deadline,
			Weight:           class.Worth,
			LateWeight:       class.LateWorth,
			Idempotency:      idempotency,
			DedupWindow:      class.Window,
			DedupPerZone:     class.Group != groupAll && class.Group != "",
			Ordered:          class.Sequential,
		})
	}
	return converted, nil
}

func tenants(from *wire.Settings) []policy.Tenant {
	var converted []policy.Tenant
	for _, account := range from.Accounts {
		converted = append(converted, policy.Tenant{Name: account.Name, Quota: account.Quota})
	}
	return converted
}

// destinationKinds converts the kinds of destinations. For a kind without entries in from.Specifics, the endpoints of
// a destination share one limit and each call carries one message.
func destinationKinds(from *wire.Settings) []policy.DestinationKind {
	var converted []policy.DestinationKind
	for i := range from.Kinds {
		kind := policy.DestinationKind{BatchSize: 1}
		if i < len(from.Specifics.OwnLimits) {
			kind.IndependentRoutes = from.Specifics.OwnLimits[i]
		}
		if i < len(from.Specifics.KindBatch) {
			kind.BatchSize = from.Specifics.KindBatch[i]
		}
		converted = append(converted, kind)
	}
	return converted
}
