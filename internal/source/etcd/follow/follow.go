// Package follow drives the state machine of package etcd: it makes the calls and watches
// that the machine requests, over gRPC, and runs its timers. It makes no decisions of its
// own. Only the program troutusher-kit links it, so that the relay does not contain gRPC.
package follow

import (
	"context"
	"crypto/tls"
	"log/slog"
	"sync"
	"time"

	"google.golang.org/grpc"

	"troutusher/internal/membership"
	"troutusher/internal/source/etcd"
)

// Options are the options of a Follower.
type Options struct {
	Settings    etcd.Settings // New sets Members and AuthRequired from Endpoints and User
	Endpoints   []string      // host:port of each member
	User        string        // empty if the cluster does not require authentication
	Password    string
	TLS         *tls.Config // nil for plain TCP
	Seed        uint64
	Log         *slog.Logger
	OnUpdate    func(*membership.Update) // called for each update, in order
	OnHeartbeat func()                   // called when etcd answers and has no changes
}

// Follower follows a prefix of an etcd cluster.
type Follower struct {
	options      Options
	machine      *etcd.Machine
	conns        []*grpc.ClientConn // by member
	started      time.Time
	calls        map[etcd.CallID]*call // open calls; used only by Run's goroutine
	callsRunning sync.WaitGroup        // goroutines of calls, including cancelled calls
	notified     chan struct{}         // holds a value while events or resync await Run

	mu     sync.Mutex
	events []etcd.Event
	resync bool
	token  string
}

// New returns a follower. It makes no call before Run.
func New(o Options) (*Follower, error) {
	o.Settings.Members, o.Settings.AuthRequired = len(o.Endpoints), o.User != ""
	machine, err := etcd.New(o.Settings, o.Seed)
	if err != nil {
		return nil, err
	}
	f := &Follower{
		options:  o,
		machine:  machine,
		started:  time.Now(),
		calls:    map[etcd.CallID]*call{},
		notified: make(chan struct{}, 1),
	}
	for _, endpoint := range o.Endpoints {
		// Each connection leads to one member, because the machine chooses which member to
		// call and when to retry.
		conn, err := newConn(endpoint, o.TLS, redialOptions()...)
		if err != nil {
			f.close()
			return nil, err
		}
		f.conns = append(f.conns, conn)
	}
	return f, nil
}

func (f *Follower) close() {
	for _, conn := range f.conns {
		_ = conn.Close() // fails only if it is already closed
	}
}

// now returns the time of the machine's clock, which starts at 1 with the follower.
func (f *Follower) now() etcd.Time { return 1 + time.Since(f.started).Microseconds() }

// Resync requests a new read of the complete list.
func (f *Follower) Resync() {
	f.mu.Lock()
	f.resync = true
	f.mu.Unlock()
	f.notify()
}

func (f *Follower) notify() {
	select {
	case f.notified <- struct{}{}:
	default:
	}
}

// enqueue passes an event to Run's goroutine.
func (f *Follower) enqueue(e etcd.Event) {
	f.mu.Lock()
	f.events = append(f.events, e)
	f.mu.Unlock()
	f.notify()
}

// Run follows the prefix until ctx ends. It returns after all its calls have ended.
func (f *Follower) Run(ctx context.Context) error {
	defer f.callsRunning.Wait()
	defer f.close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		f.mu.Lock()
		events, resync := f.events, f.resync
		f.events, f.resync = nil, false
		f.mu.Unlock()
		f.executeActions(ctx, f.machine.Step(f.now(), events))
		if resync {
			f.executeActions(ctx, f.machine.Resync(f.now()))
		}
		timer.Reset(time.Duration(max(f.machine.NextDeadline()-f.now(), 0)) * time.Microsecond)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.notified:
		case <-timer.C:
		}
	}
}

// executeActions executes the actions of the machine.
func (f *Follower) executeActions(ctx context.Context, actions []etcd.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case *etcd.Authenticate:
			f.startCall(ctx, a.Call, func(ctx context.Context, _ *call) { f.authenticate(ctx, a) })
		case *etcd.ReadPage:
			f.startCall(ctx, a.Call, func(ctx context.Context, _ *call) { f.readPage(ctx, a) })
		case *etcd.OpenWatch:
			f.startCall(ctx, a.Call, func(ctx context.Context, c *call) { f.watch(ctx, c, a) })
		case *etcd.RequestProgress:
			if c := f.calls[a.Call]; c != nil {
				c.requestProgress()
			}
		case *etcd.CancelCall:
			f.cancelCall(a.Call)
		case *etcd.EmitUpdate:
			f.options.OnUpdate(a.Update)
		case *etcd.EmitHeartbeat:
			f.options.OnHeartbeat()
		case *etcd.LogMessage:
			f.options.Log.Info("etcd: " + a.Text)
		}
	}
}
