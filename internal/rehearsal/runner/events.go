package runner

import (
	"slices"
	"sync"

	"troutusher/internal/event"
	"troutusher/internal/rehearsal/checker"
)

// CallCounts counts the calls that the endpoints of one partner received. A partner is the operator of
// a destination; a rehearsal emulates its endpoints.
type CallCounts struct {
	Started      int `json:"began"`
	Delivered    int `json:"delivered"`
	Rejected     int `json:"refused"` // with a status that proves that the call had no effect, such as 429
	Failed       int `json:"failed"`  // answered with another status, with a damaged response or not at all
	Executed     int `json:"ran"`     // took effect
	HealthChecks int `json:"probes"`
}

// eventCollector receives the events of the load generator, the emulators and the runner, puts them
// into one order and passes them to the checker and to callbacks.
type eventCollector struct {
	mu        sync.Mutex
	checker   *checker.Checker
	lastTime  event.Time
	calls     []CallCounts       // by partner
	partnerOf []int              // by endpoint
	onOutcome func(*event.Event) // called on a delivery, and on a notice that a message ended undelivered
	onEvent   func(*event.Event) // called with every event; may be nil
}

// emit accepts an event from any source. All sources use one clock, but events can arrive out of
// order: if a timer of the endpoint emulator causes an event, the event has the time at which the
// timer was due, and the timer may run some hundred microseconds later. In between, another source
// may emit an event with a later time. record therefore raises an event's time to that of the event
// before it if needed.
func (c *eventCollector) emit(e event.Event) {
	c.record(&e)
	if e.Kind == event.CallEnded && e.Status == event.StatusDelivered || e.Kind == event.NoticeReceived {
		c.onOutcome(&e)
	}
	if c.onEvent != nil {
		c.onEvent(&e)
	}
}

// record passes an event to the checker and counts it. If the event's time is earlier than that of
// the event recorded before it, record first sets it to that event's time.
func (c *eventCollector) record(e *event.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.At = max(e.At, c.lastTime)
	c.lastTime = e.At
	c.checker.Step(*e)
	if counts := c.countsOf(e.Endpoint); counts != nil {
		counts.add(e)
	}
}

// countsOf returns the counts of an endpoint's partner, or nil if there is no such endpoint.
func (c *eventCollector) countsOf(endpoint int) *CallCounts {
	if endpoint < 0 || endpoint >= len(c.partnerOf) {
		return nil
	}
	return &c.calls[c.partnerOf[endpoint]]
}

// violations returns the number of violations that the checker has found so far.
func (c *eventCollector) violations() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.checker.Violations())
}

// finish tells the checker that no more events follow. It returns the violations, the counts of the
// messages that restarted relays recovered, and the call counts by partner.
func (c *eventCollector) finish(now event.Time) ([]checker.Violation, checker.RestartCounts, []CallCounts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checker.Finish(now)
	return c.checker.Violations(), c.checker.RestartCounts(), slices.Clone(c.calls)
}

// add counts an event if it is about a call or a health check.
func (c *CallCounts) add(e *event.Event) {
	switch e.Kind {
	case event.CallReceived:
		c.Started++
	case event.TookEffect:
		c.Executed++
	case event.HealthCheckReceived:
		c.HealthChecks++
	case event.CallEnded:
		switch {
		case e.Status == event.StatusDelivered:
			c.Delivered++
		case event.NeverRan(e.Status):
			c.Rejected++
		default:
			c.Failed++
		}
	}
}
