package core

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"troutusher/policy"
)

// pairCase is one thing that can happen to a relay. It happens by an event, which can
// come in one step with another, or by an action of a driver between two steps. Both
// report false where there is nothing that it could happen to.
type pairCase struct {
	name   string
	event  func(pair *pairSimulation) (Event, bool)
	action func(pair *pairSimulation) bool
}

// pairSimulation is a simulation in which two of them meet.
type pairSimulation struct {
	*simulation
	draw    *rand.Rand // of the pair: the same in each order
	stopped bool
	next    int
}

// take draws one of the queued events.
func (pair *pairSimulation) take(match func(Event) bool) (Event, bool) {
	var matches []int
	for i, event := range pair.queue {
		if match(event) {
			matches = append(matches, i)
		}
	}
	if len(matches) == 0 {
		return nil, false
	}
	i := matches[pair.draw.IntN(len(matches))]
	event := pair.queue[i]
	pair.queue = slices.Delete(pair.queue, i, i+1)
	return event, true
}

func isAttemptEnd(event Event) bool { return callOf(event) != nil }

// endAttempt draws an open call and ends it by a result.
func (pair *pairSimulation) endAttempt(result Result) (Event, bool) {
	e, ok := pair.take(isAttemptEnd)
	if !ok {
		return nil, false
	}
	return AttemptFinished{Call: callOf(e), Result: &result}, true
}

// updateOneEndpoint is a list of one endpoint, in a phase.
func (pair *pairSimulation) updateOneEndpoint(phase string) (Event, bool) {
	for _, k := range pair.draw.Perm(6) {
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

// observe notes what an event means for the simulation, before the core is told.
func (pair *pairSimulation) observe(event Event) {
	if is[ShutdownRequested](event) {
		pair.stopped = true
	}
	pair.closeCall(event)
	if e, ok := event.(AttemptFinished); ok && !e.Result.Outcome.NeverRan() && e.Result.Outcome != policy.Delivered {
		pair.noteMayHaveRun(e.Call.Record)
	}
}

// noteMayHaveRun notes that an attempt may have run: if it must not run twice, its message
// is never sent again.
func (pair *pairSimulation) noteMayHaveRun(record *Record) {
	if record.Class == "once" {
		pair.mayHaveRunOnce[record.ID] = true
	}
}

// restart kills the process and starts the next one on its log.
func (pair *pairSimulation) restart() bool {
	for call := range pair.openCalls {
		pair.noteMayHaveRun(call.Record)
	}
	for _, e := range pair.queue {
		if call := callOf(e); call != nil {
			pair.noteMayHaveRun(call.Record)
		}
	}
	pair.queue, pair.openCalls, pair.openCallCount, pair.stopped = nil, map[*Call]bool{}, map[string]int{}, false
	list := &EndpointList{Complete: true}
	for _, endpoint := range pair.core.endpoints.all {
		if endpoint.listed {
			list.Members = append(list.Members, endpoint.member)
		}
	}
	next, err := New(pair.core.settings)
	if err != nil {
		pair.failf("%v", err)
	}
	pair.core = next
	pair.closedEndpoints, pair.destOf = map[policy.EndpointID]bool{}, map[policy.EndpointID]int{}
	pair.execute(next.Observe(pair.now, []Event{EndpointListUpdated{List: list, Kind: policy.ListCached}}, nil))
	var owed []*Record
	for _, record := range pair.logModel.owed(nil) {
		pair.acknowledged[record.ID] = true // from here on it is owed, whatever its client heard
		recovered := *record
		owed = append(owed, &recovered)
	}
	effects := next.RecoverMessages(pair.now, owed, nil, 0, nil)
	pair.logModel.applyEffects(effects, nil)
	pair.execute(effects)
	pair.step(pair.logModel, nil)
	return true
}

// pairCases are what can meet. Where a class of messages, a Retry-After or an endpoint is
// drawn, it is drawn by the pair's own seed.
func pairCases() []pairCase {
	event := func(name string, f func(pair *pairSimulation) (Event, bool)) pairCase {
		return pairCase{name: name, event: f}
	}
	action := func(name string, f func(pair *pairSimulation) bool) pairCase {
		return pairCase{name: name, action: f}
	}
	outcome := func(name string, result Result) pairCase {
		return event(name, func(pair *pairSimulation) (Event, bool) { return pair.endAttempt(result) })
	}
	phase := func(name, phase string) pairCase {
		return event(name, func(pair *pairSimulation) (Event, bool) { return pair.updateOneEndpoint(phase) })
	}
	return []pairCase{
		event("a message comes", func(pair *pairSimulation) (Event, bool) {
			pair.next++
			class := pair.draw.IntN(3)
			record := &Record{Kind: RecordAccepted, ID: fmt.Sprint("pair", pair.next), Key: "k"}
			record.Class = classNames[class]
			record.Dest = pair.draw.IntN(3)
			record.Deadline = pair.core.wallTime(pair.now + policy.Time(pair.draw.IntN(3e6)))
			return Submitted{Request: &Request{Record: record, Class: class}}, true
		}),
		event("a client has its reply", func(pair *pairSimulation) (Event, bool) {
			event, ok := pair.take(is[ReplyDelivered, Event])
			if ok && !event.(ReplyDelivered).OK { // it has left: the other case
				pair.queue = append(pair.queue, event)
				return nil, false
			}
			return event, ok
		}),
		event("a client leaves before", func(pair *pairSimulation) (Event, bool) {
			event, ok := pair.take(is[ReplyDelivered, Event])
			if !ok {
				return nil, false
			}
			request := event.(ReplyDelivered).Request
			delete(pair.acknowledged, request.Record.ID)
			return ReplyDelivered{Request: request, OK: false}, true
		}),
		outcome("a call is delivered", Result{Outcome: policy.Delivered, Status: 200, Final: true, Elapsed: 1000}),
		outcome("a call is told to wait", Result{Outcome: policy.Rejected, Status: 429, RetryAfter: 400e3}),
		outcome("a call times out", Result{Outcome: policy.TimedOut, Elapsed: 300e3}),
		outcome("a call never leaves", Result{Outcome: policy.NotSent}),
		outcome("a message had ended there", Result{Outcome: policy.NotSent, Status: 410, Final: true}),
		event("a call cannot be logged", func(pair *pairSimulation) (Event, bool) {
			e, ok := pair.take(isAttemptEnd)
			if !ok {
				return nil, false
			}
			return AttemptNotLogged{Call: callOf(e)}, true
		}),
		phase("an endpoint drains", Draining),
		phase("an endpoint is removed", Removed),
		phase("an endpoint is up", Up),
		event("the process is to end", func(pair *pairSimulation) (Event, bool) { return ShutdownRequested{}, true }),
		event("the list was waited for", func(pair *pairSimulation) (Event, bool) { return Started{}, true }),
		action("a list is waited for", func(pair *pairSimulation) bool { pair.core.DeferSends(); return true }),
		action("a handover fails", func(pair *pairSimulation) bool {
			pair.core.BeginHandover()
			pair.handingOver = true
			for range 3 { // open calls end, and messages are accepted
				pair.playFrom(1000+10*pair.next, 3)
				pair.next++
			}
			pair.handingOver = false
			effects := pair.core.ResumeSends(pair.now, nil)
			pair.logModel.applyEffects(effects, nil)
			pair.execute(effects)
			return true
		}),
		action("the state is handed over", func(pair *pairSimulation) bool {
			if pair.stopped {
				return false // the other process is not told to shut down
			}
			pair.handOver(pair.logModel, 777e6)
			return true
		}),
		action("a message's deadline comes", (*pairSimulation).passDeadline),
		action("the process is killed", (*pairSimulation).restart),
	}
}

// passDeadline goes on to the deadline of the oldest message that is owed.
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

// apply has one of them happen by itself.
func (pair *pairSimulation) apply(one *pairCase) bool {
	if one.action != nil {
		return one.action(pair)
	}
	event, ok := one.event(pair)
	if ok {
		pair.observe(event)
		pair.step(pair.logModel, []Event{event})
	}
	return ok
}

// applyBoth has two events come in one step.
func (pair *pairSimulation) applyBoth(one, other *pairCase) bool {
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
		pair.observe(event)
	}
	pair.step(pair.logModel, events)
	return okFirst && okSecond
}

// finishAll tells all that is queued, and has time pass until all has ended; a process
// that was to shut down is followed by its next one.
func (pair *pairSimulation) finishAll() {
	for turn := range 400 {
		pair.now += 20e3
		if turn == 20 {
			if pair.stopped {
				pair.restart()
			}
			pair.step(pair.logModel, []Event{Started{}})
		}
		events := pair.queue
		pair.queue = nil
		for _, event := range events {
			pair.observe(event)
		}
		pair.step(pair.logModel, events)
	}
	for id := range pair.acknowledged {
		if record := pair.logModel.pending[id]; record != nil && record.Notice == "" {
			pair.failf("%s has no end: %+v", id, record)
		}
	}
	calls, held, unanswered := pair.core.OpenCalls(), pair.core.HeldMessages(), pair.core.UnansweredRequests()
	if calls != 0 || held != 0 || unanswered != 0 {
		pair.failf("at the end %d calls, %d messages and %d requests are counted", calls, held, unanswered)
	}
}

// pairOrders are the orders in which two of them can happen.
var pairOrders = []struct {
	name  string
	apply func(pair *pairSimulation, one, other *pairCase) bool
}{
	{"first, then second", func(pair *pairSimulation, one, other *pairCase) bool {
		return pair.apply(one) && pair.apply(other)
	}},
	{"second, then first", func(pair *pairSimulation, one, other *pairCase) bool {
		return pair.apply(other) && pair.apply(one)
	}},
	{"together", (*pairSimulation).applyBoth},
}

// Each pair of things that can happen, drawn at a random step, in either order and in
// one step: the log before the reply before the send, one open attempt of each message,
// never again one that must not run twice and may have run, nothing to an endpoint that
// has left, and one end of each message.
func TestEventPairs(t *testing.T) {
	all := pairCases()
	met := map[string]int{}
	var names []string
	for i := range all {
		for j := range all[:i+1] {
			name := all[i].name + " / " + all[j].name
			names = append(names, name)
			for seed := uint64(0); seed < 4 || met[name] < 3 && seed < 100; seed++ {
				for _, order := range pairOrders {
					pair := newPairSimulation(t, seed, uint64(i*40+j))
					pair.tracef("%s, %s, seed %d\n", name, order.name, seed)
					pair.playFrom(0, 20+pair.draw.IntN(30))
					if order.apply(pair, &all[i], &all[j]) {
						met[name]++
					}
					pair.finishAll()
				}
			}
		}
	}
	// Each pair has met, but for two of one kind that need the same one thing.
	never := slices.DeleteFunc(names, func(name string) bool { return met[name] > 0 })
	if len(never) > 0 {
		t.Errorf("%d pairs never met: %s", len(never), strings.Join(never, "; "))
	}
}

// newPairSimulation is the simulation of a pair, by its number.
func newPairSimulation(t *testing.T, seed, number uint64) *pairSimulation {
	t.Helper()
	sim := newSimulation(t, seed*1000+number)
	sim.mayHaveRunOnce = map[string]bool{}
	sim.logModel = newLogModel()
	pair := &pairSimulation{simulation: sim, draw: rand.New(rand.NewPCG(seed, number))}
	sim.onEvent = pair.observe
	return pair
}
