// Package event defines the events that a rehearsal records: submissions, calls and their ends,
// health checks, notices, outages. Emulators and the load generator emit events, the runner puts
// them into one order, and the checker and the reports read them. All of these packages import this
// one; it holds only the types and imports none of them. No event depends on a particular client front
// end or protocol. All times are microseconds since the rehearsal began, whichever clock measured them.
package event

// Time is a point in time, in microseconds since the rehearsal began, or a duration in microseconds.
type Time = int64

// Kind is the kind of an event.
type Kind uint8

// Kinds of event. Each comment lists the fields that the kind uses in addition to At. A submission
// is one attempt of a client to submit a message to a relay; each submission has a new ID.
const (
	Submitted      Kind = iota // the client wrote the last byte of a submission: ID, Message, Relay, Left
	Accepted                   // the relay's reply accepted the message: ID
	Rejected                   // the relay's reply rejected the message: ID, Wait
	Failed                     // the client received any other reply: ID, Text
	ClientTimedOut             // the client's timeout passed, and it closed the connection: ID
	// the relay closed the connection without a reply: ID, Status (1: on the connection's first request)
	ConnectionEnded
	CallFirstByte       // an endpoint received the first byte of a call: Call, Relay, Endpoint
	CallReceived        // the endpoint received the call's last byte: Call, ID, Relay, Endpoint
	CallEnded           // the response was written or the connection ended: Call, Status (0: no response), Wait
	CallFinal           // the call can no longer take effect: Call
	TookEffect          // the call took effect: Call
	HealthCheckReceived // an endpoint received a health check: Relay, Endpoint
	HealthCheckAnswered // the endpoint answered a health check: Relay, Endpoint, Status
	NoticeReceived      // the registry received a relay's notice that a message ended: ID, Relay, Status, Wait
	EndpointUpdateSent  // the registry sent an endpoint's phase to a relay: Relay, Endpoint, Status (UpdateUp ...)
	OutageBegan         // an outage of an endpoint began: Endpoint, Status (1: unreachable, it records no calls)
	OutageEnded         // the outage ended: Endpoint
	Collapsed           // an endpoint collapsed under overload while it warmed up: Endpoint, Calls
	RelayStopping       // the runner told a relay to stop: Relay
	RelayKilled         // a relay's process was killed or has exited, or is about to be killed: Relay
	RelayReady          // a relay is ready, after its first start or a restart: Relay
	UnknownCall         // an endpoint received a call for a message that was never submitted: Relay, Endpoint, ID
)

var kindNames = [...]string{
	"hand-in",
	"accepted",
	"refused",
	"failed",
	"given up by its client",
	"cut off",
	"call's first byte",
	"call",
	"call's end",
	"call over",
	"ran",
	"probe",
	"probe's answer",
	"notice",
	"told",
	"outage",
	"back",
	"fell over",
	"stopping",
	"killed",
	"ready",
	"stray call",
}

// String returns the kind's name in a record.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "?"
}

// Values of Status in an EndpointUpdateSent event.
const (
	UpdateUp = iota
	UpdateDraining
	UpdateRemoved
)

// Values of Status in a NoticeReceived event.
const (
	NoticeGivenUp    = iota // the message was given up
	NoticeHandedBack        // the message was handed back: it may be submitted again
)

// Values of Status in a CallEnded event: the status of the response, or StatusNone. Those marked
// "never ran" prove that the call had no effect.
const (
	StatusNone              = 0   // no response
	StatusDelivered         = 200 // the message was delivered
	StatusError             = 500 // the call may have run
	StatusMalformed         = 599 // the response was malformed; the call may have run
	StatusRetryLater        = 429 // never ran: the response has a Retry-After
	StatusRejected          = 503 // never ran
	StatusAttemptsExhausted = 504 // never ran: the message has no attempts left
	StatusFinished          = 410 // never ran: the message has already ended
	StatusUnknown           = 400 // never ran: the endpoint does not know the message
)

// NeverRan reports whether a response proves that the call had no effect.
func NeverRan(status int) bool {
	switch status {
	case StatusRetryLater, StatusRejected, StatusAttemptsExhausted, StatusFinished, StatusUnknown:
		return true
	}
	return false
}

// Event is one event of a rehearsal.
type Event struct {
	At       Time
	Kind     Kind
	Relay    int
	Endpoint int
	Message  int    // the message's number in the plan, from 0
	Call     uint64 // the call's number
	Status   int    // its meaning depends on Kind
	Wait     Time   // the Retry-After of a reply, response or notice; 0 for none
	Left     Time   // Submitted: time left to deliver the message
	ID       string
	Text     string
	Calls    []int // Collapsed: number of calls that made up the overload, by relay
}
