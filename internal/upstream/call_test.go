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

// Guards the difference between what never ran and what may have: a refused
// connection never ran, silence after the last byte may have.
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
		t.Errorf("refused: %+v", result)
	}
	closed := make(chan struct{}, 2)
	entered := make(chan struct{}, 2)
	silent := tr.serve(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		upstreamtest.ReadRequest(reader)
		entered <- struct{}{}
		awaitByte(reader) // until the caller closes
		closed <- struct{}{}
	})
	if result := callOnce(
		t,
		tr.open(pool, silent),
		Request{ID: "m", Timeout: 50 * time.Millisecond},
	); result.Outcome != policy.TimedOut {
		t.Errorf("silent: %+v", result)
	}
	<-entered
	<-closed // giving up closes the connection
	call := newTestCall()
	go func() { <-entered; call.Cancel() }()
	if result := complete(t, call, tr.open(pool, silent), Request{ID: "m"}); result.Outcome != policy.Cancelled {
		t.Errorf("cancelled: %+v", result)
	}
	<-closed
}

// Guards against a call that is sent again by itself where a kept-alive
// connection breaks under it.
func TestNoAutomaticRetry(t *testing.T) { forEachTransport(t, testNoAutomaticRetry) }

func testNoAutomaticRetry(t *testing.T, tr *transport) {
	for name, body := range map[string][]byte{"body": []byte("b"), "empty body": nil} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int32
			addr := tr.serve(t, func(conn net.Conn) {
				reader := bufio.NewReader(conn)
				for upstreamtest.ReadRequest(reader) {
					if calls.Add(1) == 2 {
						return // the second call on a kept connection breaks
					}
					respond(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			})
			endpoint := tr.open(testPool(t), addr)
			request := Request{ID: "m", IdempotencyKey: "k", Body: body, Timeout: testTimeout}
			if result := callOnce(t, endpoint, request); result.Outcome != policy.Delivered {
				t.Fatalf("first: %+v", result)
			}
			waitReusable(endpoint)
			if result := callOnce(t, endpoint, request); result.Outcome != policy.ConnectionReset {
				t.Errorf("second: %+v", result)
			}
			if n := calls.Load(); n != 2 {
				t.Errorf("the endpoint saw %d calls, want 2", n)
			}
		})
	}
	req, err := newCallRequest(
		"127.0.0.1:1",
		&Request{ID: "m", IdempotencyKey: "k", Body: []byte("b"), Timeout: time.Second},
	)
	if err != nil || req.GetBody != nil {
		t.Errorf("request can be rewound: GetBody %v, err %v", req.GetBody != nil, err)
	}
}

// Guards the drain grace: a call that waits for its connection when a drain begins
// must not be sent once the connection is open.
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
		t.Errorf("got %+v", result)
	}
	if n := server.count("m"); n != 0 {
		t.Errorf("the call went out %d times", n)
	}
	// The drain may also begin just as the connection opens.
	endpoint = openPlain(pool, server.address)
	endpoint.Close()
	result := callOnce(t, endpoint, Request{ID: "late"})
	if result.Outcome != policy.NotSent || server.count("late") != 0 {
		t.Errorf("got %+v, and %d calls", result, server.count("late"))
	}
}

func TestCheckHealth(t *testing.T) {
	for code, want := range map[int]policy.Outcome{200: policy.Delivered, 503: policy.Rejected, 404: policy.Failed} {
		server := newCountingEndpoint(t, code)
		if result := openPlain(testPool(t), server.address).CheckHealth(context.Background()); result.Outcome != want {
			t.Errorf("%d: %+v", code, result)
		}
	}
}

// The end of an endpoint's deduplication window, and a connection that opens late: a
// retry that was in time as it began is not written after the window, in either order
// of the two, and it never ran. The connection stays usable for other calls.
func TestRetryInsideDedupWindow(t *testing.T) {
	for name, up := range map[string]policy.Time{"in time": 999, "late": 1001} {
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
					conn, err := dial(ctx, addr) // it opens late
					now.Store(up)
					return conn, err
				}
			} else {
				endpoint.dial = func(ctx context.Context, addr string) (net.Conn, error) {
					conn, err := dial(ctx, addr)
					return &firstWriteConn{conn.(*net.TCPConn), func() { now.Store(up) }}, err
				}
			}
			result := complete(t, call, endpoint, Request{ID: "m", IdempotencyKey: "k"})
			want, calls := policy.Delivered, 1
			if name == "late" {
				want, calls = policy.NotSent, 0
			}
			if result.Outcome != want || server.count("m") != calls {
				t.Errorf("%s, %s: outcome %d (%v), %d calls at the endpoint",
					name, at, result.Outcome, result.Err, server.count("m"))
			}
			if !result.Outcome.NeverRan() && calls == 0 {
				t.Errorf("%s, %s: taken to have run", name, at)
			}
		}
	}
}

// firstWriteConn does something as the first bytes are out.
type firstWriteConn struct {
	*net.TCPConn
	then func()
}

func (c *firstWriteConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if c.then != nil {
		c.then()
		c.then = nil
	}
	return n, err
}

// The result of a call is reported once its connection is closed, since the message may
// be sent again in that very moment, and an endpoint counts a second copy for as long
// as the first one's connection is open: a call that timed out or was cancelled, a
// response that never ends, one that cannot be read.
func TestResultAfterConnectionClosed(t *testing.T) {
	forEachTransport(t, testResultAfterConnectionClosed)
}

func testResultAfterConnectionClosed(t *testing.T, tr *transport) {
	const (
		head       = "HTTP/1.1 500 E\r\nContent-Length: 60000\r\n\r\n"
		chunked    = "HTTP/1.1 500 E\r\nTransfer-Encoding: chunked\r\n\r\n"
		unreadable = "HTTP/1.1 429 W\r\nRetry-After: soon\r\nContent-Length: 0\r\n\r\n"
	)
	for _, test := range []struct {
		name   string
		says   string
		more   string // again and again
		limit  time.Duration
		cancel bool
		want   policy.Outcome
	}{
		{"timed out", "", "", 50 * time.Millisecond, false, policy.TimedOut},
		{"cancelled", "", "", testTimeout, true, policy.Cancelled},
		{"stops in the middle", head, "", testTimeout, false, policy.Failed},
		{"never ends", chunked, "1\r\nx\r\n", testTimeout, false, policy.Failed},
		{"nonsense", "what is this?\r\n", "", testTimeout, false, policy.Failed},
		{"a Retry-After that cannot be read", unreadable, "", testTimeout, false, policy.Failed},
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
				respond(conn, test.says)
				for test.more != "" {
					if _, err := io.WriteString(conn, test.more); err != nil {
						return
					}
				}
				waitClosed(reader) // until it ends
			}))
			call := newTestCall()
			if test.cancel {
				go func() { <-received; call.Cancel() }()
			}
			results := make(chan Result, 1)
			call.Do(endpoint, Request{ID: "m", IdempotencyKey: "k", Timeout: test.limit}, func(result Result) {
				select {
				case <-closed:
				case <-time.After(2 * time.Second):
					t.Error("reported while its connection was open")
				}
				results <- result
			})
			if result := <-results; result.Outcome != test.want {
				t.Errorf("outcome %d, want %d: %v", result.Outcome, test.want, result.Err)
			}
		})
	}
}
