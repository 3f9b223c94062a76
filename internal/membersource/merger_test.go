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

// A drain is kept in the turn that tells it; what comes up is, in its time; and a
// process that has given its work away writes no more.
func TestMembersFileWrites(t *testing.T) {
	dir := t.TempDir()
	told := 0
	m := newTestMerger(t, dir, func(*core.EndpointList) { told++ })
	kept := func(what string) bool {
		text, _ := os.ReadFile(filepath.Join(dir, FileName))
		return strings.Contains(string(text), what)
	}
	m.lastSaved = time.Now()
	word := func(rev int64, id, phase string) {
		m.put(m.etcd, &membership.Update{
			Epoch: "c", Revision: rev, Complete: rev == 1,
			Members: []core.Member{{ID: id, HostPort: "127.0.0.1:7001", Phase: phase}},
		})
	}
	word(1, "a", core.Up)
	if wait := m.step(); told != 1 || kept("a") || wait > saveInterval {
		t.Errorf("one that comes up: told %d times, kept %v, next turn in %v", told, kept("a"), wait)
	}
	word(2, "a", core.Draining)
	if m.step(); told != 2 || !kept(core.Draining) {
		t.Errorf("a drain: told %d times, kept %v", told, kept(core.Draining))
	}
	word(3, "b", core.Up)
	m.step()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if m.Run(ctx); kept(`"b"`) {
		t.Error("written by a process that is over")
	}
}
