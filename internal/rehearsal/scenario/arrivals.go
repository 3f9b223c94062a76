package scenario

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"troutusher/internal/event"
	"troutusher/internal/seededrand"
)

// burstSpreadS is the time in seconds over which the messages of a burst are spread.
const burstSpreadS = 0.1

// arrivalPlanner draws the arrivals of a plan.
type arrivalPlanner struct {
	*Plan
	weights       []float64      // of class-partner pairs; index class*len(Specs) + partner
	portalWeights []float64      // by portal
	portalIndex   map[string]int // by name
	tableOf       []int          // index of the [[partner]] table, by partner
	peakFactor    float64        // upper bound of rateFactor
}

func (p *Plan) newArrivalPlanner() *arrivalPlanner {
	s := p.Scenario
	planner := &arrivalPlanner{
		Plan:          p,
		portalWeights: make([]float64, len(s.Portals)),
		portalIndex:   map[string]int{},
		peakFactor:    max(s.Traffic.From, s.Traffic.To, 1+s.Traffic.Amplitude),
	}
	for class := range s.Classes {
		for partner := range p.Specs {
			planner.weights = append(planner.weights, p.Specs[partner].ClassMix[class])
		}
	}
	for i, portal := range s.Portals {
		planner.portalWeights[i] = portal.Share
		planner.portalIndex[portal.Name] = i
	}
	for table := range s.Partners {
		for range s.Partners[table].Count {
			planner.tableOf = append(planner.tableOf, table)
		}
	}
	return planner
}

// drawArrivals draws the plan's arrivals and sorts them by time. Only then do the arrivals of keyed
// classes get their idempotency keys, which depend on their position in that order.
func (p *Plan) drawArrivals() {
	planner := p.newArrivalPlanner()
	planner.addSingleArrivals()
	planner.addBursts()
	planner.addReturnBursts()
	slices.SortStableFunc(p.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	for i := range p.Arrivals {
		if p.Scenario.Classes[p.Arrivals[i].Class].Idempotency == idempotentByKey {
			p.Arrivals[i].Key = fmt.Sprintf("%016x", seededrand.Hash(p.Seed, keyStream, uint64(i)))
		}
	}
}

// addArrival adds one arrival at a time in seconds. It draws a portal from the stream even if the
// partner has a fixed portal, so that later draws do not depend on whether it has one.
func (a *arrivalPlanner) addArrival(at float64, class, partner int, stream *seededrand.Stream) {
	arrival := Arrival{
		At:          event.Time(at * 1e6),
		Class:       class,
		Portal:      stream.WeightedIndex(a.portalWeights),
		Destination: a.Specs[partner].Destination,
	}
	if name := a.Scenario.Partners[a.tableOf[partner]].Portal; name != "" {
		arrival.Portal = a.portalIndex[name]
	}
	a.Arrivals = append(a.Arrivals, arrival)
}

// addSingleArrivals draws the arrivals outside bursts: a Poisson process whose rate follows the
// traffic's shape.
func (a *arrivalPlanner) addSingleArrivals() {
	s := a.Scenario
	rate := s.Traffic.RatePerS * (1 - s.Traffic.BurstShare)
	if rate <= 0 {
		return
	}
	peak := rate * a.peakFactor
	stream := seededrand.NewStream(a.Seed, arrivalStream)
	for at := stream.ExpFloat64() / peak; at < s.LengthS; at += stream.ExpFloat64() / peak {
		if stream.Float64()*a.peakFactor < s.rateFactor(at) { // thinning of a Poisson process (Lewis and Shedler, 1979)
			pair := stream.WeightedIndex(a.weights)
			a.addArrival(at, pair/len(a.Specs), pair%len(a.Specs), stream)
		}
	}
}

// addBursts draws bursts: many arrivals for one partner within burstSpreadS.
func (a *arrivalPlanner) addBursts() {
	s := a.Scenario
	rate := s.Traffic.RatePerS * s.Traffic.BurstShare / float64(s.Traffic.BurstSize)
	if rate <= 0 {
		return
	}
	peak := rate * a.peakFactor
	stream := seededrand.NewStream(a.Seed, burstStream)
	for at := stream.ExpFloat64() / peak; at < s.LengthS; at += stream.ExpFloat64() / peak {
		if stream.Float64()*a.peakFactor >= s.rateFactor(at) {
			continue
		}
		partner := stream.WeightedIndex(a.weights) % len(a.Specs)
		for range s.Traffic.BurstSize {
			if arrivesAt := at + stream.Float64()*burstSpreadS; arrivesAt < s.LengthS {
				a.addArrival(arrivesAt, stream.WeightedIndex(a.Specs[partner].ClassMix), partner, stream)
			}
		}
	}
}

// addReturnBursts draws the bursts for partners that return after a period with few or no
// messages: ReturnBurst arrivals within the second after ReturnS.
func (a *arrivalPlanner) addReturnBursts() {
	stream := seededrand.NewStream(a.Seed, returnStream)
	for partner := range a.Specs {
		table := &a.Scenario.Partners[a.tableOf[partner]]
		for range table.ReturnBurst {
			at := table.ReturnS + stream.Float64()
			a.addArrival(at, stream.WeightedIndex(a.Specs[partner].ClassMix), partner, stream)
		}
	}
}

// rateFactor returns the factor that the traffic's shape applies to its rate at a time in
// seconds.
func (s *Scenario) rateFactor(at float64) float64 {
	traffic, elapsed := &s.Traffic, at/s.LengthS
	switch traffic.Shape {
	case shapeRamp:
		return traffic.From + (traffic.To-traffic.From)*elapsed
	case shapeWave:
		return 1 + traffic.Amplitude*math.Sin(2*math.Pi*at/traffic.PeriodS)
	case shapeRush:
		return rushFactor(traffic.To, elapsed)
	}
	return 1
}

// rushFactor returns the rate factor of a rush after a fraction of the rehearsal's length: 1 in
// the first quarter, rising to the peak in the second, at the peak in the third, and falling
// back to 1 in the last.
func rushFactor(peak, elapsed float64) float64 {
	switch {
	case elapsed < 0.25:
		return 1
	case elapsed < 0.5:
		return 1 + (peak-1)*(elapsed-0.25)*4
	case elapsed < 0.75:
		return peak
	}
	return peak + (1-peak)*(elapsed-0.75)*4
}
