package relay

import (
	"fmt"
	"time"

	"troutusher/internal/handover"
	"troutusher/internal/handover/transfer"
)

const (
	// acquireTimeout is how long a starting process tries to become the owner of the
	// state folder.
	acquireTimeout = transfer.RequestTimeout
	// acquireRetryInterval is the pause between the loss of a predecessor and the
	// next attempt to acquire the lock.
	acquireRetryInterval = 50 * time.Millisecond
)

// incomingHandover makes a starting process the owner of the state folder, either
// from the files alone or with the state that a predecessor hands over. The state
// machine in package handover decides when ownership moves; incomingHandover executes
// its actions.
type incomingHandover struct {
	relay    *Relay
	machine  handover.Incoming
	deadline time.Time // deadline for becoming the owner
	// prepare is called before the predecessor is asked for its state, while the
	// predecessor still serves.
	prepare func()

	inherited   transfer.Inherited
	predecessor *transfer.Predecessor // nil if there is none
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
			return fmt.Errorf("acquire state folder %s: hand-over failed: its owner sent no lock", h.relay.cfg.State)
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
	predecessor, err := transfer.Dial(h.relay.cfg.State, h.deadline)
	if err != nil {
		return h.predecessorLost(err)
	}
	h.predecessor = predecessor
	hitFailpoint(failpointIncomingConnected)
	return h.machine.Step(handover.Connected)
}

func (h *incomingHandover) requestState() handover.IncomingAction {
	h.prepare()
	hitFailpoint(failpointIncomingListReceived)
	onPacket := func() { h.machine.Step(handover.FirstPacketReceived) }
	if err := h.predecessor.Receive(&h.inherited, h.deadline, onPacket); err != nil {
		return h.predecessorLost(err)
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
		return h.predecessorLost(err)
	}
	hitFailpoint(failpointIncomingClaimSent)
	return h.machine.Step(handover.ClaimSent)
}

// predecessorLost records why the predecessor was lost and returns the next action.
func (h *incomingHandover) predecessorLost(err error) handover.IncomingAction {
	h.lostErr = err
	return h.machine.Step(handover.PredecessorLost)
}

// awaitRetry discards what the lost predecessor has sent, including its lock, and
// sleeps until the next attempt. It returns an error if the time is over.
func (h *incomingHandover) awaitRetry() error {
	h.discard()
	if err := h.relay.lock.Release(); err != nil {
		return err
	}
	if !time.Now().Before(h.deadline) {
		return fmt.Errorf("acquire state folder %s: another process owns it and did not hand over within %v: %w",
			h.relay.cfg.State, acquireTimeout, h.lostErr)
	}
	time.Sleep(acquireRetryInterval)
	return nil
}

// confirm tells the predecessor, if there is one, that this process serves, so that
// the predecessor exits.
func (h *incomingHandover) confirm() {
	if h.predecessor == nil {
		return
	}
	h.machine.Step(handover.ReadyToServe)
	hitFailpoint(failpointIncomingServing)
	if err := h.predecessor.SendServing(); err != nil {
		h.relay.log.Warn("hand-over: could not tell the predecessor to exit, it may keep running", "err", err)
	}
	h.predecessor.Close()
	h.predecessor = nil
}

// discard closes the received descriptors that were not used, and the connection to
// the predecessor.
func (h *incomingHandover) discard() {
	h.inherited.Close()
	if h.predecessor != nil {
		h.predecessor.Close()
		h.predecessor = nil
	}
}
