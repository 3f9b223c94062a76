package membership

import "slices"

// A source may drain an endpoint that it does not list, if another source lists it.

// updateDrainedOnly records which ids the source of an update drains without listing them, now that its entries are
// up to date. A complete list replaces what was known.
func (v *View) updateDrainedOnly(u *Update) {
	t := &v.sources[u.Source]
	drained := make(map[string]bool, len(u.DrainedIDs))
	for _, id := range u.DrainedIDs {
		drained[id] = true
	}
	named := map[string]bool{}
	for i := range u.Members {
		if id := u.Members[i].ID; t.drainedOnly[id] {
			named[id] = true
		}
	}
	for _, id := range sortedKeys(t.drainedOnly) {
		if !drained[id] && (u.Complete || named[id]) {
			v.setDrainedOnly(u.Source, id, false)
		}
	}
	for _, id := range u.DrainedIDs {
		e := t.entries[id]
		v.setDrainedOnly(u.Source, id, e == nil || !e.listed())
	}
}

// setDrainedOnly records whether a source drains an id that it does not list.
func (v *View) setDrainedOnly(source int, id string, drained bool) {
	t := &v.sources[source]
	if t.drainedOnly[id] == drained || drained && len(t.drainedOnly) >= maxDrainedOnly {
		return
	}
	if drained {
		t.drainedOnly[id] = true
	} else {
		delete(t.drainedOnly, id)
	}
	for i := range v.sources {
		if e := v.sources[i].entries[id]; e != nil {
			v.reevaluate(e.viewID)
		}
	}
}

// drainedBy returns the first source that drains an endpoint of the view without listing it; -1 if none does.
func (v *View) drainedBy(viewID string) int {
	for i := range v.sources {
		drained := v.sources[i].drainedOnly
		drainsEntry := func(e *entry) bool { return drained[e.ID] }
		if len(drained) > 0 && slices.ContainsFunc(v.byViewID[viewID], drainsEntry) {
			return i
		}
	}
	return -1
}
