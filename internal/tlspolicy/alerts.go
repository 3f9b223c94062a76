package tlspolicy

// What the end of a connection proves about the call that was on it
// (docs/design/tls.md has the table). An alert (RFC 8446 section 6) says why an
// endpoint gives a connection up, and is authenticated once the handshake is over. It
// still says nothing about what the endpoint has done by then, since a request that
// arrived completely may be executing while its connection fails. So what decides is
// how much was sent, and never the alert.

// SentStage is how much of a call had been sent when its connection ended.
type SentStage uint8

// Stages of a call on a connection.
const (
	HandshakeOnly SentStage = iota // nothing of the call can have been sent
	PartlySent                     // all but its last byte at most: no endpoint executes it
	FullySent                      // its last record was handed to the socket
)

// Execution is what is proved about a call.
type Execution uint8

// What can be proved.
const (
	NeverRan Execution = iota
	MayHaveRun
)

// ExecutionAfter is what the end of a connection proves about the call on it, whatever
// the alert or the error. It is not for a call whose answer's first line arrived
// completely.
func ExecutionAfter(s SentStage) Execution {
	if s == FullySent {
		return MayHaveRun
	}
	return NeverRan
}

// Alerts about identities or about what both sides support (RFC 8446 section 6, RFC
// 5246 section 7.2). Another attempt does not change their reason.
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

// CauseOfAlert returns the cause for which an endpoint that sent an alert is rejected;
// false where the alert concerns one connection alone.
func CauseOfAlert(alert uint8) (FailureCause, bool) {
	switch alert {
	case alertBadCertificate, alertUnsupportedCertificate, alertCertificateRevoked, alertCertificateExpired,
		alertCertificateUnknown, alertUnknownCA, alertAccessDenied, alertCertificateRequired:
		return ClientCertificateRejected, true
	case alertHandshakeFailure, alertProtocolVersion, alertInsufficientSecurity, alertUnrecognizedName,
		alertNoApplicationProtocol:
		return NoCommonParameters, true
	}
	return 0, false
}
