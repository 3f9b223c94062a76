package core

import (
	"os"
	"strconv"
	"testing"

	"troutusher/policy"
)

// TestCrashesLoseNoOutcome guards against messages that are lost, ended twice or ended late because
// the relay was killed and restarted at an unfavorable moment, while clients, steps of the event
// loop and endpoint lists are delayed.
func TestCrashesLoseNoOutcome(t *testing.T) {
	seeds := uint64(150)
	if n, err := strconv.ParseUint(os.Getenv("HERD_SEEDS"), 10, 32); err == nil {
		seeds = n
	}
	kills, accepted, retryAfters := 0, 0, 0
	for seed := range seeds {
		sim, n := runCrashSimulation(t, seed)
		kills, accepted, retryAfters = kills+sim.kills, accepted+n, retryAfters+sim.startsInsideRetryAfter
	}
	if retryAfters < int(seeds)/4 {
		t.Errorf("the test is too weak: %d Retry-Afters were active at a start, want at least %d",
			retryAfters, int(seeds)/4)
	}
	if kills < int(seeds) || accepted < 50*int(seeds) {
		t.Errorf("the test is too weak: %d kills and %d accepted messages, want at least %d and %d",
			kills, accepted, seeds, 50*int(seeds))
	}
	t.Logf("%d simulations, %d kills, %d messages accepted, %d Retry-Afters active at a start",
		seeds, kills, accepted, retryAfters)
}

// TestThousandsDueTogether guards against late or repeated notices when thousands of messages reach
// their deadline at once. The core recovers them at its start: half are past their deadline, the
// others share one later deadline. Each must end once, in the step in which it is due.
func TestThousandsDueTogether(t *testing.T) {
	const n = 6000
	settings := testCore(t).settings
	settings.Policy.MaxPending = 2 * n
	c, err := New(settings)
	if err != nil {
		t.Fatal(err)
	}
	now := policy.Time(3600e6)
	member := Member{ID: "s1", HostPort: "10.0.0.1:1", Locality: "a", Flavor: "k", Dest: 1, Phase: Draining, Rate: 40}
	c.Observe(now, []Event{listEvent(policy.ListCached, member)}, nil)
	c.DeferSends()
	var pending []*Record
	for i := range n {
		deadline := now - 1e6
		if i%2 == 1 {
			deadline = now + 2e6
		}
		pending = append(pending, plainRecord("m"+strconv.Itoa(i), 1, c.wallTime(deadline)))
	}
	ends := map[string]policy.Time{}
	step := func(at policy.Time, effects []Effect) (count int) {
		for i := range effects {
			if e, ok := effects[i].(AppendThenNotify); ok {
				count++
				if _, twice := ends[e.Notice.Message]; twice {
					t.Fatalf("message %s ended twice, want once", e.Notice.Message)
				}
				ends[e.Notice.Message] = at
			}
		}
		return count
	}
	step(now, c.RecoverMessages(now, pending, nil, 0, nil))
	if got := step(now, c.Step(now, nil, nil)); got != n/2 {
		t.Errorf("the first Step ended %d messages, want %d", got, n/2)
	}
	for at := now + 1000; at <= now+2e6; at = c.NextWakeup() {
		step(at, c.Step(at, nil, nil))
		if c.NextWakeup() == 0 {
			break
		}
	}
	if len(ends) != n || c.HeldMessages() != 0 {
		t.Errorf("at the end %d messages have ended, want %d; HeldMessages() = %d, want 0",
			len(ends), n, c.HeldMessages())
	}
	for id, at := range ends {
		if at > now+2e6 {
			t.Errorf("message %s ended %d µs after its deadline, want no delay", id, at-now-2e6)
		}
	}
}
