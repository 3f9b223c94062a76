package tlspolicy

import "fmt"

// FailureCause is why an identity was rejected.
type FailureCause uint8

// Causes, in the order in which they are checked.
const (
	NoCertificate FailureCause = iota + 1 // the endpoint showed none
	WeakKey                               // RSA under 2048 bits, a curve under 256, or an obsolete kind
	NotYetValid                           // RFC 5280 section 4.1.2.5, the leaf or one above it
	Expired
	NameMismatch  // RFC 6125 section 6: the name is not among its subject alternative names
	UntrustedRoot // no chain to a root of the operator's
	InvalidChain  // a chain that breaks a rule of RFC 5280 section 6: constraints, usages
	PinMismatch   // RFC 7469 section 2.6: no key of the chain is pinned
	CertificateRevoked
	RevocationUnresolved      // the rule requires a revocation status, and there is none
	ClientCertificateRejected // the endpoint rejects our certificate, by its alert
	NoCommonParameters        // no version, suite or name in common, by the endpoint's alert
	causeCount
)

var causeNames = [causeCount]string{
	NoCertificate:             "no certificate",
	WeakKey:                   "weak key",
	NotYetValid:               "not yet valid",
	Expired:                   "expired",
	NameMismatch:              "wrong name",
	UntrustedRoot:             "wrong root",
	InvalidChain:              "bad chain",
	PinMismatch:               "wrong pin",
	CertificateRevoked:        "revoked",
	RevocationUnresolved:      "revocation unknown",
	ClientCertificateRejected: "refuses our certificate",
	NoCommonParameters:        "nothing in common",
}

// String is the cause's name in logs.
func (c FailureCause) String() string { return causeNames[c] }

// IdentityError is an identity that was rejected. Nothing but a handshake was sent to
// the endpoint: a call that was meant for it never ran.
type IdentityError struct {
	Cause FailureCause
	Rule  string // the name of the rule by which it was judged
	Err   error
}

// Error names the rule, the cause and what was found.
func (e *IdentityError) Error() string { return fmt.Sprintf("tls: %s: %s: %v", e.Rule, e.Cause, e.Err) }

// Unwrap returns what was found.
func (e *IdentityError) Unwrap() error { return e.Err }
