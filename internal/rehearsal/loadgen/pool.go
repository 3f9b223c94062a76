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
	maxReplyBytes   = 512
	replyBufferSize = 512
)

var errTimeout = errors.New("no answer in time")

// conn is a connection to a relay.
type conn struct {
	net.Conn
	reader   *bufio.Reader
	request  []byte // kept, so that the next one needs no new memory
	answered bool   // it has carried a reply
}

// roundTrip writes the connection's request and reads one reply. written says that the request
// was sent, also where the reply failed.
func (c *conn) roundTrip(deadline time.Time) (written bool, reply string, err error) {
	_ = c.SetDeadline(deadline) // fails with the write below
	if _, err := c.Write(c.request); err != nil {
		return false, "", asTimeout(err)
	}
	line, err := c.reader.ReadSlice('\n')
	if err != nil {
		return true, "", asTimeout(err)
	}
	if len(line) > maxReplyBytes {
		return true, "", fmt.Errorf("answer of %d bytes", len(line))
	}
	reply = strings.TrimRight(string(line), "\r\n")
	if reply != "" && reply[0] == '$' { // a bulk string
		n, err := strconv.Atoi(reply[1:])
		if err != nil || n < 0 || n > maxReplyBytes {
			return true, "", fmt.Errorf("answer %.40q", reply)
		}
		if _, err := io.CopyN(io.Discard, c.reader, int64(n)+2); err != nil {
			return true, "", asTimeout(err)
		}
	}
	return true, reply, nil
}

// asTimeout returns errTimeout for a timeout of a connection, and err otherwise.
func asTimeout(err error) error {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return errTimeout
	}
	return err
}

// pool keeps the connections to one relay.
type pool struct {
	addr     string
	slots    chan struct{} // holds one value for each connection that is open
	returned chan *conn    // to those who wait for a connection

	mu     sync.Mutex
	idle   []*conn
	open   []*conn
	closed bool
}

func newPool(addr string, maxConnections int) *pool {
	return &pool{addr: addr, slots: make(chan struct{}, maxConnections), returned: make(chan *conn)}
}

// acquire takes an idle connection, or opens one. It waits where too many are open.
func (p *pool) acquire(ctx context.Context, wait time.Duration) (c *conn, reused bool, err error) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		return c, true, nil
	}
	p.mu.Unlock()
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

// acquireNew opens a connection, also where one is idle.
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

// dial opens a connection, for which the caller has taken a slot.
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

// release gives a connection back, to one who waits for it or to the idle ones.
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

// discard closes a connection and frees its slot.
func (p *pool) discard(c *conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.open, c); i >= 0 {
		p.open = slices.Delete(p.open, i, i+1)
		<-p.slots
	}
}

// close closes all connections. No other is opened any more.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.open {
		_ = c.Close()
	}
}
