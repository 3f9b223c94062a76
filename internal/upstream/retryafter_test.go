package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"troutusher/internal/sendgate"
	"troutusher/internal/upstream/upstreamtest"
	"troutusher/policy"
)

// A call that waits for its connection, or has written all but its last byte, when a
// sibling receives a Retry-After time does not go out: it never ran, and its result says
// for how long it is held back.
func TestRetryAfterStopsUnsentCalls(t *testing.T) {
	const wait = policy.Time(5e6)
	for name, where := range map[string]func(endpoint *Endpoint, notify func()){
		"connecting": func(endpoint *Endpoint, notify func()) {
			dial := endpoint.dial
			endpoint.dial = func(ctx context.Context, addr string) (net.Conn, error) {
				notify()
				if ctx.Err() == nil {
					t.Error("the dial goes on")
				}
				return dial(context.Background(), addr)
			}
		},
		"connected at that moment": func(endpoint *Endpoint, notify func()) {
			dial := endpoint.dial
			endpoint.dial = func(ctx context.Context, addr string) (net.Conn, error) {
				conn, err := dial(ctx, addr)
				notify()
				return conn, err
			}
		},
		"before its last byte": func(endpoint *Endpoint, notify func()) {
			dial := endpoint.dial
			endpoint.dial = func(ctx context.Context, addr string) (net.Conn, error) {
				conn, err := dial(ctx, addr)
				return &callbackConn{TCPConn: conn.(*net.TCPConn), onWrite: notify}, err
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			server := newCountingEndpoint(t, http.StatusOK)
			pool := testPool(t)
			endpoint, sibling := openPlain(pool, server.address), openPlain(pool, server.address)
			shared := &sendgate.Scope{}
			endpoint.gate, sibling.gate = shared.Gate(), shared.Gate()
			where(endpoint, func() { now := pool.now(); sibling.gate.HoldUntil(now, now+wait) })
			result := callOnce(t, endpoint, Request{ID: "m", Body: []byte("b")})
			if result.Outcome != policy.NotSent || result.RetryAfter <= 0 || result.RetryAfter > wait ||
				!sendgate.IsRefusal(result.Err) {
				t.Errorf("got %+v", result)
			}
			if n := server.count("m"); n != 0 {
				t.Errorf("the call went out %d times", n)
			}
			shared.HoldUntil(0, 0)
			if left := endpoint.RetryAfter(); left <= 0 {
				t.Error("the Retry-After time is forgotten")
			}
		})
	}
}

// callbackConn calls a function once the first bytes of a call are written.
type callbackConn struct {
	*net.TCPConn
	onWrite func()
	written bool
}

func (c *callbackConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if !c.written {
		c.written = true
		c.onWrite()
	}
	return n, err
}

// A Retry-After time binds from when its head is read, whatever becomes of the rest of
// the response; the call itself may have run if that cannot be believed.
func TestRetryAfterOfMalformedResponse(t *testing.T) {
	forEachTransport(t, testRetryAfterOfMalformedResponse)
}

func testRetryAfterOfMalformedResponse(t *testing.T, tr *transport) {
	const head = "HTTP/1.1 429 W\r\nRetry-After: 7.5\r\nContent-Length: 9\r\n\r\n"
	for name, test := range map[string]struct {
		rest func(conn net.Conn)
		wait policy.Time
		text string
	}{
		"cut":      {rest: func(conn net.Conn) { respond(conn, "half") }, wait: 7500e3, text: head},
		"reset":    {rest: resetOnClose, wait: 7500e3, text: head},
		"too late": {rest: func(conn net.Conn) { awaitByte(bufio.NewReader(conn)) }, wait: 7500e3, text: head},
		"too long": {
			rest: func(conn net.Conn) {},
			wait: 7500e3, text: "HTTP/1.1 429 W\r\nRetry-After: 7.5\r\nContent-Length: 3000000000\r\n\r\n",
		},
		"half a head": {rest: func(conn net.Conn) {}, text: "HTTP/1.1 429 W\r\nRetry-After: 7.5\r\n"},
		"no time": {
			rest: func(conn net.Conn) { respond(conn, "123456789") },
			text: "HTTP/1.1 429 W\r\nRetry-After: soon\r\nContent-Length: 9\r\n\r\n",
		},
		"not of a 429": {
			rest: func(conn net.Conn) { respond(conn, "half") },
			text: "HTTP/1.1 500 E\r\nRetry-After: 7.5\r\nContent-Length: 9\r\n\r\n",
		},
	} {
		t.Run(name, func(t *testing.T) {
			read := make(chan bool, 1)
			endpoint := tr.open(testPool(t), tr.serve(t, func(conn net.Conn) {
				if upstreamtest.ReadRequest(bufio.NewReader(conn)) {
					respond(conn, test.text)
					if name == "too late" || name == "reset" {
						<-read // the head, before anything else
					}
					test.rest(conn)
				}
			}))
			done := make(chan Result, 1)
			go func() {
				done <- callOnce(t, endpoint, Request{ID: "m", Body: []byte("b")})
			}()
			if name == "too late" || name == "reset" {
				waitFor(t, "the Retry-After time", func() bool { return endpoint.RetryAfter() > 0 })
				read <- true
			}
			result := <-done
			if (result.Outcome != policy.Failed && result.Outcome != policy.ConnectionReset) ||
				result.RetryAfter != test.wait {
				t.Errorf("got %+v, want a wait of %d ms", result, test.wait/1000)
			}
			if left := endpoint.RetryAfter(); (left > 0) != (test.wait > 0) || left > test.wait {
				t.Errorf("held back for %d ms, asked for %d", left/1000, test.wait/1000)
			}
		})
	}
}

// A response that has come by the time that its call is given up is read.
func TestResponseAlreadyThereAtTimeout(t *testing.T) {
	for name, call := range map[string]*Call{"timed out": newTestCall(), "cancelled": newTestCall()} {
		t.Run(name, func(t *testing.T) {
			here, there := net.Pipe()
			defer func() { _ = there.Close() }()
			pool := testPool(t)
			endpoint := openPlain(pool, "")
			pool.open++
			conn := newPoolConn(endpoint, here)
			go respond(there, "HTTP/1.1 429 W\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n")
			ctx, cancel := context.WithTimeoutCause(call.ctx, testTimeout, context.DeadlineExceeded)
			defer cancel()
			if name == "cancelled" {
				call.Cancel()
			} else {
				ctx, cancel = context.WithDeadlineCause(
					call.ctx,
					time.Now().Add(-time.Second),
					context.DeadlineExceeded,
				)
				defer cancel()
			}
			req, err := newCallRequest("127.0.0.1:1", &Request{ID: "m", Timeout: time.Second})
			if err != nil {
				t.Fatal(err)
			}
			var got []Result
			call.awaitResponse(ctx, conn, req, time.Now(), nil, func(result Result) { got = append(got, result) })
			if len(got) != 1 || got[0].Outcome != policy.Rejected || got[0].RetryAfter != 2e6 ||
				endpoint.RetryAfter() == 0 {
				t.Errorf("got %+v, held back for %d ms", got, endpoint.RetryAfter()/1000)
			}
		})
	}
}

// TestForgetScopes: a scope ends with what it is kept for, and not before.
func TestForgetScopes(t *testing.T) {
	pool := testPool(t)
	for id, independent := range map[policy.EndpointID]bool{1: false, 2: false, 3: true} {
		pool.OpenEndpoint(EndpointOptions{ID: id, Dest: 7, IndependentRoute: independent}).Close()
	}
	if len(pool.scopes) != 2 {
		t.Fatalf("%d scopes, want that of the destination and that of the route", len(pool.scopes))
	}
	if pool.ForgetRoute(1); len(pool.scopes) != 2 {
		t.Error("forgotten with an endpoint that is no route")
	}
	if pool.ForgetRoute(3); pool.scopes[scopeKey{route: 3}] != nil {
		t.Error("the scope of a forgotten route is kept")
	}
	if pool.ForgetDestination(7); len(pool.scopes) != 0 {
		t.Error("the scope of a passivated destination is kept")
	}
}
