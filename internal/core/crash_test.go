package core

import (
	"os"
	"strconv"
	"testing"

	"troutusher/policy"
)

// Every message that was accepted ends once and in time, whenever its relay dies and
// starts again, and however late clients, steps and lists are.
func TestCrashesLoseNoOutcome(t *testing.T) {
	seeds := uint64(150)
	if n, err := strconv.ParseUint(os.Getenv("HERD_SEEDS"), 10, 32); err == nil {
		seeds = n
	}
	kills, accepted, retryAfters := 0, 0, 0
	for seed := range seeds {
		sim, n := playCrashes(t, seed)
		kills, accepted, retryAfters = kills+sim.kills, accepted+n, retryAfters+sim.startsInsideRetryAfter
	}
	if retryAfters < int(seeds)/4 {
		t.Errorf("only %d starts had a Retry-After to keep", retryAfters)
	}
	if kills < int(seeds) || accepted < 50*int(seeds) {
		t.Errorf("only %d kills, %d messages accepted", kills, accepted)
	}
	t.Logf("%d days, %d kills, %d messages accepted, %d Retry-Afters kept across a start",
		seeds, kills, accepted, retryAfters)
}

// Thousands that are owed at a start, half of them due already and the others in
// one later instant, end in the step in which they are due: each once, none late.
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
	var owed []*Record
	for i := range n {
		due := now - 1e6
		if i%2 == 1 {
			due = now + 2e6
		}
		owed = append(owed, plainRecord("m"+strconv.Itoa(i), 1, c.wallTime(due)))
	}
	ends := map[string]policy.Time{}
	step := func(at policy.Time, effects []Effect) (count int) {
		for i := range effects {
			if e, ok := effects[i].(AppendThenNotify); ok {
				count++
				if _, twice := ends[e.Notice.Message]; twice {
					t.Fatalf("%s ends twice", e.Notice.Message)
				}
				ends[e.Notice.Message] = at
			}
		}
		return count
	}
	step(now, c.RecoverMessages(now, owed, nil, 0, nil))
	if got := step(now, c.Step(now, nil, nil)); got != n/2 {
		t.Errorf("%d end at the start, want %d", got, n/2)
	}
	for at := now + 1000; at <= now+2e6; at = c.NextWakeup() {
		step(at, c.Step(at, nil, nil))
		if c.NextWakeup() == 0 {
			break
		}
	}
	if len(ends) != n || c.HeldMessages() != 0 {
		t.Errorf("%d of %d have ended, %d are held", len(ends), n, c.HeldMessages())
	}
	for id, at := range ends {
		if at > now+2e6 {
			t.Errorf("%s ended %d µs late", id, at-now-2e6)
		}
	}
}
