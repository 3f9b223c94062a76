package scenario

import (
	"errors"
	"fmt"
	"math"

	"troutusher/internal/emulator/endpoint"
	"troutusher/internal/event"
	"troutusher/internal/seededrand"
)

// Plan is the complete input of a rehearsal: partners, endpoints, arrivals and faults, drawn from
// a scenario and a seed.
type Plan struct {
	Scenario  *Scenario
	Seed      uint64
	Specs     []endpoint.Spec // of the partners; partner i is destination i+1
	Endpoints []Endpoint
	Arrivals  []Arrival
	Faults    []PlannedFault
}

// Endpoint is an endpoint of the plan, numbered as the endpoint emulator numbers it.
type Endpoint struct {
	Name    string
	Partner int // index in Specs
	Zone    string
	Kind    string
	TLS     *TLS // nil if it is reached without TLS
}

// Arrival is one message that a client submits.
type Arrival struct {
	At          event.Time `json:"at_us"`
	Class       int        `json:"class"`  // index in Scenario.Classes
	Portal      int        `json:"portal"` // index in Scenario.Portals
	Destination int        `json:"dest"`   // number of the destination, from 1
	Key         string     `json:"key,omitempty"`
	OrderingKey uint64     `json:"-"` // for ordered classes; no protocol carries it yet
}

// PlannedFault is a fault with the endpoints or relays that it affects. Fault explains the other fields.
type PlannedFault struct {
	Kind      string     `json:"kind"`
	At        event.Time `json:"at_us"`
	Until     event.Time `json:"until_us"`
	Endpoints []int      `json:"endpoints,omitempty"`
	Relays    []int      `json:"relays,omitempty"` // from 0
	Magnitude float64    `json:"size,omitempty"`
	Share     float64    `json:"share,omitempty"`
	Class     int        `json:"class,omitempty"` // index in Scenario.Classes
	Variant   string     `json:"form,omitempty"`
}

// Random streams derived from the plan's seed. Each kind of draw has a stream of its own, so that a
// change of one does not change the others.
const (
	arrivalStream = 1 + iota
	burstStream
	faultStream
	keyStream
	serviceTimeStream
	returnStream
)

const (
	maxKeyBytes  = 64
	maxMagnitude = 1000.0 // of a fault, in the unit that its kind has, see Fault.Magnitude
)

// Microseconds converts milliseconds to microseconds, the unit of times in a plan.
func Microseconds(ms float64) event.Time { return event.Time(math.Round(ms * 1000)) }

// Plan draws a plan from the scenario and a seed.
func (s *Scenario) Plan(seed uint64) *Plan {
	p := s.EmptyPlan(seed)
	p.drawArrivals()
	p.drawFaults()
	return p
}

// EmptyPlan returns a plan with the scenario's partners and endpoints, but without arrivals and
// faults. The replay package adds those of a recording.
func (s *Scenario) EmptyPlan(seed uint64) *Plan {
	p := &Plan{Scenario: s, Seed: seed}
	mix := s.classMix()
	for i := range s.Partners {
		for n := range s.Partners[i].Count {
			p.addPartner(&s.Partners[i], n, mix[i])
		}
	}
	return p
}

// addPartner adds the n-th partner of a table, counted from 0, with its endpoints.
func (p *Plan) addPartner(table *Partner, n int, classMix []float64) {
	spec := p.Scenario.endpointSpec(table, classMix)
	spec.Name = table.Name
	if table.Count > 1 {
		spec.Name = fmt.Sprintf("%s-%d", table.Name, n+1)
	}
	spec.Destination = len(p.Specs) + 1
	zones := p.Scenario.Relays.Zones
	for i := range table.Endpoints {
		p.Endpoints = append(p.Endpoints, Endpoint{
			Name:    fmt.Sprintf("%s/%d", spec.Name, i+1),
			Partner: len(p.Specs),
			Zone:    zones[len(p.Endpoints)%len(zones)],
			Kind:    table.Kind,
			TLS:     table.TLS,
		})
	}
	p.Specs = append(p.Specs, spec)
}

// endpointSpec returns the emulator's settings for a partner of a table, without its
// name and destination.
func (s *Scenario) endpointSpec(table *Partner, classMix []float64) endpoint.Spec {
	spec := endpoint.Spec{
		Endpoints:         table.Endpoints,
		IndependentRoutes: table.Routes == routesIndependent,
		Capacity:          table.CapacityPerS,
		QueueLimit:        table.QueueLimit,
		ClassMix:          classMix,
		MaxConns:          table.MaxConns,
		IdleTimeout:       Microseconds(table.IdleTimeoutMS),
		HandshakeTime:     Microseconds(table.HandshakeMS),
		OneWayDelay:       Microseconds(table.OneWayDelayMS),
		WarmUpShare:       table.WarmUpShare,
		WarmUpTime:        Microseconds(table.WarmUpMS),
		OverloadFactor:    s.Rules.OverloadFactor,
		OverloadWindow:    Microseconds(s.Rules.OverloadWindowMS),
		DedupWindow:       Microseconds(table.DedupWindowMS),
		ErrorShare:        table.ErrorShare,
		Cancel:            endpoint.CancelPolicy(table.Cancel),
		RateLimit: endpoint.RateLimit{
			Kind:           endpoint.LimitKind(table.Limit),
			PerSecond:      table.LimitPerS,
			Burst:          table.LimitBurst,
			Window:         Microseconds(table.WindowMS),
			CountsRejected: table.CountsRejected,
			RetryAfter:     Microseconds(table.RetryAfterMS),
		},
	}
	if tls := table.TLS; tls != nil {
		spec.FullHandshakeCost, spec.ResumedHandshakeCost = tls.FullHandshakeCost, tls.ResumedHandshakeCost
	}
	for i := range s.Classes {
		mean, _ := table.serviceTimeMS(s.Classes[i].Name)
		spec.ServiceTimes = append(spec.ServiceTimes, endpoint.ServiceTime{
			Mean:         Microseconds(mean),
			Distribution: seededrand.Distribution(table.Distribution),
			CV:           table.CV,
		})
	}
	return spec
}

// classMix returns, indexed by table and class, the fraction of all messages that belong to the class
// and go to one partner of the table.
func (s *Scenario) classMix() [][]float64 {
	classShares := 0.0
	for _, class := range s.Classes {
		classShares += class.Share
	}
	mix := make([][]float64, len(s.Partners))
	for i := range mix {
		mix[i] = make([]float64, len(s.Classes))
	}
	for c, class := range s.Classes {
		partnerShares := 0.0
		for i := range s.Partners {
			if s.Partners[i].acceptsClass(class.Name) {
				partnerShares += s.Partners[i].Share
			}
		}
		for i := range s.Partners {
			if table := &s.Partners[i]; table.acceptsClass(class.Name) {
				mix[i][c] = class.Share / classShares * table.Share / partnerShares / float64(table.Count)
			}
		}
	}
	return mix
}

// ServiceTimeSeed returns the seed from which the endpoint emulator draws service times.
func (p *Plan) ServiceTimeSeed() uint64 { return seededrand.Hash(p.Seed, serviceTimeStream) }

// Validate returns an error if an arrival from a recording does not fit the plan.
func (a *Arrival) Validate(p *Plan) error {
	switch {
	case a.At < 0 || a.At > Microseconds(p.Scenario.LengthS*1000):
		return fmt.Errorf("at_us: %d, want 0 to %d", a.At, Microseconds(p.Scenario.LengthS*1000))
	case a.Class < 0 || a.Class >= len(p.Scenario.Classes):
		return fmt.Errorf("class: %d, the plan has %d classes", a.Class, len(p.Scenario.Classes))
	case a.Portal < 0 || a.Portal >= len(p.Scenario.Portals):
		return fmt.Errorf("portal: %d, the plan has %d portals", a.Portal, len(p.Scenario.Portals))
	case a.Destination < 1 || a.Destination > len(p.Specs):
		return fmt.Errorf("dest: %d, want 1 to %d", a.Destination, len(p.Specs))
	case p.Specs[a.Destination-1].ServiceTimes[a.Class].Mean <= 0:
		return fmt.Errorf("class: partner %s has no service time for class %d", p.Specs[a.Destination-1].Name, a.Class)
	case len(a.Key) > maxKeyBytes:
		return fmt.Errorf("key: %d bytes, want at most %d", len(a.Key), maxKeyBytes)
	}
	return nil
}

// Validate returns an error if a fault from a recording does not fit the plan.
func (f *PlannedFault) Validate(p *Plan) error {
	fields, known := fieldsByFault[f.Kind]
	switch {
	case !known:
		return fmt.Errorf("kind: unknown fault %q", f.Kind)
	case f.At < 0 || f.Until < f.At:
		return fmt.Errorf("at_us, until_us: %d to %d, want 0 <= at_us <= until_us", f.At, f.Until)
	case fields.magnitude && !(f.Magnitude >= fields.minMagnitude && f.Magnitude <= maxMagnitude):
		return fmt.Errorf("size: %v, want %v to %v", f.Magnitude, fields.minMagnitude, maxMagnitude)
	case fields.share && !(f.Share > 0 && f.Share <= 1):
		return fmt.Errorf("share: %v, want more than 0 and at most 1", f.Share)
	case fields.class && (f.Class < 0 || f.Class >= len(p.Scenario.Classes)):
		return fmt.Errorf("class: %d, the plan has %d classes", f.Class, len(p.Scenario.Classes))
	case fields.partner && len(f.Endpoints) == 0, !fields.partner && len(f.Relays) == 0:
		return errors.New("endpoints, relays: the fault affects none")
	}
	for _, endpoint := range f.Endpoints {
		if endpoint < 0 || endpoint >= len(p.Endpoints) {
			return fmt.Errorf("endpoints: %d, the plan has %d endpoints", endpoint, len(p.Endpoints))
		}
	}
	for _, relay := range f.Relays {
		if relay < 0 || relay >= p.Scenario.Relays.Count {
			return fmt.Errorf("relays: %d, the plan has %d relays", relay, p.Scenario.Relays.Count)
		}
	}
	return nil
}

// MaxInFlight returns the number of calls that a relay may have in flight: the scenario's
// setting, or twice the average number that the traffic keeps in flight.
func (p *Plan) MaxInFlight() int {
	if n := p.Scenario.Relays.MaxInFlight; n > 0 {
		return n
	}
	callsInFlight := 0.0 // on average, of all relays
	for i := range p.Specs {
		spec := &p.Specs[i]
		for class, part := range spec.ClassMix {
			callTime := float64(spec.ServiceTimes[class].Mean + 2*spec.OneWayDelay)
			callsInFlight += part * p.Scenario.Traffic.RatePerS * callTime / 1e6
		}
	}
	return max(3, int(math.Ceil(2*callsInFlight/float64(p.Scenario.Relays.Count))))
}

// MaxPending returns the number of messages that may be pending at a relay: the scenario's
// setting, or the relay's share of the messages of ten seconds.
func (p *Plan) MaxPending() int {
	if n := p.Scenario.Relays.MaxPending; n > 0 {
		return n
	}
	return max(16, int(10*p.Scenario.Traffic.RatePerS/float64(p.Scenario.Relays.Count)))
}
