package membersource

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"troutusher/internal/core"
	"troutusher/internal/membership"
)

func newTestMerger(t *testing.T, stateDir string, onChange func(*core.EndpointList)) *Merger {
	t.Helper()
	m, err := New(Options{
		StateDir: stateDir, Log: slog.New(slog.DiscardHandler), OnChange: onChange, ResyncRegistry: func() {},
	})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// A drain is saved in the step that publishes it, an endpoint that comes up only after saveInterval.
// A Merger whose context has ended saves nothing more, since the file belongs to its successor.
func TestMembersFileWrites(t *testing.T) {
	dir := t.TempDir()
	published := 0
	m := newTestMerger(t, dir, func(*core.EndpointList) { published++ })
	saved := func(part string) bool {
		text, _ := os.ReadFile(filepath.Join(dir, FileName))
		return strings.Contains(string(text), part)
	}
	m.lastSaved = time.Now()
	update := func(rev int64, id, phase string) {
		m.enqueue(m.etcd, &membership.Update{
			Epoch: "c", Revision: rev, Complete: rev == 1,
			Members: []core.Member{{ID: id, HostPort: "127.0.0.1:7001", Phase: phase}},
		})
	}
	update(1, "a", core.Up)
	if wait := m.step(); published != 1 || saved("a") || wait > saveInterval {
		t.Errorf("after an endpoint came up: published %d times, saved: %v, next step in %v; "+
			"want 1, false, at most %v", published, saved("a"), wait, saveInterval)
	}
	update(2, "a", core.Draining)
	if m.step(); published != 2 || !saved(core.Draining) {
		t.Errorf("after a drain: published %d times, saved: %v; want 2, true", published, saved(core.Draining))
	}
	update(3, "b", core.Up)
	m.step()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if m.Run(ctx); saved(`"b"`) {
		t.Error("the members file was written after the context had ended")
	}
}
