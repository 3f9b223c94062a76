package respserver

import (
	"time"

	"troutusher/internal/connlimit"
)

// shutdownGrace is how long a connection that was accepted during a shutdown is
// left open: what a client sends as it connects comes a moment later.
const shutdownGrace = 50 * time.Millisecond

// CloseIdleConns closes the connections that have no request in progress, and
// each of the others after its reply, until KeepIdleConns.
func (s *Server) CloseIdleConns() { s.runOnLoop(func() { s.limiter.Shutdown(s.now()) }) }

// KeepIdleConns ends what CloseIdleConns began.
func (s *Server) KeepIdleConns() { s.runOnLoop(s.limiter.CancelShutdown) }

// Shutdown closes all connections gracefully: what was sent by now is replied to,
// and each connection closes between requests. onDone is called on the event loop
// once nothing that was read is without its reply. From then on nothing is
// accepted or read, so that no request is read that Close would cut off.
func (s *Server) Shutdown(onDone func()) {
	s.runOnLoop(func() {
		s.onShutdown = onDone
		s.limiter.Shutdown(s.now())
	})
}

// checkShutdown pauses a server that shuts down once nothing is in progress.
func (s *Server) checkShutdown(now connlimit.Time) {
	if s.inProgress(now) {
		return
	}
	onDone := s.onShutdown
	s.paused, s.onShutdown = true, nil
	onDone()
}

// inProgress reports whether anything is left to accept, read or reply to.
func (s *Server) inProgress(now connlimit.Time) bool {
	if len(s.readyQueue) > 0 || len(s.memoryWaiters) > 0 {
		return true
	}
	for _, l := range s.listeners {
		if l.mayHaveBacklog {
			return true
		}
	}
	inProgress := false
	s.forEachConn(func(slot uint32, c *conn) {
		silent := s.limiter.State(connlimit.SlotID(slot)) == connlimit.StateUnvalidated
		isNew := silent && now-c.readyAt < shutdownGrace.Microseconds()
		inProgress = inProgress || isNew || c.mode != modeReading || c.reader != nil
	})
	return inProgress
}

// Close closes the server with all its connections. It returns once Run has.
func (s *Server) Close() {
	s.runOnLoop(func() { s.closed = true })
	<-s.done
}

// teardown closes all sockets.
func (s *Server) teardown() {
	s.closeListenerSockets()
	s.forEachConn(s.closeConn)
	s.poller.close()
}
