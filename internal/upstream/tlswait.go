package upstream

import (
	"context"
	"errors"
	"fmt"
	"time"

	"troutusher/internal/sendgate"
)

const (
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
