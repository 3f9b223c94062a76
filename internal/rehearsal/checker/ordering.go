package checker

// orderedQueueKey names the messages that one relay must deliver in order.
type orderedQueueKey struct {
	relay       int
	orderingKey uint64
}

// orderedQueueOf returns the ordered queue that a submission belongs to, if any.
func (c *Checker) orderedQueueOf(s *submission) (key orderedQueueKey, ordered bool) {
	message := c.messageOf(s)
	ordered = c.classOf(s).Ordered && message.OrderingKey != 0
	return orderedQueueKey{s.relay, message.OrderingKey}, ordered
}

// enqueueOrdered adds an accepted submission to its ordered queue, if it has one.
func (c *Checker) enqueueOrdered(s *submission) {
	if key, ordered := c.orderedQueueOf(s); ordered {
		c.orderedQueues[key] = append(c.orderedQueues[key], s)
	}
}

// checkOrdering judges a call of a message that is delivered in order, and drops from its
// queue what no later call depends on.
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

// checkCallsSettled judges a call against those of a submission of the same queue, and
// reports whether none of these is in flight or within its backoff.
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
			continue // checkAtMostOnce has judged it
		}
		c.addViolation(
			RuleOrdering, s, received.relay, received.endpoint,
			"it goes out while %s of its thread has a call whose end is not sure (%s, at %.3f s)", earlier.id,
			call.outcome(), seconds(call.receivedAt),
		)
	}
	return settled
}
