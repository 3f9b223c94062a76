package decide

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// What a policy remembers; nothing is decided here.

// Policy decides for one relay.
type Policy struct {
	set     Settings
	rng     *rand.Rand
	now     Time
	out     []Action
	dests   []*dest // by number
	eps     map[Endpoint]*endpoint
	msgs    map[uint32]*message
	live    []*message // not yet ended
	lines   map[uint64]*line
	later   agenda[func()] // what is put off
	touched []*dest        // to be looked at in this turn
	ready   []*dest        // wait for nothing but a slot
	tenants []bucket
	woken   bucket // destinations that may still wake before many do together
	calls   int
	aloft   int // messages not ended with an attempt out
	armed   Time
	asked   Time
	share   float64   // what a destination's rate is divided by for this relay's part
	passes  int       // looks over all that is held so far
	looks   int       // how often it was asked when a destination opens: the dear part of a turn
	tight   []float64 // share of calls that found no connection, by kind of destination
	lat     latency   // of all answers
	pressed Time      // since when messages wait and every slot is taken; 0 for not
}

// dest is a destination: a queue, and a lane for each thing that limits it.
type dest struct {
	id      int
	kind    Kind
	kindAt  int // its place in the settings
	lanes   []*lane
	queue   []*message
	flying  int
	touched bool
	wakeAt  Time // next moment in wakes
	pass    int  // the look that doneAt was found in
	doneAt  Time // when what waits now will have gone
	pick    *message
	pickAt  *endpoint
	pickVal float64
}

// lane is what one limit, one wait and one history bind: a destination, or a route where they are apart.
type lane struct {
	dest       *dest
	eps        []*endpoint
	hist       counter
	window     float64
	flying     int
	waitUntil  Time // told to wait
	pauseUntil Time // refused without a wait, or a draw was dropped
	nominal    float64
	limit      float64
	boost      float64
	cut        float64 // pace after the last refusal, which was at cutAt; 0 for none
	cutAt      Time
	tokens     bucket
	bound      bool // the pace, not the traffic, decided when the last call went
	fullRun    int
	fullAt     Time // the first of the run
	lat        latency
}

// endpoint is one address, with what this relay saw of its health.
type endpoint struct {
	id        Endpoint
	zone      int
	lane      *lane
	state     Readiness
	flying    int
	conns     int
	restUntil Time // failing, but not yet held to be out
	idleAt    Time // end of the last call
	watched   bool // a look at its idle connections is put off
	score     float64
	sick      bool
	firstBad  Time
	badAt     Time
	goodAt    Time // first success since the last failure; 0 for none
	goodSent  Time
	okAt      Time
	budget    bucket
	need      float64 // what the next call takes out of the budget
	missedAt  Time    // last call that found no connection, where none that was out then has been answered yet
	mute      bool    // the last failure was a silence, not an answer
	opening   float64 // what a connection takes, in calls
	barred    Time    // until then its identity is not proved
	lat       latency
}

// message is held until it is ended, and known until its last attempt is over.
type message struct {
	id       uint32
	key      uint64
	class    *Class
	dest     *dest
	aimAt    Time
	deadline Time
	worth    float64
	loss     float64 // by waiting, when its destination was last looked at
	over     bool
	owed     bool // an earlier process took it on and never tried it; until it has been tried
	place    int  // in Policy.live
	tries    int
	void     int       // of them, never left the relay
	doubtAt  Time      // send of the first attempt that may have run; 0 for none
	doubtIn  int       // its zone
	failedAt *endpoint // where its last attempt failed
	call     *call
}

// call is one call out, with the messages that share it.
type call struct {
	ep    *endpoint
	sent  Time
	left  int
	opens bool // a connection was paid for
	noted bool
	msgs  []*message
}

// line is the turn of one key in the classes that keep order.
type line struct {
	turns []*message
	rest  Time
}

func (p *Policy) act(a Action) { p.out = append(p.out, a) }

func (p *Policy) dest(id int) *dest {
	at, ok := slices.BinarySearchFunc(p.dests, id, func(d *dest, id int) int { return d.id - id })
	if !ok {
		p.dests = slices.Insert(p.dests, at, &dest{id: id, kind: Kind{Batch: 1}})
	}
	return p.dests[at]
}

// known finds a destination; nil where there is none.
func (p *Policy) known(id int) *dest {
	at, ok := slices.BinarySearchFunc(p.dests, id, func(d *dest, id int) int { return d.id - id })
	if !ok {
		return nil
	}
	return p.dests[at]
}

// drop forgets a destination for which nothing waits. What was put off for it finds nothing to do.
func (p *Policy) drop(d *dest) {
	for _, l := range d.lanes {
		for _, ep := range l.eps {
			if ep.state = Gone; p.eps[ep.id] == ep {
				delete(p.eps, ep.id)
			}
		}
	}
	p.dests = slices.DeleteFunc(p.dests, func(x *dest) bool { return x == d })
}

// resume gives a message that an earlier process took on its past back. It may have nothing left but its end.
func (p *Policy) resume(m *message, e *Event) {
	if m.tries = e.Tries; m.tries > 0 {
		p.later.add(p.now, func() { p.look(m) })
	}
	if e.DoubtAt > 0 {
		p.doubt(m, e.DoubtAt, e.DoubtIn)
	}
}

// doubt keeps the first attempt of a message that may have run; the message is looked at when its window ends.
func (p *Policy) doubt(m *message, sent Time, zone int) {
	m.doubtAt, m.doubtIn = sent, zone
	p.later.add(max(m.doubtAt+m.class.DedupWindow-2*p.set.Tick+1, p.now+1), func() { p.look(m) })
}

// Worth is what a held message is worth in time; 0 for one that is not held.
func (p *Policy) Worth(id uint32) float64 {
	if m := p.msgs[id]; m != nil {
		return m.worth
	}
	return 0
}

func (p *Policy) logf(format string, args ...any) {
	p.act(Action{Kind: ActLog, Text: fmt.Sprintf(format, args...)})
}
