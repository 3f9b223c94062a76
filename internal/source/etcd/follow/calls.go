package follow

import (
	"context"
	"errors"
	"sync"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"troutusher/internal/source/etcd"
)

// call is an open call to a member, which may be a watch.
type call struct {
	cancel context.CancelFunc
	mu     sync.Mutex
	stream etcdserverpb.Watch_WatchClient // nil until the watch is open
}

// startCall runs a call in a goroutine of its own. One call at a time is open, so it cancels
// the previous one first.
func (f *Follower) startCall(ctx context.Context, id etcd.CallID, run func(context.Context, *call)) {
	for other := range f.calls {
		f.cancelCall(other)
	}
	f.mu.Lock()
	token := f.token
	f.mu.Unlock()
	if token != "" {
		ctx = metadata.AppendToOutgoingContext(ctx, rpctypes.TokenFieldNameGRPC, token)
	}
	ctx, cancel := context.WithCancel(ctx)
	c := &call{cancel: cancel}
	f.calls[id] = c
	f.callsRunning.Add(1)
	go func() {
		defer f.callsRunning.Done()
		run(ctx, c)
	}()
}

func (f *Follower) cancelCall(id etcd.CallID) {
	if c := f.calls[id]; c != nil {
		c.cancel()
		delete(f.calls, id)
	}
}

func (f *Follower) callFailed(id etcd.CallID, err error) {
	f.enqueue(&etcd.CallFailed{Call: id, Reason: failureReason(err), Detail: status.Convert(err).Message()})
}

// failureReason converts a gRPC error to the machine's reason for the failure.
func failureReason(err error) etcd.FailureReason {
	s := status.Convert(err)
	if s.Message() == status.Convert(rpctypes.ErrGRPCCompacted).Message() {
		return etcd.ReasonCompacted
	}
	switch s.Code() {
	case codes.Unauthenticated:
		return etcd.ReasonUnauthenticated
	case codes.InvalidArgument, codes.PermissionDenied, codes.Unimplemented:
		return etcd.ReasonRejected
	}
	return etcd.ReasonUnavailable
}

func (f *Follower) authenticate(ctx context.Context, a *etcd.Authenticate) {
	auth := etcdserverpb.NewAuthClient(f.conns[a.Member])
	r, err := auth.Authenticate(ctx, &etcdserverpb.AuthenticateRequest{
		Name: f.options.User, Password: f.options.Password,
	})
	if err != nil {
		f.callFailed(a.Call, err)
		return
	}
	f.mu.Lock()
	f.events = append(f.events, &etcd.Authenticated{Call: a.Call})
	f.token = r.Token
	f.mu.Unlock()
	f.notify()
}

func (f *Follower) readPage(ctx context.Context, a *etcd.ReadPage) {
	kv := etcdserverpb.NewKVClient(f.conns[a.Member])
	r, err := kv.Range(ctx, &etcdserverpb.RangeRequest{
		Key: []byte(a.Key), RangeEnd: []byte(a.RangeEnd), Revision: a.Revision, Limit: a.Limit,
	}, grpc.WaitForReady(false))
	if err == nil && r.Header == nil {
		err = errors.New("range response has no header")
	}
	if err != nil {
		f.callFailed(a.Call, err)
		return
	}
	page := &etcd.PageRead{Call: a.Call, Cluster: r.Header.ClusterId, Revision: r.Header.Revision, More: r.More}
	for _, kv := range r.Kvs {
		page.KVs = append(page.KVs, etcd.KV{Key: string(kv.Key), Value: string(kv.Value)})
	}
	f.enqueue(page)
}

// watch opens a watch and passes its reports to the machine until it ends.
func (f *Follower) watch(ctx context.Context, c *call, a *etcd.OpenWatch) {
	ctx = metadata.AppendToOutgoingContext(ctx, rpctypes.MetadataRequireLeaderKey, rpctypes.MetadataHasLeader)
	stream, err := etcdserverpb.NewWatchClient(f.conns[a.Member]).Watch(ctx)
	if err == nil {
		err = stream.Send(watchRequest(a))
	}
	if err != nil {
		f.callFailed(a.Call, err)
		return
	}
	c.mu.Lock()
	c.stream = stream
	c.mu.Unlock()
	for {
		r, err := stream.Recv()
		if err != nil {
			f.callFailed(a.Call, err)
			return
		}
		f.enqueue(decodeWatchResponse(a.Call, r))
		if r.Canceled {
			return
		}
	}
}

func watchRequest(a *etcd.OpenWatch) *etcdserverpb.WatchRequest {
	return &etcdserverpb.WatchRequest{RequestUnion: &etcdserverpb.WatchRequest_CreateRequest{
		CreateRequest: &etcdserverpb.WatchCreateRequest{
			Key:            []byte(a.Key),
			RangeEnd:       []byte(a.RangeEnd),
			StartRevision:  a.FromRevision,
			ProgressNotify: true,
			Fragment:       true,
		},
	}}
}

// decodeWatchResponse converts a response on a watch to an event of the machine.
func decodeWatchResponse(id etcd.CallID, r *etcdserverpb.WatchResponse) etcd.Event {
	cluster, revision := r.Header.GetClusterId(), r.Header.GetRevision()
	switch {
	case r.Canceled && r.CompactRevision > 0:
		return &etcd.CallFailed{
			Call: id, Reason: etcd.ReasonCompacted, Revision: r.CompactRevision, Detail: r.CancelReason,
		}
	case r.Canceled:
		return &etcd.CallFailed{Call: id, Reason: etcd.ReasonUnavailable, Detail: "cancelled: " + r.CancelReason}
	case r.Created:
		return &etcd.WatchOpened{Call: id, Cluster: cluster, Revision: revision}
	case len(r.Events) == 0:
		return &etcd.Progress{Call: id, Cluster: cluster, Revision: revision}
	}
	changed := &etcd.Changed{Call: id, Cluster: cluster, Revision: revision, Fragment: r.Fragment}
	for _, e := range r.Events {
		changed.KVs = append(changed.KVs, etcd.KV{
			Key: string(e.Kv.Key), Value: string(e.Kv.Value), Deleted: e.Type == mvccpb.DELETE,
		})
		changed.LastRevision = max(changed.LastRevision, e.Kv.ModRevision)
	}
	return changed
}

// requestProgress requests a progress report on a watch. It does nothing if the watch is not
// open.
func (c *call) requestProgress() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stream == nil {
		return
	}
	// If this fails, the watch ends and its Recv reports the error.
	_ = c.stream.Send(&etcdserverpb.WatchRequest{RequestUnion: &etcdserverpb.WatchRequest_ProgressRequest{
		ProgressRequest: &etcdserverpb.WatchProgressRequest{},
	}})
}
