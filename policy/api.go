package policy

// This file is the module's interface beside the settings (settings.go): events and actions in the domain's words.
// It holds no decision and no tuned value.

// Time is a moment or a span in microseconds of the host's own clock.
type Time = int64

// EndpointID names one endpoint of a destination; nothing can be read from it.
type EndpointID uint64

// EventKind says what an Event tells.
type EventKind uint8

// Kinds of event, each with the fields of Event that it uses.
const (
	// EvListUpdated is an update of the endpoint list: ListUpdate, Updates, Snapshot.
	EvListUpdated EventKind = iota
	// EvMessageSubmitted is a new message: Message, Key, TimeLeft, Class, Destination, Tenant, EstimatedCost. One that
	// another process held before has Attempts, FirstUncertainAt, FirstUncertainZone, Weight, AttemptSentAt,
	// AttemptEndpoint and Recovered, too.
	EvMessageSubmitted
	// EvReplyStarted tells that an answer has begun to flow: Message, Attempt.
	EvReplyStarted
	// EvAttemptEnded tells that an attempt is over: Message, Attempt, Endpoint, Outcome, RetryAfter, NoFreeSlot,
	// NotCounted, ConnectionsOpened, Latency, MessageFinished, Load.
	EvAttemptEnded
	// EvMessageWithdrawn tells that nobody wants the message any more: Message.
	EvMessageWithdrawn
	// EvTimer tells that a timer has come: Token.
	EvTimer
	// EvHealthChecked is the result of a health check: Endpoint, Outcome, Latency, Load.
	EvHealthChecked
	// EvIdentityRejected tells that an endpoint's identity is not proved: Endpoint, RetryAfter. Nothing goes there
	// for that time; 0 lifts it.
	EvIdentityRejected
)

// ListUpdateKind says what the updates of an EvListUpdated are.
type ListUpdateKind uint8

// Kinds of list update.
const (
	ListDelta  ListUpdateKind = iota // only entries that changed
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

// EndpointUpdate is an entry of the list.
type EndpointUpdate struct {
	Endpoint    EndpointID
	Zone        int
	Kind        int // of the destination: an index of Settings.DestinationKinds
	Destination int
	State       Readiness
	Rate        float64 // calls a second that the destination, or an independent route, takes from all relays
	ConnectCost float64 // what opening a connection there takes of it, in calls; 0 where that costs nothing
}

// Outcome is how an attempt or a health check ended.
type Outcome uint8

// Outcomes.
const (
	Delivered       Outcome = iota
	Failed                  // answered with an error; may have run
	Rejected                // turned down unseen; never ran
	TimedOut                // no answer in time; may have run or still do so
	ConnectFailed           // no connection in time; never ran
	ConnectionReset         // the connection broke; may have run
	Cancelled               // given up by the relay; may have run
	NotSent                 // never left the relay; never ran
	outcomeCount            // number of the outcomes
)

// NeverRan reports whether the outcome proves that the attempt had no effect.
func (o Outcome) NeverRan() bool { return o == Rejected || o == ConnectFailed || o == NotSent }

// LoadReport is a load report of an endpoint.
type LoadReport struct {
	Remaining float64 // share of the allowance left
	Limit     float64 // calls a second that the limit allows; 0 where none is given
}

// Event is something that the relay tells its engine. Kind says which of the other fields are used.
type Event struct {
	Kind              EventKind
	ListUpdate        ListUpdateKind
	Outcome           Outcome
	MessageFinished   bool // nothing more is owed for the message
	NoFreeSlot        bool // with NotSent: all slots were taken
	NotCounted        bool // with NotSent: it never left the relay, and uses up no attempt
	ConnectionsOpened int  // connections that were opened for the attempt
	Attempt           int
	Class             int // an index of Settings.Classes
	Destination       int
	Tenant            int // an index of Settings.Tenants
	Message           uint32
	Endpoint          EndpointID
	Key               uint64 // 0 for none
	Token             uint64
	TimeLeft          Time // how long the message may still be delivered
	EstimatedCost     Time // a guess of the message's cost; 0 for none
	RetryAfter        Time // how long to wait; 0 when none is given
	Latency           Time
	Load              LoadReport
	Updates           []EndpointUpdate

	// Snapshot is what Passivate gave of the destinations of the updates; nil where they had not been passivated.
	Snapshot *Snapshot

	// Attempts is how many attempts an earlier process made, FirstUncertainAt the send of the first of them that may
	// have run (0 for none), and FirstUncertainZone the zone that it went to.
	Attempts           int
	FirstUncertainAt   Time
	FirstUncertainZone int

	// Weight is the weight of a message that another process hands over, where that is not its class's (0 for that).
	// AttemptSentAt and AttemptEndpoint tell of its attempt that is in flight (0 for none).
	Weight          float64
	AttemptSentAt   Time
	AttemptEndpoint EndpointID

	// Recovered: the process that held the message before handed over nothing of what it had learned.
	Recovered bool
}

// ActionKind says what an Action asks for.
type ActionKind uint8

// Kinds of action, each with the fields of Action that it uses.
const (
	ActSend        ActionKind = iota // Message, Endpoint, TimeoutAt, LastByteBy, Recovering, OpensConnection
	ActReject                        // Message, After (when its client may come back), Reason
	ActFail                          // Message, Reason
	ActCancel                        // Message, Attempt
	ActTimer                         // After, Token
	ActHealthCheck                   // Endpoint
	ActCloseIdle                     // Endpoint: close its idle connections
	ActWatch                         // subscribe to list updates, or ask for them
	ActFetch                         // ask once for the whole list
	ActLog                           // Text
)

// Action is something that the engine asks of its relay. Kind says which of the other fields are used.
type Action struct {
	Kind            ActionKind
	Recovering      bool // the endpoint recovers from an outage: one connection is opened there at a time
	OpensConnection bool // a connection is expected to be opened, and paid for; at a recovering endpoint no other is
	Attempt         int
	Message         uint32
	Endpoint        EndpointID
	TimeoutAt       Time
	LastByteBy      Time // the attempt's last byte goes out by then or never; 0 for any time
	After           Time
	Token           uint64
	Text            string
	Reason          Reason
}

// Reason is the rule by which a message was ended that had not been delivered.
type Reason uint8

// Reasons.
const (
	DeadlineExceeded  Reason = iota + 1 // it would run out of time before it is looked at again
	LoadShed                            // least is lost with it, of all that is pending, and MaxPending is near
	AttemptsExhausted                   // no further attempt of it is allowed
	IdentityUnproven                    // its destination proves its identity too late for it
	UnknownClass                        // nothing is known of its class
)

// String gives the words that logs and traces use.
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
