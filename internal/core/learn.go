package core

import "troutusher/decide"

// Learned is what a core knows of destinations that a later process of this
// relay should know as well: no message is in it. Moments are those of the
// core's clock.
type Learned struct {
	Now      decide.Time      `json:"now"`
	Revision int64            `json:"revision"` // of the list that it goes by
	Members  []CarriedMember  `json:"members"`
	Partial  bool             `json:"partial,omitempty"` // destinations that rest are left out, but for those that were out
	Waits    []CarriedWait    `json:"waits,omitempty"`
	Policy   *decide.Snapshot `json:"policy"`
}

// Learn shows what is known by now. It shares nothing with the core.
func (r *Core) Learn(now decide.Time) *Learned {
	r.now = max(now, r.now)
	l := &Learned{Now: r.now, Revision: r.rev, Members: r.carriedMembers(), Waits: r.carriedWaits(), Policy: r.policy.Snapshot(r.now), Partial: r.rest.store != nil}
	members, lanes := r.resting(false)
	l.Members, l.Policy.Limiters = append(l.Members, members...), append(l.Policy.Limiters, lanes...)
	return l
}

// Stirred counts what a restart should not forget: calls that were not answered
// well, waits, verdicts. Moved counts all that is learned.
func (r *Core) Stirred() uint64 { return r.stirred }

// Moved is counted with each call that ends.
func (r *Core) Moved() uint64 { return r.moved }

// List is the list as the core had it; nothing that had drained is up in it.
func (l *Learned) List() *List {
	x := &List{Revision: l.Revision, Complete: !l.Partial}
	for i := range l.Members {
		x.Members = append(x.Members, l.Members[i].Member)
	}
	return x
}

// Slim leaves out what is longest and soonest old: the counts of the last seconds.
func (l *Learned) Slim() {
	for i := range l.Policy.Limiters {
		l.Policy.Limiters[i].Bins = nil
	}
}

// Recall takes over what an earlier process had learned. The list has been
// booked; an endpoint that is not where it was, or another's place under a new
// name, inherits nothing.
func (r *Core) Recall(now decide.Time, l *Learned, shift decide.Time, fx []Effect) []Effect {
	r.now, r.fx = max(now, r.now), fx
	r.bookAll()
	if l.Policy != nil {
		r.wakeAll(l.Policy)
	}
	r.step() // the policy knows the endpoints from here on
	for _, w := range l.Waits {
		if r.knows(w.Dest) {
			r.waits[w.Dest] = max(r.waits[w.Dest], w.Until+shift)
		}
	}
	if l.Policy != nil {
		r.inherit(l.Policy, l.Members, shift)
		r.policy.RestoreAfterRestart(r.now, l.Policy, shift)
	}
	for _, ep := range r.endpoints {
		if until := r.heldUntil(ep); until > r.now {
			r.do(Effect{Kind: Hold, Endpoint: ep.num, Until: until})
		}
	}
	return r.done()
}

// inherit puts this core's numbers into another's memory, and books the waits of
// routes. Endpoints that are not known here, or are elsewhere now, get 0, which
// none has.
func (r *Core) inherit(p *decide.Snapshot, members []CarriedMember, shift decide.Time) {
	number := map[decide.EndpointID]decide.EndpointID{}
	for i := range members {
		m := &members[i]
		ep := r.byID[m.ID]
		if ep == nil || ep.hostPort != m.HostPort || ep.cell != m.Cell {
			continue
		}
		number[m.Number] = ep.num
		if m.WaitUntil > 0 {
			ep.waitUntil = max(ep.waitUntil, m.WaitUntil+shift)
		}
	}
	for i := range p.Limiters {
		eps := p.Limiters[i].Endpoints
		for j := range eps {
			eps[j].ID = number[eps[j].ID]
		}
	}
}
