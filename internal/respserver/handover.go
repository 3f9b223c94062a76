package respserver

import (
	"slices"
	"syscall"

	"troutusher/internal/connlimit"
)

// ConnSnapshot is the state of a client's connection that another process needs to continue it, between
// two commands or in the middle of one.
type ConnSnapshot struct {
	FD          int                `json:"-"`
	Unprocessed []byte             `json:"ahead,omitempty"` // input that was read and not replied to
	Unwritten   []byte             `json:"out,omitempty"`   // the rest of a reply, to be written before anything else
	Slot        connlimit.Snapshot `json:"place"`
}

// Export returns the listeners and connections of a paused server, or nil if the server has ended.
// It leaves out connections that are being closed, and connections in the middle of a command that
// has an argument over the size limit, since the bytes of such a command are not kept. It returns at
// most maxConns connections: those with a command or a reply in progress come first, then those that
// have made a request, then those that have sent any valid command, then the others.
func (s *Server) Export(maxConns int) (listenerFDs []int, conns []ConnSnapshot) {
	finished := make(chan struct{})
	s.runOnLoop(func() {
		defer close(finished)
		for _, l := range s.listeners {
			if !l.closed {
				listenerFDs = append(listenerFDs, l.fd)
			}
		}
		now := s.now()
		s.forEachConn(func(slot uint32, c *conn) {
			if snapshot, ok := s.snapshot(slot, c, now); ok {
				conns = append(conns, snapshot)
			}
		})
	})
	select {
	case <-finished:
		slices.SortStableFunc(conns, func(a, b ConnSnapshot) int { return a.handoverPriority() - b.handoverPriority() })
		return listenerFDs, conns[:min(len(conns), max(maxConns, 0))]
	case <-s.done:
		return nil, nil
	}
}

// snapshot returns the state of a connection, if another process can continue it.
func (s *Server) snapshot(slot uint32, c *conn, now connlimit.Time) (snapshot ConnSnapshot, ok bool) {
	id := connlimit.SlotID(slot)
	open := c.mode == modeReading || c.mode == modeWriting
	if !open || c.closeAfterWrite || c.peerClosed || s.limiter.State(id) == connlimit.StateDraining {
		return ConnSnapshot{}, false
	}
	snapshot = ConnSnapshot{FD: int(c.fd), Slot: s.limiter.Snapshot(id, now)}
	if c.reader != nil {
		if snapshot.Unprocessed, ok = c.reader.Pending(); !ok {
			return ConnSnapshot{}, false
		}
	}
	if c.buffers != nil {
		snapshot.Unprocessed = append(snapshot.Unprocessed, c.buffers.unprocessed...)
		if c.mode == modeWriting {
			snapshot.Unwritten = c.buffers.unwritten
		}
	}
	return snapshot, true
}

// handoverPriority orders connections for a handover, lowest value first.
func (c *ConnSnapshot) handoverPriority() int {
	switch {
	case len(c.Unprocessed) > 0 || len(c.Unwritten) > 0:
		return 0
	case c.Slot.Requests > 0:
		return 1
	case c.Slot.Validated:
		return 2
	}
	return 3
}

// Import takes over connections of another process's server, with their descriptors. Connections
// beyond the limits are closed. It returns how many were kept. It must be called before Run.
func (s *Server) Import(conns []ConnSnapshot) (kept int) {
	for i := range conns {
		if s.importConn(&conns[i]) {
			kept++
		}
	}
	return kept
}

// importConn takes over one connection. It returns false if it closed the connection instead.
func (s *Server) importConn(snapshot *ConnSnapshot) bool {
	limits := &s.options.Limits
	if s.limiter.InUse() >= limits.MaxConns ||
		!snapshot.Slot.Validated && s.limiter.Unvalidated() >= limits.MaxUnvalidated {
		closeFD(snapshot.FD)
		return false
	}
	now := s.now()
	slot := uint32(s.limiter.Restore(snapshot.Slot, now))
	_ = syscall.SetNonblock(snapshot.FD, true) // it fails only on an invalid descriptor, and then register fails too
	c := s.register(slot, snapshot.FD, now, s.unreadSince())
	if c == nil {
		return false
	}
	if len(snapshot.Unprocessed) > 0 {
		c.keepUnprocessed(snapshot.Unprocessed, false)
		s.accountMemory(c, 0)
	}
	if len(snapshot.Unwritten) > 0 {
		c.mode = modeWriting
		c.ensureBuffers().unwritten = snapshot.Unwritten
		s.timers.Set(slot, now+writeTimeout.Microseconds())
	}
	s.markReady(slot, c)
	return true
}
