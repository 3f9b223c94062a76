// Package console serves the operators' commands. A client sends one command line on a connection and
// gets one reply.
//
// The package owns the console's sockets, the limits on what its clients may send and on how many may
// connect, and the format of the metrics. The metrics are counted elsewhere. Commands do not wait for
// the relay's event loop, so that the console answers even when the event loop is busy.
package console

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	// maxConns is how many connections may be open at once. To admit another one, the server closes
	// the connection that has been open longest without sending a command.
	maxConns = 12

	readTimeout      = 15 * time.Second // from a connection's start to the end of its command
	writeTimeout     = 2 * time.Second
	acceptRetryDelay = 50 * time.Millisecond // pause after a failed accept
)

// Server accepts the console's connections, reads a command from each and replies to it.
type Server struct {
	listener net.Listener
	handlers Handlers
	logger   *slog.Logger
	conns    sync.WaitGroup // the goroutines of the connections

	mu       sync.Mutex
	waiting  []net.Conn // connections without a complete command, oldest first
	replying int        // number of connections whose reply is in progress
}

// Listen opens the console's listener. Serve accepts its connections.
func Listen(addr string, handlers Handlers, logger *slog.Logger) (*Server, error) {
	config := net.ListenConfig{KeepAlive: -1}
	listener, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for console connections: %w", err)
	}
	return &Server{listener: listener, handlers: handlers, logger: logger}, nil
}

// Addr returns the address that the console listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Serve accepts and serves connections until Close. It returns once all of them have ended.
func (s *Server) Serve() {
	defer s.conns.Wait()
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // usually no free file descriptor
			s.logger.Warn("console connection could not be accepted; accepting is paused briefly", "err", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !s.admit(conn) {
			_ = conn.Close() // too many connections
			continue
		}
		s.conns.Add(1)
		go s.serve(conn)
	}
}

// Close closes the listener and all connections that have not sent a complete command. The other
// connections end after their reply.
func (s *Server) Close() {
	_ = s.listener.Close() // the socket is closed even if this returns an error
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.waiting {
		_ = conn.Close() // its goroutine gets a read error and ends
	}
}

// admit adds a connection. If there are maxConns already, it closes the one that has waited longest
// without a command. It returns false if there is none, because all have a reply in progress.
func (s *Server) admit(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting)+s.replying >= maxConns {
		if len(s.waiting) == 0 {
			return false
		}
		_ = s.waiting[0].Close() // its goroutine gets a read error and ends
		s.waiting = slices.Delete(s.waiting, 0, 1)
	}
	s.waiting = append(s.waiting, conn)
	return true
}

// stopWaiting removes a connection from those that wait for a command. It returns false if the
// connection was closed to admit another one. replying means that its reply follows.
func (s *Server) stopWaiting(conn net.Conn, replying bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.Index(s.waiting, conn)
	if i < 0 {
		return false
	}
	s.waiting = slices.Delete(s.waiting, i, i+1)
	if replying {
		s.replying++
	}
	return true
}

// replyDone notes that a connection's reply has ended.
func (s *Server) replyDone() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replying--
}

// serve reads one command and writes its reply.
func (s *Server) serve(conn net.Conn) {
	defer s.conns.Done()
	defer func() { _ = conn.Close() }() // the reply is written by then, so that an error loses nothing
	var buffer [maxLineBytes]byte
	line, complete, err := readLine(conn, buffer[:])
	replying := complete || errors.Is(err, errLineTooLong)
	if !s.stopWaiting(conn, replying) || !replying {
		return // closed to admit another one, closed by the client, or timed out
	}
	defer s.replyDone()
	reply := []byte(lineTooLongReply)
	if complete {
		reply = s.handlers.Execute(line)
	}
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only if the write fails too
	_, _ = conn.Write(reply)                                // fails if the client has left
}

// readLine reads up to the end of the first line. If complete is false, err is errLineTooLong or the
// error that ended the reading.
func readLine(conn net.Conn, buffer []byte) (line []byte, complete bool, err error) {
	if err := conn.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
		return nil, false, err
	}
	for size := 0; ; {
		n, readErr := conn.Read(buffer[size:])
		size += n
		line, complete, err := firstLine(buffer[:size])
		if complete || err != nil {
			return line, complete, err
		}
		if readErr != nil {
			return nil, false, readErr
		}
	}
}
