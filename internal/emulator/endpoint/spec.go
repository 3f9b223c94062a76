// Package endpoint models the endpoints of partners, the outside operators of destinations, in virtual
// time: rate limits, queues, service times, injected faults, warm-up after an outage and collapse under
// overload. A driver advances the model, reports connections and requests to it, and carries out the
// effects that the model returns, such as writing a response. The package uses no sockets, system clock,
// files or goroutines, and does not depend on a protocol; its subpackages connect it to those.
package endpoint

import (
	"fmt"

	"troutusher/internal/event"
	"troutusher/internal/seededrand"
)

// Time is a point in time, in microseconds since the rehearsal began, or a duration in microseconds.
type Time = event.Time

// LimitKind says how a rate limit counts calls.
type LimitKind string

// Kinds of rate limit.
const (
	NoLimit     LimitKind = "none"
	TokenBucket LimitKind = "rate"   // PerSecond calls per second, with bursts of up to Burst calls
	FixedWindow LimitKind = "window" // a fixed number of calls in each window
)

// RateLimit limits the calls that a destination, or one of its endpoints if it has independent routes,
// admits from all relays together.
type RateLimit struct {
	Kind           LimitKind
	PerSecond      float64 // calls per second
	Burst          float64 // TokenBucket: calls that may arrive at once
	Window         Time    // FixedWindow: length of a window, which admits PerSecond * Window calls
	CountsRejected bool    // rejected calls count against the limit too
	RetryAfter     Time    // sent with a rejection; 0 to send none
}

// ServiceTime is the distribution of the service times of a class of messages.
type ServiceTime struct {
	Mean         Time
	Distribution seededrand.Distribution
	CV           float64 // coefficient of variation
}

// CancelPolicy says whether a destination drops a call whose caller has closed the connection.
type CancelPolicy string

// Cancel policies.
const (
	CancelNone   CancelPolicy = "none"   // the call still runs
	CancelQueued CancelPolicy = "queued" // the call is dropped unless it is in service
	CancelAll    CancelPolicy = "all"    // the call is dropped, even in service
)

// Spec describes a destination and its endpoints.
type Spec struct {
	Name              string
	Destination       int
	Endpoints         int
	IndependentRoutes bool // each endpoint has its own rate limit, and collapses independently of the others

	Capacity     float64 // calls per second that a warmed-up endpoint serves, for calls in the mix ClassMix
	QueueLimit   int     // maximum number of calls that wait for service at one endpoint
	ServiceTimes []ServiceTime
	ClassMix     []float64 // share of the calls that belongs to each class
	RateLimit    RateLimit
	Cancel       CancelPolicy
	DedupWindow  Time    // how long the destination drops repeats of an idempotency key
	ErrorShare   float64 // share of calls that fail even while no fault is active

	MaxConns             int     // maximum connections to one endpoint, including idle ones; 0 for no limit
	IdleTimeout          Time    // time after which an idle connection is closed; 0 for never
	HandshakeTime        Time    // extra delay of the first request on a connection
	OneWayDelay          Time    // network delay of a call, and of its response
	FullHandshakeCost    float64 // load of a full TLS handshake, as a number of calls
	ResumedHandshakeCost float64 // load of a resumed TLS handshake, as a number of calls

	WarmUpShare float64 // share of the capacity available right after an outage; 1 for no warm-up
	WarmUpTime  Time    // time after an outage until the full capacity is available
	// While an endpoint warms up, it collapses once the calls that arrived within OverloadWindow
	// exceed OverloadFactor times the calls that it could serve in that time. With an
	// OverloadWindow of 0 it never collapses.
	OverloadFactor float64
	OverloadWindow Time
}

// concurrency returns how many calls an endpoint serves at once, and the factor on service times
// that makes the served rate equal to the capacity. The factor corrects for the rounding of the
// number of calls.
func (s *Spec) concurrency() (inService int, serviceTimeScale float64) {
	mean, total := 0.0, 0.0
	for class, share := range s.ClassMix {
		mean, total = mean+share*float64(s.ServiceTimes[class].Mean), total+share
	}
	if total > 0 {
		mean /= total
	}
	meanInService := s.Capacity * mean / 1e6
	inService = max(1, int(meanInService+0.5))
	return inService, float64(inService) / meanInService
}

// validate returns an error if the specification is invalid.
func (s *Spec) validate() error {
	switch {
	case s.Endpoints < 1:
		return fmt.Errorf("partner %s: %d endpoints, want at least 1", s.Name, s.Endpoints)
	case !(s.Capacity > 0):
		return fmt.Errorf("partner %s: capacity %v calls/s, want above 0", s.Name, s.Capacity)
	case len(s.ServiceTimes) == 0 || len(s.ClassMix) != len(s.ServiceTimes):
		return fmt.Errorf("partner %s: service times of %d classes, class mix of %d, want equal counts above 0",
			s.Name, len(s.ServiceTimes), len(s.ClassMix))
	case !(s.WarmUpShare > 0 && s.WarmUpShare <= 1):
		return fmt.Errorf("partner %s: cold share %v, want above 0 and at most 1", s.Name, s.WarmUpShare)
	case s.RateLimit.Kind != NoLimit && !(s.RateLimit.PerSecond > 0):
		return fmt.Errorf("partner %s: rate limit %v calls/s, want above 0", s.Name, s.RateLimit.PerSecond)
	case s.RateLimit.Kind == FixedWindow && s.RateLimit.Window <= 0:
		return fmt.Errorf("partner %s: rate limit window %d µs, want above 0", s.Name, s.RateLimit.Window)
	}
	for class, service := range s.ServiceTimes {
		if s.ClassMix[class] > 0 && service.Mean <= 0 {
			return fmt.Errorf("partner %s: service time of class %d: %d µs, want above 0", s.Name, class, service.Mean)
		}
	}
	return nil
}

// FaultKind names a kind of fault that can be injected at endpoints.
type FaultKind string

// Kinds of fault. If several kinds are active at one endpoint, the first one in the order below decides
// the outcome of a call. The factors of several SlowService faults multiply.
const (
	// Blackhole: the machine is unreachable. Open connections stay open but silent, and new ones are
	// never established.
	Blackhole FaultKind = "vanish"
	// Crash: the process dies. Its connections are reset and new ones are refused.
	Crash FaultKind = "crash"
	// PlannedStop: the process stops as announced. Connections are treated as in a Crash. It does not
	// count as an outage, but the endpoint warms up afterwards.
	PlannedStop FaultKind = "gone"
	// Hang: calls are read but get no response. Calls in flight may take effect after the fault is
	// cleared.
	Hang FaultKind = "hang"
	// RejectAll: every call is rejected without a Retry-After.
	RejectAll FaultKind = "full"
	// RejectWithRetryAfter: every call is rejected with a Retry-After of Magnitude seconds.
	RejectWithRetryAfter FaultKind = "full_wait"
	// ErrorResponses: the fraction Share of the calls fails quickly. Half of these take effect.
	ErrorResponses FaultKind = "errors"
	// ConnectionReset: the fraction Share of the calls takes effect, but their connection is reset
	// after the last byte of the call.
	ConnectionReset FaultKind = "reset"
	// MalformedResponse: the fraction Share of the calls takes effect and gets a response with the
	// fault's Defect.
	MalformedResponse FaultKind = "spoilt"
	// LateResponse: the fraction Share of the calls takes effect and gets its response Magnitude
	// seconds after the caller's timeout.
	LateResponse FaultKind = "late"
	// LateCopy: the fraction Share of the responses is written a second time during the next call on the
	// connection, at a random time up to Magnitude seconds after that call's last byte. It does not
	// change the outcome of any call.
	LateCopy FaultKind = "late_copy"
	// SlowService: service takes Magnitude times as long.
	SlowService FaultKind = "slow"
	// TailLatency: service takes Magnitude times as long for the fraction Share of the messages of
	// class Class.
	TailLatency FaultKind = "tail"
)

// ResponseDefect is the kind of defect of a malformed response.
type ResponseDefect string

// Defects of responses.
const (
	GarbageBytes      ResponseDefect = "noise"  // bytes that do not form a response
	EndlessHeader     ResponseDefect = "head"   // a header that never ends
	WrongLength       ResponseDefect = "length" // a length that does not match the body
	DuplicateResponse ResponseDefect = "copy"   // a valid response, followed by a copy of it
)

// Fault is a fault that can be injected at an endpoint. The meaning of Magnitude, Share, Class and
// Defect depends on the kind.
type Fault struct {
	Kind      FaultKind
	Magnitude float64
	Share     float64
	Class     int
	Defect    ResponseDefect
}

// causesOutage reports whether the fault takes the endpoint out of service, so that the endpoint
// warms up afterwards.
func (f *Fault) causesOutage() bool {
	switch f.Kind {
	case Blackhole, Crash, Hang, RejectAll, RejectWithRetryAfter:
		return true
	case ErrorResponses:
		return f.Share > 0.5
	}
	return false
}
