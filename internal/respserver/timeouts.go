package respserver

import (
	"errors"

	"troutusher/internal/connlimit"
)

// memoryRetryAfterMillis is when to retry a command that there was no memory
// for.
const memoryRetryAfterMillis = 500

var errCommandTimeout = errors.New("command not finished in time")

// expireTimers does what is due by the server's own timers. It reports whether
// it has to be called again.
func (s *Server) expireTimers(now connlimit.Time) (more bool) {
	s.expired, more = s.timers.Advance(now, maxTimersPerTurn, s.expired[:0])
	for _, slot := range s.expired {
		c := s.connAt(slot)
		switch {
		case c.fd <= 0:
		case c.mode == modeDelayingError:
			s.writeDelayedError(slot, c)
		default: // its client reads no reply, or it has lingered for long enough
			s.closeConn(slot, c)
		}
		s.applyCloseActions()
	}
	return more
}

// applyCloseActions closes the connections that the limiter wants closed.
func (s *Server) applyCloseActions() {
	for {
		actions := s.limiter.TakeCloseActions()
		if len(actions) == 0 {
			return
		}
		for _, action := range append([]connlimit.CloseAction(nil), actions...) {
			slot := uint32(action.Slot)
			c := s.connAt(slot)
			if c.fd <= 0 {
				continue
			}
			switch action.Reason {
			case connlimit.CloseEvictInvalid:
				s.closeConn(slot, c)
			case connlimit.CloseCommandTimeout:
				s.timeoutCommand(slot, c)
			default:
				s.closeUnlessReadable(slot, c)
			}
		}
	}
}

// closeUnlessReadable closes a connection, unless input has come on it by now:
// that is replied to first.
func (s *Server) closeUnlessReadable(slot uint32, c *conn) {
	c.draining = true
	if c.mode != modeReading || c.reader != nil {
		return // a command crossed; after its reply the limiter asks for the close again
	}
	if c.awaitingMemory {
		s.rejectForMemory(slot, c)
		return
	}
	if !c.readable { // whatever the poller has told so far
		c.readable, c.receivedAt = true, s.now()
	}
	if !s.readConn(slot, c) || c.fd <= 0 {
		if c.fd > 0 {
			s.closeConn(slot, c)
		}
		return
	}
	if c.mode == modeReading {
		s.markReady(slot, c) // part of a command, maybe: the rest has its timeout
	}
}

// timeoutCommand ends a connection whose command was not finished in time.
func (s *Server) timeoutCommand(slot uint32, c *conn) {
	if c.mode == modeReading && (c.readable || c.hasUnprocessed()) && !c.awaitingMemory {
		// It may be complete, and only not have had its turn.
		if s.readConn(slot, c); c.fd <= 0 || c.mode != modeReading || c.reader == nil {
			return
		}
	}
	if c.mode != modeReading {
		return
	}
	c.dropUnprocessed()
	if c.reader != nil {
		s.releaseReader(c)
	}
	if c.awaitingMemory {
		s.rejectForMemory(slot, c)
		return
	}
	s.replyError(slot, c, errCommandTimeout, true)
}

// rejectForMemory rejects a command that could not be read in time for want of
// memory.
func (s *Server) rejectForMemory(slot uint32, c *conn) {
	c.closeAfterWrite = true
	s.write(slot, c, BusyReply(memoryRetryAfterMillis))
}
