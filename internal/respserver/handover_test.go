package respserver

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"

	"troutusher/internal/connlimit"
)

// newSuccessor makes a server that takes over what another one exported, as
// another process would: with descriptors of its own.
func newSuccessor(t *testing.T, listenerFDs []int, conns []ConnSnapshot) *Server {
	t.Helper()
	duplicate := func(fd int) int {
		own, err := syscall.Dup(fd)
		if err != nil {
			t.Fatal(err)
		}
		return own
	}
	handler := &echoHandler{delivered: map[string]bool{}}
	options := testOptions()
	options.Limits, options.Handler = connlimit.DefaultLimits(64, 192), handler.handle
	var addrs []string
	for _, fd := range listenerFDs {
		ln, err := ListenerFromFD(duplicate(fd))
		if err != nil {
			t.Fatal(err)
		}
		options.InheritedListeners = append(options.InheritedListeners, ln)
		addrs = append(addrs, ln.Addr().String())
	}
	server, err := New(options, addrs...)
	if err != nil {
		t.Fatal(err)
	}
	handler.server = server
	for i := range conns {
		conns[i].FD = duplicate(conns[i].FD)
	}
	if kept := server.Import(conns); kept != len(conns) {
		t.Errorf("%d of %d kept", kept, len(conns))
	}
	return server
}

// pause pauses a server and waits until it is.
func pause(server *Server) {
	paused := make(chan struct{})
	server.Pause(func() { close(paused) })
	<-paused
}

// Connections in every state go over to another server: idle, without a command
// so far, with a command cut at any byte, with several sent ahead; and one that
// waits in the listen queue is accepted there.
func TestHandover(t *testing.T) {
	options := testOptions()
	options.Limits = connlimit.DefaultLimits(64, 192)
	server, handler := startServer(t, options)
	request := func(i int) string { return encodeCommand("SAY", fmt.Sprintf("hello, %02d", i)) }
	type cutRequest struct {
		*testClient
		rest string
	}
	var cutRequests []cutRequest
	for cut := range len(request(0)) {
		client := dial(t, server.Addr())
		client.send(request(cut)[:cut])
		cutRequests = append(cutRequests, cutRequest{client, request(cut)[cut:]})
	}
	idle := dial(t, server.Addr())
	idle.ping()
	for server.connsInUse() != len(cutRequests)+1 { // until all are accepted, and what they sent is read
		runtime.Gosched()
	}

	pause(server)
	idle.send(encodeCommand("PING") + request(99)) // it comes while nobody reads
	queued := dial(t, server.Addr())
	queued.sendCommand("PING")
	listenerFDs, conns := server.Export(1000)
	if len(conns) != len(cutRequests)+1 {
		t.Fatalf("%d connections are exported of %d", len(conns), len(cutRequests)+1)
	}
	if conns[len(conns)-1].handoverPriority() < conns[0].handoverPriority() {
		t.Error("those that matter least come first")
	}
	if _, few := server.Export(3); len(few) != 3 || few[0].handoverPriority() != 0 {
		t.Errorf("of three: %+v", few)
	}
	successor := newSuccessor(t, listenerFDs, conns)
	server.Inspect(func(*connlimit.Limiter) {}) // a turn more
	server.Close()
	if handler.received != nil {
		t.Errorf("a paused server read on: %q", handler.received)
	}

	runServer(t, successor)
	idle.expectLine("+PONG")
	idle.expectLine("+OK")
	queued.expectLine("+PONG")
	for _, c := range cutRequests {
		c.send(c.rest)
		c.expectLine("+OK")
	}
}

// A server that is resumed goes on as if it had not been paused.
func TestResumeAfterPause(t *testing.T) {
	server, _ := startServer(t, testOptions())
	client := dial(t, server.Addr())
	for i := range 5 {
		pause(server)
		client.sendCommand("SAY", fmt.Sprint(i))
		server.Resume()
		client.expectLine("+OK")
	}
}
