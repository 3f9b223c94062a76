// Package dormant keeps what a relay knows of destinations that nobody sends to:
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
package dormant

import (
	"encoding/binary"
	"hash/maphash"
	"math"
	"net/netip"
	"slices"
)

// Endpoint is one endpoint of a destination.
type Endpoint struct {
	ID       string
	HostPort string
	Locality string
	Flavor   string
	Draining bool
	Size     float64
	Unnamed  bool // told by the store: the whole list under way has not named it yet
}

const (
	chunkBits = 18
	chunkSize = 1 << chunkBits
	chunkMost = 1 << (32 - chunkBits) // a place in a chunk is told in 32 bits

	// Flags of an endpoint in its record.
	isDraining = 1 << 0
	isMarked   = 1 << 1 // which of two lists it was in last
	isAddr     = 1 << 2 // the address is four bytes and a port
	isWhole    = 1 << 3 // the size is a whole number
)

// chunk holds records one behind the other.
type chunk struct {
	b    []byte
	dead int // bytes of records that have moved or gone
}

// Store is what is kept. The zero value is not ready: New makes one.
type Store struct {
	seed      maphash.Seed
	chunks    []chunk // one that is empty may be filled anew
	free      []int   // chunks that are empty
	at        int     // the one that is being filled
	dests     table
	ids       table
	tags      []tag // localities and flavours: few, and the same for many
	tagged    map[tag]int
	endpoints int
	draining  int  // of them
	marked    int  // of them, named by the newest whole list
	mark      byte // isMarked or 0: what an endpoint has that the newest whole list names
	scratch   []byte
}

type tag struct{ locality, flavor string }

// New makes a store that holds nothing.
func New() *Store {
	return &Store{seed: maphash.MakeSeed(), chunks: []chunk{{}}, tagged: map[tag]int{}}
}

// Len is how many destinations there are; Endpoints how many endpoints they have.
func (s *Store) Len() int       { return s.dests.n }
func (s *Store) Endpoints() int { return s.endpoints }

// Draining is how many of the endpoints drain.
func (s *Store) Draining() int { return s.draining }

// Bytes is how much memory the records and the tables take.
func (s *Store) Bytes() int {
	n := s.dests.bytes() + s.ids.bytes()
	for i := range s.chunks {
		n += cap(s.chunks[i].b)
	}
	return n
}

// record is one that was read.
type record struct {
	place   uint32
	dead    bool
	dest    int
	learned []byte // in the chunk
	rest    []byte // the endpoints, in the chunk
	size    int    // of all of it
}

func (s *Store) bytes(place uint32) []byte {
	return s.chunks[place>>chunkBits].b[place&(chunkSize-1):]
}

// read reads the record at a place. What stands there was written by put alone.
func (s *Store) read(place uint32) record {
	b := s.bytes(place)
	n, head := binary.Uvarint(b)
	r := record{place: place, size: head + int(n)}
	r.dead = b[head] != 0
	b = b[head+1 : r.size]
	dest, k := binary.Varint(b)
	r.dest = int(dest)
	b = b[k:]
	n, k = binary.Uvarint(b)
	r.learned, r.rest = b[k:k+int(n)], b[k+int(n):]
	return r
}

// next cuts the first endpoint off the bytes of some, and tells its id without
// copying it.
func next(b []byte) (one, id, rest []byte) {
	n, k := binary.Uvarint(b[1:])
	at := 1 + k + int(n)
	id = b[1+k : at]
	if b[0]&isAddr != 0 {
		at += 6
	} else {
		n, k = binary.Uvarint(b[at:])
		at += k + int(n)
	}
	_, k = binary.Uvarint(b[at:])
	if at += k; b[0]&isWhole != 0 {
		_, k = binary.Uvarint(b[at:])
		at += k
	} else {
		at += 8
	}
	return b[:at], id, b[at:]
}

func (s *Store) decode(one, id []byte) Endpoint {
	e := Endpoint{ID: string(id), Draining: one[0]&isDraining != 0, Unnamed: one[0]&isMarked != s.mark}
	_, k := binary.Uvarint(one[1:])
	b := one[1+k+len(id):]
	if one[0]&isAddr != 0 {
		e.HostPort = netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.BigEndian.Uint16(b[4:])).String()
		b = b[6:]
	} else {
		n, k := binary.Uvarint(b)
		e.HostPort = string(b[k : k+int(n)])
		b = b[k+int(n):]
	}
	n, k := binary.Uvarint(b)
	e.Locality, e.Flavor = s.tags[n].locality, s.tags[n].flavor
	if b = b[k:]; one[0]&isWhole != 0 {
		n, _ = binary.Uvarint(b)
		e.Size = float64(n)
	} else {
		e.Size = math.Float64frombits(binary.BigEndian.Uint64(b))
	}
	return e
}

func (s *Store) encode(b []byte, e *Endpoint) []byte {
	flags := s.mark
	if e.Draining {
		flags |= isDraining
	}
	// Only an address that is read back as it was written is packed.
	at, err := netip.ParseAddrPort(e.HostPort)
	var text [len("255.255.255.255:65535")]byte
	if err == nil && at.Addr().Is4() && string(at.AppendTo(text[:0])) == e.HostPort {
		flags |= isAddr
	}
	whole := e.Size >= 0 && e.Size < 1<<32 && e.Size == math.Trunc(e.Size) && !math.Signbit(e.Size)
	if whole {
		flags |= isWhole
	}
	b = append(b, flags)
	b = binary.AppendUvarint(b, uint64(len(e.ID)))
	b = append(b, e.ID...)
	if flags&isAddr != 0 {
		four := at.Addr().As4()
		b = append(b, four[:]...)
		b = binary.BigEndian.AppendUint16(b, at.Port())
	} else {
		b = binary.AppendUvarint(b, uint64(len(e.HostPort)))
		b = append(b, e.HostPort...)
	}
	t := tag{e.Locality, e.Flavor}
	n, ok := s.tagged[t]
	if !ok {
		n = len(s.tags)
		s.tags = append(s.tags, t)
		s.tagged[t] = n
	}
	b = binary.AppendUvarint(b, uint64(n))
	if whole {
		return binary.AppendUvarint(b, uint64(e.Size))
	}
	return binary.BigEndian.AppendUint64(b, math.Float64bits(e.Size))
}

// Room reports whether more can be kept: a place is told in 32 bits, which is 4 GB
// of records.
func (s *Store) Room() bool { return len(s.chunks)-len(s.free) < chunkMost-2 }

// room is where a record of so many bytes can be written; it may be in a chunk of
// its own.
func (s *Store) room(size int) int {
	c := &s.chunks[s.at]
	if len(c.b)+size <= max(chunkSize, cap(c.b)) && len(c.b) < chunkSize {
		return s.at
	}
	if n := len(s.free); n > 0 {
		s.at, s.free = s.free[n-1], s.free[:n-1]
	} else {
		s.at = len(s.chunks)
		s.chunks = append(s.chunks, chunk{})
	}
	if size > chunkSize {
		s.chunks[s.at].b = make([]byte, 0, size)
	}
	return s.at
}

// put writes a record and returns its place. Its bytes may come from the store.
func (s *Store) put(dest int, learned, endpoints []byte) uint32 {
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
	at := s.room(n + len(b))
	c := &s.chunks[at]
	place := uint32(at)<<chunkBits | uint32(len(c.b))
	c.b = append(append(grown(c.b, n+len(b)), head[:n]...), b...)
	return place
}

// grown makes room in a chunk: the first one grows as it fills, to at most its
// size, since a relay with few destinations should not pay for many.
func grown(b []byte, more int) []byte {
	if len(b)+more <= cap(b) {
		return b
	}
	return slices.Grow(b, max(more, min(len(b), chunkSize-len(b))))[:len(b)]
}

// drop books that a record is dead, and empties its chunk if half of it is.
func (s *Store) drop(r record) {
	at := int(r.place >> chunkBits)
	c := &s.chunks[at]
	c.dead += r.size
	b := s.bytes(r.place)
	_, head := binary.Uvarint(b)
	b[head] = 1
	switch {
	case c.dead == len(c.b):
		s.clear(at)
	case at != s.at && c.dead > len(c.b)/2:
		s.empty(at)
	}
}

func (s *Store) clear(at int) {
	s.chunks[at] = chunk{}
	if at != s.at {
		s.free = append(s.free, at)
	}
}

// empty moves what lives in a chunk.
func (s *Store) empty(at int) {
	for off := 0; off < len(s.chunks[at].b); {
		r := s.read(uint32(at)<<chunkBits | uint32(off))
		off += r.size
		if !r.dead {
			s.move(r, r.learned, r.rest)
		}
	}
	s.clear(at)
}

// move writes a record anew, at the end, and has the tables find it there.
func (s *Store) move(r record, learned, endpoints []byte) record {
	place := s.put(r.dest, learned, endpoints)
	s.dests.move(s.destHash(r.dest), r.place, place)
	for b := r.rest; len(b) > 0; {
		var id []byte
		_, id, b = next(b)
		s.ids.move(s.idHash(id), r.place, place)
	}
	return s.read(place)
}

func (s *Store) destHash(dest int) uint64  { return maphash.Comparable(s.seed, dest) }
func (s *Store) idHash(id []byte) uint64   { return maphash.Bytes(s.seed, id) }
func (s *Store) nameHash(id string) uint64 { return maphash.String(s.seed, id) }

// byDest finds the record of a destination.
func (s *Store) byDest(dest int) (r record, ok bool) {
	s.dests.each(s.destHash(dest), func(place uint32) bool {
		r = s.read(place)
		ok = r.dest == dest
		return !ok
	})
	return r, ok
}

// byID finds the record that has an endpoint, and which one it is there.
func (s *Store) byID(id string) (r record, one []byte, ok bool) {
	s.ids.each(s.nameHash(id), func(place uint32) bool {
		r = s.read(place)
		for b := r.rest; len(b) > 0; {
			var name []byte
			if one, name, b = next(b); string(name) == id {
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
	_, ok := s.byDest(dest)
	return ok
}

// Find tells whose an endpoint is.
func (s *Store) Find(id string) (dest int, ok bool) {
	r, _, ok := s.byID(id)
	return r.dest, ok
}

// Sleep puts a destination here, with what was learned of it, in the place of
// what was here of it. None of its endpoints may be here under another one.
func (s *Store) Sleep(dest int, learned []byte, endpoints []Endpoint) {
	if r, ok := s.byDest(dest); ok {
		s.forget(r)
	}
	var b []byte
	for i := range endpoints {
		at := len(b)
		b = s.encode(b, &endpoints[i])
		s.count(b[at], 1)
	}
	place := s.put(dest, learned, b)
	s.dests.add(s.destHash(dest), place)
	for i := range endpoints {
		s.ids.add(s.nameHash(endpoints[i].ID), place)
	}
}

// forget takes a record out.
func (s *Store) forget(r record) {
	s.dests.remove(s.destHash(r.dest), r.place)
	for b := r.rest; len(b) > 0; {
		var one, id []byte
		one, id, b = next(b)
		s.ids.remove(s.idHash(id), r.place)
		s.count(one[0], -1)
	}
	s.drop(r)
}

// all decodes the endpoints of a record.
func (s *Store) all(r record) (list []Endpoint) {
	for b := r.rest; len(b) > 0; {
		var one, id []byte
		one, id, b = next(b)
		list = append(list, s.decode(one, id))
	}
	return list
}

// Wake takes a destination out.
func (s *Store) Wake(dest int) (learned []byte, endpoints []Endpoint, ok bool) {
	r, ok := s.byDest(dest)
	if !ok {
		return nil, nil, false
	}
	learned, endpoints = slices.Clone(r.learned), s.all(r)
	s.forget(r)
	return learned, endpoints, true
}

// Put books that an endpoint is in the list, at a destination that is here or
// comes here. One that was elsewhere is there no more. What was learned of the
// destination stays: whose it is by now is for him to say who wrote it.
func (s *Store) Put(dest int, e *Endpoint) {
	r, one, have := s.byID(e.ID)
	if have && r.dest != dest {
		s.Remove(e.ID)
		have = false
	}
	if !have {
		r, ok := s.byDest(dest)
		if !ok {
			s.Sleep(dest, nil, []Endpoint{*e})
			return
		}
		fresh := s.encode(nil, e)
		s.count(fresh[0], 1)
		r = s.rewrite(r, r.learned, append(slices.Clone(r.rest), fresh...))
		s.ids.add(s.nameHash(e.ID), r.place)
		return
	}
	fresh := s.encode(nil, e)
	s.count(one[0], -1)
	s.count(fresh[0], 1)
	if len(fresh) == len(one) && string(fresh[1:]) == string(one[1:]) {
		one[0] = fresh[0] // nothing but its flags: no new record
		return
	}
	s.rewrite(r, r.learned, append(without(r.rest, e.ID), fresh...))
}

// Same reports whether an endpoint is here as it is told, draining or not, and if
// so books that, and that the list names it: most of a whole list is so.
func (s *Store) Same(dest int, e *Endpoint) bool {
	r, one, ok := s.byID(e.ID)
	if !ok || r.dest != dest {
		return false
	}
	s.scratch = s.encode(s.scratch[:0], e)
	if string(s.scratch[1:]) != string(one[1:]) || (s.scratch[0]^one[0])&^(isMarked|isDraining) != 0 {
		return false
	}
	s.count(one[0], -1)
	s.count(s.scratch[0], 1)
	one[0] = s.scratch[0]
	return true
}

// Learn has something else be what was learned of a destination that is here.
func (s *Store) Learn(dest int, learned []byte) {
	if r, ok := s.byDest(dest); ok {
		s.rewrite(r, learned, slices.Clone(r.rest))
	}
}

// Peek shows a destination without waking it.
func (s *Store) Peek(dest int) (learned []byte, endpoints []Endpoint, ok bool) {
	r, ok := s.byDest(dest)
	if !ok {
		return nil, nil, false
	}
	return slices.Clone(r.learned), s.all(r), true
}

// count books that an endpoint with such flags is here, or no more.
func (s *Store) count(flags byte, n int) {
	s.endpoints += n
	if flags&isDraining != 0 {
		s.draining += n
	}
	if flags&isMarked == s.mark {
		s.marked += n
	}
}

// rewrite puts other bytes into the place of a record's. Its old ids are found at
// the new one.
func (s *Store) rewrite(r record, learned, endpoints []byte) record {
	if c, off := &s.chunks[s.at], int(r.place&(chunkSize-1)); int(r.place>>chunkBits) == s.at && off+r.size == len(c.b) {
		// It is the last one: a list that names a destination's endpoints one behind the other leaves nothing dead.
		r.rest = slices.Clone(r.rest)
		c.b = c.b[:off]
		return s.move(r, learned, endpoints)
	}
	x := s.move(r, learned, endpoints)
	s.drop(r)
	if now, ok := s.byDest(r.dest); ok {
		return now // to drop the old one may have moved it once more
	}
	return x
}

// without are the endpoints of a record but one.
func without(b []byte, id string) (left []byte) {
	for len(b) > 0 {
		var one, name []byte
		if one, name, b = next(b); string(name) != id {
			left = append(left, one...)
		}
	}
	return left
}

// Remove takes an endpoint out. Its destination stays, with what was learned of
// it, until Forget.
func (s *Store) Remove(id string) (dest int, ok bool) {
	r, one, ok := s.byID(id)
	if !ok {
		return 0, false
	}
	s.ids.remove(s.nameHash(id), r.place)
	s.count(one[0], -1)
	s.rewrite(r, r.learned, without(r.rest, id))
	return r.dest, true
}

// Forget takes a destination out that has no endpoint, and reports whether it was
// one.
func (s *Store) Forget(dest int) bool {
	r, ok := s.byDest(dest)
	if !ok || len(r.rest) > 0 {
		return false
	}
	s.forget(r)
	return true
}

// Begin begins a whole list: what is not put until End is not in it.
func (s *Store) Begin() {
	s.mark ^= isMarked
	s.marked = s.endpoints - s.marked
}

// End takes out what the list did not name, and returns the destinations that
// have lost an endpoint, in the order of their records.
func (s *Store) End() (lost []int) {
	if s.marked == s.endpoints {
		return nil
	}
	type old struct {
		dest int
		id   string
	}
	var gone []old
	s.Each(func(dest int, _ []byte, rest []byte) {
		for b := rest; len(b) > 0; {
			var one, id []byte
			if one, id, b = next(b); one[0]&isMarked != s.mark {
				gone = append(gone, old{dest, string(id)})
			}
		}
	})
	for _, x := range gone {
		s.Remove(x.id)
		if len(lost) == 0 || lost[len(lost)-1] != x.dest {
			lost = append(lost, x.dest)
		}
	}
	return lost
}

// Each shows each destination with the bytes of its record, in their order. The
// store must not change meanwhile.
func (s *Store) Each(f func(dest int, learned, endpoints []byte)) {
	for at := range s.chunks {
		for off := 0; off < len(s.chunks[at].b); {
			r := s.read(uint32(at)<<chunkBits | uint32(off))
			off += r.size
			if !r.dead {
				f(r.dest, r.learned, r.rest)
			}
		}
	}
}

// All shows each destination.
func (s *Store) All(f func(dest int, learned []byte, endpoints []Endpoint)) {
	s.Each(func(dest int, learned, rest []byte) {
		f(dest, learned, s.all(record{rest: rest}))
	})
}
