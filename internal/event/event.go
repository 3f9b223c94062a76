// Package event defines the events that a rehearsal records: submissions, calls
// and their ends, health checks, notices, outages. Emulators and the load
// generator emit them; the runner orders them, the checker and the reports read
// them. It holds the types and nothing else, below all of these packages. No
// event is bound to one client front end or protocol, and times are microseconds
// since the rehearsal began, whichever clock they came from.
package event

// Time is a time, in microseconds since the rehearsal began, or a duration.
type Time = int64

// Kind is the kind of an event.
type Kind uint8

// Kinds of event, each with the fields that it uses beside At. A submission is one
// attempt of a client to submit a message to a relay. Each has a new ID.
const (
	Submitted      Kind = iota // the last byte of a submission was written: ID, Message, Relay, Left
	Accepted                   // the client was told that the message is accepted: ID
	Rejected                   // the client was told that it is rejected: ID, Wait
	Failed                     // the client got any other reply: ID, Text
	ClientTimedOut             // the client's timeout passed, and it closed the connection: ID
	// the relay ended the connection without a reply: ID, Status (1: on the connection's first request)
	ConnectionEnded
	CallFirstByte       // the first byte of a call came: Call, Relay, Endpoint
	CallReceived        // its last byte came: Call, ID, Relay, Endpoint
	CallEnded           // its response was written, or its connection ended: Call, Status (0: no response), Wait
	CallFinal           // it can take effect no more: Call
	TookEffect          // it took effect: Call
	HealthCheckReceived // a health check came: Relay, Endpoint
	HealthCheckAnswered // a health check was answered: Relay, Endpoint, Status
	NoticeReceived      // a relay's notice of how a message ended came: ID, Relay, Status, Wait
	EndpointUpdateSent  // an endpoint's phase was sent to a relay: Relay, Endpoint, Status (ToldUp ...)
	OutageBegan         // an outage of an endpoint began: Endpoint, Status (1: where calls leave no trace)
	OutageEnded         // it ended: Endpoint
	Collapsed           // an endpoint collapsed under overload while it warmed up: Endpoint, Calls
	RelayStopping       // a relay was asked to stop: Relay
	RelayKilled         // a relay's process was killed: Relay
	RelayReady          // a relay is ready, at first or again: Relay
	UnknownCall         // a call for no message that was submitted: Relay, Endpoint, ID
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

// String is the kind's name in a record.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "?"
}

// Values of Status in Told.
const (
	UpdateUp = iota
	UpdateDraining
	UpdateRemoved
)

// Values of Status in Noticed.
const (
	NoticeAbandoned = iota
	NoticeReturned
)

// Outcomes of calls, as the status of the response.
const (
	StatusNone              = 0   // no response
	StatusDelivered         = 200 // delivered
	StatusError             = 500 // may have run
	StatusMalformed         = 599 // a malformed response; may have run
	StatusRetryLater        = 429 // never ran; with Retry-After
	StatusRejected          = 503 // never ran
	StatusAttemptsExhausted = 504 // never ran: the attempts are exhausted
	StatusFinished          = 410 // never ran: the message is finished
	StatusUnknown           = 400 // never ran: the message is unknown
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
	Message  int // number in the plan, from 0
	Call     uint64
	Status   int
	Wait     Time
	Left     Time // HandIn: time left to deliver the message
	ID       string
	Text     string
	Calls    []int // Fell: the calls of the overload, by relay
}
