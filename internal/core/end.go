package core

import (
	"log/slog"

	"troutusher/internal/metrics"
	"troutusher/internal/msgtrace"
	"troutusher/policy"
)

// ClassCounts counts the ended messages of a class. Deferred counts messages that were
// rejected or handed back; their clients can safely submit them again. A message is counted
// when its end is certain: at the response of the call, at the rejection, or when its end is logged
// and the notice of it is sent. A message is not counted if its client disconnected before it was
// accepted, or if its endpoint reported that the message had already ended (status 410).
type ClassCounts struct{ Delivered, Deferred, Failed int64 }

// CountsByClass returns the counts of each class since the start, in the order of the
// settings.
func (c *Core) CountsByClass() []ClassCounts { return c.classCounts }

// countsOf returns the counts of a class. For a class that the settings do not name, it
// returns counts that are discarded.
func (c *Core) countsOf(class string) *ClassCounts {
	if i, ok := c.settings.Classes[class]; ok {
		return &c.classCounts[i]
	}
	return &ClassCounts{}
}

// finish marks a message as ended and releases it. The policy no longer holds it.
func (c *Core) finish(m *message) {
	m.finished = true
	c.messages.release(m)
}

// endMessage ends a message as the policy decided. If the message was submitted in this
// step, it is rejected; otherwise its end is logged, and a notice of it is sent to the platform.
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
	if outcome == NoticeGivenUp && m.attempts > 0 && !c.mayRunAgain(m) {
		c.ended.add(EndedMessage{Message: m.record.ID})
	}
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

// mayRunAgain reports whether the class of a message allows it to run any number of times.
func (c *Core) mayRunAgain(m *message) bool {
	class, known := c.settings.Classes[m.record.Class]
	return known && c.settings.Policy.Classes[class].Idempotency == policy.Idempotent
}

// rejectSubmitted rejects a message that was submitted in this step.
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

// retryMS returns the time after which a client should submit a message again, in ms, rounded
// up.
func retryMS(action *policy.Action) int64 {
	return (action.After + microsPerMilli - 1) / microsPerMilli
}

// appendEnding logs the end of a message and then sends the notice of it.
func (c *Core) appendEnding(m *message, outcome string, retryMS int64) {
	if outcome == NoticeGivenUp {
		retryMS = 0
	}
	c.emit(AppendThenNotify{
		Record: &Record{Kind: RecordEnding, ID: m.record.ID, Notice: outcome, RetryMS: retryMS},
		Notice: Notice{Message: m.record.ID, Outcome: outcome, RetryMS: retryMS},
	})
}
