package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"troutusher/internal/core"
	"troutusher/internal/sendgate"
	"troutusher/policy"
)

// retryAfterLeft reports whether the gate keeps calls from going out, and for how long.
func retryAfterLeft(h *Endpoint) policy.Time {
	_, err := h.gate.Acquire(h.pool.now(), func(error) {})
	if w, ok := err.(sendgate.RetryAfterError); ok {
		return w.Remaining
	}
	return 0
}

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
				return &callbackConn{TCPConn: conn.(*net.TCPConn), callback: tell}, err
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			ep := newFakeEndpoint(t, nil)
			p := testPool(t)
			h, sibling := p.newEndpoint(ep.addr()), p.newEndpoint(ep.addr())
			shared := &sendgate.Scope{}
			h.gate, sibling.gate = shared.Gate(), shared.Gate()
			where(h, func() { now := p.now(); sibling.gate.HoldUntil(now, now+wait) })
			o := newTestCall().complete(t, h, &record{ID: "m", Body: []byte("b")}, testLimit)
			if o.Outcome != policy.NotSent || o.RetryAfter <= 0 || o.RetryAfter > wait || !sendgate.IsRefusal(o.Err) {
				t.Errorf("got %+v", o)
			}
			if n := ep.count("m"); n != 0 {
				t.Errorf("the call went out %d times", n)
			}
			shared.HoldUntil(0, 0)
			if left := retryAfterLeft(h); left <= 0 {
				t.Error("the wait is forgotten")
			}
		})
	}
}

// callbackConn has the word come once the first bytes of a call are out.
type callbackConn struct {
	*net.TCPConn
	callback func()
	called   bool
}

func (c *callbackConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if !c.called {
		c.called = true
		c.callback()
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
			h := w.endpoint(testPool(t), w.serve(t, func(c net.Conn) {
				if readRequest(bufio.NewReader(c)) {
					io.WriteString(c, x.text)
					if name == "too late" || name == "reset" {
						<-read // the head, before anything else
					}
					x.rest(c)
				}
			}))
			done := make(chan Result, 1)
			go func() { done <- newTestCall().complete(t, h, &record{ID: "m", Body: []byte("b")}, testLimit) }()
			if name == "too late" || name == "reset" {
				waitFor(t, "the word of the wait", func() bool { return retryAfterLeft(h) > 0 })
				read <- true
			}
			o := <-done
			if (o.Outcome != policy.Failed && o.Outcome != policy.ConnectionReset) || o.RetryAfter != x.wait {
				t.Errorf("got %+v, want a wait of %d ms", o, x.wait/1000)
			}
			if left := retryAfterLeft(h); (left > 0) != (x.wait > 0) || left > x.wait {
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
			h := p.newEndpoint("")
			p.open++
			conn := &poolConn{Conn: here, endpoint: h, remaining: maxResponseBytes}
			conn.reader = bufio.NewReader(conn)
			go io.WriteString(there, "HTTP/1.1 429 W\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n")
			ctx, cancel := context.WithTimeoutCause(c.ctx, testLimit, context.DeadlineExceeded)
			defer cancel()
			if name == "called off" {
				c.cancel(ErrCancelled)
			} else {
				ctx, cancel = context.WithDeadlineCause(c.ctx, time.Now().Add(-time.Second), context.DeadlineExceeded)
				defer cancel()
			}
			req, err := newCallRequest("127.0.0.1:1", "m", "", nil, time.Second)
			if err != nil {
				t.Fatal(err)
			}
			var got []Result
			c.awaitResponse(ctx, conn, req, time.Now(), nil, func(o Result) { got = append(got, o) })
			if len(got) != 1 || got[0].Outcome != policy.Rejected || got[0].RetryAfter != 2e6 || retryAfterLeft(h) == 0 {
				t.Errorf("got %+v, held for %d ms", got, retryAfterLeft(h)/1000)
			}
		})
	}
}

// A wait binds a destination's endpoints together, also one that opens later, and
// of routes apart the one that told it; it outlasts the home that heard it.
func TestRetryAfterScopes(t *testing.T) {
	r := &Relay{endpoints: map[policy.EndpointID]*Endpoint{}, pool: testPool(t), startedAt: time.Now()}
	r.pool.now = r.now
	open := func(n policy.EndpointID, dest int, apart bool) {
		r.executeEffect(core.OpenEndpoint{Endpoint: n, Address: "127.0.0.1:1", Dest: dest, IndependentRoute: apart})
	}
	open(1, 1, false)
	open(2, 1, false)
	open(3, 2, true)
	open(4, 2, true)
	open(5, 3, false)
	until := r.now() + 60e6
	r.executeEffect(core.ApplyRetryAfter{Endpoint: 1, Until: until})
	r.executeEffect(core.ApplyRetryAfter{Endpoint: 3, Until: until})
	r.executeEffect(core.CloseEndpoint{Endpoint: 3})
	open(3, 2, true)
	open(6, 1, false)
	for n, want := range map[policy.EndpointID]bool{1: true, 2: true, 3: true, 4: false, 5: false, 6: true} {
		if got := retryAfterLeft(r.endpoints[n]) > 0; got != want {
			t.Errorf("endpoint %d is held: %v", n, got)
		}
	}
	r.executeEffect(core.ForgetEndpoint{Endpoint: 3})
	if open(3, 2, true); retryAfterLeft(r.endpoints[3]) > 0 {
		t.Error("a route that was forgotten is held")
	}
	for _, n := range []policy.EndpointID{1, 2, 6} {
		r.executeEffect(core.CloseEndpoint{Endpoint: n})
		r.executeEffect(core.ForgetEndpoint{Endpoint: n})
	}
	if r.executeEffect(core.PassivateDestination{Dest: 1}); r.pool.scopes[scopeKey{dest: 1}] != nil {
		t.Error("a destination that rests keeps its scope")
	}
}
