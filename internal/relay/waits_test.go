package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"troutusher/decide"
	"troutusher/internal/core"
	"troutusher/internal/gate"
)

// held reports whether the gate keeps calls from going out, and for how long.
func held(h *home) decide.Time {
	_, err := h.gate.Enter(h.pool.now(), func(error) {})
	if w, ok := err.(gate.ErrWait); ok {
		return w.Left
	}
	return 0
}

// A call that waits for its connection, or has written all but its last byte,
// when a sibling hears of a wait does not go out: it never ran, its endpoint was
// not asked, and it says for how long it was kept.
func TestWaitStopsWhatIsNotOut(t *testing.T) {
	const wait = decide.Time(5e6)
	for name, where := range map[string]func(h *home, tell func()){
		"connecting": func(h *home, tell func()) {
			dial := h.dial
			h.dial = func(ctx context.Context, addr string) (net.Conn, error) {
				tell()
				if ctx.Err() == nil {
					t.Error("the dial goes on")
				}
				return dial(context.Background(), addr)
			}
		},
		"connected as the word comes": func(h *home, tell func()) {
			dial := h.dial
			h.dial = func(ctx context.Context, addr string) (net.Conn, error) {
				conn, err := dial(ctx, addr)
				tell()
				return conn, err
			}
		},
		"before its last byte": func(h *home, tell func()) {
			dial := h.dial
			h.dial = func(ctx context.Context, addr string) (net.Conn, error) {
				conn, err := dial(ctx, addr)
				return &tellingConn{TCPConn: conn.(*net.TCPConn), tell: tell}, err
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			ep := newFakeEndpoint(t, nil)
			p := testPool(t)
			h, sibling := p.home(ep.addr()), p.home(ep.addr())
			shared := &gate.Scope{}
			h.gate, sibling.gate = shared.Gate(), shared.Gate()
			where(h, func() { now := p.now(); sibling.gate.Tell(now, now+wait) })
			o := newTestCall().made(t, h, &record{ID: "m", Body: []byte("b")}, testLimit)
			if o.what != decide.NotSent || o.wait <= 0 || o.wait > wait || !gate.Refused(o.err) {
				t.Errorf("got %+v", o)
			}
			if n := ep.count("m"); n != 0 {
				t.Errorf("the call went out %d times", n)
			}
			shared.Tell(0, 0)
			if left := held(h); left <= 0 {
				t.Error("the wait is forgotten")
			}
		})
	}
}

// tellingConn has the word come once the first bytes of a call are out.
type tellingConn struct {
	*net.TCPConn
	tell func()
	told bool
}

func (c *tellingConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if !c.told {
		c.told = true
		c.tell()
	}
	return n, err
}

// A wait binds from when its head is read, whatever becomes of the rest of the
// answer; the call itself may have run if that cannot be believed.
func TestWaitOfASpoiltAnswer(t *testing.T) { overEach(t, testWaitOfASpoiltAnswer) }

func testWaitOfASpoiltAnswer(t *testing.T, w *way) {
	const head = "HTTP/1.1 429 W\r\nRetry-After: 7.5\r\nContent-Length: 9\r\n\r\n"
	for name, x := range map[string]struct {
		rest func(c net.Conn)
		wait decide.Time
		text string
	}{
		"cut":             {rest: func(c net.Conn) { io.WriteString(c, "half") }, wait: 7500e3, text: head},
		"reset":           {rest: func(c net.Conn) { rawOf(c).SetLinger(0) }, wait: 7500e3, text: head},
		"too late":        {rest: func(c net.Conn) { bufio.NewReader(c).ReadByte() }, wait: 7500e3, text: head},
		"too long":        {rest: func(c net.Conn) {}, wait: 7500e3, text: "HTTP/1.1 429 W\r\nRetry-After: 7.5\r\nContent-Length: 3000000000\r\n\r\n"},
		"half a head":     {rest: func(c net.Conn) {}, text: "HTTP/1.1 429 W\r\nRetry-After: 7.5\r\n"},
		"no time":         {rest: func(c net.Conn) { io.WriteString(c, "123456789") }, text: "HTTP/1.1 429 W\r\nRetry-After: soon\r\nContent-Length: 9\r\n\r\n"},
		"another's words": {rest: func(c net.Conn) { io.WriteString(c, "half") }, text: "HTTP/1.1 500 E\r\nRetry-After: 7.5\r\nContent-Length: 9\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			read := make(chan bool, 1)
			h := w.home(testPool(t), w.endpoint(t, func(c net.Conn) {
				if readCall(bufio.NewReader(c)) {
					io.WriteString(c, x.text)
					if name == "too late" || name == "reset" {
						<-read // the head, before anything else
					}
					x.rest(c)
				}
			}))
			done := make(chan outcome, 1)
			go func() { done <- newTestCall().made(t, h, &record{ID: "m", Body: []byte("b")}, testLimit) }()
			if name == "too late" || name == "reset" {
				waitFor(t, "the word of the wait", func() bool { return held(h) > 0 })
				read <- true
			}
			o := <-done
			if (o.what != decide.Failed && o.what != decide.ConnectionReset) || o.wait != x.wait {
				t.Errorf("got %+v, want a wait of %d ms", o, x.wait/1000)
			}
			if left := held(h); (left > 0) != (x.wait > 0) || left > x.wait {
				t.Errorf("held for %d ms, told %d", left/1000, x.wait/1000)
			}
		})
	}
}

// An answer that has come by the time that its call is given up is heard.
func TestAnswerThatCameAsTheCallWasGivenUp(t *testing.T) {
	for name, c := range map[string]*call{"timed out": newTestCall(), "called off": newTestCall()} {
		t.Run(name, func(t *testing.T) {
			here, there := net.Pipe()
			defer there.Close()
			p := testPool(t)
			h := p.home("")
			p.open++
			conn := &poolConn{Conn: here, home: h, left: answerMost}
			conn.in = bufio.NewReader(conn)
			go io.WriteString(there, "HTTP/1.1 429 W\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n")
			ctx, cancel := context.WithTimeoutCause(c.ctx, testLimit, context.DeadlineExceeded)
			defer cancel()
			if name == "called off" {
				c.stop(errCancelled)
			} else {
				ctx, cancel = context.WithDeadlineCause(c.ctx, time.Now().Add(-time.Second), context.DeadlineExceeded)
				defer cancel()
			}
			req, err := newCallRequest("127.0.0.1:1", "m", "", nil, time.Second)
			if err != nil {
				t.Fatal(err)
			}
			var got []outcome
			c.answer(ctx, conn, req, time.Now(), nil, func(o outcome) { got = append(got, o) })
			if len(got) != 1 || got[0].what != decide.Rejected || got[0].wait != 2e6 || held(h) == 0 {
				t.Errorf("got %+v, held for %d ms", got, held(h)/1000)
			}
		})
	}
}

// A wait binds a destination's endpoints together, also one that opens later, and
// of routes apart the one that told it; it outlasts the home that heard it.
func TestScopesOfWaits(t *testing.T) {
	r := &Relay{homes: map[decide.EndpointID]*home{}, pool: testPool(t), began: time.Now()}
	r.pool.now = r.now
	open := func(n decide.EndpointID, dest int, apart bool) {
		r.do(&core.Effect{Kind: core.OpenEndpoint, Endpoint: n, Address: "127.0.0.1:1", Dest: dest, Apart: apart})
	}
	open(1, 1, false)
	open(2, 1, false)
	open(3, 2, true)
	open(4, 2, true)
	open(5, 3, false)
	until := r.now() + 60e6
	r.do(&core.Effect{Kind: core.ApplyRetryAfter, Endpoint: 1, Until: until})
	r.do(&core.Effect{Kind: core.ApplyRetryAfter, Endpoint: 3, Until: until})
	r.do(&core.Effect{Kind: core.CloseEndpoint, Endpoint: 3})
	open(3, 2, true)
	open(6, 1, false)
	for n, want := range map[decide.EndpointID]bool{1: true, 2: true, 3: true, 4: false, 5: false, 6: true} {
		if got := held(r.homes[n]) > 0; got != want {
			t.Errorf("endpoint %d is held: %v", n, got)
		}
	}
	r.do(&core.Effect{Kind: core.ForgetEndpoint, Endpoint: 3})
	if open(3, 2, true); held(r.homes[3]) > 0 {
		t.Error("a route that was forgotten is held")
	}
	for _, n := range []decide.EndpointID{1, 2, 6} {
		r.do(&core.Effect{Kind: core.CloseEndpoint, Endpoint: n})
		r.do(&core.Effect{Kind: core.ForgetEndpoint, Endpoint: n})
	}
	if r.do(&core.Effect{Kind: core.PassivateDestination, Dest: 1}); r.pool.scopes[scope{dest: 1}] != nil {
		t.Error("a destination that rests keeps its scope")
	}
}
