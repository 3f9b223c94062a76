package runner

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"

	"troutusher/internal/emulator/endpoint"
	"troutusher/internal/emulator/loopback"
	"troutusher/internal/emulator/registry"
	"troutusher/internal/rehearsal/scenario"
)

// closedPort is a port on which nothing listens: that of the discard protocol.
const closedPort = "9"

// partnerKinds returns the kinds of partner and, for each kind, whether its routes are independent and
// its batch size: the number of messages that may share one call, here 1. Routes are independent if
// each endpoint of a partner has a rate limit, Retry-After times and outages of its own, and shared if
// these apply to all of them. Relays are configured per kind, so kindName splits a kind in two if it
// has partners of both sorts.
func partnerKinds(plan *scenario.Plan) (kinds []string, independentRoutes []bool, batch []int) {
	seen := map[string]bool{}
	for i := range plan.Endpoints {
		if name := kindName(plan, i); !seen[name] {
			seen[name] = true
			kinds = append(kinds, name)
			independentRoutes = append(independentRoutes, plan.Specs[plan.Endpoints[i].Partner].IndependentRoutes)
			batch = append(batch, 1)
		}
	}
	return kinds, independentRoutes, batch
}

// kindName returns the kind of an endpoint's partner, with a suffix if its routes are independent.
func kindName(plan *scenario.Plan, index int) string {
	planned := &plan.Endpoints[index]
	if plan.Specs[planned.Partner].IndependentRoutes {
		return planned.Kind + "+apart"
	}
	return planned.Kind
}

// listMembers returns the endpoint list that the registry serves to a relay, in the plan's order. addr
// returns the address at which that relay reaches an endpoint.
func listMembers(plan *scenario.Plan, addr func(endpoint int) string) []registry.Member {
	var members []registry.Member
	for i := range plan.Endpoints {
		planned := &plan.Endpoints[i]
		spec := &plan.Specs[planned.Partner]
		rate := spec.Capacity
		if !spec.IndependentRoutes {
			rate *= float64(spec.Endpoints)
		}
		if spec.RateLimit.Kind != endpoint.NoLimit {
			rate = min(rate, spec.RateLimit.PerSecond)
		}
		members = append(members, registry.Member{
			ID: memberID(planned.Name), HostPort: addr(i), Locality: planned.Zone, Flavor: kindName(plan, i),
			Cell: spec.Destination, Phase: registry.PhaseUp, Size: rate,
		})
	}
	return members
}

// memberID returns the id of an endpoint in the list: a hash of its name.
func memberID(name string) string {
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, name) // a hash does not fail
	return fmt.Sprintf("s-%08x", hash.Sum32())
}

// idleDestinationMembers returns members for destinations that are listed in addition to the partners
// but get no messages. Nothing listens at their addresses.
func idleDestinationMembers(plan *scenario.Plan) (members []registry.Member) {
	zones := plan.Scenario.Relays.Zones
	for i := range plan.Scenario.Discovery.IdleDestinations {
		members = append(members, registry.Member{
			ID: fmt.Sprintf("q-%05d", i), HostPort: net.JoinHostPort(loopback.Host(), closedPort),
			Locality: zones[i%len(zones)], Flavor: kindName(plan, 0), Cell: len(plan.Specs) + 1 + i,
			Phase: registry.PhaseUp, Size: 1,
		})
	}
	return members
}
