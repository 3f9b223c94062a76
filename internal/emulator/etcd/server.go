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
	cluster         *Cluster
	id              uint64
	address         string
	server          *grpc.Server
	silent          bool
	noLeader        bool
	silencedStreams int // streams opened so far that say nothing any more
	streamsOpened   int
}

// beginCall is what every call passes: the member's faults, its leader, the token. It
// returns with mu held, where it returns no error.
func (m *Member) beginCall(ctx context.Context) error {
	m.cluster.mu.Lock()
	switch {
	case m.silent:
		m.cluster.mu.Unlock()
		<-ctx.Done()
		return status.FromContextError(ctx.Err()).Err()
	case m.noLeader:
		m.cluster.mu.Unlock()
		return errNoLeader
	case !m.authorized(ctx):
		m.cluster.mu.Unlock()
		return status.Error(codes.Unauthenticated, "etcdserver: invalid auth token")
	}
	return nil
}

func (m *Member) authorized(ctx context.Context) bool {
	if m.cluster.username == "" {
		return true
	}
	md, _ := metadata.FromIncomingContext(ctx)
	t := md.Get("token")
	return len(t) == 1 && t[0] == m.cluster.token
}

func (m *Member) header() *etcdserverpb.ResponseHeader {
	return &etcdserverpb.ResponseHeader{
		ClusterId: m.cluster.id,
		MemberId:  m.id,
		Revision:  m.cluster.store.Revision(),
		RaftTerm:  1,
	}
}

func statusError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ErrCompacted), errors.Is(err, ErrFutureRevision):
		return status.Error(codes.OutOfRange, err.Error())
	case errors.Is(err, ErrLeaseNotFound):
		return status.Error(codes.NotFound, err.Error())
	}
	return status.Error(codes.FailedPrecondition, err.Error())
}

func keyValue(v Version) *mvccpb.KeyValue {
	return &mvccpb.KeyValue{
		Key: []byte(v.Key), Value: []byte(v.Value), CreateRevision: v.CreateRevision, ModRevision: v.ModRevision,
		Version: v.Version, Lease: v.Lease,
	}
}

// Authenticate gives a token.
func (m *Member) Authenticate(
	ctx context.Context, r *etcdserverpb.AuthenticateRequest,
) (*etcdserverpb.AuthenticateResponse, error) {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	switch {
	case m.silent:
		m.cluster.mu.Unlock()
		<-ctx.Done()
		m.cluster.mu.Lock()
		return nil, status.FromContextError(ctx.Err()).Err()
	case m.cluster.username == "":
		return nil, status.Error(codes.FailedPrecondition, "etcdserver: authentication is not enabled")
	case r.Name != m.cluster.username || r.Password != m.cluster.password:
		return nil, status.Error(codes.InvalidArgument, "etcdserver: authentication failed, invalid user ID or "+
			"password")
	}
	if m.cluster.token == "none yet" {
		m.cluster.tokensIssued++
		m.cluster.token = "token-" + time.Duration(m.cluster.tokensIssued).String()
	}
	return &etcdserverpb.AuthenticateResponse{Header: m.header(), Token: m.cluster.token}, nil
}

// Range reads.
func (m *Member) Range(ctx context.Context, r *etcdserverpb.RangeRequest) (*etcdserverpb.RangeResponse, error) {
	if err := m.beginCall(ctx); err != nil {
		return nil, err
	}
	defer m.cluster.mu.Unlock()
	return m.readRange(r)
}

func (m *Member) readRange(r *etcdserverpb.RangeRequest) (*etcdserverpb.RangeResponse, error) {
	all, count, err := m.cluster.store.Range(string(r.Key), string(r.RangeEnd), r.Revision, r.Limit)
	if err != nil {
		return nil, statusError(err)
	}
	out := &etcdserverpb.RangeResponse{Header: m.header(), Count: count, More: count > int64(len(all))}
	for _, v := range all {
		out.Kvs = append(out.Kvs, keyValue(v))
	}
	return out, nil
}

// Put writes one key.
func (m *Member) Put(ctx context.Context, r *etcdserverpb.PutRequest) (*etcdserverpb.PutResponse, error) {
	if err := m.beginCall(ctx); err != nil {
		return nil, err
	}
	defer m.cluster.mu.Unlock()
	if _, err := m.cluster.store.Apply(Op{Key: string(r.Key), Value: string(r.Value), Lease: r.Lease}); err != nil {
		return nil, statusError(err)
	}
	m.cluster.notifyChange()
	return &etcdserverpb.PutResponse{Header: m.header()}, nil
}

// DeleteRange deletes.
func (m *Member) DeleteRange(
	ctx context.Context, r *etcdserverpb.DeleteRangeRequest,
) (*etcdserverpb.DeleteRangeResponse, error) {
	if err := m.beginCall(ctx); err != nil {
		return nil, err
	}
	defer m.cluster.mu.Unlock()
	n, err := m.cluster.store.Apply(Op{Key: string(r.Key), End: string(r.RangeEnd), Delete: true})
	if err != nil {
		return nil, statusError(err)
	}
	m.cluster.notifyChange()
	return &etcdserverpb.DeleteRangeResponse{Header: m.header(), Deleted: n}, nil
}

// Txn compares, and then does one thing or the other, at one revision.
func (m *Member) Txn(ctx context.Context, r *etcdserverpb.TxnRequest) (*etcdserverpb.TxnResponse, error) {
	if err := m.beginCall(ctx); err != nil {
		return nil, err
	}
	defer m.cluster.mu.Unlock()
	holds := true
	for _, x := range r.Compare {
		holds = holds && m.evaluateCompare(x)
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
			x, err := m.readRange(op.GetRequestRange())
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
		if _, err := m.cluster.store.Apply(changes...); err != nil {
			return nil, statusError(err)
		}
		m.cluster.notifyChange()
	}
	out.Header = m.header()
	return out, nil
}

func (m *Member) evaluateCompare(x *etcdserverpb.Compare) bool {
	v, _ := m.cluster.store.getAt(string(x.Key), m.cluster.store.Revision())
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
		n = order(v.CreateRevision, x.GetCreateRevision())
	case etcdserverpb.Compare_MOD:
		n = order(v.ModRevision, x.GetModRevision())
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
	if err := m.beginCall(ctx); err != nil {
		return nil, err
	}
	defer m.cluster.mu.Unlock()
	if err := m.cluster.store.Compact(r.Revision); err != nil {
		return nil, statusError(err)
	}
	return &etcdserverpb.CompactionResponse{Header: m.header()}, nil
}

// LeaseGrant grants a lease.
func (m *Member) LeaseGrant(
	ctx context.Context, r *etcdserverpb.LeaseGrantRequest,
) (*etcdserverpb.LeaseGrantResponse, error) {
	if err := m.beginCall(ctx); err != nil {
		return nil, err
	}
	defer m.cluster.mu.Unlock()
	l, err := m.cluster.store.GrantLease(r.ID, r.TTL, time.Now().UnixMicro())
	if err != nil {
		return nil, statusError(err)
	}
	return &etcdserverpb.LeaseGrantResponse{Header: m.header(), ID: l.ID, TTL: l.TTL}, nil
}

// LeaseRevoke ends one.
func (m *Member) LeaseRevoke(
	ctx context.Context, r *etcdserverpb.LeaseRevokeRequest,
) (*etcdserverpb.LeaseRevokeResponse, error) {
	if err := m.beginCall(ctx); err != nil {
		return nil, err
	}
	defer m.cluster.mu.Unlock()
	if err := m.cluster.store.RevokeLease(r.ID); err != nil {
		return nil, statusError(err)
	}
	m.cluster.notifyChange()
	return &etcdserverpb.LeaseRevokeResponse{Header: m.header()}, nil
}
