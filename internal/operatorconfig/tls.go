package operatorconfig

import (
	"cmp"
	"crypto/x509"
	"errors"
	"fmt"
	"strings"
	"time"

	"troutusher/internal/certstore"
	"troutusher/internal/tlspolicy"
	"troutusher/internal/tomlfile"
)

const (
	maxTLSRules              = 200
	maxRuleNameLength        = 40
	ruleNameAlphabet         = "abcdefghijklmnopqrstuvwxyz0123456789-_"
	defaultHandshakeWeight   = 1
	maxHandshakeWeight       = 100
	defaultExpiryWarningDays = 14
	maxExpiryWarningDays     = 365

	acceptUnknownRevocation = "accept"
	refuseUnknownRevocation = "refuse"
)

// TLSRule are the settings for destinations whose endpoints are called over TLS.
type TLSRule struct {
	// Name identifies the rule in logs and metrics.
	Name string `toml:"name"`
	// Destinations and Flavors select the destinations: by number, and by the flavor
	// that the endpoint list gives.
	Destinations []int    `toml:"destinations"`
	Flavors      []string `toml:"flavors"`
	// ServerName is sent as SNI, and is the name that a certificate must contain
	// (RFC 6125).
	ServerName string `toml:"server_name"`
	// Roots is a PEM file with the trusted authorities. The system's are not used.
	Roots string `toml:"roots"`
	// Pins are SHA-256 hashes of public keys in base64 (RFC 7469 section 2.4), one of
	// which must be in the chain. There are none or at least two.
	Pins []string `toml:"pins"`
	// Certificate and Key are PEM files with the client certificate.
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	// Revocations is a file with revocation lists (RFC 5280 section 5).
	Revocations string `toml:"revocations"`
	// UnknownRevocation is "accept" or "refuse": what to do with a certificate whose
	// revocation status is known neither from a staple nor from a list.
	UnknownRevocation string `toml:"unknown_revocation"`
	// MinVersion is "1.2" or "1.3".
	MinVersion string `toml:"min_version"`
	// HandshakeWeight is the cost of a handshake for the endpoint, in calls.
	HandshakeWeight *float64 `toml:"handshake_weight"`
	// ExpiryWarningDays is the number of days before its expiry at which a certificate
	// is warned of.
	ExpiryWarningDays int `toml:"warn_days"`
}

// Rule returns the rule without the contents of its files.
func (r *TLSRule) Rule() (tlspolicy.Rule, error) {
	rule := tlspolicy.Rule{
		Name: r.Name, ServerName: r.ServerName,
		RequireRevocationStatus: r.UnknownRevocation == refuseUnknownRevocation,
	}
	for _, text := range r.Pins {
		pin, err := tlspolicy.ParsePin(text)
		if err != nil {
			return rule, err
		}
		rule.Pins = append(rule.Pins, pin)
	}
	return rule, nil
}

// Files returns the rule's files.
func (r *TLSRule) Files() certstore.Files {
	return certstore.Files{Certificate: r.Certificate, Key: r.Key, Roots: r.Roots, RevocationLists: r.Revocations}
}

// ConnectionCost returns the cost of opening a connection for the endpoint, in calls.
func (r *TLSRule) ConnectionCost() float64 {
	if r.HandshakeWeight == nil {
		return defaultHandshakeWeight
	}
	return *r.HandshakeWeight
}

// ExpiryWarning returns the time before its expiry at which a certificate is warned of.
func (r *TLSRule) ExpiryWarning() time.Duration {
	return time.Duration(cmp.Or(r.ExpiryWarningDays, defaultExpiryWarningDays)) * 24 * time.Hour
}

func (r *TLSRule) target() tlspolicy.RuleTarget {
	return tlspolicy.RuleTarget{Rule: r.Name, Destinations: r.Destinations, Flavors: r.Flavors}
}

// Targets returns the destinations of each rule.
func (f *File) Targets() []tlspolicy.RuleTarget {
	var targets []tlspolicy.RuleTarget
	for i := range f.TLSRules {
		targets = append(targets, f.TLSRules[i].target())
	}
	return targets
}

// validateTLS validates the rules, alone and together, and the handshake settings.
func (f *File) validateTLS(check *tomlfile.Checker) {
	if len(f.TLSRules) > maxTLSRules {
		check.Errorf("tls", "%d rules, want %d at most", len(f.TLSRules), maxTLSRules)
		return
	}
	names := map[string]bool{}
	for i := range f.TLSRules {
		r := &f.TLSRules[i]
		key := func(name string) string { return fmt.Sprintf("tls[%d].%s", i, name) }
		r.validateName(check, key("name"), names[r.Name])
		names[r.Name] = true
		r.validate(check, key)
	}
	if _, err := tlspolicy.NewRuleSelector(f.Targets()); err != nil {
		check.Errorf("tls", "%v", err)
	}
	f.Handshakes.validate(check)
}

func (r *TLSRule) validateName(check *tomlfile.Checker, key string, taken bool) {
	switch {
	case r.Name == "":
		check.Errorf(key, "missing")
	case len(r.Name) > maxRuleNameLength || strings.Trim(r.Name, ruleNameAlphabet) != "":
		check.Errorf(key, "%.60q, want %d small letters, digits, - and _ at most", r.Name, maxRuleNameLength)
	case taken:
		check.Errorf(key, "%q is named twice", r.Name)
	}
}

// validate validates the rule except for its name. key returns the full key of one of
// the rule's keys.
func (r *TLSRule) validate(check *tomlfile.Checker, key func(name string) string) {
	rule, err := r.Rule()
	if err != nil {
		check.Errorf(key("pins"), "%v", err)
	}
	rule.Roots = x509.NewCertPool() // the files are read later
	var invalid *tlspolicy.SettingError
	if errors.As(rule.Validate(), &invalid) {
		check.Errorf(key(invalid.Key), "%s", invalid.Problem)
	}
	if r.Roots == "" {
		check.Errorf(key("roots"), "missing")
	}
	if !bothOrNeither(r.Certificate, r.Key) {
		check.Errorf(key("certificate"), "certificate and key are named together or not at all")
	}
	if !oneOf(r.UnknownRevocation, acceptUnknownRevocation, refuseUnknownRevocation) {
		check.Errorf(key("unknown_revocation"), "%.40q, want accept or refuse", r.UnknownRevocation)
	}
	if !oneOf(r.MinVersion, "1.2", "1.3") {
		check.Errorf(key("min_version"), "%.40q, want 1.2 or 1.3", r.MinVersion)
	}
	if w := r.HandshakeWeight; w != nil && !within(*w, 0, maxHandshakeWeight) {
		check.Errorf(key("handshake_weight"), "%v, want 0 to %d", *w, maxHandshakeWeight)
	}
	if n := r.ExpiryWarningDays; n < 0 || n > maxExpiryWarningDays {
		check.Errorf(key("warn_days"), "%d, want 0 to %d", n, maxExpiryWarningDays)
	}
}
