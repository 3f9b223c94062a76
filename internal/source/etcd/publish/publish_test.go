package publish

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"google.golang.org/grpc"

	emulator "troutusher/internal/emulator/etcd"
	"troutusher/internal/source/etcd"
	"troutusher/internal/source/etcd/follow"
)

// interferingKV calls a function before each transaction. With it, a test makes the change of
// another operator between the read and the write of a command.
type interferingKV struct {
	etcdserverpb.KVClient
	beforeTxn func()
}

func (kv *interferingKV) Txn(
	ctx context.Context, r *etcdserverpb.TxnRequest, o ...grpc.CallOption,
) (*etcdserverpb.TxnResponse, error) {
	if kv.beforeTxn != nil {
		kv.beforeTxn()
	}
	return kv.KVClient.Txn(ctx, r, o...)
}

func startCluster(t *testing.T) (*emulator.Cluster, *Publisher, *interferingKV, context.Context) {
	t.Helper()
	c, err := emulator.NewCluster(1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	c.EnableAuth("ops", "secret")
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	t.Cleanup(cancel)
	conn, ctx, err := follow.Dial(ctx, follow.Options{
		Settings: etcd.DefaultSettings("/t", 1), Endpoints: c.Addresses(), User: "ops", Password: "secret",
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := conn.Close(); err != nil {
			t.Error(err)
		}
	})
	kv := &interferingKV{KVClient: etcdserverpb.NewKVClient(conn)}
	return c, &Publisher{KV: kv, Prefix: "/t"}, kv, ctx
}

func exampleList(n int) *List {
	l := &List{Endpoints: map[string]etcd.Endpoint{}, Partners: map[string]etcd.Partner{"1": {Rate: 40}}}
	for k := range n {
		l.Endpoints[fmt.Sprint("e", k)] = etcd.Endpoint{HostPort: fmt.Sprintf("127.0.0.1:%d", 7000+k), Dest: k % 3}
	}
	return l
}

// Publish, Drain and Remove change only keys that differ from the request, across several
// transactions. Publish refuses to remove over half of the endpoints unless that is allowed, and
// refuses values that relays could not decode.
func TestPublish(t *testing.T) {
	_, p, _, ctx := startCluster(t)
	result, err := p.Publish(ctx, exampleList(250), false)
	if err != nil || len(result.Put) != 251 || len(result.Deleted) != 0 {
		t.Fatalf("Publish(250 endpoints) = %+v, error %v, want 251 keys put", result, err)
	}
	if result, err = p.Publish(ctx, exampleList(250), false); err != nil || result.Revision != 0 ||
		len(result.Put) > 0 {
		t.Errorf("Publish(same list) = %+v, error %v, want no change", result, err)
	}
	if _, err = p.Publish(ctx, exampleList(100), false); !errors.Is(err, ErrTooManyRemovals) {
		t.Errorf("Publish(100 of 250 endpoints) = error %v, want ErrTooManyRemovals", err)
	}
	if result, err = p.Publish(ctx, exampleList(100), true); err != nil || len(result.Deleted) != 150 {
		t.Errorf("Publish(100 of 250 endpoints, removals allowed) = %+v, error %v, want 150 keys deleted", result, err)
	}
	if result, err = p.Drain(ctx, false, "e1", "e2", "e1"); err != nil || len(result.Put) != 2 {
		t.Errorf("Drain(e1, e2, e1) = %+v, error %v, want 2 keys put", result, err)
	}
	if result, err = p.Drain(ctx, false, "e1"); err != nil || result.Revision != 0 {
		t.Errorf("Drain(e1) again = %+v, error %v, want no change", result, err)
	}
	if result, err = p.Drain(ctx, true, "e2", "e3"); err != nil || len(result.Deleted) != 1 {
		t.Errorf("Drain(off, e2, e3) = %+v, error %v, want 1 key deleted", result, err)
	}
	endpoints, err := p.Show(ctx)
	if err != nil || len(endpoints) != 100 || !endpoints[1].Draining || endpoints[2].Draining {
		t.Fatalf("Show() = %+v, error %v, want 100 endpoints, the second one draining, the third one not",
			endpoints, err)
	}
	want := fmt.Sprintf("e1\t127.0.0.1:7001\t1\tup, drained\t%d", endpoints[1].Revision)
	if got := endpoints[1].Text(); got != want {
		t.Errorf("Text() = %q, want %q", got, want)
	}
	if result, err = p.Remove(ctx, "e1"); err != nil || len(result.Deleted) != 2 {
		t.Errorf("Remove(e1) = %+v, error %v, want the endpoint and its drain deleted", result, err)
	}
	if _, err = p.Remove(ctx, "e1"); err == nil {
		t.Error("Remove(e1) again = no error, want one")
	}
	for _, bad := range []*List{
		{Endpoints: map[string]etcd.Endpoint{"a/b": {HostPort: "h:1"}}},
		{Endpoints: map[string]etcd.Endpoint{"a": {HostPort: "h"}}},
		{Partners: map[string]etcd.Partner{"x": {Rate: 1}}},
		{Partners: map[string]etcd.Partner{"1": {Rate: -1}}},
	} {
		if _, err := p.Publish(ctx, bad, true); err == nil {
			t.Errorf("Publish(%+v) = no error, want one", bad)
		}
	}
}

// Two operators change the same key at the same time: the second command fails with
// ErrConflict and must not overwrite or delete the change of the first.
func TestConcurrentOperators(t *testing.T) {
	c, p, kv, ctx := startCluster(t)
	if _, err := p.Publish(ctx, exampleList(4), false); err != nil {
		t.Fatal(err)
	}
	otherOperator := func(op emulator.Op) func() {
		return func() {
			kv.beforeTxn = nil
			if _, err := c.Apply(op); err != nil {
				t.Error(err)
			}
		}
	}
	key := etcd.Key("/t", "drains", "e1")
	kv.beforeTxn = otherOperator(emulator.Op{Key: key, Value: `{"v":1}`})
	if _, err := p.Drain(ctx, false, "e1", "e2"); !errors.Is(err, ErrConflict) {
		t.Errorf("Drain() of an endpoint drained by somebody else = error %v, want ErrConflict", err)
	}
	kv.beforeTxn = otherOperator(emulator.Op{Key: key, Value: `{"v":1}`})
	if _, err := p.Drain(ctx, true, "e1"); !errors.Is(err, ErrConflict) {
		t.Errorf("Drain(off) of a drain put again by somebody else = error %v, want ErrConflict", err)
	}
	const elsewhere = "127.0.0.1:9"
	const value = `{"v":1,"host_port":"` + elsewhere + `","dest":2}`
	kv.beforeTxn = otherOperator(emulator.Op{Key: etcd.Key("/t", etcd.EndpointsFolder, "e3"), Value: value})
	if _, err := p.Remove(ctx, "e3"); !errors.Is(err, ErrConflict) {
		t.Errorf("Remove() of an endpoint published again by somebody else = error %v, want ErrConflict", err)
	}
	kv.beforeTxn = otherOperator(emulator.Op{Key: etcd.Key("/t", etcd.EndpointsFolder, "e9"), Value: value})
	l := exampleList(4)
	l.Endpoints["e9"] = etcd.Endpoint{HostPort: "127.0.0.1:10", Dest: 1}
	if _, err := p.Publish(ctx, l, false); !errors.Is(err, ErrConflict) {
		t.Errorf("Publish() of a new endpoint that somebody else has published = error %v, want ErrConflict", err)
	}
	endpoints, err := p.Show(ctx)
	if err != nil || len(endpoints) != 5 || !endpoints[1].Draining || endpoints[2].Draining ||
		endpoints[3].Endpoint.HostPort != elsewhere || endpoints[4].Endpoint.HostPort != elsewhere {
		t.Errorf("Show() = %+v, error %v, want only the changes of the first operator: "+
			"e1 draining, e2 not draining, e3 and e9 at %s", endpoints, err, elsewhere)
	}
}
