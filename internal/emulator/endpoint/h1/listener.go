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

// relayListener is where one relay reaches one endpoint.
type relayListener struct {
	server          *Server
	endpoint, relay int
	port            int
	listener        *net.TCPListener
	state           endpoint.ListenerState
	cond            *sync.Cond    // of s.mu: state changed
	backlogConns    []net.Conn    // what keeps a silent listener's queue full
	heldConns       []net.Conn    // accepted while silent
	generation      int           // of state
	backlogFull     chan struct{} // closed once the queue is full
}

// acceptLoop takes connections in until the listener is closed.
func (d *relayListener) acceptLoop(ln *net.TCPListener) {
	defer d.server.wg.Done()
	for {
		c, err := ln.AcceptTCP()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || d.server.quit.Err() != nil {
				return
			}
			select { // out of descriptors, or gone already
			case <-time.After(5 * time.Millisecond):
			case <-d.server.quit.Done():
				return
			}
			continue
		}
		d.server.mu.Lock()
		if d.state == endpoint.Unresponsive {
			d.heldConns = append(d.heldConns, c)
			for d.state == endpoint.Unresponsive && d.server.quit.Err() == nil {
				d.cond.Wait()
			}
			d.server.mu.Unlock()
			continue
		}
		if d.state != endpoint.Accepting || d.server.quit.Err() != nil {
			_ = c.SetLinger(0)
			_ = c.Close()
			d.server.mu.Unlock()
			continue
		}
		id := d.server.model.OpenConn(d.server.clock(), d.endpoint, d.relay)
		l := &connection{Conn: c, tcp: c}
		d.server.conns[id] = l
		d.server.applyEffects()
		d.server.mu.Unlock()
		d.server.wg.Add(1)
		go d.server.serve(id, d.endpoint, l)
	}
}

// setState changes how a door meets new connections. The caller holds mu.
func (d *relayListener) setState(state endpoint.ListenerState) {
	was := d.state
	d.state = state
	d.generation++
	if was == endpoint.Unresponsive {
		for _, c := range d.backlogConns {
			_ = c.Close()
		}
		for _, c := range d.heldConns {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
		d.backlogConns, d.heldConns = nil, nil
		d.setBacklog(128)
		d.cond.Broadcast()
	}
	switch state {
	case endpoint.Refusing:
		if d.listener != nil {
			_ = d.listener.Close()
			d.listener = nil
		}
	case endpoint.Accepting, endpoint.Unresponsive:
		if d.listener == nil {
			d.reopen()
		}
		if state == endpoint.Unresponsive && d.listener != nil {
			d.setBacklog(0)
			d.backlogFull = make(chan struct{})
			d.server.wg.Add(1)
			go d.fillBacklog(d.generation, d.listener.Addr().String(), d.backlogFull)
		}
	}
}

// reopen opens a door again. The caller holds mu.
func (d *relayListener) reopen() {
	end := time.Now().Add(reopenTimeout)
	for {
		ln, err := loopback.Listen(d.port)
		if err == nil {
			d.listener = ln
			d.server.wg.Add(1)
			go d.acceptLoop(ln)
			return
		}
		if time.Now().After(end) {
			d.server.err = errors.Join(
				d.server.err,
				fmt.Errorf("stand-in endpoint %d: open again: %w", d.endpoint, err),
			)
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// setBacklog sets how many connections may come up before they are accepted.
func (d *relayListener) setBacklog(n int) {
	if d.listener == nil {
		return
	}
	if raw, err := d.listener.SyscallConn(); err == nil {
		// It fails on a closed listener alone, which has no backlog.
		_ = raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), n) })
		d.server.err = errors.Join(d.server.err, err)
	}
}

// fillBacklog fills the queue of a silent listener, so that further connections
// never come up, as at a machine that has vanished.
func (d *relayListener) fillBacklog(gen int, addr string, filled chan struct{}) {
	defer d.server.wg.Done()
	defer close(filled)
	dial := net.Dialer{Timeout: backlogDialTimeout}
	for d.server.quit.Err() == nil {
		// The goroutine that accepts takes one more: what was dialled before
		// that says nothing of the queue.
		d.server.mu.Lock()
		settled := len(d.heldConns) > 0
		d.server.mu.Unlock()
		c, err := dial.DialContext(d.server.quit, "tcp4", addr)
		if err != nil && settled {
			return
		}
		if err != nil {
			continue
		}
		d.server.mu.Lock()
		if d.generation != gen {
			d.server.mu.Unlock()
			_ = c.Close()
			return
		}
		d.backlogConns = append(d.backlogConns, c)
		d.server.mu.Unlock()
	}
}

// AwaitUnresponsive waits until no new connection comes up at a silent endpoint.
func (s *Server) AwaitUnresponsive(ep int) {
	for _, d := range s.listeners[ep] {
		s.mu.Lock()
		filled := d.backlogFull
		s.mu.Unlock()
		if filled != nil {
			<-filled
		}
	}
}
