package runner

import (
	"slices"
	"sync"

	"troutusher/internal/event"
	"troutusher/internal/rehearsal/checker"
)

// CallCounts counts the calls that came to a partner's endpoints.
type CallCounts struct {
	Started      int `json:"began"`
	Delivered    int `json:"delivered"`
	Rejected     int `json:"refused"` // answered 429 or 503
	Failed       int `json:"failed"`  // answered with an error, a damaged response or not at all
	Executed     int `json:"ran"`     // took effect
	HealthChecks int `json:"probes"`
}

// eventCollector brings the events of all sources into one order, and passes them on.
type eventCollector struct {
	mu        sync.Mutex
	checker   *checker.Checker
	lastTime  event.Time
	calls     []CallCounts       // by partner
	partnerOf []int              // by endpoint
	onEnd     func(*event.Event) // called with deliveries and notices
	onEvent   func(*event.Event) // called with every event; may be nil
}

// emit takes an event. All sources use one clock, but an emulator's timers may be some
// hundred microseconds late: the times of the record never go back.
func (c *eventCollector) emit(e event.Event) {
	c.record(&e)
	if e.Kind == event.CallEnded && e.Status == event.StatusDelivered || e.Kind == event.NoticeReceived {
		c.onEnd(&e)
	}
	if c.onEvent != nil {
		c.onEvent(&e)
	}
}

// record sets an event's time in the record, shows the event to the checker and counts it.
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

// countsOf returns the counts of an endpoint's partner, nil for no endpoint.
func (c *eventCollector) countsOf(endpoint int) *CallCounts {
	if endpoint < 0 || endpoint >= len(c.partnerOf) {
		return nil
	}
	return &c.calls[c.partnerOf[endpoint]]
}

// violations is the number of violations that the checker has found.
func (c *eventCollector) violations() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.checker.Violations())
}

// finish ends the record, and returns what the checker found and the counts of calls.
func (c *eventCollector) finish(now event.Time) ([]checker.Violation, checker.RestartCounts, []CallCounts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checker.Finish(now)
	return c.checker.Violations(), c.checker.RestartCounts(), slices.Clone(c.calls)
}

// add counts an event of a call.
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
