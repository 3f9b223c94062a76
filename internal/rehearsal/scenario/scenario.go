// Package scenario parses and validates scenario files, embeds the built-in ones, and
// draws the plan of a rehearsal from a scenario and a seed. The package only computes: it
// opens no sockets, starts no processes and reads no clock, so that a plan depends on
// nothing but the scenario and the seed.
package scenario

import (
	"slices"

	"github.com/pelletier/go-toml/v2"

	"troutusher/internal/tomlfile"
)

// Version is the version of the scenario file format that this package reads.
const Version = 1

// Scenario is the content of a scenario file. Shares are relative weights, unless the comment
// at the field says that the value is a fraction.
type Scenario struct {
	Version       int       `toml:"version"`
	Name          string    `toml:"name"`
	About         string    `toml:"about"`
	Seed          uint64    `toml:"seed"`
	LengthS       float64   `toml:"length_s"` // period in which messages arrive
	MinService    float64   `toml:"floor"`    // the rehearsal fails if the service ratio, 0 to 1, is lower
	MaxLatenessMS float64   `toml:"late_ms"`  // above this lateness the run is void, see report.Lateness
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

// Relays says how many relays are started, where, and with which settings and resource limits.
type Relays struct {
	Count            int      `toml:"count"`
	Zones            []string `toml:"halls"` // assigned to relays and endpoints round robin
	MaxInFlight      int      `toml:"slots"` // calls that a relay may have in flight; 0: see Plan.MaxInFlight
	MaxPending       int      `toml:"held"`  // messages that may be pending at a relay; 0: see Plan.MaxPending
	MaxAttempts      int      `toml:"max_attempts"`
	MemoryMB         int      `toml:"memory_mb"`
	Sockets          int      `toml:"sockets"`
	DiskMB           int      `toml:"disk_mb"`
	HealthChecks     bool     `toml:"probes"`
	RetryAfter       bool     `toml:"retry_after"`
	MaxRetryAfterMS  float64  `toml:"max_retry_after_ms"`
	ConnectTimeoutMS float64  `toml:"connect_timeout_ms"`
	// MaxActiveDestinations is the number of destinations that a relay keeps active. Above it, a
	// relay passivates idle ones: it packs their state into a compact store. 0 leaves the relays'
	// own default.
	MaxActiveDestinations int `toml:"awake"`
}

// Clients says how the clients that submit messages behave.
type Clients struct {
	ReplyTimeoutMS  float64 `toml:"answer_ms"`       // how long a client waits for a reply
	Retries         int     `toml:"retries"`         // number of retries after a rejection
	BackoffMS       float64 `toml:"backoff_ms"`      // before the first retry; doubles with each further one
	RetryAfterShare float64 `toml:"honour"`          // fraction of the rejections whose Retry-After the client obeys
	FailoverDelayMS float64 `toml:"front_notice_ms"` // clients still connect to a stopped relay for this long
	BodyBytes       int     `toml:"bodies"`          // size of a message's body
}

// Discovery says how the endpoint list reaches the relays.
type Discovery struct {
	DelayMS          float64 `toml:"delay_ms"`  // delay of list changes
	SpreadMS         float64 `toml:"spread_ms"` // maximum of a random extra delay, drawn for each relay
	IdleDestinations int     `toml:"quiet"`     // destinations that are listed but get no messages
}

// Rules holds the limits of the six rules by which a rehearsal is judged, see checker.Config, and of
// the endpoint emulator, see endpoint.Spec.
type Rules struct {
	DrainGraceMS      float64 `toml:"drain_grace_ms"`   // calls may begin for this long after a drain was announced
	OverloadFactor    float64 `toml:"fall_multiple"`    // a warming-up endpoint collapses above this times its capacity
	OverloadWindowMS  float64 `toml:"fall_ms"`          // period over which calls are counted for that
	WarmUpShare       float64 `toml:"cold_share"`       // fraction of the capacity that is left right after an outage
	WarmUpMS          float64 `toml:"cold_ms"`          // time after an outage until the capacity is full again
	DeadlineSlackMS   float64 `toml:"end_slack_ms"`     // a message may still end this long after its deadline
	RestartGraceMS    float64 `toml:"restart_grace_ms"` // no message is overdue this long after a relay's start
	RetryAfterGraceMS float64 `toml:"wait_pass_ms"`     // calls may arrive for this long after a Retry-After
	SlackMS           float64 `toml:"slack_ms"`         // added to every limit
}

// Traffic says how messages arrive.
type Traffic struct {
	RatePerS   float64 `toml:"rate_per_s"`
	Shape      string  `toml:"shape"`       // steady, ramp, wave or rush
	Amplitude  float64 `toml:"swing"`       // wave: amplitude as a fraction of the rate
	PeriodS    float64 `toml:"period_s"`    // wave: its period
	From       float64 `toml:"from"`        // ramp: rate factor at the beginning
	To         float64 `toml:"to"`          // ramp: rate factor at the end; rush: rate factor at the peak
	BurstShare float64 `toml:"clump_share"` // fraction of messages that come in bursts for one partner
	BurstSize  int     `toml:"clump_size"`  // messages in a burst
}

// Traffic shapes.
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

// Kinds of routes. A route is a group of endpoints to which a rate limit, Retry-After times and outages
// apply together: all endpoints of a partner share one route, or each is a route of its own.
const (
	routesShared      = "shared"
	routesIndependent = "apart"
)

// Class is a message class.
type Class struct {
	Name               string  `toml:"name"`
	Share              float64 `toml:"share"`
	LatencyObjectiveMS float64 `toml:"aim_ms"`
	DeadlineMS         float64 `toml:"deadline_ms"`
	Weight             float64 `toml:"worth"`
	LateWeight         float64 `toml:"late_worth"`    // fraction of the weight that is left at the deadline
	Idempotency        string  `toml:"repeat"`        // safe, keyed or unsafe
	DedupWindowMS      float64 `toml:"key_window_ms"` // keyed: partners drop repeats of a key for this long
	// The checker judges ordering, but no protocol has a field for the ordering key yet.
	// A file therefore cannot set these two; tests do.
	Ordered             bool    `toml:"-"`
	OrderedKeyBackoffMS float64 `toml:"-"`
}

// Portal is a tenant of the relays.
type Portal struct {
	Name      string  `toml:"name"`
	Share     float64 `toml:"share"`
	QuotaPerS float64 `toml:"quota_per_s"` // 0: 1.5 times its share of the traffic
}

// Partner is one [[partner]] table of the file. It describes the operator of one destination, or of
// several destinations with the same settings.
type Partner struct {
	Name           string             `toml:"name"`
	Count          int                `toml:"count"` // number of partners; above 1 they are named NAME-1, NAME-2 ...
	Kind           string             `toml:"kind"`
	Portal         string             `toml:"portal"` // the only portal that sends to it; empty: all portals do
	Share          float64            `toml:"share"`  // of the traffic, for all partners of the table together
	Classes        []string           `toml:"classes"`
	ReturnS        float64            `toml:"return_s"`     // start of the one-second return burst
	ReturnBurst    int                `toml:"return_burst"` // extra messages to each partner in that second
	Endpoints      int                `toml:"endpoints"`
	Routes         string             `toml:"routes"`         // shared or apart
	CapacityPerS   float64            `toml:"capacity_per_s"` // of one warmed-up endpoint
	QueueLimit     int                `toml:"queue"`
	ServiceMS      map[string]float64 `toml:"service_ms"`
	Distribution   string             `toml:"dist"`  // fixed, exp or lognormal
	CV             float64            `toml:"cv"`    // coefficient of variation of the service times
	Limit          string             `toml:"limit"` // none, rate or window
	LimitPerS      float64            `toml:"limit_per_s"`
	LimitBurst     float64            `toml:"limit_depth"`
	WindowMS       float64            `toml:"window_ms"`
	CountsRejected bool               `toml:"refused_spend"` // rejected calls count against the limit too
	RetryAfterMS   float64            `toml:"wait_ms"`       // sent with a rejection above the limit; 0: none is sent
	MaxConns       int                `toml:"connections"`
	IdleTimeoutMS  float64            `toml:"idle_ms"`
	HandshakeMS    float64            `toml:"handshake_ms"`
	OneWayDelayMS  float64            `toml:"one_way_ms"`
	WarmUpShare    float64            `toml:"cold_share"`
	WarmUpMS       float64            `toml:"cold_ms"`
	DedupWindowMS  float64            `toml:"key_memory_ms"` // 0: the longest DedupWindowMS of a class
	ErrorShare     float64            `toml:"errors"`
	Cancel         string             `toml:"cancel"` // none, queued or all
	TLS            *TLS               `toml:"tls,omitempty"`
}

// TLS says how a partner is reached over TLS. Each rehearsal generates new certificates.
type TLS struct {
	Version               string  `toml:"version"`     // 1.2 or 1.3; empty: either
	Key                   string  `toml:"key"`         // p256, rsa2048 or ed25519; empty: p256
	HandshakeDelayMS      float64 `toml:"delay_ms"`    // added to the duration of a handshake
	FullHandshakeCost     float64 `toml:"full_weight"` // load of a full handshake on the partner, in calls; 0 for none
	ResumedHandshakeCost  float64 `toml:"resumed"`     // load of a resumed handshake, in calls
	DeclaredHandshakeCost float64 `toml:"told_weight"` // load of a handshake, in calls, in the operator's file
	DisableResumption     bool    `toml:"no_sessions"` // the partner resumes no sessions
	RequireClientCert     bool    `toml:"wants_ours"`  // the relays must present a client certificate
	// HandshakeCPUShare is the fraction of one core that the relays may spend on handshakes;
	// 0 means a quarter.
	HandshakeCPUShare float64 `toml:"share"`
}

// Kinds of fault of partners that are reached over TLS. Each changes what the partner's
// endpoints present while it lasts. Relays may complete handshakes only under TLSRotate and
// TLSSessionsLost.
const (
	// TLSRotate presents another valid certificate: from another authority under the same
	// root, with another pinned key.
	TLSRotate         = "tls_rotate"
	TLSExpired        = "tls_expired"    // an expired certificate
	TLSWrongName      = "tls_wrong_name" // a certificate for another name
	TLSWrongRoot      = "tls_wrong_root" // a certificate from an untrusted root
	TLSHandshakeReset = "tls_reset"      // no certificate: connections are reset during the handshake
	TLSSessionsLost   = "tls_forget"     // the right certificate, but earlier sessions cannot be resumed
)

// Error is one error in a scenario file.
type Error = tomlfile.Error

// Load reads and parses a scenario file.
func Load(path string) (*Scenario, error) {
	text, err := tomlfile.Read(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse parses a scenario, fills in defaults and validates all of it. The returned error
// joins one *Error for each fault found. The name file is used only in these errors.
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

// Text returns the scenario as a file with all of today's defaults written out, so that later
// releases with other defaults parse it as the same scenario.
func (s *Scenario) Text() ([]byte, error) { return toml.Marshal(s) }

// serviceTimeMS returns the mean service time of a class: its own, or else that of "all".
// ok is false if the file has neither.
func (p *Partner) serviceTimeMS(class string) (mean float64, ok bool) {
	if mean, ok = p.ServiceMS[class]; !ok {
		mean, ok = p.ServiceMS["all"]
	}
	return mean, ok
}

// acceptsClass reports whether the partners of this table get messages of a class.
func (p *Partner) acceptsClass(class string) bool {
	return len(p.Classes) == 0 || slices.Contains(p.Classes, class)
}
