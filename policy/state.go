package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// What a policy remembers; nothing is decided here.

// Engine decides for one relay.
type Engine struct {
	settings             Settings
	rng                  *rand.Rand
	now                  Time
	actions              []Action
	destinations         []*destination // by number
	endpoints            map[EndpointID]*endpoint
	messages             map[uint32]*message
	pending              []*message // not yet ended
	orderedQueues        map[uint64]*orderedQueue
	timers               schedule[func()] // what is put off
	dirty                []*destination   // to be looked at in this turn
	readyDestinations    []*destination   // wait for nothing but a slot
	tenantQuotas         []tokenBucket
	activations          tokenBucket // destinations that may still wake before many do together
	callsInFlight        int
	messagesInFlight     int // messages not ended with an attempt out
	timerAt              Time
	polledAt             Time
	shareDivisor         float64         // what a destination's rate is divided by for this relay's part
	shedPasses           int             // looks over all that is held so far
	nextSendTimeCalls    int             // how often it was asked when a destination opens: the dear part of a turn
	connectFailureRatios []float64       // share of calls that found no connection, by kind of destination
	latency              latencyEstimate // of all answers
	saturatedSince       Time            // since when messages wait and every slot is taken; 0 for not
}

// destination is a destination: a queue, and a lane for each thing that limits it.
type destination struct {
	id            int
	kind          DestinationKind
	kindIndex     int // its place in the settings
	limiters      []*limiter
	queue         []*message
	callsInFlight int
	dirty         bool
	wakeAt        Time // next moment in wakes
	shedPass      int  // the look that doneAt was found in
	drainedAt     Time // when what waits now will have gone
	nextMessage   *message
	nextEndpoint  *endpoint
	nextPriority  float64
}

// limiter is what one limit, one wait and one history bind: a destination, or a route where they are apart.
type limiter struct {
	destination      *destination
	endpoints        []*endpoint
	history          slidingCounter
	window           float64
	callsInFlight    int
	retryAfterUntil  Time // told to wait
	backoffUntil     Time // refused without a wait, or a draw was dropped
	nominalRate      float64
	reportedRate     float64
	rateMultiplier   float64
	reducedRate      float64 // pace after the last refusal, which was at cutAt; 0 for none
	reducedAt        Time
	tokens           tokenBucket
	rateBound        bool // the pace, not the traffic, decided when the last call went
	rejectionRun     int
	firstRejectionAt Time // the first of the run
	latency          latencyEstimate
}

// endpoint is one address, with what this relay saw of its health.
type endpoint struct {
	id                    EndpointID
	zone                  int
	limiter               *limiter
	state                 Readiness
	callsInFlight         int
	connections           int
	backoffUntil          Time // failing, but not yet held to be out
	idleSince             Time // end of the last call
	idleCheckScheduled    bool // a look at its idle connections is put off
	failureScore          float64
	unhealthy             bool
	firstFailureAt        Time
	lastFailureAt         Time
	recoveredAt           Time // first success since the last failure; 0 for none
	recoverySentAt        Time
	lastSuccessAt         Time
	recoveryBudget        tokenBucket
	requiredTokens        float64 // what the next call takes out of the budget
	connectFailedAt       Time    // last call that found no connection, where none that was out then has been answered yet
	lastFailureSilent     bool    // the last failure was a silence, not an answer
	connectCost           float64 // what a connection takes, in calls
	identityRejectedUntil Time    // until then its identity is not proved
	latency               latencyEstimate
}

// message is held until it is ended, and known until its last attempt is over.
type message struct {
	id                 uint32
	key                uint64
	class              *Class
	destination        *destination
	objectiveAt        Time
	deadline           Time
	weight             float64
	waitingLoss        float64 // by waiting, when its destination was last looked at
	finished           bool
	recoveredUntried   bool // an earlier process took it on and never tried it; until it has been tried
	pendingIndex       int  // in Policy.live
	attempts           int
	uncountedAttempts  int       // of them, never left the relay
	firstUncertainAt   Time      // send of the first attempt that may have run; 0 for none
	firstUncertainZone int       // its zone
	lastFailedEndpoint *endpoint // where its last attempt failed
	call               *call
}

// call is one call out, with the messages that share it.
type call struct {
	endpoint        *endpoint
	sentAt          Time
	openAttempts    int
	opensConnection bool // a connection was paid for
	observed        bool
	messages        []*message
}

// orderedQueue is the turn of one key in the classes that keep order.
type orderedQueue struct {
	messages     []*message
	backoffUntil Time
}

func (p *Engine) emit(a Action) { p.actions = append(p.actions, a) }

func (p *Engine) destinationFor(id int) *destination {
	at, ok := slices.BinarySearchFunc(p.destinations, id, func(d *destination, id int) int { return d.id - id })
	if !ok {
		p.destinations = slices.Insert(p.destinations, at, &destination{id: id, kind: DestinationKind{BatchSize: 1}})
	}
	return p.destinations[at]
}

// findDestination finds a destination; nil where there is none.
func (p *Engine) findDestination(id int) *destination {
	at, ok := slices.BinarySearchFunc(p.destinations, id, func(d *destination, id int) int { return d.id - id })
	if !ok {
		return nil
	}
	return p.destinations[at]
}

// dropDestination forgets a destination for which nothing waits. What was put off for it finds nothing to do.
func (p *Engine) dropDestination(d *destination) {
	for _, l := range d.limiters {
		for _, ep := range l.endpoints {
			if ep.state = Gone; p.endpoints[ep.id] == ep {
				delete(p.endpoints, ep.id)
			}
		}
	}
	p.destinations = slices.DeleteFunc(p.destinations, func(x *destination) bool { return x == d })
}

// restoreAttempts gives a message that an earlier process took on its past back. It may have nothing left but its end.
func (p *Engine) restoreAttempts(m *message, e *Event) {
	if m.attempts = e.Attempts; m.attempts > 0 {
		p.timers.add(p.now, func() { p.reevaluate(m) })
	}
	if e.FirstUncertainAt > 0 {
		p.recordUncertainAttempt(m, e.FirstUncertainAt, e.FirstUncertainZone)
	}
}

// recordUncertainAttempt keeps the first attempt of a message that may have run; the message is looked at when its window ends.
func (p *Engine) recordUncertainAttempt(m *message, sent Time, zone int) {
	m.firstUncertainAt, m.firstUncertainZone = sent, zone
	p.timers.add(max(m.firstUncertainAt+m.class.DedupWindow-2*p.settings.TickInterval+1, p.now+1), func() { p.reevaluate(m) })
}

// Weight is what a held message is worth in time; 0 for one that is not held.
func (p *Engine) Weight(id uint32) float64 {
	if m := p.messages[id]; m != nil {
		return m.weight
	}
	return 0
}

func (p *Engine) logf(format string, args ...any) {
	p.emit(Action{Kind: ActLog, Text: fmt.Sprintf(format, args...)})
}
