package relay

import (
	"time"

	"troutusher/internal/config"
	"troutusher/internal/core"
	"troutusher/policy"
)

// loopInput is an input of another goroutine to the event loop. At most one field is
// set. An empty input only causes another step.
type loopInput struct {
	event    core.Event
	config   *config.Config   // a new configuration
	handover *handoverRequest // a process that was started as the successor is ready to take over
}

const (
	// maxLoopWait bounds the wait for an input if no timer is due.
	maxLoopWait = time.Hour
	// shutdownPollInterval is how often the event loop checks, during a shutdown,
	// whether the shutdown is complete.
	shutdownPollInterval = 20 * time.Millisecond
)

// post sends an event to the event loop. It may be called from any goroutine.
func (r *Relay) post(e core.Event) { r.inbox.Put(loopInput{event: e}) }

// observe passes endpoint lists to the core, which applies them without running the policy.
func (r *Relay) observe(lists []core.EndpointListUpdated) {
	events := make([]core.Event, 0, len(lists))
	for _, list := range lists {
		events = append(events, r.applyDepartures(list))
	}
	r.execute(r.core.Observe(r.now(), events, r.effects[:0]))
}

// applyDepartures returns a list without the endpoints that have departed though the list has them as up. It
// writes to the log which endpoints have departed with the list, so that a later process of this relay, which
// may start with an older list, does not call them either.
func (r *Relay) applyDepartures(update core.EndpointListUpdated) core.EndpointListUpdated {
	if update.Kind == policy.ListCached { // read by departures.Set.Mask
		return update
	}
	complete := update.Kind == policy.ListFull
	update.List = r.departures.Resolve(update.List, complete)
	for _, record := range r.departures.Observe(update.List, complete) {
		r.wal.Submit(record, nil)
	}
	return update
}

// eventLoop passes events to the core and executes the core's effects. No other
// goroutine uses the core. It returns nil once the shutdown is complete,
// errHandoverComplete once another process has taken over, and another error if the
// relay cannot continue.
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

// untilNextStep returns how long the event loop may wait for an input. If a write of the policy
// state is due, it also starts that write.
func (r *Relay) untilNextStep() time.Duration {
	wait := maxLoopWait
	if at := r.core.NextWakeup(); at > 0 {
		wait = r.timeUntil(at)
	}
	if _, shuttingDown := r.core.ShuttingDown(0); shuttingDown {
		wait = min(wait, shutdownPollInterval)
	}
	if r.cfg.Console != "" {
		wait = min(wait, endpointStatsInterval)
	}
	if at := r.stateSaver.saveIfDue(r.now()); at > 0 {
		wait = min(wait, r.timeUntil(at))
	}
	return max(wait, 0)
}

// timeUntil returns how long it takes until the core's clock has passed at.
func (r *Relay) timeUntil(at policy.Time) time.Duration {
	return time.Duration(at-r.now()+1) * time.Microsecond
}

// servePendingHandover hands over to a successor if one has requested it.
func (r *Relay) servePendingHandover() error {
	request := r.pendingHandover
	if request == nil {
		return nil
	}
	r.pendingHandover = nil
	return r.handOver(request)
}

// processInbox handles all inputs that are in the inbox and executes one step.
func (r *Relay) processInbox() {
	r.received = r.inbox.TakeAll(r.received)
	r.events = r.events[:0]
	for i := range r.received {
		switch input := &r.received[i]; {
		case input.config != nil:
			r.reconfigure(input.config)
		case input.handover != nil:
			r.pendingHandover = input.handover // acceptHandovers passes one at a time
		case input.event != nil:
			if list, ok := input.event.(core.EndpointListUpdated); ok {
				input.event = r.applyDepartures(list)
			}
			r.events = append(r.events, input.event)
		}
	}
	r.step()
}

// step lets the core decide on the events of this step, and executes the effects.
func (r *Relay) step() {
	startedAt := time.Now()
	defer func() { r.longestStep = max(r.longestStep, time.Since(startedAt)) }()
	r.execute(r.core.Step(r.now(), r.events, r.effects[:0]))
	clear(r.events)
	r.updateStats()
}

// processUntil processes inputs until a condition holds or the timeout is over, and
// reports whether the condition holds.
func (r *Relay) processUntil(condition func() bool, timeout time.Duration) bool {
	deadline := time.Now().Add(timeout)
	tick := time.NewTicker(2 * time.Millisecond)
	defer tick.Stop()
	for !condition() {
		if time.Now().After(deadline) {
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
