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

// Guards the steps of an operator: publish a list, drain and undrain an endpoint, show what is
// published, and remove endpoints. Each kind of failure has to give its exit code. One of the
// two members of the etcd cluster is stopped, so that the other has to serve the calls.
func TestPublishCommand(t *testing.T) {
	cluster, err := etcd.NewCluster(2)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	cluster.StopMember(0) // the second member answers
	dir := t.TempDir()
	writeInDir := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	listFile := writeInDir(
		"list.json",
		`{"endpoints":{"a":{"host_port":"127.0.0.1:7001","dest":1},`+
			`"b":{"host_port":"127.0.0.1:7002","dest":1,"phase":"draining"}},"partners":{"1":{"rate":40}}}`,
	)
	noPort := writeInDir("bad.json", `{"endpoints":{"a":{"host_port":"127.0.0.1","dest":1}}}`)
	emptyList := writeInDir("none.json", `{}`)
	t.Setenv(
		operatorconfig.EnvVar,
		writeInDir(
			"operator.toml",
			fmt.Sprintf("[etcd]\nendpoints = [\"%s\"]\nprefix = \"/t\"\n", strings.Join(cluster.Addresses(), `", "`)),
		),
	)
	for _, test := range []struct {
		args   string
		code   int
		output string
	}{
		{"publish list " + listFile, 0, "put     endpoints/a"},
		{"publish list " + listFile, 0, "nothing to change"},
		{"publish drain a", 0, "put     drains/a"},
		{"publish show", 0, "a  127.0.0.1:7001  1  up, drained"},
		{"publish undrain a", 0, "deleted drains/a"},
		{"publish list " + noPort, 1, `endpoints: "a"`},
		{"publish list " + emptyList, 1, "over half"},
		{"publish list --all " + emptyList, 0, "deleted endpoints/b"},
		{"publish remove a", 1, "not published"},
		{"publish list " + dir + "/nowhere", 1, "nowhere"},
		{"publish drain", 2, "id"},
		{"publish", 2, "list"},
		{"publish -h", 0, "drain"},
		{"follow -h", 0, "prefix"},
		{"follow --what", 2, "what"},
	} {
		code, stdout, stderr := run(strings.Fields(test.args)...)
		if code != test.code || !strings.Contains(stdout+stderr, test.output) {
			t.Errorf("run(%s) = exit code %d, want %d and output that contains %q; got output:\n%s%s",
				test.args, code, test.code, test.output, stdout, stderr)
		}
	}
	t.Setenv(operatorconfig.EnvVar, "")
	for _, args := range []string{"follow", "publish show"} {
		code, _, stderr := run(strings.Fields(args)...)
		if code == 0 || !strings.Contains(stderr, operatorconfig.EnvVar) {
			t.Errorf("%s without an operator's file = exit code %d, want a failure that names %s; got stderr:\n%s",
				args, code, operatorconfig.EnvVar, stderr)
		}
	}
}
