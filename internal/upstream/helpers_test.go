package upstream

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"troutusher/internal/sendgate"
	"troutusher/internal/upstream/upstreamtest"
	"troutusher/policy"
)

const testTimeout = 20 * time.Second

func newTestCall() *Call { return NewCall(context.Background(), CallOptions{}) }

func newTestPool(maxConns int) *Pool {
	start := time.Now()
	return NewPool(PoolOptions{
		ConnectTimeout: 1500 * time.Millisecond,
		IdleTimeout:    9 * time.Second,
		MaxConns:       maxConns,
		Now:            func() policy.Time { return elapsedSince(start) },
	})
}

// testPool returns a pool. The test fails if connections other than idle ones are open at
// its end.
func testPool(t *testing.T) *Pool {
	t.Helper()
	pool := newTestPool(64)
	t.Cleanup(func() {
		pool.CloseIdle()
		if open, _ := pool.counts(); open != 0 {
			t.Errorf("connections open at the end of the test = %d, want 0", open)
		}
	})
	return pool
}

// openPlain returns an endpoint without TLS that has a sendgate scope of its own.
func openPlain(pool *Pool, address string) *Endpoint {
	return pool.newEndpoint(address, new(sendgate.Scope).Gate())
}

// openTLS opens an endpoint that uses the TLS rule of a site.
func openTLS(pool *Pool, site *upstreamtest.TLSSite, address string) *Endpoint {
	pool.tls = site.Dialer
	return pool.OpenEndpoint(EndpointOptions{
		ID:               policy.EndpointID(site.NextEndpoint()),
		Address:          address,
		Dest:             1,
		Flavor:           "k",
		IndependentRoute: true,
	})
}

// complete sends a call, waits for its end and returns its only result. A request without
// a timeout gets testTimeout.
func complete(t *testing.T, call *Call, endpoint *Endpoint, request Request) Result {
	t.Helper()
	if request.Timeout == 0 {
		request.Timeout = testTimeout
	}
	reported := make(chan Result, 4)
	call.Do(endpoint, request, func(result Result) { reported <- result })
	if len(reported) != 1 {
		t.Fatalf("Call.Do reported %d results, want 1", len(reported))
	}
	return <-reported
}

// callOnce sends a new call, waits for its end and returns its only result.
func callOnce(t *testing.T, endpoint *Endpoint, request Request) Result {
	t.Helper()
	return complete(t, newTestCall(), endpoint, request)
}

// runCall sends a new call, sends its result to a channel and waits for the call's end.
func runCall(endpoint *Endpoint, request Request, results chan<- Result) {
	request.Timeout = testTimeout
	newTestCall().Do(endpoint, request, func(result Result) { results <- result })
}

// startAndWatch starts a new call. It returns a channel that receives the result, and one
// that is closed when the call's connection carries no more of its data.
func startAndWatch(endpoint *Endpoint, request Request) (<-chan Result, <-chan struct{}) {
	results, ended := make(chan Result, 1), make(chan struct{})
	go func() {
		defer close(ended)
		runCall(endpoint, request, results)
	}()
	return results, ended
}

// waitReusable waits until every idle connection may carry another call of any message.
func waitReusable(endpoint *Endpoint) { waitIdle(endpoint, true) }

// waitIdle waits until every idle connection may carry another call, which may or may not need a settled
// connection.
func waitIdle(endpoint *Endpoint, needsSettled bool) {
	for {
		endpoint.pool.mu.Lock()
		ready := true
		for _, c := range endpoint.pool.idle {
			ready = ready && !time.Now().Before(c.usableAt(needsSettled))
		}
		endpoint.pool.mu.Unlock()
		if ready {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// waitFor waits until condition returns true, and fails the test after 30 s. Tests use it
// instead of a fixed delay.
func waitFor(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", what)
}

// transport is how calls reach an endpoint: over plain TCP or over TLS. The same faults
// must lead to the same results over each transport.
type transport struct {
	site   *upstreamtest.TLSSite // nil for plain TCP
	config *tls.Config           // configuration of the endpoint
}

// forEachTransport runs a test over plain TCP, TLS 1.2 and TLS 1.3.
func forEachTransport(t *testing.T, test func(t *testing.T, tr *transport)) {
	t.Run("plain", func(t *testing.T) { test(t, &transport{}) })
	for name, version := range map[string]uint16{"tls 1.2": tls.VersionTLS12, "tls 1.3": tls.VersionTLS13} {
		t.Run(name, func(t *testing.T) {
			site := upstreamtest.NewTLSSite(t, nil)
			config := site.ServerConfig()
			config.MinVersion, config.MaxVersion = version, version
			test(t, &transport{site: site, config: config})
		})
	}
}

// serve starts an endpoint that calls serve for each connection, and returns its address.
func (tr *transport) serve(t testing.TB, serve func(net.Conn)) string {
	t.Helper()
	if tr.site == nil {
		return upstreamtest.ServeTCP(t, serve)
	}
	return upstreamtest.ServeTLS(t, tr.config, serve)
}

// open returns an endpoint that is called over the transport.
func (tr *transport) open(pool *Pool, address string) *Endpoint {
	if tr.site == nil {
		return openPlain(pool, address)
	}
	return openTLS(pool, tr.site, address)
}

// tcpConnOf returns the TCP connection that underlies a connection of an endpoint.
func tcpConnOf(conn net.Conn) *net.TCPConn {
	if secured, ok := conn.(*tls.Conn); ok {
		return secured.NetConn().(*net.TCPConn)
	}
	return conn.(*net.TCPConn)
}

// countingEndpoint answers every request with the same status code and counts the
// requests of each message.
type countingEndpoint struct {
	address string
	mu      sync.Mutex
	calls   map[string]int // by message ID
}

func newCountingEndpoint(t *testing.T, status int) *countingEndpoint {
	t.Helper()
	e := &countingEndpoint{calls: map[string]int{}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		e.mu.Lock()
		e.calls[r.Header.Get("X-Request-ID")]++
		e.mu.Unlock()
		w.WriteHeader(status)
	}))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	e.address = server.Listener.Addr().String()
	return e
}

func (e *countingEndpoint) count(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls[id]
}

// The helpers below ignore errors: an endpoint may still be sending when the call has ended
// and closed the connection. The call's result shows what has arrived.

// send writes bytes.
func send(conn net.Conn, text []byte) { _, _ = conn.Write(text) }

// respond writes a response or part of one.
func respond(conn net.Conn, text string) { send(conn, []byte(text)) }

// receive reads once, whatever arrives.
func receive(conn net.Conn) { _, _ = conn.Read(make([]byte, 4096)) }

// awaitByte waits for a byte or the end of the connection.
func awaitByte(reader io.ByteReader) { _, _ = reader.ReadByte() }

// waitClosed reads and drops data until the connection ends.
func waitClosed(reader io.Reader) { _, _ = io.Copy(io.Discard, reader) }

// resetOnClose makes a later Close of an endpoint's connection send a reset.
func resetOnClose(conn net.Conn) { _ = tcpConnOf(conn).SetLinger(0) }
