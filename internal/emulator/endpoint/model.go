package endpoint

import (
	"troutusher/internal/event"
)

// Message holds the facts about a submitted message that the emulator needs to handle its calls.
type Message struct {
	Number      int // position in the plan; determines the random draws for its calls
	Class       int
	Destination int
	Finished    bool // its outcome is settled; no further calls are allowed
}

// Rules are the limits on the calls of relays that apply at every destination alike.
type Rules struct {
	Relays      int
	MaxInFlight int // calls that a relay may have in flight; 0 for no limit
	MaxAttempts int // calls for one message; 0 for no limit
}

// ConnID identifies a connection. The zero value means no connection.
type ConnID uint64

// Model emulates the endpoints of all destinations of a rehearsal. It is not safe for concurrent use.
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
	attempts      map[string]int // number of calls so far, by message
	inFlight      []int          // number of calls in flight, by relay
	timers        timerQueue
	lastTimer     uint64
	now           Time
	effects       []Effect
	nextKeySweep  Time // when expired idempotency keys are deleted next
}

// destination is the state that the endpoints of a destination share.
type destination struct {
	Spec
	limiter    *rateLimiter
	dedupUntil map[string]Time // by idempotency key: the time until which repeats are dropped
}

// endpoint is one endpoint of a destination.
type endpoint struct {
	index             int
	destination       *destination
	concurrency       int     // maximum number of calls in service
	serviceTimeScale  float64 // factor on service times that Spec.concurrency returns
	faults            []*Fault
	draining          bool
	listener          ListenerState
	conns             map[ConnID]*connection
	connOrder         []ConnID // of conns, by age
	inService         completionHeap
	queue             []*call
	workDone          float64 // work that a call in service since time 0 would have received, in µs at full speed
	workDoneAt        Time    // time up to which workDone is computed
	speed             float64 // work that each call in service receives per µs
	completionVersion int     // completion timers of an older version are ignored
	activeOutages     int     // number of active faults that cause an outage
	warmingUp         bool
	recoveredAt       Time         // when the last outage or planned stop ended
	stoppedAt         Time         // when it last went down
	collapsed         bool         // it was overloaded while it warmed up, and never serves again
	group             *warmUpGroup // the endpoints that collapse together with it
	limiter           *rateLimiter
	handshakeCost     float64 // load of TLS handshakes, in calls, that does not yet add up to a whole call
}

// New returns a model of the endpoints in specs. The model calls lookup to find a submitted message,
// and emit with each event, in order.
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

// Endpoints returns the number of endpoints. They are numbered from 0, in the order of the
// specifications.
func (m *Model) Endpoints() int { return len(m.endpoints) }

// Destination returns the number of the destination that an endpoint belongs to.
func (m *Model) Destination(endpoint int) int { return m.endpoints[endpoint].destination.Destination }

// Capacity returns the rate that an endpoint can serve at the time now, in calls per second. It
// ignores SlowService faults, because the rule about recovering destinations concerns only the
// warm-up.
func (m *Model) Capacity(endpoint int, now Time) float64 {
	e := m.endpoints[endpoint]
	return e.destination.Capacity * e.capacityShare(now)
}

// record emits an event at the model's current time.
func (m *Model) record(e event.Event) {
	e.At = m.now
	m.emit(e)
}
