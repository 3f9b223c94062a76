package handover

// Incoming is the side of the process that starts. Its zero value has not looked yet
// whether another process owns the work.
type Incoming struct{ state incomingState }

type incomingState uint8

const (
	incomingTryingLock   incomingState = iota // is there an owner?
	incomingRequesting                        // there is: it is asked for the work
	incomingReceiving                         // it sends its state
	incomingAdoptingLock                      // all has come
	incomingClaiming                          // the lock is held, and that is being said
	incomingOwner                             // this process may write and send
	incomingServing                           // and answers clients
	incomingFailed
)

// IncomingEvent is what happens to the incoming side.
type IncomingEvent uint8

// Events of the incoming side.
const (
	LockAcquired        IncomingEvent = iota + 1 // the lock was free
	LockHeld                                     // another process holds it
	Connected                                    // the predecessor answers
	FirstPacketReceived                          // the first part of its state has come
	AllReceived                                  // all of it has
	LockAdopted                                  // the lock is held
	ClaimSent                                    // the claim has gone out
	ReadyToServe                                 // clients can be served
	PredecessorLost                              // the connection broke
	TimedOut                                     // the time for the step is over
)

// IncomingAction is what the incoming side is to do.
type IncomingAction uint8

// Actions of the incoming side.
const (
	IncomingNoAction IncomingAction = iota
	StartFromLog                    // recover from the log: there is no other process
	Connect                         // connect to the predecessor
	RequestState                    // ask it for the work
	AdoptLock                       // take the lock over, which came with its state
	SendClaim                       // say that the work is this process's own
	TakeOver                        // recover from what has come, and the log
	SendServing                     // say that this process serves
	RetryLock                       // try the lock again: the predecessor is gone
	Abort                           // end: there is a predecessor, and it cannot hand over
)

// Step takes in one event.
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
	case PredecessorLost: // also with the lock at hand: it takes the claim to move the work
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
		// The predecessor may have taken the work back the moment before. Nothing
		// was begun here, and this side gives up its part in the lock.
		i.state = incomingTryingLock
		return RetryLock
	}
	return IncomingNoAction
}

// IsOwner reports whether the incoming side may write and send.
func (i *Incoming) IsOwner() bool { return i.state == incomingOwner || i.state == incomingServing }
