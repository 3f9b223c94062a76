package upstream

import (
	"context"
	"errors"
	"fmt"
	"time"

	"troutusher/internal/sendgate"
)

const (
	// maxUnusableConns is how many new connections may become unusable before a call that
	// waits for one gives up.
	maxUnusableConns = 2
	// noRetry is the timer's duration when no time to check the pool again is known.
	noRetry = time.Hour
)

// connRequest describes what a call may do to get a connection, and counts the TLS
// connections that were opened for it.
type connRequest struct {
	repeatable bool // the message may be sent again although it may have run
	warmingUp  bool // the endpoint is warming up; see [CallOptions]
	mayConnect bool // only with TLS: the policy has charged the endpoint's rate for a handshake of this call
	opened     int  // number of TLS connections opened
}

// errConnectNotAllowed is the error of a call that may not open a connection and found no
// free one, at an endpoint that is warming up.
var errConnectNotAllowed = errors.New("tls: endpoint is warming up: no free connection, and the call may not open one")

// handshakeBudgetError is the error of a call that needs a handshake which the handshake
// budget of the TLS dialer does not allow before the call's timeout. retryAfter is the time
// until the budget allows one, or 0 if it is not known.
type handshakeBudgetError struct{ retryAfter time.Duration }

func (e handshakeBudgetError) Error() string {
	return fmt.Sprintf("tls: handshake budget allows no handshake before the call's timeout, the next one in %v",
		e.retryAfter.Round(time.Millisecond))
}

// tlsWait is one call's wait for a TLS connection.
type tlsWait struct {
	endpoint   *Endpoint
	request    *connRequest
	waiting    bool         // the call is counted in endpoint.waiters
	unusable   int          // number of new connections that became unusable during the wait
	connecting <-chan error // receives the result of the handshake that this call started; nil without one
}

// tlsView is the state of an endpoint's connections, as a waiting call finds it.
type tlsView struct {
	at       time.Time       // when the state was read
	conn     *poolConn       // a connection that the call may use; nil for none
	changed  <-chan struct{} // closed when the call should check the pool again
	connect  bool            // the call should open a connection, and is counted in endpoint.connecting
	usableAt time.Time       // when an idle connection becomes usable; zero for none
}

// acquireTLS returns an idle connection, or waits until one becomes free or is opened. In
// each round it checks the pool, starts a handshake if one is needed and allowed, and waits
// for one of three events: the endpoint's connections change, the handshake that this call
// started ends, or the handshake budget may allow one. The error is a handshakeBudgetError, a
// *tlsdial.RejectedError or errConnectNotAllowed if the call got no connection for a reason
// that says nothing about the endpoint's health.
func (e *Endpoint) acquireTLS(ctx context.Context, request *connRequest) (*poolConn, error) {
	timer := time.NewTimer(noRetry)
	defer timer.Stop()
	wait := tlsWait{endpoint: e, request: request}
	wait.enter()
	defer wait.leave()
	for {
		view, err := wait.check()
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

// enter adds the call to the endpoint's count of waiters.
func (w *tlsWait) enter() {
	w.endpoint.pool.mu.Lock()
	defer w.endpoint.pool.mu.Unlock()
	w.endpoint.waiters++
	w.waiting = true
}

// leave removes the call from the count of waiters if it is still counted.
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

// check takes an idle connection if there is one. Otherwise it returns what to wait for.
func (w *tlsWait) check() (view tlsView, err error) {
	e := w.endpoint
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	view.at = time.Now()
	if e.closed {
		return view, sendgate.ErrEndpointDraining
	}
	var unusable int
	view.conn, view.usableAt, unusable = e.takeIdleLocked(w.request, view.at)
	w.unusable += unusable
	if view.conn != nil { // no longer a waiter, so that no connection is opened for this call
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

// connect starts to open a connection if the call may do so and the handshake budget
// allows it. It returns when to check the pool again, or zero if no time is known.
func (w *tlsWait) connect(ctx context.Context, view *tlsView) (retryAt time.Time, err error) {
	e := w.endpoint
	retryAt = view.usableAt
	if w.request.warmingUp && !w.request.mayConnect && e.peer.ChargesHandshakes() {
		e.connectEnded()
		if retryAt.IsZero() {
			return retryAt, errConnectNotAllowed
		}
		return retryAt, nil // an idle connection becomes usable at that time
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

// sleep waits until the call should check the pool again. It returns an error if the
// call's handshake failed or ctx ended.
func (w *tlsWait) sleep(ctx context.Context, changed <-chan struct{}, retry <-chan time.Time) error {
	select {
	case err := <-w.connecting:
		// The new connection is idle, unless another call has taken it or it is already unusable.
		w.connecting = nil
		return err
	case <-changed:
		return nil
	case <-retry:
		return nil
	case <-ctx.Done():
		if w.connecting != nil { // a handshake is under way: the endpoint is slow
			return ctx.Err()
		}
		return handshakeBudgetError{} // this call had no handshake under way
	}
}
