package relay

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"troutusher/internal/core"
)

// Guards against work for an endpoint that has departed reaching another one at its address, which serves
// another destination. Discovery tells of the new one before or after the departure of the old one.
func TestAddressOfDepartedEndpointIsReused(t *testing.T) {
	for name, order := range map[string][]string{
		"departure first": {core.Removed, core.Up},
		"drain first":     {core.Draining, core.Up},
		"departure last":  {core.Up, core.Removed},
	} {
		t.Run(name, func(t *testing.T) {
			testAddressReuse(t, func(old, added core.Member) (lines []string) {
				for i, phase := range order {
					list := core.EndpointList{Revision: int64(10 + i), Members: []core.Member{added}}
					if phase != core.Up {
						old.Phase = phase
						list.Members = []core.Member{old}
					}
					line, err := json.Marshal(list)
					if err != nil {
						t.Fatal(err)
					}
					lines = append(lines, string(line))
				}
				return lines
			})
		})
	}
}

// Guards against the same if discovery does not tell of the departure, but of a process that has started at the
// address of the old one since.
func TestNewerProcessTakesOverAddress(t *testing.T) {
	testAddressReuse(t, func(_, added core.Member) []string {
		const list = `{"revision":10,"complete":false,"members":[{"id":%q,"host_port":%q,"locality":%q,"flavor":%q,` +
			`"cell":%d,"phase":"up","size":%v,"up_since_ms":%d}]}`
		return []string{
			fmt.Sprintf(list, added.ID, added.HostPort, added.Locality, added.Flavor, added.Dest, added.Rate,
				time.Now().UnixMilli()),
		}
	})
}

// testAddressReuse starts a relay whose destination 1 has one endpoint. Then discovery sends lines about that
// endpoint and one of destination 2 at the same address. No message for destination 1 may go there any more.
func testAddressReuse(t *testing.T, lines func(old, added core.Member) []string) {
	t.Helper()
	endpoint := newFakeEndpoint(t, nil)
	old, added := endpoint.member("s-1", 1), endpoint.member("s-9", 2)
	discovery := newFakeDiscovery(t, old)
	env := testConfig(t, discovery, 3)
	startChild(t, env)
	client := dialClient(t, env["ROUTER_LISTEN"])
	client.mustPut("before", putFields("once", 20000, 1), nil)
	waitFor(t, "the call at the old endpoint", func() bool { return endpoint.count("before") == 1 })
	sent := lines(old, added)
	for _, line := range sent {
		discovery.SendLine(t, line)
	}
	// The lines are applied in order: with this one, those before have been applied.
	other := newFakeEndpoint(t, nil).member("s-3", 3)
	last, err := json.Marshal(core.EndpointList{Revision: 99, Members: []core.Member{other}})
	if err != nil {
		t.Fatal(err)
	}
	discovery.SendLine(t, string(last))
	waitFor(t, "destination 3 to be known", func() bool {
		return client.put("three", putFields("once", 20000, 3), nil) == "+OK"
	})
	for n := range 5 {
		client.mustPut(fmt.Sprintf("one-%d", n), putFields("once", 20000, 1), nil)
	}
	client.mustPut("two", putFields("once", 20000, 2), nil)
	waitFor(t, "the call at the new endpoint", func() bool { return endpoint.count("two") == 1 })
	if n := endpoint.callCount(); n != 2 {
		t.Errorf("%d calls, want 2: messages for destination 1 were sent to the endpoint of destination 2", n)
	}
}
