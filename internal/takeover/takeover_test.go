package takeover

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// world is two processes, a lock and a link, as a model.
type world struct {
	g           Giver
	t           Taker
	gLive       bool
	tLive       bool
	lockG       bool // each holds its part; the lock is free once nobody does
	lockT       bool // also while it is on its way
	toT         []TakerEvent
	toG         []GiverEvent
	linkUp      bool
	gDo         []GiverDo
	tDo         []TakerDo
	tBegan      bool // the taker has written or sent something
	gMemory     bool // the giver's memory is still true
	startedAnew bool
	mine        bool // the taker has said so, or found itself alone
}

func (w *world) giver(e GiverEvent) {
	if do := w.g.Step(e); do != GiverNothing {
		w.gDo = append(w.gDo, do)
	}
}

func (w *world) taker(e TakerEvent) {
	if do := w.t.Step(e); do != TakerNothing {
		w.tDo = append(w.tDo, do)
	}
}

func (w *world) breakLink() {
	if w.linkUp {
		w.linkUp = false
		// What was said before the end is still heard.
		w.toG = append(w.toG, Broken)
		w.toT = append(w.toT, GiverGone)
	}
}

func (w *world) killTaker() {
	w.tLive, w.lockT = false, false
	w.breakLink()
}

func (w *world) killGiver() {
	w.gLive, w.lockG = false, false
	w.breakLink()
}

func (w *world) stepGiver() {
	if len(w.gDo) > 0 {
		do := w.gDo[0]
		w.gDo = w.gDo[1:]
		switch do {
		case Quiet:
			w.giver(Still)
		case Send:
			if w.linkUp {
				w.toT = append(w.toT, Began, Whole)
				w.lockT = true
			}
			w.giver(Sent)
		case LetGo:
			w.lockG = false
		case TryLock:
			if w.lockG || !w.lockT {
				w.lockG = true
				w.giver(LockBack)
			} else {
				w.gDo = append(w.gDo, TryLock) // later
			}
		case GoOnAsBefore:
			if !w.gMemory {
				panic("the giver goes on with what is no longer true")
			}
		case StartAnew:
			w.startedAnew, w.gMemory = true, true
		}
		return
	}
	if len(w.toG) > 0 {
		e := w.toG[0]
		w.toG = w.toG[1:]
		w.giver(e)
	}
}

func (w *world) stepTaker() {
	if len(w.tDo) > 0 {
		do := w.tDo[0]
		w.tDo = w.tDo[1:]
		switch do {
		case Connect:
			if w.gLive && !w.linkUp && w.g.Owns() {
				w.linkUp, w.toT, w.toG = true, nil, nil
				w.taker(Linked)
			} else {
				w.taker(GiverGone)
			}
		case AskForAll:
			if w.linkUp {
				w.toG = append(w.toG, Asked)
			}
		case Lock:
			if !w.lockT {
				panic("all has come, and the lock has not")
			}
			w.taker(Locked)
		case SayMine:
			if w.linkUp {
				w.toG = append(w.toG, SaidMine)
				w.mine = true
				w.taker(MineSaid)
			} else {
				w.taker(GiverGone)
			}
		case LookAgain:
			w.lockT = false
			w.tDo, w.toT = nil, nil
			w.look()
		case TakeUp, StartAlone:
			w.tBegan, w.gMemory, w.mine = true, false, true
			w.taker(Up)
		case SayServes:
			if w.linkUp {
				w.toG = append(w.toG, SaidServes)
			}
		case GiveUp:
			w.killTaker()
		}
		return
	}
	if len(w.toT) > 0 {
		e := w.toT[0]
		w.toT = w.toT[1:]
		w.taker(e)
	}
}

func (w *world) look() {
	if !w.lockG && !w.lockT {
		w.lockT = true
		w.taker(Free)
	} else {
		w.taker(Held)
	}
}

// Whoever is killed, whenever, or whose link breaks: never do both own the
// work, a giver never goes on with what is no longer true, and in the end one
// of those that live owns it.
func TestNeverBothAndNeverNeither(t *testing.T) {
	outcomes := map[string]int{}
	for seed := range uint64(60000) {
		rng := rand.New(rand.NewPCG(seed, 3))
		w := &world{gLive: true, tLive: true, lockG: true, gMemory: true}
		w.look()
		kill, what := rng.IntN(30), rng.IntN(4)
		for n := range 400 {
			if n == kill {
				switch what {
				case 0:
					w.killGiver()
				case 1:
					w.killTaker()
				case 2:
					w.breakLink()
				}
			}
			if rng.IntN(2) == 0 {
				if w.gLive {
					w.stepGiver()
				}
			} else if w.tLive {
				w.stepTaker()
			}
			if what == 3 && !w.lockG && !w.lockT {
				t.Fatalf("seed %d, step %d: a third process could take the lock", seed, n)
			}
			if w.gLive && w.tLive && w.g.Owns() && w.t.Owns() {
				t.Fatalf("seed %d, step %d: both own it: giver %d, taker %d", seed, n, w.g.state, w.t.state)
			}
			if w.tLive && w.t.Owns() && !w.mine && !slices.Contains(w.tDo, StartAlone) {
				t.Fatalf("seed %d, step %d: the taker owns it and has not said so", seed, n)
			}
			if w.tLive && w.t.Owns() && !w.lockT || w.gLive && w.g.Owns() && !w.lockG {
				t.Fatalf("seed %d, step %d: the owner has no lock: giver %d, taker %d", seed, n, w.g.state, w.t.state)
			}
		}
		if w.gLive && !w.g.Over() || w.tLive { // after the last word a death is no longer an upgrade's matter
			if !(w.gLive && w.g.Owns()) && !(w.tLive && w.t.Owns()) {
				t.Fatalf("seed %d: nobody owns it: kill %d at %d, giver %v %d, taker %v %d", seed, what, kill, w.gLive, w.g.state, w.tLive, w.t.state)
			}
		}
		outcomes[fmt.Sprintf("kind %d giver %v taker %v anew %v", what, w.gLive && w.g.Owns(), w.tLive && w.t.Owns(), w.startedAnew)]++
	}
	for _, want := range []string{"kind 0 giver false taker true anew false", "kind 1 giver true taker false anew false",
		"kind 1 giver true taker false anew true", "kind 3 giver false taker true anew false"} {
		if outcomes[want] == 0 {
			t.Errorf("never came up: %s; %v", want, outcomes)
		}
	}
}
