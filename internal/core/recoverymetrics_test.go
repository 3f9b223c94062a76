package core

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"troutusher/internal/metrics"
	"troutusher/policy"
)

// addCounts adds the metrics that effects log to sum, by name and over all destinations.
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

// TestRecoveredUntriedAreAttempted guards against recovered messages that end without an attempt. A
// recovered message that has not been attempted, has time left and has an endpoint in the list must
// not end in the step that recovers it, and must be sent. The metrics must count each recovered
// message once by its state at recovery and once by its outcome.
func TestRecoveredUntriedAreAttempted(t *testing.T) {
	c := testCore(t)
	now := policy.Time(3600e6)
	deadlineIn := func(micros int64) int64 { return c.settings.Epoch + now + micros }
	up := Member{ID: "s-1", HostPort: "127.0.0.1:7001", Dest: 1, Phase: Up, Rate: 1000, Flavor: "k", Locality: "a"}
	overloaded, unreachable := up, up
	overloaded.ID, overloaded.HostPort, overloaded.Dest = "s-2", "127.0.0.1:7002", 2
	unreachable.ID, unreachable.HostPort, unreachable.Dest = "s-3", "127.0.0.1:7003", 3
	var pending []*Record
	for i := range 8 {
		record := plainRecord(fmt.Sprintf("m%d", i), 1, deadlineIn(10e6))
		record.Class, record.Tenant, record.Key = classNames[i%3], "acme", "k"
		pending = append(pending, record)
	}
	tried, unknown, ended := plainRecord("tried", 1, deadlineIn(10e6)), plainRecord("unknown", 1, deadlineIn(10e6)),
		plainRecord("ended", 1, deadlineIn(10e6))
	tried.Attempts, unknown.Class, ended.Notice = 1, "gone", NoticeHandedBack
	pending = append(pending, tried, unknown, ended,
		plainRecord("over", 1, deadlineIn(-1e3)), plainRecord("nowhere", 9, deadlineIn(300e3)),
		plainRecord("full", 2, deadlineIn(300e3)), plainRecord("never", 3, deadlineIn(300e3)))
	effects := c.Observe(now, []Event{listEvent(policy.ListCached, up, overloaded, unreachable)}, nil)
	effects = c.RecoverMessages(now, pending, nil, 0, effects)
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
					t.Errorf("message %s ended in the step that recovered it, want it to be sent", e.Notice.Message)
				}
			}
		}
		effects = nil
		now += 5e3
	}
	for i := range 8 {
		if id := fmt.Sprintf("m%d", i); !called[id] || ends[id] != "" {
			t.Errorf("message %s: called = %v, notice = %q, want true and no notice", id, called[id], ends[id])
		}
	}
	want := map[string]int64{
		metrics.Recovered: 13, metrics.RecoveredUntried: 13, metrics.UntriedExpired: 1, metrics.UntriedUnroutable: 1,
		metrics.UntriedAttempted: 9, metrics.UntriedDelivered: 8,
		metrics.UntriedHandedBackPrefix + "time": 3, metrics.UntriedGivenUpPrefix + "unknown": 1,
	}
	// The message for the unreachable endpoint may be handed back for either reason.
	sum[metrics.UntriedHandedBackPrefix+"time"] += sum[metrics.UntriedHandedBackPrefix+"attempts"]
	for name, n := range want {
		if sum[name] != n {
			t.Errorf("metric %s = %d, want %d; all metrics: %v", name, sum[name], n, sum)
		}
	}
}

// TestAttemptsNeverSent guards against messages that use up their attempts without a call. An attempt
// must not count if it was deferred during the wait for the endpoint list until its time was over,
// or if it was logged but not sent; this holds in the same process and in the next one. An attempt
// that the endpoint rejected must count.
func TestAttemptsNeverSent(t *testing.T) {
	for _, status := range []int{0, 503} {
		record := &Record{Kind: RecordAccepted, ID: "m"}
		record.Apply(&Record{Kind: RecordAttempt, At: 7})
		result := Result{Outcome: policy.NotSent, Status: status}
		record.Apply(&Record{Kind: RecordOutcome, NotCounted: result.neverLeft()})
		want := min(status, 1)
		if record.Attempts != want || record.FirstUncertainAt != 0 || record.OpenAttemptAt != 0 {
			t.Errorf("after an unsent attempt with status %d the record is %+v, want Attempts %d, "+
				"FirstUncertainAt 0, OpenAttemptAt 0", status, record, want)
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
		if step == 60 { // 300 ms later, long after the timeout of the attempt
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
				t.Fatalf("step %d: notice %+v, want none", step, e.Notice)
			}
		}
		now += 5e3
	}
	if sends != 1 {
		t.Errorf("%d calls were sent, want 1", sends)
	}
}
