package policy

import "fmt"

// This file is the module's interface: settings, events and actions in the
// domain's words. It holds no decision and no tuned value.

// Time is a moment or a span in microseconds of the host's own clock.
type Time = int64

// EndpointID names one endpoint of a destination; nothing can be read from it.
type EndpointID uint64

// Idempotency says what a second run of a message of a class would do.
type Idempotency uint8

// Kinds of repeat.
const (
	Idempotent      Idempotency = iota // may run any number of times
	IdempotentByKey                    // the destination drops repeats inside the class's window
	NonIdempotent                      // must never run twice
)

// Class is one class of message.
type Class struct {
	Name             string
	LatencyObjective Time // delivered within this, it earns its full worth
	Deadline         Time // after this it earns nothing and must have been answered
	Weight           float64
	LateWeight       float64 // share of the worth left at the deadline
	Idempotency      Idempotency
	DedupWindow      Time // Keyed only: counted from the send of the first attempt that may have run
	DedupPerZone     bool // Keyed only: only endpoints of one zone share the memory of keys
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

// Settings is what a relay is told at start.
type Settings struct {
	Relays               int // relays that share the destinations, this one included
	Zone                 int
	Classes              []Class
	Tenants              []Tenant
	DestinationKinds     []DestinationKind
	MaxConcurrentCalls   int // calls out at once
	MaxPending           int // messages held at once; 0 for no limit
	MaxAttempts          int // attempts for one message; 0 for no limit
	ExponentialDecay     bool
	OverQuotaWeight      float64 // part of its worth that a message beyond its tenant's share keeps
	WeightByCost         bool
	ListHasRates         bool    // list entries carry the calls a second that a destination takes
	HealthChecks         bool    // probes are allowed
	Cancellation         bool    // calling off an attempt is allowed
	SendRetryAfter       bool    // clients are given advice with a refusal
	MaxRetryAfter        Time    // the longest advice that clients heed
	PollList             bool    // list changes come only when asked for
	PollInterval         Time    // with AskForList: the longest a list counts as fresh without asking
	ConnectTimeout       Time    // 0 when unknown
	IdleTimeout          Time    // idle connections close after this; 0 when unknown
	StreamsPerConnection int     // calls that one connection carries at once; 0 means 1
	TickInterval         Time    // events come at most this often; 0 when unknown
	ReplyGrace           Time    // time past a deadline in which an answer still counts
	DrainGrace           Time    // time after word of a drain in which sends must have ended
	InitialCapacity      float64 // share of capacity that a destination has at least after an outage
	RampDuration         Time    // by then at the latest it has all of it
	OverloadFactor       float64 // sent more than this many times what it can do ...
	OverloadDuration     Time    // ... for this long, a cold destination falls over
	OrderedKeyBackoff    Time    // pause of a key in order after an attempt whose end is not sure
}

// Validate tells of values that cannot be; the error names the key.
func (s *Settings) Validate() error {
	times := []struct {
		key string
		v   Time
	}{{"MaxRetryAfter", s.MaxRetryAfter}, {"AskEvery", s.PollInterval}, {"ConnectTimeout", s.ConnectTimeout},
		{"KeepAlive", s.IdleTimeout}, {"Tick", s.TickInterval}, {"AnswerSlack", s.ReplyGrace},
		{"DrainGrace", s.DrainGrace}, {"RampTime", s.RampDuration}, {"FallTime", s.OverloadDuration}, {"KeyRest", s.OrderedKeyBackoff}}
	for _, t := range times {
		if t.v < 0 {
			return fmt.Errorf("%s: negative time %d", t.key, t.v)
		}
	}
	counts := []struct {
		key    string
		v, min int
	}{{"Relays", s.Relays, 1}, {"Slots", s.MaxConcurrentCalls, 1}, {"MaxHeld", s.MaxPending, 0}, {"Zone", s.Zone, 0},
		{"MaxAttempts", s.MaxAttempts, 0}, {"Streams", s.StreamsPerConnection, 0}, {"Classes", len(s.Classes), 1}}
	for _, c := range counts {
		if c.v < c.min {
			return fmt.Errorf("%s: %d, want at least %d", c.key, c.v, c.min)
		}
	}
	for i, c := range s.Classes {
		key := fmt.Sprintf("Classes[%d]", i)
		switch {
		case c.Idempotency > NonIdempotent:
			return fmt.Errorf("%s.Repeat: unknown kind %d", key, c.Idempotency)
		case c.LatencyObjective < 0:
			return fmt.Errorf("%s.Aim: negative time %d", key, c.LatencyObjective)
		case c.Deadline <= 0:
			return fmt.Errorf("%s.Deadline: %d, want above 0", key, c.Deadline)
		case c.DedupWindow < 0:
			return fmt.Errorf("%s.DedupWindow: negative time %d", key, c.DedupWindow)
		case !(c.Weight >= 0):
			return fmt.Errorf("%s.Worth: %v, want 0 or more", key, c.Weight)
		case !(c.LateWeight >= 0 && c.LateWeight <= 1):
			return fmt.Errorf("%s.LateWorth: %v, want 0 to 1", key, c.LateWeight)
		}
	}
	for i, t := range s.Tenants {
		if !(t.Quota >= 0) {
			return fmt.Errorf("Tenants[%d].Quota: %v, want 0 or more", i, t.Quota)
		}
	}
	for i, k := range s.DestinationKinds {
		if k.BatchSize < 0 {
			return fmt.Errorf("Kinds[%d].Batch: %d, want 0 or more", i, k.BatchSize)
		}
	}
	if !(s.InitialCapacity >= 0 && s.InitialCapacity <= 1) {
		return fmt.Errorf("StartCapacity: %v, want 0 to 1", s.InitialCapacity)
	}
	if !(s.OverloadFactor >= 0) {
		return fmt.Errorf("OverloadFactor: %v, want 0 or more", s.OverloadFactor)
	}
	if !(s.OverQuotaWeight >= 0 && s.OverQuotaWeight <= 1) {
		return fmt.Errorf("OverShareWorth: %v, want 0 to 1", s.OverQuotaWeight)
	}
	return nil
}

// EventKind says what an Event tells.
type EventKind uint8

// Kinds of event, each with the fields of Event that it uses.
const (
	EvListUpdated      EventKind = iota // news of the list: List, Entries, Memory
	EvMessageSubmitted                  // a new message: Message, Key, Left, Class, Dest, Tenant, Work, Tries, DoubtAt, DoubtIn, Worth, SentAt, SentTo, Resumed
	EvReplyStarted                      // an answer has begun to flow: Message, Attempt
	EvAttemptEnded                      // an attempt is over: Message, Attempt, Endpoint, Outcome, Wait, Slots, Opened, Took, Settled, Load
	EvMessageWithdrawn                  // nobody wants the message any more: Message
	EvTimer                             // a timer has come: Token
	EvHealthChecked                     // a probe was answered: Endpoint, Outcome, Took, Load
	EvIdentityRejected                  // an endpoint's identity is not proved: nothing goes there for Wait; 0 lifts it: Endpoint, Wait
)

// ListUpdateKind says what an EvList holds.
type ListUpdateKind uint8

// Kinds of list news.
const (
	ListDelta  ListUpdateKind = iota // only changed entries
	ListFull                         // the whole list; what is not in it is gone
	ListCached                       // the whole list as last had, maybe old
	ListFailed                       // asking failed; the old list stands
)

// Readiness is what the list says of an endpoint.
type Readiness uint8

// States of an endpoint in the list.
const (
	Gone Readiness = iota
	Ready
	Draining
)

// EndpointUpdate is a line of the list.
type EndpointUpdate struct {
	Endpoint    EndpointID
	Zone        int
	Kind        int
	Destination int
	State       Readiness
	Rate        float64 // calls a second that the destination (the route, where apart) takes from all relays
	ConnectCost float64 // what opening a connection there takes of it, in calls; 0 where that costs nothing
}

// Outcome is how an attempt or a probe ended.
type Outcome uint8

// Outcomes.
const (
	Delivered       Outcome = iota
	Failed                  // answered with an error; may have run
	Rejected                // turned away unseen; never ran
	TimedOut                // no answer in time; may have run or still do so
	ConnectFailed           // no connection in time; never ran
	ConnectionReset         // the connection broke; may have run
	Cancelled               // called off; may have run
	NotSent                 // never left the relay; never ran
	outcomeCount            // count of the outcomes
)

// NeverRan reports whether the outcome proves that the attempt had no effect.
func (o Outcome) NeverRan() bool { return o == Rejected || o == ConnectFailed || o == NotSent }

// LoadReport is a load report of an endpoint.
type LoadReport struct {
	Remaining float64 // share of the allowance left
	Limit     float64 // calls a second that the limit allows; 0 where none is told
}

// Event is something that the relay tells its policy.
type Event struct {
	Kind              EventKind
	ListUpdate        ListUpdateKind
	Outcome           Outcome
	MessageFinished   bool // EvOutcome: nothing more is owed for the message
	NoFreeSlot        bool // EvOutcome, NotSent: all slots were taken
	NotCounted        bool // EvOutcome, NotSent: it never left the relay, and uses up no attempt
	ConnectionsOpened int  // EvOutcome: connections that were opened for it
	Attempt           int
	Class             int
	Destination       int
	Tenant            int
	Message           uint32
	Endpoint          EndpointID
	Key               uint64 // 0 for none
	Token             uint64
	TimeLeft          Time // EvMessage: how long it may still be delivered
	EstimatedCost     Time // EvMessage: a guess of its cost; 0 for none
	RetryAfter        Time // EvOutcome, Full: how long to wait; 0 when none is told
	Latency           Time
	Load              LoadReport
	Updates           []EndpointUpdate
	// EvList: the entries are of destinations that had been put away, and this is
	// what PutAway gave of them; nil where the entries are not of such.
	Snapshot *Snapshot

	// EvMessage, of a message that an earlier process took on: its attempts so
	// far, the send of the first of them that may have run (0 for none) and its zone.
	Attempts           int
	FirstUncertainAt   Time
	FirstUncertainZone int
	// Of one that another process held, too: its worth where that is not its
	// class's (0 for that), and the attempt that is out (SentAt 0 for none).
	Weight          float64
	AttemptSentAt   Time
	AttemptEndpoint EndpointID
	// Recovered: that process told nothing of what it had learned.
	Recovered bool
}

// ActionKind says what an Action asks for.
type ActionKind uint8

// Kinds of action, each with the fields of Action that it uses.
const (
	ActSend         ActionKind = iota // Message, Endpoint, At (the moment it times out), By, Cold, Opens
	ActReject                         // Message, After (advice to the client), Why
	ActFail                           // Message, Why
	ActCancel                         // Message, Attempt
	ActTimer                          // After, Token
	ActHealthCheck                    // Endpoint
	ActCloseIdle                      // Endpoint: give back idle connections
	ActWatch                          // subscribe to list changes
	ActFetch                          // ask once for the whole list
	ActLog                            // Text
	actionKindCount                   // count of the kinds
)

// Action is something that the policy asks of its relay.
type Action struct {
	Kind            ActionKind
	Recovering      bool // ActSend: the endpoint is held to be cold: one connection is opened there at a time
	OpensConnection bool // ActSend: a connection is thought to be opened for it, and paid for; at a cold one none else is
	Attempt         int
	Message         uint32
	Endpoint        EndpointID
	TimeoutAt       Time
	LastByteBy      Time // ActSend: its last byte goes out by then or never; 0 for any time. A connection may come up late
	After           Time
	Token           uint64
	Text            string
	Reason          Reason // ActRefuse, ActFail: the rule that ended it
}

// Reason is the rule by which a message was ended that had not been delivered.
type Reason uint8

// Reasons.
const (
	DeadlineExceeded  Reason = iota + 1 // it would run out of time before it is looked at again
	LoadShed                            // least is lost with it, of all that is held, and the room is full
	AttemptsExhausted                   // no further attempt of it is allowed
	IdentityUnproven                    // its destination proves itself again too late for it
	UnknownClass                        // nothing is known of its class
)

func (r Reason) String() string {
	switch r {
	case DeadlineExceeded:
		return "time"
	case LoadShed:
		return "room"
	case AttemptsExhausted:
		return "attempts"
	case IdentityUnproven:
		return "proof"
	}
	return "unknown"
}
