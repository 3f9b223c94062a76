// Package runner plays a plan: it starts relay processes, stand-in partners,
// the stand-in registry and the load driver on loopback, has faults begin and
// end at their moments, and brings everything that happens to the referee. It
// must never decide how a rehearsal went; it hands over what it saw.
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
	Command      []string                               // starts a relay; its configuration is named in the environment
	Env          []string                               // more of a relay's environment
	Dir          string                                 // for configurations, state and logs; a new one each time
	OnProgress   func(Progress)                         // called now and then; may be nil
	OnEvent      func(*event.Event)                     // is shown everything that happens; may be nil
	OnReady      func(*Rehearsal) error                 // called once all relays are ready; may be nil
	ReplaceRelay func(i int, a RelayTarget) RelayTarget // puts doubles in the place of relays; nil for none
}

// RelayTarget is where the driver reaches a relay. Tests put a double there.
type RelayTarget struct {
	Listen       string
	Discovery    string
	StartProcess bool // a relay process is started for it
}

// Progress is how far a rehearsal is.
type Progress struct {
	Elapsed      time.Duration // since its beginning
	Total        time.Duration
	Submitted    int
	Pending      int
	Violations   int
	ActiveFaults []string // that hold now
}

// Outcome is what was seen.
type Outcome struct {
	Plan             *scenario.Plan
	Start            event.Time // moment of the plan's beginning in the record
	End              event.Time
	Results          []loadgen.Result
	Violations       []checker.Violation
	Restarts         checker.RestartCounts // what restarts found untried
	RelayFailures    []string              // relays that ended by themselves, and what else makes the relays fail
	KitErrors        []string              // what went wrong in the kit itself: the run is void
	Calls            []CallCounts          // by partner
	UnservedRequests int                   // requests that met a connection refused, reset or closed unread
	DriverLateness   event.Time
	EmulatorLateness event.Time // of the stand-ins
	ReplyLatency     *hdrhistogram.Histogram
	DeliveryLatency  *hdrhistogram.Histogram
	MemoryKB         []int // of each relay: the most resident memory
}

// Rehearsal is one rehearsal.
type Rehearsal struct {
	plan           *scenario.Plan
	options        Options
	clockStart     time.Time
	events         *eventCollector
	identities     *tlsIdentities // nil without TLS
	endpointServer *h1.Server
	registry       *registry.Registry
	relays         []*relay
	targets        []RelayTarget
	spawner        *spawner
	driver         *loadgen.Driver
	planStart      atomic.Int64 // moment of the plan's beginning

	mu            sync.Mutex
	relayFailures []string
	kitErrors     []string
	activeFaults  map[string]int // faults that hold now
	background    sync.WaitGroup
}

func (s *Rehearsal) now() event.Time { return time.Since(s.clockStart).Microseconds() }

// Open starts stand-ins and relays.
func Open(ctx context.Context, p *scenario.Plan, opt Options) (*Rehearsal, error) {
	s := &Rehearsal{
		plan:         p,
		options:      opt,
		clockStart:   time.Now(),
		activeFaults: map[string]int{},
		spawner:      newSpawner(),
	}
	s.events = &eventCollector{
		checker: checker.New(p.CheckerConfig()), calls: make([]CallCounts, len(p.Specs)), onEvent: opt.OnEvent,
		onEnd: func(*event.Event) {},
	}
	for _, e := range p.Endpoints {
		s.events.partnerOf = append(s.events.partnerOf, e.Partner)
	}
	if err := s.open(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// open starts stand-ins, the load driver and relays.
func (s *Rehearsal) open(ctx context.Context) error {
	if err := s.startEndpoints(); err != nil {
		return err
	}
	if err := s.startRegistry(); err != nil {
		return err
	}
	addrs, err := s.prepareRelays()
	if err != nil {
		return err
	}
	s.driver = loadgen.New(loadgen.Config{Plan: s.plan, Relays: addrs, Emit: s.events.emit, Clock: s.now, Start: 0})
	s.events.onEnd = s.driver.HandleEvent
	return s.startRelays(ctx)
}

func (s *Rehearsal) startEndpoints() error {
	p := s.plan
	n := p.Scenario.Relays.Count
	rules := endpoint.Rules{Relays: n, MaxInFlight: p.MaxInFlight(), MaxAttempts: p.Scenario.Relays.MaxAttempts}
	lookup := func(id string) (endpoint.Message, bool) { return s.driver.Lookup(id) }
	world, err := endpoint.New(p.Specs, rules, p.ServiceTimeSeed(), lookup, s.events.emit)
	if err != nil {
		return err
	}
	if s.endpointServer, err = h1.New(world, n, s.now); err != nil {
		return err
	}
	if s.identities, err = newTLSIdentities(p, s.options.Dir); err != nil {
		return err
	}
	if s.identities != nil {
		s.endpointServer.EnableTLS(s.identities.identity)
	}
	return nil
}

func (s *Rehearsal) startRegistry() (err error) {
	p := s.plan
	d := &p.Scenario.Discovery
	s.registry, err = registry.New(registry.Config{
		Relays: p.Scenario.Relays.Count, Seed: p.Seed, Clock: s.now, Emit: s.events.emit,
		Delay: milliseconds(d.DelayMS), DelaySpread: milliseconds(d.SpreadMS), StaticMembers: unusedDestinations(p),
		Members: func(relay int) []registry.Member {
			return listMembers(p, func(ep int) string { return s.endpointServer.Addr(ep, relay) })
		},
	})
	return err
}

// prepareRelays prepares the relays and returns the addresses where they listen.
func (s *Rehearsal) prepareRelays() (addrs []string, err error) {
	env := s.options.Env
	if s.identities != nil {
		env = append(slices.Clone(env), s.identities.env())
	}
	for i := range s.plan.Scenario.Relays.Count {
		r, err := newRelay(i, s.plan, s.registry, s.spawner, s.options.Command, s.options.Dir)
		if err != nil {
			return nil, err
		}
		r.env, r.onCrash = env, s.relayCrashed
		s.relays = append(s.relays, r)
		a := RelayTarget{Listen: r.listen, Discovery: s.registry.Addr(i), StartProcess: true}
		if s.options.ReplaceRelay != nil {
			a = s.options.ReplaceRelay(i, a)
		}
		s.targets = append(s.targets, a)
		addrs = append(addrs, a.Listen)
	}
	return addrs, nil
}

// startRelays starts all relays at once and waits until they serve.
func (s *Rehearsal) startRelays(ctx context.Context) error {
	errs := make([]error, len(s.relays))
	var wg sync.WaitGroup
	for i, r := range s.relays {
		if !s.targets[i].StartProcess {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.mu.Lock()
			defer r.mu.Unlock()
			if errs[i] = r.start(ctx); errs[i] == nil {
				s.events.emit(event.Event{At: s.now(), Kind: event.Ready, Relay: i})
			}
		}()
	}
	wg.Wait()
	return errors.Join(errs...)
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// relayCrashed: a relay's process has ended and nobody asked it to.
func (s *Rehearsal) relayCrashed(i int, err error) {
	s.mu.Lock()
	s.relayFailures = append(s.relayFailures,
		fmt.Sprintf("relay %d ended by itself at %.1f s: %v", i+1, float64(s.now()-s.planStart.Load())/1e6, err))
	s.mu.Unlock()
	s.events.emit(event.Event{At: s.now(), Kind: event.Killed, Relay: i})
	s.driver.RelayDown(i, scenario.Microseconds(s.plan.Scenario.Clients.FailoverDelayMS))
}

// Close ends everything that was started.
func (s *Rehearsal) Close() {
	if s.driver != nil {
		s.driver.Close()
	}
	s.background.Wait()
	for _, r := range s.relays {
		r.mu.Lock()
		r.kill()
		r.mu.Unlock()
	}
	if s.registry != nil {
		s.registry.Close()
	}
	if s.endpointServer != nil {
		s.endpointServer.Close()
	}
	close(s.spawner.done)
}

// Play plays a plan from beginning to end.
func Play(ctx context.Context, p *scenario.Plan, opt Options) (*Outcome, error) {
	s, err := Open(ctx, p, opt)
	if err != nil {
		return nil, err
	}
	closed := false
	defer func() {
		if !closed {
			s.Close()
		}
	}()
	if opt.OnReady != nil {
		if err := opt.OnReady(s); err != nil {
			return nil, err
		}
	}
	s.run(ctx)
	o := s.collectOutcome()
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("the rehearsal was broken off: %w", err)
	}
	s.Close()
	closed = true
	for _, r := range s.relays {
		o.MemoryKB = append(o.MemoryKB, r.peakKB)
	}
	return o, nil
}

const leadIn = 200 * time.Millisecond

func (s *Rehearsal) run(ctx context.Context) {
	s.planStart.Store(s.now() + leadIn.Microseconds())
	s.driver.SetStart(s.planStart.Load())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); s.playFaults(ctx) }()
	go func() { defer wg.Done(); s.reportProgress(ctx) }()
	// The last message's time is up by then, and its end is in.
	longest := 0.0
	for _, c := range s.plan.Scenario.Classes {
		longest = max(longest, c.DeadlineMS)
	}
	limit := time.Duration(
		s.plan.Scenario.LengthS*1000+longest+s.plan.Scenario.Rules.DeadlineSlackMS+s.plan.Scenario.Rules.RestartGraceMS+3000,
	)*time.Millisecond + leadIn
	play, stop := context.WithTimeout(ctx, limit)
	defer stop()
	s.driver.Run(play)
	cancel()
	wg.Wait()
	s.background.Wait()
}

func (s *Rehearsal) appendFailure(to *[]string, format string, a ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*to = append(*to, fmt.Sprintf(format, a...))
}

// reportProgress tells now and then how far the rehearsal is.
func (s *Rehearsal) reportProgress(ctx context.Context) {
	if s.options.OnProgress == nil {
		return
	}
	tick := time.NewTicker(250 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.options.OnProgress(s.currentProgress())
		}
	}
}

func (s *Rehearsal) collectOutcome() *Outcome {
	late, err := s.endpointServer.TimerLag(99)
	o := &Outcome{
		Plan:             s.plan,
		Start:            s.planStart.Load(),
		End:              s.now(),
		Results:          s.driver.Results(),
		UnservedRequests: s.driver.UnservedRequests(),
		DriverLateness:   s.driver.Lateness(99),
		EmulatorLateness: late,
	}
	if err != nil {
		s.appendFailure(&s.kitErrors, "%v", err)
	}
	o.ReplyLatency, o.DeliveryLatency = s.driver.Latencies()
	s.events.mu.Lock()
	s.events.checker.Finish(s.now())
	o.Violations, o.Restarts = s.events.checker.Violations(), s.events.checker.RestartCounts()
	o.Calls = slices.Clone(s.events.calls)
	s.events.mu.Unlock()
	for i := range o.Violations {
		o.Violations[i].At -= s.planStart.Load()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o.RelayFailures, o.KitErrors = slices.Clone(s.relayFailures), slices.Clone(s.kitErrors)
	return o
}

// TempDir is the folder that rehearsals keep their files in: a new one under the
// system's folder for such things, and what removes it.
func TempDir() (string, func(), error) {
	dir, err := os.MkdirTemp("", "troutusher-rehearsal-")
	if err != nil {
		return "", nil, err
	}
	return dir, func() { _ = os.RemoveAll(dir) }, nil
}
