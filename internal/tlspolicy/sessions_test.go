package tlspolicy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Against a plain list: a session is given out once, under its own identity and
// before its end, the newest first; no bound is passed; trust that changes takes
// its sessions with it.
func TestSessionCache(t *testing.T) {
	type entry struct {
		of    SessionIdentity
		what  int
		until time.Time
	}
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 9))
		most := rng.IntN(30)
		s := NewSessionCache[int](most)
		var model []entry // the oldest first
		now := noon
		ids := []SessionIdentity{}
		for i := range 6 {
			ids = append(ids, SessionIdentity{i % 3, []string{"pay", "shop"}[i%2], [32]byte{byte(i)}})
		}
		next := 0
		for range 400 {
			now = now.Add(time.Duration(rng.IntN(600)) * time.Second)
			of := ids[rng.IntN(len(ids))]
			switch rng.IntN(8) {
			case 0, 1, 2, 3:
				next++
				proof := now.Add(time.Duration(rng.IntN(40)-2) * time.Hour)
				until := now.Add(12 * time.Hour)
				if proof.Before(until) {
					until = proof
				}
				s.Put(of, next, now, proof)
				if most == 0 || !now.Before(until) {
					break
				}
				n, first := 0, -1
				for i, e := range model {
					if e.of == of {
						if n++; first < 0 {
							first = i
						}
					}
				}
				if n >= maxSessionsPerIdentity {
					model = append(model[:first], model[first+1:]...)
				}
				if len(model) >= most {
					model = model[1:]
				}
				model = append(model, entry{of, next, until})
			case 4, 5, 6:
				want, ok := 0, false
				for i := len(model) - 1; i >= 0 && !ok; i-- {
					if model[i].of != of {
						continue
					}
					if now.Before(model[i].until) {
						want, ok = model[i].what, true
					}
					model = append(model[:i], model[i+1:]...)
				}
				if s.Has(of, now) != ok {
					t.Fatalf("seed %d: has %v, want %v", seed, !ok, ok)
				}
				got, _, found := s.Take(of, now)
				if found != ok || got != want {
					t.Fatalf("seed %d: %d %v, want %d %v", seed, got, found, want, ok)
				}
			case 7:
				rule := []string{"pay", "shop", "none"}[rng.IntN(3)]
				s.DropRule(rule)
				kept := model[:0]
				for _, e := range model {
					if e.of.Rule != rule {
						kept = append(kept, e)
					}
				}
				model = kept
			}
			if s.Len() != len(model) || s.Len() > most {
				t.Fatalf("seed %d: %d kept, want %d of %d at most", seed, s.Len(), len(model), most)
			}
		}
	}
}

// Whatever differs in what is proved or shown, the identity differs: no session
// crosses from one to another.
func TestSessionIdentitiesDiffer(t *testing.T) {
	root := issue(t, nil, nil, authorityTemplate)
	a, b := PinOf(root.Certificate), Pin{1}
	identity := func(dest int, roots, own string, changes ...func(*Rule)) SessionIdentity {
		r := &Rule{Name: "pay", ServerName: "pay.example.org", Pins: []Pin{a, b}}
		for _, change := range changes {
			change(r)
		}
		var certificateSum []byte
		if own != "" {
			certificateSum = []byte(own)
		}
		return r.SessionIdentity(dest, []byte(roots), certificateSum)
	}
	serverName := func(name string) func(*Rule) { return func(r *Rule) { r.ServerName = name } }
	pins := func(pins ...Pin) func(*Rule) { return func(r *Rule) { r.Pins = pins } }
	ruleName := func(name string) func(*Rule) { return func(r *Rule) { r.Name = name } }
	seen := map[SessionIdentity]string{}
	for name, id := range map[string]SessionIdentity{
		"as it is":            identity(1, "roots", "own"),
		"another destination": identity(2, "roots", "own"),
		"another rule":        identity(1, "roots", "own", ruleName("shop")),
		"another server name": identity(1, "roots", "own", serverName("pay.example.com")),
		"other roots":         identity(1, "root", "own"),
		"another certificate": identity(1, "roots", "ow"),
		"no certificate":      identity(1, "roots", ""),
		"no pins":             identity(1, "roots", "own", pins()),
		"other pins":          identity(1, "roots", "own", pins(a, Pin{2})),
		"a byte that moved":   identity(1, "oots", "own", serverName("pay.example.orgr")),
	} {
		if other, ok := seen[id]; ok {
			t.Errorf("%s: the same identity as %s", name, other)
		}
		seen[id] = name
	}
}

// A destination named by number comes before its flavour, and no two rules claim
// the same.
func TestRuleSelector(t *testing.T) {
	s, err := NewRuleSelector([]RuleTarget{{"chains", nil, []string{"lanac"}}, {"pay", []int{3, 4}, nil}})
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct {
		dest   int
		flavor string
		want   int
		ok     bool
	}{{3, "lanac", 1, true}, {3, "", 1, true}, {5, "lanac", 0, true}, {5, "shop", 0, false}} {
		if got, ok := s.Find(x.dest, x.flavor); ok != x.ok || ok && got != x.want {
			t.Errorf("%d %q: rule %d %v, want %d %v", x.dest, x.flavor, got, ok, x.want, x.ok)
		}
	}
	for name, bad := range map[string][]RuleTarget{
		"nobody named":      {{"a", nil, nil}},
		"a number twice":    {{"a", []int{1}, nil}, {"b", []int{2, 1}, nil}},
		"a flavour twice":   {{"a", nil, []string{"x"}}, {"b", nil, []string{"x"}}},
		"twice in one rule": {{"a", []int{1, 1}, nil}},
	} {
		if _, err := NewRuleSelector(bad); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	if _, ok := (*RuleSelector)(nil).Find(1, "x"); ok {
		t.Error("without rules a destination has one")
	}
}

// What was sent decides what may have run, and no alert's name does; those that
// tell of who we are put an endpoint out, accidents do not.
func TestAlerts(t *testing.T) {
	if ExecutionAfter(HandshakeOnly) != NeverRan || ExecutionAfter(PartlySent) != NeverRan ||
		ExecutionAfter(FullySent) != MayHaveRun {
		t.Error("what an end proves")
	}
	refuses := map[uint8]bool{42: true, 43: true, 44: true, 45: true, 46: true, 48: true, 49: true, 116: true}
	nothing := map[uint8]bool{40: true, 70: true, 71: true, 112: true, 120: true}
	for code := range 256 {
		c, ok := CauseOfAlert(uint8(code))
		want := FailureCause(0)
		if refuses[uint8(code)] {
			want = ClientCertificateRejected
		} else if nothing[uint8(code)] {
			want = NoCommonParameters
		}
		if c != want || ok != (want != 0) {
			t.Errorf("alert %d: %v %v, want %v", code, c, ok, want)
		}
	}
}
