// Package operator reads the operator's own file: what a site may change that
// the platform does not tell a relay. Where no file is named, everything is as
// the platform wants it.
//
// It owns the keys, their bounds and their errors. It must never decide what a
// setting does, nor read what the files hold that it names.
package operator

import (
	"cmp"
	"crypto/x509"
	"math"
	"net"
	"strconv"
	"strings"
	"time"

	"troutusher/internal/dormant"
	"troutusher/internal/keys"
	"troutusher/internal/story"
	"troutusher/internal/tlspolicy"
	"troutusher/internal/tomlfile"
)

// Env names the variable that names the file.
const Env = "TROUTUSHER_OPERATOR"

// File is the whole file.
type File struct {
	Clients    Clients    `toml:"clients"`
	TLS        []TLS      `toml:"tls"`
	Handshakes Handshakes `toml:"handshakes"`
	Stories    Stories    `toml:"stories"`
	Learned    Learned    `toml:"learned"`
	Rest       Rest       `toml:"rest"`
	Discovery  Discovery  `toml:"discovery"`
	Etcd       Etcd       `toml:"etcd"`
}

// Etcd is a prefix of an etcd cluster that is followed beside discovery.
type Etcd struct {
	// Endpoints of the cluster's members, as host:port; none for no etcd.
	Endpoints []string `toml:"endpoints"`
	// Prefix of the keys, a path.
	Prefix string `toml:"prefix"`
	// User, and a file with its password, where the cluster asks for them.
	User         string `toml:"user"`
	PasswordFile string `toml:"password_file"`
	// Roots is a PEM file with the authorities that may vouch for a member; with it
	// members are called over TLS. Certificate and Key are what is shown to them.
	Roots       string `toml:"roots"`
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	ServerName  string `toml:"server_name"`
	// First is "etcd" or "registry": whose address and rate count where they differ.
	First string `toml:"first"`
}

func (e *Etcd) check(check *tomlfile.Checker) {
	if len(e.Endpoints) == 0 {
		if e.Prefix != "" || e.User != "" {
			check.Wrong("etcd.endpoints", "missing")
		}
		return
	}
	if len(e.Endpoints) > membersMost {
		check.Wrong("etcd.endpoints", "%d, want %d at most", len(e.Endpoints), membersMost)
	}
	for _, at := range e.Endpoints {
		host, port, err := net.SplitHostPort(at)
		if n, numErr := strconv.ParseUint(port, 10, 16); err != nil || host == "" || numErr != nil || n == 0 {
			check.Wrong("etcd.endpoints", "%.80q, want host:port", at)
		}
	}
	if !strings.HasPrefix(e.Prefix, "/") || strings.Trim(e.Prefix, "/") == "" || len(e.Prefix) > prefixMost {
		check.Wrong("etcd.prefix", "%.80q, want a path that begins with a slash", e.Prefix)
	}
	if (e.User == "") != (e.PasswordFile == "") {
		check.Wrong("etcd.user", "user and password_file are named together or not at all")
	}
	if (e.Certificate == "") != (e.Key == "") {
		check.Wrong("etcd.certificate", "certificate and key are named together or not at all")
	}
	if e.Roots == "" && (e.Certificate != "" || e.ServerName != "") {
		check.Wrong("etcd.roots", "missing, with a certificate or a server_name")
	}
	if e.First != "" && e.First != "etcd" && e.First != "registry" {
		check.Wrong("etcd.first", "%.40q, want etcd or registry", e.First)
	}
}

const (
	membersMost = 64
	prefixMost  = 256
)

// Rest says which destinations are put away.
type Rest struct {
	// Awake is how many destinations may be awake for any time; -1 for all.
	Awake int `toml:"awake"`
	// QuietS is after how long without a message one beyond them is put away,
	// in seconds.
	QuietS float64 `toml:"quiet_s"`
}

// Limits are the core's.
func (r *Rest) Limits() dormant.Limits {
	return dormant.Limits{Awake: max(cmp.Or(r.Awake, awakeDefault), 0),
		After: time.Duration(cmp.Or(r.QuietS, quietDefault) * float64(time.Second)).Microseconds()}
}

// Discovery is what concerns the list.
type Discovery struct {
	// ListMB is how long a list may be, in units of 2^20 bytes.
	ListMB int `toml:"list_mb"`
}

// Bytes is ListMB in bytes.
func (d *Discovery) Bytes() int { return cmp.Or(d.ListMB, listDefault) << 20 }

// Learned is the file of what was learned.
type Learned struct {
	// PeriodS is how often it is written while anything is learned, in seconds;
	// -1 for never, and then none is read.
	PeriodS float64 `toml:"period_s"`
}

// Every is PeriodS as a span; 0 for never.
func (l *Learned) Every() time.Duration {
	return time.Duration(max(cmp.Or(l.PeriodS, learnedPeriod), 0) * float64(time.Second))
}

// Stories is what the log tells of single messages.
type Stories struct {
	// PerSecond is how many messages a second are told from their hand-in on;
	// -1 for none.
	PerSecond int `toml:"per_second"`
}

// Most is PerSecond as a number of messages.
func (s *Stories) Most() int { return max(cmp.Or(s.PerSecond, story.DefaultPerSecond), 0) }

// TLS is a rule for partners that are called over TLS.
type TLS struct {
	// Name stands in logs and figures.
	Name string `toml:"name"`
	// Destinations by number, and Flavors of destinations, that the rule is for.
	Destinations []int    `toml:"destinations"`
	Flavors      []string `toml:"flavors"`
	// ServerName is sent as SNI, and what a certificate must name (RFC 6125).
	ServerName string `toml:"server_name"`
	// Roots is a PEM file with the authorities that are trusted; no other is.
	Roots string `toml:"roots"`
	// Pins are SHA-256 sums of public keys in base64 (RFC 7469 section 2.4), one
	// of which must be in the chain; two at least, or none.
	Pins []string `toml:"pins"`
	// Certificate and Key are PEM files with what is shown to the partner.
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	// Revocations is a file with revocation lists (RFC 5280 section 5).
	Revocations string `toml:"revocations"`
	// UnknownRevocation is "accept" or "refuse": what holds where neither a
	// staple nor a list tells of a certificate.
	UnknownRevocation string `toml:"unknown_revocation"`
	// MinVersion is "1.2" or "1.3".
	MinVersion string `toml:"min_version"`
	// Weight is what a handshake takes at the partner, in calls.
	Weight *float64 `toml:"handshake_weight"`
	// WarnDays is how long before its end a certificate is told of.
	WarnDays int `toml:"warn_days"`
}

// Handshakes is what handshakes may take, of all partners together.
type Handshakes struct {
	// Share of one core, above 0 and 1 at most.
	Share float64 `toml:"share"`
	// BurstMS is how much processor time they may take at once.
	BurstMS float64 `toml:"burst_ms"`
	// Parallel is how many to one endpoint may be under way.
	Parallel int `toml:"parallel"`
	// TimeoutS is how long one may take.
	TimeoutS float64 `toml:"timeout_s"`
	// Sessions is how many sessions are kept for resumption; -1 for none.
	Sessions int `toml:"sessions"`
	// SessionKey is a file with 32 bytes or more, under a key derived from which
	// sessions outlast the process in its state folder; empty for not.
	SessionKey string `toml:"session_key"`
}

// Clients is what concerns the connections of clients.
type Clients struct {
	// Listen are addresses beside the configuration's, as host:port.
	Listen []string `toml:"listen"`
	// Descriptors that the process may hold, in place of limits.sockets.
	Descriptors int `toml:"descriptors"`
	// Places is how many connections of clients may be open at once.
	Places int `toml:"places"`
	// Strangers is how many of them may have sent nothing of use yet.
	Strangers int `toml:"strangers"`
	// AskedMost is how many may have asked for something before those that
	// asked once and are idle make room.
	AskedMost int `toml:"asked_most"`
	// IdleS is how long a connection may be idle, in seconds; at least 2.
	IdleS float64 `toml:"idle_s"`
	// MemoryMB is how much memory commands may hold that are being read or
	// wait for their answer.
	MemoryMB int `toml:"memory_mb"`
}

// Idle is IdleS as a span of time.
func (c *Clients) Idle() time.Duration { return time.Duration(c.IdleS * float64(time.Second)) }

// Bounds.
const (
	DescriptorsLeast = 64
	DescriptorsMost  = 1 << 20
	storiesMost      = 1 << 20
	awakeDefault     = 1024
	awakeMost        = 1 << 20
	quietDefault     = 60.0 // s
	quietLeast       = 10   // s: what is counted of a destination has aged out by then
	quietMost        = 86400
	listDefault      = 4 // MB
	listMost         = 1024
	learnedPeriod    = 2.0 // s
	learnedLeast     = 0.25
	learnedMost      = 60
	idleLeast        = 2     // s: no connection without a request is closed sooner
	idleMost         = 86400 // s
	memoryMost       = 1 << 20
	listenMost       = 64
)

// Load reads the file that the environment names; nil where it names none.
func Load(getenv func(string) string) (*File, error) {
	path := getenv(Env)
	if path == "" {
		return nil, nil
	}
	text, err := tomlfile.Read(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse reads and checks the text of a file.
func Parse(file string, text []byte) (*File, error) {
	f := &File{}
	check, err := tomlfile.Decode(file, text, f)
	if err != nil {
		return nil, err
	}
	c := &f.Clients
	number := func(key string, v, least, most int) {
		if v != 0 && (v < least || v > most) {
			check.Wrong("clients."+key, "%d, want %d to %d", v, least, most)
		}
	}
	number("descriptors", c.Descriptors, DescriptorsLeast, DescriptorsMost)
	number("places", c.Places, 1, DescriptorsMost)
	number("strangers", c.Strangers, 1, DescriptorsMost)
	number("asked_most", c.AskedMost, 1, DescriptorsMost)
	number("memory_mb", c.MemoryMB, 1, memoryMost)
	if c.Places > 0 && c.Strangers > c.Places {
		check.Wrong("clients.strangers", "%d of %d places", c.Strangers, c.Places)
	}
	if c.Descriptors > 0 && c.Places >= c.Descriptors {
		check.Wrong("clients.places", "%d with %d descriptors", c.Places, c.Descriptors)
	}
	if x := c.IdleS; x != 0 && !(x >= idleLeast && x <= idleMost) || math.IsNaN(x) {
		check.Wrong("clients.idle_s", "%v, want %d to %d", x, idleLeast, idleMost)
	}
	if len(c.Listen) > listenMost {
		check.Wrong("clients.listen", "%d addresses, want %d at most", len(c.Listen), listenMost)
	}
	seen := map[string]bool{}
	for _, addr := range c.Listen {
		host, port, err := net.SplitHostPort(addr)
		n, numErr := strconv.ParseUint(port, 10, 16)
		switch {
		case err != nil:
			check.Wrong("clients.listen", "%v", err)
		case net.ParseIP(host) == nil:
			check.Wrong("clients.listen", "%s: the host must be an address", addr)
		case numErr != nil || n == 0:
			check.Wrong("clients.listen", "%s: the port must be a number from 1 to 65535", addr)
		case seen[addr]:
			check.Wrong("clients.listen", "%s: named twice", addr)
		}
		seen[addr] = true
	}
	if n := f.Stories.PerSecond; n < -1 || n > storiesMost {
		check.Wrong("stories.per_second", "%d, want -1 to %d", n, storiesMost)
	}
	if x := f.Learned.PeriodS; x != 0 && x != -1 && !(x >= learnedLeast && x <= learnedMost) {
		check.Wrong("learned.period_s", "%v, want %v to %d, or -1", x, learnedLeast, learnedMost)
	}
	if n := f.Rest.Awake; n < -1 || n > awakeMost {
		check.Wrong("rest.awake", "%d, want -1 to %d", n, awakeMost)
	}
	if x := f.Rest.QuietS; x != 0 && !(x >= quietLeast && x <= quietMost) {
		check.Wrong("rest.quiet_s", "%v, want %d to %d", x, quietLeast, quietMost)
	}
	if n := f.Discovery.ListMB; n < 0 || n > listMost {
		check.Wrong("discovery.list_mb", "%d, want 1 to %d", n, listMost)
	}
	f.Etcd.check(check)
	f.checkTLS(check)
	return f, check.Err()
}

// Bounds of what concerns TLS.
const (
	rulesMost     = 200
	nameMost      = 40
	weightMost    = 100
	warnMost      = 365
	burstMost     = 1000 // ms
	parallelMost  = 64
	timeoutLeast  = 0.1 // s
	timeoutMost   = 30  // s
	sessionsMost  = 1 << 16
	defaultWarn   = 14
	defaultWeight = 1
)

func (f *File) checkTLS(check *tomlfile.Checker) {
	if len(f.TLS) > rulesMost {
		check.Wrong("tls", "%d rules, want %d at most", len(f.TLS), rulesMost)
		return
	}
	targets := make([]tlspolicy.Target, 0, len(f.TLS))
	names := map[string]bool{}
	for i := range f.TLS {
		x := &f.TLS[i]
		key := func(k string) string { return "tls[" + strconv.Itoa(i) + "]." + k }
		switch {
		case x.Name == "":
			check.Wrong(key("name"), "missing")
		case len(x.Name) > nameMost || strings.ContainsFunc(x.Name, func(r rune) bool { return !strings.ContainsRune(nameRunes, r) }):
			check.Wrong(key("name"), "%.60q, want %d small letters, digits, - and _ at most", x.Name, nameMost)
		case names[x.Name]:
			check.Wrong(key("name"), "%q is named twice", x.Name)
		}
		names[x.Name] = true
		rule, err := x.Rule()
		if err != nil {
			check.Wrong(key("pins"), "%v", err)
		}
		rule.Roots = x509.NewCertPool() // the files are read later
		if err := rule.Check(); err != nil {
			k, text, _ := strings.Cut(err.Error(), ": ")
			check.Wrong(key(k), "%s", text)
		}
		if x.Roots == "" {
			check.Wrong(key("roots"), "missing")
		}
		if (x.Certificate == "") != (x.Key == "") {
			check.Wrong(key("certificate"), "certificate and key are named together or not at all")
		}
		if v := x.UnknownRevocation; v != "" && v != "accept" && v != "refuse" {
			check.Wrong(key("unknown_revocation"), "%.40q, want accept or refuse", v)
		}
		if v := x.MinVersion; v != "" && v != "1.2" && v != "1.3" {
			check.Wrong(key("min_version"), "%.40q, want 1.2 or 1.3", v)
		}
		if w := x.Weight; w != nil && !(*w >= 0 && *w <= weightMost) {
			check.Wrong(key("handshake_weight"), "%v, want 0 to %d", *w, weightMost)
		}
		if x.WarnDays < 0 || x.WarnDays > warnMost {
			check.Wrong(key("warn_days"), "%d, want 0 to %d", x.WarnDays, warnMost)
		}
		targets = append(targets, tlspolicy.Target{Rule: x.Name, Dests: x.Destinations, Flavors: x.Flavors})
	}
	if _, err := tlspolicy.NewSelector(targets); err != nil {
		check.Wrong("tls", "%v", err)
	}
	h := &f.Handshakes
	if !(h.Share >= 0 && h.Share <= 1) {
		check.Wrong("handshakes.share", "%v, want above 0 and 1 at most", h.Share)
	}
	if b := h.BurstMS; !(b == 0 || b >= 1 && b <= burstMost) {
		check.Wrong("handshakes.burst_ms", "%v, want 1 to %d", b, burstMost)
	}
	if h.Parallel < 0 || h.Parallel > parallelMost {
		check.Wrong("handshakes.parallel", "%d, want 1 to %d", h.Parallel, parallelMost)
	}
	if s := h.TimeoutS; !(s == 0 || s >= timeoutLeast && s <= timeoutMost) {
		check.Wrong("handshakes.timeout_s", "%v, want %v to %d", s, timeoutLeast, timeoutMost)
	}
	if h.Sessions < -1 || h.Sessions > sessionsMost {
		check.Wrong("handshakes.sessions", "%d, want -1 to %d", h.Sessions, sessionsMost)
	}
}

const nameRunes = "abcdefghijklmnopqrstuvwxyz0123456789-_"

// Rule is the rule without what its files hold.
func (x *TLS) Rule() (tlspolicy.Rule, error) {
	r := tlspolicy.Rule{Name: x.Name, ServerName: x.ServerName, Hard: x.UnknownRevocation == "refuse"}
	for _, s := range x.Pins {
		p, err := tlspolicy.ParsePin(s)
		if err != nil {
			return r, err
		}
		r.Pins = append(r.Pins, p)
	}
	return r, nil
}

// Files are the rule's files.
func (x *TLS) Files() keys.Files {
	return keys.Files{Cert: x.Certificate, Key: x.Key, Roots: x.Roots, Lists: x.Revocations}
}

// Opening is what a connection under the rule takes at the partner, in calls.
func (x *TLS) Opening() float64 {
	if x.Weight == nil {
		return defaultWeight
	}
	return *x.Weight
}

// Warn is how long before its end a certificate is told of.
func (x *TLS) Warn() time.Duration {
	return time.Duration(cmp.Or(x.WarnDays, defaultWarn)) * 24 * time.Hour
}

// Targets are whom the rules are for.
func (f *File) Targets() (t []tlspolicy.Target) {
	for i := range f.TLS {
		t = append(t, tlspolicy.Target{Rule: f.TLS[i].Name, Dests: f.TLS[i].Destinations, Flavors: f.TLS[i].Flavors})
	}
	return t
}

// Limits are the handshake budget's.
func (h *Handshakes) Limits() tlspolicy.Limits {
	l := tlspolicy.Default()
	l.Share = cmp.Or(h.Share, l.Share)
	l.Burst = cmp.Or(time.Duration(h.BurstMS*float64(time.Millisecond)), l.Burst)
	l.Parallel = cmp.Or(h.Parallel, l.Parallel)
	for k := range l.Cost {
		l.Cost[k] = min(l.Cost[k], l.Burst)
	}
	return l
}

// Timeout is how long a handshake may take.
func (h *Handshakes) Timeout() time.Duration {
	return cmp.Or(time.Duration(h.TimeoutS*float64(time.Second)), 3*time.Second)
}

// Kept is how many sessions are kept.
func (h *Handshakes) Kept() int { return max(cmp.Or(h.Sessions, 256), 0) }
