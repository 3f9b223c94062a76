package loadgen

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"testing"

	"troutusher/internal/emulator/loopback"
)

// TestFloods: how many come, what they say first, and whether they come back.
func TestFloods(t *testing.T) {
	for _, c := range []struct {
		kind    FloodKind
		first   byte // 0: nothing is said
		returns bool
	}{
		{FloodSilent, 0, false},
		{FloodReturning, 0, true},
		{FloodPing, '*', true},
		{FloodDrip, '*', true},
		{FloodFaulty, 'G', true},
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
			var came atomic.Int64
			again := make(chan struct{}, 1000)
			go func() {
				for {
					conn, err := ln.Accept()
					if err != nil {
						return
					}
					came.Add(1)
					go func(conn net.Conn) {
						defer func() { _ = conn.Close() }() // at once where it says nothing
						if c.first != 0 {
							b, err := bufio.NewReader(conn).ReadByte()
							if err == nil && c.kind != FloodFaulty && b != c.first {
								t.Errorf("%s said %q first", c.kind, b)
							}
						}
						again <- struct{}{}
					}(conn)
				}
			}()
			done := make(chan int, 1)
			go func() { done <- Flood(ctx, c.kind, ln.Addr().String(), n) }()
			if !c.returns {
				if opened := <-done; opened != n {
					t.Errorf("%d came, want %d", opened, n)
				}
				return
			}
			for range 3 * n { // each has come back
				<-again
			}
			cancel()
			if opened := <-done; opened < 3*n-n { // the last of them may not have been counted
				t.Errorf("%d came, want %d at least", opened, 2*n)
			}
		})
	}
}
