package core

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"troutusher/decide"
)

// book keeps the log as a driver does.
type book struct {
	order []string
	live  map[string]*Record
}

func (b *book) apply(r *Record) {
	old := b.live[r.ID]
	switch {
	case r.Kind == Taken && old == nil:
		c := *r
		b.live[r.ID] = &c
		b.order = append(b.order, r.ID)
	case old == nil:
	case r.Kind == End:
		delete(b.live, r.ID)
	default:
		old.Fold(r)
	}
}

// written books what effects have logged.
func (b *book) written(fx []Effect, lost map[*Request]bool) {
	for i := range fx {
		if r := fx[i].Record; r != nil && !(fx[i].Kind == LogThenAnswer && lost[fx[i].Request]) {
			b.apply(r)
		}
	}
}

// handOver moves a world's core into a fresh one whose clock reads otherwise,
// as two processes do it: requests answered, nothing begun, the log read anew.
func (w *world) handOver(b *book, shift decide.Time) (goesOn int) {
	w.core.Cede()
	for limit := 0; w.core.Waiting() > 0; limit++ {
		if limit > 1000 {
			w.failf("%d requests are never answered", w.core.Waiting())
		}
		var events []Event
		w.queue = slices.DeleteFunc(w.queue, func(e Event) bool {
			if e.Call != nil {
				return false
			}
			events = append(events, e)
			return true
		})
		w.step(b, events)
	}
	text, err := json.Marshal(w.core.Carry(w.now))
	if err != nil {
		w.failf("%v", err)
	}
	if w.golden != nil {
		fmt.Fprintf(w.golden, "%d handover %s\n", w.now, text)
	}
	c := &Carried{}
	if err := json.Unmarshal(text, c); err != nil {
		w.failf("%v", err)
	}
	out := map[string]bool{}
	for _, k := range c.Calls {
		out[k.Message] = true
	}
	var owed []*Record
	for _, id := range b.order {
		if r := b.live[id]; r != nil {
			if !out[id] {
				r.Settle()
			}
			owed = append(owed, r)
		}
	}
	set := w.core.set
	set.Epoch -= shift
	next, err := New(set)
	if err != nil {
		w.failf("%v", err)
	}
	w.core, w.now = next, w.now+shift
	w.drained, w.cell = map[decide.EndpointID]bool{}, map[decide.EndpointID]int{}
	fx := next.Restore(w.now, owed, c, shift, nil)
	calls := map[string]*Call{}
	for i := range fx {
		if fx[i].Kind == GoOn {
			calls[fx[i].Call.Rec.ID] = fx[i].Call
		}
	}
	if len(calls) != len(c.Calls) {
		w.failf("%d calls go on of %d", len(calls), len(c.Calls))
	}
	w.open = map[*Call]bool{}
	w.queue = slices.DeleteFunc(w.queue, func(e Event) bool { return e.Call == nil })
	for i := range w.queue {
		e := &w.queue[i]
		id := e.Call.Rec.ID
		if k := calls[id]; k != nil { // its end comes here
			if e.Kind == Unsent {
				e.Kind, e.Result = Finished, &Result{What: decide.ConnectionReset}
			}
			e.Call = k
			w.open[k] = true
			goesOn++
		} else { // its message is over: nobody waits for it
			w.out[id]--
			e.Call = nil
		}
	}
	w.queue = slices.DeleteFunc(w.queue, func(e Event) bool { return e.Call == nil })
	if w.driver != nil { // those that are out whole go on
		for i := range fx {
			if k := fx[i].Call; fx[i].Kind == GoOn {
				w.open[k] = true
				w.driver.calls = append(w.driver.calls, &wayOut{call: k, step: 3})
				goesOn++
			}
		}
	}
	for i := range fx { // notices that were logged go out once more, harmlessly
		if fx[i].Kind == Notify {
			w.trace.WriteString("again " + fx[i].Notice.Message + "\n")
		}
	}
	b.written(fx, nil)
	w.carry(fx)
	if w.driver != nil {
		for _, c := range w.driver.calls {
			c.home = w.driver.homes[c.call.Endpoint]
		}
	}
	return goesOn
}

func (w *world) step(b *book, events []Event) {
	lost := map[*Request]bool{}
	fx := w.core.Step(w.now, events, nil)
	w.carry(fx)
	for _, e := range w.queue {
		if e.Kind == Lost {
			lost[e.Request] = true
		}
	}
	b.written(fx, lost)
}

// Handed over again and again under load, the relay is one relay: nothing is
// sent twice at a time, sent after its end, ended twice or lost.
func TestHandedOverAgainAndAgain(t *testing.T) {
	goesOn, ends := 0, 0
	for seed := range uint64(60) {
		w := newWorld(t, seed)
		b := &book{live: map[string]*Record{}}
		w.log = b
		for turn := range 8 {
			w.playFrom(turn*60, 60)
			goesOn += w.handOver(b, decide.Time(w.rng.Int64N(2e9))-1e9)
		}
		for range 4000 { // to the end of all that was taken on
			w.now += 20e3
			w.rest()
		}
		for id := range w.heard {
			if r := b.live[id]; r != nil && r.Notice == "" {
				w.failf("%s has no end: %+v", id, r)
			}
			ends += w.ended[id]
		}
	}
	if goesOn < 300 || ends < 300 {
		t.Errorf("only %d calls were out at a hand-over, and %d messages ended by a notice", goesOn, ends)
	}
}

// A hand-over that comes to nothing leaves the core as it was: what was put off
// meanwhile goes out.
func TestThaw(t *testing.T) {
	s := newStopper(t)
	s.core.Cede()
	if taken, sent := s.put("m", "plain", 1); !taken || sent {
		t.Fatalf("while ceding: taken %v, sent %v", taken, sent)
	}
	fx := s.core.Thaw(s.now, nil)
	if len(fx) != 1 || fx[0].Kind != LogThenSend || fx[0].Call.Rec.ID != "m" {
		t.Errorf("after it: %+v", fx)
	}
}

// A wait that the old process was told holds for the new one, to the moment,
// and so do its failures.
func TestWaitsAndFailuresAreCarried(t *testing.T) {
	s := newStopper(t)
	if _, sent := s.put("a", "plain", 1); !sent {
		t.Fatal("not sent")
	}
	c := s.core.ids["a"].call
	s.now += 10e3
	s.step(Event{Kind: Finished, Call: c, Result: &Result{What: decide.Rejected, Status: 429, Wait: 3e6}})
	w := &world{t: t, core: s.core, now: s.now}
	const shift = decide.Time(-777e6)
	carried := w.core.Carry(w.now)
	set := s.core.set
	set.Epoch -= shift
	next, err := New(set)
	if err != nil {
		t.Fatal(err)
	}
	rec := *s.core.ids["a"].rec
	rec.Tries = 1
	s.core, s.now = next, s.now+shift
	next.Restore(s.now, []*Record{&rec}, carried, shift, nil)
	began, sentAt := s.now, decide.Time(0)
	for sentAt == 0 && s.now < began+10e6 {
		s.now += 10e3
		fx := s.step()
		for i := range fx {
			if fx[i].Kind == LogThenSend {
				sentAt = s.now
			}
		}
	}
	if wait := sentAt - began; sentAt == 0 || wait < 3e6 {
		t.Errorf("sent %d ms after the hand-over, and a wait of 3,000 was told", wait/1000)
	}
}
