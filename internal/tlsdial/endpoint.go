package tlsdial

import (
	"time"

	"troutusher/internal/tlspolicy"
)

// inconclusiveRetryDelay is the time until a rejected endpoint is retried after a handshake
// that neither verified nor rejected an identity.
const inconclusiveRetryDelay = time.Second

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

// trustKey returns the endpoint's key in the trust tracker and in the handshake budget.
func (e *Endpoint) trustKey() int { return int(e.number) }

// Endpoint registers an endpoint of a destination. number identifies the endpoint in
// Options.OnRejected and in logs. flavor is the kind of the destination, from the endpoint
// list; a TLS rule can apply to a flavor. Endpoint returns nil for a destination without TLS.
//
// An endpoint is rejected while the relay does not accept the endpoint's identity, or the
// endpoint does not accept the relay's. During that time retryHandshake is called on the
// retry schedule: it has to call Acquire with scheduled set and begin a handshake, and
// reports whether it began one.
func (d *Dialer) Endpoint(number uint64, dest int, flavor string, retryHandshake func() bool) *Endpoint {
	if d == nil {
		return nil
	}
	i, ok := d.selector.Find(dest, flavor)
	if !ok {
		return nil
	}
	e := &Endpoint{dialer: d, number: number, dest: dest, rule: d.rules[i], retryHandshake: retryHandshake}
	d.mu.Lock()
	defer d.mu.Unlock()
	if old := d.endpoints[number]; old != nil {
		d.removeEndpoint(old)
	}
	d.endpoints[number] = e
	return e
}

// ChargesHandshakes reports whether handshakes count against the rate of calls that the
// endpoint may get while it warms up.
func (e *Endpoint) ChargesHandshakes() bool { return e.rule.settings.ConnectionCost() > 0 }

// Close removes the endpoint from its dialer.
func (e *Endpoint) Close() {
	e.dialer.mu.Lock()
	defer e.dialer.mu.Unlock()
	if e.dialer.endpoints[e.number] == e {
		e.dialer.removeEndpoint(e)
	}
}

// removeEndpoint stops an endpoint's retries and removes its state. The caller holds mu.
func (d *Dialer) removeEndpoint(e *Endpoint) {
	e.closed = true
	e.stopRetry()
	d.trust.Remove(e.trustKey())
	delete(d.endpoints, e.number)
}

func (e *Endpoint) stopRetry() {
	if e.retryTimer != nil {
		e.retryTimer.Stop()
	}
}

// Acquire requests a permit for one handshake. If it returns neither a permit nor an error,
// the handshake budget allows none now: retryAt is when to ask again, and zero means after
// another handshake with the endpoint has ended. The error is a *RejectedError. The
// caller sets warmingUp for an endpoint that is warming up, and scheduled for a handshake
// of the retry schedule.
func (e *Endpoint) Acquire(warmingUp, scheduled bool) (permit *Permit, retryAt time.Time, err error) {
	d := e.dialer
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	rejection, _ := d.trust.Rejection(e.trustKey())
	if rejection != nil {
		if retryAt, err := d.checkRetry(e, rejection, scheduled, now); err != nil {
			return nil, retryAt, err
		}
	}
	permit = e.newPermit()
	var ok bool
	permit.reservation, ok, retryAt = d.budget.Reserve(e.trustKey(), permit.kind, warmingUp || rejection != nil, now)
	if !ok {
		return nil, retryAt, nil
	}
	if rejection != nil {
		d.trust.RetryStarted(e.trustKey())
	}
	if permit.kind == tlspolicy.ResumedHandshake {
		permit.session, permit.sessionUntil, _ = d.sessions.Take(permit.identity, d.options.Clock())
	}
	return permit, time.Time{}, nil
}

// checkRetry returns an error for a handshake with a rejected endpoint that is not due
// on the retry schedule. The caller holds mu.
func (d *Dialer) checkRetry(
	e *Endpoint, rejection *tlspolicy.IdentityError, scheduled bool, now time.Time,
) (time.Time, error) {
	may, retryAt := d.trust.MayRetry(e.trustKey(), now)
	// A message does not change the reason for the rejection, so a call starts no handshake with
	// a rejected endpoint. Only the retry schedule does.
	if !scheduled {
		wait := max(retryAt.Sub(now), busyRetryDelay)
		d.options.OnRejected(e.number, wait+d.handshakeTimeout+reportingMargin)
		return retryAt, &RejectedError{Reason: rejection, RetryAfter: wait}
	}
	if !may {
		return retryAt, &RejectedError{Reason: rejection, RetryAfter: retryAt.Sub(now)}
	}
	return time.Time{}, nil
}

// newPermit returns a permit for a handshake with the current files, without a
// reservation. The caller holds mu.
func (e *Endpoint) newPermit() *Permit {
	credentials := e.rule.files.Current()
	p := &Permit{
		endpoint:    e,
		credentials: credentials,
		generation:  e.rule.generation.Load(),
		identity:    e.rule.policy.SessionIdentity(e.dest, credentials.RootsSum, credentials.CertificateSum),
		kind:        tlspolicy.FullHandshake,
	}
	if e.dialer.sessions.Has(p.identity, e.dialer.options.Clock()) {
		p.kind = tlspolicy.ResumedHandshake
	}
	return p
}

// RecordAlert takes an error of a connection whose handshake has completed on this side.
// If the error is an alert by which the endpoint rejects the relay's identity, RecordAlert records
// the rejection and returns true. In TLS 1.3 such an alert arrives after the handshake
// (RFC 8446 section 4.4.2.4).
func (e *Endpoint) RecordAlert(err error) (*RejectedError, bool) {
	cause, ok := causeOfError(err)
	if !ok {
		return nil, false
	}
	e.dialer.mu.Lock()
	defer e.dialer.mu.Unlock()
	failure := &tlspolicy.IdentityError{Cause: cause, Rule: e.rule.settings.Name, Err: err}
	return e.dialer.recordRejection(e, failure), true
}

// recordVerified records a handshake that verified the endpoint's identity. The caller
// holds mu.
func (d *Dialer) recordVerified(e *Endpoint, c *Conn) {
	if c.Resumed {
		d.counts.Resumed++
	} else {
		d.counts.Full++
	}
	if e.closed {
		return
	}
	previous, _ := d.trust.Rejection(e.trustKey())
	verification := &tlspolicy.Verification{ValidUntil: c.validUntil}
	if message := d.trust.RecordVerified(e.trustKey(), verification); message != "" {
		d.options.Log.Info("tls: "+string(message),
			"endpoint", e.number, "dest", e.dest, "rule", e.rule.settings.Name)
	}
	if previous != nil {
		e.stopRetry()
		d.options.OnRejected(e.number, 0)
	}
	now := d.options.Clock()
	earliest := e.rule.earliestExpiry.Load()
	if earliest == 0 || c.validUntil.Unix() < earliest || earliest < now.Unix() {
		e.rule.earliestExpiry.Store(c.validUntil.Unix())
	}
	d.warnExpiring(e.rule, "a partner's certificate", c.validUntil)
}

// recordRejection records that an identity was rejected, and schedules the next
// handshake. The caller holds mu.
func (d *Dialer) recordRejection(e *Endpoint, failure *tlspolicy.IdentityError) *RejectedError {
	d.counts.Rejected++
	now := time.Now()
	if message := d.trust.RecordFailure(e.trustKey(), failure, now); message != "" {
		d.options.Log.Error("tls: "+string(message),
			"endpoint", e.number, "dest", e.dest, "rule", failure.Rule, "cause", failure.Cause.String())
	}
	_, retryAt := d.trust.MayRetry(e.trustKey(), now)
	wait := max(retryAt.Sub(now), 0)
	d.scheduleRetry(e, wait)
	if !e.closed {
		d.options.OnRejected(e.number, wait+d.handshakeTimeout+reportingMargin)
	}
	return &RejectedError{Reason: failure, RetryAfter: wait}
}

// recordInconclusive records a handshake that failed without a verdict. The caller
// holds mu.
func (d *Dialer) recordInconclusive(e *Endpoint) {
	d.counts.Inconclusive++
	d.trust.RecordInconclusive(e.trustKey())
	if rejection, _ := d.trust.Rejection(e.trustKey()); rejection != nil { // the endpoint stays rejected
		d.scheduleRetry(e, inconclusiveRetryDelay)
	}
}

// scheduleRetry replaces the retry timer of a rejected endpoint by one that fires after
// wait. The caller holds mu.
func (d *Dialer) scheduleRetry(e *Endpoint, wait time.Duration) {
	e.stopRetry()
	if e.closed || e.retryHandshake == nil {
		return
	}
	e.retryTimer = time.AfterFunc(wait, func() {
		if e.retryHandshake() {
			return
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		rejection, _ := d.trust.Rejection(e.trustKey())
		if rejection == nil || e.closed {
			return
		}
		_, retryAt := d.trust.MayRetry(e.trustKey(), time.Now())
		d.scheduleRetry(e, max(time.Until(retryAt), busyRetryDelay))
	})
}
