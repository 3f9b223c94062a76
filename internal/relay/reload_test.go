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

// Guards a running relay against SIGHUP, which ends a process that does not
// catch it. Watch and notices move to the address in the file, though the
// environment still names the old one; notices that the old one did not
// confirm go to the new one; a file that is wrong changes nothing; and the
// relay goes on serving, moves again, and ends as planned.
func TestReload(t *testing.T) {
	before, after, last := newFakeEndpoint(t, nil), newFakeEndpoint(t, nil), newFakeEndpoint(t, nil)
	lost := newFakeEndpoint(t, respondStatus(http.StatusServiceUnavailable))
	first := newFakeDiscovery(t, before.member("s-1", 1), lost.member("s-9", 9))
	first.Update(func(d *fakeDiscovery) { d.NoticeStatus = http.StatusInternalServerError })
	env := testConfig(t, first, 3)
	c := startChild(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	put := func(id, f string) {
		t.Helper()
		cl.mustPut(id, f, nil)
	}
	put("a", putFields("plain", 8000, 1))
	put("unheard", putFields("plain", 600, 9))
	waitFor(t, "a message at the first endpoint", func() bool { return before.count("a") == 1 })
	// The load goes on over all that follows.
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
				t.Errorf("under load: %s", s)
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
	// The second address has a lower revision: the two are not compared.
	second := newFakeDiscovery(t, after.member("s-1", 1), lost.member("s-9", 9))
	second.Update(func(d *fakeDiscovery) { d.List.Revision = 0 })
	rewriteConfig(t, env, replaceDiscovery(second, first.Addr()))
	c.signal(t, syscall.SIGHUP)
	waitFor(t, "a watch at the second address", func() bool {
		return second.Check(func() bool {
			return second.Fetches == 1 && len(second.WatchedFrom) == 1 && second.WatchedFrom[0] == "0"
		})
	})
	waitFor(t, "a notice at the second address", func() bool { _, ok := second.Notice("unheard"); return ok })
	waitFor(t, "a message at the second list's endpoint", func() bool {
		id := fmt.Sprintf("b%d", seq.Add(1))
		put(id, putFields("plain", 8000, 1))
		waitFor(t, id, func() bool { return before.count(id)+after.count(id) == 1 })
		return after.count(id) == 1
	})
	rewriteConfig(t, env, func(string) string { return "{" })
	c.signal(t, syscall.SIGHUP)
	if err := os.Remove(env["ROUTER_CONFIG"]); err != nil {
		t.Fatal(err)
	}
	c.signal(t, syscall.SIGHUP)
	put("c", putFields("plain", 8000, 1))
	waitFor(t, "service under the old configuration", func() bool { return after.count("c") == 1 })
	third := newFakeDiscovery(t, last.member("s-1", 1))
	fresh := testConfig(t, third, 3)
	text, err := os.ReadFile(fresh["ROUTER_CONFIG"])
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(env["ROUTER_CONFIG"], text, 0o600); err != nil {
		t.Fatal(err)
	}
	c.signal(t, syscall.SIGHUP)
	waitFor(t, "a message at the third list's endpoint", func() bool {
		id := fmt.Sprintf("d%d", seq.Add(1))
		put(id, putFields("plain", 8000, 1))
		waitFor(t, id, func() bool { return before.count(id)+after.count(id)+last.count(id) == 1 })
		return last.count(id) == 1
	})
	close(stop)
	<-done
	second.Update(func(d *fakeDiscovery) {
		if d.Fetches != 1 {
			t.Errorf("the second address was asked %d times for the list", d.Fetches)
		}
	})
	c.signal(t, syscall.SIGTERM)
	if err := c.cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// The file wins over the environment once it is read again, and only for
// discovery.
func TestReloadPrecedence(t *testing.T) {
	env := testConfig(t, newFakeDiscovery(t), 3)
	env["ROUTER_DISCOVERY"], env["ROUTER_NAME"] = "127.0.0.1:9", "other"
	get := func(k string) string { return env[k] }
	start, err := config.Load(get)
	if err != nil || start.Discovery != "127.0.0.1:9" {
		t.Fatalf("at the start %+v, %v", start, err)
	}
	again, err := config.Reload(get)
	if err != nil || again.Discovery == "127.0.0.1:9" || again.Name != "other" {
		t.Fatalf("again %+v, %v", again, err)
	}
	rewriteConfig(t, env, func(s string) string { return strings.Replace(s, `"discovery"`, `"x"`, 1) })
	if again, err = config.Reload(get); err != nil || again.Discovery != "127.0.0.1:9" {
		t.Errorf("with none in the file %+v, %v", again, err)
	}
}
