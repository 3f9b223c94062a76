package core

import (
	"fmt"
	"log/slog"
	"testing"

	"troutusher/internal/msgtrace"
	"troutusher/policy"
)

// What is told of a message is all of it, from its hand-in to its end; beyond the
// budget only its end is told, and the tally says how many.
func TestTracesAreComplete(t *testing.T) {
	set := testCore(t).settings
	set.TracesPerSecond = 5
	r, err := New(set)
	if err != nil {
		t.Fatal(err)
	}
	now := policy.Time(3600e6)
	lines := map[string][]string{}
	untold := int64(0)
	var events []Event
	step := func() {
		fx := r.Step(now, events, nil)
		events = nil
		for i := range fx {
			switch e := fx[i].(type) {
			case Log:
				if e.Text == "tally" {
					for _, a := range e.Args {
						if g, ok := a.(slog.Attr); ok {
							for _, x := range g.Value.Group() {
								if x.Key == "untold" {
									untold += x.Value.Int64()
								}
							}
						}
					}
				} else if len(e.Args) > 1 && e.Args[0] == "message" {
					id := e.Args[1].(string)
					lines[id] = append(lines[id], e.Text)
				}
			case AppendThenReply:
				events = append(events, ReplyDelivered{Request: e.Request, OK: e.Request.Record.ID != "leaves"})
			case AppendThenSend:
				events = append(events, AttemptFinished{Call: e.Call, Result: &Result{Outcome: policy.Delivered, Status: 200, Final: true}})
			}
		}
		now += 10e3
	}
	put := func(id string, dest int, left policy.Time) {
		events = append(events, Submitted{Request: &Request{Class: 0, Tenant: -1, Queued: 7e3,
			Record: &Record{Kind: RecordAccepted, ID: id, Class: "plain", Dest: dest, Deadline: r.wallTime(now + left)}}})
	}
	l := &EndpointList{Complete: true, Members: []Member{{ID: "s1", HostPort: "10.0.0.1:1", Locality: "a", Flavor: "k", Dest: 1, Phase: Up, Rate: 1000},
		{ID: "s2", HostPort: "10.0.0.1:2", Locality: "a", Flavor: "k", Dest: 2, Phase: Draining, Rate: 1000}}}
	r.Observe(now, []Event{EndpointListUpdated{Kind: policy.ListFull, List: l}}, nil)
	put("goes", 1, 5e6)
	put("leaves", 1, 5e6)
	put("waits", 2, 200e3)
	put("late", 1, 1)
	put("fifth", 1, 5e6)
	put("beyond", 1, 5e6)
	put("beyond-waits", 2, 200e3)
	for range 150 {
		step()
	}
	for id, want := range map[string]string{
		"goes": "[taken delivered]", "leaves": "[withdrawn]", "waits": "[taken ended]", "late": "[refused]", "fifth": "[taken delivered]",
		"beyond": "[]", "beyond-waits": "[ended]",
	} {
		if got := fmt.Sprint(lines[id]); got != want {
			t.Errorf("%s: %s, want %s", id, got, want)
		}
	}
	if untold != 2 {
		t.Errorf("%d untold, want 2", untold)
	}
	if msgtrace.DefaultPerSecond < 1 {
		t.Error("nothing is told by default")
	}
}
