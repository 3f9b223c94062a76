package idlestore

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"troutusher/policy"
)

// mapModel is a reference implementation of the store with plain maps.
type mapModel struct {
	state     map[int]string     // by destination
	endpoints map[int][]Endpoint // by destination
	owner     map[string]int     // destination by endpoint id
}

func (m *mapModel) remove(id string) {
	if d, ok := m.owner[id]; ok {
		m.endpoints[d] = slices.DeleteFunc(m.endpoints[d], func(e Endpoint) bool { return e.ID == id })
		delete(m.owner, id)
	}
}

func (m *mapModel) put(dest int, e Endpoint) {
	m.remove(e.ID)
	m.owner[e.ID] = dest
	m.endpoints[dest] = append(m.endpoints[dest], e)
	if _, ok := m.state[dest]; !ok {
		m.state[dest] = ""
	}
}

// sortedByID returns a sorted copy of endpoints in which all of them are confirmed.
func sortedByID(endpoints []Endpoint) []Endpoint {
	endpoints = slices.Clone(endpoints)
	for i := range endpoints {
		endpoints[i].Unconfirmed = false
	}
	slices.SortFunc(endpoints, func(a, b Endpoint) int { return bytes.Compare([]byte(a.ID), []byte(b.ID)) })
	return endpoints
}

// check compares the store with the model.
func (m *mapModel) check(t *testing.T, s *Store, where string) {
	t.Helper()
	draining := 0
	for _, list := range m.endpoints {
		for _, e := range list {
			if e.Draining {
				draining++
			}
		}
	}
	if s.Draining() != draining {
		t.Fatalf("%s: Draining() = %d, want %d", where, s.Draining(), draining)
	}
	if s.Len() != len(m.state) || s.Endpoints() != len(m.owner) {
		t.Fatalf("%s: Len(), Endpoints() = %d, %d, want %d, %d",
			where, s.Len(), s.Endpoints(), len(m.state), len(m.owner))
	}
	seen := 0
	s.ForEach(func(dest int, state []byte, endpoints []Endpoint) {
		seen++
		if want, ok := m.state[dest]; !ok || want != string(state) {
			t.Fatalf("%s: ForEach: state of destination %d = %q, want %q (in the model: %v)",
				where, dest, state, want, ok)
		}
		if !slices.Equal(sortedByID(endpoints), sortedByID(m.endpoints[dest])) {
			t.Fatalf("%s: ForEach: endpoints of destination %d = %v, want %v",
				where, dest, endpoints, m.endpoints[dest])
		}
	})
	if seen != len(m.state) {
		t.Fatalf("%s: ForEach made %d calls, want %d", where, seen, len(m.state))
	}
	for id, dest := range m.owner {
		if d, ok := s.DestinationOf(id); !ok || d != dest {
			t.Fatalf("%s: DestinationOf(%s) = %d, %v, want %d, true", where, id, d, ok, dest)
		}
	}
}

// modelTest applies the same random operations to a store and to a model.
type modelTest struct {
	t      *testing.T
	rng    *rand.Rand
	store  *Store
	model  *mapModel
	listed map[string]bool // ids in the list since BeginList; nil outside a list
	where  string          // seed and step, for failure messages
}

func newModelTest(t *testing.T, seed uint64) *modelTest {
	return &modelTest{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), store: New(),
		model: &mapModel{map[int]string{}, map[int][]Endpoint{}, map[string]int{}},
	}
}

func (m *modelTest) dest() int { return (m.rng.IntN(4000) - 50) * 7919 }

func (m *modelTest) id() string { return fmt.Sprint("s-", m.rng.IntN(9000)) }

func (m *modelTest) endpoint() Endpoint {
	e := Endpoint{
		ID:       m.id(),
		HostPort: fmt.Sprintf("127.0.%d.1:%d", m.rng.IntN(3), 7000+m.rng.IntN(5)),
		Flavor:   []string{"", "k", "r"}[m.rng.IntN(3)],
		Locality: "z",
		Draining: m.rng.IntN(4) == 0,
		Rate:     float64(m.rng.IntN(300)),
	}
	switch m.rng.IntN(8) {
	case 0:
		e.HostPort = "partner.example.org:443"
	case 1:
		e.HostPort, e.Rate = "127.0.0.01:80", 0.25 // not the text that decoding a packed address gives
	case 2:
		e.HostPort, e.Rate = "[::1]:80", 1e12
	}
	return e
}

// step applies one random operation.
func (m *modelTest) step(i int) {
	m.t.Helper()
	switch k := m.rng.IntN(100); {
	case k < 70:
		d, e := m.dest(), m.endpoint()
		m.store.PutEndpoint(d, &e)
		m.model.put(d, e)
		m.markListed(e)
	case k < 80:
		id := m.id()
		m.model.remove(id)
		m.store.RemoveEndpoint(id)
	case k < 90:
		m.reactivate(byte(i))
	case k < 92:
		if d := m.dest(); m.store.Has(d) {
			m.model.state[d] = string(bytes.Repeat([]byte{byte(i)}, m.rng.IntN(200)))
			m.store.SetState(d, []byte(m.model.state[d]))
		}
	case k < 95:
		m.removeEmpty()
	}
}

// markListed records that endpoints are in the current list, if there is one.
func (m *modelTest) markListed(endpoints ...Endpoint) {
	for _, e := range endpoints {
		if m.listed != nil {
			m.listed[e.ID] = true
		}
	}
}

// reactivate activates a destination and passivates it again with another state.
func (m *modelTest) reactivate(fill byte) {
	m.t.Helper()
	d := m.dest()
	want, had := m.model.state[d]
	state, endpoints, ok := m.store.Activate(d)
	if ok != had || string(state) != want {
		m.t.Fatalf("%s: Activate(%d) = %q, %v, want %q, %v", m.where, d, state, ok, want, had)
	}
	if !ok {
		return
	}
	if m.store.Has(d) || !slices.Equal(sortedByID(endpoints), sortedByID(m.model.endpoints[d])) {
		m.t.Fatalf("%s: Activate(%d): endpoints = %v, want %v, and the destination removed",
			m.where, d, endpoints, m.model.endpoints[d])
	}
	m.model.state[d] = string(bytes.Repeat([]byte{fill}, m.rng.IntN(90)))
	m.store.Passivate(d, []byte(m.model.state[d]), endpoints)
	m.markListed(endpoints...)
}

func (m *modelTest) removeEmpty() {
	m.t.Helper()
	d := m.dest()
	_, had := m.model.state[d]
	empty := had && len(m.model.endpoints[d]) == 0
	if got := m.store.RemoveEmpty(d); got != empty {
		m.t.Fatalf("%s: RemoveEmpty(%d) = %v, want %v", m.where, d, got, empty)
	}
	if empty {
		delete(m.model.state, d)
	}
}

func (m *modelTest) beginList() {
	m.store.BeginList()
	m.listed = map[string]bool{}
}

func (m *modelTest) endList() {
	m.t.Helper()
	want := map[int]bool{} // destinations that lose endpoints
	for id, d := range m.model.owner {
		if !m.listed[id] {
			want[d] = true
			m.model.remove(id)
		}
	}
	for _, d := range m.store.EndList() {
		if !want[d] {
			m.t.Fatalf("%s: EndList() contains destination %d, which lost no endpoint", m.where, d)
		}
		delete(want, d)
	}
	if len(want) > 0 {
		m.t.Fatalf("%s: EndList() lacks destinations %v, which lost endpoints", m.where, want)
	}
	m.listed = nil
}

// removeAll removes all endpoints and destinations, one by one.
func (m *modelTest) removeAll() {
	for id := range m.model.owner {
		m.model.remove(id)
		m.store.RemoveEndpoint(id)
	}
	for d := range m.model.state {
		m.store.RemoveEmpty(d)
	}
}

// Guards against endpoints or state that get lost or mixed up when records move between
// chunks. After random operations the store must equal a model of plain maps. The memory
// of dead records must stay bounded.
func TestStoreMatchesMapModel(t *testing.T) {
	for seed := range uint64(6) {
		m := newModelTest(t, seed)
		s := m.store
		for i := range 60_000 {
			m.where = fmt.Sprintf("seed %d, step %d", seed, i)
			m.step(i)
			switch i % 20_000 {
			case 5_000:
				m.beginList()
			case 15_000:
				m.endList()
			}
			if i%5_000 == 4_999 {
				m.model.check(t, s, m.where)
			}
		}
		live := 0
		s.forEachRecord(func(r record) { live += len(r.state) + len(r.endpoints) })
		if size := s.Bytes() - s.destIndex.memory() - s.idIndex.memory(); size > 3*live+2*chunkSize {
			t.Errorf("seed %d: chunks use %d bytes for %d live bytes, want at most %d",
				seed, size, live, 3*live+2*chunkSize)
		}
		m.removeAll()
		if s.Len() != 0 || s.Endpoints() != 0 || s.destIndex.count != 0 || s.idIndex.count != 0 ||
			s.Bytes() > 2*chunkSize {
			t.Errorf("seed %d: after removeAll: %d destinations, %d endpoints, %d bytes, want 0, 0, at most %d",
				seed, s.Len(), s.Endpoints(), s.Bytes(), 2*chunkSize)
		}
	}
}

// Guards against records that are larger than a chunk and would be truncated or not found.
func TestLargeRecords(t *testing.T) {
	s := New()
	var endpoints []Endpoint
	for i := range 20_000 {
		endpoints = append(endpoints, Endpoint{ID: fmt.Sprintf("%0300d", i), HostPort: "127.0.0.1:1"})
	}
	s.Passivate(1, bytes.Repeat([]byte{1}, 3*chunkSize), endpoints)
	s.Passivate(2, nil, nil)
	if d, ok := s.DestinationOf(endpoints[19_999].ID); !ok || d != 1 {
		t.Fatalf("DestinationOf(last endpoint) = %d, %v, want 1, true", d, ok)
	}
	s.RemoveEndpoint(endpoints[0].ID)
	state, got, ok := s.Activate(1)
	if !ok || len(state) != 3*chunkSize || !slices.Equal(got, endpoints[1:]) {
		t.Fatalf("Activate(1) = %d bytes of state, %d endpoints, %v, want %d, %d, true",
			len(state), len(got), ok, 3*chunkSize, len(endpoints)-1)
	}
	if !s.Has(2) || s.Endpoints() != 0 {
		t.Errorf("Has(2), Endpoints() = %v, %d, want true, 0", s.Has(2), s.Endpoints())
	}
}

// Guards against a destination that is passivated too early: Idle must return only
// destinations beyond the limit, after their idle timeout, the least recently used first.
func TestActiveSet(t *testing.T) {
	set := NewActiveSet(Limits{MaxActive: 2, IdleTimeout: 60})
	for i := range 6 {
		set.Touch(i, policy.Time(i))
	}
	set.Touch(0, 10)
	set.Remove(4)
	set.Remove(9)
	if !set.Full() || !set.OverLimit() || set.Len() != 5 || set.Contains(4) || !set.Contains(0) {
		t.Errorf("ActiveSet = %+v, want the destinations 0, 1, 2, 3 and 5, and more than the limit", set)
	}
	for _, c := range []struct {
		now         policy.Time
		limit       int
		idle        []int
		nextCheckAt policy.Time
	}{
		{60, 9, nil, 61},
		{61, 9, []int{1}, 62},
		{62, 1, []int{1}, 62},
		{70, 9, []int{1, 2, 3}, 0},
		{1000, 9, []int{1, 2, 3}, 0},
	} {
		if idle, at := set.Idle(c.now, c.limit, nil); !slices.Equal(idle, c.idle) || at != c.nextCheckAt {
			t.Errorf("Idle(%d, %d) = %v, %d, want %v, %d", c.now, c.limit, idle, at, c.idle, c.nextCheckAt)
		}
	}
	unlimited := NewActiveSet(Limits{})
	for i := range 3000 {
		unlimited.Touch(i, 0)
	}
	if idle, at := unlimited.Idle(1e12, 9, nil); unlimited.Full() || unlimited.OverLimit() || idle != nil || at != 0 {
		t.Errorf("Idle without a limit = %v, %d, want nil, 0", idle, at)
	}
}
