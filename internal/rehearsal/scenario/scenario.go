// Package scenario owns what an operator writes to have a rehearsal played:
// the file, its checks, the scenarios that ship with the program, and the plan
// that is drawn from one and a seed. It must never run anything: no socket, no
// process, no clock.
package scenario

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"troutusher/internal/emulator/endpoint"
	"troutusher/internal/seededrand"
	"troutusher/internal/testca"
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

// Fault is something that goes wrong.
type Fault struct {
	Kind     string   `toml:"kind"`
	Partner  string   `toml:"partner"`
	Partners []string `toml:"partners"`
	Relay    int      `toml:"relay"` // from 1; 0 for all
	AtS      float64  `toml:"at_s"`
	LengthS  float64  `toml:"length_s"`
	Part     float64  `toml:"part"`  // of the partner's endpoints, one at least
	Size     float64  `toml:"size"`  // seconds of a wait or a delay, or a factor
	Share    float64  `toml:"share"` // of the calls or messages
	Class    string   `toml:"class"`
	Form     string   `toml:"form"`
}

// Kinds of fault beside those of package partner.
const (
	Drain        = "drain"         // the list says that endpoints drain; they take nothing new
	Remove       = "remove"        // the list lets them go, after which they refuse connections
	ListLate     = "list_late"     // changes of the list take Size seconds more
	ListStale    = "list_stale"    // no change of the list arrives until it is over
	ListSilent   = "list_silent"   // discovery says nothing at all
	RelayKill    = "relay_kill"    // SIGKILL; it is started again after LengthS
	RelayRestart = "relay_restart" // SIGTERM, and a new start once it has ended
	Upgrade      = "upgrade"       // a process beside it takes over; with Form one of the two is killed
	DrainRelay   = "drain_relay"   // DRAIN at its console, and UNDRAIN when it is over
	Reload       = "reload"        // SIGHUP with a new address of discovery

	// Crowds of Size connections to each relay that are no clients.
	FloodSilent    = "flood_silent"    // they connect and say nothing
	FloodReturning = "flood_returning" // the same, and come back at once when closed
	FloodPing      = "flood_ping"      // they ask one PING each and stay
	FloodDrip      = "flood_drip"      // they write a byte a second
	FloodFaulty    = "flood_faulty"    // they send what cannot be read
)

// Forms of an upgrade: which of the processes is killed in its course.
const (
	KillOld = "kill_old"
	KillNew = "kill_new"
)

type faultShape struct {
	partner, length, size, share, class, form bool // what it takes
	sizeMin                                   float64
}

var faultShapes = map[string]faultShape{
	string(endpoint.Vanish):   {partner: true, length: true},
	string(endpoint.Crash):    {partner: true, length: true},
	string(endpoint.Hang):     {partner: true, length: true},
	string(endpoint.Full):     {partner: true, length: true},
	string(endpoint.FullWait): {partner: true, length: true, size: true, sizeMin: 0.001},
	string(endpoint.Errors):   {partner: true, length: true, share: true},
	string(endpoint.Reset):    {partner: true, length: true, share: true},
	string(endpoint.Spoilt):   {partner: true, length: true, share: true, form: true},
	string(endpoint.Late):     {partner: true, length: true, share: true, size: true},
	string(endpoint.Slow):     {partner: true, length: true, size: true, sizeMin: 1},
	string(endpoint.Tail):     {partner: true, length: true, share: true, size: true, sizeMin: 1, class: true},
	Drain:                     {partner: true, length: true},
	Remove:                    {partner: true, length: true},
	TLSRotate:                 {partner: true, length: true},
	TLSExpired:                {partner: true, length: true},
	TLSWrongName:              {partner: true, length: true},
	TLSWrongRoot:              {partner: true, length: true},
	TLSReset:                  {partner: true, length: true},
	TLSForget:                 {partner: true, length: true},
	ListLate:                  {length: true, size: true, sizeMin: 0.001},
	ListStale:                 {length: true},
	ListSilent:                {length: true},
	RelayKill:                 {length: true},
	RelayRestart:              {},
	Upgrade:                   {form: true},
	DrainRelay:                {length: true},
	Reload:                    {},
	FloodSilent:               {length: true, size: true, sizeMin: 1},
	FloodReturning:            {length: true, size: true, sizeMin: 1},
	FloodPing:                 {length: true, size: true, sizeMin: 1},
	FloodDrip:                 {length: true, size: true, sizeMin: 1},
	FloodFaulty:               {length: true, size: true, sizeMin: 1},
}

// FaultKinds lists the kinds of fault in order.
func FaultKinds() []string {
	var all []string
	for k := range faultShapes {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}

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
	put := func(to *float64, v float64) {
		if *to == 0 {
			*to = v
		}
	}
	for i := range s.Classes {
		put(&s.Classes[i].Share, 1)
		put(&s.Classes[i].Worth, 1)
	}
	for i := range s.Portals {
		put(&s.Portals[i].Share, 1)
	}
	for i := range s.Partners {
		p := &s.Partners[i]
		put(&p.Share, 1)
		put(&p.ColdShare, s.Rules.ColdShare)
		put(&p.ColdMS, s.Rules.ColdMS)
		put(&p.WindowMS, 1000)
		put(&p.CV, 0.5)
		if p.Count == 0 {
			p.Count = 1
		}
		if p.Endpoints == 0 {
			p.Endpoints = 1
		}
		for to, v := range map[*string]string{
			&p.Kind: "partner", &p.Routes: "shared", &p.Dist: "lognormal", &p.Limit: "none", &p.Cancel: "none",
		} {
			if *to == "" {
				*to = v
			}
		}
		if p.KeyMemoryMS == 0 {
			for _, c := range s.Classes {
				p.KeyMemoryMS = max(p.KeyMemoryMS, c.KeyWindowMS)
			}
		}
	}
	for i := range s.Faults {
		f := &s.Faults[i]
		put(&f.Part, 1)
		if f.Kind == RelayKill {
			put(&f.LengthS, 0.6)
		}
		if faultShapes[f.Kind].share {
			put(&f.Share, 1)
		}
		if f.Kind == string(endpoint.Spoilt) && f.Form == "" {
			f.Form = string(endpoint.Noise)
		}
	}
	put(&s.Traffic.PeriodS, max(s.LengthS, 1))
	put(&s.Traffic.From, 1)
	put(&s.Traffic.To, 1)
	if s.Traffic.ClumpSize == 0 {
		s.Traffic.ClumpSize = 10
	}
	if len(s.Portals) == 0 {
		s.Portals = []Portal{{Name: "portal", Share: 1}}
	}
}

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
	r := &s.Rules
	for _, x := range []struct {
		key         string
		v, min, max float64
	}{
		{"clients.answer_ms", s.Clients.AnswerMS, 10, 60_000},
		{"clients.retries", float64(s.Clients.Retries), 0, 10},
		{"clients.backoff_ms", s.Clients.BackoffMS, 1, 60_000},
		{"clients.honour", s.Clients.Honour, 0, 1},
		{
			"clients.front_notice_ms", s.Clients.FrontNoticeMS, 0, 60_000,
		},
		{"clients.bodies", float64(s.Clients.Bodies), 0, 64 << 10},
		{"discovery.delay_ms", s.Discovery.DelayMS, 0, 60_000},
		{
			"discovery.spread_ms", s.Discovery.SpreadMS, 0, 60_000,
		},
		{
			"discovery.quiet", float64(s.Discovery.Quiet), 0, quietMost,
		},
		{"relays.awake", float64(s.Relays.Awake), 0, quietMost},
		{"rules.drain_grace_ms", r.DrainGraceMS, 0, 60_000},
		{"rules.fall_multiple", r.FallMultiple, 1, 100},
		{"rules.fall_ms", r.FallMS, 0, 60_000},
		{
			"rules.cold_share", r.ColdShare, 0.01, 1,
		},
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
		{
			"max_attempts", r.MaxAttempts, 1, 100,
		},
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

func (c *validator) partners(s *Scenario, classes, portals map[string]bool) map[string]bool {
	names, shapes, ends := map[string]bool{}, map[string]bool{}, 0
	if len(s.Partners) == 0 {
		c.wrong("partner", "no partners")
	}
	for i := range s.Partners {
		p := &s.Partners[i]
		key := fmt.Sprintf("partner[%d]", i)
		c.name(key+".name", p.Name, shapes)
		names[p.Name] = true
		if p.Count < 1 || p.Count > endsMost {
			c.wrong(key+".count", "%d, want 1 to %d", p.Count, endsMost)
			continue
		}
		for n := 1; n <= p.Count && p.Count > 1; n++ {
			names[fmt.Sprintf("%s-%d", p.Name, n)] = true
		}
		ends += p.Count * max(p.Endpoints, 0)
		if p.Portal != "" && !portals[p.Portal] {
			c.wrong(key+".portal", "no portal %q", p.Portal)
		}
		for _, name := range p.Classes {
			if !classes[name] {
				c.wrong(key+".classes", "no class %q", name)
			}
		}
		for _, x := range []struct {
			key      string
			v        float64
			min, max float64
		}{
			{"share", p.Share, 1e-6, 1e6},
			{
				"endpoints", float64(p.Endpoints), 1, endsMost,
			},
			{"capacity_per_s", p.Capacity, 0.01, 1e5},
			{"queue", float64(p.Queue), 0, 1e6},
			{"cv", p.CV, 0, 10},
			{"wait_ms", p.WaitMS, 0, 600_000},
			{
				"connections", float64(p.Connections), 0, 1e6,
			},
			{"idle_ms", p.IdleMS, 0, dayMS},
			{"handshake_ms", p.HandshakeMS, 0, 60_000},
			{
				"one_way_ms", p.OneWayMS, 0, 60_000,
			},
			{"cold_share", p.ColdShare, 0.01, 1},
			{"cold_ms", p.ColdMS, 0, 600_000},
			{"key_memory_ms", p.KeyMemoryMS, 0, 600_000},
			{"errors", p.Errors, 0, 1},
			{"return_s", p.ReturnS, 0, max(s.LengthS-1, 0)},
			{"return_burst", float64(p.ReturnBurst), 0, 1000},
		} {
			c.between(key+"."+x.key, x.v, x.min, x.max)
		}
		c.word(key+".routes", p.Routes, "shared", "apart")
		c.word(
			key+".dist", p.Dist, string(seededrand.Constant), string(seededrand.Exponential),
			string(seededrand.LogNormal),
		)
		c.word(
			key+".limit", p.Limit, string(endpoint.NoLimit), string(endpoint.RateLimit), string(endpoint.WindowLimit),
		)
		c.word(
			key+".cancel", p.Cancel, string(endpoint.CancelNone), string(endpoint.CancelQueued),
			string(endpoint.CancelAll),
		)
		if x := p.TLS; x != nil {
			c.word(key+".tls.version", x.Version, "", "1.2", "1.3")
			c.word(key+".tls.key", x.Key, "", string(testca.P256), string(testca.RSA2048), string(testca.Ed25519))
			c.between(key+".tls.delay_ms", x.DelayMS, 0, 10_000)
			c.between(key+".tls.full_weight", x.Full, 0, 100)
			c.between(key+".tls.resumed", x.Resumed, 0, 100)
			c.between(key+".tls.told_weight", x.Told, 0, 100)
			c.between(key+".tls.share", x.Share, 0, 1)
		}
		if p.Limit != string(endpoint.NoLimit) {
			c.between(key+".limit_per_s", p.LimitPerS, 0.01, 1e6)
			c.between(key+".limit_depth", p.LimitDepth, 0, 1e6)
			c.between(key+".window_ms", p.WindowMS, 1, 3600_000)
			if p.Limit == string(endpoint.WindowLimit) && p.LimitPerS*p.WindowMS < 1000 {
				c.wrong(
					key+".window_ms", "%v calls a second are less than one in %v ms: it would take nothing",
					p.LimitPerS, p.WindowMS,
				)
			}
		} else if p.LimitPerS != 0 {
			c.wrong(key+".limit_per_s", "the partner has no limit")
		}
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
	if ends > endsMost {
		c.wrong("partner", "%d endpoints, %d at most", ends, endsMost)
	}
	return names
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
		if shape.partner {
			all := f.named()
			if len(all) == 0 {
				c.wrong(key+".partner", "%s needs a partner", f.Kind)
			}
			for _, name := range all {
				if name != "*" && !names[name] {
					c.wrong(key+".partner", "no partner %q", name)
				}
			}
			if strings.HasPrefix(f.Kind, "tls_") &&
				slices.ContainsFunc(
					s.Partners, func(p Partner) bool { return p.TLS == nil && f.names(p.Name, p.Count) },
				) {
				c.wrong(key+".partner", "%s is about partners with tls", f.Kind)
			}
			c.between(key+".part", f.Part, 1e-6, 1)
		} else if len(f.named()) > 0 {
			c.wrong(key+".partner", "%s is not about a partner", f.Kind)
		}
		if f.Relay < 0 || f.Relay > s.Relays.Count {
			c.wrong(key+".relay", "%d; the relays are 1 to %d, and 0 for all", f.Relay, s.Relays.Count)
		} else if f.Relay != 0 && shape.partner {
			c.wrong(key+".relay", "%s is not about a relay", f.Kind)
		}
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
		if shape.class && !classes[f.Class] {
			c.wrong(key+".class", "no class %q", f.Class)
		} else if !shape.class && f.Class != "" {
			c.wrong(key+".class", "%s is not about a class", f.Kind)
		}
		if f.Kind == Upgrade {
			if f.Form != "" {
				c.word(key+".form", f.Form, KillOld, KillNew)
			}
		} else if shape.form {
			c.word(
				key+".form", f.Form, string(endpoint.Noise), string(endpoint.Head), string(endpoint.Length),
				string(endpoint.Copy),
			)
		} else if f.Form != "" {
			c.wrong(key+".form", "%s has no form", f.Kind)
		}
	}
}

// names reports whether a fault is about a partner of a table.
func (f *Fault) names(name string, count int) bool {
	for _, x := range f.named() {
		if x == "*" || x == name || count > 1 && strings.HasPrefix(x, name+"-") {
			return true
		}
	}
	return false
}

func (f *Fault) named() []string {
	if f.Partner != "" {
		return append([]string{f.Partner}, f.Partners...)
	}
	return f.Partners
}
