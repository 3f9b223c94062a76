package secure

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

	"troutusher/internal/keys"
	"troutusher/internal/tlspolicy"
)

// Turn is leave for one handshake. It is used once, by Shake or Abandon.
type Turn struct {
	e       *Peer
	set     *keys.Set
	gen     uint64
	id      tlspolicy.Identity
	started tlspolicy.Started
	kind    tlspolicy.Kind
	session *tls.ClientSessionState
	until   time.Time
}

// Timeout is how long the handshake may take, connecting included.
func (t *Turn) Timeout() time.Duration { return t.e.p.timeout }

// Abandon gives a turn back: no connection came up.
func (t *Turn) Abandon() {
	p := t.e.p
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.budget.End(t.started, 0, false, now)
	p.broke(t.e)
	if t.session != nil && t.gen == t.e.rule.gen.Load() { // it was not shown to anybody
		p.sessions.Restore(t.id, t.session, p.o.Clock(), t.until)
	}
}

// broke books a handshake without a proof. The caller holds mu.
func (p *Partners) broke(e *Peer) {
	p.counts.Broken++
	p.book.Broke(e.id())
	if f, _ := p.book.Out(e.id()); f != nil { // the schedule goes on
		p.retry(e, time.Second)
	}
}

// Shake makes the handshake over a connection. With an error the connection is
// closed and nothing but the handshake was sent: *Out where the proof was not
// accepted.
func (t *Turn) Shake(ctx context.Context, raw net.Conn) (*Conn, error) {
	e, p := t.e, t.e.p
	c := &Conn{edge: &edge{Conn: raw}, raw: raw, peer: e, gen: t.gen}
	var failure *tlspolicy.Failure
	asked := false // for our certificate
	verify := func(cs tls.ConnectionState) (*tlspolicy.Proof, *tlspolicy.Failure) {
		set := e.rule.store.Current()
		policy := e.rule.policy
		policy.Roots = set.Roots
		return policy.Verify(cs.PeerCertificates, p.o.Clock(), &tlspolicy.Evidence{Staple: cs.OCSPResponse, Lists: set.Lists})
	}
	cache := &tickets{p: p, id: t.id, gen: t.gen, rule: e.rule, offer: t.session}
	cfg := &tls.Config{ServerName: e.rule.policy.ServerName, MinVersion: tls.VersionTLS12, MaxVersion: tls.VersionTLS13, Time: p.o.Clock,
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
			c.until = proof.Until
			return nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			asked = true
			if t.set.Own == nil {
				return &tls.Certificate{}, nil
			}
			return t.set.Own, nil
		}}
	if e.rule.set.MinVersion == "1.3" {
		cfg.MinVersion = tls.VersionTLS13
	}
	c.Conn = tls.Client(c.edge, cfg)
	// A thread of its own, for its processor time: that of the process would
	// count the calls meanwhile.
	runtime.LockOSThread()
	began := threadTime()
	err := c.Conn.HandshakeContext(ctx)
	took := threadTime() - began
	runtime.UnlockOSThread()
	var cs tls.ConnectionState
	if err == nil {
		cs = c.Conn.ConnectionState()
		c.Resumed = cs.DidResume
		if asked && cs.Version == tls.VersionTLS13 {
			err = c.accepted(cache)
		}
	}
	if err == nil {
		if e.rule.gen.Load() != t.gen { // trust changed meanwhile
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
	p.budget.End(t.started, took, err == nil && c.Resumed == (t.kind == tlspolicy.Resumed), time.Now())
	if err == nil {
		p.proved(e, c)
		cache.proved(c.until, c.Resumed && cs.Version == tls.VersionTLS12)
		return c, nil
	}
	if failure == nil {
		if cause, ok := causeOf(err); ok {
			if asked && cause == tlspolicy.NothingCommon {
				cause = tlspolicy.RefusesUs // RFC 5246 section 7.4.6: its word for a certificate that is missing
			}
			failure = &tlspolicy.Failure{Cause: cause, Rule: e.rule.set.Name, Err: err}
		} else if !accident(ctx, err) {
			failure = &tlspolicy.Failure{Cause: tlspolicy.NothingCommon, Rule: e.rule.set.Name, Err: err}
		}
	}
	if failure != nil {
		return nil, p.failed(e, failure)
	}
	p.broke(e)
	return nil, err
}

// confirmWait is how long a partner that asked for our certificate has to refuse
// it before a call is trusted to the connection.
const confirmWait = 100 * time.Millisecond

// accepted gives a partner that asked for our certificate a moment to refuse it.
// With TLS 1.3 the handshake is over here before it has looked at ours (RFC 8446
// section 4.4.2.4); a new session is its word that it has.
func (c *Conn) accepted(cache *tickets) error {
	c.SetReadDeadline(time.Now().Add(confirmWait))
	defer c.SetReadDeadline(time.Time{})
	cache.arrived = func() { c.SetReadDeadline(time.Unix(1, 0)) } // which ends the read below
	defer func() { cache.arrived = nil }()
	for !cache.given() {
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

// proved books a proof. The caller holds mu.
func (p *Partners) proved(e *Peer, c *Conn) {
	if c.Resumed {
		p.counts.Resumed++
	} else {
		p.counts.Full++
	}
	if e.closed {
		return
	}
	was, _ := p.book.Out(e.id())
	if said := p.book.Proved(e.id(), &tlspolicy.Proof{Until: c.until}); said != "" {
		p.o.Log.Info("tls: "+string(said), "endpoint", e.endpoint, "dest", e.dest, "rule", e.rule.set.Name)
	}
	if was != nil {
		e.stop()
		p.o.Barred(e.endpoint, 0)
	}
	if old := e.rule.end.Load(); old == 0 || c.until.Unix() < old || old < p.o.Clock().Unix() {
		e.rule.end.Store(c.until.Unix())
	}
	rule, until := e.rule, c.until
	if until.Sub(p.o.Clock()) <= rule.set.ExpiryWarning() {
		go p.warn(rule, "a partner's certificate", until)
	}
}

// threadTime is the processor time of the thread that calls.
func threadTime() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts) != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// tickets is the session cache as one connection's crypto/tls sees it: it finds
// the one session of its turn, once, and what it keeps goes under its own
// identity.
type tickets struct {
	p    *Partners
	id   tlspolicy.Identity
	gen  uint64
	rule *rule

	mu      sync.Mutex
	offer   *tls.ClientSessionState
	offered *tls.ClientSessionState
	until   time.Time // of the proof; zero before it
	early   *tls.ClientSessionState
	arrived func() // told of a session that comes before the proof is booked
}

// Get gives the session of this turn.
func (t *tickets) Get(string) (*tls.ClientSessionState, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.offer
	t.offer, t.offered = nil, s
	return s, s != nil
}

// given reports whether a session has come in this handshake.
func (t *tickets) given() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.early != nil
}

// Put keeps a session that the partner gave.
func (t *tickets) Put(_ string, s *tls.ClientSessionState) {
	if s == nil {
		return
	}
	t.mu.Lock()
	early := t.until.IsZero()
	if early { // TLS 1.2 gives it before the end of the handshake
		t.early = s
	}
	t.mu.Unlock()
	if early && t.arrived != nil { // by the goroutine that reads
		t.arrived()
	}
	if !early { // until does not change any more
		t.p.mu.Lock()
		defer t.p.mu.Unlock()
		t.keep(s)
	}
}

// proved: the handshake is over. The caller holds the partners' mu. A TLS 1.2
// session that was resumed without a new one may be used again (RFC 5077 section
// 3.3).
func (t *tickets) proved(until time.Time, again bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.until = until
	switch {
	case t.early != nil:
		t.keep(t.early)
	case again && t.offered != nil:
		t.keep(t.offered)
	}
	t.early, t.offered = nil, nil
}

func (t *tickets) keep(s *tls.ClientSessionState) {
	if t.gen == t.rule.gen.Load() {
		t.p.sessions.Put(t.id, s, t.p.o.Clock(), t.until)
	}
}

// Conn is a connection to a partner that has proved who it is.
type Conn struct {
	*tls.Conn
	Resumed bool
	edge    *edge
	raw     net.Conn
	peer    *Peer
	gen     uint64
	until   time.Time
}

// Peer is whose it is.
func (c *Conn) Peer() *Peer { return c.peer }

// Raw is the connection below.
func (c *Conn) Raw() net.Conn { return c.raw }

// Fresh reports whether a call may begin on it: the proof is not over, and what
// it was judged by, and what was shown for it, is what holds now.
func (c *Conn) Fresh() bool {
	return c.gen == c.peer.rule.gen.Load() && c.peer.p.o.Clock().Before(c.until)
}

// Whole reports whether no record is half read: what has come of one may be the
// end of the connection.
func (c *Conn) Whole() bool { return c.edge.have == 0 && c.edge.left == 0 }

// edge watches where records begin and end in what is read (RFC 8446 section
// 5.1).
type edge struct {
	net.Conn
	head [5]byte
	have int // bytes of the head
	left int // bytes of the record
}

// Read reads.
func (e *edge) Read(b []byte) (int, error) {
	n, err := e.Conn.Read(b)
	for b := b[:n]; len(b) > 0; {
		if e.left > 0 {
			k := min(e.left, len(b))
			e.left, b = e.left-k, b[k:]
			continue
		}
		k := copy(e.head[e.have:], b)
		e.have, b = e.have+k, b[k:]
		if e.have == len(e.head) {
			e.have, e.left = 0, int(e.head[3])<<8|int(e.head[4])
		}
	}
	return n, err
}
