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

// Guards reuse: a new connection costs a handshake, so responses are read to their
// end and more than two connections stay open after a burst.
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

// A connection is not used any more when its endpoint, which counts from when it wrote
// its response and closes by its own clock, may close it before the next call arrives:
// two ways of 60 ms and a late turn of this side, also with a keep-alive time of 1 s.
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

// Guards the descriptors: the number open is bounded over all endpoints, and
// an idle one makes room for a new one. A dial that fails frees its place.
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
	waitFor(t, "all connections to close", func() bool { open, _ := pool.counts(); return open == 0 })
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
	waitFor(t, "the idle check", func() bool { open, _ := pool.counts(); return open == 0 })
	cancel()
	<-done
	// A connection to an endpoint that has left is not kept after its call.
	closed := tr.open(pool, tr.serve(t, func(conn net.Conn) {
		if upstreamtest.ReadRequest(bufio.NewReader(conn)) {
			respond(conn, upstreamtest.OKResponse)
			time.Sleep(time.Millisecond)
		}
	}))
	closed.Close()
	callOnce(t, closed, Request{ID: "m"})
	if open, _ := pool.counts(); open != 0 {
		t.Errorf("%d open at an endpoint that left", open)
	}
}
