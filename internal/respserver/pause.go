package respserver

import (
	"errors"
	"time"
)

// A server can be paused: nothing is accepted, read or closed any more, and what
// was read is replied to. Then its state can be exported to another process, which
// goes on at the very byte. Until Close the connections stay this server's too.

// Pause stops the server at the end of the current command. onPaused is called on
// the event loop once no request waits for its reply.
func (s *Server) Pause(onPaused func()) {
	s.runOnLoop(func() {
		s.paused, s.onPaused = true, onPaused
		s.forEachConn(func(slot uint32, c *conn) {
			if c.mode == modeDelayingError { // the delay ends: its client is to hear the error from this process
				s.timers.Cancel(slot)
				s.writeDelayedError(slot, c)
			}
		})
	})
}

// Resume has a paused server go on.
func (s *Server) Resume() { s.runOnLoop(func() { s.paused, s.onPaused = false, nil }) }

// pausedTurn is a turn of the event loop of a paused server: events are noted,
// and nothing is read.
func (s *Server) pausedTurn() error {
	if s.checkPaused(); !s.paused {
		return nil
	}
	events, err := s.poller.wait(time.Now().Add(pausedPollInterval), s.wakePending.Load)
	if err != nil && !errors.Is(err, errWoken) {
		return err
	}
	for i := range events {
		if events[i].Fd != wakeSlot {
			s.handleEvent(s.now(), events[i].Fd, events[i].Events)
		}
	}
	return nil
}

// checkPaused calls onPaused once no request waits for its reply.
func (s *Server) checkPaused() {
	if s.onPaused == nil {
		return
	}
	waiting := false
	s.forEachConn(func(_ uint32, c *conn) { waiting = waiting || c.mode == modeAwaitingReply })
	if !waiting {
		onPaused := s.onPaused
		s.onPaused = nil
		onPaused()
	}
}
