package respserver

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"troutusher/internal/connlimit"
)

// stoppedServer is a server whose event loop does not run: the test turns it by
// hand, and moves its clock. It notes each command that is read.
type stoppedServer struct {
	*Server
	t    *testing.T
	read int
	age  time.Duration // of the last command when it was handled
}

func newStoppedServer(t *testing.T) *stoppedServer {
	t.Helper()
	s := &stoppedServer{t: t}
	options := testOptions()
	options.Handler = func(command *Command) Reply {
		s.read++
		s.age = s.timeOf(s.now()).Sub(command.ReceivedAt)
		return Reply{Text: "+OK\r\n", Kind: connlimit.CommandRequest}
	}
	server, err := New(options, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.Server = server
	t.Cleanup(server.teardown)
	return s
}

// advanceClock moves the clock on, by moving its start.
func (s *stoppedServer) advanceClock(d time.Duration) { s.startedAt = s.startedAt.Add(-d) }

// waitForEvent handles the poller's events, until there was one of a client.
func (s *stoppedServer) waitForEvent() {
	s.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		events, err := s.poller.wait(time.Now().Add(time.Second), func() bool { return false })
		if err != nil {
			s.t.Fatal(err)
		}
		found := false
		for _, event := range events {
			if event.Fd != wakeSlot {
				found = true
				s.handleEvent(s.now(), event.Fd, event.Events)
			}
		}
		if found {
			return
		}
	}
	s.t.Fatal("no event")
}

// expectCommand serves ready connections, which has to read one command that was
// received so long ago.
func (s *stoppedServer) expectCommand(what string, age time.Duration) {
	s.t.Helper()
	s.serveReady()
	if s.read != 1 || s.age < age || s.age > age+100*time.Millisecond {
		s.t.Errorf("%s: read %d times, %v old, want %v", what, s.read, s.age, age)
	}
	s.read = 0
}

// A message's time runs from when its client sent it, and not from when it was
// read: what was unread in a listener's queue, or on a connection whose turn had
// not come, has the time from which it may have been there.
func TestReceiveTimeIncludesQueueing(t *testing.T) {
	s := newStoppedServer(t)
	client := dial(t, s.Addr())
	client.sendCommand("SAY", "x")
	s.waitForEvent()
	s.advanceClock(200 * time.Millisecond)
	s.acceptPending()
	s.expectCommand("in the queue of a listener", 200*time.Millisecond)

	s.serveReady() // it sees that nothing more is there
	client.sendCommand("SAY", "y")
	s.waitForEvent()
	s.advanceClock(250 * time.Millisecond)
	s.expectCommand("on a connection", 250*time.Millisecond)

	s.serveReady()
	s.advanceClock(3 * time.Second)
	client.sendCommand("SAY", "y")
	s.waitForEvent()
	s.expectCommand("at once, after a long idle time", 0)

	s.serveReady()
	client.sendCommand("SAY", "y")
	s.waitForEvent()
	s.advanceClock(9 * time.Second)
	s.expectCommand("longer than any client waits", clientReplyTimeout)

	s.advanceClock(3 * time.Second)
	dial(t, s.Addr()).sendCommand("SAY", "z")
	s.waitForEvent()
	s.advanceClock(150 * time.Millisecond)
	s.acceptPending()
	s.expectCommand("in a queue that was empty before", 150*time.Millisecond)
}

// A request that crosses the close of its idle connection has just come.
func TestReceiveTimeAcrossClose(t *testing.T) {
	s := newStoppedServer(t)
	client := dial(t, s.Addr())
	client.sendCommand("SAY", "x")
	s.waitForEvent()
	s.acceptPending()
	s.expectCommand("the first", 0)
	s.serveReady()
	s.advanceClock(3 * time.Second)
	client.sendCommand("SAY", "y")
	c := s.connAt(0)
	for unreadBytes(t, int(c.fd)) == 0 { // it is there, and the poller has not been asked
		continue
	}
	s.closeUnlessReadable(0, c)
	if s.read != 1 || s.age > 100*time.Millisecond {
		t.Errorf("across a close: read %d times, %v old", s.read, s.age)
	}
}

// unreadBytes is how many bytes can be read.
func unreadBytes(t *testing.T, fd int) int {
	t.Helper()
	var buffer [64]byte
	n, _, err := syscall.Recvfrom(fd, buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	if errors.Is(err, syscall.EAGAIN) {
		return 0
	}
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// What another process passed on may have been unread since that one stopped
// reading; if that is not known, for as long as any client waits.
func TestReceiveTimeAfterHandover(t *testing.T) {
	for name, c := range map[string]struct{ unread, want time.Duration }{
		"known":   {unread: 100 * time.Millisecond, want: 100 * time.Millisecond},
		"unknown": {want: clientReplyTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			client := dial(t, ln.Addr())
			accepted, err := ln.(*net.TCPListener).AcceptTCP()
			if err != nil {
				t.Fatal(err)
			}
			fd := duplicateFD(t, accepted)
			if err := accepted.Close(); err != nil {
				t.Error(err)
			}
			queued := dial(t, ln.Addr())
			ages := map[string]time.Duration{}
			options := testOptions()
			options.InheritedListeners = []net.Listener{ln}
			if c.unread > 0 {
				options.UnreadSince = time.Now().Add(-c.unread)
			}
			options.Handler = func(command *Command) Reply {
				ages[string(command.Args[1])] = time.Since(command.ReceivedAt)
				return Reply{Text: "+OK\r\n", Kind: connlimit.CommandRequest}
			}
			server, err := New(options, ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(server.teardown)
			client.sendCommand("SAY", "imported")
			queued.sendCommand("SAY", "queued")
			if n := server.Import([]ConnSnapshot{{FD: fd, Slot: connlimit.Snapshot{Validated: true}}}); n != 1 {
				t.Fatal("not imported")
			}
			for end := time.Now().Add(testTimeout); len(ages) < 2 && time.Now().Before(end); {
				server.acceptPending()
				server.serveReady()
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

// duplicateFD duplicates a connection's descriptor, as if another process had
// passed it on.
func duplicateFD(t *testing.T, conn *net.TCPConn) (duplicate int) {
	t.Helper()
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	controlErr := raw.Control(func(fd uintptr) { duplicate, err = syscall.Dup(int(fd)) })
	if err := errors.Join(controlErr, err); err != nil {
		t.Fatal(err)
	}
	return duplicate
}
