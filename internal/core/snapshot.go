package core

import "troutusher/policy"

// StateSnapshot is what a core knows of destinations that a later process of this
// relay should know as well: no message is in it. Moments are those of the
// core's clock.
type StateSnapshot struct {
	Now         policy.Time          `json:"now"`
	Revision    int64                `json:"revision"` // of the list that it goes by
	Members     []HandoverMember     `json:"members"`
	Partial     bool                 `json:"partial,omitempty"` // destinations that rest are left out, but for those that were out
	RetryAfters []HandoverRetryAfter `json:"waits,omitempty"`
	Policy      *policy.Snapshot     `json:"policy"`
}

// SnapshotState shows what is known by now. It shares nothing with the core.
func (r *Core) SnapshotState(now policy.Time) *StateSnapshot {
	r.now = max(now, r.now)
	l := &StateSnapshot{Now: r.now, Revision: r.listRevision, Members: r.handoverMembers(), RetryAfters: r.handoverRetryAfters(), Policy: r.policy.Snapshot(r.now), Partial: r.passivation.store != nil}
	members, lanes := r.passiveState(false)
	l.Members, l.Policy.Limiters = append(l.Members, members...), append(l.Policy.Limiters, lanes...)
	return l
}

// StateVersion counts what a restart should not forget: calls that were not answered
// well, waits, verdicts. Moved counts all that is learned.
func (r *Core) StateVersion() uint64 { return r.stateVersion }

// CompletedCalls is counted with each call that ends.
func (r *Core) CompletedCalls() uint64 { return r.completedCalls }

// EndpointList is the list as the core had it; nothing that had drained is up in it.
func (l *StateSnapshot) EndpointList() *EndpointList {
	x := &EndpointList{Revision: l.Revision, Complete: !l.Partial}
	for i := range l.Members {
		x.Members = append(x.Members, l.Members[i].Member)
	}
	return x
}

// DropRecentCounts leaves out what is longest and soonest old: the counts of the last seconds.
func (l *StateSnapshot) DropRecentCounts() {
	for i := range l.Policy.Limiters {
		l.Policy.Limiters[i].Bins = nil
	}
}

// RestoreState takes over what an earlier process had learned. The list has been
// booked; an endpoint that is not where it was, or another's place under a new
// name, inherits nothing.
func (r *Core) RestoreState(now policy.Time, l *StateSnapshot, shift policy.Time, fx []Effect) []Effect {
	r.now, r.effects = max(now, r.now), fx
	r.finishListUpdate()
	if l.Policy != nil {
		r.activateAll(l.Policy)
	}
	r.runPolicy() // the policy knows the endpoints from here on
	for _, w := range l.RetryAfters {
		if r.knowsDestination(w.Dest) {
			r.retryAfter[w.Dest] = max(r.retryAfter[w.Dest], w.Until+shift)
		}
	}
	if l.Policy != nil {
		r.translateMemory(l.Policy, l.Members, shift)
		r.policy.RestoreAfterRestart(r.now, l.Policy, shift)
	}
	for _, ep := range r.endpoints {
		if until := r.retryAfterOf(ep); until > r.now {
			r.emit(ApplyRetryAfter{Endpoint: ep.number, Until: until})
		}
	}
	return r.takeEffects()
}

// translateMemory puts this core's numbers into another's memory, and books the waits of
// routes. Endpoints that are not known here, or are elsewhere now, get 0, which
// none has.
func (r *Core) translateMemory(p *policy.Snapshot, members []HandoverMember, shift policy.Time) {
	number := map[policy.EndpointID]policy.EndpointID{}
	for i := range members {
		m := &members[i]
		ep := r.endpointsByID[m.ID]
		if ep == nil || ep.hostPort != m.HostPort || ep.dest != m.Dest {
			continue
		}
		number[m.Number] = ep.number
		if m.RetryAfter > 0 {
			ep.retryAfter = max(ep.retryAfter, m.RetryAfter+shift)
		}
	}
	for i := range p.Limiters {
		eps := p.Limiters[i].Endpoints
		for j := range eps {
			eps[j].ID = number[eps[j].ID]
		}
	}
}
