package idlestore

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"troutusher/policy"
)

// mapModel is the store as plain maps.
type mapModel struct {
	state     map[int]string
	endpoints map[int][]Endpoint
	owner     map[string]int
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

func sortedByID(e []Endpoint) []Endpoint {
	e = slices.Clone(e)
	for i := range e {
		e[i].Unconfirmed = false
	}
	slices.SortFunc(e, func(a, b Endpoint) int { return bytes.Compare([]byte(a.ID), []byte(b.ID)) })
	return e
}

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
		t.Fatalf("%s: %d drain, want %d", where, s.Draining(), draining)
	}
	if s.Len() != len(m.state) || s.Endpoints() != len(m.owner) {
		t.Fatalf("%s: %d destinations, %d endpoints, want %d and %d",
			where, s.Len(), s.Endpoints(), len(m.state), len(m.owner))
	}
	seen := 0
	s.ForEach(func(dest int, state []byte, endpoints []Endpoint) {
		seen++
		if want, ok := m.state[dest]; !ok || want != string(state) {
			t.Fatalf("%s: %d has state %q, want %q (%v)", where, dest, state, want, ok)
		}
		if !slices.Equal(sortedByID(endpoints), sortedByID(m.endpoints[dest])) {
			t.Fatalf("%s: %d has %v, want %v", where, dest, endpoints, m.endpoints[dest])
		}
	})
	if seen != len(m.state) {
		t.Fatalf("%s: %d shown of %d", where, seen, len(m.state))
	}
	for id, dest := range m.owner {
		if d, ok := s.DestinationOf(id); !ok || d != dest {
			t.Fatalf("%s: %s is found at %d (%v), want %d", where, id, d, ok, dest)
		}
	}
}

// modelTest does the same to a store and to a model, drawn from a seed.
type modelTest struct {
	t      *testing.T
	rng    *rand.Rand
	store  *Store
	model  *mapModel
	listed map[string]bool // the ids that the list since BeginList has named; nil for no list
	where  string
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
		e.HostPort, e.Rate = "127.0.0.01:80", 0.25 // not as it would be written
	case 2:
		e.HostPort, e.Rate = "[::1]:80", 1e12
	}
	return e
}

// step does one thing.
func (m *modelTest) step(i int) {
	m.t.Helper()
	switch k := m.rng.IntN(100); {
	case k < 70:
		d, e := m.dest(), m.endpoint()
		m.store.PutEndpoint(d, &e)
		m.model.put(d, e)
		m.name(e)
	case k < 80:
		x := m.id()
		m.model.remove(x)
		m.store.RemoveEndpoint(x)
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

// name has the list name endpoints, if there is one.
func (m *modelTest) name(endpoints ...Endpoint) {
	for _, e := range endpoints {
		if m.listed != nil {
			m.listed[e.ID] = true
		}
	}
}

// reactivate takes a destination out and puts it back with another state.
func (m *modelTest) reactivate(fill byte) {
	m.t.Helper()
	d := m.dest()
	want, had := m.model.state[d]
	state, endpoints, ok := m.store.Activate(d)
	if ok != had || string(state) != want {
		m.t.Fatalf("%s: activated %v %q, want %v %q", m.where, ok, state, had, want)
	}
	if !ok {
		return
	}
	if m.store.Has(d) || !slices.Equal(sortedByID(endpoints), sortedByID(m.model.endpoints[d])) {
		m.t.Fatalf("%s: %d activated with %v, want %v", m.where, d, endpoints, m.model.endpoints[d])
	}
	m.model.state[d] = string(bytes.Repeat([]byte{fill}, m.rng.IntN(90)))
	m.store.Passivate(d, []byte(m.model.state[d]), endpoints)
	m.name(endpoints...)
}

func (m *modelTest) removeEmpty() {
	m.t.Helper()
	d := m.dest()
	_, had := m.model.state[d]
	empty := had && len(m.model.endpoints[d]) == 0
	if got := m.store.RemoveEmpty(d); got != empty {
		m.t.Fatalf("%s: removed %v, want %v", m.where, got, empty)
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
	lost := map[int]bool{}
	for id, d := range m.model.owner {
		if !m.listed[id] {
			lost[d] = true
			m.model.remove(id)
		}
	}
	for _, d := range m.store.EndList() {
		if !lost[d] {
			m.t.Fatalf("%s: %d has lost nothing", m.where, d)
		}
		delete(lost, d)
	}
	if len(lost) > 0 {
		m.t.Fatalf("%s: not told that %v have lost endpoints", m.where, lost)
	}
	m.listed = nil
}

// removeAll takes everything out, one by one.
func (m *modelTest) removeAll() {
	for id := range m.model.owner {
		m.model.remove(id)
		m.store.RemoveEndpoint(id)
	}
	for d := range m.model.state {
		m.store.RemoveEmpty(d)
	}
}

// Whatever is put, moved, taken out, activated and swept: the store is what plain
// maps are, and its dead bytes stay bounded.
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
		s.eachRecord(func(r record) { live += len(r.state) + len(r.endpoints) })
		if held := s.Bytes() - s.destIndex.memory() - s.idIndex.memory(); held > 3*live+2*chunkSize {
			t.Errorf("seed %d: %d bytes of chunks for %d that live", seed, held, live)
		}
		m.removeAll()
		if s.Len() != 0 || s.Endpoints() != 0 || s.destIndex.count != 0 || s.idIndex.count != 0 ||
			s.Bytes() > 2*chunkSize {
			t.Errorf("seed %d: left %d, %d, %d bytes", seed, s.Len(), s.Endpoints(), s.Bytes())
		}
	}
}

// A destination larger than a chunk, and addresses and names at their limits.
func TestLargeRecords(t *testing.T) {
	s := New()
	var eps []Endpoint
	for i := range 20_000 {
		eps = append(eps, Endpoint{ID: fmt.Sprintf("%0300d", i), HostPort: "127.0.0.1:1"})
	}
	s.Passivate(1, bytes.Repeat([]byte{1}, 3*chunkSize), eps)
	s.Passivate(2, nil, nil)
	if d, ok := s.DestinationOf(eps[19_999].ID); !ok || d != 1 {
		t.Fatalf("found at %d, %v", d, ok)
	}
	s.RemoveEndpoint(eps[0].ID)
	state, got, ok := s.Activate(1)
	if !ok || len(state) != 3*chunkSize || !slices.Equal(got, eps[1:]) {
		t.Fatalf("activated %v with %d endpoints", ok, len(got))
	}
	if !s.Has(2) || s.Endpoints() != 0 {
		t.Error("the other has gone")
	}
}

// Idle destinations are passivated in the order of their last use, only beyond the
// limit, and not before their timeout.
func TestActiveSet(t *testing.T) {
	r := NewActiveSet(Limits{MaxActive: 2, IdleTimeout: 60})
	for i := range 6 {
		r.Touch(i, policy.Time(i))
	}
	r.Touch(0, 10)
	r.Remove(4)
	r.Remove(9)
	if !r.Full() || !r.OverLimit() || r.Len() != 5 || r.Contains(4) || !r.Contains(0) {
		t.Errorf("%+v", r)
	}
	for _, x := range []struct {
		now   policy.Time
		most  int
		due   []int
		again policy.Time
	}{
		{60, 9, nil, 61},
		{61, 9, []int{1}, 62},
		{62, 1, []int{1}, 62},
		{70, 9, []int{1, 2, 3}, 0},
		{1000, 9, []int{1, 2, 3}, 0},
	} {
		if due, again := r.Idle(x.now, x.most, nil); !slices.Equal(due, x.due) || again != x.again {
			t.Errorf("at %d: %v, again at %d, want %v and %d", x.now, due, again, x.due, x.again)
		}
	}
	all := NewActiveSet(Limits{})
	for i := range 3000 {
		all.Touch(i, 0)
	}
	if due, again := all.Idle(1e12, 9, nil); all.Full() || all.OverLimit() || due != nil || again != 0 {
		t.Errorf("with no limit %v go", due)
	}
}
