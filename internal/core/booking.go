package core

import (
	"maps"
	"slices"

	"troutusher/decide"
)

// listAtOnce is how many members of a list are booked in one step, beside those
// that concern who is awake: a list of a million must not keep clients waiting.
const listAtOnce = 4096

// booking is a list under way: what concerns who is awake has been booked, since
// a drain is obeyed at once; the rest follows in pieces.
type booking struct {
	list  *List
	whole bool
	done  []bool // by member
	next  int
	// Endpoints that woke meanwhile and that a whole list has not named yet: if it
	// does not, they have left.
	unnamed map[string]bool
}

// list books news of the list.
func (r *Core) list(l *List, kind decide.ListUpdateKind) {
	r.bookAll() // the one before: the newer word must come last
	r.rev = l.Revision
	r.stirred++
	b := &booking{list: l, whole: kind != decide.ListDelta, done: make([]bool, len(l.Members)), unnamed: map[string]bool{}}
	r.booking = b
	e := decide.Event{Kind: decide.EvListUpdated, ListUpdate: kind}
	for i := range l.Members {
		b.done[i] = r.byID[l.Members[i].ID] != nil
	}
	if s := r.rest.store; s != nil && b.whole {
		s.Begin()
	}
	seen := map[string]bool{}
	for i := range l.Members {
		x := &l.Members[i]
		if !b.done[i] && (x.Phase == Removed || !r.rest.roster.Awake(x.Cell)) {
			continue
		}
		b.done[i] = true
		if x.Check() != nil {
			continue // in the configuration's list; discovery's is checked already
		}
		if entry, awake := r.news(x); awake {
			seen[x.ID] = true
			e.Updates = append(e.Updates, entry)
		}
	}
	if b.whole {
		for _, ep := range r.endpoints {
			if !seen[ep.id] {
				ep.listed = false
				r.leave(ep)
			}
		}
	}
	r.events = append(r.events, e)
	r.endpoints = slices.DeleteFunc(r.endpoints, func(ep *endpoint) bool { // the list's comings and goings must not fill the memory
		if !ep.gone || len(ep.calls) > 0 || r.now <= max(ep.goneAt+forgetGone, ep.waitUntil) || seen[ep.id] {
			return false
		}
		delete(r.byID, ep.id)
		delete(r.byNum, ep.num)
		r.do(Effect{Kind: Forget, Endpoint: ep.num})
		return true
	})
	r.bookOn(r.pieces)
}

// bookOn books so many more members, and reports whether any are left.
func (r *Core) bookOn(most int) (more bool) {
	b := r.booking
	e := decide.Event{Kind: decide.EvListUpdated, ListUpdate: decide.ListDelta}
	for ; b.next < len(b.done) && most > 0; b.next++ {
		if b.done[b.next] || b.list.Members[b.next].Check() != nil {
			continue
		}
		most--
		if entry, awake := r.news(&b.list.Members[b.next]); awake {
			e.Updates = append(e.Updates, entry)
		}
	}
	left := b.next < len(b.done)
	if !left {
		for _, id := range slices.Sorted(maps.Keys(b.unnamed)) {
			if ep := r.byID[id]; ep != nil {
				e.Updates = append(e.Updates, r.member(&Member{ID: id, Cell: ep.cell, Phase: Removed}))
			}
		}
	}
	if len(e.Updates) > 0 {
		r.events = append(r.events, e)
	}
	if left {
		return true
	}
	if s := r.rest.store; s != nil && b.whole {
		for _, dest := range s.End() {
			r.departs(dest)
		}
	}
	r.booking = nil
	r.forgetDeparted()
	return false
}

// bookAll books what is left of a list.
func (r *Core) bookAll() {
	for r.booking != nil && r.bookOn(r.pieces) {
	}
}
