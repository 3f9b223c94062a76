package loadgen

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"testing"

	"troutusher/internal/emulator/loopback"
)

// TestFloods checks for each kind of flood how many connections it opens, the first byte that they
// send, and whether they reconnect after the server closed them.
func TestFloods(t *testing.T) {
	for _, c := range []struct {
		kind       FloodKind
		first      byte // that a connection sends; 0: it sends nothing
		reconnects bool
	}{
		{FloodSilent, 0, false},
		{FloodReconnecting, 0, true},
		{FloodPing, '*', true},
		{FloodSlowWrites, '*', true},
		{FloodMalformed, 'G', true},
	} {
		t.Run(string(c.kind), func(t *testing.T) {
			ln, err := loopback.Listen(0)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = ln.Close() }()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			const n = 5
			var accepted atomic.Int64
			closed := make(chan struct{}, 1000)
			go func() {
				for {
					conn, err := ln.Accept()
					if err != nil {
						return
					}
					accepted.Add(1)
					go func(conn net.Conn) {
						defer func() { _ = conn.Close() }() // at once if the kind sends nothing
						if c.first != 0 {
							b, err := bufio.NewReader(conn).ReadByte()
							if err == nil && c.kind != FloodMalformed && b != c.first {
								t.Errorf("%s sent %q first, want %q", c.kind, b, c.first)
							}
						}
						closed <- struct{}{}
					}(conn)
				}
			}()
			done := make(chan int, 1)
			go func() { done <- Flood(ctx, c.kind, ln.Addr().String(), n) }()
			if !c.reconnects {
				if opened := <-done; opened != n {
					t.Errorf("Flood(%s, %d) = %d connections opened, want %d", c.kind, n, opened, n)
				}
				return
			}
			for range 3 * n { // the n connections have reconnected
				<-closed
			}
			cancel()
			if opened := <-done; opened < 3*n-n { // the last one of each may not be counted yet
				t.Errorf("Flood(%s, %d) = %d connections opened, want at least %d", c.kind, n, opened, 2*n)
			}
		})
	}
}
