package respserver

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"troutusher/internal/connlimit"
)

// echoHandler is a handler whose requests (SAY x) are answered when the test says so,
// or at once where it has nothing to say.
type echoHandler struct {
	server     *Server
	deferReply func(a *RequestID, arg string) bool
	mu         sync.Mutex
	received   []string
	delivered  map[string]bool
}

type echoRequest struct {
	handler *echoHandler
	arg     string
}

func (a *echoRequest) ReplyDone(ok bool) {
	a.handler.mu.Lock()
	defer a.handler.mu.Unlock()
	if _, twice := a.handler.delivered[a.arg]; twice {
		panic("told twice of " + a.arg)
	}
	a.handler.delivered[a.arg] = ok
}

func (e *echoHandler) handle(a *Command) Reply {
	switch string(a.Args[0]) {
	case "PING":
		return Reply{Text: "+PONG\r\n", Kind: connlimit.CommandControl}
	case "GIVE": // as many bytes as asked for
		return Reply{Text: "$" + string(a.Args[1]) + "\r\n" + strings.Repeat("g", len(a.Args[2])*1000) + "\r\n", Kind: connlimit.CommandControl}
	case "SAY":
		if a.Shed {
			return Reply{Text: BusyReply(a.RetryAfter.Milliseconds()), Kind: connlimit.CommandRequest}
		}
		arg := string(a.Args[1])
		e.mu.Lock()
		e.received = append(e.received, arg)
		e.mu.Unlock()
		t := a.ID
		if e.deferReply == nil || !e.deferReply(&t, arg) {
			go e.server.SendReply(t, "+OK\r\n")
		}
		return Reply{Kind: connlimit.CommandRequest, Pending: &echoRequest{e, arg}, PendingBytes: len(a.Args[len(a.Args)-1])}
	}
	return Reply{Text: ErrorReply(errors.New("unknown command"))}
}

func startServer(t testing.TB, o Options, l connlimit.Limits) (*Server, *echoHandler) {
	t.Helper()
	e := &echoHandler{delivered: map[string]bool{}}
	o.Limits, o.Handler, o.Logger = l, e.handle, slog.New(slog.NewTextHandler(io.Discard, nil))
	if o.MemoryLimit == 0 {
		o.MemoryLimit = 8 << 20
	}
	f, err := New(o, "127.0.0.1:0", "127.0.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	e.server = f
	ended := make(chan error, 1)
	t.Cleanup(func() {
		f.Close()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	go func() { ended <- f.Run() }()
	return f, e
}

func dial(t testing.TB, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

func encodeCommand(args ...string) string {
	s := fmt.Sprintf("*%d\r\n", len(args))
	for _, a := range args {
		s += fmt.Sprintf("$%d\r\n%s\r\n", len(a), a)
	}
	return s
}

func readLine(t testing.TB, r *bufio.Reader) string {
	t.Helper()
	s, err := r.ReadString('\n')
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	return strings.TrimSuffix(s, "\r\n")
}

func waitUntil(t testing.TB, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if cond() {
			return
		}
	}
	t.Fatalf("never came: %s", what)
}

func (f *Server) connsInUse() (n int) {
	f.Inspect(func(b *connlimit.Limiter) { n = b.InUse() })
	return n
}

// Idle connections have no goroutine, no reader and nothing else of their own.
func TestIdleConnectionsHoldNoMemory(t *testing.T) {
	f, _ := startServer(t, Options{}, connlimit.DefaultLimits(400, 4000))
	before := runtime.NumGoroutine()
	for range 300 {
		c := dial(t, f.Addr().String())
		io.WriteString(c, encodeCommand("PING")+encodeCommand("SAY", "x")[:9]) // and half a command
		r := bufio.NewReader(c)
		readLine(t, r)
	}
	extra := runtime.NumGoroutine() - before
	if extra > 20 { // the runtime's own come and go
		t.Errorf("%d goroutines for 300 connections", extra)
	}
	held := 0
	f.Inspect(func(b *connlimit.Limiter) {
		if b.Count(connlimit.StateReadingCommand) != 300 {
			t.Errorf("%d in the middle of a command", b.Count(connlimit.StateReadingCommand))
		}
		for slot := range uint32(300) {
			if c := f.connAt(slot); c.reader != nil {
				held++
			}
		}
	})
	if held != 300 {
		t.Errorf("%d readers for 300 half commands", held)
	}
	f2, _ := startServer(t, Options{}, connlimit.DefaultLimits(400, 4000))
	for range 300 {
		c := dial(t, f2.Addr().String())
		io.WriteString(c, encodeCommand("PING"))
		readLine(t, bufio.NewReader(c))
	}
	f2.Inspect(func(*connlimit.Limiter) {
		for slot := range uint32(300) {
			if c := f2.connAt(slot); c.reader != nil || c.buffers != nil || c.memory != 0 {
				t.Errorf("an idle connection holds %+v", c)
			}
		}
		if f2.memoryUsed != 0 || f2.timers.Len() != 0 {
			t.Errorf("%d bytes and %d timers for idle connections", f2.memoryUsed, f2.timers.Len())
		}
	})
}

// A client may close, or be chosen to be closed, exactly when its request
// crosses: what was taken is answered or its client is known to have left, and
// who was closed with no answer was never taken.
func TestRequestsRacingWithClose(t *testing.T) {
	l := connlimit.DefaultLimits(500, 4000)
	l.IdleTimeout, l.TimerTick = 15e3, 1e3
	f, e := startServer(t, Options{}, l)
	const n, rounds = 60, 12
	var wg sync.WaitGroup
	var answered, closed atomic.Int32
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for round := range rounds {
				c, err := net.Dial("tcp", f.Addr().String())
				if err != nil {
					t.Error(err)
					return
				}
				c.SetDeadline(time.Now().Add(10 * time.Second))
				r := bufio.NewReader(c)
				io.WriteString(c, encodeCommand("PING"))
				if _, err := r.ReadString('\n'); err != nil {
					t.Error(err)
					return
				}
				// About when it has been idle for as long as it may.
				time.Sleep(time.Duration(13000+(i*rounds+round)*4) * time.Microsecond)
				id := fmt.Sprintf("%d-%d", i, round)
				io.WriteString(c, encodeCommand("SAY", id))
				if _, err := r.ReadString('\n'); err == nil {
					answered.Add(1)
				} else {
					closed.Add(1)
					e.mu.Lock()
					for _, x := range e.received {
						if x == id {
							t.Errorf("%s was taken, and its client was closed without an answer", id)
						}
					}
					e.mu.Unlock()
				}
				c.Close()
			}
		}()
	}
	wg.Wait()
	t.Logf("%d answered, %d closed before", answered.Load(), closed.Load())
	waitUntil(t, "everybody gone", func() bool { return f.connsInUse() == 0 })
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.received) != len(e.delivered) {
		t.Errorf("%d taken, %d told of", len(e.received), len(e.delivered))
	}
	for id, ok := range e.delivered {
		if !ok {
			t.Errorf("%s: its client waited, and is held to have left", id)
		}
	}
}

// All ask at once, with more than there is memory for: what is read stays
// under the ceiling, and each is answered.
func TestCommandMemoryIsBounded(t *testing.T) {
	const n, size, memory = 200, 60_000, 1 << 20
	f, e := startServer(t, Options{MemoryLimit: memory}, connlimit.DefaultLimits(300, 4000))
	var most atomic.Int64
	e.deferReply = func(tk *RequestID, arg string) bool {
		most.Store(max(most.Load(), int64(f.memoryUsed))) // in the front's goroutine
		return false
	}
	var wg sync.WaitGroup
	ok, busy := atomic.Int32{}, atomic.Int32{}
	conns := make([]net.Conn, n)
	for i := range conns {
		conns[i] = dial(t, f.Addr().String())
		io.WriteString(conns[i], encodeCommand("PING"))
		readLine(t, bufio.NewReader(conns[i]))
	}
	for i, c := range conns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			io.WriteString(c, encodeCommand("SAY", fmt.Sprint(i), strings.Repeat("b", size)))
			s, err := bufio.NewReader(c).ReadString('\n')
			switch {
			case err != nil:
				t.Errorf("%d: %v", i, err)
			case s == "+OK\r\n":
				ok.Add(1)
			case strings.HasPrefix(s, "-BUSY "):
				busy.Add(1)
			default:
				t.Errorf("%d: %q", i, s)
			}
		}()
	}
	wg.Wait()
	t.Logf("%d answered, %d refused, at most %d bytes", ok.Load(), busy.Load(), most.Load())
	if most.Load() > 2*memory+int64(2*size) {
		t.Errorf("%d bytes held, %d allowed", most.Load(), memory)
	}
	if ok.Load() == 0 {
		t.Error("nobody was served")
	}
	waitUntil(t, "the memory back", func() bool { m := -1; f.Inspect(func(*connlimit.Limiter) { m = f.memoryUsed }); return m == 0 })
}

// Out of descriptors the front neither spins nor ends; who waits in the queue
// is served once there are some.
func TestOutOfDescriptors(t *testing.T) {
	f, _ := startServer(t, Options{}, connlimit.DefaultLimits(50, 400))
	var tries atomic.Int32
	var out atomic.Bool
	f.runOnLoop(func() {
		f.accept = func(fd int) (int, error) {
			if out.Load() {
				tries.Add(1)
				return -1, syscall.EMFILE
			}
			return accept(fd)
		}
	})
	keep := dial(t, f.Addr().String())
	io.WriteString(keep, encodeCommand("PING"))
	readLine(t, bufio.NewReader(keep))
	out.Store(true)
	begun := time.Now()
	c := dial(t, f.Addr().String())
	io.WriteString(c, encodeCommand("PING"))
	waitUntil(t, "tries", func() bool { return tries.Load() >= 4 })
	took := time.Since(begun)
	out.Store(false)
	if least := 3 * 50 * time.Millisecond; took < least {
		t.Errorf("tried %d times in %v, want at least %v", tries.Load(), took, least)
	}
	if s := readLine(t, bufio.NewReader(c)); s != "+PONG" {
		t.Error(s)
	}
}

// One that does not read its answers is waited for a while and not for ever,
// and holds up nobody; one that reads late gets all of it, in order.
func TestSlowReadingClients(t *testing.T) {
	f, e := startServer(t, Options{}, connlimit.DefaultLimits(50, 400))
	ask := encodeCommand("GIVE", "3000000", strings.Repeat("x", 3000))
	late := dial(t, f.Addr().String())
	for range 4 {
		io.WriteString(late, ask)
	}
	io.WriteString(late, encodeCommand("SAY", "last"))
	other := dial(t, f.Addr().String())
	io.WriteString(other, encodeCommand("PING"))
	if s := readLine(t, bufio.NewReader(other)); s != "+PONG" {
		t.Error(s)
	}
	r := bufio.NewReaderSize(late, 1<<20)
	for range 4 {
		if s := readLine(t, r); s != "$3000000" {
			t.Fatalf("%.80q", s)
		}
		if s := readLine(t, r); len(s) != 3000000 || strings.Trim(s, "g") != "" {
			t.Fatalf("%d bytes", len(s))
		}
	}
	if s := readLine(t, r); s != "+OK" {
		t.Fatal(s)
	}
	never := dial(t, f.Addr().String())
	io.WriteString(never, strings.Repeat(ask, 4))
	waitUntil(t, "the end of one that never reads", func() bool { return f.connsInUse() == 2 })
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.delivered["last"] {
		t.Error("the last is not held to be heard")
	}
}

// A client that leaves before its answer is known to have.
func TestClientGoneBeforeReply(t *testing.T) {
	f, e := startServer(t, Options{}, connlimit.DefaultLimits(50, 400))
	tickets := make(chan RequestID, 1)
	e.deferReply = func(tk *RequestID, _ string) bool { tickets <- *tk; return true }
	c := dial(t, f.Addr().String())
	io.WriteString(c, encodeCommand("SAY", "a"))
	tk := <-tickets
	c.Close()
	waitUntil(t, "its end", func() bool { e.mu.Lock(); defer e.mu.Unlock(); _, told := e.delivered["a"]; return told })
	if e.delivered["a"] {
		t.Error("held to have heard")
	}
	// Its place goes to another; the late answer is not theirs.
	c2 := dial(t, f.Addr().String())
	io.WriteString(c2, encodeCommand("SAY", "b"))
	tk2 := <-tickets
	if tk2.slot != tk.slot {
		t.Fatalf("another place: %v, %v", tk, tk2)
	}
	f.SendReply(tk, "+WRONG\r\n")
	f.SendReply(tk2, "+RIGHT\r\n")
	if s := readLine(t, bufio.NewReader(c2)); s != "+RIGHT" {
		t.Error(s)
	}
}

// Both listeners serve; once they are closed nobody new is, and who is there
// still gets answers.
func TestListeners(t *testing.T) {
	f, e := startServer(t, Options{}, connlimit.DefaultLimits(50, 400))
	tickets := make(chan RequestID, 1)
	e.deferReply = func(tk *RequestID, _ string) bool { tickets <- *tk; return true }
	var first net.Conn
	for _, l := range f.listeners {
		c := dial(t, l.Addr().String())
		io.WriteString(c, encodeCommand("PING"))
		if s := readLine(t, bufio.NewReader(c)); s != "+PONG" {
			t.Error(s)
		}
		first = c
	}
	io.WriteString(first, encodeCommand("SAY", "a"))
	tk := <-tickets
	f.CloseListeners()
	f.CloseIdleConns()
	waitUntil(t, "the idle one gone", func() bool { return f.connsInUse() == 1 })
	for _, l := range f.listeners {
		if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
			c.Close()
			t.Error("a closed listener takes connections")
		}
	}
	f.SendReply(tk, "+OK\r\n")
	r := bufio.NewReader(first)
	if s := readLine(t, r); s != "+OK" {
		t.Error(s)
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("still open behind its answer: %v", err)
	}
}

func BenchmarkRequests(b *testing.B) {
	f, _ := startServer(b, Options{}, connlimit.DefaultLimits(50, 400))
	c := dial(b, f.Addr().String())
	c.SetDeadline(time.Time{})
	r := bufio.NewReader(c)
	text := encodeCommand("SAY", "x", strings.Repeat("b", 200))
	f.runOnLoop(func() {})
	for b.Loop() {
		io.WriteString(c, text)
		readLine(b, r)
	}
}

// What waited for its turn for longer than its client waits for the answer is
// refused with a time to come again, and not handed in.
func TestLateRequestsAreShed(t *testing.T) {
	f, e := startServer(t, Options{}, connlimit.DefaultLimits(200, 2000))
	const n = 40
	var conns []net.Conn
	for range n {
		c := dial(t, f.Addr().String())
		io.WriteString(c, encodeCommand("PING"))
		readLine(t, bufio.NewReader(c))
		conns = append(conns, c)
	}
	e.deferReply = func(*RequestID, string) bool { time.Sleep(30 * time.Millisecond); return false } // a slow core
	held := make(chan struct{})
	f.runOnLoop(func() { <-held })
	for i, c := range conns { // all there before the first has its turn
		io.WriteString(c, encodeCommand("SAY", fmt.Sprint(i)))
	}
	close(held)
	ok, refused := 0, 0
	for _, c := range conns {
		switch s := readLine(t, bufio.NewReader(c)); {
		case s == "+OK":
			ok++
		case strings.HasPrefix(s, "-BUSY ") && s != "-BUSY 0":
			refused++
		default:
			t.Errorf("answer %q", s)
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if ok != len(e.received) || ok < 5 || refused < 10 {
		t.Errorf("%d taken, %d answered, %d refused", len(e.received), ok, refused)
	}
}

// whileLoopBlocked keeps the front's goroutine between two turns while the test does something.
func whileLoopBlocked(f *Server, then func()) {
	at, on := make(chan struct{}), make(chan struct{})
	f.runOnLoop(func() { close(at); <-on })
	<-at
	then()
	close(on)
}

// Who lies in a listener's queue as it is closed is let in, and answered.
func TestBacklogWhenListenersClose(t *testing.T) {
	f, _ := startServer(t, Options{}, connlimit.DefaultLimits(64, 256))
	var c net.Conn
	seen := make(chan struct{})
	f.runOnLoop(func() { // between two looks at the queue
		defer close(seen)
		c = dial(t, f.Addr().String())
		io.WriteString(c, encodeCommand("SAY", "x"))
		f.closeListeners()
	})
	<-seen
	if s, err := bufio.NewReader(c).ReadString('\n'); s != "+OK\r\n" {
		t.Errorf("%q, %v", s, err)
	}
}

// A front that ends says so once nothing that it has read is without its answer, in
// whatever order the end and the request come, and reads nothing after that.
func TestShutdownAndRequests(t *testing.T) {
	for _, first := range []string{"request", "end"} {
		f, e := startServer(t, Options{}, connlimit.DefaultLimits(64, 256))
		tickets := make(chan RequestID, 1)
		e.deferReply = func(k *RequestID, arg string) bool { tickets <- *k; return true }
		c, idle := dial(t, f.Addr().String()), dial(t, f.Addr().String())
		in := bufio.NewReader(c)
		for _, x := range []net.Conn{c, idle} {
			io.WriteString(x, encodeCommand("PING"))
		}
		readLine(t, in)
		if s, _ := bufio.NewReader(idle).ReadString('\n'); s != "+PONG\r\n" {
			t.Fatal(s)
		}
		done := make(chan struct{})
		end := func() { f.Shutdown(func() { close(done) }) }
		whileLoopBlocked(f, func() {
			if first == "end" {
				end()
			}
			io.WriteString(c, encodeCommand("SAY", "x"))
			if first == "request" {
				end()
			}
		})
		ticket := <-tickets // read: from here on it is owed an answer
		f.Inspect(func(*connlimit.Limiter) {})
		select {
		case <-done:
			t.Fatalf("%s first: at its end with a request that it has read", first)
		default:
		}
		f.SendReply(ticket, "+OK\r\n")
		if s := readLine(t, in); s != "+OK" {
			t.Errorf("%s first: %q", first, s)
		}
		<-done
		if _, err := in.ReadByte(); err != io.EOF {
			t.Errorf("%s first: stays open: %v", first, err)
		}
	}
}

// What connections inherit is set before their listener listens: one that comes up
// in between would have small answers held back, and lose them with a close.
func TestSocketOptionsSetBeforeListen(t *testing.T) {
	noDelay := func(fd int) int {
		v, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
	f, err := New(Options{DeferListen: true, Limits: connlimit.DefaultLimits(100, 300), MemoryLimit: 1 << 20, Logger: slog.New(slog.NewTextHandler(io.Discard, nil))}, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer f.closeBound()
	if len(f.boundAddrs) != 1 || noDelay(f.boundAddrs[0].fd) != 1 {
		t.Error("an address that is taken: not set")
	}
	lc := listenConfig()
	ln, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	raw, err := ln.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) {
		if noDelay(int(fd)) != 1 {
			t.Error("a listener: not set")
		}
	})
}
