// Package console serves the operators' calls: a line on a connection, and an
// answer.
//
// It owns the console's sockets, the bounds on what callers may send, hold and
// leave half said, and the form of figures. It must never wait for the relay's
// loop: what it is told to answer must be had at once. It counts nothing.
package console

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

// Bounds.
const (
	LineMost  = 256              // bytes of a call, with its end
	ConnsMost = 12               // callers at once; the one that has said nothing for longest makes room
	lineWait  = 15 * time.Second // for a call's end
	writeWait = 2 * time.Second  // for a caller to read
)

// Calls are what may be called. Each must return at once.
type Calls struct {
	Ready   func() (yes bool, why string)
	Drain   func() (yes bool, why string)
	Undrain func() (yes bool, why string)
	Stats   func(to []byte) []byte // appends the figures, a line each
}

// Answer is what a call is answered, whole.
func (c *Calls) Answer(line []byte) []byte {
	word := strings.ToUpper(string(bytes.TrimSpace(line)))
	var do func() (bool, string)
	switch word {
	case "READY":
		do = c.Ready
	case "DRAIN":
		do = c.Drain
	case "UNDRAIN":
		do = c.Undrain
	case "STATS":
		return append(c.Stats(nil), "END\n"...)
	default:
		return fmt.Appendf(nil, "NO unknown call %.32q, known are READY, STATS, DRAIN, UNDRAIN\n", word)
	}
	yes, why := do()
	if yes {
		return []byte("YES " + why + "\n")
	}
	return []byte("NO " + why + "\n")
}

// ErrLine is a call that cannot be read.
var ErrLine = errors.New("call too long")

// Line finds the first whole line of what has come. An error is for good.
func Line(got []byte) (line []byte, whole bool, err error) {
	if i := bytes.IndexByte(got[:min(len(got), LineMost)], '\n'); i >= 0 {
		return bytes.TrimSuffix(got[:i], []byte{'\r'}), true, nil
	}
	if len(got) >= LineMost {
		return nil, false, ErrLine
	}
	return nil, false, nil
}

// Console is one listener for operators.
type Console struct {
	ln    net.Listener
	calls Calls
	log   *slog.Logger
	mu    sync.Mutex
	open  []net.Conn // still without a whole call, the oldest first
	busy  int        // being answered
}

// Listen opens a console; Serve serves it.
func Listen(addr string, calls Calls, log *slog.Logger) (*Console, error) {
	ln, err := (&net.ListenConfig{KeepAlive: -1}).Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	return &Console{ln: ln, calls: calls, log: log}, nil
}

// Addr is where it listens.
func (c *Console) Addr() net.Addr { return c.ln.Addr() }

// Serve answers callers until Close.
func (c *Console) Serve() {
	for {
		conn, err := c.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors, mostly
			c.log.Warn("console: accept", "err", err)
			time.Sleep(50 * time.Millisecond)
			continue
		}
		if !c.enter(conn) {
			conn.Close()
			continue
		}
		go c.serve(conn)
	}
}

// Close ends the console and all its connections.
func (c *Console) Close() {
	c.ln.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.open {
		conn.Close()
	}
}

// enter lets a caller in. Those that have said nothing make room; where all are
// being answered, nobody does.
func (c *Console) enter(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open)+c.busy >= ConnsMost {
		if len(c.open) == 0 {
			return false
		}
		c.open[0].Close() // its goroutine sees that
		c.open = slices.Delete(c.open, 0, 1)
	}
	c.open = append(c.open, conn)
	return true
}

// leave takes a caller from those without a call; false where it was closed.
func (c *Console) leave(conn net.Conn, answered bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.Index(c.open, conn)
	if i < 0 {
		return false
	}
	c.open = slices.Delete(c.open, i, i+1)
	if answered {
		c.busy++
	}
	return true
}

func (c *Console) serve(conn net.Conn) {
	defer conn.Close()
	conn.SetReadDeadline(time.Now().Add(lineWait))
	var buf [LineMost]byte
	for n := 0; ; {
		m, err := conn.Read(buf[n:])
		n += m
		line, whole, bad := Line(buf[:n])
		if !whole && bad == nil && err == nil {
			continue
		}
		if !c.leave(conn, whole || bad != nil) {
			return
		}
		if !whole && bad == nil {
			return // it left, or took too long
		}
		answer := []byte("NO call too long\n")
		if bad == nil {
			answer = c.calls.Answer(line)
		}
		conn.SetWriteDeadline(time.Now().Add(writeWait))
		conn.Write(answer)
		c.mu.Lock()
		c.busy--
		c.mu.Unlock()
		return
	}
}
