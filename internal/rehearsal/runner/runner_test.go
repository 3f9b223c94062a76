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

// The test's own program is the relay, or a kit that is killed, so that nothing need be
// built before the tests.
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

func relayMain() int {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		log.Error("relay", "err", err)
		return 2
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer cancel()
	re := daemon.ReloadRequests{Signals: hup, Load: func() (*config.Config, error) { return config.Reload(os.Getenv) }}
	err = daemon.Run(cfg, log, ctx.Done(), re)
	if err != nil {
		log.Error("relay", "err", err)
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

func loadPlan(t testing.TB, length, rate float64, faults string) *scenario.Plan {
	t.Helper()
	s, err := scenario.Parse("x", fmt.Appendf(nil, scenarioHead+faults, length, rate))
	if err != nil {
		t.Fatal(err)
	}
	return s.Plan(s.Seed)
}

// ownRelayOptions is this program as a relay.
func ownRelayOptions(t testing.TB) Options {
	t.Helper()
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return Options{Command: []string{exe}, Env: []string{relayEnv + "=1"}, Dir: t.TempDir()}
}

func play(t *testing.T, p *scenario.Plan, opt Options) *Outcome {
	t.Helper()
	o, err := Play(t.Context(), p, opt)
	if err != nil {
		t.Fatal(err)
	}
	if len(o.KitErrors) > 0 {
		t.Errorf("kit: %v", o.KitErrors)
	}
	return o
}

// A double breaks each rule, and the checker finds that; without a violation it finds nothing.
func TestCheckerFindsViolations(t *testing.T) {
	order := func(p *scenario.Plan) {
		class := &p.Scenario.Classes[0]
		class.Name, class.Ordered, class.OrderedKeyBackoffMS = "ordered", true, 100
		for i := range p.Arrivals {
			p.Arrivals[i].OrderingKey = uint64(p.Arrivals[i].Destination)
		}
	}
	for _, test := range []struct {
		name   string
		breach violation
		rule   checker.Rule
		rate   float64
		faults string
		change func(*scenario.Plan)
		says   string
	}{
		{"a message is forgotten", losesMessages, checker.RuleNoLoss, 20, "", nil, "neither delivered nor ended"},
		{
			"an unsafe message is sent again after an error", resendsUnsafe, checker.RuleAtMostOnce, 20,
			"[[fault]]\nkind = \"errors\"\npartner = \"p\"\nat_s = 0.2\nlength_s = 2\nshare = 0.4\n", nil, "sent to",
		},
		{
			"an unsafe message is sent again while its partner still works", resendsLate, checker.RuleAtMostOnce, 8,
			"[[fault]]\nkind = \"slow\"\npartner = \"p\"\nat_s = 0.2\nlength_s = 2\nsize = 8\n", nil, "took effect",
		},
		{"two copies at a time", sendsCopies, checker.RuleAtMostOnce, 10, "", nil, "a second copy"},
		{
			"a refusal of what may have run", handsBackExecuted, checker.RuleAtMostOnce, 20,
			"[[fault]]\nkind = \"reset\"\npartner = \"p\"\nat_s = 0.2\nlength_s = 2\nshare = 0.5\n", nil, "handed back",
		},
		{
			"drains are ignored", ignoresDrains, checker.RuleDrain, 20,
			"[[fault]]\nkind = \"drain\"\npartner = \"p\"\npart = 0.5\nat_s = 0.3\nlength_s = 2.5\n",
			nil, "drains or is gone",
		},
		{
			"a cold destination is pushed over", sendsBursts, checker.RuleRecovery, 2,
			"[[fault]]\nkind = \"full\"\npartner = \"p\"\nat_s = 0.2\nlength_s = 0.5\n", nil, "pushed over",
		},
		{
			"a wait is ignored", ignoresRetryAfter, checker.RuleRetryAfter, 20,
			"[[fault]]\nkind = \"full_wait\"\npartner = \"p\"\nat_s = 0.3\nlength_s = 1.5\nsize = 0.7\n",
			nil, "into a wait",
		},
		{"messages in order overtake", ignoresOrder, checker.RuleOrdering, 20, "", order, "of its thread"},
		{"calls to another destination", callsOtherDestinations, checker.RuleRouting, 5, "", nil, "serves destination"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for _, b := range []violation{noViolation, test.breach} {
				t.Run(map[bool]string{true: "honest", false: "broken"}[b == noViolation], func(t *testing.T) {
					t.Parallel()
					p := loadPlan(t, 2.5, test.rate, test.faults)
					if test.change != nil {
						test.change(p)
					}
					o := play(t, p, Options{Dir: t.TempDir(), ReplaceRelay: func(_ int, a RelayTarget) RelayTarget {
						return RelayTarget{Listen: newRelayDouble(t, p, b, a.Discovery).listener.Addr().String()}
					}})
					if b == noViolation {
						for _, v := range o.Violations {
							t.Errorf("convicted: %s", v.String())
						}
						return
					}
					said := false
					for _, v := range o.Violations {
						if v.Rule != test.rule && test.breach != callsOtherDestinations && test.breach != sendsCopies {
							t.Errorf("another rule: %s", v.String())
						}
						if v.Rule != test.rule {
							continue
						}
						if v.At < 0 || v.At > 8e6 || v.Message < 0 && test.rule != checker.RuleRecovery {
							t.Errorf("without message or moment: %+v", v)
						}
						said = said || strings.Contains(v.Evidence, test.says)
					}
					if !said {
						t.Errorf("not convicted of %q with %q: %v", test.rule, test.says, o.Violations)
					}
				})
			}
		})
	}
}

// What relays have accepted survives a kill, a restart and a reload, and no rule is broken.
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
	survivors := map[string]bool{} // accepted by relay 1 and pending when it was killed
	var down, up []event.Time
	opt := ownRelayOptions(t)
	open := map[string]bool{}
	opt.OnEvent = func(e *event.Event) {
		mu.Lock()
		defer mu.Unlock()
		switch e.Kind {
		case event.Submitted:
			if e.Relay == 0 {
				open[e.ID] = false
			}
		case event.Accepted:
			if _, ok := open[e.ID]; ok {
				open[e.ID] = true
			}
		case event.CallEnded:
			if e.Status == event.StatusDelivered {
				delete(open, e.ID)
				delete(survivors, e.ID)
			}
		case event.NoticeReceived:
			delete(open, e.ID)
			delete(survivors, e.ID)
		case event.RelayKilled:
			down = append(down, e.At)
			if e.Relay == 0 {
				for id, taken := range open {
					if taken {
						survivors[id] = true
					}
				}
				if len(survivors) == 0 {
					t.Error("nothing was out when the relay was killed")
				}
			}
		case event.RelayReady:
			up = append(up, e.At)
		}
	}
	o := play(t, p, opt)
	for _, v := range o.Violations {
		t.Errorf("convicted: %s", v.String())
	}
	if len(o.RelayFailures) > 0 || len(down) != 2 || len(up) != 4 {
		t.Errorf("crashes %v, %d ends, %d starts", o.RelayFailures, len(down), len(up))
	}
	if len(survivors) > 0 {
		t.Errorf("%d messages survived the kill and had no end", len(survivors))
	}
	for i, r := range o.Results {
		if r.Outcome == loadgen.Pending {
			t.Errorf("message %d has no end", i)
		}
	}
}

// BenchmarkFloods tells the service of usual clients while 300 others ask a
// relay for its 168 places. It takes the whole machine, so it is no test.
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
				got, asked := 0.0, 0.0
				for i := range o.Results {
					c := &p.Scenario.Classes[p.Arrivals[i].Class]
					got, asked = got+loadgen.EarnedWeight(c, &o.Results[i]), asked+c.Weight
				}
				b.ReportMetric(got/asked, "service")
				b.ReportMetric(float64(len(o.Violations)), "broken-rules")
			}
		})
	}
}

func TestUnexpectedEndIsACrash(t *testing.T) {
	t.Parallel()
	p := loadPlan(t, 2, 10, "")
	opt := ownRelayOptions(t)
	opt.OnReady = func(s *Rehearsal) error { // as a fault of its own would
		return s.relays[0].current.cmd.Process.Signal(syscall.SIGKILL)
	}
	o := play(t, p, opt)
	if len(o.RelayFailures) != 1 || !strings.Contains(o.RelayFailures[0], "relay 1 ended by itself") {
		t.Errorf("crashes: %v", o.RelayFailures)
	}
}

func TestRelayThatDoesNotStart(t *testing.T) {
	t.Parallel()
	opt := ownRelayOptions(t)
	opt.Command = []string{"/bin/false"}
	if _, err := Play(t.Context(), loadPlan(t, 1, 10, ""), opt); err == nil ||
		!strings.Contains(err.Error(), "relay 1 ended before it was ready") {
		t.Errorf("error: %v", err)
	}
	opt.Command = []string{filepath.Join(t.TempDir(), "none")}
	if _, err := Play(t.Context(), loadPlan(t, 1, 10, ""), opt); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("error: %v", err)
	}
}

// The same plan has the same submissions: ids, and order of the first ones.
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
		t.Errorf("handed in\n%s\n%s", runs[0], runs[1])
	}
}

// What the first release recorded is submitted unchanged by this one.
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
		t.Errorf("convicted: %s", v.String())
	}
	if got := fmt.Sprintf("%x", sha256.Sum256([]byte(strings.Join(first, "\n")))); got != goldenSubmissions {
		t.Errorf("handed in as %s, want %s", got, goldenSubmissions)
	}
	for i, r := range o.Results {
		if r.Outcome == loadgen.Pending {
			t.Errorf("message %d has no end", i)
		}
	}
}

// goldenSubmissions is the sum over the ids of the first submissions, in the plan's order.
const goldenSubmissions = "9b80d363e7618a66d381f1325202bc0710a8288da834a373dcad4cc3d8fa6414"

// kitMain is a kit that plays until it is killed; it prints where its relays
// are.
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
	}, Dir: dir, OnReady: func(s *Rehearsal) error {
		var b strings.Builder
		for _, r := range s.relays {
			fmt.Fprintf(&b, "%d %s\n", r.current.cmd.Process.Pid, r.listen)
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

// The relays of a kit that is killed end with it, and their ports are free.
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
	waitUntil(t, "the relays", func() bool { text, err = os.ReadFile(filepath.Join(dir, "pids")); return err == nil })
	_ = kit.Process.Kill()
	_ = kit.Wait()
	for line := range strings.Lines(string(text)) {
		pid, addr, _ := strings.Cut(strings.TrimSpace(line), " ")
		n, err := strconv.Atoi(pid)
		if err != nil {
			t.Fatal(err)
		}
		waitUntil(t, "the end of process "+pid, func() bool { return processGone(n) })
		waitUntil(t, "the port of "+addr, func() bool {
			ln, err := net.Listen("tcp4", addr)
			if err == nil {
				_ = ln.Close()
			}
			return err == nil
		})
	}
}

// processGone reports whether a process has ended, also where nobody has waited for
// it yet.
func processGone(pid int) bool {
	if syscall.Kill(pid, 0) != nil {
		return true
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	return err != nil || strings.Contains(string(text), ") Z ")
}

func waitUntil(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if cond() {
			return
		}
	}
	t.Fatalf("never came: %s", what)
}

func TestCancelledPlayLeavesNothing(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	opt := ownRelayOptions(t)
	var pid int
	opt.OnReady = func(s *Rehearsal) error { pid = s.relays[0].current.cmd.Process.Pid; cancel(); return nil }
	if _, err := Play(ctx, loadPlan(t, 30, 10, ""), opt); !errors.Is(err, context.Canceled) {
		t.Errorf("error: %v", err)
	}
	if !processGone(pid) {
		t.Error("the relay is still there")
	}
}
