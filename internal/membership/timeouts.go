package membership

import "slices"

// applyTimeouts applies the changes that are due to elapsed time: sources that became stale, and
// removals that expired.
func (v *View) applyTimeouts() {
	for i := range v.sources {
		t := &v.sources[i]
		if t.fresh && v.now > t.lastHeard+v.settings.Sources[i].StaleAfter {
			t.fresh = false
			v.warn(Warning{Source: i, Text: "source is silent, keeping its endpoints as last known"})
			v.reevaluateSource(i)
		}
	}
	expired := 0
	for ; expired < len(v.removals) && v.removalExpires(expired); expired++ {
		if r := v.removals[expired]; r.current() {
			v.expireRemoval(r.entry)
		}
	}
	v.removals = slices.Delete(v.removals, 0, expired)
}

// removalExpires reports whether the i-th removal is too old, or too many follow it.
func (v *View) removalExpires(i int) bool {
	return v.now >= v.removals[i].at+v.settings.RemovalRetention || len(v.removals)-i > maxRemovals
}

// expireRemoval deletes a removed entry, which then no longer overrides other sources.
func (v *View) expireRemoval(e *entry) {
	v.beginWalk()
	v.collectConnected(e)
	v.dropFirstConnected()
	delete(v.sources[e.source].entries, e.ID)
	v.unindexAddress(e)
	v.leaveGroup(e, e.viewID)
	v.assignViewIDs()
	v.reevaluate(e.viewID)
	if p := v.published[e.viewID]; p != nil && !p.listed && !p.pending {
		v.forgetPublished(e.viewID, p)
	}
}

// NextDeadline returns the time at which to call Step even if no update arrives until then, 0 for
// never. If changes are waiting to be published, that time is not in the future.
func (v *View) NextDeadline() (deadline Time) {
	if len(v.urgent) > 0 || len(v.pendingUps) > 0 {
		return max(v.now, 1)
	}
	earliest := func(at Time) {
		if deadline == 0 || at < deadline {
			deadline = max(at, 1)
		}
	}
	if len(v.delayedUps) > 0 {
		earliest(v.delayedUps[0].at)
	}
	for i := range v.sources {
		if t := &v.sources[i]; t.fresh {
			earliest(t.lastHeard + v.settings.Sources[i].StaleAfter + 1)
		}
	}
	if len(v.removals) > 0 {
		earliest(v.removals[0].at + v.settings.RemovalRetention)
	}
	return deadline
}
