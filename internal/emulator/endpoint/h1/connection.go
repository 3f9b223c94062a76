package h1

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"troutusher/internal/emulator/endpoint"
)

const (
	callPath        = "/v1/messages"
	healthCheckPath = "/health/live"
	maxHeaderBytes  = 16 << 10
	maxBodyBytes    = 64 << 10
	maxTimeoutMs    = 1e9
	requestTimeout  = 10 * time.Second // from a request's first byte to its last
)

// connection is a connection of a relay: the stream that requests come on, and the
// socket below it.
type connection struct {
	net.Conn
	tcp       *net.TCPConn
	untrusted bool // over TLS, with an identity that the relay must not accept
}

// CloseWrite ends the direction to the relay.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// serve reads requests from a connection until it ends.
func (s *Server) serve(id endpoint.ConnID, endpointIndex int, conn *connection) {
	defer s.wg.Done()
	if s.handshake(id, endpointIndex, conn) {
		s.readRequests(id, conn)
	}
	s.mu.Lock()
	delete(s.conns, id)
	if s.quit.Err() == nil {
		s.model.CloseConn(s.clock(), id)
		s.applyEffects()
	}
	s.mu.Unlock()
	_ = conn.tcp.Close()
}

func (s *Server) readRequests(id endpoint.ConnID, conn *connection) {
	limit := &io.LimitedReader{R: conn}
	reader := bufio.NewReaderSize(limit, 1024)
	for {
		limit.N = maxHeaderBytes
		if _, err := reader.Peek(1); err != nil {
			return
		}
		// A whole request mostly lies in the buffer already.
		_ = conn.SetReadDeadline(time.Now().Add(requestTimeout)) // fails with the reads below
		s.Update(func(m *endpoint.Model, now endpoint.Time) { m.ReceiveFirstByte(now, id) })
		request, err := http.ReadRequest(reader)
		if err != nil {
			var netErr net.Error
			if !errors.Is(err, io.EOF) && !errors.As(err, &netErr) {
				_, _ = io.WriteString(conn, badRequestResponse) // the connection is closed, whatever comes of it
			}
			return
		}
		if request.ContentLength < 0 || request.ContentLength > maxBodyBytes {
			_, _ = io.WriteString(conn, badRequestResponse)
			return
		}
		limit.N = maxBodyBytes
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Time{})
		if !s.handleRequest(id, conn, request) {
			return
		}
	}
}

// handleRequest hands a request to the model; false ends the connection.
func (s *Server) handleRequest(id endpoint.ConnID, conn *connection, request *http.Request) bool {
	switch {
	case request.Method == http.MethodPost && request.URL.Path == callPath:
		message, key := request.Header.Get("X-Request-ID"), request.Header.Get("Idempotency-Key")
		if conn.untrusted {
			s.Update(func(m *endpoint.Model, now endpoint.Time) { m.ReceiveUntrustedCall(now, id, message) })
			return false
		}
		timeout := callTimeout(request)
		s.Update(func(m *endpoint.Model, now endpoint.Time) { m.ReceiveCall(now, id, message, key, timeout) })
	case request.Method == http.MethodGet && request.URL.Path == healthCheckPath:
		s.Update(func(m *endpoint.Model, now endpoint.Time) { m.ReceiveHealthCheck(now, id) })
	default:
		// A write that fails ends the connection at its next read.
		_, _ = io.WriteString(conn, notFoundResponse)
	}
	return true
}

// callTimeout is the caller's timeout; 0 where the request names none that is valid.
func callTimeout(request *http.Request) endpoint.Time {
	ms, err := strconv.ParseInt(request.Header.Get("X-Timeout-Ms"), 10, 64)
	if err != nil || ms < 0 || ms > maxTimeoutMs {
		return 0
	}
	return ms * 1000
}
