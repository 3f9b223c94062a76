// Package endpoint emulates the endpoints of outside partners in virtual time: rate
// limits, queues, service times, injected faults, warm-up after an outage and
// collapse under overload. Its driver advances the model, reports connections and
// requests, and carries out the effects that it returns, such as responses. The
// package must never use a socket, the clock, a file or a goroutine, nor know a
// protocol; the packages below it connect it to those.
package endpoint

import (
	"fmt"

	"troutusher/internal/event"
	"troutusher/internal/seededrand"
)

// Time is a time, in microseconds since the rehearsal began, or a duration.
type Time = event.Time

// LimitKind says how a rate limit counts calls.
type LimitKind string

// Kinds of rate limit.
const (
	NoLimit     LimitKind = "none"
	TokenBucket LimitKind = "rate"   // PerSecond calls a second, with bursts of Burst
	FixedWindow LimitKind = "window" // a number of calls in each window
)

// RateLimit is what a destination, or an independent route, admits from all relays
// together.
type RateLimit struct {
	Kind           LimitKind
	PerSecond      float64 // calls a second
	Burst          float64 // TokenBucket: calls that may come at once
	Window         Time    // FixedWindow: its length; it admits PerSecond times that
	CountsRejected bool    // rejected calls count too
	RetryAfter     Time    // sent with a rejection; 0 for none
}

// ServiceTime is the distribution of how long calls are in service.
type ServiceTime struct {
	Mean         Time
	Distribution seededrand.Distribution
	CV           float64 // coefficient of variation
}

// CancelPolicy says what becomes of a call whose caller has closed the connection.
type CancelPolicy string

// Cancel policies.
const (
	CancelNone   CancelPolicy = "none"   // it runs on
	CancelQueued CancelPolicy = "queued" // it is dropped unless it is in service
	CancelAll    CancelPolicy = "all"    // it is dropped
)

// Spec describes a destination and its endpoints.
type Spec struct {
	Name              string
	Destination       int
	Endpoints         int
	IndependentRoutes bool // each endpoint has a rate limit of its own, and collapses alone

	Capacity     float64 // calls a second that one warmed-up endpoint serves, at ClassMix
	QueueLimit   int     // calls of one endpoint that wait for service
	ServiceTimes []ServiceTime
	ClassMix     []float64 // share of each class in the calls
	RateLimit    RateLimit
	Cancel       CancelPolicy
	DedupWindow  Time    // how long repeats of an idempotency key are dropped
	ErrorShare   float64 // share of calls that fail at any time

	MaxConns             int     // connections of one endpoint, idle ones counted; 0 for any number
	IdleTimeout          Time    // idle connections are closed after it; 0 for never
	HandshakeTime        Time    // what the first request on a connection takes longer
	OneWayDelay          Time    // travel time of a call, and of its response
	FullHandshakeCost    float64 // cost of a full TLS handshake, in calls
	ResumedHandshakeCost float64 // likewise, of a resumed one

	WarmUpShare    float64 // share of the capacity right after an outage; 1 for no warm-up
	WarmUpTime     Time    // until the whole capacity is back
	OverloadFactor float64 // more arrivals than so many times what it can serve ...
	OverloadWindow Time    // ... for so long make it collapse while it warms up; 0 for never
}

// concurrency turns the capacity into a number of calls in service at once and a
// factor on service times, with which the rate served is exactly the capacity.
func (s *Spec) concurrency() (inService int, serviceTimeScale float64) {
	mean, total := 0.0, 0.0
	for class, share := range s.ClassMix {
		mean, total = mean+share*float64(s.ServiceTimes[class].Mean), total+share
	}
	if total > 0 {
		mean /= total
	}
	busy := s.Capacity * mean / 1e6
	inService = max(1, int(busy+0.5))
	return inService, float64(inService) / busy
}

// validate reports what is wrong with the specification.
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
	for class, service := range s.ServiceTimes {
		if s.ClassMix[class] > 0 && service.Mean <= 0 {
			return fmt.Errorf("partner %s: service of class %d: %d, want above 0", s.Name, class, service.Mean)
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

// ResponseDefect is what is wrong with a malformed response.
type ResponseDefect string

// Defects of responses.
const (
	GarbageBytes      ResponseDefect = "noise"  // bytes that are no response
	EndlessHeader     ResponseDefect = "head"   // a header that does not end
	WrongLength       ResponseDefect = "length" // a length that does not fit the body
	DuplicateResponse ResponseDefect = "copy"   // a valid response, and a copy of it
)

// Fault is one fault of one endpoint. What Magnitude, Share, Class and Defect mean
// depends on the kind.
type Fault struct {
	Kind      FaultKind
	Magnitude float64
	Share     float64
	Class     int
	Defect    ResponseDefect
}

// causesOutage reports whether the endpoint is out of service while the fault is
// active, so that it warms up afterwards.
func (f *Fault) causesOutage() bool {
	switch f.Kind {
	case Blackhole, Crash, Hang, RejectAll, RejectWithRetryAfter:
		return true
	case ErrorResponses:
		return f.Share > 0.5
	}
	return false
}
