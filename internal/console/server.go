// Package console serves the operators' commands: a line on a connection, and a
// reply.
//
// It owns the console's sockets, the limits on what its clients may send and hold
// open, and the form of the metrics. It must never wait for the relay's event
// loop: each reply must be at hand at once. It counts nothing.
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
	// maxConns is how many connections may be open at once. The one that has
	// waited for longest without a command makes room.
	maxConns = 12

	readTimeout    = 15 * time.Second // until a command's end
	writeTimeout   = 2 * time.Second
	acceptInterval = 50 * time.Millisecond // after an accept that failed
)

// Server listens for operators.
type Server struct {
	listener net.Listener
	handlers Handlers
	logger   *slog.Logger
	conns    sync.WaitGroup // the goroutines of the connections

	mu       sync.Mutex
	waiting  []net.Conn // without a complete command, the oldest first
	replying int        // connections with a reply under way
}

// Listen opens the console; Serve serves it.
func Listen(addr string, handlers Handlers, logger *slog.Logger) (*Server, error) {
	config := net.ListenConfig{KeepAlive: -1}
	listener, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	return &Server{listener: listener, handlers: handlers, logger: logger}, nil
}

// Addr returns the address that the console listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Serve accepts connections until Close. It returns once all of them have ended.
func (s *Server) Serve() {
	defer s.conns.Wait()
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors, mostly
			s.logger.Warn("console: accept", "err", err)
			time.Sleep(acceptInterval)
			continue
		}
		if !s.admit(conn) {
			_ = conn.Close() // rejected
			continue
		}
		s.conns.Add(1)
		go s.serve(conn)
	}
}

// Close closes the console, and the connections that have no command yet; the
// others end with their reply.
func (s *Server) Close() {
	_ = s.listener.Close() // it is closed in any case
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.waiting {
		_ = conn.Close() // its goroutine sees that
	}
}

// admit adds a connection, if need be in place of the one that has waited for
// longest. It returns false if all of them have a reply under way.
func (s *Server) admit(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting)+s.replying >= maxConns {
		if len(s.waiting) == 0 {
			return false
		}
		_ = s.waiting[0].Close() // its goroutine sees that
		s.waiting = slices.Delete(s.waiting, 0, 1)
	}
	s.waiting = append(s.waiting, conn)
	return true
}

// stopWaiting takes a connection out of those that wait for a command; it returns
// false if it was closed to make room. replying tells that its reply follows.
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

func (s *Server) replyDone() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replying--
}

// serve reads one command and writes its reply.
func (s *Server) serve(conn net.Conn) {
	defer s.conns.Done()
	defer func() { _ = conn.Close() }() // after the reply nothing is left to lose
	var buffer [maxLineBytes]byte
	line, complete, err := readLine(conn, buffer[:])
	replying := complete || errors.Is(err, errLineTooLong)
	if !s.stopWaiting(conn, replying) || !replying {
		return // it made room, has left, or took too long
	}
	defer s.replyDone()
	reply := []byte(lineTooLongReply)
	if complete {
		reply = s.handlers.Execute(line)
	}
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // it fails on a broken connection, as the write does
	_, _ = conn.Write(reply)                                // a client that has left gets no reply
}

// readLine reads up to the end of the first line. Without one, err tells whether
// it is too long, or that no more can be read.
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
