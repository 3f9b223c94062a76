package respserver

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"

	"troutusher/internal/connlimit"
)

// newSuccessor returns a server that takes over the exported listeners and connections of another one.
// It duplicates the descriptors, as passing them to another process would.
func newSuccessor(t *testing.T, listenerFDs []int, conns []ConnSnapshot) *Server {
	t.Helper()
	duplicate := func(fd int) int {
		newFD, err := syscall.Dup(fd)
		if err != nil {
			t.Fatal(err)
		}
		return newFD
	}
	handler := &echoHandler{replyWritten: map[string]bool{}}
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
		t.Errorf("Import kept %d of %d connections", kept, len(conns))
	}
	return server
}

// pause pauses a server and waits until no request is pending.
func pause(server *Server) {
	paused := make(chan struct{})
	server.Pause(func() { close(paused) })
	<-paused
}

// A hand-over must lose no byte of a connection, whatever state it is in: idle, before its first
// command, with a command interrupted at any byte, or with several commands sent ahead. A connection
// that is still in the listen queue must be accepted by the successor.
func TestHandover(t *testing.T) {
	options := testOptions()
	options.Limits = connlimit.DefaultLimits(64, 192)
	server, handler := startServer(t, options)
	request := func(i int) string { return encodeCommand("SAY", fmt.Sprintf("hello, %02d", i)) }
	type partialRequest struct {
		*testClient
		rest string
	}
	var partialRequests []partialRequest
	for cut := range len(request(0)) {
		client := dial(t, server.Addr())
		client.send(request(cut)[:cut])
		partialRequests = append(partialRequests, partialRequest{client, request(cut)[cut:]})
	}
	idle := dial(t, server.Addr())
	idle.ping()
	for server.connsInUse() != len(partialRequests)+1 { // until all are accepted and their input is read
		runtime.Gosched()
	}

	pause(server)
	idle.send(encodeCommand("PING") + request(99)) // arrives while neither server reads
	queued := dial(t, server.Addr())
	queued.sendCommand("PING")
	listenerFDs, conns := server.Export(1000)
	if len(conns) != len(partialRequests)+1 {
		t.Fatalf("Export(1000) returned %d connections, want %d", len(conns), len(partialRequests)+1)
	}
	if conns[len(conns)-1].handoverPriority() < conns[0].handoverPriority() {
		t.Error("Export(1000) returned the connections in the wrong order of priority")
	}
	if _, exported := server.Export(3); len(exported) != 3 || exported[0].handoverPriority() != 0 {
		t.Errorf("Export(3) = %+v, want three connections with a command in progress first", exported)
	}
	successor := newSuccessor(t, listenerFDs, conns)
	server.Inspect(func(*connlimit.Limiter) {}) // returns after another turn of the event loop
	server.Close()
	if handler.received != nil {
		t.Errorf("the paused server read requests: %q", handler.received)
	}

	runServer(t, successor)
	idle.expectLine("+PONG")
	idle.expectLine("+OK")
	queued.expectLine("+PONG")
	for _, c := range partialRequests {
		c.send(c.rest)
		c.expectLine("+OK")
	}
}

// Guards against serving requests of clients that have left: they wrote and closed while neither server read.
// The successor must know that they have left before it passes on their first request.
func TestImportedClientHasLeft(t *testing.T) {
	server, _ := startServer(t, testOptions())
	var clients []*testClient
	for range 20 {
		client := dial(t, server.Addr())
		client.ping()
		clients = append(clients, client)
	}
	pause(server)
	listenerFDs, conns := server.Export(1000)
	for n, client := range clients {
		client.sendCommand("SAY", fmt.Sprint(n))
		if err := client.Close(); err != nil {
			t.Error(err)
		}
	}
	successor := newSuccessor(t, listenerFDs, conns)
	server.Inspect(func(*connlimit.Limiter) {}) // returns after another turn of the event loop
	server.Close()
	knownToHaveLeft := make(chan bool, len(clients))
	serve := successor.options.Handler
	successor.options.Handler = func(command *Command) Reply {
		knownToHaveLeft <- successor.connAt(command.ID.slot).peerClosed
		return serve(command)
	}
	runServer(t, successor)
	waitUntil(t, "all connections to be closed", func() bool { return successor.connsInUse() == 0 })
	close(knownToHaveLeft)
	for known := range knownToHaveLeft {
		if !known {
			t.Error("a request was passed on before the server knew that its client had left")
		}
	}
}

// A resumed server must continue to serve its connections as before the pause.
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
