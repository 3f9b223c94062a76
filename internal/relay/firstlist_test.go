package relay

import (
	"encoding/json"
	"testing"

	"troutusher/internal/core"
)

// Guards the start against silent discovery: the relay answers with the list
// that it was given.
func TestStartWithoutDiscovery(t *testing.T) {
	d := newFakeDiscovery(t)
	d.Update(func(d *fakeDiscovery) { d.Silent = true })
	env := testConfig(t, d, 3)
	startChild(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	if s := cl.put("m", putFields("plain", 20000, 1), nil); s != "+OK" {
		t.Error(s)
	}
}

// Clients wait for no list: while discovery is silent they are answered, and a
// message's time runs. Calls wait for its first list, and go where that leads.
func TestStartAnswersBeforeTheList(t *testing.T) {
	former, current := newFakeEndpoint(t, nil), newFakeEndpoint(t, nil)
	d := newFakeDiscovery(t)
	d.Update(func(d *fakeDiscovery) { d.WithoutEmptyLines = true })
	gone := former.member("s-old", 1)
	env := testConfig(t, d, 3, gone)
	env[firstListTimeoutEnv] = "1h"
	startChild(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	if s := cl.put("m", putFields("plain", 20000, 1), nil); s != "+OK" {
		t.Fatal(s)
	}
	if s := cl.put("short", putFields("plain", 50, 1), nil); s != "+OK" {
		t.Fatal(s)
	}
	waitFor(t, "the end of a message whose time is over", func() bool {
		n, ok := d.Notice("short")
		return ok && n.Outcome == core.NoticeHandedBack
	})
	if former.count("m") > 0 {
		t.Error("sent before the list was heard")
	}
	gone.Phase = core.Draining
	list := core.EndpointList{
		Revision: 9, Complete: true, Members: []core.Member{gone, current.member("s-new", 1)},
	}
	line, err := json.Marshal(list)
	if err != nil {
		t.Fatal(err)
	}
	d.SendLine(t, string(line))
	waitFor(t, "the call", func() bool { return current.count("m") == 1 })
	if former.count("m")+former.count("short") > 0 {
		t.Error("sent to who has drained")
	}
}
