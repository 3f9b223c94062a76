// Package connlimit limits the connections of clients: which one is admitted,
// left in the listen queue or rejected, and which one is closed, for another one
// or at a timeout.
//
// It owns the states of a connection, their timeouts, and how many connections
// may be in each. It must never touch a socket, look at a clock or start a
// goroutine: the caller reports what happened and when, and applies the close
// actions before it reports the next event. It knows nothing of what a message
// says and rejects none: that is the policy's.
//
// Each close action names its reason; docs/design/connections.md says which rule
// of the protocol allows it.
package connlimit

import "troutusher/internal/timerwheel"

// Limiter keeps account of all connections. Its methods are not safe for
// concurrent use; times must not go back.
type Limiter struct {
	limits    Limits
	slots     []slot
	freeSlots []SlotID
	byState   [stateCount]slotList

	inUse        int
	unvalidated  int // connections that are not draining
	withRequests int // connections that have made a request and are not draining
	shuttingDown bool

	queueBlockedSince Time // 0 when the listen queue is not blocked
	admitAfter        Time

	timers       *timerwheel.Wheel
	expired      []uint32 // kept for its memory
	closeActions []CloseAction
}

// New makes a limiter without connections, or returns the error of its limits.
func New(limits Limits, now Time) (*Limiter, error) {
	if err := limits.Validate(); err != nil {
		return nil, err
	}
	l := &Limiter{limits: limits, timers: timerwheel.New(limits.TimerTick, now)}
	for i := range l.byState {
		l.byState[i] = slotList{first: noSlot, last: noSlot}
	}
	return l, nil
}

// InUse returns how many slots are in use.
func (l *Limiter) InUse() int { return l.inUse }

// Count returns how many connections are in a state.
func (l *Limiter) Count(state State) int { return l.byState[state].length }

// Unvalidated returns how many connections have not sent a valid command and are
// not draining.
func (l *Limiter) Unvalidated() int { return l.unvalidated }

// State returns what a connection is doing.
func (l *Limiter) State(id SlotID) State { return l.slots[id].state }

// TakeCloseActions returns the connections that are to be closed, in order. The
// slice is valid until the next call of any method.
func (l *Limiter) TakeCloseActions() []CloseAction {
	actions := l.closeActions
	l.closeActions = l.closeActions[:0]
	return actions
}

// Add takes a connection that was accepted.
func (l *Limiter) Add(now Time) SlotID {
	id := l.takeSlot()
	l.inUse++
	l.unvalidated++
	l.setState(id, StateUnvalidated, now)
	l.timers.Set(uint32(id), now+l.limits.FirstCommandTimeout)
	return id
}

// takeSlot returns an empty slot, one that was used before if there is one.
func (l *Limiter) takeSlot() SlotID {
	n := len(l.freeSlots)
	if n == 0 {
		l.slots = append(l.slots, slot{})
		return SlotID(len(l.slots) - 1)
	}
	id := l.freeSlots[n-1]
	l.freeSlots = l.freeSlots[:n-1]
	l.slots[id] = slot{}
	return id
}

// Remove reports that a connection's descriptor has been closed, for whatever
// reason.
func (l *Limiter) Remove(id SlotID) {
	s := &l.slots[id]
	if s.state != StateDraining {
		l.stopCounting(s)
	}
	l.unlink(id)
	s.state = StateFree
	l.timers.Cancel(uint32(id))
	l.inUse--
	l.freeSlots = append(l.freeSlots, id)
}

// stopCounting takes a connection out of the counts that leave draining ones
// out.
func (l *Limiter) stopCounting(s *slot) {
	if !s.validated {
		l.unvalidated--
	}
	if s.requests > 0 {
		l.withRequests--
	}
}

// CommandStarted reports the first byte of a command.
func (l *Limiter) CommandStarted(id SlotID, now Time) {
	s := &l.slots[id]
	switch {
	case s.state == StateDraining:
		l.timers.Set(uint32(id), now+l.limits.FirstCommandTimeout)
	case s.sentCommand:
		l.setState(id, StateReadingCommand, now)
		l.timers.Set(uint32(id), now+l.limits.CommandTimeout)
	default: // the first command's timeout runs since the connection was added
		l.setState(id, StateReadingCommand, now)
	}
}

// CommandRead reports that a command has been read to its end.
func (l *Limiter) CommandRead(id SlotID, kind CommandKind, now Time) {
	s := &l.slots[id]
	s.sentCommand = true
	draining := s.state == StateDraining
	if kind != CommandInvalid && !s.validated {
		s.validated = true
		if !draining {
			l.unvalidated--
		}
	}
	if kind == CommandRequest {
		s.requests++
		if s.requests == 1 && !draining {
			l.withRequests++
		}
	}
	l.timers.Cancel(uint32(id))
	switch {
	case draining:
	case s.validated:
		l.setState(id, StateAwaitingReply, now)
	default:
		l.setState(id, StateReplyingInvalid, now)
	}
}

// ReplyWritten reports that a command's reply has been written.
func (l *Limiter) ReplyWritten(id SlotID, now Time) {
	s := &l.slots[id]
	switch {
	case s.state == StateDraining:
		l.closeActions = append(l.closeActions, CloseAction{id, CloseShutdown})
		return
	case !s.validated:
		l.setState(id, StateUnvalidated, now)
	default:
		l.setState(id, idleState(s.requests), now)
	}
	if l.shuttingDown {
		l.closeSlot(id, CloseShutdown, now)
		return
	}
	l.timers.Set(uint32(id), now+l.limits.IdleTimeout)
	if l.withRequests > l.limits.SingleUseEvictionThreshold {
		if oldest, ok := l.oldestIn(StateIdleSingleUse, now, 0); ok {
			l.closeSlot(oldest, CloseEvictSingleUse, now)
		}
	}
}

// idleState is the state in which a validated connection is idle.
func idleState(requests uint32) State {
	if requests == 1 {
		return StateIdleSingleUse
	}
	return StateIdle
}
