package core

import (
	"slices"

	"troutusher/policy"
)

// deferral holds the reasons for which calls are deferred, and the deferred health checks.
type deferral struct {
	handingOver  bool // another process may take over
	awaitingList bool // the endpoint list may be outdated
	healthChecks []policy.EndpointID
}

func (d *deferral) isActive() bool { return d.handingOver || d.awaitingList }

// BeginHandover defers all new calls until ResumeSends. Everything else continues.
func (c *Core) BeginHandover() { c.deferral.handingOver = true }

// ResumeSends ends the deferral that BeginHandover began. Deferred calls are sent if there is
// still time for them.
func (c *Core) ResumeSends(now policy.Time, effects []Effect) []Effect {
	c.beginStep(now, effects)
	c.deferral.handingOver = false
	c.sendDeferred()
	return c.takeEffects()
}

// DeferSends defers all calls and health checks until the event Started. The known endpoint
// list may be outdated, and nothing may be sent to an endpoint that has been drained since.
// Messages are still accepted, replied to, logged and ended, because clients do not wait for
// calls.
func (c *Core) DeferSends() { c.deferral.awaitingList = true }

// endDeferral ends the deferral that DeferSends began.
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

// mustDeferSend reports whether a call of a message must not be started now, because the
// endpoint list may be outdated or because this process may exit before the call ends. The
// policy still counts the attempt as sent. If this process exits, the next one recovers the
// message from the log.
func (c *Core) mustDeferSend(m *message) bool {
	return c.deferral.isActive() || c.sendsStopped(m.record.Class)
}

// sendDeferred starts the deferred attempts that may be sent now, those of the oldest
// messages first.
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
