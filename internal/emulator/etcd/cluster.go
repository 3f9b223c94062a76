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
	noToken            = "none yet" // value of Cluster.token while no token is valid
)

// Cluster is a store with members that serve it at loopback addresses.
type Cluster struct {
	members       []*Member
	serverOptions []grpc.ServerOption
	stop          chan struct{}

	mu           sync.Mutex // guards the fields below, the store, and the members' faults
	id           uint64
	store        *Store
	changed      chan struct{} // closed and replaced at each change
	username     string        // empty if no token is required
	password     string
	token        string
	tokensIssued int
}

var errNoLeader = status.Error(codes.Unavailable, "etcdserver: no leader")

// NewCluster starts a cluster, each member at an address of its own. The options, such as
// TLS, apply to the gRPC servers of the members.
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

// start starts the server of a member, at the same port as before if it was started before.
func (m *Member) start() error {
	listener, err := loopback.Listen(m.port)
	if err != nil {
		return fmt.Errorf("etcd emulator: start member %d at port %d: %w", m.id, m.port, err)
	}
	m.port = listener.Addr().(*net.TCPAddr).Port
	server := grpc.NewServer(m.cluster.serverOptions...)
	etcdserverpb.RegisterKVServer(server, m)
	etcdserverpb.RegisterWatchServer(server, m)
	etcdserverpb.RegisterLeaseServer(server, m)
	etcdserverpb.RegisterAuthServer(server, m)
	m.server = server
	go func() { _ = server.Serve(listener) }() // returns after Stop
	return nil
}

// expireLeases revokes expired leases until Close.
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

// Close stops all members and the expiry of leases.
func (c *Cluster) Close() {
	close(c.stop)
	for _, m := range c.members {
		if m.server != nil {
			m.server.Stop()
		}
	}
}

// Addresses returns the addresses of all members.
func (c *Cluster) Addresses() (addresses []string) {
	for _, m := range c.members {
		addresses = append(addresses, net.JoinHostPort(loopback.Host(), strconv.Itoa(m.port)))
	}
	return addresses
}

// WithStore calls a function with the store locked, and notifies watches if the function
// changed the store.
func (c *Cluster) WithStore(use func(*Store)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.store.Revision()
	use(c.store)
	if c.store.Revision() != before {
		c.notifyChange()
	}
}

// notifyChange wakes all goroutines that wait for a change. The caller holds mu.
func (c *Cluster) notifyChange() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Apply makes changes at one revision and returns that revision.
func (c *Cluster) Apply(ops ...Op) (revision int64, err error) {
	c.WithStore(func(s *Store) {
		_, err = s.Apply(ops...)
		revision = s.Revision()
	})
	return revision, err
}

// Restore replaces the store by a backup and sets the cluster ID, which may stay the same. It
// restarts all members, which ends open watches.
func (c *Cluster) Restore(backup *Store, id uint64) {
	c.mu.Lock()
	c.store, c.id = backup, id
	c.mu.Unlock()
	for member := range c.members {
		c.StopMember(member)
		_ = c.StartMember(member) // if its port is no longer free, the member stays down
	}
}

// StopMember stops a member. StartMember can start it again.
func (c *Cluster) StopMember(member int) { c.members[member].server.Stop() }

// StartMember starts a stopped member at its former address.
func (c *Cluster) StartMember(member int) error { return c.members[member].start() }

// SetSilent makes a member leave all calls unanswered, or answer later calls again. Watches
// that are open when it becomes silent never send anything again.
func (c *Cluster) SetSilent(member int, silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.members[member]
	if m.silent = silent; silent {
		m.silencedStreams = m.streamsOpened
	}
}

// SilenceWatches makes all watches that are open now send nothing more. They stay open.
func (c *Cluster) SilenceWatches() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.members {
		m.silencedStreams = m.streamsOpened
	}
}

// SetNoLeader makes a member lose its leader, or find it again. Without a leader it rejects
// all calls except Authenticate, and ends its watches.
func (c *Cluster) SetNoLeader(member int, noLeader bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members[member].noLeader = noLeader
	c.notifyChange()
}

// EnableAuth makes members require a token from now on. They issue tokens for a user name
// and password.
func (c *Cluster) EnableAuth(username, password string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.username, c.password, c.token = username, password, noToken
}

// RevokeTokens invalidates the issued token. It also ends open watches that used it.
func (c *Cluster) RevokeTokens() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.token = noToken
	c.notifyChange()
}
