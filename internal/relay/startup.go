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
	"troutusher/internal/discovery"
	"troutusher/internal/handover/link"
	"troutusher/internal/handover/statelock"
	"troutusher/internal/handover/transfer"
	"troutusher/internal/msgtrace"
	"troutusher/internal/respserver"
	"troutusher/internal/tlsdial"
	"troutusher/internal/upstream"
	"troutusher/internal/wal"
	"troutusher/policy"
)

// addressInUseTimeout is how long the addresses of clients may still be those of a
// process that has let go of the lock.
const addressInUseTimeout = time.Second

// startup brings a relay up. Its fields are what one step leaves to a later one.
type startup struct {
	*Relay
	watchCtx context.Context // of the endpoint list's sources; ends before ctx

	// firstLists waits for the first endpoint lists, once, and returns them.
	// firstListsRead reports whether they were waited for before the state was
	// acquired.
	firstLists     func() []core.EndpointListUpdated
	firstListsRead bool

	incoming  *incomingHandover
	inherited *transfer.Inherited // its; empty where no process handed over
	takenOver bool                // a process did
	owed      []*record           // messages in the log
	imported  int                 // client connections taken over
}

// start brings the relay up in an order that is part of its behaviour: the
// console answers first, the log is not touched before the client addresses are
// bound, and nobody is let in before all is there that an answer takes. An error
// leaves what was opened to cleanUp.
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
		"endpoints", r.core.EndpointCount(), "owed", len(s.owed), "log", string(r.wal.Origin()),
		"handed_over", s.takenOver, "clients", s.imported)
	return nil
}

// openConsole has the console answer from the first moment on.
func (s *startup) openConsole() error {
	if s.cfg.Console == "" {
		return nil
	}
	con, err := console.Listen(s.cfg.Console, s.consoleCalls(), s.log)
	if err != nil {
		return err
	}
	// Serve's end is not waited for: an operator who reads slowly must not hold up the
	// end of the process.
	s.atExit(con.Close)
	go con.Serve()
	return nil
}

// createCore makes the core and, where there are rules for it, what dials over
// TLS.
func (s *startup) createCore() error {
	settings := core.Settings{
		Policy:          s.cfg.Policy,
		Seed:            s.cfg.Seed,
		Epoch:           s.startedAt.UnixMicro() - coreClockOrigin,
		TracesPerSecond: s.cfg.TracesPerSecond,
		Passivation:     s.cfg.Passivation,
		Zones:           s.cfg.Zones,
		Kinds:           s.cfg.DestinationKinds,
		Classes:         s.cfg.Classes,
		Tenants:         s.cfg.Tenants,
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
	s.atExit(func() { dialer.SaveSessions(s.cfg.State) })
	go dialer.Run(s.ctx)
	return nil
}

// startPool makes the pool of connections to endpoints. They close before the
// endpoint closes them: a request written to a connection that the other side is
// closing ends as a reset.
func (s *startup) startPool() error {
	_, maxConns := s.cfg.DescriptorBudget()
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

// startDiscovery makes the sender of notices, and begins to watch the endpoint
// list and requests to reload the configuration.
func (s *startup) startDiscovery() error {
	s.notices = discovery.NewNoticeSender(s.cfg.Discovery, s.log, func(id string) {
		s.log.Info(msgtrace.NoticeDelivered, "message", id)
		s.wal.Submit(&record{Kind: core.RecordDone, ID: id}, nil)
	})
	s.watchCtx, s.stopListSources = context.WithCancel(s.ctx)
	s.atExit(s.stopListSources)
	if err := s.startListSources(s.watchCtx); err != nil {
		return err
	}
	go s.watchReloads(s.ctx, s.reload)
	return nil
}

// lockState opens the lock on the state folder, without taking it.
func (s *startup) lockState() error {
	lock, err := statelock.Open(s.cfg.State)
	if err != nil {
		return err
	}
	s.lock = lock
	s.atExit(lock.Close)
	return nil
}

// acquireState makes this process the owner of the state folder, with what another
// one hands over. The first lists are waited for while that one still serves.
func (s *startup) acquireState() error {
	s.firstLists = sync.OnceValue(s.collectFirstLists)
	if s.members != nil { // lists go through the merged view, once that has begun
		s.firstLists = func() []core.EndpointListUpdated { return nil }
	}
	s.incoming = &incomingHandover{relay: s.Relay, end: time.Now().Add(acquireTimeout), prepare: func() {
		s.firstLists()
		s.firstListsRead = true
	}}
	if err := s.incoming.run(); err != nil {
		return err
	}
	s.atExit(s.incoming.discard)
	s.inherited = &s.incoming.inherited
	s.takenOver = s.inherited.Core != nil
	s.inheritedCalls = s.inherited.Calls
	return nil
}

// bindClientAddresses opens the RESP server, which lets nobody in yet. It comes
// before the log is touched: the address may be held by a relay that knows of no
// lock.
func (s *startup) bindClientAddresses() error {
	options, err := s.inheritingOptions()
	if err != nil {
		return err
	}
	listen := func() error {
		s.clients, err = newClientServer(s.cfg, options,
			func(q *request) { s.post(core.Submitted{Request: &q.Request}) },
			func(q *request, ok bool) {
				s.post(core.ReplyDelivered{Request: &q.Request, OK: ok})
			},
			append([]string{s.cfg.Listen}, s.cfg.ClientSettings.ListenAddresses...)...)
		return err
	}
	err = listen()
	// The system takes lock, link and address from a process that dies one after
	// the other: who has the first may find the last still held.
	end := time.Now().Add(addressInUseTimeout)
	for errors.Is(err, syscall.EADDRINUSE) && len(options.InheritedListeners) == 0 && time.Now().Before(end) {
		hitFailpoint(failpointAddressInUse)
		time.Sleep(lockRetryInterval)
		err = listen()
	}
	if err != nil {
		return err
	}
	s.clients.lifecycle, s.clients.countShed = s.lifecycle, s.board.AddShed
	return nil
}

// inheritingOptions are the RESP server's, with the listeners that were handed over.
func (s *startup) inheritingOptions() (respserver.Options, error) {
	options := serverOptions(s.cfg)
	options.Logger = s.log
	options.DeferListen = true
	for i, fd := range s.inherited.Listeners {
		ln, err := respserver.ListenerFromFD(fd)
		if err != nil {
			return options, fmt.Errorf("listen: handed over: %w", err)
		}
		s.inherited.Listeners[i] = -1
		options.InheritedListeners = append(options.InheritedListeners, ln)
	}
	s.inherited.Listeners = nil
	if s.inherited.ClientsPausedAt > 0 {
		pause := time.Duration(max(monotonicMicros()-s.inherited.ClientsPausedAt, 0)) * time.Microsecond
		options.UnreadSince = time.Now().Add(-pause)
	}
	return options, nil
}

// openLog reads the write-ahead log, and starts its writer and the sender of
// notices, which logs what is confirmed.
func (s *startup) openLog() error {
	s.stateSaver = newStateSaver(s.Relay)
	diskLimit := int64(s.cfg.Limits.DiskMB) << 20
	log, owed, err := wal.Open(wal.Options{
		Dir:      s.cfg.State,
		MaxBytes: diskLimit - s.stateSaver.diskReserve(diskLimit),
		Logger:   s.log,
		InFlight: func(id string) bool {
			_, ok := s.inheritedCalls[id]
			return ok
		},
	})
	if err != nil {
		return err
	}
	s.wal, s.owed = log, owed
	go log.Run()
	s.closeLog = sync.OnceFunc(func() {
		if err := log.Close(); err != nil {
			s.log.Warn("log: not closed", "err", err)
		}
	})
	s.atExit(s.closeLog)
	s.notices.Start(s.ctx)
	s.atExit(s.notices.Pause)
	return nil
}

// recoverState tells the core what is known of endpoints, and what is owed.
func (s *startup) recoverState() error {
	if s.takenOver {
		s.recoverHandover()
	} else {
		s.recoverFiles()
	}
	hitFailpoint(failpointIncomingRecovered)
	return nil
}

// recoverHandover recovers from the log and what another process handed over.
func (s *startup) recoverHandover() {
	clockShift := s.inherited.ClockOrigin - (monotonicMicros() - s.now())
	s.execute(s.core.RecoverMessages(s.now(), s.owed, s.inherited.Core, clockShift, s.effects[:0]))
	lists := s.firstLists()
	s.observe(s.dropStaleLists(lists, s.inherited))
	if s.inherited.ReloadRequested {
		s.reloadNow()
	}
}

// recoverFiles recovers from the log, the saved policy state and the list in the
// configuration. Where one of them names endpoints, clients are served at once
// and calls alone wait for discovery.
func (s *startup) recoverFiles() {
	saved, clockShift := s.stateSaver.load()
	newer := saved != nil && (s.cfg.KnownList == nil || saved.Revision > s.cfg.KnownList.Revision)
	if !newer || saved.Partial {
		s.observe(s.configuredList())
	}
	if newer {
		kind := policy.ListCached
		if saved.Partial {
			kind = policy.ListDelta
		}
		s.observe([]core.EndpointListUpdated{{List: saved.EndpointList(), Kind: kind}})
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
	s.execute(s.core.RecoverMessages(s.now(), s.owed, nil, 0, s.effects[:0]))
}

// startMembers begins to merge endpoint lists, where there are several sources.
func (s *startup) startMembers() error {
	if s.members == nil {
		return nil
	}
	s.members.Restore(s.core.SnapshotState(s.now()).EndpointList())
	go s.members.Run(s.watchCtx)
	go s.members.RunHelper(s.watchCtx)
	return nil
}

// serveClients takes client connections over and lets new ones in.
func (s *startup) serveClients() error {
	s.step()
	server := s.clients.server
	s.imported = server.Import(s.inherited.Clients)
	s.inherited.Clients = nil
	hitFailpoint(failpointIncomingClientsAdopted)
	if err := server.Listen(); err != nil {
		return err
	}
	go func() { s.serverFailed <- server.Run() }()
	s.atExit(server.Close)
	go func() {
		<-s.stop
		s.post(core.ShutdownRequested{})
	}()
	s.lifecycle.startServing(server)
	return nil
}

// confirmHandover tells the process that handed over that it may end.
func (s *startup) confirmHandover() error {
	s.incoming.confirm()
	return nil
}

// offerHandover listens for a process that wants to take over. Without it the
// relay serves all the same; an upgrade alone will not work.
func (s *startup) offerHandover() error {
	ln, err := link.Listen(s.cfg.State)
	if err != nil {
		s.log.Error("hand-over: cannot be offered", "err", err)
		return nil
	}
	s.atExit(func() { _ = ln.Close() }) // the next process replaces the socket
	go s.acceptHandovers(ln)
	return nil
}
