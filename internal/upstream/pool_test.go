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

const fine = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Guards what is believed of an answer. A spoilt one is that of a call that
// may have run, whatever its first line says, unless that says 200; and no
// answer is read for longer than it may be or take.
func TestMalformedResponses(t *testing.T) { forEachTransport(t, testMalformedResponses) }

func testMalformedResponses(t *testing.T, w *transport) {
	long := strings.Repeat("x", 8000)
	for name, x := range map[string]struct {
		answer  string
		goes    bool // the endpoint goes on sending
		outcome policy.Outcome
		final   bool
		keeps   bool
	}{
		"refusal with a short body":     {answer: "HTTP/1.1 503 F\r\nContent-Length: 9\r\n\r\nno", outcome: policy.Failed},
		"told to wait with a bad time":  {answer: "HTTP/1.1 429 W\r\nRetry-After: -3\r\nContent-Length: 0\r\n\r\n", outcome: policy.Failed},
		"over, head without end":        {answer: "HTTP/1.1 410 G\r\nContent-Le", outcome: policy.Failed},
		"not sent, two lengths":         {answer: "HTTP/1.1 504 A\r\nContent-Length: 0\r\nContent-Length: 5\r\n\r\n", outcome: policy.Failed},
		"refusal, length no number":     {answer: "HTTP/1.1 503 F\r\nContent-Length: many\r\n\r\n", outcome: policy.Failed},
		"refusal, negative length":      {answer: "HTTP/1.1 503 F\r\nContent-Length: -1\r\n\r\n", outcome: policy.Failed},
		"refusal of 3 GB":               {answer: "HTTP/1.1 503 F\r\nContent-Length: 3221225472\r\n\r\n", goes: true, outcome: policy.Failed},
		"refusal, endless head":         {answer: "HTTP/1.1 503 F\r\n", goes: true, outcome: policy.Failed},
		"refusal, chunks cut":           {answer: "HTTP/1.1 503 F\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", outcome: policy.Failed},
		"noise":                         {answer: "\x00\xff\x13noise\x00", outcome: policy.Failed},
		"noise with a line":             {answer: "\x00\xffnoise\r\nHTTP/1.1 503 F\r\n\r\n", outcome: policy.Failed},
		"endless line":                  {answer: "HTTP/1.1 503 " + long, goes: true, outcome: policy.Failed},
		"not quite a code":              {answer: "HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n", outcome: policy.Failed},
		"another protocol":              {answer: "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n", outcome: policy.Failed},
		"delivered, 3 GB":               {answer: "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n", goes: true, outcome: policy.Delivered, final: true},
		"delivered, head without end":   {answer: "HTTP/1.1 200 OK\r\nX-", outcome: policy.Delivered, final: true},
		"delivered, noise for a head":   {answer: "HTTP/1.1 200 OK\r\n\x00\x01\xff", outcome: policy.Delivered, final: true},
		"delivered, bad length":         {answer: "HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\n", outcome: policy.Delivered, final: true},
		"several hints":                 {answer: "HTTP/1.1 100 C\r\n\r\nHTTP/1.1 103 E\r\nLink: x\r\n\r\nHTTP/1.1 102 P\r\n\r\n" + upstreamtest.OKResponse, outcome: policy.Delivered, final: true, keeps: true},
		"hints without end":             {answer: strings.Repeat("HTTP/1.1 100 C\r\n\r\n", 500), outcome: policy.Failed},
		"a hint, then nothing":          {answer: "HTTP/1.1 103 E\r\n", outcome: policy.Failed},
		"refusal, then a copy behind":   {answer: "HTTP/1.1 503 F\r\nContent-Length: 0\r\n\r\nHTTP/1.1 503 F\r\nContent-Length: 0\r\n\r\n", outcome: policy.Rejected},
		"delivered, then a copy behind": {answer: fine + upstreamtest.OKResponse, outcome: policy.Delivered, final: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			closed := make(chan int, 1)
			h := w.open(testPool(t), w.serve(t, func(c net.Conn) {
				in := bufio.NewReader(c)
				if !upstreamtest.ReadRequest(in) {
					return
				}
				io.WriteString(c, x.answer)
				n := 0
				for x.goes {
					m, err := c.Write([]byte(long))
					if n += m; err != nil {
						closed <- n
						return
					}
				}
				io.Copy(io.Discard, in) // the connection stays open from this side
				closed <- n
			}))
			o := complete(t, newTestCall(), h, Request{ID: "m", Body: []byte("b"), Timeout: testTimeout})
			if o.Outcome != x.outcome || o.Final != x.final {
				t.Errorf("got %+v", o)
			}
			if o.Elapsed > (testTimeout / 2).Microseconds() {
				t.Errorf("took %d us: it waited for what does not come", o.Elapsed)
			}
			if _, idle := h.pool.counts(); (idle != 0) != x.keeps {
				t.Errorf("%d connections kept", idle)
			}
			h.CloseIdle()
			if n := <-closed; n > 64<<20 {
				t.Errorf("%d bytes were sent before the close", n)
			}
		})
	}
}

// Guards the moment at which a delivery is known: with its first line.
func TestDeliveredAtStatusLine(t *testing.T) { forEachTransport(t, testDeliveredAtStatusLine) }

func testDeliveredAtStatusLine(t *testing.T, w *transport) {
	release := make(chan struct{})
	h := w.open(testPool(t), w.serve(t, func(c net.Conn) {
		if upstreamtest.ReadRequest(bufio.NewReader(c)) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n")
			<-release
		}
	}))
	told, over := make(chan Result, 1), make(chan struct{})
	go func() {
		defer close(over)
		newTestCall().Do(h, Request{ID: "m", Timeout: testTimeout}, func(o Result) { told <- o })
	}()
	if o := <-told; o.Outcome != policy.Delivered {
		t.Errorf("got %+v", o)
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

func testInterimLongBeforeResponse(t *testing.T, w *transport) {
	release := make(chan struct{})
	h := w.open(testPool(t), w.serve(t, func(c net.Conn) {
		if upstreamtest.ReadRequest(bufio.NewReader(c)) {
			io.WriteString(c, "HTTP/1.1 102 P\r\n\r\n")
			<-release
			io.WriteString(c, upstreamtest.OKResponse)
		}
	}))
	told, over := make(chan Result, 1), make(chan struct{})
	go func() {
		defer close(over)
		newTestCall().Do(h, Request{ID: "m", Timeout: testTimeout}, func(o Result) { told <- o })
	}()
	select {
	case o := <-told:
		t.Fatalf("before the answer: %+v", o)
	case <-time.After(2 * responseReadTimeout):
	}
	close(release)
	if o := <-told; o.Outcome != policy.Delivered {
		t.Errorf("got %+v", o)
	}
	<-over
}

// Guards each answer against what came behind the one before: a second copy
// or noise must not pass for the next call's answer, whether it is there when
// the connection is put back, while it is idle, or only when the call is
// written but for its last byte. Nothing of the call counts then, so that it
// goes out on another connection, once.
func TestBytesAfterResponse(t *testing.T) { forEachTransport(t, testBytesAfterResponse) }

func testBytesAfterResponse(t *testing.T, w *transport) {
	for name, behind := range map[string]string{"copy": upstreamtest.OKResponse, "noise": "\x00\x01\x02", "end": ""} {
		t.Run("while idle, "+name, func(t *testing.T) {
			var conns, calls atomic.Int32
			said := make(chan struct{}, 8)
			more := make(chan struct{})
			h := w.open(testPool(t), w.serve(t, func(c net.Conn) {
				first := conns.Add(1) == 1
				in := bufio.NewReader(c)
				for upstreamtest.ReadRequest(in) {
					if calls.Add(1); !first {
						io.WriteString(c, "HTTP/1.1 503 F\r\nContent-Length: 0\r\n\r\n")
						continue
					}
					io.WriteString(c, upstreamtest.OKResponse)
					<-more
					io.WriteString(c, behind)
					said <- struct{}{}
					if behind == "" {
						return
					}
				}
			}))
			if o := complete(t, newTestCall(), h, Request{ID: "a", Timeout: testTimeout}); o.Outcome != policy.Delivered {
				t.Fatalf("first: %+v", o)
			}
			if _, idle := h.pool.counts(); idle != 1 {
				t.Fatalf("%d idle connections, want 1", idle)
			}
			close(more)
			<-said
			waitReusable(h)
			waitFor(t, "the bytes", func() bool {
				h.pool.mu.Lock()
				defer h.pool.mu.Unlock()
				return len(h.pool.idle) == 0 || !h.pool.idle[0].reusable()
			})
			if o := complete(t, newTestCall(), h, Request{ID: "b", Timeout: testTimeout}); o.Outcome != policy.Rejected {
				t.Errorf("second: %+v", o)
			}
			if conns.Load() != 2 || calls.Load() != 2 {
				t.Errorf("%d connections, %d calls, want 2 and 2", conns.Load(), calls.Load())
			}
		})
	}
	t.Run("while the call is written", func(t *testing.T) {
		if w.site != nil {
			t.Skip("a test of its own has it") // TestAlertsBeforeTheLastByte
		}
		var conns atomic.Int32
		got := make(chan int, 4) // bytes of the second call on the first connection
		h := w.open(testPool(t), w.serve(t, func(c net.Conn) {
			first := conns.Add(1) == 1
			in := bufio.NewReader(c)
			for n := 0; upstreamtest.ReadRequest(in); n++ {
				if !first {
					io.WriteString(c, "HTTP/1.1 503 F\r\nContent-Length: 0\r\n\r\n")
					continue
				}
				io.WriteString(c, upstreamtest.OKResponse)
				rest, _ := io.ReadAll(in)
				got <- strings.Count(string(rest), "tail of the body")
			}
		}))
		if o := complete(t, newTestCall(), h, Request{ID: "a", Timeout: testTimeout}); o.Outcome != policy.Delivered {
			t.Fatalf("first: %+v", o)
		}
		waitReusable(h)
		h.pool.mu.Lock()
		c := h.pool.idle[0]
		c.Conn = &closeReadOnWriteConn{TCPConn: c.Conn.(*net.TCPConn)}
		h.pool.mu.Unlock()
		if o := complete(t, newTestCall(), h, Request{ID: "b", Body: []byte("the tail of the body"), Timeout: testTimeout}); o.Outcome != policy.Rejected {
			t.Errorf("second: %+v", o)
		}
		if n := <-got; n != 0 || conns.Load() != 2 {
			t.Errorf("the call went out whole on the first connection (%d), %d connections", n, conns.Load())
		}
	})
}

// closeReadOnWriteConn brings bytes just as a call begins to be written.
type closeReadOnWriteConn struct {
	*net.TCPConn
	begun bool
}

func (r *closeReadOnWriteConn) Write(b []byte) (int, error) {
	n, err := r.TCPConn.Write(b)
	if !r.begun {
		r.begun = true
		r.TCPConn.CloseRead() // an end is as good as a byte: something is there to be read
	}
	return n, err
}

// Guards unsafe messages against kept connections that their endpoint has
// dropped in silence: the reset comes before the last byte, so the call goes
// out on another connection and counts once.
func TestSilentlyDroppedConnection(t *testing.T) { forEachTransport(t, testSilentlyDroppedConnection) }

func testSilentlyDroppedConnection(t *testing.T, w *transport) {
	var conns, calls atomic.Int32
	p := testPool(t)
	h := w.open(p, w.serve(t, func(c net.Conn) {
		first := conns.Add(1) == 1
		in := bufio.NewReader(c)
		if !upstreamtest.ReadRequest(in) {
			return
		}
		calls.Add(1)
		io.WriteString(c, upstreamtest.OKResponse)
		if first {
			in.ReadByte() // of the next call
			tcpConnOf(c).SetLinger(0)
		}
	}))
	p.staleCheckDelay = time.Millisecond
	if o := complete(t, newTestCall(), h, Request{ID: "a", Timeout: testTimeout}); o.Outcome != policy.Delivered {
		t.Fatalf("first: %+v", o)
	}
	waitReusable(h)
	dial := h.dial
	h.dial = func(ctx context.Context, addr string) (net.Conn, error) {
		p.staleCheckDelay = time.Millisecond
		return dial(ctx, addr)
	}
	p.staleCheckDelay = testTimeout // the reset ends it
	if o := complete(t, newTestCall(), h, Request{ID: "b", Timeout: testTimeout}); o.Outcome != policy.Delivered {
		t.Errorf("second: %+v", o)
	}
	if conns.Load() != 2 || calls.Load() != 2 {
		t.Errorf("%d connections, %d calls, want 2 and 2", conns.Load(), calls.Load())
	}
}

// Guards what never ran: a connection that breaks before the call's last byte
// is written.
func TestBrokenBeforeLastByte(t *testing.T) {
	h := openPlain(testPool(t), upstreamtest.ServeTCP(t, func(c net.Conn) { io.Copy(io.Discard, c) }))
	dial := h.dial
	h.dial = func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := dial(ctx, addr)
		return &failSecondWriteConn{TCPConn: c.(*net.TCPConn)}, err
	}
	if o := complete(t, newTestCall(), h, Request{ID: "m", Body: []byte("b"), Timeout: testTimeout}); o.Outcome != policy.ConnectFailed {
		t.Errorf("got %+v", o)
	}
}

type failSecondWriteConn struct {
	*net.TCPConn
	writes int
}

func (b *failSecondWriteConn) Write(p []byte) (int, error) {
	if b.writes++; b.writes == 2 {
		return 0, errors.New("broken")
	}
	return b.TCPConn.Write(p)
}

// Guards the descriptors: the number open is bounded over all endpoints, and
// what is idle makes room for what is wanted. A dial that is given up frees
// its place.
func TestPoolBounded(t *testing.T) { forEachTransport(t, testPoolBounded) }

func testPoolBounded(t *testing.T, w *transport) {
	serve := func(c net.Conn) {
		for in := bufio.NewReader(c); upstreamtest.ReadRequest(in); {
			io.WriteString(c, upstreamtest.OKResponse)
		}
	}
	p := testPool(t)
	p.maxConns = 3
	for i := range 10 {
		if o := complete(t, newTestCall(), w.open(p, w.serve(t, serve)), Request{ID: "m", Timeout: testTimeout}); o.Outcome != policy.Delivered {
			t.Fatalf("endpoint %d: %+v", i, o)
		}
		if open, _ := p.counts(); open > 3 {
			t.Fatalf("%d connections open, 3 allowed", open)
		}
	}
	entered := make(chan struct{}, 3)
	stuck := w.open(p, w.serve(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		upstreamtest.ReadRequest(in)
		entered <- struct{}{}
		in.ReadByte()
	}))
	var calls []*Call
	over := make(chan Result, 3)
	for range 3 {
		c := newTestCall()
		calls = append(calls, c)
		go func() { c.Do(stuck, Request{ID: "m", Timeout: testTimeout}, func(o Result) { over <- o }) }()
		<-entered
	}
	if o := complete(t, newTestCall(), stuck, Request{ID: "m", Timeout: testTimeout}); o.Outcome != policy.NotSent {
		t.Errorf("a fourth: %+v", o)
	}
	for _, c := range calls {
		c.Cancel()
		<-over
	}
	waitFor(t, "places", func() bool { open, _ := p.counts(); return open == 0 })
	refused := w.open(p, "127.0.0.1:1")
	if o := complete(t, newTestCall(), refused, Request{ID: "m", Timeout: testTimeout}); o.Outcome != policy.ConnectFailed {
		t.Errorf("refused: %+v", o)
	}
	if open, _ := p.counts(); open != 0 {
		t.Errorf("%d open after a refused dial", open)
	}
}

// Guards against what an endpoint closed or wrote to while it was idle: it
// must not hold a descriptor until its next use.
func TestPoolClosesDeadIdle(t *testing.T) { forEachTransport(t, testPoolClosesDeadIdle) }

func testPoolClosesDeadIdle(t *testing.T, w *transport) {
	end := make(chan struct{})
	p := testPool(t)
	h := w.open(p, w.serve(t, func(c net.Conn) {
		if upstreamtest.ReadRequest(bufio.NewReader(c)) {
			io.WriteString(c, upstreamtest.OKResponse)
			<-end
		}
	}))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); p.Run(ctx) }()
	complete(t, newTestCall(), h, Request{ID: "m", Timeout: testTimeout})
	if _, idle := p.counts(); idle != 1 {
		t.Fatalf("%d idle", idle)
	}
	close(end)
	waitFor(t, "the sweep", func() bool { open, _ := p.counts(); return open == 0 })
	cancel()
	<-done
	// And one whose endpoint has left is not kept after its call.
	gone := w.open(p, w.serve(t, func(c net.Conn) {
		if upstreamtest.ReadRequest(bufio.NewReader(c)) {
			io.WriteString(c, upstreamtest.OKResponse)
			time.Sleep(time.Millisecond)
		}
	}))
	gone.Close()
	complete(t, newTestCall(), gone, Request{ID: "m", Timeout: testTimeout})
	if open, _ := p.counts(); open != 0 {
		t.Errorf("%d open at an endpoint that left", open)
	}
}
