package relay

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"troutusher/internal/config"
)

// Guards a running relay that receives SIGHUP, which by default ends a process:
//   - Watch and notices must move to the discovery address in the configuration file, although the
//     environment still has the old address.
//   - Notices that the old address has not confirmed must be sent to the new one.
//   - An invalid or missing file must change nothing.
//   - The relay must serve throughout, follow a second change of the address, and shut down
//     cleanly.
func TestReload(t *testing.T) {
	before, after, last := newFakeEndpoint(t, nil), newFakeEndpoint(t, nil), newFakeEndpoint(t, nil)
	lost := newFakeEndpoint(t, respondStatus(http.StatusServiceUnavailable))
	first := newFakeDiscovery(t, before.member("s-1", 1), lost.member("s-9", 9))
	first.Update(func(d *fakeDiscovery) { d.NoticeStatus = http.StatusInternalServerError })
	env := testConfig(t, first, 3)
	relay := startChild(t, env)
	client := dialClient(t, env["ROUTER_LISTEN"])
	mustPut := func(id, fields string) {
		t.Helper()
		client.mustPut(id, fields, nil)
	}
	mustPut("a", putFields("plain", 8000, 1))
	mustPut("unheard", putFields("plain", 600, 9))
	waitFor(t, "a message at the first endpoint", func() bool { return before.count("a") == 1 })
	// The load lasts until the last reload has taken effect.
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		load := dialClient(t, env["ROUTER_LISTEN"])
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
			}
			id := fmt.Sprintf("load%d", i)
			if s := load.put(id, putFields("plain", 8000, 1), nil); s != "+OK" {
				t.Errorf("put(%s) under load = %s, want +OK", id, s)
				return
			}
			for before.count(id)+after.count(id)+last.count(id) == 0 { // one at a time
				select {
				case <-stop:
					return
				case <-time.After(time.Millisecond):
				}
			}
		}
	}()
	// The second address has a lower revision: revisions of different addresses are not compared.
	second := newFakeDiscovery(t, after.member("s-1", 1), lost.member("s-9", 9))
	second.Update(func(d *fakeDiscovery) { d.List.Revision = 0 })
	rewriteConfig(t, env, replaceDiscovery(second, first.Addr()))
	relay.signal(t, syscall.SIGHUP)
	waitFor(t, "a watch at the second address", func() bool {
		return second.Check(func() bool {
			return second.Fetches == 1 && len(second.WatchedFrom) == 1 && second.WatchedFrom[0] == "0"
		})
	})
	waitFor(t, "a notice at the second address", func() bool { _, ok := second.Notice("unheard"); return ok })
	waitFor(t, "a message at the second list's endpoint", func() bool {
		id := fmt.Sprintf("b%d", idSequence.Add(1))
		mustPut(id, putFields("plain", 8000, 1))
		waitFor(t, "the call of "+id, func() bool { return before.count(id)+after.count(id) == 1 })
		return after.count(id) == 1
	})
	rewriteConfig(t, env, func(string) string { return "{" })
	relay.signal(t, syscall.SIGHUP)
	if err := os.Remove(env["ROUTER_CONFIG"]); err != nil {
		t.Fatal(err)
	}
	relay.signal(t, syscall.SIGHUP)
	mustPut("c", putFields("plain", 8000, 1))
	waitFor(t, "service under the old configuration", func() bool { return after.count("c") == 1 })
	third := newFakeDiscovery(t, last.member("s-1", 1))
	thirdEnv := testConfig(t, third, 3)
	text, err := os.ReadFile(thirdEnv["ROUTER_CONFIG"])
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(env["ROUTER_CONFIG"], text, 0o600); err != nil {
		t.Fatal(err)
	}
	relay.signal(t, syscall.SIGHUP)
	waitFor(t, "a message at the third list's endpoint", func() bool {
		id := fmt.Sprintf("d%d", idSequence.Add(1))
		mustPut(id, putFields("plain", 8000, 1))
		waitFor(t, "the call of "+id, func() bool { return before.count(id)+after.count(id)+last.count(id) == 1 })
		return last.count(id) == 1
	})
	close(stop)
	<-done
	second.Update(func(d *fakeDiscovery) {
		if d.Fetches != 1 {
			t.Errorf("fetches of the list at the second address = %d, want 1", d.Fetches)
		}
	})
	relay.signal(t, syscall.SIGTERM)
	if err := relay.cmd.Wait(); err != nil {
		t.Errorf("exit after SIGTERM: %v, want success", err)
	}
}

// Guards which source wins: at the start the environment, on a reload the configuration file, but
// there only for the discovery address.
func TestReloadPrecedence(t *testing.T) {
	env := testConfig(t, newFakeDiscovery(t), 3)
	env["ROUTER_DISCOVERY"], env["ROUTER_NAME"] = "127.0.0.1:9", "other"
	get := func(k string) string { return env[k] }
	loaded, err := config.Load(get)
	if err != nil || loaded.Discovery != "127.0.0.1:9" {
		t.Fatalf("Load() = %+v, %v; want the discovery address of the environment", loaded, err)
	}
	reloaded, err := config.Reload(get)
	if err != nil || reloaded.Discovery == "127.0.0.1:9" || reloaded.Name != "other" {
		t.Fatalf("Reload() = %+v, %v; want the discovery address of the file, the name of the environment",
			reloaded, err)
	}
	rewriteConfig(t, env, func(s string) string { return strings.Replace(s, `"discovery"`, `"x"`, 1) })
	if reloaded, err = config.Reload(get); err != nil || reloaded.Discovery != "127.0.0.1:9" {
		t.Errorf("Reload() with no address in the file = %+v, %v; want that of the environment", reloaded, err)
	}
}
