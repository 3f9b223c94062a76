package core

import (
	"log/slog"

	"troutusher/internal/metrics"
	"troutusher/internal/msgtrace"
	"troutusher/policy"
)

// ClassCounts are how many messages of a class ended in each way: delivered; rejected
// or handed back, so that submitting them again does no harm; failed. Each is counted
// when it is certain: with the response of the call, with the rejection, or as the end
// is logged and notified. A message that its client left before it was accepted is not
// counted, and neither is one whose end its endpoint knew (410).
type ClassCounts struct{ Delivered, Deferred, Failed int64 }

// CountsByClass are the counts of each class since the start, in the order of the
// settings.
func (c *Core) CountsByClass() []ClassCounts { return c.classCounts }

// countsOf are the counts of a class. Those of a class that the settings do not name
// are kept nowhere.
func (c *Core) countsOf(class string) *ClassCounts {
	if i, ok := c.settings.Classes[class]; ok {
		return &c.classCounts[i]
	}
	return &ClassCounts{}
}

// finish ends a message: the policy holds it no longer.
func (c *Core) finish(m *message) {
	m.finished = true
	c.messages.release(m)
}

// endMessage ends a message as the policy decided: it is rejected if it was submitted
// in this step, else its end is logged and notified.
func (c *Core) endMessage(action *policy.Action, outcome string) {
	m := c.messages.byNumber[action.Message]
	if m == nil || m.finished {
		return
	}
	c.countEnd(m, outcome, action.Reason.String())
	if m.request != nil {
		c.rejectSubmitted(m, action, outcome)
		return
	}
	c.finish(m)
	c.countRecoveredUnsent(m, outcome, action.Reason.String())
	c.log(slog.LevelInfo, msgtrace.Ended, "message", m.record.ID, "class", m.record.Class, "dest", m.record.Dest,
		"outcome", outcome, "why", action.Reason.String(), "tries", m.attempts, "left_ms", c.remainingMS(m))
	if !m.acknowledged {
		m.pendingEnding = &Record{Notice: outcome, RetryMS: retryMS(action)}
		return
	}
	c.appendEnding(m, outcome, retryMS(action))
}

func (c *Core) countEnd(m *message, outcome, reason string) {
	if outcome == NoticeHandedBack {
		c.countsOf(m.record.Class).Deferred++
		c.metrics.Add(m.record.Dest, metrics.HandedBackPrefix+reason, 1)
		return
	}
	c.countsOf(m.record.Class).Failed++
	c.metrics.Add(m.record.Dest, metrics.GivenUp, 1)
}

// rejectSubmitted replies to the client of a message that is not accepted.
func (c *Core) rejectSubmitted(m *message, action *policy.Action, outcome string) {
	request := m.request
	m.request = nil
	delete(c.messages.unanswered, request)
	if outcome == NoticeHandedBack {
		c.reply(request, Reply{RetryAfterMS: retryMS(action)})
	} else {
		c.reply(request, Reply{Err: errGivenUp})
	}
	c.trace(m, msgtrace.Rejected, "outcome", outcome, "why", action.Reason.String(),
		"left_ms", c.remainingMS(m), "waited_ms", request.Queued/microsPerMilli)
	c.finish(m)
}

// retryMS is the time after which to submit a message again, in ms, rounded up.
func retryMS(action *policy.Action) int64 {
	return (action.After + microsPerMilli - 1) / microsPerMilli
}

// appendEnding logs how a message ended and sends the notice of it after that.
func (c *Core) appendEnding(m *message, outcome string, retryMS int64) {
	if outcome == NoticeGivenUp {
		retryMS = 0
	}
	c.emit(AppendThenNotify{
		Record: &Record{Kind: RecordEnding, ID: m.record.ID, Notice: outcome, RetryMS: retryMS},
		Notice: Notice{Message: m.record.ID, Outcome: outcome, RetryMS: retryMS},
	})
}
