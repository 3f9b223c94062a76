// Package takeover says how the work of one process moves to another: two
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
package takeover

// Giver is the side of the process that serves.
type Giver struct{ state giverState }

type giverState uint8

const (
	owning   giverState = iota // nobody is asking
	stilling                   // asked: what is under way comes to rest
	giving                     // at rest: all is being sent
	released                   // sent, the lock shared
	given                      // the taker said that it is its own
	over                       // and that it serves; or this process is to end
)

// GiverEvent is what a giver is told.
type GiverEvent uint8

// What happens to a giver.
const (
	Asked      GiverEvent = iota + 1 // a taker is ready to take
	Still                            // all is at rest, and the log on disk
	NotStill                         // it did not come to rest in time
	Sent                             // everything is on its way, a part in the lock as well
	SaidMine                         // the taker holds the lock; this side gives up its part
	SaidServes                       // the taker serves
	Broken                           // the taker is gone, or silent for too long
	LockBack                         // the lock was had again
	LockTaken                        // somebody else holds it
)

// GiverDo is what a giver is to do.
type GiverDo uint8

// What a giver does.
const (
	GiverNothing GiverDo = iota
	Quiet                // bring everything to rest
	Send                 // send all, and a part in the lock
	TryLock              // see whether the lock can be had
	GoOnAsBefore         // with what is in memory
	StartAnew            // from the log, as after a kill
	LetGo                // close what was handed over: it is the taker's
	End                  // nothing is left to do
	Refuse               // tell the taker that it cannot have it now
)

// Step takes one event.
func (g *Giver) Step(e GiverEvent) GiverDo {
	switch {
	case e == Asked && g.state == owning:
		g.state = stilling
		return Quiet
	case e == Asked:
		return Refuse
	case e == Still && g.state == stilling:
		g.state = giving
		return Send
	case e == NotStill && g.state == stilling:
		g.state = owning
		return GoOnAsBefore
	case e == Sent && g.state == giving:
		g.state = released
	case e == SaidMine && g.state == released:
		g.state = given
		return LetGo
	case e == SaidServes && g.state == given:
		g.state = over
		return End
	case e == Broken:
		switch g.state {
		case stilling, giving:
			g.state = owning // the lock was never let go
			return GoOnAsBefore
		case released, given:
			return TryLock
		}
	case e == LockBack && g.state == released:
		g.state = owning // the taker can have done nothing, and cannot now
		return GoOnAsBefore
	case e == LockBack && g.state == given:
		g.state = owning
		return StartAnew
	case e == LockTaken && (g.state == released || g.state == given):
		// The taker lives, and can no longer say so: it is told by the broken
		// link to end if it has not said Mine. If it has, it is the relay.
		return TryLock
	}
	return GiverNothing
}

// Owns reports whether the giver may write and send.
func (g *Giver) Owns() bool { return g.state <= giving }

// Over reports whether this process has nothing left to do.
func (g *Giver) Over() bool { return g.state == over }

// Given reports whether the taker has said that all is its own.
func (g *Giver) Given() bool { return g.state >= given }

// Taker is the side of the process that starts.
type Taker struct{ state takerState }

type takerState uint8

const (
	looking   takerState = iota // is there anybody?
	asking                      // there is: it is asked
	receiving                   // it sends
	locking                     // all has come
	saying                      // the lock is held, and that is being said
	owner                       // it may write and send
	serving                     // and answers clients
	failed
)

// TakerEvent is what a taker is told.
type TakerEvent uint8

// What happens to a taker.
const (
	Free      TakerEvent = iota + 1 // the lock could be had
	Held                            // somebody holds it
	Linked                          // the giver answers
	Began                           // the first part has come
	Whole                           // all has come
	Locked                          // the lock is held
	MineSaid                        // the word has gone out
	Up                              // clients can be served
	GiverGone                       // the link broke
	TooLate                         // the time for the step is over
)

// TakerDo is what a taker is to do.
type TakerDo uint8

// What a taker does.
const (
	TakerNothing TakerDo = iota
	StartAlone           // from the log; nobody else is there
	Connect              // to the giver
	AskForAll            // tell it to bring all to rest
	Lock                 // it has come with the rest
	SayMine
	TakeUp    // what has come, and the log
	SayServes // and answer yes
	LookAgain // for the lock: the giver is gone, and what it had lies in the log
	GiveUp    // end: there is a giver and it cannot give
)

// Step takes one event.
func (t *Taker) Step(e TakerEvent) TakerDo {
	switch t.state {
	case looking:
		switch e {
		case Free:
			t.state = owner
			return StartAlone
		case Held:
			t.state = asking
			return Connect
		}
	case asking, receiving, locking:
		switch e {
		case Linked:
			if t.state == asking {
				return AskForAll
			}
		case Began:
			t.state = receiving
		case Whole:
			t.state = locking
			return Lock
		case Locked:
			if t.state == locking {
				t.state = saying
				return SayMine
			}
		case GiverGone: // also with the lock in reach: only its word and ours together move it
			t.state = looking
			return LookAgain
		case TooLate:
			t.state = failed
			return GiveUp
		}
	case saying:
		switch e {
		case MineSaid:
			t.state = owner
			return TakeUp
		case GiverGone, TooLate:
			// It may have taken the work back in the moment before: nothing was
			// begun here, and this side gives up its part in the lock.
			t.state = looking
			return LookAgain
		}
	case owner:
		if e == Up {
			t.state = serving
			return SayServes
		}
	}
	return TakerNothing
}

// Owns reports whether the taker may write and send.
func (t *Taker) Owns() bool { return t.state == owner || t.state == serving }
