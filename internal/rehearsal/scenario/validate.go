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

func (c *validator) wrong(key, format string, a ...any) { c.Errorf(key, format, a...) }

// between checks a figure; NaN and infinities are out of every range.
func (c *validator) between(key string, v, least, most float64) {
	if !(v >= least && v <= most) {
		if most == math.MaxFloat64 {
			c.wrong(key, "%v, want at least %v", v, least)
		} else {
			c.wrong(key, "%v, want %v to %v", v, least, most)
		}
	}
}

func (c *validator) word(key, v string, among ...string) {
	if !slices.Contains(among, v) {
		c.wrong(key, "%q, want one of %s", v, strings.Join(among, ", "))
	}
}

func (c *validator) name(key, v string, seen map[string]bool) {
	switch {
	case v == "" || len(v) > 64 ||
		strings.ContainsFunc(v, func(r rune) bool { return r <= ' ' || r > '~' || r == ',' || r == '=' }):
		c.wrong(key, "%q, want a name of 1 to 64 plain characters with no comma and no equals sign", v)
	case seen[v]:
		c.wrong(key, "%q is there twice", v)
	}
	seen[v] = true
}

const (
	dayMS        = 24 * 3600 * 1000
	messagesMost = 2_000_000
	endsMost     = 2000
	quietMost    = 20_000 // of a list of 4 MB
)

func (c *validator) scenario(s *Scenario) {
	switch {
	case s.Version == 0:
		c.wrong("version", "missing; this program reads version %d", Version)
	case s.Version != Version:
		c.wrong("version", "%d; this program reads version %d", s.Version, Version)
		return
	}
	c.name("name", s.Name, map[string]bool{})
	c.between("length_s", s.LengthS, 0.1, 24*3600)
	c.between("floor", s.Floor, 0, 1)
	c.between("late_ms", s.LateMS, 1, 10_000)
	c.relays(s)
	c.figures(s)
	c.word("traffic.shape", s.Traffic.Shape, "steady", "ramp", "wave", "rush")
	if n := s.Traffic.RatePerS * s.LengthS * max(s.Traffic.From, s.Traffic.To, 1); n > messagesMost {
		c.wrong("traffic.rate_per_s", "about %.0f messages, %d at most", n, messagesMost)
	}
	classes := c.classes(s)
	portals := map[string]bool{}
	for i, p := range s.Portals {
		key := fmt.Sprintf("portal[%d]", i)
		c.name(key+".name", p.Name, portals)
		c.between(key+".share", p.Share, 1e-6, 1e6)
		c.between(key+".quota_per_s", p.Quota, 0, 1e6)
	}
	names := c.partners(s, classes, portals)
	c.faults(s, classes, names)
}

// figures checks the bounds of plain numbers.
func (c *validator) figures(s *Scenario) {
	r := &s.Rules
	for _, x := range []struct {
		key         string
		v, min, max float64
	}{
		{"clients.answer_ms", s.Clients.AnswerMS, 10, 60_000},
		{"clients.retries", float64(s.Clients.Retries), 0, 10},
		{"clients.backoff_ms", s.Clients.BackoffMS, 1, 60_000},
		{"clients.honour", s.Clients.Honour, 0, 1},
		{"clients.front_notice_ms", s.Clients.FrontNoticeMS, 0, 60_000},
		{"clients.bodies", float64(s.Clients.Bodies), 0, 64 << 10},
		{"discovery.delay_ms", s.Discovery.DelayMS, 0, 60_000},
		{"discovery.spread_ms", s.Discovery.SpreadMS, 0, 60_000},
		{"discovery.quiet", float64(s.Discovery.Quiet), 0, quietMost},
		{"relays.awake", float64(s.Relays.Awake), 0, quietMost},
		{"rules.drain_grace_ms", r.DrainGraceMS, 0, 60_000},
		{"rules.fall_multiple", r.FallMultiple, 1, 100},
		{"rules.fall_ms", r.FallMS, 0, 60_000},
		{"rules.cold_share", r.ColdShare, 0.01, 1},
		{"rules.cold_ms", r.ColdMS, 0, 600_000},
		{"rules.end_slack_ms", r.EndSlackMS, 0, 60_000},
		{"rules.restart_grace_ms", r.RestartGraceMS, 0, 60_000},
		{"rules.wait_pass_ms", r.WaitPassMS, 0, 60_000},
		{"rules.slack_ms", r.SlackMS, 0, 60_000},
		{"traffic.rate_per_s", s.Traffic.RatePerS, 0.01, 100_000},
		{"traffic.swing", s.Traffic.Swing, 0, 1},
		{"traffic.period_s", s.Traffic.PeriodS, 0.1, 24 * 3600},
		{"traffic.from", s.Traffic.From, 0, 100},
		{"traffic.to", s.Traffic.To, 0, 100},
		{"traffic.clump_share", s.Traffic.ClumpShare, 0, 1},
		{"traffic.clump_size", float64(s.Traffic.ClumpSize), 1, 10_000},
	} {
		c.between(x.key, x.v, x.min, x.max)
	}
}

func (c *validator) relays(s *Scenario) {
	r := &s.Relays
	for _, x := range []struct {
		key      string
		v        int
		min, max float64
	}{
		{"count", r.Count, 1, 16},
		{"slots", r.Slots, 0, 100_000},
		{"held", r.Held, 0, 1e6},
		{"max_attempts", r.MaxAttempts, 1, 100},
		{"memory_mb", r.MemoryMB, 8, 65536},
		{"sockets", r.Sockets, 64, 100_000},
		{"disk_mb", r.DiskMB, 1, 65536},
	} {
		c.between("relays."+x.key, float64(x.v), x.min, x.max)
	}
	c.between("relays.max_retry_after_ms", r.MaxRetryMS, 0, 60_000)
	c.between("relays.connect_timeout_ms", r.ConnectMS, 10, 60_000)
	if len(r.Halls) == 0 || len(r.Halls) > 64 {
		c.wrong("relays.halls", "%d halls, want 1 to 64", len(r.Halls))
	}
	seen := map[string]bool{}
	for _, h := range r.Halls {
		c.name("relays.halls", h, seen)
	}
}

func (c *validator) classes(s *Scenario) map[string]bool {
	seen := map[string]bool{}
	if len(s.Classes) == 0 || len(s.Classes) > 64 {
		c.wrong("class", "%d classes, want 1 to 64", len(s.Classes))
	}
	for i, x := range s.Classes {
		key := fmt.Sprintf("class[%d]", i)
		c.name(key+".name", x.Name, seen)
		c.between(key+".share", x.Share, 1e-6, 1e6)
		c.between(key+".aim_ms", x.AimMS, 1, dayMS)
		c.between(key+".deadline_ms", x.DeadlineMS, max(x.AimMS, 1), 600_000)
		c.between(key+".worth", x.Worth, 0, 1e6)
		c.between(key+".late_worth", x.LateWorth, 0, 1)
		c.word(key+".repeat", x.Repeat, "safe", "keyed", "unsafe")
		if x.Repeat == "keyed" {
			c.between(key+".key_window_ms", x.KeyWindowMS, 1, 600_000)
		} else if x.KeyWindowMS != 0 {
			c.wrong(key+".key_window_ms", "only keyed classes have one")
		}
	}
	return seen
}

// partners checks the partners and returns the names that a fault may use.
func (c *validator) partners(s *Scenario, classes, portals map[string]bool) map[string]bool {
	names, tables, ends := map[string]bool{}, map[string]bool{}, 0
	if len(s.Partners) == 0 {
		c.wrong("partner", "no partners")
	}
	for i := range s.Partners {
		p := &s.Partners[i]
		key := fmt.Sprintf("partner[%d]", i)
		c.name(key+".name", p.Name, tables)
		names[p.Name] = true
		if p.Count < 1 || p.Count > endsMost {
			c.wrong(key+".count", "%d, want 1 to %d", p.Count, endsMost)
			continue
		}
		for n := 1; n <= p.Count && p.Count > 1; n++ {
			names[fmt.Sprintf("%s-%d", p.Name, n)] = true
		}
		ends += p.Count * max(p.Endpoints, 0)
		c.partner(key, p, s, classes, portals)
	}
	if ends > endsMost {
		c.wrong("partner", "%d endpoints, %d at most", ends, endsMost)
	}
	return names
}

func (c *validator) partner(key string, p *Partner, s *Scenario, classes, portals map[string]bool) {
	if p.Portal != "" && !portals[p.Portal] {
		c.wrong(key+".portal", "no portal %q", p.Portal)
	}
	for _, name := range p.Classes {
		if !classes[name] {
			c.wrong(key+".classes", "no class %q", name)
		}
	}
	c.partnerFigures(key, p, s.LengthS)
	c.word(key+".routes", p.Routes, "shared", "apart")
	c.word(key+".dist", p.Dist,
		string(seededrand.Constant), string(seededrand.Exponential), string(seededrand.LogNormal))
	c.word(key+".limit", p.Limit,
		string(endpoint.NoLimit), string(endpoint.TokenBucket), string(endpoint.FixedWindow))
	c.word(key+".cancel", p.Cancel,
		string(endpoint.CancelNone), string(endpoint.CancelQueued), string(endpoint.CancelAll))
	if p.TLS != nil {
		c.partnerTLS(key+".tls", p.TLS)
	}
	c.partnerLimit(key, p)
	for name, v := range p.Service {
		if name != "all" && !classes[name] {
			c.wrong(key+".service_ms."+name, "no class %q", name)
		}
		c.between(key+".service_ms."+name, v, 0.1, 600_000)
	}
	for _, x := range s.Classes {
		if _, ok := p.service(x.Name); !ok && p.takes(x.Name) {
			c.wrong(key+".service_ms", "no time for class %q, and none for all", x.Name)
		}
	}
}

// partnerFigures checks the bounds of a partner's plain numbers.
func (c *validator) partnerFigures(key string, p *Partner, lengthS float64) {
	for _, x := range []struct {
		key      string
		v        float64
		min, max float64
	}{
		{"share", p.Share, 1e-6, 1e6},
		{"endpoints", float64(p.Endpoints), 1, endsMost},
		{"capacity_per_s", p.Capacity, 0.01, 1e5},
		{"queue", float64(p.Queue), 0, 1e6},
		{"cv", p.CV, 0, 10},
		{"wait_ms", p.WaitMS, 0, 600_000},
		{"connections", float64(p.Connections), 0, 1e6},
		{"idle_ms", p.IdleMS, 0, dayMS},
		{"handshake_ms", p.HandshakeMS, 0, 60_000},
		{"one_way_ms", p.OneWayMS, 0, 60_000},
		{"cold_share", p.ColdShare, 0.01, 1},
		{"cold_ms", p.ColdMS, 0, 600_000},
		{"key_memory_ms", p.KeyMemoryMS, 0, 600_000},
		{"errors", p.Errors, 0, 1},
		{"return_s", p.ReturnS, 0, max(lengthS-1, 0)},
		{"return_burst", float64(p.ReturnBurst), 0, 1000},
	} {
		c.between(key+"."+x.key, x.v, x.min, x.max)
	}
}

func (c *validator) partnerTLS(key string, x *TLS) {
	c.word(key+".version", x.Version, "", "1.2", "1.3")
	c.word(key+".key", x.Key, "", string(testca.P256), string(testca.RSA2048), string(testca.Ed25519))
	c.between(key+".delay_ms", x.DelayMS, 0, 10_000)
	c.between(key+".full_weight", x.Full, 0, 100)
	c.between(key+".resumed", x.Resumed, 0, 100)
	c.between(key+".told_weight", x.Told, 0, 100)
	c.between(key+".share", x.Share, 0, 1)
}

func (c *validator) partnerLimit(key string, p *Partner) {
	if p.Limit == string(endpoint.NoLimit) {
		if p.LimitPerS != 0 {
			c.wrong(key+".limit_per_s", "the partner has no limit")
		}
		return
	}
	c.between(key+".limit_per_s", p.LimitPerS, 0.01, 1e6)
	c.between(key+".limit_depth", p.LimitDepth, 0, 1e6)
	c.between(key+".window_ms", p.WindowMS, 1, 3600_000)
	if p.Limit == string(endpoint.FixedWindow) && p.LimitPerS*p.WindowMS < 1000 {
		c.wrong(key+".window_ms", "%v calls a second are less than one in %v ms: it would take nothing",
			p.LimitPerS, p.WindowMS)
	}
}

func (c *validator) faults(s *Scenario, classes, names map[string]bool) {
	if len(s.Faults) > 10_000 {
		c.wrong("fault", "%d faults, 10000 at most", len(s.Faults))
		return
	}
	for i := range s.Faults {
		f := &s.Faults[i]
		key := fmt.Sprintf("fault[%d]", i)
		shape, ok := faultShapes[f.Kind]
		if !ok {
			c.wrong(key+".kind", "%q, want one of %s", f.Kind, strings.Join(FaultKinds(), ", "))
			continue
		}
		c.between(key+".at_s", f.AtS, 0, s.LengthS)
		if shape.length {
			c.between(key+".length_s", f.LengthS, 0.01, 24*3600)
		} else if f.LengthS != 0 {
			c.wrong(key+".length_s", "%s has no length", f.Kind)
		}
		c.faultTargets(key, f, shape.partner, s, names)
		c.faultFigures(key, f, &shape)
		c.faultClass(key, f, shape.class, classes)
		c.faultForm(key, f, shape.form)
	}
}

// faultTargets checks which partners and relays a fault is about.
func (c *validator) faultTargets(key string, f *Fault, aboutPartner bool, s *Scenario, names map[string]bool) {
	if aboutPartner {
		c.faultPartners(key, f, s, names)
	} else if len(f.named()) > 0 {
		c.wrong(key+".partner", "%s is not about a partner", f.Kind)
	}
	if f.Relay < 0 || f.Relay > s.Relays.Count {
		c.wrong(key+".relay", "%d; the relays are 1 to %d, and 0 for all", f.Relay, s.Relays.Count)
	} else if f.Relay != 0 && aboutPartner {
		c.wrong(key+".relay", "%s is not about a relay", f.Kind)
	}
}

func (c *validator) faultPartners(key string, f *Fault, s *Scenario, names map[string]bool) {
	named := f.named()
	if len(named) == 0 {
		c.wrong(key+".partner", "%s needs a partner", f.Kind)
	}
	for _, name := range named {
		if name != "*" && !names[name] {
			c.wrong(key+".partner", "no partner %q", name)
		}
	}
	withoutTLS := func(p Partner) bool { return p.TLS == nil && f.names(p.Name, p.Count) }
	if strings.HasPrefix(f.Kind, "tls_") && slices.ContainsFunc(s.Partners, withoutTLS) {
		c.wrong(key+".partner", "%s is about partners with tls", f.Kind)
	}
	c.between(key+".part", f.Part, 1e-6, 1)
}

func (c *validator) faultFigures(key string, f *Fault, shape *faultShape) {
	if shape.size {
		c.between(key+".size", f.Size, shape.sizeMin, 1000)
	} else if f.Size != 0 {
		c.wrong(key+".size", "%s has no size", f.Kind)
	}
	if shape.share {
		c.between(key+".share", f.Share, 1e-6, 1)
	} else if f.Share != 0 {
		c.wrong(key+".share", "%s has no share", f.Kind)
	}
}

func (c *validator) faultClass(key string, f *Fault, aboutClass bool, classes map[string]bool) {
	if aboutClass && !classes[f.Class] {
		c.wrong(key+".class", "no class %q", f.Class)
	} else if !aboutClass && f.Class != "" {
		c.wrong(key+".class", "%s is not about a class", f.Kind)
	}
}

func (c *validator) faultForm(key string, f *Fault, hasForm bool) {
	switch {
	case f.Kind == Upgrade && f.Form != "":
		c.word(key+".form", f.Form, KillOld, KillNew)
	case f.Kind == Upgrade:
	case hasForm:
		c.word(
			key+".form",
			f.Form,
			string(endpoint.GarbageBytes),
			string(endpoint.EndlessHeader),
			string(endpoint.WrongLength),
			string(endpoint.DuplicateResponse),
		)
	case f.Form != "":
		c.wrong(key+".form", "%s has no form", f.Kind)
	}
}
