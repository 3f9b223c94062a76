package replay

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"troutusher/internal/rehearsal/scenario"
)

var updateGolden = flag.Bool("golden", false, "rewrite the golden recording; only for a new version of the format")

func builtinPlan(t testing.TB, name string) *scenario.Plan {
	t.Helper()
	s, err := scenario.Builtin(name)
	if err != nil {
		t.Fatal(err)
	}
	return s.Plan(s.Seed)
}

func encode(t testing.TB, p *scenario.Plan) []byte {
	t.Helper()
	var b bytes.Buffer
	if err := Write(&b, p, Environment{"1", "go", "linux", 4}); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

func samePlan(a, b *scenario.Plan) bool {
	return a.Seed == b.Seed && a.ServiceTimeSeed() == b.ServiceTimeSeed() &&
		reflect.DeepEqual(a.Arrivals, b.Arrivals) &&
		reflect.DeepEqual(a.Faults, b.Faults) &&
		reflect.DeepEqual(a.Specs, b.Specs) &&
		reflect.DeepEqual(a.Endpoints, b.Endpoints) &&
		a.Scenario.Rules == b.Scenario.Rules
}

// A recording that is written and read again holds the same plan, for every built-in scenario.
// Otherwise a replay would differ from the rehearsal that was recorded.
func TestRoundTrip(t *testing.T) {
	for _, name := range scenario.BuiltinNames() {
		p := builtinPlan(t, name)
		text := encode(t, p)
		reread, env, err := Read(bytes.NewReader(text))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if !samePlan(p, reread) || env.Cores != 4 {
			t.Errorf("%s: Read returned a plan that differs from the written one", name)
		}
		if again := encode(t, reread); !bytes.Equal(text, again) {
			t.Errorf("%s: writing the plan that was read gives different bytes", name)
		}
	}
}

// Save leaves no temporary file behind, and reports an error if it cannot create the file.
func TestSaveIsAtomic(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r")
	if err := Save(path, builtinPlan(t, "calm"), Environment{}); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Load(path); err != nil {
		t.Error(err)
	}
	if files, _ := os.ReadDir(filepath.Dir(path)); len(files) != 1 {
		t.Errorf("files in the directory after Save = %v, want only the recording", files)
	}
	if err := Save(filepath.Join(t.TempDir(), "no", "r"), builtinPlan(t, "calm"), Environment{}); err == nil {
		t.Error("Save in a missing directory returned no error")
	}
}

// A recording that was cut off anywhere is rejected with the position of the error. Otherwise a part of
// the rehearsal would be replayed as if it were the whole.
func TestTruncationIsDetected(t *testing.T) {
	text := encode(t, builtinPlan(t, "calm"))
	for cut := 0; cut < len(text)-1; cut += 1 + cut%97 {
		_, _, err := Read(bytes.NewReader(text[:cut]))
		if err == nil {
			t.Fatalf("Read of the first %d of %d bytes returned no error", cut, len(text))
		}
		var e *Error
		if !errors.As(err, &e) || e.Line == 0 || e.Offset > int64(cut) {
			t.Fatalf("Read of the first %d bytes: error %v, want an *Error with a position in these bytes", cut, err)
		}
	}
}

// A recording in which a single bit has changed is rejected, wherever the bit is.
func TestDamageIsDetected(t *testing.T) {
	text := encode(t, builtinPlan(t, "calm"))
	for at := 0; at < len(text)-1; at += 1 + at%53 {
		bad := bytes.Clone(text)
		bad[at] ^= 4
		if _, _, err := Read(bytes.NewReader(bad)); err == nil {
			t.Fatalf("Read with byte %d of %d changed (the last in %q) returned no error",
				at, len(text), text[max(0, at-20):at+1])
		}
	}
}

// Each kind of invalid content is rejected with an error that names the line, the byte and the reason.
func TestErrorsStateTheirPosition(t *testing.T) {
	p := builtinPlan(t, "calm")
	lines := strings.SplitAfter(string(encode(t, p)), "\n")
	for _, c := range []struct {
		line     int
		old, new string
		want     string
		is       error
	}{
		{0, `"version":1`, `"version":2`, "line 1, byte 0: version 2, this release reads up to 1", ErrNewerVersion},
		{0, `"version":1`, `"version":0`, "line 1, byte 0: version 0", nil},
		{0, `troutusher-rehearsal`, `something`, "line 1, byte 0: not a recording", nil},
		{0, `"seed"`, `"sead"`, "line 1, byte 0: json: unknown field", nil},
		{0, `length_s = 10.0`, `length_s = -1.0`, "length_s: -1, want", nil},
		{1, `"at_us":`, `"at_us":-`, "line 2, byte ", nil},
		{1, `"class":`, `"class":9`, "line 2, byte ", nil},
		{1, `"dest":`, `"dest":77`, "line 2, byte ", nil},
		{1, `{"arrival":`, `{"arrival":{},"x":`, "line 2, byte ", nil},
		{2, `"at_us":`, `"at_us":0`, "line 3, byte ", nil},
		{3, `"arrival"`, `"departure"`, "line 4, byte ", nil},
		{4, "\n", "{}\n", "more than one JSON value", nil},
		{len(lines) - 2, `"arrivals":`, `"arrivals":1`, "arrivals and ", nil},
	} {
		damaged := slices.Clone(lines)
		if damaged[c.line] = strings.Replace(lines[c.line], c.old, c.new, 1); damaged[c.line] == lines[c.line] {
			t.Fatalf("%q is not in line %d: %.200s", c.old, c.line, lines[c.line])
		}
		_, _, err := Read(strings.NewReader(strings.Join(damaged, "")))
		if err == nil || !strings.Contains(err.Error(), c.want) || c.is != nil && !errors.Is(err, c.is) {
			t.Errorf("Read with %s replaced by %s: error %v, want %s", c.old, c.new, err, c.want)
		}
	}
	if _, _, err := Read(strings.NewReader(strings.Join(lines, "") + "{}\n")); err == nil {
		t.Error("Read of a recording with data after the footer returned no error")
	}
	huge := fmt.Sprintf(`{"format":%q,"version":1,"scenario":"%s`, formatName, strings.Repeat("x", maxLineBytes))
	if _, _, err := Read(strings.NewReader(huge)); err == nil {
		t.Error("Read of a line longer than maxLineBytes returned no error")
	}
}

// TestGolden checks that a recording written by the first release can still be read, with the same
// contents.
func TestGolden(t *testing.T) {
	path := filepath.Join("testdata", "v1.rehearsal")
	if *updateGolden {
		s, err := scenario.Load(filepath.Join("testdata", "v1.toml"))
		if err != nil {
			t.Fatal(err)
		}
		if err := Save(path, s.Plan(11), Environment{"1", "go1.26", "linux/amd64", 4}); err != nil {
			t.Fatal(err)
		}
	}
	p, env, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	first, last := p.Arrivals[0], p.Arrivals[len(p.Arrivals)-1]
	if got := fmt.Sprintf(
		"%d %d %d %v %v %s %#x", p.Seed, len(p.Arrivals), len(p.Faults), first, last, env.System, p.ServiceTimeSeed(),
	); got != goldenV1 {
		t.Errorf("summary of the recording = %s, want %s", got, goldenV1)
	}
	var kinds []string
	for _, f := range p.Faults {
		kinds = append(kinds, f.Kind)
	}
	if got := strings.Join(kinds, " "); got != "slow drain late reload relay_kill" {
		t.Errorf("kinds of faults = %s, want slow drain late reload relay_kill", got)
	}
}

// FuzzRead checks that any invalid input makes Read return an *Error, and nothing worse.
func FuzzRead(f *testing.F) {
	f.Add(encode(f, builtinPlan(f, "calm")))
	f.Add([]byte(`{"format":"troutusher-rehearsal","version":1,"seed":1,"scenario":""}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var e *Error
		if _, _, err := Read(bytes.NewReader(text)); err != nil && !errors.As(err, &e) {
			t.Fatal(err)
		}
	})
}
