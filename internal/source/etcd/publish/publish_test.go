package publish

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"google.golang.org/grpc"

	standin "troutusher/internal/emulator/etcd"
	"troutusher/internal/source/etcd"
	"troutusher/internal/source/etcd/follow"
)

// interferingKV lets somebody else change something between what is read and what is
// written.
type interferingKV struct {
	etcdserverpb.KVClient
	before func()
}

func (m *interferingKV) Txn(
	ctx context.Context, r *etcdserverpb.TxnRequest, o ...grpc.CallOption,
) (*etcdserverpb.TxnResponse, error) {
	if m.before != nil {
		m.before()
	}
	return m.KVClient.Txn(ctx, r, o...)
}

func startCluster(t *testing.T) (*standin.Cluster, *Publisher, *interferingKV, context.Context) {
	t.Helper()
	c, err := standin.NewCluster(1)
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
	m := &interferingKV{KVClient: etcdserverpb.NewKVClient(conn)}
	return c, &Publisher{KV: m, Prefix: "/t"}, m, ctx
}

func exampleList(n int) *List {
	l := &List{Endpoints: map[string]etcd.Endpoint{}, Partners: map[string]etcd.Partner{"1": {Rate: 40}}}
	for k := range n {
		l.Endpoints[fmt.Sprint("e", k)] = etcd.Endpoint{HostPort: fmt.Sprintf("127.0.0.1:%d", 7000+k), Dest: k % 3}
	}
	return l
}

func TestPublish(t *testing.T) {
	_, p, _, ctx := startCluster(t)
	d, err := p.Publish(ctx, exampleList(250), false)
	if err != nil || len(d.Put) != 251 || len(d.Deleted) != 0 {
		t.Fatalf("%v: %+v", err, d)
	}
	if d, err = p.Publish(ctx, exampleList(250), false); err != nil || d.Revision != 0 || len(d.Put) > 0 {
		t.Errorf("published again: %v, %+v", err, d)
	}
	if _, err = p.Publish(ctx, exampleList(100), false); !errors.Is(err, ErrTooManyRemovals) {
		t.Errorf("most of it taken away: %v", err)
	}
	if d, err = p.Publish(ctx, exampleList(100), true); err != nil || len(d.Deleted) != 150 {
		t.Errorf("with most allowed: %v, %+v", err, d)
	}
	if d, err = p.Drain(ctx, false, "e1", "e2", "e1"); err != nil || len(d.Put) != 2 {
		t.Errorf("drained: %v, %+v", err, d)
	}
	if d, err = p.Drain(ctx, false, "e1"); err != nil || d.Revision != 0 {
		t.Errorf("drained once more: %v, %+v", err, d)
	}
	if d, err = p.Drain(ctx, true, "e2", "e3"); err != nil || len(d.Deleted) != 1 {
		t.Errorf("undrained: %v, %+v", err, d)
	}
	lines, err := p.Show(ctx)
	if err != nil || len(lines) != 100 || !lines[1].Draining || lines[2].Draining {
		t.Fatalf("%v: %+v", err, lines)
	}
	want := fmt.Sprintf("e1\t127.0.0.1:7001\t1\tup, drained\t%d", lines[1].Revision)
	if got := lines[1].Text(); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if d, err = p.Remove(ctx, "e1"); err != nil || len(d.Deleted) != 2 {
		t.Errorf("removed: %v, %+v", err, d)
	}
	if _, err = p.Remove(ctx, "e1"); err == nil {
		t.Error("removed twice")
	}
	for _, bad := range []*List{
		{Endpoints: map[string]etcd.Endpoint{"a/b": {HostPort: "h:1"}}},
		{Endpoints: map[string]etcd.Endpoint{"a": {HostPort: "h"}}},
		{Partners: map[string]etcd.Partner{"x": {Rate: 1}}},
		{Partners: map[string]etcd.Partner{"1": {Rate: -1}}},
	} {
		if _, err := p.Publish(ctx, bad, true); err == nil {
			t.Errorf("published: %+v", bad)
		}
	}
}

// Two operators at once: the second one's change is not made where the first one has
// changed what it was to replace.
func TestConcurrentOperators(t *testing.T) {
	c, p, m, ctx := startCluster(t)
	if _, err := p.Publish(ctx, exampleList(4), false); err != nil {
		t.Fatal(err)
	}
	other := func(op standin.Op) func() {
		return func() {
			m.before = nil
			if _, err := c.Apply(op); err != nil {
				t.Error(err)
			}
		}
	}
	key := etcd.Key("/t", "drains", "e1")
	m.before = other(standin.Op{Key: key, Value: `{"v":1}`})
	if _, err := p.Drain(ctx, false, "e1", "e2"); !errors.Is(err, ErrConflict) {
		t.Errorf("drained by another one: %v", err)
	}
	m.before = other(standin.Op{Key: key, Value: `{"v":1}`})
	if _, err := p.Drain(ctx, true, "e1"); !errors.Is(err, ErrConflict) {
		t.Errorf("a drain that was made again is undone: %v", err)
	}
	const elsewhere = "127.0.0.1:9"
	const value = `{"v":1,"host_port":"` + elsewhere + `","dest":2}`
	m.before = other(standin.Op{Key: etcd.Key("/t", etcd.EndpointsFolder, "e3"), Value: value})
	if _, err := p.Remove(ctx, "e3"); !errors.Is(err, ErrConflict) {
		t.Errorf("one that was published again is removed: %v", err)
	}
	m.before = other(standin.Op{Key: etcd.Key("/t", etcd.EndpointsFolder, "e9"), Value: value})
	l := exampleList(4)
	l.Endpoints["e9"] = etcd.Endpoint{HostPort: "127.0.0.1:10", Dest: 1}
	if _, err := p.Publish(ctx, l, false); !errors.Is(err, ErrConflict) {
		t.Errorf("one that another has published: %v", err)
	}
	lines, err := p.Show(ctx)
	if err != nil || len(lines) != 5 || !lines[1].Draining || lines[2].Draining ||
		lines[3].Endpoint.HostPort != elsewhere || lines[4].Endpoint.HostPort != elsewhere {
		t.Errorf("%v: %+v", err, lines)
	}
}
