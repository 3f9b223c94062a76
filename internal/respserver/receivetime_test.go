package respserver

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"troutusher/internal/connlimit"
)

// stoppedServer is a server whose event loop does not run: the test calls its steps and advances its
// clock. It records each command that is read.
type stoppedServer struct {
	*Server
	t    *testing.T
	read int           // number of commands
	age  time.Duration // age of the last command when it was handled
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

// advanceClock advances the server's clock by moving its start back.
func (s *stoppedServer) advanceClock(d time.Duration) { s.startedAt = s.startedAt.Add(-d) }

// waitForEvent handles the poller's events until there was one of a client.
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
	s.t.Fatal("timed out waiting for an event of a client")
}

// expectCommand serves the ready connections and checks that this reads one command of the given age.
func (s *stoppedServer) expectCommand(description string, age time.Duration) {
	s.t.Helper()
	s.serveReady()
	if s.read != 1 || s.age < age || s.age > age+100*time.Millisecond {
		s.t.Errorf("%s: read %d commands, the last %v old; want 1, %v old", description, s.read, s.age, age)
	}
	s.read = 0
}

// A message's deadline runs from when its client sent it. If a busy server counted from when it read the
// command, the time that the command waited in the listen queue or in its socket would be missing.
func TestReceiveTimeIncludesQueueing(t *testing.T) {
	s := newStoppedServer(t)
	client := dial(t, s.Addr())
	client.sendCommand("SAY", "x")
	s.waitForEvent()
	s.advanceClock(200 * time.Millisecond)
	s.acceptPending()
	s.expectCommand("command in the listen queue", 200*time.Millisecond)

	s.serveReady() // notes that there is no more input
	client.sendCommand("SAY", "y")
	s.waitForEvent()
	s.advanceClock(250 * time.Millisecond)
	s.expectCommand("unread command on a connection", 250*time.Millisecond)

	s.serveReady()
	s.advanceClock(3 * time.Second)
	client.sendCommand("SAY", "y")
	s.waitForEvent()
	s.expectCommand("command read at once after a long idle time", 0)

	s.serveReady()
	client.sendCommand("SAY", "y")
	s.waitForEvent()
	s.advanceClock(9 * time.Second)
	s.expectCommand("command older than a client waits", clientReplyTimeout)

	s.advanceClock(3 * time.Second)
	dial(t, s.Addr()).sendCommand("SAY", "z")
	s.waitForEvent()
	s.advanceClock(150 * time.Millisecond)
	s.acceptPending()
	s.expectCommand("command in a listen queue that was empty before", 150*time.Millisecond)
}

// A request can arrive just as the server is about to close its idle connection. It must count as
// received then, not as old as the idle time.
func TestReceiveTimeAcrossClose(t *testing.T) {
	s := newStoppedServer(t)
	client := dial(t, s.Addr())
	client.sendCommand("SAY", "x")
	s.waitForEvent()
	s.acceptPending()
	s.expectCommand("first command", 0)
	s.serveReady()
	s.advanceClock(3 * time.Second)
	client.sendCommand("SAY", "y")
	c := s.connAt(0)
	for unreadBytes(t, int(c.fd)) == 0 { // until it has arrived; the poller has not reported it
		continue
	}
	s.closeUnlessReadable(0, c)
	if s.read != 1 || s.age > 100*time.Millisecond {
		t.Errorf("request during a close: read %d commands, the last %v old; want 1, at most 100ms old",
			s.read, s.age)
	}
}

// unreadBytes returns how many bytes can be read from a socket, up to 64.
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

// Input of sockets that another process handed over counts as received when that process stopped reading.
// If that time is not known, the server assumes the longest time that a client waits.
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
				t.Fatalf("Import kept %d connections, want 1", n)
			}
			for end := time.Now().Add(testTimeout); len(ages) < 2 && time.Now().Before(end); {
				server.acceptPending()
				server.serveReady()
			}
			for request, age := range ages {
				if age < c.want || age > c.want+2*time.Second {
					t.Errorf("age of the %s request = %v, want %v", request, age, c.want)
				}
			}
			if len(ages) != 2 {
				t.Errorf("ages of the requests = %v, want two", ages)
			}
		})
	}
}

// duplicateFD returns a duplicate of a connection's descriptor, as another process would pass it on.
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
