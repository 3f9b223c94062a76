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

	"troutusher/decide"
	"troutusher/internal/gate"
	"troutusher/internal/secure"
)

// The connections to endpoints. They are our own, and not net/http's, for what
// must be certain of each call: whether its last byte was written, that the
// answer read is its own, and that nothing of it goes on once it is over.

const (
	poolSweep = 500 * time.Millisecond
	// What an endpoint sends behind an answer comes with it or straight after;
	// a connection is not used again before that could be seen.
	poolSettle = 5 * time.Millisecond
	poolMoment = 3 * time.Millisecond
)

var (
	errNoRoom = errors.New("no descriptor for another connection")
	errTooBig = errors.New("more bytes than an answer may have")
)

// pool keeps the connections of all endpoints within one number.
type pool struct {
	connect time.Duration
	keep    time.Duration
	most    int
	moment  time.Duration // before a call's last byte

	now func() decide.Time // the relay's clock

	mu   sync.Mutex
	open int         // dialled, in use or idle
	idle []*poolConn // the one idle for longest first

	scopes map[scope]*gate.Scope // the loop's
}

// idleMargin is how much of an endpoint's keep-alive is left unused. The endpoint
// counts from when it wrote its answer, and ours from when that was booked; then
// the next call has its way as well: both ways and a late turn of a core of which a
// part is ours, whatever the keep-alive is, and a tenth of a long one.
func idleMargin(keep time.Duration) time.Duration {
	return max(keep/10, min(keep/3, 250*time.Millisecond))
}

// scope is what one wait binds: a destination, or an endpoint where they are
// routes apart.
type scope struct {
	dest  int
	route decide.EndpointID // 0 for a destination
}

// scope gives the gates' of a destination or a route. It outlasts the homes
// there, since a wait does.
func (p *pool) scope(at scope) *gate.Scope {
	s := p.scopes[at]
	if s == nil {
		s = &gate.Scope{}
		p.scopes[at] = s
	}
	return s
}

// forget lets go of a route for good. A destination's scope stays, like all else
// that is known of one.
func (p *pool) forget(route decide.EndpointID) { delete(p.scopes, scope{route: route}) }

// rest lets go of a destination's scope: nothing is at its endpoints, and what
// binds them is told anew as it wakes.
func (p *pool) rest(dest int) { delete(p.scopes, scope{dest: dest}) }

// home is one endpoint's part of the pool.
type home struct {
	pool   *pool
	gate   *gate.Gate
	addr   string
	dial   func(ctx context.Context, addr string) (net.Conn, error)
	peer   *secure.Peer // nil where it is reached without TLS
	closed bool         // under the pool's lock: nothing is kept any more
	// Of one that is reached over TLS, under the pool's lock: closed where who
	// waits for a connection should look again; how many wait, and how many are
	// being opened.
	news             chan struct{}
	waiting, opening int
}

// poolConn is one connection, held by one call or idle.
type poolConn struct {
	net.Conn
	tls  *secure.Conn // the same, where it is one
	home *home
	in   *bufio.Reader
	left int64 // bytes that may still be read for the answer
	used bool  // by a call; one without TLS is used as soon as it is open
	at   time.Time
}

// Read bounds what an answer may bring.
func (c *poolConn) Read(b []byte) (int, error) {
	if c.left <= 0 {
		return 0, errTooBig
	}
	n, err := c.Conn.Read(b[:min(int64(len(b)), c.left)])
	c.left -= int64(n)
	return n, err
}

func newPool(connect, keep time.Duration, most int) *pool {
	began := time.Now()
	return &pool{connect: connect, keep: keep, most: most, moment: poolMoment, scopes: map[scope]*gate.Scope{},
		now: func() decide.Time { return time.Since(began).Microseconds() }}
}

// home makes one with a gate of its own.
func (p *pool) home(addr string) *home {
	d := &net.Dialer{Timeout: p.connect, KeepAlive: -1}
	return &home{pool: p, gate: new(gate.Scope).Gate(), addr: addr, dial: func(ctx context.Context, addr string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", addr)
	}}
}

// run closes what has been idle for too long, or was closed or written to by
// its endpoint, until ctx ends.
func (p *pool) run(ctx context.Context) {
	tick := time.NewTicker(poolSweep)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			p.sweep(func(*poolConn) bool { return true })
			return
		case now := <-tick.C:
			p.sweep(func(c *poolConn) bool { return p.stale(c, now) || !c.clean() })
		}
	}
}

func (p *pool) stale(c *poolConn, now time.Time) bool { return p.keep > 0 && now.Sub(c.at) >= p.keep }

// sweep closes the idle connections that bad names.
func (p *pool) sweep(bad func(*poolConn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if bad(c) {
			p.shut(c)
		} else {
			kept = append(kept, c)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// shut closes a connection; the caller holds mu.
func (p *pool) shut(c *poolConn) {
	c.Conn.Close()
	p.open--
	c.home.tell()
}

// drop closes a connection that a call held. Over TLS no farewell is written:
// it could wait for a partner that reads nothing.
func (c *poolConn) drop() {
	p := c.home.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.tls != nil {
		c.tls.Raw().Close()
	}
	p.shut(c)
}

// tell has those look again who wait for a connection there. The caller holds
// the pool's lock.
func (h *home) tell() {
	if h.news != nil {
		close(h.news)
		h.news = nil
	}
}

// take gives the connection used last of those that are idle and clean, if
// there is one; else the moment from which one may be that is too fresh. spoilt
// is how many had never been used and are of no use already. The caller holds the
// pool's lock.
func (h *home) take(now time.Time) (c *poolConn, fresh time.Time, spoilt int) {
	p := h.pool
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if c.home != h {
			continue
		}
		if now.Sub(c.at) < poolSettle {
			fresh = c.at.Add(poolSettle)
			continue
		}
		p.idle = append(p.idle[:i], p.idle[i+1:]...)
		if !p.stale(c, now) && c.clean() {
			c.used = true
			return c, fresh, spoilt
		}
		if !c.used && c.tls.Fresh() {
			spoilt++
		}
		p.shut(c)
	}
	return nil, fresh, spoilt
}

// room makes room for another connection. The caller holds the pool's lock.
func (p *pool) room() bool {
	if p.open >= p.most { // the one that was idle for longest makes room, whosever it is
		if len(p.idle) == 0 {
			return false
		}
		p.shut(p.idle[0])
		p.idle = append(p.idle[:0], p.idle[1:]...)
	}
	p.open++
	return true
}

// get gives a connection that is idle and clean, or a new one.
func (h *home) get(ctx context.Context, w *want) (*poolConn, error) {
	if h.peer != nil {
		return h.getSecure(ctx, w)
	}
	p := h.pool
	p.mu.Lock()
	c, _, _ := h.take(time.Now())
	if c != nil || !p.room() {
		p.mu.Unlock()
		if c == nil {
			return nil, errNoRoom
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
	c = &poolConn{Conn: conn, home: h, used: true}
	c.in = bufio.NewReader(c)
	return c, nil
}

// put gives a connection back after a call whose answer was read to its end.
func (c *poolConn) put() {
	c.SetDeadline(time.Time{})
	p := c.home.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.home.closed || !c.clean() {
		p.shut(c)
		return
	}
	c.at = time.Now()
	p.idle = append(p.idle, c)
	c.home.tell()
}

// closeIdle gives up the idle connections.
func (h *home) closeIdle() { h.pool.sweep(func(c *poolConn) bool { return c.home == h }) }

// close gives them up for good: what calls still hold goes as they end, and
// none begins.
func (h *home) close() {
	h.gate.Close()
	h.pool.mu.Lock()
	h.closed = true
	h.pool.mu.Unlock()
	h.closeIdle()
	if h.peer != nil {
		h.peer.Close()
	}
}

// clean reports whether nothing waits to be read: whatever comes before a
// call's last byte is written is no answer to it, and an end is the
// connection's end.
func (c *poolConn) clean() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	if c.tls != nil {
		return c.cleanTLS()
	}
	return quiet(c.Conn)
}

// quiet reports whether a socket has nothing to read.
func quiet(conn net.Conn) bool {
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
func (p *pool) counts() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle)
}

// write sends a whole request but for its last byte, makes sure that nothing
// has come yet, and then sends that. An error means that the last byte was not
// written: the call never ran; with clean, no byte was. It is the one place where
// bytes of a request go out, and the gate is asked before the first and the last.
//
// There is a moment before that byte: a connection that its endpoint has
// dropped in silence, or drops now, is reset as soon as anything reaches it,
// and shows so while it is still certain that the call has not run.
func (c *poolConn) write(ctx context.Context, pass *gate.Pass, text []byte) (clean bool, err error) {
	last := len(text) - 1
	if err := pass.First(c.home.pool.now()); err != nil {
		return true, err
	}
	if _, err := c.Conn.Write(text[:last]); err != nil {
		return false, err
	}
	c.SetReadDeadline(time.Now().Add(c.home.pool.moment))
	if _, err := c.in.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		return false, cmp.Or(err, errUnasked)
	}
	c.SetReadDeadline(time.Time{})
	if err := ctx.Err(); err != nil { // its deadline may be the one just cleared
		return false, err
	}
	if !c.clean() {
		return false, errUnasked
	}
	if err := cmp.Or(ctx.Err(), pass.Last(c.home.pool.now())); err != nil { // the first: likewise
		return false, err
	}
	_, err = c.Conn.Write(text[last:])
	return false, err
}

var errUnasked = errors.New("connection ended or brought bytes before the call was written")

// firstLine waits for an answer's first line and leaves it where it is.
func firstLine(in *bufio.Reader) (string, error) {
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

// statusOf reads the code in a first line.
func statusOf(line string) (int, error) {
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
