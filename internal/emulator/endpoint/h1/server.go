// Package h1 connects the model of partners to HTTP/1.1 on loopback (RFC 9112):
// listeners, connections and moments. It must never decide what a partner
// answers, nor listen on an address that another machine can reach. A
// connection costs a goroutine that reads; answers are written from the
// agenda's one goroutine, so thousands of calls in service cost none.
package h1

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
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

const badRequest = "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

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

// Show is what an endpoint shows of itself over TLS, from a moment on.
type Show struct {
	Config  *tls.Config
	Delay   time.Duration // what a handshake takes longer
	Reset   bool          // connections are reset in the middle of the handshake
	Trusted bool          // its proof is one to accept
}

// Secure has endpoints speak TLS where show gives something to show. It is called
// before the first connection.
func (s *Server) Secure(show func(ep int) *Show) { s.show = show }

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

const handshakeWait = 10 * time.Second

// secure makes the handshake of a connection; false where none came about.
func (s *Server) secure(id endpoint.Conn, ep int, l *line) bool {
	if s.show == nil {
		return true
	}
	x := s.show(ep)
	if x == nil {
		return true
	}
	if x.Reset {
		// A deadline cannot be set on a closed connection alone, which ends the read too.
		_ = l.tcp.SetDeadline(time.Now().Add(handshakeWait))
		_, _ = l.tcp.Read(make([]byte, 1)) // of the client's first flight
		_ = l.tcp.SetLinger(0)
		return false
	}
	cfg := x.Config.Clone()
	if x.Delay > 0 {
		certs := cfg.Certificates
		cfg.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			select {
			case <-time.After(x.Delay):
			case <-s.quit.Done():
			}
			return &certs[0], nil
		}
	}
	c := tls.Server(l.tcp, cfg)
	_ = l.tcp.SetDeadline(time.Now().Add(handshakeWait)) // fails with the handshake
	err := c.HandshakeContext(s.quit)
	_ = l.tcp.SetDeadline(time.Time{})
	s.Do(func(w *endpoint.World, now endpoint.Time) {
		l.Conn, l.doubted = c, !x.Trusted // read under the lock
		w.Handshake(now, id, err == nil && c.ConnectionState().DidResume)
	})
	return err == nil
}

// door is where one relay reaches one endpoint.
type door struct {
	s         *Server
	ep, relay int
	port      int
	ln        *net.TCPListener
	state     endpoint.Listen
	cond      *sync.Cond    // of s.mu: state changed
	fill      []net.Conn    // what keeps a silent listener's queue full
	held      []net.Conn    // accepted while silent
	gen       int           // of state
	filled    chan struct{} // closed once the queue is full
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

func answer(e *endpoint.Effect) string {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	var b strings.Builder
	switch {
	case e.Status == 200 && e.Form == endpoint.Copy:
		return ok + ok
	case e.Status == 200 && !e.Close:
		return ok
	case e.Form == endpoint.Noise:
		return "\x16\x03\x01\x00\x9e\x01\x00\x00 this is no answer \xff\xfe\x00\r\n\r\n"
	case e.Form == endpoint.Length:
		return "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4000\r\n\r\nshort"
	}
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n", e.Status, http.StatusText(e.Status))
	if e.Status == http.StatusTooManyRequests {
		fmt.Fprintf(&b, "Retry-After: %.3f\r\n", float64(e.Wait)/1e6)
	}
	if e.Slots {
		b.WriteString("Slots-Taken: 1\r\n")
	}
	if e.Close {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	return b.String()
}

// endlessHead writes a head until its reader has had enough of it.
func endlessHead(c net.Conn) {
	line := "X-More: " + strings.Repeat("m", 1000) + "\r\n"
	_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second)) // fails with the writes below
	_, _ = io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\n")
	for n := 0; n < spoiltMost; n += len(line) {
		if _, err := io.WriteString(c, line); err != nil {
			return
		}
	}
}

// accept takes connections in until the listener is closed.
func (d *door) accept(ln *net.TCPListener) {
	defer d.s.wg.Done()
	for {
		c, err := ln.AcceptTCP()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || d.s.quit.Err() != nil {
				return
			}
			select { // out of descriptors, or gone already
			case <-time.After(5 * time.Millisecond):
			case <-d.s.quit.Done():
				return
			}
			continue
		}
		d.s.mu.Lock()
		if d.state == endpoint.Silent {
			d.held = append(d.held, c)
			for d.state == endpoint.Silent && d.s.quit.Err() == nil {
				d.cond.Wait()
			}
			d.s.mu.Unlock()
			continue
		}
		if d.state != endpoint.Accepting || d.s.quit.Err() != nil {
			_ = c.SetLinger(0)
			_ = c.Close()
			d.s.mu.Unlock()
			continue
		}
		id := d.s.world.Open(d.s.clock(), d.ep, d.relay)
		l := &line{Conn: c, tcp: c}
		d.s.conns[id] = l
		d.s.settle()
		d.s.mu.Unlock()
		d.s.wg.Add(1)
		go d.s.serve(id, d.ep, l)
	}
}

// to changes how a door meets new connections. The caller holds mu.
func (d *door) to(state endpoint.Listen) {
	was := d.state
	d.state = state
	d.gen++
	if was == endpoint.Silent {
		for _, c := range d.fill {
			_ = c.Close()
		}
		for _, c := range d.held {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
		d.fill, d.held = nil, nil
		d.backlog(128)
		d.cond.Broadcast()
	}
	switch state {
	case endpoint.Refusing:
		if d.ln != nil {
			_ = d.ln.Close()
			d.ln = nil
		}
	case endpoint.Accepting, endpoint.Silent:
		if d.ln == nil {
			d.rebind()
		}
		if state == endpoint.Silent && d.ln != nil {
			d.backlog(0)
			d.filled = make(chan struct{})
			d.s.wg.Add(1)
			go d.stuff(d.gen, d.ln.Addr().String(), d.filled)
		}
	}
}

// rebind opens a door again. The caller holds mu.
func (d *door) rebind() {
	end := time.Now().Add(rebindWait)
	for {
		ln, err := loopback.Listen(d.port)
		if err == nil {
			d.ln = ln
			d.s.wg.Add(1)
			go d.accept(ln)
			return
		}
		if time.Now().After(end) {
			d.s.err = errors.Join(d.s.err, fmt.Errorf("stand-in endpoint %d: open again: %w", d.ep, err))
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// backlog sets how many connections may come up before they are accepted.
func (d *door) backlog(n int) {
	if d.ln == nil {
		return
	}
	if raw, err := d.ln.SyscallConn(); err == nil {
		// It fails on a closed listener alone, which has no backlog.
		_ = raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), n) })
		d.s.err = errors.Join(d.s.err, err)
	}
}

// stuff fills the queue of a silent listener, so that further connections
// never come up, as at a machine that has vanished.
func (d *door) stuff(gen int, addr string, filled chan struct{}) {
	defer d.s.wg.Done()
	defer close(filled)
	dial := net.Dialer{Timeout: fillWait}
	for d.s.quit.Err() == nil {
		// The goroutine that accepts takes one more: what was dialled before
		// that says nothing of the queue.
		d.s.mu.Lock()
		settled := len(d.held) > 0
		d.s.mu.Unlock()
		c, err := dial.DialContext(d.s.quit, "tcp4", addr)
		if err != nil && settled {
			return
		}
		if err != nil {
			continue
		}
		d.s.mu.Lock()
		if d.gen != gen {
			d.s.mu.Unlock()
			_ = c.Close()
			return
		}
		d.fill = append(d.fill, c)
		d.s.mu.Unlock()
	}
}

// Silenced waits until no new connection comes up at a silent endpoint.
func (s *Server) Silenced(ep int) {
	for _, d := range s.doors[ep] {
		s.mu.Lock()
		filled := d.filled
		s.mu.Unlock()
		if filled != nil {
			<-filled
		}
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
