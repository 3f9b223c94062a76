package tlspolicy

import (
	"fmt"
	"time"
)

// A handshake takes CPU time both at the endpoint and in the relay. Package policy charges
// the endpoint's part to the rate of messages that an endpoint may get while it warms up.
// The handshake budget bounds the relay's part to a share of one core, so that
// many handshakes with one endpoint do not delay messages to others.

// HandshakeKind says whether a handshake is full or resumes a session, which costs less CPU time.
type HandshakeKind uint8

// Kinds of handshake.
const (
	FullHandshake    HandshakeKind = iota
	ResumedHandshake               // of a session, with a ticket (RFC 8446 section 2.2)
	handshakeKindCount
)

// costSmoothing is the divisor in the smoothing of the expected cost: each measured cost moves
// the expected one by the difference between the two, divided by costSmoothing.
const costSmoothing = 8

// HandshakeLimits holds the settings of a HandshakeBudget.
type HandshakeLimits struct {
	Share       float64          // of one core's CPU time, for handshakes
	Burst       time.Duration    // CPU time that may be used at once
	Cost        [2]time.Duration // by HandshakeKind: CPU time in the relay that is expected until it is measured
	MaxParallel int              // handshakes in flight with one endpoint
}

// DefaultHandshakeLimits returns the limits for a relay on one core. The costs are those
// of P-256 on a slow core; the measurements of a few handshakes correct them.
func DefaultHandshakeLimits() HandshakeLimits {
	return HandshakeLimits{
		Share:       0.25,
		Burst:       50 * time.Millisecond,
		Cost:        [2]time.Duration{2 * time.Millisecond, 500 * time.Microsecond},
		MaxParallel: 4,
	}
}

// Validate returns an error for invalid limits.
func (l *HandshakeLimits) Validate() error {
	switch {
	case !(l.Share > 0 && l.Share <= 1):
		return fmt.Errorf("share: %v, want above 0 and at most 1", l.Share)
	case l.Burst <= 0:
		return fmt.Errorf("burst: %v, want above 0", l.Burst)
	case l.MaxParallel < 1:
		return fmt.Errorf("parallel: %d, want 1 or more", l.MaxParallel)
	}
	for k := range handshakeKindCount {
		if l.Cost[k] <= 0 || l.Cost[k] > l.Burst {
			return fmt.Errorf("cost: %v, want above 0 and at most the burst of %v", l.Cost[k], l.Burst)
		}
	}
	return nil
}

// HandshakeBudget is a token bucket of CPU time that decides when handshakes may begin.
// It is not safe for concurrent use. The times passed to it must not decrease.
type HandshakeBudget struct {
	limits       HandshakeLimits
	refilledAt   time.Time
	available    time.Duration                     // CPU time; negative if a handshake took more than expected
	cost         [handshakeKindCount]time.Duration // expected CPU time
	inFlightWith map[int]int                       // handshakes in flight by endpoint, without zero entries
	inFlight     int
}

// Reservation is the CPU time reserved for a handshake in flight. It must be passed to
// Complete once.
type Reservation struct {
	endpoint int
	kind     HandshakeKind
	reserved time.Duration
}

// NewHandshakeBudget returns a budget with the whole burst available.
func NewHandshakeBudget(limits HandshakeLimits, now time.Time) (*HandshakeBudget, error) {
	if err := limits.Validate(); err != nil {
		return nil, fmt.Errorf("handshakes: %w", err)
	}
	return &HandshakeBudget{
		limits:       limits,
		refilledAt:   now,
		available:    limits.Burst,
		cost:         limits.Cost,
		inFlightWith: map[int]int{},
	}, nil
}

func (b *HandshakeBudget) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.available = min(b.available+time.Duration(float64(elapsed)*b.limits.Share), b.limits.Burst)
		b.refilledAt = now
	}
}

// Reserve requests CPU time for a handshake with an endpoint, which the caller identifies by
// a number of its choice. With warmingUp, the endpoint has at most one handshake in flight, so
// that later handshakes can resume the session of the first one, and calls can use the
// connection that it opens; package policy determines which endpoints are warming up. If the
// request is not granted, retryAt is when to ask again; zero means after another handshake
// with the endpoint has ended.
func (b *HandshakeBudget) Reserve(
	endpoint int, kind HandshakeKind, warmingUp bool, now time.Time,
) (r Reservation, ok bool, retryAt time.Time) {
	b.refill(now)
	inFlight := b.inFlightWith[endpoint]
	if inFlight >= b.limits.MaxParallel || warmingUp && inFlight > 0 {
		return r, false, time.Time{}
	}
	// A cost above the burst would never be granted, so it counts as the whole burst.
	cost := min(b.cost[kind], b.limits.Burst)
	if b.available < cost {
		return r, false, now.Add(time.Duration(float64(cost-b.available)/b.limits.Share) + 1)
	}
	b.available -= cost
	b.inFlightWith[endpoint]++
	b.inFlight++
	return Reservation{endpoint: endpoint, kind: kind, reserved: cost}, true, time.Time{}
}

// Complete ends a reservation and charges the CPU time that the handshake took in the
// relay. The time corrects the expected cost only if asPlanned is set: the handshake
// succeeded and was of the kind that was reserved for.
func (b *HandshakeBudget) Complete(r Reservation, took time.Duration, asPlanned bool, now time.Time) {
	b.refill(now)
	b.available += r.reserved - took
	b.inFlight--
	if b.inFlightWith[r.endpoint] > 1 {
		b.inFlightWith[r.endpoint]--
	} else {
		delete(b.inFlightWith, r.endpoint)
	}
	if asPlanned {
		b.cost[r.kind] += (took - b.cost[r.kind]) / costSmoothing
	}
}

// Cost returns the expected CPU time of a handshake in the relay.
func (b *HandshakeBudget) Cost(kind HandshakeKind) time.Duration { return b.cost[kind] }

// InFlight returns the number of handshakes in flight.
func (b *HandshakeBudget) InFlight() int { return b.inFlight }
