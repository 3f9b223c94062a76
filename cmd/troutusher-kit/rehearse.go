package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"troutusher/internal/event"
	"troutusher/internal/rehearsal/replay"
	"troutusher/internal/rehearsal/report"
	"troutusher/internal/rehearsal/runner"
	"troutusher/internal/rehearsal/scenario"
)

const aboutRehearse = `Starts relays, stand-in partners, a stand-in for discovery and a load driver
on this machine's loopback addresses, plays a scenario, judges the six rules as
it goes and prints a report. SCENARIO is a name from --list or a TOML file; rush
where it is left out. Exit code 1 when a rule broke, a relay crashed, service
fell under the scenario's floor or the run is void; 2 for bad usage or a file
that cannot be used.`

// rehearsal is what the flags say.
type rehearsal struct {
	list, hold, quiet                          bool
	show, record, replay, asJSON, asHTML, diff string
	relay, keep                                string
	seed                                       uint64
	repeat                                     int
}

// define defines the flags.
func (x *rehearsal) define(f *flag.FlagSet) {
	f.BoolVar(&x.list, "list", false, "name the scenarios that ship with the program")
	f.StringVar(&x.show, "show", "", "print the file of the `scenario`, to begin one's own from")
	f.Uint64Var(&x.seed, "seed", 0, "draw arrivals and faults from this `seed` instead of the scenario's")
	f.IntVar(&x.repeat, "repeat", 1, "play it `n` times and tell the noise")
	f.StringVar(&x.record, "record", "", "keep arrivals and faults in the `file`, to be played again")
	f.StringVar(&x.replay, "replay", "", "play the recording in the `file` unchanged")
	f.StringVar(&x.asJSON, "json", "", "write the report to the `file` as JSON")
	f.StringVar(&x.asHTML, "html", "", "write the report to the `file` as one page that opens offline")
	f.StringVar(&x.diff, "compare", "", "set the report beside an earlier one, a JSON `file`")
	f.StringVar(&x.relay, "relay", "",
		"the relay `program` to rehearse with, such as another release's; the one beside this where it is left out")
	f.StringVar(&x.keep, "keep", "", "keep configurations, state and logs of the relays in the `folder`")
	f.BoolVar(&x.hold, "hold", false,
		"keep partners and discovery up for a relay that is started by hand, until interrupted")
	f.BoolVar(&x.quiet, "quiet", false, "no progress, also on a terminal")
}

// rehearse plays a scenario or a recording.
func rehearse(args []string, out, errs io.Writer) int {
	var x rehearsal
	f := flags("rehearse", "[flags] [SCENARIO]", aboutRehearse, out, errs)
	x.define(f)
	rest, code, done := parse(f, args, 1)
	if done {
		return code
	}
	bad := func(err error) int { return fail(errs, "rehearse", err, exitConfig) }
	switch {
	case x.list:
		if err := listScenarios(out); err != nil {
			return bad(err)
		}
		return 0
	case x.show != "":
		text, err := scenario.BuiltinText(x.show)
		if err != nil {
			return bad(err)
		}
		printf(out, "%s", text)
		return 0
	}
	plan, before, err := x.prepare(rest)
	if err != nil {
		return bad(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if x.hold {
		return x.holdUp(ctx, plan, out, errs)
	}
	return x.play(ctx, plan, before, out, errs)
}

func listScenarios(out io.Writer) error {
	for _, name := range scenario.Names() {
		s, err := scenario.Builtin(name)
		if err != nil {
			return err
		}
		printf(out, "%-10s %s\n", name, s.About)
	}
	return nil
}

// prepare checks the flags and returns what is played, and the earlier report that it is
// compared with, nil for none.
func (x *rehearsal) prepare(rest []string) (plan *scenario.Plan, before *report.Report, err error) {
	switch {
	case x.repeat < 1 || x.repeat > 1000:
		return nil, nil, fmt.Errorf("--repeat %d, want 1 to 1000", x.repeat)
	case x.replay != "" && (len(rest) > 0 || x.seed != 0 || x.record != ""):
		return nil, nil, errors.New("--replay plays a recording as it is: no scenario, --seed or --record beside it")
	}
	if plan, err = x.plan(rest); err != nil {
		return nil, nil, err
	}
	if x.diff != "" {
		if before, err = report.Load(x.diff); err != nil {
			return nil, nil, fmt.Errorf("%s: %w", x.diff, err)
		}
	}
	if x.relay == "" {
		if x.relay, err = daemon(); err != nil {
			return nil, nil, err
		}
	}
	if x.record != "" {
		if err := replay.Save(x.record, plan, environment()); err != nil {
			return nil, nil, err
		}
	}
	return plan, before, nil
}

// daemon is the relay's program, beside this one.
func daemon() (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	path := filepath.Join(filepath.Dir(self), "troutusher")
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("no relay to rehearse with (--relay): %w", err)
	}
	return path, nil
}

// plan finds what is to be played.
func (x *rehearsal) plan(rest []string) (*scenario.Plan, error) {
	if x.replay != "" {
		p, _, err := replay.Load(x.replay)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", x.replay, err)
		}
		return p, nil
	}
	name := "rush"
	if len(rest) > 0 {
		name = rest[0]
	}
	var s *scenario.Scenario
	var err error
	if strings.HasSuffix(name, ".toml") || strings.ContainsRune(name, os.PathSeparator) {
		s, err = scenario.Load(name)
	} else {
		s, err = scenario.Builtin(name)
	}
	if err != nil {
		return nil, err
	}
	seed := s.Seed
	if x.seed != 0 {
		seed = x.seed
	}
	return s.Plan(seed), nil
}

func environment() replay.Environment {
	return replay.Environment{
		Release: release(), Go: runtime.Version(), System: runtime.GOOS + "/" + runtime.GOARCH, Cores: runtime.NumCPU(),
	}
}

// release names the program's version, or the commit that it was built from.
func release() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v := info.Main.Version
	if v == "" || v == "(devel)" {
		v = "unreleased"
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" && len(s.Value) >= 12 {
				v = s.Value[:12]
			}
		}
	}
	return v
}

// dir is the folder for the relays' files.
func (x *rehearsal) dir() (string, func(), error) {
	if x.keep == "" {
		return runner.Dir()
	}
	dir, err := filepath.Abs(x.keep)
	if err == nil {
		err = os.MkdirAll(dir, 0o755)
	}
	return dir, func() {}, err
}

func (x *rehearsal) play(ctx context.Context, plan *scenario.Plan, before *report.Report, out, errs io.Writer) int {
	failed := func(err error) int { return fail(errs, "rehearse", err, exitFailed) }
	var all []*report.Report
	for run := range x.repeat {
		dir, remove, err := x.dir()
		if err != nil {
			return failed(err)
		}
		opt := runner.Options{Command: []string{x.relay}, Dir: dir}
		if x.keep != "" && x.repeat > 1 {
			opt.Dir = filepath.Join(dir, fmt.Sprintf("run-%d", run+1))
		}
		live := !x.quiet && terminal(errs)
		if live {
			opt.Progress = func(p runner.Progress) { progress(errs, run, x.repeat, p) }
		}
		o, err := runner.Play(ctx, plan, opt)
		remove()
		if live {
			printf(errs, "\r\x1b[K")
		}
		if err != nil {
			return failed(err)
		}
		all = append(all, report.New(o, environment()))
	}
	r := report.Join(all)
	if err := x.write(r, out); err != nil {
		return failed(err)
	}
	if before != nil {
		printLine(out)
		if err := report.Compare(out, before, r); err != nil {
			return failed(err)
		}
	}
	if r.Verdict != report.Passed {
		return exitFailed
	}
	return 0
}

func progress(w io.Writer, run, runs int, p runner.Progress) {
	line := fmt.Sprintf("%5.1f of %.0f s, %d messages, %d open", p.At.Seconds(), p.Of.Seconds(), p.Begun, p.Open)
	if runs > 1 {
		line = fmt.Sprintf("run %d of %d: %s", run+1, runs, line)
	}
	if p.Violations > 0 {
		line += fmt.Sprintf(", %d BROKEN RULES", p.Violations)
	}
	if len(p.Faults) > 0 {
		line += "; " + strings.Join(p.Faults, ", ")
	}
	if len(line) > 118 {
		line = line[:115] + "..."
	}
	printf(w, "\r\x1b[K%s", line)
}

// write puts the report where the flags say.
func (x *rehearsal) write(r *report.Report, out io.Writer) error {
	if err := r.WriteText(out); err != nil {
		return err
	}
	for path, write := range map[string]func(io.Writer) error{x.asJSON: r.WriteJSON, x.asHTML: r.WriteHTML} {
		if path == "" {
			continue
		}
		f, err := os.Create(path)
		if err != nil {
			return err
		}
		if err := errors.Join(write(f), f.Close()); err != nil {
			return err
		}
	}
	return nil
}

// holdUp keeps the stand-ins up and shows what comes to them.
func (x *rehearsal) holdUp(ctx context.Context, plan *scenario.Plan, out, errs io.Writer) int {
	dir, remove, err := x.dir()
	if err != nil {
		return fail(errs, "rehearse", err, exitFailed)
	}
	defer remove()
	ready := func(h runner.Held) {
		s := plan.Scenario
		printf(out, "%d partners with %d endpoints are up. Start a relay:\n\n    ROUTER_CONFIG=%s %s\n\n"+
			"Hand it a message:\n\n    %s put --to %s --class %s --portal %s --dest 1 hello\n\nInterrupt to end.\n",
			len(plan.Specs), len(plan.Endpoints), h.Config, x.relay, x.relay, h.Listen,
			s.Classes[0].Name+keyFlag(&s.Classes[0]), s.Portals[0].Name)
	}
	began := time.Now()
	say := func(e *event.Event) {
		at := time.Since(began).Seconds()
		name := func() string { return plan.Endpoints[e.Endpoint].Name }
		switch e.Kind {
		case event.CallBegan:
			printf(out, "%8.3f s  message %s: call to %s\n", at, e.ID, name())
		case event.Ran:
			printf(out, "%8.3f s  message %s: took effect at %s\n", at, e.ID, name())
		case event.CallEnded:
			printf(out, "%8.3f s  message %s: %s answered %d\n", at, e.ID, name(), e.Status)
		case event.Noticed:
			printf(out, "%8.3f s  message %s: notice, %s\n", at, e.ID,
				map[int]string{event.NoticeGivenUp: "given up", event.NoticeHandedBack: "handed back"}[e.Status])
		}
	}
	if err := runner.Hold(ctx, plan, dir, ready, say); err != nil {
		return fail(errs, "rehearse", err, exitFailed)
	}
	return 0
}

func keyFlag(c *scenario.Class) string {
	if c.Repeat == "keyed" {
		return " --key k1"
	}
	return ""
}
