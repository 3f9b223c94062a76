package core

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"

	"troutusher/policy"
)

var classNames = []string{"plain", "keyed", "once"} // as in testSettings, by class index

// simulation drives a core with random events from a seeded source. It executes the effects of the
// core: it writes the log, replies to clients and makes calls, each with a random delay and outcome.
// It checks that effects come in the required order.
type simulation struct {
	t     *testing.T
	rng   *rand.Rand
	core  *Core
	now   policy.Time
	queue []Event // events that the core has not received yet, delivered in random order
	trace strings.Builder

	accepted        map[string]bool // messages in the log
	acknowledged    map[string]bool // messages whose clients received OK
	rejected        map[string]bool
	ended           map[string]int // number of notices, by message
	openCallCount   map[string]int
	openCalls       map[*Call]bool
	closedEndpoints map[policy.EndpointID]bool
	destOf          map[policy.EndpointID]int
	destByAddress   map[string]int // destination by endpoint address
	passivated      int            // number of destinations passivated so far
	handingOver     bool           // while set, no call may be started

	// Options of a run.
	flavors        []string
	longStepOdds   int             // one in longStepOdds steps takes 11 to 31 s; 0 for none
	logModel       *logModel       // the write-ahead log; nil for none
	driver         *callDriver     // makes calls byte by byte; nil for calls that end at once
	mayHaveRunOnce map[string]bool // non-idempotent messages that may have run
	onEvent        func(Event)     // called with each event before the core receives it
	golden         io.Writer       // receives every effect in a stable text form
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	t.Helper()
	return &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 3)), core: testCore(t), now: 3600e6,
		accepted: map[string]bool{}, acknowledged: map[string]bool{}, rejected: map[string]bool{},
		ended: map[string]int{}, openCallCount: map[string]int{}, openCalls: map[*Call]bool{},
		closedEndpoints: map[policy.EndpointID]bool{}, destOf: map[policy.EndpointID]int{},
		destByAddress: map[string]int{}, flavors: []string{"k"},
	}
}

// failf fails the test and prints the end of the trace.
func (sim *simulation) failf(format string, args ...any) {
	sim.t.Helper()
	text := sim.trace.String()
	sim.t.Fatalf(format+"\n%s", append(args, text[max(0, len(text)-3000):])...)
}

// tracef appends to the trace, which has one line for each effect.
func (sim *simulation) tracef(format string, args ...any) {
	fmt.Fprintf(&sim.trace, format, args...)
}

// run runs the first steps of a simulation and returns the trace.
func (sim *simulation) run(steps int) string { return sim.runFrom(0, steps) }

// runFrom runs steps with numbers that start at first, and returns the whole trace. Each submitted
// message is named after the number of its step.
func (sim *simulation) runFrom(first, steps int) string {
	for i := first; i < first+steps; i++ {
		sim.now += policy.Time(sim.rng.IntN(20e3))
		if sim.longStepOdds > 0 && sim.rng.IntN(sim.longStepOdds) == 0 {
			sim.now += policy.Time(11e6 + sim.rng.IntN(20e6))
		}
		if sim.driver != nil {
			sim.driver.advance()
		}
		events := sim.takeQueued()
		if sim.rng.IntN(3) > 0 {
			events = append(events, sim.randomSubmission(i))
		}
		if sim.rng.IntN(25) == 0 || i == 0 {
			events = append(events, sim.randomList(i == 0))
		}
		if sim.logModel != nil {
			sim.step(sim.logModel, events)
		} else {
			sim.execute(sim.core.Step(sim.now, events, nil))
		}
	}
	return sim.trace.String()
}

// takeQueued removes up to three queued events at random and returns them.
func (sim *simulation) takeQueued() (events []Event) {
	for n := sim.rng.IntN(4); n > 0 && len(sim.queue) > 0; n-- {
		i := sim.rng.IntN(len(sim.queue))
		event := sim.queue[i]
		sim.queue = slices.Delete(sim.queue, i, i+1)
		if sim.onEvent != nil {
			sim.onEvent(event)
		} else {
			sim.closeCall(event)
		}
		events = append(events, event)
	}
	return events
}

// closeCall closes the call that an event ends, if any.
func (sim *simulation) closeCall(event Event) {
	if call := callOf(event); call != nil {
		sim.openCallCount[call.Record.ID]--
		delete(sim.openCalls, call)
	}
}

func (sim *simulation) randomSubmission(i int) Submitted {
	class := sim.rng.IntN(3)
	record := &Record{Kind: RecordAccepted, ID: "m" + strconv.Itoa(i), Class: classNames[class]}
	record.Dest = sim.rng.IntN(3)
	record.Deadline = sim.core.wallTime(sim.now + policy.Time(sim.rng.IntN(3e6)))
	if class == 1 {
		record.Key = record.ID
	}
	return Submitted{Request: &Request{Record: record, Class: class}}
}

// randomList returns a random list update. The first one lists all endpoints as up.
func (sim *simulation) randomList(first bool) EndpointListUpdated {
	list := &EndpointList{}
	for i := range 6 {
		if !first && sim.rng.IntN(2) == 0 {
			continue
		}
		addr := fmt.Sprintf("10.0.0.%d:%d", i, 1+sim.rng.IntN(2))
		dest := (i + sim.rng.IntN(8)/7) % 3
		member := Member{ID: "s" + strconv.Itoa(i), HostPort: addr, Locality: "a", Dest: dest, Phase: Up, Rate: 100}
		member.Flavor = sim.flavors[dest%len(sim.flavors)] // all endpoints of a destination have the same flavor
		if !first {
			member.Phase = []string{Up, Up, Draining, Removed}[sim.rng.IntN(4)]
		}
		sim.destByAddress[addr] = dest
		list.Members = append(list.Members, member)
	}
	kind := policy.ListDelta
	if first || sim.rng.IntN(4) == 0 {
		kind = policy.ListFull
	}
	return EndpointListUpdated{List: list, Kind: kind}
}

// execute executes effects and checks each.
func (sim *simulation) execute(effects []Effect) {
	for _, effect := range effects {
		if sim.golden != nil {
			if _, err := fmt.Fprintf(sim.golden, "%d %s\n", sim.now, renderEffect(effect)); err != nil {
				sim.t.Fatal(err)
			}
		}
		sim.tracef("%d %T", sim.now, effect)
		sim.executeOne(effect)
		sim.tracef("\n")
	}
}

func (sim *simulation) executeOne(effect Effect) {
	switch e := effect.(type) {
	case SendReply:
		sim.sendReply(e)
	case AppendThenReply:
		sim.appendThenReply(e)
	case AppendThenSend:
		sim.checkSend(e)
		sim.send(e.Call)
	case AppendThenNotify:
		sim.tracef(" %+v", e.Notice)
		id := e.Notice.Message
		sim.ended[id]++
		if !sim.acknowledged[id] || sim.ended[id] > 1 {
			sim.failf("message %s: notice number %d with acknowledged = %v; want number 1 after acknowledgement",
				id, sim.ended[id], sim.acknowledged[id])
		}
	case CancelCall:
		sim.tracef(" %s", e.Call.Record.ID)
		if !sim.openCalls[e.Call] {
			sim.failf("message %s: CancelCall for a call that is not open", e.Call.Record.ID)
		}
	case CheckHealth:
		if sim.closedEndpoints[e.Endpoint] {
			sim.failf("CheckHealth for endpoint %d, which is closed", e.Endpoint)
		}
		result := &Result{Outcome: policy.Delivered, Elapsed: 1000}
		sim.queue = append(sim.queue, HealthChecked{Endpoint: e.Endpoint, Result: result})
	case Log:
		sim.tracef(" %s %v", e.Text, e.Args)
	default:
		sim.executeOnEndpoint(effect)
	}
}

// executeOnEndpoint executes effects that change the driver's endpoints and destinations.
func (sim *simulation) executeOnEndpoint(effect Effect) {
	driver := sim.driver
	switch e := effect.(type) {
	case OpenEndpoint:
		sim.tracef(" %d %s", e.Endpoint, e.Address)
		sim.closedEndpoints[e.Endpoint], sim.destOf[e.Endpoint] = false, sim.destByAddress[e.Address]
		if driver != nil {
			driver.openEndpoint(e)
		}
	case CloseEndpoint:
		sim.tracef(" %d", e.Endpoint)
		sim.closedEndpoints[e.Endpoint] = true
		if driver != nil {
			driver.closeEndpoint(e.Endpoint)
		}
	case ForgetEndpoint:
		if driver != nil {
			driver.forgetEndpoint(e.Endpoint)
		}
	case PassivateDestination:
		sim.tracef(" %d", e.Dest)
		sim.passivated++
		if driver != nil {
			delete(driver.scopes, fmt.Sprintf("dest %d", e.Dest))
		}
	case ApplyRetryAfter:
		sim.tracef(" %d %d", e.Endpoint, e.Until)
		if driver != nil && driver.endpoints[e.Endpoint] != nil {
			driver.endpoints[e.Endpoint].gate.HoldUntil(sim.now, e.Until)
		}
	}
}

func (sim *simulation) sendReply(e SendReply) {
	id := e.Request.Record.ID
	sim.tracef(" %s %+v", id, e.Reply)
	if e.Reply.OK {
		return
	}
	if sim.acknowledged[id] {
		sim.failf("message %s was rejected after it was acknowledged", id)
	}
	sim.rejected[id] = true
}

func (sim *simulation) appendThenReply(e AppendThenReply) {
	id := e.Request.Record.ID
	sim.tracef(" %s", id)
	if sim.rejected[id] || sim.acknowledged[id] {
		sim.failf("message %s was logged after its reply", id)
	}
	if sim.rng.IntN(20) == 0 {
		sim.queue = append(sim.queue, LogWriteFailed(e))
		return
	}
	sim.accepted[id] = true
	ok := sim.rng.IntN(15) > 0
	if ok {
		sim.acknowledged[id] = true
	}
	sim.queue = append(sim.queue, ReplyDelivered{Request: e.Request, OK: ok})
}

// checkSend checks that a call may be started.
func (sim *simulation) checkSend(e AppendThenSend) {
	call, id, dest := e.Call, e.Call.Record.ID, e.Call.Record.Dest
	sim.tracef(" %s to %d", id, call.Endpoint)
	switch {
	case sim.handingOver:
		sim.failf("message %s was sent during a hand-over", id)
	case !sim.acknowledged[id]:
		sim.failf("message %s was sent before it was acknowledged", id)
	case sim.openCallCount[id] > 0:
		sim.failf("message %s was sent while another call of it was open", id)
	case sim.closedEndpoints[call.Endpoint]:
		sim.failf("message %s was sent to endpoint %d, which is closed", id, call.Endpoint)
	case sim.destOf[call.Endpoint] != dest:
		sim.failf("message %s for destination %d was sent to destination %d", id, dest, sim.destOf[call.Endpoint])
	case e.Record.ID != id || e.Record.Kind != RecordAttempt || call.Timeout <= 0:
		sim.failf("message %s was sent with record %+v and timeout %d, want its attempt record and a timeout above 0",
			id, e.Record, call.Timeout)
	case sim.mayHaveRunOnce[id]:
		sim.failf("non-idempotent message %s was sent again although it may have run", id)
	case sim.ended[id] > 0:
		sim.failf("message %s was sent after its end", id)
	}
}

// send makes a call. Without a driver the call ends with a random result, which is queued.
func (sim *simulation) send(call *Call) {
	sim.openCallCount[call.Record.ID]++
	sim.openCalls[call] = true
	switch {
	case sim.driver != nil:
		started := &driverCall{coreCall: call, endpoint: sim.driver.endpoints[call.Endpoint]}
		sim.driver.calls = append(sim.driver.calls, started)
	case sim.rng.IntN(25) == 0:
		sim.queue = append(sim.queue, AttemptNotLogged{Call: call})
	default:
		sim.queue = append(sim.queue, AttemptFinished{Call: call, Result: sim.randomResult()})
	}
}

func (sim *simulation) randomResult() *Result {
	elapsed := policy.Time(sim.rng.IntN(400e3))
	switch sim.rng.IntN(6) {
	case 0:
		return rejected(policy.Time(sim.rng.IntN(500e3)))
	case 1:
		return &Result{Outcome: policy.ConnectFailed}
	case 2:
		return &Result{Outcome: policy.ConnectionReset, Elapsed: 1000}
	case 3:
		return &Result{Outcome: policy.Failed, Status: 500}
	}
	return delivered(elapsed)
}

// flushQueue passes all queued events to the core in one step.
func (sim *simulation) flushQueue() {
	events := sim.queue
	sim.queue = nil
	for _, event := range events {
		sim.closeCall(event)
	}
	sim.step(sim.logModel, events)
}
