package tlspolicy

import (
	"fmt"
	"time"
)

// The handshake budget: a handshake is work, at the partner and here. What it
// takes there is in the decision module's books, out of the same allowance that
// a cold partner has for messages (decide.Entry.Opening). Here it may take its
// share of the core and no more, so that a storm to one partner does not delay
// the messages to the others.

// HandshakeKind is a kind of handshake.
type HandshakeKind uint8

// Kinds of handshake.
const (
	FullHandshake    HandshakeKind = iota
	ResumedHandshake               // with a ticket (RFC 8446 section 2.2)
	handshakeKinds
)

// HandshakeLimits are what the budget is told.
type HandshakeLimits struct {
	Share       float64          // of one core, for handshakes
	Burst       time.Duration    // of CPU time that may be spent at once
	Cost        [2]time.Duration // of CPU time here, full and resumed, until it is learned
	MaxParallel int              // under way to one destination at once
}

// DefaultHandshakeLimits gives limits for a relay on one core. The costs are those of P-256 on
// a slow core, learned anew within a few handshakes.
func DefaultHandshakeLimits() HandshakeLimits {
	return HandshakeLimits{Share: 0.25, Burst: 50 * time.Millisecond, Cost: [2]time.Duration{2 * time.Millisecond, 500 * time.Microsecond},
		MaxParallel: 4}
}

// Validate tells of limits that cannot be.
func (l *HandshakeLimits) Validate() error {
	switch {
	case !(l.Share > 0 && l.Share <= 1):
		return fmt.Errorf("share: %v, want above 0 and 1 at most", l.Share)
	case l.Burst <= 0:
		return fmt.Errorf("burst: %v, want above 0", l.Burst)
	case l.MaxParallel < 1:
		return fmt.Errorf("parallel: %d, want 1 or more", l.MaxParallel)
	}
	for k := range handshakeKinds {
		if l.Cost[k] <= 0 || l.Cost[k] > l.Burst {
			return fmt.Errorf("cost: %v, want above 0 and the burst of %v at most", l.Cost[k], l.Burst)
		}
	}
	return nil
}

// HandshakeBudget says when handshakes may be begun. It is not safe for several
// goroutines; times must not go back.
type HandshakeBudget struct {
	limits       HandshakeLimits
	refilledAt   time.Time
	available    time.Duration // of CPU time; under 0 where one took more than was thought
	cost         [handshakeKinds]time.Duration
	destinations map[int]*destinationHandshakes
	inFlight     int
}

type destinationHandshakes struct{ inFlight int }

// Reservation is a handshake under way; it is ended once.
type Reservation struct {
	destination int
	kind        HandshakeKind
	reserved    time.Duration
}

// NewHandshakeBudget makes a budget with all of its burst.
func NewHandshakeBudget(l HandshakeLimits, now time.Time) (*HandshakeBudget, error) {
	if err := l.Validate(); err != nil {
		return nil, fmt.Errorf("handshakes: %w", err)
	}
	return &HandshakeBudget{limits: l, refilledAt: now, available: l.Burst, cost: l.Cost, destinations: map[int]*destinationHandshakes{}}, nil
}

func (b *HandshakeBudget) refill(now time.Time) {
	if d := now.Sub(b.refilledAt); d > 0 {
		b.available = min(b.available+time.Duration(float64(d)*b.limits.Share), b.limits.Burst)
		b.refilledAt = now
	}
}

// Reserve asks to begin a handshake. A destination that is cold, by the decision
// module's word, has one handshake under way at a time, so that what follows it
// can be resumed, or shares its connection. Where it is not granted, at is when
// to ask again; zero where only the end of another handshake to the destination
// can change the answer.
func (b *HandshakeBudget) Reserve(dest int, k HandshakeKind, cold bool, now time.Time) (s Reservation, ok bool, at time.Time) {
	b.refill(now)
	n := 0
	if l := b.destinations[dest]; l != nil {
		n = l.inFlight
	}
	if n >= b.limits.MaxParallel || cold && n > 0 {
		return s, false, time.Time{}
	}
	// One that costs more than the burst would never come: it waits for all of it.
	need := min(b.cost[k], b.limits.Burst)
	if b.available < need {
		return s, false, now.Add(time.Duration(float64(need-b.available)/b.limits.Share) + 1)
	}
	b.available -= need
	if b.destinations[dest] == nil {
		b.destinations[dest] = &destinationHandshakes{}
	}
	b.destinations[dest].inFlight++
	b.inFlight++
	return Reservation{dest, k, need}, true, time.Time{}
}

// Complete books what a handshake took here. One that ended early is told with what
// it took; nothing is learned from it.
func (b *HandshakeBudget) Complete(s Reservation, took time.Duration, whole bool, now time.Time) {
	b.refill(now)
	b.available += s.reserved - took
	b.inFlight--
	if l := b.destinations[s.destination]; l != nil {
		if l.inFlight--; l.inFlight <= 0 {
			delete(b.destinations, s.destination)
		}
	}
	if whole {
		b.cost[s.kind] += (took - b.cost[s.kind]) / 8
	}
}

// Cost is what a handshake is thought to take here, in CPU time.
func (b *HandshakeBudget) Cost(k HandshakeKind) time.Duration { return b.cost[k] }

// InFlight is how many are under way.
func (b *HandshakeBudget) InFlight() int { return b.inFlight }
