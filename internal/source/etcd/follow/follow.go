// Package follow carries out over gRPC what package etcd decides: calls, watches and
// timers. It must decide nothing, and is linked into the helper program alone.
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

// Options are what a follower needs.
type Options struct {
	Settings    etcd.Settings // Members and AuthRequired are taken from what follows
	Endpoints   []string      // host:port
	User        string        // with Password, where the cluster asks for them
	Password    string
	TLS         *tls.Config // nil for none
	Seed        uint64
	Log         *slog.Logger
	OnUpdate    func(*membership.Update) // called in order
	OnHeartbeat func()                   // called where etcd has nothing new
}

// Follower follows a prefix.
type Follower struct {
	options Options
	machine *etcd.Machine
	conns   []*grpc.ClientConn // by member
	started time.Time
	calls   map[etcd.CallID]*call // of Run's goroutine
	running sync.WaitGroup        // calls, also those that are cancelled
	wake    chan struct{}         // holds a value while there is something below

	mu     sync.Mutex
	events []etcd.Event
	resync bool
	token  string
}

// New makes a follower; Run has it begin.
func New(o Options) (*Follower, error) {
	o.Settings.Members, o.Settings.AuthRequired = len(o.Endpoints), o.User != ""
	machine, err := etcd.New(o.Settings, o.Seed)
	if err != nil {
		return nil, err
	}
	f := &Follower{
		options: o,
		machine: machine,
		started: time.Now(),
		calls:   map[etcd.CallID]*call{},
		wake:    make(chan struct{}, 1),
	}
	for _, endpoint := range o.Endpoints {
		// A connection leads to one member: which is called, and when again, the machine
		// decides.
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
		_ = conn.Close() // fails only where it is closed already
	}
}

// now is the machine's clock, which begins with the follower.
func (f *Follower) now() etcd.Time { return 1 + time.Since(f.started).Microseconds() }

// Resync has the complete list read again.
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

// enqueue hands an event to Run's goroutine.
func (f *Follower) enqueue(e etcd.Event) {
	f.mu.Lock()
	f.events = append(f.events, e)
	f.mu.Unlock()
	f.wakeUp()
}

// Run follows until ctx ends, and returns once all its calls have ended.
func (f *Follower) Run(ctx context.Context) error {
	defer f.running.Wait()
	defer f.close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		f.mu.Lock()
		events, resync := f.events, f.resync
		f.events, f.resync = nil, false
		f.mu.Unlock()
		f.execute(ctx, f.machine.Step(f.now(), events))
		if resync {
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

// execute carries out what the machine has decided.
func (f *Follower) execute(ctx context.Context, actions []etcd.Action) {
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
