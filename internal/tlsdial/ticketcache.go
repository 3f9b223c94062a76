package tlsdial

import (
	"crypto/tls"
	"sync"
	"time"

	"troutusher/internal/tlspolicy"
)

// ticketCache is the tls.ClientSessionCache of one handshake: it offers the one
// session of its permit, once, and stores what the endpoint sends under the
// identity of that permit.
type ticketCache struct {
	dialer     *Dialer
	identity   tlspolicy.SessionIdentity
	generation uint64
	rule       *rule

	mu         sync.Mutex
	offer      *tls.ClientSessionState // not offered yet
	offered    *tls.ClientSessionState
	validUntil time.Time               // of the verification; zero until it is recorded
	early      *tls.ClientSessionState // arrived before the verification was recorded
	onEarly    func()                  // called when it arrives
}

// Get returns the session of the permit.
func (t *ticketCache) Get(string) (*tls.ClientSessionState, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	session := t.offer
	t.offer, t.offered = nil, session
	return session, session != nil
}

// hasEarly reports whether a session has arrived in this handshake.
func (t *ticketCache) hasEarly() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.early != nil
}

// Put stores a session that the endpoint sent.
func (t *ticketCache) Put(_ string, session *tls.ClientSessionState) {
	if session == nil {
		return
	}
	t.mu.Lock()
	early := t.validUntil.IsZero()
	if early { // TLS 1.2 sends it before the end of the handshake
		t.early = session
	}
	t.mu.Unlock()
	if early && t.onEarly != nil { // set and called by the goroutine that reads
		t.onEarly()
	}
	if !early { // validUntil does not change any more
		t.dialer.mu.Lock()
		defer t.dialer.mu.Unlock()
		t.store(session)
	}
}

// commit records the verification, and stores a session that arrived before it. A
// TLS 1.2 session that was resumed without a new one being sent is reusable (RFC 5077
// section 3.3). The caller holds the dialer's mu.
func (t *ticketCache) commit(validUntil time.Time, reusable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.validUntil = validUntil
	switch {
	case t.early != nil:
		t.store(t.early)
	case reusable && t.offered != nil:
		t.store(t.offered)
	}
	t.early, t.offered = nil, nil
}

// store keeps a session unless the rule's files have changed since the permit. The
// caller holds the dialer's mu.
func (t *ticketCache) store(session *tls.ClientSessionState) {
	if t.generation == t.rule.generation.Load() {
		t.dialer.sessions.Put(t.identity, session, t.dialer.options.Clock(), t.validUntil)
	}
}
