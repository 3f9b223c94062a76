package core

import (
	"fmt"
	"strings"
	"testing"

	"troutusher/internal/metrics"
	"troutusher/policy"
)

// addCounts adds up the tally lines of effects, by name.
func addCounts(sum map[string]int64, fx []Effect) {
	for i := range fx {
		if e, ok := fx[i].(Log); ok && e.Text == metrics.LogText {
			for _, a := range e.Args {
				group, ok := a.(interface{ String() string })
				if !ok {
					continue
				}
				text := group.String()
				at := strings.Index(text, "=[")
				if at < 0 {
					continue
				}
				for _, part := range strings.Fields(strings.Trim(text[at+2:], "[]")) {
					name, value, _ := strings.Cut(part, "=")
					var n int64
					fmt.Sscan(value, &n)
					sum[name] += n
				}
			}
		}
	}
}

// The invariant of restarts: what a start finds untried, with time left and an
// endpoint in the list, is not ended in the step that takes it up, and is called.
// What it finds is counted once by how it was found and once by what became of it.
func TestRecoveredUntriedAreAttempted(t *testing.T) {
	r := testCore(t)
	now := policy.Time(3600e6)
	left := func(us int64) int64 { return r.settings.Epoch + now + us }
	up := Member{ID: "s-1", HostPort: "127.0.0.1:7001", Dest: 1, Phase: Up, Rate: 1000, Flavor: "k", Locality: "a"}
	full, never := up, up
	full.ID, full.HostPort, full.Dest = "s-2", "127.0.0.1:7002", 2
	never.ID, never.HostPort, never.Dest = "s-3", "127.0.0.1:7003", 3
	var owed []*Record
	for i := range 8 {
		owed = append(owed, &Record{Kind: RecordAccepted, ID: fmt.Sprintf("m%d", i), Class: []string{"plain", "keyed", "once"}[i%3], Tenant: "acme", Key: "k", Dest: 1, Deadline: left(10e6)})
	}
	owed = append(owed, &Record{Kind: RecordAccepted, ID: "tried", Class: "plain", Dest: 1, Deadline: left(10e6), Attempts: 1},
		&Record{Kind: RecordAccepted, ID: "over", Class: "plain", Dest: 1, Deadline: left(-1e3)},
		&Record{Kind: RecordAccepted, ID: "nowhere", Class: "plain", Dest: 9, Deadline: left(300e3)},
		&Record{Kind: RecordAccepted, ID: "unknown", Class: "gone", Dest: 1, Deadline: left(10e6)},
		&Record{Kind: RecordAccepted, ID: "full", Class: "plain", Dest: 2, Deadline: left(300e3)},
		&Record{Kind: RecordAccepted, ID: "never", Class: "plain", Dest: 3, Deadline: left(300e3)},
		&Record{Kind: RecordAccepted, ID: "ended", Class: "plain", Dest: 1, Deadline: left(10e6), Notice: NoticeHandedBack})
	fx := r.Observe(now, []Event{EndpointListUpdated{Kind: policy.ListCached, List: &EndpointList{Complete: true, Members: []Member{up, full, never}}}}, nil)
	fx = r.RecoverMessages(now, owed, nil, 0, fx)
	sum := map[string]int64{}
	called, ends := map[string]bool{}, map[string]string{}
	var events []Event
	for step := 0; step < 2000; step++ {
		fx = r.Step(now, events, fx)
		addCounts(sum, fx)
		events = nil
		for i := range fx {
			switch e := fx[i].(type) {
			case AppendThenSend:
				called[e.Call.Record.ID] = true
				o := &Result{Outcome: policy.Delivered, Final: true, Status: 200, Elapsed: 1000}
				switch e.Call.Record.Dest {
				case 2:
					o = &Result{Outcome: policy.Rejected, Status: 503}
				case 3:
					o = &Result{Outcome: policy.NotSent}
				}
				events = append(events, AttemptFinished{Call: e.Call, Result: o})
			case AppendThenNotify:
				ends[e.Notice.Message] = e.Notice.Outcome
				if step == 0 && strings.HasPrefix(e.Notice.Message, "m") {
					t.Errorf("%s is ended in the step that takes it up", e.Notice.Message)
				}
			}
		}
		fx = nil
		now += 5e3
	}
	for i := range 8 {
		if id := fmt.Sprintf("m%d", i); !called[id] || ends[id] != "" {
			t.Errorf("%s: called %v, ended %q", id, called[id], ends[id])
		}
	}
	want := map[string]int64{metrics.Recovered: 13, metrics.RecoveredUntried: 13, metrics.UntriedExpired: 1, metrics.UntriedUnroutable: 1, metrics.UntriedAttempted: 9, metrics.UntriedDelivered: 8,
		metrics.UntriedHandedBackPrefix + "time": 3, metrics.UntriedGivenUpPrefix + "unknown": 1}
	sum[metrics.UntriedHandedBackPrefix+"time"] += sum[metrics.UntriedHandedBackPrefix+"attempts"] // the one that never leaves, by either
	for name, n := range want {
		if sum[name] != n {
			t.Errorf("%s: %d, want %d (%v)", name, sum[name], n, sum)
		}
	}
}

// An attempt that was put off while the list was waited for, and whose time was over
// as it could go, uses up none; so is one that was logged and never left, here and
// for the next process. One that its endpoint turned away does.
func TestAttemptsNeverSent(t *testing.T) {
	for _, status := range []int{0, 503} {
		rec := &Record{Kind: RecordAccepted, ID: "m"}
		rec.Apply(&Record{Kind: RecordAttempt, At: 7})
		o := Result{Outcome: policy.NotSent, Status: status}
		rec.Apply(&Record{Kind: RecordOutcome, NotCounted: o.neverLeft()})
		if want := min(status, 1); rec.Attempts != want || rec.FirstUncertainAt != 0 || rec.OpenAttemptAt != 0 {
			t.Errorf("status %d: %+v", status, rec)
		}
	}
	set := testSettings()
	set.Policy.MaxAttempts = 1
	set.Policy.Classes[0].LatencyObjective = 100e3
	r, err := New(set)
	if err != nil {
		t.Fatal(err)
	}
	now := policy.Time(3600e6)
	up := Member{ID: "s-1", HostPort: "127.0.0.1:7001", Dest: 1, Phase: Up, Rate: 1000, Flavor: "k", Locality: "a"}
	r.Observe(now, []Event{EndpointListUpdated{Kind: policy.ListCached, List: &EndpointList{Complete: true, Members: []Member{up}}}}, nil)
	r.DeferSends()
	r.RecoverMessages(now, []*Record{{Kind: RecordAccepted, ID: "m", Class: "plain", Dest: 1, Deadline: set.Epoch + now + 5e6}}, nil, 0, nil)
	sends := 0
	events := []Event(nil)
	for step := 0; step < 400; step++ {
		if step == 60 { // long after what the attempt was given
			events = append(events, Started{})
		}
		fx := r.Step(now, events, nil)
		events = nil
		for i := range fx {
			switch e := fx[i].(type) {
			case AppendThenSend:
				sends++
				events = append(events, AttemptFinished{Call: e.Call, Result: &Result{Outcome: policy.Delivered, Final: true, Status: 200}})
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
