package checker

import (
	"container/heap"

	"troutusher/internal/event"
)

// submissionState says which reply a client got to a submission.
type submissionState uint8

const (
	awaitingReply submissionState = iota
	accepted
	rejected
	failed
	noReply // the client got no reply, so loss, repeated effects and order are not checked for this ID
)

// submission is one attempt of a client to submit a message.
type submission struct {
	id          string
	message     int // number in the plan
	relay       int
	submittedAt Time
	deadline    Time
	state       submissionState
	answeredAt  Time // when the client got the reply, or gave up waiting for one
	delivered   bool
	notice      int // one of event.Notice..., or noNotice
	calls       []*call
	// recoveredUnattempted is set when a restarted relay recovers the submission unattempted, and
	// cleared when the submission is attempted or ends.
	recoveredUnattempted bool
}

// noNotice means that no notice has arrived for a submission.
const noNotice = -1

// finished reports whether the relay has nothing more to do for a submission.
func (s *submission) finished() bool {
	return s.delivered || s.notice != noNotice || s.state != accepted
}

// handleSubmission records a submission by a client.
func (c *Checker) handleSubmission(e *event.Event) {
	if e.Message < 0 || e.Message >= len(c.config.Messages) || c.submissions[e.ID] != nil {
		return // an error of the load generator, not of a relay
	}
	s := &submission{
		id: e.ID, message: e.Message, relay: e.Relay, submittedAt: c.now, deadline: c.now + e.Left, notice: noNotice,
	}
	c.submissions[s.id] = s
	c.submissionsByMessage[s.message] = append(c.submissionsByMessage[s.message], s)
	c.assumeFailureObserved(s.relay, c.messageOf(s).Destination)
}

// handleReply records the reply that a client got, or that it got none.
func (c *Checker) handleReply(e *event.Event) {
	s := c.submissions[e.ID]
	if s == nil || s.state != awaitingReply {
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
		s.state = noReply
	case event.ConnectionEnded:
		s.state = noReply
		c.checkConnectionEnded(s, e.Status != 0)
	}
}

// checkConnectionEnded checks a connection that the relay ended without a reply, which a relay must
// not do before its process is killed. A relay with too many clients may close a new connection at its
// first request. This loses no message and is no violation; the failure shows in the service figures.
func (c *Checker) checkConnectionEnded(s *submission, firstRequest bool) {
	relay := &c.relays[s.relay]
	if relay.down || c.now < relay.graceUntil || firstRequest && !c.config.ClientsFit {
		return
	}
	c.addViolation(
		RuleNoLoss, s, s.relay, none,
		"relay %d ended the client's connection with no answer %d ms after the request", s.relay,
		(c.now-s.submittedAt)/1000,
	)
}

// checkSafeToResubmit checks a reply or a notice that tells the client that it may submit a message
// again. A relay may send it for a non-idempotent message only if no call for the message may have run.
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

// handleNotice records a relay's notice: its report that it gave an accepted message up, or handed it
// back to the client, which may submit it again. A second notice must say the same as the first.
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
	if e.Status == event.NoticeHandedBack && s.state != noReply {
		c.checkSafeToResubmit(s, "it was handed back")
	}
}

func noticeText(notice int) string {
	if notice == event.NoticeHandedBack {
		return "handed back"
	}
	return "given up"
}
