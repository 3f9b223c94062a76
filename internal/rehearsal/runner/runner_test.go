package runner

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"troutusher/internal/config"
	"troutusher/internal/event"
	"troutusher/internal/rehearsal/checker"
	"troutusher/internal/rehearsal/loadgen"
	"troutusher/internal/rehearsal/replay"
	"troutusher/internal/rehearsal/scenario"
	daemon "troutusher/internal/relay"
)

// The test binary also serves as the relay and as a kit that is killed, so that no other program
// needs to be built for the tests. These environment variables select what it runs as.
const (
	relayEnv = "TROUTUSHER_TEST_RELAY"
	kitEnv   = "TROUTUSHER_TEST_KIT"
)

func TestMain(m *testing.M) {
	switch {
	case os.Getenv(relayEnv) != "":
		os.Exit(relayMain())
	case os.Getenv(kitEnv) != "":
		os.Exit(kitMain())
	}
	os.Exit(m.Run())
}

// relayMain runs the test binary as a relay and returns its exit code.
func relayMain() int {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		log.Error("cannot load the configuration", "err", err)
		return 2
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer cancel()
	requests := daemon.ReloadRequests{
		Signals: reload, Load: func() (*config.Config, error) { return config.Reload(os.Getenv) },
	}
	err = daemon.Run(cfg, log, ctx.Done(), requests)
	if err != nil {
		log.Error("relay stopped with an error", "err", err)
		return 1
	}
	return 0
}

const scenarioHead = `version = 1
name = "x"
length_s = %v
[clients]
backoff_ms = 100
[discovery]
delay_ms = 100
spread_ms = 20
[rules]
drain_grace_ms = 500
fall_ms = 1000
cold_ms = 4000
cold_share = 0.3
[traffic]
rate_per_s = %v
[[class]]
name = "safe"
aim_ms = 1000
deadline_ms = 2000
late_worth = 0.2
repeat = "safe"
[[class]]
name = "unsafe"
aim_ms = 1000
deadline_ms = 2000
worth = 3
repeat = "unsafe"
[[partner]]
name = "p"
endpoints = 2
capacity_per_s = 20
queue = 20
service_ms = { all = 40 }
[[partner]]
name = "q"
endpoints = 2
capacity_per_s = 20
queue = 20
service_ms = { all = 40 }
`

// loadPlan draws the plan of scenarioHead with a length in seconds, a rate per second and faults or
// further tables.
func loadPlan(t testing.TB, length, rate float64, faults string) *scenario.Plan {
	t.Helper()
	s, err := scenario.Parse("x", fmt.Appendf(nil, scenarioHead+faults, length, rate))
	if err != nil {
		t.Fatal(err)
	}
	return s.Plan(s.Seed)
}

// ownRelayOptions returns options that start the test binary as the relay.
func ownRelayOptions(t testing.TB) Options {
	t.Helper()
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return Options{Command: []string{exe}, Env: []string{relayEnv + "=1"}, Dir: t.TempDir()}
}

// play runs a rehearsal and fails the test if the kit itself had errors.
func play(t *testing.T, p *scenario.Plan, opt Options) *Outcome {
	t.Helper()
	o, err := Play(t.Context(), p, opt)
	if err != nil {
		t.Fatal(err)
	}
	if len(o.RehearsalErrors) > 0 {
		t.Errorf("RehearsalErrors = %q, want none", o.RehearsalErrors)
	}
	return o
}

// playWithDoubles runs a rehearsal with relay doubles that break a rule. It begins once they have the endpoint list.
func playWithDoubles(t *testing.T, p *scenario.Plan, v violation) *Outcome {
	t.Helper()
	var doubles []*relayDouble
	return play(t, p, Options{
		Dir: t.TempDir(),
		ReplaceRelay: func(_ int, r RelayTarget) RelayTarget {
			double := newRelayDouble(t, p, v, r.Discovery)
			doubles = append(doubles, double)
			return RelayTarget{Listen: double.listener.Addr().String()}
		},
		OnReady: func(*Rehearsal) error {
			for _, double := range doubles {
				select {
				case <-double.hasList:
				case <-t.Context().Done():
					return t.Context().Err()
				}
			}
			return nil
		},
	})
}

// For each rule, a relay double breaks the rule on purpose, and the checker must report that violation.
// The same double that keeps the rule must cause no violations. The test guards against a checker that
// overlooks violations, and against one that reports false ones.
func TestCheckerFindsViolations(t *testing.T) {
	makeOrdered := func(p *scenario.Plan) {
		class := &p.Scenario.Classes[0]
		class.Name, class.Ordered, class.OrderedKeyBackoffMS = "ordered", true, 100
		for i := range p.Arrivals {
			p.Arrivals[i].OrderingKey = uint64(p.Arrivals[i].Destination)
		}
	}
	for _, test := range []struct {
		name      string
		violation violation
		rule      checker.Rule
		rate      float64
		faults    string
		change    func(*scenario.Plan)
		evidence  string
	}{
		{"message lost", losesMessages, checker.RuleNoLoss, 20, "", nil, "neither delivered nor ended"},
		{
			"unsafe message resent after an error", resendsUnsafe, checker.RuleAtMostOnce, 20,
			"[[fault]]\nkind = \"errors\"\npartner = \"p\"\nat_s = 0.2\nlength_s = 2\nshare = 0.4\n", nil, "sent to",
		},
		{
			"unsafe message resent while the partner still processes it", resendsLate, checker.RuleAtMostOnce, 8,
			"[[fault]]\nkind = \"slow\"\npartner = \"p\"\nat_s = 0.2\nlength_s = 2\nsize = 8\n", nil, "took effect",
		},
		{"two copies sent concurrently", sendsCopies, checker.RuleAtMostOnce, 10, "", nil, "a second copy"},
		{
			"message that may have run returned as never run", handsBackExecuted, checker.RuleAtMostOnce, 20,
			"[[fault]]\nkind = \"reset\"\npartner = \"p\"\nat_s = 0.2\nlength_s = 2\nshare = 0.5\n", nil, "handed back",
		},
		{
			"draining endpoints called", ignoresDrains, checker.RuleDrain, 20,
			"[[fault]]\nkind = \"drain\"\npartner = \"p\"\npart = 0.5\nat_s = 0.3\nlength_s = 2.5\n",
			nil, "drains or is gone",
		},
		{
			"cold destination overloaded", sendsBursts, checker.RuleRecovery, 2,
			"[[fault]]\nkind = \"full\"\npartner = \"p\"\nat_s = 0.2\nlength_s = 0.5\n", nil, "pushed over",
		},
		{
			"Retry-After ignored", ignoresRetryAfter, checker.RuleRetryAfter, 20,
			"[[fault]]\nkind = \"full_wait\"\npartner = \"p\"\nat_s = 0.3\nlength_s = 1.5\nsize = 0.7\n",
			nil, "into a wait",
		},
		{"ordered messages reordered", ignoresOrder, checker.RuleOrdering, 20, "", makeOrdered, "of its thread"},
		{"calls to a wrong destination", callsOtherDestinations, checker.RuleRouting, 5, "", nil, "serves destination"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for _, injected := range []violation{noViolation, test.violation} {
				t.Run(map[bool]string{true: "kept", false: "broken"}[injected == noViolation], func(t *testing.T) {
					t.Parallel()
					p := loadPlan(t, 2.5, test.rate, test.faults)
					if test.change != nil {
						test.change(p)
					}
					o := playWithDoubles(t, p, injected)
					if injected == noViolation {
						for _, v := range o.Violations {
							t.Errorf("false violation: %s", v.String())
						}
						return
					}
					found := false
					for _, v := range o.Violations {
						if v.Rule != test.rule &&
							test.violation != callsOtherDestinations && test.violation != sendsCopies {
							t.Errorf("violation of another rule: %s", v.String())
						}
						if v.Rule != test.rule {
							continue
						}
						if v.At < 0 || v.At > 8e6 || v.Message < 0 && test.rule != checker.RuleRecovery {
							t.Errorf("violation without a message or a plausible time: %+v", v)
						}
						found = found || strings.Contains(v.Evidence, test.evidence)
					}
					if !found {
						t.Errorf("no violation of %q with evidence %q: %v", test.rule, test.evidence, o.Violations)
					}
				})
			}
		})
	}
}

// Messages that relays have accepted survive a kill, a restart and a reload: each is delivered or
// reported, and no rule is broken. A hanging partner keeps messages pending when the relay is killed,
// so that a relay that does not recover them from its log fails the test.
func TestRelaysThroughKillRestartReload(t *testing.T) {
	t.Parallel()
	p := loadPlan(t, 6, 30, `
[[fault]]
kind = "hang"
partner = "p"
at_s = 1
length_s = 2
[[fault]]
kind = "relay_kill"
relay = 1
at_s = 1.5
length_s = 0.5
[[fault]]
kind = "relay_restart"
relay = 2
at_s = 2.5
[[fault]]
kind = "reload"
at_s = 4
[[fault]]
kind = "remove"
partner = "q"
part = 0.5
at_s = 2
length_s = 2
[relays]
count = 2
`)
	for i := range p.Scenario.Classes {
		p.Scenario.Classes[i].DeadlineMS = 6000
	}
	var mu sync.Mutex
	survivors := map[string]bool{} // by ID: accepted by relay 1, pending when it was killed, and not ended since
	var down, up []event.Time
	opt := ownRelayOptions(t)
	pending := map[string]bool{} // by ID: submissions to relay 1 that have not ended; true once accepted
	opt.OnEvent = func(e *event.Event) {
		mu.Lock()
		defer mu.Unlock()
		switch e.Kind {
		case event.Submitted:
			if e.Relay == 0 {
				pending[e.ID] = false
			}
		case event.Accepted:
			if _, ok := pending[e.ID]; ok {
				pending[e.ID] = true
			}
		case event.CallEnded:
			if e.Status == event.StatusDelivered {
				delete(pending, e.ID)
				delete(survivors, e.ID)
			}
		case event.NoticeReceived:
			delete(pending, e.ID)
			delete(survivors, e.ID)
		case event.RelayKilled:
			down = append(down, e.At)
			if e.Relay == 0 {
				for id, accepted := range pending {
					if accepted {
						survivors[id] = true
					}
				}
				if len(survivors) == 0 {
					t.Error("relay 1 had no pending messages when it was killed")
				}
			}
		case event.RelayReady:
			up = append(up, e.At)
		}
	}
	o := play(t, p, opt)
	for _, v := range o.Violations {
		t.Errorf("violation: %s", v.String())
	}
	if len(o.RelayFailures) > 0 || len(down) != 2 || len(up) != 4 {
		t.Errorf("relay failures %q, %d stops, %d starts, want none, 2, 4", o.RelayFailures, len(down), len(up))
	}
	if len(survivors) > 0 {
		t.Errorf("%d submissions were pending at the kill and never ended", len(survivors))
	}
	for i, r := range o.Results {
		if r.Outcome == loadgen.Pending {
			t.Errorf("message %d never ended", i)
		}
	}
}

// BenchmarkFloods measures the service of legitimate clients while 300 connections of a flood
// compete for the 168 connection slots of a relay. It is a benchmark and not a test because it
// loads the whole machine.
func BenchmarkFloods(b *testing.B) {
	for _, kind := range []string{"", "flood_silent", "flood_returning", "flood_ping", "flood_drip", "flood_faulty"} {
		b.Run(kind, func(b *testing.B) {
			for b.Loop() {
				faults := "[relays]\nsockets = 256\n"
				if kind != "" {
					faults += fmt.Sprintf("[[fault]]\nkind = %q\nat_s = 0.5\nlength_s = 3\nsize = 300\n", kind)
				}
				p := loadPlan(b, 4, 30, faults)
				o, err := Play(b.Context(), p, ownRelayOptions(b))
				if err != nil {
					b.Fatal(err)
				}
				earned, total := 0.0, 0.0
				for i := range o.Results {
					c := &p.Scenario.Classes[p.Arrivals[i].Class]
					earned, total = earned+loadgen.EarnedWeight(c, &o.Results[i]), total+c.Weight
				}
				b.ReportMetric(earned/total, "service")
				b.ReportMetric(float64(len(o.Violations)), "broken-rules")
			}
		})
	}
}

// A relay process that exits although nobody stopped it is reported as a failure of the relay, with the panic
// in its log.
func TestUnexpectedEndIsACrash(t *testing.T) {
	t.Parallel()
	p := loadPlan(t, 2, 10, "")
	opt := ownRelayOptions(t)
	opt.OnReady = func(r *Rehearsal) error { // stands for a crash by a bug of the relay
		log, err := os.OpenFile(r.relays[0].logPath(), os.O_APPEND|os.O_WRONLY, 0)
		if err != nil {
			return err
		}
		if _, err := log.WriteString("panic: index out of range\n"); err != nil {
			return err
		}
		if err := log.Close(); err != nil {
			return err
		}
		return r.relays[0].current.cmd.Process.Signal(syscall.SIGKILL)
	}
	o := play(t, p, opt)
	if len(o.RelayFailures) != 1 || !strings.Contains(o.RelayFailures[0], "relay 1 ended by itself") ||
		!strings.HasSuffix(o.RelayFailures[0], "signal: killed: panic: index out of range") {
		t.Errorf("RelayFailures = %q, want one that says \"relay 1 ended by itself\" with its panic", o.RelayFailures)
	}
}

// Play returns an error if the relay program exits at once or does not exist; it must not wait for
// such a relay or start the plan without it.
func TestRelayThatDoesNotStart(t *testing.T) {
	t.Parallel()
	opt := ownRelayOptions(t)
	opt.Command = []string{"/bin/false"}
	if _, err := Play(t.Context(), loadPlan(t, 1, 10, ""), opt); err == nil ||
		!strings.Contains(err.Error(), "relay 1 ended before it was ready") {
		t.Errorf("Play with a relay that exits: error %v, want \"relay 1 ended before it was ready\"", err)
	}
	opt.Command = []string{filepath.Join(t.TempDir(), "none")}
	if _, err := Play(t.Context(), loadPlan(t, 1, 10, ""), opt); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("Play with a missing relay program: error %v, want os.ErrNotExist", err)
	}
}

// Two rehearsals of the same plan submit the same messages under the same ids, in the same order.
// Otherwise a recording would not reproduce a rehearsal.
func TestSamePlanHasSameSubmissions(t *testing.T) {
	t.Parallel()
	var runs [2]string
	var wg sync.WaitGroup
	for i := range runs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			p := loadPlan(t, 2, 40, "[[fault]]\nkind = \"full\"\npartner = \"p\"\nat_s = 0.5\nlength_s = 1\n")
			var mu sync.Mutex
			first := make([]string, len(p.Arrivals))
			opt := ownRelayOptions(t)
			opt.OnEvent = func(e *event.Event) {
				mu.Lock()
				defer mu.Unlock()
				if e.Kind == event.Submitted && first[e.Message] == "" {
					first[e.Message] = e.ID
				}
			}
			if _, err := Play(t.Context(), p, opt); err != nil {
				t.Error(err)
			}
			runs[i] = strings.Join(first, " ")
		}()
	}
	wg.Wait()
	if runs[0] != runs[1] || len(runs[0]) < 1000 {
		t.Errorf("ids of first submissions differ or are too few:\n%s\n%s", runs[0], runs[1])
	}
}

// A recording of the first release is replayed with the same submissions as by that release, and no
// rule is broken.
func TestGoldenRecordingIsReplayed(t *testing.T) {
	t.Parallel()
	p, _, err := replay.Load(filepath.Join("..", "replay", "testdata", "v1.rehearsal"))
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	first := make([]string, len(p.Arrivals))
	opt := ownRelayOptions(t)
	opt.OnEvent = func(e *event.Event) {
		mu.Lock()
		defer mu.Unlock()
		if e.Kind == event.Submitted && first[e.Message] == "" {
			first[e.Message] = e.ID
		}
	}
	o := play(t, p, opt)
	for _, v := range o.Violations {
		t.Errorf("violation: %s", v.String())
	}
	if got := fmt.Sprintf("%x", sha256.Sum256([]byte(strings.Join(first, "\n")))); got != goldenSubmissions {
		t.Errorf("SHA-256 of the first submissions' ids = %s, want %s", got, goldenSubmissions)
	}
	for i, r := range o.Results {
		if r.Outcome == loadgen.Pending {
			t.Errorf("message %d never ended", i)
		}
	}
}

// goldenSubmissions is the SHA-256 sum of the ids of all first submissions, in the plan's order.
const goldenSubmissions = "9b80d363e7618a66d381f1325202bc0710a8288da834a373dcad4cc3d8fa6414"

// kitMain runs the test binary as a kit that plays until it is killed. It writes the process ids and
// addresses of its relays to the file pids.
func kitMain() int {
	s, err := scenario.Parse("x", fmt.Appendf(nil, scenarioHead+"[relays]\ncount = 2\n", 60.0, 20.0))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	exe, err := os.Executable()
	if err != nil {
		return 2
	}
	dir := os.Getenv(kitEnv)
	opt := Options{Command: []string{exe}, Env: []string{
		relayEnv + "=1", kitEnv + "=",
	}, Dir: dir, OnReady: func(r *Rehearsal) error {
		var b strings.Builder
		for _, relay := range r.relays {
			fmt.Fprintf(&b, "%d %s\n", relay.current.cmd.Process.Pid, relay.listen)
		}
		if err := os.WriteFile(filepath.Join(dir, "pids.new"), []byte(b.String()), 0o600); err != nil {
			return err
		}
		return os.Rename(filepath.Join(dir, "pids.new"), filepath.Join(dir, "pids"))
	}}
	if _, err := Play(context.Background(), s.Plan(1), opt); err != nil {
		return 1
	}
	return 0
}

// When a kit is killed by SIGKILL, the kernel kills its relays and their ports become free. Without
// the parent-death signal the relays would keep running.
func TestKilledKitLeavesNothing(t *testing.T) {
	t.Parallel()
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	kit := exec.Command(exe)
	kit.Env = append(os.Environ(), kitEnv+"="+dir)
	if err := kit.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = kit.Wait() }()
	defer func() { _ = kit.Process.Kill() }()
	var text []byte
	waitUntil(t, "file pids", func() bool { text, err = os.ReadFile(filepath.Join(dir, "pids")); return err == nil })
	_ = kit.Process.Kill()
	_ = kit.Wait()
	for line := range strings.Lines(string(text)) {
		pid, addr, _ := strings.Cut(strings.TrimSpace(line), " ")
		n, err := strconv.Atoi(pid)
		if err != nil {
			t.Fatal(err)
		}
		waitUntil(t, "the exit of process "+pid, func() bool { return processGone(n) })
		waitUntil(t, "a free port at "+addr, func() bool {
			ln, err := net.Listen("tcp4", addr)
			if err == nil {
				_ = ln.Close()
			}
			return err == nil
		})
	}
}

// processGone reports whether a process has exited. A zombie, which its parent has not waited for
// yet, counts as exited.
func processGone(pid int) bool {
	if syscall.Kill(pid, 0) != nil {
		return true
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	return err != nil || strings.Contains(string(text), ") Z ")
}

// waitUntil polls a condition and fails the test if it does not hold within 30 s.
func waitUntil(t *testing.T, awaited string, cond func() bool) {
	t.Helper()
	for timeout := time.Now().Add(30 * time.Second); time.Now().Before(timeout); time.Sleep(2 * time.Millisecond) {
		if cond() {
			return
		}
	}
	t.Fatalf("timed out after 30 s waiting for %s", awaited)
}

// Play returns the context's error when it is cancelled, and its relay processes have exited by then.
func TestCancelledPlayLeavesNothing(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	opt := ownRelayOptions(t)
	var pid int
	opt.OnReady = func(r *Rehearsal) error { pid = r.relays[0].current.cmd.Process.Pid; cancel(); return nil }
	if _, err := Play(ctx, loadPlan(t, 30, 10, ""), opt); !errors.Is(err, context.Canceled) {
		t.Errorf("Play with a cancelled context: error %v, want context.Canceled", err)
	}
	if !processGone(pid) {
		t.Errorf("relay process %d still runs after Play has returned", pid)
	}
}
