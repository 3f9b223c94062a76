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

	"troutusher/internal/rehearsal/replay"
	"troutusher/internal/rehearsal/report"
	"troutusher/internal/rehearsal/runner"
	"troutusher/internal/rehearsal/scenario"
)

const rehearseAbout = `Starts relays, stand-in partners, a stand-in for discovery and a load driver
on this machine's loopback addresses, plays a scenario, judges the six rules as
it goes and prints a report. SCENARIO is a name from --list or a TOML file; rush
where it is left out. Exit code 1 when a rule broke, a relay crashed, service
fell under the scenario's floor or the run is void; 2 for bad usage or a file
that cannot be used.`

const (
	defaultScenario  = "rush"
	maxRepeat        = 1000
	revisionDigits   = 12         // of a commit's name
	maxProgressWidth = 118        // bytes, so that it stays on one line
	clearLine        = "\r\x1b[K" // of a terminal
)

// rehearseFlags is what the flags of "troutusher rehearse" say.
type rehearseFlags struct {
	// Each of these does something else than to play and judge.
	list     bool
	hold     bool
	showName string

	// What is played, how often and with which relays.
	seed         uint64
	replayPath   string
	repeat       int
	relayProgram string

	// What is written.
	quiet       bool
	recordPath  string
	jsonPath    string
	htmlPath    string
	comparePath string
	keepDir     string
}

// register defines the flags.
func (r *rehearseFlags) register(set *flag.FlagSet) {
	set.BoolVar(&r.list, "list", false, "name the scenarios that ship with the program")
	set.StringVar(&r.showName, "show", "", "print the file of the `scenario`, to begin one's own from")
	set.Uint64Var(&r.seed, "seed", 0, "draw arrivals and faults from this `seed` instead of the scenario's")
	set.IntVar(&r.repeat, "repeat", 1, "play it `n` times and tell the noise")
	set.StringVar(&r.recordPath, "record", "", "keep arrivals and faults in the `file`, to be played again")
	set.StringVar(&r.replayPath, "replay", "", "play the recording in the `file` unchanged")
	set.StringVar(&r.jsonPath, "json", "", "write the report to the `file` as JSON")
	set.StringVar(&r.htmlPath, "html", "", "write the report to the `file` as one page that opens offline")
	set.StringVar(&r.comparePath, "compare", "", "set the report beside an earlier one, a JSON `file`")
	set.StringVar(&r.relayProgram, "relay", "",
		"the relay `program` to rehearse with, such as another release's; the one beside this where it is left out")
	set.StringVar(&r.keepDir, "keep", "", "keep configurations, state and logs of the relays in the `folder`")
	set.BoolVar(&r.hold, "hold", false,
		"keep partners and discovery up for a relay that is started by hand, until interrupted")
	set.BoolVar(&r.quiet, "quiet", false, "no progress, also on a terminal")
}

// runRehearse runs "troutusher rehearse": it plays a scenario or a recording.
func runRehearse(args []string, out, errs io.Writer) int {
	var r rehearseFlags
	set := newFlagSet("rehearse", "[flags] [SCENARIO]", rehearseAbout, out, errs)
	r.register(set)
	rest, code, done := parseFlags(set, args, 1)
	if done {
		return code
	}
	usageFailed := func(err error) int { return fail(errs, "rehearse", err, exitConfig) }
	switch {
	case r.list:
		if err := listScenarios(out); err != nil {
			return usageFailed(err)
		}
		return 0
	case r.showName != "":
		text, err := scenario.BuiltinText(r.showName)
		if err != nil {
			return usageFailed(err)
		}
		printf(out, "%s", text)
		return 0
	}
	plan, earlier, err := r.prepare(rest)
	if err != nil {
		return usageFailed(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if r.hold {
		return r.serveUntilInterrupted(ctx, plan, out, errs)
	}
	return r.play(ctx, plan, earlier, out, errs)
}

// listScenarios prints the scenarios that ship with the program.
func listScenarios(out io.Writer) error {
	for _, name := range scenario.BuiltinNames() {
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
func (r *rehearseFlags) prepare(rest []string) (plan *scenario.Plan, earlier *report.Report, err error) {
	switch {
	case r.repeat < 1 || r.repeat > maxRepeat:
		return nil, nil, fmt.Errorf("--repeat %d, want 1 to %d", r.repeat, maxRepeat)
	case r.replayPath != "" && (len(rest) > 0 || r.seed != 0 || r.recordPath != ""):
		return nil, nil, errors.New("--replay plays a recording as it is: no scenario, --seed or --record beside it")
	}
	if plan, err = r.loadPlan(rest); err != nil {
		return nil, nil, err
	}
	if r.comparePath != "" {
		if earlier, err = report.Load(r.comparePath); err != nil {
			return nil, nil, fmt.Errorf("%s: %w", r.comparePath, err)
		}
	}
	if r.relayProgram == "" {
		if r.relayProgram, err = existingRelay(); err != nil {
			return nil, nil, err
		}
	}
	if r.recordPath != "" {
		if err := replay.Save(r.recordPath, plan, environment()); err != nil {
			return nil, nil, err
		}
	}
	return plan, earlier, nil
}

// relayBeside returns the path of the relay's program beside this one.
func relayBeside() (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	return filepath.Join(filepath.Dir(self), "troutusher"), nil
}

// existingRelay is relayBeside, and an error where there is no such program.
func existingRelay() (string, error) {
	path, err := relayBeside()
	if err != nil {
		return "", err
	}
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("no relay to rehearse with (--relay): %w", err)
	}
	return path, nil
}

// loadPlan returns what is to be played: a recording, a file's scenario, or one that ships
// with the program.
func (r *rehearseFlags) loadPlan(rest []string) (*scenario.Plan, error) {
	if r.replayPath != "" {
		plan, _, err := replay.Load(r.replayPath)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", r.replayPath, err)
		}
		return plan, nil
	}
	name := defaultScenario
	if len(rest) > 0 {
		name = rest[0]
	}
	load := scenario.Builtin
	if strings.HasSuffix(name, ".toml") || strings.ContainsRune(name, os.PathSeparator) {
		load = scenario.Load
	}
	s, err := load(name)
	if err != nil {
		return nil, err
	}
	seed := s.Seed
	if r.seed != 0 {
		seed = r.seed
	}
	return s.Plan(seed), nil
}

// environment is what reports and recordings tell of the program and its machine.
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
	if version := info.Main.Version; version != "" && version != "(devel)" {
		return version
	}
	version := "unreleased"
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" && len(setting.Value) >= revisionDigits {
			version = setting.Value[:revisionDigits]
		}
	}
	return version
}

// createDir creates the folder for the relays' files. remove deletes it, unless the flags
// say that it is kept.
func (r *rehearseFlags) createDir() (dir string, remove func(), err error) {
	if r.keepDir == "" {
		return runner.TempDir()
	}
	dir, err = filepath.Abs(r.keepDir)
	if err == nil {
		err = os.MkdirAll(dir, 0o755)
	}
	return dir, func() {}, err
}

// play plays as often as the flags say, and reports on all runs together. It returns the
// exit code.
func (r *rehearseFlags) play(
	ctx context.Context, plan *scenario.Plan, earlier *report.Report, out, errs io.Writer,
) int {
	var reports []*report.Report
	for run := range r.repeat {
		result, err := r.playOnce(ctx, plan, run, errs)
		if err != nil {
			return fail(errs, "rehearse", err, exitFailed)
		}
		reports = append(reports, report.New(result, environment()))
	}
	joined := report.Join(reports)
	if err := r.writeReports(joined, out); err != nil {
		return fail(errs, "rehearse", err, exitFailed)
	}
	if earlier != nil {
		printLine(out)
		if err := report.Compare(out, earlier, joined); err != nil {
			return fail(errs, "rehearse", err, exitFailed)
		}
	}
	if joined.Verdict != report.VerdictPassed {
		return exitFailed
	}
	return 0
}

// playOnce plays one run, from 0, and shows its progress on a terminal.
func (r *rehearseFlags) playOnce(
	ctx context.Context, plan *scenario.Plan, run int, errs io.Writer,
) (*runner.Outcome, error) {
	dir, remove, err := r.createDir()
	if err != nil {
		return nil, err
	}
	defer remove()
	options := runner.Options{Command: []string{r.relayProgram}, Dir: dir}
	if r.keepDir != "" && r.repeat > 1 {
		options.Dir = filepath.Join(dir, fmt.Sprintf("run-%d", run+1))
	}
	if !r.quiet && isTerminal(errs) {
		options.OnProgress = func(p runner.Progress) { writeProgress(errs, run, r.repeat, p) }
		defer printf(errs, clearLine)
	}
	return runner.Play(ctx, plan, options)
}

// writeProgress shows on one line of a terminal how far a run is.
func writeProgress(w io.Writer, run, runs int, p runner.Progress) {
	line := fmt.Sprintf(
		"%5.1f of %.0f s, %d messages, %d open",
		p.Elapsed.Seconds(),
		p.Total.Seconds(),
		p.Submitted,
		p.Pending,
	)
	if runs > 1 {
		line = fmt.Sprintf("run %d of %d: %s", run+1, runs, line)
	}
	if p.Violations > 0 {
		line += fmt.Sprintf(", %d BROKEN RULES", p.Violations)
	}
	if len(p.ActiveFaults) > 0 {
		line += "; " + strings.Join(p.ActiveFaults, ", ")
	}
	const ellipsis = "..."
	if len(line) > maxProgressWidth {
		line = line[:maxProgressWidth-len(ellipsis)] + ellipsis
	}
	printf(w, clearLine+"%s", line)
}

// writeReports writes a report to standard output and to the files that the flags name.
func (r *rehearseFlags) writeReports(joined *report.Report, out io.Writer) error {
	if err := joined.WriteText(out); err != nil {
		return err
	}
	for _, file := range []struct {
		path  string
		write func(io.Writer) error
	}{{r.jsonPath, joined.WriteJSON}, {r.htmlPath, joined.WriteHTML}} {
		if file.path == "" {
			continue
		}
		if err := writeFile(file.path, file.write); err != nil {
			return err
		}
	}
	return nil
}
