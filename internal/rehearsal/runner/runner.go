// Package runner runs rehearsals. It starts relay processes, emulated partners, an emulated
// registry and the load generator on loopback addresses, begins and ends faults at their
// planned times, and passes every event to the checker. It returns the observations; the
// report package decides whether the rehearsal passed.
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

// Options configures a rehearsal.
type Options struct {
	Command []string // program and arguments of a relay; ROUTER_CONFIG names its configuration
	Env     []string // additional environment variables of relays
	Dir     string   // for configurations, state and logs; must be new for each rehearsal

	// OnProgress, if set, is called at regular intervals.
	OnProgress func(Progress)
	// OnEvent, if set, is called with every event.
	OnEvent func(*event.Event)
	// OnReady, if set, is called once all relays are ready.
	OnReady func(*Rehearsal) error
	// ReplaceRelay, if set, returns the target that the load generator uses instead of a relay.
	// Tests replace relays by doubles.
	ReplaceRelay func(relay int, target RelayTarget) RelayTarget
}

// RelayTarget holds the address of a relay and that of its discovery service, which is the emulated
// registry's agent for the relay.
type RelayTarget struct {
	Listen     string
	Discovery  string
	HasProcess bool // whether the rehearsal starts a process for it
}

// Outcome holds the observations of a rehearsal.
type Outcome struct {
	Plan             *scenario.Plan
	Start            event.Time // when the plan started
	End              event.Time
	Results          []loadgen.Result // in the order of the plan's messages
	Violations       []checker.Violation
	Restarts         checker.RestartCounts   // counts of the messages that restarted relays recovered
	RelayFailures    []string                // crashes and other failures of relays
	RehearsalErrors  []string                // failures of emulators, load generator or runner; they make the run void
	Calls            []CallCounts            // by partner
	UnservedRequests int                     // requests whose connection was refused, reset or closed without a reply
	DriverLateness   event.Time              // how late the load generator submitted messages, at the 99th percentile
	EmulatorLateness event.Time              // how late the timers of the endpoint emulator ran, at the 99th percentile
	ReplyLatency     *hdrhistogram.Histogram // µs from a message's planned arrival to the first reply
	DeliveryLatency  *hdrhistogram.Histogram // µs from a message's planned arrival to its delivery
	MemoryKB         []int                   // peak resident memory, by relay
}

// latenessQuantile is the quantile of lateness in an Outcome, in percent.
const latenessQuantile = 99

// Rehearsal is a running rehearsal of a plan.
type Rehearsal struct {
	plan           *scenario.Plan
	options        Options
	clockStart     time.Time
	events         *eventCollector
	identities     *tlsIdentities // nil if relays need no operator's file
	endpointServer *h1.Server
	registry       *registry.Registry
	relays         []*managedRelay
	targets        []RelayTarget // by relay
	spawner        *spawner
	driver         *loadgen.Driver
	planStart      atomic.Int64 // by the rehearsal's clock

	mu              sync.Mutex
	relayFailures   []string       // see Outcome.RelayFailures
	rehearsalErrors []string       // see Outcome.RehearsalErrors
	activeFaults    map[string]int // number of active faults, by name
	background      sync.WaitGroup // goroutines of faults
}

// now returns the time of the rehearsal's clock, which starts at 0.
func (r *Rehearsal) now() event.Time { return time.Since(r.clockStart).Microseconds() }

// Open starts the emulators, the load generator and the relays, and returns once all relays
// are ready.
func Open(ctx context.Context, plan *scenario.Plan, options Options) (*Rehearsal, error) {
	r := &Rehearsal{
		plan: plan, options: options, clockStart: time.Now(), activeFaults: map[string]int{}, spawner: newSpawner(),
	}
	r.events = &eventCollector{
		checker: checker.New(plan.CheckerConfig()), calls: make([]CallCounts, len(plan.Specs)),
		onEvent: options.OnEvent, onOutcome: func(*event.Event) {},
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

// open starts the endpoints, the registry, the load generator and the relays, in this order. After an
// error, the caller calls Close to stop those that were started.
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
	r.events.onOutcome = r.driver.HandleEvent
	return r.startRelays(ctx)
}

// startEndpoints starts the partners' endpoints and issues their certificates.
func (r *Rehearsal) startEndpoints() error {
	plan := r.plan
	relays := plan.Scenario.Relays.Count
	rules := endpoint.Rules{
		Relays: relays, MaxInFlight: plan.MaxInFlight(), MaxAttempts: plan.Scenario.Relays.MaxAttempts,
	}
	lookup := func(id string) (endpoint.Message, bool) { return r.driver.Lookup(id) } // r.driver is set later, in open
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

// startRegistry starts the registry, which has an address of its own for each relay.
func (r *Rehearsal) startRegistry() (err error) {
	plan := r.plan
	discovery := &plan.Scenario.Discovery
	r.registry, err = registry.New(registry.Config{
		Relays: plan.Scenario.Relays.Count, Seed: plan.Seed, Clock: r.now, Emit: r.events.emit,
		Delay: milliseconds(discovery.DelayMS), DelaySpread: milliseconds(discovery.SpreadMS),
		StaticMembers: idleDestinationMembers(plan),
		Members: func(relay int) []registry.Member {
			return listMembers(plan, func(endpoint int) string { return r.endpointServer.Addr(endpoint, relay) })
		},
	})
	return err
}

// prepareRelays writes the relays' configurations and returns the addresses where the load
// generator reaches the relays.
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
		target := RelayTarget{Listen: relay.listen, Discovery: r.registry.Addr(i), HasProcess: true}
		if r.options.ReplaceRelay != nil {
			target = r.options.ReplaceRelay(i, target)
		}
		r.targets = append(r.targets, target)
		addrs = append(addrs, target.Listen)
	}
	return addrs, nil
}

// startRelays starts all relays concurrently and waits until they are ready.
func (r *Rehearsal) startRelays(ctx context.Context) error {
	errs := make([]error, len(r.relays))
	var starting sync.WaitGroup
	for i, relay := range r.relays {
		if !r.targets[i].HasProcess {
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

// relayCrashed records that a relay's process exited although it was expected to run.
func (r *Rehearsal) relayCrashed(relay int, err error) {
	r.appendFailure(&r.relayFailures, "relay %d ended by itself at %.1f s: %v",
		relay+1, float64(r.now()-r.planStart.Load())/1e6, err)
	r.events.emit(event.Event{At: r.now(), Kind: event.RelayKilled, Relay: relay})
	r.driver.RelayDown(relay, r.failoverDelay())
}

// failoverDelay returns how long clients still connect to a relay that has stopped. It stands for
// the time that a load balancer in front of the relays needs to notice this.
func (r *Rehearsal) failoverDelay() event.Time {
	return scenario.Microseconds(r.plan.Scenario.Clients.FailoverDelayMS)
}

// Close stops everything that was started.
func (r *Rehearsal) Close() {
	if r.driver != nil {
		r.driver.Close()
	}
	r.background.Wait()
	for _, relay := range r.relays {
		relay.mu.Lock()
		relay.kill()
		relay.releaseAddresses()
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

// Play runs a rehearsal of a plan from start to end and returns its outcome.
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
		return nil, fmt.Errorf("rehearsal interrupted: %w", err)
	}
	r.Close()
	closed = true
	for _, relay := range r.relays {
		outcome.MemoryKB = append(outcome.MemoryKB, relay.peakKB)
	}
	return outcome, nil
}

const (
	startDelay  = 200 * time.Millisecond // between all relays being ready and the plan's start
	finishGrace = 3 * time.Second        // added to the time by which all messages must have ended
)

// run plays the plan's arrivals and faults. It returns once every message has a final outcome, or after
// maxDuration.
func (r *Rehearsal) run(ctx context.Context) {
	r.planStart.Store(r.now() + startDelay.Microseconds())
	r.driver.SetStart(r.planStart.Load())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var loops sync.WaitGroup
	loops.Add(2)
	go func() { defer loops.Done(); r.playFaults(ctx) }()
	go func() { defer loops.Done(); r.reportProgress(ctx) }()
	driverCtx, stopDriver := context.WithTimeout(ctx, startDelay+r.maxDuration())
	defer stopDriver()
	r.driver.Run(driverCtx)
	cancel()
	loops.Wait()
	r.background.Wait()
}

// maxDuration returns the time after the plan's start by which all messages have ended, provided
// that the relays work correctly.
func (r *Rehearsal) maxDuration() time.Duration {
	s := r.plan.Scenario
	longestDeadline := 0.0
	for _, class := range s.Classes {
		longestDeadline = max(longestDeadline, class.DeadlineMS)
	}
	ms := s.LengthS*1000 + longestDeadline + s.Rules.DeadlineSlackMS + s.Rules.RestartGraceMS
	return time.Duration(ms)*time.Millisecond + finishGrace
}

// appendFailure appends a formatted text to relayFailures or rehearsalErrors.
func (r *Rehearsal) appendFailure(to *[]string, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*to = append(*to, fmt.Sprintf(format, args...))
}

// collectOutcome ends the check and returns the observations. It changes the times of violations to be
// relative to the plan's start.
func (r *Rehearsal) collectOutcome() *Outcome {
	emulatorLateness, err := r.endpointServer.TimerLag(latenessQuantile)
	if err != nil {
		r.appendFailure(&r.rehearsalErrors, "%v", err)
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
	outcome.RelayFailures, outcome.RehearsalErrors = slices.Clone(r.relayFailures), slices.Clone(r.rehearsalErrors)
	return outcome
}

// TempDir creates a temporary folder for the files of a rehearsal. remove deletes it.
func TempDir() (dir string, remove func(), err error) {
	dir, err = os.MkdirTemp("", "troutusher-rehearsal-")
	if err != nil {
		return "", nil, err
	}
	return dir, func() { _ = os.RemoveAll(dir) }, nil
}
