package scenario

import (
	"cmp"
	"math"
	"slices"

	"troutusher/internal/seededrand"
)

// drawFaults draws the endpoints that the scenario's faults affect, and sorts the faults by
// start time.
func (p *Plan) drawFaults() {
	for i := range p.Scenario.Faults {
		p.Faults = append(p.Faults, p.planFault(i, &p.Scenario.Faults[i]))
	}
	slices.SortStableFunc(p.Faults, func(a, b PlannedFault) int { return cmp.Compare(a.At, b.At) })
}

// planFault returns a fault with the endpoints or relays that it affects. Endpoints are drawn;
// relays are named by the scenario.
func (p *Plan) planFault(number int, f *Fault) PlannedFault {
	planned := PlannedFault{
		Kind:      f.Kind,
		At:        Microseconds(f.StartS * 1000),
		Until:     Microseconds((f.StartS + f.DurationS) * 1000),
		Magnitude: f.Magnitude,
		Share:     f.Share,
		Variant:   f.Variant,
	}
	for i := range p.Scenario.Classes {
		if p.Scenario.Classes[i].Name == f.Class {
			planned.Class = i
		}
	}
	if fieldsByFault[f.Kind].partner {
		planned.Endpoints = p.drawEndpoints(number, f)
		return planned
	}
	for relay := range p.Scenario.Relays.Count {
		if f.Relay == 0 || f.Relay == relay+1 {
			planned.Relays = append(planned.Relays, relay)
		}
	}
	return planned
}

// drawEndpoints draws the affected endpoints of each partner that a fault names: a share of
// them, and at least one.
func (p *Plan) drawEndpoints(number int, f *Fault) []int {
	var drawn []int
	stream := seededrand.NewStream(p.Seed, faultStream, uint64(number))
	first := 0
	for i := range p.Specs {
		count := p.Specs[i].Endpoints
		if p.faultNamesPartner(f, i) {
			affected := max(1, int(math.Round(f.EndpointShare*float64(count))))
			drawn = append(drawn, drawFrom(stream, first, count, affected)...)
		}
		first += count
	}
	return drawn
}

// drawFrom draws n of the endpoints numbered from first to first+count-1 by a partial
// Fisher-Yates shuffle, and returns them sorted.
func drawFrom(stream *seededrand.Stream, first, count, n int) []int {
	endpoints := make([]int, count)
	for i := range endpoints {
		endpoints[i] = first + i
	}
	for i := range n {
		j := i + int(stream.Float64()*float64(count-i))
		endpoints[i], endpoints[j] = endpoints[j], endpoints[i]
	}
	drawn := endpoints[:n]
	slices.Sort(drawn)
	return drawn
}

// faultNamesPartner reports whether a fault names a partner, by its own name, by that of its
// [[partner]] table or by "*".
func (p *Plan) faultNamesPartner(f *Fault, partner int) bool {
	table := 0
	for n := partner; n >= p.Scenario.Partners[table].Count; table++ {
		n -= p.Scenario.Partners[table].Count
	}
	for _, name := range f.partnerNames() {
		if name == "*" || name == p.Specs[partner].Name || name == p.Scenario.Partners[table].Name {
			return true
		}
	}
	return false
}
