package tlspolicy

import (
	"errors"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

func failure(c Cause) *Failure { return &Failure{c, "pay", errors.New("test")} }

// A destination that is out is asked by its own schedule: one handshake at a
// time, never sooner than half a pause that doubles, and never given up.
func TestScheduleOfOneThatIsOut(t *testing.T) {
	for seed := range uint64(50) {
		b := NewBook(seed)
		now := noon
		if ok, _ := b.MayAsk(1, now); !ok {
			t.Fatal("a new destination may not be asked")
		}
		pause := againFirst
		for i := range 12 {
			b.Asking(1)
			said := b.Failed(1, failure(Expired), now)
			if (said != "") != (i == 0) {
				t.Fatalf("failure %d says %q", i, said)
			}
			ok, at := b.MayAsk(1, now)
			if wait := at.Sub(now); ok || wait < pause/2 || wait > pause*3/2 {
				t.Fatalf("failure %d: asked again after %v, the pause is %v", i, wait, pause)
			}
			if ok, _ := b.MayAsk(1, at.Add(-1)); ok {
				t.Fatal("asked too soon")
			}
			if ok, _ := b.MayAsk(1, at); !ok {
				t.Fatal("never asked again")
			}
			b.Asking(1)
			if ok, _ := b.MayAsk(1, at); ok {
				t.Fatal("two at a time")
			}
			now, pause = at, min(2*pause, againMost)
		}
		if f, since := b.Out(1); f == nil || !since.Equal(noon) {
			t.Fatalf("out: %v since %v", f, since)
		}
		if said := b.Proved(1, &Proof{Until: now.Add(time.Hour)}); !strings.HasPrefix(string(said), "back") {
			t.Errorf("back: %q", said)
		}
		if f, _ := b.Out(1); f != nil {
			t.Error("still out")
		}
		if ok, _ := b.MayAsk(1, now); !ok {
			t.Error("may not be asked though it is back")
		}
	}
}

// A clock that is wrong by a year shows at every partner at once: it is said
// once, and not for each. One expired partner among sound ones is only that.
func TestAClockThatIsWrong(t *testing.T) {
	b := NewBook(1)
	said := []Said{}
	for dest := range 20 {
		if s := b.Failed(dest, failure(NotYetValid), noon); s != "" {
			said = append(said, s)
		}
	}
	if len(said) != clockLeast || !strings.Contains(string(said[clockLeast-1]), "clock") {
		t.Errorf("20 partners out of time say %q", said)
	}
	for dest := range 20 {
		b.Proved(dest, &Proof{Until: noon.Add(time.Hour)})
	}
	for dest := range 19 {
		if s := b.Failed(dest, failure(Expired), noon); strings.Contains(string(s), "clock") {
			t.Errorf("%d expired, and another is sound: %q", dest+1, s)
		}
	}
}

// Whatever comes, in whatever order: the counts are those of a plain recount.
func TestCounts(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 2))
		b := NewBook(seed)
		out, sound := map[int]bool{}, map[int]bool{}
		now := noon
		for range 200 {
			dest := rng.IntN(6)
			now = now.Add(time.Duration(rng.IntN(5000)) * time.Millisecond)
			switch rng.IntN(5) {
			case 0, 1:
				b.Failed(dest, failure(Cause(1+rng.IntN(int(causes)-1))), now)
				out[dest] = true
				delete(sound, dest)
			case 2:
				b.Proved(dest, &Proof{Until: now.Add(time.Hour)})
				sound[dest] = true
				delete(out, dest)
			case 3:
				b.Asking(dest)
				b.Broke(dest)
			case 4:
				b.Forget(dest)
				delete(out, dest)
				delete(sound, dest)
			}
			if o, s := b.Counts(); o != len(out) || s != len(sound) {
				t.Fatalf("seed %d: %d out, %d sound; want %d, %d", seed, o, s, len(out), len(sound))
			}
			if _, ok := b.Ends(dest); ok != sound[dest] {
				t.Fatalf("seed %d: an end: %v, sound %v", seed, ok, sound[dest])
			}
		}
	}
}
