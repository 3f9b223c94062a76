package membership

import "container/heap"

// publishedMember is an endpoint of the view, as it was published.
type publishedMember struct {
	Member
	listed          bool // it is in the view
	decidedBy       int
	flaps           int // times it went down since flapWindowStart
	flapWindowStart Time
	lastDownAt      Time
	pending         bool // that it is up, or another change of it, is to be published
}

// delayedUp is an endpoint that comes up later, since it went down too often.
type delayedUp struct {
	at Time
	id string
}

// delayedUps is a heap, the earliest first.
type delayedUps []delayedUp

// Len is heap.Interface's.
func (l delayedUps) Len() int { return len(l) }

// Less is heap.Interface's.
func (l delayedUps) Less(i, j int) bool {
	return l[i].at < l[j].at || l[i].at == l[j].at && l[i].id < l[j].id
}

// Swap is heap.Interface's.
func (l delayedUps) Swap(i, j int) { l[i], l[j] = l[j], l[i] }

// Push is heap.Interface's.
func (l *delayedUps) Push(x any) { *l = append(*l, x.(delayedUp)) }

// Pop is heap.Interface's.
func (l *delayedUps) Pop() any {
	last := len(*l) - 1
	x := (*l)[last]
	*l = (*l)[:last]
	return x
}

// Step returns what has changed by now: first all drains, removals and lowered rates,
// then endpoints that come up, MaxUpsPerStep at a time.
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

// publishPending publishes endpoints that come up, in their order. Those that went down
// too often are delayed.
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

// flapping reports whether an endpoint has gone down too often to come up now.
func (v *View) flapping(p *publishedMember) bool {
	return p.flaps >= v.settings.MaxFlaps && v.now < p.lastDownAt+v.settings.HoldDown
}

// publish appends the change from what was published of an endpoint to what is true now.
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

// forgetPublished drops an endpoint that is not in the view, once its flaps no longer
// count.
func (v *View) forgetPublished(id string, p *publishedMember) {
	if v.now >= p.lastDownAt+max(v.settings.HoldDown, v.settings.FlapWindow) {
		delete(v.published, id)
	}
}
