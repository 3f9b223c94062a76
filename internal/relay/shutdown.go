package relay

import (
	"time"

	"troutusher/internal/core"
	"troutusher/internal/msgtrace"
	"troutusher/policy"
)

// lastReplyTimeout bounds the wait for replies to the requests that were read, once
// the time for the shutdown is over.
const lastReplyTimeout = 200 * time.Millisecond

// shutdown executes the steps of a graceful shutdown, each when it is due: it closes
// the listeners, then client connections between requests, and ends the process once
// nothing is left to do or the time for the shutdown is over.
type shutdown struct {
	relay           *Relay
	clientsReleased bool
	listenersClosed bool
	clientsDone     chan struct{} // closed once no client waits for a reply; nil until finishClients
}

// advance executes the steps that are due and reports whether the shutdown is
// complete. It does nothing before a shutdown was requested.
func (s *shutdown) advance() (done bool) {
	r := s.relay
	elapsed, shuttingDown := r.core.ShuttingDown(r.now())
	if !shuttingDown {
		return false
	}
	if !s.listenersClosed && !r.core.AcceptsConnections(r.now()) {
		s.listenersClosed = true
		hitFailpoint(failpointListenersClosing)
		r.clients.server.CloseListeners()
	}
	if s.listenersClosed && !s.clientsReleased && !r.core.KeepsClientConnections(r.now()) {
		s.clientsReleased = true
		hitFailpoint(failpointClientsReleased)
		r.lifecycle.stop()
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

// finishClients lets the RESP server continue to read until no request is in progress.
// Without that, requests that it had read when the process ended would get no reply.
func (s *shutdown) finishClients() {
	done := make(chan struct{})
	s.clientsDone = done
	s.relay.clients.server.Shutdown(func() {
		close(done)
		s.relay.inbox.Put(loopInput{})
	})
}

// idle reports whether nothing is left to do: every request has its reply, no call is
// in flight, and no pending message could still be sent.
func (s *shutdown) idle(elapsed policy.Time) bool {
	c := s.relay.core
	return isClosed(s.clientsDone) && c.UnansweredRequests() == 0 && c.OpenCalls() == 0 &&
		(c.HeldMessages() == 0 || elapsed >= core.StopSendsAfter)
}

// answerLastRequests stops reading from clients, possibly in the middle of a command,
// and waits up to lastReplyTimeout for the replies to the requests that were read.
func (s *shutdown) answerLastRequests() {
	r := s.relay
	paused := make(chan struct{})
	r.clients.server.Pause(func() { close(paused) })
	r.processUntil(func() bool { return isClosed(paused) && r.core.UnansweredRequests() == 0 }, lastReplyTimeout)
}

// isClosed reports whether c, on which no values are sent, is closed. A nil channel is
// not closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
