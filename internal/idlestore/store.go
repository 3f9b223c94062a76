// Package idlestore is a compact store of idle destinations: their endpoints and the
// policy's state, packed into a few bytes each. It also decides which destinations
// have been idle for long enough to be passivated, which means to be moved here.
//
// A record holds one destination: its number, the policy's state, its endpoints.
// Records are appended to chunks. A record that changes is appended again, and the
// live records of a chunk of which more than half is dead are moved to the current
// chunk. Two hash tables with open addressing find a record by its destination and by
// the id of an endpoint. Only the chunks are pointers, so the garbage collector has no
// work with a million records.
//
// The package must never do I/O, read a clock, or interpret the policy's state.
package idlestore

import (
	"hash/maphash"
	"slices"
)

// Endpoint is an endpoint of a destination.
type Endpoint struct {
	ID       string
	HostPort string
	Locality string
	Flavor   string
	Draining bool
	Rate     float64 // that the destination accepts, in calls per second; 0 if unknown
	// Unconfirmed is set by the store if the list has not named the endpoint since
	// BeginList.
	Unconfirmed bool
}

// Store is a store of idle destinations, made by New. It is not safe for concurrent
// use.
type Store struct {
	seed       maphash.Seed
	chunks     []chunk // numbered by their index
	freeChunks []int   // numbers of empty chunks
	current    int     // number of the chunk that records are appended to
	destIndex  table   // positions of records by destination
	idIndex    table   // positions of records by the id of an endpoint
	tags       []tag   // few, and shared by many endpoints
	tagNumbers map[tag]int

	endpoints     int
	draining      int  // of the endpoints
	confirmed     int  // of the endpoints, named since BeginList
	confirmedFlag byte // the value of flagConfirmed in a confirmed endpoint

	scratch []byte // reused for a record or an endpoint that is being encoded
}

// New returns an empty store.
func New() *Store {
	return &Store{seed: maphash.MakeSeed(), chunks: []chunk{{}}, tagNumbers: map[tag]int{}}
}

// Len returns the number of destinations.
func (s *Store) Len() int { return s.destIndex.count }

// Endpoints returns the number of endpoints of all destinations.
func (s *Store) Endpoints() int { return s.endpoints }

// Draining returns the number of endpoints that are draining.
func (s *Store) Draining() int { return s.draining }

// Bytes returns the memory of the records and of the tables.
func (s *Store) Bytes() int {
	total := s.destIndex.memory() + s.idIndex.memory()
	for i := range s.chunks {
		total += cap(s.chunks[i].data)
	}
	return total
}

// Has reports whether a destination is in the store.
func (s *Store) Has(dest int) bool {
	_, ok := s.findDest(dest)
	return ok
}

// DestinationOf returns the destination that an endpoint belongs to.
func (s *Store) DestinationOf(id string) (dest int, ok bool) {
	r, _, ok := s.findEndpoint(id)
	return r.dest, ok
}

// Passivate adds a destination, and replaces it if it is in the store. None of its
// endpoints may be in the store under another destination.
func (s *Store) Passivate(dest int, state []byte, endpoints []Endpoint) {
	if r, ok := s.findDest(dest); ok {
		s.removeRecord(r)
	}
	var packed []byte
	for i := range endpoints {
		start := len(packed)
		packed = s.appendEndpoint(packed, &endpoints[i])
		s.adjustCounts(packed[start], 1)
	}
	at := s.writeRecord(dest, state, packed)
	s.destIndex.add(s.destHash(dest), at)
	for i := range endpoints {
		s.idIndex.add(s.idStringHash(endpoints[i].ID), at)
	}
}

// Activate removes a destination and returns it.
func (s *Store) Activate(dest int) (state []byte, endpoints []Endpoint, ok bool) {
	r, ok := s.findDest(dest)
	if !ok {
		return nil, nil, false
	}
	state, endpoints = slices.Clone(r.state), s.decodeEndpoints(r.endpoints)
	s.removeRecord(r)
	return state, endpoints, true
}

// Peek returns a destination without removing it.
func (s *Store) Peek(dest int) (state []byte, endpoints []Endpoint, ok bool) {
	r, ok := s.findDest(dest)
	if !ok {
		return nil, nil, false
	}
	return slices.Clone(r.state), s.decodeEndpoints(r.endpoints), true
}

// SetState replaces the policy's state of a destination, if it is in the store.
func (s *Store) SetState(dest int, state []byte) {
	if r, ok := s.findDest(dest); ok {
		s.replaceRecord(r, state, slices.Clone(r.endpoints))
	}
}

// PutEndpoint adds or updates an endpoint of a destination, which is added if it is
// not in the store. If the endpoint belonged to another destination, it is removed
// there. The policy's state of the destination stays.
func (s *Store) PutEndpoint(dest int, e *Endpoint) {
	r, packed, known := s.findEndpoint(e.ID)
	switch {
	case !known:
		s.addEndpoint(dest, e)
	case r.dest != dest:
		s.RemoveEndpoint(e.ID)
		s.addEndpoint(dest, e)
	default:
		s.updateEndpoint(r, packed, e)
	}
}

// addEndpoint adds an endpoint that is not in the store.
func (s *Store) addEndpoint(dest int, e *Endpoint) {
	r, ok := s.findDest(dest)
	if !ok {
		s.Passivate(dest, nil, []Endpoint{*e})
		return
	}
	fresh := s.appendEndpoint(nil, e)
	s.adjustCounts(fresh[0], 1)
	r = s.replaceRecord(r, r.state, append(slices.Clone(r.endpoints), fresh...))
	s.idIndex.add(s.idStringHash(e.ID), r.at)
}

// updateEndpoint replaces an endpoint in its record.
func (s *Store) updateEndpoint(r record, packed packedEndpoint, e *Endpoint) {
	fresh := packedEndpoint(s.appendEndpoint(nil, e))
	s.adjustCounts(packed.flags(), -1)
	s.adjustCounts(fresh.flags(), 1)
	if string(fresh[1:]) == string(packed[1:]) {
		packed[0] = fresh[0] // only flags differ, so the record is updated in place
		return
	}
	s.replaceRecord(r, r.state, append(withoutEndpoint(r.endpoints, e.ID), fresh...))
}

// ConfirmUnchanged reports whether the store has this endpoint with the same data,
// draining or not. If so, it confirms the endpoint and updates whether it is draining.
// This is the fast path for a complete list, which mostly repeats the last one.
func (s *Store) ConfirmUnchanged(dest int, e *Endpoint) bool {
	r, packed, ok := s.findEndpoint(e.ID)
	if !ok || r.dest != dest {
		return false
	}
	s.scratch = s.appendEndpoint(s.scratch[:0], e)
	fresh := packedEndpoint(s.scratch)
	changedFlags := fresh.flags() ^ packed.flags()
	if string(fresh[1:]) != string(packed[1:]) || changedFlags&^(flagConfirmed|flagDraining) != 0 {
		return false
	}
	s.adjustCounts(packed.flags(), -1)
	s.adjustCounts(fresh.flags(), 1)
	packed[0] = fresh[0]
	return true
}

// RemoveEndpoint removes an endpoint and returns its destination. The destination and
// its state stay until RemoveEmpty.
func (s *Store) RemoveEndpoint(id string) (dest int, ok bool) {
	r, packed, ok := s.findEndpoint(id)
	if !ok {
		return 0, false
	}
	s.idIndex.remove(s.idStringHash(id), r.at)
	s.adjustCounts(packed.flags(), -1)
	s.replaceRecord(r, r.state, withoutEndpoint(r.endpoints, id))
	return r.dest, true
}

// RemoveEmpty removes a destination if it has no endpoints, and reports whether it did.
func (s *Store) RemoveEmpty(dest int) bool {
	r, ok := s.findDest(dest)
	if !ok || len(r.endpoints) > 0 {
		return false
	}
	s.removeRecord(r)
	return true
}

// ForEach calls f for each destination. f must not change the store.
func (s *Store) ForEach(f func(dest int, state []byte, endpoints []Endpoint)) {
	s.eachRecord(func(r record) {
		f(r.dest, r.state, s.decodeEndpoints(r.endpoints))
	})
}

// adjustCounts adds n to the counts of endpoints with these flags.
func (s *Store) adjustCounts(flags byte, n int) {
	s.endpoints += n
	if flags&flagDraining != 0 {
		s.draining += n
	}
	if flags&flagConfirmed == s.confirmedFlag {
		s.confirmed += n
	}
}
