package etcd

import (
	"net"
	"sync"
	"time"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Cluster is a store with members that serve it on loopback.
type Cluster struct {
	mu      sync.Mutex
	id      uint64
	store   *Store
	members []*Member
	wake    chan struct{} // closed at each change
	user    string        // where a token is asked for
	pass    string
	token   string
	tokens  int
	stop    chan struct{}
	options []grpc.ServerOption
}

var errNoLeader = status.Error(codes.Unavailable, "etcdserver: no leader")

// NewCluster starts one with so many members, on addresses of their own. Options are
// their servers': TLS, maybe.
func NewCluster(members int, options ...grpc.ServerOption) (*Cluster, error) {
	c := &Cluster{id: 0x7e57, store: NewStore(), wake: make(chan struct{}), stop: make(chan struct{}), options: options}
	for i := range members {
		m := &Member{c: c, id: uint64(i + 1), addr: "127.0.0.1:0"}
		c.members = append(c.members, m)
		if err := m.start(); err != nil {
			c.Close()
			return nil, err
		}
	}
	go c.expire()
	return c, nil
}

func (m *Member) start() error {
	ln, err := net.Listen("tcp", m.addr)
	if err != nil {
		return err
	}
	m.addr = ln.Addr().String()
	m.srv = grpc.NewServer(m.c.options...)
	etcdserverpb.RegisterKVServer(m.srv, m)
	etcdserverpb.RegisterWatchServer(m.srv, m)
	etcdserverpb.RegisterLeaseServer(m.srv, m)
	etcdserverpb.RegisterAuthServer(m.srv, m)
	go func() { _ = m.srv.Serve(ln) }() // until Stop
	return nil
}

// expire ends leases whose time is up.
func (c *Cluster) expire() {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-c.stop:
			return
		case now := <-tick.C:
			c.With(func(s *Store) { s.Expire(now.UnixMicro()) })
		}
	}
}

// Close ends all members.
func (c *Cluster) Close() {
	close(c.stop)
	for _, m := range c.members {
		if m.srv != nil {
			m.srv.Stop()
		}
	}
}

// Addrs are the members' addresses.
func (c *Cluster) Addrs() (all []string) {
	for _, m := range c.members {
		all = append(all, m.addr)
	}
	return all
}

// With has the store looked at or changed, and watches told.
func (c *Cluster) With(f func(*Store)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rev := c.store.Revision()
	if f(c.store); c.store.Revision() != rev {
		c.changed()
	}
}

// changed wakes who waits. The caller holds mu.
func (c *Cluster) changed() {
	close(c.wake)
	c.wake = make(chan struct{})
}

// Do makes changes at one revision.
func (c *Cluster) Do(ops ...Op) (rev int64, err error) {
	c.With(func(s *Store) { _, err = s.Do(ops...); rev = s.Revision() })
	return rev, err
}

// PutBack has the cluster go on from a copy, under its id or another; open watches
// end.
func (c *Cluster) PutBack(backup *Store, id uint64) {
	c.mu.Lock()
	c.store, c.id = backup, id
	c.mu.Unlock()
	for i := range c.members {
		c.Stop(i)
		_ = c.Start(i) // its port may be taken meanwhile: then the member stays down
	}
}

// Stop ends a member; Start has it serve again where it did.
func (c *Cluster) Stop(i int) { c.members[i].srv.Stop() }

// Start has a member serve again.
func (c *Cluster) Start(i int) error { return c.members[i].start() }

// Silence has a member answer nothing, or answer again. What it held back it never
// says.
func (c *Cluster) Silence(i int, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.members[i]
	if m.silent = on; on {
		m.still = m.streams
	}
}

// SilenceWatches has every watch that is open now say nothing any more.
func (c *Cluster) SilenceWatches() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.members {
		m.still = m.streams
	}
}

// NoLeader has a member without a leader, or with one.
func (c *Cluster) NoLeader(i int, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members[i].noLeader = on
	c.changed()
}

// Auth asks for a token from here on; EndTokens has those that were given be known
// no more.
func (c *Cluster) Auth(user, pass string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.user, c.pass, c.token = user, pass, "none yet"
}

// EndTokens has no token be good that was given before.
func (c *Cluster) EndTokens() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.token = "none yet"
	c.changed()
}
