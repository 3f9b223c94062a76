// Package h1 serves the endpoint emulator over HTTP/1.1 (RFC 9112) on loopback. It
// owns listeners, connections and the clock, reports requests to the model and
// carries out its effects. It must never decide on a response, nor listen on an
// address that another machine can reach. Each connection has a goroutine that reads;
// responses are written by the goroutine that advances the model, so that thousands
// of calls in service need no goroutines.
package h1

import (
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"troutusher/internal/emulator/endpoint"
	"troutusher/internal/emulator/loopback"
)

const (
	// writeTimeout is short, since responses fit the socket's buffer.
	writeTimeout = 20 * time.Millisecond
	// noTimerWait is how long the timer goroutine sleeps while no timer is set.
	noTimerWait = time.Hour
	// maxTimerLag is the highest timer lag that is recorded, in µs.
	maxTimerLag = 60_000_000
)

// Server drives a model over sockets.
type Server struct {
	clock func() endpoint.Time
	wake  chan struct{} // wakes the timer goroutine
	wg    sync.WaitGroup
	quit  context.Context
	stop  context.CancelFunc

	mu        sync.Mutex // guards all below, and the model
	model     *endpoint.Model
	nextWake  endpoint.Time // when the timer goroutine wakes by itself; 0 for never
	conns     map[endpoint.ConnID]*connection
	identity  func(endpointIndex int) *TLSIdentity // nil without TLS
	listeners [][]*relayListener                   // by endpoint and relay
	effects   []endpoint.Effect
	timerLag  *hdrhistogram.Histogram // in µs
	err       error
}

// New starts listeners for a model's endpoints, one for each relay. From then on the
// model must be used through Update alone.
func New(model *endpoint.Model, relays int, clock func() endpoint.Time) (*Server, error) {
	s := &Server{
		clock:    clock,
		wake:     make(chan struct{}, 1),
		model:    model,
		conns:    map[endpoint.ConnID]*connection{},
		timerLag: hdrhistogram.New(1, maxTimerLag, 2),
	}
	s.quit, s.stop = context.WithCancel(context.Background())
	for endpointIndex := range model.Endpoints() {
		var byRelay []*relayListener
		for relay := range relays {
			l, err := newRelayListener(s, endpointIndex, relay)
			if err != nil {
				s.Close()
				return nil, fmt.Errorf("stand-in endpoint: %w", err)
			}
			byRelay = append(byRelay, l)
		}
		s.listeners = append(s.listeners, byRelay)
	}
	for _, byRelay := range s.listeners {
		for _, l := range byRelay {
			s.wg.Add(1)
			go l.acceptLoop(l.listener)
		}
	}
	s.wg.Add(1)
	go s.runTimers()
	return s, nil
}

// Addr is the address at which a relay reaches an endpoint.
func (s *Server) Addr(endpointIndex, relay int) string {
	return net.JoinHostPort(loopback.Host(), strconv.Itoa(s.listeners[endpointIndex][relay].port))
}

// Update changes the model, such as by a fault, and carries out the effects.
func (s *Server) Update(change func(m *endpoint.Model, now endpoint.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.model, s.clock())
	s.applyEffects()
}

// TimerLag is how late the model's timers ran, in µs, at a quantile from 0 to 100. The
// error is that of a listener that could not be reopened, if any.
func (s *Server) TimerLag(quantile float64) (endpoint.Time, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.timerLag.ValueAtQuantile(quantile), s.err
}

// ConnCount is the number of open connections.
func (s *Server) ConnCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Close closes all listeners and connections and waits for the goroutines.
func (s *Server) Close() {
	s.stop()
	s.mu.Lock()
	for _, byRelay := range s.listeners {
		for _, l := range byRelay {
			l.close()
		}
	}
	for _, conn := range s.conns {
		_ = conn.tcp.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// runTimers advances the model whenever a timer is due.
func (s *Server) runTimers() {
	defer s.wg.Done()
	timer := time.NewTimer(noTimerWait)
	defer timer.Stop()
	for {
		timer.Reset(s.runDueTimers())
		select {
		case <-s.quit.Done():
			return
		case <-s.wake:
		case <-timer.C:
		}
	}
}

// runDueTimers runs what is due and returns the time until the next timer.
func (s *Server) runDueTimers() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	for {
		next, ok := s.model.NextTimer()
		if !ok || next > now {
			break
		}
		_ = s.timerLag.RecordValue(max(now-next, 1)) // a lag above the maximum is left out
		s.model.Advance(next)
	}
	s.applyEffects()
	next, ok := s.model.NextTimer()
	if !ok {
		s.nextWake = 0
		return noTimerWait
	}
	s.nextWake = next
	return time.Duration(max(next-s.clock(), 0)) * time.Microsecond
}

// applyEffects carries out the model's effects, in their order, and wakes the timer
// goroutine where a timer is due earlier than it wakes by itself. The caller holds mu.
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

func (s *Server) applyEffect(effect *endpoint.Effect) {
	if effect.Kind == endpoint.SetListener {
		for _, l := range s.listeners[effect.Endpoint] {
			l.setState(effect.Listener)
		}
		return
	}
	conn := s.conns[effect.Conn]
	if conn == nil {
		return
	}
	switch effect.Kind {
	case endpoint.WriteResponse:
		s.writeResponse(conn, effect)
	case endpoint.ResetConn:
		_ = conn.tcp.SetLinger(0)
		_ = conn.tcp.Close()
	case endpoint.ShutConn:
		_ = conn.tcp.Close()
	}
}

func (s *Server) writeResponse(conn *connection, response *endpoint.Effect) {
	if response.Defect == endpoint.EndlessHeader && response.Status != 200 {
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			writeEndlessHeader(conn)
		}()
		return
	}
	// A few hundred bytes fit the socket's buffer; a peer that never reads is owed no
	// more. Its connection may be closed by now.
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = io.WriteString(conn, responseText(response))
	if response.Close {
		_ = conn.CloseWrite()
	}
}
