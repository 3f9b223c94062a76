// Package checker judges the six rules over the record of a rehearsal, for every
// protocol and for simulated time alike. It takes events in their order and must never
// touch a socket, a file or a clock, know a protocol, or ask a relay for its own view.
package checker

import (
	"cmp"
	"fmt"
	"slices"

	"troutusher/internal/event"
)

// none stands for no relay, endpoint or message in a violation.
const none = -1

// Checker judges one rehearsal.
type Checker struct {
	config               Config
	now                  Time
	submissions          map[string]*submission // by their id
	submissionsByMessage map[int][]*submission
	deadlines            deadlineHeap
	orderedQueues        map[orderedQueueKey][]*submission
	calls                map[uint64]*call // those in flight, by their number
	effects              map[int][]effect // by message
	routes               map[routeKey]*route
	relays               []relayState
	restartCounts        RestartCounts
	violations           []Violation
}

// New makes a checker of a rehearsal that has not begun.
func New(config Config) *Checker {
	c := &Checker{
		config:               config,
		submissions:          map[string]*submission{},
		submissionsByMessage: map[int][]*submission{},
		orderedQueues:        map[orderedQueueKey][]*submission{},
		calls:                map[uint64]*call{},
		effects:              map[int][]effect{},
		routes:               map[routeKey]*route{},
		relays:               make([]relayState, config.Relays),
	}
	for i := range c.relays {
		c.relays[i].drainedAt = map[int]Time{}
	}
	return c
}

// Step takes the next event. An event that is earlier than the one before it counts as
// one of the same moment.
func (c *Checker) Step(e event.Event) {
	c.checkDeadlines(e.At)
	c.now = max(c.now, e.At)
	if namesRelay(e.Kind) && !c.hasRelay(e.Relay) {
		return
	}
	switch e.Kind {
	case event.Submitted:
		c.handleSubmission(&e)
	case event.Accepted, event.Rejected, event.Failed, event.ClientTimedOut, event.ConnectionEnded:
		c.handleReply(&e)
	case event.CallFirstByte:
		c.handleFirstByte(&e)
	case event.CallReceived:
		c.handleCall(&e)
	case event.CallEnded:
		c.handleCallEnd(&e)
	case event.TookEffect:
		c.handleEffect(&e)
	case event.HealthCheckReceived:
		c.checkRetryAfter(nil, e.Relay, e.Endpoint, "a probe")
	case event.HealthCheckAnswered:
		if e.Status != event.StatusDelivered {
			c.observeFailure(e.Relay, e.Endpoint)
		}
	case event.NoticeReceived:
		c.handleNotice(&e)
	case event.EndpointUpdateSent:
		c.handleEndpointStatus(&e)
	case event.OutageBegan:
		c.handleOutage(&e)
	case event.OutageEnded:
		delete(c.route(e.Endpoint).failing, e.Endpoint)
	case event.Collapsed:
		c.handleOverload(&e)
	case event.RelayStopping:
		c.relays[e.Relay].down = true
	case event.RelayKilled:
		c.handleKill(e.Relay)
	case event.RelayReady:
		c.handleReady(e.Relay)
	case event.UnknownCall:
		c.handleUnknownMessage(&e)
	}
}

// namesRelay reports whether events of a kind name a relay.
func namesRelay(kind event.Kind) bool {
	switch kind {
	case event.Submitted,
		event.CallFirstByte,
		event.CallReceived,
		event.HealthCheckReceived,
		event.HealthCheckAnswered,
		event.EndpointUpdateSent,
		event.RelayStopping,
		event.RelayKilled,
		event.RelayReady,
		event.NoticeReceived:
		return true
	}
	return false
}

// Finish judges what is open at the end of the record.
func (c *Checker) Finish(at Time) {
	for i := range c.relays {
		c.relays[i].down = false
	}
	c.checkDeadlines(at)
	c.checkRestarts(at)
}

// Violations returns those found so far, in the order of their moments.
func (c *Checker) Violations() []Violation {
	sorted := slices.Clone(c.violations)
	slices.SortStableFunc(sorted, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return sorted
}

// addViolation adds a violation of the moment. The submission is nil where it is not
// about a message.
func (c *Checker) addViolation(rule Rule, s *submission, relay, endpoint int, evidence string, args ...any) {
	violation := Violation{
		Rule: rule, At: c.now, Message: none, Relay: relay, Endpoint: endpoint,
		Evidence: fmt.Sprintf(evidence, args...),
	}
	if s != nil {
		violation.Message, violation.ID = s.message, s.id
	}
	c.violations = append(c.violations, violation)
}

// hasRelay reports whether there is a relay of a number.
func (c *Checker) hasRelay(relay int) bool { return relay >= 0 && relay < len(c.relays) }

// endpoint returns an endpoint by its number, or one that stands for all unknown ones.
func (c *Checker) endpoint(number int) *Endpoint {
	if number < 0 || number >= len(c.config.Endpoints) {
		return &Endpoint{Name: "unknown", Destination: none}
	}
	return &c.config.Endpoints[number]
}

// endpointName returns an endpoint's name for evidence.
func (c *Checker) endpointName(number int) string { return c.endpoint(number).Name }

// messageOf returns the planned message of a submission.
func (c *Checker) messageOf(s *submission) *Message { return &c.config.Messages[s.message] }

// classOf returns the class of a submission's message.
func (c *Checker) classOf(s *submission) *Class { return &c.config.Classes[c.messageOf(s).Class] }
