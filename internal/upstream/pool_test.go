package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"troutusher/internal/upstream/upstreamtest"
	"troutusher/policy"
)

// Guards what is believed of an answer. A spoilt one is that of a call that
// may have run, whatever its first line says, unless that says 200; and no
// answer is read for longer than it may be or take.
func TestMalformedResponses(t *testing.T) { forEachTransport(t, testMalformedResponses) }

func testMalformedResponses(t *testing.T, tr *transport) {
	const interim = "HTTP/1.1 100 C\r\n\r\nHTTP/1.1 103 E\r\nLink: x\r\n\r\nHTTP/1.1 102 P\r\n\r\n"
	long := strings.Repeat("x", 8000)
	for name, test := range map[string]struct {
		answer  string
		goes    bool // the endpoint goes on sending
		outcome policy.Outcome
		final   bool
		keeps   bool
	}{
		"refusal with a short body": {
			answer:  "HTTP/1.1 503 F\r\nContent-Length: 9\r\n\r\nno",
			outcome: policy.Failed,
		},
		"told to wait with a bad time": {
			answer:  "HTTP/1.1 429 W\r\nRetry-After: -3\r\nContent-Length: 0\r\n\r\n",
			outcome: policy.Failed,
		},
		"over, head without end": {answer: "HTTP/1.1 410 G\r\nContent-Le", outcome: policy.Failed},
		"not sent, two lengths": {
			answer:  "HTTP/1.1 504 A\r\nContent-Length: 0\r\nContent-Length: 5\r\n\r\n",
			outcome: policy.Failed,
		},
		"refusal, length no number": {
			answer:  "HTTP/1.1 503 F\r\nContent-Length: many\r\n\r\n",
			outcome: policy.Failed,
		},
		"refusal, negative length": {
			answer:  "HTTP/1.1 503 F\r\nContent-Length: -1\r\n\r\n",
			outcome: policy.Failed,
		},
		"refusal of 3 GB": {
			answer: "HTTP/1.1 503 F\r\nContent-Length: 3221225472\r\n\r\n",
			goes:   true, outcome: policy.Failed,
		},
		"refusal, endless head": {answer: "HTTP/1.1 503 F\r\n", goes: true, outcome: policy.Failed},
		"refusal, chunks cut": {
			answer:  "HTTP/1.1 503 F\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
			outcome: policy.Failed,
		},
		"noise":             {answer: "\x00\xff\x13noise\x00", outcome: policy.Failed},
		"noise with a line": {answer: "\x00\xffnoise\r\nHTTP/1.1 503 F\r\n\r\n", outcome: policy.Failed},
		"endless line":      {answer: "HTTP/1.1 503 " + long, goes: true, outcome: policy.Failed},
		"not quite a code": {
			answer:  "HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n",
			outcome: policy.Failed,
		},
		"another protocol": {
			answer:  "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
			outcome: policy.Failed,
		},
		"delivered, 3 GB": {
			answer: "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n",
			goes:   true, outcome: policy.Delivered, final: true,
		},
		"delivered, head without end": {answer: "HTTP/1.1 200 OK\r\nX-", outcome: policy.Delivered, final: true},
		"delivered, noise for a head": {
			answer:  "HTTP/1.1 200 OK\r\n\x00\x01\xff",
			outcome: policy.Delivered, final: true,
		},
		"delivered, bad length": {
			answer:  "HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\n",
			outcome: policy.Delivered, final: true,
		},
		"several hints": {
			answer:  interim + upstreamtest.OKResponse,
			outcome: policy.Delivered, final: true, keeps: true,
		},
		"hints without end": {
			answer:  strings.Repeat("HTTP/1.1 100 C\r\n\r\n", 500),
			outcome: policy.Failed,
		},
		"a hint, then nothing": {answer: "HTTP/1.1 103 E\r\n", outcome: policy.Failed},
		"refusal, then a copy behind": {
			answer:  "HTTP/1.1 503 F\r\nContent-Length: 0\r\n\r\nHTTP/1.1 503 F\r\nContent-Length: 0\r\n\r\n",
			outcome: policy.Rejected,
		},
		"delivered, then a copy behind": {
			answer:  upstreamtest.OKResponse + upstreamtest.OKResponse,
			outcome: policy.Delivered, final: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			closed := make(chan int, 1)
			endpoint := tr.open(testPool(t), tr.serve(t, func(conn net.Conn) {
				reader := bufio.NewReader(conn)
				if !upstreamtest.ReadRequest(reader) {
					return
				}
				respond(conn, test.answer)
				n := 0
				for test.goes {
					m, err := conn.Write([]byte(long))
					if n += m; err != nil {
						closed <- n
						return
					}
				}
				waitClosed(reader) // the connection stays open from this side
				closed <- n
			}))
			result := callOnce(t, endpoint, Request{ID: "m", Body: []byte("b")})
			if result.Outcome != test.outcome || result.Final != test.final {
				t.Errorf("got %+v", result)
			}
			if result.Elapsed > (testTimeout / 2).Microseconds() {
				t.Errorf("took %d us: it waited for what does not come", result.Elapsed)
			}
			if _, idle := endpoint.pool.counts(); (idle != 0) != test.keeps {
				t.Errorf("%d connections kept", idle)
			}
			endpoint.CloseIdle()
			if n := <-closed; n > 64<<20 {
				t.Errorf("%d bytes were sent before the close", n)
			}
		})
	}
}

// Guards the moment at which a delivery is known: with its first line.
func TestDeliveredAtStatusLine(t *testing.T) { forEachTransport(t, testDeliveredAtStatusLine) }

func testDeliveredAtStatusLine(t *testing.T, tr *transport) {
	release := make(chan struct{})
	endpoint := tr.open(testPool(t), tr.serve(t, func(conn net.Conn) {
		if upstreamtest.ReadRequest(bufio.NewReader(conn)) {
			respond(conn, "HTTP/1.1 200 OK\r\n")
			<-release
		}
	}))
	results, over := make(chan Result, 1), make(chan struct{})
	go func() {
		defer close(over)
		start(endpoint, Request{ID: "m"}, results)
	}()
	if result := <-results; result.Outcome != policy.Delivered {
		t.Errorf("got %+v", result)
	}
	select {
	case <-over:
		t.Error("the rest was not waited for at all")
	default:
	}
	<-over
	close(release)
}

// Guards an answer that is long in coming behind one that is ahead of it: only
// what has begun must come quickly.
func TestInterimLongBeforeResponse(t *testing.T) { forEachTransport(t, testInterimLongBeforeResponse) }

func testInterimLongBeforeResponse(t *testing.T, tr *transport) {
	release := make(chan struct{})
	endpoint := tr.open(testPool(t), tr.serve(t, func(conn net.Conn) {
		if upstreamtest.ReadRequest(bufio.NewReader(conn)) {
			respond(conn, "HTTP/1.1 102 P\r\n\r\n")
			<-release
			respond(conn, upstreamtest.OKResponse)
		}
	}))
	results, over := make(chan Result, 1), make(chan struct{})
	go func() {
		defer close(over)
		start(endpoint, Request{ID: "m"}, results)
	}()
	select {
	case result := <-results:
		t.Fatalf("before the answer: %+v", result)
	case <-time.After(2 * responseReadTimeout):
	}
	close(release)
	if result := <-results; result.Outcome != policy.Delivered {
		t.Errorf("got %+v", result)
	}
	<-over
}

// Guards each answer against what came behind the one before: a second copy
// or noise must not pass for the next call's answer, whether it is there when
// the connection is put back, while it is idle, or only when the call is
// written but for its last byte. Nothing of the call counts then, so that it
// goes out on another connection, once.
func TestBytesAfterResponse(t *testing.T) { forEachTransport(t, testBytesAfterResponse) }

func testBytesAfterResponse(t *testing.T, tr *transport) {
	for name, behind := range map[string]string{"copy": upstreamtest.OKResponse, "noise": "\x00\x01\x02", "end": ""} {
		t.Run("while idle, "+name, func(t *testing.T) {
			var conns, calls atomic.Int32
			said := make(chan struct{}, 8)
			more := make(chan struct{})
			endpoint := tr.open(testPool(t), tr.serve(t, func(conn net.Conn) {
				first := conns.Add(1) == 1
				reader := bufio.NewReader(conn)
				for upstreamtest.ReadRequest(reader) {
					if calls.Add(1); !first {
						respond(conn, "HTTP/1.1 503 F\r\nContent-Length: 0\r\n\r\n")
						continue
					}
					respond(conn, upstreamtest.OKResponse)
					<-more
					respond(conn, behind)
					said <- struct{}{}
					if behind == "" {
						return
					}
				}
			}))
			if result := callOnce(t, endpoint, Request{ID: "a"}); result.Outcome != policy.Delivered {
				t.Fatalf("first: %+v", result)
			}
			if _, idle := endpoint.pool.counts(); idle != 1 {
				t.Fatalf("%d idle connections, want 1", idle)
			}
			close(more)
			<-said
			waitReusable(endpoint)
			waitFor(t, "the bytes", func() bool {
				endpoint.pool.mu.Lock()
				defer endpoint.pool.mu.Unlock()
				return len(endpoint.pool.idle) == 0 || !endpoint.pool.idle[0].reusable()
			})
			if result := callOnce(t, endpoint, Request{ID: "b"}); result.Outcome != policy.Rejected {
				t.Errorf("second: %+v", result)
			}
			if conns.Load() != 2 || calls.Load() != 2 {
				t.Errorf("%d connections, %d calls, want 2 and 2", conns.Load(), calls.Load())
			}
		})
	}
	t.Run("while the call is written", func(t *testing.T) {
		if tr.site != nil {
			t.Skip("a test of its own has it") // TestAlertOutcomes
		}
		var conns atomic.Int32
		got := make(chan int, 4) // bytes of the second call on the first connection
		endpoint := tr.open(testPool(t), tr.serve(t, func(conn net.Conn) {
			first := conns.Add(1) == 1
			reader := bufio.NewReader(conn)
			for n := 0; upstreamtest.ReadRequest(reader); n++ {
				if !first {
					respond(conn, "HTTP/1.1 503 F\r\nContent-Length: 0\r\n\r\n")
					continue
				}
				respond(conn, upstreamtest.OKResponse)
				rest, _ := io.ReadAll(reader)
				got <- strings.Count(string(rest), "tail of the body")
			}
		}))
		if result := callOnce(t, endpoint, Request{ID: "a"}); result.Outcome != policy.Delivered {
			t.Fatalf("first: %+v", result)
		}
		waitReusable(endpoint)
		endpoint.pool.mu.Lock()
		c := endpoint.pool.idle[0]
		c.Conn = &closeReadOnWriteConn{TCPConn: c.Conn.(*net.TCPConn)}
		endpoint.pool.mu.Unlock()
		result := callOnce(t, endpoint, Request{ID: "b", Body: []byte("the tail of the body")})
		if result.Outcome != policy.Rejected {
			t.Errorf("second: %+v", result)
		}
		if n := <-got; n != 0 || conns.Load() != 2 {
			t.Errorf("the call went out whole on the first connection (%d), %d connections", n, conns.Load())
		}
	})
}

// closeReadOnWriteConn brings bytes just as a call begins to be written.
type closeReadOnWriteConn struct {
	*net.TCPConn
	written bool
}

func (c *closeReadOnWriteConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if !c.written {
		c.written = true
		err = errors.Join(err, c.CloseRead()) // an end is as good as a byte: something is there to be read
	}
	return n, err
}

// Guards unsafe messages against kept connections that their endpoint has
// dropped in silence: the reset comes before the last byte, so the call goes
// out on another connection and counts once.
func TestSilentlyDroppedConnection(t *testing.T) { forEachTransport(t, testSilentlyDroppedConnection) }

func testSilentlyDroppedConnection(t *testing.T, tr *transport) {
	var conns, calls atomic.Int32
	pool := testPool(t)
	endpoint := tr.open(pool, tr.serve(t, func(conn net.Conn) {
		first := conns.Add(1) == 1
		reader := bufio.NewReader(conn)
		if !upstreamtest.ReadRequest(reader) {
			return
		}
		calls.Add(1)
		respond(conn, upstreamtest.OKResponse)
		if first {
			awaitByte(reader) // of the next call
			resetOnClose(conn)
		}
	}))
	pool.staleCheckDelay = time.Millisecond
	if result := callOnce(t, endpoint, Request{ID: "a"}); result.Outcome != policy.Delivered {
		t.Fatalf("first: %+v", result)
	}
	waitReusable(endpoint)
	dial := endpoint.dial
	endpoint.dial = func(ctx context.Context, addr string) (net.Conn, error) {
		pool.staleCheckDelay = time.Millisecond
		return dial(ctx, addr)
	}
	pool.staleCheckDelay = testTimeout // the reset ends it
	if result := callOnce(t, endpoint, Request{ID: "b"}); result.Outcome != policy.Delivered {
		t.Errorf("second: %+v", result)
	}
	if conns.Load() != 2 || calls.Load() != 2 {
		t.Errorf("%d connections, %d calls, want 2 and 2", conns.Load(), calls.Load())
	}
}

// Guards what never ran: a connection that breaks before the call's last byte
// is written.
func TestBrokenBeforeLastByte(t *testing.T) {
	endpoint := openPlain(testPool(t), upstreamtest.ServeTCP(t, func(conn net.Conn) { waitClosed(conn) }))
	dial := endpoint.dial
	endpoint.dial = func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := dial(ctx, addr)
		return &failSecondWriteConn{TCPConn: conn.(*net.TCPConn)}, err
	}
	if result := callOnce(t, endpoint, Request{ID: "m", Body: []byte("b")}); result.Outcome != policy.ConnectFailed {
		t.Errorf("got %+v", result)
	}
}

type failSecondWriteConn struct {
	*net.TCPConn
	writes int
}

func (c *failSecondWriteConn) Write(b []byte) (int, error) {
	if c.writes++; c.writes == 2 {
		return 0, errors.New("broken")
	}
	return c.TCPConn.Write(b)
}

// Guards the descriptors: the number open is bounded over all endpoints, and
// what is idle makes room for what is wanted. A dial that is given up frees
// its place.
func TestPoolBounded(t *testing.T) { forEachTransport(t, testPoolBounded) }

func testPoolBounded(t *testing.T, tr *transport) {
	pool := testPool(t)
	pool.maxConns = 3
	for i := range 10 {
		endpoint := tr.open(pool, tr.serve(t, upstreamtest.ServeOK))
		if result := callOnce(t, endpoint, Request{ID: "m"}); result.Outcome != policy.Delivered {
			t.Fatalf("endpoint %d: %+v", i, result)
		}
		if open, _ := pool.counts(); open > 3 {
			t.Fatalf("%d connections open, 3 allowed", open)
		}
	}
	entered := make(chan struct{}, 3)
	stuck := tr.open(pool, tr.serve(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		upstreamtest.ReadRequest(reader)
		entered <- struct{}{}
		awaitByte(reader)
	}))
	var calls []*Call
	results := make(chan Result, 3)
	for range 3 {
		call := newTestCall()
		calls = append(calls, call)
		go func() {
			call.Do(stuck, Request{ID: "m", Timeout: testTimeout}, func(result Result) { results <- result })
		}()
		<-entered
	}
	if result := callOnce(t, stuck, Request{ID: "m"}); result.Outcome != policy.NotSent {
		t.Errorf("a fourth: %+v", result)
	}
	for _, call := range calls {
		call.Cancel()
		<-results
	}
	waitFor(t, "places", func() bool { open, _ := pool.counts(); return open == 0 })
	refused := tr.open(pool, "127.0.0.1:1")
	if result := callOnce(t, refused, Request{ID: "m"}); result.Outcome != policy.ConnectFailed {
		t.Errorf("refused: %+v", result)
	}
	if open, _ := pool.counts(); open != 0 {
		t.Errorf("%d open after a refused dial", open)
	}
}

// Guards against what an endpoint closed or wrote to while it was idle: it
// must not hold a descriptor until its next use.
func TestPoolClosesDeadIdle(t *testing.T) { forEachTransport(t, testPoolClosesDeadIdle) }

func testPoolClosesDeadIdle(t *testing.T, tr *transport) {
	end := make(chan struct{})
	pool := testPool(t)
	endpoint := tr.open(pool, tr.serve(t, func(conn net.Conn) {
		if upstreamtest.ReadRequest(bufio.NewReader(conn)) {
			respond(conn, upstreamtest.OKResponse)
			<-end
		}
	}))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); pool.Run(ctx) }()
	callOnce(t, endpoint, Request{ID: "m"})
	if _, idle := pool.counts(); idle != 1 {
		t.Fatalf("%d idle", idle)
	}
	close(end)
	waitFor(t, "the sweep", func() bool { open, _ := pool.counts(); return open == 0 })
	cancel()
	<-done
	// And one whose endpoint has left is not kept after its call.
	gone := tr.open(pool, tr.serve(t, func(conn net.Conn) {
		if upstreamtest.ReadRequest(bufio.NewReader(conn)) {
			respond(conn, upstreamtest.OKResponse)
			time.Sleep(time.Millisecond)
		}
	}))
	gone.Close()
	callOnce(t, gone, Request{ID: "m"})
	if open, _ := pool.counts(); open != 0 {
		t.Errorf("%d open at an endpoint that left", open)
	}
}
