package scenario

import "troutusher/internal/emulator/endpoint"

// defaultRestartS is the time in seconds until a killed relay is started again.
const defaultRestartS = 0.6

// newWithDefaults returns a scenario with the defaults that do not depend on other keys. The
// file is decoded over it.
func newWithDefaults() *Scenario {
	return &Scenario{
		Seed:          1,
		MaxLatenessMS: 100,
		Relays: Relays{
			Count: 1, Zones: []string{"a"}, MaxAttempts: 8, MemoryMB: 64, Sockets: 512, DiskMB: 3, HealthChecks: true,
			RetryAfter: true, MaxRetryAfterMS: 2000, ConnectTimeoutMS: 1500,
		},
		Clients: Clients{
			ReplyTimeoutMS:  400,
			Retries:         2,
			BackoffMS:       700,
			RetryAfterShare: 0.9,
			FailoverDelayMS: 1000,
			BodyBytes:       200,
		},
		Discovery: Discovery{DelayMS: 500, SpreadMS: 200},
		Rules: Rules{
			DrainGraceMS:      2000,
			OverloadFactor:    1.5,
			OverloadWindowMS:  2000,
			WarmUpShare:       0.26,
			WarmUpMS:          13000,
			DeadlineSlackMS:   300,
			RestartGraceMS:    1500,
			RetryAfterGraceMS: 100,
			SlackMS:           50,
		},
		Traffic: Traffic{Shape: shapeSteady},
	}
}

// setDefaults sets the defaults that newWithDefaults cannot: those of repeated tables, and those
// that depend on other keys.
func (s *Scenario) setDefaults() {
	for i := range s.Classes {
		setDefault(&s.Classes[i].Share, 1)
		setDefault(&s.Classes[i].Weight, 1)
	}
	for i := range s.Portals {
		setDefault(&s.Portals[i].Share, 1)
	}
	for i := range s.Partners {
		s.setPartnerDefaults(&s.Partners[i])
	}
	for i := range s.Faults {
		s.Faults[i].setDefaults()
	}
	setDefault(&s.Traffic.PeriodS, max(s.LengthS, 1))
	setDefault(&s.Traffic.From, 1)
	setDefault(&s.Traffic.To, 1)
	setDefault(&s.Traffic.BurstSize, 10)
	if len(s.Portals) == 0 {
		s.Portals = []Portal{{Name: "portal", Share: 1}}
	}
}

// setDefault sets a field that has its zero value, which is how a key left out of the file
// appears.
func setDefault[T comparable](field *T, value T) {
	var missing T
	if *field == missing {
		*field = value
	}
}

func (s *Scenario) setPartnerDefaults(p *Partner) {
	setDefault(&p.Share, 1)
	setDefault(&p.WarmUpShare, s.Rules.WarmUpShare)
	setDefault(&p.WarmUpMS, s.Rules.WarmUpMS)
	setDefault(&p.WindowMS, 1000)
	setDefault(&p.CV, 0.5)
	setDefault(&p.Count, 1)
	setDefault(&p.Endpoints, 1)
	setDefault(&p.Kind, "partner")
	setDefault(&p.Routes, routesShared)
	setDefault(&p.Distribution, "lognormal")
	setDefault(&p.Limit, "none")
	setDefault(&p.Cancel, "none")
	if p.DedupWindowMS == 0 {
		for i := range s.Classes {
			p.DedupWindowMS = max(p.DedupWindowMS, s.Classes[i].DedupWindowMS)
		}
	}
}

func (f *Fault) setDefaults() {
	setDefault(&f.EndpointShare, 1)
	if f.Kind == RelayKill {
		setDefault(&f.DurationS, defaultRestartS)
	}
	if fieldsByFault[f.Kind].share {
		setDefault(&f.Share, 1)
	}
	if f.Kind == string(endpoint.MalformedResponse) {
		setDefault(&f.Variant, string(endpoint.GarbageBytes))
	}
}
