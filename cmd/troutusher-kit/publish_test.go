package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	standin "troutusher/internal/emulator/etcd"
	"troutusher/internal/operatorconfig"
)

// An operator publishes a list, drains one endpoint and looks; what cannot be is an
// exit code of its own.
func TestPublishCommand(t *testing.T) {
	c, err := standin.NewCluster(2)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	c.StopMember(0) // the second member answers
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
			fmt.Sprintf("[etcd]\nendpoints = [\"%s\"]\nprefix = \"/t\"\n", strings.Join(c.Addresses(), `", "`)),
		),
	)
	for _, x := range []struct {
		args string
		code int
		says string
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
		var out, errs bytes.Buffer
		code := dispatch(strings.Fields(x.args), &out, &errs)
		if text := out.String() + errs.String(); code != x.code || !strings.Contains(text, x.says) {
			t.Errorf("%s: exit %d, want %d: %s", x.args, code, x.code, text)
		}
	}
	t.Setenv(operatorconfig.EnvVar, "")
	for _, args := range []string{"follow", "publish show"} {
		var out, errs bytes.Buffer
		if code := dispatch(strings.Fields(args), &out, &errs); code == 0 ||
			!strings.Contains(errs.String(), operatorconfig.EnvVar) {
			t.Errorf("%s without an operator's file: exit %d: %s", args, code, errs.String())
		}
	}
}
