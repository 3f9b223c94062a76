// Package sendgate has the last word on whether the bytes of a call may go out.
//
// It owns, for each endpoint, whether any call may begin there ([Gate]), and for
// each [Scope] (a destination, or an endpoint that is a route of its own) until when
// the endpoints have asked not to be called (Retry-After). Whoever reads such a time
// applies it here before anything else is done with the response. A call asks twice,
// as late as can be: before its first byte, from which a drain counts it, and before
// its last, from which a Retry-After time counts it. A call that still waits for a
// connection is stopped as soon as it could not go out any more.
//
// It must never do I/O, read a clock, or decide what becomes of a message that it
// has stopped.
//
// Times are moments of the caller's clock, in microseconds. All methods are safe for
// concurrent use; all gates and permits of a scope share its lock.
package sendgate

import (
	"errors"
	"fmt"
	"slices"
	"sync"

	"troutusher/policy"
)

// ErrEndpointDraining refuses a call to an endpoint that drains or has left.
var ErrEndpointDraining = errors.New("endpoint drained")

// ErrDedupWindowExpired refuses a call that would come too late at its endpoint to be
// recognised there as a repeat.
var ErrDedupWindowExpired = errors.New("too late to be remembered as a repeat")

// RetryAfterError refuses a call to a destination that has asked not to be called for
// a time, of which Remaining is left.
type RetryAfterError struct{ Remaining policy.Time }

// Error says how long the wait still is.
func (e RetryAfterError) Error() string {
	return fmt.Sprintf("told to wait for %.3f s more", float64(e.Remaining)/1e6)
}

// IsRefusal reports whether an error is this package's: the call has not gone out,
// and its endpoint was not asked.
func IsRefusal(err error) bool {
	var retryAfter RetryAfterError
	return errors.Is(err, ErrEndpointDraining) || errors.Is(err, ErrDedupWindowExpired) || errors.As(err, &retryAfter)
}

// Scope is all that one Retry-After time binds. The zero value is ready to use.
type Scope struct {
	mu         sync.Mutex
	retryAfter policy.Time // nothing goes out before this moment
	permits    []*Permit   // of calls whose last byte is not out
}

// HoldUntil has nothing go out before a moment. Such a time is never shortened: it
// ends when the longest that was asked for ends.
func (s *Scope) HoldUntil(now, until policy.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryAfter = max(s.retryAfter, until)
	if err := s.heldLocked(now); err != nil {
		s.stopUnstartedLocked(err, func(*Permit) bool { return true })
	}
}

// heldLocked returns the error of a call that may not go out yet; nil if it may. The
// caller holds the lock.
func (s *Scope) heldLocked(now policy.Time) error {
	if s.retryAfter <= now {
		return nil
	}
	return RetryAfterError{s.retryAfter - now}
}

// stopUnstartedLocked stops those calls that wait for a connection and for which
// selected is true. One whose bytes are on their way is refused its last byte. The
// caller holds the lock.
func (s *Scope) stopUnstartedLocked(reason error, selected func(*Permit) bool) {
	for _, permit := range s.permits {
		if !permit.started && permit.stopReason == nil && selected(permit) {
			permit.stopReason = reason
			permit.stop(reason)
		}
	}
}

// Gate is that of one endpoint, from when it may be called until it drains or leaves.
type Gate struct {
	scope  *Scope
	closed bool
}

// Gate returns a new gate, which is open as far as the scope lets it be.
func (s *Scope) Gate() *Gate { return &Gate{scope: s} }

// HoldUntil is that of the gate's scope.
func (g *Gate) HoldUntil(now, until policy.Time) { g.scope.HoldUntil(now, until) }

// RetryAfter returns for how long the scope lets nothing go out; 0 if it does.
func (g *Gate) RetryAfter(now policy.Time) policy.Time {
	g.scope.mu.Lock()
	defer g.scope.mu.Unlock()
	return max(g.scope.retryAfter-now, 0)
}

// Close lets no call begin any more. What is on its way already goes on.
func (g *Gate) Close() {
	g.scope.mu.Lock()
	defer g.scope.mu.Unlock()
	g.closed = true
	g.scope.stopUnstartedLocked(ErrEndpointDraining, func(permit *Permit) bool { return permit.gate == g })
}

// Permit is one call's leave to go out.
type Permit struct {
	// SendBy is the last moment for the last byte; 0 for none. The call sets it right
	// after [Gate.Acquire].
	SendBy policy.Time

	gate       *Gate
	stop       func(error) // called with the scope's lock held: it may not wait or call back
	started    bool        // the first byte may be out
	stopReason error       // the call was stopped before that
}

// Acquire returns the permit of a call that is about to get its connection. Where it
// could not go out now, no connection is worth having. stop is called at most once,
// with the scope's lock held: it may neither wait nor call this package.
func (g *Gate) Acquire(now policy.Time, stop func(error)) (*Permit, error) {
	s := g.scope
	s.mu.Lock()
	defer s.mu.Unlock()
	permit := &Permit{gate: g, stop: stop}
	if err := permit.checkLocked(now); err != nil {
		return nil, err
	}
	s.permits = append(s.permits, permit)
	return permit, nil
}

// checkLocked returns what keeps a call that has not begun; nil for nothing. The
// caller holds the lock.
func (p *Permit) checkLocked(now policy.Time) error {
	switch {
	case p.stopReason != nil:
		return p.stopReason
	case p.gate.closed:
		return ErrEndpointDraining
	}
	return p.checkTimesLocked(now)
}

// checkTimesLocked is the part of that which also holds for a call that has begun.
func (p *Permit) checkTimesLocked(now policy.Time) error {
	if err := p.gate.scope.heldLocked(now); err != nil {
		return err
	}
	if p.SendBy > 0 && now > p.SendBy {
		return ErrDedupWindowExpired
	}
	return nil
}

// AllowFirstByte is asked before the first byte is written.
func (p *Permit) AllowFirstByte(now policy.Time) error {
	p.gate.scope.mu.Lock()
	defer p.gate.scope.mu.Unlock()
	err := p.checkLocked(now)
	p.started = err == nil
	return err
}

// AllowLastByte is asked before the last byte is written. A drain that came since the
// first is no obstacle: the call had begun. A Retry-After time is one.
func (p *Permit) AllowLastByte(now policy.Time) error {
	p.gate.scope.mu.Lock()
	defer p.gate.scope.mu.Unlock()
	return p.checkTimesLocked(now)
}

// Restart is for a call that begins anew on another connection.
func (p *Permit) Restart() {
	p.gate.scope.mu.Lock()
	defer p.gate.scope.mu.Unlock()
	p.started = false
}

// StopReason returns why the call was stopped before its first byte; nil if it was
// not.
func (p *Permit) StopReason() error {
	p.gate.scope.mu.Lock()
	defer p.gate.scope.mu.Unlock()
	return p.stopReason
}

// Release gives the permit back, once the last byte is out or never will be.
func (p *Permit) Release() {
	s := p.gate.scope
	s.mu.Lock()
	defer s.mu.Unlock()
	s.permits = slices.DeleteFunc(s.permits, func(other *Permit) bool { return other == p })
}
