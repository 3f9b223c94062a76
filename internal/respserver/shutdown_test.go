package respserver

import (
	"net"
	"testing"

	"troutusher/internal/connlimit"
)

// A server must accept connections on all its listeners. After CloseListeners it must accept no new ones,
// but must still reply to requests on the connections that it has.
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
	waitUntil(t, "the idle connection to be closed", func() bool { return server.connsInUse() == 1 })
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

// Closing a listener resets the connections in its queue. The server must therefore accept them before it
// closes a listener, and reply to their requests.
func TestBacklogWhenListenersClose(t *testing.T) {
	server, _ := startServer(t, testOptions())
	var client *testClient
	server.Inspect(func(*connlimit.Limiter) { // the event loop does not check the queue meanwhile
		client = dial(t, server.Addr())
		client.sendCommand("SAY", "x")
		server.closeListeners()
	})
	client.expectLine("+OK")
}

// Shutdown must call onDone only after every request that was read has its reply, whether the request or
// the call of Shutdown comes first. Otherwise Close would cut off a reply.
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
			id := <-ids // the request has been read, so it must get a reply
			server.Inspect(func(*connlimit.Limiter) {})
			select {
			case <-done:
				t.Fatal("onDone was called while a request had no reply")
			default:
			}
			server.SendReply(id, "+OK\r\n")
			client.expectLine("+OK")
			<-done
			client.expectClosed()
		})
	}
}
