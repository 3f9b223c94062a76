package core

import (
	"fmt"
	"testing"

	"troutusher/internal/metrics"
	"troutusher/internal/msgtrace"
	"troutusher/policy"
)

// TestTracesAreComplete guards against incomplete message traces. A traced message must be logged
// from its submission to its end. Beyond the limit of traces per second only undelivered ends are
// logged, and the metrics count the messages that were not traced.
func TestTracesAreComplete(t *testing.T) {
	settings := testSettings()
	settings.TracesPerSecond = 5
	c := newTestCore(t, settings)
	now := policy.Time(3600e6)
	lines := map[string][]string{}
	sum := map[string]int64{}
	var events []Event
	step := func() {
		effects := c.Step(now, events, nil)
		events = nil
		addCounts(sum, effects)
		for _, effect := range effects {
			switch e := effect.(type) {
			case Log:
				if len(e.Args) > 1 && e.Args[0] == "message" {
					id := e.Args[1].(string)
					lines[id] = append(lines[id], e.Text)
				}
			case AppendThenReply:
				events = append(events, ReplyDelivered{Request: e.Request, OK: e.Request.Record.ID != "leaves"})
			case AppendThenSend:
				events = append(events, AttemptFinished{Call: e.Call, Result: delivered(0)})
			}
		}
		now += 10e3
	}
	submit := func(id string, dest int, left policy.Time) {
		event := submission(plainRecord(id, dest, c.wallTime(now+left)))
		event.Request.Queued = 7e3
		events = append(events, event)
	}
	c.Observe(now, []Event{listEvent(policy.ListFull,
		Member{ID: "s1", HostPort: "10.0.0.1:1", Locality: "a", Flavor: "k", Dest: 1, Phase: Up, Rate: 1000},
		Member{ID: "s2", HostPort: "10.0.0.1:2", Locality: "a", Flavor: "k", Dest: 2, Phase: Draining, Rate: 1000},
	)}, nil)
	submit("goes", 1, 5e6)
	submit("leaves", 1, 5e6)
	submit("waits", 2, 200e3)
	submit("late", 1, 1)
	submit("fifth", 1, 5e6)
	submit("beyond", 1, 5e6)
	submit("beyond-waits", 2, 200e3)
	for range 150 {
		step()
	}
	for id, want := range map[string]string{
		"goes": "[taken delivered]", "leaves": "[withdrawn]", "waits": "[taken ended]", "late": "[refused]",
		"fifth": "[taken delivered]", "beyond": "[]", "beyond-waits": "[ended]",
	} {
		if got := fmt.Sprint(lines[id]); got != want {
			t.Errorf("log lines of message %s = %s, want %s", id, got, want)
		}
	}
	if got := sum[metrics.Untraced]; got != 2 {
		t.Errorf("metric %s = %d, want 2", metrics.Untraced, got)
	}
	if msgtrace.DefaultPerSecond < 1 {
		t.Errorf("msgtrace.DefaultPerSecond = %v, want at least 1", msgtrace.DefaultPerSecond)
	}
}
