package checker

import "troutusher/internal/event"

// relayState is what the rules need of a relay.
type relayState struct {
	down       bool         // from being stopped or killed until it is ready
	graceUntil Time         // no end is overdue before this
	drainedAt  map[int]Time // by endpoint: when its list said that the endpoint drains or is gone
}

// RestartCounts says what became of the messages that restarts recovered unattempted with
// half of their time left or more. A message counts once.
type RestartCounts struct{ Unattempted, Attempted, Ended int }

// RestartCounts returns the counts so far.
func (c *Checker) RestartCounts() RestartCounts { return c.restartCounts }

// handleEndpointStatus takes what a relay's list says of an endpoint.
func (c *Checker) handleEndpointStatus(e *event.Event) {
	drainedAt := c.relays[e.Relay].drainedAt
	if e.Status == event.UpdateUp {
		delete(drainedAt, e.Endpoint)
	} else if _, known := drainedAt[e.Endpoint]; !known {
		drainedAt[e.Endpoint] = c.now
	}
}

// handleKill takes that a relay's process ended by force, and with it what it knew of endpoints.
func (c *Checker) handleKill(relay int) {
	c.relays[relay].down = true
	clear(c.relays[relay].drainedAt)
	for _, route := range c.routes {
		route.retryAfters[relay] = nil
	}
}

// handleReady takes that a relay serves, for the first time or again.
func (c *Checker) handleReady(number int) {
	relay := &c.relays[number]
	if relay.down {
		c.countUnattempted(number)
	}
	relay.down, relay.graceUntil = false, c.now+c.config.RestartGrace
}

// countUnattempted counts the messages that a restarted relay recovers unattempted with
// half of their time left.
func (c *Checker) countUnattempted(relay int) {
	for _, s := range c.submissions {
		if s.relay != relay || s.state != accepted || s.finished() || len(s.calls) > 0 || s.recoveredUnattempted {
			continue
		}
		if 2*(s.deadline-c.now) >= s.deadline-s.submittedAt {
			s.recoveredUnattempted = true
			c.restartCounts.Unattempted++
		}
	}
}

// checkRestarts judges how many of the recovered messages ended with no attempt.
func (c *Checker) checkRestarts(at Time) {
	counts := c.restartCounts
	endedMost := c.config.MaxEndedUnattempted * float64(counts.Unattempted)
	if counts.Unattempted < c.config.MinUnattempted || float64(counts.Ended) <= endedMost {
		return
	}
	c.now = max(c.now, at)
	c.addViolation(
		RuleRestart, nil, none, none,
		"of %d messages that starts found taken on and untried, with half of their time left, %d were ended "+
			"with no call", counts.Unattempted, counts.Ended,
	)
}
