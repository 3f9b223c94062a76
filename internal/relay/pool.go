package relay

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"troutusher/internal/sendgate"
	"troutusher/internal/tlsdial"
	"troutusher/policy"
)

// The connections to endpoints. They are our own, and not net/http's, for what
// must be certain of each call: whether its last byte was written, that the
// answer read is its own, and that nothing of it goes on once it is over.

const (
	idleCheckInterval = 500 * time.Millisecond
	// What an endpoint sends behind an answer comes with it or straight after;
	// a connection is not used again before that could be seen.
	reuseDelay             = 5 * time.Millisecond
	defaultStaleCheckDelay = 3 * time.Millisecond
)

var (
	errPoolFull         = errors.New("no descriptor for another connection")
	errResponseTooLarge = errors.New("more bytes than an answer may have")
)

// Pool keeps the connections of all endpoints within one number.
type Pool struct {
	connectTimeout  time.Duration
	idleTimeout     time.Duration
	maxConns        int
	staleCheckDelay time.Duration // before a call's last byte

	now func() policy.Time // the relay's clock

	mu   sync.Mutex
	open int         // dialled, in use or idle
	idle []*poolConn // the one idle for longest first

	scopes map[scopeKey]*sendgate.Scope // the loop's
}

// IdleMargin is how much of an endpoint's keep-alive is left unused. The endpoint
// counts from when it wrote its answer, and ours from when that was booked; then
// the next call has its way as well: both ways and a late turn of a core of which a
// part is ours, whatever the keep-alive is, and a tenth of a long one.
func IdleMargin(keep time.Duration) time.Duration {
	return max(keep/10, min(keep/3, 250*time.Millisecond))
}

// scopeKey is what one wait binds: a destination, or an endpoint where they are
// routes apart.
type scopeKey struct {
	dest  int
	route policy.EndpointID // 0 for a destination
}

// scope gives the gates' of a destination or a route. It outlasts the homes
// there, since a wait does.
func (p *Pool) scope(at scopeKey) *sendgate.Scope {
	s := p.scopes[at]
	if s == nil {
		s = &sendgate.Scope{}
		p.scopes[at] = s
	}
	return s
}

// ForgetRoute lets go of a route for good. A destination's scope stays, like all else
// that is known of one.
func (p *Pool) ForgetRoute(route policy.EndpointID) { delete(p.scopes, scopeKey{route: route}) }

// ForgetDestination lets go of a destination's scope: nothing is at its endpoints, and what
// binds them is told anew as it wakes.
func (p *Pool) ForgetDestination(dest int) { delete(p.scopes, scopeKey{dest: dest}) }

// Endpoint is one endpoint's part of the pool.
type Endpoint struct {
	pool   *Pool
	gate   *sendgate.Gate
	addr   string
	dial   func(ctx context.Context, addr string) (net.Conn, error)
	peer   *tlsdial.Endpoint // nil where it is reached without TLS
	closed bool              // under the pool's lock: nothing is kept any more
	// Of one that is reached over TLS, under the pool's lock: closed where who
	// waits for a connection should look again; how many wait, and how many are
	// being opened.
	connChanged         chan struct{}
	waiters, connecting int
}

// poolConn is one connection, held by one call or idle.
type poolConn struct {
	net.Conn
	tls       *tlsdial.Conn // the same, where it is one
	endpoint  *Endpoint
	reader    *bufio.Reader
	remaining int64 // bytes that may still be read for the answer
	used      bool  // by a call; one without TLS is used as soon as it is open
	idleSince time.Time
}

// Read bounds what an answer may bring.
func (c *poolConn) Read(b []byte) (int, error) {
	if c.remaining <= 0 {
		return 0, errResponseTooLarge
	}
	n, err := c.Conn.Read(b[:min(int64(len(b)), c.remaining)])
	c.remaining -= int64(n)
	return n, err
}

func NewPool(connect, keep time.Duration, most int) *Pool {
	began := time.Now()
	return &Pool{connectTimeout: connect, idleTimeout: keep, maxConns: most, staleCheckDelay: defaultStaleCheckDelay, scopes: map[scopeKey]*sendgate.Scope{},
		now: func() policy.Time { return time.Since(began).Microseconds() }}
}

// newEndpoint makes one with a gate of its own.
func (p *Pool) newEndpoint(addr string) *Endpoint {
	d := &net.Dialer{Timeout: p.connectTimeout, KeepAlive: -1}
	return &Endpoint{pool: p, gate: new(sendgate.Scope).Gate(), addr: addr, dial: func(ctx context.Context, addr string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", addr)
	}}
}

// Run closes what has been idle for too long, or was closed or written to by
// its endpoint, until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	tick := time.NewTicker(idleCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			p.closeIdleIf(func(*poolConn) bool { return true })
			return
		case now := <-tick.C:
			p.closeIdleIf(func(c *poolConn) bool { return p.expired(c, now) || !c.reusable() })
		}
	}
}

func (p *Pool) expired(c *poolConn, now time.Time) bool {
	return p.idleTimeout > 0 && now.Sub(c.idleSince) >= p.idleTimeout
}

// closeIdleIf closes the idle connections that bad names.
func (p *Pool) closeIdleIf(bad func(*poolConn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if bad(c) {
			p.closeLocked(c)
		} else {
			kept = append(kept, c)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// closeLocked closes a connection; the caller holds mu.
func (p *Pool) closeLocked(c *poolConn) {
	c.Conn.Close()
	p.open--
	c.endpoint.notifyWaiters()
}

// discard closes a connection that a call held. Over TLS no farewell is written:
// it could wait for a partner that reads nothing.
func (c *poolConn) discard() {
	p := c.endpoint.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.tls != nil {
		c.tls.Raw().Close()
	}
	p.closeLocked(c)
}

// notifyWaiters has those look again who wait for a connection there. The caller holds
// the pool's lock.
func (h *Endpoint) notifyWaiters() {
	if h.connChanged != nil {
		close(h.connChanged)
		h.connChanged = nil
	}
}

// takeIdle gives the connection used last of those that are idle and clean, if
// there is one; else the moment from which one may be that is too fresh. spoilt
// is how many had never been used and are of no use already. The caller holds the
// pool's lock.
func (h *Endpoint) takeIdle(now time.Time) (c *poolConn, fresh time.Time, spoilt int) {
	p := h.pool
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if c.endpoint != h {
			continue
		}
		if now.Sub(c.idleSince) < reuseDelay {
			fresh = c.idleSince.Add(reuseDelay)
			continue
		}
		p.idle = append(p.idle[:i], p.idle[i+1:]...)
		if !p.expired(c, now) && c.reusable() {
			c.used = true
			return c, fresh, spoilt
		}
		if !c.used && c.tls.IdentityCurrent() {
			spoilt++
		}
		p.closeLocked(c)
	}
	return nil, fresh, spoilt
}

// reserveLocked makes room for another connection. The caller holds the pool's lock.
func (p *Pool) reserveLocked() bool {
	if p.open >= p.maxConns { // the one that was idle for longest makes room, whosever it is
		if len(p.idle) == 0 {
			return false
		}
		p.closeLocked(p.idle[0])
		p.idle = append(p.idle[:0], p.idle[1:]...)
	}
	p.open++
	return true
}

// acquire gives a connection that is idle and clean, or a new one.
func (h *Endpoint) acquire(ctx context.Context, w *connRequest) (*poolConn, error) {
	if h.peer != nil {
		return h.acquireTLS(ctx, w)
	}
	p := h.pool
	p.mu.Lock()
	c, _, _ := h.takeIdle(time.Now())
	if c != nil || !p.reserveLocked() {
		p.mu.Unlock()
		if c == nil {
			return nil, errPoolFull
		}
		return c, nil
	}
	p.mu.Unlock()
	conn, err := h.dial(ctx, h.addr)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	c = &poolConn{Conn: conn, endpoint: h, used: true}
	c.reader = bufio.NewReader(c)
	return c, nil
}

// release gives a connection back after a call whose answer was read to its end.
func (c *poolConn) release() {
	c.SetDeadline(time.Time{})
	p := c.endpoint.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.endpoint.closed || !c.reusable() {
		p.closeLocked(c)
		return
	}
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
	c.endpoint.notifyWaiters()
}

// CloseIdle gives up the idle connections.
func (h *Endpoint) CloseIdle() { h.pool.closeIdleIf(func(c *poolConn) bool { return c.endpoint == h }) }

// Close gives them up for good: what calls still hold goes as they end, and
// none begins.
func (h *Endpoint) Close() {
	h.gate.Close()
	h.pool.mu.Lock()
	h.closed = true
	h.pool.mu.Unlock()
	h.CloseIdle()
	if h.peer != nil {
		h.peer.Close()
	}
}

// reusable reports whether nothing waits to be read: whatever comes before a
// call's last byte is written is no answer to it, and an end is the
// connection's end.
func (c *poolConn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if c.tls != nil {
		return c.reusableTLS()
	}
	return noPendingInput(c.Conn)
}

// noPendingInput reports whether a socket has nothing to read.
func noPendingInput(conn net.Conn) bool {
	s, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	none := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		none = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && none
}

// counts is for tests and the log.
func (p *Pool) counts() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle)
}

// writeRequest sends a whole request but for its last byte, makes sure that nothing
// has come yet, and then sends that. An error means that the last byte was not
// written: the call never ran; with clean, no byte was. It is the one place where
// bytes of a request go out, and the gate is asked before the first and the last.
//
// There is a moment before that byte: a connection that its endpoint has
// dropped in silence, or drops now, is reset as soon as anything reaches it,
// and shows so while it is still certain that the call has not run.
func (c *poolConn) writeRequest(ctx context.Context, pass *sendgate.Permit, text []byte) (clean bool, err error) {
	last := len(text) - 1
	if err := pass.AllowFirstByte(c.endpoint.pool.now()); err != nil {
		return true, err
	}
	if _, err := c.Conn.Write(text[:last]); err != nil {
		return false, err
	}
	c.SetReadDeadline(time.Now().Add(c.endpoint.pool.staleCheckDelay))
	if _, err := c.reader.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		return false, cmp.Or(err, errStaleConn)
	}
	c.SetReadDeadline(time.Time{})
	if err := ctx.Err(); err != nil { // its deadline may be the one just cleared
		return false, err
	}
	if !c.reusable() {
		return false, errStaleConn
	}
	if err := cmp.Or(ctx.Err(), pass.AllowLastByte(c.endpoint.pool.now())); err != nil { // the first: likewise
		return false, err
	}
	_, err = c.Conn.Write(text[last:])
	return false, err
}

var errStaleConn = errors.New("connection ended or brought bytes before the call was written")

// peekStatusLine waits for an answer's first line and leaves it where it is.
func peekStatusLine(in *bufio.Reader) (string, error) {
	for n := 1; ; n = in.Buffered() + 1 {
		if _, err := in.Peek(n); err != nil {
			return "", err
		}
		have, _ := in.Peek(in.Buffered())
		for i, b := range have {
			if b == '\n' {
				return string(have[:i]), nil
			}
		}
	}
}

// parseStatus reads the code in a first line.
func parseStatus(line string) (int, error) {
	if len(line) < 12 || line[:7] != "HTTP/1." || line[7] < '0' || line[7] > '1' || line[8] != ' ' ||
		len(line) > 12 && line[12] != ' ' && line[12] != '\r' {
		return 0, fmt.Errorf("first line %.40q", line)
	}
	code := 0
	for _, d := range []byte(line[9:12]) {
		if d < '0' || d > '9' {
			return 0, fmt.Errorf("first line %.40q", line)
		}
		code = code*10 + int(d-'0')
	}
	if code < 100 {
		return 0, fmt.Errorf("first line %.40q", line)
	}
	return code, nil
}

// skipHead reads past the head of an answer that is not the last one.
func skipHead(in *bufio.Reader) error {
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(line) <= 2 && (len(line) == 1 || line[0] == '\r') {
			return nil
		}
	}
}
