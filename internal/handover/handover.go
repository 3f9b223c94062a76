// Package handover says how the work of one process moves to another: two
// processes, one relay.
//
// It owns the moments at which ownership moves and what each side does when the
// other one fails at any of them. It must never touch a socket, a file or a
// clock, or know of messages.
//
// Ownership is a lock on a file of the state folder, which the system takes
// from a process that dies: who holds it may write the log, begin calls and
// send notices, and nobody else. The giver shares it once all it has lies in
// the log or is on its way; the taker says Mine once it holds it, and does
// nothing before. So a giver that hears of the taker's end knows by the lock
// and that one word which of the two things is true: the taker never began, and
// the giver goes on with what it still has in memory; or it may have, and the
// log alone counts.
package handover

// Outgoing is the side of the process that serves.
type Outgoing struct{ state outgoingState }

type outgoingState uint8

const (
	outgoingOwner       outgoingState = iota // nobody is asking
	outgoingQuiescing                        // asked: what is under way comes to rest
	outgoingSending                          // at rest: all is being sent
	outgoingLockShared                       // sent, the lock shared
	outgoingTransferred                      // the taker said that it is its own
	outgoingFinished                         // and that it serves; or this process is to end
)

// OutgoingEvent is what a giver is told.
type OutgoingEvent uint8

// What happens to a giver.
const (
	HandoverRequested OutgoingEvent = iota + 1 // a taker is ready to take
	Quiesced                                   // all is at rest, and the log on disk
	QuiesceTimedOut                            // it did not come to rest in time
	StateSent                                  // everything is on its way, a part in the lock as well
	OwnershipClaimed                           // the taker holds the lock; this side gives up its part
	SuccessorServing                           // the taker serves
	SuccessorLost                              // the taker is gone, or silent for too long
	LockRegained                               // the lock was had again
	LockUnavailable                            // somebody else holds it
)

// OutgoingAction is what a giver is to do.
type OutgoingAction uint8

// What a giver does.
const (
	OutgoingNoAction OutgoingAction = iota
	Quiesce                         // bring everything to rest
	SendState                       // send all, and a part in the lock
	TryLock                         // see whether the lock can be had
	ResumeServing                   // with what is in memory
	RestartFromLog                  // from the log, as after a kill
	ReleaseResources                // close what was handed over: it is the taker's
	Exit                            // nothing is left to do
	Reject                          // tell the taker that it cannot have it now
)

// Step takes one event.
func (g *Outgoing) Step(e OutgoingEvent) OutgoingAction {
	switch {
	case e == HandoverRequested && g.state == outgoingOwner:
		g.state = outgoingQuiescing
		return Quiesce
	case e == HandoverRequested:
		return Reject
	case e == Quiesced && g.state == outgoingQuiescing:
		g.state = outgoingSending
		return SendState
	case e == QuiesceTimedOut && g.state == outgoingQuiescing:
		g.state = outgoingOwner
		return ResumeServing
	case e == StateSent && g.state == outgoingSending:
		g.state = outgoingLockShared
	case e == OwnershipClaimed && g.state == outgoingLockShared:
		g.state = outgoingTransferred
		return ReleaseResources
	case e == SuccessorServing && g.state == outgoingTransferred:
		g.state = outgoingFinished
		return Exit
	case e == SuccessorLost:
		switch g.state {
		case outgoingQuiescing, outgoingSending:
			g.state = outgoingOwner // the lock was never let go
			return ResumeServing
		case outgoingLockShared, outgoingTransferred:
			return TryLock
		}
	case e == LockRegained && g.state == outgoingLockShared:
		g.state = outgoingOwner // the taker can have done nothing, and cannot now
		return ResumeServing
	case e == LockRegained && g.state == outgoingTransferred:
		g.state = outgoingOwner
		return RestartFromLog
	case e == LockUnavailable && (g.state == outgoingLockShared || g.state == outgoingTransferred):
		// The taker lives, and can no longer say so: it is told by the broken
		// link to end if it has not said Mine. If it has, it is the relay.
		return TryLock
	}
	return OutgoingNoAction
}

// IsOwner reports whether the giver may write and send.
func (g *Outgoing) IsOwner() bool { return g.state <= outgoingSending }

// Finished reports whether this process has nothing left to do.
func (g *Outgoing) Finished() bool { return g.state == outgoingFinished }

// Transferred reports whether the taker has said that all is its own.
func (g *Outgoing) Transferred() bool { return g.state >= outgoingTransferred }

// Incoming is the side of the process that starts.
type Incoming struct{ state incomingState }

type incomingState uint8

const (
	incomingTryingLock   incomingState = iota // is there anybody?
	incomingRequesting                        // there is: it is asked
	incomingReceiving                         // it sends
	incomingAdoptingLock                      // all has come
	incomingClaiming                          // the lock is held, and that is being said
	incomingOwner                             // it may write and send
	incomingServing                           // and answers clients
	incomingFailed
)

// IncomingEvent is what a taker is told.
type IncomingEvent uint8

// What happens to a taker.
const (
	LockAcquired        IncomingEvent = iota + 1 // the lock could be had
	LockHeld                                     // somebody holds it
	Connected                                    // the giver answers
	FirstPacketReceived                          // the first part has come
	AllReceived                                  // all has come
	LockAdopted                                  // the lock is held
	ClaimSent                                    // the word has gone out
	ReadyToServe                                 // clients can be served
	PredecessorLost                              // the link broke
	TimedOut                                     // the time for the step is over
)

// IncomingAction is what a taker is to do.
type IncomingAction uint8

// What a taker does.
const (
	IncomingNoAction IncomingAction = iota
	StartFromLog                    // from the log; nobody else is there
	Connect                         // to the giver
	RequestState                    // tell it to bring all to rest
	AdoptLock                       // it has come with the rest
	SendClaim
	TakeOver    // what has come, and the log
	SendServing // and answer yes
	RetryLock   // for the lock: the giver is gone, and what it had lies in the log
	Abort       // end: there is a giver and it cannot give
)

// Step takes one event.
func (t *Incoming) Step(e IncomingEvent) IncomingAction {
	switch t.state {
	case incomingTryingLock:
		switch e {
		case LockAcquired:
			t.state = incomingOwner
			return StartFromLog
		case LockHeld:
			t.state = incomingRequesting
			return Connect
		}
	case incomingRequesting, incomingReceiving, incomingAdoptingLock:
		switch e {
		case Connected:
			if t.state == incomingRequesting {
				return RequestState
			}
		case FirstPacketReceived:
			t.state = incomingReceiving
		case AllReceived:
			t.state = incomingAdoptingLock
			return AdoptLock
		case LockAdopted:
			if t.state == incomingAdoptingLock {
				t.state = incomingClaiming
				return SendClaim
			}
		case PredecessorLost: // also with the lock in reach: only its word and ours together move it
			t.state = incomingTryingLock
			return RetryLock
		case TimedOut:
			t.state = incomingFailed
			return Abort
		}
	case incomingClaiming:
		switch e {
		case ClaimSent:
			t.state = incomingOwner
			return TakeOver
		case PredecessorLost, TimedOut:
			// It may have taken the work back in the moment before: nothing was
			// begun here, and this side gives up its part in the lock.
			t.state = incomingTryingLock
			return RetryLock
		}
	case incomingOwner:
		if e == ReadyToServe {
			t.state = incomingServing
			return SendServing
		}
	}
	return IncomingNoAction
}

// IsOwner reports whether the taker may write and send.
func (t *Incoming) IsOwner() bool { return t.state == incomingOwner || t.state == incomingServing }
