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
	// claimTimeout is how long the successor has to claim ownership once everything
	// was sent.
	claimTimeout = 700 * time.Millisecond
	// servingTimeout is how long the successor has between its claim and its
	// confirmation that it serves.
	servingTimeout = 10 * time.Second
	// lockRetryInterval is the pause between attempts to acquire a lock, or bind an
	// address, that another process is about to release.
	lockRetryInterval = 5 * time.Millisecond
)

var (
	// errHandoverComplete means that this process must exit: another process has
	// taken over.
	errHandoverComplete = errors.New("handed over to another process")
	// errRestartFromLog means that the successor claimed ownership and died before it
	// served. Every undelivered message is in the write-ahead log.
	errRestartFromLog = errors.New("hand-over: successor died before it served, restart from the write-ahead log")
	// errNoHandoverAction means that the state machine returned an action that
	// outgoingHandover.run doesn't implement.
	errNoHandoverAction = errors.New("hand-over: state machine returned no action to execute")
)

// handoverRequest is the request of a successor that is ready to take over.
type handoverRequest struct {
	successor *transfer.Successor
	done      chan struct{} // closed once the hand-over has succeeded or failed
}

// acceptHandovers accepts connections of successors and passes their requests to the
// event loop, one at a time. It returns once the listener is closed or the relay's
// context is cancelled.
func (r *Relay) acceptHandovers(ln *link.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return // the listener is closed
		}
		successor, err := transfer.Accept(conn)
		if err != nil {
			r.log.Warn("hand-over: request of a successor failed, this process keeps serving", "err", err)
			continue
		}
		r.log.Info("hand-over: requested by a successor", "pid", successor.PID)
		request := &handoverRequest{successor: successor, done: make(chan struct{})}
		r.inbox.Put(loopInput{handover: request})
		select {
		case <-request.done:
		case <-r.ctx.Done():
			return
		}
	}
}

// outgoingHandover hands over to a successor. The state machine in package handover
// decides when ownership moves; outgoingHandover executes its actions.
type outgoingHandover struct {
	relay     *Relay
	machine   handover.Outgoing
	successor *transfer.Successor
	startedAt time.Time
}

// handOver hands over to a successor; the event loop is blocked until it returns. It
// returns nil if this process continues to serve, errHandoverComplete if it has to
// exit, errRestartFromLog if it has to recover from the write-ahead log, and any
// other error if the relay cannot continue.
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
			action = h.stepAfterLockAttempt(acquired)
		case handover.ResumeServing:
			h.relay.resumeServing()
			return nil
		case handover.RestartFromLog:
			return errRestartFromLog // cleanUp releases the lock
		case handover.Exit:
			h.forwardReload()
			return errHandoverComplete
		default:
			return errNoHandoverAction
		}
	}
}

// reject tells the successor that this process does not hand over. The error is
// ignored: a successor that doesn't receive the rejection times out.
func (h *outgoingHandover) reject() { _ = h.successor.Reject() }

func (h *outgoingHandover) quiesce() handover.OutgoingAction {
	if err := h.relay.quiesce(); err != nil {
		h.relay.log.Warn("hand-over: could not quiesce in time, rejecting the successor", "err", err)
		h.reject()
		return h.machine.Step(handover.QuiesceTimedOut)
	}
	return h.machine.Step(handover.Quiesced)
}

// sendState sends all packets and waits until the successor claims ownership.
func (h *outgoingHandover) sendState() handover.OutgoingAction {
	if err := h.sendPackets(); err != nil {
		h.relay.log.Warn("hand-over: sending the state failed, giving up the hand-over", "err", err)
		return h.machine.Step(handover.SuccessorLost)
	}
	hitFailpoint(failpointOutgoingAllSent)
	h.machine.Step(handover.StateSent)
	return h.stepAfterWait(handover.OwnershipClaimed, h.successor.AwaitClaim(claimTimeout))
}

// sendPackets sends everything that the successor needs. The lock goes last, so that
// the successor can become the owner only once it has the rest.
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
	// During the transfer both processes have each descriptor open, so the
	// descriptor limit bounds how many clients can be handed over. Export prefers
	// those with a command in progress, then those that have made requests.
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
	r.log.Info("hand-over: state sent, waiting for the successor to claim ownership",
		"held", r.core.HeldMessages(), "calls", len(calls), "clients", len(clients))
	return h.successor.SendEnd()
}

// releaseResources closes what the successor has taken over, the lock last.
func (h *outgoingHandover) releaseResources() error {
	r := h.relay
	r.log.Info("hand-over: successor claimed ownership, this process releases its resources",
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
	return h.stepAfterWait(handover.SuccessorServing, h.successor.AwaitServing(servingTimeout))
}

// stepAfterWait returns the next action after a wait for a packet: for event if the packet
// arrived, and for the loss of the successor if the wait failed with err.
func (h *outgoingHandover) stepAfterWait(event handover.OutgoingEvent, err error) handover.OutgoingAction {
	if err == nil {
		return h.machine.Step(event)
	}
	if !errors.Is(err, transfer.ErrUnexpectedPacket) {
		h.relay.log.Warn("hand-over: successor exited or timed out, trying to acquire the lock again", "err", err)
	}
	return h.machine.Step(handover.SuccessorLost)
}

// stepAfterLockAttempt returns the next action after an attempt to acquire the lock. After a
// failed attempt it sleeps first.
func (h *outgoingHandover) stepAfterLockAttempt(acquired bool) handover.OutgoingAction {
	if acquired {
		return h.machine.Step(handover.LockRegained)
	}
	time.Sleep(lockRetryInterval)
	return h.machine.Step(handover.LockUnavailable)
}

// forwardReload sends SIGHUP to the successor if this process received a reload
// request after it had sent its state, which the successor therefore doesn't know of.
func (h *outgoingHandover) forwardReload() {
	r := h.relay
	if r.reloadsRequested.Load() <= r.reloadsHandedOver && len(r.reload.Signals) == 0 {
		return
	}
	if err := syscall.Kill(h.successor.PID, syscall.SIGHUP); err != nil {
		r.log.Error("hand-over: forwarding SIGHUP failed, the successor does not reload its configuration", "err", err)
	}
}

// stopRequested reports whether this process was asked to shut down.
func (r *Relay) stopRequested() bool { return isClosed(r.stop) }
