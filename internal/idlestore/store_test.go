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
	for _, eps := range m.endpoints {
		for _, e := range eps {
			if e.Draining {
				draining++
			}
		}
	}
	if s.Draining() != draining {
		t.Fatalf("%s: %d drain, want %d", where, s.Draining(), draining)
	}
	if s.Len() != len(m.state) || s.Endpoints() != len(m.owner) {
		t.Fatalf("%s: %d destinations, %d endpoints, want %d and %d", where, s.Len(), s.Endpoints(), len(m.state), len(m.owner))
	}
	seen := 0
	s.ForEach(func(dest int, learned []byte, eps []Endpoint) {
		seen++
		if want, ok := m.state[dest]; !ok || want != string(learned) {
			t.Fatalf("%s: %d learned %q, want %q (%v)", where, dest, learned, want, ok)
		}
		if !slices.Equal(sortedByID(eps), sortedByID(m.endpoints[dest])) {
			t.Fatalf("%s: %d has %v, want %v", where, dest, eps, m.endpoints[dest])
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

// Whatever is put, moved, taken out, woken and swept: the store is what plain maps
// are, and its dead bytes stay bounded.
func TestStoreMatchesMapModel(t *testing.T) {
	for seed := range uint64(6) {
		rng := rand.New(rand.NewPCG(seed, 7))
		s, m := New(), &mapModel{map[int]string{}, map[int][]Endpoint{}, map[string]int{}}
		dest := func() int { return (rng.IntN(4000) - 50) * 7919 }
		id := func() string { return fmt.Sprint("s-", rng.IntN(9000)) }
		endpoint := func() Endpoint {
			e := Endpoint{ID: id(), HostPort: fmt.Sprintf("127.0.%d.1:%d", rng.IntN(3), 7000+rng.IntN(5)), Flavor: []string{"", "k", "r"}[rng.IntN(3)],
				Locality: "z", Draining: rng.IntN(4) == 0, Size: float64(rng.IntN(300))}
			switch rng.IntN(8) {
			case 0:
				e.HostPort = "partner.example.org:443"
			case 1:
				e.HostPort, e.Size = "127.0.0.01:80", 0.25 // not as it would be written
			case 2:
				e.HostPort, e.Size = "[::1]:80", 1e12
			}
			return e
		}
		whole := map[string]bool(nil) // the ids that the list under way has named
		for i := range 60_000 {
			switch k := rng.IntN(100); {
			case k < 70:
				d, e := dest(), endpoint()
				s.PutEndpoint(d, &e)
				m.put(d, e)
				if whole != nil {
					whole[e.ID] = true
				}
			case k < 80:
				x := id()
				m.remove(x)
				s.RemoveEndpoint(x)
			case k < 90: // woken, and asleep again with what was learned
				d := dest()
				_, had := m.state[d]
				learned, eps, ok := s.Activate(d)
				if ok != had || string(learned) != m.state[d] {
					t.Fatalf("seed %d, %d: woke %v %q, want %v %q", seed, i, ok, learned, had, m.state[d])
				}
				if ok {
					if s.Has(d) || !slices.Equal(sortedByID(eps), sortedByID(m.endpoints[d])) {
						t.Fatalf("seed %d, %d: %d woke with %v, want %v", seed, i, d, eps, m.endpoints[d])
					}
					m.state[d] = string(bytes.Repeat([]byte{byte(i)}, rng.IntN(90)))
					s.Passivate(d, []byte(m.state[d]), eps)
					for _, e := range eps {
						if whole != nil {
							whole[e.ID] = true
						}
					}
				}
			case k < 92:
				if d := dest(); s.Has(d) {
					m.state[d] = string(bytes.Repeat([]byte{byte(i)}, rng.IntN(200)))
					s.SetState(d, []byte(m.state[d]))
				}
			case k < 95:
				d := dest()
				_, had := m.state[d]
				empty := had && len(m.endpoints[d]) == 0
				if got := s.RemoveEmpty(d); got != empty {
					t.Fatalf("seed %d, %d: forgot %v, want %v", seed, i, got, empty)
				}
				if empty {
					delete(m.state, d)
				}
			}
			if i%20_000 == 5_000 {
				s.BeginList()
				whole = map[string]bool{}
			}
			if i%20_000 == 15_000 {
				lost := map[int]bool{}
				for x, d := range m.owner {
					if !whole[x] {
						lost[d] = true
						m.remove(x)
					}
				}
				got := s.EndList()
				for _, d := range got {
					if !lost[d] {
						t.Fatalf("seed %d: %d has lost nothing", seed, d)
					}
					delete(lost, d)
				}
				if len(lost) > 0 {
					t.Fatalf("seed %d: not told that %v have lost endpoints", seed, lost)
				}
				whole = nil
			}
			if i%5_000 == 4_999 {
				m.check(t, s, fmt.Sprintf("seed %d, step %d", seed, i))
			}
		}
		live := 0
		s.eachRecord(func(_ int, learned, rest []byte) { live += len(learned) + len(rest) })
		if held := s.Bytes() - s.destIndex.memory() - s.idIndex.memory(); held > 3*live+2*chunkSize {
			t.Errorf("seed %d: %d bytes of chunks for %d that live", seed, held, live)
		}
		for len(m.owner) > 0 { // until nothing is left
			for x := range m.owner {
				m.remove(x)
				s.RemoveEndpoint(x)
			}
		}
		for d := range m.state {
			s.RemoveEmpty(d)
		}
		if s.Len() != 0 || s.Endpoints() != 0 || s.destIndex.count != 0 || s.idIndex.count != 0 || s.Bytes() > 2*chunkSize {
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
	learned, got, ok := s.Activate(1)
	if !ok || len(learned) != 3*chunkSize || !slices.Equal(got, eps[1:]) {
		t.Fatalf("woke %v with %d endpoints", ok, len(got))
	}
	if !s.Has(2) || s.Endpoints() != 0 {
		t.Error("the other has gone")
	}
}

// Who has been quiet for longest goes first, beyond the limit alone, and not
// before its time.
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
	}{{60, 9, nil, 61}, {61, 9, []int{1}, 62}, {62, 1, []int{1}, 62}, {70, 9, []int{1, 2, 3}, 0}, {1000, 9, []int{1, 2, 3}, 0}} {
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
