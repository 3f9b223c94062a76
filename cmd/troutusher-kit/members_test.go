package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"troutusher/internal/membership"
)

// Guards against output that hides where sources differ: two sources list one address under
// two ids and with two phases, and both statements have to be shown with the source that
// decided. A file that cannot be decoded or opened has to give exit code 1.
func TestMembersCommand(t *testing.T) {
	view, err := membership.New(
		membership.DefaultSettings(
			membership.Source{Name: "etcd", StaleAfter: 1e6}, membership.Source{Name: "registry", StaleAfter: 1e6},
		),
	)
	if err != nil {
		t.Fatal(err)
	}
	members := func(id, phase string) []membership.Member {
		return []membership.Member{{ID: id, HostPort: "127.0.0.1:7001", Dest: 3, Phase: phase}}
	}
	for _, update := range []*membership.Update{
		{Source: 0, Epoch: "c.0", Revision: 9, Complete: true, Members: members("a", membership.Draining)},
		{Source: 1, Epoch: "r", Revision: 41, Complete: true, Members: members("b", membership.Up)},
	} {
		view.Apply(1, update)
	}
	text, err := json.Marshal(view.Export(2))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "members"), text, 0o600); err != nil {
		t.Fatal(err)
	}
	truncated := filepath.Join(dir, "broken")
	if err := os.WriteFile(truncated, text[:len(text)/2], 0o600); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		args   []string
		code   int
		output string
	}{
		{[]string{"members", dir}, 0, "a   127.0.0.1:7001  3     draining  etcd  etcd draining@9, registry up@41 as b"},
		{[]string{"members", "--json", filepath.Join(dir, "members")}, 0, `"by":"etcd"`},
		{[]string{"members", truncated}, 1, truncated},
		{[]string{"members", dir + "/none"}, 1, "none"},
		{[]string{"members"}, 2, "state"},
	} {
		code, stdout, stderr := run(test.args...)
		if code != test.code || !strings.Contains(stdout+stderr, test.output) {
			t.Errorf("run(%v) = exit code %d, want %d and output that contains %q; got output:\n%s%s",
				test.args, code, test.code, test.output, stdout, stderr)
		}
	}
}
