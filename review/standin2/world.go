package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// exitHeld, exitBroken and exitCannotRun are the exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// world holds what a case has started: a temporary folder, the record, and the processes.
type world struct {
	dir     string
	root    string // the repository
	trouble bool
	started time.Time

	mu     sync.Mutex
	record *os.File
	relays []*relay
	ends   []func()
}

// onClose registers a function that close calls.
func (w *world) onClose(f func()) { w.ends = append(w.ends, f) }

func newWorld() *world {
	root, err := os.Getwd()
	must(err)
	dir, err := os.MkdirTemp("", "troutusher-review-")
	must(err)
	record, err := os.Create(os.Getenv("RECORD"))
	must(err)
	return &world{
		dir: dir, root: root, trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), record: record,
	}
}

// since returns the seconds since the start of the case.
func (w *world) since(t time.Time) float64 { return t.Sub(w.started).Seconds() }

// log writes a line with the present time to the record.
func (w *world) log(format string, args ...any) { w.logAt(time.Now(), format, args...) }

func (w *world) logAt(t time.Time, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f %s\n", w.since(t), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (w *world) say(format string, args ...any) {
	w.log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// close ends all processes of the case and removes the temporary folder.
func (w *world) close() {
	for _, r := range w.relays {
		r.end()
	}
	for _, r := range w.relays {
		r.reap()
	}
	for _, f := range w.ends {
		f()
	}
	_ = w.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
}

// freeAddr returns an address of the loopback interface whose port is free now. The port lies below those that the
// system gives to outgoing connections, so that none of these takes it while no process listens there.
func freeAddr() string {
	for range 200 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 10000+rand.IntN(20000)))
		if err != nil {
			continue
		}
		addr := l.Addr().String()
		must(l.Close())
		if !givenAddrs[addr] {
			givenAddrs[addr] = true
			return addr
		}
	}
	panic(cannotRun{"no free port"})
}

// givenAddrs are the results of freeAddr, which only the goroutine of the case calls.
var givenAddrs = map[string]bool{}

// cannotRun is the panic of a case that could not run.
type cannotRun struct{ reason string }

func must(err error) {
	if err != nil {
		panic(cannotRun{err.Error()})
	}
}

func require(ok bool, format string, args ...any) {
	if !ok {
		panic(cannotRun{fmt.Sprintf(format, args...)})
	}
}

// waitFor polls a condition for some seconds.
func waitFor(limit time.Duration, what string, ok func() bool) {
	deadline := time.Now().Add(limit)
	for !ok() {
		require(time.Now().Before(deadline), "waited %v for %s", limit, what)
		time.Sleep(10 * time.Millisecond)
	}
}

// settings are the settings of a deployment, in the form of the first message.
type settings map[string]any

// smallDeployment returns the settings of the page's own example, for so many relays.
func smallDeployment(relays int) settings {
	class := func(name, repeat string, deadline, window, target int64, worth, late float64) map[string]any {
		return map[string]any{
			"name": name, "repeat": repeat, "deadline_us": deadline, "dedup_window_us": window, "group": "all",
			"late_worth": late, "target_us": target, "worth": worth, "streaming": false,
		}
	}
	return settings{
		"accounts": []any{
			map[string]any{"name": "kuhaj-doma", "quota_per_s": 1000.0, "share": 1.0},
		},
		"balancers": relays,
		"classes": []any{
			class("termin", "retryable", 8e6, 5e6, 1.5e6, 1, 0.1),
			class("narudzba", "dedup", 20e6, 20e6, 3e6, 1, 0.3),
			class("placanje", "fragile", 28e6, 5e6, 3e6, 3, 0.4),
		},
		"discovery": "pushed",
		"kinds":     []string{"lanac", "dostava", "ducan"},
		"limits": map[string]any{
			"connect_timeout_us": 1500000, "keepalive_us": 10000000, "max_retry_after_us": 2000000, "may_cancel": true,
			"most_held": 165, "most_tries": 8, "parallel_tries": false, "peers": false, "probing": true,
			"retry_after": true, "streams_per_conn": 8,
		},
		"localities":       []string{"dvorana-a", "dvorana-b", "dvorana-c"},
		"over_share_worth": 0.2, "rank": 0,
		"report": map[string]any{"fields": []string{}, "how": "none"},
		"safety": map[string]any{
			"answer_slack_us": 20000, "ask_every_us": 10000000, "drain_grace_us": 2000000, "fall_us": 2000000,
			"overload_factor": 1.5, "ramp_time_us": 13000000, "start_capacity": 0.26,
		},
		"specifics": map[string]any{
			"calls_out": 17, "kind_batch": []int{1, 1, 1}, "late": "linear", "own_limits": []bool{true, false, false},
			"turned_away_price": 0.03, "zone_fee": []float64{0, 0, 0},
		},
		"tick_us": 5000, "tier": 0, "tiers": []string{"partneri"}, "value_by": "request", "weights": "nominal",
		"workload": "deliver", "zone": 0,
	}
}

// deployCommand returns the value of a key of the deploy file.
func (w *world) deployCommand(key string) string {
	text, err := os.ReadFile(filepath.Join(w.root, "deploy", "balancer.toml"))
	must(err)
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, key+" = "); ok {
			var command string
			must(json.Unmarshal([]byte(value), &command))
			return command
		}
	}
	panic(cannotRun{"deploy file without " + key})
}
