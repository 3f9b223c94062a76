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

// Guards each response against what came behind the one before: a second copy or
// noise must not pass for the response to the next call, whether it is there when the
// connection is released, comes while it is idle, or only when the call is written but
// for its last byte. Nothing of the call counts then, so that it goes out on another
// connection, once.
func TestBytesAfterResponse(t *testing.T) { forEachTransport(t, testBytesAfterResponse) }

func testBytesAfterResponse(t *testing.T, tr *transport) {
	for name, behind := range map[string]string{"copy": upstreamtest.OKResponse, "noise": "\x00\x01\x02", "end": ""} {
		t.Run("while idle, "+name, func(t *testing.T) {
			var conns, calls atomic.Int32
			sent := make(chan struct{}, 8)
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
					sent <- struct{}{}
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
			<-sent
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
			t.Skip("has a test of its own") // TestAlertOutcomes
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
