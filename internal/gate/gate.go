// Package gate has the last word on whether the bytes of a call may go out.
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
package gate

import (
	"errors"
	"fmt"
	"slices"
	"sync"

	"troutusher/decide"
)

// ErrGone is a call to an endpoint that drains or has left.
var ErrGone = errors.New("endpoint drained")

// ErrWait is a call to a destination that has told this relay to wait.
type ErrWait struct{ Left decide.Time }

func (e ErrWait) Error() string {
	return fmt.Sprintf("told to wait for %.3f s more", float64(e.Left)/1e6)
}

// ErrLate is a call that would come too late at its endpoint to be known there as
// a repeat.
var ErrLate = errors.New("too late to be remembered as a repeat")

// Refused reports whether an error is this package's: the call has not gone out,
// and its endpoint was not asked.
func Refused(err error) bool {
	var w ErrWait
	return errors.Is(err, ErrGone) || errors.Is(err, ErrLate) || errors.As(err, &w)
}

// Scope is all that one wait binds. The zero value is ready.
type Scope struct {
	mu     sync.Mutex
	until  decide.Time
	passes []*Pass // of calls whose last byte is not out
}

// Tell has nothing go out before a moment. A wait never shortens: it ends when
// the longest that was told ends.
func (s *Scope) Tell(now, until decide.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until = max(s.until, until)
	if s.until > now {
		s.halt(ErrWait{s.until - now}, func(*Pass) bool { return true })
	}
}

// halt stops those calls that wait for a connection and that which names. One
// whose bytes are under way is refused its last. The caller holds mu.
func (s *Scope) halt(why error, which func(*Pass) bool) {
	for _, p := range s.passes {
		if !p.begun && p.why == nil && which(p) {
			p.why = why
			p.stop(why)
		}
	}
}

// Gate is one endpoint's, from when it may be called until it drains or leaves.
type Gate struct {
	scope *Scope
	gone  bool
}

// Gate makes one that is open as far as the scope's wait lets it be.
func (s *Scope) Gate() *Gate { return &Gate{scope: s} }

// Tell is the scope's.
func (g *Gate) Tell(now, until decide.Time) { g.scope.Tell(now, until) }

// Close lets nothing begin any more. What is under way already goes on.
func (g *Gate) Close() {
	g.scope.mu.Lock()
	defer g.scope.mu.Unlock()
	g.gone = true
	g.scope.halt(ErrGone, func(p *Pass) bool { return p.gate == g })
}

// Pass is one call's way out.
type Pass struct {
	gate  *Gate
	stop  func(error) // called with the scope's lock held: it may not wait or call back
	begun bool        // its first byte may be out
	// By is the last moment for its last byte; 0 for none. Its call sets it as it
	// enters.
	By  decide.Time
	why error // it was stopped before that
}

// Enter is a call's that is about to get its connection. Where it could not go
// out now, no connection is worth having. stop is called at most once.
func (g *Gate) Enter(now decide.Time, stop func(error)) (*Pass, error) {
	s := g.scope
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &Pass{gate: g, stop: stop}
	if err := p.may(now); err != nil {
		return nil, err
	}
	s.passes = append(s.passes, p)
	return p, nil
}

// may tells what keeps a call that has not begun. The caller holds the lock.
func (p *Pass) may(now decide.Time) error {
	switch s := p.gate.scope; {
	case p.why != nil:
		return p.why
	case p.gate.gone:
		return ErrGone
	case s.until > now:
		return ErrWait{s.until - now}
	case p.By > 0 && now > p.By:
		return ErrLate
	}
	return nil
}

// First asks before the first byte.
func (p *Pass) First(now decide.Time) error {
	p.gate.scope.mu.Lock()
	defer p.gate.scope.mu.Unlock()
	err := p.may(now)
	p.begun = err == nil
	return err
}

// Last asks before the last byte. A drain that came since the first is no
// obstacle: the call had begun. A wait is one.
func (p *Pass) Last(now decide.Time) error {
	s := p.gate.scope
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.until > now:
		return ErrWait{s.until - now}
	case p.By > 0 && now > p.By:
		return ErrLate
	}
	return nil
}

// Again is said by a call that begins anew on another connection.
func (p *Pass) Again() {
	p.gate.scope.mu.Lock()
	defer p.gate.scope.mu.Unlock()
	p.begun = false
}

// Stopped tells why the call was stopped before its first byte; nil if it was
// not.
func (p *Pass) Stopped() error {
	p.gate.scope.mu.Lock()
	defer p.gate.scope.mu.Unlock()
	return p.why
}

// Leave is said once the last byte is out, or never will be.
func (p *Pass) Leave() {
	s := p.gate.scope
	s.mu.Lock()
	defer s.mu.Unlock()
	s.passes = slices.DeleteFunc(s.passes, func(x *Pass) bool { return x == p })
}
