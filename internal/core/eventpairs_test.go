package core

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"troutusher/policy"
)

// pairCase is one thing that can happen to a relay. It happens by an event, which
// can come in one step with another, or by what a driver does between two steps.
type pairCase struct {
	name  string
	event func(p *pairSimulation) (Event, bool) // false where there is nothing that it could happen to
	does  func(p *pairSimulation) bool
}

// pairSimulation is a world in which two of them meet.
type pairSimulation struct {
	*simulation
	book    *logModel
	draw    *rand.Rand // what is drawn for the pair: the same in each order
	stopped bool
	next    int
}

// take draws one of the events that are to be told.
func (p *pairSimulation) take(match func(Event) bool) (Event, bool) {
	var at []int
	for i, e := range p.queue {
		if match(e) {
			at = append(at, i)
		}
	}
	if len(at) == 0 {
		return nil, false
	}
	k := at[p.draw.IntN(len(at))]
	e := p.queue[k]
	p.queue = slices.Delete(p.queue, k, k+1)
	return e, true
}

func isReplyEnd(e Event) bool { return is[ReplyDelivered](e) }

func isAttemptEnd(e Event) bool { return callOf(e) != nil }

// endAttempt draws a call that is out and has it end in a way.
func (p *pairSimulation) endAttempt(o Result) (Event, bool) {
	e, ok := p.take(isAttemptEnd)
	if !ok {
		return nil, false
	}
	return AttemptFinished{Call: callOf(e), Result: &o}, true
}

// updateOneEndpoint is a list of one endpoint in a phase.
func (p *pairSimulation) updateOneEndpoint(phase string) (Event, bool) {
	for _, k := range p.draw.Perm(6) {
		ep := p.core.endpoints.byID[fmt.Sprint("s", k)]
		if ep == nil || !ep.listed {
			continue
		}
		m := ep.member
		m.Phase = phase
		return EndpointListUpdated{Kind: policy.ListDelta, List: &EndpointList{Members: []Member{m}}}, true
	}
	return nil, false
}

// observe books what an event means for the world before the core hears it.
func (p *pairSimulation) observe(e Event) {
	if is[ShutdownRequested](e) {
		p.stopped = true
	}
	if c := callOf(e); c != nil {
		p.openCallCount[c.Record.ID]--
		delete(p.openCalls, c)
	}
	if e, ok := e.(AttemptFinished); ok && !e.Result.Outcome.NeverRan() && e.Result.Outcome != policy.Delivered {
		p.noteMayHaveRun(e.Call.Record)
	}
}

// noteMayHaveRun notes that an attempt may have run: an unsafe message is never sent again.
func (p *pairSimulation) noteMayHaveRun(r *Record) {
	if r.Class == "once" {
		p.mayHaveRunOnce[r.ID] = true
	}
}

// restart kills the process and starts the next one on its log.
func (p *pairSimulation) restart() bool {
	for c := range p.openCalls {
		p.noteMayHaveRun(c.Record)
	}
	for _, e := range p.queue {
		if c := callOf(e); c != nil {
			p.noteMayHaveRun(c.Record)
		}
	}
	p.queue, p.openCalls, p.openCallCount, p.stopped = nil, map[*Call]bool{}, map[string]int{}, false
	list := &EndpointList{Complete: true}
	for _, ep := range p.core.endpoints.all {
		if ep.listed {
			list.Members = append(list.Members, ep.member)
		}
	}
	next, err := New(p.core.settings)
	if err != nil {
		p.failf("%v", err)
	}
	p.core = next
	p.closedEndpoints, p.destOf = map[policy.EndpointID]bool{}, map[policy.EndpointID]int{}
	p.execute(next.Observe(p.now, []Event{EndpointListUpdated{List: list, Kind: policy.ListCached}}, nil))
	var owed []*Record
	for _, id := range p.book.order {
		if r := p.book.pending[id]; r != nil {
			r.ResolveOpenAttempt()
			p.acknowledged[id] = true // from here on it is owed, whatever its client heard
			c := *r
			owed = append(owed, &c)
		}
	}
	fx := next.RecoverMessages(p.now, owed, nil, 0, nil)
	p.book.written(fx, nil)
	p.execute(fx)
	p.step(p.book, nil)
	return true
}

// pairCases are what can meet. Where a class of messages, a wait or an endpoint is
// drawn, it is drawn by the pair's own seed.
func pairCases() []pairCase {
	event := func(name string, f func(p *pairSimulation) (Event, bool)) pairCase {
		return pairCase{name: name, event: f}
	}
	does := func(name string, f func(p *pairSimulation) bool) pairCase { return pairCase{name: name, does: f} }
	outcome := func(name string, o Result) pairCase {
		return event(name, func(p *pairSimulation) (Event, bool) { return p.endAttempt(o) })
	}
	return []pairCase{
		event("a message comes", func(p *pairSimulation) (Event, bool) {
			p.next++
			class := p.draw.IntN(3)
			rec := &Record{Kind: RecordAccepted, ID: fmt.Sprint("pair", p.next), Class: []string{"plain", "keyed", "once"}[class], Key: "k", Dest: p.draw.IntN(3),
				Deadline: p.core.wallTime(p.now + policy.Time(p.draw.IntN(3e6)))}
			return Submitted{Request: &Request{Record: rec, Class: class}}, true
		}),
		event("a client has its answer", func(p *pairSimulation) (Event, bool) {
			e, ok := p.take(isReplyEnd)
			if ok && !e.(ReplyDelivered).OK { // it has left: the other case
				p.queue = append(p.queue, e)
				return nil, false
			}
			return e, ok
		}),
		event("a client leaves before", func(p *pairSimulation) (Event, bool) {
			e, ok := p.take(isReplyEnd)
			if !ok {
				return nil, false
			}
			q := e.(ReplyDelivered).Request
			delete(p.acknowledged, q.Record.ID)
			return ReplyDelivered{Request: q, OK: false}, true
		}),
		outcome("a call is delivered", Result{Outcome: policy.Delivered, Status: 200, Final: true, Elapsed: 1000}),
		outcome("a call is told to wait", Result{Outcome: policy.Rejected, Status: 429, RetryAfter: 400e3}),
		outcome("a call times out", Result{Outcome: policy.TimedOut, Elapsed: 300e3}),
		outcome("a call never leaves", Result{Outcome: policy.NotSent}),
		outcome("a call is over there", Result{Outcome: policy.NotSent, Status: 410, Final: true}),
		event("a call cannot be logged", func(p *pairSimulation) (Event, bool) {
			e, ok := p.take(isAttemptEnd)
			if !ok {
				return nil, false
			}
			return AttemptNotLogged{Call: callOf(e)}, true
		}),
		event("an endpoint drains", func(p *pairSimulation) (Event, bool) { return p.updateOneEndpoint(Draining) }),
		event("an endpoint is removed", func(p *pairSimulation) (Event, bool) { return p.updateOneEndpoint(Removed) }),
		event("an endpoint is up", func(p *pairSimulation) (Event, bool) { return p.updateOneEndpoint(Up) }),
		event("the process is to end", func(p *pairSimulation) (Event, bool) { return ShutdownRequested{}, true }),
		event("the list has been waited for", func(p *pairSimulation) (Event, bool) { return Started{}, true }),
		does("a list is waited for", func(p *pairSimulation) bool { p.core.DeferSends(); return true }),
		does("a hand-over comes to nothing", func(p *pairSimulation) bool {
			p.core.BeginHandover()
			p.handingOver = true
			for range 3 { // what was begun ends, and what comes is taken on
				p.playFrom(1000+10*p.next, 3)
				p.next++
			}
			p.handingOver = false
			fx := p.core.ResumeSends(p.now, nil)
			p.book.written(fx, nil)
			p.execute(fx)
			return true
		}),
		does("the work is handed over", func(p *pairSimulation) bool {
			if p.stopped {
				return false // the other process is not told to end
			}
			p.handOver(p.book, 777e6)
			return true
		}),
		does("a message's time is up", func(p *pairSimulation) bool {
			for _, id := range p.book.order {
				if r := p.book.pending[id]; r != nil && r.Notice == "" && p.core.fromWallTime(r.Deadline) > p.now {
					p.now = p.core.fromWallTime(r.Deadline)
					return true
				}
			}
			return false
		}),
		does("the process is killed", (*pairSimulation).restart),
	}
}

// apply has one of them happen by itself.
func (p *pairSimulation) apply(x *pairCase) bool {
	if x.does != nil {
		return x.does(p)
	}
	e, ok := x.event(p)
	if ok {
		p.observe(e)
		p.step(p.book, []Event{e})
	}
	return ok
}

// applyBoth has two events come in one step.
func (p *pairSimulation) applyBoth(x, y *pairCase) bool {
	if x.event == nil || y.event == nil {
		return false
	}
	a, okA := x.event(p)
	b, okB := y.event(p)
	var events []Event
	for _, e := range []struct {
		Event
		ok bool
	}{{a, okA}, {b, okB}} {
		if e.ok {
			p.observe(e.Event)
			events = append(events, e.Event)
		}
	}
	p.step(p.book, events)
	return okA && okB
}

// finishAll tells all that is to be told, and has time pass until all has ended; a
// process that was to end is followed by its next one.
func (p *pairSimulation) finishAll() {
	for turn := 0; turn < 400; turn++ {
		if p.now += 20e3; turn == 20 {
			if p.stopped {
				p.restart()
			}
			p.step(p.book, []Event{Started{}})
		}
		events := p.queue
		p.queue = nil
		for i := range events {
			p.observe(events[i])
		}
		p.step(p.book, events)
	}
	for id := range p.acknowledged {
		if r := p.book.pending[id]; r != nil && r.Notice == "" {
			p.failf("%s has no end: %+v", id, r)
		}
	}
	if c := p.core; c.OpenCalls() != 0 || c.HeldMessages() != 0 || c.UnansweredRequests() != 0 {
		p.failf("at the end %d calls, %d messages and %d requests are counted", c.OpenCalls(), c.HeldMessages(), c.UnansweredRequests())
	}
}

// Each pair of things that can happen, drawn at a step of chance, in either order
// and in one step: the log before the answer before the send, one attempt out for
// each message, an unsafe one that may have run never again, nothing to who has
// left, and one end for each.
func TestEventPairs(t *testing.T) {
	all := pairCases()
	met := map[string]int{}
	for i := range all {
		for j := range all[:i+1] {
			x, y := &all[i], &all[j]
			name := x.name + " / " + y.name
			for seed := uint64(0); seed < 4 || met[name] < 3 && seed < 100; seed++ {
				orders := map[string]func(p *pairSimulation) bool{
					"first, then second": func(p *pairSimulation) bool { return p.apply(x) && p.apply(y) },
					"second, then first": func(p *pairSimulation) bool { return p.apply(y) && p.apply(x) },
					"together":           func(p *pairSimulation) bool { return p.applyBoth(x, y) },
				}
				for _, order := range []string{"first, then second", "second, then first", "together"} {
					w := newSimulation(t, seed*1000+uint64(i*40+j))
					w.mayHaveRunOnce = map[string]bool{}
					p := &pairSimulation{simulation: w, book: &logModel{pending: map[string]*Record{}}, draw: rand.New(rand.NewPCG(seed, uint64(i*40+j)))}
					w.logModel = p.book
					w.trace.WriteString(fmt.Sprintf("%s / %s, %s, seed %d\n", x.name, y.name, order, seed))
					w.onEvent = p.observe
					w.playFrom(0, 20+p.draw.IntN(30))
					if orders[order](p) {
						met[name]++
					}
					p.finishAll()
				}
			}
		}
	}
	// Each pair has met, but for two of one kind that need the same one thing.
	var never []string
	for i := range all {
		for j := range all[:i+1] {
			if name := all[i].name + " / " + all[j].name; met[name] == 0 {
				never = append(never, name)
			}
		}
	}
	if len(never) > 0 {
		t.Errorf("%d pairs never met: %s", len(never), strings.Join(never, "; "))
	}
}
