package upstream

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"troutusher/internal/sendgate"
	"troutusher/internal/tlsdial"
)

// poolConn is one connection, held by one call or idle.
type poolConn struct {
	net.Conn
	tls       *tlsdial.Conn // the same connection, where it is one over TLS
	endpoint  *Endpoint
	reader    *bufio.Reader
	remaining int64 // bytes that may still be read for the response
	used      bool  // by a call; one without TLS is used as soon as it is open
	idleSince time.Time
}

func newPoolConn(endpoint *Endpoint, raw net.Conn) *poolConn {
	c := &poolConn{Conn: raw, endpoint: endpoint, remaining: maxResponseBytes}
	c.reader = bufio.NewReader(c)
	return c
}

// Read reads from the connection, within the bytes that a response may have.
func (c *poolConn) Read(b []byte) (int, error) {
	if c.remaining <= 0 {
		return 0, errResponseTooLarge
	}
	n, err := c.Conn.Read(b[:min(int64(len(b)), c.remaining)])
	c.remaining -= int64(n)
	return n, err
}

// A deadline that cannot be set is one of a connection that is closed: its next read
// or write says so. So the setters below have no error.

// expireAt ends reads and writes at a moment.
func (c *poolConn) expireAt(t time.Time) { _ = c.SetDeadline(t) }

// expireReadsAt ends reads at a moment; the zero time lets them go on.
func (c *poolConn) expireReadsAt(t time.Time) { _ = c.SetReadDeadline(t) }

// startReadTimeout ends reads once a time has passed. The call's own timeout stays.
func (c *poolConn) startReadTimeout(timeout time.Duration) *time.Timer {
	return time.AfterFunc(timeout, func() { c.expireReadsAt(pastDeadline) })
}

// discard closes a connection that a call held. Over TLS no closing alert is
// written: it could wait for a peer that reads nothing.
func (c *poolConn) discard() {
	p := c.endpoint.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.tls != nil {
		_ = c.tls.Raw().Close() // given up, whatever it says
	}
	p.closeLocked(c)
}

// release returns a connection to the pool after a call whose response was read to
// its end.
func (c *poolConn) release() {
	c.expireAt(time.Time{})
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

// reusable reports whether nothing waits to be read: whatever comes before a call's
// last byte is written is no response to it, and an end of file is the end of the
// connection.
func (c *poolConn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if c.tls != nil {
		return c.reusableTLS()
	}
	return noPendingInput(c.Conn)
}

// noPendingInput reports whether a socket has nothing to read. It does not wait.
func noPendingInput(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}

// descriptor returns the file descriptor, which stays the connection's own.
func (c *poolConn) descriptor() (fd int, err error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, errors.New("no socket")
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	return fd, raw.Control(func(n uintptr) { fd = int(n) })
}

// writeRequest writes a whole request but for its last byte, makes sure that nothing
// has come yet, and then writes that byte. An error means that the last byte was not
// written: the call never ran; with untouched, no byte was. It is the one place where
// bytes of a request go out, and the send gate is asked before the first and the last.
//
// There is a delay before the last byte: a connection that its endpoint has dropped
// in silence, or drops now, is reset as soon as anything reaches it, and shows so
// while it is still certain that the call has not run.
func (c *poolConn) writeRequest(
	ctx context.Context,
	permit *sendgate.Permit,
	request []byte,
) (untouched bool, err error) {
	pool := c.endpoint.pool
	last := len(request) - 1
	if err := permit.AllowFirstByte(pool.now()); err != nil {
		return true, err
	}
	if _, err := c.Write(request[:last]); err != nil {
		return false, err
	}
	if err := c.awaitNothing(ctx, pool.staleCheckDelay); err != nil {
		return false, err
	}
	// ctx may have ended just now.
	if err := cmp.Or(ctx.Err(), permit.AllowLastByte(pool.now())); err != nil {
		return false, err
	}
	_, err = c.Write(request[last:])
	return false, err
}

// awaitNothing waits for a time in which nothing may come: no byte, no end of file,
// no reset.
func (c *poolConn) awaitNothing(ctx context.Context, delay time.Duration) error {
	c.expireReadsAt(time.Now().Add(delay))
	if _, err := c.reader.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		return cmp.Or(err, errStaleConn)
	}
	c.expireReadsAt(time.Time{})
	if err := ctx.Err(); err != nil { // its deadline may be the one just cleared
		return err
	}
	if !c.reusable() {
		return errStaleConn
	}
	return nil
}
