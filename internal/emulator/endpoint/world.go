package endpoint

import (
	"container/heap"

	"troutusher/internal/event"
)

// Message is what a stand-in knows of a message that calls may bring.
type Message struct {
	Num   int // in the plan; its service times are drawn for it
	Class int
	Dest  int
	Over  bool // nothing more is owed for the hand-in
}

// Rules are the figures that hold for every partner.
type Rules struct {
	Relays      int
	Slots       int // calls that a relay may have out at once; 0 for any number
	MaxAttempts int // calls for one hand-in; 0 for any number
}

// Conn names a connection. 0 is none.
type Conn uint64

// Listen says how an endpoint meets new connections.
type Listen uint8

// Ways to meet new connections.
const (
	Accepting Listen = iota
	Refusing         // no listener
	Silent           // they never come up
)

// EffectKind says what an Effect asks for.
type EffectKind uint8

// Kinds of effect.
const (
	DoAnswer EffectKind = iota // write an answer on Conn: Status, Wait, Form; then Close
	DoReset                    // reset Conn
	DoClose                    // close Conn
	DoListen                   // Endpoint meets new connections as Listen says
)

// Effect is something that the model asks of its driver.
type Effect struct {
	Kind     EffectKind
	Conn     Conn
	Endpoint int
	Status   int
	Wait     Time
	Slots    bool // the answer says that all slots of this relay were taken
	Form     Form
	Close    bool
	Listen   Listen
}

// World is all partners of a rehearsal.
type World struct {
	seed     uint64
	rules    Rules
	lookup   func(id string) (Message, bool)
	emit     func(event.Event)
	parts    []*part
	ends     []*endpoint
	conns    map[Conn]*conn
	lastConn Conn
	lastCall uint64
	tries    map[string]int
	out      []int // calls of each relay
	agenda   agenda
	seq      uint64
	now      Time
	effects  []Effect
	keySweep Time
}

// New makes the world. lookup tells of messages that were handed in; emit
// takes what happens, in order.
func New(
	specs []Spec, rules Rules, seed uint64, lookup func(id string) (Message, bool), emit func(event.Event),
) (*World, error) {
	w := &World{
		seed: seed, rules: rules, lookup: lookup, emit: emit, conns: map[Conn]*conn{}, tries: map[string]int{},
		out: make([]int, rules.Relays),
	}
	for _, s := range specs {
		if err := s.check(); err != nil {
			return nil, err
		}
		p := &part{Spec: s, limit: newBucket(s.Limit), keys: map[string]Time{}}
		slots, pace := s.slots()
		shared := &yard{}
		for range s.Endpoints {
			ep := &endpoint{
				num: len(w.ends), part: p, slots: slots, pace: pace, conns: map[Conn]*conn{}, speed: 1, limit: p.limit,
				yard: shared,
			}
			if s.Apart {
				ep.limit, ep.yard = newBucket(s.Limit), &yard{}
			}
			ep.yard.ends = append(ep.yard.ends, ep)
			w.ends = append(w.ends, ep)
		}
		w.parts = append(w.parts, p)
	}
	return w, nil
}

// Endpoints is the number of endpoints; they are numbered from 0 in the
// partners' order.
func (w *World) Endpoints() int { return len(w.ends) }

// Dest is the destination of an endpoint.
func (w *World) Dest(ep int) int { return w.ends[ep].part.Dest }

// Capacity is what an endpoint can do at a moment, in calls a second. Slow
// faults are not counted: the rule on returning destinations is about being cold.
func (w *World) Capacity(ep int, now Time) float64 {
	e := w.ends[ep]
	return e.part.Capacity * e.warmth(now)
}

// Next is the moment at which the model wants to be stepped; false for none.
func (w *World) Next() (Time, bool) {
	if len(w.agenda) == 0 {
		return 0, false
	}
	return w.agenda[0].at, true
}

// Advance carries out all that is due at now. Moments never go back.
func (w *World) Advance(now Time) {
	for len(w.agenda) > 0 && w.agenda[0].at <= now {
		it := heap.Pop(&w.agenda).(item)
		w.now = max(w.now, it.at)
		it.do()
	}
	w.now = max(w.now, now)
}

// Take hands over the effects so far.
func (w *World) Take(into []Effect) []Effect {
	into = append(into, w.effects...)
	clear(w.effects)
	w.effects = w.effects[:0]
	return into
}

func (w *World) after(d Time, do func()) {
	w.seq++
	heap.Push(&w.agenda, item{w.now + max(d, 0), w.seq, do})
}

func (w *World) say(e event.Event) {
	e.At = w.now
	w.emit(e)
}
