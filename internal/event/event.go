// Package event defines the events that a rehearsal records: submissions, calls
// and their ends, health checks, notices, outages. Emulators and the load
// generator emit them; the runner orders them, the checker and the reports read
// them. It holds the types and nothing else, below all of these packages. No
// event is bound to one client front end or protocol, and times are microseconds
// since the rehearsal began, whichever clock they came from.
package event

// Time is a moment or a span in microseconds.
type Time = int64

// Kind says what an event tells.
type Kind uint8

// Kinds of event, each with the fields that it uses beside At. A hand-in is
// one try of a client to give a relay a message; its ID is new each time.
const (
	HandIn   Kind = iota // a hand-in's last byte was written: ID, Message, Relay, Left
	Accepted             // its client heard that it is taken on: ID
	Refused              // its client heard a refusal: ID, Wait
	Failed               // its client heard anything else: ID, Text
	GivenUp              // its client waited as long as it waits, and closed: ID
	// the relay ended the connection with no answer: ID, Status (1: on the connection's first request)
	CutOff
	CallFirst // a call's first byte came: Call, Relay, Endpoint
	CallBegan // its last byte came: Call, ID, Relay, Endpoint
	CallEnded // its answer was written, or its connection ended: Call, Status (0: no answer), Wait
	CallOver  // it can take effect no more: Call
	Ran       // it took effect: Call
	Probed    // a probe came: Relay, Endpoint
	ProbeDone // a probe was answered: Relay, Endpoint, Status
	Noticed   // a relay told the platform how a message ended: ID, Relay, Status, Wait
	Told      // a relay was told of an endpoint: Relay, Endpoint, Status (ToldUp ...)
	Outage    // an endpoint's outage began: Endpoint, Status (1: where calls leave no trace)
	Back      // it ended: Endpoint
	Fell      // a cold endpoint was pushed over: Endpoint, Calls
	Stopping  // a relay was asked to end: Relay
	Killed    // a relay's process ended by force: Relay
	Ready     // a relay is ready, at first or again: Relay
	Stray     // a call for no message that was handed in: Relay, Endpoint, ID
)

var names = [...]string{
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
	if int(k) < len(names) {
		return names[k]
	}
	return "?"
}

// Values of Status in Told.
const (
	ToldUp = iota
	ToldDraining
	ToldRemoved
)

// Values of Status in Noticed.
const (
	NoticeGivenUp = iota
	NoticeHandedBack
)

// Outcomes of calls, by what they prove: the words of an answer's status.
const (
	StatusNone      = 0   // no answer
	StatusDelivered = 200 // delivered
	StatusError     = 500 // may have run
	StatusSpoilt    = 599 // answered with what cannot be read; may have run
	StatusWait      = 429 // never ran; wait
	StatusFull      = 503 // never ran
	StatusSpent     = 504 // never ran: no attempts are left
	StatusOver      = 410 // never ran: the message is over
	StatusUnknown   = 400 // never ran: nobody handed it in
)

// NeverRan reports whether an answer proves that the call had no effect.
func NeverRan(status int) bool {
	switch status {
	case StatusWait, StatusFull, StatusSpent, StatusOver, StatusUnknown:
		return true
	}
	return false
}

// Event is one thing that happened.
type Event struct {
	At       Time
	Kind     Kind
	Relay    int
	Endpoint int
	Message  int // number in the plan, from 0
	Call     uint64
	Status   int
	Wait     Time
	Left     Time // HandIn: how long the message may still be delivered
	ID       string
	Text     string
	Calls    []int // Fell: calls that pushed it over, by relay
}
