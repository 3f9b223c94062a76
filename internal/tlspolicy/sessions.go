package tlspolicy

import (
	"container/list"
	"crypto/sha256"
	"time"
)

// Identity is under whose eyes a session was made. A session is offered under
// the same identity alone: another name, other roots or pins, or another
// certificate of our own is another identity, even for the same destination.
type Identity struct {
	Dest int
	Rule string
	Sum  [sha256.Size]byte // of server name, roots, pins and our own certificate
}

// Bounds of the cache.
const (
	// Kept of one identity: as many handshakes as may be under way at once each
	// find one of their own (RFC 8446 appendix C.4: a ticket is used once).
	sessionsEach = 8
	// RFC 8446 section 4.6.1 allows seven days. What was proved should be proved
	// again sooner.
	sessionLife = 12 * time.Hour
)

// Sessions is a bounded cache of sessions. What a session is, the driver knows.
// It is not safe for several goroutines; times must not go back.
type Sessions[T any] struct {
	most int
	by   map[Identity][]*list.Element // the newest last
	all  *list.List                   // the oldest first
}

type session[T any] struct {
	of    Identity
	until time.Time
	what  T
}

// NewSessions makes a cache for most sessions in all; with 0 nothing is kept.
func NewSessions[T any](most int) *Sessions[T] {
	return &Sessions[T]{most: most, by: map[Identity][]*list.Element{}, all: list.New()}
}

// Put keeps a session. It ends with the proof by which it was made, and after
// twelve hours at the latest.
func (s *Sessions[T]) Put(of Identity, what T, now, proof time.Time) {
	until := now.Add(sessionLife)
	if proof.Before(until) {
		until = proof
	}
	s.Restore(of, what, now, until)
}

// Restore keeps a session that ends at a moment known already.
func (s *Sessions[T]) Restore(of Identity, what T, now, until time.Time) {
	if s.most <= 0 || !now.Before(until) || until.After(now.Add(sessionLife)) {
		return
	}
	if have := s.by[of]; len(have) >= sessionsEach {
		s.drop(have[0])
	}
	if s.all.Len() >= s.most {
		s.drop(s.all.Front())
	}
	s.by[of] = append(s.by[of], s.all.PushBack(&session[T]{of, until, what}))
}

// Take gives the newest session of an identity away: it is used once.
func (s *Sessions[T]) Take(of Identity, now time.Time) (what T, until time.Time, ok bool) {
	for have := s.by[of]; len(have) > 0; have = s.by[of] {
		e := have[len(have)-1]
		x := e.Value.(*session[T])
		s.drop(e)
		if now.Before(x.until) {
			return x.what, x.until, true
		}
	}
	return what, until, false
}

// Has reports whether Take would give one.
func (s *Sessions[T]) Has(of Identity, now time.Time) bool {
	for _, e := range s.by[of] {
		if now.Before(e.Value.(*session[T]).until) {
			return true
		}
	}
	return false
}

// Drop gives up every session made under a rule: its trust has changed.
func (s *Sessions[T]) Drop(rule string) {
	for e := s.all.Front(); e != nil; {
		next := e.Next()
		if e.Value.(*session[T]).of.Rule == rule {
			s.drop(e)
		}
		e = next
	}
}

// Each shows all sessions, the oldest first.
func (s *Sessions[T]) Each(f func(of Identity, what T, until time.Time)) {
	for e := s.all.Front(); e != nil; e = e.Next() {
		x := e.Value.(*session[T])
		f(x.of, x.what, x.until)
	}
}

// Len is how many are kept.
func (s *Sessions[T]) Len() int { return s.all.Len() }

func (s *Sessions[T]) drop(e *list.Element) {
	of := e.Value.(*session[T]).of
	have := s.by[of]
	for i, x := range have {
		if x == e {
			have = append(have[:i], have[i+1:]...)
			break
		}
	}
	if len(have) == 0 {
		delete(s.by, of)
	} else {
		s.by[of] = have
	}
	s.all.Remove(e)
}
