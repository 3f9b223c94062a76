package relay

import (
	"encoding/json"
	"testing"

	"troutusher/internal/core"
)

// Guards the start against a discovery that does not answer: the relay must become ready and
// accept messages although it has no endpoint list.
func TestStartWithoutDiscovery(t *testing.T) {
	discovery := newFakeDiscovery(t)
	discovery.Update(func(discovery *fakeDiscovery) { discovery.Silent = true })
	env := testConfig(t, discovery, 3)
	startChild(t, env)
	client := dialClient(t, env["ROUTER_LISTEN"])
	if s := client.put("m", putFields("plain", 20000, 1), nil); s != "+OK" {
		t.Errorf("put(m) while discovery is silent = %s, want +OK", s)
	}
}

// Guards the start against waiting for discovery and against calls by an outdated list: until the
// first endpoint list of discovery arrives, clients must get their replies and deadlines must
// expire, but no call may be made. Afterwards calls must go to the endpoints of that list.
func TestStartAnswersBeforeTheList(t *testing.T) {
	former, current := newFakeEndpoint(t, nil), newFakeEndpoint(t, nil)
	discovery := newFakeDiscovery(t)
	discovery.Update(func(discovery *fakeDiscovery) { discovery.WithoutHeartbeats = true })
	formerMember := former.member("s-old", 1)
	env := testConfig(t, discovery, 3, formerMember)
	env[firstListTimeoutEnv] = "1h"
	startChild(t, env)
	client := dialClient(t, env["ROUTER_LISTEN"])
	if s := client.put("m", putFields("plain", 20000, 1), nil); s != "+OK" {
		t.Fatalf("put(m) before the first list = %s, want +OK", s)
	}
	if s := client.put("short", putFields("plain", 50, 1), nil); s != "+OK" {
		t.Fatalf("put(short) before the first list = %s, want +OK", s)
	}
	waitFor(t, "the notice of a message whose deadline has passed", func() bool {
		n, ok := discovery.Notice("short")
		return ok && n.Outcome == core.NoticeHandedBack
	})
	if former.count("m") > 0 {
		t.Error("message m was sent before the first list of discovery, want no call")
	}
	formerMember.Phase = core.Draining
	list := core.EndpointList{
		Revision: 9, Complete: true, Members: []core.Member{formerMember, current.member("s-new", 1)},
	}
	line, err := json.Marshal(list)
	if err != nil {
		t.Fatal(err)
	}
	discovery.SendLine(t, string(line))
	waitFor(t, "delivery to the endpoint that is up", func() bool { return current.count("m") == 1 })
	if former.count("m")+former.count("short") > 0 {
		t.Error("a message was sent to the draining endpoint")
	}
}
