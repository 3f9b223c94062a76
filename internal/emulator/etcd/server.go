package etcd

import (
	"context"
	"errors"
	"time"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

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
