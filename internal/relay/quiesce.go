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
	// clientQuiesceTimeout is how long requests have to be answered.
	clientQuiesceTimeout = time.Second
	// callQuiesceTimeout is how long calls whose response has begun have to end.
	callQuiesceTimeout = 600 * time.Millisecond
	// callCancelTimeout is how long calls that are cancelled then have to end.
	callCancelTimeout = 200 * time.Millisecond
)

var (
	errRequestsUnanswered = errors.New("requests of clients have no answer")
	errCallsNotSuspended  = errors.New("calls do not come to rest")
)

// quiesce brings everything to rest for a hand-over: every request is answered, no
// call is on its way to its endpoint, and the log is written.
func (r *Relay) quiesce() error {
	r.stateSaver.pause() // the file is the successor's from here on
	if !r.pauseClients() {
		return errRequestsUnanswered
	}
	hitFailpoint(failpointOutgoingRequestsAnswered)
	r.core.BeginHandover()
	r.wal.Flush() // calls that were logged by now are out
	if !r.suspendCalls() {
		return errCallsNotSuspended
	}
	r.notices.Pause()
	r.processInbox()
	r.wal.Flush()
	return nil
}

// pauseClients stops reading from clients, and reports whether all that was read
// has its reply in time.
func (r *Relay) pauseClients() bool {
	paused := make(chan struct{})
	r.clientsPausedAt = monotonicMicros()
	r.clients.server.Pause(func() { close(paused) })
	answered := func() bool { return isClosed(paused) && r.core.UnansweredRequests() == 0 }
	return r.processUntil(answered, clientQuiesceTimeout)
}

// suspendCalls has all calls wait for their responses without reading, and reports
// whether they do in time. A call over TLS, whose keys are in this process alone,
// and one whose response has begun may end until then. Those left are cancelled
// and may have run; their connections are closed before the successor hears of
// their messages.
func (r *Relay) suspendCalls() bool {
	r.inFlight.Suspend()
	if r.processUntil(r.inFlight.AllSuspended, callQuiesceTimeout) {
		return true
	}
	r.inFlight.CancelUnsuspended()
	return r.processUntil(r.inFlight.AllSuspended, callCancelTimeout)
}

// exportState is what the successor needs beside clients and the log, and the calls
// that it goes on with. A call whose response is still awaited here, or whose
// connection cannot be handed over, is left out.
func (r *Relay) exportState() (*transfer.State, []transfer.Call) {
	exported := r.core.ExportHandover(r.now())
	var calls []transfer.Call
	exported.Calls = slices.DeleteFunc(exported.Calls, func(open core.HandoverCall) bool {
		call, ok := open.Call().Handle.(*upstream.Call)
		if !ok {
			return true
		}
		descriptor, ok := call.SuspendedFD()
		if ok {
			calls = append(calls, transfer.Call{Message: open.Message, Descriptor: descriptor})
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
	}, calls
}

// resumeServing undoes quiesce after a hand-over that came to nothing.
func (r *Relay) resumeServing() {
	r.log.Warn("hand-over: came to nothing, this process serves on")
	r.notices.Resume()
	r.stateSaver.resume()
	r.inFlight.Resume()
	r.execute(r.core.ResumeSends(r.now(), r.effects[:0]))
	r.clients.server.Resume()
	r.lifecycle.resumeServing()
}

// releaseResources closes what the successor has now.
func (r *Relay) releaseResources() {
	r.lifecycle.completeHandover()
	r.inFlight.Abandon()
	r.stopListSources()
	r.clients.server.Close()
	r.closeLog()
}
