package checker

import (
	"fmt"
	"slices"

	"troutusher/internal/event"
)

// call is one delivery attempt, as the endpoint saw it.
type call struct {
	relay       int
	endpoint    int
	firstByteAt Time
	receivedAt  Time // time of its last byte
	endedAt     Time // 0 while it is in flight
	status      int
	submission  *submission
	// drainViolation is the evidence of a violation of RuleDrain if the first byte came after the
	// drain grace, or else empty.
	drainViolation string
}

func (c *call) inFlight() bool { return c.endedAt == 0 }

// mayHaveRun reports whether the call may have taken effect.
func (c *call) mayHaveRun() bool { return c.inFlight() || !event.NeverRan(c.status) }

// uncertain reports whether it is unknown if the call took effect.
func (c *call) uncertain() bool { return c.mayHaveRun() && c.status != event.StatusDelivered }

// outcome describes how the call ended, for the evidence of a violation.
func (c *call) outcome() string {
	switch {
	case c.inFlight():
		return "it is still out"
	case c.status == event.StatusNone:
		return "it ended with no answer"
	}
	return fmt.Sprintf("status %d", c.status)
}

// handleFirstByte records the first byte of a call, whose message is not known yet.
func (c *Checker) handleFirstByte(e *event.Event) {
	call := c.newCall(e)
	drainedAt, drained := c.relays[e.Relay].drainedAt[e.Endpoint]
	if drained && c.now > drainedAt+c.config.DrainGrace+c.config.Slack {
		call.drainViolation = fmt.Sprintf(
			"relay %d began a call to %s %.3f s after it was told that it drains or is gone", e.Relay,
			c.endpointName(e.Endpoint), seconds(c.now-drainedAt),
		)
	}
}

func (c *Checker) newCall(e *event.Event) *call {
	created := &call{relay: e.Relay, endpoint: e.Endpoint, firstByteAt: c.now}
	c.calls[e.Call] = created
	return created
}

// handleCall records a call that has arrived in full, and checks it in this order: whether its message
// exists, whether the endpoint serves the message's destination, whether the call began after the drain
// grace, whether a Retry-After applies, and whether it breaks RuleAtMostOnce or RuleOrdering. The last
// check is left out if the client got no reply to its submission.
func (c *Checker) handleCall(e *event.Event) {
	received := c.calls[e.Call]
	if received == nil {
		received = c.newCall(e)
	}
	s := c.submissions[e.ID]
	if s == nil {
		c.addViolation(
			RuleRouting, nil, e.Relay, e.Endpoint, "relay %d called %s for %q, which nobody handed in", e.Relay,
			c.endpointName(e.Endpoint), e.ID,
		)
		return
	}
	received.submission, received.receivedAt = s, c.now
	c.checkDestination(s, received)
	if received.drainViolation != "" {
		c.addViolation(RuleDrain, s, received.relay, received.endpoint, "%s", received.drainViolation)
	}
	c.checkRetryAfter(s, received.relay, received.endpoint, "a call")
	if s.state != noReply {
		c.checkAtMostOnce(s, received)
		c.checkOrdering(s, received)
	}
	s.calls = append(s.calls, received)
	if s.recoveredUnattempted {
		s.recoveredUnattempted = false
		c.restartCounts.Attempted++
	}
}

// checkDestination checks that a call went to an endpoint of its message's destination.
func (c *Checker) checkDestination(s *submission, received *call) {
	endpoint, want := c.endpoint(received.endpoint), c.messageOf(s).Destination
	if endpoint.Destination != want {
		c.addViolation(
			RuleRouting, s, received.relay, received.endpoint,
			"relay %d called %s, which serves destination %d and not %d", received.relay, endpoint.Name,
			endpoint.Destination, want,
		)
	}
}

// checkAtMostOnce checks a call against the earlier calls of its message: against those in flight for the
// same submission, and against the earliest call that may have run, for whichever submission of the
// message. Submissions to which the client got no reply are left out.
func (c *Checker) checkAtMostOnce(s *submission, received *call) {
	for _, earlier := range s.calls {
		if earlier.inFlight() {
			c.addViolation(
				RuleAtMostOnce, s, received.relay, received.endpoint,
				"a second copy: its call to %s of %.3f s is still out while %s is called",
				c.endpointName(earlier.endpoint), seconds(earlier.receivedAt), c.endpointName(received.endpoint),
			)
		}
	}
	first := c.firstThatMayHaveRun(s.message)
	if first == nil {
		return
	}
	class := c.classOf(s)
	sinceFirst := received.firstByteAt - first.firstByteAt
	switch {
	case class.Idempotency == NonIdempotent:
		c.addViolation(
			RuleAtMostOnce, s, received.relay, received.endpoint,
			"an unsafe message is sent to %s again: its call to %s at %.3f s may have run (%s)",
			c.endpointName(received.endpoint), c.endpointName(first.endpoint), seconds(first.receivedAt),
			first.outcome(),
		)
	case class.Idempotency == IdempotentByKey && sinceFirst > class.DedupWindow+c.config.Slack:
		c.addViolation(
			RuleAtMostOnce, s, received.relay, received.endpoint,
			"a keyed message is sent to %s again %.3f s after the call that may have run; its key is remembered for "+
				"%.3f s", c.endpointName(received.endpoint), seconds(sinceFirst), seconds(class.DedupWindow),
		)
	}
}

// firstThatMayHaveRun returns the earliest call of a message that may have run, or nil.
func (c *Checker) firstThatMayHaveRun(message int) *call {
	var first *call
	for _, s := range c.submissionsByMessage[message] {
		if s.state == noReply {
			continue
		}
		for _, call := range s.calls {
			if call.mayHaveRun() && (first == nil || call.firstByteAt < first.firstByteAt) {
				first = call
			}
		}
	}
	return first
}

// handleCallEnd records the end of a call. Only the first end of a call counts.
func (c *Checker) handleCallEnd(e *event.Event) {
	ended := c.calls[e.Call]
	if ended == nil {
		return
	}
	delete(c.calls, e.Call)
	ended.endedAt, ended.status = max(c.now, 1), e.Status // a time of 0 would mean that the call is in flight
	if e.Status == event.StatusDelivered {
		if s := ended.submission; s != nil && s.state != noReply {
			s.delivered = true // it counts once the client has been told that the message is accepted
		}
		return
	}
	c.observeFailure(ended.relay, ended.endpoint)
	if e.Status == event.StatusRetryLater && e.Wait > 0 {
		route := c.route(ended.endpoint)
		route.retryAfters[ended.relay] = append(route.retryAfters[ended.relay], retryAfter{c.now, c.now + e.Wait})
	}
}

// effect records that a message took effect once.
type effect struct {
	submission *submission
	endpoint   int
	at         Time
}

// handleEffect records that a call took effect, which may happen long after the call ended.
func (c *Checker) handleEffect(e *event.Event) {
	s := c.submissions[e.ID]
	if s == nil || s.state == noReply || c.classOf(s).Idempotency == Idempotent {
		return
	}
	earlier := slices.DeleteFunc(c.effects[s.message], func(f effect) bool { return f.submission.state == noReply })
	if len(earlier) > 0 {
		first := earlier[0]
		c.addViolation(
			RuleAtMostOnce, s, e.Relay, e.Endpoint, "it took effect at %s, as it had at %s at %.3f s",
			c.endpointName(e.Endpoint), c.endpointName(first.endpoint), seconds(first.at),
		)
	}
	c.effects[s.message] = append(earlier, effect{submission: s, endpoint: e.Endpoint, at: c.now})
}

// handleUnknownMessage records a call for a message that does not exist, which is a violation.
func (c *Checker) handleUnknownMessage(e *event.Event) {
	c.addViolation(RuleRouting, nil, e.Relay, e.Endpoint, "relay %d called %s for a message that nobody handed in",
		e.Relay, c.endpointName(e.Endpoint))
	c.violations[len(c.violations)-1].ID = e.ID
}
