package relay

import (
	"errors"
	"slices"
	"time"

	"troutusher/internal/core"
	"troutusher/internal/handover/transfer"
	"troutusher/internal/upstream"
)

const (
	// clientQuiesceTimeout bounds the wait for the replies to client requests.
	clientQuiesceTimeout = time.Second
	// callQuiesceTimeout bounds the wait for calls whose response has begun.
	callQuiesceTimeout = 600 * time.Millisecond
	// callCancelTimeout bounds the wait for the calls that are cancelled after that.
	callCancelTimeout = 200 * time.Millisecond
)

var (
	errRequestsUnanswered = errors.New("timed out waiting for the replies to client requests")
	errCallsNotSuspended  = errors.New("timed out waiting for cancelled calls to end")
)

// quiesce prepares the process for a hand-over. Once it returns nil, every client
// request has its reply, no request to an endpoint is being written, and all records
// are written to the write-ahead log.
func (r *Relay) quiesce() error {
	r.stateSaver.pause() // from here on only the successor may write the file
	if !r.pauseClients() {
		return errRequestsUnanswered
	}
	hitFailpoint(failpointOutgoingRequestsAnswered)
	r.core.BeginHandover()
	r.wal.Flush() // calls that were logged before BeginHandover have started after this
	if !r.suspendCalls() {
		return errCallsNotSuspended
	}
	r.notices.Pause()
	r.processInbox()
	r.wal.Flush()
	return nil
}

// pauseClients stops reading from clients, and reports whether all requests that were
// read got their replies in time.
func (r *Relay) pauseClients() bool {
	paused := make(chan struct{})
	r.clientsPausedAt = monotonicMicros()
	r.clients.server.Pause(func() { close(paused) })
	answered := func() bool { return isClosed(paused) && r.core.UnansweredRequests() == 0 }
	return r.processUntil(answered, clientQuiesceTimeout)
}

// suspendCalls suspends all calls, so that they wait for their responses without
// reading them, and reports whether none is left that is not suspended. Calls over TLS
// can't be suspended, since only this process has their keys, nor can calls whose
// response has begun: they have callQuiesceTimeout to end. Those left are cancelled,
// and their messages may have been processed; their connections are closed before the
// successor receives these messages.
func (r *Relay) suspendCalls() bool {
	r.inFlight.Suspend()
	if r.processUntil(r.inFlight.AllSuspended, callQuiesceTimeout) {
		return true
	}
	r.inFlight.CancelUnsuspended()
	return r.processUntil(r.inFlight.AllSuspended, callCancelTimeout)
}

// exportState returns the state that the successor needs in addition to the clients
// and the write-ahead log, and the calls that the successor resumes. It leaves out
// calls that are not suspended and calls whose connection cannot be handed over.
func (r *Relay) exportState() (*transfer.State, []transfer.Call) {
	exported := r.core.ExportHandover(r.now())
	var calls []transfer.Call
	exported.Calls = slices.DeleteFunc(exported.Calls, func(handoverCall core.HandoverCall) bool {
		call, ok := handoverCall.Call().Handle.(*upstream.Call)
		if !ok {
			return true
		}
		descriptor, ok := call.SuspendedFD()
		if ok {
			calls = append(calls, transfer.Call{Message: handoverCall.Message, Descriptor: descriptor})
		}
		return !ok
	})
	r.reloadsHandedOver = r.reloadsRequested.Load()
	return &transfer.State{
		Core:            exported,
		ClockOrigin:     monotonicMicros() - r.now(),
		ClientsPausedAt: r.clientsPausedAt,
		DiscoveryAddr:   r.discoveryAddr,
		ReloadRequested: r.reloadsHandedOver > 0,
		Draining:        r.lifecycle.exportDrain(),
	}, calls
}

// resumeServing undoes quiesce after a failed hand-over.
func (r *Relay) resumeServing() {
	r.log.Warn("hand-over: failed, this process resumes serving")
	r.notices.Resume()
	r.stateSaver.resume()
	r.inFlight.Resume()
	r.execute(r.core.ResumeSends(r.now(), r.effects[:0]))
	r.clients.server.Resume()
	r.lifecycle.resumeServing()
}

// releaseResources closes or abandons what the successor has taken over.
func (r *Relay) releaseResources() {
	r.lifecycle.completeHandover()
	r.inFlight.Abandon()
	r.stopListSources()
	r.clients.server.Close()
	r.closeLog()
}
