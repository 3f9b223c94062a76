package runner

import (
	"sync"

	"troutusher/internal/event"
	"troutusher/internal/rehearsal/checker"
)

// CallCounts counts the calls that came to a partner's endpoints.
type CallCounts struct {
	Started      int `json:"began"`
	Delivered    int `json:"delivered"`
	Rejected     int `json:"refused"` // answered 429 or 503
	Failed       int `json:"failed"`  // answered with an error, spoilt or not at all
	Executed     int `json:"ran"`     // took effect
	HealthChecks int `json:"probes"`
}

// eventCollector is where everything that happens comes together, in one order.
type eventCollector struct {
	mu        sync.Mutex
	checker   *checker.Checker
	lastTime  event.Time
	calls     []CallCounts       // by partner
	partnerOf []int              // the partner of an endpoint
	onEnd     func(*event.Event) // of deliveries and notices
	onEvent   func(*event.Event) // of everything; may be nil
}

// emit takes an event. Sources stamp them with one clock, but a stand-in's
// agenda may be some hundred microseconds behind; the record's moments never
// go back.
func (h *eventCollector) emit(e event.Event) {
	h.mu.Lock()
	e.At = max(e.At, h.lastTime)
	h.lastTime = e.At
	h.checker.Step(e)
	if c := h.countsOf(e.Endpoint); c != nil {
		switch e.Kind {
		case event.CallBegan:
			c.Started++
		case event.Ran:
			c.Executed++
		case event.Probed:
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
	watch := h.onEvent
	h.mu.Unlock()
	if e.Kind == event.CallEnded && e.Status == event.StatusDelivered || e.Kind == event.Noticed {
		h.onEnd(&e)
	}
	if watch != nil {
		watch(&e)
	}
}

func (h *eventCollector) countsOf(ep int) *CallCounts {
	if ep < 0 || ep >= len(h.partnerOf) {
		return nil
	}
	return &h.calls[h.partnerOf[ep]]
}
