package relay

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"troutusher/internal/core"
)

// The calls that are out, for the hand-over to another process: those whose
// answer has not begun are parked and passed on; the others end by themselves.

var errHandedOver = errors.New("the relay's work goes to another process")

// InFlight is the set of calls that are out.
type InFlight struct {
	mu    sync.Mutex
	calls map[*core.Call]*Call
}

func (o *InFlight) Add(k *core.Call, c *Call) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.calls == nil {
		o.calls = map[*core.Call]*Call{}
	}
	o.calls[k] = c
}

func (o *InFlight) Remove(k *core.Call) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.calls, k)
}

func (o *InFlight) each(f func(*core.Call, *Call)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for k, c := range o.calls {
		f(k, c)
	}
}

// Suspend asks every call to come to rest: not begun yet, it never is; written and
// not answered, it waits. still tells whether all have.
func (o *InFlight) Suspend() { o.each(func(_ *core.Call, c *Call) { c.suspend() }) }

func (o *InFlight) AllSuspended() bool {
	still := true
	o.each(func(_ *core.Call, c *Call) { still = still && c.suspendedConn() != nil })
	return still
}

// CancelUnsuspended calls off those that have not come to rest: what another process takes over
// may go out there at once, while their connections would be open here.
func (o *InFlight) CancelUnsuspended() {
	o.each(func(_ *core.Call, c *Call) {
		if c.suspendedConn() == nil {
			c.cancel(ErrCancelled)
		}
	})
}

// Resume has the parked calls go on here, or leaves them to the other process.
func (o *InFlight) Resume(here bool) { o.each(func(_ *core.Call, c *Call) { c.resume(here) }) }

func (c *Call) suspend() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.resumeHere != nil {
		return
	}
	c.resumeHere = make(chan bool, 1)
	switch {
	case c.conn == nil:
		c.cancel(errHandedOver)
	case c.conn.tls != nil:
		// Its keys are in this process alone: it ends here, or is not waited for
		// any more and may have run.
		c.resumeHere = nil
	default:
		c.conn.SetReadDeadline(pastDeadline)
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

// suspendedConn is the connection of a call that rests; nil for one that does not.
func (c *Call) suspendedConn() *poolConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.suspended {
		return nil
	}
	return c.conn
}

// markSent keeps the connection of a call whose last byte is out.
func (c *Call) markSent(conn *poolConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = conn
	if c.resumeHere != nil && conn.tls != nil {
		c.resumeHere = nil
	} else if c.resumeHere != nil {
		conn.SetReadDeadline(pastDeadline)
	}
}

// awaitFirstByte waits until an answer begins, or nothing is to be waited for any more.
// It is false where the call goes on in another process.
func (c *Call) awaitFirstByte(ctx context.Context, conn *poolConn) bool {
	for {
		_, err := conn.reader.Peek(1)
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || ctx.Err() != nil {
			return true
		}
		c.mu.Lock()
		ceding := c.resumeHere
		c.suspended = ceding != nil
		c.mu.Unlock()
		if ceding != nil && !<-ceding {
			return false
		}
		conn.SetReadDeadline(time.Time{})
		if ctx.Err() != nil { // its deadline may be the one just cleared
			conn.SetDeadline(pastDeadline)
		}
	}
}

// Adopt waits for the answer to a call that another process has written.
func (c *Call) Adopt(h *Endpoint, fd int, rec *record, limit time.Duration, loads []string, tell func(Result)) error {
	file := os.NewFile(uintptr(fd), "call")
	raw, err := net.FileConn(file)
	file.Close()
	if err != nil {
		return err
	}
	p := h.pool
	p.mu.Lock()
	p.open++
	p.mu.Unlock()
	conn := &poolConn{Conn: raw, endpoint: h, remaining: maxResponseBytes}
	conn.reader = bufio.NewReader(conn)
	ctx, cancel := context.WithTimeoutCause(c.ctx, limit, context.DeadlineExceeded)
	defer cancel()
	req, err := newCallRequest(h.addr, rec.ID, rec.Key, rec.Body, limit)
	if err != nil {
		conn.discard()
		return err
	}
	c.markSent(conn)
	c.awaitResponse(ctx, conn, req, time.Now().Add(-c.elapsedBefore), loads, tell)
	return nil
}
