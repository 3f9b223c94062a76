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

// Points of a hand-over, in their order.
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

// testHandoverWithFailpoint plays a hand-over in which something happens to one side
// at a failpoint: the call of a non-idempotent message is open, another message is
// held. In the end one relay serves, the call was made once and has one end, and what
// was held is delivered once.
func testHandoverWithFailpoint(t *testing.T, outgoing bool, failpoint string) {
	t.Parallel()
	release := make(chan struct{})
	slow := newFakeEndpoint(t, blockUntil(release))
	quick := newFakeEndpoint(t, nil)
	disc := newFakeDiscovery(t, slow.member("s-1", 1), quick.member("s-2", 2), unreachableMember("s-0", 5))
	env := testConfig(t, disc, 3)
	plain := env
	if outgoing {
		env = withFailpoint(env, failpoint)
	}
	old := startAndWait(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	mustSubmitOnce(t, cl, map[string]int{"out": 1, "held": 5})
	waitFor(t, "the call", func() bool { return slow.count("out") == 1 })
	env = plain
	if !outgoing {
		env = withFailpoint(env, failpoint)
	}
	fresh := startPeer(t, env)
	left, ends := fresh, old
	switch kill := strings.HasSuffix(failpoint, "=KILL"); {
	case kill && !outgoing:
		left, ends = old, fresh
	case !kill && !outgoing: // it takes over, and ends
		left = nil
		waitFor(t, "the end of the new process", fresh.hasExited)
	}
	waitFor(t, "an end", ends.hasExited)
	if left == nil {
		left = startAndWait(t, plain)
	}
	waitFor(t, "yes", left.isReady)
	close(release)
	line := discoverytest.ChangeText(7, quick.member("s-5", 5))
	waitFor(t, "what was held", func() bool { disc.SendLineToAll(line); return quick.count("held") == 1 })
	late := dialClient(t, env["ROUTER_LISTEN"])
	if s := late.put("after", putFields("once", 8000, 2), nil); s != "+OK" {
		t.Errorf("after it: %s", s)
	}
	waitFor(t, "the message after it", func() bool { return quick.count("after") == 1 })
	waitFor(t, "all to end", func() bool { return readStats(t, left.console())["current"] == 0 })
	if n := slow.count("out"); n != 1 {
		t.Errorf("a non-idempotent message was sent %d times", n)
	}
	if n := quick.count("held"); n != 1 {
		t.Errorf("what was held was sent %d times", n)
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

// The configuration changes and SIGHUP comes to either side in the middle: who
// serves in the end follows discovery at its new address, and so does a process
// that is started from the log.
func TestReloadDuringHandover(t *testing.T) {
	moves := func(t *testing.T, outgoing bool, point, then string) {
		t.Parallel()
		quick := newFakeEndpoint(t, nil)
		before, after := newFakeDiscovery(t, unreachableMember("s-0", 5)), newFakeDiscovery(t, quick.member("s-5", 5))
		after.List.Revision = 1 // its versions are its own
		before.List.Revision = 50
		env := testConfig(t, before, 3)
		text, err := os.ReadFile(env["ROUTER_CONFIG"])
		if err != nil {
			t.Fatal(err)
		}
		next := filepath.Join(t.TempDir(), "next.json")
		if err := os.WriteFile(next, []byte(replaceDiscovery(after, before.Addr())(string(text))), 0o600); err != nil {
			t.Fatal(err)
		}
		hup := withFailpoint(env, point+"=HUP:"+next)
		first, second := env, hup
		if outgoing {
			first, second = hup, env
		}
		if then != "" {
			second = withFailpoint(env, then)
		}
		old := startAndWait(t, first)
		cl := dialClient(t, env["ROUTER_LISTEN"])
		mustSubmitOnce(t, cl, map[string]int{"held": 5})
		fresh := startPeer(t, second)
		if then != "" { // the new one dies: the old one starts anew
			waitFor(t, "its end", fresh.hasExited)
			waitFor(t, "yes", old.isReady)
		} else {
			waitFor(t, "the end of the old process", old.hasExited)
			waitFor(t, "yes", fresh.isReady)
		}
		waitFor(t, "what the new address alone lists", func() bool { return quick.count("held") == 1 })
	}
	for _, p := range outgoingFailpoints {
		t.Run(p, func(t *testing.T) { moves(t, true, p, "") })
	}
	for _, p := range incomingFailpoints {
		t.Run(p, func(t *testing.T) { moves(t, false, p, "") })
	}
	t.Run("and the new process dies", func(t *testing.T) {
		moves(t, true, failpointOutgoingQuiesced, failpointIncomingRecovered+"=KILL")
	})
}

// checkDrainKept submits messages for destination 1, of which one endpoint has drained.
func checkDrainKept(t *testing.T, env map[string]string, gone, stays *fakeEndpoint) {
	t.Helper()
	cl := dialClient(t, env["ROUTER_LISTEN"])
	for _, id := range strings.Fields("a b c d e f g h i j k l") {
		cl.mustPut(id, putFields("plain", 20000, 1), nil)
		waitFor(t, "the call of "+id, func() bool { return gone.count(id)+stays.count(id) == 1 })
		if gone.count(id) > 0 {
			t.Errorf("%s went to who has drained", id)
		}
	}
}

// A process that takes over has a list that is older than what the one before has
// heard since: what drained meanwhile is not up again.
func TestSuccessorHasOlderList(t *testing.T) {
	gone, stays := newFakeEndpoint(t, nil), newFakeEndpoint(t, nil)
	disc := newFakeDiscovery(t, gone.member("s-1", 1), stays.member("s-2", 1))
	env := testConfig(t, disc, 3)
	old := startAndWait(t, env)
	waitFor(t, "a watch", func() bool { return disc.Check(func() bool { return len(disc.Watches) > 0 }) })
	var watch chan string
	disc.Update(func(d *fakeDiscovery) { watch = d.Watches[0] })
	file := filepath.Join(t.TempDir(), "go")
	fresh := startPeer(t, withFailpoint(env, failpointIncomingListReceived+"=WAIT:"+file))
	waitFor(t, "the new one's list", func() bool { _, err := os.Stat(file + ".at"); return err == nil })
	disc.Update(func(d *fakeDiscovery) { d.Silent = true }) // the old one alone hears what follows
	drains := gone.member("s-1", 1)
	drains.Phase = core.Draining
	line, err := json.Marshal(core.EndpointList{Revision: 9, Members: []core.Member{drains}})
	if err != nil {
		t.Fatal(err)
	}
	watch <- string(line)
	waitFor(t, "the drain", func() bool { return readStats(t, old.console())["cluster_unhealthy"] == 1 })
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the end of the old process", old.hasExited)
	waitFor(t, "yes", fresh.isReady)
	if got := readStats(t, fresh.console())["cluster_unhealthy"]; got != 1 {
		t.Errorf("%d endpoints are avoided after the hand-over", got)
	}
	checkDrainKept(t, env, gone, stays)
}

// A process that dies lets go of its lock before its address: who starts on the
// first waits for the second, and does not end.
func TestAddressReleasedAfterLock(t *testing.T) {
	endpoint := newFakeEndpoint(t, nil)
	env := testConfig(t, newFakeDiscovery(t, endpoint.member("s-1", 1)), 3)
	ln, err := net.Listen("tcp", env["ROUTER_LISTEN"])
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "go")
	c := startPeer(t, withFailpoint(env, failpointAddressInUse+"=WAIT:"+file))
	waitFor(t, "it to find the address in use", func() bool {
		_, err := os.Stat(file + ".at")
		return err == nil || c.hasExited()
	})
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "yes, or its end", func() bool { return c.isReady() || c.hasExited() })
	if c.hasExited() {
		t.Error("it has ended")
	}
}

// A process that takes over was started with an address of discovery that the one
// before has left since on SIGHUP: lists from there are ignored, also where the new
// address is silent for now.
func TestListFromFormerDiscoveryAddress(t *testing.T) {
	gone, stays := newFakeEndpoint(t, nil), newFakeEndpoint(t, nil)
	drains := gone.member("s-1", 1)
	drains.Phase = core.Draining
	before, after := newFakeDiscovery(
		t,
		gone.member("s-1", 1),
		stays.member("s-2", 1),
	), newFakeDiscovery(
		t,
		drains,
		stays.member("s-2", 1),
	)
	before.List.Revision = 50
	env := testConfig(t, before, 3)
	old := startAndWait(t, env)
	rewriteConfig(t, env, replaceDiscovery(after, before.Addr()))
	old.signal(t, syscall.SIGHUP)
	waitFor(t, "the drain", func() bool { return readStats(t, old.console())["cluster_unhealthy"] == 1 })
	after.Update(func(d *fakeDiscovery) { d.Silent = true })
	fresh := startPeer(t, env)
	waitFor(t, "the end of the old process", old.hasExited)
	waitFor(t, "yes", fresh.isReady)
	if got := readStats(t, fresh.console())["cluster_unhealthy"]; got != 1 {
		t.Errorf("%d endpoints are avoided after the hand-over", got)
	}
	checkDrainKept(t, env, gone, stays)
}
