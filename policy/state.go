package policy

import "math/rand/v2"

// The state of an engine. This file makes no decisions.

// Engine makes the decisions of one relay. It is not safe for concurrent use.
type Engine struct {
	settings             Settings
	rng                  *rand.Rand
	now                  Time
	actions              []Action        // of the current step
	destinations         []*destination  // sorted by id
	departedRoutes       []departedRoute // oldest first, at most maxDepartedRoutes
	endpoints            map[EndpointID]*endpoint
	messages             map[uint32]*message
	pending              pendingMessages // messages that have not ended
	orderedQueues        map[uint64]*orderedQueue
	timers               schedule[timer]
	finishedMessages     int            // since the timers of finished messages were last removed
	dirty                []*destination // their next message must be chosen in this step
	readyDestinations    []*destination // have a next message that waits only for a slot
	tenantQuotas         []tokenBucket
	activations          tokenBucket // an activation that finds a token here counts as isolated; see activate
	callsInFlight        int
	messagesInFlight     int             // messages that have not ended and have an attempt in flight
	timerAt              Time            // when the timer that was requested last fires
	polledAt             Time            // when the endpoint list was last requested; 0 for never
	shareDivisor         float64         // a destination's rate divided by this is this relay's share
	shedPasses           int             // passes over all pending messages so far
	nextSendTimeCalls    int             // calls of nextSendTime, the expensive part of a step
	connectFailureRatios []float64       // share of calls that could not get a connection, by kind of destination
	latency              latencyEstimate // over all answers
	saturatedSince       Time            // since when messages have waited with all slots taken; 0 if none do now
}

// timer is a function to be called at a time.
type timer struct {
	run     func()
	message *message // once this message has finished, the function has no effect; nil if that never holds
}

// destination has a queue of messages, and one limiter, or one for each independent route.
type destination struct {
	id            int
	kind          DestinationKind
	kindIndex     int // index of kind in Settings.DestinationKinds
	limiters      []*limiter
	departed      *departedHealth // of the endpoints that have left the list; nil if none have, or if they are routes
	queue         []*message
	callsInFlight int
	dirty         bool
	wakeAt        Time // when its next timer marks it dirty
	shedPass      int  // the load-shedding pass in which queueEmptyAt was computed
	queueEmptyAt  Time // when all messages that wait now are expected to have been sent
	nextMessage   *message
	nextEndpoint  *endpoint
	nextPriority  float64 // weight that nextMessage loses by waiting, per µs of the usual latency
}

// limiter limits the calls to a destination, or to one route of a destination with independent routes. A Retry-After
// and the request history apply to all its endpoints.
type limiter struct {
	destination      *destination
	endpoints        []*endpoint
	history          slidingCounter
	answeredSentAt   Time    // when the latest of the calls that have succeeded was sent
	window           float64 // calls that may be in flight
	callsInFlight    int
	retryAfterUntil  Time
	backoffUntil     Time    // end of the backoff after a rejection or a random drop
	nominalRate      float64 // calls per second for all relays by the list, or observed; 0 if unknown
	reportedRate     float64 // the same by the last load report
	rateMultiplier   float64
	reducedRate      float64 // this relay's limit since the last rejection, which was at reducedAt
	reducedAt        Time    // 0 if the rate is not reduced
	tokens           tokenBucket
	rateBound        bool // the rate has held back a call since the last one was sent
	rejectionRun     int  // consecutive rejections
	firstRejectionAt Time // start of that run
	latency          latencyEstimate
}

// endpoint is one address of a destination, with the health that this relay has observed.
type endpoint struct {
	health

	id                    EndpointID
	zone                  int
	limiter               *limiter
	state                 Readiness
	callsInFlight         int
	connections           int  // open connections, as far as the engine knows
	idleSince             Time // end of the last call
	idleCheckScheduled    bool
	connectFailedAt       Time    // when a call last got no connection; 0 once a call in flight then has been answered
	connectCost           float64 // cost of opening a connection, in calls
	identityRejectedUntil Time
	latency               latencyEstimate
	removedAt             Time // when it was removed from the list
	answeredSentAt        Time // limiter.answeredSentAt at that time
}

// health is what this relay knows of the failures and the recovery of an endpoint. The endpoints of a
// destination share their outages, unless they are independent routes; see outage.go.
type health struct {
	backoffUntil      Time    // end of the backoff of an endpoint that fails but is not unhealthy
	failureScore      float64 // exponentially smoothed share of failures, 0 to 1
	unhealthy         bool    // ejected until a call succeeds, then recovering until the ramp is over
	firstFailureAt    Time
	lastFailureAt     Time
	lastFailureSilent bool // the last failure was one without an answer
	recoveredAt       Time // start of the recovery ramp; 0 if there was no success since the last failure
	recoverySentAt    Time // when the call whose success started the ramp was sent
	lastSuccessAt     Time
	recoveryBudget    tokenBucket
	requiredTokens    float64 // tokens that the next call takes from the budget
}

// message is pending until it ends, and known until its last attempt is over.
type message struct {
	id                 uint32
	key                uint64
	class              *Class
	destination        *destination
	objectiveAt        Time
	deadline           Time
	weight             float64
	waitingLoss        float64 // weight lost by waiting, as of the last ordering of the queue
	finished           bool
	recoveredUntried   bool // an earlier process accepted it without an attempt, and it has had none since
	pendingIndex       int
	attempts           int
	uncountedAttempts  int       // attempts that never left the relay and do not count
	firstUncertainAt   Time      // when the first attempt that may have run was sent; 0 if none
	firstUncertainZone int       // zone of that attempt
	lastFailedEndpoint *endpoint // endpoint of the last attempt
	call               *call
}

// call is one call in flight, with the messages that share it.
type call struct {
	endpoint        *endpoint
	sentAt          Time
	openAttempts    int
	opensConnection bool // the cost of opening a connection was charged
	observed        bool // its outcome has been counted
	messages        []*message
}
