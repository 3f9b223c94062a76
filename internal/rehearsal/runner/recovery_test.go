package runner

import (
	"os"
	"path/filepath"
	"sync"
	"testing"

	"troutusher/internal/event"
)

// measureRecovery plays an outage of a partner with one relay. It returns the number of calls to the
// partner in each second after the outage, and how often the partner collapsed under overload. With
// kill, the relay is killed 0.4 s after the outage's end and restarts with the state that it had
// saved; with forget, it saves none and restarts without.
func measureRecovery(t *testing.T, seed uint64, kill, forget bool) (callsPerSecond [8]int, overloads int) {
	t.Helper()
	const outageEndS = 5.0
	faults := "[relays]\ncount = 1\nslots = 40\nheld = 900\n[[fault]]\nkind = \"crash\"\npartner = \"p\"\n" +
		"at_s = 1.5\nlength_s = 3.5\n"
	if kill {
		faults += "[[fault]]\nkind = \"relay_kill\"\nat_s = 5.4\nlength_s = 0.1\n"
	}
	p := loadPlan(t, outageEndS+float64(len(callsPerSecond)), 44, faults)
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
	var outageEnd event.Time
	opt.OnEvent = func(e *event.Event) {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case e.Kind == event.OutageEnded && p.Endpoints[e.Endpoint].Partner == 0:
			outageEnd = max(outageEnd, e.At)
		case e.Kind == event.Collapsed:
			overloads++
		case e.Kind == event.CallReceived && outageEnd > 0 && p.Endpoints[e.Endpoint].Partner == 0:
			if s := int((e.At - outageEnd) / 1e6); s < len(callsPerSecond) {
				callsPerSecond[s]++
			}
		}
	}
	o := play(t, p, opt)
	for _, v := range o.Violations {
		if !forget { // without its state, the relay is expected to overload the partner
			t.Errorf("violation: %+v", v)
		}
	}
	return callsPerSecond, overloads
}

// A relay that restarts with its saved state must ramp up its calls to a recovering partner like one
// that was never restarted; one without it overloads the partner. The test yields the figures of
// docs/measurements/learned-state.md with real relays and sockets. Run it by hand:
//
//	RECALL=1 go test -run TestRecoveryOnSockets -v ./internal/rehearsal/runner
func TestRecoveryOnSockets(t *testing.T) {
	if os.Getenv("RECALL") == "" {
		t.Skip("measurement that takes minutes; set RECALL=1 to run it")
	}
	var mu sync.Mutex
	callSums, overloads := map[string][8]int{}, map[string]int{}
	t.Run("all", func(t *testing.T) {
		for name, killAndForget := range map[string][2]bool{
			"never restarted":         {false, false},
			"restarted with state":    {true, false},
			"restarted without state": {true, true},
		} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(6) {
					calls, collapses := measureRecovery(t, 100+seed, killAndForget[0], killAndForget[1])
					mu.Lock()
					sum := callSums[name]
					for i, n := range calls {
						sum[i] += n
					}
					callSums[name] = sum
					overloads[name] += collapses
					mu.Unlock()
				}
			})
		}
	})
	for name, sum := range callSums {
		t.Logf("%-23s calls in each second after the outage %v, %d collapses", name, sum, overloads[name])
	}
	for sec, want := range callSums["never restarted"] {
		if got := callSums["restarted with state"][sec]; sec > 0 &&
			(float64(got) > 1.1*float64(want) || float64(got) < 0.9*float64(want)) {
			t.Errorf("second %d: %d calls by the relay restarted with state, want %d within 10%%", sec, got, want)
		}
	}
	if overloads["restarted with state"] > overloads["never restarted"] || overloads["restarted without state"] == 0 {
		t.Errorf("collapses = %v, want no more with state than without a restart, and some without state", overloads)
	}
}
