package upstream

import (
	"context"
	"net"
	"time"

	"troutusher/internal/sendgate"
	"troutusher/internal/tlsdial"
	"troutusher/policy"
)

// Endpoint is one endpoint's part of a [Pool].
type Endpoint struct {
	pool    *Pool
	gate    *sendgate.Gate
	address string
	dial    func(ctx context.Context, address string) (net.Conn, error)
	peer    *tlsdial.Endpoint // nil where it is reached without TLS

	// Under the pool's lock:
	closed bool // no connection is kept any more

	// Of an endpoint that is reached over TLS, under the pool's lock:
	connChanged chan struct{} // closed where calls that wait for a connection should look again; nil if none waits
	waiters     int           // calls that wait for a connection
	connecting  int           // connections that are being opened
}

// HoldUntil has no call go out before a moment of the pool's clock, at this endpoint
// and at all that share its scope. It never shortens such a time.
func (e *Endpoint) HoldUntil(until policy.Time) { e.gate.HoldUntil(e.pool.now(), until) }

// RetryAfter returns for how long calls are held back; 0 if they are not.
func (e *Endpoint) RetryAfter() policy.Time { return e.gate.RetryAfter(e.pool.now()) }

// CloseIdle closes the idle connections.
func (e *Endpoint) CloseIdle() { e.pool.closeIdleIf(func(c *poolConn) bool { return c.endpoint == e }) }

// Close lets no call begin any more, and closes the connections: those that calls
// hold once these end.
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

// acquire returns an idle connection that can be used, or a new one.
func (e *Endpoint) acquire(ctx context.Context, request *connRequest) (*poolConn, error) {
	if e.peer != nil {
		return e.acquireTLS(ctx, request)
	}
	conn, err := e.takeIdleOrReserve()
	if conn != nil || err != nil {
		return conn, err
	}
	raw, err := e.dial(ctx, e.address)
	if err != nil {
		e.pool.unreserve()
		return nil, err
	}
	conn = newPoolConn(e, raw)
	conn.used = true
	return conn, nil
}

// takeIdleOrReserve returns an idle connection, or takes the place for a new one.
func (e *Endpoint) takeIdleOrReserve() (*poolConn, error) {
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	conn, _, _ := e.takeIdleLocked(time.Now())
	if conn == nil && !e.pool.reserveLocked() {
		return nil, errPoolFull
	}
	return conn, nil
}

// takeIdleLocked returns the connection used last of those that are idle and can be
// used, if there is one; else the moment from which one that is too fresh may be
// usable, zero if there is none. unusable is how many had never been used and could
// not be used any more. The caller holds the pool's lock.
func (e *Endpoint) takeIdleLocked(now time.Time) (conn *poolConn, usableAt time.Time, unusable int) {
	p := e.pool
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if c.endpoint != e {
			continue
		}
		if now.Sub(c.idleSince) < reuseDelay {
			usableAt = c.idleSince.Add(reuseDelay)
			continue
		}
		p.idle = append(p.idle[:i], p.idle[i+1:]...)
		if !p.expired(c, now) && c.reusable() {
			c.used = true
			return c, usableAt, unusable
		}
		if !c.used && c.tls.IdentityCurrent() {
			unusable++
		}
		p.closeLocked(c)
	}
	return nil, usableAt, unusable
}

// notifyWaiters has calls that wait for a connection look again. The caller holds
// the pool's lock.
func (e *Endpoint) notifyWaiters() {
	if e.connChanged != nil {
		close(e.connChanged)
		e.connChanged = nil
	}
}
