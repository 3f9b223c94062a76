package follow

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	standin "troutusher/internal/emulator/etcd"
	"troutusher/internal/membership"
	"troutusher/internal/source/etcd"
)

var drainRounds = flag.Int("rounds", 4, "drains in each trouble; 40 for a measurement")

// testFollower is one on real sockets, with the view that it feeds and a registry that
// lists all as up whatever happens.
type testFollower struct {
	t         *testing.T
	cluster   *standin.Cluster
	follower  *Follower
	mu        sync.Mutex
	view      *membership.View
	published map[string]membership.Member
	cond      *sync.Cond
}

func startFollower(t *testing.T, members int, user string) *testFollower {
	t.Helper()
	c, err := standin.NewCluster(members)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	if user != "" {
		c.EnableAuth(user, "secret")
	}
	x := &testFollower{t: t, cluster: c, published: map[string]membership.Member{}}
	x.cond = sync.NewCond(&x.mu)
	set := membership.DefaultSettings(
		membership.Source{Name: "etcd", StaleAfter: 10e6},
		membership.Source{Name: "registry", StaleAfter: 20e6},
	)
	set.HoldDown = 0
	if x.view, err = membership.New(set); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	now := func() membership.Time { return 1 + time.Since(began).Microseconds() }
	opt := Options{
		Settings:  etcd.DefaultSettings("/t", members),
		Endpoints: c.Addresses(),
		User:      user,
		Password:  "secret",
		Seed:      7,
		Log:       slog.New(slog.DiscardHandler),
	}
	opt.OnHeartbeat = func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.view.Heartbeat(now(), 0)
	}
	opt.OnUpdate = func(w *membership.Update) {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.view.Apply(now(), w)
		for _, ch := range x.view.Step(now()) {
			if x.published[ch.ID] = ch.Member; ch.Phase == membership.Removed {
				delete(x.published, ch.ID)
			}
		}
		if x.view.ResyncRequested(0) {
			x.follower.Resync()
		}
		x.cond.Broadcast()
	}
	if x.follower, err = New(opt); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := x.follower.Run(ctx); !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { cancel(); <-done })
	return x
}

// waitFor waits until the list is as wanted, and gives how long that took.
func (x *testFollower) waitFor(what string, cond func() bool) time.Duration {
	x.t.Helper()
	began, late := time.Now(), false
	stop := time.AfterFunc(20*time.Second, func() { x.mu.Lock(); late = true; x.cond.Broadcast(); x.mu.Unlock() })
	defer stop.Stop()
	x.mu.Lock()
	defer x.mu.Unlock()
	for !cond() {
		if late {
			x.t.Fatalf("never came: %s; the list is %v", what, x.published)
		}
		x.cond.Wait()
	}
	return time.Since(began)
}

func value(k int) string {
	return fmt.Sprintf(`{"v":1,"host_port":"127.0.0.1:%d","dest":%d}`, 7000+k, k%3)
}

func (x *testFollower) do(ops ...standin.Op) {
	x.t.Helper()
	if _, err := x.cluster.Apply(ops...); err != nil {
		x.t.Fatal(err)
	}
}

func drain(id string, off bool) standin.Op {
	return standin.Op{Key: etcd.Key("/t", "drains", id), Value: `{"v":1}`, Delete: off}
}

func (x *testFollower) start(member int) {
	x.t.Helper()
	if err := x.cluster.StartMember(member); err != nil {
		x.t.Error(err)
	}
}

// A drain is heard within 2 s of its put with all well, and whatever of these goes
// wrong as it is put; a registry that lists all as up revokes none.
func TestDrainLatency(t *testing.T) {
	for _, trouble := range []struct {
		name string
		do   func(x *testFollower, n int)
		undo func(x *testFollower, n int)
		most time.Duration
	}{
		{"all well", func(*testFollower, int) {}, nil, 500 * time.Millisecond},
		{"watches broken", func(x *testFollower, n int) {
			x.cluster.StopMember(n % 3)
			x.cluster.StopMember((n + 1) % 3)
		}, func(x *testFollower, n int) {
			x.start(n % 3)
			x.start((n + 1) % 3)
		}, 2 * time.Second},
		{"compacted in the gap", func(x *testFollower, n int) {
			x.cluster.SilenceWatches()
			x.do(standin.Op{Key: "/t/other", Value: "a"}, standin.Op{Key: "/t/other", Delete: true})
			x.do(standin.Op{Key: "/t/other", Value: "b"})
			x.cluster.WithStore(func(s *standin.Store) {
				if err := s.Compact(s.Revision()); err != nil {
					x.t.Error(err)
				}
			})
		}, nil, 2 * time.Second},
		{"silent watches", func(x *testFollower, _ int) { x.cluster.SilenceWatches() }, nil, 2 * time.Second},
		{"a silent member, and silent watches", func(x *testFollower, n int) {
			x.cluster.SilenceWatches()
			x.cluster.SetSilent(n%3, true)
		}, func(x *testFollower, n int) {
			x.cluster.SetSilent(n%3, false)
		}, 2 * time.Second},
		{"no leader", func(x *testFollower, n int) {
			x.cluster.SetNoLeader(n%3, true)
			x.cluster.SetNoLeader((n+1)%3, true)
		}, func(x *testFollower, n int) {
			x.cluster.SetNoLeader(n%3, false)
			x.cluster.SetNoLeader((n+1)%3, false)
		}, 2 * time.Second},
	} {
		t.Run(trouble.name, func(t *testing.T) {
			t.Parallel()
			x := startFollower(t, 3, "")
			var ops []standin.Op
			var listed []membership.Member
			for k := range 8 {
				ops = append(ops, standin.Op{Key: etcd.Key("/t", "endpoints", fmt.Sprint("e", k)), Value: value(k)})
				listed = append(listed, membership.Member{
					ID: fmt.Sprint("e", k), HostPort: fmt.Sprintf("127.0.0.1:%d", 7000+k), Dest: k % 3,
					Phase: membership.Up,
				})
			}
			x.do(ops...)
			x.waitFor("the list", func() bool { return len(x.published) == 8 })
			var took []time.Duration
			for n := range *drainRounds {
				id := fmt.Sprint("e", n%8)
				trouble.do(x, n)
				x.do(drain(id, false))
				draining := func() bool { return x.published[id].Phase == membership.Draining }
				took = append(took, x.waitFor("the drain", draining))
				x.mu.Lock()
				x.view.Apply(x.view.NextDeadline(), &membership.Update{
					Source: 1, Epoch: "r", Revision: int64(n + 1), Complete: true, Members: listed,
				})
				for _, ch := range x.view.Step(0) {
					if ch.ID == id && ch.Phase == membership.Up {
						t.Errorf("the registry has taken back the drain of %s", id)
					}
				}
				x.mu.Unlock()
				if trouble.undo != nil {
					trouble.undo(x, n)
				}
				x.do(drain(id, true))
				x.waitFor("its end", func() bool { return x.published[id].Phase == membership.Up })
			}
			slices.Sort(took)
			median, longest := took[len(took)/2], took[len(took)-1]
			t.Logf("%d drains: median %v, longest %v", len(took),
				median.Round(time.Millisecond), longest.Round(time.Millisecond))
			if longest > trouble.most {
				t.Errorf("heard after %v", took)
			}
		})
	}
}

// A long list comes in pages and fragments; tokens that end are renewed; a lease
// that runs out takes its endpoint away; most of the list gone at once, as after a
// restore, is believed once it has been read again.
func TestPagesTokensLeasesAndRestore(t *testing.T) {
	x := startFollower(t, 2, "relay")
	var ops []standin.Op
	for k := range 2500 {
		ops = append(ops, standin.Op{Key: etcd.Key("/t", "endpoints", fmt.Sprint("e", k)), Value: value(k % 50000)})
	}
	x.do(ops...)
	x.waitFor("2,500", func() bool { return len(x.published) == 2500 })
	x.cluster.RevokeTokens()
	x.do(drain("e7", false))
	draining := func() bool { return x.published["e7"].Phase == membership.Draining }
	x.waitFor("a drain after the tokens have ended", draining)
	var lease *standin.Lease
	x.cluster.WithStore(func(s *standin.Store) { lease, _ = s.GrantLease(0, 1, time.Now().UnixMicro()) })
	x.do(standin.Op{Key: etcd.Key("/t", "endpoints", "leased"), Value: value(3000), Lease: lease.ID})
	x.waitFor("the leased one", func() bool { return x.published["leased"].ID != "" })
	x.waitFor("its end", func() bool { return x.published["leased"].ID == "" })
	var backup *standin.Store
	x.cluster.WithStore(func(s *standin.Store) { backup = s.Clone() })
	for i := range ops {
		ops[i].Delete = true
	}
	x.do(ops[100:]...)
	x.waitFor("most of them gone", func() bool { return len(x.published) == 100 })
	x.cluster.Restore(backup, 0xc0b1)
	x.waitFor("all of them back", func() bool { return len(x.published) == 2500 })
}
