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
	RateLimit   LimitKind = "rate"   // so many calls a second, with a depth
	WindowLimit LimitKind = "window" // a count in each fixed span
)

// Limit is what a partner takes from all relays together.
type Limit struct {
	Kind         LimitKind
	PerSecond    float64 // calls a second
	Depth        float64 // RateLimit: calls that may come at once
	Window       Time    // WindowLimit: the span; it takes PerSecond times its length
	RefusedSpend bool    // refused calls use it up too
	Wait         Time    // told with a refusal; 0 for none
}

// Service is how long a call works at an endpoint of usual pace.
type Service struct {
	Mean Time
	Dist seededrand.Distribution
	CV   float64
}

// Cancel says what becomes of a call whose caller has gone.
type Cancel string

// What becomes of a call whose caller has gone.
const (
	CancelNone   Cancel = "none"   // it runs on
	CancelQueued Cancel = "queued" // it is dropped unless it has begun
	CancelAll    Cancel = "all"    // it is dropped
)

// Spec describes a partner.
type Spec struct {
	Name         string
	Dest         int
	Endpoints    int
	Apart        bool      // endpoints are separate routes, each with its own limit
	Capacity     float64   // calls a second of one warm endpoint, at the usual mix
	Queue        int       // calls of one endpoint that wait for their turn
	Service      []Service // by class
	Mix          []float64 // share of each class in its traffic; what its capacity is told for
	Limit        Limit
	Conns        int     // connections of one endpoint, idle ones counted; 0 for any number
	Idle         Time    // it closes a connection idle for so long; 0 for never
	Handshake    Time    // what the first request on a connection takes longer
	OneWay       Time    // travel time, once before a call begins and once before its answer is heard
	ColdShare    float64 // share of its capacity after an outage; 1 for all
	ColdRamp     Time    // until it has all of it again
	FallMultiple float64 // sent more than so many times what it can do ...
	FallTime     Time    // ... for so long, a cold endpoint falls over; 0 for never
	KeyMemory    Time    // how long it drops repeats of a key
	Errors       float64 // share of calls that fail at any time
	Cancel       Cancel
	Full         float64 // calls that a full TLS handshake weighs
	Resumed      float64 // likewise, a resumed one
}

// slots and pace turn the capacity into calls served at once, and a factor on
// service times that makes their product exactly the capacity.
func (s *Spec) slots() (slots int, pace float64) {
	mean, sum := 0.0, 0.0
	for i, m := range s.Mix {
		mean, sum = mean+m*float64(s.Service[i].Mean), sum+m
	}
	if sum > 0 {
		mean /= sum
	}
	busy := s.Capacity * mean / 1e6
	slots = max(1, int(busy+0.5))
	return slots, float64(slots) / busy
}

func (s *Spec) check() error {
	switch {
	case s.Endpoints < 1:
		return fmt.Errorf("partner %s: endpoints: %d, want at least 1", s.Name, s.Endpoints)
	case !(s.Capacity > 0):
		return fmt.Errorf("partner %s: capacity: %v, want above 0", s.Name, s.Capacity)
	case len(s.Service) == 0 || len(s.Mix) != len(s.Service):
		return fmt.Errorf("partner %s: service: %d classes, mix of %d", s.Name, len(s.Service), len(s.Mix))
	case !(s.ColdShare > 0 && s.ColdShare <= 1):
		return fmt.Errorf("partner %s: cold share: %v, want above 0 and 1 at most", s.Name, s.ColdShare)
	case s.Limit.Kind != NoLimit && !(s.Limit.PerSecond > 0):
		return fmt.Errorf("partner %s: limit: %v, want above 0", s.Name, s.Limit.PerSecond)
	case s.Limit.Kind == WindowLimit && s.Limit.Window <= 0:
		return fmt.Errorf("partner %s: limit window: %d, want above 0", s.Name, s.Limit.Window)
	}
	for i, x := range s.Service {
		if s.Mix[i] > 0 && x.Mean <= 0 {
			return fmt.Errorf("partner %s: service of class %d: %d, want above 0", s.Name, i, x.Mean)
		}
	}
	return nil
}

// FaultKind names a way in which endpoints go wrong.
type FaultKind string

// Kinds of fault of endpoints. Where several hold at one endpoint, the first
// in this order decides what becomes of a call; the factors of slow ones
// multiply.
const (
	// the machine says nothing: open connections stay open and silent, new ones never come up
	Vanish   FaultKind = "vanish"
	Crash    FaultKind = "crash"     // the process dies: connections are reset, new ones refused
	Gone     FaultKind = "gone"      // as after a crash, but planned and told: no outage, though it comes back cold
	Hang     FaultKind = "hang"      // calls are read and nothing follows; what is out may run once it is over
	Full     FaultKind = "full"      // every call is turned away with no time to come back
	FullWait FaultKind = "full_wait" // every call is turned away and told to wait Size seconds
	Errors   FaultKind = "errors"    // Share of the calls fail quickly; half of those have run
	Reset    FaultKind = "reset"     // Share of the calls run, and their connection is reset after their last byte
	Spoilt   FaultKind = "spoilt"    // Share of the calls run and are answered with rubbish of form Form
	// Share of the calls run and are answered Size seconds after their caller's time limit
	Late FaultKind = "late"
	Slow FaultKind = "slow" // everything takes Size times as long
	Tail FaultKind = "tail" // Share of the messages of class Class take Size times as long
)

// Form is a form of a spoilt answer.
type Form string

// Forms of spoilt answers.
const (
	Noise  Form = "noise"  // bytes that are no answer
	Head   Form = "head"   // a head that does not end
	Length Form = "length" // a length that does not fit what follows
	Copy   Form = "copy"   // a good answer, and a second copy behind it
)

// Fault is one fault of one endpoint.
type Fault struct {
	Kind  FaultKind
	Size  float64
	Share float64
	Class int
	Form  Form
}

// outage reports whether an endpoint that has the fault is out, so that it
// comes back cold.
func (f *Fault) outage() bool {
	switch f.Kind {
	case Vanish, Crash, Hang, Full, FullWait:
		return true
	case Errors:
		return f.Share > 0.5
	}
	return false
}
