package handover

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// simulation is two processes, a lock and a link, as a model.
type simulation struct {
	g           Outgoing
	t           Incoming
	gLive       bool
	tLive       bool
	lockG       bool // each holds its part; the lock is free once nobody does
	lockT       bool // also while it is on its way
	toT         []IncomingEvent
	toG         []OutgoingEvent
	linkUp      bool
	gDo         []OutgoingAction
	tDo         []IncomingAction
	tBegan      bool // the taker has written or sent something
	gMemory     bool // the giver's memory is still true
	startedAnew bool
	mine        bool // the taker has said so, or found itself alone
}

func (w *simulation) stepOutgoingWith(e OutgoingEvent) {
	if do := w.g.Step(e); do != OutgoingNoAction {
		w.gDo = append(w.gDo, do)
	}
}

func (w *simulation) stepIncomingWith(e IncomingEvent) {
	if do := w.t.Step(e); do != IncomingNoAction {
		w.tDo = append(w.tDo, do)
	}
}

func (w *simulation) breakLink() {
	if w.linkUp {
		w.linkUp = false
		// What was said before the end is still heard.
		w.toG = append(w.toG, SuccessorLost)
		w.toT = append(w.toT, PredecessorLost)
	}
}

func (w *simulation) killIncoming() {
	w.tLive, w.lockT = false, false
	w.breakLink()
}

func (w *simulation) killOutgoing() {
	w.gLive, w.lockG = false, false
	w.breakLink()
}

func (w *simulation) stepOutgoing() {
	if len(w.gDo) > 0 {
		do := w.gDo[0]
		w.gDo = w.gDo[1:]
		switch do {
		case Quiesce:
			w.stepOutgoingWith(Quiesced)
		case SendState:
			if w.linkUp {
				w.toT = append(w.toT, FirstPacketReceived, AllReceived)
				w.lockT = true
			}
			w.stepOutgoingWith(StateSent)
		case ReleaseResources:
			w.lockG = false
		case TryLock:
			if w.lockG || !w.lockT {
				w.lockG = true
				w.stepOutgoingWith(LockRegained)
			} else {
				w.gDo = append(w.gDo, TryLock) // later
			}
		case ResumeServing:
			if !w.gMemory {
				panic("the giver goes on with what is no longer true")
			}
		case RestartFromLog:
			w.startedAnew, w.gMemory = true, true
		}
		return
	}
	if len(w.toG) > 0 {
		e := w.toG[0]
		w.toG = w.toG[1:]
		w.stepOutgoingWith(e)
	}
}

func (w *simulation) stepIncoming() {
	if len(w.tDo) > 0 {
		do := w.tDo[0]
		w.tDo = w.tDo[1:]
		switch do {
		case Connect:
			if w.gLive && !w.linkUp && w.g.IsOwner() {
				w.linkUp, w.toT, w.toG = true, nil, nil
				w.stepIncomingWith(Connected)
			} else {
				w.stepIncomingWith(PredecessorLost)
			}
		case RequestState:
			if w.linkUp {
				w.toG = append(w.toG, HandoverRequested)
			}
		case AdoptLock:
			if !w.lockT {
				panic("all has come, and the lock has not")
			}
			w.stepIncomingWith(LockAdopted)
		case SendClaim:
			if w.linkUp {
				w.toG = append(w.toG, OwnershipClaimed)
				w.mine = true
				w.stepIncomingWith(ClaimSent)
			} else {
				w.stepIncomingWith(PredecessorLost)
			}
		case RetryLock:
			w.lockT = false
			w.tDo, w.toT = nil, nil
			w.checkOwnership()
		case TakeOver, StartFromLog:
			w.tBegan, w.gMemory, w.mine = true, false, true
			w.stepIncomingWith(ReadyToServe)
		case SendServing:
			if w.linkUp {
				w.toG = append(w.toG, SuccessorServing)
			}
		case Abort:
			w.killIncoming()
		}
		return
	}
	if len(w.toT) > 0 {
		e := w.toT[0]
		w.toT = w.toT[1:]
		w.stepIncomingWith(e)
	}
}

func (w *simulation) checkOwnership() {
	if !w.lockG && !w.lockT {
		w.lockT = true
		w.stepIncomingWith(LockAcquired)
	} else {
		w.stepIncomingWith(LockHeld)
	}
}

// Whoever is killed, whenever, or whose link breaks: never do both own the
// work, a giver never goes on with what is no longer true, and in the end one
// of those that live owns it.
func TestExactlyOneOwner(t *testing.T) {
	outcomes := map[string]int{}
	for seed := range uint64(60000) {
		rng := rand.New(rand.NewPCG(seed, 3))
		w := &simulation{gLive: true, tLive: true, lockG: true, gMemory: true}
		w.checkOwnership()
		kill, what := rng.IntN(30), rng.IntN(4)
		for n := range 400 {
			if n == kill {
				switch what {
				case 0:
					w.killOutgoing()
				case 1:
					w.killIncoming()
				case 2:
					w.breakLink()
				}
			}
			if rng.IntN(2) == 0 {
				if w.gLive {
					w.stepOutgoing()
				}
			} else if w.tLive {
				w.stepIncoming()
			}
			if what == 3 && !w.lockG && !w.lockT {
				t.Fatalf("seed %d, step %d: a third process could take the lock", seed, n)
			}
			if w.gLive && w.tLive && w.g.IsOwner() && w.t.IsOwner() {
				t.Fatalf("seed %d, step %d: both own it: giver %d, taker %d", seed, n, w.g.state, w.t.state)
			}
			if w.tLive && w.t.IsOwner() && !w.mine && !slices.Contains(w.tDo, StartFromLog) {
				t.Fatalf("seed %d, step %d: the taker owns it and has not said so", seed, n)
			}
			if w.tLive && w.t.IsOwner() && !w.lockT || w.gLive && w.g.IsOwner() && !w.lockG {
				t.Fatalf("seed %d, step %d: the owner has no lock: giver %d, taker %d", seed, n, w.g.state, w.t.state)
			}
		}
		if w.gLive && !w.g.Finished() || w.tLive { // after the last word a death is no longer an upgrade's matter
			if !(w.gLive && w.g.IsOwner()) && !(w.tLive && w.t.IsOwner()) {
				t.Fatalf("seed %d: nobody owns it: kill %d at %d, giver %v %d, taker %v %d", seed, what, kill, w.gLive, w.g.state, w.tLive, w.t.state)
			}
		}
		outcomes[fmt.Sprintf("kind %d giver %v taker %v anew %v", what, w.gLive && w.g.IsOwner(), w.tLive && w.t.IsOwner(), w.startedAnew)]++
	}
	for _, want := range []string{"kind 0 giver false taker true anew false", "kind 1 giver true taker false anew false",
		"kind 1 giver true taker false anew true", "kind 3 giver false taker true anew false"} {
		if outcomes[want] == 0 {
			t.Errorf("never came up: %s; %v", want, outcomes)
		}
	}
}
