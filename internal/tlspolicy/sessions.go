package tlspolicy

import (
	"container/list"
	"crypto/sha256"
	"slices"
	"time"
)

// SessionIdentity is what a session was verified by. A session is offered under the
// same identity alone: another server name, other roots or pins, or another
// certificate of our own makes another identity, even for the same destination.
type SessionIdentity struct {
	Destination int
	Rule        string
	Sum         [sha256.Size]byte // of server name, roots, pins and our own certificate
}

// Bounds of the cache.
const (
	// maxSessionsPerIdentity lets as many handshakes as may be in flight at once each
	// use a session of their own (RFC 8446 appendix C.4: a ticket is used once).
	maxSessionsPerIdentity = 8
	// maxSessionLifetime is shorter than the seven days of RFC 8446 section 4.6.1, so
	// that identities are verified again sooner.
	maxSessionLifetime = 12 * time.Hour
)

// SessionCache is a bounded cache of sessions, whose type the caller knows. It is not
// safe for concurrent use; times must not go back.
type SessionCache[T any] struct {
	capacity    int
	byIdentity  map[SessionIdentity][]*list.Element // the newest last
	oldestFirst *list.List                          // of all sessions
}

type cachedSession[T any] struct {
	identity SessionIdentity
	until    time.Time
	session  T
}

// entryOf returns the session of a list element.
func entryOf[T any](e *list.Element) *cachedSession[T] { return e.Value.(*cachedSession[T]) }

// NewSessionCache returns a cache for capacity sessions in all; with 0 nothing is
// cached.
func NewSessionCache[T any](capacity int) *SessionCache[T] {
	return &SessionCache[T]{
		capacity:    capacity,
		byIdentity:  map[SessionIdentity][]*list.Element{},
		oldestFirst: list.New(),
	}
}

// Put caches a session until the verification by which it was made expires, and for
// twelve hours at most.
func (s *SessionCache[T]) Put(id SessionIdentity, session T, now, verifiedUntil time.Time) {
	until := now.Add(maxSessionLifetime)
	if verifiedUntil.Before(until) {
		until = verifiedUntil
	}
	s.PutUntil(id, session, now, until)
}

// PutUntil caches a session whose expiry was computed before. One that has expired, or
// that lasts longer than Put would let it, is left out.
func (s *SessionCache[T]) PutUntil(id SessionIdentity, session T, now, until time.Time) {
	if s.capacity <= 0 || !now.Before(until) || until.After(now.Add(maxSessionLifetime)) {
		return
	}
	if cached := s.byIdentity[id]; len(cached) >= maxSessionsPerIdentity {
		s.remove(cached[0])
	}
	if s.oldestFirst.Len() >= s.capacity {
		s.remove(s.oldestFirst.Front())
	}
	entry := &cachedSession[T]{identity: id, until: until, session: session}
	s.byIdentity[id] = append(s.byIdentity[id], s.oldestFirst.PushBack(entry))
}

// Take removes and returns the newest session of an identity: a session is used once.
func (s *SessionCache[T]) Take(id SessionIdentity, now time.Time) (session T, until time.Time, ok bool) {
	for cached := s.byIdentity[id]; len(cached) > 0; cached = s.byIdentity[id] {
		newest := cached[len(cached)-1]
		s.remove(newest)
		if entry := entryOf[T](newest); now.Before(entry.until) {
			return entry.session, entry.until, true
		}
	}
	return session, until, false
}

// Has reports whether Take would return a session.
func (s *SessionCache[T]) Has(id SessionIdentity, now time.Time) bool {
	return slices.ContainsFunc(s.byIdentity[id], func(e *list.Element) bool {
		return now.Before(entryOf[T](e).until)
	})
}

// DropRule removes all sessions made under a rule, whose files have changed.
func (s *SessionCache[T]) DropRule(rule string) {
	for e := s.oldestFirst.Front(); e != nil; {
		next := e.Next()
		if entryOf[T](e).identity.Rule == rule {
			s.remove(e)
		}
		e = next
	}
}

// Each calls f with all sessions, the oldest first.
func (s *SessionCache[T]) Each(f func(id SessionIdentity, session T, until time.Time)) {
	for e := s.oldestFirst.Front(); e != nil; e = e.Next() {
		entry := entryOf[T](e)
		f(entry.identity, entry.session, entry.until)
	}
}

// Len is the number of cached sessions.
func (s *SessionCache[T]) Len() int { return s.oldestFirst.Len() }

func (s *SessionCache[T]) remove(e *list.Element) {
	id := entryOf[T](e).identity
	cached := s.byIdentity[id]
	if i := slices.Index(cached, e); i >= 0 {
		cached = slices.Delete(cached, i, i+1)
	}
	if len(cached) == 0 {
		delete(s.byIdentity, id)
	} else {
		s.byIdentity[id] = cached
	}
	s.oldestFirst.Remove(e)
}
