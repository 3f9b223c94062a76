package tlspolicy

// When a connection ends during a call, the relay has to know whether the endpoint may
// have executed the call (docs/design/tls.md has the table). An alert (RFC 8446 section 6)
// says why the endpoint closes the connection, and after the handshake it is
// authenticated. It does not say what the endpoint has executed by then: a request that
// arrived completely may be executing while its connection fails. So only the amount that
// was sent decides, never the alert.

// SentStage is how much of a call had been sent when its connection ended.
type SentStage uint8

// Stages of sending a call on a connection.
const (
	HandshakeOnly SentStage = iota // no byte of the call can have been sent
	PartlySent                     // the last byte was not sent: no endpoint executes the call
	FullySent                      // the last record was written to the socket
)

// Execution says whether a call may have been executed.
type Execution uint8

// Values of Execution.
const (
	NeverRan Execution = iota
	MayHaveRun
)

// ExecutionAfter returns whether a call may have been executed when its connection ended
// at stage s, whatever the alert or the error was. It does not apply to a call whose
// response's first line has arrived completely.
func ExecutionAfter(s SentStage) Execution {
	if s == FullySent {
		return MayHaveRun
	}
	return NeverRan
}

// Alerts about identities or supported parameters (RFC 8446 section 6, RFC 5246 section
// 7.2). Another attempt would get the same alert.
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

// CauseOfAlert returns the cause for which an endpoint that sent this alert gets no more
// calls; false if the alert concerns only the one connection.
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
