package runner

import (
	"encoding/json"
	"fmt"

	"troutusher/internal/emulator/registry"
	"troutusher/internal/rehearsal/scenario"
)

const (
	tickMicros = 5000 // interval of a relay's timer ticks
	// overQuotaWeight is the factor on the weight of messages that exceed their tenant's quota.
	overQuotaWeight = 0.2
	// defaultQuotaFactor is the quota of a portal without quota_per_s, relative to its share of the
	// traffic.
	defaultQuotaFactor = 1.5
	// maxKeepAliveMS is the maximum time for which relays keep idle connections to partners.
	maxKeepAliveMS = 60_000
)

// idempotencyNames maps a scenario's values of repeat to those in a relay's settings.
var idempotencyNames = map[string]string{"safe": "retryable", "keyed": "dedup", "unsafe": "fragile"}

type jsonObject = map[string]any

// RelayConfig is the content of a relay's configuration file, which ROUTER_CONFIG names.
type RelayConfig struct {
	Name      string        `json:"name"`
	Listen    string        `json:"listen"`
	Discovery string        `json:"discovery"`
	State     string        `json:"state,omitempty"`
	Seed      string        `json:"seed"`
	Limits    jsonObject    `json:"limits"`
	Known     registry.List `json:"known"`
	Settings  jsonObject    `json:"settings"`
}

// NewRelayConfig returns the configuration of one relay, numbered from 0, in a rehearsal of a plan.
// listen and discovery are the addresses of the relay and of its registry, state is its state folder,
// and known is the endpoint list that it uses until it has received one from the registry.
func NewRelayConfig(
	plan *scenario.Plan, relay int, listen, discovery, state string, known registry.List, seed uint64,
) RelayConfig {
	relays := &plan.Scenario.Relays
	return RelayConfig{
		Name:      fmt.Sprintf("n%d", relay+1),
		Listen:    listen,
		Discovery: discovery,
		State:     state,
		Seed:      fmt.Sprintf("%016x", seed),
		Limits: jsonObject{
			"cores": 1.0, "memory_mb": relays.MemoryMB, "sockets": relays.Sockets, "disk_mb": relays.DiskMB,
		},
		Known:    known,
		Settings: relaySettings(plan, relay),
	}
}

// Text returns the content of the configuration file.
func (c RelayConfig) Text() ([]byte, error) { return json.MarshalIndent(c, "", " ") }

// relaySettings returns the object "settings" of a relay's configuration.
func relaySettings(plan *scenario.Plan, relay int) jsonObject {
	s := plan.Scenario
	kinds, independentRoutes, batch := partnerKinds(plan)
	return jsonObject{
		"accounts":         accounts(s),
		"balancers":        s.Relays.Count,
		"classes":          classes(s),
		"discovery":        "pushed",
		"kinds":            kinds,
		"localities":       s.Relays.Zones,
		"limits":           limits(plan),
		"over_share_worth": overQuotaWeight,
		"report":           jsonObject{"fields": []string{}, "how": "none"},
		"safety": jsonObject{
			"answer_slack_us": scenario.Microseconds(s.Rules.SlackMS),
			"drain_grace_us":  scenario.Microseconds(s.Rules.DrainGraceMS),
			"fall_us":         scenario.Microseconds(s.Rules.OverloadWindowMS),
			"overload_factor": s.Rules.OverloadFactor,
			"ramp_time_us":    scenario.Microseconds(s.Rules.WarmUpMS),
			"start_capacity":  s.Rules.WarmUpShare,
		},
		"specifics": jsonObject{
			"calls_out": plan.MaxInFlight(), "kind_batch": batch, "late": "linear", "own_limits": independentRoutes,
		},
		"tick_us":  tickMicros,
		"value_by": "request",
		"weights":  "nominal",
		"zone":     relay % len(s.Relays.Zones),
	}
}

func classes(s *scenario.Scenario) (objects []jsonObject) {
	for _, class := range s.Classes {
		objects = append(objects, jsonObject{
			"name":            class.Name,
			"target_us":       scenario.Microseconds(class.LatencyObjectiveMS),
			"deadline_us":     scenario.Microseconds(class.DeadlineMS),
			"worth":           class.Weight,
			"late_worth":      class.LateWeight,
			"repeat":          idempotencyNames[class.Idempotency],
			"dedup_window_us": scenario.Microseconds(class.DedupWindowMS),
			"group":           "all",
		})
	}
	return objects
}

// accounts returns the setting "accounts": the portals with their shares and quotas.
func accounts(s *scenario.Scenario) (objects []jsonObject) {
	shares := 0.0
	for _, portal := range s.Portals {
		shares += portal.Share
	}
	for _, portal := range s.Portals {
		quota := portal.QuotaPerS
		if quota == 0 {
			quota = defaultQuotaFactor * s.Traffic.RatePerS * portal.Share / shares
		}
		objects = append(objects, jsonObject{
			"name": portal.Name, "share": portal.Share / shares, "quota_per_s": quota,
		})
	}
	return objects
}

func limits(plan *scenario.Plan) jsonObject {
	relays := &plan.Scenario.Relays
	return jsonObject{
		"connect_timeout_us": scenario.Microseconds(relays.ConnectTimeoutMS),
		"keepalive_us":       keepAliveMicros(plan),
		"max_retry_after_us": scenario.Microseconds(relays.MaxRetryAfterMS),
		"may_cancel":         true,
		"most_held":          plan.MaxPending(),
		"most_tries":         relays.MaxAttempts,
		"probing":            relays.HealthChecks,
		"retry_after":        relays.RetryAfter,
		"streams_per_conn":   1,
	}
}

// keepAliveMicros returns the shortest time after which any partner closes an idle connection, or
// maxKeepAliveMS if that is shorter. Relays must close idle connections earlier.
func keepAliveMicros(plan *scenario.Plan) int64 {
	shortest := scenario.Microseconds(maxKeepAliveMS)
	for i := range plan.Specs {
		if timeout := plan.Specs[i].IdleTimeout; timeout > 0 {
			shortest = min(shortest, timeout)
		}
	}
	return shortest
}
