package tlspolicy

import (
	"math/rand/v2"
	"time"
)

// A destination whose proof failed is out, for a cause of its own. Messages do
// not bring it back: it is asked again on a schedule, one handshake at a time.

// Figures of the schedule.
const (
	againFirst = time.Second     // after a first failure
	againMost  = 2 * time.Minute // doubled each time up to this
	clockLeast = 3               // destinations out of time at once, and none sound: our own clock, rather
)

// Trust is what is known of one destination's proofs.
type Trust struct {
	failure *Failure
	since   time.Time
	again   time.Time
	pause   time.Duration
	asking  bool
	until   time.Time // of the last proof
}

// Book keeps the trust in all destinations. It is not safe for several
// goroutines; times must not go back.
type Book struct {
	rng   *rand.Rand
	dests map[int]*Trust
	out   int // destinations that are out
	time  int // of them, those out of time
	sound int
	clock bool // it was said that our own clock may be wrong
}

// NewBook makes a book that trusts nobody and distrusts nobody yet.
func NewBook(seed uint64) *Book {
	return &Book{rng: rand.New(rand.NewPCG(seed, 0x715)), dests: map[int]*Trust{}}
}

func (b *Book) of(dest int) *Trust {
	t := b.dests[dest]
	if t == nil {
		t = &Trust{}
		b.dests[dest] = t
	}
	return t
}

// Out is why a destination gets nothing, and since when; nil where it is not out.
func (b *Book) Out(dest int) (*Failure, time.Time) {
	if t := b.dests[dest]; t != nil {
		return t.failure, t.since
	}
	return nil, time.Time{}
}

// MayAsk reports whether a handshake may be begun, and else from when on. One
// that is out is asked by one handshake at a time.
func (b *Book) MayAsk(dest int, now time.Time) (bool, time.Time) {
	t := b.dests[dest]
	if t == nil || t.failure == nil {
		return true, time.Time{}
	}
	if t.asking {
		return false, now.Add(againFirst)
	}
	return !now.Before(t.again), t.again
}

// Asking is told that a handshake began.
func (b *Book) Asking(dest int) { b.of(dest).asking = true }

// Said is what a change of trust is worth telling; empty for nothing.
type Said string

// Failed is told of a proof that was not accepted.
func (b *Book) Failed(dest int, f *Failure, now time.Time) Said {
	t := b.of(dest)
	t.asking = false
	said := Said("")
	if t.failure == nil {
		b.out++
		if !t.until.IsZero() {
			b.sound--
		}
		t.since, t.pause = now, againFirst
		said = Said("out: " + f.Error())
	} else {
		b.time -= outOfTime(t.failure)
		t.pause = min(2*t.pause, againMost)
		if t.failure.Cause != f.Cause {
			said = Said("out for another cause: " + f.Error())
		}
	}
	t.failure, t.until = f, time.Time{}
	b.time += outOfTime(f)
	// Spread: relays that share nothing must not ask in step.
	t.again = now.Add(t.pause/2 + time.Duration(b.rng.Int64N(int64(t.pause))))
	if !b.clock && b.time >= clockLeast && b.sound == 0 {
		b.clock = true
		return "every partner's certificate is out of time: this machine's clock may be wrong"
	}
	if b.clock { // said once for all of them
		return ""
	}
	return said
}

func outOfTime(f *Failure) int {
	if f.Cause == Expired || f.Cause == NotYetValid {
		return 1
	}
	return 0
}

// Proved is told of a proof that was accepted.
func (b *Book) Proved(dest int, p *Proof) Said {
	t := b.of(dest)
	t.asking = false
	was := t.failure
	if was != nil {
		b.out--
		b.time -= outOfTime(was)
	}
	if was != nil || t.until.IsZero() {
		b.sound++
	}
	b.clock = false
	t.failure, t.until, t.pause = nil, p.Until, 0
	if was != nil {
		return Said("back: proved again after " + was.Cause.String())
	}
	return ""
}

// Broke is told that a handshake ended with no proof, good or bad: a reset, a
// time-out. Trust is as it was.
func (b *Book) Broke(dest int) { b.of(dest).asking = false }

// Forget drops a destination that has gone.
func (b *Book) Forget(dest int) {
	if t := b.dests[dest]; t != nil {
		if t.failure != nil {
			b.out--
			b.time -= outOfTime(t.failure)
		} else if !t.until.IsZero() {
			b.sound--
		}
		delete(b.dests, dest)
	}
}

// Ends is when the proof of a destination's last handshake ends; false where
// there is none.
func (b *Book) Ends(dest int) (time.Time, bool) {
	t := b.dests[dest]
	if t == nil || t.until.IsZero() {
		return time.Time{}, false
	}
	return t.until, true
}

// Counts is how many destinations are out, and how many have proved themselves.
func (b *Book) Counts() (out, sound int) { return b.out, b.sound }
