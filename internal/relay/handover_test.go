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

// Guards an upgrade against lost and repeated messages and closed connections. When it begins, one
// client connection is idle, another has sent part of a command, the call of a non-idempotent
// message is in flight, a message is pending, and the predecessor has received a Retry-After.
func TestUpgrade(t *testing.T) { upgradeUnderLoad(t, os.Args[0], os.Args[0]) }

// upgradeUnderLoad performs an upgrade from a process of one program to a process of another.
func upgradeUnderLoad(t *testing.T, from, to string) {
	release := make(chan struct{})
	slow := newFakeEndpoint(t, blockUntil(release))
	busy := newFakeEndpoint(t, func(w http.ResponseWriter, r *http.Request, n int) {
		if n == 1 { // rejected, so it never ran; only the successor gets this response
			select {
			case <-release:
			case <-r.Context().Done():
			}
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	var retryAfterAt atomic.Int64 // when Retry-After was sent
	limited := newFakeEndpoint(t, func(w http.ResponseWriter, r *http.Request, n int) {
		if n == 1 {
			retryAfterAt.Store(time.Now().UnixMicro())
			w.Header().Set("Retry-After", "1.5")
			w.WriteHeader(http.StatusTooManyRequests)
		}
	})
	quick := newFakeEndpoint(t, nil)
	unreachable := unreachableMember("s-0", 5)
	discovery := newFakeDiscovery(t,
		slow.member("s-1", 1), quick.member("s-2", 2), limited.member("s-3", 3), busy.member("s-4", 4), unreachable)
	env := testConfig(t, discovery, 3)
	env[programEnv] = from
	predecessor := startAndWait(t, env)
	client, partial := dialClient(t, env["ROUTER_LISTEN"]), dialClient(t, env["ROUTER_LISTEN"])
	mustSubmitOnce(t, client, map[string]int{"out": 1, "wait": 3, "busy": 4})
	// Destination 5 has no endpoint that is up yet.
	if s := client.put("held", putFields("plain", 20000, 5), []byte("body")); s != "+OK" {
		t.Fatalf("put(held) = %s, want +OK", s)
	}
	waitFor(t, "the first calls of out, busy and wait", func() bool {
		return slow.count("out") == 1 && busy.count("busy") == 1 && retryAfterAt.Load() > 0
	})
	text := encodePut("half", putFields("keyed", 20000, 2), []byte("two\r\nlines"))
	partial.send(text[:len(text)-9])
	waitFor(t, "four pending messages", func() bool { return readStats(t, predecessor.console())["current"] == 4 })

	predecessor.env[programEnv] = to
	successor := upgrade(t, predecessor)
	if s := client.put("after", putFields("plain", 8000, 2), nil); s != "+OK" {
		t.Errorf("put(after) on a connection from before the upgrade = %s, want +OK", s)
	}
	partial.send(text[len(text)-9:])
	if s := partial.readLine(); s != "+OK" {
		t.Errorf("reply to a command begun before the upgrade = %s, want +OK", s)
	}
	waitFor(t, "delivery of messages after and half", func() bool {
		return quick.count("after") == 1 && quick.count("half") == 1
	})
	quick.mu.Lock()
	for _, c := range quick.calls {
		if c.id == "half" && string(c.body) != "two\r\nlines" {
			t.Errorf("body of a command begun before the upgrade = %q, want %q", c.body, "two\r\nlines")
		}
	}
	quick.mu.Unlock()
	waitFor(t, "the second attempt of message wait", func() bool { return limited.count("wait") == 2 })
	if waited := time.Now().UnixMicro() - retryAfterAt.Load(); waited < 1.4e6 {
		t.Errorf("second attempt %d ms after a Retry-After of 1500 ms, want at least 1400 ms", waited/1000)
	}
	close(release)
	other := newFakeEndpoint(t, nil)
	added := other.member("s-5", 5)
	discovery.SendLine(t, discoverytest.ChangeText(7, added))
	waitFor(t, "delivery of the pending message", func() bool { return other.count("held") == 1 })
	waitFor(t, "all messages to end", func() bool { return readStats(t, successor.console())["current"] == 0 })
	got := readStats(t, successor.console())
	if n := busy.count("busy"); n != 2 {
		t.Errorf("attempts of message busy, whose first was rejected = %d, want 2", n)
	}
	if n := slow.count("out"); n != 1 || got["answered.once"] != 3 || got["errored.once"] != 0 {
		t.Errorf("attempts of message out = %d, want 1; STATS = %v, want answered.once 3, errored.once 0", n, got)
	}
	discovery.Update(func(d *fakeDiscovery) {
		if len(d.Notices) > 0 {
			t.Errorf("notices = %v, want none", d.Notices)
		}
	})
}

// Guards a series of upgrades under load, also with a reload, a silent discovery and a drain: each
// process must take over from the one before, and the client's connection must stay open.
func TestConsecutiveUpgrades(t *testing.T) {
	endpoint := newFakeEndpoint(t, nil)
	discovery := newFakeDiscovery(t, endpoint.member("s-1", 1))
	env := testConfig(t, discovery, 3)
	current := startAndWait(t, env)
	client := dialClient(t, env["ROUTER_LISTEN"])
	stop := make(chan struct{})
	var load sync.WaitGroup
	load.Add(1)
	n := 0
	go func() {
		defer load.Done()
		for ; ; n++ {
			select {
			case <-stop:
				return
			default:
			}
			client.send(encodePut(fmt.Sprintf("m%d", n), putFields("once", 20000, 1), nil))
			if s, err := client.reader.ReadString('\n'); err != nil || s != "+OK\r\n" {
				t.Errorf("reply to message m%d = %q, %v; want +OK", n, s, err)
				return
			}
		}
	}()
	for i := range 6 {
		if i == 4 {
			current.signal(t, syscall.SIGHUP) // the configuration is reloaded during the upgrade
		}
		current = upgrade(t, current)
	}
	discovery.Update(func(d *fakeDiscovery) { d.Silent = true })
	current = upgrade(t, current)
	close(stop)
	load.Wait()
	if n < 20 {
		t.Errorf("%d messages submitted during the upgrades, want at least 20", n)
	}
	waitFor(t, "all messages to end", func() bool { return readStats(t, current.console())["current"] == 0 })
	for i := range n { // each has one outcome; at this rate some are handed back
		id := fmt.Sprintf("m%d", i)
		calls := endpoint.count(id)
		if calls == 1 {
			continue
		}
		waitFor(t, "the notice of "+id, func() bool {
			x, ok := discovery.Notice(id)
			return ok && x.Outcome == "handed_back"
		})
		if calls > 1 {
			t.Errorf("attempts of message %s = %d, want 1 at most", id, calls)
		}
	}
}

// Guards against an upgrade that leaves no process serving: the successor dies at one of several
// points before it claims ownership. The predecessor must continue to serve with all its
// connections and calls, and must accept the next successor.
func TestSuccessorDiesBeforeClaim(t *testing.T) {
	for name, proceed := range map[string]func(fake *testSuccessor){
		"after the hellos":               func(fake *testSuccessor) {},
		"after the request":              func(fake *testSuccessor) { fake.send(transfer.PacketRequest) },
		"after the first packet":         func(fake *testSuccessor) { fake.receive(1) },
		"after all packets and the lock": func(fake *testSuccessor) { fake.receive(1000) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			slow := newFakeEndpoint(t, blockUntil(release))
			quick := newFakeEndpoint(t, nil)
			discovery := newFakeDiscovery(t, slow.member("s-1", 1), quick.member("s-2", 2))
			env := testConfig(t, discovery, 3)
			predecessor := startAndWait(t, env)
			client := dialClient(t, env["ROUTER_LISTEN"])
			client.mustPut("out", putFields("once", 20000, 1), nil)
			waitFor(t, "the call of message out", func() bool { return slow.count("out") == 1 })
			fake := newTestSuccessor(t, env["ROUTER_STATE"])
			proceed(fake)
			fake.close()
			waitFor(t, "the predecessor to be ready", predecessor.isReady)
			if s := client.put("after", putFields("once", 8000, 2), nil); s != "+OK" {
				t.Errorf("put(after) on the open connection = %s, want +OK", s)
			}
			waitFor(t, "delivery of message after", func() bool { return quick.count("after") == 1 })
			close(release)
			waitFor(t, "two delivered messages in STATS", func() bool {
				return readStats(t, predecessor.console())["answered.once"] == 2
			})
			if n := slow.count("out"); n != 1 {
				t.Errorf("attempts of message out = %d, want 1", n)
			}
			successor := upgrade(t, predecessor) // the next hand-over must succeed
			if s := client.put("last", putFields("once", 8000, 2), nil); s != "+OK" {
				t.Errorf("put(last) after the next upgrade = %s, want +OK", s)
			}
			waitFor(t, "delivery of message last", func() bool {
				return readStats(t, successor.console())["answered.once"] == 1
			})
		})
	}
}

// Guards against an upgrade that leaves no process serving: the successor dies after it has claimed
// ownership and before it serves. The predecessor must recover from the write-ahead log, as after a
// kill.
func TestSuccessorDiesAfterClaim(t *testing.T) {
	quick, slow := newFakeEndpoint(t, nil), newFakeEndpoint(t, hang)
	discovery := newFakeDiscovery(t, slow.member("s-1", 1), unreachableMember("s-0", 5))
	env := testConfig(t, discovery, 3)
	predecessor := startAndWait(t, env)
	client := dialClient(t, env["ROUTER_LISTEN"])
	mustSubmitOnce(t, client, map[string]int{"out": 1, "held": 5})
	waitFor(t, "the call of message out", func() bool { return slow.count("out") == 1 })
	fake := newTestSuccessor(t, env["ROUTER_STATE"])
	fake.receive(1000)
	if len(fake.state.Core.Calls) != 1 || fake.state.Core.Calls[0].Message != "out" {
		t.Errorf("calls handed over = %+v, want only that of message out", fake.state.Core.Calls)
	}
	if !fake.lock.Held() {
		t.Error("lock.Held() = false after all packets were received, want true")
	}
	if err := fake.conn.Send(transfer.PacketClaim, nil, time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	fake.close()
	waitFor(t, "the predecessor to be ready again", predecessor.isReady)
	checkRecoveredFromLog(t, discovery, slow, quick)
}

// checkRecoveredFromLog checks that a process has recovered two non-idempotent messages from the
// write-ahead log: it gives up message "out", whose call may have run, and delivers message "held",
// which was never sent.
func checkRecoveredFromLog(t *testing.T, discovery *fakeDiscovery, slow, quick *fakeEndpoint) {
	t.Helper()
	waitFor(t, "the notice that message out was given up", func() bool {
		n, ok := discovery.Notice("out")
		return ok && n.Outcome == "given_up"
	})
	discovery.SendLine(t, discoverytest.ChangeText(7, quick.member("s-5", 5)))
	waitFor(t, "delivery of message held", func() bool { return quick.count("held") == 1 })
	if n := slow.count("out"); n != 1 {
		t.Errorf("attempts of non-idempotent message out = %d, want 1", n)
	}
}

// Guards a successor whose predecessor stops responding and is killed: the successor must recover
// from the write-ahead log. The same applies to a start that finds the lock file and the socket of
// a dead process.
func TestPredecessorIsKilled(t *testing.T) {
	quick, slow := newFakeEndpoint(t, nil), newFakeEndpoint(t, hang)
	discovery := newFakeDiscovery(t, slow.member("s-1", 1), unreachableMember("s-0", 5))
	env := testConfig(t, discovery, 3)
	predecessor := startAndWait(t, env)
	client := dialClient(t, env["ROUTER_LISTEN"])
	mustSubmitOnce(t, client, map[string]int{"out": 1, "held": 5})
	waitFor(t, "the call of message out", func() bool { return slow.count("out") == 1 })
	predecessor.signal(t, syscall.SIGSTOP) // it no longer responds
	successor := startPeer(t, env)
	waitFor(t, "the console of the successor", func() bool {
		_, err := callConsole(successor.console(), "READY")
		return err == nil
	})
	if s, _ := callConsole(successor.console(), "READY"); !strings.HasPrefix(s, "NO") {
		t.Errorf("READY of the successor while the predecessor owns the state = %q, want NO", s)
	}
	predecessor.signal(t, syscall.SIGKILL)
	waitFor(t, "the successor to be ready", successor.isReady)
	if _, err := os.Stat(filepath.Join(env["ROUTER_STATE"], statelock.FileName)); err != nil {
		t.Error(err)
	}
	checkRecoveredFromLog(t, discovery, slow, quick)
}

// Guards upgrades with a nearly full disk: no pending message may be lost, and the state folder
// must stay within its limit.
func TestUpgradeWithFullDisk(t *testing.T) {
	discovery := newFakeDiscovery(t, unreachableMember("s-0", 5))
	env := testConfig(t, discovery, 1)
	predecessor := startAndWait(t, env)
	client := dialClient(t, env["ROUTER_LISTEN"])
	body := []byte(strings.Repeat("b", resp.MaxBodyBytes))
	accepted := int64(0)
	for i := range 40 {
		if s := client.put(fmt.Sprintf("m%d", i), putFields("plain", 20000, 5), body); s == "+OK" {
			accepted++
		}
	}
	if accepted == 0 || accepted == 40 {
		t.Fatalf("%d of 40 messages accepted, want some accepted and some rejected", accepted)
	}
	for range 3 {
		predecessor = upgrade(t, predecessor)
		if got := readStats(t, predecessor.console())["current"]; got != accepted {
			t.Errorf("pending messages after an upgrade = %d, want %d as accepted", got, accepted)
		}
		if size := folderSize(t, env["ROUTER_STATE"]); size > 1<<20 {
			t.Errorf("size of the state folder = %d bytes, want %d at most", size, 1<<20)
		}
	}
}

// Guards an upgrade that begins while the predecessor shuts down: the successor must take over the
// pending message and the call in flight.
func TestUpgradeDuringShutdown(t *testing.T) {
	release := make(chan struct{})
	slow := newFakeEndpoint(t, blockUntil(release))
	discovery := newFakeDiscovery(t, slow.member("s-1", 1), unreachableMember("s-0", 5))
	env := testConfig(t, discovery, 3)
	predecessor := startAndWait(t, env)
	client := dialClient(t, env["ROUTER_LISTEN"])
	mustSubmitOnce(t, client, map[string]int{"out": 1, "held": 5})
	waitFor(t, "the call of message out", func() bool { return slow.count("out") == 1 })
	predecessor.signal(t, syscall.SIGTERM)
	successor := upgrade(t, predecessor)
	close(release)
	waitFor(t, "the outcome of message out", func() bool {
		return readStats(t, successor.console())["answered.once"] == 1
	})
	if n, held := slow.count("out"), readStats(t, successor.console())["current"]; n != 1 || held != 1 {
		t.Errorf("attempts of message out = %d, want 1; pending messages = %d, want 1", n, held)
	}
}

// Guards against two successors that start at the same time: one must take over first, the other
// from that one, so that exactly one process serves in the end.
func TestTwoSuccessorsAtOnce(t *testing.T) {
	endpoint := newFakeEndpoint(t, nil)
	env := testConfig(t, newFakeDiscovery(t, endpoint.member("s-1", 1)), 3)
	predecessor := startAndWait(t, env)
	client := dialClient(t, env["ROUTER_LISTEN"])
	first, second := startPeer(t, env), startPeer(t, env)
	if err := <-predecessor.exited; err != nil {
		t.Errorf("exit of the predecessor: %v, want success", err)
	}
	var survivor *child
	select { // one successor has taken over from the other
	case err := <-first.exited:
		survivor = second
		if err != nil {
			t.Errorf("exit of the first successor: %v, want success", err)
		}
	case err := <-second.exited:
		survivor = first
		if err != nil {
			t.Errorf("exit of the second successor: %v, want success", err)
		}
	}
	waitFor(t, "the remaining successor to be ready", survivor.isReady)
	if s := client.put("m", putFields("once", 8000, 1), nil); s != "+OK" {
		t.Errorf("put(m) on the open connection = %s, want +OK", s)
	}
	waitFor(t, "delivery of message m", func() bool { return endpoint.count("m") == 1 })
}

// Guards the log of a running older program, which serves on the address without holding the lock:
// a new process must exit with an error and leave the log unchanged.
func TestOlderProgramHoldsAddress(t *testing.T) {
	discovery := newFakeDiscovery(t)
	env := testConfig(t, discovery, 3)
	ln, err := net.Listen("tcp", env["ROUTER_LISTEN"]) // stands for the older program
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	logPath := filepath.Join(env["ROUTER_STATE"], wal.FileName)
	if err := os.WriteFile(logPath, []byte("a log that is in use"), 0o600); err != nil {
		t.Fatal(err)
	}
	process := startPeer(t, env)
	if err := <-process.exited; err == nil || process.cmd.ProcessState.ExitCode() != 1 {
		t.Errorf("exit = %v, want exit code 1", err)
	}
	if text, err := os.ReadFile(logPath); err != nil || string(text) != "a log that is in use" {
		t.Errorf("log = %q, %v; want it unchanged", text, err)
	}
}

// Guards against sending to a draining endpoint after an upgrade: the configuration's endpoint list
// is older than an update that the predecessor has received and still has the endpoint as up.
func TestUpgradeKeepsDrain(t *testing.T) {
	draining, remaining := newFakeEndpoint(t, nil), newFakeEndpoint(t, nil)
	discovery := newFakeDiscovery(t)
	discovery.Update(func(discovery *fakeDiscovery) { discovery.WithoutHeartbeats = true })
	drainingMember := draining.member("s-1", 1)
	env := testConfig(t, discovery, 3, drainingMember, remaining.member("s-2", 1))
	predecessor := startAndWait(t, env)
	drainingMember.Phase = core.Draining
	line, err := json.Marshal(core.EndpointList{Revision: 9, Members: []core.Member{drainingMember}})
	if err != nil {
		t.Fatal(err)
	}
	discovery.SendLine(t, string(line))
	waitFor(t, "the endpoint to drain", func() bool {
		return readStats(t, predecessor.console())["cluster_unhealthy"] == 1
	})
	discovery.Update(func(discovery *fakeDiscovery) { discovery.Silent = true })
	upgrade(t, predecessor)
	client := dialClient(t, env["ROUTER_LISTEN"])
	for i := range 12 {
		id := fmt.Sprintf("m%d", i)
		client.mustPut(id, putFields("plain", 20000, 1), nil)
		waitFor(t, "the call of "+id, func() bool { return draining.count(id)+remaining.count(id) == 1 })
		if draining.count(id) > 0 {
			t.Errorf("message %s was sent to the draining endpoint", id)
		}
	}
}

// Guards against sending to an endpoint for good that drains in the configuration's endpoint list: the
// predecessor had missed the drain, or was told by discovery at another address, and the successor's watch
// begins after the configuration's revision.
func TestUpgradeAppliesNewerConfiguredList(t *testing.T) {
	for _, sameAddress := range []bool{true, false} {
		t.Run(fmt.Sprintf("same address: %v", sameAddress), func(t *testing.T) {
			draining, remaining := newFakeEndpoint(t, nil), newFakeEndpoint(t, nil)
			drainingMember, remainingMember := draining.member("s-1", 1), remaining.member("s-2", 1)
			discovery := newFakeDiscovery(t)
			env := testConfig(t, discovery, 3, drainingMember, remainingMember)
			predecessor := startAndWait(t, env)
			drainingMember.Phase = core.Draining
			members := []core.Member{drainingMember, remainingMember}
			list := core.EndpointList{Revision: 9, Complete: true, Members: members}
			if !sameAddress {
				discovery = newFakeDiscovery(t)
				predecessor.env["ROUTER_DISCOVERY"] = discovery.Addr()
			}
			discovery.Update(func(d *fakeDiscovery) { d.List = list })
			setKnownList(t, env, &list)
			successor := upgrade(t, predecessor)
			waitFor(t, "the successor to watch the list", func() bool { return watchedFrom(discovery) == "9" })
			if !sameAddress {
				waitFor(t, "the complete list of the other address", func() bool {
					return readStats(t, successor.console())["cluster_unhealthy"] == 1
				})
			}
			checkDrainKept(t, env, draining, remaining)
		})
	}
}

// watchedFrom returns the revision after which the newest watch asked for changes.
func watchedFrom(discovery *fakeDiscovery) (revision string) {
	discovery.Update(func(d *fakeDiscovery) {
		if len(d.WatchedFrom) > 0 {
			revision = d.WatchedFrom[len(d.WatchedFrom)-1]
		}
	})
	return revision
}
