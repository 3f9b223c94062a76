package core

import (
	"log/slog"

	"troutusher/internal/metrics"
	"troutusher/internal/msgtrace"
	"troutusher/policy"
)

// RecoverMessages takes up the messages that an earlier process left owed in its log,
// oldest first, and what it handed over beside the log; state is nil where it handed
// over nothing. Its times are shift later on this core's clock.
func (c *Core) RecoverMessages(
	now policy.Time, owed []*Record, state *HandoverState, shift policy.Time, effects []Effect,
) []Effect {
	c.beginStep(now, effects)
	c.finishListUpdate()
	var imported importedHandover
	if state != nil {
		imported = c.importHandover(state, shift)
	}
	for _, record := range owed {
		c.recoverMessage(record, &imported)
	}
	return c.takeEffects()
}

// recoverMessage takes up one message, as its record in the log says.
func (c *Core) recoverMessage(record *Record, imported *importedHandover) {
	m := c.messages.add(record, c.now)
	m.acknowledged, m.logged, m.traced = true, true, true
	m.attempts = record.Attempts
	if record.Notice != "" { // it had ended; its notice may not have been sent
		c.finish(m)
		c.emit(SendNotice{Notice: Notice{Message: record.ID, Outcome: record.Notice, RetryMS: record.RetryMS}})
		return
	}
	c.classifyRecovered(m)
	class, ok := c.settings.Classes[record.Class]
	if !ok {
		// The settings have changed: whether it may be sent again is not known. It is
		// counted nowhere else, since its class has no counts.
		c.finish(m)
		c.countRecoveredUnsent(m, NoticeGivenUp, policy.UnknownClass.String())
		c.appendEnding(m, NoticeGivenUp, 0)
		return
	}
	c.activate(record.Dest)
	c.knownDestinations[record.Dest] = true // at some time, or it would not have been accepted
	c.passivation.active.Touch(record.Dest, c.now)
	event := c.recoveredEvent(m, class, imported)
	if handedOver := imported.calls[record.ID]; handedOver != nil {
		c.resumeCall(m, handedOver, imported.shift, &event)
	}
	c.policyEvents = append(c.policyEvents, event)
	c.metrics.Add(record.Dest, metrics.Recovered, 1)
	c.log(slog.LevelInfo, msgtrace.Recovered, "message", record.ID, "class", record.Class, "tries", record.Attempts,
		"may_have_run", record.FirstUncertainAt != 0, "left_ms", event.TimeLeft/microsPerMilli)
}

// recoveredEvent is a recovered message as it is reported to the policy.
func (c *Core) recoveredEvent(m *message, class int, imported *importedHandover) policy.Event {
	record := m.record
	event := policy.Event{
		Kind: policy.EvMessageSubmitted, Message: m.number, Class: class, Destination: record.Dest, Tenant: -1,
		TimeLeft: c.fromWallTime(record.Deadline) - c.now, Attempts: record.Attempts,
		FirstUncertainZone: record.FirstUncertainZone, Recovered: !imported.present,
	}
	if weight, ok := imported.weights[record.ID]; ok {
		event.Weight = weight // it was weighed by its tenant's quota before
	} else if tenant, ok := c.settings.Tenants[record.Tenant]; ok {
		event.Tenant = tenant
	}
	if record.FirstUncertainAt != 0 {
		event.FirstUncertainAt = max(c.fromWallTime(record.FirstUncertainAt), 1)
	}
	return event
}
