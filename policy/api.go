package policy

// This file and settings.go are the package's interface: the events that a relay reports to its engine, and the
// actions that the engine asks for, beside its settings. They make no decisions and hold no tuned values.

// Time is a point in time or a duration, in microseconds of the host's clock.
type Time = int64

// EndpointID identifies one endpoint of a destination. It is opaque.
type EndpointID uint64

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of event, each with the fields of Event that it uses.
const (
	// EvListUpdated is an update of the endpoint list: ListUpdate, Updates, Snapshot.
	EvListUpdated EventKind = iota
	// EvMessageSubmitted is a new message: Message, Key, TimeLeft, Class, Destination, Tenant, EstimatedCost. A
	// message that another process held before also has Attempts, FirstUncertainAt, FirstUncertainZone, Weight,
	// AttemptSentAt, AttemptEndpoint and Recovered.
	EvMessageSubmitted
	// EvReplyStarted reports that the reply to an attempt has begun to arrive: Message, Attempt.
	EvReplyStarted
	// EvAttemptEnded reports that an attempt is over: Message, Attempt, Endpoint, Outcome, RetryAfter, NoFreeSlot,
	// NotCounted, ConnectionsOpened, Latency, MessageFinished, Load.
	EvAttemptEnded
	// EvMessageWithdrawn reports that the message is no longer wanted: Message.
	EvMessageWithdrawn
	// EvTimer reports that a timer has fired: Token.
	EvTimer
	// EvHealthChecked is the result of a health check: Endpoint, Outcome, Latency, Load.
	EvHealthChecked
	// EvIdentityRejected reports that an endpoint failed to prove its identity: Endpoint, RetryAfter. Nothing is
	// sent there for RetryAfter; a RetryAfter of 0 lifts the restriction.
	EvIdentityRejected
)

// ListUpdateKind says what the Updates of an EvListUpdated contain.
type ListUpdateKind uint8

// Kinds of list update.
const (
	ListDelta  ListUpdateKind = iota // only the entries that changed
	ListFull                         // the whole list; endpoints that are not in it are gone
	ListCached                       // the whole list as last received, possibly outdated
	ListFailed                       // the list could not be fetched; the previous list stays in force
)

// Readiness is the state of an endpoint according to the list.
type Readiness uint8

// States of an endpoint in the list.
const (
	Gone Readiness = iota
	Ready
	Draining
)

// EndpointUpdate is one entry of the endpoint list.
type EndpointUpdate struct {
	Endpoint    EndpointID
	Zone        int
	Kind        int // kind of the destination: an index of Settings.DestinationKinds
	Destination int
	State       Readiness
	Rate        float64 // calls per second that the destination, or the independent route, accepts from all relays
	ConnectCost float64 // part of Rate that opening a connection there uses up, in calls; 0 if none
}

// Outcome is how an attempt or a health check ended.
type Outcome uint8

// Outcomes.
const (
	Delivered       Outcome = iota
	Failed                  // answered with an error; may have run
	Rejected                // turned down without being processed; never ran
	TimedOut                // no answer in time; may have run, or may still run
	ConnectFailed           // no connection in time; never ran
	ConnectionReset         // the connection broke; may have run
	Cancelled               // cancelled by the relay; may have run
	NotSent                 // never left the relay; never ran
	outcomeCount            // number of outcomes
)

// NeverRan reports whether the outcome proves that the attempt had no effect.
func (o Outcome) NeverRan() bool { return o == Rejected || o == ConnectFailed || o == NotSent }

// LoadReport is a load report of an endpoint.
type LoadReport struct {
	Remaining float64 // unused share of the rate limit
	Limit     float64 // rate limit in calls per second; 0 if none is given
}

// Event is something that a relay reports to its engine. Kind determines which of the other fields are used.
type Event struct {
	Kind              EventKind
	ListUpdate        ListUpdateKind
	Outcome           Outcome
	MessageFinished   bool // the message needs no further attempt and no further answer
	NoFreeSlot        bool // with NotSent: all slots were taken
	NotCounted        bool // with NotSent: the attempt does not count against MaxAttempts
	ConnectionsOpened int  // connections opened for the attempt
	Attempt           int
	Class             int // an index of Settings.Classes
	Destination       int
	Tenant            int // an index of Settings.Tenants
	Message           uint32
	Endpoint          EndpointID
	Key               uint64 // 0 if none
	Token             uint64
	TimeLeft          Time // time until the message's deadline
	EstimatedCost     Time // estimated cost of the message; 0 if unknown
	RetryAfter        Time // how long to wait; 0 if not given
	Latency           Time
	Load              LoadReport
	Updates           []EndpointUpdate

	// Snapshot is what Passivate returned for the destinations in Updates; nil if they were not passivated.
	Snapshot *Snapshot

	// Attempts is the number of attempts that an earlier process made. FirstUncertainAt is when it sent the first
	// of them that may have run (0 if none), and FirstUncertainZone is the zone of that attempt's endpoint.
	Attempts           int
	FirstUncertainAt   Time
	FirstUncertainZone int

	// Weight is the weight of a message that another process hands over; 0 means the weight of its class.
	// AttemptSentAt and AttemptEndpoint describe the attempt of it that is in flight; 0 if there is none.
	Weight          float64
	AttemptSentAt   Time
	AttemptEndpoint EndpointID

	// Recovered means that the process that held the message before handed over nothing of what it had learned.
	Recovered bool
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of action, each with the fields of Action that it uses.
const (
	ActSend        ActionKind = iota // Message, Endpoint, TimeoutAt, LastByteBy, WarmingUp, OpensConnection
	ActReject                        // Message, After (how long its client should wait before a retry), Reason
	ActFail                          // Message, Reason
	ActCancel                        // Message, Attempt
	ActTimer                         // After, Token
	ActHealthCheck                   // Endpoint
	ActCloseIdle                     // Endpoint: close its idle connections
	ActWatch                         // subscribe to list updates, or poll for them
	ActFetch                         // fetch the whole list once
	ActLog                           // Text
)

// Action is something that the engine asks its relay to do. Kind determines which of the other fields are used.
type Action struct {
	Kind      ActionKind
	WarmingUp bool // the endpoint is recovering from an outage: open one connection there at a time

	// OpensConnection: the engine expects the attempt to open a connection and has charged the cost. At a
	// recovering endpoint, an attempt without it must not open one.
	OpensConnection bool

	Attempt    int
	Message    uint32
	Endpoint   EndpointID
	TimeoutAt  Time
	LastByteBy Time // the attempt's last byte must be sent by then, or the attempt not at all; 0 for no limit
	After      Time
	Token      uint64
	Text       string
	Reason     Reason
}

// Reason is the rule by which a message was ended without having been delivered.
type Reason uint8

// Reasons.
const (
	DeadlineExceeded  Reason = iota + 1 // its deadline would pass before the engine examines it again
	LoadShed                            // MaxPending was nearly reached, and this message was the least valuable
	AttemptsExhausted                   // no further attempt is allowed
	IdentityUnproven                    // its destination cannot prove its identity before the deadline
	UnknownClass                        // its class is not in the settings
)

// String returns the word that logs and traces use.
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
	default:
		return "unknown"
	}
}
