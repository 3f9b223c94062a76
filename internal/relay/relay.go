// Package relay runs a relay: it connects the core to real sockets, files and
// clocks, and executes the core's effects in one event loop.
//
// The core owns every message and makes all decisions about it. Package relay owns
// the process: the order in which resources are opened, locked and closed, and the
// hand-over to another process. It does nothing with a message that the core has
// not asked for.
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
	"troutusher/internal/departures"
	"troutusher/internal/discovery"
	"troutusher/internal/handover/statelock"
	"troutusher/internal/mailbox"
	"troutusher/internal/membersource"
	"troutusher/internal/tlsdial"
	"troutusher/internal/upstream"
	"troutusher/internal/wal"
	"troutusher/policy"
)

// coreClockOrigin is the core's clock when a process starts. It is far above zero so
// that calls which an earlier process began still have positive times.
const coreClockOrigin = policy.Time(3600e6)

// Relay is a running relay, from its start until it has shut down or another process
// has taken over.
//
// Only the goroutine that called Run may use a field, unless the field's comment
// names other users.
type Relay struct {
	cfg    *config.Config
	log    *slog.Logger
	ctx    context.Context // cancelled after all other clean-up
	stop   <-chan struct{} // closed to request a shutdown
	reload ReloadRequests

	core      *core.Core
	startedAt time.Time
	inbox     *mailbox.Mailbox[loopInput] // inputs of other goroutines to the event loop
	received  []loopInput                 // taken from the inbox; its storage is reused
	events    []core.Event                // of one step; its storage is reused
	effects   []core.Effect               // of one step; its storage is reused

	clients      *clientServer
	serverFailed chan error        // receives the error with which the RESP server ended
	lifecycle    *processLifecycle // also used by the console and the RESP server
	wal          *wal.Log
	departures   *departures.Set         // the endpoints that must not be called any more; logged in wal
	closeLog     func()                  // waits until the log is written; later calls do nothing
	notices      *discovery.NoticeSender // reports messages that ended undelivered
	stateSaver   *stateSaver             // nil if the policy state is not saved

	discovery       *discovery.Watcher
	discoveryAddr   string               // of the list watcher and the notice sender
	members         *membersource.Merger // nil if discovery is the only source of endpoints
	stopListSources context.CancelFunc   // stops the sources and the merger of endpoint lists

	pool      *upstream.Pool
	endpoints map[policy.EndpointID]*upstream.Endpoint
	inFlight  upstream.InFlight // calls without a result so far
	tlsPeers  *tlsdial.Dialer   // nil without TLS

	stats           *console.Stats                 // read by the console
	consoleTLSPeers atomic.Pointer[tlsdial.Dialer] // tlsPeers, for the console
	endpointStatsAt time.Time                      // when the endpoint counts for the console were last updated
	longestStep     time.Duration                  // since the last metrics line

	lock              *statelock.Lock
	inheritedCalls    map[string]int   // descriptors of the predecessor's open calls, by message ID
	pendingHandover   *handoverRequest // handled after the current step; nil if there is none
	clientsPausedAt   int64            // monotonicMicros when reading from clients was paused
	reloadsRequested  atomic.Int64     // incremented by the goroutine that reloads
	reloadsHandedOver int64            // reloadsRequested when the state was exported for the successor

	cleanups []func() // called by cleanUp, the last one first
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
		stats:        console.NewStats(classNames(cfg)),
		endpoints:    map[policy.EndpointID]*upstream.Endpoint{},
	}
}

// runState is what a run of a relay leaves to the next run in the same process.
type runState struct {
	reloadRequested bool // a reload of the configuration was requested
	draining        bool // an operator has requested a drain and not ended it
}

// Run serves until stop is closed and the shutdown is complete, until another process
// has taken over, or until a failure from which a relay cannot recover. If the
// process that took over dies before it serves, Run starts again from the write-ahead
// log, and an operator's drain continues. If a reload was requested meanwhile, it starts
// with the new configuration.
func Run(cfg *config.Config, log *slog.Logger, stop <-chan struct{}, reload ReloadRequests) error {
	var state runState
	for {
		var err error
		state, err = run(cfg, log, stop, reload, state.draining)
		if !errors.Is(err, errRestartFromLog) {
			return err
		}
		log.Warn("hand-over: successor exited before it served, restarting from the write-ahead log")
		if !state.reloadRequested {
			continue
		}
		if fresh, err := reload.Load(); err != nil {
			log.Error("configuration reload failed, keeping the old configuration", "err", err)
		} else {
			cfg = fresh
		}
	}
}

// run starts a relay, serves and shuts down. draining reports whether an earlier run in this
// process was draining.
func run(
	cfg *config.Config,
	log *slog.Logger,
	stop <-chan struct{},
	reload ReloadRequests,
	draining bool,
) (state runState, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := newRelay(ctx, cfg, log, stop, reload)
	defer func() { // after cleanUp, during which a reload may still be requested
		state = runState{reloadRequested: r.reloadsRequested.Load() > 0, draining: r.lifecycle.exportDrain()}
	}()
	defer r.cleanUp()
	r.lifecycle.inheritDrain(draining)
	if err := r.start(); err != nil {
		return runState{}, err
	}
	switch err := r.eventLoop(); {
	case errors.Is(err, errHandoverComplete):
		return runState{}, nil
	case err != nil:
		return runState{}, err
	}
	r.stateSaver.saveFinal()
	return runState{}, nil
}

// onCleanUp registers a function that cleanUp calls, in reverse order of registration.
func (r *Relay) onCleanUp(f func()) { r.cleanups = append(r.cleanups, f) }

// cleanUp closes what start has opened, also after a start that failed half-way.
func (r *Relay) cleanUp() {
	for len(r.cleanups) > 0 {
		last := len(r.cleanups) - 1
		f := r.cleanups[last]
		r.cleanups = r.cleanups[:last]
		f()
	}
}

// now returns the time of the core's clock.
func (r *Relay) now() policy.Time { return coreClockOrigin + time.Since(r.startedAt).Microseconds() }

// monotonicMicros returns the system's monotonic clock in microseconds, which is the
// same in every process, or 0 if it cannot be read.
func monotonicMicros() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return 0
	}
	return t.Nano() / 1000
}
