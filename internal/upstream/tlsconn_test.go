package upstream

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"troutusher/internal/operatorconfig"
	"troutusher/internal/upstream/upstreamtest"
	"troutusher/policy"
)

// Guards a hand-over: a call over TLS is not suspended, since its keys are in this
// process alone, and its response is read.
func TestTLSCallIsNotSuspended(t *testing.T) {
	site := upstreamtest.NewTLSSite(t, nil)
	entered, release := make(chan struct{}), make(chan struct{})
	endpoint := openTLS(testPool(t), site, upstreamtest.ServeTLS(t, site.ServerConfig(), func(conn net.Conn) {
		if upstreamtest.ReadRequest(bufio.NewReader(conn)) {
			close(entered)
			<-release
			respond(conn, upstreamtest.OKResponse)
		}
	}))
	call := newTestCall()
	results := make(chan Result, 1)
	go call.Do(endpoint, Request{ID: "m", Timeout: testTimeout}, func(result Result) { results <- result })
	<-entered
	waitFor(t, "the call to be out", func() bool {
		call.mu.Lock()
		defer call.mu.Unlock()
		return call.conn != nil
	})
	call.suspend()
	if call.suspendedConn() != nil {
		t.Error("it is suspended")
	}
	close(release)
	select {
	case result := <-results:
		if result.Outcome != policy.Delivered {
			t.Errorf("got %+v", result)
		}
	case <-time.After(testTimeout):
		t.Error("its response is not read")
	}
	call.resume(false)
	waitFor(t, "all calls to end", func() bool { open, idle := endpoint.pool.counts(); return open == idle })
}

// mustDeliver makes a call that is delivered, and waits until its connection may be used
// again.
func mustDeliver(t *testing.T, endpoint *Endpoint) {
	t.Helper()
	if result := callOnce(t, endpoint, Request{ID: "m", Body: []byte("b")}); result.Outcome != policy.Delivered {
		t.Fatalf("got %+v", result)
	}
	waitReusable(endpoint)
}

// Guards sessions: the second connection is resumed with both versions, a
// session is shown once under TLS 1.3, and never for another rule.
func TestSessionResumption(t *testing.T) {
	for _, version := range []uint16{tls.VersionTLS12, tls.VersionTLS13} {
		t.Run(tls.VersionName(version), func(t *testing.T) {
			site := upstreamtest.NewTLSSite(t, nil)
			var conns, resumed atomic.Int32
			config := site.ServerConfig()
			config.MinVersion, config.MaxVersion = version, version
			addr := upstreamtest.ServeTLS(t, config, func(conn net.Conn) {
				conns.Add(1)
				if conn.(*tls.Conn).ConnectionState().DidResume {
					resumed.Add(1)
				}
				upstreamtest.ServeOK(conn)
			})
			endpoint := openTLS(testPool(t), site, addr)
			for range 4 {
				mustDeliver(t, endpoint)
				endpoint.CloseIdle()
			}
			if n := site.Dialer.Counts(); n.Full != 1 || n.Resumed != 3 || conns.Load() != 4 || resumed.Load() != 3 {
				t.Errorf("%+v; the peer saw %d, of them %d resumed", n, conns.Load(), resumed.Load())
			}
			// What a proof would not be accepted for any more, a session is not either.
			site.ClockSkew.Store(int64(3 * time.Hour))
			if result := callOnce(t, endpoint, Request{ID: "m"}); result.Outcome != policy.NotSent {
				t.Errorf("after the certificate's end a session serves: %+v", result)
			}
			endpoint.Close()
		})
	}
}

// Guards an endpoint that is warming up: thirty calls at once make one handshake at a
// time, and take turns on the connections that there are.
func TestWarmingUpConnectsOneAtATime(t *testing.T) {
	site := upstreamtest.NewTLSSite(t, nil)
	var mu sync.Mutex
	handshakes, most := 0, 0
	count := func(change int) (mostSoFar int) {
		mu.Lock()
		defer mu.Unlock()
		handshakes += change
		most = max(most, handshakes)
		return most
	}
	config := &tls.Config{
		SessionTicketsDisabled: true,
		// A handshake is counted while the endpoint looks for its certificate, which is
		// slow there: on this side it ends before the endpoint's own last step of it.
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			count(1)
			defer count(-1)
			time.Sleep(5 * time.Millisecond)
			own := site.PeerCert.TLSCertificate()
			return &own, nil
		},
	}
	endpoint := openTLS(testPool(t), site, upstreamtest.ServeTLS(t, config, upstreamtest.ServeOK))
	results := make(chan Result, 30)
	for range 30 {
		go func() {
			call := NewCall(context.Background(), CallOptions{WarmingUp: true, MayConnect: true})
			call.Do(endpoint, Request{ID: "m", Timeout: testTimeout}, func(result Result) { results <- result })
		}()
	}
	for range 30 {
		if result := <-results; result.Outcome != policy.Delivered {
			t.Errorf("got %+v", result)
		}
	}
	if n := count(0); n != 1 {
		t.Errorf("%d handshakes at once", n)
	}
	if n := site.Dialer.Counts().Full; n > 20 {
		t.Errorf("%d handshakes for 30 calls that could share", n)
	}
	waitFor(t, "all calls to end", func() bool { open, idle := endpoint.pool.counts(); return open == idle })
}

// Guards the one budget for calls and connections: at an endpoint that is warming up a
// call that may not connect opens no connection, and goes out on one that is free; where
// handshakes are not charged it opens its own.
func TestConnectNotAllowed(t *testing.T) {
	for _, weight := range []float64{0, 1} {
		site := upstreamtest.NewTLSSite(t, func(site *upstreamtest.TLSSite, _ *operatorconfig.Handshakes) {
			site.Rule.HandshakeWeight = &weight
		})
		endpoint := openTLS(testPool(t), site, upstreamtest.ServeTLS(t, site.ServerConfig(), upstreamtest.ServeOK))
		call := func(mayConnect bool) Result {
			c := NewCall(context.Background(), CallOptions{WarmingUp: true, MayConnect: mayConnect})
			return complete(t, c, endpoint, Request{ID: "m"})
		}
		result := call(false)
		if weight == 0 && (result.Outcome != policy.Delivered || result.ConnectionsOpened != 1) {
			t.Errorf("may not connect, nothing charged: %+v", result)
		}
		if weight > 0 &&
			(result.Outcome != policy.NotSent || result.ConnectionsOpened != 0 || site.Dialer.Counts().Full != 0) {
			t.Errorf("weight %v, may not connect: %+v", weight, result)
		}
		if result := call(true); result.Outcome != policy.Delivered || result.ConnectionsOpened != 1 && weight > 0 {
			t.Errorf("weight %v, may connect: %+v", weight, result)
		}
		waitReusable(endpoint)
		if result := call(false); result.Outcome != policy.Delivered || result.ConnectionsOpened != 0 {
			t.Errorf("weight %v, one is free: %+v", weight, result)
		}
	}
}

// Guards this side's processor, and a call that cannot make it: where the budget allows no
// handshake before the call's timeout, it ends at once as not sent, with the time after
// which to retry.
func TestHandshakeBudgetExhausted(t *testing.T) {
	site := upstreamtest.NewTLSSite(t, func(_ *upstreamtest.TLSSite, handshakes *operatorconfig.Handshakes) {
		handshakes.CPUShare, handshakes.BurstMS = 1e-6, 1
	})
	endpoint := openTLS(testPool(t), site, upstreamtest.ServeTLS(t, site.ServerConfig(), upstreamtest.ServeOK))
	mustDeliver(t, endpoint) // which takes all of the budget
	endpoint.CloseIdle()
	result := callOnce(t, endpoint, Request{ID: "m", Timeout: time.Second})
	var budget handshakeBudgetError
	if result.Outcome != policy.NotSent || !errors.As(result.Err, &budget) || result.RetryAfter < 1e6 ||
		result.Elapsed > 500e3 {
		t.Errorf("got %+v", result)
	}
}

// Guards what never ran: a reset at each write before the last byte, and the
// write that carries it.
func TestBrokenAtEachTLSWrite(t *testing.T) {
	for at := 1; ; at++ {
		site := upstreamtest.NewTLSSite(t, nil)
		var calls atomic.Int32
		pool := testPool(t)
		endpoint := openTLS(pool, site, upstreamtest.ServeTLS(t, site.ServerConfig(), func(conn net.Conn) {
			if upstreamtest.ReadRequest(bufio.NewReader(conn)) {
				calls.Add(1)
				respond(conn, upstreamtest.OKResponse)
			}
		}))
		dial := endpoint.dial
		broke := false
		endpoint.dial = func(ctx context.Context, addr string) (net.Conn, error) {
			conn, err := dial(ctx, addr)
			if err != nil || broke {
				return conn, err
			}
			broke = true
			return &closeAtWriteConn{TCPConn: conn.(*net.TCPConn), at: at}, nil
		}
		result := callOnce(t, endpoint, Request{ID: "m", Body: []byte("b")})
		want := int32(0)
		if result.Outcome == policy.Delivered {
			want = 1
		}
		if calls.Load() != want || want == 0 && !result.Outcome.NeverRan() {
			t.Fatalf("broken at write %d: %+v, and %d calls", at, result, calls.Load())
		}
		endpoint.Close()
		if at > 8 {
			return
		}
	}
}

type closeAtWriteConn struct {
	*net.TCPConn
	at, writes int
}

func (c *closeAtWriteConn) Write(b []byte) (int, error) {
	if c.writes++; c.writes == c.at {
		return 0, errors.Join(os.ErrClosed, c.Close())
	}
	return c.TCPConn.Write(b)
}
