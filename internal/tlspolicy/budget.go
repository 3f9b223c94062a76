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

// Kind is a kind of handshake.
type Kind uint8

// Kinds of handshake.
const (
	Full    Kind = iota
	Resumed      // with a ticket (RFC 8446 section 2.2)
	kinds
)

// Limits are what the budget is told.
type Limits struct {
	Share    float64          // of one core, for handshakes
	Burst    time.Duration    // of CPU time that may be spent at once
	Cost     [2]time.Duration // of CPU time here, full and resumed, until it is learned
	Parallel int              // under way to one destination at once
}

// Default gives limits for a relay on one core. The costs are those of P-256 on
// a slow core, learned anew within a few handshakes.
func Default() Limits {
	return Limits{Share: 0.25, Burst: 50 * time.Millisecond, Cost: [2]time.Duration{2 * time.Millisecond, 500 * time.Microsecond},
		Parallel: 4}
}

// Check tells of limits that cannot be.
func (l *Limits) Check() error {
	switch {
	case !(l.Share > 0 && l.Share <= 1):
		return fmt.Errorf("share: %v, want above 0 and 1 at most", l.Share)
	case l.Burst <= 0:
		return fmt.Errorf("burst: %v, want above 0", l.Burst)
	case l.Parallel < 1:
		return fmt.Errorf("parallel: %d, want 1 or more", l.Parallel)
	}
	for k := range kinds {
		if l.Cost[k] <= 0 || l.Cost[k] > l.Burst {
			return fmt.Errorf("cost: %v, want above 0 and the burst of %v at most", l.Cost[k], l.Burst)
		}
	}
	return nil
}

// Budget says when handshakes may be begun. It is not safe for several
// goroutines; times must not go back.
type Budget struct {
	l      Limits
	at     time.Time
	left   time.Duration // of CPU time; under 0 where one took more than was thought
	cost   [kinds]time.Duration
	lanes  map[int]*lane
	flying int
}

type lane struct{ flying int }

// Started is a handshake under way; it is ended once.
type Started struct {
	dest int
	kind Kind
	held time.Duration
}

// NewBudget makes a budget with all of its burst.
func NewBudget(l Limits, now time.Time) (*Budget, error) {
	if err := l.Check(); err != nil {
		return nil, fmt.Errorf("handshakes: %w", err)
	}
	return &Budget{l: l, at: now, left: l.Burst, cost: l.Cost, lanes: map[int]*lane{}}, nil
}

func (b *Budget) roll(now time.Time) {
	if d := now.Sub(b.at); d > 0 {
		b.left = min(b.left+time.Duration(float64(d)*b.l.Share), b.l.Burst)
		b.at = now
	}
}

// Begin asks to begin a handshake. A destination that is cold, by the decision
// module's word, has one handshake under way at a time, so that what follows it
// can be resumed, or shares its connection. Where it is not granted, at is when
// to ask again; zero where only the end of another handshake to the destination
// can change the answer.
func (b *Budget) Begin(dest int, k Kind, cold bool, now time.Time) (s Started, ok bool, at time.Time) {
	b.roll(now)
	n := 0
	if l := b.lanes[dest]; l != nil {
		n = l.flying
	}
	if n >= b.l.Parallel || cold && n > 0 {
		return s, false, time.Time{}
	}
	// One that costs more than the burst would never come: it waits for all of it.
	need := min(b.cost[k], b.l.Burst)
	if b.left < need {
		return s, false, now.Add(time.Duration(float64(need-b.left)/b.l.Share) + 1)
	}
	b.left -= need
	if b.lanes[dest] == nil {
		b.lanes[dest] = &lane{}
	}
	b.lanes[dest].flying++
	b.flying++
	return Started{dest, k, need}, true, time.Time{}
}

// End books what a handshake took here. One that ended early is told with what
// it took; nothing is learned from it.
func (b *Budget) End(s Started, took time.Duration, whole bool, now time.Time) {
	b.roll(now)
	b.left += s.held - took
	b.flying--
	if l := b.lanes[s.dest]; l != nil {
		if l.flying--; l.flying <= 0 {
			delete(b.lanes, s.dest)
		}
	}
	if whole {
		b.cost[s.kind] += (took - b.cost[s.kind]) / 8
	}
}

// Cost is what a handshake is thought to take here, in CPU time.
func (b *Budget) Cost(k Kind) time.Duration { return b.cost[k] }

// Flying is how many are under way.
func (b *Budget) Flying() int { return b.flying }
