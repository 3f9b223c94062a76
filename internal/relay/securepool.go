package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"troutusher/internal/sendgate"
	"troutusher/internal/tlsdial"
)

// Connections over TLS. A handshake belongs to its endpoint and not to a
// message: it goes on when the message that wanted it has gone, and whoever
// waits there takes what is free first. So calls share connections before more
// are opened, and none is thrown away half made.

const (
	postHandshakeWait     = time.Millisecond // for what a partner's TLS says unasked, to be read
	maxPostHandshakeReads = 8                // times that it is read before a call
	maxUnusableConns      = 2                // new connections of no use that one wait for a connection stands
)

// connRequest is what a call wants of a connection over TLS, and what it took.
type connRequest struct {
	warmingUp  bool // its endpoint is: one is opened at a time, by a call that has paid
	mayConnect bool // the decision module has counted on one being opened
	opened     int
}

// errConnectNotAllowed is a call that found no connection at a cold endpoint, and no call
// that it could have one of, and that was not to open its own.
var errConnectNotAllowed = errors.New("tls: no connection is free at a cold endpoint")

// handshakeBudgetError is a call that could not have its connection in time.
type handshakeBudgetError struct{ retryAfter time.Duration }

func (e handshakeBudgetError) Error() string {
	return fmt.Sprintf("tls: no turn for a handshake in time, the next is in %v", e.retryAfter.Round(time.Millisecond))
}

// OpenEndpoint is a home that is reached over TLS where the operator's file says
// so.
func (p *Pool) OpenEndpoint(addr string, peers *tlsdial.Dialer, endpoint uint64, dest int, flavor string) *Endpoint {
	h := p.newEndpoint(addr)
	h.peer = peers.Endpoint(endpoint, dest, flavor, func() bool {
		p.mu.Lock()
		h.connecting++
		p.mu.Unlock()
		opened, _, err := h.openTLS(true, true)
		return err == nil && opened != nil
	})
	return h
}

// acquireTLS gives an idle connection, or waits for one that becomes free or
// opens. Its error is errNoTurn or *secure.Out where nothing was asked of the
// endpoint.
func (h *Endpoint) acquireTLS(ctx context.Context, w *connRequest) (*poolConn, error) {
	p := h.pool
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	deadline, bounded := ctx.Deadline()
	p.mu.Lock()
	h.waiters++
	p.mu.Unlock()
	waits := true
	defer func() {
		if waits {
			p.mu.Lock()
			h.waiters--
			p.mu.Unlock()
		}
	}()
	var opened <-chan error // of the one that this call has opened
	for spoilt := 0; ; {
		p.mu.Lock()
		now := time.Now()
		if h.closed {
			p.mu.Unlock()
			return nil, sendgate.ErrEndpointDraining
		}
		c, again, bad := h.takeIdle(now)
		if c != nil { // counted out at once: nobody opens one for it any more
			waits = false
			h.waiters--
		}
		if h.connChanged == nil {
			h.connChanged = make(chan struct{})
		}
		news, wanted := h.connChanged, c == nil && opened == nil && spoilt+bad < maxUnusableConns && h.connecting < h.waiters
		if wanted {
			h.connecting++
		}
		p.mu.Unlock()
		if c != nil {
			return c, nil
		}
		if spoilt += bad; spoilt >= maxUnusableConns {
			return nil, errStaleConn
		}
		if wanted && w.warmingUp && !w.mayConnect && h.peer.ChargesHandshakes() {
			p.mu.Lock()
			h.connecting--
			p.mu.Unlock()
			if again.IsZero() {
				return nil, errConnectNotAllowed
			}
			wanted = false // one is too fresh to be used, and soon will not be
		}
		if wanted {
			began, at, err := h.openTLS(w.warmingUp, false)
			if err != nil {
				return nil, err
			}
			if began != nil {
				w.opened++
			}
			switch opened = began; {
			case began != nil || at.IsZero():
			case bounded && at.After(deadline) && again.IsZero():
				return nil, handshakeBudgetError{at.Sub(now)}
			case again.IsZero() || at.Before(again):
				again = at
			}
		}
		if again.IsZero() {
			again = now.Add(time.Hour)
		}
		timer.Reset(max(again.Sub(now), 0))
		select {
		case err := <-opened:
			if err != nil {
				return nil, err
			}
			opened = nil // it is idle, unless another was faster or it is of no use already
		case <-news:
		case <-timer.C:
		case <-ctx.Done():
			if opened != nil { // the endpoint was asked, and is slow
				return nil, ctx.Err()
			}
			return nil, handshakeBudgetError{}
		}
	}
}

// openTLS begins to open a connection, which its caller has counted as one
// that is being opened, and which is idle once it is open. Without
// a channel and an error it may not be begun now: at is when to ask again, zero
// for once another one there has ended.
func (h *Endpoint) openTLS(cold, scheduled bool) (opened <-chan error, at time.Time, err error) {
	p := h.pool
	defer func() {
		if opened == nil {
			p.mu.Lock()
			h.connecting--
			p.mu.Unlock()
		}
	}()
	turn, at, err := h.peer.Acquire(cold, scheduled)
	if err != nil || turn == nil {
		return nil, at, err
	}
	p.mu.Lock()
	ok := p.reserveLocked()
	p.mu.Unlock()
	if !ok {
		turn.Release()
		return nil, at, errPoolFull
	}
	done := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), turn.Timeout())
		defer cancel()
		conn, err := h.handshake(ctx, turn)
		p.mu.Lock()
		defer p.mu.Unlock()
		h.connecting--
		switch {
		case err != nil:
			p.open--
		default:
			c := &poolConn{Conn: conn, tls: conn, endpoint: h, remaining: maxResponseBytes, idleSince: time.Now().Add(-reuseDelay)}
			c.reader = bufio.NewReader(c)
			if h.closed {
				p.closeLocked(c)
				break
			}
			p.idle = append(p.idle, c)
		}
		h.notifyWaiters()
		done <- err
	}()
	return done, time.Time{}, nil
}

func (h *Endpoint) handshake(ctx context.Context, turn *tlsdial.Permit) (*tlsdial.Conn, error) {
	raw, err := h.dial(ctx, h.addr)
	if err != nil {
		turn.Release()
		return nil, err
	}
	return turn.Handshake(ctx, raw)
}

// reusableTLS is clean over TLS. What has come may be the partner's housekeeping,
// new sessions or keys (RFC 8446 section 4.6), which is taken in; anything else,
// and part of a record, which may be the connection's end, is of no use.
func (c *poolConn) reusableTLS() bool {
	if !c.tls.IdentityCurrent() {
		return false
	}
	defer c.SetReadDeadline(time.Time{})
	for range maxPostHandshakeReads {
		c.SetReadDeadline(pastDeadline) // what was read from the socket already
		if c.hasUnexpectedInput() {
			return false
		}
		c.SetReadDeadline(time.Time{})
		if noPendingInput(c.tls.Raw()) {
			return c.tls.AtRecordBoundary()
		}
		c.SetReadDeadline(time.Now().Add(postHandshakeWait))
		if c.hasUnexpectedInput() {
			return false
		}
	}
	return false
}

// hasUnexpectedInput reports whether something comes by the read's deadline that is not
// housekeeping: bytes, the end, or the partner's word that it does not accept us.
func (c *poolConn) hasUnexpectedInput() bool {
	_, err := c.reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	if err != nil {
		c.tls.Endpoint().RecordAlert(err)
	}
	return true
}
