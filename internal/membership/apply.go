package membership

import (
	"math"
	"slices"
)

// Apply applies an update to the view. It rejects an update whose revision is out of date or whose
// base list is not known. Otherwise it records the unreadable entries, then the drains, then the
// listed members, then the removals that need no confirmation, and last the drains of endpoints that the source
// does not list. It holds the other removals.
func (v *View) Apply(now Time, u *Update) Verdict {
	v.now = max(v.now, now)
	t := &v.sources[u.Source]
	if verdict := t.checkRevision(u); verdict != Accepted {
		return verdict
	}
	if t.known && u.Epoch != t.epoch {
		v.warn(Warning{Source: u.Source, Text: "source restarted its revisions, accepting list of epoch " + u.Epoch})
		t.rememberFormerEpoch()
	}
	t.epoch, t.revision, t.known = u.Epoch, u.Revision, true
	t.updates++
	becameFresh := !t.fresh
	t.fresh, t.lastHeard = true, v.now

	v.markUnreadable(u)
	v.applyDrains(u)
	held := v.applyRemovals(u, v.listMembers(u))
	v.updateDrainedOnly(u)
	if becameFresh {
		v.reevaluateSource(u.Source)
	}
	if held {
		return RemovalsHeld
	}
	return Accepted
}

// checkRevision compares an update's epoch and revision with those of the source's last update. It
// returns Outdated, ResyncRequired or Accepted.
func (t *sourceTracker) checkRevision(u *Update) Verdict {
	sameEpoch := u.Epoch == t.epoch
	switch {
	case t.known && !sameEpoch && slices.Contains(t.formerEpochs, u.Epoch):
		return Outdated
	case !u.Complete && (!t.known || !sameEpoch):
		return ResyncRequired
	case t.known && sameEpoch && (u.Revision < t.revision || u.Revision == t.revision && !u.Complete):
		return Outdated
	}
	return Accepted
}

// markUnreadable warns of entries that cannot be decoded; for an entry that is known, only once.
func (v *View) markUnreadable(u *Update) {
	for _, id := range u.UnreadableIDs {
		e := v.sources[u.Source].entries[id]
		if e != nil && e.unreadable {
			continue
		}
		v.warn(Warning{Source: u.Source, Text: "entry cannot be decoded, keeping its last known state", ID: id})
		if e != nil {
			e.unreadable = true
		}
	}
}

// applyDrains sets the entries in DrainedIDs to draining. The update states nothing else about them, so
// the rest of their state stays.
func (v *View) applyDrains(u *Update) {
	for _, id := range u.DrainedIDs {
		e := v.sources[u.Source].entries[id]
		if e == nil || e.Phase != Up {
			continue
		}
		draining, unreadable := e.Member, e.unreadable
		draining.Phase = Draining
		v.listMember(u.Source, &draining)
		e.unreadable = unreadable
	}
}

// listMembers records the members that an update lists. It returns the ids of the entries that
// the update removes: those in phase Removed, and those missing from a complete list.
func (v *View) listMembers(u *Update) (removed []string) {
	named := map[string]bool{}
	if u.Complete {
		for _, id := range u.UnreadableIDs {
			named[id] = true
		}
	}
	for i := range u.Members {
		m := &u.Members[i]
		if u.Complete {
			named[m.ID] = true
		}
		if m.Phase == Removed {
			removed = append(removed, m.ID)
			continue
		}
		v.listMember(u.Source, m)
	}
	if !u.Complete {
		return removed
	}
	entries := v.sources[u.Source].entries
	for _, id := range sortedKeys(entries) {
		if entries[id].listed() && !named[id] {
			removed = append(removed, id)
		}
	}
	return removed
}

// listMember records that a source lists an endpoint.
func (v *View) listMember(source int, m *Member) {
	t := &v.sources[source]
	e := t.entries[m.ID]
	switch {
	case e == nil:
		e = &entry{source: source}
		t.entries[m.ID] = e
		t.listedCount++
	case !e.listed():
		t.listedCount++
	case e.Member == *m && !e.held && !e.unreadable:
		return // unchanged: the update number stays that of the update that stated it first
	}
	e.revision, e.updateNumber = t.revision, t.updates
	e.held, e.unreadable = false, false
	v.updateEntry(e, *m)
}

// applyRemovals removes the entries with these ids from the update's source, or holds their removals.
// Removals of draining entries, and all removals that a resync confirms, apply at once. The others
// are unannounced: either all of them fit in the limit of the current window and apply, or all are
// held. It reports whether any removal is held.
func (v *View) applyRemovals(u *Update, ids []string) (held bool) {
	t := &v.sources[u.Source]
	confirmed := u.Complete && u.Resync
	var unannounced []*entry
	for _, id := range ids {
		e := t.entries[id]
		switch {
		case e == nil || !e.listed():
		case e.held && !confirmed:
			held = true
		case e.Phase == Draining || confirmed:
			v.removeEntry(e)
		default:
			unannounced = append(unannounced, e)
		}
	}
	if confirmed {
		t.resyncRequested = false
		t.windowStart, t.windowRemovals = 0, 0
	}
	if v.now >= t.windowStart+v.settings.RemovalWindow || t.windowStart == 0 {
		t.windowStart, t.windowBase, t.windowRemovals = max(v.now, 1), t.listedCount, 0
	}
	t.windowBase = max(t.windowBase, t.listedCount)
	if len(unannounced) == 0 {
		return held
	}
	if len(unannounced) <= v.removalsLeft(t) {
		t.windowRemovals += len(unannounced)
		for _, e := range unannounced {
			v.removeEntry(e)
		}
		return held
	}
	v.holdRemovals(u.Source, unannounced)
	return true
}

// removalsLeft returns how many more unannounced removals, those of endpoints that were not
// draining, a source may make in the current window.
func (v *View) removalsLeft(t *sourceTracker) int {
	const rounding = 1e-9 // so that a product just below a whole number is not rounded down to the previous one
	share := int(math.Floor(v.settings.MaxRemovalShare*float64(t.windowBase) + rounding))
	return max(v.settings.MinRemovalLimit, share) - t.windowRemovals
}

// holdRemovals keeps entries listed until a resync of their source confirms their removal.
func (v *View) holdRemovals(source int, entries []*entry) {
	for _, e := range entries {
		e.held = true
	}
	v.sources[source].resyncRequested = true
	const text = "update removes more endpoints than the limit, holding the removals until a resync confirms them"
	v.warn(Warning{Source: source, Text: text, Count: len(entries)})
}

// removeEntry records that a source has removed an endpoint.
func (v *View) removeEntry(e *entry) {
	t := &v.sources[e.source]
	t.listedCount--
	e.revision, e.updateNumber, e.removedAt = t.revision, t.updates, v.now
	e.held, e.unreadable = false, false
	v.removals = append(v.removals, removal{e, v.now})
	removed := e.Member
	removed.Phase = Removed
	v.updateEntry(e, removed)
}
