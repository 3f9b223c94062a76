package respserver

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"net"
	"syscall"
	"testing"
	"time"

	"troutusher/internal/connlimit"
)

// newStoppedServer makes a front that nobody runs: the test turns it by hand, and moves its
// clock by moving its beginning. Each command that is read is shown to seen.
func newStoppedServer(t *testing.T, o Options, seen func(*Command)) *Server {
	t.Helper()
	o.Limits, o.MemoryLimit, o.Logger = connlimit.DefaultLimits(100, 300), 8<<20, slog.New(slog.NewTextHandler(io.Discard, nil))
	o.Handler = func(a *Command) Reply { seen(a); return Reply{Text: "+OK\r\n", Kind: connlimit.CommandRequest} }
	f, err := New(o, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.teardown)
	return f
}

// advanceClock moves the clock on. What is kept as a moment stays the same moment.
func (f *Server) advanceClock(d time.Duration) { f.startedAt = f.startedAt.Add(-d) }

// pollOnce books what the poller tells, until something came of a connection.
func (f *Server) pollOnce(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
		events, err := f.poller.wait(time.Now().Add(time.Second), func() bool { return false })
		if err != nil {
			t.Fatal(err)
		}
		got := false
		for _, e := range events {
			if e.Fd != wakeSlot {
				got = true
				f.handleEvent(f.now(), e.Fd, e.Events)
			}
		}
		if got {
			return
		}
	}
	t.Fatal("nothing came")
}

// A message's time runs from when its client sent it, and not from when it was
// read: what stood unread in a listener's queue, or on a connection whose turn
// had not come, is told with the moment from which it may have stood there.
func TestReceiveTimeIncludesQueueing(t *testing.T) {
	var age time.Duration
	var f *Server
	read := 0
	seen := func(a *Command) {
		read++
		age = f.startedAt.Add(time.Duration(f.now()) * time.Microsecond).Sub(a.ReceivedAt)
	}
	near := func(what string, want time.Duration) {
		t.Helper()
		f.serveReady()
		if read != 1 || age < want || age > want+100*time.Millisecond {
			t.Errorf("%s: read %d times, %v old, want %v", what, read, age, want)
		}
		read = 0
	}

	f = newStoppedServer(t, Options{}, seen)
	c := dial(t, f.Addr().String())
	io.WriteString(c, encodeCommand("SAY", "x"))
	f.pollOnce(t)
	f.advanceClock(200 * time.Millisecond)
	f.acceptPending()
	near("in the queue of a listener", 200*time.Millisecond)

	f.serveReady() // it sees that nothing more is there
	io.WriteString(c, encodeCommand("SAY", "y"))
	f.pollOnce(t)
	f.advanceClock(250 * time.Millisecond)
	near("on a connection", 250*time.Millisecond)

	f.serveReady()
	f.advanceClock(3 * time.Second)
	io.WriteString(c, encodeCommand("SAY", "y"))
	f.pollOnce(t)
	near("at once, after a long rest", 0)

	f.serveReady()
	io.WriteString(c, encodeCommand("SAY", "y"))
	f.pollOnce(t)
	f.advanceClock(9 * time.Second)
	near("longer than any client waits", clientReplyTimeout)

	f.advanceClock(3 * time.Second)
	c2 := dial(t, f.Addr().String())
	io.WriteString(c2, encodeCommand("SAY", "z"))
	f.pollOnce(t)
	f.advanceClock(150 * time.Millisecond)
	f.acceptPending()
	near("in a queue that was empty before", 150*time.Millisecond)

	// One that crosses the closing of its idle connection has just come.
	f.serveReady()
	f.advanceClock(3 * time.Second)
	io.WriteString(c, encodeCommand("SAY", "y"))
	for n := 0; n <= 0; { // it is there, and the poller has not been asked
		if err := control(c, func(int) {}); err != nil {
			t.Fatal(err)
		}
		n = pendingBytes(t, int(f.connAt(0).fd))
	}
	f.closeUnlessReadable(0, f.connAt(0))
	if read != 1 || age > 100*time.Millisecond {
		t.Errorf("across a close: read %d times, %v old", read, age)
	}
}

func control(c net.Conn, fn func(int)) error {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { fn(int(fd)) })
}

// pendingBytes is how many bytes can be read.
func pendingBytes(t *testing.T, fd int) int {
	t.Helper()
	var b [64]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	if err == syscall.EAGAIN {
		return 0
	}
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// What another process passed on may have stood unread since that one stopped
// reading, and where that is not told for as long as any client waits.
func TestReceiveTimeAfterHandover(t *testing.T) {
	for name, c := range map[string]struct {
		unread time.Duration
		want   time.Duration
	}{"told": {100 * time.Millisecond, 100 * time.Millisecond}, "not told": {0, clientReplyTimeout}} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			client := dial(t, ln.Addr().String())
			held, err := ln.(*net.TCPListener).AcceptTCP()
			if err != nil {
				t.Fatal(err)
			}
			fd := -1
			if err := control(held, func(n int) { fd, err = syscall.Dup(n) }); err != nil {
				t.Fatal(err)
			}
			held.Close()
			queued := dial(t, ln.Addr().String())
			o := Options{InheritedListeners: []net.Listener{ln}}
			if c.unread > 0 {
				o.UnreadSince = time.Now().Add(-c.unread)
			}
			ages := map[string]time.Duration{}
			var f *Server
			o.Limits, o.MemoryLimit, o.Logger = connlimit.DefaultLimits(100, 300), 8<<20, slog.New(slog.NewTextHandler(io.Discard, nil))
			o.Handler = func(a *Command) Reply {
				ages[string(a.Args[1])] = time.Since(a.ReceivedAt)
				return Reply{Text: "+OK\r\n", Kind: connlimit.CommandRequest}
			}
			if f, err = New(o, ln.Addr().String()); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(f.teardown)
			io.WriteString(client, encodeCommand("SAY", "kept"))
			io.WriteString(queued, encodeCommand("SAY", "queued"))
			if n := f.Import([]ConnSnapshot{{FD: fd, Slot: connlimit.Snapshot{Validated: true}}}); n != 1 {
				t.Fatal("not adopted")
			}
			for end := time.Now().Add(20 * time.Second); len(ages) < 2 && time.Now().Before(end); {
				f.acceptPending()
				f.serveReady()
			}
			for what, age := range ages {
				if age < c.want || age > c.want+2*time.Second {
					t.Errorf("%s: %v old, want %v", what, age, c.want)
				}
			}
			if len(ages) != 2 {
				t.Errorf("read %v", ages)
			}
		})
	}
}

// A shut front has its address, which no other process can serve on, and no
// client comes to it before it can be answered.
func TestNoConnectionsBeforeListen(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	o := Options{DeferListen: true, Limits: connlimit.DefaultLimits(100, 300), MemoryLimit: 1 << 20, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Handler: func(*Command) Reply { return Reply{Text: "+PONG\r\n", Kind: connlimit.CommandControl} }}
	if f, err := New(o, addr); err == nil {
		f.teardown()
		t.Error("an address that somebody serves on was taken")
	}
	ln.Close()
	f, err := New(o, addr)
	if err != nil {
		t.Fatal(err)
	}
	if c, err := net.Dial("tcp", addr); !errors.Is(err, syscall.ECONNREFUSED) {
		if err == nil {
			c.Close()
		}
		t.Errorf("before Open: %v", err)
	}
	if err := f.Listen(); err != nil {
		t.Fatal(err)
	}
	c := dial(t, addr) // nobody serves yet; it is in the queue
	if other, err := New(Options{Limits: o.Limits, MemoryLimit: 1, Logger: o.Logger}, addr); err == nil {
		other.teardown()
		t.Error("two serve on one address")
	}
	ended := make(chan error, 1)
	go func() { ended <- f.Run() }()
	io.WriteString(c, encodeCommand("PING"))
	if s := readLine(t, bufio.NewReader(c)); s != "+PONG" {
		t.Error(s)
	}
	f.Close()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// Addresses of all kinds are taken and opened; what cannot be is an error that
// names it, and nothing stays behind.
func TestDeferredListenAddresses(t *testing.T) {
	o := Options{DeferListen: true, Limits: connlimit.DefaultLimits(100, 300), MemoryLimit: 1 << 20, Logger: slog.New(slog.NewTextHandler(io.Discard, nil))}
	for _, addr := range []string{":0", "0.0.0.0:0", "localhost:0", "127.0.0.9:0"} {
		f, err := New(o, addr)
		if err != nil {
			t.Errorf("%s: %v", addr, err)
			continue
		}
		if err := f.Listen(); err != nil {
			t.Errorf("%s: %v", addr, err)
		} else if _, port, _ := net.SplitHostPort(f.Addr().String()); port == "0" {
			t.Errorf("%s: listens on %s", addr, f.Addr())
		} else {
			c := dial(t, net.JoinHostPort(map[bool]string{true: "127.0.0.9", false: "127.0.0.1"}[addr == "127.0.0.9:0"], port))
			c.Close()
		}
		f.teardown()
	}
	for _, addr := range []string{"127.0.0.1", "127.0.0.1:65536", "198.51.100.7:0"} {
		if f, err := New(o, "127.0.0.1:0", addr); err == nil {
			f.teardown()
			t.Errorf("%s was taken", addr)
		}
	}
}
