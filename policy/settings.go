package policy

import "fmt"

// Idempotency says whether a message of a class may run more than once.
type Idempotency uint8

// Kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may run any number of times
	IdempotentByKey                    // the destination drops duplicates within the class's dedup window
	NonIdempotent                      // must never run twice
)

// Class is one class of message.
type Class struct {
	Name             string
	LatencyObjective Time    // a message delivered within this time counts with its full weight
	Deadline         Time    // a message delivered after this time counts nothing; it must be answered by then
	Weight           float64 // value of a message delivered within its latency objective
	LateWeight       float64 // share of Weight that is left at the deadline
	Idempotency      Idempotency
	DedupWindow      Time // IdempotentByKey: starts when the first attempt that may have run is sent
	DedupPerZone     bool // IdempotentByKey: only endpoints of the same zone share their record of keys
	Ordered          bool // messages with the same key are sent one at a time, in order of arrival
}

// Tenant is one of the parties that share the relay.
type Tenant struct {
	Name  string
	Quota float64 // messages per second, over all relays, that keep their full weight; 0 for no quota
}

// DestinationKind is a kind of destination.
type DestinationKind struct {
	IndependentRoutes bool // its endpoints are separate routes, each with its own limit and outages
	BatchSize         int  // messages that may share one call; 0 means 1
}

// Settings configures an engine.
type Settings struct {
	Relays               int // relays that share the destinations, including this one
	Zone                 int
	Classes              []Class
	Tenants              []Tenant
	DestinationKinds     []DestinationKind
	MaxConcurrentCalls   int     // slots: calls in flight at once
	MaxPending           int     // messages pending at once; 0 for no limit
	MaxAttempts          int     // attempts for one message; 0 for no limit
	ExponentialDecay     bool    // a late message's weight halves with each further objective; else it falls linearly
	OverQuotaWeight      float64 // share of its weight that a message beyond its tenant's quota keeps
	WeightByCost         bool    // weights are per unit of a message's estimated cost
	ListHasRates         bool    // list entries carry the calls per second that a destination accepts
	HealthChecks         bool    // health checks are allowed
	Cancellation         bool    // attempts may be cancelled
	SendRetryAfter       bool    // a rejection tells the client how long to wait before a retry
	MaxRetryAfter        Time    // the longest such wait that clients honour
	PollList             bool    // list updates are not pushed: the engine must ask for them
	PollInterval         Time    // with PollList: how long a list counts as fresh
	ConnectTimeout       Time    // 0 if unknown
	IdleTimeout          Time    // idle connections are closed after this time; 0 if unknown
	StreamsPerConnection int     // concurrent calls on one connection; 0 means 1
	TickInterval         Time    // shortest interval between two steps; 0 if unknown
	ReplyGrace           Time    // time past a deadline in which an answer still counts
	DrainGrace           Time    // time after the announcement of a drain by which sends must have stopped
	InitialCapacity      float64 // least share of its capacity that a destination has right after an outage
	RampDuration         Time    // time after an outage by which it has its full capacity again
	OverloadFactor       float64 // multiple of its current capacity up to which a recovering destination is stable
	OverloadDuration     Time    // time at a higher load after which it fails again
	OrderedKeyBackoff    Time    // pause of an ordered key after an attempt that may still be running
}

// Validate returns an error for the first setting with an invalid value. The error uses the setting's name as
// operators know it, which differs from the field's name.
func (s *Settings) Validate() error {
	checks := []func() error{
		s.validateTimes, s.validateCounts, s.validateClasses, s.validateTenants, s.validateKinds, s.validateShares,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// validateTimes rejects negative times.
func (s *Settings) validateTimes() error {
	times := []struct {
		name  string
		value Time
	}{
		{"MaxRetryAfter", s.MaxRetryAfter},
		{"AskEvery", s.PollInterval},
		{"ConnectTimeout", s.ConnectTimeout},
		{"KeepAlive", s.IdleTimeout},
		{"Tick", s.TickInterval},
		{"AnswerSlack", s.ReplyGrace},
		{"DrainGrace", s.DrainGrace},
		{"RampTime", s.RampDuration},
		{"FallTime", s.OverloadDuration},
		{"KeyRest", s.OrderedKeyBackoff},
	}
	for _, time := range times {
		if time.value < 0 {
			return fmt.Errorf("%s: negative time %d", time.name, time.value)
		}
	}
	return nil
}

// validateCounts rejects counts below their minimum.
func (s *Settings) validateCounts() error {
	counts := []struct {
		name       string
		value, min int
	}{
		{"Relays", s.Relays, 1},
		{"Slots", s.MaxConcurrentCalls, 1},
		{"MaxHeld", s.MaxPending, 0},
		{"Zone", s.Zone, 0},
		{"MaxAttempts", s.MaxAttempts, 0},
		{"Streams", s.StreamsPerConnection, 0},
		{"Classes", len(s.Classes), 1},
	}
	for _, count := range counts {
		if count.value < count.min {
			return fmt.Errorf("%s: %d, want at least %d", count.name, count.value, count.min)
		}
	}
	return nil
}

// validateClasses rejects message classes with an invalid value.
func (s *Settings) validateClasses() error {
	for i := range s.Classes {
		if name, problem := s.Classes[i].validate(); name != "" {
			return fmt.Errorf("%s: %s", fmt.Sprintf("Classes[%d].%s", i, name), problem)
		}
	}
	return nil
}

// validate returns the name of the first invalid value and what is wrong with it; "" if all are valid.
func (c *Class) validate() (name, problem string) {
	switch {
	case c.Idempotency > NonIdempotent:
		return "Repeat", fmt.Sprintf("unknown kind %d", c.Idempotency)
	case c.LatencyObjective < 0:
		return "Aim", fmt.Sprintf("negative time %d", c.LatencyObjective)
	case c.Deadline <= 0:
		return "Deadline", fmt.Sprintf("%d, want above 0", c.Deadline)
	case c.DedupWindow < 0:
		return "DedupWindow", fmt.Sprintf("negative time %d", c.DedupWindow)
	case !notNegative(c.Weight):
		return "Worth", fmt.Sprintf("%v, want 0 or more", c.Weight)
	case !isShare(c.LateWeight):
		return "LateWorth", fmt.Sprintf("%v, want 0 to 1", c.LateWeight)
	}
	return "", ""
}

// validateTenants rejects quotas that are negative or NaN.
func (s *Settings) validateTenants() error {
	for i, tenant := range s.Tenants {
		if !notNegative(tenant.Quota) {
			return fmt.Errorf("Tenants[%d].Quota: %v, want 0 or more", i, tenant.Quota)
		}
	}
	return nil
}

// validateKinds rejects kinds of destination with a negative batch size.
func (s *Settings) validateKinds() error {
	for i, kind := range s.DestinationKinds {
		if kind.BatchSize < 0 {
			return fmt.Errorf("Kinds[%d].Batch: %d, want 0 or more", i, kind.BatchSize)
		}
	}
	return nil
}

// validateShares rejects shares outside 0 to 1, and a negative overload factor.
func (s *Settings) validateShares() error {
	switch {
	case !isShare(s.InitialCapacity):
		return fmt.Errorf("StartCapacity: %v, want 0 to 1", s.InitialCapacity)
	case !notNegative(s.OverloadFactor):
		return fmt.Errorf("OverloadFactor: %v, want 0 or more", s.OverloadFactor)
	case !isShare(s.OverQuotaWeight):
		return fmt.Errorf("OverShareWorth: %v, want 0 to 1", s.OverQuotaWeight)
	}
	return nil
}

// notNegative reports whether a value is at least 0. It is false for NaN.
func notNegative(value float64) bool { return value >= 0 }

// isShare reports whether a value is within 0 to 1. It is false for NaN.
func isShare(value float64) bool { return value >= 0 && value <= 1 }
