package relay

import (
	"encoding/json"
	"fmt"
	"testing"

	"troutusher/internal/core"
)

// Guards against work for an endpoint that has gone reaching another one at its address: the new one serves
// another destination, and discovery tells of it before, with or after the departure of the old one.
func TestAddressOfDepartedEndpointIsReused(t *testing.T) {
	for name, order := range map[string][]string{
		"departure first": {"removed", "added"},
		"drain first":     {"draining", "added"},
		"departure last":  {"added", "removed"},
		"no departure":    {"added"},
		"both in a list":  {"added", "complete"},
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := newFakeEndpoint(t, nil)
			old, added := endpoint.member("s-1", 1), endpoint.member("s-9", 2)
			discovery := newFakeDiscovery(t, old)
			env := testConfig(t, discovery, 3)
			startChild(t, env)
			client := dialClient(t, env["ROUTER_LISTEN"])
			client.mustPut("before", putFields("once", 20000, 1), nil)
			waitFor(t, "the call at the old endpoint", func() bool { return endpoint.count("before") == 1 })
			for i, what := range order {
				list := core.EndpointList{Revision: int64(10 + i), Members: []core.Member{added}}
				switch what {
				case "complete":
					list.Complete, list.Members = true, []core.Member{added, old}
				case core.Draining, core.Removed:
					departed := old
					departed.Phase = what
					list.Members = []core.Member{departed}
				}
				line, err := json.Marshal(list)
				if err != nil {
					t.Fatal(err)
				}
				discovery.SendLine(t, string(line))
			}
			waitFor(t, "destination 2 to be known", func() bool {
				return client.put("two", putFields("once", 20000, 2), nil) == "+OK"
			})
			for n := range 5 {
				client.mustPut(fmt.Sprintf("one-%d", n), putFields("once", 20000, 1), nil)
			}
			client.mustPut("marker", putFields("once", 20000, 2), nil)
			waitFor(t, "the calls at the new endpoint", func() bool {
				return endpoint.count("two") == 1 && endpoint.count("marker") == 1
			})
			if n := endpoint.callCount(); n != 3 {
				t.Errorf("%d calls, want 3: messages for destination 1 were sent to the endpoint of destination 2", n)
			}
		})
	}
}
