// Package endpoint is a model of outside partners: what they take, how long
// they work, how they refuse, fail, go cold and fall over. It is stepped with
// moments and requests and says what to answer. It must never touch a socket,
// a clock or a file, start a goroutine, or know a protocol's bytes; the folders
// below it connect it to those.
package endpoint

import (
	"fmt"

	"troutusher/internal/event"
	"troutusher/internal/seededrand"
)

// Time is a moment or a span in microseconds since the rehearsal began.
type Time = event.Time

// LimitKind says how a partner counts what it takes.
type LimitKind string

// Kinds of limit.
const (
	NoLimit     LimitKind = "none"
	TokenBucket LimitKind = "rate"   // so many calls a second, with a depth
	FixedWindow LimitKind = "window" // a count in each fixed span
)

// RateLimit is what a partner takes from all relays together.
type RateLimit struct {
	Kind          LimitKind
	PerSecond     float64 // calls a second
	Burst         float64 // RateLimit: calls that may come at once
	Window        Time    // WindowLimit: the span; it takes PerSecond times its length
	RejectedCount bool    // refused calls use it up too
	RetryAfter    Time    // told with a refusal; 0 for none
}

// ServiceTime is how long a call works at an endpoint of usual pace.
type ServiceTime struct {
	Mean         Time
	Distribution seededrand.Distribution
	CV           float64
}

// CancelPolicy says what becomes of a call whose caller has gone.
type CancelPolicy string

// What becomes of a call whose caller has gone.
const (
	CancelNone   CancelPolicy = "none"   // it runs on
	CancelQueued CancelPolicy = "queued" // it is dropped unless it has begun
	CancelAll    CancelPolicy = "all"    // it is dropped
)

// Spec describes a partner.
type Spec struct {
	Name                 string
	Destination          int
	Endpoints            int
	IndependentRoutes    bool          // endpoints are separate routes, each with its own limit
	Capacity             float64       // calls a second of one warm endpoint, at the usual mix
	QueueLimit           int           // calls of one endpoint that wait for their turn
	ServiceTimes         []ServiceTime // by class
	ClassMix             []float64     // share of each class in its traffic; what its capacity is told for
	RateLimit            RateLimit
	MaxConns             int     // connections of one endpoint, idle ones counted; 0 for any number
	IdleTimeout          Time    // it closes a connection idle for so long; 0 for never
	HandshakeTime        Time    // what the first request on a connection takes longer
	OneWayDelay          Time    // travel time, once before a call begins and once before its answer is heard
	WarmUpShare          float64 // share of its capacity after an outage; 1 for all
	WarmUpTime           Time    // until it has all of it again
	OverloadFactor       float64 // sent more than so many times what it can do ...
	OverloadWindow       Time    // ... for so long, a cold endpoint falls over; 0 for never
	DedupWindow          Time    // how long it drops repeats of a key
	ErrorShare           float64 // share of calls that fail at any time
	Cancel               CancelPolicy
	FullHandshakeCost    float64 // calls that a full TLS handshake weighs
	ResumedHandshakeCost float64 // likewise, a resumed one
}

// concurrency and pace turn the capacity into calls served at once, and a factor on
// service times that makes their product exactly the capacity.
func (s *Spec) concurrency() (slots int, pace float64) {
	mean, sum := 0.0, 0.0
	for i, m := range s.ClassMix {
		mean, sum = mean+m*float64(s.ServiceTimes[i].Mean), sum+m
	}
	if sum > 0 {
		mean /= sum
	}
	busy := s.Capacity * mean / 1e6
	slots = max(1, int(busy+0.5))
	return slots, float64(slots) / busy
}

func (s *Spec) validate() error {
	switch {
	case s.Endpoints < 1:
		return fmt.Errorf("partner %s: endpoints: %d, want at least 1", s.Name, s.Endpoints)
	case !(s.Capacity > 0):
		return fmt.Errorf("partner %s: capacity: %v, want above 0", s.Name, s.Capacity)
	case len(s.ServiceTimes) == 0 || len(s.ClassMix) != len(s.ServiceTimes):
		return fmt.Errorf("partner %s: service: %d classes, mix of %d", s.Name, len(s.ServiceTimes), len(s.ClassMix))
	case !(s.WarmUpShare > 0 && s.WarmUpShare <= 1):
		return fmt.Errorf("partner %s: cold share: %v, want above 0 and 1 at most", s.Name, s.WarmUpShare)
	case s.RateLimit.Kind != NoLimit && !(s.RateLimit.PerSecond > 0):
		return fmt.Errorf("partner %s: limit: %v, want above 0", s.Name, s.RateLimit.PerSecond)
	case s.RateLimit.Kind == FixedWindow && s.RateLimit.Window <= 0:
		return fmt.Errorf("partner %s: limit window: %d, want above 0", s.Name, s.RateLimit.Window)
	}
	for i, x := range s.ServiceTimes {
		if s.ClassMix[i] > 0 && x.Mean <= 0 {
			return fmt.Errorf("partner %s: service of class %d: %d, want above 0", s.Name, i, x.Mean)
		}
	}
	return nil
}

// FaultKind names a kind of fault that can be injected at endpoints.
type FaultKind string

// Kinds of fault. Where several are active at one endpoint, the first in this
// order decides what becomes of a call; the factors of SlowService multiply.
const (
	// Blackhole: the machine is unreachable. Open connections stay open and silent,
	// new ones are never established.
	Blackhole FaultKind = "vanish"
	// Crash: the process dies. Connections are reset, new ones refused.
	Crash FaultKind = "crash"
	// PlannedStop is like a crash, but announced: it is no outage, though the
	// endpoint warms up afterwards.
	PlannedStop FaultKind = "gone"
	// Hang: calls are read and get no response. Calls in flight may take effect once
	// the fault is cleared.
	Hang FaultKind = "hang"
	// RejectAll: every call is rejected without a Retry-After.
	RejectAll FaultKind = "full"
	// RejectWithRetryAfter: every call is rejected with a Retry-After of Magnitude
	// seconds.
	RejectWithRetryAfter FaultKind = "full_wait"
	// ErrorResponses: Share of the calls fail quickly. Half of those take effect.
	ErrorResponses FaultKind = "errors"
	// ConnectionReset: Share of the calls take effect, and their connection is reset
	// after their last byte.
	ConnectionReset FaultKind = "reset"
	// MalformedResponse: Share of the calls take effect and get a response with the
	// fault's Defect.
	MalformedResponse FaultKind = "spoilt"
	// LateResponse: Share of the calls take effect and get their response Magnitude
	// seconds after their caller's timeout.
	LateResponse FaultKind = "late"
	// SlowService: service takes Magnitude times as long.
	SlowService FaultKind = "slow"
	// TailLatency: Share of the messages of class Class take Magnitude times as long.
	TailLatency FaultKind = "tail"
)

// ResponseDefect is a form of a spoilt answer.
type ResponseDefect string

// Forms of spoilt answers.
const (
	GarbageBytes      ResponseDefect = "noise"  // bytes that are no answer
	EndlessHeader     ResponseDefect = "head"   // a head that does not end
	WrongLength       ResponseDefect = "length" // a length that does not fit what follows
	DuplicateResponse ResponseDefect = "copy"   // a good answer, and a second copy behind it
)

// Fault is one fault of one endpoint.
type Fault struct {
	Kind      FaultKind
	Magnitude float64
	Share     float64
	Class     int
	Defect    ResponseDefect
}

// causesOutage reports whether an endpoint that has the fault is out, so that it
// comes back cold.
func (f *Fault) causesOutage() bool {
	switch f.Kind {
	case Blackhole, Crash, Hang, RejectAll, RejectWithRetryAfter:
		return true
	case ErrorResponses:
		return f.Share > 0.5
	}
	return false
}
