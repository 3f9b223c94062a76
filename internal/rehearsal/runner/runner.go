// Package runner plays a plan: it starts relay processes, emulated partners, an
// emulated registry and the load generator on loopback addresses, begins and ends
// faults at their times, and passes every event to the checker of the rules. It
// reports what it saw and does not decide whether a rehearsal passed.
package runner

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"troutusher/internal/emulator/endpoint"
	"troutusher/internal/emulator/endpoint/h1"
	"troutusher/internal/emulator/registry"
	"troutusher/internal/event"
	"troutusher/internal/rehearsal/checker"
	"troutusher/internal/rehearsal/loadgen"
	"troutusher/internal/rehearsal/scenario"
)

// Options say how a plan is played.
type Options struct {
	Command []string // starts a relay; its configuration is named in the environment
	Env     []string // more of a relay's environment
	Dir     string   // for configurations, state and logs; a new one each time

	// OnProgress, if set, is called at regular intervals.
	OnProgress func(Progress)
	// OnEvent, if set, is called with every event.
	OnEvent func(*event.Event)
	// OnReady, if set, is called once all relays are ready.
	OnReady func(*Rehearsal) error
	// ReplaceRelay, if set, returns what the load generator calls in the place of a relay.
	// Tests have it return doubles.
	ReplaceRelay func(relay int, target RelayTarget) RelayTarget
}

// RelayTarget is where a relay is reached, and where it reaches discovery.
type RelayTarget struct {
	Listen       string
	Discovery    string
	StartProcess bool // a relay process is started for it
}

// Outcome is what was seen of a rehearsal.
type Outcome struct {
	Plan             *scenario.Plan
	Start            event.Time // of the plan
	End              event.Time
	Results          []loadgen.Result // by message of the plan
	Violations       []checker.Violation
	Restarts         checker.RestartCounts // what restarted relays did with messages they found
	RelayFailures    []string              // unexpected ends of relays, and what else counts as their failure
	KitErrors        []string              // failures of the kit itself, which make the run void
	Calls            []CallCounts          // by partner
	UnservedRequests int                   // requests that met a connection refused, reset or closed unread
	DriverLateness   event.Time            // 99th percentile of the load generator
	EmulatorLateness event.Time            // 99th percentile of the emulated endpoints
	ReplyLatency     *hdrhistogram.Histogram
	DeliveryLatency  *hdrhistogram.Histogram
	MemoryKB         []int // the most resident memory of each relay
}

// latenessQuantile is the quantile of lateness that outcomes tell, in percent.
const latenessQuantile = 99

// Rehearsal is a plan that is being played.
type Rehearsal struct {
	plan           *scenario.Plan
	options        Options
	clockStart     time.Time
	events         *eventCollector
	identities     *tlsIdentities // nil without TLS
	endpointServer *h1.Server
	registry       *registry.Registry
	relays         []*managedRelay
	targets        []RelayTarget // by relay
	spawner        *spawner
	driver         *loadgen.Driver
	planStart      atomic.Int64 // on the rehearsal's clock

	mu            sync.Mutex
	relayFailures []string
	kitErrors     []string
	activeFaults  map[string]int // number by name
	background    sync.WaitGroup // goroutines of faults
}

// now is the rehearsal's clock.
func (r *Rehearsal) now() event.Time { return time.Since(r.clockStart).Microseconds() }

// Open starts emulators, the load generator and relays. It returns once all relays are
// ready.
func Open(ctx context.Context, plan *scenario.Plan, options Options) (*Rehearsal, error) {
	r := &Rehearsal{
		plan: plan, options: options, clockStart: time.Now(), activeFaults: map[string]int{}, spawner: newSpawner(),
	}
	r.events = &eventCollector{
		checker: checker.New(plan.CheckerConfig()), calls: make([]CallCounts, len(plan.Specs)),
		onEvent: options.OnEvent, onEnd: func(*event.Event) {},
	}
	for _, endpoint := range plan.Endpoints {
		r.events.partnerOf = append(r.events.partnerOf, endpoint.Partner)
	}
	if err := r.open(ctx); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

// open starts what Open says; Close ends what an error leaves started.
func (r *Rehearsal) open(ctx context.Context) error {
	if err := r.startEndpoints(); err != nil {
		return err
	}
	if err := r.startRegistry(); err != nil {
		return err
	}
	addrs, err := r.prepareRelays()
	if err != nil {
		return err
	}
	r.driver = loadgen.New(loadgen.Config{Plan: r.plan, Relays: addrs, Emit: r.events.emit, Clock: r.now, Start: 0})
	r.events.onEnd = r.driver.HandleEvent
	return r.startRelays(ctx)
}

// startEndpoints starts the partners' endpoints, and prepares their certificates.
func (r *Rehearsal) startEndpoints() error {
	plan := r.plan
	relays := plan.Scenario.Relays.Count
	rules := endpoint.Rules{
		Relays: relays, MaxInFlight: plan.MaxInFlight(), MaxAttempts: plan.Scenario.Relays.MaxAttempts,
	}
	lookup := func(id string) (endpoint.Message, bool) { return r.driver.Lookup(id) } // the driver is made later
	model, err := endpoint.New(plan.Specs, rules, plan.ServiceTimeSeed(), lookup, r.events.emit)
	if err != nil {
		return err
	}
	if r.endpointServer, err = h1.New(model, relays, r.now); err != nil {
		return err
	}
	if r.identities, err = newTLSIdentities(plan, r.options.Dir); err != nil {
		return err
	}
	if r.identities != nil {
		r.endpointServer.EnableTLS(r.identities.identity)
	}
	return nil
}

// startRegistry starts the registry, with an address for each relay.
func (r *Rehearsal) startRegistry() (err error) {
	plan := r.plan
	discovery := &plan.Scenario.Discovery
	r.registry, err = registry.New(registry.Config{
		Relays: plan.Scenario.Relays.Count, Seed: plan.Seed, Clock: r.now, Emit: r.events.emit,
		Delay: milliseconds(discovery.DelayMS), DelaySpread: milliseconds(discovery.SpreadMS),
		StaticMembers: unusedDestinations(plan),
		Members: func(relay int) []registry.Member {
			return listMembers(plan, func(endpoint int) string { return r.endpointServer.Addr(endpoint, relay) })
		},
	})
	return err
}

// prepareRelays writes the relays' files and returns the addresses where they will listen.
func (r *Rehearsal) prepareRelays() (addrs []string, err error) {
	env := r.options.Env
	if r.identities != nil {
		env = append(slices.Clone(env), r.identities.env())
	}
	for i := range r.plan.Scenario.Relays.Count {
		relay, err := newRelay(i, r.plan, r.registry, r.spawner, r.options.Command, r.options.Dir)
		if err != nil {
			return nil, err
		}
		relay.env, relay.onCrash = env, r.relayCrashed
		r.relays = append(r.relays, relay)
		target := RelayTarget{Listen: relay.listen, Discovery: r.registry.Addr(i), StartProcess: true}
		if r.options.ReplaceRelay != nil {
			target = r.options.ReplaceRelay(i, target)
		}
		r.targets = append(r.targets, target)
		addrs = append(addrs, target.Listen)
	}
	return addrs, nil
}

// startRelays starts all relays at once and waits until they serve.
func (r *Rehearsal) startRelays(ctx context.Context) error {
	errs := make([]error, len(r.relays))
	var starting sync.WaitGroup
	for i, relay := range r.relays {
		if !r.targets[i].StartProcess {
			continue
		}
		starting.Add(1)
		go func() {
			defer starting.Done()
			relay.mu.Lock()
			defer relay.mu.Unlock()
			if errs[i] = relay.start(ctx); errs[i] == nil {
				r.events.emit(event.Event{At: r.now(), Kind: event.RelayReady, Relay: i})
			}
		}()
	}
	starting.Wait()
	return errors.Join(errs...)
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// relayCrashed notes that a relay's process has ended without having been asked to.
func (r *Rehearsal) relayCrashed(relay int, err error) {
	r.appendFailure(&r.relayFailures, "relay %d ended by itself at %.1f s: %v",
		relay+1, float64(r.now()-r.planStart.Load())/1e6, err)
	r.events.emit(event.Event{At: r.now(), Kind: event.RelayKilled, Relay: relay})
	r.driver.RelayDown(relay, r.frontNotice())
}

// frontNotice is how long the clients' front goes on using a relay that has ended.
func (r *Rehearsal) frontNotice() event.Time {
	return scenario.Microseconds(r.plan.Scenario.Clients.FailoverDelayMS)
}

// Close ends everything that was started.
func (r *Rehearsal) Close() {
	if r.driver != nil {
		r.driver.Close()
	}
	r.background.Wait()
	for _, relay := range r.relays {
		relay.mu.Lock()
		relay.kill()
		relay.mu.Unlock()
	}
	if r.registry != nil {
		r.registry.Close()
	}
	if r.endpointServer != nil {
		r.endpointServer.Close()
	}
	close(r.spawner.done)
}

// Play plays a plan from beginning to end.
func Play(ctx context.Context, plan *scenario.Plan, options Options) (*Outcome, error) {
	r, err := Open(ctx, plan, options)
	if err != nil {
		return nil, err
	}
	closed := false
	defer func() {
		if !closed {
			r.Close()
		}
	}()
	if options.OnReady != nil {
		if err := options.OnReady(r); err != nil {
			return nil, err
		}
	}
	r.run(ctx)
	outcome := r.collectOutcome()
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("the rehearsal was broken off: %w", err)
	}
	r.Close()
	closed = true
	for _, relay := range r.relays {
		outcome.MemoryKB = append(outcome.MemoryKB, relay.peakKB)
	}
	return outcome, nil
}

const (
	leadIn     = 200 * time.Millisecond // before the plan starts, once all is ready
	finishTime = 3 * time.Second        // beyond the time by which all messages should have ended
)

// run plays arrivals and faults, and returns once every message has ended, or cannot end
// in time any more.
func (r *Rehearsal) run(ctx context.Context) {
	r.planStart.Store(r.now() + leadIn.Microseconds())
	r.driver.SetStart(r.planStart.Load())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var helpers sync.WaitGroup
	helpers.Add(2)
	go func() { defer helpers.Done(); r.playFaults(ctx) }()
	go func() { defer helpers.Done(); r.reportProgress(ctx) }()
	arrivals, stop := context.WithTimeout(ctx, leadIn+r.maxDuration())
	defer stop()
	r.driver.Run(arrivals)
	cancel()
	helpers.Wait()
	r.background.Wait()
}

// maxDuration is how long after the plan's start all messages have ended, if the relays do
// what they should.
func (r *Rehearsal) maxDuration() time.Duration {
	s := r.plan.Scenario
	longestDeadline := 0.0
	for _, class := range s.Classes {
		longestDeadline = max(longestDeadline, class.DeadlineMS)
	}
	ms := s.LengthS*1000 + longestDeadline + s.Rules.DeadlineSlackMS + s.Rules.RestartGraceMS
	return time.Duration(ms)*time.Millisecond + finishTime
}

// appendFailure adds a text to the relays' failures or to the kit's errors.
func (r *Rehearsal) appendFailure(to *[]string, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*to = append(*to, fmt.Sprintf(format, args...))
}

// collectOutcome ends the checker's judgement and returns what was seen.
func (r *Rehearsal) collectOutcome() *Outcome {
	emulatorLateness, err := r.endpointServer.TimerLag(latenessQuantile)
	if err != nil {
		r.appendFailure(&r.kitErrors, "%v", err)
	}
	outcome := &Outcome{
		Plan: r.plan, Start: r.planStart.Load(), End: r.now(), Results: r.driver.Results(),
		UnservedRequests: r.driver.UnservedRequests(),
		DriverLateness:   r.driver.Lateness(latenessQuantile),
		EmulatorLateness: emulatorLateness,
	}
	outcome.ReplyLatency, outcome.DeliveryLatency = r.driver.Latencies()
	outcome.Violations, outcome.Restarts, outcome.Calls = r.events.finish(r.now())
	for i := range outcome.Violations {
		outcome.Violations[i].At -= r.planStart.Load()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	outcome.RelayFailures, outcome.KitErrors = slices.Clone(r.relayFailures), slices.Clone(r.kitErrors)
	return outcome
}

// TempDir makes a new folder for the files of a rehearsal under the system's folder for
// temporary files. remove deletes it.
func TempDir() (dir string, remove func(), err error) {
	dir, err = os.MkdirTemp("", "troutusher-rehearsal-")
	if err != nil {
		return "", nil, err
	}
	return dir, func() { _ = os.RemoveAll(dir) }, nil
}
