package follow

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"troutusher/internal/membership"
	"troutusher/internal/source/etcd"
	standin "troutusher/internal/standin/etcd"
)

var rounds = flag.Int("rounds", 4, "drains in each trouble; 40 for a measurement")

// follower is one on real sockets, with the view that it feeds and a registry that
// says up whatever happens.
type follower struct {
	t    *testing.T
	c    *standin.Cluster
	f    *Follower
	mu   sync.Mutex
	v    *membership.View
	list map[string]membership.Member
	cond *sync.Cond
}

func start(t *testing.T, members int, user string) *follower {
	t.Helper()
	c, err := standin.NewCluster(members)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	if user != "" {
		c.Auth(user, "secret")
	}
	x := &follower{t: t, c: c, list: map[string]membership.Member{}}
	x.cond = sync.NewCond(&x.mu)
	set := membership.Default(membership.Source{Name: "etcd", Stale: 10e6}, membership.Source{Name: "registry", Stale: 20e6})
	set.HoldDown = 0
	if x.v, err = membership.New(set); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	now := func() membership.Time { return 1 + time.Since(began).Microseconds() }
	opt := Options{Settings: etcd.Default("/t", members), Endpoints: c.Addrs(), User: user, Password: "secret", Seed: 7,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Alive: func() { x.mu.Lock(); x.v.Heard(now(), 0); x.mu.Unlock() }}
	opt.Say = func(w *membership.Word) {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.v.Take(now(), w)
		for _, ch := range x.v.Step(now()) {
			if x.list[ch.ID] = ch.Member; ch.Phase == membership.Removed {
				delete(x.list, ch.ID)
			}
		}
		if x.v.Asks(0) {
			x.f.ReadAnew()
		}
		x.cond.Broadcast()
	}
	if x.f, err = New(opt); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); x.f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return x
}

// until waits until the list is as wanted, and gives how long that took.
func (x *follower) until(what string, cond func() bool) time.Duration {
	x.t.Helper()
	began, late := time.Now(), false
	stop := time.AfterFunc(20*time.Second, func() { x.mu.Lock(); late = true; x.cond.Broadcast(); x.mu.Unlock() })
	defer stop.Stop()
	x.mu.Lock()
	defer x.mu.Unlock()
	for !cond() {
		if late {
			x.t.Fatalf("never came: %s; the list is %v", what, x.list)
		}
		x.cond.Wait()
	}
	return time.Since(began)
}

func value(k int) string {
	return fmt.Sprintf(`{"v":1,"host_port":"127.0.0.1:%d","dest":%d}`, 7000+k, k%3)
}

func (x *follower) do(ops ...standin.Op) {
	x.t.Helper()
	if _, err := x.c.Do(ops...); err != nil {
		x.t.Fatal(err)
	}
}

func drain(id string, off bool) standin.Op {
	return standin.Op{Key: etcd.Key("/t", "drains", id), Value: `{"v":1}`, Delete: off}
}

// A drain is heard within 2 s of its put with all well, and whatever of these goes
// wrong as it is put; a registry that says up takes none back.
func TestDrainsAreHeard(t *testing.T) {
	for _, trouble := range []struct {
		name string
		do   func(x *follower, n int)
		undo func(x *follower, n int)
		most time.Duration
	}{
		{"all well", func(*follower, int) {}, nil, 500 * time.Millisecond},
		{"watches broken", func(x *follower, n int) { x.c.Stop(n % 3); x.c.Stop((n + 1) % 3) },
			func(x *follower, n int) { x.c.Start(n % 3); x.c.Start((n + 1) % 3) }, 2 * time.Second},
		{"compacted in the gap", func(x *follower, n int) {
			x.c.SilenceWatches()
			x.do(standin.Op{Key: "/t/other", Value: "a"}, standin.Op{Key: "/t/other", Delete: true})
			x.do(standin.Op{Key: "/t/other", Value: "b"})
			x.c.With(func(s *standin.Store) { s.Compact(s.Revision()) })
		}, nil, 2 * time.Second},
		{"silent watches", func(x *follower, _ int) { x.c.SilenceWatches() }, nil, 2 * time.Second},
		{"a silent member, and silent watches", func(x *follower, n int) { x.c.SilenceWatches(); x.c.Silence(n%3, true) },
			func(x *follower, n int) { x.c.Silence(n%3, false) }, 2 * time.Second},
		{"no leader", func(x *follower, n int) { x.c.NoLeader(n%3, true); x.c.NoLeader((n+1)%3, true) },
			func(x *follower, n int) { x.c.NoLeader(n%3, false); x.c.NoLeader((n+1)%3, false) }, 2 * time.Second},
	} {
		t.Run(trouble.name, func(t *testing.T) {
			t.Parallel()
			x := start(t, 3, "")
			var ops []standin.Op
			var said []membership.Member
			for k := range 8 {
				ops = append(ops, standin.Op{Key: etcd.Key("/t", "endpoints", fmt.Sprint("e", k)), Value: value(k)})
				said = append(said, membership.Member{ID: fmt.Sprint("e", k), HostPort: fmt.Sprintf("127.0.0.1:%d", 7000+k), Cell: k % 3, Phase: membership.Up})
			}
			x.do(ops...)
			x.until("the list", func() bool { return len(x.list) == 8 })
			var took []time.Duration
			for n := range *rounds {
				id := fmt.Sprint("e", n%8)
				trouble.do(x, n)
				x.do(drain(id, false))
				took = append(took, x.until("the drain", func() bool { return x.list[id].Phase == membership.Draining }))
				x.mu.Lock()
				x.v.Take(x.v.Next(), &membership.Word{Source: 1, Epoch: "r", Revision: int64(n + 1), Whole: true, Members: said})
				for _, ch := range x.v.Step(0) {
					if ch.ID == id && ch.Phase == membership.Up {
						t.Errorf("the registry has taken back the drain of %s", id)
					}
				}
				x.mu.Unlock()
				if trouble.undo != nil {
					trouble.undo(x, n)
				}
				x.do(drain(id, true))
				x.until("its end", func() bool { return x.list[id].Phase == membership.Up })
			}
			slices.Sort(took)
			t.Logf("%d drains: median %v, most %v", len(took), took[len(took)/2].Round(time.Millisecond), took[len(took)-1].Round(time.Millisecond))
			if took[len(took)-1] > trouble.most {
				t.Errorf("heard after %v", took)
			}
		})
	}
}

// A long list comes in pages and fragments; tokens that end are had anew; a lease
// that runs out takes its endpoint away; most of the list gone at once, as after a
// restore, is believed once it has been read anew.
func TestFollowing(t *testing.T) {
	x := start(t, 2, "relay")
	var ops []standin.Op
	for k := range 2500 {
		ops = append(ops, standin.Op{Key: etcd.Key("/t", "endpoints", fmt.Sprint("e", k)), Value: value(k % 50000)})
	}
	x.do(ops...)
	x.until("2,500", func() bool { return len(x.list) == 2500 })
	x.c.EndTokens()
	x.do(drain("e7", false))
	x.until("a drain after the tokens have ended", func() bool { return x.list["e7"].Phase == membership.Draining })
	var lease *standin.Lease
	x.c.With(func(s *standin.Store) { lease, _ = s.Grant(0, 1, time.Now().UnixMicro()) })
	x.do(standin.Op{Key: etcd.Key("/t", "endpoints", "leased"), Value: value(3000), Lease: lease.ID})
	x.until("the leased one", func() bool { return x.list["leased"].ID != "" })
	x.until("its end", func() bool { return x.list["leased"].ID == "" })
	var copy *standin.Store
	x.c.With(func(s *standin.Store) { copy = s.Copy() })
	for i := range ops {
		ops[i].Delete = true
	}
	x.do(ops[100:]...)
	x.until("most of them gone", func() bool { return len(x.list) == 100 })
	x.c.PutBack(copy, 0xc0b1)
	x.until("all of them back", func() bool { return len(x.list) == 2500 })
}
