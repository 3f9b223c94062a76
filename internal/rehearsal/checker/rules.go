package checker

import (
	"fmt"

	"troutusher/internal/event"
)

// Time is a moment or a span in microseconds.
type Time = event.Time

// Repeat says what a second run of a message does.
type Repeat uint8

// Kinds of repeat.
const (
	Safe   Repeat = iota // no harm
	Keyed                // the destination drops it inside the class's window
	Unsafe               // must never happen
)

// Rule names a rule.
type Rule string

// The six rules, and the ground that they stand on: a call goes out only for a
// message that was handed in, and only to its destination.
const (
	Missing   Rule = "nothing goes missing"
	Once      Rule = "every effect at most once"
	Drains    Rule = "drains are honoured"
	Returning Rule = "a returning destination is not overwhelmed"
	Order     Rule = "order holds"
	Waits     Rule = "waits are respected"
	Strays    Rule = "calls go where their message says"
	// The term for restarts: of what a start finds taken on and untried, with half
	// of its time left, most is tried before it is ended.
	Untried Rule = "what a restart finds untried is tried"
)

// Rules lists them in the order of a report.
func Rules() []Rule { return []Rule{Missing, Once, Drains, Returning, Order, Waits, Strays, Untried} }

// Class is what the rules need of a class of message.
type Class struct {
	Repeat  Repeat
	Window  Time // Keyed: from the first byte of the first call that may have run
	InOrder bool
	Rest    Time // InOrder: pause of a thread after a call whose end proves nothing
}

// Message is a message of the plan.
type Message struct {
	Class  int
	Dest   int
	Thread uint64 // InOrder: messages of one thread go one at a time; 0 for none
}

// Endpoint is an endpoint of a destination.
type Endpoint struct {
	Name  string
	Dest  int
	Apart bool // a route of its own: waits and outages are its own
}

// Figures are the scenario's figures of the rules.
type Figures struct {
	Relays       int
	Classes      []Class
	Messages     []Message
	Endpoints    []Endpoint
	Slack        Time    // every limit is this much longer: the record's moments are not the relay's
	EndSlack     Time    // an end may come so long after a message's time is up
	RestartGrace Time    // no end is overdue until so long after a relay is ready again
	DrainGrace   Time    // a call may begin so long after word of a drain
	WaitPass     Time    // a call that comes so soon after a wait was told is let through
	Guilty       float64 // part of the load that pushed a destination over, from relays that knew
	EndedUntried float64 // part of what starts find untried that may be ended with no call
	UntriedLeast int     // the term is judged where starts find so many
}

// Violation is a broken rule.
type Violation struct {
	Rule     Rule
	At       Time
	Message  int // number in the plan; -1 where it is not about one
	ID       string
	Relay    int // -1 for none
	Endpoint int // -1 for none
	Evidence string
}

// String is the violation in one line.
func (v *Violation) String() string {
	s := fmt.Sprintf("%.3f s: %s: ", float64(v.At)/1e6, v.Rule)
	if v.ID != "" {
		s += fmt.Sprintf("message %s (%d of the plan): ", v.ID, v.Message)
	}
	return s + v.Evidence
}
