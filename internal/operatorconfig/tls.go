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

// TLSRule contains the settings for destinations whose endpoints are called over TLS.
type TLSRule struct {
	// Name identifies the rule in logs and metrics.
	Name string `toml:"name"`
	// Destinations and Flavors select the destinations of the rule, by number and by their
	// flavor, the kind of destination that the endpoint list states.
	Destinations []int    `toml:"destinations"`
	Flavors      []string `toml:"flavors"`
	// ServerName is sent as SNI. The endpoint's certificate must contain it (RFC 6125).
	ServerName string `toml:"server_name"`
	// Roots is a PEM file with the trusted certificate authorities. The authorities of the
	// system are not used.
	Roots string `toml:"roots"`
	// Pins contains SHA-256 hashes of public keys in base64 (RFC 7469 section 2.4). The
	// certificate chain must contain one of these keys. Pins has no or at least two
	// elements.
	Pins []string `toml:"pins"`
	// Certificate and Key are PEM files with the client certificate and its private key.
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	// Revocations is a file with certificate revocation lists (RFC 5280 section 5).
	Revocations string `toml:"revocations"`
	// UnknownRevocation is "accept" or "refuse". It applies to certificates whose
	// revocation status is known neither from an OCSP staple nor from a revocation list.
	UnknownRevocation string `toml:"unknown_revocation"`
	// MinVersion is the minimum TLS version, "1.2" or "1.3".
	MinVersion string `toml:"min_version"`
	// HandshakeWeight is the load that a handshake puts on the endpoint, in units of calls.
	HandshakeWeight *float64 `toml:"handshake_weight"`
	// ExpiryWarningDays is the number of days before a certificate's expiry from which on
	// the relay warns of it.
	ExpiryWarningDays int `toml:"warn_days"`
}

// Rule returns the rule for package tlspolicy, without the contents of the rule's files.
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

// Files returns the paths of the rule's files.
func (r *TLSRule) Files() certstore.Files {
	return certstore.Files{Certificate: r.Certificate, Key: r.Key, Roots: r.Roots, RevocationLists: r.Revocations}
}

// ConnectionCost returns the load that a new connection puts on the endpoint, in units of
// calls.
func (r *TLSRule) ConnectionCost() float64 {
	if r.HandshakeWeight == nil {
		return defaultHandshakeWeight
	}
	return *r.HandshakeWeight
}

// ExpiryWarning returns the duration before a certificate's expiry from which on the relay
// warns of it.
func (r *TLSRule) ExpiryWarning() time.Duration {
	return time.Duration(cmp.Or(r.ExpiryWarningDays, defaultExpiryWarningDays)) * 24 * time.Hour
}

func (r *TLSRule) target() tlspolicy.RuleTarget {
	return tlspolicy.RuleTarget{Rule: r.Name, Destinations: r.Destinations, Flavors: r.Flavors}
}

// Targets returns the numbers and flavors of destinations that each rule selects.
func (f *File) Targets() []tlspolicy.RuleTarget {
	var targets []tlspolicy.RuleTarget
	for i := range f.TLSRules {
		targets = append(targets, f.TLSRules[i].target())
	}
	return targets
}

// validateTLS validates each rule, checks that the rules do not conflict, and validates the
// handshake settings.
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

// validateName validates the rule's name. duplicate reports whether an earlier rule has the
// same name.
func (r *TLSRule) validateName(check *tomlfile.Checker, key string, duplicate bool) {
	switch {
	case r.Name == "":
		check.Errorf(key, "missing")
	case len(r.Name) > maxRuleNameLength || strings.Trim(r.Name, ruleNameAlphabet) != "":
		check.Errorf(key, "%.60q, want %d small letters, digits, - and _ at most", r.Name, maxRuleNameLength)
	case duplicate:
		check.Errorf(key, "%q is named twice", r.Name)
	}
}

// validate validates the rule except for its name. key returns the full name of a key of
// the rule, for example tls[0].pins.
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
