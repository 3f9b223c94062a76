package decide

import "slices"

// What a restart makes of what was learned. Every rule errs towards caution where an outage may have ended, and
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
