package idlestore

// table finds places by the hash of a key. Several places may have one hash, and
// one place several: who asks looks at what lies there. It is cut into parts by
// the hash's upper bits, each of which grows by itself, a quarter at a time: so
// no insertion moves more than a small part, and little of it is ever empty.
type table struct {
	parts [partCount][]slot
	used  [partCount]int32
	count int
}

// slot is the lower half of a hash, and a place; 0 is an empty one, since no hash
// is 0 here.
type slot uint64

const (
	partBits     = 8
	partCount    = 1 << partBits
	maxLoad      = 0.85 // of a part, before it grows
	growthFactor = 1.25
	minPartSize  = 4
)

// partOf tells the part of a hash and its mark there.
func partOf(hash uint64) (part int, mark uint32) {
	return int(hash >> (64 - partBits)), max(uint32(hash), 1)
}

func (x slot) mark() uint32     { return uint32(x >> 32) }
func (x slot) position() uint32 { return uint32(x) }

// homeSlot is where a mark belongs among so many.
func homeSlot(mark uint32, size int) int { return int(uint64(mark) * uint64(size) >> 32) }

func (t *table) memory() int {
	n := 0
	for i := range t.parts {
		n += 8 * cap(t.parts[i])
	}
	return n
}

// forEach shows the places with a hash until f returns false. f may not change the
// table.
func (t *table) forEach(hash uint64, f func(place uint32) bool) {
	p, mark := partOf(hash)
	s := t.parts[p]
	if len(s) == 0 {
		return
	}
	for i := homeSlot(mark, len(s)); s[i] != 0; i = (i + 1) % len(s) {
		if s[i].mark() == mark && !f(s[i].position()) {
			return
		}
	}
}

// find tells where in its part a place with a hash stands.
func (t *table) find(hash uint64, place uint32) (int, bool) {
	p, mark := partOf(hash)
	s := t.parts[p]
	if len(s) == 0 {
		return 0, false
	}
	want := slot(mark)<<32 | slot(place)
	i := homeSlot(mark, len(s))
	for ; s[i] != 0; i = (i + 1) % len(s) {
		if s[i] == want {
			return i, true
		}
	}
	return 0, false
}

func (t *table) add(hash uint64, place uint32) {
	p, mark := partOf(hash)
	if float64(t.used[p]+1) > maxLoad*float64(len(t.parts[p])) {
		old := t.parts[p]
		t.parts[p] = make([]slot, max(minPartSize, int(float64(len(old))*growthFactor)+1))
		for _, x := range old {
			if x != 0 {
				insertSlot(t.parts[p], x)
			}
		}
	}
	insertSlot(t.parts[p], slot(mark)<<32|slot(place))
	t.used[p]++
	t.count++
}

func insertSlot(s []slot, x slot) {
	i := homeSlot(x.mark(), len(s))
	for s[i] != 0 {
		i = (i + 1) % len(s)
	}
	s[i] = x
}

// replace has a place that a hash leads to be another one.
func (t *table) replace(hash uint64, from, to uint32) {
	if i, ok := t.find(hash, from); ok {
		p, mark := partOf(hash)
		t.parts[p][i] = slot(mark)<<32 | slot(to)
	}
}

// remove takes a place out, and closes the gap, so that what was pushed on by it
// is found without a mark for what was here.
func (t *table) remove(hash uint64, place uint32) {
	i, ok := t.find(hash, place)
	if !ok {
		return
	}
	p, _ := partOf(hash)
	s := t.parts[p]
	for j := (i + 1) % len(s); s[j] != 0; j = (j + 1) % len(s) {
		h := homeSlot(s[j].mark(), len(s))
		if (j-h+len(s))%len(s) >= (j-i+len(s))%len(s) { // its home is not behind the gap
			s[i] = s[j]
			i = j
		}
	}
	s[i] = 0
	t.count--
	if t.used[p]--; t.used[p] == 0 {
		t.parts[p] = nil
	}
}
