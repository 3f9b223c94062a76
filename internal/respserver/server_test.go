package respserver

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"troutusher/internal/connlimit"
)

// A client may close, or be chosen to be closed, exactly when its request
// crosses: what was read is replied to or its client is known to have left, and
// the request of one that was closed without a reply was never read.
func TestRequestsRacingWithClose(t *testing.T) {
	options := testOptions()
	options.Limits = connlimit.DefaultLimits(500, 4000)
	options.Limits.IdleTimeout, options.Limits.TimerTick = 15e3, 1e3
	server, handler := startServer(t, options)
	const clients, rounds = 60, 12
	var wg sync.WaitGroup
	var replied, closed atomic.Int32
	for i := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for round := range rounds {
				id := fmt.Sprintf("%d-%d", i, round)
				// About when it has been idle for as long as it may.
				idle := time.Duration(13000+(i*rounds+round)*4) * time.Microsecond
				if requestAfterIdling(t, server, idle, id) {
					replied.Add(1)
					continue
				}
				closed.Add(1)
				if handler.hasReceived(id) {
					t.Errorf("%s was read, and its client was closed without a reply", id)
				}
			}
		}()
	}
	wg.Wait()
	t.Logf("%d replied to, %d closed before", replied.Load(), closed.Load())
	waitUntil(t, "all connections closed", func() bool { return server.connsInUse() == 0 })
	handler.mu.Lock()
	defer handler.mu.Unlock()
	if len(handler.received) != len(handler.delivered) {
		t.Errorf("%d received, %d done", len(handler.received), len(handler.delivered))
	}
	for id, written := range handler.delivered {
		if !written {
			t.Errorf("%s: its client waited, and was taken to have left", id)
		}
	}
}

// requestAfterIdling sends a request on a connection that was idle for a while.
// It reports whether there was a reply.
func requestAfterIdling(t *testing.T, server *Server, idle time.Duration, id string) bool {
	t.Helper()
	conn, err := net.Dial("tcp", server.Addr().String())
	if err != nil {
		t.Error(err)
		return true
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(testTimeout / 2)); err != nil {
		t.Error(err)
	}
	var reply [64]byte
	if _, err := conn.Write([]byte(encodeCommand("PING"))); err != nil {
		t.Error(err)
	}
	if _, err := conn.Read(reply[:]); err != nil {
		t.Error(err)
		return true
	}
	time.Sleep(idle)
	_, _ = conn.Write([]byte(encodeCommand("SAY", id))) // it may be closed
	_, err = conn.Read(reply[:])
	return err == nil
}

func (h *echoHandler) hasReceived(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, received := range h.received {
		if received == id {
			return true
		}
	}
	return false
}

// Out of descriptors the server neither spins nor ends; a connection that waits
// in the queue is served once there are some.
func TestOutOfDescriptors(t *testing.T) {
	server, _ := startServer(t, testOptions())
	var tries atomic.Int32
	var exhausted atomic.Bool
	server.runOnLoop(func() {
		server.accept = func(fd int) (int, error) {
			if exhausted.Load() {
				tries.Add(1)
				return -1, syscall.EMFILE
			}
			return accept(fd)
		}
	})
	dial(t, server.Addr()).ping()
	exhausted.Store(true)
	startedAt := time.Now()
	client := dial(t, server.Addr())
	client.sendCommand("PING")
	waitUntil(t, "four tries", func() bool { return tries.Load() >= 4 })
	took := time.Since(startedAt)
	exhausted.Store(false)
	if least := 3 * 50 * time.Millisecond; took < least {
		t.Errorf("tried %d times in %v, want at least %v", tries.Load(), took, least)
	}
	client.expectLine("+PONG")
}

// A client that does not read its replies is waited for a while and not for
// ever, and holds up no other; one that reads late gets all of them, in order.
func TestSlowReadingClients(t *testing.T) {
	server, handler := startServer(t, testOptions())
	request := encodeCommand("GIVE", "3000000", strings.Repeat("x", 3000))
	late := dial(t, server.Addr())
	for range 4 {
		late.send(request)
	}
	late.sendCommand("SAY", "last")
	dial(t, server.Addr()).ping()
	for range 4 {
		if line := late.readLine(); line != "$3000000" {
			t.Fatalf("%.80q", line)
		}
		if line := late.readLine(); len(line) != 3000000 || strings.Trim(line, "g") != "" {
			t.Fatalf("%d bytes", len(line))
		}
	}
	late.expectLine("+OK")
	never := dial(t, server.Addr())
	never.send(strings.Repeat(request, 4))
	waitUntil(t, "the end of one that never reads", func() bool { return server.connsInUse() == 2 })
	handler.mu.Lock()
	defer handler.mu.Unlock()
	if !handler.delivered["last"] {
		t.Error("the last reply is not taken to be written")
	}
}

// A client that leaves before its reply is known to have.
func TestClientGoneBeforeReply(t *testing.T) {
	server, handler := startServer(t, testOptions())
	ids := handler.captureRequests()
	client := dial(t, server.Addr())
	client.sendCommand("SAY", "a")
	first := <-ids
	if err := client.Close(); err != nil {
		t.Error(err)
	}
	written, done := false, false
	waitUntil(t, "the end of the request", func() bool {
		handler.mu.Lock()
		defer handler.mu.Unlock()
		written, done = handler.delivered["a"]
		return done
	})
	if written {
		t.Error("its reply is taken to be written")
	}
	// Its slot goes to another client; the late reply is not theirs.
	other := dial(t, server.Addr())
	other.sendCommand("SAY", "b")
	second := <-ids
	if second.slot != first.slot {
		t.Fatalf("another slot: %v, %v", first, second)
	}
	server.SendReply(first, "+WRONG\r\n")
	server.SendReply(second, "+RIGHT\r\n")
	other.expectLine("+RIGHT")
}

// A command that waited for its turn for longer than its client waits for the
// reply is shed with a time to retry, and not handed in.
func TestLateRequestsAreShed(t *testing.T) {
	options := testOptions()
	options.Limits = connlimit.DefaultLimits(200, 2000)
	server, handler := startServer(t, options)
	const n = 40
	clients := make([]*testClient, n)
	for i := range clients {
		clients[i] = dial(t, server.Addr())
		clients[i].ping()
	}
	handler.deferReply = func(RequestID, string) bool { // a slow handler
		time.Sleep(30 * time.Millisecond)
		return false
	}
	server.whileLoopBlocked(func() {
		for i, client := range clients { // all there before the first has its turn
			client.sendCommand("SAY", strconv.Itoa(i))
		}
	})
	replied, shed := 0, 0
	for _, client := range clients {
		switch line := client.readLine(); {
		case line == "+OK":
			replied++
		case strings.HasPrefix(line, "-BUSY ") && line != "-BUSY 0":
			shed++
		default:
			t.Errorf("reply %q", line)
		}
	}
	handler.mu.Lock()
	defer handler.mu.Unlock()
	if replied != len(handler.received) || replied < 5 || shed < 10 {
		t.Errorf("%d received, %d replied to, %d shed", len(handler.received), replied, shed)
	}
}

func BenchmarkRequests(b *testing.B) {
	server, _ := startServer(b, testOptions())
	client := dial(b, server.Addr())
	if err := client.SetDeadline(time.Time{}); err != nil {
		b.Fatal(err)
	}
	body := strings.Repeat("b", 200)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ { // the handler takes each argument once
		client.sendCommand("SAY", strconv.Itoa(i), body)
		client.expectLine("+OK")
	}
}
