package membership

import "slices"

// updateEntry has an entry state something else, and reevaluates all endpoints that
// this touches.
func (v *View) updateEntry(e *entry, m Member) {
	v.beginWalk()
	added := e.ID == ""
	moved := added || e.HostPort != m.HostPort || e.Dest != m.Dest
	if moved && !added {
		v.collectConnected(e)
		v.unindexAddress(e)
		v.dropFirstConnected() // what is at its new address is collected as well
	}
	e.Member = m
	if moved {
		v.byAddress[e.address()] = append(v.byAddress[e.address()], e)
	}
	v.collectConnected(e)
	v.assignViewIDs()
}

// unindexAddress takes an entry out of the index by address.
func (v *View) unindexAddress(e *entry) { removeFrom(v.byAddress, e.address(), e) }

// leaveGroup takes an entry out of the group of a view id.
func (v *View) leaveGroup(e *entry, viewID string) { removeFrom(v.byViewID, viewID, e) }

// removeFrom takes an entry out of a list in an index, and an empty list out of it.
func removeFrom[K comparable](index map[K][]*entry, key K, e *entry) {
	index[key] = slices.DeleteFunc(index[key], func(x *entry) bool { return x == e })
	if len(index[key]) == 0 {
		delete(index, key)
	}
}

// beginWalk begins a walk over the entries that share ids and addresses.
func (v *View) beginWalk() {
	v.walkNumber++
	v.connected = v.connected[:0]
}

// collectConnected adds to the walk all entries that share an id or an address with an
// entry, and those that do with them.
func (v *View) collectConnected(e *entry) {
	if e.visitedBy == v.walkNumber {
		return
	}
	e.visitedBy = v.walkNumber
	v.connected = append(v.connected, e)
	for i := range v.sources {
		if other := v.sources[i].entries[e.ID]; other != nil {
			v.collectConnected(other)
		}
	}
	for _, other := range v.byAddress[e.address()] {
		v.collectConnected(other)
	}
}

// dropFirstConnected takes the entry that the walk began with out of it.
func (v *View) dropFirstConnected() {
	v.connected[0].visitedBy = 0
	v.connected = slices.Delete(v.connected, 0, 1)
}

// assignViewIDs gives the entries of a walk their ids in the view, and reevaluates the
// endpoints concerned.
func (v *View) assignViewIDs() {
	slices.SortFunc(v.connected, compareEntries) // an entry's id depends on those before it
	changed := v.changedIDs[:0]
	for _, e := range v.connected {
		old := e.viewID
		e.viewID = v.viewIDOf(e)
		changed = append(changed, e.viewID)
		if old == e.viewID {
			continue
		}
		if old != "" {
			changed = append(changed, old)
			v.leaveGroup(e, old)
		}
		v.byViewID[e.viewID] = append(v.byViewID[e.viewID], e)
	}
	slices.Sort(changed)
	v.changedIDs = slices.Compact(changed)
	for _, id := range v.changedIDs {
		v.reevaluate(id)
	}
}

// viewIDOf is the view's id of an entry: that of the first source before its own that
// has the same id, or else the same address. Of several ids at one address the newest
// counts.
func (v *View) viewIDOf(e *entry) string {
	for i := range e.source {
		if other := v.sources[i].entries[e.ID]; other != nil {
			return other.viewID
		}
	}
	for i := range e.source {
		other := newestEntry(v.byAddress[e.address()], i)
		if other != nil && v.sources[e.source].entries[other.viewID] == nil { // else its own source tells the two apart
			return other.viewID
		}
	}
	return e.ID
}
