package policy

import "math/rand/v2"

// What the engine remembers; nothing is decided here.

// Engine decides for one relay. It is not safe for concurrent use.
type Engine struct {
	settings             Settings
	rng                  *rand.Rand
	now                  Time
	actions              []Action       // of the step that runs
	destinations         []*destination // by number
	endpoints            map[EndpointID]*endpoint
	messages             map[uint32]*message
	pending              pendingMessages // not yet ended
	orderedQueues        map[uint64]*orderedQueue
	timers               schedule[func()]
	dirty                []*destination // to be looked at in this step
	readyDestinations    []*destination // wait for nothing but a slot
	tenantQuotas         []tokenBucket
	activations          tokenBucket // destinations that may still wake before many do together
	callsInFlight        int
	messagesInFlight     int // messages not ended with an attempt in flight
	timerAt              Time
	polledAt             Time
	shareDivisor         float64         // what a destination's rate is divided by for this relay's part
	shedPasses           int             // passes over all pending messages so far
	nextSendTimeCalls    int             // the dear part of a step
	connectFailureRatios []float64       // share of calls that found no connection, by kind of destination
	latency              latencyEstimate // of all answers
	saturatedSince       Time            // since when messages wait and every slot is taken; 0 for not
}

// destination is a queue, and a limiter for each thing that limits it.
type destination struct {
	id            int
	kind          DestinationKind
	kindIndex     int // its place in the settings
	limiters      []*limiter
	queue         []*message
	callsInFlight int
	dirty         bool
	wakeAt        Time // the next timer that looks at it
	shedPass      int  // the pass that drainedAt was found in
	drainedAt     Time // when what waits now will have gone
	nextMessage   *message
	nextEndpoint  *endpoint
	nextPriority  float64
}

// limiter is what one limit, one Retry-After and one history bind: a destination, or a route where they are
// independent.
type limiter struct {
	destination      *destination
	endpoints        []*endpoint
	history          slidingCounter
	window           float64 // calls that may be in flight
	callsInFlight    int
	retryAfterUntil  Time
	backoffUntil     Time // rejected without a Retry-After, or a draw was dropped
	nominalRate      float64
	reportedRate     float64
	rateMultiplier   float64
	reducedRate      float64 // after the last rejection, which was at reducedAt; 0 for none
	reducedAt        Time
	tokens           tokenBucket
	rateBound        bool // the rate, not the traffic, decided when the last call went
	rejectionRun     int
	firstRejectionAt Time // of the run
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
	backoffUntil          Time // failing, but not yet unhealthy
	idleSince             Time // end of the last call
	idleCheckScheduled    bool
	failureScore          float64
	unhealthy             bool
	firstFailureAt        Time
	lastFailureAt         Time
	recoveredAt           Time // start of the ramp: first success since the last failure; 0 for none
	recoverySentAt        Time // when the call of that success was sent
	lastSuccessAt         Time
	recoveryBudget        tokenBucket
	requiredTokens        float64 // what the next call takes out of the budget
	connectFailedAt       Time    // last call that found no connection, and none out then was answered yet
	lastFailureSilent     bool    // no answer came
	connectCost           float64 // what opening a connection takes, in calls
	identityRejectedUntil Time
	latency               latencyEstimate
}

// message is pending until it is ended, and known until its last attempt is over.
type message struct {
	id                 uint32
	key                uint64
	class              *Class
	destination        *destination
	objectiveAt        Time
	deadline           Time
	weight             float64
	waitingLoss        float64 // what waiting costs, when its destination was last looked at
	finished           bool
	recoveredUntried   bool // an earlier process took it on and never tried it; until it has been tried
	pendingIndex       int
	attempts           int
	uncountedAttempts  int       // of them, never left the relay
	firstUncertainAt   Time      // send of the first attempt that may have run; 0 for none
	firstUncertainZone int       // its zone
	lastFailedEndpoint *endpoint // of its last attempt
	call               *call
}

// call is one call in flight, with the messages that share it.
type call struct {
	endpoint        *endpoint
	sentAt          Time
	openAttempts    int
	opensConnection bool // a connection was paid for
	observed        bool
	messages        []*message
}
