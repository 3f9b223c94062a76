// Package tlsdial makes TLS connections to endpoints and verifies their identity
// (TLS 1.2, RFC 5246; TLS 1.3, RFC 8446).
//
// It owns the socket side of handshakes: when one may begin, which session it
// resumes, the files with keys and roots, and the schedule on which an endpoint
// whose identity was rejected is tried again. Whom to trust, what a failure means
// and how many handshakes there may be is decided by package tlspolicy. It must
// never send a byte of a message, know about calls, or send early data.
package tlsdial

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"troutusher/internal/certstore"
	"troutusher/internal/operatorconfig"
	"troutusher/internal/tlspolicy"
)

const (
	reloadInterval  = time.Second
	busyRetryDelay  = 100 * time.Millisecond // after a scheduled handshake found no capacity
	warningInterval = 24 * time.Hour
	reportingMargin = 500 * time.Millisecond // beyond a handshake's timeout, until its end is reported
)

// Options configure a Dialer.
type Options struct {
	Rules      []operatorconfig.TLSRule
	Handshakes operatorconfig.Handshakes
	Log        *slog.Logger
	Clock      func() time.Time // certificates are judged by it; nil for time.Now
	Seed       uint64
	StateDir   string // the folder that outlasts the process, for stored sessions
	// OnRejected is called when an endpoint must get no calls for a time; 0 means
	// that it may get calls again. It must not block.
	OnRejected func(endpoint uint64, wait time.Duration)
}

// Dialer makes and accounts for all TLS connections to endpoints. Its methods are
// safe for concurrent use, but for Run and ReloadFiles, which belong to one
// goroutine.
type Dialer struct {
	options          Options
	handshakeTimeout time.Duration
	selector         *tlspolicy.RuleSelector
	rules            []*rule

	mu           sync.Mutex
	trust        *tlspolicy.TrustTracker
	budget       *tlspolicy.HandshakeBudget
	sessions     *tlspolicy.SessionCache[*tls.ClientSessionState]
	sessionKey   []byte // encrypts stored sessions; nil where sessions are not stored
	endpoints    map[uint64]*Endpoint
	lastWarnings map[string]time.Time // of expiry, by rule and what expires
	counts       Counts
}

// rule is one of the operator's TLS rules with the current content of its files.
type rule struct {
	settings       *operatorconfig.TLSRule
	policy         tlspolicy.Rule // without the roots, which files has
	files          *certstore.Store
	generation     atomic.Uint64 // counts changes of the files
	earliestExpiry atomic.Int64  // Unix seconds at which the first verification under it ends; 0 for none yet
}

// Counts are the numbers of handshakes since the start, and of endpoints now.
type Counts struct {
	Full, Resumed     int64 // completed handshakes
	Rejected          int64 // handshakes in which either side rejected the other's identity
	Inconclusive      int64 // handshakes that ended without a verdict: a reset, a timeout
	RejectedEndpoints int
	VerifiedEndpoints int
}

// New reads the files that the rules name; a file that cannot be used is an error.
func New(options Options) (*Dialer, error) {
	if options.Clock == nil {
		options.Clock = time.Now
	}
	d := &Dialer{
		options:          options,
		handshakeTimeout: options.Handshakes.Timeout(),
		trust:            tlspolicy.NewTrustTracker(options.Seed),
		endpoints:        map[uint64]*Endpoint{},
		lastWarnings:     map[string]time.Time{},
		sessions: tlspolicy.NewSessionCache[*tls.ClientSessionState](
			options.Handshakes.SessionCacheSize()),
	}
	file := operatorconfig.File{TLSRules: options.Rules}
	var err error
	if d.selector, err = tlspolicy.NewRuleSelector(file.Targets()); err != nil {
		return nil, err
	}
	if d.budget, err = tlspolicy.NewHandshakeBudget(options.Handshakes.Limits(), time.Now()); err != nil {
		return nil, err
	}
	if err := d.openRules(); err != nil {
		return nil, err
	}
	if path := options.Handshakes.SessionKey; path != "" {
		if d.sessionKey, err = readSessionKey(path); err != nil {
			return nil, err
		}
		d.restoreSessions(options.StateDir)
	}
	return d, nil
}

// openRules reads the files of each rule.
func (d *Dialer) openRules() error {
	for i := range d.options.Rules {
		r := &rule{settings: &d.options.Rules[i]}
		var err error
		if r.policy, err = r.settings.Rule(); err != nil {
			return fmt.Errorf("tls %s: %w", r.settings.Name, err)
		}
		if r.files, err = certstore.Open(r.settings.Files(), d.options.Clock()); err != nil {
			return fmt.Errorf("tls %s: %w", r.settings.Name, err)
		}
		d.rules = append(d.rules, r)
		d.warnExpiringFiles(r)
	}
	return nil
}

// HandshakeWeight is what opening a connection to a destination costs its endpoint,
// in calls; 0 where it is reached without TLS.
func (d *Dialer) HandshakeWeight(dest int, flavor string) float64 {
	if i, ok := d.selector.Find(dest, flavor); ok {
		return d.rules[i].settings.ConnectionCost()
	}
	return 0
}

// Run polls the files for changes until ctx ends.
func (d *Dialer) Run(ctx context.Context) {
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			d.stopRetries()
			return
		case <-tick.C:
			d.ReloadFiles()
		}
	}
}

func (d *Dialer) stopRetries() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.endpoints {
		e.stopRetry()
	}
}

// ReloadFiles reads the files of all rules again and uses those that have changed.
// One goroutine calls it.
func (d *Dialer) ReloadFiles() {
	for _, r := range d.rules {
		changed, err := r.files.Reload(d.options.Clock())
		if err != nil {
			d.options.Log.Error("tls: the files are not used, what was read before goes on",
				"rule", r.settings.Name, "err", err)
		}
		d.warnExpiringFiles(r)
		if !changed {
			continue
		}
		d.applyChangedFiles(r)
		d.options.Log.Info("tls: the files have changed and are in use", "rule", r.settings.Name)
	}
}

// applyChangedFiles drops what was verified under the old files, and tries rejected
// endpoints again at once: the operator has changed what they were judged by.
func (d *Dialer) applyChangedFiles(r *rule) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r.generation.Add(1)
	r.earliestExpiry.Store(0)
	d.sessions.DropRule(r.settings.Name)
	for _, e := range d.endpoints {
		if rejection, _ := d.trust.Rejection(e.trustKey()); e.rule == r && rejection != nil {
			d.scheduleRetry(e, 0)
		}
	}
}

// Counts returns the current counts.
func (d *Dialer) Counts() Counts {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.counts
	c.RejectedEndpoints, c.VerifiedEndpoints = d.trust.Counts()
	return c
}
