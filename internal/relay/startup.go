package relay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"troutusher/internal/console"
	"troutusher/internal/core"
	"troutusher/internal/departures"
	"troutusher/internal/discovery"
	"troutusher/internal/handover/link"
	"troutusher/internal/handover/statelock"
	"troutusher/internal/handover/transfer"
	"troutusher/internal/membersource"
	"troutusher/internal/msgtrace"
	"troutusher/internal/respserver"
	"troutusher/internal/tlsdial"
	"troutusher/internal/upstream"
	"troutusher/internal/wal"
	"troutusher/policy"
)

// addressInUseTimeout is how long start retries to bind the client addresses: a
// process that has just released the state lock may still hold them.
const addressInUseTimeout = time.Second

// startup holds the values that one step of Relay.start passes to a later one.
type startup struct {
	*Relay
	watchCtx context.Context // of the goroutines that receive endpoint lists; is cancelled before ctx

	// firstLists waits for the first endpoint lists and returns them; later calls
	// return the same lists. firstListsRead reports whether it was called before
	// the state was acquired.
	firstLists     func() []core.EndpointListUpdated
	firstListsRead bool

	incoming        *incomingHandover
	inherited       *transfer.Inherited // what incoming has received; empty if no process handed over
	takenOver       bool                // a predecessor handed over
	recovered       []*record           // undelivered messages in the write-ahead log
	importedClients int                 // number of client connections taken over
}

// start starts the relay. The order of the steps matters: the console answers
// first, the write-ahead log is not opened before the client addresses are bound,
// and clients are accepted only once everything that a reply needs is running.
// After an error, cleanUp closes what was opened.
func (r *Relay) start() error {
	s := &startup{Relay: r}
	for _, step := range []func() error{
		s.openConsole,
		s.createCore,
		s.startPool,
		s.startDiscovery,
		s.lockState,
		s.acquireState,
		s.bindClientAddresses,
		s.openLog,
		s.recoverState,
		s.startMembers,
		s.serveClients,
		s.confirmHandover,
		s.offerHandover,
	} {
		if err := step(); err != nil {
			return err
		}
	}
	r.log.Info(msgtrace.Ready, "name", r.cfg.Name, "listen", r.clients.server.Addr().String(),
		"endpoints", r.core.EndpointCount(), "owed", len(s.recovered), "log", string(r.wal.Origin()),
		"handed_over", s.takenOver, "clients", s.importedClients)
	return nil
}

// openConsole starts the console, so that operators get answers during the rest of
// the start.
func (s *startup) openConsole() error {
	if s.cfg.Console == "" {
		return nil
	}
	server, err := console.Listen(s.cfg.Console, s.consoleCalls(), s.log)
	if err != nil {
		return err
	}
	// Nobody waits for Serve to return: an operator's client that reads slowly must
	// not delay the exit of the process.
	s.onCleanUp(server.Close)
	go server.Serve()
	return nil
}

// createCore creates the core and, if there are TLS rules, the TLS dialer.
func (s *startup) createCore() error {
	settings := core.Settings{
		Policy:           s.cfg.Policy,
		Seed:             s.cfg.Seed,
		Epoch:            s.startedAt.UnixMicro() - coreClockOrigin,
		TracesPerSecond:  s.cfg.TracesPerSecond,
		Passivation:      s.cfg.Passivation,
		Zones:            s.cfg.Zones,
		DestinationKinds: s.cfg.DestinationKinds,
		Classes:          s.cfg.Classes,
		Tenants:          s.cfg.Tenants,
	}
	if len(s.cfg.TLSRules) > 0 {
		if err := s.createTLSDialer(); err != nil {
			return err
		}
		settings.ConnectionCost = s.tlsPeers.HandshakeWeight
	}
	var err error
	if s.core, err = core.New(settings); err != nil {
		return fmt.Errorf("config: settings: %w", err)
	}
	return nil
}

func (s *startup) createTLSDialer() error {
	dialer, err := tlsdial.New(tlsdial.Options{
		Rules:      s.cfg.TLSRules,
		Handshakes: s.cfg.Handshakes,
		Log:        s.log,
		Seed:       s.cfg.Seed,
		StateDir:   s.cfg.State,
		OnRejected: s.identityRejected,
	})
	if err != nil {
		return err
	}
	s.tlsPeers = dialer
	s.consoleTLSPeers.Store(dialer)
	s.onCleanUp(func() { dialer.SaveSessions(s.cfg.State) })
	go dialer.Run(s.ctx)
	return nil
}

// startPool creates the pool of connections to endpoints. Its idle timeout is
// shorter than the endpoints' keep-alive time: a request that is written to a
// connection while the endpoint closes it fails with a reset.
func (s *startup) startPool() error {
	_, maxConns := s.cfg.DescriptorBudget()
	if missing := s.cfg.EndpointConnsMissing(); missing > 0 {
		s.log.Warn("descriptors: fewer connections to endpoints than concurrent calls, some calls wait for one",
			"connections", maxConns, "calls", s.cfg.Policy.MaxConcurrentCalls, "sockets", s.cfg.Limits.Sockets)
	}
	keepAlive := time.Duration(s.cfg.Policy.IdleTimeout) * time.Microsecond
	connectTimeout := time.Duration(s.cfg.Policy.ConnectTimeout) * time.Microsecond
	s.pool = upstream.NewPool(upstream.PoolOptions{
		ConnectTimeout: connectTimeout,
		IdleTimeout:    keepAlive - upstream.IdleMargin(keepAlive),
		MaxConns:       maxConns,
		Now:            s.now,
		TLS:            s.tlsPeers,
	})
	go s.pool.Run(s.ctx)
	return nil
}

// startDiscovery creates the notice sender, and starts to watch the endpoint list
// and the requests to reload the configuration.
func (s *startup) startDiscovery() error {
	s.notices = discovery.NewNoticeSender(s.cfg.Discovery, s.log, func(id string) {
		s.log.Info(msgtrace.NoticeDelivered, "message", id)
		s.wal.Submit(&record{Kind: core.RecordDone, ID: id}, nil)
	})
	s.watchCtx, s.stopListSources = context.WithCancel(s.ctx)
	s.onCleanUp(s.stopListSources)
	if err := s.startListSources(s.watchCtx); err != nil {
		return err
	}
	go s.watchReloads(s.ctx, s.reload)
	return nil
}

// lockState opens the lock file of the state folder without acquiring the lock.
func (s *startup) lockState() error {
	lock, err := statelock.Open(s.cfg.State)
	if err != nil {
		return err
	}
	s.lock = lock
	s.onCleanUp(lock.Close)
	return nil
}

// acquireState makes this process the owner of the state folder and receives what a
// predecessor hands over. It waits for the first endpoint lists while the
// predecessor still serves.
func (s *startup) acquireState() error {
	s.firstLists = sync.OnceValue(s.collectFirstLists)
	if s.members != nil { // lists come from the merger of discovery and etcd, which starts later
		s.firstLists = func() []core.EndpointListUpdated { return nil }
	}
	s.incoming = &incomingHandover{relay: s.Relay, deadline: time.Now().Add(acquireTimeout), prepare: func() {
		s.firstLists()
		s.firstListsRead = true
	}}
	if err := s.incoming.run(); err != nil {
		return err
	}
	s.onCleanUp(s.incoming.discard)
	s.inherited = &s.incoming.inherited
	s.takenOver = s.inherited.Core != nil
	s.inheritedCalls = s.inherited.Calls
	return nil
}

// bindClientAddresses creates the RESP server, which doesn't accept connections yet.
// It runs before the write-ahead log is opened: if a relay of a version without the
// state lock still runs, the address is in use and the start fails before it
// touches that relay's log.
func (s *startup) bindClientAddresses() error {
	options, err := s.inheritingOptions()
	if err != nil {
		return err
	}
	listen := func() error {
		s.clients, err = newClientServer(s.cfg, options,
			func(req *request) { s.post(core.Submitted{Request: &req.Request}) },
			func(req *request, ok bool) {
				s.post(core.ReplyDelivered{Request: &req.Request, OK: ok})
			},
			append([]string{s.cfg.Listen}, s.cfg.ClientSettings.ListenAddresses...)...)
		return err
	}
	err = listen()
	// The kernel releases the lock, the hand-over socket and the addresses of a dead
	// process one after the other, so the addresses may still be in use here although
	// the lock is free.
	deadline := time.Now().Add(addressInUseTimeout)
	for errors.Is(err, syscall.EADDRINUSE) && len(options.InheritedListeners) == 0 && time.Now().Before(deadline) {
		hitFailpoint(failpointAddressInUse)
		time.Sleep(lockRetryInterval)
		err = listen()
	}
	if err != nil {
		return err
	}
	s.clients.lifecycle, s.clients.countShed = s.lifecycle, s.stats.AddShed
	return nil
}

// inheritingOptions returns the options of the RESP server, including the listeners
// that the predecessor handed over.
func (s *startup) inheritingOptions() (respserver.Options, error) {
	options := serverOptions(s.cfg)
	options.Logger = s.log
	options.DeferListen = true
	for i, fd := range s.inherited.Listeners {
		ln, err := respserver.ListenerFromFD(fd)
		if err != nil {
			return options, fmt.Errorf("listen: use listener (descriptor %d) of the predecessor: %w", fd, err)
		}
		s.inherited.Listeners[i] = -1
		options.InheritedListeners = append(options.InheritedListeners, ln)
	}
	s.inherited.Listeners = nil
	if s.inherited.ClientsPausedAt > 0 {
		pausedFor := time.Duration(max(monotonicMicros()-s.inherited.ClientsPausedAt, 0)) * time.Microsecond
		options.UnreadSince = time.Now().Add(-pausedFor)
	}
	return options, nil
}

// openLog reads the write-ahead log, then starts its writer and the notice sender.
// The notice sender needs the log, since it records each confirmed notice there.
func (s *startup) openLog() error {
	s.stateSaver = newStateSaver(s.Relay)
	diskLimit := int64(s.cfg.Limits.DiskMB) << 20
	log, undelivered, err := wal.Open(wal.Options{
		Dir:             s.cfg.State,
		MaxBytes:        diskLimit - s.stateSaver.diskReserve(diskLimit),
		MaxPendingBytes: int64(s.cfg.PendingMemory()),
		Logger:          s.log,
		InFlight: func(id string) bool {
			_, ok := s.inheritedCalls[id]
			return ok
		},
	})
	if err != nil {
		return err
	}
	s.wal, s.recovered = log, undelivered
	s.departures = departures.New(log.EndpointRecords())
	go log.Run()
	s.closeLog = sync.OnceFunc(func() {
		if err := log.Close(); err != nil {
			s.log.Warn("write-ahead log: close failed, the last records may not be on disk", "err", err)
		}
	})
	s.onCleanUp(s.closeLog)
	s.notices.Start(s.ctx)
	s.onCleanUp(s.notices.Pause)
	return nil
}

// recoverState passes the known endpoints and the undelivered messages to the core.
func (s *startup) recoverState() error {
	if s.takenOver {
		s.recoverHandover()
	} else {
		s.recoverFiles()
	}
	hitFailpoint(failpointIncomingRecovered)
	return nil
}

// recoverHandover recovers from the write-ahead log and the predecessor's state.
func (s *startup) recoverHandover() {
	clockShift := s.inherited.ClockOrigin - (monotonicMicros() - s.now())
	s.execute(s.core.RecoverMessages(s.now(), s.recovered, s.inherited.Core, clockShift, s.effects[:0]))
	s.trackInheritedEndpoints()
	lists := s.firstLists()
	s.observe(s.newerConfiguredList(s.inherited))
	s.observe(s.dropStaleLists(lists, s.inherited))
	s.lifecycle.inheritDrain(s.inherited.Draining)
	if s.inherited.ReloadRequested {
		s.reloadNow()
	}
}

// trackInheritedEndpoints makes the predecessor's endpoints known to the set of departures.
func (s *startup) trackInheritedEndpoints() {
	list := core.EndpointList{Revision: s.inherited.Core.Revision}
	for i := range s.inherited.Core.Members {
		list.Members = append(list.Members, s.inherited.Core.Members[i].Member)
	}
	s.departures.Track(&list)
}

// recoverFiles recovers from the write-ahead log, the saved policy state and the
// endpoint list in the configuration. If the saved state or the configuration has
// endpoints, clients are served at once and only calls wait for discovery;
// otherwise the whole start waits for the first lists. A partial saved state lacks
// most destinations that were idle, so it is applied as a change to the configured list.
func (s *startup) recoverFiles() {
	saved, clockShift := s.stateSaver.load()
	savedListIsNewer := saved != nil && (s.cfg.KnownList == nil || saved.Revision > s.cfg.KnownList.Revision)
	if !savedListIsNewer || saved.Partial {
		s.observe(s.configuredList())
	}
	if savedListIsNewer {
		kind := policy.ListCached
		if saved.Partial {
			kind = policy.ListDelta
		}
		s.observe([]core.EndpointListUpdated{{List: s.startWith(saved.EndpointList()), Kind: kind}})
	}
	if s.firstListsRead || s.cfg.KnownList == nil && saved == nil {
		s.observe(s.firstLists())
	} else {
		s.core.DeferSends()
		go s.awaitFirstList()
	}
	if saved != nil {
		s.execute(s.core.RestoreState(s.now(), saved, clockShift, s.effects[:0]))
	}
	s.execute(s.core.RecoverMessages(s.now(), s.recovered, nil, 0, s.effects[:0]))
}

// startMembers starts the merger of endpoint lists if there are several sources.
func (s *startup) startMembers() error {
	if s.members == nil {
		return nil
	}
	start := membersource.Start{List: s.core.SnapshotState(s.now()).EndpointList(), Epoch: s.discovery.FirstEpoch()}
	if s.cfg.KnownList != nil {
		start.Watched = s.departures.Mask(s.cfg.KnownList)
	}
	s.members.Restore(start)
	go s.members.Run(s.watchCtx)
	go s.members.RunHelper(s.watchCtx)
	return nil
}

// serveClients adopts the predecessor's client connections and accepts new ones.
func (s *startup) serveClients() error {
	s.step()
	server := s.clients.server
	s.importedClients = server.Import(s.inherited.Clients)
	s.inherited.Clients = nil
	hitFailpoint(failpointIncomingClientsAdopted)
	if err := server.Listen(); err != nil {
		return err
	}
	go func() { s.serverFailed <- server.Run() }()
	s.onCleanUp(server.Close)
	go func() {
		<-s.stop
		s.post(core.ShutdownRequested{})
	}()
	s.lifecycle.startServing(server)
	return nil
}

// confirmHandover tells the predecessor, if there is one, that it may exit.
func (s *startup) confirmHandover() error {
	s.incoming.confirm()
	return nil
}

// offerHandover listens for a successor. If that fails the relay still serves, but
// it cannot hand over to a new process.
func (s *startup) offerHandover() error {
	ln, err := link.Listen(s.cfg.State)
	if err != nil {
		s.log.Error("hand-over: cannot listen for a successor, serving without the means to hand over", "err", err)
		return nil
	}
	s.onCleanUp(func() { _ = ln.Close() }) // the socket's file stays; the next process replaces it
	go s.acceptHandovers(ln)
	return nil
}
