package core

import (
	"maps"
	"slices"

	"troutusher/policy"
)

// defaultListBatchSize is how many members of a list are booked in one step, beside those
// that concern who is awake: a list of a million must not keep clients waiting.
const defaultListBatchSize = 4096

// listUpdate is a list under way: what concerns who is awake has been booked, since
// a drain is obeyed at once; the rest follows in pieces.
type listUpdate struct {
	list     *EndpointList
	complete bool
	applied  []bool // by member
	next     int
	// Endpoints that woke meanwhile and that a whole list has not named yet: if it
	// does not, they have left.
	unnamed map[string]bool
}

// applyList books news of the list.
func (r *Core) applyList(l *EndpointList, kind policy.ListUpdateKind) {
	r.finishListUpdate() // the one before: the newer word must come last
	r.listRevision = l.Revision
	r.stateVersion++
	b := &listUpdate{list: l, complete: kind != policy.ListDelta, applied: make([]bool, len(l.Members)), unnamed: map[string]bool{}}
	r.listUpdate = b
	e := policy.Event{Kind: policy.EvListUpdated, ListUpdate: kind}
	for i := range l.Members {
		b.applied[i] = r.endpointsByID[l.Members[i].ID] != nil
	}
	if s := r.passivation.store; s != nil && b.complete {
		s.BeginList()
	}
	seen := map[string]bool{}
	for i := range l.Members {
		x := &l.Members[i]
		if !b.applied[i] && (x.Phase == Removed || !r.passivation.roster.Contains(x.Dest)) {
			continue
		}
		b.applied[i] = true
		if x.Check() != nil {
			continue // in the configuration's list; discovery's is checked already
		}
		if entry, awake := r.applyMember(x); awake {
			seen[x.ID] = true
			e.Updates = append(e.Updates, entry)
		}
	}
	if b.complete {
		for _, ep := range r.endpoints {
			if !seen[ep.id] {
				ep.listed = false
				r.retireEndpoint(ep)
			}
		}
	}
	r.policyEvents = append(r.policyEvents, e)
	r.endpoints = slices.DeleteFunc(r.endpoints, func(ep *endpoint) bool { // the list's comings and goings must not fill the memory
		if !ep.retired || len(ep.calls) > 0 || r.now <= max(ep.retiredAt+forgetRetiredAfter, ep.retryAfter) || seen[ep.id] {
			return false
		}
		delete(r.endpointsByID, ep.id)
		delete(r.endpointsByNumber, ep.number)
		r.emit(ForgetEndpoint{Endpoint: ep.number})
		return true
	})
	r.applyListBatch(r.listBatchSize)
}

// applyListBatch books so many more members, and reports whether any are left.
func (r *Core) applyListBatch(most int) (more bool) {
	b := r.listUpdate
	e := policy.Event{Kind: policy.EvListUpdated, ListUpdate: policy.ListDelta}
	for ; b.next < len(b.applied) && most > 0; b.next++ {
		if b.applied[b.next] || b.list.Members[b.next].Check() != nil {
			continue
		}
		most--
		if entry, awake := r.applyMember(&b.list.Members[b.next]); awake {
			e.Updates = append(e.Updates, entry)
		}
	}
	left := b.next < len(b.applied)
	if !left {
		for _, id := range slices.Sorted(maps.Keys(b.unnamed)) {
			if ep := r.endpointsByID[id]; ep != nil {
				e.Updates = append(e.Updates, r.updateEndpoint(&Member{ID: id, Dest: ep.dest, Phase: Removed}))
			}
		}
	}
	if len(e.Updates) > 0 {
		r.policyEvents = append(r.policyEvents, e)
	}
	if left {
		return true
	}
	if s := r.passivation.store; s != nil && b.complete {
		for _, dest := range s.EndList() {
			r.noteDeparture(dest)
		}
	}
	r.listUpdate = nil
	r.forgetDeparted()
	return false
}

// finishListUpdate books what is left of a list.
func (r *Core) finishListUpdate() {
	for r.listUpdate != nil && r.applyListBatch(r.listBatchSize) {
	}
}
