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
	Version   int       `toml:"version"`
	Name      string    `toml:"name"`
	About     string    `toml:"about"`
	Seed      uint64    `toml:"seed"`
	LengthS   float64   `toml:"length_s"` // seconds in which messages arrive
	Floor     float64   `toml:"floor"`    // service under this ends in failure, from 0 to 1
	LateMS    float64   `toml:"late_ms"`  // the kit itself later than this at the 99th percentile: the run is void
	Relays    Relays    `toml:"relays"`
	Clients   Clients   `toml:"clients"`
	Discovery Discovery `toml:"discovery"`
	Rules     Rules     `toml:"rules"`
	Traffic   Traffic   `toml:"traffic"`
	Classes   []Class   `toml:"class"`
	Portals   []Portal  `toml:"portal"`
	Partners  []Partner `toml:"partner"`
	Faults    []Fault   `toml:"fault"`
}

// Relays are the relays that are started, and their machines.
type Relays struct {
	Count       int      `toml:"count"`
	Halls       []string `toml:"halls"` // relays and endpoints are spread over these in turn
	Slots       int      `toml:"slots"` // calls out at once; 0 for twice what the traffic keeps busy
	Held        int      `toml:"held"`  // messages held at once; 0 for ten seconds of the traffic
	MaxAttempts int      `toml:"max_attempts"`
	MemoryMB    int      `toml:"memory_mb"`
	Sockets     int      `toml:"sockets"`
	DiskMB      int      `toml:"disk_mb"`
	Probes      bool     `toml:"probes"`
	RetryAfter  bool     `toml:"retry_after"`
	MaxRetryMS  float64  `toml:"max_retry_after_ms"`
	ConnectMS   float64  `toml:"connect_timeout_ms"`
	// destinations that are awake for any time; 0 for what the relays have by themselves
	Awake int `toml:"awake"`
}

// Clients are those who hand messages in.
type Clients struct {
	AnswerMS      float64 `toml:"answer_ms"`       // they wait so long for an answer
	Retries       int     `toml:"retries"`         // after a refusal
	BackoffMS     float64 `toml:"backoff_ms"`      // before one; it doubles each time
	Honour        float64 `toml:"honour"`          // part of the refusals whose time to come back is heeded
	FrontNoticeMS float64 `toml:"front_notice_ms"` // the front deals connections to a dead relay for so long
	Bodies        int     `toml:"bodies"`          // bytes of a message
}

// Discovery is how the list reaches the relays.
type Discovery struct {
	DelayMS  float64 `toml:"delay_ms"`  // changes arrive so much later ...
	SpreadMS float64 `toml:"spread_ms"` // ... and up to so much more, each relay for itself
	Quiet    int     `toml:"quiet"`     // destinations that the list names, and nobody sends to
}

// Rules are the figures of the six rules.
type Rules struct {
	DrainGraceMS   float64 `toml:"drain_grace_ms"`
	FallMultiple   float64 `toml:"fall_multiple"`
	FallMS         float64 `toml:"fall_ms"`
	ColdShare      float64 `toml:"cold_share"` // the least that a returning destination can do
	ColdMS         float64 `toml:"cold_ms"`    // by then it can do everything
	EndSlackMS     float64 `toml:"end_slack_ms"`
	RestartGraceMS float64 `toml:"restart_grace_ms"`
	WaitPassMS     float64 `toml:"wait_pass_ms"`
	SlackMS        float64 `toml:"slack_ms"`
}

// Traffic is how messages arrive.
type Traffic struct {
	RatePerS   float64 `toml:"rate_per_s"`
	Shape      string  `toml:"shape"`       // steady, ramp, wave or rush
	Swing      float64 `toml:"swing"`       // wave: part of the rate that it goes up and down
	PeriodS    float64 `toml:"period_s"`    // wave
	From       float64 `toml:"from"`        // ramp: factor at the beginning
	To         float64 `toml:"to"`          // ramp, rush: factor at the end, or at the rush's top
	ClumpShare float64 `toml:"clump_share"` // part of the messages that come in clumps for one partner
	ClumpSize  int     `toml:"clump_size"`
}

// Class is a class of message.
type Class struct {
	Name        string  `toml:"name"`
	Share       float64 `toml:"share"`
	AimMS       float64 `toml:"aim_ms"`
	DeadlineMS  float64 `toml:"deadline_ms"`
	Worth       float64 `toml:"worth"`
	LateWorth   float64 `toml:"late_worth"` // part of the worth left at the deadline
	Repeat      string  `toml:"repeat"`     // safe, keyed or unsafe
	KeyWindowMS float64 `toml:"key_window_ms"`
	// Order is judged, but no front has a field for a message's thread yet, so
	// that a file cannot ask for it.
	InOrder bool    `toml:"-"`
	RestMS  float64 `toml:"-"`
}

// Portal is one of those who share the relays.
type Portal struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	Quota float64 `toml:"quota_per_s"` // 0 for one and a half times its part of the traffic
}

// Partner is a destination, or several of one shape.
type Partner struct {
	Name         string             `toml:"name"`
	Count        int                `toml:"count"` // so many partners of this shape, named NAME-1 and so on
	Kind         string             `toml:"kind"`
	Portal       string             `toml:"portal"` // whose messages it gets; any where empty
	Share        float64            `toml:"share"`  // of the traffic, all of them together
	Classes      []string           `toml:"classes"`
	ReturnS      float64            `toml:"return_s"`     // in the second after this ...
	ReturnBurst  int                `toml:"return_burst"` // ... each of them gets so many messages beside its share
	Endpoints    int                `toml:"endpoints"`
	Routes       string             `toml:"routes"`         // shared or apart
	Capacity     float64            `toml:"capacity_per_s"` // of one warm endpoint
	Queue        int                `toml:"queue"`
	Service      map[string]float64 `toml:"service_ms"`
	Dist         string             `toml:"dist"` // fixed, exp or lognormal
	CV           float64            `toml:"cv"`
	Limit        string             `toml:"limit"` // none, rate or window
	LimitPerS    float64            `toml:"limit_per_s"`
	LimitDepth   float64            `toml:"limit_depth"`
	WindowMS     float64            `toml:"window_ms"`
	RefusedSpend bool               `toml:"refused_spend"`
	WaitMS       float64            `toml:"wait_ms"`
	Connections  int                `toml:"connections"`
	IdleMS       float64            `toml:"idle_ms"`
	HandshakeMS  float64            `toml:"handshake_ms"`
	OneWayMS     float64            `toml:"one_way_ms"`
	ColdShare    float64            `toml:"cold_share"`
	ColdMS       float64            `toml:"cold_ms"`
	KeyMemoryMS  float64            `toml:"key_memory_ms"`
	Errors       float64            `toml:"errors"`
	Cancel       string             `toml:"cancel"` // none, queued or all
	TLS          *TLS               `toml:"tls,omitempty"`
}

// TLS is how a partner is reached over TLS. Its certificates are made anew for
// each rehearsal.
type TLS struct {
	Version    string  `toml:"version"`     // 1.2 or 1.3; either where empty
	Key        string  `toml:"key"`         // p256, rsa2048 or ed25519
	DelayMS    float64 `toml:"delay_ms"`    // what a handshake takes longer
	Full       float64 `toml:"full_weight"` // calls that a full handshake weighs, 0 for none
	Resumed    float64 `toml:"resumed"`     // calls that a resumed one weighs
	Told       float64 `toml:"told_weight"` // what the relays are told that one weighs
	NoSessions bool    `toml:"no_sessions"` // nothing is resumed
	WantsOurs  bool    `toml:"wants_ours"`  // the relays' own certificate is demanded
	// part of one core that the relays may spend on handshakes; a quarter where 0
	Share float64 `toml:"share"`
}

// Kinds of fault of partners that are reached over TLS: what they show while one
// holds. All but the first and the last must not be believed.
const (
	// another certificate, from another authority under the same root, with another pinned key
	TLSRotate    = "tls_rotate"
	TLSExpired   = "tls_expired"    // one that is out of time
	TLSWrongName = "tls_wrong_name" // one for another name
	TLSWrongRoot = "tls_wrong_root" // one from a root that nobody trusts
	TLSReset     = "tls_reset"      // nothing: connections are reset in the handshake
	TLSForget    = "tls_forget"     // the right one, and no session is remembered from before
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
	s.fill()
	c.scenario(s)
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
		Seed: 1, LateMS: 100,
		Relays: Relays{
			Count: 1, Halls: []string{"a"}, MaxAttempts: 8, MemoryMB: 64, Sockets: 512, DiskMB: 3, Probes: true,
			RetryAfter: true, MaxRetryMS: 2000, ConnectMS: 1500,
		},
		Clients:   Clients{AnswerMS: 400, Retries: 2, BackoffMS: 700, Honour: 0.9, FrontNoticeMS: 1000, Bodies: 200},
		Discovery: Discovery{DelayMS: 500, SpreadMS: 200},
		Rules: Rules{
			DrainGraceMS: 2000, FallMultiple: 1.5, FallMS: 2000, ColdShare: 0.26, ColdMS: 13000, EndSlackMS: 300,
			RestartGraceMS: 1500, WaitPassMS: 100, SlackMS: 50,
		},
		Traffic: Traffic{Shape: "steady"},
	}
}

// fill puts in what may be left out of tables that come many times.
func (s *Scenario) fill() {
	for i := range s.Classes {
		setDefault(&s.Classes[i].Share, 1)
		setDefault(&s.Classes[i].Worth, 1)
	}
	for i := range s.Portals {
		setDefault(&s.Portals[i].Share, 1)
	}
	for i := range s.Partners {
		s.fillPartner(&s.Partners[i])
	}
	for i := range s.Faults {
		s.Faults[i].fill()
	}
	setDefault(&s.Traffic.PeriodS, max(s.LengthS, 1))
	setDefault(&s.Traffic.From, 1)
	setDefault(&s.Traffic.To, 1)
	setDefault(&s.Traffic.ClumpSize, 10)
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

func (s *Scenario) fillPartner(p *Partner) {
	setDefault(&p.Share, 1)
	setDefault(&p.ColdShare, s.Rules.ColdShare)
	setDefault(&p.ColdMS, s.Rules.ColdMS)
	setDefault(&p.WindowMS, 1000)
	setDefault(&p.CV, 0.5)
	setDefault(&p.Count, 1)
	setDefault(&p.Endpoints, 1)
	setDefault(&p.Kind, "partner")
	setDefault(&p.Routes, "shared")
	setDefault(&p.Dist, "lognormal")
	setDefault(&p.Limit, "none")
	setDefault(&p.Cancel, "none")
	if p.KeyMemoryMS == 0 {
		for _, c := range s.Classes {
			p.KeyMemoryMS = max(p.KeyMemoryMS, c.KeyWindowMS)
		}
	}
}

func (f *Fault) fill() {
	setDefault(&f.Part, 1)
	if f.Kind == RelayKill {
		setDefault(&f.LengthS, 0.6)
	}
	if faultShapes[f.Kind].share {
		setDefault(&f.Share, 1)
	}
	if f.Kind == string(endpoint.MalformedResponse) {
		setDefault(&f.Form, string(endpoint.GarbageBytes))
	}
}

func (p *Partner) service(class string) (float64, bool) {
	if v, ok := p.Service[class]; ok {
		return v, true
	}
	v, ok := p.Service["all"]
	return v, ok
}

func (p *Partner) takes(class string) bool {
	return len(p.Classes) == 0 || slices.Contains(p.Classes, class)
}
