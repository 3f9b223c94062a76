package relay

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"troutusher/internal/core"
	"troutusher/internal/discovery/discoverytest"
)

// Guards passive destinations, with a complete relay that keeps only one destination active: a
// message must activate its destination and be delivered; a list update must reach a passive
// destination, so that no message goes to a draining endpoint; STATS must count the endpoints of
// passive destinations; and all of this must hold after a kill and a restart.
func TestPassiveDestinationsAreServed(t *testing.T) {
	var endpoints []*fakeEndpoint
	var members []core.Member
	for i := range 6 { // two endpoints for each of three destinations
		endpoints = append(endpoints, newFakeEndpoint(t, nil))
		members = append(members, endpoints[i].member(fmt.Sprintf("s-%d", i), 1+i/2))
	}
	discovery := newFakeDiscovery(t, members...)
	env := testConfig(t, discovery, 3)
	env["ROUTER_CONSOLE"] = freeAddr(t)
	env["TROUTUSHER_OPERATOR"] = filepath.Join(t.TempDir(), "operator.toml")
	if err := os.WriteFile(env["TROUTUSHER_OPERATOR"], []byte("[rest]\nawake = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	relay := startChild(t, env)
	listed := func() (n, avoided int64) {
		stats := readStats(t, env["ROUTER_CONSOLE"])
		return stats["cluster_size"], stats["cluster_unhealthy"]
	}
	waitFor(t, "six endpoints in STATS", func() bool { n, _ := listed(); return n == 6 })
	drainingMember := members[4]
	drainingMember.Phase = core.Draining
	discovery.SendLine(t, discoverytest.ChangeText(2, drainingMember)) // of destination 3, which is passive
	waitFor(t, "the endpoint to drain", func() bool { _, n := listed(); return n == 1 })
	client := dialClient(t, env["ROUTER_LISTEN"])
	for round := range 2 {
		for i := range 12 {
			id := fmt.Sprintf("m-%d-%d", round, i)
			dest := 1 + i%3
			client.mustPut(id, putFields("once", 20000, dest), nil)
			waitFor(t, "the call of "+id, func() bool {
				return endpoints[2*dest-2].count(id)+endpoints[2*dest-1].count(id) == 1
			})
			if endpoints[4].count(id) != 0 {
				t.Errorf("message %s was sent to the draining endpoint", id)
			}
		}
		if s := client.put("nobody", putFields("once", 20000, 9), nil); s == "+OK" {
			t.Errorf("put(nobody) for a destination that is not in the list = %s, want it rejected", s)
		}
		if round == 0 {
			discovery.Update(func(discovery *fakeDiscovery) { discovery.List.Members[4] = drainingMember })
			relay.kill()
			relay = startChild(t, env)
			client = dialClient(t, env["ROUTER_LISTEN"])
		}
	}
}
