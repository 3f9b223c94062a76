// Package relay drives package core on real sockets, files and clocks: clients
// and endpoints, discovery and the log. It decides nothing, and must never do
// anything of a message that the core has not said.
package relay

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"troutusher/internal/config"
	"troutusher/internal/console"
	"troutusher/internal/core"
	"troutusher/internal/handover"
	"troutusher/internal/handover/link"
	"troutusher/internal/mailbox"
	"troutusher/internal/membership"
	"troutusher/internal/metrics"
	"troutusher/internal/msgtrace"
	"troutusher/internal/respserver"
	"troutusher/internal/source/registry"
	"troutusher/internal/tlsdial"
	"troutusher/policy"
)

const coreClockOrigin = policy.Time(3600e6) // of the core's clock: sends of an earlier process lie before it

// firstListTimeout is how long the first calls wait for discovery; clients wait for
// nothing. Tests alone change it.
var firstListTimeout = 300 * time.Millisecond

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
	wal               *wal
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
	wal, owed, err := openWAL(cfg.State, disk-r.stateSaver.diskReserve(disk), func(id string) bool { _, ok := inherited.calls[id]; return ok }, log)
	if err != nil {
		return false, err
	}
	r.wal = wal
	walStop := make(chan struct{})
	go wal.Run(walStop)
	r.closeLog = sync.OnceFunc(func() { close(walStop); <-wal.done })
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
	log.Info(msgtrace.Ready, "name", cfg.Name, "listen", cl.server.Addr().String(), "endpoints", r.core.EndpointCount(), "owed", len(owed), "log", wal.Found,
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

func listEvent(l *EndpointList) core.EndpointListUpdated {
	kind := policy.ListDelta
	if l.Complete {
		kind = policy.ListFull
	}
	return core.EndpointListUpdated{List: l, Kind: kind}
}

func (r *Relay) post(e core.Event) { r.inbox.Put(loopInput{event: e}) }

// observe has the core take lists in without a decision.
func (r *Relay) observe(lists []core.EndpointListUpdated) {
	events := make([]core.Event, 0, len(lists))
	for _, l := range lists {
		events = append(events, l)
	}
	r.execute(r.core.Observe(r.now(), events, r.effects[:0]))
}

// configuredList is the list in the configuration.
func (r *Relay) configuredList() (lists []core.EndpointListUpdated) {
	if r.cfg.KnownList != nil {
		lists = append(lists, core.EndpointListUpdated{List: r.cfg.KnownList, Kind: policy.ListCached})
	}
	return lists
}

// awaitFirstList waits a while for discovery's first word: the list in the
// configuration may be old, and an endpoint that drained since must not be sent
// to. Where discovery is silent, or turns the relay away, the old one has to do.
// Calls alone wait for it. Clients are served meanwhile: they give up after
// 0.4 s, and count their messages' time from when they sent them.
func (r *Relay) awaitFirstList() {
	limit := time.NewTimer(firstListTimeout)
	defer limit.Stop()
	select {
	case <-r.discovery.firstResponse: // what it said of the list came before
	case <-limit.C:
		r.log.Warn("discovery is silent: the list that is known is used")
	case <-r.ctx.Done():
		return
	}
	if r.members != nil {
		r.members.enqueueCallback(func() { r.post(core.Started{}) })
		return
	}
	r.post(core.Started{})
}

// mergeSources has discovery's words go through a view that etcd's go through as well.
func (r *Relay) mergeSources() (err error) {
	d := r.discovery
	r.members, err = newMemberMerger(r.cfg.Etcd, r.cfg.State, r.log, r.post, func() { d.addresses.Put(r.watchedAddr.Load().(string)) })
	if err != nil {
		return err
	}
	d.onList = func(l *EndpointList) {
		r.members.enqueue(r.members.registry, &membership.Update{Epoch: d.epoch(), Revision: l.Revision, Complete: l.Complete, Members: l.Members})
	}
	d.onHeartbeat = func() { r.members.enqueue(r.members.registry, nil) }
	r.watchedAddr.Store(r.cfg.Discovery)
	return nil
}

// dropStaleLists leaves out lists that the process before has heard later ones than, from
// the same agent: what has drained since is not up again. What is left out is had
// once more, whole, in case the registry has begun anew.
func (r *Relay) dropStaleLists(lists []core.EndpointListUpdated, before *inheritedState) []core.EndpointListUpdated {
	switch {
	case before.DiscoveryAddr == r.discoveryAddr:
	case before.ReloadRequested: // it had moved, and this one will
		return nil
	default:
		return lists // another's versions are its own
	}
	all := len(lists)
	lists = slices.DeleteFunc(lists, func(e core.EndpointListUpdated) bool { return e.List.Revision < r.core.ListRevision() })
	if len(lists) < all {
		r.discovery.addresses.Put(r.discoveryAddr)
	}
	return lists
}

// collectFirstLists is the same for a process that is to take over from another one,
// which serves meanwhile, or that has no list: it returns what was heard. The list
// in the configuration is not among it, since the other's is newer.
func (r *Relay) collectFirstLists() (lists []core.EndpointListUpdated) {
	limit := time.NewTimer(firstListTimeout)
	defer limit.Stop()
	first := r.discovery.firstResponse
	if r.cfg.KnownList == nil {
		first = nil // without any list there is nothing to serve on
	}
	var got []loopInput
	for heard := false; ; {
		select {
		case <-r.inbox.Ready():
		case <-first: // what it said of the list came before
			first, heard = nil, true
		case <-limit.C:
			r.log.Warn("discovery is silent: the list that is known is used")
			return lists
		}
		got = r.inbox.TakeAll(got)
		for _, h := range got {
			if h.config != nil {
				r.reconfigure(h.config)
			} else if l, ok := h.event.(core.EndpointListUpdated); ok {
				lists = append(lists, l)
				heard = true
			}
		}
		if heard {
			return lists
		}
	}
}

// eventLoop is the one goroutine that the core belongs to: it hands over what has
// happened and carries out what is to be done.
func (r *Relay) eventLoop(cl *clientServer, failed <-chan error) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	listening, told := true, false
	var quiet chan struct{} // closed once nothing that clients sent is without its answer; nil until they are let go for good
	for {
		wait := time.Hour
		if at := r.core.NextWakeup(); at > 0 {
			wait = time.Duration(at-r.now()+1) * time.Microsecond
		}
		if _, stopping := r.core.ShuttingDown(0); stopping {
			wait = min(wait, 20*time.Millisecond)
		}
		if r.cfg.Console != "" {
			wait = min(wait, endpointStatsInterval)
		}
		if at := r.stateSaver.saveIfDue(r.now()); at > 0 {
			wait = min(wait, time.Duration(at-r.now()+1)*time.Microsecond)
		}
		timer.Reset(max(wait, 0))
		select {
		case <-r.inbox.Ready():
		case <-timer.C:
		case err := <-failed:
			return err
		}
		r.processInbox()
		if t := r.pendingHandover; t != nil {
			r.pendingHandover = nil
			if err := r.handOver(t, cl); err != nil {
				return err
			}
		}
		gone, stopping := r.core.ShuttingDown(r.now())
		if !stopping {
			continue
		}
		if !told && !r.core.KeepsClientConnections(r.now()) {
			told = true
			hitFailpoint(failpointClientsReleased)
			r.lifecycle.stop()
		}
		if listening && gone >= core.CloseListenerAfter {
			listening = false
			hitFailpoint(failpointListenersClosing)
			cl.server.CloseListeners()
		}
		if told && !listening && quiet == nil {
			// The front reads on until it has nothing open: a request that it had read
			// as this process ended would have no answer.
			done := make(chan struct{})
			quiet = done
			cl.server.Shutdown(func() { close(done); r.inbox.Put(loopInput{}) })
		}
		idle := isClosed(quiet) && r.core.UnansweredRequests() == 0 && r.core.OpenCalls() == 0 && (r.core.HeldMessages() == 0 || gone >= core.StopSendsAfter)
		if !idle && gone >= core.AbandonCallsAfter && !isClosed(quiet) { // half a command, maybe
			done := make(chan struct{})
			cl.server.Pause(func() { close(done) })
			r.processUntil(func() bool { return isClosed(done) && r.core.UnansweredRequests() == 0 }, lastReplyTimeout)
		}
		if idle || gone >= core.AbandonCallsAfter {
			hitFailpoint(failpointProcessEnd)
			r.log.Info(msgtrace.Stopped, "held", r.core.HeldMessages(), "calls", r.core.OpenCalls())
			return nil
		}
	}
}

// lastReplyTimeout is how long requests that were read have for their answers, once a
// process is out of time.
const lastReplyTimeout = 200 * time.Millisecond

// isClosed reports whether a channel is closed on which nothing is sent.
func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Points between two steps at which something else may happen.
const (
	failpointClientsReleased  = "clients are let go"
	failpointListenersClosing = "nobody new is let in"
	failpointProcessEnd       = "the process ends"
	failpointAddressInUse     = "the address is in use"

	// Of a hand-over, the side that serves.
	failpointOutgoingRequested        = "give: asked"
	failpointOutgoingRequestsAnswered = "give: requests are answered"
	failpointOutgoingQuiesced         = "give: all is at rest"
	failpointOutgoingStateSent        = "give: the state is sent"
	failpointOutgoingListenersSent    = "give: the listeners are sent"
	failpointOutgoingClientsSent      = "give: the clients are sent"
	failpointOutgoingCallsSent        = "give: the calls are sent"
	failpointOutgoingLockSent         = "give: the lock is sent"
	failpointOutgoingAllSent          = "give: all is sent"
	failpointOutgoingClaimed          = "give: it is the other's"
	failpointOutgoingReleased         = "give: let go"
	// And the side that starts.
	failpointIncomingConnected      = "take: linked"
	failpointIncomingListReceived   = "take: the list is heard"
	failpointIncomingAllReceived    = "take: all has come"
	failpointIncomingLockAdopted    = "take: the lock is held"
	failpointIncomingClaimSent      = "take: said mine"
	failpointIncomingRecovered      = "take: taken up"
	failpointIncomingClientsAdopted = "take: clients are adopted"
	failpointIncomingServing        = "take: serves"
)

// failpoint is called at such a point. Tests alone set it, before a relay runs.
var failpoint func(point string)

func hitFailpoint(point string) {
	if failpoint != nil {
		failpoint(point)
	}
}

// processInbox hands over what has happened so far.
func (r *Relay) processInbox() {
	r.received = r.inbox.TakeAll(r.received)
	r.events = r.events[:0]
	for i := range r.received {
		switch h := &r.received[i]; {
		case h.config != nil:
			r.reconfigure(h.config)
		case h.handover != nil:
			r.pendingHandover = h.handover // there is one at a time
		case h.event != nil:
			r.events = append(r.events, h.event)
		}
	}
	r.step()
}

// step lets the core decide on what has happened.
func (r *Relay) step() {
	began := time.Now()
	defer func() { r.longestStep = max(r.longestStep, time.Since(began)) }()
	r.execute(r.core.Step(r.now(), r.events, r.effects[:0]))
	clear(r.events)
	r.updateBoard()
}

// execute does what the core says, in its order.
func (r *Relay) execute(fx []core.Effect) {
	for _, e := range fx {
		r.executeEffect(e)
	}
	clear(fx)
	r.effects = fx[:0]
}

func (r *Relay) executeEffect(e core.Effect) {
	switch e := e.(type) {
	case core.SendReply:
		requestOf(e.Request).answer(replyText(e.Reply))
	case core.AppendRecord:
		r.wal.Submit(e.Record, nil)
	case core.AppendThenReply:
		q := e.Request
		r.wal.Submit(q.Record, func(err error) {
			if err != nil {
				r.post(core.LogWriteFailed{Request: q})
				return
			}
			requestOf(q).answer(replyOK)
		})
	case core.AppendThenSend:
		r.startCall(e.Record, e.Call)
	case core.AppendThenNotify:
		n := e.Notice
		// The notice goes out whether or not it could be logged.
		r.wal.Submit(e.Record, func(error) { r.notices.queue.Put(n) })
	case core.SendNotice:
		r.notices.queue.Put(e.Notice)
	case core.ResumeCall:
		r.resumeCall(e.Call)
	case core.CancelCall:
		if c, ok := e.Call.Handle.(*Call); ok {
			c.cancel(ErrCancelled)
		}
	case core.ApplyRetryAfter:
		if h := r.endpoints[e.Endpoint]; h != nil {
			h.gate.HoldUntil(r.now(), e.Until)
		}
	case core.CheckHealth:
		h, ep := r.endpoints[e.Endpoint], e.Endpoint
		go func() {
			o := checkHealth(r.ctx, h)
			r.post(core.HealthChecked{Endpoint: ep, Result: o.coreResult()})
		}()
	case core.OpenEndpoint:
		at := scopeKey{dest: e.Dest}
		if e.IndependentRoute {
			at = scopeKey{route: e.Endpoint}
		}
		h := r.pool.OpenEndpoint(e.Address, r.tlsPeers, uint64(e.Endpoint), e.Dest, e.Flavor)
		h.gate = r.pool.scope(at).Gate()
		r.endpoints[e.Endpoint] = h
	case core.CloseEndpoint:
		r.endpoints[e.Endpoint].Close()
	case core.CloseIdleConnections:
		r.endpoints[e.Endpoint].CloseIdle()
	case core.ForgetEndpoint:
		delete(r.endpoints, e.Endpoint)
		r.pool.ForgetRoute(e.Endpoint)
	case core.PassivateDestination:
		r.pool.ForgetDestination(e.Dest)
	case core.Log:
		if e.Text == metrics.LogText {
			e.Args = append(e.Args, metrics.LongestStepKey, r.longestStep.Microseconds())
			r.longestStep = 0
		}
		r.log.Log(r.ctx, e.Level, e.Text, e.Args...)
	case core.StepAgain:
		r.inbox.Put(loopInput{})
	}
}

func requestOf(q *core.Request) *request { return q.Handle.(*request) }

// replyText is an answer in RESP2.
func replyText(a core.Reply) string {
	switch {
	case a.OK:
		return replyOK
	case a.Err != nil:
		return errorReply(a.Err)
	}
	return busyReply(a.RetryAfterMS)
}

// identityRejected is told by the handshakes that an endpoint gets nothing for a time.
func (r *Relay) identityRejected(endpoint uint64, wait time.Duration) {
	r.post(core.IdentityRejected{Endpoint: policy.EndpointID(endpoint), Duration: wait.Microseconds()})
}

// startCall logs an attempt and then makes it.
func (r *Relay) startCall(rec *record, out *core.Call) {
	ctx, stop := context.WithCancelCause(r.ctx)
	c := &Call{ctx: ctx, cancel: stop, connRequest: connRequest{warmingUp: out.WarmingUp, mayConnect: out.MayConnect}, SendBy: out.SendBy, OnSent: func() { r.board.Sends.Add(1) }}
	out.Handle = c
	h, limit := r.endpoints[out.Endpoint], time.Duration(out.Timeout)*time.Microsecond
	r.wal.Submit(rec, func(err error) {
		if err != nil {
			stop(err)
			r.post(core.AttemptNotLogged{Call: out})
			return
		}
		r.inFlight.Add(out, c)
		go func() {
			defer stop(nil)
			defer r.inFlight.Remove(out)
			c.Do(h, out.Record, limit, r.cfg.LoadReportFields, func(o Result) {
				r.post(core.AttemptFinished{Call: out, Result: o.coreResult()})
			})
		}()
	})
}
