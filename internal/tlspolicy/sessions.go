package tlspolicy

import (
	"container/list"
	"crypto/sha256"
	"time"
)

// SessionIdentity is under whose eyes a session was made. A session is offered under
// the same identity alone: another name, other roots or pins, or another
// certificate of our own is another identity, even for the same destination.
type SessionIdentity struct {
	Destination int
	Rule        string
	Sum         [sha256.Size]byte // of server name, roots, pins and our own certificate
}

// Bounds of the cache.
const (
	// Kept of one identity: as many handshakes as may be under way at once each
	// find one of their own (RFC 8446 appendix C.4: a ticket is used once).
	maxSessionsPerIdentity = 8
	// RFC 8446 section 4.6.1 allows seven days. What was proved should be proved
	// again sooner.
	maxSessionLifetime = 12 * time.Hour
)

// SessionCache is a bounded cache of sessions. What a session is, the driver knows.
// It is not safe for several goroutines; times must not go back.
type SessionCache[T any] struct {
	capacity    int
	byIdentity  map[SessionIdentity][]*list.Element // the newest last
	oldestFirst *list.List                          // the oldest first
}

type cachedSession[T any] struct {
	identity SessionIdentity
	until    time.Time
	session  T
}

// NewSessionCache makes a cache for most sessions in all; with 0 nothing is kept.
func NewSessionCache[T any](most int) *SessionCache[T] {
	return &SessionCache[T]{capacity: most, byIdentity: map[SessionIdentity][]*list.Element{}, oldestFirst: list.New()}
}

// Put keeps a session. It ends with the proof by which it was made, and after
// twelve hours at the latest.
func (s *SessionCache[T]) Put(of SessionIdentity, what T, now, proof time.Time) {
	until := now.Add(maxSessionLifetime)
	if proof.Before(until) {
		until = proof
	}
	s.PutUntil(of, what, now, until)
}

// PutUntil keeps a session that ends at a moment known already.
func (s *SessionCache[T]) PutUntil(of SessionIdentity, what T, now, until time.Time) {
	if s.capacity <= 0 || !now.Before(until) || until.After(now.Add(maxSessionLifetime)) {
		return
	}
	if have := s.byIdentity[of]; len(have) >= maxSessionsPerIdentity {
		s.remove(have[0])
	}
	if s.oldestFirst.Len() >= s.capacity {
		s.remove(s.oldestFirst.Front())
	}
	s.byIdentity[of] = append(s.byIdentity[of], s.oldestFirst.PushBack(&cachedSession[T]{of, until, what}))
}

// Take gives the newest session of an identity away: it is used once.
func (s *SessionCache[T]) Take(of SessionIdentity, now time.Time) (what T, until time.Time, ok bool) {
	for have := s.byIdentity[of]; len(have) > 0; have = s.byIdentity[of] {
		e := have[len(have)-1]
		x := e.Value.(*cachedSession[T])
		s.remove(e)
		if now.Before(x.until) {
			return x.session, x.until, true
		}
	}
	return what, until, false
}

// Has reports whether Take would give one.
func (s *SessionCache[T]) Has(of SessionIdentity, now time.Time) bool {
	for _, e := range s.byIdentity[of] {
		if now.Before(e.Value.(*cachedSession[T]).until) {
			return true
		}
	}
	return false
}

// DropRule gives up every session made under a rule: its trust has changed.
func (s *SessionCache[T]) DropRule(rule string) {
	for e := s.oldestFirst.Front(); e != nil; {
		next := e.Next()
		if e.Value.(*cachedSession[T]).identity.Rule == rule {
			s.remove(e)
		}
		e = next
	}
}

// Each shows all sessions, the oldest first.
func (s *SessionCache[T]) Each(f func(of SessionIdentity, what T, until time.Time)) {
	for e := s.oldestFirst.Front(); e != nil; e = e.Next() {
		x := e.Value.(*cachedSession[T])
		f(x.identity, x.session, x.until)
	}
}

// Len is how many are kept.
func (s *SessionCache[T]) Len() int { return s.oldestFirst.Len() }

func (s *SessionCache[T]) remove(e *list.Element) {
	of := e.Value.(*cachedSession[T]).identity
	have := s.byIdentity[of]
	for i, x := range have {
		if x == e {
			have = append(have[:i], have[i+1:]...)
			break
		}
	}
	if len(have) == 0 {
		delete(s.byIdentity, of)
	} else {
		s.byIdentity[of] = have
	}
	s.oldestFirst.Remove(e)
}
