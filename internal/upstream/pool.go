package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"troutusher/internal/sendgate"
	"troutusher/internal/tlsdial"
	"troutusher/policy"
)

const (
	idleCheckInterval = 500 * time.Millisecond
	// reuseDelay is how long a connection stays idle before it may carry another call.
	// An endpoint that sends extra bytes after a response sends them with it or
	// immediately after it; the delay makes sure that they are noticed first.
	reuseDelay = 5 * time.Millisecond
	// defaultStaleCheckDelay is how long a call waits before it writes its last byte. If the
	// endpoint has closed the connection, the bytes written before cause a reset, which
	// arrives during this wait, so that the call is not sent.
	defaultStaleCheckDelay = 3 * time.Millisecond
	// maxIdleMargin is the upper limit of the margin for short keep-alive times; see
	// [IdleMargin].
	maxIdleMargin = 250 * time.Millisecond
)

// PoolOptions configure a [Pool].
type PoolOptions struct {
	ConnectTimeout time.Duration // for the TCP connection
	// IdleTimeout is how long a connection may be idle before it is closed; 0 means no
	// limit. See [IdleMargin].
	IdleTimeout time.Duration
	MaxConns    int                // maximum number of open connections, over all endpoints
	Now         func() policy.Time // clock of Retry-After times and [CallOptions.SendBy]
	TLS         *tlsdial.Dialer    // nil if no endpoint uses TLS
}

// Pool holds the connections to all endpoints and limits their number. The methods
// that open and forget endpoints must be called by one goroutine; all others are safe
// for concurrent use.
type Pool struct {
	connectTimeout  time.Duration
	idleTimeout     time.Duration
	maxConns        int
	staleCheckDelay time.Duration // wait before a call's last byte
	now             func() policy.Time
	tls             *tlsdial.Dialer

	mu   sync.Mutex
	open int         // number of connections being dialled, in use or idle
	idle []*poolConn // the connection that has been idle longest comes first

	// scopes is used only by the goroutine that opens and forgets endpoints.
	scopes map[scopeKey]*sendgate.Scope
}

// scopeKey identifies the scope of a Retry-After time: a destination, or a single
// endpoint that is an independent route (see [EndpointOptions]).
type scopeKey struct {
	dest  int               // 0 for an independent route
	route policy.EndpointID // 0 for a destination
}

// IdleMargin returns how long before the end of an endpoint's keep-alive time the relay
// stops using an idle connection. The relay must close the connection first: a request
// that is written while the endpoint closes the connection ends with a reset. The
// endpoint measures the idle time from when it wrote its response, the relay from when
// it read that response, and the next request also needs time to reach the endpoint.
// The margin covers both network delays and a scheduling delay on a loaded machine:
// up to 250 ms but at most a third of the keep-alive time, or a tenth of it if that is
// more.
func IdleMargin(keepAlive time.Duration) time.Duration {
	return max(keepAlive/10, min(keepAlive/3, maxIdleMargin))
}

// NewPool returns an empty pool.
func NewPool(options PoolOptions) *Pool {
	return &Pool{
		connectTimeout:  options.ConnectTimeout,
		idleTimeout:     options.IdleTimeout,
		maxConns:        options.MaxConns,
		staleCheckDelay: defaultStaleCheckDelay,
		now:             options.Now,
		tls:             options.TLS,
		scopes:          map[scopeKey]*sendgate.Scope{},
	}
}

// Run periodically closes the connections that have been idle for too long and those
// that their endpoint has closed or written to. When ctx ends, it closes all idle
// connections and returns.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.CloseIdle()
			return
		case now := <-ticker.C:
			p.closeIdleIf(func(c *poolConn) bool { return p.expired(c, now) || !c.reusable() })
		}
	}
}

// CloseIdle closes all idle connections.
func (p *Pool) CloseIdle() { p.closeIdleIf(func(*poolConn) bool { return true }) }

// closeIdleIf closes the idle connections for which unwanted returns true.
func (p *Pool) closeIdleIf(unwanted func(*poolConn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if unwanted(c) {
			p.closeLocked(c)
		} else {
			kept = append(kept, c)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// expired reports whether c has been idle for too long at the time now.
func (p *Pool) expired(c *poolConn, now time.Time) bool {
	return p.idleTimeout > 0 && now.Sub(c.idleSince) >= p.idleTimeout
}

// closeLocked closes a connection and no longer counts it as open. The caller must hold
// the pool's lock.
func (p *Pool) closeLocked(c *poolConn) {
	_ = c.Close() // an error changes nothing: the connection is not used again
	p.open--
	c.endpoint.notifyWaiters()
}

// reserveLocked counts one more connection as open and reports whether the limit
// allowed it. At the limit it closes the connection that has been idle longest, of
// whichever endpoint, and fails if none is idle. The caller must hold the pool's lock.
func (p *Pool) reserveLocked() bool {
	if p.open >= p.maxConns {
		if len(p.idle) == 0 {
			return false
		}
		p.closeLocked(p.idle[0])
		p.idle = append(p.idle[:0], p.idle[1:]...)
	}
	p.open++
	return true
}

// unreserve undoes the reservation of a connection that could not be opened.
func (p *Pool) unreserve() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// counts returns the number of open connections, and how many of them are idle.
func (p *Pool) counts() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle)
}

// EndpointOptions describe an endpoint.
type EndpointOptions struct {
	ID      policy.EndpointID
	Address string // host:port
	Dest    int    // number of the destination that it serves
	Flavor  string // kind of the destination, from the endpoint list; may select the TLS rule
	// IndependentRoute means that the endpoint has a limit and outages of its own, which
	// say nothing about the other endpoints of its destination: a Retry-After time of this
	// endpoint applies only to the endpoint itself, not to the whole destination.
	IndependentRoute bool
}

// OpenEndpoint adds an endpoint to the pool. Calls to it may start immediately.
func (p *Pool) OpenEndpoint(options EndpointOptions) *Endpoint {
	key := scopeKey{dest: options.Dest}
	if options.IndependentRoute {
		key = scopeKey{route: options.ID}
	}
	endpoint := p.newEndpoint(options.Address, p.scope(key).Gate())
	endpoint.peer = p.tls.Endpoint(uint64(options.ID), options.Dest, options.Flavor, endpoint.retryHandshake)
	return endpoint
}

// ClosedEndpoint returns an endpoint that accepts no new calls. It is used for a call
// adopted from another process whose endpoint is no longer in the endpoint list.
func (p *Pool) ClosedEndpoint() *Endpoint {
	endpoint := p.newEndpoint("", new(sendgate.Scope).Gate())
	endpoint.closed = true
	return endpoint
}

func (p *Pool) newEndpoint(address string, gate *sendgate.Gate) *Endpoint {
	dialer := &net.Dialer{Timeout: p.connectTimeout, KeepAlive: -1}
	return &Endpoint{
		pool:    p,
		gate:    gate,
		address: address,
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
	}
}

// scope returns the sendgate scope of a destination or independent route, and creates it
// if needed. The scope stays when its endpoints are closed, because a Retry-After time
// remains in force for endpoints that are opened later.
func (p *Pool) scope(key scopeKey) *sendgate.Scope {
	scope := p.scopes[key]
	if scope == nil {
		scope = &sendgate.Scope{}
		p.scopes[key] = scope
	}
	return scope
}

// ForgetRoute drops the Retry-After time of an endpoint that is an independent route.
// The Retry-After time of a destination stays, like all other state of the destination.
func (p *Pool) ForgetRoute(id policy.EndpointID) { delete(p.scopes, scopeKey{route: id}) }

// ForgetDestination drops the Retry-After time of a destination that is passivated: its
// state is packed into a compact store while it is idle. No call to it may be in flight.
// The caller keeps the time and sets it again when the destination is activated.
func (p *Pool) ForgetDestination(dest int) { delete(p.scopes, scopeKey{dest: dest}) }
