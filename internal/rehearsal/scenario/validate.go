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

// validator collects what is wrong, each with its key and line.
type validator struct{ *tomlfile.Checker }

func (c *validator) errorf(key, format string, a ...any) { c.Errorf(key, format, a...) }

// checkRange checks a figure; NaN and infinities are out of every range.
func (c *validator) checkRange(key string, v, least, most float64) {
	if !(v >= least && v <= most) {
		if most == math.MaxFloat64 {
			c.errorf(key, "%v, want at least %v", v, least)
		} else {
			c.errorf(key, "%v, want %v to %v", v, least, most)
		}
	}
}

func (c *validator) checkOneOf(key, v string, among ...string) {
	if !slices.Contains(among, v) {
		c.errorf(key, "%q, want one of %s", v, strings.Join(among, ", "))
	}
}

func (c *validator) checkName(key, v string, seen map[string]bool) {
	switch {
	case v == "" || len(v) > 64 ||
		strings.ContainsFunc(v, func(r rune) bool { return r <= ' ' || r > '~' || r == ',' || r == '=' }):
		c.errorf(key, "%q, want a name of 1 to 64 plain characters with no comma and no equals sign", v)
	case seen[v]:
		c.errorf(key, "%q is there twice", v)
	}
	seen[v] = true
}

const (
	dayMS               = 24 * 3600 * 1000
	maxMessages         = 2_000_000
	maxEndpoints        = 2000
	maxIdleDestinations = 20_000 // of a list of 4 MB
)

func (c *validator) checkScenario(s *Scenario) {
	switch {
	case s.Version == 0:
		c.errorf("version", "missing; this program reads version %d", Version)
	case s.Version != Version:
		c.errorf("version", "%d; this program reads version %d", s.Version, Version)
		return
	}
	c.checkName("name", s.Name, map[string]bool{})
	c.checkRange("length_s", s.LengthS, 0.1, 24*3600)
	c.checkRange("floor", s.MinService, 0, 1)
	c.checkRange("late_ms", s.MaxLatenessMS, 1, 10_000)
	c.checkRelays(s)
	c.checkNumbers(s)
	c.checkOneOf("traffic.shape", s.Traffic.Shape, "steady", "ramp", "wave", "rush")
	if n := s.Traffic.RatePerS * s.LengthS * max(s.Traffic.From, s.Traffic.To, 1); n > maxMessages {
		c.errorf("traffic.rate_per_s", "about %.0f messages, %d at most", n, maxMessages)
	}
	classes := c.checkClasses(s)
	portals := map[string]bool{}
	for i, p := range s.Portals {
		key := fmt.Sprintf("portal[%d]", i)
		c.checkName(key+".name", p.Name, portals)
		c.checkRange(key+".share", p.Share, 1e-6, 1e6)
		c.checkRange(key+".quota_per_s", p.QuotaPerS, 0, 1e6)
	}
	names := c.checkPartners(s, classes, portals)
	c.checkFaults(s, classes, names)
}

// checkNumbers checks the bounds of plain numbers.
func (c *validator) checkNumbers(s *Scenario) {
	r := &s.Rules
	for _, x := range []struct {
		key         string
		v, min, max float64
	}{
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
	} {
		c.checkRange(x.key, x.v, x.min, x.max)
	}
}

func (c *validator) checkRelays(s *Scenario) {
	r := &s.Relays
	for _, x := range []struct {
		key      string
		v        int
		min, max float64
	}{
		{"count", r.Count, 1, 16},
		{"slots", r.MaxInFlight, 0, 100_000},
		{"held", r.MaxPending, 0, 1e6},
		{"max_attempts", r.MaxAttempts, 1, 100},
		{"memory_mb", r.MemoryMB, 8, 65536},
		{"sockets", r.Sockets, 64, 100_000},
		{"disk_mb", r.DiskMB, 1, 65536},
	} {
		c.checkRange("relays."+x.key, float64(x.v), x.min, x.max)
	}
	c.checkRange("relays.max_retry_after_ms", r.MaxRetryAfterMS, 0, 60_000)
	c.checkRange("relays.connect_timeout_ms", r.ConnectTimeoutMS, 10, 60_000)
	if len(r.Zones) == 0 || len(r.Zones) > 64 {
		c.errorf("relays.halls", "%d halls, want 1 to 64", len(r.Zones))
	}
	seen := map[string]bool{}
	for _, h := range r.Zones {
		c.checkName("relays.halls", h, seen)
	}
}

func (c *validator) checkClasses(s *Scenario) map[string]bool {
	seen := map[string]bool{}
	if len(s.Classes) == 0 || len(s.Classes) > 64 {
		c.errorf("class", "%d classes, want 1 to 64", len(s.Classes))
	}
	for i, x := range s.Classes {
		key := fmt.Sprintf("class[%d]", i)
		c.checkName(key+".name", x.Name, seen)
		c.checkRange(key+".share", x.Share, 1e-6, 1e6)
		c.checkRange(key+".aim_ms", x.LatencyObjectiveMS, 1, dayMS)
		c.checkRange(key+".deadline_ms", x.DeadlineMS, max(x.LatencyObjectiveMS, 1), 600_000)
		c.checkRange(key+".worth", x.Weight, 0, 1e6)
		c.checkRange(key+".late_worth", x.LateWeight, 0, 1)
		c.checkOneOf(key+".repeat", x.Idempotency, "safe", "keyed", "unsafe")
		if x.Idempotency == "keyed" {
			c.checkRange(key+".key_window_ms", x.DedupWindowMS, 1, 600_000)
		} else if x.DedupWindowMS != 0 {
			c.errorf(key+".key_window_ms", "only keyed classes have one")
		}
	}
	return seen
}

// checkPartners checks the partners and returns the names that a fault may use.
func (c *validator) checkPartners(s *Scenario, classes, portals map[string]bool) map[string]bool {
	names, tables, ends := map[string]bool{}, map[string]bool{}, 0
	if len(s.Partners) == 0 {
		c.errorf("partner", "no partners")
	}
	for i := range s.Partners {
		p := &s.Partners[i]
		key := fmt.Sprintf("partner[%d]", i)
		c.checkName(key+".name", p.Name, tables)
		names[p.Name] = true
		if p.Count < 1 || p.Count > maxEndpoints {
			c.errorf(key+".count", "%d, want 1 to %d", p.Count, maxEndpoints)
			continue
		}
		for n := 1; n <= p.Count && p.Count > 1; n++ {
			names[fmt.Sprintf("%s-%d", p.Name, n)] = true
		}
		ends += p.Count * max(p.Endpoints, 0)
		c.checkPartner(key, p, s, classes, portals)
	}
	if ends > maxEndpoints {
		c.errorf("partner", "%d endpoints, %d at most", ends, maxEndpoints)
	}
	return names
}

func (c *validator) checkPartner(key string, p *Partner, s *Scenario, classes, portals map[string]bool) {
	if p.Portal != "" && !portals[p.Portal] {
		c.errorf(key+".portal", "no portal %q", p.Portal)
	}
	for _, name := range p.Classes {
		if !classes[name] {
			c.errorf(key+".classes", "no class %q", name)
		}
	}
	c.checkPartnerNumbers(key, p, s.LengthS)
	c.checkOneOf(key+".routes", p.Routes, "shared", "apart")
	c.checkOneOf(key+".dist", p.Distribution,
		string(seededrand.Constant), string(seededrand.Exponential), string(seededrand.LogNormal))
	c.checkOneOf(key+".limit", p.Limit,
		string(endpoint.NoLimit), string(endpoint.TokenBucket), string(endpoint.FixedWindow))
	c.checkOneOf(key+".cancel", p.Cancel,
		string(endpoint.CancelNone), string(endpoint.CancelQueued), string(endpoint.CancelAll))
	if p.TLS != nil {
		c.checkPartnerTLS(key+".tls", p.TLS)
	}
	c.checkPartnerLimit(key, p)
	for name, v := range p.ServiceMS {
		if name != "all" && !classes[name] {
			c.errorf(key+".service_ms."+name, "no class %q", name)
		}
		c.checkRange(key+".service_ms."+name, v, 0.1, 600_000)
	}
	for _, x := range s.Classes {
		if _, ok := p.serviceTimeMS(x.Name); !ok && p.acceptsClass(x.Name) {
			c.errorf(key+".service_ms", "no time for class %q, and none for all", x.Name)
		}
	}
}

// checkPartnerNumbers checks the bounds of a partner's plain numbers.
func (c *validator) checkPartnerNumbers(key string, p *Partner, lengthS float64) {
	for _, x := range []struct {
		key      string
		v        float64
		min, max float64
	}{
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
	} {
		c.checkRange(key+"."+x.key, x.v, x.min, x.max)
	}
}

func (c *validator) checkPartnerTLS(key string, x *TLS) {
	c.checkOneOf(key+".version", x.Version, "", "1.2", "1.3")
	c.checkOneOf(key+".key", x.Key, "", string(testca.P256), string(testca.RSA2048), string(testca.Ed25519))
	c.checkRange(key+".delay_ms", x.HandshakeDelayMS, 0, 10_000)
	c.checkRange(key+".full_weight", x.FullHandshakeCost, 0, 100)
	c.checkRange(key+".resumed", x.ResumedHandshakeCost, 0, 100)
	c.checkRange(key+".told_weight", x.DeclaredHandshakeCost, 0, 100)
	c.checkRange(key+".share", x.HandshakeCPUShare, 0, 1)
}

func (c *validator) checkPartnerLimit(key string, p *Partner) {
	if p.Limit == string(endpoint.NoLimit) {
		if p.LimitPerS != 0 {
			c.errorf(key+".limit_per_s", "the partner has no limit")
		}
		return
	}
	c.checkRange(key+".limit_per_s", p.LimitPerS, 0.01, 1e6)
	c.checkRange(key+".limit_depth", p.LimitBurst, 0, 1e6)
	c.checkRange(key+".window_ms", p.WindowMS, 1, 3600_000)
	if p.Limit == string(endpoint.FixedWindow) && p.LimitPerS*p.WindowMS < 1000 {
		c.errorf(key+".window_ms", "%v calls a second are less than one in %v ms: it would take nothing",
			p.LimitPerS, p.WindowMS)
	}
}

func (c *validator) checkFaults(s *Scenario, classes, names map[string]bool) {
	if len(s.Faults) > 10_000 {
		c.errorf("fault", "%d faults, 10000 at most", len(s.Faults))
		return
	}
	for i := range s.Faults {
		f := &s.Faults[i]
		key := fmt.Sprintf("fault[%d]", i)
		shape, ok := fieldsByFault[f.Kind]
		if !ok {
			c.errorf(key+".kind", "%q, want one of %s", f.Kind, strings.Join(FaultKinds(), ", "))
			continue
		}
		c.checkRange(key+".at_s", f.StartS, 0, s.LengthS)
		if shape.duration {
			c.checkRange(key+".length_s", f.DurationS, 0.01, 24*3600)
		} else if f.DurationS != 0 {
			c.errorf(key+".length_s", "%s has no length", f.Kind)
		}
		c.checkFaultTargets(key, f, shape.partner, s, names)
		c.checkFaultNumbers(key, f, &shape)
		c.checkFaultClass(key, f, shape.class, classes)
		c.checkFaultVariant(key, f, shape.variant)
	}
}

// checkFaultTargets checks which partners and relays a fault is about.
func (c *validator) checkFaultTargets(key string, f *Fault, aboutPartner bool, s *Scenario, names map[string]bool) {
	if aboutPartner {
		c.checkFaultPartners(key, f, s, names)
	} else if len(f.partnerNames()) > 0 {
		c.errorf(key+".partner", "%s is not about a partner", f.Kind)
	}
	if f.Relay < 0 || f.Relay > s.Relays.Count {
		c.errorf(key+".relay", "%d; the relays are 1 to %d, and 0 for all", f.Relay, s.Relays.Count)
	} else if f.Relay != 0 && aboutPartner {
		c.errorf(key+".relay", "%s is not about a relay", f.Kind)
	}
}

func (c *validator) checkFaultPartners(key string, f *Fault, s *Scenario, names map[string]bool) {
	named := f.partnerNames()
	if len(named) == 0 {
		c.errorf(key+".partner", "%s needs a partner", f.Kind)
	}
	for _, name := range named {
		if name != "*" && !names[name] {
			c.errorf(key+".partner", "no partner %q", name)
		}
	}
	withoutTLS := func(p Partner) bool { return p.TLS == nil && f.matchesTable(p.Name, p.Count) }
	if strings.HasPrefix(f.Kind, "tls_") && slices.ContainsFunc(s.Partners, withoutTLS) {
		c.errorf(key+".partner", "%s is about partners with tls", f.Kind)
	}
	c.checkRange(key+".part", f.EndpointShare, 1e-6, 1)
}

func (c *validator) checkFaultNumbers(key string, f *Fault, shape *faultFields) {
	if shape.magnitude {
		c.checkRange(key+".size", f.Magnitude, shape.minMagnitude, 1000)
	} else if f.Magnitude != 0 {
		c.errorf(key+".size", "%s has no size", f.Kind)
	}
	if shape.share {
		c.checkRange(key+".share", f.Share, 1e-6, 1)
	} else if f.Share != 0 {
		c.errorf(key+".share", "%s has no share", f.Kind)
	}
}

func (c *validator) checkFaultClass(key string, f *Fault, aboutClass bool, classes map[string]bool) {
	if aboutClass && !classes[f.Class] {
		c.errorf(key+".class", "no class %q", f.Class)
	} else if !aboutClass && f.Class != "" {
		c.errorf(key+".class", "%s is not about a class", f.Kind)
	}
}

func (c *validator) checkFaultVariant(key string, f *Fault, hasForm bool) {
	switch {
	case f.Kind == RelayUpgrade && f.Variant != "":
		c.checkOneOf(key+".form", f.Variant, KillPredecessor, KillSuccessor)
	case f.Kind == RelayUpgrade:
	case hasForm:
		c.checkOneOf(
			key+".form",
			f.Variant,
			string(endpoint.GarbageBytes),
			string(endpoint.EndlessHeader),
			string(endpoint.WrongLength),
			string(endpoint.DuplicateResponse),
		)
	case f.Variant != "":
		c.errorf(key+".form", "%s has no form", f.Kind)
	}
}
