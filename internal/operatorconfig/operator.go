// Package operatorconfig reads the operator's own file: what a site may change that
// the platform does not tell a relay. Where no file is named, everything is as
// the platform wants it.
//
// It owns the keys, their bounds and their errors. It must never decide what a
// setting does, nor read what the files hold that it names.
package operatorconfig

import (
	"cmp"
	"crypto/x509"
	"math"
	"net"
	"strconv"
	"strings"
	"time"

	"troutusher/internal/certstore"
	"troutusher/internal/idlestore"
	"troutusher/internal/msgtrace"
	"troutusher/internal/tlspolicy"
	"troutusher/internal/tomlfile"
)

// EnvVar names the variable that names the file.
const EnvVar = "TROUTUSHER_OPERATOR"

// File is the whole file.
type File struct {
	Clients     Clients     `toml:"clients"`
	TLSRules    []TLSRule   `toml:"tls"`
	Handshakes  Handshakes  `toml:"handshakes"`
	Traces      Traces      `toml:"stories"`
	PolicyState PolicyState `toml:"learned"`
	Passivation Passivation `toml:"rest"`
	Discovery   Discovery   `toml:"discovery"`
	Etcd        Etcd        `toml:"etcd"`
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
	// Precedence is "etcd" or "registry": whose address and rate count where they differ.
	Precedence string `toml:"first"`
}

func (e *Etcd) check(check *tomlfile.Checker) {
	if len(e.Endpoints) == 0 {
		if e.Prefix != "" || e.User != "" {
			check.Errorf("etcd.endpoints", "missing")
		}
		return
	}
	if len(e.Endpoints) > maxEtcdEndpoints {
		check.Errorf("etcd.endpoints", "%d, want %d at most", len(e.Endpoints), maxEtcdEndpoints)
	}
	for _, at := range e.Endpoints {
		host, port, err := net.SplitHostPort(at)
		if n, numErr := strconv.ParseUint(port, 10, 16); err != nil || host == "" || numErr != nil || n == 0 {
			check.Errorf("etcd.endpoints", "%.80q, want host:port", at)
		}
	}
	if !strings.HasPrefix(e.Prefix, "/") || strings.Trim(e.Prefix, "/") == "" || len(e.Prefix) > maxEtcdPrefixLength {
		check.Errorf("etcd.prefix", "%.80q, want a path that begins with a slash", e.Prefix)
	}
	if (e.User == "") != (e.PasswordFile == "") {
		check.Errorf("etcd.user", "user and password_file are named together or not at all")
	}
	if (e.Certificate == "") != (e.Key == "") {
		check.Errorf("etcd.certificate", "certificate and key are named together or not at all")
	}
	if e.Roots == "" && (e.Certificate != "" || e.ServerName != "") {
		check.Errorf("etcd.roots", "missing, with a certificate or a server_name")
	}
	if e.Precedence != "" && e.Precedence != "etcd" && e.Precedence != "registry" {
		check.Errorf("etcd.first", "%.40q, want etcd or registry", e.Precedence)
	}
}

const (
	maxEtcdEndpoints    = 64
	maxEtcdPrefixLength = 256
)

// Passivation says which destinations are put away.
type Passivation struct {
	// MaxActive is how many destinations may be awake for any time; -1 for all.
	MaxActive int `toml:"awake"`
	// IdleTimeoutS is after how long without a message one beyond them is put away,
	// in seconds.
	IdleTimeoutS float64 `toml:"quiet_s"`
}

// Limits are the core's.
func (r *Passivation) Limits() idlestore.Limits {
	return idlestore.Limits{MaxActive: max(cmp.Or(r.MaxActive, defaultMaxActive), 0),
		IdleTimeout: time.Duration(cmp.Or(r.IdleTimeoutS, defaultIdleTimeoutS) * float64(time.Second)).Microseconds()}
}

// Discovery is what concerns the list.
type Discovery struct {
	// MaxListMB is how long a list may be, in units of 2^20 bytes.
	MaxListMB int `toml:"list_mb"`
}

// MaxListBytes is ListMB in bytes.
func (d *Discovery) MaxListBytes() int { return cmp.Or(d.MaxListMB, defaultListMB) << 20 }

// PolicyState is the file of what was learned.
type PolicyState struct {
	// WritePeriodS is how often it is written while anything is learned, in seconds;
	// -1 for never, and then none is read.
	WritePeriodS float64 `toml:"period_s"`
}

// WritePeriod is PeriodS as a span; 0 for never.
func (l *PolicyState) WritePeriod() time.Duration {
	return time.Duration(max(cmp.Or(l.WritePeriodS, defaultWritePeriodS), 0) * float64(time.Second))
}

// Traces is what the log tells of single messages.
type Traces struct {
	// PerSecond is how many messages a second are told from their hand-in on;
	// -1 for none.
	PerSecond int `toml:"per_second"`
}

// MaxPerSecond is PerSecond as a number of messages.
func (s *Traces) MaxPerSecond() int { return max(cmp.Or(s.PerSecond, msgtrace.DefaultPerSecond), 0) }

// TLSRule is a rule for partners that are called over TLS.
type TLSRule struct {
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
	// HandshakeWeight is what a handshake takes at the partner, in calls.
	HandshakeWeight *float64 `toml:"handshake_weight"`
	// ExpiryWarningDays is how long before its end a certificate is told of.
	ExpiryWarningDays int `toml:"warn_days"`
}

// Handshakes is what handshakes may take, of all partners together.
type Handshakes struct {
	// CPUShare of one core, above 0 and 1 at most.
	CPUShare float64 `toml:"share"`
	// BurstMS is how much processor time they may take at once.
	BurstMS float64 `toml:"burst_ms"`
	// MaxParallel is how many to one endpoint may be under way.
	MaxParallel int `toml:"parallel"`
	// TimeoutS is how long one may take.
	TimeoutS float64 `toml:"timeout_s"`
	// MaxSessions is how many sessions are kept for resumption; -1 for none.
	MaxSessions int `toml:"sessions"`
	// SessionKey is a file with 32 bytes or more, under a key derived from which
	// sessions outlast the process in its state folder; empty for not.
	SessionKey string `toml:"session_key"`
}

// Clients is what concerns the connections of clients.
type Clients struct {
	// ListenAddresses are addresses beside the configuration's, as host:port.
	ListenAddresses []string `toml:"listen"`
	// Descriptors that the process may hold, in place of limits.sockets.
	Descriptors int `toml:"descriptors"`
	// MaxConns is how many connections of clients may be open at once.
	MaxConns int `toml:"places"`
	// MaxUnvalidated is how many of them may have sent nothing of use yet.
	MaxUnvalidated int `toml:"strangers"`
	// SingleUseEvictionThreshold is how many may have asked for something before those that
	// asked once and are idle make room.
	SingleUseEvictionThreshold int `toml:"asked_most"`
	// IdleTimeoutS is how long a connection may be idle, in seconds; at least 2.
	IdleTimeoutS float64 `toml:"idle_s"`
	// MemoryMB is how much memory commands may hold that are being read or
	// wait for their answer.
	MemoryMB int `toml:"memory_mb"`
}

// IdleTimeout is IdleS as a span of time.
func (c *Clients) IdleTimeout() time.Duration {
	return time.Duration(c.IdleTimeoutS * float64(time.Second))
}

// Bounds.
const (
	MinDescriptors      = 64
	MaxDescriptors      = 1 << 20
	maxTracesPerSecond  = 1 << 20
	defaultMaxActive    = 1024
	maxMaxActive        = 1 << 20
	defaultIdleTimeoutS = 60.0 // s
	minPassivationIdleS = 10   // s: what is counted of a destination has aged out by then
	maxPassivationIdleS = 86400
	defaultListMB       = 4 // MB
	maxListMB           = 1024
	defaultWritePeriodS = 2.0 // s
	minWritePeriodS     = 0.25
	maxWritePeriodS     = 60
	minClientIdleS      = 2     // s: no connection without a request is closed sooner
	maxClientIdleS      = 86400 // s
	maxMemoryMB         = 1 << 20
	maxListenAddresses  = 64
)

// Load reads the file that the environment names; nil where it names none.
func Load(getenv func(string) string) (*File, error) {
	path := getenv(EnvVar)
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
			check.Errorf("clients."+key, "%d, want %d to %d", v, least, most)
		}
	}
	number("descriptors", c.Descriptors, MinDescriptors, MaxDescriptors)
	number("places", c.MaxConns, 1, MaxDescriptors)
	number("strangers", c.MaxUnvalidated, 1, MaxDescriptors)
	number("asked_most", c.SingleUseEvictionThreshold, 1, MaxDescriptors)
	number("memory_mb", c.MemoryMB, 1, maxMemoryMB)
	if c.MaxConns > 0 && c.MaxUnvalidated > c.MaxConns {
		check.Errorf("clients.strangers", "%d of %d places", c.MaxUnvalidated, c.MaxConns)
	}
	if c.Descriptors > 0 && c.MaxConns >= c.Descriptors {
		check.Errorf("clients.places", "%d with %d descriptors", c.MaxConns, c.Descriptors)
	}
	if x := c.IdleTimeoutS; x != 0 && !(x >= minClientIdleS && x <= maxClientIdleS) || math.IsNaN(x) {
		check.Errorf("clients.idle_s", "%v, want %d to %d", x, minClientIdleS, maxClientIdleS)
	}
	if len(c.ListenAddresses) > maxListenAddresses {
		check.Errorf("clients.listen", "%d addresses, want %d at most", len(c.ListenAddresses), maxListenAddresses)
	}
	seen := map[string]bool{}
	for _, addr := range c.ListenAddresses {
		host, port, err := net.SplitHostPort(addr)
		n, numErr := strconv.ParseUint(port, 10, 16)
		switch {
		case err != nil:
			check.Errorf("clients.listen", "%v", err)
		case net.ParseIP(host) == nil:
			check.Errorf("clients.listen", "%s: the host must be an address", addr)
		case numErr != nil || n == 0:
			check.Errorf("clients.listen", "%s: the port must be a number from 1 to 65535", addr)
		case seen[addr]:
			check.Errorf("clients.listen", "%s: named twice", addr)
		}
		seen[addr] = true
	}
	if n := f.Traces.PerSecond; n < -1 || n > maxTracesPerSecond {
		check.Errorf("stories.per_second", "%d, want -1 to %d", n, maxTracesPerSecond)
	}
	if x := f.PolicyState.WritePeriodS; x != 0 && x != -1 && !(x >= minWritePeriodS && x <= maxWritePeriodS) {
		check.Errorf("learned.period_s", "%v, want %v to %d, or -1", x, minWritePeriodS, maxWritePeriodS)
	}
	if n := f.Passivation.MaxActive; n < -1 || n > maxMaxActive {
		check.Errorf("rest.awake", "%d, want -1 to %d", n, maxMaxActive)
	}
	if x := f.Passivation.IdleTimeoutS; x != 0 && !(x >= minPassivationIdleS && x <= maxPassivationIdleS) {
		check.Errorf("rest.quiet_s", "%v, want %d to %d", x, minPassivationIdleS, maxPassivationIdleS)
	}
	if n := f.Discovery.MaxListMB; n < 0 || n > maxListMB {
		check.Errorf("discovery.list_mb", "%d, want 1 to %d", n, maxListMB)
	}
	f.Etcd.check(check)
	f.checkTLS(check)
	return f, check.Err()
}

// Bounds of what concerns TLS.
const (
	maxTLSRules              = 200
	maxRuleNameLength        = 40
	maxHandshakeWeight       = 100
	maxExpiryWarningDays     = 365
	maxBurstMS               = 1000 // ms
	maxParallelHandshakes    = 64
	minHandshakeTimeoutS     = 0.1 // s
	maxHandshakeTimeoutS     = 30  // s
	maxSessionCacheSize      = 1 << 16
	defaultExpiryWarningDays = 14
	defaultHandshakeWeight   = 1
)

func (f *File) checkTLS(check *tomlfile.Checker) {
	if len(f.TLSRules) > maxTLSRules {
		check.Errorf("tls", "%d rules, want %d at most", len(f.TLSRules), maxTLSRules)
		return
	}
	targets := make([]tlspolicy.RuleTarget, 0, len(f.TLSRules))
	names := map[string]bool{}
	for i := range f.TLSRules {
		x := &f.TLSRules[i]
		key := func(k string) string { return "tls[" + strconv.Itoa(i) + "]." + k }
		switch {
		case x.Name == "":
			check.Errorf(key("name"), "missing")
		case len(x.Name) > maxRuleNameLength || strings.ContainsFunc(x.Name, func(r rune) bool { return !strings.ContainsRune(ruleNameAlphabet, r) }):
			check.Errorf(key("name"), "%.60q, want %d small letters, digits, - and _ at most", x.Name, maxRuleNameLength)
		case names[x.Name]:
			check.Errorf(key("name"), "%q is named twice", x.Name)
		}
		names[x.Name] = true
		rule, err := x.Rule()
		if err != nil {
			check.Errorf(key("pins"), "%v", err)
		}
		rule.Roots = x509.NewCertPool() // the files are read later
		if err := rule.Validate(); err != nil {
			k, text, _ := strings.Cut(err.Error(), ": ")
			check.Errorf(key(k), "%s", text)
		}
		if x.Roots == "" {
			check.Errorf(key("roots"), "missing")
		}
		if (x.Certificate == "") != (x.Key == "") {
			check.Errorf(key("certificate"), "certificate and key are named together or not at all")
		}
		if v := x.UnknownRevocation; v != "" && v != "accept" && v != "refuse" {
			check.Errorf(key("unknown_revocation"), "%.40q, want accept or refuse", v)
		}
		if v := x.MinVersion; v != "" && v != "1.2" && v != "1.3" {
			check.Errorf(key("min_version"), "%.40q, want 1.2 or 1.3", v)
		}
		if w := x.HandshakeWeight; w != nil && !(*w >= 0 && *w <= maxHandshakeWeight) {
			check.Errorf(key("handshake_weight"), "%v, want 0 to %d", *w, maxHandshakeWeight)
		}
		if x.ExpiryWarningDays < 0 || x.ExpiryWarningDays > maxExpiryWarningDays {
			check.Errorf(key("warn_days"), "%d, want 0 to %d", x.ExpiryWarningDays, maxExpiryWarningDays)
		}
		targets = append(targets, tlspolicy.RuleTarget{Rule: x.Name, Destinations: x.Destinations, Flavors: x.Flavors})
	}
	if _, err := tlspolicy.NewRuleSelector(targets); err != nil {
		check.Errorf("tls", "%v", err)
	}
	h := &f.Handshakes
	if !(h.CPUShare >= 0 && h.CPUShare <= 1) {
		check.Errorf("handshakes.share", "%v, want above 0 and 1 at most", h.CPUShare)
	}
	if b := h.BurstMS; !(b == 0 || b >= 1 && b <= maxBurstMS) {
		check.Errorf("handshakes.burst_ms", "%v, want 1 to %d", b, maxBurstMS)
	}
	if h.MaxParallel < 0 || h.MaxParallel > maxParallelHandshakes {
		check.Errorf("handshakes.parallel", "%d, want 1 to %d", h.MaxParallel, maxParallelHandshakes)
	}
	if s := h.TimeoutS; !(s == 0 || s >= minHandshakeTimeoutS && s <= maxHandshakeTimeoutS) {
		check.Errorf("handshakes.timeout_s", "%v, want %v to %d", s, minHandshakeTimeoutS, maxHandshakeTimeoutS)
	}
	if h.MaxSessions < -1 || h.MaxSessions > maxSessionCacheSize {
		check.Errorf("handshakes.sessions", "%d, want -1 to %d", h.MaxSessions, maxSessionCacheSize)
	}
}

const ruleNameAlphabet = "abcdefghijklmnopqrstuvwxyz0123456789-_"

// Rule is the rule without what its files hold.
func (x *TLSRule) Rule() (tlspolicy.Rule, error) {
	r := tlspolicy.Rule{Name: x.Name, ServerName: x.ServerName, RequireRevocationStatus: x.UnknownRevocation == "refuse"}
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
func (x *TLSRule) Files() certstore.Files {
	return certstore.Files{Certificate: x.Certificate, Key: x.Key, Roots: x.Roots, RevocationLists: x.Revocations}
}

// ConnectionCost is what a connection under the rule takes at the partner, in calls.
func (x *TLSRule) ConnectionCost() float64 {
	if x.HandshakeWeight == nil {
		return defaultHandshakeWeight
	}
	return *x.HandshakeWeight
}

// ExpiryWarning is how long before its end a certificate is told of.
func (x *TLSRule) ExpiryWarning() time.Duration {
	return time.Duration(cmp.Or(x.ExpiryWarningDays, defaultExpiryWarningDays)) * 24 * time.Hour
}

// Targets are whom the rules are for.
func (f *File) Targets() (t []tlspolicy.RuleTarget) {
	for i := range f.TLSRules {
		t = append(t, tlspolicy.RuleTarget{Rule: f.TLSRules[i].Name, Destinations: f.TLSRules[i].Destinations, Flavors: f.TLSRules[i].Flavors})
	}
	return t
}

// Limits are the handshake budget's.
func (h *Handshakes) Limits() tlspolicy.HandshakeLimits {
	l := tlspolicy.DefaultHandshakeLimits()
	l.Share = cmp.Or(h.CPUShare, l.Share)
	l.Burst = cmp.Or(time.Duration(h.BurstMS*float64(time.Millisecond)), l.Burst)
	l.MaxParallel = cmp.Or(h.MaxParallel, l.MaxParallel)
	for k := range l.Cost {
		l.Cost[k] = min(l.Cost[k], l.Burst)
	}
	return l
}

// Timeout is how long a handshake may take.
func (h *Handshakes) Timeout() time.Duration {
	return cmp.Or(time.Duration(h.TimeoutS*float64(time.Second)), 3*time.Second)
}

// SessionCacheSize is how many sessions are kept.
func (h *Handshakes) SessionCacheSize() int { return max(cmp.Or(h.MaxSessions, 256), 0) }
