package follow

import (
	"testing"

	"troutusher/internal/fixturetest"
	"troutusher/internal/membership"
)

// The lines that the helper writes for its relay, and the one that it reads. Package
// relay reads the same file in its tests.
func TestMessageFixture(t *testing.T) {
	m := membership.Member{
		ID: "a", HostPort: "10.1.0.18:6379", Locality: "a", Flavor: "m2", Dest: 3, Phase: membership.Up, Rate: 40,
	}
	removed := membership.Member{ID: "b", Phase: membership.Removed}
	messages := []Message{
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
	}
	fixturetest.Check(t, "lines.jsonl", fixturetest.EncodeLines(t, messages))
	if ResyncCommand != "anew" {
		t.Errorf("the relay asks by %q", ResyncCommand)
	}
}
