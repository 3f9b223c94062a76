// Package core is the relay without its sockets, files and clocks: events go
// in, it steps the policy, and effects come out for drivers to carry out.
//
// It owns which messages are held, which calls are out, and the order in which
// things are logged, answered and sent: a message that ends in the step that
// took it is refused and never logged; else it is logged, then answered, then
// sent; each attempt is logged before its first byte. It must never begin a
// goroutine, look at a clock, touch a socket or a file, draw a random number or
// depend on the order of a map: the same events at the same times give the same
// effects. It decides nothing that package decide can policy.
package core

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"

	"troutusher/internal/idlestore"
	"troutusher/internal/metrics"
	"troutusher/internal/msgtrace"
	"troutusher/policy"
)

// Figures of a planned end. A relay has 3.7 s from SIGTERM until it is killed.
const (
	CloseListenerAfter          = policy.Time(1000e3) // new connections still come for a while
	CloseClientsAfter           = policy.Time(1600e3) // clients keep their connections until then at the latest
	stopAcceptingAfter          = policy.Time(2100e3) // what still comes on them is taken on if it can go out at once
	stopNonIdempotentSendsAfter = policy.Time(1600e3) // no unsafe call begins after this: cut short, it would be lost
	StopSendsAfter              = policy.Time(2400e3) // no call at all
	AbandonCallsAfter           = policy.Time(3300e3) // what is out by then stays open in the log
	shutdownRetryMS             = 400                 // ms after which a client may come again, to another relay
	forgetRetiredAfter          = policy.Time(10e6)   // how long an endpoint that left is remembered
)

// Settings are what a core is told at its start.
type Settings struct {
	Policy  policy.Settings
	Seed    uint64
	Epoch   int64 // Unix microseconds at moment 0 of its clock
	Zones   map[string]int
	Kinds   map[string]int
	Classes map[string]int
	Tenants map[string]int
	// TracesPerSecond is how many messages a second the log tells of from their hand-in on.
	TracesPerSecond int
	// Passivation says which destinations rest; the zero value is for none.
	Passivation idlestore.Limits
	// ConnectionCost is what a connection to a destination of a flavour takes there,
	// in calls; nil where that costs nothing anywhere. It must not change.
	ConnectionCost func(dest int, flavor string) float64
}

// Request is a message that a client hands in. It is answered once.
type Request struct {
	Record *Record
	Class  int
	Tenant int
	Queued policy.Time // how long it may have stood unread; its deadline counts from before
	Handle any         // the driver's
}

// Call is one attempt of a message. The driver makes it once it is logged.
type Call struct {
	Record     *Record // of its message
	Endpoint   policy.EndpointID
	Timeout    policy.Time // how long it may take
	SendBy     policy.Time // its last byte goes out by then or never; 0 for any time
	WarmingUp  bool        // at an endpoint where one connection is opened at a time
	MayConnect bool        // one is paid for; at a cold endpoint none else is opened
	Handle     any         // the driver's

	message          *message
	endpoint         *endpoint
	independentRoute bool // its endpoint is a route of its own
	attempt          int
	sentAt           policy.Time
}

// SentAt is when the call was begun.
func (c *Call) SentAt() policy.Time { return c.sentAt }

// Result is what became of a call or a probe.
type Result struct {
	Outcome           policy.Outcome
	RetryAfter        policy.Time
	SlotsExhausted    bool // not sent, since all slots were taken
	Final             bool // the message is over
	ConnectionsOpened int  // connections that were opened for it
	Elapsed           policy.Time
	Load              policy.LoadReport
	Status            int
	Malformed         bool // an answer came and cannot be believed
	Err               error
}

// neverLeft reports whether an attempt never left the relay: nobody was asked.
func (o *Result) neverLeft() bool { return o.Outcome == policy.NotSent && o.Status == 0 }

// message is what is known of a message from when it is handed in until it is
// over and its last call is back.
type message struct {
	number        uint32
	record        *Record
	receivedAt    policy.Time
	request       *Request // until it is answered
	acknowledged  bool     // its client knows that it is taken on
	logged        bool     // the log has it, or will
	finished      bool     // the policy has ended it, or was told so
	attempts      int
	traced        bool           // the log tells of it from its hand-in on
	pendingSend   *policy.Action // a send that waits for the client to have heard
	pendingEnding *Record        // its end, likewise
	recoveryState recoveryState
	call          *Call
}

// endpoint is one address of a destination.
type endpoint struct {
	id          string
	number      policy.EndpointID
	dest        int
	zone        int
	hostPort    string
	flavor      string
	open        bool   // the driver has a place for its connections
	member      Member // as the list last had it
	listed      bool   // the list holds it, draining maybe
	retired     bool   // drained or removed: nothing new goes there
	retiredAt   policy.Time
	retryAfter  policy.Time // told to wait, where it is a route of its own
	lastReplyAt policy.Time // when it last answered at all
	calls       []*Call
}

// suspectsIdleConnections books how a call went and reports whether the endpoint's idle
// connections are to be given up. After a machine was silent or died, each of
// them would hang or be reset under a call that may then have run.
func (ep *endpoint) suspectsIdleConnections(o *Result, now policy.Time) bool {
	switch o.Outcome {
	case policy.ConnectionReset, policy.ConnectFailed:
		return true
	case policy.TimedOut, policy.Cancelled:
		return ep.lastReplyAt < now-o.Elapsed // others that were sent later were answered: one slow call
	}
	if o.Status != 0 || o.Malformed {
		ep.lastReplyAt = now
	}
	return false
}

// Core is one relay.
type Core struct {
	settings             Settings
	policy               *policy.Engine
	now                  policy.Time
	lastMessageNumber    uint32
	lastEndpointNumber   policy.EndpointID
	messages             map[uint32]*message
	messagesByID         map[string]*message
	unanswered           map[*Request]*message // whose clients have no answer yet
	endpoints            []*endpoint           // in the order in which they came
	endpointsByID        map[string]*endpoint
	endpointsByNumber    map[policy.EndpointID]*endpoint
	knownDestinations    map[int]bool        // destinations that a list has named
	retryAfter           map[int]policy.Time // ends of the waits that destinations have told
	passivation          passivationState
	listUpdate           *listUpdate // a list of which a part is not booked yet
	listBatchSize        int         // members of it that are booked in one step
	policyEvents         []policy.Event
	actions              []policy.Action
	deferredEvents       []Event // for the next step
	timers               timers
	classCounts          []ClassCounts // of each class
	metrics              *metrics.Recorder
	traceSampler         *msgtrace.Sampler
	heldMessages         int
	openCalls            int
	listRevision         int64               // of the list
	stateVersion         uint64              // what a restart should not forget
	completedCalls       uint64              // calls that have ended
	handingOver          bool                // no new call is begun
	sendsDeferred        bool                // likewise, since the list may be old
	deferredHealthChecks []policy.EndpointID // asked for meanwhile
	shuttingDown         bool
	shutdownAt           policy.Time
	effects              []Effect
}

// New makes a core that holds nothing.
func New(s Settings) (*Core, error) {
	engine, err := policy.New(s.Policy, s.Seed)
	if err != nil {
		return nil, err
	}
	return &Core{settings: s, policy: engine, messages: map[uint32]*message{}, messagesByID: map[string]*message{}, unanswered: map[*Request]*message{},
		endpointsByID: map[string]*endpoint{}, endpointsByNumber: map[policy.EndpointID]*endpoint{}, knownDestinations: map[int]bool{}, retryAfter: map[int]policy.Time{},
		classCounts: make([]ClassCounts, len(s.Policy.Classes)), metrics: metrics.NewRecorder(), traceSampler: msgtrace.NewSampler(s.TracesPerSecond),
		listBatchSize: defaultListBatchSize, passivation: passivationState{roster: idlestore.NewActiveSet(s.Passivation), ejectedWhilePassive: map[int]bool{}}}, nil
}

// ClassCounts are how many messages of a class ended in each way: delivered; refused
// or handed back, so that to come again does no harm; failed. Each is counted
// when it is certain: as the answer of the call is heard, as the refusal is
// given, or as the end is logged and told. One that its client left before it
// was taken on counts nowhere, and neither does one whose end the endpoint knew
// (410).
type ClassCounts struct{ Delivered, Deferred, Failed int64 }

// CountsByClass shows the count of each class since the start, in the settings' order.
func (r *Core) CountsByClass() []ClassCounts { return r.classCounts }

// ListedEndpoints is how many endpoints the list holds, draining ones among them, and
// how many of these get nothing new now.
func (r *Core) ListedEndpoints() (listed, avoided int) {
	for _, ep := range r.endpoints {
		if ep.listed {
			listed++
			if ep.retired || r.policy.Avoids(ep.number, r.now) {
				avoided++
			}
		}
	}
	if s := r.passivation.store; s != nil {
		listed, avoided = listed+s.Endpoints(), avoided+s.Draining()
	}
	return listed, avoided
}

// countOutcome books the end of a message of a class that the settings name.
func (r *Core) countOutcome(class string, what func(*ClassCounts)) {
	if i, ok := r.settings.Classes[class]; ok {
		what(&r.classCounts[i])
	}
}

func countDelivered(e *ClassCounts) { e.Delivered++ }
func countDeferred(e *ClassCounts)  { e.Deferred++ }
func countFailed(e *ClassCounts)    { e.Failed++ }

// NextWakeup is the moment at which to step though nothing happens; 0 for none.
func (r *Core) NextWakeup() policy.Time { return r.timers.next() }

// HeldMessages is how many messages are held.
func (r *Core) HeldMessages() int { return r.heldMessages }

// ListRevision is that of the list that was heard last.
func (r *Core) ListRevision() int64 { return r.listRevision }

// OpenCalls is how many calls are out.
func (r *Core) OpenCalls() int { return r.openCalls }

// UnansweredRequests is how many requests have no answer yet.
func (r *Core) UnansweredRequests() int { return len(r.unanswered) }

// EndpointCount is how many endpoints are known.
func (r *Core) EndpointCount() int {
	if s := r.passivation.store; s != nil {
		return len(r.endpoints) + s.Endpoints()
	}
	return len(r.endpoints)
}

// ShuttingDown tells whether it is to end, and for how long.
func (r *Core) ShuttingDown(now policy.Time) (policy.Time, bool) {
	return now - r.shutdownAt, r.shuttingDown
}

func (r *Core) wall(t policy.Time) int64 { return r.settings.Epoch + t }

func (r *Core) fromWall(us int64) policy.Time { return us - r.settings.Epoch }

func (r *Core) emit(e Effect) { r.effects = append(r.effects, e) }

func (r *Core) log(level slog.Level, text string, args ...any) {
	r.emit(Log{Level: level, Text: text, Args: args})
}

func (r *Core) reply(q *Request, reply Reply) {
	r.emit(SendReply{Request: q, Reply: reply})
}

func (r *Core) appendRecord(rec *Record) { r.emit(AppendRecord{Record: rec}) }

// Observe takes what happened without letting the policy decide on it yet, and
// appends what follows at once to fx.
func (r *Core) Observe(now policy.Time, events []Event, fx []Effect) []Effect {
	r.now, r.effects = max(now, r.now), fx
	later := r.deferredEvents
	r.deferredEvents = nil
	for i := range later {
		r.handleEvent(later[i])
	}
	for i := range events {
		r.handleEvent(events[i])
	}
	return r.takeEffects()
}

func (r *Core) takeEffects() []Effect {
	fx := r.effects
	r.effects = nil
	return fx
}

// Step takes what happened by now, lets the policy decide, and appends what is
// to be done to fx, in order.
func (r *Core) Step(now policy.Time, events []Event, fx []Effect) []Effect {
	r.effects = r.Observe(now, events, fx)
	if r.listUpdate != nil && r.applyListBatch(r.listBatchSize) {
		r.emit(StepAgain{})
	}
	if r.timers.due(r.now) {
		r.policyEvents = append(r.policyEvents, policy.Event{Kind: policy.EvTimer})
	}
	if len(r.policyEvents) > 0 {
		r.runPolicy()
	}
	r.passivateIdle()
	if args := r.metrics.Flush(r.wall(r.now)); args != nil {
		r.log(slog.LevelInfo, metrics.LogText, args...)
	}
	return r.takeEffects()
}

// RecoverMessages takes up what an earlier process left owed, oldest first, and what it
// handed over beside the log, if it could: its moments lie shift later on this
// core's clock.
func (r *Core) RecoverMessages(now policy.Time, owed []*Record, carried *HandoverState, shift policy.Time, fx []Effect) []Effect {
	r.now, r.effects = max(now, r.now), fx
	r.finishListUpdate()
	var calls map[string]*HandoverCall
	var worth map[string]float64
	if carried != nil {
		calls, worth = r.importHandover(carried, shift)
	}
	for _, rec := range owed {
		m := r.addMessage(rec)
		m.acknowledged, m.logged, m.attempts, m.traced = true, true, rec.Attempts, true
		if rec.Notice != "" {
			m.finished = true
			r.removeMessage(m)
			r.emit(SendNotice{Notice: Notice{rec.ID, rec.Notice, rec.RetryMS}})
			continue
		}
		class, ok := r.settings.Classes[rec.Class]
		r.classifyRecovered(m)
		if !ok { // the settings have changed: nothing is promised of its effect
			m.finished = true
			r.removeMessage(m)
			r.countRecoveredUnsent(m, NoticeGivenUp, policy.UnknownClass.String())
			r.appendEnding(m, NoticeGivenUp, 0) // and it counts nowhere else: its class has no figure
			continue
		}
		e := policy.Event{Kind: policy.EvMessageSubmitted, Message: m.number, Class: class, Destination: rec.Dest, Tenant: -1,
			TimeLeft: r.fromWall(rec.Deadline) - r.now, Attempts: rec.Attempts, FirstUncertainZone: rec.FirstUncertainZone,
			Recovered: carried == nil}
		r.activate(rec.Dest)
		r.knownDestinations[rec.Dest] = true // once, or it would not have been taken on
		r.passivation.roster.Touch(rec.Dest, r.now)
		if w, ok := worth[rec.ID]; ok {
			e.Weight = w // its tenant's share was asked already
		} else if t, ok := r.settings.Tenants[rec.Tenant]; ok {
			e.Tenant = t
		}
		if rec.FirstUncertainAt != 0 {
			e.FirstUncertainAt = max(r.fromWall(rec.FirstUncertainAt), 1)
		}
		if k := calls[rec.ID]; k != nil {
			r.resumeCall(m, k, shift, &e)
		}
		r.policyEvents = append(r.policyEvents, e)
		r.metrics.Add(rec.Dest, metrics.Recovered, 1)
		r.log(slog.LevelInfo, msgtrace.Recovered, "message", rec.ID, "class", rec.Class, "tries", rec.Attempts,
			"may_have_run", rec.FirstUncertainAt != 0, "left_ms", e.TimeLeft/1000)
	}
	return r.takeEffects()
}

func (r *Core) addMessage(rec *Record) *message {
	r.lastMessageNumber++
	m := &message{number: r.lastMessageNumber, record: rec, receivedAt: r.now}
	r.messages[m.number], r.messagesByID[rec.ID] = m, m
	r.heldMessages++
	return m
}

// mustDeferSend reports whether a call of a message is no longer begun, since the
// process will not be there for its end. The policy goes on to hold it to be
// out; the next process takes the message up from the log.
func (r *Core) mustDeferSend(m *message) bool {
	if r.handingOver || r.sendsDeferred {
		return true
	}
	if !r.shuttingDown {
		return false
	}
	last := StopSendsAfter
	if i, ok := r.settings.Classes[m.record.Class]; ok && r.settings.Policy.Classes[i].Idempotency == policy.NonIdempotent {
		last = stopNonIdempotentSendsAfter
	}
	return r.now-r.shutdownAt >= last
}

// handleEvent books one event and says it in the policy's words.
func (r *Core) handleEvent(e Event) {
	switch e := e.(type) {
	case Submitted:
		r.submit(e.Request)
	case ReplyDelivered:
		r.replyDelivered(e.Request, e.OK)
	case LogWriteFailed:
		r.rejectNotLogged(e.Request)
	case EndpointListUpdated:
		r.applyList(e.List, e.Kind)
	case AttemptFinished:
		r.finishAttempt(e.Call, e.Result, true)
	case AttemptNotLogged:
		r.finishAttempt(e.Call, &Result{Outcome: policy.NotSent, Err: errNotLogged}, false)
	case HealthChecked:
		r.policyEvents = append(r.policyEvents, policy.Event{Kind: policy.EvHealthChecked, Endpoint: e.Endpoint,
			Outcome: e.Result.Outcome, Latency: e.Result.Elapsed, Load: e.Result.Load})
	case IdentityRejected:
		r.policyEvents = append(r.policyEvents, policy.Event{Kind: policy.EvIdentityRejected, Endpoint: e.Endpoint, RetryAfter: e.Wait})
	case Started:
		r.start()
	case ShutdownRequested:
		r.beginShutdown()
	}
}

// rejectNotLogged rejects a message that the log has no room for.
func (r *Core) rejectNotLogged(q *Request) {
	if m := r.unanswered[q]; m != nil {
		delete(r.unanswered, q)
		r.withdraw(m)
	}
	r.countOutcome(q.Record.Class, countDeferred)
	r.reply(q, Reply{})
}

// beginShutdown begins the end of the relay, once.
func (r *Core) beginShutdown() {
	if r.shuttingDown {
		return
	}
	r.shuttingDown, r.shutdownAt = true, r.now
	r.log(slog.LevelInfo, msgtrace.Stopping, "held", r.heldMessages, "calls", r.openCalls)
}

var errNotLogged = errors.New("attempt not logged")

// submit shows a message to the policy. Whether it is taken on shows in the
// step: what the policy ends there is refused with no further ado.
func (r *Core) submit(q *Request) {
	r.metrics.Add(q.Record.Dest, metrics.Submitted, 1)
	switch old := r.messagesByID[q.Record.ID]; {
	case r.shuttingDown && !r.acceptsDuringShutdown(q):
		r.countOutcome(q.Record.Class, countDeferred)
		r.metrics.Add(q.Record.Dest, metrics.HandedBackPrefix+"stopping", 1)
		r.reply(q, Reply{RetryAfterMS: shutdownRetryMS})
		return
	case old != nil && old.acknowledged: // it is ours already
		r.reply(q, Reply{OK: true})
		return
	case old != nil:
		r.reply(q, Reply{Err: errors.New("id is being handed in already")})
		return
	case len(r.knownDestinations) > 0 && !r.knowsDestination(q.Record.Dest):
		// It would be held for nothing, and the policy keeps each destination
		// for good. One whose endpoints are only gone for now has been named.
		r.countOutcome(q.Record.Class, countFailed)
		r.reply(q, Reply{Err: fmt.Errorf("dest: no list names %d", q.Record.Dest)})
		return
	case r.settings.Policy.MaxPending > 0 && r.heldMessages >= r.settings.Policy.MaxPending:
		r.countOutcome(q.Record.Class, countDeferred)
		r.metrics.Add(q.Record.Dest, metrics.HandedBackPrefix+"most_held", 1)
		r.reply(q, Reply{})
		return
	}
	r.activate(q.Record.Dest)
	r.passivation.roster.Touch(q.Record.Dest, r.now)
	m := r.addMessage(q.Record)
	m.request = q
	if m.traced = r.traceSampler.Sample(r.wall(r.now)); !m.traced {
		r.metrics.Add(q.Record.Dest, metrics.Untraced, 1)
	}
	r.unanswered[q] = m
	r.policyEvents = append(r.policyEvents, policy.Event{Kind: policy.EvMessageSubmitted, Message: m.number, Class: q.Class,
		Destination: q.Record.Dest, Tenant: q.Tenant, TimeLeft: r.fromWall(q.Record.Deadline) - r.now})
}

// acceptsDuringShutdown: until its process is killed the relay's slots would stand
// empty, while the other relays carry its part. What can go out at once and be
// answered by then is still taken on; what would wait for the next process is
// better handed in elsewhere.
func (r *Core) acceptsDuringShutdown(q *Request) bool {
	last := stopAcceptingAfter
	if r.settings.Policy.Classes[q.Class].Idempotency == policy.NonIdempotent {
		last = CloseClientsAfter
	}
	return r.now-r.shutdownAt < last && !r.hasBacklog()
}

func (r *Core) hasBacklog() bool {
	return r.heldMessages-r.openCalls >= max(r.settings.Policy.MaxConcurrentCalls/2, 1)
}

// KeepsClientConnections reports whether a relay that ends has use for its clients'
// connections: one that would refuse what comes on them is better without, since
// a client comes again on the connection that it has.
func (r *Core) KeepsClientConnections(now policy.Time) bool {
	return now-r.shutdownAt < CloseClientsAfter && !r.hasBacklog()
}

// replyDelivered: the client has its answer, or left before it.
func (r *Core) replyDelivered(q *Request, ok bool) {
	m := r.unanswered[q]
	if m == nil {
		return
	}
	delete(r.unanswered, q)
	if !ok {
		r.trace(m, msgtrace.Withdrawn, "waited_ms", q.Queued/1000, "answer_ms", (r.now-m.receivedAt)/1000)
		r.withdraw(m)
		return
	}
	m.acknowledged = true
	r.trace(m, msgtrace.Accepted, "left_ms", r.remainingMS(m), "waited_ms", q.Queued/1000, "answer_ms", (r.now-m.receivedAt)/1000)
	if a := m.pendingSend; a != nil && !r.mustDeferSend(m) {
		m.pendingSend = nil
		r.startAttempt(m, a)
	}
	if e := m.pendingEnding; e != nil {
		m.pendingEnding = nil
		r.appendEnding(m, e.Notice, e.RetryMS)
	}
}

// remainingMS is how much time a message has, in ms.
func (r *Core) remainingMS(m *message) int64 { return (r.fromWall(m.record.Deadline) - r.now) / 1000 }

// trace tells the log one thing of a message that it tells of.
func (r *Core) trace(m *message, line string, args ...any) {
	if m.traced {
		r.log(slog.LevelInfo, line, append([]any{"message", m.record.ID, "class", m.record.Class, "dest", m.record.Dest, "tries", m.attempts}, args...)...)
	}
}

// withdraw: nobody wants the message any more, and nobody was told it is ours.
func (r *Core) withdraw(m *message) {
	if m.logged {
		r.appendRecord(&Record{Kind: RecordDone, ID: m.record.ID})
	}
	m.pendingEnding = nil
	if !m.finished {
		m.finished = true
		r.removeMessage(m)
		r.policyEvents = append(r.policyEvents, policy.Event{Kind: policy.EvMessageWithdrawn, Message: m.number})
	}
	if a := m.pendingSend; a != nil {
		m.pendingSend = nil
		r.reportNotSent(m, a.Endpoint)
	}
}

// removeMessage: the policy holds the message no longer.
func (r *Core) removeMessage(m *message) {
	r.heldMessages--
	delete(r.messagesByID, m.record.ID)
	if m.call == nil && m.pendingSend == nil {
		delete(r.messages, m.number)
	}
}

func (r *Core) updateEndpoint(x *Member) policy.EndpointUpdate {
	ep := r.endpointsByID[x.ID]
	if ep == nil {
		r.lastEndpointNumber++
		ep = &endpoint{id: x.ID, number: r.lastEndpointNumber}
		r.endpointsByID[x.ID], r.endpointsByNumber[ep.number] = ep, ep
		r.endpoints = append(r.endpoints, ep)
	}
	if x.Phase != Removed && (ep.hostPort != x.HostPort || ep.dest != x.Dest || ep.flavor != x.Flavor && r.settings.ConnectionCost != nil) {
		// It moved under its old name, or is to prove itself in another way:
		// nothing more goes to the old place.
		r.retireEndpoint(ep)
		ep.hostPort, ep.dest, ep.flavor = x.HostPort, x.Dest, x.Flavor
	}
	if x.Phase == Up && (!ep.open || ep.retired) {
		ep.open = true
		r.emit(OpenEndpoint{Endpoint: ep.number, Address: ep.hostPort, Dest: ep.dest, Flavor: x.Flavor, Apart: r.hasIndependentRoutes(x.Flavor)})
	}
	if until := r.retryAfterOf(ep); until > r.now { // also for one that joins a destination which has told it
		r.emit(ApplyRetryAfter{Endpoint: ep.number, Until: until})
	}
	if x.Phase != Removed {
		r.knownDestinations[x.Dest] = true
	}
	entry := policy.EndpointUpdate{Endpoint: ep.number, Zone: indexOf(r.settings.Zones, x.Locality), Kind: indexOf(r.settings.Kinds, x.Flavor),
		Destination: x.Dest, State: policy.Ready, Rate: x.Rate}
	if ep.zone = entry.Zone; r.settings.ConnectionCost != nil {
		entry.ConnectCost = r.settings.ConnectionCost(x.Dest, x.Flavor)
	}
	if ep.listed = x.Phase != Removed; ep.listed {
		ep.member = *x
	}
	switch x.Phase {
	case Up:
		ep.retired = false
	case Draining:
		entry.State = policy.Draining
		r.retireEndpoint(ep)
	case Removed:
		entry.State, entry.Destination = policy.Gone, ep.dest
		r.retireEndpoint(ep)
	}
	return entry
}

// retireEndpoint lets nothing new go to an endpoint; a call that still waits for a
// connection there would begin it too late.
func (r *Core) retireEndpoint(ep *endpoint) {
	if !ep.retired {
		ep.retired, ep.retiredAt = true, r.now
	}
	if ep.open {
		r.emit(CloseEndpoint{Endpoint: ep.number})
	}
}

func indexOf(at map[string]int, name string) int {
	if i, ok := at[name]; ok {
		return i
	}
	return -1
}

// runPolicy lets the policy decide on what has happened, and acts.
func (r *Core) runPolicy() {
	events := r.policyEvents
	r.policyEvents = nil
	fresh := make([]*message, 0, len(events))
	for i := range events {
		if events[i].Kind == policy.EvMessageSubmitted {
			if m := r.messages[events[i].Message]; m != nil && m.request != nil {
				fresh = append(fresh, m)
			}
		}
	}
	r.actions = r.policy.Step(r.now, events, r.actions[:0])
	// First the ends, so that what was never taken on is not logged; then the
	// log, so that no send comes before it.
	for i := range r.actions {
		switch a := &r.actions[i]; a.Kind {
		case policy.ActReject:
			r.endMessage(a, NoticeHandedBack)
		case policy.ActFail:
			r.endMessage(a, NoticeGivenUp)
		}
	}
	for _, m := range fresh {
		if m.request != nil && !m.finished { // its client hears of it once it is logged
			q := m.request
			m.request, m.logged = nil, true
			r.metrics.Add(m.record.Dest, metrics.Accepted, 1)
			r.emit(AppendThenReply{Request: q})
		}
	}
	for i := range r.actions {
		r.executeAction(r.now, &r.actions[i])
	}
}

// endMessage carries out a final answer.
func (r *Core) endMessage(a *policy.Action, word string) {
	m := r.messages[a.Message]
	if m == nil || m.finished {
		return
	}
	m.finished = true
	ms := (a.After + 999) / 1000
	if word == NoticeHandedBack {
		r.countOutcome(m.record.Class, countDeferred)
		r.metrics.Add(m.record.Dest, metrics.HandedBackPrefix+a.Reason.String(), 1)
	} else {
		r.countOutcome(m.record.Class, countFailed)
		r.metrics.Add(m.record.Dest, metrics.GivenUp, 1)
	}
	if q := m.request; q != nil { // not taken on: the client hears it at once
		m.request = nil
		delete(r.unanswered, q)
		if word == NoticeHandedBack {
			r.reply(q, Reply{RetryAfterMS: ms})
		} else {
			r.reply(q, Reply{Err: errors.New("given up")})
		}
		r.trace(m, msgtrace.Rejected, "outcome", word, "why", a.Reason.String(), "left_ms", r.remainingMS(m), "waited_ms", q.Queued/1000)
		r.removeMessage(m)
		return
	}
	r.removeMessage(m)
	r.countRecoveredUnsent(m, word, a.Reason.String())
	r.log(slog.LevelInfo, msgtrace.Ended, "message", m.record.ID, "class", m.record.Class, "dest", m.record.Dest, "outcome", word, "why", a.Reason.String(), "tries", m.attempts,
		"left_ms", r.remainingMS(m))
	if !m.acknowledged {
		m.pendingEnding = &Record{Notice: word, RetryMS: ms}
		return
	}
	r.appendEnding(m, word, ms)
}

// appendEnding logs how a message ended and has the platform told.
func (r *Core) appendEnding(m *message, word string, ms int64) {
	if word == NoticeGivenUp {
		ms = 0
	}
	r.emit(AppendThenNotify{Record: &Record{Kind: RecordEnding, ID: m.record.ID, Notice: word, RetryMS: ms}, Notice: Notice{m.record.ID, word, ms}})
}

// executeAction carries out what is no final answer.
func (r *Core) executeAction(now policy.Time, a *policy.Action) {
	switch a.Kind {
	case policy.ActSend:
		m := r.messages[a.Message]
		if m == nil {
			return
		}
		m.attempts++
		c := *a
		if m.acknowledged && !r.mustDeferSend(m) {
			r.startAttempt(m, &c)
		} else {
			m.pendingSend = &c
		}
	case policy.ActCancel:
		if m := r.messages[a.Message]; m != nil && a.Attempt == m.attempts-1 {
			switch {
			case m.call != nil:
				r.emit(CancelCall{Call: m.call})
			case m.pendingSend != nil:
				ep := m.pendingSend.Endpoint
				m.pendingSend = nil
				r.reportNotSent(m, ep)
			}
		}
	case policy.ActTimer:
		r.timers.add(now + a.After)
	case policy.ActHealthCheck:
		if r.sendsDeferred {
			r.deferredHealthChecks = append(r.deferredHealthChecks, a.Endpoint)
		} else if ep := r.endpointsByNumber[a.Endpoint]; ep != nil && !ep.retired {
			r.checkHealth(ep)
		}
	case policy.ActCloseIdle:
		if ep := r.endpointsByNumber[a.Endpoint]; ep != nil && ep.open {
			r.emit(CloseIdleConnections{Endpoint: a.Endpoint})
		}
	case policy.ActLog:
		r.stateVersion++ // a verdict, or the end of one
		r.log(slog.LevelInfo, "policy", "says", a.Text)
	}
}

func (r *Core) checkHealth(ep *endpoint) {
	r.metrics.Add(ep.dest, metrics.HealthChecks, 1)
	r.emit(CheckHealth{Endpoint: ep.number})
}

// reportNotSent tells the policy of an attempt that never left, in the next step.
func (r *Core) reportNotSent(m *message, ep policy.EndpointID) {
	r.deferredEvents = append(r.deferredEvents, AttemptNotLogged{Call: &Call{Record: m.record, message: m, endpoint: r.endpointsByNumber[ep], attempt: m.attempts - 1}})
	r.emit(StepAgain{})
}

// startAttempt logs an attempt, which is then made.
func (r *Core) startAttempt(m *message, a *policy.Action) {
	ep := r.endpointsByNumber[a.Endpoint]
	limit := a.TimeoutAt - r.now
	if ep == nil || ep.retired || ep.dest != m.record.Dest || limit <= 0 || m.finished || a.LastByteBy > 0 && r.now > a.LastByteBy {
		r.reportNotSent(m, a.Endpoint)
		return
	}
	c := &Call{Record: m.record, Endpoint: ep.number, Timeout: limit, SendBy: a.LastByteBy, WarmingUp: a.Recovering, MayConnect: a.OpensConnection, message: m, endpoint: ep, independentRoute: r.hasIndependentRoutes(ep.flavor), attempt: m.attempts - 1, sentAt: r.now}
	m.call = c
	ep.calls = append(ep.calls, c)
	r.openCalls++
	r.metrics.Add(m.record.Dest, metrics.Attempts, 1)
	if ep.zone != r.settings.Policy.Zone {
		r.metrics.Add(m.record.Dest, metrics.CrossZoneAttempts, 1)
	}
	if m.attempts == 1 {
		r.metrics.Add(m.record.Dest, metrics.FirstAttempts, 1)
		r.metrics.Add(m.record.Dest, metrics.FirstAttemptDelayMS, (r.now-m.receivedAt)/1000)
	}
	r.emit(AppendThenSend{Record: &Record{Kind: RecordAttempt, ID: m.record.ID, At: r.wall(r.now), Zone: ep.zone}, Call: c})
}

// hasIndependentRoutes reports whether the endpoints of a flavour are routes of their own.
func (r *Core) hasIndependentRoutes(flavor string) bool {
	i := indexOf(r.settings.Kinds, flavor)
	return i >= 0 && i < len(r.settings.Policy.DestinationKinds) && r.settings.Policy.DestinationKinds[i].IndependentRoutes
}

// recordRetryAfter books what a call was told: nothing may go to its endpoint before a
// moment, nor to the others of its destination where they are no routes apart.
// That holds also if the endpoint has moved since, or leaves and comes back, and
// never shortens.
func (r *Core) recordRetryAfter(c *Call, until policy.Time) {
	if c.independentRoute {
		c.endpoint.retryAfter = max(c.endpoint.retryAfter, until)
	} else {
		r.retryAfter[c.Record.Dest] = max(r.retryAfter[c.Record.Dest], until)
	}
	if c.endpoint.dest == c.Record.Dest && r.hasIndependentRoutes(c.endpoint.flavor) == c.independentRoute {
		r.emit(ApplyRetryAfter{Endpoint: c.endpoint.number, Until: until})
	}
}

// retryAfterOf is the end of the wait that binds an endpoint.
func (r *Core) retryAfterOf(ep *endpoint) policy.Time {
	if r.hasIndependentRoutes(ep.flavor) {
		return ep.retryAfter
	}
	return r.retryAfter[ep.dest]
}

// outcomeMetrics are the outcomes in the tally's words.
var outcomeMetrics = map[policy.Outcome]string{policy.Delivered: metrics.Delivered, policy.Failed: metrics.Failed, policy.Rejected: metrics.Rejected,
	policy.TimedOut: metrics.TimedOut, policy.ConnectFailed: metrics.ConnectFailed, policy.ConnectionReset: metrics.ConnectionReset, policy.Cancelled: metrics.Cancelled, policy.NotSent: metrics.NotSent}

// finishAttempt books the end of an attempt.
func (r *Core) finishAttempt(c *Call, o *Result, logged bool) {
	m := c.message
	if r.completedCalls++; o.Outcome != policy.Delivered && o.Outcome != policy.NotSent && o.Outcome != policy.Cancelled {
		r.stateVersion++
	}
	e := policy.Event{Kind: policy.EvAttemptEnded, Message: m.number, Attempt: c.attempt, Outcome: o.Outcome, RetryAfter: o.RetryAfter,
		NoFreeSlot: o.SlotsExhausted, NotCounted: o.neverLeft(), ConnectionsOpened: o.ConnectionsOpened, MessageFinished: o.Final || m.finished, Latency: o.Elapsed, Load: o.Load}
	if c.endpoint != nil {
		e.Endpoint = c.endpoint.number
		if o.RetryAfter > 0 && o.Outcome != policy.NotSent { // that one is of our own making
			r.recordRetryAfter(c, r.now+o.RetryAfter)
		}
		c.endpoint.calls = slices.DeleteFunc(c.endpoint.calls, func(x *Call) bool { return x == c })
	}
	if m.call == c {
		m.call = nil
		r.openCalls--
	}
	r.metrics.Add(m.record.Dest, outcomeMetrics[o.Outcome], 1)
	r.countRecoveredAttempt(m, o.Outcome)
	r.metrics.Add(m.record.Dest, metrics.ConnectionsOpened, int64(o.ConnectionsOpened))
	r.policyEvents = append(r.policyEvents, e)
	if c.endpoint != nil && c.endpoint.open && c.endpoint.suspectsIdleConnections(o, r.now) {
		r.emit(CloseIdleConnections{Endpoint: c.endpoint.number})
	}
	if o.Outcome != policy.Delivered {
		r.log(slog.LevelInfo, msgtrace.AttemptFailed, "message", m.record.ID, "dest", m.record.Dest, "class", m.record.Class, "endpoint", e.Endpoint,
			"attempt", c.attempt, "outcome", int(o.Outcome), "status", o.Status, "took_ms", o.Elapsed/1000, "err", o.Err)
	}
	if o.Final && !m.finished { // told first: a kill in between must not leave a message with neither a line nor a record
		line := msgtrace.EndpointFinished
		if o.Outcome == policy.Delivered {
			line = msgtrace.Delivered
		}
		r.trace(m, line, "endpoint", e.Endpoint, "took_ms", o.Elapsed/1000, "left_ms", r.remainingMS(m))
	}
	switch {
	case o.Final:
		r.appendRecord(&Record{Kind: RecordDone, ID: m.record.ID})
	case logged:
		r.appendRecord(&Record{Kind: RecordOutcome, ID: m.record.ID, MayHaveRun: !o.Outcome.NeverRan(), NotCounted: o.neverLeft()})
	}
	if o.Final && !m.finished {
		if o.Outcome == policy.Delivered {
			r.countOutcome(m.record.Class, countDelivered)
		}
		m.finished = true
		r.removeMessage(m)
		return
	}
	if m.finished {
		delete(r.messages, m.number)
	}
}
