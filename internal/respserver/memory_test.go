package respserver

import (
	"fmt"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"troutusher/internal/connlimit"
)

// The server must be able to hold many idle connections, so an idle connection must have no goroutine,
// reader, buffer or timer. One in the middle of a command has a reader.
func TestIdleConnectionsHoldNoMemory(t *testing.T) {
	const conns = 300
	options := testOptions()
	options.Limits = connlimit.DefaultLimits(400, 4000)
	server, _ := startServer(t, options)
	before := runtime.NumGoroutine()
	for range conns {
		client := dial(t, server.Addr())
		client.send(encodeCommand("PING") + encodeCommand("SAY", "x")[:9]) // and part of a command
		client.readLine()
	}
	if extra := runtime.NumGoroutine() - before; extra > 20 { // allow for goroutines of the runtime
		t.Errorf("%d more goroutines for %d connections, want at most 20", extra, conns)
	}
	readers := 0
	server.Inspect(func(limiter *connlimit.Limiter) {
		if n := limiter.Count(connlimit.StateReadingCommand); n != conns {
			t.Errorf("Count(StateReadingCommand) = %d, want %d", n, conns)
		}
		for slot := range uint32(conns) {
			if c := server.connAt(slot); c.reader != nil {
				readers++
			}
		}
	})
	if readers != conns {
		t.Errorf("%d readers for %d incomplete commands", readers, conns)
	}

	idle, _ := startServer(t, options)
	for range conns {
		dial(t, idle.Addr()).ping()
	}
	idle.Inspect(func(*connlimit.Limiter) {
		for slot := range uint32(conns) {
			if c := idle.connAt(slot); c.reader != nil || c.buffers != nil || c.memory != 0 {
				t.Errorf("idle connection = %+v, want no reader, buffers or memory", c)
			}
		}
		if idle.memoryUsed != 0 || idle.timers.Len() != 0 {
			t.Errorf("%d bytes and %d timers for idle connections, want none", idle.memoryUsed, idle.timers.Len())
		}
	})
}

// All clients send at once, and together more than the memory limit allows. The memory of the commands
// must stay bounded, and each client must get a reply.
func TestCommandMemoryIsBounded(t *testing.T) {
	const clientCount, bodySize, memoryLimit = 200, 60_000, 1 << 20
	options := testOptions()
	options.Limits, options.MemoryLimit = connlimit.DefaultLimits(300, 4000), memoryLimit
	server, handler := startServer(t, options)
	var highestMemory atomic.Int64
	handler.deferReply = func(RequestID, string) bool {
		highestMemory.Store(max(highestMemory.Load(), int64(server.memoryUsed))) // on the event loop
		return false
	}
	clients := make([]*testClient, clientCount)
	for i := range clients {
		clients[i] = dial(t, server.Addr())
		clients[i].ping()
	}
	var replied, busy atomic.Int32
	var wg sync.WaitGroup
	for i, client := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			client.sendCommand("SAY", fmt.Sprint(i), strings.Repeat("b", bodySize))
			line, err := client.in.ReadString('\n')
			switch {
			case err != nil:
				t.Errorf("client %d: read reply: %v", i, err)
			case line == "+OK\r\n":
				replied.Add(1)
			case strings.HasPrefix(line, "-BUSY "):
				busy.Add(1)
			default:
				t.Errorf("client %d: reply = %q, want +OK or -BUSY", i, line)
			}
		}()
	}
	wg.Wait()
	t.Logf("%d requests accepted, %d rejected, at most %d bytes in use",
		replied.Load(), busy.Load(), highestMemory.Load())
	if highestMemory.Load() > 2*memoryLimit+int64(2*bodySize) {
		t.Errorf("commands used up to %d bytes, too much for a limit of %d", highestMemory.Load(), memoryLimit)
	}
	if replied.Load() == 0 {
		t.Error("all requests were rejected, want some accepted")
	}
	waitUntil(t, "all memory to be released", func() bool { return server.memoryInUse() == 0 })
}

// Guards the memory limit against commands that are sent ahead: the buffer that holds them stays in memory
// until the last of them is parsed, and has to count until then.
func TestPartlyParsedInputCounts(t *testing.T) {
	server, handler := startServer(t, testOptions())
	requests := handler.captureRequests()
	client := dial(t, server.Addr())
	body := strings.Repeat("b", 1000)
	var input strings.Builder
	for n := range 10 {
		input.WriteString(encodeCommand("SAY", fmt.Sprint(n), body))
	}
	client.send(input.String())
	held := func() (bytes int) {
		server.Inspect(func(*connlimit.Limiter) { bytes = server.connAt(0).unprocessedBytes() })
		return bytes
	}
	id := <-requests
	before := held()
	for range 8 {
		server.SendReply(id, "+OK\r\n")
		client.expectLine("+OK")
		id = <-requests
	}
	if after := held(); before < 9*len(body) || after != before {
		t.Errorf("input kept: %d bytes before 8 of 9 commands were parsed, %d after; want the same", before, after)
	}
	server.SendReply(id, "+OK\r\n")
	client.expectLine("+OK")
	if after := <-requests; after == id {
		t.Error("the last request has the ID of the one before")
	}
	if after := held(); after != 0 {
		t.Errorf("input kept after the last command was parsed: %d bytes, want 0", after)
	}
}
