// Package h1 connects the model of partners to HTTP/1.1 on loopback (RFC 9112):
// listeners, connections and moments. It must never decide what a partner
// answers, nor listen on an address that another machine can reach. A
// connection costs a goroutine that reads; answers are written from the
// agenda's one goroutine, so thousands of calls in service cost none.
package h1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"troutusher/internal/emulator/endpoint"
	"troutusher/internal/emulator/loopback"
)

const (
	callPath           = "/v1/messages"
	healthCheckPath    = "/health/live"
	maxHeaderBytes     = 16 << 10
	maxBodyBytes       = 64 << 10
	requestTimeout     = 10 * time.Second // from a request's first byte to its last
	writeTimeout       = 20 * time.Millisecond
	reopenTimeout      = 2 * time.Second // for a port that was closed
	backlogDialTimeout = 150 * time.Millisecond
	endlessHeaderBytes = 128 << 10 // bytes of a head that does not end
)

// Server is the stand-ins' driver.
type Server struct {
	clock func() endpoint.Time
	wake  chan struct{}
	wg    sync.WaitGroup
	quit  context.Context
	stop  context.CancelFunc

	mu        sync.Mutex // guards all below, and the model
	model     *endpoint.Model
	nextWake  endpoint.Time // when the agenda's goroutine wakes; 0 for not before it is woken
	conns     map[endpoint.ConnID]*connection
	identity  func(ep int) *TLSIdentity // nil without TLS
	listeners [][]*relayListener        // by endpoint and relay
	effects   []endpoint.Effect
	timerLag  *hdrhistogram.Histogram // of the agenda, in µs
	err       error
}

// connection is one connection: what is spoken on it, and the socket below.
type connection struct {
	net.Conn
	tcp       *net.TCPConn
	untrusted bool // over TLS, with a proof that must not be accepted
}

// CloseWrite says that nothing more comes.
func (l *connection) CloseWrite() error {
	if c, ok := l.Conn.(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return nil
}

// New opens the doors of a model's endpoints, one for each relay. The caller
// must not touch the model any more but through Do.
func New(world *endpoint.Model, relays int, clock func() endpoint.Time) (*Server, error) {
	s := &Server{
		clock: clock, wake: make(chan struct{}, 1), model: world, conns: map[endpoint.ConnID]*connection{},
		timerLag: hdrhistogram.New(1, 60_000_000, 2),
	}
	s.quit, s.stop = context.WithCancel(context.Background())
	for ep := range world.Endpoints() {
		var row []*relayListener
		for relay := range relays {
			ln, err := loopback.Listen(0)
			if err != nil {
				s.Close()
				return nil, fmt.Errorf("stand-in endpoint: %w", err)
			}
			d := &relayListener{
				server:   s,
				endpoint: ep,
				relay:    relay,
				listener: ln,
				port:     ln.Addr().(*net.TCPAddr).Port,
				cond:     sync.NewCond(&s.mu),
			}
			row = append(row, d)
		}
		s.listeners = append(s.listeners, row)
	}
	for _, row := range s.listeners {
		for _, d := range row {
			s.wg.Add(1)
			go d.acceptLoop(d.listener)
		}
	}
	s.wg.Add(1)
	go s.runTimers()
	return s, nil
}

// Addr is where a relay reaches an endpoint.
func (s *Server) Addr(ep, relay int) string {
	return net.JoinHostPort(loopback.Host(), strconv.Itoa(s.listeners[ep][relay].port))
}

// Update runs a change of the model, such as a fault that begins.
func (s *Server) Update(change func(w *endpoint.Model, now endpoint.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.model, s.clock())
	s.applyEffects()
}

// TimerLag is how late the agenda was carried out, in µs, at a quantile from 0 to
// 100; and the error of a port that could not be opened again, if any.
func (s *Server) TimerLag(quantile float64) (endpoint.Time, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.timerLag.ValueAtQuantile(quantile), s.err
}

// ConnCount is the number of connections that are open.
func (s *Server) ConnCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Close ends everything.
func (s *Server) Close() {
	s.stop()
	s.mu.Lock()
	for _, row := range s.listeners {
		for _, d := range row {
			d.generation++
			if d.listener != nil {
				_ = d.listener.Close()
			}
			for _, c := range append(d.backlogConns, d.heldConns...) {
				_ = c.Close()
			}
			d.cond.Broadcast()
		}
	}
	for _, c := range s.conns {
		_ = c.tcp.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// runTimers steps the model whenever its agenda says so.
func (s *Server) runTimers() {
	defer s.wg.Done()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		s.mu.Lock()
		now := s.clock()
		for {
			next, ok := s.model.NextTimer()
			if !ok || next > now {
				break
			}
			_ = s.timerLag.RecordValue(max(now-next, 1)) // over a minute is out of range and left out
			s.model.Advance(next)
		}
		s.applyEffects()
		wait := time.Hour
		if s.nextWake = 0; true {
			if next, ok := s.model.NextTimer(); ok {
				s.nextWake = next
				wait = time.Duration(max(next-s.clock(), 0)) * time.Microsecond
			}
		}
		s.mu.Unlock()
		timer.Reset(wait)
		select {
		case <-s.quit.Done():
			return
		case <-s.wake:
		case <-timer.C:
		}
	}
}

// applyEffects carries out what the model asks for. The caller holds mu: effects
// happen in the order in which they were asked for.
func (s *Server) applyEffects() {
	s.effects = s.model.TakeEffects(s.effects[:0])
	for i := range s.effects {
		s.applyEffect(&s.effects[i])
	}
	if next, ok := s.model.NextTimer(); ok && (s.nextWake == 0 || next < s.nextWake) {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

func (s *Server) applyEffect(e *endpoint.Effect) {
	if e.Kind == endpoint.SetListener {
		for _, d := range s.listeners[e.Endpoint] {
			d.setState(e.Listener)
		}
		return
	}
	c := s.conns[e.Conn]
	if c == nil {
		return
	}
	switch e.Kind {
	case endpoint.WriteResponse:
		if e.Defect == endpoint.EndlessHeader && e.Status != 200 {
			s.wg.Add(1)
			go func() { defer s.wg.Done(); writeEndlessHeader(c) }()
			return
		}
		// A few hundred bytes fit the socket's buffer; of a peer that never
		// reads, no more is wanted. Its connection may have gone meanwhile.
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, _ = io.WriteString(c, responseText(e))
		if e.Close {
			_ = c.CloseWrite()
		}
	case endpoint.ResetConn:
		_ = c.tcp.SetLinger(0)
		_ = c.tcp.Close()
	case endpoint.ShutConn:
		_ = c.tcp.Close()
	}
}

// serve reads requests from a connection until it ends.
func (s *Server) serve(id endpoint.ConnID, ep int, c *connection) {
	defer s.wg.Done()
	if s.handshake(id, ep, c) {
		s.readRequests(id, c)
	}
	s.mu.Lock()
	delete(s.conns, id)
	if s.quit.Err() == nil {
		s.model.CloseConn(s.clock(), id)
		s.applyEffects()
	}
	s.mu.Unlock()
	_ = c.tcp.Close()
}

func (s *Server) readRequests(id endpoint.ConnID, c *connection) {
	limit := &io.LimitedReader{R: c}
	in := bufio.NewReaderSize(limit, 1024)
	for {
		limit.N = maxHeaderBytes
		if _, err := in.Peek(1); err != nil {
			return
		}
		// A whole request mostly lies in the buffer already.
		_ = c.SetReadDeadline(time.Now().Add(requestTimeout)) // fails with the reads below
		s.Update(func(w *endpoint.Model, now endpoint.Time) { w.ReceiveFirstByte(now, id) })
		req, err := http.ReadRequest(in)
		if err != nil {
			var netErr net.Error
			if !errors.Is(err, io.EOF) && !errors.As(err, &netErr) {
				_, _ = io.WriteString(c, badRequestResponse) // the connection is closed, whatever comes of it
			}
			return
		}
		if req.ContentLength < 0 || req.ContentLength > maxBodyBytes {
			_, _ = io.WriteString(c, badRequestResponse)
			return
		}
		limit.N = maxBodyBytes
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		switch {
		case req.Method == http.MethodPost && req.URL.Path == callPath:
			ms, err := strconv.ParseInt(req.Header.Get("X-Timeout-Ms"), 10, 64)
			if err != nil || ms < 0 || ms > 1e9 {
				ms = 0
			}
			message, key := req.Header.Get("X-Request-ID"), req.Header.Get("Idempotency-Key")
			if c.untrusted {
				s.Update(func(w *endpoint.Model, now endpoint.Time) { w.ReceiveUntrustedCall(now, id, message) })
				return
			}
			s.Update(func(w *endpoint.Model, now endpoint.Time) { w.ReceiveCall(now, id, message, key, ms*1000) })
		case req.Method == http.MethodGet && req.URL.Path == healthCheckPath:
			s.Update(func(w *endpoint.Model, now endpoint.Time) { w.ReceiveHealthCheck(now, id) })
		default:
			// A write that fails ends the connection at its next read.
			_, _ = io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		}
	}
}
