package connlimit

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// floodBehavior is what a client of the flood sends once it is admitted: nothing, or one of these.
type floodBehavior struct {
	ping    bool // one valid control command
	partial bool // the first byte of a command, and then nothing
	// a byte of a command every 20 ms
	trickling bool
	invalid   bool // invalid commands, each as soon as the one before was replied to
}

// queuedClient is a client in the listen queue.
type queuedClient struct {
	regular  bool // not part of the flood
	queuedAt Time
}

// admittedClient is a client whose connection was admitted.
type admittedClient struct {
	queuedClient
	nextStepAt Time
	steps      int
}

// floodRun simulates regular clients and a flood that share one limiter.
type floodRun struct {
	behavior floodBehavior
	limiter  *Limiter
	queue    []queuedClient
	admitted map[SlotID]*admittedClient
	order    []SlotID // keys of admitted in a fixed order, so that every run is the same

	served, rejected int  // counts of regular clients
	longestWait      Time // of a regular client in the listen queue
}

// The clients of a flood connect again as soon as they are closed. They must not keep a regular client,
// which sends a request as soon as it is admitted, waiting in the listen queue for longer than the
// client waits for a reply, nor cause rejections.
func TestFloodsDoNotStarveClients(t *testing.T) {
	for name, behavior := range map[string]floodBehavior{
		"silent": {}, "ping": {ping: true},
		"invalid command": {invalid: true}, "partial command": {partial: true}, "trickling command": {trickling: true},
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
				if rng.IntN(10) == 0 { // a hundred new clients per second on average
					run.queue = append(run.queue, queuedClient{regular: true, queuedAt: now})
				}
				for more := true; more; {
					more = run.limiter.Advance(now, 64)
					run.applyCloseActions(now)
				}
				run.stepClients(now)
				run.admitQueued(now)
			}
			t.Logf("%d regular clients served, %d rejected, longest wait in the queue %d ms",
				run.served, run.rejected, run.longestWait/1000)
			if run.longestWait > 400e3 {
				t.Errorf("longest wait of a regular client = %d ms, want at most 400 ms", run.longestWait/1000)
			}
			if run.rejected > 0 || run.served < 1900 {
				t.Errorf("%d regular clients served, %d rejected; want at least 1900 and 0", run.served, run.rejected)
			}
		})
	}
}

// close closes a client's connection. A client of the flood connects again after 5 ms.
func (r *floodRun) close(id SlotID, now Time) {
	regular := r.admitted[id].regular
	r.limiter.Remove(id)
	delete(r.admitted, id)
	at := slices.Index(r.order, id)
	r.order = slices.Delete(r.order, at, at+1)
	if !regular {
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
	case client.regular && client.steps == 1:
		r.limiter.CommandStarted(id, now)
		r.limiter.CommandRead(id, CommandRequest, now)
		client.nextStepAt = now + 3e3
	case client.regular && client.steps == 2:
		r.limiter.ReplyWritten(id, now)
		client.nextStepAt = now + 500e3 // stays idle for 0.5 s and then closes
	case client.regular:
		r.close(id, now)
	case r.behavior.partial:
		r.limiter.CommandStarted(id, now)
		client.nextStepAt = noStep
	case r.behavior.trickling && client.steps == 1:
		r.limiter.CommandStarted(id, now)
		client.nextStepAt = now + 20e3
	case r.behavior.trickling:
		r.limiter.CommandContinued(id, now)
		client.nextStepAt = now + 20e3
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
		if head.regular {
			r.served++
			r.longestWait = max(r.longestWait, now-head.queuedAt)
		}
	}
	if len(r.queue) == 0 {
		r.limiter.QueueEmptied()
	}
}

func (r *floodRun) reject(client queuedClient, now Time) {
	if client.regular {
		r.rejected++
		r.longestWait = max(r.longestWait, now-client.queuedAt)
	} else {
		r.queue = append(r.queue, queuedClient{queuedAt: now + 5e3})
	}
}
