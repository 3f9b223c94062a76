package respserver

import (
	"net"
	"testing"

	"troutusher/internal/connlimit"
)

// Both listeners serve; once they are closed no new client is served, and those
// that are there still get replies.
func TestListeners(t *testing.T) {
	server, handler := startServer(t, testOptions())
	ids := handler.captureRequests()
	var client *testClient
	for _, l := range server.listeners {
		client = dial(t, l.Addr())
		client.ping()
	}
	client.sendCommand("SAY", "a")
	id := <-ids
	server.CloseListeners()
	server.CloseIdleConns()
	waitUntil(t, "the idle one closed", func() bool { return server.connsInUse() == 1 })
	for _, l := range server.listeners {
		if conn, err := net.Dial("tcp", l.Addr().String()); err == nil {
			_ = conn.Close()
			t.Error("a closed listener accepts connections")
		}
	}
	server.SendReply(id, "+OK\r\n")
	client.expectLine("+OK")
	client.expectClosed()
}

// A connection in a listener's queue as it is closed is accepted, and its request
// is replied to.
func TestBacklogWhenListenersClose(t *testing.T) {
	server, _ := startServer(t, testOptions())
	var client *testClient
	server.Inspect(func(*connlimit.Limiter) { // between two looks at the queue
		client = dial(t, server.Addr())
		client.sendCommand("SAY", "x")
		server.closeListeners()
	})
	client.expectLine("+OK")
}

// A server that shuts down says so once nothing that it has read is without its
// reply, in whatever order the shutdown and the request come, and reads nothing
// after that.
func TestShutdownAndRequests(t *testing.T) {
	for _, first := range []string{"request", "shutdown"} {
		t.Run(first+" first", func(t *testing.T) {
			server, handler := startServer(t, testOptions())
			ids := handler.captureRequests()
			client, idle := dial(t, server.Addr()), dial(t, server.Addr())
			client.ping()
			idle.ping()
			done := make(chan struct{})
			shutdown := func() { server.Shutdown(func() { close(done) }) }
			server.whileLoopBlocked(func() {
				if first == "shutdown" {
					shutdown()
				}
				client.sendCommand("SAY", "x")
				if first == "request" {
					shutdown()
				}
			})
			id := <-ids // it was read: from here on a reply is owed
			server.Inspect(func(*connlimit.Limiter) {})
			select {
			case <-done:
				t.Fatal("done with a request that it has read")
			default:
			}
			server.SendReply(id, "+OK\r\n")
			client.expectLine("+OK")
			<-done
			client.expectClosed()
		})
	}
}
