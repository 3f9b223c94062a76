package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"troutusher/internal/upstream/upstreamtest"
	"troutusher/policy"
)

func TestOutcomeOfResponse(t *testing.T) { forEachTransport(t, testOutcomeOfResponse) }

func testOutcomeOfResponse(t *testing.T, tr *transport) {
	for name, test := range map[string]struct {
		response   string
		outcome    policy.Outcome
		retryAfter policy.Time
		slots      bool
		final      bool
	}{
		"delivered": {
			response: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
			outcome:  policy.Delivered, final: true,
		},
		"delivered, cut": {
			response: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
			outcome:  policy.Delivered, final: true,
		},
		"error": {response: "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", outcome: policy.Failed},
		"told to wait": {
			response: "HTTP/1.1 429 W\r\nRetry-After: 0.75\r\nContent-Length: 0\r\n\r\n",
			outcome:  policy.Rejected, retryAfter: 750000,
		},
		"full": {response: "HTTP/1.1 503 F\r\nContent-Length: 0\r\n\r\n", outcome: policy.Rejected},
		"slots taken": {
			response: "HTTP/1.1 503 F\r\nSlots-Taken: 1\r\nContent-Length: 0\r\n\r\n",
			outcome:  policy.NotSent, slots: true,
		},
		"attempts used up": {response: "HTTP/1.1 504 A\r\nContent-Length: 0\r\n\r\n", outcome: policy.NotSent},
		"over": {
			response: "HTTP/1.1 410 G\r\nContent-Length: 0\r\n\r\n",
			outcome:  policy.NotSent, final: true,
		},
		"no status of ours": {response: "HTTP/1.1 418 T\r\nContent-Length: 0\r\n\r\n", outcome: policy.Failed},
		"no redirect": {
			response: "HTTP/1.1 307 R\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n",
			outcome:  policy.Failed,
		},
		"broken after":   {response: "", outcome: policy.ConnectionReset},
		"nonsense":       {response: "what?\r\n\r\n", outcome: policy.Failed},
		"half an answer": {response: "HTTP/1.1 20", outcome: policy.ConnectionReset},
		"first a hint, then": {
			response: "HTTP/1.1 100 C\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
			outcome:  policy.Delivered, final: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := tr.open(testPool(t), tr.serve(t, func(conn net.Conn) {
				if upstreamtest.ReadRequest(bufio.NewReader(conn)) {
					respond(conn, test.response)
				}
			}))
			result := callOnce(t, endpoint, Request{ID: "m", IdempotencyKey: "k", Body: []byte("b")})
			if result.Outcome != test.outcome || result.RetryAfter != test.retryAfter ||
				result.SlotsExhausted != test.slots || result.Final != test.final {
				t.Errorf("got %+v", result)
			}
		})
	}
}

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
	gone := make(chan struct{}, 2)
	entered := make(chan struct{}, 2)
	silent := tr.serve(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		upstreamtest.ReadRequest(reader)
		entered <- struct{}{}
		awaitByte(reader) // until the caller closes
		gone <- struct{}{}
	})
	if result := callOnce(
		t,
		tr.open(pool, silent),
		Request{ID: "m", Timeout: 50 * time.Millisecond},
	); result.Outcome != policy.TimedOut {
		t.Errorf("silent: %+v", result)
	}
	<-entered
	<-gone // giving up closes the connection
	call := newTestCall()
	go func() { <-entered; call.Cancel() }()
	if result := complete(t, call, tr.open(pool, silent), Request{ID: "m"}); result.Outcome != policy.Cancelled {
		t.Errorf("cancelled: %+v", result)
	}
	<-gone
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

// Guards the drain grace: a call that waits for its connection when the word
// of a drain comes must not begin when the connection is there at last.
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
	// The word may also come just as the connection does.
	endpoint = openPlain(pool, server.address)
	endpoint.Close()
	result := callOnce(t, endpoint, Request{ID: "late"})
	if result.Outcome != policy.NotSent || server.count("late") != 0 {
		t.Errorf("got %+v, and %d calls", result, server.count("late"))
	}
}

// Guards reuse: a new connection costs a handshake, so answers are read to
// their end and more than two connections are kept after a burst.
func TestConnectionReuse(t *testing.T) { forEachTransport(t, testConnectionReuse) }

func testConnectionReuse(t *testing.T, tr *transport) {
	var conns atomic.Int32
	const burst = 6
	together := make(chan struct{}, burst)
	addr := tr.serve(t, func(conn net.Conn) {
		conns.Add(1)
		reader := bufio.NewReader(conn)
		for upstreamtest.ReadRequest(reader) {
			together <- struct{}{}
			for len(together) < burst { // all of a burst are out at once
				time.Sleep(time.Millisecond)
			}
			respond(conn, "HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n"+strings.Repeat("\x00", 9000))
		}
	})
	endpoint := tr.open(testPool(t), addr)
	for round := range 2 {
		done, ended := make(chan Result, burst), make(chan bool, burst)
		for range burst {
			go func() {
				start(endpoint, Request{ID: "m"}, done)
				ended <- true
			}()
		}
		for range burst {
			if result := <-done; result.Outcome != policy.Delivered {
				t.Fatalf("round %d: %+v", round, result)
			}
			<-ended
		}
		waitReusable(endpoint)
		for len(together) > 0 {
			<-together
		}
	}
	if n := conns.Load(); n != burst {
		t.Errorf("%d connections for two bursts of %d", n, burst)
	}
}

func TestParseRetryAfter(t *testing.T) {
	for s, want := range map[string]policy.Time{
		"1.5": 1500000, " 2 ": 2000000, "": 0, "0": 0,
		"soon": -1, "-1": -1, "NaN": -1, "Inf": -1, "1e99": -1,
	} {
		got, err := parseRetryAfter(s)
		if (err != nil) != (want < 0) || err == nil && got != want {
			t.Errorf("%q: %d, %v, want %d", s, got, err, want)
		}
	}
}

func TestParseLoad(t *testing.T) {
	fields := []string{"x0", "x1"}
	for s, want := range map[string]policy.LoadReport{
		"x0=0.4,x1=25": {Remaining: 0.4, Limit: 25}, "x1=3": {Limit: 3}, "": {},
		"x0=?,x1=-2": {}, "x1=NaN": {}, "x1=Inf,x0=+Inf": {}, "x1=1e300": {},
	} {
		if got := parseLoad(s, fields); got != want {
			t.Errorf("%q: %+v", s, got)
		}
	}
	if got := parseLoad("x0=1", nil); got != (policy.LoadReport{}) {
		t.Errorf("a report where none is due: %+v", got)
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

// The end of the time in which an endpoint knows a key, and a connection that comes
// up late: a repeat that was in time as it was begun is not written after it, in
// either order of the two, and it never ran. The connection stays good for others.
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
					conn, err := dial(ctx, addr) // it comes up as the clock has gone on
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
				t.Errorf("%s, %s: held to have run", name, at)
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

// A connection is not taken when its endpoint, which counts from when it wrote its
// answer and closes by its own clock, may close it before the next call is there:
// two ways of 60 ms and a late turn, also where it keeps connections for a second.
func TestIdleTimeoutBeforeKeepAlive(t *testing.T) {
	for _, keep := range []time.Duration{600 * time.Millisecond, time.Second, 2 * time.Second, 10 * time.Second} {
		pool := NewPool(PoolOptions{ConnectTimeout: time.Second, IdleTimeout: keep - IdleMargin(keep), MaxConns: 4})
		now := time.Now()
		c := &poolConn{idleSince: now}
		if !pool.expired(c, now.Add(keep-200*time.Millisecond)) {
			t.Errorf("%v: taken 200 ms before its endpoint closes it", keep)
		}
		if pool.expired(c, now.Add(keep/2)) {
			t.Errorf("%v: not taken after half of its time", keep)
		}
	}
}

// What became of a call is told once its connection is over, since the message may
// go out again in that very moment, and an endpoint counts a second copy for as long
// as the first one's connection is open: a call that timed out or was called off, an
// answer that never ends, one that cannot be read.
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
		{"called off", "", "", testTimeout, true, policy.Cancelled},
		{"stops in the middle", head, "", testTimeout, false, policy.Failed},
		{"never ends", chunked, "1\r\nx\r\n", testTimeout, false, policy.Failed},
		{"nonsense", "what is this?\r\n", "", testTimeout, false, policy.Failed},
		{"a wait that cannot be read", unreadable, "", testTimeout, false, policy.Failed},
	} {
		t.Run(test.name, func(t *testing.T) {
			came, over := make(chan struct{}), make(chan struct{})
			endpoint := tr.open(testPool(t), tr.serve(t, func(conn net.Conn) {
				defer close(over)
				reader := bufio.NewReader(conn)
				if !upstreamtest.ReadRequest(reader) {
					return
				}
				close(came)
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
				go func() { <-came; call.Cancel() }()
			}
			results := make(chan Result, 1)
			call.Do(endpoint, Request{ID: "m", IdempotencyKey: "k", Timeout: test.limit}, func(result Result) {
				select {
				case <-over:
				case <-time.After(2 * time.Second):
					t.Error("told while its connection was open")
				}
				results <- result
			})
			if result := <-results; result.Outcome != test.want {
				t.Errorf("outcome %d, want %d: %v", result.Outcome, test.want, result.Err)
			}
		})
	}
}
