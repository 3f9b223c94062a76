package tlsdial

import (
	"context"
	"crypto/tls"
	"net"
	"runtime"
	"time"

	"golang.org/x/sys/unix"

	"troutusher/internal/certstore"
	"troutusher/internal/tlspolicy"
)

// minVersionTLS13 is the value of a rule's min_version that excludes TLS 1.2.
const minVersionTLS13 = "1.3"

// Permit allows one handshake with an endpoint. It is used up by either Handshake or
// Release.
type Permit struct {
	endpoint     *Endpoint
	credentials  *certstore.Credentials
	generation   uint64                    // of the rule's files
	identity     tlspolicy.SessionIdentity // under which sessions are taken and stored
	reservation  tlspolicy.Reservation
	kind         tlspolicy.HandshakeKind
	session      *tls.ClientSessionState // to resume; nil for a full handshake
	sessionUntil time.Time               // when session expires
}

// Timeout returns how long connecting and the handshake may take together.
func (p *Permit) Timeout() time.Duration { return p.endpoint.dialer.handshakeTimeout }

// Release returns the permit unused, because no connection was established.
func (p *Permit) Release() {
	d := p.endpoint.dialer
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.Complete(p.reservation, 0, false, time.Now())
	d.recordInconclusive(p.endpoint)
	if p.session != nil && p.generation == p.endpoint.rule.generation.Load() { // its ticket was not sent
		d.sessions.PutUntil(p.identity, p.session, d.options.Clock(), p.sessionUntil)
	}
}

// Handshake performs the handshake over a connection. If it fails, the connection is
// closed and nothing but the handshake was sent. The error is a *RejectedError if an
// identity was rejected.
func (p *Permit) Handshake(ctx context.Context, raw net.Conn) (*Conn, error) {
	h := p.newHandshake(raw)
	cpuTime, err := h.run(ctx)
	if err == nil {
		err = h.confirm()
	}
	if err != nil {
		_ = raw.Close() // no message data was sent, so a failed close loses nothing
	}
	return h.record(ctx, cpuTime, err)
}

// handshake is the state of one handshake in progress.
type handshake struct {
	permit               *Permit
	conn                 *Conn
	cache                *ticketCache
	failure              *tlspolicy.IdentityError // found when the relay verified the endpoint's identity
	certificateRequested bool                     // the endpoint asked for the relay's certificate
	version              uint16
}

func (p *Permit) newHandshake(raw net.Conn) *handshake {
	e := p.endpoint
	h := &handshake{
		permit: p,
		conn: &Conn{
			records:    &recordTracker{Conn: raw},
			raw:        raw,
			endpoint:   e,
			generation: p.generation,
		},
		cache: &ticketCache{
			dialer:     e.dialer,
			identity:   p.identity,
			generation: p.generation,
			rule:       e.rule,
			toOffer:    p.session,
		},
	}
	h.conn.Conn = tls.Client(h.conn.records, h.config())
	return h
}

func (h *handshake) config() *tls.Config {
	e := h.permit.endpoint
	config := &tls.Config{
		ServerName:         e.rule.policy.ServerName,
		MinVersion:         tls.VersionTLS12,
		MaxVersion:         tls.VersionTLS13,
		Time:               e.dialer.options.Clock,
		ClientSessionCache: h.cache,
		// The verification of crypto/tls would use the system's clock and give no
		// cause. VerifyConnection replaces it, and is called for resumed sessions too.
		InsecureSkipVerify:   true,
		VerifyConnection:     h.verifyConnection,
		GetClientCertificate: h.clientCertificate,
	}
	if e.rule.settings.MinVersion == minVersionTLS13 {
		config.MinVersion = tls.VersionTLS13
	}
	return config
}

// verifyConnection verifies the endpoint's certificates. crypto/tls calls it.
func (h *handshake) verifyConnection(state tls.ConnectionState) error {
	verification, failure := h.verify(state)
	if failure != nil {
		h.failure = failure
		return failure
	}
	h.conn.validUntil = verification.ValidUntil
	return nil
}

// clientCertificate returns the relay's certificate, or an empty one if the rule names none.
// crypto/tls calls it when the endpoint asks for a certificate.
func (h *handshake) clientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	h.certificateRequested = true
	if own := h.permit.credentials.Certificate; own != nil {
		return own, nil
	}
	return &tls.Certificate{}, nil
}

// verify verifies the endpoint's identity with the rule's current files.
func (h *handshake) verify(state tls.ConnectionState) (*tlspolicy.Verification, *tlspolicy.IdentityError) {
	e := h.permit.endpoint
	credentials := e.rule.files.Current()
	policy := e.rule.policy
	policy.Roots = credentials.Roots
	evidence := &tlspolicy.RevocationEvidence{Staple: state.OCSPResponse, Lists: credentials.RevocationLists}
	return policy.Verify(state.PeerCertificates, e.dialer.options.Clock(), evidence)
}

// run performs the handshake and measures the CPU time that it takes on this side.
func (h *handshake) run(ctx context.Context) (cpuTime time.Duration, err error) {
	// The goroutine is locked to its thread, whose CPU time is measured: that of the
	// process would include the work of other goroutines.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	start := threadCPUTime()
	err = h.conn.HandshakeContext(ctx)
	return threadCPUTime() - start, err
}

// confirm checks, after the handshake has completed on this side, that the endpoint
// does not reject the relay's certificate and that its identity is valid under the rule's current
// files.
func (h *handshake) confirm() error {
	state := h.conn.ConnectionState()
	h.conn.Resumed = state.DidResume
	h.version = state.Version
	if h.certificateRequested && state.Version == tls.VersionTLS13 {
		if err := h.conn.awaitRejection(h.cache); err != nil {
			return err
		}
	}
	if h.permit.endpoint.rule.generation.Load() == h.permit.generation {
		return nil
	}
	if _, h.failure = h.verify(state); h.failure != nil { // the files changed during the handshake
		return h.failure
	}
	return nil
}

// record accounts for a handshake that has ended, with err if it failed: it completes the
// budget's reservation, records the outcome in the endpoint's trust state, and stores the
// session if the handshake succeeded.
func (h *handshake) record(ctx context.Context, cpuTime time.Duration, err error) (*Conn, error) {
	e := h.permit.endpoint
	d := e.dialer
	d.mu.Lock()
	defer d.mu.Unlock()
	asPlanned := err == nil && h.conn.Resumed == (h.permit.kind == tlspolicy.ResumedHandshake)
	d.budget.Complete(h.permit.reservation, cpuTime, asPlanned, time.Now())
	if err == nil {
		d.recordVerified(e, h.conn)
		h.cache.commit(h.conn.validUntil, h.conn.Resumed && h.version == tls.VersionTLS12)
		return h.conn, nil
	}
	if failure := h.identityFailure(ctx, err); failure != nil {
		return nil, d.recordRejection(e, failure)
	}
	d.recordInconclusive(e)
	return nil, err
}

// identityFailure returns why an identity, the endpoint's or the relay's, was rejected in a
// handshake that failed with err; nil if the error says nothing about identities.
func (h *handshake) identityFailure(ctx context.Context, err error) *tlspolicy.IdentityError {
	if h.failure != nil {
		return h.failure
	}
	cause, ok := causeOfError(err)
	switch {
	case !ok && isTransient(ctx, err):
		return nil
	case !ok:
		cause = tlspolicy.NoCommonParameters
	case h.certificateRequested && cause == tlspolicy.NoCommonParameters:
		// With TLS 1.2 an endpoint may report a missing client certificate by the alert
		// handshake_failure (RFC 5246 section 7.4.6).
		cause = tlspolicy.ClientCertificateRejected
	}
	return &tlspolicy.IdentityError{Cause: cause, Rule: h.permit.endpoint.rule.settings.Name, Err: err}
}

// threadCPUTime returns the CPU time of the calling thread.
func threadCPUTime() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts) != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
