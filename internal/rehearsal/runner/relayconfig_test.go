package runner

import (
	"os"
	"path/filepath"
	"testing"

	"troutusher/internal/emulator/registry"
	"troutusher/internal/rehearsal/scenario"
)

// The configuration of a relay is the one that relays of earlier releases read, byte for
// byte.
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
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}
