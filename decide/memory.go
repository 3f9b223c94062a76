package decide

import (
	"cmp"
	"slices"
)

// What a policy has learned of its destinations, in a form that another policy
// takes over: plain values, no message among them. Times are moments of the
// exporting policy's clock.

// Memory is everything learned.
type Memory struct {
	Now     Time           `json:"now"`
	Lanes   []LaneMemory   `json:"lanes"`
	Tenants []BucketMemory `json:"tenants,omitempty"`
	Tight   []float64      `json:"tight,omitempty"`
	Lat     LatencyMemory  `json:"lat"`
}

// LaneMemory is what is known of one limit: of a destination, or of a route.
type LaneMemory struct {
	Dest       int              `json:"dest"`
	Endpoints  []EndpointMemory `json:"endpoints"`
	Bins       [][2]float64     `json:"bins,omitempty"` // requests and accepts, the newest last
	Started    Time             `json:"started,omitempty"`
	Window     float64          `json:"window"`
	WaitUntil  Time             `json:"wait_until,omitempty"`
	PauseUntil Time             `json:"pause_until,omitempty"`
	Nominal    float64          `json:"nominal,omitempty"`
	Limit      float64          `json:"limit,omitempty"`
	Boost      float64          `json:"boost"`
	Cut        float64          `json:"cut,omitempty"`
	CutAt      Time             `json:"cut_at,omitempty"`
	Tokens     BucketMemory     `json:"tokens"`
	Bound      bool             `json:"bound,omitempty"`
	FullRun    int              `json:"full_run,omitempty"`
	FullAt     Time             `json:"full_at,omitempty"`
	Lat        LatencyMemory    `json:"lat"`
}

// EndpointMemory is what is known of one endpoint's health.
type EndpointMemory struct {
	ID        Endpoint      `json:"id"`
	RestUntil Time          `json:"rest_until,omitempty"`
	Score     float64       `json:"score,omitempty"`
	Sick      bool          `json:"sick,omitempty"`
	FirstBad  Time          `json:"first_bad,omitempty"`
	BadAt     Time          `json:"bad_at,omitempty"`
	GoodAt    Time          `json:"good_at,omitempty"`
	GoodSent  Time          `json:"good_sent,omitempty"`
	OkAt      Time          `json:"ok_at,omitempty"`
	Budget    BucketMemory  `json:"budget"`
	Need      float64       `json:"need,omitempty"`
	Mute      bool          `json:"mute,omitempty"`
	Lat       LatencyMemory `json:"lat"`
}

// BucketMemory is a token bucket.
type BucketMemory struct {
	At     Time    `json:"at,omitempty"`
	Tokens float64 `json:"tokens,omitempty"`
	Used   bool    `json:"used,omitempty"`
}

// LatencyMemory is a smoothed mean and deviation, in µs.
type LatencyMemory struct {
	Mean float64 `json:"mean,omitempty"`
	Dev  float64 `json:"dev,omitempty"`
	N    int     `json:"n,omitempty"`
}

func (b bucket) memory() BucketMemory { return BucketMemory{b.at, b.tokens, b.used} }

func (m BucketMemory) bucket(shift Time) bucket {
	return bucket{moved(m.At, shift), m.Tokens, m.Used}
}

func (l latency) memory() LatencyMemory  { return LatencyMemory{l.mean, l.dev, l.n} }
func (m LatencyMemory) latency() latency { return latency{m.Mean, m.Dev, m.N} }

// moved takes a moment to another clock; none stays none.
func moved(t, shift Time) Time {
	if t == 0 {
		return 0
	}
	return max(t+shift, 1)
}

// memory shows what is known of a lane by now.
func (l *lane) memory(now Time) LaneMemory {
	x := LaneMemory{Dest: l.dest.id, Window: l.window, WaitUntil: l.waitUntil, PauseUntil: l.pauseUntil, Nominal: l.nominal,
		Limit: l.limit, Boost: l.boost, Cut: l.cut, CutAt: l.cutAt, Tokens: l.tokens.memory(), Bound: l.bound, FullRun: l.fullRun, FullAt: l.fullAt, Lat: l.lat.memory()}
	if l.hist.hasStart {
		l.hist.roll(now)
		n := Time(len(l.hist.bins))
		for i := range n {
			x.Bins = append(x.Bins, l.hist.bins[(l.hist.at+1+i)%n])
		}
		x.Started = l.hist.started
	}
	for _, ep := range l.eps {
		x.Endpoints = append(x.Endpoints, EndpointMemory{ID: ep.id, RestUntil: ep.restUntil, Score: ep.score, Sick: ep.sick,
			FirstBad: ep.firstBad, BadAt: ep.badAt, GoodAt: ep.goodAt, GoodSent: ep.goodSent, OkAt: ep.okAt,
			Budget: ep.budget.memory(), Need: ep.need, Mute: ep.mute, Lat: ep.lat.memory()})
	}
	return x
}

// Export shows what the policy has learned by now.
func (p *Policy) Export(now Time) *Memory {
	m := &Memory{Now: now, Tight: slices.Clone(p.tight), Lat: p.lat.memory()}
	for _, t := range p.tenants {
		m.Tenants = append(m.Tenants, t.memory())
	}
	for _, d := range p.dests {
		for _, l := range d.lanes {
			m.Lanes = append(m.Lanes, l.memory(now))
		}
	}
	return m
}

// Import takes over what another policy learned, of the endpoints that the list
// has named to this one already. Its moments lie shift later on this policy's
// clock. Nothing of it may be known here yet: what is, is replaced.
func (p *Policy) Import(now Time, m *Memory, shift Time) {
	p.now = max(now, p.now)
	if p.lat = m.Lat.latency(); len(m.Tight) == len(p.tight) {
		copy(p.tight, m.Tight)
	}
	if len(m.Tenants) == len(p.tenants) {
		for i, t := range m.Tenants {
			p.tenants[i] = t.bucket(shift)
		}
	}
	p.importLanes(m, shift)
}

// importLanes takes over what binds destinations.
func (p *Policy) importLanes(m *Memory, shift Time) {
	for i := range m.Lanes {
		x := &m.Lanes[i]
		var l *lane
		for _, e := range x.Endpoints {
			if ep := p.eps[e.ID]; ep != nil && ep.lane.dest.id == x.Dest {
				l = cmp.Or(l, ep.lane)
				ep.restUntil, ep.score, ep.sick = moved(e.RestUntil, shift), e.Score, e.Sick
				ep.firstBad, ep.badAt, ep.okAt = moved(e.FirstBad, shift), moved(e.BadAt, shift), moved(e.OkAt, shift)
				ep.goodAt, ep.goodSent = moved(e.GoodAt, shift), moved(e.GoodSent, shift)
				ep.budget, ep.need, ep.mute, ep.lat = e.Budget.bucket(shift), e.Need, e.Mute, e.Lat.latency()
			}
		}
		if l == nil { // all its endpoints are new: what binds the destination as a whole binds them too
			at, ok := slices.BinarySearchFunc(p.dests, x.Dest, func(d *dest, id int) int { return d.id - id })
			if !ok || p.dests[at].kind.Apart || len(p.dests[at].lanes) == 0 {
				continue
			}
			l = p.dests[at].lanes[0]
		}
		l.window, l.boost, l.bound = max(x.Window, 1), x.Boost, x.Bound
		l.waitUntil, l.pauseUntil = moved(x.WaitUntil, shift), moved(x.PauseUntil, shift)
		l.cut, l.cutAt = x.Cut, moved(x.CutAt, shift)
		l.limit, l.nominal = x.Limit, cmp.Or(l.nominal, x.Nominal)
		l.tokens, l.lat = x.Tokens.bucket(shift), x.Lat.latency()
		l.fullRun, l.fullAt = x.FullRun, moved(x.FullAt, shift)
		if len(x.Bins) == len(l.hist.bins) {
			l.hist = newCounter(historySpan, historyBins)
			l.hist.roll(moved(m.Now, shift))
			n := Time(len(x.Bins))
			for j, b := range x.Bins {
				l.hist.bins[(l.hist.at+1+Time(j))%n] = b
				l.hist.sum[0] += b[0]
				l.hist.sum[1] += b[1]
			}
			l.hist.started = moved(x.Started, shift)
		}
		p.touch(l.dest)
	}
}

// aloftAt books that an attempt of a message, made by the policy from which
// this one took over, is still out: it holds its slot, and its outcome comes as
// if it had been sent here.
func (p *Policy) aloftAt(m *message, ep *endpoint, sent Time) {
	m.dest.queue = slices.DeleteFunc(m.dest.queue, func(x *message) bool { return x == m })
	c := &call{ep: ep, sent: sent, left: 1, msgs: []*message{m}}
	m.call = c
	p.aloft++
	p.calls++
	m.dest.flying++
	ep.lane.flying++
	ep.flying++
	ep.conns = max(ep.conns, (ep.flying+p.set.Streams-1)/p.set.Streams)
	if p.set.Cancels {
		p.later.add(p.now, func() { p.review(c) })
	}
}
