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
	// reuseDelay is how long a connection rests between two calls. What an endpoint
	// sends behind a response comes with it or straight after; the connection is not
	// used again before that could be seen.
	reuseDelay = 5 * time.Millisecond
	// defaultStaleCheckDelay is how long a call waits before its last byte for a
	// connection to show that its endpoint has closed it.
	defaultStaleCheckDelay = 3 * time.Millisecond
	// maxIdleMargin is the longest part of an endpoint's keep-alive time that is left
	// unused where that time is short.
	maxIdleMargin = 250 * time.Millisecond
)

// PoolOptions configure a [Pool].
type PoolOptions struct {
	ConnectTimeout time.Duration // of TCP
	// IdleTimeout is how long a connection may be idle and still be used; 0 for any
	// time. See [IdleMargin].
	IdleTimeout time.Duration
	MaxConns    int                // open at once, over all endpoints
	Now         func() policy.Time // the clock of Retry-After times and of [CallOptions.SendBy]
	TLS         *tlsdial.Dialer    // nil where no endpoint is reached over TLS
}

// Pool holds the connections to all endpoints, bounded in number. The methods that
// open and forget endpoints belong to one goroutine; all others are safe for
// concurrent use.
type Pool struct {
	connectTimeout  time.Duration
	idleTimeout     time.Duration
	maxConns        int
	staleCheckDelay time.Duration // before a call's last byte
	now             func() policy.Time
	tls             *tlsdial.Dialer

	mu   sync.Mutex
	open int         // connections being dialled, in use or idle
	idle []*poolConn // the one idle for longest first

	// scopes belong to the goroutine that opens and forgets endpoints.
	scopes map[scopeKey]*sendgate.Scope
}

// scopeKey names what one Retry-After time binds: a destination, or an endpoint
// that is a route of its own.
type scopeKey struct {
	dest  int
	route policy.EndpointID // 0 for a destination
}

// IdleMargin returns the part of an endpoint's keep-alive time that is to be left
// unused, so that connections are closed from this side first: a request that is
// written as its endpoint closes ends as a reset. The endpoint counts from when it
// wrote its response, this side from when it had read it; the next request takes
// its way as well. The margin covers both ways and a late turn of a loaded machine,
// whatever the keep-alive is, and a tenth of a long one.
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

// Run closes connections that have been idle for too long, or that their endpoint
// has closed or written to, until ctx ends; then it closes all idle ones.
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

// closeIdleIf closes the idle connections for which unwanted is true.
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

// expired reports whether a connection has been idle for too long at a moment.
func (p *Pool) expired(c *poolConn, now time.Time) bool {
	return p.idleTimeout > 0 && now.Sub(c.idleSince) >= p.idleTimeout
}

// closeLocked closes a connection and frees its place. The caller holds the lock.
func (p *Pool) closeLocked(c *poolConn) {
	_ = c.Close() // whatever it says, the connection is given up
	p.open--
	c.endpoint.notifyWaiters()
}

// reserveLocked takes a place for another connection; where there is none, the one
// that has been idle for longest makes room, whichever endpoint it leads to. It
// reports whether there is a place. The caller holds the lock.
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

// unreserve frees the place of a connection that did not come up.
func (p *Pool) unreserve() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// counts returns how many connections are open, and how many of them are idle.
func (p *Pool) counts() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle)
}

// EndpointOptions describe an endpoint.
type EndpointOptions struct {
	ID      policy.EndpointID
	Address string // host:port
	Dest    int    // the destination that it serves
	Flavor  string // of the destination; chooses the rule of TLS
	// IndependentRoute has a Retry-After time of this endpoint bind it alone, and not
	// its whole destination.
	IndependentRoute bool
}

// OpenEndpoint returns the part of the pool for an endpoint that may be called from
// now on.
func (p *Pool) OpenEndpoint(options EndpointOptions) *Endpoint {
	key := scopeKey{dest: options.Dest}
	if options.IndependentRoute {
		key = scopeKey{route: options.ID}
	}
	endpoint := p.newEndpoint(options.Address, p.scope(key).Gate())
	endpoint.peer = p.tls.Endpoint(uint64(options.ID), options.Dest, options.Flavor, endpoint.retryHandshake)
	return endpoint
}

// ClosedEndpoint returns an endpoint that takes no calls: that of a call that was
// adopted from another process and whose endpoint has left the list since.
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

// scope returns the send gate's scope of a destination or a route. It outlasts the
// endpoints there, since a Retry-After time does.
func (p *Pool) scope(key scopeKey) *sendgate.Scope {
	scope := p.scopes[key]
	if scope == nil {
		scope = &sendgate.Scope{}
		p.scopes[key] = scope
	}
	return scope
}

// ForgetRoute drops the Retry-After time of an endpoint that is a route of its own.
// That of a destination stays, like all else that is known of one.
func (p *Pool) ForgetRoute(id policy.EndpointID) { delete(p.scopes, scopeKey{route: id}) }

// ForgetDestination drops the Retry-After time of a destination that is passivated:
// no call is on its way there, and its owner applies the time again on activation.
func (p *Pool) ForgetDestination(dest int) { delete(p.scopes, scopeKey{dest: dest}) }
