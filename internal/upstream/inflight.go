package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// Calls in flight are suspended when the relay hands over to another process. A call whose
// last byte is written and whose response has not started waits, and its connection can be
// passed to the other process, which reads the response. All other calls end in this process.

// InFlight is the set of calls in flight. The zero value is an empty set, ready to use.
type InFlight struct {
	mu    sync.Mutex
	calls map[*Call]struct{}
}

// Add adds a call.
func (f *InFlight) Add(call *Call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.calls == nil {
		f.calls = map[*Call]struct{}{}
	}
	f.calls[call] = struct{}{}
}

// Remove removes a call that has ended.
func (f *InFlight) Remove(call *Call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.calls, call)
}

func (f *InFlight) each(visit func(*Call)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for call := range f.calls {
		visit(call)
	}
}

// Suspend asks every call to suspend. A call whose last byte is not yet written is
// stopped and ends as not sent. A call that is sent and has no response yet waits, unless
// it uses TLS.
func (f *InFlight) Suspend() { f.each((*Call).suspend) }

// AllSuspended reports whether every call is suspended.
func (f *InFlight) AllSuspended() bool {
	all := true
	f.each(func(call *Call) { all = all && call.suspendedConn() != nil })
	return all
}

// CancelUnsuspended cancels the calls that are not suspended. The other process may
// immediately send their messages again, and then no connection of theirs may still be
// open here.
func (f *InFlight) CancelUnsuspended() {
	f.each(func(call *Call) {
		if call.suspendedConn() == nil {
			call.Cancel()
		}
	})
}

// Resume continues the suspended calls in this process.
func (f *InFlight) Resume() { f.each(func(call *Call) { call.resume(true) }) }

// Abandon ends the suspended calls here without a result, because another process has
// adopted them.
func (f *InFlight) Abandon() { f.each(func(call *Call) { call.resume(false) }) }

func (c *Call) suspend() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.resumeHere != nil {
		return
	}
	switch {
	case c.conn == nil:
		c.resumeHere = make(chan bool, 1)
		c.cancel(errHandedOver)
	case c.conn.tls != nil:
		// The TLS keys exist only in this process, so the call cannot be handed over: it
		// ends here, or it is cancelled and may have run.
	default:
		c.resumeHere = make(chan bool, 1)
		c.conn.expireReadsAt(pastDeadline)
	}
}

func (c *Call) resume(here bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.resumeHere != nil {
		c.resumeHere <- here
		c.resumeHere, c.suspended = nil, false
	}
}

// suspendedConn returns the connection of a suspended call, and nil if the call is not
// suspended.
func (c *Call) suspendedConn() *poolConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.suspended {
		return nil
	}
	return c.conn
}

// SuspendedFD returns the file descriptor of a suspended call's connection, which can be
// passed to another process. The call still owns the descriptor. ok is false if the call
// is not suspended or its connection cannot be passed on.
func (c *Call) SuspendedFD() (fd int, ok bool) {
	conn := c.suspendedConn()
	if conn == nil {
		return 0, false
	}
	fd, err := conn.descriptor()
	return fd, err == nil
}

// markSent records the connection on which the call's last byte was written. If the call
// has been asked to suspend meanwhile, it starts to do so.
func (c *Call) markSent(conn *poolConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = conn
	switch {
	case c.resumeHere == nil:
	case conn.tls != nil: // a call over TLS cannot be suspended, so it ends in this process
		c.resumeHere = nil
	default:
		conn.expireReadsAt(pastDeadline)
	}
}

// awaitFirstByte waits until a response starts or the call ends without one. It returns
// false if the call continues in another process.
func (c *Call) awaitFirstByte(ctx context.Context, conn *poolConn) bool {
	for {
		_, err := conn.reader.Peek(1)
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || ctx.Err() != nil {
			return true
		}
		c.mu.Lock()
		resumeHere := c.resumeHere
		c.suspended = resumeHere != nil
		c.mu.Unlock()
		if resumeHere != nil && !<-resumeHere {
			return false
		}
		conn.expireReadsAt(time.Time{})
		if ctx.Err() != nil { // the line above may have cleared the deadline that ctx set
			conn.expireAt(pastDeadline)
		}
	}
}

// Adopt continues a call that another process has sent: it takes ownership of the file
// descriptor of the call's connection and waits for the response. It calls report once, or
// not at all if it returns an error.
func (c *Call) Adopt(endpoint *Endpoint, fd int, request Request, report func(Result)) error {
	conn, err := endpoint.adoptConn(fd)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeoutCause(c.ctx, request.Timeout, context.DeadlineExceeded)
	defer cancel()
	req, err := newCallRequest(endpoint.address, &request)
	if err != nil {
		conn.discard()
		return err
	}
	conn.sentAt = time.Now().Add(-c.elapsedBefore)
	conn.message, conn.repeatable = request.ID, request.Repeatable
	c.markSent(conn)
	c.awaitResponse(ctx, conn, req, conn.sentAt, request.LoadFields, report)
	return nil
}

// adoptConn returns a pool connection for a file descriptor. The connection counts as
// open, even if that exceeds the pool's limit.
func (e *Endpoint) adoptConn(fd int) (*poolConn, error) {
	file := os.NewFile(uintptr(fd), "call")
	raw, err := net.FileConn(file)
	_ = file.Close() // the connection has a duplicate of the descriptor
	if err != nil {
		return nil, err
	}
	e.pool.mu.Lock()
	e.pool.open++
	e.pool.mu.Unlock()
	conn := newPoolConn(e, raw)
	conn.status = http.StatusOK // it may have carried an earlier response
	return conn, nil
}
