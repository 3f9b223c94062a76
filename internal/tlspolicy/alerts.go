package tlspolicy

// What an end of a connection proves of the call that was on it. The back side
// knows three words: never ran, ran, may have run (docs/design/tls.md has the
// table). An alert (RFC 8446 section 6) says why a partner gives a connection
// up, and says it under the partner's own key once the handshake is over; it
// still says nothing of what the partner has done by then, since a request that
// came whole may be at work while its connection fails. So what decides is what
// was sent, and never the alert's name.

// Sent is how much of a call had left when its connection ended.
type Sent uint8

// Stages of a call on a connection.
const (
	Handshaking Sent = iota // nothing of the call can have left
	Partly                  // all but its last byte at most: no partner acts on it
	Whole                   // its last record was handed to the socket
)

// Ran is what an end proves of a call.
type Ran uint8

// What can be proved.
const (
	NeverRan Ran = iota
	MayHaveRun
)

// Proves is what the end of a connection proves of the call on it, whatever the
// alert or the error. An answer whose first line came whole is no end.
func Proves(s Sent) Ran {
	if s == Whole {
		return MayHaveRun
	}
	return NeverRan
}

// Alerts that tell of who we are or of what both sides can speak (RFC 8446
// section 6, RFC 5246 section 7.2). The next message cannot mend them.
const (
	handshakeFailure      = 40
	badCertificate        = 42
	unsupportedCert       = 43
	certificateRevoked    = 44
	certificateExpired    = 45
	certificateUnknown    = 46
	unknownCA             = 48
	accessDenied          = 49
	protocolVersion       = 70
	insufficientSecurity  = 71
	unrecognizedName      = 112
	certificateRequired   = 116
	noApplicationProtocol = 120
)

// CauseOf maps an alert that a partner sent to the cause for which its endpoint
// is out; false where it is an accident of one connection.
func CauseOf(alert uint8) (Cause, bool) {
	switch alert {
	case badCertificate, unsupportedCert, certificateRevoked, certificateExpired, certificateUnknown, unknownCA, accessDenied, certificateRequired:
		return RefusesUs, true
	case handshakeFailure, protocolVersion, insufficientSecurity, unrecognizedName, noApplicationProtocol:
		return NothingCommon, true
	}
	return 0, false
}
