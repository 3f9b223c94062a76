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

// relayEnv makes the test's own program the relay that is rehearsed with.
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
	re := relay.ReloadRequests{Signals: hup, Load: func() (*config.Config, error) { return config.Reload(os.Getenv) }}
	if err := relay.Run(cfg, slog.New(slog.NewTextHandler(os.Stderr, nil)), ctx.Done(), re); err != nil {
		os.Exit(1)
	}
	os.Exit(0)
}

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

func run(args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	code = dispatch(args, &o, &e)
	return code, o.String(), e.String()
}

// Each subcommand ends with the exit code and the words that belong to its arguments.
func TestUsage(t *testing.T) {
	good := writeTempFile(t, "s.toml", strings.ReplaceAll(briefScenario, "%s", "0"))
	bad := writeTempFile(t, "s.toml", strings.ReplaceAll(briefScenario, "%s", "7"))
	recording := filepath.Join(t.TempDir(), "r")
	played, err := scenario.Load(good)
	if err != nil {
		t.Fatal(err)
	}
	if err := replay.Save(recording, played.Plan(1), replay.Environment{}); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(recording)
	if err != nil {
		t.Fatal(err)
	}
	truncated := writeTempFile(t, "cut", string(text[:len(text)/2]))
	newer := writeTempFile(t, "newer", strings.Replace(string(text), `"version":1`, `"version":7`, 1))
	logs := filepath.Dir(writeTempFile(t, "n1.log", "time=2026-05-01T18:00:00Z level=INFO msg=ready log=none\n"+
		"time=2026-05-01T18:00:01Z level=INFO msg=taken message=m1 left_ms=900\n"+
		"time=2026-05-01T18:00:09Z level=INFO msg=tally second=9\n"))
	state := t.TempDir()
	if _, err := policystate.NewStore(state, "n7", 3<<20).
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
		{[]string{"learned", "inspect", state}, 0, "relay n7, written 2026-05-01T18:00:00Z while it ran"},
		{[]string{"learned", "inspect", filepath.Join(state, "learned")}, 0, "1 of 1  s-1 out for 2.0 s"},
		{[]string{"learned", "inspect", filepath.Join(state, "none")}, 1, "no such file"},
		{[]string{"learned", "inspect", bad}, 1, "decode policy state: the file is damaged: no policy state header"},
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
		{[]string{"rehearse", bad}, 2, "s.toml:4: floor: 7, want 0 to 1"},
		{[]string{"rehearse", bad + ".toml"}, 2, "no such file"},
		{[]string{"rehearse", "--replay", recording, "calm"}, 2, "as it is"},
		{[]string{"rehearse", "--replay", truncated}, 2, "cut: recording: line "},
		{[]string{"rehearse", "--replay", newer}, 2, "newer release"},
		{[]string{"rehearse", "--compare", recording, good}, 2, "report: "},
		{[]string{"rehearse", "--record", filepath.Join(recording, "x"), good, "--relay", "x"}, 2, "recording: "},
		{[]string{"rehearse", "--relay", filepath.Join(recording, "none"), good}, 1, "not a directory"},
		{[]string{"put"}, 2, "is missing"},
		{[]string{"put", "--to", "127.0.0.1:1", "--class", "a"}, 1, "refused"},
	} {
		code, out, errs := run(test.args...)
		if code != test.code || !strings.Contains(out+errs, test.output) {
			t.Errorf("%v: exit %d, want %d and %q:\n%s%s", test.args, code, test.code, test.output, out, errs)
		}
	}
}

// A scenario is played with real relays and recorded, and the recording is replayed and
// compared with the first report.
func TestRehearseRecordReplayCompare(t *testing.T) {
	t.Setenv(relayEnv, "1")
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	in := func(name string) string { return filepath.Join(dir, name) }
	file := writeTempFile(t, "s.toml", strings.ReplaceAll(briefScenario, "%s", "0.5"))
	code, out, errs := run(
		"rehearse", file, "--relay", self, "--record", in("rec"), "--json", in("a.json"), "--html", in("a.html"),
		"--keep", in("kept"),
	)
	if code != 0 || !strings.Contains(out, "\npassed\n") || !strings.Contains(out, "kept    waits are respected") {
		t.Fatalf("exit %d\n%s%s", code, out, errs)
	}
	a, err := report.Load(in("a.json"))
	if err != nil || a.Service.Delivered != a.Service.Messages || a.Service.Messages < 10 {
		t.Fatalf("%v: %+v", err, a)
	}
	if page, err := os.ReadFile(in("a.html")); err != nil || !bytes.Contains(page, []byte("<svg")) {
		t.Errorf("page: %v", err)
	}
	if log, err := os.ReadFile(in("kept/n1/log")); err != nil || !bytes.Contains(log, []byte("msg=ready")) {
		t.Errorf("the relay's log: %v", err)
	}
	code, out, errs = run(
		"rehearse", "--replay", in("rec"), "--relay", self, "--compare", in("a.json"), "--repeat", "2", "--quiet",
	)
	if code != 0 || !strings.Contains(out, "2 runs: mean 1.0000") ||
		!strings.Contains(out, "service 1.0000 -> 1.0000") {
		t.Errorf("exit %d\n%s%s", code, out, errs)
	}
	code, out, _ = run("rehearse", "--seed", "9", file, "--relay", "/bin/false")
	if code != 1 {
		t.Errorf("a relay that does not start: exit %d\n%s", code, out)
	}
	harsh := writeTempFile(
		t,
		"s.toml",
		strings.ReplaceAll(
			briefScenario,
			"%s",
			"1",
		)+"[[fault]]\nkind = \"crash\"\npartner = \"p\"\nat_s = 0.2\nlength_s = 60\n",
	)
	code, out, _ = run("rehearse", harsh, "--relay", self)
	if code != 1 || !strings.Contains(out, "failed: service 0.") {
		t.Errorf("under the floor: exit %d\n%s", code, out)
	}
}

// syncBuffer can be read while it is written.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *syncBuffer) contains(s string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Contains(b.b.String(), s)
}

func (b *syncBuffer) lineAfter(prefix string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range strings.Lines(b.b.String()) {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(line), prefix); ok {
			return rest
		}
	}
	return ""
}

// A relay that is started by hand, as the printed lines say, serves a message that is handed
// in as they say.
func TestHoldAndPut(t *testing.T) {
	flags := rehearseFlags{relayProgram: "RELAY"}
	s, err := scenario.Load(filepath.Join("..", "..", "deploy", "example.toml"))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var out syncBuffer
	done := make(chan int)
	go func() { done <- flags.serveUntilInterrupted(ctx, s.Plan(s.Seed), &out, &out) }()
	waitUntil(t, "the lines", func() bool { return out.contains("Interrupt to end.") })
	config, _, _ := strings.Cut(out.lineAfter("ROUTER_CONFIG="), " ")
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	relayProcess, err := os.StartProcess(self, []string{self}, &os.ProcAttr{
		Env:   append(os.Environ(), relayEnv+"=1", "ROUTER_CONFIG="+config),
		Files: []*os.File{nil, nil, os.Stderr},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		_ = relayProcess.Kill()
		_, _ = relayProcess.Wait()
	}()
	args := strings.Fields(out.lineAfter("RELAY "))
	var code int
	var output string
	waitUntil(t, "the relay", func() bool { code, output, _ = run(args...); return code == 0 })
	id, answer, _ := strings.Cut(strings.TrimSpace(output), " ")
	if answer != "+OK" {
		t.Errorf("answer %q", output)
	}
	waitUntil(t, "the effect", func() bool { return out.contains("message " + id + ": took effect at ") })
	waitUntil(t, "the answer", func() bool { return out.contains("answered 200") })
	code, output, _ = run(append(args, "--dest", "99")...)
	if code != 1 || !strings.Contains(output, "-ERR") {
		t.Errorf("to an unknown destination: exit %d, %s", code, output)
	}
	cancel()
	if code := <-done; code != 0 {
		t.Errorf("exit %d", code)
	}
	if _, err := os.Stat(config); !os.IsNotExist(err) {
		t.Errorf("left behind: %v", err)
	}
}

// waitUntil waits for a condition of another process.
func waitUntil(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if cond() {
			return
		}
	}
	t.Fatalf("never came: %s", what)
}

// The measurement of idle connections runs through on a real relay; its figures
// are not checked here.
func TestCrowd(t *testing.T) {
	t.Setenv(relayEnv, "1")
	code, out, errs := run("crowd", "--idle", "0, 40", "--length", "300ms", "--clients", "2", "--relay", os.Args[0])
	if code != 0 || strings.Count(out, "\n") != 4 ||
		!strings.Contains(out, "all ask in 1 s: 40 taken on, 0 refused (0 with a time), 0 closed") {
		t.Errorf("exit code %d: %s%s", code, out, errs)
	}
	for _, args := range [][]string{
		{"--idle", "many"}, {"--idle", "-1"}, {"--clients", "0"}, {"--length", "0s"}, {"--memory", "1"}, {"x"},
	} {
		if code, _, errs := run(append([]string{"crowd"}, args...)...); code != exitConfig || errs == "" {
			t.Errorf("%v: exit code %d, %q", args, code, errs)
		}
	}
	if code, _, errs := run("crowd", "--idle", "1000000"); code != exitFailed ||
		!strings.Contains(errs, "descriptors") {
		t.Errorf("more than the system allows: exit code %d, %q", code, errs)
	}
	if code, _, errs := run("crowd", "--idle", "1", "--relay", "/bin/false"); code != exitFailed ||
		!strings.Contains(errs, "ended before it was ready") {
		t.Errorf("no relay: exit code %d, %q", code, errs)
	}
}
