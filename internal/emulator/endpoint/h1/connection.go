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

// connection is a connection from a relay. Conn is the stream that carries the requests; tcp is the
// socket below it.
type connection struct {
	net.Conn
	tcp       *net.TCPConn
	untrusted bool // uses TLS, with an identity that the relay should have rejected
}

// CloseWrite closes the direction towards the relay, if the stream supports that.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// serve performs the TLS handshake, if any, and reads requests from a connection until it ends.
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

// readRequests reads requests from a connection and passes them to the model. It returns when the
// connection has ended or must be closed, for example because a request is malformed or too long.
func (s *Server) readRequests(id endpoint.ConnID, conn *connection) {
	limit := &io.LimitedReader{R: conn}
	reader := bufio.NewReaderSize(limit, 1024)
	for {
		limit.N = maxHeaderBytes
		if _, err := reader.Peek(1); err != nil {
			return
		}
		// Usually the whole request is in the buffer already.
		_ = conn.SetReadDeadline(time.Now().Add(requestTimeout)) // fails with the reads below
		s.Update(func(m *endpoint.Model, now endpoint.Time) { m.ReceiveFirstByte(now, id) })
		request, err := http.ReadRequest(reader)
		if err != nil {
			var netErr net.Error
			if !errors.Is(err, io.EOF) && !errors.As(err, &netErr) {
				_, _ = io.WriteString(conn, badRequestResponse) // best effort: the connection is closed anyway
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

// handleRequest passes a request to the model. It returns false if the connection must be closed.
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
		// If the write fails, the next read fails as well and ends the connection.
		_, _ = io.WriteString(conn, notFoundResponse)
	}
	return true
}

// callTimeout returns the caller's timeout, or 0 if the request states no valid one.
func callTimeout(request *http.Request) endpoint.Time {
	ms, err := strconv.ParseInt(request.Header.Get("X-Timeout-Ms"), 10, 64)
	if err != nil || ms < 0 || ms > maxTimeoutMs {
		return 0
	}
	return ms * 1000
}
