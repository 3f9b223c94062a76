// Package places decides who holds a place: which connection of a client is
// accepted, left in the listen queue or turned away, and which one is closed
// for another, or because its time is over.
//
// It owns the stages that a connection goes through, their time limits, and the
// number of places that each sort may hold. It must never touch a socket, look
// at a clock or begin a goroutine: it is told what happened and when, and gives
// orders that a driver carries out before it tells the next thing. It knows
// nothing of what a message says, and refuses none: that is decide's.
//
// Every order names the rule that allows it; docs/design/connections.md says
// where each rule comes from.
package places

import (
	"fmt"

	"troutusher/internal/wheel"
)

// Time is a moment or a span in microseconds, of whatever clock the driver has.
type Time = int64

// ID is the number of a place. It is given out again once its connection has
// gone.
type ID uint32

// Limits are what the places are given out by. Numbers are of connections.
type Limits struct {
	Places    int // open at once, whatever they do
	Strangers int // of them, those that have sent nothing of use yet
	Held      int // that have asked for something before those that asked once make room

	First Time // from a connection to its first whole command
	Whole Time // from a later command's first byte to its last
	Quiet Time // without a command
	// Unread is how long one that is new is left alone: what it sent may not
	// have been read yet.
	Unread Time
	// Near is how long the head of the listen queue is left there for somebody
	// who can be let go by then.
	Near Time
	// Patience is how long the queue may stand while all places are taken by
	// commands under way; then its head is turned away and may go elsewhere.
	Patience Time
	Tick     Time // how exactly time limits are kept
}

// Default gives the limits for a number of places out of so many descriptors.
func Default(places, descriptors int) Limits {
	return Limits{
		Places: places, Strangers: max(places/2, 1),
		// Clients hold a third of the descriptors at most for requests. When
		// they sit on all of these, idle, they open no other and ask nothing.
		Held: max(descriptors/3*3/4, 1),
		// Some write a command over 2 s and are to be served; one that never ends
		// it is owed an error within 3 s of connecting.
		First: 2600e3, Whole: 2600e3, Quiet: 4e6,
		Unread: 20e3, Near: 50e3, Patience: 300e3, Tick: 10e3,
	}
}

// Refuse tells whether a request that waited so long for its turn is refused
// unread, and when its client is to come again: a client waits 400 ms for an
// answer, and one that comes later counts for nothing. The time to come back is
// what the queue before it takes, at each so long a turn, and as much again
// since others wait as well.
func (l *Limits) Refuse(waited Time, queued int, each Time) (comeBack Time, refuse bool) {
	if waited < l.Patience {
		return 0, false
	}
	return max(2*Time(queued)*each, 200e3), true
}

// Check tells of limits that cannot be.
func (l *Limits) Check() error {
	for _, x := range []struct {
		name  string
		value int64
	}{{"places", int64(l.Places)}, {"strangers", int64(l.Strangers)}, {"held", int64(l.Held)}, {"first", l.First},
		{"whole", l.Whole}, {"quiet", l.Quiet}, {"tick", l.Tick}} {
		if x.value < 1 {
			return fmt.Errorf("places: %s: %d, want 1 or more", x.name, x.value)
		}
	}
	return nil
}

// Stage is what a connection is doing.
type Stage uint8

// Stages. A stranger is one that has sent nothing of use yet.
const (
	Vacant  Stage = iota // no connection
	Silent               // a stranger with nothing under way
	Half                 // in the middle of a command
	Asking               // a whole command that is not answered yet
	Wrong                // a stranger whose fault is being answered
	Once                 // idle, asked for something once
	Idle                 // idle, asked more often, or only whether the relay is there
	Leaving              // let go; a command that crossed that is still answered
	stages
)

var stageNames = [stages]string{"vacant", "silent", "half", "asking", "wrong", "once", "idle", "leaving"}

func (s Stage) String() string { return stageNames[s] }

// What is what a whole command was.
type What uint8

// Whole commands.
const (
	Useless What = iota // it cannot be used
	Useful              // understood, and asks for nothing that costs (PING)
	Request             // hands something in
)

// Rule is why a connection is closed.
type Rule uint8

// Rules; each says what allows it.
const (
	// RuleFirst: nothing whole came within First. A connection on which no
	// request is open may be closed after 2 s.
	RuleFirst Rule = iota + 1
	// RuleQuiet: no command for Quiet; the same.
	RuleQuiet
	// RuleUnfinished: a command begun was not ended in time. Such a client is
	// owed an error or a close within 3 s of connecting.
	RuleUnfinished
	// RuleSilent: its place is needed and it has sent nothing. A relay may
	// close a connection between requests.
	RuleSilent
	// RuleWrong: its place is needed and what it sent cannot be used. It is
	// owed an error or a close.
	RuleWrong
	// RuleOnce: clients sit on nearly all connections that they may hold, and
	// it asked once. A relay may close a connection between requests.
	RuleOnce
	// RuleIdle: its place is needed and it is idle for longest; the same.
	RuleIdle
	// RuleStop: the relay ends or is drained; the same.
	RuleStop
	rules
)

var ruleNames = [rules]string{"", "first command out of time", "idle out of time", "command unfinished", "silent makes room",
	"faulty makes room", "asked once makes room", "idle makes room", "relay ends"}

func (r Rule) String() string { return ruleNames[r] }

// Order is what the driver is to do with a connection. It looks once more
// whether something has come that it has not told of: then it tells of that
// and closes after the answer, but under RuleUnfinished and RuleWrong, where
// the connection ends as it is.
type Order struct {
	ID  ID
	Why Rule
}

// Verdict is what becomes of the connection at the head of the listen queue.
type Verdict uint8

// Verdicts.
const (
	Accept   Verdict = iota // accept it and say Enter
	Again                   // carry out the orders, then knock again
	Leave                   // leave it there, until the time that came with this or until somebody has gone
	TurnAway                // accept it and close it at once
)

const leavingMost = 8 // let go and still answered, before somebody else is let go for the same reason

type place struct {
	next, prev int32
	since      Time // of the stage
	asked      uint32
	stage      Stage
	known      bool
	spoke      bool // has sent a whole command
	open       uint8
}

type list struct {
	first, last int32
	n           int
}

// Book is the account of all places. Its methods are not safe for several
// goroutines; times must not go back.
type Book struct {
	l         Limits
	places    []place
	free      []ID
	lists     [stages]list
	strangers int
	asked     int // connections that have asked and are not let go
	used      int
	stopping  bool
	standing  Time // since when the listen queue stands; 0 for not
	paused    Time // no accept before this
	wheel     *wheel.Wheel
	orders    []Order
	due       []uint32
	closed    [rules]uint64
}

// New makes an account with no connection in it.
func New(l Limits, now Time) (*Book, error) {
	if err := l.Check(); err != nil {
		return nil, err
	}
	b := &Book{l: l, wheel: wheel.New(l.Tick, now)}
	for i := range b.lists {
		b.lists[i] = list{first: -1, last: -1}
	}
	return b, nil
}

// Used is how many places are taken.
func (b *Book) Used() int { return b.used }

// Count is how many connections are in a stage.
func (b *Book) Count(s Stage) int { return b.lists[s].n }

// Strangers is how many have sent nothing of use yet.
func (b *Book) Strangers() int { return b.strangers }

// Closed is how many were closed by a rule.
func (b *Book) Closed(r Rule) uint64 { return b.closed[r] }

// Stage is what a connection is doing.
func (b *Book) Stage(id ID) Stage { return b.places[id].stage }

// Orders hands over what is to be done, in order. The slice holds until the
// next call of any method.
func (b *Book) Orders() []Order {
	o := b.orders
	b.orders = b.orders[:0]
	return o
}

func (b *Book) unlink(id ID) {
	p := &b.places[id]
	l := &b.lists[p.stage]
	if p.prev >= 0 {
		b.places[p.prev].next = p.next
	} else {
		l.first = p.next
	}
	if p.next >= 0 {
		b.places[p.next].prev = p.prev
	} else {
		l.last = p.prev
	}
	l.n--
}

// move puts a connection last in a stage, since now.
func (b *Book) move(id ID, s Stage, now Time) {
	if b.places[id].stage != Vacant {
		b.unlink(id)
	}
	p := &b.places[id]
	p.stage, p.since = s, now
	l := &b.lists[s]
	p.next, p.prev = -1, l.last
	if l.last >= 0 {
		b.places[l.last].next = int32(id)
	} else {
		l.first = int32(id)
	}
	l.last = int32(id)
	l.n++
}

// oldest is the first of a stage that has been in it for so long.
func (b *Book) oldest(s Stage, now, age Time) (ID, bool) {
	first := b.lists[s].first
	if first < 0 || now-b.places[first].since < age {
		return 0, false
	}
	return ID(first), true
}

// longestIdle is the known connection that has had nothing under way for
// longest.
func (b *Book) longestIdle() (best ID, have bool) {
	for _, s := range []Stage{Idle, Once} {
		if first := b.lists[s].first; first >= 0 && (!have || b.places[first].since < b.places[best].since) {
			best, have = ID(first), true
		}
	}
	return best, have
}

// order has a connection closed, which from then on makes no claim.
func (b *Book) order(id ID, why Rule, now Time) {
	p := &b.places[id]
	if p.stage != Leaving {
		if !p.known {
			b.strangers--
		}
		if p.asked > 0 {
			b.asked--
		}
		b.move(id, Leaving, now)
	}
	b.wheel.Cancel(uint32(id))
	b.closed[why]++
	b.orders = append(b.orders, Order{id, why})
}

// Crowded reports whether somebody else would have to go for a newcomer.
func (b *Book) Crowded() bool { return b.used >= b.l.Places || b.strangers >= b.l.Strangers }

// Knock asks what becomes of the head of the listen queue; there must be one.
// With Leave comes
// the time at which to ask again at the latest.
func (b *Book) Knock(now Time) (Verdict, Time) {
	if now < b.paused {
		return Leave, b.paused
	}
	full, crowd := b.used >= b.l.Places, b.strangers >= b.l.Strangers
	if !full && !crowd {
		return Accept, 0
	}
	if b.lists[Leaving].n >= leavingMost {
		return b.wait(now, full, now+b.l.Near) // places are on their way
	}
	if id, ok := b.oldest(Silent, now, b.l.Unread); ok {
		b.order(id, RuleSilent, now)
		return Again, 0
	}
	if id, ok := b.oldest(Wrong, now, b.l.Unread); ok {
		b.order(id, RuleWrong, now)
		return Again, 0
	}
	if !crowd {
		// Clients open another when they need it.
		if id, ok := b.longestIdle(); ok {
			b.order(id, RuleIdle, now)
			return Again, 0
		}
	}
	next := Time(1 << 62)
	for _, s := range []Stage{Silent, Wrong} {
		if first := b.lists[s].first; first >= 0 {
			next = min(next, b.places[first].since+b.l.Unread)
		}
	}
	return b.wait(now, full, next)
}

// wait leaves the head where it is, if somebody can be let go for it soon, or
// the places are taken by commands that will be answered; else it is told now.
func (b *Book) wait(now Time, full bool, next Time) (Verdict, Time) {
	if next <= now+b.l.Near {
		return Leave, next
	}
	if full && b.lists[Asking].n+b.lists[Leaving].n > 0 {
		if b.standing == 0 {
			b.standing = now
		}
		if until := b.standing + b.l.Patience; now < until {
			return Leave, min(next, until)
		}
	}
	return TurnAway, 0
}

// Drained is told when the listen queue is empty.
func (b *Book) Drained() { b.standing = 0 }

// Exhausted is told when the process, or the machine, had no descriptor for
// the head of the queue. The one that has been idle for longest is let go, and
// nobody is accepted for a while: asking again at once would only spin.
func (b *Book) Exhausted(now Time) {
	b.paused = now + b.l.Near
	if id, ok := b.oldest(Silent, now, b.l.Unread); ok {
		b.order(id, RuleSilent, now)
	} else if id, ok := b.longestIdle(); ok {
		b.order(id, RuleIdle, now)
	}
}

// Enter books a connection that was accepted.
func (b *Book) Enter(now Time) ID {
	var id ID
	if n := len(b.free); n > 0 {
		id, b.free = b.free[n-1], b.free[:n-1]
		b.places[id] = place{}
	} else {
		id = ID(len(b.places))
		b.places = append(b.places, place{})
	}
	b.used++
	b.strangers++
	b.move(id, Silent, now)
	b.wheel.Set(uint32(id), now+b.l.First)
	return id
}

// Kept is what another account needs to know of a connection.
type Kept struct {
	Known bool
	Spoke bool
	Asked uint32
	Left  Time // of its time limit
}

// Keep tells of a connection what another account needs to go on with it.
func (b *Book) Keep(id ID, now Time) Kept {
	p := &b.places[id]
	limit := b.l.Quiet
	switch {
	case p.stage == Half && p.spoke:
		limit = b.l.Whole
	case !p.spoke:
		limit = b.l.First
	}
	return Kept{p.known, p.spoke, p.asked, max(limit-(now-p.since), b.l.Tick)}
}

// Adopt books a connection that another account kept. It claims its place like
// any other: one that is let go for want of room is told by an order.
func (b *Book) Adopt(k Kept, now Time) ID {
	id := b.Enter(now)
	p := &b.places[id]
	p.known, p.spoke, p.asked = k.Known, k.Spoke, k.Asked
	if k.Known {
		b.strangers--
		stage := Idle
		if k.Asked == 1 {
			stage = Once
		}
		b.move(id, stage, now)
	}
	if k.Asked > 0 {
		b.asked++
	}
	b.wheel.Set(uint32(id), now+max(min(k.Left, max(b.l.First, b.l.Quiet)), b.l.Tick))
	return id
}

// Begin is told when the first byte of a command has come.
func (b *Book) Begin(id ID, now Time) {
	p := &b.places[id]
	switch {
	case p.stage == Leaving:
		b.wheel.Set(uint32(id), now+b.l.First)
	case p.spoke:
		b.move(id, Half, now)
		b.wheel.Set(uint32(id), now+b.l.Whole)
	default: // a first command has the time that its connection has
		b.move(id, Half, now)
	}
}

// Whole is told when a command has been read to its end.
func (b *Book) Whole(id ID, what What, now Time) {
	p := &b.places[id]
	p.spoke = true
	leaving := p.stage == Leaving
	if what != Useless && !p.known {
		p.known = true
		if !leaving {
			b.strangers--
		}
	}
	if what == Request {
		if p.asked++; p.asked == 1 && !leaving {
			b.asked++
		}
	}
	b.wheel.Cancel(uint32(id))
	switch {
	case leaving:
	case p.known:
		b.move(id, Asking, now)
	default:
		b.move(id, Wrong, now)
	}
}

// Answered is told when a command's answer has been written.
func (b *Book) Answered(id ID, now Time) {
	p := &b.places[id]
	switch {
	case p.stage == Leaving:
		b.orders = append(b.orders, Order{id, RuleStop})
		return
	case !p.known:
		b.move(id, Silent, now)
	case p.asked == 1:
		b.move(id, Once, now)
	default:
		b.move(id, Idle, now)
	}
	if b.stopping {
		b.order(id, RuleStop, now)
		return
	}
	b.wheel.Set(uint32(id), now+b.l.Quiet)
	if b.asked > b.l.Held {
		if once, ok := b.oldest(Once, now, 0); ok {
			b.order(once, RuleOnce, now)
		}
	}
}

// Gone is told when a connection's descriptor is free again, for whatever
// reason.
func (b *Book) Gone(id ID) {
	p := &b.places[id]
	if p.stage != Leaving {
		if !p.known {
			b.strangers--
		}
		if p.asked > 0 {
			b.asked--
		}
	}
	b.unlink(id)
	p.stage = Vacant
	b.wheel.Cancel(uint32(id))
	b.used--
	b.free = append(b.free, id)
}

// Resume has connections kept again; those let go by then still leave.
func (b *Book) Resume() { b.stopping = false }

// Stop lets go of all that have nothing under way, and of the others after
// their answers, until Resume.
func (b *Book) Stop(now Time) {
	b.stopping = true
	for _, s := range []Stage{Silent, Once, Idle} {
		for b.lists[s].first >= 0 {
			b.order(ID(b.lists[s].first), RuleStop, now)
		}
	}
}

// Advance goes on to now: what is out of time is closed. It looks at most at
// so many, and tells whether it is to be called again.
func (b *Book) Advance(now Time, most int) (more bool) {
	b.due, more = b.wheel.Advance(now, most, b.due[:0])
	for _, n := range b.due {
		id := ID(n)
		switch p := &b.places[id]; p.stage {
		case Silent:
			if p.spoke {
				b.order(id, RuleQuiet, now)
			} else {
				b.order(id, RuleFirst, now)
			}
		case Once, Idle:
			b.order(id, RuleQuiet, now)
		case Half, Leaving:
			b.order(id, RuleUnfinished, now)
		}
	}
	return more
}

// Next is the time by which to call Advance; false where nobody's time runs.
func (b *Book) Next() (Time, bool) { return b.wheel.Next() }
