package membership

import "slices"

// updateEntry sets an entry's member, and reevaluates all endpoints that this affects. If the entry's
// address changes, it collects the entries that are connected by the former address, indexes the new
// one, and collects those that are connected by it. Then it assigns all of them their ids in the view.
func (v *View) updateEntry(e *entry, m Member) {
	v.beginWalk()
	added := e.ID == ""
	moved := added || e.HostPort != m.HostPort || e.Dest != m.Dest
	if moved && !added {
		v.collectConnected(e)
		v.unindexAddress(e)
		v.dropFirstConnected() // so that it is visited again, with its new address
	}
	e.Member = m
	if moved {
		v.byAddress[e.address()] = append(v.byAddress[e.address()], e)
	}
	v.collectConnected(e)
	v.assignViewIDs()
}

// unindexAddress removes an entry from the index by address.
func (v *View) unindexAddress(e *entry) { removeFrom(v.byAddress, e.address(), e) }

// leaveGroup removes an entry from the group of entries that belong to one endpoint of the view.
func (v *View) leaveGroup(e *entry, viewID string) { removeFrom(v.byViewID, viewID, e) }

// removeFrom removes an entry from the list of a key in an index, and the key if its list is empty.
func removeFrom[K comparable](index map[K][]*entry, key K, e *entry) {
	index[key] = slices.DeleteFunc(index[key], func(x *entry) bool { return x == e })
	if len(index[key]) == 0 {
		delete(index, key)
	}
}

// beginWalk begins a walk over entries that are connected by shared ids and addresses.
func (v *View) beginWalk() {
	v.walkNumber++
	v.connected = v.connected[:0]
}

// collectConnected adds an entry to the walk, and recursively all entries that share an id or an
// address with it.
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

// dropFirstConnected removes the entry with which the walk began from the walk.
func (v *View) dropFirstConnected() {
	v.connected[0].visitedBy = 0
	v.connected = slices.Delete(v.connected, 0, 1)
}

// assignViewIDs assigns the entries of a walk their ids in the view, and reevaluates the endpoints
// under their former and new ids.
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

// viewIDOf returns the view's id of an entry. It is that of the entry with the same id in the first
// source of higher precedence, else that of an entry with the same address there, else the
// entry's own id. If a source has several ids at the address, its newest entry counts.
func (v *View) viewIDOf(e *entry) string {
	for i := range e.source {
		if other := v.sources[i].entries[e.ID]; other != nil {
			return other.viewID
		}
	}
	for i := range e.source {
		other := newestEntry(v.byAddress[e.address()], i)
		// An entry of its own source with that id would mean that the two are different endpoints.
		if other != nil && v.sources[e.source].entries[other.viewID] == nil {
			return other.viewID
		}
	}
	return e.ID
}
