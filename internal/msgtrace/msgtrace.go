// Package msgtrace names the log lines that trace the life of a message, and samples
// the messages that are traced from their submission on: at most so many a second, and
// each of them to its end, so that the log of a busy relay stays bounded and a trace is
// complete.
//
// It must never read a clock or write a line, and nothing that decides on messages may
// depend on it.
package msgtrace

// Texts of the lines of a message. Ended, NoticeDelivered, AttemptFailed and Recovered
// are logged for every message, the others for sampled ones.
const (
	Accepted         = "taken"     // its client has the acknowledgement
	Rejected         = "refused"   // it was not accepted, as its client was told at once
	Withdrawn        = "withdrawn" // its client left before the reply
	Delivered        = "delivered" // and ended with that
	EndpointFinished = "over"      // it had ended at its endpoint (410): withdrawn, or expired; nothing more is owed
	AttemptFailed    = "attempt"   // an attempt ended otherwise
	Ended            = "ended"     // by the policy: handed back or given up
	NoticeDelivered  = "told"      // the platform has the notice of its end
	Recovered        = "resumed"   // from an earlier process
)

// Texts of the lines of a process, which stand between those of messages.
const (
	Ready    = "ready"
	Stopping = "stopping"
	Stopped  = "stopped"
)

// DefaultPerSecond is how many messages a second are sampled by default.
const DefaultPerSecond = 100

const microsPerSecond = 1_000_000

// Sampler samples messages, up to a number in each second.
type Sampler struct {
	perSecond int
	second    int64 // Unix time
	sampled   int   // in this second
}

// NewSampler makes a sampler of so many messages a second.
func NewSampler(perSecond int) *Sampler { return &Sampler{perSecond: perSecond} }

// Sample reports whether a message that comes now (Unix time in µs) is sampled. A clock
// that goes back begins no new second.
func (s *Sampler) Sample(now int64) bool {
	if second := now / microsPerSecond; second > s.second {
		s.second, s.sampled = second, 0
	}
	if s.sampled >= s.perSecond {
		return false
	}
	s.sampled++
	return true
}
