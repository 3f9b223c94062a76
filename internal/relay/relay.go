// Package relay runs a relay: it wires the core to real sockets, files and
// clocks, and executes its effects in one event loop.
//
// The core owns every message and decides about it; package relay owns the
// process: what is opened, locked and closed in which order, and the hand-over
// to another process. It decides nothing, and must never do anything with a
// message that the core has not asked for.
package relay

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"troutusher/internal/config"
	"troutusher/internal/console"
	"troutusher/internal/core"
	"troutusher/internal/discovery"
	"troutusher/internal/handover/statelock"
	"troutusher/internal/mailbox"
	"troutusher/internal/membersource"
	"troutusher/internal/tlsdial"
	"troutusher/internal/upstream"
	"troutusher/internal/wal"
	"troutusher/policy"
)

// coreClockOrigin is what the core's clock reads as a process starts. Calls of an
// earlier process lie before it, at positive times.
const coreClockOrigin = policy.Time(3600e6)

// Relay is one life of a relay: from its start to its shutdown, or until another
// process has taken its work over.
//
// The goroutine that called Run owns all fields without a comment on who else
// reads them.
type Relay struct {
	cfg    *config.Config
	log    *slog.Logger
	ctx    context.Context // ends after everything else is cleaned up
	stop   <-chan struct{} // closed once the process is to end
	reload ReloadRequests

	core      *core.Core
	startedAt time.Time
	inbox     *mailbox.Mailbox[loopInput] // what other goroutines tell the event loop
	received  []loopInput                 // of the inbox; its storage is used again
	events    []core.Event                // of one step; its storage is used again
	effects   []core.Effect               // of one step; its storage is used again

	clients      *clientServer
	serverFailed chan error        // the RESP server's end
	lifecycle    *processLifecycle // also used by the console and the RESP server
	wal          *wal.Log
	closeLog     func() // waits until the log is written; may be called again
	notices      *discovery.NoticeSender
	stateSaver   *stateSaver // nil where no policy state is saved

	discovery       *discovery.Watcher
	discoveryAddr   string               // of the list watcher and the notice sender
	members         *membersource.Merger // nil where discovery is the only source of endpoints
	stopListSources context.CancelFunc   // ends what feeds and merges endpoint lists

	pool      *upstream.Pool
	endpoints map[policy.EndpointID]*upstream.Endpoint
	inFlight  upstream.InFlight // the calls that are out
	tlsPeers  *tlsdial.Dialer   // nil without TLS

	board           *console.Stats                 // read by the console
	consoleTLSPeers atomic.Pointer[tlsdial.Dialer] // tlsPeers, for the console
	endpointStatsAt time.Time                      // when endpoints were last counted for the board
	longestStep     time.Duration                  // since it was last logged

	lock              *statelock.Lock
	inheritedCalls    map[string]int   // by message: descriptors of the predecessor's open calls
	pendingHandover   *handoverRequest // to be served after this step; nil for none
	clientsPausedAt   int64            // when clients were last read, by monotonicMicros
	reloadsRequested  atomic.Int64     // counted by the goroutine that reloads
	reloadsHandedOver int64            // of them, those that the successor knows of

	exits []func() // what cleanUp calls, the last one first
}

func newRelay(
	ctx context.Context,
	cfg *config.Config,
	log *slog.Logger,
	stop <-chan struct{},
	reload ReloadRequests,
) *Relay {
	return &Relay{
		cfg:          cfg,
		log:          log,
		ctx:          ctx,
		stop:         stop,
		reload:       reload,
		startedAt:    time.Now(),
		inbox:        mailbox.New[loopInput](),
		serverFailed: make(chan error, 1),
		lifecycle:    &processLifecycle{},
		board:        console.NewStats(classNames(cfg)),
		endpoints:    map[policy.EndpointID]*upstream.Endpoint{},
	}
}

// Run serves until stop is closed and the shutdown is done, until another process
// has taken the work over, or something fails that a relay cannot go on without.
// Where the process that took over died before it served, Run starts again from
// the log, with the configuration that it was last asked to load.
func Run(cfg *config.Config, log *slog.Logger, stop <-chan struct{}, reload ReloadRequests) error {
	for {
		reloaded, err := run(cfg, log, stop, reload)
		if !errors.Is(err, errRestartFromLog) {
			return err
		}
		log.Warn("hand-over: the process that took over is gone, starting from the log")
		if !reloaded {
			continue
		}
		if fresh, err := reload.Load(); err != nil {
			log.Error("new configuration not taken over, the old one stays", "err", err)
		} else {
			cfg = fresh
		}
	}
}

// run is one life of a relay: it starts, serves and shuts down. reloaded reports
// whether a reload of the configuration was requested meanwhile.
func run(cfg *config.Config, log *slog.Logger, stop <-chan struct{}, reload ReloadRequests) (reloaded bool, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := newRelay(ctx, cfg, log, stop, reload)
	defer func() { reloaded = r.reloadsRequested.Load() > 0 }()
	defer r.cleanUp()
	if err := r.start(); err != nil {
		return false, err
	}
	switch err := r.eventLoop(); {
	case errors.Is(err, errHandoverComplete):
		return false, nil
	case err != nil:
		return false, err
	}
	r.stateSaver.saveFinal()
	return false, nil
}

// atExit has cleanUp call a function. Those that were added last are called first.
func (r *Relay) atExit(f func()) { r.exits = append(r.exits, f) }

// cleanUp closes what start has opened, also where that failed half-way.
func (r *Relay) cleanUp() {
	for len(r.exits) > 0 {
		last := len(r.exits) - 1
		f := r.exits[last]
		r.exits = r.exits[:last]
		f()
	}
}

// now is the time on the core's clock.
func (r *Relay) now() policy.Time { return coreClockOrigin + time.Since(r.startedAt).Microseconds() }

// monotonicMicros is the system's monotonic clock in microseconds, which reads
// the same in every process; 0 where it cannot be read.
func monotonicMicros() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return 0
	}
	return t.Nano() / 1000
}
