// Package connlimit decides who holds a place: which connection of a client is
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
package connlimit

import (
	"fmt"

	"troutusher/internal/timerwheel"
)

// Time is a moment or a span in microseconds, of whatever clock the driver has.
type Time = int64

// SlotID is the number of a place. It is given out again once its connection has
// gone.
type SlotID uint32

// Limits are what the places are given out by. Numbers are of connections.
type Limits struct {
	MaxConns                   int // open at once, whatever they do
	MaxUnvalidated             int // of them, those that have sent nothing of use yet
	SingleUseEvictionThreshold int // that have asked for something before those that asked once make room

	FirstCommandTimeout Time // from a connection to its first whole command
	CommandTimeout      Time // from a later command's first byte to its last
	IdleTimeout         Time // without a command
	// EvictionGrace is how long one that is new is left alone: what it sent may not
	// have been read yet.
	EvictionGrace Time
	// EvictionWait is how long the head of the listen queue is left there for somebody
	// who can be let go by then.
	EvictionWait Time
	// MaxQueueWait is how long the queue may stand while all places are taken by
	// commands under way; then its head is turned away and may go elsewhere.
	MaxQueueWait Time
	TimerTick    Time // how exactly time limits are kept
}

// DefaultLimits gives the limits for a number of places out of so many descriptors.
func DefaultLimits(places, descriptors int) Limits {
	return Limits{
		MaxConns: places, MaxUnvalidated: max(places/2, 1),
		// Clients hold a third of the descriptors at most for requests. When
		// they sit on all of these, idle, they open no other and ask nothing.
		SingleUseEvictionThreshold: max(descriptors/3*3/4, 1),
		// Some write a command over 2 s and are to be served; one that never ends
		// it is owed an error within 3 s of connecting.
		FirstCommandTimeout: 2600e3, CommandTimeout: 2600e3, IdleTimeout: 4e6,
		EvictionGrace: 20e3, EvictionWait: 50e3, MaxQueueWait: 300e3, TimerTick: 10e3,
	}
}

// ShedRequest tells whether a request that waited so long for its turn is refused
// unread, and when its client is to come again: a client waits 400 ms for an
// answer, and one that comes later counts for nothing. The time to come back is
// what the queue before it takes, at each so long a turn, and as much again
// since others wait as well.
func (l *Limits) ShedRequest(waited Time, queued int, each Time) (comeBack Time, refuse bool) {
	if waited < l.MaxQueueWait {
		return 0, false
	}
	return max(2*Time(queued)*each, 200e3), true
}

// Validate tells of limits that cannot be.
func (l *Limits) Validate() error {
	for _, x := range []struct {
		name  string
		value int64
	}{{"places", int64(l.MaxConns)}, {"strangers", int64(l.MaxUnvalidated)}, {"held", int64(l.SingleUseEvictionThreshold)}, {"first", l.FirstCommandTimeout},
		{"whole", l.CommandTimeout}, {"quiet", l.IdleTimeout}, {"tick", l.TimerTick}} {
		if x.value < 1 {
			return fmt.Errorf("places: %s: %d, want 1 or more", x.name, x.value)
		}
	}
	return nil
}

// State is what a connection is doing.
type State uint8

// Stages. A stranger is one that has sent nothing of use yet.
const (
	StateFree            State = iota // no connection
	StateUnvalidated                  // a stranger with nothing under way
	StateReadingCommand               // in the middle of a command
	StateAwaitingReply                // a whole command that is not answered yet
	StateReplyingInvalid              // a stranger whose fault is being answered
	StateIdleSingleUse                // idle, asked for something once
	StateIdle                         // idle, asked more often, or only whether the relay is there
	StateDraining                     // let go; a command that crossed that is still answered
	stateCount
)

var stateNames = [stateCount]string{"vacant", "silent", "half", "asking", "wrong", "once", "idle", "leaving"}

func (s State) String() string { return stateNames[s] }

// CommandKind is what a whole command was.
type CommandKind uint8

// Whole commands.
const (
	CommandInvalid CommandKind = iota // it cannot be used
	CommandControl                    // understood, and asks for nothing that costs (PING)
	CommandRequest                    // hands something in
)

// CloseReason is why a connection is closed.
type CloseReason uint8

// Rules; each says what allows it.
const (
	// CloseFirstCommandTimeout: nothing whole came within First. A connection on which no
	// request is open may be closed after 2 s.
	CloseFirstCommandTimeout CloseReason = iota + 1
	// CloseIdleTimeout: no command for Quiet; the same.
	CloseIdleTimeout
	// CloseCommandTimeout: a command begun was not ended in time. Such a client is
	// owed an error or a close within 3 s of connecting.
	CloseCommandTimeout
	// CloseEvictUnvalidated: its place is needed and it has sent nothing. A relay may
	// close a connection between requests.
	CloseEvictUnvalidated
	// CloseEvictInvalid: its place is needed and what it sent cannot be used. It is
	// owed an error or a close.
	CloseEvictInvalid
	// CloseEvictSingleUse: clients sit on nearly all connections that they may hold, and
	// it asked once. A relay may close a connection between requests.
	CloseEvictSingleUse
	// CloseEvictIdle: its place is needed and it is idle for longest; the same.
	CloseEvictIdle
	// CloseShutdown: the relay ends or is drained; the same.
	CloseShutdown
	closeReasonCount
)

var closeReasonNames = [closeReasonCount]string{"", "first command out of time", "idle out of time", "command unfinished", "silent makes room",
	"faulty makes room", "asked once makes room", "idle makes room", "relay ends"}

func (r CloseReason) String() string { return closeReasonNames[r] }

// CloseAction is what the driver is to do with a connection. It looks once more
// whether something has come that it has not told of: then it tells of that
// and closes after the answer, but under RuleUnfinished and RuleWrong, where
// the connection ends as it is.
type CloseAction struct {
	Slot   SlotID
	Reason CloseReason
}

// Decision is what becomes of the connection at the head of the listen queue.
type Decision uint8

// Verdicts.
const (
	Admit  Decision = iota // accept it and say Enter
	Evict                  // carry out the orders, then knock again
	Wait                   // leave it there, until the time that came with this or until somebody has gone
	Reject                 // accept it and close it at once
)

const maxDraining = 8 // let go and still answered, before somebody else is let go for the same reason

type slot struct {
	next, prev  int32
	stateSince  Time // of the stage
	requests    uint32
	state       State
	validated   bool
	sentCommand bool // has sent a whole command
	open        uint8
}

type slotList struct {
	first, last int32
	length      int
}

// Limiter is the account of all places. Its methods are not safe for several
// goroutines; times must not go back.
type Limiter struct {
	limits            Limits
	slots             []slot
	freeSlots         []SlotID
	byState           [stateCount]slotList
	unvalidated       int
	withRequests      int // connections that have asked and are not let go
	inUse             int
	shuttingDown      bool
	queueBlockedSince Time // since when the listen queue stands; 0 for not
	admitAfter        Time // no accept before this
	timers            *timerwheel.Wheel
	closeActions      []CloseAction
	expired           []uint32
	closedByReason    [closeReasonCount]uint64
}

// New makes an account with no connection in it.
func New(l Limits, now Time) (*Limiter, error) {
	if err := l.Validate(); err != nil {
		return nil, err
	}
	b := &Limiter{limits: l, timers: timerwheel.New(l.TimerTick, now)}
	for i := range b.byState {
		b.byState[i] = slotList{first: -1, last: -1}
	}
	return b, nil
}

// InUse is how many places are taken.
func (b *Limiter) InUse() int { return b.inUse }

// Count is how many connections are in a stage.
func (b *Limiter) Count(s State) int { return b.byState[s].length }

// Unvalidated is how many have sent nothing of use yet.
func (b *Limiter) Unvalidated() int { return b.unvalidated }

// ClosedBy is how many were closed by a rule.
func (b *Limiter) ClosedBy(r CloseReason) uint64 { return b.closedByReason[r] }

// State is what a connection is doing.
func (b *Limiter) State(id SlotID) State { return b.slots[id].state }

// TakeCloseActions hands over what is to be done, in order. The slice holds until the
// next call of any method.
func (b *Limiter) TakeCloseActions() []CloseAction {
	o := b.closeActions
	b.closeActions = b.closeActions[:0]
	return o
}

func (b *Limiter) unlink(id SlotID) {
	p := &b.slots[id]
	l := &b.byState[p.state]
	if p.prev >= 0 {
		b.slots[p.prev].next = p.next
	} else {
		l.first = p.next
	}
	if p.next >= 0 {
		b.slots[p.next].prev = p.prev
	} else {
		l.last = p.prev
	}
	l.length--
}

// setState puts a connection last in a stage, since now.
func (b *Limiter) setState(id SlotID, s State, now Time) {
	if b.slots[id].state != StateFree {
		b.unlink(id)
	}
	p := &b.slots[id]
	p.state, p.stateSince = s, now
	l := &b.byState[s]
	p.next, p.prev = -1, l.last
	if l.last >= 0 {
		b.slots[l.last].next = int32(id)
	} else {
		l.first = int32(id)
	}
	l.last = int32(id)
	l.length++
}

// oldestIn is the first of a stage that has been in it for so long.
func (b *Limiter) oldestIn(s State, now, age Time) (SlotID, bool) {
	first := b.byState[s].first
	if first < 0 || now-b.slots[first].stateSince < age {
		return 0, false
	}
	return SlotID(first), true
}

// longestIdle is the known connection that has had nothing under way for
// longest.
func (b *Limiter) longestIdle() (best SlotID, have bool) {
	for _, s := range []State{StateIdle, StateIdleSingleUse} {
		if first := b.byState[s].first; first >= 0 && (!have || b.slots[first].stateSince < b.slots[best].stateSince) {
			best, have = SlotID(first), true
		}
	}
	return best, have
}

// closeSlot has a connection closed, which from then on makes no claim.
func (b *Limiter) closeSlot(id SlotID, why CloseReason, now Time) {
	p := &b.slots[id]
	if p.state != StateDraining {
		if !p.validated {
			b.unvalidated--
		}
		if p.requests > 0 {
			b.withRequests--
		}
		b.setState(id, StateDraining, now)
	}
	b.timers.Cancel(uint32(id))
	b.closedByReason[why]++
	b.closeActions = append(b.closeActions, CloseAction{id, why})
}

// AtLimit reports whether somebody else would have to go for a newcomer.
func (b *Limiter) AtLimit() bool {
	return b.inUse >= b.limits.MaxConns || b.unvalidated >= b.limits.MaxUnvalidated
}

// Decide asks what becomes of the head of the listen queue; there must be one.
// With Leave comes
// the time at which to ask again at the latest.
func (b *Limiter) Decide(now Time) (Decision, Time) {
	if now < b.admitAfter {
		return Wait, b.admitAfter
	}
	full, crowd := b.inUse >= b.limits.MaxConns, b.unvalidated >= b.limits.MaxUnvalidated
	if !full && !crowd {
		return Admit, 0
	}
	if b.byState[StateDraining].length >= maxDraining {
		return b.waitOrReject(now, full, now+b.limits.EvictionWait) // places are on their way
	}
	if id, ok := b.oldestIn(StateUnvalidated, now, b.limits.EvictionGrace); ok {
		b.closeSlot(id, CloseEvictUnvalidated, now)
		return Evict, 0
	}
	if id, ok := b.oldestIn(StateReplyingInvalid, now, b.limits.EvictionGrace); ok {
		b.closeSlot(id, CloseEvictInvalid, now)
		return Evict, 0
	}
	if !crowd {
		// Clients open another when they need it.
		if id, ok := b.longestIdle(); ok {
			b.closeSlot(id, CloseEvictIdle, now)
			return Evict, 0
		}
	}
	next := Time(1 << 62)
	for _, s := range []State{StateUnvalidated, StateReplyingInvalid} {
		if first := b.byState[s].first; first >= 0 {
			next = min(next, b.slots[first].stateSince+b.limits.EvictionGrace)
		}
	}
	return b.waitOrReject(now, full, next)
}

// waitOrReject leaves the head where it is, if somebody can be let go for it soon, or
// the places are taken by commands that will be answered; else it is told now.
func (b *Limiter) waitOrReject(now Time, full bool, next Time) (Decision, Time) {
	if next <= now+b.limits.EvictionWait {
		return Wait, next
	}
	if full && b.byState[StateAwaitingReply].length+b.byState[StateDraining].length > 0 {
		if b.queueBlockedSince == 0 {
			b.queueBlockedSince = now
		}
		if until := b.queueBlockedSince + b.limits.MaxQueueWait; now < until {
			return Wait, min(next, until)
		}
	}
	return Reject, 0
}

// QueueEmptied is told when the listen queue is empty.
func (b *Limiter) QueueEmptied() { b.queueBlockedSince = 0 }

// OutOfDescriptors is told when the process, or the machine, had no descriptor for
// the head of the queue. The one that has been idle for longest is let go, and
// nobody is accepted for a while: asking again at once would only spin.
func (b *Limiter) OutOfDescriptors(now Time) {
	b.admitAfter = now + b.limits.EvictionWait
	if id, ok := b.oldestIn(StateUnvalidated, now, b.limits.EvictionGrace); ok {
		b.closeSlot(id, CloseEvictUnvalidated, now)
	} else if id, ok := b.longestIdle(); ok {
		b.closeSlot(id, CloseEvictIdle, now)
	}
}

// Add books a connection that was accepted.
func (b *Limiter) Add(now Time) SlotID {
	var id SlotID
	if n := len(b.freeSlots); n > 0 {
		id, b.freeSlots = b.freeSlots[n-1], b.freeSlots[:n-1]
		b.slots[id] = slot{}
	} else {
		id = SlotID(len(b.slots))
		b.slots = append(b.slots, slot{})
	}
	b.inUse++
	b.unvalidated++
	b.setState(id, StateUnvalidated, now)
	b.timers.Set(uint32(id), now+b.limits.FirstCommandTimeout)
	return id
}

// Snapshot is what another account needs to know of a connection.
type Snapshot struct {
	Known bool
	Spoke bool
	Asked uint32
	Left  Time // of its time limit
}

// Snapshot tells of a connection what another account needs to go on with it.
func (b *Limiter) Snapshot(id SlotID, now Time) Snapshot {
	p := &b.slots[id]
	limit := b.limits.IdleTimeout
	switch {
	case p.state == StateReadingCommand && p.sentCommand:
		limit = b.limits.CommandTimeout
	case !p.sentCommand:
		limit = b.limits.FirstCommandTimeout
	}
	return Snapshot{p.validated, p.sentCommand, p.requests, max(limit-(now-p.stateSince), b.limits.TimerTick)}
}

// Restore books a connection that another account kept. It claims its place like
// any other: one that is let go for want of room is told by an order.
func (b *Limiter) Restore(k Snapshot, now Time) SlotID {
	id := b.Add(now)
	p := &b.slots[id]
	p.validated, p.sentCommand, p.requests = k.Known, k.Spoke, k.Asked
	if k.Known {
		b.unvalidated--
		stage := StateIdle
		if k.Asked == 1 {
			stage = StateIdleSingleUse
		}
		b.setState(id, stage, now)
	}
	if k.Asked > 0 {
		b.withRequests++
	}
	b.timers.Set(uint32(id), now+max(min(k.Left, max(b.limits.FirstCommandTimeout, b.limits.IdleTimeout)), b.limits.TimerTick))
	return id
}

// CommandStarted is told when the first byte of a command has come.
func (b *Limiter) CommandStarted(id SlotID, now Time) {
	p := &b.slots[id]
	switch {
	case p.state == StateDraining:
		b.timers.Set(uint32(id), now+b.limits.FirstCommandTimeout)
	case p.sentCommand:
		b.setState(id, StateReadingCommand, now)
		b.timers.Set(uint32(id), now+b.limits.CommandTimeout)
	default: // a first command has the time that its connection has
		b.setState(id, StateReadingCommand, now)
	}
}

// CommandRead is told when a command has been read to its end.
func (b *Limiter) CommandRead(id SlotID, what CommandKind, now Time) {
	p := &b.slots[id]
	p.sentCommand = true
	leaving := p.state == StateDraining
	if what != CommandInvalid && !p.validated {
		p.validated = true
		if !leaving {
			b.unvalidated--
		}
	}
	if what == CommandRequest {
		if p.requests++; p.requests == 1 && !leaving {
			b.withRequests++
		}
	}
	b.timers.Cancel(uint32(id))
	switch {
	case leaving:
	case p.validated:
		b.setState(id, StateAwaitingReply, now)
	default:
		b.setState(id, StateReplyingInvalid, now)
	}
}

// ReplyWritten is told when a command's answer has been written.
func (b *Limiter) ReplyWritten(id SlotID, now Time) {
	p := &b.slots[id]
	switch {
	case p.state == StateDraining:
		b.closeActions = append(b.closeActions, CloseAction{id, CloseShutdown})
		return
	case !p.validated:
		b.setState(id, StateUnvalidated, now)
	case p.requests == 1:
		b.setState(id, StateIdleSingleUse, now)
	default:
		b.setState(id, StateIdle, now)
	}
	if b.shuttingDown {
		b.closeSlot(id, CloseShutdown, now)
		return
	}
	b.timers.Set(uint32(id), now+b.limits.IdleTimeout)
	if b.withRequests > b.limits.SingleUseEvictionThreshold {
		if once, ok := b.oldestIn(StateIdleSingleUse, now, 0); ok {
			b.closeSlot(once, CloseEvictSingleUse, now)
		}
	}
}

// Remove is told when a connection's descriptor is free again, for whatever
// reason.
func (b *Limiter) Remove(id SlotID) {
	p := &b.slots[id]
	if p.state != StateDraining {
		if !p.validated {
			b.unvalidated--
		}
		if p.requests > 0 {
			b.withRequests--
		}
	}
	b.unlink(id)
	p.state = StateFree
	b.timers.Cancel(uint32(id))
	b.inUse--
	b.freeSlots = append(b.freeSlots, id)
}

// CancelShutdown has connections kept again; those let go by then still leave.
func (b *Limiter) CancelShutdown() { b.shuttingDown = false }

// Shutdown lets go of all that have nothing under way, and of the others after
// their answers, until Resume.
func (b *Limiter) Shutdown(now Time) {
	b.shuttingDown = true
	for _, s := range []State{StateUnvalidated, StateIdleSingleUse, StateIdle} {
		for b.byState[s].first >= 0 {
			b.closeSlot(SlotID(b.byState[s].first), CloseShutdown, now)
		}
	}
}

// Advance goes on to now: what is out of time is closed. It looks at most at
// so many, and tells whether it is to be called again.
func (b *Limiter) Advance(now Time, most int) (more bool) {
	b.expired, more = b.timers.Advance(now, most, b.expired[:0])
	for _, n := range b.expired {
		id := SlotID(n)
		switch p := &b.slots[id]; p.state {
		case StateUnvalidated:
			if p.sentCommand {
				b.closeSlot(id, CloseIdleTimeout, now)
			} else {
				b.closeSlot(id, CloseFirstCommandTimeout, now)
			}
		case StateIdleSingleUse, StateIdle:
			b.closeSlot(id, CloseIdleTimeout, now)
		case StateReadingCommand, StateDraining:
			b.closeSlot(id, CloseCommandTimeout, now)
		}
	}
	return more
}

// NextDeadline is the time by which to call Advance; false where nobody's time runs.
func (b *Limiter) NextDeadline() (Time, bool) { return b.timers.Next() }
