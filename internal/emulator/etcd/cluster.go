package etcd

import (
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"troutusher/internal/emulator/loopback"
)

const (
	firstClusterID     = 0x7e57
	leaseCheckInterval = 20 * time.Millisecond
	noToken            = "none yet" // the token while none has been issued
)

// Cluster is a store with members that serve it on loopback.
type Cluster struct {
	members       []*Member
	serverOptions []grpc.ServerOption
	stop          chan struct{}

	mu           sync.Mutex // guards all below, the store, and the members' faults
	id           uint64
	store        *Store
	changed      chan struct{} // closed at each change, and then replaced
	username     string        // empty where no token is asked for
	password     string
	token        string
	tokensIssued int
}

var errNoLeader = status.Error(codes.Unavailable, "etcdserver: no leader")

// NewCluster starts a cluster, each member at an address of its own. Options are for
// the members' servers, such as TLS.
func NewCluster(members int, options ...grpc.ServerOption) (*Cluster, error) {
	c := &Cluster{
		id:            firstClusterID,
		store:         NewStore(),
		changed:       make(chan struct{}),
		stop:          make(chan struct{}),
		serverOptions: options,
	}
	for i := range members {
		m := &Member{cluster: c, id: uint64(i + 1)}
		c.members = append(c.members, m)
		if err := m.start(); err != nil {
			c.Close()
			return nil, err
		}
	}
	go c.expireLeases()
	return c, nil
}

// start has a member serve, at the port that it had before, if any.
func (m *Member) start() error {
	listener, err := loopback.Listen(m.port)
	if err != nil {
		return fmt.Errorf("etcd emulator: member %d: %w", m.id, err)
	}
	m.port = listener.Addr().(*net.TCPAddr).Port
	server := grpc.NewServer(m.cluster.serverOptions...)
	etcdserverpb.RegisterKVServer(server, m)
	etcdserverpb.RegisterWatchServer(server, m)
	etcdserverpb.RegisterLeaseServer(server, m)
	etcdserverpb.RegisterAuthServer(server, m)
	m.server = server
	go func() { _ = server.Serve(listener) }() // until Stop
	return nil
}

// expireLeases ends leases when they expire, until Close.
func (c *Cluster) expireLeases() {
	ticker := time.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.stop:
			return
		case now := <-ticker.C:
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
func (c *Cluster) Addresses() (addresses []string) {
	for _, m := range c.members {
		addresses = append(addresses, net.JoinHostPort(loopback.Host(), strconv.Itoa(m.port)))
	}
	return addresses
}

// WithStore calls a function with the store, and wakes watches where it was changed.
func (c *Cluster) WithStore(use func(*Store)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.store.Revision()
	use(c.store)
	if c.store.Revision() != before {
		c.notifyChange()
	}
}

// notifyChange wakes everyone who waits for a change. The caller holds mu.
func (c *Cluster) notifyChange() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Apply makes changes at one revision.
func (c *Cluster) Apply(ops ...Op) (revision int64, err error) {
	c.WithStore(func(s *Store) {
		_, err = s.Apply(ops...)
		revision = s.Revision()
	})
	return revision, err
}

// Restore replaces the store by a copy, under the same cluster ID or another. Open
// watches end.
func (c *Cluster) Restore(backup *Store, id uint64) {
	c.mu.Lock()
	c.store, c.id = backup, id
	c.mu.Unlock()
	for member := range c.members {
		c.StopMember(member)
		_ = c.StartMember(member) // where its port is in use by now, the member stays down
	}
}

// StopMember stops a member. StartMember has it serve again at the same address.
func (c *Cluster) StopMember(member int) { c.members[member].server.Stop() }

// StartMember has a member serve again.
func (c *Cluster) StartMember(member int) error { return c.members[member].start() }

// SetSilent has a member answer nothing, or answer again. Watches that were open send
// nothing any more.
func (c *Cluster) SetSilent(member int, silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.members[member]
	if m.silent = silent; silent {
		m.silencedStreams = m.streamsOpened
	}
}

// SilenceWatches has every watch that is open now send nothing any more.
func (c *Cluster) SilenceWatches() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.members {
		m.silencedStreams = m.streamsOpened
	}
}

// SetNoLeader has a member lose its leader, or find it again.
func (c *Cluster) SetNoLeader(member int, noLeader bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members[member].noLeader = noLeader
	c.notifyChange()
}

// EnableAuth has members ask for a token from now on, which they issue for a name and
// password.
func (c *Cluster) EnableAuth(username, password string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.username, c.password, c.token = username, password, noToken
}

// RevokeTokens invalidates the tokens that were issued.
func (c *Cluster) RevokeTokens() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.token = noToken
	c.notifyChange()
}
