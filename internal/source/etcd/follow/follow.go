// Package follow carries out over gRPC what package etcd decides: calls, watches and
// timers. It must decide nothing, and is linked into the helper program alone.
package follow

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"troutusher/internal/membership"
	"troutusher/internal/source/etcd"
)

const (
	maxResponseBytes = 64 << 20               // bytes of one answer
	maxRedialBackoff = 250 * time.Millisecond // a member that is back is to be asked within a drain's grace
	connectTimeout   = time.Second
)

// Options are what a follower needs.
type Options struct {
	Settings    etcd.Settings // Members and Auth are taken from what follows
	Endpoints   []string      // host:port
	User        string        // with Password, where the cluster asks for them
	Password    string
	TLS         *tls.Config // nil for none
	Seed        uint64
	Log         *slog.Logger
	OnUpdate    func(*membership.Update) // called in order
	OnHeartbeat func()                   // the source has nothing new to say
}

// Follower follows a prefix.
type Follower struct {
	options Options
	machine *etcd.Machine
	conns   []*grpc.ClientConn
	began   time.Time
	calls   map[uint64]*call // the loop's
	wake    chan struct{}

	mu     sync.Mutex
	events []etcd.Event
	resync bool
	token  string
}

// call is one that is out.
type call struct {
	cancel context.CancelFunc
	mu     sync.Mutex
	stream etcdserverpb.Watch_WatchClient
}

// New makes a follower; Run has it begin.
func New(o Options) (*Follower, error) {
	o.Settings.Members, o.Settings.AuthRequired = len(o.Endpoints), o.User != ""
	m, err := etcd.New(o.Settings, o.Seed)
	if err != nil {
		return nil, err
	}
	creds := insecure.NewCredentials()
	if o.TLS != nil {
		creds = credentials.NewTLS(o.TLS)
	}
	f := &Follower{options: o, machine: m, began: time.Now(), calls: map[uint64]*call{}, wake: make(chan struct{}, 1)}
	for _, at := range o.Endpoints {
		// A member is one address: which is asked, and when again, the machine says.
		c, err := grpc.NewClient("passthrough:///"+at, grpc.WithTransportCredentials(creds),
			grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 2, Jitter: 0.2, MaxDelay: maxRedialBackoff}, MinConnectTimeout: connectTimeout}),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxResponseBytes)), grpc.WithDisableServiceConfig())
		if err != nil {
			f.close()
			return nil, fmt.Errorf("etcd: endpoint %q: %w", at, err)
		}
		f.conns = append(f.conns, c)
	}
	return f, nil
}

func (f *Follower) close() {
	for _, c := range f.conns {
		c.Close()
	}
}

func (f *Follower) now() etcd.Time { return 1 + time.Since(f.began).Microseconds() }

// Resync has the whole list read once more.
func (f *Follower) Resync() {
	f.mu.Lock()
	f.resync = true
	f.mu.Unlock()
	f.wakeUp()
}

func (f *Follower) wakeUp() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

func (f *Follower) enqueue(e etcd.Event) {
	f.mu.Lock()
	f.events = append(f.events, e)
	f.mu.Unlock()
	f.wakeUp()
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	defer f.close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		f.mu.Lock()
		events, anew := f.events, f.resync
		f.events, f.resync = nil, false
		f.mu.Unlock()
		f.execute(ctx, f.machine.Step(f.now(), events))
		if anew {
			f.execute(ctx, f.machine.Resync(f.now()))
		}
		timer.Reset(time.Duration(max(f.machine.NextDeadline()-f.now(), 0)) * time.Microsecond)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.wake:
		case <-timer.C:
		}
	}
}

func (f *Follower) execute(ctx context.Context, all []etcd.Action) {
	for i := range all {
		d := &all[i]
		switch d.Kind {
		case etcd.ActionAuthenticate:
			f.startCall(ctx, d, f.authenticate)
		case etcd.ActionReadPage:
			f.startCall(ctx, d, f.readPage)
		case etcd.ActionOpenWatch:
			f.startCall(ctx, d, f.watch)
		case etcd.ActionRequestProgress:
			if c := f.calls[d.Call]; c != nil {
				c.requestProgress()
			}
		case etcd.ActionCancelCall:
			f.cancelCall(d.Call)
		case etcd.ActionUpdate:
			f.options.OnUpdate(d.Update)
		case etcd.ActionHeartbeat:
			f.options.OnHeartbeat()
		case etcd.ActionLog:
			f.options.Log.Info("etcd: " + d.Text)
		}
	}
}

// startCall makes a call; there is one at a time, and what is left of the one before is
// over.
func (f *Follower) startCall(ctx context.Context, d *etcd.Action, make func(context.Context, *call, *etcd.Action)) {
	for no := range f.calls {
		f.cancelCall(no)
	}
	f.mu.Lock()
	token := f.token
	f.mu.Unlock()
	if token != "" {
		ctx = metadata.AppendToOutgoingContext(ctx, rpctypes.TokenFieldNameGRPC, token)
	}
	ctx, cancel := context.WithCancel(ctx)
	c := &call{cancel: cancel}
	f.calls[d.Call] = c
	go make(ctx, c, d)
}

func (f *Follower) cancelCall(no uint64) {
	if c := f.calls[no]; c != nil {
		c.cancel()
		delete(f.calls, no)
	}
}

func (f *Follower) callFailed(no uint64, err error) {
	f.enqueue(etcd.Event{Kind: etcd.EventFailed, Call: no, Reason: failureReason(err), Detail: status.Convert(err).Message()})
}

// failureReason reads an error in the machine's words.
func failureReason(err error) etcd.FailureReason {
	s := status.Convert(err)
	switch {
	case s.Message() == status.Convert(rpctypes.ErrGRPCCompacted).Message():
		return etcd.ReasonCompacted
	case s.Code() == codes.Unauthenticated:
		return etcd.ReasonUnauthenticated
	case s.Code() == codes.InvalidArgument, s.Code() == codes.PermissionDenied, s.Code() == codes.Unimplemented:
		return etcd.ReasonRejected
	}
	return etcd.ReasonUnavailable
}

func (f *Follower) authenticate(ctx context.Context, _ *call, d *etcd.Action) {
	no, member := d.Call, d.Member
	r, err := etcdserverpb.NewAuthClient(f.conns[member]).Authenticate(ctx, &etcdserverpb.AuthenticateRequest{Name: f.options.User, Password: f.options.Password})
	if err != nil {
		f.callFailed(no, err)
		return
	}
	f.mu.Lock()
	f.events = append(f.events, etcd.Event{Kind: etcd.EventAuthenticated, Call: no})
	f.token = r.Token
	f.mu.Unlock()
	f.wakeUp()
}

func (f *Follower) readPage(ctx context.Context, _ *call, d *etcd.Action) {
	no := d.Call
	r, err := etcdserverpb.NewKVClient(f.conns[d.Member]).Range(ctx, &etcdserverpb.RangeRequest{Key: []byte(d.Key), RangeEnd: []byte(d.RangeEnd),
		Revision: d.Revision, Limit: d.Limit}, grpc.WaitForReady(false))
	if err == nil && r.Header == nil {
		err = errors.New("an answer without a header")
	}
	if err != nil {
		f.callFailed(no, err)
		return
	}
	e := etcd.Event{Kind: etcd.EventPageRead, Call: no, Cluster: r.Header.ClusterId, Revision: r.Header.Revision, More: r.More}
	for _, kv := range r.Kvs {
		e.KVs = append(e.KVs, etcd.KV{Key: string(kv.Key), Value: string(kv.Value)})
	}
	f.enqueue(e)
}

func (f *Follower) watch(ctx context.Context, c *call, d *etcd.Action) {
	no := d.Call
	ctx = metadata.AppendToOutgoingContext(ctx, rpctypes.MetadataRequireLeaderKey, rpctypes.MetadataHasLeader)
	stream, err := etcdserverpb.NewWatchClient(f.conns[d.Member]).Watch(ctx)
	if err == nil {
		err = stream.Send(&etcdserverpb.WatchRequest{RequestUnion: &etcdserverpb.WatchRequest_CreateRequest{CreateRequest: &etcdserverpb.WatchCreateRequest{
			Key: []byte(d.Key), RangeEnd: []byte(d.RangeEnd), StartRevision: d.Revision, ProgressNotify: true, Fragment: true}}})
	}
	if err != nil {
		f.callFailed(no, err)
		return
	}
	c.mu.Lock()
	c.stream = stream
	c.mu.Unlock()
	for {
		r, err := stream.Recv()
		if err != nil {
			f.callFailed(no, err)
			return
		}
		e, over := decodeWatchResponse(r)
		e.Call = no
		if f.enqueue(e); over {
			return
		}
	}
}

// decodeWatchResponse reads what a watch says.
func decodeWatchResponse(r *etcdserverpb.WatchResponse) (e etcd.Event, over bool) {
	if h := r.Header; h != nil {
		e.Cluster, e.Revision = h.ClusterId, h.Revision
	}
	switch {
	case r.Canceled && r.CompactRevision > 0:
		e.Kind, e.Reason, e.Revision, e.Detail = etcd.EventFailed, etcd.ReasonCompacted, r.CompactRevision, r.CancelReason
		return e, true
	case r.Canceled:
		e.Kind, e.Reason, e.Detail = etcd.EventFailed, etcd.ReasonUnavailable, "cancelled: "+r.CancelReason
		return e, true
	case r.Created:
		e.Kind = etcd.EventWatchOpened
	case len(r.Events) == 0:
		e.Kind = etcd.EventProgress
	default:
		e.Kind, e.Fragment = etcd.EventChanged, r.Fragment
		for _, x := range r.Events {
			e.KVs = append(e.KVs, etcd.KV{Key: string(x.Kv.Key), Value: string(x.Kv.Value), Deleted: x.Type == mvccpb.DELETE})
			e.LastRevision = max(e.LastRevision, x.Kv.ModRevision)
		}
	}
	return e, false
}

// requestProgress asks a watch how far it has come.
func (c *call) requestProgress() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stream != nil {
		c.stream.Send(&etcdserverpb.WatchRequest{RequestUnion: &etcdserverpb.WatchRequest_ProgressRequest{ProgressRequest: &etcdserverpb.WatchProgressRequest{}}})
	}
}
