package scenario

import (
	"math"
	"reflect"
	"strings"
	"testing"

	"troutusher/internal/tomlfile"
)

const minimalScenario = `version = 1
name = "x"
length_s = 10
[traffic]
rate_per_s = 20
[[class]]
name = "a"
aim_ms = 100
deadline_ms = 1000
repeat = "safe"
[[class]]
name = "b"
share = 3
aim_ms = 100
deadline_ms = 1000
repeat = "keyed"
key_window_ms = 5000
[[partner]]
name = "p"
count = 3
endpoints = 2
capacity_per_s = 10
service_ms = { all = 50 }
[[partner]]
name = "q"
classes = ["a"]
capacity_per_s = 10
service_ms = { a = 50 }
[[fault]]
kind = "crash"
partner = "p-2"
at_s = 1
length_s = 2
`

// Guards against a scenario that ships with the program and cannot be used: one that does not parse, has
// another name than its file, or whose plan has next to no messages or faults.
func TestBuiltins(t *testing.T) {
	names := BuiltinNames()
	if len(names) < 4 {
		t.Fatalf("BuiltinNames() = %v, want at least 4 names", names)
	}
	for _, name := range names {
		s, err := Builtin(name)
		if err != nil {
			t.Errorf("Builtin(%q): %v", name, err)
			continue
		}
		if s.Name != name || s.About == "" {
			t.Errorf("Builtin(%q): name = %q, about = %q, want the same name and a description", name, s.Name, s.About)
		}
		p := s.Plan(s.Seed)
		if len(p.Arrivals) < 100 {
			t.Errorf("Builtin(%q): plan has %d arrivals, want at least 100", name, len(p.Arrivals))
		}
	}
	s, _ := Builtin("rush")
	p := s.Plan(s.Seed)
	if s.Relays.Count < 3 || len(p.Endpoints) < 20 || len(p.Faults) < 4 {
		t.Errorf("rush has %d relays, %d endpoints, %d faults, want at least 3, 20, 4",
			s.Relays.Count, len(p.Endpoints), len(p.Faults))
	}
	if _, err := Builtin("../rush"); err == nil {
		t.Error("Builtin(\"../rush\") = nil error, want an error: a path is not a name")
	}
}

// TestErrorsNameFileLineAndKey breaks the minimal scenario in one place at a time and checks that
// the error names the file, the line, the key and the reason.
func TestErrorsNameFileLineAndKey(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{"version = 1\n", "", "f.toml: version: missing"},
		{"version = 1", "version = 2", "f.toml:1: version: 2; this program reads version 1"},
		{"name = \"x\"", "name = \"\"", "f.toml:2: name: "},
		{"length_s = 10", "length_s = -1", "f.toml:3: length_s: -1, want "},
		{"length_s = 10", "length_s = nan", "f.toml:3: length_s: NaN"},
		{"length_s = 10", "length_s = \"ten\"", "f.toml:3: length_s"},
		{"length_s = 10", "lenght_s = 10", "f.toml:3: lenght_s: unknown key"},
		{"rate_per_s = 20", "rate_per_s = 1e99", "f.toml:5: traffic.rate_per_s: "},
		{"rate_per_s = 20", "rate_per_s = 20\nshape = \"square\"", "f.toml:6: traffic.shape: \"square\""},
		{
			"deadline_ms = 1000\nrepeat = \"safe\"", "deadline_ms = 1\nrepeat = \"safe\"",
			"f.toml:9: class[0].deadline_ms: 1, want 100",
		},
		{"repeat = \"safe\"", "repeat = \"often\"", "f.toml:10: class[0].repeat: "},
		{"key_window_ms = 5000", "", "f.toml:11: class[1].key_window_ms: 0, want "},
		{"name = \"b\"", "name = \"a\"", "f.toml:12: class[1].name: duplicate name \"a\""},
		{"name = \"p\"", "name = \"p,q\"", "f.toml:19: partner[0].name: "},
		{
			"capacity_per_s = 10\nservice_ms = { all", "capacity_per_s = 0\nservice_ms = { all",
			"f.toml:22: partner[0].capacity_per_s: 0, want ",
		},
		{"{ all = 50 }", "{ z = 50 }", "f.toml:23: partner[0].service_ms.z: no class"},
		{"{ all = 50 }", "{ a = 50 }", "f.toml:23: partner[0].service_ms: no service time for class \"b\""},
		{"count = 3", "count = 100000", "f.toml:20: partner[0].count: "},
		{"classes = [\"a\"]", "classes = [\"z\"]", "f.toml:26: partner[1].classes: no class \"z\""},
		{"classes = [\"a\"]", "classes = [\"a\"]\nlimit = \"rate\"", "f.toml:24: partner[1].limit_per_s: 0, want "},
		{
			"classes = [\"a\"]", "classes = [\"a\"]\nlimit = \"window\"\nlimit_per_s = 0.5",
			"every call would be rejected",
		},
		{"kind = \"crash\"", "kind = \"melt\"", "f.toml:30: fault[0].kind: \"melt\", want one of "},
		{"partner = \"p-2\"", "partner = \"p-9\"", "f.toml:31: fault[0].partner: no partner \"p-9\""},
		{"partner = \"p-2\"", "", "f.toml:29: fault[0].partner: crash needs a partner"},
		{"at_s = 1", "at_s = -1", "f.toml:32: fault[0].at_s: -1, want 0 to 10"},
		{"length_s = 2", "", "f.toml:29: fault[0].length_s: 0, want "},
		{"length_s = 2", "length_s = 2\nsize = 3", "f.toml:34: fault[0].size: crash has no size"},
		{"length_s = 2", "length_s = 2\nrelay = 1", "f.toml:34: fault[0].relay: crash does not affect relays"},
		{"[traffic]", "[traffic", "f.toml:4"},
		{"version = 1", "version = 1\nversion = 1", "f.toml:2"},
	} {
		text := strings.Replace(minimalScenario, c.old, c.new, 1)
		if text == minimalScenario {
			t.Fatalf("the minimal scenario does not contain %q", c.old)
		}
		if _, err := Parse("f.toml", []byte(text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("Parse with %q replaced by %q: error %v\nwant one that contains %q", c.old, c.new, err, c.want)
		}
	}
	if _, err := Parse("f.toml", make([]byte, tomlfile.MaxFileBytes+1)); err == nil {
		t.Error("Parse of a file above MaxFileBytes: no error")
	}
}

// Parse reports all errors of a file at once, not only the first.
func TestParseReportsEveryError(t *testing.T) {
	text := strings.NewReplacer(
		"length_s = 10", "length_s = -1", "repeat = \"safe\"", "repeat = \"x\"", "at_s = 1", "at_s = -1",
	).Replace(minimalScenario)
	_, err := Parse("f.toml", []byte(text))
	if n := strings.Count(err.Error(), "f.toml:"); n != 3 {
		t.Errorf("Parse reported %d errors, want 3: %v", n, err)
	}
}

// Text writes all defaults out. If it left a key out or wrote another value, the scenario that a
// recording holds would be replayed as a different one.
func TestTextParsesToSamePlan(t *testing.T) {
	for _, name := range BuiltinNames() {
		s, err := Builtin(name)
		if err != nil {
			t.Fatal(err)
		}
		text, err := s.Text()
		if err != nil {
			t.Fatal(err)
		}
		again, err := Parse("text", text)
		if err != nil {
			t.Fatalf("%s: Parse(Text()): %v", name, err)
		}
		p, q := s.Plan(3), again.Plan(3)
		if !reflect.DeepEqual(p.Arrivals, q.Arrivals) || !reflect.DeepEqual(p.Faults, q.Faults) ||
			!reflect.DeepEqual(p.Specs, q.Specs) ||
			!reflect.DeepEqual(p.Endpoints, q.Endpoints) || s.Rules != again.Rules || s.Clients != again.Clients {
			t.Errorf("%s: Parse(Text()) gives a different scenario or plan", name)
		}
	}
}

// A plan depends only on the scenario and the seed, and its arrivals have the shares of classes and
// partners that the scenario sets. Only arrivals of keyed classes have idempotency keys, each its own.
func TestPlan(t *testing.T) {
	s, err := Parse("f", []byte(minimalScenario))
	if err != nil {
		t.Fatal(err)
	}
	s.LengthS = 1000
	p, again, other := s.Plan(1), s.Plan(1), s.Plan(2)
	if !reflect.DeepEqual(p, again) || reflect.DeepEqual(p.Arrivals, other.Arrivals) {
		t.Error("Plan(1) twice differs, or Plan(1) and Plan(2) have the same arrivals")
	}
	classes, dests, keys := map[int]float64{}, map[int]float64{}, map[string]bool{}
	for i, a := range p.Arrivals {
		classes[a.Class]++
		dests[a.Destination]++
		if (a.Class == 1) != (a.Key != "") || keys[a.Key] && a.Key != "" || a.Class == 1 && a.Destination == 4 {
			t.Fatalf("arrival %d: %+v: want a unique key for class 1 only, and no class 1 for destination 4", i, a)
		}
		keys[a.Key] = true
		if err := a.Validate(p); err != nil {
			t.Fatalf("arrival %d: Validate: %v", i, err)
		}
		if i > 0 && a.At < p.Arrivals[i-1].At {
			t.Fatalf("arrival %d is earlier than arrival %d", i, i-1)
		}
	}
	total := float64(len(p.Arrivals))
	// A quarter of the messages is of class a, and half of those go to q. All others go to the
	// three partners p-1 to p-3.
	for _, share := range []struct {
		name      string
		got, want float64
	}{
		{"all arrivals", total, 20_000},
		{"class a", classes[0] / total, 0.25},
		{"q", dests[4] / total, 0.125},
		{"p-1", dests[1] / total, 0.875 / 3},
	} {
		if math.Abs(share.got/share.want-1) > 0.04 {
			t.Errorf("%s: got %v, want %v within 4%%", share.name, share.got, share.want)
		}
	}
	if f := p.Faults[0]; !reflect.DeepEqual(f.Endpoints, []int{2, 3}) || f.At != 1e6 || f.Until != 3e6 {
		t.Errorf("fault = %+v, want endpoints [2 3] from 1e6 to 3e6", f)
	}
	if err := p.Faults[0].Validate(p); err != nil {
		t.Errorf("Faults[0].Validate: %v", err)
	}
}

// Each traffic shape gives every quarter of a rehearsal its share of the average rate.
func TestShapesOfTraffic(t *testing.T) {
	s, _ := Parse("f", []byte(minimalScenario))
	s.LengthS, s.Traffic.RatePerS = 400, 50
	for _, c := range []struct {
		set    func(*Traffic)
		shares [4]float64 // arrivals in each quarter, relative to the average rate
	}{
		{func(t *Traffic) {}, [4]float64{1, 1, 1, 1}},
		{func(t *Traffic) { t.Shape, t.From, t.To = "ramp", 0, 2 }, [4]float64{0.25, 0.75, 1.25, 1.75}},
		{func(t *Traffic) { t.Shape, t.From, t.To = "rush", 1, 3 }, [4]float64{1, 2, 3, 2}},
		{
			func(t *Traffic) { t.Shape, t.Amplitude, t.PeriodS = "wave", 0.5, 400 },
			[4]float64{1.318, 1.318, 0.682, 0.682},
		},
		{func(t *Traffic) { t.BurstShare, t.BurstSize = 0.3, 5 }, [4]float64{1, 1, 1, 1}},
	} {
		shaped := *s
		c.set(&shaped.Traffic)
		var got [4]float64
		for _, a := range shaped.Plan(9).Arrivals {
			got[a.At/100_000_000]++
		}
		for i := range got {
			if math.Abs(got[i]/5000-c.shares[i]) > 0.08 {
				t.Errorf(
					"shape %s: quarter %d has %.2f of the average rate, want %.2f",
					shaped.Traffic.Shape,
					i,
					got[i]/5000,
					c.shares[i],
				)
			}
		}
	}
}

// A fault with a part affects that fraction of each partner's endpoints, and at least one.
func TestFaultAffectsPartOfEndpoints(t *testing.T) {
	s, _ := Parse(
		"f",
		[]byte(
			strings.Replace(
				strings.Replace(minimalScenario, "endpoints = 2", "endpoints = 10", 1), "partner = \"p-2\"",
				"partners = [\"p\", \"q\"]\npart = 0.3", 1,
			),
		),
	)
	p := s.Plan(4)
	if n := len(p.Faults[0].Endpoints); n != 10 { // 3 of the 10 endpoints of each of 3 partners p, and 1 of q
		t.Errorf("the fault affects %d endpoints %v, want 10", n, p.Faults[0].Endpoints)
	}
}

// FuzzParse checks that Parse does not panic on any input, and that the plan of every scenario that
// it accepts is valid.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalScenario))
	for _, name := range BuiltinNames() {
		text, _ := BuiltinText(name)
		f.Add(text)
	}
	f.Add([]byte("[[partner]]\n[partner.service_ms]\nall=1\n[[fault]]\nkind=\"x\"\nclass={a=1}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse("f", text)
		if err != nil {
			return
		}
		if s.Traffic.RatePerS*s.LengthS > 1000 {
			return
		}
		p := s.Plan(1)
		for i := range p.Arrivals {
			if err := p.Arrivals[i].Validate(p); err != nil {
				t.Fatalf("Arrivals[%d].Validate: %v", i, err)
			}
		}
		for i := range p.Faults {
			if err := p.Faults[i].Validate(p); err != nil {
				t.Fatalf("Faults[%d].Validate: %v", i, err)
			}
		}
	})
}
