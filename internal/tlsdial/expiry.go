package tlsdial

import "time"

// warnExpiringFiles warns of our own certificate and revocation lists that are about
// to expire.
func (d *Dialer) warnExpiringFiles(r *rule) {
	credentials := r.files.Current()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.warnExpiring(r, "our certificate", credentials.NotAfter)
	if next := credentials.RevocationLists.NextUpdate(); !next.IsZero() {
		d.warnExpiring(r, "a revocation list", next)
	}
}

// warnExpiring logs that something ends soon, once in warningInterval. A zero end
// means that there is nothing to expire. The caller holds mu.
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
	d.options.Log.Warn("tls: ends soon", "rule", r.settings.Name, "what", what,
		"end", end.UTC().Format(time.RFC3339), "hours_left", int(left.Hours()))
}

// DaysLeft calls f with each rule's name and the number of days until the first of
// its verified certificates, or our own certificate under it, expires. A rule with
// neither is left out.
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
