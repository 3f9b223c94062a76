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

// DefaultMaxListBytes is the length of the longest accepted list, unless the operator sets
// another limit.
const DefaultMaxListBytes = 4 << 20

const (
	watcherConns    = 4
	longListBytes   = 8 << 20         // decoding a list of this length leaves much garbage
	freeMemoryDelay = 5 * time.Second // long enough to apply a list of a million endpoints
)

// WatcherOptions are the parameters of NewWatcher.
type WatcherOptions struct {
	Address   string // agent's address, host:port
	Scheduler *registry.Scheduler
	Log       *slog.Logger
	// OnList is called in order for each accepted list or change. The epoch identifies the
	// sequence of revisions that the list belongs to; it is unique to this process.
	OnList         func(epoch string, list *core.EndpointList)
	OnHeartbeat    func()        // called when a watch reports that nothing has changed; may be nil
	MaxListBytes   int           // 0 for DefaultMaxListBytes
	SilenceTimeout time.Duration // a watch that sends nothing for this time is cancelled; 0 for registry.SilenceTimeout
	// UnchangedDelay is how long after the start of a watch's response nothing may arrive until the known list
	// counts as current; 0 for 50 ms. See FirstResponse.
	UnchangedDelay time.Duration
}

// Watcher keeps a watch open for changes of the agent's endpoint list.
type Watcher struct {
	options           WatcherOptions
	address           agentAddress
	client            *http.Client
	createdAt         int64 // Unix time in ns; part of the epoch
	firstBaseURL      string
	firstResponse     chan struct{}
	firstResponseOnce sync.Once
	listTimeout       time.Duration // defaultListTimeout; only tests change it

	// Used only by Run's goroutine.
	baseURL    string
	watchCount int // number of calls of watchAddress, including restarts at the same address
}

// NewWatcher returns a Watcher, which starts watching when Run is called.
func NewWatcher(o WatcherOptions) *Watcher {
	o.MaxListBytes = cmp.Or(o.MaxListBytes, DefaultMaxListBytes)
	o.SilenceTimeout = cmp.Or(o.SilenceTimeout, registry.SilenceTimeout)
	o.UnchangedDelay = cmp.Or(o.UnchangedDelay, defaultUnchangedDelay)
	client := newAgentClient(watcherConns)
	client.Transport.(*http.Transport).ResponseHeaderTimeout = 0 // each call has a timeout of its own
	return &Watcher{
		options:       o,
		address:       newAgentAddress(o.Address),
		client:        client,
		createdAt:     time.Now().UnixNano(),
		firstBaseURL:  baseURLOf(o.Address),
		firstResponse: make(chan struct{}),
		listTimeout:   defaultListTimeout,
	}
}

func baseURLOf(address string) string { return "http://" + address }

// FirstResponse returns a channel that is closed at the first list, heartbeat or end of a call, successful
// or not, and when a watch from the known revision was accepted and no list begins within UnchangedDelay. A
// list that came first has been passed to OnList before.
func (w *Watcher) FirstResponse() <-chan struct{} { return w.firstResponse }

// SetAddress moves the watch to another address and fetches the complete list there.
func (w *Watcher) SetAddress(address string) { w.address.set(address) }

// Resync makes the Watcher fetch the complete list again.
func (w *Watcher) Resync() { w.address.restart() }

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	w.address.run(ctx, func(ctx context.Context, address string) {
		w.watchAddress(ctx, address)
		w.options.Scheduler.ChangeAddress()
	})
}

// watchAddress makes calls to one address until ctx ends, each when the scheduler says so: a fetch of
// the complete list or a watch. It reports the outcome of each call to the scheduler. Lists are passed
// on without delay, because the grace period within which calls to a draining endpoint must stop begins
// when the agent sends the list.
func (w *Watcher) watchAddress(ctx context.Context, address string) {
	w.baseURL = baseURLOf(address)
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
		elapsed := time.Since(start)
		w.options.Scheduler.CallEnded(call, outcome, elapsed)
		if err != nil {
			w.options.Log.Warn("discovery: call over", "whole", call.Complete, "from", call.FromRevision,
				"end", outcome, "took_ms", elapsed.Milliseconds(), "err", err)
		}
	}
}

func (w *Watcher) call(ctx context.Context, call registry.Call) (registry.Outcome, error) {
	if call.Complete {
		return w.fetch(ctx, call)
	}
	return w.watch(ctx, call)
}

// deliver passes a list to OnList. It logs each list, because the relays of a fleet receive a change
// at different times: the line's time shows when this relay received it.
func (w *Watcher) deliver(list *core.EndpointList, bytes int) {
	w.options.Log.Info("list", "revision", list.Revision, "whole", list.Complete, "members", len(list.Members))
	w.options.OnList(w.epoch(w.baseURL, w.watchCount), list)
	if bytes >= longListBytes {
		// Otherwise the memory used to decode the list would not be released for minutes.
		time.AfterFunc(freeMemoryDelay, debug.FreeOSMemory)
	}
}

// epoch returns the epoch of the lists that a watch receives. It begins with the address, followed by '#'.
func (w *Watcher) epoch(baseURL string, watchCount int) string {
	return fmt.Sprintf("%s#%d@%d", baseURL, watchCount, w.createdAt)
}

// FirstEpoch returns the epoch of the first watch. Unless a resync or another address ends it before, this
// watch continues from the revision that the scheduler started with.
func (w *Watcher) FirstEpoch() string { return w.epoch(w.firstBaseURL, 1) }

// markAnswered closes the channel of FirstResponse if it is still open.
func (w *Watcher) markAnswered() { w.firstResponseOnce.Do(func() { close(w.firstResponse) }) }
