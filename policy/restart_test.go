package policy

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"testing"
)

// restart replaces a relay's engine by a new one with the same pending messages, and with a stored snapshot if one is
// given.
func (f *fleet) restart(t *testing.T, now Time, relay int, stored []byte) {
	t.Helper()
	old := f.engines[relay]
	engine, err := New(old.settings, uint64(now)+uint64(relay))
	if err != nil {
		t.Fatal(err)
	}
	f.engines[relay] = engine
	f.incarnation[relay]++
	f.step(now, relay, listUpdate(ListCached, f.endpoints()...))
	if stored != nil {
		snapshot := &Snapshot{}
		if err := json.Unmarshal(stored, snapshot); err != nil {
			t.Fatal(err)
		}
		engine.RestoreAfterRestart(now, snapshot, 0)
	}
	var pending []Event
	for _, message := range old.pending {
		pending = append(pending, Event{
			Kind:      EvMessageSubmitted,
			Message:   message.id,
			TimeLeft:  message.deadline - now,
			Attempts:  message.attempts,
			Recovered: true,
		})
	}
	slices.SortFunc(pending, func(a, b Event) int { return int(a.Message) - int(b.Message) })
	f.step(now, relay, pending...)
}

// outageResult counts the calls that reached the destination in a simulation with an outage.
type outageResult struct {
	received  []int // by second since the end of the outage
	overloads int   // as counted by fleet.overloads
	accepted  int
}

func (r *outageResult) add(other outageResult) {
	if r.received == nil {
		r.received = make([]int, len(other.received))
	}
	for i := range other.received {
		r.received[i] += other.received[i]
	}
	r.overloads += other.overloads
	r.accepted += other.accepted
}

func (r *outageResult) String() string {
	return fmt.Sprintf("received by second %v, overloads %d, accepted %d", r.received, r.overloads, r.accepted)
}

// outageWithRestart simulates an outage of 6 s. All relays may be restarted at a given time, with a snapshot that was
// stored 0.25 s earlier, or without one.
func outageWithRestart(t *testing.T, n int, seed uint64, at Time, restart, stored bool) (result outageResult) {
	t.Helper()
	const rate, begin, age = 60.0, 1000 * second, Time(250e3)
	fleet := newFleet(t, n, rate, seed)
	fleet.incarnation = make([]int, n)
	fleet.downAt, fleet.upAt = begin+6*second, begin+12*second
	fleet.run(begin, at-age, 0.8*rate)
	snapshots := make([][]byte, n)
	for i, engine := range fleet.engines {
		text, err := json.Marshal(engine.Snapshot(begin + at - age))
		if err != nil {
			t.Fatal(err)
		}
		if stored {
			snapshots[i] = text
		}
	}
	fleet.run(begin+at-age, age, 0.8*rate)
	if restart {
		for i := range fleet.engines {
			fleet.restart(t, begin+at, i, snapshots[i])
		}
	}
	fleet.run(begin+at, 32*second-at, 0.8*rate)
	result.received = make([]int, 20)
	for _, at := range fleet.received {
		if sec := int((at - fleet.upAt) / second); sec >= 0 && sec < len(result.received) {
			result.received[sec]++
		}
	}
	result.overloads = fleet.overloads()
	for _, accepted := range fleet.accepted {
		result.accepted += accepted
	}
	return result
}

// TestRestartKeepsDecisions checks that relays that were restarted with a snapshot, in an outage or during the ramp
// after it, send like relays that were never restarted; and that they do not without the snapshot.
func TestRestartKeepsDecisions(t *testing.T) {
	for _, n := range []int{3, 40} {
		for name, at := range map[string]Time{"during the outage": 9 * second, "during the ramp": 15 * second} {
			t.Run(fmt.Sprintf("%d relays, %s", n, name), func(t *testing.T) {
				testRestartKeepsDecisions(t, n, at)
			})
		}
	}
}

func testRestartKeepsDecisions(t *testing.T, n int, at Time) {
	t.Helper()
	const seeds = 12
	var never, restored, withoutSnapshot outageResult
	for seed := range uint64(seeds) {
		never.add(outageWithRestart(t, n, seed, at, false, false))
		restored.add(outageWithRestart(t, n, seed, at, true, true))
		withoutSnapshot.add(outageWithRestart(t, n, seed, at, true, false))
	}
	t.Logf("never restarted: %v", &never)
	t.Logf("restarted with a snapshot: %v", &restored)
	t.Logf("restarted without a snapshot: %v", &withoutSnapshot)
	sum, sumNever := 0, 0
	for sec := range never.received {
		sum += restored.received[sec]
		sumNever += never.received[sec]
		got, want := float64(restored.received[sec]), float64(never.received[sec])
		if sec < 10 && got > 1.25*want+10 { // until the ramp is over
			t.Errorf("second %d: %v calls after a restart, %v without one, want at most 1.25 times as many and 10 more",
				sec, got, want)
		}
	}
	if ratio := float64(sum) / float64(sumNever); ratio < 0.9 || ratio > 1.1 {
		t.Errorf("calls after a restart = %.2f times those without one, want 0.9 to 1.1", ratio)
	}
	if restored.overloads > never.overloads {
		t.Errorf("overloads after a restart = %d, want at most %d as without one", restored.overloads, never.overloads)
	}
	if at == 15*second && n == 40 { // the simulation must be able to show a difference
		if got, want := float64(withoutSnapshot.received[3]), float64(never.received[3]); got < 1.4*want {
			t.Errorf("%v calls in second 3 after a restart without a snapshot, %v without a restart, "+
				"want at least 1.4 times as many", got, want)
		}
	}
}

// TestRestartsOverloadNothing checks that relays restarted with a snapshot at any time in an outage or in the recovery
// do not overload the recovering destination. The environment variable RESTART_SEEDS sets the number of seeds.
func TestRestartsOverloadNothing(t *testing.T) {
	seeds := uint64(40)
	if n, err := strconv.ParseUint(os.Getenv("RESTART_SEEDS"), 10, 32); err == nil {
		seeds = n
	}
	overloads := make([]int, seeds)
	var all sync.WaitGroup
	next := make(chan uint64)
	for range runtime.GOMAXPROCS(0) {
		all.Add(1)
		go func() {
			defer all.Done()
			for seed := range next {
				at := 6*second + Time(seed*7919%16000)*1000
				overloads[seed] = outageWithRestart(t, 3, 1000+seed, at, true, true).overloads
			}
		}()
	}
	for seed := range seeds {
		next <- seed
	}
	close(next)
	all.Wait()
	overloadedSeeds := 0
	for seed, n := range overloads {
		if n > 0 {
			overloadedSeeds++
			t.Logf("seed %d: %d overloads", seed, n)
		}
	}
	if overloadedSeeds > 0 {
		t.Errorf("destination overloaded with %d of %d seeds, want none", overloadedSeeds, seeds)
	}
}

// TestRestoreAfterRejections checks that an endpoint that was ejected only for rejections in a row is on a recovery
// ramp after a restart, since it did answer. An endpoint that was ejected because calls got no answer stays ejected,
// and one that was on its ramp stays on it.
func TestRestoreAfterRejections(t *testing.T) {
	const storedAt, failedAt = 1000 * second, 996 * second
	for name, c := range map[string]struct {
		rejections  int
		silent      bool
		recoveredAt Time
		want        Time
	}{
		"rejections in a row":        {2, false, 0, failedAt + 3*second},
		"last failure unanswered":    {2, true, 0, 0},
		"one rejection among errors": {1, false, 0, 0},
		"on its ramp":                {2, false, storedAt - second, storedAt - second},
	} {
		engine, err := New(singleClassSettings(), 1)
		if err != nil {
			t.Fatal(err)
		}
		now := storedAt + 2*second
		engine.Step(now, []Event{listUpdate(ListCached, readyEndpoint(1, 50))}, nil)
		engine.RestoreAfterRestart(now, &Snapshot{Now: storedAt, Limiters: []LimiterSnapshot{
			{
				Window:         1,
				RateMultiplier: 1,
				RejectionRun:   c.rejections,
				Endpoints: []EndpointSnapshot{
					{
						ID:                1,
						Unhealthy:         true,
						FailureScore:      1,
						LastFailureSilent: c.silent,
						LastFailureAt:     failedAt,
						FirstFailureAt:    failedAt,
						RecoveredAt:       c.recoveredAt,
						RecoverySentAt:    c.recoveredAt,
					},
				},
			},
		}}, 0)
		endpoint := engine.endpoints[1]
		if endpoint.recoveredAt != c.want || endpoint.recoverySentAt != c.want || !endpoint.unhealthy {
			t.Errorf("%s: recoveredAt = %d, unhealthy = %v, want %d, true", name, endpoint.recoveredAt,
				endpoint.unhealthy, c.want)
		}
		if got := endpoint.failureScore < 1; got != (name == "rejections in a row") {
			t.Errorf("%s: failureScore = %v, want it below 1 only after rejections in a row", name,
				endpoint.failureScore)
		}
	}
}

// TestRestoreAgesState checks what a restart does to each stored field: a Retry-After and a backoff keep their times,
// budgets are not refilled for the gap, at most one token is kept, outdated values return to their defaults, and
// ejected endpoints stay ejected.
func TestRestoreAgesState(t *testing.T) {
	const storedAt = 1000 * second
	stored := func() *Snapshot {
		return &Snapshot{Now: storedAt, TenantQuotas: []TokenBucketSnapshot{
			{storedAt, 3, true},
		}, Limiters: []LimiterSnapshot{
			{
				Window:           7,
				RateMultiplier:   0.6,
				ReducedRate:      2,
				ReducedAt:        storedAt,
				RejectionRun:     1,
				FirstRejectionAt: storedAt,
				RateBound:        true,
				RetryAfterUntil:  storedAt + 30*second,
				BackoffUntil:     storedAt + second,
				Tokens:           TokenBucketSnapshot{storedAt, 5, true},
				Bins:             make([][2]float64, historyBins),
				HistoryStart:     storedAt - 5*second,
				Endpoints: []EndpointSnapshot{
					{
						ID:             1,
						Unhealthy:      true,
						FailureScore:   0.9,
						FirstFailureAt: storedAt - 4*second,
						LastFailureAt:  storedAt - second,
						RecoveryBudget: TokenBucketSnapshot{storedAt - 2*second, 0.25, true},
					},
					{ID: 2, FailureScore: 0.4},
				},
			},
		}}
	}
	for _, gap := range []Time{second, 60 * second} {
		for _, shift := range []Time{0, -900 * second, 5000 * second} {
			settings := singleClassSettings()
			settings.Tenants = []Tenant{{Name: "a", Quota: 10}}
			engine, err := New(settings, 1)
			if err != nil {
				t.Fatal(err)
			}
			now := storedAt + shift + gap
			engine.Step(now, []Event{listUpdate(ListCached, readyEndpoint(1, 50), readyEndpoint(2, 50))}, nil)
			snapshot := stored()
			engine.RestoreAfterRestart(now, snapshot, shift)
			if snapshot.Limiters[0].Tokens.Tokens != 5 ||
				snapshot.Limiters[0].Endpoints[0].RecoveryBudget.At != storedAt-2*second {
				t.Fatal("RestoreAfterRestart changed the snapshot that was passed to it")
			}
			limiter := engine.endpoints[1].limiter
			ejected, failing := engine.endpoints[1], engine.endpoints[2]
			if limiter.retryAfterUntil != storedAt+shift+30*second || limiter.backoffUntil != storedAt+shift+second {
				t.Errorf("gap %d µs: retryAfterUntil = %d, backoffUntil = %d, want %d, %d", gap,
					limiter.retryAfterUntil, limiter.backoffUntil, storedAt+shift+30*second, storedAt+shift+second)
			}
			if !ejected.unhealthy || ejected.failureScore != 0.9 || ejected.lastFailureAt != storedAt+shift-second ||
				ejected.firstFailureAt != storedAt+shift-4*second {
				t.Errorf("gap %d µs: ejected endpoint = %+v, want it unchanged", gap, ejected)
			}
			if got := ejected.recoveryBudget.level(now, 1, 100); got != 0.25 {
				t.Errorf("gap %d µs: recovery budget = %v, want 0.25", gap, got)
			}
			if got := limiter.tokens.level(now, 50, 100); got != 1 {
				t.Errorf("gap %d µs: tokens = %v, want 1", gap, got)
			}
			if got := engine.tenantQuotas[0].level(now, 10, 100); got != 3 {
				t.Errorf("gap %d µs: tokens of the tenant's quota = %v, want 3", gap, got)
			}
			if limiter.reducedRate != 2 || limiter.reducedAt != storedAt+shift || limiter.rateBound {
				t.Errorf("gap %d µs: reducedRate = %v, reducedAt = %d, rateBound = %v, want 2, %d, false", gap,
					limiter.reducedRate, limiter.reducedAt, limiter.rateBound, storedAt+shift)
			}
			want := [4]float64{7, 0.6, 1, 0.4}
			if gap > historyWindow {
				want = [4]float64{1, 1, 0, 0}
			}
			if got := [4]float64{
				limiter.window,
				limiter.rateMultiplier,
				float64(limiter.rejectionRun),
				failing.failureScore,
			}; got != want {
				t.Errorf("gap %d µs: window, multiplier, rejections, score = %v, want %v", gap, got, want)
			}
		}
	}
}
