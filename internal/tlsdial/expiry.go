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

// warnExpiring logs a warning if an item of a rule expires soon. what is the item's name in
// the log, and end is when it expires; a zero end means that there is no such item. A warning
// about the same item is logged at most once in warningInterval. The caller holds mu.
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
// rule without any such certificate is left out.
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
