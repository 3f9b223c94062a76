package idlestore

import (
	"encoding/binary"
	"slices"
)

const (
	chunkBits = 18
	chunkSize = 1 << chunkBits
	maxChunks = 1 << (32 - chunkBits) // a position has 32 bits
)

// chunk is a buffer of records. A record larger than chunkSize gets a chunk of its own.
type chunk struct {
	data      []byte
	deadBytes int // size of the records that were moved or removed
}

// position locates a record. It combines the number of the record's chunk with the offset
// in that chunk.
type position uint32

func positionOf(chunk, offset int) position { return position(chunk)<<chunkBits | position(offset) }

func (p position) chunk() int  { return int(p >> chunkBits) }
func (p position) offset() int { return int(p & (chunkSize - 1)) }

func (s *Store) bytesAt(at position) []byte { return s.chunks[at.chunk()].data[at.offset():] }

// HasRoom reports whether more records can be stored. Positions of 32 bits can address
// 4 GB of records.
func (s *Store) HasRoom() bool { return len(s.chunks)-len(s.freeChunks) < maxChunks-2 }

// chunkFor returns the number of the chunk to which a record of this size is appended, and
// makes that chunk the current one.
func (s *Store) chunkFor(size int) int {
	c := &s.chunks[s.current]
	if len(c.data)+size <= max(chunkSize, cap(c.data)) && len(c.data) < chunkSize {
		return s.current
	}
	if last := len(s.freeChunks) - 1; last >= 0 {
		s.current, s.freeChunks = s.freeChunks[last], s.freeChunks[:last]
	} else {
		s.current = len(s.chunks)
		s.chunks = append(s.chunks, chunk{})
	}
	if size > chunkSize {
		s.chunks[s.current].data = make([]byte, 0, size)
	}
	return s.current
}

// growChunk makes room for more bytes in the data of a chunk. The capacity doubles each
// time, up to chunkSize, so that a store of few destinations needs little memory.
func growChunk(data []byte, more int) []byte {
	if len(data)+more <= cap(data) {
		return data
	}
	return slices.Grow(data, max(more, min(len(data), chunkSize-len(data))))[:len(data)]
}

// markDead marks a record as dead. It evacuates the record's chunk if dead records use
// more than half of it, and releases the chunk if it has no live records.
func (s *Store) markDead(r record) {
	number := r.at.chunk()
	c := &s.chunks[number]
	c.deadBytes += r.size
	b := s.bytesAt(r.at)
	_, n := binary.Uvarint(b)
	b[n] = deadRecord
	switch {
	case c.deadBytes == len(c.data):
		s.releaseChunk(number)
	case number != s.current && c.deadBytes > len(c.data)/2:
		s.evacuateChunk(number)
	}
}

// releaseChunk empties a chunk so that it can be reused.
func (s *Store) releaseChunk(number int) {
	s.chunks[number] = chunk{}
	if number != s.current {
		s.freeChunks = append(s.freeChunks, number)
	}
}

// evacuateChunk moves the live records of a chunk to the current chunk and releases the
// emptied chunk.
func (s *Store) evacuateChunk(number int) {
	for offset := 0; offset < len(s.chunks[number].data); {
		r := s.readRecord(positionOf(number, offset))
		offset += r.size
		if !r.dead {
			s.relocate(r, r.state, r.endpoints)
		}
	}
	s.releaseChunk(number)
}
