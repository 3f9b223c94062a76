package relay

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"syscall"
	"time"

	"troutusher/internal/config"
	"troutusher/internal/console"
	"troutusher/internal/core"
	"troutusher/internal/handover"
	"troutusher/internal/handover/link"
	"troutusher/internal/mailbox"
	"troutusher/internal/msgtrace"
	"troutusher/internal/respserver"
	"troutusher/internal/source/registry"
	"troutusher/internal/tlsdial"
	"troutusher/internal/wal"
	"troutusher/policy"
)

// run is one life of a relay; asked tells whether the configuration was read again
// in it.
func run(cfg *config.Config, log *slog.Logger, stop <-chan struct{}, re ReloadRequests) (asked bool, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := &Relay{cfg: cfg, log: log, inbox: mailbox.New[loopInput](), startedAt: time.Now(), ctx: ctx, stop: stop, reload: re, endpoints: map[policy.EndpointID]*Endpoint{},
		lifecycle: &processLifecycle{}, board: console.NewStats(classNames(cfg))}
	defer func() { asked = r.reloadsRequested.Load() > 0 }()
	if cfg.Console != "" { // it answers from the first moment on
		con, err := console.Listen(cfg.Console, r.consoleCalls(), log)
		if err != nil {
			return false, err
		}
		defer con.Close()
		go con.Serve()
	}
	set := core.Settings{Policy: cfg.Policy, Seed: cfg.Seed, Epoch: r.startedAt.UnixMicro() - coreClockOrigin,
		TracesPerSecond: cfg.TracesPerSecond, Passivation: cfg.Passivation, Zones: cfg.Zones, Kinds: cfg.DestinationKinds, Classes: cfg.Classes, Tenants: cfg.Tenants}
	if len(cfg.TLSRules) > 0 {
		r.tlsPeers, err = tlsdial.New(tlsdial.Options{Rules: cfg.TLSRules, Handshakes: cfg.Handshakes, Log: log, Seed: cfg.Seed, StateDir: cfg.State, OnRejected: r.identityRejected})
		if err != nil {
			return false, err
		}
		set.ConnectionCost = r.tlsPeers.HandshakeWeight
		r.consoleTLSPeers.Store(r.tlsPeers)
		defer r.tlsPeers.SaveSessions(cfg.State)
		go r.tlsPeers.Run(ctx)
	}
	r.core, err = core.New(set)
	if err != nil {
		return false, fmt.Errorf("config: settings: %w", err)
	}
	_, conns := cfg.DescriptorBudget()
	keep := time.Duration(cfg.Policy.IdleTimeout) * time.Microsecond
	// A request written to a connection that the endpoint is closing ends as a
	// reset: ours close first.
	r.pool = NewPool(time.Duration(cfg.Policy.ConnectTimeout)*time.Microsecond, keep-IdleMargin(keep), conns)
	r.pool.now = r.now
	go r.pool.Run(ctx)
	r.notices = newNoticeSender(cfg.Discovery, log, func(id string) {
		log.Info(msgtrace.NoticeDelivered, "message", id)
		r.wal.Submit(&record{Kind: core.RecordDone, ID: id}, nil)
	})
	watch, unwatch := context.WithCancel(ctx)
	defer unwatch()
	follow := registry.New(cfg.Policy.Relays, cfg.Seed)
	if cfg.KnownList != nil {
		follow.SetRevision(cfg.KnownList.Revision)
	}
	r.discovery = newListWatcher(cfg.Discovery, log, follow, func(l *EndpointList) { r.inbox.Put(loopInput{event: listEvent(l)}) })
	if cfg.Etcd != nil {
		if err := r.mergeSources(); err != nil {
			return false, err
		}
	}
	r.discovery.cancel = unwatch
	r.discovery.maxListBytes = cmp.Or(cfg.MaxListBytes, defaultMaxListBytes)
	go r.discovery.run(watch)
	r.discoveryAddr = cfg.Discovery
	go r.watchReloads(ctx, re)

	if r.lock, err = openLock(cfg.State); err != nil {
		return false, err
	}
	defer r.lock.close()
	list := sync.OnceValue(r.collectFirstLists)
	if r.members != nil { // what discovery says goes through the view, once that has begun
		list = func() []core.EndpointListUpdated { return nil }
	}
	heard := false
	inherited, err := r.acquireState(func() { list(); heard = true })
	if err != nil {
		return false, err
	}
	opt := serverOptions(cfg)
	opt.Logger = log
	opt.DeferListen = true // until all is there that an answer takes
	if inherited == nil {
		inherited = &inheritedState{}
	}
	defer inherited.close()
	for i, fd := range inherited.listeners {
		ln, err := respserver.ListenerFromFD(fd)
		if err != nil {
			return false, fmt.Errorf("listen: handed over: %w", err)
		}
		inherited.listeners[i] = -1
		opt.InheritedListeners = append(opt.InheritedListeners, ln)
	}
	inherited.listeners = nil
	if inherited.ClientsPausedAt > 0 {
		opt.UnreadSince = time.Now().Add(-time.Duration(max(monotonicMicros()-inherited.ClientsPausedAt, 0)) * time.Microsecond)
	}
	// Before the log is touched: who has the address may be a relay that knows
	// of no lock.
	listen := func() (*clientServer, error) {
		return newClientServer(cfg, opt, func(q *request) { r.post(core.Submitted{Request: &q.Request}) },
			func(q *request, ok bool) { r.post(core.ReplyDelivered{Request: &q.Request, OK: ok}) },
			append([]string{cfg.Listen}, cfg.ClientSettings.ListenAddresses...)...)
	}
	cl, err := listen()
	// The system takes lock, link and address from a process that dies one after
	// the other: who has heard of its end by the first may find the last still held.
	for end := time.Now().Add(addressInUseTimeout); errors.Is(err, syscall.EADDRINUSE) && len(opt.InheritedListeners) == 0 && time.Now().Before(end); cl, err = listen() {
		hitFailpoint(failpointAddressInUse)
		time.Sleep(lockRetryInterval)
	}
	if err != nil {
		return false, err
	}
	cl.lifecycle, cl.countShed = r.lifecycle, r.board.AddShed
	r.inheritedCalls = inherited.calls
	r.stateSaver = newStateSaver(r)
	disk := int64(cfg.Limits.DiskMB) << 20
	ownLog, owed, err := wal.Open(wal.Options{
		Dir: cfg.State, MaxBytes: disk - r.stateSaver.diskReserve(disk), Logger: log,
		InFlight: func(id string) bool { _, ok := inherited.calls[id]; return ok },
	})
	if err != nil {
		return false, err
	}
	r.wal = ownLog
	go ownLog.Run()
	r.closeLog = sync.OnceFunc(func() {
		if err := ownLog.Close(); err != nil {
			log.Warn("log: not closed", "err", err)
		}
	})
	defer r.closeLog()
	r.notices.start(ctx)
	defer func() { r.notices.stopRun() }()

	if inherited.Core == nil {
		known, shift := r.stateSaver.load()
		newer := known != nil && (cfg.KnownList == nil || known.Revision > cfg.KnownList.Revision) // it has heard more
		if !newer || known.Partial {
			r.observe(r.configuredList())
		}
		if newer {
			kind := policy.ListCached
			if known.Partial {
				kind = policy.ListDelta
			}
			r.observe([]core.EndpointListUpdated{{List: known.EndpointList(), Kind: kind}})
		}
		if heard || cfg.KnownList == nil && known == nil { // without any list there is nothing to serve on, and nobody is let in
			r.observe(list())
		} else {
			r.core.DeferSends()
			go r.awaitFirstList()
		}
		if known != nil {
			r.execute(r.core.RestoreState(r.now(), known, shift, r.effects[:0]))
		}
		r.execute(r.core.RecoverMessages(r.now(), owed, nil, 0, r.effects[:0]))
	} else {
		r.execute(r.core.RecoverMessages(r.now(), owed, inherited.Core, inherited.ClockOrigin-(monotonicMicros()-r.now()), r.effects[:0]))
		heard := list()
		r.observe(r.dropStaleLists(heard, inherited))
		if inherited.ReloadRequested {
			r.reloadNow()
		}
	}
	hitFailpoint(failpointIncomingRecovered)
	if r.members != nil {
		r.members.start(r.core.SnapshotState(r.now()).EndpointList())
		go r.members.run(watch)
		go r.members.superviseHelper(watch)
	}
	r.step()
	kept := cl.server.Import(inherited.clients)
	inherited.clients = nil
	hitFailpoint(failpointIncomingClientsAdopted)
	if err := cl.server.Listen(); err != nil {
		return false, err
	}
	failed := make(chan error, 1)
	go func() { failed <- cl.server.Run() }()
	defer cl.server.Close()
	go func() {
		<-stop
		r.post(core.ShutdownRequested{})
	}()
	r.lifecycle.startServing(cl.server)
	if inherited.conn != nil {
		r.incoming.Step(handover.ReadyToServe)
		hitFailpoint(failpointIncomingServing)
		if err := inherited.conn.Send(packetServing, nil, time.Now().Add(packetTimeout)); err != nil {
			log.Warn("hand-over: the process before did not hear that it may end", "err", err)
		}
		inherited.conn.Close()
		inherited.conn = nil
	}
	ln, err := link.Listen(cfg.State)
	if err != nil { // it serves; only an upgrade will not work
		log.Error("hand-over: cannot be offered", "err", err)
	} else {
		defer ln.Close()
		go r.acceptHandovers(ln)
	}
	log.Info(msgtrace.Ready, "name", cfg.Name, "listen", cl.server.Addr().String(), "endpoints", r.core.EndpointCount(), "owed", len(owed), "log", string(ownLog.Origin()),
		"handed_over", inherited.Core != nil, "clients", kept)
	err = r.eventLoop(cl, failed)
	if err == errHandoverComplete {
		return false, nil
	}
	if err == nil {
		r.stateSaver.saveFinal()
	}
	return false, err
}
