package loadgen

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// FloodKind is a kind of unwanted connections: they occupy a relay and submit no valid
// message.
type FloodKind string

// Kinds of flood. Each opens a number of connections to a relay. All but FloodSilent connect
// again after a connection was closed, until the flood ends.
const (
	FloodSilent       FloodKind = "flood_silent"    // send nothing, and do not reconnect
	FloodReconnecting FloodKind = "flood_returning" // send nothing, and reconnect when they are closed
	FloodPing         FloodKind = "flood_ping"      // send one PING, stay open, and reconnect when they are closed
	FloodSlowWrites   FloodKind = "flood_drip"      // send a command at one byte per second, and reconnect
	FloodMalformed    FloodKind = "flood_faulty"    // send malformed input as fast as the relay reads it, and reconnect
)

const (
	reconnectDelay   = 5 * time.Millisecond // keeps dials that are refused at once from becoming a busy loop
	slowSendInterval = time.Second          // between two bytes of FloodSlowWrites
	floodDialTimeout = time.Second
	pingCommand      = "*1\r\n$4\r\nPING\r\n"
)

// malformedInputs are sent in turn by the connections of FloodMalformed.
var malformedInputs = []string{
	"GET / HTTP/1.1\r\n\r\n",
	"*1\r\n$-9\r\n",
	"*999999999\r\n",
	"*2\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n",
	"*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$1\r\nx\r\n$9\r\nc=nothing\r\n$0\r\n\r\n",
	strings.Repeat("y", 4000),
	"*1\r\n$70000000\r\n" + strings.Repeat("z", 4000),
}

// Flood runs n connections of a kind to the relay at addr until ctx ends. It waits until all
// are closed, and returns how many connections it opened, including those opened again.
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

// keepConnecting runs one connection of a flood, opens it again after it was closed, and
// returns how often it was opened. firstInput is the index in malformedInputs of the first
// input that a connection of FloodMalformed sends.
func keepConnecting(ctx context.Context, kind FloodKind, addr string, firstInput int) (opened int) {
	for input := firstInput; ctx.Err() == nil; input++ {
		if conn, err := floodDial(ctx, addr); err == nil {
			opened++
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			runFloodConnection(ctx, kind, conn, input)
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

// sleep returns after wait, or earlier if ctx ends.
func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// runFloodConnection sends on one connection the input of its kind of flood, if any. It returns
// once the connection is closed.
func runFloodConnection(ctx context.Context, kind FloodKind, conn net.Conn, input int) {
	switch kind {
	case FloodPing:
		_, _ = io.WriteString(conn, pingCommand) // if the relay closed it, the read below ends too
	case FloodSlowWrites:
		sendSlowly(ctx, conn)
		return
	case FloodMalformed:
		go sendMalformedInputs(conn, input)
	}
	_, _ = io.Copy(io.Discard, conn) // returns when the connection is closed
}

// sendSlowly sends a command at one byte per slowSendInterval. It returns once the connection
// is closed or ctx ends.
func sendSlowly(ctx context.Context, conn net.Conn) {
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
		case <-time.After(slowSendInterval):
		}
	}
	<-closed
}

// sendMalformedInputs sends malformedInputs in turn, beginning at index first, until the
// connection is closed.
func sendMalformedInputs(conn net.Conn, first int) {
	for i := first; ; i++ {
		if _, err := io.WriteString(conn, malformedInputs[i%len(malformedInputs)]); err != nil {
			return
		}
	}
}
