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

// scenarioText has two classes, two partners, a crash of partner 1 and a kill of a relay.
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

// testOutcome returns the outcome of a rehearsal of 20 s with five messages in its first four
// seconds and one in its last.
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

// assertNear reports an error if the figure got differs from want by more than rounding.
func assertNear(t *testing.T, figure string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-9 {
		t.Errorf("%s = %v, want %v", figure, got, want)
	}
}

// The service ratios and counts of a report match those computed by hand from testOutcome.
func TestFigures(t *testing.T) {
	r := New(testOutcome(t), testEnvironment)
	assertNear(t, "weight asked for", r.Service.WeightAsked, 9)
	assertNear(t, "weight delivered", r.Service.WeightDelivered, 1+0.75+4+1)
	assertNear(t, "service ratio", r.Service.ServiceRatio, 6.75/9)
	assertNear(t, "service ratio of class a", r.Classes[0].ServiceRatio, 2.75/5)
	assertNear(t, "service ratio of class b", r.Classes[1].ServiceRatio, 1)
	assertNear(t, "service ratio of partner 1", r.Partners[0].ServiceRatio, 1.75/3)
	// The worst window begins with the fourth second, with two messages of which none is delivered.
	assertNear(t, "service ratio of the worst 10 s", r.WorstWindow.ServiceRatio, 0)
	if r.WorstWindow.FromS != 3 {
		t.Errorf("WorstWindow.FromS = %d, want 3", r.WorstWindow.FromS)
	}
	s := r.Service
	if s.Messages != 6 || s.Submissions != 9 || s.Rejections != 4 || s.Delivered != 4 || s.Rejected != 1 ||
		s.Failed != 1 {
		t.Errorf("counts %+v, want 6 messages, 9 submissions, 4 rejections, 4 delivered, 1 rejected and 1 failed", s)
	}
	if r.Verdict != VerdictPassed || r.ViolationCount() != 0 {
		t.Errorf("verdict %s (%v), %d violations, want %s and none", r.Verdict, r.Reasons, r.ViolationCount(),
			VerdictPassed)
	}
}

// Each kind of failure leads to its verdict, and the report states the reason.
func TestVerdicts(t *testing.T) {
	for _, c := range []struct {
		name       string
		change     func(*runner.Outcome)
		verdict    string
		wantReason string
	}{
		{"a rule violation", func(o *runner.Outcome) {
			o.Violations = []checker.Violation{
				{Rule: checker.RuleAtMostOnce, At: 7e6, ID: "m", Message: 2, Evidence: "why"},
			}
		}, VerdictFailed, "1 broken rules"},
		{
			"a relay that ended unexpectedly",
			func(o *runner.Outcome) { o.RelayFailures = []string{"relay 1 ended by itself"} },
			VerdictFailed, "ended by itself",
		},
		{
			"service ratio below the minimum",
			func(o *runner.Outcome) { o.Results[2].Outcome = loadgen.Failed },
			VerdictFailed, "under the floor",
		},
		{
			"load generator too late", func(o *runner.Outcome) { o.DriverLateness = 41_000 }, VerdictInvalid,
			"load driver was 41.0 ms late",
		},
		{
			"emulators too late", func(o *runner.Outcome) { o.EmulatorLateness = 41_000 }, VerdictInvalid,
			"stand-ins were 41.0 ms late",
		},
		{
			"an error of the load generator or the emulators",
			func(o *runner.Outcome) { o.RehearsalErrors = []string{"a port"} },
			VerdictInvalid, "a port",
		},
		{
			"invalid takes precedence over failed",
			func(o *runner.Outcome) { o.DriverLateness, o.RelayFailures = 41_000, []string{"x"} },
			VerdictInvalid, "late",
		},
	} {
		o := testOutcome(t)
		c.change(o)
		r := New(o, testEnvironment)
		if r.Verdict != c.verdict || !strings.Contains(strings.Join(r.Reasons, "; "), c.wantReason) {
			t.Errorf(
				"%s: verdict %s, reasons %v, want %s and a reason with %q",
				c.name,
				r.Verdict,
				r.Reasons,
				c.verdict,
				c.wantReason,
			)
		}
		var b bytes.Buffer
		if err := r.WriteText(&b); err != nil || !strings.Contains(b.String(), "\n"+c.verdict+": ") {
			t.Errorf("%s: WriteText error %v, want a line with verdict %s in\n%s", c.name, err, c.verdict,
				b.String())
		}
	}
}

// A report that is written as JSON is read as the same report, and ReadJSON rejects a file that is
// damaged, truncated, of another format or of an unknown version.
func TestJSONRoundTrip(t *testing.T) {
	o := testOutcome(t)
	o.Violations = []checker.Violation{{Rule: checker.RuleRetryAfter, At: 1e6, ID: "m", Message: 1, Evidence: "why"}}
	r := New(o, testEnvironment)
	var b bytes.Buffer
	if err := r.WriteJSON(&b); err != nil {
		t.Fatal(err)
	}
	got, err := ReadJSON(bytes.NewReader(b.Bytes()))
	if err != nil || !reflect.DeepEqual(r, got) {
		t.Errorf("ReadJSON(WriteJSON(report)) = %+v, %v, want %+v", got, err, r)
	}
	for _, c := range []struct{ old, new, wantError string }{
		{`"version": 1`, `"version": 2`, "reads up to 1"},
		{`"version": 1`, `"version": 0`, "want 1 to 1"},
		{`"version": 1`, `"version": "1"`, "byte "},
		{formatName, "other", "not a report"},
		{`"runs": [`, `"runs": [-3,`, "a service of -3"},
		{`"seed"`, `"seed`, "byte "},
	} {
		damaged := strings.Replace(b.String(), c.old, c.new, 1)
		if _, err := ReadJSON(strings.NewReader(damaged)); err == nil || !strings.Contains(err.Error(), c.wantError) {
			t.Errorf("ReadJSON with %s in place of %s: error %v, want one with %q", c.new, c.old, err, c.wantError)
		}
	}
	if _, err := ReadJSON(strings.NewReader(b.String()[:b.Len()/2])); err == nil {
		t.Error("ReadJSON of the first half of a report = nil error, want an error")
	}
}

// The HTML page loads nothing from elsewhere, escapes all texts, names the fault and the partners, and
// its SVG is well-formed XML.
func TestHTMLIsSelfContained(t *testing.T) {
	o := testOutcome(t)
	o.Violations = []checker.Violation{
		{Rule: checker.RuleRetryAfter, At: 1e6, ID: "<m>", Message: 1, Evidence: "a < b & c"},
	}
	var b bytes.Buffer
	if err := New(o, testEnvironment).WriteHTML(&b); err != nil {
		t.Fatal(err)
	}
	page := b.String()
	for _, unwanted := range []string{
		"<b>bold", "<m>", "a < b", "http:", "https:", "<script", "src=", "@import", "url(", "%!",
	} {
		if strings.Contains(page, unwanted) {
			t.Errorf("page contains %q, want it escaped or absent", unwanted)
		}
	}
	for _, wanted := range []string{"a &lt; b &amp; c", "crash from 3.0 to 7.0 s", "relay_kill", "p-2", "failed"} {
		if !strings.Contains(page, wanted) {
			t.Errorf("page does not contain %q", wanted)
		}
	}
	svg := page[strings.Index(page, "<svg"):]
	for decoder := xml.NewDecoder(strings.NewReader(svg[:strings.Index(svg, "</svg>")+6])); ; {
		if _, err := decoder.Token(); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatalf("parse SVG as XML: %v", err)
		}
	}
}

// Join keeps the figures of the median run and the worst verdict, and adds the violations of all runs
// without changing the reports that it joins.
func TestJoinAndNoise(t *testing.T) {
	var runs []*Report
	for _, ratio := range []float64{0.8, 0.9, 0.7} {
		r := New(testOutcome(t), testEnvironment)
		r.Service.ServiceRatio, r.Runs = ratio, []float64{ratio}
		runs = append(runs, r)
	}
	runs[2].addReason(VerdictFailed, "why")
	runs[1].Rules[0].Violations = append(runs[1].Rules[0].Violations, Violation{})
	r := Join(runs)
	mean, deviation, count := r.Noise()
	assertNear(t, "mean", mean, 0.8)
	assertNear(t, "standard deviation", deviation, 0.1)
	assertNear(t, "service ratio of the median run", r.Service.ServiceRatio, 0.8)
	if count != 3 || r.Verdict != VerdictFailed || r.Reasons[0] != "run 3: why" || r.ViolationCount() != 1 ||
		len(runs[0].Rules[0].Violations) != 0 {
		t.Errorf(
			"Join: %d runs, verdict %s, reasons %v, %d violations, first run has %d violations of the first rule; "+
				"want 3 runs, %s, reason \"run 3: why\", 1 violation, none in the first run",
			count,
			r.Verdict,
			r.Reasons,
			r.ViolationCount(),
			len(runs[0].Rules[0].Violations),
			VerdictFailed,
		)
	}
}

// Compare calls a difference noise or more than noise, says if it cannot know, and warns if the two
// reports are of different rehearsals.
func TestCompare(t *testing.T) {
	reportOf := func(runs ...float64) *Report {
		r := New(testOutcome(t), testEnvironment)
		r.Runs, r.Service.ServiceRatio = runs, runs[0]
		return r
	}
	for _, c := range []struct {
		before, after *Report
		want          string
	}{
		{reportOf(0.80, 0.82, 0.81), reportOf(0.90, 0.91, 0.92), "beyond the noise"},
		{reportOf(0.80, 0.90, 0.85), reportOf(0.82, 0.91, 0.86), "within the noise"},
		{reportOf(0.80), reportOf(0.90, 0.91), "the noise is not known"},
		{reportOf(0.80, 0.8), reportOf(0.8, 0.8), "within the noise"},
	} {
		var b bytes.Buffer
		if err := Compare(&b, c.before, c.after); err != nil || !strings.Contains(b.String(), c.want) {
			t.Errorf("Compare(runs %v, runs %v): error %v, want %q in\n%s", c.before.Runs, c.after.Runs, err, c.want,
				b.String())
		}
	}
	otherSeed := reportOf(0.8, 0.8)
	otherSeed.Seed = 9
	var b bytes.Buffer
	err := Compare(&b, otherSeed, reportOf(0.8, 0.8))
	if err != nil || !strings.Contains(b.String(), "not the same rehearsal") {
		t.Errorf("Compare of two seeds: error %v, want the warning \"not the same rehearsal\" in\n%s", err, b.String())
	}
}

// FuzzReadJSON checks that a malformed file causes an error and never a panic, and that a report
// which is read can be written as text and HTML and compared without a panic.
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
		// Writing an inconsistent report may return an error, but must not panic.
		_ = r.WriteText(io.Discard)
		_ = r.WriteHTML(io.Discard)
		_ = Compare(io.Discard, r, r)
	})
}
