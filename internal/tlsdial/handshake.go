package tlsdial

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"os"
	"runtime"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"troutusher/internal/certstore"
	"troutusher/internal/tlspolicy"
)

// Permit is leave for one handshake. It is used once, by Shake or Abandon.
type Permit struct {
	endpoint     *Endpoint
	credentials  *certstore.Credentials
	generation   uint64
	identity     tlspolicy.SessionIdentity
	reservation  tlspolicy.Reservation
	kind         tlspolicy.HandshakeKind
	session      *tls.ClientSessionState
	sessionUntil time.Time
}

// Timeout is how long the handshake may take, connecting included.
func (t *Permit) Timeout() time.Duration { return t.endpoint.dialer.handshakeTimeout }

// Release gives a turn back: no connection came up.
func (t *Permit) Release() {
	p := t.endpoint.dialer
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.budget.Complete(t.reservation, 0, false, now)
	p.recordInconclusive(t.endpoint)
	if t.session != nil && t.generation == t.endpoint.rule.generation.Load() { // it was not shown to anybody
		p.sessions.PutUntil(t.identity, t.session, p.options.Clock(), t.sessionUntil)
	}
}

// recordInconclusive books a handshake without a proof. The caller holds mu.
func (p *Dialer) recordInconclusive(e *Endpoint) {
	p.counts.Inconclusive++
	p.trust.RecordInconclusive(e.trustKey())
	if f, _ := p.trust.Rejection(e.trustKey()); f != nil { // the schedule goes on
		p.scheduleRetry(e, time.Second)
	}
}

// Handshake makes the handshake over a connection. With an error the connection is
// closed and nothing but the handshake was sent: *Out where the proof was not
// accepted.
func (t *Permit) Handshake(ctx context.Context, raw net.Conn) (*Conn, error) {
	e, p := t.endpoint, t.endpoint.dialer
	c := &Conn{records: &recordTracker{Conn: raw}, raw: raw, endpoint: e, generation: t.generation}
	var failure *tlspolicy.IdentityError
	asked := false // for our certificate
	verify := func(cs tls.ConnectionState) (*tlspolicy.Verification, *tlspolicy.IdentityError) {
		set := e.rule.files.Current()
		policy := e.rule.policy
		policy.Roots = set.Roots
		return policy.Verify(cs.PeerCertificates, p.options.Clock(), &tlspolicy.RevocationEvidence{Staple: cs.OCSPResponse, Lists: set.RevocationLists})
	}
	cache := &ticketCache{dialer: p, identity: t.identity, generation: t.generation, rule: e.rule, offer: t.session}
	cfg := &tls.Config{ServerName: e.rule.policy.ServerName, MinVersion: tls.VersionTLS12, MaxVersion: tls.VersionTLS13, Time: p.options.Clock,
		ClientSessionCache: cache,
		// The library's own verification would use the system's clock and give no
		// cause. VerifyConnection is called for resumed sessions, too.
		InsecureSkipVerify: true,
		VerifyConnection: func(cs tls.ConnectionState) error {
			proof, f := verify(cs)
			if f != nil {
				failure = f
				return f
			}
			c.validUntil = proof.ValidUntil
			return nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			asked = true
			if t.credentials.Certificate == nil {
				return &tls.Certificate{}, nil
			}
			return t.credentials.Certificate, nil
		}}
	if e.rule.settings.MinVersion == "1.3" {
		cfg.MinVersion = tls.VersionTLS13
	}
	c.Conn = tls.Client(c.records, cfg)
	// A thread of its own, for its processor time: that of the process would
	// count the calls meanwhile.
	runtime.LockOSThread()
	began := threadCPUTime()
	err := c.Conn.HandshakeContext(ctx)
	took := threadCPUTime() - began
	runtime.UnlockOSThread()
	var cs tls.ConnectionState
	if err == nil {
		cs = c.Conn.ConnectionState()
		c.Resumed = cs.DidResume
		if asked && cs.Version == tls.VersionTLS13 {
			err = c.awaitRejection(cache)
		}
	}
	if err == nil {
		if e.rule.generation.Load() != t.generation { // trust changed meanwhile
			if _, failure = verify(cs); failure != nil {
				err = failure
			}
		}
	}
	if err != nil {
		raw.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.Complete(t.reservation, took, err == nil && c.Resumed == (t.kind == tlspolicy.ResumedHandshake), time.Now())
	if err == nil {
		p.recordVerified(e, c)
		cache.commit(c.validUntil, c.Resumed && cs.Version == tls.VersionTLS12)
		return c, nil
	}
	if failure == nil {
		if cause, ok := causeOfError(err); ok {
			if asked && cause == tlspolicy.NoCommonParameters {
				cause = tlspolicy.ClientCertificateRejected // RFC 5246 section 7.4.6: its word for a certificate that is missing
			}
			failure = &tlspolicy.IdentityError{Cause: cause, Rule: e.rule.settings.Name, Err: err}
		} else if !isTransient(ctx, err) {
			failure = &tlspolicy.IdentityError{Cause: tlspolicy.NoCommonParameters, Rule: e.rule.settings.Name, Err: err}
		}
	}
	if failure != nil {
		return nil, p.recordRejection(e, failure)
	}
	p.recordInconclusive(e)
	return nil, err
}

// rejectionWait is how long a partner that asked for our certificate has to refuse
// it before a call is trusted to the connection.
const rejectionWait = 100 * time.Millisecond

// awaitRejection gives a partner that asked for our certificate a moment to refuse it.
// With TLS 1.3 the handshake is over here before it has looked at ours (RFC 8446
// section 4.4.2.4); a new session is its word that it has.
func (c *Conn) awaitRejection(cache *ticketCache) error {
	c.SetReadDeadline(time.Now().Add(rejectionWait))
	defer c.SetReadDeadline(time.Time{})
	cache.onEarly = func() { c.SetReadDeadline(time.Unix(1, 0)) } // which ends the read below
	defer func() { cache.onEarly = nil }()
	for !cache.hasEarly() {
		switch n, err := c.Read(make([]byte, 1)); {
		case n > 0:
			return errors.New("bytes before the first call")
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil
		case err != nil:
			return err
		}
	}
	return nil
}

// recordVerified books a proof. The caller holds mu.
func (p *Dialer) recordVerified(e *Endpoint, c *Conn) {
	if c.Resumed {
		p.counts.Resumed++
	} else {
		p.counts.Full++
	}
	if e.closed {
		return
	}
	was, _ := p.trust.Rejection(e.trustKey())
	if said := p.trust.RecordVerified(e.trustKey(), &tlspolicy.Verification{ValidUntil: c.validUntil}); said != "" {
		p.options.Log.Info("tls: "+string(said), "endpoint", e.number, "dest", e.dest, "rule", e.rule.settings.Name)
	}
	if was != nil {
		e.stopRetry()
		p.options.OnRejected(e.number, 0)
	}
	if old := e.rule.earliestExpiry.Load(); old == 0 || c.validUntil.Unix() < old || old < p.options.Clock().Unix() {
		e.rule.earliestExpiry.Store(c.validUntil.Unix())
	}
	rule, until := e.rule, c.validUntil
	if until.Sub(p.options.Clock()) <= rule.settings.ExpiryWarning() {
		go p.warnExpiring(rule, "a partner's certificate", until)
	}
}

// threadCPUTime is the processor time of the thread that calls.
func threadCPUTime() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts) != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// ticketCache is the session cache as one connection's crypto/tls sees it: it finds
// the one session of its turn, once, and what it keeps goes under its own
// identity.
type ticketCache struct {
	dialer     *Dialer
	identity   tlspolicy.SessionIdentity
	generation uint64
	rule       *rule

	mu         sync.Mutex
	offer      *tls.ClientSessionState
	offered    *tls.ClientSessionState
	validUntil time.Time // of the proof; zero before it
	early      *tls.ClientSessionState
	onEarly    func() // told of a session that comes before the proof is booked
}

// Get gives the session of this turn.
func (t *ticketCache) Get(string) (*tls.ClientSessionState, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.offer
	t.offer, t.offered = nil, s
	return s, s != nil
}

// hasEarly reports whether a session has come in this handshake.
func (t *ticketCache) hasEarly() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.early != nil
}

// Put keeps a session that the partner gave.
func (t *ticketCache) Put(_ string, s *tls.ClientSessionState) {
	if s == nil {
		return
	}
	t.mu.Lock()
	early := t.validUntil.IsZero()
	if early { // TLS 1.2 gives it before the end of the handshake
		t.early = s
	}
	t.mu.Unlock()
	if early && t.onEarly != nil { // by the goroutine that reads
		t.onEarly()
	}
	if !early { // until does not change any more
		t.dialer.mu.Lock()
		defer t.dialer.mu.Unlock()
		t.store(s)
	}
}

// commit: the handshake is over. The caller holds the partners' mu. A TLS 1.2
// session that was resumed without a new one may be used again (RFC 5077 section
// 3.3).
func (t *ticketCache) commit(until time.Time, again bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.validUntil = until
	switch {
	case t.early != nil:
		t.store(t.early)
	case again && t.offered != nil:
		t.store(t.offered)
	}
	t.early, t.offered = nil, nil
}

func (t *ticketCache) store(s *tls.ClientSessionState) {
	if t.generation == t.rule.generation.Load() {
		t.dialer.sessions.Put(t.identity, s, t.dialer.options.Clock(), t.validUntil)
	}
}

// Conn is a connection to a partner that has proved who it is.
type Conn struct {
	*tls.Conn
	Resumed    bool
	records    *recordTracker
	raw        net.Conn
	endpoint   *Endpoint
	generation uint64
	validUntil time.Time
}

// Endpoint is whose it is.
func (c *Conn) Endpoint() *Endpoint { return c.endpoint }

// Raw is the connection below.
func (c *Conn) Raw() net.Conn { return c.raw }

// IdentityCurrent reports whether a call may begin on it: the proof is not over, and what
// it was judged by, and what was shown for it, is what holds now.
func (c *Conn) IdentityCurrent() bool {
	return c.generation == c.endpoint.rule.generation.Load() && c.endpoint.dialer.options.Clock().Before(c.validUntil)
}

// AtRecordBoundary reports whether no record is half read: what has come of one may be the
// end of the connection.
func (c *Conn) AtRecordBoundary() bool { return c.records.headerRead == 0 && c.records.bodyLeft == 0 }

// recordTracker watches where records begin and end in what is read (RFC 8446 section
// 5.1).
type recordTracker struct {
	net.Conn
	header     [5]byte
	headerRead int // bytes of the head
	bodyLeft   int // bytes of the record
}

// Read reads.
func (e *recordTracker) Read(b []byte) (int, error) {
	n, err := e.Conn.Read(b)
	for b := b[:n]; len(b) > 0; {
		if e.bodyLeft > 0 {
			k := min(e.bodyLeft, len(b))
			e.bodyLeft, b = e.bodyLeft-k, b[k:]
			continue
		}
		k := copy(e.header[e.headerRead:], b)
		e.headerRead, b = e.headerRead+k, b[k:]
		if e.headerRead == len(e.header) {
			e.headerRead, e.bodyLeft = 0, int(e.header[3])<<8|int(e.header[4])
		}
	}
	return n, err
}
