package tlspolicy

import (
	"fmt"
	"time"
)

// A handshake costs work at the endpoint and here. What it costs the endpoint is
// charged by the decision module, to the allowance that an endpoint has for messages
// while it warms up. The handshake budget bounds what it costs here to a share of the
// core, so that many handshakes with one endpoint do not delay messages to others.

// HandshakeKind is a kind of handshake.
type HandshakeKind uint8

// Kinds of handshake.
const (
	FullHandshake    HandshakeKind = iota
	ResumedHandshake               // with a ticket (RFC 8446 section 2.2)
	handshakeKinds
)

// costSmoothing is the weight of what was known against one new measurement.
const costSmoothing = 8

// HandshakeLimits configure a HandshakeBudget.
type HandshakeLimits struct {
	Share       float64          // of one core, for handshakes
	Burst       time.Duration    // of CPU time that may be spent at once
	Cost        [2]time.Duration // of CPU time here, full and resumed, until it is measured
	MaxParallel int              // handshakes in flight to one destination
}

// DefaultHandshakeLimits returns limits for a relay on one core. The costs are those of
// P-256 on a slow core; a few handshakes correct them.
func DefaultHandshakeLimits() HandshakeLimits {
	return HandshakeLimits{
		Share:       0.25,
		Burst:       50 * time.Millisecond,
		Cost:        [2]time.Duration{2 * time.Millisecond, 500 * time.Microsecond},
		MaxParallel: 4,
	}
}

// Validate returns an error for limits that cannot be used.
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

// HandshakeBudget is a token bucket of CPU time that says when handshakes may begin. It
// is not safe for concurrent use; times must not go back.
type HandshakeBudget struct {
	limits     HandshakeLimits
	refilledAt time.Time
	available  time.Duration // CPU time; below 0 where a handshake took more than expected
	cost       [handshakeKinds]time.Duration
	inFlightTo map[int]int // handshakes by destination; no entry for 0
	inFlight   int
}

// Reservation is the CPU time set aside for a handshake in flight. It is completed
// once.
type Reservation struct {
	destination int
	kind        HandshakeKind
	reserved    time.Duration
}

// NewHandshakeBudget returns a budget with its whole burst available.
func NewHandshakeBudget(limits HandshakeLimits, now time.Time) (*HandshakeBudget, error) {
	if err := limits.Validate(); err != nil {
		return nil, fmt.Errorf("handshakes: %w", err)
	}
	return &HandshakeBudget{
		limits:     limits,
		refilledAt: now,
		available:  limits.Burst,
		cost:       limits.Cost,
		inFlightTo: map[int]int{},
	}, nil
}

func (b *HandshakeBudget) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.available = min(b.available+time.Duration(float64(elapsed)*b.limits.Share), b.limits.Burst)
		b.refilledAt = now
	}
}

// Reserve asks to begin a handshake. A cold destination, which the decision module
// names, has one handshake in flight at a time, so that those after it can be resumed
// or share its connection. Where it is not granted, retryAt is when to ask again; zero
// where only the end of another handshake with the destination can change the answer.
func (b *HandshakeBudget) Reserve(
	dest int, kind HandshakeKind, cold bool, now time.Time,
) (r Reservation, ok bool, retryAt time.Time) {
	b.refill(now)
	inFlight := b.inFlightTo[dest]
	if inFlight >= b.limits.MaxParallel || cold && inFlight > 0 {
		return r, false, time.Time{}
	}
	// One that costs more than the burst would never be granted: it takes all of it.
	cost := min(b.cost[kind], b.limits.Burst)
	if b.available < cost {
		return r, false, now.Add(time.Duration(float64(cost-b.available)/b.limits.Share) + 1)
	}
	b.available -= cost
	b.inFlightTo[dest]++
	b.inFlight++
	return Reservation{destination: dest, kind: kind, reserved: cost}, true, time.Time{}
}

// Complete accounts for the CPU time that a handshake took here. The expected cost is
// corrected by it only if the handshake was carried through as its kind.
func (b *HandshakeBudget) Complete(r Reservation, took time.Duration, asPlanned bool, now time.Time) {
	b.refill(now)
	b.available += r.reserved - took
	b.inFlight--
	if b.inFlightTo[r.destination] > 1 {
		b.inFlightTo[r.destination]--
	} else {
		delete(b.inFlightTo, r.destination)
	}
	if asPlanned {
		b.cost[r.kind] += (took - b.cost[r.kind]) / costSmoothing
	}
}

// Cost is the expected CPU time of a handshake here.
func (b *HandshakeBudget) Cost(kind HandshakeKind) time.Duration { return b.cost[kind] }

// InFlight is the number of handshakes in flight.
func (b *HandshakeBudget) InFlight() int { return b.inFlight }
