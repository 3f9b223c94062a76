package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"troutusher/internal/membership"
)

// What a relay keeps is shown with what each source says, under which id; a file that
// cannot be read is an error.
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
	broken := filepath.Join(dir, "broken")
	if err := os.WriteFile(broken, text[:len(text)/2], 0o600); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		args   []string
		code   int
		output string
	}{
		{[]string{"members", dir}, 0, "a   127.0.0.1:7001  3     draining  etcd  etcd draining@9, registry up@41 as b"},
		{[]string{"members", "--json", filepath.Join(dir, "members")}, 0, `"by":"etcd"`},
		{[]string{"members", broken}, 1, broken},
		{[]string{"members", dir + "/none"}, 1, "none"},
		{[]string{"members"}, 2, "state"},
	} {
		code, out, errs := run(test.args...)
		if code != test.code || !strings.Contains(out+errs, test.output) {
			t.Errorf("%v: exit %d, want %d: %s%s", test.args, code, test.code, out, errs)
		}
	}
}
