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

// listener is the process that listens at an address: the one that started last of those that a list names.
type listener struct {
	startedAt int64
	dests     []int // the destinations that it serves
	unstated  bool  // the start of none of its endpoints is stated; see trackedEndpoint
}

// add updates the listener with an endpoint at its address.
func (l *listener) add(endpoint *trackedEndpoint) {
	switch {
	case len(l.dests) == 0 || endpoint.startedAt > l.startedAt:
		*l = listener{endpoint.startedAt, []int{endpoint.dest}, endpoint.unstated}
	case endpoint.startedAt == l.startedAt:
		l.dests = append(l.dests, endpoint.dest)
		l.unstated = l.unstated && endpoint.unstated
	}
}

// displaces reports whether an endpoint at the address is gone: the listener has started later, and does not serve
// the endpoint's destination.
func (l *listener) displaces(endpoint *trackedEndpoint) bool {
	startKnown := !l.unstated || !endpoint.unstated
	return l.startedAt > endpoint.startedAt && startKnown && !slices.Contains(l.dests, endpoint.dest)
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
	listeners := s.listeners(list, complete)
	displaced := map[string]trackedEndpoint{}
	named := make(map[string]bool, len(list.Members))
	for i := range list.Members {
		member := &list.Members[i]
		named[member.ID] = true
		endpoint := s.stated(member, complete)
		if member.Phase != core.Up {
			delete(s.displaced, member.ID)
		} else if s.isDisplaced(member, &endpoint, listeners[endpoint.address]) {
			displaced[member.ID] = endpoint
		}
	}
	if complete {
		maps.DeleteFunc(s.displaced, func(id string, _ displacement) bool { return !named[id] })
		return displaced
	}
	for id, endpoint := range s.endpoints {
		current := listeners[endpoint.address]
		if current != nil && !named[id] && current.displaces(&endpoint) {
			s.displace(id, endpoint.address, current.startedAt)
			displaced[id] = endpoint
		}
	}
	return displaced
}

// isDisplaced reports whether an endpoint that a list has as up is displaced, now or by an earlier list.
func (s *Set) isDisplaced(member *core.Member, endpoint *trackedEndpoint, current *listener) bool {
	if current.displaces(endpoint) {
		s.displace(member.ID, endpoint.address, current.startedAt)
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

// listeners returns the process that listens at each address at which the list has an endpoint up. For a change,
// endpoints that it does not name count too.
func (s *Set) listeners(list *core.EndpointList, complete bool) map[string]*listener {
	listeners := map[string]*listener{}
	named := map[string]bool{}
	for i := range list.Members {
		member := &list.Members[i]
		named[member.ID] = true
		if member.Phase != core.Up {
			continue
		}
		if listeners[member.HostPort] == nil {
			listeners[member.HostPort] = &listener{}
		}
		endpoint := s.stated(member, complete)
		listeners[member.HostPort].add(&endpoint)
	}
	if complete {
		return listeners
	}
	for id, endpoint := range s.endpoints { // in any order: add does not depend on it
		if current := listeners[endpoint.address]; current != nil && !named[id] {
			current.add(&endpoint)
		}
	}
	return listeners
}

// stated returns what a registry's list says of a member. Only a complete list is known to state each start: a
// change may come from the saved list of another source, which has none, and a process does not start earlier.
func (s *Set) stated(member *core.Member, complete bool) trackedEndpoint {
	stated := trackedEndpoint{address: member.HostPort, dest: member.Dest, startedAt: member.StartedAt}
	if earlier := s.endpoints[member.ID]; !complete && earlier.address == member.HostPort {
		stated.startedAt = max(stated.startedAt, earlier.startedAt)
		stated.unstated = earlier.unstated
	}
	return stated
}
