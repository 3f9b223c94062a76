package core

import (
	"troutusher/internal/msgtrace"
	"troutusher/policy"
)

func (c *Core) reply(request *Request, reply Reply) {
	c.emit(SendReply{Request: request, Reply: reply})
}

// replyDelivered continues with a message after its reply was delivered to the client. If ok is
// false, the client disconnected before the reply, and the message is withdrawn.
func (c *Core) replyDelivered(request *Request, ok bool) {
	m := c.messages.unanswered[request]
	if m == nil {
		return
	}
	delete(c.messages.unanswered, request)
	waitedMS, replyMS := request.Queued/microsPerMilli, (c.now-m.receivedAt)/microsPerMilli
	if !ok {
		c.trace(m, msgtrace.Withdrawn, "waited_ms", waitedMS, "answer_ms", replyMS)
		c.withdraw(m)
		return
	}
	m.acknowledged = true
	c.trace(m, msgtrace.Accepted, "left_ms", c.remainingMS(m), "waited_ms", waitedMS, "answer_ms", replyMS)
	if send := m.pendingSend; send != nil && !c.mustDeferSend(m) {
		m.pendingSend = nil
		c.startAttempt(m, send)
	}
	if ending := m.pendingEnding; ending != nil {
		m.pendingEnding = nil
		c.appendEnding(m, ending.Notice, ending.RetryMS)
	}
}

// rejectNotLogged rejects a message that could not be written to the log.
func (c *Core) rejectNotLogged(request *Request) {
	if m := c.messages.unanswered[request]; m != nil {
		delete(c.messages.unanswered, request)
		c.withdraw(m)
	}
	c.countsOf(request.Record.Class).Deferred++
	c.reply(request, Reply{})
}

// withdraw ends a message that was not acknowledged to its client. Such a message need not be
// delivered, and no notice is sent.
func (c *Core) withdraw(m *message) {
	if m.logged {
		c.appendRecord(&Record{Kind: RecordDone, ID: m.record.ID})
	}
	m.pendingEnding = nil
	if !m.finished {
		c.finish(m)
		c.policyEvents = append(c.policyEvents, policy.Event{Kind: policy.EvMessageWithdrawn, Message: m.number})
	}
	if send := m.pendingSend; send != nil {
		m.pendingSend = nil
		c.reportNotSent(m, send.Endpoint)
	}
}
