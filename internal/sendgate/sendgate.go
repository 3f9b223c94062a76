// Package sendgate makes the final decision whether a call may be sent.
//
// A [Gate] belongs to one endpoint and holds whether calls to it may begin. A [Scope] is a set of
// endpoints and holds the time until which they have asked not to be called (Retry-After). The set
// is usually all endpoints of a destination. If these are independent routes, a Retry-After of one
// does not apply to the others, and each endpoint has a scope of its own. The code that reads a
// Retry-After from a response must apply it here before it does anything else with the response.
//
// A call asks for permission twice, each time as late as possible. It asks before its first
// byte: a drain stops the calls that have not begun by then. It asks again before its last
// byte: a Retry-After stops the calls that are not completely sent by then. A call that still
// waits for a connection is stopped as soon as it may no longer be sent.
//
// The package does no I/O and reads no clock, and the caller decides how to proceed with the
// message of a stopped call.
//
// Times are times of the caller's clock, in microseconds. All methods are safe for concurrent
// use. All gates and permits of a scope share the lock of the scope.
package sendgate

import (
	"errors"
	"fmt"
	"slices"
	"sync"

	"troutusher/policy"
)

// ErrEndpointDraining is the error for a call to an endpoint that is draining or removed.
var ErrEndpointDraining = errors.New("endpoint is draining or removed")

// ErrDedupWindowExpired is the error for a repeated call that would arrive after the dedup
// window, which is the time for which an endpoint recognises a message as a repeat.
var ErrDedupWindowExpired = errors.New("dedup window expired before the call was sent")

// RetryAfterError is the error for a call to a destination that has asked not to be called
// yet. Remaining is the time until it may be called again.
type RetryAfterError struct{ Remaining policy.Time }

// Error returns a text that contains the remaining time in seconds.
func (e RetryAfterError) Error() string {
	return fmt.Sprintf("Retry-After in force for another %.3f s", float64(e.Remaining)/1e6)
}

// IsRefusal reports whether an error comes from this package. The call was then not sent
// completely, so the endpoint has not processed it.
func IsRefusal(err error) bool {
	var retryAfter RetryAfterError
	return errors.Is(err, ErrEndpointDraining) || errors.Is(err, ErrDedupWindowExpired) || errors.As(err, &retryAfter)
}

// Scope is the set of endpoints to which one Retry-After time applies. The zero value is ready
// to use.
type Scope struct {
	mu         sync.Mutex
	retryAfter policy.Time // nothing may be sent before this time
	permits    []*Permit   // of calls whose last byte has not been sent
}

// HoldUntil forbids sends before a time. An earlier time does not replace a later one.
func (s *Scope) HoldUntil(now, until policy.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryAfter = max(s.retryAfter, until)
	if err := s.retryAfterErrorLocked(now); err != nil {
		s.stopUnstartedLocked(err, func(*Permit) bool { return true })
	}
}

// retryAfterErrorLocked returns a RetryAfterError if calls may not be sent yet, otherwise nil.
// The caller must hold the lock.
func (s *Scope) retryAfterErrorLocked(now policy.Time) error {
	if s.retryAfter <= now {
		return nil
	}
	return RetryAfterError{s.retryAfter - now}
}

// stopUnstartedLocked stops the calls that wait for a connection and for which selected
// returns true. It does not stop calls whose first byte was sent; AllowLastByte checks these
// again. The caller must hold the lock.
func (s *Scope) stopUnstartedLocked(reason error, selected func(*Permit) bool) {
	for _, permit := range s.permits {
		if !permit.started && permit.stopReason == nil && selected(permit) {
			permit.stopReason = reason
			permit.stop(reason)
		}
	}
}

// Gate is the gate of one endpoint. It is used from the time at which the endpoint may be
// called until the endpoint is drained or removed.
type Gate struct {
	scope  *Scope
	closed bool
}

// Gate returns a new open gate. Calls are still subject to the Retry-After of the scope.
func (s *Scope) Gate() *Gate { return &Gate{scope: s} }

// HoldUntil calls HoldUntil of the gate's scope.
func (g *Gate) HoldUntil(now, until policy.Time) { g.scope.HoldUntil(now, until) }

// RetryAfter returns the time for which the scope still forbids sends; 0 if it permits them.
func (g *Gate) RetryAfter(now policy.Time) policy.Time {
	g.scope.mu.Lock()
	defer g.scope.mu.Unlock()
	return max(g.scope.retryAfter-now, 0)
}

// Close prevents further calls from beginning. Calls whose first byte was sent continue.
func (g *Gate) Close() {
	g.scope.mu.Lock()
	defer g.scope.mu.Unlock()
	g.closed = true
	g.scope.stopUnstartedLocked(ErrEndpointDraining, func(permit *Permit) bool { return permit.gate == g })
}

// Permit is the permission to send one call.
type Permit struct {
	// SendBy is the deadline for sending the last byte, after which a repeated call would arrive
	// too late for the dedup window; 0 for none. The call sets it right after [Gate.Acquire].
	SendBy policy.Time

	gate       *Gate
	stop       func(error) // called with the scope's lock held: must not block or call this package
	started    bool        // the first byte may have been sent
	stopReason error       // set if the call was stopped before its first byte
}

// Acquire returns the permit of a call that is about to get a connection. If the call may not
// be sent now, Acquire returns an error, because a connection would be useless. stop is called
// at most once, with the scope's lock held. It must not block or call this package.
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

// checkLocked returns the reason why a call may not begin, or nil if it may. The caller must
// hold the lock.
func (p *Permit) checkLocked(now policy.Time) error {
	switch {
	case p.stopReason != nil:
		return p.stopReason
	case p.gate.closed:
		return ErrEndpointDraining
	}
	return p.checkTimesLocked(now)
}

// checkTimesLocked checks the time limits, which also apply to a call that has begun. The
// caller must hold the lock.
func (p *Permit) checkTimesLocked(now policy.Time) error {
	if err := p.gate.scope.retryAfterErrorLocked(now); err != nil {
		return err
	}
	if p.SendBy > 0 && now > p.SendBy {
		return ErrDedupWindowExpired
	}
	return nil
}

// AllowFirstByte must be called before the first byte is written. It returns an error if the
// byte may not be sent.
func (p *Permit) AllowFirstByte(now policy.Time) error {
	p.gate.scope.mu.Lock()
	defer p.gate.scope.mu.Unlock()
	err := p.checkLocked(now)
	p.started = err == nil
	return err
}

// AllowLastByte must be called before the last byte is written. It returns an error if the
// byte may not be sent. A drain after the first byte does not prevent the last one, because
// the call had already begun. A Retry-After does.
func (p *Permit) AllowLastByte(now policy.Time) error {
	p.gate.scope.mu.Lock()
	defer p.gate.scope.mu.Unlock()
	return p.checkTimesLocked(now)
}

// Restart must be called when a call starts over on another connection. The call must then ask
// for its first byte again.
func (p *Permit) Restart() {
	p.gate.scope.mu.Lock()
	defer p.gate.scope.mu.Unlock()
	p.started = false
}

// StopReason returns the reason why the call was stopped before its first byte, or nil if it
// was not stopped.
func (p *Permit) StopReason() error {
	p.gate.scope.mu.Lock()
	defer p.gate.scope.mu.Unlock()
	return p.stopReason
}

// Release releases the permit. It must be called after the last byte was sent, or when the call
// is given up.
func (p *Permit) Release() {
	s := p.gate.scope
	s.mu.Lock()
	defer s.mu.Unlock()
	s.permits = slices.DeleteFunc(s.permits, func(other *Permit) bool { return other == p })
}
