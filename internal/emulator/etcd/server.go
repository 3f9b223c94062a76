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

// Member is a member of a cluster. It implements the gRPC services for keys, watches, leases and
// authentication.
type Member struct {
	etcdserverpb.UnimplementedKVServer
	etcdserverpb.UnimplementedWatchServer
	etcdserverpb.UnimplementedLeaseServer
	etcdserverpb.UnimplementedAuthServer
	cluster *Cluster
	id      uint64
	port    int // 0 before the first start
	server  *grpc.Server

	// The cluster's mu guards the fields below.
	silent          bool
	noLeader        bool
	silencedStreams int // watch streams with a number up to this one send nothing more
	streamsOpened   int // number of watch streams opened so far
}

// beginCall is called first by every call. It applies the member's faults and checks the
// token. If it returns no error, the caller holds mu and has to unlock it.
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

// authorized reports whether a call carries the valid token or needs none. The caller holds
// mu.
func (m *Member) authorized(ctx context.Context) bool {
	if m.cluster.username == "" {
		return true
	}
	md, _ := metadata.FromIncomingContext(ctx)
	tokens := md.Get("token")
	return len(tokens) == 1 && tokens[0] == m.cluster.token
}

// header returns the header of a response. The caller holds mu.
func (m *Member) header() *etcdserverpb.ResponseHeader {
	return &etcdserverpb.ResponseHeader{
		ClusterId: m.cluster.id,
		MemberId:  m.id,
		Revision:  m.cluster.store.Revision(),
		RaftTerm:  1,
	}
}

// statusError converts an error of the store to a gRPC status.
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

func keyValue(version Version) *mvccpb.KeyValue {
	return &mvccpb.KeyValue{
		Key:            []byte(version.Key),
		Value:          []byte(version.Value),
		CreateRevision: version.CreateRevision,
		ModRevision:    version.ModRevision,
		Version:        version.Version,
		Lease:          version.Lease,
	}
}

// Authenticate serves the call that requests a token.
func (m *Member) Authenticate(
	ctx context.Context, request *etcdserverpb.AuthenticateRequest,
) (*etcdserverpb.AuthenticateResponse, error) {
	c := m.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case m.silent:
		c.mu.Unlock()
		<-ctx.Done()
		c.mu.Lock()
		return nil, status.FromContextError(ctx.Err()).Err()
	case c.username == "":
		return nil, status.Error(codes.FailedPrecondition, "etcdserver: authentication is not enabled")
	case request.Name != c.username || request.Password != c.password:
		return nil, status.Error(codes.InvalidArgument,
			"etcdserver: authentication failed, invalid user ID or password")
	}
	if c.token == noToken {
		c.tokensIssued++
		c.token = "token-" + time.Duration(c.tokensIssued).String()
	}
	return &etcdserverpb.AuthenticateResponse{Header: m.header(), Token: c.token}, nil
}

// LeaseGrant serves the call that grants a lease.
func (m *Member) LeaseGrant(
	ctx context.Context, request *etcdserverpb.LeaseGrantRequest,
) (*etcdserverpb.LeaseGrantResponse, error) {
	if err := m.beginCall(ctx); err != nil {
		return nil, err
	}
	defer m.cluster.mu.Unlock()
	lease, err := m.cluster.store.GrantLease(request.ID, request.TTL, time.Now().UnixMicro())
	if err != nil {
		return nil, statusError(err)
	}
	return &etcdserverpb.LeaseGrantResponse{Header: m.header(), ID: lease.ID, TTL: lease.TTL}, nil
}

// LeaseRevoke serves the call that revokes a lease.
func (m *Member) LeaseRevoke(
	ctx context.Context, request *etcdserverpb.LeaseRevokeRequest,
) (*etcdserverpb.LeaseRevokeResponse, error) {
	if err := m.beginCall(ctx); err != nil {
		return nil, err
	}
	defer m.cluster.mu.Unlock()
	if err := m.cluster.store.RevokeLease(request.ID); err != nil {
		return nil, statusError(err)
	}
	m.cluster.notifyChange()
	return &etcdserverpb.LeaseRevokeResponse{Header: m.header()}, nil
}
