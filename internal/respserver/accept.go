package respserver

import (
	"errors"
	"syscall"

	"troutusher/internal/connlimit"
)

// maxAcceptsPerTurn bounds how many connections of one listener are accepted in one turn of the
// event loop.
const maxAcceptsPerTurn = 64

// acceptPending handles the connections in the listen queues: for each one the limiter decides
// whether it is accepted, left in the queue or rejected.
func (s *Server) acceptPending() {
	now := s.now()
	if s.acceptRetryAt != 0 && now < s.acceptRetryAt && !s.slotFreed() {
		return
	}
	s.acceptRetryAt = 0
	for _, l := range s.listeners {
		if !s.acceptFrom(l, now) {
			return
		}
	}
}

// acceptFrom accepts connections of one listener. For each it asks the limiter for a decision: it
// evicts another connection and asks again, waits, accepts, or accepts and closes at once. It returns
// false if the server must not accept anything, from any listener, before acceptRetryAt.
func (s *Server) acceptFrom(l *listener, now connlimit.Time) bool {
	for n := 0; l.mayHaveBacklog && n < maxAcceptsPerTurn; n++ {
		if s.limiter.AtLimit() && !l.hasBacklog() { // evict only for a connection that is really queued
			s.backlogEmptied(l)
			break
		}
		decision, until := s.limiter.Decide(now)
		switch decision {
		case connlimit.Evict:
			s.applyCloseActions()
			continue
		case connlimit.Wait:
			s.acceptRetryAt = until
			return false
		}
		fd, err := s.accept(l.fd)
		if errors.Is(err, syscall.EAGAIN) {
			s.backlogEmptied(l)
			break
		}
		if err != nil {
			s.acceptFailed(err, now)
			return false
		}
		s.acceptFailing = false
		if decision == connlimit.Reject {
			closeFD(fd) // no reply: rejecting a flood must leave processor time for the admitted clients
			continue
		}
		s.addConn(fd, now, l.backlogSince)
	}
	return true
}

// backlogEmptied notes that no connection is queued at a listener.
func (s *Server) backlogEmptied(l *listener) {
	l.mayHaveBacklog = false
	s.limiter.QueueEmptied()
}

// acceptFailed postpones the next accept by EvictionWait after a failed one. The usual cause is that
// the process has no free file descriptor; the server must survive that.
func (s *Server) acceptFailed(err error, now connlimit.Time) {
	if !s.acceptFailing {
		s.options.Logger.Warn("client connection could not be accepted; accepting is paused briefly",
			"err", err, "open", s.limiter.InUse())
	}
	s.acceptFailing = true
	s.limiter.OutOfDescriptors(now)
	s.applyCloseActions()
	s.acceptRetryAt = now + s.options.Limits.EvictionWait
}

// acceptBacklog accepts the connections that are queued at the listeners now, as far as slots are
// free. It is called before the listeners are closed: closing a listener resets the connections
// in its queue, some of which may already have sent a request.
func (s *Server) acceptBacklog() {
	s.acceptRetryAt = 0
	for found := true; found && s.acceptRetryAt == 0; {
		found = false
		for _, l := range s.listeners {
			if l != nil && !l.closed && l.hasBacklog() {
				l.mayHaveBacklog, found = true, true
			}
		}
		s.acceptPending()
	}
}

// slotFreed reports whether a slot has become free since the limiter decided that the listen queue
// has to wait.
func (s *Server) slotFreed() bool { return !s.limiter.AtLimit() }

// canAccept reports whether the server should try to accept a connection without waiting for an
// event.
func (s *Server) canAccept() bool {
	if s.acceptRetryAt != 0 {
		return false
	}
	for _, l := range s.listeners {
		if l.mayHaveBacklog {
			return true
		}
	}
	return false
}

// addConn adds an accepted connection. backlogSince is when its listener's queue was first seen
// non-empty; the connection's input counts as received then.
func (s *Server) addConn(fd int, now, backlogSince connlimit.Time) {
	slot := uint32(s.limiter.Add(now))
	if c := s.register(slot, fd, now, backlogSince); c != nil {
		s.markReady(slot, c)
	}
}
