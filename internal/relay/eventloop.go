package relay

import (
	"time"

	"troutusher/internal/config"
	"troutusher/internal/core"
	"troutusher/policy"
)

// loopInput is what other goroutines tell the event loop. An empty one has it take
// another step.
type loopInput struct {
	event    core.Event
	config   *config.Config   // a new configuration
	handover *handoverRequest // another process is ready to take over
}

const (
	// maxLoopWait bounds the wait for an input where no timer is due.
	maxLoopWait = time.Hour
	// shutdownPollInterval is how often a relay that shuts down looks whether it
	// is done.
	shutdownPollInterval = 20 * time.Millisecond
)

// post tells the event loop of an event, from any goroutine.
func (r *Relay) post(e core.Event) { r.inbox.Put(loopInput{event: e}) }

// observe has the core take lists in without a decision.
func (r *Relay) observe(lists []core.EndpointListUpdated) {
	events := make([]core.Event, 0, len(lists))
	for _, l := range lists {
		events = append(events, l)
	}
	r.execute(r.core.Observe(r.now(), events, r.effects[:0]))
}

// eventLoop serves until the shutdown is done (nil), the work is another process's
// (errHandoverComplete), or the relay cannot go on. Its goroutine alone uses the
// core: it hands events in and executes the effects.
func (r *Relay) eventLoop() error {
	timer := time.NewTimer(maxLoopWait)
	defer timer.Stop()
	shutdown := &shutdown{relay: r}
	for {
		timer.Reset(r.untilNextStep())
		select {
		case <-r.inbox.Ready():
		case <-timer.C:
		case err := <-r.serverFailed:
			return err
		}
		r.processInbox()
		if err := r.servePendingHandover(); err != nil {
			return err
		}
		if shutdown.advance() {
			return nil
		}
	}
}

// untilNextStep is how long the event loop may wait for an input.
func (r *Relay) untilNextStep() time.Duration {
	wait := maxLoopWait
	if at := r.core.NextWakeup(); at > 0 {
		wait = r.until(at)
	}
	if _, shuttingDown := r.core.ShuttingDown(0); shuttingDown {
		wait = min(wait, shutdownPollInterval)
	}
	if r.cfg.Console != "" {
		wait = min(wait, endpointStatsInterval)
	}
	if at := r.stateSaver.saveIfDue(r.now()); at > 0 {
		wait = min(wait, r.until(at))
	}
	return max(wait, 0)
}

// until is the time until the core's clock has passed a moment.
func (r *Relay) until(at policy.Time) time.Duration {
	return time.Duration(at-r.now()+1) * time.Microsecond
}

// servePendingHandover hands the work over where another process has asked for it.
func (r *Relay) servePendingHandover() error {
	request := r.pendingHandover
	if request == nil {
		return nil
	}
	r.pendingHandover = nil
	return r.handOver(request)
}

// processInbox has the core take in what has happened so far, and decide.
func (r *Relay) processInbox() {
	r.received = r.inbox.TakeAll(r.received)
	r.events = r.events[:0]
	for i := range r.received {
		switch input := &r.received[i]; {
		case input.config != nil:
			r.reconfigure(input.config)
		case input.handover != nil:
			r.pendingHandover = input.handover // there is one at a time
		case input.event != nil:
			r.events = append(r.events, input.event)
		}
	}
	r.step()
}

// step lets the core decide on what has happened.
func (r *Relay) step() {
	began := time.Now()
	defer func() { r.longestStep = max(r.longestStep, time.Since(began)) }()
	r.execute(r.core.Step(r.now(), r.events, r.effects[:0]))
	clear(r.events)
	r.updateBoard()
}

// processUntil goes on with the loop's work until something holds, or time is up.
func (r *Relay) processUntil(until func() bool, wait time.Duration) bool {
	end := time.Now().Add(wait)
	tick := time.NewTicker(2 * time.Millisecond)
	defer tick.Stop()
	for !until() {
		if time.Now().After(end) {
			return false
		}
		select {
		case <-r.inbox.Ready():
		case <-tick.C:
		}
		r.processInbox()
	}
	return true
}
