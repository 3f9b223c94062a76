package h1

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"troutusher/internal/emulator/endpoint"
	"troutusher/internal/emulator/loopback"
)

const (
	acceptRetryDelay   = 5 * time.Millisecond
	reopenTimeout      = 2 * time.Second // for listening again on a port that was closed
	reopenRetryDelay   = 2 * time.Millisecond
	backlogDialTimeout = 150 * time.Millisecond // limit of a dial that finds out whether the backlog is full
	acceptingBacklog   = 128                    // of a listener that is no longer unresponsive
)

// relayListener accepts the connections of one relay to one endpoint. The server's mu guards it.
type relayListener struct {
	server        *Server
	endpointIndex int
	relay         int
	port          int
	listener      *net.TCPListener // nil while connections are refused
	state         endpoint.ListenerState
	stateChanged  *sync.Cond    // uses the server's mu
	generation    int           // number of state changes so far
	backlogConns  []net.Conn    // connections that fill the backlog of an unresponsive listener
	heldConns     []net.Conn    // connections accepted while unresponsive
	backlogFull   chan struct{} // closed once the backlog is full
}

func newRelayListener(s *Server, endpointIndex, relay int) (*relayListener, error) {
	listener, err := loopback.Listen(0)
	if err != nil {
		return nil, err
	}
	return &relayListener{
		server:        s,
		endpointIndex: endpointIndex,
		relay:         relay,
		port:          listener.Addr().(*net.TCPAddr).Port,
		listener:      listener,
		stateChanged:  sync.NewCond(&s.mu),
	}, nil
}

// close closes the listener permanently. The caller holds mu.
func (l *relayListener) close() {
	l.generation++
	if l.listener != nil {
		_ = l.listener.Close()
	}
	for _, conn := range append(l.backlogConns, l.heldConns...) {
		_ = conn.Close()
	}
	l.stateChanged.Broadcast()
}

// acceptLoop accepts connections until the listener is closed.
func (l *relayListener) acceptLoop(listener *net.TCPListener) {
	defer l.server.wg.Done()
	for {
		conn, err := listener.AcceptTCP()
		if err == nil {
			l.handleConn(conn)
			continue
		}
		if errors.Is(err, net.ErrClosed) || l.server.quit.Err() != nil {
			return
		}
		select { // out of file descriptors, or the peer has already closed the connection
		case <-time.After(acceptRetryDelay):
		case <-l.server.quit.Done():
			return
		}
	}
}

// handleConn serves an accepted connection, holds it or resets it, depending on the listener's state.
// It blocks while the listener is unresponsive, so that no further connection is accepted.
func (l *relayListener) handleConn(tcp *net.TCPConn) {
	s := l.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.state == endpoint.Unresponsive {
		l.heldConns = append(l.heldConns, tcp)
		for l.state == endpoint.Unresponsive && s.quit.Err() == nil {
			l.stateChanged.Wait()
		}
		return
	}
	if l.state != endpoint.Accepting || s.quit.Err() != nil {
		_ = tcp.SetLinger(0)
		_ = tcp.Close()
		return
	}
	id := s.model.OpenConn(s.clock(), l.endpointIndex, l.relay)
	conn := &connection{Conn: tcp, tcp: tcp}
	s.conns[id] = conn
	s.applyEffects()
	s.wg.Add(1)
	go s.serve(id, l.endpointIndex, conn)
}

// setState changes how the listener treats new connections. The caller holds mu.
func (l *relayListener) setState(state endpoint.ListenerState) {
	previous := l.state
	l.state = state
	l.generation++
	if previous == endpoint.Unresponsive {
		l.endUnresponsive()
	}
	switch state {
	case endpoint.Refusing:
		if l.listener != nil {
			_ = l.listener.Close()
			l.listener = nil
		}
	case endpoint.Accepting, endpoint.Unresponsive:
		if l.listener == nil {
			l.reopen()
		}
		if state == endpoint.Unresponsive && l.listener != nil {
			l.setBacklog(0)
			l.backlogFull = make(chan struct{})
			l.server.wg.Add(1)
			go l.fillBacklog(l.generation, l.listener.Addr().String(), l.backlogFull)
		}
	}
}

// endUnresponsive closes the connections that were opened while the listener was unresponsive, and
// lets the listener accept again. The caller holds mu.
func (l *relayListener) endUnresponsive() {
	for _, conn := range l.backlogConns {
		_ = conn.Close()
	}
	for _, conn := range l.heldConns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	l.backlogConns, l.heldConns = nil, nil
	l.setBacklog(acceptingBacklog)
	l.stateChanged.Broadcast()
}

// reopen listens on the same port again, and retries for up to reopenTimeout. The caller holds mu.
func (l *relayListener) reopen() {
	deadline := time.Now().Add(reopenTimeout)
	for {
		listener, err := loopback.Listen(l.port)
		if err == nil {
			l.listener = listener
			l.server.wg.Add(1)
			go l.acceptLoop(listener)
			return
		}
		if time.Now().After(deadline) {
			err = fmt.Errorf("reopen listener of endpoint %d on port %d: %w", l.endpointIndex, l.port, err)
			l.server.err = errors.Join(l.server.err, err)
			return
		}
		time.Sleep(reopenRetryDelay)
	}
}

// setBacklog sets how many established connections may wait to be accepted. The caller holds mu.
func (l *relayListener) setBacklog(length int) {
	if l.listener == nil {
		return
	}
	if raw, err := l.listener.SyscallConn(); err == nil {
		// Control fails only on a closed listener, which has no backlog.
		_ = raw.Control(func(descriptor uintptr) { err = syscall.Listen(int(descriptor), length) })
		l.server.err = errors.Join(l.server.err, err)
	}
}

// fillBacklog dials an unresponsive listener until its backlog is full. Further connections are then
// never established, as if the machine were unreachable.
func (l *relayListener) fillBacklog(generation int, addr string, full chan struct{}) {
	s := l.server
	defer s.wg.Done()
	defer close(full)
	dialer := net.Dialer{Timeout: backlogDialTimeout}
	for s.quit.Err() == nil {
		// The accept loop accepts one more connection before it blocks. Only a dial that begins after
		// that and fails shows that the backlog is full.
		s.mu.Lock()
		acceptLoopWaits := len(l.heldConns) > 0
		s.mu.Unlock()
		conn, err := dialer.DialContext(s.quit, "tcp4", addr)
		if err != nil && acceptLoopWaits {
			return
		}
		if err != nil {
			continue
		}
		s.mu.Lock()
		if l.generation != generation {
			s.mu.Unlock()
			_ = conn.Close()
			return
		}
		l.backlogConns = append(l.backlogConns, conn)
		s.mu.Unlock()
	}
}

// AwaitUnresponsive waits until an unresponsive endpoint no longer establishes new connections.
func (s *Server) AwaitUnresponsive(endpointIndex int) {
	for _, l := range s.listeners[endpointIndex] {
		s.mu.Lock()
		full := l.backlogFull
		s.mu.Unlock()
		if full != nil {
			<-full
		}
	}
}
