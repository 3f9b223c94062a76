// Package secure makes connections to partners that have proved who they are
// (TLS 1.2, RFC 5246; TLS 1.3, RFC 8446).
//
// It owns the sockets' side of handshakes: who is asked and when, what is
// resumed, the files with keys and roots, and the schedule on which an endpoint
// whose proof failed is asked again. Whom to trust, what a failure means and how
// many handshakes there may be, package tlspolicy says. It must never send a byte
// of a message, know a call, or send early data.
package secure

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

	"troutusher/internal/keys"
	"troutusher/internal/operator"
	"troutusher/internal/tlspolicy"
)

const (
	lookEvery  = time.Second
	retryBusy  = 100 * time.Millisecond // where the schedule's own handshake finds no room
	warnEvery  = 24 * time.Hour
	settleWait = 500 * time.Millisecond // beyond a handshake's time, until its end is told
)

// Options are what partners are reached by.
type Options struct {
	Rules      []operator.TLSRule
	Handshakes operator.Handshakes
	Log        *slog.Logger
	Clock      func() time.Time // by which certificates are judged; nil for time.Now
	Seed       uint64
	State      string // the folder that outlasts the process, for sessions
	// Barred is told that an endpoint gets nothing for a time, 0 for that it may
	// again. It must not wait.
	Barred func(endpoint uint64, wait time.Duration)
}

// Partners is all that concerns connections over TLS.
type Partners struct {
	o        Options
	timeout  time.Duration
	selector *tlspolicy.Selector
	rules    []*rule

	mu       sync.Mutex
	book     *tlspolicy.Book
	budget   *tlspolicy.Budget
	sessions *tlspolicy.Sessions[*tls.ClientSessionState]
	key      []byte // of the sessions that outlast the process; nil for none
	peers    map[uint64]*Peer
	warned   map[string]time.Time
	counts   Counts
}

// rule is one of the operator's, with what its files hold now.
type rule struct {
	set    *operator.TLSRule
	policy tlspolicy.Rule // but for its roots
	store  *keys.Store
	gen    atomic.Uint64 // of what the files hold
	end    atomic.Int64  // Unix seconds at which the first proof under it ends; 0 for none yet
}

// Counts are of handshakes since the start.
type Counts struct {
	Full, Resumed int64 // whole ones
	Refused       int64 // whose proof was not accepted, on either side
	Broken        int64 // that ended without one
	Out, Sound    int   // endpoints
}

// New reads the rules' files; one that cannot be used is an error.
func New(o Options) (*Partners, error) {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	f := operator.File{TLSRules: o.Rules}
	p := &Partners{o: o, timeout: o.Handshakes.Timeout(), book: tlspolicy.NewBook(o.Seed), peers: map[uint64]*Peer{}, warned: map[string]time.Time{},
		sessions: tlspolicy.NewSessions[*tls.ClientSessionState](o.Handshakes.SessionCacheSize())}
	var err error
	if p.selector, err = tlspolicy.NewSelector(f.Targets()); err != nil {
		return nil, err
	}
	if p.budget, err = tlspolicy.NewBudget(o.Handshakes.Limits(), time.Now()); err != nil {
		return nil, err
	}
	for i := range o.Rules {
		r := &rule{set: &o.Rules[i]}
		if r.policy, err = r.set.Rule(); err != nil {
			return nil, fmt.Errorf("tls %s: %w", r.set.Name, err)
		}
		if r.store, err = keys.Open(r.set.Files(), o.Clock()); err != nil {
			return nil, fmt.Errorf("tls %s: %w", r.set.Name, err)
		}
		p.rules = append(p.rules, r)
		p.warnFiles(r)
	}
	if path := o.Handshakes.SessionKey; path != "" {
		if p.key, err = readKeyFile(path); err != nil {
			return nil, err
		}
		p.restore(o.State)
	}
	return p, nil
}

// Opening is what a connection to a destination takes there, in calls.
func (p *Partners) Opening(dest int, flavor string) float64 {
	if i, ok := p.selector.Find(dest, flavor); ok {
		return p.rules[i].set.ConnectionCost()
	}
	return 0
}

// Run looks at the files until ctx ends.
func (p *Partners) Run(ctx context.Context) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			p.mu.Lock()
			for _, e := range p.peers {
				e.stop()
			}
			p.mu.Unlock()
			return
		case <-tick.C:
			p.Look()
		}
	}
}

// Look reads the files again. One goroutine calls it.
func (p *Partners) Look() {
	for _, r := range p.rules {
		changed, err := r.store.Look(p.o.Clock())
		if err != nil {
			p.o.Log.Error("tls: the files are not used, what was read before goes on", "rule", r.set.Name, "err", err)
		}
		p.warnFiles(r)
		if !changed {
			continue
		}
		p.mu.Lock()
		r.gen.Add(1)
		r.end.Store(0)
		p.sessions.Drop(r.set.Name)
		for _, e := range p.peers {
			if f, _ := p.book.Out(e.id()); e.rule == r && f != nil {
				p.retry(e, 0) // the operator has changed what it failed by
			}
		}
		p.mu.Unlock()
		p.o.Log.Info("tls: the files have changed and are in use", "rule", r.set.Name)
	}
}

// warnFiles tells ahead of what is about to end.
func (p *Partners) warnFiles(r *rule) {
	set := r.store.Current()
	p.warn(r, "our certificate", set.Until)
	if e := set.Lists.Ends(); !e.IsZero() {
		p.warn(r, "a revocation list", e)
	}
}

func (p *Partners) warn(r *rule, what string, end time.Time) {
	if end.IsZero() {
		return
	}
	left := end.Sub(p.o.Clock())
	if left > r.set.ExpiryWarning() {
		return
	}
	p.mu.Lock()
	key := r.set.Name + "/" + what
	told, ok := p.warned[key]
	now := time.Now()
	quiet := ok && now.Sub(told) < warnEvery
	if !quiet {
		p.warned[key] = now
	}
	p.mu.Unlock()
	if !quiet {
		p.o.Log.Warn("tls: ends soon", "rule", r.set.Name, "what", what, "end", end.UTC().Format(time.RFC3339), "hours_left", int(left.Hours()))
	}
}

// Days is the least number of days that a rule's proofs, and our own
// certificate under it, are still good for, by the rule's name.
func (p *Partners) Days(f func(name string, days float64)) {
	now := p.o.Clock()
	for _, r := range p.rules {
		end := r.store.Current().Until
		if e := r.end.Load(); e != 0 && (end.IsZero() || time.Unix(e, 0).Before(end)) {
			end = time.Unix(e, 0)
		}
		if !end.IsZero() {
			f(r.set.Name, end.Sub(now).Hours()/24)
		}
	}
}

// Counts shows the counts.
func (p *Partners) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.counts
	c.Out, c.Sound = p.book.Counts()
	return c
}

// Peer is one endpoint that is reached over TLS.
type Peer struct {
	p        *Partners
	endpoint uint64
	dest     int
	rule     *rule
	again    func() (begun bool)
	timer    *time.Timer
	closed   bool
}

func (e *Peer) id() int { return int(e.endpoint) }

// Peer is for an endpoint of a destination; nil where it is reached without TLS.
// again is called on the schedule of an endpoint that is out, and is to begin a
// handshake by Begin with scheduled set.
func (p *Partners) Peer(endpoint uint64, dest int, flavor string, again func() bool) *Peer {
	if p == nil {
		return nil
	}
	i, ok := p.selector.Find(dest, flavor)
	if !ok {
		return nil
	}
	e := &Peer{p: p, endpoint: endpoint, dest: dest, rule: p.rules[i], again: again}
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.peers[endpoint]; old != nil {
		p.forget(old)
	}
	p.peers[endpoint] = e
	return e
}

// Weighs reports whether a handshake there is paid for like calls.
func (e *Peer) Weighs() bool { return e.rule.set.ConnectionCost() > 0 }

// Close forgets an endpoint that has gone.
func (e *Peer) Close() {
	e.p.mu.Lock()
	defer e.p.mu.Unlock()
	if e.p.peers[e.endpoint] == e {
		e.p.forget(e)
	}
}

// forget: the caller holds mu.
func (p *Partners) forget(e *Peer) {
	e.closed = true
	e.stop()
	p.book.Forget(e.id())
	delete(p.peers, e.endpoint)
}

func (e *Peer) stop() {
	if e.timer != nil {
		e.timer.Stop()
	}
}

// Out is an endpoint whose proof was not accepted: nothing was sent there.
type Out struct {
	Failure *tlspolicy.Failure
	Wait    time.Duration // until it may be asked again
}

func (o *Out) Error() string { return "out: " + o.Failure.Error() }

// Unwrap is why.
func (o *Out) Unwrap() error { return o.Failure }

// Begin asks to begin a handshake. Without a turn and an error it is not granted
// now: at is when to ask again, zero for once another handshake there has ended.
func (e *Peer) Begin(cold, scheduled bool) (t *Turn, at time.Time, err error) {
	p := e.p
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	f, _ := p.book.Out(e.id())
	if f != nil {
		may, at := p.book.MayAsk(e.id(), now)
		if !scheduled { // a message cannot mend it, and does not ask
			wait := max(at.Sub(now), retryBusy)
			p.o.Barred(e.endpoint, wait+p.timeout+settleWait)
			return nil, at, &Out{f, wait}
		}
		if !may {
			return nil, at, &Out{f, at.Sub(now)}
		}
	}
	set := e.rule.store.Current()
	t = &Turn{e: e, set: set, gen: e.rule.gen.Load(), id: e.rule.policy.Identity(e.dest, set.RootsSum, set.OwnSum)}
	kind := tlspolicy.Full
	if p.sessions.Has(t.id, p.o.Clock()) {
		kind = tlspolicy.Resumed
	}
	var ok bool
	if t.started, ok, at = p.budget.Begin(e.id(), kind, cold || f != nil, now); !ok {
		return nil, at, nil
	}
	if f != nil {
		p.book.Asking(e.id())
	}
	if kind == tlspolicy.Resumed {
		t.session, t.until, _ = p.sessions.Take(t.id, p.o.Clock())
	}
	t.kind = kind
	return t, time.Time{}, nil
}

// failed books a proof that was not accepted and sets when to ask again. The
// caller holds mu.
func (p *Partners) failed(e *Peer, f *tlspolicy.Failure) *Out {
	p.counts.Refused++
	now := time.Now()
	if said := p.book.Failed(e.id(), f, now); said != "" {
		p.o.Log.Error("tls: "+string(said), "endpoint", e.endpoint, "dest", e.dest, "rule", f.Rule, "cause", f.Cause.String())
	}
	_, at := p.book.MayAsk(e.id(), now)
	wait := max(at.Sub(now), 0)
	p.retry(e, wait)
	if !e.closed {
		p.o.Barred(e.endpoint, wait+p.timeout+settleWait)
	}
	return &Out{f, wait}
}

// retry asks an endpoint that is out again, by itself. The caller holds mu.
func (p *Partners) retry(e *Peer, wait time.Duration) {
	e.stop()
	if e.closed || e.again == nil {
		return
	}
	e.timer = time.AfterFunc(wait, func() {
		if e.again() {
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		f, _ := p.book.Out(e.id())
		if f == nil || e.closed {
			return
		}
		_, at := p.book.MayAsk(e.id(), time.Now())
		p.retry(e, max(time.Until(at), retryBusy))
	})
}

// Refused is told of an error on a connection whose handshake was over here, and
// reports whether it is the partner's word that it does not accept us: with TLS
// 1.3 that comes after the handshake (RFC 8446 section 4.4.2.4).
func (e *Peer) Refused(err error) (*Out, bool) {
	cause, ok := causeOf(err)
	if !ok {
		return nil, false
	}
	e.p.mu.Lock()
	defer e.p.mu.Unlock()
	return e.p.failed(e, &tlspolicy.Failure{Cause: cause, Rule: e.rule.set.Name, Err: err}), true
}

// alertOf is the alert that a partner sent, if err is one. crypto/tls does not
// export the type; the text is that of tls.AlertError.
func alertOf(err error) (uint8, bool) {
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

func causeOf(err error) (tlspolicy.Cause, bool) {
	alert, ok := alertOf(err)
	if !ok {
		return 0, false
	}
	return tlspolicy.CauseOf(alert)
}

// accident reports whether a handshake ended by what may befall any connection,
// and not by what both sides said.
func accident(ctx context.Context, err error) bool {
	if _, ok := alertOf(err); ok {
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
