package runner

import (
	"sync"

	"troutusher/internal/event"
	"troutusher/internal/rehearsal/checker"
)

// Calls counts the calls that came to a partner's endpoints.
type Calls struct {
	Began     int `json:"began"`
	Delivered int `json:"delivered"`
	Refused   int `json:"refused"` // answered 429 or 503
	Failed    int `json:"failed"`  // answered with an error, spoilt or not at all
	Ran       int `json:"ran"`     // took effect
	Probes    int `json:"probes"`
}

// hub is where everything that happens comes together, in one order.
type hub struct {
	mu    sync.Mutex
	judge *checker.Referee
	last  event.Time
	calls []Calls            // by partner
	of    []int              // the partner of an endpoint
	tell  func(*event.Event) // of deliveries and notices
	watch func(*event.Event) // of everything; may be nil
}

// emit takes an event. Sources stamp them with one clock, but a stand-in's
// agenda may be some hundred microseconds behind; the record's moments never
// go back.
func (h *hub) emit(e event.Event) {
	h.mu.Lock()
	e.At = max(e.At, h.last)
	h.last = e.At
	h.judge.Step(e)
	if c := h.partner(e.Endpoint); c != nil {
		switch e.Kind {
		case event.CallBegan:
			c.Began++
		case event.Ran:
			c.Ran++
		case event.Probed:
			c.Probes++
		case event.CallEnded:
			switch {
			case e.Status == event.StatusDelivered:
				c.Delivered++
			case event.NeverRan(e.Status):
				c.Refused++
			default:
				c.Failed++
			}
		}
	}
	watch := h.watch
	h.mu.Unlock()
	if e.Kind == event.CallEnded && e.Status == event.StatusDelivered || e.Kind == event.Noticed {
		h.tell(&e)
	}
	if watch != nil {
		watch(&e)
	}
}

func (h *hub) partner(ep int) *Calls {
	if ep < 0 || ep >= len(h.of) {
		return nil
	}
	return &h.calls[h.of[ep]]
}
