// Package sendgate has the last word on whether the bytes of a call may go out.
//
// It owns, for each endpoint, whether anything may begin there at all, and for
// each scope (a destination, or a route where routes are apart) until when the
// relay was told to wait. Whoever reads the word of a wait tells it here first,
// before anything else is done with the answer. A call asks twice, as late as
// can be: before its first byte, from which a drain counts it, and before its
// last, from which a wait counts it. One that still waits for a connection is
// stopped as soon as it could not go out any more.
//
// It must never do I/O, look at a clock, or decide what becomes of a message
// that it has stopped.
package sendgate

import (
	"errors"
	"fmt"
	"slices"
	"sync"

	"troutusher/policy"
)

// ErrEndpointDraining is a call to an endpoint that drains or has left.
var ErrEndpointDraining = errors.New("endpoint drained")

// RetryAfterError is a call to a destination that has told this relay to wait.
type RetryAfterError struct{ Remaining policy.Time }

func (e RetryAfterError) Error() string {
	return fmt.Sprintf("told to wait for %.3f s more", float64(e.Remaining)/1e6)
}

// ErrDedupWindowExpired is a call that would come too late at its endpoint to be known there as
// a repeat.
var ErrDedupWindowExpired = errors.New("too late to be remembered as a repeat")

// IsRefusal reports whether an error is this package's: the call has not gone out,
// and its endpoint was not asked.
func IsRefusal(err error) bool {
	var w RetryAfterError
	return errors.Is(err, ErrEndpointDraining) || errors.Is(err, ErrDedupWindowExpired) || errors.As(err, &w)
}

// Scope is all that one wait binds. The zero value is ready.
type Scope struct {
	mu         sync.Mutex
	retryAfter policy.Time
	permits    []*Permit // of calls whose last byte is not out
}

// HoldUntil has nothing go out before a moment. A wait never shortens: it ends when
// the longest that was told ends.
func (s *Scope) HoldUntil(now, until policy.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryAfter = max(s.retryAfter, until)
	if s.retryAfter > now {
		s.stopUnstarted(RetryAfterError{s.retryAfter - now}, func(*Permit) bool { return true })
	}
}

// stopUnstarted stops those calls that wait for a connection and that which names. One
// whose bytes are under way is refused its last. The caller holds mu.
func (s *Scope) stopUnstarted(why error, which func(*Permit) bool) {
	for _, p := range s.permits {
		if !p.started && p.stopReason == nil && which(p) {
			p.stopReason = why
			p.stop(why)
		}
	}
}

// Gate is one endpoint's, from when it may be called until it drains or leaves.
type Gate struct {
	scope  *Scope
	closed bool
}

// Gate makes one that is open as far as the scope's wait lets it be.
func (s *Scope) Gate() *Gate { return &Gate{scope: s} }

// HoldUntil is the scope's.
func (g *Gate) HoldUntil(now, until policy.Time) { g.scope.HoldUntil(now, until) }

// Close lets nothing begin any more. What is under way already goes on.
func (g *Gate) Close() {
	g.scope.mu.Lock()
	defer g.scope.mu.Unlock()
	g.closed = true
	g.scope.stopUnstarted(ErrEndpointDraining, func(p *Permit) bool { return p.gate == g })
}

// Permit is one call's way out.
type Permit struct {
	gate    *Gate
	stop    func(error) // called with the scope's lock held: it may not wait or call back
	started bool        // its first byte may be out
	// SendBy is the last moment for its last byte; 0 for none. Its call sets it as it
	// enters.
	SendBy     policy.Time
	stopReason error // it was stopped before that
}

// Acquire is a call's that is about to get its connection. Where it could not go
// out now, no connection is worth having. stop is called at most once.
func (g *Gate) Acquire(now policy.Time, stop func(error)) (*Permit, error) {
	s := g.scope
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &Permit{gate: g, stop: stop}
	if err := p.check(now); err != nil {
		return nil, err
	}
	s.permits = append(s.permits, p)
	return p, nil
}

// check tells what keeps a call that has not begun. The caller holds the lock.
func (p *Permit) check(now policy.Time) error {
	switch s := p.gate.scope; {
	case p.stopReason != nil:
		return p.stopReason
	case p.gate.closed:
		return ErrEndpointDraining
	case s.retryAfter > now:
		return RetryAfterError{s.retryAfter - now}
	case p.SendBy > 0 && now > p.SendBy:
		return ErrDedupWindowExpired
	}
	return nil
}

// AllowFirstByte asks before the first byte.
func (p *Permit) AllowFirstByte(now policy.Time) error {
	p.gate.scope.mu.Lock()
	defer p.gate.scope.mu.Unlock()
	err := p.check(now)
	p.started = err == nil
	return err
}

// AllowLastByte asks before the last byte. A drain that came since the first is no
// obstacle: the call had begun. A wait is one.
func (p *Permit) AllowLastByte(now policy.Time) error {
	s := p.gate.scope
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.retryAfter > now:
		return RetryAfterError{s.retryAfter - now}
	case p.SendBy > 0 && now > p.SendBy:
		return ErrDedupWindowExpired
	}
	return nil
}

// Restart is said by a call that begins anew on another connection.
func (p *Permit) Restart() {
	p.gate.scope.mu.Lock()
	defer p.gate.scope.mu.Unlock()
	p.started = false
}

// StopReason tells why the call was stopped before its first byte; nil if it was
// not.
func (p *Permit) StopReason() error {
	p.gate.scope.mu.Lock()
	defer p.gate.scope.mu.Unlock()
	return p.stopReason
}

// Release is said once the last byte is out, or never will be.
func (p *Permit) Release() {
	s := p.gate.scope
	s.mu.Lock()
	defer s.mu.Unlock()
	s.permits = slices.DeleteFunc(s.permits, func(x *Permit) bool { return x == p })
}
