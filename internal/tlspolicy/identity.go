// Package tlspolicy says whom a partner must prove to be, what a proof that
// fails means, and how many handshakes may be begun.
//
// It owns the rules of identity, the states of trust and the handshake budget.
// It must never touch a socket, a file or a clock, see a message, or hold a
// private key. What a partner's list says of names counts for nothing here:
// names, roots and pins are the operator's.
package tlspolicy

import (
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/rsa"
	"crypto/sha256"
	"crypto/x509"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"time"
)

// FailureCause is why a partner's proof is not accepted.
type FailureCause uint8

// Causes, in the order in which they are looked for.
const (
	NoCertificate FailureCause = iota + 1 // it showed none
	WeakKey                               // RSA under 2048 bits, a curve under 256, or a kind that is not used any more
	NotYetValid                           // RFC 5280 section 4.1.2.5, the leaf or one above it
	Expired
	NameMismatch  // RFC 6125 section 6: the name is not among its subject alternative names
	UntrustedRoot // no chain to a root of the operator's
	InvalidChain  // a chain that breaks a rule of RFC 5280 section 6: constraints, usages
	PinMismatch   // RFC 7469 section 2.6: no key of the chain is pinned
	CertificateRevoked
	RevocationUnresolved      // and the setting is hard
	ClientCertificateRejected // it does not accept our own certificate, by its alert
	NoCommonParameters        // no version, suite or name that both know, by its alert
	causeCount
)

var causeNames = [causeCount]string{"", "no certificate", "weak key", "not yet valid", "expired", "wrong name", "wrong root", "bad chain",
	"wrong pin", "revoked", "revocation unknown", "refuses our certificate", "nothing in common"}

func (c FailureCause) String() string { return causeNames[c] }

// IdentityError is a proof that was not accepted. Nothing was sent to who gave it:
// whatever was to go there never ran.
type IdentityError struct {
	Cause FailureCause
	Rule  string // the setting by which it was judged
	Err   error
}

func (f *IdentityError) Error() string { return fmt.Sprintf("tls: %s: %s: %v", f.Rule, f.Cause, f.Err) }

// Unwrap is what was found.
func (f *IdentityError) Unwrap() error { return f.Err }

// Pin is the SHA-256 of a key's SubjectPublicKeyInfo (RFC 7469 section 2.4).
type Pin [sha256.Size]byte

// PinOf is a certificate's pin.
func PinOf(c *x509.Certificate) Pin { return sha256.Sum256(c.RawSubjectPublicKeyInfo) }

// String is the pin as settings have it: base64.
func (p Pin) String() string { return base64.StdEncoding.EncodeToString(p[:]) }

// ParsePin reads a pin in base64.
func ParsePin(s string) (p Pin, err error) {
	b, err := base64.StdEncoding.Strict().DecodeString(s)
	if err != nil || len(b) != len(p) {
		return p, fmt.Errorf("pin %.60q: want %d bytes in base64", s, len(p))
	}
	return Pin(b), nil
}

// RevocationStatus is what is known of a certificate's revocation.
type RevocationStatus uint8

// What can be known.
const (
	StatusUnknown RevocationStatus = iota
	StatusGood
	StatusRevoked
)

// Rule is whom a destination must prove to be.
type Rule struct {
	Name                    string         // of the setting
	ServerName              string         // sent as SNI and verified, whatever the list says
	Roots                   *x509.CertPool // the operator's; never the system's
	Pins                    []Pin          // none: the roots alone decide
	RequireRevocationStatus bool           // what is unknown of revocation counts as revoked
}

// SessionIdentity is under whose eyes sessions with a destination are made. roots and
// own are what the files hold: sums over the roots and our own certificate.
func (r *Rule) SessionIdentity(dest int, roots, own []byte) SessionIdentity {
	h := sha256.New()
	put := func(b []byte) { // with its length: no two lists of parts are alike
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(b))))
		h.Write(b)
	}
	put([]byte(r.ServerName))
	put(roots)
	put(own)
	for _, p := range r.Pins {
		put(p[:])
	}
	return SessionIdentity{dest, r.Name, [sha256.Size]byte(h.Sum(nil))}
}

// Validate tells what is wrong with a rule.
func (r *Rule) Validate() error {
	switch {
	case r.ServerName == "":
		return errors.New("server_name: missing")
	case r.Roots == nil:
		return errors.New("roots: missing")
	case len(r.Pins) == 1:
		return errors.New("pins: one alone; a set needs a backup that is not in use, or a lost key locks the partner out (RFC 7469 section 2.5)")
	}
	seen := map[Pin]bool{}
	for _, p := range r.Pins {
		if seen[p] {
			return fmt.Errorf("pins: %s is named twice", p)
		}
		seen[p] = true
	}
	return nil
}

// Verification is an identity that was accepted.
type Verification struct {
	ValidUntil time.Time // its connection begins no call from then on: the first end in its chain
	Chain      []*x509.Certificate
}

// Verify judges what a partner showed, its own certificate first. known is what
// is known of revocation; nil for nothing.
func (r *Rule) Verify(shown []*x509.Certificate, now time.Time, known *RevocationEvidence) (*Verification, *IdentityError) {
	fail := func(c FailureCause, err error) (*Verification, *IdentityError) {
		return nil, &IdentityError{c, r.Name, err}
	}
	if len(shown) == 0 {
		return fail(NoCertificate, errors.New("none was shown"))
	}
	leaf := shown[0]
	if err := checkKeyStrength(leaf); err != nil {
		return fail(WeakKey, err)
	}
	if cause, err := checkValidity(leaf, now); err != nil {
		return fail(cause, err)
	}
	if err := leaf.VerifyHostname(r.ServerName); err != nil {
		return fail(NameMismatch, err)
	}
	between := x509.NewCertPool()
	for _, c := range shown[1:] {
		between.AddCert(c)
	}
	chains, err := leaf.Verify(x509.VerifyOptions{Roots: r.Roots, Intermediates: between, CurrentTime: now,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}})
	if err != nil {
		var invalid x509.CertificateInvalidError
		var unknown x509.UnknownAuthorityError
		switch {
		case errors.As(err, &invalid) && invalid.Reason == x509.Expired:
			if cause, terr := checkValidity(invalid.Cert, now); terr != nil {
				return fail(cause, err)
			}
			return fail(Expired, err)
		case errors.As(err, &unknown):
			// One above that is out of time makes a chain that leads nowhere.
			for _, c := range shown[1:] {
				if cause, terr := checkValidity(c, now); terr != nil {
					return fail(cause, terr)
				}
			}
			return fail(UntrustedRoot, err)
		}
		return fail(InvalidChain, err)
	}
	var worst *IdentityError
	for _, chain := range chains {
		f := r.checkChain(chain, now, known)
		if f == nil {
			until := leaf.NotAfter
			for _, c := range chain {
				if c.NotAfter.Before(until) {
					until = c.NotAfter
				}
			}
			return &Verification{until, chain}, nil
		}
		if worst == nil || f.Cause > worst.Cause { // the one that got furthest
			worst = f
		}
	}
	return nil, worst
}

// checkChain is what a chain must pass beside x509's rules.
func (r *Rule) checkChain(chain []*x509.Certificate, now time.Time, evidence *RevocationEvidence) *IdentityError {
	for _, c := range chain[1:] {
		if err := checkKeyStrength(c); err != nil {
			return &IdentityError{WeakKey, r.Name, err}
		}
	}
	if len(r.Pins) > 0 && !slices.ContainsFunc(chain, func(c *x509.Certificate) bool { return slices.Contains(r.Pins, PinOf(c)) }) {
		return &IdentityError{PinMismatch, r.Name, fmt.Errorf("none of the chain's %d keys is pinned; the leaf's is %s", len(chain), PinOf(chain[0]))}
	}
	for i, c := range chain[:len(chain)-1] { // a root is not revoked, it is removed
		known := evidence.status(c, chain[i+1], i == 0, now)
		switch {
		case known == StatusRevoked:
			return &IdentityError{CertificateRevoked, r.Name, fmt.Errorf("serial %x", c.SerialNumber)}
		case i == 0 && mustStaple(c) && (evidence == nil || stapledStatus(evidence.Staple, c, chain[1], now) != StatusGood):
			return &IdentityError{RevocationUnresolved, r.Name, errors.New("its certificate says that a good OCSP response comes with it, and none did (RFC 7633)")}
		case known == StatusUnknown && r.RequireRevocationStatus:
			return &IdentityError{RevocationUnresolved, r.Name, fmt.Errorf("serial %x", c.SerialNumber)}
		}
	}
	return nil
}

func checkValidity(c *x509.Certificate, now time.Time) (FailureCause, error) {
	switch {
	case now.Before(c.NotBefore):
		return NotYetValid, fmt.Errorf("valid from %s on", c.NotBefore.UTC().Format(time.RFC3339))
	case !now.Before(c.NotAfter):
		return Expired, fmt.Errorf("valid until %s", c.NotAfter.UTC().Format(time.RFC3339))
	}
	return 0, nil
}

const (
	minRSABits   = 2048
	minCurveBits = 256
)

func checkKeyStrength(c *x509.Certificate) error {
	switch k := c.PublicKey.(type) {
	case *rsa.PublicKey:
		if n := k.N.BitLen(); n < minRSABits {
			return fmt.Errorf("RSA of %d bits, %d are wanted", n, minRSABits)
		}
	case *ecdsa.PublicKey:
		if n := k.Curve.Params().BitSize; n < minCurveBits {
			return fmt.Errorf("a curve of %d bits, %d are wanted", n, minCurveBits)
		}
	case ed25519.PublicKey:
	default:
		return fmt.Errorf("a key of kind %T", k)
	}
	return nil
}
