package checker

import "troutusher/internal/event"

// Time is a moment or a span in microseconds.
type Time = event.Time

// Idempotency says what a second run of a message does.
type Idempotency uint8

// Kinds of idempotency.
const (
	Idempotent      Idempotency = iota // a second run does no harm
	IdempotentByKey                    // the destination drops a second run within the class's dedup window
	NonIdempotent                      // a second run must never happen
)

// Class is what the rules need of a class of message.
type Class struct {
	Idempotency Idempotency
	// DedupWindow is how long an idempotency key is known, from the first byte of the
	// first attempt that may have run. IdempotentByKey alone has one.
	DedupWindow Time
	// Ordered classes have their messages of one ordering key delivered one at a time.
	Ordered bool
	// OrderedKeyBackoff is how long an ordering key pauses after an attempt that may
	// have run. Ordered classes alone have one.
	OrderedKeyBackoff Time
}

// Message is a message of the plan.
type Message struct {
	Class       int
	Destination int
	OrderingKey uint64 // of an ordered class; 0 for none
}

// Endpoint is an endpoint of a destination.
type Endpoint struct {
	Name             string
	Destination      int
	IndependentRoute bool // it has Retry-After times and outages of its own
}

// Config is what a rehearsal is judged by: its relays, messages and endpoints, and
// the limits of the rules.
type Config struct {
	Relays    int
	Classes   []Class
	Messages  []Message
	Endpoints []Endpoint

	// Slack is added to every limit, since the record's clock is not the relays'.
	Slack Time
	// DeadlineSlack is how long after a message's deadline its end may come.
	DeadlineSlack Time
	// RestartGrace is how long after a restart no end is overdue.
	RestartGrace Time
	// DrainGrace is how long after word of a drain an attempt may begin.
	DrainGrace Time
	// RetryAfterGrace is how long after a Retry-After calls that were on their way are let through.
	RetryAfterGrace Time
	// InformedShareLimit is the share of the calls that overloaded a recovering endpoint from
	// which on relays that had seen it fail are to blame.
	InformedShareLimit float64
	// MaxEndedUnattempted is the share of the messages recovered unattempted that may end
	// with no attempt.
	MaxEndedUnattempted float64
	// MinUnattempted is how many messages must be recovered unattempted for that share to be judged.
	MinUnattempted int
}
