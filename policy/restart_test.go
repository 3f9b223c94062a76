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

// restart puts a new policy in the place of one, with what that one held and, where it is given, what was written of
// it before.
func (f *fleet) restart(now Time, i int, text []byte) {
	old := f.engines[i]
	q, err := New(old.settings, uint64(now)+uint64(i))
	if err != nil {
		panic(err)
	}
	f.engines[i] = q
	f.incarnation[i]++
	f.step(
		now,
		i,
		Event{
			Kind:       EvListUpdated,
			ListUpdate: ListCached,
			Updates:    []EndpointUpdate{readyEndpoint(1, f.rate), readyEndpoint(2, f.rate)},
		},
	)
	if text != nil {
		m := &Snapshot{}
		if err := json.Unmarshal(text, m); err != nil {
			panic(err)
		}
		q.RestoreAfterRestart(now, m, 0)
	}
	var held []Event
	for _, m := range old.pending {
		held = append(
			held,
			Event{
				Kind:      EvMessageSubmitted,
				Message:   m.id,
				TimeLeft:  m.deadline - now,
				Attempts:  m.attempts,
				Recovered: true,
			},
		)
	}
	slices.SortFunc(held, func(a, b Event) int { return int(a.Message) - int(b.Message) })
	f.step(now, i, held...)
}

type restartDay struct {
	came   []int // by second since the destination's return
	pushed int   // windows of 2 s in which more came than it bears
	taken  int
}

// outageWithRestart plays an outage of 6 s. All relays are restarted in it, or shortly after it, knowing what was
// written up to 0.25 s before, or nothing.
func outageWithRestart(t *testing.T, n int, seed uint64, at Time, restart, know bool) (d restartDay) {
	const rate, begin = 60.0, 1000 * second
	fleet := newFleet(t, n, rate, seed)
	fleet.incarnation = make([]int, n)
	fleet.downAt, fleet.upAt = begin+6*second, begin+12*second
	fleet.play(begin, at-250e3, 0.8*rate)
	texts := make([][]byte, n)
	for i, engine := range fleet.engines {
		text, err := json.Marshal(engine.Snapshot(begin + at - 250e3))
		if err != nil {
			t.Fatal(err)
		}
		texts[i] = text
	}
	fleet.play(begin+at-250e3, 250e3, 0.8*rate)
	if restart {
		for i := range fleet.engines {
			text := texts[i]
			if !know {
				text = nil
			}
			fleet.restart(begin+at, i, text)
		}
	}
	fleet.play(begin+at, 32*second-at, 0.8*rate)
	d.came = make([]int, 20)
	settings := &fleet.engines[0].settings
	for k, x := range fleet.received {
		if sec := int((x - fleet.upAt) / second); sec >= 0 && sec < len(d.came) {
			d.came[sec]++
		}
		n := 0
		for j := k; j >= 0 && fleet.received[j] > x-settings.OverloadDuration; j-- {
			n++
		}
		if float64(n) > settings.OverloadFactor*fleet.capacityAt(x)*float64(settings.OverloadDuration)/1e6+3 {
			d.pushed++
		}
	}
	for _, x := range fleet.accepted {
		d.taken += x
	}
	return d
}

// A relay that was restarted in an outage, or on the ramp after it, goes on as one that never was; one that has
// forgotten does not.
func TestRestartKeepsDecisions(t *testing.T) {
	const seeds = 12
	for _, n := range []int{3, 40} {
		for what, at := range map[string]Time{"in the outage": 9 * second, "on the ramp": 15 * second} {
			t.Run(fmt.Sprintf("%d relays, %s", n, what), func(t *testing.T) {
				var never, knows, forgot restartDay
				add := func(sum *restartDay, d restartDay) {
					if sum.came == nil {
						sum.came = make([]int, len(d.came))
					}
					for k := range d.came {
						sum.came[k] += d.came[k]
					}
					sum.pushed += d.pushed
					sum.taken += d.taken
				}
				for seed := range uint64(seeds) {
					add(&never, outageWithRestart(t, n, seed, at, false, false))
					add(&knows, outageWithRestart(t, n, seed, at, true, true))
					add(&forgot, outageWithRestart(t, n, seed, at, true, false))
				}
				t.Logf("never  %v pushed %d taken %d", never.came, never.pushed, never.taken)
				t.Logf("knows  %v pushed %d taken %d", knows.came, knows.pushed, knows.taken)
				t.Logf("forgot %v pushed %d taken %d", forgot.came, forgot.pushed, forgot.taken)
				sum, sumNever := 0, 0
				for sec := range never.came {
					sum, sumNever = sum+knows.came[sec], sumNever+never.came[sec]
					restored, running := float64(knows.came[sec]), float64(never.came[sec])
					if sec < 10 && restored > 1.25*running+10 { // until the ramp is over
						t.Errorf("second %d: %v sent, %v by relays that were never restarted", sec, restored, running)
					}
				}
				if r := float64(sum) / float64(sumNever); r < 0.9 || r > 1.1 {
					t.Errorf("%.2f times what is sent without a restart", r)
				}
				if knows.pushed > never.pushed {
					t.Errorf("pushed over %d times", knows.pushed)
				}
				if at == 15*second && n == 40 { // so that this can fail
					if a, b := float64(forgot.came[3]), float64(never.came[3]); a < 1.4*b {
						t.Errorf(
							"relays that forgot sent %v in the second of their start, others %v: no difference",
							a,
							b,
						)
					}
				}
			})
		}
	}
}

// Over many seeds, with the restart at any moment of the outage and the recovery, a returning destination is pushed
// over by relays that remember no more often than by relays that were never restarted. RESTART_SEEDS asks for more
// seeds.
func TestRestartsOverloadNothing(t *testing.T) {
	seeds := uint64(40)
	if n, err := strconv.ParseUint(os.Getenv("RESTART_SEEDS"), 10, 32); err == nil {
		seeds = n
	}
	pushed := make([]int, seeds)
	var all sync.WaitGroup
	next := make(chan uint64)
	for range runtime.GOMAXPROCS(0) {
		all.Add(1)
		go func() {
			defer all.Done()
			for seed := range next {
				at := 6*second + Time(seed*7919%16000)*1000
				pushed[seed] = outageWithRestart(t, 3, 1000+seed, at, true, true).pushed
			}
		}()
	}
	for seed := range seeds {
		next <- seed
	}
	close(next)
	all.Wait()
	bad := 0
	for seed, n := range pushed {
		if n > 0 {
			bad++
			t.Logf("seed %d: %d windows over", seed, n)
		}
	}
	if bad > 0 {
		t.Errorf("pushed over on %d of %d seeds", bad, seeds)
	}
}

// A verdict that rests on refusals in a row alone is a ramp after the gap: the destination answered. One that rests
// on silence, or is on its ramp, stays.
func TestRestoreAfterRejections(t *testing.T) {
	const then, bad = 1000 * second, 996 * second
	for name, c := range map[string]struct {
		run    int
		mute   bool
		goodAt Time
		want   Time
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
		engine.Step(
			now,
			[]Event{{Kind: EvListUpdated, ListUpdate: ListCached, Updates: []EndpointUpdate{readyEndpoint(1, 50)}}},
			nil,
		)
		engine.RestoreAfterRestart(now, &Snapshot{Now: then, Limiters: []LimiterSnapshot{
			{
				Window:         1,
				RateMultiplier: 1,
				RejectionRun:   c.run,
				Endpoints: []EndpointSnapshot{
					{
						ID:                1,
						Unhealthy:         true,
						FailureScore:      1,
						LastFailureSilent: c.mute,
						LastFailureAt:     bad,
						FirstFailureAt:    bad,
						RecoveredAt:       c.goodAt,
						RecoverySentAt:    c.goodAt,
					},
				},
			},
		}}, 0)
		endpoint := engine.endpoints[1]
		if endpoint.recoveredAt != c.want || endpoint.recoverySentAt != c.want || !endpoint.unhealthy {
			t.Errorf(
				"%s: its ramp begins at %d, want %d; held to have been out: %v",
				name,
				endpoint.recoveredAt,
				c.want,
				endpoint.unhealthy,
			)
		}
		if got := endpoint.failureScore < 1; got != (name == "rejections in a row") {
			t.Errorf("%s: score %v", name, endpoint.failureScore)
		}
	}
}

// Each field ages by its rule: waits and pauses keep their moments, budgets do not grow in the gap, nothing is saved
// up; what is merely old is the default again, and what was out stays out.
func TestRestoreAgesState(t *testing.T) {
	const then = 1000 * second
	memory := func() *Snapshot {
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
			engine.Step(
				now,
				[]Event{
					{
						Kind:       EvListUpdated,
						ListUpdate: ListCached,
						Updates:    []EndpointUpdate{readyEndpoint(1, 50), readyEndpoint(2, 50)},
					},
				},
				nil,
			)
			m := memory()
			engine.RestoreAfterRestart(now, m, shift)
			if m.Limiters[0].Tokens.Tokens != 5 || m.Limiters[0].Endpoints[0].RecoveryBudget.At != then-2*second {
				t.Fatal("the memory that was given is changed")
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
				t.Errorf("gap %d: window, boost, refusals, score %v, want %v", gap, got, want)
			}
		}
	}
}
