package loadgen

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// FloodKind names a crowd of connections that are no clients.
type FloodKind string

// Kinds of flood. Each keeps a number of connections to a relay open or coming
// back until it is over.
const (
	FloodSilent    FloodKind = "flood_silent"    // connect, say nothing, and do not come back
	FloodReturning FloodKind = "flood_returning" // the same, and come back at once when they are closed
	FloodPing      FloodKind = "flood_ping"      // ask one PING, stay, and come back when they are closed
	FloodDrip      FloodKind = "flood_drip"      // write a message byte by byte, one a second, and come back
	FloodFaulty    FloodKind = "flood_faulty"    // send what cannot be read, as fast as it is taken, and come back
)

const (
	reconnectDelay = 5 * time.Millisecond // before one comes back: a dial refused at once must not spin
	dripInterval   = time.Second
)

// faultyInputs is what a faulty one sends in turn.
var faultyInputs = []string{
	"GET / HTTP/1.1\r\n\r\n",
	"*1\r\n$-9\r\n",
	"*999999999\r\n",
	"*2\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n",
	"*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$1\r\nx\r\n$9\r\nc=nothing\r\n$0\r\n\r\n",
	strings.Repeat("y", 4000),
	"*1\r\n$70000000\r\n" + strings.Repeat("z", 4000),
}

// Flood keeps n connections of a kind going against a relay until ctx ends,
// and returns once they are closed. It counts those that it opened.
func Flood(ctx context.Context, kind FloodKind, addr string, n int) (opened int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for turn := i; ctx.Err() == nil; turn++ {
				var d net.Dialer
				dial, cancel := context.WithTimeout(ctx, time.Second)
				c, err := d.DialContext(dial, "tcp4", addr)
				cancel()
				if err == nil {
					mu.Lock()
					opened++
					mu.Unlock()
					stop := context.AfterFunc(ctx, func() { _ = c.Close() })
					playFlood(ctx, kind, c, turn)
					stop()
					_ = c.Close()
					if kind == FloodSilent {
						return
					}
				}
				sleep(ctx, reconnectDelay)
			}
		}()
	}
	wg.Wait()
	return opened
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// playFlood does what one of a kind does on a connection until that ends.
func playFlood(ctx context.Context, kind FloodKind, c net.Conn, turn int) {
	switch kind {
	case FloodPing:
		_, _ = io.WriteString(c, "*1\r\n$4\r\nPING\r\n") // the relay may have closed it
	case FloodDrip:
		gone := make(chan struct{})
		go func() { defer close(gone); _, _ = io.Copy(io.Discard, c) }()
		for _, b := range []byte("*5\r\n$7\r\nMSG.PUT\r\n$16\r\n0000000000000000\r\n") {
			if _, err := c.Write([]byte{b}); err != nil {
				break
			}
			select {
			case <-gone:
				return
			case <-ctx.Done():
				return
			case <-time.After(dripInterval):
			}
		}
		<-gone
		return
	case FloodFaulty:
		go func() {
			for i := turn; ; i++ {
				if _, err := io.WriteString(c, faultyInputs[i%len(faultyInputs)]); err != nil {
					return
				}
			}
		}()
	}
	_, _ = io.Copy(io.Discard, c) // until it is closed
}
