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

// closedPort is a port ("discard") on which nothing listens.
const closedPort = "9"

// partnerKinds names the kinds of partner, and tells of each whether its routes are
// independent. A kind is either or the other, so a name that serves for both is split.
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

// kindName is the kind of an endpoint's partner.
func kindName(plan *scenario.Plan, index int) string {
	planned := &plan.Endpoints[index]
	if plan.Specs[planned.Partner].IndependentRoutes {
		return planned.Kind + "+apart"
	}
	return planned.Kind
}

// listMembers is the endpoint list as a relay's discovery has it, in the plan's order.
// addr returns the address of an endpoint for that relay.
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

// memberID is the id of an endpoint in the list.
func memberID(name string) string {
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, name) // a hash does not fail
	return fmt.Sprintf("s-%08x", hash.Sum32())
}

// unusedDestinations are destinations that the list names beside the partners, and that no
// client asks for. Nothing listens at their addresses.
func unusedDestinations(plan *scenario.Plan) (members []registry.Member) {
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
