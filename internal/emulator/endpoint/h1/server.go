// Package h1 serves the endpoint emulator over HTTP/1.1 (RFC 9112). It listens on loopback addresses
// only, so that no other machine can reach it. It owns the listeners, the connections and the clock,
// reports requests to the model and carries out the model's effects; only the model decides on
// responses. Each connection has a goroutine that reads requests. The goroutine that advances the
// model writes the responses, so that calls in service, of which there may be thousands, need no
// goroutines of their own.
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
	// writeTimeout is short because a response fits in the socket's send buffer.
	writeTimeout = 20 * time.Millisecond
	// noTimerWait is how long the timer goroutine sleeps while no timer is set.
	noTimerWait = time.Hour
	// maxTimerLag is the largest timer lag that is recorded, in µs.
	maxTimerLag = 60_000_000
)

// Server connects a model to TCP connections and the system clock.
type Server struct {
	clock func() endpoint.Time
	wake  chan struct{} // wakes the timer goroutine
	wg    sync.WaitGroup
	quit  context.Context
	stop  context.CancelFunc

	mu        sync.Mutex // guards the fields below and the model
	model     *endpoint.Model
	nextWake  endpoint.Time // when the timer goroutine wakes next without a signal; 0 for never
	conns     map[endpoint.ConnID]*connection
	identity  func(endpointIndex int) *TLSIdentity // nil without TLS
	listeners [][]*relayListener                   // by endpoint and relay
	effects   []endpoint.Effect
	timerLag  *hdrhistogram.Histogram // in µs
	err       error                   // joined errors of listeners, see TimerLag
}

// New starts a server for a model. Each endpoint gets one listener for each relay. After New, the
// model must only be accessed through Update.
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
				return nil, fmt.Errorf("start listener of endpoint %d for relay %d: %w", endpointIndex, relay, err)
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

// Addr returns the address at which a relay reaches an endpoint.
func (s *Server) Addr(endpointIndex, relay int) string {
	return net.JoinHostPort(loopback.Host(), strconv.Itoa(s.listeners[endpointIndex][relay].port))
}

// Update applies a change to the model, such as the injection of a fault, and carries out the effects.
func (s *Server) Update(change func(m *endpoint.Model, now endpoint.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.model, s.clock())
	s.applyEffects()
}

// TimerLag returns a percentile, from 0 to 100, of how late the model's timers ran, in µs. The error
// joins the errors of listeners that could not be reopened or reconfigured.
func (s *Server) TimerLag(percentile float64) (endpoint.Time, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.timerLag.ValueAtQuantile(percentile), s.err
}

// ConnCount returns the number of open connections.
func (s *Server) ConnCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Close closes all listeners and connections, and waits until the server's goroutines have ended.
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

// runDueTimers runs the timers that are due and returns the time until the next one.
func (s *Server) runDueTimers() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	for {
		next, ok := s.model.NextTimer()
		if !ok || next > now {
			break
		}
		_ = s.timerLag.RecordValue(max(now-next, 1)) // fails for a lag above maxTimerLag, which is left out
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

// applyEffects carries out the model's effects in order. It wakes the timer goroutine if a timer is
// due before that goroutine's next wake-up. The caller holds mu.
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
	// Errors are ignored: the few hundred bytes fit in the socket's send buffer unless the peer never
	// reads, and the connection may already be closed.
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = io.WriteString(conn, responseText(response))
	if response.Close {
		_ = conn.CloseWrite()
	}
}
