package respserver

import (
	"errors"
	"syscall"

	"troutusher/internal/connlimit"
)

// maxAcceptsPerTurn bounds how many connections of one listener are accepted in
// a row.
const maxAcceptsPerTurn = 64

// acceptPending accepts queued connections as the limiter decides.
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

// acceptFrom accepts connections of one listener. It returns false if nothing is
// to be accepted before acceptRetryAt.
func (s *Server) acceptFrom(l *listener, now connlimit.Time) bool {
	for n := 0; l.mayHaveBacklog && n < maxAcceptsPerTurn; n++ {
		if s.limiter.AtLimit() && !l.hasBacklog() { // no eviction without a new connection
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
			closeFD(fd) // cheaply: a flood must leave time for the others
			continue
		}
		s.addConn(fd, now, l.backlogSince)
	}
	return true
}

func (s *Server) backlogEmptied(l *listener) {
	l.mayHaveBacklog = false
	s.limiter.QueueEmptied()
}

// acceptFailed waits with the next accept. Mostly the process is out of
// descriptors; that does not end the server.
func (s *Server) acceptFailed(err error, now connlimit.Time) {
	if !s.acceptFailing {
		s.options.Logger.Warn("clients: accept", "err", err, "open", s.limiter.InUse())
	}
	s.acceptFailing = true
	s.limiter.OutOfDescriptors(now)
	s.applyCloseActions()
	s.acceptRetryAt = now + s.options.Limits.EvictionWait
}

// acceptBacklog accepts what is queued at the listeners by now, as far as there
// are slots: closing a listener would reset it, maybe under a request.
func (s *Server) acceptBacklog() {
	s.acceptRetryAt = 0
	for again := true; again && s.acceptRetryAt == 0; {
		again = false
		for _, l := range s.listeners {
			if l != nil && !l.closed && l.hasBacklog() {
				l.mayHaveBacklog, again = true, true
			}
		}
		s.acceptPending()
	}
}

// slotFreed reports whether a connection has ended since the queue was left
// waiting.
func (s *Server) slotFreed() bool { return !s.limiter.AtLimit() }

// canAccept reports whether a connection may be accepted at once.
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

// addConn adds an accepted connection; what it has received came after the
// listener's queue was last seen empty.
func (s *Server) addConn(fd int, now, backlogSince connlimit.Time) {
	slot := uint32(s.limiter.Add(now))
	if c := s.register(slot, fd, now, backlogSince); c != nil {
		s.markReady(slot, c)
	}
}
