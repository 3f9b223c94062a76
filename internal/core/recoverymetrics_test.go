package core

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"troutusher/internal/metrics"
	"troutusher/policy"
)

// addCounts adds up the metrics that effects log, by name, over all destinations.
func addCounts(sum map[string]int64, effects []Effect) {
	for _, effect := range effects {
		e, ok := effect.(Log)
		if !ok || e.Text != metrics.LogText {
			continue
		}
		for _, arg := range e.Args {
			group, ok := arg.(slog.Attr)
			if !ok {
				continue
			}
			for _, count := range group.Value.Group() {
				sum[count.Key] += count.Value.Int64()
			}
		}
	}
}

// The invariant of recovery: a message without any attempt, with time left and an endpoint
// in the list, is not ended in the step that recovers it, and is called. Each is counted
// once by how it was found and once by what became of it.
func TestRecoveredUntriedAreAttempted(t *testing.T) {
	c := testCore(t)
	now := policy.Time(3600e6)
	left := func(micros int64) int64 { return c.settings.Epoch + now + micros }
	up := Member{ID: "s-1", HostPort: "127.0.0.1:7001", Dest: 1, Phase: Up, Rate: 1000, Flavor: "k", Locality: "a"}
	full, never := up, up
	full.ID, full.HostPort, full.Dest = "s-2", "127.0.0.1:7002", 2
	never.ID, never.HostPort, never.Dest = "s-3", "127.0.0.1:7003", 3
	var owed []*Record
	for i := range 8 {
		record := plainRecord(fmt.Sprintf("m%d", i), 1, left(10e6))
		record.Class, record.Tenant, record.Key = classNames[i%3], "acme", "k"
		owed = append(owed, record)
	}
	tried, unknown, ended := plainRecord("tried", 1, left(10e6)), plainRecord("unknown", 1, left(10e6)),
		plainRecord("ended", 1, left(10e6))
	tried.Attempts, unknown.Class, ended.Notice = 1, "gone", NoticeHandedBack
	owed = append(owed, tried, unknown, ended,
		plainRecord("over", 1, left(-1e3)), plainRecord("nowhere", 9, left(300e3)),
		plainRecord("full", 2, left(300e3)), plainRecord("never", 3, left(300e3)))
	effects := c.Observe(now, []Event{listEvent(policy.ListCached, up, full, never)}, nil)
	effects = c.RecoverMessages(now, owed, nil, 0, effects)
	sum := map[string]int64{}
	called, ends := map[string]bool{}, map[string]string{}
	var events []Event
	for step := range 2000 {
		effects = c.Step(now, events, effects)
		addCounts(sum, effects)
		events = nil
		for _, effect := range effects {
			switch e := effect.(type) {
			case AppendThenSend:
				called[e.Call.Record.ID] = true
				result := delivered(1000)
				switch e.Call.Record.Dest {
				case 2:
					result = &Result{Outcome: policy.Rejected, Status: 503}
				case 3:
					result = &Result{Outcome: policy.NotSent}
				}
				events = append(events, AttemptFinished{Call: e.Call, Result: result})
			case AppendThenNotify:
				ends[e.Notice.Message] = e.Notice.Outcome
				if step == 0 && strings.HasPrefix(e.Notice.Message, "m") {
					t.Errorf("%s is ended in the step that recovers it", e.Notice.Message)
				}
			}
		}
		effects = nil
		now += 5e3
	}
	for i := range 8 {
		if id := fmt.Sprintf("m%d", i); !called[id] || ends[id] != "" {
			t.Errorf("%s: called %v, ended %q", id, called[id], ends[id])
		}
	}
	want := map[string]int64{
		metrics.Recovered: 13, metrics.RecoveredUntried: 13, metrics.UntriedExpired: 1, metrics.UntriedUnroutable: 1,
		metrics.UntriedAttempted: 9, metrics.UntriedDelivered: 8,
		metrics.UntriedHandedBackPrefix + "time": 3, metrics.UntriedGivenUpPrefix + "unknown": 1,
	}
	// The one that never leaves is handed back for either reason.
	sum[metrics.UntriedHandedBackPrefix+"time"] += sum[metrics.UntriedHandedBackPrefix+"attempts"]
	for name, n := range want {
		if sum[name] != n {
			t.Errorf("%s: %d, want %d (%v)", name, sum[name], n, sum)
		}
	}
}

// An attempt that was deferred while the list was waited for, and that had no time left
// when it could be sent, uses up none; neither does one that was logged and never left,
// here and for the next process. One that its endpoint rejected does.
func TestAttemptsNeverSent(t *testing.T) {
	for _, status := range []int{0, 503} {
		record := &Record{Kind: RecordAccepted, ID: "m"}
		record.Apply(&Record{Kind: RecordAttempt, At: 7})
		result := Result{Outcome: policy.NotSent, Status: status}
		record.Apply(&Record{Kind: RecordOutcome, NotCounted: result.neverLeft()})
		want := min(status, 1)
		if record.Attempts != want || record.FirstUncertainAt != 0 || record.OpenAttemptAt != 0 {
			t.Errorf("status %d: %+v", status, record)
		}
	}
	settings := testSettings()
	settings.Policy.MaxAttempts = 1
	settings.Policy.Classes[0].LatencyObjective = 100e3
	c := newTestCore(t, settings)
	now := policy.Time(3600e6)
	up := Member{ID: "s-1", HostPort: "127.0.0.1:7001", Dest: 1, Phase: Up, Rate: 1000, Flavor: "k", Locality: "a"}
	c.Observe(now, []Event{listEvent(policy.ListCached, up)}, nil)
	c.DeferSends()
	c.RecoverMessages(now, []*Record{plainRecord("m", 1, settings.Epoch+now+5e6)}, nil, 0, nil)
	sends := 0
	var events []Event
	for step := range 400 {
		if step == 60 { // long after the timeout of the attempt
			events = append(events, Started{})
		}
		effects := c.Step(now, events, nil)
		events = nil
		for _, effect := range effects {
			switch e := effect.(type) {
			case AppendThenSend:
				sends++
				events = append(events, AttemptFinished{Call: e.Call, Result: delivered(0)})
			case AppendThenNotify:
				t.Fatalf("ended at step %d: %+v", step, e.Notice)
			}
		}
		now += 5e3
	}
	if sends != 1 {
		t.Errorf("%d calls", sends)
	}
}
