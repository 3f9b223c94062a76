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
	mu            sync.Mutex
	id            uint64
	store         *Store
	members       []*Member
	changed       chan struct{} // closed at each change
	username      string        // where a token is asked for
	password      string
	token         string
	tokensIssued  int
	stop          chan struct{}
	serverOptions []grpc.ServerOption
}

var errNoLeader = status.Error(codes.Unavailable, "etcdserver: no leader")

// NewCluster starts one with so many members, on addresses of their own. Options are
// their servers': TLS, maybe.
func NewCluster(members int, options ...grpc.ServerOption) (*Cluster, error) {
	c := &Cluster{
		id:            0x7e57,
		store:         NewStore(),
		changed:       make(chan struct{}),
		stop:          make(chan struct{}),
		serverOptions: options,
	}
	for i := range members {
		m := &Member{cluster: c, id: uint64(i + 1), address: "127.0.0.1:0"}
		c.members = append(c.members, m)
		if err := m.start(); err != nil {
			c.Close()
			return nil, err
		}
	}
	go c.expireLeases()
	return c, nil
}

func (m *Member) start() error {
	ln, err := net.Listen("tcp", m.address)
	if err != nil {
		return err
	}
	m.address = ln.Addr().String()
	m.server = grpc.NewServer(m.cluster.serverOptions...)
	etcdserverpb.RegisterKVServer(m.server, m)
	etcdserverpb.RegisterWatchServer(m.server, m)
	etcdserverpb.RegisterLeaseServer(m.server, m)
	etcdserverpb.RegisterAuthServer(m.server, m)
	go func() { _ = m.server.Serve(ln) }() // until Stop
	return nil
}

// expireLeases ends leases whose time is up.
func (c *Cluster) expireLeases() {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-c.stop:
			return
		case now := <-tick.C:
			c.WithStore(func(s *Store) { s.ExpireLeases(now.UnixMicro()) })
		}
	}
}

// Close ends all members.
func (c *Cluster) Close() {
	close(c.stop)
	for _, m := range c.members {
		if m.server != nil {
			m.server.Stop()
		}
	}
}

// Addresses are the members' addresses.
func (c *Cluster) Addresses() (all []string) {
	for _, m := range c.members {
		all = append(all, m.address)
	}
	return all
}

// WithStore has the store looked at or changed, and watches told.
func (c *Cluster) WithStore(f func(*Store)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rev := c.store.Revision()
	if f(c.store); c.store.Revision() != rev {
		c.notifyChange()
	}
}

// notifyChange wakes who waits. The caller holds mu.
func (c *Cluster) notifyChange() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Apply makes changes at one revision.
func (c *Cluster) Apply(ops ...Op) (rev int64, err error) {
	c.WithStore(func(s *Store) { _, err = s.Apply(ops...); rev = s.Revision() })
	return rev, err
}

// Restore has the cluster go on from a copy, under its id or another; open watches
// end.
func (c *Cluster) Restore(backup *Store, id uint64) {
	c.mu.Lock()
	c.store, c.id = backup, id
	c.mu.Unlock()
	for i := range c.members {
		c.StopMember(i)
		_ = c.StartMember(i) // its port may be taken meanwhile: then the member stays down
	}
}

// StopMember ends a member; Start has it serve again where it did.
func (c *Cluster) StopMember(i int) { c.members[i].server.Stop() }

// StartMember has a member serve again.
func (c *Cluster) StartMember(i int) error { return c.members[i].start() }

// SetSilent has a member answer nothing, or answer again. What it held back it never
// says.
func (c *Cluster) SetSilent(i int, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.members[i]
	if m.silent = on; on {
		m.silencedStreams = m.streamsOpened
	}
}

// SilenceWatches has every watch that is open now say nothing any more.
func (c *Cluster) SilenceWatches() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.members {
		m.silencedStreams = m.streamsOpened
	}
}

// SetNoLeader has a member without a leader, or with one.
func (c *Cluster) SetNoLeader(i int, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members[i].noLeader = on
	c.notifyChange()
}

// EnableAuth asks for a token from here on; EndTokens has those that were given be known
// no more.
func (c *Cluster) EnableAuth(user, pass string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.username, c.password, c.token = user, pass, "none yet"
}

// RevokeTokens has no token be good that was given before.
func (c *Cluster) RevokeTokens() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.token = "none yet"
	c.notifyChange()
}
