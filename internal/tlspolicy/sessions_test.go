package tlspolicy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Compares the cache with a slice as its model, in random operations. Guards against a
// session that is returned twice, for another identity, after it has expired or before a
// newer one, against a cache above its bounds, and against sessions that DropRule misses.
func TestSessionCache(t *testing.T) {
	type entry struct {
		identity SessionIdentity
		session  int
		until    time.Time
	}
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 9))
		capacity := rng.IntN(30)
		s := NewSessionCache[int](capacity)
		var model []entry // oldest first
		now := noon
		ids := []SessionIdentity{}
		for i := range 6 {
			ids = append(ids, SessionIdentity{i % 3, []string{"pay", "shop"}[i%2], [32]byte{byte(i)}})
		}
		next := 0
		for range 400 {
			now = now.Add(time.Duration(rng.IntN(600)) * time.Second)
			identity := ids[rng.IntN(len(ids))]
			switch rng.IntN(8) {
			case 0, 1, 2, 3:
				next++
				verifiedUntil := now.Add(time.Duration(rng.IntN(40)-2) * time.Hour)
				until := now.Add(12 * time.Hour)
				if verifiedUntil.Before(until) {
					until = verifiedUntil
				}
				s.Put(identity, next, now, verifiedUntil)
				if capacity == 0 || !now.Before(until) {
					break
				}
				count, first := 0, -1
				for i, e := range model {
					if e.identity == identity {
						if count++; first < 0 {
							first = i
						}
					}
				}
				if count >= maxSessionsPerIdentity {
					model = append(model[:first], model[first+1:]...)
				}
				if len(model) >= capacity {
					model = model[1:]
				}
				model = append(model, entry{identity, next, until})
			case 4, 5, 6:
				want, ok := 0, false
				for i := len(model) - 1; i >= 0 && !ok; i-- {
					if model[i].identity != identity {
						continue
					}
					if now.Before(model[i].until) {
						want, ok = model[i].session, true
					}
					model = append(model[:i], model[i+1:]...)
				}
				if s.Has(identity, now) != ok {
					t.Fatalf("seed %d: Has(%v) = %v, want %v", seed, identity, !ok, ok)
				}
				got, _, found := s.Take(identity, now)
				if found != ok || got != want {
					t.Fatalf("seed %d: Take(%v) = %d, %v, want %d, %v", seed, identity, got, found, want, ok)
				}
			case 7:
				rule := []string{"pay", "shop", "none"}[rng.IntN(3)]
				s.DropRule(rule)
				kept := model[:0]
				for _, e := range model {
					if e.identity.Rule != rule {
						kept = append(kept, e)
					}
				}
				model = kept
			}
			if s.Len() != len(model) || s.Len() > capacity {
				t.Fatalf("seed %d: Len() = %d, want %d, and at most %d", seed, s.Len(), len(model), capacity)
			}
		}
	}
}

// Guards against a session that is offered after a change of the settings that it was
// verified with: a change of any of them must change the identity.
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
		"unchanged":           identity(1, "roots", "own"),
		"another destination": identity(2, "roots", "own"),
		"another rule":        identity(1, "roots", "own", ruleName("shop")),
		"another server name": identity(1, "roots", "own", serverName("pay.example.com")),
		"other roots":         identity(1, "root", "own"),
		"another certificate": identity(1, "roots", "ow"),
		"no certificate":      identity(1, "roots", ""),
		"no pins":             identity(1, "roots", "own", pins()),
		"other pins":          identity(1, "roots", "own", pins(a, Pin{2})),
		"a byte moved from the roots to the server name": identity(1, "oots", "own", serverName("pay.example.orgr")),
	} {
		if other, ok := seen[id]; ok {
			t.Errorf("%s: SessionIdentity equals that of %s, want another", name, other)
		}
		seen[id] = name
	}
}

// Guards against a rule by flavour that takes precedence over one by number, and against
// two rules for the same destination or flavour.
func TestRuleSelector(t *testing.T) {
	s, err := NewRuleSelector([]RuleTarget{{"chains", nil, []string{"lanac"}}, {"pay", []int{3, 4}, nil}})
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		dest   int
		flavor string
		want   int
		ok     bool
	}{{3, "lanac", 1, true}, {3, "", 1, true}, {5, "lanac", 0, true}, {5, "shop", 0, false}} {
		if got, ok := s.Find(test.dest, test.flavor); ok != test.ok || ok && got != test.want {
			t.Errorf("Find(%d, %q) = %d, %v, want %d, %v", test.dest, test.flavor, got, ok, test.want, test.ok)
		}
	}
	for name, targets := range map[string][]RuleTarget{
		"no destination and no flavour": {{"a", nil, nil}},
		"same number in two rules":      {{"a", []int{1}, nil}, {"b", []int{2, 1}, nil}},
		"same flavour in two rules":     {{"a", nil, []string{"x"}}, {"b", nil, []string{"x"}}},
		"same number twice in one rule": {{"a", []int{1, 1}, nil}},
	} {
		if _, err := NewRuleSelector(targets); err == nil {
			t.Errorf("%s: NewRuleSelector = nil error, want an error", name)
		}
	}
	if _, ok := (*RuleSelector)(nil).Find(1, "x"); ok {
		t.Error("Find on a nil selector = true, want false")
	}
}

// Guards against a call that is repeated though the endpoint may have executed it, and
// against an alert with the wrong consequence: only alerts about identities or parameters
// may reject an endpoint.
func TestAlerts(t *testing.T) {
	if ExecutionAfter(HandshakeOnly) != NeverRan || ExecutionAfter(PartlySent) != NeverRan ||
		ExecutionAfter(FullySent) != MayHaveRun {
		t.Errorf("ExecutionAfter(HandshakeOnly, PartlySent, FullySent) = %d, %d, %d, want %d, %d, %d",
			ExecutionAfter(HandshakeOnly), ExecutionAfter(PartlySent), ExecutionAfter(FullySent),
			NeverRan, NeverRan, MayHaveRun)
	}
	rejects := map[uint8]bool{42: true, 43: true, 44: true, 45: true, 46: true, 48: true, 49: true, 116: true}
	noCommon := map[uint8]bool{40: true, 70: true, 71: true, 112: true, 120: true}
	for code := range 256 {
		cause, ok := CauseOfAlert(uint8(code))
		want := FailureCause(0)
		if rejects[uint8(code)] {
			want = ClientCertificateRejected
		} else if noCommon[uint8(code)] {
			want = NoCommonParameters
		}
		if cause != want || ok != (want != 0) {
			t.Errorf("CauseOfAlert(%d) = %v, %v, want %v, %v", code, cause, ok, want, want != 0)
		}
	}
}
