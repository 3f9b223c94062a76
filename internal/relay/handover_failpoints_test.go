package relay

import (
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"troutusher/internal/core"
	"troutusher/internal/discovery/discoverytest"
)

// The failpoints of each side of a hand-over, in the order in which a process reaches them.
var (
	outgoingFailpoints = []string{
		failpointOutgoingRequested,
		failpointOutgoingRequestsAnswered,
		failpointOutgoingQuiesced,
		failpointOutgoingStateSent,
		failpointOutgoingListenersSent,
		failpointOutgoingClientsSent,
		failpointOutgoingCallsSent,
		failpointOutgoingLockSent,
		failpointOutgoingAllSent,
		failpointOutgoingClaimed,
		failpointOutgoingReleased,
	}
	incomingFailpoints = []string{
		failpointIncomingConnected,
		failpointIncomingListReceived,
		failpointIncomingAllReceived,
		failpointIncomingLockAdopted,
		failpointIncomingClaimSent,
		failpointIncomingRecovered,
		failpointIncomingClientsAdopted,
		failpointIncomingServing,
	}
)

// testHandoverWithFailpoint performs a hand-over during which one side is killed or terminated at
// a failpoint, while one non-idempotent message is in flight and another message is pending.
// Afterwards exactly one relay must serve, the message in flight must have been sent once and have
// one outcome, and the pending message must be delivered once.
func testHandoverWithFailpoint(t *testing.T, outgoing bool, failpoint string) {
	t.Parallel()
	release := make(chan struct{})
	slow := newFakeEndpoint(t, blockUntil(release))
	quick := newFakeEndpoint(t, nil)
	discovery := newFakeDiscovery(t, slow.member("s-1", 1), quick.member("s-2", 2), unreachableMember("s-0", 5))
	env := testConfig(t, discovery, 3)
	plainEnv := env
	if outgoing {
		env = withFailpoint(env, failpoint)
	}
	predecessor := startAndWait(t, env)
	client := dialClient(t, env["ROUTER_LISTEN"])
	mustSubmitOnce(t, client, map[string]int{"out": 1, "held": 5})
	waitFor(t, "the call of message out", func() bool { return slow.count("out") == 1 })
	env = plainEnv
	if !outgoing {
		env = withFailpoint(env, failpoint)
	}
	successor := startPeer(t, env)
	survivor, exiting := successor, predecessor
	switch kill := strings.HasSuffix(failpoint, "=KILL"); {
	case kill && !outgoing:
		survivor, exiting = predecessor, successor
	case !kill && !outgoing: // the successor takes over and then shuts down
		survivor = nil
		waitFor(t, "the successor to exit", successor.hasExited)
	}
	waitFor(t, "one process to exit", exiting.hasExited)
	if survivor == nil {
		survivor = startAndWait(t, plainEnv)
	}
	waitFor(t, "the remaining process to be ready", survivor.isReady)
	close(release)
	line := discoverytest.ChangeText(7, quick.member("s-5", 5))
	waitFor(t, "delivery of the pending message", func() bool {
		discovery.SendLineToAll(line)
		return quick.count("held") == 1
	})
	newClient := dialClient(t, env["ROUTER_LISTEN"])
	if s := newClient.put("after", putFields("once", 8000, 2), nil); s != "+OK" {
		t.Errorf("put(after) once the hand-over is over = %s, want +OK", s)
	}
	waitFor(t, "delivery of message after", func() bool { return quick.count("after") == 1 })
	waitFor(t, "all messages to end", func() bool { return readStats(t, survivor.console())["current"] == 0 })
	if n := slow.count("out"); n != 1 {
		t.Errorf("attempts of non-idempotent message out = %d, want 1", n)
	}
	if n := quick.count("held"); n != 1 {
		t.Errorf("attempts of pending message held = %d, want 1", n)
	}
}

func TestProcessKilledDuringHandover(t *testing.T) {
	for _, p := range outgoingFailpoints {
		t.Run(p, func(t *testing.T) { testHandoverWithFailpoint(t, true, p+"=KILL") })
	}
	for _, p := range incomingFailpoints {
		t.Run(p, func(t *testing.T) { testHandoverWithFailpoint(t, false, p+"=KILL") })
	}
}

func TestProcessTerminatedDuringHandover(t *testing.T) {
	for _, p := range outgoingFailpoints {
		t.Run(p, func(t *testing.T) { testHandoverWithFailpoint(t, true, p+"=TERM") })
	}
	for _, p := range incomingFailpoints {
		t.Run(p, func(t *testing.T) { testHandoverWithFailpoint(t, false, p+"=TERM") })
	}
}

// Guards against a SIGHUP that is lost because it arrives during a hand-over: the configuration
// names a new discovery address, and one of the two processes receives SIGHUP at a failpoint. The
// process that serves afterwards must follow discovery at the new address, also if it had to be
// started from the write-ahead log.
func TestReloadDuringHandover(t *testing.T) {
	testReload := func(t *testing.T, outgoing bool, reloadFailpoint, successorFailpoint string) {
		t.Parallel()
		quick := newFakeEndpoint(t, nil)
		before, after := newFakeDiscovery(t, unreachableMember("s-0", 5)), newFakeDiscovery(t, quick.member("s-5", 5))
		after.List.Revision = 1 // revisions of two discovery services are not comparable
		before.List.Revision = 50
		env := testConfig(t, before, 3)
		text, err := os.ReadFile(env["ROUTER_CONFIG"])
		if err != nil {
			t.Fatal(err)
		}
		nextConfig := filepath.Join(t.TempDir(), "next.json")
		if err := os.WriteFile(
			nextConfig,
			[]byte(replaceDiscovery(after, before.Addr())(string(text))),
			0o600,
		); err != nil {
			t.Fatal(err)
		}
		reloadingEnv := withFailpoint(env, reloadFailpoint+"=HUP:"+nextConfig)
		predecessorEnv, successorEnv := env, reloadingEnv
		if outgoing {
			predecessorEnv, successorEnv = reloadingEnv, env
		}
		if successorFailpoint != "" {
			successorEnv = withFailpoint(env, successorFailpoint)
		}
		predecessor := startAndWait(t, predecessorEnv)
		client := dialClient(t, env["ROUTER_LISTEN"])
		mustSubmitOnce(t, client, map[string]int{"held": 5})
		successor := startPeer(t, successorEnv)
		if successorFailpoint != "" { // the successor dies, and the predecessor restarts from its log
			waitFor(t, "the successor to exit", successor.hasExited)
			waitFor(t, "the predecessor to be ready", predecessor.isReady)
		} else {
			waitFor(t, "the predecessor to exit", predecessor.hasExited)
			waitFor(t, "the successor to be ready", successor.isReady)
		}
		waitFor(t, "a call to the endpoint that only the new discovery lists", func() bool {
			return quick.count("held") == 1
		})
	}
	for _, p := range outgoingFailpoints {
		t.Run(p, func(t *testing.T) { testReload(t, true, p, "") })
	}
	for _, p := range incomingFailpoints {
		t.Run(p, func(t *testing.T) { testReload(t, false, p, "") })
	}
	t.Run("successor killed after recovery", func(t *testing.T) {
		testReload(t, true, failpointOutgoingQuiesced, failpointIncomingRecovered+"=KILL")
	})
}

// checkDrainKept submits messages for destination 1 and checks that none of them goes to the
// endpoint that is draining.
func checkDrainKept(t *testing.T, env map[string]string, draining, remaining *fakeEndpoint) {
	t.Helper()
	client := dialClient(t, env["ROUTER_LISTEN"])
	for _, id := range strings.Fields("a b c d e f g h i j k l") {
		client.mustPut(id, putFields("plain", 20000, 1), nil)
		waitFor(t, "the call of "+id, func() bool { return draining.count(id)+remaining.count(id) == 1 })
		if draining.count(id) > 0 {
			t.Errorf("message %s was sent to the draining endpoint", id)
		}
	}
}

// Guards against sending to a draining endpoint after a hand-over: the successor fetches its
// endpoint list first, and only then the predecessor receives an update that drains an endpoint.
// The successor must not fall back to its older list, in which that endpoint is up.
func TestSuccessorHasOlderList(t *testing.T) {
	draining, remaining := newFakeEndpoint(t, nil), newFakeEndpoint(t, nil)
	discovery := newFakeDiscovery(t, draining.member("s-1", 1), remaining.member("s-2", 1))
	env := testConfig(t, discovery, 3)
	predecessor := startAndWait(t, env)
	waitFor(t, "the predecessor to watch the list", func() bool {
		return discovery.Check(func() bool { return len(discovery.Watches) > 0 })
	})
	var watch chan string
	discovery.Update(func(d *fakeDiscovery) { watch = d.Watches[0] })
	resumeFile := filepath.Join(t.TempDir(), "go")
	successor := startPeer(t, withFailpoint(env, failpointIncomingListReceived+"=WAIT:"+resumeFile))
	waitFor(t, "the successor to receive its list", func() bool {
		_, err := os.Stat(resumeFile + ".at")
		return err == nil
	})
	discovery.Update(func(d *fakeDiscovery) { d.Silent = true }) // only the predecessor's watch gets the next update
	drainingMember := draining.member("s-1", 1)
	drainingMember.Phase = core.Draining
	line, err := json.Marshal(core.EndpointList{Revision: 9, Members: []core.Member{drainingMember}})
	if err != nil {
		t.Fatal(err)
	}
	watch <- string(line)
	waitFor(t, "the endpoint to drain", func() bool {
		return readStats(t, predecessor.console())["cluster_unhealthy"] == 1
	})
	if err := os.WriteFile(resumeFile, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the predecessor to exit", predecessor.hasExited)
	waitFor(t, "the successor to be ready", successor.isReady)
	if got := readStats(t, successor.console())["cluster_unhealthy"]; got != 1 {
		t.Errorf("cluster_unhealthy after the hand-over = %d, want 1", got)
	}
	checkDrainKept(t, env, draining, remaining)
}

// Guards against a start that fails because the system releases the lock of a dead process before
// its listening address: a process that has the lock must wait for the address and not exit.
func TestAddressReleasedAfterLock(t *testing.T) {
	endpoint := newFakeEndpoint(t, nil)
	env := testConfig(t, newFakeDiscovery(t, endpoint.member("s-1", 1)), 3)
	ln, err := net.Listen("tcp", env["ROUTER_LISTEN"])
	if err != nil {
		t.Fatal(err)
	}
	resumeFile := filepath.Join(t.TempDir(), "go")
	process := startPeer(t, withFailpoint(env, failpointAddressInUse+"=WAIT:"+resumeFile))
	waitFor(t, "the process to find its address in use", func() bool {
		_, err := os.Stat(resumeFile + ".at")
		return err == nil || process.hasExited()
	})
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(resumeFile, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the process to be ready or to exit", func() bool { return process.isReady() || process.hasExited() })
	if process.hasExited() {
		t.Error("the process exited because its address was in use, want it to wait for the address")
	}
}

// Guards against lists of an outdated discovery address: the successor was started with an address
// that the predecessor has replaced since, on SIGHUP. The successor must ignore lists from the
// former address, even while discovery at the new address does not answer.
func TestListFromFormerDiscoveryAddress(t *testing.T) {
	draining, remaining := newFakeEndpoint(t, nil), newFakeEndpoint(t, nil)
	drainingMember := draining.member("s-1", 1)
	drainingMember.Phase = core.Draining
	before, after := newFakeDiscovery(
		t,
		draining.member("s-1", 1),
		remaining.member("s-2", 1),
	), newFakeDiscovery(
		t,
		drainingMember,
		remaining.member("s-2", 1),
	)
	before.List.Revision = 50
	env := testConfig(t, before, 3)
	predecessor := startAndWait(t, env)
	rewriteConfig(t, env, replaceDiscovery(after, before.Addr()))
	predecessor.signal(t, syscall.SIGHUP)
	waitFor(t, "the endpoint to drain", func() bool {
		return readStats(t, predecessor.console())["cluster_unhealthy"] == 1
	})
	after.Update(func(d *fakeDiscovery) { d.Silent = true })
	successor := startPeer(t, env)
	waitFor(t, "the predecessor to exit", predecessor.hasExited)
	waitFor(t, "the successor to be ready", successor.isReady)
	if got := readStats(t, successor.console())["cluster_unhealthy"]; got != 1 {
		t.Errorf("cluster_unhealthy after the hand-over = %d, want 1", got)
	}
	checkDrainKept(t, env, draining, remaining)
}
