package upstream

import (
	"context"
	"errors"
	"os"
	"time"

	"troutusher/internal/tlsdial"
)

// Connections over TLS. A handshake belongs to its endpoint and not to a call: it
// goes on when the call that began it has ended, and whichever call waits there
// takes the first connection that becomes free. So calls share connections before
// more are opened, and none is closed during its handshake.

const (
	// postHandshakeWait is for what a TLS peer sends by itself, to be read.
	postHandshakeWait = time.Millisecond
	// maxPostHandshakeReads is how often that is read before a call.
	maxPostHandshakeReads = 8
)

// connectEnded counts out a connection that is not being opened any more.
func (e *Endpoint) connectEnded() {
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	e.connecting--
}

// retryHandshake begins a handshake on the schedule of an endpoint whose identity
// was rejected. It reports whether one began.
func (e *Endpoint) retryHandshake() bool {
	e.pool.mu.Lock()
	e.connecting++
	e.pool.mu.Unlock()
	opened, _, err := e.openTLS(true, true)
	return err == nil && opened != nil
}

// openTLS begins to open a connection, which its caller has counted as one that is
// being opened, and which is idle once it is open. Without a channel and an error it
// may not be begun now: budgetAt is when to ask again, zero for once another one
// there has ended. The handshake's goroutine ends by itself within the permit's
// timeout.
func (e *Endpoint) openTLS(warmingUp, scheduled bool) (opened <-chan error, budgetAt time.Time, err error) {
	defer func() {
		if opened == nil {
			e.connectEnded()
		}
	}()
	permit, budgetAt, err := e.peer.Acquire(warmingUp, scheduled)
	if err != nil || permit == nil {
		return nil, budgetAt, err
	}
	e.pool.mu.Lock()
	reserved := e.pool.reserveLocked()
	e.pool.mu.Unlock()
	if !reserved {
		permit.Release()
		return nil, budgetAt, errPoolFull
	}
	done := make(chan error, 1)
	go func() { e.finishOpenTLS(permit, done) }()
	return done, time.Time{}, nil
}

// finishOpenTLS connects and makes the handshake, and adds the connection to the
// idle ones.
func (e *Endpoint) finishOpenTLS(permit *tlsdial.Permit, done chan<- error) {
	ctx, cancel := context.WithTimeout(context.Background(), permit.Timeout())
	defer cancel()
	conn, err := e.handshake(ctx, permit)
	pool := e.pool
	pool.mu.Lock()
	defer pool.mu.Unlock()
	e.connecting--
	if err != nil {
		pool.open--
	} else {
		e.addIdleTLSLocked(conn)
	}
	e.notifyWaiters()
	done <- err
}

// addIdleTLSLocked adds a new connection to the idle ones; it may be used at once. The
// caller holds the pool's lock.
func (e *Endpoint) addIdleTLSLocked(conn *tlsdial.Conn) {
	c := newPoolConn(e, conn)
	c.tls = conn
	c.idleSince = time.Now().Add(-reuseDelay)
	if e.closed {
		e.pool.closeLocked(c)
		return
	}
	e.pool.idle = append(e.pool.idle, c)
}

func (e *Endpoint) handshake(ctx context.Context, permit *tlsdial.Permit) (*tlsdial.Conn, error) {
	raw, err := e.dial(ctx, e.address)
	if err != nil {
		permit.Release()
		return nil, err
	}
	return permit.Handshake(ctx, raw)
}

// reusableTLS is reusable over TLS. What has come may be new sessions or keys (RFC
// 8446 section 4.6), which are taken in; anything else, and part of a record, which
// may be the connection's end, makes it of no use.
func (c *poolConn) reusableTLS() bool {
	if !c.tls.IdentityCurrent() {
		return false
	}
	defer c.expireReadsAt(time.Time{})
	for range maxPostHandshakeReads {
		c.expireReadsAt(pastDeadline) // what was read from the socket already
		if c.hasUnexpectedInput() {
			return false
		}
		c.expireReadsAt(time.Time{})
		if noPendingInput(c.tls.Raw()) {
			return c.tls.AtRecordBoundary()
		}
		c.expireReadsAt(time.Now().Add(postHandshakeWait))
		if c.hasUnexpectedInput() {
			return false
		}
	}
	return false
}

// hasUnexpectedInput reports whether something comes by the read deadline that is no
// post-handshake message: bytes, the end, or an alert that the peer does not accept
// this side's identity.
func (c *poolConn) hasUnexpectedInput() bool {
	_, err := c.reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	_ = c.recordAlert(err) // the connection is of no use either way
	return true
}

// recordAlert has the dialer look at an error on the connection: it may be an alert
// that the peer rejects this side's identity, which with TLS 1.3 comes after the
// handshake and spares the endpoint the next calls. It returns the rejection, nil for
// any other error, and without TLS.
func (c *poolConn) recordAlert(err error) error {
	if c.tls == nil || err == nil {
		return nil
	}
	rejected, ok := c.tls.Endpoint().RecordAlert(err)
	if !ok {
		return nil
	}
	return rejected
}
