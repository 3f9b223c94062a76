package core

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"troutusher/policy"
)

// crashSimulation plays one relay that is killed again and again, also before it has taken
// up what it held, with clients, endpoints, a log and a platform round it, on one
// clock. A kill comes between any two writes. It knows what every client was
// told, what ran where, and what the platform was told, and holds that against
// what is owed.
type crashSimulation struct {
	t     *testing.T
	seed  uint64
	rng   *rand.Rand
	now   int64 // µs; of the machine, not of the core
	due   scheduledRuns
	trace strings.Builder

	core            *Core // nil while it is down
	process         int   // of how many; what was begun for an earlier one is gone
	base            int64 // machine time at moment 0 of the core's clock
	events          []Event
	log             *logModel
	members         []Member
	closedEndpoints map[policy.EndpointID]bool

	file                   []byte // what was learned, as it lies beside the log
	fileAt                 int64
	fileBase               int64                    // moment 0 of the clock of the process that wrote it
	stateVersion           uint64                   // as of the file
	retryAfters            map[int]retryAfterPeriod // what destinations have told
	ignoresSnapshot        bool                     // no file is read: waits end with the process
	startsInsideRetryAfter int                      // starts that had a wait to keep
	listRevision           int

	messages  map[string]*owedMessage
	downs     [][2]int64 // from a kill to the next start
	kills     int
	killAfter int // writes until the next kill; <0 for none
}

type owedMessage struct {
	class          string
	sent, due      int64 // by the client
	acknowledgedAt int64
	acknowledged   bool // the client has +OK, in its time
	left           bool // it gave up before
	recovered      bool // an earlier process had it in its log
	rejected       bool
	ran            int     // how often its effect took place
	lastRan        int64   // when, first
	ended          []int64 // by a 200 or a notice that was taken
	handedBack     int     // of them, notices of handed_back
	toldOutcomes   map[string]bool
	openCalls      int // calls at endpoints now
	maxOpenCalls   int
	sentLate       bool
	unanswered     bool // its relay died under it
}

// retryAfterPeriod is a wait.
type retryAfterPeriod struct{ at, until int64 }

type scheduledRun struct {
	at  int64
	n   int
	run func()
}

type scheduledRuns []scheduledRun

func (m scheduledRuns) Len() int { return len(m) }
func (m scheduledRuns) Less(i, j int) bool {
	return m[i].at < m[j].at || m[i].at == m[j].at && m[i].n < m[j].n
}
func (m scheduledRuns) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m *scheduledRuns) Push(x any)   { *m = append(*m, x.(scheduledRun)) }
func (m *scheduledRuns) Pop() any {
	x := (*m)[len(*m)-1]
	*m = (*m)[:len(*m)-1]
	return x
}

const (
	clientWait  = 400e3
	noticeSlack = 300e3
	readySlack  = 1500e3
	dedupWindow = 20e6
)

func (h *crashSimulation) schedule(us int64, run func()) {
	heap.Push(&h.due, scheduledRun{h.now + us, len(h.due) + int(h.now%7)<<20, run})
}

// scheduleInProcess is after, for as long as the process lives.
func (h *crashSimulation) scheduleInProcess(us int64, run func()) {
	p := h.process
	h.schedule(us, func() {
		if h.core != nil && h.process == p {
			run()
		}
	})
}

func (h *crashSimulation) failf(format string, a ...any) {
	h.t.Helper()
	text := h.trace.String()
	h.t.Fatalf("seed %d: "+format+"\n%s", append(append([]any{h.seed}, a...), text[max(0, len(text)-6000):])...)
}

func (h *crashSimulation) note(format string, a ...any) {
	fmt.Fprintf(&h.trace, "%.3f ", float64(h.now)/1e6)
	fmt.Fprintf(&h.trace, format+"\n", a...)
}

func (h *crashSimulation) clock() policy.Time { return h.now - h.base }

// write is a point at which a kill may come; false where it did.
func (h *crashSimulation) write() bool {
	if h.killAfter >= 0 {
		if h.killAfter--; h.killAfter < 0 {
			h.kill()
			return false
		}
	}
	return true
}

func (h *crashSimulation) kill() {
	h.note("killed")
	h.kills++
	h.core, h.events = nil, nil
	h.downs = append(h.downs, [2]int64{h.now, 1 << 62})
	for _, m := range h.messages {
		if !m.acknowledged && !m.rejected && !m.left {
			m.unanswered = true
		}
	}
	h.schedule(int64(600e3+h.rng.IntN(200e3)), h.start)
}

// start is a new process on the same folder: it may be killed before it serves.
func (h *crashSimulation) start() {
	h.process++
	h.base = h.now - 3600e6
	set := testCore(h.t).settings
	set.Seed, set.Epoch = h.rng.Uint64(), h.base
	set.Policy.MaxConcurrentCalls, set.Policy.MaxAttempts = 6, 3
	next, err := New(set)
	if err != nil {
		h.failf("%v", err)
	}
	h.killAfter = -1
	if h.rng.IntN(4) == 0 { // again before it has resumed
		h.killAfter = h.rng.IntN(8)
	}
	h.core, h.closedEndpoints = next, map[policy.EndpointID]bool{}
	h.note("started, owed %d", len(h.log.pending))
	var owed []*Record
	for _, id := range h.log.order {
		if r := h.log.pending[id]; r != nil {
			c := *r
			c.ResolveOpenAttempt()
			h.messages[id].recovered = true
			owed = append(owed, &c)
		}
	}
	known := h.list()
	if h.rng.IntN(3) == 0 { // the list is old
		known.Members = slices.Clone(known.Members)
		for i := range known.Members {
			known.Members[i].Phase = Up
		}
	}
	if !h.execute(next.Observe(h.clock(), []Event{EndpointListUpdated{List: known, Kind: policy.ListCached}}, nil)) {
		return
	}
	next.DeferSends()
	if h.ignoresSnapshot {
		h.file, h.retryAfters = nil, map[int]retryAfterPeriod{}
	} else if h.file != nil {
		l := &StateSnapshot{}
		if err := json.Unmarshal(h.file, l); err != nil {
			h.failf("%v", err)
		}
		if !h.execute(next.RestoreState(h.clock(), l, h.fileBase-h.base, nil)) {
			return
		}
	}
	for dest, w := range h.retryAfters { // what was told after the last write is forgotten
		if w.at > h.fileAt {
			delete(h.retryAfters, dest)
		} else if w.until > h.now {
			h.startsInsideRetryAfter++
		}
	}
	if !h.execute(next.RecoverMessages(h.clock(), owed, nil, 0, nil)) {
		return
	}
	if !h.step() {
		return
	}
	h.downs[len(h.downs)-1][1] = h.now // it serves
	switch h.rng.IntN(3) {
	case 0: // silent, or refuses
		h.scheduleInProcess(300e3, func() { h.events = append(h.events, Started{}) })
	default:
		h.scheduleInProcess(int64(h.rng.IntN(300e3)), func() {
			h.events = append(h.events, EndpointListUpdated{List: h.list(), Kind: policy.ListFull}, Started{})
		})
	}
	if h.rng.IntN(5) > 0 {
		h.scheduleInProcess(int64(h.rng.IntN(3e6)), func() { h.killAfter = h.rng.IntN(12) })
	}
}

func (h *crashSimulation) list() *EndpointList {
	l := &EndpointList{Complete: true, Revision: int64(h.listRevision)}
	for i := range h.members {
		if h.members[i].Phase != Removed {
			l.Members = append(l.Members, h.members[i])
		}
	}
	return l
}

// step is one turn of the loop; false where the process died in it.
func (h *crashSimulation) step() bool {
	if h.core == nil {
		return false
	}
	events := h.events
	h.events = nil
	if !h.execute(h.core.Step(h.clock(), events, nil)) {
		return false
	}
	if h.core.StateVersion() != h.stateVersion && h.now >= h.fileAt+250e3 && h.write() {
		text, err := json.Marshal(h.core.SnapshotState(h.clock()))
		if err != nil {
			h.failf("%v", err)
		}
		h.file, h.fileAt, h.fileBase, h.stateVersion = text, h.now, h.base, h.core.StateVersion()
	}
	return h.core != nil
}

// execute carries effects out in their order, as the drivers do.
func (h *crashSimulation) execute(fx []Effect) bool {
	for i := range fx {
		e := fx[i]
		if is[Log](e) || is[StepAgain](e) {
			continue
		}
		if r := recordOf(e); r != nil {
			if !h.write() { // before the record
				return false
			}
			if e, ok := e.(AppendThenReply); ok && h.rng.IntN(60) == 0 { // no room
				h.events = append(h.events, LogWriteFailed{Request: e.Request})
				continue
			}
			h.log.apply(r)
			if !h.write() { // after it
				return false
			}
		}
		switch e := e.(type) {
		case SendReply:
			m := h.messages[e.Request.Record.ID]
			if e.Reply.OK {
				h.replied(m, e.Request)
			} else {
				m.rejected = true
			}
		case OpenEndpoint:
			h.closedEndpoints[e.Endpoint] = false
		case CloseEndpoint:
			h.closedEndpoints[e.Endpoint] = true
		case AppendThenReply:
			h.replied(h.messages[e.Request.Record.ID], e.Request)
		case AppendThenSend:
			h.call(e.Call)
		case AppendThenNotify:
			h.notice(e.Notice)
		case SendNotice:
			h.notice(e.Notice)
		}
		if h.core == nil {
			return false
		}
	}
	return true
}

// replied: the answer is on its way to a client that reads now, slowly, or has
// given up.
func (h *crashSimulation) replied(m *owedMessage, q *Request) {
	wait := int64(0)
	if h.rng.IntN(6) == 0 {
		wait = int64(h.rng.IntN(500e3))
	}
	if at := h.now + wait; at-m.sent >= clientWait {
		h.scheduleInProcess(max(m.sent+clientWait-h.now, 0), func() {
			m.left = true
			h.events = append(h.events, ReplyDelivered{Request: q, OK: false})
		})
		return
	}
	tell := func() {
		m.acknowledged, m.acknowledgedAt = true, h.now
		h.events = append(h.events, ReplyDelivered{Request: q, OK: true})
	}
	if wait == 0 {
		tell()
	} else {
		h.scheduleInProcess(wait, tell)
	}
}

// call plays an endpoint, which goes on where the relay dies.
func (h *crashSimulation) call(c *Call) {
	m := h.messages[c.Record.ID]
	ep := h.core.endpoints.byNumber[c.Endpoint]
	if !m.acknowledged && !m.recovered || h.core.deferral.awaitingList {
		h.failf("%s is sent before its client heard, or before the list", c.Record.ID)
	}
	if h.closedEndpoints[c.Endpoint] || ep.dest != c.Record.Dest {
		h.failf("%s for %d is sent to %s of %d", c.Record.ID, c.Record.Dest, ep.id, ep.dest)
	}
	if w := h.retryAfters[c.Record.Dest]; h.now < w.until { // what was decided before it came, the gate stops
		if h.now <= w.at+200e3 || h.now-m.acknowledgedAt < 150e3 {
			h.scheduleInProcess(0, func() {
				h.events = append(h.events, AttemptFinished{Call: c, Result: &Result{Outcome: policy.NotSent, RetryAfter: w.until - h.now}})
			})
			return
		}
		h.failf("%s goes to %d, %d ms before the end of a wait that was told %d ms ago", c.Record.ID, c.Record.Dest, (w.until-h.now)/1000, (h.now-w.at)/1000)
	}
	if rec := h.log.pending[c.Record.ID]; rec == nil || rec.OpenAttemptAt == 0 {
		h.failf("%s is sent before the log has the attempt", c.Record.ID)
	}
	if len(m.toldOutcomes) > 0 {
		h.failf("%s is sent after the platform was told %v", c.Record.ID, m.toldOutcomes)
	}
	if m.ran > 0 && (m.class == "once" || m.class == "keyed" && h.now-m.lastRan > dedupWindow) {
		h.failf("%s (%s) is sent again after it ran", c.Record.ID, m.class)
	}
	took := int64(20e3 + h.rng.IntN(200e3))
	run := func() {
		if m.ran++; m.ran == 1 {
			m.lastRan = h.now
		}
	}
	end := func(r *Result) {
		h.scheduleInProcess(took, func() {
			r.Elapsed = took
			h.events = append(h.events, AttemptFinished{Call: c, Result: r})
		})
	}
	switch k := h.rng.IntN(10); {
	case k < 5: // the 200 is an end as it is written to a relay that lives
		h.schedule(took/2, run)
		h.scheduleInProcess(took, func() {
			m.ended = append(m.ended, h.now)
			h.events = append(h.events, AttemptFinished{Call: c, Result: &Result{Outcome: policy.Delivered, Status: 200, Final: true, Elapsed: took}})
		})
	case k == 5:
		wait := int64(h.rng.IntN(500e3))
		if h.rng.IntN(3) == 0 {
			wait = int64(h.rng.IntN(4e6))
		}
		h.scheduleInProcess(took, func() {
			if w := h.retryAfters[c.Record.Dest]; h.now+wait > w.until {
				h.retryAfters[c.Record.Dest] = retryAfterPeriod{h.now, h.now + wait}
			}
			h.events = append(h.events, AttemptFinished{Call: c, Result: &Result{Outcome: policy.Rejected, Status: 429, RetryAfter: wait, Elapsed: took}})
		})
	case k == 6:
		end(&Result{Outcome: policy.ConnectFailed})
	case k == 7:
		end(&Result{Outcome: policy.Rejected, Status: 503})
	case k == 8: // it ran, and nobody heard
		h.schedule(took/2, run)
		end(&Result{Outcome: policy.ConnectionReset})
	default: // silent until the relay stops waiting
		if h.rng.IntN(2) == 0 {
			h.schedule(took/2, run)
		}
		took = int64(c.Timeout)
		end(&Result{Outcome: policy.TimedOut})
	}
}

func (h *crashSimulation) notice(n Notice) {
	if rec := h.log.pending[n.Message]; rec == nil || rec.Notice != n.Outcome {
		h.failf("the notice of %s goes out before the log has it", n.Message)
	}
	h.scheduleInProcess(int64(h.rng.IntN(80e3)), func() { // the platform takes it
		m := h.messages[n.Message]
		m.ended = append(m.ended, h.now)
		m.toldOutcomes[n.Outcome] = true
		if n.Outcome == NoticeHandedBack && m.class == "once" && m.ran > 0 {
			h.failf("%s is handed back, and ran", n.Message)
		}
		if !h.write() {
			return
		}
		h.log.apply(&Record{Kind: RecordDone, ID: n.Message})
	})
}

// client hands one message in, where somebody listens.
func (h *crashSimulation) client(i int) {
	if h.core == nil || h.downs[len(h.downs)-1][1] == 1<<62 {
		return
	}
	id := "m" + strconv.Itoa(i)
	class := []string{"plain", "plain", "keyed", "once"}[h.rng.IntN(4)]
	d := int64(200e3 + h.rng.IntN(9e6))
	m := &owedMessage{class: class, sent: h.now, due: h.now + d, toldOutcomes: map[string]bool{}}
	h.messages[id] = m
	waited := int64(0)
	if h.rng.IntN(4) == 0 { // its turn comes late
		waited = int64(h.rng.IntN(250e3))
	}
	h.scheduleInProcess(waited, func() {
		rec := &Record{Kind: RecordAccepted, ID: id, Class: class, Tenant: "acme", Dest: 1 + h.rng.IntN(4), Deadline: m.due}
		if class == "keyed" {
			rec.Key = "k" + id
		}
		h.events = append(h.events, Submitted{Request: &Request{Record: rec, Queued: waited,
			Class: map[string]int{"plain": 0, "keyed": 1, "once": 2}[class]}})
	})
}

// lateness is by how much an end came after it was owed.
func (h *crashSimulation) lateness(m *owedMessage, at int64) int64 {
	by := m.due + noticeSlack
	for _, d := range h.downs {
		if d[0] <= by && d[1]+readySlack > by { // from a kill until 1.5 s after the relay is ready again no notice is overdue
			by = d[1] + readySlack
		}
	}
	return at - by
}

func playCrashSimulation(t *testing.T, seed uint64) (h *crashSimulation, taken int) {
	h = &crashSimulation{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 39)), log: &logModel{pending: map[string]*Record{}}, messages: map[string]*owedMessage{}, killAfter: -1,
		retryAfters: map[int]retryAfterPeriod{}, ignoresSnapshot: seed%10 == 9}
	h.now = 1e15
	for i := range 6 {
		h.members = append(h.members, Member{ID: fmt.Sprintf("s%d", i), HostPort: fmt.Sprintf("10.0.0.%d:1", i), Locality: "a", Flavor: "k", Dest: 1 + i%3, Phase: Up, Rate: 40})
	}
	h.downs = [][2]int64{{h.now, 1 << 62}}
	h.start()
	const clients, day = 260, 12e6
	for i := range clients {
		h.schedule(int64(h.rng.IntN(day)), func() { h.client(i) })
	}
	for range 4 {
		h.schedule(int64(h.rng.IntN(day)), func() { // discovery's news
			h.listRevision++
			x := &h.members[h.rng.IntN(len(h.members))]
			x.Phase = []string{Up, Draining, Removed}[h.rng.IntN(3)]
			if h.core != nil && h.downs[len(h.downs)-1][1] < 1<<62 && !h.core.deferral.awaitingList {
				h.events = append(h.events, EndpointListUpdated{Kind: policy.ListDelta, List: &EndpointList{Members: []Member{*x}}})
			}
		})
	}
	over := h.now + day + 16e6
	for h.now < over {
		pause := int64(2e3)
		if h.rng.IntN(300) == 0 { // nobody gave it the core
			pause = int64(h.rng.IntN(120e3))
		}
		until := h.now + pause
		for len(h.due) > 0 && h.due[0].at <= until {
			x := heap.Pop(&h.due).(scheduledRun)
			h.now = max(h.now, x.at)
			x.run()
		}
		h.now = until
		if h.now > over-12e6 {
			h.killAfter = -1
		}
		if h.core != nil && (len(h.events) > 0 || h.core.NextWakeup() > 0 && h.core.NextWakeup() <= h.clock()) {
			h.step()
		}
	}
	for id, m := range h.messages {
		switch {
		case !m.acknowledged && m.toldOutcomes[NoticeHandedBack]: // it was in the log, and nobody had heard
		case !m.acknowledged:
			continue
		}
		taken++
		if len(m.ended) == 0 {
			h.failf("%s (%s) was taken on and has no end", id, m.class)
		}
		if l := h.lateness(m, m.ended[0]); l > 0 && m.acknowledged {
			h.failf("%s (%s, sent at %.3f, due at %.3f) ended %d ms too late", id, m.class, float64(m.sent)/1e6, float64(m.due)/1e6, l/1000)
		}
		if m.class == "once" && m.ran > 1 {
			h.failf("%s ran %d times", id, m.ran)
		}
		if len(m.toldOutcomes) > 1 {
			h.failf("%s has two ends: %v", id, m.toldOutcomes)
		}
	}
	if len(h.log.pending) > 0 {
		h.failf("%d messages are left in the log", len(h.log.pending))
	}
	if c := h.core; c == nil || c.HeldMessages()+c.UnansweredRequests()+c.OpenCalls()+len(c.messages.byNumber)+len(c.messages.byID) > 0 {
		h.failf("at the end of the day something is held: %d messages, %d requests, %d calls", c.HeldMessages(), c.UnansweredRequests(), c.OpenCalls())
	}
	return h, taken
}

// Every request that was taken on is ended once, whole and in time, whenever its
// relay dies and starts again, and as late as clients, turns and lists may be.
func TestCrashesLoseNoOutcome(t *testing.T) {
	seeds := uint64(150)
	if n, err := strconv.ParseUint(os.Getenv("HERD_SEEDS"), 10, 32); err == nil {
		seeds = n
	}
	kills, taken, waits := 0, 0, 0
	for seed := range seeds {
		h, n := playCrashSimulation(t, seed)
		kills, taken, waits = kills+h.kills, taken+n, waits+h.startsInsideRetryAfter
	}
	if waits < int(seeds)/4 {
		t.Errorf("only %d starts had a wait to keep", waits)
	}
	if kills < int(seeds) || taken < 50*int(seeds) {
		t.Errorf("only %d kills, %d messages taken on", kills, taken)
	}
	t.Logf("%d days, %d kills, %d messages taken on, %d waits kept across a start", seeds, kills, taken, waits)
}

// Thousands that are owed at a start, half of them due already and the others in
// one later instant, end in the step in which they are due: each once, none late.
func TestThousandsDueTogether(t *testing.T) {
	const n = 6000
	set := testCore(t).settings
	set.Policy.MaxPending = 2 * n
	r, err := New(set)
	if err != nil {
		t.Fatal(err)
	}
	now := policy.Time(3600e6)
	r.Observe(now, []Event{EndpointListUpdated{Kind: policy.ListCached, List: &EndpointList{Complete: true, Members: []Member{
		{ID: "s1", HostPort: "10.0.0.1:1", Locality: "a", Flavor: "k", Dest: 1, Phase: Draining, Rate: 40}}}}}, nil)
	r.DeferSends()
	var owed []*Record
	for i := range n {
		due := now - 1e6
		if i%2 == 1 {
			due = now + 2e6
		}
		owed = append(owed, &Record{Kind: RecordAccepted, ID: "m" + strconv.Itoa(i), Class: "plain", Dest: 1, Deadline: r.wallTime(due)})
	}
	ends := map[string]policy.Time{}
	step := func(at policy.Time, fx []Effect) (count int) {
		for i := range fx {
			if e, ok := fx[i].(AppendThenNotify); ok {
				count++
				if _, twice := ends[e.Notice.Message]; twice {
					t.Fatalf("%s ends twice", e.Notice.Message)
				}
				ends[e.Notice.Message] = at
			}
		}
		return count
	}
	step(now, r.RecoverMessages(now, owed, nil, 0, nil))
	if got := step(now, r.Step(now, nil, nil)); got != n/2 {
		t.Errorf("%d end at the start, want %d", got, n/2)
	}
	for at := now + 1000; at <= now+2e6; at = r.NextWakeup() {
		step(at, r.Step(at, nil, nil))
		if r.NextWakeup() == 0 {
			break
		}
	}
	if len(ends) != n || r.HeldMessages() != 0 {
		t.Errorf("%d of %d have ended, %d are held", len(ends), n, r.HeldMessages())
	}
	for id, at := range ends {
		if at > now+2e6 {
			t.Errorf("%s ended %d µs late", id, at-now-2e6)
		}
	}
}
