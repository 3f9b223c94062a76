package scenario

import (
	"fmt"
	"math"
	"slices"

	"troutusher/internal/emulator/endpoint"
	"troutusher/internal/event"
	"troutusher/internal/seededrand"
)

// Plan is what is played: everything that was drawn from a scenario and a seed.
type Plan struct {
	Scenario  *Scenario
	Seed      uint64
	Specs     []endpoint.Spec
	Endpoints []Endpoint
	Arrivals  []Arrival
	Faults    []PlannedFault
}

// Endpoint is an endpoint of the plan, numbered as the stand-ins number it.
type Endpoint struct {
	Name    string
	Partner int // index in Specs
	Zone    string
	Kind    string
	TLS     *TLS // nil where it is reached without
}

// Arrival is one message that a client is going to hand in.
type Arrival struct {
	At          event.Time `json:"at_us"`
	Class       int        `json:"class"`
	Portal      int        `json:"portal"`
	Destination int        `json:"dest"`
	Key         string     `json:"key,omitempty"`
	OrderingKey uint64     `json:"-"` // of a class in order; no front carries one yet
}

// PlannedFault is a fault with the endpoints or relays that it strikes.
type PlannedFault struct {
	Kind      string     `json:"kind"`
	At        event.Time `json:"at_us"`
	Until     event.Time `json:"until_us"`
	Endpoints []int      `json:"endpoints,omitempty"`
	Relays    []int      `json:"relays,omitempty"` // from 0
	Magnitude float64    `json:"size,omitempty"`
	Share     float64    `json:"share,omitempty"`
	Class     int        `json:"class,omitempty"`
	Variant   string     `json:"form,omitempty"`
}

// Streams of the seed.
const (
	arrivalStream = 1 + iota
	burstStream
	faultStream
	keyStream
	serviceTimeStream
	returnStream
)

// Microseconds turns milliseconds into the plan's unit.
func Microseconds(ms float64) event.Time { return event.Time(math.Round(ms * 1000)) }

// EmptyPlan lays out partners and endpoints.
func (s *Scenario) EmptyPlan(seed uint64) *Plan {
	p := &Plan{Scenario: s, Seed: seed}
	mix := s.classMix()
	for i := range s.Partners {
		x := &s.Partners[i]
		for n := range x.Count {
			name := x.Name
			if x.Count > 1 {
				name = fmt.Sprintf("%s-%d", x.Name, n+1)
			}
			spec := endpoint.Spec{
				Name:              name,
				Destination:       len(p.Specs) + 1,
				Endpoints:         x.Endpoints,
				IndependentRoutes: x.Routes == "apart",
				Capacity:          x.CapacityPerS,
				QueueLimit:        x.QueueLimit,
				ClassMix:          mix[i],
				MaxConns:          x.MaxConns,
				IdleTimeout:       Microseconds(x.IdleTimeoutMS),
				HandshakeTime:     Microseconds(x.HandshakeMS),
				OneWayDelay:       Microseconds(x.OneWayDelayMS),
				WarmUpShare:       x.WarmUpShare,
				WarmUpTime:        Microseconds(x.WarmUpMS),
				OverloadFactor:    s.Rules.OverloadFactor,
				OverloadWindow:    Microseconds(s.Rules.OverloadWindowMS),
				DedupWindow:       Microseconds(x.DedupWindowMS),
				ErrorShare:        x.ErrorShare,
				Cancel:            endpoint.CancelPolicy(x.Cancel),
				RateLimit: endpoint.RateLimit{
					Kind:      endpoint.LimitKind(x.Limit),
					PerSecond: x.LimitPerS,
					Burst:     x.LimitBurst,
					Window: Microseconds(
						x.WindowMS,
					),
					CountsRejected: x.CountsRejected,
					RetryAfter:     Microseconds(x.RetryAfterMS),
				},
			}
			if x.TLS != nil {
				spec.FullHandshakeCost, spec.ResumedHandshakeCost = x.TLS.FullHandshakeCost, x.TLS.ResumedHandshakeCost
			}
			for _, c := range s.Classes {
				ms, _ := x.serviceTimeMS(c.Name)
				spec.ServiceTimes = append(
					spec.ServiceTimes,
					endpoint.ServiceTime{
						Mean:         Microseconds(ms),
						Distribution: seededrand.Distribution(x.Distribution),
						CV:           x.CV,
					},
				)
			}
			for e := range x.Endpoints {
				p.Endpoints = append(p.Endpoints, Endpoint{
					Name: fmt.Sprintf("%s/%d", name, e+1), Partner: len(p.Specs), TLS: x.TLS,
					Zone: s.Relays.Zones[len(p.Endpoints)%len(s.Relays.Zones)], Kind: x.Kind,
				})
			}
			p.Specs = append(p.Specs, spec)
		}
	}
	return p
}

// classMix is the part of all messages that each partner table gets, by class.
func (s *Scenario) classMix() [][]float64 {
	all := 0.0
	for _, c := range s.Classes {
		all += c.Share
	}
	m := make([][]float64, len(s.Partners))
	for i := range m {
		m[i] = make([]float64, len(s.Classes))
	}
	for c, class := range s.Classes {
		takers := 0.0
		for i := range s.Partners {
			if s.Partners[i].acceptsClass(class.Name) {
				takers += s.Partners[i].Share
			}
		}
		for i := range s.Partners {
			if p := &s.Partners[i]; p.acceptsClass(class.Name) {
				m[i][c] = class.Share / all * p.Share / takers / float64(p.Count)
			}
		}
	}
	return m
}

// Plan draws what is played.
func (s *Scenario) Plan(seed uint64) *Plan {
	p := s.EmptyPlan(seed)
	p.drawArrivals()
	p.drawFaults()
	return p
}

// ServiceTimeSeed is the seed of the stand-ins' service times.
func (p *Plan) ServiceTimeSeed() uint64 { return seededrand.Hash(p.Seed, serviceTimeStream) }

// arrivalPlanner draws the arrivals of a plan.
type arrivalPlanner struct {
	*Plan
	weights       []float64      // by class and partner
	portalWeights []float64      // by portal
	portalIndex   map[string]int // by name
	tableOf       []int          // the partner table of a partner
	peakFactor    float64        // that the rate is never above
}

func (p *Plan) newArrivalPlanner() *arrivalPlanner {
	s := p.Scenario
	x := &arrivalPlanner{
		Plan: p, portalWeights: make([]float64, len(s.Portals)), portalIndex: map[string]int{},
		peakFactor: max(s.Traffic.From, s.Traffic.To, 1+s.Traffic.Amplitude),
	}
	for c := range s.Classes {
		for i := range p.Specs {
			x.weights = append(x.weights, p.Specs[i].ClassMix[c])
		}
	}
	for i, portal := range s.Portals {
		x.portalWeights[i] = portal.Share
		x.portalIndex[portal.Name] = i
	}
	for i := range s.Partners {
		for range s.Partners[i].Count {
			x.tableOf = append(x.tableOf, i)
		}
	}
	return x
}

func (p *Plan) drawArrivals() {
	planner := p.newArrivalPlanner()
	planner.addSingleArrivals()
	planner.addBursts()
	planner.addReturnBursts()
	slices.SortStableFunc(p.Arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	for i := range p.Arrivals {
		if p.Scenario.Classes[p.Arrivals[i].Class].Idempotency == "keyed" {
			p.Arrivals[i].Key = fmt.Sprintf("%016x", seededrand.Hash(p.Seed, keyStream, uint64(i)))
		}
	}
}

// addArrival adds one arrival; st draws its portal.
func (x *arrivalPlanner) addArrival(at float64, class, part int, st *seededrand.Stream) {
	a := Arrival{
		At: event.Time(
			at * 1e6,
		),
		Class:       class,
		Destination: x.Specs[part].Destination,
		Portal:      st.WeightedIndex(x.portalWeights),
	}
	if name := x.Scenario.Partners[x.tableOf[part]].Portal; name != "" {
		a.Portal = x.portalIndex[name]
	}
	x.Arrivals = append(x.Arrivals, a)
}

// addSingleArrivals draws arrivals that come one by one.
func (x *arrivalPlanner) addSingleArrivals() {
	s := x.Scenario
	peak := s.Traffic.RatePerS * (1 - s.Traffic.BurstShare) * x.peakFactor
	if s.Traffic.RatePerS*(1-s.Traffic.BurstShare) <= 0 {
		return
	}
	st := seededrand.NewStream(x.Seed, arrivalStream)
	for at := st.ExpFloat64() / peak; at < s.LengthS; at += st.ExpFloat64() / peak {
		if st.Float64()*x.peakFactor < s.rateFactor(at) { // thinning (Lewis and Shedler, 1979)
			i := st.WeightedIndex(x.weights)
			x.addArrival(at, i/len(x.Specs), i%len(x.Specs), st)
		}
	}
}

// addBursts draws arrivals that come many at once for one partner.
func (x *arrivalPlanner) addBursts() {
	s := x.Scenario
	rate := s.Traffic.RatePerS * s.Traffic.BurstShare / float64(s.Traffic.BurstSize)
	if rate <= 0 {
		return
	}
	peak := rate * x.peakFactor
	st := seededrand.NewStream(x.Seed, burstStream)
	for at := st.ExpFloat64() / peak; at < s.LengthS; at += st.ExpFloat64() / peak {
		if st.Float64()*x.peakFactor >= s.rateFactor(at) {
			continue
		}
		part := st.WeightedIndex(x.weights) % len(x.Specs)
		for range s.Traffic.BurstSize {
			if t := at + st.Float64()*0.1; t < s.LengthS {
				x.addArrival(t, st.WeightedIndex(x.Specs[part].ClassMix), part, st)
			}
		}
	}
}

// addReturnBursts draws the bursts of partners that nobody has sent to for a while.
func (x *arrivalPlanner) addReturnBursts() {
	st := seededrand.NewStream(x.Seed, returnStream)
	for part := range x.Specs {
		table := &x.Scenario.Partners[x.tableOf[part]]
		for range table.ReturnBurst {
			x.addArrival(table.ReturnS+st.Float64(), st.WeightedIndex(x.Specs[part].ClassMix), part, st)
		}
	}
}

// rateFactor is the traffic's shape: what its rate is multiplied by at a moment.
func (s *Scenario) rateFactor(at float64) float64 {
	t, x := &s.Traffic, at/s.LengthS
	switch t.Shape {
	case "ramp":
		return t.From + (t.To-t.From)*x
	case "wave":
		return 1 + t.Amplitude*math.Sin(2*math.Pi*at/t.PeriodS)
	case "rush": // climbs in the second quarter, stays in the third, falls in the last
		switch {
		case x < 0.25:
			return 1
		case x < 0.5:
			return 1 + (t.To-1)*(x-0.25)*4
		case x < 0.75:
			return t.To
		}
		return t.To + (1-t.To)*(x-0.75)*4
	}
	return 1
}

func (p *Plan) drawFaults() {
	s := p.Scenario
	for i := range s.Faults {
		f := &s.Faults[i]
		x := PlannedFault{
			Kind: f.Kind, At: Microseconds(f.StartS * 1000), Until: Microseconds(
				(f.StartS + f.DurationS) * 1000,
			), Magnitude: f.Magnitude, Share: f.Share,
			Variant: f.Variant,
		}
		for c := range s.Classes {
			if s.Classes[c].Name == f.Class {
				x.Class = c
			}
		}
		if fieldsByFault[f.Kind].partner {
			x.Endpoints = p.drawEndpoints(i, f)
		} else {
			for r := range s.Relays.Count {
				if f.Relay == 0 || f.Relay == r+1 {
					x.Relays = append(x.Relays, r)
				}
			}
		}
		p.Faults = append(p.Faults, x)
	}
	slices.SortStableFunc(p.Faults, func(a, b PlannedFault) int { return int(a.At - b.At) })
}

// drawEndpoints draws the endpoints that a fault strikes.
func (p *Plan) drawEndpoints(n int, f *Fault) []int {
	var all []int
	first := 0
	st := seededrand.NewStream(p.Seed, faultStream, uint64(n))
	for i := range p.Specs {
		x := &p.Specs[i]
		if p.faultNamesPartner(f, i) {
			k := max(1, int(math.Round(f.EndpointShare*float64(x.Endpoints))))
			ends := make([]int, x.Endpoints)
			for e := range ends {
				ends[e] = first + e
			}
			for e := range k { // the first k of a shuffle
				o := e + int(st.Float64()*float64(len(ends)-e))
				ends[e], ends[o] = ends[o], ends[e]
			}
			ends = ends[:k]
			slices.Sort(ends)
			all = append(all, ends...)
		}
		first += x.Endpoints
	}
	return all
}

// faultNamesPartner reports whether a fault names a partner, by its own name or its table's.
func (p *Plan) faultNamesPartner(f *Fault, i int) bool {
	table := 0
	for n := i; n >= p.Scenario.Partners[table].Count; table++ {
		n -= p.Scenario.Partners[table].Count
	}
	for _, name := range f.partnerNames() {
		if name == "*" || name == p.Specs[i].Name || name == p.Scenario.Partners[table].Name {
			return true
		}
	}
	return false
}

// Validate tells whether a plan from elsewhere fits its scenario.
func (a *Arrival) Validate(p *Plan) error {
	switch {
	case a.At < 0 || a.At > Microseconds(p.Scenario.LengthS*1000):
		return fmt.Errorf("at_us: %d, want 0 to %d", a.At, Microseconds(p.Scenario.LengthS*1000))
	case a.Class < 0 || a.Class >= len(p.Scenario.Classes):
		return fmt.Errorf("class: %d, there are %d", a.Class, len(p.Scenario.Classes))
	case a.Portal < 0 || a.Portal >= len(p.Scenario.Portals):
		return fmt.Errorf("portal: %d, there are %d", a.Portal, len(p.Scenario.Portals))
	case a.Destination < 1 || a.Destination > len(p.Specs):
		return fmt.Errorf("dest: %d, want 1 to %d", a.Destination, len(p.Specs))
	case p.Specs[a.Destination-1].ServiceTimes[a.Class].Mean <= 0:
		return fmt.Errorf("class: partner %s has no service time for %d", p.Specs[a.Destination-1].Name, a.Class)
	case len(a.Key) > 64:
		return fmt.Errorf("key: %d bytes, 64 at most", len(a.Key))
	}
	return nil
}

// Validate tells whether a fault from elsewhere fits its plan.
func (f *PlannedFault) Validate(p *Plan) error {
	shape, ok := fieldsByFault[f.Kind]
	switch {
	case !ok:
		return fmt.Errorf("kind: unknown fault %q", f.Kind)
	case f.At < 0 || f.Until < f.At:
		return fmt.Errorf("at_us, until_us: from %d to %d", f.At, f.Until)
	case shape.magnitude && !(f.Magnitude >= shape.minMagnitude && f.Magnitude <= 1000):
		return fmt.Errorf("size: %v", f.Magnitude)
	case shape.share && !(f.Share > 0 && f.Share <= 1):
		return fmt.Errorf("share: %v", f.Share)
	case shape.class && (f.Class < 0 || f.Class >= len(p.Scenario.Classes)):
		return fmt.Errorf("class: %d", f.Class)
	case shape.partner && len(f.Endpoints) == 0, !shape.partner && len(f.Relays) == 0:
		return fmt.Errorf("it strikes nothing")
	}
	for _, e := range f.Endpoints {
		if e < 0 || e >= len(p.Endpoints) {
			return fmt.Errorf("endpoints: %d, there are %d", e, len(p.Endpoints))
		}
	}
	for _, r := range f.Relays {
		if r < 0 || r >= p.Scenario.Relays.Count {
			return fmt.Errorf("relays: %d, there are %d", r, p.Scenario.Relays.Count)
		}
	}
	return nil
}

// MaxInFlight is the number of calls that a relay may have out at once.
func (p *Plan) MaxInFlight() int {
	s := p.Scenario
	if s.Relays.MaxInFlight > 0 {
		return s.Relays.MaxInFlight
	}
	busy := 0.0
	for i := range p.Specs {
		x := &p.Specs[i]
		for c, m := range x.ClassMix {
			busy += m * s.Traffic.RatePerS * float64(x.ServiceTimes[c].Mean+2*x.OneWayDelay) / 1e6
		}
	}
	return max(3, int(math.Ceil(2*busy/float64(s.Relays.Count))))
}

// MaxPending is the number of messages that a relay may hold.
func (p *Plan) MaxPending() int {
	if n := p.Scenario.Relays.MaxPending; n > 0 {
		return n
	}
	return max(16, int(10*p.Scenario.Traffic.RatePerS/float64(p.Scenario.Relays.Count)))
}
