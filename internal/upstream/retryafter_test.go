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

// Guards against sending a call after the endpoint asked for a pause. If another endpoint of
// the same scope receives a Retry-After time while a call waits for its connection or has
// not written its last byte, the call must be stopped. It never ran, and its result
// contains the remaining wait.
func TestRetryAfterStopsUnsentCalls(t *testing.T) {
	const wait = policy.Time(5e6)
	for name, arrange := range map[string]func(endpoint *Endpoint, notify func()){
		"connecting": func(endpoint *Endpoint, notify func()) {
			dial := endpoint.dial
			endpoint.dial = func(ctx context.Context, addr string) (net.Conn, error) {
				notify()
				if ctx.Err() == nil {
					t.Error("context of the dial is not cancelled after the Retry-After time, want it cancelled")
				}
				return dial(context.Background(), addr)
			}
		},
		"just connected": func(endpoint *Endpoint, notify func()) {
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
			arrange(endpoint, func() { now := pool.now(); sibling.gate.HoldUntil(now, now+wait) })
			result := callOnce(t, endpoint, Request{ID: "m", Body: []byte("b")})
			if result.Outcome != policy.NotSent || result.RetryAfter <= 0 || result.RetryAfter > wait ||
				!sendgate.IsRefusal(result.Err) {
				t.Errorf("Call.Do reported %+v, want NotSent, RetryAfter from 1 to %d, an error of the send gate",
					result, wait)
			}
			if n := server.count("m"); n != 0 {
				t.Errorf("calls at the endpoint = %d, want 0", n)
			}
			shared.HoldUntil(0, 0)
			if remaining := endpoint.RetryAfter(); remaining <= 0 {
				t.Errorf("RetryAfter() after HoldUntil with an earlier time = %d, want more than 0", remaining)
			}
		})
	}
}

// callbackConn calls a function after the first write.
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

// Guards against losing the Retry-After time of a malformed response. It must apply as soon
// as the head is read, whatever follows. After the malformed response the call may have
// run.
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
		"truncated body": {rest: func(conn net.Conn) { respond(conn, "half") }, wait: 7500e3, text: head},
		"reset":          {rest: resetOnClose, wait: 7500e3, text: head},
		"body too late":  {rest: func(conn net.Conn) { awaitByte(bufio.NewReader(conn)) }, wait: 7500e3, text: head},
		"body too long": {
			rest: func(conn net.Conn) {},
			wait: 7500e3, text: "HTTP/1.1 429 W\r\nRetry-After: 7.5\r\nContent-Length: 3000000000\r\n\r\n",
		},
		"truncated head": {rest: func(conn net.Conn) {}, text: "HTTP/1.1 429 W\r\nRetry-After: 7.5\r\n"},
		"invalid Retry-After": {
			rest: func(conn net.Conn) { respond(conn, "123456789") },
			text: "HTTP/1.1 429 W\r\nRetry-After: soon\r\nContent-Length: 9\r\n\r\n",
		},
		"status code other than 429": {
			rest: func(conn net.Conn) { respond(conn, "half") },
			text: "HTTP/1.1 500 E\r\nRetry-After: 7.5\r\nContent-Length: 9\r\n\r\n",
		},
	} {
		t.Run(name, func(t *testing.T) {
			read := make(chan bool, 1)
			endpoint := tr.open(testPool(t), tr.serve(t, func(conn net.Conn) {
				if upstreamtest.ReadRequest(bufio.NewReader(conn)) {
					respond(conn, test.text)
					if name == "body too late" || name == "reset" {
						<-read // wait until the relay has read the head
					}
					test.rest(conn)
				}
			}))
			done := make(chan Result, 1)
			go func() {
				done <- callOnce(t, endpoint, Request{ID: "m", Body: []byte("b")})
			}()
			if name == "body too late" || name == "reset" {
				waitFor(t, "the Retry-After time to apply", func() bool { return endpoint.RetryAfter() > 0 })
				read <- true
			}
			result := <-done
			if (result.Outcome != policy.Failed && result.Outcome != policy.ConnectionReset) ||
				result.RetryAfter != test.wait {
				t.Errorf("Call.Do reported %+v, want outcome Failed or ConnectionReset, RetryAfter %d",
					result, test.wait)
			}
			if remaining := endpoint.RetryAfter(); (remaining > 0) != (test.wait > 0) || remaining > test.wait {
				t.Errorf("endpoint.RetryAfter() = %d us, want at most %d us, and 0 only for 0", remaining, test.wait)
			}
		})
	}
}

// Guards against losing a response, and its Retry-After time, that has already arrived when
// its call times out or is cancelled.
func TestResponseAlreadyThereAtTimeout(t *testing.T) {
	for name, call := range map[string]*Call{"timed out": newTestCall(), "cancelled": newTestCall()} {
		t.Run(name, func(t *testing.T) {
			relaySide, endpointSide := net.Pipe()
			defer func() { _ = endpointSide.Close() }()
			pool := testPool(t)
			endpoint := openPlain(pool, "")
			pool.open++
			conn := newPoolConn(endpoint, relaySide)
			go respond(endpointSide, "HTTP/1.1 429 W\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n")
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
				t.Errorf("results = %+v, endpoint.RetryAfter() = %d, want one Rejected result with 2 s, and not 0",
					got, endpoint.RetryAfter())
			}
		})
	}
}

// Guards against sendgate scopes that are kept forever, and against dropping them too early:
// the scope of a destination must stay when one of its endpoints leaves.
func TestForgetScopes(t *testing.T) {
	pool := testPool(t)
	for id, independent := range map[policy.EndpointID]bool{1: false, 2: false, 3: true} {
		pool.OpenEndpoint(EndpointOptions{ID: id, Dest: 7, IndependentRoute: independent}).Close()
	}
	if len(pool.scopes) != 2 {
		t.Fatalf("scopes = %d, want 2: one of the destination and one of the route", len(pool.scopes))
	}
	if pool.ForgetRoute(1); len(pool.scopes) != 2 {
		t.Errorf("scopes after ForgetRoute of an endpoint that is no route = %d, want 2", len(pool.scopes))
	}
	if pool.ForgetRoute(3); pool.scopes[scopeKey{route: 3}] != nil {
		t.Error("ForgetRoute(3) kept the scope of the route, want it dropped")
	}
	if pool.ForgetDestination(7); len(pool.scopes) != 0 {
		t.Errorf("scopes after ForgetDestination(7) = %d, want 0", len(pool.scopes))
	}
}
