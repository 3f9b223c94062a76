package membersource

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"troutusher/internal/core"
	"troutusher/internal/fixturetest"
	"troutusher/internal/membership"
)

// The lines that package follow, the helper process, writes are decoded completely.
func TestHelperLineFixture(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "source", "etcd", "follow", "testdata", "lines.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	for line := range bytes.Lines(text) {
		var got helperMessage
		dec := json.NewDecoder(bytes.NewReader(line))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&got); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		want := `{"alive":true}` + "\n"
		if got.Update != nil {
			update, err := json.Marshal(got.Update)
			if err != nil {
				t.Fatal(err)
			}
			want = fmt.Sprintf("{\"word\":%s}\n", update)
		}
		if string(line) != want || got.Heartbeat != (got.Update == nil) {
			t.Errorf("%s is decoded as %+v, which is encoded as %s", line, got, want)
		}
	}
}

// A relay writes the recorded members file, and a relay that starts with that file publishes the
// recorded list and writes the same file again.
func TestMembersFileFixture(t *testing.T) {
	var published []*core.EndpointList
	newMerger := func(dir string) *Merger {
		published = nil
		return newTestMerger(t, dir, func(l *core.EndpointList) { published = append(published, l) })
	}
	member := func(id string, k int, phase string) core.Member {
		return core.Member{
			ID: id, HostPort: fmt.Sprint("127.0.0.1:", 7000+k), Locality: "a", Flavor: "k",
			Dest: 3, Phase: phase, Rate: float64(k),
		}
	}
	dir := t.TempDir()
	m := newMerger(dir)
	registryList := &core.EndpointList{
		Revision: 4, Complete: true, Members: []core.Member{member("a", 1, core.Up), member("b", 2, core.Up)},
	}
	m.RegistryList("http://127.0.0.1:9#1@7", registryList)
	m.enqueue(m.etcd, &membership.Update{
		Epoch: "000000000000004d.0", Revision: 8, Complete: true,
		Members: []core.Member{member("a", 0, core.Up), member("c", 3, core.Up)},
	})
	m.enqueue(m.etcd, &membership.Update{
		Epoch: "000000000000004d.0", Revision: 9, Members: []core.Member{member("a", 0, core.Draining)},
	})
	m.step()
	text, err := os.ReadFile(filepath.Join(dir, FileName))
	if err != nil {
		t.Fatal(err)
	}
	fixturetest.Check(t, "members.json", text)
	recorded := fixturetest.Read(t, "members.json")
	dir = t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "members"), recorded, 0o600); err != nil {
		t.Fatal(err)
	}
	m = newMerger(dir)
	m.Restore(Start{List: registryList})
	if len(published) != 1 {
		t.Fatalf("Restore published %d lists, want 1: %+v", len(published), published)
	}
	if text, err = json.Marshal(published[0]); err != nil {
		t.Fatal(err)
	}
	fixturetest.Check(t, "members-published.json", text)
	m.lastSaved = time.Time{}
	m.unsaved = true
	m.step()
	if text, err = os.ReadFile(filepath.Join(dir, FileName)); err != nil {
		t.Fatal(err)
	}
	fixturetest.Check(t, "members.json", text)
}
