package core

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"troutusher/decide"
)

// crossing is one thing that can happen to a relay. It happens by an event, which
// can come in one step with another, or by what a driver does between two steps.
type crossing struct {
	name  string
	event func(p *pairing) (Event, bool) // false where there is nothing that it could happen to
	does  func(p *pairing) bool
}

// pairing is a world in which two of them meet.
type pairing struct {
	*world
	book    *book
	draw    *rand.Rand // what is drawn for the pair: the same in each order
	stopped bool
	next    int
}

// take draws one of the events that are to be told.
func (p *pairing) take(kinds ...EventKind) (Event, bool) {
	var at []int
	for i, e := range p.queue {
		if slices.Contains(kinds, e.Kind) {
			at = append(at, i)
		}
	}
	if len(at) == 0 {
		return Event{}, false
	}
	k := at[p.draw.IntN(len(at))]
	e := p.queue[k]
	p.queue = slices.Delete(p.queue, k, k+1)
	return e, true
}

// ended draws a call that is out and has it end in a way.
func (p *pairing) ended(o Result) (Event, bool) {
	e, ok := p.take(Finished, Unsent)
	if ok {
		e.Kind, e.Result = Finished, &o
	}
	return e, ok
}

// listed is a list of one endpoint in a phase.
func (p *pairing) listed(phase string) (Event, bool) {
	for _, k := range p.draw.Perm(6) {
		ep := p.core.byID[fmt.Sprint("s", k)]
		if ep == nil || !ep.listed {
			continue
		}
		m := ep.member
		m.Phase = phase
		return Event{Kind: News, News: decide.ListDelta, List: &List{Members: []Member{m}}}, true
	}
	return Event{}, false
}

// tells books what an event means for the world before the core hears it.
func (p *pairing) tells(e *Event) {
	switch {
	case e.Kind == Stop:
		p.stopped = true
	case e.Call != nil:
		p.out[e.Call.Rec.ID]--
		delete(p.open, e.Call)
		if e.Kind == Finished && !e.Result.What.NeverRan() && e.Result.What != decide.Delivered {
			p.mayRun(e.Call.Rec)
		}
	}
}

// mayRun notes that an attempt may have run: an unsafe message is never sent again.
func (p *pairing) mayRun(r *Record) {
	if r.Class == "once" {
		p.spent[r.ID] = true
	}
}

// restart kills the process and starts the next one on its log.
func (p *pairing) restart() bool {
	for c := range p.open {
		p.mayRun(c.Rec)
	}
	for i := range p.queue {
		if e := &p.queue[i]; e.Call != nil {
			p.mayRun(e.Call.Rec)
		}
	}
	p.queue, p.open, p.out, p.stopped = nil, map[*Call]bool{}, map[string]int{}, false
	list := &List{Complete: true}
	for _, ep := range p.core.endpoints {
		if ep.listed {
			list.Members = append(list.Members, ep.member)
		}
	}
	next, err := New(p.core.set)
	if err != nil {
		p.failf("%v", err)
	}
	p.core = next
	p.drained, p.cell = map[decide.EndpointID]bool{}, map[decide.EndpointID]int{}
	p.carry(next.Book(p.now, []Event{{Kind: News, List: list, News: decide.ListCached}}, nil))
	var owed []*Record
	for _, id := range p.book.order {
		if r := p.book.live[id]; r != nil {
			r.Settle()
			p.heard[id] = true // from here on it is owed, whatever its client heard
			c := *r
			owed = append(owed, &c)
		}
	}
	fx := next.Restore(p.now, owed, nil, 0, nil)
	p.book.written(fx, nil)
	p.carry(fx)
	p.step(p.book, nil)
	return true
}

// crossings are what can meet. Where a class of messages, a wait or an endpoint is
// drawn, it is drawn by the pair's own seed.
func crossings() []crossing {
	event := func(name string, f func(p *pairing) (Event, bool)) crossing { return crossing{name: name, event: f} }
	does := func(name string, f func(p *pairing) bool) crossing { return crossing{name: name, does: f} }
	outcome := func(name string, o Result) crossing {
		return event(name, func(p *pairing) (Event, bool) { return p.ended(o) })
	}
	return []crossing{
		event("a message comes", func(p *pairing) (Event, bool) {
			p.next++
			class := p.draw.IntN(3)
			rec := &Record{Kind: Taken, ID: fmt.Sprint("pair", p.next), Class: []string{"plain", "keyed", "once"}[class], Key: "k", Dest: p.draw.IntN(3),
				Deadline: p.core.wall(p.now + decide.Time(p.draw.IntN(3e6)))}
			return Event{Kind: Put, Request: &Request{Rec: rec, Class: class}}, true
		}),
		event("a client has its answer", func(p *pairing) (Event, bool) {
			e, ok := p.take(Said)
			if ok && !e.OK { // it has left: the other case
				p.queue = append(p.queue, e)
				return Event{}, false
			}
			return e, ok
		}),
		event("a client leaves before", func(p *pairing) (Event, bool) {
			e, ok := p.take(Said)
			if ok {
				e.OK = false
				delete(p.heard, e.Request.Rec.ID)
			}
			return e, ok
		}),
		outcome("a call is delivered", Result{What: decide.Delivered, Status: 200, Settled: true, Took: 1000}),
		outcome("a call is told to wait", Result{What: decide.Rejected, Status: 429, Wait: 400e3}),
		outcome("a call times out", Result{What: decide.TimedOut, Took: 300e3}),
		outcome("a call never leaves", Result{What: decide.NotSent}),
		outcome("a call is over there", Result{What: decide.NotSent, Status: 410, Settled: true}),
		event("a call cannot be logged", func(p *pairing) (Event, bool) {
			e, ok := p.take(Finished, Unsent)
			e.Kind, e.Result = Unsent, nil
			return e, ok
		}),
		event("an endpoint drains", func(p *pairing) (Event, bool) { return p.listed(Draining) }),
		event("an endpoint is removed", func(p *pairing) (Event, bool) { return p.listed(Removed) }),
		event("an endpoint is up", func(p *pairing) (Event, bool) { return p.listed(Up) }),
		event("the process is to end", func(p *pairing) (Event, bool) { return Event{Kind: Stop}, true }),
		event("the list has been waited for", func(p *pairing) (Event, bool) { return Event{Kind: Begin}, true }),
		does("a list is waited for", func(p *pairing) bool { p.core.Await(); return true }),
		does("a hand-over comes to nothing", func(p *pairing) bool {
			p.core.Cede()
			p.ceded = true
			for range 3 { // what was begun ends, and what comes is taken on
				p.playFrom(1000+10*p.next, 3)
				p.next++
			}
			p.ceded = false
			fx := p.core.Thaw(p.now, nil)
			p.book.written(fx, nil)
			p.carry(fx)
			return true
		}),
		does("the work is handed over", func(p *pairing) bool {
			if p.stopped {
				return false // the other process is not told to end
			}
			p.handOver(p.book, 777e6)
			return true
		}),
		does("a message's time is up", func(p *pairing) bool {
			for _, id := range p.book.order {
				if r := p.book.live[id]; r != nil && r.Notice == "" && p.core.fromWall(r.Deadline) > p.now {
					p.now = p.core.fromWall(r.Deadline)
					return true
				}
			}
			return false
		}),
		does("the process is killed", (*pairing).restart),
	}
}

// happen has one of them happen by itself.
func (p *pairing) happen(x *crossing) bool {
	if x.does != nil {
		return x.does(p)
	}
	e, ok := x.event(p)
	if ok {
		p.tells(&e)
		p.step(p.book, []Event{e})
	}
	return ok
}

// together has two events come in one step.
func (p *pairing) together(x, y *crossing) bool {
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
			p.tells(&e.Event)
			events = append(events, e.Event)
		}
	}
	p.step(p.book, events)
	return okA && okB
}

// settle tells all that is to be told, and has time pass until all has ended; a
// process that was to end is followed by its next one.
func (p *pairing) settle() {
	for turn := 0; turn < 400; turn++ {
		if p.now += 20e3; turn == 20 {
			if p.stopped {
				p.restart()
			}
			p.step(p.book, []Event{{Kind: Begin}})
		}
		events := p.queue
		p.queue = nil
		for i := range events {
			p.tells(&events[i])
		}
		p.step(p.book, events)
	}
	for id := range p.heard {
		if r := p.book.live[id]; r != nil && r.Notice == "" {
			p.failf("%s has no end: %+v", id, r)
		}
	}
	if c := p.core; c.Calls() != 0 || c.Held() != 0 || c.Waiting() != 0 {
		p.failf("at the end %d calls, %d messages and %d requests are counted", c.Calls(), c.Held(), c.Waiting())
	}
}

// Each pair of things that can happen, drawn at a step of chance, in either order
// and in one step: the log before the answer before the send, one attempt out for
// each message, an unsafe one that may have run never again, nothing to who has
// left, and one end for each.
func TestPairsOfEvents(t *testing.T) {
	all := crossings()
	met := map[string]int{}
	for i := range all {
		for j := range all[:i+1] {
			x, y := &all[i], &all[j]
			name := x.name + " / " + y.name
			for seed := uint64(0); seed < 4 || met[name] < 3 && seed < 100; seed++ {
				orders := map[string]func(p *pairing) bool{
					"first, then second": func(p *pairing) bool { return p.happen(x) && p.happen(y) },
					"second, then first": func(p *pairing) bool { return p.happen(y) && p.happen(x) },
					"together":           func(p *pairing) bool { return p.together(x, y) },
				}
				for _, order := range []string{"first, then second", "second, then first", "together"} {
					w := newWorld(t, seed*1000+uint64(i*40+j))
					w.spent = map[string]bool{}
					p := &pairing{world: w, book: &book{live: map[string]*Record{}}, draw: rand.New(rand.NewPCG(seed, uint64(i*40+j)))}
					w.log = p.book
					w.trace.WriteString(fmt.Sprintf("%s / %s, %s, seed %d\n", x.name, y.name, order, seed))
					w.telling = p.tells
					w.playFrom(0, 20+p.draw.IntN(30))
					if orders[order](p) {
						met[name]++
					}
					p.settle()
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
