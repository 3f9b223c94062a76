package tlspolicy

// What an end of a connection proves of the call that was on it. The back side
// knows three words: never ran, ran, may have run (docs/design/tls.md has the
// table). An alert (RFC 8446 section 6) says why a partner gives a connection
// up, and says it under the partner's own key once the handshake is over; it
// still says nothing of what the partner has done by then, since a request that
// came whole may be at work while its connection fails. So what decides is what
// was sent, and never the alert's name.

// SentStage is how much of a call had left when its connection ended.
type SentStage uint8

// Stages of a call on a connection.
const (
	HandshakeOnly SentStage = iota // nothing of the call can have left
	PartlySent                     // all but its last byte at most: no partner acts on it
	FullySent                      // its last record was handed to the socket
)

// Execution is what an end proves of a call.
type Execution uint8

// What can be proved.
const (
	NeverRan Execution = iota
	MayHaveRun
)

// ExecutionAfter is what the end of a connection proves of the call on it, whatever the
// alert or the error. An answer whose first line came whole is no end.
func ExecutionAfter(s SentStage) Execution {
	if s == FullySent {
		return MayHaveRun
	}
	return NeverRan
}

// Alerts that tell of who we are or of what both sides can speak (RFC 8446
// section 6, RFC 5246 section 7.2). The next message cannot mend them.
const (
	alertHandshakeFailure       = 40
	alertBadCertificate         = 42
	alertUnsupportedCertificate = 43
	alertCertificateRevoked     = 44
	alertCertificateExpired     = 45
	alertCertificateUnknown     = 46
	alertUnknownCA              = 48
	alertAccessDenied           = 49
	alertProtocolVersion        = 70
	alertInsufficientSecurity   = 71
	alertUnrecognizedName       = 112
	alertCertificateRequired    = 116
	alertNoApplicationProtocol  = 120
)

// CauseOfAlert maps an alert that a partner sent to the cause for which its endpoint
// is out; false where it is an accident of one connection.
func CauseOfAlert(alert uint8) (FailureCause, bool) {
	switch alert {
	case alertBadCertificate, alertUnsupportedCertificate, alertCertificateRevoked, alertCertificateExpired, alertCertificateUnknown, alertUnknownCA, alertAccessDenied, alertCertificateRequired:
		return ClientCertificateRejected, true
	case alertHandshakeFailure, alertProtocolVersion, alertInsufficientSecurity, alertUnrecognizedName, alertNoApplicationProtocol:
		return NoCommonParameters, true
	}
	return 0, false
}
