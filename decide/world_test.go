package decide

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// The checker below keeps books of its own, from the events it hands out and the actions it gets back.

type heldMsg struct {
	class, dest, zone       int
	key                     uint64
	seq                     int
	deadline                Time
	tries                   int
	out                     bool
	firstDoubt              Time
	doubt, done, wasRefused bool
	at                      Endpoint
}

type flight struct {
	msg     uint32
	attempt int
	at      Endpoint
	cut     Time
	due     Time
	outcome Outcome
}

type checker struct {
	set      Settings
	eps      map[Endpoint]Entry
	badSince map[Endpoint]Time // told draining or gone
	msgs     map[uint32]*heldMsg
	flights  []flight
	timers   []flight
	waits    map[string]Time
	order    map[uint64][]uint32
	rest     map[uint64]Time
	probes   []Endpoint
	errs     []string
	sends    int
	refused  int
	failed   int
}

func newChecker(s Settings) *checker {
	return &checker{set: s, eps: map[Endpoint]Entry{}, badSince: map[Endpoint]Time{}, msgs: map[uint32]*heldMsg{},
		waits: map[string]Time{}, order: map[uint64][]uint32{}, rest: map[uint64]Time{}}
}

func (c *checker) fault(now Time, format string, args ...any) {
	c.errs = append(c.errs, fmt.Sprintf("%d: ", now)+fmt.Sprintf(format, args...))
}

func (c *checker) route(e Endpoint) string {
	x := c.eps[e]
	if c.set.Kinds[x.Kind].Apart {
		return fmt.Sprintf("e%d", e)
	}
	return fmt.Sprintf("d%d", x.Dest)
}

func (c *checker) list(now Time, e Event) {
	if e.List == ListFailed {
		return
	}
	seen := map[Endpoint]bool{}
	for _, x := range e.Entries {
		seen[x.Endpoint] = true
		if x.State == Ready {
			delete(c.badSince, x.Endpoint)
		} else if _, ok := c.badSince[x.Endpoint]; !ok {
			c.badSince[x.Endpoint] = now
		}
		c.eps[x.Endpoint] = x
	}
	if e.List == ListFull || e.List == ListCached {
		for id := range c.eps {
			if _, bad := c.badSince[id]; !seen[id] && !bad {
				c.badSince[id] = now
			}
		}
	}
}

func (c *checker) arrive(now Time, e Event, seq int) {
	m := &heldMsg{class: e.Class, dest: e.Dest, key: e.Key, seq: seq, deadline: now + e.Left}
	c.msgs[e.Message] = m
	if c.set.Classes[e.Class].InOrder && e.Key != 0 {
		c.order[e.Key] = append(c.order[e.Key], e.Message)
	}
}

func (c *checker) resolved(now Time, e Event) {
	m := c.msgs[e.Message]
	m.out = false
	switch e.Outcome {
	case Delivered:
		m.done = true
	case Errored, TimedOut, Reset, Cancelled:
		if !m.doubt {
			m.doubt = true
			m.zone = c.eps[e.Endpoint].Zone
		}
	}
	if !m.doubt {
		m.firstDoubt = 0
	}
	if e.Outcome == TimedOut || e.Outcome == Reset || e.Outcome == Cancelled {
		c.rest[m.key] = max(c.rest[m.key], now+c.set.KeyRest)
	}
	if e.Wait > 0 { // also where the answer that told it was spoilt later
		r := c.route(e.Endpoint)
		c.waits[r] = max(c.waits[r], now+e.Wait)
	}
}

func (c *checker) action(now Time, a Action) {
	m := c.msgs[a.Message]
	switch a.Kind {
	case ActSend:
		c.sends++
		x, known := c.eps[a.Endpoint]
		switch {
		case m == nil:
			c.fault(now, "send of unknown %d", a.Message)
			return
		case m.done:
			c.fault(now, "send of %d after its end", a.Message)
		case m.out:
			c.fault(now, "two attempts of %d at once", a.Message)
		case !known || x.Dest != m.dest:
			c.fault(now, "send of %d to an endpoint of another destination", a.Message)
		case a.At > m.deadline:
			c.fault(now, "attempt of %d outlives its deadline", a.Message)
		case c.set.MaxAttempts > 0 && m.tries >= c.set.MaxAttempts:
			c.fault(now, "attempt %d of %d", m.tries, a.Message)
		}
		if at, bad := c.badSince[a.Endpoint]; bad && now > at+c.set.DrainGrace {
			c.fault(now, "drain: send of %d to %d", a.Message, a.Endpoint)
		}
		if now < c.waits[c.route(a.Endpoint)] {
			c.fault(now, "wait: send of %d to %d", a.Message, a.Endpoint)
		}
		cl := &c.set.Classes[m.class]
		if m.doubt && cl.Repeat == Unsafe {
			c.fault(now, "unsafe %d sent again", a.Message)
		}
		if m.doubt && cl.Repeat == Keyed {
			if now > m.firstDoubt+cl.DedupWindow {
				c.fault(now, "keyed %d sent outside its window", a.Message)
			}
			if cl.ZoneOnly && x.Zone != m.zone {
				c.fault(now, "keyed %d left its zone", a.Message)
			}
		}
		if cl.InOrder && m.key != 0 {
			for _, id := range c.order[m.key] {
				o := c.msgs[id]
				if o.seq < m.seq && (!o.done || o.out) {
					c.fault(now, "order: %d before %d", a.Message, id)
				}
			}
			if m.tries == 0 && now < c.rest[m.key] {
				c.fault(now, "order: %d inside the rest of its key", a.Message)
			}
		}
		if !m.doubt {
			m.firstDoubt = now // it counts from this send if this attempt may have run
		}
		m.tries++
		m.out, m.at = true, a.Endpoint
		c.flights = append(c.flights, flight{msg: a.Message, attempt: m.tries - 1, at: a.Endpoint, cut: a.At})
	case ActRefuse, ActFail:
		if m == nil || m.done {
			c.fault(now, "second answer for %d", a.Message)
			return
		}
		m.done = true
		if now > m.deadline+c.set.AnswerSlack {
			c.fault(now, "late answer for %d", a.Message)
		}
		if a.Kind == ActFail {
			c.failed++
			return
		}
		c.refused++
		cl := &c.set.Classes[m.class]
		open := m.doubt || m.out
		if open && (cl.Repeat == Unsafe || cl.Repeat == Keyed && cl.ZoneOnly) {
			c.fault(now, "refused %d which may have run", a.Message)
		}
	case ActTimer:
		c.timers = append(c.timers, flight{due: now + a.After})
	case ActProbe:
		if now < c.waits[c.route(a.Endpoint)] {
			c.fault(now, "wait: probe to %d", a.Endpoint)
		}
		if at, bad := c.badSince[a.Endpoint]; bad && now > at+c.set.DrainGrace {
			c.fault(now, "drain: probe to %d", a.Endpoint)
		}
		c.probes = append(c.probes, a.Endpoint)
	}
}

func (c *checker) finish(now Time) {
	for id, m := range c.msgs {
		if !m.done && now > m.deadline+c.set.AnswerSlack {
			c.fault(now, "no answer for %d", id)
			m.done = true
		}
	}
	n := len(c.flights)
	if most := c.set.Slots; n > most*maxBatch(c.set) {
		c.fault(now, "%d attempts out with %d slots", n, most)
	}
}

func maxBatch(s Settings) int {
	b := 1
	for _, k := range s.Kinds {
		b = max(b, k.Batch)
	}
	return b
}

// testSettings draws legal settings; every kind of class is among them.
func testSettings(r *rand.Rand) Settings {
	s := Settings{Relays: 1 + r.IntN(4), Slots: 1 + r.IntN(12), MaxHeld: r.IntN(80), MaxAttempts: r.IntN(9),
		Halving: r.IntN(2) == 0, OverShareWorth: 0.2, RatesListed: r.IntN(2) == 0, Probes: r.IntN(2) == 0,
		Cancels: r.IntN(2) == 0, RetryAfter: true, MaxRetryAfter: 2 * second, KeepAlive: 5 * second,
		ConnectTimeout: second, Tick: 5000, AnswerSlack: 20000, DrainGrace: 0, StartCapacity: 0.2,
		RampTime: 8 * second, OverloadFactor: 2, FallTime: 3 * second, KeyRest: second / 2,
		Kinds:   []Kind{{Batch: 1 + r.IntN(4)}, {Apart: true, Batch: 1}},
		Tenants: []Tenant{{Name: "a", Quota: 3}, {Name: "b"}},
		Classes: []Class{
			{Name: "safe", Aim: second, Deadline: 6 * second, Worth: 1, LateWorth: 0.2},
			{Name: "keyed", Aim: 2 * second, Deadline: 9 * second, Worth: 2, LateWorth: 0.3, Repeat: Keyed,
				DedupWindow: 3 * second / 2},
			{Name: "zoned", Aim: 2 * second, Deadline: 9 * second, Worth: 2, LateWorth: 0.3, Repeat: Keyed,
				DedupWindow: 3 * second, ZoneOnly: true},
			{Name: "unsafe", Aim: 2 * second, Deadline: 7 * second, Worth: 3, LateWorth: 0.3, Repeat: Unsafe},
			{Name: "ordered", Aim: second, Deadline: 8 * second, Worth: 1, LateWorth: 0.3, InOrder: true},
		}}
	return s
}

// play runs a seeded random legal day against a policy and returns the checker and all that was asked.
func play(t testing.TB, seed uint64, steps int) (*checker, []string) {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, 7))
	set := testSettings(r)
	p, err := New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	c := newChecker(set)
	now := Time(r.Int64N(int64(1000 * second)))
	var trace []string
	next, seq := uint32(1), 0
	entries := []Entry{}
	for i := range 10 {
		d := r.IntN(4)
		entries = append(entries, Entry{Endpoint: Endpoint(100 + i), Zone: r.IntN(2), Kind: d % 2, Dest: d, State: Ready,
			Rate: 1 + 9*r.Float64()})
	}
	var events []Event
	first := Event{Kind: EvList, List: ListCached, Entries: entries}
	c.list(now, first)
	events = append(events, first)
	bad := map[int]Outcome{} // destinations out at present
	for step := range steps {
		for _, a := range p.Step(now, events, nil) {
			trace = append(trace, fmt.Sprintf("%d %+v", now, a))
			c.action(now, a)
		}
		c.finish(now)
		events = nil
		now = c.until(now, now+5000*(1+Time(r.IntN(20))))
		if r.IntN(100) == 0 { // a restart: the books of this life are closed, the list may be old
			if p, err = New(set, seed+uint64(step)); err != nil {
				t.Fatal(err)
			}
			errs, s, re, f := c.errs, c.sends, c.refused, c.failed
			c = newChecker(set)
			c.errs, c.sends, c.refused, c.failed = errs, s, re, f
			e := Event{Kind: EvList, List: ListCached, Entries: entries}
			c.list(now, e)
			events = append(events, e)
		}
		if r.IntN(30) == 0 {
			i := r.IntN(len(entries))
			entries = append([]Entry(nil), entries...)
			entries[i].State = Readiness(r.IntN(3))
			e := Event{Kind: EvList, List: ListChange, Entries: entries[i : i+1]}
			switch r.IntN(4) {
			case 0:
				e = Event{Kind: EvList, List: ListFull}
				for _, x := range entries {
					if x.State != Gone {
						e.Entries = append(e.Entries, x)
					}
				}
			case 1:
				e = Event{Kind: EvList, List: ListFailed}
			}
			if e.List == ListFailed {
				entries[i].State = c.stateOf(entries[i].Endpoint)
			}
			c.list(now, e)
			events = append(events, e)
		}
		if r.IntN(40) == 0 {
			bad[r.IntN(4)] = []Outcome{Errored, TimedOut, NoConnect, Full, Delivered}[r.IntN(5)]
		}
		for range r.IntN(4) {
			e := Event{Kind: EvMessage, Message: next, Class: r.IntN(len(set.Classes)), Dest: r.IntN(5), Tenant: r.IntN(3)}
			if set.Classes[e.Class].InOrder {
				e.Key = uint64(r.IntN(3))
			}
			e.Left = Time(float64(set.Classes[e.Class].Deadline) * (0.05 + 0.95*r.Float64()))
			seq++
			next++
			c.arrive(now, e, seq)
			events = append(events, e)
		}
		var still []flight
		for _, f := range c.flights {
			if r.IntN(4) != 0 && f.cut > now {
				still = append(still, f)
				continue
			}
			e := Event{Kind: EvOutcome, Message: f.msg, Attempt: f.attempt, Endpoint: f.at, Took: second / 5}
			switch {
			case f.cut <= now:
				e.Outcome = TimedOut
			case r.IntN(5) == 0:
				e.Outcome = Outcome(r.IntN(int(numOutcome)))
			default:
				e.Outcome = bad[c.msgs[f.msg].dest]
			}
			if (e.Outcome == Full || e.Outcome == Errored) && r.IntN(2) == 0 {
				e.Wait = Time(r.Int64N(int64(3 * second)))
			}
			e.Settled = c.msgs[f.msg].done || e.Outcome == Delivered
			if r.IntN(2) == 0 {
				e.Load = Load{Left: r.Float64(), Limit: 10 * r.Float64()}
			}
			c.resolved(now, e)
			events = append(events, e)
			if r.IntN(20) == 0 { // repeated, and about what was never sent
				events = append(events, e, Event{Kind: EvOutcome, Message: next + 9, Endpoint: 5})
			}
		}
		c.flights = still
		for _, ep := range c.probes {
			events = append(events, Event{Kind: EvProbed, Endpoint: ep, Outcome: Outcome(r.IntN(int(numOutcome)))})
		}
		c.probes = nil
		if r.IntN(50) == 0 && next > 1 {
			id := next - 1
			if m := c.msgs[id]; m != nil && !m.done {
				m.done = true
				events = append(events, Event{Kind: EvWithdraw, Message: id})
			}
		}
		var later []flight
		for _, tm := range c.timers {
			if tm.due <= now {
				events = append(events, Event{Kind: EvTimer})
			} else {
				later = append(later, tm)
			}
		}
		c.timers = later
	}
	return c, trace
}

// until is the next moment of the day: a timer or a time-out that comes due is not passed over.
func (c *checker) until(now, then Time) Time {
	for _, tm := range c.timers {
		then = min(then, max(tm.due, now+1))
	}
	for _, f := range c.flights {
		then = min(then, max(f.cut, now+1))
	}
	return then
}

func (c *checker) stateOf(e Endpoint) Readiness {
	if _, bad := c.badSince[e]; bad {
		return Draining
	}
	return Ready
}

// TestRules holds every rule as a property over seeded random legal days.
func TestRules(t *testing.T) {
	var sends, refused, failed int
	for seed := range uint64(90) {
		c, _ := play(t, seed, 400)
		for i, e := range c.errs {
			if i < 3 {
				t.Errorf("seed %d: %s", seed, e)
			}
		}
		sends, refused, failed = sends+c.sends, refused+c.refused, failed+c.failed
	}
	if sends < 5000 || refused < 100 || failed < 100 {
		t.Fatalf("the days test nothing: %d sends, %d refused, %d failed", sends, refused, failed)
	}
}

// TestSameEventsSameActions: the seed and the events settle every action.
func TestSameEventsSameActions(t *testing.T) {
	for seed := range uint64(5) {
		_, a := play(t, seed, 300)
		_, b := play(t, seed, 300)
		if len(a) == 0 || len(a) != len(b) {
			t.Fatalf("seed %d: %d and %d actions", seed, len(a), len(b))
		}
		for i := range a {
			if a[i] != b[i] {
				t.Fatalf("seed %d: %s against %s", seed, a[i], b[i])
			}
		}
	}
}
