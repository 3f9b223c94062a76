package runner

import (
	"os"
	"path/filepath"
	"sync"
	"testing"

	"troutusher/internal/event"
)

// recovery plays an outage of a partner with one relay and returns the calls that
// the partner got in each second after its return. Where a relay is killed in the
// outage, it knows what its file has, or nothing.
func recovery(t *testing.T, seed uint64, kill, forget bool) (per [8]int, pushed int) {
	t.Helper()
	const back = 5.0
	faults := "[relays]\ncount = 1\nslots = 40\nheld = 900\n[[fault]]\nkind = \"crash\"\npartner = \"p\"\n" +
		"at_s = 1.5\nlength_s = 3.5\n"
	if kill {
		faults += "[[fault]]\nkind = \"relay_kill\"\nat_s = 5.4\nlength_s = 0.1\n"
	}
	p := loadPlan(t, back+float64(len(per)), 44, faults)
	p.Scenario.Seed = seed
	p = p.Scenario.Plan(seed)
	opt := ownRelayOptions(t)
	if forget {
		file := filepath.Join(t.TempDir(), "operator.toml")
		if err := os.WriteFile(file, []byte("[learned]\nperiod_s = -1\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		opt.Env = append(opt.Env, "TROUTUSHER_OPERATOR="+file)
	}
	var mu sync.Mutex
	var backAt event.Time
	opt.OnEvent = func(e *event.Event) {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case e.Kind == event.OutageEnded && p.Endpoints[e.Endpoint].Partner == 0:
			backAt = max(backAt, e.At)
		case e.Kind == event.Collapsed:
			pushed++
		case e.Kind == event.CallReceived && backAt > 0 && p.Endpoints[e.Endpoint].Partner == 0:
			if s := int((e.At - backAt) / 1e6); s < len(per) {
				per[s]++
			}
		}
	}
	o := play(t, p, opt)
	for _, v := range o.Violations {
		if !forget { // one that forgets does push it over
			t.Errorf("%+v", v)
		}
	}
	return per, pushed
}

// Figures of docs/measurements/learned-state.md, on sockets; run by hand:
//
//	RECALL=1 go test -run TestRecoveryOnSockets -v ./internal/rehearsal/runner
func TestRecoveryOnSockets(t *testing.T) {
	if os.Getenv("RECALL") == "" {
		t.Skip("a measurement of minutes: RECALL=1 asks for it")
	}
	var mu sync.Mutex
	sums, fell := map[string][8]int{}, map[string]int{}
	t.Run("all", func(t *testing.T) {
		for name, c := range map[string][2]bool{
			"never restarted": {false, false}, "remembers": {true, false}, "forgets": {true, true},
		} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(6) {
					per, pushed := recovery(t, 100+seed, c[0], c[1])
					mu.Lock()
					sum := sums[name]
					for i, n := range per {
						sum[i] += n
					}
					sums[name] = sum
					fell[name] += pushed
					mu.Unlock()
				}
			})
		}
	})
	for name, sum := range sums {
		t.Logf("%-16s calls in each second after the return %v, pushed over %d times", name, sum, fell[name])
	}
	for sec, never := range sums["never restarted"] {
		if got := sums["remembers"][sec]; sec > 0 &&
			(float64(got) > 1.1*float64(never) || float64(got) < 0.9*float64(never)) {
			t.Errorf("second %d: %d calls, %d by a relay that was never restarted", sec, got, never)
		}
	}
	if fell["remembers"] > fell["never restarted"] || fell["forgets"] == 0 {
		t.Errorf("pushed over: %v", fell)
	}
}
