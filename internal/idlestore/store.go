// Package idlestore stores idle destinations compactly: their endpoints and the policy's
// state are encoded in a few bytes each. The package also decides which destinations have
// been idle long enough to be passivated, which means that they are moved to this store.
//
// A record contains one destination: its number, the policy's state and its endpoints.
// Records are appended to chunks. To change a record, the store appends the new version and
// marks the old one as dead. When dead records use more than half of a chunk, its live
// records are moved to the current chunk. Two hash tables with open addressing find a
// record by its destination and by the id of an endpoint. Records contain no pointers, so
// that the garbage collector does not scan a million of them.
//
// The package does no I/O, reads no clock and does not interpret the policy's state.
package idlestore

import (
	"hash/maphash"
	"slices"
)

// Endpoint is an endpoint of a destination.
type Endpoint struct {
	ID       string
	HostPort string
	Locality string // name of the zone that it is in
	Flavor   string // name of its destination's kind
	Draining bool
	Rate     float64 // calls per second that the destination accepts; 0 if unknown
	// Unconfirmed is set by the store if the endpoint has not been confirmed since the
	// last BeginList.
	Unconfirmed bool
}

// Store stores idle destinations. New creates one. It is not safe for concurrent use.
type Store struct {
	seed       maphash.Seed
	chunks     []chunk // numbered by their index
	freeChunks []int   // numbers of empty chunks
	current    int     // number of the chunk that records are appended to
	destIndex  table   // positions of records by destination
	idIndex    table   // positions of records by the id of an endpoint
	tags       []tag   // numbered by their index; few, since many endpoints share one
	tagNumbers map[tag]int

	endpoints     int
	draining      int  // number of draining endpoints
	confirmed     int  // number of endpoints confirmed since the last BeginList
	confirmedFlag byte // value of the flagConfirmed bit in a confirmed endpoint

	scratch []byte // buffer reused to encode a record or an endpoint
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

// Bytes returns the memory that the records and the tables use, in bytes.
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

// Passivate adds a destination, or replaces it if it is in the store. None of the
// endpoints may be in the store as part of another destination.
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

// Activate removes a destination and returns its state and endpoints.
func (s *Store) Activate(dest int) (state []byte, endpoints []Endpoint, ok bool) {
	r, ok := s.findDest(dest)
	if !ok {
		return nil, nil, false
	}
	state, endpoints = slices.Clone(r.state), s.decodeEndpoints(r.endpoints)
	s.removeRecord(r)
	return state, endpoints, true
}

// Peek returns the state and the endpoints of a destination without removing it.
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

// PutEndpoint adds or updates an endpoint of a destination. It adds the destination if the
// store does not have it, and keeps its state otherwise. If the endpoint belonged to
// another destination, it is removed from that one.
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
	added := s.appendEndpoint(nil, e)
	s.adjustCounts(added[0], 1)
	r = s.replaceRecord(r, r.state, append(slices.Clone(r.endpoints), added...))
	s.idIndex.add(s.idStringHash(e.ID), r.at)
}

// updateEndpoint replaces an endpoint in its record.
func (s *Store) updateEndpoint(r record, packed packedEndpoint, e *Endpoint) {
	updated := packedEndpoint(s.appendEndpoint(nil, e))
	s.adjustCounts(packed.flags(), -1)
	s.adjustCounts(updated.flags(), 1)
	if string(updated[1:]) == string(packed[1:]) {
		packed[0] = updated[0] // only flags differ, so the record is updated in place
		return
	}
	s.replaceRecord(r, r.state, append(withoutEndpoint(r.endpoints, e.ID), updated...))
}

// ConfirmUnchanged confirms an endpoint if the store has it with the same data, and reports
// whether it did. Draining may differ and is updated. This is the fast path for a complete
// list, most of which repeats the previous list.
func (s *Store) ConfirmUnchanged(dest int, e *Endpoint) bool {
	r, packed, ok := s.findEndpoint(e.ID)
	if !ok || r.dest != dest {
		return false
	}
	s.scratch = s.appendEndpoint(s.scratch[:0], e)
	updated := packedEndpoint(s.scratch)
	changedFlags := updated.flags() ^ packed.flags()
	if string(updated[1:]) != string(packed[1:]) || changedFlags&^(flagConfirmed|flagDraining) != 0 {
		return false
	}
	s.adjustCounts(packed.flags(), -1)
	s.adjustCounts(updated.flags(), 1)
	packed[0] = updated[0]
	return true
}

// RemoveEndpoint removes an endpoint and returns its destination. The destination and its
// state stay in the store, even without endpoints, until RemoveEmpty removes them.
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

// RemoveEmpty removes a destination if it has no endpoints. It reports whether it removed
// the destination.
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
	s.forEachRecord(func(r record) {
		f(r.dest, r.state, s.decodeEndpoints(r.endpoints))
	})
}

// adjustCounts adds n to every count that includes an endpoint with these flags.
func (s *Store) adjustCounts(flags byte, n int) {
	s.endpoints += n
	if flags&flagDraining != 0 {
		s.draining += n
	}
	if flags&flagConfirmed == s.confirmedFlag {
		s.confirmed += n
	}
}
