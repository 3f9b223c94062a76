package registrylist

import (
	"encoding/json"
	"testing"

	"troutusher/internal/core"
)

// Guards against a start of an endpoint that is lost between the registry's list and the relay, and against a list
// without members that looks like an empty one.
func TestEndpointList(t *testing.T) {
	const text = `{"revision":41,"complete":true,"members":[{"id":"s-1","host_port":"10.1.0.18:6379","locality":"a",` +
		`"flavor":"m2","cell":3,"phase":"up","size":1.5,"up_since_ms":1796473085000}]}`
	var list List
	if err := json.Unmarshal([]byte(text), &list); err != nil {
		t.Fatal(err)
	}
	got := list.EndpointList()
	want := core.Member{
		ID: "s-1", HostPort: "10.1.0.18:6379", Locality: "a", Flavor: "m2", Dest: 3, Phase: core.Up, Rate: 1.5,
		StartedAt: 1796473085000,
	}
	if got.Revision != 41 || !got.Complete || len(got.Members) != 1 || got.Members[0] != want {
		t.Errorf("EndpointList() = %+v, want revision 41, complete, %+v", got, want)
	}
	if got := (&List{Revision: 1}).EndpointList(); got.Members != nil {
		t.Errorf("EndpointList() without members has %#v, want nil", got.Members)
	}
	if got := (*List)(nil).EndpointList(); got != nil {
		t.Errorf("EndpointList() of nil = %+v, want nil", got)
	}
}
