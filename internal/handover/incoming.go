package handover

// Incoming is the state machine of the process that starts, the successor. Its zero
// value has not tried to acquire the lock yet.
type Incoming struct{ state incomingState }

type incomingState uint8

const (
	incomingTryingLock   incomingState = iota // finding out whether there is an owner
	incomingRequesting                        // requesting the state from the owner
	incomingReceiving                         // receiving the predecessor's state
	incomingAdoptingLock                      // all packets received, adopting the lock
	incomingClaiming                          // holding the lock, sending the claim
	incomingOwner                             // this process is the owner
	incomingServing                           // this process is the owner and serves clients
	incomingFailed
)

// IncomingEvent is an input to Incoming.
type IncomingEvent uint8

// Events of Incoming.
const (
	LockAcquired        IncomingEvent = iota + 1 // the lock was free and is now held
	LockHeld                                     // another process holds the lock
	Connected                                    // the predecessor has accepted the connection
	FirstPacketReceived                          // the first packet of the state was received
	AllReceived                                  // all packets of the state were received
	LockAdopted                                  // the received lock is held
	ClaimSent                                    // the claim was sent
	ReadyToServe                                 // clients can be served
	PredecessorLost                              // the connection to the predecessor failed
	TimedOut                                     // the time for the step is over
)

// IncomingAction is an action that Incoming asks for.
type IncomingAction uint8

// Actions of Incoming.
const (
	IncomingNoAction IncomingAction = iota
	StartFromLog                    // recover from the write-ahead log: there is no predecessor
	Connect                         // connect to the predecessor
	RequestState                    // request the state from the predecessor
	AdoptLock                       // adopt the lock that came with the state
	SendClaim                       // claim ownership
	TakeOver                        // recover from the received state and the write-ahead log
	SendServing                     // tell the predecessor that this process serves
	RetryLock                       // release the lock and try to acquire it again: the predecessor is lost
	Abort                           // give up the start: the predecessor lives and cannot hand over
)

// Step handles one event and returns the action to execute.
func (i *Incoming) Step(event IncomingEvent) IncomingAction {
	switch i.state {
	case incomingTryingLock:
		return i.stepTryingLock(event)
	case incomingRequesting, incomingReceiving, incomingAdoptingLock:
		return i.stepReceiving(event)
	case incomingClaiming:
		return i.stepClaiming(event)
	case incomingOwner:
		if event == ReadyToServe {
			i.state = incomingServing
			return SendServing
		}
	}
	return IncomingNoAction
}

func (i *Incoming) stepTryingLock(event IncomingEvent) IncomingAction {
	switch event {
	case LockAcquired:
		i.state = incomingOwner
		return StartFromLog
	case LockHeld:
		i.state = incomingRequesting
		return Connect
	}
	return IncomingNoAction
}

func (i *Incoming) stepReceiving(event IncomingEvent) IncomingAction {
	switch event {
	case Connected:
		if i.state == incomingRequesting {
			return RequestState
		}
	case FirstPacketReceived:
		i.state = incomingReceiving
	case AllReceived:
		i.state = incomingAdoptingLock
		return AdoptLock
	case LockAdopted:
		if i.state == incomingAdoptingLock {
			i.state = incomingClaiming
			return SendClaim
		}
	case PredecessorLost: // even if the lock was received: without the claim ownership has not moved
		i.state = incomingTryingLock
		return RetryLock
	case TimedOut:
		i.state = incomingFailed
		return Abort
	}
	return IncomingNoAction
}

func (i *Incoming) stepClaiming(event IncomingEvent) IncomingAction {
	switch event {
	case ClaimSent:
		i.state = incomingOwner
		return TakeOver
	case PredecessorLost, TimedOut:
		// The predecessor may have resumed ownership just before. This process has done
		// nothing as an owner so far, so it can release its share of the lock.
		i.state = incomingTryingLock
		return RetryLock
	}
	return IncomingNoAction
}

// IsOwner reports whether this process is the owner.
func (i *Incoming) IsOwner() bool { return i.state == incomingOwner || i.state == incomingServing }
