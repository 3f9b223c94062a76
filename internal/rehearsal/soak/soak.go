// Package soak plays many short rehearsals with drawn faults: signals in series to relays that have clients, calls and
// messages, hanging endpoints, a silent discovery and crowds of connections. It uses the runner, the emulators and the
// checker of rehearsals, and judges nothing itself. A run depends on its seed alone, except for what the machine adds.
package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"troutusher/internal/event"
	"troutusher/internal/rehearsal/checker"
	"troutusher/internal/rehearsal/loadgen"
	"troutusher/internal/rehearsal/runner"
)

// maxRestartReady is how long a restarted relay may take to be ready, by the platform's rule for short days.
const maxRestartReady = 6 * time.Second

// Options configures a soak.
type Options struct {
	Command   []string // program and arguments of a relay
	Env       []string // additional environment variables of relays
	Dir       string   // for the files of the runs, in a folder for each seed
	Seeds     []uint64
	Jobs      int             // runs at the same time
	OnResult  func(r *Result) // called at the end of each run, one call at a time; may be nil
	KeepFiles bool            // keep the files also of runs without a failure
}

// Result is the result of one run.
type Result struct {
	Seed       uint64                `json:"seed"`
	Failures   []string              `json:"failures,omitempty"`  // broken rules and failures of relays
	Disturbed  []string              `json:"disturbed,omitempty"` // what makes the run void, with its failures
	Dir        string                `json:"dir,omitempty"`       // of its files, if they are kept
	Messages   int                   `json:"messages"`
	Delivered  int                   `json:"delivered"`
	Unserved   int                   `json:"unserved"` // requests that met a closed connection
	Restarts   checker.RestartCounts `json:"restarts"`
	Seconds    float64               `json:"seconds"`
	PeakKB     int                   `json:"peak_kb"`     // of a relay's resident memory
	LatenessMS float64               `json:"lateness_ms"` // of the load generator, at the 99th percentile
}

// Run plays the runs of a soak and returns their results in the order of the seeds. It returns an error if a run could
// not be played.
func Run(ctx context.Context, o Options) ([]Result, error) {
	results := make([]Result, len(o.Seeds))
	errs := make(chan error, len(o.Seeds))
	next := make(chan int)
	var mu sync.Mutex // serializes OnResult
	var workers sync.WaitGroup
	for range max(o.Jobs, 1) {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for i := range next {
				if err := o.play(ctx, o.Seeds[i], &results[i]); err != nil {
					errs <- fmt.Errorf("seed %d: %w", o.Seeds[i], err)
					continue
				}
				if o.OnResult != nil {
					mu.Lock()
					o.OnResult(&results[i])
					mu.Unlock()
				}
			}
		}()
	}
	for i := range o.Seeds {
		next <- i
	}
	close(next)
	workers.Wait()
	close(errs)
	return results, <-errs // nil if there is none
}

// play plays one run.
func (o *Options) play(ctx context.Context, seed uint64, result *Result) error {
	p, err := plan(seed)
	if err != nil {
		return err
	}
	dir := filepath.Join(o.Dir, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	begin := time.Now()
	watch := &restartWatch{}
	outcome, err := runner.Play(ctx, p, runner.Options{Command: o.Command, Env: o.Env, Dir: dir, OnEvent: watch.handle})
	if err != nil {
		return err
	}
	*result = Result{
		Seed: seed, Messages: len(outcome.Results), Unserved: outcome.UnservedRequests, Restarts: outcome.Restarts,
		Failures: outcome.RelayFailures, Disturbed: outcome.RehearsalErrors, Seconds: time.Since(begin).Seconds(),
		LatenessMS: float64(outcome.DriverLateness) / 1000,
	}
	limit := p.Scenario.MaxLatenessMS
	emulatorMS := float64(outcome.EmulatorLateness) / 1000
	if result.LatenessMS > limit || emulatorMS > limit {
		result.Disturbed = append(result.Disturbed, fmt.Sprintf(
			"the machine was too slow: load generator %.1f ms late, emulators %.1f ms, want at most %.0f ms",
			result.LatenessMS, emulatorMS, limit))
	}
	for _, kb := range outcome.MemoryKB {
		result.PeakKB = max(result.PeakKB, kb)
	}
	for i := range outcome.Results {
		if outcome.Results[i].Outcome == loadgen.Delivered {
			result.Delivered++
		}
	}
	for _, violation := range outcome.Violations {
		result.Failures = append(result.Failures, violation.String())
	}
	result.Failures = append(result.Failures, watch.late...)
	if len(result.Failures) == 0 && len(result.Disturbed) == 0 && !o.KeepFiles {
		return os.RemoveAll(dir)
	}
	result.Dir = dir
	return os.WriteFile(filepath.Join(dir, "scenario.toml"), []byte(Draw(seed)), 0o600)
}

// restartWatch measures how long relays take to be ready after a restart.
type restartWatch struct {
	mu       sync.Mutex
	killedAt map[int]event.Time // by relay
	late     []string
}

// handle processes an event of a run.
func (w *restartWatch) handle(e *event.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch e.Kind {
	case event.RelayKilled:
		if w.killedAt == nil {
			w.killedAt = map[int]event.Time{}
		}
		w.killedAt[e.Relay] = e.At
	case event.RelayReady:
		at, killed := w.killedAt[e.Relay]
		delete(w.killedAt, e.Relay)
		if took := time.Duration(e.At-at) * time.Microsecond; killed && took > maxRestartReady {
			w.late = append(w.late, fmt.Sprintf("relay %d was ready %v after it had been killed, want at most %v",
				e.Relay+1, took, maxRestartReady))
		}
	}
}
