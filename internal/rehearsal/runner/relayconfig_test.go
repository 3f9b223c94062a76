package runner

import (
	"os"
	"path/filepath"
	"testing"

	"troutusher/internal/emulator/registry"
	"troutusher/internal/rehearsal/scenario"
)

// The configuration file of a relay must stay the same byte for byte, since rehearsals also start
// relays of earlier releases, which must be able to read it.
func TestRelayConfiguration(t *testing.T) {
	s, err := scenario.Load(filepath.Join("..", "..", "..", "deploy", "example.toml"))
	if err != nil {
		t.Fatal(err)
	}
	plan := s.Plan(7)
	known := registry.List{Revision: 3}
	got, err := NewRelayConfig(plan, 1, "127.0.0.1:1", "127.0.0.1:2", "/state", known, 9).Text()
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile(filepath.Join("testdata", "relay-config.json"))
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != string(want) {
		t.Errorf("NewRelayConfig(...).Text() = \n%s\nwant\n%s", got, want)
	}
}
