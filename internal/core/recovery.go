package core

import (
	"log/slog"

	"troutusher/internal/metrics"
	"troutusher/internal/msgtrace"
	"troutusher/policy"
)

// RecoverMessages takes over the unfinished messages in the log of an earlier process, oldest
// first, and the state that the process handed over besides the log. state is nil if it handed
// over nothing. shift is added to the times in state to convert them to this core's clock.
func (c *Core) RecoverMessages(
	now policy.Time, unfinished []*Record, state *HandoverState, shift policy.Time, effects []Effect,
) []Effect {
	c.beginStep(now, effects)
	c.finishListUpdate()
	var imported importedHandover
	if state != nil {
		imported = c.importHandover(state, shift)
	}
	for _, record := range unfinished {
		c.recoverMessage(record, &imported)
	}
	return c.takeEffects()
}

// recoverMessage takes over one message in the state that its log record describes. If the
// message has ended, only its notice is sent. If its class is unknown, the message ends now. Any
// other message is passed to the policy, with its open call if that was handed over.
func (c *Core) recoverMessage(record *Record, imported *importedHandover) {
	m := c.messages.add(record, c.now)
	m.acknowledged, m.logged, m.traced = true, true, true
	m.attempts = record.Attempts
	if record.Notice != "" { // the message has ended, but its notice may not have been sent
		c.finish(m)
		c.emit(SendNotice{Notice: Notice{Message: record.ID, Outcome: record.Notice, RetryMS: record.RetryMS}})
		return
	}
	c.classifyRecovered(m)
	class, ok := c.settings.Classes[record.Class]
	if !ok {
		// The settings have changed, so it is unknown whether the message may be sent again.
		// No other count includes it, because its class has no counts.
		c.finish(m)
		c.countRecoveredUnsent(m, NoticeGivenUp, policy.UnknownClass.String())
		c.appendEnding(m, NoticeGivenUp, 0)
		return
	}
	c.activate(record.Dest)
	c.knownDestinations[record.Dest] = true // a list named it, or the message would have been rejected
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

// recoveredEvent returns the event that reports a recovered message to the policy.
func (c *Core) recoveredEvent(m *message, class int, imported *importedHandover) policy.Event {
	record := m.record
	event := policy.Event{
		Kind: policy.EvMessageSubmitted, Message: m.number, Class: class, Destination: record.Dest, Tenant: -1,
		TimeLeft: c.fromWallTime(record.Deadline) - c.now, Attempts: record.Attempts,
		FirstUncertainZone: record.FirstUncertainZone, Recovered: !imported.present,
	}
	if weight, ok := imported.weights[record.ID]; ok {
		event.Weight = weight // the exporting process already applied the tenant's quota
	} else if tenant, ok := c.settings.Tenants[record.Tenant]; ok {
		event.Tenant = tenant
	}
	if record.FirstUncertainAt != 0 {
		event.FirstUncertainAt = max(c.fromWallTime(record.FirstUncertainAt), 1)
	}
	return event
}
