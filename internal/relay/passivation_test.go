package relay

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"troutusher/internal/core"
	"troutusher/internal/discovery/discoverytest"
)

// Guards a whole relay with destinations that rest from the start: a message wakes
// one and is delivered; a change reaches one that rests, so that nothing goes to
// what has drained; figures count them; and a kill and a restart change nothing of
// that.
func TestPassiveDestinationsAreServed(t *testing.T) {
	var endpoints []*fakeEndpoint
	var members []core.Member
	for i := range 6 { // two for each of three destinations
		endpoints = append(endpoints, newFakeEndpoint(t, nil))
		members = append(members, endpoints[i].member(fmt.Sprintf("s-%d", i), 1+i/2))
	}
	d := newFakeDiscovery(t, members...)
	env := testConfig(t, d, 3)
	env["ROUTER_CONSOLE"] = freeAddr(t)
	env["TROUTUSHER_OPERATOR"] = filepath.Join(t.TempDir(), "operator.toml")
	if err := os.WriteFile(env["TROUTUSHER_OPERATOR"], []byte("[rest]\nawake = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	c := startChild(t, env)
	listed := func() (n, avoided int64) {
		f := readStats(t, env["ROUTER_CONSOLE"])
		return f["cluster_size"], f["cluster_unhealthy"]
	}
	waitFor(t, "the figures", func() bool { n, _ := listed(); return n == 6 })
	drained := members[4]
	drained.Phase = core.Draining
	d.SendLine(t, discoverytest.ChangeText(2, drained)) // of destination 3, which rests
	waitFor(t, "the drain", func() bool { _, n := listed(); return n == 1 })
	cl := dialClient(t, env["ROUTER_LISTEN"])
	for round := range 2 {
		for i := range 12 {
			id := fmt.Sprintf("m-%d-%d", round, i)
			dest := 1 + i%3
			cl.mustPut(id, putFields("once", 20000, dest), nil)
			waitFor(t, id, func() bool { return endpoints[2*dest-2].count(id)+endpoints[2*dest-1].count(id) == 1 })
			if endpoints[4].count(id) != 0 {
				t.Errorf("%s went to an endpoint that had drained", id)
			}
		}
		if s := cl.put("nobody", putFields("once", 20000, 9), nil); s == "+OK" {
			t.Error("a destination that no list names is taken on for")
		}
		if round == 0 {
			d.Update(func(d *fakeDiscovery) { d.List.Members[4] = drained })
			c.kill()
			c = startChild(t, env)
			cl = dialClient(t, env["ROUTER_LISTEN"])
		}
	}
}
