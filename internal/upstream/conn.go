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

// poolConn is a connection of the pool. It is either used by one call or idle.
type poolConn struct {
	net.Conn
	tls       *tlsdial.Conn // the same connection if it uses TLS, else nil
	endpoint  *Endpoint
	reader    *bufio.Reader
	remaining int64 // bytes that may still be read for the response
	unused    bool  // opened by a handshake, and no call has used it yet; only with TLS

	// Of the latest request whose last byte was written, and of the response that was read for it:
	sentAt           time.Time
	message          string    // ID of its message; empty for a health check
	repeatable       bool      // the message may be sent again although it may have run
	status           int       // status code; 0 if no response was read yet
	unconfirmedUntil time.Time // until then the response may turn out to be a copy; see copy.go
	settledAt        time.Time // a copy of the response may arrive before; zero if no response was read yet

	idleSince  time.Time
	reusableAt time.Time // an idle connection may not carry a call before
}

// newPoolConn returns a pool connection that a call uses, over a connection with or without TLS.
func newPoolConn(endpoint *Endpoint, conn net.Conn) *poolConn {
	c := &poolConn{Conn: conn, endpoint: endpoint, remaining: maxResponseBytes}
	c.tls, _ = conn.(*tlsdial.Conn)
	c.reader = bufio.NewReader(c)
	return c
}

// brokeUnused reports whether a connection that cannot be reused broke before any call used
// it, although its peer's identity is still accepted. Such a connection counts against the calls
// that wait for one.
func (c *poolConn) brokeUnused() bool {
	return c.unused && c.tls.IdentityCurrent()
}

// Read reads from the connection, up to the size limit of a response.
func (c *poolConn) Read(b []byte) (int, error) {
	if c.remaining <= 0 {
		return 0, errResponseTooLarge
	}
	n, err := c.Conn.Read(b[:min(int64(len(b)), c.remaining)])
	c.remaining -= int64(n)
	return n, err
}

// The setters below ignore errors: setting a deadline fails only on a closed connection,
// and then the next read or write fails as well.

// expireAt sets the deadline of reads and writes; the zero time means no deadline.
func (c *poolConn) expireAt(t time.Time) { _ = c.SetDeadline(t) }

// expireReadsAt sets the deadline of reads; the zero time means no deadline.
func (c *poolConn) expireReadsAt(t time.Time) { _ = c.SetReadDeadline(t) }

// startReadTimeout ends reads after the timeout, unless the returned timer is stopped. It
// does not replace the deadline that the call's own timeout sets.
func (c *poolConn) startReadTimeout(timeout time.Duration) *time.Timer {
	return time.AfterFunc(timeout, func() { c.expireReadsAt(pastDeadline) })
}

// discard closes a connection after a call. It sends no TLS close_notify alert, because
// that write could block on a peer that does not read.
func (c *poolConn) discard() {
	p := c.endpoint.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.tls != nil {
		_ = c.tls.Raw().Close() // an error changes nothing: the connection is not used again
	}
	p.closeLocked(c)
}

// release returns a connection to the pool after a call whose response was read
// completely.
func (c *poolConn) release() {
	c.expireAt(time.Time{})
	p := c.endpoint.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.endpoint.closed || !c.meetsTLSRule() || c.mayCarryCopy(time.Now()) || !c.reusable() {
		p.closeLocked(c)
		return
	}
	c.becomeIdleLocked(time.Now())
	c.endpoint.notifyWaiters()
}

// becomeIdleLocked adds the connection to the idle ones. The caller must hold the pool's lock.
func (c *poolConn) becomeIdleLocked(now time.Time) {
	c.idleSince = now
	c.reusableAt = now.Add(c.restAfterResponse(now))
	c.endpoint.pool.idle = append(c.endpoint.pool.idle, c)
}

// restAfterResponse returns how long a connection that becomes idle may not carry another call.
// Bytes that arrive meanwhile show that a response was written twice; see copy.go.
func (c *poolConn) restAfterResponse(now time.Time) time.Duration {
	if c.status == 0 {
		return 0
	}
	return max(reuseDelay, c.unconfirmedUntil.Sub(now))
}

// mayCarryCopy reports whether a copy of a response must be expected during the next call.
func (c *poolConn) mayCarryCopy(now time.Time) bool {
	return c.status != 0 && c.endpoint.times.repeats(now)
}

// meetsTLSRule reports whether the connection uses TLS if and only if its endpoint does. The
// connection of a call that another process has sent may not: the TLS rules of the two processes
// can differ.
func (c *poolConn) meetsTLSRule() bool {
	return (c.tls != nil) == (c.endpoint.peer != nil)
}

// reusable reports whether the connection has nothing to read. Bytes that arrive before
// a call's last byte is written cannot be the response to that call, and an end of file
// means that the endpoint has closed the connection.
func (c *poolConn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if c.tls != nil {
		return c.reusableTLS()
	}
	input := pendingInput(c.Conn)
	if input == inputData {
		c.endpoint.times.copySeen(time.Now())
	}
	return input == inputNone
}

// input is what a socket has to read.
type input uint8

const (
	inputEnd  input = iota // the end of the connection, or an error
	inputNone              // nothing so far
	inputData
)

// pendingInput returns what the socket of conn has to read. It does not block.
func pendingInput(conn net.Conn) (pending input) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return inputEnd
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return inputEnd
	}
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN):
			pending = inputNone
		case err == nil && n > 0:
			pending = inputData
		}
		return true
	})
	if err != nil {
		return inputEnd
	}
	return pending
}

// descriptor returns the connection's file descriptor, which the connection still owns.
func (c *poolConn) descriptor() (fd int, err error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, errors.New("connection has no socket")
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	return fd, raw.Control(func(n uintptr) { fd = int(n) })
}

// writeRequest writes all of a request except its last byte, checks that nothing has
// arrived meanwhile, and then writes the last byte. An error means that the last byte was
// not written, so the call never ran; if untouched is true, no byte was written at all.
// This is the only place that writes requests, and it asks the send gate before the first
// and before the last byte.
//
// It waits before the last byte because an endpoint may have dropped the connection
// without a notice: the first bytes then cause a reset, which arrives while it is still
// certain that the call has not run.
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
	if err := c.checkStale(ctx, pool.staleCheckDelay); err != nil {
		return false, err
	}
	// ctx may have ended since the check.
	if err := cmp.Or(ctx.Err(), permit.AllowLastByte(pool.now())); err != nil {
		return false, err
	}
	_, err = c.Write(request[last:])
	c.sentAt = time.Now()
	return false, err
}

// checkStale waits for the given delay and returns an error if a byte, an end of file or
// a reset arrives meanwhile.
func (c *poolConn) checkStale(ctx context.Context, delay time.Duration) error {
	c.expireReadsAt(time.Now().Add(delay))
	switch _, err := c.reader.Peek(1); {
	case err == nil:
		c.endpoint.times.copySeen(time.Now())
		return errStaleConn
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return err
	}
	c.expireReadsAt(time.Time{})
	if err := ctx.Err(); err != nil { // the line above may have cleared the deadline that ctx set
		return err
	}
	if !c.reusable() {
		return errStaleConn
	}
	return nil
}
