package decide

import (
	"fmt"
	"math"
	"os"
	"strings"
	"testing"
	"unicode/utf8"
)

// one returns settings for a relay with one safe class and one kind of destination.
func one() Settings {
	return Settings{Relays: 2, Slots: 8, MaxHeld: 100, MaxAttempts: 9, Halving: true, OverShareWorth: 0.1,
		RatesListed: true, Probes: true, Cancels: true, RetryAfter: true, MaxRetryAfter: 2 * second, Tick: 5000,
		AnswerSlack: 20000, DrainGrace: second, StartCapacity: 0.2, RampTime: 10 * second, OverloadFactor: 2,
		FallTime: 3 * second, KeepAlive: 10 * second, ConnectTimeout: second, Kinds: []Kind{{Batch: 1}},
		Classes: []Class{{Name: "m", Aim: 2 * second, Deadline: 20 * second, Worth: 1, LateWorth: 0.3}}}
}

// rig drives a policy by hand: a steady host that answers as told.
type rig struct {
	t      *testing.T
	p      *Policy
	now    Time
	acts   []Action
	next   uint32
	sends  []Action
	sentAt []Time
	events []Event
}

func newRig(t *testing.T, s Settings, entries ...Entry) *rig {
	t.Helper()
	p, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, p: p, now: 1000 * second, next: 1}
	r.step(Event{Kind: EvList, List: ListCached, Entries: entries})
	return r
}

func (r *rig) step(events ...Event) []Action {
	r.acts = r.p.Step(r.now, events, nil)
	r.sends = nil
	for _, a := range r.acts {
		if a.Kind == ActSend {
			r.sends = append(r.sends, a)
			r.sentAt = append(r.sentAt, r.now)
		}
	}
	return r.acts
}

func (r *rig) message(class, dest int) Event {
	r.next++
	return Event{Kind: EvMessage, Message: r.next - 1, Class: class, Dest: dest, Left: r.p.set.Classes[class].Deadline}
}

func count(acts []Action, k ActionKind) int {
	n := 0
	for _, a := range acts {
		if a.Kind == k {
			n++
		}
	}
	return n
}

func ready(id Endpoint, rate float64) Entry { return Entry{Endpoint: id, State: Ready, Rate: rate} }

func answer(a Action, o Outcome) Event {
	return Event{Kind: EvOutcome, Message: a.Message, Endpoint: a.Endpoint, Attempt: a.Attempt, Outcome: o,
		Took: second / 10, Settled: o == Delivered}
}

func TestDropChance(t *testing.T) {
	for _, c := range []struct{ req, acc, want float64 }{
		{0, 0, 0},        // no history
		{10, 10, 0},      // all accepted
		{10, 5, 0},       // just K times the accepts
		{20, 5, 6. / 21}, // past it, two accepts to its credit
		{1000, 0, 0.9},   // dead: the cap
		{3, 0, 0},        // hardly asked: that tells nothing
	} {
		if got := dropChance(c.req, c.acc); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("dropChance(%v, %v) = %v, want %v", c.req, c.acc, got, c.want)
		}
	}
}

func TestHistoryExpires(t *testing.T) {
	c := newCounter(10*second, 20)
	for i := range Time(10) {
		c.request(i * second)
		c.accept(i * second)
	}
	for _, x := range []struct {
		at   Time
		want float64
	}{{9 * second, 10}, {14 * second, 5}, {60 * second, 0}} {
		if req, acc := c.totals(x.at); math.Abs(req-x.want) > 1 || req != acc {
			t.Errorf("at %d: %v requests, %v accepts, want about %v", x.at, req, acc, x.want)
		}
	}
}

// TestLocalDropsCount: a draw is a request whether or not it passes.
func TestLocalDropsCount(t *testing.T) {
	r := newRig(t, one(), ready(1, 10))
	l := r.p.eps[1].lane
	drops := 0
	for range 200 {
		if r.p.dropped(l) {
			drops++
		}
	}
	if req, _ := l.hist.totals(r.now); req != 200 || drops < 140 || drops > 195 {
		t.Fatalf("%v requests counted, %d drops of 200", req, drops)
	}
}

// TestWindow: it starts at one, grows by one with each success, and halves on a refusal or a time-out.
func TestWindow(t *testing.T) {
	r := newRig(t, one(), ready(1, 1000))
	l := r.p.eps[1].lane
	var burst []Event
	for range 20 {
		burst = append(burst, r.message(0, 0))
	}
	r.step(burst...)
	if len(r.sends) != 1 {
		t.Fatalf("%d calls in the first turn, want 1", len(r.sends))
	}
	r.now += second / 10
	r.step(answer(r.sends[0], Delivered))
	if len(r.sends) != 2 || l.window != 2 {
		t.Fatalf("%d calls after a success, window %v, want 2 and 2", len(r.sends), l.window)
	}
	for _, o := range []Outcome{Full, TimedOut} {
		l.window = 6
		r.now += second / 10
		r.p.observe(&call{ep: r.p.eps[1], sent: r.now, msgs: []*message{{class: &r.p.set.Classes[0]}}}, &Event{Kind: EvOutcome, Outcome: o})
		if l.window != 3 {
			t.Errorf("window after outcome %d: %v, want 3", o, l.window)
		}
	}
}

// TestSlotsAtOneDestination: three quarters of the slots at most, half while it fails.
func TestSlotsAtOneDestination(t *testing.T) {
	for _, failing := range []bool{false, true} {
		r := newRig(t, one(), ready(1, 1000))
		l := r.p.eps[1].lane
		l.window = 100
		want := 6
		if failing {
			r.p.eps[1].score, want = 0.35, 4
		}
		for range 10 {
			r.step(r.message(0, 0), r.message(0, 0))
		}
		if l.dest.flying != want {
			t.Errorf("failing %v: %d calls out of 8 slots, want %d", failing, l.dest.flying, want)
		}
	}
}

// outage sends a message each 100 ms; the destination answers with o from the first second to the twelfth.
func outage(t *testing.T, s Settings, rate float64, o Outcome) *rig {
	r := newRig(t, s, ready(1, rate/2), ready(2, rate/2))
	start := r.now
	type out struct {
		a   Action
		due Time
		o   Outcome
	}
	var flights []out
	tries := map[uint32]int{}
	for r.now < start+40*second {
		var events []Event
		var still []out
		for _, f := range flights {
			if f.due > r.now {
				still = append(still, f)
				continue
			}
			events = append(events, answer(f.a, f.o))
		}
		flights = still
		if (r.now-start)%(second/10) == 0 {
			events = append(events, r.message(0, 0))
		}
		r.step(events...)
		for _, a := range r.acts {
			switch a.Kind {
			case ActSend:
				a.Attempt = tries[a.Message]
				tries[a.Message]++
				f := out{a, r.now + second/5, Delivered}
				if at := r.now - start; at > second && at < 12*second {
					f.o = o
					if o == TimedOut {
						f.due = a.At
					}
				}
				flights = append(flights, f)
			}
		}
		r.now += 5000
	}
	return r
}

// TestFailBackBudget: after an outage seen, this relay's part of the budget holds in any window of the fall
// time, from the return on, with the capacity at its slowest ramp.
func TestFailBackBudget(t *testing.T) {
	for _, o := range []Outcome{Errored, TimedOut, NoConnect, Reset, Full} {
		s := one()
		r := outage(t, s, 20, o)
		start, back := 1000*second, 1012*second
		early, late := 0, 0
		for _, at := range r.sentAt {
			if at > start+6*second && at < back {
				early++
			}
			if at > back+15*second {
				late++
			}
		}
		for from := back; from < back+s.RampTime; from += second / 4 {
			n := 0
			for _, at := range r.sentAt {
				if at >= from && at < from+s.FallTime {
					n++
				}
			}
			share := s.StartCapacity + (1-s.StartCapacity)*float64(from-back)/float64(s.RampTime)
			most := s.OverloadFactor * share * 20 * 3 / float64(s.Relays)
			if float64(n) > most+2 { // a trial at each endpoint is the allowance for chance
				t.Errorf("outcome %d: %d calls in the 3 s from %d ms after the return, want at most %.1f", o, n,
					(from-back)/1000, most)
			}
		}
		if early == 0 || early > 60 || late < 50 {
			t.Errorf("outcome %d: %d calls in the outage and %d after it: trials or the return are missing", o, early, late)
		}
	}
}

// TestPartialSuccessKeepsTheBudget: a success amid failures starts no ramp that survives the next failure.
func TestPartialSuccessKeepsTheBudget(t *testing.T) {
	r := newRig(t, one(), ready(1, 10))
	ep := r.p.eps[1]
	r.p.failed(ep, r.now, false)
	r.p.failed(ep, r.now, false)
	if ep.sick {
		t.Fatal("two failures in a row are an outage")
	}
	r.p.failed(ep, r.now, false)
	if !ep.sick {
		t.Fatal("three failures in a row are no outage")
	}
	r.now += second
	r.p.now = r.now
	r.p.healthy(ep, r.now)
	r.p.now += 5 * second
	if r.p.ramped(ep) < 0.5 {
		t.Fatalf("half a ramp gives %v", r.p.ramped(ep))
	}
	r.p.failed(ep, r.p.now, false)
	r.p.failed(ep, r.p.now, false)
	if got := r.p.ramped(ep); got != 0.2 || !ep.sick {
		t.Fatalf("after a failure in the ramp: share %v, out %v", got, ep.sick)
	}
}

// TestOldCallsTellNothingOfTheReturn: what left before the outage was over does not restart it.
func TestOldCallsTellNothingOfTheReturn(t *testing.T) {
	r := newRig(t, one(), ready(1, 10))
	ep := r.p.eps[1]
	early := r.now
	for range 3 {
		r.p.failed(ep, r.now, true)
	}
	r.p.now += 3 * second
	r.p.healthy(ep, r.p.now-second/10)
	good := ep.goodAt
	r.p.failed(ep, early, true)
	if good == 0 || ep.goodAt != good {
		t.Fatalf("ramp began at %d and now says %d", good, ep.goodAt)
	}
}

// TestTimeoutNotUnderAim: one quick answer must not make the next slow one look like an outage.
func TestTimeoutNotUnderAim(t *testing.T) {
	r := newRig(t, one(), ready(1, 1000))
	r.step(r.message(0, 0))
	e := answer(r.sends[0], Delivered)
	e.Took = 1000
	r.now += 1000
	r.step(e)
	r.step(r.message(0, 0))
	if len(r.sends) != 1 || r.sends[0].At-r.now < 2*second {
		t.Fatalf("sends %+v at %d: time-out under the aim", r.sends, r.now)
	}
}

// TestChanceOfASmallShare: with many relays a lane still lets a few arrivals close together pass.
func TestChanceOfASmallShare(t *testing.T) {
	s := one()
	s.Relays = 12
	r := newRig(t, s, ready(1, 9))
	r.p.eps[1].lane.window = 5
	r.step(r.message(0, 0), r.message(0, 0), r.message(0, 0))
	if len(r.sends) != 3 {
		t.Fatalf("%d of 3 calls passed at once", len(r.sends))
	}
}

// TestTrialsUseMessages: a trial call is a message that waits; an unsafe one only once it is late.
func TestTrialsUseMessages(t *testing.T) {
	for _, unsafe := range []bool{false, true} {
		s := one()
		if unsafe {
			s.Classes[0].Repeat = Unsafe
		}
		r := newRig(t, s, ready(1, 10))
		for range 3 {
			r.p.failed(r.p.eps[1], r.now, true)
		}
		start := r.now
		r.step(r.message(0, 0))
		for len(r.sends) == 0 && r.now < start+19*second {
			r.now += second / 20
			r.step()
		}
		if len(r.sends) != 1 || unsafe && r.now <= start+s.Classes[0].Aim {
			t.Errorf("unsafe %v: %d sends after %d ms", unsafe, len(r.sends), (r.now-start)/1000)
		}
	}
}

// TestBatchOfOneTurn: what waits for one endpoint shares a call and a slot, and the call counts once.
func TestBatchOfOneTurn(t *testing.T) {
	s := one()
	s.Kinds[0].Batch = 3
	r := newRig(t, s, ready(1, 10))
	r.step(r.message(0, 0), r.message(0, 0), r.message(0, 0))
	if len(r.sends) != 3 || r.p.calls != 1 {
		t.Fatalf("%d sends in %d calls, want 3 in 1", len(r.sends), r.p.calls)
	}
	r.now += second / 5
	r.step(answer(r.sends[0], Delivered))
	if r.p.calls != 1 {
		t.Fatal("the slot was freed before the call's last outcome")
	}
}

// TestWorthOrder: what loses most by waiting goes first; what is over its tenant's share goes last.
func TestWorthOrder(t *testing.T) {
	s := one()
	s.Classes = append(s.Classes, Class{Name: "dear", Aim: 2 * second, Deadline: 20 * second, Worth: 3, LateWorth: 0.3})
	s.Tenants = []Tenant{{Name: "a", Quota: 2}, {Name: "b", Quota: 100}}
	r := newRig(t, s, ready(1, 2))
	r.step(r.message(0, 0)) // takes the window of one
	var events []Event
	for i := range 6 {
		e := r.message(i%2, 0)
		e.Tenant = 1
		if i >= 4 {
			e.Tenant = 0
		}
		events = append(events, e)
	}
	r.step(events...)
	r.p.order(r.p.dests[0])
	q := r.p.dests[0].queue
	if len(q) != 6 || q[0].class.Name != "dear" || q[5].worth > 0.5 && q[4].worth > 0.5 {
		t.Fatalf("queue of %d, first %s, last worth %v", len(q), q[0].class.Name, q[5].worth)
	}
}

// TestNoEndpoint: a message without a usable endpoint is held, then answered in time by its class.
func TestNoEndpoint(t *testing.T) {
	r := newRig(t, one())
	r.step(r.message(0, 7))
	if count(r.acts, ActTimer) != 1 || count(r.acts, ActRefuse) != 0 {
		t.Fatalf("actions %+v", r.acts)
	}
	r.now += 20*second - 5000
	if r.step(); count(r.acts, ActRefuse) != 1 {
		t.Fatalf("no answer before the deadline: %+v", r.acts)
	}
}

// TestUnknownClass: nothing is known of such a message, and nothing has run.
func TestUnknownClass(t *testing.T) {
	r := newRig(t, one(), ready(1, 10))
	e := r.message(0, 0)
	e.Class = 9
	if r.step(e); count(r.acts, ActRefuse) != 1 || len(r.sends) != 0 {
		t.Fatalf("actions %+v", r.acts)
	}
}

func TestSettingsThatCannotBe(t *testing.T) {
	for _, c := range []struct {
		key    string
		change func(*Settings)
	}{
		{"Slots", func(s *Settings) { s.Slots = 0 }},
		{"Relays", func(s *Settings) { s.Relays = 0 }},
		{"FallTime", func(s *Settings) { s.FallTime = -1 }},
		{"Classes[0].Repeat", func(s *Settings) { s.Classes[0].Repeat = 9 }},
		{"Classes[0].Deadline", func(s *Settings) { s.Classes[0].Deadline = 0 }},
		{"Classes[0].DedupWindow", func(s *Settings) { s.Classes[0].DedupWindow = -5 }},
		{"Classes", func(s *Settings) { s.Classes = nil }},
		{"StartCapacity", func(s *Settings) { s.StartCapacity = math.NaN() }},
		{"Kinds[0].Batch", func(s *Settings) { s.Kinds[0].Batch = -1 }},
	} {
		s := one()
		c.change(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), c.key) {
			t.Errorf("%s: error %v", c.key, err)
		}
	}
	if _, err := New(one(), 1); err != nil {
		t.Errorf("good settings: %v", err)
	}
}

// TestLimits holds the module's own limits on its text.
func TestLimits(t *testing.T) {
	text, err := os.ReadFile("decide.go")
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	lines := strings.Split(string(text), "\n")
	for i, line := range lines {
		if strings.TrimSpace(line) != "" {
			n++
		}
		if w := utf8.RuneCountInString(strings.ReplaceAll(line, "\t", "    ")); w > 110 {
			t.Errorf("line %d has %d columns", i+1, w)
		}
	}
	if n > 1200 {
		t.Errorf("%d lines that are not blank, at most 1200", n)
	}
	if !strings.Contains(strings.Join(lines[:3], "\n"), "api.go") {
		t.Error("the first lines do not name api.go")
	}
}

// TestReclaim: calls that never come back do not hold the last slots while messages wait, and a call to an
// endpoint that has answered others since does not count against it.
func TestReclaim(t *testing.T) {
	s := one()
	s.Slots = 2
	r := newRig(t, s, Entry{Endpoint: 1, State: Ready, Dest: 0, Rate: 1000}, Entry{Endpoint: 2, State: Ready, Dest: 1, Rate: 1000})
	for dest := range 2 { // both have answered once, so what is usual is known
		r.step(r.message(0, dest))
		r.now += second / 10
		r.step(answer(r.sends[0], Delivered))
	}
	r.now += second
	r.step(r.message(0, 0), r.message(0, 1), r.message(0, 1))
	if r.p.calls != 2 {
		t.Fatalf("%d calls out, want both slots taken", r.p.calls)
	}
	cancels := 0
	for range 400 {
		r.now += 5000
		r.step()
		cancels += count(r.acts, ActCancel)
		if cancels > 0 {
			break
		}
	}
	if cancels == 0 {
		t.Fatal("no overdue call was called off")
	}
	ep := r.p.eps[1]
	ep.okAt = r.now
	before := ep.score
	r.p.observe(&call{ep: ep, sent: r.now - second}, &Event{Kind: EvOutcome, Outcome: Cancelled})
	if ep.score != before {
		t.Error("a call called off counted against an endpoint that has answered since")
	}
}

// TestFewerThanHalfFailing: where most calls pass, failures neither make an outage nor undo a ramp.
func TestFewerThanHalfFailing(t *testing.T) {
	r := newRig(t, one(), ready(1, 10))
	ep := r.p.eps[1]
	for i := range 300 { // two of five fail
		r.p.now += second / 10
		if i%5 == 1 || i%5 == 3 {
			r.p.failed(ep, r.p.now, false)
		} else {
			r.p.healthy(ep, r.p.now)
		}
		if ep.sick {
			t.Fatalf("out after %d calls of which two in five failed", i)
		}
	}
	for range 3 {
		r.p.failed(ep, r.p.now, false)
	}
	for range 6 {
		r.p.healthy(ep, r.p.now)
	}
	good := ep.goodAt
	r.p.failed(ep, r.p.now, false)
	if good == 0 || ep.goodAt != good {
		t.Fatal("one failure among passes undid the ramp")
	}
}

// TestRestAfterARefusal: the first rest after an untold refusal is this relay's turn at the limit, but no longer
// than a message has to its aim.
func TestRestAfterARefusal(t *testing.T) {
	for _, n := range []int{2, 7, 400} {
		s := one()
		s.Relays = n
		r := newRig(t, s, ready(1, 4))
		l := r.p.eps[1].lane
		r.p.observe(&call{ep: r.p.eps[1], sent: r.now, msgs: []*message{{class: &r.p.set.Classes[0]}}}, &Event{Kind: EvOutcome, Outcome: Full})
		turn := min(Time(n)*second/4, 2*second)
		if rest := l.pauseUntil - r.now; rest < turn/2 || rest > turn*3/2 {
			t.Errorf("%d relays: a rest of %d ms at 4 calls a second", n, rest/1000)
		}
	}
}

// TestShedLatest: with the room nearly full the message that opens latest is handed back, not the next arrival.
func TestShedLatest(t *testing.T) {
	s := one()
	s.MaxHeld = 16
	r := newRig(t, s, Entry{Endpoint: 1, State: Ready, Dest: 0, Rate: 4}, Entry{Endpoint: 2, State: Ready, Dest: 1, Rate: 4})
	r.p.eps[1].lane.pauseUntil = r.now + 15*second
	r.p.eps[2].lane.pauseUntil = r.now + second
	var events []Event
	dest := map[uint32]int{}
	for i := range 16 {
		e := r.message(0, i%2)
		dest[e.Message] = i % 2
		events = append(events, e)
	}
	r.step(events...)
	refused := 0
	for _, a := range r.acts {
		if a.Kind == ActRefuse {
			refused++
			if dest[a.Message] != 0 {
				t.Errorf("message %d of the destination that opens soon was shed", a.Message)
			}
		}
	}
	if refused != 1 {
		t.Fatalf("%d refused, want 1", refused)
	}
}

// TestCrowdIsCheap guards the core in a crowd: where all the room is taken, making some for the next message
// asked for each one held when its destination opens, which took a relay's whole share of a core at four times
// the usual traffic; notices then came too late.
func TestCrowdIsCheap(t *testing.T) {
	const dests = 5
	s := one()
	s.MaxHeld = 400
	var list []Entry
	for i := range dests {
		x := ready(Endpoint(i+1), 1)
		x.Dest = i
		list = append(list, x)
	}
	r := newRig(t, s, list...)
	for i := range 1000 {
		before := r.p.looks
		r.step(r.message(0, i%dests))
		if n := r.p.looks - before; n > 3*dests {
			t.Fatalf("message %d: %d destinations looked at, %d there are", i, n, dests)
		}
	}
	if len(r.p.live) < 300 {
		t.Fatalf("%d held: no crowd", len(r.p.live))
	}
}

// TestGrowth: ids, messages and waits of what has gone leave nothing behind.
func TestGrowth(t *testing.T) {
	s := one()
	s.Kinds = []Kind{{Apart: true, Batch: 1}}
	r := newRig(t, s, ready(1, 5))
	kept := func() int {
		return len(r.p.eps) + len(r.p.msgs) + len(r.p.live) + len(r.p.later.items) + len(r.p.dests[0].lanes)
	}
	after := 0
	for i := range 3000 {
		acts := r.step(r.message(0, 0))
		for _, a := range acts {
			if a.Kind == ActSend {
				e := answer(a, Full)
				e.Wait = second
				r.step(e, Event{Kind: EvWithdraw, Message: a.Message})
			}
		}
		x := ready(Endpoint(i+2), 5)
		r.step(Event{Kind: EvList, Entries: []Entry{{Endpoint: Endpoint(i + 1), State: Gone}, x}})
		r.now += second
		r.step()
		if i == 300 {
			after = kept()
		}
	}
	if n := kept(); n > 2*after {
		t.Errorf("%d things kept after 3000 rounds, %d after 300", n, after)
	}
}

// TestFleetBudget: after an outage that every relay has seen, all relays together stay inside the budget of a
// cold destination, for two relays and for hundreds.
func TestFleetBudget(t *testing.T) {
	for _, n := range []int{2, 50, 400} {
		s := one()
		s.Relays, s.MaxHeld = n, 1000
		const rate = 20.0
		back := 1012 * second
		calls := make([]float64, 40) // by half seconds from the return on
		for k := range n {
			p, err := New(s, uint64(k))
			if err != nil {
				t.Fatal(err)
			}
			now := 1000*second + Time(k)*1000
			events := []Event{{Kind: EvList, List: ListCached, Entries: []Entry{ready(1, rate)}}}
			for i := range max(1, 240/n) { // twelve seconds of traffic, spread over the relays
				events = append(events, Event{Kind: EvMessage, Message: uint32(i + 1), Left: 30 * second})
			}
			tries := map[uint32]int{}
			for now < back+10*second {
				acts := p.Step(now, events, nil)
				events = nil
				for _, a := range acts {
					if a.Kind == ActSend {
						if at := (now - back) * 2 / second; now >= back {
							calls[at]++
						}
						e := answer(a, NoConnect)
						e.Attempt = tries[a.Message]
						tries[a.Message]++
						events = append(events, e)
					}
				}
				now += second / 20
			}
		}
		for from := 0; from+6 <= 20; from++ {
			sum := 0.0
			for _, c := range calls[from : from+6] {
				sum += c
			}
			if most := s.OverloadFactor * s.StartCapacity * rate * 3; sum > most*1.25 {
				t.Errorf("%d relays: %v calls in 3 s from %d ms after the return, budget %v", n, sum, from*500, most)
			}
		}
	}
}

// TestIdleGivenBack: where connections run out, idle ones are given back, the sooner the more relays there are.
func TestIdleGivenBack(t *testing.T) {
	for _, tight := range []float64{0, 1} {
		s := one()
		s.Relays = 50
		r := newRig(t, s, ready(1, 1000))
		r.p.tight[0] = tight
		r.step(r.message(0, 0))
		r.now += second / 10
		closes := 0
		r.step(answer(r.sends[0], Delivered))
		for range 40 { // two seconds, of ten that connections live
			r.now += second / 20
			closes += count(r.step(), ActClose)
		}
		if closes != int(tight) {
			t.Errorf("share without connection %v: %d times given back", tight, closes)
		}
	}
}

// TestGoneAndMoved: what left or moved is not sent to, and is really let go.
func TestGoneAndMoved(t *testing.T) {
	r := newRig(t, one(), ready(1, 10), ready(2, 10))
	r.p.failed(r.p.eps[1], r.now, true)
	r.p.eps[1].sick = true
	r.step(Event{Kind: EvList, List: ListChange, Entries: []Entry{{Endpoint: 1, State: Gone}, {Endpoint: 2, State: Ready, Dest: 5}}})
	if len(r.p.eps) != 1 || len(r.p.dest(0).lanes[0].eps) != 0 {
		t.Fatalf("%d endpoints kept, %d at the old place", len(r.p.eps), len(r.p.dest(0).lanes[0].eps))
	}
	if r.step(r.message(0, 0)); len(r.sends) != 0 {
		t.Fatal("sent to an endpoint of another destination")
	}
	if r.step(r.message(0, 5)); len(r.sends) != 1 {
		t.Fatal("not sent to the endpoint that moved here")
	}
}

// BenchmarkStep shows what a message and its answer cost by the size of the fleet; nothing asserts a time.
func BenchmarkStep(b *testing.B) {
	for _, n := range []int{20, 700} {
		b.Run(fmt.Sprint(n, " endpoints"), func(b *testing.B) {
			p, _ := New(one(), 1)
			var list []Entry
			for i := range n {
				list = append(list, Entry{Endpoint: Endpoint(i + 1), State: Ready, Dest: i, Rate: 1e6})
			}
			now := second
			p.Step(now, []Event{{Kind: EvList, List: ListCached, Entries: list}}, nil)
			var acts []Action
			for i := range b.N {
				now += 5000
				id := uint32(i + 1)
				acts = p.Step(now, []Event{{Kind: EvMessage, Message: id, Dest: i % n, Left: 20 * second}}, acts[:0])
				acts = p.Step(now, []Event{{Kind: EvOutcome, Message: id, Settled: true, Took: 1000}}, acts[:0])
			}
		})
	}
}

// TestRestOfWhatFails: with many relays for the messages an endpoint that fails twice rests, and the longer the
// longer it has failed; where few relays send there much each, it hardly does.
func TestRestOfWhatFails(t *testing.T) {
	for _, n := range []int{2, 400} {
		s := one()
		s.Relays = n
		r := newRig(t, s, ready(1, 10))
		ep := r.p.eps[1]
		r.p.failed(ep, r.now, false)
		if ep.restUntil > r.now {
			t.Fatalf("%d relays: a rest after the first failure", n)
		}
		r.p.now += second / 2
		r.p.failed(ep, r.p.now, false)
		if rest := ep.restUntil - r.p.now; n == 400 && rest < second || n == 2 && rest > second/4 {
			t.Errorf("%d relays: a rest of %d ms half a second after the first failure", n, rest/1000)
		}
	}
}

// TestConnectionsRunOut guards against idle connections that a whole fleet closes and opens again, since
// what is down takes no connection: only an endpoint that answers others meanwhile has none left.
func TestConnectionsRunOut(t *testing.T) {
	for _, c := range []struct {
		name   string
		ends   []Outcome // of two calls that are out together, in this order
		scarce bool
	}{
		{"down", []Outcome{NoConnect, NoConnect}, false},
		{"down, then cut off", []Outcome{NoConnect, Reset}, false},
		{"another was answered", []Outcome{NoConnect, Delivered}, true},
		{"another had been answered", []Outcome{Delivered, NoConnect}, true},
		{"another was turned away", []Outcome{NoConnect, Full}, true},
		{"both were answered", []Outcome{Delivered, Delivered}, false},
	} {
		r := newRig(t, one(), ready(1, 100))
		r.p.dest(0).lanes[0].window = 4
		r.step(r.message(0, 0), r.message(0, 0))
		if len(r.sends) != 2 {
			t.Fatalf("%s: %d calls out", c.name, len(r.sends))
		}
		for i, a := range r.sends {
			r.now += second / 10
			r.step(answer(a, c.ends[i]))
		}
		if got := r.p.tight[0] > 0; got != c.scarce {
			t.Errorf("%s: held to run out: %v", c.name, got)
		}
	}
}

// allOut has all endpoints of a rig's destination 0 held to be out since now.
func allOut(r *rig) {
	for _, ep := range r.p.dest(0).lanes[0].eps {
		for range 3 {
			r.p.failed(ep, r.now, false)
		}
		if !ep.sick {
			r.t.Fatalf("endpoint %d is not held to be out", ep.id)
		}
	}
}

// TestRampBegins: a relay that asks seldom hears of a return long after it. The ramp is held to have begun in
// the middle between its last failure and the call that was answered, and for all endpoints that went with it.
func TestRampBegins(t *testing.T) {
	r := newRig(t, one(), ready(1, 100), ready(2, 100))
	allOut(r)
	a, b := r.p.eps[1], r.p.eps[2]
	down := r.now
	r.now += 4 * second
	r.p.now = r.now
	r.p.healthy(a, r.now-second) // sent 3 s after the last failure
	if want := down + 3*second/2; a.goodAt != want || b.goodAt != want {
		t.Errorf("the ramps begin %d and %d after the last failure, want %d", a.goodAt-down, b.goodAt-down, want-down)
	}
	if got, want := r.p.ramped(b), 0.2+0.8*0.25; math.Abs(got-want) > 0.001 {
		t.Errorf("held to have %.3f of its capacity, want %.3f", got, want)
	}
	r.p.failed(b, r.now-second/2, false) // it has not returned after all
	if b.goodAt != 0 || a.goodAt == 0 {
		t.Error("a failure there does not undo its own ramp, and its alone")
	}
	r = newRig(t, one(), ready(1, 100), ready(2, 100))
	allOut(r)
	r.now += second
	r.p.now = r.now
	r.p.failed(r.p.eps[2], r.now, false)
	r.p.healthy(r.p.eps[1], r.now-second/2)
	if r.p.eps[2].goodAt != 0 {
		t.Error("one that failed after the call was sent is held to be back")
	}
}

// TestWaitOfARouteThatLeft: a wait that is told after its route has left the list binds it when it comes back,
// whichever is first.
func TestWaitOfARouteThatLeft(t *testing.T) {
	for _, order := range []string{"told, back", "back, told"} {
		s := one()
		s.Kinds[0].Apart = true
		r := newRig(t, s, ready(1, 100))
		r.step(r.message(0, 0))
		a := r.sends[0]
		told := answer(a, Full)
		told.Wait = 2 * second
		gone, back := ready(1, 100), ready(1, 100)
		gone.State = Gone
		r.step(Event{Kind: EvList, List: ListChange, Entries: []Entry{gone}})
		end := r.now + told.Wait
		if order == "told, back" {
			r.step(told)
			r.now += second / 2
			r.step(Event{Kind: EvList, List: ListChange, Entries: []Entry{back}})
		} else {
			r.step(Event{Kind: EvList, List: ListChange, Entries: []Entry{back}})
			r.step(told)
		}
		for r.now < end-second/10 {
			if len(r.sends) > 0 {
				t.Fatalf("%s: sent %d before the end of the wait", order, end-r.now)
			}
			r.now += second / 10
			r.step(r.message(0, 0))
		}
		for range 40 {
			r.now += second / 10
			if r.step(Event{Kind: EvTimer}); len(r.sends) > 0 {
				break
			}
		}
		if len(r.sends) == 0 {
			t.Errorf("%s: nothing is sent after the wait", order)
		}
	}
}

// TestGoneRouteIsForgotten: one that was told a wait after it left, and does not come back, is kept for that wait
// and no longer.
func TestGoneRouteIsForgotten(t *testing.T) {
	s := one()
	s.Kinds[0].Apart = true
	r := newRig(t, s, ready(1, 100))
	r.step(r.message(0, 0))
	told := answer(r.sends[0], Full)
	told.Wait = 2 * second
	gone := ready(1, 100)
	gone.State = Gone
	r.step(Event{Kind: EvList, List: ListChange, Entries: []Entry{gone}})
	if r.step(told); len(r.p.eps) != 1 {
		t.Error("forgotten within its wait")
	}
	r.now += 3 * second
	if r.step(Event{Kind: EvTimer}); len(r.p.eps) != 0 {
		t.Error("kept after its wait")
	}
}
