package handover

// Outgoing is the state machine of the process that serves and is asked to hand over,
// the predecessor. Its zero value is the owner.
type Outgoing struct{ state outgoingState }

type outgoingState uint8

const (
	outgoingOwner       outgoingState = iota // no hand-over in progress
	outgoingQuiescing                        // hand-over requested, quiescing
	outgoingSending                          // quiesced, sending the state
	outgoingLockShared                       // state and lock sent, waiting for the claim
	outgoingTransferred                      // claim received, waiting until the successor serves
	outgoingFinished                         // the successor serves, this process has to exit
)

// OutgoingEvent is an input to Outgoing.
type OutgoingEvent uint8

// Events of Outgoing.
const (
	HandoverRequested OutgoingEvent = iota + 1 // a successor is ready to take over
	Quiesced                                   // the process is quiesced, and the write-ahead log is written
	QuiesceTimedOut                            // the process could not quiesce in time
	StateSent                                  // the state and a share of the lock were sent
	OwnershipClaimed                           // the successor holds the lock and claims ownership
	SuccessorServing                           // the successor serves
	SuccessorLost                              // the successor has exited or timed out
	LockRegained                               // the lock could be acquired again
	LockUnavailable                            // another process holds the lock
)

// OutgoingAction is an action that Outgoing asks for.
type OutgoingAction uint8

// Actions of Outgoing.
const (
	OutgoingNoAction OutgoingAction = iota
	Quiesce                         // wait for replies, suspend calls, write the write-ahead log
	SendState                       // send the state and a share of the lock
	TryLock                         // try to acquire the lock
	ResumeServing                   // serve again with the state in memory
	RestartFromLog                  // recover from the write-ahead log, as after a kill
	ReleaseResources                // close what was handed over, and release the lock
	Exit                            // exit: nothing is left to do
	Reject                          // tell the successor that this process does not hand over now
)

// Step handles one event and returns the action to execute.
func (o *Outgoing) Step(event OutgoingEvent) OutgoingAction {
	switch event {
	case HandoverRequested:
		if o.transition(outgoingOwner, outgoingQuiescing) {
			return Quiesce
		}
		return Reject
	case Quiesced:
		if o.transition(outgoingQuiescing, outgoingSending) {
			return SendState
		}
	case QuiesceTimedOut:
		if o.transition(outgoingQuiescing, outgoingOwner) {
			return ResumeServing
		}
	case StateSent:
		o.transition(outgoingSending, outgoingLockShared)
	case OwnershipClaimed:
		if o.transition(outgoingLockShared, outgoingTransferred) {
			return ReleaseResources
		}
	case SuccessorServing:
		if o.transition(outgoingTransferred, outgoingFinished) {
			return Exit
		}
	case SuccessorLost:
		return o.successorLost()
	case LockRegained:
		return o.lockRegained()
	case LockUnavailable:
		// The successor lives although the connection to it is lost. If the successor has
		// not claimed ownership, it notices the lost connection and releases the lock; if it
		// has, it is the owner. Either way this process keeps trying the lock.
		if o.mayHaveSuccessor() {
			return TryLock
		}
	}
	return OutgoingNoAction
}

// transition changes the state if it equals from, and reports whether it did.
func (o *Outgoing) transition(from, to outgoingState) bool {
	if o.state != from {
		return false
	}
	o.state = to
	return true
}

func (o *Outgoing) successorLost() OutgoingAction {
	switch o.state {
	case outgoingQuiescing, outgoingSending: // the lock was never shared
		o.state = outgoingOwner
		return ResumeServing
	case outgoingLockShared, outgoingTransferred:
		return TryLock
	}
	return OutgoingNoAction
}

func (o *Outgoing) lockRegained() OutgoingAction {
	switch o.state {
	case outgoingLockShared: // the successor has not claimed ownership and no longer can
		o.state = outgoingOwner
		return ResumeServing
	case outgoingTransferred:
		o.state = outgoingOwner
		return RestartFromLog
	}
	return OutgoingNoAction
}

func (o *Outgoing) mayHaveSuccessor() bool {
	return o.state == outgoingLockShared || o.state == outgoingTransferred
}

// IsOwner reports whether this process is the owner.
func (o *Outgoing) IsOwner() bool { return o.state <= outgoingSending }

// Finished reports whether this process has nothing left to do.
func (o *Outgoing) Finished() bool { return o.state == outgoingFinished }
