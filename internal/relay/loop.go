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

	"troutusher/decide"
	"troutusher/internal/console"
	"troutusher/internal/core"
	"troutusher/internal/front"
	"troutusher/internal/membership"
	"troutusher/internal/secure"
	"troutusher/internal/source/registry"
	"troutusher/internal/story"
	"troutusher/internal/takeover"
	"troutusher/internal/takeover/link"
	"troutusher/internal/tally"
)

const clockStart = decide.Time(3600e6) // of the core's clock: sends of an earlier process lie before it

// firstList is how long the first calls wait for discovery; clients wait for
// nothing. Tests alone change it.
var firstList = 300 * time.Millisecond

// happening is something that the loop is told.
type happening struct {
	core.Event
	config *Config // a new one
	taking *taking // another process is ready to take over
}

// Relay is one running relay.
type Relay struct {
	cfg       *Config
	log       *slog.Logger
	core      *core.Core
	in        *mailbox[happening]
	wal       *wal
	notices   *notices
	discovery *discovery
	agent     string // the address that both of them use
	duty      *duties
	board     *console.Stats
	seen      time.Time // when the endpoints avoided were last counted
	began     time.Time
	longest   time.Duration // of the steps since the last tally
	homes     map[decide.EndpointID]*Endpoint
	events    []core.Event
	effects   []core.Effect
	pool      *Pool
	partners  *secure.Partners                // nil without TLS
	shown     atomic.Pointer[secure.Partners] // the same, for the console
	out       InFlight
	got       []happening
	taking    *taking
	taker     takeover.Taker
	lock      *stateLock
	keeper    *keeper      // nil where nothing is kept
	members   *members     // nil where discovery alone says who is there
	watched   atomic.Value // the address of discovery, a string, for it
	frozen    int64        // when the clients were last read, on the system's monotonic clock
	asked     atomic.Int64 // how often the configuration was to be read again
	told      int64        // of them, as another process was told of
	re        Reload
	passed    map[string]int // calls that the process before had out, by message
	closeLog  func()
	stop      <-chan struct{}
	ctx       context.Context
}

func (r *Relay) now() decide.Time { return clockStart + time.Since(r.began).Microseconds() }

// Run serves until stop is closed and the end is made, until another process has
// taken the work over, or something fails that a relay cannot go on without.
// Where the process that took over died before it served, it starts anew from the
// log, with the configuration that it was last told to read.
func Run(cfg *Config, log *slog.Logger, stop <-chan struct{}, re Reload) error {
	for {
		asked, err := run(cfg, log, stop, re)
		if !errors.Is(err, errStartAnew) {
			return err
		}
		log.Warn("hand-over: the process that took over is gone, starting from the log")
		if asked {
			if fresh, err := re.Read(); err != nil {
				log.Error("new configuration not taken over, the old one stays", "err", err)
			} else {
				cfg = fresh
			}
		}
	}
}

// run is one life of a relay; asked tells whether the configuration was read again
// in it.
func run(cfg *Config, log *slog.Logger, stop <-chan struct{}, re Reload) (asked bool, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := &Relay{cfg: cfg, log: log, in: newMailbox[happening](), began: time.Now(), ctx: ctx, stop: stop, re: re, homes: map[decide.EndpointID]*Endpoint{},
		duty: &duties{}, board: console.NewStats(classNames(cfg))}
	defer func() { asked = r.asked.Load() > 0 }()
	if cfg.Console != "" { // it answers from the first moment on
		con, err := console.Listen(cfg.Console, r.calls(), log)
		if err != nil {
			return false, err
		}
		defer con.Close()
		go con.Serve()
	}
	set := core.Settings{Policy: cfg.Policy, Seed: cfg.Seed, Epoch: r.began.UnixMicro() - clockStart,
		TracesPerSecond: cfg.Stories, Passivation: cfg.Rest, Zones: cfg.zones, Kinds: cfg.kinds, Classes: cfg.classes, Tenants: cfg.tenants}
	if len(cfg.TLS) > 0 {
		r.partners, err = secure.New(secure.Options{Rules: cfg.TLS, Handshakes: cfg.Handshakes, Log: log, Seed: cfg.Seed, State: cfg.State, Barred: r.barred})
		if err != nil {
			return false, err
		}
		set.ConnectionCost = r.partners.Opening
		r.shown.Store(r.partners)
		defer r.partners.Save(cfg.State)
		go r.partners.Run(ctx)
	}
	r.core, err = core.New(set)
	if err != nil {
		return false, fmt.Errorf("config: settings: %w", err)
	}
	_, conns := cfg.budget()
	keep := time.Duration(cfg.Policy.IdleTimeout) * time.Microsecond
	// A request written to a connection that the endpoint is closing ends as a
	// reset: ours close first.
	r.pool = NewPool(time.Duration(cfg.Policy.ConnectTimeout)*time.Microsecond, keep-IdleMargin(keep), conns)
	r.pool.now = r.now
	go r.pool.Run(ctx)
	r.notices = newNotices(cfg.Discovery, log, func(id string) {
		log.Info(story.NoticeDelivered, "message", id)
		r.wal.submit(&record{Kind: core.RecordDone, ID: id}, nil)
	})
	watch, unwatch := context.WithCancel(ctx)
	defer unwatch()
	follow := registry.New(cfg.Policy.Relays, cfg.Seed)
	if cfg.Known != nil {
		follow.Know(cfg.Known.Revision)
	}
	r.discovery = newDiscovery(cfg.Discovery, log, follow, func(l *List) { r.in.put(happening{Event: news(l)}) })
	if cfg.Etcd != nil {
		if err := r.merge(); err != nil {
			return false, err
		}
	}
	r.discovery.end = unwatch
	r.discovery.most = cmp.Or(cfg.ListMost, listMost)
	go r.discovery.run(watch)
	r.agent = cfg.Discovery
	go r.follow(ctx, re)

	if r.lock, err = openLock(cfg.State); err != nil {
		return false, err
	}
	defer r.lock.close()
	list := sync.OnceValue(r.firstList)
	if r.members != nil { // what discovery says goes through the view, once that has begun
		list = func() []core.Event { return nil }
	}
	heard := false
	inherited, err := r.claim(func() { list(); heard = true })
	if err != nil {
		return false, err
	}
	opt := cfg.frontOptions()
	opt.Logger = log
	opt.DeferListen = true // until all is there that an answer takes
	if inherited == nil {
		inherited = &inheritance{}
	}
	defer inherited.close()
	for i, fd := range inherited.listeners {
		ln, err := front.ListenerFromFD(fd)
		if err != nil {
			return false, fmt.Errorf("listen: handed over: %w", err)
		}
		inherited.listeners[i] = -1
		opt.InheritedListeners = append(opt.InheritedListeners, ln)
	}
	inherited.listeners = nil
	if inherited.Frozen > 0 {
		opt.UnreadSince = time.Now().Add(-time.Duration(max(mono()-inherited.Frozen, 0)) * time.Microsecond)
	}
	// Before the log is touched: who has the address may be a relay that knows
	// of no lock.
	listen := func() (*clients, error) {
		return newClients(cfg, opt, func(q *request) { r.tell(core.Event{Kind: core.Submitted, Request: &q.Request}) },
			func(q *request, ok bool) { r.tell(core.Event{Kind: core.ReplyDelivered, Request: &q.Request, OK: ok}) },
			append([]string{cfg.Listen}, cfg.Operator.Listen...)...)
	}
	cl, err := listen()
	// The system takes lock, link and address from a process that dies one after
	// the other: who has heard of its end by the first may find the last still held.
	for end := time.Now().Add(addressWait); errors.Is(err, syscall.EADDRINUSE) && len(opt.InheritedListeners) == 0 && time.Now().Before(end); cl, err = listen() {
		cross(seamInUse)
		time.Sleep(lockPause)
	}
	if err != nil {
		return false, err
	}
	cl.duty, cl.late = r.duty, r.board.AddShed
	r.passed = inherited.calls
	r.keeper = newKeeper(r)
	disk := int64(cfg.Limits.DiskMB) << 20
	wal, owed, err := openWAL(cfg.State, disk-r.keeper.reserve(disk), func(id string) bool { _, ok := inherited.calls[id]; return ok }, log)
	if err != nil {
		return false, err
	}
	r.wal = wal
	walStop := make(chan struct{})
	go wal.run(walStop)
	r.closeLog = sync.OnceFunc(func() { close(walStop); <-wal.done })
	defer r.closeLog()
	r.notices.start(ctx)
	defer func() { r.notices.halt() }()

	if inherited.Core == nil {
		known, shift := r.keeper.read()
		newer := known != nil && (cfg.Known == nil || known.Revision > cfg.Known.Revision) // it has heard more
		if !newer || known.Partial {
			r.book(r.knownList())
		}
		if newer {
			kind := decide.ListCached
			if known.Partial {
				kind = decide.ListDelta
			}
			r.book([]core.Event{{Kind: core.EndpointListUpdated, List: known.EndpointList(), News: kind}})
		}
		if heard || cfg.Known == nil && known == nil { // without any list there is nothing to serve on, and nobody is let in
			r.book(list())
		} else {
			r.core.DeferSends()
			go r.awaitList()
		}
		if known != nil {
			r.carryOut(r.core.RestoreState(r.now(), known, shift, r.effects[:0]))
		}
		r.carryOut(r.core.RecoverMessages(r.now(), owed, nil, 0, r.effects[:0]))
	} else {
		r.carryOut(r.core.RecoverMessages(r.now(), owed, inherited.Core, inherited.Mono-(mono()-r.now()), r.effects[:0]))
		heard := list()
		r.book(r.newer(heard, inherited))
		if inherited.Again {
			r.readAgain()
		}
	}
	cross(seamTakenUp)
	if r.members != nil {
		r.members.seed(r.core.SnapshotState(r.now()).EndpointList())
		go r.members.run(watch)
		go r.members.help(watch)
	}
	r.step()
	kept := cl.front.Import(inherited.conns)
	inherited.conns = nil
	cross(seamAdopted)
	if err := cl.front.Listen(); err != nil {
		return false, err
	}
	failed := make(chan error, 1)
	go func() { failed <- cl.front.Run() }()
	defer cl.front.Close()
	go func() {
		<-stop
		r.tell(core.Event{Kind: core.ShutdownRequested})
	}()
	r.duty.open(cl.front)
	if inherited.link != nil {
		r.taker.Step(takeover.Up)
		cross(seamUp)
		if err := inherited.link.Send(pktServing, nil, time.Now().Add(sendWait)); err != nil {
			log.Warn("hand-over: the process before did not hear that it may end", "err", err)
		}
		inherited.link.Close()
		inherited.link = nil
	}
	ln, err := link.Listen(cfg.State)
	if err != nil { // it serves; only an upgrade will not work
		log.Error("hand-over: cannot be offered", "err", err)
	} else {
		defer ln.Close()
		go r.offer(ln)
	}
	log.Info(story.Ready, "name", cfg.Name, "listen", cl.front.Addr().String(), "endpoints", r.core.EndpointCount(), "owed", len(owed), "log", wal.found,
		"handed_over", inherited.Core != nil, "clients", kept)
	err = r.loop(cl, failed)
	if err == errGiven {
		return false, nil
	}
	if err == nil {
		r.keeper.last()
	}
	return false, err
}

func news(l *List) core.Event {
	kind := decide.ListDelta
	if l.Complete {
		kind = decide.ListFull
	}
	return core.Event{Kind: core.EndpointListUpdated, List: l, News: kind}
}

func (r *Relay) tell(e core.Event) { r.in.put(happening{Event: e}) }

// book has the core take events in without a decision.
func (r *Relay) book(events []core.Event) {
	r.carryOut(r.core.Observe(r.now(), events, r.effects[:0]))
}

// knownList is the list in the configuration.
func (r *Relay) knownList() (lists []core.Event) {
	if r.cfg.Known != nil {
		lists = append(lists, core.Event{Kind: core.EndpointListUpdated, List: r.cfg.Known, News: decide.ListCached})
	}
	return lists
}

// awaitList waits a while for discovery's first word: the list in the
// configuration may be old, and an endpoint that drained since must not be sent
// to. Where discovery is silent, or turns the relay away, the old one has to do.
// Calls alone wait for it. Clients are served meanwhile: they give up after
// 0.4 s, and count their messages' time from when they sent them.
func (r *Relay) awaitList() {
	limit := time.NewTimer(firstList)
	defer limit.Stop()
	select {
	case <-r.discovery.first: // what it said of the list came before
	case <-limit.C:
		r.log.Warn("discovery is silent: the list that is known is used")
	case <-r.ctx.Done():
		return
	}
	if r.members != nil {
		r.members.after(func() { r.tell(core.Event{Kind: core.Started}) })
		return
	}
	r.tell(core.Event{Kind: core.Started})
}

// merge has discovery's words go through a view that etcd's go through as well.
func (r *Relay) merge() (err error) {
	d := r.discovery
	r.members, err = newMembers(r.cfg.Etcd, r.cfg.State, r.log, r.tell, func() { d.moves.put(r.watched.Load().(string)) })
	if err != nil {
		return err
	}
	d.news = func(l *List) {
		r.members.put(r.members.registry, &membership.Word{Epoch: d.epoch(), Revision: l.Revision, Whole: l.Complete, Members: l.Members})
	}
	d.life = func() { r.members.put(r.members.registry, nil) }
	r.watched.Store(r.cfg.Discovery)
	return nil
}

// newer leaves out lists that the process before has heard later ones than, from
// the same agent: what has drained since is not up again. What is left out is had
// once more, whole, in case the registry has begun anew.
func (r *Relay) newer(lists []core.Event, before *inheritance) []core.Event {
	switch {
	case before.Agent == r.agent:
	case before.Again: // it had moved, and this one will
		return nil
	default:
		return lists // another's versions are its own
	}
	all := len(lists)
	lists = slices.DeleteFunc(lists, func(e core.Event) bool { return e.List.Revision < r.core.ListRevision() })
	if len(lists) < all {
		r.discovery.moves.put(r.agent)
	}
	return lists
}

// firstList is the same for a process that is to take over from another one,
// which serves meanwhile, or that has no list: it returns what was heard. The list
// in the configuration is not among it, since the other's is newer.
func (r *Relay) firstList() (lists []core.Event) {
	limit := time.NewTimer(firstList)
	defer limit.Stop()
	first := r.discovery.first
	if r.cfg.Known == nil {
		first = nil // without any list there is nothing to serve on
	}
	var got []happening
	for heard := false; ; {
		select {
		case <-r.in.ready:
		case <-first: // what it said of the list came before
			first, heard = nil, true
		case <-limit.C:
			r.log.Warn("discovery is silent: the list that is known is used")
			return lists
		}
		got = r.in.takeAll(got)
		for _, h := range got {
			switch {
			case h.config != nil:
				r.reconfigure(h.config)
			case h.Kind == core.EndpointListUpdated:
				lists = append(lists, h.Event)
				heard = true
			}
		}
		if heard {
			return lists
		}
	}
}

// loop is the one goroutine that the core belongs to: it hands over what has
// happened and carries out what is to be done.
func (r *Relay) loop(cl *clients, failed <-chan error) error {
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
			wait = min(wait, boardWait)
		}
		if at := r.keeper.look(r.now()); at > 0 {
			wait = min(wait, time.Duration(at-r.now()+1)*time.Microsecond)
		}
		timer.Reset(max(wait, 0))
		select {
		case <-r.in.ready:
		case <-timer.C:
		case err := <-failed:
			return err
		}
		r.turn()
		if t := r.taking; t != nil {
			r.taking = nil
			if err := r.give(t, cl); err != nil {
				return err
			}
		}
		gone, stopping := r.core.ShuttingDown(r.now())
		if !stopping {
			continue
		}
		if !told && !r.core.KeepsClientConnections(r.now()) {
			told = true
			cross(seamLetGo)
			r.duty.stop()
		}
		if listening && gone >= core.CloseListenerAfter {
			listening = false
			cross(seamUnlisten)
			cl.front.CloseListeners()
		}
		if told && !listening && quiet == nil {
			// The front reads on until it has nothing open: a request that it had read
			// as this process ended would have no answer.
			done := make(chan struct{})
			quiet = done
			cl.front.Shutdown(func() { close(done); r.in.put(happening{}) })
		}
		idle := isClosed(quiet) && r.core.UnansweredRequests() == 0 && r.core.OpenCalls() == 0 && (r.core.HeldMessages() == 0 || gone >= core.StopSendsAfter)
		if !idle && gone >= core.AbandonCallsAfter && !isClosed(quiet) { // half a command, maybe
			done := make(chan struct{})
			cl.front.Pause(func() { close(done) })
			r.pump(func() bool { return isClosed(done) && r.core.UnansweredRequests() == 0 }, stopQuiet)
		}
		if idle || gone >= core.AbandonCallsAfter {
			cross(seamEnd)
			r.log.Info(story.Stopped, "held", r.core.HeldMessages(), "calls", r.core.OpenCalls())
			return nil
		}
	}
}

// stopQuiet is how long requests that were read have for their answers, once a
// process is out of time.
const stopQuiet = 200 * time.Millisecond

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
	seamLetGo    = "clients are let go"
	seamUnlisten = "nobody new is let in"
	seamEnd      = "the process ends"
	seamInUse    = "the address is in use"

	// Of a hand-over, the side that serves.
	seamAsked   = "give: asked"
	seamQuiet   = "give: requests are answered"
	seamStill   = "give: all is at rest"
	seamState   = "give: the state is sent"
	seamListen  = "give: the listeners are sent"
	seamConns   = "give: the clients are sent"
	seamCalls   = "give: the calls are sent"
	seamLock    = "give: the lock is sent"
	seamSent    = "give: all is sent"
	seamOthers  = "give: it is the other's"
	seamLetOver = "give: let go"
	// And the side that starts.
	seamLinked  = "take: linked"
	seamHeard   = "take: the list is heard"
	seamWhole   = "take: all has come"
	seamLocked  = "take: the lock is held"
	seamMine    = "take: said mine"
	seamTakenUp = "take: taken up"
	seamAdopted = "take: clients are adopted"
	seamUp      = "take: serves"
)

// seam is called at such a point. Tests alone set it, before a relay runs.
var seam func(point string)

func cross(point string) {
	if seam != nil {
		seam(point)
	}
}

// turn hands over what has happened so far.
func (r *Relay) turn() {
	r.got = r.in.takeAll(r.got)
	r.events = r.events[:0]
	for i := range r.got {
		switch h := &r.got[i]; {
		case h.config != nil:
			r.reconfigure(h.config)
		case h.taking != nil:
			r.taking = h.taking // there is one at a time
		case h.Kind != 0:
			r.events = append(r.events, h.Event)
		}
	}
	r.step()
}

// step lets the core decide on what has happened.
func (r *Relay) step() {
	began := time.Now()
	defer func() { r.longest = max(r.longest, time.Since(began)) }()
	r.carryOut(r.core.Step(r.now(), r.events, r.effects[:0]))
	clear(r.events)
	r.show()
}

// carryOut does what the core says, in its order.
func (r *Relay) carryOut(fx []core.Effect) {
	for i := range fx {
		r.do(&fx[i])
	}
	clear(fx)
	r.effects = fx[:0]
}

func (r *Relay) do(e *core.Effect) {
	switch e.Kind {
	case core.SendReply:
		handle(e.Request).answer(text(e.Reply))
	case core.AppendRecord:
		r.wal.submit(e.Record, nil)
	case core.AppendThenReply:
		q := e.Request
		r.wal.submit(e.Record, func(err error) {
			if err != nil {
				r.tell(core.Event{Kind: core.LogWriteFailed, Request: q})
				return
			}
			handle(q).answer(replyOK)
		})
	case core.AppendThenSend:
		r.send(e.Record, e.Call)
	case core.AppendThenNotify:
		n := e.Notice
		// The notice goes out whether or not it could be logged.
		r.wal.submit(e.Record, func(error) { r.notices.in.put(n) })
	case core.SendNotice:
		r.notices.in.put(e.Notice)
	case core.ResumeCall:
		r.goOn(e.Call)
	case core.CancelCall:
		if c, ok := e.Call.Handle.(*Call); ok {
			c.cancel(ErrCancelled)
		}
	case core.ApplyRetryAfter:
		if h := r.homes[e.Endpoint]; h != nil {
			h.gate.HoldUntil(r.now(), e.Until)
		}
	case core.CheckHealth:
		h, ep := r.homes[e.Endpoint], e.Endpoint
		go func() {
			o := checkHealth(r.ctx, h)
			r.tell(core.Event{Kind: core.HealthChecked, Endpoint: ep, Result: o.coreResult()})
		}()
	case core.OpenEndpoint:
		at := scopeKey{dest: e.Dest}
		if e.Apart {
			at = scopeKey{route: e.Endpoint}
		}
		h := r.pool.OpenEndpoint(e.Address, r.partners, uint64(e.Endpoint), e.Dest, e.Flavor)
		h.gate = r.pool.scope(at).Gate()
		r.homes[e.Endpoint] = h
	case core.CloseEndpoint:
		r.homes[e.Endpoint].Close()
	case core.CloseIdleConnections:
		r.homes[e.Endpoint].CloseIdle()
	case core.ForgetEndpoint:
		delete(r.homes, e.Endpoint)
		r.pool.ForgetRoute(e.Endpoint)
	case core.PassivateDestination:
		r.pool.ForgetDestination(e.Dest)
	case core.Log:
		if e.Text == tally.LogText {
			e.Args = append(e.Args, tally.LongestStepKey, r.longest.Microseconds())
			r.longest = 0
		}
		r.log.Log(r.ctx, e.Level, e.Text, e.Args...)
	case core.StepAgain:
		r.in.put(happening{})
	}
}

func handle(q *core.Request) *request { return q.Handle.(*request) }

// text is an answer in RESP2.
func text(a core.Reply) string {
	switch {
	case a.OK:
		return replyOK
	case a.Err != nil:
		return fault(a.Err)
	}
	return busy(a.RetryAfterMS)
}

// barred is told by the handshakes that an endpoint gets nothing for a time.
func (r *Relay) barred(endpoint uint64, wait time.Duration) {
	r.tell(core.Event{Kind: core.IdentityRejected, Endpoint: decide.EndpointID(endpoint), Wait: wait.Microseconds()})
}

// send logs an attempt and then makes it.
func (r *Relay) send(rec *record, out *core.Call) {
	ctx, stop := context.WithCancelCause(r.ctx)
	c := &Call{ctx: ctx, cancel: stop, connRequest: connRequest{warmingUp: out.WarmingUp, mayConnect: out.MayConnect}, SendBy: out.SendBy, OnSent: func() { r.board.Sends.Add(1) }}
	out.Handle = c
	h, limit := r.homes[out.Endpoint], time.Duration(out.Timeout)*time.Microsecond
	r.wal.submit(rec, func(err error) {
		if err != nil {
			stop(err)
			r.tell(core.Event{Kind: core.AttemptNotLogged, Call: out})
			return
		}
		r.out.Add(out, c)
		go func() {
			defer stop(nil)
			defer r.out.Remove(out)
			c.Do(h, out.Record, limit, r.cfg.loads, func(o Result) {
				r.tell(core.Event{Kind: core.AttemptFinished, Call: out, Result: o.coreResult()})
			})
		}()
	})
}
