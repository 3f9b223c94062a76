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

	emulator "troutusher/internal/emulator/etcd"
	"troutusher/internal/membership"
	"troutusher/internal/source/etcd"
)

var drainRounds = flag.Int("rounds", 4, "number of drains for each fault; 40 for a measurement")

// testFollower runs a follower against an emulated cluster, over real sockets, and passes its
// updates to a membership view. The view has a second source, a registry.
type testFollower struct {
	t         *testing.T
	cluster   *emulator.Cluster
	follower  *Follower
	mu        sync.Mutex
	view      *membership.View
	published map[string]membership.Member
	cond      *sync.Cond
}

func startFollower(t *testing.T, members int, user string) *testFollower {
	t.Helper()
	c, err := emulator.NewCluster(members)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	if user != "" {
		c.EnableAuth(user, "secret")
	}
	x := &testFollower{t: t, cluster: c, published: map[string]membership.Member{}}
	x.cond = sync.NewCond(&x.mu)
	settings := membership.DefaultSettings(
		membership.Source{Name: "etcd", StaleAfter: 10e6},
		membership.Source{Name: "registry", StaleAfter: 20e6},
	)
	settings.HoldDown = 0
	if x.view, err = membership.New(settings); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	now := func() membership.Time { return 1 + time.Since(began).Microseconds() }
	options := Options{
		Settings:  etcd.DefaultSettings("/t", members),
		Endpoints: c.Addresses(),
		User:      user,
		Password:  "secret",
		Seed:      7,
		Log:       slog.New(slog.DiscardHandler),
	}
	options.OnHeartbeat = func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.view.Heartbeat(now(), 0)
	}
	options.OnUpdate = func(u *membership.Update) {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.view.Apply(now(), u)
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
	if x.follower, err = New(options); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := x.follower.Run(ctx); !errors.Is(err, context.Canceled) {
			t.Errorf("Run() = %v, want context.Canceled", err)
		}
	}()
	t.Cleanup(func() { cancel(); <-done })
	return x
}

// waitFor waits until a condition on the published list holds, and returns how long that took.
func (x *testFollower) waitFor(what string, cond func() bool) time.Duration {
	x.t.Helper()
	began, timedOut := time.Now(), false
	timer := time.AfterFunc(20*time.Second, func() { x.mu.Lock(); timedOut = true; x.cond.Broadcast(); x.mu.Unlock() })
	defer timer.Stop()
	x.mu.Lock()
	defer x.mu.Unlock()
	for !cond() {
		if timedOut {
			x.t.Fatalf("timed out after 20 s waiting for %s; the published list is %v", what, x.published)
		}
		x.cond.Wait()
	}
	return time.Since(began)
}

func endpointValue(k int) string {
	return fmt.Sprintf(`{"v":1,"host_port":"127.0.0.1:%d","dest":%d}`, 7000+k, k%3)
}

func (x *testFollower) applyOps(ops ...emulator.Op) {
	x.t.Helper()
	if _, err := x.cluster.Apply(ops...); err != nil {
		x.t.Fatal(err)
	}
}

func drainOp(id string, off bool) emulator.Op {
	return emulator.Op{Key: etcd.Key("/t", "drains", id), Value: `{"v":1}`, Delete: off}
}

func (x *testFollower) startMember(member int) {
	x.t.Helper()
	if err := x.cluster.StartMember(member); err != nil {
		x.t.Error(err)
	}
}

// The view publishes a drain within 2 s of its put, also if one of several faults occurs just
// before the put. A later list of the registry that has all endpoints up does not end the
// drain. A late or lost drain would let relays send to an endpoint that is being stopped.
func TestDrainLatency(t *testing.T) {
	for _, fault := range []struct {
		name       string
		inject     func(x *testFollower, n int)
		end        func(x *testFollower, n int)
		maxLatency time.Duration
	}{
		{"no fault", func(*testFollower, int) {}, nil, 500 * time.Millisecond},
		{"two members stopped", func(x *testFollower, n int) {
			x.cluster.StopMember(n % 3)
			x.cluster.StopMember((n + 1) % 3)
		}, func(x *testFollower, n int) {
			x.startMember(n % 3)
			x.startMember((n + 1) % 3)
		}, 2 * time.Second},
		{"silent watches and a compaction", func(x *testFollower, n int) {
			x.cluster.SilenceWatches()
			x.applyOps(emulator.Op{Key: "/t/other", Value: "a"}, emulator.Op{Key: "/t/other", Delete: true})
			x.applyOps(emulator.Op{Key: "/t/other", Value: "b"})
			x.cluster.WithStore(func(s *emulator.Store) {
				if err := s.Compact(s.Revision()); err != nil {
					x.t.Error(err)
				}
			})
		}, nil, 2 * time.Second},
		{"silent watches", func(x *testFollower, _ int) { x.cluster.SilenceWatches() }, nil, 2 * time.Second},
		{"a silent member and silent watches", func(x *testFollower, n int) {
			x.cluster.SilenceWatches()
			x.cluster.SetSilent(n%3, true)
		}, func(x *testFollower, n int) {
			x.cluster.SetSilent(n%3, false)
		}, 2 * time.Second},
		{"two members without a leader", func(x *testFollower, n int) {
			x.cluster.SetNoLeader(n%3, true)
			x.cluster.SetNoLeader((n+1)%3, true)
		}, func(x *testFollower, n int) {
			x.cluster.SetNoLeader(n%3, false)
			x.cluster.SetNoLeader((n+1)%3, false)
		}, 2 * time.Second},
	} {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			x := startFollower(t, 3, "")
			var ops []emulator.Op
			var listed []membership.Member
			for k := range 8 {
				ops = append(ops, emulator.Op{
					Key: etcd.Key("/t", "endpoints", fmt.Sprint("e", k)), Value: endpointValue(k),
				})
				listed = append(listed, membership.Member{
					ID: fmt.Sprint("e", k), HostPort: fmt.Sprintf("127.0.0.1:%d", 7000+k), Dest: k % 3,
					Phase: membership.Up,
				})
			}
			x.applyOps(ops...)
			x.waitFor("the list of 8 endpoints", func() bool { return len(x.published) == 8 })
			var latencies []time.Duration
			for n := range *drainRounds {
				id := fmt.Sprint("e", n%8)
				fault.inject(x, n)
				x.applyOps(drainOp(id, false))
				draining := func() bool { return x.published[id].Phase == membership.Draining }
				latencies = append(latencies, x.waitFor("the drain of "+id, draining))
				x.mu.Lock()
				x.view.Apply(x.view.NextDeadline(), &membership.Update{
					Source: 1, Epoch: "r", Revision: int64(n + 1), Complete: true, Members: listed,
				})
				for _, ch := range x.view.Step(0) {
					if ch.ID == id && ch.Phase == membership.Up {
						t.Errorf("a list of the registry ended the drain of %s", id)
					}
				}
				x.mu.Unlock()
				if fault.end != nil {
					fault.end(x, n)
				}
				x.applyOps(drainOp(id, true))
				x.waitFor("the end of the drain of "+id,
					func() bool { return x.published[id].Phase == membership.Up })
			}
			slices.Sort(latencies)
			median, longest := latencies[len(latencies)/2], latencies[len(latencies)-1]
			t.Logf("%d drains: median %v, longest %v", len(latencies),
				median.Round(time.Millisecond), longest.Round(time.Millisecond))
			if longest > fault.maxLatency {
				t.Errorf("drains published after %v, want at most %v", latencies, fault.maxLatency)
			}
		})
	}
}

// A list that is longer than a page and than a watch fragment arrives in full. The follower
// renews a revoked token. An endpoint whose lease expires is removed. If most of the list is
// deleted at once, the removals are published, after the view has had them confirmed by a
// second read. After a restore from a backup, the list of the backup is published.
func TestPagesTokensLeasesAndRestore(t *testing.T) {
	x := startFollower(t, 2, "relay")
	var ops []emulator.Op
	for k := range 2500 {
		ops = append(ops, emulator.Op{
			Key: etcd.Key("/t", "endpoints", fmt.Sprint("e", k)), Value: endpointValue(k % 50000),
		})
	}
	x.applyOps(ops...)
	x.waitFor("the list of 2,500 endpoints", func() bool { return len(x.published) == 2500 })
	x.cluster.RevokeTokens()
	x.applyOps(drainOp("e7", false))
	draining := func() bool { return x.published["e7"].Phase == membership.Draining }
	x.waitFor("a drain after the tokens were revoked", draining)
	var lease *emulator.Lease
	x.cluster.WithStore(func(s *emulator.Store) { lease, _ = s.GrantLease(0, 1, time.Now().UnixMicro()) })
	x.applyOps(emulator.Op{Key: etcd.Key("/t", "endpoints", "leased"), Value: endpointValue(3000), Lease: lease.ID})
	x.waitFor("the leased endpoint", func() bool { return x.published["leased"].ID != "" })
	x.waitFor("its removal after the lease expired", func() bool { return x.published["leased"].ID == "" })
	var backup *emulator.Store
	x.cluster.WithStore(func(s *emulator.Store) { backup = s.Clone() })
	for i := range ops {
		ops[i].Delete = true
	}
	x.applyOps(ops[100:]...)
	x.waitFor("the removal of most endpoints", func() bool { return len(x.published) == 100 })
	x.cluster.Restore(backup, 0xc0b1)
	x.waitFor("the list of the backup", func() bool { return len(x.published) == 2500 })
}
