package checker

import (
	"container/heap"

	"troutusher/internal/event"
)

// submissionState is the reply to a submission.
type submissionState uint8

const (
	unanswered submissionState = iota
	accepted
	rejected
	failed
	abandoned // the client heard nothing, so that what happens under this id counts for nothing
)

// submission is one try of a client to submit a message.
type submission struct {
	id          string
	message     int // number in the plan
	relay       int
	submittedAt Time
	deadline    Time
	state       submissionState
	answeredAt  Time
	delivered   bool
	notice      int // one of event.Notice..., or noNotice
	calls       []*call
	// recoveredUnattempted is set where a restart found it with no attempt, until it is
	// attempted or ends.
	recoveredUnattempted bool
}

// noNotice is the notice of a submission that has had none.
const noNotice = -1

// finished reports whether a submission is owed nothing more.
func (s *submission) finished() bool {
	return s.delivered || s.notice != noNotice || s.state != accepted
}

// handleSubmission takes a message that a client submits.
func (c *Checker) handleSubmission(e *event.Event) {
	if e.Message < 0 || e.Message >= len(c.config.Messages) || c.submissions[e.ID] != nil {
		return // a mistake of the load generator's, not of a relay's
	}
	s := &submission{
		id: e.ID, message: e.Message, relay: e.Relay, submittedAt: c.now, deadline: c.now + e.Left, notice: noNotice,
	}
	c.submissions[s.id] = s
	c.submissionsByMessage[s.message] = append(c.submissionsByMessage[s.message], s)
	c.assumeFailureObserved(s.relay, c.messageOf(s).Destination)
}

// handleReply takes the reply that a client heard, or that it heard none.
func (c *Checker) handleReply(e *event.Event) {
	s := c.submissions[e.ID]
	if s == nil || s.state != unanswered {
		return
	}
	s.answeredAt = c.now
	switch e.Kind {
	case event.Accepted:
		s.state = accepted
		c.enqueueOrdered(s)
		if !s.finished() {
			heap.Push(&c.deadlines, deadline{s.deadline + c.config.DeadlineSlack + c.config.Slack, s})
		}
	case event.Rejected:
		s.state = rejected
		c.checkSafeToResubmit(s, "its client heard a refusal")
	case event.Failed:
		s.state = failed
	case event.ClientTimedOut:
		s.state = abandoned
	case event.ConnectionEnded:
		s.state = abandoned
		c.checkCutOff(s, e.Status != 0)
	}
}

// checkCutOff judges a connection that was ended with no answer. A new connection that a
// crowded relay closes has failed its client and lost nothing: that shows in the service.
func (c *Checker) checkCutOff(s *submission, firstRequest bool) {
	relay := &c.relays[s.relay]
	if relay.down || c.now < relay.graceUntil || firstRequest {
		return
	}
	c.addViolation(
		RuleNoLoss, s, s.relay, none,
		"relay %d ended the client's connection with no answer %d ms after the request", s.relay,
		(c.now-s.submittedAt)/1000,
	)
}

// checkSafeToResubmit judges a reply or a notice that tells the client that a message
// may be submitted again.
func (c *Checker) checkSafeToResubmit(s *submission, reply string) {
	if c.classOf(s).Idempotency != NonIdempotent {
		return
	}
	for _, call := range s.calls {
		if call.mayHaveRun() {
			c.addViolation(
				RuleAtMostOnce,
				s,
				s.relay,
				call.endpoint,
				"%s, though a call to %s at %.3f s may have run (%s)",
				reply,
				c.endpointName(call.endpoint),
				seconds(call.receivedAt),
				call.outcome(),
			)
			return
		}
	}
}

// handleNotice takes a relay's notice of how a message ended.
func (c *Checker) handleNotice(e *event.Event) {
	s := c.submissions[e.ID]
	if s == nil {
		return
	}
	if s.notice != noNotice {
		if s.notice != e.Status {
			c.addViolation(
				RuleNoLoss, s, e.Relay, none, "a second end that differs from the first: it was %s, now it is %s",
				noticeText(s.notice), noticeText(e.Status),
			)
		}
		return
	}
	s.notice = e.Status
	if s.recoveredUnattempted {
		s.recoveredUnattempted = false
		c.restartCounts.Ended++
	}
	if e.Status == event.NoticeReturned && s.state != abandoned {
		c.checkSafeToResubmit(s, "it was handed back")
	}
}

func noticeText(notice int) string {
	if notice == event.NoticeReturned {
		return "handed back"
	}
	return "given up"
}
