package idlestore

// table is a hash table of positions, with open addressing and linear probing. Several
// positions may have the same hash, and a position several hashes: the caller compares
// the record at a position with its key.
//
// The table is divided into parts by the upper bits of the hash. Each part grows by
// itself, by a quarter at a time, so that an insertion moves a small part at most, and
// few slots are empty.
type table struct {
	parts [partCount][]slot
	used  [partCount]int32 // slots by part
	count int              // slots of all parts
}

// slot is a mark, which is the lower half of a hash, and a position. An empty slot is
// 0, since no mark is 0.
type slot uint64

const (
	partBits     = 8
	partCount    = 1 << partBits
	maxLoad      = 0.85 // used slots of a part before it grows
	growthFactor = 1.25
	minPartSize  = 4
	slotSize     = 8 // bytes
)

// partOf returns the part that a hash belongs to, and its mark in that part.
func partOf(hash uint64) (part int, mark uint32) {
	return int(hash >> (64 - partBits)), max(uint32(hash), 1)
}

func newSlot(mark uint32, at position) slot { return slot(mark)<<32 | slot(at) }

func (x slot) mark() uint32       { return uint32(x >> 32) }
func (x slot) position() position { return position(x) }

// homeSlot returns the slot at which probing for a mark begins, in a part of this size.
func homeSlot(mark uint32, size int) int { return int(uint64(mark) * uint64(size) >> 32) }

// memory returns the size of the slots in bytes.
func (t *table) memory() int {
	slots := 0
	for i := range t.parts {
		slots += cap(t.parts[i])
	}
	return slotSize * slots
}

// forEach calls f for the positions with a hash, until f returns false. f must not
// change the table.
func (t *table) forEach(hash uint64, f func(at position) bool) {
	part, mark := partOf(hash)
	s := t.parts[part]
	if len(s) == 0 {
		return
	}
	for i := homeSlot(mark, len(s)); s[i] != 0; i = (i + 1) % len(s) {
		if s[i].mark() == mark && !f(s[i].position()) {
			return
		}
	}
}

// find returns the index, in its part, of the slot with a hash and a position.
func (t *table) find(hash uint64, at position) (int, bool) {
	part, mark := partOf(hash)
	s := t.parts[part]
	if len(s) == 0 {
		return 0, false
	}
	want := newSlot(mark, at)
	i := homeSlot(mark, len(s))
	for ; s[i] != 0; i = (i + 1) % len(s) {
		if s[i] == want {
			return i, true
		}
	}
	return 0, false
}

// add adds a position under a hash.
func (t *table) add(hash uint64, at position) {
	part, mark := partOf(hash)
	if float64(t.used[part]+1) > maxLoad*float64(len(t.parts[part])) {
		old := t.parts[part]
		t.parts[part] = make([]slot, max(minPartSize, int(float64(len(old))*growthFactor)+1))
		for _, x := range old {
			if x != 0 {
				insertSlot(t.parts[part], x)
			}
		}
	}
	insertSlot(t.parts[part], newSlot(mark, at))
	t.used[part]++
	t.count++
}

func insertSlot(s []slot, x slot) {
	i := homeSlot(x.mark(), len(s))
	for s[i] != 0 {
		i = (i + 1) % len(s)
	}
	s[i] = x
}

// replace replaces a position under a hash.
func (t *table) replace(hash uint64, from, to position) {
	if i, ok := t.find(hash, from); ok {
		part, mark := partOf(hash)
		t.parts[part][i] = newSlot(mark, to)
	}
}

// remove removes a position under a hash. It moves the slots that follow into the gap,
// so that no tombstone is needed.
func (t *table) remove(hash uint64, at position) {
	i, ok := t.find(hash, at)
	if !ok {
		return
	}
	part, _ := partOf(hash)
	s := t.parts[part]
	for j := (i + 1) % len(s); s[j] != 0; j = (j + 1) % len(s) {
		h := homeSlot(s[j].mark(), len(s))
		if (j-h+len(s))%len(s) >= (j-i+len(s))%len(s) { // its home slot is not behind the gap
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
