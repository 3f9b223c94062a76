package relay

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"troutusher/internal/core"
	"troutusher/internal/discovery/discoverytest"
	"troutusher/internal/handover/statelock"
	"troutusher/internal/handover/transfer"
	"troutusher/internal/resp"
	"troutusher/internal/wal"
)

// An upgrade under load: an idle client connection, half a command on another, an
// open call of a non-idempotent message, a held message, and a Retry-After that the
// old process received. Nothing is lost, nothing is sent twice, no connection ends.
func TestUpgrade(t *testing.T) { upgradeUnderLoad(t, os.Args[0], os.Args[0]) }

// upgradeUnderLoad has the work move from a process of one program to one of another.
func upgradeUnderLoad(t *testing.T, from, to string) {
	release := make(chan struct{})
	slow := newFakeEndpoint(t, blockUntil(release))
	busy := newFakeEndpoint(t, func(w http.ResponseWriter, r *http.Request, n int) {
		if n == 1 { // it never ran, and that is known in the other process only
			select {
			case <-release:
			case <-r.Context().Done():
			}
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	var retryAfterAt atomic.Int64 // when Retry-After was sent
	waits := newFakeEndpoint(t, func(w http.ResponseWriter, r *http.Request, n int) {
		if n == 1 {
			retryAfterAt.Store(time.Now().UnixMicro())
			w.Header().Set("Retry-After", "1.5")
			w.WriteHeader(http.StatusTooManyRequests)
		}
	})
	quick := newFakeEndpoint(t, nil)
	gone := unreachableMember("s-0", 5)
	disc := newFakeDiscovery(t,
		slow.member("s-1", 1), quick.member("s-2", 2), waits.member("s-3", 3), busy.member("s-4", 4), gone)
	env := testConfig(t, disc, 3)
	env[programEnv] = from
	old := startAndWait(t, env)
	cl, half := dialClient(t, env["ROUTER_LISTEN"]), dialClient(t, env["ROUTER_LISTEN"])
	mustSubmitOnce(t, cl, map[string]int{"out": 1, "wait": 3, "busy": 4})
	if s := cl.put("held", putFields("plain", 20000, 5), []byte("body")); s != "+OK" { // nobody serves 5 yet
		t.Fatal(s)
	}
	waitFor(t, "the calls", func() bool {
		return slow.count("out") == 1 && busy.count("busy") == 1 && retryAfterAt.Load() > 0
	})
	text := encodePut("half", putFields("keyed", 20000, 2), []byte("two\r\nlines"))
	half.send(text[:len(text)-9])
	waitFor(t, "the wait's answer", func() bool { return readStats(t, old.console())["current"] == 4 })

	old.env[programEnv] = to
	fresh := upgrade(t, old)
	if s := cl.put("after", putFields("plain", 8000, 2), nil); s != "+OK" {
		t.Errorf("on an open connection: %s", s)
	}
	half.send(text[len(text)-9:])
	if s := half.readLine(); s != "+OK" {
		t.Errorf("half a command: %s", s)
	}
	waitFor(t, "both", func() bool { return quick.count("after") == 1 && quick.count("half") == 1 })
	quick.mu.Lock()
	for _, c := range quick.calls {
		if c.id == "half" && string(c.body) != "two\r\nlines" {
			t.Errorf("half a command's body became %q", c.body)
		}
	}
	quick.mu.Unlock()
	waitFor(t, "the one that waits", func() bool { return waits.count("wait") == 2 })
	if waited := time.Now().UnixMicro() - retryAfterAt.Load(); waited < 1.4e6 {
		t.Errorf("sent %d ms after a Retry-After of 1,500", waited/1000)
	}
	close(release)
	other := newFakeEndpoint(t, nil)
	m := other.member("s-5", 5)
	disc.SendLine(t, discoverytest.ChangeText(7, m))
	waitFor(t, "the held one", func() bool { return other.count("held") == 1 })
	waitFor(t, "all to end", func() bool { return readStats(t, fresh.console())["current"] == 0 })
	got := readStats(t, fresh.console())
	if n := busy.count("busy"); n != 2 {
		t.Errorf("one that never ran went out %d times, want 2", n)
	}
	if n := slow.count("out"); n != 1 || got["answered.once"] != 3 || got["errored.once"] != 0 {
		t.Errorf("the call that was out went out %d times; figures %v", n, got)
	}
	disc.Update(func(d *fakeDiscovery) {
		if len(d.Notices) > 0 {
			t.Errorf("notices: %v", d.Notices)
		}
	})
}

// Again and again, also during a drain and with discovery silent: each process
// takes over from the one before, and the clients' connection lasts.
func TestConsecutiveUpgrades(t *testing.T) {
	endpoint := newFakeEndpoint(t, nil)
	disc := newFakeDiscovery(t, endpoint.member("s-1", 1))
	env := testConfig(t, disc, 3)
	now := startAndWait(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	stop := make(chan struct{})
	var sum sync.WaitGroup
	sum.Add(1)
	n := 0
	go func() {
		defer sum.Done()
		for ; ; n++ {
			select {
			case <-stop:
				return
			default:
			}
			cl.send(encodePut(fmt.Sprintf("m%d", n), putFields("once", 20000, 1), nil))
			if s, err := cl.reader.ReadString('\n'); err != nil || s != "+OK\r\n" {
				t.Errorf("m%d: %q %v", n, s, err)
				return
			}
		}
	}()
	for i := range 6 {
		if i == 4 {
			now.signal(t, syscall.SIGHUP) // read again, in the midst of it
		}
		now = upgrade(t, now)
	}
	disc.Update(func(d *fakeDiscovery) { d.Silent = true })
	now = upgrade(t, now)
	close(stop)
	sum.Wait()
	if n < 20 {
		t.Errorf("only %d messages", n)
	}
	waitFor(t, "all to end", func() bool { return readStats(t, now.console())["current"] == 0 })
	for i := range n { // each has one end; at this speed some are handed back
		id := fmt.Sprintf("m%d", i)
		calls := endpoint.count(id)
		if calls == 1 {
			continue
		}
		waitFor(t, "the notice of "+id, func() bool {
			x, ok := disc.Notice(id)
			return ok && x.Outcome == "handed_back"
		})
		if calls > 1 {
			t.Errorf("%s went out %d times", id, calls)
		}
	}
	// A drain is of the process that was asked for it: the next one serves.
	mustCall(t, now.console(), "DRAIN")
	now = upgrade(t, now)
	c := dialClient(t, env["ROUTER_LISTEN"])
	c.send(pingText)
	if s := c.readLine(); s != "+PONG" {
		t.Errorf("after an upgrade during a drain: %s", s)
	}
}

// The new process dies before it says that the work is its own, at each point:
// the old one serves on as if nothing had happened.
func TestSuccessorDiesBeforeClaim(t *testing.T) {
	for name, far := range map[string]func(k *testSuccessor){
		"greeted":                func(k *testSuccessor) {},
		"asked":                  func(k *testSuccessor) { k.send(transfer.PacketRequest) },
		"in the middle":          func(k *testSuccessor) { k.receive(1) },
		"with all, and the lock": func(k *testSuccessor) { k.receive(1000) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			slow := newFakeEndpoint(t, blockUntil(release))
			quick := newFakeEndpoint(t, nil)
			disc := newFakeDiscovery(t, slow.member("s-1", 1), quick.member("s-2", 2))
			env := testConfig(t, disc, 3)
			old := startAndWait(t, env)
			cl := dialClient(t, env["ROUTER_LISTEN"])
			cl.mustPut("out", putFields("once", 20000, 1), nil)
			waitFor(t, "the call", func() bool { return slow.count("out") == 1 })
			k := newTestSuccessor(t, env["ROUTER_STATE"])
			far(k)
			k.close()
			waitFor(t, "it to serve on", old.isReady)
			if s := cl.put("after", putFields("once", 8000, 2), nil); s != "+OK" {
				t.Errorf("on the open connection: %s", s)
			}
			waitFor(t, "the message after it", func() bool { return quick.count("after") == 1 })
			close(release)
			waitFor(t, "both to end", func() bool { return readStats(t, old.console())["answered.once"] == 2 })
			if n := slow.count("out"); n != 1 {
				t.Errorf("the call that was out went out %d times", n)
			}
			fresh := upgrade(t, old) // and the next one is taken seriously
			if s := cl.put("last", putFields("once", 8000, 2), nil); s != "+OK" {
				t.Errorf("after the next upgrade: %s", s)
			}
			waitFor(t, "the last", func() bool { return readStats(t, fresh.console())["answered.once"] == 1 })
		})
	}
}

// The new process dies after it has claimed the work, and before it serves: the old
// one recovers from the log, as after a kill.
func TestSuccessorDiesAfterClaim(t *testing.T) {
	quick, slow := newFakeEndpoint(t, nil), newFakeEndpoint(t, hang)
	disc := newFakeDiscovery(t, slow.member("s-1", 1), unreachableMember("s-0", 5))
	env := testConfig(t, disc, 3)
	old := startAndWait(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	mustSubmitOnce(t, cl, map[string]int{"out": 1, "held": 5})
	waitFor(t, "the call", func() bool { return slow.count("out") == 1 })
	k := newTestSuccessor(t, env["ROUTER_STATE"])
	k.receive(1000)
	if len(k.state.Core.Calls) != 1 || k.state.Core.Calls[0].Message != "out" {
		t.Errorf("calls: %+v", k.state.Core.Calls)
	}
	if !k.lock.Held() {
		t.Error("the lock did not come")
	}
	if err := k.conn.Send(transfer.PacketClaim, nil, time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	k.close()
	waitFor(t, "it to serve anew", old.isReady)
	checkRecoveredFromLog(t, disc, slow, quick)
}

// checkRecoveredFromLog checks that a process has recovered from the log: of two
// non-idempotent messages the call of one ("out") may have run and is given up, the
// other one ("held") never ran and is delivered.
func checkRecoveredFromLog(t *testing.T, disc *fakeDiscovery, slow, quick *fakeEndpoint) {
	t.Helper()
	waitFor(t, "the end of what may have run", func() bool {
		n, ok := disc.Notice("out")
		return ok && n.Outcome == "given_up"
	})
	disc.SendLine(t, discoverytest.ChangeText(7, quick.member("s-5", 5)))
	waitFor(t, "what never ran", func() bool { return quick.count("held") == 1 })
	if n := slow.count("out"); n != 1 {
		t.Errorf("a non-idempotent message was sent %d times", n)
	}
}

// The old process is killed while the new one waits for it: the new one starts
// from the log. So it does where a dead process has left lock and socket.
func TestPredecessorIsKilled(t *testing.T) {
	quick, slow := newFakeEndpoint(t, nil), newFakeEndpoint(t, hang)
	disc := newFakeDiscovery(t, slow.member("s-1", 1), unreachableMember("s-0", 5))
	env := testConfig(t, disc, 3)
	old := startAndWait(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	mustSubmitOnce(t, cl, map[string]int{"out": 1, "held": 5})
	waitFor(t, "the call", func() bool { return slow.count("out") == 1 })
	old.signal(t, syscall.SIGSTOP) // it answers nothing
	fresh := startPeer(t, env)
	waitFor(t, "the new process", func() bool { _, err := callConsole(fresh.console(), "READY"); return err == nil })
	if s, _ := callConsole(fresh.console(), "READY"); !strings.HasPrefix(s, "NO") {
		t.Errorf("READY while the old process owns the work: %q", s)
	}
	old.signal(t, syscall.SIGKILL)
	waitFor(t, "yes", fresh.isReady)
	if _, err := os.Stat(filepath.Join(env["ROUTER_STATE"], statelock.FileName)); err != nil {
		t.Error(err)
	}
	checkRecoveredFromLog(t, disc, slow, quick)
}

// The disk is nearly full when another process takes over: all that is owed
// still is, and the folder stays under its limit.
func TestUpgradeWithFullDisk(t *testing.T) {
	disc := newFakeDiscovery(t, unreachableMember("s-0", 5))
	env := testConfig(t, disc, 1)
	old := startAndWait(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	body := []byte(strings.Repeat("b", resp.MaxBodyBytes))
	taken := int64(0)
	for i := range 40 {
		if s := cl.put(fmt.Sprintf("m%d", i), putFields("plain", 20000, 5), body); s == "+OK" {
			taken++
		}
	}
	if taken == 0 || taken == 40 {
		t.Fatalf("%d of 40 taken on", taken)
	}
	for range 3 {
		old = upgrade(t, old)
		if got := readStats(t, old.console())["current"]; got != taken {
			t.Errorf("%d messages are held, %d were taken on", got, taken)
		}
		if size := folderSize(t, env["ROUTER_STATE"]); size > 1<<20 {
			t.Errorf("%d bytes in the folder", size)
		}
	}
}

// The old process is told to end in the middle of it, or has been already: the
// new one takes over what it holds and has out.
func TestUpgradeDuringShutdown(t *testing.T) {
	release := make(chan struct{})
	slow := newFakeEndpoint(t, blockUntil(release))
	disc := newFakeDiscovery(t, slow.member("s-1", 1), unreachableMember("s-0", 5))
	env := testConfig(t, disc, 3)
	old := startAndWait(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	mustSubmitOnce(t, cl, map[string]int{"out": 1, "held": 5})
	waitFor(t, "the call", func() bool { return slow.count("out") == 1 })
	old.signal(t, syscall.SIGTERM)
	fresh := upgrade(t, old)
	close(release)
	waitFor(t, "the call's end", func() bool { return readStats(t, fresh.console())["answered.once"] == 1 })
	if n, held := slow.count("out"), readStats(t, fresh.console())["current"]; n != 1 || held != 1 {
		t.Errorf("went out %d times, %d held", n, held)
	}
}

// Two new processes at once: one takes over, the other takes over from it, and
// in the end one serves.
func TestTwoSuccessorsAtOnce(t *testing.T) {
	endpoint := newFakeEndpoint(t, nil)
	env := testConfig(t, newFakeDiscovery(t, endpoint.member("s-1", 1)), 3)
	old := startAndWait(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	a, b := startPeer(t, env), startPeer(t, env)
	if err := <-old.exited; err != nil {
		t.Errorf("the old process: %v", err)
	}
	var left *child
	select { // the one that was second has taken over from the first
	case err := <-a.exited:
		left = b
		if err != nil {
			t.Errorf("the first new one: %v", err)
		}
	case err := <-b.exited:
		left = a
		if err != nil {
			t.Errorf("the first new one: %v", err)
		}
	}
	waitFor(t, "yes", left.isReady)
	if s := cl.put("m", putFields("once", 8000, 1), nil); s != "+OK" {
		t.Errorf("on the open connection: %s", s)
	}
	waitFor(t, "the message", func() bool { return endpoint.count("m") == 1 })
}

// Where an older program serves, which knows nothing of the lock, a new one
// ends at once, and does not touch its log.
func TestOlderProgramHoldsAddress(t *testing.T) {
	disc := newFakeDiscovery(t)
	env := testConfig(t, disc, 3)
	ln, err := net.Listen("tcp", env["ROUTER_LISTEN"]) // as an older program has it
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	log := filepath.Join(env["ROUTER_STATE"], wal.FileName)
	if err := os.WriteFile(log, []byte("a log that is in use"), 0o600); err != nil {
		t.Fatal(err)
	}
	c := startPeer(t, env)
	if err := <-c.exited; err == nil || c.cmd.ProcessState.ExitCode() != 1 {
		t.Errorf("exit: %v", err)
	}
	if text, err := os.ReadFile(log); err != nil || string(text) != "a log that is in use" {
		t.Errorf("the log became %q, %v", text, err)
	}
}

// The list in the configuration may be older than what the process before has
// heard: an endpoint that drained is not sent to because that one names it.
func TestUpgradeKeepsDrain(t *testing.T) {
	gone, stays := newFakeEndpoint(t, nil), newFakeEndpoint(t, nil)
	d := newFakeDiscovery(t)
	d.Update(func(d *fakeDiscovery) { d.WithoutEmptyLines = true })
	drains := gone.member("s-1", 1)
	env := testConfig(t, d, 3, drains, stays.member("s-2", 1))
	now := startAndWait(t, env)
	drains.Phase = core.Draining
	line, err := json.Marshal(core.EndpointList{Revision: 9, Members: []core.Member{drains}})
	if err != nil {
		t.Fatal(err)
	}
	d.SendLine(t, string(line))
	waitFor(t, "the drain", func() bool { return readStats(t, now.console())["cluster_unhealthy"] == 1 })
	d.Update(func(d *fakeDiscovery) { d.Silent = true })
	upgrade(t, now)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	for i := range 12 {
		id := fmt.Sprintf("m%d", i)
		cl.mustPut(id, putFields("plain", 20000, 1), nil)
		waitFor(t, "the call of "+id, func() bool { return gone.count(id)+stays.count(id) == 1 })
		if gone.count(id) > 0 {
			t.Errorf("%s went to who has drained", id)
		}
	}
}
