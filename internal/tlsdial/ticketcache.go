package tlsdial

import (
	"crypto/tls"
	"sync"
	"time"

	"troutusher/internal/tlspolicy"
)

// ticketCache is the tls.ClientSessionCache of one handshake. It offers the session of
// the handshake's permit, once, and stores the sessions that the endpoint sends in the
// dialer's cache, under the session identity of the permit.
type ticketCache struct {
	dialer     *Dialer
	identity   tlspolicy.SessionIdentity
	generation uint64 // of the rule's files when the permit was issued
	rule       *rule

	mu         sync.Mutex
	toOffer    *tls.ClientSessionState // nil after it was offered
	offered    *tls.ClientSessionState // the session that Get returned; nil before that and after commit
	validUntil time.Time               // when the endpoint's verification expires; zero until commit records it
	received   *tls.ClientSessionState // the newest session received before commit
	onReceived func()                  // called when received is set
}

// Get returns the session of the permit. After the first call it returns none.
func (t *ticketCache) Get(string) (*tls.ClientSessionState, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	session := t.toOffer
	t.toOffer, t.offered = nil, session
	return session, session != nil
}

// hasReceived reports whether a session was received before commit.
func (t *ticketCache) hasReceived() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.received != nil
}

// Put stores a session that the endpoint sent. Before commit it only keeps the session,
// since the endpoint's identity is not verified yet.
func (t *ticketCache) Put(_ string, session *tls.ClientSessionState) {
	if session == nil {
		return
	}
	t.mu.Lock()
	unverified := t.validUntil.IsZero()
	if unverified { // in TLS 1.2 the session arrives before the end of the handshake
		t.received = session
	}
	t.mu.Unlock()
	if unverified && t.onReceived != nil { // only the reading goroutine sets and calls it
		t.onReceived()
	}
	if !unverified { // validUntil does not change after it is set
		t.dialer.mu.Lock()
		defer t.dialer.mu.Unlock()
		t.store(session)
	}
}

// commit records that the endpoint's identity was verified, and stores the session that was
// received before. If none was received and reusable is set, commit stores the offered
// session again: a TLS 1.2 session that was resumed remains valid if the endpoint sends no
// new one (RFC 5077 section 3.3). Put stores the sessions that arrive later. The caller
// holds the dialer's mu.
func (t *ticketCache) commit(validUntil time.Time, reusable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.validUntil = validUntil
	switch {
	case t.received != nil:
		t.store(t.received)
	case reusable && t.offered != nil:
		t.store(t.offered)
	}
	t.received, t.offered = nil, nil
}

// store caches a session unless the rule's files have changed since the permit was
// issued. The caller holds the dialer's mu.
func (t *ticketCache) store(session *tls.ClientSessionState) {
	if t.generation == t.rule.generation.Load() {
		t.dialer.sessions.Put(t.identity, session, t.dialer.options.Clock(), t.validUntil)
	}
}
