package relay

import (
	"time"

	"troutusher/internal/core"
	"troutusher/internal/msgtrace"
	"troutusher/policy"
)

// lastReplyTimeout is how long requests that were read have for their replies, once
// a process is out of time.
const lastReplyTimeout = 200 * time.Millisecond

// shutdown takes the steps of a graceful shutdown, each once it is due: client
// connections are closed between requests, then the listeners; the process ends
// once nothing is left to do, or its time is over.
type shutdown struct {
	relay           *Relay
	clientsReleased bool
	listenersClosed bool
	clientsDone     chan struct{} // closed once no client waits for a reply; nil before both
}

// advance takes the steps that are due and reports whether the process is to end.
// It does nothing before a shutdown was requested.
func (s *shutdown) advance() (done bool) {
	r := s.relay
	elapsed, shuttingDown := r.core.ShuttingDown(r.now())
	if !shuttingDown {
		return false
	}
	if !s.clientsReleased && !r.core.KeepsClientConnections(r.now()) {
		s.clientsReleased = true
		hitFailpoint(failpointClientsReleased)
		r.lifecycle.stop()
	}
	if !s.listenersClosed && elapsed >= core.CloseListenerAfter {
		s.listenersClosed = true
		hitFailpoint(failpointListenersClosing)
		r.clients.server.CloseListeners()
	}
	if s.clientsReleased && s.listenersClosed && s.clientsDone == nil {
		s.finishClients()
	}
	idle := s.idle(elapsed)
	outOfTime := elapsed >= core.AbandonCallsAfter
	if !idle && outOfTime && !isClosed(s.clientsDone) {
		s.answerLastRequests()
	}
	if !idle && !outOfTime {
		return false
	}
	hitFailpoint(failpointProcessEnd)
	r.log.Info(msgtrace.Stopped, "held", r.core.HeldMessages(), "calls", r.core.OpenCalls())
	return true
}

// finishClients has the RESP server read on until nothing is open: a request that
// it had read as the process ended would have no reply.
func (s *shutdown) finishClients() {
	done := make(chan struct{})
	s.clientsDone = done
	s.relay.clients.server.Shutdown(func() {
		close(done)
		s.relay.inbox.Put(loopInput{})
	})
}

// idle reports whether nothing is left to do: every request has its reply, no call
// is out, and no message is held that could still be sent.
func (s *shutdown) idle(elapsed policy.Time) bool {
	c := s.relay.core
	return isClosed(s.clientsDone) && c.UnansweredRequests() == 0 && c.OpenCalls() == 0 &&
		(c.HeldMessages() == 0 || elapsed >= core.StopSendsAfter)
}

// answerLastRequests stops reading, maybe within a command, and waits a moment for
// the replies to what was read.
func (s *shutdown) answerLastRequests() {
	r := s.relay
	paused := make(chan struct{})
	r.clients.server.Pause(func() { close(paused) })
	r.processUntil(func() bool { return isClosed(paused) && r.core.UnansweredRequests() == 0 }, lastReplyTimeout)
}

// isClosed reports whether a channel is closed on which nothing is sent; nil is
// not.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
