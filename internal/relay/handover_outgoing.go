package relay

import (
	"errors"
	"syscall"
	"time"

	"troutusher/internal/config"
	"troutusher/internal/handover"
	"troutusher/internal/handover/link"
	"troutusher/internal/handover/transfer"
)

const (
	// claimTimeout is how long a successor has to say that the work is its own.
	claimTimeout = 700 * time.Millisecond
	// servingTimeout is how long it has from then on to serve.
	servingTimeout = 10 * time.Second
	// lockRetryInterval is how often the lock is tried for while another process
	// may let go of it.
	lockRetryInterval = 5 * time.Millisecond
)

var (
	// errHandoverComplete: another process has the work and serves.
	errHandoverComplete = errors.New("handed over")
	// errRestartFromLog: another process took the work over and died before it
	// served. All that was owed is in the log.
	errRestartFromLog = errors.New("the process that took over is gone: to be started from the log")
	// errNoHandoverAction: the state machine asked for something that no step is
	// there for.
	errNoHandoverAction = errors.New("hand-over: nothing to do")
)

// handoverRequest is another process that is ready to take the work over.
type handoverRequest struct {
	successor *transfer.Successor
	done      chan struct{} // closed once the request was served
}

// acceptHandovers waits for processes that want to take the work over, and has the
// event loop hand it to them, one at a time. It returns once the listener is
// closed or the relay's context ends.
func (r *Relay) acceptHandovers(ln *link.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return // closed
		}
		successor, err := transfer.Accept(conn)
		if err != nil {
			r.log.Warn("hand-over: not begun", "err", err)
			continue
		}
		r.log.Info("hand-over: asked for", "pid", successor.PID)
		request := &handoverRequest{successor: successor, done: make(chan struct{})}
		r.inbox.Put(loopInput{handover: request})
		select {
		case <-request.done:
		case <-r.ctx.Done():
			return
		}
	}
}

// outgoingHandover hands the work to a successor. Package handover says when
// ownership moves; here is what is done at each step.
type outgoingHandover struct {
	relay     *Relay
	machine   handover.Outgoing
	successor *transfer.Successor
	startedAt time.Time
}

// handOver hands the work over; the event loop stands still meanwhile. It returns
// nil where this process goes on as before, errHandoverComplete where nothing is
// left to do, and errRestartFromLog.
func (r *Relay) handOver(request *handoverRequest) error {
	defer func() {
		request.successor.Close()
		close(request.done)
	}()
	h := &outgoingHandover{relay: r, successor: request.successor, startedAt: time.Now()}
	hitFailpoint(failpointOutgoingRequested)
	if !r.lifecycle.startHandover() {
		h.reject()
		return nil
	}
	return h.run()
}

func (h *outgoingHandover) run() error {
	for action := h.machine.Step(handover.HandoverRequested); ; {
		switch action {
		case handover.Quiesce:
			action = h.quiesce()
		case handover.SendState:
			action = h.sendState()
		case handover.ReleaseResources:
			if err := h.releaseResources(); err != nil {
				return err
			}
			action = h.awaitServing()
		case handover.TryLock:
			acquired := h.relay.lock.TryAcquire()
			if !acquired && h.relay.stopRequested() {
				return errHandoverComplete
			}
			action = h.lockTried(acquired)
		case handover.ResumeServing:
			h.relay.resumeServing()
			return nil
		case handover.RestartFromLog:
			return errRestartFromLog // the lock is let go as the relay cleans up
		case handover.Exit:
			h.forwardReload()
			return errHandoverComplete
		default:
			return errNoHandoverAction
		}
	}
}

// reject tells the successor that it cannot have the work. Where that does not
// arrive, its own time runs out.
func (h *outgoingHandover) reject() { _ = h.successor.Reject() }

func (h *outgoingHandover) quiesce() handover.OutgoingAction {
	if err := h.relay.quiesce(); err != nil {
		h.relay.log.Warn("hand-over: not at rest", "err", err)
		h.reject()
		return h.machine.Step(handover.QuiesceTimedOut)
	}
	return h.machine.Step(handover.Quiesced)
}

// sendState sends everything, and waits until the successor claims the work.
func (h *outgoingHandover) sendState() handover.OutgoingAction {
	if err := h.sendPackets(); err != nil {
		h.relay.log.Warn("hand-over: broken", "err", err)
		return h.machine.Step(handover.SuccessorLost)
	}
	hitFailpoint(failpointOutgoingAllSent)
	h.machine.Step(handover.StateSent)
	return h.awaited(handover.OwnershipClaimed, h.successor.AwaitClaim(claimTimeout))
}

// sendPackets sends what the successor needs, the lock last.
func (h *outgoingHandover) sendPackets() error {
	r := h.relay
	h.successor.BeginSending()
	r.pool.CloseIdle()
	state, calls := r.exportState()
	hitFailpoint(failpointOutgoingQuiesced)
	if err := h.successor.SendState(state); err != nil {
		return err
	}
	hitFailpoint(failpointOutgoingStateSent)
	// Both processes have the descriptors for a moment, so what is left of them
	// bounds how many clients go over. The others were idle longest.
	maxClients := r.cfg.Limits.Sockets - 2*config.ReservedDescriptors - 2*len(calls)
	listeners, clients := r.clients.server.Export(maxClients)
	if err := h.successor.SendListeners(listeners); err != nil {
		return err
	}
	hitFailpoint(failpointOutgoingListenersSent)
	if err := h.successor.SendClients(clients); err != nil {
		return err
	}
	hitFailpoint(failpointOutgoingClientsSent)
	if err := h.successor.SendCalls(calls); err != nil {
		return err
	}
	hitFailpoint(failpointOutgoingCallsSent)
	if err := h.successor.SendLock(r.lock.Descriptor()); err != nil {
		return err
	}
	hitFailpoint(failpointOutgoingLockSent)
	r.log.Info("hand-over: sent", "held", r.core.HeldMessages(), "calls", len(calls), "clients", len(clients))
	return h.successor.SendEnd()
}

// releaseResources closes what is the successor's now, the lock last.
func (h *outgoingHandover) releaseResources() error {
	r := h.relay
	r.log.Info("hand-over: it is the other's",
		"took_ms", time.Since(h.startedAt).Milliseconds(), "held", r.core.HeldMessages())
	hitFailpoint(failpointOutgoingClaimed)
	r.releaseResources()
	if err := r.lock.Release(); err != nil {
		return err
	}
	hitFailpoint(failpointOutgoingReleased)
	return nil
}

func (h *outgoingHandover) awaitServing() handover.OutgoingAction {
	return h.awaited(handover.SuccessorServing, h.successor.AwaitServing(servingTimeout))
}

// awaited takes in the packet that was awaited, or that the successor was lost.
func (h *outgoingHandover) awaited(event handover.OutgoingEvent, err error) handover.OutgoingAction {
	if err == nil {
		return h.machine.Step(event)
	}
	if !errors.Is(err, transfer.ErrUnexpectedPacket) {
		h.relay.log.Warn("hand-over: the other process is gone", "err", err)
	}
	return h.machine.Step(handover.SuccessorLost)
}

// lockTried takes in whether the lock could be had again, and pauses where not.
func (h *outgoingHandover) lockTried(acquired bool) handover.OutgoingAction {
	if acquired {
		return h.machine.Step(handover.LockRegained)
	}
	time.Sleep(lockRetryInterval)
	return h.machine.Step(handover.LockUnavailable)
}

// forwardReload has the successor read the configuration again, where that was
// asked of this process after it had told the successor everything.
func (h *outgoingHandover) forwardReload() {
	r := h.relay
	if r.reloadsRequested.Load() <= r.reloadsHandedOver && len(r.reload.Signals) == 0 {
		return
	}
	if err := syscall.Kill(h.successor.PID, syscall.SIGHUP); err != nil {
		r.log.Error("hand-over: the other process is not told to read its configuration again",
			"err", err)
	}
}

// stopRequested reports whether this process is to end.
func (r *Relay) stopRequested() bool { return isClosed(r.stop) }
