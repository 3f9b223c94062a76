// Package relay drives package core on real sockets, files and clocks: clients
// and endpoints, discovery and the log. It decides nothing, and must never do
// anything of a message that the core has not said.
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
	"troutusher/internal/handover"
	"troutusher/internal/mailbox"
	"troutusher/internal/tlsdial"
	"troutusher/internal/wal"
	"troutusher/policy"
)

const coreClockOrigin = policy.Time(3600e6) // of the core's clock: sends of an earlier process lie before it

// loopInput is something that the loop is told.
type loopInput struct {
	event    core.Event
	config   *config.Config   // a new one
	handover *handoverRequest // another process is ready to take over
}

// Relay is one running relay.
type Relay struct {
	cfg               *config.Config
	log               *slog.Logger
	core              *core.Core
	inbox             *mailbox.Mailbox[loopInput]
	wal               *wal.Log
	notices           *noticeSender
	discovery         *listWatcher
	discoveryAddr     string // the address that both of them use
	lifecycle         *processLifecycle
	board             *console.Stats
	endpointStatsAt   time.Time // when the endpoints avoided were last counted
	startedAt         time.Time
	longestStep       time.Duration // of the steps since the last tally
	endpoints         map[policy.EndpointID]*Endpoint
	events            []core.Event
	effects           []core.Effect
	pool              *Pool
	tlsPeers          *tlsdial.Dialer                // nil without TLS
	consoleTLSPeers   atomic.Pointer[tlsdial.Dialer] // the same, for the console
	inFlight          InFlight
	received          []loopInput
	pendingHandover   *handoverRequest
	incoming          handover.Incoming
	lock              *stateLock
	stateSaver        *stateSaver   // nil where nothing is kept
	members           *memberMerger // nil where discovery alone says who is there
	watchedAddr       atomic.Value  // the address of discovery, a string, for it
	clientsPausedAt   int64         // when the clients were last read, on the system's monotonic clock
	reloadsRequested  atomic.Int64  // how often the configuration was to be read again
	reloadsHandedOver int64         // of them, as another process was told of
	reload            ReloadRequests
	inheritedCalls    map[string]int // calls that the process before had out, by message
	closeLog          func()
	stop              <-chan struct{}
	ctx               context.Context
}

func (r *Relay) now() policy.Time { return coreClockOrigin + time.Since(r.startedAt).Microseconds() }

// monotonicMicros is the system's monotonic clock in µs, the same in every process.
func monotonicMicros() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return 0
	}
	return t.Nano() / 1000
}

// Run serves until stop is closed and the end is made, until another process has
// taken the work over, or something fails that a relay cannot go on without.
// Where the process that took over died before it served, it starts anew from the
// log, with the configuration that it was last told to read.
func Run(cfg *config.Config, log *slog.Logger, stop <-chan struct{}, re ReloadRequests) error {
	for {
		asked, err := run(cfg, log, stop, re)
		if !errors.Is(err, errRestartFromLog) {
			return err
		}
		log.Warn("hand-over: the process that took over is gone, starting from the log")
		if asked {
			if fresh, err := re.Load(); err != nil {
				log.Error("new configuration not taken over, the old one stays", "err", err)
			} else {
				cfg = fresh
			}
		}
	}
}
