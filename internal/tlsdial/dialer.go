// Package tlsdial makes TLS connections to endpoints and verifies their identity
// (TLS 1.2, RFC 5246; TLS 1.3, RFC 8446).
//
// It runs the handshakes, offers stored sessions for resumption, reloads the files with
// keys and roots, and makes handshakes on a schedule with endpoints whose identity was
// rejected, until one succeeds. Package tlspolicy decides which identities to trust, what a
// failed handshake means and how many handshakes may run. Package tlsdial sends handshakes
// only: no message data, and no early data (0-RTT).
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
	busyRetryDelay  = 100 * time.Millisecond // until a scheduled handshake that could not begin is tried again
	warningInterval = 24 * time.Hour         // between two warnings that the same item expires
	reportingMargin = 500 * time.Millisecond // allowance for reporting the result after a handshake has ended
)

// Options holds the settings of a Dialer.
type Options struct {
	Rules      []operatorconfig.TLSRule
	Handshakes operatorconfig.Handshakes
	Log        *slog.Logger
	Clock      func() time.Time // for the validity of certificates; nil for time.Now
	Seed       uint64
	StateDir   string // folder of the stored sessions; it outlives the process
	// OnRejected is called when an endpoint must get no calls for the duration wait;
	// with wait 0 it may get calls again. The function must not block.
	OnRejected func(endpoint uint64, wait time.Duration)
}

// Dialer opens all TLS connections to endpoints. It keeps the trust state of the endpoints,
// the handshake budget and the sessions for resumption. Its methods are safe for concurrent
// use, except Run and ReloadFiles, which only one goroutine may call.
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
	lastWarnings map[string]time.Time // when the last expiry warning was logged, by rule and expiring item
	counts       Counts
}

// rule is one of the operator's TLS rules, which say what identity the endpoints of some
// destinations must prove, with the current content of its files.
type rule struct {
	settings       *operatorconfig.TLSRule
	policy         tlspolicy.Rule // its Roots are not set; verify takes them from files
	files          *certstore.Store
	generation     atomic.Uint64 // incremented when the files change
	earliestExpiry atomic.Int64  // of the certificates verified under the rule, in Unix seconds; 0 before the first
}

// Counts holds the numbers of handshakes since the start and the current numbers of endpoints.
type Counts struct {
	Full, Resumed     int64 // completed handshakes
	Rejected          int64 // handshakes in which one side rejected the other's identity
	Inconclusive      int64 // handshakes that failed without a verdict, as by a reset or a timeout
	RejectedEndpoints int
	VerifiedEndpoints int
}

// New returns a Dialer with the files that the rules name loaded. It returns an error for
// a file that cannot be used.
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

// openRules loads the files of each rule.
func (d *Dialer) openRules() error {
	for i := range d.options.Rules {
		r := &rule{settings: &d.options.Rules[i]}
		var err error
		if r.policy, err = r.settings.Rule(); err != nil {
			return fmt.Errorf("tls %s: invalid rule: %w", r.settings.Name, err)
		}
		if r.files, err = certstore.Open(r.settings.Files(), d.options.Clock()); err != nil {
			return fmt.Errorf("tls %s: load files: %w", r.settings.Name, err)
		}
		d.rules = append(d.rules, r)
		d.warnExpiringFiles(r)
	}
	return nil
}

// HandshakeWeight returns what a handshake costs an endpoint of the destination, as the
// number of calls with the same cost; 0 for a destination without TLS. flavor is the kind of
// the destination, from the endpoint list; a rule can apply to a flavor.
func (d *Dialer) HandshakeWeight(dest int, flavor string) float64 {
	if i, ok := d.selector.Find(dest, flavor); ok {
		return d.rules[i].settings.ConnectionCost()
	}
	return 0
}

// Run reloads files that have changed, once in reloadInterval, until ctx is done. Then
// it stops the retries of rejected endpoints.
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

// ReloadFiles reads the files of all rules and puts changed ones into use. Files that
// cannot be used are logged, and the previous ones stay in use.
func (d *Dialer) ReloadFiles() {
	for _, r := range d.rules {
		changed, err := r.files.Reload(d.options.Clock())
		if err != nil {
			d.options.Log.Error("tls: cannot use the changed files, the previous ones stay in use",
				"rule", r.settings.Name, "err", err)
		}
		d.warnExpiringFiles(r)
		if !changed {
			continue
		}
		d.applyChangedFiles(r)
		d.options.Log.Info("tls: changed files loaded and in use", "rule", r.settings.Name)
	}
}

// applyChangedFiles invalidates the connections and sessions that were verified with the
// old files, and retries rejected endpoints at once, since the new files may accept them.
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
