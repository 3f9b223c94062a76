package core

import (
	"slices"

	"troutusher/policy"
)

// deferral says for which reasons no call is begun, and holds what waits for their end.
type deferral struct {
	handingOver  bool // another process may take over
	awaitingList bool // the endpoint list may be old
	healthChecks []policy.EndpointID
}

func (d *deferral) active() bool { return d.handingOver || d.awaitingList }

// BeginHandover has no new call begun until ResumeSends. All else goes on.
func (c *Core) BeginHandover() { c.deferral.handingOver = true }

// ResumeSends ends BeginHandover: what was deferred is sent, where there is still time
// for it.
func (c *Core) ResumeSends(now policy.Time, effects []Effect) []Effect {
	c.beginStep(now, effects)
	c.deferral.handingOver = false
	c.sendDeferred()
	return c.takeEffects()
}

// DeferSends has no call or health check begun until the event Started: the endpoint
// list that is known may be old, and nothing must be sent to an endpoint that has
// drained since. Messages are accepted, replied to, logged and ended as ever, since no
// client waits for calls.
func (c *Core) DeferSends() { c.deferral.awaitingList = true }

// endDeferral ends DeferSends.
func (c *Core) endDeferral() {
	if !c.deferral.awaitingList {
		return
	}
	c.deferral.awaitingList = false
	c.sendDeferred()
	for _, number := range c.deferral.healthChecks {
		c.checkHealth(number)
	}
	c.deferral.healthChecks = nil
}

// mustDeferSend reports whether a call of a message may not be begun, since this
// process may not be there for its end. The policy goes on to count the attempt as
// sent; if the process ends, the next one recovers the message from the log.
func (c *Core) mustDeferSend(m *message) bool {
	return c.deferral.active() || c.sendsStopped(m.record.Class)
}

// sendDeferred sends what was deferred and may be sent now, oldest first.
func (c *Core) sendDeferred() {
	var deferred []*message
	for _, m := range c.messages.byNumber {
		if m.pendingSend != nil && m.acknowledged && !c.mustDeferSend(m) {
			deferred = append(deferred, m)
		}
	}
	slices.SortFunc(deferred, byAge)
	for _, m := range deferred {
		send := m.pendingSend
		m.pendingSend = nil
		c.startAttempt(m, send)
	}
}
