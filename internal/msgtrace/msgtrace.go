// Package msgtrace defines the texts of the log lines that trace a message from its submission to
// its end, and samples the messages that are traced from their submission on. The sampler limits
// the traced messages per second, so that the log of a busy relay stays bounded. A message is
// sampled once for all its lines, so that its trace is complete.
//
// The package never reads a clock and never writes a log line. No code that takes decisions about
// messages may depend on it.
package msgtrace

// Texts of the log lines about a message. Ended, NoticeDelivered, AttemptFailed and Recovered are
// logged for every message, the others only for sampled ones.
const (
	Accepted         = "taken"     // the client has received the acknowledgement
	Rejected         = "refused"   // the relay did not accept the message, and its reply said so
	Withdrawn        = "withdrawn" // the client closed its connection before the reply
	Delivered        = "delivered" // the endpoint accepted the message, which ended it
	EndpointFinished = "over"      // the endpoint replied 410: message already withdrawn or expired, nothing more to do
	AttemptFailed    = "attempt"   // an attempt ended in any other way
	Ended            = "ended"     // the policy ended the message: handed back (safe to submit again) or given up
	NoticeDelivered  = "told"      // the platform has received the notice that the message ended
	Recovered        = "resumed"   // a new process recovered the message from an earlier one
)

// Texts of the log lines about the relay's process, which message traces show as well.
const (
	Ready    = "ready"
	Stopping = "stopping"
	Stopped  = "stopped"
)

// DefaultPerSecond is the default limit of sampled messages per second.
const DefaultPerSecond = 100

const microsPerSecond = 1_000_000

// Sampler samples the first messages of each second, up to a limit.
type Sampler struct {
	perSecond int
	second    int64 // the current second, in Unix time
	sampled   int   // messages sampled in the current second
}

// NewSampler returns a sampler that samples at most perSecond messages in each second.
func NewSampler(perSecond int) *Sampler { return &Sampler{perSecond: perSecond} }

// Sample reports whether to trace a message that arrives at now (Unix time in µs). If the clock goes
// back, the latest second continues, so that the limit holds.
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
