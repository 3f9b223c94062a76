package follow

import (
	"testing"

	"troutusher/internal/fixturetest"
	"troutusher/internal/membership"
)

// Compares the lines that the follow process writes for its relay, and the command that it
// reads, with recorded ones. The tests of package membersource, the relay's side, decode the same
// file, so that the two programs agree.
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
		t.Errorf("ResyncCommand = %q, want \"anew\"", ResyncCommand)
	}
}
