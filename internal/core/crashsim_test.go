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

// crashSimulation runs one relay together with simulated clients, endpoints, a write-ahead log and
// the platform that receives notices, all on one simulated clock. It kills the relay repeatedly,
// between any two writes and also during recovery. It tracks the replies that clients received, the
// calls that took effect at endpoints and the notices that the platform received, and checks that
// every accepted message gets exactly one outcome in time.
type crashSimulation struct {
	t         *testing.T
	seed      uint64
	rng       *rand.Rand
	now       int64 // time of the machine in µs; the core has a clock of its own
	scheduled scheduledRuns
	trace     strings.Builder

	core            *Core // nil while the process is down
	processNumber   int   // callbacks scheduled by earlier processes are dropped
	clockBase       int64 // machine time at time 0 of the core's clock
	events          []Event
	log             *logModel
	members         []Member
	listRevision    int
	closedEndpoints map[policy.EndpointID]bool

	snapshotFile           []byte // the state snapshot on disk
	snapshotWrittenAt      int64
	snapshotClockBase      int64  // clockBase of the process that wrote the file
	snapshotVersion        uint64 // the core's state version when the file was written
	ignoresSnapshot        bool   // a process does not read its predecessor's file and so forgets its Retry-Afters
	retryAfters            map[int]retryAfterPeriod
	startsInsideRetryAfter int

	messages        map[string]*trackedMessage
	downtimes       []downtime
	kills           int
	writesUntilKill int // negative if no kill is planned
}

// downtime is the period from a kill until the next process serves clients. serving is farFuture
// until then.
type downtime struct{ killed, serving int64 }

const farFuture = 1 << 62

// trackedMessage is what the simulation knows of one submitted message.
type trackedMessage struct {
	class            string
	sentAt, deadline int64 // both set by the client
	acknowledgedAt   int64
	acknowledged     bool // the client received +OK before its timeout
	clientLeft       bool // the client gave up before it received a reply
	recovered        bool // a process found the message in its predecessor's log
	rejected         bool
	runCount         int     // how often the message took effect at an endpoint
	firstRunAt       int64   // when the message first took effect
	endedAt          []int64 // times of a 200 response or of a notice that the platform received
	noticeOutcomes   map[string]bool
}

// retryAfterPeriod is the period during which a Retry-After blocks a destination.
type retryAfterPeriod struct{ receivedAt, until int64 }

// scheduledRun is a callback that runs at a time of the machine's clock.
type scheduledRun struct {
	at    int64
	order int // breaks ties between callbacks at the same time
	run   func()
}

// scheduledRuns is a heap of callbacks with the earliest on top.
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
	noticeSlack   = 300e3  // a notice may arrive this long after the deadline
	readySlack    = 1500e3 // a message that became due during a downtime may end this long after its end
	dedupWindow   = 20e6
)

func (sim *crashSimulation) schedule(delay int64, run func()) {
	order := len(sim.scheduled) + int(sim.now%7)<<20
	heap.Push(&sim.scheduled, scheduledRun{at: sim.now + delay, order: order, run: run})
}

// scheduleInProcess schedules a callback that is dropped if the current process is killed first.
func (sim *crashSimulation) scheduleInProcess(delay int64, run func()) {
	process := sim.processNumber
	sim.schedule(delay, func() {
		if sim.core != nil && sim.processNumber == process {
			run()
		}
	})
}

// failf fails the test and prints the end of the trace.
func (sim *crashSimulation) failf(format string, args ...any) {
	sim.t.Helper()
	text := sim.trace.String()
	args = append(append([]any{sim.seed}, args...), text[max(0, len(text)-6000):])
	sim.t.Fatalf("seed %d: "+format+"\n%s", args...)
}

func (sim *crashSimulation) tracef(format string, args ...any) {
	fmt.Fprintf(&sim.trace, "%.3f ", float64(sim.now)/1e6)
	fmt.Fprintf(&sim.trace, format+"\n", args...)
}

func (sim *crashSimulation) enqueue(events ...Event) { sim.events = append(sim.events, events...) }

// isServing reports whether the process serves clients.
func (sim *crashSimulation) isServing() bool {
	return sim.core != nil && sim.downtimes[len(sim.downtimes)-1].serving != farFuture
}

func (sim *crashSimulation) coreTime() policy.Time { return sim.now - sim.clockBase }

// survivesWrite counts a write, which may be the one at which the process is killed. It reports
// whether the process is still running.
func (sim *crashSimulation) survivesWrite() bool {
	if sim.writesUntilKill < 0 {
		return true
	}
	sim.writesUntilKill--
	if sim.writesUntilKill < 0 {
		sim.kill()
		return false
	}
	return true
}

func (sim *crashSimulation) kill() {
	sim.tracef("killed")
	sim.kills++
	sim.core, sim.events = nil, nil
	sim.downtimes = append(sim.downtimes, downtime{killed: sim.now, serving: farFuture})
	sim.schedule(int64(600e3+sim.rng.IntN(200e3)), sim.start)
}

// start starts a new process on the files of its predecessor. The process may be killed again before
// it serves clients.
func (sim *crashSimulation) start() {
	sim.processNumber++
	sim.clockBase = sim.now - 3600e6
	settings := testCore(sim.t).settings
	settings.Seed, settings.Epoch = sim.rng.Uint64(), sim.clockBase
	settings.Policy.MaxConcurrentCalls, settings.Policy.MaxAttempts = 6, 3
	next, err := New(settings)
	if err != nil {
		sim.failf("New(settings) failed: %v", err)
	}
	sim.writesUntilKill = -1
	if sim.rng.IntN(4) == 0 { // kill it during recovery
		sim.writesUntilKill = sim.rng.IntN(8)
	}
	sim.core, sim.closedEndpoints = next, map[policy.EndpointID]bool{}
	sim.tracef("started with %d pending messages", len(sim.log.pending))
	if !sim.recover(next) {
		return
	}
	sim.downtimes[len(sim.downtimes)-1].serving = sim.now
	if sim.rng.IntN(3) == 0 { // discovery does not answer, or answers with an error
		sim.scheduleInProcess(300e3, func() { sim.enqueue(Started{}) })
	} else {
		sim.scheduleInProcess(int64(sim.rng.IntN(300e3)), func() {
			sim.enqueue(EndpointListUpdated{List: sim.endpointList(), Kind: policy.ListFull}, Started{})
		})
	}
	if sim.rng.IntN(5) > 0 {
		sim.scheduleInProcess(int64(sim.rng.IntN(3e6)), func() { sim.writesUntilKill = sim.rng.IntN(12) })
	}
}

// recover lets a new process recover the messages and the state of its predecessor. It reports
// whether the process is still running.
func (sim *crashSimulation) recover(next *Core) bool {
	pending := sim.pendingRecords()
	cached := sim.endpointList()
	if sim.rng.IntN(3) == 0 { // the cached list is stale: draining endpoints still count as up
		cached.Members = slices.Clone(cached.Members)
		for i := range cached.Members {
			cached.Members[i].Phase = Up
		}
	}
	list := EndpointListUpdated{List: cached, Kind: policy.ListCached}
	if !sim.execute(next.Observe(sim.coreTime(), []Event{list}, nil)) {
		return false
	}
	next.DeferSends()
	if !sim.restoreSnapshot(next) {
		return false
	}
	for dest, retryAfter := range sim.retryAfters { // those received after the last snapshot are lost
		if retryAfter.receivedAt > sim.snapshotWrittenAt {
			delete(sim.retryAfters, dest)
		} else if retryAfter.until > sim.now {
			sim.startsInsideRetryAfter++
		}
	}
	return sim.execute(next.RecoverMessages(sim.coreTime(), pending, nil, 0, nil)) && sim.step()
}

// pendingRecords returns copies of the records of all messages that the log holds without an end,
// and marks these messages as recovered.
func (sim *crashSimulation) pendingRecords() (records []*Record) {
	for _, id := range sim.log.order {
		if pending := sim.log.pending[id]; pending != nil {
			record := *pending
			record.ResolveOpenAttempt()
			sim.messages[id].recovered = true
			records = append(records, &record)
		}
	}
	return records
}

// restoreSnapshot restores the state from the snapshot file unless the simulation ignores it. It
// reports whether the process is still running.
func (sim *crashSimulation) restoreSnapshot(next *Core) bool {
	if sim.ignoresSnapshot {
		sim.snapshotFile, sim.retryAfters = nil, map[int]retryAfterPeriod{}
	}
	if sim.snapshotFile == nil {
		return true
	}
	snapshot := &StateSnapshot{}
	if err := json.Unmarshal(sim.snapshotFile, snapshot); err != nil {
		sim.failf("decoding the state snapshot failed: %v", err)
	}
	return sim.execute(next.RestoreState(sim.coreTime(), snapshot, sim.snapshotClockBase-sim.clockBase, nil))
}

// endpointList returns the current list, without the endpoints that have been removed.
func (sim *crashSimulation) endpointList() *EndpointList {
	list := &EndpointList{Complete: true, Revision: int64(sim.listRevision)}
	for i := range sim.members {
		if sim.members[i].Phase != Removed {
			list.Members = append(list.Members, sim.members[i])
		}
	}
	return list
}

// step runs one step of the event loop and writes a snapshot if one is due. It reports whether the
// process is still running.
func (sim *crashSimulation) step() bool {
	if sim.core == nil {
		return false
	}
	events := sim.events
	sim.events = nil
	if !sim.execute(sim.core.Step(sim.coreTime(), events, nil)) {
		return false
	}
	if sim.core.StateVersion() != sim.snapshotVersion && sim.now >= sim.snapshotWrittenAt+250e3 && sim.survivesWrite() {
		text, err := json.Marshal(sim.core.SnapshotState(sim.coreTime()))
		if err != nil {
			sim.failf("encoding the state snapshot failed: %v", err)
		}
		sim.snapshotFile, sim.snapshotWrittenAt, sim.snapshotClockBase, sim.snapshotVersion =
			text, sim.now, sim.clockBase, sim.core.StateVersion()
	}
	return sim.core != nil
}

// execute executes effects in their order, as the drivers do. It reports whether the process is
// still running.
func (sim *crashSimulation) execute(effects []Effect) bool {
	for _, effect := range effects {
		if is[Log](effect) || is[StepAgain](effect) {
			continue
		}
		if record := recordOf(effect); record != nil {
			if !sim.survivesWrite() { // killed before the record is written
				return false
			}
			if e, ok := effect.(AppendThenReply); ok && sim.rng.IntN(60) == 0 { // the log is full
				sim.enqueue(LogWriteFailed(e))
				continue
			}
			sim.log.apply(record)
			if !sim.survivesWrite() { // killed after the record is written
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

// lateness returns how long after the latest permitted time a message ended; zero or less means in
// time. A message that became due while no process served clients may end a little later.
func (sim *crashSimulation) lateness(m *trackedMessage, at int64) int64 {
	due := m.deadline + noticeSlack
	for _, down := range sim.downtimes {
		if down.killed <= due && down.serving+readySlack > due {
			due = down.serving + readySlack
		}
	}
	return at - due
}

const (
	crashClientCount = 260
	submissionPeriod = 12e6
	settlingPeriod   = 16e6 // time for all messages to end
	killFreePeriod   = 12e6 // no kills this long before the end
)

// runCrashSimulation runs a simulation with submissions and kills, and checks its final state. It
// returns how many messages were accepted.
func runCrashSimulation(t *testing.T, seed uint64) (sim *crashSimulation, accepted int) {
	t.Helper()
	sim = &crashSimulation{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 39)), now: 1e15, log: newLogModel(), writesUntilKill: -1,
		messages: map[string]*trackedMessage{}, retryAfters: map[int]retryAfterPeriod{}, ignoresSnapshot: seed%10 == 9,
	}
	for i := range 6 {
		sim.members = append(sim.members, Member{
			ID: fmt.Sprintf("s%d", i), HostPort: fmt.Sprintf("10.0.0.%d:1", i), Locality: "a", Flavor: "k",
			Dest: 1 + i%3, Phase: Up, Rate: 40,
		})
	}
	sim.downtimes = []downtime{{killed: sim.now, serving: farFuture}}
	sim.start()
	for i := range crashClientCount {
		sim.schedule(int64(sim.rng.IntN(submissionPeriod)), func() { sim.submit(i) })
	}
	for range 4 {
		sim.schedule(int64(sim.rng.IntN(submissionPeriod)), sim.changeList)
	}
	sim.runUntil(sim.now + submissionPeriod + settlingPeriod)
	return sim, sim.checkEnd()
}

// changeList changes the phase of a random member of the list. A process that serves clients gets
// the change from discovery.
func (sim *crashSimulation) changeList() {
	sim.listRevision++
	member := &sim.members[sim.rng.IntN(len(sim.members))]
	member.Phase = []string{Up, Draining, Removed}[sim.rng.IntN(3)]
	if sim.isServing() && !sim.core.deferral.awaitingList {
		sim.enqueue(listEvent(policy.ListDelta, *member))
	}
}

// runUntil runs the scheduled callbacks and steps the core until a time.
func (sim *crashSimulation) runUntil(end int64) {
	for sim.now < end {
		pause := int64(2e3)
		if sim.rng.IntN(300) == 0 { // the process was not scheduled by the operating system
			pause = int64(sim.rng.IntN(120e3))
		}
		until := sim.now + pause
		for len(sim.scheduled) > 0 && sim.scheduled[0].at <= until {
			next := heap.Pop(&sim.scheduled).(scheduledRun)
			sim.now = max(sim.now, next.at)
			next.run()
		}
		sim.now = until
		if sim.now > end-killFreePeriod {
			sim.writesUntilKill = -1
		}
		if sim.core == nil {
			continue
		}
		wakeup := sim.core.NextWakeup()
		if len(sim.events) > 0 || wakeup > 0 && wakeup <= sim.coreTime() {
			sim.step()
		}
	}
}

// checkEnd checks that every accepted message has ended and that the core holds nothing more. It
// returns how many messages were accepted.
func (sim *crashSimulation) checkEnd() (accepted int) {
	for id, m := range sim.messages {
		if !m.acknowledged && !m.noticeOutcomes[NoticeHandedBack] {
			continue // not accepted from its client's view; one that the log held counts if it was handed back
		}
		accepted++
		sim.checkMessage(id, m)
	}
	if len(sim.log.pending) > 0 {
		sim.failf("the log holds %d pending messages at the end, want 0", len(sim.log.pending))
	}
	c := sim.core
	if c == nil {
		sim.failf("no process is running at the end, want one")
	}
	held, unanswered, open := c.HeldMessages(), c.UnansweredRequests(), c.OpenCalls()
	if held+unanswered+open+len(c.messages.byNumber)+len(c.messages.byID) > 0 {
		sim.failf("at the end HeldMessages() = %d, UnansweredRequests() = %d, OpenCalls() = %d, want 0 of each",
			held, unanswered, open)
	}
	return accepted
}

// checkMessage checks that an accepted message ended, in time and with one outcome, and that a
// non-idempotent one ran at most once.
func (sim *crashSimulation) checkMessage(id string, m *trackedMessage) {
	if len(m.endedAt) == 0 {
		sim.failf("message %s (class %s) was accepted but has no outcome", id, m.class)
	}
	if late := sim.lateness(m, m.endedAt[0]); late > 0 && m.acknowledged {
		sim.failf("message %s (class %s, sent at %.3f s, deadline %.3f s) ended %d ms too late",
			id, m.class, float64(m.sentAt)/1e6, float64(m.deadline)/1e6, late/1000)
	}
	if m.class == "once" && m.runCount > 1 {
		sim.failf("non-idempotent message %s ran %d times, want at most 1", id, m.runCount)
	}
	if len(m.noticeOutcomes) > 1 {
		sim.failf("message %s has notices with different outcomes %v, want one outcome", id, m.noticeOutcomes)
	}
}
