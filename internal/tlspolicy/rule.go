// Package tlspolicy decides which identity an endpoint must prove over TLS, what a
// failed verification means, and how many handshakes may run.
//
// It holds the identity rules, the trust state of endpoints and the handshake budget. It
// does no input or output, reads no clock, and handles neither messages nor private keys.
// Names, roots and pins come from the operator's settings only; an endpoint list cannot
// change them.
package tlspolicy

import (
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/rsa"
	"crypto/sha256"
	"crypto/x509"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Minimum key sizes.
const (
	minRSABits   = 2048
	minCurveBits = 256
)

// Rule is the identity that a destination's endpoints must prove.
type Rule struct {
	Name                    string         // of the rule, in the operator's file
	ServerName              string         // sent as SNI and verified
	Roots                   *x509.CertPool // from the operator's settings, never the system's
	Pins                    []Pin          // if empty, any chain to one of Roots is accepted
	RequireRevocationStatus bool           // reject a certificate whose revocation status is unknown
}

// SessionIdentity returns the identity under which sessions with a destination are
// cached. rootsSum and certificateSum are the hashes of the file of the roots and of the
// file of the relay's own certificate.
func (r *Rule) SessionIdentity(dest int, rootsSum, certificateSum []byte) SessionIdentity {
	h := sha256.New()
	add := func(b []byte) { // the length prefix keeps different inputs from hashing alike
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(b))))
		h.Write(b)
	}
	add([]byte(r.ServerName))
	add(rootsSum)
	add(certificateSum)
	for _, p := range r.Pins {
		add(p[:])
	}
	return SessionIdentity{Destination: dest, Rule: r.Name, Sum: [sha256.Size]byte(h.Sum(nil))}
}

// SettingError reports an invalid setting of a rule.
type SettingError struct {
	Key     string // name of the setting in the operator's file
	Problem string
}

// Error names the key and the problem.
func (e *SettingError) Error() string { return e.Key + ": " + e.Problem }

// Validate returns a *SettingError for an invalid rule.
func (r *Rule) Validate() error {
	switch {
	case r.ServerName == "":
		return &SettingError{"server_name", "missing"}
	case r.Roots == nil:
		return &SettingError{"roots", "missing"}
	case len(r.Pins) == 1:
		return &SettingError{"pins", "one alone; a set needs a backup that is not in use, " +
			"or a lost key locks the partner out (RFC 7469 section 2.5)"}
	}
	seen := map[Pin]bool{}
	for _, p := range r.Pins {
		if seen[p] {
			return &SettingError{"pins", fmt.Sprintf("%s is named twice", p)}
		}
		seen[p] = true
	}
	return nil
}

// Verification is the result of a successful verification of an identity.
type Verification struct {
	ValidUntil time.Time // earliest expiry in the chain; no call may begin on the connection after it
	Chain      []*x509.Certificate
}

// fail returns the error for an identity that the rule rejects.
func (r *Rule) fail(cause FailureCause, err error) *IdentityError {
	return &IdentityError{Cause: cause, Rule: r.Name, Err: err}
}

// Verify verifies the certificates that an endpoint presented, the leaf first. It checks the
// key, the validity period and the name of the leaf, then builds the chains from the leaf to
// a root, and then checks keys, pins and revocation of each chain, until one chain passes.
// If none does, it returns the failure of the chain that passed the most checks. evidence
// may be nil.
func (r *Rule) Verify(
	presented []*x509.Certificate, now time.Time, evidence *RevocationEvidence,
) (*Verification, *IdentityError) {
	if len(presented) == 0 {
		return nil, r.fail(NoCertificate, errors.New("the endpoint presented none"))
	}
	leaf := presented[0]
	if err := checkKeyStrength(leaf); err != nil {
		return nil, r.fail(WeakKey, err)
	}
	if cause, err := checkValidity(leaf, now); err != nil {
		return nil, r.fail(cause, err)
	}
	if err := leaf.VerifyHostname(r.ServerName); err != nil {
		return nil, r.fail(NameMismatch, err)
	}
	chains, failure := r.buildChains(presented, now)
	if failure != nil {
		return nil, failure
	}
	var furthest *IdentityError // of the chain that passed the most checks
	for _, chain := range chains {
		failure := r.checkChain(chain, now, evidence)
		if failure == nil {
			return &Verification{ValidUntil: firstExpiry(chain), Chain: chain}, nil
		}
		if furthest == nil || failure.Cause > furthest.Cause {
			furthest = failure
		}
	}
	return nil, furthest
}

// buildChains returns the chains from the leaf to a root, at least one.
func (r *Rule) buildChains(presented []*x509.Certificate, now time.Time) ([][]*x509.Certificate, *IdentityError) {
	intermediates := x509.NewCertPool()
	for _, c := range presented[1:] {
		intermediates.AddCert(c)
	}
	chains, err := presented[0].Verify(x509.VerifyOptions{
		Roots:         r.Roots,
		Intermediates: intermediates,
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err == nil {
		return chains, nil
	}
	var invalid x509.CertificateInvalidError
	var unknown x509.UnknownAuthorityError
	switch {
	case errors.As(err, &invalid) && invalid.Reason == x509.Expired:
		if cause, validityErr := checkValidity(invalid.Cert, now); validityErr != nil {
			return nil, r.fail(cause, err)
		}
		return nil, r.fail(Expired, err)
	case errors.As(err, &unknown):
		// x509 does not build chains over an intermediate outside its validity period,
		// and reports that the authority is unknown.
		for _, c := range presented[1:] {
			if cause, validityErr := checkValidity(c, now); validityErr != nil {
				return nil, r.fail(cause, validityErr)
			}
		}
		return nil, r.fail(UntrustedRoot, err)
	}
	return nil, r.fail(InvalidChain, err)
}

// checkChain checks keys, pins and revocation, which x509 does not check.
func (r *Rule) checkChain(chain []*x509.Certificate, now time.Time, evidence *RevocationEvidence) *IdentityError {
	for _, c := range chain[1:] {
		if err := checkKeyStrength(c); err != nil {
			return r.fail(WeakKey, err)
		}
	}
	pinned := func(c *x509.Certificate) bool { return slices.Contains(r.Pins, PinOf(c)) }
	if len(r.Pins) > 0 && !slices.ContainsFunc(chain, pinned) {
		return r.fail(PinMismatch, fmt.Errorf(
			"none of the %d keys in the chain is pinned; the pin of the leaf's key is %s",
			len(chain), PinOf(chain[0])))
	}
	// The root is not checked: to revoke it, operators remove it from the settings.
	for i, c := range chain[:len(chain)-1] {
		isLeaf, issuer := i == 0, chain[i+1]
		status := evidence.status(c, issuer, isLeaf, now)
		switch {
		case status == StatusRevoked:
			return r.fail(CertificateRevoked, fmt.Errorf("certificate with serial %x is revoked", c.SerialNumber))
		case isLeaf && mustStaple(c) && !evidence.hasGoodStaple(c, issuer, now):
			return r.fail(RevocationUnresolved, errors.New(
				"the certificate requires a good stapled OCSP response, and there is none (RFC 7633)"))
		case status == StatusUnknown && r.RequireRevocationStatus:
			return r.fail(RevocationUnresolved,
				fmt.Errorf("no revocation status for the certificate with serial %x", c.SerialNumber))
		}
	}
	return nil
}

// firstExpiry returns when the first certificate of a chain expires.
func firstExpiry(chain []*x509.Certificate) time.Time {
	first := chain[0].NotAfter
	for _, c := range chain {
		if c.NotAfter.Before(first) {
			first = c.NotAfter
		}
	}
	return first
}

// checkValidity returns a cause and an error for a certificate outside its validity period.
func checkValidity(c *x509.Certificate, now time.Time) (FailureCause, error) {
	switch {
	case now.Before(c.NotBefore):
		return NotYetValid, fmt.Errorf("valid from %s", c.NotBefore.UTC().Format(time.RFC3339))
	case !now.Before(c.NotAfter):
		return Expired, fmt.Errorf("valid until %s", c.NotAfter.UTC().Format(time.RFC3339))
	}
	return 0, nil
}

// checkKeyStrength returns an error for a key that is too short or of an unsupported kind.
func checkKeyStrength(c *x509.Certificate) error {
	switch k := c.PublicKey.(type) {
	case *rsa.PublicKey:
		if n := k.N.BitLen(); n < minRSABits {
			return fmt.Errorf("RSA key of %d bits, want at least %d", n, minRSABits)
		}
	case *ecdsa.PublicKey:
		if n := k.Curve.Params().BitSize; n < minCurveBits {
			return fmt.Errorf("elliptic curve of %d bits, want at least %d", n, minCurveBits)
		}
	case ed25519.PublicKey:
	default:
		return fmt.Errorf("key type %T is not supported", k)
	}
	return nil
}
