package respserver

import (
	"time"

	"troutusher/internal/connlimit"
)

// shutdownGrace is how long a shutdown waits for the first input of a new connection: what a client
// sends right after connecting arrives a moment later.
const shutdownGrace = 50 * time.Millisecond

// CloseIdleConns closes all connections that have no request in progress, and closes every other
// connection after its reply. It stays in effect until KeepIdleConns is called.
func (s *Server) CloseIdleConns() { s.runOnLoop(func() { s.limiter.Shutdown(s.now()) }) }

// KeepIdleConns ends the effect of CloseIdleConns.
func (s *Server) KeepIdleConns() { s.runOnLoop(s.limiter.CancelShutdown) }

// Shutdown closes all connections gracefully: requests that were sent by now are replied to, and each
// connection is closed between requests. onDone is called on the event loop once every request that
// was read has its reply. From then on the server accepts and reads nothing, so that it reads no
// request whose reply Close would cut off.
func (s *Server) Shutdown(onDone func()) {
	s.runOnLoop(func() {
		s.onShutdown = onDone
		s.limiter.Shutdown(s.now())
	})
}

// checkShutdown pauses the server and calls onShutdown once nothing is in progress.
func (s *Server) checkShutdown(now connlimit.Time) {
	if s.inProgress(now) {
		return
	}
	onDone := s.onShutdown
	s.paused, s.onShutdown = true, nil
	onDone()
}

// inProgress reports whether there is anything left to accept, read or reply to.
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
		unvalidated := s.limiter.State(connlimit.SlotID(slot)) == connlimit.StateUnvalidated
		isNew := unvalidated && now-c.readyAt < shutdownGrace.Microseconds()
		inProgress = inProgress || isNew || c.mode != modeReading || c.reader != nil
	})
	return inProgress
}

// Close ends the server, closes all its connections and waits until Run has returned.
func (s *Server) Close() {
	s.runOnLoop(func() { s.closed = true })
	<-s.done
}

// teardown closes all sockets and the poller. Requests without a reply get none.
func (s *Server) teardown() {
	s.closeListenerSockets()
	s.forEachConn(s.closeConn)
	s.poller.close()
}
