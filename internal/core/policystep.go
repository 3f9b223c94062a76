package core

import (
	"log/slog"

	"troutusher/internal/metrics"
	"troutusher/policy"
)

// runPolicy passes the collected events to the policy and executes the resulting actions. The
// ends of messages come first, so that a rejected message is not logged. The records of
// accepted messages come next, so that no send precedes them. The other actions come last.
func (c *Core) runPolicy() {
	events := c.policyEvents
	c.policyEvents = nil
	submitted := c.submittedIn(events)
	c.actions = c.policy.Step(c.now, events, c.actions[:0])
	for i := range c.actions {
		switch action := &c.actions[i]; action.Kind {
		case policy.ActReject:
			c.endMessage(action, NoticeHandedBack)
		case policy.ActFail:
			c.endMessage(action, NoticeGivenUp)
		}
	}
	c.acceptSubmitted(submitted)
	for i := range c.actions {
		c.executeAction(&c.actions[i])
	}
}

// submittedIn returns the messages whose submission is among the events.
func (c *Core) submittedIn(events []policy.Event) []*message {
	submitted := make([]*message, 0, len(events))
	for i := range events {
		if events[i].Kind != policy.EvMessageSubmitted {
			continue
		}
		if m := c.messages.byNumber[events[i].Message]; m != nil && m.request != nil {
			submitted = append(submitted, m)
		}
	}
	return submitted
}

// executeAction executes an action that does not end a message.
func (c *Core) executeAction(action *policy.Action) {
	switch action.Kind {
	case policy.ActSend:
		c.sendOrDefer(action)
	case policy.ActCancel:
		c.cancelAttempt(action)
	case policy.ActTimer:
		c.timers.add(c.now + action.After)
	case policy.ActHealthCheck:
		c.requestHealthCheck(action.Endpoint)
	case policy.ActCloseIdle:
		if endpoint := c.endpoints.byNumber[action.Endpoint]; endpoint != nil && endpoint.open {
			c.emit(CloseIdleConnections{Endpoint: action.Endpoint})
		}
	case policy.ActLog:
		c.stateVersion++ // the policy logs when an endpoint becomes unhealthy or healthy again
		c.log(slog.LevelInfo, "policy", "says", action.Text)
	}
}

// requestHealthCheck checks an endpoint, at once or when health checks are no longer deferred.
func (c *Core) requestHealthCheck(number policy.EndpointID) {
	if c.deferral.awaitingList {
		c.deferral.healthChecks = append(c.deferral.healthChecks, number)
		return
	}
	c.checkHealth(number)
}

// checkHealth checks an endpoint, unless it has been retired.
func (c *Core) checkHealth(number policy.EndpointID) {
	endpoint := c.endpoints.byNumber[number]
	if endpoint == nil || endpoint.retired {
		return
	}
	c.metrics.Add(endpoint.dest, metrics.HealthChecks, 1)
	c.emit(CheckHealth{Endpoint: number})
}
