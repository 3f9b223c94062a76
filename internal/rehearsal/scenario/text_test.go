package scenario

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"
)

var updateFixtures = flag.Bool("update-fixtures", false, "write the stored forms of the example scenario anew")

// TestStoredFormsOfExample: the example has every key of a scenario file, those of
// TLS in a comment. Its text with all defaults and the plan drawn from it stay what
// they were.
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
			t.Errorf("%s is written as\n%s\nwant\n%s", name, got, want)
		}
	}
	again, err := Parse("text", text)
	if err != nil {
		t.Fatal(err)
	}
	if textAgain, err := again.Text(); err != nil || !bytes.Equal(text, textAgain) {
		t.Errorf("read and written again it is\n%s\n%v", textAgain, err)
	}
}
