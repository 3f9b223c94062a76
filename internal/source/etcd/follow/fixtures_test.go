package follow

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"troutusher/internal/membership"
)

// The lines that the helper writes for its relay, and the one that it reads. Package
// relay reads the same file in its tests.
func TestMessageFixture(t *testing.T) {
	m := membership.Member{
		ID: "a", HostPort: "10.1.0.18:6379", Locality: "a", Flavor: "m2", Dest: 3, Phase: membership.Up, Rate: 40,
	}
	removed := membership.Member{ID: "b", Phase: membership.Removed}
	var text bytes.Buffer
	enc := json.NewEncoder(&text)
	for _, l := range []Message{
		{Update: &membership.Update{
			Epoch: "000000000000004d.0", Revision: 9, Complete: true, Members: []membership.Member{m},
		}},
		{Heartbeat: true},
		{Update: &membership.Update{
			Epoch: "000000000000004d.0", Revision: 12, Members: []membership.Member{removed},
		}},
		{Update: &membership.Update{
			Epoch: "000000000000004d.1", Revision: 13, Complete: true, Resync: true,
			UnreadableIDs: []string{"c"}, DrainedIDs: []string{"c"},
		}},
	} {
		if err := enc.Encode(l); err != nil {
			t.Fatal(err)
		}
	}
	path := filepath.Join("testdata", "lines.jsonl")
	if os.Getenv("UPDATE_FIXTURES") != "" {
		if err := os.WriteFile(path, text.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(text.Bytes(), want) {
		t.Errorf("%s:\ngot  %s\nwant %s", path, text.Bytes(), want)
	}
	if ResyncCommand != "anew" {
		t.Errorf("the relay asks by %q", ResyncCommand)
	}
}
