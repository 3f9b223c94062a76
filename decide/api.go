package decide

import "fmt"

// This file is the module's interface: settings, events and actions in the
// domain's words. It holds no decision and no tuned value.

// Time is a moment or a span in microseconds of the host's own clock.
type Time = int64

// Endpoint names one endpoint of a destination; nothing can be read from it.
type Endpoint uint64

// Repeat says what a second run of a message of a class would do.
type Repeat uint8

// Kinds of repeat.
const (
	Safe   Repeat = iota // may run any number of times
	Keyed                // the destination drops repeats inside the class's window
	Unsafe               // must never run twice
)

// Class is one class of message.
type Class struct {
	Name        string
	Aim         Time // delivered within this, it earns its full worth
	Deadline    Time // after this it earns nothing and must have been answered
	Worth       float64
	LateWorth   float64 // share of the worth left at the deadline
	Repeat      Repeat
	DedupWindow Time // Keyed only: counted from the send of the first attempt that may have run
	ZoneOnly    bool // Keyed only: only endpoints of one zone share the memory of keys
	InOrder     bool // messages of one key go one at a time, in order of arrival
}

// Tenant is one of those who share the relay.
type Tenant struct {
	Name  string
	Quota float64 // messages a second over all relays inside its share; 0 for none
}

// Kind is a kind of destination.
type Kind struct {
	Apart bool // its endpoints are separate routes, each with its own limit and outages
	Batch int  // messages that may travel in one call; 0 means 1
}

// Settings is what a relay is told at start.
type Settings struct {
	Relays         int // relays that share the destinations, this one included
	Zone           int
	Classes        []Class
	Tenants        []Tenant
	Kinds          []Kind
	Slots          int // calls out at once
	MaxHeld        int // messages held at once; 0 for no limit
	MaxAttempts    int // attempts for one message; 0 for no limit
	Halving        bool
	OverShareWorth float64 // part of its worth that a message beyond its tenant's share keeps
	WorthByWork    bool
	RatesListed    bool    // list entries carry the calls a second that a destination takes
	Probes         bool    // probes are allowed
	Cancels        bool    // calling off an attempt is allowed
	RetryAfter     bool    // clients are given advice with a refusal
	MaxRetryAfter  Time    // the longest advice that clients heed
	AskForList     bool    // list changes come only when asked for
	AskEvery       Time    // with AskForList: the longest a list counts as fresh without asking
	ConnectTimeout Time    // 0 when unknown
	KeepAlive      Time    // idle connections close after this; 0 when unknown
	Streams        int     // calls that one connection carries at once; 0 means 1
	Tick           Time    // events come at most this often; 0 when unknown
	AnswerSlack    Time    // time past a deadline in which an answer still counts
	DrainGrace     Time    // time after word of a drain in which sends must have ended
	StartCapacity  float64 // share of capacity that a destination has at least after an outage
	RampTime       Time    // by then at the latest it has all of it
	OverloadFactor float64 // sent more than this many times what it can do ...
	FallTime       Time    // ... for this long, a cold destination falls over
	KeyRest        Time    // pause of a key in order after an attempt whose end is not sure
}

// Validate tells of values that cannot be; the error names the key.
func (s *Settings) Validate() error {
	times := []struct {
		key string
		v   Time
	}{{"MaxRetryAfter", s.MaxRetryAfter}, {"AskEvery", s.AskEvery}, {"ConnectTimeout", s.ConnectTimeout},
		{"KeepAlive", s.KeepAlive}, {"Tick", s.Tick}, {"AnswerSlack", s.AnswerSlack},
		{"DrainGrace", s.DrainGrace}, {"RampTime", s.RampTime}, {"FallTime", s.FallTime}, {"KeyRest", s.KeyRest}}
	for _, t := range times {
		if t.v < 0 {
			return fmt.Errorf("%s: negative time %d", t.key, t.v)
		}
	}
	counts := []struct {
		key    string
		v, min int
	}{{"Relays", s.Relays, 1}, {"Slots", s.Slots, 1}, {"MaxHeld", s.MaxHeld, 0}, {"Zone", s.Zone, 0},
		{"MaxAttempts", s.MaxAttempts, 0}, {"Streams", s.Streams, 0}, {"Classes", len(s.Classes), 1}}
	for _, c := range counts {
		if c.v < c.min {
			return fmt.Errorf("%s: %d, want at least %d", c.key, c.v, c.min)
		}
	}
	for i, c := range s.Classes {
		key := fmt.Sprintf("Classes[%d]", i)
		switch {
		case c.Repeat > Unsafe:
			return fmt.Errorf("%s.Repeat: unknown kind %d", key, c.Repeat)
		case c.Aim < 0:
			return fmt.Errorf("%s.Aim: negative time %d", key, c.Aim)
		case c.Deadline <= 0:
			return fmt.Errorf("%s.Deadline: %d, want above 0", key, c.Deadline)
		case c.DedupWindow < 0:
			return fmt.Errorf("%s.DedupWindow: negative time %d", key, c.DedupWindow)
		case !(c.Worth >= 0):
			return fmt.Errorf("%s.Worth: %v, want 0 or more", key, c.Worth)
		case !(c.LateWorth >= 0 && c.LateWorth <= 1):
			return fmt.Errorf("%s.LateWorth: %v, want 0 to 1", key, c.LateWorth)
		}
	}
	for i, t := range s.Tenants {
		if !(t.Quota >= 0) {
			return fmt.Errorf("Tenants[%d].Quota: %v, want 0 or more", i, t.Quota)
		}
	}
	for i, k := range s.Kinds {
		if k.Batch < 0 {
			return fmt.Errorf("Kinds[%d].Batch: %d, want 0 or more", i, k.Batch)
		}
	}
	if !(s.StartCapacity >= 0 && s.StartCapacity <= 1) {
		return fmt.Errorf("StartCapacity: %v, want 0 to 1", s.StartCapacity)
	}
	if !(s.OverloadFactor >= 0) {
		return fmt.Errorf("OverloadFactor: %v, want 0 or more", s.OverloadFactor)
	}
	if !(s.OverShareWorth >= 0 && s.OverShareWorth <= 1) {
		return fmt.Errorf("OverShareWorth: %v, want 0 to 1", s.OverShareWorth)
	}
	return nil
}

// EventKind says what an Event tells.
type EventKind uint8

// Kinds of event, each with the fields of Event that it uses.
const (
	EvList     EventKind = iota // news of the list: List, Entries, Memory
	EvMessage                   // a new message: Message, Key, Left, Class, Dest, Tenant, Work, Tries, DoubtAt, DoubtIn, Worth, SentAt, SentTo, Resumed
	EvBegun                     // an answer has begun to flow: Message, Attempt
	EvOutcome                   // an attempt is over: Message, Attempt, Endpoint, Outcome, Wait, Slots, Opened, Took, Settled, Load
	EvWithdraw                  // nobody wants the message any more: Message
	EvTimer                     // a timer has come: Token
	EvProbed                    // a probe was answered: Endpoint, Outcome, Took, Load
	EvBarred                    // an endpoint's identity is not proved: nothing goes there for Wait; 0 lifts it: Endpoint, Wait
)

// ListNews says what an EvList holds.
type ListNews uint8

// Kinds of list news.
const (
	ListChange ListNews = iota // only changed entries
	ListFull                   // the whole list; what is not in it is gone
	ListCached                 // the whole list as last had, maybe old
	ListFailed                 // asking failed; the old list stands
)

// Readiness is what the list says of an endpoint.
type Readiness uint8

// States of an endpoint in the list.
const (
	Gone Readiness = iota
	Ready
	Draining
)

// Entry is a line of the list.
type Entry struct {
	Endpoint Endpoint
	Zone     int
	Kind     int
	Dest     int
	State    Readiness
	Rate     float64 // calls a second that the destination (the route, where apart) takes from all relays
	Opening  float64 // what opening a connection there takes of it, in calls; 0 where that costs nothing
}

// Outcome is how an attempt or a probe ended.
type Outcome uint8

// Outcomes.
const (
	Delivered  Outcome = iota
	Errored            // answered with an error; may have run
	Full               // turned away unseen; never ran
	TimedOut           // no answer in time; may have run or still do so
	NoConnect          // no connection in time; never ran
	Reset              // the connection broke; may have run
	Cancelled          // called off; may have run
	NotSent            // never left the relay; never ran
	numOutcome         // count of the outcomes
)

// NeverRan reports whether the outcome proves that the attempt had no effect.
func (o Outcome) NeverRan() bool { return o == Full || o == NoConnect || o == NotSent }

// Load is a load report of an endpoint.
type Load struct {
	Left  float64 // share of the allowance left
	Limit float64 // calls a second that the limit allows; 0 where none is told
}

// Event is something that the relay tells its policy.
type Event struct {
	Kind     EventKind
	List     ListNews
	Outcome  Outcome
	Settled  bool // EvOutcome: nothing more is owed for the message
	Slots    bool // EvOutcome, NotSent: all slots were taken
	Void     bool // EvOutcome, NotSent: it never left the relay, and uses up no attempt
	Opened   int  // EvOutcome: connections that were opened for it
	Attempt  int
	Class    int
	Dest     int
	Tenant   int
	Message  uint32
	Endpoint Endpoint
	Key      uint64 // 0 for none
	Token    uint64
	Left     Time // EvMessage: how long it may still be delivered
	Work     Time // EvMessage: a guess of its cost; 0 for none
	Wait     Time // EvOutcome, Full: how long to wait; 0 when none is told
	Took     Time
	Load     Load
	Entries  []Entry
	// EvList: the entries are of destinations that had been put away, and this is
	// what PutAway gave of them; nil where the entries are not of such.
	Memory *Memory

	// EvMessage, of a message that an earlier process took on: its attempts so
	// far, the send of the first of them that may have run (0 for none) and its zone.
	Tries   int
	DoubtAt Time
	DoubtIn int
	// Of one that another process held, too: its worth where that is not its
	// class's (0 for that), and the attempt that is out (SentAt 0 for none).
	Worth  float64
	SentAt Time
	SentTo Endpoint
	// Resumed: that process told nothing of what it had learned.
	Resumed bool
}

// ActionKind says what an Action asks for.
type ActionKind uint8

// Kinds of action, each with the fields of Action that it uses.
const (
	ActSend    ActionKind = iota // Message, Endpoint, At (the moment it times out), By, Cold, Opens
	ActRefuse                    // Message, After (advice to the client), Why
	ActFail                      // Message, Why
	ActCancel                    // Message, Attempt
	ActTimer                     // After, Token
	ActProbe                     // Endpoint
	ActClose                     // Endpoint: give back idle connections
	ActWatch                     // subscribe to list changes
	ActFetch                     // ask once for the whole list
	ActLog                       // Text
	numActions                   // count of the kinds
)

// Action is something that the policy asks of its relay.
type Action struct {
	Kind     ActionKind
	Cold     bool // ActSend: the endpoint is held to be cold: one connection is opened there at a time
	Opens    bool // ActSend: a connection is thought to be opened for it, and paid for; at a cold one none else is
	Attempt  int
	Message  uint32
	Endpoint Endpoint
	At       Time
	By       Time // ActSend: its last byte goes out by then or never; 0 for any time. A connection may come up late
	After    Time
	Token    uint64
	Text     string
	Why      Reason // ActRefuse, ActFail: the rule that ended it
}

// Reason is the rule by which a message was ended that had not been delivered.
type Reason uint8

// Reasons.
const (
	OutOfTime  Reason = iota + 1 // it would run out of time before it is looked at again
	NoRoom                       // least is lost with it, of all that is held, and the room is full
	NoAttempts                   // no further attempt of it is allowed
	NoProof                      // its destination proves itself again too late for it
	Unknown                      // nothing is known of its class
)

func (r Reason) String() string {
	switch r {
	case OutOfTime:
		return "time"
	case NoRoom:
		return "room"
	case NoAttempts:
		return "attempts"
	case NoProof:
		return "proof"
	}
	return "unknown"
}
