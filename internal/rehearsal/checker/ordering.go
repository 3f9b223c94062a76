package checker

// orderedQueueKey identifies the messages that one relay must deliver in order.
type orderedQueueKey struct {
	relay       int
	orderingKey uint64
}

// orderedQueueOf returns the key of the ordered queue that a submission belongs to, if any.
func (c *Checker) orderedQueueOf(s *submission) (key orderedQueueKey, ordered bool) {
	message := c.messageOf(s)
	ordered = c.classOf(s).Ordered && message.OrderingKey != 0
	return orderedQueueKey{s.relay, message.OrderingKey}, ordered
}

// enqueueOrdered adds an accepted submission to its ordered queue, if it belongs to one.
func (c *Checker) enqueueOrdered(s *submission) {
	if key, ordered := c.orderedQueueOf(s); ordered {
		c.orderedQueues[key] = append(c.orderedQueues[key], s)
	}
}

// checkOrdering checks a call of a message that must be delivered in order. It removes the submissions
// from the message's queue that no longer affect later calls.
func (c *Checker) checkOrdering(s *submission, received *call) {
	key, ordered := c.orderedQueueOf(s)
	if !ordered {
		return
	}
	remaining := c.orderedQueues[key][:0]
	for _, earlier := range c.orderedQueues[key] {
		settled := c.checkCallsSettled(s, received, earlier)
		if earlier != s && !earlier.finished() && earlier.answeredAt < s.submittedAt {
			c.addViolation(RuleOrdering, s, received.relay, received.endpoint,
				"it goes out while %s, taken on earlier, is not finished", earlier.id)
		}
		if earlier == s || !settled || !earlier.finished() {
			remaining = append(remaining, earlier)
		}
	}
	c.orderedQueues[key] = remaining
}

// checkCallsSettled checks a call against the calls of a submission of the same queue. It reports
// whether none of those is in flight or within its backoff.
func (c *Checker) checkCallsSettled(s *submission, received *call, earlier *submission) bool {
	settled := true
	backoff := c.classOf(s).OrderedKeyBackoff - c.config.Slack
	for _, call := range earlier.calls {
		inBackoff := call.uncertain() && c.now < call.endedAt+backoff
		if !call.inFlight() && !inBackoff {
			continue
		}
		settled = false
		if earlier == s && call.inFlight() {
			continue // checkAtMostOnce reports this case
		}
		c.addViolation(
			RuleOrdering, s, received.relay, received.endpoint,
			"it goes out while %s of its thread has a call whose end is not sure (%s, at %.3f s)", earlier.id,
			call.outcome(), seconds(call.receivedAt),
		)
	}
	return settled
}
