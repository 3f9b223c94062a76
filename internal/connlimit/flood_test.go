package connlimit

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// floodBehavior is what a flooding client sends once it is admitted.
type floodBehavior struct {
	ping    bool // one valid control command
	half    bool // a byte, and then nothing more in time
	invalid bool // invalid commands, another one as soon as that was answered
}

// queuedClient is one in the listen queue.
type queuedClient struct {
	usual    bool // or one of the flood
	queuedAt Time
}

type admittedClient struct {
	queuedClient
	nextStepAt Time
	steps      int
}

// floodRun has usual clients and a flood share one limiter.
type floodRun struct {
	behavior floodBehavior
	limiter  *Limiter
	queue    []queuedClient
	admitted map[SlotID]*admittedClient
	order    []SlotID // of admitted, so that every run is the same

	served, rejected int // usual clients
	longestWait      Time
}

// No flood that comes back as soon as it is closed keeps a usual client, who
// sends a request as soon as it is admitted, out for longer than it waits for a
// reply; nor makes the server close one that is in use. One that leaves half
// commands can: these may not be closed before 2 s. There the client is rejected
// at once.
func TestFloodsDoNotStarveClients(t *testing.T) {
	for name, behavior := range map[string]floodBehavior{
		"silent": {}, "ping": {ping: true}, "invalid": {invalid: true}, "half": {half: true},
	} {
		t.Run(name, func(t *testing.T) {
			run := &floodRun{
				behavior: behavior,
				limiter:  newTestLimiter(t, DefaultLimits(168, 256)),
				admitted: map[SlotID]*admittedClient{},
			}
			rng := rand.New(rand.NewPCG(1, 2))
			for range 300 {
				run.queue = append(run.queue, queuedClient{})
			}
			const step = 1e3
			for now := Time(0); now < 20e6; now += step {
				if rng.IntN(10) == 0 { // a hundred new clients a second
					run.queue = append(run.queue, queuedClient{usual: true, queuedAt: now})
				}
				for more := true; more; {
					more = run.limiter.Advance(now, 64)
					run.applyCloseActions(now)
				}
				run.stepClients(now)
				run.admitQueued(now)
			}
			t.Logf("%d clients served, %d rejected, longest in the queue %d ms",
				run.served, run.rejected, run.longestWait/1000)
			if run.longestWait > 400e3 {
				t.Errorf("a client waited %d ms", run.longestWait/1000)
			}
			if !behavior.half && (run.rejected > 0 || run.served < 1900) {
				t.Errorf("%d served, %d rejected", run.served, run.rejected)
			}
		})
	}
}

// close closes a client's connection. One of the flood comes back soon after.
func (r *floodRun) close(id SlotID, now Time) {
	usual := r.admitted[id].usual
	r.limiter.Remove(id)
	delete(r.admitted, id)
	at := slices.Index(r.order, id)
	r.order = slices.Delete(r.order, at, at+1)
	if !usual {
		r.queue = append(r.queue, queuedClient{queuedAt: now + 5e3})
	}
}

func (r *floodRun) applyCloseActions(now Time) {
	for actions := r.limiter.TakeCloseActions(); len(actions) > 0; actions = r.limiter.TakeCloseActions() {
		for _, action := range append([]CloseAction(nil), actions...) {
			if r.admitted[action.Slot] != nil {
				r.close(action.Slot, now)
			}
		}
	}
}

func (r *floodRun) stepClients(now Time) {
	for _, id := range append([]SlotID(nil), r.order...) {
		client := r.admitted[id]
		if client == nil || now < client.nextStepAt {
			continue
		}
		client.steps++
		r.stepClient(id, client, now)
		r.applyCloseActions(now)
	}
}

func (r *floodRun) stepClient(id SlotID, client *admittedClient, now Time) {
	const noStep = 1 << 60
	switch {
	case client.usual && client.steps == 1:
		r.limiter.CommandStarted(id, now)
		r.limiter.CommandRead(id, CommandRequest, now)
		client.nextStepAt = now + 3e3
	case client.usual && client.steps == 2:
		r.limiter.ReplyWritten(id, now)
		client.nextStepAt = now + 500e3 // and then leaves
	case client.usual:
		r.close(id, now)
	case r.behavior.half:
		r.limiter.CommandStarted(id, now)
		client.nextStepAt = noStep
	case r.behavior.ping && client.steps == 1:
		r.limiter.CommandStarted(id, now)
		r.limiter.CommandRead(id, CommandControl, now)
		r.limiter.ReplyWritten(id, now)
		client.nextStepAt = noStep
	case r.behavior.invalid && client.steps%2 == 1:
		r.limiter.CommandStarted(id, now)
		r.limiter.CommandRead(id, CommandInvalid, now)
		client.nextStepAt = now + 100e3
	case r.behavior.invalid:
		r.limiter.ReplyWritten(id, now)
		client.nextStepAt = now
	}
}

func (r *floodRun) admitQueued(now Time) {
	for tries := 0; tries < 40 && len(r.queue) > 0 && r.queue[0].queuedAt <= now; tries++ {
		decision, _ := r.limiter.Decide(now)
		r.applyCloseActions(now)
		if decision == Wait {
			break
		}
		if decision == Evict {
			continue
		}
		head := r.queue[0]
		r.queue = r.queue[1:]
		if decision == Reject {
			r.reject(head, now)
			continue
		}
		id := r.limiter.Add(now)
		r.admitted[id] = &admittedClient{queuedClient: head, nextStepAt: now}
		r.order = append(r.order, id)
		if head.usual {
			r.served++
			r.longestWait = max(r.longestWait, now-head.queuedAt)
		}
	}
	if len(r.queue) == 0 {
		r.limiter.QueueEmptied()
	}
}

func (r *floodRun) reject(client queuedClient, now Time) {
	if client.usual {
		r.rejected++
		r.longestWait = max(r.longestWait, now-client.queuedAt)
	} else {
		r.queue = append(r.queue, queuedClient{queuedAt: now + 5e3})
	}
}
