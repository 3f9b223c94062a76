// Package idlestore keeps what a relay knows of destinations that nobody sends to:
// their endpoints and what was learned of them, packed into a few bytes each,
// and says which destination has been quiet for long enough to be put there.
//
// A record holds one destination: its number, what was learned, its endpoints.
// Records lie one behind the other in chunks; one that changes is written anew
// at the end, and a chunk of which half is dead is emptied into the newest. Two
// tables of open addressing find a record, by destination and by the id of an
// endpoint. Nothing in it is a pointer but the chunks themselves, so a million
// records are no work for the garbage collector.
//
// It must never do I/O, look at a clock, or know what the learned bytes mean.
package idlestore

import (
	"encoding/binary"
	"hash/maphash"
	"math"
	"net/netip"
	"slices"
)

// Endpoint is one endpoint of a destination.
type Endpoint struct {
	ID          string
	HostPort    string
	Locality    string
	Flavor      string
	Draining    bool
	Size        float64
	Unconfirmed bool // told by the store: the whole list under way has not named it yet
}

const (
	chunkBits = 18
	chunkSize = 1 << chunkBits
	maxChunks = 1 << (32 - chunkBits) // a place in a chunk is told in 32 bits

	// Flags of an endpoint in its record.
	flagDraining    = 1 << 0
	flagConfirmed   = 1 << 1 // which of two lists it was in last
	flagPackedAddr  = 1 << 2 // the address is four bytes and a port
	flagIntegerSize = 1 << 3 // the size is a whole number
)

// chunk holds records one behind the other.
type chunk struct {
	data      []byte
	deadBytes int // bytes of records that have moved or gone
}

// Store is what is kept. The zero value is not ready: New makes one.
type Store struct {
	seed          maphash.Seed
	chunks        []chunk // one that is empty may be filled anew
	freeChunks    []int   // chunks that are empty
	current       int     // the one that is being filled
	destIndex     table
	idIndex       table
	tags          []tag // localities and flavours: few, and the same for many
	tagNumbers    map[tag]int
	endpoints     int
	draining      int  // of them
	confirmed     int  // of them, named by the newest whole list
	confirmedFlag byte // isMarked or 0: what an endpoint has that the newest whole list names
	scratch       []byte
}

type tag struct{ locality, flavor string }

// New makes a store that holds nothing.
func New() *Store {
	return &Store{seed: maphash.MakeSeed(), chunks: []chunk{{}}, tagNumbers: map[tag]int{}}
}

// Len is how many destinations there are; Endpoints how many endpoints they have.
func (s *Store) Len() int       { return s.destIndex.count }
func (s *Store) Endpoints() int { return s.endpoints }

// Draining is how many of the endpoints drain.
func (s *Store) Draining() int { return s.draining }

// Bytes is how much memory the records and the tables take.
func (s *Store) Bytes() int {
	n := s.destIndex.memory() + s.idIndex.memory()
	for i := range s.chunks {
		n += cap(s.chunks[i].data)
	}
	return n
}

// record is one that was read.
type record struct {
	position  uint32
	dead      bool
	dest      int
	state     []byte // in the chunk
	endpoints []byte // the endpoints, in the chunk
	size      int    // of all of it
}

func (s *Store) bytesAt(place uint32) []byte {
	return s.chunks[place>>chunkBits].data[place&(chunkSize-1):]
}

// readRecord reads the record at a place. What stands there was written by put alone.
func (s *Store) readRecord(place uint32) record {
	b := s.bytesAt(place)
	n, head := binary.Uvarint(b)
	r := record{position: place, size: head + int(n)}
	r.dead = b[head] != 0
	b = b[head+1 : r.size]
	dest, k := binary.Varint(b)
	r.dest = int(dest)
	b = b[k:]
	n, k = binary.Uvarint(b)
	r.state, r.endpoints = b[k:k+int(n)], b[k+int(n):]
	return r
}

// cutEndpoint cuts the first endpoint off the bytes of some, and tells its id without
// copying it.
func cutEndpoint(b []byte) (one, id, rest []byte) {
	n, k := binary.Uvarint(b[1:])
	at := 1 + k + int(n)
	id = b[1+k : at]
	if b[0]&flagPackedAddr != 0 {
		at += 6
	} else {
		n, k = binary.Uvarint(b[at:])
		at += k + int(n)
	}
	_, k = binary.Uvarint(b[at:])
	if at += k; b[0]&flagIntegerSize != 0 {
		_, k = binary.Uvarint(b[at:])
		at += k
	} else {
		at += 8
	}
	return b[:at], id, b[at:]
}

func (s *Store) decodeEndpoint(one, id []byte) Endpoint {
	e := Endpoint{ID: string(id), Draining: one[0]&flagDraining != 0, Unconfirmed: one[0]&flagConfirmed != s.confirmedFlag}
	_, k := binary.Uvarint(one[1:])
	b := one[1+k+len(id):]
	if one[0]&flagPackedAddr != 0 {
		e.HostPort = netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.BigEndian.Uint16(b[4:])).String()
		b = b[6:]
	} else {
		n, k := binary.Uvarint(b)
		e.HostPort = string(b[k : k+int(n)])
		b = b[k+int(n):]
	}
	n, k := binary.Uvarint(b)
	e.Locality, e.Flavor = s.tags[n].locality, s.tags[n].flavor
	if b = b[k:]; one[0]&flagIntegerSize != 0 {
		n, _ = binary.Uvarint(b)
		e.Size = float64(n)
	} else {
		e.Size = math.Float64frombits(binary.BigEndian.Uint64(b))
	}
	return e
}

func (s *Store) appendEndpoint(b []byte, e *Endpoint) []byte {
	flags := s.confirmedFlag
	if e.Draining {
		flags |= flagDraining
	}
	// Only an address that is read back as it was written is packed.
	at, err := netip.ParseAddrPort(e.HostPort)
	var text [len("255.255.255.255:65535")]byte
	if err == nil && at.Addr().Is4() && string(at.AppendTo(text[:0])) == e.HostPort {
		flags |= flagPackedAddr
	}
	whole := e.Size >= 0 && e.Size < 1<<32 && e.Size == math.Trunc(e.Size) && !math.Signbit(e.Size)
	if whole {
		flags |= flagIntegerSize
	}
	b = append(b, flags)
	b = binary.AppendUvarint(b, uint64(len(e.ID)))
	b = append(b, e.ID...)
	if flags&flagPackedAddr != 0 {
		four := at.Addr().As4()
		b = append(b, four[:]...)
		b = binary.BigEndian.AppendUint16(b, at.Port())
	} else {
		b = binary.AppendUvarint(b, uint64(len(e.HostPort)))
		b = append(b, e.HostPort...)
	}
	t := tag{e.Locality, e.Flavor}
	n, ok := s.tagNumbers[t]
	if !ok {
		n = len(s.tags)
		s.tags = append(s.tags, t)
		s.tagNumbers[t] = n
	}
	b = binary.AppendUvarint(b, uint64(n))
	if whole {
		return binary.AppendUvarint(b, uint64(e.Size))
	}
	return binary.BigEndian.AppendUint64(b, math.Float64bits(e.Size))
}

// HasRoom reports whether more can be kept: a place is told in 32 bits, which is 4 GB
// of records.
func (s *Store) HasRoom() bool { return len(s.chunks)-len(s.freeChunks) < maxChunks-2 }

// chunkFor is where a record of so many bytes can be written; it may be in a chunk of
// its own.
func (s *Store) chunkFor(size int) int {
	c := &s.chunks[s.current]
	if len(c.data)+size <= max(chunkSize, cap(c.data)) && len(c.data) < chunkSize {
		return s.current
	}
	if n := len(s.freeChunks); n > 0 {
		s.current, s.freeChunks = s.freeChunks[n-1], s.freeChunks[:n-1]
	} else {
		s.current = len(s.chunks)
		s.chunks = append(s.chunks, chunk{})
	}
	if size > chunkSize {
		s.chunks[s.current].data = make([]byte, 0, size)
	}
	return s.current
}

// writeRecord writes a record and returns its place. Its bytes may come from the store.
func (s *Store) writeRecord(dest int, learned, endpoints []byte) uint32 {
	b := append(s.scratch[:0], 0) // it lives
	b = binary.AppendVarint(b, int64(dest))
	b = binary.AppendUvarint(b, uint64(len(learned)))
	b = append(b, learned...)
	b = append(b, endpoints...)
	s.scratch = b
	if cap(b) > chunkSize {
		s.scratch = nil
	}
	var head [binary.MaxVarintLen64]byte
	n := binary.PutUvarint(head[:], uint64(len(b)))
	at := s.chunkFor(n + len(b))
	c := &s.chunks[at]
	place := uint32(at)<<chunkBits | uint32(len(c.data))
	c.data = append(append(growChunk(c.data, n+len(b)), head[:n]...), b...)
	return place
}

// growChunk makes room in a chunk: the first one grows as it fills, to at most its
// size, since a relay with few destinations should not pay for many.
func growChunk(b []byte, more int) []byte {
	if len(b)+more <= cap(b) {
		return b
	}
	return slices.Grow(b, max(more, min(len(b), chunkSize-len(b))))[:len(b)]
}

// markDead books that a record is dead, and empties its chunk if half of it is.
func (s *Store) markDead(r record) {
	at := int(r.position >> chunkBits)
	c := &s.chunks[at]
	c.deadBytes += r.size
	b := s.bytesAt(r.position)
	_, head := binary.Uvarint(b)
	b[head] = 1
	switch {
	case c.deadBytes == len(c.data):
		s.releaseChunk(at)
	case at != s.current && c.deadBytes > len(c.data)/2:
		s.evacuateChunk(at)
	}
}

func (s *Store) releaseChunk(at int) {
	s.chunks[at] = chunk{}
	if at != s.current {
		s.freeChunks = append(s.freeChunks, at)
	}
}

// evacuateChunk moves what lives in a chunk.
func (s *Store) evacuateChunk(at int) {
	for off := 0; off < len(s.chunks[at].data); {
		r := s.readRecord(uint32(at)<<chunkBits | uint32(off))
		off += r.size
		if !r.dead {
			s.relocate(r, r.state, r.endpoints)
		}
	}
	s.releaseChunk(at)
}

// relocate writes a record anew, at the end, and has the tables find it there.
func (s *Store) relocate(r record, learned, endpoints []byte) record {
	place := s.writeRecord(r.dest, learned, endpoints)
	s.destIndex.replace(s.destHash(r.dest), r.position, place)
	for b := r.endpoints; len(b) > 0; {
		var id []byte
		_, id, b = cutEndpoint(b)
		s.idIndex.replace(s.idHash(id), r.position, place)
	}
	return s.readRecord(place)
}

func (s *Store) destHash(dest int) uint64      { return maphash.Comparable(s.seed, dest) }
func (s *Store) idHash(id []byte) uint64       { return maphash.Bytes(s.seed, id) }
func (s *Store) idStringHash(id string) uint64 { return maphash.String(s.seed, id) }

// findDest finds the record of a destination.
func (s *Store) findDest(dest int) (r record, ok bool) {
	s.destIndex.forEach(s.destHash(dest), func(place uint32) bool {
		r = s.readRecord(place)
		ok = r.dest == dest
		return !ok
	})
	return r, ok
}

// findEndpoint finds the record that has an endpoint, and which one it is there.
func (s *Store) findEndpoint(id string) (r record, one []byte, ok bool) {
	s.idIndex.forEach(s.idStringHash(id), func(place uint32) bool {
		r = s.readRecord(place)
		for b := r.endpoints; len(b) > 0; {
			var name []byte
			if one, name, b = cutEndpoint(b); string(name) == id {
				ok = true
				return false
			}
		}
		return true
	})
	return r, one, ok
}

// Has reports whether a destination is here.
func (s *Store) Has(dest int) bool {
	_, ok := s.findDest(dest)
	return ok
}

// DestinationOf tells whose an endpoint is.
func (s *Store) DestinationOf(id string) (dest int, ok bool) {
	r, _, ok := s.findEndpoint(id)
	return r.dest, ok
}

// Passivate puts a destination here, with what was learned of it, in the place of
// what was here of it. None of its endpoints may be here under another one.
func (s *Store) Passivate(dest int, learned []byte, endpoints []Endpoint) {
	if r, ok := s.findDest(dest); ok {
		s.removeRecord(r)
	}
	var b []byte
	for i := range endpoints {
		at := len(b)
		b = s.appendEndpoint(b, &endpoints[i])
		s.adjustCounts(b[at], 1)
	}
	place := s.writeRecord(dest, learned, b)
	s.destIndex.add(s.destHash(dest), place)
	for i := range endpoints {
		s.idIndex.add(s.idStringHash(endpoints[i].ID), place)
	}
}

// removeRecord takes a record out.
func (s *Store) removeRecord(r record) {
	s.destIndex.remove(s.destHash(r.dest), r.position)
	for b := r.endpoints; len(b) > 0; {
		var one, id []byte
		one, id, b = cutEndpoint(b)
		s.idIndex.remove(s.idHash(id), r.position)
		s.adjustCounts(one[0], -1)
	}
	s.markDead(r)
}

// decodeEndpoints decodes the endpoints of a record.
func (s *Store) decodeEndpoints(r record) (list []Endpoint) {
	for b := r.endpoints; len(b) > 0; {
		var one, id []byte
		one, id, b = cutEndpoint(b)
		list = append(list, s.decodeEndpoint(one, id))
	}
	return list
}

// Activate takes a destination out.
func (s *Store) Activate(dest int) (learned []byte, endpoints []Endpoint, ok bool) {
	r, ok := s.findDest(dest)
	if !ok {
		return nil, nil, false
	}
	learned, endpoints = slices.Clone(r.state), s.decodeEndpoints(r)
	s.removeRecord(r)
	return learned, endpoints, true
}

// PutEndpoint books that an endpoint is in the list, at a destination that is here or
// comes here. One that was elsewhere is there no more. What was learned of the
// destination stays: whose it is by now is for him to say who wrote it.
func (s *Store) PutEndpoint(dest int, e *Endpoint) {
	r, one, have := s.findEndpoint(e.ID)
	if have && r.dest != dest {
		s.RemoveEndpoint(e.ID)
		have = false
	}
	if !have {
		r, ok := s.findDest(dest)
		if !ok {
			s.Passivate(dest, nil, []Endpoint{*e})
			return
		}
		fresh := s.appendEndpoint(nil, e)
		s.adjustCounts(fresh[0], 1)
		r = s.replaceRecord(r, r.state, append(slices.Clone(r.endpoints), fresh...))
		s.idIndex.add(s.idStringHash(e.ID), r.position)
		return
	}
	fresh := s.appendEndpoint(nil, e)
	s.adjustCounts(one[0], -1)
	s.adjustCounts(fresh[0], 1)
	if len(fresh) == len(one) && string(fresh[1:]) == string(one[1:]) {
		one[0] = fresh[0] // nothing but its flags: no new record
		return
	}
	s.replaceRecord(r, r.state, append(withoutEndpoint(r.endpoints, e.ID), fresh...))
}

// ConfirmUnchanged reports whether an endpoint is here as it is told, draining or not, and if
// so books that, and that the list names it: most of a whole list is so.
func (s *Store) ConfirmUnchanged(dest int, e *Endpoint) bool {
	r, one, ok := s.findEndpoint(e.ID)
	if !ok || r.dest != dest {
		return false
	}
	s.scratch = s.appendEndpoint(s.scratch[:0], e)
	if string(s.scratch[1:]) != string(one[1:]) || (s.scratch[0]^one[0])&^(flagConfirmed|flagDraining) != 0 {
		return false
	}
	s.adjustCounts(one[0], -1)
	s.adjustCounts(s.scratch[0], 1)
	one[0] = s.scratch[0]
	return true
}

// SetState has something else be what was learned of a destination that is here.
func (s *Store) SetState(dest int, learned []byte) {
	if r, ok := s.findDest(dest); ok {
		s.replaceRecord(r, learned, slices.Clone(r.endpoints))
	}
}

// Peek shows a destination without waking it.
func (s *Store) Peek(dest int) (learned []byte, endpoints []Endpoint, ok bool) {
	r, ok := s.findDest(dest)
	if !ok {
		return nil, nil, false
	}
	return slices.Clone(r.state), s.decodeEndpoints(r), true
}

// adjustCounts books that an endpoint with such flags is here, or no more.
func (s *Store) adjustCounts(flags byte, n int) {
	s.endpoints += n
	if flags&flagDraining != 0 {
		s.draining += n
	}
	if flags&flagConfirmed == s.confirmedFlag {
		s.confirmed += n
	}
}

// replaceRecord puts other bytes into the place of a record's. Its old ids are found at
// the new one.
func (s *Store) replaceRecord(r record, learned, endpoints []byte) record {
	if c, off := &s.chunks[s.current], int(r.position&(chunkSize-1)); int(r.position>>chunkBits) == s.current && off+r.size == len(c.data) {
		// It is the last one: a list that names a destination's endpoints one behind the other leaves nothing dead.
		r.endpoints = slices.Clone(r.endpoints)
		c.data = c.data[:off]
		return s.relocate(r, learned, endpoints)
	}
	x := s.relocate(r, learned, endpoints)
	s.markDead(r)
	if now, ok := s.findDest(r.dest); ok {
		return now // to drop the old one may have moved it once more
	}
	return x
}

// withoutEndpoint are the endpoints of a record but one.
func withoutEndpoint(b []byte, id string) (left []byte) {
	for len(b) > 0 {
		var one, name []byte
		if one, name, b = cutEndpoint(b); string(name) != id {
			left = append(left, one...)
		}
	}
	return left
}

// RemoveEndpoint takes an endpoint out. Its destination stays, with what was learned of
// it, until Forget.
func (s *Store) RemoveEndpoint(id string) (dest int, ok bool) {
	r, one, ok := s.findEndpoint(id)
	if !ok {
		return 0, false
	}
	s.idIndex.remove(s.idStringHash(id), r.position)
	s.adjustCounts(one[0], -1)
	s.replaceRecord(r, r.state, withoutEndpoint(r.endpoints, id))
	return r.dest, true
}

// RemoveEmpty takes a destination out that has no endpoint, and reports whether it was
// one.
func (s *Store) RemoveEmpty(dest int) bool {
	r, ok := s.findDest(dest)
	if !ok || len(r.endpoints) > 0 {
		return false
	}
	s.removeRecord(r)
	return true
}

// BeginList begins a whole list: what is not put until End is not in it.
func (s *Store) BeginList() {
	s.confirmedFlag ^= flagConfirmed
	s.confirmed = s.endpoints - s.confirmed
}

// EndList takes out what the list did not name, and returns the destinations that
// have lost an endpoint, in the order of their records.
func (s *Store) EndList() (lost []int) {
	if s.confirmed == s.endpoints {
		return nil
	}
	type old struct {
		dest int
		id   string
	}
	var gone []old
	s.eachRecord(func(dest int, _ []byte, rest []byte) {
		for b := rest; len(b) > 0; {
			var one, id []byte
			if one, id, b = cutEndpoint(b); one[0]&flagConfirmed != s.confirmedFlag {
				gone = append(gone, old{dest, string(id)})
			}
		}
	})
	for _, x := range gone {
		s.RemoveEndpoint(x.id)
		if len(lost) == 0 || lost[len(lost)-1] != x.dest {
			lost = append(lost, x.dest)
		}
	}
	return lost
}

// eachRecord shows each destination with the bytes of its record, in their order. The
// store must not change meanwhile.
func (s *Store) eachRecord(f func(dest int, learned, endpoints []byte)) {
	for at := range s.chunks {
		for off := 0; off < len(s.chunks[at].data); {
			r := s.readRecord(uint32(at)<<chunkBits | uint32(off))
			off += r.size
			if !r.dead {
				f(r.dest, r.state, r.endpoints)
			}
		}
	}
}

// ForEach shows each destination.
func (s *Store) ForEach(f func(dest int, learned []byte, endpoints []Endpoint)) {
	s.eachRecord(func(dest int, learned, rest []byte) {
		f(dest, learned, s.decodeEndpoints(record{endpoints: rest}))
	})
}
