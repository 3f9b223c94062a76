package handover

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// simulation is a predecessor, a successor, a lock and a connection, as a model.
type simulation struct {
	outgoing      Outgoing
	incoming      Incoming
	outgoingLives bool
	incomingLives bool
	outgoingLock  bool // each holds its part; the lock is free once nobody does
	incomingLock  bool // also while it is on its way
	toIncoming    []IncomingEvent
	toOutgoing    []OutgoingEvent
	connected     bool
	outgoingTodo  []OutgoingAction
	incomingTodo  []IncomingAction
	memoryValid   bool // what the predecessor has in memory is still true
	restarted     bool // the predecessor has recovered from the log
	claimed       bool // the successor has said so, or found itself alone
}

func (s *simulation) tellOutgoing(e OutgoingEvent) {
	if action := s.outgoing.Step(e); action != OutgoingNoAction {
		s.outgoingTodo = append(s.outgoingTodo, action)
	}
}

func (s *simulation) tellIncoming(e IncomingEvent) {
	if action := s.incoming.Step(e); action != IncomingNoAction {
		s.incomingTodo = append(s.incomingTodo, action)
	}
}

// outgoingOwns reports whether the predecessor lives and owns the work.
func (s *simulation) outgoingOwns() bool { return s.outgoingLives && s.outgoing.IsOwner() }

// incomingOwns reports whether the successor lives and owns the work.
func (s *simulation) incomingOwns() bool { return s.incomingLives && s.incoming.IsOwner() }

func (s *simulation) disconnect() {
	if s.connected {
		s.connected = false
		// What was said before the end is still heard.
		s.toOutgoing = append(s.toOutgoing, SuccessorLost)
		s.toIncoming = append(s.toIncoming, PredecessorLost)
	}
}

func (s *simulation) killIncoming() {
	s.incomingLives, s.incomingLock = false, false
	s.disconnect()
}

func (s *simulation) killOutgoing() {
	s.outgoingLives, s.outgoingLock = false, false
	s.disconnect()
}

func (s *simulation) stepOutgoing() {
	if len(s.outgoingTodo) > 0 {
		action := s.outgoingTodo[0]
		s.outgoingTodo = s.outgoingTodo[1:]
		switch action {
		case Quiesce:
			s.tellOutgoing(Quiesced)
		case SendState:
			if s.connected {
				s.toIncoming = append(s.toIncoming, FirstPacketReceived, AllReceived)
				s.incomingLock = true
			}
			s.tellOutgoing(StateSent)
		case ReleaseResources:
			s.outgoingLock = false
		case TryLock:
			if s.outgoingLock || !s.incomingLock {
				s.outgoingLock = true
				s.tellOutgoing(LockRegained)
			} else {
				s.outgoingTodo = append(s.outgoingTodo, TryLock) // later
			}
		case ResumeServing:
			if !s.memoryValid {
				panic("the predecessor goes on with what is no longer true")
			}
		case RestartFromLog:
			s.restarted, s.memoryValid = true, true
		}
		return
	}
	if len(s.toOutgoing) > 0 {
		e := s.toOutgoing[0]
		s.toOutgoing = s.toOutgoing[1:]
		s.tellOutgoing(e)
	}
}

func (s *simulation) stepIncoming() {
	if len(s.incomingTodo) > 0 {
		action := s.incomingTodo[0]
		s.incomingTodo = s.incomingTodo[1:]
		switch action {
		case Connect:
			if s.outgoingLives && !s.connected && s.outgoing.IsOwner() {
				s.connected, s.toIncoming, s.toOutgoing = true, nil, nil
				s.tellIncoming(Connected)
			} else {
				s.tellIncoming(PredecessorLost)
			}
		case RequestState:
			if s.connected {
				s.toOutgoing = append(s.toOutgoing, HandoverRequested)
			}
		case AdoptLock:
			if !s.incomingLock {
				panic("all has come, and the lock has not")
			}
			s.tellIncoming(LockAdopted)
		case SendClaim:
			if s.connected {
				s.toOutgoing = append(s.toOutgoing, OwnershipClaimed)
				s.claimed = true
				s.tellIncoming(ClaimSent)
			} else {
				s.tellIncoming(PredecessorLost)
			}
		case RetryLock:
			s.incomingLock = false
			s.incomingTodo, s.toIncoming = nil, nil
			s.tryLock()
		case TakeOver, StartFromLog:
			s.memoryValid, s.claimed = false, true
			s.tellIncoming(ReadyToServe)
		case SendServing:
			if s.connected {
				s.toOutgoing = append(s.toOutgoing, SuccessorServing)
			}
		case Abort:
			s.killIncoming()
		}
		return
	}
	if len(s.toIncoming) > 0 {
		e := s.toIncoming[0]
		s.toIncoming = s.toIncoming[1:]
		s.tellIncoming(e)
	}
}

func (s *simulation) tryLock() {
	if !s.outgoingLock && !s.incomingLock {
		s.incomingLock = true
		s.tellIncoming(LockAcquired)
	} else {
		s.tellIncoming(LockHeld)
	}
}

// Whichever process is killed, whenever, or whose connection breaks: never do both
// own the work, a predecessor never goes on with what is no longer true, and in the
// end one of those that live owns it.
func TestExactlyOneOwner(t *testing.T) {
	outcomes := map[string]int{}
	for seed := range uint64(60000) {
		rng := rand.New(rand.NewPCG(seed, 3))
		s := &simulation{outgoingLives: true, incomingLives: true, outgoingLock: true, memoryValid: true}
		s.tryLock()
		faultAt, fault := rng.IntN(30), rng.IntN(4)
		for n := range 400 {
			if n == faultAt {
				switch fault {
				case 0:
					s.killOutgoing()
				case 1:
					s.killIncoming()
				case 2:
					s.disconnect()
				}
			}
			if rng.IntN(2) == 0 {
				if s.outgoingLives {
					s.stepOutgoing()
				}
			} else if s.incomingLives {
				s.stepIncoming()
			}
			if fault == 3 && !s.outgoingLock && !s.incomingLock {
				t.Fatalf("seed %d, step %d: a third process could take the lock", seed, n)
			}
			if s.outgoingOwns() && s.incomingOwns() {
				t.Fatalf("seed %d, step %d: both own it: predecessor %d, successor %d",
					seed, n, s.outgoing.state, s.incoming.state)
			}
			if s.incomingOwns() && !s.claimed && !slices.Contains(s.incomingTodo, StartFromLog) {
				t.Fatalf("seed %d, step %d: the successor owns it and has not said so", seed, n)
			}
			if s.incomingOwns() && !s.incomingLock || s.outgoingOwns() && !s.outgoingLock {
				t.Fatalf("seed %d, step %d: the owner has no lock: predecessor %d, successor %d",
					seed, n, s.outgoing.state, s.incoming.state)
			}
		}
		// After the last packet a death is no longer the hand-over's matter.
		if s.outgoingLives && !s.outgoing.Finished() || s.incomingLives {
			if !s.outgoingOwns() && !s.incomingOwns() {
				t.Fatalf("seed %d: nobody owns it: fault %d at %d, predecessor %v %d, successor %v %d",
					seed, fault, faultAt, s.outgoingLives, s.outgoing.state, s.incomingLives, s.incoming.state)
			}
		}
		outcome := fmt.Sprintf("fault %d predecessor %v successor %v restarted %v",
			fault, s.outgoingOwns(), s.incomingOwns(), s.restarted)
		outcomes[outcome]++
	}
	for _, want := range []string{
		"fault 0 predecessor false successor true restarted false",
		"fault 1 predecessor true successor false restarted false",
		"fault 1 predecessor true successor false restarted true",
		"fault 3 predecessor false successor true restarted false",
	} {
		if outcomes[want] == 0 {
			t.Errorf("never came up: %s; %v", want, outcomes)
		}
	}
}
