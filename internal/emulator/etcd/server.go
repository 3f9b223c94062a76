package etcd

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
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

// Member is one of them.
type Member struct {
	etcdserverpb.UnimplementedKVServer
	etcdserverpb.UnimplementedWatchServer
	etcdserverpb.UnimplementedLeaseServer
	etcdserverpb.UnimplementedAuthServer
	c        *Cluster
	id       uint64
	addr     string
	srv      *grpc.Server
	silent   bool
	noLeader bool
	still    int // streams opened so far that say nothing any more
	streams  int
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

// enter is what every call passes: the member's faults, its leader, the token. It
// returns with mu held, where it returns no error.
func (m *Member) enter(ctx context.Context) error {
	m.c.mu.Lock()
	switch {
	case m.silent:
		m.c.mu.Unlock()
		<-ctx.Done()
		return status.FromContextError(ctx.Err()).Err()
	case m.noLeader:
		m.c.mu.Unlock()
		return errNoLeader
	case !m.allowed(ctx):
		m.c.mu.Unlock()
		return status.Error(codes.Unauthenticated, "etcdserver: invalid auth token")
	}
	return nil
}

func (m *Member) allowed(ctx context.Context) bool {
	if m.c.user == "" {
		return true
	}
	md, _ := metadata.FromIncomingContext(ctx)
	t := md.Get("token")
	return len(t) == 1 && t[0] == m.c.token
}

func (m *Member) header() *etcdserverpb.ResponseHeader {
	return &etcdserverpb.ResponseHeader{ClusterId: m.c.id, MemberId: m.id, Revision: m.c.store.Revision(), RaftTerm: 1}
}

func fault(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ErrCompacted), errors.Is(err, ErrFuture):
		return status.Error(codes.OutOfRange, err.Error())
	case errors.Is(err, ErrNoLease):
		return status.Error(codes.NotFound, err.Error())
	}
	return status.Error(codes.FailedPrecondition, err.Error())
}

func kv(v Version) *mvccpb.KeyValue {
	return &mvccpb.KeyValue{
		Key: []byte(v.Key), Value: []byte(v.Value), CreateRevision: v.Created, ModRevision: v.Modified,
		Version: v.Version, Lease: v.Lease,
	}
}

// Authenticate gives a token.
func (m *Member) Authenticate(
	ctx context.Context, r *etcdserverpb.AuthenticateRequest,
) (*etcdserverpb.AuthenticateResponse, error) {
	m.c.mu.Lock()
	defer m.c.mu.Unlock()
	switch {
	case m.silent:
		m.c.mu.Unlock()
		<-ctx.Done()
		m.c.mu.Lock()
		return nil, status.FromContextError(ctx.Err()).Err()
	case m.c.user == "":
		return nil, status.Error(codes.FailedPrecondition, "etcdserver: authentication is not enabled")
	case r.Name != m.c.user || r.Password != m.c.pass:
		return nil, status.Error(codes.InvalidArgument, "etcdserver: authentication failed, invalid user ID or "+
			"password")
	}
	if m.c.token == "none yet" {
		m.c.tokens++
		m.c.token = "token-" + time.Duration(m.c.tokens).String()
	}
	return &etcdserverpb.AuthenticateResponse{Header: m.header(), Token: m.c.token}, nil
}

// Range reads.
func (m *Member) Range(ctx context.Context, r *etcdserverpb.RangeRequest) (*etcdserverpb.RangeResponse, error) {
	if err := m.enter(ctx); err != nil {
		return nil, err
	}
	defer m.c.mu.Unlock()
	return m.ranged(r)
}

func (m *Member) ranged(r *etcdserverpb.RangeRequest) (*etcdserverpb.RangeResponse, error) {
	all, count, err := m.c.store.Range(string(r.Key), string(r.RangeEnd), r.Revision, r.Limit)
	if err != nil {
		return nil, fault(err)
	}
	out := &etcdserverpb.RangeResponse{Header: m.header(), Count: count, More: count > int64(len(all))}
	for _, v := range all {
		out.Kvs = append(out.Kvs, kv(v))
	}
	return out, nil
}

// Put writes one key.
func (m *Member) Put(ctx context.Context, r *etcdserverpb.PutRequest) (*etcdserverpb.PutResponse, error) {
	if err := m.enter(ctx); err != nil {
		return nil, err
	}
	defer m.c.mu.Unlock()
	if _, err := m.c.store.Do(Op{Key: string(r.Key), Value: string(r.Value), Lease: r.Lease}); err != nil {
		return nil, fault(err)
	}
	m.c.changed()
	return &etcdserverpb.PutResponse{Header: m.header()}, nil
}

// DeleteRange deletes.
func (m *Member) DeleteRange(
	ctx context.Context, r *etcdserverpb.DeleteRangeRequest,
) (*etcdserverpb.DeleteRangeResponse, error) {
	if err := m.enter(ctx); err != nil {
		return nil, err
	}
	defer m.c.mu.Unlock()
	n, err := m.c.store.Do(Op{Key: string(r.Key), End: string(r.RangeEnd), Delete: true})
	if err != nil {
		return nil, fault(err)
	}
	m.c.changed()
	return &etcdserverpb.DeleteRangeResponse{Header: m.header(), Deleted: n}, nil
}

// Txn compares, and then does one thing or the other, at one revision.
func (m *Member) Txn(ctx context.Context, r *etcdserverpb.TxnRequest) (*etcdserverpb.TxnResponse, error) {
	if err := m.enter(ctx); err != nil {
		return nil, err
	}
	defer m.c.mu.Unlock()
	holds := true
	for _, x := range r.Compare {
		holds = holds && m.compare(x)
	}
	ops := r.Success
	if !holds {
		ops = r.Failure
	}
	out := &etcdserverpb.TxnResponse{Succeeded: holds}
	var changes []Op
	for _, op := range ops {
		switch {
		case op.GetRequestPut() != nil:
			p := op.GetRequestPut()
			changes = append(changes, Op{Key: string(p.Key), Value: string(p.Value), Lease: p.Lease})
			out.Responses = append(
				out.Responses,
				&etcdserverpb.ResponseOp{
					Response: &etcdserverpb.ResponseOp_ResponsePut{ResponsePut: &etcdserverpb.PutResponse{}},
				},
			)
		case op.GetRequestDeleteRange() != nil:
			d := op.GetRequestDeleteRange()
			changes = append(changes, Op{Key: string(d.Key), End: string(d.RangeEnd), Delete: true})
			out.Responses = append(
				out.Responses,
				&etcdserverpb.ResponseOp{
					Response: &etcdserverpb.ResponseOp_ResponseDeleteRange{
						ResponseDeleteRange: &etcdserverpb.DeleteRangeResponse{},
					},
				},
			)
		case op.GetRequestRange() != nil:
			x, err := m.ranged(op.GetRequestRange())
			if err != nil {
				return nil, err
			}
			out.Responses = append(out.Responses,
				&etcdserverpb.ResponseOp{Response: &etcdserverpb.ResponseOp_ResponseRange{ResponseRange: x}})
		default:
			return nil, status.Error(codes.Unimplemented, "stand-in: no such operation")
		}
	}
	if len(changes) > 0 {
		if _, err := m.c.store.Do(changes...); err != nil {
			return nil, fault(err)
		}
		m.c.changed()
	}
	out.Header = m.header()
	return out, nil
}

func (m *Member) compare(x *etcdserverpb.Compare) bool {
	v, _ := m.c.store.get(string(x.Key), m.c.store.Revision())
	order := func(a, b int64) int {
		switch {
		case a < b:
			return -1
		case a > b:
			return 1
		}
		return 0
	}
	n := 0
	switch x.Target {
	case etcdserverpb.Compare_VERSION:
		n = order(v.Version, x.GetVersion())
	case etcdserverpb.Compare_CREATE:
		n = order(v.Created, x.GetCreateRevision())
	case etcdserverpb.Compare_MOD:
		n = order(v.Modified, x.GetModRevision())
	case etcdserverpb.Compare_VALUE:
		if n = 1; v.Value == string(x.GetValue()) {
			n = 0
		} else if v.Value < string(x.GetValue()) {
			n = -1
		}
	}
	switch x.Result {
	case etcdserverpb.Compare_GREATER:
		return n > 0
	case etcdserverpb.Compare_LESS:
		return n < 0
	case etcdserverpb.Compare_NOT_EQUAL:
		return n != 0
	}
	return n == 0
}

// Compact drops old revisions.
func (m *Member) Compact(
	ctx context.Context, r *etcdserverpb.CompactionRequest,
) (*etcdserverpb.CompactionResponse, error) {
	if err := m.enter(ctx); err != nil {
		return nil, err
	}
	defer m.c.mu.Unlock()
	if err := m.c.store.Compact(r.Revision); err != nil {
		return nil, fault(err)
	}
	return &etcdserverpb.CompactionResponse{Header: m.header()}, nil
}

// LeaseGrant grants a lease.
func (m *Member) LeaseGrant(
	ctx context.Context, r *etcdserverpb.LeaseGrantRequest,
) (*etcdserverpb.LeaseGrantResponse, error) {
	if err := m.enter(ctx); err != nil {
		return nil, err
	}
	defer m.c.mu.Unlock()
	l, err := m.c.store.Grant(r.ID, r.TTL, time.Now().UnixMicro())
	if err != nil {
		return nil, fault(err)
	}
	return &etcdserverpb.LeaseGrantResponse{Header: m.header(), ID: l.ID, TTL: l.TTL}, nil
}

// LeaseRevoke ends one.
func (m *Member) LeaseRevoke(
	ctx context.Context, r *etcdserverpb.LeaseRevokeRequest,
) (*etcdserverpb.LeaseRevokeResponse, error) {
	if err := m.enter(ctx); err != nil {
		return nil, err
	}
	defer m.c.mu.Unlock()
	if err := m.c.store.Revoke(r.ID); err != nil {
		return nil, fault(err)
	}
	m.c.changed()
	return &etcdserverpb.LeaseRevokeResponse{Header: m.header()}, nil
}

// watched is one watch of a stream.
type watched struct {
	id       int64
	key, end string
	next     int64
	fragment bool
}

// Watch serves one stream.
func (m *Member) Watch(stream etcdserverpb.Watch_WatchServer) error {
	if err := m.enter(stream.Context()); err != nil {
		return err
	}
	m.streams++
	no := m.streams
	m.c.mu.Unlock()
	requests := make(chan *etcdserverpb.WatchRequest)
	go func() {
		defer close(requests)
		for {
			r, err := stream.Recv()
			if err != nil {
				return
			}
			select {
			case requests <- r:
			case <-stream.Context().Done():
				return
			}
		}
	}()
	var all []*watched
	ids := int64(0)
	for {
		m.c.mu.Lock()
		if m.noLeader {
			m.c.mu.Unlock()
			return errNoLeader
		}
		if !m.allowed(stream.Context()) {
			m.c.mu.Unlock()
			return status.Error(codes.Unauthenticated, "etcdserver: invalid auth token")
		}
		wake := m.c.wake
		out := m.news(&all)
		still := no <= m.still
		m.c.mu.Unlock()
		if err := send(stream, still, out); err != nil {
			return err
		}
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-wake:
		case r, ok := <-requests:
			if !ok {
				return nil
			}
			m.c.mu.Lock()
			out := []*etcdserverpb.WatchResponse{}
			switch {
			case r.GetCreateRequest() != nil:
				q := r.GetCreateRequest()
				w := &watched{
					id: ids, key: string(q.Key), end: string(q.RangeEnd), next: q.StartRevision, fragment: q.Fragment,
				}
				ids++
				if w.next == 0 {
					w.next = m.c.store.Revision() + 1
				}
				all = append(all, w)
				out = append(out, &etcdserverpb.WatchResponse{Header: m.header(), WatchId: w.id, Created: true})
			case r.GetProgressRequest() != nil: // everything up to it has been told
				out = append(m.news(&all), &etcdserverpb.WatchResponse{Header: m.header(), WatchId: -1})
			case r.GetCancelRequest() != nil:
				for i, w := range all {
					if w.id == r.GetCancelRequest().WatchId {
						all = append(all[:i], all[i+1:]...)
						break
					}
				}
				out = append(
					out,
					&etcdserverpb.WatchResponse{
						Header: m.header(), WatchId: r.GetCancelRequest().WatchId, Canceled: true,
					},
				)
			}
			still := no <= m.still
			m.c.mu.Unlock()
			if err := send(stream, still, out); err != nil {
				return err
			}
		}
	}
}

func send(stream etcdserverpb.Watch_WatchServer, still bool, all []*etcdserverpb.WatchResponse) error {
	for _, r := range all {
		if still {
			continue
		}
		if err := stream.Send(r); err != nil {
			return err
		}
	}
	return nil
}

// news is what the watches of a stream have not been told. The caller holds mu.
func (m *Member) news(all *[]*watched) (out []*etcdserverpb.WatchResponse) {
	kept := (*all)[:0]
	for _, w := range *all {
		events, err := m.c.store.Since(w.key, w.end, w.next, m.c.store.Revision())
		if err != nil {
			out = append(
				out,
				&etcdserverpb.WatchResponse{
					Header: m.header(), WatchId: w.id, Canceled: true, CompactRevision: m.c.store.Compacted(),
					CancelReason: err.Error(),
				},
			)
			continue
		}
		kept = append(kept, w)
		w.next = m.c.store.Revision() + 1
		r := &etcdserverpb.WatchResponse{Header: m.header(), WatchId: w.id}
		for i, v := range events {
			e := &mvccpb.Event{Type: mvccpb.PUT, Kv: kv(v)}
			if v.Gone {
				e = &mvccpb.Event{
					Type: mvccpb.DELETE, Kv: &mvccpb.KeyValue{Key: []byte(v.Key), ModRevision: v.Modified},
				}
			}
			if r.Events = append(r.Events, e); w.fragment && len(r.Events) >= fragmentMost && i < len(events)-1 {
				r.Fragment = true
				out = append(out, r)
				r = &etcdserverpb.WatchResponse{Header: m.header(), WatchId: w.id}
			}
		}
		if len(r.Events) > 0 {
			out = append(out, r)
		}
	}
	*all = kept
	return out
}

// fragmentMost is how many events go into one answer, where fragments are asked for.
const fragmentMost = 100
