package tlspolicy

import "fmt"

// FailureCause is the cause for which an identity was rejected: that of an endpoint by the
// relay, or that of the relay by an endpoint.
type FailureCause uint8

// Causes, in the order in which they are checked.
const (
	NoCertificate FailureCause = iota + 1 // the endpoint presented none
	WeakKey                               // RSA under 2048 bits, a curve under 256 bits, or an unsupported kind of key
	NotYetValid                           // the leaf or an issuer (RFC 5280 section 4.1.2.5)
	Expired
	NameMismatch  // the name is not a subject alternative name of the leaf (RFC 6125 section 6)
	UntrustedRoot // no chain to one of the operator's roots
	InvalidChain  // the chain breaks a rule of RFC 5280 section 6, such as constraints or usages
	PinMismatch   // no key of the chain is pinned (RFC 7469 section 2.6)
	CertificateRevoked
	RevocationUnresolved      // a revocation status is required, and none is known
	ClientCertificateRejected // the endpoint rejected the relay's certificate by an alert
	NoCommonParameters        // no common version, cipher suite or name
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

// String returns the cause's name in logs.
func (c FailureCause) String() string { return causeNames[c] }

// IdentityError reports that an identity was rejected. Nothing but a handshake was sent
// to the endpoint, so no call was executed.
type IdentityError struct {
	Cause FailureCause
	Rule  string // the name of the rule that the identity was verified with
	Err   error  // the details
}

// Error names the rule, the cause and the details.
func (e *IdentityError) Error() string { return fmt.Sprintf("tls: %s: %s: %v", e.Rule, e.Cause, e.Err) }

// Unwrap returns the details.
func (e *IdentityError) Unwrap() error { return e.Err }
