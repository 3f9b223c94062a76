// Package checker checks the record of a rehearsal, which is the sequence of its events, against the
// rules that relays must keep; Rules lists them. It processes the events in order, uses no sockets,
// files or clock, does not depend on a protocol, and never asks a relay for its own view. It therefore
// works alike for every protocol and for simulated time.
package checker

import (
	"cmp"
	"fmt"
	"slices"

	"troutusher/internal/event"
)

// none means that a violation names no relay, endpoint or message.
const none = -1

// Checker checks one rehearsal.
type Checker struct {
	config               Config
	now                  Time
	submissions          map[string]*submission // by ID
	submissionsByMessage map[int][]*submission
	deadlines            deadlineHeap
	orderedQueues        map[orderedQueueKey][]*submission
	calls                map[uint64]*call // calls in flight, by number
	effects              map[int][]effect // by message
	routes               map[routeKey]*route
	relays               []relayState
	restartCounts        RestartCounts
	violations           []Violation
}

// New returns a checker for a rehearsal that has not begun.
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

// Step processes the next event. An event with an earlier time than its predecessor counts as if it
// had happened at the same time.
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
		c.relays[e.Relay].stopping = true
	case event.RelayKilled:
		c.handleKill(e.Relay)
	case event.RelayReady:
		c.handleReady(e.Relay)
	case event.UnknownCall:
		c.handleUnknownMessage(&e)
	}
}

// namesRelay reports whether events of a kind have a relay number.
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

// Finish ends the check at the given time. It checks the deadlines that have passed by then, including
// those at relays that are down, and the messages that restarted relays recovered.
func (c *Checker) Finish(at Time) {
	for i := range c.relays {
		c.relays[i].stopping, c.relays[i].down = false, false
	}
	c.checkDeadlines(at)
	c.checkRestarts(at)
}

// Violations returns the violations found so far, ordered by time.
func (c *Checker) Violations() []Violation {
	sorted := slices.Clone(c.violations)
	slices.SortStableFunc(sorted, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return sorted
}

// addViolation adds a violation at the current time. The submission is nil if the violation is not
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

// hasRelay reports whether a relay with the given number exists.
func (c *Checker) hasRelay(relay int) bool { return relay >= 0 && relay < len(c.relays) }

// endpoint returns an endpoint by its number, or a placeholder if the number is unknown.
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
