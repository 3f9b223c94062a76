package respserver

import (
	"errors"
	"time"
)

// A paused server accepts, reads and closes nothing, but still replies to the requests that it has
// read. Its state can then be exported to another process, which continues each connection at the
// byte where this one stopped. The server keeps its own descriptors of the connections until Close.

// Pause makes the server stop reading after the current command. onPaused is called on the event
// loop once no request awaits its reply.
func (s *Server) Pause(onPaused func()) {
	s.runOnLoop(func() {
		s.paused, s.onPaused = true, onPaused
		s.forEachConn(func(slot uint32, c *conn) {
			// End the delays of error replies now: they have to be sent by this process.
			if c.mode == modeDelayingError {
				s.timers.Cancel(slot)
				s.writeDelayedError(slot, c)
			}
		})
	})
}

// Resume makes a paused server continue.
func (s *Server) Resume() { s.runOnLoop(func() { s.paused, s.onPaused = false, nil }) }

// pausedTurn is one turn of the event loop of a paused server. It records events but reads nothing.
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

// checkPaused calls onPaused once no request awaits its reply.
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
