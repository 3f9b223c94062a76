// Package scenario owns what an operator writes to have a rehearsal played:
// the file, its checks, the scenarios that ship with the program, and the plan
// that is drawn from one and a seed. It must never run anything: no socket, no
// process, no clock.
package scenario

import (
	"slices"

	"github.com/pelletier/go-toml/v2"

	"troutusher/internal/emulator/endpoint"
	"troutusher/internal/tomlfile"
)

// Version is the newest version of scenario files that is understood.
const Version = 1

// Scenario is a scenario file. Shares are relative weights unless they are
// said to be parts of one.
type Scenario struct {
	Version       int       `toml:"version"`
	Name          string    `toml:"name"`
	About         string    `toml:"about"`
	Seed          uint64    `toml:"seed"`
	LengthS       float64   `toml:"length_s"` // seconds in which messages arrive
	MinService    float64   `toml:"floor"`    // service under this ends in failure, from 0 to 1
	MaxLatenessMS float64   `toml:"late_ms"`  // the kit itself later than this at the 99th percentile: the run is void
	Relays        Relays    `toml:"relays"`
	Clients       Clients   `toml:"clients"`
	Discovery     Discovery `toml:"discovery"`
	Rules         Rules     `toml:"rules"`
	Traffic       Traffic   `toml:"traffic"`
	Classes       []Class   `toml:"class"`
	Portals       []Portal  `toml:"portal"`
	Partners      []Partner `toml:"partner"`
	Faults        []Fault   `toml:"fault"`
}

// Relays are the relays that are started, and their machines.
type Relays struct {
	Count            int      `toml:"count"`
	Zones            []string `toml:"halls"` // relays and endpoints are spread over these in turn
	MaxInFlight      int      `toml:"slots"` // calls out at once; 0 for twice what the traffic keeps busy
	MaxPending       int      `toml:"held"`  // messages held at once; 0 for ten seconds of the traffic
	MaxAttempts      int      `toml:"max_attempts"`
	MemoryMB         int      `toml:"memory_mb"`
	Sockets          int      `toml:"sockets"`
	DiskMB           int      `toml:"disk_mb"`
	HealthChecks     bool     `toml:"probes"`
	RetryAfter       bool     `toml:"retry_after"`
	MaxRetryAfterMS  float64  `toml:"max_retry_after_ms"`
	ConnectTimeoutMS float64  `toml:"connect_timeout_ms"`
	// destinations that are awake for any time; 0 for what the relays have by themselves
	MaxActiveDestinations int `toml:"awake"`
}

// Clients are those who hand messages in.
type Clients struct {
	ReplyTimeoutMS  float64 `toml:"answer_ms"`       // they wait so long for an answer
	Retries         int     `toml:"retries"`         // after a refusal
	BackoffMS       float64 `toml:"backoff_ms"`      // before one; it doubles each time
	RetryAfterShare float64 `toml:"honour"`          // part of the refusals whose time to come back is heeded
	FailoverDelayMS float64 `toml:"front_notice_ms"` // the front deals connections to a dead relay for so long
	BodyBytes       int     `toml:"bodies"`          // bytes of a message
}

// Discovery is how the list reaches the relays.
type Discovery struct {
	DelayMS          float64 `toml:"delay_ms"`  // changes arrive so much later ...
	SpreadMS         float64 `toml:"spread_ms"` // ... and up to so much more, each relay for itself
	IdleDestinations int     `toml:"quiet"`     // destinations that the list names, and nobody sends to
}

// Rules are the figures of the six rules.
type Rules struct {
	DrainGraceMS      float64 `toml:"drain_grace_ms"`
	OverloadFactor    float64 `toml:"fall_multiple"`
	OverloadWindowMS  float64 `toml:"fall_ms"`
	WarmUpShare       float64 `toml:"cold_share"` // the least that a returning destination can do
	WarmUpMS          float64 `toml:"cold_ms"`    // by then it can do everything
	DeadlineSlackMS   float64 `toml:"end_slack_ms"`
	RestartGraceMS    float64 `toml:"restart_grace_ms"`
	RetryAfterGraceMS float64 `toml:"wait_pass_ms"`
	SlackMS           float64 `toml:"slack_ms"`
}

// Traffic is how messages arrive.
type Traffic struct {
	RatePerS   float64 `toml:"rate_per_s"`
	Shape      string  `toml:"shape"`       // steady, ramp, wave or rush
	Amplitude  float64 `toml:"swing"`       // wave: part of the rate that it goes up and down
	PeriodS    float64 `toml:"period_s"`    // wave
	From       float64 `toml:"from"`        // ramp: factor at the beginning
	To         float64 `toml:"to"`          // ramp, rush: factor at the end, or at the rush's top
	BurstShare float64 `toml:"clump_share"` // part of the messages that come in clumps for one partner
	BurstSize  int     `toml:"clump_size"`
}

// Class is a class of message.
type Class struct {
	Name               string  `toml:"name"`
	Share              float64 `toml:"share"`
	LatencyObjectiveMS float64 `toml:"aim_ms"`
	DeadlineMS         float64 `toml:"deadline_ms"`
	Weight             float64 `toml:"worth"`
	LateWeight         float64 `toml:"late_worth"` // part of the worth left at the deadline
	Idempotency        string  `toml:"repeat"`     // safe, keyed or unsafe
	DedupWindowMS      float64 `toml:"key_window_ms"`
	// Order is judged, but no front has a field for a message's thread yet, so
	// that a file cannot ask for it.
	Ordered             bool    `toml:"-"`
	OrderedKeyBackoffMS float64 `toml:"-"`
}

// Portal is one of those who share the relays.
type Portal struct {
	Name      string  `toml:"name"`
	Share     float64 `toml:"share"`
	QuotaPerS float64 `toml:"quota_per_s"` // 0 for one and a half times its part of the traffic
}

// Partner is a destination, or several of one shape.
type Partner struct {
	Name           string             `toml:"name"`
	Count          int                `toml:"count"` // so many partners of this shape, named NAME-1 and so on
	Kind           string             `toml:"kind"`
	Portal         string             `toml:"portal"` // whose messages it gets; any where empty
	Share          float64            `toml:"share"`  // of the traffic, all of them together
	Classes        []string           `toml:"classes"`
	ReturnS        float64            `toml:"return_s"`     // in the second after this ...
	ReturnBurst    int                `toml:"return_burst"` // ... each of them gets so many messages beside its share
	Endpoints      int                `toml:"endpoints"`
	Routes         string             `toml:"routes"`         // shared or apart
	CapacityPerS   float64            `toml:"capacity_per_s"` // of one warm endpoint
	QueueLimit     int                `toml:"queue"`
	ServiceMS      map[string]float64 `toml:"service_ms"`
	Distribution   string             `toml:"dist"` // fixed, exp or lognormal
	CV             float64            `toml:"cv"`
	Limit          string             `toml:"limit"` // none, rate or window
	LimitPerS      float64            `toml:"limit_per_s"`
	LimitBurst     float64            `toml:"limit_depth"`
	WindowMS       float64            `toml:"window_ms"`
	CountsRejected bool               `toml:"refused_spend"`
	RetryAfterMS   float64            `toml:"wait_ms"`
	MaxConns       int                `toml:"connections"`
	IdleTimeoutMS  float64            `toml:"idle_ms"`
	HandshakeMS    float64            `toml:"handshake_ms"`
	OneWayDelayMS  float64            `toml:"one_way_ms"`
	WarmUpShare    float64            `toml:"cold_share"`
	WarmUpMS       float64            `toml:"cold_ms"`
	DedupWindowMS  float64            `toml:"key_memory_ms"`
	ErrorShare     float64            `toml:"errors"`
	Cancel         string             `toml:"cancel"` // none, queued or all
	TLS            *TLS               `toml:"tls,omitempty"`
}

// TLS is how a partner is reached over TLS. Its certificates are made anew for
// each rehearsal.
type TLS struct {
	Version               string  `toml:"version"`     // 1.2 or 1.3; either where empty
	Key                   string  `toml:"key"`         // p256, rsa2048 or ed25519
	HandshakeDelayMS      float64 `toml:"delay_ms"`    // what a handshake takes longer
	FullHandshakeCost     float64 `toml:"full_weight"` // calls that a full handshake weighs, 0 for none
	ResumedHandshakeCost  float64 `toml:"resumed"`     // calls that a resumed one weighs
	DeclaredHandshakeCost float64 `toml:"told_weight"` // what the relays are told that one weighs
	DisableResumption     bool    `toml:"no_sessions"` // nothing is resumed
	RequireClientCert     bool    `toml:"wants_ours"`  // the relays' own certificate is demanded
	// part of one core that the relays may spend on handshakes; a quarter where 0
	HandshakeCPUShare float64 `toml:"share"`
}

// Kinds of fault of partners that are reached over TLS: what they show while one
// holds. All but the first and the last must not be believed.
const (
	// another certificate, from another authority under the same root, with another pinned key
	TLSRotate         = "tls_rotate"
	TLSExpired        = "tls_expired"    // one that is out of time
	TLSWrongName      = "tls_wrong_name" // one for another name
	TLSWrongRoot      = "tls_wrong_root" // one from a root that nobody trusts
	TLSHandshakeReset = "tls_reset"      // nothing: connections are reset in the handshake
	TLSSessionsLost   = "tls_forget"     // the right one, and no session is remembered from before
)

// Error is one thing that is wrong with a file.
type Error = tomlfile.Error

// Load reads a scenario file.
func Load(path string) (*Scenario, error) {
	text, err := tomlfile.Read(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse reads a scenario and checks all of it; the error joins one Error for
// each thing that is wrong.
func Parse(file string, text []byte) (*Scenario, error) {
	s := defaults()
	check, err := tomlfile.Decode(file, text, s)
	if err != nil {
		return nil, err
	}
	c := &validator{check}
	s.setDefaults()
	c.checkScenario(s)
	if err := c.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// Text is the scenario as a file that reads as the same scenario for ever:
// every default that holds today is written out.
func (s *Scenario) Text() ([]byte, error) { return toml.Marshal(s) }

func defaults() *Scenario {
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
		Traffic: Traffic{Shape: "steady"},
	}
}

// setDefaults puts in what may be left out of tables that come many times.
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

// setDefault sets a value that the file leaves out.
func setDefault[T comparable](to *T, v T) {
	var missing T
	if *to == missing {
		*to = v
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
	setDefault(&p.Routes, "shared")
	setDefault(&p.Distribution, "lognormal")
	setDefault(&p.Limit, "none")
	setDefault(&p.Cancel, "none")
	if p.DedupWindowMS == 0 {
		for _, c := range s.Classes {
			p.DedupWindowMS = max(p.DedupWindowMS, c.DedupWindowMS)
		}
	}
}

func (f *Fault) setDefaults() {
	setDefault(&f.EndpointShare, 1)
	if f.Kind == RelayKill {
		setDefault(&f.DurationS, 0.6)
	}
	if fieldsByFault[f.Kind].share {
		setDefault(&f.Share, 1)
	}
	if f.Kind == string(endpoint.MalformedResponse) {
		setDefault(&f.Variant, string(endpoint.GarbageBytes))
	}
}

func (p *Partner) serviceTimeMS(class string) (float64, bool) {
	if v, ok := p.ServiceMS[class]; ok {
		return v, true
	}
	v, ok := p.ServiceMS["all"]
	return v, ok
}

func (p *Partner) acceptsClass(class string) bool {
	return len(p.Classes) == 0 || slices.Contains(p.Classes, class)
}
