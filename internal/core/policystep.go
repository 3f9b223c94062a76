package core

import (
	"log/slog"

	"troutusher/internal/metrics"
	"troutusher/policy"
)

// runPolicy lets the policy decide on what has happened, and executes its actions:
// first the ends, so that a rejected message is not logged; then the records of
// accepted messages, so that no send comes before them; then all else.
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

// submittedIn are the messages whose submission is among the events.
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
		c.stateVersion++ // an endpoint was judged to be down, or to be up again
		c.log(slog.LevelInfo, "policy", "says", action.Text)
	}
}

// requestHealthCheck checks an endpoint, once that may be done.
func (c *Core) requestHealthCheck(number policy.EndpointID) {
	if c.deferral.awaitingList {
		c.deferral.healthChecks = append(c.deferral.healthChecks, number)
		return
	}
	c.checkHealth(number)
}

// checkHealth checks an endpoint that is still in use.
func (c *Core) checkHealth(number policy.EndpointID) {
	endpoint := c.endpoints.byNumber[number]
	if endpoint == nil || endpoint.retired {
		return
	}
	c.metrics.Add(endpoint.dest, metrics.HealthChecks, 1)
	c.emit(CheckHealth{Endpoint: number})
}
