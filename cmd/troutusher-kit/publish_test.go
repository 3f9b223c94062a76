package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"troutusher/internal/emulator/etcd"
	"troutusher/internal/operatorconfig"
)

// An operator publishes a list, drains one endpoint and shows what is published; each kind
// of failure has its exit code.
func TestPublishCommand(t *testing.T) {
	cluster, err := etcd.NewCluster(2)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	cluster.StopMember(0) // the second member answers
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	file := write(
		"list.json",
		`{"endpoints":{"a":{"host_port":"127.0.0.1:7001","dest":1},`+
			`"b":{"host_port":"127.0.0.1:7002","dest":1,"phase":"draining"}},"partners":{"1":{"rate":40}}}`,
	)
	bad := write("bad.json", `{"endpoints":{"a":{"host_port":"127.0.0.1","dest":1}}}`)
	none := write("none.json", `{}`)
	t.Setenv(
		operatorconfig.EnvVar,
		write(
			"operator.toml",
			fmt.Sprintf("[etcd]\nendpoints = [\"%s\"]\nprefix = \"/t\"\n", strings.Join(cluster.Addresses(), `", "`)),
		),
	)
	for _, test := range []struct {
		args   string
		code   int
		output string
	}{
		{"publish list " + file, 0, "put     endpoints/a"},
		{"publish list " + file, 0, "nothing to change"},
		{"publish drain a", 0, "put     drains/a"},
		{"publish show", 0, "a  127.0.0.1:7001  1  up, drained"},
		{"publish undrain a", 0, "deleted drains/a"},
		{"publish list " + bad, 1, `endpoints: "a"`},
		{"publish list " + none, 1, "over half"},
		{"publish list --all " + none, 0, "deleted endpoints/b"},
		{"publish remove a", 1, "not published"},
		{"publish list " + dir + "/nowhere", 1, "nowhere"},
		{"publish drain", 2, "id"},
		{"publish", 2, "list"},
		{"publish -h", 0, "drain"},
		{"follow -h", 0, "prefix"},
		{"follow --what", 2, "what"},
	} {
		code, out, errs := run(strings.Fields(test.args)...)
		if code != test.code || !strings.Contains(out+errs, test.output) {
			t.Errorf("%s: exit %d, want %d: %s%s", test.args, code, test.code, out, errs)
		}
	}
	t.Setenv(operatorconfig.EnvVar, "")
	for _, args := range []string{"follow", "publish show"} {
		code, _, errs := run(strings.Fields(args)...)
		if code == 0 || !strings.Contains(errs, operatorconfig.EnvVar) {
			t.Errorf("%s without an operator's file: exit %d: %s", args, code, errs)
		}
	}
}
