package core

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"troutusher/policy"
)

// occurrence is something that can happen to a relay: either an event, which can share a step with
// another event, or an action of a driver between two steps. Both functions report false if the
// occurrence is impossible in the current state, such as the end of a call when no call is open.
type occurrence struct {
	name   string
	event  func(pair *pairSimulation) (Event, bool)
	action func(pair *pairSimulation) bool
}

// pairSimulation is a simulation into which a test inserts two occurrences.
type pairSimulation struct {
	*simulation
	pairRNG           *rand.Rand // makes the same choices in each order of the pair
	shutdownRequested bool
	nextNumber        int
}

// takeMatching removes a random queued event for which match returns true, and returns it.
func (pair *pairSimulation) takeMatching(match func(Event) bool) (Event, bool) {
	var matches []int
	for i, event := range pair.queue {
		if match(event) {
			matches = append(matches, i)
		}
	}
	if len(matches) == 0 {
		return nil, false
	}
	i := matches[pair.pairRNG.IntN(len(matches))]
	event := pair.queue[i]
	pair.queue = slices.Delete(pair.queue, i, i+1)
	return event, true
}

func isAttemptEnd(event Event) bool { return callOf(event) != nil }

// endAttempt returns the event that ends a random open call with a result.
func (pair *pairSimulation) endAttempt(result Result) (Event, bool) {
	e, ok := pair.takeMatching(isAttemptEnd)
	if !ok {
		return nil, false
	}
	return AttemptFinished{Call: callOf(e), Result: &result}, true
}

// changeEndpointPhase returns a list update that sets the phase of a random listed endpoint.
func (pair *pairSimulation) changeEndpointPhase(phase string) (Event, bool) {
	for _, k := range pair.pairRNG.Perm(6) {
		endpoint := pair.core.endpoints.byID[fmt.Sprint("s", k)]
		if endpoint == nil || !endpoint.listed {
			continue
		}
		member := endpoint.member
		member.Phase = phase
		return listEvent(policy.ListDelta, member), true
	}
	return nil, false
}

// trackEvent updates the simulation's own records for an event, before the core receives it.
func (pair *pairSimulation) trackEvent(event Event) {
	if is[ShutdownRequested](event) {
		pair.shutdownRequested = true
	}
	pair.closeCall(event)
	if e, ok := event.(AttemptFinished); ok && !e.Result.Outcome.NeverRan() && e.Result.Outcome != policy.Delivered {
		pair.markMayHaveRun(e.Call.Record)
	}
}

// markMayHaveRun records that an attempt may have run. If its message is non-idempotent, the
// simulation fails when the message is sent again.
func (pair *pairSimulation) markMayHaveRun(record *Record) {
	if record.Class == "once" {
		pair.mayHaveRunOnce[record.ID] = true
	}
}

// restart kills the process and starts a new one with its log.
func (pair *pairSimulation) restart() bool {
	for call := range pair.openCalls {
		pair.markMayHaveRun(call.Record)
	}
	for _, e := range pair.queue {
		if call := callOf(e); call != nil {
			pair.markMayHaveRun(call.Record)
		}
	}
	pair.queue, pair.openCalls, pair.openCallCount, pair.shutdownRequested =
		nil, map[*Call]bool{}, map[string]int{}, false
	list := &EndpointList{Complete: true}
	for _, endpoint := range pair.core.endpoints.all {
		if endpoint.listed {
			list.Members = append(list.Members, endpoint.member)
		}
	}
	next, err := New(pair.core.settings)
	if err != nil {
		pair.failf("New(settings) failed: %v", err)
	}
	pair.core = next
	pair.closedEndpoints, pair.destOf = map[policy.EndpointID]bool{}, map[policy.EndpointID]int{}
	pair.execute(next.Observe(pair.now, []Event{EndpointListUpdated{List: list, Kind: policy.ListCached}}, nil))
	var pending []*Record
	for _, record := range pair.logModel.pendingRecords(nil) {
		pair.acknowledged[record.ID] = true // a recovered message needs an end even if its client got no reply
		recovered := *record
		pending = append(pending, &recovered)
	}
	effects := next.RecoverMessages(pair.now, pending, nil, 0, nil)
	pair.logModel.applyEffects(effects, nil)
	pair.execute(effects)
	pair.step(pair.logModel, nil)
	return true
}

// occurrences returns all occurrences that are paired. Random choices, such as the class of a
// message or the endpoint, come from pairRNG.
func occurrences() []occurrence {
	event := func(name string, f func(pair *pairSimulation) (Event, bool)) occurrence {
		return occurrence{name: name, event: f}
	}
	action := func(name string, f func(pair *pairSimulation) bool) occurrence {
		return occurrence{name: name, action: f}
	}
	outcome := func(name string, result Result) occurrence {
		return event(name, func(pair *pairSimulation) (Event, bool) { return pair.endAttempt(result) })
	}
	phase := func(name, phase string) occurrence {
		return event(name, func(pair *pairSimulation) (Event, bool) { return pair.changeEndpointPhase(phase) })
	}
	return []occurrence{
		event("a message is submitted", func(pair *pairSimulation) (Event, bool) {
			pair.nextNumber++
			class := pair.pairRNG.IntN(3)
			record := &Record{Kind: RecordAccepted, ID: fmt.Sprint("pair", pair.nextNumber), Key: "k"}
			record.Class = classNames[class]
			record.Dest = pair.pairRNG.IntN(3)
			record.Deadline = pair.core.wallTime(pair.now + policy.Time(pair.pairRNG.IntN(3e6)))
			return Submitted{Request: &Request{Record: record, Class: class}}, true
		}),
		event("a client receives its reply", func(pair *pairSimulation) (Event, bool) {
			event, ok := pair.takeMatching(is[ReplyDelivered, Event])
			if ok && !event.(ReplyDelivered).OK { // the client left, which is the next occurrence
				pair.queue = append(pair.queue, event)
				return nil, false
			}
			return event, ok
		}),
		event("a client leaves before its reply", func(pair *pairSimulation) (Event, bool) {
			event, ok := pair.takeMatching(is[ReplyDelivered, Event])
			if !ok {
				return nil, false
			}
			request := event.(ReplyDelivered).Request
			delete(pair.acknowledged, request.Record.ID)
			return ReplyDelivered{Request: request, OK: false}, true
		}),
		outcome("a message is delivered", Result{Outcome: policy.Delivered, Status: 200, Final: true, Elapsed: 1000}),
		outcome("a call gets a Retry-After", Result{Outcome: policy.Rejected, Status: 429, RetryAfter: 400e3}),
		outcome("a call times out", Result{Outcome: policy.TimedOut, Elapsed: 300e3}),
		outcome("a call is not sent", Result{Outcome: policy.NotSent}),
		outcome("an endpoint reports a message as ended", Result{Outcome: policy.NotSent, Status: 410, Final: true}),
		event("an attempt cannot be logged", func(pair *pairSimulation) (Event, bool) {
			e, ok := pair.takeMatching(isAttemptEnd)
			if !ok {
				return nil, false
			}
			return AttemptNotLogged{Call: callOf(e)}, true
		}),
		phase("an endpoint drains", Draining),
		phase("an endpoint is removed", Removed),
		phase("an endpoint is listed as up", Up),
		event("shutdown is requested", func(pair *pairSimulation) (Event, bool) { return ShutdownRequested{}, true }),
		event("the wait for the list ends", func(pair *pairSimulation) (Event, bool) { return Started{}, true }),
		action("the wait for the list begins", func(pair *pairSimulation) bool { pair.core.DeferSends(); return true }),
		action("a hand-over fails", func(pair *pairSimulation) bool {
			pair.core.BeginHandover()
			pair.handingOver = true
			for range 3 { // meanwhile open calls end and messages are accepted
				pair.runFrom(1000+10*pair.nextNumber, 3)
				pair.nextNumber++
			}
			pair.handingOver = false
			effects := pair.core.ResumeSends(pair.now, nil)
			pair.logModel.applyEffects(effects, nil)
			pair.execute(effects)
			return true
		}),
		action("the state is handed over", func(pair *pairSimulation) bool {
			if pair.shutdownRequested {
				return false // the successor would not know of the requested shutdown
			}
			pair.handOver(pair.logModel, 777e6)
			return true
		}),
		action("a message's deadline passes", (*pairSimulation).passDeadline),
		action("the process is killed", (*pairSimulation).restart),
	}
}

// passDeadline advances the clock to the deadline of the oldest pending message whose deadline is in
// the future.
func (pair *pairSimulation) passDeadline() bool {
	for _, id := range pair.logModel.order {
		record := pair.logModel.pending[id]
		if record == nil || record.Notice != "" {
			continue
		}
		if deadline := pair.core.fromWallTime(record.Deadline); deadline > pair.now {
			pair.now = deadline
			return true
		}
	}
	return false
}

// apply makes one occurrence happen in a step of its own. It reports whether it was possible.
func (pair *pairSimulation) apply(one *occurrence) bool {
	if one.action != nil {
		return one.action(pair)
	}
	event, ok := one.event(pair)
	if ok {
		pair.trackEvent(event)
		pair.step(pair.logModel, []Event{event})
	}
	return ok
}

// applyBoth passes the events of two occurrences to the core in one step. It reports whether both
// were possible.
func (pair *pairSimulation) applyBoth(one, other *occurrence) bool {
	if one.event == nil || other.event == nil {
		return false
	}
	first, okFirst := one.event(pair)
	second, okSecond := other.event(pair)
	var events []Event
	if okFirst {
		events = append(events, first)
	}
	if okSecond {
		events = append(events, second)
	}
	for _, event := range events {
		pair.trackEvent(event)
	}
	pair.step(pair.logModel, events)
	return okFirst && okSecond
}

// runToCompletion delivers all queued events and lets time pass until every message has ended. A
// process that has been asked to shut down is replaced by a new one.
func (pair *pairSimulation) runToCompletion() {
	for turn := range 400 {
		pair.now += 20e3
		if turn == 20 {
			if pair.shutdownRequested {
				pair.restart()
			}
			pair.step(pair.logModel, []Event{Started{}})
		}
		events := pair.queue
		pair.queue = nil
		for _, event := range events {
			pair.trackEvent(event)
		}
		pair.step(pair.logModel, events)
	}
	for id := range pair.acknowledged {
		if record := pair.logModel.pending[id]; record != nil && record.Notice == "" {
			pair.failf("message %s has no end, its record is %+v", id, record)
		}
	}
	calls, held, unanswered := pair.core.OpenCalls(), pair.core.HeldMessages(), pair.core.UnansweredRequests()
	if calls != 0 || held != 0 || unanswered != 0 {
		pair.failf("at the end OpenCalls() = %d, HeldMessages() = %d, UnansweredRequests() = %d, want 0 of each",
			calls, held, unanswered)
	}
}

// pairOrders are the orders in which two occurrences can happen.
var pairOrders = []struct {
	name  string
	apply func(pair *pairSimulation, one, other *occurrence) bool
}{
	{"first, then second", func(pair *pairSimulation, one, other *occurrence) bool {
		return pair.apply(one) && pair.apply(other)
	}},
	{"second, then first", func(pair *pairSimulation, one, other *occurrence) bool {
		return pair.apply(other) && pair.apply(one)
	}},
	{"together", (*pairSimulation).applyBoth},
}

// TestEventPairs guards against faults that need two particular occurrences close together. It
// inserts each pair after a random number of steps, in either order and in a single step. The
// simulation checks that a message is logged before its reply and acknowledged before it is sent,
// that it has at most one open attempt and one end, that a non-idempotent message which may have run
// is not sent again, and that nothing is sent to a closed endpoint.
func TestEventPairs(t *testing.T) {
	all := occurrences()
	pairCounts := map[string]int{} // how often both occurrences of a pair were possible
	var names []string
	for i := range all {
		for j := range all[:i+1] {
			name := all[i].name + " / " + all[j].name
			names = append(names, name)
			for seed := uint64(0); seed < 4 || pairCounts[name] < 3 && seed < 100; seed++ {
				for _, order := range pairOrders {
					pair := newPairSimulation(t, seed, uint64(i*40+j))
					pair.tracef("%s, %s, seed %d\n", name, order.name, seed)
					pair.runFrom(0, 20+pair.pairRNG.IntN(30))
					if order.apply(pair, &all[i], &all[j]) {
						pairCounts[name]++
					}
					pair.runToCompletion()
				}
			}
		}
	}
	// Every pair must have been possible at least once.
	untested := slices.DeleteFunc(names, func(name string) bool { return pairCounts[name] > 0 })
	if len(untested) > 0 {
		t.Errorf("%d pairs were never possible, want 0: %s", len(untested), strings.Join(untested, "; "))
	}
}

// newPairSimulation returns the simulation of a pair. The seed and the number of the pair determine
// all random choices.
func newPairSimulation(t *testing.T, seed, number uint64) *pairSimulation {
	t.Helper()
	sim := newSimulation(t, seed*1000+number)
	sim.mayHaveRunOnce = map[string]bool{}
	sim.logModel = newLogModel()
	pair := &pairSimulation{simulation: sim, pairRNG: rand.New(rand.NewPCG(seed, number))}
	sim.onEvent = pair.trackEvent
	return pair
}
