package idlestore

import (
	"encoding/binary"
	"hash/maphash"
	"slices"
)

// The format of a record: the length of the bytes that follow it (uvarint), liveRecord or
// deadRecord (one byte), the destination (varint), the length of the policy's state
// (uvarint), the state, and the packed endpoints.
const (
	liveRecord = 0
	deadRecord = 1
)

// record is a decoded record. Its slices alias the chunk.
type record struct {
	at        position
	dead      bool
	dest      int
	state     []byte
	endpoints []byte
	size      int // encoded size in bytes
}

// readRecord decodes the record at a position.
func (s *Store) readRecord(at position) record {
	b := s.bytesAt(at)
	length, n := binary.Uvarint(b)
	r := record{at: at, size: n + int(length)}
	r.dead = b[n] != liveRecord
	b = b[n+1 : r.size]
	dest, n := binary.Varint(b)
	r.dest = int(dest)
	b = b[n:]
	length, n = binary.Uvarint(b)
	b = b[n:]
	r.state, r.endpoints = b[:length], b[length:]
	return r
}

// writeRecord appends a record to the current chunk and returns its position. state and
// endpoints may alias a chunk.
func (s *Store) writeRecord(dest int, state, endpoints []byte) position {
	b := append(s.scratch[:0], liveRecord)
	b = binary.AppendVarint(b, int64(dest))
	b = binary.AppendUvarint(b, uint64(len(state)))
	b = append(b, state...)
	b = append(b, endpoints...)
	s.scratch = b
	if cap(b) > chunkSize {
		s.scratch = nil
	}
	var length [binary.MaxVarintLen64]byte
	n := binary.PutUvarint(length[:], uint64(len(b)))
	number := s.chunkFor(n + len(b))
	c := &s.chunks[number]
	at := positionOf(number, len(c.data))
	c.data = growChunk(c.data, n+len(b))
	c.data = append(c.data, length[:n]...)
	c.data = append(c.data, b...)
	return at
}

// replaceRecord replaces the contents of a record, which moves the record, and returns the
// new record. In the tables it only changes the positions of the endpoints of the old record. The
// caller adds the endpoints that only the new record has, and removes those that it lacks.
func (s *Store) replaceRecord(r record, state, endpoints []byte) record {
	current, offset := &s.chunks[s.current], r.at.offset()
	if r.at.chunk() == s.current && offset+r.size == len(current.data) {
		// Overwrite the last record, so that a list that contains the endpoints of a
		// destination in sequence leaves no dead records.
		r.endpoints = slices.Clone(r.endpoints)
		current.data = current.data[:offset]
		return s.relocate(r, state, endpoints)
	}
	replaced := s.relocate(r, state, endpoints)
	s.markDead(r)
	if moved, ok := s.findDest(r.dest); ok {
		return moved // markDead may have evacuated the chunk of the new record
	}
	return replaced
}

// relocate appends a record with these contents and the destination of r, and updates the
// tables to the new position. It does not mark r as dead.
func (s *Store) relocate(r record, state, endpoints []byte) record {
	at := s.writeRecord(r.dest, state, endpoints)
	s.destIndex.replace(s.destHash(r.dest), r.at, at)
	for e := range packedEndpoints(r.endpoints) {
		s.idIndex.replace(s.idHash(e.id()), r.at, at)
	}
	return s.readRecord(at)
}

// removeRecord removes a record and its endpoints from the tables and the counts.
func (s *Store) removeRecord(r record) {
	s.destIndex.remove(s.destHash(r.dest), r.at)
	for e := range packedEndpoints(r.endpoints) {
		s.idIndex.remove(s.idHash(e.id()), r.at)
		s.adjustCounts(e.flags(), -1)
	}
	s.markDead(r)
}

// findDest returns the record of a destination.
func (s *Store) findDest(dest int) (r record, ok bool) {
	s.destIndex.forEach(s.destHash(dest), func(at position) bool {
		r = s.readRecord(at)
		ok = r.dest == dest
		return !ok
	})
	return r, ok
}

// findEndpoint returns an endpoint and the record that contains it.
func (s *Store) findEndpoint(id string) (r record, packed packedEndpoint, ok bool) {
	s.idIndex.forEach(s.idStringHash(id), func(at position) bool {
		r = s.readRecord(at)
		for packed = range packedEndpoints(r.endpoints) {
			if string(packed.id()) == id {
				ok = true
				return false
			}
		}
		return true
	})
	return r, packed, ok
}

// forEachRecord calls f for each live record, in the order of the chunks. f must not
// change the store.
func (s *Store) forEachRecord(f func(r record)) {
	for number := range s.chunks {
		for offset := 0; offset < len(s.chunks[number].data); {
			r := s.readRecord(positionOf(number, offset))
			offset += r.size
			if !r.dead {
				f(r)
			}
		}
	}
}

func (s *Store) destHash(dest int) uint64      { return maphash.Comparable(s.seed, dest) }
func (s *Store) idHash(id []byte) uint64       { return maphash.Bytes(s.seed, id) }
func (s *Store) idStringHash(id string) uint64 { return maphash.String(s.seed, id) }
