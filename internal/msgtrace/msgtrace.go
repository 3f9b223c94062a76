// Package msgtrace names the lines in which a relay's log tells what happened to
// one message, and decides which messages are told from their hand-in on: at
// most so many a second, each of them to its end, so that a busy relay's log
// stays in bounds and what is told of a message is all of it.
//
// It must never read a clock or write a line, or be asked anything by what
// decides on messages.
package msgtrace

// Lines, by their text. Ended, Told, Attempt and Resumed are told of every
// message; the others of those that the budget has room for.
const (
	Accepted         = "taken"     // on: its client has the answer
	Rejected         = "refused"   // and never taken on: its client was told at once
	Withdrawn        = "withdrawn" // its client left before it had its answer
	Delivered        = "delivered" // and over
	EndpointFinished = "over"      // at its endpoint (410): withdrawn, or out of time; nothing more is owed
	AttemptFailed    = "attempt"   // an attempt ended otherwise
	Ended            = "ended"     // by the policy: handed back or given up
	NoticeDelivered  = "told"      // the platform has taken the notice of its end
	Recovered        = "resumed"   // taken up from an earlier process
)

// Lines of a process, which stand round the stories.
const (
	Ready    = "ready"
	Stopping = "stopping"
	Stopped  = "stopped"
)

// DefaultPerSecond is how many messages a second are told from their hand-in on.
const DefaultPerSecond = 100

const microsPerSecond = 1_000_000 // µs

// Sampler is how many more messages may be told.
type Sampler struct {
	perSecond, sampled int
	second             int64 // the second
}

// NewSampler makes one of so many messages a second.
func NewSampler(perSecond int) *Sampler { return &Sampler{perSecond: perSecond} }

// Sample reports whether a message that comes now (µs) is told. A clock that goes
// back begins no new second.
func (b *Sampler) Sample(now int64) bool {
	if s := now / microsPerSecond; s > b.second {
		b.second, b.sampled = s, 0
	}
	if b.sampled >= b.perSecond {
		return false
	}
	b.sampled++
	return true
}
