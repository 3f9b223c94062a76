package main

import (
	"context"
	"io"
	"time"

	"troutusher/internal/event"
	"troutusher/internal/rehearsal/runner"
	"troutusher/internal/rehearsal/scenario"
)

// noticeReasons maps the status of a notice, which is a relay's report to the platform that a
// message ended undelivered, to the text that is printed for it. A message that is handed back may
// be submitted again; one that is given up may not.
var noticeReasons = map[int]string{event.NoticeGivenUp: "given up", event.NoticeHandedBack: "handed back"}

// serveUntilInterrupted runs the emulated partners (the operators of destinations) and registry of
// a plan for a relay that is started by hand. It prints the calls that reach the partners and the
// notices that reach the registry, until ctx ends, and returns the exit code.
func (r *rehearseFlags) serveUntilInterrupted(
	ctx context.Context, plan *scenario.Plan, stdout, stderr io.Writer,
) int {
	dir, remove, err := r.createDir()
	if err != nil {
		return fail(stderr, "rehearse", err, exitFailed)
	}
	defer remove()
	onReady := func(relay runner.ManualRelay) {
		s := plan.Scenario
		printf(stdout, "%d partners with %d endpoints are up. Start a relay:\n\n    ROUTER_CONFIG=%s %s\n\n"+
			"Hand it a message:\n\n    %s put --to %s --class %s --portal %s --dest 1 hello\n\nInterrupt to end.\n",
			len(plan.Specs), len(plan.Endpoints), relay.ConfigPath, r.relayProgram, r.relayProgram, relay.Listen,
			s.Classes[0].Name+keyFlag(&s.Classes[0]), s.Portals[0].Name)
	}
	start := time.Now()
	onEvent := func(e *event.Event) { writeEvent(stdout, time.Since(start).Seconds(), plan, e) }
	if err := runner.ServeEmulators(ctx, plan, dir, onReady, onEvent); err != nil {
		return fail(stderr, "rehearse", err, exitFailed)
	}
	return 0
}

// writeEvent prints an event of a message, with the seconds since the start. Events of other
// kinds are not printed.
func writeEvent(stdout io.Writer, seconds float64, plan *scenario.Plan, e *event.Event) {
	switch e.Kind {
	case event.CallReceived:
		printf(stdout, "%8.3f s  message %s: call to %s\n", seconds, e.ID, plan.Endpoints[e.Endpoint].Name)
	case event.TookEffect:
		printf(stdout, "%8.3f s  message %s: took effect at %s\n", seconds, e.ID, plan.Endpoints[e.Endpoint].Name)
	case event.CallEnded:
		name := plan.Endpoints[e.Endpoint].Name
		printf(stdout, "%8.3f s  message %s: %s answered %d\n", seconds, e.ID, name, e.Status)
	case event.NoticeReceived:
		printf(stdout, "%8.3f s  message %s: notice, %s\n", seconds, e.ID, noticeReasons[e.Status])
	}
}

// keyFlag returns the --key flag, after a space, if messages of the class need an idempotency
// key, and otherwise an empty string.
func keyFlag(class *scenario.Class) string {
	if class.Idempotency == "keyed" {
		return " --key k1"
	}
	return ""
}
