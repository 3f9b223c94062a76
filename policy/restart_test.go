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

// restart puts a new engine in the place of one, with its pending messages and, where it is given, a stored snapshot.
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

// restartDay is what reached the destination on a day with an outage.
type restartDay struct {
	received  []int // by second since the destination's return
	overloads int   // windows of an overload duration in which more came than it bears
	accepted  int
}

func (d *restartDay) add(other restartDay) {
	if d.received == nil {
		d.received = make([]int, len(other.received))
	}
	for i := range other.received {
		d.received[i] += other.received[i]
	}
	d.overloads += other.overloads
	d.accepted += other.accepted
}

func (d *restartDay) String() string {
	return fmt.Sprintf("%v overloads %d accepted %d", d.received, d.overloads, d.accepted)
}

// outageWithRestart plays an outage of 6 s. All relays are restarted in it, or shortly after it, with a snapshot that
// was stored 0.25 s before, or without one.
func outageWithRestart(t *testing.T, n int, seed uint64, at Time, restart, stored bool) (day restartDay) {
	t.Helper()
	const rate, begin, age = 60.0, 1000 * second, Time(250e3)
	fleet := newFleet(t, n, rate, seed)
	fleet.incarnation = make([]int, n)
	fleet.downAt, fleet.upAt = begin+6*second, begin+12*second
	fleet.play(begin, at-age, 0.8*rate)
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
	fleet.play(begin+at-age, age, 0.8*rate)
	if restart {
		for i := range fleet.engines {
			fleet.restart(t, begin+at, i, snapshots[i])
		}
	}
	fleet.play(begin+at, 32*second-at, 0.8*rate)
	day.received = make([]int, 20)
	for _, at := range fleet.received {
		if sec := int((at - fleet.upAt) / second); sec >= 0 && sec < len(day.received) {
			day.received[sec]++
		}
	}
	day.overloads = fleet.overloads()
	for _, accepted := range fleet.accepted {
		day.accepted += accepted
	}
	return day
}

// TestRestartKeepsDecisions: a relay that was restarted in an outage, or on the ramp after it, goes on as one that
// never was; one without its snapshot does not.
func TestRestartKeepsDecisions(t *testing.T) {
	for _, n := range []int{3, 40} {
		for name, at := range map[string]Time{"in the outage": 9 * second, "on the ramp": 15 * second} {
			t.Run(fmt.Sprintf("%d relays, %s", n, name), func(t *testing.T) {
				testRestartKeepsDecisions(t, n, at)
			})
		}
	}
}

func testRestartKeepsDecisions(t *testing.T, n int, at Time) {
	t.Helper()
	const seeds = 12
	var never, restored, forgot restartDay
	for seed := range uint64(seeds) {
		never.add(outageWithRestart(t, n, seed, at, false, false))
		restored.add(outageWithRestart(t, n, seed, at, true, true))
		forgot.add(outageWithRestart(t, n, seed, at, true, false))
	}
	t.Logf("never restarted  %v", &never)
	t.Logf("with a snapshot  %v", &restored)
	t.Logf("without a snapshot %v", &forgot)
	sum, sumNever := 0, 0
	for sec := range never.received {
		sum, sumNever = sum+restored.received[sec], sumNever+never.received[sec]
		got, want := float64(restored.received[sec]), float64(never.received[sec])
		if sec < 10 && got > 1.25*want+10 { // until the ramp is over
			t.Errorf("second %d: %v sent, %v by relays that were never restarted", sec, got, want)
		}
	}
	if ratio := float64(sum) / float64(sumNever); ratio < 0.9 || ratio > 1.1 {
		t.Errorf("%.2f times what is sent without a restart", ratio)
	}
	if restored.overloads > never.overloads {
		t.Errorf("overloaded %d times", restored.overloads)
	}
	if at == 15*second && n == 40 { // so that this can fail
		if got, want := float64(forgot.received[3]), float64(never.received[3]); got < 1.4*want {
			t.Errorf("without a snapshot %v sent in the second after the start, else %v: no difference", got, want)
		}
	}
}

// TestRestartsOverloadNothing: over many seeds, with the restart at any moment of the outage and the recovery, relays
// with a snapshot overload a returning destination no more often than relays that were never restarted. RESTART_SEEDS
// asks for more seeds.
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
	bad := 0
	for seed, n := range overloads {
		if n > 0 {
			bad++
			t.Logf("seed %d: %d windows over", seed, n)
		}
	}
	if bad > 0 {
		t.Errorf("overloaded on %d of %d seeds", bad, seeds)
	}
}

// TestRestoreAfterRejections: an ejection for rejections in a row alone is a ramp after the gap, since the
// destination answered. One for silence, or one that is on its ramp, stays.
func TestRestoreAfterRejections(t *testing.T) {
	const then, bad = 1000 * second, 996 * second
	for name, c := range map[string]struct {
		rejections  int
		silent      bool
		recoveredAt Time
		want        Time
	}{
		"rejections in a row":        {2, false, 0, bad + 3*second},
		"a silence":                  {2, true, 0, 0},
		"one rejection among errors": {1, false, 0, 0},
		"on its ramp":                {2, false, then - second, then - second},
	} {
		engine, err := New(singleClassSettings(), 1)
		if err != nil {
			t.Fatal(err)
		}
		now := then + 2*second
		engine.Step(now, []Event{listUpdate(ListCached, readyEndpoint(1, 50))}, nil)
		engine.RestoreAfterRestart(now, &Snapshot{Now: then, Limiters: []LimiterSnapshot{
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
						LastFailureAt:     bad,
						FirstFailureAt:    bad,
						RecoveredAt:       c.recoveredAt,
						RecoverySentAt:    c.recoveredAt,
					},
				},
			},
		}}, 0)
		endpoint := engine.endpoints[1]
		if endpoint.recoveredAt != c.want || endpoint.recoverySentAt != c.want || !endpoint.unhealthy {
			t.Errorf("%s: its ramp begins at %d, want %d; unhealthy %v", name, endpoint.recoveredAt, c.want,
				endpoint.unhealthy)
		}
		if got := endpoint.failureScore < 1; got != (name == "rejections in a row") {
			t.Errorf("%s: score %v", name, endpoint.failureScore)
		}
	}
}

// TestRestoreAgesState: each field ages by its rule: a Retry-After and a backoff keep their moments, budgets do not
// grow in the gap, nothing is saved up; what is merely old is the default again, and what was ejected stays so.
func TestRestoreAgesState(t *testing.T) {
	const then = 1000 * second
	stored := func() *Snapshot {
		return &Snapshot{Now: then, TenantQuotas: []TokenBucketSnapshot{{then, 3, true}}, Limiters: []LimiterSnapshot{
			{
				Window:           7,
				RateMultiplier:   0.6,
				ReducedRate:      2,
				ReducedAt:        then,
				RejectionRun:     1,
				FirstRejectionAt: then,
				RateBound:        true,
				RetryAfterUntil:  then + 30*second,
				BackoffUntil:     then + second,
				Tokens:           TokenBucketSnapshot{then, 5, true},
				Bins:             make([][2]float64, historyBins),
				HistoryStart:     then - 5*second,
				Endpoints: []EndpointSnapshot{
					{
						ID:             1,
						Unhealthy:      true,
						FailureScore:   0.9,
						FirstFailureAt: then - 4*second,
						LastFailureAt:  then - second,
						RecoveryBudget: TokenBucketSnapshot{then - 2*second, 0.25, true},
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
			now := then + shift + gap
			engine.Step(now, []Event{listUpdate(ListCached, readyEndpoint(1, 50), readyEndpoint(2, 50))}, nil)
			snapshot := stored()
			engine.RestoreAfterRestart(now, snapshot, shift)
			if snapshot.Limiters[0].Tokens.Tokens != 5 ||
				snapshot.Limiters[0].Endpoints[0].RecoveryBudget.At != then-2*second {
				t.Fatal("the snapshot that was given is changed")
			}
			limiter, a, b := engine.endpoints[1].limiter, engine.endpoints[1], engine.endpoints[2]
			if limiter.retryAfterUntil != then+shift+30*second || limiter.backoffUntil != then+shift+second {
				t.Errorf("gap %d: waits until %d, pauses until %d", gap, limiter.retryAfterUntil, limiter.backoffUntil)
			}
			if !a.unhealthy || a.failureScore != 0.9 || a.lastFailureAt != then+shift-second ||
				a.firstFailureAt != then+shift-4*second {
				t.Errorf("gap %d: what was out: %+v", gap, a)
			}
			if got := a.recoveryBudget.level(now, 1, 100); got != 0.25 {
				t.Errorf("gap %d: its budget is %v", gap, got)
			}
			if got := limiter.tokens.level(now, 50, 100); got != 1 {
				t.Errorf("gap %d: %v saved up", gap, got)
			}
			if got := engine.tenantQuotas[0].level(now, 10, 100); got != 3 {
				t.Errorf("gap %d: the tenant has %v", gap, got)
			}
			if limiter.reducedRate != 2 || limiter.reducedAt != then+shift || limiter.rateBound {
				t.Errorf(
					"gap %d: cut %v at %d, bound %v",
					gap,
					limiter.reducedRate,
					limiter.reducedAt,
					limiter.rateBound,
				)
			}
			want := [4]float64{7, 0.6, 1, 0.4}
			if gap > historyWindow {
				want = [4]float64{1, 1, 0, 0}
			}
			if got := [4]float64{
				limiter.window,
				limiter.rateMultiplier,
				float64(limiter.rejectionRun),
				b.failureScore,
			}; got != want {
				t.Errorf("gap %d: window, multiplier, rejections, score %v, want %v", gap, got, want)
			}
		}
	}
}
