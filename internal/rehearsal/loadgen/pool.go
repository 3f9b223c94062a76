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

var errTimeout = errors.New("no answer in time")

// conn is a kept connection to a relay.
type conn struct {
	net.Conn
	in   *bufio.Reader
	text []byte
	used bool // it has carried an answer
}

// ask writes the connection's text and reads one answer line.
func (c *conn) ask(limit time.Time) (written bool, reply string, err error) {
	_ = c.SetDeadline(limit) // fails with the write below
	if _, err := c.Write(c.text); err != nil {
		return false, "", timeout(err)
	}
	line, err := c.in.ReadSlice('\n')
	if err != nil {
		return true, "", timeout(err)
	}
	if len(line) > linesMost {
		return true, "", fmt.Errorf("answer of %d bytes", len(line))
	}
	reply = strings.TrimRight(string(line), "\r\n")
	if reply != "" && reply[0] == '$' { // a bulk string
		n, err := strconv.Atoi(reply[1:])
		if err != nil || n < 0 || n > linesMost {
			return true, "", fmt.Errorf("answer %.40q", reply)
		}
		if _, err := io.CopyN(io.Discard, c.in, int64(n)+2); err != nil {
			return true, "", timeout(err)
		}
	}
	return true, reply, nil
}

func timeout(err error) error {
	var t net.Error
	if errors.As(err, &t) && t.Timeout() {
		return errTimeout
	}
	return err
}

// pool keeps the connections to one relay.
type pool struct {
	addr string
	free chan struct{} // a place for each connection that may be open
	back chan *conn    // to those who wait for one

	mu     sync.Mutex
	idle   []*conn
	all    []*conn
	closed bool
}

// get takes a kept connection, or opens one.
func (p *pool) get(ctx context.Context, wait time.Duration) (c *conn, kept bool, err error) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		return c, true, nil
	}
	p.mu.Unlock()
	select {
	case p.free <- struct{}{}:
		return p.open(ctx, wait)
	default:
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case c := <-p.back:
		return c, true, nil
	case p.free <- struct{}{}:
		return p.open(ctx, wait)
	case <-timer.C:
		return nil, false, errTimeout
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
}

// dial opens a connection whatever is kept.
func (p *pool) dial(ctx context.Context, wait time.Duration) (*conn, bool, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case p.free <- struct{}{}:
		return p.open(ctx, wait)
	case <-timer.C:
		return nil, false, errTimeout
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
}

// open opens a connection in a place that is taken already.
func (p *pool) open(ctx context.Context, wait time.Duration) (*conn, bool, error) {
	dialer := net.Dialer{Timeout: wait}
	n, err := dialer.DialContext(ctx, "tcp4", p.addr)
	if err != nil {
		<-p.free
		return nil, false, err
	}
	c := &conn{Conn: n, in: bufio.NewReaderSize(n, 512)}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = n.Close()
		<-p.free
		return nil, false, net.ErrClosed
	}
	p.all = append(p.all, c)
	return c, false, nil
}

func (p *pool) put(c *conn) {
	select {
	case p.back <- c:
		return
	default:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

func (p *pool) drop(c *conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.all, c); i >= 0 {
		p.all = slices.Delete(p.all, i, i+1)
		<-p.free
	}
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.all {
		_ = c.Close()
	}
}
