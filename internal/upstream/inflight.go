package upstream

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// Calls in flight are suspended for the hand-over to another process: one whose
// response has not begun waits, and its connection can be passed on; the others end
// by themselves.

// InFlight is the set of calls that are in flight. The zero value is empty and ready
// to use.
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

// Suspend asks every call to come to rest: one whose request is not written never is
// and ends as not sent; one that is written and has no response yet waits.
func (f *InFlight) Suspend() { f.each((*Call).suspend) }

// AllSuspended reports whether every call is suspended.
func (f *InFlight) AllSuspended() bool {
	all := true
	f.each(func(call *Call) { all = all && call.suspendedConn() != nil })
	return all
}

// CancelUnsuspended cancels the calls that are not suspended: another process may
// send their messages again at once, while their connections would be open here.
func (f *InFlight) CancelUnsuspended() {
	f.each(func(call *Call) {
		if call.suspendedConn() == nil {
			call.Cancel()
		}
	})
}

// Resume has the suspended calls go on in this process.
func (f *InFlight) Resume() { f.each(func(call *Call) { call.resume(true) }) }

// Abandon leaves the suspended calls to the process that has adopted them. Their
// results are not reported here.
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
		// Its keys are in this process alone: it ends here, or is cancelled and may
		// have run.
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

// suspendedConn returns the connection of a suspended call; nil for one that is not.
func (c *Call) suspendedConn() *poolConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.suspended {
		return nil
	}
	return c.conn
}

// SuspendedFD returns the file descriptor of a suspended call's connection, to be
// passed to another process; it stays the call's own. ok is false for a call that is
// not suspended, or that cannot be passed on.
func (c *Call) SuspendedFD() (fd int, ok bool) {
	conn := c.suspendedConn()
	if conn == nil {
		return 0, false
	}
	fd, err := conn.descriptor()
	return fd, err == nil
}

// markSent keeps the connection of a call whose last byte is written.
func (c *Call) markSent(conn *poolConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = conn
	switch {
	case c.resumeHere == nil:
	case conn.tls != nil:
		c.resumeHere = nil
	default:
		conn.expireReadsAt(pastDeadline)
	}
}

// awaitFirstByte waits until a response begins, or until the call has ended without
// one. It is false where the call goes on in another process.
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
		if ctx.Err() != nil { // its deadline may be the one just cleared
			conn.expireAt(pastDeadline)
		}
	}
}

// Adopt waits for the response to a call that another process has written, on the
// connection with a file descriptor, which it takes over. It reports the result once,
// but with an error reports nothing.
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
	c.markSent(conn)
	c.awaitResponse(ctx, conn, req, time.Now().Add(-c.elapsedBefore), request.LoadFields, report)
	return nil
}

// adoptConn makes a connection of the pool of a file descriptor. It counts among the
// open ones, also above their bound.
func (e *Endpoint) adoptConn(fd int) (*poolConn, error) {
	file := os.NewFile(uintptr(fd), "call")
	raw, err := net.FileConn(file)
	_ = file.Close() // the connection has a copy
	if err != nil {
		return nil, err
	}
	e.pool.mu.Lock()
	e.pool.open++
	e.pool.mu.Unlock()
	return newPoolConn(e, raw), nil
}
