// Package idlestore keeps what a relay knows of destinations that nobody sends to:
// their endpoints and the policy's state, packed into a few bytes each. It also
// says which destination has been idle for long enough to be passivated.
//
// A record holds one destination: its number, the policy's state, its endpoints.
// Records lie one behind the other in chunks; one that changes is written anew
// at the end, and a chunk of which half is dead is moved into the newest. Two
// hash tables with open addressing find a record, by destination and by the id of
// an endpoint. Nothing in it is a pointer but the chunks themselves, so a million
// records are no work for the garbage collector.
//
// It must never do I/O, look at a clock, or know what the policy's state means.
package idlestore

import (
	"hash/maphash"
	"slices"
)

// Endpoint is one endpoint of a destination.
type Endpoint struct {
	ID       string
	HostPort string
	Locality string
	Flavor   string
	Draining bool
	Size     float64 // the rate that the destination takes, in calls a second
	// Unconfirmed is set by the store: since BeginList the list has not named it.
	Unconfirmed bool
}

// Store is what is kept. The zero value is not ready: New makes one.
type Store struct {
	seed       maphash.Seed
	chunks     []chunk // an empty one may be filled anew
	freeChunks []int   // the empty ones
	current    int     // the one that is being filled
	destIndex  table
	idIndex    table
	tags       []tag // few, and the same for many endpoints
	tagNumbers map[tag]int

	endpoints     int
	draining      int  // of them
	confirmed     int  // of them, named by the newest complete list
	confirmedFlag byte // flagConfirmed or 0: what an endpoint has that this list names

	scratch []byte // for a record or an endpoint that is being written
}

// New makes a store that holds nothing.
func New() *Store {
	return &Store{seed: maphash.MakeSeed(), chunks: []chunk{{}}, tagNumbers: map[tag]int{}}
}

// Len is how many destinations there are.
func (s *Store) Len() int { return s.destIndex.count }

// Endpoints is how many endpoints they have.
func (s *Store) Endpoints() int { return s.endpoints }

// Draining is how many of the endpoints are draining.
func (s *Store) Draining() int { return s.draining }

// Bytes is how much memory the records and the tables take.
func (s *Store) Bytes() int {
	total := s.destIndex.memory() + s.idIndex.memory()
	for i := range s.chunks {
		total += cap(s.chunks[i].data)
	}
	return total
}

// Has reports whether a destination is here.
func (s *Store) Has(dest int) bool {
	_, ok := s.findDest(dest)
	return ok
}

// DestinationOf is the destination that an endpoint belongs to.
func (s *Store) DestinationOf(id string) (dest int, ok bool) {
	r, _, ok := s.findEndpoint(id)
	return r.dest, ok
}

// Passivate puts a destination here, in the place of what was here of it. None of
// its endpoints may be here under another destination.
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

// Activate takes a destination out.
func (s *Store) Activate(dest int) (state []byte, endpoints []Endpoint, ok bool) {
	r, ok := s.findDest(dest)
	if !ok {
		return nil, nil, false
	}
	state, endpoints = slices.Clone(r.state), s.decodeEndpoints(r.endpoints)
	s.removeRecord(r)
	return state, endpoints, true
}

// Peek shows a destination and leaves it here.
func (s *Store) Peek(dest int) (state []byte, endpoints []Endpoint, ok bool) {
	r, ok := s.findDest(dest)
	if !ok {
		return nil, nil, false
	}
	return slices.Clone(r.state), s.decodeEndpoints(r.endpoints), true
}

// SetState replaces the policy's state of a destination that is here.
func (s *Store) SetState(dest int, state []byte) {
	if r, ok := s.findDest(dest); ok {
		s.replaceRecord(r, state, slices.Clone(r.endpoints))
	}
}

// PutEndpoint takes an endpoint in, or what has changed of it, at a destination
// that is here or comes here; it is at no other one from then on. The policy's
// state of the destination stays.
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

// addEndpoint takes in an endpoint that is nowhere here.
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
		packed[0] = fresh[0] // nothing but its flags: no new record
		return
	}
	s.replaceRecord(r, r.state, append(withoutEndpoint(r.endpoints, e.ID), fresh...))
}

// ConfirmUnchanged reports whether an endpoint is here as it is given, draining or
// not. If so it takes over whether it drains, and that the list names it: most of a
// complete list is so.
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

// RemoveEndpoint takes an endpoint out. Its destination stays, with the policy's
// state, until RemoveEmpty.
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

// RemoveEmpty takes a destination out that has no endpoint, and reports whether it
// was one.
func (s *Store) RemoveEmpty(dest int) bool {
	r, ok := s.findDest(dest)
	if !ok || len(r.endpoints) > 0 {
		return false
	}
	s.removeRecord(r)
	return true
}

// ForEach shows each destination. f must not change the store.
func (s *Store) ForEach(f func(dest int, state []byte, endpoints []Endpoint)) {
	s.eachRecord(func(r record) {
		f(r.dest, r.state, s.decodeEndpoints(r.endpoints))
	})
}

// adjustCounts adds n endpoints with such flags, or takes them off.
func (s *Store) adjustCounts(flags byte, n int) {
	s.endpoints += n
	if flags&flagDraining != 0 {
		s.draining += n
	}
	if flags&flagConfirmed == s.confirmedFlag {
		s.confirmed += n
	}
}
