package policy

import "fmt"

// trackedMessage is the checker's record of a message.
type trackedMessage struct {
	class, destination int
	zone               int // zone of the first attempt that may have run
	key                uint64
	number             int // position in the order of arrival
	deadline           Time
	attempts           int
	inFlight           bool
	firstUncertainAt   Time
	uncertain, ended   bool
}

// attemptInFlight is an attempt that was sent and has not ended.
type attemptInFlight struct {
	message   uint32
	attempt   int
	endpoint  EndpointID
	timeoutAt Time
}

// checker checks the delivery rules. It keeps records of its own, made from an engine's events and actions, and uses
// nothing of the engine's state.
type checker struct {
	settings        Settings
	endpoints       map[EndpointID]EndpointUpdate
	notReadySince   map[EndpointID]Time // when the list said that an endpoint is draining or gone
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

// afterRestart returns a checker for the next engine. It knows none of the messages, but keeps the counts and the
// violations.
func (c *checker) afterRestart() *checker {
	next := newChecker(c.settings)
	next.violations = c.violations
	next.sends = c.sends
	next.rejected = c.rejected
	next.failed = c.failed
	return next
}

func (c *checker) violation(now Time, format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%d: ", now)+fmt.Sprintf(format, args...))
}

// retryAfterScope returns a name for all the endpoints to which an endpoint's Retry-After applies.
func (c *checker) retryAfterScope(id EndpointID) string {
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
	if event.RetryAfter > 0 { // also if the rest of the answer could not be read
		scope := c.retryAfterScope(event.Endpoint)
		c.retryAfterUntil[scope] = max(c.retryAfterUntil[scope], now+event.RetryAfter)
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
		c.violation(now, "message %d was sent and never submitted", action.Message)
		return
	case message.ended:
		c.violation(now, "message %d was sent after it had ended", action.Message)
	case message.inFlight:
		c.violation(now, "message %d has two attempts in flight", action.Message)
	case !known || entry.Destination != message.destination:
		c.violation(now, "message %d was sent to endpoint %d of another destination", action.Message, action.Endpoint)
	case action.TimeoutAt > message.deadline:
		c.violation(now, "message %d: attempt times out at %d, after the deadline %d", action.Message,
			action.TimeoutAt, message.deadline)
	case c.settings.MaxAttempts > 0 && message.attempts >= c.settings.MaxAttempts:
		c.violation(now, "message %d was sent again after %d attempts, want at most %d", action.Message,
			message.attempts, c.settings.MaxAttempts)
	}
	c.checkEndpoint(now, action.Endpoint, fmt.Sprintf("message %d", action.Message))
	c.checkIdempotency(now, action.Message, entry.Zone)
	c.checkOrder(now, action.Message)
	if !message.uncertain {
		message.firstUncertainAt = now // the dedup window starts here if this attempt turns out uncertain
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

// checkEndpoint checks that nothing is sent to an endpoint that is draining or gone, or whose Retry-After is in force.
func (c *checker) checkEndpoint(now Time, id EndpointID, sent string) {
	if since, notReady := c.notReadySince[id]; notReady && now > since+c.settings.DrainGrace {
		c.violation(now, "%s was sent to endpoint %d, draining or gone since %d", sent, id, since)
	}
	if until := c.retryAfterUntil[c.retryAfterScope(id)]; now < until {
		c.violation(now, "%s was sent to endpoint %d, whose Retry-After ends at %d", sent, id, until)
	}
}

// checkIdempotency checks that a message that may have run is sent again only as its class allows.
func (c *checker) checkIdempotency(now Time, id uint32, zone int) {
	message := c.messages[id]
	class := &c.settings.Classes[message.class]
	if !message.uncertain {
		return
	}
	switch class.Idempotency {
	case NonIdempotent:
		c.violation(now, "non-idempotent message %d may have run and was sent again", id)
	case IdempotentByKey:
		if windowEnd := message.firstUncertainAt + class.DedupWindow; now > windowEnd {
			c.violation(now, "idempotent by key: message %d was retried after its dedup window's end %d", id, windowEnd)
		}
		if class.DedupPerZone && zone != message.zone {
			c.violation(now, "idempotent by key: message %d was retried in zone %d, first sent in zone %d", id,
				zone, message.zone)
		}
	}
}

// checkOrder checks that the messages of one key are sent one at a time, and that the next one waits for the key's
// backoff if the last may still be running.
func (c *checker) checkOrder(now Time, id uint32) {
	message := c.messages[id]
	if !c.settings.Classes[message.class].Ordered || message.key == 0 {
		return
	}
	for _, otherID := range c.order[message.key] {
		other := c.messages[otherID]
		if other.number < message.number && (!other.ended || other.inFlight) {
			c.violation(now, "order: message %d was sent before the earlier message %d ended", id, otherID)
		}
	}
	if until := c.backoffUntil[message.key]; message.attempts == 0 && now < until {
		c.violation(now, "order: message %d was sent during its key's backoff until %d", id, until)
	}
}

// checkEnd checks that each message gets one answer, in time, and is rejected only if it may be submitted again.
func (c *checker) checkEnd(now Time, action Action) {
	message := c.messages[action.Message]
	if message == nil || message.ended {
		c.violation(now, "message %d got a second answer, or was never submitted", action.Message)
		return
	}
	message.ended = true
	if latest := message.deadline + c.settings.ReplyGrace; now > latest {
		c.violation(now, "message %d was answered after %d", action.Message, latest)
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
		c.violation(now, "message %d may have run and was rejected, want a failure", action.Message)
	}
}

func (c *checker) checkDeadlines(now Time) {
	for id, message := range c.messages {
		if !message.ended && now > message.deadline+c.settings.ReplyGrace {
			c.violation(now, "message %d has no answer after its deadline %d", id, message.deadline)
			message.ended = true
		}
	}
	if slots := c.settings.MaxConcurrentCalls; len(c.inFlight) > slots*maxBatch(c.settings) {
		c.violation(now, "%d attempts are in flight, want at most %d with %d slots", len(c.inFlight),
			slots*maxBatch(c.settings), slots)
	}
}

func maxBatch(settings Settings) int {
	most := 1
	for _, kind := range settings.DestinationKinds {
		most = max(most, kind.BatchSize)
	}
	return most
}

// nextStepTime returns the time of the next step: at most latest, but no later than the next timer or timeout.
func (c *checker) nextStepTime(now, latest Time) Time {
	for _, dueAt := range c.timers {
		latest = min(latest, max(dueAt, now+1))
	}
	for _, attempt := range c.inFlight {
		latest = min(latest, max(attempt.timeoutAt, now+1))
	}
	return latest
}
