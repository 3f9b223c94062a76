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
