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

// A drain is saved in the step that publishes it, an endpoint that comes up later; and a
// process that has handed over writes no more.
func TestMembersFileWrites(t *testing.T) {
	dir := t.TempDir()
	published := 0
	m := newTestMerger(t, dir, func(*core.EndpointList) { published++ })
	saved := func(what string) bool {
		text, _ := os.ReadFile(filepath.Join(dir, FileName))
		return strings.Contains(string(text), what)
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
		t.Errorf("one that comes up: published %d times, saved %v, next step in %v", published, saved("a"), wait)
	}
	update(2, "a", core.Draining)
	if m.step(); published != 2 || !saved(core.Draining) {
		t.Errorf("a drain: published %d times, saved %v", published, saved(core.Draining))
	}
	update(3, "b", core.Up)
	m.step()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if m.Run(ctx); saved(`"b"`) {
		t.Error("written by a process that is over")
	}
}
