package core

import (
	"troutusher/internal/metrics"
	"troutusher/policy"
)

// A relay that accepts a message is obliged to try to deliver it. Invariant: a message that is
// recovered without any attempt is not ended in the step that recovers it, provided that it
// still has time and that the list contains an endpoint for it. It is queued like any other
// message, and ends without a call only for lack of time, of capacity or of a verified
// identity of the endpoint. The functions below count what became of such messages, by the
// state in which each was found, so that the sums over all relays are consistent.

// recoveryState says whether this process recovered a message from the write-ahead log and, if so,
// whether the message had attempts before and has had one since.
type recoveryState uint8

const (
	notRecovered       recoveryState = iota // submitted to this process
	recoveredTried                          // recovered with attempts in the log
	recoveredUntried                        // recovered without any attempt in the log
	recoveredThenTried                      // recovered without any attempt, and sent since then
)

// classifyRecovered records the state in which a message was found, and counts the message.
func (c *Core) classifyRecovered(m *message) {
	if m.record.Attempts > 0 {
		m.recoveryState = recoveredTried
		return
	}
	m.recoveryState = recoveredUntried
	c.metrics.Add(m.record.Dest, metrics.RecoveredUntried, 1)
	switch {
	case c.fromWallTime(m.record.Deadline) <= c.now:
		c.metrics.Add(m.record.Dest, metrics.UntriedExpired, 1)
	case !c.hasUsableEndpoint(m.record.Dest):
		c.metrics.Add(m.record.Dest, metrics.UntriedUnroutable, 1)
	}
}

// countRecoveredAttempt counts the first attempt of a message that was recovered without any,
// and its delivery. An attempt that was not sent does not count.
func (c *Core) countRecoveredAttempt(m *message, outcome policy.Outcome) {
	if m.recoveryState == recoveredUntried && outcome != policy.NotSent {
		m.recoveryState = recoveredThenTried
		c.metrics.Add(m.record.Dest, metrics.UntriedAttempted, 1)
	}
	if m.recoveryState == recoveredThenTried && outcome == policy.Delivered {
		c.metrics.Add(m.record.Dest, metrics.UntriedDelivered, 1)
	}
}

// countRecoveredUnsent counts a message that was recovered without any attempt and ends without
// a call. A message with an open call, which is being cancelled, does not count.
func (c *Core) countRecoveredUnsent(m *message, outcome, reason string) {
	if m.recoveryState != recoveredUntried || m.call != nil {
		return
	}
	prefix := metrics.UntriedHandedBackPrefix
	if outcome == NoticeGivenUp {
		prefix = metrics.UntriedGivenUpPrefix
	}
	c.metrics.Add(m.record.Dest, prefix+reason, 1)
}
