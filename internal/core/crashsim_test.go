package core

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"troutusher/policy"
)

// crashSimulation runs one relay that is killed again and again, also before it has
// recovered what it held, with clients, endpoints, a log and a platform around it, on one
// clock. A kill comes between any two writes. It knows what every client was told, what
// ran where, and what the platform was told, and checks that against what is owed.
type crashSimulation struct {
	t     *testing.T
	seed  uint64
	rng   *rand.Rand
	now   int64 // µs; of the machine, not of the core
	due   scheduledRuns
	trace strings.Builder

	core            *Core // nil while the process is down
	process         int   // its number; what was begun for an earlier one is dropped
	base            int64 // machine time at time 0 of the core's clock
	events          []Event
	log             *logModel
	members         []Member
	listRevision    int
	closedEndpoints map[policy.EndpointID]bool

	file                   []byte // the state snapshot on disk
	fileAt                 int64
	fileBase               int64  // time 0 of the clock of the process that wrote it
	stateVersion           uint64 // as of the file
	ignoresSnapshot        bool   // no file is read: Retry-Afters end with the process
	retryAfters            map[int]retryAfterPeriod
	startsInsideRetryAfter int

	messages  map[string]*owedMessage
	downs     []downtime
	kills     int
	killAfter int // writes until the next kill; <0 for none
}

// downtime is from a kill until the next process serves; serving is never while it does
// not.
type downtime struct{ killed, serving int64 }

const never = 1 << 62

type owedMessage struct {
	class          string
	sent, due      int64 // by the client
	acknowledgedAt int64
	acknowledged   bool // the client had +OK in its time
	left           bool // the client gave up before
	recovered      bool // it was in the log of an earlier process
	rejected       bool
	ran            int     // how often it took effect
	lastRan        int64   // when, first
	ended          []int64 // by a 200 or a notice that was taken
	toldOutcomes   map[string]bool
}

// retryAfterPeriod is when a Retry-After was told, and its end.
type retryAfterPeriod struct{ at, until int64 }

type scheduledRun struct {
	at    int64
	order int // of runs at the same time
	run   func()
}

// scheduledRuns is a heap, the earliest first.
type scheduledRuns []scheduledRun

func (s scheduledRuns) Len() int { return len(s) }
func (s scheduledRuns) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].order < s[j].order
}
func (s scheduledRuns) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *scheduledRuns) Push(x any)   { *s = append(*s, x.(scheduledRun)) }
func (s *scheduledRuns) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

const (
	clientTimeout = 400e3
	noticeSlack   = 300e3
	readySlack    = 1500e3 // from when a process serves, no notice is overdue
	dedupWindow   = 20e6
)

func (sim *crashSimulation) schedule(delay int64, run func()) {
	order := len(sim.due) + int(sim.now%7)<<20
	heap.Push(&sim.due, scheduledRun{at: sim.now + delay, order: order, run: run})
}

// scheduleInProcess schedules a run that is dropped if the process dies before it.
func (sim *crashSimulation) scheduleInProcess(delay int64, run func()) {
	process := sim.process
	sim.schedule(delay, func() {
		if sim.core != nil && sim.process == process {
			run()
		}
	})
}

func (sim *crashSimulation) failf(format string, args ...any) {
	sim.t.Helper()
	text := sim.trace.String()
	args = append(append([]any{sim.seed}, args...), text[max(0, len(text)-6000):])
	sim.t.Fatalf("seed %d: "+format+"\n%s", args...)
}

func (sim *crashSimulation) note(format string, args ...any) {
	fmt.Fprintf(&sim.trace, "%.3f ", float64(sim.now)/1e6)
	fmt.Fprintf(&sim.trace, format+"\n", args...)
}

func (sim *crashSimulation) tell(events ...Event) { sim.events = append(sim.events, events...) }

// serves reports whether the process serves clients.
func (sim *crashSimulation) serves() bool {
	return sim.core != nil && sim.downs[len(sim.downs)-1].serving != never
}

func (sim *crashSimulation) clock() policy.Time { return sim.now - sim.base }

// write is a point at which a kill may come. It reports whether the process lives on.
func (sim *crashSimulation) write() bool {
	if sim.killAfter < 0 {
		return true
	}
	sim.killAfter--
	if sim.killAfter < 0 {
		sim.kill()
		return false
	}
	return true
}

func (sim *crashSimulation) kill() {
	sim.note("killed")
	sim.kills++
	sim.core, sim.events = nil, nil
	sim.downs = append(sim.downs, downtime{killed: sim.now, serving: never})
	sim.schedule(int64(600e3+sim.rng.IntN(200e3)), sim.start)
}

// start starts a new process on the same folder: it may be killed before it serves.
func (sim *crashSimulation) start() {
	sim.process++
	sim.base = sim.now - 3600e6
	settings := testCore(sim.t).settings
	settings.Seed, settings.Epoch = sim.rng.Uint64(), sim.base
	settings.Policy.MaxConcurrentCalls, settings.Policy.MaxAttempts = 6, 3
	next, err := New(settings)
	if err != nil {
		sim.failf("%v", err)
	}
	sim.killAfter = -1
	if sim.rng.IntN(4) == 0 { // again before it has recovered
		sim.killAfter = sim.rng.IntN(8)
	}
	sim.core, sim.closedEndpoints = next, map[policy.EndpointID]bool{}
	sim.note("started, owed %d", len(sim.log.pending))
	if !sim.recover(next) {
		return
	}
	sim.downs[len(sim.downs)-1].serving = sim.now
	if sim.rng.IntN(3) == 0 { // discovery is silent, or rejects
		sim.scheduleInProcess(300e3, func() { sim.tell(Started{}) })
	} else {
		sim.scheduleInProcess(int64(sim.rng.IntN(300e3)), func() {
			sim.tell(EndpointListUpdated{List: sim.list(), Kind: policy.ListFull}, Started{})
		})
	}
	if sim.rng.IntN(5) > 0 {
		sim.scheduleInProcess(int64(sim.rng.IntN(3e6)), func() { sim.killAfter = sim.rng.IntN(12) })
	}
}

// recover has a new process take up what the one before left. It reports whether the
// process lives on.
func (sim *crashSimulation) recover(next *Core) bool {
	owed := sim.owedRecords()
	known := sim.list()
	if sim.rng.IntN(3) == 0 { // the list is old
		known.Members = slices.Clone(known.Members)
		for i := range known.Members {
			known.Members[i].Phase = Up
		}
	}
	list := EndpointListUpdated{List: known, Kind: policy.ListCached}
	if !sim.execute(next.Observe(sim.clock(), []Event{list}, nil)) {
		return false
	}
	next.DeferSends()
	if !sim.restoreSnapshot(next) {
		return false
	}
	for dest, retryAfter := range sim.retryAfters { // what was told after the last write is lost
		if retryAfter.at > sim.fileAt {
			delete(sim.retryAfters, dest)
		} else if retryAfter.until > sim.now {
			sim.startsInsideRetryAfter++
		}
	}
	return sim.execute(next.RecoverMessages(sim.clock(), owed, nil, 0, nil)) && sim.step()
}

// owedRecords are the records of what the log owes.
func (sim *crashSimulation) owedRecords() (owed []*Record) {
	for _, id := range sim.log.order {
		if pending := sim.log.pending[id]; pending != nil {
			record := *pending
			record.ResolveOpenAttempt()
			sim.messages[id].recovered = true
			owed = append(owed, &record)
		}
	}
	return owed
}

// restoreSnapshot restores the state file, if it is read at all. It reports whether the
// process lives on.
func (sim *crashSimulation) restoreSnapshot(next *Core) bool {
	if sim.ignoresSnapshot {
		sim.file, sim.retryAfters = nil, map[int]retryAfterPeriod{}
	}
	if sim.file == nil {
		return true
	}
	snapshot := &StateSnapshot{}
	if err := json.Unmarshal(sim.file, snapshot); err != nil {
		sim.failf("%v", err)
	}
	return sim.execute(next.RestoreState(sim.clock(), snapshot, sim.fileBase-sim.base, nil))
}

func (sim *crashSimulation) list() *EndpointList {
	list := &EndpointList{Complete: true, Revision: int64(sim.listRevision)}
	for i := range sim.members {
		if sim.members[i].Phase != Removed {
			list.Members = append(list.Members, sim.members[i])
		}
	}
	return list
}

// step is one step of the event loop. It reports whether the process lives on.
func (sim *crashSimulation) step() bool {
	if sim.core == nil {
		return false
	}
	events := sim.events
	sim.events = nil
	if !sim.execute(sim.core.Step(sim.clock(), events, nil)) {
		return false
	}
	if sim.core.StateVersion() != sim.stateVersion && sim.now >= sim.fileAt+250e3 && sim.write() {
		text, err := json.Marshal(sim.core.SnapshotState(sim.clock()))
		if err != nil {
			sim.failf("%v", err)
		}
		sim.file, sim.fileAt, sim.fileBase, sim.stateVersion = text, sim.now, sim.base, sim.core.StateVersion()
	}
	return sim.core != nil
}

// execute executes effects in their order, as the drivers do. It reports whether the
// process lives on.
func (sim *crashSimulation) execute(effects []Effect) bool {
	for _, effect := range effects {
		if is[Log](effect) || is[StepAgain](effect) {
			continue
		}
		if record := recordOf(effect); record != nil {
			if !sim.write() { // before the record
				return false
			}
			if e, ok := effect.(AppendThenReply); ok && sim.rng.IntN(60) == 0 { // the log has no room
				sim.tell(LogWriteFailed(e))
				continue
			}
			sim.log.apply(record)
			if !sim.write() { // after it
				return false
			}
		}
		sim.executeOne(effect)
		if sim.core == nil {
			return false
		}
	}
	return true
}

func (sim *crashSimulation) executeOne(effect Effect) {
	switch e := effect.(type) {
	case SendReply:
		m := sim.messages[e.Request.Record.ID]
		if e.Reply.OK {
			sim.acknowledge(m, e.Request)
		} else {
			m.rejected = true
		}
	case OpenEndpoint:
		sim.closedEndpoints[e.Endpoint] = false
	case CloseEndpoint:
		sim.closedEndpoints[e.Endpoint] = true
	case AppendThenReply:
		sim.acknowledge(sim.messages[e.Request.Record.ID], e.Request)
	case AppendThenSend:
		sim.send(e.Call)
	case AppendThenNotify:
		sim.notify(e.Notice)
	case SendNotice:
		sim.notify(e.Notice)
	}
}

// lateness is by how much an end came after it was due.
func (sim *crashSimulation) lateness(m *owedMessage, at int64) int64 {
	due := m.due + noticeSlack
	for _, down := range sim.downs {
		if down.killed <= due && down.serving+readySlack > due {
			due = down.serving + readySlack
		}
	}
	return at - due
}

const (
	crashClients  = 260
	crashDay      = 12e6
	crashEvening  = 16e6 // until all has ended
	lastKillUntil = 12e6 // before the end
)

// playCrashes plays a day of kills and checks its end. It returns how many messages were
// accepted.
func playCrashes(t *testing.T, seed uint64) (sim *crashSimulation, accepted int) {
	t.Helper()
	sim = &crashSimulation{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 39)), now: 1e15, log: newLogModel(), killAfter: -1,
		messages: map[string]*owedMessage{}, retryAfters: map[int]retryAfterPeriod{}, ignoresSnapshot: seed%10 == 9,
	}
	for i := range 6 {
		sim.members = append(sim.members, Member{
			ID: fmt.Sprintf("s%d", i), HostPort: fmt.Sprintf("10.0.0.%d:1", i), Locality: "a", Flavor: "k",
			Dest: 1 + i%3, Phase: Up, Rate: 40,
		})
	}
	sim.downs = []downtime{{killed: sim.now, serving: never}}
	sim.start()
	for i := range crashClients {
		sim.schedule(int64(sim.rng.IntN(crashDay)), func() { sim.submit(i) })
	}
	for range 4 {
		sim.schedule(int64(sim.rng.IntN(crashDay)), sim.changeList)
	}
	sim.runUntil(sim.now + crashDay + crashEvening)
	return sim, sim.checkEnd()
}

// changeList changes a member of the list, as discovery tells the process that serves.
func (sim *crashSimulation) changeList() {
	sim.listRevision++
	member := &sim.members[sim.rng.IntN(len(sim.members))]
	member.Phase = []string{Up, Draining, Removed}[sim.rng.IntN(3)]
	if sim.serves() && !sim.core.deferral.awaitingList {
		sim.tell(listEvent(policy.ListDelta, *member))
	}
}

// runUntil runs what is scheduled and steps the core, until a time.
func (sim *crashSimulation) runUntil(end int64) {
	for sim.now < end {
		pause := int64(2e3)
		if sim.rng.IntN(300) == 0 { // the process did not get the processor
			pause = int64(sim.rng.IntN(120e3))
		}
		until := sim.now + pause
		for len(sim.due) > 0 && sim.due[0].at <= until {
			next := heap.Pop(&sim.due).(scheduledRun)
			sim.now = max(sim.now, next.at)
			next.run()
		}
		sim.now = until
		if sim.now > end-lastKillUntil {
			sim.killAfter = -1
		}
		if sim.core == nil {
			continue
		}
		wakeup := sim.core.NextWakeup()
		if len(sim.events) > 0 || wakeup > 0 && wakeup <= sim.clock() {
			sim.step()
		}
	}
}

// checkEnd checks that nothing is left owed, and returns how many messages were accepted.
func (sim *crashSimulation) checkEnd() (accepted int) {
	for id, m := range sim.messages {
		if !m.acknowledged && !m.toldOutcomes[NoticeHandedBack] {
			continue // one that nobody heard of, and that was in the log, is handed back
		}
		accepted++
		sim.checkMessage(id, m)
	}
	if len(sim.log.pending) > 0 {
		sim.failf("%d messages are left in the log", len(sim.log.pending))
	}
	c := sim.core
	if c == nil {
		sim.failf("no process at the end of the day")
	}
	held, unanswered, open := c.HeldMessages(), c.UnansweredRequests(), c.OpenCalls()
	if held+unanswered+open+len(c.messages.byNumber)+len(c.messages.byID) > 0 {
		sim.failf("at the end of the day %d messages, %d requests and %d calls are held", held, unanswered, open)
	}
	return accepted
}

func (sim *crashSimulation) checkMessage(id string, m *owedMessage) {
	if len(m.ended) == 0 {
		sim.failf("%s (%s) was accepted and has no end", id, m.class)
	}
	if late := sim.lateness(m, m.ended[0]); late > 0 && m.acknowledged {
		sim.failf("%s (%s, sent at %.3f, due at %.3f) ended %d ms too late",
			id, m.class, float64(m.sent)/1e6, float64(m.due)/1e6, late/1000)
	}
	if m.class == "once" && m.ran > 1 {
		sim.failf("%s ran %d times", id, m.ran)
	}
	if len(m.toldOutcomes) > 1 {
		sim.failf("%s has two ends: %v", id, m.toldOutcomes)
	}
}
