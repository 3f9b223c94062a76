package membership

import "container/heap"

// publishedMember is the published state of an endpoint.
type publishedMember struct {
	Member
	listed          bool // it is in the view
	decidedBy       int  // the source that decided the phase
	flaps           int  // how often it went down since flapWindowStart
	flapWindowStart Time
	lastDownAt      Time
	pending         bool // its change in pendingUps or delayedUps has yet to be published
}

// delayedUp is an endpoint whose return to up is delayed because it went down too often.
type delayedUp struct {
	at Time
	id string
}

// delayedUps is a heap ordered by time.
type delayedUps []delayedUp

// Len implements heap.Interface.
func (l delayedUps) Len() int { return len(l) }

// Less implements heap.Interface.
func (l delayedUps) Less(i, j int) bool {
	return l[i].at < l[j].at || l[i].at == l[j].at && l[i].id < l[j].id
}

// Swap implements heap.Interface.
func (l delayedUps) Swap(i, j int) { l[i], l[j] = l[j], l[i] }

// Push implements heap.Interface.
func (l *delayedUps) Push(x any) { *l = append(*l, x.(delayedUp)) }

// Pop implements heap.Interface.
func (l *delayedUps) Pop() any {
	last := len(*l) - 1
	x := (*l)[last]
	*l = (*l)[:last]
	return x
}

// Step publishes the changes that are due now and returns them: first all drains, removals and
// lowered rates, then endpoints that come up, at most MaxUpsPerStep of them.
func (v *View) Step(now Time) (changes []Change) {
	v.now = max(v.now, now)
	v.applyTimeouts()
	urgent := v.urgent
	v.urgent = nil
	for _, id := range urgent {
		changes = v.publish(changes, id)
	}
	for len(v.delayedUps) > 0 && v.delayedUps[0].at <= v.now {
		v.pendingUps = append(v.pendingUps, heap.Pop(&v.delayedUps).(delayedUp).id)
	}
	return v.publishPending(changes)
}

// publishPending publishes queued endpoints in order, up to MaxUpsPerStep. It delays those that
// went down too often.
func (v *View) publishPending(changes []Change) []Change {
	before := len(changes)
	for i, id := range v.pendingUps {
		p := v.published[id]
		switch {
		case p == nil || !p.pending:
		case len(changes)-before >= v.settings.MaxUpsPerStep:
			v.pendingUps = append(v.pendingUps[:0], v.pendingUps[i:]...)
			return changes
		case v.flapping(p):
			heap.Push(&v.delayedUps, delayedUp{p.lastDownAt + v.settings.HoldDown, id})
		default:
			p.pending = false
			changes = v.publish(changes, id)
		}
	}
	v.pendingUps = v.pendingUps[:0]
	return changes
}

// flapping reports whether an endpoint went down too often to be published as up now.
func (v *View) flapping(p *publishedMember) bool {
	return p.flaps >= v.settings.MaxFlaps && v.now < p.lastDownAt+v.settings.HoldDown
}

// publish updates the published state of an endpoint to its merged state, and appends the change
// if there is one.
func (v *View) publish(changes []Change, id string) []Change {
	p := v.published[id]
	if p == nil {
		return changes
	}
	m, decidedBy, ok := v.mergedMember(id)
	if p.Member == m || !ok && !p.listed {
		if !ok && !p.pending {
			v.forgetPublished(id, p)
		}
		return changes
	}
	if p.listed && p.Phase == Up && m.Phase != Up {
		if v.now >= p.flapWindowStart+v.settings.FlapWindow {
			p.flapWindowStart, p.flaps = v.now, 0
		}
		p.flaps++
		p.lastDownAt = v.now
	}
	p.Member, p.listed, p.decidedBy = m, ok, decidedBy
	if ok && m.Phase != Up {
		p.pending = false
	}
	return append(changes, Change{m, decidedBy})
}

// forgetPublished deletes the published state of an endpoint that is not in the view, unless its
// flaps can still delay its return.
func (v *View) forgetPublished(id string, p *publishedMember) {
	if v.now >= p.lastDownAt+max(v.settings.HoldDown, v.settings.FlapWindow) {
		delete(v.published, id)
	}
}
