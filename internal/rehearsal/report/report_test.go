package report

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"math"
	"reflect"
	"strings"
	"testing"

	"github.com/HdrHistogram/hdrhistogram-go"

	"troutusher/internal/rehearsal/checker"
	"troutusher/internal/rehearsal/loadgen"
	"troutusher/internal/rehearsal/replay"
	"troutusher/internal/rehearsal/runner"
	"troutusher/internal/rehearsal/scenario"
)

const scenarioText = `version = 1
name = "x"
about = "<b>bold</b> & more"
length_s = 20
floor = 0.5
late_ms = 40
[traffic]
rate_per_s = 10
[[class]]
name = "a"
aim_ms = 1000
deadline_ms = 3000
late_worth = 0.5
repeat = "safe"
[[class]]
name = "b"
worth = 4
aim_ms = 1000
deadline_ms = 3000
repeat = "unsafe"
[[partner]]
name = "p"
count = 2
capacity_per_s = 10
service_ms = { all = 50 }
[[fault]]
kind = "crash"
partner = "p-1"
at_s = 3
length_s = 4
[[fault]]
kind = "relay_kill"
at_s = 5
`

// testOutcome is a rehearsal of five messages in its first seconds and one in its
// last.
func testOutcome(t testing.TB) *runner.Outcome {
	t.Helper()
	s, err := scenario.Parse("x", []byte(scenarioText))
	if err != nil {
		t.Fatal(err)
	}
	p := s.Plan(1)
	p.Arrivals = []scenario.Arrival{
		{At: 0, Destination: 1},
		{At: 1e6, Destination: 1},
		{At: 2e6, Destination: 2, Class: 1},
		{At: 3e6, Destination: 2},
		{At: 3e6, Destination: 1},
		{At: 19e6, Destination: 2},
	}
	h := hdrhistogram.New(1, 1e9, 3)
	if err := h.RecordValue(1500); err != nil {
		t.Fatal(err)
	}
	return &runner.Outcome{
		Plan:             p,
		Calls:            make([]runner.CallCounts, 2),
		ReplyLatency:     h,
		DeliveryLatency:  h,
		DriverLateness:   2000,
		EmulatorLateness: 1000,
		MemoryKB:         []int{10240},
		Results: []loadgen.Result{
			{Outcome: loadgen.Delivered, Elapsed: 500_000, Submissions: 1},
			{Outcome: loadgen.Delivered, Elapsed: 2e6, Submissions: 2, Rejections: 1},
			{Outcome: loadgen.Delivered, Elapsed: 1e6, Submissions: 1},
			{Outcome: loadgen.Rejected, Submissions: 3, Rejections: 3},
			{Outcome: loadgen.Failed, Submissions: 1},
			{Outcome: loadgen.Delivered, Elapsed: 1e6, Submissions: 1},
		},
	}
}

var testEnvironment = replay.Environment{Release: "r", Go: "go", System: "s", Cores: 2}

func assertNear(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-9 {
		t.Errorf("%s: %v, want %v", what, got, want)
	}
}

func TestFigures(t *testing.T) {
	r := New(testOutcome(t), testEnvironment)
	assertNear(t, "asked", r.Service.WeightAsked, 9)
	assertNear(t, "earned", r.Service.WeightDelivered, 1+0.75+4+1)
	assertNear(t, "service", r.Service.ServiceRatio, 6.75/9)
	assertNear(t, "class a", r.Classes[0].ServiceRatio, 2.75/5)
	assertNear(t, "class b", r.Classes[1].ServiceRatio, 1)
	assertNear(t, "partner 1", r.Partners[0].ServiceRatio, 1.75/3)
	assertNear(t, "worst 10 s", r.WorstWindow.ServiceRatio, 0) // from the fourth second on: two messages, both lost
	if r.WorstWindow.FromS != 3 {
		t.Errorf("worst from %d s on", r.WorstWindow.FromS)
	}
	s := r.Service
	if s.Messages != 6 || s.Submissions != 9 || s.Rejections != 4 || s.Delivered != 4 || s.Rejected != 1 ||
		s.Failed != 1 {
		t.Errorf("%+v", s)
	}
	if r.Verdict != VerdictPassed || r.ViolationCount() != 0 {
		t.Errorf("%s: %v", r.Verdict, r.Reasons)
	}
}

func TestVerdicts(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*runner.Outcome)
		want   string
		why    string
	}{
		{"a broken rule", func(o *runner.Outcome) {
			o.Violations = []checker.Violation{
				{Rule: checker.RuleAtMostOnce, At: 7e6, ID: "m", Message: 2, Evidence: "why"},
			}
		}, VerdictFailed, "1 broken rules"},
		{
			"a crash", func(o *runner.Outcome) { o.RelayFailures = []string{"relay 1 ended by itself"} }, VerdictFailed,
			"ended by itself",
		},
		{
			"under the floor", func(o *runner.Outcome) { o.Results[2].Outcome = loadgen.Failed }, VerdictFailed,
			"under the floor",
		},
		{
			"a driver that was late", func(o *runner.Outcome) { o.DriverLateness = 41_000 }, VerdictInvalid,
			"load driver was 41.0 ms late",
		},
		{
			"stand-ins that were late", func(o *runner.Outcome) { o.EmulatorLateness = 41_000 }, VerdictInvalid,
			"stand-ins were 41.0 ms late",
		},
		{"trouble in the kit", func(o *runner.Outcome) { o.KitErrors = []string{"a port"} }, VerdictInvalid, "a port"},
		{
			"void comes before failed",
			func(o *runner.Outcome) { o.DriverLateness, o.RelayFailures = 41_000, []string{"x"} },
			VerdictInvalid, "late",
		},
	} {
		o := testOutcome(t)
		c.change(o)
		r := New(o, testEnvironment)
		if r.Verdict != c.want || !strings.Contains(strings.Join(r.Reasons, "; "), c.why) {
			t.Errorf("%s: %s, %v", c.name, r.Verdict, r.Reasons)
		}
		var b bytes.Buffer
		if err := r.WriteText(&b); err != nil || !strings.Contains(b.String(), "\n"+c.want+": ") {
			t.Errorf("%s: told as\n%s", c.name, b.String())
		}
	}
}

func TestJSONThereAndBack(t *testing.T) {
	o := testOutcome(t)
	o.Violations = []checker.Violation{{Rule: checker.RuleRetryAfter, At: 1e6, ID: "m", Message: 1, Evidence: "why"}}
	r := New(o, testEnvironment)
	var b bytes.Buffer
	if err := r.WriteJSON(&b); err != nil {
		t.Fatal(err)
	}
	again, err := ReadJSON(bytes.NewReader(b.Bytes()))
	if err != nil || !reflect.DeepEqual(r, again) {
		t.Errorf("read as another: %v", err)
	}
	for _, c := range []struct{ old, new, want string }{
		{`"version": 1`, `"version": 2`, "reads up to 1"},
		{`"version": 1`, `"version": 0`, "want 1 to 1"},
		{`"version": 1`, `"version": "1"`, "byte "},
		{formatName, "other", "not a report"},
		{`"runs": [`, `"runs": [-3,`, "a service of -3"},
		{`"seed"`, `"seed`, "byte "},
	} {
		bad := strings.Replace(b.String(), c.old, c.new, 1)
		if _, err := ReadJSON(strings.NewReader(bad)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s -> %s: %v", c.old, c.new, err)
		}
	}
	if _, err := ReadJSON(strings.NewReader(b.String()[:b.Len()/2])); err == nil {
		t.Error("half a report was read")
	}
}

func TestHTMLStandsAlone(t *testing.T) {
	o := testOutcome(t)
	o.Violations = []checker.Violation{
		{Rule: checker.RuleRetryAfter, At: 1e6, ID: "<m>", Message: 1, Evidence: "a < b & c"},
	}
	var b bytes.Buffer
	if err := New(o, testEnvironment).WriteHTML(&b); err != nil {
		t.Fatal(err)
	}
	page := b.String()
	for _, bad := range []string{
		"<b>bold", "<m>", "a < b", "http:", "https:", "<script", "src=", "@import", "url(", "%!",
	} {
		if strings.Contains(page, bad) {
			t.Errorf("the page has %q", bad)
		}
	}
	for _, good := range []string{"a &lt; b &amp; c", "crash from 3.0 to 7.0 s", "relay_kill", "p-2", "failed"} {
		if !strings.Contains(page, good) {
			t.Errorf("the page lacks %q", good)
		}
	}
	svg := page[strings.Index(page, "<svg"):]
	for dec := xml.NewDecoder(strings.NewReader(svg[:strings.Index(svg, "</svg>")+6])); ; {
		if _, err := dec.Token(); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatalf("the drawing: %v", err)
		}
	}
}

func TestJoinAndNoise(t *testing.T) {
	var all []*Report
	for _, s := range []float64{0.8, 0.9, 0.7} {
		r := New(testOutcome(t), testEnvironment)
		r.Service.ServiceRatio, r.Runs = s, []float64{s}
		all = append(all, r)
	}
	all[2].addReason(VerdictFailed, "why")
	all[1].Rules[0].Violations = append(all[1].Rules[0].Violations, Violation{})
	r := Join(all)
	mean, dev, n := r.Noise()
	assertNear(t, "mean", mean, 0.8)
	assertNear(t, "deviation", dev, 0.1)
	assertNear(t, "in the middle", r.Service.ServiceRatio, 0.8)
	if n != 3 || r.Verdict != VerdictFailed || r.Reasons[0] != "run 3: why" || r.ViolationCount() != 1 ||
		len(all[0].Rules[0].Violations) != 0 {
		t.Errorf("%d runs, %s, %v, %d broken", n, r.Verdict, r.Reasons, r.ViolationCount())
	}
}

func TestCompare(t *testing.T) {
	with := func(runs ...float64) *Report {
		r := New(testOutcome(t), testEnvironment)
		r.Runs, r.Service.ServiceRatio = runs, runs[0]
		return r
	}
	for _, c := range []struct {
		before, after *Report
		want          string
	}{
		{with(0.80, 0.82, 0.81), with(0.90, 0.91, 0.92), "beyond the noise"},
		{with(0.80, 0.90, 0.85), with(0.82, 0.91, 0.86), "within the noise"},
		{with(0.80), with(0.90, 0.91), "the noise is not known"},
		{with(0.80, 0.8), with(0.8, 0.8), "within the noise"},
	} {
		var b bytes.Buffer
		if err := Compare(&b, c.before, c.after); err != nil || !strings.Contains(b.String(), c.want) {
			t.Errorf("want %s:\n%s", c.want, b.String())
		}
	}
	other := with(0.8, 0.8)
	other.Seed = 9
	var b bytes.Buffer
	err := Compare(&b, other, with(0.8, 0.8))
	if err != nil || !strings.Contains(b.String(), "not the same rehearsal") {
		t.Errorf("two seeds were compared without a word, %v", err)
	}
}

// FuzzReadJSON: no file, however odd, does more than return an error, and what
// is read can be shown.
func FuzzReadJSON(f *testing.F) {
	var b bytes.Buffer
	if err := New(testOutcome(f), testEnvironment).WriteJSON(&b); err != nil {
		f.Fatal(err)
	}
	f.Add(b.Bytes())
	f.Add([]byte(`{"format":"troutusher-rehearsal-report","version":1,"seconds":[{"partners":[1,2]}],` +
		`"partners":[{}],"faults":[{"partners":[0,7]}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := ReadJSON(bytes.NewReader(text))
		if err != nil {
			return
		}
		// What was read can be shown: an odd report may give an error, and no panic.
		_ = r.WriteText(io.Discard)
		_ = r.WriteHTML(io.Discard)
		_ = Compare(io.Discard, r, r)
	})
}
