package policy

import "fmt"

// Idempotency says what a second run of a message of a class would do.
type Idempotency uint8

// Kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may run any number of times
	IdempotentByKey                    // the destination drops repeats inside the class's window
	NonIdempotent                      // must never run twice
)

// Class is one class of message.
type Class struct {
	Name             string
	LatencyObjective Time    // delivered within this, a message has its full weight
	Deadline         Time    // after this it has none, and must have been answered
	Weight           float64 // what a message in time is worth
	LateWeight       float64 // share of the weight left at the deadline
	Idempotency      Idempotency
	DedupWindow      Time // IdempotentByKey: counted from the send of the first attempt that may have run
	DedupPerZone     bool // IdempotentByKey: only the endpoints of one zone share their memory of keys
	Ordered          bool // messages of one key go one at a time, in order of arrival
}

// Tenant is one of those who share the relay.
type Tenant struct {
	Name  string
	Quota float64 // messages a second over all relays inside its share; 0 for none
}

// DestinationKind is a kind of destination.
type DestinationKind struct {
	IndependentRoutes bool // its endpoints are separate routes, each with its own limit and outages
	BatchSize         int  // messages that may travel in one call; 0 means 1
}

// Settings is what an engine is made with.
type Settings struct {
	Relays               int // relays that share the destinations, this one included
	Zone                 int
	Classes              []Class
	Tenants              []Tenant
	DestinationKinds     []DestinationKind
	MaxConcurrentCalls   int     // slots: calls in flight at once
	MaxPending           int     // messages pending at once; 0 for no limit
	MaxAttempts          int     // attempts for one message; 0 for no limit
	ExponentialDecay     bool    // past the objective the weight halves each objective, else it falls in a line
	OverQuotaWeight      float64 // part of its weight that a message beyond its tenant's quota keeps
	WeightByCost         bool    // weights are for each unit of a message's estimated cost
	ListHasRates         bool    // list entries carry the calls a second that a destination takes
	HealthChecks         bool    // health checks are allowed
	Cancellation         bool    // attempts may be cancelled
	SendRetryAfter       bool    // a rejection says when to come back
	MaxRetryAfter        Time    // the longest such wait that clients heed
	PollList             bool    // list updates come only when asked for
	PollInterval         Time    // with PollList: the longest a list counts as fresh without asking
	ConnectTimeout       Time    // 0 when unknown
	IdleTimeout          Time    // idle connections close after this; 0 when unknown
	StreamsPerConnection int     // calls that one connection carries at once; 0 means 1
	TickInterval         Time    // events come at most this often; 0 when unknown
	ReplyGrace           Time    // time past a deadline in which an answer still counts
	DrainGrace           Time    // time after word of a drain in which sends must have ended
	InitialCapacity      float64 // share of its capacity that a destination has at least after an outage
	RampDuration         Time    // by then at the latest it has all of it
	OverloadFactor       float64 // sent more than this many times what it can do ...
	OverloadDuration     Time    // ... for this long, a recovering destination falls over
	OrderedKeyBackoff    Time    // pause of a key that keeps order after an attempt whose end is not sure
}

// Validate reports values that cannot be. The names in its errors are those that operators have always been shown;
// they are not the names of the fields.
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

func (s *Settings) validateClasses() error {
	for i := range s.Classes {
		if name, problem := s.Classes[i].validate(); name != "" {
			return fmt.Errorf("%s: %s", fmt.Sprintf("Classes[%d].%s", i, name), problem)
		}
	}
	return nil
}

// validate gives the name of the first value that cannot be, and what is wrong with it.
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

func (s *Settings) validateTenants() error {
	for i, tenant := range s.Tenants {
		if !notNegative(tenant.Quota) {
			return fmt.Errorf("Tenants[%d].Quota: %v, want 0 or more", i, tenant.Quota)
		}
	}
	return nil
}

func (s *Settings) validateKinds() error {
	for i, kind := range s.DestinationKinds {
		if kind.BatchSize < 0 {
			return fmt.Errorf("Kinds[%d].Batch: %d, want 0 or more", i, kind.BatchSize)
		}
	}
	return nil
}

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

// notNegative is false for what is no number, too.
func notNegative(value float64) bool { return value >= 0 }

// isShare is false for what is no number, too.
func isShare(value float64) bool { return value >= 0 && value <= 1 }
