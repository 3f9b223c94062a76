package upstream

import (
	"context"
	"errors"
	"os"
	"time"

	"troutusher/internal/tlsdial"
)

// TLS connections. A handshake belongs to its endpoint, not to the call that started it:
// it continues after that call has ended, and a waiting call takes the first connection
// that becomes free, whichever call opened it. So a waiting call can use a connection that
// another call releases, without waiting for a new one to be opened, and the end of a call
// never closes a connection during its handshake.

const (
	// postHandshakeWait is the time for reading a TLS post-handshake message.
	postHandshakeWait = time.Millisecond
	// maxPostHandshakeReads limits how often such messages are read before a call.
	maxPostHandshakeReads = 8
)

// connectEnded removes one connection from the count of those being opened.
func (e *Endpoint) connectEnded() {
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	e.connecting--
}

// retryHandshake starts a handshake with an endpoint that gets no calls, because the relay
// rejected the endpoint's certificate or the endpoint rejected the relay's. The TLS dialer
// calls it at the times of its retry schedule. As with an endpoint that is warming up, only
// one handshake at a time is in flight. The result reports whether a handshake was started.
func (e *Endpoint) retryHandshake() bool {
	e.pool.mu.Lock()
	e.connecting++
	e.pool.mu.Unlock()
	opened, _, err := e.openTLS(true, true)
	return err == nil && opened != nil
}

// openTLS starts to open a connection, which becomes idle once it is open. The caller has
// already counted it in e.connecting. warmingUp means that the endpoint recovers from an
// outage, so that only one handshake with it may be in flight at a time. scheduled means that
// the retry schedule of a rejected endpoint started the handshake.
//
// There are three results:
//   - opened is not nil: a goroutine connects and performs the handshake. It sends its result
//     to opened within the timeout of the permit that the TLS dialer gave for the handshake.
//   - err is not nil: the endpoint is rejected, or the pool is full.
//   - Both are nil: the TLS dialer's handshake budget, which bounds the CPU time of handshakes
//     and the number in flight with one endpoint, allows none now. budgetAt is when to try
//     again. If it is zero, another handshake with the endpoint has to end first.
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

// finishOpenTLS connects, performs the handshake and adds the connection to the idle ones.
// It sends the result to done.
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

// addIdleTLSLocked adds a new connection to the idle ones, or closes it if the endpoint was
// closed meanwhile. The caller must hold the pool's lock.
func (e *Endpoint) addIdleTLSLocked(conn *tlsdial.Conn) {
	c := newPoolConn(e, conn)
	c.unused = true
	if e.closed {
		e.pool.closeLocked(c)
		return
	}
	c.becomeIdleLocked(time.Now())
}

// handshake connects to the endpoint and performs the TLS handshake. It uses up the permit, also
// if it fails: permit.Handshake completes the permit's reservation of CPU time in the handshake
// budget, and permit.Release does so if connecting fails.
func (e *Endpoint) handshake(ctx context.Context, permit *tlsdial.Permit) (*tlsdial.Conn, error) {
	raw, err := e.dial(ctx, e.address)
	if err != nil {
		permit.Release()
		return nil, err
	}
	return permit.Handshake(ctx, raw)
}

// reusableTLS implements reusable for TLS. Post-handshake messages, that is new session
// tickets and key updates (RFC 8446 section 4.6), are read and processed. Any other input
// makes the connection unusable, and so does a partial record, which may be the start of
// the alert that closes the connection.
func (c *poolConn) reusableTLS() bool {
	if !c.tls.IdentityCurrent() { // a certificate has expired, or the rule's files have changed
		return false
	}
	defer c.expireReadsAt(time.Time{})
	for range maxPostHandshakeReads {
		c.expireReadsAt(pastDeadline) // first check what was already read from the socket
		if c.hasUnexpectedInput() {
			return false
		}
		c.expireReadsAt(time.Time{})
		if pendingInput(c.tls.Raw()) == inputNone {
			return c.tls.AtRecordBoundary()
		}
		c.expireReadsAt(time.Now().Add(postHandshakeWait))
		if c.hasUnexpectedInput() {
			return false
		}
	}
	return false
}

// hasUnexpectedInput reports whether anything other than a post-handshake message arrives
// before the read deadline: data, the end of the connection, or an alert, such as one
// that rejects the relay's certificate.
func (c *poolConn) hasUnexpectedInput() bool {
	_, err := c.reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	if err == nil {
		c.endpoint.times.copySeen(time.Now())
	}
	_ = c.recordAlert(err) // the connection is unusable whether or not err is a rejection
	return true
}

// recordAlert reports an error of the connection to the TLS dialer. The error may be an
// alert by which the peer rejects the relay's certificate. With TLS 1.3 it arrives after
// the handshake; once it is recorded, no further calls go to the endpoint. recordAlert
// returns the rejection, or nil for any other error or without TLS.
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
