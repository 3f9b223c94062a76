package upstream

import (
	"context"
	"net"
	"slices"
	"time"

	"troutusher/internal/sendgate"
	"troutusher/internal/tlsdial"
	"troutusher/policy"
)

// Endpoint is an endpoint whose connections are kept in a [Pool].
type Endpoint struct {
	pool    *Pool
	gate    *sendgate.Gate // decides whether calls may be sent
	times   responseTimes
	address string
	dial    func(ctx context.Context, address string) (net.Conn, error)
	peer    *tlsdial.Endpoint // nil if the endpoint does not use TLS

	// The pool's lock guards closed and the fields below it.
	closed bool // connections are closed after their call instead of being kept

	// Used only with TLS:
	connChanged chan struct{} // closed when waiting calls should check the pool again; nil if none waits
	waiters     int           // number of calls that wait for a connection
	connecting  int           // number of connections being opened
}

// HoldUntil stops calls from being sent before the given time of the pool's clock. The hold applies
// to this endpoint and to all endpoints whose gates share its [sendgate.Scope]. It never shortens
// a hold that is in force.
func (e *Endpoint) HoldUntil(until policy.Time) { e.gate.HoldUntil(e.pool.now(), until) }

// RetryAfter returns the remaining time for which no call may be sent; 0 for none.
func (e *Endpoint) RetryAfter() policy.Time { return e.gate.RetryAfter(e.pool.now()) }

// CloseIdle closes the endpoint's idle connections.
func (e *Endpoint) CloseIdle() { e.pool.closeIdleIf(func(c *poolConn) bool { return c.endpoint == e }) }

// Close stops new calls from starting and closes the endpoint's connections. A connection
// that a call uses is closed when the call ends.
func (e *Endpoint) Close() {
	e.gate.Close()
	e.pool.mu.Lock()
	e.closed = true
	e.pool.mu.Unlock()
	e.CloseIdle()
	if e.peer != nil {
		e.peer.Close()
	}
}

// acquire returns a usable idle connection, or opens a new one.
func (e *Endpoint) acquire(ctx context.Context, request *connRequest) (*poolConn, error) {
	if e.peer != nil {
		return e.acquireTLS(ctx, request)
	}
	conn, err := e.takeIdleOrReserve(request)
	if conn != nil || err != nil {
		return conn, err
	}
	raw, err := e.dial(ctx, e.address)
	if err != nil {
		e.pool.unreserve()
		return nil, err
	}
	return newPoolConn(e, raw), nil
}

// takeIdleOrReserve returns a usable idle connection. If there is none, it returns nil and
// reserves a connection that the caller must open or unreserve.
func (e *Endpoint) takeIdleOrReserve(request *connRequest) (*poolConn, error) {
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	conn, _, _ := e.takeIdleLocked(request, time.Now())
	if conn == nil && !e.pool.reserveLocked() {
		return nil, errPoolFull
	}
	return conn, nil
}

// takeIdleLocked returns an idle connection that the call may use, and closes the idle connections that
// it finds broken or expired on the way. If there is none, usableAt is when the first of the resting
// connections can be used; zero if there is no such connection. unusable is the number of closed
// connections that broke before any call had used them. The caller must hold the pool's lock.
func (e *Endpoint) takeIdleLocked(
	request *connRequest,
	now time.Time,
) (conn *poolConn, usableAt time.Time, unusable int) {
	p := e.pool
	needsSettled := e.needsSettled(request, now)
	for {
		i, firstUsableAt := e.chooseIdleLocked(needsSettled, now)
		if i < 0 {
			return nil, firstUsableAt, unusable
		}
		c := p.idle[i]
		p.idle = append(p.idle[:i], p.idle[i+1:]...)
		if !p.expired(c, now) && !c.mayCarryCopy(now) && c.reusable() {
			c.unused = false
			return c, time.Time{}, unusable
		}
		if c.brokeUnused() {
			unusable++
		}
		p.closeLocked(c)
	}
}

// chooseIdleLocked returns the index of the endpoint's best idle connection: the most recently used one
// of those that are settled, or else the one that will be settled first; see copy.go. If none can be
// used yet, the index is negative, and usableAt is as for takeIdleLocked. The caller must hold the
// pool's lock.
func (e *Endpoint) chooseIdleLocked(needsSettled bool, now time.Time) (index int, usableAt time.Time) {
	index = -1
	for i, c := range slices.Backward(e.pool.idle) { // the most recently used connection first
		if c.endpoint != e {
			continue
		}
		switch at := c.usableAt(needsSettled); {
		case now.Before(at):
			if usableAt.IsZero() || at.Before(usableAt) {
				usableAt = at
			}
		case c.settled(now):
			return i, time.Time{}
		default:
			index = i
		}
	}
	return index, usableAt
}

// notifyWaiters wakes up the calls that wait for a connection, so that they check the
// pool again. The caller must hold the pool's lock.
func (e *Endpoint) notifyWaiters() {
	if e.connChanged != nil {
		close(e.connChanged)
		e.connChanged = nil
	}
}
