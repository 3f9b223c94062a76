package scenario

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"
)

var updateFixtures = flag.Bool("update-fixtures", false, "rewrite the stored text and plan of the example scenario")

// The text of the example scenario with all defaults, and the plan drawn from it, must equal the
// stored ones: otherwise recordings of earlier releases would be replayed differently. The example
// has every key of a scenario file; the test uncomments those of TLS.
func TestStoredFormsOfExample(t *testing.T) {
	file, err := os.ReadFile(filepath.Join("..", "..", "..", "deploy", "example.toml"))
	if err != nil {
		t.Fatal(err)
	}
	file = bytes.Replace(file, []byte("\n# tls = {"), []byte("\ntls = {"), 1)
	example, err := Parse("example.toml", file)
	if err != nil {
		t.Fatal(err)
	}
	text, err := example.Text()
	if err != nil {
		t.Fatal(err)
	}
	plan := example.Plan(example.Seed)
	drawn, err := json.MarshalIndent(map[string]any{
		"arrivals": plan.Arrivals, "faults": plan.Faults, "service_seed": plan.ServiceTimeSeed(),
		"slots": plan.MaxInFlight(), "held": plan.MaxPending(),
	}, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	for name, got := range map[string][]byte{"example.toml": text, "example-plan.json": append(drawn, '\n')} {
		path := filepath.Join("testdata", name)
		if *updateFixtures {
			if err := os.WriteFile(path, got, 0o644); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(got, want) {
			t.Errorf("%s: got\n%s\nwant\n%s", name, got, want)
		}
	}
	again, err := Parse("text", text)
	if err != nil {
		t.Fatal(err)
	}
	if textAgain, err := again.Text(); err != nil || !bytes.Equal(text, textAgain) {
		t.Errorf("Text() after Parse(Text()) = error %v and\n%s\nwant\n%s", err, textAgain, text)
	}
}
