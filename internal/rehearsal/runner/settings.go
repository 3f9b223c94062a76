package runner

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"

	"troutusher/internal/emulator/endpoint"
	"troutusher/internal/emulator/loopback"
	"troutusher/internal/emulator/registry"
	"troutusher/internal/rehearsal/scenario"
)

type jsonObject = map[string]any

// relaySettings is the object that a relay finds in its configuration.
func relaySettings(p *scenario.Plan, relay int) jsonObject {
	s := p.Scenario
	repeats := map[string]string{"safe": "retryable", "keyed": "dedup", "unsafe": "fragile"}
	var classes, accounts []jsonObject
	for _, c := range s.Classes {
		classes = append(classes, jsonObject{
			"name":            c.Name,
			"target_us":       scenario.Microseconds(c.LatencyObjectiveMS),
			"deadline_us":     scenario.Microseconds(c.DeadlineMS),
			"worth":           c.Weight,
			"late_worth":      c.LateWeight,
			"repeat":          repeats[c.Idempotency],
			"dedup_window_us": scenario.Microseconds(c.DedupWindowMS),
			"group":           "all",
		})
	}
	shares := 0.0
	for _, x := range s.Portals {
		shares += x.Share
	}
	for _, x := range s.Portals {
		quota := x.QuotaPerS
		if quota == 0 {
			quota = 1.5 * s.Traffic.RatePerS * x.Share / shares
		}
		accounts = append(accounts, jsonObject{"name": x.Name, "share": x.Share / shares, "quota_per_s": quota})
	}
	kinds, apart, batch := partnerKinds(p)
	return jsonObject{
		"accounts":   accounts,
		"balancers":  s.Relays.Count,
		"classes":    classes,
		"discovery":  "pushed",
		"kinds":      kinds,
		"localities": s.Relays.Zones,
		"limits": jsonObject{
			"connect_timeout_us": scenario.Microseconds(s.Relays.ConnectTimeoutMS),
			"keepalive_us":       shortestIdleTimeout(p),
			"max_retry_after_us": scenario.Microseconds(s.Relays.MaxRetryAfterMS),
			"may_cancel":         true,
			"most_held":          p.MaxPending(),
			"most_tries":         s.Relays.MaxAttempts,
			"probing":            s.Relays.HealthChecks,
			"retry_after":        s.Relays.RetryAfter,
			"streams_per_conn":   1,
		},
		"over_share_worth": 0.2,
		"report":           jsonObject{"fields": []string{}, "how": "none"},
		"safety": jsonObject{
			"answer_slack_us": scenario.Microseconds(s.Rules.SlackMS), "drain_grace_us": scenario.Microseconds(
				s.Rules.DrainGraceMS,
			),
			"fall_us": scenario.Microseconds(s.Rules.OverloadWindowMS), "overload_factor": s.Rules.OverloadFactor,
			"ramp_time_us": scenario.Microseconds(s.Rules.WarmUpMS), "start_capacity": s.Rules.WarmUpShare,
		},
		"specifics": jsonObject{
			"calls_out":  p.MaxInFlight(),
			"kind_batch": batch,
			"late":       "linear",
			"own_limits": apart,
		},
		"tick_us":  5000,
		"value_by": "request",
		"weights":  "nominal",
		"zone":     relay % len(s.Relays.Zones),
	}
}

// partnerKinds names the kinds of partner. A kind is either of routes apart or not,
// so a name that serves for both is split.
func partnerKinds(p *scenario.Plan) (kinds []string, apart []bool, batch []int) {
	seen := map[string]bool{}
	for i := range p.Endpoints {
		if name := kindName(p, i); !seen[name] {
			seen[name] = true
			kinds = append(kinds, name)
			apart = append(apart, p.Specs[p.Endpoints[i].Partner].IndependentRoutes)
			batch = append(batch, 1)
		}
	}
	return kinds, apart, batch
}

func kindName(p *scenario.Plan, ep int) string {
	e := &p.Endpoints[ep]
	if p.Specs[e.Partner].IndependentRoutes {
		return e.Kind + "+apart"
	}
	return e.Kind
}

// shortestIdleTimeout is the shortest time after which a partner closes an idle
// connection; relays must not use one that long.
func shortestIdleTimeout(p *scenario.Plan) int64 {
	least := scenario.Microseconds(60_000)
	for i := range p.Specs {
		if d := p.Specs[i].IdleTimeout; d > 0 {
			least = min(least, d)
		}
	}
	return least
}

// listMembers is the list as a relay's discovery has it: endpoint i at index i.
func listMembers(p *scenario.Plan, addr func(ep int) string) []registry.Member {
	var all []registry.Member
	for i := range p.Endpoints {
		e := &p.Endpoints[i]
		spec := &p.Specs[e.Partner]
		rate := spec.Capacity
		if !spec.IndependentRoutes {
			rate *= float64(spec.Endpoints)
		}
		if spec.RateLimit.Kind != endpoint.NoLimit {
			rate = min(rate, spec.RateLimit.PerSecond)
		}
		h := fnv.New32a()
		_, _ = io.WriteString(h, e.Name) // a hash does not fail
		all = append(all, registry.Member{
			ID: fmt.Sprintf("s-%08x", h.Sum32()), HostPort: addr(i), Locality: e.Zone, Flavor: kindName(p, i),
			Cell: spec.Destination, Phase: registry.PhaseUp, Size: rate,
		})
	}
	return all
}

// unusedDestinations are the destinations that the list names beside the partners, and that no
// client asks for: nobody is there.
func unusedDestinations(p *scenario.Plan) (all []registry.Member) {
	halls := p.Scenario.Relays.Zones
	for i := range p.Scenario.Discovery.IdleDestinations {
		all = append(all, registry.Member{
			ID: fmt.Sprintf("q-%05d", i), HostPort: net.JoinHostPort(
				loopback.Host(), "9",
			), Locality: halls[i%len(halls)],
			Flavor: kindName(p, 0), Cell: len(p.Specs) + 1 + i, Phase: registry.PhaseUp, Size: 1,
		})
	}
	return all
}

// RelayConfig is what a relay finds in the file that ROUTER_CONFIG names.
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

// NewRelayConfig is the configuration of a relay of a plan.
func NewRelayConfig(
	p *scenario.Plan,
	relay int,
	listen, discovery, state string,
	known registry.List,
	seed uint64,
) RelayConfig {
	r := &p.Scenario.Relays
	return RelayConfig{
		Name:      fmt.Sprintf("n%d", relay+1),
		Listen:    listen,
		Discovery: discovery,
		State:     state,
		Seed:      fmt.Sprintf("%016x", seed),
		Limits:    jsonObject{"cores": 1.0, "memory_mb": r.MemoryMB, "sockets": r.Sockets, "disk_mb": r.DiskMB},
		Known:     known,
		Settings:  relaySettings(p, relay),
	}
}

// Text is the file.
func (c RelayConfig) Text() ([]byte, error) { return json.MarshalIndent(c, "", " ") }
