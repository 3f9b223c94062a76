package checker

import "troutusher/internal/event"

// relayState is the state of a relay that the rules depend on.
type relayState struct {
	stopping   bool         // set from SIGTERM until the relay is ready again
	down       bool         // set from a kill or the exit of the relay until it is ready again
	graceUntil Time         // no message counts as overdue before this time
	drainedAt  map[int]Time // by endpoint: when the relay was told that the endpoint drains or is removed
}

// RestartCounts counts the messages that a relay had accepted and not attempted before it was restarted
// and that then had at least half of their time left. It also counts how many of them were attempted
// afterwards, and how many ended without an attempt. Each message counts once.
type RestartCounts struct{ Unattempted, Attempted, Ended int }

// RestartCounts returns the current counts.
func (c *Checker) RestartCounts() RestartCounts { return c.restartCounts }

// handleEndpointStatus records that a relay was sent an endpoint's phase: up, draining or removed.
func (c *Checker) handleEndpointStatus(e *event.Event) {
	drainedAt := c.relays[e.Relay].drainedAt
	if e.Status == event.UpdateUp {
		delete(drainedAt, e.Endpoint)
	} else if _, known := drainedAt[e.Endpoint]; !known {
		drainedAt[e.Endpoint] = c.now
	}
}

// handleKill records that a relay's process was killed. The relay has lost what it knew about
// endpoints: drains and Retry-After times.
func (c *Checker) handleKill(relay int) {
	c.relays[relay].down = true
	clear(c.relays[relay].drainedAt)
	for _, route := range c.routes {
		route.retryAfters[relay] = nil
	}
}

// handleReady records that a relay is ready, for the first time or after a restart.
func (c *Checker) handleReady(number int) {
	relay := &c.relays[number]
	if relay.stopping || relay.down {
		c.countUnattempted(number)
	}
	relay.stopping, relay.down = false, false
	relay.graceUntil = c.now + c.config.RestartGrace
}

// countUnattempted counts the messages that a restarted relay recovers unattempted with at least half
// of their time left.
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

// checkRestarts checks how many of the messages recovered unattempted ended without an attempt.
func (c *Checker) checkRestarts(at Time) {
	counts := c.restartCounts
	maxEnded := c.config.MaxEndedUnattempted * float64(counts.Unattempted)
	if counts.Unattempted < c.config.MinUnattempted || float64(counts.Ended) <= maxEnded {
		return
	}
	c.now = max(c.now, at)
	c.addViolation(
		RuleRestart, nil, none, none,
		"of %d messages that starts found taken on and untried, with half of their time left, %d were ended "+
			"with no call", counts.Unattempted, counts.Ended,
	)
}
