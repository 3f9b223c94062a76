package relay

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"troutusher/internal/core"
	"troutusher/internal/discovery/discoverytest"
	standin "troutusher/internal/emulator/etcd"
	"troutusher/internal/membersource"
	"troutusher/internal/operatorconfig"
	"troutusher/internal/source/etcd"
	"troutusher/internal/source/etcd/follow"
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

// helperMain is its main.
func helperMain() int {
	if err := os.WriteFile(os.Getenv(helperEnv), []byte(strconv.Itoa(os.Getpid())), 0o600); err != nil {
		return 2
	}
	file, err := operatorconfig.Load(os.Getenv)
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

// helperPID is the process of a relay's helper.
func helperPID(t *testing.T, env map[string]string, not int) (pid int) {
	t.Helper()
	waitFor(t, "the helper", func() bool {
		text, _ := os.ReadFile(filepath.Join(env["ROUTER_STATE"], "..", "helper.pid"))
		pid, _ = strconv.Atoi(string(text))
		return pid != 0 && pid != not
	})
	return pid
}

func configureEtcd(t *testing.T, env map[string]string, c *standin.Cluster) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "operator.toml")
	text := fmt.Sprintf("[etcd]\nendpoints = [\"%s\"]\nprefix = \"/t\"\n", strings.Join(c.Addresses(), `", "`))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	env["TROUTUSHER_OPERATOR"] = path
}

func endpointOp(ep *fakeEndpoint, id string, dest int) standin.Op {
	const form = `{"v":1,"host_port":%q,"dest":%d,"locality":"a","flavor":"k","rate":1000}`
	return standin.Op{Key: etcd.Key("/t", etcd.EndpointsFolder, id), Value: fmt.Sprintf(form, ep.addr(), dest)}
}

func drainOp(id string, off bool) standin.Op {
	return standin.Op{Key: etcd.Key("/t", etcd.DrainsFolder, id), Value: `{"v":1}`, Delete: off}
}

// startMember starts a member of a cluster that was stopped.
func startMember(t *testing.T, c *standin.Cluster, member int) {
	t.Helper()
	if err := c.StartMember(member); err != nil {
		t.Fatal(err)
	}
}

// A whole relay: what etcd drains gets nothing new, though discovery lists it as up, though
// the helper is killed, after a restart with no etcd in reach, and until etcd ends the
// drain; what etcd alone lists is called; a helper ends with its relay.
func TestDrainsFromEtcd(t *testing.T) {
	gone, stays, other := newFakeEndpoint(t, nil), newFakeEndpoint(t, nil), newFakeEndpoint(t, nil)
	c, err := standin.NewCluster(2)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	do := func(ops ...standin.Op) {
		t.Helper()
		if _, err := c.Apply(ops...); err != nil {
			t.Fatal(err)
		}
	}
	do(endpointOp(gone, "s-1", 1), endpointOp(stays, "s-2", 1), endpointOp(other, "e-3", 3))
	disc := newFakeDiscovery(t, gone.member("s-1", 1), stays.member("s-2", 1))
	env := testConfig(t, disc, 3)
	env["ROUTER_CONSOLE"] = freeAddr(t)
	configureEtcd(t, env, c)
	r := startChild(t, env)
	n := 0
	send := func(what string) { // six messages reach who stays
		t.Helper()
		cl := dialClient(t, env["ROUTER_LISTEN"])
		for range 6 {
			n++
			id := fmt.Sprint("m", n)
			if s := cl.put(id, putFields("plain", 20000, 1), nil); s != "+OK" {
				t.Fatalf("%s: %s", what, s)
			}
			waitFor(t, "the call of "+id, func() bool { return gone.count(id)+stays.count(id) == 1 })
			if gone.count(id) > 0 {
				t.Errorf("%s: %s went to who has drained", what, id)
			}
		}
	}
	avoided := func() int64 { return readStats(t, env["ROUTER_CONSOLE"])["cluster_unhealthy"] }
	listed := func() int64 { return readStats(t, env["ROUTER_CONSOLE"])["cluster_size"] }
	waitFor(t, "what etcd alone lists", func() bool {
		return dialClient(t, env["ROUTER_LISTEN"]).put("x", putFields("plain", 20000, 3), nil) == "+OK"
	})
	waitFor(t, "its call", func() bool { return other.count("x") == 1 })
	do(drainOp("s-1", false))
	waitFor(t, "the drain", func() bool { return avoided() == 1 })
	send("drained")
	up := gone.member("s-1", 1)
	disc.SendLine(t, discoverytest.ChangeText(5, up))
	late := stays.member("s-9", 1)
	disc.SendLine(t, discoverytest.ChangeText(6, late)) // once this is known, so is what came before
	waitFor(t, "discovery's list", func() bool { return listed() == 4 })
	if send("discovery lists it as up"); avoided() != 1 {
		t.Error("discovery has revoked the drain")
	}
	first := helperPID(t, env, 0)
	if err := syscall.Kill(first, syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	second := helperPID(t, env, first)
	send("the helper was killed")
	c.StopMember(0)
	c.StopMember(1)
	waitFor(t, "what is known to be saved", func() bool {
		text, _ := os.ReadFile(filepath.Join(env["ROUTER_STATE"], membersource.FileName))
		return strings.Contains(string(text), core.Draining)
	})
	r.kill()
	waitFor(t, "the helper's end", func() bool { return syscall.Kill(second, 0) != nil })
	startChild(t, env)
	waitFor(t, "the drain, after a restart", func() bool { return avoided() == 1 })
	send("after a restart without etcd")
	startMember(t, c, 0)
	startMember(t, c, 1)
	do(drainOp("s-1", true))
	waitFor(t, "the end of the drain", func() bool { return avoided() == 0 })
}

var drainRounds = flag.Int("drains", 2, "drains in each trouble under load; more for a measurement")

// Under load no new call begins at an endpoint more than 2 s after its drain was put
// into etcd: with all well, with watches that fall silent as it is put, and with a
// member that stops, while discovery goes on to list it as up.
func TestDrainsUnderLoad(t *testing.T) {
	var last atomic.Int64 // when a call last came to the one that drains, µs
	gone := newFakeEndpoint(t, func(http.ResponseWriter, *http.Request, int) { last.Store(time.Now().UnixMicro()) })
	stays := newFakeEndpoint(t, nil)
	c, err := standin.NewCluster(3)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	if _, err := c.Apply(endpointOp(gone, "s-1", 1), endpointOp(stays, "s-2", 1)); err != nil {
		t.Fatal(err)
	}
	disc := newFakeDiscovery(t, gone.member("s-1", 1), stays.member("s-2", 1))
	env := testConfig(t, disc, 3)
	configureEtcd(t, env, c)
	startChild(t, env)
	stop := make(chan struct{})
	var load sync.WaitGroup
	for k := range 4 {
		cl := dialClient(t, env["ROUTER_LISTEN"])
		if err := cl.SetDeadline(time.Time{}); err != nil {
			t.Fatal(err)
		}
		load.Add(1)
		go func() {
			defer load.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				put := encodePut(fmt.Sprintf("l%d-%d", k, n), putFields("plain", 8000, 1), nil)
				if _, err := io.WriteString(cl, put); err != nil {
					t.Error(err)
					return
				}
				if _, err := cl.reader.ReadString('\n'); err != nil {
					t.Error(err)
					return
				}
			}
		}()
	}
	defer load.Wait()
	defer close(stop)
	for _, x := range []struct {
		name string
		do   func(n int)
		undo func(n int)
		look time.Duration // for a call that still comes
	}{
		{"all well", func(int) {}, func(int) {}, 150 * time.Millisecond},
		{"silent watches", func(int) { c.SilenceWatches() }, func(int) {}, 1200 * time.Millisecond},
		{
			"a member stopped", func(n int) { c.StopMember(n % 3) }, func(n int) { startMember(t, c, n%3) },
			600 * time.Millisecond,
		},
	} {
		var took []time.Duration
		for n := range *drainRounds {
			seen := last.Load()
			waitFor(t, "calls there", func() bool { return last.Load() > seen })
			x.do(n)
			put := time.Now()
			if _, err := c.Apply(drainOp("s-1", false)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(x.look)
			took = append(took, max(time.Duration(last.Load()-put.UnixMicro())*time.Microsecond, 0))
			x.undo(n)
			if _, err := c.Apply(drainOp("s-1", true)); err != nil {
				t.Fatal(err)
			}
		}
		slices.Sort(took)
		longest := took[len(took)-1]
		t.Logf("%s: %d drains, last call after: median %v, p95 %v, longest %v",
			x.name, len(took), took[len(took)/2], took[len(took)*95/100], longest)
		if longest > 2*time.Second || longest >= x.look {
			t.Errorf("%s: a call %v after the put", x.name, longest)
		}
	}
}

// A relay begins with the list of its configuration, and discovery's first list may be a
// change of that: a drain in it is not lost for the view's lack of the list.
func TestChangeOfKnownList(t *testing.T) {
	gone, stays := newFakeEndpoint(t, nil), newFakeEndpoint(t, nil)
	c, err := standin.NewCluster(1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	drains := gone.member("s-1", 1)
	drains.Phase = core.Draining
	disc := newFakeDiscovery(t, drains, stays.member("s-2", 1))
	disc.List.Revision = 9
	env := testConfig(t, disc, 3, gone.member("s-1", 1), stays.member("s-2", 1))
	env["ROUTER_CONSOLE"] = freeAddr(t)
	configureEtcd(t, env, c)
	startChild(t, env)
	disc.SendLine(t, discoverytest.ChangeText(9, drains))
	waitFor(t, "the drain", func() bool { return readStats(t, env["ROUTER_CONSOLE"])["cluster_unhealthy"] == 1 })
}
