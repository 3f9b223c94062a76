package decide

import "testing"

// TestBarred: where an endpoint's identity is not proved nothing goes, others serve, and what cannot wait is
// refused at once with the time to come back.
func TestBarred(t *testing.T) {
	s := one()
	s.MaxRetryAfter = 100 * second
	r := newRig(t, s, ready(1, 100), ready(2, 100))
	r.step(Event{Kind: EvBarred, Endpoint: 1, Wait: 60 * second})
	for range 8 {
		r.step(r.message(0, 0))
		for _, a := range r.sends {
			if a.Endpoint != 2 {
				t.Fatalf("sent to an endpoint that is barred")
			}
			r.step(answer(a, Delivered))
		}
	}
	if !r.p.Avoids(1, r.now) || r.p.Avoids(2, r.now) {
		t.Error("figures: it is not avoided, or the other one is")
	}
	// Both are out now: one for longer than a message may take, one for less.
	r.step(Event{Kind: EvBarred, Endpoint: 2, Wait: 5 * second})
	if r.step(r.message(0, 0)); len(r.sends) != 0 || count(r.acts, ActRefuse) != 0 {
		t.Fatalf("one comes back within 5 s: %v", r.acts)
	}
	r.step(Event{Kind: EvBarred, Endpoint: 2, Wait: 70 * second})
	if count(r.acts, ActRefuse) != 1 {
		t.Fatalf("what was held is not refused: %v", r.acts)
	}
	r.step(r.message(0, 0))
	if len(r.acts) == 0 || r.acts[0].Kind != ActRefuse || r.acts[0].After < 60*second || r.acts[0].After > 61*second {
		t.Fatalf("want a refusal with the 60 s until the first is asked again: %v", r.acts)
	}
	if r.step(Event{Kind: EvBarred, Endpoint: 1}, r.message(0, 0)); len(r.sends) != 1 || r.sends[0].Endpoint != 1 {
		t.Fatalf("proved again, and nothing goes there: %v", r.acts)
	}
	// Time alone lifts it too.
	r = newRig(t, one(), ready(1, 100))
	r.step(Event{Kind: EvBarred, Endpoint: 1, Wait: second}, r.message(0, 0))
	r.now += second + 5000
	if r.step(Event{Kind: EvTimer}); len(r.sends) != 1 {
		t.Fatalf("its bar is over, and nothing goes there: %v", r.acts)
	}
}

// TestOpeningIsPaid: a connection that must be opened is paid for like calls, at the pace of a sound endpoint
// and out of the budget of a cold one; one that is there costs nothing more.
func TestOpeningIsPaid(t *testing.T) {
	x := ready(1, 100)
	x.Opening = 5
	r := newRig(t, one(), x)
	p := r.p
	ep := p.eps[1]
	level := func() float64 { return ep.lane.tokens.level(r.now, p.pace(ep.lane), p.depth(ep.lane)) }
	before := level()
	r.step(r.message(0, 0))
	if len(r.sends) != 1 || before-level() != 6 {
		t.Fatalf("a call and its connection took %v of the pace, want 6", before-level())
	}
	r.step(answer(r.sends[0], Delivered))
	before = level()
	if r.step(r.message(0, 0)); len(r.sends) != 1 || before-level() != 1 {
		t.Fatalf("a call on a connection that is there took %v, want 1", before-level())
	}
	r.step(answer(r.sends[0], TimedOut)) // and its connection went with it
	if p.opening(ep) != 5 {
		t.Error("after a call without an answer its connection is still counted on")
	}
	ep.sick, ep.goodAt, ep.need = true, r.now, 1
	full := func(tokens float64) { ep.budget = bucket{r.now, tokens, true} }
	if full(5.9); p.mayCall(ep) {
		t.Error("cold: a connection is opened though the budget does not hold it")
	}
	full(6)
	if !p.mayCall(ep) {
		t.Error("cold: not opened though the budget holds it")
	}
	if p.spend(ep); ep.budget.tokens != 0 {
		t.Errorf("cold: %v of 6 left", ep.budget.tokens)
	}
	ep.conns, ep.need = ep.flying+1, 1
	if full(1); !p.mayCall(ep) {
		t.Error("cold: a connection that is there costs as much as a new one")
	}
	// One more than the budget ever saves up is waited for, not given up.
	ep.conns, ep.opening = 0, 1000
	if full(0); p.opens(ep.lane.dest) <= r.now {
		t.Error("cold: a dear connection is told to be possible now")
	}
}

// TestColdIsTold: the driver is told where one connection is opened at a time.
func TestColdIsTold(t *testing.T) {
	r := newRig(t, one(), ready(1, 1000))
	if r.step(r.message(0, 0)); len(r.sends) != 1 || r.sends[0].Cold {
		t.Fatalf("a sound endpoint: %v", r.acts)
	}
	r.step(answer(r.sends[0], Delivered))
	ep := r.p.eps[1]
	ep.sick, ep.goodAt, ep.need, ep.budget = true, r.now, 1, bucket{r.now, 1, true}
	if r.step(r.message(0, 0)); len(r.sends) != 1 || !r.sends[0].Cold {
		t.Fatalf("a cold one: %v", r.acts)
	}
}

// TestWaitOfWhatWasNotSent: where the relay itself could open nothing, the destination rests, and is not blamed.
func TestWaitOfWhatWasNotSent(t *testing.T) {
	r := newRig(t, one(), ready(1, 1000))
	r.step(r.message(0, 0))
	e := answer(r.sends[0], NotSent)
	e.Wait = second
	if r.step(e); len(r.sends) != 0 || r.p.eps[1].score != 0 {
		t.Fatalf("sent again at once, or blamed: %v", r.acts)
	}
	r.now += second + 5000
	if r.step(Event{Kind: EvTimer}); len(r.sends) != 1 {
		t.Fatalf("not sent after the wait: %v", r.acts)
	}
}
