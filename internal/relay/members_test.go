package relay

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"troutusher/internal/core"
	"troutusher/internal/operator"
	"troutusher/internal/source/etcd"
	"troutusher/internal/source/etcd/follow"
	standin "troutusher/internal/standin/etcd"
)

// helperEnv makes the test's own program the helper that follows etcd; the file that
// it names gets the number of its process.
const helperEnv = "TROUTUSHER_TEST_HELPER"

func init() {
	helperCommand = func() (*exec.Cmd, error) {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), helperEnv+"="+os.Getenv("ROUTER_STATE")+"/../helper.pid")
		return cmd, nil
	}
}

// helper is its main.
func helper() int {
	os.WriteFile(os.Getenv(helperEnv), []byte(strconv.Itoa(os.Getpid())), 0o600)
	file, err := operator.Load(os.Getenv)
	if err != nil {
		return 2
	}
	o, err := follow.FromOperator(&file.Etcd)
	if err != nil {
		return 2
	}
	if err := follow.Serve(context.Background(), o, os.Stdin, os.Stdout); err != nil {
		return 1
	}
	return 0
}

// helperOf is the process of a relay's helper.
func helperOf(t *testing.T, env map[string]string, not int) (pid int) {
	t.Helper()
	waitFor(t, "the helper", func() bool {
		text, _ := os.ReadFile(filepath.Join(env["ROUTER_STATE"], "..", "helper.pid"))
		pid, _ = strconv.Atoi(string(text))
		return pid != 0 && pid != not
	})
	return pid
}

func withEtcd(t *testing.T, env map[string]string, c *standin.Cluster) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "operator.toml")
	text := fmt.Sprintf("[etcd]\nendpoints = [\"%s\"]\nprefix = \"/t\"\n", strings.Join(c.Addrs(), `", "`))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	env["TROUTUSHER_OPERATOR"] = path
}

func published(ep *fakeEndpoint, id string, dest int) standin.Op {
	return standin.Op{Key: etcd.Key("/t", "endpoints", id), Value: fmt.Sprintf(`{"v":1,"host_port":%q,"dest":%d,"locality":"a","flavor":"k","rate":1000}`, ep.addr(), dest)}
}

func drained(id string, off bool) standin.Op {
	return standin.Op{Key: etcd.Key("/t", "drains", id), Value: `{"v":1}`, Delete: off}
}

// A whole relay: what etcd drains gets nothing new, though discovery says up, though
// the helper is killed, after a restart with no etcd in reach, and until etcd says
// otherwise; what etcd alone lists is called; a helper ends with its relay.
func TestDrainsFromEtcd(t *testing.T) {
	gone, stays, other := newFakeEndpoint(t, nil), newFakeEndpoint(t, nil), newFakeEndpoint(t, nil)
	c, err := standin.NewCluster(2)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	do := func(ops ...standin.Op) {
		t.Helper()
		if _, err := c.Do(ops...); err != nil {
			t.Fatal(err)
		}
	}
	do(published(gone, "s-1", 1), published(stays, "s-2", 1), published(other, "e-3", 3))
	disc := newFakeDiscovery(t, gone.member("s-1", 1), stays.member("s-2", 1))
	env := testConfig(t, disc, 3)
	env["ROUTER_CONSOLE"] = freeAddr(t)
	withEtcd(t, env, c)
	r := startChild(t, env)
	n := 0
	send := func(what string) { // six messages reach who stays
		t.Helper()
		cl := dialClient(t, env["ROUTER_LISTEN"])
		for range 6 {
			n++
			id := fmt.Sprint("m", n)
			if s := cl.put(id, fields("plain", 20000, 1), nil); s != "+OK" {
				t.Fatalf("%s: %s", what, s)
			}
			waitFor(t, "the call of "+id, func() bool { return gone.count(id)+stays.count(id) == 1 })
			if gone.count(id) > 0 {
				t.Errorf("%s: %s went to who has drained", what, id)
			}
		}
	}
	avoided := func() int64 { return figures(t, env["ROUTER_CONSOLE"])["cluster_unhealthy"] }
	listed := func() int64 { return figures(t, env["ROUTER_CONSOLE"])["cluster_size"] }
	waitFor(t, "what etcd alone lists", func() bool {
		return dialClient(t, env["ROUTER_LISTEN"]).put("x", fields("plain", 20000, 3), nil) == "+OK"
	})
	waitFor(t, "its call", func() bool { return other.count("x") == 1 })
	do(drained("s-1", false))
	waitFor(t, "the drain", func() bool { return avoided() == 1 })
	send("drained")
	up := gone.member("s-1", 1)
	disc.say(t, change(5, up))
	late := stays.member("s-9", 1)
	disc.say(t, change(6, late)) // once this is known, so is what came before
	waitFor(t, "discovery's word", func() bool { return listed() == 4 })
	if send("discovery says up"); avoided() != 1 {
		t.Error("discovery has taken the drain back")
	}
	first := helperOf(t, env, 0)
	syscall.Kill(first, syscall.SIGKILL)
	second := helperOf(t, env, first)
	send("the helper was killed")
	c.Stop(0)
	c.Stop(1)
	waitFor(t, "what is known to be kept", func() bool {
		text, _ := os.ReadFile(filepath.Join(env["ROUTER_STATE"], membersFile))
		return strings.Contains(string(text), core.Draining)
	})
	r.kill()
	waitFor(t, "the helper's end", func() bool { return syscall.Kill(second, 0) != nil })
	startChild(t, env)
	waitFor(t, "the drain, after a restart", func() bool { return avoided() == 1 })
	send("after a restart without etcd")
	c.Start(0)
	c.Start(1)
	do(drained("s-1", true))
	waitFor(t, "the end of the drain", func() bool { return avoided() == 0 })
}

// An operator's table that makes no sense is named by its key.
func TestEtcdInTheOperatorsFile(t *testing.T) {
	for text, want := range map[string]string{
		"prefix = \"/t\"":                                                         "etcd.endpoints",
		"endpoints = [\"x\"]\nprefix = \"/t\"":                                    "etcd.endpoints",
		"endpoints = [\"h:1\"]\nprefix = \"t\"":                                   "etcd.prefix",
		"endpoints = [\"h:1\"]\nprefix = \"/t\"\nuser = \"a\"":                    "etcd.user",
		"endpoints = [\"h:1\"]\nprefix = \"/t\"\nfirst = \"dns\"":                 "etcd.first",
		"endpoints = [\"h:1\"]\nprefix = \"/t\"\nroots = \"a\"\nkey = \"k\"":      "etcd.certificate",
		"endpoints = [\"h:1\"]\nprefix = \"/t\"\nserver_name = \"a.example.org\"": "etcd.roots",
		"endpoints = [\"h:1\"]\nprefix = \"/t\"":                                  "",
	} {
		_, err := operator.Parse("f", []byte("[etcd]\n"+text+"\n"))
		if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}
