// Package settings maps the settings text, as the simulator and a deployment both give it, to the settings of package
// policy. It decides nothing.
package settings

import (
	"fmt"

	"troutusher/internal/wire"
	"troutusher/policy"
)

// The words of the settings text that a value is told by.
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

// ForPolicy maps the settings text to the settings of the decision module.
func ForPolicy(text *wire.Settings) (policy.Settings, error) {
	limits, safety := &text.Limits, &text.Safety
	mapped := policy.Settings{
		Relays:               text.Balancers,
		Zone:                 text.Zone,
		Tenants:              tenants(text),
		DestinationKinds:     destinationKinds(text),
		MaxConcurrentCalls:   text.Specifics.CallsOut,
		MaxPending:           limits.MostHeld,
		MaxAttempts:          limits.MostTries,
		ExponentialDecay:     text.Specifics.Late == decayHalving,
		OverQuotaWeight:      text.OverShareWorth,
		WeightByCost:         text.ValueBy == valueByWork,
		ListHasRates:         text.Weights != "" && text.Weights != weightsNone,
		HealthChecks:         limits.Probing,
		Cancellation:         limits.MayCancel,
		SendRetryAfter:       limits.RetryAfter,
		MaxRetryAfter:        limits.MaxRetryAfter,
		PollList:             text.Discovery == listOnRequest,
		PollInterval:         safety.AskEvery,
		ConnectTimeout:       limits.ConnectTimeout,
		IdleTimeout:          limits.KeepAlive,
		StreamsPerConnection: limits.StreamsPerConn,
		TickInterval:         text.Tick,
		ReplyGrace:           safety.AnswerSlack,
		DrainGrace:           safety.DrainGrace,
		InitialCapacity:      safety.StartCapacity,
		RampDuration:         safety.RampTime,
		OverloadFactor:       safety.OverloadFactor,
		OverloadDuration:     safety.FallTime,
		OrderedKeyBackoff:    safety.KeyRest,
	}
	for i, class := range text.Classes {
		idempotency, ok := idempotencyByName[class.Repeat]
		if !ok {
			return mapped, fmt.Errorf("settings: classes[%d].repeat: unknown kind %q", i, class.Repeat)
		}
		mapped.Classes = append(mapped.Classes, policy.Class{
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
	return mapped, nil
}

func tenants(text *wire.Settings) []policy.Tenant {
	var mapped []policy.Tenant
	for _, account := range text.Accounts {
		mapped = append(mapped, policy.Tenant{Name: account.Name, Quota: account.Quota})
	}
	return mapped
}

// destinationKinds maps the kinds; one that the specifics leave out has one limit for all its endpoints, and calls of
// one message.
func destinationKinds(text *wire.Settings) []policy.DestinationKind {
	var mapped []policy.DestinationKind
	for i := range text.Kinds {
		kind := policy.DestinationKind{BatchSize: 1}
		if i < len(text.Specifics.OwnLimits) {
			kind.IndependentRoutes = text.Specifics.OwnLimits[i]
		}
		if i < len(text.Specifics.KindBatch) {
			kind.BatchSize = text.Specifics.KindBatch[i]
		}
		mapped = append(mapped, kind)
	}
	return mapped
}
