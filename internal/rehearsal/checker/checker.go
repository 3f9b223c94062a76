// Package checker judges the six rules over the record of a rehearsal. It is
// the one judge for every front and for simulated time: it takes events in
// their order and must never touch a socket, a file or a clock, nor know a
// protocol, nor ask a relay what it thinks of itself.
package checker

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"

	"troutusher/internal/event"
)

type state uint8

const (
	open state = iota
	accepted
	refused
	failed
	void // its client heard nothing: what goes on under this id counts for nothing
)

// handIn is one try to hand a message in.
type handIn struct {
	id        string
	num       int
	relay     int
	at        Time
	due       Time
	state     state
	heardAt   Time
	delivered bool
	notice    int // of trace.Notice..., -1 for none
	calls     []*call
	untried   bool // a start found it so, and it has been neither called nor ended since
}

func (h *handIn) finished() bool { return h.delivered || h.notice >= 0 || h.state != accepted }

type call struct {
	no       uint64
	relay    int
	endpoint int
	first    Time
	began    Time
	ended    Time // 0 while it is out
	status   int
	h        *handIn
	late     string // what is wrong with its first byte
}

type wait struct{ from, until Time }

// place is what binds all calls to a destination, or to a route of one.
type place struct {
	waits  [][]wait     // by relay
	out    map[int]bool // endpoints that are out
	ends   int          // endpoints that it has
	hidden int          // of the outages, those in which calls leave no trace
	seen   []Time       // by relay: 1 + when it saw the outage that is on or was last
}

type relay struct {
	down  bool // from being stopped or killed until it is ready
	grace Time // no end is overdue before this
	gone  map[int]Time
}

// Referee judges one rehearsal.
type Referee struct {
	f       Figures
	ids     map[string]*handIn
	byNum   map[int][]*handIn
	calls   map[uint64]*call
	ran     map[int][]*call // by message of the plan: effects that count
	places  map[int]*place
	relays  []relay
	threads map[thread][]*handIn
	due     dues
	now     Time
	found   []Violation
	starts  Starts
}

// Starts says what became of the messages that starts found taken on and untried,
// with half of their time left or more. A message counts once.
type Starts struct{ Untried, Tried, Ended int }

type thread struct {
	relay int
	key   uint64
}

// New makes a referee.
func New(f Figures) *Referee {
	r := &Referee{
		f: f, ids: map[string]*handIn{}, byNum: map[int][]*handIn{}, calls: map[uint64]*call{}, ran: map[int][]*call{},
		places: map[int]*place{}, relays: make([]relay, f.Relays), threads: map[thread][]*handIn{},
	}
	for i := range r.relays {
		r.relays[i].gone = map[int]Time{}
	}
	return r
}

// Violations are those found so far, in the order of their moments.
func (r *Referee) Violations() []Violation {
	v := slices.Clone(r.found)
	slices.SortStableFunc(v, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return v
}

// Starts is what starts found untried, and what became of it so far.
func (r *Referee) Starts() Starts { return r.starts }

func (r *Referee) convict(rule Rule, h *handIn, relay, endpoint int, format string, a ...any) {
	v := Violation{
		Rule: rule, At: r.now, Message: -1, Relay: relay, Endpoint: endpoint, Evidence: fmt.Sprintf(format, a...),
	}
	if h != nil {
		v.Message, v.ID = h.num, h.id
	}
	r.found = append(r.found, v)
}

func (r *Referee) end(i int) *Endpoint {
	if i < 0 || i >= len(r.f.Endpoints) {
		return &Endpoint{Name: "unknown", Dest: -1}
	}
	return &r.f.Endpoints[i]
}

// place finds what binds calls to an endpoint: its own where it is a route
// apart, else its destination's.
func (r *Referee) place(i int) *place {
	e := r.end(i)
	key := e.Dest
	if e.Apart {
		key = -2 - i
	}
	p := r.places[key]
	if p == nil {
		p = &place{waits: make([][]wait, r.f.Relays), out: map[int]bool{}, seen: make([]Time, r.f.Relays), ends: 1}
		if !e.Apart {
			p.ends = 0
			for _, x := range r.f.Endpoints {
				if x.Dest == e.Dest && !x.Apart {
					p.ends++
				}
			}
		}
		r.places[key] = p
	}
	return p
}

// known reports whether the event names a relay that there is.
func (r *Referee) known(i int) bool { return i >= 0 && i < len(r.relays) }

// Step takes the next event. Moments never go back.
func (r *Referee) Step(e event.Event) {
	r.overdue(e.At)
	r.now = max(r.now, e.At)
	if ofRelay(e.Kind) && !r.known(e.Relay) {
		return
	}
	switch e.Kind {
	case event.HandIn:
		r.handIn(&e)
	case event.Accepted, event.Refused, event.Failed, event.GivenUp, event.CutOff:
		r.heard(&e)
	case event.CallFirst:
		r.callFirst(&e)
	case event.CallBegan:
		r.callBegan(&e)
	case event.CallEnded:
		r.callEnded(&e)
	case event.Ran:
		r.effect(&e)
	case event.Probed:
		r.waited(nil, e.Relay, e.Endpoint, "a probe")
	case event.ProbeDone:
		if e.Status != event.StatusDelivered {
			r.saw(e.Relay, e.Endpoint)
		}
	case event.Noticed:
		r.noticed(&e)
	case event.Told:
		r.told(&e)
	case event.Outage:
		r.outage(&e)
	case event.Back:
		delete(r.place(e.Endpoint).out, e.Endpoint)
	case event.Fell:
		r.fell(&e)
	case event.Stopping:
		r.relays[e.Relay].down = true
	case event.Killed:
		r.relays[e.Relay].down = true
		r.forget(e.Relay)
	case event.Ready:
		r.ready(e.Relay)
	case event.Stray:
		r.stray(&e)
	}
}

// ofRelay reports whether events of a kind name a relay.
func ofRelay(kind event.Kind) bool {
	switch kind {
	case event.HandIn, event.CallFirst, event.CallBegan, event.Probed, event.ProbeDone, event.Told, event.Stopping,
		event.Killed, event.Ready, event.Noticed:
		return true
	}
	return false
}

// told: a relay's list says where an endpoint stands.
func (r *Referee) told(e *event.Event) {
	gone := r.relays[e.Relay].gone
	if e.Status == event.ToldUp {
		delete(gone, e.Endpoint)
	} else if _, ok := gone[e.Endpoint]; !ok {
		gone[e.Endpoint] = r.now
	}
}

// outage: an endpoint fails.
func (r *Referee) outage(e *event.Event) {
	p := r.place(e.Endpoint)
	if len(p.out) == 0 {
		clear(p.seen)
		p.hidden = 0
	}
	p.out[e.Endpoint] = true
	p.hidden += e.Status
}

// ready: a relay serves, for the first time or again.
func (r *Referee) ready(relay int) {
	x := &r.relays[relay]
	if x.down {
		r.restarted(relay)
	}
	x.down, x.grace = false, r.now+r.f.RestartGrace
}

// stray: a call for a message that there is not.
func (r *Referee) stray(e *event.Event) {
	r.found = append(r.found, Violation{
		Rule: Strays, At: r.now, Message: -1, ID: e.ID, Relay: e.Relay, Endpoint: e.Endpoint,
		Evidence: fmt.Sprintf("relay %d called %s for a message that nobody handed in", e.Relay,
			r.end(e.Endpoint).Name),
	})
}

// Finish judges what is open at the end of the record.
func (r *Referee) Finish(at Time) {
	for i := range r.relays {
		r.relays[i].down = false
	}
	r.overdue(at)
	if s := r.starts; s.Untried >= r.f.UntriedLeast && float64(s.Ended) > r.f.EndedUntried*float64(s.Untried) {
		r.now = max(r.now, at)
		r.convict(
			Untried,
			nil,
			-1,
			-1,
			"of %d messages that starts found taken on and untried, with half of their time left, %d were ended "+
				"with no call",
			s.Untried,
			s.Ended,
		)
	}
}

// restarted: a relay serves again after a kill or a planned end, on what it had
// taken on before.
func (r *Referee) restarted(relay int) {
	for _, h := range r.ids {
		if h.relay == relay && h.state == accepted && !h.finished() && len(h.calls) == 0 && !h.untried &&
			2*(h.due-r.now) >= h.due-h.at {
			h.untried = true
			r.starts.Untried++
		}
	}
}

// forget: a process has ended, and with it what it was told.
func (r *Referee) forget(relay int) {
	clear(r.relays[relay].gone)
	for _, p := range r.places {
		p.waits[relay] = nil
	}
}

func (r *Referee) handIn(e *event.Event) {
	if e.Message < 0 || e.Message >= len(r.f.Messages) || r.ids[e.ID] != nil {
		return // the driver's own mistake, not a relay's
	}
	h := &handIn{id: e.ID, num: e.Message, relay: e.Relay, at: r.now, due: r.now + e.Left, notice: -1}
	r.ids[e.ID] = h
	r.byNum[h.num] = append(r.byNum[h.num], h)
	// Calls that a dead endpoint refuses leave no trace here. Where all of a
	// destination is so, a relay that is handed a message for it is taken to
	// have seen that.
	for key, p := range r.places {
		if p.hidden > 0 && len(p.out) == p.ends && r.holds(key, r.f.Messages[h.num].Dest) && p.seen[e.Relay] == 0 {
			p.seen[e.Relay] = 1 + r.now
		}
	}
}

// holds reports whether the place of a key serves a destination.
func (r *Referee) holds(key, dest int) bool {
	if key <= -2 {
		return r.end(-2-key).Dest == dest
	}
	return key == dest
}

// heard: the client has its answer, or none.
func (r *Referee) heard(e *event.Event) {
	h := r.ids[e.ID]
	if h == nil || h.state != open {
		return
	}
	h.heardAt = r.now
	switch e.Kind {
	case event.Accepted:
		h.state = accepted
		if m := r.f.Messages[h.num]; r.f.Classes[m.Class].InOrder && m.Thread != 0 {
			t := thread{h.relay, m.Thread}
			r.threads[t] = append(r.threads[t], h)
		}
		if !h.finished() {
			heap.Push(&r.due, due{h.due + r.f.EndSlack + r.f.Slack, h})
		}
	case event.Refused:
		h.state = refused
		r.assured(h, "its client heard a refusal")
	case event.Failed:
		h.state = failed
	case event.GivenUp:
		h.state = void
	case event.CutOff:
		h.state = void
		// A new connection that a crowded relay closes has failed its client
		// and lost nothing: that shows in service.
		if x := &r.relays[h.relay]; !x.down && r.now >= x.grace && e.Status == 0 {
			r.convict(
				Missing, h, h.relay, -1,
				"relay %d ended the client's connection with no answer %d ms after the request", h.relay,
				(r.now-h.at)/1000,
			)
		}
	}
}

// assured: a refusal says that a fresh try does no harm.
func (r *Referee) assured(h *handIn, what string) {
	if r.f.Classes[r.f.Messages[h.num].Class].Repeat != Unsafe {
		return
	}
	for _, c := range h.calls {
		if c.doubt() {
			r.convict(
				Once, h, h.relay, c.endpoint, "%s, though a call to %s at %.3f s may have run (%s)", what,
				r.end(c.endpoint).Name, sec(c.began), c.how(),
			)
			return
		}
	}
}

func sec(t Time) float64 { return float64(t) / 1e6 }
