package runner

import (
	"slices"
	"sync"

	"troutusher/internal/event"
	"troutusher/internal/rehearsal/checker"
)

// CallCounts counts the calls that a partner's endpoints received.
type CallCounts struct {
	Started      int `json:"began"`
	Delivered    int `json:"delivered"`
	Rejected     int `json:"refused"` // answered 429 or 503
	Failed       int `json:"failed"`  // answered with an error, a damaged response or not at all
	Executed     int `json:"ran"`     // took effect
	HealthChecks int `json:"probes"`
}

// eventCollector puts the events of all sources into one order and passes them to the checker and
// to callbacks.
type eventCollector struct {
	mu        sync.Mutex
	checker   *checker.Checker
	lastTime  event.Time
	calls     []CallCounts       // by partner
	partnerOf []int              // by endpoint
	onEnd     func(*event.Event) // called with deliveries and notices
	onEvent   func(*event.Event) // called with every event; may be nil
}

// emit accepts an event from any source. All sources use one clock, but an emulator's timers may be
// some hundred microseconds late, so that events can arrive out of order. record therefore raises
// an event's time to that of the event before it if needed.
func (c *eventCollector) emit(e event.Event) {
	c.record(&e)
	if e.Kind == event.CallEnded && e.Status == event.StatusDelivered || e.Kind == event.NoticeReceived {
		c.onEnd(&e)
	}
	if c.onEvent != nil {
		c.onEvent(&e)
	}
}

// record makes an event's time not earlier than the last one, passes the event to the checker and
// counts it.
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

// finish ends the checker's record and returns the violations, the restart counts and the call
// counts by partner.
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
