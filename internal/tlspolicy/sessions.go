package tlspolicy

import (
	"container/list"
	"crypto/sha256"
	"slices"
	"time"
)

// SessionIdentity identifies the settings that a session was verified with. A session is
// offered only under its own identity: another server name, other roots or pins, or
// another certificate of the relay makes another identity, even for the same destination.
type SessionIdentity struct {
	Destination int
	Rule        string            // name of the rule
	Sum         [sha256.Size]byte // hash of server name, roots, pins and the relay's certificate
}

// Bounds of the cache.
const (
	// maxSessionsPerIdentity is enough for each of the handshakes in flight to use a
	// session of its own, since a ticket is used only once (RFC 8446 appendix C.4).
	maxSessionsPerIdentity = 8
	// maxSessionLifetime is shorter than the seven days of RFC 8446 section 4.6.1, so
	// that full handshakes verify identities again sooner.
	maxSessionLifetime = 12 * time.Hour
)

// SessionCache is a bounded cache of TLS sessions, of type T, for resumption. It is not safe for concurrent
// use. The times passed to it must not decrease.
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

// entryOf returns the cached session that a list element holds.
func entryOf[T any](e *list.Element) *cachedSession[T] { return e.Value.(*cachedSession[T]) }

// NewSessionCache returns a cache for at most capacity sessions; with 0 it caches none.
func NewSessionCache[T any](capacity int) *SessionCache[T] {
	return &SessionCache[T]{
		capacity:    capacity,
		byIdentity:  map[SessionIdentity][]*list.Element{},
		oldestFirst: list.New(),
	}
}

// Put caches a session until its verification expires at verifiedUntil, but for at most
// maxSessionLifetime.
func (s *SessionCache[T]) Put(id SessionIdentity, session T, now, verifiedUntil time.Time) {
	until := now.Add(maxSessionLifetime)
	if verifiedUntil.Before(until) {
		until = verifiedUntil
	}
	s.PutUntil(id, session, now, until)
}

// PutUntil caches a session that expires at until, as computed by an earlier Put. It
// ignores a session that has expired or that would last longer than maxSessionLifetime.
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

// Take removes and returns the newest session of an identity that has not expired. A
// session is removed because it is used only once.
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

// DropRule removes all sessions of a rule, after the rule's files have changed.
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

// Len returns the number of cached sessions.
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
