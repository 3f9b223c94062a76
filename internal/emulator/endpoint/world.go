package endpoint

import (
	"container/heap"

	"troutusher/internal/event"
)

// Message is what a stand-in knows of a message that calls may bring.
type Message struct {
	Number      int // in the plan; its service times are drawn for it
	Class       int
	Destination int
	Finished    bool // nothing more is owed for the hand-in
}

// Rules are the figures that hold for every partner.
type Rules struct {
	Relays      int
	MaxInFlight int // calls that a relay may have out at once; 0 for any number
	MaxAttempts int // calls for one hand-in; 0 for any number
}

// Conn names a connection. 0 is none.
type Conn uint64

// ListenerState says how an endpoint meets new connections.
type ListenerState uint8

// Ways to meet new connections.
const (
	Accepting    ListenerState = iota
	Refusing                   // no listener
	Unresponsive               // they never come up
)

// EffectKind says what an Effect asks for.
type EffectKind uint8

// Kinds of effect.
const (
	WriteResponse EffectKind = iota // write an answer on Conn: Status, Wait, Form; then Close
	ResetConn                       // reset Conn
	ShutConn                        // close Conn
	SetListener                     // Endpoint meets new connections as Listen says
)

// Effect is something that the model asks of its driver.
type Effect struct {
	Kind       EffectKind
	Conn       Conn
	Endpoint   int
	Status     int
	RetryAfter Time
	SlotsTaken bool // the answer says that all slots of this relay were taken
	Defect     ResponseDefect
	Close      bool
	Listener   ListenerState
}

// Model is all partners of a rehearsal.
type Model struct {
	seed          uint64
	rules         Rules
	lookupMessage func(id string) (Message, bool)
	emit          func(event.Event)
	destinations  []*destination
	endpoints     []*endpoint
	conns         map[Conn]*conn
	lastConn      Conn
	lastCall      uint64
	attempts      map[string]int
	inFlight      []int // calls of each relay
	timers        timerQueue
	lastTimer     uint64
	now           Time
	effects       []Effect
	nextKeySweep  Time
}

// New makes the world. lookup tells of messages that were handed in; emit
// takes what happens, in order.
func New(
	specs []Spec, rules Rules, seed uint64, lookup func(id string) (Message, bool), emit func(event.Event),
) (*Model, error) {
	w := &Model{
		seed:          seed,
		rules:         rules,
		lookupMessage: lookup,
		emit:          emit,
		conns:         map[Conn]*conn{},
		attempts:      map[string]int{},
		inFlight:      make([]int, rules.Relays),
	}
	for _, s := range specs {
		if err := s.validate(); err != nil {
			return nil, err
		}
		p := &destination{Spec: s, limiter: newRateLimiter(s.RateLimit), dedupUntil: map[string]Time{}}
		slots, pace := s.concurrency()
		shared := &warmUpGroup{}
		for range s.Endpoints {
			ep := &endpoint{
				index: len(
					w.endpoints,
				),
				destination:      p,
				concurrency:      slots,
				serviceTimeScale: pace,
				conns:            map[Conn]*conn{},
				speed:            1,
				limiter:          p.limiter,
				group:            shared,
			}
			if s.IndependentRoutes {
				ep.limiter, ep.group = newRateLimiter(s.RateLimit), &warmUpGroup{}
			}
			ep.group.endpoints = append(ep.group.endpoints, ep)
			w.endpoints = append(w.endpoints, ep)
		}
		w.destinations = append(w.destinations, p)
	}
	return w, nil
}

// Endpoints is the number of endpoints; they are numbered from 0 in the
// partners' order.
func (w *Model) Endpoints() int { return len(w.endpoints) }

// Destination is the destination of an endpoint.
func (w *Model) Destination(ep int) int { return w.endpoints[ep].destination.Destination }

// Capacity is what an endpoint can do at a moment, in calls a second. Slow
// faults are not counted: the rule on returning destinations is about being cold.
func (w *Model) Capacity(ep int, now Time) float64 {
	e := w.endpoints[ep]
	return e.destination.Capacity * e.capacityShare(now)
}

// NextTimer is the moment at which the model wants to be stepped; false for none.
func (w *Model) NextTimer() (Time, bool) {
	if len(w.timers) == 0 {
		return 0, false
	}
	return w.timers[0].at, true
}

// Advance carries out all that is due at now. Moments never go back.
func (w *Model) Advance(now Time) {
	for len(w.timers) > 0 && w.timers[0].at <= now {
		it := heap.Pop(&w.timers).(timer)
		w.now = max(w.now, it.at)
		it.run()
	}
	w.now = max(w.now, now)
}

// TakeEffects hands over the effects so far.
func (w *Model) TakeEffects(into []Effect) []Effect {
	into = append(into, w.effects...)
	clear(w.effects)
	w.effects = w.effects[:0]
	return into
}

func (w *Model) schedule(d Time, do func()) {
	w.lastTimer++
	heap.Push(&w.timers, timer{w.now + max(d, 0), w.lastTimer, do})
}

func (w *Model) record(e event.Event) {
	e.At = w.now
	w.emit(e)
}
