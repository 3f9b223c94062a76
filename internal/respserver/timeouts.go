package respserver

import (
	"errors"

	"troutusher/internal/connlimit"
)

// overloadRetryAfterMillis is the retry delay in the reply to a command that was rejected for lack of
// memory or slots.
const overloadRetryAfterMillis = 500

var errCommandTimeout = errors.New("command not finished in time")

// expireTimers handles the server's own timers that have expired. It reports whether there may be
// more, in which case it has to be called again.
func (s *Server) expireTimers(now connlimit.Time) (more bool) {
	s.expired, more = s.timers.Advance(now, maxTimersPerTurn, s.expired[:0])
	for _, slot := range s.expired {
		c := s.connAt(slot)
		switch {
		case c.fd <= 0:
		case c.mode == modeDelayingError:
			s.writeDelayedError(slot, c)
		default: // the client has not read its reply in time, or the connection has lingered long enough
			s.closeConn(slot, c)
		}
		s.applyCloseActions()
	}
	return more
}

// applyCloseActions applies the limiter's close actions until there are none left.
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
			case connlimit.CloseEvictCommand:
				s.evictCommand(slot, c)
			default:
				s.closeUnlessReadable(slot, c)
			}
		}
	}
}

// closeUnlessReadable closes a connection, unless it has unread input: then the command is read and
// replied to first.
func (s *Server) closeUnlessReadable(slot uint32, c *conn) {
	c.draining = true
	if c.mode != modeReading || c.reader != nil {
		return // a command is in progress; the limiter asks for the close again after its reply
	}
	if c.awaitingMemory {
		s.rejectCommand(slot, c)
		return
	}
	if !c.readable { // input may have arrived that the poller has not reported yet
		c.readable, c.receivedAt = true, s.now()
	}
	if !s.readConn(slot, c) || c.fd <= 0 {
		if c.fd > 0 {
			s.closeConn(slot, c)
		}
		return
	}
	if c.mode == modeReading {
		s.markReady(slot, c) // maybe with part of a command; the limiter's timeout bounds the wait for the rest
	}
}

// timeoutCommand replies with an error to a command that was not finished in time, and closes the
// connection.
func (s *Server) timeoutCommand(slot uint32, c *conn) {
	if !s.abandonCommand(slot, c) {
		return
	}
	if c.awaitingMemory {
		s.rejectCommand(slot, c)
		return
	}
	s.replyError(slot, c, errCommandTimeout, true)
}

// evictCommand rejects a command that was begun and closes its connection, whose slot is needed.
func (s *Server) evictCommand(slot uint32, c *conn) {
	c.draining = true
	if s.abandonCommand(slot, c) {
		s.rejectCommand(slot, c)
	}
}

// abandonCommand frees the memory of a command that is not complete. It returns false if the command turns
// out to be complete, or the connection is closed.
func (s *Server) abandonCommand(slot uint32, c *conn) bool {
	if c.mode == modeReading && (c.readable || c.hasUnprocessed()) && !c.awaitingMemory {
		// The rest of the command may have arrived and be waiting for the connection's turn.
		if s.readConn(slot, c); c.fd <= 0 || c.mode != modeReading || c.reader == nil {
			return false
		}
	}
	if c.mode != modeReading {
		return false
	}
	c.dropUnprocessed()
	if c.reader != nil {
		s.releaseReader(c)
	}
	return true
}

// rejectCommand rejects a command that the server has no memory or no slot for, and closes the connection.
func (s *Server) rejectCommand(slot uint32, c *conn) {
	c.closeAfterWrite = true
	s.write(slot, c, BusyReply(overloadRetryAfterMillis))
}
