package loadgen

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// FloodKind is a kind of connections that are no clients.
type FloodKind string

// Kinds of flood. Each keeps a number of connections to a relay open, or coming back, until
// it ends.
const (
	FloodSilent    FloodKind = "flood_silent"    // send nothing, and do not come back
	FloodReturning FloodKind = "flood_returning" // the same, and come back at once when they are closed
	FloodPing      FloodKind = "flood_ping"      // send one PING, stay, and come back when they are closed
	FloodDrip      FloodKind = "flood_drip"      // send a command byte by byte, one a second, and come back
	FloodFaulty    FloodKind = "flood_faulty"    // send what cannot be parsed, as fast as it is read, and come back
)

const (
	reconnectDelay   = 5 * time.Millisecond // a dial that is refused at once must not spin
	dripInterval     = time.Second
	floodDialTimeout = time.Second
	pingCommand      = "*1\r\n$4\r\nPING\r\n"
)

// faultyInputs are what a faulty connection sends in turn.
var faultyInputs = []string{
	"GET / HTTP/1.1\r\n\r\n",
	"*1\r\n$-9\r\n",
	"*999999999\r\n",
	"*2\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n",
	"*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$1\r\nx\r\n$9\r\nc=nothing\r\n$0\r\n\r\n",
	strings.Repeat("y", 4000),
	"*1\r\n$70000000\r\n" + strings.Repeat("z", 4000),
}

// Flood keeps n connections of a kind to a relay until ctx ends, and returns the number that
// it opened once all are closed.
func Flood(ctx context.Context, kind FloodKind, addr string, n int) (opened int) {
	var mu sync.Mutex
	var running sync.WaitGroup
	for i := range n {
		running.Add(1)
		go func() {
			defer running.Done()
			count := keepConnecting(ctx, kind, addr, i)
			mu.Lock()
			defer mu.Unlock()
			opened += count
		}()
	}
	running.Wait()
	return opened
}

// keepConnecting keeps one connection, and returns how often it was opened. firstInput is
// where a faulty one begins among its inputs.
func keepConnecting(ctx context.Context, kind FloodKind, addr string, firstInput int) (opened int) {
	for input := firstInput; ctx.Err() == nil; input++ {
		if conn, err := floodDial(ctx, addr); err == nil {
			opened++
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			playFlood(ctx, kind, conn, input)
			stop()
			_ = conn.Close()
			if kind == FloodSilent {
				return opened
			}
		}
		sleep(ctx, reconnectDelay)
	}
	return opened
}

func floodDial(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, floodDialTimeout)
	defer cancel()
	return (&net.Dialer{}).DialContext(ctx, "tcp4", addr)
}

// sleep returns after wait, or when ctx ends.
func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// playFlood does what a kind of flood does on one connection, until that is closed.
func playFlood(ctx context.Context, kind FloodKind, conn net.Conn, input int) {
	switch kind {
	case FloodPing:
		_, _ = io.WriteString(conn, pingCommand) // the relay may have closed it
	case FloodDrip:
		drip(ctx, conn)
		return
	case FloodFaulty:
		go sendFaultyInputs(conn, input)
	}
	_, _ = io.Copy(io.Discard, conn) // until it is closed
}

// drip sends a command byte by byte, and returns once the connection is closed.
func drip(ctx context.Context, conn net.Conn) {
	closed := make(chan struct{})
	go func() { defer close(closed); _, _ = io.Copy(io.Discard, conn) }()
	for _, b := range []byte(putPrefix) {
		if _, err := conn.Write([]byte{b}); err != nil {
			break
		}
		select {
		case <-closed:
			return
		case <-ctx.Done():
			return
		case <-time.After(dripInterval):
		}
	}
	<-closed
}

// sendFaultyInputs ends with its connection.
func sendFaultyInputs(conn net.Conn, first int) {
	for i := first; ; i++ {
		if _, err := io.WriteString(conn, faultyInputs[i%len(faultyInputs)]); err != nil {
			return
		}
	}
}
