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

var errCeded = errors.New("the relay's work goes to another process")

// outgoing is the set of calls that are out.
type outgoing struct {
	mu    sync.Mutex
	calls map[*core.Call]*call
}

func (o *outgoing) add(k *core.Call, c *call) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.calls == nil {
		o.calls = map[*core.Call]*call{}
	}
	o.calls[k] = c
}

func (o *outgoing) done(k *core.Call) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.calls, k)
}

func (o *outgoing) each(f func(*core.Call, *call)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for k, c := range o.calls {
		f(k, c)
	}
}

// park asks every call to come to rest: not begun yet, it never is; written and
// not answered, it waits. still tells whether all have.
func (o *outgoing) park() { o.each(func(_ *core.Call, c *call) { c.park() }) }

func (o *outgoing) still() bool {
	still := true
	o.each(func(_ *core.Call, c *call) { still = still && c.parkedConn() != nil })
	return still
}

// cut calls off those that have not come to rest: what another process takes over
// may go out there at once, while their connections would be open here.
func (o *outgoing) cut() {
	o.each(func(_ *core.Call, c *call) {
		if c.parkedConn() == nil {
			c.stop(errCancelled)
		}
	})
}

// unpark has the parked calls go on here, or leaves them to the other process.
func (o *outgoing) unpark(here bool) { o.each(func(_ *core.Call, c *call) { c.unpark(here) }) }

func (c *call) park() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ceding != nil {
		return
	}
	c.ceding = make(chan bool, 1)
	switch {
	case c.conn == nil:
		c.stop(errCeded)
	case c.conn.tls != nil:
		// Its keys are in this process alone: it ends here, or is not waited for
		// any more and may have run.
		c.ceding = nil
	default:
		c.conn.SetReadDeadline(longAgo)
	}
}

func (c *call) unpark(here bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ceding != nil {
		c.ceding <- here
		c.ceding, c.parked = nil, false
	}
}

// parkedConn is the connection of a call that rests; nil for one that does not.
func (c *call) parkedConn() *poolConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.parked {
		return nil
	}
	return c.conn
}

// sent keeps the connection of a call whose last byte is out.
func (c *call) sent(conn *poolConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = conn
	if c.ceding != nil && conn.tls != nil {
		c.ceding = nil
	} else if c.ceding != nil {
		conn.SetReadDeadline(longAgo)
	}
}

// begun waits until an answer begins, or nothing is to be waited for any more.
// It is false where the call goes on in another process.
func (c *call) begun(ctx context.Context, conn *poolConn) bool {
	for {
		_, err := conn.in.Peek(1)
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || ctx.Err() != nil {
			return true
		}
		c.mu.Lock()
		ceding := c.ceding
		c.parked = ceding != nil
		c.mu.Unlock()
		if ceding != nil && !<-ceding {
			return false
		}
		conn.SetReadDeadline(time.Time{})
		if ctx.Err() != nil { // its deadline may be the one just cleared
			conn.SetDeadline(longAgo)
		}
	}
}

// goOn waits for the answer to a call that another process has written.
func (c *call) goOn(h *home, fd int, rec *record, limit time.Duration, loads []string, tell func(outcome)) error {
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
	conn := &poolConn{Conn: raw, home: h, left: answerMost}
	conn.in = bufio.NewReader(conn)
	ctx, cancel := context.WithTimeoutCause(c.ctx, limit, context.DeadlineExceeded)
	defer cancel()
	req, err := newCallRequest(h.addr, rec.ID, rec.Key, rec.Body, limit)
	if err != nil {
		conn.drop()
		return err
	}
	c.sent(conn)
	c.answer(ctx, conn, req, time.Now().Add(-c.before), loads, tell)
	return nil
}
