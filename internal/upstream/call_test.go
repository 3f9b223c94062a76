package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"troutusher/internal/upstream/upstreamtest"
	"troutusher/policy"
)

// Guards against confusing calls that never ran with calls that may have run. If the
// connection is refused, the call never ran; if the endpoint stays silent after the last
// byte, it may have run.
func TestOutcomeWithoutResponse(t *testing.T) { forEachTransport(t, testOutcomeWithoutResponse) }

func testOutcomeWithoutResponse(t *testing.T, tr *transport) {
	pool := testPool(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refused := listener.Addr().String()
	_ = listener.Close()
	if result := callOnce(t, tr.open(pool, refused), Request{ID: "m"}); result.Outcome != policy.ConnectFailed {
		t.Errorf("call to a refusing port: got %+v, want outcome ConnectFailed", result)
	}
	closed := make(chan struct{}, 2)
	entered := make(chan struct{}, 2)
	silent := tr.serve(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		upstreamtest.ReadRequest(reader)
		entered <- struct{}{}
		awaitByte(reader) // until the relay closes the connection
		closed <- struct{}{}
	})
	if result := callOnce(
		t,
		tr.open(pool, silent),
		Request{ID: "m", Timeout: 50 * time.Millisecond},
	); result.Outcome != policy.TimedOut {
		t.Errorf("call to a silent endpoint: got %+v, want outcome TimedOut", result)
	}
	<-entered
	<-closed // the timeout must close the connection
	call := newTestCall()
	go func() { <-entered; call.Cancel() }()
	if result := complete(t, call, tr.open(pool, silent), Request{ID: "m"}); result.Outcome != policy.Cancelled {
		t.Errorf("cancelled call: got %+v, want outcome Cancelled", result)
	}
	<-closed
}

// Guards against sending a call twice. net/http, for example, repeats a request by itself
// if a kept-alive connection breaks while it waits for the response.
func TestNoAutomaticRetry(t *testing.T) { forEachTransport(t, testNoAutomaticRetry) }

func testNoAutomaticRetry(t *testing.T, tr *transport) {
	for name, body := range map[string][]byte{"body": []byte("b"), "empty body": nil} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int32
			addr := tr.serve(t, func(conn net.Conn) {
				reader := bufio.NewReader(conn)
				for upstreamtest.ReadRequest(reader) {
					if calls.Add(1) == 2 {
						return // close the kept connection instead of answering the second call
					}
					respond(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			})
			endpoint := tr.open(testPool(t), addr)
			request := Request{ID: "m", IdempotencyKey: "k", Body: body, Timeout: testTimeout}
			if result := callOnce(t, endpoint, request); result.Outcome != policy.Delivered {
				t.Fatalf("first call: got %+v, want outcome Delivered", result)
			}
			waitReusable(endpoint)
			if result := callOnce(t, endpoint, request); result.Outcome != policy.ConnectionReset {
				t.Errorf("second call: got %+v, want outcome ConnectionReset", result)
			}
			if n := calls.Load(); n != 2 {
				t.Errorf("calls at the endpoint = %d, want 2", n)
			}
		})
	}
	req, err := newCallRequest(
		"127.0.0.1:1",
		&Request{ID: "m", IdempotencyKey: "k", Body: []byte("b"), Timeout: time.Second},
	)
	if err != nil || req.GetBody != nil {
		t.Errorf("newCallRequest: GetBody set %v, error %v, want neither", req.GetBody != nil, err)
	}
}

// Guards the drain grace. A call that is still waiting for its connection when a drain
// starts must not be sent when the connection opens.
func TestDrainStopsWaitingCall(t *testing.T) {
	server := newCountingEndpoint(t, http.StatusOK)
	pool := testPool(t)
	dialing, release := make(chan struct{}), make(chan struct{})
	endpoint := openPlain(pool, server.address)
	endpoint.dial = func(ctx context.Context, addr string) (net.Conn, error) {
		close(dialing)
		<-release
		return net.Dial("tcp", addr)
	}
	call := newTestCall()
	go func() { <-dialing; endpoint.Close(); close(release) }()
	if result := complete(t, call, endpoint, Request{ID: "m"}); result.Outcome != policy.NotSent {
		t.Errorf("call waiting when the drain starts: got %+v, want outcome NotSent", result)
	}
	if n := server.count("m"); n != 0 {
		t.Errorf("calls at the endpoint = %d, want 0", n)
	}
	// A call that starts after the drain is not sent either.
	endpoint = openPlain(pool, server.address)
	endpoint.Close()
	result := callOnce(t, endpoint, Request{ID: "late"})
	if result.Outcome != policy.NotSent || server.count("late") != 0 {
		t.Errorf("call started after the drain: got %+v and %d calls at the endpoint, want outcome NotSent and 0",
			result, server.count("late"))
	}
}

func TestCheckHealth(t *testing.T) {
	for code, want := range map[int]policy.Outcome{200: policy.Delivered, 503: policy.Rejected, 404: policy.Failed} {
		server := newCountingEndpoint(t, code)
		if result := openPlain(testPool(t), server.address).CheckHealth(context.Background()); result.Outcome != want {
			t.Errorf("CheckHealth with status %d = %+v, want outcome %d", code, result, want)
		}
	}
}

// Guards against retries after an endpoint's dedup window, which the endpoint would run
// again. A retry that starts inside the window must not be sent if the window ends while
// the connection opens or before the last byte is written; its result must say that it
// never ran.
func TestRetryInsideDedupWindow(t *testing.T) {
	for name, later := range map[string]policy.Time{"in time": 999, "late": 1001} {
		for _, at := range []string{"before the first byte", "before the last byte"} {
			server := newCountingEndpoint(t, http.StatusOK)
			pool := testPool(t)
			var now atomic.Int64
			pool.now = now.Load
			endpoint := openPlain(pool, server.address)
			call := NewCall(context.Background(), CallOptions{SendBy: 1000})
			dial := endpoint.dial
			if at == "before the first byte" {
				endpoint.dial = func(ctx context.Context, addr string) (net.Conn, error) {
					conn, err := dial(ctx, addr)
					now.Store(later)
					return conn, err
				}
			} else {
				endpoint.dial = func(ctx context.Context, addr string) (net.Conn, error) {
					conn, err := dial(ctx, addr)
					return &firstWriteConn{conn.(*net.TCPConn), func() { now.Store(later) }}, err
				}
			}
			result := complete(t, call, endpoint, Request{ID: "m", IdempotencyKey: "k"})
			want, calls := policy.Delivered, 1
			if name == "late" {
				want, calls = policy.NotSent, 0
			}
			if result.Outcome != want || server.count("m") != calls {
				t.Errorf("%s, %s: got outcome %d (%v) and %d calls at the endpoint, want %d and %d",
					name, at, result.Outcome, result.Err, server.count("m"), want, calls)
			}
			if !result.Outcome.NeverRan() && calls == 0 {
				t.Errorf("%s, %s: Outcome(%d).NeverRan() = false, want true", name, at, result.Outcome)
			}
		}
	}
}

// firstWriteConn calls a function after the first write.
type firstWriteConn struct {
	*net.TCPConn
	afterWrite func()
}

func (c *firstWriteConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if c.afterWrite != nil {
		c.afterWrite()
		c.afterWrite = nil
	}
	return n, err
}

// Guards against reporting a failed call while its connection is still open. The message
// may be sent again as soon as the result is reported, and the endpoint counts two copies
// at once until the first connection is closed. The cases are calls that time out or are
// cancelled, responses that never end and malformed responses.
func TestResultAfterConnectionClosed(t *testing.T) {
	forEachTransport(t, testResultAfterConnectionClosed)
}

func testResultAfterConnectionClosed(t *testing.T, tr *transport) {
	const (
		head          = "HTTP/1.1 500 E\r\nContent-Length: 60000\r\n\r\n"
		chunked       = "HTTP/1.1 500 E\r\nTransfer-Encoding: chunked\r\n\r\n"
		badRetryAfter = "HTTP/1.1 429 W\r\nRetry-After: soon\r\nContent-Length: 0\r\n\r\n"
	)
	for _, test := range []struct {
		name     string
		response string
		repeated string // sent after response until the connection is closed
		timeout  time.Duration
		cancel   bool
		want     policy.Outcome
	}{
		{"timed out", "", "", 50 * time.Millisecond, false, policy.TimedOut},
		{"cancelled", "", "", testTimeout, true, policy.Cancelled},
		{"response stops after the head", head, "", testTimeout, false, policy.Failed},
		{"body never ends", chunked, "1\r\nx\r\n", testTimeout, false, policy.Failed},
		{"malformed status line", "what is this?\r\n", "", testTimeout, false, policy.Failed},
		{"malformed Retry-After", badRetryAfter, "", testTimeout, false, policy.Failed},
	} {
		t.Run(test.name, func(t *testing.T) {
			received, closed := make(chan struct{}), make(chan struct{})
			endpoint := tr.open(testPool(t), tr.serve(t, func(conn net.Conn) {
				defer close(closed)
				reader := bufio.NewReader(conn)
				if !upstreamtest.ReadRequest(reader) {
					return
				}
				close(received)
				respond(conn, test.response)
				for test.repeated != "" {
					if _, err := io.WriteString(conn, test.repeated); err != nil {
						return
					}
				}
				waitClosed(reader)
			}))
			call := newTestCall()
			if test.cancel {
				go func() { <-received; call.Cancel() }()
			}
			results := make(chan Result, 1)
			call.Do(endpoint, Request{ID: "m", IdempotencyKey: "k", Timeout: test.timeout}, func(result Result) {
				select {
				case <-closed:
				case <-time.After(2 * time.Second):
					t.Error("connection still open 2 s after Call.Do called report, want it closed before")
				}
				results <- result
			})
			if result := <-results; result.Outcome != test.want {
				t.Errorf("Call.Do reported outcome %d (%v), want %d", result.Outcome, result.Err, test.want)
			}
		})
	}
}
