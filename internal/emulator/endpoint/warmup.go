package endpoint

import (
	"fmt"

	"troutusher/internal/event"
)

// warmUpStep is the interval at which the speed of an endpoint is updated while it warms up.
const warmUpStep Time = 50_000

// warmUpGroup is a set of endpoints that collapse together: all endpoints of a destination, or a single
// endpoint if the destination has independent routes.
type warmUpGroup struct {
	endpoints      []*endpoint
	recoveredAt    Time // when one of the endpoints last recovered
	recentArrivals []arrival
}

type arrival struct {
	at    Time
	relay int
}

// warmingUp reports whether any endpoint of the group warms up. If none does, it discards the recent
// arrivals.
func (g *warmUpGroup) warmingUp() bool {
	for _, e := range g.endpoints {
		if e.warmingUp {
			return true
		}
	}
	g.recentArrivals = nil
	return false
}

// warmUp raises the speed of an endpoint in steps. The warm-up lasts until WarmUpTime and then one
// OverloadWindow have passed since the recovery.
func (m *Model) warmUp(e *endpoint) {
	if !e.warmingUp || m.now-e.recoveredAt >= e.destination.WarmUpTime+e.destination.OverloadWindow {
		e.warmingUp = false
		return
	}
	m.applyFaults(e)
	m.schedule(warmUpStep, func() { m.warmUp(e) })
}

// recordArrival counts an arrival at a group that warms up. The whole group collapses if the arrivals
// within OverloadWindow exceed OverloadFactor times the calls that the group could serve in that time.
// recordArrival reports whether the group collapsed.
func (m *Model) recordArrival(e *endpoint, relay int) bool {
	d, group := e.destination, e.group
	if d.OverloadWindow <= 0 || !group.warmingUp() {
		return false
	}
	begin := m.now - d.OverloadWindow
	group.recentArrivals = append(group.recentArrivals, arrival{m.now, relay})
	for len(group.recentArrivals) > 0 && group.recentArrivals[0].at <= begin {
		group.recentArrivals = group.recentArrivals[1:]
	}
	if m.now-group.recoveredAt < d.OverloadWindow {
		return false
	}
	servable := 0.0 // calls that the group could serve in the window
	for _, member := range group.endpoints {
		servable += d.Capacity * member.capacityShareIntegral(begin, m.now) / 1e6
	}
	if float64(len(group.recentArrivals)) <= d.OverloadFactor*servable {
		return false
	}
	m.collapse(e, servable)
	return true
}

// collapse permanently ends service at all endpoints of e's group. servable is the number of calls
// that the group could have served within OverloadWindow.
func (m *Model) collapse(e *endpoint, servable float64) {
	group := e.group
	callsByRelay := make([]int, m.rules.Relays)
	for _, a := range group.recentArrivals {
		callsByRelay[a.relay]++
	}
	window := float64(e.destination.OverloadWindow) / 1e6
	m.record(event.Event{
		Kind: event.Collapsed, Endpoint: e.index, Calls: callsByRelay,
		Text: fmt.Sprintf("%d calls in %.1f s, when it could do %.1f", len(group.recentArrivals), window, servable),
	})
	for _, member := range group.endpoints {
		member.collapsed, member.warmingUp = true, false
		m.stopEndpoint(member, true)
		m.applyFaults(member)
	}
}

// capacityShare returns the share of the endpoint's capacity that is available at the time now.
func (e *endpoint) capacityShare(now Time) float64 {
	if e.isDown() {
		return 0
	}
	sinceRecovery := now - e.recoveredAt
	if !e.warmingUp || sinceRecovery >= e.destination.WarmUpTime {
		return 1
	}
	share := e.destination.WarmUpShare
	return share + (1-share)*float64(sinceRecovery)/float64(e.destination.WarmUpTime)
}

// capacityShareIntegral returns the integral of capacityShare between two times, in µs. The span must
// end at the model's current time.
func (e *endpoint) capacityShareIntegral(from, to Time) float64 {
	switch {
	case e.isDown():
		to = min(to, e.stoppedAt)
		if to <= from {
			return 0
		}
		if e.recoveredAt == 0 {
			return float64(to - from)
		}
	case !e.warmingUp:
		return float64(to - from)
	}
	return e.integralSinceRecovery(to-e.recoveredAt) - e.integralSinceRecovery(from-e.recoveredAt)
}

// integralSinceRecovery returns the integral of the growing capacity share over a span that begins at
// the recovery.
func (e *endpoint) integralSinceRecovery(span Time) float64 {
	share, warmUpTime, t := e.destination.WarmUpShare, float64(e.destination.WarmUpTime), max(float64(span), 0)
	if t >= warmUpTime {
		return share*warmUpTime + (1-share)*warmUpTime/2 + t - warmUpTime
	}
	return share*t + (1-share)*t*t/(2*warmUpTime)
}
