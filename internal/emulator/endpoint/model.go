package endpoint

import (
	"troutusher/internal/event"
)

// Message is what the emulator knows of a message that calls may be for.
type Message struct {
	Number      int // in the plan; its service times are drawn by it
	Class       int
	Destination int
	Finished    bool // nothing more is owed for it
}

// Rules are the platform's limits, which hold at every destination.
type Rules struct {
	Relays      int
	MaxInFlight int // calls that a relay may have in flight; 0 for any number
	MaxAttempts int // calls for one message; 0 for any number
}

// ConnID identifies a connection. 0 is none.
type ConnID uint64

// Model emulates the endpoints of all destinations of a rehearsal. It is not safe
// for concurrent use.
type Model struct {
	seed          uint64
	rules         Rules
	lookupMessage func(id string) (Message, bool)
	emit          func(event.Event)
	destinations  []*destination
	endpoints     []*endpoint
	conns         map[ConnID]*connection
	lastConn      ConnID
	lastCall      uint64
	attempts      map[string]int // calls so far, by message
	inFlight      []int          // calls in flight, by relay
	timers        timerQueue
	lastTimer     uint64
	now           Time
	effects       []Effect
	nextKeySweep  Time // when idempotency keys are next deleted whose window is over
}

// destination is what its endpoints share.
type destination struct {
	Spec
	limiter    *rateLimiter
	dedupUntil map[string]Time // by idempotency key: until when a repeat is dropped
}

// endpoint is one endpoint of a destination.
type endpoint struct {
	index             int
	destination       *destination
	concurrency       int     // calls in service at once
	serviceTimeScale  float64 // factor on service times, see Spec.concurrency
	faults            []*Fault
	draining          bool
	listener          ListenerState
	conns             map[ConnID]*connection
	connOrder         []ConnID // of conns, by age
	inService         completionHeap
	queue             []*call
	workDone          float64 // work that a call in service since time 0 would have got, in µs at full speed
	workDoneAt        Time    // time of workDone
	speed             float64 // work per µs
	completionVersion int     // of the timer of the next completion
	activeOutages     int
	warmingUp         bool
	recoveredAt       Time
	collapsed         bool
	group             *warmUpGroup
	limiter           *rateLimiter
	handshakeCost     float64 // of TLS handshakes, in calls; the part that is not yet a whole call
}

// New makes a model. lookup returns the messages that were submitted; emit is called
// with each event, in order.
func New(
	specs []Spec, rules Rules, seed uint64, lookup func(id string) (Message, bool), emit func(event.Event),
) (*Model, error) {
	m := &Model{
		seed:          seed,
		rules:         rules,
		lookupMessage: lookup,
		emit:          emit,
		conns:         map[ConnID]*connection{},
		attempts:      map[string]int{},
		inFlight:      make([]int, rules.Relays),
	}
	for _, spec := range specs {
		if err := spec.validate(); err != nil {
			return nil, err
		}
		m.addDestination(spec)
	}
	return m, nil
}

func (m *Model) addDestination(spec Spec) {
	d := &destination{Spec: spec, limiter: newRateLimiter(spec.RateLimit), dedupUntil: map[string]Time{}}
	concurrency, scale := spec.concurrency()
	sharedGroup := &warmUpGroup{}
	for range spec.Endpoints {
		e := &endpoint{
			index:            len(m.endpoints),
			destination:      d,
			concurrency:      concurrency,
			serviceTimeScale: scale,
			conns:            map[ConnID]*connection{},
			speed:            1,
			limiter:          d.limiter,
			group:            sharedGroup,
		}
		if spec.IndependentRoutes {
			e.limiter, e.group = newRateLimiter(spec.RateLimit), &warmUpGroup{}
		}
		e.group.endpoints = append(e.group.endpoints, e)
		m.endpoints = append(m.endpoints, e)
	}
	m.destinations = append(m.destinations, d)
}

// Endpoints is the number of endpoints. They are numbered from 0, in the order of
// the specifications.
func (m *Model) Endpoints() int { return len(m.endpoints) }

// Destination is the destination of an endpoint.
func (m *Model) Destination(endpoint int) int { return m.endpoints[endpoint].destination.Destination }

// Capacity is the rate that an endpoint can serve at a time, in calls a second. It
// leaves slow service out: the rule on recovered destinations is about warm-up.
func (m *Model) Capacity(endpoint int, now Time) float64 {
	e := m.endpoints[endpoint]
	return e.destination.Capacity * e.capacityShare(now)
}

// record emits an event of now.
func (m *Model) record(e event.Event) {
	e.At = m.now
	m.emit(e)
}
