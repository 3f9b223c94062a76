package respserver

import (
	"context"
	"fmt"
	"io"
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

// A request can arrive exactly when the server closes its idle connection. The server must either reply
// to the request or not have read it: otherwise a message could be delivered although its client got no
// reply. Every request that was read must get its call of ReplyDone.
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
				// Send at about the time when the idle timeout ends.
				idle := time.Duration(13000+(i*rounds+round)*4) * time.Microsecond
				if requestAfterIdling(t, server, idle, id) {
					replied.Add(1)
					continue
				}
				closed.Add(1)
				if handler.hasReceived(id) {
					t.Errorf("request %s was read, but its connection was closed without a reply", id)
				}
			}
		}()
	}
	wg.Wait()
	t.Logf("%d requests replied to, %d connections closed before", replied.Load(), closed.Load())
	waitUntil(t, "all connections to be closed", func() bool { return server.connsInUse() == 0 })
	handler.mu.Lock()
	defer handler.mu.Unlock()
	if len(handler.received) != len(handler.replyWritten) {
		t.Errorf("%d requests received, but %d calls of ReplyDone", len(handler.received), len(handler.replyWritten))
	}
	for id, written := range handler.replyWritten {
		if !written {
			t.Errorf("ReplyDone(false) for request %s, whose client waited for the reply", id)
		}
	}
}

// requestAfterIdling opens a connection, leaves it idle for a while and then sends a request. It reports
// whether there was a reply.
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
	_, _ = conn.Write([]byte(encodeCommand("SAY", id))) // fails if the server has closed the connection
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

// When the process has no free file descriptors, the server must neither end nor retry accept in a busy
// loop. A connection in the listen queue must be served once descriptors are free.
func TestOutOfDescriptors(t *testing.T) {
	server, _ := startServer(t, testOptions())
	var attempts atomic.Int32
	var exhausted atomic.Bool
	server.runOnLoop(func() {
		server.accept = func(fd int) (int, error) {
			if exhausted.Load() {
				attempts.Add(1)
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
	waitUntil(t, "four accept attempts", func() bool { return attempts.Load() >= 4 })
	took := time.Since(startedAt)
	exhausted.Store(false)
	if least := 3 * 50 * time.Millisecond; took < least {
		t.Errorf("%d accept attempts in %v, want at least %v for them", attempts.Load(), took, least)
	}
	client.expectLine("+PONG")
}

// A client that does not read its replies must not delay others, and must be closed after a time limit.
// A client that reads late, but within the limit, must get all its replies in order.
func TestSlowReadingClients(t *testing.T) {
	server, handler := startServer(t, testOptions())
	request := encodeCommand("GIVE", "3000000", strings.Repeat("x", 3000))
	lateReader := dial(t, server.Addr())
	for range 4 {
		lateReader.send(request)
	}
	lateReader.sendCommand("SAY", "last")
	dial(t, server.Addr()).ping()
	for range 4 {
		if line := lateReader.readLine(); line != "$3000000" {
			t.Fatalf("reply = %.80q, want \"$3000000\"", line)
		}
		if line := lateReader.readLine(); len(line) != 3000000 || strings.Trim(line, "g") != "" {
			t.Fatalf("body of %d bytes, want 3000000 times g", len(line))
		}
	}
	lateReader.expectLine("+OK")
	neverReader := dial(t, server.Addr())
	neverReader.send(strings.Repeat(request, 4))
	waitUntil(t, "the connection that never reads to be closed", func() bool { return server.connsInUse() == 2 })
	handler.mu.Lock()
	defer handler.mu.Unlock()
	if !handler.replyWritten["last"] {
		t.Error("ReplyDone of the last request did not report the reply as written")
	}
}

// When a client leaves before its reply, ReplyDone must report false, and the reply that comes later must
// not go to the next client in the same slot.
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
		written, done = handler.replyWritten["a"]
		return done
	})
	if written {
		t.Error("ReplyDone(true) for a client that had left, want false")
	}
	// Another client gets the slot. It must not get the late reply.
	other := dial(t, server.Addr())
	other.sendCommand("SAY", "b")
	second := <-ids
	if second.slot != first.slot {
		t.Fatalf("request IDs %v and %v have different slots, want the same", first, second)
	}
	server.SendReply(first, "+WRONG\r\n")
	server.SendReply(second, "+RIGHT\r\n")
	other.expectLine("+RIGHT")
}

// A request that has waited for its turn longer than MaxQueueWait must be shed with a time to retry and
// not be submitted: its client would give up before the reply.
func TestLateRequestsAreShed(t *testing.T) {
	options := testOptions()
	options.Limits = connlimit.DefaultLimits(200, 2000)
	server, handler := startServer(t, options)
	const clientCount = 40
	clients := make([]*testClient, clientCount)
	for i := range clients {
		clients[i] = dial(t, server.Addr())
		clients[i].ping()
	}
	handler.deferReply = func(RequestID, string) bool { // a slow handler
		time.Sleep(30 * time.Millisecond)
		return false
	}
	server.whileLoopBlocked(func() {
		for i, client := range clients { // all requests have arrived before the first one is read
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
			t.Errorf("reply = %q, want +OK or -BUSY with a time", line)
		}
	}
	handler.mu.Lock()
	defer handler.mu.Unlock()
	if replied != len(handler.received) || replied < 5 || shed < 10 {
		t.Errorf("%d requests received, %d accepted, %d shed; want all received accepted, at least 5, and 10 shed",
			len(handler.received), replied, shed)
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
	for i := 0; b.Loop(); i++ { // the handler takes each first argument only once
		client.sendCommand("SAY", strconv.Itoa(i), body)
		client.expectLine("+OK")
	}
}

// Guards clients against a flood of connections that send part of a command and wait, and come again when
// they are closed: each request on a new connection gets its reply in the time that clients wait, also
// while the flood uses all the memory for commands.
func TestPartialCommandsDoNotBlockClients(t *testing.T) {
	const flood, unvalidated, rounds = 60, 40, 40
	for name, c := range map[string]struct {
		part        string
		memoryLimit int
	}{
		"few bytes":          {"*3\r\n$3\r\nSA", 8 << 20},
		"more than memory":   {encodeCommand("SAY", "x", strings.Repeat("b", 40_000))[:20_000], 64 << 10},
		"memory of one byte": {"*3\r\n$3\r\nSA", 1},
	} {
		t.Run(name, func(t *testing.T) {
			options := testOptions()
			options.Limits, options.MemoryLimit = connlimit.DefaultLimits(2*unvalidated, 400), c.memoryLimit
			server, _ := startServer(t, options)
			for range flood {
				go floodWithParts(t.Context(), server.Addr().String(), c.part)
			}
			waitUntil(t, "the flood to hold its connections", func() bool {
				held := 0
				server.Inspect(func(limiter *connlimit.Limiter) { held = limiter.Unvalidated() })
				return held == unvalidated
			})
			for n := range rounds {
				client := dial(t, server.Addr())
				startedAt := time.Now()
				client.sendCommand("SAY", fmt.Sprint(n), "body")
				client.expectLine("+OK")
				if took := time.Since(startedAt); took > clientReplyTimeout {
					t.Errorf("reply %d after %v, want at most %v", n, took, clientReplyTimeout)
				}
			}
		})
	}
}

// floodWithParts sends part of a command on a connection and waits for its end, again and again.
func floodWithParts(ctx context.Context, address, part string) {
	for ctx.Err() == nil {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		// Errors are ignored: the server may close the connection at any time.
		_, _ = io.WriteString(conn, part)
		_, _ = io.Copy(io.Discard, conn)
		stop()
		_ = conn.Close()
	}
}
