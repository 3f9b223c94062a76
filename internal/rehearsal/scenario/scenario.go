// Package scenario reads and checks scenario files, holds the built-in ones, and draws
// the plan of a rehearsal from a scenario and a seed. It must never run anything: no
// socket, no process, no clock.
package scenario

import (
	"slices"

	"github.com/pelletier/go-toml/v2"

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
	LengthS       float64   `toml:"length_s"` // messages arrive within these
	MinService    float64   `toml:"floor"`    // service under this fails the rehearsal, from 0 to 1
	MaxLatenessMS float64   `toml:"late_ms"`  // the run is void with a kit that is later at the 99th percentile
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
	MaxInFlight      int      `toml:"slots"` // 0 for twice what the traffic keeps busy
	MaxPending       int      `toml:"held"`  // 0 for ten seconds of the traffic
	MaxAttempts      int      `toml:"max_attempts"`
	MemoryMB         int      `toml:"memory_mb"`
	Sockets          int      `toml:"sockets"`
	DiskMB           int      `toml:"disk_mb"`
	HealthChecks     bool     `toml:"probes"`
	RetryAfter       bool     `toml:"retry_after"`
	MaxRetryAfterMS  float64  `toml:"max_retry_after_ms"`
	ConnectTimeoutMS float64  `toml:"connect_timeout_ms"`
	// destinations that are not passivated; 0 for what the relays have by themselves
	MaxActiveDestinations int `toml:"awake"`
}

// Clients are those who submit messages.
type Clients struct {
	ReplyTimeoutMS  float64 `toml:"answer_ms"`       // they wait so long for a reply
	Retries         int     `toml:"retries"`         // after a rejection
	BackoffMS       float64 `toml:"backoff_ms"`      // before one; it doubles each time
	RetryAfterShare float64 `toml:"honour"`          // part of the rejections whose Retry-After is heeded
	FailoverDelayMS float64 `toml:"front_notice_ms"` // connections still go to a dead relay for so long
	BodyBytes       int     `toml:"bodies"`          // bytes of a message
}

// Discovery is how the endpoint list reaches the relays.
type Discovery struct {
	DelayMS          float64 `toml:"delay_ms"`  // changes arrive so much later ...
	SpreadMS         float64 `toml:"spread_ms"` // ... and up to so much more, each relay for itself
	IdleDestinations int     `toml:"quiet"`     // listed destinations that get no messages
}

// Rules are the limits of the six rules.
type Rules struct {
	DrainGraceMS      float64 `toml:"drain_grace_ms"`
	OverloadFactor    float64 `toml:"fall_multiple"`
	OverloadWindowMS  float64 `toml:"fall_ms"`
	WarmUpShare       float64 `toml:"cold_share"` // capacity of an endpoint that begins to warm up
	WarmUpMS          float64 `toml:"cold_ms"`    // by then it has its whole capacity
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
	BurstShare float64 `toml:"clump_share"` // part of the messages that come in bursts for one partner
	BurstSize  int     `toml:"clump_size"`
}

// Shapes of traffic.
const (
	shapeSteady = "steady"
	shapeRamp   = "ramp"
	shapeWave   = "wave"
	shapeRush   = "rush"
)

// Kinds of idempotency.
const (
	idempotent      = "safe"
	idempotentByKey = "keyed"
	nonIdempotent   = "unsafe"
)

// Kinds of routes: all endpoints of a partner share one, or each has its own.
const (
	routesShared      = "shared"
	routesIndependent = "apart"
)

// Class is a class of message.
type Class struct {
	Name               string  `toml:"name"`
	Share              float64 `toml:"share"`
	LatencyObjectiveMS float64 `toml:"aim_ms"`
	DeadlineMS         float64 `toml:"deadline_ms"`
	Weight             float64 `toml:"worth"`
	LateWeight         float64 `toml:"late_worth"` // part of the weight left at the deadline
	Idempotency        string  `toml:"repeat"`     // safe, keyed or unsafe
	DedupWindowMS      float64 `toml:"key_window_ms"`
	// Ordering is judged, but no protocol has a field for the ordering key yet, so that a
	// file cannot ask for it.
	Ordered             bool    `toml:"-"`
	OrderedKeyBackoffMS float64 `toml:"-"`
}

// Portal is a tenant of the relays.
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
	Portal         string             `toml:"portal"` // whose messages it gets; any portal's where empty
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
	FullHandshakeCost     float64 `toml:"full_weight"` // cost of a full handshake in calls, 0 for none
	ResumedHandshakeCost  float64 `toml:"resumed"`     // cost of a resumed one in calls
	DeclaredHandshakeCost float64 `toml:"told_weight"` // cost that the relays are told
	DisableResumption     bool    `toml:"no_sessions"` // nothing is resumed
	RequireClientCert     bool    `toml:"wants_ours"`  // the relays must show their certificate
	// part of one core that the relays may spend on handshakes; a quarter where 0
	HandshakeCPUShare float64 `toml:"share"`
}

// Kinds of fault of partners that are reached over TLS: what they present meanwhile. Relays
// must not accept any of it but the first and the last.
const (
	// another certificate, from another authority under the same root, with another pinned key
	TLSRotate         = "tls_rotate"
	TLSExpired        = "tls_expired"    // an expired one
	TLSWrongName      = "tls_wrong_name" // one for another name
	TLSWrongRoot      = "tls_wrong_root" // one from a root that nobody trusts
	TLSHandshakeReset = "tls_reset"      // none: connections are reset in the handshake
	TLSSessionsLost   = "tls_forget"     // the right one, with no session to resume
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
	s := newWithDefaults()
	checker, err := tomlfile.Decode(file, text, s)
	if err != nil {
		return nil, err
	}
	s.setDefaults()
	v := &validator{checker}
	v.checkScenario(s)
	if err := v.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// Text is the scenario as a file that reads as the same scenario for ever:
// every default that holds today is written out.
func (s *Scenario) Text() ([]byte, error) { return toml.Marshal(s) }

// serviceTimeMS returns the mean service time of a class, if the file has one.
func (p *Partner) serviceTimeMS(class string) (mean float64, ok bool) {
	if mean, ok = p.ServiceMS[class]; !ok {
		mean, ok = p.ServiceMS["all"]
	}
	return mean, ok
}

// acceptsClass reports whether the partners get messages of a class.
func (p *Partner) acceptsClass(class string) bool {
	return len(p.Classes) == 0 || slices.Contains(p.Classes, class)
}
