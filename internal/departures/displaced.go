package departures

import (
	"maps"
	"slices"

	"troutusher/internal/core"
)

// trackedEndpoint is what a list says of an endpoint that is up.
type trackedEndpoint struct {
	address   string
	dest      int
	startedAt int64 // when its process last started, in ms since the Unix epoch; 0 for long ago
	// unstated is set if the endpoint is known only from a list with which this process started, and that list
	// has no start of it: an earlier release may have saved it.
	unstated bool
}

// displaces reports whether e shows that another endpoint at its address is gone: a process listens there that
// has started later and serves another destination.
func (e *trackedEndpoint) displaces(other *trackedEndpoint) bool {
	startKnown := !e.unstated || !other.unstated
	return e.dest != other.dest && e.startedAt > other.startedAt && startKnown
}

// displacement says that an endpoint has lost its address to a process that has started since.
type displacement struct {
	address   string
	startedAt int64 // of that process
}

// holdsFor reports whether the endpoint is still displaced if a list has it as up.
func (d displacement) holdsFor(member *core.Member) bool {
	return d.address == member.HostPort && member.StartedAt < d.startedAt
}

// Resolve returns a list of a registry, which is complete or a change to the list before, without the endpoints
// that are gone though no list says so: another process has started at their address since, and serves another
// destination. In a change they are removed. Resolve is called before Observe.
func (s *Set) Resolve(list *core.EndpointList, complete bool) *core.EndpointList {
	displaced := s.displacedIn(list, complete)
	if len(displaced) == 0 {
		return list
	}
	resolved := *list
	resolved.Members = make([]core.Member, 0, len(list.Members))
	for i := range list.Members {
		member := list.Members[i]
		if _, ok := displaced[member.ID]; !ok {
			resolved.Members = append(resolved.Members, member)
		}
	}
	if complete {
		return &resolved
	}
	for _, id := range slices.Sorted(maps.Keys(displaced)) {
		removed := core.Member{ID: id, Dest: displaced[id].dest, Phase: core.Removed}
		resolved.Members = append(resolved.Members, removed)
	}
	return &resolved
}

// displacedIn returns the endpoints of a list that have lost their address to another process, and for a change
// also those that are up without being named. It remembers them until a list says otherwise.
func (s *Set) displacedIn(list *core.EndpointList, complete bool) map[string]trackedEndpoint {
	newest := s.newestByAddress(list, complete)
	displaced := map[string]trackedEndpoint{}
	named := make(map[string]bool, len(list.Members))
	for i := range list.Members {
		member := &list.Members[i]
		named[member.ID] = true
		endpoint := s.stated(member, complete)
		if member.Phase != core.Up {
			delete(s.displaced, member.ID)
		} else if s.isDisplaced(member, &endpoint, newest) {
			displaced[member.ID] = endpoint
		}
	}
	if complete {
		maps.DeleteFunc(s.displaced, func(id string, _ displacement) bool { return !named[id] })
		return displaced
	}
	for id, endpoint := range s.endpoints {
		winner, contested := newest[endpoint.address]
		if contested && !named[id] && winner.displaces(&endpoint) {
			s.displace(id, endpoint.address, winner.startedAt)
			displaced[id] = endpoint
		}
	}
	return displaced
}

// isDisplaced reports whether an endpoint that a list has as up is displaced, now or by an earlier list.
func (s *Set) isDisplaced(member *core.Member, endpoint *trackedEndpoint, newest map[string]trackedEndpoint) bool {
	if winner := newest[endpoint.address]; winner.displaces(endpoint) {
		s.displace(member.ID, endpoint.address, winner.startedAt)
		return true
	}
	earlier, ok := s.displaced[member.ID]
	if ok && earlier.holdsFor(member) {
		return true
	}
	delete(s.displaced, member.ID)
	return false
}

// displace remembers that an endpoint is displaced, unless too many are.
func (s *Set) displace(id, address string, startedAt int64) {
	if _, known := s.displaced[id]; known || len(s.displaced) < maxTracked {
		s.displaced[id] = displacement{address, startedAt}
	}
}

// newestByAddress returns, for each address at which an endpoint of the list is up, the endpoint there whose
// process started last. For a change, endpoints that it does not name count too.
func (s *Set) newestByAddress(list *core.EndpointList, complete bool) map[string]trackedEndpoint {
	newest := map[string]trackedEndpoint{}
	named := map[string]bool{}
	for i := range list.Members {
		member := &list.Members[i]
		named[member.ID] = true
		if member.Phase != core.Up {
			continue
		}
		endpoint := s.stated(member, complete)
		if other, ok := newest[endpoint.address]; !ok || endpoint.startedAt > other.startedAt {
			newest[endpoint.address] = endpoint
		}
	}
	if complete {
		return newest
	}
	for id, endpoint := range s.endpoints {
		if other, ok := newest[endpoint.address]; ok && !named[id] && endpoint.startedAt > other.startedAt {
			newest[endpoint.address] = endpoint
		}
	}
	return newest
}

// stated returns what a registry's list says of a member. Only a complete list is known to state each start.
func (s *Set) stated(member *core.Member, complete bool) trackedEndpoint {
	earlier := s.endpoints[member.ID]
	unstated := !complete && earlier.unstated && earlier.address == member.HostPort
	return trackedEndpoint{member.HostPort, member.Dest, member.StartedAt, unstated}
}
