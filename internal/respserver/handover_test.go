package respserver

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"

	"troutusher/internal/connlimit"
)

// newSuccessor is a front that takes over what another one showed, as another process
// would: with descriptors of its own.
func newSuccessor(t *testing.T, listeners []int, conns []ConnSnapshot) *Server {
	t.Helper()
	e := &echoHandler{delivered: map[string]bool{}}
	o := Options{Limits: connlimit.DefaultLimits(64, 192), MemoryLimit: 8 << 20, Handler: e.handle, Logger: slog.New(slog.DiscardHandler)}
	var addrs []string
	for _, fd := range listeners {
		own, err := syscall.Dup(fd)
		if err != nil {
			t.Fatal(err)
		}
		ln, err := ListenerFromFD(own)
		if err != nil {
			t.Fatal(err)
		}
		o.InheritedListeners = append(o.InheritedListeners, ln)
		addrs = append(addrs, ln.Addr().String())
	}
	f, err := New(o, addrs...)
	if err != nil {
		t.Fatal(err)
	}
	e.server = f
	for i := range conns {
		if conns[i].FD, err = syscall.Dup(conns[i].FD); err != nil {
			t.Fatal(err)
		}
	}
	if kept := f.Import(conns); kept != len(conns) {
		t.Errorf("%d of %d kept", kept, len(conns))
	}
	return f
}

// Connections in every stage go over to another front: idle, silent, with a
// command cut at any byte, with several sent ahead; and one that waits in the
// listen queue is accepted there.
func TestHandover(t *testing.T) {
	f, old := startServer(t, Options{}, connlimit.DefaultLimits(64, 192))
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", f.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(20 * time.Second))
		return c, bufio.NewReader(c)
	}
	const ping = "*1\r\n$4\r\nPING\r\n"
	said := func(i int) string { return fmt.Sprintf("*2\r\n$3\r\nSAY\r\n$9\r\nhello, %02d\r\n", i) }
	want := func(in *bufio.Reader, text string) {
		t.Helper()
		if got, err := in.ReadString('\n'); got != text {
			t.Errorf("%q, %v; want %q", got, err, text)
		}
	}
	type half struct {
		net.Conn
		in   *bufio.Reader
		rest string
	}
	var halves []half
	for cut := range len(said(0)) {
		c, in := dial()
		io.WriteString(c, said(cut)[:cut])
		halves = append(halves, half{c, in, said(cut)[cut:]})
	}
	idle, idleIn := dial()
	io.WriteString(idle, ping)
	want(idleIn, "+PONG\r\n")
	for { // until all are in, and what they sent is read
		n := 0
		f.Inspect(func(b *connlimit.Limiter) { n = b.InUse() })
		if n == len(halves)+1 {
			break
		}
		runtime.Gosched()
	}
	frozen := make(chan struct{})
	f.Pause(func() { close(frozen) })
	<-frozen
	io.WriteString(idle, ping+said(99)) // it comes while nobody reads
	queued, queuedIn := dial()
	io.WriteString(queued, ping)
	listeners, conns := f.Export(1000)
	if len(conns) != len(halves)+1 {
		t.Fatalf("%d connections are shown of %d", len(conns), len(halves)+1)
	}
	if conns[len(conns)-1].handoverPriority() < conns[0].handoverPriority() {
		t.Error("those that may go come first")
	}
	if _, few := f.Export(3); len(few) != 3 || few[0].handoverPriority() != 0 {
		t.Errorf("of three: %+v", few)
	}
	h := newSuccessor(t, listeners, conns)
	f.Inspect(func(*connlimit.Limiter) {}) // a turn more
	f.Close()
	if old.received != nil {
		t.Errorf("a frozen front read on: %q", old.received)
	}
	ended := make(chan error, 1)
	go func() { ended <- h.Run() }()
	defer func() { h.Close(); <-ended }()
	want(idleIn, "+PONG\r\n")
	want(idleIn, "+OK\r\n")
	want(queuedIn, "+PONG\r\n")
	for _, x := range halves {
		io.WriteString(x, x.rest)
		want(x.in, "+OK\r\n")
	}
}

// A front that is thawed goes on as if nothing had been.
func TestResumeAfterPause(t *testing.T) {
	f, _ := startServer(t, Options{}, connlimit.DefaultLimits(64, 192))
	c, err := net.Dial("tcp", f.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	in := bufio.NewReader(c)
	for i := range 5 {
		frozen := make(chan struct{})
		f.Pause(func() { close(frozen) })
		<-frozen
		fmt.Fprintf(c, "*2\r\n$3\r\nSAY\r\n$1\r\n%d\r\n", i)
		f.Resume()
		if got, err := in.ReadString('\n'); got != "+OK\r\n" {
			t.Fatalf("%q, %v", got, err)
		}
	}
}
