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
	callPath    = "/v1/messages"
	probePath   = "/health/live"
	headMost    = 16 << 10
	bodyMost    = 64 << 10
	requestWait = 10 * time.Second // from a request's first byte to its last
	answerWait  = 20 * time.Millisecond
	rebindWait  = 2 * time.Second // for a port that was closed
	fillWait    = 150 * time.Millisecond
	spoiltMost  = 128 << 10 // bytes of a head that does not end
)

// Server is the stand-ins' driver.
type Server struct {
	clock func() endpoint.Time
	wake  chan struct{}
	wg    sync.WaitGroup
	quit  context.Context
	stop  context.CancelFunc

	mu    sync.Mutex // guards all below, and the model
	world *endpoint.World
	armed endpoint.Time // when the agenda's goroutine wakes; 0 for not before it is woken
	conns map[endpoint.Conn]*line
	show  func(ep int) *Show // nil without TLS
	doors [][]*door          // by endpoint and relay
	fx    []endpoint.Effect
	late  *hdrhistogram.Histogram // of the agenda, in µs
	err   error
}

// line is one connection: what is spoken on it, and the socket below.
type line struct {
	net.Conn
	tcp     *net.TCPConn
	doubted bool // over TLS, with a proof that must not be accepted
}

// CloseWrite says that nothing more comes.
func (l *line) CloseWrite() error {
	if c, ok := l.Conn.(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return nil
}

// New opens the doors of a model's endpoints, one for each relay. The caller
// must not touch the model any more but through Do.
func New(world *endpoint.World, relays int, clock func() endpoint.Time) (*Server, error) {
	s := &Server{
		clock: clock, wake: make(chan struct{}, 1), world: world, conns: map[endpoint.Conn]*line{},
		late: hdrhistogram.New(1, 60_000_000, 2),
	}
	s.quit, s.stop = context.WithCancel(context.Background())
	for ep := range world.Endpoints() {
		var row []*door
		for relay := range relays {
			ln, err := loopback.Listen(0)
			if err != nil {
				s.Close()
				return nil, fmt.Errorf("stand-in endpoint: %w", err)
			}
			d := &door{
				s: s, ep: ep, relay: relay, ln: ln, port: ln.Addr().(*net.TCPAddr).Port, cond: sync.NewCond(&s.mu),
			}
			row = append(row, d)
		}
		s.doors = append(s.doors, row)
	}
	for _, row := range s.doors {
		for _, d := range row {
			s.wg.Add(1)
			go d.accept(d.ln)
		}
	}
	s.wg.Add(1)
	go s.run()
	return s, nil
}

// Addr is where a relay reaches an endpoint.
func (s *Server) Addr(ep, relay int) string {
	return net.JoinHostPort(loopback.Host(), strconv.Itoa(s.doors[ep][relay].port))
}

// Do runs a change of the model, such as a fault that begins.
func (s *Server) Do(change func(w *endpoint.World, now endpoint.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.world, s.clock())
	s.settle()
}

// Late is how late the agenda was carried out, in µs, at a quantile from 0 to
// 100; and the error of a port that could not be opened again, if any.
func (s *Server) Late(quantile float64) (endpoint.Time, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.late.ValueAtQuantile(quantile), s.err
}

// Conns is the number of connections that are open.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Close ends everything.
func (s *Server) Close() {
	s.stop()
	s.mu.Lock()
	for _, row := range s.doors {
		for _, d := range row {
			d.gen++
			if d.ln != nil {
				_ = d.ln.Close()
			}
			for _, c := range append(d.fill, d.held...) {
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

// run steps the model whenever its agenda says so.
func (s *Server) run() {
	defer s.wg.Done()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		s.mu.Lock()
		now := s.clock()
		for {
			next, ok := s.world.Next()
			if !ok || next > now {
				break
			}
			_ = s.late.RecordValue(max(now-next, 1)) // over a minute is out of range and left out
			s.world.Advance(next)
		}
		s.settle()
		wait := time.Hour
		if s.armed = 0; true {
			if next, ok := s.world.Next(); ok {
				s.armed = next
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

// settle carries out what the model asks for. The caller holds mu: effects
// happen in the order in which they were asked for.
func (s *Server) settle() {
	s.fx = s.world.Take(s.fx[:0])
	for i := range s.fx {
		s.do(&s.fx[i])
	}
	if next, ok := s.world.Next(); ok && (s.armed == 0 || next < s.armed) {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

func (s *Server) do(e *endpoint.Effect) {
	if e.Kind == endpoint.DoListen {
		for _, d := range s.doors[e.Endpoint] {
			d.to(e.Listen)
		}
		return
	}
	c := s.conns[e.Conn]
	if c == nil {
		return
	}
	switch e.Kind {
	case endpoint.DoAnswer:
		if e.Form == endpoint.Head && e.Status != 200 {
			s.wg.Add(1)
			go func() { defer s.wg.Done(); endlessHead(c) }()
			return
		}
		// A few hundred bytes fit the socket's buffer; of a peer that never
		// reads, no more is wanted. Its connection may have gone meanwhile.
		_ = c.SetWriteDeadline(time.Now().Add(answerWait))
		_, _ = io.WriteString(c, answer(e))
		if e.Close {
			_ = c.CloseWrite()
		}
	case endpoint.DoReset:
		_ = c.tcp.SetLinger(0)
		_ = c.tcp.Close()
	case endpoint.DoClose:
		_ = c.tcp.Close()
	}
}

// serve reads requests from a connection until it ends.
func (s *Server) serve(id endpoint.Conn, ep int, c *line) {
	defer s.wg.Done()
	if s.secure(id, ep, c) {
		s.read(id, c)
	}
	s.mu.Lock()
	delete(s.conns, id)
	if s.quit.Err() == nil {
		s.world.Gone(s.clock(), id)
		s.settle()
	}
	s.mu.Unlock()
	_ = c.tcp.Close()
}

func (s *Server) read(id endpoint.Conn, c *line) {
	limit := &io.LimitedReader{R: c}
	in := bufio.NewReaderSize(limit, 1024)
	for {
		limit.N = headMost
		if _, err := in.Peek(1); err != nil {
			return
		}
		// A whole request mostly lies in the buffer already.
		_ = c.SetReadDeadline(time.Now().Add(requestWait)) // fails with the reads below
		s.Do(func(w *endpoint.World, now endpoint.Time) { w.First(now, id) })
		req, err := http.ReadRequest(in)
		if err != nil {
			var netErr net.Error
			if !errors.Is(err, io.EOF) && !errors.As(err, &netErr) {
				_, _ = io.WriteString(c, badRequest) // the connection is closed, whatever comes of it
			}
			return
		}
		if req.ContentLength < 0 || req.ContentLength > bodyMost {
			_, _ = io.WriteString(c, badRequest)
			return
		}
		limit.N = bodyMost
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
			if c.doubted {
				s.Do(func(w *endpoint.World, now endpoint.Time) { w.Untrusted(now, id, message) })
				return
			}
			s.Do(func(w *endpoint.World, now endpoint.Time) { w.Call(now, id, message, key, ms*1000) })
		case req.Method == http.MethodGet && req.URL.Path == probePath:
			s.Do(func(w *endpoint.World, now endpoint.Time) { w.Probe(now, id) })
		default:
			// A write that fails ends the connection at its next read.
			_, _ = io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		}
	}
}
