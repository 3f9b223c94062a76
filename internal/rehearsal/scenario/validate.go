package scenario

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"troutusher/internal/emulator/endpoint"
	"troutusher/internal/seededrand"
	"troutusher/internal/testca"
	"troutusher/internal/tomlfile"
)

// validator validates a scenario and collects the errors, each with its key and line.
type validator struct{ *tomlfile.Checker }

// errorf adds an error in the value of a key.
func (v *validator) errorf(key, format string, args ...any) { v.Errorf(key, format, args...) }

// checkRange checks that a number is within a range. NaN is outside of every range.
func (v *validator) checkRange(key string, number, least, most float64) {
	switch {
	case number >= least && number <= most:
	case most == math.MaxFloat64:
		v.errorf(key, "%v, want at least %v", number, least)
	default:
		v.errorf(key, "%v, want %v to %v", number, least, most)
	}
}

// numberBounds is the value of a key with its permitted range.
type numberBounds struct {
	key             string
	value, min, max float64
}

// checkBounds checks numbers. prefix is the beginning that all their keys have in common, which
// numberBounds.key leaves out.
func (v *validator) checkBounds(prefix string, numbers []numberBounds) {
	for _, number := range numbers {
		v.checkRange(prefix+number.key, number.value, number.min, number.max)
	}
}

// checkOneOf checks that a string is one of the allowed ones.
func (v *validator) checkOneOf(key, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		v.errorf(key, "%q, want one of %s", value, strings.Join(allowed, ", "))
	}
}

// checkName checks that a name is well formed and not in seen, and adds it to seen.
func (v *validator) checkName(key, name string, seen map[string]bool) {
	switch {
	case name == "" || len(name) > maxNameBytes || strings.ContainsFunc(name, forbiddenInName):
		v.errorf(key, "%q, want 1 to 64 printable ASCII characters without blanks, commas and equals signs", name)
	case seen[name]:
		v.errorf(key, "duplicate name %q", name)
	}
	seen[name] = true
}

func forbiddenInName(r rune) bool { return r <= ' ' || r > '~' || r == ',' || r == '=' }

const (
	dayMS               = 24 * 3600 * 1000
	maxNameBytes        = 64
	maxMessages         = 2_000_000
	maxEndpoints        = 2000
	maxIdleDestinations = 20_000 // the number that fits into an endpoint list of 4 MB
)

// checkScenario checks a whole scenario. If its version is unsupported, it checks nothing else,
// since the other keys may have another meaning.
func (v *validator) checkScenario(s *Scenario) {
	switch {
	case s.Version == 0:
		v.errorf("version", "missing; this program reads version %d", Version)
	case s.Version != Version:
		v.errorf("version", "%d; this program reads version %d", s.Version, Version)
		return
	}
	v.checkName("name", s.Name, map[string]bool{})
	v.checkRange("length_s", s.LengthS, 0.1, 24*3600)
	v.checkRange("floor", s.MinService, 0, 1)
	v.checkRange("late_ms", s.MaxLatenessMS, 1, 10_000)
	v.checkRelays(s)
	v.checkNumbers(s)
	v.checkOneOf("traffic.shape", s.Traffic.Shape, shapeSteady, shapeRamp, shapeWave, shapeRush)
	if n := s.Traffic.RatePerS * s.LengthS * max(s.Traffic.From, s.Traffic.To, 1); n > maxMessages {
		v.errorf("traffic.rate_per_s", "about %.0f messages, want at most %d", n, maxMessages)
	}
	classes := v.checkClasses(s)
	portals := map[string]bool{}
	for i, p := range s.Portals {
		key := fmt.Sprintf("portal[%d]", i)
		v.checkName(key+".name", p.Name, portals)
		v.checkRange(key+".share", p.Share, 1e-6, 1e6)
		v.checkRange(key+".quota_per_s", p.QuotaPerS, 0, 1e6)
	}
	names := v.checkPartners(s, classes, portals)
	v.checkFaults(s, classes, names)
}

// checkNumbers checks the numbers of clients, discovery, rules and traffic, and of relays.awake.
func (v *validator) checkNumbers(s *Scenario) {
	r := &s.Rules
	v.checkBounds("", []numberBounds{
		{"clients.answer_ms", s.Clients.ReplyTimeoutMS, 10, 60_000},
		{"clients.retries", float64(s.Clients.Retries), 0, 10},
		{"clients.backoff_ms", s.Clients.BackoffMS, 1, 60_000},
		{"clients.honour", s.Clients.RetryAfterShare, 0, 1},
		{"clients.front_notice_ms", s.Clients.FailoverDelayMS, 0, 60_000},
		{"clients.bodies", float64(s.Clients.BodyBytes), 0, 64 << 10},
		{"discovery.delay_ms", s.Discovery.DelayMS, 0, 60_000},
		{"discovery.spread_ms", s.Discovery.SpreadMS, 0, 60_000},
		{"discovery.quiet", float64(s.Discovery.IdleDestinations), 0, maxIdleDestinations},
		{"relays.awake", float64(s.Relays.MaxActiveDestinations), 0, maxIdleDestinations},
		{"rules.drain_grace_ms", r.DrainGraceMS, 0, 60_000},
		{"rules.fall_multiple", r.OverloadFactor, 1, 100},
		{"rules.fall_ms", r.OverloadWindowMS, 0, 60_000},
		{"rules.cold_share", r.WarmUpShare, 0.01, 1},
		{"rules.cold_ms", r.WarmUpMS, 0, 600_000},
		{"rules.end_slack_ms", r.DeadlineSlackMS, 0, 60_000},
		{"rules.restart_grace_ms", r.RestartGraceMS, 0, 60_000},
		{"rules.wait_pass_ms", r.RetryAfterGraceMS, 0, 60_000},
		{"rules.slack_ms", r.SlackMS, 0, 60_000},
		{"traffic.rate_per_s", s.Traffic.RatePerS, 0.01, 100_000},
		{"traffic.swing", s.Traffic.Amplitude, 0, 1},
		{"traffic.period_s", s.Traffic.PeriodS, 0.1, 24 * 3600},
		{"traffic.from", s.Traffic.From, 0, 100},
		{"traffic.to", s.Traffic.To, 0, 100},
		{"traffic.clump_share", s.Traffic.BurstShare, 0, 1},
		{"traffic.clump_size", float64(s.Traffic.BurstSize), 1, 10_000},
	})
}

// checkRelays checks the relays' settings and zones.
func (v *validator) checkRelays(s *Scenario) {
	r := &s.Relays
	v.checkBounds("relays.", []numberBounds{
		{"count", float64(r.Count), 1, 16},
		{"slots", float64(r.MaxInFlight), 0, 100_000},
		{"held", float64(r.MaxPending), 0, 1e6},
		{"max_attempts", float64(r.MaxAttempts), 1, 100},
		{"memory_mb", float64(r.MemoryMB), 8, 65536},
		{"sockets", float64(r.Sockets), 64, 100_000},
		{"disk_mb", float64(r.DiskMB), 1, 65536},
	})
	v.checkRange("relays.max_retry_after_ms", r.MaxRetryAfterMS, 0, 60_000)
	v.checkRange("relays.connect_timeout_ms", r.ConnectTimeoutMS, 10, 60_000)
	if len(r.Zones) == 0 || len(r.Zones) > 64 {
		v.errorf("relays.halls", "%d halls, want 1 to 64", len(r.Zones))
	}
	seen := map[string]bool{}
	for _, zone := range r.Zones {
		v.checkName("relays.halls", zone, seen)
	}
}

// checkClasses checks the message classes and returns their names.
func (v *validator) checkClasses(s *Scenario) map[string]bool {
	seen := map[string]bool{}
	if len(s.Classes) == 0 || len(s.Classes) > 64 {
		v.errorf("class", "%d classes, want 1 to 64", len(s.Classes))
	}
	for i, class := range s.Classes {
		key := fmt.Sprintf("class[%d]", i)
		v.checkName(key+".name", class.Name, seen)
		v.checkRange(key+".share", class.Share, 1e-6, 1e6)
		v.checkRange(key+".aim_ms", class.LatencyObjectiveMS, 1, dayMS)
		v.checkRange(key+".deadline_ms", class.DeadlineMS, max(class.LatencyObjectiveMS, 1), 600_000)
		v.checkRange(key+".worth", class.Weight, 0, 1e6)
		v.checkRange(key+".late_worth", class.LateWeight, 0, 1)
		v.checkOneOf(key+".repeat", class.Idempotency, idempotent, idempotentByKey, nonIdempotent)
		if class.Idempotency == idempotentByKey {
			v.checkRange(key+".key_window_ms", class.DedupWindowMS, 1, 600_000)
		} else if class.DedupWindowMS != 0 {
			v.errorf(key+".key_window_ms", "only classes with repeat = %q have a dedup window", idempotentByKey)
		}
	}
	return seen
}

// checkPartners checks the [[partner]] tables. It returns the names by which faults may refer to
// partners: those of the tables and of the single partners.
func (v *validator) checkPartners(s *Scenario, classes, portals map[string]bool) map[string]bool {
	names, tables, endpointCount := map[string]bool{}, map[string]bool{}, 0
	if len(s.Partners) == 0 {
		v.errorf("partner", "no partners, want at least one")
	}
	for i := range s.Partners {
		p := &s.Partners[i]
		key := fmt.Sprintf("partner[%d]", i)
		v.checkName(key+".name", p.Name, tables)
		names[p.Name] = true
		if p.Count < 1 || p.Count > maxEndpoints {
			v.errorf(key+".count", "%d, want 1 to %d", p.Count, maxEndpoints)
			continue
		}
		for n := 1; n <= p.Count && p.Count > 1; n++ {
			names[fmt.Sprintf("%s-%d", p.Name, n)] = true
		}
		endpointCount += p.Count * max(p.Endpoints, 0)
		v.checkPartner(key, p, s, classes, portals)
	}
	if endpointCount > maxEndpoints {
		v.errorf("partner", "%d endpoints, want at most %d", endpointCount, maxEndpoints)
	}
	return names
}

// checkPartner checks one [[partner]] table.
func (v *validator) checkPartner(key string, p *Partner, s *Scenario, classes, portals map[string]bool) {
	if p.Portal != "" && !portals[p.Portal] {
		v.errorf(key+".portal", "no portal %q", p.Portal)
	}
	for _, name := range p.Classes {
		if !classes[name] {
			v.errorf(key+".classes", "no class %q", name)
		}
	}
	v.checkPartnerNumbers(key, p, s.LengthS)
	v.checkOneOf(key+".routes", p.Routes, routesShared, routesIndependent)
	v.checkOneOf(key+".dist", p.Distribution,
		string(seededrand.Constant), string(seededrand.Exponential), string(seededrand.LogNormal))
	v.checkOneOf(key+".limit", p.Limit,
		string(endpoint.NoLimit), string(endpoint.TokenBucket), string(endpoint.FixedWindow))
	v.checkOneOf(key+".cancel", p.Cancel,
		string(endpoint.CancelNone), string(endpoint.CancelQueued), string(endpoint.CancelAll))
	if p.TLS != nil {
		v.checkPartnerTLS(key+".tls", p.TLS)
	}
	v.checkPartnerLimit(key, p)
	for name, mean := range p.ServiceMS {
		if name != "all" && !classes[name] {
			v.errorf(key+".service_ms."+name, "no class %q", name)
		}
		v.checkRange(key+".service_ms."+name, mean, 0.1, 600_000)
	}
	for _, class := range s.Classes {
		if _, ok := p.serviceTimeMS(class.Name); !ok && p.acceptsClass(class.Name) {
			v.errorf(key+".service_ms", "no service time for class %q, and none for \"all\"", class.Name)
		}
	}
}

// checkPartnerNumbers checks the numbers of a [[partner]] table, except service times and limits.
func (v *validator) checkPartnerNumbers(key string, p *Partner, lengthS float64) {
	v.checkBounds(key+".", []numberBounds{
		{"share", p.Share, 1e-6, 1e6},
		{"endpoints", float64(p.Endpoints), 1, maxEndpoints},
		{"capacity_per_s", p.CapacityPerS, 0.01, 1e5},
		{"queue", float64(p.QueueLimit), 0, 1e6},
		{"cv", p.CV, 0, 10},
		{"wait_ms", p.RetryAfterMS, 0, 600_000},
		{"connections", float64(p.MaxConns), 0, 1e6},
		{"idle_ms", p.IdleTimeoutMS, 0, dayMS},
		{"handshake_ms", p.HandshakeMS, 0, 60_000},
		{"one_way_ms", p.OneWayDelayMS, 0, 60_000},
		{"cold_share", p.WarmUpShare, 0.01, 1},
		{"cold_ms", p.WarmUpMS, 0, 600_000},
		{"key_memory_ms", p.DedupWindowMS, 0, 600_000},
		{"errors", p.ErrorShare, 0, 1},
		{"return_s", p.ReturnS, 0, max(lengthS-1, 0)},
		{"return_burst", float64(p.ReturnBurst), 0, 1000},
	})
}

// checkPartnerTLS checks the TLS settings of a [[partner]] table.
func (v *validator) checkPartnerTLS(key string, tls *TLS) {
	v.checkOneOf(key+".version", tls.Version, "", "1.2", "1.3")
	v.checkOneOf(key+".key", tls.Key, "", string(testca.P256), string(testca.RSA2048), string(testca.Ed25519))
	v.checkRange(key+".delay_ms", tls.HandshakeDelayMS, 0, 10_000)
	v.checkRange(key+".full_weight", tls.FullHandshakeCost, 0, 100)
	v.checkRange(key+".resumed", tls.ResumedHandshakeCost, 0, 100)
	v.checkRange(key+".told_weight", tls.DeclaredHandshakeCost, 0, 100)
	v.checkRange(key+".share", tls.HandshakeCPUShare, 0, 1)
}

// checkPartnerLimit checks the rate limit of a [[partner]] table.
func (v *validator) checkPartnerLimit(key string, p *Partner) {
	if p.Limit == string(endpoint.NoLimit) {
		if p.LimitPerS != 0 {
			v.errorf(key+".limit_per_s", "%v, but limit is %q", p.LimitPerS, p.Limit)
		}
		return
	}
	v.checkRange(key+".limit_per_s", p.LimitPerS, 0.01, 1e6)
	v.checkRange(key+".limit_depth", p.LimitBurst, 0, 1e6)
	v.checkRange(key+".window_ms", p.WindowMS, 1, 3600_000)
	if p.Limit == string(endpoint.FixedWindow) && p.LimitPerS*p.WindowMS < 1000 {
		v.errorf(key+".window_ms", "limit_per_s = %v allows less than one call per %v ms: every call would be rejected",
			p.LimitPerS, p.WindowMS)
	}
}

// checkFaults checks the [[fault]] tables.
func (v *validator) checkFaults(s *Scenario, classes, names map[string]bool) {
	if len(s.Faults) > 10_000 {
		v.errorf("fault", "%d faults, want at most 10000", len(s.Faults))
		return
	}
	for i := range s.Faults {
		f := &s.Faults[i]
		key := fmt.Sprintf("fault[%d]", i)
		fields, known := fieldsByFault[f.Kind]
		if !known {
			v.errorf(key+".kind", "%q, want one of %s", f.Kind, strings.Join(FaultKinds(), ", "))
			continue
		}
		v.checkRange(key+".at_s", f.StartS, 0, s.LengthS)
		if fields.duration {
			v.checkRange(key+".length_s", f.DurationS, 0.01, 24*3600)
		} else if f.DurationS != 0 {
			v.errorf(key+".length_s", "%s has no length", f.Kind)
		}
		v.checkFaultTargets(key, f, fields.partner, s, names)
		v.checkFaultNumbers(key, f, &fields)
		v.checkFaultClass(key, f, fields.class, classes)
		v.checkFaultVariant(key, f, fields.variant)
	}
}

// checkFaultTargets checks the partners and relays that a fault names. A fault affects either
// partners or relays.
func (v *validator) checkFaultTargets(key string, f *Fault, affectsPartners bool, s *Scenario, names map[string]bool) {
	if affectsPartners {
		v.checkFaultPartners(key, f, s, names)
	} else if len(f.partnerNames()) > 0 {
		v.errorf(key+".partner", "%s does not affect partners", f.Kind)
	}
	if f.Relay < 0 || f.Relay > s.Relays.Count {
		v.errorf(key+".relay", "%d, want 1 to %d, or 0 for all relays", f.Relay, s.Relays.Count)
	} else if f.Relay != 0 && affectsPartners {
		v.errorf(key+".relay", "%s does not affect relays", f.Kind)
	}
}

// checkFaultPartners checks the partners that a fault names.
func (v *validator) checkFaultPartners(key string, f *Fault, s *Scenario, names map[string]bool) {
	named := f.partnerNames()
	if len(named) == 0 {
		v.errorf(key+".partner", "%s needs a partner", f.Kind)
	}
	for _, name := range named {
		if name != "*" && !names[name] {
			v.errorf(key+".partner", "no partner %q", name)
		}
	}
	withoutTLS := func(p Partner) bool { return p.TLS == nil && f.matchesTable(p.Name, p.Count) }
	if strings.HasPrefix(f.Kind, "tls_") && slices.ContainsFunc(s.Partners, withoutTLS) {
		v.errorf(key+".partner", "%s affects only partners with tls", f.Kind)
	}
	v.checkRange(key+".part", f.EndpointShare, 1e-6, 1)
}

// checkFaultNumbers checks a fault's magnitude and share.
func (v *validator) checkFaultNumbers(key string, f *Fault, fields *faultFields) {
	if fields.magnitude {
		v.checkRange(key+".size", f.Magnitude, fields.minMagnitude, 1000)
	} else if f.Magnitude != 0 {
		v.errorf(key+".size", "%s has no size", f.Kind)
	}
	if fields.share {
		v.checkRange(key+".share", f.Share, 1e-6, 1)
	} else if f.Share != 0 {
		v.errorf(key+".share", "%s has no share", f.Kind)
	}
}

// checkFaultClass checks the message class that a fault names.
func (v *validator) checkFaultClass(key string, f *Fault, usesClass bool, classes map[string]bool) {
	if usesClass && !classes[f.Class] {
		v.errorf(key+".class", "no class %q", f.Class)
	} else if !usesClass && f.Class != "" {
		v.errorf(key+".class", "%s has no class", f.Kind)
	}
}

// checkFaultVariant checks a fault's variant, the key form in the file.
func (v *validator) checkFaultVariant(key string, f *Fault, hasVariant bool) {
	switch {
	case f.Kind == RelayUpgrade && f.Variant != "":
		v.checkOneOf(key+".form", f.Variant, KillPredecessor, KillSuccessor)
	case f.Kind == RelayUpgrade:
	case f.Kind == RelaySignals:
		if _, err := ParseSignalSteps(f.Variant); err != nil {
			v.errorf(key+".form", "%v", err)
		}
	case hasVariant:
		v.checkOneOf(
			key+".form",
			f.Variant,
			string(endpoint.GarbageBytes),
			string(endpoint.EndlessHeader),
			string(endpoint.WrongLength),
			string(endpoint.DuplicateResponse),
		)
	case f.Variant != "":
		v.errorf(key+".form", "%s has no form", f.Kind)
	}
}
