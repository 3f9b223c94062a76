package core

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"troutusher/policy"
)

// logModel keeps the log as a driver does.
type logModel struct {
	order   []string
	pending map[string]*Record
}

func (b *logModel) apply(r *Record) {
	old := b.pending[r.ID]
	switch {
	case r.Kind == RecordAccepted && old == nil:
		c := *r
		b.pending[r.ID] = &c
		b.order = append(b.order, r.ID)
	case old == nil:
	case r.Kind == RecordDone:
		delete(b.pending, r.ID)
	default:
		old.Apply(r)
	}
}

// written books what effects have logged.
func (b *logModel) written(fx []Effect, lost map[*Request]bool) {
	for i := range fx {
		if e, ok := fx[i].(AppendThenReply); ok && lost[e.Request] {
			continue
		}
		if r := recordOf(fx[i]); r != nil {
			b.apply(r)
		}
	}
}

// handOver moves a world's core into a fresh one whose clock reads otherwise,
// as two processes do it: requests answered, nothing begun, the log read anew.
func (w *simulation) handOver(b *logModel, shift policy.Time) (goesOn int) {
	w.core.BeginHandover()
	for limit := 0; w.core.UnansweredRequests() > 0; limit++ {
		if limit > 1000 {
			w.failf("%d requests are never answered", w.core.UnansweredRequests())
		}
		var events []Event
		w.queue = slices.DeleteFunc(w.queue, func(e Event) bool {
			if callOf(e) != nil {
				return false
			}
			events = append(events, e)
			return true
		})
		w.step(b, events)
	}
	text, err := json.Marshal(w.core.ExportHandover(w.now))
	if err != nil {
		w.failf("%v", err)
	}
	if w.golden != nil {
		fmt.Fprintf(w.golden, "%d handover %s\n", w.now, text)
	}
	c := &HandoverState{}
	if err := json.Unmarshal(text, c); err != nil {
		w.failf("%v", err)
	}
	out := map[string]bool{}
	for _, k := range c.Calls {
		out[k.Message] = true
	}
	var owed []*Record
	for _, id := range b.order {
		if r := b.pending[id]; r != nil {
			if !out[id] {
				r.ResolveOpenAttempt()
			}
			owed = append(owed, r)
		}
	}
	set := w.core.settings
	set.Epoch -= shift
	next, err := New(set)
	if err != nil {
		w.failf("%v", err)
	}
	w.core, w.now = next, w.now+shift
	w.closedEndpoints, w.destOf = map[policy.EndpointID]bool{}, map[policy.EndpointID]int{}
	fx := next.RecoverMessages(w.now, owed, c, shift, nil)
	calls := map[string]*Call{}
	for i := range fx {
		if e, ok := fx[i].(ResumeCall); ok {
			calls[e.Call.Record.ID] = e.Call
		}
	}
	if len(calls) != len(c.Calls) {
		w.failf("%d calls go on of %d", len(calls), len(c.Calls))
	}
	w.openCalls = map[*Call]bool{}
	w.queue = slices.DeleteFunc(w.queue, func(e Event) bool { return callOf(e) == nil })
	for i, e := range w.queue {
		id := callOf(e).Record.ID
		if k := calls[id]; k != nil { // its end comes here
			end := AttemptFinished{Call: k, Result: &Result{Outcome: policy.ConnectionReset}}
			if e, ok := e.(AttemptFinished); ok {
				end.Result = e.Result
			}
			w.queue[i] = end
			w.openCalls[k] = true
			goesOn++
		} else { // its message is over: nobody waits for it
			w.openCallCount[id]--
			w.queue[i] = nil
		}
	}
	w.queue = slices.DeleteFunc(w.queue, func(e Event) bool { return e == nil })
	if w.driver != nil { // those that are out whole go on
		for i := range fx {
			if e, ok := fx[i].(ResumeCall); ok {
				w.openCalls[e.Call] = true
				w.driver.calls = append(w.driver.calls, &driverCall{call: e.Call, step: 3})
				goesOn++
			}
		}
	}
	for i := range fx { // notices that were logged go out once more, harmlessly
		if e, ok := fx[i].(SendNotice); ok {
			w.trace.WriteString("again " + e.Notice.Message + "\n")
		}
	}
	b.written(fx, nil)
	w.execute(fx)
	if w.driver != nil {
		for _, c := range w.driver.calls {
			c.endpoint = w.driver.endpoints[c.call.Endpoint]
		}
	}
	return goesOn
}

func (w *simulation) step(b *logModel, events []Event) {
	lost := map[*Request]bool{}
	fx := w.core.Step(w.now, events, nil)
	w.execute(fx)
	for _, e := range w.queue {
		if e, ok := e.(LogWriteFailed); ok {
			lost[e.Request] = true
		}
	}
	b.written(fx, lost)
}

// Handed over again and again under load, the relay is one relay: nothing is
// sent twice at a time, sent after its end, ended twice or lost.
func TestRepeatedHandover(t *testing.T) {
	goesOn, ends := 0, 0
	for seed := range uint64(60) {
		w := newSimulation(t, seed)
		b := &logModel{pending: map[string]*Record{}}
		w.logModel = b
		for turn := range 8 {
			w.playFrom(turn*60, 60)
			goesOn += w.handOver(b, policy.Time(w.rng.Int64N(2e9))-1e9)
		}
		for range 4000 { // to the end of all that was taken on
			w.now += 20e3
			w.drainQueue()
		}
		for id := range w.acknowledged {
			if r := b.pending[id]; r != nil && r.Notice == "" {
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
func TestResumeSends(t *testing.T) {
	s := newShutdownFixture(t)
	s.core.BeginHandover()
	if taken, sent := s.submit("m", "plain", 1); !taken || sent {
		t.Fatalf("while ceding: taken %v, sent %v", taken, sent)
	}
	fx := s.core.ResumeSends(s.now, nil)
	if len(fx) != 1 || !is[AppendThenSend](fx[0]) || fx[0].(AppendThenSend).Call.Record.ID != "m" {
		t.Errorf("after it: %+v", fx)
	}
}

// A wait that the old process was told holds for the new one, to the moment,
// and so do its failures.
func TestHandoverKeepsRetryAfterAndFailures(t *testing.T) {
	s := newShutdownFixture(t)
	if _, sent := s.submit("a", "plain", 1); !sent {
		t.Fatal("not sent")
	}
	c := s.core.messages.byID["a"].call
	s.now += 10e3
	s.step(AttemptFinished{Call: c, Result: &Result{Outcome: policy.Rejected, Status: 429, RetryAfter: 3e6}})
	w := &simulation{t: t, core: s.core, now: s.now}
	const shift = policy.Time(-777e6)
	carried := w.core.ExportHandover(w.now)
	set := s.core.settings
	set.Epoch -= shift
	next, err := New(set)
	if err != nil {
		t.Fatal(err)
	}
	rec := *s.core.messages.byID["a"].record
	rec.Attempts = 1
	s.core, s.now = next, s.now+shift
	next.RecoverMessages(s.now, []*Record{&rec}, carried, shift, nil)
	began, sentAt := s.now, policy.Time(0)
	for sentAt == 0 && s.now < began+10e6 {
		s.now += 10e3
		fx := s.step()
		for i := range fx {
			if is[AppendThenSend](fx[i]) {
				sentAt = s.now
			}
		}
	}
	if wait := sentAt - began; sentAt == 0 || wait < 3e6 {
		t.Errorf("sent %d ms after the hand-over, and a wait of 3,000 was told", wait/1000)
	}
}
