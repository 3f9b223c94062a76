package decide

import "slices"

const (
	quietRamps = 4  // unheard for so many ramps: an outage may have come and gone, and its end be on its ramp
	wakesAlone = 10 // destinations a second that may wake by chance; where more do, they do at other relays too
)

// What a restart, or a long rest, makes of what was learned. Every rule errs towards caution where an outage may have ended, and
// towards the default where a figure is merely old; a wait never shortens.

// Recall takes over what an earlier process of this relay had written before it ended, maybe without a word. Its
// moments lie shift later on this policy's clock. What was spent since it was written is not known: so no budget
// has grown since then either.
func (p *Policy) Recall(now Time, m *Memory, shift Time) {
	now = max(now, p.now)
	old := now-moved(m.Now, shift) > historySpan
	here := now - shift // this moment, as the memory has its moments
	c := *m
	c.Tenants = slices.Clone(m.Tenants)
	for i := range c.Tenants {
		c.Tenants[i].At = here
	}
	c.Lanes = slices.Clone(m.Lanes)
	for i := range c.Lanes {
		l := &c.Lanes[i]
		// Nothing saved up, as when a lane of a large fleet begins: many relays may start in the same second.
		l.Tokens, l.Bound = BucketMemory{here, min(l.Tokens.Tokens, 1), true}, false
		shut := l.FullRun >= fullRunSick
		if old { // counts and paces of another time of day; the history ages by itself
			l.Window, l.Boost, l.FullRun = 1, 1, 0
		}
		l.Endpoints = slices.Clone(l.Endpoints)
		for j := range l.Endpoints {
			e := &l.Endpoints[j]
			if e.Sick && e.GoodAt == 0 && shut && !e.Mute {
				// Refusals alone: it answers, and is over its limit or shut. By now it may be neither, so it is held
				// to be on its ramp, as after a first answer: what it bears cold, and out again at the next refusals.
				e.GoodAt = e.BadAt + (here-e.BadAt)/2
				e.GoodSent, e.Score = e.GoodAt, e.Score*scoreKeep
			}
			e.Budget.At = here // a second start has no second budget, of what is out or on its ramp
			if !e.Sick && old {
				e.Score = 0
			}
		}
	}
	p.Import(now, &c, shift)
}

// Quiet reports whether a destination may be put away: nothing waits for it, nothing is out there, no wait is in
// force, no identity is waited for, and what was counted of it has aged out. An outage is no obstacle: it is kept.
func (p *Policy) Quiet(now Time, id int) bool {
	d := p.known(id)
	if d == nil || len(d.queue) > 0 || d.flying > 0 {
		return d == nil
	}
	for _, l := range d.lanes {
		if l.waitUntil > now {
			return false
		}
		if l.hist.hasStart {
			if requests, accepts := l.hist.totals(max(now, p.now)); requests > 0 || accepts > 0 {
				return false
			}
		}
		if slices.ContainsFunc(l.eps, func(ep *endpoint) bool { return ep.barred > now }) {
			return false
		}
	}
	return true
}

// PutAway forgets a destination that is quiet, and returns what should be known of it as it comes back: an
// EvList brings it. There are no lanes in it where nothing was learned. What a gap as long as the history makes
// of a memory is made of it here.
func (p *Policy) PutAway(now Time, id int) *Memory {
	p.now = max(now, p.now)
	m := &Memory{Now: p.now}
	d := p.known(id)
	if d == nil {
		return m
	}
	for _, l := range d.lanes {
		x := l.memory(p.now)
		x.Bins, x.Bound, x.Started = nil, false, 0
		x.Window, x.Boost, x.FullRun, x.FullAt, x.PauseUntil, x.WaitUntil = 1, 1, 0, 0, 0, 0
		if p.set.RatesListed {
			x.Nominal = 0 // the list has it
		}
		learned := x.Nominal > 0 || x.Limit > 0 || x.Cut > 0 || x.Lat.N > 0
		for j := range x.Endpoints {
			e := &x.Endpoints[j]
			if !e.Sick {
				e.Score, e.RestUntil, e.Budget, e.Need = 0, 0, BucketMemory{}, 0
			}
			learned = learned || e.Sick || e.OkAt > 0 || e.BadAt > 0
		}
		if learned {
			m.Lanes = append(m.Lanes, x)
		}
	}
	p.drop(d)
	return m
}

// wake takes back what PutAway gave of destinations whose endpoints have just joined. Nothing is saved up for
// them: what they get in their first moment goes one by one. One of which nobody has heard for long, or ever,
// may have been out and come back: it is on a ramp from now, and gets what it bears cold, over all its routes.
// The first call there goes at once, unless many wake together: then as many relays may have one as messages
// come, and each waits for a random amount of budget.
func (p *Policy) wake(e *Event) {
	p.importLanes(e.Memory, 0)
	alone := p.woken.take(p.now, 1, wakesAlone, wakesAlone)
	for i := range e.Entries {
		ep := p.eps[e.Entries[i].Endpoint]
		if ep == nil || ep.state == Gone {
			continue
		}
		if l := ep.lane; l.nominal+l.limit > 0 {
			l.tokens = bucket{p.now, 1, true}
		}
		if !ep.sick && p.set.RampTime > 0 && (ep.okAt == 0 || p.now-ep.okAt > quietRamps*p.set.RampTime) {
			ep.sick, ep.mute, ep.goodAt, ep.goodSent = true, false, p.now, p.now
			ep.firstBad, ep.badAt, ep.budget, ep.need = p.now, p.now, bucket{}, 1
			if _, _, rare := p.budgetRate(ep); rare && !alone {
				ep.budget, ep.need = bucket{p.now, 0, true}, p.rng.ExpFloat64()
			}
		}
	}
}
