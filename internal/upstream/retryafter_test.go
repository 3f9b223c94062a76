package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"troutusher/internal/sendgate"
	"troutusher/internal/upstream/upstreamtest"
	"troutusher/policy"
)

// A call that waits for its connection, or has written all but its last byte,
// when a sibling hears of a wait does not go out: it never ran, its endpoint was
// not asked, and it says for how long it was kept.
func TestRetryAfterStopsUnsentCalls(t *testing.T) {
	const wait = policy.Time(5e6)
	for name, where := range map[string]func(h *Endpoint, tell func()){
		"connecting": func(h *Endpoint, tell func()) {
			dial := h.dial
			h.dial = func(ctx context.Context, addr string) (net.Conn, error) {
				tell()
				if ctx.Err() == nil {
					t.Error("the dial goes on")
				}
				return dial(context.Background(), addr)
			}
		},
		"connected as the word comes": func(h *Endpoint, tell func()) {
			dial := h.dial
			h.dial = func(ctx context.Context, addr string) (net.Conn, error) {
				conn, err := dial(ctx, addr)
				tell()
				return conn, err
			}
		},
		"before its last byte": func(h *Endpoint, tell func()) {
			dial := h.dial
			h.dial = func(ctx context.Context, addr string) (net.Conn, error) {
				conn, err := dial(ctx, addr)
				return &callbackConn{TCPConn: conn.(*net.TCPConn), tell: tell}, err
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			ep := newCountingEndpoint(t, http.StatusOK)
			p := testPool(t)
			h, sibling := openPlain(p, ep.address), openPlain(p, ep.address)
			shared := &sendgate.Scope{}
			h.gate, sibling.gate = shared.Gate(), shared.Gate()
			where(h, func() { now := p.now(); sibling.gate.HoldUntil(now, now+wait) })
			o := complete(t, newTestCall(), h, Request{ID: "m", Body: []byte("b"), Timeout: testTimeout})
			if o.Outcome != policy.NotSent || o.RetryAfter <= 0 || o.RetryAfter > wait || !sendgate.IsRefusal(o.Err) {
				t.Errorf("got %+v", o)
			}
			if n := ep.count("m"); n != 0 {
				t.Errorf("the call went out %d times", n)
			}
			shared.HoldUntil(0, 0)
			if left := h.RetryAfter(); left <= 0 {
				t.Error("the wait is forgotten")
			}
		})
	}
}

// callbackConn has the word come once the first bytes of a call are out.
type callbackConn struct {
	*net.TCPConn
	tell func()
	told bool
}

func (c *callbackConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if !c.told {
		c.told = true
		c.tell()
	}
	return n, err
}

// A wait binds from when its head is read, whatever becomes of the rest of the
// answer; the call itself may have run if that cannot be believed.
func TestRetryAfterOfMalformedResponse(t *testing.T) {
	forEachTransport(t, testRetryAfterOfMalformedResponse)
}

func testRetryAfterOfMalformedResponse(t *testing.T, w *transport) {
	const head = "HTTP/1.1 429 W\r\nRetry-After: 7.5\r\nContent-Length: 9\r\n\r\n"
	for name, x := range map[string]struct {
		rest func(c net.Conn)
		wait policy.Time
		text string
	}{
		"cut":             {rest: func(c net.Conn) { io.WriteString(c, "half") }, wait: 7500e3, text: head},
		"reset":           {rest: func(c net.Conn) { tcpConnOf(c).SetLinger(0) }, wait: 7500e3, text: head},
		"too late":        {rest: func(c net.Conn) { bufio.NewReader(c).ReadByte() }, wait: 7500e3, text: head},
		"too long":        {rest: func(c net.Conn) {}, wait: 7500e3, text: "HTTP/1.1 429 W\r\nRetry-After: 7.5\r\nContent-Length: 3000000000\r\n\r\n"},
		"half a head":     {rest: func(c net.Conn) {}, text: "HTTP/1.1 429 W\r\nRetry-After: 7.5\r\n"},
		"no time":         {rest: func(c net.Conn) { io.WriteString(c, "123456789") }, text: "HTTP/1.1 429 W\r\nRetry-After: soon\r\nContent-Length: 9\r\n\r\n"},
		"another's words": {rest: func(c net.Conn) { io.WriteString(c, "half") }, text: "HTTP/1.1 500 E\r\nRetry-After: 7.5\r\nContent-Length: 9\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			read := make(chan bool, 1)
			h := w.open(testPool(t), w.serve(t, func(c net.Conn) {
				if upstreamtest.ReadRequest(bufio.NewReader(c)) {
					io.WriteString(c, x.text)
					if name == "too late" || name == "reset" {
						<-read // the head, before anything else
					}
					x.rest(c)
				}
			}))
			done := make(chan Result, 1)
			go func() {
				done <- complete(t, newTestCall(), h, Request{ID: "m", Body: []byte("b"), Timeout: testTimeout})
			}()
			if name == "too late" || name == "reset" {
				waitFor(t, "the word of the wait", func() bool { return h.RetryAfter() > 0 })
				read <- true
			}
			o := <-done
			if (o.Outcome != policy.Failed && o.Outcome != policy.ConnectionReset) || o.RetryAfter != x.wait {
				t.Errorf("got %+v, want a wait of %d ms", o, x.wait/1000)
			}
			if left := h.RetryAfter(); (left > 0) != (x.wait > 0) || left > x.wait {
				t.Errorf("held for %d ms, told %d", left/1000, x.wait/1000)
			}
		})
	}
}

// An answer that has come by the time that its call is given up is heard.
func TestResponseAlreadyThereAtTimeout(t *testing.T) {
	for name, c := range map[string]*Call{"timed out": newTestCall(), "called off": newTestCall()} {
		t.Run(name, func(t *testing.T) {
			here, there := net.Pipe()
			defer there.Close()
			p := testPool(t)
			h := openPlain(p, "")
			p.open++
			conn := newPoolConn(h, here)
			go io.WriteString(there, "HTTP/1.1 429 W\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n")
			ctx, cancel := context.WithTimeoutCause(c.ctx, testTimeout, context.DeadlineExceeded)
			defer cancel()
			if name == "called off" {
				c.Cancel()
			} else {
				ctx, cancel = context.WithDeadlineCause(c.ctx, time.Now().Add(-time.Second), context.DeadlineExceeded)
				defer cancel()
			}
			req, err := newCallRequest("127.0.0.1:1", &Request{ID: "m", Timeout: time.Second})
			if err != nil {
				t.Fatal(err)
			}
			var got []Result
			c.awaitResponse(ctx, conn, req, time.Now(), nil, func(o Result) { got = append(got, o) })
			if len(got) != 1 || got[0].Outcome != policy.Rejected || got[0].RetryAfter != 2e6 || h.RetryAfter() == 0 {
				t.Errorf("got %+v, held for %d ms", got, h.RetryAfter()/1000)
			}
		})
	}
}

// TestForgetScopes: a scope ends with what it is kept for, and not before.
func TestForgetScopes(t *testing.T) {
	p := testPool(t)
	for id, independent := range map[policy.EndpointID]bool{1: false, 2: false, 3: true} {
		p.OpenEndpoint(EndpointOptions{ID: id, Dest: 7, IndependentRoute: independent}).Close()
	}
	if len(p.scopes) != 2 {
		t.Fatalf("%d scopes, want that of the destination and that of the route", len(p.scopes))
	}
	if p.ForgetRoute(1); len(p.scopes) != 2 {
		t.Error("forgotten with an endpoint that is no route")
	}
	if p.ForgetRoute(3); p.scopes[scopeKey{route: 3}] != nil {
		t.Error("the scope of a forgotten route is kept")
	}
	if p.ForgetDestination(7); len(p.scopes) != 0 {
		t.Error("the scope of a passivated destination is kept")
	}
}
