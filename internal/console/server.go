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
	MaxLineBytes = 256              // bytes of a call, with its end
	MaxConns     = 12               // callers at once; the one that has said nothing for longest makes room
	readTimeout  = 15 * time.Second // for a call's end
	writeTimeout = 2 * time.Second  // for a caller to read
)

// Handlers are what may be called. Each must return at once.
type Handlers struct {
	Ready   func() (yes bool, why string)
	Drain   func() (yes bool, why string)
	Undrain func() (yes bool, why string)
	Stats   func(to []byte) []byte // appends the figures, a line each
}

// Execute is what a call is answered, whole.
func (c *Handlers) Execute(line []byte) []byte {
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

// ErrLineTooLong is a call that cannot be read.
var ErrLineTooLong = errors.New("call too long")

// FirstLine finds the first whole line of what has come. An error is for good.
func FirstLine(got []byte) (line []byte, whole bool, err error) {
	if i := bytes.IndexByte(got[:min(len(got), MaxLineBytes)], '\n'); i >= 0 {
		return bytes.TrimSuffix(got[:i], []byte{'\r'}), true, nil
	}
	if len(got) >= MaxLineBytes {
		return nil, false, ErrLineTooLong
	}
	return nil, false, nil
}

// Server is one listener for operators.
type Server struct {
	listener net.Listener
	handlers Handlers
	logger   *slog.Logger
	mu       sync.Mutex
	waiting  []net.Conn // still without a whole call, the oldest first
	replying int        // being answered
}

// Listen opens a console; Serve serves it.
func Listen(addr string, calls Handlers, log *slog.Logger) (*Server, error) {
	ln, err := (&net.ListenConfig{KeepAlive: -1}).Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	return &Server{listener: ln, handlers: calls, logger: log}, nil
}

// Addr is where it listens.
func (c *Server) Addr() net.Addr { return c.listener.Addr() }

// Serve answers callers until Close.
func (c *Server) Serve() {
	for {
		conn, err := c.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors, mostly
			c.logger.Warn("console: accept", "err", err)
			time.Sleep(50 * time.Millisecond)
			continue
		}
		if !c.admit(conn) {
			conn.Close()
			continue
		}
		go c.serve(conn)
	}
}

// Close ends the console and all its connections.
func (c *Server) Close() {
	c.listener.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.waiting {
		conn.Close()
	}
}

// admit lets a caller in. Those that have said nothing make room; where all are
// being answered, nobody does.
func (c *Server) admit(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.waiting)+c.replying >= MaxConns {
		if len(c.waiting) == 0 {
			return false
		}
		c.waiting[0].Close() // its goroutine sees that
		c.waiting = slices.Delete(c.waiting, 0, 1)
	}
	c.waiting = append(c.waiting, conn)
	return true
}

// stopWaiting takes a caller from those without a call; false where it was closed.
func (c *Server) stopWaiting(conn net.Conn, answered bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.Index(c.waiting, conn)
	if i < 0 {
		return false
	}
	c.waiting = slices.Delete(c.waiting, i, i+1)
	if answered {
		c.replying++
	}
	return true
}

func (c *Server) serve(conn net.Conn) {
	defer conn.Close()
	conn.SetReadDeadline(time.Now().Add(readTimeout))
	var buf [MaxLineBytes]byte
	for n := 0; ; {
		m, err := conn.Read(buf[n:])
		n += m
		line, whole, bad := FirstLine(buf[:n])
		if !whole && bad == nil && err == nil {
			continue
		}
		if !c.stopWaiting(conn, whole || bad != nil) {
			return
		}
		if !whole && bad == nil {
			return // it left, or took too long
		}
		answer := []byte("NO call too long\n")
		if bad == nil {
			answer = c.handlers.Execute(line)
		}
		conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		conn.Write(answer)
		c.mu.Lock()
		c.replying--
		c.mu.Unlock()
		return
	}
}
