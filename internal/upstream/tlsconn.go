package upstream

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"troutusher/internal/sendgate"
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
	// maxUnusableConns is how many new connections may turn out to be of no use while
	// one call waits.
	maxUnusableConns = 2
	// noRetry is how long a wait is that has no end of its own.
	noRetry = time.Hour
)

// connRequest is what a call needs of a connection over TLS, and what it used.
type connRequest struct {
	warmingUp  bool // its endpoint is: one connection is opened at a time, by a call that may
	mayConnect bool // the policy has counted on a connection being opened
	opened     int  // connections
}

// errConnectNotAllowed is a call that found no connection at an endpoint that is
// warming up, and that may not open one.
var errConnectNotAllowed = errors.New("tls: no connection is free at a cold endpoint")

// handshakeBudgetError is a call for which the handshake budget had no room in time.
type handshakeBudgetError struct{ retryAfter time.Duration }

func (e handshakeBudgetError) Error() string {
	return fmt.Sprintf("tls: no turn for a handshake in time, the next is in %v", e.retryAfter.Round(time.Millisecond))
}

// tlsWait is one call's wait for a connection over TLS.
type tlsWait struct {
	endpoint   *Endpoint
	request    *connRequest
	waiting    bool         // counted among the endpoint's waiters
	unusable   int          // new connections that turned out to be of no use
	connecting <-chan error // ends with the handshake that this call began; nil without one
}

// tlsView is what a waiting call finds at its endpoint.
type tlsView struct {
	at       time.Time       // the moment of the view
	conn     *poolConn       // a connection that the call may use
	changed  <-chan struct{} // closed where it should look again
	connect  bool            // it should open a connection, and is counted as doing so
	usableAt time.Time       // when an idle connection becomes usable; zero for none
}

// acquireTLS returns an idle connection, or waits for one that becomes free or
// opens. Its error is handshakeBudgetError, *tlsdial.RejectedError or
// errConnectNotAllowed where the endpoint was asked for nothing.
func (e *Endpoint) acquireTLS(ctx context.Context, request *connRequest) (*poolConn, error) {
	timer := time.NewTimer(noRetry)
	defer timer.Stop()
	wait := tlsWait{endpoint: e, request: request}
	wait.enter()
	defer wait.leave()
	for {
		view, err := wait.look()
		if err != nil {
			return nil, err
		}
		if view.conn != nil {
			return view.conn, nil
		}
		if wait.unusable >= maxUnusableConns {
			return nil, errStaleConn
		}
		retryAt := view.usableAt
		if view.connect {
			if retryAt, err = wait.connect(ctx, &view); err != nil {
				return nil, err
			}
		}
		if retryAt.IsZero() {
			retryAt = view.at.Add(noRetry)
		}
		timer.Reset(max(retryAt.Sub(view.at), 0))
		if err := wait.sleep(ctx, view.changed, timer.C); err != nil {
			return nil, err
		}
	}
}

// enter counts the call among the endpoint's waiters.
func (w *tlsWait) enter() {
	w.endpoint.pool.mu.Lock()
	defer w.endpoint.pool.mu.Unlock()
	w.endpoint.waiters++
	w.waiting = true
}

// leave ends that, if it has not ended.
func (w *tlsWait) leave() {
	if !w.waiting {
		return
	}
	w.endpoint.pool.mu.Lock()
	defer w.endpoint.pool.mu.Unlock()
	w.leaveLocked()
}

func (w *tlsWait) leaveLocked() {
	w.endpoint.waiters--
	w.waiting = false
}

// look takes an idle connection, or says what to wait for.
func (w *tlsWait) look() (view tlsView, err error) {
	e := w.endpoint
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	view.at = time.Now()
	if e.closed {
		return view, sendgate.ErrEndpointDraining
	}
	var unusable int
	view.conn, view.usableAt, unusable = e.takeIdleLocked(view.at)
	w.unusable += unusable
	if view.conn != nil { // counted out at once: nobody opens one for it any more
		w.leaveLocked()
		return view, nil
	}
	if e.connChanged == nil {
		e.connChanged = make(chan struct{})
	}
	view.changed = e.connChanged
	view.connect = w.connecting == nil && w.unusable < maxUnusableConns && e.connecting < e.waiters
	if view.connect {
		e.connecting++
	}
	return view, nil
}

// connect begins to open a connection, where the call may and the handshake budget
// has room. It returns when to look again, zero for no moment.
func (w *tlsWait) connect(ctx context.Context, view *tlsView) (retryAt time.Time, err error) {
	e := w.endpoint
	retryAt = view.usableAt
	if w.request.warmingUp && !w.request.mayConnect && e.peer.ChargesHandshakes() {
		e.connectEnded()
		if retryAt.IsZero() {
			return retryAt, errConnectNotAllowed
		}
		return retryAt, nil // one is too fresh to be used, and soon will not be
	}
	connecting, budgetAt, err := e.openTLS(w.request.warmingUp, false)
	if err != nil {
		return retryAt, err
	}
	if connecting != nil {
		w.connecting = connecting
		w.request.opened++
		return retryAt, nil
	}
	deadline, bounded := ctx.Deadline()
	switch {
	case budgetAt.IsZero():
	case bounded && budgetAt.After(deadline) && retryAt.IsZero():
		return retryAt, handshakeBudgetError{budgetAt.Sub(view.at)}
	case retryAt.IsZero() || budgetAt.Before(retryAt):
		retryAt = budgetAt
	}
	return retryAt, nil
}

// sleep waits until the call should look again.
func (w *tlsWait) sleep(ctx context.Context, changed <-chan struct{}, retry <-chan time.Time) error {
	select {
	case err := <-w.connecting:
		w.connecting = nil // it is idle, unless another was faster or it is of no use already
		return err
	case <-changed:
		return nil
	case <-retry:
		return nil
	case <-ctx.Done():
		if w.connecting != nil { // the endpoint was asked, and is slow
			return ctx.Err()
		}
		return handshakeBudgetError{}
	}
}

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
