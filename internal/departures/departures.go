// Package departures remembers which endpoints a relay must not call any more, so that a
// process that starts with an older endpoint list does not call them.
//
// An endpoint departs if a list says that it drains, that it is removed or that it has moved to
// another address, or if another process has started at its address since and serves another
// destination. Each change of this kind, and the return of such an endpoint, becomes a record
// of the write-ahead log as soon as the list is received: the saved policy state, which has the
// list too, is written at a limited rate. After a restart Mask applies the records to the lists
// that the process starts with.
//
// The package uses no socket, file or clock. It does not decide which list is accepted, nor when a
// call to a departed endpoint has to stop.
package departures

import (
	"cmp"
	"maps"
	"slices"

	"troutusher/internal/core"
)

const (
	// maxRecords is the maximum number of endpoints whose record is kept. The oldest one is dropped
	// for a new one: the lists that a start uses are unlikely to be that old.
	maxRecords = 2048
	// maxTracked is the maximum number of endpoints whose addresses are kept. An endpoint beyond it
	// departs unnoticed if it moves, if a complete list leaves it out, or if it is displaced.
	maxTracked = 8192
)

// Set holds what a relay has heard of departed endpoints. It is not safe for concurrent use.
type Set struct {
	changed   map[string]*core.Record    // records of kind RecordEndpoint, by endpoint ID
	endpoints map[string]trackedEndpoint // those that are up, by ID
	displaced map[string]displacement    // those that a registry may still list as up, by ID
}

// New returns a set with the records that an earlier process has logged.
func New(logged []*core.Record) *Set {
	s := &Set{
		changed:   map[string]*core.Record{},
		endpoints: map[string]trackedEndpoint{},
		displaced: map[string]displacement{},
	}
	for _, record := range logged {
		s.changed[record.ID] = record
	}
	return s
}

// Mask returns a list in which the endpoints that have departed since are draining. Records that are
// older than the list are not applied, because the list is newer.
func (s *Set) Mask(list *core.EndpointList) *core.EndpointList {
	listeners := s.listeners(list, true)
	masked := *list
	masked.Members = slices.Clone(list.Members)
	for i := range masked.Members {
		member := &masked.Members[i]
		record := s.changed[member.ID]
		endpoint := s.stated(member, true)
		if member.Phase == core.Up && listeners[member.HostPort].displaces(&endpoint) {
			member.Phase = core.Draining
		}
		if record != nil && record.Revision >= list.Revision && record.Address != member.HostPort {
			member.Phase = core.Draining
		}
	}
	return &masked
}

// Track makes the endpoints known that are up in a list with which the process starts, after Mask.
func (s *Set) Track(list *core.EndpointList) {
	for i := range list.Members {
		if member := &list.Members[i]; member.Check() == nil && member.Phase == core.Up {
			unstated := member.StartedAt == 0
			s.track(member.ID, trackedEndpoint{member.HostPort, member.Dest, member.StartedAt, unstated})
		}
	}
}

func (s *Set) track(id string, endpoint trackedEndpoint) {
	if _, tracked := s.endpoints[id]; tracked || len(s.endpoints) < maxTracked {
		s.endpoints[id] = endpoint
	}
}

// Observe updates the set with a list of a registry, which is complete or a change to the list
// before. It returns the records to append to the write-ahead log.
func (s *Set) Observe(list *core.EndpointList, complete bool) (records []*core.Record) {
	if complete {
		records = s.removeUnnamed(list)
	}
	for i := range list.Members {
		member := &list.Members[i]
		if member.Phase != core.Up {
			records = append(records, s.remove(member.ID, list.Revision)...)
			continue
		}
		earlier, tracked := s.endpoints[member.ID]
		if s.changed[member.ID] != nil || tracked && earlier.address != member.HostPort {
			records = append(records, s.change(member.ID, member.HostPort, list.Revision)...)
		}
		s.track(member.ID, s.stated(member, complete))
	}
	return records
}

// removeUnnamed removes the endpoints that are up and that a complete list does not name.
func (s *Set) removeUnnamed(list *core.EndpointList) (records []*core.Record) {
	named := make(map[string]bool, len(list.Members))
	for i := range list.Members {
		named[list.Members[i].ID] = true
	}
	for _, id := range slices.Sorted(maps.Keys(s.endpoints)) {
		if !named[id] {
			records = append(records, s.remove(id, list.Revision)...)
		}
	}
	return records
}

// remove records that an endpoint may not be called at any address.
func (s *Set) remove(id string, revision int64) (records []*core.Record) {
	delete(s.endpoints, id)
	return s.change(id, "", revision)
}

// change records the only address at which an endpoint may be called, or empty for none.
func (s *Set) change(id, address string, revision int64) (records []*core.Record) {
	earlier := s.changed[id]
	if earlier != nil && earlier.Address == address {
		return nil
	}
	if earlier == nil && len(s.changed) >= maxRecords {
		records = append(records, s.forgetOldest())
	}
	record := &core.Record{Kind: core.RecordEndpoint, ID: id, Address: address, Revision: revision}
	s.changed[id] = record
	return append(records, record)
}

// forgetOldest drops the oldest record. There must be one.
func (s *Set) forgetOldest() *core.Record {
	oldest := slices.MinFunc(slices.Collect(maps.Values(s.changed)), func(a, b *core.Record) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.ID, b.ID))
	})
	delete(s.changed, oldest.ID)
	return &core.Record{Kind: core.RecordEndpointForgotten, ID: oldest.ID}
}
