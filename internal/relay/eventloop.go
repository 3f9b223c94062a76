package relay

import (
	"time"

	"troutusher/internal/core"
	"troutusher/internal/msgtrace"
)

func (r *Relay) post(e core.Event) { r.inbox.Put(loopInput{event: e}) }

// observe has the core take lists in without a decision.
func (r *Relay) observe(lists []core.EndpointListUpdated) {
	events := make([]core.Event, 0, len(lists))
	for _, l := range lists {
		events = append(events, l)
	}
	r.execute(r.core.Observe(r.now(), events, r.effects[:0]))
}

// eventLoop is the one goroutine that the core belongs to: it hands over what has
// happened and carries out what is to be done.
func (r *Relay) eventLoop(cl *clientServer, failed <-chan error) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	listening, told := true, false
	var quiet chan struct{} // closed once nothing that clients sent is without its answer; nil until they are let go for good
	for {
		wait := time.Hour
		if at := r.core.NextWakeup(); at > 0 {
			wait = time.Duration(at-r.now()+1) * time.Microsecond
		}
		if _, stopping := r.core.ShuttingDown(0); stopping {
			wait = min(wait, 20*time.Millisecond)
		}
		if r.cfg.Console != "" {
			wait = min(wait, endpointStatsInterval)
		}
		if at := r.stateSaver.saveIfDue(r.now()); at > 0 {
			wait = min(wait, time.Duration(at-r.now()+1)*time.Microsecond)
		}
		timer.Reset(max(wait, 0))
		select {
		case <-r.inbox.Ready():
		case <-timer.C:
		case err := <-failed:
			return err
		}
		r.processInbox()
		if t := r.pendingHandover; t != nil {
			r.pendingHandover = nil
			if err := r.handOver(t, cl); err != nil {
				return err
			}
		}
		gone, stopping := r.core.ShuttingDown(r.now())
		if !stopping {
			continue
		}
		if !told && !r.core.KeepsClientConnections(r.now()) {
			told = true
			hitFailpoint(failpointClientsReleased)
			r.lifecycle.stop()
		}
		if listening && gone >= core.CloseListenerAfter {
			listening = false
			hitFailpoint(failpointListenersClosing)
			cl.server.CloseListeners()
		}
		if told && !listening && quiet == nil {
			// The front reads on until it has nothing open: a request that it had read
			// as this process ended would have no answer.
			done := make(chan struct{})
			quiet = done
			cl.server.Shutdown(func() { close(done); r.inbox.Put(loopInput{}) })
		}
		idle := isClosed(quiet) && r.core.UnansweredRequests() == 0 && r.core.OpenCalls() == 0 && (r.core.HeldMessages() == 0 || gone >= core.StopSendsAfter)
		if !idle && gone >= core.AbandonCallsAfter && !isClosed(quiet) { // half a command, maybe
			done := make(chan struct{})
			cl.server.Pause(func() { close(done) })
			r.processUntil(func() bool { return isClosed(done) && r.core.UnansweredRequests() == 0 }, lastReplyTimeout)
		}
		if idle || gone >= core.AbandonCallsAfter {
			hitFailpoint(failpointProcessEnd)
			r.log.Info(msgtrace.Stopped, "held", r.core.HeldMessages(), "calls", r.core.OpenCalls())
			return nil
		}
	}
}

// lastReplyTimeout is how long requests that were read have for their answers, once a
// process is out of time.
const lastReplyTimeout = 200 * time.Millisecond

// isClosed reports whether a channel is closed on which nothing is sent.
func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// processInbox hands over what has happened so far.
func (r *Relay) processInbox() {
	r.received = r.inbox.TakeAll(r.received)
	r.events = r.events[:0]
	for i := range r.received {
		switch h := &r.received[i]; {
		case h.config != nil:
			r.reconfigure(h.config)
		case h.handover != nil:
			r.pendingHandover = h.handover // there is one at a time
		case h.event != nil:
			r.events = append(r.events, h.event)
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
