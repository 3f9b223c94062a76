package checker

import "troutusher/internal/event"

// Time is a point in time or a duration, in microseconds.
type Time = event.Time

// Idempotency says whether a message may run a second time.
type Idempotency uint8

// Kinds of idempotency.
const (
	Idempotent      Idempotency = iota // a second run does no harm
	IdempotentByKey                    // the destination drops a second run within the class's dedup window
	NonIdempotent                      // a second run must never happen
)

// Class holds the properties of a message class that the rules depend on.
type Class struct {
	Idempotency Idempotency
	// DedupWindow is how long the destination remembers an idempotency key, counted from the first
	// byte of the first attempt that may have run. It is set only with IdempotentByKey.
	DedupWindow Time
	// Ordered says that the messages of one ordering key are delivered one at a time.
	Ordered bool
	// OrderedKeyBackoff is how long attempts of messages with one ordering key must pause after an
	// attempt that may have run but was not answered as delivered. It is set only if Ordered is.
	OrderedKeyBackoff Time
}

// Message is a message of the plan.
type Message struct {
	Class       int
	Destination int
	OrderingKey uint64 // set in ordered classes only; 0 for none
}

// Endpoint is an endpoint of a destination.
type Endpoint struct {
	Name             string
	Destination      int
	IndependentRoute bool // Retry-After times and outages apply to this endpoint only
}

// Config describes the rehearsal to check: its relays, messages and endpoints, and the limits that the
// rules set.
type Config struct {
	Relays    int
	Classes   []Class
	Messages  []Message
	Endpoints []Endpoint

	// Slack is added to every limit, because the events and the relays use different clocks.
	Slack Time
	// DeadlineSlack is how long after its deadline a message may still be delivered or ended.
	DeadlineSlack Time
	// RestartGrace is how long after a relay's start none of its messages counts as overdue.
	RestartGrace Time
	// DrainGrace is how long calls to an endpoint may still begin after the relay was told that the
	// endpoint drains or is removed.
	DrainGrace Time
	// RetryAfterGrace is how long after a Retry-After response calls are still tolerated, because
	// they may already have been on their way.
	RetryAfterGrace Time
	// InformedShareLimit is the share, from 0 to 1, of the calls that overloaded a recovering endpoint.
	// If relays that had seen the endpoint fail sent at least this share, the overload is a violation.
	InformedShareLimit float64
	// ClientsFit says that relays have connections for all clients. Otherwise they may close a new
	// connection at its first request.
	ClientsFit bool
	// MaxEndedUnattempted is the share of the messages counted in RestartCounts.Unattempted that may
	// end without an attempt.
	MaxEndedUnattempted float64
	// MinUnattempted is the lowest RestartCounts.Unattempted for which that share is checked.
	MinUnattempted int
}
