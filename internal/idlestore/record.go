package idlestore

import (
	"encoding/binary"
	"hash/maphash"
	"slices"
)

// The form of a record: the length of what follows (uvarint), a byte that is 0
// while the record is live, the destination (varint), the length of the policy's
// state (uvarint) and the state, and the packed endpoints.
const (
	liveRecord = 0
	deadRecord = 1
)

// record is one that was read. Its slices are those of the chunk.
type record struct {
	at        position
	dead      bool
	dest      int
	state     []byte
	endpoints []byte
	size      int // in the chunk
}

// readRecord reads the record at a position, which writeRecord has written.
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

// writeRecord writes a record and returns its position. Its bytes may come from the
// store.
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

// replaceRecord writes a record anew with other contents, and returns it where it is
// then. Endpoints that it had are found there.
func (s *Store) replaceRecord(r record, state, endpoints []byte) record {
	current, offset := &s.chunks[s.current], r.at.offset()
	if r.at.chunk() == s.current && offset+r.size == len(current.data) {
		// It is the last one and is overwritten: a list that names the endpoints of a
		// destination one behind the other leaves nothing dead.
		r.endpoints = slices.Clone(r.endpoints)
		current.data = current.data[:offset]
		return s.relocate(r, state, endpoints)
	}
	replaced := s.relocate(r, state, endpoints)
	s.markDead(r)
	if moved, ok := s.findDest(r.dest); ok {
		return moved // to drop the old one may have moved it once more
	}
	return replaced
}

// relocate writes a record anew, at the end, and has the tables find it there.
func (s *Store) relocate(r record, state, endpoints []byte) record {
	at := s.writeRecord(r.dest, state, endpoints)
	s.destIndex.replace(s.destHash(r.dest), r.at, at)
	for e := range packedEndpoints(r.endpoints) {
		s.idIndex.replace(s.idHash(e.id()), r.at, at)
	}
	return s.readRecord(at)
}

// removeRecord takes a record out.
func (s *Store) removeRecord(r record) {
	s.destIndex.remove(s.destHash(r.dest), r.at)
	for e := range packedEndpoints(r.endpoints) {
		s.idIndex.remove(s.idHash(e.id()), r.at)
		s.adjustCounts(e.flags(), -1)
	}
	s.markDead(r)
}

// findDest finds the record of a destination.
func (s *Store) findDest(dest int) (r record, ok bool) {
	s.destIndex.forEach(s.destHash(dest), func(at position) bool {
		r = s.readRecord(at)
		ok = r.dest == dest
		return !ok
	})
	return r, ok
}

// findEndpoint finds the record that has an endpoint, and the endpoint in it.
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

// eachRecord shows each live record, in the order of the chunks. f must not change
// the store.
func (s *Store) eachRecord(f func(r record)) {
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
