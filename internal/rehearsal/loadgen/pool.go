package loadgen

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxReplyBytes   = 512 // of a line, and of a bulk string
	replyBufferSize = 512
)

var (
	errTimeout      = errors.New("no reply within the timeout")
	errNoConnection = errors.New("the relay shuts down, and no connection to it is idle")
)

// conn is a client connection to a relay.
type conn struct {
	net.Conn
	reader   *bufio.Reader
	request  []byte // reused by each request to avoid an allocation
	answered bool   // a reply was received on this connection
	sent     uint64 // bytes written to it
}

// roundTrip writes c.request and reads one reply. written reports whether the request was
// written completely, also when reading the reply failed.
func (c *conn) roundTrip(deadline time.Time) (written bool, reply string, err error) {
	_ = c.SetDeadline(deadline) // if it fails, so does the write below
	n, err := c.Write(c.request)
	c.sent += uint64(n)
	if err != nil {
		return false, "", asTimeout(err)
	}
	line, err := c.reader.ReadSlice('\n')
	if err != nil {
		return true, "", asTimeout(err)
	}
	if len(line) > maxReplyBytes {
		return true, "", fmt.Errorf("read reply: line has %d bytes, want at most %d", len(line), maxReplyBytes)
	}
	reply = strings.TrimRight(string(line), "\r\n")
	if reply != "" && reply[0] == '$' { // a bulk string
		n, err := strconv.Atoi(reply[1:])
		if err != nil || n < 0 || n > maxReplyBytes {
			return true, "", fmt.Errorf("read reply: bulk string length %.40q, want 0 to %d", reply[1:], maxReplyBytes)
		}
		if _, err := io.CopyN(io.Discard, c.reader, int64(n)+2); err != nil {
			return true, "", asTimeout(err)
		}
	}
	return true, reply, nil
}

// asTimeout returns errTimeout if err is a network timeout, and err otherwise.
func asTimeout(err error) error {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return errTimeout
	}
	return err
}

// pool is a connection pool for one relay.
type pool struct {
	addr     string
	slots    chan struct{} // holds one value for each open connection
	returned chan *conn    // hands a released connection to a waiting acquire

	mu     sync.Mutex
	idle   []*conn
	open   []*conn // all connections, idle or in use
	closed bool
}

func newPool(addr string, maxConnections int) *pool {
	return &pool{addr: addr, slots: make(chan struct{}, maxConnections), returned: make(chan *conn)}
}

// acquire returns an idle connection, or opens one. If the maximum is open, it waits up to wait
// for a connection to be released. reused reports whether the connection was used before.
func (p *pool) acquire(ctx context.Context, wait time.Duration) (c *conn, reused bool, err error) {
	if c := p.acquireIdle(); c != nil {
		return c, true, nil
	}
	select {
	case p.slots <- struct{}{}:
		return p.dial(ctx, wait)
	default:
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case c := <-p.returned:
		return c, true, nil
	case p.slots <- struct{}{}:
		return p.dial(ctx, wait)
	case <-timer.C:
		return nil, false, errTimeout
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
}

// acquireNew opens a connection even if one is idle. If the maximum is open, it waits up to
// wait for one to be closed.
func (p *pool) acquireNew(ctx context.Context, wait time.Duration) (*conn, bool, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case p.slots <- struct{}{}:
		return p.dial(ctx, wait)
	case <-timer.C:
		return nil, false, errTimeout
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
}

// dial opens a connection. The caller has taken a slot for it; dial frees the slot on failure.
func (p *pool) dial(ctx context.Context, wait time.Duration) (*conn, bool, error) {
	dialer := net.Dialer{Timeout: wait}
	netConn, err := dialer.DialContext(ctx, "tcp4", p.addr)
	if err != nil {
		<-p.slots
		return nil, false, err
	}
	c := &conn{Conn: netConn, reader: bufio.NewReaderSize(netConn, replyBufferSize)}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = netConn.Close()
		<-p.slots
		return nil, false, net.ErrClosed
	}
	p.open = append(p.open, c)
	return c, false, nil
}

// hasIdle reports whether a connection is idle.
func (p *pool) hasIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0
}

// acquireIdle returns an idle connection, or nil if there is none.
func (p *pool) acquireIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

// release returns a connection to the pool: to a waiting acquire if there is one, else to the
// idle connections.
func (p *pool) release(c *conn) {
	select {
	case p.returned <- c:
		return
	default:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

// discard closes a connection, removes it from the pool and frees its slot.
func (p *pool) discard(c *conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.open, c); i >= 0 {
		p.open = slices.Delete(p.open, i, i+1)
		<-p.slots
	}
}

// close closes all connections. After it, the pool opens no new connection.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.open {
		_ = c.Close()
	}
}
