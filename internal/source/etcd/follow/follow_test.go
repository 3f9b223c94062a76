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
	f := &testFollower{t: t, cluster: c, published: map[string]membership.Member{}}
	f.cond = sync.NewCond(&f.mu)
	settings := membership.DefaultSettings(
		membership.Source{Name: "etcd", StaleAfter: 10e6},
		membership.Source{Name: "registry", StaleAfter: 20e6},
	)
	settings.HoldDown = 0
	if f.view, err = membership.New(settings); err != nil {
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
		f.mu.Lock()
		defer f.mu.Unlock()
		f.view.Heartbeat(now(), 0)
	}
	options.OnUpdate = func(u *membership.Update) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.view.Apply(now(), u)
		for _, ch := range f.view.Step(now()) {
			if f.published[ch.ID] = ch.Member; ch.Phase == membership.Removed {
				delete(f.published, ch.ID)
			}
		}
		if f.view.ResyncRequested(0) {
			f.follower.Resync()
		}
		f.cond.Broadcast()
	}
	if f.follower, err = New(options); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := f.follower.Run(ctx); !errors.Is(err, context.Canceled) {
			t.Errorf("Run() = %v, want context.Canceled", err)
		}
	}()
	t.Cleanup(func() { cancel(); <-done })
	return f
}

// waitFor waits until a condition on the published list holds, and returns how long that took. The
// description names the condition in the failure's text.
func (f *testFollower) waitFor(description string, cond func() bool) time.Duration {
	f.t.Helper()
	began, timedOut := time.Now(), false
	timer := time.AfterFunc(20*time.Second, func() { f.mu.Lock(); timedOut = true; f.cond.Broadcast(); f.mu.Unlock() })
	defer timer.Stop()
	f.mu.Lock()
	defer f.mu.Unlock()
	for !cond() {
		if timedOut {
			f.t.Fatalf("timed out after 20 s waiting for %s; the published list is %v", description, f.published)
		}
		f.cond.Wait()
	}
	return time.Since(began)
}

func endpointValue(k int) string {
	return fmt.Sprintf(`{"v":1,"host_port":"127.0.0.1:%d","dest":%d}`, 7000+k, k%3)
}

func (f *testFollower) applyOps(ops ...emulator.Op) {
	f.t.Helper()
	if _, err := f.cluster.Apply(ops...); err != nil {
		f.t.Fatal(err)
	}
}

func drainOp(id string, off bool) emulator.Op {
	return emulator.Op{Key: etcd.Key("/t", "drains", id), Value: `{"v":1}`, Delete: off}
}

func (f *testFollower) startMember(member int) {
	f.t.Helper()
	if err := f.cluster.StartMember(member); err != nil {
		f.t.Error(err)
	}
}

// The view publishes a drain within 2 s of its put, also if one of several faults occurs just
// before the put. A later list of the registry that has all endpoints up does not end the
// drain. A late or lost drain would let relays send to an endpoint that is being stopped.
func TestDrainLatency(t *testing.T) {
	for _, fault := range []struct {
		name       string
		inject     func(f *testFollower, n int)
		end        func(f *testFollower, n int)
		maxLatency time.Duration
	}{
		{"no fault", func(*testFollower, int) {}, nil, 500 * time.Millisecond},
		{"two members stopped", func(f *testFollower, n int) {
			f.cluster.StopMember(n % 3)
			f.cluster.StopMember((n + 1) % 3)
		}, func(f *testFollower, n int) {
			f.startMember(n % 3)
			f.startMember((n + 1) % 3)
		}, 2 * time.Second},
		{"silent watches and a compaction", func(f *testFollower, n int) {
			f.cluster.SilenceWatches()
			f.applyOps(emulator.Op{Key: "/t/other", Value: "a"}, emulator.Op{Key: "/t/other", Delete: true})
			f.applyOps(emulator.Op{Key: "/t/other", Value: "b"})
			f.cluster.WithStore(func(s *emulator.Store) {
				if err := s.Compact(s.Revision()); err != nil {
					f.t.Error(err)
				}
			})
		}, nil, 2 * time.Second},
		{"silent watches", func(f *testFollower, _ int) { f.cluster.SilenceWatches() }, nil, 2 * time.Second},
		{"a silent member and silent watches", func(f *testFollower, n int) {
			f.cluster.SilenceWatches()
			f.cluster.SetSilent(n%3, true)
		}, func(f *testFollower, n int) {
			f.cluster.SetSilent(n%3, false)
		}, 2 * time.Second},
		{"two members without a leader", func(f *testFollower, n int) {
			f.cluster.SetNoLeader(n%3, true)
			f.cluster.SetNoLeader((n+1)%3, true)
		}, func(f *testFollower, n int) {
			f.cluster.SetNoLeader(n%3, false)
			f.cluster.SetNoLeader((n+1)%3, false)
		}, 2 * time.Second},
	} {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			f := startFollower(t, 3, "")
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
			f.applyOps(ops...)
			f.waitFor("the list of 8 endpoints", func() bool { return len(f.published) == 8 })
			var latencies []time.Duration
			for n := range *drainRounds {
				id := fmt.Sprint("e", n%8)
				fault.inject(f, n)
				f.applyOps(drainOp(id, false))
				draining := func() bool { return f.published[id].Phase == membership.Draining }
				latencies = append(latencies, f.waitFor("the drain of "+id, draining))
				f.mu.Lock()
				f.view.Apply(f.view.NextDeadline(), &membership.Update{
					Source: 1, Epoch: "r", Revision: int64(n + 1), Complete: true, Members: listed,
				})
				for _, ch := range f.view.Step(0) {
					if ch.ID == id && ch.Phase == membership.Up {
						t.Errorf("a list of the registry ended the drain of %s", id)
					}
				}
				f.mu.Unlock()
				if fault.end != nil {
					fault.end(f, n)
				}
				f.applyOps(drainOp(id, true))
				f.waitFor("the end of the drain of "+id,
					func() bool { return f.published[id].Phase == membership.Up })
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
	f := startFollower(t, 2, "relay")
	var ops []emulator.Op
	for k := range 2500 {
		ops = append(ops, emulator.Op{
			Key: etcd.Key("/t", "endpoints", fmt.Sprint("e", k)), Value: endpointValue(k % 50000),
		})
	}
	f.applyOps(ops...)
	f.waitFor("the list of 2,500 endpoints", func() bool { return len(f.published) == 2500 })
	f.cluster.RevokeTokens()
	f.applyOps(drainOp("e7", false))
	draining := func() bool { return f.published["e7"].Phase == membership.Draining }
	f.waitFor("a drain after the tokens were revoked", draining)
	var lease *emulator.Lease
	f.cluster.WithStore(func(s *emulator.Store) { lease, _ = s.GrantLease(0, 1, time.Now().UnixMicro()) })
	f.applyOps(emulator.Op{Key: etcd.Key("/t", "endpoints", "leased"), Value: endpointValue(3000), Lease: lease.ID})
	f.waitFor("the leased endpoint", func() bool { return f.published["leased"].ID != "" })
	f.waitFor("its removal after the lease expired", func() bool { return f.published["leased"].ID == "" })
	var backup *emulator.Store
	f.cluster.WithStore(func(s *emulator.Store) { backup = s.Clone() })
	for i := range ops {
		ops[i].Delete = true
	}
	f.applyOps(ops[100:]...)
	f.waitFor("the removal of most endpoints", func() bool { return len(f.published) == 100 })
	f.cluster.Restore(backup, 0xc0b1)
	f.waitFor("the list of the backup", func() bool { return len(f.published) == 2500 })
}
