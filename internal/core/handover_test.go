package core

import (
	"slices"
	"testing"

	"troutusher/policy"
)

// TestRepeatedHandover guards against messages that a hand-over under load loses, sends twice at a
// time, sends after their end or ends twice.
func TestRepeatedHandover(t *testing.T) {
	resumed, ends := 0, 0
	for seed := range uint64(80) {
		sim := newSimulation(t, seed)
		log := newLogModel()
		sim.logModel = log
		for turn := range 8 {
			sim.runFrom(turn*60, 60)
			resumed += sim.handOver(log, policy.Time(sim.rng.Int64N(2e9))-1e9)
		}
		for range 4000 { // 80 s, long enough for all accepted messages to end
			sim.now += 20e3
			sim.flushQueue()
		}
		for id := range sim.acknowledged {
			if record := log.pending[id]; record != nil && record.Notice == "" {
				sim.failf("message %s has no end, its record is %+v", id, record)
			}
			ends += sim.ended[id]
		}
	}
	if resumed < 300 || ends < 300 {
		t.Errorf("the test is too weak: %d calls were open at a hand-over and %d messages ended with a notice, "+
			"want at least 300 of each", resumed, ends)
	}
}

// TestResumeSends guards against messages that are never sent because they were accepted during a
// hand-over that failed.
func TestResumeSends(t *testing.T) {
	s := newShutdownFixture(t)
	s.core.BeginHandover()
	if accepted, sent := s.submit("m", "plain", 1); !accepted || sent {
		t.Fatalf("submit(m) during a hand-over: accepted = %v, sent = %v, want true, false", accepted, sent)
	}
	effects := s.core.ResumeSends(s.now, nil)
	if len(effects) != 1 || !is[AppendThenSend](effects[0]) || effects[0].(AppendThenSend).Call.Record.ID != "m" {
		t.Errorf("ResumeSends() = %+v, want one AppendThenSend of message m", effects)
	}
}

// TestHandoverKeepsRetryAfter guards against a Retry-After that a hand-over loses: the
// successor must wait for the rest of a Retry-After that its predecessor received.
func TestHandoverKeepsRetryAfter(t *testing.T) {
	s := newShutdownFixture(t)
	if _, sent := s.submit("a", "plain", 1); !sent {
		t.Fatal("submit(a): sent = false, want true")
	}
	call := s.core.messages.byID["a"].call
	s.now += 10e3
	s.step(AttemptFinished{Call: call, Result: rejected(3e6)})
	const shift = policy.Time(-777e6)
	state := s.core.ExportHandover(s.now)
	settings := s.core.settings
	settings.Epoch -= shift
	next, err := New(settings)
	if err != nil {
		t.Fatal(err)
	}
	record := *s.core.messages.byID["a"].record
	record.Attempts = 1
	s.core, s.now = next, s.now+shift
	next.RecoverMessages(s.now, []*Record{&record}, state, shift, nil)
	handoverAt, sentAt := s.now, policy.Time(0)
	for sentAt == 0 && s.now < handoverAt+10e6 {
		s.now += 10e3
		if slices.ContainsFunc(s.step(), isSend) {
			sentAt = s.now
		}
	}
	if wait := sentAt - handoverAt; sentAt == 0 || wait < 3e6 {
		t.Errorf("message a was sent %d ms after the hand-over, want at least the Retry-After of 3,000 ms", wait/1000)
	}
}
