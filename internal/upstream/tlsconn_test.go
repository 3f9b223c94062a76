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

// Guards against suspending a TLS call during a hand-over. Its keys exist only in this
// process, so the response must be read here.
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
	waitFor(t, "the call to be marked as sent", func() bool {
		call.mu.Lock()
		defer call.mu.Unlock()
		return call.conn != nil
	})
	call.suspend()
	if call.suspendedConn() != nil {
		t.Error("TLS call is suspended, want it to continue")
	}
	close(release)
	select {
	case result := <-results:
		if result.Outcome != policy.Delivered {
			t.Errorf("Call.Do reported %+v, want outcome Delivered", result)
		}
	case <-time.After(testTimeout):
		t.Errorf("Call.Do reported no result within %v, want the response to be read", testTimeout)
	}
	call.resume(false)
	waitFor(t, "all calls to end", func() bool { open, idle := endpoint.pool.counts(); return open == idle })
}

// mustDeliver sends a call that must be delivered, and waits until its connection can be
// reused.
func mustDeliver(t *testing.T, endpoint *Endpoint) {
	t.Helper()
	if result := callOnce(t, endpoint, Request{ID: "m", Body: []byte("b")}); result.Outcome != policy.Delivered {
		t.Fatalf("Call.Do reported %+v, want outcome Delivered", result)
	}
	waitReusable(endpoint)
}

// Guards session resumption with TLS 1.2 and TLS 1.3. Every connection after the first must
// be resumed, and no session may be resumed after the peer's certificate has expired. Two
// further properties of sessions are not checked here: with TLS 1.3 a session is used
// once, and no session is used for another rule.
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
				t.Errorf("dialer counts %+v, endpoint saw %d connections, %d of them resumed, want 4 with 3 resumed",
					n, conns.Load(), resumed.Load())
			}
			// A session must be rejected when the certificate itself would be.
			site.ClockSkew.Store(int64(3 * time.Hour))
			if result := callOnce(t, endpoint, Request{ID: "m"}); result.Outcome != policy.NotSent {
				t.Errorf("call after the certificate expired: got %+v, want outcome NotSent", result)
			}
			endpoint.Close()
		})
	}
}

// Guards an endpoint that is warming up against a burst of handshakes. Thirty concurrent
// calls must perform at most one handshake at a time and share the open connections.
func TestWarmingUpConnectsOneAtATime(t *testing.T) {
	site := upstreamtest.NewTLSSite(t, nil)
	var mu sync.Mutex
	handshakes, maxHandshakes := 0, 0
	count := func(change int) (maxSoFar int) {
		mu.Lock()
		defer mu.Unlock()
		handshakes += change
		maxHandshakes = max(maxHandshakes, handshakes)
		return maxHandshakes
	}
	config := &tls.Config{
		SessionTicketsDisabled: true,
		// A handshake is counted only while the endpoint selects its certificate, which
		// this delay makes slow. The relay's side of a handshake ends before the endpoint's
		// side does, so counting until the endpoint's end would make two handshakes overlap.
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
			t.Errorf("Call.Do reported %+v, want outcome Delivered", result)
		}
	}
	if n := count(0); n != 1 {
		t.Errorf("concurrent handshakes = %d, want 1", n)
	}
	if n := site.Dialer.Counts().Full; n > 20 {
		t.Errorf("full handshakes for 30 calls = %d, want at most 20", n)
	}
	waitFor(t, "all calls to end", func() bool { open, idle := endpoint.pool.counts(); return open == idle })
}

// Guards the recovery budget, which limits calls and new connections together. At an endpoint
// that is warming up, a call without MayConnect must not open a connection, but may use a
// free one. If the rule charges nothing for handshakes, the call may open a connection.
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
			t.Errorf("weight 0, MayConnect false: got %+v, want Delivered, 1 connection", result)
		}
		if weight > 0 &&
			(result.Outcome != policy.NotSent || result.ConnectionsOpened != 0 || site.Dialer.Counts().Full != 0) {
			t.Errorf("weight %v, MayConnect false: got %+v, want NotSent without a handshake", weight, result)
		}
		if result := call(true); result.Outcome != policy.Delivered || result.ConnectionsOpened != 1 && weight > 0 {
			t.Errorf("weight %v, MayConnect true: got %+v, want Delivered, 1 connection if charged", weight, result)
		}
		waitReusable(endpoint)
		if result := call(false); result.Outcome != policy.Delivered || result.ConnectionsOpened != 0 {
			t.Errorf("weight %v, a connection is free: got %+v, want Delivered, no connection opened", weight, result)
		}
	}
}

// Guards the relay's CPU and calls that cannot succeed. If the handshake budget allows no
// handshake before the call's timeout, the call must end immediately as not sent, and its
// result must contain the wait until a retry.
func TestHandshakeBudgetExhausted(t *testing.T) {
	site := upstreamtest.NewTLSSite(t, func(_ *upstreamtest.TLSSite, handshakes *operatorconfig.Handshakes) {
		handshakes.CPUShare, handshakes.BurstMS = 1e-6, 1
	})
	endpoint := openTLS(testPool(t), site, upstreamtest.ServeTLS(t, site.ServerConfig(), upstreamtest.ServeOK))
	mustDeliver(t, endpoint) // uses up the handshake budget
	endpoint.CloseIdle()
	result := callOnce(t, endpoint, Request{ID: "m", Timeout: time.Second})
	var budget handshakeBudgetError
	if result.Outcome != policy.NotSent || !errors.As(result.Err, &budget) || result.RetryAfter < 1e6 ||
		result.Elapsed > 500e3 {
		t.Errorf("Call.Do reported %+v, want NotSent, handshakeBudgetError, RetryAfter >= 1 s, Elapsed <= 500 ms",
			result)
	}
}

// Guards against misjudging whether a call ran if its TLS connection breaks. The connection
// breaks at each write in turn, including the one that contains the last byte. A call is
// reported as delivered exactly if the endpoint received it, and else as one that never ran.
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
			t.Fatalf("broken at write %d: got %+v and %d calls at the endpoint, want %d, and never ran if 0",
				at, result, calls.Load(), want)
		}
		endpoint.Close()
		if at > 8 {
			return
		}
	}
}

// closeAtWriteConn closes itself instead of performing a given write.
type closeAtWriteConn struct {
	*net.TCPConn
	at, writes int // the write to fail, counted from 1; the writes so far
}

func (c *closeAtWriteConn) Write(b []byte) (int, error) {
	if c.writes++; c.writes == c.at {
		return 0, errors.Join(os.ErrClosed, c.Close())
	}
	return c.TCPConn.Write(b)
}
