package etcd

import (
	"fmt"
	"testing"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
)

// A watch sends each change once, from its start revision on, in fragments of
// maxFragmentEvents if its client allows fragments. This guards against changes that are
// lost or repeated between two reports.
func TestWatchSendsEachChangeOnce(t *testing.T) {
	cluster := &Cluster{store: NewStore()}
	stream := &watchStream{Member: &Member{cluster: cluster}}
	stream.createWatch(&etcdserverpb.WatchCreateRequest{Key: []byte("k"), RangeEnd: []byte("l"), Fragment: true})
	expect := func(want ...int) {
		t.Helper()
		responses := stream.pendingResponses()
		if len(responses) != len(want) {
			t.Fatalf("pendingResponses() returned %d responses, want %d", len(responses), len(want))
		}
		for i, response := range responses {
			if len(response.Events) != want[i] || response.Fragment != (i < len(want)-1) {
				t.Errorf("response %d has %d events and fragment = %v, want %d and %v",
					i, len(response.Events), response.Fragment, want[i], i < len(want)-1)
			}
		}
	}
	expect()
	var puts []Op
	for i := range maxFragmentEvents + 1 {
		puts = append(puts, Op{Key: fmt.Sprintf("k%03d", i)})
	}
	if _, err := cluster.store.Apply(puts...); err != nil {
		t.Fatal(err)
	}
	expect(maxFragmentEvents, 1)
	expect()
	if _, err := cluster.store.Apply(Op{Key: "k000", Delete: true}, Op{Key: "m"}); err != nil {
		t.Fatal(err)
	}
	expect(1)
	expect()
}
