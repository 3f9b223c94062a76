package handover

// Outgoing is the side of the process that serves and is asked to hand over. Its
// zero value owns the work.
type Outgoing struct{ state outgoingState }

type outgoingState uint8

const (
	outgoingOwner       outgoingState = iota // nobody asks
	outgoingQuiescing                        // asked for the work: everything comes to rest
	outgoingSending                          // at rest: the state is being sent
	outgoingLockShared                       // all is sent, the lock is shared
	outgoingTransferred                      // the successor has claimed the work
	outgoingFinished                         // and serves: this process is to end
)

// OutgoingEvent is what happens to the outgoing side.
type OutgoingEvent uint8

// Events of the outgoing side.
const (
	HandoverRequested OutgoingEvent = iota + 1 // a successor is ready to take over
	Quiesced                                   // all is at rest, and the log is written
	QuiesceTimedOut                            // it did not come to rest in time
	StateSent                                  // the state is on its way, and a part in the lock
	OwnershipClaimed                           // the successor holds the lock
	SuccessorServing                           // the successor serves
	SuccessorLost                              // the successor is gone, or silent for too long
	LockRegained                               // the lock could be taken again
	LockUnavailable                            // another process holds it
)

// OutgoingAction is what the outgoing side is to do.
type OutgoingAction uint8

// Actions of the outgoing side.
const (
	OutgoingNoAction OutgoingAction = iota
	Quiesce                         // bring everything to rest
	SendState                       // send the state, and a part in the lock
	TryLock                         // see whether the lock can be taken
	ResumeServing                   // go on with what is in memory
	RestartFromLog                  // recover from the log, as after a kill
	ReleaseResources                // close what was handed over, and give up the lock
	Exit                            // end: nothing is left to do
	Reject                          // tell the successor that it cannot have the work now
)

// Step takes in one event.
func (o *Outgoing) Step(event OutgoingEvent) OutgoingAction {
	switch event {
	case HandoverRequested:
		if o.moved(outgoingOwner, outgoingQuiescing) {
			return Quiesce
		}
		return Reject
	case Quiesced:
		if o.moved(outgoingQuiescing, outgoingSending) {
			return SendState
		}
	case QuiesceTimedOut:
		if o.moved(outgoingQuiescing, outgoingOwner) {
			return ResumeServing
		}
	case StateSent:
		o.moved(outgoingSending, outgoingLockShared)
	case OwnershipClaimed:
		if o.moved(outgoingLockShared, outgoingTransferred) {
			return ReleaseResources
		}
	case SuccessorServing:
		if o.moved(outgoingTransferred, outgoingFinished) {
			return Exit
		}
	case SuccessorLost:
		return o.successorLost()
	case LockRegained:
		return o.lockRegained()
	case LockUnavailable:
		// The successor lives and can no longer say so. If it has not claimed the
		// work, the broken connection tells it to end; if it has, it is the relay.
		if o.mayHaveSuccessor() {
			return TryLock
		}
	}
	return OutgoingNoAction
}

// moved goes from one state to another, and reports whether it was in the first.
func (o *Outgoing) moved(from, to outgoingState) bool {
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
	case outgoingLockShared: // the successor did nothing, and cannot now
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

// IsOwner reports whether the outgoing side may write and send.
func (o *Outgoing) IsOwner() bool { return o.state <= outgoingSending }

// Finished reports whether this process has nothing left to do.
func (o *Outgoing) Finished() bool { return o.state == outgoingFinished }
