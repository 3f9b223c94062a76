// Package tlsdial makes connections to partners that have proved who they are
// (TLS 1.2, RFC 5246; TLS 1.3, RFC 8446).
//
// It owns the sockets' side of handshakes: who is asked and when, what is
// resumed, the files with keys and roots, and the schedule on which an endpoint
// whose proof failed is asked again. Whom to trust, what a failure means and how
// many handshakes there may be, package tlspolicy says. It must never send a byte
// of a message, know a call, or send early data.
package tlsdial

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"troutusher/internal/certstore"
	"troutusher/internal/operatorconfig"
	"troutusher/internal/tlspolicy"
)

const (
	reloadInterval  = time.Second
	busyRetryDelay  = 100 * time.Millisecond // where the schedule's own handshake finds no room
	warningInterval = 24 * time.Hour
	reportingMargin = 500 * time.Millisecond // beyond a handshake's time, until its end is told
)

// Options are what partners are reached by.
type Options struct {
	Rules      []operatorconfig.TLSRule
	Handshakes operatorconfig.Handshakes
	Log        *slog.Logger
	Clock      func() time.Time // by which certificates are judged; nil for time.Now
	Seed       uint64
	StateDir   string // the folder that outlasts the process, for sessions
	// OnRejected is told that an endpoint gets nothing for a time, 0 for that it may
	// again. It must not wait.
	OnRejected func(endpoint uint64, wait time.Duration)
}

// Dialer is all that concerns connections over TLS.
type Dialer struct {
	options          Options
	handshakeTimeout time.Duration
	selector         *tlspolicy.RuleSelector
	rules            []*rule

	mu           sync.Mutex
	trust        *tlspolicy.TrustTracker
	budget       *tlspolicy.HandshakeBudget
	sessions     *tlspolicy.SessionCache[*tls.ClientSessionState]
	sessionKey   []byte // of the sessions that outlast the process; nil for none
	endpoints    map[uint64]*Endpoint
	lastWarnings map[string]time.Time
	counts       Counts
}

// rule is one of the operator's, with what its files hold now.
type rule struct {
	settings       *operatorconfig.TLSRule
	policy         tlspolicy.Rule // but for its roots
	files          *certstore.Store
	generation     atomic.Uint64 // of what the files hold
	earliestExpiry atomic.Int64  // Unix seconds at which the first proof under it ends; 0 for none yet
}

// Counts are of handshakes since the start.
type Counts struct {
	Full, Resumed                        int64 // whole ones
	Rejected                             int64 // whose proof was not accepted, on either side
	Inconclusive                         int64 // that ended without one
	RejectedEndpoints, VerifiedEndpoints int   // endpoints
}

// New reads the rules' files; one that cannot be used is an error.
func New(o Options) (*Dialer, error) {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	f := operatorconfig.File{TLSRules: o.Rules}
	p := &Dialer{options: o, handshakeTimeout: o.Handshakes.Timeout(), trust: tlspolicy.NewTrustTracker(o.Seed), endpoints: map[uint64]*Endpoint{}, lastWarnings: map[string]time.Time{},
		sessions: tlspolicy.NewSessionCache[*tls.ClientSessionState](o.Handshakes.SessionCacheSize())}
	var err error
	if p.selector, err = tlspolicy.NewRuleSelector(f.Targets()); err != nil {
		return nil, err
	}
	if p.budget, err = tlspolicy.NewHandshakeBudget(o.Handshakes.Limits(), time.Now()); err != nil {
		return nil, err
	}
	for i := range o.Rules {
		r := &rule{settings: &o.Rules[i]}
		if r.policy, err = r.settings.Rule(); err != nil {
			return nil, fmt.Errorf("tls %s: %w", r.settings.Name, err)
		}
		if r.files, err = certstore.Open(r.settings.Files(), o.Clock()); err != nil {
			return nil, fmt.Errorf("tls %s: %w", r.settings.Name, err)
		}
		p.rules = append(p.rules, r)
		p.warnExpiringFiles(r)
	}
	if path := o.Handshakes.SessionKey; path != "" {
		if p.sessionKey, err = readSessionKey(path); err != nil {
			return nil, err
		}
		p.restoreSessions(o.StateDir)
	}
	return p, nil
}

// HandshakeWeight is what a connection to a destination takes there, in calls.
func (p *Dialer) HandshakeWeight(dest int, flavor string) float64 {
	if i, ok := p.selector.Find(dest, flavor); ok {
		return p.rules[i].settings.ConnectionCost()
	}
	return 0
}

// Run looks at the files until ctx ends.
func (p *Dialer) Run(ctx context.Context) {
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			p.mu.Lock()
			for _, e := range p.endpoints {
				e.stopRetry()
			}
			p.mu.Unlock()
			return
		case <-tick.C:
			p.ReloadFiles()
		}
	}
}

// ReloadFiles reads the files again. One goroutine calls it.
func (p *Dialer) ReloadFiles() {
	for _, r := range p.rules {
		changed, err := r.files.Reload(p.options.Clock())
		if err != nil {
			p.options.Log.Error("tls: the files are not used, what was read before goes on", "rule", r.settings.Name, "err", err)
		}
		p.warnExpiringFiles(r)
		if !changed {
			continue
		}
		p.mu.Lock()
		r.generation.Add(1)
		r.earliestExpiry.Store(0)
		p.sessions.DropRule(r.settings.Name)
		for _, e := range p.endpoints {
			if f, _ := p.trust.Rejection(e.trustKey()); e.rule == r && f != nil {
				p.scheduleRetry(e, 0) // the operator has changed what it failed by
			}
		}
		p.mu.Unlock()
		p.options.Log.Info("tls: the files have changed and are in use", "rule", r.settings.Name)
	}
}

// warnExpiringFiles tells ahead of what is about to end.
func (p *Dialer) warnExpiringFiles(r *rule) {
	set := r.files.Current()
	p.warnExpiring(r, "our certificate", set.NotAfter)
	if e := set.RevocationLists.NextUpdate(); !e.IsZero() {
		p.warnExpiring(r, "a revocation list", e)
	}
}

func (p *Dialer) warnExpiring(r *rule, what string, end time.Time) {
	if end.IsZero() {
		return
	}
	left := end.Sub(p.options.Clock())
	if left > r.settings.ExpiryWarning() {
		return
	}
	p.mu.Lock()
	key := r.settings.Name + "/" + what
	told, ok := p.lastWarnings[key]
	now := time.Now()
	quiet := ok && now.Sub(told) < warningInterval
	if !quiet {
		p.lastWarnings[key] = now
	}
	p.mu.Unlock()
	if !quiet {
		p.options.Log.Warn("tls: ends soon", "rule", r.settings.Name, "what", what, "end", end.UTC().Format(time.RFC3339), "hours_left", int(left.Hours()))
	}
}

// DaysLeft is the least number of days that a rule's proofs, and our own
// certificate under it, are still good for, by the rule's name.
func (p *Dialer) DaysLeft(f func(name string, days float64)) {
	now := p.options.Clock()
	for _, r := range p.rules {
		end := r.files.Current().NotAfter
		if e := r.earliestExpiry.Load(); e != 0 && (end.IsZero() || time.Unix(e, 0).Before(end)) {
			end = time.Unix(e, 0)
		}
		if !end.IsZero() {
			f(r.settings.Name, end.Sub(now).Hours()/24)
		}
	}
}

// Counts shows the counts.
func (p *Dialer) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.counts
	c.RejectedEndpoints, c.VerifiedEndpoints = p.trust.Counts()
	return c
}

// Endpoint is one endpoint that is reached over TLS.
type Endpoint struct {
	dialer         *Dialer
	number         uint64
	dest           int
	rule           *rule
	retryHandshake func() (begun bool)
	retryTimer     *time.Timer
	closed         bool
}

func (e *Endpoint) trustKey() int { return int(e.number) }

// Endpoint is for an endpoint of a destination; nil where it is reached without TLS.
// again is called on the schedule of an endpoint that is out, and is to begin a
// handshake by Begin with scheduled set.
func (p *Dialer) Endpoint(endpoint uint64, dest int, flavor string, again func() bool) *Endpoint {
	if p == nil {
		return nil
	}
	i, ok := p.selector.Find(dest, flavor)
	if !ok {
		return nil
	}
	e := &Endpoint{dialer: p, number: endpoint, dest: dest, rule: p.rules[i], retryHandshake: again}
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.endpoints[endpoint]; old != nil {
		p.removeEndpoint(old)
	}
	p.endpoints[endpoint] = e
	return e
}

// ChargesHandshakes reports whether a handshake there is paid for like calls.
func (e *Endpoint) ChargesHandshakes() bool { return e.rule.settings.ConnectionCost() > 0 }

// Close forgets an endpoint that has gone.
func (e *Endpoint) Close() {
	e.dialer.mu.Lock()
	defer e.dialer.mu.Unlock()
	if e.dialer.endpoints[e.number] == e {
		e.dialer.removeEndpoint(e)
	}
}

// removeEndpoint: the caller holds mu.
func (p *Dialer) removeEndpoint(e *Endpoint) {
	e.closed = true
	e.stopRetry()
	p.trust.Remove(e.trustKey())
	delete(p.endpoints, e.number)
}

func (e *Endpoint) stopRetry() {
	if e.retryTimer != nil {
		e.retryTimer.Stop()
	}
}

// RejectedError is an endpoint whose proof was not accepted: nothing was sent there.
type RejectedError struct {
	Reason     *tlspolicy.IdentityError
	RetryAfter time.Duration // until it may be asked again
}

func (o *RejectedError) Error() string { return "out: " + o.Reason.Error() }

// Unwrap is why.
func (o *RejectedError) Unwrap() error { return o.Reason }

// Acquire asks to begin a handshake. Without a turn and an error it is not granted
// now: at is when to ask again, zero for once another handshake there has ended.
func (e *Endpoint) Acquire(cold, scheduled bool) (t *Permit, at time.Time, err error) {
	p := e.dialer
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	f, _ := p.trust.Rejection(e.trustKey())
	if f != nil {
		may, at := p.trust.MayRetry(e.trustKey(), now)
		if !scheduled { // a message cannot mend it, and does not ask
			wait := max(at.Sub(now), busyRetryDelay)
			p.options.OnRejected(e.number, wait+p.handshakeTimeout+reportingMargin)
			return nil, at, &RejectedError{f, wait}
		}
		if !may {
			return nil, at, &RejectedError{f, at.Sub(now)}
		}
	}
	set := e.rule.files.Current()
	t = &Permit{endpoint: e, credentials: set, generation: e.rule.generation.Load(), identity: e.rule.policy.SessionIdentity(e.dest, set.RootsSum, set.CertificateSum)}
	kind := tlspolicy.FullHandshake
	if p.sessions.Has(t.identity, p.options.Clock()) {
		kind = tlspolicy.ResumedHandshake
	}
	var ok bool
	if t.reservation, ok, at = p.budget.Reserve(e.trustKey(), kind, cold || f != nil, now); !ok {
		return nil, at, nil
	}
	if f != nil {
		p.trust.RetryStarted(e.trustKey())
	}
	if kind == tlspolicy.ResumedHandshake {
		t.session, t.sessionUntil, _ = p.sessions.Take(t.identity, p.options.Clock())
	}
	t.kind = kind
	return t, time.Time{}, nil
}

// recordRejection books a proof that was not accepted and sets when to ask again. The
// caller holds mu.
func (p *Dialer) recordRejection(e *Endpoint, f *tlspolicy.IdentityError) *RejectedError {
	p.counts.Rejected++
	now := time.Now()
	if said := p.trust.RecordFailure(e.trustKey(), f, now); said != "" {
		p.options.Log.Error("tls: "+string(said), "endpoint", e.number, "dest", e.dest, "rule", f.Rule, "cause", f.Cause.String())
	}
	_, at := p.trust.MayRetry(e.trustKey(), now)
	wait := max(at.Sub(now), 0)
	p.scheduleRetry(e, wait)
	if !e.closed {
		p.options.OnRejected(e.number, wait+p.handshakeTimeout+reportingMargin)
	}
	return &RejectedError{f, wait}
}

// scheduleRetry asks an endpoint that is out again, by itself. The caller holds mu.
func (p *Dialer) scheduleRetry(e *Endpoint, wait time.Duration) {
	e.stopRetry()
	if e.closed || e.retryHandshake == nil {
		return
	}
	e.retryTimer = time.AfterFunc(wait, func() {
		if e.retryHandshake() {
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		f, _ := p.trust.Rejection(e.trustKey())
		if f == nil || e.closed {
			return
		}
		_, at := p.trust.MayRetry(e.trustKey(), time.Now())
		p.scheduleRetry(e, max(time.Until(at), busyRetryDelay))
	})
}

// RecordAlert is told of an error on a connection whose handshake was over here, and
// reports whether it is the partner's word that it does not accept us: with TLS
// 1.3 that comes after the handshake (RFC 8446 section 4.4.2.4).
func (e *Endpoint) RecordAlert(err error) (*RejectedError, bool) {
	cause, ok := causeOfError(err)
	if !ok {
		return nil, false
	}
	e.dialer.mu.Lock()
	defer e.dialer.mu.Unlock()
	return e.dialer.recordRejection(e, &tlspolicy.IdentityError{Cause: cause, Rule: e.rule.settings.Name, Err: err}), true
}

// remoteAlert is the alert that a partner sent, if err is one. crypto/tls does not
// export the type; the text is that of tls.AlertError.
func remoteAlert(err error) (uint8, bool) {
	var op *net.OpError
	if !errors.As(err, &op) || op.Op != "remote error" {
		return 0, false
	}
	for code := range 256 {
		if op.Err.Error() == tls.AlertError(code).Error() {
			return uint8(code), true
		}
	}
	return 0, false
}

func causeOfError(err error) (tlspolicy.FailureCause, bool) {
	alert, ok := remoteAlert(err)
	if !ok {
		return 0, false
	}
	return tlspolicy.CauseOfAlert(alert)
}

// isTransient reports whether a handshake ended by what may befall any connection,
// and not by what both sides said.
func isTransient(ctx context.Context, err error) bool {
	if _, ok := remoteAlert(err); ok {
		return true // one that tells nothing of identity
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "local error" {
		return false
	}
	var netErr net.Error
	var errno syscall.Errno
	return ctx.Err() != nil || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) ||
		errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &errno) || errors.As(err, &netErr)
}
