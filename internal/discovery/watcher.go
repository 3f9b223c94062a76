package discovery

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"troutusher/internal/core"
	"troutusher/internal/source/registry"
)

// DefaultMaxListBytes bounds a list unless an operator sets another bound.
const DefaultMaxListBytes = 4 << 20

const (
	watcherConns    = 4
	longListBytes   = 8 << 20         // lists that are longer leave much to be collected
	freeMemoryDelay = 5 * time.Second // by then a list of a million endpoints has been applied
)

// WatcherOptions are what a Watcher needs.
type WatcherOptions struct {
	Address   string // of the agent, host:port
	Scheduler *registry.Scheduler
	Log       *slog.Logger
	// OnList is called in order for each list, or change of it, that is believed. The
	// epoch names the series that its revisions belong to; it is unique to this process.
	OnList         func(epoch string, list *core.EndpointList)
	OnHeartbeat    func()        // called where a watch says that nothing has changed; may be nil
	MaxListBytes   int           // 0 for DefaultMaxListBytes
	SilenceTimeout time.Duration // after which a watch is dead; 0 for registry.SilenceTimeout
}

// Watcher keeps a watch on the agent's endpoint list.
type Watcher struct {
	options           WatcherOptions
	address           agentAddress
	client            *http.Client
	createdAt         int64 // ns since 1970
	firstResponse     chan struct{}
	firstResponseOnce sync.Once

	// Of Run's goroutine.
	baseURL    string
	watchCount int // addresses watched so far, or again
}

// NewWatcher makes a Watcher; Run has it begin.
func NewWatcher(o WatcherOptions) *Watcher {
	o.MaxListBytes = cmp.Or(o.MaxListBytes, DefaultMaxListBytes)
	o.SilenceTimeout = cmp.Or(o.SilenceTimeout, registry.SilenceTimeout)
	client := newAgentClient(watcherConns)
	client.Transport.(*http.Transport).ResponseHeaderTimeout = 0 // each call has its own
	return &Watcher{
		options:       o,
		address:       newAgentAddress(o.Address),
		client:        client,
		createdAt:     time.Now().UnixNano(),
		firstResponse: make(chan struct{}),
	}
}

// FirstResponse is closed once the first call has ended, in whatever way. What it said of
// the list was handed on before.
func (w *Watcher) FirstResponse() <-chan struct{} { return w.firstResponse }

// SetAddress moves the watch to another address, where the complete list is fetched.
func (w *Watcher) SetAddress(address string) { w.address.set(address) }

// Resync has the complete list fetched again.
func (w *Watcher) Resync() { w.address.restart() }

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	w.address.run(ctx, func(ctx context.Context, address string) {
		w.watchAddress(ctx, address)
		w.options.Scheduler.ChangeAddress()
	})
}

// watchAddress watches one address until ctx ends. What is heard is passed on without
// delay: the drain grace period counts from when the agent wrote it.
func (w *Watcher) watchAddress(ctx context.Context, address string) {
	w.baseURL = "http://" + address
	w.watchCount++
	defer w.client.CloseIdleConnections()
	for ctx.Err() == nil {
		call := w.options.Scheduler.NextCall()
		if sleep(ctx, call.Delay); ctx.Err() != nil {
			return
		}
		start := time.Now()
		outcome, err := w.call(ctx, call)
		if ctx.Err() != nil {
			return
		}
		w.markAnswered()
		took := time.Since(start)
		w.options.Scheduler.CallEnded(call, outcome, took)
		if err != nil {
			w.options.Log.Warn("discovery: call over", "whole", call.Complete, "from", call.FromRevision,
				"end", outcome, "took_ms", took.Milliseconds(), "err", err)
		}
	}
}

func (w *Watcher) call(ctx context.Context, call registry.Call) (registry.Outcome, error) {
	if call.Complete {
		return w.fetch(ctx, call)
	}
	return w.watch(ctx, call)
}

// deliver hands a list on. The log tells when it came: the relays of a fleet do not learn
// of a change in the same moment.
func (w *Watcher) deliver(list *core.EndpointList, bytes int) {
	w.options.Log.Info("list", "revision", list.Revision, "whole", list.Complete, "members", len(list.Members))
	epoch := fmt.Sprintf("%s#%d@%d", w.baseURL, w.watchCount, w.createdAt)
	w.options.OnList(epoch, list)
	if bytes >= longListBytes {
		// What reading it took would not be collected for minutes.
		time.AfterFunc(freeMemoryDelay, debug.FreeOSMemory)
	}
}

// markAnswered books that the agent has answered.
func (w *Watcher) markAnswered() { w.firstResponseOnce.Do(func() { close(w.firstResponse) }) }
