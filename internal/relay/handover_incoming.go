package relay

import (
	"fmt"
	"time"

	"troutusher/internal/handover"
	"troutusher/internal/handover/transfer"
)

const (
	// acquireTimeout is how long a process that starts tries to become the owner of
	// the state folder.
	acquireTimeout = transfer.RequestTimeout
	// acquireRetryInterval is the pause after a predecessor was lost.
	acquireRetryInterval = 50 * time.Millisecond
)

// incomingHandover makes a process that starts the owner of the state folder:
// alone, or with what its predecessor hands over. Package handover says when
// ownership moves; here is what is done at each step.
type incomingHandover struct {
	relay   *Relay
	machine handover.Incoming
	end     time.Time
	// prepare is called before the predecessor is asked for its state, and while
	// it still serves.
	prepare func()

	inherited   transfer.Inherited
	predecessor *transfer.Predecessor // nil for none
	lostErr     error                 // why the last predecessor was lost
}

// run returns nil once this process is the owner.
func (h *incomingHandover) run() error {
	for action := h.tryLock(); ; {
		switch action {
		case handover.StartFromLog:
			h.discard()
			return nil
		case handover.Connect:
			action = h.connect()
		case handover.RequestState:
			action = h.requestState()
		case handover.AdoptLock:
			action = h.adoptLock()
		case handover.SendClaim:
			action = h.claim()
		case handover.TakeOver:
			return nil
		case handover.RetryLock:
			if err := h.awaitRetry(); err != nil {
				return err
			}
			action = h.tryLock()
		default:
			h.discard()
			return fmt.Errorf("%s: the process that owns it did not let go in time", h.relay.cfg.State)
		}
	}
}

func (h *incomingHandover) tryLock() handover.IncomingAction {
	if h.relay.lock.TryAcquire() {
		return h.machine.Step(handover.LockAcquired)
	}
	return h.machine.Step(handover.LockHeld)
}

func (h *incomingHandover) connect() handover.IncomingAction {
	predecessor, err := transfer.Dial(h.relay.cfg.State, h.end)
	if err != nil {
		return h.lost(err)
	}
	h.predecessor = predecessor
	hitFailpoint(failpointIncomingConnected)
	return h.machine.Step(handover.Connected)
}

func (h *incomingHandover) requestState() handover.IncomingAction {
	h.prepare()
	hitFailpoint(failpointIncomingListReceived)
	onPacket := func() { h.machine.Step(handover.FirstPacketReceived) }
	if err := h.predecessor.Receive(&h.inherited, h.end, onPacket); err != nil {
		return h.lost(err)
	}
	hitFailpoint(failpointIncomingAllReceived)
	return h.machine.Step(handover.AllReceived)
}

func (h *incomingHandover) adoptLock() handover.IncomingAction {
	if h.inherited.Lock == nil {
		return h.machine.Step(handover.TimedOut)
	}
	h.relay.lock.Adopt(h.inherited.Lock)
	h.inherited.Lock = nil
	hitFailpoint(failpointIncomingLockAdopted)
	return h.machine.Step(handover.LockAdopted)
}

func (h *incomingHandover) claim() handover.IncomingAction {
	if err := h.predecessor.SendClaim(); err != nil {
		return h.lost(err)
	}
	hitFailpoint(failpointIncomingClaimSent)
	return h.machine.Step(handover.ClaimSent)
}

// lost is told that the predecessor is gone.
func (h *incomingHandover) lost(err error) handover.IncomingAction {
	h.lostErr = err
	return h.machine.Step(handover.PredecessorLost)
}

// awaitRetry gives up what a predecessor that is gone has sent, and pauses.
func (h *incomingHandover) awaitRetry() error {
	h.discard()
	if err := h.relay.lock.Release(); err != nil {
		return err
	}
	if !time.Now().Before(h.end) {
		return fmt.Errorf("%s: another process owns it and does not hand over: %w", h.relay.cfg.State, h.lostErr)
	}
	time.Sleep(acquireRetryInterval)
	return nil
}

// confirm tells the predecessor that this process serves, so that it may end.
func (h *incomingHandover) confirm() {
	if h.predecessor == nil {
		return
	}
	h.machine.Step(handover.ReadyToServe)
	hitFailpoint(failpointIncomingServing)
	if err := h.predecessor.SendServing(); err != nil {
		h.relay.log.Warn("hand-over: the process before did not hear that it may end", "err", err)
	}
	h.predecessor.Close()
	h.predecessor = nil
}

// discard closes what came and was not used, and the connection.
func (h *incomingHandover) discard() {
	h.inherited.Close()
	if h.predecessor != nil {
		h.predecessor.Close()
		h.predecessor = nil
	}
}
