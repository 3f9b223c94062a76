package main

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"troutusher/internal/config"
	"troutusher/internal/core"
	"troutusher/internal/policystate"
	"troutusher/internal/rehearsal/replay"
	"troutusher/internal/rehearsal/report"
	"troutusher/internal/rehearsal/scenario"
	"troutusher/internal/relay"
	"troutusher/policy"
)

// relayEnv is an environment variable. If it is set, the test binary runs as a relay instead of
// running tests, so that the subcommands under test can start it as their relay program.
const relayEnv = "TROUTUSHER_TEST_RELAY"

func TestMain(m *testing.M) {
	if os.Getenv(relayEnv) == "" {
		os.Exit(m.Run())
	}
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		os.Exit(2)
	}
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	reloads := relay.ReloadRequests{
		Signals: hup, Load: func() (*config.Config, error) { return config.Reload(os.Getenv) },
	}
	if err := relay.Run(cfg, slog.New(slog.NewTextHandler(os.Stderr, nil)), ctx.Done(), reloads); err != nil {
		os.Exit(1)
	}
	os.Exit(0)
}

// briefScenario is a scenario of one second. The caller fills in the floor of the service.
const briefScenario = `version = 1
name = "brief"
length_s = 1
floor = %s
[traffic]
rate_per_s = 20
[[class]]
name = "a"
aim_ms = 1000
deadline_ms = 2000
repeat = "safe"
[[partner]]
name = "p"
capacity_per_s = 100
queue = 10
service_ms = { all = 10 }
`

func writeTempFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// run runs a subcommand in this process and returns its exit code and output.
func run(args ...string) (code int, stdout, stderr string) {
	var stdoutBuffer, stderrBuffer bytes.Buffer
	code = dispatch(args, &stdoutBuffer, &stderrBuffer)
	return code, stdoutBuffer.String(), stderrBuffer.String()
}

// Guards against a subcommand that ends with the wrong exit code or without the expected
// output: help and reports give 0, failures give 1, bad usage and bad files give 2.
func TestSubcommandExitCodes(t *testing.T) {
	validScenario := writeTempFile(t, "s.toml", strings.ReplaceAll(briefScenario, "%s", "0"))
	invalidScenario := writeTempFile(t, "s.toml", strings.ReplaceAll(briefScenario, "%s", "7"))
	recording := filepath.Join(t.TempDir(), "r")
	loaded, err := scenario.Load(validScenario)
	if err != nil {
		t.Fatal(err)
	}
	if err := replay.Save(recording, loaded.Plan(1), replay.Environment{}); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(recording)
	if err != nil {
		t.Fatal(err)
	}
	truncated := writeTempFile(t, "cut", string(text[:len(text)/2]))
	newerVersion := writeTempFile(t, "newer", strings.Replace(string(text), `"version":1`, `"version":7`, 1))
	logs := filepath.Dir(writeTempFile(t, "n1.log", "time=2026-05-01T18:00:00Z level=INFO msg=ready log=none\n"+
		"time=2026-05-01T18:00:01Z level=INFO msg=taken message=m1 left_ms=900\n"+
		"time=2026-05-01T18:00:09Z level=INFO msg=tally second=9\n"))
	stateDir := t.TempDir()
	if _, err := policystate.NewStore(stateDir, "n7", 3<<20).
		Write(&policystate.File{WrittenAt: 1777658400e6, State: &core.StateSnapshot{
			Now: 9e6, Revision: 41,
			Members: []core.HandoverMember{
				{Member: core.Member{ID: "s-1", Dest: 4, Phase: core.Up}, Number: 3},
			}, RetryAfters: []core.HandoverRetryAfter{{Dest: 4, Until: 14e6}},
			Policy: &policy.Snapshot{
				Now: 9e6,
				Limiters: []policy.LimiterSnapshot{
					{
						Destination: 4,
						Endpoints:   []policy.EndpointSnapshot{{ID: 3, Unhealthy: true, FirstFailureAt: 7e6}},
					},
					{ // its endpoints have left the list
						Destination: 5,
						Endpoints:   []policy.EndpointSnapshot{{Unhealthy: true, FirstFailureAt: 4e6}},
					},
				},
			},
		}}); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		args   []string
		code   int
		output string
	}{
		{[]string{"learned", "inspect", stateDir}, 0, "relay n7, written 2026-05-01T18:00:00Z while it ran"},
		{[]string{"learned", "inspect", filepath.Join(stateDir, "learned")}, 0, "1 of 1  s-1 out for 2.0 s"},
		{[]string{"learned", "inspect", stateDir}, 0, "(not listed) out for 5.0 s"},
		{[]string{"learned", "inspect", filepath.Join(stateDir, "none")}, 1, "no such file"},
		{
			[]string{"learned", "inspect", invalidScenario},
			1,
			"decode policy state: the file is damaged: no policy state header",
		},
		{[]string{"learned", "inspect"}, 2, "expected \"<path>\""},
		{[]string{"fleet", "report", logs, "--message", "m1"}, 0, "+0.000 s  n1  taken    left_ms=900"},
		{[]string{"fleet", "report", logs, "--ends"}, 0, "1         !  no end, though its relay went on past its time"},
		{[]string{"fleet", "report", logs, "--message", "m2"}, 1, "m2: no log names this message"},
		{[]string{"fleet", "report", logs + "/none", "--ends"}, 1, "no readable log"},
		{[]string{"fleet", "report", logs, "--ends", "--message", "m1"}, 2, "can't be used together"},
		{[]string{"fleet", "report"}, 2, "expected \"<dir>\""},
		{[]string{"-h"}, 0, "usage: troutusher "},
		{[]string{"rehearse", "-h"}, 0, "usage: troutusher rehearse [flags] [SCENARIO]"},
		{[]string{"put", "--help"}, 0, "usage: troutusher put"},
		{[]string{"rehearse", "--list"}, 0, "rush       30 s"},
		{[]string{"rehearse", "--show", "rush"}, 0, "[[fault]]"},
		{
			[]string{"rehearse", "--show", "rash"},
			2,
			"no scenario \"rash\"; " +
				"there are calm, holiday, overlap, restarts, rush, tls-flood, tls, upgrade-loop, upgrades",
		},
		{[]string{"reherse"}, 2, "unknown command \"reherse\""},
		{[]string{"rehearse", "rash"}, 2, "no scenario"},
		{[]string{"rehearse", "calm", "rush"}, 2, "too many arguments"},
		{[]string{"rehearse", "--fast"}, 2, "flag provided but not defined: -fast"},
		{[]string{"rehearse", "calm", "--repeat", "0"}, 2, "--repeat 0, want 1 to 1000"},
		{[]string{"rehearse", invalidScenario}, 2, "s.toml:4: floor: 7, want 0 to 1"},
		{[]string{"rehearse", invalidScenario + ".toml"}, 2, "no such file"},
		{[]string{"rehearse", "--replay", recording, "calm"}, 2, "takes no scenario"},
		{[]string{"rehearse", "--replay", truncated}, 2, "cut: recording: line "},
		{[]string{"rehearse", "--replay", newerVersion}, 2, "newer release"},
		{[]string{"rehearse", "--compare", recording, validScenario}, 2, "report: "},
		{
			[]string{"rehearse", "--record", filepath.Join(recording, "x"), validScenario, "--relay", "x"},
			2,
			"recording: ",
		},
		{[]string{"rehearse", "--relay", filepath.Join(recording, "none"), validScenario}, 1, "not a directory"},
		{[]string{"put"}, 2, "is missing"},
		{[]string{"put", "--to", "127.0.0.1:1", "--class", "a"}, 1, "refused"},
	} {
		code, stdout, stderr := run(test.args...)
		if code != test.code || !strings.Contains(stdout+stderr, test.output) {
			t.Errorf("run(%v) = exit code %d, want %d and output that contains %q; got output:\n%s%s",
				test.args, code, test.code, test.output, stdout, stderr)
		}
	}
}

// Guards the main path of "troutusher rehearse": it plays a scenario with real relay processes,
// writes all reports and a recording, and then replays the recording and compares the result
// with the first report. A relay that does not start and a service below the floor have to
// fail the rehearsal.
func TestRehearseRecordReplayCompare(t *testing.T) {
	t.Setenv(relayEnv, "1")
	testBinary, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	inDir := func(name string) string { return filepath.Join(dir, name) }
	scenarioFile := writeTempFile(t, "s.toml", strings.ReplaceAll(briefScenario, "%s", "0.5"))
	code, stdout, stderr := run(
		"rehearse", scenarioFile, "--relay", testBinary, "--record", inDir("rec"),
		"--json", inDir("a.json"), "--html", inDir("a.html"), "--keep", inDir("kept"),
	)
	if code != 0 || !strings.Contains(stdout, "\npassed\n") ||
		!strings.Contains(stdout, "kept    waits are respected") {
		t.Fatalf("rehearse = exit code %d, want 0 and a report of a passed run; got output:\n%s%s",
			code, stdout, stderr)
	}
	first, err := report.Load(inDir("a.json"))
	if err != nil || first.Service.Delivered != first.Service.Messages || first.Service.Messages < 10 {
		t.Fatalf("JSON report: error %v, report %+v; want at least 10 messages, all delivered", err, first)
	}
	if page, err := os.ReadFile(inDir("a.html")); err != nil || !bytes.Contains(page, []byte("<svg")) {
		t.Errorf("HTML report: error %v; want a page with a plot (<svg)", err)
	}
	if log, err := os.ReadFile(inDir("kept/n1/log")); err != nil || !bytes.Contains(log, []byte("msg=ready")) {
		t.Errorf("log of the relay in the folder of --keep: error %v; want a log with msg=ready", err)
	}
	code, stdout, stderr = run(
		"rehearse", "--replay", inDir("rec"), "--relay", testBinary, "--compare", inDir("a.json"),
		"--repeat", "2", "--quiet",
	)
	if code != 0 || !strings.Contains(stdout, "2 runs: mean 1.0000") ||
		!strings.Contains(stdout, "service 1.0000 -> 1.0000") {
		t.Errorf("rehearse --replay = exit code %d, want 0 and a comparison without a difference; got output:\n%s%s",
			code, stdout, stderr)
	}
	code, stdout, _ = run("rehearse", "--seed", "9", scenarioFile, "--relay", "/bin/false")
	if code != 1 {
		t.Errorf("rehearse with a relay that does not start = exit code %d, want 1; got output:\n%s", code, stdout)
	}
	belowFloor := writeTempFile(
		t,
		"s.toml",
		strings.ReplaceAll(
			briefScenario,
			"%s",
			"1",
		)+"[[fault]]\nkind = \"crash\"\npartner = \"p\"\nat_s = 0.2\nlength_s = 60\n",
	)
	code, stdout, _ = run("rehearse", belowFloor, "--relay", testBinary)
	if code != 1 || !strings.Contains(stdout, "failed: service 0.") {
		t.Errorf("rehearse with a service below the floor = exit code %d, want 1 and the service; got output:\n%s",
			code, stdout)
	}
}

// syncBuffer is a buffer that one goroutine can read while another writes to it.
type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *syncBuffer) contains(s string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Contains(b.buffer.String(), s)
}

// lineAfter returns the rest of the first line that begins with prefix, or an empty string.
func (b *syncBuffer) lineAfter(prefix string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range strings.Lines(b.buffer.String()) {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(line), prefix); ok {
			return rest
		}
	}
	return ""
}

// Guards the instructions that "troutusher rehearse --hold" prints: a relay that is started by
// hand with the printed configuration delivers a message that is submitted with the printed
// command. The folder of the rehearsal has to be removed at the end.
func TestHoldAndPut(t *testing.T) {
	flags := rehearseFlags{relayProgram: "RELAY"}
	s, err := scenario.Load(filepath.Join("..", "..", "deploy", "example.toml"))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var stdout syncBuffer
	done := make(chan int)
	go func() { done <- flags.serveUntilInterrupted(ctx, s.Plan(s.Seed), &stdout, &stdout) }()
	waitUntil(t, "the printed instructions", func() bool { return stdout.contains("Interrupt to end.") })
	configPath, _, _ := strings.Cut(stdout.lineAfter("ROUTER_CONFIG="), " ")
	testBinary, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	relayProcess, err := os.StartProcess(testBinary, []string{testBinary}, &os.ProcAttr{
		Env:   append(os.Environ(), relayEnv+"=1", "ROUTER_CONFIG="+configPath),
		Files: []*os.File{nil, nil, os.Stderr},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		_ = relayProcess.Kill()
		_, _ = relayProcess.Wait()
	}()
	args := strings.Fields(stdout.lineAfter("RELAY "))
	var code int
	var output string
	waitUntil(t, "a relay that accepts the message", func() bool { code, output, _ = run(args...); return code == 0 })
	id, reply, _ := strings.Cut(strings.TrimSpace(output), " ")
	if reply != "+OK" {
		t.Errorf("put printed %q, want a message id and +OK", output)
	}
	waitUntil(t, "the message's effect at an endpoint", func() bool {
		return stdout.contains("message " + id + ": took effect at ")
	})
	waitUntil(t, "the endpoint's response", func() bool { return stdout.contains("answered 200") })
	code, output, _ = run(append(args, "--dest", "99")...)
	if code != 1 || !strings.Contains(output, "-ERR") {
		t.Errorf("put to an unknown destination = exit code %d, output %s; want 1 and -ERR", code, output)
	}
	cancel()
	if code := <-done; code != 0 {
		t.Errorf("serveUntilInterrupted() = exit code %d, want 0", code)
	}
	if _, err := os.Stat(configPath); !os.IsNotExist(err) {
		t.Errorf("Stat of the relay's configuration after the end = %v, want that it no longer exists", err)
	}
}

// waitUntil polls a condition that another process fulfils, and fails the test after 30 s. what
// names the awaited event in the failure.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out after 30 s waiting for %s", what)
}

// Guards against a measurement of idle connections that cannot finish with a real relay
// process, and against wrong exit codes for bad flags and for relays that do not start. The
// test does not check the measured figures.
func TestCrowd(t *testing.T) {
	t.Setenv(relayEnv, "1")
	code, stdout, stderr := run(
		"crowd", "--idle", "0, 40", "--length", "300ms", "--clients", "2", "--relay", os.Args[0],
	)
	if code != 0 || strings.Count(stdout, "\n") != 4 ||
		!strings.Contains(stdout, "all ask in 1 s: 40 taken on, 0 refused (0 with a time), 0 closed") {
		t.Errorf("crowd = exit code %d, want 0 and 4 lines with a burst of 40 accepted messages; got output:\n%s%s",
			code, stdout, stderr)
	}
	for _, args := range [][]string{
		{"--idle", "many"}, {"--idle", "-1"}, {"--clients", "0"}, {"--length", "0s"}, {"--memory", "1"}, {"x"},
	} {
		if code, _, stderr := run(append([]string{"crowd"}, args...)...); code != exitConfig || stderr == "" {
			t.Errorf("crowd %v = exit code %d, stderr %q; want 2 and an error", args, code, stderr)
		}
	}
	if code, _, stderr := run("crowd", "--idle", "1000000"); code != exitFailed ||
		!strings.Contains(stderr, "descriptors") {
		t.Errorf("crowd with more connections than descriptors = exit code %d, stderr %q; want 1 and the reason",
			code, stderr)
	}
	if code, _, stderr := run("crowd", "--idle", "1", "--relay", "/bin/false"); code != exitFailed ||
		!strings.Contains(stderr, "ended before it was ready") {
		t.Errorf("crowd with a relay that does not start = exit code %d, stderr %q; want 1 and the reason",
			code, stderr)
	}
}
