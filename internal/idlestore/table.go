package idlestore

// table is a hash table of positions, with open addressing and linear probing. A hash can
// have several positions, because keys can have the same hash, so the caller must compare the
// record at a position with the key that it looks up. A position can have several hashes,
// because a record can contain several endpoints.
//
// The table is divided into parts by the upper bits of the hash. Each part grows on its
// own, by a quarter at a time, so that an insertion moves at most one small part and few
// slots are empty.
type table struct {
	parts [partCount][]slot
	used  [partCount]int32 // number of used slots in each part
	count int              // number of used slots in all parts
}

// slot combines a fingerprint, the lower 32 bits of a hash, with a position. An empty slot
// is 0, because no fingerprint is 0.
type slot uint64

const (
	partBits     = 8
	partCount    = 1 << partBits
	maxLoad      = 0.85 // share of used slots above which a part grows
	growthFactor = 1.25
	minPartSize  = 4
	slotSize     = 8 // bytes
)

// partOf returns the part that a hash belongs to, and its fingerprint in that part.
func partOf(hash uint64) (part int, fingerprint uint32) {
	return int(hash >> (64 - partBits)), max(uint32(hash), 1)
}

func newSlot(fingerprint uint32, at position) slot { return slot(fingerprint)<<32 | slot(at) }

func (x slot) fingerprint() uint32 { return uint32(x >> 32) }
func (x slot) position() position  { return position(x) }

// homeSlot returns the index at which probing for a fingerprint begins in a part of this
// size.
func homeSlot(fingerprint uint32, size int) int { return int(uint64(fingerprint) * uint64(size) >> 32) }

// memory returns the size in bytes of all slots, used and empty.
func (t *table) memory() int {
	slots := 0
	for i := range t.parts {
		slots += cap(t.parts[i])
	}
	return slotSize * slots
}

// forEach calls f for each position with a hash until f returns false. f must not change
// the table.
func (t *table) forEach(hash uint64, f func(at position) bool) {
	part, fingerprint := partOf(hash)
	s := t.parts[part]
	if len(s) == 0 {
		return
	}
	for i := homeSlot(fingerprint, len(s)); s[i] != 0; i = (i + 1) % len(s) {
		if s[i].fingerprint() == fingerprint && !f(s[i].position()) {
			return
		}
	}
}

// find returns the index of the slot with this hash and position in the part of the hash.
func (t *table) find(hash uint64, at position) (int, bool) {
	part, fingerprint := partOf(hash)
	s := t.parts[part]
	if len(s) == 0 {
		return 0, false
	}
	want := newSlot(fingerprint, at)
	i := homeSlot(fingerprint, len(s))
	for ; s[i] != 0; i = (i + 1) % len(s) {
		if s[i] == want {
			return i, true
		}
	}
	return 0, false
}

// add adds a position under a hash. It grows the part of the hash if needed.
func (t *table) add(hash uint64, at position) {
	part, fingerprint := partOf(hash)
	if float64(t.used[part]+1) > maxLoad*float64(len(t.parts[part])) {
		old := t.parts[part]
		t.parts[part] = make([]slot, max(minPartSize, int(float64(len(old))*growthFactor)+1))
		for _, x := range old {
			if x != 0 {
				insertSlot(t.parts[part], x)
			}
		}
	}
	insertSlot(t.parts[part], newSlot(fingerprint, at))
	t.used[part]++
	t.count++
}

// insertSlot writes a slot to the first empty index at or after its home slot.
func insertSlot(s []slot, x slot) {
	i := homeSlot(x.fingerprint(), len(s))
	for s[i] != 0 {
		i = (i + 1) % len(s)
	}
	s[i] = x
}

// replace replaces a position under a hash with another. It does nothing if the table does
// not have the first one.
func (t *table) replace(hash uint64, from, to position) {
	if i, ok := t.find(hash, from); ok {
		part, fingerprint := partOf(hash)
		t.parts[part][i] = newSlot(fingerprint, to)
	}
}

// remove removes a position under a hash. It moves slots that follow into the gap, so that
// probing needs no tombstones.
func (t *table) remove(hash uint64, at position) {
	i, ok := t.find(hash, at)
	if !ok {
		return
	}
	part, _ := partOf(hash)
	s := t.parts[part]
	for j := (i + 1) % len(s); s[j] != 0; j = (j + 1) % len(s) {
		home := homeSlot(s[j].fingerprint(), len(s))
		if (j-home+len(s))%len(s) >= (j-i+len(s))%len(s) { // probing from its home slot reaches the gap first
			s[i] = s[j]
			i = j
		}
	}
	s[i] = 0
	t.count--
	if t.used[part]--; t.used[part] == 0 {
		t.parts[part] = nil
	}
}
