package main

import (
	"context"
	"io"
	"time"

	"troutusher/internal/event"
	"troutusher/internal/rehearsal/runner"
	"troutusher/internal/rehearsal/scenario"
)

// noticeReasons is how the notices of a message are shown.
var noticeReasons = map[int]string{event.NoticeAbandoned: "given up", event.NoticeReturned: "handed back"}

// serveUntilInterrupted keeps a scenario's emulators up for a relay that is started by hand,
// and shows the calls that reach them.
func (r *rehearseFlags) serveUntilInterrupted(
	ctx context.Context, plan *scenario.Plan, out, errs io.Writer,
) int {
	dir, remove, err := r.createDir()
	if err != nil {
		return fail(errs, "rehearse", err, exitFailed)
	}
	defer remove()
	ready := func(held runner.ManualRelay) {
		s := plan.Scenario
		printf(out, "%d partners with %d endpoints are up. Start a relay:\n\n    ROUTER_CONFIG=%s %s\n\n"+
			"Hand it a message:\n\n    %s put --to %s --class %s --portal %s --dest 1 hello\n\nInterrupt to end.\n",
			len(plan.Specs), len(plan.Endpoints), held.ConfigPath, r.relayProgram, r.relayProgram, held.Listen,
			s.Classes[0].Name+keyFlag(&s.Classes[0]), s.Portals[0].Name)
	}
	start := time.Now()
	show := func(e *event.Event) { writeEvent(out, time.Since(start).Seconds(), plan, e) }
	if err := runner.ServeEmulators(ctx, plan, dir, ready, show); err != nil {
		return fail(errs, "rehearse", err, exitFailed)
	}
	return 0
}

// writeEvent shows what happened to a message at an endpoint, so many seconds after the start.
func writeEvent(out io.Writer, seconds float64, plan *scenario.Plan, e *event.Event) {
	switch e.Kind {
	case event.CallReceived:
		printf(out, "%8.3f s  message %s: call to %s\n", seconds, e.ID, plan.Endpoints[e.Endpoint].Name)
	case event.TookEffect:
		printf(out, "%8.3f s  message %s: took effect at %s\n", seconds, e.ID, plan.Endpoints[e.Endpoint].Name)
	case event.CallEnded:
		name := plan.Endpoints[e.Endpoint].Name
		printf(out, "%8.3f s  message %s: %s answered %d\n", seconds, e.ID, name, e.Status)
	case event.NoticeReceived:
		printf(out, "%8.3f s  message %s: notice, %s\n", seconds, e.ID, noticeReasons[e.Status])
	}
}

// keyFlag is the flag that a message of a class needs, after a blank; empty for none.
func keyFlag(class *scenario.Class) string {
	if class.Idempotency == "keyed" {
		return " --key k1"
	}
	return ""
}
