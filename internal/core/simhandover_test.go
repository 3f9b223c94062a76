package core

import (
	"encoding/json"
	"fmt"
	"slices"

	"troutusher/policy"
)

// logModel keeps the log as a driver does.
type logModel struct {
	order   []string
	pending map[string]*Record
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

// applyEffects applies the records of effects, other than those of lost requests.
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

// owed are the records of what is owed, oldest first. An attempt whose call is not
// handed over may have run.
func (log *logModel) owed(handedOver map[string]bool) (owed []*Record) {
	for _, id := range log.order {
		record := log.pending[id]
		if record == nil {
			continue
		}
		if !handedOver[id] {
			record.ResolveOpenAttempt()
		}
		owed = append(owed, record)
	}
	return owed
}

// step steps the core and keeps its log.
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

// handOver moves the state of the core into a fresh one whose clock reads otherwise, as
// two processes do it: requests are replied to, nothing is begun, the log is read anew.
// It returns how many calls were resumed.
func (sim *simulation) handOver(log *logModel, shift policy.Time) (resumed int) {
	sim.core.BeginHandover()
	sim.answerRequests(log)
	state := sim.exportState()
	handedOver := map[string]bool{}
	for _, call := range state.Calls {
		handedOver[call.Message] = true
	}
	owed := log.owed(handedOver)
	settings := sim.core.settings
	settings.Epoch -= shift
	next, err := New(settings)
	if err != nil {
		sim.failf("%v", err)
	}
	sim.core, sim.now = next, sim.now+shift
	sim.closedEndpoints, sim.destOf = map[policy.EndpointID]bool{}, map[policy.EndpointID]int{}
	effects := next.RecoverMessages(sim.now, owed, state, shift, nil)
	calls := resumedCalls(effects)
	if len(calls) != len(state.Calls) {
		sim.failf("%d calls are resumed of %d", len(calls), len(state.Calls))
	}
	resumed = sim.resumeCalls(effects, calls)
	for _, effect := range effects { // notices that were logged are sent once more, harmlessly
		if e, ok := effect.(SendNotice); ok {
			sim.tracef("again %s\n", e.Notice.Message)
		}
	}
	log.applyEffects(effects, nil)
	sim.execute(effects)
	if sim.driver != nil {
		for _, sent := range sim.driver.calls {
			sent.endpoint = sim.driver.endpoints[sent.call.Endpoint]
		}
	}
	return resumed
}

// answerRequests steps until every request has its reply; calls do not end meanwhile.
func (sim *simulation) answerRequests(log *logModel) {
	for limit := 0; sim.core.UnansweredRequests() > 0; limit++ {
		if limit > 1000 {
			sim.failf("%d requests are never replied to", sim.core.UnansweredRequests())
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

// exportState is the state of the core as it comes out of JSON.
func (sim *simulation) exportState() *HandoverState {
	text, err := json.Marshal(sim.core.ExportHandover(sim.now))
	if err != nil {
		sim.failf("%v", err)
	}
	if sim.golden != nil {
		if _, err := fmt.Fprintf(sim.golden, "%d handover %s\n", sim.now, text); err != nil {
			sim.t.Fatal(err)
		}
	}
	state := &HandoverState{}
	if err := json.Unmarshal(text, state); err != nil {
		sim.failf("%v", err)
	}
	return state
}

// resumedCalls are the calls that effects resume, by message.
func resumedCalls(effects []Effect) map[string]*Call {
	calls := map[string]*Call{}
	for _, effect := range effects {
		if e, ok := effect.(ResumeCall); ok {
			calls[e.Call.Record.ID] = e.Call
		}
	}
	return calls
}

// resumeCalls has the ends of calls that are still queued, or of those that a driver
// has written whole, told to the new core. It returns how many calls are resumed.
func (sim *simulation) resumeCalls(effects []Effect, calls map[string]*Call) (resumed int) {
	sim.openCalls = map[*Call]bool{}
	var queue []Event
	for _, event := range sim.queue {
		ended := callOf(event)
		if ended == nil {
			continue
		}
		call := calls[ended.Record.ID]
		if call == nil { // its message has ended: nobody waits for it
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
			sim.driver.calls = append(sim.driver.calls, &driverCall{call: e.Call, step: stepResponse})
			resumed++
		}
	}
	return resumed
}

// handOverWithDriver ends the calls that are not written whole first, and hands over;
// the others are resumed.
func (sim *simulation) handOverWithDriver(log *logModel) (resumed int) {
	sim.core.BeginHandover()
	old := sim.driver
	for _, sent := range slices.Clone(old.calls) {
		if sent.step < stepResponse {
			old.finishCall(sent, &Result{Outcome: policy.NotSent})
		}
	}
	sim.drainQueue()
	shift := policy.Time(sim.rng.Int64N(2e9)) - 1e9
	sim.driver = newCallDriver(sim)
	for scope, until := range old.retryAfterOf {
		sim.driver.retryAfterOf[scope] = until + shift
	}
	sim.driver.sent, sim.driver.blocked = old.sent, old.blocked
	sim.driver.extraWait, sim.driver.tellingScopes = old.extraWait, old.tellingScopes
	return sim.handOver(log, shift)
}
