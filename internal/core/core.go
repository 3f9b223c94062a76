// Package core is the relay without its sockets, files and clocks: events go
// in, it steps the policy, and effects come out for drivers to carry out.
//
// It owns which messages are held, which calls are out, and the order in which
// things are logged, answered and sent: a message that ends in the step that
// took it is refused and never logged; else it is logged, then answered, then
// sent; each attempt is logged before its first byte. It must never begin a
// goroutine, look at a clock, touch a socket or a file, draw a random number or
// depend on the order of a map: the same events at the same times give the same
// effects. It decides nothing that package decide can decide.
package core

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"

	"troutusher/decide"
	"troutusher/internal/dormant"
	"troutusher/internal/story"
	"troutusher/internal/tally"
)

// Figures of a planned end. A relay has 3.7 s from SIGTERM until it is killed.
const (
	StopListen = decide.Time(1000e3) // new connections still come for a while
	StopKeep   = decide.Time(1600e3) // clients keep their connections until then at the latest
	stopTake   = decide.Time(2100e3) // what still comes on them is taken on if it can go out at once
	stopUnsafe = decide.Time(1600e3) // no unsafe call begins after this: cut short, it would be lost
	StopSends  = decide.Time(2400e3) // no call at all
	StopCalls  = decide.Time(3300e3) // what is out by then stays open in the log
	stopRetry  = 400                 // ms after which a client may come again, to another relay
	forgetGone = decide.Time(10e6)   // how long an endpoint that left is remembered
)

// Settings are what a core is told at its start.
type Settings struct {
	Policy  decide.Settings
	Seed    uint64
	Epoch   int64 // Unix microseconds at moment 0 of its clock
	Zones   map[string]int
	Kinds   map[string]int
	Classes map[string]int
	Tenants map[string]int
	// Stories is how many messages a second the log tells of from their hand-in on.
	Stories int
	// Rest says which destinations rest; the zero value is for none.
	Rest dormant.Limits
	// Opening is what a connection to a destination of a flavour takes there,
	// in calls; nil where that costs nothing anywhere. It must not change.
	Opening func(dest int, flavor string) float64
}

// Request is a message that a client hands in. It is answered once.
type Request struct {
	Rec    *Record
	Class  int
	Tenant int
	Waited decide.Time // how long it may have stood unread; its deadline counts from before
	Handle any         // the driver's
}

// Call is one attempt of a message. The driver makes it once it is logged.
type Call struct {
	Rec      *Record // of its message
	Endpoint decide.EndpointID
	Limit    decide.Time // how long it may take
	By       decide.Time // its last byte goes out by then or never; 0 for any time
	Cold     bool        // at an endpoint where one connection is opened at a time
	Opens    bool        // one is paid for; at a cold endpoint none else is opened
	Handle   any         // the driver's

	m       *message
	ep      *endpoint
	apart   bool // its endpoint is a route of its own
	attempt int
	sent    decide.Time
}

// Sent is when the call was begun.
func (c *Call) Sent() decide.Time { return c.sent }

// Result is what became of a call or a probe.
type Result struct {
	What    decide.Outcome
	Wait    decide.Time
	Slots   bool // not sent, since all slots were taken
	Settled bool // the message is over
	Opened  int  // connections that were opened for it
	Took    decide.Time
	Load    decide.LoadReport
	Status  int
	Spoilt  bool // an answer came and cannot be believed
	Err     error
}

// never reports whether an attempt never left the relay: nobody was asked.
func (o *Result) never() bool { return o.What == decide.NotSent && o.Status == 0 }

// EventKind is what happened.
type EventKind uint8

// Kinds of event, and what comes with each.
const (
	Put      EventKind = iota + 1 // Request
	Said                          // Request, OK: it was answered, or its client left before
	Lost                          // Request: the log could not take it
	News                          // List, Kind
	Finished                      // Call, Result
	Unsent                        // Call: its attempt could not be logged
	Probed                        // Endpoint, Result
	Barred                        // Endpoint, Wait: its identity is not proved; 0 where it is again
	Stop                          // the relay is to end
	Begin                         // ends Await: the list was heard, or waited for long enough
)

// Event is one thing that happened.
type Event struct {
	Kind     EventKind
	Request  *Request
	OK       bool
	List     *List
	News     decide.ListUpdateKind
	Call     *Call
	Endpoint decide.EndpointID
	Wait     decide.Time
	Result   *Result
}

// EffectKind is what is to be done.
type EffectKind uint8

// Kinds of effect, and what comes with each. Those that begin with Log write
// the record; what they name besides follows once that is done, and never
// before.
const (
	Answer        EffectKind = iota + 1 // Request, Reply
	LogOnly                             // Record
	LogThenAnswer                       // Record, Request: the answer is OK, or Lost comes back
	LogThenSend                         // Record, Call: or Unsent comes back
	GoOn                                // Call: it is out already, whole; its end is waited for
	LogThenNotice                       // Record, Notice: which goes out even if it could not be logged
	Notify                              // Notice, which is logged already
	Cancel                              // Call
	Probe                               // Endpoint
	Open                                // Endpoint, Address, Dest, Flavor, Apart: calls may come there
	Shut                                // Endpoint: nothing is kept there, nothing new begun, though it is logged already
	Hold                                // Endpoint, Until: nothing goes there before, nor to what shares its wait
	CloseIdle                           // Endpoint: its idle connections are of no more use
	Forget                              // Endpoint
	Rest                                // Dest: nothing is kept of it; what binds it is told again as it wakes
	Tell                                // Level, Text, Args: for the log of the process
	Again                               // step again, also if nothing happens
)

// Reply is the answer to a request.
type Reply struct {
	OK    bool
	Fault error // if not nil, what is wrong with it
	Busy  int64 // else it is refused; ms after which to come again, 0 where not known
}

// Effect is one thing to be done.
type Effect struct {
	Kind     EffectKind
	Request  *Request
	Reply    Reply
	Record   *Record
	Call     *Call
	Notice   Notice
	Endpoint decide.EndpointID
	Address  string
	Dest     int
	Flavor   string
	Apart    bool // a wait of the endpoint binds it alone
	Until    decide.Time
	Level    slog.Level
	Text     string
	Args     []any
}

// message is what is known of a message from when it is handed in until it is
// over and its last call is back.
type message struct {
	num     uint32
	rec     *Record
	since   decide.Time
	req     *Request // until it is answered
	heard   bool     // its client knows that it is taken on
	logged  bool     // the log has it, or will
	over    bool     // the policy has ended it, or was told so
	tries   int
	told    bool           // the log tells of it from its hand-in on
	pending *decide.Action // a send that waits for the client to have heard
	ending  *Record        // its end, likewise
	found   foundAs
	call    *Call
}

// endpoint is one address of a destination.
type endpoint struct {
	id        string
	num       decide.EndpointID
	cell      int
	zone      int
	hostPort  string
	flavor    string
	open      bool   // the driver has a place for its connections
	member    Member // as the list last had it
	listed    bool   // the list holds it, draining maybe
	gone      bool   // drained or removed: nothing new goes there
	goneAt    decide.Time
	waitUntil decide.Time // told to wait, where it is a route of its own
	answerAt  decide.Time // when it last answered at all
	calls     []*Call
}

// suspect books how a call went and reports whether the endpoint's idle
// connections are to be given up. After a machine was silent or died, each of
// them would hang or be reset under a call that may then have run.
func (ep *endpoint) suspect(o *Result, now decide.Time) bool {
	switch o.What {
	case decide.ConnectionReset, decide.ConnectFailed:
		return true
	case decide.TimedOut, decide.Cancelled:
		return ep.answerAt < now-o.Took // others that were sent later were answered: one slow call
	}
	if o.Status != 0 || o.Spoilt {
		ep.answerAt = now
	}
	return false
}

// Core is one relay.
type Core struct {
	set       Settings
	policy    *decide.Engine
	now       decide.Time
	lastNum   uint32
	lastEnd   decide.EndpointID
	msgs      map[uint32]*message
	ids       map[string]*message
	waiting   map[*Request]*message // whose clients have no answer yet
	endpoints []*endpoint           // in the order in which they came
	byID      map[string]*endpoint
	byNum     map[decide.EndpointID]*endpoint
	named     map[int]bool        // destinations that a list has named
	waits     map[int]decide.Time // ends of the waits that destinations have told
	rest      rests
	booking   *booking // a list of which a part is not booked yet
	pieces    int      // members of it that are booked in one step
	events    []decide.Event
	actions   []decide.Action
	later     []Event // for the next step
	timers    timers
	ends      []Ends // of each class
	tally     *tally.Tally
	stories   *story.Budget
	held      int
	calls     int
	rev       int64               // of the list
	stirred   uint64              // what a restart should not forget
	moved     uint64              // calls that have ended
	ceding    bool                // no new call is begun
	awaiting  bool                // likewise, since the list may be old
	probes    []decide.EndpointID // asked for meanwhile
	stopping  bool
	stopAt    decide.Time
	fx        []Effect
}

// New makes a core that holds nothing.
func New(s Settings) (*Core, error) {
	policy, err := decide.New(s.Policy, s.Seed)
	if err != nil {
		return nil, err
	}
	return &Core{set: s, policy: policy, msgs: map[uint32]*message{}, ids: map[string]*message{}, waiting: map[*Request]*message{},
		byID: map[string]*endpoint{}, byNum: map[decide.EndpointID]*endpoint{}, named: map[int]bool{}, waits: map[int]decide.Time{},
		ends: make([]Ends, len(s.Policy.Classes)), tally: tally.New(), stories: story.NewBudget(s.Stories),
		pieces: listAtOnce, rest: rests{roster: dormant.NewRoster(s.Rest), wary: map[int]bool{}}}, nil
}

// Ends are how many messages of a class ended in each way: delivered; refused
// or handed back, so that to come again does no harm; failed. Each is counted
// when it is certain: as the answer of the call is heard, as the refusal is
// given, or as the end is logged and told. One that its client left before it
// was taken on counts nowhere, and neither does one whose end the endpoint knew
// (410).
type Ends struct{ Answered, Deferred, Errored int64 }

// Ends shows the count of each class since the start, in the settings' order.
func (r *Core) Ends() []Ends { return r.ends }

// Cluster is how many endpoints the list holds, draining ones among them, and
// how many of these get nothing new now.
func (r *Core) Cluster() (listed, avoided int) {
	for _, ep := range r.endpoints {
		if ep.listed {
			listed++
			if ep.gone || r.policy.Avoids(ep.num, r.now) {
				avoided++
			}
		}
	}
	if s := r.rest.store; s != nil {
		listed, avoided = listed+s.Endpoints(), avoided+s.Draining()
	}
	return listed, avoided
}

// count books the end of a message of a class that the settings name.
func (r *Core) count(class string, what func(*Ends)) {
	if i, ok := r.set.Classes[class]; ok {
		what(&r.ends[i])
	}
}

func answered(e *Ends) { e.Answered++ }
func deferred(e *Ends) { e.Deferred++ }
func errored(e *Ends)  { e.Errored++ }

// Next is the moment at which to step though nothing happens; 0 for none.
func (r *Core) Next() decide.Time { return r.timers.next() }

// Held is how many messages are held.
func (r *Core) Held() int { return r.held }

// Revision is that of the list that was heard last.
func (r *Core) Revision() int64 { return r.rev }

// Calls is how many calls are out.
func (r *Core) Calls() int { return r.calls }

// Waiting is how many requests have no answer yet.
func (r *Core) Waiting() int { return len(r.waiting) }

// Endpoints is how many endpoints are known.
func (r *Core) Endpoints() int {
	if s := r.rest.store; s != nil {
		return len(r.endpoints) + s.Endpoints()
	}
	return len(r.endpoints)
}

// Stopping tells whether it is to end, and for how long.
func (r *Core) Stopping(now decide.Time) (decide.Time, bool) { return now - r.stopAt, r.stopping }

func (r *Core) wall(t decide.Time) int64 { return r.set.Epoch + t }

func (r *Core) fromWall(us int64) decide.Time { return us - r.set.Epoch }

func (r *Core) do(e Effect) { r.fx = append(r.fx, e) }

func (r *Core) tell(level slog.Level, text string, args ...any) {
	r.do(Effect{Kind: Tell, Level: level, Text: text, Args: args})
}

func (r *Core) answer(q *Request, reply Reply) { r.do(Effect{Kind: Answer, Request: q, Reply: reply}) }

func (r *Core) log(rec *Record) { r.do(Effect{Kind: LogOnly, Record: rec}) }

// Book takes what happened without letting the policy decide on it yet, and
// appends what follows at once to fx.
func (r *Core) Book(now decide.Time, events []Event, fx []Effect) []Effect {
	r.now, r.fx = max(now, r.now), fx
	later := r.later
	r.later = nil
	for i := range later {
		r.take(&later[i])
	}
	for i := range events {
		r.take(&events[i])
	}
	return r.done()
}

func (r *Core) done() []Effect {
	fx := r.fx
	r.fx = nil
	return fx
}

// Step takes what happened by now, lets the policy decide, and appends what is
// to be done to fx, in order.
func (r *Core) Step(now decide.Time, events []Event, fx []Effect) []Effect {
	r.fx = r.Book(now, events, fx)
	if r.booking != nil && r.bookOn(r.pieces) {
		r.do(Effect{Kind: Again})
	}
	if r.timers.due(r.now) {
		r.events = append(r.events, decide.Event{Kind: decide.EvTimer})
	}
	if len(r.events) > 0 {
		r.step()
	}
	r.putAway()
	if args := r.tally.Turn(r.wall(r.now)); args != nil {
		r.tell(slog.LevelInfo, tally.Line, args...)
	}
	return r.done()
}

// Restore takes up what an earlier process left owed, oldest first, and what it
// handed over beside the log, if it could: its moments lie shift later on this
// core's clock.
func (r *Core) Restore(now decide.Time, owed []*Record, carried *Carried, shift decide.Time, fx []Effect) []Effect {
	r.now, r.fx = max(now, r.now), fx
	r.bookAll()
	var calls map[string]*CarriedCall
	var worth map[string]float64
	if carried != nil {
		calls, worth = r.adopt(carried, shift)
	}
	for _, rec := range owed {
		m := r.newMessage(rec)
		m.heard, m.logged, m.tries, m.told = true, true, rec.Tries, true
		if rec.Notice != "" {
			m.over = true
			r.drop(m)
			r.do(Effect{Kind: Notify, Notice: Notice{rec.ID, rec.Notice, rec.RetryMS}})
			continue
		}
		class, ok := r.set.Classes[rec.Class]
		r.found(m)
		if !ok { // the settings have changed: nothing is promised of its effect
			m.over = true
			r.drop(m)
			r.uncalled(m, GivenUp, decide.UnknownClass.String())
			r.end(m, GivenUp, 0) // and it counts nowhere else: its class has no figure
			continue
		}
		e := decide.Event{Kind: decide.EvMessageSubmitted, Message: m.num, Class: class, Destination: rec.Dest, Tenant: -1,
			TimeLeft: r.fromWall(rec.Deadline) - r.now, Attempts: rec.Tries, FirstUncertainZone: rec.DoubtIn,
			Recovered: carried == nil}
		r.rouse(rec.Dest)
		r.named[rec.Dest] = true // once, or it would not have been taken on
		r.rest.roster.Stir(rec.Dest, r.now)
		if w, ok := worth[rec.ID]; ok {
			e.Weight = w // its tenant's share was asked already
		} else if t, ok := r.set.Tenants[rec.Tenant]; ok {
			e.Tenant = t
		}
		if rec.Doubt != 0 {
			e.FirstUncertainAt = max(r.fromWall(rec.Doubt), 1)
		}
		if k := calls[rec.ID]; k != nil {
			r.goOn(m, k, shift, &e)
		}
		r.events = append(r.events, e)
		r.tally.Add(rec.Dest, tally.Resumed, 1)
		r.tell(slog.LevelInfo, story.Resumed, "message", rec.ID, "class", rec.Class, "tries", rec.Tries,
			"may_have_run", rec.Doubt != 0, "left_ms", e.TimeLeft/1000)
	}
	return r.done()
}

func (r *Core) newMessage(rec *Record) *message {
	r.lastNum++
	m := &message{num: r.lastNum, rec: rec, since: r.now}
	r.msgs[m.num], r.ids[rec.ID] = m, m
	r.held++
	return m
}

// shelve reports whether a call of a message is no longer begun, since the
// process will not be there for its end. The policy goes on to hold it to be
// out; the next process takes the message up from the log.
func (r *Core) shelve(m *message) bool {
	if r.ceding || r.awaiting {
		return true
	}
	if !r.stopping {
		return false
	}
	last := StopSends
	if i, ok := r.set.Classes[m.rec.Class]; ok && r.set.Policy.Classes[i].Idempotency == decide.NonIdempotent {
		last = stopUnsafe
	}
	return r.now-r.stopAt >= last
}

// take books one event and says it in the policy's words.
func (r *Core) take(e *Event) {
	switch e.Kind {
	case Put:
		r.admit(e.Request)
	case Said:
		r.said(e.Request, e.OK)
	case Lost:
		if m := r.waiting[e.Request]; m != nil { // the log has no room: it is not taken on
			delete(r.waiting, e.Request)
			r.withdraw(m)
		}
		r.count(e.Request.Rec.Class, deferred)
		r.answer(e.Request, Reply{})
	case News:
		r.list(e.List, e.News)
	case Finished:
		r.finished(e.Call, e.Result, true)
	case Unsent:
		r.finished(e.Call, &Result{What: decide.NotSent, Err: errNotLogged}, false)
	case Probed:
		r.events = append(r.events, decide.Event{Kind: decide.EvHealthChecked, Endpoint: e.Endpoint,
			Outcome: e.Result.What, Latency: e.Result.Took, Load: e.Result.Load})
	case Barred:
		r.events = append(r.events, decide.Event{Kind: decide.EvIdentityRejected, Endpoint: e.Endpoint, RetryAfter: e.Wait})
	case Begin:
		r.begin()
	case Stop:
		if !r.stopping {
			r.stopping, r.stopAt = true, r.now
			r.tell(slog.LevelInfo, story.Stopping, "held", r.held, "calls", r.calls)
		}
	}
}

var errNotLogged = errors.New("attempt not logged")

// admit shows a message to the policy. Whether it is taken on shows in the
// step: what the policy ends there is refused with no further ado.
func (r *Core) admit(q *Request) {
	r.tally.Add(q.Rec.Dest, tally.In, 1)
	switch old := r.ids[q.Rec.ID]; {
	case r.stopping && !r.takesStopping(q):
		r.count(q.Rec.Class, deferred)
		r.tally.Add(q.Rec.Dest, tally.Back+"stopping", 1)
		r.answer(q, Reply{Busy: stopRetry})
		return
	case old != nil && old.heard: // it is ours already
		r.answer(q, Reply{OK: true})
		return
	case old != nil:
		r.answer(q, Reply{Fault: errors.New("id is being handed in already")})
		return
	case len(r.named) > 0 && !r.knows(q.Rec.Dest):
		// It would be held for nothing, and the policy keeps each destination
		// for good. One whose endpoints are only gone for now has been named.
		r.count(q.Rec.Class, errored)
		r.answer(q, Reply{Fault: fmt.Errorf("dest: no list names %d", q.Rec.Dest)})
		return
	case r.set.Policy.MaxPending > 0 && r.held >= r.set.Policy.MaxPending:
		r.count(q.Rec.Class, deferred)
		r.tally.Add(q.Rec.Dest, tally.Back+"most_held", 1)
		r.answer(q, Reply{})
		return
	}
	r.rouse(q.Rec.Dest)
	r.rest.roster.Stir(q.Rec.Dest, r.now)
	m := r.newMessage(q.Rec)
	m.req = q
	if m.told = r.stories.Take(r.wall(r.now)); !m.told {
		r.tally.Add(q.Rec.Dest, tally.Untold, 1)
	}
	r.waiting[q] = m
	r.events = append(r.events, decide.Event{Kind: decide.EvMessageSubmitted, Message: m.num, Class: q.Class,
		Destination: q.Rec.Dest, Tenant: q.Tenant, TimeLeft: r.fromWall(q.Rec.Deadline) - r.now})
}

// takesStopping: until its process is killed the relay's slots would stand
// empty, while the other relays carry its part. What can go out at once and be
// answered by then is still taken on; what would wait for the next process is
// better handed in elsewhere.
func (r *Core) takesStopping(q *Request) bool {
	last := stopTake
	if r.set.Policy.Classes[q.Class].Idempotency == decide.NonIdempotent {
		last = StopKeep
	}
	return r.now-r.stopAt < last && !r.backlog()
}

func (r *Core) backlog() bool { return r.held-r.calls >= max(r.set.Policy.MaxConcurrentCalls/2, 1) }

// KeepsClients reports whether a relay that ends has use for its clients'
// connections: one that would refuse what comes on them is better without, since
// a client comes again on the connection that it has.
func (r *Core) KeepsClients(now decide.Time) bool {
	return now-r.stopAt < StopKeep && !r.backlog()
}

// said: the client has its answer, or left before it.
func (r *Core) said(q *Request, ok bool) {
	m := r.waiting[q]
	if m == nil {
		return
	}
	delete(r.waiting, q)
	if !ok {
		r.story(m, story.Withdrawn, "waited_ms", q.Waited/1000, "answer_ms", (r.now-m.since)/1000)
		r.withdraw(m)
		return
	}
	m.heard = true
	r.story(m, story.Taken, "left_ms", r.left(m), "waited_ms", q.Waited/1000, "answer_ms", (r.now-m.since)/1000)
	if a := m.pending; a != nil && !r.shelve(m) {
		m.pending = nil
		r.send(m, a)
	}
	if e := m.ending; e != nil {
		m.ending = nil
		r.end(m, e.Notice, e.RetryMS)
	}
}

// left is how much time a message has, in ms.
func (r *Core) left(m *message) int64 { return (r.fromWall(m.rec.Deadline) - r.now) / 1000 }

// story tells the log one thing of a message that it tells of.
func (r *Core) story(m *message, line string, args ...any) {
	if m.told {
		r.tell(slog.LevelInfo, line, append([]any{"message", m.rec.ID, "class", m.rec.Class, "dest", m.rec.Dest, "tries", m.tries}, args...)...)
	}
}

// withdraw: nobody wants the message any more, and nobody was told it is ours.
func (r *Core) withdraw(m *message) {
	if m.logged {
		r.log(&Record{Kind: End, ID: m.rec.ID})
	}
	m.ending = nil
	if !m.over {
		m.over = true
		r.drop(m)
		r.events = append(r.events, decide.Event{Kind: decide.EvMessageWithdrawn, Message: m.num})
	}
	if a := m.pending; a != nil {
		m.pending = nil
		r.notSent(m, a.Endpoint)
	}
}

// drop: the policy holds the message no longer.
func (r *Core) drop(m *message) {
	r.held--
	delete(r.ids, m.rec.ID)
	if m.call == nil && m.pending == nil {
		delete(r.msgs, m.num)
	}
}

func (r *Core) member(x *Member) decide.EndpointUpdate {
	ep := r.byID[x.ID]
	if ep == nil {
		r.lastEnd++
		ep = &endpoint{id: x.ID, num: r.lastEnd}
		r.byID[x.ID], r.byNum[ep.num] = ep, ep
		r.endpoints = append(r.endpoints, ep)
	}
	if x.Phase != Removed && (ep.hostPort != x.HostPort || ep.cell != x.Cell || ep.flavor != x.Flavor && r.set.Opening != nil) {
		// It moved under its old name, or is to prove itself in another way:
		// nothing more goes to the old place.
		r.leave(ep)
		ep.hostPort, ep.cell, ep.flavor = x.HostPort, x.Cell, x.Flavor
	}
	if x.Phase == Up && (!ep.open || ep.gone) {
		ep.open = true
		r.do(Effect{Kind: Open, Endpoint: ep.num, Address: ep.hostPort, Dest: ep.cell, Flavor: x.Flavor, Apart: r.apart(x.Flavor)})
	}
	if until := r.heldUntil(ep); until > r.now { // also for one that joins a destination which has told it
		r.do(Effect{Kind: Hold, Endpoint: ep.num, Until: until})
	}
	if x.Phase != Removed {
		r.named[x.Cell] = true
	}
	entry := decide.EndpointUpdate{Endpoint: ep.num, Zone: place(r.set.Zones, x.Locality), Kind: place(r.set.Kinds, x.Flavor),
		Destination: x.Cell, State: decide.Ready, Rate: x.Size}
	if ep.zone = entry.Zone; r.set.Opening != nil {
		entry.ConnectCost = r.set.Opening(x.Cell, x.Flavor)
	}
	if ep.listed = x.Phase != Removed; ep.listed {
		ep.member = *x
	}
	switch x.Phase {
	case Up:
		ep.gone = false
	case Draining:
		entry.State = decide.Draining
		r.leave(ep)
	case Removed:
		entry.State, entry.Destination = decide.Gone, ep.cell
		r.leave(ep)
	}
	return entry
}

// leave lets nothing new go to an endpoint; a call that still waits for a
// connection there would begin it too late.
func (r *Core) leave(ep *endpoint) {
	if !ep.gone {
		ep.gone, ep.goneAt = true, r.now
	}
	if ep.open {
		r.do(Effect{Kind: Shut, Endpoint: ep.num})
	}
}

func place(at map[string]int, name string) int {
	if i, ok := at[name]; ok {
		return i
	}
	return -1
}

// step lets the policy decide on what has happened, and acts.
func (r *Core) step() {
	events := r.events
	r.events = nil
	fresh := make([]*message, 0, len(events))
	for i := range events {
		if events[i].Kind == decide.EvMessageSubmitted {
			if m := r.msgs[events[i].Message]; m != nil && m.req != nil {
				fresh = append(fresh, m)
			}
		}
	}
	r.actions = r.policy.Step(r.now, events, r.actions[:0])
	// First the ends, so that what was never taken on is not logged; then the
	// log, so that no send comes before it.
	for i := range r.actions {
		switch a := &r.actions[i]; a.Kind {
		case decide.ActReject:
			r.ended(a, HandedBack)
		case decide.ActFail:
			r.ended(a, GivenUp)
		}
	}
	for _, m := range fresh {
		if m.req != nil && !m.over { // its client hears of it once it is logged
			q := m.req
			m.req, m.logged = nil, true
			r.tally.Add(m.rec.Dest, tally.Taken, 1)
			r.do(Effect{Kind: LogThenAnswer, Record: m.rec, Request: q})
		}
	}
	for i := range r.actions {
		r.act(r.now, &r.actions[i])
	}
}

// ended carries out a final answer.
func (r *Core) ended(a *decide.Action, word string) {
	m := r.msgs[a.Message]
	if m == nil || m.over {
		return
	}
	m.over = true
	ms := (a.After + 999) / 1000
	if word == HandedBack {
		r.count(m.rec.Class, deferred)
		r.tally.Add(m.rec.Dest, tally.Back+a.Reason.String(), 1)
	} else {
		r.count(m.rec.Class, errored)
		r.tally.Add(m.rec.Dest, tally.GivenUp, 1)
	}
	if q := m.req; q != nil { // not taken on: the client hears it at once
		m.req = nil
		delete(r.waiting, q)
		if word == HandedBack {
			r.answer(q, Reply{Busy: ms})
		} else {
			r.answer(q, Reply{Fault: errors.New("given up")})
		}
		r.story(m, story.Refused, "outcome", word, "why", a.Reason.String(), "left_ms", r.left(m), "waited_ms", q.Waited/1000)
		r.drop(m)
		return
	}
	r.drop(m)
	r.uncalled(m, word, a.Reason.String())
	r.tell(slog.LevelInfo, story.Ended, "message", m.rec.ID, "class", m.rec.Class, "dest", m.rec.Dest, "outcome", word, "why", a.Reason.String(), "tries", m.tries,
		"left_ms", r.left(m))
	if !m.heard {
		m.ending = &Record{Notice: word, RetryMS: ms}
		return
	}
	r.end(m, word, ms)
}

// end logs how a message ended and has the platform told.
func (r *Core) end(m *message, word string, ms int64) {
	if word == GivenUp {
		ms = 0
	}
	r.do(Effect{Kind: LogThenNotice, Record: &Record{Kind: Ending, ID: m.rec.ID, Notice: word, RetryMS: ms}, Notice: Notice{m.rec.ID, word, ms}})
}

// act carries out what is no final answer.
func (r *Core) act(now decide.Time, a *decide.Action) {
	switch a.Kind {
	case decide.ActSend:
		m := r.msgs[a.Message]
		if m == nil {
			return
		}
		m.tries++
		c := *a
		if m.heard && !r.shelve(m) {
			r.send(m, &c)
		} else {
			m.pending = &c
		}
	case decide.ActCancel:
		if m := r.msgs[a.Message]; m != nil && a.Attempt == m.tries-1 {
			switch {
			case m.call != nil:
				r.do(Effect{Kind: Cancel, Call: m.call})
			case m.pending != nil:
				ep := m.pending.Endpoint
				m.pending = nil
				r.notSent(m, ep)
			}
		}
	case decide.ActTimer:
		r.timers.add(now + a.After)
	case decide.ActHealthCheck:
		if r.awaiting {
			r.probes = append(r.probes, a.Endpoint)
		} else if ep := r.byNum[a.Endpoint]; ep != nil && !ep.gone {
			r.probe(ep)
		}
	case decide.ActCloseIdle:
		if ep := r.byNum[a.Endpoint]; ep != nil && ep.open {
			r.do(Effect{Kind: CloseIdle, Endpoint: a.Endpoint})
		}
	case decide.ActLog:
		r.stirred++ // a verdict, or the end of one
		r.tell(slog.LevelInfo, "policy", "says", a.Text)
	}
}

func (r *Core) probe(ep *endpoint) {
	r.tally.Add(ep.cell, tally.Probed, 1)
	r.do(Effect{Kind: Probe, Endpoint: ep.num})
}

// notSent tells the policy of an attempt that never left, in the next step.
func (r *Core) notSent(m *message, ep decide.EndpointID) {
	r.later = append(r.later, Event{Kind: Unsent, Call: &Call{Rec: m.rec, m: m, ep: r.byNum[ep], attempt: m.tries - 1}})
	r.do(Effect{Kind: Again})
}

// send logs an attempt, which is then made.
func (r *Core) send(m *message, a *decide.Action) {
	ep := r.byNum[a.Endpoint]
	limit := a.TimeoutAt - r.now
	if ep == nil || ep.gone || ep.cell != m.rec.Dest || limit <= 0 || m.over || a.LastByteBy > 0 && r.now > a.LastByteBy {
		r.notSent(m, a.Endpoint)
		return
	}
	c := &Call{Rec: m.rec, Endpoint: ep.num, Limit: limit, By: a.LastByteBy, Cold: a.Recovering, Opens: a.OpensConnection, m: m, ep: ep, apart: r.apart(ep.flavor), attempt: m.tries - 1, sent: r.now}
	m.call = c
	ep.calls = append(ep.calls, c)
	r.calls++
	r.tally.Add(m.rec.Dest, tally.Sent, 1)
	if ep.zone != r.set.Policy.Zone {
		r.tally.Add(m.rec.Dest, tally.Crossed, 1)
	}
	if m.tries == 1 {
		r.tally.Add(m.rec.Dest, tally.Firsts, 1)
		r.tally.Add(m.rec.Dest, tally.FirstMS, (r.now-m.since)/1000)
	}
	r.do(Effect{Kind: LogThenSend, Record: &Record{Kind: Attempt, ID: m.rec.ID, At: r.wall(r.now), Zone: ep.zone}, Call: c})
}

// apart reports whether the endpoints of a flavour are routes of their own.
func (r *Core) apart(flavor string) bool {
	i := place(r.set.Kinds, flavor)
	return i >= 0 && i < len(r.set.Policy.DestinationKinds) && r.set.Policy.DestinationKinds[i].IndependentRoutes
}

// wait books what a call was told: nothing may go to its endpoint before a
// moment, nor to the others of its destination where they are no routes apart.
// That holds also if the endpoint has moved since, or leaves and comes back, and
// never shortens.
func (r *Core) wait(c *Call, until decide.Time) {
	if c.apart {
		c.ep.waitUntil = max(c.ep.waitUntil, until)
	} else {
		r.waits[c.Rec.Dest] = max(r.waits[c.Rec.Dest], until)
	}
	if c.ep.cell == c.Rec.Dest && r.apart(c.ep.flavor) == c.apart {
		r.do(Effect{Kind: Hold, Endpoint: c.ep.num, Until: until})
	}
}

// heldUntil is the end of the wait that binds an endpoint.
func (r *Core) heldUntil(ep *endpoint) decide.Time {
	if r.apart(ep.flavor) {
		return ep.waitUntil
	}
	return r.waits[ep.cell]
}

// ended are the outcomes in the tally's words.
var ended = map[decide.Outcome]string{decide.Delivered: tally.Delivered, decide.Failed: tally.Errored, decide.Rejected: tally.Full,
	decide.TimedOut: tally.TimedOut, decide.ConnectFailed: tally.NoConnect, decide.ConnectionReset: tally.Reset, decide.Cancelled: tally.Cancelled, decide.NotSent: tally.NotSent}

// finished books the end of an attempt.
func (r *Core) finished(c *Call, o *Result, logged bool) {
	m := c.m
	if r.moved++; o.What != decide.Delivered && o.What != decide.NotSent && o.What != decide.Cancelled {
		r.stirred++
	}
	e := decide.Event{Kind: decide.EvAttemptEnded, Message: m.num, Attempt: c.attempt, Outcome: o.What, RetryAfter: o.Wait,
		NoFreeSlot: o.Slots, NotCounted: o.never(), ConnectionsOpened: o.Opened, MessageFinished: o.Settled || m.over, Latency: o.Took, Load: o.Load}
	if c.ep != nil {
		e.Endpoint = c.ep.num
		if o.Wait > 0 && o.What != decide.NotSent { // that one is of our own making
			r.wait(c, r.now+o.Wait)
		}
		c.ep.calls = slices.DeleteFunc(c.ep.calls, func(x *Call) bool { return x == c })
	}
	if m.call == c {
		m.call = nil
		r.calls--
	}
	r.tally.Add(m.rec.Dest, ended[o.What], 1)
	r.called(m, o.What)
	r.tally.Add(m.rec.Dest, tally.Dialed, int64(o.Opened))
	r.events = append(r.events, e)
	if c.ep != nil && c.ep.open && c.ep.suspect(o, r.now) {
		r.do(Effect{Kind: CloseIdle, Endpoint: c.ep.num})
	}
	if o.What != decide.Delivered {
		r.tell(slog.LevelInfo, story.Attempt, "message", m.rec.ID, "dest", m.rec.Dest, "class", m.rec.Class, "endpoint", e.Endpoint,
			"attempt", c.attempt, "outcome", int(o.What), "status", o.Status, "took_ms", o.Took/1000, "err", o.Err)
	}
	if o.Settled && !m.over { // told first: a kill in between must not leave a message with neither a line nor a record
		line := story.Over
		if o.What == decide.Delivered {
			line = story.Delivered
		}
		r.story(m, line, "endpoint", e.Endpoint, "took_ms", o.Took/1000, "left_ms", r.left(m))
	}
	switch {
	case o.Settled:
		r.log(&Record{Kind: End, ID: m.rec.ID})
	case logged:
		r.log(&Record{Kind: Outcome, ID: m.rec.ID, Ran: !o.What.NeverRan(), Void: o.never()})
	}
	if o.Settled && !m.over {
		if o.What == decide.Delivered {
			r.count(m.rec.Class, answered)
		}
		m.over = true
		r.drop(m)
		return
	}
	if m.over {
		delete(r.msgs, m.num)
	}
}
