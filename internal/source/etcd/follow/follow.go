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
	answerMost = 64 << 20               // bytes of one answer
	redialMost = 250 * time.Millisecond // a member that is back is to be asked within a drain's grace
	dialMost   = time.Second
)

// Options are what a follower needs.
type Options struct {
	Settings  etcd.Settings // Members and Auth are taken from what follows
	Endpoints []string      // host:port
	User      string        // with Password, where the cluster asks for them
	Password  string
	TLS       *tls.Config // nil for none
	Seed      uint64
	Log       *slog.Logger
	Say       func(*membership.Word) // called in order
	Alive     func()                 // the source has nothing new to say
}

// Follower follows a prefix.
type Follower struct {
	o     Options
	m     *etcd.Machine
	conns []*grpc.ClientConn
	began time.Time
	calls map[uint64]*call // the loop's
	wake  chan struct{}

	mu     sync.Mutex
	events []etcd.Event
	anew   bool
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
	o.Settings.Members, o.Settings.Auth = len(o.Endpoints), o.User != ""
	m, err := etcd.New(o.Settings, o.Seed)
	if err != nil {
		return nil, err
	}
	creds := insecure.NewCredentials()
	if o.TLS != nil {
		creds = credentials.NewTLS(o.TLS)
	}
	f := &Follower{o: o, m: m, began: time.Now(), calls: map[uint64]*call{}, wake: make(chan struct{}, 1)}
	for _, at := range o.Endpoints {
		// A member is one address: which is asked, and when again, the machine says.
		c, err := grpc.NewClient("passthrough:///"+at, grpc.WithTransportCredentials(creds),
			grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 2, Jitter: 0.2, MaxDelay: redialMost}, MinConnectTimeout: dialMost}),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(answerMost)), grpc.WithDisableServiceConfig())
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

// ReadAnew has the whole list read once more.
func (f *Follower) ReadAnew() {
	f.mu.Lock()
	f.anew = true
	f.mu.Unlock()
	f.ring()
}

func (f *Follower) ring() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

func (f *Follower) tell(e etcd.Event) {
	f.mu.Lock()
	f.events = append(f.events, e)
	f.mu.Unlock()
	f.ring()
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	defer f.close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		f.mu.Lock()
		events, anew := f.events, f.anew
		f.events, f.anew = nil, false
		f.mu.Unlock()
		f.carry(ctx, f.m.Step(f.now(), events))
		if anew {
			f.carry(ctx, f.m.ReadAnew(f.now()))
		}
		timer.Reset(time.Duration(max(f.m.Next()-f.now(), 0)) * time.Microsecond)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.wake:
		case <-timer.C:
		}
	}
}

func (f *Follower) carry(ctx context.Context, all []etcd.Do) {
	for i := range all {
		d := &all[i]
		switch d.Kind {
		case etcd.DoAuth:
			f.begin(ctx, d, f.auth)
		case etcd.DoRange:
			f.begin(ctx, d, f.ranged)
		case etcd.DoWatch:
			f.begin(ctx, d, f.watch)
		case etcd.DoProgress:
			if c := f.calls[d.Call]; c != nil {
				c.progress()
			}
		case etcd.DoClose:
			f.end(d.Call)
		case etcd.DoSay:
			f.o.Say(d.Word)
		case etcd.DoAlive:
			f.o.Alive()
		case etcd.DoLog:
			f.o.Log.Info("etcd: " + d.Text)
		}
	}
}

// begin makes a call; there is one at a time, and what is left of the one before is
// over.
func (f *Follower) begin(ctx context.Context, d *etcd.Do, make func(context.Context, *call, *etcd.Do)) {
	for no := range f.calls {
		f.end(no)
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

func (f *Follower) end(no uint64) {
	if c := f.calls[no]; c != nil {
		c.cancel()
		delete(f.calls, no)
	}
}

func (f *Follower) failed(no uint64, err error) {
	f.tell(etcd.Event{Kind: etcd.Failed, Call: no, Why: why(err), Text: status.Convert(err).Message()})
}

// why reads an error in the machine's words.
func why(err error) etcd.Why {
	s := status.Convert(err)
	switch {
	case s.Message() == status.Convert(rpctypes.ErrGRPCCompacted).Message():
		return etcd.Compacted
	case s.Code() == codes.Unauthenticated:
		return etcd.Denied
	case s.Code() == codes.InvalidArgument, s.Code() == codes.PermissionDenied, s.Code() == codes.Unimplemented:
		return etcd.Refused
	}
	return etcd.Unavailable
}

func (f *Follower) auth(ctx context.Context, _ *call, d *etcd.Do) {
	no, member := d.Call, d.Member
	r, err := etcdserverpb.NewAuthClient(f.conns[member]).Authenticate(ctx, &etcdserverpb.AuthenticateRequest{Name: f.o.User, Password: f.o.Password})
	if err != nil {
		f.failed(no, err)
		return
	}
	f.mu.Lock()
	f.events = append(f.events, etcd.Event{Kind: etcd.Authed, Call: no})
	f.token = r.Token
	f.mu.Unlock()
	f.ring()
}

func (f *Follower) ranged(ctx context.Context, _ *call, d *etcd.Do) {
	no := d.Call
	r, err := etcdserverpb.NewKVClient(f.conns[d.Member]).Range(ctx, &etcdserverpb.RangeRequest{Key: []byte(d.Key), RangeEnd: []byte(d.End),
		Revision: d.Revision, Limit: d.Limit}, grpc.WaitForReady(false))
	if err == nil && r.Header == nil {
		err = errors.New("an answer without a header")
	}
	if err != nil {
		f.failed(no, err)
		return
	}
	e := etcd.Event{Kind: etcd.Ranged, Call: no, Cluster: r.Header.ClusterId, Revision: r.Header.Revision, More: r.More}
	for _, kv := range r.Kvs {
		e.KVs = append(e.KVs, etcd.KV{Key: string(kv.Key), Value: string(kv.Value)})
	}
	f.tell(e)
}

func (f *Follower) watch(ctx context.Context, c *call, d *etcd.Do) {
	no := d.Call
	ctx = metadata.AppendToOutgoingContext(ctx, rpctypes.MetadataRequireLeaderKey, rpctypes.MetadataHasLeader)
	stream, err := etcdserverpb.NewWatchClient(f.conns[d.Member]).Watch(ctx)
	if err == nil {
		err = stream.Send(&etcdserverpb.WatchRequest{RequestUnion: &etcdserverpb.WatchRequest_CreateRequest{CreateRequest: &etcdserverpb.WatchCreateRequest{
			Key: []byte(d.Key), RangeEnd: []byte(d.End), StartRevision: d.Revision, ProgressNotify: true, Fragment: true}}})
	}
	if err != nil {
		f.failed(no, err)
		return
	}
	c.mu.Lock()
	c.stream = stream
	c.mu.Unlock()
	for {
		r, err := stream.Recv()
		if err != nil {
			f.failed(no, err)
			return
		}
		e, over := event(r)
		e.Call = no
		if f.tell(e); over {
			return
		}
	}
}

// event reads what a watch says.
func event(r *etcdserverpb.WatchResponse) (e etcd.Event, over bool) {
	if h := r.Header; h != nil {
		e.Cluster, e.Revision = h.ClusterId, h.Revision
	}
	switch {
	case r.Canceled && r.CompactRevision > 0:
		e.Kind, e.Why, e.Revision, e.Text = etcd.Failed, etcd.Compacted, r.CompactRevision, r.CancelReason
		return e, true
	case r.Canceled:
		e.Kind, e.Why, e.Text = etcd.Failed, etcd.Unavailable, "cancelled: "+r.CancelReason
		return e, true
	case r.Created:
		e.Kind = etcd.Watching
	case len(r.Events) == 0:
		e.Kind = etcd.Progress
	default:
		e.Kind, e.Fragment = etcd.Changed, r.Fragment
		for _, x := range r.Events {
			e.KVs = append(e.KVs, etcd.KV{Key: string(x.Kv.Key), Value: string(x.Kv.Value), Gone: x.Type == mvccpb.DELETE})
			e.Last = max(e.Last, x.Kv.ModRevision)
		}
	}
	return e, false
}

// progress asks a watch how far it has come.
func (c *call) progress() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stream != nil {
		c.stream.Send(&etcdserverpb.WatchRequest{RequestUnion: &etcdserverpb.WatchRequest_ProgressRequest{ProgressRequest: &etcdserverpb.WatchProgressRequest{}}})
	}
}
