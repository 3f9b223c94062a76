// Package connlimit limits the connections of clients. It decides whether a new connection is
// admitted, left in the listen queue or rejected, and which connections are closed, to make room for
// others or because of a timeout.
//
// The package owns the states of a connection, their timeouts, and the number of connections in each
// state. It uses no socket, clock or goroutine: the caller reports each event with its time, and
// applies the close actions before it reports the next event. It does not see the content of messages
// and rejects none; that is the job of package policy.
//
// Each close action has a reason. docs/design/connections.md says which rule of the protocol allows
// it.
package connlimit

import "troutusher/internal/timerwheel"

// Limiter keeps the state of all connections. Its methods are not safe for concurrent use. The times
// that are passed to them must not decrease.
type Limiter struct {
	limits    Limits
	slots     []slot
	freeSlots []SlotID
	byState   [stateCount]slotList

	inUse        int
	unvalidated  int // unvalidated connections that are not draining
	withRequests int // connections that have made a request and are not draining
	shuttingDown bool

	queueBlockedSince Time // since when the listen queue has waited for a slot; 0 if it does not
	admitAfter        Time // no connection is admitted before this time

	timers       *timerwheel.Wheel
	expired      []uint32 // buffer for expired timers, kept for reuse
	closeActions []CloseAction
}

// New returns a limiter without connections, or an error if the limits are invalid.
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

// State returns the state of a connection.
func (l *Limiter) State(id SlotID) State { return l.slots[id].state }

// TakeCloseActions returns the connections that the caller has to close, in order, and removes them
// from the limiter's list. The slice is valid until the next call of any method.
func (l *Limiter) TakeCloseActions() []CloseAction {
	actions := l.closeActions
	l.closeActions = l.closeActions[:0]
	return actions
}

// Add adds a connection that has been accepted.
func (l *Limiter) Add(now Time) SlotID {
	id := l.takeSlot()
	l.inUse++
	l.unvalidated++
	l.setState(id, StateUnvalidated, now)
	l.timers.Set(uint32(id), now+l.limits.FirstCommandTimeout)
	return id
}

// takeSlot returns an empty slot. It prefers slots that were used before over new ones.
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

// Remove tells the limiter that a connection's descriptor has been closed, for whatever reason.
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

// stopCounting removes a connection from the counts that do not include draining connections.
func (l *Limiter) stopCounting(s *slot) {
	if !s.validated {
		l.unvalidated--
	}
	if s.requests > 0 {
		l.withRequests--
	}
}

// CommandStarted tells the limiter that the first byte of a command has been read. It starts the
// timeout of the command, except for a connection's first command, whose timeout runs since Add.
func (l *Limiter) CommandStarted(id SlotID, now Time) {
	s := &l.slots[id]
	s.inputAt = now
	switch {
	case s.state == StateDraining:
		l.timers.Set(uint32(id), now+l.limits.FirstCommandTimeout)
	case s.sentCommand:
		l.setState(id, StateReadingCommand, now)
		l.timers.Set(uint32(id), now+l.limits.CommandTimeout)
	default: // FirstCommandTimeout has been running since Add
		l.setState(id, StateReadingCommand, now)
	}
}

// CommandContinued tells the limiter that more bytes of a command have been read, but not all.
func (l *Limiter) CommandContinued(id SlotID, now Time) { l.slots[id].inputAt = now }

// CommandRead tells the limiter that a command has been read to its end. It ends the timeout of the
// command; no timeout runs until ReplyWritten.
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

// ReplyWritten tells the limiter that the reply to a command has been written. The connection is closed
// if it is draining or the limiter is shutting down; otherwise its idle timeout starts.
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
	// Each reply causes at most one eviction: of the connection that has been idle longest after a
	// single request.
	if l.withRequests > l.limits.SingleUseEvictionThreshold {
		if oldest, ok := l.oldestIn(StateIdleSingleUse, now, 0); ok {
			l.closeSlot(oldest, CloseEvictSingleUse, now)
		}
	}
}

// idleState returns the state of an idle, validated connection.
func idleState(requests uint32) State {
	if requests == 1 {
		return StateIdleSingleUse
	}
	return StateIdle
}
