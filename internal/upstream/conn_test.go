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

// Guards against taking extra bytes after a response for the response to the next call. An
// endpoint may send a second copy, noise or an end of file, while the connection is idle
// or while the next call is written up to its last byte. The relay must then send the
// call once, on another connection.
func TestBytesAfterResponse(t *testing.T) { forEachTransport(t, testBytesAfterResponse) }

func testBytesAfterResponse(t *testing.T, tr *transport) {
	for name, extra := range map[string]string{
		"second copy": upstreamtest.OKResponse, "noise": "\x00\x01\x02", "end of file": "",
	} {
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
					respond(conn, extra)
					sent <- struct{}{}
					if extra == "" {
						return
					}
				}
			}))
			if result := callOnce(t, endpoint, Request{ID: "a"}); result.Outcome != policy.Delivered {
				t.Fatalf("first call: got %+v, want outcome Delivered", result)
			}
			if _, idle := endpoint.pool.counts(); idle != 1 {
				t.Fatalf("idle connections = %d, want 1", idle)
			}
			close(more)
			<-sent
			waitReusable(endpoint)
			waitFor(t, "the extra bytes to arrive", func() bool {
				endpoint.pool.mu.Lock()
				defer endpoint.pool.mu.Unlock()
				return len(endpoint.pool.idle) == 0 || !endpoint.pool.idle[0].reusable()
			})
			if result := callOnce(t, endpoint, Request{ID: "b"}); result.Outcome != policy.Rejected {
				t.Errorf("second call: got %+v, want outcome Rejected", result)
			}
			if conns.Load() != 2 || calls.Load() != 2 {
				t.Errorf("endpoint saw %d connections and %d calls, want 2 and 2", conns.Load(), calls.Load())
			}
		})
	}
	t.Run("while the call is written", func(t *testing.T) {
		if tr.site != nil {
			t.Skip("TestAlertOutcomes covers this over TLS")
		}
		var conns atomic.Int32
		got := make(chan int, 4) // complete bodies of the second call on the first connection
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
			t.Fatalf("first call: got %+v, want outcome Delivered", result)
		}
		waitReusable(endpoint)
		endpoint.pool.mu.Lock()
		c := endpoint.pool.idle[0]
		c.Conn = &closeReadOnWriteConn{TCPConn: c.Conn.(*net.TCPConn)}
		endpoint.pool.mu.Unlock()
		result := callOnce(t, endpoint, Request{ID: "b", Body: []byte("the tail of the body")})
		if result.Outcome != policy.Rejected {
			t.Errorf("second call: got %+v, want outcome Rejected", result)
		}
		if n := <-got; n != 0 || conns.Load() != 2 {
			t.Errorf("complete copies of the second call on the first connection = %d, connections = %d, want 0 and 2",
				n, conns.Load())
		}
	})
}

// closeReadOnWriteConn reaches its end of file right after the first write.
type closeReadOnWriteConn struct {
	*net.TCPConn
	written bool
}

func (c *closeReadOnWriteConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if !c.written {
		c.written = true
		err = errors.Join(err, c.CloseRead()) // an end of file counts as unexpected input, like a byte
	}
	return n, err
}

// Guards non-idempotent messages against kept connections that their endpoint has dropped
// without a notice. The reset arrives before the call's last byte is written, so the
// relay can safely send the call on another connection; the endpoint must see it once.
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
			awaitByte(reader) // the first byte of the next call
			resetOnClose(conn)
		}
	}))
	pool.staleCheckDelay = time.Millisecond
	if result := callOnce(t, endpoint, Request{ID: "a"}); result.Outcome != policy.Delivered {
		t.Fatalf("first call: got %+v, want outcome Delivered", result)
	}
	waitReusable(endpoint)
	dial := endpoint.dial
	endpoint.dial = func(ctx context.Context, addr string) (net.Conn, error) {
		pool.staleCheckDelay = time.Millisecond
		return dial(ctx, addr)
	}
	pool.staleCheckDelay = testTimeout // the reset must end the wait
	if result := callOnce(t, endpoint, Request{ID: "b"}); result.Outcome != policy.Delivered {
		t.Errorf("second call: got %+v, want outcome Delivered", result)
	}
	if conns.Load() != 2 || calls.Load() != 2 {
		t.Errorf("endpoint saw %d connections and %d calls, want 2 and 2", conns.Load(), calls.Load())
	}
}

// Guards against reporting that a call may have run if its connection breaks before the
// last byte is written.
func TestBrokenBeforeLastByte(t *testing.T) {
	endpoint := openPlain(testPool(t), upstreamtest.ServeTCP(t, func(conn net.Conn) { waitClosed(conn) }))
	dial := endpoint.dial
	endpoint.dial = func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := dial(ctx, addr)
		return &failSecondWriteConn{TCPConn: conn.(*net.TCPConn)}, err
	}
	if result := callOnce(t, endpoint, Request{ID: "m", Body: []byte("b")}); result.Outcome != policy.ConnectFailed {
		t.Errorf("Call.Do reported %+v, want outcome ConnectFailed", result)
	}
}

// failSecondWriteConn fails its second write.
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
