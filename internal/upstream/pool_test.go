package upstream

import (
	"bufio"
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"troutusher/internal/upstream/upstreamtest"
	"troutusher/policy"
)

// Guards the reuse of connections, since each new one costs a handshake. Responses must be
// read completely, and all connections of a burst must stay open after it (net/http keeps
// two per host).
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
			for len(together) < burst { // until all calls of the burst are in flight
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
				runCall(endpoint, Request{ID: "m"}, done)
				ended <- true
			}()
		}
		for range burst {
			if result := <-done; result.Outcome != policy.Delivered {
				t.Fatalf("burst %d: got %+v, want outcome Delivered", round, result)
			}
			<-ended
		}
		waitReusable(endpoint)
		for len(together) > 0 {
			<-together
		}
	}
	if n := conns.Load(); n != burst {
		t.Errorf("connections for two bursts of %d calls = %d, want %d", burst, n, burst)
	}
}

// Guards against sending a call on a connection that its endpoint closes before the call
// arrives. The endpoint's keep-alive time starts when it writes its response, so the relay
// must stop earlier by two network delays of 60 ms and a scheduling delay, also with a
// keep-alive time of 1 s. It must still use the connection for half of that time.
func TestIdleTimeoutBeforeKeepAlive(t *testing.T) {
	for _, keep := range []time.Duration{600 * time.Millisecond, time.Second, 2 * time.Second, 10 * time.Second} {
		pool := NewPool(PoolOptions{ConnectTimeout: time.Second, IdleTimeout: keep - IdleMargin(keep), MaxConns: 4})
		now := time.Now()
		c := &poolConn{idleSince: now}
		if !pool.expired(c, now.Add(keep-200*time.Millisecond)) {
			t.Errorf("keep-alive %v: expired = false 200 ms before the endpoint closes the connection, want true", keep)
		}
		if pool.expired(c, now.Add(keep/2)) {
			t.Errorf("keep-alive %v: expired = true after half of that time, want false", keep)
		}
	}
}

// Guards against running out of file descriptors. The number of open connections is
// limited over all endpoints; at the limit an idle connection is closed for a new one. A
// failed dial must not count as open.
func TestPoolBounded(t *testing.T) { forEachTransport(t, testPoolBounded) }

func testPoolBounded(t *testing.T, tr *transport) {
	pool := testPool(t)
	pool.maxConns = 3
	for i := range 10 {
		endpoint := tr.open(pool, tr.serve(t, upstreamtest.ServeOK))
		if result := callOnce(t, endpoint, Request{ID: "m"}); result.Outcome != policy.Delivered {
			t.Fatalf("call to endpoint %d: got %+v, want outcome Delivered", i, result)
		}
		if open, _ := pool.counts(); open > 3 {
			t.Fatalf("open connections = %d, want at most 3", open)
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
		t.Errorf("fourth call: got %+v, want outcome NotSent", result)
	}
	for _, call := range calls {
		call.Cancel()
		<-results
	}
	waitFor(t, "all connections to close", func() bool { open, _ := pool.counts(); return open == 0 })
	refused := tr.open(pool, "127.0.0.1:1")
	if result := callOnce(t, refused, Request{ID: "m"}); result.Outcome != policy.ConnectFailed {
		t.Errorf("call to a refusing port: got %+v, want outcome ConnectFailed", result)
	}
	if open, _ := pool.counts(); open != 0 {
		t.Errorf("open connections after a refused dial = %d, want 0", open)
	}
}

// Guards against idle connections that hold a file descriptor although their endpoint has
// closed them or written to them. The periodic check must close them before their next
// use.
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
		t.Fatalf("idle connections = %d, want 1", idle)
	}
	close(end)
	waitFor(t, "the idle check to close the connection", func() bool { open, _ := pool.counts(); return open == 0 })
	cancel()
	<-done
	// No connection to a closed endpoint stays open after a call.
	closed := tr.open(pool, tr.serve(t, func(conn net.Conn) {
		if upstreamtest.ReadRequest(bufio.NewReader(conn)) {
			respond(conn, upstreamtest.OKResponse)
			time.Sleep(time.Millisecond)
		}
	}))
	closed.Close()
	callOnce(t, closed, Request{ID: "m"})
	if open, _ := pool.counts(); open != 0 {
		t.Errorf("open connections to a closed endpoint = %d, want 0", open)
	}
}
