package core

import (
	"slices"
	"testing"

	"troutusher/policy"
)

// Handed over again and again under load, the relay is one relay: nothing is sent twice
// at a time, sent after its end, ended twice or lost.
func TestRepeatedHandover(t *testing.T) {
	resumed, ends := 0, 0
	for seed := range uint64(60) {
		sim := newSimulation(t, seed)
		log := newLogModel()
		sim.logModel = log
		for turn := range 8 {
			sim.playFrom(turn*60, 60)
			resumed += sim.handOver(log, policy.Time(sim.rng.Int64N(2e9))-1e9)
		}
		for range 4000 { // to the end of all that was accepted
			sim.now += 20e3
			sim.drainQueue()
		}
		for id := range sim.acknowledged {
			if record := log.pending[id]; record != nil && record.Notice == "" {
				sim.failf("%s has no end: %+v", id, record)
			}
			ends += sim.ended[id]
		}
	}
	if resumed < 300 || ends < 300 {
		t.Errorf("only %d calls were open at a handover, and %d messages ended by a notice", resumed, ends)
	}
}

// A handover that fails leaves the core as it was: what was deferred is sent.
func TestResumeSends(t *testing.T) {
	s := newShutdownFixture(t)
	s.core.BeginHandover()
	if taken, sent := s.submit("m", "plain", 1); !taken || sent {
		t.Fatalf("during a handover: taken %v, sent %v", taken, sent)
	}
	effects := s.core.ResumeSends(s.now, nil)
	if len(effects) != 1 || !is[AppendThenSend](effects[0]) || effects[0].(AppendThenSend).Call.Record.ID != "m" {
		t.Errorf("after it: %+v", effects)
	}
}

// A Retry-After that the old process was told binds the new one for the same time, and
// so do its failures.
func TestHandoverKeepsRetryAfterAndFailures(t *testing.T) {
	s := newShutdownFixture(t)
	if _, sent := s.submit("a", "plain", 1); !sent {
		t.Fatal("not sent")
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
	began, sentAt := s.now, policy.Time(0)
	for sentAt == 0 && s.now < began+10e6 {
		s.now += 10e3
		if slices.ContainsFunc(s.step(), isSend) {
			sentAt = s.now
		}
	}
	if wait := sentAt - began; sentAt == 0 || wait < 3e6 {
		t.Errorf("sent %d ms after the handover, and a Retry-After of 3,000 was told", wait/1000)
	}
}
