package policy

import "fmt"

// trackedMessage is what the checker knows of a message.
type trackedMessage struct {
	class, destination int
	zone               int // of the first attempt that may have run
	key                uint64
	number             int // in the order of arrival
	deadline           Time
	attempts           int
	inFlight           bool
	firstUncertainAt   Time
	uncertain, ended   bool
}

// attemptInFlight is an attempt that the checker has seen sent.
type attemptInFlight struct {
	message   uint32
	attempt   int
	endpoint  EndpointID
	timeoutAt Time
}

// checker checks the rules by records of its own, from the events that an engine is given and its actions.
type checker struct {
	settings        Settings
	endpoints       map[EndpointID]EndpointUpdate
	notReadySince   map[EndpointID]Time // draining or gone by the list
	messages        map[uint32]*trackedMessage
	inFlight        []attemptInFlight
	timers          []Time
	retryAfterUntil map[string]Time
	order           map[uint64][]uint32
	backoffUntil    map[uint64]Time
	healthChecks    []EndpointID
	violations      []string
	sends           int
	rejected        int
	failed          int
}

func newChecker(settings Settings) *checker {
	return &checker{
		settings:        settings,
		endpoints:       map[EndpointID]EndpointUpdate{},
		notReadySince:   map[EndpointID]Time{},
		messages:        map[uint32]*trackedMessage{},
		retryAfterUntil: map[string]Time{},
		order:           map[uint64][]uint32{},
		backoffUntil:    map[uint64]Time{},
	}
}

// restarted is a checker of the engine that follows: it knows none of the messages, and counts on.
func (c *checker) restarted() *checker {
	next := newChecker(c.settings)
	next.violations, next.sends, next.rejected, next.failed = c.violations, c.sends, c.rejected, c.failed
	return next
}

func (c *checker) violation(now Time, format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%d: ", now)+fmt.Sprintf(format, args...))
}

// route names what a Retry-After binds.
func (c *checker) route(id EndpointID) string {
	entry := c.endpoints[id]
	if c.settings.DestinationKinds[entry.Kind].IndependentRoutes {
		return fmt.Sprintf("e%d", id)
	}
	return fmt.Sprintf("d%d", entry.Destination)
}

func (c *checker) updateList(now Time, event Event) {
	if event.ListUpdate == ListFailed {
		return
	}
	listed := map[EndpointID]bool{}
	for _, entry := range event.Updates {
		listed[entry.Endpoint] = true
		if entry.State == Ready {
			delete(c.notReadySince, entry.Endpoint)
		} else if _, ok := c.notReadySince[entry.Endpoint]; !ok {
			c.notReadySince[entry.Endpoint] = now
		}
		c.endpoints[entry.Endpoint] = entry
	}
	if event.ListUpdate != ListFull && event.ListUpdate != ListCached {
		return
	}
	for id := range c.endpoints {
		if _, notReady := c.notReadySince[id]; !listed[id] && !notReady {
			c.notReadySince[id] = now
		}
	}
}

func (c *checker) stateOf(id EndpointID) Readiness {
	if _, notReady := c.notReadySince[id]; notReady {
		return Draining
	}
	return Ready
}

func (c *checker) submit(now Time, event Event, number int) {
	c.messages[event.Message] = &trackedMessage{
		class:       event.Class,
		destination: event.Destination,
		key:         event.Key,
		number:      number,
		deadline:    now + event.TimeLeft,
	}
	if c.settings.Classes[event.Class].Ordered && event.Key != 0 {
		c.order[event.Key] = append(c.order[event.Key], event.Message)
	}
}

func (c *checker) endAttempt(now Time, event Event) {
	message := c.messages[event.Message]
	message.inFlight = false
	switch event.Outcome {
	case Delivered:
		message.ended = true
	case Failed, TimedOut, ConnectionReset, Cancelled:
		if !message.uncertain {
			message.uncertain = true
			message.zone = c.endpoints[event.Endpoint].Zone
		}
	}
	if !message.uncertain {
		message.firstUncertainAt = 0
	}
	if event.Outcome == TimedOut || event.Outcome == ConnectionReset || event.Outcome == Cancelled {
		c.backoffUntil[message.key] = max(c.backoffUntil[message.key], now+c.settings.OrderedKeyBackoff)
	}
	if event.RetryAfter > 0 { // also where the answer that bore it was spoilt later
		route := c.route(event.Endpoint)
		c.retryAfterUntil[route] = max(c.retryAfterUntil[route], now+event.RetryAfter)
	}
}

func (c *checker) checkAction(now Time, action Action) {
	switch action.Kind {
	case ActSend:
		c.checkSend(now, action)
	case ActReject, ActFail:
		c.checkEnd(now, action)
	case ActTimer:
		c.timers = append(c.timers, now+action.After)
	case ActHealthCheck:
		c.checkEndpoint(now, action.Endpoint, "health check")
		c.healthChecks = append(c.healthChecks, action.Endpoint)
	}
}

func (c *checker) checkSend(now Time, action Action) {
	c.sends++
	message := c.messages[action.Message]
	entry, known := c.endpoints[action.Endpoint]
	switch {
	case message == nil:
		c.violation(now, "send of unknown %d", action.Message)
		return
	case message.ended:
		c.violation(now, "send of %d after its end", action.Message)
	case message.inFlight:
		c.violation(now, "two attempts of %d at once", action.Message)
	case !known || entry.Destination != message.destination:
		c.violation(now, "send of %d to an endpoint of another destination", action.Message)
	case action.TimeoutAt > message.deadline:
		c.violation(now, "attempt of %d outlives its deadline", action.Message)
	case c.settings.MaxAttempts > 0 && message.attempts >= c.settings.MaxAttempts:
		c.violation(now, "attempt %d of %d", message.attempts, action.Message)
	}
	c.checkEndpoint(now, action.Endpoint, fmt.Sprintf("send of %d", action.Message))
	c.checkIdempotency(now, action.Message, entry.Zone)
	c.checkOrder(now, action.Message)
	if !message.uncertain {
		message.firstUncertainAt = now // it counts from this send if this attempt may have run
	}
	message.attempts++
	message.inFlight = true
	c.inFlight = append(c.inFlight, attemptInFlight{
		message:   action.Message,
		attempt:   message.attempts - 1,
		endpoint:  action.Endpoint,
		timeoutAt: action.TimeoutAt,
	})
}

// checkEndpoint: nothing goes to an endpoint that drains or is gone, or before its Retry-After is over.
func (c *checker) checkEndpoint(now Time, id EndpointID, what string) {
	if since, notReady := c.notReadySince[id]; notReady && now > since+c.settings.DrainGrace {
		c.violation(now, "drain: %s to %d", what, id)
	}
	if now < c.retryAfterUntil[c.route(id)] {
		c.violation(now, "Retry-After: %s to %d", what, id)
	}
}

// checkIdempotency: what may have run goes out again only as its class allows.
func (c *checker) checkIdempotency(now Time, id uint32, zone int) {
	message := c.messages[id]
	class := &c.settings.Classes[message.class]
	if !message.uncertain {
		return
	}
	switch class.Idempotency {
	case NonIdempotent:
		c.violation(now, "non-idempotent %d sent again", id)
	case IdempotentByKey:
		if now > message.firstUncertainAt+class.DedupWindow {
			c.violation(now, "idempotent by key: %d sent outside its window", id)
		}
		if class.DedupPerZone && zone != message.zone {
			c.violation(now, "idempotent by key: %d left its zone", id)
		}
	}
}

// checkOrder: the messages of one key go one at a time, and the next rests where the last may run still.
func (c *checker) checkOrder(now Time, id uint32) {
	message := c.messages[id]
	if !c.settings.Classes[message.class].Ordered || message.key == 0 {
		return
	}
	for _, otherID := range c.order[message.key] {
		other := c.messages[otherID]
		if other.number < message.number && (!other.ended || other.inFlight) {
			c.violation(now, "order: %d before %d", id, otherID)
		}
	}
	if message.attempts == 0 && now < c.backoffUntil[message.key] {
		c.violation(now, "order: %d inside the backoff of its key", id)
	}
}

// checkEnd: each message has one answer, in time, and is rejected only where it may be handed in again.
func (c *checker) checkEnd(now Time, action Action) {
	message := c.messages[action.Message]
	if message == nil || message.ended {
		c.violation(now, "second answer for %d", action.Message)
		return
	}
	message.ended = true
	if now > message.deadline+c.settings.ReplyGrace {
		c.violation(now, "late answer for %d", action.Message)
	}
	if action.Kind == ActFail {
		c.failed++
		return
	}
	c.rejected++
	class := &c.settings.Classes[message.class]
	mayHaveRun := message.uncertain || message.inFlight
	perZone := class.Idempotency == IdempotentByKey && class.DedupPerZone
	if mayHaveRun && (class.Idempotency == NonIdempotent || perZone) {
		c.violation(now, "rejected %d which may have run", action.Message)
	}
}

func (c *checker) checkDeadlines(now Time) {
	for id, message := range c.messages {
		if !message.ended && now > message.deadline+c.settings.ReplyGrace {
			c.violation(now, "no answer for %d", id)
			message.ended = true
		}
	}
	if slots := c.settings.MaxConcurrentCalls; len(c.inFlight) > slots*maxBatch(c.settings) {
		c.violation(now, "%d attempts in flight with %d slots", len(c.inFlight), slots)
	}
}

func maxBatch(settings Settings) int {
	most := 1
	for _, kind := range settings.DestinationKinds {
		most = max(most, kind.BatchSize)
	}
	return most
}

// nextMoment is the next moment of the day: a timer or a timeout that comes due is not passed over.
func (c *checker) nextMoment(now, then Time) Time {
	for _, dueAt := range c.timers {
		then = min(then, max(dueAt, now+1))
	}
	for _, attempt := range c.inFlight {
		then = min(then, max(attempt.timeoutAt, now+1))
	}
	return then
}
