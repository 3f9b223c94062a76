package core

import (
	"troutusher/internal/metrics"
	"troutusher/policy"
)

// What a restart finds taken on and untried was taken on in order to be
// delivered. The invariant: a message that is found so, still has time and has an
// endpoint in the list is not ended in the step that takes it up; it waits for
// its turn like any other, and ends without a call only where the time, the room
// or the proof that it needs is not there. How each start's ended is counted here,
// in the tally, by what it was found with: sums over all relays add up.

// recoveryState is how a message came into this process.
type recoveryState uint8

const (
	notRecovered       recoveryState = iota // handed in here
	recoveredTried                          // taken up, with attempts behind it
	recoveredUntried                        // taken up, and no attempt of it was ever logged
	recoveredThenTried                      // untried, and a call of it has gone out since
)

// classifyRecovered books what a start has taken up.
func (r *Core) classifyRecovered(m *message) {
	if m.recoveryState = recoveredTried; m.record.Attempts > 0 {
		return
	}
	m.recoveryState = recoveredUntried
	r.metrics.Add(m.record.Dest, metrics.RecoveredUntried, 1)
	switch {
	case r.fromWall(m.record.Deadline) <= r.now:
		r.metrics.Add(m.record.Dest, metrics.UntriedExpired, 1)
	case !r.hasUsableEndpoint(m.record.Dest):
		r.metrics.Add(m.record.Dest, metrics.UntriedUnroutable, 1)
	}
}

// hasUsableEndpoint reports whether the list holds an endpoint of a destination to which
// something new may go.
func (r *Core) hasUsableEndpoint(dest int) bool {
	for _, ep := range r.endpoints {
		if ep.dest == dest && ep.listed && !ep.retired {
			return true
		}
	}
	return false
}

// countRecoveredAttempt books that an attempt has ended. One that never left is none.
func (r *Core) countRecoveredAttempt(m *message, o policy.Outcome) {
	if m.recoveryState == recoveredUntried && o != policy.NotSent {
		m.recoveryState = recoveredThenTried
		r.metrics.Add(m.record.Dest, metrics.UntriedAttempted, 1)
	}
	if m.recoveryState == recoveredThenTried && o == policy.Delivered {
		r.metrics.Add(m.record.Dest, metrics.UntriedDelivered, 1)
	}
}

// countRecoveredUnsent books an end with no call. One whose call is out, and is being called
// off, had one.
func (r *Core) countRecoveredUnsent(m *message, word, why string) {
	if m.recoveryState != recoveredUntried || m.call != nil {
		return
	}
	what := metrics.UntriedHandedBackPrefix
	if word == NoticeGivenUp {
		what = metrics.UntriedGivenUpPrefix
	}
	r.metrics.Add(m.record.Dest, what+why, 1)
}
