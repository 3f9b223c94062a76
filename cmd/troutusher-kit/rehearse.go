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
	revisionDigits   = 12         // of a commit hash
	maxProgressWidth = 118        // bytes, so that the progress fits on one line of a terminal
	clearLine        = "\r\x1b[K" // clears the current line of a terminal
)

// rehearseFlags holds the flags of "troutusher rehearse".
type rehearseFlags struct {
	// Each of these selects another action than to play a scenario and report on it.
	list     bool
	hold     bool
	showName string

	// These say what is played, how often and with which relay program.
	seed         uint64
	replayPath   string
	repeat       int
	relayProgram string

	// These say what is written and kept.
	quiet       bool
	recordPath  string
	jsonPath    string
	htmlPath    string
	comparePath string
	keepDir     string
}

// register defines the flags in set.
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

// runRehearse runs "troutusher rehearse", which plays a scenario or a recording.
func runRehearse(args []string, stdout, stderr io.Writer) int {
	var r rehearseFlags
	set := newFlagSet("rehearse", "[flags] [SCENARIO]", rehearseAbout, stdout, stderr)
	r.register(set)
	positional, code, done := parseFlags(set, args, 1)
	if done {
		return code
	}
	failUsage := func(err error) int { return fail(stderr, "rehearse", err, exitConfig) }
	switch {
	case r.list:
		if err := listScenarios(stdout); err != nil {
			return failUsage(err)
		}
		return 0
	case r.showName != "":
		text, err := scenario.BuiltinText(r.showName)
		if err != nil {
			return failUsage(err)
		}
		printf(stdout, "%s", text)
		return 0
	}
	plan, earlier, err := r.prepare(positional)
	if err != nil {
		return failUsage(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if r.hold {
		return r.serveUntilInterrupted(ctx, plan, stdout, stderr)
	}
	return r.play(ctx, plan, earlier, stdout, stderr)
}

// listScenarios prints the scenarios that ship with the program.
func listScenarios(stdout io.Writer) error {
	for _, name := range scenario.BuiltinNames() {
		s, err := scenario.Builtin(name)
		if err != nil {
			return err
		}
		printf(stdout, "%-10s %s\n", name, s.About)
	}
	return nil
}

// prepare validates the flags and returns the plan to play, and the earlier report to compare
// the result with, or nil without --compare. It also saves the recording that --record asks
// for.
func (r *rehearseFlags) prepare(positional []string) (plan *scenario.Plan, earlier *report.Report, err error) {
	switch {
	case r.repeat < 1 || r.repeat > maxRepeat:
		return nil, nil, fmt.Errorf("--repeat %d, want 1 to %d", r.repeat, maxRepeat)
	case r.replayPath != "" && (len(positional) > 0 || r.seed != 0 || r.recordPath != ""):
		return nil, nil, errors.New("--replay takes no scenario, --seed or --record: it plays the recording unchanged")
	}
	if plan, err = r.loadPlan(positional); err != nil {
		return nil, nil, err
	}
	if r.comparePath != "" {
		if earlier, err = report.Load(r.comparePath); err != nil {
			return nil, nil, fmt.Errorf("%s: %w", r.comparePath, err)
		}
	}
	if r.relayProgram == "" {
		if r.relayProgram, err = findRelay(); err != nil {
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

// defaultRelayPath returns the path that the relay program has if it is installed in the same
// folder as this program.
func defaultRelayPath() (string, error) {
	executable, err := os.Executable()
	if err != nil {
		return "", err
	}
	return filepath.Join(filepath.Dir(executable), "troutusher"), nil
}

// findRelay returns the path of the relay program in this program's folder, or an error if
// there is none.
func findRelay() (string, error) {
	path, err := defaultRelayPath()
	if err != nil {
		return "", err
	}
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("no relay to rehearse with, and --relay is not set: %w", err)
	}
	return path, nil
}

// loadPlan returns the plan of the recording that --replay names or of the scenario that the
// positional argument names: the path of a TOML file, or a built-in scenario.
func (r *rehearseFlags) loadPlan(positional []string) (*scenario.Plan, error) {
	if r.replayPath != "" {
		plan, _, err := replay.Load(r.replayPath)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", r.replayPath, err)
		}
		return plan, nil
	}
	name := defaultScenario
	if len(positional) > 0 {
		name = positional[0]
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

// environment describes this program and the machine, for reports and recordings.
func environment() replay.Environment {
	return replay.Environment{
		Release: release(), Go: runtime.Version(), System: runtime.GOOS + "/" + runtime.GOARCH, Cores: runtime.NumCPU(),
	}
}

// release returns the version of the program, or else the commit that it was built from.
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

// createDir creates the folder for the files of the relays: the one that --keep names, or a
// temporary one. The caller calls remove when it is done, which deletes a temporary folder.
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

// play plays the plan as often as --repeat says, writes one report on all runs, and compares
// it with the earlier report if there is one. It returns the exit code.
func (r *rehearseFlags) play(
	ctx context.Context, plan *scenario.Plan, earlier *report.Report, stdout, stderr io.Writer,
) int {
	var reports []*report.Report
	for run := range r.repeat {
		result, err := r.playOnce(ctx, plan, run, stderr)
		if err != nil {
			return fail(stderr, "rehearse", err, exitFailed)
		}
		reports = append(reports, report.New(result, environment()))
	}
	joined := report.Join(reports)
	if err := r.writeReports(joined, stdout); err != nil {
		return fail(stderr, "rehearse", err, exitFailed)
	}
	if earlier != nil {
		printLine(stdout)
		if err := report.Compare(stdout, earlier, joined); err != nil {
			return fail(stderr, "rehearse", err, exitFailed)
		}
	}
	if joined.Verdict != report.VerdictPassed {
		return exitFailed
	}
	return 0
}

// playOnce plays the plan once and shows the progress if stderr is a terminal. run counts from
// 0.
func (r *rehearseFlags) playOnce(
	ctx context.Context, plan *scenario.Plan, run int, stderr io.Writer,
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
	if !r.quiet && isTerminal(stderr) {
		options.OnProgress = func(p runner.Progress) { writeProgress(stderr, run, r.repeat, p) }
		defer printf(stderr, clearLine)
	}
	return runner.Play(ctx, plan, options)
}

// writeProgress replaces the current line of a terminal with the progress of a run. run counts
// from 0; runs is the total.
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

// writeReports writes the report to stdout, and to the files that --json and --html name.
func (r *rehearseFlags) writeReports(joined *report.Report, stdout io.Writer) error {
	if err := joined.WriteText(stdout); err != nil {
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
