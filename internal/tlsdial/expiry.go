package tlsdial

import "time"

// warnExpiringFiles logs a warning if the relay's own certificate or a revocation list of
// the rule is about to expire.
func (d *Dialer) warnExpiringFiles(r *rule) {
	credentials := r.files.Current()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.warnExpiring(r, "our certificate", credentials.NotAfter)
	if next := credentials.RevocationLists.NextUpdate(); !next.IsZero() {
		d.warnExpiring(r, "a revocation list", next)
	}
}

// warnExpiring logs a warning if the item that what names expires soon, at the time end. It
// logs each item of a rule at most once in warningInterval. With a zero end it does nothing.
// The caller holds mu.
func (d *Dialer) warnExpiring(r *rule, what string, end time.Time) {
	if end.IsZero() {
		return
	}
	left := end.Sub(d.options.Clock())
	if left > r.settings.ExpiryWarning() {
		return
	}
	key := r.settings.Name + "/" + what
	now := time.Now()
	if last, ok := d.lastWarnings[key]; ok && now.Sub(last) < warningInterval {
		return
	}
	d.lastWarnings[key] = now
	d.options.Log.Warn("tls: a certificate or revocation list expires soon", "rule", r.settings.Name, "what", what,
		"end", end.UTC().Format(time.RFC3339), "hours_left", int(left.Hours()))
}

// DaysLeft calls f with the name of each rule and the number of days until the first of
// its certificates expires: the relay's own one, or one that was verified under the rule. A
// rule without any is left out.
func (d *Dialer) DaysLeft(f func(name string, days float64)) {
	now := d.options.Clock()
	for _, r := range d.rules {
		end := r.files.Current().NotAfter
		if e := r.earliestExpiry.Load(); e != 0 && (end.IsZero() || time.Unix(e, 0).Before(end)) {
			end = time.Unix(e, 0)
		}
		if !end.IsZero() {
			f(r.settings.Name, end.Sub(now).Hours()/24)
		}
	}
}
