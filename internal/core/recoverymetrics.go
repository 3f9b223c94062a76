package core

import (
	"troutusher/internal/metrics"
	"troutusher/policy"
)

// A message that is recovered without any attempt was accepted in order to be
// delivered. The invariant: such a message that still has time and an endpoint in the
// list is not ended in the step that recovers it. It waits for its turn like any other,
// and ends without a call only where it lacks the time, the capacity or the proof of
// identity. What became of such messages is counted here by how each was found, so that
// the sums over all relays add up.

// recoveryState is how a message came into this process.
type recoveryState uint8

const (
	notRecovered       recoveryState = iota // it was submitted here
	recoveredTried                          // with attempts
	recoveredUntried                        // without any attempt in the log
	recoveredThenTried                      // without, and a call of it was sent since
)

// classifyRecovered notes how a message was found, and counts it.
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

// countRecoveredAttempt counts the end of an attempt. One that never left is none.
func (c *Core) countRecoveredAttempt(m *message, outcome policy.Outcome) {
	if m.recoveryState == recoveredUntried && outcome != policy.NotSent {
		m.recoveryState = recoveredThenTried
		c.metrics.Add(m.record.Dest, metrics.UntriedAttempted, 1)
	}
	if m.recoveryState == recoveredThenTried && outcome == policy.Delivered {
		c.metrics.Add(m.record.Dest, metrics.UntriedDelivered, 1)
	}
}

// countRecoveredUnsent counts an end without a call. A message whose call is open, and
// is being cancelled, had one.
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
