package core

import (
	"encoding/json"
	"fmt"
	"slices"

	"troutusher/policy"
)

// logModel models the write-ahead log: it holds the record of each message until its end.
type logModel struct {
	order   []string           // message IDs in the order of acceptance
	pending map[string]*Record // by message ID; each with its later records applied
}

func newLogModel() *logModel { return &logModel{pending: map[string]*Record{}} }

func (log *logModel) apply(record *Record) {
	old := log.pending[record.ID]
	switch {
	case record.Kind == RecordAccepted && old == nil:
		accepted := *record
		log.pending[record.ID] = &accepted
		log.order = append(log.order, record.ID)
	case old == nil:
	case record.Kind == RecordDone:
		delete(log.pending, record.ID)
	default:
		old.Apply(record)
	}
}

// applyEffects applies the records of effects, except for requests whose log write failed.
func (log *logModel) applyEffects(effects []Effect, lost map[*Request]bool) {
	for _, effect := range effects {
		if e, ok := effect.(AppendThenReply); ok && lost[e.Request] {
			continue
		}
		if record := recordOf(effect); record != nil {
			log.apply(record)
		}
	}
}

// pendingRecords returns the records of messages without an end, oldest first. An open attempt
// counts as one that may have run, unless its call is handed over.
func (log *logModel) pendingRecords(handedOver map[string]bool) (records []*Record) {
	for _, id := range log.order {
		record := log.pending[id]
		if record == nil {
			continue
		}
		if !handedOver[id] {
			record.ResolveOpenAttempt()
		}
		records = append(records, record)
	}
	return records
}

// step steps the core, executes the effects and writes their records to the log.
func (sim *simulation) step(log *logModel, events []Event) {
	lost := map[*Request]bool{}
	effects := sim.core.Step(sim.now, events, nil)
	sim.execute(effects)
	for _, event := range sim.queue {
		if e, ok := event.(LogWriteFailed); ok {
			lost[e.Request] = true
		}
	}
	log.applyEffects(effects, lost)
}

// handOver moves the state of the core into a new one whose clock differs by shift, as a hand-over
// between two processes does: the old core replies to all requests and starts no call, then the new
// core recovers the messages from the log. It returns how many calls were resumed.
func (sim *simulation) handOver(log *logModel, shift policy.Time) (resumed int) {
	sim.core.BeginHandover()
	sim.answerRequests(log)
	state := sim.exportState()
	handedOver := map[string]bool{}
	for _, call := range state.Calls {
		handedOver[call.Message] = true
	}
	pending := log.pendingRecords(handedOver)
	settings := sim.core.settings
	settings.Epoch -= shift
	next, err := New(settings)
	if err != nil {
		sim.failf("New(settings) failed: %v", err)
	}
	sim.core, sim.now = next, sim.now+shift
	sim.closedEndpoints, sim.destOf = map[policy.EndpointID]bool{}, map[policy.EndpointID]int{}
	effects := next.RecoverMessages(sim.now, pending, state, shift, nil)
	calls := resumedCalls(effects)
	if len(calls) != len(state.Calls) {
		sim.failf("RecoverMessages resumed %d calls, want %d", len(calls), len(state.Calls))
	}
	resumed = sim.resumeCalls(effects, calls)
	for _, effect := range effects { // logged notices are sent again, which is harmless
		if e, ok := effect.(SendNotice); ok {
			sim.tracef("again %s\n", e.Notice.Message)
		}
	}
	log.applyEffects(effects, nil)
	sim.execute(effects)
	if sim.driver != nil {
		for _, call := range sim.driver.calls {
			call.endpoint = sim.driver.endpoints[call.coreCall.Endpoint]
		}
	}
	return resumed
}

// answerRequests steps the core until every request has its reply. Open calls do not end meanwhile.
func (sim *simulation) answerRequests(log *logModel) {
	for limit := 0; sim.core.UnansweredRequests() > 0; limit++ {
		if limit > 1000 {
			sim.failf("UnansweredRequests() = %d after 1,000 steps, want 0", sim.core.UnansweredRequests())
		}
		var events []Event
		sim.queue = slices.DeleteFunc(sim.queue, func(event Event) bool {
			if callOf(event) != nil {
				return false
			}
			events = append(events, event)
			return true
		})
		sim.step(log, events)
	}
}

// exportState exports the state of the core and returns it after a round trip through JSON.
func (sim *simulation) exportState() *HandoverState {
	text, err := json.Marshal(sim.core.ExportHandover(sim.now))
	if err != nil {
		sim.failf("encoding the hand-over state failed: %v", err)
	}
	if sim.golden != nil {
		if _, err := fmt.Fprintf(sim.golden, "%d handover %s\n", sim.now, text); err != nil {
			sim.t.Fatal(err)
		}
	}
	state := &HandoverState{}
	if err := json.Unmarshal(text, state); err != nil {
		sim.failf("decoding the hand-over state failed: %v", err)
	}
	return state
}

// resumedCalls returns the calls that effects resume, by message ID.
func resumedCalls(effects []Effect) map[string]*Call {
	calls := map[string]*Call{}
	for _, effect := range effects {
		if e, ok := effect.(ResumeCall); ok {
			calls[e.Call.Record.ID] = e.Call
		}
	}
	return calls
}

// resumeCalls prepares the ends of resumed calls for the new core: ends that are still queued are
// queued for the resumed calls, and the driver continues with the responses of the others. It
// returns how many calls are resumed.
func (sim *simulation) resumeCalls(effects []Effect, calls map[string]*Call) (resumed int) {
	sim.openCalls = map[*Call]bool{}
	var queue []Event
	for _, event := range sim.queue {
		ended := callOf(event)
		if ended == nil {
			continue
		}
		call := calls[ended.Record.ID]
		if call == nil { // the message has ended, so the call is not resumed
			sim.openCallCount[ended.Record.ID]--
			continue
		}
		end := AttemptFinished{Call: call, Result: &Result{Outcome: policy.ConnectionReset}}
		if e, ok := event.(AttemptFinished); ok {
			end.Result = e.Result
		}
		queue = append(queue, end)
		sim.openCalls[call] = true
		resumed++
	}
	sim.queue = queue
	if sim.driver == nil {
		return resumed
	}
	for _, effect := range effects {
		if e, ok := effect.(ResumeCall); ok {
			sim.openCalls[e.Call] = true
			sim.driver.calls = append(sim.driver.calls, &driverCall{coreCall: e.Call, step: stepResponse})
			resumed++
		}
	}
	return resumed
}

// handOverWithDriver hands over to a new core and a new driver, with a random shift of the clock.
// Calls whose request is not completely written end as not sent; the others are resumed.
func (sim *simulation) handOverWithDriver(log *logModel) (resumed int) {
	sim.core.BeginHandover()
	old := sim.driver
	for _, call := range slices.Clone(old.calls) {
		if call.step < stepResponse {
			old.finishCall(call, &Result{Outcome: policy.NotSent})
		}
	}
	sim.flushQueue()
	shift := policy.Time(sim.rng.Int64N(2e9)) - 1e9
	sim.driver = newCallDriver(sim)
	for scope, until := range old.retryAfterUntil {
		sim.driver.retryAfterUntil[scope] = until + shift
	}
	sim.driver.callsSent, sim.driver.callsBlocked = old.callsSent, old.callsBlocked
	sim.driver.extraRetryAfter, sim.driver.retryAfterScopes = old.extraRetryAfter, old.retryAfterScopes
	return sim.handOver(log, shift)
}
