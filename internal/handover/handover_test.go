package handover

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// simulation is a model of a predecessor, a successor, the lock and the connection
// between the processes.
type simulation struct {
	outgoing        Outgoing
	incoming        Incoming
	outgoingAlive   bool
	incomingAlive   bool
	outgoingLock    bool // the predecessor has a share of the lock; it is free if no process has one
	incomingLock    bool // the successor has a share, or one is being sent to it
	incomingEvents  []IncomingEvent
	outgoingEvents  []OutgoingEvent
	connected       bool
	outgoingActions []OutgoingAction
	incomingActions []IncomingAction
	memoryValid     bool // the predecessor's state in memory is up to date
	restarted       bool // the predecessor has recovered from the write-ahead log
	claimed         bool // the successor has claimed ownership, or has started from the log
}

func (s *simulation) deliverToOutgoing(e OutgoingEvent) {
	if action := s.outgoing.Step(e); action != OutgoingNoAction {
		s.outgoingActions = append(s.outgoingActions, action)
	}
}

func (s *simulation) deliverToIncoming(e IncomingEvent) {
	if action := s.incoming.Step(e); action != IncomingNoAction {
		s.incomingActions = append(s.incomingActions, action)
	}
}

// outgoingOwns reports whether the predecessor is alive and the owner.
func (s *simulation) outgoingOwns() bool { return s.outgoingAlive && s.outgoing.IsOwner() }

// incomingOwns reports whether the successor is alive and the owner.
func (s *simulation) incomingOwns() bool { return s.incomingAlive && s.incoming.IsOwner() }

func (s *simulation) disconnect() {
	if s.connected {
		s.connected = false
		// Packets that were sent before are still received.
		s.outgoingEvents = append(s.outgoingEvents, SuccessorLost)
		s.incomingEvents = append(s.incomingEvents, PredecessorLost)
	}
}

func (s *simulation) killIncoming() {
	s.incomingAlive, s.incomingLock = false, false
	s.disconnect()
}

func (s *simulation) killOutgoing() {
	s.outgoingAlive, s.outgoingLock = false, false
	s.disconnect()
}

func (s *simulation) stepOutgoing() {
	if len(s.outgoingActions) > 0 {
		action := s.outgoingActions[0]
		s.outgoingActions = s.outgoingActions[1:]
		switch action {
		case Quiesce:
			s.deliverToOutgoing(Quiesced)
		case SendState:
			if s.connected {
				s.incomingEvents = append(s.incomingEvents, FirstPacketReceived, AllReceived)
				s.incomingLock = true
			}
			s.deliverToOutgoing(StateSent)
		case ReleaseResources:
			s.outgoingLock = false
		case TryLock:
			if s.outgoingLock || !s.incomingLock {
				s.outgoingLock = true
				s.deliverToOutgoing(LockRegained)
			} else {
				s.outgoingActions = append(s.outgoingActions, TryLock) // later
			}
		case ResumeServing:
			if !s.memoryValid {
				panic("the predecessor resumes with outdated state in memory")
			}
		case RestartFromLog:
			s.restarted, s.memoryValid = true, true
		}
		return
	}
	if len(s.outgoingEvents) > 0 {
		e := s.outgoingEvents[0]
		s.outgoingEvents = s.outgoingEvents[1:]
		s.deliverToOutgoing(e)
	}
}

func (s *simulation) stepIncoming() {
	if len(s.incomingActions) > 0 {
		action := s.incomingActions[0]
		s.incomingActions = s.incomingActions[1:]
		switch action {
		case Connect:
			if s.outgoingAlive && !s.connected && s.outgoing.IsOwner() {
				s.connected, s.incomingEvents, s.outgoingEvents = true, nil, nil
				s.deliverToIncoming(Connected)
			} else {
				s.deliverToIncoming(PredecessorLost)
			}
		case RequestState:
			if s.connected {
				s.outgoingEvents = append(s.outgoingEvents, HandoverRequested)
			}
		case AdoptLock:
			if !s.incomingLock {
				panic("all packets were received, but the lock was not")
			}
			s.deliverToIncoming(LockAdopted)
		case SendClaim:
			if s.connected {
				s.outgoingEvents = append(s.outgoingEvents, OwnershipClaimed)
				s.claimed = true
				s.deliverToIncoming(ClaimSent)
			} else {
				s.deliverToIncoming(PredecessorLost)
			}
		case RetryLock:
			s.incomingLock = false
			s.incomingActions, s.incomingEvents = nil, nil
			s.tryLock()
		case TakeOver, StartFromLog:
			s.memoryValid, s.claimed = false, true
			s.deliverToIncoming(ReadyToServe)
		case SendServing:
			if s.connected {
				s.outgoingEvents = append(s.outgoingEvents, SuccessorServing)
			}
		case Abort:
			s.killIncoming()
		}
		return
	}
	if len(s.incomingEvents) > 0 {
		e := s.incomingEvents[0]
		s.incomingEvents = s.incomingEvents[1:]
		s.deliverToIncoming(e)
	}
}

func (s *simulation) tryLock() {
	if !s.outgoingLock && !s.incomingLock {
		s.incomingLock = true
		s.deliverToIncoming(LockAcquired)
	} else {
		s.deliverToIncoming(LockHeld)
	}
}

// Guards against two owners, or none. A process may be killed, or the connection may
// break, at any step of a hand-over. Both processes must never be owners at the same
// time, the predecessor must not resume with outdated state, and in the end one of the
// processes that are alive must be the owner.
func TestExactlyOneOwner(t *testing.T) {
	outcomes := map[string]int{}
	for seed := range uint64(60000) {
		rng := rand.New(rand.NewPCG(seed, 3))
		s := &simulation{outgoingAlive: true, incomingAlive: true, outgoingLock: true, memoryValid: true}
		s.tryLock()
		// Fault 0 kills the predecessor, 1 kills the successor, 2 breaks the connection, 3 is no fault.
		faultAt, fault := rng.IntN(30), rng.IntN(4)
		for step := range 400 {
			if step == faultAt {
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
				if s.outgoingAlive {
					s.stepOutgoing()
				}
			} else if s.incomingAlive {
				s.stepIncoming()
			}
			if fault == 3 && !s.outgoingLock && !s.incomingLock {
				t.Fatalf("seed %d, step %d: a third process could take the lock", seed, step)
			}
			if s.outgoingOwns() && s.incomingOwns() {
				t.Fatalf("seed %d, step %d: both processes are owners: states: predecessor %d, successor %d",
					seed, step, s.outgoing.state, s.incoming.state)
			}
			if s.incomingOwns() && !s.claimed && !slices.Contains(s.incomingActions, StartFromLog) {
				t.Fatalf("seed %d, step %d: the successor is the owner without a claim", seed, step)
			}
			if s.incomingOwns() && !s.incomingLock || s.outgoingOwns() && !s.outgoingLock {
				t.Fatalf("seed %d, step %d: the owner does not hold the lock: states: predecessor %d, successor %d",
					seed, step, s.outgoing.state, s.incoming.state)
			}
		}
		// A predecessor that has finished exits, so it need not be the owner.
		if s.outgoingAlive && !s.outgoing.Finished() || s.incomingAlive {
			if !s.outgoingOwns() && !s.incomingOwns() {
				t.Fatalf("seed %d: no owner, fault %d at step %d, alive and state: predecessor %v %d, successor %v %d",
					seed, fault, faultAt, s.outgoingAlive, s.outgoing.state, s.incomingAlive, s.incoming.state)
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
			t.Errorf("no seed had the outcome: %s; outcomes: %v", want, outcomes)
		}
	}
}
