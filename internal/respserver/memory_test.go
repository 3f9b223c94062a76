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

// Idle connections have no goroutine, no reader and no buffers of their own.
func TestIdleConnectionsHoldNoMemory(t *testing.T) {
	const conns = 300
	options := testOptions()
	options.Limits = connlimit.DefaultLimits(400, 4000)
	server, _ := startServer(t, options)
	before := runtime.NumGoroutine()
	for range conns {
		client := dial(t, server.Addr())
		client.send(encodeCommand("PING") + encodeCommand("SAY", "x")[:9]) // and half a command
		client.readLine()
	}
	if extra := runtime.NumGoroutine() - before; extra > 20 { // the runtime's own come and go
		t.Errorf("%d goroutines for %d connections", extra, conns)
	}
	readers := 0
	server.Inspect(func(limiter *connlimit.Limiter) {
		if n := limiter.Count(connlimit.StateReadingCommand); n != conns {
			t.Errorf("%d in the middle of a command", n)
		}
		for slot := range uint32(conns) {
			if c := server.connAt(slot); c.reader != nil {
				readers++
			}
		}
	})
	if readers != conns {
		t.Errorf("%d readers for %d half commands", readers, conns)
	}

	idle, _ := startServer(t, options)
	for range conns {
		dial(t, idle.Addr()).ping()
	}
	idle.Inspect(func(*connlimit.Limiter) {
		for slot := range uint32(conns) {
			if c := idle.connAt(slot); c.reader != nil || c.buffers != nil || c.memory != 0 {
				t.Errorf("an idle connection holds %+v", c)
			}
		}
		if idle.memoryUsed != 0 || idle.timers.Len() != 0 {
			t.Errorf("%d bytes and %d timers for idle connections", idle.memoryUsed, idle.timers.Len())
		}
	})
}

// All clients send at once, with more than there is memory for: what is read
// stays under the limit, and each gets a reply.
func TestCommandMemoryIsBounded(t *testing.T) {
	const n, size, memory = 200, 60_000, 1 << 20
	options := testOptions()
	options.Limits, options.MemoryLimit = connlimit.DefaultLimits(300, 4000), memory
	server, handler := startServer(t, options)
	var highest atomic.Int64
	handler.deferReply = func(RequestID, string) bool {
		highest.Store(max(highest.Load(), int64(server.memoryUsed))) // on the event loop
		return false
	}
	clients := make([]*testClient, n)
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
			client.sendCommand("SAY", fmt.Sprint(i), strings.Repeat("b", size))
			line, err := client.in.ReadString('\n')
			switch {
			case err != nil:
				t.Errorf("%d: %v", i, err)
			case line == "+OK\r\n":
				replied.Add(1)
			case strings.HasPrefix(line, "-BUSY "):
				busy.Add(1)
			default:
				t.Errorf("%d: %q", i, line)
			}
		}()
	}
	wg.Wait()
	t.Logf("%d replied to, %d rejected, at most %d bytes", replied.Load(), busy.Load(), highest.Load())
	if highest.Load() > 2*memory+int64(2*size) {
		t.Errorf("%d bytes in use, %d allowed", highest.Load(), memory)
	}
	if replied.Load() == 0 {
		t.Error("no request was served")
	}
	waitUntil(t, "all memory free", func() bool { return server.memoryInUse() == 0 })
}
