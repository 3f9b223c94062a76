package relay

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"troutusher/internal/config"
	"troutusher/policy"
)

func testConfigParsed(t *testing.T) *config.Config {
	t.Helper()
	c, err := config.Parse([]byte(`{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","state":"x","seed":"1","settings":`+
		testSettings+`}`), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func newTestCall() *Call {
	ctx, stop := context.WithCancelCause(context.Background())
	return &Call{ctx: ctx, cancel: stop}
}

const testLimit = 20 * time.Second

// testPool is a pool as a relay has it; what it holds open at the end is a leak.
func testPool(t *testing.T) *Pool {
	t.Helper()
	p := NewPool(1500*time.Millisecond, 9*time.Second, 64)
	t.Cleanup(func() {
		p.closeIdleIf(func(*poolConn) bool { return true })
		if open, _ := p.counts(); open != 0 {
			t.Errorf("%d connections left open", open)
		}
	})
	return p
}

// complete makes a call to its end and gives its one outcome.
func (c *Call) complete(t *testing.T, h *Endpoint, rec *record, limit time.Duration) Result {
	t.Helper()
	told := make(chan Result, 4)
	c.Do(h, rec, limit, nil, func(o Result) { told <- o })
	if len(told) != 1 {
		t.Fatalf("told %d outcomes, want 1", len(told))
	}
	return <-told
}

// waitReusable waits until a kept connection may be used again.
func waitReusable(h *Endpoint) {
	for {
		h.pool.mu.Lock()
		ready := true
		for _, c := range h.pool.idle {
			ready = ready && time.Since(c.idleSince) >= reuseDelay
		}
		h.pool.mu.Unlock()
		if ready {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// serveTCP serves connections by hand, for what no HTTP server does.
func serveTCP(t testing.TB, serve func(net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { defer conn.Close(); serve(conn) }()
		}
	}()
	return ln.Addr().String()
}

// readRequest reads one whole call off a connection.
func readRequest(in *bufio.Reader) bool {
	req, err := http.ReadRequest(in)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err == nil
}

func TestOutcomeOfResponse(t *testing.T) { forEachTransport(t, testOutcomeOfResponse) }

func testOutcomeOfResponse(t *testing.T, w *transport) {
	say := func(text string) func(net.Conn) {
		return func(c net.Conn) {
			if readRequest(bufio.NewReader(c)) {
				io.WriteString(c, text)
			}
		}
	}
	for name, x := range map[string]struct {
		serve   func(net.Conn)
		what    policy.Outcome
		wait    policy.Time
		slots   bool
		settled bool
	}{
		"delivered":          {serve: say("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), what: policy.Delivered, settled: true},
		"delivered, cut":     {serve: say("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"), what: policy.Delivered, settled: true},
		"error":              {serve: say("HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n"), what: policy.Failed},
		"told to wait":       {serve: say("HTTP/1.1 429 W\r\nRetry-After: 0.75\r\nContent-Length: 0\r\n\r\n"), what: policy.Rejected, wait: 750000},
		"full":               {serve: say("HTTP/1.1 503 F\r\nContent-Length: 0\r\n\r\n"), what: policy.Rejected},
		"slots taken":        {serve: say("HTTP/1.1 503 F\r\nSlots-Taken: 1\r\nContent-Length: 0\r\n\r\n"), what: policy.NotSent, slots: true},
		"attempts used up":   {serve: say("HTTP/1.1 504 A\r\nContent-Length: 0\r\n\r\n"), what: policy.NotSent},
		"over":               {serve: say("HTTP/1.1 410 G\r\nContent-Length: 0\r\n\r\n"), what: policy.NotSent, settled: true},
		"no page names it":   {serve: say("HTTP/1.1 418 T\r\nContent-Length: 0\r\n\r\n"), what: policy.Failed},
		"no redirect":        {serve: say("HTTP/1.1 307 R\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n"), what: policy.Failed},
		"broken after":       {serve: say(""), what: policy.ConnectionReset},
		"nonsense":           {serve: say("what?\r\n\r\n"), what: policy.Failed},
		"half an answer":     {serve: say("HTTP/1.1 20"), what: policy.ConnectionReset},
		"first a hint, then": {serve: say("HTTP/1.1 100 C\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), what: policy.Delivered, settled: true},
	} {
		t.Run(name, func(t *testing.T) {
			h := w.endpoint(testPool(t), w.serve(t, x.serve))
			o := newTestCall().complete(t, h, &record{ID: "m", Key: "k", Body: []byte("b")}, testLimit)
			if o.Outcome != x.what || o.RetryAfter != x.wait || o.SlotsExhausted != x.slots || o.Final != x.settled {
				t.Errorf("got %+v", o)
			}
		})
	}
}

// Guards the difference between what never ran and what may have: a refused
// connection never ran, silence after the last byte may have.
func TestOutcomeWithoutResponse(t *testing.T) { forEachTransport(t, testOutcomeWithoutResponse) }

func testOutcomeWithoutResponse(t *testing.T, w *transport) {
	p := testPool(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refused := ln.Addr().String()
	ln.Close()
	if o := newTestCall().complete(t, w.endpoint(p, refused), &record{ID: "m"}, testLimit); o.Outcome != policy.ConnectFailed {
		t.Errorf("refused: %+v", o)
	}
	gone := make(chan struct{}, 2)
	entered := make(chan struct{}, 2)
	silent := w.serve(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		readRequest(in)
		entered <- struct{}{}
		in.ReadByte() // until the caller closes
		gone <- struct{}{}
	})
	if o := newTestCall().complete(t, w.endpoint(p, silent), &record{ID: "m"}, 50*time.Millisecond); o.Outcome != policy.TimedOut {
		t.Errorf("silent: %+v", o)
	}
	<-entered
	<-gone // giving up closes the connection
	c := newTestCall()
	go func() { <-entered; c.cancel(ErrCancelled) }()
	if o := c.complete(t, w.endpoint(p, silent), &record{ID: "m"}, testLimit); o.Outcome != policy.Cancelled {
		t.Errorf("cancelled: %+v", o)
	}
	<-gone
}

// Guards against a call that is sent again by itself where a kept-alive
// connection breaks under it.
func TestNoAutomaticRetry(t *testing.T) { forEachTransport(t, testNoAutomaticRetry) }

func testNoAutomaticRetry(t *testing.T, w *transport) {
	for name, body := range map[string][]byte{"body": []byte("b"), "empty body": nil} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int32
			addr := w.serve(t, func(c net.Conn) {
				in := bufio.NewReader(c)
				for readRequest(in) {
					if calls.Add(1) == 2 {
						return // the second call on a kept connection breaks
					}
					io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			})
			h := w.endpoint(testPool(t), addr)
			rec := &record{ID: "m", Key: "k", Body: body}
			if o := newTestCall().complete(t, h, rec, testLimit); o.Outcome != policy.Delivered {
				t.Fatalf("first: %+v", o)
			}
			waitReusable(h)
			if o := newTestCall().complete(t, h, rec, testLimit); o.Outcome != policy.ConnectionReset {
				t.Errorf("second: %+v", o)
			}
			if n := calls.Load(); n != 2 {
				t.Errorf("the endpoint saw %d calls, want 2", n)
			}
		})
	}
	req, err := newCallRequest("127.0.0.1:1", "m", "k", []byte("b"), time.Second)
	if err != nil || req.GetBody != nil {
		t.Errorf("request can be rewound: GetBody %v, err %v", req.GetBody != nil, err)
	}
}

// Guards the drain grace: a call that waits for its connection when the word
// of a drain comes must not begin when the connection is there at last.
func TestDrainStopsWaitingCall(t *testing.T) {
	ep := newFakeEndpoint(t, nil)
	p := testPool(t)
	dialing, release := make(chan struct{}), make(chan struct{})
	h := p.newEndpoint(ep.addr())
	h.dial = func(ctx context.Context, addr string) (net.Conn, error) {
		close(dialing)
		<-release
		return net.Dial("tcp", addr)
	}
	c := newTestCall()
	go func() { <-dialing; h.Close(); close(release) }()
	if o := c.complete(t, h, &record{ID: "m"}, testLimit); o.Outcome != policy.NotSent {
		t.Errorf("got %+v", o)
	}
	if n := ep.count("m"); n != 0 {
		t.Errorf("the call went out %d times", n)
	}
	// The word may also come just as the connection does.
	h = p.newEndpoint(ep.addr())
	h.Close()
	if o := newTestCall().complete(t, h, &record{ID: "late"}, testLimit); o.Outcome != policy.NotSent || ep.count("late") != 0 {
		t.Errorf("got %+v, and %d calls", o, ep.count("late"))
	}
}

// Guards reuse: a new connection costs a handshake, so answers are read to
// their end and more than two connections are kept after a burst.
func TestConnectionReuse(t *testing.T) { forEachTransport(t, testConnectionReuse) }

func testConnectionReuse(t *testing.T, w *transport) {
	var conns atomic.Int32
	const burst = 6
	together := make(chan struct{}, burst)
	addr := w.serve(t, func(c net.Conn) {
		conns.Add(1)
		in := bufio.NewReader(c)
		for readRequest(in) {
			together <- struct{}{}
			for len(together) < burst { // all of a burst are out at once
				time.Sleep(time.Millisecond)
			}
			io.Copy(c, bytes.NewReader(append([]byte("HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n"), make([]byte, 9000)...)))
		}
	})
	h := w.endpoint(testPool(t), addr)
	for round := range 2 {
		done, ended := make(chan Result, burst), make(chan bool, burst)
		for range burst {
			go func() {
				newTestCall().Do(h, &record{ID: "m"}, testLimit, nil, func(o Result) { done <- o })
				ended <- true
			}()
		}
		for range burst {
			if o := <-done; o.Outcome != policy.Delivered {
				t.Fatalf("round %d: %+v", round, o)
			}
			<-ended
		}
		waitReusable(h)
		for len(together) > 0 {
			<-together
		}
	}
	if n := conns.Load(); n != burst {
		t.Errorf("%d connections for two bursts of %d", n, burst)
	}
}

func TestParseRetryAfter(t *testing.T) {
	for s, want := range map[string]policy.Time{"1.5": 1500000, " 2 ": 2000000, "": 0, "0": 0, "soon": -1, "-1": -1, "NaN": -1, "Inf": -1, "1e99": -1} {
		got, err := parseRetryAfter(s)
		if (err != nil) != (want < 0) || err == nil && got != want {
			t.Errorf("%q: %d, %v, want %d", s, got, err, want)
		}
	}
}

func TestParseLoad(t *testing.T) {
	fields := []string{"x0", "x1"}
	for s, want := range map[string]policy.LoadReport{"x0=0.4,x1=25": {Remaining: 0.4, Limit: 25}, "x1=3": {Limit: 3}, "": {}, "x0=?,x1=-2": {}, "x1=NaN": {}, "x1=Inf,x0=+Inf": {}, "x1=1e300": {}} {
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
		ep := newFakeEndpoint(t, respondStatus(code))
		if o := checkHealth(context.Background(), testPool(t).newEndpoint(ep.addr())); o.Outcome != want {
			t.Errorf("%d: %+v", code, o)
		}
	}
}
