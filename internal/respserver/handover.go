package respserver

import (
	"slices"
	"syscall"

	"troutusher/internal/connlimit"
)

// ConnSnapshot is a client's connection, between commands or in the middle of
// one, for another process.
type ConnSnapshot struct {
	FD          int                `json:"-"`
	Unprocessed []byte             `json:"ahead,omitempty"` // read, and not replied to
	Unwritten   []byte             `json:"out,omitempty"`   // the rest of a reply, to be written first
	Slot        connlimit.Snapshot `json:"place"`
}

// Export returns the listeners and connections of a paused server; nil once it
// has ended. Connections that are being closed are left out, and those whose
// command is too long to be kept. Of the rest there are maxConns at most: first
// those with a command in progress, then those that have made a request.
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

// snapshot returns the state of a connection, if it can go on elsewhere.
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

// handoverPriority orders connections for a handover; the lowest goes first.
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

// Import takes over connections of another process's server, with their
// descriptors. It has to be called before Run. It returns how many were kept.
func (s *Server) Import(conns []ConnSnapshot) (kept int) {
	for i := range conns {
		if s.importConn(&conns[i]) {
			kept++
		}
	}
	return kept
}

func (s *Server) importConn(snapshot *ConnSnapshot) bool {
	limits := &s.options.Limits
	if s.limiter.InUse() >= limits.MaxConns ||
		!snapshot.Slot.Validated && s.limiter.Unvalidated() >= limits.MaxUnvalidated {
		closeFD(snapshot.FD)
		return false
	}
	now := s.now()
	slot := uint32(s.limiter.Restore(snapshot.Slot, now))
	_ = syscall.SetNonblock(snapshot.FD, true) // it fails only for what is no descriptor, and then so does register
	c := s.register(slot, snapshot.FD, now, s.unreadSince())
	if c == nil {
		return false
	}
	if len(snapshot.Unprocessed) > 0 {
		c.ensureBuffers().unprocessed = snapshot.Unprocessed
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
