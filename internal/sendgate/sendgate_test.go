package sendgate

import (
	"errors"
	"math/rand/v2"
	"testing"

	"troutusher/policy"
)

// modelCall is one call as the rules see it: how far it is, and how often it was
// stopped.
type modelCall struct {
	permit  *Permit
	gate    int
	started bool
	stopped int
}

// Whatever comes in whatever order: no last byte inside a wait, no first byte
// there or at an endpoint that has left, nothing stopped twice or once it has
// begun, and whatever could not go out any more is stopped at once.
func TestNothingSentAgainstTheRules(t *testing.T) {
	first, last, refused, stops := 0, 0, 0, 0
	for seed := range uint64(400) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := &Scope{}
		gates, gone := []*Gate{s.Gate(), s.Gate(), s.Gate()}, make([]bool, 3)
		until, now := policy.Time(0), policy.Time(1000)
		var calls []*modelCall
		may := func(c *modelCall) bool { return until <= now && !gone[c.gate] && c.stopped == 0 }
		for range 300 {
			now += policy.Time(rng.IntN(30))
			switch k := rng.IntN(12); {
			case k == 0:
				told := now + policy.Time(rng.IntN(200)) - 50
				s.HoldUntil(now, told)
				until = max(until, told)
			case k == 1 && rng.IntN(3) == 0:
				i := rng.IntN(3)
				gates[i].Close()
				gone[i] = true
			case k == 2: // it comes back, as a new gate
				i := rng.IntN(3)
				if gone[i] {
					gates[i], gone[i] = s.Gate(), false
					for _, c := range calls { // those of the old one stay with it
						if c.gate == i {
							c.gate = 3
						}
					}
					gone = append(gone[:3], true)
				}
			case k < 6:
				c := &modelCall{gate: rng.IntN(3)}
				pass, err := gates[c.gate].Acquire(now, func(error) { c.stopped++; stops++ })
				if (err == nil) != may(c) {
					t.Fatalf("seed %d: enters at %d: %v; told to wait until %d, gone %v", seed, now, err, until, gone)
				}
				if c.permit = pass; err == nil {
					calls = append(calls, c)
				}
			case len(calls) > 0:
				i := rng.IntN(len(calls))
				c := calls[i]
				var err error
				if !c.started {
					if err = c.permit.AllowFirstByte(now); (err == nil) != may(c) {
						t.Fatalf("seed %d: first byte at %d: %v; until %d, gone %v", seed, now, err, until, gone)
					}
					if c.started = err == nil; c.started {
						first++
					}
				} else if rng.IntN(4) == 0 {
					c.permit.Restart()
					c.started = false
					break
				} else {
					if err = c.permit.AllowLastByte(now); (err == nil) != (until <= now) {
						t.Fatalf("seed %d: last byte at %d: %v; until %d", seed, now, err, until)
					}
					if err == nil {
						last++
					}
				}
				if err != nil {
					refused++
					if !IsRefusal(err) {
						t.Fatalf("%v is not known as a refusal", err)
					}
				}
				if err != nil || c.started && rng.IntN(2) == 0 {
					c.permit.Release()
					calls = append(calls[:i], calls[i+1:]...)
				}
			}
			for _, c := range calls {
				if c.stopped > 1 || (c.permit.StopReason() != nil) != (c.stopped == 1) {
					t.Fatalf("seed %d: stopped %d times, says %v", seed, c.stopped, c.permit.StopReason())
				}
			}
		}
		for _, c := range calls {
			c.permit.Release()
		}
		if len(s.permits) > 0 {
			t.Fatalf("seed %d: %d calls are kept that have left", seed, len(s.permits))
		}
	}
	if first < 5000 || last < 2000 || refused < 1000 || stops < 300 {
		t.Errorf("too little was tried: %d first bytes, %d last ones, %d refused, %d stopped", first, last, refused, stops)
	}
}

// Calls that wait for a connection are stopped as the word comes; one under way
// is not, but is kept from its last byte by a wait, and by a drain it is not.
func TestStopsCallsWaitingForConnection(t *testing.T) {
	var s Scope
	a, b := s.Gate(), s.Gate()
	why := map[string]error{}
	enter := func(g *Gate, name string) *Permit {
		p, err := g.Acquire(0, func(err error) { why[name] = err })
		if err != nil {
			t.Fatal(err)
		}
		return p
	}
	begun, waits, other := enter(a, "begun"), enter(a, "waits"), enter(b, "other")
	if err := begun.AllowFirstByte(0); err != nil {
		t.Fatal(err)
	}
	a.Close()
	if len(why) != 1 || why["waits"] != ErrEndpointDraining || waits.AllowFirstByte(1) != ErrEndpointDraining {
		t.Errorf("at a drain stopped %v", why)
	}
	if err := begun.AllowLastByte(1); err != nil {
		t.Errorf("a call that had begun before a drain: %v", err)
	}
	b.HoldUntil(1, 100)
	var wait RetryAfterError
	if len(why) != 2 || !errors.As(why["other"], &wait) || wait.Remaining != 99 {
		t.Errorf("at a wait stopped %v", why)
	}
	if err := begun.AllowLastByte(99); !errors.As(err, &wait) || wait.Remaining != 1 {
		t.Errorf("a last byte inside the wait: %v", err)
	}
	b.HoldUntil(2, 50) // a shorter one that is told later changes nothing
	if _, err := b.Acquire(99, nil); !errors.As(err, &wait) {
		t.Errorf("enters inside the longer wait: %v", err)
	}
	if err := begun.AllowLastByte(100); err != nil {
		t.Errorf("at the end of the wait: %v", err)
	}
	if other.StopReason() == nil || IsRefusal(errors.New("x")) {
		t.Error("what was stopped does not say so, or everything is a refusal")
	}
}
